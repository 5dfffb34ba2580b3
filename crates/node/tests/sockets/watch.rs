//! What crosses on the watch of the list of workers, and while the configuration is read again.

use crate::common::*;
use basaltward_rules::{Record, What, check};
use basaltward_standins::{Act, Board, Exec, FrontReply, answer};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn serve(_: usize, exec: &Exec) -> Vec<Act> {
    exec.serve()
}

/// Has the configuration name another bulletin.
fn name_board(harness: &Harness, from: SocketAddr, to: SocketAddr) {
    let text = std::fs::read_to_string(&harness.config).expect("it is there");
    std::fs::write(&harness.config, text.replace(&from.to_string(), &to.to_string())).expect("written");
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "never: {what}");
        // The stand-in bulletin has no event for this: it is looked at.
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn told(harness: &Harness, uid: &str, wanted: &str) {
    harness.wait_for(|what| matches!(what, What::Told { worker, state } if worker == uid && state == wanted));
}

/// How often a worker's state was told.
fn count(records: &[Record], uid: &str, wanted: &str) -> usize {
    let told =
        |r: &&Record| matches!(&r.what, What::Told { worker, state } if worker == uid && state == wanted);
    records.iter().filter(told).count()
}

fn call_is_served(harness: &mut Harness, number: u64) {
    assert!(matches!(harness.call(&call(number, "view")), FrontReply::Served(_)), "call {number}");
}

/// Names that stand for no worker; the address answers nobody.
fn other(uid: &str, state: &str) -> String {
    bulletin_entry(uid, ([127, 0, 0, 1], 9).into(), state)
}

#[test]
fn an_event_cut_in_its_middle_comes_again_whole() {
    for reset in [false, true] {
        let mut harness = Harness::new(Limits::default(), 2, serve);
        wait_until("asked", || harness.board.standing() == 1);
        let leaving = bulletin_entry("s-0", harness.workers[0].address(), "Terminating");
        harness.board.break_off(&leaving, reset);
        told(&harness, "s-0", "leaving");
        harness.board.tell(&other("s-9", "Gone"));
        told(&harness, "s-9", "gone");
        for number in 0..20 {
            call_is_served(&mut harness, number);
        }
        let asked = harness.board.asked();
        assert_eq!(asked.iter().filter(|a| **a != "after 1" && **a != "after 2").count(), 0, "{asked:?}");
        let records = harness.finish();
        assert_eq!((count(&records, "s-0", "leaving"), count(&records, "s-9", "gone")), (1, 1));
        assert_eq!(check(&records, &rule_settings()), []);
    }
}

#[test]
fn a_late_answer_of_the_old_bulletin_is_not_heard_once_the_new_one_has_spoken() {
    let mut harness = Harness::new(Limits::default(), 2, serve);
    wait_until("asked", || harness.board.standing() == 1);
    // The old one breaks off, is asked again and lets that wait.
    harness.board.silence(true);
    harness.board.cut();
    wait_until("asked again", || harness.board.standing() == 1);
    let new = Board::start(2).expect("a bulletin");
    new.tell(&bulletin_entry("s-0", harness.workers[0].address(), "Terminating"));
    name_board(&harness, harness.board.address(), new.address());
    harness.control.reread();
    told(&harness, "s-0", "leaving");
    // Only now it answers, with numbers that the new one has not told yet.
    for uid in ["old-2", "old-3", "old-4"] {
        harness.board.tell(&other(uid, "Ready"));
    }
    harness.board.speak();
    wait_until("the old connection has ended", || harness.board.standing() == 0);
    new.tell(&other("s-9", "Gone"));
    told(&harness, "s-9", "gone");
    for number in 0..20 {
        call_is_served(&mut harness, number);
    }
    assert_eq!((new.asked(), new.standing()), (vec!["after 1".to_owned()], 1));
    let records = harness.finish();
    let old =
        records.iter().any(|r| matches!(&r.what, What::Told { worker, .. } if worker.starts_with("old")));
    assert!(!old, "the old one was heard");
    assert_eq!(check(&records, &rule_settings()), []);
}

#[test]
fn what_the_old_bulletin_tells_until_the_new_one_speaks_holds_and_is_not_told_twice() {
    let mut harness = Harness::new(Limits::default(), 2, serve);
    wait_until("asked", || harness.board.standing() == 1);
    let new = Board::start(2).expect("a bulletin");
    new.silence(true);
    name_board(&harness, harness.board.address(), new.address());
    harness.control.reread();
    wait_until("the new one is asked", || new.standing() == 1);
    let leaving = bulletin_entry("s-0", harness.workers[0].address(), "Terminating");
    harness.board.tell(&leaving);
    told(&harness, "s-0", "leaving");
    new.tell(&leaving);
    new.tell(&other("s-9", "Gone"));
    new.speak();
    told(&harness, "s-9", "gone");
    wait_until("the old one is left", || harness.board.standing() == 0);
    call_is_served(&mut harness, 1);
    let records = harness.finish();
    assert_eq!((count(&records, "s-0", "leaving"), count(&records, "s-9", "gone")), (1, 1));
    assert_eq!(check(&records, &rule_settings()), []);
}

#[test]
fn there_and_back_leaves_one_connection_to_the_bulletin_named_last() {
    let mut harness = Harness::new(Limits::default(), 1, serve);
    wait_until("asked", || harness.board.standing() == 1);
    harness.board.tell(&other("s-8", "Gone"));
    told(&harness, "s-8", "gone");
    let (there, back) = (Board::start(2).expect("a bulletin"), harness.board.address());
    there.silence(true);
    for turn in 1..=5 {
        name_board(&harness, back, there.address());
        harness.control.reread();
        wait_until("the other is asked", || there.standing() == 1);
        name_board(&harness, there.address(), back);
        harness.control.reread();
        wait_until("asked anew", || harness.board.asked().len() == turn + 1);
        wait_until("one is left", || (harness.board.standing(), there.standing()) == (1, 0));
    }
    harness.board.tell(&other("s-9", "Gone"));
    told(&harness, "s-9", "gone");
    assert_eq!((harness.board.standing(), harness.board.asked().len()), (1, 6));
    call_is_served(&mut harness, 1);
    assert_eq!(count(&harness.finish(), "s-9", "gone"), 1);
}

#[test]
fn a_bulletin_that_speaks_and_breaks_each_time_is_not_asked_without_a_pause() {
    let mut harness = Harness::new(Limits::default(), 1, serve);
    wait_until("asked", || harness.board.standing() == 1);
    let began = Instant::now();
    let mut breaks = 0;
    // A number ahead each time, behind one that can be read.
    while began.elapsed() < Duration::from_secs(3) {
        if harness.board.asked().len() > breaks {
            breaks = harness.board.asked().len();
            harness.board.garble("{\"no\":1}\n{\"no\":7}\n");
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!((3..=14).contains(&breaks), "{breaks} in 3 s");
    harness.board.tell(&other("s-9", "Gone"));
    told(&harness, "s-9", "gone");
    call_is_served(&mut harness, 1);
    assert_eq!(check(&harness.finish(), &rule_settings()), []);
}

#[test]
fn one_that_goes_and_a_new_one_at_its_address_may_come_in_any_order() {
    for together in [0, 1, 2, 3] {
        // The old one's answer is on its way while its end and the new one are told.
        let slow = |_: usize, exec: &Exec| match exec.nth {
            0 => {
                let served = answer(&exec.id, "OK", "detail=up", &exec.turned());
                vec![Act::Run, Act::Wait(Duration::from_millis(300)), Act::Write(served)]
            }
            _ => exec.serve(),
        };
        let mut harness = Harness::new(Limits::default(), 1, slow);
        let at = harness.workers[0].address();
        wait_until("asked", || harness.board.standing() == 1);
        let mut client = harness.client();
        let asked = harness.submit(&mut client, &call(1, "extract"));
        harness.wait_for(|what| matches!(what, What::Arrived { .. }));
        let (gone, ready) = (bulletin_entry("s-0", at, "Gone"), bulletin_entry("s-9", at, "Ready"));
        match together {
            0 => harness.board.tell(&format!("{gone},{ready}")),
            1 => harness.board.tell(&format!("{ready},{gone}")),
            2 => harness.board.tell_together(&[&gone, &ready]),
            _ => harness.board.tell_together(&[&ready, &gone]),
        }
        told(&harness, "s-9", "active");
        told(&harness, "s-0", "gone");
        let reply = harness.read(&mut client, &[&asked]).expect("an answer").1;
        assert!(matches!(reply, FrontReply::Served(_)), "{together}: {reply:?}");
        for number in 2..12 {
            call_is_served(&mut harness, number);
        }
        let records = harness.finish();
        let since =
            records.iter().position(|r| matches!(r.what, What::Told { ref worker, .. } if worker == "s-9"));
        let sent: Vec<_> = records[since.expect("told")..]
            .iter()
            .filter_map(
                |r| if let What::Sent { worker, .. } = &r.what { Some(worker.as_str()) } else { None },
            )
            .collect();
        assert_eq!(sent, vec!["s-9"; 10], "{together}");
        // No connection that the old one had carries anything of the new one.
        let ports = |uid: &str| -> Vec<String> {
            let of = |r: &Record| match &r.what {
                What::Sent { worker, attempt, .. } if worker == uid => {
                    attempt.rsplit_once('@').map(|(_, port)| port.to_owned())
                }
                _ => None,
            };
            records.iter().filter_map(of).collect()
        };
        assert!(ports("s-9").iter().all(|port| !ports("s-0").contains(port)), "{together}");
    }
}

#[test]
fn a_drain_and_a_return_in_one_read_hold_in_their_order() {
    let mut harness = Harness::new(Limits::default(), 2, serve);
    wait_until("asked", || harness.board.standing() == 1);
    for number in 0..20 {
        call_is_served(&mut harness, number);
    }
    let execs = |i: &usize| harness.workers[*i].lines().iter().filter(|l| l.starts_with("exec")).count();
    let most = (0..2).max_by_key(execs).expect("two workers");
    let entry = |at: usize, state| bulletin_entry(&format!("s-{at}"), harness.workers[at].address(), state);
    // The one that calls went to drains, in an event that names it as ready first; the other drains and returns.
    let events = [
        entry(1 - most, "Terminating"),
        entry(1 - most, "Ready"),
        entry(most, "Terminating"),
        format!("{},{}", entry(most, "Ready"), entry(most, "Terminating")),
        other("s-8", "Gone"),
    ];
    harness.board.tell_together(&events.iter().map(String::as_str).collect::<Vec<_>>());
    told(&harness, "s-8", "gone");
    for number in 20..40 {
        call_is_served(&mut harness, number);
    }
    let records = harness.finish();
    let since = records.iter().position(|r| matches!(&r.what, What::Told { worker, .. } if worker == "s-8"));
    let sent = records[since.expect("told")..].iter();
    let sent: Vec<_> = sent
        .filter_map(|r| if let What::Sent { worker, .. } = &r.what { Some(worker.as_str()) } else { None })
        .collect();
    assert_eq!(sent, vec![format!("s-{}", 1 - most); 20]);
    assert_eq!(check(&records, &rule_settings()), []);
}

/// An event of this number and length, its end included, with fields that nobody knows.
fn long_event(no: u64, length: usize, uid: &str) -> String {
    let (head, tail) = (
        format!("{{\"no\":{no},\"filler\":\""),
        format!("\",\"roster\":{{\"targets\":[{}]}}}}\n", other(uid, "Gone")),
    );
    let filler = "x".repeat(length - head.len() - tail.len());
    head + &filler + &tail
}

#[test]
fn a_line_of_a_mebibyte_is_taken_and_a_longer_one_ends_its_connection_alone() {
    let mut harness = Harness::new(Limits::default(), 1, serve);
    wait_until("asked", || harness.board.standing() == 1);
    harness.board.garble(&long_event(2, (1 << 20) - 1, "s-2"));
    told(&harness, "s-2", "gone");
    harness.board.garble(&long_event(3, 1 << 20, "s-3"));
    told(&harness, "s-3", "gone");
    assert_eq!(harness.board.asked(), ["after 1"]);
    harness.board.garble(&long_event(4, (1 << 20) + 1, "s-4"));
    wait_until("asked again", || harness.board.asked().len() == 2);
    call_is_served(&mut harness, 1);
    assert_eq!(harness.board.asked()[1], "after 3");
    let records = harness.finish();
    assert_eq!(count(&records, "s-4", "gone"), 0);
    assert_eq!(check(&records, &rule_settings()), []);
}

#[test]
fn a_line_that_cannot_be_read_ends_its_connection_and_its_event_comes_again() {
    let bad = [
        // A state that nobody knows, a worker without an address, an endpoint that is none, no JSON, no text.
        other("s-5", "Resting"),
        r#"{"uid":"s-5","state":"Ready"}"#.into(),
        other("s-5", "Ready").replace("127.0.0.1:9", "here"),
        other("s-5", "Ready").replace("\"capacity_hint\":1", "\"capacity_hint\":1e999"),
        "{".into(),
    ];
    for (nth, bad) in bad.iter().enumerate() {
        let mut harness = Harness::new(Limits::default(), 1, serve);
        wait_until("asked", || harness.board.standing() == 1);
        // The good entry of the same event is not taken by itself.
        let line = format!("{{\"no\":2,\"roster\":{{\"targets\":[{},{bad}]}}}}\n", other("s-4", "Gone"));
        harness.board.garble(&line);
        wait_until("asked again", || harness.board.asked().len() == 2);
        harness.board.tell(&other("s-9", "Gone"));
        told(&harness, "s-9", "gone");
        call_is_served(&mut harness, 1);
        assert_eq!(harness.board.asked()[1], "after 1", "{nth}");
        let records = harness.finish();
        assert_eq!((count(&records, "s-4", "gone"), count(&records, "s-9", "gone")), (0, 1), "{nth}");
    }
}
