use crate::Micros;

/// Bounds of the wait between attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffSettings {
    /// The first wait is up to this.
    pub first: Micros,
    /// No wait is longer.
    pub most: Micros,
    /// Spread the waits; without it many clients of a registry come back at the same moment.
    pub jitter: bool,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self { first: 50_000, most: 5_000_000, jitter: true }
    }
}

/// Waits that double up to a bound, each drawn evenly from half of it to all ("equal jitter": a client never
/// comes back at once, and two never for long at the same time).
#[derive(Clone, Debug)]
pub struct Backoff {
    settings: BackoffSettings,
    failures: u32,
    state: u64,
}

impl Backoff {
    /// No failure yet; equal seeds draw equal waits.
    pub fn new(settings: BackoffSettings, seed: u64) -> Self {
        Self { settings, failures: 0, state: seed ^ 0x9e37_79b9_7f4a_7c15 }
    }

    /// It worked again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// How long to wait after one more failure.
    pub fn wait(&mut self) -> Micros {
        let doubled = self.settings.first.saturating_mul(1 << self.failures.min(30));
        let bound = doubled.min(self.settings.most).max(2);
        self.failures = self.failures.saturating_add(1);
        // splitmix64: small, and the same in every build.
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.state ^ (self.state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        let drawn = (mixed ^ (mixed >> 31)) % (bound / 2 + 1);
        if self.settings.jitter { bound / 2 + drawn } else { bound }
    }
}
