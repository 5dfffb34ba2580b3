//! Slow start: what may be sent to a worker that has just started, so that all schedulers together do not push it over.

use crate::interface::*;
use crate::state::*;
use std::collections::BTreeSet;

/// Share of the guessed cold budget that is used; the rest is for chance and for a wrong guess.
const COLD_SHARE: f64 = 0.5;

impl Controller {
    /// The share of its capacity that a worker surely has by now.
    pub(crate) fn warmth(&self, now: Micros, worker: &Worker) -> f64 {
        let (rules, started) = (&self.settings.rules, worker.member.started);
        let age = now.saturating_sub(started) as f64 / rules.warm_within.max(1) as f64;
        let from = rules.cold_from.min(1.0);
        if started == 0 { 1.0 } else { (from + (1.0 - from) * age).min(1.0) }
    }

    /// Takes a worker in as one that has just started: nothing is known of it, and nothing stands there. Schedulers that
    /// give the same key have parts of what it may be sent while it is cold that are spread evenly.
    pub(crate) fn add_cold_worker(&mut self, now: Micros, member: Member, key: u64) {
        let id = member.worker.clone();
        let due = self.workers.remove(&id).map_or(BTreeSet::new(), |w| w.due);
        let mut fresh = Worker::new(member, now, self.class_typical_latency.len(), due);
        let (key, fleet) = (rendezvous(key, fresh.hash), self.settings.schedulers);
        fresh.cold_credit = stratified_fraction(self.settings.self_index, fleet, key);
        self.workers.insert(id.clone(), fresh);
        self.clear_placements(&id);
    }

    /// Sends accrued for us at a started worker, endless once it is warm: our part of the told multiple of
    /// its present capacity, guessed from what the fleet serves for us. Where our part is under one a window,
    /// schedulers begin at fractions of a send spread evenly by number, so that their sum is what all have
    /// accrued. What is unused past a window's worth is lost in whole sends, so that they stay spread: with
    /// what accrues meanwhile the fleet's sum in a window is twice our share at the most.
    pub(crate) fn cold_credit(&self, now: Micros, worker: &Worker) -> f64 {
        let (rules, warmth) = (&self.settings.rules, self.warmth(now, worker));
        if warmth >= 1.0 {
            return f64::INFINITY;
        }
        let each = self.served_per_warm_worker.get(now, DEMAND_WINDOW_US) / DEMAND_WINDOW_US;
        let rate = COLD_SHARE * rules.overload_multiple * each;
        // One send a window by all schedulers together is less than any worker's room for chance, however cold it is:
        // without it a fleet that is cold as a whole, of which little was served lately, would get next to nothing.
        let least = 1.0 / (f64::from(self.settings.schedulers) * rules.overload_span as f64);
        let budget = (rate * warmth).max(least) * rules.overload_span as f64;
        // It warmed evenly since then, and was in the middle what it was on the whole.
        let since = now.saturating_sub(worker.cold_at);
        let accrues = (rate * self.warmth(now - since / 2, worker)).max(least);
        let credit = worker.cold_credit + accrues * since as f64;
        match budget >= 1.0 {
            true => credit.min((budget / 2.0).max(1.0)),
            false if credit < 1.0 + budget => credit,
            false => budget + (credit - budget) % 1.0,
        }
    }
}
