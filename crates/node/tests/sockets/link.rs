//! What crosses on connections to workers: idle closes, resets, answers under ids used anew, drains told in between.

use crate::common::*;
use basaltward_net::{Micros, monotonic};
use basaltward_rules::{Observation, Record};
use basaltward_standins::{Exec, FrontClient, FrontReply, LineWorker};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// An attempt may begin for so long after its client has gone.
const GONE: Duration = Duration::from_millis(100);
/// What fills a connection.
const CALLS: u64 = 40;
/// The largest body.
const BODY: usize = 16 << 10;

pub fn served(call: &Call) -> FrontReply {
    FrontReply::Served(call.body.iter().rev().copied().collect())
}

/// Of one function no more calls are out at a time than it has lanes.
fn function(number: u64) -> String {
    format!("7f3a9c21e0b4{:04x}", number % 8)
}

pub fn big(number: u64, class: &'static str) -> Call {
    let one = call(number, class);
    Call { function: function(number), timeout_ms: 8_000, body: vec![number as u8; BODY], ..one }
}

/// A scheduler with one connection to its one worker, which from the first large request on reads nothing more until
/// it is told to, and whose socket holds few of them.
fn stuck(limits: Limits) -> (Bed, Sender<()>) {
    let (go, held) = channel();
    let held = Arc::new(Mutex::new(held));
    let script = move |_: usize, exec: &Exec| {
        if exec.id == format!("{:016x}", 0) {
            let _ = held.lock().expect("sound").recv();
        }
        exec.serve()
    };
    let mut bed = Bed::new(Limits { sockets: 30, memory_mb: 64, streams: 128, ..limits }, 1, script);
    bed.workers[0].narrow().expect("narrow");
    one_link(&bed);
    warm(&mut bed);
    (bed, go)
}

/// Has a copy of each function loaded.
pub fn warm(bed: &mut Bed) {
    for number in 1_000..1_008 {
        let one = Call { function: function(number), ..call(number, "view") };
        assert_eq!(bed.call(&one), served(&one));
    }
}

/// Has the scheduler know of so many workers that there is one connection for each.
fn one_link(bed: &Bed) {
    let at = bed.workers[0].address();
    let others: Vec<_> = (1..4).map(|n| target(&format!("t-{n}"), at, "Terminating")).collect();
    bed.board.tell(&others.join(","));
    bed.wait(|what| matches!(what, Observation::WorkerState { worker, .. } if worker == "t-3"));
}

/// The scheduler has done all that was sent to it before.
pub fn quiet(bed: &Bed) {
    let mut client = bed.client();
    client.heartbeat().and_then(|_| client.read()).expect("alive");
}

/// The requests given to connections so far, in order.
fn sent(bed: &Bed) -> Vec<String> {
    let mut ids = Vec::new();
    bed.recorder.wait_until(Duration::ZERO, |all| {
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

/// How the first attempt of each request has ended.
fn ends(all: &[Record]) -> BTreeMap<String, String> {
    let end = |record: &Record| match &record.observation {
        Observation::Ended { attempt, code } => Some((attempt[3..19].to_owned(), code.clone())),
        _ => None,
    };
    // Of several attempts of one request the first: from the last to the first, each takes the place of those after.
    all.iter().rev().filter_map(end).collect()
}

/// Sends calls until the scheduler gives no more of them to the connection.
fn fill(bed: &mut Bed, clients: &mut [FrontClient; 2], timeout_ms: [u64; 2]) -> Vec<(usize, Call, Asked)> {
    let mut all = Vec::new();
    for number in 0..CALLS {
        let at = number as usize % 2;
        let call = Call { timeout_ms: timeout_ms[at], ..big(number, "extract") };
        let asked = bed.submit(&mut clients[at], &call);
        bed.wait(|what| matches!(what, Observation::Accepted { event } if *event == call.id));
        all.push((at, call, asked));
    }
    quiet(bed);
    assert!(sent(bed).len() < CALLS as usize, "never full");
    all
}

/// When each request came whole to a worker.
fn arrivals(bed: &Bed) -> BTreeMap<String, Vec<Micros>> {
    let mut came: BTreeMap<_, Vec<_>> = BTreeMap::new();
    bed.recorder.wait_until(Duration::ZERO, |all| {
        came.clear();
        for record in all {
            if let Observation::Arrived { event, .. } = &record.observation {
                came.entry(event.clone()).or_default().push(record.time);
            }
        }
        true
    });
    came
}

/// Lines of these requests that came to the worker: `exec`, then `drop`.
fn lines_of(bed: &Bed, id: &str) -> Vec<String> {
    let of = |line: &String| line.split(' ').nth(1) == Some(id);
    bed.workers[0]
        .lines()
        .into_iter()
        .filter(of)
        .map(|l| l.split(' ').next().unwrap_or("").to_owned())
        .collect()
}

/// The attempts that have ended so far.
fn ended(bed: &Bed) -> BTreeMap<String, String> {
    let mut ended = BTreeMap::new();
    bed.recorder.wait_until(Duration::ZERO, |all| {
        ended = ends(all);
        true
    });
    ended
}

/// Reads the answers to all of these.
fn read_each(
    bed: &Bed,
    client: &mut FrontClient,
    of: &[&(usize, Call, Asked)],
) -> BTreeMap<String, FrontReply> {
    let open: Vec<_> = of.iter().map(|(_, _, asked)| asked).collect();
    let read = of.iter().map(|_| bed.read(client, &open).expect("an answer"));
    let told: BTreeMap<_, _> = read.collect();
    of.iter().map(|(_, call, asked)| (call.id.clone(), told[&asked.seqid].clone())).collect()
}

/// Calls of two clients fill the one connection; those of the first are called off by `leave`. Its worker does not read:
/// none of them comes whole to it once it does, and one of which a part has left takes the connection with it. The calls
/// of the second are served on another, but for those that may have run.
fn called_off(
    timeout_ms: u64,
    leave: impl Fn(&Bed, FrontClient, &[&(usize, Call, Asked)]) -> Option<FrontClient>,
) {
    // On a loaded machine the system's buffers may grow late, and take all that was given by then.
    assert!((0..3).any(|_| called_off_once(timeout_ms, &leave)), "nothing was taken back");
}

/// False where all that was given had begun to leave, or nothing: no crossing.
fn called_off_once(
    timeout_ms: u64,
    leave: &impl Fn(&Bed, FrontClient, &[&(usize, Call, Asked)]) -> Option<FrontClient>,
) -> bool {
    let (mut bed, go) = stuck(Limits::default());
    let mut clients = [bed.client(), bed.client()];
    let all = fill(&mut bed, &mut clients, [timeout_ms, 8_000]);
    let given = sent(&bed);
    let (gone, stay): (Vec<_>, Vec<_>) = all.iter().partition(|(at, ..)| *at == 0);
    let other = LineWorker::start("s-1", bed.recorder.clone(), Exec::serve).expect("a worker");
    bed.board.tell(&target("s-1", other.address(), "Ready"));
    bed.wait(|what| matches!(what, Observation::WorkerState { worker, .. } if worker == "s-1"));
    let [first, mut second] = clients;
    let _kept = leave(&bed, first, &gone);
    let out: Vec<_> = gone.iter().filter(|(_, call, _)| given.contains(&call.id)).collect();
    let over = bed.recorder.wait_until(PATIENCE, |all| {
        let ended = ends(all);
        out.iter().all(|(_, call, _)| ended.contains_key(&call.id))
    });
    assert!(over, "still out: {:?}", ended(&bed));
    quiet(&bed);
    let ended = ended(&bed);
    // The terms let an attempt begin until then.
    std::thread::sleep(GONE);
    let left = monotonic();
    go.send(()).expect("it waits");
    let told = read_each(&bed, &mut second, &stay);
    let arrived = arrivals(&bed);
    for (_, call, _) in &stay {
        let times = arrived.get(&call.id).map_or(0, Vec::len);
        match &told[&call.id] {
            told if *told == served(call) => assert_eq!(times, 1, "{}", call.id),
            FrontReply::Crashed => assert!(times <= 1 && given.contains(&call.id), "{}", call.id),
            told => panic!("{}: {told:.80?}", call.id),
        }
    }
    // The worker's own system may hold the one behind the request that it works on: that has come.
    let began_late = |call: &Call| arrived.get(&call.id).is_some_and(|at| at.iter().any(|at| *at > left));
    let late = gone.iter().filter(|(_, call, _)| began_late(call)).map(|(_, call, _)| &call.id);
    let late: Vec<_> = late.collect();
    let first = gone.iter().map(|(_, call, _)| &call.id).find(|id| given.contains(id));
    assert!(late.len() <= 1 && late.iter().all(|id| Some(*id) == first), "{late:?} began late");
    assert_eq!(bed.judge(), []);
    // Of both kinds there was one.
    let moot = out.iter().filter(|(_, call, _)| ended[&call.id] == "Moot").count();
    (1..out.len()).contains(&moot)
}

fn left(bed: &Bed, calls: &[&(usize, Call, Asked)]) {
    for (_, _, asked) in calls {
        bed.recorder.put(monotonic(), "client", Observation::ClientLeft { request_id: asked.tried });
    }
}

#[test]
fn what_a_socket_has_nothing_of_is_taken_back_when_its_client_goes() {
    called_off(8_000, |bed, client, calls| {
        left(bed, calls);
        drop(client);
        None
    });
}

#[test]
fn what_a_socket_has_nothing_of_is_taken_back_at_a_revoke() {
    called_off(8_000, |bed, mut client, calls| {
        left(bed, calls);
        calls.iter().for_each(|(_, _, asked)| client.revoke(asked.seqid).expect("sent"));
        Some(client)
    });
}

#[test]
fn what_a_socket_has_nothing_of_is_taken_back_at_its_deadline() {
    called_off(1_500, |bed, mut client, calls| {
        for (id, told) in read_each(bed, &mut client, calls) {
            assert!(matches!(told, FrontReply::Crashed | FrontReply::Rejected(_)), "{id}: {told:.80?}");
        }
        Some(client)
    });
}

/// Calls fill the one connection, then `tell` takes its worker out of the list and puts another in. That gets all
/// that had not begun to leave; the first one serves the rest once it reads on.
fn taken_out(tell: impl Fn(&Bed, SocketAddr)) {
    let (mut bed, go) = stuck(Limits::default());
    let mut clients = [bed.client(), bed.client()];
    let all = fill(&mut bed, &mut clients, [8_000; 2]);
    let given = sent(&bed);
    let other = LineWorker::start("s-1", bed.recorder.clone(), Exec::serve).expect("a worker");
    tell(&bed, other.address());
    bed.wait(
        |what| matches!(what, Observation::WorkerState { worker, state } if worker == "s-0" && state != "active"),
    );
    quiet(&bed);
    let moot: Vec<_> = ended(&bed).into_iter().filter(|(_, code)| code == "Moot").map(|(id, _)| id).collect();
    go.send(()).expect("it waits");
    for (at, client) in clients.iter_mut().enumerate() {
        let of: Vec<_> = all.iter().filter(|(a, ..)| *a == at).collect();
        let told = read_each(&bed, client, &of);
        of.iter().for_each(|(_, call, _)| assert!(told[&call.id] == served(call), "{}", call.id));
    }
    for (_, call, _) in &all {
        let stays = given.contains(&call.id) && !moot.contains(&call.id);
        assert_eq!(lines_of(&bed, &call.id).is_empty(), !stays, "{}", call.id);
    }
    let out: Vec<_> = all.iter().filter(|(_, call, _)| given.contains(&call.id)).collect();
    let back = out.iter().filter(|(_, call, _)| moot.contains(&call.id)).count();
    assert!((1..out.len()).contains(&back), "{given:?} {moot:?}");
    assert_eq!(bed.judge(), []);
}

#[test]
fn what_a_draining_workers_socket_has_nothing_of_goes_to_another() {
    taken_out(|bed, other| {
        let drains = target("s-0", bed.workers[0].address(), "Terminating");
        bed.board.tell(&format!("{drains},{}", target("s-1", other, "Ready")));
    });
}

#[test]
fn what_a_worker_has_nothing_of_that_a_whole_list_lacks_goes_to_another() {
    taken_out(|bed, other| {
        let only = target("s-1", other, "Ready");
        bed.board
            .garble(&format!("{{\"no\":3,\"roster\":{{\"rev\":3,\"all\":true,\"targets\":[{only}]}}}}\n"));
    });
}

#[test]
fn all_that_waited_for_a_connection_goes_out_once_it_stands() {
    let limits = Limits { sockets: 30, memory_mb: 64, connect_ms: 5_000, ..Limits::default() };
    let mut bed = Bed::new(limits, 1, |_, exec| exec.serve());
    one_link(&bed);
    warm(&mut bed);
    bed.workers[0].plug().expect("plugged");
    bed.workers[0].reset_all();
    quiet(&bed);
    let mut client = bed.client();
    // More than is given to a connection at a time, and less than a socket takes.
    let calls: Vec<_> = (0..16).map(|number| big(number, "extract")).collect();
    let asked: Vec<_> = calls.iter().map(|call| bed.submit(&mut client, call)).collect();
    for call in &calls {
        bed.wait(|what| matches!(what, Observation::Accepted { event } if *event == call.id));
    }
    quiet(&bed);
    assert!(sent(&bed).len() == 8, "it stood already");
    bed.workers[0].unplug();
    let told = read_all(&bed, &mut client, &asked);
    for (call, asked) in calls.iter().zip(&asked) {
        assert!(told[&asked.seqid] == served(call), "{}: {:.80?}", call.id, told[&asked.seqid]);
    }
    assert_eq!(bed.judge(), []);
}

#[test]
fn of_a_connection_that_breaks_only_what_its_socket_had_whole_may_have_run() {
    let (mut bed, go) = stuck(Limits::default());
    let mut clients = [bed.client(), bed.client()];
    let all = fill(&mut bed, &mut clients, [8_000; 2]);
    let given = sent(&bed);
    // The worker is left alone for a while after so many breaks: another one serves the rest.
    let other = LineWorker::start("s-1", bed.recorder.clone(), Exec::serve).expect("a worker");
    bed.board.tell(&target("s-1", other.address(), "Ready"));
    bed.wait(|what| matches!(what, Observation::WorkerState { worker, .. } if worker == "s-1"));
    bed.workers[0].reset_all();
    quiet(&bed);
    go.send(()).expect("it waits");
    let mut told = BTreeMap::new();
    for (at, client) in clients.iter_mut().enumerate() {
        let of: Vec<_> = all.iter().filter(|(a, ..)| *a == at).collect();
        told.extend(read_each(&bed, client, &of));
    }
    let served_of = |(_, call, _): &&(usize, Call, Asked)| told[&call.id] == served(call);
    let failed: Vec<_> = all.iter().filter(|of| !served_of(of)).map(|(_, call, _)| call.id.clone()).collect();
    assert!(failed.iter().all(|id| told[id] == FrontReply::Crashed), "{failed:?} {:?}", ended(&bed));
    // Those that went first, and not the four that the output held at the least.
    let large: Vec<_> =
        given.into_iter().filter(|id| all.iter().any(|(_, call, _)| call.id == *id)).collect();
    assert_eq!(failed, large[..failed.len()]);
    assert!((1..=large.len() - 3).contains(&failed.len()), "{failed:?} of {large:?}");
    assert_eq!(bed.judge(), []);
}
