//! Events that a process receives about its peers, from datagrams and from connections, and the channels of frames.

use basaltward_membership::{Incarnation, MemberId, MemberState};
use basaltward_permits::{PermitResult, PermitState, Stored};
use bytes::Bytes;

/// An event from the datagrams of peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The state of a member changed in the local view.
    MemberChanged {
        /// The member.
        member: MemberId,
        /// The incarnation that the state belongs to.
        incarnation: Incarnation,
        /// The new state.
        state: MemberState,
    },
    /// A later incarnation of the local member is running; the fleet ignores this process from now on.
    Superseded,
    /// A later permit state was agreed on.
    Agreed(Stored<PermitState>),
    /// Names of workers whose drain began or ended, or all workers once the drains are first known. Query
    /// [`PeerTransport::is_blocked`](crate::PeerTransport::is_blocked) for each.
    DrainsChanged(Vec<String>),
    /// The result of a permit request that this process submitted.
    Answered {
        /// The number that [`PeerTransport::submit`](crate::PeerTransport::submit) returned.
        tag: u32,
        /// The result.
        answer: PermitResult,
    },
}

/// The component that a frame belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Channel {
    /// Journals of stored calls (`crates/pending`).
    Pending = 1,
    /// Choice of sites (`crates/site-routing`).
    Route = 2,
    /// Shares and budgets (`crates/admission`).
    Shed = 3,
}

impl Channel {
    /// The channel with this number, or `None` if this version does not have it.
    pub(crate) fn from_byte(byte: u8) -> Option<Self> {
        [Self::Pending, Self::Route, Self::Shed].into_iter().find(|channel| *channel as u8 == byte)
    }
}

/// An event from the connections to peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionEvent {
    /// A connection to the peer is established. The second field is the peer's start time, which identifies its
    /// process.
    Up(MemberId, u64),
    /// Frames sent to the peer and not yet answered may be lost: its connection ended or could not be established in
    /// time. If another connection to it is established, `Up` follows.
    Down(MemberId),
    /// A frame was received.
    Frame(MemberId, Channel, Bytes),
}
