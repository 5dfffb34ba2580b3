//! The policy: every decision of a scheduler. Its types, events and actions stand in `src/interface.rs`, the
//! records that it keeps in `src/state.rs`.
//! The ordinary path: each function is placed on the worker whose memory pressure ratio (weighted demand over
//! memory left) would be lowest, its requests follow it there and overflow onward by the same rule, a timer
//! re-places it past a gain threshold, and idle placements are released.

use crate::interface::*;
use crate::standing::Access;
use crate::state::*;
use std::collections::BTreeSet;

/// How far a lower ratio outweighs the shared hash: at 1.25 times the ratio a worker comes first 3 times in
/// 10.
const RATIO_EXPONENT: f64 = 4.0;
/// A function leaves its home once another ratio is lower by this factor.
const REBALANCE_GAIN: f64 = 1.6;
/// Calls a worker in the window at which our own account of demand counts as much as the fleet's mean, for
/// one of many.
const CONFIDENT_CALLS: f64 = 20.0;
/// Share of all told memory reckoned with for copies; running work and others' placements take the rest.
const COPY_MEMORY_SHARE: f64 = 0.5;
/// How often what waits is looked over, sums and idle placements are, and functions are re-placed.
const SWEEP_US: Micros = 50_000;
const MAINTENANCE_US: Micros = 500_000;
const REBALANCE_US: Micros = 1_000_000;
/// Functions looked at for a re-placement in one sweep: some hundreds within the second.
const REBALANCE_BATCH: usize = 16;
/// Evidence against a worker fades to 1/e in this time.
const PENALTY_DECAY_US: f64 = 6_000_000.0;
/// Slowness below this is chance.
const SLOWNESS_TOLERANCE: f64 = 0.5;
/// Evidence past which a worker is no place for a request.
const SUSPECT_FACTOR: f64 = 3.0;
/// Share of attempts that come back full or late from which on requests are turned away.
const OVERLOAD_SHARE: f64 = 0.15;
/// Span over which a tenant's calls are held against its share.
const SHARE_WINDOW_US: f64 = 3_000_000.0;
/// Crowd notes and load reports fade to 1/e in this time.
const CROWD_DECAY_US: f64 = 2_000_000.0;
/// Gaps between answers from which on a queue is judged by them.
const MIN_ANSWER_GAPS: u32 = 10;
/// Gap between load orders after one that failed, and the longest.
const GAP: (Micros, Micros) = (50_000, 400_000);
/// Without another failure for so long orders go freely again.
const LOAD_GAP_RESET_US: Micros = 1_500_000;
/// Patience with questions on where copies stand, and how many workers are asked.
const ASK: (Micros, usize) = (15_000, 3);
/// How much more a worker in another zone weighs among holders, for the price of the way as a share of worth.
const CROSS_ZONE_WEIGHT: f64 = 40.0;
/// Share of sends that may be second attempts which prove needless.
const HEDGE_SHARE: f64 = 0.1;

/// A usable worker as a place for a function: lowest key first.
struct Candidate<'a> {
    key: f64,
    ratio: f64,
    id: &'a WorkerId,
    worker: &'a Worker,
}

type WorkerFunction<'a> = (&'a WorkerId, &'a FunctionId);

impl Controller {
    /// A controller that has heard nothing yet. It draws nothing: ties are broken by hash.
    pub fn new(settings: Settings, _seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let class_usual = settings.classes.iter().map(|c| c.aim as f64 / 4.0).collect();
        Ok(Self::blank(settings, class_usual))
    }

    /// Takes one event at time `now` and appends what is to be done. Events about unknown things change
    /// nothing.
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
                Some(TimerPurpose::Deadline(id)) if self.requests.get(&id).is_none_or(|h| h.streaming) => {}
                Some(TimerPurpose::Deadline(id)) => self.finish(id, Some(Action::Fail { id }), out),
                Some(TimerPurpose::Shed(id)) => {
                    // All copies are crowded, or loads fail and none is under way; the aim is past. Could
                    // hurt where late answers are worth much.
                    let loads = |h: &PendingRequest| {
                        let function = self.functions.get(&h.request.function);
                        function.is_some_and(|f| f.places.values().any(|p| p.loading_since.is_some()))
                    };
                    let nobody = self.is_no_worker_open(now);
                    let stuck =
                        |h: &PendingRequest| nobody || h.awaits_capacity || self.load_gap > 0 && !loads(h);
                    let sheds = |h: &PendingRequest| h.is_waiting && stuck(h) && self.may_refuse(h);
                    if self.requests.get(&id).is_some_and(sheds) {
                        let wait = Some(self.load_gap).filter(|gap| *gap > 0);
                        self.refuse_or_fail(id, wait, out);
                    }
                }
                Some(TimerPurpose::Overdue(id, attempt)) => self.on_overdue(now, id, attempt, out),
                None => {}
            },
            Event::ListFreshness(trust) => self.on_list_freshness(now, trust),
            Event::Disconnected { worker } => self.on_disconnected(now, &worker),
            Event::Probed { worker, code, latency, .. } => self.on_probed(now, &worker, (code, latency), out),
            Event::Peer { .. } => {}
        }
    }

    // ---- pressure ----------------------------------------------------------------------------------------

    /// Evidence that a worker does less for a class than its memory promises, 1 for none: slowness against
    /// usual times, answers of this class that stay away (those of others count a little: a worker may
    /// swallow one class and serve the rest), broken connections, a cold start. It only orders workers.
    fn penalty(&self, now: Micros, worker: &Worker, class: usize) -> f64 {
        // What has not passed the slack does not by fading.
        let told = worker.slowness.value > SLOWNESS_TOLERANCE;
        let slow = if told {
            (worker.slowness.get(now, PENALTY_DECAY_US) - SLOWNESS_TOLERANCE).max(0.0)
        } else {
            0.0
        };
        let missed = |c: usize| worker.unanswered.get(c).map_or(0.0, |m| m.get(now, PENALTY_DECAY_US));
        let silent = missed(class) * 0.7 + (0..worker.unanswered.len()).map(missed).sum::<f64>() * 0.3;
        (1.0 + slow + silent + worker.failures.get(now, PENALTY_DECAY_US)) / self.warmth(now, worker)
    }

    /// Evidence past which a worker is no place for a request of a class: against the better quarter of the
    /// fleet, for where nearly all look bad at once it is the evidence that is to be doubted.
    fn suspect_threshold(&self, class: usize) -> f64 {
        SUSPECT_FACTOR * self.fleet.baseline_penalty.get(class).copied().unwrap_or(1.0)
    }

    /// A worker's pressure ratio if `added` demand and `mb` memory came to it. Our own account of demand and
    /// memory is drawn toward the fleet's mean where we have few calls: a scheduler of many would else see
    /// noise, and each would place a function somewhere else.
    fn pressure_ratio(&self, now: Micros, worker: &Worker, added: f64, mb: f64, class: usize) -> f64 {
        let (fleet, kinds) = (&self.fleet, &self.settings.copies.kind_memory_mb);
        let told = kinds.get(worker.member.kind).copied().unwrap_or(fleet.memory_mb);
        let left = (told - fleet.local_confidence * worker.placed_mb).max(mb).max(told * 0.1)
            / fleet.memory_mb.max(1.0);
        let own =
            if worker.placed_mb > 0.0 { worker.demand.get(now, DEMAND_WINDOW_US) } else { fleet.demand };
        let drawn = fleet.demand + fleet.local_confidence * (own - fleet.demand);
        // Nobody can have placed more on it than its life holds of the window.
        let age = now.saturating_sub(worker.member.started) as f64 / DEMAND_WINDOW_US;
        let lived = if worker.member.started == 0 || age > 5.0 { 1.0 } else { 1.0 - (-age).exp() };
        let placed = drawn * lived / DEMAND_WINDOW_US * f64::from(self.settings.schedulers);
        (placed + added).max(0.001) * self.penalty(now, worker, class) / (left * fleet.relative_size(worker))
    }

    /// A holder's ratio, spread by our own hash the more the less we know, or all would crowd the same
    /// holder. Where the way to another zone has its price, holders in our own come before.
    fn holder_key(&self, function: &Function, c: &Candidate) -> f64 {
        let spread = -unit_interval(rendezvous(function.hash ^ self.local_hash, c.worker.hash)).ln();
        let away = f64::from(u8::from(c.worker.member.zone != self.settings.zone));
        let way = 1.0 + CROSS_ZONE_WEIGHT * self.settings.cross_zone * away;
        c.ratio * way * spread.powf((1.0 - self.fleet.local_confidence).powi(2))
    }

    /// A worker as a place for a function, its key spread by a hash that all schedulers share, so that those
    /// who see nearly the same ratios choose the same workers. The home keeps its place until another ratio
    /// is lower past the threshold.
    fn candidate<'a>(
        &self,
        now: Micros,
        of: (&Function, f64),
        at: (&'a WorkerId, &'a Worker),
    ) -> Candidate<'a> {
        let ((function, added), (id, worker)) = (of, at);
        self.evaluations.set(self.evaluations.get() + 1);
        let ratio = self.pressure_ratio(now, worker, added, function.memory_mb, function.class);
        let held = if function.home.as_ref() == Some(id) { ratio / REBALANCE_GAIN } else { ratio };
        let key = held.powf(RATIO_EXPONENT) * -unit_interval(rendezvous(function.hash, worker.hash)).ln();
        Candidate { key, ratio, id, worker }
    }

    /// A function with the demand that it would bring.
    fn with_demand<'a>(&self, now: Micros, function: &'a Function) -> (&'a Function, f64) {
        (
            function,
            function.rate.get(now, DEMAND_WINDOW_US) * function.typical_latency * function.weight
                / DEMAND_WINDOW_US,
        )
    }

    /// Every usable worker as a place for a function, best first. It looks at the whole fleet: not for a call
    /// that can go nowhere yet, which is looked at again and again.
    fn rank(&self, now: Micros, function: &Function) -> Vec<Candidate<'_>> {
        let usable = self.workers.iter().filter(|(_, w)| self.takes_work(now, w));
        let of = self.with_demand(now, function);
        let mut ranked: Vec<_> = usable.map(|at| self.candidate(now, of, at)).collect();
        ranked.sort_by(|a, b| a.key.total_cmp(&b.key));
        ranked
    }

    // ---- demand ------------------------------------------------------------------------------------------

    /// Copies that a function needs in all, and the workers to hold them. Its calls in hand anywhere are
    /// taken as our own times the schedulers, where a first call says nothing. One that carries far more than
    /// the others would take itself for the average: notes of crowds times the holders are a bound from
    /// above, the mean crowd at one worker is one from below. They need lanes, with room for chance (twice
    /// the root); where memory allows there is a holder for each, as a worker's cores serve other functions
    /// too.
    fn target_copies(&self, now: Micros, function: &Function) -> (usize, usize) {
        let (least, most) = self.copy_bounds(now, function);
        let holders = (least + (most - least) * self.fleet.memory_headroom) as usize;
        let holders = holders.clamp(1, self.fleet.workers.max(1));
        ((least as usize).max(holders), holders)
    }

    /// Copies that a function needs at least, and those that it is given where memory is no concern.
    fn copy_bounds(&self, now: Micros, function: &Function) -> (f64, f64) {
        let own = busy_lanes(now, function) * f64::from(self.settings.schedulers);
        let notes = function.crowd_reports.get(now, DEMAND_WINDOW_US);
        let crowd = function.crowd_sum.get(now, DEMAND_WINDOW_US) / notes.max(1e-9);
        let held = if notes > 0.1 { own.min(crowd * function.holders).max(crowd) } else { own };
        let room = held + 2.0 * held.sqrt();
        ((room / f64::from(function.lanes)).ceil().max(1.0), room.max(1.0))
    }

    // ---- routing -----------------------------------------------------------------------------------------

    /// Whether the rules let this request go to this worker now; a keyed one as late as it may come.
    fn may_send(&self, now: Micros, held: &PendingRequest, worker: &Worker) -> bool {
        if !worker.usable
            || held.answered
            || held.streaming
            || held.attempts.len() >= self.settings.limits.attempts as usize
            || !self.settings.limits.concurrent_attempts && held.attempts.iter().any(|a| a.ended.is_none())
            || self.cold_credit(now, worker) < 1.0
            || self.access(now, worker) == Access::Closed
        {
            return false;
        }
        let mut maybe = held.attempts.iter().filter(|a| a.may_have_run());
        let (zone, cell) = (worker.member.zone, worker.member.cell);
        match self.settings.classes[held.request.class].repeat {
            Repeat::Safe => true,
            Repeat::Unsafe => maybe.next().is_none(),
            Repeat::Keyed { group, window } => maybe.all(|a| {
                let same = group == Group::All || a.zone == zone && (group == Group::Zone || a.cell == cell);
                same && now + self.settings.tick + self.settings.rules.send_delay < a.sent + window
            }),
        }
    }

    /// Whether a refusal, which tells the client that trying again is harmless, would be true.
    fn may_refuse(&self, held: &PendingRequest) -> bool {
        match self.settings.classes[held.request.class].repeat {
            Repeat::Safe | Repeat::Keyed { group: Group::All, .. } => true,
            _ => !held.attempts.iter().any(Attempt::may_have_run),
        }
    }

    /// Sends a request where it should go, has it wait for a load, or ends it. What waits comes here with
    /// each answer and sweep, so that a call that can't go must cost little: the places where copies stand
    /// are looked at first, the whole fleet only where an order may follow.
    fn route(&mut self, now: Micros, id: RequestId, out: &mut Actions) {
        let Some(held) = self.requests.get(&id).filter(|h| !h.answered) else { return };
        let name = held.request.function.clone();
        let Some(function) = self.functions.get(&name) else { return };
        let may = |w: &Worker| self.may_send(now, held, w);
        if !held.attempts.is_empty() && !self.workers.values().any(may) {
            if held.attempts.iter().all(|a| a.ended.is_some()) {
                self.refuse_or_fail(id, None, out);
            }
            return;
        }
        // A miss told that no copy stood there: where one stands since, it may be tried again. Else a call
        // whose own order brought the copy would wait beside it until its time is over, in a small fleet
        // always. Could hurt where copies come and go faster than answers: attempts are used up.
        // Nor does a broken connection tell of the copy behind it: a process that died refuses the next.
        let again = |a: &Attempt| matches!(a.ended, Some(Code::Miss | Code::Reset));
        let tried = |id: &WorkerId| held.attempts.iter().any(|a| a.worker == *id && !again(a));
        let class = held.request.class;
        let sound = |w: &Worker| self.penalty(now, w, class) < self.suspect_threshold(class);
        let stands = function.places.iter().filter(|(id, p)| p.loaded && !tried(id));
        let open = stands.filter_map(|(id, p)| Some((id, self.workers.get(id).filter(|w| may(w))?, p)));
        let (mut standing, unsound): (Vec<_>, Vec<_>) = open.partition(|(_, w, _)| sound(w));
        // Where no worker at all is sound, the evidence is doubted as in `suspect`, whose figure is some time
        // old: a small fleet that slows down together would hold every call until the next walk.
        if !unsound.is_empty() && !self.workers.values().any(|w| may(w) && sound(w)) {
            standing = unsound;
        }
        if standing.is_empty() {
            return self.wait_or_load(now, id, &name, out);
        }
        let (copies, holders) = self.target_copies(now, function);
        let of = self.with_demand(now, function);
        let choices = standing.into_iter().map(|(id, w, p)| (self.candidate(now, of, (id, w)), p));
        let mut standing: Vec<_> = choices.collect();
        standing.sort_by(|(a, _), (b, _)| a.key.total_cmp(&b.key));
        // Past a copy's lanes a worker starts another by itself: what waits here instead causes no load.
        let lanes = |p: &Place| f64::from(function.lanes * p.copies.max(1));
        let own = |c: &Candidate| self.holder_key(function, c);
        let crowd = |p: &Place| f64::from(p.in_flight) + p.crowd.get(now, CROWD_DECAY_US);
        // A queue that outlasts the aim is no room.
        let left = held.aim.checked_sub(now).unwrap_or(held.deadline.saturating_sub(now)) as f64;
        let soon = |p: &Place| crowd(p) * function.typical_latency <= left * lanes(p);
        let free = |(_, p): &&(Candidate, &Place)| f64::from(p.in_flight) < lanes(p) && soon(p);
        let cost = |(c, p): &(Candidate, &Place)| {
            let present = c.worker.due.len() as f64 + c.worker.others_in_flight.get(now, CROWD_DECAY_US);
            let question = self.probe_cost(now, c.worker);
            question * own(c) * (1.0 + crowd(p) / lanes(p) + present / self.fleet.in_flight.max(1.0))
        };
        let best = |range: &[(Candidate, &Place)], idle: bool| {
            let usable = range.iter().filter(free).filter(|(_, p)| !idle || crowd(p) < lanes(p));
            usable.min_by(|a, b| cost(a).total_cmp(&cost(b))).map(|(c, _)| c.id.clone())
        };
        let (kept, beyond) = standing.split_at(holders.min(standing.len()));
        let roomy = best(kept, true).or_else(|| best(beyond, true));
        let choice = roomy.clone().or_else(|| best(kept, false)).or_else(|| best(beyond, false));
        // The holder that is ours by our own hash is sought even while others have room: so all holders
        // serve, though each scheduler knows few.
        let lacks = |c: &&Candidate| {
            let place = function.places.get(c.id);
            !place.is_some_and(|p| {
                p.loading_since.is_some() || p.loaded && p.copies as usize * holders >= copies
            })
        };
        let grows = holders > 1 && self.may_order(now, function);
        let mut ranked = if grows { self.rank(now, function) } else { Vec::new() };
        ranked.truncate(holders);
        let by_own = |a: &&Candidate, b: &&Candidate| own(a).total_cmp(&own(b));
        let part = ranked.iter().min_by(by_own).filter(lacks).filter(|_| self.fleet.local_confidence < 0.5);
        let more = || ranked.iter().filter(lacks).min_by(by_own).filter(|_| roomy.is_none());
        let next = part.or_else(more).map(|c| c.id.clone());
        match choice {
            Some(worker) => self.send(now, id, &worker, out),
            None => self.enqueue(id, true),
        }
        if let Some(worker) = next {
            self.order_copies(now, &name, &worker, copies.div_ceil(holders) as u32, out);
        }
    }

    /// No copy is known: wait for answers or a load under way, else cause a load where the ratio is lowest.
    fn wait_or_load(&mut self, now: Micros, id: RequestId, name: &FunctionId, out: &mut Actions) {
        self.enqueue(id, false);
        let has_ration = self.has_order_left(now);
        let (Some(function), Some(held)) = (self.functions.get(name), self.requests.get(&id)) else { return };
        let (last, family) = (function.query_deadline, &self.settings.copies);
        if family.orders && (last == 0 || now >= last + function.load_time) {
            return self.query_holders(now, name, out);
        }
        let asking = function.queries_in_flight > 0 && now < function.query_deadline;
        if asking || !self.may_order(now, function) {
            let until = match (asking, function.order_after) {
                (true, _) => function.query_deadline,
                (_, after) if after > now => after.min(last + function.load_time),
                _ => last + function.load_time,
            };
            let rests = held.attempts.is_empty() && !function.places.values().any(|p| p.loaded);
            if let Some(calls) = self.waiting.get_mut(name).filter(|_| rests && family.orders) {
                calls.blocked_until = until;
            }
            return;
        }
        if self.is_order_delayed(now, name) || !(family.orders && has_ration || family.load_on_miss) {
            return;
        }
        let allowed = |c: &&Candidate| self.may_send(now, held, c.worker);
        // Copies may stand where nothing may be sent for now: an order there would only be repeated.
        let lacks = |c: &&Candidate| !function.places.get(c.id).is_some_and(|p| p.loaded);
        let ranked = self.rank(now, function);
        // One that turned calls away in an outage comes last: a call would spend all its attempts there.
        let trusted = |c: &&Candidate| allowed(c) && !c.worker.drain_evidence.has_refused();
        let first = ranked.iter().filter(lacks).find(trusted).or(ranked.iter().filter(lacks).find(allowed));
        let Some(target) = first.or(ranked.iter().find(lacks)).map(|c| c.id.clone()) else { return };
        let direct = ranked.iter().find(trusted).or(ranked.iter().find(allowed)).map(|c| c.id.clone());
        let ordered = self.order_copies(now, name, &target, 1, out);
        // No order is to be had: the request itself brings the copy.
        if let Some(worker) = direct.filter(|_| !ordered && self.settings.copies.load_on_miss) {
            self.send(now, id, &worker, out);
        }
    }

    /// Sends a request, or has it wait where its worker has to be asked first.
    fn send(&mut self, now: Micros, id: RequestId, worker: &WorkerId, out: &mut Actions) {
        if !self.may_begin(now, worker, out) {
            return self.enqueue(id, true);
        }
        let credit = self.workers.get(worker).map_or(0.0, |w| self.cold_credit(now, w));
        let (Some(held), Some(known)) = (self.requests.get_mut(&id), self.workers.get_mut(worker)) else {
            return;
        };
        let Some(function) = self.functions.get_mut(&held.request.function) else { return };
        stop_waiting((&mut self.waiting, &self.longest_queue), held);
        let place = function.places.entry(worker.clone()).or_default();
        let mut patience = function.typical_latency * 3.0;
        if !place.loaded {
            patience += function.load_time as f64 * 2.0;
            place.loading_since.get_or_insert(now);
        }
        place.in_flight += 1;
        place.last_used = now;
        function.home.get_or_insert_with(|| worker.clone());
        let aim = held.aim.saturating_sub(now) as f64;
        let left = (aim - function.typical_latency * 1.5).max(function.typical_latency * 1.5);
        let after = patience.min(left).max(20_000.0) as Micros;
        let (number, due) = (held.attempts.len(), now + after);
        held.attempts.push(Attempt::new(&known.member, now, due));
        known.due.insert((due, id, number));
        known.demand.add(now, function.typical_latency * function.weight, DEMAND_WINDOW_US);
        (known.cold_credit, known.cold_at) = (credit - 1.0, now);
        self.sends.add(now, 1.0, DEMAND_WINDOW_US);
        out.push(Action::Send { id, worker: worker.clone(), until: None });
        self.set_timer(after, TimerPurpose::Overdue(id, number), out);
    }

    /// Functions worth a look at their home, those with least demand first.
    fn functions_by_demand(&self, now: Micros) -> Vec<FunctionId> {
        let calls = self.functions.iter().map(|(n, f)| (f.rate.get(now, DEMAND_WINDOW_US), n.clone()));
        let mut order: Vec<_> = calls.filter(|(calls, _)| *calls >= 2.0).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| b.1.cmp(&a.1)));
        order.into_iter().map(|(_, name)| name).collect()
    }

    /// Moves functions, in falling demand, that gain past the threshold: the load is ordered at the target,
    /// the source serves on, and the home switches once the copy stands. A part of them a sweep: weighed all
    /// at once, hundreds of functions at a large fleet would hold up what is due meanwhile.
    fn rebalance(&mut self, now: Micros, out: &mut Actions) {
        let has_ration = self.has_order_left(now);
        for _ in 0..REBALANCE_BATCH {
            let Some(name) = self.rebalance_queue.pop() else { return };
            let Some(function) = self.functions.get(&name) else { continue };
            let Some(home) = function.home.clone() else { continue };
            let at = |id| self.workers.get_key_value(id).filter(|(_, w)| self.takes_work(now, w));
            let choice = |at| self.candidate(now, self.with_demand(now, function), at);
            let here = at(&home).map_or(f64::INFINITY, |at| choice(at).ratio);
            let gains = |c: &&Candidate| *c.id != home && here > c.ratio * REBALANCE_GAIN;
            // Without an order it can only move to where a copy stands: seldom worth a look at the fleet.
            let standing = function.places.iter().filter(|(_, p)| p.loaded);
            let moves = || standing.filter_map(|(id, _)| at(id)).any(|at| gains(&&choice(at)));
            let orders = has_ration && self.may_order(now, function) && self.load_gap == 0;
            if !orders && !moves() {
                continue;
            }
            let ranked = self.rank(now, function);
            let Some(best) = ranked.first().filter(gains) else { continue };
            let (best, stands) = (best.id.clone(), function.places.get(best.id).is_some_and(|p| p.loaded));
            let ordered = !stands && orders && self.send_order(now, (&best, &name), 1, out);
            let Some(function) = self.functions.get_mut(&name) else { continue };
            if ordered {
                function.moving_to = Some(best);
                return self.rebalance_queue.clear();
            }
            function.home = if stands { Some(best) } else { Some(home) };
        }
    }

    // ---- fairness ----------------------------------------------------------------------------------------

    /// Whether a request is past our part of its tenant's share: the share itself is always let in, however
    /// many repeats come on top. Such requests wait behind the others and go first where there is no room.
    fn is_over_share(&mut self, now: Micros, tenant: usize) -> bool {
        let Some(quota) = self.settings.tenant_quotas.get(tenant) else { return false };
        let share = quota / f64::from(self.settings.schedulers) * SHARE_WINDOW_US / 1e6;
        let past = self.tenants[tenant].get(now, SHARE_WINDOW_US) > share + share.sqrt();
        self.tenants[tenant].add(now, if past { 0.0 } else { 1.0 }, SHARE_WINDOW_US);
        past
    }

    /// Whether a new request is turned away at once. Where attempts come back full or late, all schedulers
    /// together send more than the fleet can do, though each sends little: what is past a tenant's share goes
    /// first, then a part of the rest that grows with the jam, or all would be late. It lets go as answers
    /// come in time, or after seconds without any. Could hurt where one jammed worker has most of our calls.
    fn rejects_for_overload(&mut self, now: Micros, excess: bool) -> bool {
        let over = self.overload.get(now, PENALTY_DECAY_US) - OVERLOAD_SHARE;
        if over <= 0.0 || excess {
            return over > 0.0;
        }
        self.admission_credit += 1.0 - (2.0 * over - OVERLOAD_SHARE).clamp(0.0, 0.8);
        let away = self.admission_credit < 1.0;
        self.admission_credit -= if away { 0.0 } else { 1.0 };
        away
    }

    /// How far past its aim a new request would wait behind those for the same function, as fast as answers
    /// came while some waited: it would be shed at its aim, and is better told at once. Answers of quiet
    /// times say nothing of what copies can do, so a burst after them is let in. Could hurt where copies
    /// about to stand will serve faster than those before.
    fn wait_past_aim(&self, now: Micros, id: RequestId) -> Option<Micros> {
        let held = self.requests.get(&id)?;
        let (function, calls) =
            (self.functions.get(&held.request.function)?, self.waiting.get(&held.request.function)?);
        let ahead = calls.queues[0].len() + if held.over_share { calls.queues[1].len() } else { 0 };
        let beyond = ahead as f64 * function.answer_gap + function.typical_latency
            - held.aim.saturating_sub(now) as f64;
        (function.answer_gap_count >= MIN_ANSWER_GAPS && beyond > 0.0).then_some(beyond as Micros)
    }

    // ---- copies ------------------------------------------------------------------------------------------

    /// Whether no order of a function is out, nor on hold after a failure.
    fn may_order(&self, now: Micros, function: &Function) -> bool {
        now >= function.order_after && !function.places.values().any(|p| p.loading_since.is_some())
    }

    /// Orders copies, one order of a function at a time: true while one is out or on hold after a failure.
    fn order_copies(
        &mut self,
        now: Micros,
        name: &FunctionId,
        worker: &WorkerId,
        count: u32,
        out: &mut Actions,
    ) -> bool {
        if !self.may_order(now, &self.functions[name]) || self.is_order_delayed(now, name) {
            return true;
        }
        if !self.may_begin(now, worker, out) {
            return true;
        }
        self.send_order(now, (worker, name), count, out)
    }

    /// A load has failed: the gap between orders grows, under calls once for those that fail together.
    fn on_load_failed(&mut self, now: Micros, ordered: bool) {
        if ordered || now >= self.load_gap_raised_at + self.load_gap {
            self.load_gap = (self.load_gap * 2).clamp(GAP.0, GAP.1);
            (self.load_gap_raised_at, self.next_load) = (now, now + self.load_gap);
        }
    }

    /// Whether a function's order has to wait since loads fail: the store turns fetches away, and orders that
    /// come again at once, each for one call, keep it so. They go one at a time then, at a gap that doubles
    /// with each failure, and those first that most calls wait for. Could hurt where one function alone
    /// can't be loaded.
    fn is_order_delayed(&self, now: Micros, name: &FunctionId) -> bool {
        if self.load_gap == 0 {
            return false;
        }
        let count = |calls: &WaitingCalls| calls.queues.iter().map(BTreeSet::len).sum::<usize>();
        let most = || {
            self.longest_queue.get().unwrap_or_else(|| self.waiting.values().map(count).max().unwrap_or(0))
        };
        now < self.next_load || {
            self.longest_queue.set(Some(most()));
            self.waiting.get(name).map_or(0, count) * 2 < most()
        }
    }

    /// Whether the ration of load orders has one more, however late this one or those before it come whole.
    fn has_order_left(&mut self, now: Micros) -> bool {
        let (family, delay) = (&self.settings.copies, self.settings.rules.send_delay);
        while self.recent_orders.pop_front_if(|t| *t + family.load_window + delay < now).is_some() {}
        while self.recent_requests.pop_front_if(|t| *t + family.load_window <= now + delay).is_some() {}
        let most = family.load_free + family.load_share * self.recent_requests.len() as f64;
        family.load_window == 0 || (self.recent_orders.len() + 1) as f64 <= most
    }

    fn send_order(&mut self, now: Micros, at: WorkerFunction, count: u32, out: &mut Actions) -> bool {
        let (worker, name) = at;
        let usable = self.workers.get(worker).is_some_and(|w| w.usable);
        if !usable
            || !self.settings.copies.orders
            || !self.has_order_left(now)
            || !self.may_begin(now, worker, out)
        {
            return false;
        }
        self.unload_idle_copy(now, worker, name, out);
        let Some(function) = self.functions.get_mut(name) else { return false };
        let place = function.places.entry(worker.clone()).or_default();
        place.loading_since = Some(now);
        place.last_used = now;
        self.next_load = now + self.load_gap;
        self.recent_orders.push_back(now);
        out.push(Action::Load { worker: worker.clone(), function: name.clone(), count: count.clamp(1, 16) });
        true
    }

    /// Just before a load on a worker that our account shows short of memory: unload the youngest idle
    /// instance of a function that we saw once, so that it does not push out an older, hotter copy. Copies of
    /// others stay: what we do not use there another scheduler may.
    fn unload_idle_copy(&mut self, now: Micros, worker: &WorkerId, name: &FunctionId, out: &mut Actions) {
        let (Some(known), Some(function)) = (self.workers.get(worker), self.functions.get(name)) else {
            return;
        };
        let told = self.settings.copies.kind_memory_mb.get(known.member.kind);
        if told.is_none_or(|told| told - known.placed_mb >= function.memory_mb) {
            return;
        }
        let idle = self.functions.iter().filter(|(n, _)| *n != name).filter_map(|(n, f)| {
            let place = f.places.get(worker).filter(|p| p.loaded && p.in_flight == 0)?;
            let unused = place.last_used + self.settings.copies.keep_alive / 4 < now;
            let once = f.rate.get(now, DEMAND_WINDOW_US) <= 1.0;
            (unused && once).then_some((place.loaded_at, n))
        });
        if let Some(victim) = idle.max().map(|(_, n)| n.clone()) {
            self.record_copies(worker, &victim, false, 0, 0);
            out.push(Action::Drop { worker: worker.clone(), function: victim });
        }
    }

    /// Records whether a function stands on a worker, and the memory that it takes in our account.
    fn record_copies(
        &mut self,
        worker: &WorkerId,
        name: &FunctionId,
        stands: bool,
        copies: u32,
        now: Micros,
    ) {
        let Some(function) = self.functions.get_mut(name) else { return };
        let place = function.places.entry(worker.clone()).or_default();
        let before = if place.loaded { f64::from(place.copies.max(1)) } else { 0.0 };
        place.loaded_at = if stands && !place.loaded { now } else { place.loaded_at };
        (place.loaded, place.copies) = (stands, copies);
        let after = if stands { f64::from(copies.max(1)) } else { 0.0 };
        if let Some(known) = self.workers.get_mut(worker) {
            known.placed_mb = (known.placed_mb + (after - before) * function.memory_mb).max(0.0);
        }
        if stands {
            place.loading_since = None;
            if function.home.is_none() || function.moving_to.as_ref() == Some(worker) {
                function.home = Some(worker.clone());
                function.moving_to = None;
            }
        } else if function.home.as_ref() == Some(worker) {
            function.home = function.places.iter().find(|(_, p)| p.loaded).map(|(w, _)| w.clone());
        }
    }

    /// Takes the answer to an order or a question: copies standing, how it ended, after how long.
    fn on_loaded(&mut self, now: Micros, at: WorkerFunction, told: (u32, Code, Micros), out: &mut Actions) {
        let ((worker, name), (count, code, latency)) = (at, told);
        if !self.workers.contains_key(worker) {
            return;
        }
        let Some(function) = self.functions.get_mut(name) else { return };
        function.queries_in_flight = function.queries_in_flight.saturating_sub(1);
        self.waiting.get_mut(name).into_iter().for_each(|calls| calls.blocked_until = 0);
        let early = |since| code == Code::Ok && count == 0 && now < since + function.load_time;
        let ends = |p: &&mut Place| p.loading_since.is_some_and(|since| !early(since));
        let Some(place) = function.places.get_mut(worker).filter(ends) else {
            // An answer to a question; of no copy also one to a question from before the order.
            if code == Code::Ok && count > 0 {
                function.places.entry(worker.clone()).or_default().last_used = now;
                self.record_copies(worker, name, true, count, now);
            }
            if count > 0 || self.functions[name].queries_in_flight == 0 {
                self.route_waiting(now, None, out);
            }
            return;
        };
        place.loading_since = None;
        if function.moving_to.as_ref() == Some(worker) && code != Code::Ok {
            function.moving_to = None;
        }
        if code == Code::Ok && count > 0 {
            let took = if latency > 20_000 { latency } else { function.load_time };
            function.load_time = (function.load_time * 7 + took * 3) / 10;
            self.record_copies(worker, name, true, count, now);
        } else if let Some(known) = self.workers.get_mut(worker) {
            known.failures.add(now, 1.0, PENALTY_DECAY_US);
            function.order_after = now + function.load_time / 2;
        }
        if code == Code::Error {
            self.on_load_failed(now, true);
        } else if code == Code::Ok && self.load_gap > 0 {
            self.load_gap = Some(self.load_gap / 2).filter(|gap| *gap >= GAP.0).unwrap_or(0);
        }
        self.route_waiting(now, None, out);
    }

    /// Routes what waits, within its tenant's share first, then by aim; after an answer only what it may
    /// free. Of a function whose first call finds no place the others find none either: each turn costs the
    /// functions that wait and the calls that go, not all that wait.
    pub(crate) fn route_waiting(&mut self, now: Micros, freed: Option<&WorkerId>, out: &mut Actions) {
        let lane = |p: &Place, f: &Function| !p.loaded || p.in_flight < f.lanes * p.copies.max(1);
        let usable = |f: &Function, w| f.places.get(w).is_some_and(|p| lane(p, f));
        let may = |name: &FunctionId, w| self.functions.get(name).is_some_and(|f| usable(f, w));
        let awake = self.waiting.iter().filter(|(_, calls)| calls.blocked_until <= now);
        let names = awake.filter(|(name, _)| freed.is_none_or(|w| may(name, w)));
        let heads = names.filter_map(|(name, calls)| Some((first_waiting(now, calls)?, name.clone())));
        let mut heads: BTreeSet<_> = heads.collect();
        while let Some(((.., id), name)) = heads.pop_first() {
            self.route(now, id, out);
            if !self.requests.get(&id).is_some_and(|h| h.is_waiting) {
                let next = self.waiting.get(&name).and_then(|calls| first_waiting(now, calls));
                heads.extend(next.map(|next| (next, name)));
            }
        }
    }

    /// Asks the first few workers whether they hold a function that we know no copy of, again while a load is
    /// late. A scheduler of many hears of most functions more rarely than copies are kept, though others use
    /// them all the time. Useless for functions seen once, where it costs some asks.
    fn query_holders(&mut self, now: Micros, name: &FunctionId, out: &mut Actions) {
        let function = &self.functions[name];
        let mut ranked = self.rank(now, function);
        // Where many should hold it, ours are asked besides the first.
        ranked.truncate(self.target_copies(now, function).1.max(ASK.1));
        let own = |c: &Candidate| self.holder_key(function, c);
        ranked.get_mut(1..).unwrap_or_default().sort_by(|a, b| own(a).total_cmp(&own(b)));
        let asked: Vec<_> = ranked.iter().take(ASK.1).map(|c| c.id.clone()).collect();
        let Some(function) = self.functions.get_mut(name) else { return };
        (function.queries_in_flight, function.query_deadline) = (asked.len() as u32, now + ASK.0);
        let ask = |worker| Action::Load { worker, function: name.clone(), count: 0 };
        out.extend(asked.into_iter().map(ask));
    }

    // ---- health ------------------------------------------------------------------------------------------

    fn on_members(&mut self, now: Micros, kind: MembersKind, members: Vec<Member>, out: &mut Actions) {
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
            if let Some(known) = self.workers.get_mut(&id) {
                (known.usable, known.member) = (member.state == WorkerState::Active, member);
            }
        }
        let lost: Vec<_> = self.workers.iter().filter(|(_, w)| !w.usable).map(|(id, _)| id.clone()).collect();
        lost.iter().for_each(|id| self.clear_placements(id));
        self.workers.retain(|_, w| w.usable || !w.due.is_empty());
        self.maintain(now);
    }

    /// Forgets all that we believed loaded on a worker.
    pub(crate) fn clear_placements(&mut self, worker: &WorkerId) {
        let held = self.functions.iter().filter(|(_, f)| f.places.contains_key(worker));
        let names: Vec<_> = held.map(|(n, _)| n.clone()).collect();
        for name in names {
            self.record_copies(worker, &name, false, 0, 0);
            let Some(function) = self.functions.get_mut(&name) else { continue };
            function.moving_to.take_if(|w| *w == *worker);
            self.waiting.get_mut(&name).into_iter().for_each(|calls| calls.blocked_until = 0);
            function.places.get_mut(worker).into_iter().for_each(|place| place.loading_since = None);
            function.places.retain(|w, p| w != worker || p.in_flight > 0);
        }
    }

    // ---- request life ------------------------------------------------------------------------------------

    fn on_request(&mut self, now: Micros, told: Request, out: &mut Actions) {
        let (id, name) = (told.id, told.function.clone());
        let usable = told.memory_mb.is_finite() && told.memory_mb > 0.0 && told.lanes > 0;
        if self.requests.contains_key(&id) {
            return;
        } else if told.class >= self.settings.classes.len() || !usable {
            return out.push(Action::Refuse { id, wait: None });
        }
        let strictest = self.settings.classes.iter().map(|c| c.aim).min().unwrap_or(1) as f64;
        let class = &self.settings.classes[told.class];
        self.recent_requests.push_back(now);
        let holders = self.functions.get(&name).map_or(1, |f| self.target_copies(now, f).1);
        let function = self.functions.entry(name.clone()).or_insert_with(|| Function {
            memory_mb: told.memory_mb,
            lanes: told.lanes,
            load_time: told.load_time.unwrap_or(class.aim),
            typical_latency: self.class_typical_latency[told.class],
            weight: strictest / class.aim as f64,
            class: told.class,
            holders: 1.0,
            hash: text_hash(name.as_str()),
            created_at: now,
            ..Function::default()
        });
        function.rate.add(now, 1.0, DEMAND_WINDOW_US);
        function.last_called = now;
        function.holders = holders as f64;
        let deadline = now + told.client_timeout;
        // Told less patience than the aim, what is left of it is the aim.
        let within = class.aim.min(told.client_timeout);
        let (aim, shed) = (now + within, within.saturating_sub(function.typical_latency as Micros));
        let excess = self.is_over_share(now, told.tenant);
        self.set_timer(shed, TimerPurpose::Shed(id), out);
        self.set_timer(told.client_timeout, TimerPurpose::Deadline(id), out);
        self.requests.insert(id, PendingRequest::new(told, deadline, aim, excess));
        if self.is_every_worker_closed(now) {
            return self.refuse_or_fail(id, Some(self.retry_after_closed()), out);
        }
        let beyond = self.wait_past_aim(now, id);
        if self.rejects_for_overload(now, excess) || beyond.is_some() {
            self.refuse_or_fail(id, beyond, out);
        } else {
            self.route(now, id, out);
        }
    }

    fn on_outcome(&mut self, now: Micros, told: Outcome, out: &mut Actions) {
        let Some(held) = self.requests.get_mut(&told.id) else { return };
        let open = |a: &&mut Attempt| a.ended.is_none() && a.worker == told.worker;
        let Some(attempt) = held.attempts.get_mut(told.attempt).filter(open) else { return };
        attempt.ended = Some(told.code);
        let (sent, due, class, missed) =
            (attempt.sent, attempt.due, held.request.class, attempt.counted_overdue);
        let name = held.request.function.clone();
        held.answered |= told.is_final;
        let (done, quiet) = (held.answered, held.attempts.iter().all(|a| a.ended.is_some()));
        if told.code == Code::Ok {
            self.renew_lease(now, &told.worker, sent);
        }
        let is_load = told.code != Code::Full || self.on_refusal(now, &told.worker, sent);
        self.record_outcome(now, &name, (class, due, missed, is_load), &told);
        if done {
            self.finish(told.id, None, out);
        } else if self.requests.get(&told.id).is_some_and(|h| now + self.settings.tick >= h.deadline) {
            self.finish(told.id, Some(Action::Fail { id: told.id }), out);
        } else if quiet {
            self.route(now, told.id, out);
        }
        self.route_waiting(now, Some(&told.worker), out);
    }

    /// Takes what an outcome tells of the worker, the copy and the function's usual time.
    fn record_outcome(
        &mut self,
        now: Micros,
        name: &FunctionId,
        of: (usize, Micros, bool, bool),
        told: &Outcome,
    ) {
        let (class, due, missed, is_load) = of;
        let (worker, key) = (&told.worker, (due, told.id, told.attempt));
        self.waiting.get_mut(name).into_iter().for_each(|calls| calls.blocked_until = 0);
        let Some(function) = self.functions.get_mut(name) else { return };
        let place = function.places.entry(worker.clone()).or_default();
        place.in_flight = place.in_flight.saturating_sub(1);
        let Some(known) = self.workers.get_mut(worker) else { return };
        known.due.remove(&key);
        if !matches!(told.code, Code::Timeout | Code::Cancelled | Code::ConnectFailed | Code::Moot) {
            known.answered_at[class] = now;
            known.unanswered[class].blend(now, 0.0, 0.7, PENALTY_DECAY_US);
        }
        if let Some(crowd) = told.crowd {
            let others = (f64::from(crowd) - f64::from(place.in_flight)).max(0.0);
            place.crowd.blend(now, others, 0.5, CROWD_DECAY_US);
            if !matches!(told.copy, CopyStatus::LoadStarted | CopyStatus::WaitedForLoad) {
                function.crowd_reports.add(now, 1.0, DEMAND_WINDOW_US);
                function.crowd_sum.add(now, f64::from(crowd), DEMAND_WINDOW_US);
            }
        }
        let names = &self.settings.report_names;
        let at = names.iter().position(|n| n == "outstanding" || n == "inflight");
        if let Some(held) = at.and_then(|i| told.report.get(i)).filter(|v| v.is_finite()) {
            let others = (held.clamp(0.0, 1_000.0) - known.due.len() as f64).max(0.0);
            known.others_in_flight.blend(now, others, 0.3, CROWD_DECAY_US);
        }
        let stood = told.code == Code::Ok && matches!(told.copy, CopyStatus::Loaded | CopyStatus::Unknown);
        let share = told.latency as f64 / self.settings.classes[class].aim as f64;
        // A time-out of a worker that answers others of the class meanwhile is jam, else silence.
        let working = known.answered_at[class] + told.latency > now;
        if is_load && (matches!(told.code, Code::Full | Code::Ok) || told.code == Code::Timeout && working) {
            let jammed = told.code != Code::Ok || share > 1.0;
            self.overload.blend(now, f64::from(u8::from(jammed)), 0.1, PENALTY_DECAY_US);
        }
        match told.code {
            Code::Ok => {
                // By those that served then, each as far as it was warm: fewer may be left.
                self.served_per_warm_worker.add(
                    now,
                    1.0 / self.fleet.warm_equivalent.max(1.0),
                    DEMAND_WINDOW_US,
                );
                if function.had_waiting {
                    function.answer_gap_count = function.answer_gap_count.saturating_add(1);
                    let gap = now.saturating_sub(function.served_at) as f64;
                    function.answer_gap +=
                        (gap - function.answer_gap) * (1.0 / f64::from(function.answer_gap_count)).max(0.05);
                }
                (function.had_waiting, function.served_at) = (self.waiting.contains_key(name), now);
                if stood {
                    let latency = told.latency as f64;
                    let slow = (latency / function.typical_latency.max(1.0)).clamp(0.1, 10.0) - 1.0;
                    known.slowness.blend(now, slow, 0.15, PENALTY_DECAY_US);
                    // 1.3 times the median: a crowded spell must not pass for more work.
                    function.typical_latency *=
                        if latency * 1.3 > function.typical_latency { 1.03 } else { 1.0 / 1.03 };
                    let usual = &mut self.class_typical_latency[class];
                    *usual += 0.02 * (latency.min(*usual * 10.0) - *usual);
                }
                let began = told.copy == CopyStatus::LoadStarted && place.loaded;
                let copies = (place.copies + u32::from(began)).max(1);
                if known.usable {
                    self.record_copies(worker, name, true, copies, now);
                }
            }
            Code::Miss => self.record_copies(worker, name, false, 0, now),
            // No copy stands there whatever we believed: what is sent on would only load again and fail.
            Code::Error if told.copy == CopyStatus::LoadFailed => {
                function.order_after = now + function.load_time / 2;
                known.failures.add(now, 0.5, PENALTY_DECAY_US);
                self.record_copies(worker, name, false, 0, now);
                self.on_load_failed(now, false);
            }
            Code::ConnectFailed => known.failures.add(now, 3.0, PENALTY_DECAY_US),
            // One may be the way's fault; a process that dies breaks all that are open.
            Code::Reset => known.failures.add(now, 1.0, PENALTY_DECAY_US),
            Code::Error | Code::Unknown => known.failures.add(now, 0.5, PENALTY_DECAY_US),
            Code::Timeout | Code::Cancelled if missed => {
                known.unanswered[class].add(now, 1.0, PENALTY_DECAY_US)
            }
            Code::Full | Code::Timeout | Code::Cancelled | Code::Moot => {}
        }
        let place = self.functions.get_mut(name).and_then(|f| f.places.get_mut(worker));
        if let Some(place) = place.filter(|p| told.code != Code::Ok && !p.loaded) {
            place.loading_since = None;
        }
    }

    /// An attempt is overdue: evidence against its worker unless it answered this class since, and a try
    /// elsewhere where class and settings allow. A worker that answers others is at work, and a second
    /// attempt would only add to a crowd, until it is suspect for this class. Tries are rationed, so a jam
    /// stays one.
    fn on_overdue(&mut self, now: Micros, id: RequestId, number: usize, out: &mut Actions) {
        let Some(held) = self.requests.get_mut(&id).filter(|h| !h.answered) else { return };
        let (last, class, deadline) = (held.attempts.len() == number + 1, held.request.class, held.deadline);
        let more = held.attempts.len() < self.settings.limits.attempts as usize;
        let Some(attempt) = held.attempts.get_mut(number).filter(|a| a.ended.is_none()) else { return };
        let Some(worker) = self.workers.get_mut(&attempt.worker) else { return };
        let silent = worker.answered_at[class] <= attempt.sent;
        if silent && !std::mem::replace(&mut attempt.counted_overdue, true) {
            worker.unanswered[class].add(now, 1.0, PENALTY_DECAY_US);
        }
        let (sent, worker) = (attempt.sent, &self.workers[&attempt.worker]);
        let suspect = self.penalty(now, worker, class) >= self.suspect_threshold(class);
        // Called off, its work is lost and done again: there only suspicion will do.
        let busy = worker.answered_at.iter().any(|h| *h > sent) || !self.settings.limits.concurrent_attempts;
        if busy && !suspect {
            let again = (now - sent).max(1);
            if now + again < deadline {
                self.set_timer(again, TimerPurpose::Overdue(id, number), out);
            }
            return;
        }
        let spent = self.hedges.get(now, DEMAND_WINDOW_US);
        if !last
            || self.settings.classes[class].repeat == Repeat::Unsafe
            || spent > HEDGE_SHARE * self.sends.get(now, DEMAND_WINDOW_US) + 1.0
        {
            return;
        }
        self.hedges.add(now, 1.0, DEMAND_WINDOW_US);
        if self.settings.limits.concurrent_attempts {
            self.route(now, id, out);
        } else if self.settings.limits.cancel && more {
            out.push(Action::Cancel { id, attempt: number });
        }
    }

    /// An answer has begun to stream: the other attempts are called off.
    fn on_answer_started(&mut self, id: RequestId, attempt: usize, out: &mut Actions) {
        let begun = self.requests.get_mut(&id).filter(|h| !h.answered && attempt < h.attempts.len());
        let Some(held) = begun else { return };
        held.streaming = true;
        let others = held.attempts.iter().enumerate().filter(|(i, a)| *i != attempt && a.ended.is_none());
        if self.settings.limits.cancel {
            out.extend(others.map(|(attempt, _)| Action::Cancel { id, attempt }));
        }
    }

    /// No further attempt is allowed.
    fn refuse_or_fail(&mut self, id: RequestId, wait: Option<Micros>, out: &mut Actions) {
        let limits = &self.settings.limits;
        let wait = wait.filter(|_| limits.retry_after).map(|wait| wait.min(limits.max_retry_after));
        let refuse = self.requests.get(&id).is_some_and(|h| self.may_refuse(h));
        let answer = if refuse { Action::Refuse { id, wait } } else { Action::Fail { id } };
        self.finish(id, Some(answer), out);
    }

    /// Closes a request once, with the final answer if one is still owed, and calls off what is out.
    fn finish(&mut self, id: RequestId, answer: Option<Action>, out: &mut Actions) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        if !held.answered {
            held.answered = true;
            out.extend(answer);
        }
        stop_waiting((&mut self.waiting, &self.longest_queue), held);
        if self.settings.limits.cancel {
            let open = held.attempts.iter().enumerate().filter(|(_, a)| a.ended.is_none());
            out.extend(open.map(|(attempt, _)| Action::Cancel { id, attempt }));
        }
        if held.attempts.iter().all(|a| a.ended.is_some()) {
            self.requests.remove(&id);
        }
    }

    fn on_sweep(&mut self, now: Micros, out: &mut Actions) {
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

    /// Gives up loads that never ended, releases idle copies and placements, and takes the fleet's sums.
    fn maintain(&mut self, now: Micros) {
        // Loads that fail by themselves now and then are no jam.
        self.load_gap = if now >= self.load_gap_raised_at + LOAD_GAP_RESET_US { 0 } else { self.load_gap };
        let keep = self.settings.copies.keep_alive;
        let names: Vec<_> = self.functions.keys().cloned().collect();
        for name in names {
            let Some(function) = self.functions.get_mut(&name) else { continue };
            let late = function.load_time * 3 + 1_000_000;
            for place in function.places.values_mut() {
                if place.loading_since.take_if(|since| *since + late < now).is_some() {
                    function.moving_to = None;
                    self.waiting.get_mut(&name).into_iter().for_each(|calls| calls.blocked_until = 0);
                }
            }
            let idle = function.places.iter().filter(|(_, p)| p.in_flight == 0 && p.loading_since.is_none());
            let idle: Vec<_> =
                idle.filter(|(_, p)| p.last_used + keep < now).map(|(w, _)| w.clone()).collect();
            let home = function.home.clone();
            idle.iter().for_each(|worker| self.record_copies(worker, &name, false, 0, now));
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
        let mean = |of: &dyn Fn(&Worker) -> f64| usable.iter().map(|w| of(w)).sum::<f64>() / count;
        let calls = self.sends.get(now, DEMAND_WINDOW_US) / count;
        let others = 1.0 - 1.0 / f64::from(self.settings.schedulers);
        let better = |class: usize| {
            let mut all: Vec<_> = usable.iter().map(|w| self.penalty(now, w, class)).collect();
            all.sort_by(f64::total_cmp);
            all.get(all.len() / 4).copied().unwrap_or(1.0)
        };
        let kinds = &self.settings.copies.kind_memory_mb;
        let told: f64 = usable.iter().filter_map(|w| kinds.get(w.member.kind)).sum();
        self.fleet = FleetStats {
            memory_headroom: ((told * COPY_MEMORY_SHARE - least) / (most - least).max(1.0)).clamp(0.0, 1.0),
            workers: usable.len(),
            warm_equivalent: usable.iter().map(|w| self.warmth(now, w)).sum(),
            memory_mb: kinds.iter().sum::<f64>() / kinds.len() as f64,
            hint: mean(&|w| w.hint()),
            demand: mean(&|w| w.demand.get(now, DEMAND_WINDOW_US)),
            in_flight: mean(&|w| w.due.len() as f64 + w.others_in_flight.get(now, CROWD_DECAY_US)),
            local_confidence: calls / (calls + CONFIDENT_CALLS * others).max(1e-9),
            baseline_penalty: (0..self.settings.classes.len()).map(better).collect(),
        };
    }
}

/// Lanes that our calls keep busy, the first call left out; a young function's window counts only as far as
/// it is full.
fn busy_lanes(now: Micros, function: &Function) -> f64 {
    let age = now.saturating_sub(function.created_at).max(1_000_000) as f64;
    let calls = (function.rate.get(now, DEMAND_WINDOW_US) - 1.0).max(0.0);
    calls * function.typical_latency / DEMAND_WINDOW_US / (1.0 - (-age / DEMAND_WINDOW_US).exp())
}

/// A hash as a number above 0 and at most 1.
fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) + 1) as f64 / (1u64 << 53) as f64
}
