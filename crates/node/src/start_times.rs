//! When workers started, on the loop's monotonic clock, though they are told by wall clocks that may be stepped.

use basaltward::Micros;
use basaltward_bulletin::{Standing, Target};
use basaltward_net::Clock;
use std::collections::{HashMap, HashSet};

/// Wall clocks that differ by less are the same: adjusted, not stepped.
const ADJUSTED_US: u64 = 500_000;
/// Readings of the clocks kept, one for each step: a start may be told by any of them.
const MAX_READINGS: usize = 4;
/// A list lags behind by seconds, and on bad days by some ten more. Who was not told of by this long after it started
/// can't have started then.
const LIST_LAG_US: Micros = 20_000_000;
/// What is known of a worker that has gone is kept for so long, should it come back.
const GONE_RETENTION_US: Micros = 600_000_000;

/// A worker whose start was told.
struct WorkerStart {
    boot_ms: u64,
    started: Micros,
    gone: Option<Micros>,
}

/// Places the starts that a list tells on the monotonic clock.
///
/// A start is a span of real time ago, but it is told as the time of a wall clock: that of the worker, of the list, or
/// of this machine, each of which may be stepped or wrong. What no clock can say is not believed: a worker can't have
/// started after it was told of, nor long before a list that did not hold it. In doubt the later time is taken: a worker
/// that is taken for colder than it is gets less for a while, one taken for warm is pushed over.
pub struct StartTimes {
    /// The clocks before and after each step seen, the present ones last.
    readings: Vec<Clock>,
    workers: HashMap<String, WorkerStart>,
    /// When the list came that is being read.
    now: Micros,
    /// When the list last said something, if only that nothing has changed.
    confirmed_at: Option<Micros>,
}

impl StartTimes {
    /// Knows no worker; the machine's clocks read so.
    pub fn new(clock: Clock) -> Self {
        Self { readings: vec![clock], workers: HashMap::new(), now: clock.monotonic(), confirmed_at: None }
    }

    /// A list, or a change of it, has come at this reading of the clocks.
    pub fn list_received(&mut self, clock: Clock) {
        self.now = clock.monotonic();
        let last = self.readings.last_mut().filter(|last| last.apart(&clock) < ADJUSTED_US);
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

    /// The list has said all that it has to say by now.
    pub fn list_confirmed(&mut self, now: Micros) {
        self.confirmed_at = Some(now);
    }

    /// The list holds these workers and no others.
    pub fn mark_unlisted_gone(&mut self, targets: &[Target]) {
        let listed: HashSet<_> = targets.iter().map(|target| target.uid.as_str()).collect();
        for (uid, known) in &mut self.workers {
            if !listed.contains(uid.as_str()) {
                known.gone.get_or_insert(self.now);
            }
        }
    }

    /// When a worker started, on the monotonic clock; 0 for one that has been there for long.
    pub fn started(&mut self, target: &Target) -> Micros {
        let gone = (target.state == Standing::Gone).then_some(self.now);
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

    /// The latest time by any of the clocks that is not in the future; now where it can't be one of them.
    fn to_monotonic(&self, boot_ms: u64) -> Micros {
        let wall = boot_ms.saturating_mul(1_000);
        let places = self.readings.iter().map(|clock| clock.place(wall));
        // Clocks that were not stepped lie a little apart too.
        let past = places.filter(|at| *at <= self.now + ADJUSTED_US).max();
        let earliest = self.confirmed_at.map_or(0, |confirmed_at| confirmed_at.saturating_sub(LIST_LAG_US));
        past.filter(|at| *at >= earliest).unwrap_or(self.now).clamp(1, self.now.max(1))
    }
}
