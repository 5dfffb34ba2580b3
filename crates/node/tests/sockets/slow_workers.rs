//! Workers that hang, connections that are established late, and answers that arrive twice.

use crate::common::*;
use basaltward_fakes::{ExecRequest, LineWorker, ThriftReply, WorkerAction, answer_line};
use basaltward_net::monotonic;
use basaltward_rules::{Observation, Record};
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

fn served(call: &Call) -> ThriftReply {
    ThriftReply::Served(call.body.iter().rev().copied().collect())
}

/// The `exec` lines that a worker received.
fn execs(worker: &LineWorker) -> Vec<String> {
    worker.received_lines().into_iter().filter(|line| line.starts_with("exec")).collect()
}

/// Sends batches of calls for 30 functions. Returns, for the later half of them, the share that reached the first of
/// three workers, and how many safe calls were not served.
fn later_half(harness: &mut Harness) -> (f64, usize) {
    let (batches, each) = (10, 15);
    let (mut before, mut unserved) = (0, 0);
    let mut client = harness.client();
    for batch in 0..batches {
        if batch == batches / 2 {
            (before, unserved) = (execs(&harness.workers[0]).len(), 0);
        }
        let numbers = (batch * each)..(batch + 1) * each;
        let calls: Vec<_> = numbers
            .map(|number| Call {
                function: format!("7f3a9c21e0b4{:04x}", number % 30),
                timeout_ms: 1_000,
                ..call(number, if number % 5 == 4 { "extract" } else { "view" })
            })
            .collect();
        let submitted: Vec<_> = calls.iter().map(|c| harness.submit(&mut client, c)).collect();
        let replies = read_all(harness, &mut client, &submitted);
        for (call, submitted) in calls.iter().zip(&submitted) {
            unserved += usize::from(call.class == "view" && replies[&submitted.seqid] != served(call));
        }
    }
    let arrived = execs(&harness.workers[0]).len() - before;
    (arrived as f64 / (batches / 2 * each) as f64, unserved)
}

/// A hung worker gets less than half of a fair share among three.
const MAX_HUNG_SHARE: f64 = 0.5 / 3.0;

#[test]
fn a_hung_worker_loses_its_share_and_others_serve_its_safe_calls() {
    let script = |worker: usize, exec: &ExecRequest| if worker == 0 { Vec::new() } else { exec.serve() };
    let mut harness = Harness::new(Limits::default(), 3, script);
    let (share, unserved) = later_half(&mut harness);
    assert!(share < MAX_HUNG_SHARE && unserved == 0, "{share} {unserved}");
    assert_eq!(harness.check_rules(), []);
    // The same measurement must recognize a worker that stays in use. The placement of functions varies from fleet to
    // fleet, and in about one of eight a healthy worker gets as little: that all of five do is unlikely.
    let used =
        || later_half(&mut Harness::new(Limits::default(), 3, |_, exec| exec.serve())).0 > MAX_HUNG_SHARE;
    assert!((0..5).any(|_| used()), "the check found every healthy worker hung");
}

/// The budget in milliseconds that a request carries to its worker.
fn budget(exec: &str) -> u64 {
    let field = exec.split([' ', ',']).find_map(|word| word.strip_prefix("budget="));
    field.and_then(|ms| ms.parse().ok()).expect("a budget")
}

#[test]
fn a_connection_established_late_carries_only_the_calls_that_are_still_open() {
    let limits = Limits { connect_ms: 3_000, ..Limits::default() };
    let mut harness = Harness::new(limits, 1, |_, exec| exec.serve());
    // A copy is loaded, and there is no connection for a probe.
    assert_eq!(harness.call(&call(1, "extract")), served(&call(1, "extract")));
    harness.workers[0].block_new_connections().expect("accept queue blocked");
    harness.workers[0].reset_all();
    let mut client = harness.client();
    let (mut short, long) = (call(2, "extract"), call(3, "extract"));
    short.timeout_ms = 500;
    let began = monotonic();
    let (first, second) = (harness.submit(&mut client, &short), harness.submit(&mut client, &long));
    let open = [&first, &second];
    let (number, reply) = harness.read(&mut client, &open).expect("a reply before the connection closes");
    assert_eq!(number, first.seqid);
    assert!(matches!(reply, ThriftReply::Crashed | ThriftReply::Rejected(_)), "{reply:?}");
    assert!(execs(&harness.workers[0]).iter().all(|line| line.contains(&call(1, "extract").id)));
    harness.workers[0].unblock_new_connections();
    assert_eq!(harness.read(&mut client, &open), Some((second.seqid, served(&long))));
    let waited = (monotonic() - began) / 1_000;
    assert!(waited >= 900, "the connection was established after only {waited} ms");
    let lines = execs(&harness.workers[0]);
    assert!(!lines.iter().any(|line| line.contains(&short.id)), "{lines:?}");
    // The worker must receive the remaining time; the last assertion makes sure that the check tells it from the
    // whole timeout.
    let line = lines.iter().find(|line| line.contains(&long.id)).expect("call reached the worker");
    assert!(budget(line) + 900 <= long.timeout_ms, "{line}");
    assert!(budget("exec 1 queue=extract,path=f,budget=4000 0") + 900 > long.timeout_ms);
    assert_eq!(harness.check_rules(), []);
}

#[test]
fn calls_go_to_another_worker_when_a_connection_exceeds_the_connect_timeout() {
    let mut harness = Harness::new(Limits::default(), 2, |_, exec| exec.serve());
    for number in 0..20 {
        assert_eq!(harness.call(&call(number, "extract")), served(&call(number, "extract")));
    }
    harness.workers[0].block_new_connections().expect("accept queue blocked");
    harness.workers[0].reset_all();
    let before = execs(&harness.workers[0]).len();
    for number in 100..120 {
        let mut one = call(number, "extract");
        one.function = format!("7f3a9c21e0b4{number:04x}");
        assert_eq!(harness.call(&one), served(&one), "{number}");
    }
    assert_eq!(execs(&harness.workers[0]).len(), before);
    harness.workers[0].unblock_new_connections();
    assert_eq!(harness.check_rules(), []);
}

/// The source ports of the attempts, in order of arrival.
fn ports(records: &[Record]) -> Vec<u16> {
    let port = |record: &Record| match &record.observation {
        Observation::Arrived { attempt, .. } => {
            attempt.rsplit_once('@').and_then(|(_, port)| port.parse().ok())
        }
        _ => None,
    };
    records.iter().filter_map(port).collect()
}

#[test]
fn a_duplicate_answer_is_not_matched_to_a_later_request_with_the_same_id() {
    let (go, held) = mpsc::channel();
    let held = Arc::new(Mutex::new(held));
    let script = move |_: usize, exec: &ExecRequest| {
        if exec.body == b"another body" {
            held.lock().expect("lock not poisoned").recv().expect("test releases the answer");
        }
        let mut acts = vec![WorkerAction::Wait(Duration::from_millis(10))];
        acts.extend(exec.serve());
        acts
    };
    let mut harness = Harness::new(Limits::default(), 1, script);
    let mut client = harness.client();
    let (first, attempt_ports) = (call(7, "view"), Arc::new(Mutex::new(Vec::new())));
    let submitted = harness.submit(&mut client, &first);
    assert_eq!(harness.read(&mut client, &[&submitted]), Some((submitted.seqid, served(&first))));
    let second = Call { body: b"another body".to_vec(), ..first.clone() };
    let submitted = harness.submit(&mut client, &second);
    let sent = |record: &Record| matches!(&record.observation, Observation::Sent { event, .. } if *event == first.id);
    let twice = harness.recorder.wait_until(TEST_TIMEOUT, |all| {
        *attempt_ports.lock().expect("lock not poisoned") = ports(all);
        all.iter().filter(|record| sent(record)).count() == 2
    });
    assert!(twice, "the second request was never sent");
    // A duplicate of the first answer, on the connection of the first; the answer to the second request follows a
    // little later.
    let again =
        answer_line(&first.id, "OK", "detail=up", &first.body.iter().rev().copied().collect::<Vec<_>>());
    let port = attempt_ports.lock().expect("lock not poisoned")[0];
    harness.workers[0].write_to_port(port, &again).expect("connection open");
    std::thread::sleep(Duration::from_millis(5));
    go.send(()).expect("receiver alive");
    assert_eq!(harness.read(&mut client, &[&submitted]), Some((submitted.seqid, served(&second))));
    // The connection that carried the duplicate stays in use where several are needed at once.
    let until = Instant::now() + TEST_TIMEOUT;
    let used = |all: &[Record]| ports(all)[2..].contains(&port);
    for round in 2.. {
        let calls: Vec<_> = (0..4).map(|n| call(round * 10 + n, "view")).collect();
        let submitted: Vec<_> = calls.iter().map(|c| harness.submit(&mut client, c)).collect();
        let replies = read_all(&harness, &mut client, &submitted);
        calls
            .iter()
            .zip(&submitted)
            .for_each(|(call, submitted)| assert_eq!(replies[&submitted.seqid], served(call)));
        if harness.recorder.wait_until(Duration::ZERO, used) {
            break;
        }
        assert!(Instant::now() < until, "the connection was never used again");
    }
}
