//! Requests and answers that come byte by byte, or in pieces whose borders lie anywhere.

use crate::common::*;
use basaltward_net::{Micros, monotonic};
use basaltward_rules::Observation;
use basaltward_standins::{Act, Exec, FrontClient, FrontReply, answer};
use basaltward_thrift::write;
use bytes::BytesMut;
use std::collections::HashMap;
use std::time::Duration;

const MS: Micros = 1_000;
/// A loaded machine may take so long for a call that waits for nothing.
const IN_TIME: Micros = 2_000 * MS;
/// Numbers of calls from here on have as many digits, and their requests as many bytes.
const FIRST: u64 = 1_000;
/// Between two bytes: each finds the scheduler in another turn.
const BYTE: Duration = Duration::from_micros(300);

/// The bytes of a request.
fn frame(seqid: i32, call: &Call) -> Vec<u8> {
    let (mut out, timeout) = (BytesMut::new(), call.timeout_ms.to_string());
    write::submit(&mut out, seqid, &fields(call, &timeout), &call.body);
    out.to_vec()
}

fn turned(call: &Call) -> FrontReply {
    FrontReply::Served(call.body.iter().rev().copied().collect())
}

/// Has the scheduler read all that was written before this.
fn is_read(marker: &mut FrontClient) {
    let asked = marker.heartbeat().expect("sent");
    assert_eq!(marker.read().expect("told").map(|(seqid, _)| seqid), Some(asked));
}

/// Reads one answer, which has to be this.
fn is_told(client: &mut FrontClient, seqid: i32, call: &Call, what: &str) {
    assert_eq!(client.read().expect("told"), Some((seqid, turned(call))), "{what}");
}

/// Writes these bytes one by one.
fn one_by_one(client: &mut FrontClient, bytes: &[u8]) {
    for byte in bytes {
        client.raw(&[*byte]).expect("sent");
        std::thread::sleep(BYTE);
    }
}

fn serve(_: usize, exec: &Exec) -> Vec<Act> {
    exec.serve()
}

#[test]
fn requests_that_come_byte_by_byte_are_answered_whole_and_in_time() {
    let bed = Bed::new(Limits::default(), 2, serve);
    let mut clients: Vec<_> = (0..8).map(|_| bed.client()).collect();
    let threads: Vec<_> = clients
        .drain(..)
        .enumerate()
        .map(|(number, mut client)| {
            std::thread::spawn(move || {
                for seqid in 1..=3 {
                    let one = call(number as u64 * 100 + seqid as u64, ["view", "extract"][number % 2]);
                    one_by_one(&mut client, &frame(seqid, &one));
                    let sent = monotonic();
                    is_told(&mut client, seqid, &one, "byte by byte");
                    assert!(monotonic() - sent < IN_TIME, "{} us after its last byte", monotonic() - sent);
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| thread.join().expect("answered"));
    // A request is withdrawn byte by byte as well.
    let hold =
        Bed::new(Limits::default(), 1, |_, exec: &Exec| if exec.nth == 0 { vec![] } else { exec.serve() });
    let mut client = hold.client();
    let (first, second) = (call(1, "extract"), call(2, "extract"));
    client.raw(&frame(1, &first)).expect("sent");
    hold.wait(|what| matches!(what, Observation::Arrived { .. }));
    let mut revoke = BytesMut::new();
    write::revoke(&mut revoke, 2, 1);
    one_by_one(&mut client, &revoke);
    client.raw(&frame(3, &second)).expect("sent");
    is_told(&mut client, 3, &second, "behind a revoke byte by byte");
    let dropped = format!("drop {}", first.id);
    assert!(hold.workers[0].lines().contains(&dropped), "{:?}", hold.workers[0].lines());
}

#[test]
fn a_request_may_be_split_at_every_byte() {
    let bed = Bed::new(Limits::default(), 2, serve);
    let (mut marker, mut client) = (bed.client(), bed.client());
    let length = frame(1, &call(FIRST, "view")).len();
    for at in 1..length {
        let (seqid, one) = (at as i32, call(FIRST + at as u64, "view"));
        let bytes = frame(seqid, &one);
        client.raw(&bytes[..at]).expect("sent");
        is_read(&mut marker);
        client.raw(&bytes[at..]).expect("sent");
        is_told(&mut client, seqid, &one, &format!("split behind byte {at}"));
    }
}

#[test]
fn whole_requests_in_front_of_a_part_are_answered_before_its_rest_comes() {
    let bed = Bed::new(Limits::default(), 2, serve);
    let (mut marker, mut client) = (bed.client(), bed.client());
    let length = frame(1, &call(FIRST, "view")).len();
    let mut seqid = 0;
    for at in (1..length).step_by(7) {
        let mut open = HashMap::new();
        let mut bytes = Vec::new();
        for _ in 0..4 {
            seqid += 1;
            let one = call(FIRST + seqid as u64, "view");
            bytes.extend(frame(seqid, &one));
            open.insert(seqid, turned(&one));
        }
        let (last, rest) = (open.remove(&seqid).expect("the last one"), bytes.split_off(3 * length + at));
        client.raw(&bytes).expect("sent");
        for _ in 0..3 {
            let (seqid, reply) = client.read().expect("told").expect("an answer");
            assert_eq!(open.remove(&seqid), Some(reply), "in front of {at} bytes");
        }
        is_read(&mut marker);
        client.raw(&rest).expect("sent");
        assert_eq!(client.read().expect("told"), Some((seqid, last)), "its first {at} bytes came before");
    }
}

#[test]
fn who_always_sends_a_part_behind_a_whole_request_is_served_for_as_long_as_it_likes() {
    let bed = Bed::new(Limits::default(), 2, serve);
    let mut client = bed.client();
    // Longer than the scheduler's patience with one half request, which is 2.4 s.
    let until = monotonic() + 3_500 * MS;
    let one = |seqid: i32| call(FIRST + seqid as u64, "view");
    let half = frame(1, &one(1)).len() / 2;
    client.raw(&frame(1, &one(1))[..half]).expect("sent");
    for seqid in 1.. {
        let (this, ends) = (one(seqid), monotonic() > until);
        let mut bytes = frame(seqid, &this)[half..].to_vec();
        if !ends {
            bytes.extend(&frame(seqid + 1, &one(seqid + 1))[..half]);
        }
        client.raw(&bytes).expect("sent");
        is_told(&mut client, seqid, &this, "a part stands behind it");
        if ends {
            return;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn answers_that_come_byte_by_byte_are_passed_on_whole_and_in_time() {
    let slow = |_: usize, exec: &Exec| {
        let bytes = answer(&exec.id, "OK", "detail=up", &exec.turned());
        let each = bytes.into_iter().flat_map(|byte| [Act::Write(vec![byte]), Act::Wait(BYTE)]);
        std::iter::once(Act::Run).chain(each).collect()
    };
    let mut bed = Bed::new(Limits::default(), 2, slow);
    let mut client = bed.client();
    for wave in 0..2 {
        let calls: Vec<_> =
            (0..8).map(|n| call(wave * 100 + n, ["view", "extract"][n as usize % 2])).collect();
        let sent = monotonic();
        let asked: Vec<_> = calls.iter().map(|one| bed.submit(&mut client, one)).collect();
        let told = read_all(&bed, &mut client, &asked);
        for (asked, one) in asked.iter().zip(&calls) {
            assert_eq!(told.get(&asked.seqid), Some(&turned(one)));
        }
        assert!(monotonic() - sent < IN_TIME, "{} us", monotonic() - sent);
    }
    assert_eq!(bed.judge(), []);
}

#[test]
fn an_answer_may_be_split_at_every_byte_and_one_in_front_of_a_part_is_passed_on() {
    // So many others in the list that there is one connection to each worker: both calls are on it.
    let others: Vec<_> =
        (100..200).map(|n| target(&format!("s-{n}"), ([127, 0, 0, 1], 9).into(), "Terminating")).collect();
    let list = format!("\"targets\":[{},", others.join(","));
    let crowded = |text: String| text.replace("\"targets\":[", &list);
    let bed = Bed::configured(Limits::default(), 1, crowded, |_, _| Vec::new());
    let (mut marker, mut client) = (bed.client(), bed.client());
    let served = |one: &Call, fields: &str| {
        let body: Vec<_> = one.body.iter().rev().copied().collect();
        answer(&one.id, "OK", fields, &body)
    };
    let length = served(&call(FIRST, "view"), "detail=up").len();
    for at in 1..length {
        let seqids = [2 * at as i32 - 1, 2 * at as i32];
        let calls = seqids.map(|seqid| call(FIRST + seqid as u64, "view"));
        calls.iter().zip(seqids).for_each(|(one, seqid)| client.raw(&frame(seqid, one)).expect("sent"));
        let ports = calls.each_ref().map(|one| port(&bed, one));
        assert_eq!(ports[0], ports[1]);
        // The first one's answer whole, and behind it a part of the second one's, whose line is longer: the next line
        // may end before this one had been searched to.
        let (whole, bytes) = (served(&calls[0], "-"), served(&calls[1], "detail=up"));
        bed.workers[0].say(ports[0], &[&whole[..], &bytes[..at]].concat()).expect("it stands");
        is_told(&mut client, seqids[0], &calls[0], &format!("in front of {at} bytes"));
        is_read(&mut marker);
        bed.workers[0].say(ports[1], &bytes[at..]).expect("it stands");
        is_told(&mut client, seqids[1], &calls[1], &format!("split behind byte {at}"));
    }
}

/// From which port a call came to its worker.
fn port(bed: &Bed, one: &Call) -> u16 {
    let mut port = None;
    let came = bed.recorder.wait_until(PATIENCE, |all| {
        port = all.iter().rev().find_map(|record| match &record.observation {
            Observation::Arrived { event, attempt, .. } if *event == one.id => {
                attempt.rsplit_once('@').and_then(|(_, port)| port.parse().ok())
            }
            _ => None,
        });
        port.is_some()
    });
    assert!(came, "{} never came", one.id);
    port.expect("a port")
}
