//! Events that a door has turned away, each with the time at which it is to come again. Bounded: the one that is to
//! come last is forgotten first.

use basaltward_membership::Micros;
use std::collections::{BTreeSet, HashMap};

/// Events known at most.
const MAX_EVENTS: usize = 32_768;
/// Who is later than this is not waited for any more.
const LATE_TOLERANCE: Micros = 3_000_000;
/// How many that are due are looked at for one that another event may come in place of.
const MAX_DUE_PROBES: usize = 16;

/// Events turned away.
#[derive(Default)]
pub struct Seen {
    by_event: HashMap<u64, (Micros, usize)>,
    by_time: BTreeSet<(Micros, u64)>,
}

impl Seen {
    /// An event was turned away and told this time.
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

    /// The time that an event was told; none where it is not known to have been turned away.
    pub fn retry_at(&self, key: u64) -> Option<Micros> {
        self.by_event.get(&key).map(|(at, _)| *at)
    }

    /// Forgets an event.
    pub fn remove(&mut self, key: u64) {
        if let Some((at, _)) = self.by_event.remove(&key) {
            self.by_time.remove(&(at, key));
        }
    }

    /// An event of a pair that was turned away elsewhere comes in place of one of ours that is due: who returns may
    /// return to any gateway, and as many of ours return to others.
    pub fn substitute_due(&mut self, now: Micros, cell: usize) -> bool {
        let due = self.by_time.range(..=(now, u64::MAX)).take(MAX_DUE_PROBES);
        let of = |key: &u64| self.by_event.get(key).is_some_and(|(_, of)| *of == cell);
        let found = due.map(|(_, key)| *key).find(of);
        found.into_iter().for_each(|key| self.remove(key));
        found.is_some()
    }

    /// Forgets who is too late; how many that were.
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

    /// Events known.
    pub fn len(&self) -> usize {
        self.by_event.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_is_bounded_and_forgets_who_is_to_come_last() {
        let mut seen = Seen::default();
        (0..MAX_EVENTS as u64 + 100).for_each(|key| seen.schedule(key, 1_000 + key, 0));
        assert_eq!((seen.len(), seen.by_time.len()), (MAX_EVENTS, MAX_EVENTS));
        assert!(seen.retry_at(0).is_some() && seen.retry_at(MAX_EVENTS as u64 + 50).is_none());
        seen.schedule(0, 7, 1);
        assert_eq!((seen.retry_at(0), seen.len()), (Some(7), MAX_EVENTS));
        assert!(!seen.substitute_due(6, 1) && seen.substitute_due(7, 1) && !seen.substitute_due(7, 1));
        assert_eq!(seen.expire(LATE_TOLERANCE + 1_011), 10, "1 to 10 were due first");
    }
}
