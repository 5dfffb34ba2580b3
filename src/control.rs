//! The scheduling policy. Events and actions are defined in `src/interface.rs`, the state in `src/state.rs`.
//! Each function is placed on the worker whose memory pressure ratio (weighted demand over free memory) would
//! be lowest. Its requests go there and overflow to other workers by the same rule. A timer moves the
//! function when another worker is better by more than a threshold, and removes records of idle copies.

use crate::interface::*;
use crate::state::*;
use crate::worker_access::Access;
use std::collections::BTreeSet;

/// Weight of the ratio against the shared hash: a worker with 1.25 times another's ratio wins in 3 of 10.
const RATIO_EXPONENT: f64 = 4.0;
/// A function leaves its home once another worker's ratio is lower by this factor.
const REBALANCE_GAIN: f64 = 1.6;
/// Calls per worker in the window at which one of many schedulers weighs its own data like the fleet's mean.
const CONFIDENT_CALLS: f64 = 20.0;
/// Share of the memory planned for copies; running requests and other schedulers' placements take the rest.
const COPY_MEMORY_SHARE: f64 = 0.5;
/// Interval at which waiting calls are routed again.
const SWEEP_US: Micros = 50_000;
/// Interval at which fleet statistics are refreshed and records of idle copies removed.
const MAINTENANCE_US: Micros = 500_000;
/// Interval at which functions are checked for a better home.
const REBALANCE_US: Micros = 1_000_000;
/// Functions checked for a better home in one sweep; this covers several hundred per second.
const REBALANCE_BATCH: usize = 16;
/// Penalties of a worker decay to 1/e in this time.
const DECAY_US: f64 = 6_000_000.0;
/// Slowness below this is treated as random variation.
const TOLERANCE: f64 = 0.5;
/// A worker whose penalty exceeds the fleet's baseline by this factor is suspect and gets no requests.
const SUSPECT_FACTOR: f64 = 3.0;
/// Share of attempts rejected, timed out or answered late above which new requests are refused.
const OVERLOAD_SHARE: f64 = 0.15;
/// Window over which a tenant's calls are counted against its share.
const SHARE_WINDOW_US: f64 = 3_000_000.0;
/// Crowd and load reports decay to 1/e in this time.
const CROWD_US: f64 = 2_000_000.0;
/// Number of measured gaps between answers required to predict the wait in a queue.
const MIN_ANSWER_GAPS: u32 = 10;
/// Gap between load orders after the first failed load; it doubles with each further failure.
const MIN_LOAD_GAP_US: Micros = 50_000;
/// Longest gap between load orders.
const MAX_LOAD_GAP_US: Micros = 400_000;
/// Load orders are no longer spaced once no load has failed for this time.
const LOAD_GAP_RESET_US: Micros = 1_500_000;
/// How long calls wait for the answers to queries for loaded copies.
const QUERY_WAIT_US: Micros = 15_000;
/// Number of workers queried for loaded copies.
const QUERY_WORKERS: usize = 3;
/// A holder in another zone costs more by this factor times the cost of crossing zones (a share of value).
const CROSS_ZONE_WEIGHT: f64 = 40.0;
/// Limit on second attempts for overdue ones, as a share of all sends; they may prove unnecessary.
const HEDGE_SHARE: f64 = 0.1;

/// A usable worker as a place for a function; the lowest key is the best.
struct Choice<'a> {
    key: f64,
    ratio: f64,
    id: &'a WorkerId,
    worker: &'a Worker,
}

type WorkerFunction<'a> = (&'a WorkerId, &'a FunctionId);

impl Controller {
    /// Creates a controller; fails if [`Settings::check`] does. The seed is unused: ties are broken by hash.
    pub fn new(settings: Settings, _seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let class_latency = settings.classes.iter().map(|c| c.aim as f64 / 4.0).collect();
        Ok(Self::blank(settings, class_latency))
    }

    /// Handles one event at time `now` and appends the actions. Events about unknown ids change nothing.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Members { kind, members } => self.on_members(now, kind, members, out),
            Event::Request(request) => self.on_request(now, request, out),
            Event::Outcome(outcome) => self.on_outcome(now, outcome, out),
            Event::Loaded { worker, function, count, code, latency } => {
                self.on_loaded(now, (&worker, &function), (count, code, latency), out)
            }
            Event::ClientGone { id } => self.finish(id, None, out),
            Event::AnswerStarted { id, attempt } => self.on_answer_started(id, attempt, out),
            Event::Timer { token: 0 } => self.on_sweep(now, out),
            Event::Timer { token } => match self.timers.remove(&token) {
                Some(TimerPurpose::Deadline(id)) if self.requests.get(&id).is_none_or(|r| r.streaming) => {}
                Some(TimerPurpose::Deadline(id)) => self.finish(id, Some(Action::Fail { id }), out),
                Some(TimerPurpose::Shed(id)) => {
                    // The aim can't be met: all copies are busy, loads fail and none is under way, or no
                    // worker may get work. Known drawback: late answers may have a high value.
                    let is_loading = |call: &PendingRequest| {
                        let function = self.functions.get(&call.request.function);
                        function.is_some_and(|f| f.places.values().any(|p| p.loading.is_some()))
                    };
                    let no_worker_open = self.has_no_open_worker(now);
                    let is_stuck = |call: &PendingRequest| {
                        no_worker_open || call.awaits_capacity || self.load_gap > 0 && !is_loading(call)
                    };
                    let is_shed = |r: &PendingRequest| r.is_waiting && is_stuck(r) && self.may_refuse(r);
                    if self.requests.get(&id).is_some_and(is_shed) {
                        let wait = Some(self.load_gap).filter(|gap| *gap > 0);
                        self.refuse_or_fail(id, wait, out);
                    }
                }
                Some(TimerPurpose::Overdue(id, attempt)) => self.on_overdue(now, id, attempt, out),
                None => {}
            },
            Event::ListFreshness(freshness) => self.on_list_freshness(now, freshness),
            Event::Disconnected { worker } => self.on_disconnected(now, &worker),
            Event::Probed { worker, code, latency, .. } => self.on_probed(now, &worker, (code, latency), out),
            Event::Peer { .. } => {}
        }
    }

    // ---- pressure ratio -----------------------------------------------------------------------------------

    /// How much worse a worker serves a class than its memory suggests; 1 for no evidence. Combines slowness,
    /// failed connections, a cold start and unanswered attempts of this class (others count less: a worker
    /// may lose the requests of one class and serve the rest). It only decides between workers.
    fn penalty(&self, now: Micros, worker: &Worker, class: usize) -> f64 {
        // Compares the value before decay: what never exceeded the tolerance can't exceed it by decaying.
        let is_slow = worker.slowness.value > TOLERANCE;
        let slow = if is_slow { (worker.slowness.get(now, DECAY_US) - TOLERANCE).max(0.0) } else { 0.0 };
        let overdue = |c: usize| worker.unanswered.get(c).map_or(0.0, |m| m.get(now, DECAY_US));
        let silence = overdue(class) * 0.7 + (0..worker.unanswered.len()).map(overdue).sum::<f64>() * 0.3;
        (1.0 + slow + silence + worker.failures.get(now, DECAY_US)) / self.warmth(now, worker)
    }

    /// Penalty from which on a worker gets no requests of a class. It is relative to the first quartile of
    /// the fleet: if nearly all workers look bad at once, the evidence is more likely wrong than the workers.
    fn suspect_threshold(&self, class: usize) -> f64 {
        SUSPECT_FACTOR * self.fleet.baseline_penalty.get(class).copied().unwrap_or(1.0)
    }

    /// A worker's pressure ratio with `added` demand and `mb` of memory on top. With few calls, this
    /// scheduler's own measurements of demand and memory are shrunk toward the fleet's mean. Otherwise each
    /// of many schedulers would see mostly noise and place the same function on a different worker.
    fn pressure_ratio(&self, now: Micros, worker: &Worker, added: f64, mb: f64, class: usize) -> f64 {
        let (fleet, kinds) = (&self.fleet, &self.settings.copies.kind_memory_mb);
        let total = kinds.get(worker.member.kind).copied().unwrap_or(fleet.memory_mb);
        let free =
            (total - fleet.confidence * worker.placed_mb).max(mb).max(total * 0.1) / fleet.memory_mb.max(1.0);
        let own = if worker.placed_mb > 0.0 { worker.demand.get(now, WINDOW_US) } else { fleet.demand };
        let smoothed = fleet.demand + fleet.confidence * (own - fleet.demand);
        // A worker younger than the window can only have received demand since its start.
        let age = now.saturating_sub(worker.member.started) as f64 / WINDOW_US;
        let window_share = if worker.member.started == 0 || age > 5.0 { 1.0 } else { 1.0 - (-age).exp() };
        let placed = smoothed * window_share / WINDOW_US * f64::from(self.settings.schedulers);
        (placed + added).max(0.001) * self.penalty(now, worker, class) / (free * fleet.relative_size(worker))
    }

    /// The ratio of a holder, randomized by a hash local to this scheduler. The less the scheduler can rely
    /// on its own measurements, the more it is randomized; otherwise all schedulers would overload the same
    /// holder. If crossing zones has a cost, holders in the local zone are preferred.
    fn holder_key(&self, function: &Function, choice: &Choice) -> f64 {
        let spread = -unit_interval(rendezvous(function.hash ^ self.local_hash, choice.worker.hash)).ln();
        let other_zone = f64::from(u8::from(choice.worker.member.zone != self.settings.zone));
        let zone_factor = 1.0 + CROSS_ZONE_WEIGHT * self.settings.cross_zone * other_zone;
        choice.ratio * zone_factor * spread.powf((1.0 - self.fleet.confidence).powi(2))
    }

    /// Evaluates a worker as a place for a function. The key is randomized by a hash that all schedulers
    /// share, so that those which see similar ratios choose alike. The home stays until a ratio passes the
    /// threshold.
    fn choice<'a>(&self, now: Micros, load: (&Function, f64), at: (&'a WorkerId, &'a Worker)) -> Choice<'a> {
        let ((function, added), (id, worker)) = (load, at);
        self.evaluations.set(self.evaluations.get() + 1);
        let ratio = self.pressure_ratio(now, worker, added, function.memory_mb, function.class);
        let biased = if function.home.as_ref() == Some(id) { ratio / REBALANCE_GAIN } else { ratio };
        let key = biased.powf(RATIO_EXPONENT) * -unit_interval(rendezvous(function.hash, worker.hash)).ln();
        Choice { key, ratio, id, worker }
    }

    /// A function with the demand that it adds to a worker.
    fn with_demand<'a>(&self, now: Micros, function: &'a Function) -> (&'a Function, f64) {
        (function, function.rate.get(now, WINDOW_US) * function.latency * function.weight / WINDOW_US)
    }

    /// Every usable worker as a place for a function, best first. It evaluates the whole fleet, so it must
    /// not be called for a call that can't be sent yet, as such a call is routed again many times.
    fn rank(&self, now: Micros, function: &Function) -> Vec<Choice<'_>> {
        let usable = self.workers.iter().filter(|(_, w)| self.takes_work(now, w));
        let demand = self.with_demand(now, function);
        let mut ranked: Vec<_> = usable.map(|at| self.choice(now, demand, at)).collect();
        ranked.sort_by(|a, b| a.key.total_cmp(&b.key));
        ranked
    }

    // ---- demand -------------------------------------------------------------------------------------------

    /// Number of copies that a function needs in the fleet, and of workers to hold them. Its concurrent calls
    /// are estimated as this scheduler's own, less the first call, times the schedulers. A scheduler with far
    /// more calls than the others would overestimate: the mean reported crowd times the holders is an upper
    /// bound, the mean crowd at one worker a lower one. The calls need lanes, with a margin of twice the
    /// square root for chance. If memory allows, each call gets a holder, as a worker's cores serve other
    /// functions too.
    fn target_copies(&self, now: Micros, function: &Function) -> (usize, usize) {
        let (least, most) = self.copy_bounds(now, function);
        let holders = (least + (most - least) * self.fleet.headroom) as usize;
        let holders = holders.clamp(1, self.fleet.workers.max(1));
        ((least as usize).max(holders), holders)
    }

    /// The minimum number of copies that a function needs, and the number if memory is plentiful.
    fn copy_bounds(&self, now: Micros, function: &Function) -> (f64, f64) {
        let own = busy_lanes(now, function) * f64::from(self.settings.schedulers);
        let reports = function.crowd_reports.get(now, WINDOW_US);
        let crowd = function.crowd_sum.get(now, WINDOW_US) / reports.max(1e-9);
        let concurrent = if reports > 0.1 { own.min(crowd * function.holders).max(crowd) } else { own };
        let target = concurrent + 2.0 * concurrent.sqrt();
        ((target / f64::from(function.lanes)).ceil().max(1.0), target.max(1.0))
    }

    // ---- routing ------------------------------------------------------------------------------------------

    /// Whether the rules permit sending to this worker now; a keyed request must arrive within its window.
    fn may_send(&self, now: Micros, call: &PendingRequest, worker: &Worker) -> bool {
        if !worker.usable
            || call.answered
            || call.streaming
            || call.attempts.len() >= self.settings.limits.attempts as usize
            || !self.settings.limits.concurrent_attempts && call.attempts.iter().any(|a| a.ended.is_none())
            || self.cold_credit(now, worker) < 1.0
            || self.access(now, worker) == Access::Closed
        {
            return false;
        }
        let mut may_have_run = call.attempts.iter().filter(|a| a.may_have_run());
        let (zone, cell) = (worker.member.zone, worker.member.cell);
        match self.settings.classes[call.request.class].repeat {
            Repeat::Safe => true,
            Repeat::Unsafe => may_have_run.next().is_none(),
            Repeat::Keyed { group, window } => may_have_run.all(|a| {
                let same = group == Group::All || a.zone == zone && (group == Group::Zone || a.cell == cell);
                same && now + self.settings.tick + self.settings.rules.send_delay < a.sent + window
            }),
        }
    }

    /// Whether the request may be refused, which states to the client that a retry is harmless.
    fn may_refuse(&self, call: &PendingRequest) -> bool {
        match self.settings.classes[call.request.class].repeat {
            Repeat::Safe | Repeat::Keyed { group: Group::All, .. } => true,
            _ => !call.attempts.iter().any(Attempt::may_have_run),
        }
    }

    /// Sends a request, queues it for a load, or ends it. Waiting calls are routed with each answer and
    /// sweep, so one that can't be sent must be cheap: the whole fleet is evaluated only if an order may
    /// follow.
    fn route(&mut self, now: Micros, id: RequestId, out: &mut Out) {
        let Some(call) = self.requests.get(&id).filter(|r| !r.answered) else { return };
        let name = call.request.function.clone();
        let Some(function) = self.functions.get(&name) else { return };
        let allowed = |w: &Worker| self.may_send(now, call, w);
        if !call.attempts.is_empty() && !self.workers.values().any(allowed) {
            if call.attempts.iter().all(|a| a.ended.is_some()) {
                self.refuse_or_fail(id, None, out);
            }
            return;
        }
        // After a miss, a worker may be tried again once a copy is loaded there. Otherwise a call whose own
        // order loaded the copy would wait next to it until its deadline, always so in a small fleet. Known
        // drawback: if copies come and go faster than answers, attempts are used up. A lost connection
        // is no evidence about the copy either: a process that died refuses the next connection.
        let retryable = |a: &Attempt| matches!(a.ended, Some(Code::Miss | Code::Reset));
        let tried = |id: &WorkerId| call.attempts.iter().any(|a| a.worker == *id && !retryable(a));
        let class = call.request.class;
        let healthy = |w: &Worker| self.penalty(now, w, class) < self.suspect_threshold(class);
        let untried = function.places.iter().filter(|(id, p)| p.loaded && !tried(id));
        let open = untried.filter_map(|(id, p)| Some((id, self.workers.get(id).filter(|w| allowed(w))?, p)));
        let (mut loaded, unhealthy): (Vec<_>, Vec<_>) = open.partition(|(_, w, _)| healthy(w));
        // If no worker is healthy, the evidence is ignored as in `suspect_threshold`, whose baseline may be
        // old: a small fleet that slows down as a whole would queue every call until the next maintenance.
        if !unhealthy.is_empty() && !self.workers.values().any(|w| allowed(w) && healthy(w)) {
            loaded = unhealthy;
        }
        if loaded.is_empty() {
            return self.wait_or_load(now, id, &name, out);
        }
        let (copies, holders) = self.target_copies(now, function);
        let demand = self.with_demand(now, function);
        let choices = loaded.into_iter().map(|(id, w, p)| (self.choice(now, demand, (id, w)), p));
        let mut loaded: Vec<_> = choices.collect();
        loaded.sort_by(|(a, _), (b, _)| a.key.total_cmp(&b.key));
        // Beyond its copies' lanes a worker starts another copy by itself; a call queued here causes no load.
        let lanes = |p: &Place| f64::from(function.lanes * p.copies.max(1));
        let holder_key = |c: &Choice| self.holder_key(function, c);
        let crowd = |p: &Place| f64::from(p.in_flight) + p.crowd.get(now, CROWD_US);
        // A worker whose queue would miss the aim has no capacity for this call.
        let time_left = call.aim.checked_sub(now).unwrap_or(call.deadline.saturating_sub(now)) as f64;
        let meets_aim = |p: &Place| crowd(p) * function.latency <= time_left * lanes(p);
        let free = |(_, p): &&(Choice, &Place)| f64::from(p.in_flight) < lanes(p) && meets_aim(p);
        let cost = |(c, p): &(Choice, &Place)| {
            let in_flight = c.worker.due.len() as f64 + c.worker.others_in_flight.get(now, CROWD_US);
            let probe = self.probe_cost(now, c.worker);
            probe * holder_key(c) * (1.0 + crowd(p) / lanes(p) + in_flight / self.fleet.in_flight.max(1.0))
        };
        let best = |range: &[(Choice, &Place)], only_idle: bool| {
            let usable = range.iter().filter(free).filter(|(_, p)| !only_idle || crowd(p) < lanes(p));
            usable.min_by(|a, b| cost(a).total_cmp(&cost(b))).map(|(c, _)| c.id.clone())
        };
        let (first, rest) = loaded.split_at(holders.min(loaded.len()));
        let idle = best(first, true).or_else(|| best(rest, true));
        let choice = idle.clone().or_else(|| best(first, false)).or_else(|| best(rest, false));
        // The holder preferred by the local hash gets copies even while others have capacity: so all holders
        // are used, although each scheduler has records of only a few.
        let needs_copies = |c: &&Choice| {
            let place = function.places.get(c.id);
            !place.is_some_and(|p| p.loading.is_some() || p.loaded && p.copies as usize * holders >= copies)
        };
        let may_add_copies = holders > 1 && self.may_order(now, function);
        let mut ranked = if may_add_copies { self.rank(now, function) } else { Vec::new() };
        ranked.truncate(holders);
        let by_key = |a: &&Choice, b: &&Choice| holder_key(a).total_cmp(&holder_key(b));
        let own = ranked.iter().min_by(by_key).filter(needs_copies).filter(|_| self.fleet.confidence < 0.5);
        let overflow = || ranked.iter().filter(needs_copies).min_by(by_key).filter(|_| idle.is_none());
        let next = own.or_else(overflow).map(|c| c.id.clone());
        match choice {
            Some(worker) => self.send(now, id, &worker, out),
            None => self.enqueue(id, true),
        }
        if let Some(worker) = next {
            self.grow(now, &name, &worker, copies.div_ceil(holders) as u32, out);
        }
    }

    /// No copy is usable: waits for query answers or a load, else orders a load where the ratio is lowest.
    fn wait_or_load(&mut self, now: Micros, id: RequestId, name: &FunctionId, out: &mut Out) {
        self.enqueue(id, false);
        let has_order_left = self.has_order_left(now);
        let (Some(function), Some(call)) = (self.functions.get(name), self.requests.get(&id)) else { return };
        let (queried_until, copies) = (function.query_deadline, &self.settings.copies);
        if copies.orders && (queried_until == 0 || now >= queried_until + function.load_time) {
            return self.query_holders(now, name, out);
        }
        let query_pending = function.queries > 0 && now < function.query_deadline;
        if query_pending || !self.may_order(now, function) {
            let until = match (query_pending, function.order_after) {
                (true, _) => function.query_deadline,
                (_, after) if after > now => after.min(queried_until + function.load_time),
                _ => queried_until + function.load_time,
            };
            let is_blocked = call.attempts.is_empty() && !function.places.values().any(|p| p.loaded);
            if let Some(calls) = self.waiting.get_mut(name).filter(|_| is_blocked && copies.orders) {
                calls.blocked_until = until;
            }
            return;
        }
        if self.is_order_delayed(now, name) || !(copies.orders && has_order_left || copies.load_on_miss) {
            return;
        }
        let allowed = |c: &&Choice| self.may_send(now, call, c.worker);
        // A copy may be loaded where nothing can be sent now; another order there would change nothing.
        let empty = |c: &&Choice| !function.places.get(c.id).is_some_and(|p| p.loaded);
        let ranked = self.rank(now, function);
        // Workers that rejected calls in this outage come last: a call would spend all its attempts there.
        let trusted = |c: &&Choice| allowed(c) && !c.worker.drain_evidence.has_refused();
        let first = ranked.iter().filter(empty).find(trusted).or(ranked.iter().filter(empty).find(allowed));
        let Some(target) = first.or(ranked.iter().find(empty)).map(|c| c.id.clone()) else { return };
        let direct = ranked.iter().find(trusted).or(ranked.iter().find(allowed)).map(|c| c.id.clone());
        let ordered = self.grow(now, name, &target, 1, out);
        // If no order is possible, the request itself makes the worker load the copy.
        if let Some(worker) = direct.filter(|_| !ordered && self.settings.copies.load_on_miss) {
            self.send(now, id, &worker, out);
        }
    }

    /// Sends a request, or queues it if its worker must be probed first.
    fn send(&mut self, now: Micros, id: RequestId, worker: &WorkerId, out: &mut Out) {
        if !self.may_begin(now, worker, out) {
            return self.enqueue(id, true);
        }
        let credit = self.workers.get(worker).map_or(0.0, |w| self.cold_credit(now, w));
        let (Some(call), Some(state)) = (self.requests.get_mut(&id), self.workers.get_mut(worker)) else {
            return;
        };
        let Some(function) = self.functions.get_mut(&call.request.function) else { return };
        stop_waiting((&mut self.waiting, &self.longest_queue), call);
        let place = function.places.entry(worker.clone()).or_default();
        let mut allowance = function.latency * 3.0;
        if !place.loaded {
            allowance += function.load_time as f64 * 2.0;
            place.loading.get_or_insert(now);
        }
        place.in_flight += 1;
        place.last_used = now;
        function.home.get_or_insert_with(|| worker.clone());
        let aim = call.aim.saturating_sub(now) as f64;
        let left = (aim - function.latency * 1.5).max(function.latency * 1.5);
        let after = allowance.min(left).max(20_000.0) as Micros;
        let (number, due) = (call.attempts.len(), now + after);
        call.attempts.push(Attempt::new(&state.member, now, due));
        state.due.insert((due, id, number));
        state.demand.add(now, function.latency * function.weight, WINDOW_US);
        (state.cold_credit, state.cold_at) = (credit - 1.0, now);
        self.sends.add(now, 1.0, WINDOW_US);
        out.push(Action::Send { id, worker: worker.clone(), until: None });
        self.set_timer(after, TimerPurpose::Overdue(id, number), out);
    }

    /// Functions with enough calls to check their home, by ascending demand.
    fn functions_by_demand(&self, now: Micros) -> Vec<FunctionId> {
        let calls = self.functions.iter().map(|(n, f)| (f.rate.get(now, WINDOW_US), n.clone()));
        let mut order: Vec<_> = calls.filter(|(calls, _)| *calls >= 2.0).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| b.1.cmp(&a.1)));
        order.into_iter().map(|(_, name)| name).collect()
    }

    /// Moves functions that gain more than the threshold, by descending demand. The load is ordered at the
    /// target, the source continues to serve, and the home switches once the copy is loaded. Each sweep
    /// checks a batch: checking hundreds of functions against a large fleet at once would delay other events.
    fn rebalance(&mut self, now: Micros, out: &mut Out) {
        let has_order_left = self.has_order_left(now);
        for _ in 0..REBALANCE_BATCH {
            let Some(name) = self.rebalance_queue.pop() else { return };
            let Some(function) = self.functions.get(&name) else { continue };
            let Some(home) = function.home.clone() else { continue };
            let at = |id| self.workers.get_key_value(id).filter(|(_, w)| self.takes_work(now, w));
            let choice = |at| self.choice(now, self.with_demand(now, function), at);
            let home_ratio = at(&home).map_or(f64::INFINITY, |at| choice(at).ratio);
            let gains = |c: &&Choice| *c.id != home && home_ratio > c.ratio * REBALANCE_GAIN;
            // Without an order it can only move to a loaded copy: it rarely pays to rank the whole fleet.
            let loaded = function.places.iter().filter(|(_, p)| p.loaded);
            let can_move_to_loaded = || loaded.filter_map(|(id, _)| at(id)).any(|at| gains(&&choice(at)));
            let may_order = has_order_left && self.may_order(now, function) && self.load_gap == 0;
            if !may_order && !can_move_to_loaded() {
                continue;
            }
            let ranked = self.rank(now, function);
            let Some(best) = ranked.first().filter(gains) else { continue };
            let (best, is_loaded) = (best.id.clone(), function.places.get(best.id).is_some_and(|p| p.loaded));
            let ordered = !is_loaded && may_order && self.send_order(now, (&best, &name), 1, out);
            let Some(function) = self.functions.get_mut(&name) else { continue };
            if ordered {
                function.moving_to = Some(best);
                return self.rebalance_queue.clear();
            }
            function.home = if is_loaded { Some(best) } else { Some(home) };
        }
    }

    // ---- fairness -----------------------------------------------------------------------------------------

    /// Whether a request exceeds this scheduler's part of its tenant's share. Only requests within the
    /// share are counted, so the share itself is always available, however many repeats exceed it.
    /// Requests over the share wait behind the others and are shed first.
    fn is_over_share(&mut self, now: Micros, tenant: usize) -> bool {
        let Some(quota) = self.settings.tenant_quotas.get(tenant) else { return false };
        let share = quota / f64::from(self.settings.schedulers) * SHARE_WINDOW_US / 1e6;
        let is_over = self.tenants[tenant].get(now, SHARE_WINDOW_US) > share + share.sqrt();
        self.tenants[tenant].add(now, if is_over { 0.0 } else { 1.0 }, SHARE_WINDOW_US);
        is_over
    }

    /// Whether a new request is refused for overload. If attempts are rejected or late, all schedulers
    /// together send more than the fleet can serve, even if each sends little. Requests over their tenant's
    /// share are refused first, then a growing part of the rest; otherwise all would be late. It ends as
    /// answers come in time, or after seconds without any. Known drawback: one overloaded worker with most
    /// calls triggers it.
    fn rejects_for_overload(&mut self, now: Micros, over_share: bool) -> bool {
        let excess = self.overload.get(now, DECAY_US) - OVERLOAD_SHARE;
        if excess <= 0.0 || over_share {
            return excess > 0.0;
        }
        self.admission_credit += 1.0 - (2.0 * excess - OVERLOAD_SHARE).clamp(0.0, 0.8);
        let refused = self.admission_credit < 1.0;
        self.admission_credit -= if refused { 0.0 } else { 1.0 };
        refused
    }

    /// How far past its aim a new request would wait in its function's queue, at the rate of answers measured
    /// while calls waited. It would be shed later, so it is better refused at once. Answers without a
    /// queue are no evidence of the capacity of the copies: a burst after a quiet time is admitted. Known
    /// drawback: copies about to be loaded may serve faster.
    fn wait_past_aim(&self, now: Micros, id: RequestId) -> Option<Micros> {
        let call = self.requests.get(&id)?;
        let (function, calls) =
            (self.functions.get(&call.request.function)?, self.waiting.get(&call.request.function)?);
        let ahead = calls.queues[0].len() + if call.over_share { calls.queues[1].len() } else { 0 };
        let excess = ahead as f64 * function.gap + function.latency - call.aim.saturating_sub(now) as f64;
        (function.gap_count >= MIN_ANSWER_GAPS && excess > 0.0).then_some(excess as Micros)
    }

    // ---- copies -------------------------------------------------------------------------------------------

    /// Whether a function has no order under way and no pause after a failed one.
    fn may_order(&self, now: Micros, function: &Function) -> bool {
        now >= function.order_after && !function.places.values().any(|p| p.loading.is_some())
    }

    /// Orders copies, one order per function at a time; false if no order is possible, true if one was sent,
    /// is under way, is delayed after a failure or waits for a probe.
    fn grow(&mut self, now: Micros, name: &FunctionId, worker: &WorkerId, count: u32, out: &mut Out) -> bool {
        if !self.may_order(now, &self.functions[name]) || self.is_order_delayed(now, name) {
            return true;
        }
        if !self.may_begin(now, worker, out) {
            return true;
        }
        self.send_order(now, (worker, name), count, out)
    }

    /// A load has failed: widens the gap between orders; for requests that fail together only once.
    fn on_load_failed(&mut self, now: Micros, ordered: bool) {
        if ordered || now >= self.load_gap_raised_at + self.load_gap {
            self.load_gap = (self.load_gap * 2).clamp(MIN_LOAD_GAP_US, MAX_LOAD_GAP_US);
            (self.load_gap_raised_at, self.next_load) = (now, now + self.load_gap);
        }
    }

    /// Whether a function's order must wait because loads fail. The code store rejects fetches, and repeating
    /// orders at once, each for one call, would keep it overloaded. They go one at a time, with a gap that
    /// doubles with each failure, longest queues first. Known drawback: one failing function delays others.
    fn is_order_delayed(&self, now: Micros, name: &FunctionId) -> bool {
        if self.load_gap == 0 {
            return false;
        }
        let count = |calls: &WaitingCalls| calls.queues.iter().map(BTreeSet::len).sum::<usize>();
        let longest = || {
            self.longest_queue.get().unwrap_or_else(|| self.waiting.values().map(count).max().unwrap_or(0))
        };
        now < self.next_load || {
            self.longest_queue.set(Some(longest()));
            self.waiting.get(name).map_or(0, count) * 2 < longest()
        }
    }

    /// Whether the rate limit permits another load order, however late this one and earlier ones arrive.
    fn has_order_left(&mut self, now: Micros) -> bool {
        let (copies, delay) = (&self.settings.copies, self.settings.rules.send_delay);
        while self.recent_orders.pop_front_if(|t| *t + copies.load_window + delay < now).is_some() {}
        while self.recent_requests.pop_front_if(|t| *t + copies.load_window <= now + delay).is_some() {}
        let limit = copies.load_free + copies.load_share * self.recent_requests.len() as f64;
        copies.load_window == 0 || (self.recent_orders.len() + 1) as f64 <= limit
    }

    fn send_order(&mut self, now: Micros, at: WorkerFunction, count: u32, out: &mut Out) -> bool {
        let (worker, name) = at;
        let usable = self.workers.get(worker).is_some_and(|w| w.usable);
        if !usable
            || !self.settings.copies.orders
            || !self.has_order_left(now)
            || !self.may_begin(now, worker, out)
        {
            return false;
        }
        self.free_memory(now, worker, name, out);
        let Some(function) = self.functions.get_mut(name) else { return false };
        let place = function.places.entry(worker.clone()).or_default();
        place.loading = Some(now);
        place.last_used = now;
        self.next_load = now + self.load_gap;
        self.recent_orders.push_back(now);
        out.push(Action::Load { worker: worker.clone(), function: name.clone(), count: count.clamp(1, 16) });
        true
    }

    /// Before a load on a worker short of memory, unloads the most recently loaded idle copy of a function
    /// called once, so that the load evicts no older, busier copy. Others stay: other schedulers may use
    /// them.
    fn free_memory(&mut self, now: Micros, worker: &WorkerId, name: &FunctionId, out: &mut Out) {
        let (Some(state), Some(function)) = (self.workers.get(worker), self.functions.get(name)) else {
            return;
        };
        let memory = self.settings.copies.kind_memory_mb.get(state.member.kind);
        if memory.is_none_or(|memory| memory - state.placed_mb >= function.memory_mb) {
            return;
        }
        let idle = self.functions.iter().filter(|(n, _)| *n != name).filter_map(|(n, f)| {
            let place = f.places.get(worker).filter(|p| p.loaded && p.in_flight == 0)?;
            let unused = place.last_used + self.settings.copies.keep_alive / 4 < now;
            let called_once = f.rate.get(now, WINDOW_US) <= 1.0;
            (unused && called_once).then_some((place.loaded_at, n))
        });
        if let Some(victim) = idle.max().map(|(_, n)| n.clone()) {
            self.set_copies(worker, &victim, false, 0, 0);
            out.push(Action::Drop { worker: worker.clone(), function: victim });
        }
    }

    /// Records the copies of a function on a worker and the memory that they take.
    fn set_copies(&mut self, worker: &WorkerId, name: &FunctionId, loaded: bool, copies: u32, now: Micros) {
        let Some(function) = self.functions.get_mut(name) else { return };
        let place = function.places.entry(worker.clone()).or_default();
        let before = if place.loaded { f64::from(place.copies.max(1)) } else { 0.0 };
        place.loaded_at = if loaded && !place.loaded { now } else { place.loaded_at };
        (place.loaded, place.copies) = (loaded, copies);
        let after = if loaded { f64::from(copies.max(1)) } else { 0.0 };
        if let Some(state) = self.workers.get_mut(worker) {
            state.placed_mb = (state.placed_mb + (after - before) * function.memory_mb).max(0.0);
        }
        if loaded {
            place.loading = None;
            if function.home.is_none() || function.moving_to.as_ref() == Some(worker) {
                function.home = Some(worker.clone());
                function.moving_to = None;
            }
        } else if function.home.as_ref() == Some(worker) {
            function.home = function.places.iter().find(|(_, p)| p.loaded).map(|(w, _)| w.clone());
        }
    }

    /// Handles the answer to a load order or a query: the number of loaded copies, the code and the latency.
    fn on_loaded(&mut self, now: Micros, at: WorkerFunction, result: (u32, Code, Micros), out: &mut Out) {
        let ((worker, name), (count, code, latency)) = (at, result);
        if !self.workers.contains_key(worker) {
            return;
        }
        let Some(function) = self.functions.get_mut(name) else { return };
        function.queries = function.queries.saturating_sub(1);
        self.waiting.get_mut(name).into_iter().for_each(|calls| calls.blocked_until = 0);
        let predates_order = |since| code == Code::Ok && count == 0 && now < since + function.load_time;
        let ends_load = |p: &&mut Place| p.loading.is_some_and(|since| !predates_order(since));
        let Some(place) = function.places.get_mut(worker).filter(ends_load) else {
            // The answer to a query. If it reports no copy, the query may also have preceded the order.
            if code == Code::Ok && count > 0 {
                function.places.entry(worker.clone()).or_default().last_used = now;
                self.set_copies(worker, name, true, count, now);
            }
            if count > 0 || self.functions[name].queries == 0 {
                self.route_waiting(now, None, out);
            }
            return;
        };
        place.loading = None;
        if function.moving_to.as_ref() == Some(worker) && code != Code::Ok {
            function.moving_to = None;
        }
        if code == Code::Ok && count > 0 {
            let duration = if latency > 20_000 { latency } else { function.load_time };
            function.load_time = (function.load_time * 7 + duration * 3) / 10;
            self.set_copies(worker, name, true, count, now);
        } else if let Some(state) = self.workers.get_mut(worker) {
            state.failures.add(now, 1.0, DECAY_US);
            function.order_after = now + function.load_time / 2;
        }
        if code == Code::Error {
            self.on_load_failed(now, true);
        } else if code == Code::Ok && self.load_gap > 0 {
            self.load_gap = Some(self.load_gap / 2).filter(|gap| *gap >= MIN_LOAD_GAP_US).unwrap_or(0);
        }
        self.route_waiting(now, None, out);
    }

    /// Routes waiting calls, those within their tenant's share first, then by aim; after an answer only those
    /// with a free lane at the worker `freed`. If a function's first call can't be sent, its others can't
    /// either, so the cost grows with the waiting functions and the sent calls, not with all waiting calls.
    pub(crate) fn route_waiting(&mut self, now: Micros, freed: Option<&WorkerId>, out: &mut Out) {
        let has_lane = |p: &Place, f: &Function| !p.loaded || p.in_flight < f.lanes * p.copies.max(1);
        let can_take = |f: &Function, w| f.places.get(w).is_some_and(|p| has_lane(p, f));
        let may_go = |name: &FunctionId, w| self.functions.get(name).is_some_and(|f| can_take(f, w));
        let unblocked = self.waiting.iter().filter(|(_, calls)| calls.blocked_until <= now);
        let names = unblocked.filter(|(name, _)| freed.is_none_or(|w| may_go(name, w)));
        let heads = names.filter_map(|(name, calls)| Some((first_waiting(now, calls)?, name.clone())));
        let mut heads: BTreeSet<_> = heads.collect();
        while let Some(((.., id), name)) = heads.pop_first() {
            self.route(now, id, out);
            if !self.requests.get(&id).is_some_and(|r| r.is_waiting) {
                let next = self.waiting.get(&name).and_then(|calls| first_waiting(now, calls));
                heads.extend(next.map(|next| (next, name)));
            }
        }
    }

    /// Queries the best few workers for copies of a function if none is known, and again while a load is
    /// late. One of many schedulers calls most functions less often than idle copies expire, though other
    /// schedulers use the copies all the time. For functions called only once the queries are wasted.
    fn query_holders(&mut self, now: Micros, name: &FunctionId, out: &mut Out) {
        let function = &self.functions[name];
        let mut ranked = self.rank(now, function);
        // If many workers should hold it, the first and those preferred by the local hash are queried.
        ranked.truncate(self.target_copies(now, function).1.max(QUERY_WORKERS));
        let holder_key = |c: &Choice| self.holder_key(function, c);
        ranked.get_mut(1..).unwrap_or_default().sort_by(|a, b| holder_key(a).total_cmp(&holder_key(b)));
        let targets: Vec<_> = ranked.iter().take(QUERY_WORKERS).map(|c| c.id.clone()).collect();
        let Some(function) = self.functions.get_mut(name) else { return };
        (function.queries, function.query_deadline) = (targets.len() as u32, now + QUERY_WAIT_US);
        let query = |worker| Action::Load { worker, function: name.clone(), count: 0 };
        out.extend(targets.into_iter().map(query));
    }

    // ---- list of workers ----------------------------------------------------------------------------------

    fn on_members(&mut self, now: Micros, kind: MembersKind, members: Vec<Member>, out: &mut Out) {
        if !self.started {
            self.started = true;
            self.next_rebalance = now + REBALANCE_US;
            self.local_hash = rendezvous(u64::from(self.settings.self_index) + 1, 1);
            out.push(Action::Timer { after: SWEEP_US, token: 0 });
            out.extend(self.settings.needs_watch.then_some(Action::Watch));
        }
        if kind == MembersKind::Failed {
            self.watch_failed = self.settings.needs_watch;
            return;
        }
        if matches!(kind, MembersKind::Whole | MembersKind::Stale) {
            let listed: BTreeSet<_> = members.iter().map(|m| m.worker.clone()).collect();
            for (_, worker) in self.workers.iter_mut().filter(|(id, _)| !listed.contains(*id)) {
                worker.usable = false;
            }
        }
        for member in members {
            let id = member.worker.clone();
            let started = self.workers.get(&id).map(|w| w.member.started);
            if started.is_none_or(|s| s < member.started) {
                let started = member.started;
                self.add_cold_worker(now, member.clone(), started);
            }
            if let Some(state) = self.workers.get_mut(&id) {
                (state.usable, state.member) = (member.state == WorkerState::Active, member);
            }
        }
        let lost: Vec<_> = self.workers.iter().filter(|(_, w)| !w.usable).map(|(id, _)| id.clone()).collect();
        lost.iter().for_each(|id| self.clear_placements(id));
        self.workers.retain(|_, w| w.usable || !w.due.is_empty());
        self.maintain(now);
    }

    /// Clears all records of copies on a worker.
    pub(crate) fn clear_placements(&mut self, worker: &WorkerId) {
        let placed = self.functions.iter().filter(|(_, f)| f.places.contains_key(worker));
        let names: Vec<_> = placed.map(|(n, _)| n.clone()).collect();
        for name in names {
            self.set_copies(worker, &name, false, 0, 0);
            let Some(function) = self.functions.get_mut(&name) else { continue };
            function.moving_to.take_if(|w| *w == *worker);
            self.waiting.get_mut(&name).into_iter().for_each(|calls| calls.blocked_until = 0);
            function.places.get_mut(worker).into_iter().for_each(|place| place.loading = None);
            function.places.retain(|w, p| w != worker || p.in_flight > 0);
        }
    }

    // ---- request lifecycle --------------------------------------------------------------------------------

    fn on_request(&mut self, now: Micros, request: Request, out: &mut Out) {
        let (id, name) = (request.id, request.function.clone());
        let usable = request.memory_mb.is_finite() && request.memory_mb > 0.0 && request.lanes > 0;
        if self.requests.contains_key(&id) {
            return;
        } else if request.class >= self.settings.classes.len() || !usable {
            return out.push(Action::Refuse { id, wait: None });
        }
        let strictest = self.settings.classes.iter().map(|c| c.aim).min().unwrap_or(1) as f64;
        let class = &self.settings.classes[request.class];
        self.recent_requests.push_back(now);
        let holders = self.functions.get(&name).map_or(1, |f| self.target_copies(now, f).1);
        let function = self.functions.entry(name.clone()).or_insert_with(|| Function {
            memory_mb: request.memory_mb,
            lanes: request.lanes,
            load_time: request.load_time.unwrap_or(class.aim),
            latency: self.class_latency[request.class],
            weight: strictest / class.aim as f64,
            class: request.class,
            holders: 1.0,
            hash: text_hash(name.as_str()),
            created_at: now,
            ..Function::default()
        });
        function.rate.add(now, 1.0, WINDOW_US);
        function.last_called = now;
        function.holders = holders as f64;
        let deadline = now + request.client_timeout;
        // If the client waits less than the class's aim, its timeout is the aim.
        let within = class.aim.min(request.client_timeout);
        let (aim, shed) = (now + within, within.saturating_sub(function.latency as Micros));
        let over_share = self.is_over_share(now, request.tenant);
        self.set_timer(shed, TimerPurpose::Shed(id), out);
        self.set_timer(request.client_timeout, TimerPurpose::Deadline(id), out);
        self.requests.insert(id, PendingRequest::new(request, deadline, aim, over_share));
        if self.is_every_worker_closed(now) {
            return self.refuse_or_fail(id, Some(self.retry_after_closed()), out);
        }
        let excess = self.wait_past_aim(now, id);
        if self.rejects_for_overload(now, over_share) || excess.is_some() {
            self.refuse_or_fail(id, excess, out);
        } else {
            self.route(now, id, out);
        }
    }

    fn on_outcome(&mut self, now: Micros, outcome: Outcome, out: &mut Out) {
        let Some(call) = self.requests.get_mut(&outcome.id) else { return };
        let open = |a: &&mut Attempt| a.ended.is_none() && a.worker == outcome.worker;
        let Some(attempt) = call.attempts.get_mut(outcome.attempt).filter(open) else { return };
        attempt.ended = Some(outcome.code);
        let (sent, due, class, overdue) = (attempt.sent, attempt.due, call.request.class, attempt.overdue);
        let name = call.request.function.clone();
        call.answered |= outcome.is_final;
        let (answered, ended) = (call.answered, call.attempts.iter().all(|a| a.ended.is_some()));
        if outcome.code == Code::Ok {
            self.renew_lease(now, &outcome.worker, sent);
        }
        let is_load = outcome.code != Code::Full || self.on_refusal(now, &outcome.worker, sent);
        self.record(now, &name, (class, due, overdue, is_load), &outcome);
        if answered {
            self.finish(outcome.id, None, out);
        } else if self.requests.get(&outcome.id).is_some_and(|r| now + self.settings.tick >= r.deadline) {
            self.finish(outcome.id, Some(Action::Fail { id: outcome.id }), out);
        } else if ended {
            self.route(now, outcome.id, out);
        }
        self.route_waiting(now, Some(&outcome.worker), out);
    }

    /// Updates worker, copy and typical latency from an outcome. `info`: the class, when the attempt becomes
    /// overdue, whether it was counted as overdue, and whether the outcome counts for overload.
    fn record(&mut self, now: Micros, name: &FunctionId, info: (usize, Micros, bool, bool), end: &Outcome) {
        let (class, due, overdue, is_load) = info;
        let (worker, key) = (&end.worker, (due, end.id, end.attempt));
        self.waiting.get_mut(name).into_iter().for_each(|calls| calls.blocked_until = 0);
        let Some(function) = self.functions.get_mut(name) else { return };
        let place = function.places.entry(worker.clone()).or_default();
        place.in_flight = place.in_flight.saturating_sub(1);
        let Some(state) = self.workers.get_mut(worker) else { return };
        state.due.remove(&key);
        if !matches!(end.code, Code::Timeout | Code::Cancelled | Code::ConnectFailed | Code::Moot) {
            state.answered_at[class] = now;
            state.unanswered[class].blend(now, 0.0, 0.7, DECAY_US);
        }
        if let Some(crowd) = end.crowd {
            let others = (f64::from(crowd) - f64::from(place.in_flight)).max(0.0);
            place.crowd.blend(now, others, 0.5, CROWD_US);
            if !matches!(end.copy, CopyStatus::LoadStarted | CopyStatus::WaitedForLoad) {
                function.crowd_reports.add(now, 1.0, WINDOW_US);
                function.crowd_sum.add(now, f64::from(crowd), WINDOW_US);
            }
        }
        let names = &self.settings.report_names;
        let index = names.iter().position(|n| n == "outstanding" || n == "inflight");
        if let Some(reported) = index.and_then(|i| end.report.get(i)).filter(|v| v.is_finite()) {
            let others = (reported.clamp(0.0, 1_000.0) - state.due.len() as f64).max(0.0);
            state.others_in_flight.blend(now, others, 0.3, CROWD_US);
        }
        let from_copy = end.code == Code::Ok && matches!(end.copy, CopyStatus::Loaded | CopyStatus::Unknown);
        let aim_share = end.latency as f64 / self.settings.classes[class].aim as f64;
        // A timeout at a worker that meanwhile answers others of the class is overload, otherwise silence.
        let is_responsive = state.answered_at[class] + end.latency > now;
        if is_load
            && (matches!(end.code, Code::Full | Code::Ok) || end.code == Code::Timeout && is_responsive)
        {
            let is_overloaded = end.code != Code::Ok || aim_share > 1.0;
            self.overload.blend(now, f64::from(u8::from(is_overloaded)), 0.1, DECAY_US);
        }
        match end.code {
            Code::Ok => {
                // Divides by the workers that served at this time, weighted by warmth; later there may be
                // fewer.
                self.served.add(now, 1.0 / self.fleet.warm.max(1.0), WINDOW_US);
                if function.had_waiting {
                    function.gap_count = function.gap_count.saturating_add(1);
                    let gap = now.saturating_sub(function.served_at) as f64;
                    function.gap += (gap - function.gap) * (1.0 / f64::from(function.gap_count)).max(0.05);
                }
                (function.had_waiting, function.served_at) = (self.waiting.contains_key(name), now);
                if from_copy {
                    let latency = end.latency as f64;
                    let slow = (latency / function.latency.max(1.0)).clamp(0.1, 10.0) - 1.0;
                    state.slowness.blend(now, slow, 0.15, DECAY_US);
                    // Tracks 1.3 times the median: a busy period must not be taken for a longer service time.
                    function.latency *= if latency * 1.3 > function.latency { 1.03 } else { 1.0 / 1.03 };
                    let typical = &mut self.class_latency[class];
                    *typical += 0.02 * (latency.min(*typical * 10.0) - *typical);
                }
                let load_started = end.copy == CopyStatus::LoadStarted && place.loaded;
                let copies = (place.copies + u32::from(load_started)).max(1);
                if state.usable {
                    self.set_copies(worker, name, true, copies, now);
                }
            }
            Code::Miss => self.set_copies(worker, name, false, 0, now),
            // No copy is loaded there, whatever was recorded: more requests would only load again and fail.
            Code::Error if end.copy == CopyStatus::LoadFailed => {
                function.order_after = now + function.load_time / 2;
                state.failures.add(now, 0.5, DECAY_US);
                self.set_copies(worker, name, false, 0, now);
                self.on_load_failed(now, false);
            }
            Code::ConnectFailed => state.failures.add(now, 3.0, DECAY_US),
            // A single reset may be the network's fault; a process that dies resets all open connections.
            Code::Reset => state.failures.add(now, 1.0, DECAY_US),
            Code::Error | Code::Unknown => state.failures.add(now, 0.5, DECAY_US),
            Code::Timeout | Code::Cancelled if overdue => state.unanswered[class].add(now, 1.0, DECAY_US),
            Code::Full | Code::Timeout | Code::Cancelled | Code::Moot => {}
        }
        let place = self.functions.get_mut(name).and_then(|f| f.places.get_mut(worker));
        if let Some(place) = place.filter(|p| end.code != Code::Ok && !p.loaded) {
            place.loading = None;
        }
    }

    /// Counts an overdue attempt against its worker, unless that has answered this class since, and starts
    /// another attempt if allowed. A worker that answers others is working, and a second attempt would only
    /// add load, unless it is suspect. They are rationed, so that they do not amplify an overload.
    fn on_overdue(&mut self, now: Micros, id: RequestId, number: usize, out: &mut Out) {
        let Some(call) = self.requests.get_mut(&id).filter(|r| !r.answered) else { return };
        let (latest, class, deadline) =
            (call.attempts.len() == number + 1, call.request.class, call.deadline);
        let attempts_left = call.attempts.len() < self.settings.limits.attempts as usize;
        let Some(attempt) = call.attempts.get_mut(number).filter(|a| a.ended.is_none()) else { return };
        let Some(worker) = self.workers.get_mut(&attempt.worker) else { return };
        let is_silent = worker.answered_at[class] <= attempt.sent;
        if is_silent && !std::mem::replace(&mut attempt.overdue, true) {
            worker.unanswered[class].add(now, 1.0, DECAY_US);
        }
        let (sent, worker) = (attempt.sent, &self.workers[&attempt.worker]);
        let suspect = self.penalty(now, worker, class) >= self.suspect_threshold(class);
        // The alternative to concurrent attempts is to cancel, which loses work: only for a suspect worker.
        let wait = worker.answered_at.iter().any(|t| *t > sent) || !self.settings.limits.concurrent_attempts;
        if wait && !suspect {
            let retry_after = (now - sent).max(1);
            if now + retry_after < deadline {
                self.set_timer(retry_after, TimerPurpose::Overdue(id, number), out);
            }
            return;
        }
        let hedges = self.hedges.get(now, WINDOW_US);
        if !latest
            || self.settings.classes[class].repeat == Repeat::Unsafe
            || hedges > HEDGE_SHARE * self.sends.get(now, WINDOW_US) + 1.0
        {
            return;
        }
        self.hedges.add(now, 1.0, WINDOW_US);
        if self.settings.limits.concurrent_attempts {
            self.route(now, id, out);
        } else if self.settings.limits.cancel && attempts_left {
            out.push(Action::Cancel { id, attempt: number });
        }
    }

    /// An answer has begun to stream: cancels the other attempts.
    fn on_answer_started(&mut self, id: RequestId, attempt: usize, out: &mut Out) {
        let call = self.requests.get_mut(&id).filter(|r| !r.answered && attempt < r.attempts.len());
        let Some(call) = call else { return };
        call.streaming = true;
        let others = call.attempts.iter().enumerate().filter(|(i, a)| *i != attempt && a.ended.is_none());
        if self.settings.limits.cancel {
            out.extend(others.map(|(attempt, _)| Action::Cancel { id, attempt }));
        }
    }

    /// Ends a request without further attempts: refuses it if a retry is harmless, otherwise fails it.
    fn refuse_or_fail(&mut self, id: RequestId, wait: Option<Micros>, out: &mut Out) {
        let limits = &self.settings.limits;
        let wait = wait.filter(|_| limits.retry_after).map(|wait| wait.min(limits.max_retry_after));
        let refuse = self.requests.get(&id).is_some_and(|r| self.may_refuse(r));
        let answer = if refuse { Action::Refuse { id, wait } } else { Action::Fail { id } };
        self.finish(id, Some(answer), out);
    }

    /// Ends a request. Sends the final answer unless one was sent before, and cancels attempts in flight.
    fn finish(&mut self, id: RequestId, answer: Option<Action>, out: &mut Out) {
        let Some(call) = self.requests.get_mut(&id) else { return };
        if !call.answered {
            call.answered = true;
            out.extend(answer);
        }
        stop_waiting((&mut self.waiting, &self.longest_queue), call);
        if self.settings.limits.cancel {
            let open = call.attempts.iter().enumerate().filter(|(_, a)| a.ended.is_none());
            out.extend(open.map(|(attempt, _)| Action::Cancel { id, attempt }));
        }
        if call.attempts.iter().all(|a| a.ended.is_some()) {
            self.requests.remove(&id);
        }
    }

    fn on_sweep(&mut self, now: Micros, out: &mut Out) {
        out.push(Action::Timer { after: SWEEP_US, token: 0 });
        if now >= self.next_maintenance {
            self.next_maintenance = now + MAINTENANCE_US;
            self.has_order_left(now);
            self.maintain(now);
        }
        self.probe_denied(now, out);
        self.route_waiting(now, None, out);
        if now >= self.next_rebalance {
            self.next_rebalance = now + REBALANCE_US;
            out.extend(std::mem::take(&mut self.watch_failed).then_some(Action::Watch));
            if self.rebalance_queue.is_empty() {
                self.rebalance_queue = self.functions_by_demand(now);
            }
        }
        self.rebalance(now, out);
    }

    /// Abandons unanswered loads, removes records of idle copies, refreshes the fleet statistics.
    fn maintain(&mut self, now: Micros) {
        // Occasional failures of single loads do not indicate an overloaded store.
        self.load_gap = if now >= self.load_gap_raised_at + LOAD_GAP_RESET_US { 0 } else { self.load_gap };
        let keep = self.settings.copies.keep_alive;
        let names: Vec<_> = self.functions.keys().cloned().collect();
        for name in names {
            let Some(function) = self.functions.get_mut(&name) else { continue };
            let load_timeout = function.load_time * 3 + 1_000_000;
            for place in function.places.values_mut() {
                if place.loading.take_if(|since| *since + load_timeout < now).is_some() {
                    function.moving_to = None;
                    self.waiting.get_mut(&name).into_iter().for_each(|calls| calls.blocked_until = 0);
                }
            }
            let idle = function.places.iter().filter(|(_, p)| p.in_flight == 0 && p.loading.is_none());
            let idle: Vec<_> =
                idle.filter(|(_, p)| p.last_used + keep < now).map(|(w, _)| w.clone()).collect();
            let home = function.home.clone();
            idle.iter().for_each(|worker| self.set_copies(worker, &name, false, 0, now));
            let Some(function) = self.functions.get_mut(&name) else { continue };
            function.places.retain(|w, _| !idle.contains(w));
            function.home = function.home.take().or(home);
        }
        self.functions.retain(|_, f| f.last_called + keep * 4 >= now || !f.places.is_empty());
        let usable: Vec<&Worker> = self.workers.values().filter(|w| self.takes_work(now, w)).collect();
        let count = usable.len().max(1) as f64;
        let sum = |(least, most), f: &Function| {
            let copies = self.copy_bounds(now, f);
            (least + copies.0 * f.memory_mb, most + copies.1.max(copies.0) * f.memory_mb)
        };
        let (least, most) = self.functions.values().fold((0.0, 0.0), sum);
        let mean = |value: &dyn Fn(&Worker) -> f64| usable.iter().map(|w| value(w)).sum::<f64>() / count;
        let calls = self.sends.get(now, WINDOW_US) / count;
        let others = 1.0 - 1.0 / f64::from(self.settings.schedulers);
        let first_quartile = |class: usize| {
            let mut all: Vec<_> = usable.iter().map(|w| self.penalty(now, w, class)).collect();
            all.sort_by(f64::total_cmp);
            all.get(all.len() / 4).copied().unwrap_or(1.0)
        };
        let kinds = &self.settings.copies.kind_memory_mb;
        let memory: f64 = usable.iter().filter_map(|w| kinds.get(w.member.kind)).sum();
        self.fleet = FleetStats {
            headroom: ((memory * COPY_MEMORY_SHARE - least) / (most - least).max(1.0)).clamp(0.0, 1.0),
            workers: usable.len(),
            warm: usable.iter().map(|w| self.warmth(now, w)).sum(),
            memory_mb: kinds.iter().sum::<f64>() / kinds.len() as f64,
            hint: mean(&|w| w.hint()),
            demand: mean(&|w| w.demand.get(now, WINDOW_US)),
            in_flight: mean(&|w| w.due.len() as f64 + w.others_in_flight.get(now, CROWD_US)),
            confidence: calls / (calls + CONFIDENT_CALLS * others).max(1e-9),
            baseline_penalty: (0..self.settings.classes.len()).map(first_quartile).collect(),
        };
    }
}

/// Lanes kept busy by this scheduler's calls, the first call left out; for a function younger than the demand
/// window, the rate is corrected for the part that has passed.
fn busy_lanes(now: Micros, function: &Function) -> f64 {
    let age = now.saturating_sub(function.created_at).max(1_000_000) as f64;
    let calls = (function.rate.get(now, WINDOW_US) - 1.0).max(0.0);
    calls * function.latency / WINDOW_US / (1.0 - (-age / WINDOW_US).exp())
}

/// Maps a hash to a number above 0 and at most 1.
fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) + 1) as f64 / (1u64 << 53) as f64
}
