//! Tests of the private parts of [`super`].

use super::*;
use crate::state::{MAX_PERMITS, Permit, Plan};
use basaltward_membership::MAX_DATAGRAM_BYTES;

#[test]
fn the_largest_state_fits_into_a_datagram_and_round_trips() {
    let subject = |worker| Subject::Worker(u32::MAX - worker);
    let permit =
        |worker| Permit { subject: subject(worker), number: u16::MAX, incarnation: u16::MAX, returned: true };
    let plan = Some(Plan { number: u16::MAX, to: u32::MAX, from: u32::MAX, rollback: true });
    let value =
        PermitState { permits: (0..MAX_PERMITS as u32).map(permit).collect(), last_number: u16::MAX, plan };
    let epoch = Epoch { ms: u64::MAX, by: MemberId::MAX };
    let stored = Stored { epoch, version: u32::MAX, value };
    let accept = VoterRequest::Accept { heartbeat: u32::MAX, incarnation: u32::MAX, stored: stored.clone() };
    let promise = VoterResponse::Promise {
        epoch,
        heartbeat: u32::MAX,
        incarnation: u32::MAX,
        held: Some(stored.clone()),
    };
    let halt = Halt { count: u32::MAX, on: true };
    for body in [Body::VoterRequest(accept), Body::VoterResponse(promise), Body::State(Some(stored), halt)] {
        let message = Message { fleet: u16::MAX, from: MemberId::MAX, body };
        let bytes = message.write().expect("it fits");
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES && bytes.len() > 200, "{}", bytes.len());
        assert!((0..bytes.len()).all(|cut| Message::read(&bytes[..cut]).is_err()));
        assert_eq!(Message::read(&bytes), Ok(message));
    }
}
