//! Connections to workers that end, or are answered on, at the moment in which they are wanted, and descriptors.

use crate::common::*;
use crate::link::{big, quiet, served, warm};
use basaltward_rules::{Observation, Record};
use basaltward_standins::{Act, Exec, FrontReply, LineWorker, answer};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use std::os::fd::AsRawFd;
use std::process::Command;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[test]
fn an_answer_that_crosses_its_drop_is_not_taken_for_that_to_another_request_under_its_id() {
    let (go, held) = channel::<()>();
    let held = Arc::new(Mutex::new(held));
    let script = move |_: usize, exec: &Exec| match exec.body.as_slice() {
        b"held" => vec![Act::Run],
        b"another" => {
            let _ = held.lock().expect("sound").recv();
            exec.serve()
        }
        _ => exec.serve(),
    };
    let mut bed = Bed::new(Limits::default(), 1, script);
    let warm = call(1, "extract");
    assert_eq!(bed.call(&warm), served(&warm));
    let mut client = bed.client();
    let first = Call { body: b"held".to_vec(), ..call(2, "extract") };
    let asked = bed.submit(&mut client, &first);
    bed.wait(|what| matches!(what, Observation::Ran { event, .. } if *event == first.id));
    let port = port_of(&bed, &first.id);
    client.revoke(asked.seqid).expect("sent");
    let dropped = format!("drop {}", first.id);
    until(|| bed.workers[0].lines().contains(&dropped));
    // The client uses the id anew; the first answer comes while the second request is out.
    let second = Call { body: b"another".to_vec(), ..first.clone() };
    let asked = bed.submit(&mut client, &second);
    until(|| {
        bed.workers[0].lines().iter().filter(|line| line.contains(&format!("exec {}", first.id))).count() == 2
    });
    bed.workers[0].say(port, &answer(&first.id, "OK", "detail=up", b"dleh")).expect("it stands");
    quiet(&bed);
    go.send(()).expect("it waits");
    assert_eq!(bed.read(&mut client, &[&asked]), Some((asked.seqid, served(&second))));
}

/// What the system knows of one end of a connection.
#[derive(Clone, Copy, Debug)]
struct Socket {
    local: usize,
    remote: usize,
    state: usize,
    /// Bytes that the other end's system has not taken, and that were not read here.
    unsent: usize,
    unread: usize,
    /// 0 for one that the system alone still keeps.
    inode: usize,
}

/// The connections from and to a port, at both ends.
fn sockets(of: u16) -> Vec<Socket> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("a table");
    let row = |line: &str| {
        let hex = |word: &str| usize::from_str_radix(word.rsplit(':').next()?, 16).ok();
        let words: Vec<_> = line.split_whitespace().collect();
        let (local, remote, state) = (hex(words[1])?, hex(words[2])?, hex(words[3])?);
        let (unsent, unread) = (hex(words[4].split(':').next()?)?, hex(words[4])?);
        Some(Socket { local, remote, state, unsent, unread, inode: words[9].parse().ok()? })
    };
    // The table is large where many connections have ended lately: most of it is not looked at closely.
    let of = format!(" {:08X}:{of:04X} ", u32::from_ne_bytes([127, 0, 0, 1]));
    table.lines().filter(|line| line.contains(&of)).filter_map(row).collect()
}

/// One end of a connection.
fn end_of(all: &[Socket], local: u16, remote: u16) -> Option<Socket> {
    all.iter().find(|s| (s.local, s.remote) == (local.into(), remote.into())).copied()
}

const ESTABLISHED: usize = 1;

fn until(mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "never");
        std::thread::yield_now();
    }
}

/// The port from which a request came to its worker.
fn port_of(bed: &Bed, id: &str) -> u16 {
    let mut port = 0;
    let came = |record: &Record| match &record.observation {
        Observation::Arrived { event, attempt, .. } if event == id => {
            attempt.rsplit_once('@')?.1.parse().ok()
        }
        _ => None,
    };
    assert!(bed.recorder.wait_until(PATIENCE, |all| {
        port = all.iter().find_map(came).unwrap_or_default();
        port > 0
    }));
    port
}

/// A call comes, and before it is sent on its worker ends the one connection that stands, by `end`.
fn ended_as_it_is_picked(end: impl Fn(&LineWorker)) {
    let mut rounds = 0;
    for _ in 0..20 {
        // Each time a new one: a scheduler that stood still for long turns calls away for a while.
        let mut bed = Bed::new(Limits::default(), 1, |_, exec| exec.serve());
        let warm = call(1, "extract");
        assert_eq!(bed.call(&warm), served(&warm));
        let (port, to) = (port_of(&bed, &warm.id), bed.workers[0].address().port());
        let (mut client, front) = (bed.client(), bed.address.port());
        client.heartbeat().and_then(|_| client.read()).expect("accepted");
        let from = client.port();
        let one = Call { timeout_ms: 8_000, ..call(2, "extract") };
        let mut seqid = 0;
        // The scheduler stands still at its next record, that the call was taken, for as long as this looks.
        bed.recorder.wait_until(PATIENCE, |_| {
            seqid = send(&mut client, &one);
            until(|| {
                let all = sockets(from);
                let taken = end_of(&all, from, front).is_some_and(|s| s.unsent == 0);
                taken && end_of(&all, front, from).is_some_and(|s| s.unread == 0)
            });
            end(&bed.workers[0]);
            until(|| end_of(&sockets(port), port, to).is_none_or(|s| s.state != ESTABLISHED));
            true
        });
        // Where the look took too long it is turned away, which says as well that it never ran.
        match client.read().expect("a reply") {
            Some((id, told)) if id == seqid && told == served(&one) => rounds += 1,
            told => assert!(matches!(told, Some((_, FrontReply::Rejected(_)))), "{told:?}"),
        }
        if rounds == 2 {
            return;
        }
    }
    panic!("served in {rounds} of 20 rounds");
}

#[test]
fn a_call_is_served_though_its_worker_closes_the_connection_as_it_is_picked() {
    ended_as_it_is_picked(LineWorker::close_all);
}

#[test]
fn a_call_is_served_though_its_worker_resets_the_connection_as_it_is_picked() {
    ended_as_it_is_picked(LineWorker::reset_all);
}

/// The ends of connections to a port of which somebody holds a descriptor.
fn held(to: u16) -> Vec<Socket> {
    sockets(to).into_iter().filter(|s| s.remote == usize::from(to) && s.inode != 0).collect()
}

#[test]
fn connections_that_are_closed_hold_no_descriptors_beside_those_that_may_stand() {
    // It reads nothing more on a connection from its first request on, not even its end.
    let (go, wait) = channel::<()>();
    let wait = Arc::new(Mutex::new(wait));
    let script = move |_: usize, exec: &Exec| {
        if exec.id.starts_with("00000000000001") {
            let _ = wait.lock().expect("sound").recv();
        }
        exec.serve()
    };
    let mut bed = Bed::new(Limits { sockets: 30, connect_ms: 10, ..Limits::default() }, 1, script);
    warm(&mut bed);
    // Four links of ten descriptors that are not the scheduler's own, see `Budget`.
    let (links, to) = (4, bed.workers[0].address().port());
    let mut client = bed.client();
    let mut most = Vec::new();
    for round in 0..6 {
        let calls: Vec<_> =
            (0..4).map(|n| Call { timeout_ms: 60, ..big(256 + 4 * round + n, "view") }).collect();
        let asked: Vec<_> = calls.iter().map(|call| bed.submit(&mut client, call)).collect();
        read_all(&bed, &mut client, &asked);
        let held = held(to);
        most = if held.len() > most.len() { held } else { most };
    }
    drop(go);
    assert!((1..=links).contains(&most.len()), "{most:?}");
}

#[test]
fn an_answer_of_a_worker_that_has_gone_comes_through_while_another_stands_at_its_address() {
    let (go, wait) = channel::<()>();
    let wait = Arc::new(Mutex::new(wait));
    let script = move |_: usize, exec: &Exec| {
        if exec.body == b"held" {
            let _ = wait.lock().expect("sound").recv();
        }
        exec.serve()
    };
    let mut bed = Bed::new(Limits::default(), 1, script);
    let warm = call(1, "extract");
    assert_eq!(bed.call(&warm), served(&warm));
    let mut client = bed.client();
    let held = Call { body: b"held".to_vec(), ..call(2, "extract") };
    let open = bed.submit(&mut client, &held);
    let old = port_of(&bed, &held.id);
    let at = bed.workers[0].address();
    bed.board.tell(&format!("{},{}", target("s-0", at, "Gone"), target("s-9", at, "Ready")));
    bed.wait(|what| matches!(what, Observation::WorkerState { worker, .. } if worker == "s-9"));
    let next = call(3, "extract");
    assert_eq!(bed.call(&next), served(&next));
    assert_ne!(port_of(&bed, &next.id), old);
    go.send(()).expect("it waits");
    assert_eq!(bed.read(&mut client, &[&open]), Some((open.seqid, served(&held))));
}

const CONNECTING: usize = 2;

#[test]
fn a_connection_that_never_comes_up_is_left_after_the_told_time() {
    let limits = Limits { connect_ms: 300, ..Limits::default() };
    let mut bed = Bed::new(limits, 1, |_, exec| exec.serve());
    let to = bed.workers[0].address().port();
    let connecting = || held(to).iter().any(|s| s.state == CONNECTING);
    let warm = call(1, "view");
    assert_eq!(bed.call(&warm), served(&warm));
    bed.workers[0].plug().expect("plugged");
    bed.workers[0].reset_all();
    quiet(&bed);
    let mut client = bed.client();
    let asked = bed.submit(&mut client, &Call { timeout_ms: 1_500, ..call(2, "extract") });
    until(connecting);
    // It never ran, and says so.
    let told = bed.read(&mut client, &[&asked]).expect("an answer").1;
    assert!(matches!(told, FrontReply::Rejected(_)), "{told:?}");
    // The system itself would go on for minutes.
    until(|| !connecting());
    assert_eq!(bed.judge(), []);
}

/// Set in a process of this test's own: the limit on descriptors is that of a process.
const ALONE: &str = "BASALTWARD_TEST_ALONE";

/// No descriptor can be had from now on.
fn fill_descriptors() {
    let lowest = std::fs::File::open("/dev/null").expect("one more").as_raw_fd();
    let limit = Rlimit { current: Some(lowest as u64), ..getrlimit(Resource::Nofile) };
    setrlimit(Resource::Nofile, limit).expect("a lower limit");
}

#[test]
fn a_request_shares_a_connection_where_no_descriptor_can_be_had() {
    if std::env::var_os(ALONE).is_none() {
        let name = "picked::a_request_shares_a_connection_where_no_descriptor_can_be_had";
        let this = std::env::current_exe().expect("this test");
        let run = Command::new(this).args(["--exact", name, "--nocapture"]).env(ALONE, "1").output();
        let run = run.expect("it runs");
        assert!(run.status.success(), "{}", String::from_utf8_lossy(&run.stderr));
        return;
    }
    let script = |_: usize, exec: &Exec| if exec.body == b"held" { vec![Act::Run] } else { exec.serve() };
    let mut bed = Bed::new(Limits::default(), 1, script);
    let warm = call(1, "view");
    assert_eq!(bed.call(&warm), served(&warm));
    let mut client = bed.client();
    let held = Call { body: b"held".to_vec(), timeout_ms: 8_000, ..call(2, "view") };
    let open = bed.submit(&mut client, &held);
    bed.wait(|what| matches!(what, Observation::Ran { event, .. } if *event == held.id));
    fill_descriptors();
    // Others than those in hand: what went wrong here must not be held against their worker either.
    for number in 3..9 {
        let one = call(number, "extract");
        let asked = bed.submit(&mut client, &one);
        assert_eq!(bed.read(&mut client, &[&open, &asked]), Some((asked.seqid, served(&one))), "{number}");
        assert_eq!(port_of(&bed, &one.id), port_of(&bed, &held.id));
    }
}
