//! The policy: every decision of a scheduler. Its types, events and actions stand in `src/interface.rs`, the
//! records that it keeps in `src/state.rs`.
//!
//! The ordinary path: each function is placed on the worker whose memory pressure ratio (weighted demand
//! over memory left) would be lowest, its requests follow it there and overflow onward by the same rule, a
//! timer re-places it past a gain threshold, and idle placements are released. Sections: demand, pressure,
//! routing, copies, health, request life, fairness.

use crate::interface::*;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet};

/// Span of the demand window (the paper has 60 s; keep-alive here is some ten seconds).
const WINDOW_US: f64 = 10_000_000.0;
/// Ratios within this factor of the lowest count as tied and are ordered by rendezvous hash.
const NEAR: f64 = 1.25;
/// A function leaves its home, for a request or for good, once another ratio is lower by this factor.
const GAIN: f64 = 1.6;
/// How often loads, waiting requests and idle placements are looked over.
const SWEEP_US: Micros = 50_000;
/// How often functions are re-placed.
const REPLACE_US: Micros = 1_000_000;
/// Evidence against a worker fades to 1/e in this time.
const FORGET_US: f64 = 4_000_000.0;
/// Attempts of ours that a worker is first trusted with; the bound then follows its answers.
const FIRST_BOUND: f64 = 4.0;
/// The bound never falls below this: a scheduler must keep hearing from a worker to raise it again.
const LEAST_BOUND: f64 = 1.0;
/// A worker whose answers take this share of their aim, on average, is given fewer.
const STRETCH: f64 = 0.5;
/// Evidence past which a worker is used after the sound ones.
const SUSPECT: f64 = 3.0;
/// Calls in the window under which a function counts as rare.
const RARE: f64 = 3.0;
/// Share of all told memory reckoned with for copies; running work and others' placements take the rest.
const USABLE: f64 = 0.5;
/// Span over which a tenant's calls are held against its share.
const FAIR_US: f64 = 3_000_000.0;
/// Crowd notes and load reports fade to 1/e in this time.
const CROWD_US: f64 = 1_000_000.0;
/// Patience with questions on where copies stand.
const ASK_US: Micros = 15_000;
/// Share of the guessed cold budget that is used; the rest is for chance and for a wrong guess.
const COLD_SHARE: f64 = 0.5;
/// Share of sends that may be second attempts on suspicion.
const HEDGE_SHARE: f64 = 0.1;

// ---- demand ----------------------------------------------------------------------------------------------

impl Controller {
    /// A controller that has heard nothing yet. The seed is accepted for policies that draw; this one
    /// breaks ties by hash so that schedulers agree.
    pub fn new(settings: Settings, _seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let class_usual = settings.classes.iter().map(|c| c.aim as f64 / 4.0).collect();
        Ok(Self::blank(settings, class_usual))
    }

    /// Takes one event at time `now` and appends what is to be done. Events about unknown requests,
    /// attempts, workers, functions or timers change nothing.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Members { kind, members } => self.members(now, kind, members, out),
            Event::Request(request) => self.request(now, request, out),
            Event::Outcome(outcome) => self.outcome(now, outcome, out),
            Event::Loaded { worker, function, count, code, latency } => {
                self.loaded(now, (&worker, &function), (count, code, latency), out)
            }
            Event::Gone { id } => self.finish(id, None, out),
            Event::First { id, attempt } => self.first(id, attempt, out),
            Event::Timer { token: 0 } => self.sweep(now, out),
            Event::Timer { token } => match self.wakes.remove(&token) {
                Some(Wake::Deadline(id)) if self.requests.get(&id).is_none_or(|h| h.streaming) => {}
                Some(Wake::Deadline(id)) => self.finish(id, Some(Action::Fail { id }), out),
                Some(Wake::Shed(id)) => self.shed(id, out),
                Some(Wake::Overdue(id, attempt)) => self.overdue(now, id, attempt, out),
                None => {}
            },
            Event::Probed { .. } | Event::Peer { .. } => {}
        }
    }

    // ---- pressure ----------------------------------------------------------------------------------------

    /// Evidence that a worker does less than its memory promises, 1 for none: slowness against each
    /// function's usual time, silence past the time answers were due, broken connections, a cold start.
    fn evidence(&self, now: Micros, worker: &Worker) -> f64 {
        let slow = worker.slowness.get(now, FORGET_US).max(0.0);
        let quiet = match worker.due.first() {
            Some(&(due, _, _)) if due < now => (now - due.max(worker.heard).min(now)) as f64,
            _ => 0.0,
        };
        let typical = self.class_usual.iter().sum::<f64>() / self.class_usual.len() as f64;
        let against = slow.max(quiet / typical.max(1.0)) + worker.strain.get(now, FORGET_US);
        (1.0 + against) / self.warmth(now, worker)
    }

    /// The share of its capacity that a worker surely has by now.
    fn warmth(&self, now: Micros, worker: &Worker) -> f64 {
        let rules = &self.settings.rules;
        let age = now.saturating_sub(worker.member.started) as f64;
        if worker.member.started == 0 || age >= rules.warm_within as f64 {
            return 1.0;
        }
        let from = rules.cold_from.min(1.0);
        from + (1.0 - from) * age / rules.warm_within as f64
    }

    /// Every usable worker's pressure ratio if `added` demand and `mb` memory came to it.
    fn ratios(&self, now: Micros, added: f64, mb: f64) -> BTreeMap<&WorkerId, f64> {
        let usable = || self.workers.iter().filter(|(_, w)| w.usable);
        let kinds = &self.settings.family.kind_memory_mb;
        let mean_mb = kinds.iter().sum::<f64>() / kinds.len() as f64;
        let demand = |w: &Worker| w.demand.get(now, WINDOW_US) / WINDOW_US;
        let placed: Vec<f64> = usable().filter(|(_, w)| w.placed_mb > 0.0).map(|(_, w)| demand(w)).collect();
        let mean = placed.iter().sum::<f64>() / placed.len().max(1) as f64;
        let ratio = |w: &Worker| {
            let told = kinds.get(w.member.kind).copied().unwrap_or(mean_mb);
            let left = (told - w.placed_mb).max(mb).max(told * 0.1) / mean_mb;
            let placed = if w.placed_mb > 0.0 { demand(w) } else { mean };
            let present = w.due.len() as f64 + w.others.get(now, CROWD_US);
            (placed + present + added) * self.evidence(now, w) / left
        };
        usable().map(|(id, w)| (id, ratio(w))).collect()
    }

    /// The lowest of the given ratios; near ties go to the highest rendezvous hash.
    fn lowest<'a>(
        function: &FunctionId,
        choices: impl Iterator<Item = (&'a WorkerId, f64)>,
    ) -> Option<(&'a WorkerId, f64)> {
        let choices: Vec<_> = choices.collect();
        let least = choices.iter().map(|c| c.1).fold(f64::INFINITY, f64::min);
        let near = choices.into_iter().filter(|c| c.1 <= least * NEAR);
        near.max_by_key(|c| rendezvous(function, c.0))
    }

    // ---- routing -----------------------------------------------------------------------------------------

    /// Whether the rules let this request go to this worker now.
    fn may_send(&self, now: Micros, held: &Held, worker: &Worker) -> bool {
        if !worker.usable
            || held.done
            || held.streaming
            || held.attempts.len() >= self.settings.limits.attempts as usize
        {
            return false;
        }
        if !self.settings.limits.second_copies && held.attempts.iter().any(|a| a.ended.is_none()) {
            return false;
        }
        if !self.cold_budget(now, worker) {
            return false;
        }
        let mut maybe = held.attempts.iter().filter(|a| may_have_run(a));
        match self.settings.classes[held.told.class].repeat {
            Repeat::Safe => true,
            Repeat::Unsafe => maybe.next().is_none(),
            Repeat::Keyed { group, window } => maybe.all(|a| {
                let same = match group {
                    Group::All => true,
                    Group::Zone => a.zone == worker.member.zone,
                    Group::Cell => a.cell == worker.member.cell && a.zone == worker.member.zone,
                };
                same && now + self.settings.tick < a.sent + window
            }),
        }
    }

    /// Whether a refusal, which tells the client that trying again is harmless, would be true.
    fn may_refuse(&self, held: &Held) -> bool {
        match self.settings.classes[held.told.class].repeat {
            Repeat::Safe | Repeat::Keyed { group: Group::All, .. } => true,
            _ => !held.attempts.iter().any(may_have_run),
        }
    }

    /// Sends a request where it should go, has it wait for a load, or ends it.
    fn route(&mut self, now: Micros, id: RequestId, out: &mut Out) {
        let Some(held) = self.requests.get(&id).filter(|h| !h.done) else { return };
        let name = held.told.function.clone();
        let Some(function) = self.functions.get(&name) else { return };
        let tried = |w: &WorkerId| held.attempts.iter().any(|a| a.worker == *w);
        let allowed = |w: &WorkerId| self.workers.get(w).is_some_and(|x| self.may_send(now, held, x));
        if !self.workers.keys().any(allowed) && !held.attempts.is_empty() {
            if held.attempts.iter().all(|a| a.ended.is_some()) {
                self.give_up(id, out);
            }
            return;
        }
        let ratios = self.ratios(now, function.usual * function.weight / WINDOW_US, function.mb);
        let standing: Vec<(&WorkerId, &Place, f64)> = function
            .places
            .iter()
            .filter(|(w, p)| p.standing && allowed(w))
            .filter_map(|(w, p)| ratios.get(w).map(|r| (w, p, *r)))
            .collect();
        let fresh = standing.iter().any(|(w, _, _)| !tried(w));
        // Only so many copies as demand and memory call for are kept in use, the same ones by every
        // scheduler; the others fall idle and give their memory back. Past a copy's lanes a worker starts
        // another by itself: what waits here instead causes no load.
        let lanes = |p: &Place| f64::from(function.lanes * p.copies.max(1));
        let sound = |w: &WorkerId| self.evidence(now, &self.workers[w]) < SUSPECT;
        let mut kept: Vec<_> = standing.iter().filter(|(w, _, _)| !fresh || !tried(w)).collect();
        kept.sort_by_key(|(w, _, _)| (!sound(w), Some(*w) != function.home.as_ref(), !rendezvous(&name, w)));
        let wanted = self.spread(now, function);
        let fits = |w: &WorkerId, p: &Place| has_room(&self.workers[w]) && f64::from(p.out) < lanes(p);
        let free = |c: &&&(&WorkerId, &Place, f64)| fits(c.0, c.1);
        let first = kept.iter().take(wanted);
        let beyond =
            kept.iter().skip(wanted).take(usize::from(!first.clone().any(|c| free(&c))) * kept.len());
        let open = || first.clone().chain(beyond.clone()).filter(free);
        let idle = |p: &Place| f64::from(p.out) + p.crowd.get(now, CROWD_US) < lanes(p);
        let roomy = || open().filter(|(_, p, _)| idle(p)).map(|(w, _, r)| (*w, *r));
        let best = Self::lowest(&name, roomy());
        let follows = |(w, r): &(&WorkerId, f64)| {
            Some(*w) == function.home.as_ref() && best.is_some_and(|b| *r <= b.1 * GAIN)
        };
        let onward = || {
            let queued = open().map(|(w, p, r)| (*w, r * (1.0 + f64::from(p.out) / lanes(p))));
            queued.min_by(|a, b| a.1.total_cmp(&b.1))
        };
        let choice = roomy().find(follows).or(best).or_else(onward).map(|(w, _)| w.clone());
        let kept_count = function.places.values().filter(|p| p.standing).count();
        let (none, full) = (standing.is_empty(), best.is_none());
        match choice {
            Some(worker) => self.send(now, id, &worker, out),
            None if none => return self.wait_or_load(now, id, &name, out),
            None => self.hold(id, true),
        }
        if full && kept_count < wanted {
            self.grow(now, &name, out);
        }
    }

    /// How many workers should hold a function: enough lanes for its demand over all schedulers with room
    /// for chance (twice the root of the mean), and its part, by demand, of the memory left over once
    /// every known function has that. Without it idle copies of hot functions push out the rarer ones.
    fn spread(&self, now: Micros, function: &Function) -> usize {
        let demand = busy(now, function);
        let extra = demand / self.total_demand.max(demand).max(1e-9) * self.leftover_mb / function.mb;
        (self.needed(now, function) + extra) as usize
    }

    /// Copies that a function's demand needs.
    fn needed(&self, now: Micros, function: &Function) -> f64 {
        let busy = busy(now, function) * f64::from(self.settings.schedulers);
        ((busy + 2.0 * busy.sqrt()) / f64::from(function.lanes)).ceil().max(1.0)
    }

    /// Reckons the memory that is left once every function has what it needs. Functions called rarely
    /// are taken to be as many at each other scheduler.
    fn reckon(&mut self, now: Micros) {
        let kinds = &self.settings.family.kind_memory_mb;
        let told =
            self.workers.values().filter(|w| w.usable).filter_map(|w| kinds.get(w.member.kind)).sum::<f64>();
        let (mut taken, mut demand) = (0.0, 0.0);
        for function in self.functions.values() {
            let times = if function.rate.get(now, WINDOW_US) < RARE { self.settings.schedulers } else { 1 };
            taken += self.needed(now, function) * function.mb * f64::from(times);
            demand += busy(now, function);
        }
        self.leftover_mb = (told * USABLE - taken).max(0.0);
        self.total_demand = demand;
    }

    /// Keeps a request here until there is a copy or room for it.
    fn hold(&mut self, id: RequestId, crowded: bool) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        held.crowded = crowded;
        if !held.waiting {
            held.waiting = true;
            self.waiting.push(id);
        }
    }

    /// Its aim can't be met any more where all copies are crowded: turned away now, it costs nobody time.
    /// Could hurt where late answers are worth nearly as much.
    fn shed(&mut self, id: RequestId, out: &mut Out) {
        let Some(held) = self.requests.get(&id) else { return };
        if held.waiting && held.crowded && self.may_refuse(held) {
            self.give_up(id, out);
        }
    }

    /// No copy is known: wait for answers or a load under way, else cause a load where the ratio is lowest.
    fn wait_or_load(&mut self, now: Micros, id: RequestId, name: &FunctionId, out: &mut Out) {
        self.hold(id, false);
        let Some(function) = self.functions.get(name) else { return };
        let asking = function.asks_out > 0 && now < function.ask_until;
        let loading = function.places.values().any(|p| p.loading.is_some());
        if asking || loading || self.grow(now, name, out) || !self.settings.family.load_on_miss {
            return;
        }
        // No order is to be had: the request itself brings the copy.
        let held = &self.requests[&id];
        let function = &self.functions[name];
        let ratios = self.ratios(now, function.usual * function.weight / WINDOW_US, function.mb);
        let allowed = |w: &WorkerId| self.may_send(now, held, &self.workers[w]) && has_room(&self.workers[w]);
        let target = Self::lowest(name, ratios.into_iter().filter(|(w, _)| allowed(w)));
        if let Some(worker) = target.map(|(w, _)| w.clone()) {
            self.send(now, id, &worker, out);
        }
    }

    fn send(&mut self, now: Micros, id: RequestId, worker: &WorkerId, out: &mut Out) {
        let (Some(held), Some(known)) = (self.requests.get_mut(&id), self.workers.get_mut(worker)) else {
            return;
        };
        let Some(function) = self.functions.get_mut(&held.told.function) else { return };
        if held.waiting {
            held.waiting = false;
            self.waiting.retain(|w| *w != id);
        }
        let place = function.places.entry(worker.clone()).or_default();
        let mut patience = function.usual * 3.0;
        if !place.standing {
            patience += function.load as f64 * 2.0;
            place.loading.get_or_insert(now);
        }
        place.out += 1;
        place.last = now;
        function.home.get_or_insert_with(|| worker.clone());
        let aim = self.settings.classes[held.told.class].aim as f64;
        let after =
            patience.min((aim - function.usual * 1.5).max(function.usual * 1.5)).max(20_000.0) as Micros;
        let (number, due) = (held.attempts.len(), now + after);
        let (zone, cell) = (known.member.zone, known.member.cell);
        held.attempts.push(Attempt { worker: worker.clone(), zone, cell, sent: now, due, ended: None });
        known.due.insert((due, id, number));
        known.demand.add(now, function.usual * function.weight, WINDOW_US);
        known.cold_sends.push_back(now);
        while known.cold_sends.front().is_some_and(|t| t + self.settings.rules.fall < now) {
            known.cold_sends.pop_front();
        }
        self.sends.add(now, 1.0, WINDOW_US);
        out.push(Action::Send { id, worker: worker.clone(), until: None });
        self.wake(after, Wake::Overdue(id, number), out);
    }

    /// Looks over every function in falling demand and moves those that gain past the threshold: the load
    /// is ordered at the target, the source serves on, and the home switches once the copy stands.
    fn replace(&mut self, now: Micros, out: &mut Out) {
        let mut order: Vec<_> =
            self.functions.iter().map(|(n, f)| (f.rate.get(now, WINDOW_US), n.clone())).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        for (calls, name) in order.into_iter().filter(|(calls, _)| *calls >= 2.0) {
            let function = &self.functions[&name];
            let Some(home) = function.home.clone() else { continue };
            let added = calls * function.usual * function.weight / WINDOW_US;
            let ratios = self.ratios(now, added, function.mb);
            let here = ratios.get(&home).copied().unwrap_or(f64::INFINITY);
            let Some((best, least)) = Self::lowest(&name, ratios.into_iter()) else { continue };
            if *best == home || here <= least * GAIN {
                continue;
            }
            let (best, stands) = (best.clone(), function.places.get(best).is_some_and(|p| p.standing));
            let ordered = !stands && function.moving.is_none() && self.order(now, &name, &best, out);
            let Some(function) = self.functions.get_mut(&name) else { continue };
            if stands {
                function.home = Some(best);
            } else if ordered {
                function.moving = Some(best);
                return;
            }
        }
    }

    // ---- fairness ----------------------------------------------------------------------------------------

    /// Whether a tenant sends us more than our part of its share; such requests wait behind the others.
    fn past_share(&mut self, now: Micros, tenant: usize) -> bool {
        let Some(quota) = self.settings.tenant_quotas.get(tenant) else { return false };
        let share = quota / f64::from(self.settings.schedulers) * FAIR_US / 1e6;
        self.tenants.resize(self.settings.tenant_quotas.len(), Fading::default());
        self.tenants[tenant].add(now, 1.0, FAIR_US);
        self.tenants[tenant].get(now, FAIR_US) > share
    }

    // ---- copies ------------------------------------------------------------------------------------------

    /// Orders one more instance of a function at the worker with the lowest ratio that lacks it.
    fn grow(&mut self, now: Micros, name: &FunctionId, out: &mut Out) -> bool {
        let function = &self.functions[name];
        if now < function.order_after || function.places.values().any(|p| p.loading.is_some()) {
            return true;
        }
        let added = function.rate.get(now, WINDOW_US) * function.usual * function.weight / WINDOW_US;
        let ratios = self.ratios(now, added, function.mb);
        let lacks = |w: &WorkerId| !function.places.get(w).is_some_and(|p| p.standing || p.loading.is_some());
        let open = || ratios.iter().filter(|(w, _)| lacks(w)).map(|(w, r)| (*w, *r));
        let target = Self::lowest(name, open());
        // A function that comes back goes where it was: its copy may still stand there.
        let back = open()
            .find(|(w, r)| Some(*w) == function.home.as_ref() && target.is_some_and(|t| *r <= t.1 * GAIN));
        let target = back.or(target).map(|(w, _)| w.clone());
        target.is_some_and(|worker| self.order(now, name, &worker, out))
    }

    /// Whether the ration of load orders has one more.
    fn ration(&mut self, now: Micros) -> bool {
        let family = &self.settings.family;
        if family.load_window == 0 {
            return true;
        }
        while self.orders.front().is_some_and(|t| t + family.load_window < now) {
            self.orders.pop_front();
        }
        while self.taken.front().is_some_and(|t| t + family.load_window <= now) {
            self.taken.pop_front();
        }
        let most = family.load_free + family.load_share * self.taken.len() as f64;
        (self.orders.len() + 1) as f64 <= most
    }

    fn order(&mut self, now: Micros, name: &FunctionId, worker: &WorkerId, out: &mut Out) -> bool {
        let usable = self.workers.get(worker).is_some_and(|w| w.usable);
        if !usable || !self.settings.family.orders || !self.ration(now) {
            return false;
        }
        self.make_room(now, worker, name, out);
        let Some(function) = self.functions.get_mut(name) else { return false };
        let place = function.places.entry(worker.clone()).or_default();
        place.loading = Some(now);
        place.last = now;
        if self.settings.family.load_window > 0 {
            self.orders.push_back(now);
        }
        out.push(Action::Load { worker: worker.clone(), function: name.clone(), count: 1 });
        true
    }

    /// Just before a load on a worker that our account shows short of memory: unload the youngest idle
    /// instance, so that a function seen once does not push out an older, hotter copy. It could hurt
    /// where another scheduler uses that instance.
    fn make_room(&mut self, now: Micros, worker: &WorkerId, name: &FunctionId, out: &mut Out) {
        let (Some(known), kinds) = (self.workers.get(worker), &self.settings.family.kind_memory_mb) else {
            return;
        };
        let left = kinds.get(known.member.kind).map_or(f64::INFINITY, |told| told - known.placed_mb);
        if left >= self.functions.get(name).map_or(0.0, |f| f.mb) {
            return;
        }
        let idle = self.functions.iter().filter(|(n, _)| *n != name).filter_map(|(n, f)| {
            let place = f.places.get(worker).filter(|p| p.standing && p.out == 0)?;
            let unused = place.last + self.settings.family.keep / 4 < now;
            (unused && f.home.as_ref() != Some(worker)).then_some((place.loaded_at, n))
        });
        if let Some(victim) = idle.max().map(|(_, n)| n.clone()) {
            self.stand(worker, &victim, false, 0, 0);
            out.push(Action::Drop { worker: worker.clone(), function: victim });
        }
    }

    /// Records whether a function stands on a worker, and the memory that it takes in our account.
    fn stand(&mut self, worker: &WorkerId, name: &FunctionId, stands: bool, copies: u32, now: Micros) {
        let Some(function) = self.functions.get_mut(name) else { return };
        let place = function.places.entry(worker.clone()).or_default();
        let before = if place.standing { f64::from(place.copies.max(1)) } else { 0.0 };
        place.needed = if copies > place.copies { now } else { place.needed };
        place.loaded_at = if stands && !place.standing { now } else { place.loaded_at };
        (place.standing, place.copies) = (stands, copies);
        let after = if stands { f64::from(copies.max(1)) } else { 0.0 };
        if let Some(known) = self.workers.get_mut(worker) {
            known.placed_mb = (known.placed_mb + (after - before) * function.mb).max(0.0);
        }
        if stands {
            place.loading = None;
            if function.home.is_none() || function.moving.as_ref() == Some(worker) {
                function.home = Some(worker.clone());
                function.moving = None;
            }
        } else if function.home.as_ref() == Some(worker) {
            function.home = function.places.iter().find(|(_, p)| p.standing).map(|(w, _)| w.clone());
        }
    }

    /// Takes the answer to an order or a question: copies standing, how it ended, after how long.
    fn loaded(
        &mut self,
        now: Micros,
        at: (&WorkerId, &FunctionId),
        told: (u32, Code, Micros),
        out: &mut Out,
    ) {
        let ((worker, name), (count, code, latency)) = (at, told);
        if !self.workers.contains_key(worker) {
            return;
        }
        let Some(function) = self.functions.get_mut(name) else { return };
        function.asks_out = function.asks_out.saturating_sub(1);
        let Some(place) = function.places.get_mut(worker).filter(|p| p.loading.is_some()) else {
            // An answer to a question.
            if code == Code::Ok && count > 0 {
                function.places.entry(worker.clone()).or_default().last = now;
                self.stand(worker, name, true, count, now);
            }
            if self.functions[name].asks_out == 0 {
                self.pump(now, out);
            }
            return;
        };
        place.loading = None;
        if function.moving.as_ref() == Some(worker) && code != Code::Ok {
            function.moving = None;
        }
        if code == Code::Ok && count > 0 {
            function.load =
                if latency > 20_000 { (function.load * 7 + latency * 3) / 10 } else { function.load };
            self.stand(worker, name, true, count, now);
        } else if let Some(known) = self.workers.get_mut(worker) {
            known.strain.add(now, 1.0, FORGET_US);
            function.order_after = now + function.load / 2;
        }
        self.pump(now, out);
    }

    /// Routes what waits: within its tenant's share first, then by aim.
    fn pump(&mut self, now: Micros, out: &mut Out) {
        if self.waiting.is_empty() || !self.workers.values().any(|w| w.usable && has_room(w)) {
            return;
        }
        let key = |id: &RequestId| self.requests.get(id).map(|h| (h.excess, h.aim < now, h.aim, *id));
        let mut order: Vec<_> = self.waiting.iter().filter_map(key).collect();
        order.sort_unstable();
        let mut stuck = BTreeSet::new();
        for (_, _, _, id) in order {
            let Some(held) = self.requests.get(&id) else { continue };
            let name = held.told.function.clone();
            if !stuck.contains(&name) {
                self.route(now, id, out);
            }
            if self.requests.get(&id).is_some_and(|h| h.waiting) {
                stuck.insert(name);
            }
        }
    }

    /// Asks every worker whether it holds a function that we know no copy of: other schedulers may have
    /// brought it, or we did before a restart. Useless for functions seen once, where it costs some asks.
    fn ask(&mut self, now: Micros, name: &FunctionId, out: &mut Out) {
        let Some(function) = self.functions.get_mut(name) else { return };
        for (worker, _) in self.workers.iter().filter(|(_, w)| w.usable) {
            function.asks_out += 1;
            out.push(Action::Load { worker: worker.clone(), function: name.clone(), count: 0 });
        }
        function.ask_until = now + ASK_US;
    }

    // ---- health ------------------------------------------------------------------------------------------

    fn members(&mut self, now: Micros, kind: MembersKind, members: Vec<Member>, out: &mut Out) {
        if !self.started {
            self.started = true;
            self.born = now;
            self.next_replace = now + REPLACE_US;
            out.push(Action::Timer { after: SWEEP_US, token: 0 });
            if self.settings.must_ask {
                out.push(Action::Watch);
            }
        }
        if kind == MembersKind::Failed {
            self.ask_list = self.settings.must_ask;
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
            let usable = member.state == State::Active;
            let known = self
                .workers
                .entry(id.clone())
                .or_insert_with(|| Worker::new(member.clone(), now, FIRST_BOUND));
            let restarted = member.started > known.member.started;
            (known.usable, known.member) = (usable, member);
            if restarted {
                (known.slowness, known.strain) = Default::default();
            }
            if restarted || !usable {
                self.empty(&id);
            }
        }
        let lost: Vec<_> = self.workers.iter().filter(|(_, w)| !w.usable).map(|(id, _)| id.clone()).collect();
        lost.iter().for_each(|id| self.empty(id));
        self.workers.retain(|_, w| w.usable || !w.due.is_empty());
    }

    /// Forgets all that we believed loaded on a worker.
    fn empty(&mut self, worker: &WorkerId) {
        let names: Vec<_> = self
            .functions
            .iter()
            .filter(|(_, f)| f.places.contains_key(worker))
            .map(|(n, _)| n.clone())
            .collect();
        for name in names {
            self.stand(worker, &name, false, 0, 0);
            if let Some(function) = self.functions.get_mut(&name) {
                if function.moving.as_ref() == Some(worker) {
                    function.moving = None;
                }
                if let Some(place) = function.places.get_mut(worker) {
                    place.loading = None;
                    if place.out == 0 {
                        function.places.remove(worker);
                    }
                }
            }
        }
    }

    /// Whether the cold budget of a started worker has one more send for us: the told multiple of its
    /// guessed present capacity, shared among the schedulers. Its capacity is guessed from what we send
    /// to warm workers, which bear at most theirs.
    fn cold_budget(&self, now: Micros, worker: &Worker) -> bool {
        let warmth = self.warmth(now, worker);
        if warmth >= 1.0 {
            return true;
        }
        let rules = &self.settings.rules;
        let warm = self.workers.values().filter(|w| w.usable && self.warmth(now, w) >= 1.0).count();
        let each = self.served.get(now, WINDOW_US) / warm.max(1) as f64 / WINDOW_US;
        let budget = COLD_SHARE * rules.tip_multiple * warmth * each * rules.fall as f64;
        let recent = worker.cold_sends.iter().rev().take_while(|t| **t + rules.fall > now).count();
        (recent + 1) as f64 <= budget
    }

    // ---- request life ------------------------------------------------------------------------------------

    fn wake(&mut self, after: Micros, wake: Wake, out: &mut Out) {
        self.wakes.insert(self.next_token, wake);
        out.push(Action::Timer { after, token: self.next_token });
        self.next_token += 1;
    }

    fn request(&mut self, now: Micros, told: Request, out: &mut Out) {
        let (id, name) = (told.id, told.function.clone());
        let usable = told.memory_mb.is_finite() && told.memory_mb > 0.0 && told.lanes > 0;
        if self.requests.contains_key(&id) {
            return;
        }
        if told.class >= self.settings.classes.len() || !usable {
            return out.push(Action::Refuse { id, wait: None });
        }
        let strictest = self.settings.classes.iter().map(|c| c.aim).min().unwrap_or(1) as f64;
        let class = &self.settings.classes[told.class];
        if self.settings.family.load_window > 0 {
            self.taken.push_back(now);
        }
        let known = self.functions.contains_key(&name);
        let function = self.functions.entry(name.clone()).or_insert_with(|| Function {
            mb: told.memory_mb,
            lanes: told.lanes,
            load: told.load.unwrap_or(class.aim),
            usual: self.class_usual[told.class],
            weight: strictest / class.aim as f64,
            born: now,
            ..Function::default()
        });
        function.rate.add(now, 1.0, WINDOW_US);
        function.last = now;
        let deadline = now + told.patience;
        let (aim, shed) = (now + class.aim, class.aim.saturating_sub(function.usual as Micros));
        let excess = self.past_share(now, told.tenant);
        if aim < deadline {
            self.wake(shed, Wake::Shed(id), out);
        }
        self.wake(told.patience, Wake::Deadline(id), out);
        self.requests.insert(id, Held::new(told, deadline, aim, excess));
        if !known && self.settings.family.orders && now < self.born + WINDOW_US as Micros {
            self.ask(now, &name, out);
        }
        self.route(now, id, out);
    }

    fn outcome(&mut self, now: Micros, told: Outcome, out: &mut Out) {
        let Some(held) = self.requests.get_mut(&told.id) else { return };
        let attempt =
            held.attempts.get_mut(told.attempt).filter(|a| a.ended.is_none() && a.worker == told.worker);
        let Some(attempt) = attempt else { return };
        attempt.ended = Some(told.code);
        let (due, class) = (attempt.due, held.told.class);
        let name = held.told.function.clone();
        held.done |= told.last;
        let (done, quiet) = (held.done, held.attempts.iter().all(|a| a.ended.is_some()));
        self.learn(now, &name, class, due, &told);
        if done {
            self.finish(told.id, None, out);
        } else if self.requests.get(&told.id).is_some_and(|h| now + self.settings.tick >= h.deadline) {
            self.finish(told.id, Some(Action::Fail { id: told.id }), out);
        } else if quiet {
            self.route(now, told.id, out);
        }
        self.pump(now, out);
    }

    /// Takes what an outcome tells of the worker, the copy and the function's usual time.
    fn learn(&mut self, now: Micros, name: &FunctionId, class: usize, due: Micros, told: &Outcome) {
        let (worker, key) = (&told.worker, (due, told.id, told.attempt));
        let Some(function) = self.functions.get_mut(name) else { return };
        let place = function.places.entry(worker.clone()).or_default();
        place.out = place.out.saturating_sub(1);
        let Some(known) = self.workers.get_mut(worker) else { return };
        known.due.remove(&key);
        if !matches!(told.code, Code::Timeout | Code::Cancelled | Code::ConnectFailed | Code::Moot) {
            known.heard = now;
        }
        if let Some(crowd) = told.crowd {
            let others = (f64::from(crowd) - f64::from(place.out)).max(0.0);
            place.crowd.ease(now, others, 0.3, CROWD_US);
        }
        let inflight = self.settings.report_names.iter().position(|n| n == "outstanding" || n == "inflight");
        if let Some(held) = inflight.and_then(|i| told.report.get(i)).filter(|v| v.is_finite()) {
            let others = (held.clamp(0.0, 1_000.0) - known.due.len() as f64).max(0.0);
            known.others.ease(now, others, 0.3, CROWD_US);
        }
        // Time-outs count too, or a jam would never close the bound; not where they may be a load's wait.
        let stood = told.code == Code::Ok && matches!(told.copy, CopyNote::Stood | CopyNote::Untold);
        let share = told.latency as f64 / self.settings.classes[class].aim as f64;
        let unheard = matches!(told.code, Code::Timeout | Code::Cancelled) && share >= 1.0;
        if stood || unheard && !self.settings.family.load_on_miss {
            known.stretch += 0.1 * (share.min(4.0) - known.stretch);
            if known.stretch > STRETCH {
                known.bound = (known.bound * 0.97).max(LEAST_BOUND);
            } else if (known.due.len() + 2) as f64 > known.bound {
                known.bound += 0.5 / known.bound;
            }
        }
        match told.code {
            Code::Ok => {
                self.served.add(now, 1.0, WINDOW_US);
                if stood {
                    let latency = told.latency as f64;
                    let slow = (latency / function.usual.max(1.0)).clamp(0.1, 10.0) - 1.0;
                    known.slowness.ease(now, slow, 0.15, FORGET_US);
                    // 1.3 times the median: a crowded spell must not pass for more work.
                    function.usual *= if latency * 1.3 > function.usual { 1.03 } else { 1.0 / 1.03 };
                    let usual = &mut self.class_usual[class];
                    *usual += 0.02 * (latency.min(*usual * 10.0) - *usual);
                }
                let copies = if told.copy == CopyNote::Began && place.standing {
                    place.copies + 1
                } else {
                    place.copies.max(1)
                };
                if known.usable {
                    self.stand(worker, name, true, copies, now);
                }
            }
            Code::Miss => self.stand(worker, name, false, 0, now),
            Code::ConnectFailed | Code::Reset => known.strain.add(now, 3.0, FORGET_US),
            Code::Full => {
                known.bound = (known.bound.min(known.due.len() as f64 + 1.0) * 0.7).max(LEAST_BOUND)
            }
            Code::Error | Code::Unknown => known.strain.add(now, 0.5, FORGET_US),
            Code::Timeout | Code::Cancelled | Code::Moot => {}
        }
        if told.code != Code::Ok
            && let Some(place) = self.functions.get_mut(name).and_then(|f| f.places.get_mut(worker))
            && !place.standing
        {
            place.loading = None;
        }
    }

    /// An attempt is overdue: try elsewhere while patience is left, where class and settings allow.
    fn overdue(&mut self, now: Micros, id: RequestId, number: usize, out: &mut Out) {
        let Some(held) = self.requests.get(&id).filter(|h| !h.done) else { return };
        if held.attempts.get(number).is_none_or(|a| a.ended.is_some()) || held.attempts.len() != number + 1 {
            return;
        }
        let safe = self.settings.classes[held.told.class].repeat != Repeat::Unsafe;
        // A worker that answers others is at work on this one: a second attempt would only add to a crowd.
        let attempt = &held.attempts[number];
        let Some(worker) = self.workers.get(&attempt.worker) else { return };
        if worker.heard > attempt.sent && self.evidence(now, worker) < SUSPECT {
            let again = (now - attempt.sent).max(1);
            if now + again < held.deadline {
                self.wake(again, Wake::Overdue(id, number), out);
            }
            return;
        }
        let spent = self.hedges.get(now, WINDOW_US);
        if !safe || spent > HEDGE_SHARE * self.sends.get(now, WINDOW_US) + 1.0 {
            return;
        }
        self.hedges.add(now, 1.0, WINDOW_US);
        if self.settings.limits.second_copies {
            self.route(now, id, out);
        } else if self.settings.limits.cancel && held.attempts.len() < self.settings.limits.attempts as usize
        {
            out.push(Action::Cancel { id, attempt: number });
        }
    }

    /// An answer has begun to stream: the other attempts are called off.
    fn first(&mut self, id: RequestId, attempt: usize, out: &mut Out) {
        let Some(held) = self.requests.get_mut(&id).filter(|h| !h.done && attempt < h.attempts.len()) else {
            return;
        };
        held.streaming = true;
        let others = held.attempts.iter().enumerate().filter(|(i, a)| *i != attempt && a.ended.is_none());
        if self.settings.limits.cancel {
            out.extend(others.map(|(attempt, _)| Action::Cancel { id, attempt }));
        }
    }

    /// No further attempt is allowed.
    fn give_up(&mut self, id: RequestId, out: &mut Out) {
        let refuse = self.requests.get(&id).is_some_and(|h| self.may_refuse(h));
        let answer = if refuse { Action::Refuse { id, wait: None } } else { Action::Fail { id } };
        self.finish(id, Some(answer), out);
    }

    /// Closes a request once, with the final answer if one is still owed, and calls off what is out.
    fn finish(&mut self, id: RequestId, answer: Option<Action>, out: &mut Out) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        if !held.done {
            held.done = true;
            out.extend(answer);
        }
        if held.waiting {
            held.waiting = false;
            self.waiting.retain(|w| *w != id);
        }
        if self.settings.limits.cancel {
            let open = held.attempts.iter().enumerate().filter(|(_, a)| a.ended.is_none());
            out.extend(open.map(|(attempt, _)| Action::Cancel { id, attempt }));
        }
        if held.attempts.iter().all(|a| a.ended.is_some()) {
            self.requests.remove(&id);
        }
    }

    fn sweep(&mut self, now: Micros, out: &mut Out) {
        out.push(Action::Timer { after: SWEEP_US, token: 0 });
        let keep = self.settings.family.keep;
        let names: Vec<_> = self.functions.keys().cloned().collect();
        for name in names {
            let function = self.functions.get_mut(&name).expect("listed above");
            let late = function.load * 3 + 1_000_000;
            for place in function.places.values_mut() {
                if place.loading.is_some_and(|since| since + late < now) {
                    place.loading = None;
                    function.moving = None;
                }
            }
            for (id, place) in function.places.iter_mut().filter(|(_, p)| p.standing && p.copies > 1) {
                let crowd = f64::from(place.out) + place.crowd.get(now, CROWD_US);
                if crowd > f64::from(function.lanes * (place.copies - 1)) {
                    place.needed = now;
                } else if place.needed + keep < now {
                    (place.copies, place.needed) = (place.copies - 1, now);
                    if let Some(known) = self.workers.get_mut(id) {
                        known.placed_mb = (known.placed_mb - function.mb).max(0.0);
                    }
                }
            }
            let idle = function.places.iter().filter(|(_, p)| p.out == 0 && p.loading.is_none());
            let idle: Vec<_> = idle.filter(|(_, p)| p.last + keep < now).map(|(w, _)| w.clone()).collect();
            for worker in idle {
                let home = self.functions[&name].home.clone();
                self.stand(&worker, &name, false, 0, now);
                let function = self.functions.get_mut(&name).expect("listed above");
                function.places.remove(&worker);
                function.home = function.home.take().or(home);
            }
        }
        self.functions.retain(|_, f| f.last + keep * 2 >= now || !f.places.is_empty());
        self.pump(now, out);
        self.reckon(now);
        if now >= self.next_replace {
            self.next_replace = now + REPLACE_US;
            if std::mem::take(&mut self.ask_list) {
                out.push(Action::Watch);
            }
            self.replace(now, out);
        }
    }
}

/// Lanes that our calls keep busy; a young function's window counts only as far as it is full.
fn busy(now: Micros, function: &Function) -> f64 {
    let age = now.saturating_sub(function.born).max(1_000_000) as f64;
    function.rate.get(now, WINDOW_US) * function.usual / WINDOW_US / (1.0 - (-age / WINDOW_US).exp())
}

/// Whether a worker may be given one more attempt of ours.
fn has_room(worker: &Worker) -> bool {
    (worker.due.len() as f64) < worker.bound
}

fn may_have_run(attempt: &Attempt) -> bool {
    !attempt.ended.is_some_and(Code::never_ran)
}
