//! One loop's replicated events, which are the events of classes that have a [`ReplicationConfig`]. A call of such a
//! class goes to the engine once gateways of other sites have stored its journal entry. Each of its attempts is sent
//! once the entry of that attempt is stored too and, if the event must not run twice, under a lease. Free of I/O:
//! calls, attempts and messages of the control thread go in, the actions that follow come out.

use crate::front::extensions::KEPT;
use crate::sites::digest;
use crate::worker_wire::Reply;
use basaltward::{Group, Micros, Repeat};
use basaltward_cloudevents::{Attribute, Event, from_json, to_json};
use basaltward_config::{ReplicationConfig, UnreplicatedPolicy};
use basaltward_engine::{Answer, AttemptEnd, AttemptId, Failure, Identity, NewCall, Refusal, WaiterId};
use basaltward_pending::{Accepted, Key, Outcome, RepeatSafety, Step};
use basaltward_timers::Timers;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Divisor of the client's remaining time: an entry not replicated within that part of it counts as not replicated.
const REPLICATION_TIME_DIVISOR: Micros = 4;
/// Maximum journal steps queued for the control thread. Beyond it, when that thread is stalled, no new event is
/// journaled.
const MAX_QUEUED_STEPS: usize = 4_096;
/// Retry delay reported to a client that repeats an event for which another gateway is responsible.
const OWNED_ELSEWHERE_RETRY_US: Micros = 1_000_000;
/// An event that nothing else has closed is closed this long after its deadline.
const CLOSE_AFTER_US: Micros = 1_000_000;

/// Result of accepting a call.
pub enum AcceptOutcome {
    /// The call goes to the engine.
    Proceed(NewCall<Event>),
    /// The call waits until its journal entry is replicated.
    Waiting,
    /// The client is answered at once.
    Answer(WaiterId, Answer<Reply>),
}

/// An action for the loop to carry out.
pub enum Action {
    /// Pass a call to the engine.
    Proceed(NewCall<Event>),
    /// Answer a client.
    Answer(WaiterId, Answer<Reply>),
    /// Send an attempt, but only before this time.
    Send(AttemptId, Micros),
    /// Don't send an attempt: it never ran.
    Withhold(AttemptId),
}

/// Whether an attempt may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDecision {
    /// At once.
    Now,
    /// Once its journal entry is replicated.
    Wait,
    /// Not at all.
    Never,
}

/// The state of a replicated event.
enum State {
    /// The entry is not stored elsewhere yet; these calls wait for it.
    AwaitingReplication(Vec<NewCall<Event>>),
    /// The entry is replicated, and the calls are in the engine.
    Replicated,
    /// The calls proceed without a replica, as the class allows.
    Unreplicated,
    /// Other gateways have taken it over because they considered this one lost.
    TakenOver,
    /// It has ended. The engine answers repeats, unless another gateway ended it: then this outcome does.
    Ended(Option<(Outcome, Option<Reply>)>),
}

/// A replicated event, from its acceptance until it is evicted.
struct TrackedEvent {
    state: State,
    class: usize,
    deadline: Micros,
    /// Number of attempts so far.
    attempts: u32,
    /// At least one attempt may have run.
    may_have_run: bool,
    /// Its journal entry counts as not replicated.
    unreplicated: bool,
    /// From this time on an unconfirmed entry counts as not replicated.
    replicate_by: Micros,
}

/// An attempt held back until it may be sent.
struct ParkedAttempt {
    key: Key,
    /// Number of the attempt within its event.
    attempt: u32,
}

/// The replicated events of one loop.
pub struct ReplicatedEvents {
    classes: Vec<(Option<ReplicationConfig>, Repeat)>,
    /// Maximum size of an entry; larger events and answers are not journaled.
    entry_bytes: usize,
    events: HashMap<Key, TrackedEvent>,
    /// Attempts held back until their entry is replicated.
    parked: HashMap<AttemptId, ParkedAttempt>,
    /// Attempts that may have been sent and have not ended.
    in_flight: HashMap<AttemptId, Key>,
    /// The events of waiting clients whose calls are in the engine.
    waiters: HashMap<WaiterId, Key>,
    /// Replication timeouts of waiting events, and closing times of the others.
    event_timers: Timers<Key>,
    /// Expiry of parked attempts.
    attempt_timers: Timers<AttemptId>,
    /// Ended events, oldest first, at most `max_ended`.
    ended: VecDeque<Key>,
    max_ended: usize,
    /// Journal steps for the control thread, in order.
    pub steps: VecDeque<Step>,
}

/// Whether another gateway may run an event of this class again.
fn rerun_rule(repeat: Repeat) -> RepeatSafety {
    match repeat {
        Repeat::Safe => RepeatSafety::Safe,
        // Workers of different sites share seen keys only if the group is all workers.
        Repeat::Keyed { group: Group::All, window } => RepeatSafety::Keyed { window },
        Repeat::Keyed { .. } | Repeat::Unsafe => RepeatSafety::Unsafe,
    }
}

impl ReplicatedEvents {
    /// No events yet; `None` if no class is replicated. At most `max_ended` ended events are remembered.
    pub fn new(
        classes: Vec<(Option<ReplicationConfig>, Repeat)>,
        entry_bytes: usize,
        max_ended: usize,
    ) -> Option<Self> {
        classes.iter().any(|(kept, _)| kept.is_some()).then(|| Self {
            classes,
            entry_bytes,
            events: HashMap::new(),
            parked: HashMap::new(),
            in_flight: HashMap::new(),
            waiters: HashMap::new(),
            event_timers: Timers::default(),
            attempt_timers: Timers::default(),
            ended: VecDeque::new(),
            max_ended,
            steps: VecDeque::new(),
        })
    }

    /// Whether events of this class are replicated.
    pub fn is_replicated_class(&self, class: usize) -> bool {
        self.classes.get(class).is_some_and(|(kept, _)| kept.is_some())
    }

    /// When [`ReplicatedEvents::wake`] is due next.
    pub fn next_due(&self) -> Option<Micros> {
        self.event_timers.next_due().into_iter().chain(self.attempt_timers.next_due()).min()
    }

    /// The refusal of an event that could not be replicated, if the class demands one.
    fn refusal(class: &ReplicationConfig) -> Option<Answer<Reply>> {
        (class.unreplicated == UnreplicatedPolicy::Refuse)
            .then_some(Answer::Refused(Refusal::NotReplicated, None))
    }

    /// Accepts a call that this loop owns. `wall` is the wall clock in milliseconds.
    pub fn accept(&mut self, (now, wall): (Micros, u64), call: NewCall<Event>) -> AcceptOutcome {
        let class = call.function.class;
        let Some((Some(kept), repeat)) = self.classes.get(class).copied() else {
            return AcceptOutcome::Proceed(call);
        };
        let key = Key(digest(&call.identity));
        if let Some(event) = self.events.get_mut(&key) {
            match &mut event.state {
                State::AwaitingReplication(calls) => {
                    calls.push(call);
                    return AcceptOutcome::Waiting;
                }
                State::Ended(Some((outcome, reply))) => {
                    let answer = match (outcome, reply) {
                        (Outcome::Served, Some(reply)) => Answer::Served(reply.clone()),
                        (Outcome::Refused, _) => Answer::Refused(Refusal::NotStarted, None),
                        _ => Answer::Failed(Failure::MayHaveRun),
                    };
                    return AcceptOutcome::Answer(call.waiter, answer);
                }
                State::TakenOver => {
                    return AcceptOutcome::Answer(call.waiter, Answer::Failed(Failure::MayHaveRun));
                }
                State::Replicated | State::Unreplicated | State::Ended(None) => {
                    self.waiters.insert(call.waiter, key);
                    return AcceptOutcome::Proceed(call);
                }
            }
        }
        let mut event = Vec::new();
        to_json(&call.payload, &mut event);
        let too_long = event.len() + call.function.name.as_str().len() > self.entry_bytes;
        let replicate = !too_long && self.steps.len() < MAX_QUEUED_STEPS;
        if let Some(answer) = Self::refusal(&kept).filter(|_| !replicate) {
            return AcceptOutcome::Answer(call.waiter, answer);
        }
        let deadline = call.deadline;
        let replicate_by = now + deadline.saturating_sub(now) / REPLICATION_TIME_DIVISOR;
        let state = if replicate { State::AwaitingReplication(Vec::new()) } else { State::Unreplicated };
        self.event_timers.set(if replicate { replicate_by } else { deadline + CLOSE_AFTER_US }, key);
        self.events.insert(
            key,
            TrackedEvent {
                state,
                class,
                deadline,
                attempts: 0,
                may_have_run: false,
                unreplicated: !replicate,
                replicate_by,
            },
        );
        if !replicate {
            self.waiters.insert(call.waiter, key);
            return AcceptOutcome::Proceed(call);
        }
        self.steps.push_back(Step::Accepted(Accepted {
            key,
            class: class as u16,
            tenant: call.identity.tenant as u16,
            function: call.function.name.to_string(),
            repeat_safety: rerun_rule(repeat),
            finish_without_client: kept.finish_without_client,
            deadline: wall + deadline.saturating_sub(now) / 1_000,
            event,
        }));
        if let Some(TrackedEvent { state: State::AwaitingReplication(calls), .. }) = self.events.get_mut(&key)
        {
            calls.push(call);
        }
        AcceptOutcome::Waiting
    }

    /// Handles the result of replicating an event's entry to other sites. Returns the actions for the waiting calls.
    pub fn replication_result(&mut self, key: Key, replicated: bool) -> Vec<Action> {
        let Some(event) = self.events.get_mut(&key) else { return Vec::new() };
        let State::AwaitingReplication(calls) = &mut event.state else { return Vec::new() };
        let calls = std::mem::take(calls);
        let answer =
            self.classes[event.class].0.and_then(|kept| Self::refusal(&kept)).filter(|_| !replicated);
        if let Some(answer) = answer {
            self.end(key, Outcome::Refused, Vec::new());
            self.events.remove(&key);
            return calls.into_iter().map(|call| Action::Answer(call.waiter, answer.clone())).collect();
        }
        event.state = if replicated { State::Replicated } else { State::Unreplicated };
        event.unreplicated = !replicated;
        self.event_timers.set(event.deadline + CLOSE_AFTER_US, key);
        self.waiters.extend(calls.iter().map(|call| (call.waiter, key)));
        calls.into_iter().map(Action::Proceed).collect()
    }

    /// Decides whether an attempt may be sent to a worker now. The attempt is useless after `until`; `wall` is the wall
    /// clock in milliseconds.
    pub fn decide_send(
        &mut self,
        (wall, until): (u64, Micros),
        attempt: AttemptId,
        identity: &Identity,
        worker: &str,
    ) -> SendDecision {
        let key = Key(digest(identity));
        let Some(event) = self.events.get_mut(&key) else { return SendDecision::Now };
        let is_safe = self.classes[event.class].1 == Repeat::Safe;
        match event.state {
            State::Replicated => {
                let number = event.attempts;
                event.attempts += 1;
                self.parked.insert(attempt, ParkedAttempt { key, attempt: number });
                self.attempt_timers.set(until, attempt);
                self.steps.push_back(Step::Sending { key, attempt: number, worker: worker.into(), at: wall });
                SendDecision::Wait
            }
            State::Unreplicated => {
                event.attempts += 1;
                self.in_flight.insert(attempt, key);
                SendDecision::Now
            }
            State::Ended(_) if is_safe => SendDecision::Now,
            State::Ended(_) | State::TakenOver | State::AwaitingReplication(_) => SendDecision::Never,
        }
    }

    /// Other gateways have taken over an event: no further attempt of it is sent from here.
    pub fn taken_over(&mut self, key: Key) -> Vec<Action> {
        let mut actions = self.replication_result(key, false);
        if let Some(event) = self.events.get_mut(&key).filter(|e| !matches!(e.state, State::Ended(_))) {
            event.state = State::TakenOver;
        }
        let parked: Vec<_> = self.parked.iter().filter(|(_, p)| p.key == key).map(|(id, _)| *id).collect();
        actions.extend(parked.into_iter().filter(|id| self.abort(*id)).map(Action::Withhold));
        actions
    }

    /// Another gateway is responsible for an event with this key: clients waiting here get a refusal with a
    /// retry delay.
    pub fn owned_elsewhere(&mut self, key: Key) -> Vec<Action> {
        if !matches!(self.events.get(&key), Some(TrackedEvent { state: State::AwaitingReplication(_), .. })) {
            return Vec::new();
        }
        let Some(TrackedEvent { state: State::AwaitingReplication(calls), .. }) = self.events.remove(&key)
        else {
            return Vec::new();
        };
        let refused = |call: NewCall<Event>| {
            Action::Answer(
                call.waiter,
                Answer::Refused(Refusal::TooManyInFlight, Some(OWNED_ELSEWHERE_RETRY_US)),
            )
        };
        calls.into_iter().map(refused).collect()
    }

    /// Handles the decision about a parked attempt: it may be sent before `until`; with `None` it must not be sent.
    pub fn lease_decided(&mut self, key: Key, number: u32, until: Option<Micros>) -> Option<Action> {
        let is_this_attempt =
            |(_, parked): &(&AttemptId, &ParkedAttempt)| (parked.key, parked.attempt) == (key, number);
        let attempt = *self.parked.iter().find(is_this_attempt)?.0;
        self.parked.remove(&attempt);
        Some(match until {
            Some(until) => {
                self.in_flight.insert(attempt, key);
                Action::Send(attempt, until)
            }
            None => Action::Withhold(attempt),
        })
    }

    /// Cancels an attempt; returns true if it was still parked, so that it never ran.
    pub fn abort(&mut self, attempt: AttemptId) -> bool {
        self.parked.remove(&attempt).is_some()
    }

    /// An attempt that was sent has ended.
    pub fn attempt_ended(&mut self, attempt: AttemptId, end: &AttemptEnd<Reply>) {
        let Some(key) = self.in_flight.remove(&attempt) else { return };
        let Some(event) = self.events.get_mut(&key) else { return };
        event.may_have_run |= !end.code.never_ran();
        if let Some(reply) = &end.reply {
            let mut answer = Vec::new();
            to_json(&reply.0, &mut answer);
            answer.truncate(if answer.len() > self.entry_bytes { 0 } else { answer.len() });
            self.end(key, Outcome::Served, answer);
        }
    }

    /// Records the engine's answer to a client and returns the answer to send: the reply to an unreplicated event
    /// carries `kept` = false.
    pub fn answered(&mut self, waiter: WaiterId, answer: Answer<Reply>) -> Answer<Reply> {
        let Some(key) = self.waiters.remove(&waiter) else { return answer };
        let Some(event) = self.events.get(&key) else { return answer };
        let (unreplicated, unsafe_may_have_run) =
            (event.unreplicated, event.may_have_run && self.classes[event.class].1 == Repeat::Unsafe);
        match answer {
            // The end was journaled when the attempt ended.
            Answer::Served(reply) if unreplicated => {
                let kept = Attribute::Boolean(false);
                return Answer::Served(Reply(Arc::new(Event::clone(&reply.0).with_extension(KEPT, kept))));
            }
            Answer::Served(_) => {}
            Answer::Refused(..) if !unsafe_may_have_run => self.end(key, Outcome::Refused, Vec::new()),
            Answer::Refused(..) | Answer::Failed(_) => self.end(key, Outcome::Failed, Vec::new()),
        }
        answer
    }

    /// A client has disconnected. If its call still waits for replication and is the only one, the event is dropped.
    pub fn client_left(&mut self, waiter: WaiterId) {
        if self.waiters.remove(&waiter).is_some() {
            return;
        }
        let mut empty = None;
        for (key, event) in &mut self.events {
            if let State::AwaitingReplication(calls) = &mut event.state {
                let before = calls.len();
                calls.retain(|call| call.waiter != waiter);
                if calls.len() < before {
                    empty = calls.is_empty().then_some(*key);
                    break;
                }
            }
        }
        if let Some(key) = empty {
            self.end(key, Outcome::Refused, Vec::new());
            self.events.remove(&key);
        }
    }

    /// An event of a lost site was ended by the gateways that took it over. Repeats get that outcome; those already
    /// waiting here are answered at once.
    pub fn ended_elsewhere(&mut self, key: Key, outcome: Outcome, answer: &[u8], now: Micros) -> Vec<Action> {
        let reply = from_json(answer).ok().map(|event| Reply(Arc::new(event)));
        let state = State::Ended(Some((outcome, reply)));
        let ended = TrackedEvent {
            state,
            class: 0,
            deadline: now,
            attempts: 0,
            may_have_run: true,
            unreplicated: false,
            replicate_by: now,
        };
        let calls = match self.events.get_mut(&key).map(|event| &mut event.state) {
            None | Some(State::Ended(_) | State::TakenOver) => Vec::new(),
            Some(State::AwaitingReplication(calls)) => std::mem::take(calls),
            Some(State::Replicated | State::Unreplicated) => return Vec::new(),
        };
        self.events.insert(key, ended);
        self.evict_oldest(key);
        let outcomes: Vec<_> = calls.into_iter().map(|call| self.accept((now, 0), call)).collect();
        let answers = outcomes.into_iter().filter_map(|outcome| match outcome {
            AcceptOutcome::Answer(waiter, answer) => Some(Action::Answer(waiter, answer)),
            AcceptOutcome::Proceed(_) | AcceptOutcome::Waiting => None,
        });
        answers.collect()
    }

    /// An event of a lost site can't be run here: journals it as refused.
    pub fn abandon(&mut self, key: Key) {
        self.steps.push_back(Step::Ended { key, outcome: Outcome::Refused, answer: Vec::new() });
    }

    /// Marks an event as ended and journals its end if its entry is in the journal.
    fn end(&mut self, key: Key, outcome: Outcome, answer: Vec<u8>) {
        let Some(event) = self.events.get_mut(&key) else { return };
        match event.state {
            State::Ended(_) => return,
            State::Unreplicated | State::TakenOver => {}
            State::Replicated | State::AwaitingReplication(_) => {
                self.steps.push_back(Step::Ended { key, outcome, answer });
            }
        }
        event.state = State::Ended(None);
        self.evict_oldest(key);
    }

    /// Adds an ended event and forgets the oldest ones beyond the limit.
    fn evict_oldest(&mut self, key: Key) {
        self.ended.push_back(key);
        while self.ended.len() > self.max_ended {
            let Some(oldest) = self.ended.pop_front() else { return };
            if self.events.get(&oldest).is_some_and(|event| matches!(event.state, State::Ended(_))) {
                self.events.remove(&oldest);
            }
        }
    }

    /// Runs due timers: expired attempts, entries not replicated in time, and events that nothing else closed.
    pub fn wake(&mut self, now: Micros) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((_, attempt)) = self.attempt_timers.pop_due(now) {
            actions.extend(self.abort(attempt).then_some(Action::Withhold(attempt)));
        }
        while let Some((_, key)) = self.event_timers.pop_due(now) {
            let Some(event) = self.events.get(&key) else { continue };
            match event.state {
                // A timer of an earlier event with this key may fire first.
                State::AwaitingReplication(_) if now >= event.replicate_by => {
                    actions.extend(self.replication_result(key, false))
                }
                // The gateways that took it over have closed it by now.
                State::TakenOver if now >= event.deadline + CLOSE_AFTER_US => {
                    self.events.entry(key).and_modify(|event| {
                        event.state = State::Ended(Some((Outcome::Failed, None)));
                    });
                    self.evict_oldest(key);
                }
                State::Replicated | State::Unreplicated if now >= event.deadline + CLOSE_AFTER_US => {
                    let outcome = if event.may_have_run { Outcome::Failed } else { Outcome::Refused };
                    self.end(key, outcome, Vec::new());
                }
                _ => {}
            }
        }
        actions
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use basaltward::{Code, RequestId};
    use basaltward_engine::Function;

    const S: Micros = 1_000_000;

    fn new_events(unreplicated: UnreplicatedPolicy, repeat: Repeat) -> ReplicatedEvents {
        let kept = ReplicationConfig { holders: 1, unreplicated, finish_without_client: false };
        ReplicatedEvents::new(vec![(Some(kept), repeat), (None, Repeat::Safe)], 1_000, 2)
            .expect("a replicated class")
    }

    fn call(waiter: u64, id: &str, class: usize) -> NewCall<Event> {
        let function = Function { name: "stamp".into(), class, memory_mb: 1.0, lanes: 1, load_time: None };
        let identity = Identity { tenant: 0, function: "stamp".into(), source: "/s".into(), id: id.into() };
        let payload = Arc::new(Event::new(id, "/s", "t"));
        NewCall { waiter: WaiterId(waiter), identity, function: Arc::new(function), deadline: 8 * S, payload }
    }

    fn key(id: &str) -> Key {
        Key(digest(&call(0, id, 0).identity))
    }

    fn attempt(number: usize) -> AttemptId {
        AttemptId { request: RequestId(7), number }
    }

    fn proceeding(actions: Vec<Action>) -> Vec<u64> {
        actions
            .iter()
            .filter_map(|action| if let Action::Proceed(call) = action { Some(call.waiter.0) } else { None })
            .collect()
    }

    fn served() -> AttemptEnd<Reply> {
        AttemptEnd {
            reply: Some(Reply(Arc::new(Event::new("r", "/w", "t")))),
            ..AttemptEnd::from_code(Code::Ok)
        }
    }

    #[test]
    fn calls_proceed_once_their_entry_is_replicated_and_each_step_is_journaled_once() {
        let mut events = new_events(UnreplicatedPolicy::Refuse, Repeat::Unsafe);
        assert!(matches!(events.accept((0, 0), call(1, "a", 0)), AcceptOutcome::Waiting));
        assert!(matches!(events.accept((0, 0), call(2, "a", 0)), AcceptOutcome::Waiting));
        assert!(
            matches!(events.accept((0, 0), call(3, "b", 1)), AcceptOutcome::Proceed(_)),
            "its class is not replicated"
        );
        assert_eq!(events.steps.len(), 1);
        assert_eq!(proceeding(events.replication_result(key("a"), true)), [1, 2]);
        assert!(
            proceeding(events.replication_result(key("a"), true)).is_empty(),
            "a repeated confirmation released calls again"
        );
        let identity = call(1, "a", 0).identity;
        let decision = events.decide_send((5, 8 * S), attempt(0), &identity, "w");
        assert_eq!(decision, SendDecision::Wait, "sent before its entry was replicated");
        assert!(events.lease_decided(key("a"), 1, Some(S)).is_none(), "a lease of another attempt was used");
        assert!(
            matches!(events.lease_decided(key("a"), 0, Some(S)), Some(Action::Send(id, S)) if id == attempt(0))
        );
        events.attempt_ended(attempt(0), &served());
        events.attempt_ended(attempt(0), &served());
        let ended = events.steps.iter().filter(|step| matches!(step, Step::Ended { .. })).count();
        assert_eq!((events.steps.len(), ended), (3, 1));
    }

    #[test]
    fn unreplicated_events_are_refused_or_proceed_with_a_marked_reply() {
        let mut events = new_events(UnreplicatedPolicy::Refuse, Repeat::Safe);
        events.accept((0, 0), call(1, "a", 0));
        assert!(events.wake(2 * S - 1).is_empty());
        let actions = events.wake(2 * S);
        let refusal = Answer::Refused(Refusal::NotReplicated, None);
        assert!(matches!(&actions[..], [Action::Answer(WaiterId(1), answer)] if *answer == refusal));
        assert!(matches!(events.steps.back(), Some(Step::Ended { outcome: Outcome::Refused, .. })));

        let mut events = new_events(UnreplicatedPolicy::Continue, Repeat::Safe);
        events.accept((0, 0), call(1, "a", 0));
        assert_eq!(proceeding(events.replication_result(key("a"), false)), [1]);
        let decision = events.decide_send((0, S), attempt(0), &call(1, "a", 0).identity, "w");
        assert_eq!(decision, SendDecision::Now, "an unreplicated event must not wait");
        let Some(reply) = served().reply else { return };
        let Answer::Served(reply) = events.answered(WaiterId(1), Answer::Served(reply)) else {
            panic!("the answer is not a reply")
        };
        assert_eq!(reply.0.extension(KEPT), Some(&Attribute::Boolean(false)));
    }

    #[test]
    fn attempts_that_were_never_sent_are_known_not_to_have_run() {
        let mut events = new_events(UnreplicatedPolicy::Refuse, Repeat::Unsafe);
        events.accept((0, 0), call(1, "a", 0));
        events.replication_result(key("a"), true);
        let identity = call(1, "a", 0).identity;
        events.decide_send((0, 3 * S), attempt(0), &identity, "w");
        assert!(matches!(events.lease_decided(key("a"), 0, None), Some(Action::Withhold(_))), "no lease");
        events.decide_send((0, 3 * S), attempt(1), &identity, "w");
        assert!(
            matches!(events.wake(3 * S)[..], [Action::Withhold(id)] if id == attempt(1)),
            "the control thread did not answer in time"
        );
        events.decide_send((0, 3 * S), attempt(2), &identity, "w");
        assert!(
            events.abort(attempt(2)) && events.lease_decided(key("a"), 2, Some(S)).is_none(),
            "cancelled before it was sent"
        );
        events.answered(WaiterId(1), Answer::Refused(Refusal::NotStarted, None));
        assert!(matches!(events.steps.back(), Some(Step::Ended { outcome: Outcome::Refused, .. })));
        // Once an attempt may have run, a refusal by the engine is not journaled as one.
        events.accept((0, 0), call(2, "b", 0));
        events.replication_result(key("b"), true);
        events.decide_send((0, 3 * S), attempt(3), &call(2, "b", 0).identity, "w");
        events.lease_decided(key("b"), 0, Some(S));
        events.attempt_ended(attempt(3), &AttemptEnd::from_code(Code::Reset));
        events.answered(WaiterId(2), Answer::Failed(Failure::MayHaveRun));
        assert!(matches!(events.steps.back(), Some(Step::Ended { outcome: Outcome::Failed, .. })));
    }

    #[test]
    fn repeats_of_events_ended_elsewhere_get_their_outcome_until_evicted() {
        let mut events = new_events(UnreplicatedPolicy::Refuse, Repeat::Unsafe);
        for (id, outcome) in [("x", Outcome::Refused), ("a", Outcome::Failed), ("b", Outcome::Failed)] {
            events.ended_elsewhere(key(id), outcome, &[], 0);
        }
        let answer = |events: &mut ReplicatedEvents, id| match events.accept((0, 0), call(9, id, 0)) {
            AcceptOutcome::Answer(_, answer) => Some(answer),
            _ => None,
        };
        assert_eq!(answer(&mut events, "a"), Some(Answer::Failed(Failure::MayHaveRun)));
        assert_eq!(answer(&mut events, "x"), None, "remembered beyond the limit");
    }

    #[test]
    fn events_taken_over_are_not_sent_any_more_and_are_evicted_later() {
        let mut events = new_events(UnreplicatedPolicy::Refuse, Repeat::Unsafe);
        events.accept((0, 0), call(1, "a", 0));
        events.replication_result(key("a"), true);
        let identity = call(1, "a", 0).identity;
        events.decide_send((0, 3 * S), attempt(0), &identity, "w");
        assert!(matches!(events.taken_over(key("a"))[..], [Action::Withhold(id)] if id == attempt(0)));
        assert_eq!(events.decide_send((0, 3 * S), attempt(1), &identity, "w"), SendDecision::Never);
        let failed = |accept| matches!(accept, AcceptOutcome::Answer(_, Answer::Failed(Failure::MayHaveRun)));
        assert!(failed(events.accept((0, 0), call(2, "a", 0))));
        events.wake(8 * S + CLOSE_AFTER_US);
        assert!(failed(events.accept((9 * S, 0), call(3, "a", 0))));
        for id in ["b", "c"] {
            assert!(events.ended_elsewhere(key(id), Outcome::Failed, &[], 9 * S).is_empty());
        }
        assert!(
            matches!(events.accept((9 * S, 0), call(4, "a", 0)), AcceptOutcome::Waiting),
            "remembered beyond the limit"
        );
    }

    #[test]
    fn a_stalled_control_thread_bounds_the_waiting_events() {
        let mut events = new_events(UnreplicatedPolicy::Refuse, Repeat::Safe);
        let mut waits = |n: usize| {
            matches!(events.accept((0, 0), call(n as u64, &n.to_string(), 0)), AcceptOutcome::Waiting)
        };
        assert_eq!((0..MAX_QUEUED_STEPS + 100).filter(|n| waits(*n)).count(), MAX_QUEUED_STEPS);
    }
}
