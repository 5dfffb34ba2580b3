//! Frames between gateways: a version byte, one message by serde, a checksum over both. What they hold is bounded by
//! their length, and nothing of a frame that was cut or changed is read.

use crate::error::WireError;
use crate::takeover_messages::TakeoverMessage;
use crate::types::Source;
use basaltward_membership::Micros;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The first byte of each frame.
pub const VERSION: u8 = 0x51;
/// Append go in frames of about this many bytes, or one line alone.
pub const TARGET_FRAME_BYTES: usize = 64 << 10;
/// What a frame holds beside its lines.
const FRAME_OVERHEAD_BYTES: usize = 256;

/// A line on its way, with the chain after it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireEntry<'a> {
    /// Its bytes.
    Full(&'a [u8], [u8; 8]),
    /// Its digest: its event has ended, or is past its time.
    DigestOnly([u8; 8], [u8; 8]),
}

/// Append of a journal, from its writer to a holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append<'a> {
    /// Whose journal.
    pub source: Source,
    /// The holder's life to which they are sent: another holds nothing of what went before.
    pub holder_life: u64,
    /// On the writer's clock; the answer names it.
    pub sent_at: Micros,
    /// Counts how often the writer began again from what this holder holds; the answer names it.
    pub resync_count: u32,
    /// Nothing below is needed any more.
    pub needed_from: u64,
    /// The number of the last line that is written.
    pub head: u64,
    /// The number of the first line.
    pub first: u64,
    /// The holder's journal begins here.
    pub starts_journal: bool,
    /// The chain before the first line.
    pub chain_before: [u8; 8],
    /// The lines, by number without a gap.
    #[serde(borrow)]
    pub entries: Vec<WireEntry<'a>>,
}

/// Why lines were not taken, or not all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// Those before them are missing.
    Gap,
    /// This one is not what was written.
    Corrupt(u64),
    /// There is no room.
    Full,
    /// They were sent to another life.
    WrongLife,
    /// Nothing of the journal is held.
    UnknownJournal,
    /// Its owner was taken over.
    TakenOver,
}

/// A holder's answer to lines, or to a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// Whose journal.
    pub source: Source,
    /// The holder's life.
    pub holder_life: u64,
    /// Counts how often this life has begun this journal.
    pub generation: u32,
    /// All lines up to this one, from where it was begun, are held.
    pub through: u64,
    /// When the lines were sent that this answers.
    pub echoed_sent_at: Micros,
    /// And in which turn.
    pub resync_count: u32,
    /// Nothing is done in the writer's place for a while from here on.
    pub lease_granted: bool,
    /// What is wrong with them.
    pub rejected: Option<RejectReason>,
}

/// Nothing of a journal is needed by its writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Whose journal.
    pub source: Source,
    /// On the writer's clock: lines that were sent later are needed.
    pub sent_at: Micros,
}

/// What one gateway tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message<'a> {
    /// To a holder.
    #[serde(borrow)]
    Append(Append<'a>),
    /// From it.
    Ack(Ack),
    /// To one that is a holder no more.
    Release(Release),
    /// It has let go.
    Released(Release),
    /// Of what is taken over.
    Takeover(TakeoverMessage),
    /// Says nothing: whoever wants to be connected sends it.
    Connect,
}

/// A message as a frame.
pub fn encode(message: &Message) -> Vec<u8> {
    let mut bytes = postcard::to_extend(message, vec![VERSION]).unwrap_or_default();
    bytes.extend(xxh3_64(&bytes).to_le_bytes());
    bytes
}

/// A frame's message.
pub fn decode(bytes: &[u8], entry_bytes: usize) -> Result<Message<'_>, WireError> {
    if bytes.len() > TARGET_FRAME_BYTES.max(entry_bytes) + FRAME_OVERHEAD_BYTES {
        return Err(WireError::Long(bytes.len()));
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
        .map_err(|_| WireError::Content)?;
    if rest.is_empty() { Ok(message) } else { Err(WireError::Content) }
}
