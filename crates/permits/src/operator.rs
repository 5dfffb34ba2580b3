//! How an operator asks a node, and what it is answered: one datagram each, a version byte and the content by serde. The JSON
//! keys of [`PermitStatus`] are those that `fleet status --json` prints.

use crate::request_table::PermitResult;
use crate::state::{Permit, Plan};
use crate::voter::Epoch;
use crate::wire::{Halt, PermitRequest};
use basaltward_membership::{MemberId, WireError, decode_datagram, encode_datagram};
use serde::{Deserialize, Serialize};

/// The first byte of a request and of its answer.
pub const OPERATOR_VERSION: u8 = 0x72;

/// What an operator wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorCommand {
    /// Something of the leader.
    Request(PermitRequest),
    /// Nothing new is to be permitted anywhere.
    Halt,
    /// What is known.
    Status,
}

/// A request; sent again it is the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorRequest {
    /// Comes back with the answer; another one for each request of a process.
    pub tag: u32,
    /// What is wanted.
    pub command: OperatorCommand,
}

/// What a member knows of what is agreed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitStatus {
    /// Who answers.
    pub own: MemberId,
    /// Whom it believes to be leader.
    #[serde(rename = "foreman")]
    pub leader: Option<MemberId>,
    /// Of what it knows to be agreed.
    pub at: Option<(Epoch, u32)>,
    /// Whether all is halted.
    pub halt: Halt,
    /// Schedulers and workers that are out, by permit or by what it sees.
    pub out: (u16, u16),
    /// Members that have not said that they have nothing in hand for drained workers, as they know them now.
    pub unclear: u16,
    /// The release that goes on, and how many say that they run its version.
    pub plan: Option<(Plan, u16)>,
    /// Permits that stand.
    pub permits: Vec<Permit>,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// Of the leader, or that there is none.
    Answer(PermitResult),
    /// All is halted, by this count.
    Halted(Halt),
    /// What is known.
    Status(PermitStatus),
}

/// An answer with the tag of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorResponse {
    /// Of the request.
    pub tag: u32,
    /// The answer.
    pub reply: OperatorReply,
}

macro_rules! datagram {
    ($name:ident) => {
        impl $name {
            /// Its bytes, at most [`basaltward_membership::MAX_DATAGRAM_BYTES`].
            pub fn write(&self) -> Vec<u8> {
                encode_datagram(OPERATOR_VERSION, self).unwrap_or_default()
            }

            /// Reads one.
            ///
            /// # Errors
            /// Where it is none.
            pub fn read(bytes: &[u8]) -> Result<Self, WireError> {
                decode_datagram(OPERATOR_VERSION, bytes)
            }
        }
    };
}

datagram!(OperatorRequest);
datagram!(OperatorResponse);

#[cfg(test)]
mod tests;
