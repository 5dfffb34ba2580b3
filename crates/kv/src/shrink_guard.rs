//! Guards against a list that shrinks suddenly.
//!
//! Entries disappear for two reasons: their workers have stopped, or the registry has lost them (it restarted empty,
//! was restored, or expired leases that could not be renewed while it was unreachable). If entries that the registry
//! has lost were removed at once, every call would fail. So entries that disappear without having been marked as
//! leaving are removed at once only up to a share of the list; the others are held for a bounded time. An entry that
//! was marked as leaving (a drain or an orderly stop) is never held.

use crate::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Limits of a [`ShrinkGuard`]; times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShrinkGuardSettings {
    /// Share of the list that may be removed at once within the window.
    pub max_share: f64,
    /// Number of entries that may be removed at once within the window, even if they exceed that share.
    pub always_allowed: usize,
    /// Window over which removals are counted.
    pub window: Micros,
    /// How long an entry is held before it is removed.
    pub hold_time: Micros,
}

impl Default for ShrinkGuardSettings {
    fn default() -> Self {
        Self { max_share: 0.3, always_allowed: 1, window: 10_000_000, hold_time: 30_000_000 }
    }
}

/// Decides for each entry that disappears from a list whether it is removed now or held.
#[derive(Clone, Debug)]
pub struct ShrinkGuard {
    settings: ShrinkGuardSettings,
    /// Names of all listed entries.
    listed: BTreeSet<String>,
    /// Those of them that are marked as leaving.
    leaving: BTreeSet<String>,
    /// Entries that are held though no longer listed, and when they are removed.
    held: BTreeMap<String, Micros>,
    /// Times of the removals accepted within the window, without those of leaving entries.
    accepted_removals: VecDeque<Micros>,
}

impl ShrinkGuard {
    /// Creates a guard for an empty list.
    pub fn new(settings: ShrinkGuardSettings) -> Self {
        let (listed, leaving) = (BTreeSet::new(), BTreeSet::new());
        Self { settings, listed, leaving, held: BTreeMap::new(), accepted_removals: VecDeque::new() }
    }

    /// Records that an entry is listed, and whether it is marked as leaving. A held entry is held no longer.
    pub fn put(&mut self, name: &str, leaving: bool) {
        self.held.remove(name);
        self.listed.insert(name.to_owned());
        if leaving {
            self.leaving.insert(name.to_owned());
        } else {
            self.leaving.remove(name);
        }
    }

    /// Records that an entry is no longer listed. Returns true if the caller should remove it now, also for one that
    /// was not listed; otherwise it is held until [`ShrinkGuard::take_expired`] returns it.
    pub fn remove(&mut self, now: Micros, name: &str) -> bool {
        if !self.listed.remove(name) {
            return true;
        }
        if self.leaving.remove(name) {
            return true;
        }
        while self.accepted_removals.front().is_some_and(|at| at + self.settings.window <= now) {
            self.accepted_removals.pop_front();
        }
        // Size of the list before the removals of this window; held entries count.
        let initial_len = self.listed.len() + self.held.len() + self.accepted_removals.len() + 1;
        let max_removals =
            ((initial_len as f64 * self.settings.max_share) as usize).max(self.settings.always_allowed);
        if self.accepted_removals.len() < max_removals {
            self.accepted_removals.push_back(now);
            return true;
        }
        self.held.insert(name.to_owned(), now + self.settings.hold_time);
        false
    }

    /// Whether an entry is held though it is no longer listed.
    pub fn is_held(&self, name: &str) -> bool {
        self.held.contains_key(name)
    }

    /// When [`ShrinkGuard::take_expired`] is due next; `None` if no entry is held.
    pub fn next_due(&self) -> Option<Micros> {
        self.held.values().min().copied()
    }

    /// Stops holding the entries whose hold time is over by `now` and returns their names; the caller removes them.
    pub fn take_expired(&mut self, now: Micros) -> Vec<String> {
        let expired: Vec<_> =
            self.held.iter().filter(|(_, until)| **until <= now).map(|(n, _)| n.clone()).collect();
        self.held.retain(|_, until| *until > now);
        expired
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = 1_000_000;

    fn guard_of(count: usize) -> ShrinkGuard {
        let mut guard = ShrinkGuard::new(ShrinkGuardSettings::default());
        (0..count).for_each(|i| guard.put(&format!("w{i}"), false));
        guard
    }

    #[test]
    fn an_emptied_list_is_removed_in_part_at_once_and_wholly_after_the_hold_time() {
        let mut guard = guard_of(10);
        let accepted = (0..10).filter(|i| guard.remove(SECOND, &format!("w{i}"))).count();
        assert_eq!((accepted, guard.is_held("w9"), guard.next_due()), (3, true, Some(31 * SECOND)));
        guard.put("w9", false);
        assert!(!guard.is_held("w9"));
        assert_eq!((guard.take_expired(30 * SECOND).len(), guard.take_expired(31 * SECOND).len()), (0, 6));
    }

    #[test]
    fn leaving_entries_are_never_held() {
        let mut guard = guard_of(10);
        (0..10).for_each(|i| guard.put(&format!("w{i}"), true));
        assert!((0..10).all(|i| guard.remove(SECOND, &format!("w{i}"))));
    }

    #[test]
    fn slow_shrinking_and_small_lists_are_accepted() {
        let mut guard = guard_of(10);
        assert!((0..10).all(|i| guard.remove(i * 11 * SECOND, &format!("w{i}"))));
        assert!(guard_of(1).remove(SECOND, "w0"));
    }
}
