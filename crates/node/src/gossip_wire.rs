//! Instance updates on the wire: one version byte, then the updates by serde, within one datagram.

use basaltward::Micros;
use basaltward_membership::{MAX_DATAGRAM_BYTES, WireError, decode_datagram, encode_datagram};
use serde::{Deserialize, Serialize};

/// The first byte; the view and what is agreed have others.
pub const VERSION: u8 = 3;
/// What an age counts in: the oldest that can be told is four times a usual keep-alive.
const AGE_UNIT_US: Micros = 250_000;

/// What was seen of one function at one worker. Names go as marks: two that share one are taken for each other, and
/// cost a call a load at worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceUpdate {
    function: [u8; 4],
    worker: [u8; 4],
    age: u8,
    copies: u8,
}

impl InstanceUpdate {
    /// Updates that fit into a datagram, behind the version and their number.
    pub const MAX_PER_DATAGRAM: usize = (MAX_DATAGRAM_BYTES - 2) / 10;

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

/// The mark of a name.
pub fn name_hash(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

/// The bytes; `None` where they would be too many, which [`InstanceUpdate::MAX_PER_DATAGRAM`] rules out.
pub fn encode(updates: &[InstanceUpdate]) -> Option<Vec<u8>> {
    encode_datagram(VERSION, &updates)
}

/// Reads them.
pub fn decode(bytes: &[u8]) -> Result<Vec<InstanceUpdate>, WireError> {
    decode_datagram(VERSION, bytes)
}
