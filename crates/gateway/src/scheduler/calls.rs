//! The way of a call through a loop: turned away at the door, handed to another site, to the loop that owns its event,
//! held by neighbours, begun.

use super::{Scheduler, event_name, wall_ms};
use crate::kept::{Accept, Then};
use crate::links::{Done, Job};
use crate::mail::Message;
use crate::sites::{Arrival, Back, Sites};
use crate::tables::Word;
use basaltward::{Code, Micros, Repeat};
use basaltward_cloudevents::Event;
use basaltward_engine::{AnswerOrigin, AttemptEnd, Input, NewCall, UntakenAnswer, WaiterId};
use basaltward_net::ConnId;
use basaltward_rules::Observation;
use tracing::warn;

impl Scheduler {
    /// A call of this loop's clients: turned away, handed to another site, or answered here.
    pub(super) fn call(&mut self, now: Micros, call: NewCall<Event>) {
        let Some(sites) = &mut self.sites else { return self.home_call(now, call) };
        let (waiter, event) = (call.waiter, call.payload.clone());
        match sites.arrived(&mut self.io, now, call) {
            Arrival::Home(call) => self.home_call(now, call),
            Arrival::Away(to) => {
                let (event, to) = (event_name(&event), sites.name(to).to_owned());
                self.recorder.put(now, &self.name, Observation::HandedOver { event, to });
            }
            Arrival::Answered(answer) => self.give(now, (waiter, answer), (0, None, AnswerOrigin::Direct)),
        }
    }

    /// What has ended at another site: its reply, or a call that is tried here in what is left of its time.
    pub(super) fn came_back(&mut self, now: Micros, done: Option<Done>) {
        let back = done.and_then(|done| self.sites.as_mut()?.done(now, done));
        match back {
            Some(Back::Answer(waiter, answer)) => {
                self.give(now, (waiter, answer), (1, None, AnswerOrigin::First))
            }
            Some(Back::Home(call)) => self.home_call(now, call),
            None => {}
        }
    }

    pub(super) fn owns_peer(&self, conn: ConnId) -> bool {
        self.sites.as_ref().is_some_and(|sites| sites.owns(conn))
    }

    /// A call that is answered at this site goes to the loop that owns its event.
    pub(super) fn home_call(&mut self, now: Micros, call: NewCall<Event>) {
        let Some((owner, hash)) = self.mail.owner(&call.identity) else { return self.own_call(now, call) };
        let repeat = self.front.repeat_of(&call.function);
        let known = repeat != Repeat::Safe && self.mail.mark(now, hash);
        if owner == self.mail.me() {
            return self.own_call(now, call);
        }
        let NewCall { waiter, identity, function, deadline, payload } = call;
        let unheard = UntakenAnswer::for_event(repeat, known);
        let lateness = self.engine.lateness(now);
        let handed = self.handed.hand_over((now, lateness), waiter, owner, deadline, unheard);
        let sent = handed.is_some_and(|(claim, by)| {
            self.mail.send(owner, Message::Call { waiter, identity, function, by, payload, claim })
        });
        if !sent {
            self.handed.answered(waiter);
            self.give(now, (waiter, unheard.answer()), (0, None, AnswerOrigin::Direct));
        }
    }

    /// A call that this loop owns: one of a kept class waits until other sites hold it.
    pub(super) fn own_call(&mut self, now: Micros, call: NewCall<Event>) {
        let Some(kept) = self.sites.as_mut().and_then(|sites| sites.kept.as_mut()) else {
            return self.begin(now, call);
        };
        match kept.accept((now, wall_ms()), call) {
            Accept::Go(call) => self.begin(now, call),
            Accept::Waits => {}
            Accept::Answer(waiter, answer) => {
                self.deliver(now, waiter, answer, (0, None, AnswerOrigin::Direct))
            }
        }
    }

    pub(super) fn begin(&mut self, now: Micros, call: NewCall<Event>) {
        if self.recorder.is_enabled() {
            let event = event_name(&call.payload);
            self.recorder.put(now, &self.name, Observation::Accepted { event });
        }
        self.tell(now, Input::Call(call));
    }

    /// What other loops have said.
    pub(super) fn read_mail(&mut self, now: Micros) {
        let mut letters = std::mem::take(&mut self.letters);
        self.mail.receive(&mut letters);
        for letter in letters.drain(..) {
            match letter {
                Message::Call { waiter, identity, function, by, payload, claim } => {
                    if claim.take() {
                        self.own_call(now, NewCall { waiter, identity, function, deadline: by, payload });
                    }
                }
                Message::Left(waiter) => self.left(now, waiter),
                Message::Answer { waiter, answer, attempts, worker, path } => {
                    if self.handed.answered(waiter) {
                        self.give(now, (waiter, answer), (attempts, worker, path));
                    }
                }
            }
        }
        self.letters = letters;
    }

    /// A client of a call that this loop owns has left.
    pub(super) fn left(&mut self, now: Micros, waiter: WaiterId) {
        if let Some(kept) = self.sites.as_mut().and_then(|sites| sites.kept.as_mut()) {
            kept.left(waiter);
        }
        self.tell(now, Input::ClientLeft(waiter));
    }

    /// What the control thread says of kept events, once it has our steps.
    pub(super) fn read_words(&mut self, now: Micros) {
        for word in self.sites.as_mut().map(Sites::words).unwrap_or_default() {
            let Some(kept) = self.sites.as_mut().and_then(|sites| sites.kept.as_mut()) else { return };
            let then = match word {
                Word::Held(key, held) => kept.held(key, held),
                Word::May(key, number, until) => kept.may(key, number, until).into_iter().collect(),
                Word::Told(key, outcome, answer) => kept.told(key, outcome, &answer, now),
                Word::Lost(key) => kept.lost(key),
                Word::Elsewhere(key) => kept.elsewhere(key),
                Word::Run(pending, before) => {
                    let key = pending.key;
                    let Some(mut call) = self.front.owed(&pending, (now, wall_ms())) else {
                        warn!(
                            scheduler = self.name,
                            function = pending.function,
                            "of a lost site, not known here"
                        );
                        kept.gives_up(key);
                        continue;
                    };
                    call.deadline =
                        call.deadline.min(now + before.saturating_sub(wall_ms()).saturating_mul(1_000));
                    // As one that was accepted here: steps and all.
                    match kept.accept((now, wall_ms()), call) {
                        Accept::Go(call) => self.begin(now, call),
                        Accept::Waits => {}
                        Accept::Answer(..) => kept.gives_up(key),
                    }
                    continue;
                }
            };
            self.then(now, then);
        }
    }

    pub(super) fn then(&mut self, now: Micros, then: Vec<Then>) {
        for then in then {
            match then {
                Then::Go(call) => self.begin(now, call),
                Then::Answer(waiter, answer) => {
                    self.deliver(now, waiter, answer, (0, None, AnswerOrigin::Direct))
                }
                Then::Stay(attempt) => {
                    self.sites.iter_mut().for_each(|sites| drop(sites.unpark(attempt)));
                    self.done(now, Some(Done::Attempt(attempt, AttemptEnd::from_code(Code::Moot))));
                }
                Then::Leave(attempt, until) => {
                    let parked = self.sites.as_mut().and_then(|sites| sites.unpark(attempt));
                    if let Some((worker, mut job)) = parked {
                        if let Job::Attempt { lease, .. } = &mut job {
                            *lease = until;
                        }
                        let done = self.links.start(&mut self.io, now, &worker, job);
                        self.note_sent(now);
                        self.done(now, done);
                    }
                }
            }
        }
    }
}
