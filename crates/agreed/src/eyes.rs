//! What a member sees, by its view of the fleet and by what it is told of workers.

use crate::bounds::{Seen, Sight};
use crate::ledger::Subject;
use crate::member::Eyes;
use basaltward_fleet::{Entry, Micros, Number, RUNS, State, View, counters_of};

/// See the module's page.
pub struct Look<'a> {
    /// The view.
    pub view: &'a View,
    /// Zones of the schedulers, by number; those that are not told are in zone 0.
    pub zones: &'a [u8],
    /// Workers, by what the bulletin tells: put together when they are looked at, which few datagrams lead to.
    pub workers: &'a dyn Fn(Micros) -> Sight,
    /// The wall clock, in milliseconds since the beginning of 2026.
    pub wall_ms: u64,
}

impl Eyes for Look<'_> {
    fn sight(&self, now: Micros) -> Sight {
        let runs = |of: usize| {
            let told = self.view.fact_of_this_life(now, of as Number, RUNS).and_then(counters_of)?;
            told.first().and_then(|mark| u32::try_from(*mark).ok())
        };
        let seen = |(of, entry): (usize, &Entry)| {
            // One that is suspected is not known to be in use.
            let used = (entry.state == State::Up).then(|| now.saturating_sub(entry.since));
            let life = (entry.incarnation.start / 1_000) as u16;
            let zone = self.zones.get(of).copied().unwrap_or(0);
            (Subject::Scheduler(of as Number), Seen { zone, life, used, sole: false, runs: runs(of) })
        };
        let mut sight: Sight = self.view.entries().iter().enumerate().map(seen).collect();
        sight.extend((self.workers)(now));
        sight
    }

    fn live(&self) -> Vec<Number> {
        let own = self.view.own();
        let live = |(of, entry): (usize, &Entry)| {
            (entry.state.is_live() && of != usize::from(own)).then_some(of as Number)
        };
        self.view.entries().iter().enumerate().filter_map(live).collect()
    }

    fn wall_ms(&self) -> u64 {
        self.wall_ms
    }
}
