//! Datagrams between nodes: a version byte, then one message serialized with serde, at most 256 bytes. A datagram that
//! carries the state carries all of it. The order of variants and fields is the format.

use crate::request_table::PermitResult;
use crate::state::{PermitState, Subject};
use crate::voter::{Epoch, Stored, VoterRequest, VoterResponse};
use basaltward_membership::{MemberId, WireError, decode_datagram, encode_datagram};
use serde::{Deserialize, Serialize};

/// The first byte of a datagram between nodes; datagrams of the membership protocol begin with another one.
pub const VERSION: u8 = 0x33;

/// Whether the fleet is halted. The value with the higher count is the later one; at equal counts a halt supersedes a
/// resume.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Halt {
    /// Counts halts and resumes.
    pub count: u32,
    /// Whether the fleet is halted: no new permit is granted.
    pub on: bool,
}

/// A request to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitRequest {
    /// Requests a permit for a subject to be out of service.
    Acquire(Subject),
    /// Checks whether a permit would be granted now, without acquiring it.
    Check(Subject),
    /// Returns the permit of this number: its holder no longer acts on it, as the subject is in use again or was never
    /// out.
    Return(Subject, u16),
    /// Removes a subject's permit, whatever is observed of the subject.
    WriteOff(Subject),
    /// Starts a release: all schedulers are to run a version. It replaces the current plan.
    Plan {
        /// The version that all are to run, see [`name_hash`](crate::name_hash).
        to: u32,
        /// The version that they ran before.
        from: u32,
        /// Whether it is a rollback.
        rollback: bool,
    },
    /// Requests a permit for the next scheduler of the plan of this number; the leader chooses the scheduler.
    Next(u16),
    /// Ends the halt of this count.
    Resume(u32),
    /// A restarted site or gateway queries whether it may accept persisted events again. The reply is the number of
    /// the permit by which it was taken over, 0 for none. It is sent once a majority has confirmed it, never from the
    /// leader's memory alone.
    Reclaim(Subject),
}

/// The message of a datagram between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// From a candidate or the leader to a voter.
    VoterRequest(VoterRequest<PermitState>),
    /// From a voter to the candidate or leader.
    VoterResponse(VoterResponse<PermitState>),
    /// The latest committed state known to the sender, and the halt.
    State(Option<Stored<PermitState>>, Halt),
    /// The position of the latest committed state known to the sender, and the halt. A receiver that knows a later one
    /// replies with `State`.
    Position(Option<(Epoch, u32)>, Halt),
    /// Queries the receiver for its `State`.
    StateQuery,
    /// A request to the leader, with a tag that the reply repeats.
    Request(u32, PermitRequest),
    /// The leader's reply to the request of this tag.
    Reply(u32, PermitResult),
}

/// A datagram's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The fleet's number, as in the membership protocol.
    pub fleet: u16,
    /// The sender.
    pub from: MemberId,
    /// The message.
    pub body: Body,
}

impl Message {
    /// Serializes the message to at most [`basaltward_membership::MAX_DATAGRAM_BYTES`], which the bound on the state
    /// ensures.
    pub fn write(&self) -> Option<Vec<u8>> {
        encode_datagram(VERSION, self)
    }

    /// Parses a datagram.
    ///
    /// # Errors
    /// If the bytes are not a message of this version.
    pub fn read(bytes: &[u8]) -> Result<Self, WireError> {
        decode_datagram(VERSION, bytes)
    }
}

#[cfg(test)]
mod tests;
