//! A worker, or a middlebox in front of it, has lost the state of an idle connection without closing it: it answers
//! nothing on it, and resets it later.

use crate::common::*;
use basaltward_fakes::{ExecRequest, ThriftReply, WorkerAction};
use basaltward_rules::Observation;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How long after a request on it a half-open connection is reset.
const RESET_DELAY: Duration = Duration::from_millis(600);

/// Sends a call of this class as the first one on a half-open connection; returns its reply and how often it reached
/// a worker.
fn call_on_half_open_connection(class: &'static str) -> (ThriftReply, usize) {
    let half_open = Arc::new(AtomicBool::new(false));
    let script = {
        let half_open = half_open.clone();
        // A worker without the state of the connection processes nothing that comes on it.
        move |_: usize, exec: &ExecRequest| match half_open.swap(false, Ordering::SeqCst) {
            true => vec![WorkerAction::Wait(RESET_DELAY), WorkerAction::Reset],
            false => exec.serve(),
        }
    };
    let mut harness = Harness::new(Limits::default(), 2, script);
    wait_until_served(&mut harness);
    half_open.store(true, Ordering::SeqCst);
    let one = call(7 << 40, class);
    let reply = harness.call(&one);
    // The next call gets a working connection.
    wait_until_served(&mut harness);
    let records = harness.finish();
    let arrived = |what: &Observation| matches!(what, Observation::Arrived { event, .. } if *event == one.id);
    let arrivals = records.iter().filter(|record| arrived(&record.observation)).count();
    assert_eq!(basaltward_rules::check(&records, &rule_settings()), []);
    (reply, arrivals)
}

#[test]
fn the_first_request_on_a_half_open_connection_fails_or_is_retried_once() {
    // It may have run, so it fails and is not retried.
    assert_eq!(call_on_half_open_connection("extract"), (ThriftReply::Crashed, 1));
    // A safe call is retried.
    let (reply, arrivals) = call_on_half_open_connection("view");
    assert!(matches!(reply, ThriftReply::Served(_)) && arrivals == 2, "{reply:?} after {arrivals}");
}
