//! Unit tests of [`super`] that use private items.

use super::*;
use crate::MAX_DATAGRAM_BYTES;

#[test]
fn the_largest_page_fits_into_a_datagram_and_round_trips() {
    let incarnation = Incarnation { start: u64::MAX, bump: u32::MAX };
    let member = MemberStatus { state: MemberState::Stopped, incarnation, heard_ms: Some(u64::MAX) };
    let (tag, digest, own, size, first) = (u32::MAX, u32::MAX, MemberId::MAX, MemberId::MAX, MemberId::MAX);
    let (settled, superseded, part) = (true, true, FleetShare::Alone);
    let (members, calls) = (vec![member; STATUS_PAGE_MEMBERS], vec![u64::MAX; MAX_CALL_COUNTERS]);
    let response =
        StatusResponse { tag, own, size, digest, settled, part, superseded, calls, first, members };
    let bytes = response.encode();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES && bytes.len() > 200, "{}", bytes.len());
    assert_eq!(StatusResponse::decode(&bytes), Ok(response));
    assert!((0..bytes.len()).all(|cut| StatusResponse::decode(&bytes[..cut]).is_err()));
    let request = StatusRequest { tag: 7, first: 300 };
    assert_eq!(StatusRequest::decode(&request.encode()), Ok(request));
}
