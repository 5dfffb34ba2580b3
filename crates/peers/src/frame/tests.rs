//! Tests of the frame decoder that need its private items.

use super::*;
use proptest::prelude::*;

const MAX_PAYLOAD: usize = 300;

type Frames = Vec<(u8, Vec<u8>)>;

fn frames() -> impl Strategy<Value = Frames> {
    proptest::collection::vec((any::<u8>(), proptest::collection::vec(any::<u8>(), 0..=MAX_PAYLOAD)), 0..12)
}

fn encode(frames: &[(u8, Vec<u8>)]) -> BytesMut {
    let mut bytes = BytesMut::new();
    frames.iter().for_each(|(channel, payload)| write_frame(*channel, payload, &mut bytes));
    bytes
}

/// Decodes bytes split into pieces of these lengths in turn. Returns the frames, and the number of bytes left or the
/// error.
fn decode(bytes: &[u8], pieces: &[usize]) -> (Frames, Result<usize, ConnectionError>) {
    let (mut decoder, mut decoded) = (FrameDecoder::new(MAX_PAYLOAD), Vec::new());
    let (mut rest, mut pieces) = (bytes, pieces.iter().cycle());
    loop {
        let piece = pieces.next().map_or(rest.len(), |piece| rest.len().min(*piece));
        decoder.push(&mut BytesMut::from(&rest[..piece]));
        rest = &rest[piece..];
        loop {
            match decoder.next_frame() {
                Ok(Some(Frame { channel, payload })) => decoded.push((channel, payload.to_vec())),
                Ok(None) => break,
                Err(error) => return (decoded, Err(error)),
            }
        }
        assert!(decoder.buffered() <= HEADER_BYTES + 1 + MAX_PAYLOAD, "no more than one frame is buffered");
        if rest.is_empty() {
            return (decoded, Ok(decoder.buffered()));
        }
    }
}

proptest! {
    #[test]
    fn bytes_split_anywhere_decode_to_the_same_frames(
        frames in frames(),
        pieces in proptest::collection::vec(1usize..40, 1..20),
        cut in any::<prop::sample::Index>(),
    ) {
        let bytes = encode(&frames);
        prop_assert_eq!(decode(&bytes, &pieces), (frames.clone(), Ok(0)));
        let cut = cut.index(bytes.len() + 1);
        let (decoded, buffered) = decode(&bytes[..cut], &pieces);
        prop_assert_eq!(&decoded[..], &frames[..decoded.len()]);
        prop_assert_eq!(buffered, Ok(cut - encode(&decoded).len()));
    }

    #[test]
    fn a_corrupted_byte_delivers_only_the_frames_before_it(
        frames in frames(),
        pieces in proptest::collection::vec(1usize..400, 1..5),
        (position, bit) in (any::<prop::sample::Index>(), 0u8..8),
    ) {
        let mut bytes = encode(&frames);
        prop_assume!(!bytes.is_empty());
        let position = position.index(bytes.len());
        bytes[position] ^= 1 << bit;
        let (decoded, _) = decode(&bytes, &pieces);
        let whole = (0..=frames.len()).rev().find(|n| encode(&frames[..*n]).len() <= position);
        prop_assert_eq!(&decoded[..], &frames[..whole.unwrap_or(0)]);
    }

    #[test]
    fn arbitrary_bytes_neither_panic_nor_exceed_the_buffer(
        bytes in proptest::collection::vec(any::<u8>(), 0..2000),
    ) {
        let _ = decode(&bytes, &[7, 300]);
    }
}

#[test]
fn a_length_beyond_the_bound_is_rejected_before_the_payload_arrives() {
    let longest = (9, vec![1; MAX_PAYLOAD]);
    assert_eq!(decode(&encode(std::slice::from_ref(&longest)), &[]), (vec![longest], Ok(0)));
    for length in [0, MAX_PAYLOAD as u32 + 2, u32::MAX] {
        let (decoded, error) = decode(&length.to_le_bytes(), &[]);
        assert!(
            decoded.is_empty() && matches!(error, Err(ConnectionError::Length { .. })),
            "{length}: {error:?}"
        );
    }
}
