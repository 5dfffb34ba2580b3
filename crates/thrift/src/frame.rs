use crate::ThriftError;
use bytes::{Buf, Bytes, BytesMut};

/// Bytes of a frame's length.
const LENGTH: usize = 4;

/// Bounds of frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameLimits {
    /// Most bytes of one frame.
    pub max_bytes: usize,
}

/// Takes the next whole frame out of the input, without its length. A length out of bounds is told as soon as
/// it is there, whatever follows: nothing of such a frame is waited for.
///
/// # Errors
/// Where the length is out of bounds. The input can't be read on then.
pub fn next_frame(frames: FrameLimits, input: &mut BytesMut) -> Result<Option<Bytes>, ThriftError> {
    let Some(head) = input.first_chunk::<LENGTH>() else { return Ok(None) };
    let told = i32::from_be_bytes(*head);
    let length = usize::try_from(told).ok().filter(|l| (1..=frames.max_bytes).contains(l));
    let length = length.ok_or(ThriftError::FrameLength(told))?;
    if input.len() < LENGTH + length {
        return Ok(None);
    }
    input.advance(LENGTH);
    Ok(Some(input.split_to(length).freeze()))
}
