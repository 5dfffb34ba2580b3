//! Which gateways hold a journal: rendezvous by the writer's number over those of other sites that are live, each of
//! another site while there are sites enough. Who holds it stays while nothing speaks against it.

use basaltward_membership::{MemberId, SiteMap};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What speaks for or against a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CandidateState {
    /// It holds the journal.
    Current,
    /// It is live.
    Live,
    /// It is live, but did not acknowledge in time or had no room, not long ago.
    Suspect,
}

/// Up to so many holders for our journal, best first. Those not live have no standing.
pub fn select_holders(
    places: &SiteMap,
    seed: u64,
    most: usize,
    standing: impl Fn(MemberId) -> Option<CandidateState>,
) -> Vec<MemberId> {
    let rank = |of: MemberId| {
        let mut bytes = [0; 4];
        bytes[..2].copy_from_slice(&places.own().to_le_bytes());
        bytes[2..].copy_from_slice(&of.to_le_bytes());
        xxh3_64_with_seed(&bytes, seed)
    };
    let others = (0..places.len() as MemberId).filter(|of| places.site_of(*of) != Some(places.own_site()));
    let mut ranked: Vec<_> = others.filter_map(|of| Some((standing(of)?, rank(of), of))).collect();
    ranked.sort_unstable();
    let mut chosen: Vec<MemberId> = Vec::new();
    // One that is in doubt at another site serves less than one that answers at the same.
    for (doubted, elsewhere) in [(false, true), (false, false), (true, true), (true, false)] {
        for (standing, _, of) in &ranked {
            let apart = chosen.iter().all(|other| places.site_of(*other) != places.site_of(*of));
            if chosen.len() < most
                && !chosen.contains(of)
                && (*standing == CandidateState::Suspect) == doubted
                && (apart || !elsewhere)
            {
                chosen.push(*of);
            }
        }
    }
    chosen
}
