//! The five rules, judged from records alone.

use crate::answers::answers;
use crate::effects::effects;
use crate::record::{Micros, Observation, Record};
use crate::workers::{cold, drains, loads};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What a class allows, as far as the rules go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatRule {
    /// May be repeated and refused freely.
    Safe,
    /// Repeats are dropped for the window, by workers that share a group number in
    /// [`RuleSettings::groups`]; without one by all.
    Keyed {
        /// How long.
        window: Micros,
        /// Every worker drops them.
        all: bool,
    },
    /// Must never run twice.
    Unsafe,
}

/// A class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassRule {
    /// What it allows.
    pub repeat: RepeatRule,
    /// An answer within this earns the full worth.
    pub aim: Micros,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Share of it that a late one earns.
    pub late_worth: f64,
}

/// Figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSettings {
    /// Classes by name.
    pub classes: BTreeMap<String, ClassRule>,
    /// Groups of workers that share a memory of keys, by worker.
    pub groups: BTreeMap<String, u64>,
    /// After a drain was told, nothing new may be sent once this has passed.
    pub drain_grace: Micros,
    /// Window of the ration of load orders; 0 without one.
    pub load_window: Micros,
    /// Orders free in it.
    pub load_free: f64,
    /// Further ones for each call taken in it.
    pub load_share: f64,
    /// A started worker has this share of its capacity ...
    pub cold_from: f64,
    /// ... and all of it after this.
    pub warm_within: Micros,
    /// It may be sent this multiple of what it can do ...
    pub tip_multiple: f64,
    /// ... in any span of this length.
    pub fall: Micros,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Which, from 1 to 5.
    pub rule: u8,
    /// When.
    pub time: Micros,
    /// What happened.
    pub message: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = ["one answer in time", "no effect twice", "drains", "cold workers", "ration of loads"];
        let name = name.get(usize::from(self.rule).wrapping_sub(1)).unwrap_or(&"?");
        write!(f, "rule {} ({name}) at {} us: {}", self.rule, self.time, self.message)
    }
}

/// All breaches that the records show; they must be ordered by time.
pub fn check(records: &[Record], settings: &RuleSettings) -> Vec<Breach> {
    let mut breaches = answers(records);
    breaches.extend(effects(records, settings));
    breaches.extend(drains(records, settings));
    breaches.extend(cold(records, settings));
    breaches.extend(loads(records, settings));
    breaches.sort_by_key(|breach| (breach.time, breach.rule));
    breaches
}

/// Which schedulers listened at an address.
pub(crate) fn schedulers(records: &[Record]) -> BTreeMap<&str, BTreeSet<&str>> {
    let mut all: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for record in records {
        if let Observation::Up { address } = &record.observation {
            all.entry(address).or_default().insert(&record.observer);
        }
    }
    all
}
