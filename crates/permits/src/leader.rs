//! The leader's part of a permit node: it decides on requests, and replies to each once a majority has committed the
//! state that results from it. Input: requests with their sender and tag. Output: datagrams. A repeated request gets
//! the same reply again.

use crate::bounds::{Denied, grant_permit, out_of_service};
use crate::node::{FleetObserver, Outputs, PermitNode};
use crate::plan::next_scheduler;
use crate::register::ReplicatedRegister;
use crate::request_table::{PermitResult, RequestId};
use crate::state::{PermitState, Plan, Subject};
use crate::wire::{Body, Halt, PermitRequest};
use basaltward_membership::Micros;
use std::collections::BTreeSet;

/// The result of a granted request.
struct Grant {
    /// The state to commit.
    state: PermitState,
    /// The number of the permit or plan that answers it, 0 for none.
    number: u16,
}

impl PermitNode {
    /// Replies to a request, and remembers the reply.
    pub(crate) fn answer(&mut self, request_id: RequestId, answer: PermitResult, out: &mut Outputs) {
        self.requests.record_reply(request_id, answer);
        self.send(request_id.node, Body::Reply(request_id.tag, answer), out);
    }

    /// Handles a request of a node, which may be this one.
    pub(crate) fn handle_request(
        &mut self,
        now: Micros,
        request_id: RequestId,
        request: PermitRequest,
        observer: &impl FleetObserver,
        out: &mut Outputs,
    ) {
        let value = self
            .register
            .as_ref()
            .filter(|register| register.committed().is_some())
            .and_then(ReplicatedRegister::value);
        let Some(state) = value.cloned() else {
            return self.send(request_id.node, Body::Reply(request_id.tag, Err(Denied::NoLeader)), out);
        };
        match self.requests.reply_to_repeated(request_id) {
            Some(Some(answer)) => {
                return self.send(request_id.node, Body::Reply(request_id.tag, answer), out);
            }
            Some(None) => return,
            None => {}
        }
        let Grant { state: changed, number } = match self.decide(now, &state, request, observer, out) {
            Ok(grant) => grant,
            Err(why) => return self.answer(request_id, Err(why), out),
        };
        let committed = self.register.as_ref().and_then(ReplicatedRegister::committed);
        let committed = committed.map_or(0, |committed| committed.version);
        match self.propose(changed) {
            // The request changes nothing, and the current state is committed.
            Some(version) if version <= committed => self.answer(request_id, Ok(number), out),
            Some(version) if self.requests.wait(version, request_id, number) => {
                self.send_heartbeats(now, out)
            }
            _ => self.answer(request_id, Err(Denied::Full), out),
        }
    }

    /// Decides on a request. The result takes effect only once it is committed.
    fn decide(
        &mut self,
        now: Micros,
        state: &PermitState,
        request: PermitRequest,
        observer: &impl FleetObserver,
        out: &mut Outputs,
    ) -> Result<Grant, Denied> {
        let mut changed = state.clone();
        let number = match request {
            PermitRequest::Acquire(_) | PermitRequest::Check(_) | PermitRequest::Next(_) if self.halt.on => {
                return Err(Denied::Halted);
            }
            PermitRequest::Check(subject) => {
                grant_permit(state, &observer.observations(now), &self.settings.bounds, subject)?;
                0
            }
            PermitRequest::Plan { to, from, rollback } => {
                let number = state.last_number.wrapping_add(1);
                (changed.last_number, changed.plan) = (number, Some(Plan { number, to, from, rollback }));
                number
            }
            PermitRequest::Next(number) => {
                let observations = observer.observations(now);
                let plan = state.plan.filter(|plan| plan.number == number).ok_or(Denied::Stale)?;
                let subject = next_scheduler(state, &plan, &observations, self.settings.own)?;
                self.acquire(now, &mut changed, subject, observer)?
            }
            PermitRequest::Acquire(subject) => self.acquire(now, &mut changed, subject, observer)?,
            PermitRequest::Return(subject, number) if subject.allows_takeover() => {
                let permit = state.permit(subject).filter(|permit| permit.number == number);
                permit.ok_or(Denied::Stale)?;
                changed.remove(subject);
                number
            }
            PermitRequest::Reclaim(subject) if subject.allows_takeover() => {
                // The new number makes a new value, so that the reply has to wait for a majority to commit it.
                changed.last_number = state.last_number.wrapping_add(1);
                state.permit(subject).map_or(0, |permit| permit.number)
            }
            PermitRequest::Reclaim(_) => return Err(Denied::Unknown),
            PermitRequest::Return(subject, number) if changed.mark_returned(subject, number) => number,
            PermitRequest::Return(..) => return Err(Denied::Stale),
            PermitRequest::WriteOff(subject) if state.permit(subject).is_some() => {
                changed.remove(subject);
                0
            }
            PermitRequest::WriteOff(_) => return Err(Denied::Stale),
            PermitRequest::Resume(count) if self.halt == (Halt { count, on: true }) => {
                self.adopt_halt(Halt { count: count + 1, on: false }, out);
                0
            }
            PermitRequest::Resume(_) => return Err(Denied::Stale),
        };
        Ok(Grant { state: changed, number })
    }

    /// Adds a permit for one more subject to be out of service, and returns its number.
    fn acquire(
        &mut self,
        now: Micros,
        state: &mut PermitState,
        subject: Subject,
        observer: &impl FleetObserver,
    ) -> PermitResult {
        let no_permits = PermitState { last_number: state.last_number, ..PermitState::default() };
        let counted = if self.counts_permits { &*state } else { &no_permits };
        let granted = grant_permit(counted, &observer.observations(now), &self.settings.bounds, subject)?;
        if !state.add(granted) {
            return Err(Denied::Full);
        }
        state.last_number = granted.number;
        self.requests.permit_granted(now, subject);
        Ok(granted.number)
    }

    /// All subjects that are out of service, counted as the leader counts them.
    pub fn out_of_service(&self, now: Micros, observer: &impl FleetObserver) -> BTreeSet<Subject> {
        let no_permits = PermitState::default();
        out_of_service(
            self.known.as_ref().map_or(&no_permits, |known| &known.value),
            &observer.observations(now),
        )
    }
}
