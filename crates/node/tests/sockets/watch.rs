//! Event ordering on the watch of the worker list, also while the configuration is reloaded.

use crate::common::*;
use basaltward_fakes::{ExecRequest, FakeBulletin, ThriftReply, WorkerAction, answer_line};
use basaltward_rules::{Observation, Record, check};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn serve(_: usize, exec: &ExecRequest) -> Vec<WorkerAction> {
    exec.serve()
}

/// Replaces the address of the bulletin in the configuration file.
fn set_bulletin(harness: &Harness, from: SocketAddr, to: SocketAddr) {
    let text = std::fs::read_to_string(&harness.config).expect("configuration file readable");
    std::fs::write(&harness.config, text.replace(&from.to_string(), &to.to_string()))
        .expect("configuration written");
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "timed out: {what}");
        // The stand-in bulletin offers no notification for this, so the condition is polled.
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn wait_for_state(harness: &Harness, uid: &str, expected: &str) {
    harness.wait_for(|what| {
        matches!(what, Observation::WorkerState { worker, state }
if worker == uid && state == expected)
    });
}

/// How often a worker's state was reported.
fn count(records: &[Record], uid: &str, expected: &str) -> usize {
    let reported = |r: &&Record| {
        matches!(&r.observation, Observation::WorkerState { worker, state }
if worker == uid && state == expected)
    };
    records.iter().filter(reported).count()
}

fn expect_call_served(harness: &mut Harness, number: u64) {
    assert!(matches!(harness.call(&call(number, "view")), ThriftReply::Served(_)), "call {number}");
}

/// An entry of a worker that does not exist; nothing listens at its address.
fn absent_worker(uid: &str, state: &str) -> String {
    bulletin_entry(uid, ([127, 0, 0, 1], 9).into(), state)
}

#[test]
fn an_event_truncated_in_transit_is_received_again_complete() {
    for reset in [false, true] {
        let mut harness = Harness::new(Limits::default(), 2, serve);
        wait_until("the bulletin is queried", || harness.board.open_connections() == 1);
        let leaving = bulletin_entry("s-0", harness.workers[0].address(), "Terminating");
        harness.board.disconnect_mid_event(&leaving, reset);
        wait_for_state(&harness, "s-0", "leaving");
        harness.board.publish(&absent_worker("s-9", "Gone"));
        wait_for_state(&harness, "s-9", "gone");
        for number in 0..20 {
            expect_call_served(&mut harness, number);
        }
        let queries = harness.board.received_requests();
        assert_eq!(queries.iter().filter(|a| **a != "after 1" && **a != "after 2").count(), 0, "{queries:?}");
        let records = harness.finish();
        assert_eq!((count(&records, "s-0", "leaving"), count(&records, "s-9", "gone")), (1, 1));
        assert_eq!(check(&records, &rule_settings()), []);
    }
}

#[test]
fn a_late_reply_of_the_old_bulletin_is_ignored_once_the_new_one_has_replied() {
    let mut harness = Harness::new(Limits::default(), 2, serve);
    wait_until("the bulletin is queried", || harness.board.open_connections() == 1);
    // The old bulletin disconnects, is queried again and delays its reply.
    harness.board.set_silent(true);
    harness.board.disconnect_all();
    wait_until("the bulletin is queried again", || harness.board.open_connections() == 1);
    let new = FakeBulletin::start(2).expect("bulletin started");
    new.publish(&bulletin_entry("s-0", harness.workers[0].address(), "Terminating"));
    set_bulletin(&harness, harness.board.address(), new.address());
    harness.control.reload();
    wait_for_state(&harness, "s-0", "leaving");
    // Only now it replies, with event numbers that the new bulletin has not sent yet.
    for uid in ["old-2", "old-3", "old-4"] {
        harness.board.publish(&absent_worker(uid, "Ready"));
    }
    harness.board.resume_and_resend();
    wait_until("the old connection has ended", || harness.board.open_connections() == 0);
    new.publish(&absent_worker("s-9", "Gone"));
    wait_for_state(&harness, "s-9", "gone");
    for number in 0..20 {
        expect_call_served(&mut harness, number);
    }
    assert_eq!((new.received_requests(), new.open_connections()), (vec!["after 1".to_owned()], 1));
    let records = harness.finish();
    let old = records.iter().any(
        |r| matches!(&r.observation, Observation::WorkerState { worker, .. } if worker.starts_with("old")),
    );
    assert!(!old, "an event of the old bulletin was applied");
    assert_eq!(check(&records, &rule_settings()), []);
}

#[test]
fn events_of_the_old_bulletin_apply_once_until_the_new_one_replies() {
    let mut harness = Harness::new(Limits::default(), 2, serve);
    wait_until("the bulletin is queried", || harness.board.open_connections() == 1);
    let new = FakeBulletin::start(2).expect("bulletin started");
    new.set_silent(true);
    set_bulletin(&harness, harness.board.address(), new.address());
    harness.control.reload();
    wait_until("the new bulletin is queried", || new.open_connections() == 1);
    let leaving = bulletin_entry("s-0", harness.workers[0].address(), "Terminating");
    harness.board.publish(&leaving);
    wait_for_state(&harness, "s-0", "leaving");
    new.publish(&leaving);
    new.publish(&absent_worker("s-9", "Gone"));
    new.resume_and_resend();
    wait_for_state(&harness, "s-9", "gone");
    wait_until("the old bulletin is disconnected", || harness.board.open_connections() == 0);
    expect_call_served(&mut harness, 1);
    let records = harness.finish();
    assert_eq!((count(&records, "s-0", "leaving"), count(&records, "s-9", "gone")), (1, 1));
    assert_eq!(check(&records, &rule_settings()), []);
}

#[test]
fn switching_bulletins_back_and_forth_leaves_one_connection_to_the_last() {
    let mut harness = Harness::new(Limits::default(), 1, serve);
    wait_until("the bulletin is queried", || harness.board.open_connections() == 1);
    harness.board.publish(&absent_worker("s-8", "Gone"));
    wait_for_state(&harness, "s-8", "gone");
    let (other, original) = (FakeBulletin::start(2).expect("bulletin started"), harness.board.address());
    other.set_silent(true);
    for turn in 1..=5 {
        set_bulletin(&harness, original, other.address());
        harness.control.reload();
        wait_until("the other bulletin is queried", || other.open_connections() == 1);
        set_bulletin(&harness, other.address(), original);
        harness.control.reload();
        wait_until("the bulletin is queried again", || harness.board.received_requests().len() == turn + 1);
        wait_until("one connection is left", || {
            (harness.board.open_connections(), other.open_connections()) == (1, 0)
        });
    }
    harness.board.publish(&absent_worker("s-9", "Gone"));
    wait_for_state(&harness, "s-9", "gone");
    assert_eq!((harness.board.open_connections(), harness.board.received_requests().len()), (1, 6));
    expect_call_served(&mut harness, 1);
    assert_eq!(count(&harness.finish(), "s-9", "gone"), 1);
}

#[test]
fn reconnects_to_a_bulletin_that_keeps_failing_are_rate_limited() {
    let mut harness = Harness::new(Limits::default(), 1, serve);
    wait_until("the bulletin is queried", || harness.board.open_connections() == 1);
    let began = Instant::now();
    let mut breaks = 0;
    // Each time a valid event, followed by one with a gap in the numbers.
    while began.elapsed() < Duration::from_secs(3) {
        if harness.board.received_requests().len() > breaks {
            breaks = harness.board.received_requests().len();
            harness.board.send_raw("{\"no\":1}\n{\"no\":7}\n");
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!((3..=14).contains(&breaks), "{breaks} in 3 s");
    harness.board.publish(&absent_worker("s-9", "Gone"));
    wait_for_state(&harness, "s-9", "gone");
    expect_call_served(&mut harness, 1);
    assert_eq!(check(&harness.finish(), &rule_settings()), []);
}

#[test]
fn a_removed_worker_and_a_new_one_at_its_address_may_arrive_in_any_order() {
    for variant in [0, 1, 2, 3] {
        // The old worker's answer is in flight while its end and the new worker are announced.
        let slow = |_: usize, exec: &ExecRequest| match exec.arrival_index {
            0 => {
                let served = answer_line(&exec.id, "OK", "detail=up", &exec.reversed_body());
                vec![
                    WorkerAction::Run,
                    WorkerAction::Wait(Duration::from_millis(300)),
                    WorkerAction::Write(served),
                ]
            }
            _ => exec.serve(),
        };
        let mut harness = Harness::new(Limits::default(), 1, slow);
        let at = harness.workers[0].address();
        wait_until("the bulletin is queried", || harness.board.open_connections() == 1);
        let mut client = harness.client();
        let submitted = harness.submit(&mut client, &call(1, "extract"));
        harness.wait_for(|what| matches!(what, Observation::Arrived { .. }));
        let (gone, ready) = (bulletin_entry("s-0", at, "Gone"), bulletin_entry("s-9", at, "Ready"));
        match variant {
            0 => harness.board.publish(&format!("{gone},{ready}")),
            1 => harness.board.publish(&format!("{ready},{gone}")),
            2 => harness.board.publish_batch(&[&gone, &ready]),
            _ => harness.board.publish_batch(&[&ready, &gone]),
        }
        wait_for_state(&harness, "s-9", "active");
        wait_for_state(&harness, "s-0", "gone");
        let reply = harness.read(&mut client, &[&submitted]).expect("a reply before the connection closes").1;
        assert!(matches!(reply, ThriftReply::Served(_)), "{variant}: {reply:?}");
        for number in 2..12 {
            expect_call_served(&mut harness, number);
        }
        let records = harness.finish();
        let since = records.iter().position(
            |r| matches!(r.observation, Observation::WorkerState { ref worker, .. } if worker == "s-9"),
        );
        let sent: Vec<_> = records[since.expect("state reported")..]
            .iter()
            .filter_map(|r| {
                if let Observation::Sent { worker, .. } = &r.observation {
                    Some(worker.as_str())
                } else {
                    None
                }
            })
            .collect();
        assert_eq!(sent, vec!["s-9"; 10], "{variant}");
        // No connection of the old worker carries anything for the new one.
        let ports = |uid: &str| -> Vec<String> {
            let of = |r: &Record| match &r.observation {
                Observation::Sent { worker, attempt, .. } if worker == uid => {
                    attempt.rsplit_once('@').map(|(_, port)| port.to_owned())
                }
                _ => None,
            };
            records.iter().filter_map(of).collect()
        };
        assert!(ports("s-9").iter().all(|port| !ports("s-0").contains(port)), "{variant}");
    }
}

#[test]
fn a_drain_and_a_return_in_one_read_apply_in_order() {
    let mut harness = Harness::new(Limits::default(), 2, serve);
    wait_until("the bulletin is queried", || harness.board.open_connections() == 1);
    for number in 0..20 {
        expect_call_served(&mut harness, number);
    }
    let execs =
        |i: &usize| harness.workers[*i].received_lines().iter().filter(|l| l.starts_with("exec")).count();
    let busiest = (0..2).max_by_key(execs).expect("two workers");
    let entry = |at: usize, state| bulletin_entry(&format!("s-{at}"), harness.workers[at].address(), state);
    // The worker with most of the calls drains, in an event that first lists it as ready; the other one drains and
    // returns.
    let events = [
        entry(1 - busiest, "Terminating"),
        entry(1 - busiest, "Ready"),
        entry(busiest, "Terminating"),
        format!("{},{}", entry(busiest, "Ready"), entry(busiest, "Terminating")),
        absent_worker("s-8", "Gone"),
    ];
    harness.board.publish_batch(&events.iter().map(String::as_str).collect::<Vec<_>>());
    wait_for_state(&harness, "s-8", "gone");
    for number in 20..40 {
        expect_call_served(&mut harness, number);
    }
    let records = harness.finish();
    let since = records
        .iter()
        .position(|r| matches!(&r.observation, Observation::WorkerState { worker, .. } if worker == "s-8"));
    let sent = records[since.expect("state reported")..].iter();
    let sent: Vec<_> = sent
        .filter_map(|r| {
            if let Observation::Sent { worker, .. } = &r.observation { Some(worker.as_str()) } else { None }
        })
        .collect();
    assert_eq!(sent, vec![format!("s-{}", 1 - busiest); 20]);
    assert_eq!(check(&records, &rule_settings()), []);
}

/// An event with this number and total length, line end included, that contains an unknown field.
fn long_event(no: u64, length: usize, uid: &str) -> String {
    let (head, tail) = (
        format!("{{\"no\":{no},\"filler\":\""),
        format!("\",\"roster\":{{\"targets\":[{}]}}}}\n", absent_worker(uid, "Gone")),
    );
    let filler = "x".repeat(length - head.len() - tail.len());
    head + &filler + &tail
}

#[test]
fn a_line_of_one_mebibyte_is_accepted_and_a_longer_one_only_closes_its_connection() {
    let mut harness = Harness::new(Limits::default(), 1, serve);
    wait_until("the bulletin is queried", || harness.board.open_connections() == 1);
    harness.board.send_raw(&long_event(2, (1 << 20) - 1, "s-2"));
    wait_for_state(&harness, "s-2", "gone");
    harness.board.send_raw(&long_event(3, 1 << 20, "s-3"));
    wait_for_state(&harness, "s-3", "gone");
    assert_eq!(harness.board.received_requests(), ["after 1"]);
    harness.board.send_raw(&long_event(4, (1 << 20) + 1, "s-4"));
    wait_until("the bulletin is queried again", || harness.board.received_requests().len() == 2);
    expect_call_served(&mut harness, 1);
    assert_eq!(harness.board.received_requests()[1], "after 3");
    let records = harness.finish();
    assert_eq!(count(&records, "s-4", "gone"), 0);
    assert_eq!(check(&records, &rule_settings()), []);
}

#[test]
fn an_invalid_line_closes_its_connection_and_its_event_is_requested_again() {
    let bad = [
        // An unknown state, a worker without an address, an invalid endpoint, a number out of range, invalid JSON.
        absent_worker("s-5", "Resting"),
        r#"{"uid":"s-5","state":"Ready"}"#.into(),
        absent_worker("s-5", "Ready").replace("127.0.0.1:9", "here"),
        absent_worker("s-5", "Ready").replace("\"capacity_hint\":1", "\"capacity_hint\":1e999"),
        "{".into(),
    ];
    for (nth, bad) in bad.iter().enumerate() {
        let mut harness = Harness::new(Limits::default(), 1, serve);
        wait_until("the bulletin is queried", || harness.board.open_connections() == 1);
        // The valid entry of the same event must not be applied on its own.
        let line =
            format!("{{\"no\":2,\"roster\":{{\"targets\":[{},{bad}]}}}}\n", absent_worker("s-4", "Gone"));
        harness.board.send_raw(&line);
        wait_until("the bulletin is queried again", || harness.board.received_requests().len() == 2);
        harness.board.publish(&absent_worker("s-9", "Gone"));
        wait_for_state(&harness, "s-9", "gone");
        expect_call_served(&mut harness, 1);
        assert_eq!(harness.board.received_requests()[1], "after 1", "{nth}");
        let records = harness.finish();
        assert_eq!((count(&records, "s-4", "gone"), count(&records, "s-9", "gone")), (0, 1), "{nth}");
    }
}
