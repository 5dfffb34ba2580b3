//! Work that was permitted when it was decided and then waits, for a slow connection or in an output that its worker
//! does not read. Once the lease of the worker has expired, no byte of it may leave before the worker has been
//! probed.

use crate::common::*;
use basaltward_fakes::{ExecRequest, LineWorker};
use basaltward_rules::{Observation, Record, check};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Changes that a silent bulletin withholds take effect for the rules after 4 s; the grace adds one more.
const LEASE_EXPIRY: Duration = Duration::from_millis(5_000);
const BODY: usize = 16 << 10;

fn with_lease(text: String) -> String {
    text.replace("\"rules\":{", "\"rules\":{\"drainGraceUs\":1000000,")
        .replace("\"limits\":{\"cancel\"", "\"limits\":{\"probes\":true,\"cancel\"")
        .replace("\"loadControl\":true", "\"loadControl\":false")
        // Otherwise a waiting call would be refused past its aim.
        .replace("\"onTimeUs\":2000000", "\"onTimeUs\":7000000")
}

/// Silences the bulletin right after it has confirmed that nothing is missing, which it does every second; returns
/// when.
fn silence_bulletin(harness: &Harness) -> Instant {
    std::thread::sleep(Duration::from_millis(1_200));
    let silent = Instant::now();
    harness.board.set_silent(true);
    silent
}

/// Attempts that were withdrawn from a connection before any byte had left.
fn withdrawn(records: &[Record]) -> usize {
    let moot = |what: &Observation| matches!(what, Observation::Ended { code, .. } if code == "Moot");
    records.iter().filter(|record| moot(&record.observation)).count()
}

fn wait_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

#[test]
fn a_call_whose_connection_is_established_after_the_lease_waits_for_a_probe() {
    let limits = Limits { connect_ms: 4_000, ..Limits::default() };
    let mut harness = Harness::with_config(limits, 1, with_lease, |_, exec| exec.serve());
    wait_until_served(&mut harness);
    // The only remaining worker has no established connection, and none can be established for now.
    let other =
        LineWorker::start("s-1", harness.recorder.clone(), ExecRequest::serve).expect("worker started");
    other.block_new_connections().expect("accept queue blocked");
    let drains = bulletin_entry("s-0", harness.workers[0].address(), "Terminating");
    harness.board.publish(&format!("{},{drains}", bulletin_entry("s-1", other.address(), "Ready")));
    harness.wait_for(|what| matches!(what, Observation::WorkerState { worker, .. } if worker == "s-1"));
    let silent = silence_bulletin(&harness);
    // The last confirmation of the list came up to a second before the silence.
    wait_until(silent + Duration::from_millis(3_600));
    let mut client = harness.client();
    // An unsafe call is not given up while it waits.
    let one = Call { timeout_ms: 7_000, ..call(9 << 40, "extract") };
    let submitted = harness.submit(&mut client, &one);
    wait_until(silent + LEASE_EXPIRY + Duration::from_millis(300));
    other.unblock_new_connections();
    harness.read(&mut client, &[&submitted]).expect("a reply before the connection closes");
    let records = harness.finish();
    let lines = other.received_lines();
    let first = |word: &str| lines.iter().position(|line| line.starts_with(word));
    assert!(first("load").is_some_and(|probed| first("exec").is_none_or(|sent| probed < sent)), "{lines:?}");
    assert!(withdrawn(&records) > 0, "nothing was withdrawn: the call was decided on after the lease");
    assert!(check(&records, &rule_settings()).is_empty());
}

#[test]
fn unsent_calls_are_withdrawn_once_the_lease_expires() {
    let (go, held) = channel::<()>();
    let held = Arc::new(Mutex::new(held));
    let unread = move |_: usize, exec: &ExecRequest| {
        if exec.id == format!("{:016x}", 1) {
            let _ = held.lock().expect("lock not poisoned").recv_timeout(TEST_TIMEOUT);
        }
        exec.serve()
    };
    let limits =
        Limits { sockets: 30, memory_mb: 64, streams: 128, deadline_ms: 12_000, ..Limits::default() };
    let mut harness = Harness::with_config(limits, 1, with_lease, unread);
    harness.workers[0].shrink_receive_buffers().expect("receive buffer reduced");
    let at = harness.workers[0].address();
    let others: Vec<_> = (1..4).map(|n| bulletin_entry(&format!("t-{n}"), at, "Terminating")).collect();
    harness.board.publish(&others.join(","));
    harness.wait_for(|what| matches!(what, Observation::WorkerState { worker, .. } if worker == "t-3"));
    wait_until_served(&mut harness);
    let silent = silence_bulletin(&harness);
    // A call that keeps its worker busy, and behind it more than the sockets take.
    let mut client = harness.client();
    // Unsafe calls are not given up while they wait. Each is for a function of its own, since the lanes of a copy are
    // limited.
    let big = |number| Call {
        timeout_ms: 11_000,
        body: vec![7; BODY],
        function: format!("7f3a9c21e0b4{number:04x}"),
        ..call(number, "extract")
    };
    let submitted: Vec<_> = (1..=24).map(|number| harness.submit(&mut client, &big(number))).collect();
    wait_until(silent + LEASE_EXPIRY + Duration::from_millis(500));
    go.send(()).expect("receiver alive");
    let replies = read_all(&harness, &mut client, &submitted);
    assert_eq!(replies.len(), submitted.len(), "each request gets exactly one answer");
    let records = harness.finish();
    let count = withdrawn(&records);
    assert!(count > 0, "nothing was withdrawn: all requests had left at once");
    let probed = harness.workers[0].received_lines().iter().any(|line| line.starts_with("load"));
    assert!(probed, "{count} were withdrawn, and their worker was never probed");
}
