//! Links between sites, modelled as persistent TCP connections: a lost message arrives later after retransmission, and
//! messages on a cut link arrive once the cut has healed.

use basaltward_membership::{Micros, Site};
use rand::RngExt;
use rand::rngs::StdRng;

/// One direction of the link between two sites.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DirectedLink {
    /// Minimum delay of a message.
    pub delay: Micros,
    /// Highest additional random delay.
    pub jitter: Micros,
    /// Probability, from 0 to 1, that a transmission is lost and repeated.
    pub loss: f64,
    /// Whether no messages get through.
    pub cut: bool,
}

/// Delay of the first retransmission; it doubles with each further one.
const RETRANSMIT_DELAY: Micros = 200_000;

/// All directed links, by sender and receiver.
#[derive(Debug)]
pub(crate) struct Links {
    sites: usize,
    links: Vec<DirectedLink>,
}

impl Links {
    pub fn new(sites: Site, delay: Micros) -> Self {
        let sites = usize::from(sites);
        let link = |index: usize| {
            // The sites form a ring; the delay grows with the distance on it.
            let distance = (index / sites).abs_diff(index % sites);
            let distance = distance.min(sites - distance).max(1) as u64;
            let same_site = index / sites == index % sites;
            let delay = if same_site { 200 } else { delay * (1 + distance) / 2 };
            DirectedLink { delay, jitter: delay / 10, loss: 0.0, cut: false }
        };
        Self { sites, links: (0..sites * sites).map(link).collect() }
    }

    pub fn link(&self, from: Site, to: Site) -> &DirectedLink {
        &self.links[usize::from(from) * self.sites + usize::from(to)]
    }

    pub fn link_mut(&mut self, from: Site, to: Site) -> &mut DirectedLink {
        &mut self.links[usize::from(from) * self.sites + usize::from(to)]
    }

    /// Draws the delay of a message; `None` if the link is cut.
    pub fn sample_delay(&self, rng: &mut StdRng, from: Site, to: Site) -> Option<Micros> {
        let link = self.link(from, to);
        let mut delay = link.delay + rng.random_range(0..=link.jitter);
        let mut retransmit_delay = RETRANSMIT_DELAY;
        while link.loss > 0.0 && rng.random_bool(link.loss.min(0.9)) {
            delay += retransmit_delay;
            retransmit_delay *= 2;
        }
        (!link.cut).then_some(delay)
    }

    /// Round-trip time without jitter and loss, for [`super::Policy::Oracle`]; `None` if either direction is cut.
    pub fn round_trip(&self, a: Site, b: Site) -> Option<Micros> {
        let (there, back) = (self.link(a, b), self.link(b, a));
        (!there.cut && !back.cut).then(|| there.delay + back.delay)
    }
}
