//! The owner of an event. All gateways compute the same owner from the configured list and the permits that the
//! voters have agreed on, never from which gateways appear to be live.

use crate::types::Key;
use basaltward_membership::{MemberId, SiteMap};
use basaltward_permits::{PermitState, Subject};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Whether each gateway was taken over and has not returned, by index.
pub fn taken_over(permit_state: &PermitState, site_map: &SiteMap) -> Vec<bool> {
    let mut taken = vec![false; site_map.len()];
    for permit in &permit_state.permits {
        let members: Vec<MemberId> = match permit.subject {
            Subject::Site(site) => site_map.members_at(site).collect(),
            Subject::Gateway(of) => vec![of],
            Subject::Scheduler(_) | Subject::Worker(_) => Vec::new(),
        };
        for of in members {
            taken.get_mut(usize::from(of)).into_iter().for_each(|taken| *taken = true);
        }
    }
    taken
}

/// The owner of an event: the first by rendezvous hashing among the gateways that are not taken over. A gateway that
/// is down but not taken over still owns its events, and no other gateway may run them. The events of a gateway that
/// is taken over are spread evenly over the others.
pub fn owner(key: Key, taken_over: &[bool]) -> Option<MemberId> {
    let candidates = taken_over.iter().enumerate().filter(|(_, taken)| !**taken);
    let weight = |of: usize| xxh3_64_with_seed(&key.0.to_le_bytes(), of as u64);
    candidates.map(|(of, _)| of).max_by_key(|of| weight(*of)).map(|of| of as MemberId)
}

#[cfg(test)]
mod tests {
    use super::*;
    use basaltward_permits::Permit;

    #[test]
    fn only_events_of_taken_over_gateways_move_and_spread_evenly() {
        let keys = || (0..4_000u128).map(|n| Key(n * 0x9e37_79b9_7f4a_7c15_f39c));
        let permit = |subject| Permit { subject, number: 1, incarnation: 0, returned: false };
        let mut permit_state = PermitState::default();
        let site_map = SiteMap::new(vec![0, 0, 1, 1], 0).expect("in the list");
        let before: Vec<_> = keys().map(|key| owner(key, &taken_over(&permit_state, &site_map))).collect();
        assert!(permit_state.add(permit(Subject::Site(1))) && permit_state.add(permit(Subject::Worker(3))));
        let all = taken_over(&permit_state, &site_map);
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
        assert_eq!(taken_over(&permit_state, &site_map), [false, false, false, true]);
    }
}
