//! Requests that lie in the socket of a worker that does not read: once nobody waits for them they must not come whole
//! to it, however late it reads on.

use crate::common::*;
use basaltward_net::{Micros, monotonic};
use basaltward_rules::Observation;
use basaltward_standins::{Act, Exec};
use std::time::Duration;

const MS: Micros = 1_000;
/// An attempt may come whole for so long after its client has gone.
const GONE: Micros = 100 * MS;
/// For how long the worker reads nothing.
const DEAF: Duration = Duration::from_millis(2_500);
/// Some bytes of a body so large stay with the caller's system.
const BODY: usize = 16 << 10;

/// Serves the first request, then reads nothing for a while.
fn deaf(_: usize, exec: &Exec) -> Vec<Act> {
    let mut acts = exec.serve();
    if exec.nth == 0 {
        acts.push(Act::Wait(DEAF));
    }
    acts
}

/// A request that its worker does not read is given up: its client leaves, or its time runs out. Gives when that was and
/// when it came whole to the worker, if it did.
fn given_up(way: &str) -> (Micros, Option<Micros>) {
    let mut bed = Bed::new(Limits { connect_ms: 100, ..Limits::default() }, 1, deaf);
    bed.workers[0].narrow().expect("narrow");
    serves(&mut bed);
    let mut client = bed.client();
    let timeout_ms = if way == "deadline" { 800 } else { 8_000 };
    let one = Call { timeout_ms, body: vec![7; BODY], ..call(7 << 40, "extract") };
    let asked = bed.submit(&mut client, &one);
    bed.wait(|what| matches!(what, Observation::Sent { event, .. } if *event == one.id));
    // A connection is doubted once it has been silent for as long as connecting may take.
    std::thread::sleep(Duration::from_millis(300));
    let left = match way {
        "deadline" => bed.read(&mut client, &[&asked]).map(|_| monotonic()).expect("an answer"),
        way => {
            drop(leave(client, &[asked.seqid], way));
            monotonic()
        }
    };
    std::thread::sleep(DEAF);
    let came = |what: &Observation| matches!(what, Observation::Arrived { event, .. } if *event == one.id);
    let at = bed.finish().iter().find(|record| came(&record.observation)).map(|record| record.time);
    (left, at)
}

#[test]
fn what_a_worker_has_not_read_does_not_begin_once_its_client_has_gone() {
    std::thread::scope(|scope| {
        for way in WAYS.into_iter().chain(["deadline"]) {
            scope.spawn(move || {
                let (left, came) = given_up(way);
                let late = came.map(|at| at.saturating_sub(left));
                assert!(late.is_none_or(|late| late <= GONE), "{way}: it came whole {late:?} us after");
            });
        }
    });
}
