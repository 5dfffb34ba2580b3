//! Checks the five rules from records alone.

use crate::answers::answers;
use crate::effects::effects;
use crate::record::{Micros, Observation, Record};
use crate::workers::{cold, drains, loads};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Whether calls of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatRule {
    /// May run any number of times, and may be refused after a run.
    Safe,
    /// Workers drop repeats within a window. Workers with the same number in [`RuleSettings::groups`] share the
    /// remembered keys, as do those without a number.
    Keyed {
        /// How long keys are remembered.
        window: Micros,
        /// Whether all workers share the remembered keys, whatever their group.
        all: bool,
    },
    /// Must never run twice.
    Unsafe,
}

/// The rules for a class of calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassRule {
    /// Whether its calls may run more than once.
    pub repeat: RepeatRule,
    /// Target time: an answer within it earns the full value.
    pub aim: Micros,
    /// Value of an answer within the target time.
    pub value: f64,
    /// Share of that value that a later answer earns.
    pub late_share: f64,
}

/// Parameters of the rules. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSettings {
    /// Classes by name.
    pub classes: BTreeMap<String, ClassRule>,
    /// The group of each worker; the workers of a group share the remembered keys.
    pub groups: BTreeMap<String, u64>,
    /// How long after it learned of a drain a scheduler may still send new calls and orders to the worker.
    pub drain_grace: Micros,
    /// Window of the limit on load orders; 0 for no limit.
    pub load_window: Micros,
    /// Orders allowed in the window whatever the number of calls.
    pub load_free: f64,
    /// Further orders allowed for each call accepted in the window.
    pub load_share: f64,
    /// Share of its capacity that a worker has when it starts.
    pub initial_capacity_share: f64,
    /// Time after its start at which a worker has its full capacity.
    pub warm_up_time: Micros,
    /// Most work that may be sent to a cold worker, as a multiple of what it can do.
    pub overload_multiple: f64,
    /// Length of the sliding window over which that multiple is checked.
    pub overload_window: Micros,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Number of the rule, from 1 to 5.
    pub rule: u8,
    /// When it was broken.
    pub time: Micros,
    /// Description of the breach.
    pub message: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name =
            ["one answer in time", "no effect twice", "drains", "cold workers", "limit on load orders"];
        let name = name.get(usize::from(self.rule).wrapping_sub(1)).unwrap_or(&"?");
        write!(f, "rule {} ({name}) at {} us: {}", self.rule, self.time, self.message)
    }
}

/// All breaches of the five rules, ordered by time. The records must be ordered by time.
pub fn check(records: &[Record], settings: &RuleSettings) -> Vec<Breach> {
    let mut breaches = answers(records);
    breaches.extend(effects(records, settings));
    breaches.extend(drains(records, settings));
    breaches.extend(cold(records, settings));
    breaches.extend(loads(records, settings));
    breaches.sort_by_key(|breach| (breach.time, breach.rule));
    breaches
}

/// The schedulers that listened on each address.
pub(crate) fn schedulers_by_address(records: &[Record]) -> BTreeMap<&str, BTreeSet<&str>> {
    let mut all: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for record in records {
        if let Observation::Up { address } = &record.observation {
            all.entry(address).or_default().insert(&record.observer);
        }
    }
    all
}
