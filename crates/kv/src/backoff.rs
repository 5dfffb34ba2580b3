use crate::Micros;

/// Limits of the delay between attempts; times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffSettings {
    /// Maximum of the first delay.
    pub initial: Micros,
    /// Maximum of all delays.
    pub max: Micros,
    /// Randomizes the delays; without it many clients of a registry reconnect at the same moment.
    pub jitter: bool,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self { initial: 50_000, max: 5_000_000, jitter: true }
    }
}

/// Exponential backoff with "equal jitter": the maximum delay doubles up to a limit, and each delay is drawn uniformly
/// from the upper half of its range. So a client never reconnects at once, and two clients don't stay synchronized.
#[derive(Clone, Debug)]
pub struct Backoff {
    settings: BackoffSettings,
    /// Failures since the last success.
    failures: u32,
    /// State of the random number generator.
    rng_state: u64,
}

impl Backoff {
    /// Creates a backoff without failures. The seed determines the delays.
    pub fn new(settings: BackoffSettings, seed: u64) -> Self {
        Self { settings, failures: 0, rng_state: seed ^ 0x9e37_79b9_7f4a_7c15 }
    }

    /// Records a success: the next delay is an initial one.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Micros {
        let doubled = self.settings.initial.saturating_mul(1 << self.failures.min(30));
        let max_delay = doubled.min(self.settings.max).max(2);
        self.failures = self.failures.saturating_add(1);
        // splitmix64: small, and the same in every build.
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.rng_state ^ (self.rng_state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        let random = (mixed ^ (mixed >> 31)) % (max_delay / 2 + 1);
        if self.settings.jitter { max_delay / 2 + random } else { max_delay }
    }
}
