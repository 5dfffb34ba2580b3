//! Slow start: limits what is sent to a worker that has just started, so that all schedulers together do not overload
//! it.

use crate::interface::*;
use crate::state::*;
use std::collections::BTreeSet;

/// Share of the estimated cold budget that is used; the rest is a margin for random variation and estimation errors.
const COLD_SHARE: f64 = 0.5;

impl Controller {
    /// The share of its capacity that a worker is guaranteed to have by now.
    pub(crate) fn warmth(&self, now: Micros, worker: &Worker) -> f64 {
        let (rules, started) = (&self.settings.rules, worker.member.started);
        let age = now.saturating_sub(started) as f64 / rules.warm_within.max(1) as f64;
        let from = rules.cold_from.min(1.0);
        if started == 0 { 1.0 } else { (from + (1.0 - from) * age).min(1.0) }
    }

    /// Adds or replaces a worker that has just started, with no history and no loaded copies. Among schedulers that
    /// pass the same key, the initial send credits for the worker are spread evenly.
    pub(crate) fn add_cold_worker(&mut self, now: Micros, member: Member, key: u64) {
        let id = member.worker.clone();
        let due = self.workers.remove(&id).map_or(BTreeSet::new(), |w| w.due);
        let mut fresh = Worker::new(member, now, self.class_latency.len(), due);
        let (key, schedulers) = (rendezvous(key, fresh.hash), self.settings.schedulers);
        fresh.cold_credit = stratified_fraction(self.settings.self_index, schedulers, key);
        self.workers.insert(id.clone(), fresh);
        self.clear_placements(&id);
    }

    /// This scheduler's send credit at a started worker, in requests; infinite once the worker is warm. It accrues at
    /// this scheduler's share of the configured multiple of the worker's current capacity, which is estimated from
    /// what the fleet serves for this scheduler. If the share is less than one request per window, schedulers start
    /// at fractions of a request that are spread evenly by index, so that the sum over all schedulers is what all have
    /// accrued. Unused credit beyond one window's budget is dropped in whole requests, so that the fractions stay
    /// spread. Including what accrues in the meantime, the fleet sends at most twice its share in a window.
    pub(crate) fn cold_credit(&self, now: Micros, worker: &Worker) -> f64 {
        let (rules, warmth) = (&self.settings.rules, self.warmth(now, worker));
        if warmth >= 1.0 {
            return f64::INFINITY;
        }
        let served_rate = self.served.get(now, WINDOW_US) / WINDOW_US;
        let rate = COLD_SHARE * rules.overload_multiple * served_rate;

        // One request per window from all schedulers together is within any worker's tolerance, however cold it is.
        // Without this minimum, a fleet that is entirely cold and has served little recently would get almost nothing.
        let least = 1.0 / (f64::from(self.settings.schedulers) * rules.overload_span as f64);
        let budget = (rate * warmth).max(least) * rules.overload_span as f64;
        // Capacity grew linearly since then, so its value at the midpoint is the mean.
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
