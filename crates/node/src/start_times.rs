//! Start times of workers on the loop's monotonic clock. They are reported by wall clocks, which may be stepped.

use basaltward::Micros;
use basaltward_bulletin::{Target, TargetState};
use basaltward_net::Clock;
use std::collections::{HashMap, HashSet};

/// Wall clocks that differ by less than this are taken as adjusted, not stepped.
const ADJUSTED_US: u64 = 500_000;
/// Clock readings retained, one per step: a start may be reported by any of them.
const MAX_READINGS: usize = 4;
/// A list lags by seconds, and in bad cases by some ten seconds more. A worker that was not listed this long after
/// the reported time can't have started then.
const LIST_LAG_US: Micros = 20_000_000;
/// How long the start of a worker that has gone is remembered, in case it comes back.
const GONE_RETENTION_US: Micros = 600_000_000;

/// A worker with a reported start.
struct WorkerStart {
    boot_ms: u64,
    started: Micros,
    gone: Option<Micros>,
}

/// Maps the reported start times to the monotonic clock.
///
/// The age of a worker is a span of real time, but it is reported as a wall clock time: that of the worker, of the
/// list or of this machine, and each may be stepped or wrong. An impossible time is not trusted: a worker can't
/// have started after it was listed, nor long before a list that did not contain it. In doubt the later time is
/// used: a worker taken for colder than it is gets less load for a while, but one wrongly taken for warm is
/// overloaded.
pub struct StartTimes {
    /// The clocks before and after each observed step, the current ones last.
    readings: Vec<Clock>,
    workers: HashMap<String, WorkerStart>,
    /// When the list being read arrived.
    now: Micros,
    /// When input from the bulletin was last handled, even if it left the list unchanged.
    confirmed_at: Option<Micros>,
}

impl StartTimes {
    /// Creates the map without workers, from a first reading of the clocks.
    pub fn new(clock: Clock) -> Self {
        Self { readings: vec![clock], workers: HashMap::new(), now: clock.monotonic(), confirmed_at: None }
    }

    /// Notes that a list, or a change to it, arrived at this reading of the clocks.
    pub fn list_received(&mut self, clock: Clock) {
        self.now = clock.monotonic();
        let last = self.readings.last_mut().filter(|last| last.wall_step(&clock) < ADJUSTED_US);
        match last {
            Some(last) => *last = clock,
            None => self.readings.push(clock),
        }
        if self.readings.len() > MAX_READINGS {
            self.readings.remove(0);
        }
        let now = self.now;
        self.workers.retain(|_, known| known.gone.is_none_or(|at| at + GONE_RETENTION_US > now));
    }

    /// Records that input from the bulletin, which keeps the list up to date, was handled at `now`.
    pub fn list_confirmed(&mut self, now: Micros) {
        self.confirmed_at = Some(now);
    }

    /// Marks the workers as gone that are not in this complete list.
    pub fn mark_unlisted_gone(&mut self, targets: &[Target]) {
        let listed: HashSet<_> = targets.iter().map(|target| target.uid.as_str()).collect();
        for (uid, known) in &mut self.workers {
            if !listed.contains(uid.as_str()) {
                known.gone.get_or_insert(self.now);
            }
        }
    }

    /// When a worker started, on the monotonic clock; 0 for one that started long ago.
    pub fn started(&mut self, target: &Target) -> Micros {
        let gone = (target.state == TargetState::Gone).then_some(self.now);
        if target.boot_ms == 0 {
            self.workers.remove(&target.uid);
            return 0;
        }
        if let Some(known) = self.workers.get_mut(&target.uid).filter(|k| k.boot_ms == target.boot_ms) {
            known.gone = gone;
            return known.started;
        }
        let started = self.to_monotonic(target.boot_ms);
        let known = WorkerStart { boot_ms: target.boot_ms, started, gone };
        self.workers.insert(target.uid.clone(), known);
        started
    }

    /// The latest time by any of the clocks that is not in the future, or now if none is plausible.
    fn to_monotonic(&self, boot_ms: u64) -> Micros {
        let wall = boot_ms.saturating_mul(1_000);
        let candidates = self.readings.iter().map(|clock| clock.to_monotonic(wall));
        // Clocks that were not stepped differ a little too.
        let past = candidates.filter(|at| *at <= self.now + ADJUSTED_US).max();
        let earliest = self.confirmed_at.map_or(0, |confirmed_at| confirmed_at.saturating_sub(LIST_LAG_US));
        past.filter(|at| *at >= earliest).unwrap_or(self.now).clamp(1, self.now.max(1))
    }
}
