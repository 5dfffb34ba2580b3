//! Tests of [`super`], which need its inside.

use super::*;
use proptest::prelude::*;

const MOST: usize = 300;

type Frames = Vec<(u8, Vec<u8>)>;

fn frames() -> impl Strategy<Value = Frames> {
    proptest::collection::vec((any::<u8>(), proptest::collection::vec(any::<u8>(), 0..=MOST)), 0..12)
}

fn written(frames: &[(u8, Vec<u8>)]) -> BytesMut {
    let mut bytes = BytesMut::new();
    frames.iter().for_each(|(channel, payload)| write_frame(*channel, payload, &mut bytes));
    bytes
}

/// All that comes of these bytes, in pieces of these lengths in turn.
fn read(bytes: &[u8], pieces: &[usize]) -> (Frames, Result<usize, ConnectionError>) {
    let (mut decoder, mut came) = (FrameDecoder::new(MOST), Vec::new());
    let (mut rest, mut pieces) = (bytes, pieces.iter().cycle());
    loop {
        let piece = pieces.next().map_or(rest.len(), |piece| rest.len().min(*piece));
        decoder.push(&mut BytesMut::from(&rest[..piece]));
        rest = &rest[piece..];
        loop {
            match decoder.next_frame() {
                Ok(Some(Frame { channel, payload })) => came.push((channel, payload.to_vec())),
                Ok(None) => break,
                Err(why) => return (came, Err(why)),
            }
        }
        assert!(decoder.buffered() <= HEADER_BYTES + 1 + MOST, "no more is held than one frame");
        if rest.is_empty() {
            return (came, Ok(decoder.buffered()));
        }
    }
}

proptest! {
    #[test]
    fn bytes_cut_anywhere_give_the_same_frames(
        frames in frames(),
        pieces in proptest::collection::vec(1usize..40, 1..20),
        cut in any::<prop::sample::Index>(),
    ) {
        let bytes = written(&frames);
        prop_assert_eq!(read(&bytes, &pieces), (frames.clone(), Ok(0)));
        let cut = cut.index(bytes.len() + 1);
        let (came, held) = read(&bytes[..cut], &pieces);
        prop_assert_eq!(&came[..], &frames[..came.len()]);
        prop_assert_eq!(held, Ok(cut - written(&came).len()));
    }

    #[test]
    fn a_changed_byte_costs_what_comes_after_it_and_nothing_before(
        frames in frames(),
        pieces in proptest::collection::vec(1usize..400, 1..5),
        (at, bit) in (any::<prop::sample::Index>(), 0u8..8),
    ) {
        let mut bytes = written(&frames);
        prop_assume!(!bytes.is_empty());
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        let (came, _) = read(&bytes, &pieces);
        let whole = (0..=frames.len()).rev().find(|n| written(&frames[..*n]).len() <= at);
        prop_assert_eq!(&came[..], &frames[..whole.unwrap_or(0)]);
    }

    #[test]
    fn what_is_no_frame_is_an_error_and_nothing_else(bytes in proptest::collection::vec(any::<u8>(), 0..2000)) {
        let _ = read(&bytes, &[7, 300]);
    }
}

#[test]
fn a_length_beyond_the_bound_is_refused_before_anything_of_it_comes() {
    let longest = (9, vec![1; MOST]);
    assert_eq!(read(&written(std::slice::from_ref(&longest)), &[]), (vec![longest], Ok(0)));
    for told in [0, MOST as u32 + 2, u32::MAX] {
        let (came, why) = read(&told.to_le_bytes(), &[]);
        assert!(came.is_empty() && matches!(why, Err(ConnectionError::Length { .. })), "{told}: {why:?}");
    }
}
