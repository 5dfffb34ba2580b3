//! What a program hears of its peers, by datagrams and by connections, and the channels of frames.

use basaltward_membership::{Incarnation, MemberId, MemberState};
use basaltward_permits::{PermitResult, PermitState, Stored};
use bytes::Bytes;

/// What a program hears of its peers by datagrams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Something else is believed of a member.
    Believed {
        /// Which.
        of: MemberId,
        /// Of which of its lives.
        incarnation: Incarnation,
        /// What it is now.
        state: MemberState,
    },
    /// A later life of our name goes on, and the fleet hears nothing of us any more.
    Superseded,
    /// Something later is agreed.
    Agreed(Stored<PermitState>),
    /// Workers, by name, whose drain has begun or ended: ask of each whether it is held.
    Held(Vec<String>),
    /// The answer to a request of this program itself, by the number that asking gave.
    Answered {
        /// The number.
        tag: u32,
        /// The answer.
        answer: PermitResult,
    },
}

/// Whose frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Channel {
    /// Journals of kept calls (`crates/pending`).
    Pending = 1,
    /// Choice of sites (`crates/route`).
    Route = 2,
    /// Shares and budgets (`crates/shed`).
    Shed = 3,
}

impl Channel {
    /// The channel of a frame, where it is one that we know.
    pub(crate) fn of(byte: u8) -> Option<Self> {
        [Self::Pending, Self::Route, Self::Shed].into_iter().find(|channel| *channel as u8 == byte)
    }
}

/// What links tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionEvent {
    /// A peer can be sent to and heard, in this life of it.
    Up(MemberId, u64),
    /// What was sent to it and not answered may be lost: its connection has ended, or could not be made in time. Where
    /// another still stands, `Up` follows.
    Down(MemberId),
    /// A frame came.
    Frame(MemberId, Channel, Bytes),
}
