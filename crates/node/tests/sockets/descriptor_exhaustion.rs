//! Clients use up the scheduler's descriptor budget for clients while the bulletin is down and connections to workers
//! break. The process limit itself is covered by the tests of the program and of the event loop.

use crate::common::*;
use basaltward_fakes::{ExecRequest, LineWorker};
use std::time::{Duration, Instant};

#[test]
fn calls_are_served_while_idle_clients_use_all_descriptors_and_the_bulletin_is_down() {
    let limits = Limits { sockets: 64, ..Limits::default() };
    let mut harness = Harness::new(limits, 1, |_, exec| exec.serve());
    wait_until_served(&mut harness);
    harness.board.stop_listening();
    // More connections than may be open, each used once and then kept. Left alone, the scheduler would close the
    // first of them six seconds later.
    let began = Instant::now();
    let mut idle_clients: Vec<_> = (0..60)
        .map(|_| {
            let mut client = harness.client();
            client
                .heartbeat()
                .and_then(|_| client.read())
                .expect("heartbeat answered")
                .expect("a reply before the connection closes");
            client
        })
        .collect();
    idle_clients.extend((0..20).map(|_| harness.client()));
    for number in 10..30 {
        harness.workers[0].reset_all();
        // The scheduler has seen the reset once it answers a heartbeat sent after it.
        let mut client = harness.client();
        client.heartbeat().and_then(|_| client.read()).expect("heartbeat answered");
        drop(harness.call(&call(number, "view")));
    }
    wait_until_served(&mut harness);
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
    let other =
        LineWorker::start("s-1", harness.recorder.clone(), ExecRequest::serve).expect("worker started");
    harness.board.resume_listening().expect("bulletin listens again");
    harness.board.publish(&bulletin_entry("s-1", other.address(), "Ready"));
    let until = Instant::now() + TEST_TIMEOUT;
    for number in 100.. {
        let one = Call { function: format!("{number:016x}"), ..call(number, "view") };
        drop(harness.call(&one));
        if other.received_lines().iter().any(|line| line.starts_with("exec")) {
            break;
        }
        assert!(Instant::now() < until, "the scheduler never reconnected to the bulletin");
    }
    drop(idle_clients);
    assert_eq!(harness.check_rules(), []);
}
