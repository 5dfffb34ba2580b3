//! The wall clock that incarnations count by, and intervals that the membership and the permits of a process share.
//! Microseconds, but where a name says milliseconds.

use basaltward_net::{Clock, Micros};

/// How often a fact is published: every member passes on those of all, so the interval grows with their number.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PublishInterval {
    /// At least.
    pub min_us: Micros,
    /// What each member adds, where that is more.
    pub per_member_us: Micros,
}

/// Of counters of calls and of the version that we run: three that are missed leave the last one standing.
pub(crate) const COUNTERS_INTERVAL: PublishInterval =
    PublishInterval { min_us: 5_000_000, per_member_us: 500_000 };
/// The beginning of 2026, in milliseconds since 1970: incarnations count from there.
const EPOCH_MS: u64 = 1_767_225_600_000;

/// The wall clock, in milliseconds since the beginning of 2026.
pub fn since_2026_ms() -> u64 {
    (Clock::read().wall() / 1_000).saturating_sub(EPOCH_MS)
}

impl PublishInterval {
    /// Among so many members.
    pub(crate) fn for_members(self, members: usize) -> Micros {
        self.min_us.max(self.per_member_us * members as Micros)
    }
}
