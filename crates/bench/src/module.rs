//! Drives the controller alone with simulated answers and measures the processor time of its events.

use crate::spread;
use basaltward::{
    Action, Class, Code, Controller, CopyStatus, Event, Member, MembersKind, Micros, Outcome, Repeat,
    Request, RequestId, Settings, SettingsError, WorkerId,
};
use basaltward_net::{monotonic, thread_time};
use std::collections::BTreeMap;
use std::error::Error;
use std::time::{Duration, Instant};

/// Token of the module's periodic timer, at which it goes over waiting calls, sums and placements.
const SWEEP_TOKEN: u64 = 0;
/// How long loading a copy takes.
const LOAD_US: Micros = 1_000;
/// Interval between the calls that fill in the functions.
const FILL_GAP_US: Micros = 1_000;
/// Workers in the list while functions are filled in: enough to place them, and few enough that ranking them is cheap.
const FILL_WORKERS: usize = 60;

/// The load with which a controller is driven.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Workers in the list.
    pub workers: usize,
    /// Functions that are called.
    pub functions: usize,
    /// Number of calls that are measured.
    pub calls: u64,
    /// Calls a second.
    pub calls_per_s: f64,
    /// Exponent by which calls fall with a function's rank.
    pub skew: f64,
    /// Schedulers that share the fleet.
    pub schedulers: u32,
    /// Time until a call is answered, microseconds.
    pub answer_us: Micros,
    /// Minimum time for which an idle copy stays loaded, microseconds; `None` for the default of the settings.
    pub keep_us: Option<Micros>,
    /// Memory of a worker and memory of a copy, MB.
    pub memory_mb: (f64, f64),
    /// Whether each function is called once, at few workers, before measuring, so that the controller holds all of
    /// them.
    pub prefilled: bool,
    /// Number of calls made before those that are measured.
    pub warm_up: u64,
    /// Calls a second of the whole fleet, from which the crowd that workers report is computed; `None` to report a
    /// crowd of 0.
    pub fleet_calls_per_s: Option<f64>,
    /// Whether every measured call is for a function that was never called before.
    pub only_new_functions: bool,
}

impl Load {
    /// The load of a single scheduler that serves all clients, a thousand calls a second.
    pub fn single_scheduler(workers: usize, functions: usize, calls: u64) -> Self {
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
            prefilled: false,
            warm_up: 0,
            fleet_calls_per_s: None,
            only_new_functions: false,
        }
    }
}

/// Cost of the measured calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Microseconds a call over all events except sweeps.
    pub call_us: f64,
    /// Microseconds a second spent in sweeps.
    pub sweep_us_per_s: f64,
    /// Microseconds of the slowest single event.
    pub worst_us: f64,
    /// How many placements on a worker were evaluated, for each call.
    pub evaluations_per_call: f64,
}

impl Cost {
    /// Microseconds a call, sweeps included.
    pub fn total_us(&self, calls_per_s: f64) -> f64 {
        self.call_us + self.sweep_us_per_s / calls_per_s
    }
}

/// Calls that one copy runs concurrently.
const LANES: u32 = 4;

/// An event that the driver delivers to the controller when it is due.
enum Due {
    Timer(u64),
    Answer(RequestId, usize, WorkerId),
    Loaded(Action),
}

/// A controller with the simulated timers, answers and loads that are outstanding.
pub struct Driver {
    controller: Controller,
    load: Load,
    /// Outstanding events by time and order of insertion.
    due: BTreeMap<(Micros, u64), Due>,
    sequence: u64,
    /// Number of attempts of each call in flight.
    attempts: BTreeMap<RequestId, usize>,
    popularity: Popularity,
    /// The rank of the function of each call in flight.
    ranks: BTreeMap<RequestId, usize>,
    now: Micros,
    calls: u64,
    event_time: Duration,
    sweep_time: Duration,
    worst: Duration,
}

impl Driver {
    /// A controller with its list of workers and, if the load is prefilled, its functions.
    ///
    /// # Errors
    /// If the settings are invalid.
    pub fn new(load: Load) -> Result<Self, SettingsError> {
        let classes = vec![Class::new(500_000, 2_000_000, Repeat::Safe)];
        let mut settings = Settings::new(classes, vec![load.memory_mb.0]);
        settings.schedulers = load.schedulers;
        settings.copies.keep_alive = load.keep_us.unwrap_or(settings.copies.keep_alive);
        let mut driver = Self {
            controller: Controller::new(settings, 1)?,
            due: BTreeMap::new(),
            sequence: 0,
            attempts: BTreeMap::new(),
            popularity: Popularity::new(load.functions, load.skew),
            ranks: BTreeMap::new(),
            now: 0,
            calls: 0,
            event_time: Duration::ZERO,
            sweep_time: Duration::ZERO,
            worst: Duration::ZERO,
            load,
        };
        if driver.load.prefilled {
            driver.set_workers(FILL_WORKERS.min(driver.load.workers));
            for rank in 1..=driver.load.functions {
                driver.submit_call(driver.now + FILL_GAP_US, rank);
            }
        }
        driver.set_workers(driver.load.workers);
        Ok(driver)
    }

    fn set_workers(&mut self, workers: usize) {
        let member = |i: usize| Member::active(&format!("10.0.{}.{}:7000", i / 250, i % 250));
        let members = (0..workers).map(member).collect();
        self.deliver(self.now, Event::Members { kind: MembersKind::Whole, members });
    }

    fn submit_call(&mut self, at: Micros, rank: usize) {
        self.run_until(at);
        self.now = at;
        self.calls += 1;
        self.ranks.insert(RequestId(self.calls), rank);
        let request = Request::new(self.calls, &format!("f{rank}"), self.load.memory_mb.1, 4, 2_000_000);
        self.deliver(at, Event::Request(request));
    }

    fn deliver(&mut self, now: Micros, event: Event) {
        let mut actions = Vec::new();
        let is_sweep = event == Event::Timer { token: SWEEP_TOKEN };
        let start = Instant::now();
        self.controller.handle(now, event, &mut actions);
        let elapsed = start.elapsed();
        *if is_sweep { &mut self.sweep_time } else { &mut self.event_time } += elapsed;
        self.worst = self.worst.max(elapsed);
        for action in actions {
            self.sequence += 1;
            let (at, due) = match action {
                Action::Timer { after, token } => (now + after, Due::Timer(token)),
                Action::Send { id, worker, .. } => {
                    let attempts = self.attempts.entry(id).or_insert(0);
                    *attempts += 1;
                    (now + self.load.answer_us, Due::Answer(id, *attempts - 1, worker))
                }
                load @ Action::Load { .. } => (now + LOAD_US, Due::Loaded(load)),
                _ => continue,
            };
            self.due.insert((at, self.sequence), due);
        }
    }

    fn run_until(&mut self, time: Micros) {
        while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 <= time) {
            let ((now, _), due) = entry.remove_entry();
            let event = match due {
                Due::Timer(token) => Event::Timer { token },
                Due::Answer(id, attempt, worker) => {
                    self.attempts.remove(&id);
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
            self.deliver(now, event);
        }
    }

    /// Calls of a function that a worker holds while a call is answered: those of the whole fleet, divided by the
    /// number of workers that provide the lanes for them.
    fn crowd(&self, rank: usize) -> u32 {
        let fleet = self.load.fleet_calls_per_s.unwrap_or(0.0);
        let fleet_calls = fleet * self.popularity.share(rank) * self.load.answer_us as f64 / 1e6;
        let holders = (fleet_calls / f64::from(LANES)).ceil().clamp(1.0, self.load.workers.max(1) as f64);
        (fleet_calls / holders).round() as u32
    }

    /// Makes the warm-up calls, then the measured ones.
    pub fn run(&mut self) -> Cost {
        // A linear congruential generator in place of a random source gives the same calls in every build.
        let mut state = 0x2545_f491_4f6c_dd1d_u64;
        self.make_calls(self.load.warm_up, &mut state);
        (self.event_time, self.sweep_time, self.worst) = Default::default();
        let evaluations = self.controller.placements_evaluated();
        let (wall, used) = (monotonic(), thread_time());
        self.make_calls(self.load.calls, &mut state);
        // On a busy machine other processes run in between, so wall time is scaled by this thread's processor share.
        let cpu_share = (thread_time() - used) as f64 / (monotonic() - wall).max(1) as f64;
        let us = |time: Duration| time.as_secs_f64() * 1e6 * cpu_share.min(1.0);
        let calls = self.load.calls.max(1) as f64;
        Cost {
            call_us: us(self.event_time) / calls,
            sweep_us_per_s: us(self.sweep_time) / (calls / self.load.calls_per_s),
            worst_us: self.worst.as_secs_f64() * 1e6,
            evaluations_per_call: (self.controller.placements_evaluated() - evaluations) as f64 / calls,
        }
    }

    fn make_calls(&mut self, calls: u64, state: &mut u64) {
        let start = self.now;
        for call in 0..calls {
            *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let drawn = self.popularity.rank((*state >> 11) as f64 / (1u64 << 53) as f64);
            let rank =
                if self.load.only_new_functions { self.load.functions + 1 + call as usize } else { drawn };
            let at = start + (call as f64 * 1e6 / self.load.calls_per_s) as Micros;
            self.submit_call(at.max(self.now), rank);
        }
    }
}

/// The distribution of calls over functions: weights fall with rank, and a rank is drawn by their cumulative sums.
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

    /// The share of all calls that go to the function of a rank.
    fn share(&self, rank: usize) -> f64 {
        let sum =
            |ranks: usize| ranks.checked_sub(1).and_then(|at| self.sums.get(at)).copied().unwrap_or(0.0);
        (sum(rank) - sum(rank - 1)).max(0.0) / self.sums.last().copied().unwrap_or(1.0)
    }

    /// The rank, from 1, at a quantile between 0 and 1.
    fn rank(&self, quantile: f64) -> usize {
        let target = quantile * self.sums.last().copied().unwrap_or(0.0);
        (self.sums.partition_point(|sum| *sum < target) + 1).min(self.sums.len())
    }
}

/// Measures and prints. Popularity falls as 1 / rank.
///
/// # Errors
/// If the settings are invalid.
pub fn run(workers: usize, functions: usize, calls: u64, rounds: usize) -> Result<(), Box<dyn Error>> {
    let load = Load::single_scheduler(workers, functions, calls);
    let rate = load.calls_per_s;
    let (mut means, mut worsts) = (Vec::new(), Vec::new());
    for _ in 0..rounds {
        let cost = Driver::new(load.clone())?.run();
        means.push(cost.total_us(rate));
        worsts.push(cost.worst_us / 1e3);
    }
    println!("{workers} workers, {functions} functions, {calls} calls at {rate} a second, {rounds} rounds");
    println!("module time per call, all events: {} us", spread(means));
    println!("worst single event: {} ms", spread(worsts));
    Ok(())
}
