//! Settings of a membership with their defaults and validation, and the times derived from them. Times are
//! microseconds.

use crate::types::{MemberId, Micros};
use thiserror::Error;

/// Settings of a membership. All members of a fleet need the same values, except for `own`, `seed` and `start`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Identifies the fleet; datagrams of other fleets are dropped.
    pub fleet: u16,
    /// Number of members in the configured list.
    pub size: MemberId,
    /// The local member's number.
    pub own: MemberId,
    /// When this process started by its wall clock, in milliseconds since the beginning of 2026.
    pub start: u64,
    /// Seed for random choices among members.
    pub seed: u64,
    /// The protocol period: each member probes one live member per period.
    pub period: Micros,
    /// The longest round trip of datagrams that are not lost.
    pub round_trip: Micros,
    /// Sustained send budget, in bytes per second.
    pub bytes_per_s: u64,
    /// Maximum size of a burst after a quiet time, in bytes.
    pub burst: u64,
}

/// Why settings are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The local member is not in the configured list.
    #[error("own number {own} is not below the fleet's size {size}")]
    OwnNumber {
        /// The local member's number.
        own: MemberId,
        /// The number of configured members.
        size: MemberId,
    },
    /// A time or a byte limit is below its minimum; the value is the name of the setting.
    #[error("{0} is too small")]
    TooSmall(&'static str),
}

impl MembershipSettings {
    /// Default settings, for networks that deliver datagrams within 33 ms one way.
    pub fn new(size: MemberId, own: MemberId, start: u64, seed: u64) -> Self {
        Self {
            fleet: 0,
            size,
            own,
            start,
            seed,
            period: 250_000,
            round_trip: 70_000,
            bytes_per_s: 1_000,
            burst: 24_000,
        }
    }

    /// Validates the settings.
    ///
    /// # Errors
    /// If `own` is not below `size`, or a time or a byte limit is below its minimum.
    pub fn check(&self) -> Result<(), SettingsError> {
        let Self { own, size, .. } = *self;
        if own >= size {
            return Err(SettingsError::OwnNumber { own, size });
        }
        // A period has to hold a direct probe and then an indirect one.
        let checks = [
            ("period", self.period >= self.round_trip * 3),
            ("round_trip", self.round_trip > 0),
            ("bytes_per_s", self.bytes_per_s >= 200),
            ("burst", self.burst >= 512),
        ];
        match checks.iter().find(|(_, passed)| !passed) {
            Some((name, _)) => Err(SettingsError::TooSmall(name)),
            None => Ok(()),
        }
    }

    /// Rounds of gossip until an update has reached all members, if the number of informed members doubles in each.
    pub fn gossip_rounds(&self) -> u32 {
        u32::from(self.size.max(2)).ilog2() + 1
    }

    /// Time from a suspicion to the declaration that the member is gone. It allows for the suspicion to reach the
    /// suspect and for the refutation to reach all members.
    pub fn suspicion_timeout(&self) -> Micros {
        self.period * Micros::from(self.gossip_rounds().max(4))
    }

    /// Time after the last fault within which all members that can reach one another agree, at 0 to 30% packet loss. It
    /// covers a probe of each member, two suspicion timeouts and the gossip of their updates.
    pub fn settling_time(&self) -> Micros {
        self.suspicion_timeout() * 2 + self.period * 24
    }

    /// How often each member transmits an update, enough to reach all members at 30% packet loss.
    pub fn retransmit_limit(&self) -> u32 {
        self.gossip_rounds() + 2
    }
}
