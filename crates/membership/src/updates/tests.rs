//! Unit tests of [`super`] that use private items.

use super::*;
use crate::types::{Incarnation, MemberState};

#[test]
fn each_update_is_transmitted_up_to_its_limit_and_newer_updates_replace_older_ones() {
    let update =
        |member, bump| Update { member, incarnation: Incarnation { start: 1, bump }, state: MemberState::Up };
    let mut updates = UpdateQueue::default();
    (0..3).for_each(|member| updates.add(update(member, 0), true));
    updates.add(update(1, 1), true);
    let two = update_bytes(&update(0, 0), 0) * 2;
    assert_eq!(updates.take_for_datagram(two, 2, 0, None), [update(0, 0), update(1, 1)]);
    assert_eq!(updates.take_for_datagram(two, 2, 0, None), [update(2, 0), update(0, 0)]);
    assert_eq!(updates.take_for_datagram(two, 2, 0, Some(update(1, 1))), [update(1, 1)]);
    assert_eq!(updates.take_for_datagram(two, 2, 0, None), [update(2, 0)]);
    assert!(updates.is_empty() && updates.transmissions.is_empty());
    updates.add(update(1, 2), true);
    updates.add(update(2, 1), false);
    updates.remove_covered_by_digest();
    assert_eq!((updates.len(), updates.transmissions.len()), (1, 1));
}
