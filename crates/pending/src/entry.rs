//! A journal entry as it is sent and stored: its payload, a digest of the payload and a chain value over the digests.
//! Once its event has ended, an entry loses its payload; the chain can still be verified by the digest.

use crate::types::{Entry, Source, Step, WallMs};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Memory cost in bytes of an entry without its payload, at the writer and at a holder.
pub const ENTRY_BYTES: usize = size_of::<StoredEntry>();
/// Additional memory cost in bytes of an entry with a payload, for the indexes by event and by expiry. Measured by
/// `basaltward-bench pending`.
const PAYLOAD_INDEX_BYTES: usize = 144;

/// The serialized form of an entry's payload.
#[derive(Serialize, Deserialize)]
struct Payload {
    /// When the payload expires. The first field, as [`StoredEntry::retained_until`] decodes it alone.
    retained_until: WallMs,
    step: Step,
}

/// An entry in memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredEntry {
    /// Digest of the payload.
    pub digest: u64,
    /// Checksum over the digest, the source, the number and the chain value of the entry before.
    pub chain: u64,
    /// The payload, until it is dropped.
    pub payload: Option<Box<[u8]>>,
}

/// The chain value before the first entry.
pub const CHAIN_START: u64 = 0;

/// The chain value after an entry with this digest.
pub fn next_chain(before: u64, source: Source, number: u64, digest: u64) -> u64 {
    let mut bytes = [0; 34];
    bytes[..2].copy_from_slice(&source.gateway.to_le_bytes());
    for (at, value) in [source.life, number, before, digest].into_iter().enumerate() {
        bytes[2 + at * 8..10 + at * 8].copy_from_slice(&value.to_le_bytes());
    }
    xxh3_64(&bytes)
}

impl StoredEntry {
    /// Serializes a new entry. `None` if serialization fails.
    pub fn new(before: u64, source: Source, number: u64, retained_until: WallMs, step: Step) -> Option<Self> {
        let bytes = postcard::to_allocvec(&Payload { retained_until, step }).ok()?.into_boxed_slice();
        let digest = xxh3_64(&bytes);
        Some(Self { digest, chain: next_chain(before, source, number, digest), payload: Some(bytes) })
    }

    /// Memory cost in bytes.
    pub fn memory_cost(&self) -> usize {
        ENTRY_BYTES + self.payload.as_ref().map_or(0, |bytes| PAYLOAD_INDEX_BYTES + bytes.len())
    }

    /// Drops the payload and returns the number of bytes freed.
    pub fn drop_payload(&mut self) -> usize {
        self.payload.take().map_or(0, |bytes| PAYLOAD_INDEX_BYTES + bytes.len())
    }

    /// The decoded payload with its expiry; `None` if the payload was dropped or can't be decoded.
    pub fn decode_payload(&self) -> Option<(WallMs, Step)> {
        decode_payload(self.payload.as_ref()?)
    }

    /// When the payload expires; `None` if it was dropped.
    pub fn retained_until(&self) -> Option<WallMs> {
        postcard::take_from_bytes(self.payload.as_ref()?).ok().map(|(until, _)| until)
    }

    /// The public form of this entry; `None` if the payload was dropped.
    pub fn entry(&self, source: Source, number: u64) -> Option<Entry> {
        let (_, step) = self.decode_payload()?;
        Some(Entry { source, number, chain: self.chain, step })
    }
}

/// Decodes a payload. `None` if the bytes are malformed or longer than one payload.
pub fn decode_payload(bytes: &[u8]) -> Option<(WallMs, Step)> {
    let (Payload { retained_until, step }, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some((retained_until, step))
}
