//! Requests of operators to a node and the node's responses: one datagram each, a version byte and the content
//! serialized with serde. The JSON keys of [`PermitStatus`] are those that `fleet status --json` prints.

use crate::request_table::PermitResult;
use crate::state::{Permit, Plan};
use crate::voter::Epoch;
use crate::wire::{Halt, PermitRequest};
use basaltward_membership::{MemberId, WireError, decode_datagram, encode_datagram};
use serde::{Deserialize, Serialize};

/// The first byte of an operator's request and of the response.
pub const OPERATOR_VERSION: u8 = 0x72;

/// An operator's command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorCommand {
    /// Forwards a request to the leader.
    Request(PermitRequest),
    /// Halts the fleet: no new permit is granted anywhere.
    Halt,
    /// Queries the node's status.
    Status,
}

/// A request; a retransmission repeats it unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorRequest {
    /// Repeated in the response; unique among the requests of a process.
    pub tag: u32,
    /// The command.
    pub command: OperatorCommand,
}

/// The state of permits as seen by one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitStatus {
    /// The member that responds.
    pub own: MemberId,
    /// The leader as seen by that member.
    #[serde(rename = "foreman")]
    pub leader: Option<MemberId>,
    /// The position of the latest committed state that it knows.
    pub at: Option<(Epoch, u32)>,
    /// Whether the fleet is halted.
    pub halt: Halt,
    /// The numbers of schedulers and of workers that are out of service, by permit or as it observes them.
    pub out: (u16, u16),
    /// How many members have not reported that none of their requests to drained workers are in flight. Each member
    /// goes by the set of drained workers that it knows.
    pub unclear: u16,
    /// The release in progress, and how many schedulers report that they run its version.
    pub plan: Option<(Plan, u16)>,
    /// Permits in force.
    pub permits: Vec<Permit>,
}

/// The content of a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// The leader's reply, or that there is no leader.
    Answer(PermitResult),
    /// The fleet is halted with this count.
    Halted(Halt),
    /// The node's status.
    Status(PermitStatus),
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorResponse {
    /// The tag of the request.
    pub tag: u32,
    /// The content.
    pub reply: OperatorReply,
}

macro_rules! datagram {
    ($name:ident) => {
        impl $name {
            /// Serializes it to at most [`basaltward_membership::MAX_DATAGRAM_BYTES`].
            pub fn write(&self) -> Vec<u8> {
                encode_datagram(OPERATOR_VERSION, self).unwrap_or_default()
            }

            /// Parses a datagram.
            ///
            /// # Errors
            /// If the bytes are not one of this version.
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
