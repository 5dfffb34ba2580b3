//! Calls that have come and of which the controller has not been told yet. Taking a call costs the same
//! whatever the fleet does, telling the controller of it may not: a loop that falls behind keeps taking calls,
//! so that each one's time is watched, and tells at once those that it would come to too late.

use crate::CallId;
use basaltward::Micros;
use std::collections::VecDeque;

/// A call that waits to be begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    pub call: CallId,
    /// When it came.
    pub came: Micros,
    /// Begun later, it would be served past its aim at best.
    pub aim: Micros,
    /// What the engine has of its client's time.
    pub by: Micros,
    /// An earlier run of the event may be repeated until then.
    pub until: Micros,
}

/// Each new begin moves the usual gap between two by this share.
const EASE: f64 = 0.1;

/// The queue, and how fast it goes.
#[derive(Debug, Default)]
pub struct Arrivals {
    queue: VecDeque<Arrival>,
    /// Usual time between two begins while calls wait.
    gap: f64,
    begun: Micros,
}

impl Arrivals {
    pub fn push(&mut self, arrival: Arrival) {
        self.queue.push_back(arrival);
    }

    /// When the call that has waited longest came.
    pub fn oldest(&self) -> Option<Micros> {
        self.queue.front().map(|a| a.came)
    }

    /// The calls that wait, those that have waited longest first.
    pub fn calls(&self) -> impl Iterator<Item = CallId> {
        self.queue.iter().map(|a| a.call)
    }

    /// Takes the call that has waited longest, to be begun now.
    pub fn pop(&mut self, now: Micros) -> Option<Arrival> {
        let arrival = self.queue.pop_front()?;
        // The loop was free of calls until this one came, or has worked on others since.
        let gap = now.saturating_sub(self.begun.max(arrival.came)) as f64;
        self.gap += EASE * (gap - self.gap);
        self.begun = now;
        Some(arrival)
    }

    /// How long a call that comes now is likely to wait.
    pub fn wait(&self) -> Micros {
        (self.gap * self.queue.len() as f64) as Micros
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_wait_follows_the_pace_at_which_calls_are_begun() {
        let mut arrivals = Arrivals::default();
        let arrival = |n| Arrival { call: CallId(n), came: 1_000, aim: 0, by: 0, until: 0 };
        (0..200).for_each(|n| arrivals.push(arrival(n)));
        assert_eq!((arrivals.wait(), arrivals.oldest()), (0, Some(1_000)));
        assert!((1..=100).all(|n| arrivals.pop(1_000 + n * 2_000).is_some()));
        assert!((199_000..=200_000).contains(&arrivals.wait()), "{}", arrivals.wait());
        // Quiet in between says nothing of the pace.
        while arrivals.pop(201_000).is_some() {}
        arrivals.push(Arrival { came: 9_000_000, ..arrival(1) });
        arrivals.pop(9_000_100);
        (0..10).for_each(|n| arrivals.push(arrival(n)));
        assert!(arrivals.wait() < 2_000, "{}", arrivals.wait());
    }
}
