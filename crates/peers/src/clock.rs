//! The wall clock that incarnations are based on, and the intervals at which a process publishes facts. Times are
//! microseconds unless a name says milliseconds.

use basaltward_net::{Clock, Micros};

/// How often a fact is published. Every member forwards the facts of all others, so the interval grows with the
/// number of members.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PublishInterval {
    /// The shortest interval.
    pub min_us: Micros,
    /// The interval per member, used where the product is longer than the minimum.
    pub per_member_us: Micros,
}

/// For call counters and for the version of this process. Facts expire after four intervals, so three lost updates in
/// a row leave the last value valid.
pub(crate) const COUNTERS_INTERVAL: PublishInterval =
    PublishInterval { min_us: 5_000_000, per_member_us: 500_000 };
/// The beginning of 2026 in Unix milliseconds; start times of processes count from there.
const EPOCH_MS: u64 = 1_767_225_600_000;

/// The wall clock, in milliseconds since the beginning of 2026.
pub fn since_2026_ms() -> u64 {
    (Clock::read().wall() / 1_000).saturating_sub(EPOCH_MS)
}

impl PublishInterval {
    /// The interval in a fleet of `members`.
    pub(crate) fn for_members(self, members: usize) -> Micros {
        self.min_us.max(self.per_member_us * members as Micros)
    }
}
