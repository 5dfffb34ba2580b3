//! The controller with calls waiting: its time a call and an event by how many wait, and a digest of all its
//! actions, by which two builds are held to the same decisions.
//!
//! Two shapes: a burst of calls for functions that all stand, at a small fleet near its capacity; and a large
//! fleet of which a third fell silent, with functions that nobody can load, under the few calls that one of
//! many schedulers sees.

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
/// Calls that a worker holds at most.
const QUEUE: usize = 32;
/// How long an order takes, a question, and one to a worker that is not there.
const LOAD_US: Micros = 60_000;
const ASK_US: Micros = 800;
const AWAY_US: Micros = 250_000;

/// A fleet and its load.
#[derive(Clone, Copy)]
struct Shape {
    workers: usize,
    /// The last so many of them are silent once the fleet is warm.
    silent: usize,
    schedulers: u32,
    functions: usize,
    /// Steady calls a second.
    rate: f64,
    span: Micros,
    /// Aim and deadline.
    times: (Micros, Micros),
}

/// 0.9 of what the workers do.
const SMALL: Shape = Shape {
    workers: 12,
    silent: 0,
    schedulers: 1,
    functions: 40,
    rate: 0.9 * (12 * CORES) as f64 * 1e6 / WORK_US as f64,
    span: 1_500_000,
    times: (20_000_000, 60_000_000),
};

/// One scheduler of 300, a busy one.
const LARGE: Shape = Shape {
    workers: 120,
    silent: 40,
    schedulers: 300,
    functions: 200,
    rate: 90.0,
    span: 10_000_000,
    times: (20_000_000, 60_000_000),
};

enum Due {
    Timer(u64),
    Done(WorkerId, RequestId, usize, Micros),
    Failed(WorkerId, RequestId, usize),
    Loaded(WorkerId, basaltward::FunctionId, u32),
    Request(u64),
    /// A call of a function that nobody can load.
    Stuck(u64),
}

#[derive(Default)]
struct Model {
    running: usize,
    queue: VecDeque<(RequestId, usize, Micros)>,
    copies: BTreeMap<basaltward::FunctionId, u32>,
}

struct Run {
    shape: Shape,
    controller: Controller,
    rng: StdRng,
    due: BTreeMap<(Micros, u64), Due>,
    number: u64,
    attempts: HashMap<RequestId, usize>,
    of: HashMap<RequestId, basaltward::FunctionId>,
    workers: BTreeMap<WorkerId, Model>,
    spent: Duration,
    worst: Duration,
    digest: u64,
    actions: u64,
    events: u64,
    /// From here on the silent ones are silent.
    away_from: Micros,
}

/// Functions of this kind are never loaded.
const NOWHERE: &str = "nowhere";

impl Run {
    fn away(&self, now: Micros, worker: &WorkerId) -> bool {
        let number = worker.as_str().trim_start_matches('w').parse().unwrap_or(0);
        now >= self.away_from && number >= self.shape.workers - self.shape.silent
    }

    fn set(&mut self, at: Micros, due: Due) {
        self.number += 1;
        self.due.insert((at, self.number), due);
    }

    fn tell(&mut self, now: Micros, event: Event) {
        let mut actions = Vec::new();
        let start = Instant::now();
        self.controller.handle(now, event, &mut actions);
        let took = start.elapsed();
        self.spent += took;
        self.worst = self.worst.max(took);
        self.events += 1;
        for action in actions {
            self.actions += 1;
            for byte in format!("{now}{action:?}").bytes() {
                self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
            }
            match action {
                Action::Timer { after, token } => self.set(now + after, Due::Timer(token)),
                Action::Send { id, worker, .. } => self.send(now, id, &worker),
                Action::Load { worker, function, count } => {
                    let away = self.away(now, &worker);
                    let wait = if count == 0 { ASK_US } else { LOAD_US };
                    let wait = if away { AWAY_US } else { wait };
                    self.set(now + wait, Due::Loaded(worker, function, count));
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
        if self.away(now, worker) {
            return self.set(now + AWAY_US, Due::Failed(worker.clone(), id, attempt));
        }
        let model = self.workers.entry(worker.clone()).or_default();
        let loaded = self.of.get(&id).is_some_and(|f| model.copies.contains_key(f));
        if !loaded || model.queue.len() >= QUEUE {
            let code = if loaded { Code::Full } else { Code::Miss };
            return self.outcome(now, id, attempt, worker.clone(), code, 300);
        }
        model.queue.push_back((id, attempt, now));
        self.start(now, worker);
    }

    fn start(&mut self, now: Micros, worker: &WorkerId) {
        let Some(model) = self.workers.get_mut(worker) else { return };
        let mut begun = Vec::new();
        while model.running < CORES {
            let Some(next) = model.queue.pop_front() else { break };
            model.running += 1;
            begun.push(next);
        }
        for (id, attempt, sent) in begun {
            let work = self.rng.random_range(WORK_US / 2..WORK_US * 3 / 2);
            self.set(now + work, Due::Done(worker.clone(), id, attempt, sent));
        }
    }

    fn outcome(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: usize,
        worker: WorkerId,
        code: Code,
        took: Micros,
    ) {
        let held = self.workers.get(&worker).map_or(0, |m| m.queue.len() + m.running);
        let copy = if code == Code::Ok { CopyStatus::Loaded } else { CopyStatus::Unknown };
        let (last, crowd, report) = (code == Code::Ok, Some((held / 4) as u32), vec![held as f64]);
        let told = Outcome { id, attempt, worker, code, latency: took, is_final: last, copy, crowd, report };
        self.tell(now, Event::Outcome(told));
    }

    fn until(&mut self, time: Micros) {
        while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 <= time) {
            let ((now, _), due) = entry.remove_entry();
            match due {
                Due::Timer(token) => self.tell(now, Event::Timer { token }),
                Due::Done(worker, id, attempt, sent) => {
                    if let Some(model) = self.workers.get_mut(&worker) {
                        model.running -= 1;
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
                    self.outcome(now, id, attempt, worker, Code::ConnectFailed, AWAY_US);
                }
                Due::Loaded(worker, function, _) if self.away(now, &worker) => {
                    let (count, code, latency) = (0, Code::ConnectFailed, AWAY_US);
                    self.tell(now, Event::Loaded { worker, function, count, code, latency });
                }
                Due::Loaded(worker, function, count) if function.as_str().starts_with(NOWHERE) => {
                    let code = if count == 0 { Code::Ok } else { Code::Error };
                    let latency = if count == 0 { ASK_US } else { LOAD_US };
                    self.tell(now, Event::Loaded { worker, function, count: 0, code, latency });
                }
                Due::Loaded(worker, function, count) => {
                    let model = self.workers.entry(worker.clone()).or_default();
                    let copies = model.copies.entry(function.clone()).or_insert(0);
                    *copies = (*copies).max(count);
                    let count = *copies;
                    if count == 0 {
                        model.copies.remove(&function);
                    }
                    let latency = LOAD_US;
                    self.tell(now, Event::Loaded { worker, function, count, code: Code::Ok, latency });
                }
                Due::Request(number) => self.request(now, number),
                Due::Stuck(number) => {
                    let request = Request::new(number, &format!("{NOWHERE}{number}"), 100.0, 4, 60_000_000);
                    self.tell(now, Event::Request(request));
                }
            }
        }
    }

    fn request(&mut self, now: Micros, number: u64) {
        // Squared, so that low ranks are called more.
        let rank = (self.rng.random_range(0.0..1.0f64).powi(2) * self.shape.functions as f64) as usize;
        let name = format!("f{rank}");
        let (class, tenant) = (rank % 3, self.rng.random_range(0..3));
        let patience = self.rng.random_range(20_000_000..60_000_000);
        let request = Request { class, tenant, ..Request::new(number, &name, 100.0, 4, patience) };
        self.of.insert(request.id, name.as_str().into());
        self.tell(now, Event::Request(request));
    }
}

fn settings(shape: Shape) -> Result<Settings, Box<dyn Error>> {
    let keyed = Repeat::Keyed { group: Group::All, window: 3_000_000 };
    let class = |repeat| Class::new(shape.times.0, shape.times.1, repeat);
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

/// What one run came to.
struct Told {
    /// Module's time a call and an event, microseconds.
    call: f64,
    event: f64,
    /// Worst event, milliseconds.
    worst: f64,
    actions: u64,
    digest: u64,
}

/// Where calls wait: a burst of so many at first, or so many for functions that can't be loaded; then steady
/// ones.
fn once(shape: Shape, waiting: u64, seed: u64) -> Result<Told, Box<dyn Error>> {
    let warm = 2_000_000;
    let mut run = Run {
        shape,
        controller: Controller::new(settings(shape)?, 1)?,
        rng: StdRng::seed_from_u64(seed),
        due: BTreeMap::new(),
        number: 0,
        attempts: HashMap::new(),
        of: HashMap::new(),
        workers: BTreeMap::new(),
        spent: Duration::ZERO,
        worst: Duration::ZERO,
        digest: 0xcbf2_9ce4_8422_2325,
        actions: 0,
        events: 0,
        away_from: warm,
    };
    let member = |i: usize| Member::active(&format!("w{i}"));
    let members = (0..shape.workers).map(member).collect();
    run.tell(0, Event::Members { kind: MembersKind::Whole, members });
    // Copies everywhere first, by a call of each function now and then.
    let mut number = 0;
    let mut add = |run: &mut Run, at: Micros, due: fn(u64) -> Due| {
        number += 1;
        run.set(at, due(number));
    };
    (0..2_000).for_each(|i| add(&mut run, i * warm / 2_000, Due::Request));
    let first = if shape.silent > 0 { Due::Stuck } else { Due::Request };
    (0..waiting).for_each(|_| add(&mut run, warm, first));
    let steady = (shape.rate * shape.span as f64 / 1e6) as u64;
    (0..steady).for_each(|i| add(&mut run, warm + 1 + i * shape.span / steady, Due::Request));
    run.until(warm);
    (run.spent, run.worst, run.events) = (Duration::ZERO, Duration::ZERO, 0);
    run.until(warm + shape.span);
    let spent = run.spent.as_secs_f64() * 1e6;
    let (call, event) = (spent / steady as f64, spent / run.events as f64);
    let worst = run.worst.as_secs_f64() * 1e3;
    Ok(Told { call, event, worst, actions: run.actions, digest: run.digest })
}

/// Measures and prints; `large` takes the large fleet, a third of it silent.
pub fn run(waiting: &[u64], rounds: usize, seed: u64, large: bool) -> Result<(), Box<dyn Error>> {
    let shape = if large { LARGE } else { SMALL };
    let Shape { workers, silent, functions, rate, .. } = shape;
    println!(
        "{workers} workers, {silent} silent, {functions} functions, {rate:.0} calls a second, {rounds} rounds, \
         seed {seed}"
    );
    for &waiting in waiting {
        let told: Vec<_> = (0..rounds).map(|_| once(shape, waiting, seed)).collect::<Result<_, _>>()?;
        let Some(Told { actions, digest, .. }) = told.last() else { continue };
        println!(
            "{waiting} waiting: {} us a call, {} an event, worst event {} ms; {actions} actions, digest {digest:016x}",
            spread(told.iter().map(|t| t.call).collect()),
            spread(told.iter().map(|t| t.event).collect()),
            spread(told.iter().map(|t| t.worst).collect()),
        );
    }
    Ok(())
}
