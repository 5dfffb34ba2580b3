//! Discovery is unreachable for all schedulers for longer than their timeouts; busy workers drain meanwhile and stay up.
//! By the documented rules the schedulers have to act on what discovery would have reported at the latest 2 s after its
//! connection ended and 4 s after it went silent. After that and the grace, no call and no order to load may arrive at those
//! workers, and the others continue to serve.
#[path = "../../node/tests/sockets/common.rs"]
#[allow(dead_code)]
mod common;
mod process;

use basaltward_fakes::{
    ExecRequest, FakeBulletin, LineWorker, RejectedLine, ThriftClient, ThriftReply, WorkerAction,
};
use basaltward_net::{Micros, monotonic};
use basaltward_rules::Recorder;
use common::{Call, Limits, TEST_TIMEOUT, bulletin_entry, config_json, send};
use process::{config_file, start_with_log};
use rustix::process::Signal;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::Receiver;
use std::time::Duration;

const MS: Micros = 1_000;
const S: Micros = 1_000 * MS;
/// The grace of a drain, as configured.
const GRACE: Micros = S;
/// The documented tolerance of each limit, plus what a loaded machine may add until a stand-in worker reads its clock.
const SLACK: Micros = 50 * MS + 250 * MS;
const WORKERS: usize = 8;
/// Time before the outage.
const BEFORE_OUTAGE: Micros = 1_500 * MS;
/// From the start of the outage to the drains of two workers.
const FIRST_DRAINS: Micros = 100 * MS;
/// From the start of the outage to the drain of a third worker.
const THIRD_DRAIN: Micros = 6 * S;
/// Length of the outage.
const OUTAGE: Micros = 11 * S;
/// How long a scheduler stays stalled past the grace.
const STALL: Micros = 500 * MS;
/// How long all workers are draining.
const ALL_DRAINING: Micros = 2 * S;
/// Time after the outage.
const AFTER_OUTAGE: Micros = 2_500 * MS;
const CLIENTS_PER_SCHEDULER: u64 = 4;

/// How discovery is unreachable.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outage {
    /// Connections end and new ones are refused.
    Refuses,
    /// Connections stay open and nothing is sent on them.
    Silent,
    /// It accepts connections for 0.3 s in every 3 s and sends nothing.
    Flaps,
    /// It moves: each scheduler reloads its configuration on SIGHUP with another address, where nothing listens.
    Moves,
}

/// What else happens during the outage.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Incident {
    Nothing,
    /// One more scheduler starts.
    SchedulerStarts,
    /// One scheduler is stalled from before its timeout expires until past the grace.
    SchedulerStalls,
    /// A worker that does not drain resets all its connections: it may have restarted.
    WorkerRestarts,
    /// All workers drain, and one ends its drain.
    AllDrain,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    name: &'static str,
    outage: Outage,
    schedulers: usize,
    incident: Incident,
    /// Whether schedulers may order workers to load functions.
    orders: bool,
    /// Whether schedulers may probe workers.
    probes: bool,
    /// How long a client waits between two calls.
    pause_ms: u64,
}

const DEFAULT: Scenario = Scenario {
    name: "",
    outage: Outage::Refuses,
    schedulers: 3,
    incident: Incident::Nothing,
    orders: true,
    probes: true,
    pause_ms: 30,
};

impl Outage {
    /// When schedulers have to act on what discovery would have reported, counted from the start of the outage.
    fn limit(self) -> Micros {
        if matches!(self, Self::Silent | Self::Moves) { 4 * S } else { 2 * S }
    }
}

/// A scheduler process and its further log lines.
struct Scheduler {
    child: Child,
    config: PathBuf,
    address: SocketAddr,
    log: Receiver<String>,
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        process::end(&mut self.child, &self.config);
    }
}

/// Replies to clients in a phase of the scenario.
#[derive(Default)]
struct Tally {
    calls: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    /// Refused calls whose refusal took longer than their aim.
    refused_late: AtomicU64,
}

impl Tally {
    /// The share of calls served.
    fn served_share(&self) -> f64 {
        self.served.load(Ordering::SeqCst) as f64 / self.calls.load(Ordering::SeqCst).max(1) as f64
    }
}

/// Tallies of three phases: until the limit and the grace have passed, after that, and after the outage.
#[derive(Default)]
struct Tallies {
    phases: [Tally; 3],
}

/// The result of a scenario.
struct RunResult {
    /// New work that arrived at draining workers later than the rule allows.
    breaches: Vec<RejectedLine>,
    /// All new work that arrived at draining workers.
    rejected: usize,
    /// Copy queries to all workers.
    queries: usize,
    tallies: Tallies,
    /// Log lines of the first scheduler at level WARN.
    warnings: Vec<String>,
    /// Calls to the worker that resets its connections, in the second before and in the second after.
    around_restart: (usize, usize),
}

/// The bulletin and the workers of a scenario.
struct TestBed {
    scenario: Scenario,
    board: FakeBulletin,
    workers: Vec<LineWorker>,
    /// Number of schedulers started.
    started: AtomicU64,
}

impl TestBed {
    fn new(scenario: Scenario) -> Self {
        let script =
            |exec: &ExecRequest| [vec![WorkerAction::Wait(Duration::from_millis(3))], exec.serve()].concat();
        let worker =
            |n| LineWorker::start(&format!("s-{n}"), Recorder::none(), script).expect("the worker starts");
        let workers = (0..WORKERS).map(worker).collect();
        let board = FakeBulletin::start(2).expect("the bulletin starts");
        Self { scenario, board, workers, started: AtomicU64::new(0) }
    }

    /// The bulletin entry of a worker.
    fn entry(&self, worker: usize, state: &str) -> String {
        bulletin_entry(&format!("s-{worker}"), self.workers[worker].address(), state)
    }

    /// Starts one more scheduler.
    fn start(&self) -> Scheduler {
        let index = self.started.fetch_add(1, Ordering::SeqCst);
        let entries = (0..WORKERS).map(|n| self.entry(n, "Ready")).collect::<Vec<_>>().join(",");
        let limits = Limits { deadline_ms: 2_000, ..Limits::default() };
        let mut text = config_json(limits, self.board.address(), &entries)
            .replace("\"rules\":{", &format!("\"rules\":{{\"drainGraceUs\":{GRACE},"))
            .replace("\"replicasOfMe\":1", &format!("\"replicasOfMe\":3,\"selfIndex\":{}", index % 3))
            .replace("\"onTimeUs\":2000000", "\"onTimeUs\":1000000");
        if self.scenario.probes {
            text = text.replace("\"limits\":{\"cancel\"", "\"limits\":{\"probes\":true,\"cancel\"");
        }
        if !self.scenario.orders {
            text = text.replace("\"loadControl\":true", "\"loadControl\":false");
        }
        let config = config_file(&format!("outage-{}-{index}", self.scenario.name), &text);
        let (child, address, log) = start_with_log(&config);
        Scheduler { child, config, address, log }
    }

    /// Runs the scenario.
    fn run(&self) -> RunResult {
        let mut schedulers: Vec<_> = (0..self.scenario.schedulers).map(|_| self.start()).collect();
        let (finished, phase, tallies) = (AtomicBool::new(false), AtomicU64::new(0), Tallies::default());
        let limit = self.scenario.outage.limit();
        let mut around_restart = (0, 0);
        let drained = std::thread::scope(|scope| {
            let start_clients = |scheduler: &Scheduler, first: u64| {
                let to = scheduler.address;
                for number in first..first + CLIENTS_PER_SCHEDULER {
                    let (finished, phase, tallies, pause) =
                        (&finished, &phase, &tallies, self.scenario.pause_ms);
                    scope.spawn(move || run_client(to, number, pause, finished, (phase, tallies)));
                }
            };
            for (index, scheduler) in schedulers.iter().enumerate() {
                start_clients(scheduler, index as u64 * CLIENTS_PER_SCHEDULER);
            }
            sleep_until(monotonic() + BEFORE_OUTAGE);
            let outage_start = monotonic();
            let flapping = self.start_outage(outage_start, &schedulers, scope);
            let mut drained = Vec::new();
            let mut drain = |worker: usize| {
                self.workers[worker].set_draining(true);
                drained.push((worker, monotonic()));
            };
            sleep_until(outage_start + FIRST_DRAINS);
            drain(0);
            drain(1);
            sleep_until(outage_start + limit);
            let stalls = self.scenario.incident == Incident::SchedulerStalls;
            stalls.then(|| process::freeze(&schedulers[0].child));
            sleep_until(outage_start + limit + GRACE);
            phase.store(1, Ordering::SeqCst);
            if self.scenario.incident == Incident::SchedulerStarts {
                schedulers.push(self.start());
                start_clients(schedulers.last().expect("a scheduler"), 1_000);
            }
            sleep_until(outage_start + limit + GRACE + STALL);
            stalls.then(|| process::thaw(&schedulers[0].child));
            sleep_until(outage_start + THIRD_DRAIN - S);
            let second_before = calls_received(&self.workers[3]);
            sleep_until(outage_start + THIRD_DRAIN);
            let at_restart = calls_received(&self.workers[3]);
            around_restart.0 = at_restart - second_before;
            drain(2);
            match self.scenario.incident {
                Incident::WorkerRestarts => {
                    self.workers[3].reset_all();
                    sleep_until(outage_start + THIRD_DRAIN + S);
                    around_restart.1 = calls_received(&self.workers[3]) - at_restart;
                }
                Incident::AllDrain => {
                    (3..WORKERS).for_each(&mut drain);
                    sleep_until(outage_start + THIRD_DRAIN + ALL_DRAINING);
                    self.workers[4].set_draining(false);
                }
                _ => {}
            }
            sleep_until(outage_start + OUTAGE);
            let _ = flapping.map(std::thread::ScopedJoinHandle::join);
            self.end_outage();
            phase.store(2, Ordering::SeqCst);
            sleep_until(outage_start + OUTAGE + AFTER_OUTAGE);
            finished.store(true, Ordering::SeqCst);
            let known_at = outage_start + limit;
            drained
                .into_iter()
                .map(|(worker, at)| (worker, at.max(known_at) + GRACE + SLACK))
                .collect::<Vec<_>>()
        });
        let rejected = |worker: usize| self.workers[worker].rejected_while_draining();
        let late = |(worker, until): &(usize, Micros)| {
            rejected(*worker).into_iter().filter(|work| work.at > *until).collect::<Vec<_>>()
        };
        RunResult {
            breaches: drained.iter().flat_map(late).collect(),
            rejected: drained.iter().map(|(worker, _)| rejected(*worker).len()).sum(),
            queries: self.workers.iter().map(queries).sum(),
            tallies,
            around_restart,
            warnings: schedulers[0].log.try_iter().filter(|line| line.contains("WARN")).collect(),
        }
    }

    /// Makes discovery unreachable. Returns the thread that flaps it, if any.
    fn start_outage<'scope>(
        &'scope self,
        outage_start: Micros,
        schedulers: &[Scheduler],
        scope: &'scope std::thread::Scope<'scope, '_>,
    ) -> Option<std::thread::ScopedJoinHandle<'scope, ()>> {
        match self.scenario.outage {
            Outage::Refuses => self.board.stop_listening(),
            Outage::Silent => self.board.set_silent(true),
            Outage::Moves => {
                let unused =
                    std::net::TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
                let unused = unused.expect("a port").to_string();
                for scheduler in schedulers {
                    let text = std::fs::read_to_string(&scheduler.config).expect("the file is readable");
                    let moved = text.replace(&self.board.address().to_string(), &unused);
                    std::fs::write(&scheduler.config, moved).expect("the file is written");
                    process::signal(&scheduler.child, Signal::HUP);
                }
                self.board.set_silent(true);
            }
            Outage::Flaps => {
                self.board.stop_listening();
                self.board.set_silent(true);
                return Some(scope.spawn(move || {
                    for nth in 1..=3 {
                        sleep_until(outage_start + nth * 3 * S);
                        self.board.resume_listening().expect("its port is free");
                        sleep_until(outage_start + nth * 3 * S + 300 * MS);
                        self.board.stop_listening();
                    }
                }));
            }
        }
        None
    }

    /// Makes discovery reachable again; it reports the drains.
    fn end_outage(&self) {
        if matches!(self.scenario.outage, Outage::Refuses | Outage::Flaps) {
            self.board.resume_listening().expect("its port is free");
        }
        self.board.set_silent(false);
        let draining = if self.scenario.incident == Incident::AllDrain { WORKERS } else { 3 };
        let drains: Vec<_> =
            (0..draining).filter(|n| *n != 4).map(|n| self.entry(n, "Terminating")).collect();
        self.board.publish(&drains.join(","));
    }
}

/// Number of calls that a worker has received.
fn calls_received(worker: &LineWorker) -> usize {
    worker.received_lines().iter().filter(|line| line.starts_with("exec ")).count()
}

/// Number of copy queries that a worker has received.
fn queries(worker: &LineWorker) -> usize {
    worker.received_lines().iter().filter(|line| line.starts_with("load ")).count()
}

fn sleep_until(at: Micros) {
    std::thread::sleep(Duration::from_micros(at.saturating_sub(monotonic())));
}

/// Runs one client, which makes one call after another.
fn run_client(
    to: SocketAddr,
    number: u64,
    pause_ms: u64,
    finished: &AtomicBool,
    (phase, tallies): (&AtomicU64, &Tallies),
) {
    let mut client = ThriftClient::connect(to, TEST_TIMEOUT).expect("the connection is accepted");
    for nth in 0u64.. {
        if finished.load(Ordering::SeqCst) {
            return;
        }
        let call = Call {
            id: format!("{:016x}", (number + 1) << 32 | nth),
            class: "view",
            function: format!("7f3a9c21e0b4{:04x}", (number * 7 + nth) % 24),
            timeout_ms: 1_500,
            body: b"a body".to_vec(),
        };
        let tally = &tallies.phases[phase.load(Ordering::SeqCst) as usize];
        tally.calls.fetch_add(1, Ordering::SeqCst);
        let sent = monotonic();
        send(&mut client, &call);
        match client.read().expect("a readable reply").expect("a reply").1 {
            ThriftReply::Served(_) => drop(tally.served.fetch_add(1, Ordering::SeqCst)),
            _ => {
                tally.refused.fetch_add(1, Ordering::SeqCst);
                let late = monotonic() > sent + S + SLACK;
                tally.refused_late.fetch_add(u64::from(late), Ordering::SeqCst);
            }
        }
        std::thread::sleep(Duration::from_millis(pause_ms));
    }
}

/// Runs a scenario and checks the rule on draining workers, and the share of calls served in each phase.
fn run_and_check(scenario: Scenario, min_served: [f64; 3]) -> RunResult {
    let bed = TestBed::new(scenario);
    let result = bed.run();
    let shares = result.tallies.phases.each_ref().map(Tally::served_share);
    let orders = result.breaches.iter().filter(|work| work.line.starts_with("ensure")).count();
    println!(
        "{}: {} after the limit and the grace, {orders} of them orders, {} rejected in all, {} queries, served {shares:.3?}",
        scenario.name,
        result.breaches.len(),
        result.rejected,
        result.queries
    );
    assert!(
        result.breaches.is_empty(),
        "{} after the limit and the grace, first {:?}",
        result.breaches.len(),
        result.breaches.first()
    );
    // One query per worker and lease while the list of workers has expired, and some more as workers reject work.
    let seconds = (OUTAGE - scenario.outage.limit()) / S + 2;
    let max_queries = (scenario.schedulers + 1) * WORKERS * seconds as usize * 2;
    assert!(result.queries <= max_queries, "{} queries, at most {max_queries} allowed", result.queries);
    let logged = |text: &str| result.warnings.iter().any(|line| line.contains(text));
    assert!(logged("discovery is out of reach") && logged("the list has expired"), "{:?}", result.warnings);
    assert!(
        scenario.outage == Outage::Moves || logged("discovery is followed again"),
        "{:?}",
        result.warnings
    );
    let enough = shares.iter().zip(min_served).all(|(share, min)| *share >= min);
    assert!(enough, "served {shares:.3?}, at least {min_served:?} required");
    result
}

#[test]
fn drains_are_respected_while_discovery_refuses_connections() {
    run_and_check(Scenario { name: "refuses", ..DEFAULT }, [0.97; 3]);
}

#[test]
fn drains_are_respected_while_discovery_is_silent() {
    run_and_check(Scenario { name: "silent", outage: Outage::Silent, ..DEFAULT }, [0.97; 3]);
}

#[test]
fn discovery_that_accepts_connections_briefly_and_sends_nothing_does_not_end_the_outage() {
    run_and_check(Scenario { name: "flaps", outage: Outage::Flaps, ..DEFAULT }, [0.97; 3]);
}

#[test]
fn drains_are_respected_after_a_move_to_a_discovery_address_where_nothing_listens() {
    // Discovery stays unreachable: the scheduler goes by the workers' own replies.
    run_and_check(Scenario { name: "moves", outage: Outage::Moves, ..DEFAULT }, [0.97; 3]);
}

#[test]
fn scheduler_that_starts_during_the_outage_queries_workers_before_it_sends_work() {
    run_and_check(
        Scenario { name: "starts", schedulers: 2, incident: Incident::SchedulerStarts, ..DEFAULT },
        [0.97; 3],
    );
}

#[test]
fn scheduler_stalled_over_the_end_of_the_grace_sends_no_work_decided_before() {
    // Calls at the stalled scheduler are late; those at the others are not.
    run_and_check(Scenario { name: "still", incident: Incident::SchedulerStalls, ..DEFAULT }, [0.9; 3]);
}

#[test]
fn worker_that_resets_its_connections_during_the_outage_is_used_again_as_a_cold_one() {
    let result = run_and_check(
        Scenario { name: "breaks", incident: Incident::WorkerRestarts, ..DEFAULT },
        [0.97, 0.95, 0.95],
    );
    // No restart was reported, but the worker has to count as cold.
    let (before, after) = result.around_restart;
    println!("breaks: {before} calls in the second before, {after} in the second after");
    assert!(after * 4 <= before * 3, "{before} calls in the second before, {after} in the second after");
}

#[test]
fn without_probes_the_rule_holds_and_workers_in_use_continue_to_serve() {
    let scenario = Scenario { name: "use", probes: false, orders: false, outage: Outage::Silent, ..DEFAULT };
    // Until the silence is detected, after one and a half line intervals, the scheduler trusts the list as usual.
    run_and_check(scenario, [0.8, 0.97, 0.97]);
}

#[test]
fn with_all_workers_draining_calls_are_refused_in_time_and_the_first_one_back_is_used() {
    let scenario = Scenario { name: "alone", incident: Incident::AllDrain, ..DEFAULT };
    run_and_check(scenario, [0.97, 0.2, 0.2]);
}

#[test]
fn twenty_four_schedulers_with_few_calls_each_respect_drains_and_serve() {
    let scenario = Scenario { name: "many", schedulers: 24, orders: false, pause_ms: 330, ..DEFAULT };
    run_and_check(scenario, [0.97; 3]);
}
