//! The function store that all workers of a fleet fetch from.

use basaltward_net::Micros;

/// Capacity of the function store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreSpec {
    /// Concurrent fetches served at full speed; beyond that each slows down in proportion to their number.
    pub full_speed_fetches: u32,
    /// Maximum of concurrent fetches; further ones are rejected.
    pub max_fetches: u32,
}

impl Default for StoreSpec {
    fn default() -> Self {
        Self { full_speed_fetches: 8, max_fetches: 64 }
    }
}

/// State of the function store.
pub(crate) struct Store {
    spec: StoreSpec,
    active_fetches: u32,
    /// Factor by which every fetch is slowed down; 1.0 is normal speed.
    pub slowdown: f64,
}

impl Store {
    pub fn new(spec: StoreSpec) -> Self {
        Self { spec, active_fetches: 0, slowdown: 1.0 }
    }

    /// Begins a fetch that takes `base_duration` without contention. Returns its duration, or `None` if the store
    /// rejects it.
    pub fn begin_fetch(&mut self, base_duration: Micros) -> Option<Micros> {
        if self.active_fetches >= self.spec.max_fetches {
            return None;
        }
        self.active_fetches += 1;
        let contention = (f64::from(self.active_fetches) / f64::from(self.spec.full_speed_fetches)).max(1.0);
        Some((base_duration as f64 * contention * self.slowdown) as Micros)
    }

    pub fn end_fetch(&mut self) {
        self.active_fetches = self.active_fetches.saturating_sub(1);
    }
}
