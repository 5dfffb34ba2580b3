//! Figures of a membership, with their usual values, checks, and the times that follow from them. Times are microseconds.

use crate::types::{MemberId, Micros};
use thiserror::Error;

/// Figures of a view. All members of a fleet need the same, but for `own`, `seed` and `start`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Names the fleet: datagrams of another are dropped.
    pub fleet: u16,
    /// Its members, by the configured list.
    pub size: MemberId,
    /// Our number.
    pub own: MemberId,
    /// When this life began, in milliseconds since the beginning of 2026.
    pub start: u64,
    /// For choices among members.
    pub seed: u64,
    /// Each member asks one other in this time whether it is there.
    pub period: Micros,
    /// Longest way of a datagram that is not lost, there and back.
    pub round_trip: Micros,
    /// Bytes that may be sent in a second ...
    pub bytes_per_s: u64,
    /// ... and at once after a quiet time.
    pub burst: u64,
}

/// Why settings can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// Our number is not in the list.
    #[error("own number {own} is not below the fleet's size {size}")]
    OwnNumber {
        /// The number.
        own: MemberId,
        /// The size.
        size: MemberId,
    },
    /// A time or a budget is too small.
    #[error("{0} is too small")]
    TooSmall(&'static str),
}

impl MembershipSettings {
    /// The usual figures, for the platform's datagrams of up to 33 ms each way.
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

    /// Checks them.
    ///
    /// # Errors
    /// Where they can't be used.
    pub fn check(&self) -> Result<(), SettingsError> {
        let Self { own, size, .. } = *self;
        if own >= size {
            return Err(SettingsError::OwnNumber { own, size });
        }
        // A period holds a question, then one through others.
        let figures = [
            ("period", self.period >= self.round_trip * 3),
            ("round_trip", self.round_trip > 0),
            ("bytes_per_s", self.bytes_per_s >= 200),
            ("burst", self.burst >= 512),
        ];
        match figures.iter().find(|(_, good)| !good) {
            Some((name, _)) => Err(SettingsError::TooSmall(name)),
            None => Ok(()),
        }
    }

    /// Doublings until an update has reached all.
    pub fn gossip_rounds(&self) -> u32 {
        u32::from(self.size.max(2)).ilog2() + 1
    }

    /// How long a suspicion stands before its subject is taken for gone: time for it to reach its subject and
    /// for the answer to reach all.
    pub fn suspicion_timeout(&self) -> Micros {
        self.period * Micros::from(self.gossip_rounds().max(4))
    }

    /// All that reach one another agree within this after the last fault, held to at 0 to 30% lost: a question to
    /// everybody, two suspicions, and updates on its way.
    pub fn settling_time(&self) -> Micros {
        self.suspicion_timeout() * 2 + self.period * 24
    }

    /// How often an update is passed on by each member: enough that at 30% loss all hear of it.
    pub fn retransmit_limit(&self) -> u32 {
        self.gossip_rounds() + 2
    }
}
