//! Admission control at the control thread of a gateway: computes share tables from the counters of all loops and the
//! published load of all peers.

use crate::capacity::{CapacityEstimator, Observation};
use crate::peer_load::PeerLoad;
use crate::retry_budget::{GatewayLoad, gateway_budget};
use crate::settings::{AdmissionError, AdmissionSettings};
use crate::table::{Share, ShareTable};
use crate::types::LoopCounts;
use crate::water_filling::{SiteDemand, allocate, within_quota};
use crate::wire::{self, CellLoad, LoadSummary, PAGES};
use basaltward_membership::{MemberId, Micros, SHED_KEYS};

/// Interval at which share tables are computed.
const TABLE_INTERVAL: Micros = 100_000;
/// Time constant of the moving averages of rates, in microseconds.
const RATE_TIME_CONSTANT: f64 = 1_000_000.0;
/// Time for which the last published load of a departed gateway counts towards quotas and retry budgets: it may only be
/// partitioned from this gateway.
const DEPARTED_LOAD_TTL: Micros = 30_000_000;
/// Minimum of a gateway's share, as a fraction of an even share of its site, whatever load peers report.
pub(crate) const MIN_EVEN_SHARE: f64 = 0.25;
/// Additional rate for cells whose calls are all admitted, as a fraction of the admitted rate. The addition is at least
/// the square root of that rate, by which a count of random arrivals varies.
const HEADROOM: f64 = 0.25;
/// Fraction of a cell's share that is divided evenly among the loops, for calls that have just moved between loops.
const EVEN_LOOP_SHARE: f64 = 0.05;
/// Upper limit of the minimum rate of a cell, in calls per second. The minimum rate lets a call through now and then in
/// cells without a share.
const MIN_RATE_CAP: f64 = 0.5;
/// Fraction of the total rate that is divided among the minimum rates of all cells.
const MIN_RATE_SHARE: f64 = 0.02;

/// Upper bound on the answer rate that is used for a peer, as a multiple of the local rate. With two gateways a false
/// report raises the capacity estimate to no more than three halves of the true value.
const MAX_PEER_ANSWER_RATIO: f64 = 2.0;
/// If one in this many calls is late or refused after admission, the wait is taken to be at least the target wait. A
/// higher fraction raises that bound in proportion, up to three times the target.
const MISSED_WEIGHT: f64 = 20.0;

/// Faults that tests inject.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControllerFault {
    /// Each gateway uses the whole retry budget of the fleet.
    UndividedRetryBudget,
}

/// Admission controller of one gateway.
pub struct AdmissionController {
    settings: AdmissionSettings,
    settings_hash: u16,
    /// Load of each loop, by cell.
    loops: Vec<Vec<CellLoad>>,
    /// Answer rate of each loop in calls per second.
    answered: Vec<f64>,
    in_flight: Vec<u32>,
    /// Counters since the last table.
    step: StepCounts,
    /// Time without an answer while calls were in flight.
    stalled_for: Micros,
    capacity: CapacityEstimator,
    peers: Vec<PeerLoad>,
    /// Last published value of each fact, with its time.
    published: Vec<(Micros, Vec<u8>)>,
    publish_count: u8,
    version: u64,
    last_table_at: Micros,
    next_publish_at: Micros,
    fault: Option<ControllerFault>,
}

/// Counters of all loops since the last table.
#[derive(Clone, Copy, Debug, Default)]
struct StepCounts {
    answered: u32,
    /// Sum of the waits of the answered calls.
    waited: Micros,
    /// Answered late, or refused after admission.
    missed: u32,
    refused: u32,
    shed: bool,
}

/// Peer whose load is used for one table.
struct ActivePeer {
    member: MemberId,
    live: bool,
    summary: LoadSummary,
    loads: Vec<CellLoad>,
}

/// Hash of the settings that all gateways must share, to ignore the load of peers with other settings.
fn settings_hash(settings: &AdmissionSettings) -> u16 {
    let values = settings.classes.iter().map(|class| class.value);
    let rates = values.chain(settings.quotas.iter().copied()).chain([settings.over_share_value]);
    let all = rates.map(f64::to_bits).chain([settings.classes.len() as u64]);
    let hash = all.fold(0xcbf2_9ce4_8422_2325_u64, |hash, bits| {
        (hash ^ bits).wrapping_mul(0x0100_0000_01b3).rotate_left(23)
    });
    (hash ^ hash >> 16 ^ hash >> 32 ^ hash >> 48) as u16
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len().checked_sub(1)? / 2).copied()
}

impl AdmissionController {
    /// A controller without a capacity estimate: its tables admit all calls.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid.
    pub fn new(now: Micros, settings: AdmissionSettings) -> Result<Self, AdmissionError> {
        settings.validate()?;
        let (loops, cells) = (settings.loops, settings.cell_count());
        Ok(Self {
            settings_hash: settings_hash(&settings),
            loops: vec![vec![CellLoad::default(); cells]; loops],
            answered: vec![0.0; loops],
            in_flight: vec![0; loops],
            step: StepCounts::default(),
            stalled_for: 0,
            capacity: CapacityEstimator::new(settings.target_wait()),
            peers: vec![PeerLoad::default(); settings.site_map.len()],
            published: vec![(0, Vec::new()); PAGES + 1],
            publish_count: 0,
            version: 0,
            last_table_at: now,
            next_publish_at: now,
            fault: None,
            settings,
        })
    }

    /// Injects a fault.
    #[doc(hidden)]
    pub fn inject_fault(&mut self, fault: ControllerFault) {
        self.fault = Some(fault);
    }

    /// Estimated capacity of the local site in calls per second; `None` until calls have queued or peers reported
    /// estimates.
    pub fn estimated_capacity(&self) -> Option<f64> {
        self.capacity.estimate()
    }

    /// Adds the counters of a loop. Counters with another number of cells, an empty span or an unknown loop are
    /// ignored.
    pub fn record_counts(&mut self, _now: Micros, loop_no: usize, counts: &LoopCounts) {
        let cells = self.settings.cell_count();
        let Some(loads) =
            self.loops.get_mut(loop_no).filter(|_| counts.by_cell.len() == cells && counts.span > 0)
        else {
            return;
        };
        let seconds = counts.span as f64 / 1e6;
        let weight = 1.0 - (-(counts.span as f64) / RATE_TIME_CONSTANT).exp();
        let average = |rate: &mut f64, seen: u32| *rate += weight * (f64::from(seen) / seconds - *rate);
        let (mut answered, step) = (0, &mut self.step);
        for (load, count) in loads.iter_mut().zip(&counts.by_cell) {
            average(&mut load.arrivals, count.arrivals());
            average(&mut load.first_attempts, count.first_attempts);
            average(&mut load.retries, count.budgeted_retries);
            answered += count.answered();
            step.waited += count.total_wait;
            step.missed += count.late + count.refused;
            step.refused += count.refused;
            step.shed |= count.shed > 0;
        }
        average(&mut self.answered[loop_no], answered);
        self.in_flight[loop_no] = counts.in_flight;
        self.step.answered += answered;
    }

    /// Stores a fact that a peer has published. The same fact may be passed repeatedly.
    pub fn receive_fact(&mut self, now: Micros, from: MemberId, key: u8, value: &[u8]) {
        let cells = self.settings.cell_count();
        if let Some(peer) = self.peers.get_mut(usize::from(from))
            && from != self.settings.site_map.own()
        {
            peer.receive_fact(now, key, value, cells);
        }
    }

    /// Load of all loops of this gateway together, by cell.
    fn local_loads(&self) -> Vec<CellLoad> {
        let sum = |cell: usize| {
            self.loops.iter().fold(CellLoad::default(), |sum, cells| CellLoad {
                arrivals: sum.arrivals + cells[cell].arrivals,
                first_attempts: sum.first_attempts + cells[cell].first_attempts,
                retries: sum.retries + cells[cell].retries,
            })
        };
        (0..self.settings.cell_count()).map(sum).collect()
    }

    /// Returns the facts of this gateway, by key, that are due to be published with a lifetime of
    /// [`AdmissionSettings::load_ttl`]: those that have changed, and those last published a third of that time ago.
    pub fn take_due_facts(&mut self, now: Micros) -> Vec<(u8, Vec<u8>)> {
        if now < self.next_publish_at {
            return Vec::new();
        }
        self.next_publish_at = now + self.settings.publish_interval;
        self.publish_count = self.publish_count.wrapping_add(1);
        let (pages, unlisted) =
            wire::encode_pages(self.local_loads().into_iter().enumerate().collect(), self.publish_count);
        let summary = LoadSummary {
            settings_hash: self.settings_hash,
            capacity: self.capacity.estimate().unwrap_or_default(),
            answered: self.answered.iter().sum(),
            wait: self.capacity.wait(),
            unlisted,
        };
        let renew = self.settings.load_ttl / 3;
        let facts = [wire::encode_summary(&summary, self.publish_count)].into_iter().chain(pages);
        let mut due = Vec::new();
        for (key, (value, published)) in (SHED_KEYS).zip(facts.zip(&mut self.published)) {
            // The first byte counts publications. A page that was never used need not be published.
            let changed =
                value.get(1..) != published.1.get(1..) && (value.len() > 1 || published.1.len() > 1);
            if changed || value.len() > 1 && now.saturating_sub(published.0) >= renew {
                *published = (now, value.clone());
                due.push((key, value));
            }
        }
        due
    }

    /// Peers whose load is used: live ones with recent facts and, for quotas and retry budgets, departed ones that may
    /// only be partitioned from this gateway.
    fn active_peers(&self, now: Micros, live: &[bool]) -> Vec<ActivePeer> {
        let (own, cells) = (self.settings.site_map.own(), self.settings.cell_count());
        let active = |(member, peer): (usize, &PeerLoad)| {
            let live = live.get(member).copied().unwrap_or_default();
            let max_age = if live { self.settings.load_ttl } else { DEPARTED_LOAD_TTL };
            let summary = *peer.summary(now, max_age, self.settings_hash)?;
            Some(ActivePeer {
                member: member as MemberId,
                live,
                summary,
                loads: peer.cell_loads(now, max_age, cells),
            })
        };
        let all = self.peers.iter().enumerate().filter(|(member, _)| *member != usize::from(own));
        all.filter_map(active).collect()
    }

    /// Updates the capacity estimate by the counters since the last table and the reports of peers at the local site.
    fn update_estimate(&mut self, now: Micros, peers: &[ActivePeer]) {
        let span = now.saturating_sub(self.last_table_at).min(self.settings.load_ttl);
        let step = std::mem::take(&mut self.step);
        let in_flight = self.in_flight.iter().any(|in_flight| *in_flight > 0);
        self.stalled_for = if step.answered == 0 && in_flight { self.stalled_for + span } else { 0 };
        let wait = match step.answered {
            0 if in_flight => Some(self.capacity.wait().max(self.stalled_for)),
            0 => None,
            answered => Some(step.waited / Micros::from(answered)),
        };
        // A queue whose wait no worker reports shows in the calls that it makes late.
        let ended = f64::from(step.answered + step.refused).max(1.0);
        let missed = f64::from(step.missed) / ended;
        let wait_from_missed =
            (self.settings.target_wait() as f64 * (missed * MISSED_WEIGHT).min(3.0)) as Micros;
        let (wait, shed) = (wait.map(|wait| wait.max(wait_from_missed)), step.shed);
        let own_site = self.settings.site_map.own_site();
        let site_peers = || {
            peers
                .iter()
                .filter(|peer| peer.live && self.settings.site_map.site_of(peer.member) == Some(own_site))
        };
        let own_rate = self.answered.iter().sum::<f64>();
        let answered = own_rate
            + site_peers()
                .map(|peer| peer.summary.answered.min(own_rate * MAX_PEER_ANSWER_RATIO))
                .sum::<f64>();
        let estimates: Vec<f64> =
            site_peers().map(|peer| peer.summary.capacity).filter(|reported| *reported > 0.0).collect();
        // Without a local estimate the estimate of a single peer is not used: it may be false.
        let single = estimates.len() == 1 && self.capacity.estimate().is_none();
        let peers = median(estimates).filter(|_| !single);
        self.capacity.update(&Observation { span, wait, answered, shed, peer_estimate: peers });
    }

    /// Computes the share table that is valid from now on. `live` holds for each gateway whether membership considers
    /// it live. If the previous table is older than [`AdmissionSettings::load_ttl`], because the thread was stalled, the
    /// load of the peers and the counters are discarded first.
    pub fn compute_table(&mut self, now: Micros, live: &[bool]) -> ShareTable {
        if now.saturating_sub(self.last_table_at) > self.settings.load_ttl {
            self.peers.iter_mut().for_each(|peer| *peer = PeerLoad::default());
            self.step = StepCounts::default();
            self.last_table_at = now;
        }
        let peers = self.active_peers(now, live);
        self.update_estimate(now, &peers);
        self.last_table_at = now;
        self.version += 1;
        let valid_until = now + self.settings.load_ttl / 5;
        let rates = self.capacity.admission_rate().zip(self.capacity.estimate());
        let Some((admission_rate, estimate)) = rates else {
            return ShareTable { version: self.version, valid_until, shares: None, fallback_shares: None };
        };
        let shares = Some(self.split_by_loop(self.shared_allocation(admission_rate, live, &peers)));
        let fallback_shares = Some(self.split_by_loop(self.fallback_share(estimate)));
        ShareTable { version: self.version, valid_until, shares, fallback_shares }
    }

    /// Share of this gateway, computed from the load of all gateways.
    fn shared_allocation(&self, admission_rate: f64, live: &[bool], peers: &[ActivePeer]) -> Share {
        let settings = &self.settings;
        let (site_map, cells, own) = (&settings.site_map, settings.cell_count(), self.local_loads());
        let sites = site_map.sites();
        let mut totals: Vec<f64> = own.iter().map(|load| load.arrivals).collect();
        let mut demand: Vec<SiteDemand> = Vec::new();
        let (mut own_arrivals, mut gateways) = (vec![0.0; cells], 1);
        let silent = self.silent_gateways(live, peers);
        for site in &sites {
            let is_own_site = *site == site_map.own_site();
            let reporting = || peers.iter().filter(|peer| site_map.site_of(peer.member) == Some(*site));
            let reported = reporting()
                .filter(|peer| peer.live)
                .map(|peer| peer.summary.capacity)
                .filter(|capacity| *capacity > 0.0);
            let capacity =
                if is_own_site { admission_rate } else { median(reported.collect()).unwrap_or(f64::MAX) };
            // A reported rate counts up to the capacity of its site, which could not admit more in any case.
            let mut arrivals = vec![0.0; cells];
            for peer in reporting() {
                for (cell, load) in peer.loads.iter().enumerate() {
                    let reported = load.arrivals.min(capacity);
                    totals[cell] += reported;
                    arrivals[cell] += if peer.live { reported } else { 0.0 };
                }
            }
            let unlisted: f64 = reporting().filter(|peer| peer.live).map(|peer| peer.summary.unlisted).sum();
            if is_own_site {
                own_arrivals = own.iter().map(|load| load.arrivals.min(capacity)).collect();
                arrivals.iter_mut().zip(&own_arrivals).for_each(|(all, own)| *all += own);
                gateways += reporting().filter(|peer| peer.live).count() + silent;
            }
            // Cells that fit on no page use their part of the capacity, too.
            let listed: f64 = arrivals.iter().sum();
            let part = if unlisted > 0.0 { listed / (listed + unlisted) } else { 1.0 };
            let part = if is_own_site { part * (gateways - silent) as f64 / gateways as f64 } else { part };
            demand.push(SiteDemand { capacity: capacity * part, arrivals });
        }
        let within_quota = within_quota(settings, &totals, 1.0);
        let allocated = allocate(settings, &demand, &within_quota);
        let own_index = sites.iter().position(|site| *site == site_map.own_site()).unwrap_or_default();
        let (allocated, demand) = (&allocated[own_index], &demand[own_index]);
        let guaranteed = self.guaranteed_rates(admission_rate / gateways as f64, &own, peers.len() + 1);
        let rate = |cell: usize| {
            let (all, own) = (demand.arrivals[cell], own_arrivals[cell]);
            let admitted = if all > 0.0 { allocated.arrivals[cell] * own / all } else { 0.0 };
            let headroom =
                if admitted >= 0.99 * own { (admitted * HEADROOM).max(admitted.sqrt()) } else { 0.0 };
            (admitted + headroom).max(guaranteed[cell])
        };
        Share {
            rates: (0..cells).map(rate).collect(),
            spare: allocated.capacity / (gateways - silent) as f64,
            min_rate: 0.0,
            retry_rates: (0..cells).map(|cell| self.retry_rate(cell, &own, peers)).collect(),
        }
    }

    /// Number of live gateways at the local site without usable load. Each is assumed to use an even share, as gateways
    /// with an expired table do.
    fn silent_gateways(&self, live: &[bool], peers: &[ActivePeer]) -> usize {
        let site_map = &self.settings.site_map;
        let is_live_peer =
            |member: &MemberId| *member != site_map.own() && live.get(usize::from(*member)) == Some(&true);
        let site_peers = site_map.members_at(site_map.own_site()).filter(is_live_peer);
        site_peers.filter(|member| !peers.iter().any(|peer| peer.member == *member)).count()
    }

    /// Part of the retry budget of a cell for this gateway, in retries per second.
    fn retry_rate(&self, cell: usize, own: &[CellLoad], peers: &[ActivePeer]) -> f64 {
        let others: Vec<GatewayLoad> =
            peers.iter().map(|peer| GatewayLoad { load: peer.loads[cell], lends: peer.live }).collect();
        if self.fault == Some(ControllerFault::UndividedRetryBudget) {
            let total =
                others.iter().map(|other| other.load.first_attempts).sum::<f64>() + own[cell].first_attempts;
            return self.settings.retry_share * total;
        }
        gateway_budget(self.settings.retry_share, own[cell], &others)
    }

    /// Rates that this gateway may admit within the quotas whatever load peers report: a fraction of an even share of
    /// the local site.
    fn guaranteed_rates(&self, even_share: f64, own: &[CellLoad], gateways: usize) -> Vec<f64> {
        let arrivals: Vec<f64> = own.iter().map(|load| load.arrivals).collect();
        let within = within_quota(&self.settings, &arrivals, MIN_EVEN_SHARE / gateways as f64);
        let arrivals = arrivals.iter().zip(&within).map(|(arrivals, within)| arrivals * within).collect();
        let all_within = vec![1.0; within.len()];
        allocate(
            &self.settings,
            &[SiteDemand { capacity: even_share * MIN_EVEN_SHARE, arrivals }],
            &all_within,
        )
        .swap_remove(0)
        .arrivals
    }

    /// Share of this gateway without the load of peers: an even part of the local site's capacity among all gateways
    /// that are configured there.
    fn fallback_share(&self, site_capacity: f64) -> Share {
        let (site_map, own) = (&self.settings.site_map, self.local_loads());
        let capacity = site_capacity / site_map.members_at(site_map.own_site()).count().max(1) as f64;
        let arrivals: Vec<f64> = own.iter().map(|load| load.arrivals).collect();
        let within = within_quota(&self.settings, &arrivals, 1.0 / site_map.len() as f64);
        let allocated =
            allocate(&self.settings, &[SiteDemand { capacity, arrivals }], &within).swap_remove(0);
        let retries = own.iter().map(|load| 0.5 * self.settings.retry_share * load.first_attempts);
        Share {
            rates: allocated.arrivals,
            spare: allocated.capacity,
            min_rate: 0.0,
            retry_rates: retries.collect(),
        }
    }

    /// Divides a share among the loops in proportion to their load.
    fn split_by_loop(&self, share: Share) -> Vec<Share> {
        let loop_count = self.loops.len() as f64;
        let split = |loop_no: usize, whole: &[f64], load_of: fn(&CellLoad) -> f64| {
            let loop_part = |(cell, whole): (usize, &f64)| {
                let all: f64 = self.loops.iter().map(|loads| load_of(&loads[cell])).sum();
                let part =
                    if all > 0.0 { load_of(&self.loops[loop_no][cell]) / all } else { 1.0 / loop_count };
                whole * (part * (1.0 - EVEN_LOOP_SHARE) + EVEN_LOOP_SHARE / loop_count)
            };
            whole.iter().enumerate().map(loop_part).collect()
        };
        let total_rate = share.rates.iter().sum::<f64>() + share.spare;
        let min_rate = MIN_RATE_CAP.min(total_rate * MIN_RATE_SHARE / share.rates.len() as f64) / loop_count;
        let share = |loop_no: usize| Share {
            rates: split(loop_no, &share.rates, |load| load.arrivals),
            spare: share.spare / loop_count,
            min_rate,
            retry_rates: split(loop_no, &share.retry_rates, |load| load.first_attempts),
        };
        (0..self.loops.len()).map(share).collect()
    }

    /// Earliest time at which [`Self::take_due_facts`] or [`Self::compute_table`] is due.
    pub fn next_due(&self) -> Micros {
        self.next_publish_at.min(self.last_table_at + TABLE_INTERVAL)
    }
}
