//! What the pages allow, at its limits: bodies of all sizes and bytes, little time left, many open requests.

use crate::common::*;
use basaltward_net::{Micros, monotonic};
use basaltward_rules::Observation;
use basaltward_standins::{Act, Exec, FrontClient, FrontReply};
use basaltward_thrift::write;
use bytes::BytesMut;
use std::io::Write;
use std::time::Duration;

const MS: Micros = 1_000;
/// Most bytes of a body.
const BODY: usize = 16 << 10;
/// Most requests open on one connection.
const OPEN: usize = 32;

fn served(call: &Call) -> FrontReply {
    FrontReply::Served(call.body.iter().rev().copied().collect())
}

#[test]
fn any_bytes_up_to_the_largest_body_are_passed_on_both_ways() {
    let mut bed = Bed::new(Limits::default(), 1, |_, exec| exec.serve());
    let words: &[u8] =
        b"0000000000000001 OK - 4\r\nbody\r\nexec 2 - 0\r\n\r\ndrop 2\r\nensure t path=1,slots_up=1\r\n";
    let mut bodies = vec![Vec::new(), vec![0; 1], b"\r\n".to_vec(), words.to_vec(), vec![b'\n'; BODY]];
    bodies.push((0..BODY).map(|at| at as u8).collect());
    for (number, body) in bodies.into_iter().enumerate() {
        let one = Call { body, ..call(number as u64 + 1, "extract") };
        let told = bed.call(&one);
        assert!(told == served(&one), "{number}: {told:.80?}");
    }
    let over = Call { body: vec![b'x'; BODY + 1], ..call(50, "view") };
    assert_eq!(bed.call(&over), FrontReply::Rejected(None));
    assert_eq!(bed.judge(), []);
}

#[test]
fn requests_with_hardly_any_time_left_have_an_answer_each_and_keep_their_connection() {
    // What has no time left is dropped by its worker without a word.
    let silent = |_: usize, exec: &Exec| if exec.id.starts_with('f') { Vec::new() } else { exec.serve() };
    let mut bed = Bed::new(Limits::default(), 1, silent);
    serves(&mut bed);
    let mut client = bed.client();
    for number in 0..36 {
        let timeout_ms = [0, 1, 2, 3, 5, 8][number as usize % 6];
        let one = Call { timeout_ms, id: format!("f{number:015x}"), ..call(0, "extract") };
        let began = monotonic();
        let seqid = send(&mut client, &one);
        let (of, told) = client.read().expect("a reply").expect("its connection stands");
        assert_eq!(of, seqid);
        assert!(matches!(told, FrontReply::Rejected(_) | FrontReply::Crashed), "{timeout_ms} ms: {told:?}");
        let took = monotonic() - began;
        assert!(took < 500 * MS, "{timeout_ms} ms left, answered after {took} us");
    }
    // Their worker is none the worse for it.
    let one = call(99, "view");
    let asked = bed.submit(&mut client, &one);
    assert_eq!(bed.read(&mut client, &[&asked]).map(|(_, told)| told), Some(served(&one)));
    bed.control.stop();
}

#[test]
fn with_all_open_a_revoke_and_the_next_request_may_come_in_one_piece() {
    let held = |_: usize, exec: &Exec| if exec.id.starts_with('f') { Vec::new() } else { exec.serve() };
    let mut bed = Bed::new(Limits::default(), 1, held);
    serves(&mut bed);
    let mut client = bed.client();
    let open = |number: u64| Call { id: format!("f{number:015x}"), ..call(0, "view") };
    let asked: Vec<_> = (0..OPEN as u64).map(|number| send(&mut client, &open(number))).collect();
    for number in 0..OPEN as u64 {
        bed.wait(|what| matches!(what, Observation::Accepted { event } if *event == open(number).id));
    }
    let next = Call { function: "00000000000000f0".into(), ..call(77, "view") };
    let timeout = next.timeout_ms.to_string();
    let mut bytes = BytesMut::new();
    write::revoke(&mut bytes, OPEN as i32 + 1, asked[5]);
    write::submit(&mut bytes, OPEN as i32 + 2, &fields(&next, &timeout), &next.body);
    client.stream().write_all(&bytes).expect("sent");
    // Some of those open may be turned away meanwhile.
    loop {
        let (of, told) = client.read().expect("a reply").expect("its connection stands");
        if of == OPEN as i32 + 2 {
            break assert_eq!(told, served(&next));
        }
        assert!(told != FrontReply::Exception && of <= OPEN as i32, "{of}: {told:?}");
    }
    bed.control.stop();
}

/// A request whose last byte comes 50 ms after its first, on a connection that was opened `before`.
fn in_two_pieces(bed: &mut Bed, before: Duration) -> Option<FrontReply> {
    let mut client = FrontClient::connect(bed.address, PATIENCE).expect("connected");
    std::thread::sleep(before);
    let one = call(monotonic(), "view");
    let timeout = one.timeout_ms.to_string();
    let (_, rest) = client.half(&fields(&one, &timeout), &one.body).expect("sent");
    std::thread::sleep(Duration::from_millis(50));
    client.raw(&rest).expect("sent");
    client.read().expect("a reply").map(|(_, told)| told)
}

#[test]
fn no_connection_is_closed_under_a_request_that_has_begun_to_come() {
    let mut bed = Bed::new(Limits::default(), 1, |_, exec| exec.serve());
    serves(&mut bed);
    // A connection that asks nothing for 2.4 s is closed.
    for before in [2_360, 2_375, 2_390] {
        let told = in_two_pieces(&mut bed, Duration::from_millis(before));
        assert!(matches!(told, Some(FrontReply::Served(_))), "opened {before} ms before: {told:?}");
    }
    bed.control.stop();
}

#[test]
fn a_worker_is_told_no_more_time_than_its_client_has() {
    let slow = |_: usize, exec: &Exec| [vec![Act::Wait(Duration::from_millis(5))], exec.serve()].concat();
    let mut bed = Bed::new(Limits::default(), 1, slow);
    serves(&mut bed);
    let mut client = bed.client();
    for (number, timeout_ms) in [(1, 60), (2, 250), (3, 1_000), (4, 4_000)] {
        let one = Call { timeout_ms, ..call(number, "view") };
        let asked = bed.submit(&mut client, &one);
        bed.read(&mut client, &[&asked]).expect("an answer");
        let of = format!("exec {}", one.id);
        let lines = bed.workers[0].lines();
        for line in lines.iter().filter(|line| line.starts_with(&of)) {
            let budget =
                line.split("budget=").nth(1).and_then(|rest| rest.split([',', ' ']).next()?.parse().ok());
            assert!(budget.is_some_and(|budget: u64| (1..=timeout_ms).contains(&budget)), "{line}");
        }
    }
    bed.control.stop();
}
