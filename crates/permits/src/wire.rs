//! Datagrams between nodes: a version byte, then one message by serde, 256 bytes at most. Each holds the whole state where it
//! tells of it. The order of variants is the format.

use crate::request_table::PermitResult;
use crate::state::{PermitState, Subject};
use crate::voter::{Epoch, Stored, VoterRequest, VoterResponse};
use basaltward_membership::{MemberId, WireError, decode_datagram, encode_datagram};
use serde::{Deserialize, Serialize};

/// The first byte of all that is told here; a view's datagrams begin otherwise.
pub const VERSION: u8 = 0x33;

/// Whether all is halted: the later count goes before, and at one count a halt before its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Halt {
    /// Counts halts and their ends.
    pub count: u32,
    /// Nothing new is permitted.
    pub on: bool,
}

/// What somebody wants of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitRequest {
    /// A permit to be out.
    Acquire(Subject),
    /// Whether one would be given now.
    Check(Subject),
    /// Whoever asked for this one's permit, of this number, does nothing by it any more; it is in use again, or was
    /// never out.
    Return(Subject, u16),
    /// This one's permit ends whatever is seen of it.
    WriteOff(Subject),
    /// All schedulers are to run a version. It takes the place of another plan.
    Plan {
        /// The version that all are to run, see [`mark`](crate::mark).
        to: u32,
        /// The one that they ran.
        from: u32,
        /// It is a way back.
        rollback: bool,
    },
    /// A permit for the next scheduler of this plan, of its choosing.
    Next(u16),
    /// The halt of this count ends.
    Resume(u32),
    /// This site or gateway would take kept events again. Answered by the number of the permit by which it was taken
    /// over, 0 for none, as a majority knows it: never by what a leader alone remembers.
    Reclaim(Subject),
}

/// What one member tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// From a candidate or the leader to a voter.
    VoterRequest(VoterRequest<PermitState>),
    /// From a voter to it.
    VoterResponse(VoterResponse<PermitState>),
    /// What is agreed, as far as the sender knows.
    State(Option<Stored<PermitState>>, Halt),
    /// How far the sender knows it: whoever knows more tells.
    Position(Option<(Epoch, u32)>, Halt),
    /// Tell what you know.
    StateQuery,
    /// To the leader, by a number that its answer names.
    Request(u32, PermitRequest),
    /// Its answer.
    Reply(u32, PermitResult),
}

/// A datagram's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The fleet, as in its view.
    pub fleet: u16,
    /// Who sends it.
    pub from: MemberId,
    /// What it says.
    pub body: Body,
}

impl Message {
    /// Its bytes, at most [`basaltward_membership::MAX_DATAGRAM_BYTES`]; a permit state is bounded so that they are.
    pub fn write(&self) -> Option<Vec<u8>> {
        encode_datagram(VERSION, self)
    }

    /// Reads one.
    ///
    /// # Errors
    /// Where it is not one of ours.
    pub fn read(bytes: &[u8]) -> Result<Self, WireError> {
        decode_datagram(VERSION, bytes)
    }
}

#[cfg(test)]
mod tests;
