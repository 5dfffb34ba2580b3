//! Tests of the private parts of [`super`].

use super::*;
use crate::state::{MAX_PERMITS, Subject};
use basaltward_membership::MAX_DATAGRAM_BYTES;

#[test]
fn the_largest_status_fits_into_a_datagram_and_round_trips() {
    let permit = |worker| Permit {
        subject: Subject::Worker(worker),
        number: u16::MAX,
        incarnation: u16::MAX,
        returned: true,
    };
    let status = PermitStatus {
        own: u16::MAX,
        leader: Some(u16::MAX),
        at: Some((Epoch { ms: 1 << 48, by: u16::MAX }, u32::MAX)),
        halt: Halt { count: u32::MAX, on: true },
        out: (u16::MAX, u16::MAX),
        unclear: u16::MAX,
        plan: Some((Plan { number: u16::MAX, to: u32::MAX, from: u32::MAX, rollback: true }, u16::MAX)),
        permits: (0..MAX_PERMITS as u32).map(|worker| permit(u32::MAX - worker)).collect(),
    };
    let response = OperatorResponse { tag: u32::MAX, reply: OperatorReply::Status(status) };
    let bytes = response.write();
    assert!(bytes.len() > 200 && bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    assert_eq!(OperatorResponse::read(&bytes), Ok(response));
    assert!((0..bytes.len()).all(|cut| OperatorResponse::read(&bytes[..cut]).is_err()));
}
