//! Clients that have gone, by a revoke or by the end of their connection: nothing of theirs begins any more, and what is
//! out is given up. What a stall of the process does to their order is in the program's own tests.

use crate::common::*;
use basaltward_rules::What;
use basaltward_standins::{Act, Exec, LineWorker, answer};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use std::time::Instant;

/// A call that workers do not answer, with a client that waits for longer than a test.
fn held(number: u64, class: &'static str) -> Call {
    Call { id: format!("f{number:015x}"), timeout_ms: 60_000, ..call(number, class) }
}

fn holds(_: usize, exec: &Exec) -> Vec<Act> {
    if exec.id.starts_with('f') { vec![Act::Run] } else { exec.serve() }
}

fn ran(harness: &Harness, call: &Call) {
    harness.wait_for(|what| matches!(what, What::Ran { event, .. } if *event == call.id));
}

fn execs(harness: &Harness, call: &Call) -> usize {
    let of = format!("exec {}", call.id);
    harness.workers.iter().flat_map(LineWorker::lines).filter(|line| line.starts_with(&of)).count()
}

/// Waits for a line that came to the first worker.
fn line(harness: &Harness, found: impl Fn(&str) -> bool) -> String {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(line) = harness.workers[0].lines().into_iter().find(|line| found(line)) {
            return line;
        }
        assert!(Instant::now() < until, "never came: {:?}", harness.workers[0].lines());
        std::thread::yield_now();
    }
}

fn dropped(harness: &Harness, call: &Call) {
    line(harness, |line| line == format!("drop {}", call.id));
}

#[test]
fn with_as_many_open_as_may_be_a_revoke_is_seen_and_makes_room() {
    for way in ABANDON_METHODS {
        let mut harness = Harness::new(Limits::default(), 1, holds);
        let mut client = harness.client();
        let calls: Vec<_> = (0..32).map(|n| held(n, "extract")).collect();
        let asked: Vec<_> = calls.iter().map(|one| harness.submit(&mut client, one).seqid).collect();
        ran(&harness, &calls[0]);
        harness.wait_for(|what| matches!(what, What::Taken { event } if *event == calls[31].id));
        let left = abandon(client, &asked[..1], way);
        dropped(&harness, &calls[0]);
        if let Some(mut client) = left.filter(|_| way == "revoke") {
            // One more than may be open would end the connection.
            let next = held(100, "extract");
            harness.submit(&mut client, &next);
            harness.wait_for(|what| matches!(what, What::Taken { event } if *event == next.id));
        }
        harness.control.stop();
    }
}

#[test]
fn who_does_not_read_its_answers_is_heard_all_the_same() {
    for way in ABANDON_METHODS {
        let mut harness = Harness::new(Limits::default(), 1, holds);
        let mut client = harness.client();
        let one = held(1, "extract");
        let asked = harness.submit(&mut client, &one).seqid;
        ran(&harness, &one);
        set_socket_recv_buffer_size(client.stream(), 4 << 10).expect("it stands");
        fill_output(&mut harness, &mut client);
        // More than is read ahead of a client, in front of the word that it leaves.
        for number in 5_000..5_004 {
            harness.submit(&mut client, &Call { body: vec![b'x'; 16 << 10], ..call(number, "view") });
        }
        let left = abandon(client, &[asked], way);
        dropped(&harness, &one);
        drop(left);
        harness.control.stop();
    }
}

#[test]
fn who_asks_on_without_reading_is_cut_off() {
    let mut harness = Harness::new(Limits::default(), 1, holds);
    let mut client = harness.client();
    let one = held(1, "extract");
    harness.submit(&mut client, &one);
    ran(&harness, &one);
    set_socket_recv_buffer_size(client.stream(), 4 << 10).expect("it stands");
    fill_output(&mut harness, &mut client);
    for _ in 0..40 {
        // It may have been ended already.
        let _ = client.heartbeat();
    }
    dropped(&harness, &one);
    wait_until_served(&mut harness);
    harness.control.stop();
}

#[test]
fn a_call_that_waits_for_a_load_is_not_begun_for_who_has_left() {
    for way in ABANDON_METHODS {
        let miss = |_: usize, exec: &Exec| match exec.id.starts_with('f') {
            true => vec![Act::Write(answer(&exec.id, "MISS", "-", b""))],
            false => exec.serve(),
        };
        let mut harness = Harness::new(Limits::default(), 1, miss);
        wait_until_served(&mut harness);
        harness.workers[0].hold_orders();
        let mut client = harness.client();
        let one = Call { function: "00000000000000f0".into(), ..held(1, "extract") };
        let asked = harness.submit(&mut client, &one);
        line(&harness, |line| line.starts_with("ensure") && line.contains(&one.function));
        let before = execs(&harness, &one);
        let left = abandon(client, &[asked.seqid], way);
        // Its leaving has been read once another one's call is through, a turn or two later.
        (10..13).for_each(|n| drop(harness.call(&call(n, "view"))));
        for order in harness.workers[0].lines().iter().filter(|line| line.contains(&one.function)) {
            let Some((words, port)) = order.split_once(" from=") else { continue };
            let tag = words.split(' ').nth(1).expect("a tag");
            let stands = answer(tag, "OK", "slots_up=1", b"");
            harness.workers[0].say(port.parse().expect("a port"), &stands).expect("it stands");
        }
        (20..25).for_each(|n| drop(harness.call(&call(n, "view"))));
        assert_eq!(execs(&harness, &one), before, "{way}: {:?}", harness.workers[0].lines());
        drop(left);
        harness.control.stop();
    }
}

#[test]
fn a_call_that_waits_for_a_connection_is_not_begun_for_who_has_left() {
    for way in ABANDON_METHODS {
        let limits = Limits { connect_ms: 3_000, ..Limits::default() };
        let mut harness = Harness::new(limits, 1, holds);
        wait_until_served(&mut harness);
        harness.workers[0].plug().expect("plugged");
        harness.workers[0].reset_all();
        let (mut client, mut other) = (harness.client(), harness.client());
        let (one, stays) = (held(1, "extract"), Call { timeout_ms: 60_000, ..call(2, "extract") });
        let asked = harness.submit(&mut client, &one);
        let waits = harness.submit(&mut other, &stays);
        harness.wait_for(|what| matches!(what, What::Taken { event } if *event == stays.id));
        let left = abandon(client, &[asked.seqid], way);
        other.heartbeat().and_then(|_| other.read()).expect("alive");
        harness.workers[0].unplug();
        // The other one's call goes out on what has come up.
        assert!(harness.read(&mut other, &[&waits]).is_some());
        assert_eq!(execs(&harness, &one), 0, "{way}: {:?}", harness.workers[0].lines());
        drop(left);
        harness.control.stop();
    }
}

#[test]
fn a_call_that_waits_for_its_next_attempt_is_not_begun_for_who_has_left() {
    for way in ABANDON_METHODS {
        let void = |_: usize, exec: &Exec| match exec.id.starts_with('f') {
            true => vec![Act::Write(answer(&exec.id, "VOID", "-", b""))],
            false => exec.serve(),
        };
        let mut harness = Harness::new(Limits::default(), 1, void);
        let client = &mut harness.client();
        let one = held(1, "view");
        let asked = harness.submit(client, &one).seqid;
        line(&harness, |line| line.starts_with("exec"));
        // Turned down by the only worker it waits for another, and the scheduler looks for room meanwhile.
        let sent = |line: &str| line.starts_with("exec");
        let looks = || harness.workers[0].lines().iter().skip_while(|line| !sent(line)).count() > 1;
        let until = Instant::now() + TEST_TIMEOUT;
        while !looks() {
            assert!(Instant::now() < until, "{:?}", harness.workers[0].lines());
            std::thread::yield_now();
        }
        let left = abandon(std::mem::replace(client, harness.client()), &[asked], way);
        client.heartbeat().and_then(|_| client.read()).expect("alive");
        let other = LineWorker::start("s-1", harness.recorder.clone(), Exec::serve).expect("a worker");
        harness.board.tell(&bulletin_entry("s-1", other.address(), "Ready"));
        let until = Instant::now() + TEST_TIMEOUT;
        for number in 100.. {
            let next = Call { function: format!("{number:016x}"), ..call(number, "view") };
            drop(harness.call(&next));
            if other.lines().iter().filter(|line| sent(line)).count() > 2 {
                break;
            }
            assert!(Instant::now() < until, "the new one was never used");
        }
        assert_eq!(execs(&harness, &one), 1, "{way}: {:?}", harness.workers[0].lines());
        assert!(!other.lines().iter().any(|line| line.contains(&one.id)), "{way}: {:?}", other.lines());
        drop(left);
        harness.control.stop();
    }
}
