//! Whose an event is. All gateways answer alike by the configured list and by what the voters have agreed: never by
//! who each believes to be live.

use crate::types::Key;
use basaltward_membership::{MemberId, SiteMap};
use basaltward_permits::{PermitState, Subject};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Gateways that were taken over and have not returned, by number.
pub fn taken_over(permit_state: &PermitState, places: &SiteMap) -> Vec<bool> {
    let mut taken = vec![false; places.len()];
    for permit in &permit_state.permits {
        let of: Vec<MemberId> = match permit.subject {
            Subject::Site(site) => places.members_at(site).collect(),
            Subject::Gateway(of) => vec![of],
            Subject::Scheduler(_) | Subject::Worker(_) => Vec::new(),
        };
        for of in of {
            taken.get_mut(usize::from(of)).into_iter().for_each(|taken| *taken = true);
        }
    }
    taken
}

/// The owner of an event: the first by rendezvous of those that are not taken over. A gateway that is down and not taken
/// over owns its events still: nobody else may run them. Those of one that is taken over fall to the others evenly.
pub fn owner(key: Key, taken: &[bool]) -> Option<MemberId> {
    let standing = taken.iter().enumerate().filter(|(_, taken)| !**taken);
    let weight = |of: usize| xxh3_64_with_seed(&key.0.to_le_bytes(), of as u64);
    standing.map(|(of, _)| of).max_by_key(|of| weight(*of)).map(|of| of as MemberId)
}

#[cfg(test)]
mod tests {
    use super::*;
    use basaltward_permits::Permit;

    #[test]
    fn only_events_of_those_taken_over_move_and_they_move_evenly() {
        let keys = || (0..4_000u128).map(|n| Key(n * 0x9e37_79b9_7f4a_7c15_f39c));
        let permit = |subject| Permit { subject, number: 1, incarnation: 0, returned: false };
        let mut permit_state = PermitState::default();
        let places = SiteMap::new(vec![0, 0, 1, 1], 0).expect("in the list");
        let before: Vec<_> = keys().map(|key| owner(key, &taken_over(&permit_state, &places))).collect();
        assert!(permit_state.add(permit(Subject::Site(1))) && permit_state.add(permit(Subject::Worker(3))));
        let all = taken_over(&permit_state, &places);
        assert_eq!(all, [false, false, true, true]);
        let after: Vec<_> = keys().map(|key| owner(key, &all)).collect();
        let stays = |owner: &Option<MemberId>| owner.is_some_and(|of| of < 2);
        assert!(before.iter().zip(&after).all(|(was, is)| !stays(was) || was == is));
        for of in 0..2 {
            let count =
                |owners: &[Option<MemberId>]| owners.iter().filter(|owner| **owner == Some(of)).count();
            assert!((900..1_100).contains(&count(&before)) && (1_850..2_150).contains(&count(&after)));
        }
        assert_eq!(owner(Key(1), &[true, true]), None);
        permit_state.remove(Subject::Site(1));
        assert!(permit_state.add(permit(Subject::Gateway(3))));
        assert_eq!(taken_over(&permit_state, &places), [false, false, false, true]);
    }
}
