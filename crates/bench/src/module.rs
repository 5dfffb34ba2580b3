//! The controller alone, driven with ready answers: processor time of its events, its memory.

use crate::spread;
use basaltward::{
    Action, Class, Code, Controller, CopyStatus, Event, Member, MembersKind, Micros, Outcome, Repeat,
    Request, RequestId, Settings, SettingsError, WorkerId,
};
use basaltward_net::{monotonic, thread_time};
use std::collections::BTreeMap;
use std::error::Error;
use std::time::{Duration, Instant};

/// The module's own timer: it looks over what waits, sums and placements.
const SWEEP: u64 = 0;
/// How long a load takes.
const LOAD_US: Micros = 1_000;
/// Calls for functions that are to be held come this fast.
const FILL_GAP_US: Micros = 1_000;
/// Workers while functions are filled in: enough to place them, and cheap to look over.
const FILL_WORKERS: usize = 60;

/// What a controller is driven with.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Workers in its list.
    pub workers: usize,
    /// Functions called.
    pub functions: usize,
    /// Calls measured.
    pub calls: u64,
    /// Calls a second.
    pub calls_per_s: f64,
    /// Calls fall as a function's rank to this power.
    pub skew: f64,
    /// Schedulers that share the fleet.
    pub schedulers: u32,
    /// Answers come after this.
    pub answer_us: Micros,
    /// An idle copy stays at least so long; none for the settings' usual time.
    pub keep_us: Option<Micros>,
    /// Memory of a worker and of a copy, MB.
    pub memory_mb: (f64, f64),
    /// Each function is called once, at few workers, before anything is measured, so that all are held.
    pub filled: bool,
    /// Calls made before those that are measured.
    pub warm_up: u64,
    /// Calls a second of the whole fleet, by which workers tell how many calls of a function they hold; none for a
    /// fleet that tells of no crowd.
    pub fleet_calls_per_s: Option<f64>,
    /// Every measured call is for a function that was never called.
    pub all_new: bool,
}

impl Load {
    /// One scheduler that serves everybody at a thousand calls a second.
    pub fn of_one(workers: usize, functions: usize, calls: u64) -> Self {
        Self {
            workers,
            functions,
            calls,
            calls_per_s: 1_000.0,
            skew: 1.0,
            schedulers: 1,
            answer_us: 5_000,
            keep_us: None,
            memory_mb: (100_000.0, 100.0),
            filled: false,
            warm_up: 0,
            fleet_calls_per_s: None,
            all_new: false,
        }
    }
}

/// What the measured calls came to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Microseconds a call, all events but sweeps.
    pub call_us: f64,
    /// Microseconds that sweeps take in a second.
    pub sweep_us_per_s: f64,
    /// The worst single event.
    pub worst_us: f64,
    /// How often a worker was weighed as a place, for each call.
    pub looks_per_call: f64,
}

impl Cost {
    /// Microseconds a call, sweeps included.
    pub fn whole_us(&self, calls_per_s: f64) -> f64 {
        self.call_us + self.sweep_us_per_s / calls_per_s
    }
}

/// Calls that one copy runs at once.
const LANES: u32 = 4;

enum Due {
    Timer(u64),
    Answer(RequestId, usize, WorkerId),
    Loaded(Action),
}

/// A controller with what is under way around it.
pub struct Driver {
    controller: Controller,
    load: Load,
    due: BTreeMap<(Micros, u64), Due>,
    number: u64,
    sent: BTreeMap<RequestId, usize>,
    popularity: Popularity,
    /// Which function each call in hand is for.
    ranks: BTreeMap<RequestId, usize>,
    now: Micros,
    calls: u64,
    spent: Duration,
    swept: Duration,
    worst: Duration,
}

impl Driver {
    /// A controller with its list of workers, and with its functions where they are to be filled in.
    ///
    /// # Errors
    /// Where the settings can't be used.
    pub fn new(load: Load) -> Result<Self, SettingsError> {
        let classes = vec![Class::new(500_000, 2_000_000, Repeat::Safe)];
        let mut settings = Settings::new(classes, vec![load.memory_mb.0]);
        settings.schedulers = load.schedulers;
        settings.copies.keep_alive = load.keep_us.unwrap_or(settings.copies.keep_alive);
        let mut driver = Self {
            controller: Controller::new(settings, 1)?,
            due: BTreeMap::new(),
            number: 0,
            sent: BTreeMap::new(),
            popularity: Popularity::new(load.functions, load.skew),
            ranks: BTreeMap::new(),
            now: 0,
            calls: 0,
            spent: Duration::ZERO,
            swept: Duration::ZERO,
            worst: Duration::ZERO,
            load,
        };
        if driver.load.filled {
            driver.list(FILL_WORKERS.min(driver.load.workers));
            for rank in 1..=driver.load.functions {
                driver.call(driver.now + FILL_GAP_US, rank);
            }
        }
        driver.list(driver.load.workers);
        Ok(driver)
    }

    fn list(&mut self, workers: usize) {
        let member = |i: usize| Member::active(&format!("10.0.{}.{}:7000", i / 250, i % 250));
        let members = (0..workers).map(member).collect();
        self.tell(self.now, Event::Members { kind: MembersKind::Whole, members });
    }

    fn call(&mut self, at: Micros, rank: usize) {
        self.until(at);
        self.now = at;
        self.calls += 1;
        self.ranks.insert(RequestId(self.calls), rank);
        let request = Request::new(self.calls, &format!("f{rank}"), self.load.memory_mb.1, 4, 2_000_000);
        self.tell(at, Event::Request(request));
    }

    fn tell(&mut self, now: Micros, event: Event) {
        let mut actions = Vec::new();
        let sweeps = event == Event::Timer { token: SWEEP };
        let start = Instant::now();
        self.controller.handle(now, event, &mut actions);
        let took = start.elapsed();
        *if sweeps { &mut self.swept } else { &mut self.spent } += took;
        self.worst = self.worst.max(took);
        for action in actions {
            self.number += 1;
            let (at, due) = match action {
                Action::Timer { after, token } => (now + after, Due::Timer(token)),
                Action::Send { id, worker, .. } => {
                    let attempt = self.sent.entry(id).or_insert(0);
                    *attempt += 1;
                    (now + self.load.answer_us, Due::Answer(id, *attempt - 1, worker))
                }
                load @ Action::Load { .. } => (now + LOAD_US, Due::Loaded(load)),
                _ => continue,
            };
            self.due.insert((at, self.number), due);
        }
    }

    fn until(&mut self, time: Micros) {
        while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 <= time) {
            let ((now, _), due) = entry.remove_entry();
            let event = match due {
                Due::Timer(token) => Event::Timer { token },
                Due::Answer(id, attempt, worker) => {
                    self.sent.remove(&id);
                    let rank = self.ranks.remove(&id);
                    let crowd = rank.map_or(0, |rank| self.crowd(rank));
                    Event::Outcome(Outcome {
                        id,
                        attempt,
                        worker,
                        code: Code::Ok,
                        latency: self.load.answer_us,
                        is_final: true,
                        copy: CopyStatus::Loaded,
                        crowd: Some(crowd),
                        report: Vec::new(),
                    })
                }
                Due::Loaded(Action::Load { worker, function, count }) => {
                    Event::Loaded { worker, function, count, code: Code::Ok, latency: LOAD_US }
                }
                Due::Loaded(_) => continue,
            };
            self.tell(now, event);
        }
    }

    /// Calls of a function that a worker holds while this one is answered: those of the whole fleet, over as many
    /// workers as have the lanes for them.
    fn crowd(&self, rank: usize) -> u32 {
        let fleet = self.load.fleet_calls_per_s.unwrap_or(0.0);
        let held = fleet * self.popularity.share(rank) * self.load.answer_us as f64 / 1e6;
        let holders = (held / f64::from(LANES)).ceil().clamp(1.0, self.load.workers.max(1) as f64);
        (held / holders).round() as u32
    }

    /// Makes the calls and measures them.
    pub fn run(&mut self) -> Cost {
        // A multiplicative congruence in place of a random source: the same calls in every build.
        let mut state = 0x2545_f491_4f6c_dd1d_u64;
        self.calls_of(self.load.warm_up, &mut state);
        (self.spent, self.swept, self.worst) = Default::default();
        let looks = self.controller.placements_evaluated();
        let (wall, used) = (monotonic(), thread_time());
        self.calls_of(self.load.calls, &mut state);
        // On a busy machine others run in between: that part of the wall time is not ours.
        let ours = (thread_time() - used) as f64 / (monotonic() - wall).max(1) as f64;
        let us = |spent: Duration| spent.as_secs_f64() * 1e6 * ours.min(1.0);
        let calls = self.load.calls.max(1) as f64;
        Cost {
            call_us: us(self.spent) / calls,
            sweep_us_per_s: us(self.swept) / (calls / self.load.calls_per_s),
            worst_us: self.worst.as_secs_f64() * 1e6,
            looks_per_call: (self.controller.placements_evaluated() - looks) as f64 / calls,
        }
    }

    fn calls_of(&mut self, calls: u64, state: &mut u64) {
        let began = self.now;
        for call in 0..calls {
            *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let drawn = self.popularity.rank((*state >> 11) as f64 / (1u64 << 53) as f64);
            let rank = if self.load.all_new { self.load.functions + 1 + call as usize } else { drawn };
            let at = began + (call as f64 * 1e6 / self.load.calls_per_s) as Micros;
            self.call(at.max(self.now), rank);
        }
    }
}

/// Which function a call is for: weights fall with rank, drawn by their sums.
struct Popularity {
    sums: Vec<f64>,
}

impl Popularity {
    fn new(functions: usize, skew: f64) -> Self {
        let mut sum = 0.0;
        let weight = |rank: usize| {
            sum += (rank as f64).powf(-skew);
            sum
        };
        Self { sums: (1..=functions).map(weight).collect() }
    }

    /// The share of all calls that falls to a rank.
    fn share(&self, rank: usize) -> f64 {
        let sum =
            |ranks: usize| ranks.checked_sub(1).and_then(|at| self.sums.get(at)).copied().unwrap_or(0.0);
        (sum(rank) - sum(rank - 1)).max(0.0) / self.sums.last().copied().unwrap_or(1.0)
    }

    /// The rank, from 1, that a number from 0 to 1 stands for.
    fn rank(&self, drawn: f64) -> usize {
        let wanted = drawn * self.sums.last().copied().unwrap_or(0.0);
        (self.sums.partition_point(|sum| *sum < wanted) + 1).min(self.sums.len())
    }
}

/// Measures and prints; popularity falls as 1 / rank.
pub fn run(workers: usize, functions: usize, calls: u64, rounds: usize) -> Result<(), Box<dyn Error>> {
    let load = Load::of_one(workers, functions, calls);
    let rate = load.calls_per_s;
    let (mut means, mut worsts) = (Vec::new(), Vec::new());
    for _ in 0..rounds {
        let cost = Driver::new(load.clone())?.run();
        means.push(cost.whole_us(rate));
        worsts.push(cost.worst_us / 1e3);
    }
    println!("{workers} workers, {functions} functions, {calls} calls at {rate} a second, {rounds} rounds");
    println!("module's time a call, all its events: {} us", spread(means));
    println!("worst single event: {} ms", spread(worsts));
    Ok(())
}
