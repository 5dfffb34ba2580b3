//! What a client receives for a call, whatever happens at its worker.

use crate::common::*;
use basaltward_fakes::{ExecRequest, ThriftReply, WorkerAction, answer_line};
use basaltward_rules::Observation;
use std::time::Duration;

fn serve(_: usize, exec: &ExecRequest) -> Vec<WorkerAction> {
    exec.serve()
}

fn served(call: &Call) -> ThriftReply {
    ThriftReply::Served(call.body.iter().rev().copied().collect())
}

#[test]
fn pipelined_calls_on_one_connection_each_get_their_own_answer() {
    let mut harness = Harness::new(Limits::default(), 3, serve);
    let mut client = harness.client();
    assert_eq!(
        client.heartbeat().and_then(|_| client.read()).unwrap(),
        Some((1, ThriftReply::Served(vec![])))
    );
    for round in 0..10 {
        let calls: Vec<_> =
            (0..30).map(|n| call(round * 100 + n, ["view", "extract"][n as usize % 2])).collect();
        let submitted: Vec<_> = calls.iter().map(|c| harness.submit(&mut client, c)).collect();
        let replies = read_all(&harness, &mut client, &submitted);
        for (call, submitted) in calls.iter().zip(&submitted) {
            assert_eq!(replies[&submitted.seqid], served(call));
        }
    }
    assert_eq!(harness.check_rules(), []);
}

#[test]
fn an_unsafe_call_is_retried_only_if_it_never_ran() {
    // The first attempt ends in each of these ways in turn; the second is served.
    type End = fn(&ExecRequest) -> Vec<WorkerAction>;
    let cases: [(End, bool); 7] = [
        (|e| vec![WorkerAction::Write(answer_line(&e.id, "MISS", "-", b""))], true),
        (|e| vec![WorkerAction::Write(answer_line(&e.id, "BUSY", "company=3", b""))], true),
        (|e| vec![WorkerAction::Write(answer_line(&e.id, "VOID", "-", b""))], true),
        (|e| vec![WorkerAction::Run, WorkerAction::Write(answer_line(&e.id, "ERR", "-", b""))], false),
        (|_| vec![WorkerAction::Run, WorkerAction::Reset], false),
        (|_| vec![WorkerAction::Run, WorkerAction::Close], false),
        (
            |e| {
                vec![
                    WorkerAction::Run,
                    WorkerAction::Write(format!("{} OK - 3000000000\r\nxx", e.id).into_bytes()),
                ]
            },
            false,
        ),
    ];
    for (number, (end, retried)) in cases.into_iter().enumerate() {
        let script = move |_: usize, exec: &ExecRequest| {
            let second = exec.body.starts_with(b"second");
            if exec.arrival_index == 0 && !second { end(exec) } else { exec.serve() }
        };
        let mut harness = Harness::new(Limits::default(), 1, script);
        let call = call(1, "extract");
        let reply = harness.call(&call);
        // A call that never ran may also be rejected; one that may have run has failed.
        if retried {
            assert!(
                reply == served(&call) || matches!(reply, ThriftReply::Rejected(_)),
                "{number}: {reply:?}"
            );
        } else {
            assert_eq!(reply, ThriftReply::Crashed, "{number}");
        }
        assert_eq!(harness.check_rules(), [], "{number}");
    }
}

#[test]
fn duplicate_unknown_and_late_answers_are_discarded() {
    let script = |_: usize, exec: &ExecRequest| {
        let unknown_id = answer_line("00000000000000ff", "OK", "-", b"not yours");
        let mut acts = vec![WorkerAction::Write(unknown_id)];
        acts.extend(exec.serve());
        acts.push(WorkerAction::Write(answer_line(&exec.id, "OK", "detail=up", b"a second copy")));
        acts
    };
    let mut harness = Harness::new(Limits { sockets: 32, ..Limits::default() }, 1, script);
    let mut client = harness.client();
    for round in 0..20 {
        let calls: Vec<_> = (0..10).map(|n| call(round * 100 + n, "extract")).collect();
        let submitted: Vec<_> = calls.iter().map(|c| harness.submit(&mut client, c)).collect();
        let replies = read_all(&harness, &mut client, &submitted);
        calls
            .iter()
            .zip(&submitted)
            .for_each(|(call, submitted)| assert_eq!(replies[&submitted.seqid], served(call)));
    }
    assert_eq!(harness.check_rules(), []);
}

#[test]
fn malformed_answers_are_never_forwarded_and_safe_calls_are_retried() {
    let noise: [&[u8]; 4] = [b"\xff\xfe\0\r\n", b"x x x x\r\n", &[b'y'; 5_000], b"zz OK - -1\r\n"];
    let script = move |_: usize, exec: &ExecRequest| match exec.arrival_index % 3 {
        0 => vec![WorkerAction::Run, WorkerAction::Write(noise[exec.arrival_index / 3 % 4].to_vec())],
        _ => exec.serve(),
    };
    let mut harness = Harness::new(Limits::default(), 3, script);
    for number in 0..40 {
        let call = call(number, if number % 4 == 3 { "extract" } else { "view" });
        let reply = harness.call(&call);
        assert!(
            reply == served(&call) || reply == ThriftReply::Crashed && call.class == "extract",
            "{reply:?}"
        );
    }
    assert_eq!(harness.check_rules(), []);
}

#[test]
fn a_call_to_a_silent_worker_is_answered_by_its_deadline() {
    let mut harness = Harness::new(Limits::default(), 1, |_, _| vec![WorkerAction::Run]);
    for (number, class) in ["view", "extract"].into_iter().enumerate() {
        let mut one = call(number as u64, class);
        one.timeout_ms = 400;
        assert!(matches!(harness.call(&one), ThriftReply::Crashed | ThriftReply::Rejected(_)));
    }
    // The calls are given up at the worker, too, which reads the drop shortly after the client has its answer.
    let dropped = |n: u64| harness.workers[0].received_lines().contains(&format!("drop {n:016x}"));
    let until = std::time::Instant::now() + TEST_TIMEOUT;
    while !(0..2).all(dropped) {
        assert!(std::time::Instant::now() < until, "{:?}", harness.workers[0].received_lines());
        std::thread::yield_now();
    }
    assert_eq!(harness.check_rules(), []);
}

#[test]
fn a_revoked_call_gets_no_answer_and_is_dropped_at_the_worker() {
    let script = |_: usize, exec: &ExecRequest| {
        if exec.arrival_index == 0 { vec![WorkerAction::Run] } else { exec.serve() }
    };
    let mut harness = Harness::new(Limits::default(), 1, script);
    let mut client = harness.client();
    let (first, second) = (call(1, "extract"), call(2, "view"));
    let submitted = harness.submit(&mut client, &first);
    harness.wait_for(|what| matches!(what, Observation::Ran { event, .. } if *event == first.id));
    client.revoke(submitted.seqid).expect("bytes sent");
    harness.recorder.put(
        basaltward_net::monotonic(),
        "client",
        Observation::ClientLeft { request_id: submitted.try_no },
    );
    let submitted = harness.submit(&mut client, &second);
    assert_eq!(harness.read(&mut client, &[&submitted]), Some((submitted.seqid, served(&second))));
    assert!(harness.workers[0].received_lines().contains(&format!("drop {}", first.id)));
    assert_eq!(harness.check_rules(), []);
}

#[test]
fn connections_reset_while_idle_fail_no_call() {
    let mut harness = Harness::new(Limits::default(), 2, serve);
    for number in 0..30 {
        let call = call(number, "extract");
        assert_eq!(harness.call(&call), served(&call));
        harness.workers.iter().for_each(|w| w.reset_all());
        // The scheduler has seen the reset once it answers a heartbeat sent after it.
        let mut client = harness.client();
        client.heartbeat().and_then(|_| client.read()).expect("heartbeat answered");
    }
    assert_eq!(harness.check_rules(), []);
}

#[test]
fn requests_share_connections_when_descriptors_are_scarce() {
    let script = |_: usize, exec: &ExecRequest| {
        let mut acts = vec![WorkerAction::Wait(Duration::from_millis(2))];
        acts.extend(exec.serve());
        acts
    };
    let mut harness = Harness::new(Limits { sockets: 40, streams: 4, ..Limits::default() }, 2, script);
    let mut clients: Vec<_> = (0..4).map(|_| harness.client()).collect();
    for round in 0..5u64 {
        for (at, client) in clients.iter_mut().enumerate() {
            let calls: Vec<_> = (0..8).map(|n| call(round * 1_000 + at as u64 * 100 + n, "view")).collect();
            let submitted: Vec<_> = calls.iter().map(|c| harness.submit(client, c)).collect();
            let replies = read_all(&harness, client, &submitted);
            calls
                .iter()
                .zip(&submitted)
                .for_each(|(call, submitted)| assert_eq!(replies[&submitted.seqid], served(call)));
        }
    }
    assert_eq!(harness.check_rules(), []);
}
