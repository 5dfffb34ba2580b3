//! Frames between gateways: a version byte, one serialized message, and a checksum over both. Collections in a
//! message are bounded by the frame's length, and a truncated or corrupted frame is rejected as a whole.

use crate::error::WireError;
use crate::takeover_messages::TakeoverMessage;
use crate::types::Source;
use basaltward_membership::Micros;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// First byte of each frame.
pub const VERSION: u8 = 0x51;
/// Entries are batched into frames of about this many bytes; a longer entry is sent alone.
pub const TARGET_FRAME_BYTES: usize = 64 << 10;
/// Upper bound for the bytes of a frame other than its entries.
const FRAME_OVERHEAD_BYTES: usize = 256;

/// An entry in a frame, with the chain value after it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireEntry<'a> {
    /// The payload.
    Full(&'a [u8], [u8; 8]),
    /// The digest of a payload that was dropped, as the event has ended or expired.
    DigestOnly([u8; 8], [u8; 8]),
}

/// Entries of a journal, from its writer to a holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append<'a> {
    /// The journal.
    pub source: Source,
    /// The life of the holder to which they are sent; another life has none of the earlier entries.
    pub holder_life: u64,
    /// Send time on the writer's clock, echoed in the ack.
    pub sent_at: Micros,
    /// Number of times the writer restarted sending from what the holder has acknowledged, echoed in the ack.
    pub resync_count: u32,
    /// Entries before this number are no longer needed.
    pub needed_from: u64,
    /// Number of the last entry written.
    pub head: u64,
    /// Number of the first entry in this frame.
    pub first: u64,
    /// The holder's replica starts with this frame.
    pub starts_journal: bool,
    /// The chain value before the first entry.
    pub chain_before: [u8; 8],
    /// Consecutive entries.
    #[serde(borrow)]
    pub entries: Vec<WireEntry<'a>>,
}

/// Why entries were rejected, all or some of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// Entries before them are missing.
    Gap,
    /// This entry does not match its checksum.
    Corrupt(u64),
    /// The storage is full.
    Full,
    /// They were sent to another life of the holder.
    WrongLife,
    /// The holder has no part of the journal.
    UnknownJournal,
    /// The writer was taken over.
    TakenOver,
}

/// A holder's answer to [`Append`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The journal.
    pub source: Source,
    /// The holder's life.
    pub holder_life: u64,
    /// Generation of the replica: grows each time the holder starts the journal from scratch.
    pub generation: u32,
    /// All entries up to this number, from the start of the replica, are stored.
    pub through: u64,
    /// Send time of the frame that this answers.
    pub echoed_sent_at: Micros,
    /// Resync count of the frame that this answers.
    pub resync_count: u32,
    /// The holder promises not to take the writer over for a while.
    pub lease_granted: bool,
    /// Why the entries were rejected, if they were.
    pub rejected: Option<RejectReason>,
}

/// The writer no longer needs the holder's replica of a journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The journal.
    pub source: Source,
    /// Send time on the writer's clock; entries that were sent later are still needed.
    pub sent_at: Micros,
}

/// A message between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message<'a> {
    /// From a writer to a holder.
    #[serde(borrow)]
    Append(Append<'a>),
    /// From a holder to the writer.
    Ack(Ack),
    /// From a writer to a gateway that is no longer a holder.
    Release(Release),
    /// Confirms a release.
    Released(Release),
    /// About events that are taken over.
    Takeover(TakeoverMessage),
    /// Empty; sent to make the peer layer open a connection.
    Connect,
}

/// Encodes a message as a frame.
pub fn encode(message: &Message) -> Vec<u8> {
    let mut bytes = postcard::to_extend(message, vec![VERSION]).unwrap_or_default();
    bytes.extend(xxh3_64(&bytes).to_le_bytes());
    bytes
}

/// Decodes a frame. `entry_bytes` is the maximum size of an event or an answer.
///
/// # Errors
/// If the frame is too long, corrupted, truncated or malformed, or has another version.
pub fn decode(bytes: &[u8], entry_bytes: usize) -> Result<Message<'_>, WireError> {
    if bytes.len() > TARGET_FRAME_BYTES.max(entry_bytes) + FRAME_OVERHEAD_BYTES {
        return Err(WireError::TooLong(bytes.len()));
    }
    let version = *bytes.first().ok_or(WireError::Checksum)?;
    if version != VERSION {
        return Err(WireError::Version(version));
    }
    let (content, sum) = bytes.split_last_chunk::<8>().ok_or(WireError::Checksum)?;
    if xxh3_64(content) != u64::from_le_bytes(*sum) {
        return Err(WireError::Checksum);
    }
    let (message, rest) = postcard::take_from_bytes::<Message>(content.get(1..).unwrap_or_default())
        .map_err(|_| WireError::Malformed)?;
    if rest.is_empty() { Ok(message) } else { Err(WireError::Malformed) }
}
