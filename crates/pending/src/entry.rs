//! A line of a journal as it is sent and held: its bytes, a digest of them and a chain over the digests. A line whose
//! event has ended goes without its bytes, and the chain can be checked all the same.

use crate::types::{Entry, Source, Step, WallMs};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// What a line without its bytes costs, wherever it is held.
pub const ENTRY_BYTES: usize = size_of::<StoredEntry>();
/// What one with them costs beside: it stands in lists by event and by time. Measured by `basaltward-bench pending`.
const PAYLOAD_INDEX_BYTES: usize = 144;

/// The bytes of a line.
#[derive(Serialize, Deserialize)]
struct Payload {
    /// From when on nothing depends on it. First, as [`StoredEntry::until`] reads it alone.
    until: WallMs,
    step: Step,
}

/// A line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredEntry {
    /// Digest of its bytes.
    pub digest: u64,
    /// Over this digest, its source and number, and the chain before.
    pub chain: u64,
    /// Its bytes, while something depends on them.
    pub payload: Option<Box<[u8]>>,
}

/// The chain before the first line.
pub const CHAIN_START: u64 = 0;

/// The chain after a line of this digest.
pub fn next_chain(before: u64, source: Source, number: u64, digest: u64) -> u64 {
    let mut bytes = [0; 34];
    bytes[..2].copy_from_slice(&source.gateway.to_le_bytes());
    for (at, word) in [source.life, number, before, digest].into_iter().enumerate() {
        bytes[2 + at * 8..10 + at * 8].copy_from_slice(&word.to_le_bytes());
    }
    xxh3_64(&bytes)
}

impl StoredEntry {
    /// A line as it is written.
    pub fn new(before: u64, source: Source, number: u64, until: WallMs, step: Step) -> Option<Self> {
        let bytes = postcard::to_allocvec(&Payload { until, step }).ok()?.into_boxed_slice();
        let digest = xxh3_64(&bytes);
        Some(Self { digest, chain: next_chain(before, source, number, digest), payload: Some(bytes) })
    }

    /// What it costs to hold it.
    pub fn memory_cost(&self) -> usize {
        ENTRY_BYTES + self.payload.as_ref().map_or(0, |bytes| PAYLOAD_INDEX_BYTES + bytes.len())
    }

    /// Lets go of its bytes; what that sets free.
    pub fn drop_payload(&mut self) -> usize {
        self.payload.take().map_or(0, |bytes| PAYLOAD_INDEX_BYTES + bytes.len())
    }

    /// What it says and until when that matters; none where the bytes are gone or can't be read.
    pub fn decode_payload(&self) -> Option<(WallMs, Step)> {
        read(self.payload.as_ref()?)
    }

    /// Until when it matters; none where the bytes are gone.
    pub fn until(&self) -> Option<WallMs> {
        postcard::take_from_bytes(self.payload.as_ref()?).ok().map(|(until, _)| until)
    }

    /// It as an entry; none where the bytes are gone.
    pub fn entry(&self, source: Source, number: u64) -> Option<Entry> {
        let (_, step) = self.decode_payload()?;
        Some(Entry { source, number, chain: self.chain, step })
    }
}

/// What bytes of a line say, if they are a line's and no more.
pub fn read(bytes: &[u8]) -> Option<(WallMs, Step)> {
    let (Payload { until, step }, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some((until, step))
}
