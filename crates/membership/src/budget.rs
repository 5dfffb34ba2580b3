//! A token bucket for the bytes that a member sends: a sustained rate, plus a burst saved up while it sends little.
//! Times are microseconds.

use crate::types::Micros;

/// A token bucket whose tokens are bytes.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    bytes_per_s: u64,
    burst: u64,
    /// Available tokens, in millionths of a byte.
    available: u64,
    /// The time of the last refill.
    refilled_at: Micros,
}

/// Units per byte. A refill adds elapsed microseconds times bytes per second, which is in millionths of a byte.
const UNITS_PER_BYTE: u64 = 1_000_000;

impl Budget {
    /// A full bucket.
    pub fn new(bytes_per_s: u64, burst: u64, now: Micros) -> Self {
        Self { bytes_per_s, burst, available: burst * UNITS_PER_BYTE, refilled_at: now }
    }

    fn refill(&mut self, now: Micros) {
        let gained = now.saturating_sub(self.refilled_at).saturating_mul(self.bytes_per_s);
        self.available = self.available.saturating_add(gained).min(self.burst * UNITS_PER_BYTE);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Whether `bytes` may be sent while `reserved` bytes remain for traffic of higher priority.
    pub fn allows(&mut self, now: Micros, bytes: u64, reserved: u64) -> bool {
        self.refill(now);
        self.available >= (bytes + reserved) * UNITS_PER_BYTE
    }

    /// Deducts sent bytes, down to zero. Mandatory messages are sent even from an empty bucket; the tokens that they
    /// use are not available to later messages.
    pub fn spend(&mut self, now: Micros, bytes: u64) {
        self.refill(now);
        self.available = self.available.saturating_sub(bytes * UNITS_PER_BYTE);
    }
}
