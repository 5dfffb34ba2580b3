//! Queue of calls that have arrived and have not been passed to the controller yet.
//!
//! Accepting a call has a constant cost, but passing it to the controller may cost more, depending on the
//! state of the fleet. A loop that falls behind therefore keeps accepting calls, so that the deadline of each
//! one is watched, and refuses at once those that it would begin too late.

use crate::CallId;
use basaltward::Micros;
use std::collections::VecDeque;

/// A call that waits to be passed to the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    pub call: CallId,
    /// When the call arrived.
    pub arrived_at: Micros,
    /// Latest useful start: a call that begins later can't be served within its aim.
    pub aim: Micros,
    /// Latest time for the answer: the client's deadline less the time that the answer needs to reach it.
    pub answer_by: Micros,
    /// End of the window in which an earlier run of the event may be repeated; [`Micros::MAX`] if there was
    /// no earlier run.
    pub until: Micros,
}

/// Weight of the newest sample in the moving average of the time between two calls begun.
const GAP_SMOOTHING: f64 = 0.1;

/// The queue and the rate at which it is processed.
#[derive(Debug, Default)]
pub struct Arrivals {
    queue: VecDeque<Arrival>,
    /// Moving average of the time between two calls begun while calls wait, in microseconds.
    mean_gap: f64,
    last_begin: Micros,
}

impl Arrivals {
    pub fn push(&mut self, arrival: Arrival) {
        self.queue.push_back(arrival);
    }

    /// Arrival time of the call that has waited longest.
    pub fn oldest_arrival(&self) -> Option<Micros> {
        self.queue.front().map(|a| a.arrived_at)
    }

    /// The waiting calls, oldest first.
    pub fn calls(&self) -> impl Iterator<Item = CallId> {
        self.queue.iter().map(|a| a.call)
    }

    /// Removes the call that has waited longest. The caller begins it at `now`.
    pub fn pop(&mut self, now: Micros) -> Option<Arrival> {
        let arrival = self.queue.pop_front()?;
        // Counts from this call's arrival if the queue was empty until then.
        let gap = now.saturating_sub(self.last_begin.max(arrival.arrived_at)) as f64;
        self.mean_gap += GAP_SMOOTHING * (gap - self.mean_gap);
        self.last_begin = now;
        Some(arrival)
    }

    /// How long a call that arrives now is expected to wait, in microseconds.
    pub fn expected_wait(&self) -> Micros {
        (self.mean_gap * self.queue.len() as f64) as Micros
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_expected_wait_follows_the_rate_at_which_calls_begin() {
        let mut arrivals = Arrivals::default();
        let arrival = |n| Arrival { call: CallId(n), arrived_at: 1_000, aim: 0, answer_by: 0, until: 0 };
        (0..200).for_each(|n| arrivals.push(arrival(n)));
        assert_eq!((arrivals.expected_wait(), arrivals.oldest_arrival()), (0, Some(1_000)));
        assert!((1..=100).all(|n| arrivals.pop(1_000 + n * 2_000).is_some()));
        assert!((199_000..=200_000).contains(&arrivals.expected_wait()), "{}", arrivals.expected_wait());
        // An idle period in between doesn't count.
        while arrivals.pop(201_000).is_some() {}
        arrivals.push(Arrival { arrived_at: 9_000_000, ..arrival(1) });
        arrivals.pop(9_000_100);
        (0..10).for_each(|n| arrivals.push(arrival(n)));
        assert!(arrivals.expected_wait() < 2_000, "{}", arrivals.expected_wait());
    }
}
