//! What a call gets, and what is proven of it, whatever becomes of its worker.

use crate::common::*;
use basaltward_rules::Observation;
use basaltward_standins::{Act, Exec, FrontReply, answer};
use std::time::Duration;

fn serve(_: usize, exec: &Exec) -> Vec<Act> {
    exec.serve()
}

fn served(call: &Call) -> FrontReply {
    FrontReply::Served(call.body.iter().rev().copied().collect())
}

#[test]
fn many_calls_on_one_connection_get_their_own_bodies() {
    let mut bed = Bed::new(Limits::default(), 3, serve);
    let mut client = bed.client();
    assert_eq!(
        client.heartbeat().and_then(|_| client.read()).unwrap(),
        Some((1, FrontReply::Served(vec![])))
    );
    for round in 0..10 {
        let calls: Vec<_> =
            (0..30).map(|n| call(round * 100 + n, ["view", "extract"][n as usize % 2])).collect();
        let asked: Vec<_> = calls.iter().map(|c| bed.submit(&mut client, c)).collect();
        let told = read_all(&bed, &mut client, &asked);
        for (call, asked) in calls.iter().zip(&asked) {
            assert_eq!(told[&asked.seqid], served(call));
        }
    }
    assert_eq!(bed.judge(), []);
}

#[test]
fn an_unsafe_call_is_repeated_only_where_it_never_ran() {
    // The first attempt ends in each way in turn; the second is served.
    type End = fn(&Exec) -> Vec<Act>;
    let cases: [(End, bool); 7] = [
        (|e| vec![Act::Write(answer(&e.id, "MISS", "-", b""))], true),
        (|e| vec![Act::Write(answer(&e.id, "BUSY", "company=3", b""))], true),
        (|e| vec![Act::Write(answer(&e.id, "VOID", "-", b""))], true),
        (|e| vec![Act::Run, Act::Write(answer(&e.id, "ERR", "-", b""))], false),
        (|_| vec![Act::Run, Act::Reset], false),
        (|_| vec![Act::Run, Act::Close], false),
        (|e| vec![Act::Run, Act::Write(format!("{} OK - 3000000000\r\nxx", e.id).into_bytes())], false),
    ];
    for (number, (end, again)) in cases.into_iter().enumerate() {
        let script = move |_: usize, exec: &Exec| {
            let second = exec.body.starts_with(b"second");
            if exec.nth == 0 && !second { end(exec) } else { exec.serve() }
        };
        let mut bed = Bed::new(Limits::default(), 1, script);
        let call = call(1, "extract");
        let told = bed.call(&call);
        // A call that never ran may also be turned away; one that may have run has failed.
        if again {
            assert!(told == served(&call) || matches!(told, FrontReply::Rejected(_)), "{number}: {told:?}");
        } else {
            assert_eq!(told, FrontReply::Crashed, "{number}");
        }
        assert_eq!(bed.judge(), [], "{number}");
    }
}

#[test]
fn a_second_copy_an_unknown_id_and_a_late_answer_are_nobodys() {
    let script = |_: usize, exec: &Exec| {
        let ahead = answer("00000000000000ff", "OK", "-", b"not yours");
        let mut acts = vec![Act::Write(ahead)];
        acts.extend(exec.serve());
        acts.push(Act::Write(answer(&exec.id, "OK", "detail=up", b"a second copy")));
        acts
    };
    let mut bed = Bed::new(Limits { sockets: 32, ..Limits::default() }, 1, script);
    let mut client = bed.client();
    for round in 0..20 {
        let calls: Vec<_> = (0..10).map(|n| call(round * 100 + n, "extract")).collect();
        let asked: Vec<_> = calls.iter().map(|c| bed.submit(&mut client, c)).collect();
        let told = read_all(&bed, &mut client, &asked);
        calls.iter().zip(&asked).for_each(|(call, asked)| assert_eq!(told[&asked.seqid], served(call)));
    }
    assert_eq!(bed.judge(), []);
}

#[test]
fn a_spoilt_answer_is_never_passed_on_and_safe_calls_go_elsewhere() {
    let noise: [&[u8]; 4] = [b"\xff\xfe\0\r\n", b"x x x x\r\n", &[b'y'; 5_000], b"zz OK - -1\r\n"];
    let script = move |_: usize, exec: &Exec| match exec.nth % 3 {
        0 => vec![Act::Run, Act::Write(noise[exec.nth / 3 % 4].to_vec())],
        _ => exec.serve(),
    };
    let mut bed = Bed::new(Limits::default(), 3, script);
    for number in 0..40 {
        let call = call(number, if number % 4 == 3 { "extract" } else { "view" });
        let told = bed.call(&call);
        assert!(told == served(&call) || told == FrontReply::Crashed && call.class == "extract", "{told:?}");
    }
    assert_eq!(bed.judge(), []);
}

#[test]
fn a_call_is_answered_by_its_deadline_though_its_worker_is_silent() {
    let mut bed = Bed::new(Limits::default(), 1, |_, _| vec![Act::Run]);
    for (number, class) in ["view", "extract"].into_iter().enumerate() {
        let mut short = call(number as u64, class);
        short.timeout_ms = 400;
        assert!(matches!(bed.call(&short), FrontReply::Crashed | FrontReply::Rejected(_)));
    }
    // Given up at the worker, too: it reads that a little after the client has its answer.
    let dropped = |n: u64| bed.workers[0].lines().contains(&format!("drop {n:016x}"));
    let until = std::time::Instant::now() + PATIENCE;
    while !(0..2).all(dropped) {
        assert!(std::time::Instant::now() < until, "{:?}", bed.workers[0].lines());
        std::thread::yield_now();
    }
    assert_eq!(bed.judge(), []);
}

#[test]
fn nothing_is_answered_after_revoke_and_the_worker_is_told() {
    let script = |_: usize, exec: &Exec| if exec.nth == 0 { vec![Act::Run] } else { exec.serve() };
    let mut bed = Bed::new(Limits::default(), 1, script);
    let mut client = bed.client();
    let (first, second) = (call(1, "extract"), call(2, "view"));
    let asked = bed.submit(&mut client, &first);
    bed.wait(|what| matches!(what, Observation::Ran { event, .. } if *event == first.id));
    client.revoke(asked.seqid).expect("sent");
    bed.recorder.put(
        basaltward_net::monotonic(),
        "client",
        Observation::ClientLeft { request_id: asked.tried },
    );
    let asked = bed.submit(&mut client, &second);
    assert_eq!(bed.read(&mut client, &[&asked]), Some((asked.seqid, served(&second))));
    assert!(bed.workers[0].lines().contains(&format!("drop {}", first.id)));
    assert_eq!(bed.judge(), []);
}

#[test]
fn connections_that_break_while_idle_cost_nothing() {
    let mut bed = Bed::new(Limits::default(), 2, serve);
    for number in 0..30 {
        let call = call(number, "extract");
        assert_eq!(bed.call(&call), served(&call));
        bed.workers.iter().for_each(|w| w.reset_all());
        // Its end has come to the scheduler once it answers what was asked after it.
        let mut client = bed.client();
        client.heartbeat().and_then(|_| client.read()).expect("alive");
    }
    assert_eq!(bed.judge(), []);
}

#[test]
fn requests_share_connections_where_descriptors_are_short() {
    let script = |_: usize, exec: &Exec| {
        let mut acts = vec![Act::Wait(Duration::from_millis(2))];
        acts.extend(exec.serve());
        acts
    };
    let mut bed = Bed::new(Limits { sockets: 40, streams: 4, ..Limits::default() }, 2, script);
    let mut clients: Vec<_> = (0..4).map(|_| bed.client()).collect();
    for round in 0..5u64 {
        for (at, client) in clients.iter_mut().enumerate() {
            let calls: Vec<_> = (0..8).map(|n| call(round * 1_000 + at as u64 * 100 + n, "view")).collect();
            let asked: Vec<_> = calls.iter().map(|c| bed.submit(client, c)).collect();
            let told = read_all(&bed, client, &asked);
            calls.iter().zip(&asked).for_each(|(call, asked)| assert_eq!(told[&asked.seqid], served(call)));
        }
    }
    assert_eq!(bed.judge(), []);
}
