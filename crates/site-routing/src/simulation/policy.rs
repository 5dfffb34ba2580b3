//! Ways to choose a site, ours and those it is measured against.

use super::Simulation;
use crate::types::Destination;
use basaltward_membership::{MemberId, Micros, Site};
use rand::RngExt;

/// How a site is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// By this room.
    SiteRouting,
    /// Always the client's own site.
    HomeOnly,
    /// The nearest site that is not full, as told four times a second.
    NearestFirst,
    /// Any site that has a copy, as told four times a second.
    RandomWarm,
    /// The site with the fewest calls in hand, as told four times a second.
    LeastQueue,
    /// The better of our site and another at random, as told four times a second.
    TwoRandom,
    /// The site that answers first, by all that is true at this moment.
    Oracle,
}

/// A site as all were told of it last.
#[derive(Clone, Debug, Default)]
pub(super) struct Snapshot {
    up: bool,
    full: bool,
    in_flight: usize,
    /// Functions of which a call would be begun at once.
    warm: Vec<bool>,
    estimates: Vec<Micros>,
}

impl Simulation {
    pub(super) fn take_snapshots(&mut self) {
        if matches!(self.settings.policy, Policy::SiteRouting | Policy::HomeOnly | Policy::Oracle) {
            return;
        }
        let functions = 0..self.settings.functions.len() as u32;
        let cores = self.settings.workers * self.settings.cores;
        let of = |s: &super::SiteState| Snapshot {
            up: s.up,
            full: s.workers.running() >= cores || s.workers.waiting() > 0,
            in_flight: s.workers.waiting() + s.workers.running() as usize,
            warm: functions.clone().map(|f| s.workers.can_start_now(self.now, f)).collect(),
            estimates: functions.clone().map(|f| s.workers.estimate_latency(self.now, f)).collect(),
        };
        self.snapshots = self.sites.iter().map(of).collect();
    }

    pub(super) fn choose_destination(
        &mut self,
        at: MemberId,
        function: u32,
        patience: Micros,
        handed: bool,
    ) -> Destination {
        let here = self.site_of(at);
        if self.settings.policy == Policy::SiteRouting {
            let gateway = &mut self.gateways[usize::from(at)];
            return gateway.router.choose(self.now, gateway.table.as_ref(), function, patience, handed);
        }
        let site = if handed { here } else { self.choose_by_policy(here, function) };
        if site == here {
            return Destination::Local;
        }
        let gateways = self.settings.gateways;
        Destination::Remote { site, peer: u16::from(site) * gateways + self.rng.random_range(0..gateways) }
    }

    fn choose_by_policy(&mut self, here: Site, function: u32) -> Site {
        let sites = 0..self.settings.sites;
        let told = |site: Site| &self.snapshots[usize::from(site)];
        let f = function as usize;
        let way = |site: Site| if site == here { 0 } else { self.links.link(here, site).delay * 2 };
        match self.settings.policy {
            Policy::SiteRouting | Policy::HomeOnly => here,
            Policy::NearestFirst => {
                let open = sites.filter(|s| told(*s).up && !told(*s).full);
                open.min_by_key(|s| way(*s)).unwrap_or(here)
            }
            Policy::RandomWarm => {
                let warm: Vec<_> = sites.filter(|s| told(*s).up && told(*s).warm[f]).collect();
                if warm.is_empty() { here } else { warm[self.rng.random_range(0..warm.len())] }
            }
            Policy::LeastQueue => {
                let up = sites.filter(|s| told(*s).up);
                up.min_by_key(|s| (told(*s).in_flight, way(*s))).unwrap_or(here)
            }
            Policy::TwoRandom => {
                let drawn = self.rng.random_range(sites);
                let told = |site: Site| &self.snapshots[usize::from(site)];
                let cost = |s: &Site| {
                    told(*s).estimates[f] + if *s == here { 0 } else { 2 * self.settings.link_delay }
                };
                let both = [here, drawn].into_iter().filter(|s| told(*s).up);
                both.min_by_key(cost).unwrap_or(here)
            }
            Policy::Oracle => {
                let cost = |s: Site| {
                    let way = if s == here { Some(0) } else { self.links.round_trip(here, s) };
                    let state = &self.sites[usize::from(s)];
                    Some(way.filter(|_| state.up)? + state.workers.estimate_latency(self.now, function))
                };
                sites.filter_map(|s| Some((cost(s)?, s != here, s))).min().map_or(here, |(.., s)| s)
            }
        }
    }
}
