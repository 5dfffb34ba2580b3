//! Estimates the wait of calls that is caused by overload.
//!
//! Calls that wait for their function to be loaded, while others do not wait, show nothing about the capacity of a
//! site. A queue in front of all workers makes nearly all calls wait, so the estimate is a low quantile of the recent
//! waits.

use basaltward_membership::Micros;
use std::collections::{HashMap, VecDeque};

/// Age up to which waits are used.
const WINDOW: Micros = 250_000;
/// Maximum number of waits used.
const MAX_SAMPLES: usize = 64;
/// The estimate is the wait that one in this many calls falls below. The minimum would be random, because workers take
/// calls out of order.
const QUANTILE_DIVISOR: usize = 4;
/// A function without an answer for this time may have to be loaded again.
const COLD_AFTER: Micros = 2_000_000;

/// Wait estimate of one loop.
#[derive(Debug, Default)]
pub struct WaitEstimator {
    /// Recent answers: time of the answer and the call's wait.
    recent: VecDeque<(Micros, Micros)>,
    /// Times of the first answer since the function was last cold, and of its latest answer, by function.
    warm: HashMap<u32, (Micros, Micros)>,
}

impl WaitEstimator {
    /// Records a call of a function that arrived at `arrived_at`, waited for this time and is answered now. Returns the
    /// current estimate.
    pub fn record(&mut self, now: Micros, function: u32, arrived_at: Micros, wait: Micros) -> Micros {
        let (warm_since, last_answer) = self.warm.entry(function).or_insert((now, now));
        if now.saturating_sub(*last_answer) > COLD_AFTER {
            *warm_since = now;
        }
        *last_answer = now;
        // Calls that arrived before the function's first answer waited for a copy to be loaded.
        let wait = if arrived_at < *warm_since { 0 } else { wait };
        self.recent.push_back((now, wait));
        while self.recent.front().is_some_and(|(at, _)| at + WINDOW < now) || self.recent.len() > MAX_SAMPLES
        {
            self.recent.pop_front();
        }
        let mut waits: Vec<_> = self.recent.iter().map(|(_, wait)| *wait).collect();
        let rank = waits.len() / QUANTILE_DIVISOR;
        *waits.select_nth_unstable(rank).1
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Micros = 1_000;

    #[test]
    fn a_load_of_a_copy_is_no_overload_and_a_queue_for_all_calls_is_one() {
        let mut waits = WaitEstimator::default();
        // Three functions of a cold site: the first call of each waits for its copy to be loaded.
        let cold = |function| (300 * MS, function, 10 * MS, 290 * MS);
        let estimates =
            [0, 1, 2].map(cold).map(|(now, f, arrived_at, wait)| waits.record(now, f, arrived_at, wait));
        assert_eq!(estimates, [0, 0, 0]);
        // One function gets another copy, and its calls wait for it; those of the others do not.
        for at in (400..900).step_by(20) {
            let (now, slow) = (at * MS, at % 40 == 0);
            let wait = if slow { 250 * MS } else { 2 * MS };
            assert!(waits.record(now, u32::from(slow), now - wait.min(90 * MS), wait) <= 2 * MS, "{at}");
        }
        // All calls wait: the estimate follows a quarter of a second after the last call that did not.
        let record = |waits: &mut WaitEstimator, at: Micros| {
            waits.record(at * MS, (at % 3) as u32, (at - 200) * MS, 180 * MS)
        };
        let all: Vec<_> = (1_000..2_000).step_by(10).map(|at| record(&mut waits, at)).collect();
        assert!(all[40..].iter().all(|wait| *wait == 180 * MS), "{all:?}");
        // The estimate falls once a quarter of the calls no longer waits.
        let after: Vec<_> =
            (2_000..2_250).step_by(10).map(|at| waits.record(at * MS, 1, (at - 2) * MS, MS)).collect();
        assert!(after[0] == 180 * MS && after[10..].iter().all(|wait| *wait == MS), "{after:?}");
        (3_000..4_000).for_each(|at| _ = waits.record(at * MS, 1, (at - 2) * MS, MS));
        assert_eq!(waits.recent.len(), MAX_SAMPLES);
    }
}
