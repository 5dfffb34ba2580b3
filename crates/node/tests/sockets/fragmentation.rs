//! Requests and answers that arrive byte by byte, or in segments with arbitrary boundaries.

use crate::common::*;
use basaltward_fakes::{ExecRequest, ThriftClient, ThriftReply, WorkerAction, answer_line};
use basaltward_net::{Micros, monotonic};
use basaltward_rules::Observation;
use basaltward_thrift::write;
use bytes::BytesMut;
use std::collections::HashMap;
use std::time::Duration;

const MS: Micros = 1_000;
/// The time that a loaded machine may need for a call that waits for nothing.
const IN_TIME: Micros = 2_000 * MS;
/// Call numbers from here on have the same number of digits, so that their requests have the same length.
const FIRST_NUMBER: u64 = 1_000;
/// Pause between two bytes, so that each arrives in another turn of the scheduler.
const BYTE_INTERVAL: Duration = Duration::from_micros(300);

/// The bytes of a request.
fn frame(seqid: i32, call: &Call) -> Vec<u8> {
    let (mut out, timeout) = (BytesMut::new(), call.timeout_ms.to_string());
    write::submit(&mut out, seqid, &fields(call, &timeout), &call.body);
    out.to_vec()
}

fn reversed(call: &Call) -> ThriftReply {
    ThriftReply::Served(call.body.iter().rev().copied().collect())
}

/// Waits until the scheduler has read everything written before this call.
fn wait_until_read(marker: &mut ThriftClient) {
    let sent = marker.heartbeat().expect("bytes sent");
    assert_eq!(marker.read().expect("reply read").map(|(seqid, _)| seqid), Some(sent));
}

/// Reads one reply, which must be the one to this call.
fn expect_reply(client: &mut ThriftClient, seqid: i32, call: &Call, what: &str) {
    assert_eq!(client.read().expect("reply read"), Some((seqid, reversed(call))), "{what}");
}

/// Writes these bytes one by one.
fn send_byte_by_byte(client: &mut ThriftClient, bytes: &[u8]) {
    for byte in bytes {
        client.send_raw_bytes(&[*byte]).expect("bytes sent");
        std::thread::sleep(BYTE_INTERVAL);
    }
}

fn serve(_: usize, exec: &ExecRequest) -> Vec<WorkerAction> {
    exec.serve()
}

#[test]
fn requests_received_byte_by_byte_are_answered_complete_and_in_time() {
    let harness = Harness::new(Limits::default(), 2, serve);
    let mut clients: Vec<_> = (0..8).map(|_| harness.client()).collect();
    let threads: Vec<_> = clients
        .drain(..)
        .enumerate()
        .map(|(number, mut client)| {
            std::thread::spawn(move || {
                for seqid in 1..=3 {
                    let one = call(number as u64 * 100 + seqid as u64, ["view", "extract"][number % 2]);
                    send_byte_by_byte(&mut client, &frame(seqid, &one));
                    let sent = monotonic();
                    expect_reply(&mut client, seqid, &one, "byte by byte");
                    assert!(monotonic() - sent < IN_TIME, "{} us after its last byte", monotonic() - sent);
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| thread.join().expect("client thread ended"));
    // A revoke may arrive byte by byte as well.
    let holding =
        Harness::new(
            Limits::default(),
            1,
            |_, exec: &ExecRequest| if exec.arrival_index == 0 { vec![] } else { exec.serve() },
        );
    let mut client = holding.client();
    let (first, second) = (call(1, "extract"), call(2, "extract"));
    client.send_raw_bytes(&frame(1, &first)).expect("bytes sent");
    holding.wait_for(|what| matches!(what, Observation::Arrived { .. }));
    let mut revoke = BytesMut::new();
    write::revoke(&mut revoke, 2, 1);
    send_byte_by_byte(&mut client, &revoke);
    client.send_raw_bytes(&frame(3, &second)).expect("bytes sent");
    expect_reply(&mut client, 3, &second, "after a revoke sent byte by byte");
    let dropped = format!("drop {}", first.id);
    assert!(
        holding.workers[0].received_lines().contains(&dropped),
        "{:?}",
        holding.workers[0].received_lines()
    );
}

#[test]
fn a_request_may_be_split_at_any_byte() {
    let harness = Harness::new(Limits::default(), 2, serve);
    let (mut marker, mut client) = (harness.client(), harness.client());
    let length = frame(1, &call(FIRST_NUMBER, "view")).len();
    for at in 1..length {
        let (seqid, one) = (at as i32, call(FIRST_NUMBER + at as u64, "view"));
        let bytes = frame(seqid, &one);
        client.send_raw_bytes(&bytes[..at]).expect("bytes sent");
        wait_until_read(&mut marker);
        client.send_raw_bytes(&bytes[at..]).expect("bytes sent");
        expect_reply(&mut client, seqid, &one, &format!("split after byte {at}"));
    }
}

#[test]
fn complete_requests_are_answered_before_the_rest_of_a_partial_one_arrives() {
    let harness = Harness::new(Limits::default(), 2, serve);
    let (mut marker, mut client) = (harness.client(), harness.client());
    let length = frame(1, &call(FIRST_NUMBER, "view")).len();
    let mut seqid = 0;
    for at in (1..length).step_by(7) {
        let mut open = HashMap::new();
        let mut bytes = Vec::new();
        for _ in 0..4 {
            seqid += 1;
            let one = call(FIRST_NUMBER + seqid as u64, "view");
            bytes.extend(frame(seqid, &one));
            open.insert(seqid, reversed(&one));
        }
        let (last, rest) = (open.remove(&seqid).expect("the last one"), bytes.split_off(3 * length + at));
        client.send_raw_bytes(&bytes).expect("bytes sent");
        for _ in 0..3 {
            let (seqid, reply) =
                client.read().expect("reply read").expect("a reply before the connection closes");
            assert_eq!(open.remove(&seqid), Some(reply), "followed by {at} bytes");
        }
        wait_until_read(&mut marker);
        client.send_raw_bytes(&rest).expect("bytes sent");
        assert_eq!(
            client.read().expect("reply read"),
            Some((seqid, last)),
            "its first {at} bytes arrived before"
        );
    }
}

#[test]
fn a_client_that_always_has_a_partial_request_pending_is_not_timed_out() {
    let harness = Harness::new(Limits::default(), 2, serve);
    let mut client = harness.client();
    // Longer than the scheduler waits for the rest of a partial request, which is 2.4 s.
    let until = monotonic() + 3_500 * MS;
    let one = |seqid: i32| call(FIRST_NUMBER + seqid as u64, "view");
    let half = frame(1, &one(1)).len() / 2;
    client.send_raw_bytes(&frame(1, &one(1))[..half]).expect("bytes sent");
    for seqid in 1.. {
        let (this, ends) = (one(seqid), monotonic() > until);
        let mut bytes = frame(seqid, &this)[half..].to_vec();
        if !ends {
            bytes.extend(&frame(seqid + 1, &one(seqid + 1))[..half]);
        }
        client.send_raw_bytes(&bytes).expect("bytes sent");
        expect_reply(&mut client, seqid, &this, "a partial request follows");
        if ends {
            return;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn answers_received_byte_by_byte_are_forwarded_complete_and_in_time() {
    let slow = |_: usize, exec: &ExecRequest| {
        let bytes = answer_line(&exec.id, "OK", "detail=up", &exec.reversed_body());
        let each = bytes
            .into_iter()
            .flat_map(|byte| [WorkerAction::Write(vec![byte]), WorkerAction::Wait(BYTE_INTERVAL)]);
        std::iter::once(WorkerAction::Run).chain(each).collect()
    };
    let mut harness = Harness::new(Limits::default(), 2, slow);
    let mut client = harness.client();
    for wave in 0..2 {
        let calls: Vec<_> =
            (0..8).map(|n| call(wave * 100 + n, ["view", "extract"][n as usize % 2])).collect();
        let sent = monotonic();
        let submitted: Vec<_> = calls.iter().map(|one| harness.submit(&mut client, one)).collect();
        let replies = read_all(&harness, &mut client, &submitted);
        for (submitted, one) in submitted.iter().zip(&calls) {
            assert_eq!(replies.get(&submitted.seqid), Some(&reversed(one)));
        }
        assert!(monotonic() - sent < IN_TIME, "{} us", monotonic() - sent);
    }
    assert_eq!(harness.check_rules(), []);
}

#[test]
fn an_answer_may_be_split_at_any_byte_and_a_complete_one_before_it_is_forwarded() {
    // With so many others in the list there is one connection to each worker, which carries both calls.
    let others: Vec<_> = (100..200)
        .map(|n| bulletin_entry(&format!("s-{n}"), ([127, 0, 0, 1], 9).into(), "Terminating"))
        .collect();
    let list = format!("\"targets\":[{},", others.join(","));
    let crowded = |text: String| text.replace("\"targets\":[", &list);
    let harness = Harness::with_config(Limits::default(), 1, crowded, |_, _| Vec::new());
    let (mut marker, mut client) = (harness.client(), harness.client());
    let served = |one: &Call, fields: &str| {
        let body: Vec<_> = one.body.iter().rev().copied().collect();
        answer_line(&one.id, "OK", fields, &body)
    };
    let length = served(&call(FIRST_NUMBER, "view"), "detail=up").len();
    for at in 1..length {
        let seqids = [2 * at as i32 - 1, 2 * at as i32];
        let calls = seqids.map(|seqid| call(FIRST_NUMBER + seqid as u64, "view"));
        calls
            .iter()
            .zip(seqids)
            .for_each(|(one, seqid)| client.send_raw_bytes(&frame(seqid, one)).expect("bytes sent"));
        let ports = calls.each_ref().map(|one| source_port(&harness, one));
        assert_eq!(ports[0], ports[1]);
        // The complete answer to the first call, followed by a part of the answer to the second, whose line is
        // longer: the end of the next line may come before the offset up to which this line had been searched.
        let (whole, bytes) = (served(&calls[0], "-"), served(&calls[1], "detail=up"));
        harness.workers[0]
            .write_to_port(ports[0], &[&whole[..], &bytes[..at]].concat())
            .expect("connection open");
        expect_reply(&mut client, seqids[0], &calls[0], &format!("followed by {at} bytes"));
        wait_until_read(&mut marker);
        harness.workers[0].write_to_port(ports[1], &bytes[at..]).expect("connection open");
        expect_reply(&mut client, seqids[1], &calls[1], &format!("split after byte {at}"));
    }
}

/// The source port of a call at its worker.
fn source_port(harness: &Harness, one: &Call) -> u16 {
    let mut port = None;
    let arrived = harness.recorder.wait_until(TEST_TIMEOUT, |all| {
        port = all.iter().rev().find_map(|record| match &record.observation {
            Observation::Arrived { event, attempt, .. } if *event == one.id => {
                attempt.rsplit_once('@').and_then(|(_, port)| port.parse().ok())
            }
            _ => None,
        });
        port.is_some()
    });
    assert!(arrived, "call {} never reached a worker", one.id);
    port.expect("port known")
}
