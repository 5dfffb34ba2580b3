//! A loop's own part: it reads the newest table and counts at once what it sent by it.

use crate::types::{Destination, Fault, Handover, HandoverOutcome, RemoteRoute, RoutingTable};
use basaltward_membership::{Micros, Site, SiteMap};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;

/// Pause after calls that ended badly, doubled by each further one up to the longest.
const PAUSE: (Micros, Micros) = (100_000, 3_200_000);
/// Refused ones among so many calls pause a site: one refusal is chance, a quarter is none.
const MAX_REFUSED_SHARE: f32 = 0.25;
/// An answer that is late by this multiple of what was expected says that the site is silent.
const SILENCE_FACTOR: u64 = 2;
/// No silence is read from less.
const MIN_SILENCE: Micros = 250_000;

/// What a loop has seen of a site itself.
#[derive(Clone, Copy, Debug, Default)]
struct SiteHealth {
    /// Calls handed over that have not ended.
    in_flight: u32,
    /// Since when there was nothing heard while some were out.
    silent_since: Micros,
    /// What an answer was thought to take at the last hand-over.
    expected_latency: Micros,
    /// Until when nothing goes there.
    paused_until: Micros,
    /// The pause that made it so.
    pause: Micros,
    /// Share refused of late.
    refused_share: f32,
}

/// Chooses for each call of a loop, by the newest table.
#[derive(Debug)]
pub struct Router {
    site_map: SiteMap,
    rng: StdRng,
    /// Number of the table by which `sent` was counted.
    table_number: u64,
    /// Sent since, by function and site.
    sent: HashMap<(u32, Site), u16>,
    sites: Vec<SiteHealth>,
    fault: Option<Fault>,
}

impl Router {
    /// One loop's. The same seed draws the same.
    pub fn new(places: SiteMap, seed: u64) -> Self {
        let sites = places.sites().last().map_or(0, |last| usize::from(*last) + 1);
        let rng = StdRng::seed_from_u64(seed);
        Self {
            site_map: places,
            rng,
            table_number: 0,
            sent: HashMap::new(),
            sites: vec![SiteHealth::default(); sites],
            fault: None,
        }
    }

    /// Where a call with this patience left is answered. One that came handed over is answered here whatever a table
    /// says: there is one hop.
    pub fn choose(
        &mut self,
        now: Micros,
        table: Option<&RoutingTable>,
        function: u32,
        patience: Micros,
        handed_already: bool,
    ) -> Destination {
        let Some(table) = table
            .filter(|t| now < t.valid_until && (!handed_already || self.fault == Some(Fault::UnboundedHops)))
        else {
            return Destination::Local;
        };
        let Some(row) = table.rows.get(function as usize) else { return Destination::Local };
        if table.number != self.table_number {
            self.table_number = table.number;
            self.sent.clear();
        }
        let mut draw = self.rng.random::<u16>();
        let drawn = row.remote_routes.iter().find(|way| {
            let taken = draw < way.share;
            draw = draw.saturating_sub(way.share);
            taken
        });
        // Here it would be late: any that is in time and has room is better.
        let late = row.local_latency > patience;
        let spare = row.remote_routes.iter().filter(|way| late && way.expected_latency <= patience);
        let way = drawn
            .into_iter()
            .chain(spare)
            .find(|way| self.accepts(now, function, way, patience, row.local_latency));
        let Some(way) = way.copied() else { return Destination::Local };
        self.record_sent(now, function, &way);
        Destination::Remote { site: way.site, peer: way.peer }
    }

    /// A call that this loop handed over has ended.
    pub fn handover_ended(&mut self, now: Micros, handed: &Handover) {
        let site = self.site_map.site_of(handed.to);
        let Some(seen) = site.and_then(|site| self.sites.get_mut(usize::from(site))) else { return };
        seen.in_flight = seen.in_flight.saturating_sub(1);
        let refused = f32::from(u8::from(handed.outcome == HandoverOutcome::Refused));
        seen.refused_share += (refused - seen.refused_share) * 0.1;
        let bad = match handed.outcome {
            HandoverOutcome::Served => {
                (seen.silent_since, seen.pause) = (now, 0);
                return;
            }
            HandoverOutcome::Refused => {
                seen.silent_since = now;
                seen.refused_share > MAX_REFUSED_SHARE
            }
            HandoverOutcome::Unreached | HandoverOutcome::Lost => true,
        };
        // Those that were out together end together: they are one sign, not many.
        if bad && now >= seen.paused_until {
            seen.pause = (seen.pause * 2).clamp(PAUSE.0, PAUSE.1);
            seen.paused_until = now + seen.pause;
        }
    }

    /// Plants a fault, which the checkers have to find.
    #[doc(hidden)]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn accepts(&self, now: Micros, function: u32, way: &RemoteRoute, patience: Micros, here: Micros) -> bool {
        let Some(seen) = self.sites.get(usize::from(way.site)) else { return false };
        let late = way.expected_latency > patience && here <= way.expected_latency;
        let silent = seen.in_flight > 0
            && now.saturating_sub(seen.silent_since)
                > (seen.expected_latency * SILENCE_FACTOR).max(MIN_SILENCE);
        let sent = self.sent.get(&(function, way.site)).copied().unwrap_or(0);
        // After a pause one goes there alone, until it has ended.
        let probing = seen.pause > 0 && seen.in_flight > 0;
        !late && !silent && now >= seen.paused_until && !probing && sent < way.call_limit
    }

    fn record_sent(&mut self, now: Micros, function: u32, way: &RemoteRoute) {
        *self.sent.entry((function, way.site)).or_default() += 1;
        let Some(seen) = self.sites.get_mut(usize::from(way.site)) else { return };
        if seen.in_flight == 0 {
            seen.silent_since = now;
        }
        seen.in_flight += 1;
        seen.expected_latency = way.expected_latency;
    }
}
