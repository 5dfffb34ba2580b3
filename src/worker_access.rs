//! Whether new work may begin at a worker while the list of workers is out of reach.
//!
//! A drain that the list would have announced is deemed announced at a known time, even if the scheduler could not
//! receive it. Once the grace after that time is over, the list alone no longer permits new work. From then on the
//! scheduler relies on leases: an answer that a draining worker would not have sent, to something sent at `t`, proves
//! that the worker was not draining at `t`, so that new work may begin until `t` plus the grace. Served calls renew the
//! lease; if there are too few of them, the scheduler probes the worker before it sends the call. A worker that reports
//! that it drains, or does not answer, gets no work and is probed again with exponential backoff.
//!
//! None of this applies while the list is being followed.

use crate::interface::*;
use crate::state::*;

/// Safety margin subtracted from the grace, at most half of it. It covers the delay between a worker's change of state
/// and its entry in the list, and the difference between the clocks by which the two are read.
const LEASE_MARGIN_US: Micros = 100_000;
/// Calls stop waiting for a worker that has not answered a probe within this time.
const PROBE_WAIT_US: Micros = 50_000;
/// A probe not answered within this time is sent again; establishing a connection may take this long.
const PROBE_TIMEOUT_US: Micros = 1_000_000;
/// First pause between probes of a worker that drains or does not answer; it doubles each time.
const MIN_PAUSE_US: Micros = 100_000;
/// Longest such pause.
const MAX_PAUSE_US: Micros = 3_200_000;
/// Longest such pause while no worker may get work.
const MAX_PAUSE_NONE_OPEN_US: Micros = 800_000;
/// Limit on probes of such workers in one sweep.
const PROBES_PER_SWEEP: usize = 2;
/// A worker that rejects work within this time after it answered a probe is full, not draining.
const FULL_AFTER_PROBE_US: Micros = 250_000;
/// If probes are not allowed, a worker that rejects this many requests in a row gets no work for a pause.
const MAX_REFUSALS: u32 = 3;
/// While the list is followed, it announces a restart within this time.
const RESTART_NOTICE_US: Micros = 3_000_000;
/// Cost factor of a worker that must be probed first, when choosing among workers with loaded copies. It concentrates
/// calls on workers whose lease the calls themselves renew.
const PROBE_COST: f64 = 4.0;

/// A worker has reported that it drains, or did not answer.
#[derive(Clone, Copy)]
struct Denial {
    /// When the probe or request that it answers was sent.
    sent: Micros,
    /// When the denial was recorded.
    noted_at: Micros,
    /// Time from `noted_at` until the next probe or, if probes are not allowed, until calls may be sent again.
    pause: Micros,
}

/// Evidence of whether a worker drains, collected while the list is out of reach.
#[derive(Clone, Default)]
pub struct DrainEvidence {
    /// It was not yet draining at this time.
    not_draining_at: Option<Micros>,
    /// It rejected work sent at this time; whether it drains or is full is unknown.
    refused_at: Option<Micros>,
    /// Rejections since it last served.
    refusals: u32,
    /// Send time of the last probe that it answered with success.
    probe_passed_at: Option<Micros>,
    denial: Option<Denial>,
    /// Send time of the probe that is not yet answered.
    probe_sent_at: Option<Micros>,
    /// When its last connection was lost.
    disconnected_at: Option<Micros>,
    /// Its next successful answer comes from a process that has restarted.
    restart_expected: bool,
}

impl DrainEvidence {
    /// Whether it has rejected work during this outage and not served since.
    pub fn has_refused(&self) -> bool {
        self.refused_at.is_some()
    }
}

/// Whether new work may begin at a worker now.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Allowed.
    Open,
    /// Allowed after a successful probe.
    NeedsProbe,
    /// A probe was sent within the last [`PROBE_WAIT_US`].
    Probing,
    /// Not allowed.
    Closed,
}

impl Controller {
    /// The time until which new work may begin at a worker in view of a possible drain; `None` for no limit. The
    /// caller must check it again before it writes the first byte, as the decision may have been queued in between.
    pub fn new_work_until(&self, worker: &WorkerId) -> Option<Micros> {
        let listed = self.listed_until()?;
        let Some(state) = self.workers.get(worker) else { return Some(listed) };
        let is_closed = state.drain_evidence.denial.is_some() || state.drain_evidence.refused_at.is_some();
        if is_closed && self.settings.limits.probes && !self.is_list_current() {
            Some(0)
        } else {
            Some(listed.max(self.lease_until(state)))
        }
    }

    /// Whether the list is being followed, its freshness is never reported, or there is no grace to observe.
    fn is_list_current(&self) -> bool {
        matches!(self.list_freshness, None | Some(ListFreshness::Current { .. }))
            || self.settings.rules.drain_grace.is_none()
    }

    /// The grace less the safety margin.
    fn grace(&self) -> Option<Micros> {
        self.settings.rules.drain_grace.map(|grace| grace - LEASE_MARGIN_US.min(grace / 2))
    }

    /// The time until which the list alone permits new work at listed workers.
    fn listed_until(&self) -> Option<Micros> {
        let grace = self.grace()?;
        Some(match self.list_freshness? {
            ListFreshness::Current { announced_at } | ListFreshness::Interrupted { announced_at } => {
                announced_at + grace
            }
            // If probes are not allowed, nothing else could ever confirm the initial list, so it is accepted.
            ListFreshness::Unconfirmed { since } if !self.settings.limits.probes => since + grace,
            ListFreshness::Unconfirmed { .. } => 0,
        })
    }

    fn lease_until(&self, worker: &Worker) -> Micros {
        let lease = worker.drain_evidence.not_draining_at.zip(self.grace());
        lease.map_or(0, |(start, grace)| start + grace)
    }

    /// Whether new work may begin at a worker now.
    pub(crate) fn access(&self, now: Micros, worker: &Worker) -> Access {
        let Some(listed) = self.listed_until() else { return Access::Open };
        if self.is_list_current() && now < listed {
            return Access::Open;
        }
        let (evidence, probes) = (&worker.drain_evidence, self.settings.limits.probes);
        // If probes are not allowed, the next call after the pause takes the place of one.
        if evidence.denial.is_some_and(|denial| probes || now < denial.noted_at + denial.pause) {
            return Access::Closed;
        }
        let needs_check = probes && evidence.refused_at.is_some();
        if now < listed.max(self.lease_until(worker)) && !needs_check {
            return Access::Open;
        }
        match evidence.probe_sent_at {
            _ if !probes => Access::Closed,
            Some(sent) if now < sent + PROBE_WAIT_US => Access::Probing,
            Some(sent) if now < sent + PROBE_TIMEOUT_US => Access::Closed,
            _ => Access::NeedsProbe,
        }
    }

    /// Whether a worker is listed and may get work, at once or after a probe.
    pub(crate) fn takes_work(&self, now: Micros, worker: &Worker) -> bool {
        worker.usable && self.access(now, worker) != Access::Closed
    }

    /// Cost factor of a worker among those with loaded copies; above 1 if it must be probed first or rejected work.
    pub(crate) fn probe_cost(&self, now: Micros, worker: &Worker) -> f64 {
        let is_open = self.access(now, worker) == Access::Open && !worker.drain_evidence.has_refused();
        if is_open { 1.0 } else { PROBE_COST }
    }

    /// Whether new work may begin at this worker now. All new work, calls and load orders, passes this check. It sends
    /// a probe to a worker that needs one.
    pub(crate) fn may_begin(&mut self, now: Micros, worker: &WorkerId, out: &mut Out) -> bool {
        let Some(state) = self.workers.get(worker) else { return false };
        let access = self.access(now, state);
        if access == Access::NeedsProbe {
            self.probe(now, worker, out);
        }
        access == Access::Open
    }

    fn probe(&mut self, now: Micros, worker: &WorkerId, out: &mut Out) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.drain_evidence.probe_sent_at = Some(now);
            out.push(Action::Probe { worker: worker.clone() });
        }
    }

    /// Whether no listed worker may get work, and none has a first probe pending.
    pub(crate) fn is_every_worker_closed(&self, now: Micros) -> bool {
        let closed = |w: &Worker| {
            let no_probe_pending = !self.settings.limits.probes || w.drain_evidence.denial.is_some();
            no_probe_pending && self.access(now, w) == Access::Closed
        };
        let mut usable = self.workers.values().filter(|w| w.usable).peekable();
        usable.peek().is_some() && usable.all(closed)
    }

    /// Whether the list is out of reach and no listed worker may get work without a probe.
    pub(crate) fn has_no_open_worker(&self, now: Micros) -> bool {
        !self.is_list_current()
            && !self.workers.values().any(|w| w.usable && self.access(now, w) == Access::Open)
    }

    /// Retry delay for clients while every worker is closed.
    pub(crate) fn retry_after_closed(&self) -> Micros {
        MAX_PAUSE_NONE_OPEN_US
    }

    /// Records the freshness of the list. Once the list is followed again it covers every worker, so the evidence
    /// collected in the meantime is discarded.
    pub(crate) fn on_list_freshness(&mut self, now: Micros, freshness: ListFreshness) {
        let was_current = self.is_list_current();
        self.list_freshness = Some(freshness);
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
                let recently = |w: &Worker| {
                    w.drain_evidence.disconnected_at.is_some_and(|lost| lost + RESTART_NOTICE_US > now)
                };
                let lost = self.workers.iter().filter(|(_, w)| recently(w));
                let lost: Vec<_> = lost.map(|(id, _)| id.clone()).collect();
                lost.iter().for_each(|id| self.presume_restart(now, id));
            }
            _ => {}
        }
    }

    /// A worker's last connection was lost. While the list is out of reach this is the only sign of a restart.
    pub(crate) fn on_disconnected(&mut self, now: Micros, worker: &WorkerId) {
        let Some(state) = self.workers.get_mut(worker) else { return };
        state.drain_evidence.disconnected_at = Some(now);
        if !self.is_list_current() {
            self.presume_restart(now, worker);
        }
    }

    /// A worker may have restarted: it counts as cold and empty from now on, and again from its next answer on.
    fn presume_restart(&mut self, now: Micros, worker: &WorkerId) {
        self.record_restart(now, worker);
        if let Some(state) = self.workers.get_mut(worker) {
            state.drain_evidence.restart_expected = true;
        }
    }

    /// Treats a worker as started now. Its drain evidence is retained.
    fn record_restart(&mut self, now: Micros, worker: &WorkerId) {
        let Some(state) = self.workers.get(worker) else { return };
        let (mut member, evidence) = (state.member.clone(), state.drain_evidence.clone());
        member.started = now;
        // Schedulers detect the restart at different times, so the key must not depend on the time: with a constant
        // key their shares of the cold budget are still spread evenly.
        self.add_cold_worker(now, member, 0);
        if let Some(state) = self.workers.get_mut(worker) {
            state.drain_evidence = evidence;
        }
    }

    /// Records an answer, to a request or probe sent at `sent`, that a draining worker would not have sent.
    pub(crate) fn renew_lease(&mut self, now: Micros, worker: &WorkerId, sent: Micros) {
        if self.is_list_current() {
            return;
        }
        let Some(state) = self.workers.get_mut(worker) else { return };
        let evidence = &mut state.drain_evidence;
        evidence.not_draining_at = evidence.not_draining_at.max(Some(sent));
        if evidence.refused_at.take_if(|refused| *refused <= sent).is_some() {
            evidence.refusals = 0;
        }
        evidence.denial.take_if(|denial| denial.sent < sent);
        if evidence.denial.is_none() && std::mem::take(&mut evidence.restart_expected) {
            self.record_restart(now, worker);
        }
    }

    /// Work sent at `sent` was rejected. Returns whether the rejection counts as overload. A draining worker rejects
    /// everything, a full one serves some requests in between. The worker is therefore probed before it gets more, and
    /// what it rejects shortly after a successful probe is overload. If probes are not allowed, the first of several
    /// rejections in a row counts as overload.
    pub(crate) fn on_refusal(&mut self, now: Micros, worker: &WorkerId, sent: Micros) -> bool {
        let (current, probes) = (self.is_list_current(), self.settings.limits.probes);
        let Some(state) = self.workers.get_mut(worker).filter(|_| !current) else { return true };
        let evidence = &mut state.drain_evidence;
        if probes && evidence.probe_passed_at.is_some_and(|passed| passed + FULL_AFTER_PROBE_US > now) {
            return true;
        }
        let is_first = evidence.refused_at.is_none();
        evidence.refused_at = evidence.refused_at.max(Some(sent));
        evidence.refusals += 1;
        if !probes && evidence.refusals >= MAX_REFUSALS {
            self.deny(now, worker, sent, false);
        }
        is_first && !probes
    }

    /// A probe was answered or has failed.
    pub(crate) fn on_probed(
        &mut self,
        now: Micros,
        worker: &WorkerId,
        result: (Code, Micros),
        out: &mut Out,
    ) {
        let (code, latency) = result;
        let (sent, current) = (now.saturating_sub(latency), self.is_list_current());
        let Some(state) = self.workers.get_mut(worker).filter(|_| !current) else { return };
        state.drain_evidence.probe_sent_at = None;
        match code {
            Code::Ok => {
                state.drain_evidence.probe_passed_at = Some(sent);
                self.renew_lease(now, worker, sent);
            }
            code => self.deny(now, worker, sent, code == Code::Error),
        }
        self.waiting.values_mut().for_each(|calls| calls.blocked_until = 0);
        self.route_waiting(now, None, out);
    }

    /// A worker has reported that it drains, or has not answered. One that drains returns as a new process, empty and
    /// cold.
    fn deny(&mut self, now: Micros, worker: &WorkerId, sent: Micros, drains: bool) {
        let Some(state) = self.workers.get_mut(worker) else { return };
        let evidence = &mut state.drain_evidence;
        // A request or probe sent later was answered successfully.
        if evidence.not_draining_at.is_some_and(|proven| proven > sent) {
            return;
        }
        let pause = evidence.denial.map_or(MIN_PAUSE_US, |denial| (denial.pause * 2).min(MAX_PAUSE_US));
        evidence.denial = Some(Denial { sent, noted_at: now, pause });
        if drains && !std::mem::replace(&mut evidence.restart_expected, true) {
            self.clear_placements(worker);
        }
    }

    /// Probes denied workers whose pause is over, the longest overdue first.
    pub(crate) fn probe_denied(&mut self, now: Micros, out: &mut Out) {
        if self.is_list_current() || !self.settings.limits.probes {
            return;
        }
        let longest = if self.has_no_open_worker(now) { MAX_PAUSE_NONE_OPEN_US } else { MAX_PAUSE_US };
        let no_probe_pending = |w: &Worker| {
            w.usable && w.drain_evidence.probe_sent_at.is_none_or(|sent| now >= sent + PROBE_TIMEOUT_US)
        };
        let due =
            |w: &Worker| w.drain_evidence.denial.map(|denial| denial.noted_at + denial.pause.min(longest));
        for _ in 0..PROBES_PER_SWEEP {
            let denied = self.workers.iter().filter(|(_, w)| no_probe_pending(w));
            let denied = denied.filter_map(|(id, w)| Some((due(w)?, id)));
            let Some(worker) = denied.min().filter(|(due, _)| *due <= now).map(|(_, id)| id.clone()) else {
                return;
            };
            self.probe(now, &worker, out);
        }
    }
}
