//! Links between sites, modelled as kept TCP connections are: what is lost comes later, what is cut comes once healed.

use basaltward_membership::{Micros, Site};
use rand::RngExt;
use rand::rngs::StdRng;

/// One way between two sites.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DirectedLink {
    /// Time that a message takes.
    pub delay: Micros,
    /// And up to this more.
    pub jitter: Micros,
    /// Share that is lost and sent again.
    pub loss: f64,
    /// Nothing comes through.
    pub cut: bool,
}

/// A lost message is sent again after this, then after twice that.
const RETRANSMIT_DELAY: Micros = 200_000;

#[derive(Debug)]
pub(crate) struct Links {
    sites: usize,
    links: Vec<DirectedLink>,
}

impl Links {
    pub fn new(sites: Site, delay: Micros) -> Self {
        let sites = usize::from(sites);
        let leg = |at: usize| {
            // Sites stand in a ring: neighbours are near.
            let apart = (at / sites).abs_diff(at % sites);
            let apart = apart.min(sites - apart).max(1) as u64;
            let near = at / sites == at % sites;
            let delay = if near { 200 } else { delay * (1 + apart) / 2 };
            DirectedLink { delay, jitter: delay / 10, loss: 0.0, cut: false }
        };
        Self { sites, links: (0..sites * sites).map(leg).collect() }
    }

    pub fn link(&self, from: Site, to: Site) -> &DirectedLink {
        &self.links[usize::from(from) * self.sites + usize::from(to)]
    }

    pub fn link_mut(&mut self, from: Site, to: Site) -> &mut DirectedLink {
        &mut self.links[usize::from(from) * self.sites + usize::from(to)]
    }

    /// Time that a message takes now; none where the way is cut.
    pub fn sample_delay(&self, rng: &mut StdRng, from: Site, to: Site) -> Option<Micros> {
        let leg = self.link(from, to);
        let mut late = leg.delay + rng.random_range(0..=leg.jitter);
        let mut again = RETRANSMIT_DELAY;
        while leg.loss > 0.0 && rng.random_bool(leg.loss.min(0.9)) {
            late += again;
            again *= 2;
        }
        (!leg.cut).then_some(late)
    }

    /// Time there and back as it truly is, for who sees all.
    pub fn round_trip(&self, a: Site, b: Site) -> Option<Micros> {
        let (there, back) = (self.link(a, b), self.link(b, a));
        (!there.cut && !back.cut).then(|| there.delay + back.delay)
    }
}
