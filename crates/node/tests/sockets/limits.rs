//! Requests at the limits of the protocol: bodies of all sizes and contents, almost no time left, as many open
//! requests as allowed.

use crate::common::*;
use basaltward_fakes::{ExecRequest, ThriftClient, ThriftReply, WorkerAction};
use basaltward_net::{Micros, monotonic};
use basaltward_rules::Observation;
use basaltward_thrift::write;
use bytes::BytesMut;
use std::io::Write;
use std::time::Duration;

const MS: Micros = 1_000;
/// Maximum size of a body in bytes.
const MAX_BODY: usize = 16 << 10;
/// Maximum number of open requests on one connection.
const MAX_OPEN: usize = 32;

fn served(call: &Call) -> ThriftReply {
    ThriftReply::Served(call.body.iter().rev().copied().collect())
}

#[test]
fn arbitrary_bodies_up_to_the_size_limit_pass_unchanged_in_both_directions() {
    let mut harness = Harness::new(Limits::default(), 1, |_, exec| exec.serve());
    let protocol_lines: &[u8] =
        b"0000000000000001 OK - 4\r\nbody\r\nexec 2 - 0\r\n\r\ndrop 2\r\nensure t path=1,slots_up=1\r\n";
    let mut bodies =
        vec![Vec::new(), vec![0; 1], b"\r\n".to_vec(), protocol_lines.to_vec(), vec![b'\n'; MAX_BODY]];
    bodies.push((0..MAX_BODY).map(|at| at as u8).collect());
    for (number, body) in bodies.into_iter().enumerate() {
        let one = Call { body, ..call(number as u64 + 1, "extract") };
        let reply = harness.call(&one);
        assert!(reply == served(&one), "{number}: {reply:.80?}");
    }
    let over = Call { body: vec![b'x'; MAX_BODY + 1], ..call(50, "view") };
    assert_eq!(harness.call(&over), ThriftReply::Rejected(None));
    assert_eq!(harness.check_rules(), []);
}

#[test]
fn requests_with_almost_no_time_left_are_answered_and_keep_their_connection() {
    // A worker silently drops a request whose time has run out.
    let silent =
        |_: usize, exec: &ExecRequest| if exec.id.starts_with('f') { Vec::new() } else { exec.serve() };
    let mut harness = Harness::new(Limits::default(), 1, silent);
    wait_until_served(&mut harness);
    let mut client = harness.client();
    for number in 0..36 {
        let timeout_ms = [0, 1, 2, 3, 5, 8][number as usize % 6];
        let one = Call { timeout_ms, id: format!("f{number:015x}"), ..call(0, "extract") };
        let began = monotonic();
        let seqid = send(&mut client, &one);
        let (answered, reply) = client.read().expect("reply read").expect("connection open");
        assert_eq!(answered, seqid);
        assert!(
            matches!(reply, ThriftReply::Rejected(_) | ThriftReply::Crashed),
            "{timeout_ms} ms: {reply:?}"
        );
        let elapsed = monotonic() - began;
        assert!(elapsed < 500 * MS, "{timeout_ms} ms left, answered after {elapsed} us");
    }
    // The worker still serves as usual.
    let one = call(99, "view");
    let submitted = harness.submit(&mut client, &one);
    assert_eq!(harness.read(&mut client, &[&submitted]).map(|(_, reply)| reply), Some(served(&one)));
    harness.control.stop();
}

#[test]
fn at_the_open_request_limit_a_revoke_and_a_new_request_may_arrive_in_one_segment() {
    let unanswered =
        |_: usize, exec: &ExecRequest| if exec.id.starts_with('f') { Vec::new() } else { exec.serve() };
    let mut harness = Harness::new(Limits::default(), 1, unanswered);
    wait_until_served(&mut harness);
    let mut client = harness.client();
    let open = |number: u64| Call { id: format!("f{number:015x}"), ..call(0, "view") };
    let submitted: Vec<_> = (0..MAX_OPEN as u64).map(|number| send(&mut client, &open(number))).collect();
    for number in 0..MAX_OPEN as u64 {
        harness.wait_for(|what| matches!(what, Observation::Accepted { event } if *event == open(number).id));
    }
    let next = Call { function: "00000000000000f0".into(), ..call(77, "view") };
    let timeout = next.timeout_ms.to_string();
    let mut bytes = BytesMut::new();
    write::revoke(&mut bytes, MAX_OPEN as i32 + 1, submitted[5]);
    write::submit(&mut bytes, MAX_OPEN as i32 + 2, &fields(&next, &timeout), &next.body);
    client.stream().write_all(&bytes).expect("bytes sent");
    // Some of the open requests may be rejected meanwhile.
    loop {
        let (answered, reply) = client.read().expect("reply read").expect("connection open");
        if answered == MAX_OPEN as i32 + 2 {
            break assert_eq!(reply, served(&next));
        }
        assert!(reply != ThriftReply::Exception && answered <= MAX_OPEN as i32, "{answered}: {reply:?}");
    }
    harness.control.stop();
}

/// Sends a request whose last byte arrives 50 ms after its first, on a connection opened `before` earlier.
fn in_two_pieces(harness: &mut Harness, before: Duration) -> Option<ThriftReply> {
    let mut client = ThriftClient::connect(harness.address, TEST_TIMEOUT).expect("connected");
    std::thread::sleep(before);
    let one = call(monotonic(), "view");
    let timeout = one.timeout_ms.to_string();
    let (_, rest) = client.submit_half(&fields(&one, &timeout), &one.body).expect("bytes sent");
    std::thread::sleep(Duration::from_millis(50));
    client.send_raw_bytes(&rest).expect("bytes sent");
    client.read().expect("reply read").map(|(_, reply)| reply)
}

#[test]
fn a_connection_is_not_closed_while_a_request_is_partially_received() {
    let mut harness = Harness::new(Limits::default(), 1, |_, exec| exec.serve());
    wait_until_served(&mut harness);
    // A connection without a request for 2.4 s is closed.
    for before in [2_360, 2_375, 2_390] {
        let reply = in_two_pieces(&mut harness, Duration::from_millis(before));
        assert!(matches!(reply, Some(ThriftReply::Served(_))), "opened {before} ms before: {reply:?}");
    }
    harness.control.stop();
}

#[test]
fn the_budget_sent_to_a_worker_never_exceeds_the_client_timeout() {
    let slow = |_: usize, exec: &ExecRequest| {
        [vec![WorkerAction::Wait(Duration::from_millis(5))], exec.serve()].concat()
    };
    let mut harness = Harness::new(Limits::default(), 1, slow);
    wait_until_served(&mut harness);
    let mut client = harness.client();
    for (number, timeout_ms) in [(1, 60), (2, 250), (3, 1_000), (4, 4_000)] {
        let one = Call { timeout_ms, ..call(number, "view") };
        let submitted = harness.submit(&mut client, &one);
        harness.read(&mut client, &[&submitted]).expect("a reply before the connection closes");
        let prefix = format!("exec {}", one.id);
        let lines = harness.workers[0].received_lines();
        for line in lines.iter().filter(|line| line.starts_with(&prefix)) {
            let budget =
                line.split("budget=").nth(1).and_then(|rest| rest.split([',', ' ']).next()?.parse().ok());
            assert!(budget.is_some_and(|budget: u64| (1..=timeout_ms).contains(&budget)), "{line}");
        }
    }
    harness.control.stop();
}
