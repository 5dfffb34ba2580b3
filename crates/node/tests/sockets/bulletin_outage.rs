//! Changes of the worker list that take effect for the rules although the bulletin was down, silent or repeated old
//! events: from then on a draining worker gets neither calls nor load orders.

use crate::common::*;
use basaltward_fakes::ThriftReply;
use basaltward_net::{Micros, monotonic};
use basaltward_rules::{Observation, Record, check};
use std::time::Duration;

pub const MS: Micros = 1_000;
/// A change that a silent bulletin withholds takes effect this long after the silence began, or once the bulletin is
/// queried again.
pub const SILENCE_LIMIT: Micros = 4_000 * MS;
/// Maximum interval between connection attempts to a bulletin that is down.
const RECONNECT_INTERVAL: Micros = 500 * MS;
/// How late the machine may be; and below it the grace of the rule, which the settings of the tests put at 50 ms.
pub const LATE: Micros = 500 * MS;
const GRACE: Micros = 50 * MS;

/// What went to a worker after a change of its state took effect and the grace passed. Arrivals get some more time:
/// they may have been sent before and wait to be read.
pub fn sent_after(records: &[Record], uid: &str, since: Micros) -> Vec<String> {
    let from = |record: &Record| match &record.observation {
        Observation::Sent { worker, .. } if worker == uid => Some(since + GRACE),
        Observation::Ordered { worker, count, .. } if worker == uid && *count > 0 => Some(since + GRACE),
        Observation::Arrived { .. } if record.observer == uid => Some(since + GRACE + LATE),
        _ => None,
    };
    let late = records.iter().filter(|record| from(record).is_some_and(|from| record.time > from));
    late.map(|r| format!("{:?} at {} us", r.observation, r.time - since)).collect()
}

pub fn state_received(records: &[Record], uid: &str, expected: &str) -> Micros {
    let reported = |r: &&Record| matches!(&r.observation, Observation::WorkerState { worker, state } if worker == uid && state == expected);
    records.iter().find(reported).map_or(Micros::MAX, |r| r.time)
}

/// Enough functions that there are load orders at any time.
pub const FUNCTIONS: u64 = 50;

/// Sends calls of both classes, one after another.
pub struct Calls {
    pub next: u64,
}

impl Calls {
    /// Sends this many calls, each of which must be served.
    pub fn send(&mut self, harness: &mut Harness, count: u64) {
        for _ in 0..count {
            self.next += 1;
            let mut one = call(self.next, ["view", "extract"][self.next as usize % 2]);
            one.function = format!("7f3a9c21e0b4{:04x}", self.next % FUNCTIONS);
            assert!(matches!(harness.call(&one), ThriftReply::Served(_)), "call {}", self.next);
        }
    }

    /// Sends calls until this time.
    pub fn send_until(&mut self, harness: &mut Harness, at: Micros) {
        while monotonic() < at {
            self.send(harness, 1);
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

/// A scheduler with load and two workers, and the index of the worker that has most of the calls.
pub fn busy_harness() -> (Harness, Calls, usize) {
    let mut harness = Harness::new(Limits::default(), 2, |_, exec| exec.serve());
    let mut calls = Calls { next: 0 };
    calls.send(&mut harness, FUNCTIONS);
    let execs =
        |i: &usize| harness.workers[*i].received_lines().iter().filter(|l| l.starts_with("exec")).count();
    let busiest = (0..2).max_by_key(execs).expect("two workers");
    (harness, calls, busiest)
}

pub fn announce(harness: &Harness, busiest: usize, state: &str) -> Micros {
    harness.board.publish(&bulletin_entry(
        &format!("s-{busiest}"),
        harness.workers[busiest].address(),
        state,
    ));
    monotonic()
}

#[test]
fn changes_made_while_the_bulletin_was_down_apply_once_it_is_reachable() {
    let (mut harness, mut calls, busiest) = busy_harness();
    let uid = format!("s-{busiest}");
    harness.board.stop_listening();
    let began = announce(&harness, busiest, "Terminating");
    // What is sent meanwhile can't be known to be wrong.
    calls.send_until(&mut harness, began + 1_200 * MS);
    harness.board.resume_listening().expect("bulletin listens again");
    let up = monotonic();
    harness.wait_for(
|what| matches!(what, Observation::WorkerState { worker, state } if *worker == uid && state == "leaving"),
);
    calls.send(&mut harness, 60);
    let records = harness.finish();
    let received = state_received(&records, &uid, "leaving");
    assert!(
        received <= up + RECONNECT_INTERVAL + LATE,
        "received {} us after the bulletin was back",
        received - up
    );
    assert_eq!(sent_after(&records, &uid, received), Vec::<String>::new());
    assert_eq!(check(&records, &rule_settings()), []);
    // The same check finds what was sent before the change could be known.
    assert!(!sent_after(&records, &uid, began).is_empty());
}

#[test]
fn a_silent_watch_is_replaced_before_its_withheld_changes_take_effect() {
    let (mut harness, mut calls, busiest) = busy_harness();
    let uid = format!("s-{busiest}");
    harness.board.mute_open_connections();
    let began = announce(&harness, busiest, "Gone");
    let reported = |all: &[Record]| state_received(all, &uid, "gone") < Micros::MAX;
    while !harness.recorder.wait_until(Duration::ZERO, reported) && monotonic() < began + SILENCE_LIMIT {
        calls.send(&mut harness, 1);
    }
    calls.send(&mut harness, 60);
    let records = harness.finish();
    let received = state_received(&records, &uid, "gone");
    assert!(received <= began + SILENCE_LIMIT, "received after {} us", received.saturating_sub(began));
    assert_eq!(sent_after(&records, &uid, received.min(began + SILENCE_LIMIT)), Vec::<String>::new());
    assert_eq!(check(&records, &rule_settings()), []);
    assert!(!sent_after(&records, &uid, began).is_empty());
}

#[test]
fn a_replayed_change_does_not_reactivate_a_worker() {
    let (mut harness, mut calls, busiest) = busy_harness();
    let uid = format!("s-{busiest}");
    let at = harness.workers[busiest].address();
    announce(&harness, busiest, "Ready");
    announce(&harness, busiest, "Terminating");
    harness.wait_for(
|what| matches!(what, Observation::WorkerState { worker, state } if *worker == uid && state == "leaving"),
);
    let drained_at = monotonic();
    let ready = bulletin_entry(&uid, at, "Ready");
    let replay = |no: u64, all: bool| {
        format!("{{\"no\":{no},\"roster\":{{\"rev\":{no},\"all\":{all},\"targets\":[{ready}]}}}}\n")
    };
    for _ in 0..3 {
        harness.board.send_raw(&(replay(1, true) + &replay(2, false) + "{\"no\":2}\n{\"no\":3}\n"));
        calls.send(&mut harness, 30);
    }
    // A later event is processed in order: everything before it has been read.
    harness.board.publish(&bulletin_entry("s-9", at, "Gone"));
    harness.wait_for(|what| matches!(what, Observation::WorkerState { worker, .. } if worker == "s-9"));
    calls.send(&mut harness, 30);
    let back = monotonic();
    // The same entry under a new event number does reactivate the worker, and the check finds its calls.
    harness.board.publish(&ready);
    harness
.wait_for(
|what| matches!(what, Observation::WorkerState { worker, state } if *worker == uid && state == "active"),
);
    calls.send_until(&mut harness, back + 300 * MS);
    let records = harness.finish();
    let before: Vec<_> = records.iter().filter(|r| r.time <= back).cloned().collect();
    assert_eq!(sent_after(&before, &uid, drained_at), Vec::<String>::new());
    assert!(!sent_after(&records, &uid, drained_at).is_empty());
    assert_eq!(check(&records, &rule_settings()), []);
}
