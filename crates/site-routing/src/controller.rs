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
const LINK_TIMEOUT: Micros = 3_000_000;
/// Our last frames, of which peers may say that they heard one.
const SENT_HISTORY: usize = 64;

/// Time there and back to a peer.
#[derive(Clone, Copy, Debug)]
struct Link {
    rtt: Micros,
    measured_at: Micros,
}

/// Works out where calls go.
#[derive(Debug)]
pub struct RoutingController {
    settings: RoutingSettings,
    counters: LocalCounters,
    live_members: Vec<bool>,
    links: BTreeMap<MemberId, Link>,
    /// Number of our last frames, and when they were told.
    frame_number: u64,
    sent: VecDeque<(u64, Micros)>,
    received: BTreeMap<MemberId, (u64, Micros)>,
    reports: BTreeMap<MemberId, (Micros, GatewayReport)>,
    sites: BTreeMap<Site, Known>,
    baselines: BaselineTimes,
    homes: Homes,
    planner: Planner,
    /// Rows in force, who worked them out, and as of when they are.
    rows: PlannedRows,
    rows_from: MemberId,
    rows_as_of: Micros,
    table_number: u64,
    next_due: Micros,
    fault: Option<Fault>,
}

impl RoutingController {
    /// One gateway's, that knows nothing of other sites yet: all is answered here.
    pub fn new(settings: RoutingSettings, now: Micros) -> Result<Self, RoutingError> {
        settings.check()?;
        let places = &settings.site_map;
        Ok(Self {
            counters: LocalCounters::new(&settings, now),
            live_members: vec![false; places.len()],
            links: BTreeMap::new(),
            frame_number: 0,
            sent: VecDeque::new(),
            received: BTreeMap::new(),
            reports: BTreeMap::new(),
            sites: BTreeMap::new(),
            baselines: BaselineTimes::new(&settings),
            homes: Homes::new(places.own_site(), settings.home_dwell),
            planner: Planner::default(),
            rows: PlannedRows::default(),
            rows_from: places.own(),
            rows_as_of: now,
            table_number: 0,
            next_due: now + settings.interval,
            fault: None,
            settings,
        })
    }

    /// What a loop counted. Calls in hand are those that run or wait at this site: none that was handed over to another.
    pub fn record_counts(&mut self, now: Micros, loop_no: u16, counts: &LoopCounts) {
        self.counters.counted(now, loop_no, counts);
    }

    /// How a call ended that a loop handed over.
    pub fn record_handover(&mut self, _now: Micros, handed: &Handover) {
        if let Some(site) = self.settings.site_map.site_of(handed.to) {
            self.counters.handed(site, handed);
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
        let last = self.received.get(&from).copied().unwrap_or((0, 0));
        if number <= last.0 && now < last.1 + self.settings.valid_for {
            return Ok(());
        }
        self.received.insert(from, (number, now));
        match frame {
            Frame::GatewayReport(part) => {
                self.reports.insert(from, (now, part));
            }
            Frame::PlannedRows(rows) => {
                let Some(at) = self.sent_not_before(now, rows.ack) else { return Ok(()) };
                if from == self.coordinator(site) || now > self.rows_as_of + self.settings.valid_for {
                    (self.rows, self.rows_from, self.rows_as_of) = (rows, from, at);
                }
            }
            Frame::SiteReport(word) => {
                let Some(at) = self.sent_not_before(now, word.ack) else { return Ok(()) };
                let stale = self.sites.get(&site).is_none_or(|k| k.age(now) > self.settings.valid_for);
                if from == self.coordinator(site) || stale {
                    let known = Known::from_report(&self.settings, &self.baselines, at, &word);
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
        let link = self.links.entry(to).or_insert(Link { rtt, measured_at: now });
        // Slower is believed at once by half, quicker slowly: one quick answer is no quick link.
        let rtt = if rtt > link.rtt { (rtt + link.rtt) / 2 } else { (rtt + 3 * link.rtt) / 4 };
        *link = Link { rtt, measured_at: now };
    }

    /// Which peers the view holds for living, by number.
    pub fn set_live(&mut self, live: &[bool]) {
        let known = self.live_members.len().min(live.len());
        self.live_members.fill(false);
        self.live_members[..known].copy_from_slice(&live[..known]);
    }

    /// Frames that are due, each with who gets it.
    pub fn build_frames(&mut self, now: Micros) -> Vec<(MemberId, Vec<u8>)> {
        self.next_due = now + self.settings.interval;
        self.frame_number += 1;
        self.sent.push_back((self.frame_number, now));
        if self.sent.len() > SENT_HISTORY {
            self.sent.pop_front();
        }
        let (own, here) = (self.settings.site_map.own(), self.settings.site_map.own_site());
        let part = self.counters.part(now, self.frame_number);
        let teller = self.coordinator(here);
        if teller != own {
            self.reports.clear();
            return Frame::GatewayReport(part).encode().map(|bytes| (teller, bytes)).into_iter().collect();
        }
        self.take_over_coordination(now);
        self.reports.insert(own, (now, part));
        self.reports.retain(|_, (at, _)| now <= *at + self.settings.valid_for);
        let (word, rows) = self.plan(now);
        let mut frames = Vec::new();
        let sites = self.settings.site_map.sites();
        for site in sites.into_iter().filter(|site| *site != here) {
            let to = self.coordinator(site);
            if self.is_live(to) {
                let word = SiteReport { ack: self.acknowledgment(now, to), ..word.clone() };
                frames.extend(Frame::SiteReport(word).encode().map(|bytes| (to, bytes)));
            }
        }
        for to in self.live_gateways(here).filter(|to| *to != own).collect::<Vec<_>>() {
            let rows = PlannedRows { ack: self.acknowledgment(now, to), ..rows.clone() };
            frames.extend(Frame::PlannedRows(rows).encode().map(|bytes| (to, bytes)));
        }
        (self.rows, self.rows_as_of) = (rows, now);
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
                    remote_routes: self.remote_routes(now, told),
                };
            }
        }
        RoutingTable {
            number: self.table_number,
            valid_until: self.rows_as_of + self.settings.valid_for,
            local_site: here,
            rows,
        }
    }

    /// When [`Route::tell`] and [`Route::table`] are due next.
    pub fn next_due(&self) -> Micros {
        self.next_due
    }

    /// Plants a fault, which the checkers have to find.
    #[doc(hidden)]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn is_live(&self, of: MemberId) -> bool {
        of == self.settings.site_map.own() || self.live_members.get(usize::from(of)) == Some(&true)
    }

    fn live_gateways(&self, site: Site) -> impl Iterator<Item = MemberId> {
        self.settings.site_map.members_at(site).filter(|of| self.is_live(*of))
    }

    /// Who tells for a site: one of its living, by rendezvous.
    fn coordinator(&self, site: Site) -> MemberId {
        let weight = |of: &MemberId| xxh3_64_with_seed(&of.to_le_bytes(), u64::from(site));
        self.live_gateways(site).max_by_key(weight).unwrap_or(MemberId::MAX)
    }

    /// We tell from now on, where another did: what it had moved is where it was.
    fn take_over_coordination(&mut self, now: Micros) {
        let own = self.settings.site_map.own();
        if self.rows_from == own {
            return;
        }
        self.rows_from = own;
        self.homes.clear();
        if now <= self.rows_as_of + self.settings.valid_for {
            let here = self.settings.site_map.own_site();
            for row in self.rows.rows.iter().filter(|row| row.home != here || row.dwelling) {
                self.homes.adopt(now, row.function, row.home, row.dwelling);
            }
        }
    }

    /// As of when a frame is at the least: its sender had heard one of ours by then. None where it had not, or one that
    /// is long forgotten: nobody knows how old such a frame is.
    fn sent_not_before(&self, now: Micros, heard: Option<Acknowledgment>) -> Option<Micros> {
        if self.fault == Some(Fault::IgnoreFrameAge) {
            return Some(now);
        }
        let heard = heard?;
        let sent = self.sent.iter().find(|(number, _)| *number == heard.number)?;
        Some(sent.1.saturating_add(heard.held_for).min(now))
    }

    fn acknowledgment(&self, now: Micros, of: MemberId) -> Option<Acknowledgment> {
        let (number, at) = self.received.get(&of)?;
        Some(Acknowledgment { number: *number, held_for: now.saturating_sub(*at) })
    }

    /// Time there and back to a site: the quickest way to one of its living that is not silent.
    fn round_trip(&self, now: Micros, site: Site) -> Option<Micros> {
        let links = self.live_gateways(site).filter_map(|of| self.links.get(&of));
        links.filter(|link| now < link.measured_at + LINK_TIMEOUT).map(|link| link.rtt).min()
    }

    fn remote_routes(&self, now: Micros, told: &PlannedRow) -> [RemoteRoute; MAX_REMOTE_ROUTES] {
        let heard =
            |of: &MemberId| self.links.get(of).is_none_or(|link| now < link.measured_at + LINK_TIMEOUT);
        let own = u64::from(self.settings.site_map.own());
        told.remote_routes.each_ref().map(|way| {
            let key = (u64::from(told.function) << 16) | own;
            let weight = |of: &MemberId| xxh3_64_with_seed(&of.to_le_bytes(), key);
            let living = self.live_gateways(way.site).filter(heard);
            let peer = living.max_by_key(weight).filter(|_| way.call_limit > 0);
            peer.map_or(RemoteRoute::default(), |peer| RemoteRoute { peer, ..RemoteRoute::from(way) })
        })
    }

    fn plan(&mut self, now: Micros) -> (SiteReport, PlannedRows) {
        let (settings, here) = (&self.settings, self.settings.site_map.own_site());
        let mut figures = BTreeMap::<u32, FunctionStats>::new();
        let (mut workers, mut ends) = (0, BTreeMap::<Site, HandoverStats>::new());
        for (_, part) in self.reports.values() {
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
            number: self.frame_number,
            ack: None,
            workers,
            excess: 0,
            functions: by,
            homes: Vec::new(),
        };
        let own = Known::from_report(settings, &self.baselines, now, &word);
        self.baselines.update(settings, &own);
        self.sites
            .values()
            .filter(|k| k.age(now) < settings.valid_for)
            .for_each(|k| self.baselines.update(settings, k));
        let fresh = self.sites.iter().filter(|(_, known)| known.age(now) <= settings.valid_for);
        let others = fresh.filter_map(|(site, known)| {
            let way = self.round_trip(now, *site)?;
            Some(RemoteSite::new(now, *site, known, way, ends.get(site).copied().unwrap_or_default()))
        });
        let view = PlanInput {
            now,
            settings,
            baselines: &self.baselines,
            local: &own,
            remotes: others.collect(),
            gateways: self.live_gateways(here).count(),
            next_report: self.frame_number,
            no_hysteresis: self.fault == Some(Fault::NoHysteresis),
        };
        let PlanResult { rows, excess: over } = self.planner.plan(&view, &mut self.homes);
        word.excess = (over * 1e3).min(f64::from(u32::MAX)) as u32;
        word.homes = self.homes.statuses(now);
        (word, PlannedRows { number: self.frame_number, ack: None, rows })
    }
}
