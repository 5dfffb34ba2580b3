//! Connections to workers that end, or carry a stale answer, at the moment at which they are needed; and their
//! descriptors.

use crate::common::*;
use crate::unsent_requests::{large_call, load_copies, served, wait_until_processed};
use basaltward_fakes::{ExecRequest, LineWorker, ThriftReply, WorkerAction, answer_line};
use basaltward_rules::{Observation, Record};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use std::os::fd::AsRawFd;
use std::process::Command;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[test]
fn an_answer_that_crosses_its_drop_is_not_matched_to_a_new_request_with_the_same_id() {
    let (go, held) = channel::<()>();
    let held = Arc::new(Mutex::new(held));
    let script = move |_: usize, exec: &ExecRequest| match exec.body.as_slice() {
        b"held" => vec![WorkerAction::Run],
        b"another" => {
            let _ = held.lock().expect("lock not poisoned").recv();
            exec.serve()
        }
        _ => exec.serve(),
    };
    let mut harness = Harness::new(Limits::default(), 1, script);
    let warm = call(1, "extract");
    assert_eq!(harness.call(&warm), served(&warm));
    let mut client = harness.client();
    let first = Call { body: b"held".to_vec(), ..call(2, "extract") };
    let submitted = harness.submit(&mut client, &first);
    harness.wait_for(|what| matches!(what, Observation::Ran { event, .. } if *event == first.id));
    let port = port_of(&harness, &first.id);
    client.revoke(submitted.seqid).expect("bytes sent");
    let dropped = format!("drop {}", first.id);
    wait_until(|| harness.workers[0].received_lines().contains(&dropped));
    // The client reuses the id; the first answer arrives while the second request is in flight.
    let second = Call { body: b"another".to_vec(), ..first.clone() };
    let submitted = harness.submit(&mut client, &second);
    wait_until(|| {
        harness.workers[0]
            .received_lines()
            .iter()
            .filter(|line| line.contains(&format!("exec {}", first.id)))
            .count()
            == 2
    });
    harness.workers[0]
        .write_to_port(port, &answer_line(&first.id, "OK", "detail=up", b"dleh"))
        .expect("connection open");
    wait_until_processed(&harness);
    go.send(()).expect("receiver alive");
    assert_eq!(harness.read(&mut client, &[&submitted]), Some((submitted.seqid, served(&second))));
}

/// One end of a connection, according to the kernel's table.
#[derive(Clone, Copy, Debug)]
struct Socket {
    local: usize,
    remote: usize,
    state: usize,
    /// Bytes that the peer's kernel has not acknowledged, and bytes that the local process has not read.
    unsent: usize,
    unread: usize,
    /// 0 if no process holds the socket any more.
    inode: usize,
}

/// The connections from and to a port, both ends of each.
fn sockets(port: u16) -> Vec<Socket> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp is readable");
    let row = |line: &str| {
        let hex = |text: &str| usize::from_str_radix(text.rsplit(':').next()?, 16).ok();
        let columns: Vec<_> = line.split_whitespace().collect();
        let (local, remote, state) = (hex(columns[1])?, hex(columns[2])?, hex(columns[3])?);
        let (unsent, unread) = (hex(columns[4].split(':').next()?)?, hex(columns[4])?);
        Some(Socket { local, remote, state, unsent, unread, inode: columns[9].parse().ok()? })
    };
    // The table is large if many connections ended recently, so most lines are skipped before parsing.
    let address = format!(" {:08X}:{port:04X} ", u32::from_ne_bytes([127, 0, 0, 1]));
    table.lines().filter(|line| line.contains(&address)).filter_map(row).collect()
}

/// One end of a connection.
fn end_of(all: &[Socket], local: u16, remote: u16) -> Option<Socket> {
    all.iter().find(|s| (s.local, s.remote) == (local.into(), remote.into())).copied()
}

const ESTABLISHED: usize = 1;

fn wait_until(mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "the condition was never met");
        std::thread::yield_now();
    }
}

/// The source port of a request at its worker.
fn port_of(harness: &Harness, id: &str) -> u16 {
    let mut port = 0;
    let source = |record: &Record| match &record.observation {
        Observation::Arrived { event, attempt, .. } if event == id => {
            attempt.rsplit_once('@')?.1.parse().ok()
        }
        _ => None,
    };
    assert!(harness.recorder.wait_until(TEST_TIMEOUT, |all| {
        port = all.iter().find_map(source).unwrap_or_default();
        port > 0
    }));
    port
}

/// Sends a call whose worker ends the only open connection, by `end`, before the scheduler can send the call on it.
fn connection_ends_as_it_is_chosen(end: impl Fn(&LineWorker)) {
    let mut rounds = 0;
    for _ in 0..20 {
        // A new harness each time: a scheduler that was stalled for long rejects calls for a while.
        let mut harness = Harness::new(Limits::default(), 1, |_, exec| exec.serve());
        let warm = call(1, "extract");
        assert_eq!(harness.call(&warm), served(&warm));
        let (port, to) = (port_of(&harness, &warm.id), harness.workers[0].address().port());
        let (mut client, front) = (harness.client(), harness.address.port());
        client.heartbeat().and_then(|_| client.read()).expect("accepted");
        let from = client.port();
        let one = Call { timeout_ms: 8_000, ..call(2, "extract") };
        let mut seqid = 0;
        // The scheduler blocks on its next record, that the call was taken, while this closure runs.
        harness.recorder.wait_until(TEST_TIMEOUT, |_| {
            seqid = send(&mut client, &one);
            wait_until(|| {
                let all = sockets(from);
                let taken = end_of(&all, from, front).is_some_and(|s| s.unsent == 0);
                taken && end_of(&all, front, from).is_some_and(|s| s.unread == 0)
            });
            end(&harness.workers[0]);
            wait_until(|| end_of(&sockets(port), port, to).is_none_or(|s| s.state != ESTABLISHED));
            true
        });
        // If the closure took too long the call is rejected, which also means that it never ran.
        match client.read().expect("reply read") {
            Some((id, reply)) if id == seqid && reply == served(&one) => rounds += 1,
            reply => assert!(matches!(reply, Some((_, ThriftReply::Rejected(_)))), "{reply:?}"),
        }
        if rounds == 2 {
            return;
        }
    }
    panic!("served in {rounds} of 20 rounds");
}

#[test]
fn a_call_is_served_when_the_worker_closes_the_chosen_connection() {
    connection_ends_as_it_is_chosen(LineWorker::close_all);
}

#[test]
fn a_call_is_served_when_the_worker_resets_the_chosen_connection() {
    connection_ends_as_it_is_chosen(LineWorker::reset_all);
}

/// The ends of connections to a port that a process still holds.
fn held_ends(to: u16) -> Vec<Socket> {
    sockets(to).into_iter().filter(|s| s.remote == usize::from(to) && s.inode != 0).collect()
}

#[test]
fn closed_connections_hold_no_descriptors_beyond_the_budget_of_open_ones() {
    // From its first request on a connection the worker reads nothing more on it, not even its end.
    let (go, wait) = channel::<()>();
    let wait = Arc::new(Mutex::new(wait));
    let script = move |_: usize, exec: &ExecRequest| {
        if exec.id.starts_with("00000000000001") {
            let _ = wait.lock().expect("lock not poisoned").recv();
        }
        exec.serve()
    };
    let mut harness = Harness::new(Limits { sockets: 30, connect_ms: 10, ..Limits::default() }, 1, script);
    load_copies(&mut harness);
    // Four links from the ten descriptors that the scheduler does not reserve for itself, see `Budget`.
    let (links, to) = (4, harness.workers[0].address().port());
    let mut client = harness.client();
    let mut max_held = Vec::new();
    for round in 0..6 {
        let calls: Vec<_> =
            (0..4).map(|n| Call { timeout_ms: 60, ..large_call(256 + 4 * round + n, "view") }).collect();
        let submitted: Vec<_> = calls.iter().map(|call| harness.submit(&mut client, call)).collect();
        read_all(&harness, &mut client, &submitted);
        let held = held_ends(to);
        max_held = if held.len() > max_held.len() { held } else { max_held };
    }
    drop(go);
    assert!((1..=links).contains(&max_held.len()), "{max_held:?}");
}

#[test]
fn an_answer_of_a_removed_worker_arrives_after_another_took_over_its_address() {
    let (go, wait) = channel::<()>();
    let wait = Arc::new(Mutex::new(wait));
    let script = move |_: usize, exec: &ExecRequest| {
        if exec.body == b"held" {
            let _ = wait.lock().expect("lock not poisoned").recv();
        }
        exec.serve()
    };
    let mut harness = Harness::new(Limits::default(), 1, script);
    let warm = call(1, "extract");
    assert_eq!(harness.call(&warm), served(&warm));
    let mut client = harness.client();
    let held = Call { body: b"held".to_vec(), ..call(2, "extract") };
    let open = harness.submit(&mut client, &held);
    let old = port_of(&harness, &held.id);
    let at = harness.workers[0].address();
    harness.board.publish(&format!(
        "{},{}",
        bulletin_entry("s-0", at, "Gone"),
        bulletin_entry("s-9", at, "Ready")
    ));
    harness.wait_for(|what| matches!(what, Observation::WorkerState { worker, .. } if worker == "s-9"));
    let next = call(3, "extract");
    assert_eq!(harness.call(&next), served(&next));
    assert_ne!(port_of(&harness, &next.id), old);
    go.send(()).expect("receiver alive");
    assert_eq!(harness.read(&mut client, &[&open]), Some((open.seqid, served(&held))));
}

const CONNECTING: usize = 2;

#[test]
fn a_connection_attempt_is_abandoned_after_the_connect_timeout() {
    let limits = Limits { connect_ms: 300, ..Limits::default() };
    let mut harness = Harness::new(limits, 1, |_, exec| exec.serve());
    let to = harness.workers[0].address().port();
    let connecting = || held_ends(to).iter().any(|s| s.state == CONNECTING);
    let warm = call(1, "view");
    assert_eq!(harness.call(&warm), served(&warm));
    harness.workers[0].block_new_connections().expect("accept queue blocked");
    harness.workers[0].reset_all();
    wait_until_processed(&harness);
    let mut client = harness.client();
    let submitted = harness.submit(&mut client, &Call { timeout_ms: 1_500, ..call(2, "extract") });
    wait_until(connecting);
    // It never ran, and the reply says so.
    let reply = harness.read(&mut client, &[&submitted]).expect("a reply before the connection closes").1;
    assert!(matches!(reply, ThriftReply::Rejected(_)), "{reply:?}");
    // The kernel itself would keep trying for minutes.
    wait_until(|| !connecting());
    assert_eq!(harness.check_rules(), []);
}

/// Set in a child process that runs this test alone: the descriptor limit applies to a whole process.
const RUN_ALONE: &str = "BASALTWARD_TEST_ALONE";

/// Makes every further allocation of a descriptor fail.
fn exhaust_descriptors() {
    let lowest = std::fs::File::open("/dev/null").expect("a descriptor is available").as_raw_fd();
    let limit = Rlimit { current: Some(lowest as u64), ..getrlimit(Resource::Nofile) };
    setrlimit(Resource::Nofile, limit).expect("limit lowered");
}

#[test]
fn a_request_shares_a_connection_when_no_descriptor_is_available() {
    if std::env::var_os(RUN_ALONE).is_none() {
        let name = "connection_races::a_request_shares_a_connection_when_no_descriptor_is_available";
        let this = std::env::current_exe().expect("path of the test binary");
        let run = Command::new(this).args(["--exact", name, "--nocapture"]).env(RUN_ALONE, "1").output();
        let run = run.expect("child process runs");
        assert!(run.status.success(), "{}", String::from_utf8_lossy(&run.stderr));
        return;
    }
    let script = |_: usize, exec: &ExecRequest| {
        if exec.body == b"held" { vec![WorkerAction::Run] } else { exec.serve() }
    };
    let mut harness = Harness::new(Limits::default(), 1, script);
    let warm = call(1, "view");
    assert_eq!(harness.call(&warm), served(&warm));
    let mut client = harness.client();
    let held = Call { body: b"held".to_vec(), timeout_ms: 8_000, ..call(2, "view") };
    let open = harness.submit(&mut client, &held);
    harness.wait_for(|what| matches!(what, Observation::Ran { event, .. } if *event == held.id));
    exhaust_descriptors();
    // New calls, beside those in flight: the failure on this machine must not be held against their worker either.
    for number in 3..9 {
        let one = call(number, "extract");
        let submitted = harness.submit(&mut client, &one);
        assert_eq!(
            harness.read(&mut client, &[&open, &submitted]),
            Some((submitted.seqid, served(&one))),
            "{number}"
        );
        assert_eq!(port_of(&harness, &one.id), port_of(&harness, &held.id));
    }
}
