//! The path of a call through a loop: it is shed on admission or handed over to another site; otherwise it is passed to
//! the loop that owns its event, replicated if its class demands it, and passed to the engine.

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
use basaltward_rules::Observation;
use tracing::warn;

impl Scheduler {
    /// Handles a new call of this loop's clients: it is shed, handed over to another site, or handled at this site.
    pub(super) fn new_call(&mut self, now: Micros, call: NewCall<Event>) {
        let Some(sites) = &mut self.sites else { return self.local_call(now, call) };
        let (waiter, event) = (call.waiter, call.payload.clone());
        match sites.call_arrived(&mut self.io, now, call) {
            Arrival::Local(call) => self.local_call(now, call),
            Arrival::HandedOver(to) => {
                let (event, to) = (event_name(&event), sites.name(to).to_owned());
                self.recorder.put(now, &self.name, Observation::HandedOver { event, to });
            }
            Arrival::Answered(answer) => {
                self.answer_client(now, (waiter, answer), (0, None, AnswerOrigin::Direct))
            }
        }
    }

    /// Handles the end of a job at another site: answers the client, or runs the call here in its remaining time.
    pub(super) fn remote_job_ended(&mut self, now: Micros, end: Option<JobEnd>) {
        let result = end.and_then(|end| self.sites.as_mut()?.job_ended(now, end));
        match result {
            Some(HandOverResult::Answer(waiter, answer)) => {
                self.answer_client(now, (waiter, answer), (1, None, AnswerOrigin::First))
            }
            Some(HandOverResult::RunLocally(call)) => self.local_call(now, call),
            None => {}
        }
    }

    /// Whether this connection is one to another site.
    pub(super) fn is_peer_connection(&self, conn: ConnId) -> bool {
        self.sites.as_ref().is_some_and(|sites| sites.owns(conn))
    }

    /// Passes a call handled at this site to the loop that owns its event.
    pub(super) fn local_call(&mut self, now: Micros, call: NewCall<Event>) {
        let Some((owner, hash)) = self.channels.owner(&call.identity) else {
            return self.owned_call(now, call);
        };
        let repeat = self.front.repeat_of(&call.function);
        let seen_before = repeat != Repeat::Safe && self.channels.record_seen(now, hash);
        if owner == self.channels.index() {
            return self.owned_call(now, call);
        }
        let NewCall { waiter, identity, function, deadline, payload } = call;
        let untaken = UntakenAnswer::for_event(repeat, seen_before);
        let lateness = self.engine.lateness(now);
        let handoff = self.handoffs.hand_over((now, lateness), waiter, owner, deadline, untaken);
        let sent = handoff.is_some_and(|(claim, deadline)| {
            self.channels.send(owner, Message::Call { waiter, identity, function, deadline, payload, claim })
        });
        if !sent {
            self.handoffs.answered(waiter);
            self.answer_client(now, (waiter, untaken.answer()), (0, None, AnswerOrigin::Direct));
        }
    }

    /// Handles a call that this loop owns. A call of a replicated class waits until other sites have stored its entry.
    pub(super) fn owned_call(&mut self, now: Micros, call: NewCall<Event>) {
        let Some(replicated) = self.sites.as_mut().and_then(|sites| sites.replicated.as_mut()) else {
            return self.start_call(now, call);
        };
        match replicated.accept((now, wall_ms()), call) {
            AcceptOutcome::Proceed(call) => self.start_call(now, call),
            AcceptOutcome::Waiting => {}
            AcceptOutcome::Answer(waiter, answer) => {
                self.route_answer(now, waiter, answer, (0, None, AnswerOrigin::Direct))
            }
        }
    }

    /// Passes a call to the engine.
    pub(super) fn start_call(&mut self, now: Micros, call: NewCall<Event>) {
        if self.recorder.is_enabled() {
            let event = event_name(&call.payload);
            self.recorder.put(now, &self.name, Observation::Accepted { event });
        }
        self.engine_input(now, Input::Call(call));
    }

    /// Handles the messages of other loops.
    pub(super) fn read_messages(&mut self, now: Micros) {
        let mut messages = std::mem::take(&mut self.messages);
        self.channels.receive(&mut messages);
        for message in messages.drain(..) {
            match message {
                Message::Call { waiter, identity, function, deadline, payload, claim } => {
                    if claim.take() {
                        self.owned_call(now, NewCall { waiter, identity, function, deadline, payload });
                    }
                }
                Message::ClientLeft(waiter) => self.client_left(now, waiter),
                Message::Answer { waiter, answer, attempts, worker, origin } => {
                    if self.handoffs.answered(waiter) {
                        self.answer_client(now, (waiter, answer), (attempts, worker, origin));
                    }
                }
            }
        }
        self.messages = messages;
    }

    /// The client of a call that this loop owns has disconnected.
    pub(super) fn client_left(&mut self, now: Micros, waiter: WaiterId) {
        if let Some(replicated) = self.sites.as_mut().and_then(|sites| sites.replicated.as_mut()) {
            replicated.client_left(waiter);
        }
        self.engine_input(now, Input::ClientLeft(waiter));
    }

    /// Sends journal steps to the control thread and handles its messages about replicated events.
    pub(super) fn read_control(&mut self, now: Micros) {
        for message in self.sites.as_mut().map(Sites::exchange_control).unwrap_or_default() {
            let Some(replicated) = self.sites.as_mut().and_then(|sites| sites.replicated.as_mut()) else {
                return;
            };
            let actions = match message {
                ControlMessage::Replicated(key, stored) => replicated.replication_result(key, stored),
                ControlMessage::SendDecision(key, number, until) => {
                    replicated.lease_decided(key, number, until).into_iter().collect()
                }
                ControlMessage::EndedElsewhere(key, outcome, answer) => {
                    replicated.ended_elsewhere(key, outcome, &answer, now)
                }
                ControlMessage::TakenOver(key) => replicated.taken_over(key),
                ControlMessage::OwnedElsewhere(key) => replicated.owned_elsewhere(key),
                ControlMessage::RunForLostSite(accepted, before) => {
                    let key = accepted.key;
                    let Some(mut call) = self.front.call_of_lost_site(&accepted, (now, wall_ms())) else {
                        warn!(
                            scheduler = self.name,
                            function = accepted.function,
                            "event of a lost site not run: unknown function or invalid event"
                        );
                        replicated.abandon(key);
                        continue;
                    };
                    call.deadline =
                        call.deadline.min(now + before.saturating_sub(wall_ms()).saturating_mul(1_000));
                    // Handled like an event accepted here, journal steps included.
                    match replicated.accept((now, wall_ms()), call) {
                        AcceptOutcome::Proceed(call) => self.start_call(now, call),
                        AcceptOutcome::Waiting => {}
                        AcceptOutcome::Answer(..) => replicated.abandon(key),
                    }
                    continue;
                }
            };
            self.perform_actions(now, actions);
        }
    }

    /// Carries out actions for replicated events.
    pub(super) fn perform_actions(&mut self, now: Micros, actions: Vec<Action>) {
        for action in actions {
            match action {
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
                        let end = self.links.start(&mut self.io, now, &worker, job);
                        self.record_sent(now);
                        self.job_ended(now, end);
                    }
                }
            }
        }
    }
}
