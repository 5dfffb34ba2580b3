//! Planning at the coordinator of a site: homes of functions, which calls are handed to other sites, and how many.
//!
//! Costs and latencies are in microseconds, rates in calls per second.

use crate::homes::{Homes, PeerHomeStatus, rank};
use crate::settings::RoutingSettings;
use crate::site_stats::{BaselineTimes, SiteStats, load_time};
use crate::types::MAX_REMOTE_ROUTES;
use crate::wire::{HandoverStats, PlannedRoute, PlannedRow};
use basaltward_membership::{Micros, Site};
use std::collections::{BTreeMap, BTreeSet};

/// A home moves only to a site that is cheaper by this factor and, in addition, by `MOVE_MARGIN`.
const MOVE_GAIN: f64 = 1.6;
/// Time in microseconds by which another site has to be cheaper, in addition to the factor.
const MOVE_MARGIN: f64 = 5_000.0;
/// Homes within this factor of the cheapest count as equal; the rank that all sites share decides among them.
const TIE_FACTOR: f64 = 1.25;
/// Calls go to a loaded copy at another site if that is cheaper by this factor and by `MOVE_MARGIN`.
const FOLLOW_GAIN: f64 = 1.25;
/// Time constant in microseconds with which the weight of the statistics of another site decreases with their age.
const STATS_FADE: f64 = 1_000_000.0;
/// Rate of calls that a site may get before it has served any of the local calls.
const INITIAL_RATE: f64 = 8.0;
/// Alternative to `INITIAL_RATE`, as a share of the rate served locally; the larger of the two applies.
const INITIAL_SHARE: f64 = 0.25;
/// The workers of another site count up to this multiple of the local ones.
const MAX_SIZE_RATIO: f64 = 3.0;
/// In addition to the initial rate, a site gets at most this multiple of the rate of local calls that it has served.
const GROWTH_FACTOR: f64 = 2.0;
/// Share of the capacity of the local site up to which calls are served locally.
const LOCAL_FILL: f64 = 0.95;
/// Share of the capacity of another site up to which calls are handed to it.
const REMOTE_FILL: f64 = 1.0;
/// Rate of calls added to the total when shares of refused and lost calls are computed, so that the first ones count
/// less.
const PRIOR_RATE: f64 = 2.0;
/// Factor by which, in each interval, the calls handed to a saturated site are reduced.
const SATURATED_DECAY: f64 = 0.8;
/// Answers may take this multiple of the time that the report of a site implies, plus `LATENCY_SLACK`, before the site
/// is trusted less.
const LATENCY_FACTOR: f64 = 2.0;
/// See `LATENCY_FACTOR`; in microseconds.
const LATENCY_SLACK: f64 = 100_000.0;
/// Time in seconds within which the backlog of waiting calls is to be worked off.
const BACKLOG_DRAIN_S: f64 = 1.0;
/// Preference in microseconds for handing over functions whose calls are handed over already.
const SPILL_STICKINESS: f64 = 50_000.0;

/// Another site that can take calls: its statistics are fresh, and a live gateway of it is reachable.
pub(crate) struct RemoteSite<'a> {
    pub site: Site,
    pub stats: &'a SiteStats,
    /// Round-trip time.
    pub rtt: f64,
    /// Outcomes of local calls handed to it.
    pub handovers: HandoverStats,
    /// Weight of its statistics by their age, from 0 to 1.
    weight: f64,
    refused_share: f64,
    lost_share: f64,
    /// Time by which answers take longer than its reports allow.
    excess_latency: f64,
}

impl<'a> RemoteSite<'a> {
    pub fn new(now: Micros, site: Site, stats: &'a SiteStats, rtt: Micros, handovers: HandoverStats) -> Self {
        let [served, refused, lost] =
            [handovers.served, handovers.refused, handovers.lost].map(|x| f64::from(x) / 1e3);
        let all = served + refused + lost + PRIOR_RATE;
        let weight = (-(stats.age(now) as f64) / STATS_FADE).exp();
        let rtt = rtt as f64;
        // Expected by its report, with slack as the functions handed over differ from its own mix.
        let reported = stats.in_flight * 1e6 / stats.served_rate.max(0.1);
        let allowed = rtt + LATENCY_FACTOR * reported.max(stats.mean_time) + LATENCY_SLACK;
        let excess_latency =
            if served > 0.5 { (f64::from(handovers.mean_time) - allowed).max(0.0) } else { 0.0 };
        Self {
            site,
            stats,
            rtt,
            handovers,
            weight,
            refused_share: refused / all,
            lost_share: lost / all,
            excess_latency,
        }
    }

    fn served_rate(&self) -> f64 {
        f64::from(self.handovers.served) / 1e3
    }

    /// Confidence in its reports from 0 to 1, by their age and by the outcomes of the calls handed to it.
    fn trust(&self) -> f64 {
        let slow = LATENCY_SLACK / (LATENCY_SLACK + self.excess_latency);
        self.weight * (1.0 - self.refused_share).powi(2) * (1.0 - self.lost_share).powi(2) * slow
    }
}

/// Result of one planning round.
#[derive(Debug, Default)]
pub(crate) struct PlanResult {
    /// Rows of functions whose calls are not all served locally.
    pub rows: Vec<PlannedRow>,
    /// Load above the local capacity, in calls in service.
    pub excess: f64,
}

/// State kept between planning rounds.
#[derive(Debug, Default)]
pub(crate) struct Planner {
    /// Calls in service that a worker can sustain: the most observed while calls were waiting; 0 until then.
    calls_per_worker: f64,
    /// Rate of calls handed to each site for lack of local capacity.
    spill_rates: BTreeMap<Site, f64>,
    /// Functions with calls handed over for lack of local capacity.
    spilled: BTreeSet<u32>,
    /// Functions whose calls go to their home or to a loaded copy at another site.
    followed: BTreeMap<u32, Site>,
}

/// Input of one planning round.
pub(crate) struct PlanInput<'a> {
    pub now: Micros,
    pub settings: &'a RoutingSettings,
    pub baselines: &'a BaselineTimes,
    pub local: &'a SiteStats,
    pub remotes: Vec<RemoteSite<'a>>,
    /// Live gateways of the local site.
    pub gateways: usize,
    /// Number of the next local report.
    pub next_report: u64,
    /// Injected fault: homes move without thresholds and bids.
    pub no_hysteresis: bool,
}

impl PlanInput<'_> {
    fn local_site(&self) -> Site {
        self.settings.site_map.own_site()
    }

    /// Cost of a call at another site whose own cost is `cost`: adds the local queueing time as far as the statistics are
    /// outdated, the link, and the expected loss by calls that fail there.
    fn remote_cost(&self, remote: &RemoteSite, function: u32, cost: f64) -> f64 {
        let local_wait =
            (1.0 - remote.weight) * self.local.wait_time(self.settings, self.baselines, function);
        let spec = &self.settings.functions[function as usize];
        let lost = remote.lost_share * (spec.deadline as f64 / 2.0);
        let refused = remote.refused_share * (remote.rtt + self.current_local_cost(function));
        cost + local_wait + remote.rtt + lost + refused + remote.excess_latency
    }

    fn current_remote_cost(&self, remote: &RemoteSite, function: u32) -> f64 {
        self.remote_cost(remote, function, remote.stats.current_cost(self.settings, self.baselines, function))
    }

    fn current_local_cost(&self, function: u32) -> f64 {
        self.local.current_cost(self.settings, self.baselines, function)
    }

    /// Highest rate of calls that a site may get, by the calls that it has served so far.
    fn rate_limit(&self, remote: &RemoteSite) -> f64 {
        (INITIAL_RATE.max(INITIAL_SHARE * self.local.served_rate) + GROWTH_FACTOR * remote.served_rate())
            * remote.trust()
    }

    /// Rate of calls of a function from other sites, by the home that those sites have for it.
    fn rates_by_home(&self, function: u32) -> BTreeMap<Site, f64> {
        let mut calls = BTreeMap::new();
        for remote in &self.remotes {
            let home = remote.stats.home_status(remote.site, function).home;
            *calls.entry(home).or_default() += remote.stats.function(function).slow_arrivals();
        }
        calls
    }

    fn remote(&self, site: Site) -> Option<&RemoteSite<'_>> {
        self.remotes.iter().find(|remote| remote.site == site)
    }

    /// A route for `share` of the calls, at a rate of `calls`. Its limit per loop and interval leaves a margin of two.
    fn planned_route(&self, remote: &RemoteSite, function: u32, share: f64, calls: f64) -> PlannedRoute {
        let loops = self.gateways.max(1) as f64 * f64::from(self.settings.loops);
        let limit = (2.0 * calls * self.settings.interval as f64 / 1e6 / loops).ceil() + 1.0;
        PlannedRoute {
            site: remote.site,
            expected_latency: self.current_remote_cost(remote, function) as Micros,
            share: (share.clamp(0.0, 1.0) * 65_535.0) as u16,
            call_limit: limit.min(65_535.0) as u16,
        }
    }
}

impl Planner {
    /// Plans the rows of the routing table and moves homes.
    pub fn plan(&mut self, input: &PlanInput, homes: &mut Homes) -> PlanResult {
        self.move_homes(input, homes);
        let excess = self.update_excess(input);
        let mut rows = BTreeMap::new();
        self.plan_handovers(input, homes, &mut rows);
        self.plan_spill(input, homes, excess, &mut rows);
        PlanResult { rows: rows.into_values().collect(), excess }
    }

    fn move_homes(&self, input: &PlanInput, homes: &mut Homes) {
        let (now, local_site) = (input.now, input.local_site());
        let mut preferred = BTreeMap::new();
        let mut functions: BTreeSet<_> = homes.tracked_functions().into_iter().collect();
        functions.extend(input.local.functions.values().filter(|f| f.slow_arrivals > 0).map(|f| f.function));
        for function in functions {
            let home = homes.home_of(function);
            if home != local_site
                && input
                    .remote(home)
                    .is_none_or(|remote| remote.stats.home_status(home, function).home != home)
            {
                homes.move_back(now, function);
                continue;
            }
            let (gain, margin) = if input.no_hysteresis { (1.0, 0.0) } else { (MOVE_GAIN, MOVE_MARGIN) };
            // A local queue is no reason to move a home: the excess is handed over call by call.
            let (rates_by_home, local_rate) =
                (input.rates_by_home(function), input.local.function(function).slow_arrivals());
            let long_run_cost = |stats: &SiteStats, site: Site| {
                let calls = local_rate + rates_by_home.get(&site).copied().unwrap_or(0.0);
                stats.long_run_cost(input.settings, input.baselines, function, calls)
            };
            let local_cost = long_run_cost(input.local, local_site);
            let wait =
                |remote: &RemoteSite| remote.stats.wait_time(input.settings, input.baselines, function);
            let cost = |remote: &RemoteSite| {
                input.remote_cost(remote, function, long_run_cost(remote.stats, remote.site) + wait(remote))
            };
            let current_cost = input.remote(home).map_or(local_cost, cost);
            let better = |cost: f64| cost * gain + margin < current_cost;
            if home != local_site
                && better(local_cost)
                && (input.no_hysteresis || !homes.is_dwelling(now, function))
            {
                homes.move_back(now, function);
                continue;
            }
            let accepting = input
                .remotes
                .iter()
                .filter(|remote| remote.stats.home_status(remote.site, function).home == remote.site);
            let costs: Vec<_> =
                accepting.map(|remote| (cost(remote), remote)).filter(|(cost, _)| better(*cost)).collect();
            let lowest = costs.iter().map(|(cost, _)| *cost).fold(f64::INFINITY, f64::min);
            let equal = costs.iter().filter(|(cost, _)| *cost <= lowest * TIE_FACTOR);
            let Some((_, best)) = equal.max_by_key(|(_, remote)| rank(function, remote.site)) else {
                continue;
            };
            if input.no_hysteresis {
                homes.adopt(now, function, best.site, false);
                continue;
            }
            preferred.insert(function, best.site);
            let peer = PeerHomeStatus {
                status: best.stats.home_status(best.site, function),
                acked: best.stats.acked_report,
            };
            homes.request_move(now, function, best.site, input.next_report, &peer);
        }
        homes.expire_bids(now, &preferred);
    }

    /// Updates the capacity of a worker, and returns the load above the local capacity.
    fn update_excess(&mut self, input: &PlanInput) -> f64 {
        let local = input.local;
        if local.workers == 0.0 {
            return 0.0;
        }
        let per_worker = local.in_service / local.workers;
        self.calls_per_worker = match self.calls_per_worker {
            0.0 if !local.saturated() => return 0.0,
            capacity if per_worker > capacity => per_worker,
            capacity if local.saturated() => capacity + (per_worker - capacity) * 0.1,
            // Calls are handed over, so the real capacity may be higher: raise the estimate slowly to probe it.
            capacity if self.spill_rates.values().any(|calls| *calls > 1.0) => capacity * 1.005,
            capacity => capacity,
        };
        let site_capacity = self.calls_per_worker * local.workers;
        let offered: f64 = local
            .functions
            .values()
            .map(|f| f.arrivals().max(f.served()) * input.baselines.get(input.settings, f.function) / 1e6)
            .sum();
        let waiting = (local.in_flight - site_capacity).max(0.0) * local.mean_time / 1e6;
        (offered + waiting / BACKLOG_DRAIN_S - LOCAL_FILL * site_capacity).max(0.0)
    }

    /// Plans rows for functions whose home is another site, and for those with a loaded copy at another site but none here.
    fn plan_handovers(&mut self, input: &PlanInput, homes: &Homes, rows: &mut BTreeMap<u32, PlannedRow>) {
        let (local_site, now) = (input.local_site(), input.now);
        let mut functions: BTreeSet<_> = homes.tracked_functions().into_iter().collect();
        for stats in input.remotes.iter().map(|remote| remote.stats).chain([input.local]) {
            functions.extend(stats.functions.values().filter(|f| f.peak_in_flight > 0).map(|f| f.function));
        }
        let mut followed = BTreeMap::new();
        for function in functions {
            let (home, local_cost) = (homes.home_of(function), input.current_local_cost(function));
            let no_local_copy = input.local.warm_probability(input.settings, function) == 0.0;
            let sticky_cost = |remote: &RemoteSite| {
                let preferred = self.followed.get(&function) == Some(&remote.site) || remote.site == home;
                input.current_remote_cost(remote, function) / if preferred { MOVE_GAIN } else { 1.0 }
            };
            let warm = |remote: &&RemoteSite| remote.stats.warm_probability(input.settings, function) > 0.0;
            let with_copy = input.remotes.iter().filter(warm).filter(|_| no_local_copy);
            let best = with_copy.min_by(|a, b| sticky_cost(a).total_cmp(&sticky_cost(b)));
            let best = best.filter(|remote| sticky_cost(remote) * FOLLOW_GAIN + MOVE_MARGIN < local_cost);
            let at_home = input.remote(home).filter(|remote| {
                input.current_remote_cost(remote, function) < local_cost * MOVE_GAIN + MOVE_MARGIN
            });
            let to = if home == local_site { best } else { at_home.or(best) };
            let mut row = PlannedRow {
                function,
                home,
                dwelling: homes.is_dwelling(now, function),
                local_latency: local_cost as Micros,
                warm_at_home: input.remote(home).map_or(!no_local_copy, |remote| warm(&remote)),
                ..PlannedRow::default()
            };
            if let Some(remote) = to {
                let stats = input.local.function(function);
                let (calls, allowed) = (stats.arrivals(), input.rate_limit(remote).max(1.0));
                let share = if calls > allowed { allowed / calls } else { 1.0 };
                // With many calls a local copy pays off: keep a few calls here, which cause it to be loaded.
                let interval = input.settings.interval as f64 / 1e6;
                let calls_per_keep_alive = stats.slow_arrivals() * input.settings.keep_alive as f64 / 1e6;
                let pays_off =
                    remote.rtt > load_time(input.settings, function) / calls_per_keep_alive.max(1.0);
                let keep_some = home == local_site && stats.in_flight() < 0.5 && pays_off;
                let share =
                    if keep_some { share.min(1.0 - (0.25 / (calls * interval)).min(0.5)) } else { share };
                row.remote_routes[0] = input.planned_route(remote, function, share, calls.min(allowed));
                followed.insert(function, remote.site);
            }
            if to.is_some() || home != local_site {
                rows.insert(function, row);
            }
        }
        self.followed = followed;
    }

    /// Plans rows that hand the load above the local capacity to other sites, by their free capacity.
    fn plan_spill(
        &mut self,
        input: &PlanInput,
        homes: &Homes,
        excess: f64,
        rows: &mut BTreeMap<u32, PlannedRow>,
    ) {
        let mean_s = (input.local.mean_time / 1e6).max(1e-6);
        let mut available = self.allocate_spill(input, excess, mean_s);
        let mut spilled = BTreeSet::new();
        let saturated = input.local.saturated();
        if !saturated && available.values().all(|calls| *calls < 0.1) {
            self.spilled = spilled;
            return;
        }
        let at_home = |f: &u32| homes.home_of(*f) == input.local_site();
        let local_functions =
            input.local.functions.values().filter(|f| f.arrivals > 0 && at_home(&f.function));
        let mut by_extra_cost = Vec::new();
        for stats in local_functions.filter(|f| !rows.contains_key(&f.function)) {
            let function = stats.function;
            let local_cost = input.current_local_cost(function);
            let mut candidates: Vec<_> = input
                .remotes
                .iter()
                .map(|remote| (input.current_remote_cost(remote, function), remote))
                .collect();
            candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
            let Some((lowest_cost, _)) = candidates.first() else { return };
            let preference = if self.spilled.contains(&function) { SPILL_STICKINESS } else { 0.0 };
            by_extra_cost.push((lowest_cost - local_cost - preference, stats, local_cost, candidates));
        }
        by_extra_cost.sort_by(|a, b| a.0.total_cmp(&b.0));
        let arrivals: f64 = by_extra_cost.iter().map(|(_, stats, ..)| stats.arrivals()).sum();
        for (_, stats, local_cost, candidates) in by_extra_cost {
            let (function, calls) = (stats.function, stats.arrivals());
            let aim = input.settings.functions[function as usize].aim as f64;
            let (mut row, mut remaining, mut used) = (PlannedRow::default(), calls, 0);
            for (remote_cost, remote) in
                candidates.into_iter().filter(|(remote_cost, _)| *remote_cost < local_cost.max(aim))
            {
                let free_rate = available.entry(remote.site).or_default();
                let taken = free_rate.min(remaining);
                let overflow = saturated && remote_cost < local_cost;
                if used == MAX_REMOTE_ROUTES || (taken < 0.05 && !overflow) {
                    continue;
                }
                let reserve = input.rate_limit(remote) * calls / arrivals.max(1.0);
                row.remote_routes[used] =
                    input.planned_route(remote, function, taken / calls, taken.max(reserve));
                (*free_rate, remaining, used) = (*free_rate - taken, remaining - taken, used + 1);
                if taken > 0.0 {
                    spilled.insert(function);
                }
            }
            if used > 0 {
                let (home, dwelling) = (input.local_site(), homes.is_dwelling(input.now, function));
                rows.insert(
                    function,
                    PlannedRow {
                        function,
                        home,
                        dwelling,
                        local_latency: local_cost as Micros,
                        warm_at_home: true,
                        ..row
                    },
                );
            }
        }
        self.spilled = spilled;
    }

    /// Rate of calls for each site, in proportion to its free capacity. Of that capacity, this site takes a part according
    /// to its share of the excess of all sites, up to the rate limit of the site.
    fn allocate_spill(&mut self, input: &PlanInput, excess: f64, mean_s: f64) -> BTreeMap<Site, f64> {
        let capacity = |remote: &RemoteSite| {
            let local_load = remote.served_rate() * mean_s;
            let workers = remote.stats.workers.min(MAX_SIZE_RATIO * input.local.workers);
            let free = (REMOTE_FILL * self.calls_per_worker * workers - remote.stats.in_service + local_load)
                .max(0.0);
            let other_excess: f64 = input
                .remotes
                .iter()
                .filter(|other| other.site != remote.site)
                .map(|other| other.stats.excess * other.weight)
                .sum();
            let share = if excess > 0.0 { excess / (excess + other_excess) } else { 0.0 };
            if remote.stats.saturated() {
                local_load * SATURATED_DECAY
            } else {
                (free * share * remote.trust()).max(0.0)
            }
        };
        let capacities: Vec<_> = input.remotes.iter().map(|remote| (remote, capacity(remote))).collect();
        let total: f64 = capacities.iter().map(|(_, capacity)| capacity).sum();
        let rates = capacities.into_iter().map(|(remote, capacity)| {
            let allotted = if total > 0.0 { capacity.min(excess * capacity / total) } else { 0.0 };
            let previous = self.spill_rates.get(&remote.site).copied().unwrap_or(0.0);
            // Increase at once, as calls are waiting. Decrease by half of the difference per round, as reports lag behind
            // the calls handed over.
            let smooth = (allotted / mean_s).max(f64::midpoint(allotted / mean_s, previous));
            (remote.site, smooth.min(input.rate_limit(remote)))
        });
        let rates: BTreeMap<_, _> = rates.collect();
        self.spill_rates.clone_from(&rates);
        rates
    }
}
