//! Datagrams of members: one version byte, then the message by serde, 256 bytes at most. Nothing of it is trusted beyond its
//! form. The order of variants and fields is the format.

use crate::facts::Fact;
use crate::types::{Incarnation, MemberId, MemberState};
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use thiserror::Error;

/// Longest datagram that the platform allows, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The first byte; another version is dropped.
const VERSION: u8 = 1;
/// Blocks that a comparison divides the members into.
pub const DIGEST_BLOCKS: usize = 64;

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// Longer than allowed, or empty.
    #[error("a datagram of {0} bytes")]
    Length(usize),
    /// Of another version.
    #[error("version {0}")]
    Version(u8),
    /// Not a message.
    #[error("no message")]
    Malformed,
}

/// What a datagram is for, beside the updates that it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Are you there?
    Ping(u32),
    /// I am.
    Ack(u32),
    /// Ask that one for me.
    PingRequest {
        /// The number of the probe that its sender makes.
        sequence: u32,
        /// Whom to ping.
        target: MemberId,
    },
    /// That one was there.
    IndirectAck {
        /// The number in the request.
        sequence: u32,
        /// Who was there.
        target: MemberId,
    },
    /// Nothing but updates.
    Updates,
    /// Digests of my view by blocks of members: tell me where yours differs. Salted: two blocks that differ
    /// and look alike once do not the next time.
    SyncRequest {
        /// Goes into the digests.
        salt: u8,
        /// A digest a block.
        blocks: BlockDigests,
    },
    /// The answer to a comparison: what I believe, whether new or not.
    SyncResponse,
}

/// A byte for each block.
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
        bytes.try_into().map(Self).map_err(|_| D::Error::custom("blocks of another number"))
    }
}

/// An update: what is believed of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Update {
    /// Of whom.
    pub member: MemberId,
    /// Which life.
    pub incarnation: Incarnation,
    /// What it is.
    pub state: MemberState,
}

/// An update on the wire: members of a fleet started at about the same time as its teller, or some days
/// apart, so the difference takes fewer bytes.
#[derive(Serialize, Deserialize)]
struct WireUpdate(MemberId, i64, u64);

impl WireUpdate {
    fn new(update: &Update, base: u64) -> Self {
        let life = u64::from(update.incarnation.bump) << 3 | update.state as u64;
        Self(update.member, update.incarnation.start.wrapping_sub(base) as i64, life)
    }

    fn update(&self, base: u64) -> Option<Update> {
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

/// A datagram's content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The fleet.
    pub fleet: u16,
    /// Who sends it, in which life: proof that it is there.
    pub from: MemberId,
    /// See `from`.
    pub incarnation: Incarnation,
    /// It leaves.
    pub leaving: bool,
    /// Of its view.
    pub digest: u32,
    /// What it is for.
    pub kind: MessageKind,
    /// What else it tells.
    pub updates: Vec<Update>,
    /// Facts from the fact store.
    pub facts: Vec<Fact>,
}

/// Bytes that one update may take.
pub const MAX_UPDATE_BYTES: usize = 3 + 10 + 5;

/// The bytes of a message behind its version; `None` where they are too many.
pub fn encode_datagram(version: u8, message: &impl Serialize) -> Option<Vec<u8>> {
    let mut bytes = vec![version; MAX_DATAGRAM_BYTES];
    let length = postcard::to_slice(message, &mut bytes[1..]).ok()?.len();
    bytes.truncate(length + 1);
    Some(bytes)
}

/// The message behind its version, whole and with nothing after it.
///
/// # Errors
/// Where there is none.
pub fn decode_datagram<'a, T: Deserialize<'a>>(version: u8, bytes: &'a [u8]) -> Result<T, WireError> {
    let (told, rest) = bytes.split_first().ok_or(WireError::Length(0))?;
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(WireError::Length(bytes.len()));
    }
    if *told != version {
        return Err(WireError::Version(*told));
    }
    match postcard::take_from_bytes(rest) {
        Ok((message, [])) => Ok(message),
        _ => Err(WireError::Malformed),
    }
}

impl Message {
    /// The bytes; `None` where they would be too many, which the caller's count of updates rules out.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let Self { fleet, from, incarnation, leaving, digest, kind, .. } = *self;
        let head = Header { fleet, from, incarnation, leaving, digest, kind };
        let told: Vec<_> =
            self.updates.iter().map(|update| WireUpdate::new(update, incarnation.start)).collect();
        encode_datagram(VERSION, &(head, told, &self.facts))
    }

    /// Reads one.
    ///
    /// # Errors
    /// Where it is not one of ours.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let (head, told, facts): (Header, Vec<WireUpdate>, Vec<Fact>) = decode_datagram(VERSION, bytes)?;
        let Header { fleet, from, incarnation, leaving, digest, kind } = head;
        let updates = told.iter().map(|told| told.update(incarnation.start)).collect::<Option<Vec<_>>>();
        let updates = updates.ok_or(WireError::Malformed)?;
        Ok(Self { fleet, from, incarnation, leaving, digest, kind, updates, facts })
    }

    /// Bytes left for updates.
    pub fn remaining_capacity(&self) -> usize {
        let used = self.encode().map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len());
        // The count of updates may take a second byte.
        MAX_DATAGRAM_BYTES.saturating_sub(used + 1)
    }
}

/// Bytes that this update takes, told by one whose life began then.
pub fn update_bytes(update: &Update, base: u64) -> usize {
    let mut bytes = [0; MAX_UPDATE_BYTES];
    postcard::to_slice(&WireUpdate::new(update, base), &mut bytes).map_or(MAX_UPDATE_BYTES, |told| told.len())
}

#[cfg(test)]
mod tests;
