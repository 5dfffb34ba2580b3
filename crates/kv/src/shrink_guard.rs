//! How far a list that suddenly shrinks is believed.
//!
//! Entries vanish for two reasons: their workers are gone, or the registry has lost them (it came back empty,
//! was restored, or expired leases that could not be renewed while it was away). Taken at its word, the second
//! would stop every call. So entries that vanish without having been told as leaving are believed at once only
//! up to a share of the list; the rest are held as doubted for a bounded time. A drain or an end that is really
//! told is never held, nor is one that vanishes after it.

use crate::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Bounds of the doubt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShrinkSettings {
    /// Share of the list that may vanish within the window and is believed at once ...
    pub share: f64,
    /// ... but always this many.
    pub few: usize,
    /// The window.
    pub window: Micros,
    /// Beyond it entries are kept so long, then believed gone.
    pub hold: Micros,
}

impl Default for ShrinkSettings {
    fn default() -> Self {
        Self { share: 0.3, few: 1, window: 10_000_000, hold: 30_000_000 }
    }
}

/// Which entries stand, which are leaving, and which are doubted.
#[derive(Clone, Debug)]
pub struct Shrink {
    settings: ShrinkSettings,
    listed: BTreeSet<String>,
    leaving: BTreeSet<String>,
    doubted: BTreeMap<String, Micros>,
    vanished: VecDeque<Micros>,
}

impl Shrink {
    /// Nothing is listed yet.
    pub fn new(settings: ShrinkSettings) -> Self {
        let (listed, leaving) = (BTreeSet::new(), BTreeSet::new());
        Self { settings, listed, leaving, doubted: BTreeMap::new(), vanished: VecDeque::new() }
    }

    /// An entry is listed, as leaving or not.
    pub fn put(&mut self, name: &str, leaving: bool) {
        self.doubted.remove(name);
        self.listed.insert(name.to_owned());
        if leaving {
            self.leaving.insert(name.to_owned());
        } else {
            self.leaving.remove(name);
        }
    }

    /// An entry is no longer listed. True where it is to be believed gone now; otherwise it is kept until
    /// [`Shrink::expired`] names it.
    pub fn vanish(&mut self, now: Micros, name: &str) -> bool {
        if !self.listed.remove(name) {
            return true;
        }
        if self.leaving.remove(name) {
            return true;
        }
        while self.vanished.front().is_some_and(|at| at + self.settings.window <= now) {
            self.vanished.pop_front();
        }
        // The list as it was before this spell.
        let before = self.listed.len() + self.doubted.len() + self.vanished.len() + 1;
        let most = ((before as f64 * self.settings.share) as usize).max(self.settings.few);
        if self.vanished.len() < most {
            self.vanished.push_back(now);
            return true;
        }
        self.doubted.insert(name.to_owned(), now + self.settings.hold);
        false
    }

    /// Whether an entry is kept though it is not listed.
    pub fn is_doubted(&self, name: &str) -> bool {
        self.doubted.contains_key(name)
    }

    /// When [`Shrink::expired`] is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.doubted.values().min().copied()
    }

    /// Doubted entries whose time is over: they are believed gone.
    pub fn expired(&mut self, now: Micros) -> Vec<String> {
        let over: Vec<_> =
            self.doubted.iter().filter(|(_, until)| **until <= now).map(|(n, _)| n.clone()).collect();
        self.doubted.retain(|_, until| *until > now);
        over
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn listed(count: usize) -> Shrink {
        let mut shrink = Shrink::new(ShrinkSettings::default());
        (0..count).for_each(|i| shrink.put(&format!("w{i}"), false));
        shrink
    }

    #[test]
    fn an_emptied_list_is_believed_in_part_and_wholly_after_the_hold() {
        let mut shrink = listed(10);
        let believed = (0..10).filter(|i| shrink.vanish(S, &format!("w{i}"))).count();
        assert_eq!((believed, shrink.is_doubted("w9"), shrink.next_due()), (3, true, Some(31 * S)));
        shrink.put("w9", false);
        assert!(!shrink.is_doubted("w9"));
        assert_eq!((shrink.expired(30 * S).len(), shrink.expired(31 * S).len()), (0, 6));
    }

    #[test]
    fn a_told_drain_is_never_held() {
        let mut shrink = listed(10);
        (0..10).for_each(|i| shrink.put(&format!("w{i}"), true));
        assert!((0..10).all(|i| shrink.vanish(S, &format!("w{i}"))));
    }

    #[test]
    fn slow_shrinking_and_small_lists_are_believed() {
        let mut shrink = listed(10);
        assert!((0..10).all(|i| shrink.vanish(i * 11 * S, &format!("w{i}"))));
        assert!(listed(1).vanish(S, "w0"));
    }
}
