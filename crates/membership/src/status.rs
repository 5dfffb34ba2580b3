//! How an operator asks a member for what it believes of all: a request names where to begin, its answer holds a page of
//! [`STATUS_PAGE_MEMBERS`]. One datagram each. The JSON keys are those that `fleet view --json` prints.

use crate::fact_keys::CALLS_KEY;
use crate::members::Membership;
use crate::output::FleetShare;
use crate::types::{Incarnation, Member, MemberId, MemberState, Micros};
use crate::wire::{WireError, decode_datagram, encode_datagram};
use serde::{Deserialize, Serialize};

/// The first byte of a request and of an answer; a member's datagrams begin otherwise.
const VERSION: u8 = 0x71;
/// Entries in one answer: the largest fit.
pub const STATUS_PAGE_MEMBERS: usize = 6;
/// Totals told of at most.
const MAX_TOTALS: usize = 3;

/// Asks for the view from this member on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusRequest {
    /// Comes back with the answer.
    pub tag: u32,
    /// The first member wanted.
    pub first: MemberId,
}

/// What a member believes of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// What it is.
    pub state: MemberState,
    /// Of which life.
    pub incarnation: Incarnation,
    /// Milliseconds since it was heard itself; none for never.
    pub heard_ms: Option<u64>,
}

/// A page of a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// Of the request.
    pub tag: u32,
    /// Who answers.
    pub own: MemberId,
    /// Members in the configured list.
    pub size: MemberId,
    /// Equal for equal views.
    pub digest: u32,
    /// All that were heard of late hold the same.
    pub settled: bool,
    /// With how much of the fleet it is.
    pub part: FleetShare,
    /// A later life of it has taken its place.
    pub superseded: bool,
    /// Calls that members have lately told to have served, refused and failed, all together.
    pub calls: Vec<u64>,
    /// The first member of this page.
    pub first: MemberId,
    /// The page.
    #[serde(rename = "entries")]
    pub members: Vec<MemberStatus>,
}

impl StatusRequest {
    /// Its bytes.
    pub fn write(&self) -> Vec<u8> {
        encode_datagram(VERSION, self).unwrap_or_default()
    }

    /// Reads one.
    ///
    /// # Errors
    /// Where it is none.
    pub fn read(bytes: &[u8]) -> Result<Self, WireError> {
        decode_datagram(VERSION, bytes)
    }
}

impl StatusResponse {
    /// The page of a view that a request asks for.
    pub fn new(membership: &Membership, now: Micros, request: StatusRequest) -> Self {
        let seen = |entry: &Member| MemberStatus {
            state: entry.state,
            incarnation: entry.incarnation,
            heard_ms: (entry.last_contact > 0).then(|| now.saturating_sub(entry.last_contact) / 1_000),
        };
        let members = membership
            .members()
            .iter()
            .skip(request.first.into())
            .take(STATUS_PAGE_MEMBERS)
            .map(seen)
            .collect();
        Self {
            tag: request.tag,
            own: membership.own(),
            size: membership.members().len() as MemberId,
            digest: membership.digest(),
            settled: membership.is_settled(now),
            part: membership.fleet_share(),
            superseded: membership.is_superseded(),
            calls: membership.counter_totals(now, CALLS_KEY).into_iter().take(MAX_TOTALS).collect(),
            first: request.first,
            members,
        }
    }

    /// Its bytes, at most [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES).
    pub fn write(&self) -> Vec<u8> {
        encode_datagram(VERSION, self).unwrap_or_default()
    }

    /// Reads one.
    ///
    /// # Errors
    /// Where it is none.
    pub fn read(bytes: &[u8]) -> Result<Self, WireError> {
        decode_datagram(VERSION, bytes)
    }
}

#[cfg(test)]
mod tests;
