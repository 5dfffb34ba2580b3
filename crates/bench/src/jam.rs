//! The controller with calls waiting: its time per call and per event by the number of waiting calls, and a digest of
//! all its actions, which shows whether two builds make the same decisions.
//!
//! There are two scenarios: a burst of calls for functions that are all loaded, at a small fleet near its capacity;
//! and a large fleet of which a third fell silent, with functions that no worker can load, under the few calls that
//! one of many schedulers receives.

use crate::spread;
use basaltward::{
    Action, Class, Code, Controller, CopyStatus, Event, Group, Member, MembersKind, Micros, Outcome, Repeat,
    Request, RequestId, Settings, WorkerId,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::error::Error;
use std::time::{Duration, Instant};

const CORES: usize = 4;
/// Mean work of a call.
const WORK_US: Micros = 10_000;
/// Maximum length of a worker's queue.
const QUEUE_LIMIT: usize = 32;
/// Time until an order to load a copy is answered.
const LOAD_US: Micros = 60_000;
/// Time until a probe is answered.
const PROBE_US: Micros = 800;
/// Time until a message to a silent worker fails.
const SILENT_TIMEOUT_US: Micros = 250_000;

/// A fleet and its load.
#[derive(Clone, Copy)]
struct Shape {
    workers: usize,
    /// How many workers, the last of the list, fall silent once the fleet is warm.
    silent: usize,
    schedulers: u32,
    functions: usize,
    /// Calls a second of the steady load.
    rate: f64,
    /// Duration of the steady load.
    span: Micros,
    /// Aim and deadline of all classes.
    aim_and_deadline: (Micros, Micros),
}

/// A small fleet at 0.9 of the capacity of its workers.
const SMALL_FLEET: Shape = Shape {
    workers: 12,
    silent: 0,
    schedulers: 1,
    functions: 40,
    rate: 0.9 * (12 * CORES) as f64 * 1e6 / WORK_US as f64,
    span: 1_500_000,
    aim_and_deadline: (20_000_000, 60_000_000),
};

/// A busy scheduler of 300, with a third of its workers silent.
const LARGE_FLEET: Shape = Shape {
    workers: 120,
    silent: 40,
    schedulers: 300,
    functions: 200,
    rate: 90.0,
    span: 10_000_000,
    aim_and_deadline: (20_000_000, 60_000_000),
};

/// A simulated event that happens when it is due.
enum Due {
    Timer(u64),
    Done(WorkerId, RequestId, usize, Micros),
    Failed(WorkerId, RequestId, usize),
    Loaded(WorkerId, basaltward::FunctionId, u32),
    Request(u64),
    /// A call of a function that no worker can load.
    Stuck(u64),
}

/// The state of a simulated worker.
#[derive(Default)]
struct WorkerModel {
    running: usize,
    queue: VecDeque<(RequestId, usize, Micros)>,
    copies: BTreeMap<basaltward::FunctionId, u32>,
}

/// A controller with the simulated fleet around it.
struct Run {
    shape: Shape,
    controller: Controller,
    rng: StdRng,
    due: BTreeMap<(Micros, u64), Due>,
    sequence: u64,
    attempts: HashMap<RequestId, usize>,
    functions: HashMap<RequestId, basaltward::FunctionId>,
    workers: BTreeMap<WorkerId, WorkerModel>,
    module_time: Duration,
    worst: Duration,
    /// FNV-1a hash of the time and Debug text of all actions.
    digest: u64,
    actions: u64,
    events: u64,
    /// Time from which the silent workers no longer answer.
    silent_from: Micros,
}

/// Prefix of the names of functions that no worker can load.
const UNLOADABLE_PREFIX: &str = "nowhere";

impl Run {
    fn is_silent(&self, now: Micros, worker: &WorkerId) -> bool {
        let index = worker.as_str().trim_start_matches('w').parse().unwrap_or(0);
        now >= self.silent_from && index >= self.shape.workers - self.shape.silent
    }

    fn schedule(&mut self, at: Micros, due: Due) {
        self.sequence += 1;
        self.due.insert((at, self.sequence), due);
    }

    fn deliver(&mut self, now: Micros, event: Event) {
        let mut actions = Vec::new();
        let start = Instant::now();
        self.controller.handle(now, event, &mut actions);
        let elapsed = start.elapsed();
        self.module_time += elapsed;
        self.worst = self.worst.max(elapsed);
        self.events += 1;
        for action in actions {
            self.actions += 1;
            for byte in format!("{now}{action:?}").bytes() {
                self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
            }
            match action {
                Action::Timer { after, token } => self.schedule(now + after, Due::Timer(token)),
                Action::Send { id, worker, .. } => self.send(now, id, &worker),
                Action::Load { worker, function, count } => {
                    let silent = self.is_silent(now, &worker);
                    let wait = if count == 0 { PROBE_US } else { LOAD_US };
                    let wait = if silent { SILENT_TIMEOUT_US } else { wait };
                    self.schedule(now + wait, Due::Loaded(worker, function, count));
                }
                Action::Drop { worker, function } => {
                    self.workers.entry(worker).or_default().copies.remove(&function);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, now: Micros, id: RequestId, worker: &WorkerId) {
        let attempt = self.attempts.entry(id).or_insert(0);
        *attempt += 1;
        let attempt = *attempt - 1;
        if self.is_silent(now, worker) {
            return self.schedule(now + SILENT_TIMEOUT_US, Due::Failed(worker.clone(), id, attempt));
        }
        let state = self.workers.entry(worker.clone()).or_default();
        let loaded = self.functions.get(&id).is_some_and(|f| state.copies.contains_key(f));
        if !loaded || state.queue.len() >= QUEUE_LIMIT {
            let code = if loaded { Code::Full } else { Code::Miss };
            return self.outcome(now, id, attempt, worker.clone(), code, 300);
        }
        state.queue.push_back((id, attempt, now));
        self.start(now, worker);
    }

    fn start(&mut self, now: Micros, worker: &WorkerId) {
        let Some(state) = self.workers.get_mut(worker) else { return };
        let mut started = Vec::new();
        while state.running < CORES {
            let Some(next) = state.queue.pop_front() else { break };
            state.running += 1;
            started.push(next);
        }
        for (id, attempt, sent) in started {
            let work = self.rng.random_range(WORK_US / 2..WORK_US * 3 / 2);
            self.schedule(now + work, Due::Done(worker.clone(), id, attempt, sent));
        }
    }

    fn outcome(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: usize,
        worker: WorkerId,
        code: Code,
        latency: Micros,
    ) {
        let load = self.workers.get(&worker).map_or(0, |m| m.queue.len() + m.running);
        let copy = if code == Code::Ok { CopyStatus::Loaded } else { CopyStatus::Unknown };
        let (is_final, crowd, report) = (code == Code::Ok, Some((load / 4) as u32), vec![load as f64]);
        let outcome = Outcome { id, attempt, worker, code, latency, is_final, copy, crowd, report };
        self.deliver(now, Event::Outcome(outcome));
    }

    fn run_until(&mut self, time: Micros) {
        while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 <= time) {
            let ((now, _), due) = entry.remove_entry();
            match due {
                Due::Timer(token) => self.deliver(now, Event::Timer { token }),
                Due::Done(worker, id, attempt, sent) => {
                    if let Some(state) = self.workers.get_mut(&worker) {
                        state.running -= 1;
                    }
                    self.start(now, &worker);
                    // A few answers are lost or come back as errors.
                    let code = match self.rng.random_range(0..200) {
                        0 => Code::Reset,
                        1 => Code::Error,
                        _ => Code::Ok,
                    };
                    self.outcome(now, id, attempt, worker, code, now - sent);
                }
                Due::Failed(worker, id, attempt) => {
                    self.outcome(now, id, attempt, worker, Code::ConnectFailed, SILENT_TIMEOUT_US);
                }
                Due::Loaded(worker, function, _) if self.is_silent(now, &worker) => {
                    let (count, code, latency) = (0, Code::ConnectFailed, SILENT_TIMEOUT_US);
                    self.deliver(now, Event::Loaded { worker, function, count, code, latency });
                }
                Due::Loaded(worker, function, count) if function.as_str().starts_with(UNLOADABLE_PREFIX) => {
                    let code = if count == 0 { Code::Ok } else { Code::Error };
                    let latency = if count == 0 { PROBE_US } else { LOAD_US };
                    self.deliver(now, Event::Loaded { worker, function, count: 0, code, latency });
                }
                Due::Loaded(worker, function, count) => {
                    let state = self.workers.entry(worker.clone()).or_default();
                    let copies = state.copies.entry(function.clone()).or_insert(0);
                    *copies = (*copies).max(count);
                    let count = *copies;
                    if count == 0 {
                        state.copies.remove(&function);
                    }
                    let latency = LOAD_US;
                    self.deliver(now, Event::Loaded { worker, function, count, code: Code::Ok, latency });
                }
                Due::Request(number) => self.request(now, number),
                Due::Stuck(number) => {
                    let request =
                        Request::new(number, &format!("{UNLOADABLE_PREFIX}{number}"), 100.0, 4, 60_000_000);
                    self.deliver(now, Event::Request(request));
                }
            }
        }
    }

    fn request(&mut self, now: Micros, number: u64) {
        // Squared, so that functions of low rank are called more often.
        let rank = (self.rng.random_range(0.0..1.0f64).powi(2) * self.shape.functions as f64) as usize;
        let name = format!("f{rank}");
        let (class, tenant) = (rank % 3, self.rng.random_range(0..3));
        let patience = self.rng.random_range(20_000_000..60_000_000);
        let request = Request { class, tenant, ..Request::new(number, &name, 100.0, 4, patience) };
        self.functions.insert(request.id, name.as_str().into());
        self.deliver(now, Event::Request(request));
    }
}

fn settings(shape: Shape) -> Result<Settings, Box<dyn Error>> {
    let keyed = Repeat::Keyed { group: Group::All, window: 3_000_000 };
    let class = |repeat| Class::new(shape.aim_and_deadline.0, shape.aim_and_deadline.1, repeat);
    let classes = vec![class(Repeat::Safe), class(keyed), class(Repeat::Unsafe)];
    let mut settings = Settings::new(classes, vec![8_000.0]);
    settings.schedulers = shape.schedulers;
    settings.tenant_quotas = vec![2_000.0, 1_500.0, 200.0];
    settings.report_names = vec!["inflight".into()];
    settings.copies.load_window = 5_000_000;
    settings.copies.load_free = 50.0;
    settings.copies.load_share = 0.3;
    Ok(settings)
}

/// Result of one run.
struct RunResult {
    /// Time of the decision module per call, microseconds.
    call_us: f64,
    /// Time of the decision module per event, microseconds.
    event_us: f64,
    /// Time of the slowest event, milliseconds.
    worst_ms: f64,
    actions: u64,
    digest: u64,
}

/// Warms the fleet up, submits `waiting` calls at once and then the steady load. The waiting calls are for functions
/// that can't be loaded if the shape has silent workers, else a burst of ordinary ones.
fn run_once(shape: Shape, waiting: u64, seed: u64) -> Result<RunResult, Box<dyn Error>> {
    let warm = 2_000_000;
    let mut run = Run {
        shape,
        controller: Controller::new(settings(shape)?, 1)?,
        rng: StdRng::seed_from_u64(seed),
        due: BTreeMap::new(),
        sequence: 0,
        attempts: HashMap::new(),
        functions: HashMap::new(),
        workers: BTreeMap::new(),
        module_time: Duration::ZERO,
        worst: Duration::ZERO,
        digest: 0xcbf2_9ce4_8422_2325,
        actions: 0,
        events: 0,
        silent_from: warm,
    };
    let member = |i: usize| Member::active(&format!("w{i}"));
    let members = (0..shape.workers).map(member).collect();
    run.deliver(0, Event::Members { kind: MembersKind::Whole, members });
    // Calls spread over the warm-up load copies of all functions first.
    let mut number = 0;
    let mut add = |run: &mut Run, at: Micros, due: fn(u64) -> Due| {
        number += 1;
        run.schedule(at, due(number));
    };
    (0..2_000).for_each(|i| add(&mut run, i * warm / 2_000, Due::Request));
    let first = if shape.silent > 0 { Due::Stuck } else { Due::Request };
    (0..waiting).for_each(|_| add(&mut run, warm, first));
    let steady = (shape.rate * shape.span as f64 / 1e6) as u64;
    (0..steady).for_each(|i| add(&mut run, warm + 1 + i * shape.span / steady, Due::Request));
    run.run_until(warm);
    (run.module_time, run.worst, run.events) = (Duration::ZERO, Duration::ZERO, 0);
    run.run_until(warm + shape.span);
    let module_time = run.module_time.as_secs_f64() * 1e6;
    let (call_us, event_us) = (module_time / steady as f64, module_time / run.events as f64);
    let worst_ms = run.worst.as_secs_f64() * 1e3;
    Ok(RunResult { call_us, event_us, worst_ms, actions: run.actions, digest: run.digest })
}

/// Measures and prints; `large` selects the large fleet, a third of which is silent.
///
/// # Errors
/// If the settings are invalid.
pub fn run(waiting: &[u64], rounds: usize, seed: u64, large: bool) -> Result<(), Box<dyn Error>> {
    let shape = if large { LARGE_FLEET } else { SMALL_FLEET };
    let Shape { workers, silent, functions, rate, .. } = shape;
    println!(
        "{workers} workers, {silent} silent, {functions} functions, {rate:.0} calls a second, {rounds} rounds, \
         seed {seed}"
    );
    for &waiting in waiting {
        let results: Vec<_> =
            (0..rounds).map(|_| run_once(shape, waiting, seed)).collect::<Result<_, _>>()?;
        let Some(RunResult { actions, digest, .. }) = results.last() else { continue };
        println!(
            "{waiting} waiting: {} us a call, {} an event, worst event {} ms; {actions} actions, digest {digest:016x}",
            spread(results.iter().map(|result| result.call_us).collect()),
            spread(results.iter().map(|result| result.event_us).collect()),
            spread(results.iter().map(|result| result.worst_ms).collect()),
        );
    }
    Ok(())
}
