//! Datagrams between members: a version byte, then the message in postcard encoding, 256 bytes at most. Decoding
//! checks only the format; contents are not trusted. The order of variants and fields defines the format.

use crate::facts::Fact;
use crate::types::{Incarnation, MemberId, MemberState};
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use thiserror::Error;

/// Maximum size of a datagram on the platform, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The first byte; datagrams of other versions are dropped.
const VERSION: u8 = 1;
/// Blocks of members in a sync request, each with its own digest.
pub const DIGEST_BLOCKS: usize = 64;

/// Why a datagram is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// Longer than allowed, or empty; the value is its length in bytes.
    #[error("invalid datagram length: {0} bytes")]
    Length(usize),
    /// Of another version; the value is its version byte.
    #[error("unsupported version {0}")]
    Version(u8),
    /// Not a complete, well-formed message.
    #[error("malformed message")]
    Malformed,
}

/// The kind of a message. Messages of any kind may also carry updates and facts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// A probe, with its sequence number.
    Ping(u32),
    /// The response to a ping, with its sequence number.
    Ack(u32),
    /// Requests an indirect probe.
    PingRequest {
        /// The sequence number of the requester's own probe.
        sequence: u32,
        /// The member to ping.
        target: MemberId,
    },
    /// Reports that an indirect probe was acknowledged.
    IndirectAck {
        /// The sequence number in the request.
        sequence: u32,
        /// The member that acknowledged.
        target: MemberId,
    },
    /// Only updates and facts.
    Updates,
    /// Requests the entries of members in blocks whose digests differ from these. The salt changes with each request,
    /// so that a collision between two different blocks does not persist.
    SyncRequest {
        /// The salt of the digests.
        salt: u8,
        /// One digest per block.
        blocks: BlockDigests,
    },
    /// The response to a sync request: entries of the sender's view as updates, whether new or not.
    SyncResponse,
}

/// One byte per block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockDigests(pub [u8; DIGEST_BLOCKS]);

impl Serialize for BlockDigests {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for BlockDigests {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let bytes = <&[u8]>::deserialize(from)?;
        bytes.try_into().map(Self).map_err(|_| D::Error::custom("wrong number of block digests"))
    }
}

/// An update: the state of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Update {
    /// The member it is about.
    pub member: MemberId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: MemberState,
}

/// An update on the wire: the member, its start relative to the sender's, and its refutations and state. Members of a
/// fleet start at about the same time or some days apart, so the difference takes fewer bytes than the start itself.
#[derive(Serialize, Deserialize)]
struct WireUpdate(MemberId, i64, u64);

impl WireUpdate {
    fn new(update: &Update, base: u64) -> Self {
        let bump_and_state = u64::from(update.incarnation.bump) << 3 | update.state as u64;
        Self(update.member, update.incarnation.start.wrapping_sub(base) as i64, bump_and_state)
    }

    fn to_update(&self, base: u64) -> Option<Update> {
        const STATES: [MemberState; 6] = [
            MemberState::Unknown,
            MemberState::Up,
            MemberState::Suspect,
            MemberState::Leaving,
            MemberState::Gone,
            MemberState::Stopped,
        ];
        let state = *STATES.get((self.2 & 7) as usize)?;
        let bump = u32::try_from(self.2 >> 3).ok()?;
        let incarnation = Incarnation { start: base.wrapping_add(self.1 as u64), bump };
        Some(Update { member: self.0, incarnation, state })
    }
}

#[derive(Serialize, Deserialize)]
struct Header {
    fleet: u16,
    from: MemberId,
    incarnation: Incarnation,
    leaving: bool,
    digest: u32,
    kind: MessageKind,
}

/// The contents of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The fleet that the sender belongs to.
    pub fleet: u16,
    /// The sender.
    pub from: MemberId,
    /// The sender's incarnation. The message proves that it is alive.
    pub incarnation: Incarnation,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// The digest of the sender's view.
    pub digest: u32,
    /// The kind of message.
    pub kind: MessageKind,
    /// Gossiped updates, or the entries of a sync response.
    pub updates: Vec<Update>,
    /// Gossiped facts.
    pub facts: Vec<Fact>,
}

/// Maximum size of an encoded update, in bytes.
pub const MAX_UPDATE_BYTES: usize = 3 + 10 + 5;

/// Encodes a version byte and a message; `None` if they exceed [`MAX_DATAGRAM_BYTES`].
pub fn encode_datagram(version: u8, message: &impl Serialize) -> Option<Vec<u8>> {
    let mut bytes = vec![version; MAX_DATAGRAM_BYTES];
    let length = postcard::to_slice(message, &mut bytes[1..]).ok()?.len();
    bytes.truncate(length + 1);
    Some(bytes)
}

/// Decodes a message after a version byte.
///
/// # Errors
/// If the datagram is empty or too long, has another version, or is not exactly one message.
pub fn decode_datagram<'a, T: Deserialize<'a>>(version: u8, bytes: &'a [u8]) -> Result<T, WireError> {
    let (actual, rest) = bytes.split_first().ok_or(WireError::Length(0))?;
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(WireError::Length(bytes.len()));
    }
    if *actual != version {
        return Err(WireError::Version(*actual));
    }
    match postcard::take_from_bytes(rest) {
        Ok((message, [])) => Ok(message),
        _ => Err(WireError::Malformed),
    }
}

impl Message {
    /// Encodes the message; `None` if it exceeds [`MAX_DATAGRAM_BYTES`], which callers avoid by limiting updates and
    /// facts.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let Self { fleet, from, incarnation, leaving, digest, kind, .. } = *self;
        let header = Header { fleet, from, incarnation, leaving, digest, kind };
        let updates: Vec<_> =
            self.updates.iter().map(|update| WireUpdate::new(update, incarnation.start)).collect();
        encode_datagram(VERSION, &(header, updates, &self.facts))
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// If the bytes are not a valid message of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let (header, wire_updates, facts): (Header, Vec<WireUpdate>, Vec<Fact>) =
            decode_datagram(VERSION, bytes)?;
        let Header { fleet, from, incarnation, leaving, digest, kind } = header;
        let updates =
            wire_updates.iter().map(|update| update.to_update(incarnation.start)).collect::<Option<Vec<_>>>();
        let updates = updates.ok_or(WireError::Malformed)?;
        Ok(Self { fleet, from, incarnation, leaving, digest, kind, updates, facts })
    }

    /// Bytes that remain for updates or facts.
    pub fn remaining_capacity(&self) -> usize {
        let used = self.encode().map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len());
        // The length prefix of the updates or facts may grow to a second byte.
        MAX_DATAGRAM_BYTES.saturating_sub(used + 1)
    }
}

/// The encoded size of an update, in bytes, from a sender whose life started at `base`.
pub fn update_bytes(update: &Update, base: u64) -> usize {
    let mut bytes = [0; MAX_UPDATE_BYTES];
    postcard::to_slice(&WireUpdate::new(update, base), &mut bytes)
        .map_or(MAX_UPDATE_BYTES, |encoded| encoded.len())
}

#[cfg(test)]
mod tests;
