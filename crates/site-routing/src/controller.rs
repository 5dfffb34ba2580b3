//! The control thread's part: what is counted here and told by other sites, and the table that follows from it.

use crate::counters::LocalCounters;
use crate::homes::Homes;
use crate::planner::{PlanInput, PlanResult, Planner, RemoteSite};
use crate::settings::{RoutingError, RoutingSettings};
use crate::site_stats::{BaselineTimes, SiteStats as Known};
use crate::types::{Fault, Handover, LoopCounts, MAX_REMOTE_ROUTES, RemoteRoute, RoutingTable, Row};
use crate::wire::{
    Acknowledgment, Frame, FunctionStats, GatewayReport, HandoverStats, PlannedRow, PlannedRows, SiteReport,
};
use basaltward_membership::{MemberId, Micros, Site};
use std::collections::{BTreeMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A way not measured for so long is silent.
const SILENT: Micros = 3_000_000;
/// Our last frames, of which peers may say that they heard one.
const REMEMBERED: usize = 64;

/// Time there and back to a peer.
#[derive(Clone, Copy, Debug)]
struct Link {
    rtt: Micros,
    at: Micros,
}

/// Works out where calls go.
#[derive(Debug)]
pub struct RoutingController {
    settings: RoutingSettings,
    tally: LocalCounters,
    live_members: Vec<bool>,
    links: BTreeMap<MemberId, Link>,
    /// Number of our last frames, and when they were told.
    number: u64,
    sent: VecDeque<(u64, Micros)>,
    heard: BTreeMap<MemberId, (u64, Micros)>,
    parts: BTreeMap<MemberId, (Micros, GatewayReport)>,
    sites: BTreeMap<Site, Known>,
    usual: BaselineTimes,
    homes: Homes,
    plan: Planner,
    /// Rows in force, who worked them out, and as of when they are.
    rows: PlannedRows,
    rows_by: MemberId,
    rows_at: Micros,
    table_number: u64,
    due: Micros,
    fault: Option<Fault>,
}

impl RoutingController {
    /// One gateway's, that knows nothing of other sites yet: all is answered here.
    pub fn new(settings: RoutingSettings, now: Micros) -> Result<Self, RoutingError> {
        settings.check()?;
        let places = &settings.site_map;
        Ok(Self {
            tally: LocalCounters::new(&settings, now),
            live_members: vec![false; places.len()],
            links: BTreeMap::new(),
            number: 0,
            sent: VecDeque::new(),
            heard: BTreeMap::new(),
            parts: BTreeMap::new(),
            sites: BTreeMap::new(),
            usual: BaselineTimes::new(&settings),
            homes: Homes::new(places.own_site(), settings.home_dwell),
            plan: Planner::default(),
            rows: PlannedRows::default(),
            rows_by: places.own(),
            rows_at: now,
            table_number: 0,
            due: now + settings.interval,
            fault: None,
            settings,
        })
    }

    /// What a loop counted. Calls in hand are those that run or wait at this site: none that was handed over to another.
    pub fn record_counts(&mut self, now: Micros, loop_no: u16, counts: &LoopCounts) {
        self.tally.counted(now, loop_no, counts);
    }

    /// How a call ended that a loop handed over.
    pub fn record_handover(&mut self, _now: Micros, handed: &Handover) {
        if let Some(site) = self.settings.site_map.site_of(handed.to) {
            self.tally.handed(site, handed);
        }
    }

    /// A frame of a peer.
    pub fn receive_frame(&mut self, now: Micros, from: MemberId, bytes: &[u8]) -> Result<(), RoutingError> {
        let site = self.settings.site_map.site_of(from).ok_or(RoutingError::UnknownGateway(from))?;
        let frame = Frame::decode(from, bytes)?;
        let ours = site == self.settings.site_map.own_site();
        let number = match &frame {
            Frame::GatewayReport(part) if ours => part.number,
            Frame::PlannedRows(rows) if ours => rows.number,
            Frame::SiteReport(word) if !ours => word.number,
            _ => return Err(RoutingError::WrongSite(from)),
        };
        // One that starts again counts from 1: what is old enough gives way to any.
        let last = self.heard.get(&from).copied().unwrap_or((0, 0));
        if number <= last.0 && now < last.1 + self.settings.valid_for {
            return Ok(());
        }
        self.heard.insert(from, (number, now));
        match frame {
            Frame::GatewayReport(part) => {
                self.parts.insert(from, (now, part));
            }
            Frame::PlannedRows(rows) => {
                let Some(at) = self.as_of(now, rows.ack) else { return Ok(()) };
                if from == self.teller(site) || now > self.rows_at + self.settings.valid_for {
                    (self.rows, self.rows_by, self.rows_at) = (rows, from, at);
                }
            }
            Frame::SiteReport(word) => {
                let Some(at) = self.as_of(now, word.ack) else { return Ok(()) };
                let stale = self.sites.get(&site).is_none_or(|k| k.age(now) > self.settings.valid_for);
                if from == self.teller(site) || stale {
                    let known = Known::from_report(&self.settings, &self.usual, at, &word);
                    if now.saturating_sub(at) <= self.settings.valid_for {
                        self.homes.handle_report(now, site, &known.homes);
                    }
                    self.sites.insert(site, known);
                }
            }
        }
        Ok(())
    }

    /// Time there and back to a peer, as just measured.
    pub fn record_rtt(&mut self, now: Micros, to: MemberId, rtt: Micros) {
        let link = self.links.entry(to).or_insert(Link { rtt, at: now });
        // Slower is believed at once by half, quicker slowly: one quick answer is no quick link.
        let rtt = if rtt > link.rtt { (rtt + link.rtt) / 2 } else { (rtt + 3 * link.rtt) / 4 };
        *link = Link { rtt, at: now };
    }

    /// Which peers the view holds for living, by number.
    pub fn set_live(&mut self, live: &[bool]) {
        let known = self.live_members.len().min(live.len());
        self.live_members.fill(false);
        self.live_members[..known].copy_from_slice(&live[..known]);
    }

    /// Frames that are due, each with who gets it.
    pub fn build_frames(&mut self, now: Micros) -> Vec<(MemberId, Vec<u8>)> {
        self.due = now + self.settings.interval;
        self.number += 1;
        self.sent.push_back((self.number, now));
        if self.sent.len() > REMEMBERED {
            self.sent.pop_front();
        }
        let (own, here) = (self.settings.site_map.own(), self.settings.site_map.own_site());
        let part = self.tally.part(now, self.number);
        let teller = self.teller(here);
        if teller != own {
            self.parts.clear();
            return Frame::GatewayReport(part).encode().map(|bytes| (teller, bytes)).into_iter().collect();
        }
        self.take_over(now);
        self.parts.insert(own, (now, part));
        self.parts.retain(|_, (at, _)| now <= *at + self.settings.valid_for);
        let (word, rows) = self.work(now);
        let mut frames = Vec::new();
        let sites = self.settings.site_map.sites();
        for site in sites.into_iter().filter(|site| *site != here) {
            let to = self.teller(site);
            if self.is_live(to) {
                let word = SiteReport { ack: self.heard_of(now, to), ..word.clone() };
                frames.extend(Frame::SiteReport(word).encode().map(|bytes| (to, bytes)));
            }
        }
        for to in self.living(here).filter(|to| *to != own).collect::<Vec<_>>() {
            let rows = PlannedRows { ack: self.heard_of(now, to), ..rows.clone() };
            frames.extend(Frame::PlannedRows(rows).encode().map(|bytes| (to, bytes)));
        }
        (self.rows, self.rows_at) = (rows, now);
        frames
    }

    /// Where calls go as of now.
    pub fn build_table(&mut self, now: Micros) -> RoutingTable {
        self.table_number += 1;
        let here = self.settings.site_map.own_site();
        let plain = Row { home: here, warm_at_home: true, ..Row::default() };
        let mut rows = vec![plain; self.settings.functions.len()];
        for told in &self.rows.rows {
            if let Some(row) = rows.get_mut(told.function as usize) {
                *row = Row {
                    home: told.home,
                    local_latency: told.local_latency,
                    warm_at_home: told.warm_at_home,
                    remote_routes: self.ways(now, told),
                };
            }
        }
        RoutingTable {
            number: self.table_number,
            valid_until: self.rows_at + self.settings.valid_for,
            local_site: here,
            rows,
        }
    }

    /// When [`Route::tell`] and [`Route::table`] are due next.
    pub fn next_due(&self) -> Micros {
        self.due
    }

    /// Plants a fault, which the checkers have to find.
    #[doc(hidden)]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn is_live(&self, of: MemberId) -> bool {
        of == self.settings.site_map.own() || self.live_members.get(usize::from(of)) == Some(&true)
    }

    fn living(&self, site: Site) -> impl Iterator<Item = MemberId> {
        self.settings.site_map.members_at(site).filter(|of| self.is_live(*of))
    }

    /// Who tells for a site: one of its living, by rendezvous.
    fn teller(&self, site: Site) -> MemberId {
        let weight = |of: &MemberId| xxh3_64_with_seed(&of.to_le_bytes(), u64::from(site));
        self.living(site).max_by_key(weight).unwrap_or(MemberId::MAX)
    }

    /// We tell from now on, where another did: what it had moved is where it was.
    fn take_over(&mut self, now: Micros) {
        let own = self.settings.site_map.own();
        if self.rows_by == own {
            return;
        }
        self.rows_by = own;
        self.homes.clear();
        if now <= self.rows_at + self.settings.valid_for {
            let here = self.settings.site_map.own_site();
            for row in self.rows.rows.iter().filter(|row| row.home != here || row.dwelling) {
                self.homes.adopt(now, row.function, row.home, row.dwelling);
            }
        }
    }

    /// As of when a frame is at the least: its sender had heard one of ours by then. None where it had not, or one that
    /// is long forgotten: nobody knows how old such a frame is.
    fn as_of(&self, now: Micros, heard: Option<Acknowledgment>) -> Option<Micros> {
        if self.fault == Some(Fault::IgnoreFrameAge) {
            return Some(now);
        }
        let heard = heard?;
        let sent = self.sent.iter().find(|(number, _)| *number == heard.number)?;
        Some(sent.1.saturating_add(heard.held_for).min(now))
    }

    fn heard_of(&self, now: Micros, of: MemberId) -> Option<Acknowledgment> {
        let (number, at) = self.heard.get(&of)?;
        Some(Acknowledgment { number: *number, held_for: now.saturating_sub(*at) })
    }

    /// Time there and back to a site: the quickest way to one of its living that is not silent.
    fn way(&self, now: Micros, site: Site) -> Option<Micros> {
        let links = self.living(site).filter_map(|of| self.links.get(&of));
        links.filter(|link| now < link.at + SILENT).map(|link| link.rtt).min()
    }

    fn ways(&self, now: Micros, told: &PlannedRow) -> [RemoteRoute; MAX_REMOTE_ROUTES] {
        let heard = |of: &MemberId| self.links.get(of).is_none_or(|link| now < link.at + SILENT);
        let own = u64::from(self.settings.site_map.own());
        told.remote_routes.each_ref().map(|way| {
            let key = (u64::from(told.function) << 16) | own;
            let weight = |of: &MemberId| xxh3_64_with_seed(&of.to_le_bytes(), key);
            let living = self.living(way.site).filter(heard);
            let peer = living.max_by_key(weight).filter(|_| way.call_limit > 0);
            peer.map_or(RemoteRoute::default(), |peer| RemoteRoute { peer, ..RemoteRoute::from(way) })
        })
    }

    fn work(&mut self, now: Micros) -> (SiteReport, PlannedRows) {
        let (settings, here) = (&self.settings, self.settings.site_map.own_site());
        let mut figures = BTreeMap::<u32, FunctionStats>::new();
        let (mut workers, mut ends) = (0, BTreeMap::<Site, HandoverStats>::new());
        for (_, part) in self.parts.values() {
            workers = workers.max(part.workers);
            for f in &part.functions {
                figures.entry(f.function).and_modify(|sum| *sum = sum.and(f)).or_insert(*f);
            }
            for e in &part.handovers {
                ends.entry(e.site).and_modify(|sum| *sum = sum.and(e)).or_insert(*e);
            }
        }
        let by = figures.into_values().collect();
        let mut word = SiteReport {
            number: self.number,
            ack: None,
            workers,
            excess: 0,
            functions: by,
            homes: Vec::new(),
        };
        let own = Known::from_report(settings, &self.usual, now, &word);
        self.usual.update(settings, &own);
        self.sites
            .values()
            .filter(|k| k.age(now) < settings.valid_for)
            .for_each(|k| self.usual.update(settings, k));
        let fresh = self.sites.iter().filter(|(_, known)| known.age(now) <= settings.valid_for);
        let others = fresh.filter_map(|(site, known)| {
            let way = self.way(now, *site)?;
            Some(RemoteSite::new(now, *site, known, way, ends.get(site).copied().unwrap_or_default()))
        });
        let view = PlanInput {
            now,
            settings,
            usual: &self.usual,
            own: &own,
            others: others.collect(),
            gateways: self.living(here).count(),
            number: self.number,
            swings: self.fault == Some(Fault::NoHysteresis),
        };
        let PlanResult { rows, over } = self.plan.work(&view, &mut self.homes);
        word.excess = (over * 1e3).min(f64::from(u32::MAX)) as u32;
        word.homes = self.homes.statuses(now);
        (word, PlannedRows { number: self.number, ack: None, rows })
    }
}
