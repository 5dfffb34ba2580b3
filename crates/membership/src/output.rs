//! Outputs of a membership: datagrams to send, state changes, and counters. Plain data without logic.

use crate::types::{Incarnation, MemberId, MemberState};
use serde::{Deserialize, Serialize};

/// An action or event for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A datagram to send.
    Send {
        /// The receiver.
        to: MemberId,
        /// The datagram, at most [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES) bytes.
        bytes: Vec<u8>,
    },
    /// The state of a member has changed.
    Changed {
        /// The member.
        member: MemberId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its previous state.
        previous: MemberState,
        /// Its new state.
        state: MemberState,
    },
    /// A later life of the local member is running; this one sends nothing any more.
    Superseded {
        /// When the later life started, in milliseconds since the beginning of 2026.
        start: u64,
    },
}

/// The share of the configured members that are live, the local one included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetShare {
    /// All members are live.
    Whole,
    /// More than half of the members are live.
    Majority,
    /// At most half of the members are live, and more than one.
    Minority,
    /// No other member is live, or the local member is superseded.
    Alone,
}

/// Counters of one membership since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Datagrams and bytes sent.
    pub sent: (u64, u64),
    /// Valid datagrams received.
    pub received: u64,
    /// Datagrams dropped: malformed, of another version or fleet, or with a sender that does not match their address.
    pub dropped: u64,
    /// Suspicions started by this member.
    pub suspicions: u64,
    /// Members declared gone when their suspicion timed out here, rather than by an update from another member.
    pub declared_gone: u64,
    /// Refutations by this member.
    pub refutations: u64,
    /// Refuted updates about a later life of this member: its wall clock was set back, or two processes have its
    /// number.
    pub later_lives: u64,
    /// Stalls of this process for longer than two periods.
    pub stalls: u64,
}

/// Outputs in the order in which they were produced.
pub(crate) type Out = Vec<Output>;
