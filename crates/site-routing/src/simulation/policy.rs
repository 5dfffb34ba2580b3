//! Policies for choosing a site: that of this crate, and others to compare it with.

use super::Simulation;
use crate::types::Destination;
use basaltward_membership::{MemberId, Micros, Site};
use rand::RngExt;

/// How a site is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The routing tables of this crate.
    SiteRouting,
    /// Always the client's own site.
    HomeOnly,
    /// The nearest site that is not full, by snapshots four times a second.
    NearestFirst,
    /// A random site with a free copy, by snapshots four times a second.
    RandomWarm,
    /// The site with the fewest calls in flight, by snapshots four times a second.
    LeastQueue,
    /// The better of the client's site and a random one, by snapshots four times a second.
    TwoRandom,
    /// The site with the lowest latency, by the actual state of all sites at that moment.
    Oracle,
}

/// State of a site at the last snapshot.
#[derive(Clone, Debug, Default)]
pub(super) struct Snapshot {
    up: bool,
    full: bool,
    in_flight: usize,
    /// By function, whether a call would be started at once.
    warm: Vec<bool>,
    /// By function, the estimated latency of a call.
    estimates: Vec<Micros>,
}

impl Simulation {
    pub(super) fn take_snapshots(&mut self) {
        if matches!(self.settings.policy, Policy::SiteRouting | Policy::HomeOnly | Policy::Oracle) {
            return;
        }
        let functions = 0..self.settings.functions.len() as u32;
        let cores = self.settings.workers * self.settings.cores;
        let snapshot = |s: &super::SiteState| Snapshot {
            up: s.up,
            full: s.workers.running() >= cores || s.workers.waiting() > 0,
            in_flight: s.workers.waiting() + s.workers.running() as usize,
            warm: functions.clone().map(|f| s.workers.can_start_now(self.now, f)).collect(),
            estimates: functions.clone().map(|f| s.workers.estimate_latency(self.now, f)).collect(),
        };
        self.snapshots = self.sites.iter().map(snapshot).collect();
    }

    pub(super) fn choose_destination(
        &mut self,
        gateway: MemberId,
        function: u32,
        patience: Micros,
        handed_over: bool,
    ) -> Destination {
        let local_site = self.site_of(gateway);
        if self.settings.policy == Policy::SiteRouting {
            let gateway = &mut self.gateways[usize::from(gateway)];
            return gateway.router.choose(self.now, gateway.table.as_ref(), function, patience, handed_over);
        }
        let site = if handed_over { local_site } else { self.choose_by_policy(local_site, function) };
        if site == local_site {
            return Destination::Local;
        }
        let gateways = self.settings.gateways;
        Destination::Remote { site, peer: u16::from(site) * gateways + self.rng.random_range(0..gateways) }
    }

    fn choose_by_policy(&mut self, local_site: Site, function: u32) -> Site {
        let sites = 0..self.settings.sites;
        let snapshot = |site: Site| &self.snapshots[usize::from(site)];
        let f = function as usize;
        let rtt =
            |site: Site| if site == local_site { 0 } else { self.links.link(local_site, site).delay * 2 };
        match self.settings.policy {
            Policy::SiteRouting | Policy::HomeOnly => local_site,
            Policy::NearestFirst => {
                let available = sites.filter(|s| snapshot(*s).up && !snapshot(*s).full);
                available.min_by_key(|s| rtt(*s)).unwrap_or(local_site)
            }
            Policy::RandomWarm => {
                let warm: Vec<_> = sites.filter(|s| snapshot(*s).up && snapshot(*s).warm[f]).collect();
                if warm.is_empty() { local_site } else { warm[self.rng.random_range(0..warm.len())] }
            }
            Policy::LeastQueue => {
                let up = sites.filter(|s| snapshot(*s).up);
                up.min_by_key(|s| (snapshot(*s).in_flight, rtt(*s))).unwrap_or(local_site)
            }
            Policy::TwoRandom => {
                let random_site = self.rng.random_range(sites);
                let snapshot = |site: Site| &self.snapshots[usize::from(site)];
                let cost = |s: &Site| {
                    snapshot(*s).estimates[f]
                        + if *s == local_site { 0 } else { 2 * self.settings.link_delay }
                };
                let candidates = [local_site, random_site].into_iter().filter(|s| snapshot(*s).up);
                candidates.min_by_key(cost).unwrap_or(local_site)
            }
            Policy::Oracle => {
                let cost = |s: Site| {
                    let rtt = if s == local_site { Some(0) } else { self.links.round_trip(local_site, s) };
                    let state = &self.sites[usize::from(s)];
                    Some(rtt.filter(|_| state.up)? + state.workers.estimate_latency(self.now, function))
                };
                sites
                    .filter_map(|s| Some((cost(s)?, s != local_site, s)))
                    .min()
                    .map_or(local_site, |(.., s)| s)
            }
        }
    }
}
