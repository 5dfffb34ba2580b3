//! Clients that leave, by a revoke or by closing or resetting their connection: no attempt of theirs starts any more,
//! and attempts in flight are dropped. The program's own tests cover the order of events around a stall of the
//! process.

use crate::common::*;
use basaltward_fakes::{ExecRequest, LineWorker, WorkerAction, answer_line};
use basaltward_rules::Observation;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use std::time::Instant;

/// A call that workers hold without an answer, with a client timeout that outlasts the test.
fn held_call(number: u64, class: &'static str) -> Call {
    Call { id: format!("f{number:015x}"), timeout_ms: 60_000, ..call(number, class) }
}

fn hold_calls(_: usize, exec: &ExecRequest) -> Vec<WorkerAction> {
    if exec.id.starts_with('f') { vec![WorkerAction::Run] } else { exec.serve() }
}

fn wait_until_run(harness: &Harness, call: &Call) {
    harness.wait_for(|what| matches!(what, Observation::Ran { event, .. } if *event == call.id));
}

fn execs(harness: &Harness, call: &Call) -> usize {
    let prefix = format!("exec {}", call.id);
    harness
        .workers
        .iter()
        .flat_map(LineWorker::received_lines)
        .filter(|line| line.starts_with(&prefix))
        .count()
}

/// Waits for a matching line at the first worker.
fn wait_for_line(harness: &Harness, found: impl Fn(&str) -> bool) -> String {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(line) = harness.workers[0].received_lines().into_iter().find(|line| found(line)) {
            return line;
        }
        assert!(
            Instant::now() < until,
            "no such line at the worker: {:?}",
            harness.workers[0].received_lines()
        );
        std::thread::yield_now();
    }
}

fn wait_until_dropped(harness: &Harness, call: &Call) {
    wait_for_line(harness, |line| line == format!("drop {}", call.id));
}

#[test]
fn at_the_open_request_limit_a_leaving_client_is_noticed_and_a_revoke_frees_a_slot() {
    for method in ABANDON_METHODS {
        let mut harness = Harness::new(Limits::default(), 1, hold_calls);
        let mut client = harness.client();
        let calls: Vec<_> = (0..32).map(|n| held_call(n, "extract")).collect();
        let seqids: Vec<_> = calls.iter().map(|one| harness.submit(&mut client, one).seqid).collect();
        wait_until_run(&harness, &calls[0]);
        harness.wait_for(|what| matches!(what, Observation::Accepted { event } if *event == calls[31].id));
        let remaining = abandon(client, &seqids[..1], method);
        wait_until_dropped(&harness, &calls[0]);
        if let Some(mut client) = remaining.filter(|_| method == "revoke") {
            // One more than may be open would close the connection.
            let next = held_call(100, "extract");
            harness.submit(&mut client, &next);
            harness.wait_for(|what| matches!(what, Observation::Accepted { event } if *event == next.id));
        }
        harness.control.stop();
    }
}

#[test]
fn a_client_that_does_not_read_its_answers_can_still_abandon_a_call() {
    for method in ABANDON_METHODS {
        let mut harness = Harness::new(Limits::default(), 1, hold_calls);
        let mut client = harness.client();
        let one = held_call(1, "extract");
        let seqid = harness.submit(&mut client, &one).seqid;
        wait_until_run(&harness, &one);
        set_socket_recv_buffer_size(client.stream(), 4 << 10).expect("connection open");
        fill_output(&mut harness, &mut client);
        // More than the scheduler reads ahead from a client, in front of its leaving.
        for number in 5_000..5_004 {
            harness.submit(&mut client, &Call { body: vec![b'x'; 16 << 10], ..call(number, "view") });
        }
        let remaining = abandon(client, &[seqid], method);
        wait_until_dropped(&harness, &one);
        drop(remaining);
        harness.control.stop();
    }
}

#[test]
fn a_client_that_keeps_sending_without_reading_is_disconnected() {
    let mut harness = Harness::new(Limits::default(), 1, hold_calls);
    let mut client = harness.client();
    let one = held_call(1, "extract");
    harness.submit(&mut client, &one);
    wait_until_run(&harness, &one);
    set_socket_recv_buffer_size(client.stream(), 4 << 10).expect("connection open");
    fill_output(&mut harness, &mut client);
    for _ in 0..40 {
        // The scheduler may have closed the connection already.
        let _ = client.heartbeat();
    }
    wait_until_dropped(&harness, &one);
    wait_until_served(&mut harness);
    harness.control.stop();
}

#[test]
fn an_abandoned_call_that_waits_for_a_load_is_never_sent() {
    for method in ABANDON_METHODS {
        let miss = |_: usize, exec: &ExecRequest| match exec.id.starts_with('f') {
            true => vec![WorkerAction::Write(answer_line(&exec.id, "MISS", "-", b""))],
            false => exec.serve(),
        };
        let mut harness = Harness::new(Limits::default(), 1, miss);
        wait_until_served(&mut harness);
        harness.workers[0].hold_order_answers();
        let mut client = harness.client();
        let one = Call { function: "00000000000000f0".into(), ..held_call(1, "extract") };
        let submitted = harness.submit(&mut client, &one);
        wait_for_line(&harness, |line| line.starts_with("ensure") && line.contains(&one.function));
        let before = execs(&harness, &one);
        let remaining = abandon(client, &[submitted.seqid], method);
        // The scheduler has processed the leaving once calls of another client have completed, a turn or two later.
        (10..13).for_each(|n| drop(harness.call(&call(n, "view"))));
        for order in harness.workers[0].received_lines().iter().filter(|line| line.contains(&one.function)) {
            let Some((command, port)) = order.split_once(" from=") else { continue };
            let tag = command.split(' ').nth(1).expect("a tag");
            let loaded = answer_line(tag, "OK", "slots_up=1", b"");
            harness.workers[0]
                .write_to_port(port.parse().expect("port known"), &loaded)
                .expect("connection open");
        }
        (20..25).for_each(|n| drop(harness.call(&call(n, "view"))));
        assert_eq!(execs(&harness, &one), before, "{method}: {:?}", harness.workers[0].received_lines());
        drop(remaining);
        harness.control.stop();
    }
}

#[test]
fn an_abandoned_call_that_waits_for_a_connection_is_never_sent() {
    for method in ABANDON_METHODS {
        let limits = Limits { connect_ms: 3_000, ..Limits::default() };
        let mut harness = Harness::new(limits, 1, hold_calls);
        wait_until_served(&mut harness);
        harness.workers[0].block_new_connections().expect("accept queue blocked");
        harness.workers[0].reset_all();
        let (mut client, mut other) = (harness.client(), harness.client());
        let (one, second) = (held_call(1, "extract"), Call { timeout_ms: 60_000, ..call(2, "extract") });
        let submitted = harness.submit(&mut client, &one);
        let waits = harness.submit(&mut other, &second);
        harness.wait_for(|what| matches!(what, Observation::Accepted { event } if *event == second.id));
        let remaining = abandon(client, &[submitted.seqid], method);
        other.heartbeat().and_then(|_| other.read()).expect("heartbeat answered");
        harness.workers[0].unblock_new_connections();
        // The other client's call is sent on the connection that is now established.
        assert!(harness.read(&mut other, &[&waits]).is_some());
        assert_eq!(execs(&harness, &one), 0, "{method}: {:?}", harness.workers[0].received_lines());
        drop(remaining);
        harness.control.stop();
    }
}

#[test]
fn an_abandoned_call_that_waits_for_its_next_attempt_is_never_sent() {
    for method in ABANDON_METHODS {
        let void = |_: usize, exec: &ExecRequest| match exec.id.starts_with('f') {
            true => vec![WorkerAction::Write(answer_line(&exec.id, "VOID", "-", b""))],
            false => exec.serve(),
        };
        let mut harness = Harness::new(Limits::default(), 1, void);
        let client = &mut harness.client();
        let one = held_call(1, "view");
        let seqid = harness.submit(client, &one).seqid;
        wait_for_line(&harness, |line| line.starts_with("exec"));
        // Rejected by the only worker, the call waits for another, and the scheduler meanwhile probes for capacity.
        let sent = |line: &str| line.starts_with("exec");
        let probed = || harness.workers[0].received_lines().iter().skip_while(|line| !sent(line)).count() > 1;
        let until = Instant::now() + TEST_TIMEOUT;
        while !probed() {
            assert!(Instant::now() < until, "{:?}", harness.workers[0].received_lines());
            std::thread::yield_now();
        }
        let remaining = abandon(std::mem::replace(client, harness.client()), &[seqid], method);
        client.heartbeat().and_then(|_| client.read()).expect("heartbeat answered");
        let other =
            LineWorker::start("s-1", harness.recorder.clone(), ExecRequest::serve).expect("worker started");
        harness.board.publish(&bulletin_entry("s-1", other.address(), "Ready"));
        let until = Instant::now() + TEST_TIMEOUT;
        for number in 100.. {
            let next = Call { function: format!("{number:016x}"), ..call(number, "view") };
            drop(harness.call(&next));
            if other.received_lines().iter().filter(|line| sent(line)).count() > 2 {
                break;
            }
            assert!(Instant::now() < until, "the new worker was never used");
        }
        assert_eq!(execs(&harness, &one), 1, "{method}: {:?}", harness.workers[0].received_lines());
        assert!(
            !other.received_lines().iter().any(|line| line.contains(&one.id)),
            "{method}: {:?}",
            other.received_lines()
        );
        drop(remaining);
        harness.control.stop();
    }
}
