use crate::ThriftError;
use bytes::{Buf, Bytes, BytesMut};

/// Size of the length field of a frame, in bytes.
const LENGTH_FIELD: usize = 4;

/// Size limits of frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameLimits {
    /// Maximum length of a frame, in bytes, without the length field.
    pub max_bytes: usize,
}

/// Removes the next complete frame from `input` and returns it without its length field. `None` if more input
/// is needed. An invalid length is reported as soon as the length field is complete, without waiting for the
/// frame.
///
/// # Errors
/// [`ThriftError::FrameLength`] if the length is zero, negative or exceeds the limit. The input can't be read any
/// further then.
pub fn next_frame(limits: FrameLimits, input: &mut BytesMut) -> Result<Option<Bytes>, ThriftError> {
    let Some(header) = input.first_chunk::<LENGTH_FIELD>() else { return Ok(None) };
    let declared = i32::from_be_bytes(*header);
    let length = usize::try_from(declared).ok().filter(|l| (1..=limits.max_bytes).contains(l));
    let length = length.ok_or(ThriftError::FrameLength(declared))?;
    if input.len() < LENGTH_FIELD + length {
        return Ok(None);
    }
    input.advance(LENGTH_FIELD);
    Ok(Some(input.split_to(length).freeze()))
}
