//! What calls wait where most of them wait. Some that wait for their functions to be loaded, beside others that don't wait,
//! say nothing of what a site can do; a queue before all workers makes nearly all of them wait.

use basaltward_membership::Micros;
use std::collections::{HashMap, VecDeque};

/// Waits of so long count, and so many at most.
const WINDOW: (Micros, usize) = (250_000, 64);
/// One in so many waits less than what is told: the least of all is chance where workers take calls out of order.
const QUARTER: usize = 4;
/// A function that was not answered for so long may have to be loaded anew.
const COLD_AFTER: Micros = 2_000_000;

/// Waits of one loop.
#[derive(Debug, Default)]
pub struct WaitEstimator {
    /// Waits with their times.
    recent: VecDeque<(Micros, Micros)>,
    /// When each function began to be answered, and when it was answered last.
    warm: HashMap<u32, (Micros, Micros)>,
}

impl WaitEstimator {
    /// A call of a function that came at `came` has been answered after this wait: what it says of the site.
    pub fn record(&mut self, now: Micros, function: u32, came: Micros, wait: Micros) -> Micros {
        let (since, last) = self.warm.entry(function).or_insert((now, now));
        if now.saturating_sub(*last) > COLD_AFTER {
            *since = now;
        }
        *last = now;
        // Whoever came before the function was answered waited for its copy.
        let wait = if came < *since { 0 } else { wait };
        self.recent.push_back((now, wait));
        while self.recent.front().is_some_and(|(at, _)| at + WINDOW.0 < now) || self.recent.len() > WINDOW.1 {
            self.recent.pop_front();
        }
        let mut waits: Vec<_> = self.recent.iter().map(|(_, wait)| *wait).collect();
        let quarter = waits.len() / QUARTER;
        *waits.select_nth_unstable(quarter).1
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Micros = 1_000;

    #[test]
    fn a_load_is_no_overload_and_a_queue_before_all_is_one() {
        let mut waits = WaitEstimator::default();
        // Three functions of a cold site: each of the first calls waits for its load.
        let cold = |function| (300 * MS, function, 10 * MS, 290 * MS);
        let said = [0, 1, 2].map(cold).map(|(now, f, came, wait)| waits.record(now, f, came, wait));
        assert_eq!(said, [0, 0, 0]);
        // One of them gets a further copy, and its calls wait for it; the others' don't.
        for at in (400..900).step_by(20) {
            let (now, slow) = (at * MS, at % 40 == 0);
            let wait = if slow { 250 * MS } else { 2 * MS };
            assert!(waits.record(now, u32::from(slow), now - wait.min(90 * MS), wait) <= 2 * MS, "{at}");
        }
        // All wait: so it is told, a quarter of a second after the last that did not.
        let said = |waits: &mut WaitEstimator, at: Micros| {
            waits.record(at * MS, (at % 3) as u32, (at - 200) * MS, 180 * MS)
        };
        let all: Vec<_> = (1_000..2_000).step_by(10).map(|at| said(&mut waits, at)).collect();
        assert!(all[40..].iter().all(|wait| *wait == 180 * MS), "{all:?}");
        // It ends once a quarter waits no more.
        let after: Vec<_> =
            (2_000..2_250).step_by(10).map(|at| waits.record(at * MS, 1, (at - 2) * MS, MS)).collect();
        assert!(after[0] == 180 * MS && after[10..].iter().all(|wait| *wait == MS), "{after:?}");
        (3_000..4_000).for_each(|at| _ = waits.record(at * MS, 1, (at - 2) * MS, MS));
        assert_eq!(waits.recent.len(), WINDOW.1);
    }
}
