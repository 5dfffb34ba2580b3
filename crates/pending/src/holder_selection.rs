//! Selects the holders of a journal: rendezvous hashing by the writer's index over live gateways of other sites, from
//! different sites as long as there are enough of them. A current holder stays selected unless it becomes suspect.

use basaltward_membership::{MemberId, SiteMap};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// State of a candidate; lower is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CandidateState {
    /// It is already a holder.
    Current,
    /// It is live.
    Live,
    /// It is live, but recently failed to acknowledge in time or had no storage left.
    Suspect,
}

/// Selects up to `max_holders` holders for the local journal, best first. Candidates without a state are not live.
pub fn select_holders(
    site_map: &SiteMap,
    seed: u64,
    max_holders: usize,
    state: impl Fn(MemberId) -> Option<CandidateState>,
) -> Vec<MemberId> {
    let rank = |of: MemberId| {
        let mut bytes = [0; 4];
        bytes[..2].copy_from_slice(&site_map.own().to_le_bytes());
        bytes[2..].copy_from_slice(&of.to_le_bytes());
        xxh3_64_with_seed(&bytes, seed)
    };
    let others =
        (0..site_map.len() as MemberId).filter(|of| site_map.site_of(*of) != Some(site_map.own_site()));
    let mut ranked: Vec<_> = others.filter_map(|of| Some((state(of)?, rank(of), of))).collect();
    ranked.sort_unstable();
    let mut selected: Vec<MemberId> = Vec::new();
    // A suspect gateway of another site is a worse choice than a healthy one of a site that is already used.
    for (suspect, other_site_only) in [(false, true), (false, false), (true, true), (true, false)] {
        for (state, _, of) in &ranked {
            let other_site = selected.iter().all(|other| site_map.site_of(*other) != site_map.site_of(*of));
            if selected.len() < max_holders
                && !selected.contains(of)
                && (*state == CandidateState::Suspect) == suspect
                && (other_site || !other_site_only)
            {
                selected.push(*of);
            }
        }
    }
    selected
}
