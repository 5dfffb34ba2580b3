//! Frames between peers: length (u32, little-endian) of what the checksum covers, checksum (CRC-32), channel, payload.
//! Bytes in, whole frames or an error out; where the bytes were cut on the way makes no difference. A length beyond the bound
//! is refused before anything of the frame is kept.

use crate::error::ConnectionError;
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Bytes of a frame beside its payload.
pub const FRAME_OVERHEAD: usize = HEADER_BYTES + 1;
/// Length and checksum.
const HEADER_BYTES: usize = 8;

/// A frame as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Whose it is, as a byte: one that we don't know may be of a later version.
    pub channel: u8,
    /// What it holds.
    pub payload: Bytes,
}

/// Adds a frame to what is to be sent.
pub fn write_frame(channel: u8, payload: &[u8], into: &mut BytesMut) {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&[channel]);
    sum.update(payload);
    into.reserve(FRAME_OVERHEAD + payload.len());
    into.put_u32_le(payload.len() as u32 + 1);
    into.put_u32_le(sum.finalize());
    into.put_u8(channel);
    into.put_slice(payload);
}

/// Makes frames of the bytes of one connection.
pub struct FrameDecoder {
    buffered: BytesMut,
    max_payload: usize,
    verify_checksums: bool,
}

impl FrameDecoder {
    /// Of frames with so long a payload at most.
    pub fn new(most: usize) -> Self {
        Self { buffered: BytesMut::new(), max_payload: most, verify_checksums: true }
    }

    /// Plants a fault: checksums are not looked at.
    pub fn skip_checksums(&mut self) {
        self.verify_checksums = false;
    }

    /// Takes bytes over.
    pub fn push(&mut self, input: &mut BytesMut) {
        if self.buffered.is_empty() {
            self.buffered = input.split();
        } else {
            self.buffered.extend_from_slice(input);
            input.clear();
        }
    }

    /// The next whole frame, where there is one. Past an error there are none: nothing tells where the next begins.
    ///
    /// # Errors
    /// Where what comes next is no frame.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, ConnectionError> {
        let Some(length) = self.buffered.first_chunk().map(|bytes| u32::from_le_bytes(*bytes) as usize)
        else {
            return Ok(None);
        };
        // Known before the rest has come: no room is made for what will be refused.
        if length == 0 || length > self.max_payload + 1 {
            return Err(ConnectionError::Length { length: length.saturating_sub(1), max: self.max_payload });
        }
        if self.buffered.len() < HEADER_BYTES + length {
            return Ok(None);
        }
        let mut frame = self.buffered.split_to(HEADER_BYTES + length).freeze();
        frame.advance(4);
        let told = frame.get_u32_le();
        if self.verify_checksums && crc32fast::hash(&frame) != told {
            return Err(ConnectionError::Checksum);
        }
        let channel = frame.get_u8();
        Ok(Some(Frame { channel, payload: frame }))
    }

    /// Bytes of a frame that is not whole.
    pub fn buffered(&self) -> usize {
        self.buffered.len()
    }
}

#[cfg(test)]
mod tests;
