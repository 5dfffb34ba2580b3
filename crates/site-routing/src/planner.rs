//! What a site's teller works out from all that is known: homes, what goes elsewhere, and how much of it.

use crate::homes::{Homes, PeerHomeStatus, rank};
use crate::settings::RoutingSettings;
use crate::site_stats::{BaselineTimes, SiteStats as Known, load_time};
use crate::types::MAX_REMOTE_ROUTES;
use crate::wire::{HandoverStats, PlannedRoute, PlannedRow};
use basaltward_membership::{Micros, Site};
use std::collections::{BTreeMap, BTreeSet};

/// A home is left once another is cheaper by this factor, and by this time besides.
const MOVE_GAIN: f64 = 1.6;
const MOVE_MARGIN: f64 = 5_000.0;
/// Homes within this factor of the cheapest are as good: the order that all sites share decides among them.
const TIE_FACTOR: f64 = 1.25;
/// A copy that stands elsewhere is gone to where that is cheaper by this factor.
const FOLLOW_GAIN: f64 = 1.25;
/// Figures fade against our own state in this time.
const STATS_FADE: f64 = 1_000_000.0;
/// Calls a second that a site gets before it has served any of ours, and as a share of what we serve.
const FIRST: (f64, f64) = (8.0, 0.25);
/// A site of more workers than this multiple of ours counts as one of so many.
const MAX_SIZE_RATIO: f64 = 3.0;
/// Beside these a site gets at most so many times what it has served of ours.
const GROWTH_FACTOR: f64 = 2.0;
/// Shares of what a site can bear that we keep, and that we give to others' sites.
const FILL: (f64, f64) = (0.95, 1.0);
/// Calls a second that stand against the first refused or lost ones.
const PRIOR_RATE: f64 = 2.0;
/// What is left, each telling, of what went to a site where calls wait.
const SATURATED_DECAY: f64 = 0.8;
/// Answers may take this multiple of what a site's word has them take, and this more, before it is doubted.
const LONGER: (f64, f64) = (2.0, 100_000.0);
/// What waits above what is in service is to be worked off in this time, in seconds.
const BACKLOG_DRAIN_S: f64 = 1.0;
/// By how much a function that goes elsewhere already comes before one that does not.
const SPILL_STICKINESS: f64 = 50_000.0;

/// Another site as a place for calls: it is up, its figures are fresh, and a gateway of it lives.
pub(crate) struct RemoteSite<'a> {
    pub site: Site,
    pub stats: &'a Known,
    /// Time there and back.
    pub rtt: f64,
    /// How our calls ended there.
    pub handovers: HandoverStats,
    /// Weight of its figures by their age.
    weight: f64,
    refused_share: f64,
    lost_share: f64,
    /// How much longer answers take than its word has it.
    excess_latency: f64,
}

impl<'a> RemoteSite<'a> {
    pub fn new(now: Micros, site: Site, known: &'a Known, way: Micros, ends: HandoverStats) -> Self {
        let [served, refused, lost] = [ends.served, ends.refused, ends.lost].map(|x| f64::from(x) / 1e3);
        let all = served + refused + lost + PRIOR_RATE;
        let weight = (-(known.age(now) as f64) / STATS_FADE).exp();
        let way = way as f64;
        // By its word, with slack for a mix of functions that is not its own.
        let told = known.in_flight * 1e6 / known.served_rate.max(0.1);
        let told = way + LONGER.0 * told.max(known.mean_time) + LONGER.1;
        let longer = if served > 0.5 { (f64::from(ends.mean_time) - told).max(0.0) } else { 0.0 };
        Self {
            site,
            stats: known,
            rtt: way,
            handovers: ends,
            weight,
            refused_share: refused / all,
            lost_share: lost / all,
            excess_latency: longer,
        }
    }

    fn served_rate(&self) -> f64 {
        f64::from(self.handovers.served) / 1e3
    }

    /// What its word is worth: by its age, and by what became of the calls it was trusted with.
    fn trust(&self) -> f64 {
        let slow = LONGER.1 / (LONGER.1 + self.excess_latency);
        self.weight * (1.0 - self.refused_share).powi(2) * (1.0 - self.lost_share).powi(2) * slow
    }
}

/// What one working out gives.
#[derive(Debug, Default)]
pub(crate) struct PlanResult {
    pub rows: Vec<PlannedRow>,
    /// Work that we have above what we can do, in calls in service.
    pub excess: f64,
}

/// What is kept from one working out to the next.
#[derive(Debug, Default)]
pub(crate) struct Planner {
    /// Calls in service that a worker bears: the most seen while calls waited; 0 until then.
    calls_per_worker: f64,
    /// Calls a second handed to each site for want of room here.
    spill_rates: BTreeMap<Site, f64>,
    /// Functions of which calls went elsewhere for want of room.
    spilled: BTreeSet<u32>,
    /// Functions that follow a copy that stands elsewhere.
    followed: BTreeMap<u32, Site>,
}

/// All that a working out looks at.
pub(crate) struct PlanInput<'a> {
    pub now: Micros,
    pub settings: &'a RoutingSettings,
    pub baselines: &'a BaselineTimes,
    pub local: &'a Known,
    pub remotes: Vec<RemoteSite<'a>>,
    /// Gateways of our site, and the number of our next word.
    pub gateways: usize,
    pub next_report: u64,
    /// No home is held by a threshold, and none is bid for.
    pub no_hysteresis: bool,
}

impl PlanInput<'_> {
    fn local_site(&self) -> Site {
        self.settings.site_map.own_site()
    }

    /// What we think of a site's cost: told figures, drawn toward our own wait as they age, the way, and what is lost by
    /// calls that end badly there.
    fn remote_cost(&self, other: &RemoteSite, function: u32, cost: f64) -> f64 {
        let doubt = (1.0 - other.weight) * self.local.wait_time(self.settings, self.baselines, function);
        let told = &self.settings.functions[function as usize];
        let lost = other.lost_share * (told.deadline as f64 / 2.0);
        let refused = other.refused_share * (other.rtt + self.current_local_cost(function));
        cost + doubt + other.rtt + lost + refused + other.excess_latency
    }

    fn current_remote_cost(&self, other: &RemoteSite, function: u32) -> f64 {
        self.remote_cost(other, function, other.stats.current_cost(self.settings, self.baselines, function))
    }

    fn current_local_cost(&self, function: u32) -> f64 {
        self.local.current_cost(self.settings, self.baselines, function)
    }

    /// Calls a second that a site may get of ours, by what it has proven.
    fn rate_limit(&self, other: &RemoteSite) -> f64 {
        (FIRST.0.max(FIRST.1 * self.local.served_rate) + GROWTH_FACTOR * other.served_rate()) * other.trust()
    }

    /// Calls a second of a function by the site that they are at home at, ours aside.
    fn rates_by_home(&self, function: u32) -> BTreeMap<Site, f64> {
        let mut calls = BTreeMap::new();
        for other in &self.remotes {
            let home = other.stats.home_status(other.site, function).home;
            *calls.entry(home).or_default() += other.stats.function(function).slow_arrivals();
        }
        calls
    }

    fn remote(&self, site: Site) -> Option<&RemoteSite<'_>> {
        self.remotes.iter().find(|other| other.site == site)
    }

    fn planned_route(&self, other: &RemoteSite, function: u32, share: f64, calls: f64) -> PlannedRoute {
        let loops = self.gateways.max(1) as f64 * f64::from(self.settings.loops);
        let room = (2.0 * calls * self.settings.interval as f64 / 1e6 / loops).ceil() + 1.0;
        PlannedRoute {
            site: other.site,
            expected_latency: self.current_remote_cost(other, function) as Micros,
            share: (share.clamp(0.0, 1.0) * 65_535.0) as u16,
            call_limit: room.min(65_535.0) as u16,
        }
    }
}

impl Planner {
    /// Works out rows from a view; homes move by it.
    pub fn plan(&mut self, view: &PlanInput, homes: &mut Homes) -> PlanResult {
        self.move_homes(view, homes);
        let over = self.update_excess(view);
        let mut rows = BTreeMap::new();
        self.plan_handovers(view, homes, &mut rows);
        self.plan_spill(view, homes, over, &mut rows);
        PlanResult { rows: rows.into_values().collect(), excess: over }
    }

    fn move_homes(&self, view: &PlanInput, homes: &mut Homes) {
        let (now, here) = (view.now, view.local_site());
        let mut wished = BTreeMap::new();
        let mut functions: BTreeSet<_> = homes.tracked_functions().into_iter().collect();
        functions.extend(view.local.functions.values().filter(|f| f.slow_arrivals > 0).map(|f| f.function));
        for function in functions {
            let at = homes.home_of(function);
            if at != here && view.remote(at).is_none_or(|o| o.stats.home_status(at, function).home != at) {
                homes.move_back(now, function);
                continue;
            }
            let (gain, margin) = if view.no_hysteresis { (1.0, 0.0) } else { (MOVE_GAIN, MOVE_MARGIN) };
            // A queue here is no reason to move a home: what can't be done here goes elsewhere call by call.
            let (at_homes, ours) =
                (view.rates_by_home(function), view.local.function(function).slow_arrivals());
            let placed = |known: &Known, site: Site| {
                let calls = ours + at_homes.get(&site).copied().unwrap_or(0.0);
                known.long_run_cost(view.settings, view.baselines, function, calls)
            };
            let cost_here = placed(view.local, here);
            let wait = |o: &RemoteSite| o.stats.wait_time(view.settings, view.baselines, function);
            let cost = |o: &RemoteSite| view.remote_cost(o, function, placed(o.stats, o.site) + wait(o));
            let held = view.remote(at).map_or(cost_here, cost);
            let better = |cost: f64| cost * gain + margin < held;
            if at != here && better(cost_here) && (view.no_hysteresis || !homes.is_dwelling(now, function)) {
                homes.move_back(now, function);
                continue;
            }
            let open = view.remotes.iter().filter(|o| o.stats.home_status(o.site, function).home == o.site);
            let costs: Vec<_> = open.map(|o| (cost(o), o)).filter(|(cost, _)| better(*cost)).collect();
            let least = costs.iter().map(|(cost, _)| *cost).fold(f64::INFINITY, f64::min);
            let alike = costs.iter().filter(|(cost, _)| *cost <= least * TIE_FACTOR);
            let Some((_, best)) = alike.max_by_key(|(_, o)| rank(function, o.site)) else { continue };
            if view.no_hysteresis {
                homes.adopt(now, function, best.site, false);
                continue;
            }
            wished.insert(function, best.site);
            let said = PeerHomeStatus {
                status: best.stats.home_status(best.site, function),
                acked: best.stats.acked_report,
            };
            homes.request_move(now, function, best.site, view.next_report, &said);
        }
        homes.expire_bids(now, &wished);
    }

    /// Learns what a worker bears, and gives the work that is above what we can do.
    fn update_excess(&mut self, view: &PlanInput) -> f64 {
        let own = view.local;
        if own.workers == 0.0 {
            return 0.0;
        }
        let each = own.in_service / own.workers;
        self.calls_per_worker = match self.calls_per_worker {
            0.0 if !own.saturated() => return 0.0,
            bear if each > bear => each,
            bear if own.saturated() => bear + (each - bear) * 0.1,
            // Perhaps it bears more: it is found out by keeping more, where some is given away.
            bear if self.spill_rates.values().any(|calls| *calls > 1.0) => bear * 1.005,
            bear => bear,
        };
        let bears = self.calls_per_worker * own.workers;
        let offered: f64 = own
            .functions
            .values()
            .map(|f| f.arrivals().max(f.served()) * view.baselines.get(view.settings, f.function) / 1e6)
            .sum();
        let waiting = (own.in_flight - bears).max(0.0) * own.mean_time / 1e6;
        (offered + waiting / BACKLOG_DRAIN_S - FILL.0 * bears).max(0.0)
    }

    /// Calls of functions whose home is elsewhere, and of those of which a copy stands elsewhere and none here.
    fn plan_handovers(&mut self, view: &PlanInput, homes: &Homes, rows: &mut BTreeMap<u32, PlannedRow>) {
        let (here, now) = (view.local_site(), view.now);
        let mut functions: BTreeSet<_> = homes.tracked_functions().into_iter().collect();
        for known in view.remotes.iter().map(|o| o.stats).chain([view.local]) {
            functions.extend(known.functions.values().filter(|f| f.peak_in_flight > 0).map(|f| f.function));
        }
        let mut followed = BTreeMap::new();
        for function in functions {
            let (home, here_now) = (homes.home_of(function), view.current_local_cost(function));
            let cold = view.local.warm_probability(view.settings, function) == 0.0;
            let sticks = |o: &RemoteSite| {
                let before = self.followed.get(&function) == Some(&o.site) || o.site == home;
                view.current_remote_cost(o, function) / if before { MOVE_GAIN } else { 1.0 }
            };
            let warm = |o: &&RemoteSite| o.stats.warm_probability(view.settings, function) > 0.0;
            let stands = view.remotes.iter().filter(warm).filter(|_| cold);
            let best = stands.min_by(|a, b| sticks(a).total_cmp(&sticks(b)));
            let best = best.filter(|o| sticks(o) * FOLLOW_GAIN + MOVE_MARGIN < here_now);
            let at_home = view
                .remote(home)
                .filter(|o| view.current_remote_cost(o, function) < here_now * MOVE_GAIN + MOVE_MARGIN);
            let to = if home == here { best } else { at_home.or(best) };
            let mut row = PlannedRow {
                function,
                home,
                dwelling: homes.is_dwelling(now, function),
                local_latency: here_now as Micros,
                warm_at_home: view.remote(home).map_or(!cold, |o| warm(&o)),
                ..PlannedRow::default()
            };
            if let Some(other) = to {
                let figure = view.local.function(function);
                let (calls, allowed) = (figure.arrivals(), view.rate_limit(other).max(1.0));
                let share = if calls > allowed { allowed / calls } else { 1.0 };
                // Where calls are many a copy here pays: one call a while stays, for which it is loaded.
                let every = view.settings.interval as f64 / 1e6;
                let kept = figure.slow_arrivals() * view.settings.keep_alive as f64 / 1e6;
                let pays = other.rtt > load_time(view.settings, function) / kept.max(1.0);
                let stays = home == here && figure.in_flight() < 0.5 && pays;
                let share = if stays { share.min(1.0 - (0.25 / (calls * every)).min(0.5)) } else { share };
                row.remote_routes[0] = view.planned_route(other, function, share, calls.min(allowed));
                followed.insert(function, other.site);
            }
            if to.is_some() || home != here {
                rows.insert(function, row);
            }
        }
        self.followed = followed;
    }

    /// What we can't do ourselves goes to sites in proportion to their room.
    fn plan_spill(
        &mut self,
        view: &PlanInput,
        homes: &Homes,
        over: f64,
        rows: &mut BTreeMap<u32, PlannedRow>,
    ) {
        let mean = (view.local.mean_time / 1e6).max(1e-6);
        let mut left = self.allocate_spill(view, over, mean);
        let mut spilt = BTreeSet::new();
        let late = view.local.saturated();
        if !late && left.values().all(|calls| *calls < 0.1) {
            self.spilled = spilt;
            return;
        }
        let plain = |f: &u32| homes.home_of(*f) == view.local_site();
        let ours = view.local.functions.values().filter(|f| f.arrivals > 0 && plain(&f.function));
        let mut by_gain = Vec::new();
        for figure in ours.filter(|f| !rows.contains_key(&f.function)) {
            let function = figure.function;
            let here = view.current_local_cost(function);
            let mut ways: Vec<_> =
                view.remotes.iter().map(|o| (view.current_remote_cost(o, function), o)).collect();
            ways.sort_by(|a, b| a.0.total_cmp(&b.0));
            let Some((first, _)) = ways.first() else { return };
            let sticks = if self.spilled.contains(&function) { SPILL_STICKINESS } else { 0.0 };
            by_gain.push((first - here - sticks, figure, here, ways));
        }
        by_gain.sort_by(|a, b| a.0.total_cmp(&b.0));
        let came: f64 = by_gain.iter().map(|(_, figure, ..)| figure.arrivals()).sum();
        for (_, figure, here, ways) in by_gain {
            let (function, calls) = (figure.function, figure.arrivals());
            let aim = view.settings.functions[function as usize].aim as f64;
            let (mut row, mut rest, mut used) = (PlannedRow::default(), calls, 0);
            for (there, other) in ways.into_iter().filter(|(there, _)| *there < here.max(aim)) {
                let room = left.entry(other.site).or_default();
                let taken = room.min(rest);
                let spare = late && there < here;
                if used == MAX_REMOTE_ROUTES || (taken < 0.05 && !spare) {
                    continue;
                }
                let held_ready = view.rate_limit(other) * calls / came.max(1.0);
                row.remote_routes[used] =
                    view.planned_route(other, function, taken / calls, taken.max(held_ready));
                (*room, rest, used) = (*room - taken, rest - taken, used + 1);
                if taken > 0.0 {
                    spilt.insert(function);
                }
            }
            if used > 0 {
                let (home, stays) = (view.local_site(), homes.is_dwelling(view.now, function));
                rows.insert(
                    function,
                    PlannedRow {
                        function,
                        home,
                        dwelling: stays,
                        local_latency: here as Micros,
                        warm_at_home: true,
                        ..row
                    },
                );
            }
        }
        self.spilled = spilt;
    }

    /// Calls a second for each site: its room, of which we take our part among those that have too much, in proportion
    /// to that of other sites, and no more than twice what it has served of ours.
    fn allocate_spill(&mut self, view: &PlanInput, over: f64, mean: f64) -> BTreeMap<Site, f64> {
        let room = |o: &RemoteSite| {
            let ours = o.served_rate() * mean;
            let workers = o.stats.workers.min(MAX_SIZE_RATIO * view.local.workers);
            let free = (FILL.1 * self.calls_per_worker * workers - o.stats.in_service + ours).max(0.0);
            let others: f64 =
                view.remotes.iter().filter(|x| x.site != o.site).map(|x| x.stats.excess * x.weight).sum();
            let part = if over > 0.0 { over / (over + others) } else { 0.0 };
            if o.stats.saturated() { ours * SATURATED_DECAY } else { (free * part * o.trust()).max(0.0) }
        };
        let rooms: Vec<_> = view.remotes.iter().map(|o| (o, room(o))).collect();
        let all: f64 = rooms.iter().map(|(_, room)| room).sum();
        let given = rooms.into_iter().map(|(o, room)| {
            let fair = if all > 0.0 { room.min(over * room / all) } else { 0.0 };
            let before = self.spill_rates.get(&o.site).copied().unwrap_or(0.0);
            // More at once, as calls wait meanwhile; less by halves, as told figures lag behind what was given.
            let smooth = (fair / mean).max(f64::midpoint(fair / mean, before));
            (o.site, smooth.min(view.rate_limit(o)))
        });
        let given: BTreeMap<_, _> = given.collect();
        self.spill_rates.clone_from(&given);
        given
    }
}
