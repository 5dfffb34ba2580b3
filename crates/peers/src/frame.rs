//! Frames between peers: length (u32, little-endian) of the bytes that the checksum covers, checksum (CRC-32),
//! channel, payload. The decoder accepts bytes split at any position and returns whole frames or an error. A length
//! beyond the bound is rejected before any of the frame is buffered.

use crate::error::ConnectionError;
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Bytes of a frame besides its payload.
pub const FRAME_OVERHEAD: usize = HEADER_BYTES + 1;
/// Bytes of the length and the checksum.
const HEADER_BYTES: usize = 8;

/// A received frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The channel as it was sent; an unknown number may belong to a later version.
    pub channel: u8,
    /// The payload.
    pub payload: Bytes,
}

/// Appends an encoded frame to an output buffer.
pub fn write_frame(channel: u8, payload: &[u8], output: &mut BytesMut) {
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&[channel]);
    checksum.update(payload);
    output.reserve(FRAME_OVERHEAD + payload.len());
    output.put_u32_le(payload.len() as u32 + 1);
    output.put_u32_le(checksum.finalize());
    output.put_u8(channel);
    output.put_slice(payload);
}

/// Decodes frames from the bytes of one connection.
pub struct FrameDecoder {
    buffered: BytesMut,
    max_payload: usize,
    verify_checksums: bool,
}

impl FrameDecoder {
    /// A decoder of frames whose payload has at most `max_payload` bytes.
    pub fn new(max_payload: usize) -> Self {
        Self { buffered: BytesMut::new(), max_payload, verify_checksums: true }
    }

    /// Fault injection: checksums are no longer verified.
    pub fn skip_checksums(&mut self) {
        self.verify_checksums = false;
    }

    /// Moves received bytes into the decoder.
    pub fn push(&mut self, input: &mut BytesMut) {
        if self.buffered.is_empty() {
            self.buffered = input.split();
        } else {
            self.buffered.extend_from_slice(input);
            input.clear();
        }
    }

    /// The next frame, or `None` until all of its bytes are there. After an error no further frame can be decoded, as
    /// the start of the next one is unknown.
    ///
    /// # Errors
    /// [`ConnectionError::Length`] if the length is zero or beyond the bound, [`ConnectionError::Checksum`] if the
    /// checksum does not match.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, ConnectionError> {
        let Some(length) = self.buffered.first_chunk().map(|bytes| u32::from_le_bytes(*bytes) as usize)
        else {
            return Ok(None);
        };
        // Checked before the rest arrives, so that no memory is used for a frame that will be rejected.
        if length == 0 || length > self.max_payload + 1 {
            return Err(ConnectionError::Length { length: length.saturating_sub(1), max: self.max_payload });
        }
        if self.buffered.len() < HEADER_BYTES + length {
            return Ok(None);
        }
        let mut frame = self.buffered.split_to(HEADER_BYTES + length).freeze();
        frame.advance(4);
        let checksum = frame.get_u32_le();
        if self.verify_checksums && crc32fast::hash(&frame) != checksum {
            return Err(ConnectionError::Checksum);
        }
        let channel = frame.get_u8();
        Ok(Some(Frame { channel, payload: frame }))
    }

    /// Number of bytes of an incomplete frame in the buffer.
    pub fn buffered(&self) -> usize {
        self.buffered.len()
    }
}

#[cfg(test)]
mod tests;
