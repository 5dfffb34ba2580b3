//! What crosses on the watch of the list of workers, and while the configuration is read again.

use crate::common::*;
use basaltward_rules::{Observation, Record, check};
use basaltward_standins::{Act, Board, Exec, FrontReply, answer};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn serve(_: usize, exec: &Exec) -> Vec<Act> {
    exec.serve()
}

/// Has the configuration name another bulletin.
fn name_board(bed: &Bed, from: SocketAddr, to: SocketAddr) {
    let text = std::fs::read_to_string(&bed.config).expect("it is there");
    std::fs::write(&bed.config, text.replace(&from.to_string(), &to.to_string())).expect("written");
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "never: {what}");
        // The stand-in bulletin has no event for this: it is looked at.
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn told(bed: &Bed, uid: &str, wanted: &str) {
    bed.wait(
        |what| matches!(what, Observation::WorkerState { worker, state } if worker == uid && state == wanted),
    );
}

/// How often a worker's state was told.
fn count(records: &[Record], uid: &str, wanted: &str) -> usize {
    let told = |r: &&Record| matches!(&r.observation, Observation::WorkerState { worker, state } if worker == uid && state == wanted);
    records.iter().filter(told).count()
}

fn call_is_served(bed: &mut Bed, number: u64) {
    assert!(matches!(bed.call(&call(number, "view")), FrontReply::Served(_)), "call {number}");
}

/// Names that stand for no worker; the address answers nobody.
fn other(uid: &str, state: &str) -> String {
    target(uid, ([127, 0, 0, 1], 9).into(), state)
}

#[test]
fn an_event_cut_in_its_middle_comes_again_whole() {
    for reset in [false, true] {
        let mut bed = Bed::new(Limits::default(), 2, serve);
        wait_until("asked", || bed.board.standing() == 1);
        let leaving = target("s-0", bed.workers[0].address(), "Terminating");
        bed.board.break_off(&leaving, reset);
        told(&bed, "s-0", "leaving");
        bed.board.tell(&other("s-9", "Gone"));
        told(&bed, "s-9", "gone");
        for number in 0..20 {
            call_is_served(&mut bed, number);
        }
        let asked = bed.board.asked();
        assert_eq!(asked.iter().filter(|a| **a != "after 1" && **a != "after 2").count(), 0, "{asked:?}");
        let records = bed.finish();
        assert_eq!((count(&records, "s-0", "leaving"), count(&records, "s-9", "gone")), (1, 1));
        assert_eq!(check(&records, &rules()), []);
    }
}

#[test]
fn a_late_answer_of_the_old_bulletin_is_not_heard_once_the_new_one_has_spoken() {
    let mut bed = Bed::new(Limits::default(), 2, serve);
    wait_until("asked", || bed.board.standing() == 1);
    // The old one breaks off, is asked again and lets that wait.
    bed.board.silence(true);
    bed.board.cut();
    wait_until("asked again", || bed.board.standing() == 1);
    let new = Board::start(2).expect("a bulletin");
    new.tell(&target("s-0", bed.workers[0].address(), "Terminating"));
    name_board(&bed, bed.board.address(), new.address());
    bed.control.reload();
    told(&bed, "s-0", "leaving");
    // Only now it answers, with numbers that the new one has not told yet.
    for uid in ["old-2", "old-3", "old-4"] {
        bed.board.tell(&other(uid, "Ready"));
    }
    bed.board.speak();
    wait_until("the old connection has ended", || bed.board.standing() == 0);
    new.tell(&other("s-9", "Gone"));
    told(&bed, "s-9", "gone");
    for number in 0..20 {
        call_is_served(&mut bed, number);
    }
    assert_eq!((new.asked(), new.standing()), (vec!["after 1".to_owned()], 1));
    let records = bed.finish();
    let old = records.iter().any(
        |r| matches!(&r.observation, Observation::WorkerState { worker, .. } if worker.starts_with("old")),
    );
    assert!(!old, "the old one was heard");
    assert_eq!(check(&records, &rules()), []);
}

#[test]
fn what_the_old_bulletin_tells_until_the_new_one_speaks_holds_and_is_not_told_twice() {
    let mut bed = Bed::new(Limits::default(), 2, serve);
    wait_until("asked", || bed.board.standing() == 1);
    let new = Board::start(2).expect("a bulletin");
    new.silence(true);
    name_board(&bed, bed.board.address(), new.address());
    bed.control.reload();
    wait_until("the new one is asked", || new.standing() == 1);
    let leaving = target("s-0", bed.workers[0].address(), "Terminating");
    bed.board.tell(&leaving);
    told(&bed, "s-0", "leaving");
    new.tell(&leaving);
    new.tell(&other("s-9", "Gone"));
    new.speak();
    told(&bed, "s-9", "gone");
    wait_until("the old one is left", || bed.board.standing() == 0);
    call_is_served(&mut bed, 1);
    let records = bed.finish();
    assert_eq!((count(&records, "s-0", "leaving"), count(&records, "s-9", "gone")), (1, 1));
    assert_eq!(check(&records, &rules()), []);
}

#[test]
fn there_and_back_leaves_one_connection_to_the_bulletin_named_last() {
    let mut bed = Bed::new(Limits::default(), 1, serve);
    wait_until("asked", || bed.board.standing() == 1);
    bed.board.tell(&other("s-8", "Gone"));
    told(&bed, "s-8", "gone");
    let (there, back) = (Board::start(2).expect("a bulletin"), bed.board.address());
    there.silence(true);
    for turn in 1..=5 {
        name_board(&bed, back, there.address());
        bed.control.reload();
        wait_until("the other is asked", || there.standing() == 1);
        name_board(&bed, there.address(), back);
        bed.control.reload();
        wait_until("asked anew", || bed.board.asked().len() == turn + 1);
        wait_until("one is left", || (bed.board.standing(), there.standing()) == (1, 0));
    }
    bed.board.tell(&other("s-9", "Gone"));
    told(&bed, "s-9", "gone");
    assert_eq!((bed.board.standing(), bed.board.asked().len()), (1, 6));
    call_is_served(&mut bed, 1);
    assert_eq!(count(&bed.finish(), "s-9", "gone"), 1);
}

#[test]
fn a_bulletin_that_speaks_and_breaks_each_time_is_not_asked_without_a_pause() {
    let mut bed = Bed::new(Limits::default(), 1, serve);
    wait_until("asked", || bed.board.standing() == 1);
    let began = Instant::now();
    let mut breaks = 0;
    // A number ahead each time, behind one that can be read.
    while began.elapsed() < Duration::from_secs(3) {
        if bed.board.asked().len() > breaks {
            breaks = bed.board.asked().len();
            bed.board.garble("{\"no\":1}\n{\"no\":7}\n");
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!((3..=14).contains(&breaks), "{breaks} in 3 s");
    bed.board.tell(&other("s-9", "Gone"));
    told(&bed, "s-9", "gone");
    call_is_served(&mut bed, 1);
    assert_eq!(check(&bed.finish(), &rules()), []);
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
        let mut bed = Bed::new(Limits::default(), 1, slow);
        let at = bed.workers[0].address();
        wait_until("asked", || bed.board.standing() == 1);
        let mut client = bed.client();
        let asked = bed.submit(&mut client, &call(1, "extract"));
        bed.wait(|what| matches!(what, Observation::Arrived { .. }));
        let (gone, ready) = (target("s-0", at, "Gone"), target("s-9", at, "Ready"));
        match together {
            0 => bed.board.tell(&format!("{gone},{ready}")),
            1 => bed.board.tell(&format!("{ready},{gone}")),
            2 => bed.board.tell_together(&[&gone, &ready]),
            _ => bed.board.tell_together(&[&ready, &gone]),
        }
        told(&bed, "s-9", "active");
        told(&bed, "s-0", "gone");
        let reply = bed.read(&mut client, &[&asked]).expect("an answer").1;
        assert!(matches!(reply, FrontReply::Served(_)), "{together}: {reply:?}");
        for number in 2..12 {
            call_is_served(&mut bed, number);
        }
        let records = bed.finish();
        let since = records.iter().position(
            |r| matches!(r.observation, Observation::WorkerState { ref worker, .. } if worker == "s-9"),
        );
        let sent: Vec<_> = records[since.expect("told")..]
            .iter()
            .filter_map(|r| {
                if let Observation::Sent { worker, .. } = &r.observation {
                    Some(worker.as_str())
                } else {
                    None
                }
            })
            .collect();
        assert_eq!(sent, vec!["s-9"; 10], "{together}");
        // No connection that the old one had carries anything of the new one.
        let ports = |uid: &str| -> Vec<String> {
            let of = |r: &Record| match &r.observation {
                Observation::Sent { worker, attempt, .. } if worker == uid => {
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
    let mut bed = Bed::new(Limits::default(), 2, serve);
    wait_until("asked", || bed.board.standing() == 1);
    for number in 0..20 {
        call_is_served(&mut bed, number);
    }
    let execs = |i: &usize| bed.workers[*i].lines().iter().filter(|l| l.starts_with("exec")).count();
    let most = (0..2).max_by_key(execs).expect("two workers");
    let entry = |at: usize, state| target(&format!("s-{at}"), bed.workers[at].address(), state);
    // The one that calls went to drains, in an event that names it as ready first; the other drains and returns.
    let events = [
        entry(1 - most, "Terminating"),
        entry(1 - most, "Ready"),
        entry(most, "Terminating"),
        format!("{},{}", entry(most, "Ready"), entry(most, "Terminating")),
        other("s-8", "Gone"),
    ];
    bed.board.tell_together(&events.iter().map(String::as_str).collect::<Vec<_>>());
    told(&bed, "s-8", "gone");
    for number in 20..40 {
        call_is_served(&mut bed, number);
    }
    let records = bed.finish();
    let since = records
        .iter()
        .position(|r| matches!(&r.observation, Observation::WorkerState { worker, .. } if worker == "s-8"));
    let sent = records[since.expect("told")..].iter();
    let sent: Vec<_> = sent
        .filter_map(|r| {
            if let Observation::Sent { worker, .. } = &r.observation { Some(worker.as_str()) } else { None }
        })
        .collect();
    assert_eq!(sent, vec![format!("s-{}", 1 - most); 20]);
    assert_eq!(check(&records, &rules()), []);
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
    let mut bed = Bed::new(Limits::default(), 1, serve);
    wait_until("asked", || bed.board.standing() == 1);
    bed.board.garble(&long_event(2, (1 << 20) - 1, "s-2"));
    told(&bed, "s-2", "gone");
    bed.board.garble(&long_event(3, 1 << 20, "s-3"));
    told(&bed, "s-3", "gone");
    assert_eq!(bed.board.asked(), ["after 1"]);
    bed.board.garble(&long_event(4, (1 << 20) + 1, "s-4"));
    wait_until("asked again", || bed.board.asked().len() == 2);
    call_is_served(&mut bed, 1);
    assert_eq!(bed.board.asked()[1], "after 3");
    let records = bed.finish();
    assert_eq!(count(&records, "s-4", "gone"), 0);
    assert_eq!(check(&records, &rules()), []);
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
        let mut bed = Bed::new(Limits::default(), 1, serve);
        wait_until("asked", || bed.board.standing() == 1);
        // The good entry of the same event is not taken by itself.
        let line = format!("{{\"no\":2,\"roster\":{{\"targets\":[{},{bad}]}}}}\n", other("s-4", "Gone"));
        bed.board.garble(&line);
        wait_until("asked again", || bed.board.asked().len() == 2);
        bed.board.tell(&other("s-9", "Gone"));
        told(&bed, "s-9", "gone");
        call_is_served(&mut bed, 1);
        assert_eq!(bed.board.asked()[1], "after 1", "{nth}");
        let records = bed.finish();
        assert_eq!((count(&records, "s-4", "gone"), count(&records, "s-9", "gone")), (0, 1), "{nth}");
    }
}
