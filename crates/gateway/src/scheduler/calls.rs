//! The way of a call through a loop: turned away at the door, handed to another site, to the loop that owns its event,
//! held by neighbours, begun.

use super::{Scheduler, event_name, wall_ms};
use crate::channels::Message;
use crate::links::{Job, JobEnd};
use crate::replicated::{AcceptOutcome, Action};
use crate::sites::{Arrival, HandOverResult, Sites};
use crate::tables::ControlMessage;
use basaltward::{Code, Micros, Repeat};
use basaltward_cloudevents::Event;
use basaltward_engine::{AnswerOrigin, AttemptEnd, Input, NewCall, UntakenAnswer, WaiterId};
use basaltward_net::ConnId;
use basaltward_rules::What;
use tracing::warn;

impl Scheduler {
    /// A call of this loop's clients: turned away, handed to another site, or answered here.
    pub(super) fn new_call(&mut self, now: Micros, call: NewCall<Event>) {
        let Some(sites) = &mut self.sites else { return self.local_call(now, call) };
        let (waiter, event) = (call.waiter, call.payload.clone());
        match sites.call_arrived(&mut self.io, now, call) {
            Arrival::Local(call) => self.local_call(now, call),
            Arrival::HandedOver(to) => {
                let (event, to) = (event_name(&event), sites.name(to).to_owned());
                self.recorder.put(now, &self.name, What::HandedOver { event, to });
            }
            Arrival::Answered(answer) => {
                self.answer_client(now, (waiter, answer), (0, None, AnswerOrigin::Direct))
            }
        }
    }

    /// What has ended at another site: its reply, or a call that is tried here in what is left of its time.
    pub(super) fn remote_job_ended(&mut self, now: Micros, done: Option<JobEnd>) {
        let back = done.and_then(|done| self.sites.as_mut()?.job_ended(now, done));
        match back {
            Some(HandOverResult::Answer(waiter, answer)) => {
                self.answer_client(now, (waiter, answer), (1, None, AnswerOrigin::First))
            }
            Some(HandOverResult::RunLocally(call)) => self.local_call(now, call),
            None => {}
        }
    }

    pub(super) fn is_peer_connection(&self, conn: ConnId) -> bool {
        self.sites.as_ref().is_some_and(|sites| sites.owns(conn))
    }

    /// A call that is answered at this site goes to the loop that owns its event.
    pub(super) fn local_call(&mut self, now: Micros, call: NewCall<Event>) {
        let Some((owner, hash)) = self.channels.owner(&call.identity) else {
            return self.owned_call(now, call);
        };
        let repeat = self.front.repeat_of(&call.function);
        let known = repeat != Repeat::Safe && self.channels.record_seen(now, hash);
        if owner == self.channels.index() {
            return self.owned_call(now, call);
        }
        let NewCall { waiter, identity, function, deadline, payload } = call;
        let unheard = UntakenAnswer::for_event(repeat, known);
        let lateness = self.engine.lateness(now);
        let handed = self.handoffs.hand_over((now, lateness), waiter, owner, deadline, unheard);
        let sent = handed.is_some_and(|(claim, by)| {
            self.channels
                .send(owner, Message::Call { waiter, identity, function, deadline: by, payload, claim })
        });
        if !sent {
            self.handoffs.answered(waiter);
            self.answer_client(now, (waiter, unheard.answer()), (0, None, AnswerOrigin::Direct));
        }
    }

    /// A call that this loop owns: one of a kept class waits until other sites hold it.
    pub(super) fn owned_call(&mut self, now: Micros, call: NewCall<Event>) {
        let Some(kept) = self.sites.as_mut().and_then(|sites| sites.replicated.as_mut()) else {
            return self.start_call(now, call);
        };
        match kept.accept((now, wall_ms()), call) {
            AcceptOutcome::Proceed(call) => self.start_call(now, call),
            AcceptOutcome::Waiting => {}
            AcceptOutcome::Answer(waiter, answer) => {
                self.route_answer(now, waiter, answer, (0, None, AnswerOrigin::Direct))
            }
        }
    }

    pub(super) fn start_call(&mut self, now: Micros, call: NewCall<Event>) {
        if self.recorder.is_on() {
            let event = event_name(&call.payload);
            self.recorder.put(now, &self.name, What::Taken { event });
        }
        self.engine_input(now, Input::Call(call));
    }

    /// What other loops have said.
    pub(super) fn read_messages(&mut self, now: Micros) {
        let mut letters = std::mem::take(&mut self.messages);
        self.channels.receive(&mut letters);
        for letter in letters.drain(..) {
            match letter {
                Message::Call { waiter, identity, function, deadline: by, payload, claim } => {
                    if claim.take() {
                        self.owned_call(now, NewCall { waiter, identity, function, deadline: by, payload });
                    }
                }
                Message::ClientLeft(waiter) => self.client_left(now, waiter),
                Message::Answer { waiter, answer, attempts, worker, origin: path } => {
                    if self.handoffs.answered(waiter) {
                        self.answer_client(now, (waiter, answer), (attempts, worker, path));
                    }
                }
            }
        }
        self.messages = letters;
    }

    /// A client of a call that this loop owns has left.
    pub(super) fn client_left(&mut self, now: Micros, waiter: WaiterId) {
        if let Some(kept) = self.sites.as_mut().and_then(|sites| sites.replicated.as_mut()) {
            kept.client_left(waiter);
        }
        self.engine_input(now, Input::ClientLeft(waiter));
    }

    /// What the control thread says of kept events, once it has our steps.
    pub(super) fn read_control(&mut self, now: Micros) {
        for word in self.sites.as_mut().map(Sites::exchange_control).unwrap_or_default() {
            let Some(kept) = self.sites.as_mut().and_then(|sites| sites.replicated.as_mut()) else { return };
            let then = match word {
                ControlMessage::Replicated(key, held) => kept.replication_result(key, held),
                ControlMessage::SendDecision(key, number, until) => {
                    kept.lease_decided(key, number, until).into_iter().collect()
                }
                ControlMessage::EndedElsewhere(key, outcome, answer) => {
                    kept.ended_elsewhere(key, outcome, &answer, now)
                }
                ControlMessage::TakenOver(key) => kept.taken_over(key),
                ControlMessage::OwnedElsewhere(key) => kept.owned_elsewhere(key),
                ControlMessage::RunForLostSite(pending, before) => {
                    let key = pending.key;
                    let Some(mut call) = self.front.call_of_lost_site(&pending, (now, wall_ms())) else {
                        warn!(
                            scheduler = self.name,
                            function = pending.function,
                            "of a lost site, not known here"
                        );
                        kept.abandon(key);
                        continue;
                    };
                    call.deadline =
                        call.deadline.min(now + before.saturating_sub(wall_ms()).saturating_mul(1_000));
                    // As one that was accepted here: steps and all.
                    match kept.accept((now, wall_ms()), call) {
                        AcceptOutcome::Proceed(call) => self.start_call(now, call),
                        AcceptOutcome::Waiting => {}
                        AcceptOutcome::Answer(..) => kept.abandon(key),
                    }
                    continue;
                }
            };
            self.perform_actions(now, then);
        }
    }

    pub(super) fn perform_actions(&mut self, now: Micros, then: Vec<Action>) {
        for then in then {
            match then {
                Action::Proceed(call) => self.start_call(now, call),
                Action::Answer(waiter, answer) => {
                    self.route_answer(now, waiter, answer, (0, None, AnswerOrigin::Direct))
                }
                Action::Withhold(attempt) => {
                    self.sites.iter_mut().for_each(|sites| drop(sites.unpark(attempt)));
                    self.job_ended(now, Some(JobEnd::Attempt(attempt, AttemptEnd::from_code(Code::Moot))));
                }
                Action::Send(attempt, until) => {
                    let parked = self.sites.as_mut().and_then(|sites| sites.unpark(attempt));
                    if let Some((worker, mut job)) = parked {
                        if let Job::Attempt { lease, .. } = &mut job {
                            *lease = until;
                        }
                        let done = self.links.start(&mut self.io, now, &worker, job);
                        self.record_sent(now);
                        self.job_ended(now, done);
                    }
                }
            }
        }
    }
}
