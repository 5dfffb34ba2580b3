//! Choice of the site for each call at one traffic loop, by the newest routing table.
//!
//! The loop counts the calls it hands over and watches how they end, so that it stops sending to a failing site at once
//! instead of with the next table.

use crate::types::{Destination, Fault, Handover, HandoverOutcome, RemoteRoute, RoutingTable};
use basaltward_membership::{Micros, Site, SiteMap};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;

/// First pause of a site after a failed call; each further failure doubles it.
const MIN_PAUSE: Micros = 100_000;
/// Longest pause of a site.
const MAX_PAUSE: Micros = 3_200_000;
/// Share of refused calls above which a refusal pauses the site. A single refusal may be chance, a quarter is not.
const MAX_REFUSED_SHARE: f32 = 0.25;
/// A site counts as silent when nothing was received for this multiple of the expected latency.
const SILENCE_FACTOR: u64 = 2;
/// A site never counts as silent after less than this time.
const MIN_SILENCE: Micros = 250_000;

/// State of a site as this loop has observed it.
#[derive(Clone, Copy, Debug, Default)]
struct SiteHealth {
    /// Calls handed over that have not ended yet.
    in_flight: u32,
    /// Time of the last answer, or of the first handover after no call was in flight, whichever is later.
    silent_since: Micros,
    /// Expected latency at the last handover.
    expected_latency: Micros,
    /// No calls go there before this time.
    paused_until: Micros,
    /// Length of the last pause; 0 once a call was served again.
    pause: Micros,
    /// Share of recent calls that were refused.
    refused_share: f32,
}

/// Chooses the destination of each call at one loop.
#[derive(Debug)]
pub struct Router {
    site_map: SiteMap,
    rng: StdRng,
    /// Number of the table that `sent` counts for.
    table_number: u64,
    /// Calls handed over by that table, by function and site.
    sent: HashMap<(u32, Site), u16>,
    sites: Vec<SiteHealth>,
    fault: Option<Fault>,
}

impl Router {
    /// A router for one loop. The same seed gives the same random choices.
    pub fn new(site_map: SiteMap, seed: u64) -> Self {
        let site_count = site_map.sites().last().map_or(0, |last| usize::from(*last) + 1);
        let rng = StdRng::seed_from_u64(seed);
        Self {
            site_map,
            rng,
            table_number: 0,
            sent: HashMap::new(),
            sites: vec![SiteHealth::default(); site_count],
            fault: None,
        }
    }

    /// Chooses where to serve a call that has `patience` left until its deadline. A call that was already handed over by
    /// another site is always served here, so a call crosses between sites at most once.
    pub fn choose(
        &mut self,
        now: Micros,
        table: Option<&RoutingTable>,
        function: u32,
        patience: Micros,
        handed_over: bool,
    ) -> Destination {
        let Some(table) = table
            .filter(|t| now < t.valid_until && (!handed_over || self.fault == Some(Fault::UnboundedHops)))
        else {
            return Destination::Local;
        };
        let Some(row) = table.rows.get(function as usize) else { return Destination::Local };
        if table.number != self.table_number {
            self.table_number = table.number;
            self.sent.clear();
        }
        let mut draw = self.rng.random::<u16>();
        let drawn = row.remote_routes.iter().find(|route| {
            let taken = draw < route.share;
            draw = draw.saturating_sub(route.share);
            taken
        });
        // If it would be late here, any route that is in time and below its limit is better.
        let late = row.local_latency > patience;
        let in_time = row.remote_routes.iter().filter(|route| late && route.expected_latency <= patience);
        let route = drawn
            .into_iter()
            .chain(in_time)
            .find(|route| self.accepts(now, function, route, patience, row.local_latency));
        let Some(route) = route.copied() else { return Destination::Local };
        self.record_sent(now, function, &route);
        Destination::Remote { site: route.site, peer: route.peer }
    }

    /// Records the end of a call that this loop handed over.
    pub fn handover_ended(&mut self, now: Micros, handover: &Handover) {
        let site = self.site_map.site_of(handover.to);
        let Some(health) = site.and_then(|site| self.sites.get_mut(usize::from(site))) else { return };
        health.in_flight = health.in_flight.saturating_sub(1);
        let refused = f32::from(u8::from(handover.outcome == HandoverOutcome::Refused));
        health.refused_share += (refused - health.refused_share) * 0.1;
        let failed = match handover.outcome {
            HandoverOutcome::Served => {
                (health.silent_since, health.pause) = (now, 0);
                return;
            }
            HandoverOutcome::Refused => {
                health.silent_since = now;
                health.refused_share > MAX_REFUSED_SHARE
            }
            HandoverOutcome::Unreached | HandoverOutcome::Lost => true,
        };
        // Calls that were in flight together also fail together; that counts as one failure.
        if failed && now >= health.paused_until {
            health.pause = (health.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
            health.paused_until = now + health.pause;
        }
    }

    /// Injects a fault that the tests have to detect.
    #[doc(hidden)]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn accepts(
        &self,
        now: Micros,
        function: u32,
        route: &RemoteRoute,
        patience: Micros,
        local_latency: Micros,
    ) -> bool {
        let Some(health) = self.sites.get(usize::from(route.site)) else { return false };
        let late = route.expected_latency > patience && local_latency <= route.expected_latency;
        let silent = health.in_flight > 0
            && now.saturating_sub(health.silent_since)
                > (health.expected_latency * SILENCE_FACTOR).max(MIN_SILENCE);
        let sent = self.sent.get(&(function, route.site)).copied().unwrap_or(0);
        // After a pause a single call probes the site; no other follows until it has ended.
        let probing = health.pause > 0 && health.in_flight > 0;
        !late && !silent && now >= health.paused_until && !probing && sent < route.call_limit
    }

    fn record_sent(&mut self, now: Micros, function: u32, route: &RemoteRoute) {
        *self.sent.entry((function, route.site)).or_default() += 1;
        let Some(health) = self.sites.get_mut(usize::from(route.site)) else { return };
        if health.in_flight == 0 {
            health.silent_since = now;
        }
        health.in_flight += 1;
        health.expected_latency = route.expected_latency;
    }
}
