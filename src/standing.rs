//! Whether new work may begin at a worker while the list of workers is out of reach.
//!
//! A drain that the list would have told counts as told at a stated time, also while nobody can hear of it. Past that time
//! and the grace the list alone allows nothing new. What does then is a lease by the worker's own word: an answer that a
//! draining worker would not have given, to something sent at `t`, shows that it did not drain before `t`, so that new work
//! may begin until `t` plus the grace. Calls served renew it; where they are too few, the worker is asked by a probe before
//! the call. A worker that says that it drains, or does not answer, gets nothing and is asked again at growing intervals.
//!
//! While the list is followed none of this is in force.

use crate::interface::*;
use crate::state::*;

/// Kept free at the end of a lease, at most half of the grace: what a worker does and what the list says of it, and the
/// clocks that both are read by, lie apart by some of it.
const LEASE_MARGIN_US: Micros = 100_000;
/// A worker that has not answered a question by then is no place for the calls that wait for it.
const PROBE_WAIT_US: Micros = 50_000;
/// A question that has not been answered by then is asked anew: a connection may take so long to come up.
const PROBE_TIMEOUT_US: Micros = 1_000_000;
/// The first and the longest pause between questions to a worker that drains or does not answer, and the longest one
/// while no worker at all may get work.
const PAUSE_US: (Micros, Micros) = (100_000, 3_200_000);
const MAX_PAUSE_NONE_OPEN_US: Micros = 800_000;
/// Questions to such workers in one sweep.
const PROBES_PER_SWEEP: usize = 2;
/// A worker that turns work away this soon after it has answered a question is merely full.
const FULL_AFTER_PROBE_US: Micros = 250_000;
/// Without questions, a worker that turned away so many in a row gets nothing for a pause.
const MAX_REFUSALS: u32 = 3;
/// The list has told of a restart by then, where it is followed.
const RESTART_NOTICE_US: Micros = 3_000_000;
/// How much more a worker that has to be asked first weighs among those where copies stand: calls go where calls renew
/// the lease.
const PROBE_COST: f64 = 4.0;

/// A worker drains by its own word, or does not answer.
#[derive(Clone, Copy)]
struct Denial {
    /// When the question was sent that it answers.
    sent: Micros,
    /// When it was noted, and the pause from then on.
    noted_at: Micros,
    pause: Micros,
}

/// What a worker has shown of itself while the list is out of reach.
#[derive(Clone, Default)]
pub struct DrainEvidence {
    /// It did not drain before this time.
    not_draining_at: Option<Micros>,
    /// Work sent at this time was turned away: whether it drains or is full is not known.
    refused_at: Option<Micros>,
    /// How often it has turned work away since it last served.
    refusals: u32,
    /// It has answered a question sent at this time.
    probe_passed_at: Option<Micros>,
    denial: Option<Denial>,
    /// When the question was sent that is not answered.
    probe_sent_at: Option<Micros>,
    /// When its last connection was lost.
    disconnected_at: Option<Micros>,
    /// Its next proof is that of a process that has started since.
    restart_expected: bool,
}

impl DrainEvidence {
    /// Whether it has turned work away in this outage and served none since.
    pub fn is_doubted(&self) -> bool {
        self.refused_at.is_some()
    }
}

/// Whether new work may begin at a worker now.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// It may.
    Open,
    /// The worker is to be asked first.
    NeedsProbe,
    /// It has been asked a moment ago.
    Probing,
    /// It may not.
    Closed,
}

impl Controller {
    /// Until when new work may begin at a worker, as far as its draining goes; `None` for no bound. Whoever writes the
    /// first byte looks again: what was decided may have waited since.
    pub fn new_work_until(&self, worker: &WorkerId) -> Option<Micros> {
        let listed = self.listed_until()?;
        let Some(known) = self.workers.get(worker) else { return Some(listed) };
        let is_shut = known.drain_evidence.denial.is_some() || known.drain_evidence.refused_at.is_some();
        if is_shut && self.settings.limits.probes && !self.is_list_current() {
            Some(0)
        } else {
            Some(listed.max(self.lease_until(known)))
        }
    }

    /// Whether the list is followed, or nobody says how old it is.
    fn is_list_current(&self) -> bool {
        matches!(self.list_freshness, None | Some(ListFreshness::Current { .. }))
            || self.settings.rules.drain_grace.is_none()
    }

    /// The grace, without what is kept free of it.
    fn grace(&self) -> Option<Micros> {
        self.settings.rules.drain_grace.map(|grace| grace - LEASE_MARGIN_US.min(grace / 2))
    }

    /// Until when the list alone allows new work at those that it holds.
    fn listed_until(&self) -> Option<Micros> {
        let grace = self.grace()?;
        Some(match self.list_freshness? {
            ListFreshness::Current { announced_at: told_at }
            | ListFreshness::Interrupted { announced_at: told_at } => told_at + grace,
            // Without questions nothing else could ever show more: the list of the start counts as true then.
            ListFreshness::Unconfirmed { since } if !self.settings.limits.probes => since + grace,
            ListFreshness::Unconfirmed { .. } => 0,
        })
    }

    fn lease_until(&self, worker: &Worker) -> Micros {
        let proven = worker.drain_evidence.not_draining_at.zip(self.grace());
        proven.map_or(0, |(proven, grace)| proven + grace)
    }

    /// Whether new work may begin at a worker now.
    pub(crate) fn access(&self, now: Micros, worker: &Worker) -> Access {
        let Some(listed) = self.listed_until() else { return Access::Open };
        if self.is_list_current() && now < listed {
            return Access::Open;
        }
        let (standing, probes) = (&worker.drain_evidence, self.settings.limits.probes);
        // Without questions the next call after the pause is one.
        if standing.denial.is_some_and(|denial| probes || now < denial.noted_at + denial.pause) {
            return Access::Closed;
        }
        let is_doubted = probes && standing.refused_at.is_some();
        if now < listed.max(self.lease_until(worker)) && !is_doubted {
            return Access::Open;
        }
        match standing.probe_sent_at {
            _ if !probes => Access::Closed,
            Some(asked) if now < asked + PROBE_WAIT_US => Access::Probing,
            Some(asked) if now < asked + PROBE_TIMEOUT_US => Access::Closed,
            _ => Access::NeedsProbe,
        }
    }

    /// Whether a worker is in the list and may get work, at the latest once it is asked.
    pub(crate) fn takes_work(&self, now: Micros, worker: &Worker) -> bool {
        worker.usable && self.access(now, worker) != Access::Closed
    }

    /// How much more a worker weighs among those where copies stand: one that has to be asked first, or turned work away.
    pub(crate) fn probe_cost(&self, now: Micros, worker: &Worker) -> f64 {
        let is_free = self.access(now, worker) == Access::Open && !worker.drain_evidence.is_doubted();
        if is_free { 1.0 } else { PROBE_COST }
    }

    /// The one place that all new work passes, calls as well as orders to load: whether it may begin at this worker now.
    /// A worker that has to be asked first is asked.
    pub(crate) fn may_begin(&mut self, now: Micros, worker: &WorkerId, out: &mut Actions) -> bool {
        let Some(known) = self.workers.get(worker) else { return false };
        let access = self.access(now, known);
        if access == Access::NeedsProbe {
            self.probe(now, worker, out);
        }
        access == Access::Open
    }

    fn probe(&mut self, now: Micros, worker: &WorkerId, out: &mut Actions) {
        if let Some(known) = self.workers.get_mut(worker) {
            known.drain_evidence.probe_sent_at = Some(now);
            out.push(Action::Probe { worker: worker.clone() });
        }
    }

    /// Whether no worker of the list may get work, and none is being asked.
    pub(crate) fn is_every_worker_closed(&self, now: Micros) -> bool {
        let shut = |w: &Worker| {
            let unproven = !self.settings.limits.probes || w.drain_evidence.denial.is_some();
            unproven && self.access(now, w) == Access::Closed
        };
        let mut usable = self.workers.values().filter(|w| w.usable).peekable();
        usable.peek().is_some() && usable.all(shut)
    }

    /// Whether the list is out of reach and no worker of it may get work without a question.
    pub(crate) fn is_no_worker_open(&self, now: Micros) -> bool {
        !self.is_list_current()
            && !self.workers.values().any(|w| w.usable && self.access(now, w) == Access::Open)
    }

    /// How long a client is to stay away while nobody is left.
    pub(crate) fn retry_after_closed(&self) -> Micros {
        MAX_PAUSE_NONE_OPEN_US
    }

    /// Takes how far the list is to be believed. Once it is followed again it tells of every worker, and what workers
    /// have shown meanwhile is forgotten.
    pub(crate) fn on_list_freshness(&mut self, now: Micros, trust: ListFreshness) {
        let was_current = self.is_list_current();
        self.list_freshness = Some(trust);
        match (was_current, self.is_list_current()) {
            (false, true) => {
                for worker in self.workers.values_mut() {
                    worker.drain_evidence = DrainEvidence {
                        disconnected_at: worker.drain_evidence.disconnected_at,
                        ..DrainEvidence::default()
                    };
                }
            }
            (true, false) => {
                let lately = |w: &Worker| {
                    w.drain_evidence.disconnected_at.is_some_and(|lost| lost + RESTART_NOTICE_US > now)
                };
                let lost = self.workers.iter().filter(|(_, w)| lately(w));
                let lost: Vec<_> = lost.map(|(id, _)| id.clone()).collect();
                lost.iter().for_each(|id| self.presume_restart(now, id));
            }
            _ => {}
        }
    }

    /// A worker's last connection has ended. While the list is out of reach nobody tells of a restart but this.
    pub(crate) fn on_disconnected(&mut self, now: Micros, worker: &WorkerId) {
        let Some(known) = self.workers.get_mut(worker) else { return };
        known.drain_evidence.disconnected_at = Some(now);
        if !self.is_list_current() {
            self.presume_restart(now, worker);
        }
    }

    /// A worker may have started anew: it counts as cold and empty from now on, and again from its next answer on.
    fn presume_restart(&mut self, now: Micros, worker: &WorkerId) {
        self.record_restart(now, worker);
        if let Some(known) = self.workers.get_mut(worker) {
            known.drain_evidence.restart_expected = true;
        }
    }

    /// A worker counts as started now. What it has shown of its draining stands.
    fn record_restart(&mut self, now: Micros, worker: &WorkerId) {
        let Some(known) = self.workers.get(worker) else { return };
        let (mut member, standing) = (known.member.clone(), known.drain_evidence.clone());
        member.started = now;
        // Each scheduler finds it at a time of its own: their parts are spread by what all know alike.
        self.add_cold_worker(now, member, 0);
        if let Some(known) = self.workers.get_mut(worker) {
            known.drain_evidence = standing;
        }
    }

    /// A worker has answered what was sent at `sent` as one that drains would not have.
    pub(crate) fn renew_lease(&mut self, now: Micros, worker: &WorkerId, sent: Micros) {
        if self.is_list_current() {
            return;
        }
        let Some(known) = self.workers.get_mut(worker) else { return };
        let standing = &mut known.drain_evidence;
        standing.not_draining_at = standing.not_draining_at.max(Some(sent));
        if standing.refused_at.take_if(|doubted| *doubted <= sent).is_some() {
            standing.refusals = 0;
        }
        standing.denial.take_if(|denial| denial.sent < sent);
        if standing.denial.is_none() && std::mem::take(&mut standing.restart_expected) {
            self.record_restart(now, worker);
        }
    }

    /// Work sent at `sent` was turned away. Gives whether that tells of too much load. A worker that drains turns all away,
    /// one that is full serves in between: it is asked before it gets more, and what it turns away just after its answer is
    /// load. Without questions the first of several in a row counts.
    pub(crate) fn on_refusal(&mut self, now: Micros, worker: &WorkerId, sent: Micros) -> bool {
        let (current, probes) = (self.is_list_current(), self.settings.limits.probes);
        let Some(known) = self.workers.get_mut(worker).filter(|_| !current) else { return true };
        let standing = &mut known.drain_evidence;
        if probes && standing.probe_passed_at.is_some_and(|cleared| cleared + FULL_AFTER_PROBE_US > now) {
            return true;
        }
        let is_first = standing.refused_at.is_none();
        standing.refused_at = standing.refused_at.max(Some(sent));
        standing.refusals += 1;
        if !probes && standing.refusals >= MAX_REFUSALS {
            self.deny(now, worker, sent, false);
        }
        is_first && !probes
    }

    /// A question was answered, or was not.
    pub(crate) fn on_probed(
        &mut self,
        now: Micros,
        worker: &WorkerId,
        of: (Code, Micros),
        out: &mut Actions,
    ) {
        let (code, latency) = of;
        let (sent, current) = (now.saturating_sub(latency), self.is_list_current());
        let Some(known) = self.workers.get_mut(worker).filter(|_| !current) else { return };
        known.drain_evidence.probe_sent_at = None;
        match code {
            Code::Ok => {
                known.drain_evidence.probe_passed_at = Some(sent);
                self.renew_lease(now, worker, sent);
            }
            code => self.deny(now, worker, sent, code == Code::Error),
        }
        self.waiting.values_mut().for_each(|calls| calls.blocked_until = 0);
        self.route_waiting(now, None, out);
    }

    /// A worker says that it drains, or has not answered. One that drains comes back as a new process, empty and cold.
    fn deny(&mut self, now: Micros, worker: &WorkerId, sent: Micros, drains: bool) {
        let Some(known) = self.workers.get_mut(worker) else { return };
        let standing = &mut known.drain_evidence;
        // What was sent later has been answered otherwise.
        if standing.not_draining_at.is_some_and(|proven| proven > sent) {
            return;
        }
        let pause = standing.denial.map_or(PAUSE_US.0, |denial| (denial.pause * 2).min(PAUSE_US.1));
        standing.denial = Some(Denial { sent, noted_at: now, pause });
        if drains && !std::mem::replace(&mut standing.restart_expected, true) {
            self.clear_placements(worker);
        }
    }

    /// Asks again those whose pause is over, the one that has waited longest first.
    pub(crate) fn probe_denied(&mut self, now: Micros, out: &mut Actions) {
        if self.is_list_current() || !self.settings.limits.probes {
            return;
        }
        let longest = if self.is_no_worker_open(now) { MAX_PAUSE_NONE_OPEN_US } else { PAUSE_US.1 };
        let free = |w: &Worker| {
            w.usable && w.drain_evidence.probe_sent_at.is_none_or(|asked| now >= asked + PROBE_TIMEOUT_US)
        };
        let due =
            |w: &Worker| w.drain_evidence.denial.map(|denial| denial.noted_at + denial.pause.min(longest));
        for _ in 0..PROBES_PER_SWEEP {
            let open = self.workers.iter().filter(|(_, w)| free(w)).filter_map(|(id, w)| Some((due(w)?, id)));
            let Some(worker) = open.min().filter(|(due, _)| *due <= now).map(|(_, id)| id.clone()) else {
                return;
            };
            self.probe(now, &worker, out);
        }
    }
}
