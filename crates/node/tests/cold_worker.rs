//! Twenty-four schedulers on loopback share a worker that has just started and whose start they all learn of at once.
//! Let N be the number of requests that overload the worker: `TIP_MULTIPLE` times its capacity at its present age, over
//! the window `FALL`. The requests that the schedulers send it together within that window must stay below
//! `N + 2 * sqrt(N) + 2`. This must also hold where a third of the schedulers restart and then all other workers reject
//! calls, and where a worker in use restarts while discovery is unreachable, so that no scheduler is notified.
//! `tests/cold.rs` checks the same in virtual time, with more cases and up to 300 schedulers.
#[path = "sockets/common.rs"]
#[allow(dead_code)]
mod common;

use basaltward_fakes::{ExecRequest, FakeBulletin, LineWorker, ThriftClient, WorkerAction, answer_line};
use basaltward_net::{Micros, monotonic};
use basaltward_node::{Control, Node};
use basaltward_rules::{Observation, Recorder};
use common::{Limits, TEST_TIMEOUT, bulletin_entry, call, config_json, send};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;
const SCHEDULERS: usize = 24;
/// Workers that are warm from the beginning; the one after them is cold.
const WARM: usize = 4;
/// Requests per second that a warm worker serves; it rejects the rest.
const CAPACITY: f64 = 20.0;
/// Request rate, as a share of the capacity of all warm workers.
const LOAD: f64 = 0.9;
/// Phases of a run: warm-up before the cold worker starts; then, counted from its start, the time at which a third of
/// the schedulers restart, at which all warm workers begin to reject everything, and at which the run ends.
const WARM_UP: Micros = 3 * SECOND;
const RESTART_AFTER: Micros = SECOND;
const REJECT_AFTER: Micros = 1_500 * MS;
const END_AFTER: Micros = 4 * SECOND;
/// How long discovery has been silent when a worker restarts unnoticed.
const SILENCE: Micros = 6 * SECOND;
/// Requests that each client sends at once when the other workers begin to reject: together sixteen times what a warm
/// worker serves in a second.
const BURST: u64 = 16 * CAPACITY as u64 / SCHEDULERS as u64 + 1;
/// These repeat the settings in [`config_json`].
const COLD_FROM: f64 = 0.2;
const WARM_WITHIN: Micros = 16 * SECOND;
const TIP_MULTIPLE: f64 = 4.0;
const FALL: Micros = 1_500 * MS;

struct Scheduler {
    address: SocketAddr,
    control: Control,
    config: PathBuf,
    thread: Option<JoinHandle<()>>,
}

impl Scheduler {
    fn start(index: usize, generation: usize, bulletin: SocketAddr, targets: &str, fleet: &Fleet) -> Self {
        let name =
            format!("basaltward-cold-{}-{}-{index}-{generation}.json", std::process::id(), fleet.number);
        let config = std::env::temp_dir().join(name);
        let rules = "\"rules\":{\"drainGraceUs\":1000000,";
        let settings = config_json(Limits { deadline_ms: 2_000, ..Limits::default() }, bulletin, targets)
            .replace("\"replicasOfMe\":1", &format!("\"replicasOfMe\":{SCHEDULERS},\"selfIndex\":{index}"))
            .replace("\"loadControl\":true", "\"loadControl\":false")
            .replace("\"rules\":{", rules)
            .replace("\"limits\":{\"cancel\"", "\"limits\":{\"probes\":true,\"cancel\"")
            .replace("\"seed\":\"1\"", &format!("\"seed\":\"{:x}\"", index + 1));
        std::fs::write(&config, settings).expect("configuration written");
        let node = Node::new(config.clone(), None, fleet.recorder.clone()).expect("scheduler created");
        let (address, control) = (node.address(), node.control());
        let thread = Some(std::thread::spawn(move || node.run().expect("scheduler runs")));
        Self { address, control, config, thread }
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        self.control.stop();
        let _ = self.thread.take().map(JoinHandle::join);
        let _ = std::fs::remove_file(&self.config);
    }
}

struct Fleet {
    number: usize,
    recorder: Recorder,
}

/// Serves up to the capacity within a second, and nothing once `rejecting` is set.
fn serve_up_to_capacity(
    exec: &ExecRequest,
    arrivals: &Mutex<VecDeque<Micros>>,
    rejecting: &AtomicBool,
) -> Vec<WorkerAction> {
    let (now, mut arrivals) = (monotonic(), arrivals.lock().expect("lock not poisoned"));
    while arrivals.front().is_some_and(|at| at + SECOND <= now) {
        arrivals.pop_front();
    }
    if rejecting.load(Ordering::SeqCst) || arrivals.len() as f64 >= CAPACITY {
        return vec![WorkerAction::Write(answer_line(&exec.id, "BUSY", "-", b""))];
    }
    arrivals.push_back(now);
    exec.serve()
}

/// The client of one scheduler: sends calls at a fixed rate until the run ends, to the address that `to` holds.
fn run_client(index: usize, to: &Mutex<SocketAddr>, rejecting: &AtomicBool, finished: &AtomicBool) {
    // The load is uneven: some schedulers get several times as many requests as others.
    let rate = CAPACITY * WARM as f64 * LOAD / SCHEDULERS as f64 * [0.4, 0.7, 1.0, 1.9][index % 4];
    let gap = Duration::from_secs_f64(1.0 / rate);
    let mut connection: Option<(SocketAddr, ThriftClient)> = None;
    let mut was_rejecting = false;
    std::thread::sleep(gap * index as u32 / SCHEDULERS as u32);
    for number in 0u64.. {
        if finished.load(Ordering::SeqCst) {
            return;
        }
        let to = *to.lock().expect("lock not poisoned");
        if connection.as_ref().is_none_or(|(address, _)| *address != to) {
            connection = Some((to, ThriftClient::connect(to, TEST_TIMEOUT).expect("connected")));
        }
        let client = &mut connection.as_mut().expect("connected").1;
        let is_rejecting = rejecting.load(Ordering::SeqCst);
        let count = if is_rejecting && !was_rejecting { BURST } else { 1 };
        was_rejecting = is_rejecting;
        for nth in 0..count {
            let mut one = call((index as u64) << 32 | number << 8 | nth, "view");
            one.function = format!("7f3a9c21e0b4{:04x}", (number + nth) % 24);
            one.timeout_ms = 600;
            send(client, &one);
        }
        // The next call is sent at its time, whatever these replies are.
        for _ in 0..count {
            client.read().expect("reply read").expect("connection open");
        }
        std::thread::sleep(gap);
    }
}

/// What the schedulers sent the cold worker.
struct Sent {
    /// The highest ratio of requests in a window to the bound `N + 2 * sqrt(N) + 2`.
    worst: f64,
    /// Description of that window, for failure messages.
    detail: String,
    total: usize,
}

fn worst_window(sent: &[Micros], start: Micros) -> Sent {
    let mut found = Sent { worst: 0.0, detail: String::new(), total: sent.len() };
    for (last, at) in sent.iter().enumerate() {
        let age = at.saturating_sub(start) as f64 / WARM_WITHIN as f64;
        let relative_capacity = COLD_FROM + (1.0 - COLD_FROM) * age;
        let n = TIP_MULTIPLE * relative_capacity * CAPACITY * FALL as f64 / SECOND as f64;
        let count = last + 1 - sent.partition_point(|t| t + FALL <= *at);
        let share = count as f64 / (n + 2.0 * n.sqrt() + 2.0);
        if share > found.worst {
            found.worst = share;
            found.detail = format!("{count} of {} requests in the worst window, N = {n:.0}", sent.len());
        }
    }
    found
}

fn sleep_until(at: Micros) {
    std::thread::sleep(Duration::from_micros(at.saturating_sub(monotonic())));
}

/// Runs the schedulers while a worker starts and a third of them restart. Unless `reported` is set, the entry of the
/// new worker names no start time, so that it looks like one that started long ago.
fn run_with_cold_worker(number: usize, reported: bool) -> Sent {
    let fleet = Fleet { number, recorder: Recorder::memory() };
    let (rejecting, finished) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let workers: Vec<_> = (0..=WARM)
        .map(|n| {
            let (rejecting, arrivals) = (rejecting.clone(), Mutex::default());
            let script = move |exec: &ExecRequest| {
                if n < WARM { serve_up_to_capacity(exec, &arrivals, &rejecting) } else { exec.serve() }
            };
            LineWorker::start(&format!("s-{n}"), Recorder::none(), script).expect("worker started")
        })
        .collect();
    let board = FakeBulletin::start(2).expect("bulletin started");
    let entry = |n: usize, state: &str| bulletin_entry(&format!("s-{n}"), workers[n].address(), state);
    let known: Vec<_> = (0..WARM).map(|n| entry(n, "Ready")).collect();
    let start_one = |index| Scheduler::start(index, 0, board.address(), &known.join(","), &fleet);
    let mut schedulers: Vec<_> = (0..SCHEDULERS).map(start_one).collect();
    let addresses: Vec<_> = schedulers.iter().map(|s| Arc::new(Mutex::new(s.address))).collect();
    let clients: Vec<_> = addresses
        .iter()
        .cloned()
        .enumerate()
        .map(|(index, to)| {
            let (rejecting, finished) = (rejecting.clone(), finished.clone());
            std::thread::spawn(move || run_client(index, &to, &rejecting, &finished))
        })
        .collect();
    sleep_until(monotonic() + WARM_UP);
    let start = monotonic();
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock after 1970").as_millis();
    let wall = if reported { wall } else { 0 };
    let cold = entry(WARM, "Ready").replace("\"boot_ms\":0", &format!("\"boot_ms\":{wall}"));
    let change = [cold, entry(0, "Terminating")];
    board.publish(&change.join(","));
    sleep_until(start + RESTART_AFTER);
    // The restarted third has no record of what it has sent; clients of the old processes switch to the new ones.
    let new_board = FakeBulletin::start(2).expect("bulletin started");
    let full_list: Vec<_> = change.into_iter().chain((1..WARM).map(|n| entry(n, "Ready"))).collect();
    for index in (0..SCHEDULERS).step_by(3) {
        let new = Scheduler::start(index, 1, new_board.address(), &full_list.join(","), &fleet);
        *addresses[index].lock().expect("lock not poisoned") = new.address;
        schedulers[index].control.stop();
        schedulers.push(new);
    }
    sleep_until(start + REJECT_AFTER);
    rejecting.store(true, Ordering::SeqCst);
    sleep_until(start + END_AFTER);
    finished.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("client thread ended"));
    schedulers.iter().for_each(|one| one.control.stop());
    drop(schedulers);
    let cold = format!("s-{WARM}");
    let sent = fleet.recorder.take().into_iter().filter_map(|record| match record.observation {
        Observation::Sent { worker, .. } if worker == cold => Some(record.time),
        _ => None,
    });
    let mut sent: Vec<_> = sent.collect();
    sent.sort_unstable();
    worst_window(&sent, start)
}

/// Runs the schedulers while a worker in use restarts and discovery is silent: its connections break, and no
/// scheduler is notified of the restart.
fn run_unnoticed_restart(number: usize) -> Sent {
    let fleet = Fleet { number, recorder: Recorder::memory() };
    let (rejecting, finished) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let workers: Vec<_> = (0..=WARM)
        .map(|n| {
            let (rejecting, arrivals) = (rejecting.clone(), Mutex::default());
            let script = move |exec: &ExecRequest| {
                if n < WARM { serve_up_to_capacity(exec, &arrivals, &rejecting) } else { exec.serve() }
            };
            LineWorker::start(&format!("s-{n}"), Recorder::none(), script).expect("worker started")
        })
        .collect();
    let board = FakeBulletin::start(2).expect("bulletin started");
    let entry = |n: usize| bulletin_entry(&format!("s-{n}"), workers[n].address(), "Ready");
    let known = (0..=WARM).map(entry).collect::<Vec<_>>().join(",");
    let start_one = |index| Scheduler::start(index, 0, board.address(), &known, &fleet);
    let schedulers: Vec<_> = (0..SCHEDULERS).map(start_one).collect();
    let clients: Vec<_> = schedulers
        .iter()
        .enumerate()
        .map(|(index, scheduler)| {
            let (to, rejecting, finished) =
                (Mutex::new(scheduler.address), rejecting.clone(), finished.clone());
            std::thread::spawn(move || run_client(index, &to, &rejecting, &finished))
        })
        .collect();
    sleep_until(monotonic() + WARM_UP);
    board.set_silent(true);
    // The lease of the list and the grace have passed: schedulers now go by the workers' own reports.
    sleep_until(monotonic() + SILENCE);
    let start = monotonic();
    workers[WARM].reset_all();
    sleep_until(start + REJECT_AFTER);
    rejecting.store(true, Ordering::SeqCst);
    sleep_until(start + END_AFTER);
    finished.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("client thread ended"));
    schedulers.iter().for_each(|one| one.control.stop());
    drop(schedulers);
    let cold = format!("s-{WARM}");
    let sent = fleet.recorder.take().into_iter().filter_map(|record| match record.observation {
        Observation::Sent { worker, .. } if worker == cold && record.time > start => Some(record.time),
        _ => None,
    });
    let mut sent: Vec<_> = sent.collect();
    sent.sort_unstable();
    worst_window(&sent, start)
}

#[test]
fn twenty_four_schedulers_spare_a_worker_that_restarts_while_discovery_is_silent() {
    let sent = run_unnoticed_restart(2);
    assert!(sent.total > 0, "the cold worker got no requests");
    assert!(sent.worst <= 1.0, "{}", sent.detail);
    println!("{:.2} of the bound: {}", sent.worst, sent.detail);
}

#[test]
fn twenty_four_schedulers_spare_a_cold_worker_even_when_a_third_of_them_restart() {
    let sent = run_with_cold_worker(0, true);
    assert!(sent.total > 0, "the cold worker got no requests");
    assert!(sent.worst <= 1.0, "{}", sent.detail);
    println!("{:.2} of the bound: {}", sent.worst, sent.detail);
}

#[test]
fn the_check_finds_a_fleet_that_is_not_informed_of_the_start() {
    let sent = run_with_cold_worker(1, false);
    assert!(sent.worst > 1.0, "{}", sent.detail);
    println!("{:.2} of the bound: {}", sent.worst, sent.detail);
}
