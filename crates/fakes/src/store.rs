//! The store that all workers fetch their functions from.

use basaltward_net::Micros;

/// A store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreSpec {
    /// Fetches that it serves at full speed; more share it.
    pub full_speed_fetches: u32,
    /// Fetches past which it turns further ones away.
    pub most: u32,
}

impl Default for StoreSpec {
    fn default() -> Self {
        Self { full_speed_fetches: 8, most: 64 }
    }
}

/// The store's state.
pub(crate) struct Store {
    spec: StoreSpec,
    out: u32,
    /// Times slower than usual.
    pub slow: f64,
}

impl Store {
    pub fn new(spec: StoreSpec) -> Self {
        Self { spec, out: 0, slow: 1.0 }
    }

    /// How long a fetch takes that begins now, or nothing where it is turned away.
    pub fn begin(&mut self, usual: Micros) -> Option<Micros> {
        if self.out >= self.spec.most {
            return None;
        }
        self.out += 1;
        let crowd = (f64::from(self.out) / f64::from(self.spec.full_speed_fetches)).max(1.0);
        Some((usual as f64 * crowd * self.slow) as Micros)
    }

    pub fn end(&mut self) {
        self.out = self.out.saturating_sub(1);
    }
}
