//! Requests that were given to a connection and of which its socket has no byte yet, when their client leaves, their
//! worker drains or the connection breaks.

use crate::common::*;
use basaltward_fakes::{ExecRequest, LineWorker, ThriftClient, ThriftReply};
use basaltward_net::{Micros, monotonic};
use basaltward_rules::{Observation, Record};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long after its client has left an attempt may still start.
const START_GRACE: Duration = Duration::from_millis(100);
/// Enough calls to fill a connection.
const CALLS: u64 = 40;
/// Maximum size of a body in bytes.
const MAX_BODY: usize = 16 << 10;

pub fn served(call: &Call) -> ThriftReply {
    ThriftReply::Served(call.body.iter().rev().copied().collect())
}

/// Spreads calls over functions: a function has no more calls in flight than it has lanes.
fn function(number: u64) -> String {
    format!("7f3a9c21e0b4{:04x}", number % 8)
}

pub fn large_call(number: u64, class: &'static str) -> Call {
    let one = call(number, class);
    Call { function: function(number), timeout_ms: 8_000, body: vec![number as u8; MAX_BODY], ..one }
}

/// A scheduler with one connection to its only worker. From the first large request on the worker reads nothing until
/// it is released, and its socket holds only a few requests.
fn with_unread_connection(limits: Limits) -> (Harness, Sender<()>) {
    let (go, held) = channel();
    let held = Arc::new(Mutex::new(held));
    let script = move |_: usize, exec: &ExecRequest| {
        if exec.id == format!("{:016x}", 0) {
            let _ = held.lock().expect("lock not poisoned").recv();
        }
        exec.serve()
    };
    let mut harness = Harness::new(Limits { sockets: 30, memory_mb: 64, streams: 128, ..limits }, 1, script);
    harness.workers[0].shrink_receive_buffers().expect("receive buffer reduced");
    limit_to_one_connection(&harness);
    load_copies(&mut harness);
    (harness, go)
}

/// Has a copy of each function loaded.
pub fn load_copies(harness: &mut Harness) {
    for number in 1_000..1_008 {
        let one = Call { function: function(number), ..call(number, "view") };
        assert_eq!(harness.call(&one), served(&one));
    }
}

/// Adds so many workers to the list that each gets one connection.
fn limit_to_one_connection(harness: &Harness) {
    let at = harness.workers[0].address();
    let others: Vec<_> = (1..4).map(|n| bulletin_entry(&format!("t-{n}"), at, "Terminating")).collect();
    harness.board.publish(&others.join(","));
    harness.wait_for(|what| matches!(what, Observation::WorkerState { worker, .. } if worker == "t-3"));
}

/// Waits until the scheduler has processed everything sent to it before.
pub fn wait_until_processed(harness: &Harness) {
    let mut client = harness.client();
    client.heartbeat().and_then(|_| client.read()).expect("heartbeat answered");
}

/// The requests given to connections so far, in order.
fn sent(harness: &Harness) -> Vec<String> {
    let mut ids = Vec::new();
    harness.recorder.wait_until(Duration::ZERO, |all| {
        ids = all
            .iter()
            .filter_map(|r| {
                if let Observation::Sent { event, .. } = &r.observation { Some(event.clone()) } else { None }
            })
            .collect();
        true
    });
    ids
}

/// How the first attempt of each request ended.
fn ends(all: &[Record]) -> BTreeMap<String, String> {
    let end = |record: &Record| match &record.observation {
        Observation::Ended { attempt, code } => Some((attempt[3..19].to_owned(), code.clone())),
        _ => None,
    };
    // Collecting from last to first lets the first attempt of a request replace later ones.
    all.iter().rev().filter_map(end).collect()
}

/// Sends calls until the scheduler gives no more of them to the connection.
fn fill_connection(
    harness: &mut Harness,
    clients: &mut [ThriftClient; 2],
    timeout_ms: [u64; 2],
) -> Vec<(usize, Call, Submitted)> {
    let mut all = Vec::new();
    for number in 0..CALLS {
        let at = number as usize % 2;
        let call = Call { timeout_ms: timeout_ms[at], ..large_call(number, "extract") };
        let submitted = harness.submit(&mut clients[at], &call);
        harness.wait_for(|what| matches!(what, Observation::Accepted { event } if *event == call.id));
        all.push((at, call, submitted));
    }
    wait_until_processed(harness);
    assert!(sent(harness).len() < CALLS as usize, "the connection never filled up");
    all
}

/// When each request arrived complete at a worker.
fn arrivals(harness: &Harness) -> BTreeMap<String, Vec<Micros>> {
    let mut arrived: BTreeMap<_, Vec<_>> = BTreeMap::new();
    harness.recorder.wait_until(Duration::ZERO, |all| {
        arrived.clear();
        for record in all {
            if let Observation::Arrived { event, .. } = &record.observation {
                arrived.entry(event.clone()).or_default().push(record.time);
            }
        }
        true
    });
    arrived
}

/// The commands that the worker received for this request: `exec`, then `drop`.
fn commands_for(harness: &Harness, id: &str) -> Vec<String> {
    let for_request = |line: &String| line.split(' ').nth(1) == Some(id);
    harness.workers[0]
        .received_lines()
        .into_iter()
        .filter(for_request)
        .map(|l| l.split(' ').next().unwrap_or("").to_owned())
        .collect()
}

/// The attempts that have ended so far.
fn ended(harness: &Harness) -> BTreeMap<String, String> {
    let mut ended = BTreeMap::new();
    harness.recorder.wait_until(Duration::ZERO, |all| {
        ended = ends(all);
        true
    });
    ended
}

/// Reads the answers to all of these calls.
fn read_each(
    harness: &Harness,
    client: &mut ThriftClient,
    calls: &[&(usize, Call, Submitted)],
) -> BTreeMap<String, ThriftReply> {
    let open: Vec<_> = calls.iter().map(|(_, _, submitted)| submitted).collect();
    let read =
        calls.iter().map(|_| harness.read(client, &open).expect("a reply before the connection closes"));
    let replies: BTreeMap<_, _> = read.collect();
    calls.iter().map(|(_, call, submitted)| (call.id.clone(), replies[&submitted.seqid].clone())).collect()
}

/// Calls of two clients fill the only connection; then `leave` abandons those of the first. The worker does not read:
/// none of the abandoned calls may arrive complete once it does, and one that was sent in part takes the connection
/// down with it. The calls of the second client are served on another connection, except those that may have run.
fn abandon_unsent(
    timeout_ms: u64,
    leave: impl Fn(&Harness, ThriftClient, &[&(usize, Call, Submitted)]) -> Option<ThriftClient>,
) {
    // On a loaded machine the kernel's buffers may grow late and take everything that was given until then.
    assert!((0..3).any(|_| abandon_unsent_once(timeout_ms, &leave)), "nothing was withdrawn");
}

/// False if all or none of the given requests had begun to leave, so that nothing was tested.
fn abandon_unsent_once(
    timeout_ms: u64,
    leave: &impl Fn(&Harness, ThriftClient, &[&(usize, Call, Submitted)]) -> Option<ThriftClient>,
) -> bool {
    let (mut harness, go) = with_unread_connection(Limits::default());
    let mut clients = [harness.client(), harness.client()];
    let all = fill_connection(&mut harness, &mut clients, [timeout_ms, 8_000]);
    let given = sent(&harness);
    let (gone, remaining): (Vec<_>, Vec<_>) = all.iter().partition(|(at, ..)| *at == 0);
    let other =
        LineWorker::start("s-1", harness.recorder.clone(), ExecRequest::serve).expect("worker started");
    harness.board.publish(&bulletin_entry("s-1", other.address(), "Ready"));
    harness.wait_for(|what| matches!(what, Observation::WorkerState { worker, .. } if worker == "s-1"));
    let [first, mut second] = clients;
    let _remaining_client = leave(&harness, first, &gone);
    let in_flight: Vec<_> = gone.iter().filter(|(_, call, _)| given.contains(&call.id)).collect();
    let all_ended = harness.recorder.wait_until(TEST_TIMEOUT, |all| {
        let ended = ends(all);
        in_flight.iter().all(|(_, call, _)| ended.contains_key(&call.id))
    });
    assert!(all_ended, "attempts still in flight: {:?}", ended(&harness));
    wait_until_processed(&harness);
    let ended = ended(&harness);
    // An attempt may still start until then.
    std::thread::sleep(START_GRACE);
    let released = monotonic();
    go.send(()).expect("receiver alive");
    let replies = read_each(&harness, &mut second, &remaining);
    let arrived = arrivals(&harness);
    for (_, call, _) in &remaining {
        let times = arrived.get(&call.id).map_or(0, Vec::len);
        match &replies[&call.id] {
            reply if *reply == served(call) => assert_eq!(times, 1, "{}", call.id),
            ThriftReply::Crashed => assert!(times <= 1 && given.contains(&call.id), "{}", call.id),
            reply => panic!("{}: {reply:.80?}", call.id),
        }
    }
    // The kernel of the worker may hold the one request behind the one being worked on: that one had already arrived.
    let began_late = |call: &Call| arrived.get(&call.id).is_some_and(|at| at.iter().any(|at| *at > released));
    let late = gone.iter().filter(|(_, call, _)| began_late(call)).map(|(_, call, _)| &call.id);
    let late: Vec<_> = late.collect();
    let first = gone.iter().map(|(_, call, _)| &call.id).find(|id| given.contains(id));
    assert!(late.len() <= 1 && late.iter().all(|id| Some(*id) == first), "{late:?} started too late");
    assert_eq!(harness.check_rules(), []);
    // Some were withdrawn, and some were not.
    let moot = in_flight.iter().filter(|(_, call, _)| ended[&call.id] == "Moot").count();
    (1..in_flight.len()).contains(&moot)
}

fn record_leaving(harness: &Harness, calls: &[&(usize, Call, Submitted)]) {
    for (_, _, submitted) in calls {
        harness.recorder.put(monotonic(), "client", Observation::ClientLeft { request_id: submitted.try_no });
    }
}

#[test]
fn unsent_requests_are_withdrawn_when_the_client_disconnects() {
    abandon_unsent(8_000, |harness, client, calls| {
        record_leaving(harness, calls);
        drop(client);
        None
    });
}

#[test]
fn unsent_requests_are_withdrawn_on_revoke() {
    abandon_unsent(8_000, |harness, mut client, calls| {
        record_leaving(harness, calls);
        calls.iter().for_each(|(_, _, submitted)| client.revoke(submitted.seqid).expect("bytes sent"));
        Some(client)
    });
}

#[test]
fn unsent_requests_are_withdrawn_at_their_deadline() {
    abandon_unsent(1_500, |harness, mut client, calls| {
        for (id, reply) in read_each(harness, &mut client, calls) {
            assert!(matches!(reply, ThriftReply::Crashed | ThriftReply::Rejected(_)), "{id}: {reply:.80?}");
        }
        Some(client)
    });
}

/// Calls fill the only connection, then `update_list` removes its worker from the list and adds another. The new worker
/// gets everything that had not begun to leave; the old one serves the rest once it reads again.
fn remove_worker(update_list: impl Fn(&Harness, SocketAddr)) {
    let (mut harness, go) = with_unread_connection(Limits::default());
    let mut clients = [harness.client(), harness.client()];
    let all = fill_connection(&mut harness, &mut clients, [8_000; 2]);
    let given = sent(&harness);
    let other =
        LineWorker::start("s-1", harness.recorder.clone(), ExecRequest::serve).expect("worker started");
    update_list(&harness, other.address());
    harness.wait_for(
|what| matches!(what, Observation::WorkerState { worker, state } if worker == "s-0" && state != "active"),
);
    wait_until_processed(&harness);
    let moot: Vec<_> =
        ended(&harness).into_iter().filter(|(_, code)| code == "Moot").map(|(id, _)| id).collect();
    go.send(()).expect("receiver alive");
    for (at, client) in clients.iter_mut().enumerate() {
        let sent: Vec<_> = all.iter().filter(|(a, ..)| *a == at).collect();
        let replies = read_each(&harness, client, &sent);
        sent.iter().for_each(|(_, call, _)| assert!(replies[&call.id] == served(call), "{}", call.id));
    }
    for (_, call, _) in &all {
        let not_withdrawn = given.contains(&call.id) && !moot.contains(&call.id);
        assert_eq!(commands_for(&harness, &call.id).is_empty(), !not_withdrawn, "{}", call.id);
    }
    let in_flight: Vec<_> = all.iter().filter(|(_, call, _)| given.contains(&call.id)).collect();
    let withdrawn = in_flight.iter().filter(|(_, call, _)| moot.contains(&call.id)).count();
    assert!((1..in_flight.len()).contains(&withdrawn), "{given:?} {moot:?}");
    assert_eq!(harness.check_rules(), []);
}

#[test]
fn unsent_requests_of_a_draining_worker_go_to_another() {
    remove_worker(|harness, other| {
        let drains = bulletin_entry("s-0", harness.workers[0].address(), "Terminating");
        harness.board.publish(&format!("{drains},{}", bulletin_entry("s-1", other, "Ready")));
    });
}

#[test]
fn unsent_requests_of_a_worker_missing_from_a_full_list_go_to_another() {
    remove_worker(|harness, other| {
        let only = bulletin_entry("s-1", other, "Ready");
        harness
            .board
            .send_raw(&format!("{{\"no\":3,\"roster\":{{\"rev\":3,\"all\":true,\"targets\":[{only}]}}}}\n"));
    });
}

#[test]
fn all_requests_waiting_for_a_connection_are_sent_once_it_is_established() {
    let limits = Limits { sockets: 30, memory_mb: 64, connect_ms: 5_000, ..Limits::default() };
    let mut harness = Harness::new(limits, 1, |_, exec| exec.serve());
    limit_to_one_connection(&harness);
    load_copies(&mut harness);
    harness.workers[0].block_new_connections().expect("accept queue blocked");
    harness.workers[0].reset_all();
    wait_until_processed(&harness);
    let mut client = harness.client();
    // More than is given to a connection at a time, and less than a socket holds.
    let calls: Vec<_> = (0..16).map(|number| large_call(number, "extract")).collect();
    let submitted: Vec<_> = calls.iter().map(|call| harness.submit(&mut client, call)).collect();
    for call in &calls {
        harness.wait_for(|what| matches!(what, Observation::Accepted { event } if *event == call.id));
    }
    wait_until_processed(&harness);
    assert!(sent(&harness).len() == 8, "the connection was established already");
    harness.workers[0].unblock_new_connections();
    let replies = read_all(&harness, &mut client, &submitted);
    for (call, submitted) in calls.iter().zip(&submitted) {
        assert!(replies[&submitted.seqid] == served(call), "{}: {:.80?}", call.id, replies[&submitted.seqid]);
    }
    assert_eq!(harness.check_rules(), []);
}

#[test]
fn after_a_reset_only_fully_sent_requests_may_have_run() {
    let (mut harness, go) = with_unread_connection(Limits::default());
    let mut clients = [harness.client(), harness.client()];
    let all = fill_connection(&mut harness, &mut clients, [8_000; 2]);
    let given = sent(&harness);
    // The worker is avoided for a while after so many failures: another one serves the rest.
    let other =
        LineWorker::start("s-1", harness.recorder.clone(), ExecRequest::serve).expect("worker started");
    harness.board.publish(&bulletin_entry("s-1", other.address(), "Ready"));
    harness.wait_for(|what| matches!(what, Observation::WorkerState { worker, .. } if worker == "s-1"));
    harness.workers[0].reset_all();
    wait_until_processed(&harness);
    go.send(()).expect("receiver alive");
    let mut replies = BTreeMap::new();
    for (at, client) in clients.iter_mut().enumerate() {
        let sent: Vec<_> = all.iter().filter(|(a, ..)| *a == at).collect();
        replies.extend(read_each(&harness, client, &sent));
    }
    let is_served = |(_, call, _): &&(usize, Call, Submitted)| replies[&call.id] == served(call);
    let failed: Vec<_> =
        all.iter().filter(|call| !is_served(call)).map(|(_, call, _)| call.id.clone()).collect();
    assert!(failed.iter().all(|id| replies[id] == ThriftReply::Crashed), "{failed:?} {:?}", ended(&harness));
    // The failed calls are those sent first, without the four or more that the output still held.
    let large: Vec<_> =
        given.into_iter().filter(|id| all.iter().any(|(_, call, _)| call.id == *id)).collect();
    assert_eq!(failed, large[..failed.len()]);
    assert!((1..=large.len() - 3).contains(&failed.len()), "{failed:?} of {large:?}");
    assert_eq!(harness.check_rules(), []);
}
