//! The controller with calls waiting: its time a call by how many wait, and a digest of all its actions, by
//! which two builds are held to the same decisions.

use crate::spread;
use basaltward::{
    Action, Class, Code, Controller, CopyNote, Event, Group, Member, MembersKind, Micros, Outcome, Repeat,
    Request, RequestId, Settings, State, WorkerId,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::error::Error;
use std::time::{Duration, Instant};

const WORKERS: usize = 12;
const FUNCTIONS: usize = 40;
const CORES: usize = 4;
/// Mean work of a call.
const WORK_US: Micros = 10_000;
/// Calls that a worker holds at most.
const QUEUE: usize = 32;
/// Steady calls a second, 0.9 of what the workers do.
const RATE: f64 = 0.9 * (WORKERS * CORES) as f64 * 1e6 / WORK_US as f64;
const SPAN_US: Micros = 1_500_000;

enum Due {
    Timer(u64),
    Done(WorkerId, RequestId, usize, Micros),
    Loaded(WorkerId, basaltward::FunctionId, u32),
    Request(u64),
}

#[derive(Default)]
struct Model {
    running: usize,
    queue: VecDeque<(RequestId, usize, Micros)>,
    copies: BTreeMap<basaltward::FunctionId, u32>,
}

struct Run {
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
}

impl Run {
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
        for action in actions {
            self.actions += 1;
            for byte in format!("{now}{action:?}").bytes() {
                self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
            }
            match action {
                Action::Timer { after, token } => self.set(now + after, Due::Timer(token)),
                Action::Send { id, worker, .. } => self.send(now, id, &worker),
                Action::Load { worker, function, count } => {
                    let wait = if count == 0 { 800 } else { 60_000 };
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
        let copy = if code == Code::Ok { CopyNote::Stood } else { CopyNote::Untold };
        let (last, crowd, report) = (code == Code::Ok, Some((held / 4) as u32), vec![held as f64]);
        let told = Outcome { id, attempt, worker, code, latency: took, last, copy, crowd, report };
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
                Due::Loaded(worker, function, count) => {
                    let model = self.workers.entry(worker.clone()).or_default();
                    let copies = model.copies.entry(function.clone()).or_insert(0);
                    *copies = (*copies).max(count);
                    let count = *copies;
                    if count == 0 {
                        model.copies.remove(&function);
                    }
                    let latency = 60_000;
                    self.tell(now, Event::Loaded { worker, function, count, code: Code::Ok, latency });
                }
                Due::Request(number) => self.request(now, number),
            }
        }
    }

    fn request(&mut self, now: Micros, number: u64) {
        // Squared, so that low ranks are called more.
        let rank = (self.rng.random_range(0.0..1.0f64).powi(2) * FUNCTIONS as f64) as usize;
        let name = format!("f{rank}");
        let (class, tenant) = (rank % 3, self.rng.random_range(0..3));
        let patience = self.rng.random_range(20_000_000..60_000_000);
        let request = Request { class, tenant, ..Request::new(number, &name, 100.0, 4, patience) };
        self.of.insert(request.id, name.as_str().into());
        self.tell(now, Event::Request(request));
    }
}

fn settings() -> Result<Settings, Box<dyn Error>> {
    let keyed = Repeat::Keyed { group: Group::All, window: 3_000_000 };
    let class = |repeat| Class::new(20_000_000, 60_000_000, repeat);
    let classes = vec![class(Repeat::Safe), class(keyed), class(Repeat::Unsafe)];
    let mut settings = Settings::new(classes, vec![8_000.0]);
    settings.tenant_quotas = vec![2_000.0, 1_500.0, 200.0];
    settings.report_names = vec!["inflight".into()];
    settings.family.load_window = 5_000_000;
    settings.family.load_free = 50.0;
    settings.family.load_share = 0.3;
    Ok(settings)
}

/// A burst of `waiting` calls, then steady ones below what the workers can do: so many wait all along.
fn once(waiting: u64, seed: u64) -> Result<(f64, f64, u64, u64), Box<dyn Error>> {
    let mut run = Run {
        controller: Controller::new(settings()?, 1)?,
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
    };
    let member = |i: usize| Member {
        worker: format!("10.0.0.{i}:7000").as_str().into(),
        state: State::Active,
        started: 0,
        hint: 1.0,
        kind: 0,
        zone: 0,
        cell: 0,
    };
    let members = (0..WORKERS).map(member).collect();
    run.tell(0, Event::Members { kind: MembersKind::Whole, members });
    // Copies everywhere first, by a call of each function now and then.
    let warm = 2_000_000;
    let mut number = 0;
    let mut add = |run: &mut Run, at: Micros| {
        number += 1;
        run.set(at, Due::Request(number));
    };
    (0..2_000).for_each(|i| add(&mut run, i * warm / 2_000));
    (0..waiting).for_each(|_| add(&mut run, warm));
    let steady = (RATE * SPAN_US as f64 / 1e6) as u64;
    (0..steady).for_each(|i| add(&mut run, warm + 1 + i * SPAN_US / steady));
    run.until(warm);
    (run.spent, run.worst) = (Duration::ZERO, Duration::ZERO);
    run.until(warm + SPAN_US);
    let (spent, worst) = (run.spent.as_secs_f64() * 1e6 / steady as f64, run.worst.as_secs_f64() * 1e3);
    Ok((spent, worst, run.digest, run.actions))
}

/// Measures and prints.
pub fn run(waiting: &[u64], rounds: usize, seed: u64) -> Result<(), Box<dyn Error>> {
    println!(
        "{WORKERS} workers, {FUNCTIONS} functions, {RATE:.0} calls a second, {rounds} rounds, seed {seed}"
    );
    for &waiting in waiting {
        let (mut spent, mut worst) = (Vec::new(), 0.0f64);
        let (mut digest, mut actions) = (0, 0);
        for _ in 0..rounds {
            let told = once(waiting, seed)?;
            spent.push(told.0);
            worst = worst.max(told.1);
            (digest, actions) = (told.2, told.3);
        }
        println!(
            "{waiting} waiting: {} us a call, worst event {worst:.1} ms; {actions} actions, digest {digest:016x}",
            spread(spent)
        );
    }
    Ok(())
}
