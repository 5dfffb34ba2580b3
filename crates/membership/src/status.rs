//! Status queries: an operator requests a member's view of the fleet page by page. A request names the first member,
//! the response holds up to [`STATUS_PAGE_MEMBERS`] members, and each is one datagram. The field names are the JSON
//! keys that `fleet view --json` prints.

use crate::fact_keys::CALLS_KEY;
use crate::members::Membership;
use crate::output::FleetShare;
use crate::types::{Incarnation, Member, MemberId, MemberState, Micros};
use crate::wire::{WireError, decode_datagram, encode_datagram};
use serde::{Deserialize, Serialize};

/// First byte of requests and responses, which distinguishes them from datagrams between members.
const VERSION: u8 = 0x71;
/// Members per response; as many entries of maximum size fit into a datagram.
pub const STATUS_PAGE_MEMBERS: usize = 6;
/// Maximum number of call counters in a response.
const MAX_CALL_COUNTERS: usize = 3;

/// Requests one page of a member's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusRequest {
    /// Returned in the response, to match it to the request.
    pub tag: u32,
    /// The first member of the requested page.
    pub first: MemberId,
}

/// One member's status in the responder's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its state.
    pub state: MemberState,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Milliseconds since a datagram was received from it; `None` if none ever was.
    pub heard_ms: Option<u64>,
}

/// One page of the responder's view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// The tag of the request.
    pub tag: u32,
    /// The responder's number.
    pub own: MemberId,
    /// Number of members in the configured list.
    pub size: MemberId,
    /// Digest of the view, equal for equal views.
    pub digest: u32,
    /// Whether the view has settled, see [`Membership::is_settled`].
    pub settled: bool,
    /// The share of the fleet that is live in this view.
    pub part: FleetShare,
    /// Whether a later life of the responder has taken over.
    pub superseded: bool,
    /// Calls served, refused and failed, summed over the unexpired counters that members published.
    pub calls: Vec<u64>,
    /// The first member of this page.
    pub first: MemberId,
    /// The members of this page.
    #[serde(rename = "entries")]
    pub members: Vec<MemberStatus>,
}

impl StatusRequest {
    /// Encodes the request.
    pub fn encode(&self) -> Vec<u8> {
        encode_datagram(VERSION, self).unwrap_or_default()
    }

    /// Decodes a request.
    ///
    /// # Errors
    /// If the bytes are not a valid request.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        decode_datagram(VERSION, bytes)
    }
}

impl StatusResponse {
    /// Builds the response to a request.
    pub fn new(membership: &Membership, now: Micros, request: StatusRequest) -> Self {
        let status = |member: &Member| MemberStatus {
            state: member.state,
            incarnation: member.incarnation,
            heard_ms: (member.last_contact > 0).then(|| now.saturating_sub(member.last_contact) / 1_000),
        };
        let members = membership
            .members()
            .iter()
            .skip(request.first.into())
            .take(STATUS_PAGE_MEMBERS)
            .map(status)
            .collect();
        Self {
            tag: request.tag,
            own: membership.own(),
            size: membership.members().len() as MemberId,
            digest: membership.digest(),
            settled: membership.is_settled(now),
            part: membership.fleet_share(),
            superseded: membership.is_superseded(),
            calls: membership.counter_totals(now, CALLS_KEY).into_iter().take(MAX_CALL_COUNTERS).collect(),
            first: request.first,
            members,
        }
    }

    /// Encodes the response, in at most [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES).
    pub fn encode(&self) -> Vec<u8> {
        encode_datagram(VERSION, self).unwrap_or_default()
    }

    /// Decodes a response.
    ///
    /// # Errors
    /// If the bytes are not a valid response.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        decode_datagram(VERSION, bytes)
    }
}

#[cfg(test)]
mod tests;
