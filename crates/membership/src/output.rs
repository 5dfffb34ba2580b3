//! What a membership puts out: datagrams to send, changes of what it believes, and its counters. Plain data, with nothing
//! decided here.

use crate::types::{Incarnation, MemberId, MemberState};
use serde::{Deserialize, Serialize};

/// What a view wants done or tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send these bytes to a member.
    Send {
        /// To whom.
        to: MemberId,
        /// At most [`MAX_DATAGRAM_BYTES`] bytes.
        bytes: Vec<u8>,
    },
    /// A member is believed to be something else now.
    Changed {
        /// Who.
        member: MemberId,
        /// In which life.
        incarnation: Incarnation,
        /// What it was.
        previous: MemberState,
        /// What it is.
        state: MemberState,
    },
    /// A later life of ours lives on: this one says nothing any more.
    Superseded {
        /// When that one began.
        start: u64,
    },
}

/// How much of the configured fleet we are with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetShare {
    /// All members are live.
    Whole,
    /// More than half of the configured members are.
    Majority,
    /// Some are.
    Minority,
    /// Nobody else is.
    Alone,
}

/// What a view has seen so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Datagrams and bytes sent.
    pub sent: (u64, u64),
    /// Datagrams taken.
    pub received: u64,
    /// Dropped: unreadable, of another version or fleet, or not from whom they say.
    pub dropped: u64,
    /// Suspicions begun here.
    pub suspicions: u64,
    /// Members taken for gone here, before anybody told.
    pub declared_gone: u64,
    /// Refutations of ours.
    pub refutations: u64,
    /// Another life of ours, later than this one, was heard of: our wall clock ran back, or two have our name.
    pub later_lives: u64,
    /// We stood still for longer than a period.
    pub stalls: u64,
}

/// Outputs in the order in which they were put out.
pub(crate) type Out = Vec<Output>;
