//! Unit tests of [`super`] that use private items.

use super::*;

fn message(updates: Vec<Update>) -> Message {
    let incarnation = Incarnation { start: 40_000_000_000, bump: 3 };
    let kind = MessageKind::SyncRequest { salt: 200, blocks: BlockDigests([255; DIGEST_BLOCKS]) };
    let facts = vec![Fact { owner: 3, key: 1, version: (9, 9), ttl_ms: 4, value: vec![7; 5] }];
    Message { fleet: 9, from: 299, incarnation, leaving: false, digest: u32::MAX, kind, updates, facts }
}

#[test]
fn messages_round_trip_and_invalid_datagrams_are_rejected() {
    let incarnation = Incarnation { start: 1 << 63, bump: u32::MAX };
    let update = Update { member: MemberId::MAX, incarnation, state: MemberState::Stopped };
    assert_eq!(update_bytes(&update, 0), MAX_UPDATE_BYTES);
    let empty = message(Vec::new());
    let full = message(vec![update; empty.remaining_capacity() / MAX_UPDATE_BYTES]);
    let bytes = full.encode().expect("it fits");
    assert!(bytes.len() > 220 && bytes.len() <= MAX_DATAGRAM_BYTES);
    assert_eq!(Message::decode(&bytes), Ok(full));
    assert_eq!(Message::decode(&[]), Err(WireError::Length(0)));
    assert_eq!(Message::decode(&[0; 300]), Err(WireError::Length(300)));
    assert_eq!(Message::decode(&[2, 0]), Err(WireError::Version(2)));
    for cut in 1..bytes.len() {
        assert_eq!(Message::decode(&bytes[..cut]), Err(WireError::Malformed), "{cut}");
    }
    let longer = [bytes, vec![0]].concat();
    assert_eq!(Message::decode(&longer), Err(WireError::Malformed));
}
