//! A scheduler that reports readiness serves calls: after its start, whatever the state of discovery, and after a
//! reload. Readiness after a stall is covered by the program's own tests.

use crate::common::*;
use basaltward_fakes::{FakeBulletin, ThriftClient, ThriftReply};
use basaltward_rules::check;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// Queries the readiness check that a front uses before it sends traffic to a scheduler.
fn is_ready(client: &mut ThriftClient) -> bool {
    client.is_ready().expect("reply read").expect("connection open")
}

fn wait_until_ready(client: &mut ThriftClient) {
    let until = Instant::now() + TEST_TIMEOUT;
    while !is_ready(client) {
        assert!(Instant::now() < until, "the scheduler never became ready");
        // A front repeats the check after a pause.
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// After a positive check the very next call is served, on its own connection.
fn serves_at_once(harness: &mut Harness, number: u64, when: &str) {
    let reply = harness.call(&call(number, ["view", "extract"][number as usize % 2]));
    assert!(matches!(reply, ThriftReply::Served(_)), "{when}: {reply:?}");
}

/// An address without a listener.
fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("port known")
}

/// How the bulletin announces the workers, none of which is in the configuration.
type Announce = fn(&FakeBulletin, &str);

#[test]
fn a_scheduler_without_workers_is_not_ready_until_one_that_takes_calls_is_listed() {
    let variants: [(&str, Announce); 2] = [
        ("an update", |board, entry| board.publish(entry)),
        ("a full list", |board, entry| board.publish_full_list(entry)),
    ];
    for (what, announce) in variants {
        let without_workers = |text: String| {
            let (head, tail) = text.split_once("\"targets\":[").expect("a list");
            let (_, tail) = tail.split_once("]}}]}").expect("its end");
            format!("{head}\"targets\":[]}}}}]}}{tail}")
        };
        let mut harness = Harness::with_config(Limits::default(), 1, without_workers, |_, exec| exec.serve());
        let mut front = harness.client();
        let until = Instant::now() + Duration::from_millis(200);
        while Instant::now() < until {
            assert!(!is_ready(&mut front), "{what}: ready without a worker");
            std::thread::sleep(Duration::from_millis(5));
        }
        // A draining worker takes no calls.
        let at = harness.workers[0].address();
        harness.board.publish(&bulletin_entry("s-9", unused_address(), "Terminating"));
        harness
.wait_for(
|what| matches!(what, basaltward_rules::Observation::WorkerState { worker, .. } if worker == "s-9"),
);
        assert!(!is_ready(&mut front), "{what}: ready although the only worker drains");
        announce(&harness.board, &bulletin_entry("s-0", at, "Ready"));
        wait_until_ready(&mut front);
        serves_at_once(&mut harness, 1, what);
        assert_eq!(harness.check_rules(), []);
    }
}

#[test]
fn a_ready_scheduler_serves_while_discovery_is_down_or_a_worker_is_gone() {
    let unanswering = TcpListener::bind("127.0.0.1:0").expect("port known");
    for bulletin in [unused_address(), unanswering.local_addr().expect("address known")] {
        let with_bulletin_down = |text: String| {
            let (head, tail) = text.split_once("\"bulletin\":\"").expect("address known");
            let (_, tail) = tail.split_once('"').expect("its end");
            // One of the configured workers is gone.
            let known = format!("\"targets\":[{},", bulletin_entry("s-9", unused_address(), "Ready"));
            format!("{head}\"bulletin\":\"{bulletin}\"{tail}").replace("\"targets\":[", &known)
        };
        let mut harness =
            Harness::with_config(Limits::default(), 1, with_bulletin_down, |_, exec| exec.serve());
        wait_until_ready(&mut harness.client());
        for number in 1..5 {
            serves_at_once(&mut harness, number, "discovery is down");
        }
        assert_eq!(check(&harness.finish(), &rule_settings()), []);
    }
}

#[test]
fn a_ready_scheduler_serves_after_a_reload() {
    let mut harness = Harness::new(Limits::default(), 2, |_, exec| exec.serve());
    let mut front = harness.client();
    wait_until_ready(&mut front);
    let (reachable, first) = (
        FakeBulletin::start(2).expect("bulletin started"),
        std::fs::read_to_string(&harness.config).expect("read"),
    );
    let old = harness.board.address().to_string();
    let moved = |to: SocketAddr| first.replace(&old, &to.to_string());
    // A reachable bulletin, one that refuses connections, a truncated file, and the first one again.
    let files = [
        moved(reachable.address()),
        moved(unused_address()),
        first[..first.len() / 2].to_owned(),
        first.clone(),
    ];
    for (number, file) in files.iter().enumerate() {
        std::fs::write(&harness.config, file).expect("configuration written");
        harness.control.reload();
        for again in 0..5 {
            wait_until_ready(&mut front);
            serves_at_once(&mut harness, 10 * number as u64 + again, &format!("configuration {number}"));
        }
    }
    assert_eq!(harness.check_rules(), []);
}
