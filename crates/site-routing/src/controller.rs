//! Routing state of the control thread of a gateway.
//!
//! One gateway of each site, chosen by rendezvous hashing, is the coordinator. The others report their counts to it. It
//! exchanges reports with the coordinators of other sites, plans the rows of the routing table and sends them to the
//! gateways of its site.

use crate::counters::LocalCounters;
use crate::homes::Homes;
use crate::planner::{PlanInput, PlanResult, Planner, RemoteSite};
use crate::settings::{RoutingError, RoutingSettings};
use crate::site_stats::{BaselineTimes, SiteStats};
use crate::types::{Fault, Handover, LoopCounts, MAX_REMOTE_ROUTES, RemoteRoute, RoutingTable, Row};
use crate::wire::{
    Acknowledgment, Frame, FunctionStats, GatewayReport, HandoverStats, PlannedRow, PlannedRows, SiteReport,
};
use basaltward_membership::{MemberId, Micros, Site};
use std::collections::{BTreeMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A link without a measurement for this time counts as down.
const LINK_TIMEOUT: Micros = 3_000_000;
/// How many of the last sent frames can still be matched with an acknowledgment.
const SENT_HISTORY: usize = 64;

/// Smoothed round-trip time to a peer.
#[derive(Clone, Copy, Debug)]
struct Link {
    rtt: Micros,
    measured_at: Micros,
}

/// Exchanges load reports with other gateways and derives the routing tables of this gateway from them.
#[derive(Debug)]
pub struct RoutingController {
    settings: RoutingSettings,
    counters: LocalCounters,
    live_members: Vec<bool>,
    links: BTreeMap<MemberId, Link>,
    /// Number of the last frames sent.
    frame_number: u64,
    /// Numbers and times of the last frames sent, oldest first.
    sent: VecDeque<(u64, Micros)>,
    /// Number and arrival time of the last frame from each peer.
    received: BTreeMap<MemberId, (u64, Micros)>,
    /// Latest report of each gateway of this site with its arrival time; used by the coordinator only.
    reports: BTreeMap<MemberId, (Micros, GatewayReport)>,
    sites: BTreeMap<Site, SiteStats>,
    baselines: BaselineTimes,
    homes: Homes,
    planner: Planner,
    /// Rows in force.
    rows: PlannedRows,
    /// The coordinator that planned the rows.
    rows_from: MemberId,
    /// Time from which the validity of the rows counts.
    rows_as_of: Micros,
    table_number: u64,
    next_due: Micros,
    fault: Option<Fault>,
}

impl RoutingController {
    /// A controller without reports from other sites yet: all calls are served locally.
    ///
    /// # Errors
    ///
    /// [`RoutingError`] if the settings are out of range.
    pub fn new(settings: RoutingSettings, now: Micros) -> Result<Self, RoutingError> {
        settings.check()?;
        let site_map = &settings.site_map;
        Ok(Self {
            counters: LocalCounters::new(&settings, now),
            live_members: vec![false; site_map.len()],
            links: BTreeMap::new(),
            frame_number: 0,
            sent: VecDeque::new(),
            received: BTreeMap::new(),
            reports: BTreeMap::new(),
            sites: BTreeMap::new(),
            baselines: BaselineTimes::new(&settings),
            homes: Homes::new(site_map.own_site(), settings.home_dwell),
            planner: Planner::default(),
            rows: PlannedRows::default(),
            rows_from: site_map.own(),
            rows_as_of: now,
            table_number: 0,
            next_due: now + settings.interval,
            fault: None,
            settings,
        })
    }

    /// Adds the counts of a loop. Its calls in flight are those that run or wait at this site, without those that were
    /// handed over to another site.
    pub fn record_counts(&mut self, now: Micros, loop_no: u16, counts: &LoopCounts) {
        self.counters.record_counts(now, loop_no, counts);
    }

    /// Adds the end of a call that a loop handed over.
    pub fn record_handover(&mut self, _now: Micros, handover: &Handover) {
        if let Some(site) = self.settings.site_map.site_of(handover.to) {
            self.counters.record_handover(site, handover);
        }
    }

    /// Handles a frame from another gateway. Duplicate and outdated frames are ignored.
    ///
    /// # Errors
    ///
    /// [`RoutingError`] if the sender is unknown, may not send this kind of frame, or the frame can't be decoded; the
    /// state is unchanged then.
    pub fn receive_frame(&mut self, now: Micros, from: MemberId, bytes: &[u8]) -> Result<(), RoutingError> {
        let site = self.settings.site_map.site_of(from).ok_or(RoutingError::UnknownGateway(from))?;
        let frame = Frame::decode(from, bytes)?;
        let same_site = site == self.settings.site_map.own_site();
        let number = match &frame {
            Frame::GatewayReport(gateway_report) if same_site => gateway_report.number,
            Frame::PlannedRows(rows) if same_site => rows.number,
            Frame::SiteReport(site_report) if !same_site => site_report.number,
            _ => return Err(RoutingError::WrongSite(from)),
        };
        // A restarted gateway counts from 1 again, so a lower number is accepted once the last frame is old enough.
        let (last_number, last_at) = self.received.get(&from).copied().unwrap_or((0, 0));
        if number <= last_number && now < last_at + self.settings.valid_for {
            return Ok(());
        }
        self.received.insert(from, (number, now));
        match frame {
            Frame::GatewayReport(gateway_report) => {
                self.reports.insert(from, (now, gateway_report));
            }
            Frame::PlannedRows(rows) => {
                let Some(sent_at) = self.sent_not_before(now, rows.ack) else { return Ok(()) };
                if from == self.coordinator(site) || now > self.rows_as_of + self.settings.valid_for {
                    (self.rows, self.rows_from, self.rows_as_of) = (rows, from, sent_at);
                }
            }
            Frame::SiteReport(site_report) => {
                let Some(sent_at) = self.sent_not_before(now, site_report.ack) else { return Ok(()) };
                let stale =
                    self.sites.get(&site).is_none_or(|stats| stats.age(now) > self.settings.valid_for);
                if from == self.coordinator(site) || stale {
                    let stats =
                        SiteStats::from_report(&self.settings, &self.baselines, sent_at, &site_report);
                    if now.saturating_sub(sent_at) <= self.settings.valid_for {
                        self.homes.handle_report(now, site, &stats.homes);
                    }
                    self.sites.insert(site, stats);
                }
            }
        }
        Ok(())
    }

    /// Adds a measurement of the round-trip time to a peer.
    pub fn record_rtt(&mut self, now: Micros, to: MemberId, rtt: Micros) {
        let link = self.links.entry(to).or_insert(Link { rtt, measured_at: now });
        // A slower measurement counts by half at once, a faster one by a quarter: a single fast answer does not prove a
        // fast link.
        let rtt = if rtt > link.rtt { (rtt + link.rtt) / 2 } else { (rtt + 3 * link.rtt) / 4 };
        *link = Link { rtt, measured_at: now };
    }

    /// Sets which gateways are alive by the membership view, by member number.
    pub fn set_live(&mut self, live: &[bool]) {
        let count = self.live_members.len().min(live.len());
        self.live_members.fill(false);
        self.live_members[..count].copy_from_slice(&live[..count]);
    }

    /// Builds the frames that are due, each with its recipient, and plans new rows if this gateway is the coordinator. To
    /// be called once per interval.
    pub fn build_frames(&mut self, now: Micros) -> Vec<(MemberId, Vec<u8>)> {
        self.next_due = now + self.settings.interval;
        self.frame_number += 1;
        self.sent.push_back((self.frame_number, now));
        if self.sent.len() > SENT_HISTORY {
            self.sent.pop_front();
        }
        let (own, local_site) = (self.settings.site_map.own(), self.settings.site_map.own_site());
        let gateway_report = self.counters.report(now, self.frame_number);
        let coordinator = self.coordinator(local_site);
        if coordinator != own {
            self.reports.clear();
            return Frame::GatewayReport(gateway_report)
                .encode()
                .map(|bytes| (coordinator, bytes))
                .into_iter()
                .collect();
        }
        self.take_over_coordination(now);
        self.reports.insert(own, (now, gateway_report));
        self.reports.retain(|_, (at, _)| now <= *at + self.settings.valid_for);
        let (site_report, rows) = self.plan(now);
        let mut frames = Vec::new();
        let sites = self.settings.site_map.sites();
        for site in sites.into_iter().filter(|site| *site != local_site) {
            let to = self.coordinator(site);
            if self.is_live(to) {
                let site_report = SiteReport { ack: self.acknowledgment(now, to), ..site_report.clone() };
                frames.extend(Frame::SiteReport(site_report).encode().map(|bytes| (to, bytes)));
            }
        }
        for to in self.live_gateways(local_site).filter(|to| *to != own).collect::<Vec<_>>() {
            let rows = PlannedRows { ack: self.acknowledgment(now, to), ..rows.clone() };
            frames.extend(Frame::PlannedRows(rows).encode().map(|bytes| (to, bytes)));
        }
        (self.rows, self.rows_as_of) = (rows, now);
        frames
    }

    /// Builds the routing table as of now.
    pub fn build_table(&mut self, now: Micros) -> RoutingTable {
        self.table_number += 1;
        let local_site = self.settings.site_map.own_site();
        let local_only = Row { home: local_site, warm_at_home: true, ..Row::default() };
        let mut rows = vec![local_only; self.settings.functions.len()];
        for planned in &self.rows.rows {
            if let Some(row) = rows.get_mut(planned.function as usize) {
                *row = Row {
                    home: planned.home,
                    local_latency: planned.local_latency,
                    warm_at_home: planned.warm_at_home,
                    remote_routes: self.remote_routes(now, planned),
                };
            }
        }
        RoutingTable {
            number: self.table_number,
            valid_until: self.rows_as_of + self.settings.valid_for,
            local_site,
            rows,
        }
    }

    /// When [`RoutingController::build_frames`] and [`RoutingController::build_table`] are due next.
    pub fn next_due(&self) -> Micros {
        self.next_due
    }

    /// Injects a fault that the tests have to detect.
    #[doc(hidden)]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn is_live(&self, member: MemberId) -> bool {
        member == self.settings.site_map.own() || self.live_members.get(usize::from(member)) == Some(&true)
    }

    fn live_gateways(&self, site: Site) -> impl Iterator<Item = MemberId> {
        self.settings.site_map.members_at(site).filter(|member| self.is_live(*member))
    }

    /// The coordinator of a site: one of its live gateways, by rendezvous hashing; `MemberId::MAX` if there is none.
    fn coordinator(&self, site: Site) -> MemberId {
        let weight = |member: &MemberId| xxh3_64_with_seed(&member.to_le_bytes(), u64::from(site));
        self.live_gateways(site).max_by_key(weight).unwrap_or(MemberId::MAX)
    }

    /// Takes over from the previous coordinator, if there was another one, with the homes from its last rows.
    fn take_over_coordination(&mut self, now: Micros) {
        let own = self.settings.site_map.own();
        if self.rows_from == own {
            return;
        }
        self.rows_from = own;
        self.homes.clear();
        if now <= self.rows_as_of + self.settings.valid_for {
            let local_site = self.settings.site_map.own_site();
            for row in self.rows.rows.iter().filter(|row| row.home != local_site || row.dwelling) {
                self.homes.adopt(now, row.function, row.home, row.dwelling);
            }
        }
    }

    /// Earliest time at which a received frame can have been sent, from the local frame that it acknowledges. `None` if it
    /// acknowledges none, or one no longer in the history: the age of such a frame is unknown.
    fn sent_not_before(&self, now: Micros, ack: Option<Acknowledgment>) -> Option<Micros> {
        if self.fault == Some(Fault::IgnoreFrameAge) {
            return Some(now);
        }
        let ack = ack?;
        let (_, sent_at) = self.sent.iter().find(|(number, _)| *number == ack.number)?;
        Some(sent_at.saturating_add(ack.held_for).min(now))
    }

    fn acknowledgment(&self, now: Micros, peer: MemberId) -> Option<Acknowledgment> {
        let (number, at) = self.received.get(&peer)?;
        Some(Acknowledgment { number: *number, held_for: now.saturating_sub(*at) })
    }

    /// Round-trip time to a site: the fastest link to one of its live gateways that is up.
    fn round_trip(&self, now: Micros, site: Site) -> Option<Micros> {
        let links = self.live_gateways(site).filter_map(|member| self.links.get(&member));
        links.filter(|link| now < link.measured_at + LINK_TIMEOUT).map(|link| link.rtt).min()
    }

    fn remote_routes(&self, now: Micros, planned: &PlannedRow) -> [RemoteRoute; MAX_REMOTE_ROUTES] {
        let is_up = |member: &MemberId| {
            self.links.get(member).is_none_or(|link| now < link.measured_at + LINK_TIMEOUT)
        };
        let own = u64::from(self.settings.site_map.own());
        planned.remote_routes.each_ref().map(|route| {
            let key = (u64::from(planned.function) << 16) | own;
            let weight = |member: &MemberId| xxh3_64_with_seed(&member.to_le_bytes(), key);
            let live = self.live_gateways(route.site).filter(is_up);
            let peer = live.max_by_key(weight).filter(|_| route.call_limit > 0);
            peer.map_or(RemoteRoute::default(), |peer| RemoteRoute { peer, ..RemoteRoute::from(route) })
        })
    }

    /// Sums the reports of the gateways of this site, and plans rows by them and the reports of other sites.
    fn plan(&mut self, now: Micros) -> (SiteReport, PlannedRows) {
        let (settings, local_site) = (&self.settings, self.settings.site_map.own_site());
        let mut functions = BTreeMap::<u32, FunctionStats>::new();
        let (mut workers, mut handovers) = (0, BTreeMap::<Site, HandoverStats>::new());
        for (_, gateway_report) in self.reports.values() {
            workers = workers.max(gateway_report.workers);
            for f in &gateway_report.functions {
                functions.entry(f.function).and_modify(|sum| *sum = sum.and(f)).or_insert(*f);
            }
            for h in &gateway_report.handovers {
                handovers.entry(h.site).and_modify(|sum| *sum = sum.and(h)).or_insert(*h);
            }
        }
        let functions = functions.into_values().collect();
        let mut site_report = SiteReport {
            number: self.frame_number,
            ack: None,
            workers,
            excess: 0,
            functions,
            homes: Vec::new(),
        };
        let local = SiteStats::from_report(settings, &self.baselines, now, &site_report);
        self.baselines.update(settings, &local);
        self.sites
            .values()
            .filter(|stats| stats.age(now) < settings.valid_for)
            .for_each(|stats| self.baselines.update(settings, stats));
        let fresh = self.sites.iter().filter(|(_, stats)| stats.age(now) <= settings.valid_for);
        let remotes = fresh.filter_map(|(site, stats)| {
            let rtt = self.round_trip(now, *site)?;
            Some(RemoteSite::new(now, *site, stats, rtt, handovers.get(site).copied().unwrap_or_default()))
        });
        let input = PlanInput {
            now,
            settings,
            baselines: &self.baselines,
            local: &local,
            remotes: remotes.collect(),
            gateways: self.live_gateways(local_site).count(),
            next_report: self.frame_number,
            no_hysteresis: self.fault == Some(Fault::NoHysteresis),
        };
        let PlanResult { rows, excess } = self.planner.plan(&input, &mut self.homes);
        site_report.excess = (excess * 1e3).min(f64::from(u32::MAX)) as u32;
        site_report.homes = self.homes.statuses(now);
        (site_report, PlannedRows { number: self.frame_number, ack: None, rows })
    }
}
