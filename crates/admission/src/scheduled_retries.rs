//! Events that a limiter has shed, each with its scheduled retry time. The number is bounded: beyond the bound the
//! event with the latest retry time is dropped.

use basaltward_membership::Micros;
use std::collections::{BTreeSet, HashMap};

/// Maximum number of tracked events.
const MAX_EVENTS: usize = 32_768;
/// Time after its scheduled retry at which an event is no longer expected.
const LATE_TOLERANCE: Micros = 3_000_000;
/// Maximum number of due events, earliest first, that are searched for one of the same cell.
const MAX_DUE_PROBES: usize = 16;

/// Scheduled retries of shed events.
#[derive(Default)]
pub struct ScheduledRetries {
    /// Retry time and cell of each event.
    by_event: HashMap<u64, (Micros, usize)>,
    by_time: BTreeSet<(Micros, u64)>,
}

impl ScheduledRetries {
    /// Records that an event was shed and is expected again at this time.
    pub fn schedule(&mut self, key: u64, at: Micros, cell: usize) {
        self.remove(key);
        self.by_event.insert(key, (at, cell));
        self.by_time.insert((at, key));
        if self.by_event.len() > MAX_EVENTS
            && let Some((_, last)) = self.by_time.pop_last()
        {
            self.by_event.remove(&last);
        }
    }

    /// Scheduled retry time of an event; `None` if it is not known to have been shed.
    pub fn retry_at(&self, key: u64) -> Option<Micros> {
        self.by_event.get(&key).map(|(at, _)| *at)
    }

    /// Removes an event.
    pub fn remove(&mut self, key: u64) {
        if let Some((at, _)) = self.by_event.remove(&key) {
            self.by_time.remove(&(at, key));
        }
    }

    /// Removes a due event of this cell, in place of which the caller may admit an event that another limiter has shed;
    /// `false` if none is found. Clients may retry at any gateway, so about as many events that were shed here
    /// return elsewhere.
    pub fn substitute_due(&mut self, now: Micros, cell: usize) -> bool {
        let due = self.by_time.range(..=(now, u64::MAX)).take(MAX_DUE_PROBES);
        let same_cell = |key: &u64| self.by_event.get(key).is_some_and(|(_, event_cell)| *event_cell == cell);
        let found = due.map(|(_, key)| *key).find(same_cell);
        found.into_iter().for_each(|key| self.remove(key));
        found.is_some()
    }

    /// Removes the events whose retry is overdue beyond the tolerance and returns their number.
    pub fn expire(&mut self, now: Micros) -> u64 {
        let mut missed = 0;
        while let Some((at, key)) = self.by_time.first().copied()
            && at + LATE_TOLERANCE < now
        {
            self.remove(key);
            missed += 1;
        }
        missed
    }

    /// Number of tracked events.
    pub fn len(&self) -> usize {
        self.by_event.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn number_of_events_is_bounded_and_the_latest_retry_is_dropped_first() {
        let mut retries = ScheduledRetries::default();
        (0..MAX_EVENTS as u64 + 100).for_each(|key| retries.schedule(key, 1_000 + key, 0));
        assert_eq!((retries.len(), retries.by_time.len()), (MAX_EVENTS, MAX_EVENTS));
        assert!(retries.retry_at(0).is_some() && retries.retry_at(MAX_EVENTS as u64 + 50).is_none());
        retries.schedule(0, 7, 1);
        assert_eq!((retries.retry_at(0), retries.len()), (Some(7), MAX_EVENTS));
        assert!(
            !retries.substitute_due(6, 1) && retries.substitute_due(7, 1) && !retries.substitute_due(7, 1)
        );
        assert_eq!(retries.expire(LATE_TOLERANCE + 1_011), 10, "events 1 to 10 were due first");
    }
}
