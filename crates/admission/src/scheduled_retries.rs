//! Events that a door has turned away, each with the time at which it is to come again. Bounded: the one that is to
//! come last is forgotten first.

use basaltward_membership::Micros;
use std::collections::{BTreeSet, HashMap};

/// Events known at most.
const MOST: usize = 32_768;
/// Who is later than this is not waited for any more.
const GRACE: Micros = 3_000_000;
/// How many that are due are looked at for one that another event may come in place of.
const LOOKED_AT: usize = 16;

/// Events turned away.
#[derive(Default)]
pub struct Seen {
    by_key: HashMap<u64, (Micros, usize)>,
    by_time: BTreeSet<(Micros, u64)>,
}

impl Seen {
    /// An event was turned away and told this time.
    pub fn put(&mut self, key: u64, at: Micros, cell: usize) {
        self.remove(key);
        self.by_key.insert(key, (at, cell));
        self.by_time.insert((at, key));
        if self.by_key.len() > MOST
            && let Some((_, last)) = self.by_time.pop_last()
        {
            self.by_key.remove(&last);
        }
    }

    /// The time that an event was told; none where it is not known to have been turned away.
    pub fn told(&self, key: u64) -> Option<Micros> {
        self.by_key.get(&key).map(|(at, _)| *at)
    }

    /// Forgets an event.
    pub fn remove(&mut self, key: u64) {
        if let Some((at, _)) = self.by_key.remove(&key) {
            self.by_time.remove(&(at, key));
        }
    }

    /// An event of a pair that was turned away elsewhere comes in place of one of ours that is due: who returns may
    /// return to any gateway, and as many of ours return to others.
    pub fn in_place(&mut self, now: Micros, cell: usize) -> bool {
        let due = self.by_time.range(..=(now, u64::MAX)).take(LOOKED_AT);
        let of = |key: &u64| self.by_key.get(key).is_some_and(|(_, of)| *of == cell);
        let found = due.map(|(_, key)| *key).find(of);
        found.into_iter().for_each(|key| self.remove(key));
        found.is_some()
    }

    /// Forgets who is too late; how many that were.
    pub fn expire(&mut self, now: Micros) -> u64 {
        let mut missed = 0;
        while let Some((at, key)) = self.by_time.first().copied()
            && at + GRACE < now
        {
            self.remove(key);
            missed += 1;
        }
        missed
    }

    /// Events known.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_is_bounded_and_forgets_who_is_to_come_last() {
        let mut seen = Seen::default();
        (0..MOST as u64 + 100).for_each(|key| seen.put(key, 1_000 + key, 0));
        assert_eq!((seen.len(), seen.by_time.len()), (MOST, MOST));
        assert!(seen.told(0).is_some() && seen.told(MOST as u64 + 50).is_none());
        seen.put(0, 7, 1);
        assert_eq!((seen.told(0), seen.len()), (Some(7), MOST));
        assert!(!seen.in_place(6, 1) && seen.in_place(7, 1) && !seen.in_place(7, 1));
        assert_eq!(seen.expire(GRACE + 1_011), 10, "1 to 10 were due first");
    }
}
