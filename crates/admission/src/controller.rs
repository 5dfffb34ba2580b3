//! What the control thread of a gateway makes of all counts and facts.

use crate::capacity::{CapacityEstimator, Observation};
use crate::peer_load::PeerLoad;
use crate::retry_budget::{GatewayLoad, gateway_budget};
use crate::settings::{AdmissionError, AdmissionSettings};
use crate::table::{Share, ShareTable};
use crate::types::LoopCounts;
use crate::water_filling::{SiteDemand, allocate, within_quota};
use crate::wire::{self, CellLoad, LoadSummary, PAGES};
use basaltward_membership::{MemberId, Micros, SHED_KEYS};

/// Tables are made so often.
const TABLE_INTERVAL: Micros = 100_000;
/// What comes is taken as a mean that forgets by this time.
const RATE_TIME_CONSTANT: f64 = 1_000_000.0;
/// A gateway that is gone keeps what it last told of quotas and budgets for so long: it may be cut off.
const DEPARTED_LOAD_TTL: Micros = 30_000_000;
/// A share is at least this part of an even one of our site, whatever peers tell.
pub(crate) const MIN_EVEN_SHARE: f64 = 0.25;
/// Pairs whose calls are all taken may take so much more than was seen, and the root of it at least: so far does a
/// count scatter by itself.
const HEADROOM: f64 = 0.25;
/// Of a pair's share so much goes to the loops evenly, for what has just moved between them.
const EVEN_LOOP_SHARE: f64 = 0.05;
/// A pair without a share still gets a call through in a while: calls a second, and as a part of all.
const MAX_MIN_RATE: f64 = 0.5;
const MIN_RATE_SHARE: f64 = 0.02;

/// Of what a peer says it answers at most so many times what we answer counts: no word of one among two raises our
/// belief past the three halves of what is true.
const MAX_PEER_ANSWER_RATIO: f64 = 2.0;
/// One in so many late or refused after the door stands for the wait wanted.
const MISSED_WEIGHT: f64 = 20.0;

/// Faults that tests plant.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControllerFault {
    /// Each takes the fleet's whole budget of retries.
    UndividedRetryBudget,
}

/// One gateway's part in what the fleet sheds.
pub struct AdmissionController {
    settings: AdmissionSettings,
    settings_hash: u16,
    /// What comes to each loop, by pair.
    loops: Vec<Vec<CellLoad>>,
    /// What each loop answers, calls a second.
    answered: Vec<f64>,
    in_flight: Vec<u32>,
    /// Since the last table.
    step: StepCounts,
    /// For how long nothing has been answered though calls were in hand.
    stalled_for: Micros,
    capacity: CapacityEstimator,
    peers: Vec<PeerLoad>,
    /// Facts as last told, and when.
    published: Vec<(Micros, Vec<u8>)>,
    publish_count: u8,
    version: u64,
    last_table_at: Micros,
    next_publish_at: Micros,
    fault: Option<ControllerFault>,
}

/// What has ended since the last table.
#[derive(Clone, Copy, Debug, Default)]
struct StepCounts {
    answered: u32,
    waited: Micros,
    /// Answered late, or refused after the door.
    missed: u32,
    refused: u32,
    shed: bool,
}

/// A peer as it counts in one table.
struct ActivePeer {
    member: MemberId,
    live: bool,
    head: LoadSummary,
    loads: Vec<CellLoad>,
}

fn mark(settings: &AdmissionSettings) -> u16 {
    let worths = settings.classes.iter().map(|class| class.value);
    let figures = worths.chain(settings.quotas.iter().copied()).chain([settings.over_share_value]);
    let all = figures.map(f64::to_bits).chain([settings.classes.len() as u64]);
    let mixed = all.fold(0xcbf2_9ce4_8422_2325_u64, |mixed, bits| {
        (mixed ^ bits).wrapping_mul(0x0100_0000_01b3).rotate_left(23)
    });
    (mixed ^ mixed >> 16 ^ mixed >> 32 ^ mixed >> 48) as u16
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len().checked_sub(1)? / 2).copied()
}

impl AdmissionController {
    /// Knows nothing yet: its tables take everything.
    ///
    /// # Errors
    /// Where the settings can't be used.
    pub fn new(now: Micros, settings: AdmissionSettings) -> Result<Self, AdmissionError> {
        settings.validate()?;
        let (loops, cells) = (settings.loops, settings.cell_count());
        Ok(Self {
            settings_hash: mark(&settings),
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

    /// Plants a fault.
    #[doc(hidden)]
    pub fn inject_fault(&mut self, fault: ControllerFault) {
        self.fault = Some(fault);
    }

    /// Calls a second that our site is believed to do; none until calls have waited.
    pub fn estimated_capacity(&self) -> Option<f64> {
        self.capacity.estimate()
    }

    /// What a loop has counted. Counts of another number of pairs, or of a loop that is not there, are dropped.
    pub fn record_counts(&mut self, _now: Micros, loop_no: usize, counts: &LoopCounts) {
        let cells = self.settings.cell_count();
        let Some(loads) =
            self.loops.get_mut(loop_no).filter(|_| counts.by_cell.len() == cells && counts.span > 0)
        else {
            return;
        };
        let seconds = counts.span as f64 / 1e6;
        let weight = 1.0 - (-(counts.span as f64) / RATE_TIME_CONSTANT).exp();
        let learn = |rate: &mut f64, seen: u32| *rate += weight * (f64::from(seen) / seconds - *rate);
        let (mut answered, step) = (0, &mut self.step);
        for (load, count) in loads.iter_mut().zip(&counts.by_cell) {
            learn(&mut load.arrivals, count.arrivals());
            learn(&mut load.first_attempts, count.first_attempts);
            learn(&mut load.retries, count.budgeted_retries);
            answered += count.answered();
            step.waited += count.total_wait;
            step.missed += count.late + count.refused;
            step.refused += count.refused;
            step.shed |= count.shed > 0;
        }
        learn(&mut self.answered[loop_no], answered);
        self.in_flight[loop_no] = counts.in_flight;
        self.step.answered += answered;
    }

    /// A fact of a peer, as the board gives it now. It may be given again as long as it stands there.
    pub fn receive_fact(&mut self, now: Micros, from: MemberId, key: u8, value: &[u8]) {
        let cells = self.settings.cell_count();
        if let Some(peer) = self.peers.get_mut(usize::from(from))
            && from != self.settings.site_map.own()
        {
            peer.receive_fact(now, key, value, cells);
        }
    }

    /// What comes to us, all loops together.
    fn local_loads(&self) -> Vec<CellLoad> {
        let sum = |cell: usize| {
            self.loops.iter().fold(CellLoad::default(), |sum, of| CellLoad {
                arrivals: sum.arrivals + of[cell].arrivals,
                first_attempts: sum.first_attempts + of[cell].first_attempts,
                retries: sum.retries + of[cell].retries,
            })
        };
        (0..self.settings.cell_count()).map(sum).collect()
    }

    /// Facts of ours that are due, to be told for [`ShedSettings::stands`]: those that have changed, and those that
    /// were told a while ago.
    pub fn take_due_facts(&mut self, now: Micros) -> Vec<(u8, Vec<u8>)> {
        if now < self.next_publish_at {
            return Vec::new();
        }
        self.next_publish_at = now + self.settings.publish_interval;
        self.publish_count = self.publish_count.wrapping_add(1);
        let (pages, rest) =
            wire::encode_pages(self.local_loads().into_iter().enumerate().collect(), self.publish_count);
        let head = LoadSummary {
            settings_hash: self.settings_hash,
            capacity: self.capacity.estimate().unwrap_or_default(),
            answered: self.answered.iter().sum(),
            wait: self.capacity.wait(),
            unlisted: rest,
        };
        let renew = self.settings.load_ttl / 3;
        let facts = [wire::encode_summary(&head, self.publish_count)].into_iter().chain(pages);
        let mut due = Vec::new();
        for (key, (value, told)) in (SHED_KEYS).zip(facts.zip(&mut self.published)) {
            // The first byte counts tellings. A page that was never used need not be told.
            let changed = value.get(1..) != told.1.get(1..) && (value.len() > 1 || told.1.len() > 1);
            if changed || value.len() > 1 && now.saturating_sub(told.0) >= renew {
                *told = (now, value.clone());
                due.push((key, value));
            }
        }
        due
    }

    /// Peers that count: those that live and have told lately, and for quotas and budgets those that are gone and
    /// may be cut off.
    fn active_peers(&self, now: Micros, live: &[bool]) -> Vec<ActivePeer> {
        let (own, cells) = (self.settings.site_map.own(), self.settings.cell_count());
        let of = |(of, peer): (usize, &PeerLoad)| {
            let live = live.get(of).copied().unwrap_or_default();
            let within = if live { self.settings.load_ttl } else { DEPARTED_LOAD_TTL };
            let head = *peer.summary(now, within, self.settings_hash)?;
            Some(ActivePeer {
                member: of as MemberId,
                live,
                head,
                loads: peer.cell_loads(now, within, cells),
            })
        };
        let all = self.peers.iter().enumerate().filter(|(of, _)| *of != usize::from(own));
        all.filter_map(of).collect()
    }

    fn update_estimate(&mut self, now: Micros, peers: &[ActivePeer]) {
        let span = now.saturating_sub(self.last_table_at).min(self.settings.load_ttl);
        let step = std::mem::take(&mut self.step);
        let in_hand = self.in_flight.iter().any(|in_hand| *in_hand > 0);
        self.stalled_for = if step.answered == 0 && in_hand { self.stalled_for + span } else { 0 };
        let wait = match step.answered {
            0 if in_hand => Some(self.capacity.wait().max(self.stalled_for)),
            0 => None,
            answered => Some(step.waited / Micros::from(answered)),
        };
        // A queue that nobody tells of is seen by what it makes late.
        let ended = f64::from(step.answered + step.refused).max(1.0);
        let missed = f64::from(step.missed) / ended;
        let unseen = (self.settings.target_wait() as f64 * (missed * MISSED_WEIGHT).min(3.0)) as Micros;
        let (wait, shed) = (wait.map(|wait| wait.max(unseen)), step.shed);
        let here = self.settings.site_map.own_site();
        let beside =
            || peers.iter().filter(|f| f.live && self.settings.site_map.site_of(f.member) == Some(here));
        let own = self.answered.iter().sum::<f64>();
        let answered = own + beside().map(|f| f.head.answered.min(own * MAX_PEER_ANSWER_RATIO)).sum::<f64>();
        let believed: Vec<f64> = beside().map(|f| f.head.capacity).filter(|told| *told > 0.0).collect();
        // One peer by itself is not believed by who has not learnt yet: it may be a liar.
        let alone = believed.len() == 1 && self.capacity.estimate().is_none();
        let peers = median(believed).filter(|_| !alone);
        self.capacity.update(&Observation { span, wait, answered, shed, peer_estimate: peers });
    }

    /// The table that holds now, by who is believed to be living. One that has stood still for longer than facts are
    /// believed forgets what it was told, and what it counted meanwhile.
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
        let until = now + self.settings.load_ttl / 5;
        let room = self.capacity.admission_rate().zip(self.capacity.estimate());
        let Some((room, believed)) = room else {
            return ShareTable {
                version: self.version,
                valid_until: until,
                shares: None,
                fallback_shares: None,
            };
        };
        let shares = Some(self.split_by_loop(self.shared_allocation(room, live, &peers)));
        let alone = Some(self.split_by_loop(self.fallback_share(believed)));
        ShareTable { version: self.version, valid_until: until, shares, fallback_shares: alone }
    }

    /// Our share as worked out from what all have told.
    fn shared_allocation(&self, room: f64, live: &[bool], peers: &[ActivePeer]) -> Share {
        let settings = &self.settings;
        let (places, cells, own) = (&settings.site_map, settings.cell_count(), self.local_loads());
        let sites = places.sites();
        let mut totals: Vec<f64> = own.iter().map(|load| load.arrivals).collect();
        let mut demand: Vec<SiteDemand> = Vec::new();
        let mut ours = (vec![0.0; cells], 1);
        let silent = self.silent_gateways(live, peers);
        for site in &sites {
            let here = *site == places.own_site();
            let at = || peers.iter().filter(|f| places.site_of(f.member) == Some(*site));
            let told = at().filter(|f| f.live).map(|f| f.head.capacity).filter(|capacity| *capacity > 0.0);
            let room = if here { room } else { median(told.collect()).unwrap_or(f64::MAX) };
            // What is told counts at most for all that the site can do: more could not be taken there either way.
            let mut came = vec![0.0; cells];
            for peer in at() {
                for (cell, load) in peer.loads.iter().enumerate() {
                    let told = load.arrivals.min(room);
                    totals[cell] += told;
                    came[cell] += if peer.live { told } else { 0.0 };
                }
            }
            let rest: f64 = at().filter(|f| f.live).map(|f| f.head.unlisted).sum();
            if here {
                ours.0 = own.iter().map(|load| load.arrivals.min(room)).collect();
                came.iter_mut().zip(&ours.0).for_each(|(all, ours)| *all += ours);
                ours.1 += at().filter(|f| f.live).count() + silent;
            }
            // Pairs that no page has room for take their part of it unseen.
            let known: f64 = came.iter().sum();
            let part = if rest > 0.0 { known / (known + rest) } else { 1.0 };
            let part = if here { part * (ours.1 - silent) as f64 / ours.1 as f64 } else { part };
            demand.push(SiteDemand { capacity: room * part, arrivals: came });
        }
        let within_quota = within_quota(settings, &totals, 1.0);
        let given = allocate(settings, &demand, &within_quota);
        let here = sites.iter().position(|site| *site == places.own_site()).unwrap_or_default();
        let (given, demand) = (&given[here], &demand[here]);
        let least = self.guaranteed_rates(room / ours.1 as f64, &own, peers.len() + 1);
        let rate = |cell: usize| {
            let (all, ours) = (demand.arrivals[cell], ours.0[cell]);
            let given = if all > 0.0 { given.arrivals[cell] * ours / all } else { 0.0 };
            let more = if given >= 0.99 * ours { (given * HEADROOM).max(given.sqrt()) } else { 0.0 };
            (given + more).max(least[cell])
        };
        Share {
            rates: (0..cells).map(rate).collect(),
            spare: given.capacity / (ours.1 - silent) as f64,
            min_rate: 0.0,
            retry_rates: (0..cells).map(|cell| self.retry_rate(cell, &own, peers)).collect(),
        }
    }

    /// How many live at our site without a word: they are taken to have an even part, as they do by a table past its
    /// time.
    fn silent_gateways(&self, live: &[bool], peers: &[ActivePeer]) -> usize {
        let places = &self.settings.site_map;
        let lives = |of: &MemberId| *of != places.own() && live.get(usize::from(*of)) == Some(&true);
        let beside = places.members_at(places.own_site()).filter(lives);
        beside.filter(|of| !peers.iter().any(|peer| peer.member == *of)).count()
    }

    fn retry_rate(&self, cell: usize, own: &[CellLoad], peers: &[ActivePeer]) -> f64 {
        let others: Vec<GatewayLoad> =
            peers.iter().map(|f| GatewayLoad { load: f.loads[cell], lends: f.live }).collect();
        if self.fault == Some(ControllerFault::UndividedRetryBudget) {
            let all =
                others.iter().map(|other| other.load.first_attempts).sum::<f64>() + own[cell].first_attempts;
            return self.settings.retry_share * all;
        }
        gateway_budget(self.settings.retry_share, own[cell], &others)
    }

    /// What we may take of calls within their quotas whatever peers tell: a part of an even share of our site.
    fn guaranteed_rates(&self, even: f64, own: &[CellLoad], gateways: usize) -> Vec<f64> {
        let came: Vec<f64> = own.iter().map(|load| load.arrivals).collect();
        let within = within_quota(&self.settings, &came, MIN_EVEN_SHARE / gateways as f64);
        let came = came.iter().zip(&within).map(|(came, within)| came * within).collect();
        let all = vec![1.0; within.len()];
        allocate(&self.settings, &[SiteDemand { capacity: even * MIN_EVEN_SHARE, arrivals: came }], &all)
            .swap_remove(0)
            .arrivals
    }

    /// Our share without anybody's word: an even part of our site among all that are configured there.
    fn fallback_share(&self, room: f64) -> Share {
        let (places, own) = (&self.settings.site_map, self.local_loads());
        let room = room / places.members_at(places.own_site()).count().max(1) as f64;
        let came: Vec<f64> = own.iter().map(|load| load.arrivals).collect();
        let within = within_quota(&self.settings, &came, 1.0 / places.len() as f64);
        let given = allocate(&self.settings, &[SiteDemand { capacity: room, arrivals: came }], &within)
            .swap_remove(0);
        let retries = own.iter().map(|load| 0.5 * self.settings.retry_share * load.first_attempts);
        Share { rates: given.arrivals, spare: given.capacity, min_rate: 0.0, retry_rates: retries.collect() }
    }

    fn split_by_loop(&self, share: Share) -> Vec<Share> {
        let count = self.loops.len() as f64;
        let split = |at: usize, whole: &[f64], of: fn(&CellLoad) -> f64| {
            let one = |(cell, whole): (usize, &f64)| {
                let all: f64 = self.loops.iter().map(|loads| of(&loads[cell])).sum();
                let part = if all > 0.0 { of(&self.loops[at][cell]) / all } else { 1.0 / count };
                whole * (part * (1.0 - EVEN_LOOP_SHARE) + EVEN_LOOP_SHARE / count)
            };
            whole.iter().enumerate().map(one).collect()
        };
        let all = share.rates.iter().sum::<f64>() + share.spare;
        let trickle = MAX_MIN_RATE.min(all * MIN_RATE_SHARE / share.rates.len() as f64) / count;
        let share = |at: usize| Share {
            rates: split(at, &share.rates, |load| load.arrivals),
            spare: share.spare / count,
            min_rate: trickle,
            retry_rates: split(at, &share.retry_rates, |load| load.first_attempts),
        };
        (0..self.loops.len()).map(share).collect()
    }

    /// When [`Shed::tell`] and [`Shed::table`] are due.
    pub fn next_due(&self) -> Micros {
        self.next_publish_at.min(self.last_table_at + TABLE_INTERVAL)
    }
}
