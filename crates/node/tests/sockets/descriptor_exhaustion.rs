//! Clients that fill the descriptors that are theirs, while the bulletin is down and connections to workers break. What the
//! system's own limit does is in the program's tests and in those of the loop.

use crate::common::*;
use basaltward_standins::{Exec, LineWorker};
use std::time::{Duration, Instant};

#[test]
fn idle_clients_fill_the_descriptors_while_the_bulletin_is_down_and_all_goes_on() {
    let limits = Limits { sockets: 64, ..Limits::default() };
    let mut harness = Harness::new(limits, 1, |_, exec| exec.serve());
    wait_until_served(&mut harness);
    harness.board.down();
    // More than may be open, each of them used once and kept. By itself the scheduler would end the first of them six
    // seconds later.
    let began = Instant::now();
    let mut crowd: Vec<_> = (0..60)
        .map(|_| {
            let mut client = harness.client();
            client.heartbeat().and_then(|_| client.read()).expect("alive").expect("an answer");
            client
        })
        .collect();
    crowd.extend((0..20).map(|_| harness.client()));
    for number in 10..30 {
        harness.workers[0].reset_all();
        // Its end has come to the scheduler once it answers what was asked after it.
        let mut client = harness.client();
        client.heartbeat().and_then(|_| client.read()).expect("alive");
        drop(harness.call(&call(number, "view")));
    }
    wait_until_served(&mut harness);
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
    let other = LineWorker::start("s-1", harness.recorder.clone(), Exec::serve).expect("a worker");
    harness.board.up().expect("it listens");
    harness.board.tell(&bulletin_entry("s-1", other.address(), "Ready"));
    let until = Instant::now() + TEST_TIMEOUT;
    for number in 100.. {
        let one = Call { function: format!("{number:016x}"), ..call(number, "view") };
        drop(harness.call(&one));
        if other.lines().iter().any(|line| line.starts_with("exec")) {
            break;
        }
        assert!(Instant::now() < until, "the bulletin was never asked again");
    }
    drop(crowd);
    assert_eq!(harness.check_rules(), []);
}
