//! Requests in the socket of a worker that does not read: once their client has given up on them they must not arrive
//! complete, however late the worker reads again.

use crate::common::*;
use basaltward_fakes::{ExecRequest, WorkerAction};
use basaltward_net::{Micros, monotonic};
use basaltward_rules::Observation;
use std::time::Duration;

const MS: Micros = 1_000;
/// How long after its client has left an attempt may still arrive complete.
const START_GRACE: Micros = 100 * MS;
/// How long the worker reads nothing.
const UNREAD_PERIOD: Duration = Duration::from_millis(2_500);
/// A body large enough that some bytes stay in the sender's kernel.
const BODY_SIZE: usize = 16 << 10;

/// Serves the first request, then reads nothing for a while.
fn stop_reading(_: usize, exec: &ExecRequest) -> Vec<WorkerAction> {
    let mut acts = exec.serve();
    if exec.arrival_index == 0 {
        acts.push(WorkerAction::Wait(UNREAD_PERIOD));
    }
    acts
}

/// Sends a request that its worker does not read, and has its client leave or its deadline pass. Returns when that
/// was, and when the request arrived complete at the worker, if it did.
fn abandon_unread(method: &str) -> (Micros, Option<Micros>) {
    let mut harness = Harness::new(Limits { connect_ms: 100, ..Limits::default() }, 1, stop_reading);
    harness.workers[0].shrink_receive_buffers().expect("receive buffer reduced");
    wait_until_served(&mut harness);
    let mut client = harness.client();
    let timeout_ms = if method == "deadline" { 800 } else { 8_000 };
    let one = Call { timeout_ms, body: vec![7; BODY_SIZE], ..call(7 << 40, "extract") };
    let submitted = harness.submit(&mut client, &one);
    harness.wait_for(|what| matches!(what, Observation::Sent { event, .. } if *event == one.id));
    // A connection counts as suspect once it has been silent for the connect timeout.
    std::thread::sleep(Duration::from_millis(300));
    let left = match method {
        "deadline" => harness
            .read(&mut client, &[&submitted])
            .map(|_| monotonic())
            .expect("a reply before the connection closes"),
        method => {
            drop(abandon(client, &[submitted.seqid], method));
            monotonic()
        }
    };
    std::thread::sleep(UNREAD_PERIOD);
    let arrived = |what: &Observation| matches!(what, Observation::Arrived { event, .. } if *event == one.id);
    let at = harness.finish().iter().find(|record| arrived(&record.observation)).map(|record| record.time);
    (left, at)
}

#[test]
fn a_request_unread_by_its_worker_does_not_start_after_its_client_left() {
    std::thread::scope(|scope| {
        for method in ABANDON_METHODS.into_iter().chain(["deadline"]) {
            scope.spawn(move || {
                let (left, arrived) = abandon_unread(method);
                let late = arrived.map(|at| at.saturating_sub(left));
                assert!(
                    late.is_none_or(|late| late <= START_GRACE),
                    "{method}: it arrived complete {late:?} us after"
                );
            });
        }
    });
}
