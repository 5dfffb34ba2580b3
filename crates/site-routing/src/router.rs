//! A loop's own part: it reads the newest table and counts at once what it sent by it.

use crate::types::{Destination, Fault, Handover, HandoverOutcome, RemoteRoute, RoutingTable};
use basaltward_membership::{Micros, Site, SiteMap};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;

/// Pause after calls that ended badly, doubled by each further one up to the longest.
const PAUSE: (Micros, Micros) = (100_000, 3_200_000);
/// Refused ones among so many calls pause a site: one refusal is chance, a quarter is none.
const REFUSED: f32 = 0.25;
/// An answer that is late by this multiple of what was expected says that the site is silent.
const SILENT: u64 = 2;
/// No silence is read from less.
const SILENT_LEAST: Micros = 250_000;

/// What a loop has seen of a site itself.
#[derive(Clone, Copy, Debug, Default)]
struct SiteHealth {
    /// Calls handed over that have not ended.
    out: u32,
    /// Since when there was nothing heard while some were out.
    quiet_since: Micros,
    /// What an answer was thought to take at the last hand-over.
    expected: Micros,
    /// Until when nothing goes there.
    shut: Micros,
    /// The pause that made it so.
    pause: Micros,
    /// Share refused of late.
    refused: f32,
}

/// Chooses for each call of a loop, by the newest table.
#[derive(Debug)]
pub struct Router {
    places: SiteMap,
    rng: StdRng,
    /// Number of the table by which `sent` was counted.
    number: u64,
    /// Sent since, by function and site.
    sent: HashMap<(u32, Site), u16>,
    seen: Vec<SiteHealth>,
    fault: Option<Fault>,
}

impl Router {
    /// One loop's. The same seed draws the same.
    pub fn new(places: SiteMap, seed: u64) -> Self {
        let sites = places.sites().last().map_or(0, |last| usize::from(*last) + 1);
        let rng = StdRng::seed_from_u64(seed);
        Self {
            places,
            rng,
            number: 0,
            sent: HashMap::new(),
            seen: vec![SiteHealth::default(); sites],
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
        if table.number != self.number {
            self.number = table.number;
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
            .find(|way| self.takes(now, function, way, patience, row.local_latency));
        let Some(way) = way.copied() else { return Destination::Local };
        self.leaves(now, function, &way);
        Destination::Remote { site: way.site, peer: way.peer }
    }

    /// A call that this loop handed over has ended.
    pub fn handover_ended(&mut self, now: Micros, handed: &Handover) {
        let site = self.places.site_of(handed.to);
        let Some(seen) = site.and_then(|site| self.seen.get_mut(usize::from(site))) else { return };
        seen.out = seen.out.saturating_sub(1);
        let refused = f32::from(u8::from(handed.outcome == HandoverOutcome::Refused));
        seen.refused += (refused - seen.refused) * 0.1;
        let bad = match handed.outcome {
            HandoverOutcome::Served => {
                (seen.quiet_since, seen.pause) = (now, 0);
                return;
            }
            HandoverOutcome::Refused => {
                seen.quiet_since = now;
                seen.refused > REFUSED
            }
            HandoverOutcome::Unreached | HandoverOutcome::Lost => true,
        };
        // Those that were out together end together: they are one sign, not many.
        if bad && now >= seen.shut {
            seen.pause = (seen.pause * 2).clamp(PAUSE.0, PAUSE.1);
            seen.shut = now + seen.pause;
        }
    }

    /// Plants a fault, which the checkers have to find.
    #[doc(hidden)]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn takes(&self, now: Micros, function: u32, way: &RemoteRoute, patience: Micros, here: Micros) -> bool {
        let Some(seen) = self.seen.get(usize::from(way.site)) else { return false };
        let late = way.expected_latency > patience && here <= way.expected_latency;
        let silent =
            seen.out > 0 && now.saturating_sub(seen.quiet_since) > (seen.expected * SILENT).max(SILENT_LEAST);
        let sent = self.sent.get(&(function, way.site)).copied().unwrap_or(0);
        // After a pause one goes there alone, until it has ended.
        let probing = seen.pause > 0 && seen.out > 0;
        !late && !silent && now >= seen.shut && !probing && sent < way.call_limit
    }

    fn leaves(&mut self, now: Micros, function: u32, way: &RemoteRoute) {
        *self.sent.entry((function, way.site)).or_default() += 1;
        let Some(seen) = self.seen.get_mut(usize::from(way.site)) else { return };
        if seen.out == 0 {
            seen.quiet_since = now;
        }
        seen.out += 1;
        seen.expected = way.expected_latency;
    }
}
