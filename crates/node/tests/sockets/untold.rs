//! Changes of the list that count as told though the bulletin was down, silent or told the same again: from then on
//! nothing new, call or order to load, goes to a worker that drains.

use crate::common::*;
use basaltward_net::{Micros, monotonic};
use basaltward_rules::{Observation, Record, check};
use basaltward_standins::FrontReply;
use std::time::Duration;

pub const MS: Micros = 1_000;
/// What a silent bulletin would have told counts as told so long after it began, or once it is asked again.
pub const SILENT: Micros = 4_000 * MS;
/// A bulletin that is down is asked again so often, at least.
const AGAIN: Micros = 500 * MS;
/// What the machine may be late; and the grace of the rule, which the tests' settings put at 50 ms.
pub const LATE: Micros = 500 * MS;
const GRACE: Micros = 50 * MS;

/// What went to a worker after a change of it counted as told, the grace over. What comes there may have been sent
/// before and wait for its reader.
pub fn after(records: &[Record], uid: &str, told: Micros) -> Vec<String> {
    let from = |record: &Record| match &record.observation {
        Observation::Sent { worker, .. } if worker == uid => Some(told + GRACE),
        Observation::Ordered { worker, count, .. } if worker == uid && *count > 0 => Some(told + GRACE),
        Observation::Arrived { .. } if record.observer == uid => Some(told + GRACE + LATE),
        _ => None,
    };
    let late = records.iter().filter(|record| from(record).is_some_and(|from| record.time > from));
    late.map(|r| format!("{:?} at {} us", r.observation, r.time - told)).collect()
}

pub fn heard(records: &[Record], uid: &str, wanted: &str) -> Micros {
    let told = |r: &&Record| matches!(&r.observation, Observation::WorkerState { worker, state } if worker == uid && state == wanted);
    records.iter().find(told).map_or(Micros::MAX, |r| r.time)
}

/// Enough that there are orders to load at any time.
pub const FUNCTIONS: u64 = 50;

/// Calls of both classes, one after another.
pub struct Calls {
    pub next: u64,
}

impl Calls {
    /// So many calls; each is served.
    pub fn go(&mut self, bed: &mut Bed, count: u64) {
        for _ in 0..count {
            self.next += 1;
            let mut one = call(self.next, ["view", "extract"][self.next as usize % 2]);
            one.function = format!("7f3a9c21e0b4{:04x}", self.next % FUNCTIONS);
            assert!(matches!(bed.call(&one), FrontReply::Served(_)), "call {}", self.next);
        }
    }

    /// Calls until this time.
    pub fn until(&mut self, bed: &mut Bed, at: Micros) {
        while monotonic() < at {
            self.go(bed, 1);
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

/// A scheduler in use with two workers, and which of them has most calls.
pub fn bed() -> (Bed, Calls, usize) {
    let mut bed = Bed::new(Limits::default(), 2, |_, exec| exec.serve());
    let mut calls = Calls { next: 0 };
    calls.go(&mut bed, FUNCTIONS);
    let execs = |i: &usize| bed.workers[*i].lines().iter().filter(|l| l.starts_with("exec")).count();
    let most = (0..2).max_by_key(execs).expect("two workers");
    (bed, calls, most)
}

pub fn tell(bed: &Bed, most: usize, state: &str) -> Micros {
    bed.board.tell(&target(&format!("s-{most}"), bed.workers[most].address(), state));
    monotonic()
}

#[test]
fn what_a_bulletin_held_while_it_was_down_holds_once_it_can_be_asked() {
    let (mut bed, mut calls, most) = bed();
    let uid = format!("s-{most}");
    bed.board.down();
    let began = tell(&bed, most, "Terminating");
    // What is sent meanwhile can't be known to be wrong.
    calls.until(&mut bed, began + 1_200 * MS);
    bed.board.up().expect("its port is free");
    let up = monotonic();
    bed.wait(
        |what| matches!(what, Observation::WorkerState { worker, state } if *worker == uid && state == "leaving"),
    );
    calls.go(&mut bed, 60);
    let records = bed.finish();
    let known = heard(&records, &uid, "leaving");
    assert!(known <= up + AGAIN + LATE, "heard {} us after it was back", known - up);
    assert_eq!(after(&records, &uid, known), Vec::<String>::new());
    assert_eq!(check(&records, &rules()), []);
    // The same look finds what went there before it could be known.
    assert!(!after(&records, &uid, began).is_empty());
}

#[test]
fn a_watch_that_falls_silent_is_left_before_its_news_count_as_told() {
    let (mut bed, mut calls, most) = bed();
    let uid = format!("s-{most}");
    bed.board.hush();
    let began = tell(&bed, most, "Gone");
    let told = |all: &[Record]| heard(all, &uid, "gone") < Micros::MAX;
    while !bed.recorder.wait_until(Duration::ZERO, told) && monotonic() < began + SILENT {
        calls.go(&mut bed, 1);
    }
    calls.go(&mut bed, 60);
    let records = bed.finish();
    let known = heard(&records, &uid, "gone");
    assert!(known <= began + SILENT, "heard after {} us", known.saturating_sub(began));
    assert_eq!(after(&records, &uid, known.min(began + SILENT)), Vec::<String>::new());
    assert_eq!(check(&records, &rules()), []);
    assert!(!after(&records, &uid, began).is_empty());
}

#[test]
fn a_change_told_again_does_not_bring_a_worker_back() {
    let (mut bed, mut calls, most) = bed();
    let uid = format!("s-{most}");
    let at = bed.workers[most].address();
    tell(&bed, most, "Ready");
    tell(&bed, most, "Terminating");
    bed.wait(
        |what| matches!(what, Observation::WorkerState { worker, state } if *worker == uid && state == "leaving"),
    );
    let told = monotonic();
    let ready = target(&uid, at, "Ready");
    let again = |no: u64, all: bool| {
        format!("{{\"no\":{no},\"roster\":{{\"rev\":{no},\"all\":{all},\"targets\":[{ready}]}}}}\n")
    };
    for _ in 0..3 {
        bed.board.garble(&(again(1, true) + &again(2, false) + "{\"no\":2}\n{\"no\":3}\n"));
        calls.go(&mut bed, 30);
    }
    // A later event is read in its turn: all before it has been.
    bed.board.tell(&target("s-9", at, "Gone"));
    bed.wait(|what| matches!(what, Observation::WorkerState { worker, .. } if worker == "s-9"));
    calls.go(&mut bed, 30);
    let back = monotonic();
    // The same under a new number does bring it back, and the look finds it.
    bed.board.tell(&ready);
    bed.wait(
        |what| matches!(what, Observation::WorkerState { worker, state } if *worker == uid && state == "active"),
    );
    calls.until(&mut bed, back + 300 * MS);
    let records = bed.finish();
    let before: Vec<_> = records.iter().filter(|r| r.time <= back).cloned().collect();
    assert_eq!(after(&before, &uid, told), Vec::<String>::new());
    assert!(!after(&records, &uid, told).is_empty());
    assert_eq!(check(&records, &rules()), []);
}
