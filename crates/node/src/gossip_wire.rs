//! Wire format of instance updates: one version byte, then the updates in serde's encoding, within one datagram.

use basaltward::Micros;
use basaltward_membership::{MAX_DATAGRAM_BYTES, WireError, decode_datagram, encode_datagram};
use serde::{Deserialize, Serialize};

/// The first byte; datagrams of the view and of permits have other values.
pub const VERSION: u8 = 3;
/// Unit of an encoded age, in microseconds. The oldest age that can be encoded, 255 units, is about four times a
/// typical keep-alive.
const AGE_UNIT_US: Micros = 250_000;

/// An observation of one function at one worker. Names are sent as hashes. Two names with the same hash are
/// mistaken for each other, which costs a call at worst one load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceUpdate {
    function: [u8; 4],
    worker: [u8; 4],
    age: u8,
    copies: u8,
}

impl InstanceUpdate {
    /// Updates that fit into a datagram after the version and their count.
    pub const MAX_PER_DATAGRAM: usize = (MAX_DATAGRAM_BYTES - 2) / 10;

    /// Rounds the age up to the next unit. Ages above 255 units and more than 255 copies are encoded as 255.
    pub fn new((function, worker): (u32, u32), age: Micros, copies: u32) -> Self {
        let (function, worker) = (function.to_le_bytes(), worker.to_le_bytes());
        let age = u8::try_from(age.div_ceil(AGE_UNIT_US)).unwrap_or(u8::MAX);
        Self { function, worker, age, copies: u8::try_from(copies).unwrap_or(u8::MAX) }
    }

    pub fn function(&self) -> u32 {
        u32::from_le_bytes(self.function)
    }

    pub fn worker(&self) -> u32 {
        u32::from_le_bytes(self.worker)
    }

    pub fn age(&self) -> Micros {
        Micros::from(self.age) * AGE_UNIT_US
    }

    pub fn copies(&self) -> u32 {
        u32::from(self.copies)
    }
}

/// The hash of a name.
pub fn name_hash(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

/// Encodes the updates; `None` if they don't fit, which [`InstanceUpdate::MAX_PER_DATAGRAM`] rules out.
pub fn encode(updates: &[InstanceUpdate]) -> Option<Vec<u8>> {
    encode_datagram(VERSION, &updates)
}

/// Decodes the updates.
pub fn decode(bytes: &[u8]) -> Result<Vec<InstanceUpdate>, WireError> {
    decode_datagram(VERSION, bytes)
}
