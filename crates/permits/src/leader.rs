//! What a node does as leader: it grants requests, and answers each once the state that it leads to is agreed on by a majority.
//! Input: requests with the number of who asks. Output: datagrams. A request that is sent again is answered as before.

use crate::bounds::{Denied, grant_permit, out_of_service as all_out};
use crate::node::{FleetObserver, Out, PermitNode};
use crate::plan::next_scheduler;
use crate::register::ReplicatedRegister;
use crate::request_table::{Asker, PermitResult};
use crate::state::{PermitState, Plan, Subject};
use crate::wire::{Body, Halt, PermitRequest};
use basaltward_membership::Micros;
use std::collections::BTreeSet;

/// What a request leads to.
struct Grant {
    /// The state to be agreed.
    state: PermitState,
    /// The permit or plan that it is answered by, 0 for none.
    number: u16,
}

impl PermitNode {
    /// Answers a request, and remembers the answer.
    pub(crate) fn answer(&mut self, asker: Asker, answer: PermitResult, out: &mut Out) {
        self.requests.answer(asker, answer);
        self.send(asker.node, Body::Reply(asker.tag, answer), out);
    }

    /// Takes a request of a node, which may be ourselves.
    pub(crate) fn asked(
        &mut self,
        now: Micros,
        asker: Asker,
        request: PermitRequest,
        observer: &impl FleetObserver,
        out: &mut Out,
    ) {
        let value = self
            .register
            .as_ref()
            .filter(|register| register.committed().is_some())
            .and_then(ReplicatedRegister::value);
        let Some(state) = value.cloned() else {
            return self.send(asker.node, Body::Reply(asker.tag, Err(Denied::NoLeader)), out);
        };
        match self.requests.repeated(asker) {
            Some(Some(answer)) => return self.send(asker.node, Body::Reply(asker.tag, answer), out),
            Some(None) => return,
            None => {}
        }
        let Grant { state: changed, number } = match self.granted(now, &state, request, observer, out) {
            Ok(grant) => grant,
            Err(why) => return self.answer(asker, Err(why), out),
        };
        let agreed =
            self.register.as_ref().and_then(ReplicatedRegister::committed).map_or(0, |agreed| agreed.version);
        match self.change(changed) {
            // It changes nothing, and what stands is agreed.
            Some(version) if version <= agreed => self.answer(asker, Ok(number), out),
            Some(version) if self.requests.wait(version, asker, number) => self.beat(now, out),
            _ => self.answer(asker, Err(Denied::Full), out),
        }
    }

    /// What a request leads to. Nothing of it holds before it is agreed.
    fn granted(
        &mut self,
        now: Micros,
        state: &PermitState,
        request: PermitRequest,
        observer: &impl FleetObserver,
        out: &mut Out,
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
            PermitRequest::Plan { to, from, rollback: back } => {
                let number = state.last_number.wrapping_add(1);
                (changed.last_number, changed.plan) =
                    (number, Some(Plan { number, to, from, rollback: back }));
                number
            }
            PermitRequest::Next(number) => {
                let observations = observer.observations(now);
                let plan = state.plan.filter(|plan| plan.number == number).ok_or(Denied::Stale)?;
                let subject = next_scheduler(state, &plan, &observations, self.settings.own)?;
                self.acquire(now, &mut changed, subject, observer)?
            }
            PermitRequest::Acquire(subject) => self.acquire(now, &mut changed, subject, observer)?,
            PermitRequest::Return(subject, number) if subject.is_takeover() => {
                let standing = state.permit(subject).filter(|permit| permit.number == number);
                standing.ok_or(Denied::Stale)?;
                changed.remove(subject);
                number
            }
            PermitRequest::Reclaim(subject) if subject.is_takeover() => {
                // Another number makes another value, which only a majority can agree on.
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
                self.hear_halt(Halt { count: count + 1, on: false }, out);
                0
            }
            PermitRequest::Resume(_) => return Err(Denied::Stale),
        };
        Ok(Grant { state: changed, number })
    }

    /// Adds the permit of one more to be out; gives its number.
    fn acquire(
        &mut self,
        now: Micros,
        state: &mut PermitState,
        subject: Subject,
        observer: &impl FleetObserver,
    ) -> PermitResult {
        let none = PermitState { last_number: state.last_number, ..PermitState::default() };
        let counted = if self.counts_permits { &*state } else { &none };
        let given = grant_permit(counted, &observer.observations(now), &self.settings.bounds, subject)?;
        if !state.add(given) {
            return Err(Denied::Full);
        }
        state.last_number = given.number;
        self.requests.given(now, subject);
        Ok(given.number)
    }

    /// All that are out, as a leader counts them.
    pub fn out_of_service(&self, now: Micros, observer: &impl FleetObserver) -> BTreeSet<Subject> {
        let none = PermitState::default();
        all_out(self.known.as_ref().map_or(&none, |known| &known.value), &observer.observations(now))
    }
}
