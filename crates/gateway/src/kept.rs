//! One loop's part in kept events: a call of a kept class goes to the engine once its entry is held by gateways of other
//! sites, an attempt leaves once that is held too and, where it must not run twice, under a lease. Free of I/O: calls,
//! attempts and words of the control thread in, what may go on out.

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

/// An entry that is not held by then, as a share of what is left of the client's time, counts as not held.
const HELD_SHARE: Micros = 4;
/// Steps that wait for the control thread; with more, as it stands still, no new event is written.
const MOST_STEPS: usize = 4_096;
/// A repeat of an event that another gateway sees to is to come again after this.
const ELSEWHERE_US: Micros = 1_000_000;
/// An event that its deadline has passed by so much is closed, if nothing else did.
const CLOSE_US: Micros = 1_000_000;

/// What becomes of a call of a kept class.
pub enum Accept {
    /// It goes on.
    Go(NewCall<Event>),
    /// It waits for its entry.
    Waits,
    /// It is answered at once.
    Answer(WaiterId, Answer<Reply>),
}

/// What follows for the loop.
pub enum Then {
    /// A call goes on.
    Go(NewCall<Event>),
    /// A client is answered.
    Answer(WaiterId, Answer<Reply>),
    /// An attempt may leave before this time.
    Leave(AttemptId, Micros),
    /// An attempt does not leave: it never ran.
    Stay(AttemptId),
}

/// Whether an attempt leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// At once.
    Leaves,
    /// Once it is known to be held.
    Waits,
    /// Not at all.
    Stays,
}

enum State {
    /// For its entry: calls that wait.
    Waits(Vec<NewCall<Event>>),
    /// It is held, and in the engine.
    Held,
    /// It goes on though nobody holds it, as its class says.
    Bare,
    /// Others see to it, as we were taken for lost.
    Lost,
    /// It has ended, and repeats are answered by the engine, or by this where another gateway ended it.
    Ended(Option<(Outcome, Option<Reply>)>),
}

struct Kept {
    state: State,
    class: usize,
    deadline: Micros,
    /// Attempts so far.
    sent: u32,
    /// One of them may have run.
    ran: bool,
    /// Nobody holds it.
    bare: bool,
    /// When its entry counts as not held.
    until: Micros,
}

struct Parked {
    key: Key,
    number: u32,
}

/// See the module's page.
pub struct KeptEvents {
    classes: Vec<(Option<ReplicationConfig>, Repeat)>,
    entry_bytes: usize,
    events: HashMap<Key, Kept>,
    /// Attempts that wait to leave.
    parked: HashMap<AttemptId, Parked>,
    /// Attempts that are out.
    out: HashMap<AttemptId, Key>,
    waiters: HashMap<WaiterId, Key>,
    due: Timers<Key>,
    /// When a parked attempt is of no more use.
    stale: Timers<AttemptId>,
    /// Ended, oldest first, up to a bound.
    ended: VecDeque<Key>,
    most_ended: usize,
    /// For the control thread, in order.
    pub steps: VecDeque<Step>,
}

fn again(repeat: Repeat) -> RepeatSafety {
    match repeat {
        Repeat::Safe => RepeatSafety::Safe,
        // Workers of another site share no memory of keys but where all do.
        Repeat::Keyed { group: Group::All, window } => RepeatSafety::Keyed { window },
        Repeat::Keyed { .. } | Repeat::Unsafe => RepeatSafety::Unsafe,
    }
}

impl KeptEvents {
    /// None yet; nothing where no class keeps its events.
    pub fn new(
        classes: Vec<(Option<ReplicationConfig>, Repeat)>,
        entry_bytes: usize,
        most_ended: usize,
    ) -> Option<Self> {
        classes.iter().any(|(kept, _)| kept.is_some()).then(|| Self {
            classes,
            entry_bytes,
            events: HashMap::new(),
            parked: HashMap::new(),
            out: HashMap::new(),
            waiters: HashMap::new(),
            due: Timers::default(),
            stale: Timers::default(),
            ended: VecDeque::new(),
            most_ended,
            steps: VecDeque::new(),
        })
    }

    /// Whether a class keeps its events.
    pub fn keeps(&self, class: usize) -> bool {
        self.classes.get(class).is_some_and(|(kept, _)| kept.is_some())
    }

    /// When [`KeptEvents::wake`] is due next.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.next_due().into_iter().chain(self.stale.next_due()).min()
    }

    fn refusal(class: &ReplicationConfig) -> Option<Answer<Reply>> {
        (class.unreplicated == UnreplicatedPolicy::Refuse)
            .then_some(Answer::Refused(Refusal::NotReplicated, None))
    }

    /// A call that this loop owns. `wall` is the wall clock in milliseconds.
    pub fn accept(&mut self, (now, wall): (Micros, u64), call: NewCall<Event>) -> Accept {
        let class = call.function.class;
        let Some((Some(kept), repeat)) = self.classes.get(class).copied() else { return Accept::Go(call) };
        let key = Key(digest(&call.identity));
        if let Some(event) = self.events.get_mut(&key) {
            match &mut event.state {
                State::Waits(calls) => {
                    calls.push(call);
                    return Accept::Waits;
                }
                State::Ended(Some((outcome, reply))) => {
                    let answer = match (outcome, reply) {
                        (Outcome::Served, Some(reply)) => Answer::Served(reply.clone()),
                        (Outcome::Refused, _) => Answer::Refused(Refusal::NotStarted, None),
                        _ => Answer::Failed(Failure::MayHaveRun),
                    };
                    return Accept::Answer(call.waiter, answer);
                }
                State::Lost => return Accept::Answer(call.waiter, Answer::Failed(Failure::MayHaveRun)),
                State::Held | State::Bare | State::Ended(None) => {
                    self.waiters.insert(call.waiter, key);
                    return Accept::Go(call);
                }
            }
        }
        let mut event = Vec::new();
        to_json(&call.payload, &mut event);
        let long = event.len() + call.function.name.as_str().len() > self.entry_bytes;
        let waits = !long && self.steps.len() < MOST_STEPS;
        if let Some(answer) = Self::refusal(&kept).filter(|_| !waits) {
            return Accept::Answer(call.waiter, answer);
        }
        let deadline = call.deadline;
        let until = now + deadline.saturating_sub(now) / HELD_SHARE;
        let state = if waits { State::Waits(Vec::new()) } else { State::Bare };
        self.due.set(if waits { until } else { deadline + CLOSE_US }, key);
        self.events.insert(key, Kept { state, class, deadline, sent: 0, ran: false, bare: !waits, until });
        if !waits {
            self.waiters.insert(call.waiter, key);
            return Accept::Go(call);
        }
        self.steps.push_back(Step::Accepted(Accepted {
            key,
            class: class as u16,
            tenant: call.identity.tenant as u16,
            function: call.function.name.to_string(),
            repeat_safety: again(repeat),
            finish_without_client: kept.finish_without_client,
            deadline: wall + deadline.saturating_sub(now) / 1_000,
            event,
        }));
        if let Some(Kept { state: State::Waits(calls), .. }) = self.events.get_mut(&key) {
            calls.push(call);
        }
        Accept::Waits
    }

    /// Gateways of other sites hold an event's entry, or do not.
    pub fn held(&mut self, key: Key, held: bool) -> Vec<Then> {
        let Some(event) = self.events.get_mut(&key) else { return Vec::new() };
        let State::Waits(calls) = &mut event.state else { return Vec::new() };
        let calls = std::mem::take(calls);
        let answer = self.classes[event.class].0.and_then(|kept| Self::refusal(&kept)).filter(|_| !held);
        if let Some(answer) = answer {
            self.end(key, Outcome::Refused, Vec::new());
            self.events.remove(&key);
            return calls.into_iter().map(|call| Then::Answer(call.waiter, answer.clone())).collect();
        }
        event.state = if held { State::Held } else { State::Bare };
        event.bare = !held;
        self.due.set(event.deadline + CLOSE_US, key);
        self.waiters.extend(calls.iter().map(|call| (call.waiter, key)));
        calls.into_iter().map(Then::Go).collect()
    }

    /// An attempt is to go to a worker, and is of no more use after `until`.
    pub fn start(
        &mut self,
        (wall, until): (u64, Micros),
        attempt: AttemptId,
        identity: &Identity,
        worker: &str,
    ) -> Start {
        let key = Key(digest(identity));
        let Some(event) = self.events.get_mut(&key) else { return Start::Leaves };
        let free = self.classes[event.class].1 == Repeat::Safe;
        match event.state {
            State::Held => {
                let number = event.sent;
                event.sent += 1;
                self.parked.insert(attempt, Parked { key, number });
                self.stale.set(until, attempt);
                self.steps.push_back(Step::Sending { key, attempt: number, worker: worker.into(), at: wall });
                Start::Waits
            }
            State::Bare => {
                event.sent += 1;
                self.out.insert(attempt, key);
                Start::Leaves
            }
            State::Ended(_) if free => Start::Leaves,
            State::Ended(_) | State::Lost | State::Waits(_) => Start::Stays,
        }
    }

    /// What was pending here is others' now: gives what had not left.
    pub fn lost(&mut self, key: Key) -> Vec<Then> {
        let mut then = self.held(key, false);
        if let Some(event) = self.events.get_mut(&key).filter(|e| !matches!(e.state, State::Ended(_))) {
            event.state = State::Lost;
        }
        let parked: Vec<_> = self.parked.iter().filter(|(_, p)| p.key == key).map(|(id, _)| *id).collect();
        then.extend(parked.into_iter().filter(|id| self.abort(*id)).map(Then::Stay));
        then
    }

    /// Another gateway sees to an event of this name: those who wait for it here come again later.
    pub fn elsewhere(&mut self, key: Key) -> Vec<Then> {
        if !matches!(self.events.get(&key), Some(Kept { state: State::Waits(_), .. })) {
            return Vec::new();
        }
        let Some(Kept { state: State::Waits(calls), .. }) = self.events.remove(&key) else {
            return Vec::new();
        };
        let refused = |call: NewCall<Event>| {
            Then::Answer(call.waiter, Answer::Refused(Refusal::TooManyInFlight, Some(ELSEWHERE_US)))
        };
        calls.into_iter().map(refused).collect()
    }

    /// An attempt may leave before `until`, or may not.
    pub fn may(&mut self, key: Key, number: u32, until: Option<Micros>) -> Option<Then> {
        let named = |(_, parked): &(&AttemptId, &Parked)| (parked.key, parked.number) == (key, number);
        let attempt = *self.parked.iter().find(named)?.0;
        self.parked.remove(&attempt);
        Some(match until {
            Some(until) => {
                self.out.insert(attempt, key);
                Then::Leave(attempt, until)
            }
            None => Then::Stay(attempt),
        })
    }

    /// An attempt is called off: true where it had not left.
    pub fn abort(&mut self, attempt: AttemptId) -> bool {
        self.parked.remove(&attempt).is_some()
    }

    /// An attempt has ended.
    pub fn attempt_ended(&mut self, attempt: AttemptId, end: &AttemptEnd<Reply>) {
        let Some(key) = self.out.remove(&attempt) else { return };
        let Some(event) = self.events.get_mut(&key) else { return };
        event.ran |= !end.code.never_ran();
        if let Some(reply) = &end.reply {
            let mut answer = Vec::new();
            to_json(&reply.0, &mut answer);
            answer.truncate(if answer.len() > self.entry_bytes { 0 } else { answer.len() });
            self.end(key, Outcome::Served, answer);
        }
    }

    /// The engine's answer to a client, as it is given: one that nobody held says so.
    pub fn answered(&mut self, waiter: WaiterId, answer: Answer<Reply>) -> Answer<Reply> {
        let Some(key) = self.waiters.remove(&waiter) else { return answer };
        let Some(event) = self.events.get(&key) else { return answer };
        let (bare, unsafe_ran) = (event.bare, event.ran && self.classes[event.class].1 == Repeat::Unsafe);
        match answer {
            // Its end was written when the attempt ended.
            Answer::Served(reply) if bare => {
                let told = Attribute::Boolean(false);
                return Answer::Served(Reply(Arc::new(Event::clone(&reply.0).with(KEPT, told))));
            }
            Answer::Served(_) => {}
            Answer::Refused(..) if !unsafe_ran => self.end(key, Outcome::Refused, Vec::new()),
            Answer::Refused(..) | Answer::Failed(_) => self.end(key, Outcome::Failed, Vec::new()),
        }
        answer
    }

    /// A client has left. One whose call waits for its entry takes it along where no other waits with it.
    pub fn left(&mut self, waiter: WaiterId) {
        if self.waiters.remove(&waiter).is_some() {
            return;
        }
        let mut empty = None;
        for (key, event) in &mut self.events {
            if let State::Waits(calls) = &mut event.state {
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

    /// An event of a lost site was ended by its heirs: repeats are told so, those that wait here at once.
    pub fn told(&mut self, key: Key, outcome: Outcome, answer: &[u8], now: Micros) -> Vec<Then> {
        let reply = from_json(answer).ok().map(|event| Reply(Arc::new(event)));
        let state = State::Ended(Some((outcome, reply)));
        let known = Kept { state, class: 0, deadline: now, sent: 0, ran: true, bare: false, until: now };
        let calls = match self.events.get_mut(&key).map(|event| &mut event.state) {
            None | Some(State::Ended(_) | State::Lost) => Vec::new(),
            Some(State::Waits(calls)) => std::mem::take(calls),
            Some(State::Held | State::Bare) => return Vec::new(),
        };
        self.events.insert(key, known);
        self.forget_oldest(key);
        let again: Vec<_> = calls.into_iter().map(|call| self.accept((now, 0), call)).collect();
        let answers = again.into_iter().filter_map(|accept| match accept {
            Accept::Answer(waiter, answer) => Some(Then::Answer(waiter, answer)),
            Accept::Go(_) | Accept::Waits => None,
        });
        answers.collect()
    }

    /// An event of a lost site that was to be done here can't be: its journal is told.
    pub fn gives_up(&mut self, key: Key) {
        self.steps.push_back(Step::Ended { key, outcome: Outcome::Refused, answer: Vec::new() });
    }

    fn end(&mut self, key: Key, outcome: Outcome, answer: Vec<u8>) {
        let Some(event) = self.events.get_mut(&key) else { return };
        match event.state {
            State::Ended(_) => return,
            State::Bare | State::Lost => {}
            State::Held | State::Waits(_) => {
                self.steps.push_back(Step::Ended { key, outcome, answer });
            }
        }
        event.state = State::Ended(None);
        self.forget_oldest(key);
    }

    fn forget_oldest(&mut self, key: Key) {
        self.ended.push_back(key);
        while self.ended.len() > self.most_ended {
            let Some(oldest) = self.ended.pop_front() else { return };
            if self.events.get(&oldest).is_some_and(|event| matches!(event.state, State::Ended(_))) {
                self.events.remove(&oldest);
            }
        }
    }

    /// Entries that were not held in time, and events that nothing else closed.
    pub fn wake(&mut self, now: Micros) -> Vec<Then> {
        let mut then = Vec::new();
        while let Some((_, attempt)) = self.stale.pop_due(now) {
            then.extend(self.abort(attempt).then_some(Then::Stay(attempt)));
        }
        while let Some((_, key)) = self.due.pop_due(now) {
            let Some(event) = self.events.get(&key) else { continue };
            match event.state {
                // A timer of an earlier call of this name may come first.
                State::Waits(_) if now >= event.until => then.extend(self.held(key, false)),
                // Whoever sees to it has closed it by now.
                State::Lost if now >= event.deadline + CLOSE_US => {
                    self.events.entry(key).and_modify(|event| {
                        event.state = State::Ended(Some((Outcome::Failed, None)));
                    });
                    self.forget_oldest(key);
                }
                State::Held | State::Bare if now >= event.deadline + CLOSE_US => {
                    let outcome = if event.ran { Outcome::Failed } else { Outcome::Refused };
                    self.end(key, outcome, Vec::new());
                }
                _ => {}
            }
        }
        then
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use basaltward::{Code, RequestId};
    use basaltward_engine::Function;

    const S: Micros = 1_000_000;

    fn events(unheld: UnreplicatedPolicy, repeat: Repeat) -> KeptEvents {
        let kept = ReplicationConfig { holders: 1, unreplicated: unheld, finish_without_client: false };
        KeptEvents::new(vec![(Some(kept), repeat), (None, Repeat::Safe)], 1_000, 2).expect("a class keeps")
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

    fn went(then: Vec<Then>) -> Vec<u64> {
        then.iter().filter_map(|t| if let Then::Go(call) = t { Some(call.waiter.0) } else { None }).collect()
    }

    fn served() -> AttemptEnd<Reply> {
        AttemptEnd {
            reply: Some(Reply(Arc::new(Event::new("r", "/w", "t")))),
            ..AttemptEnd::from_code(Code::Ok)
        }
    }

    #[test]
    fn a_call_and_its_repeats_go_on_once_it_is_held_and_each_step_is_told_once() {
        let mut kept = events(UnreplicatedPolicy::Refuse, Repeat::Unsafe);
        assert!(matches!(kept.accept((0, 0), call(1, "a", 0)), Accept::Waits));
        assert!(matches!(kept.accept((0, 0), call(2, "a", 0)), Accept::Waits));
        assert!(matches!(kept.accept((0, 0), call(3, "b", 1)), Accept::Go(_)), "its class keeps nothing");
        assert_eq!(kept.steps.len(), 1);
        assert_eq!(went(kept.held(key("a"), true)), [1, 2]);
        assert!(went(kept.held(key("a"), true)).is_empty(), "told twice");
        let identity = call(1, "a", 0).identity;
        let start = kept.start((5, 8 * S), attempt(0), &identity, "w");
        assert_eq!(start, Start::Waits, "left before it was known to be held");
        assert!(kept.may(key("a"), 1, Some(S)).is_none(), "the word for another attempt");
        assert!(matches!(kept.may(key("a"), 0, Some(S)), Some(Then::Leave(id, S)) if id == attempt(0)));
        kept.attempt_ended(attempt(0), &served());
        kept.attempt_ended(attempt(0), &served());
        let ended = kept.steps.iter().filter(|step| matches!(step, Step::Ended { .. })).count();
        assert_eq!((kept.steps.len(), ended), (3, 1));
    }

    #[test]
    fn what_is_not_held_in_time_is_refused_or_goes_on_and_says_so() {
        let mut kept = events(UnreplicatedPolicy::Refuse, Repeat::Safe);
        kept.accept((0, 0), call(1, "a", 0));
        assert!(kept.wake(2 * S - 1).is_empty());
        let then = kept.wake(2 * S);
        let unkept = Answer::Refused(Refusal::NotReplicated, None);
        assert!(matches!(&then[..], [Then::Answer(WaiterId(1), answer)] if *answer == unkept));
        assert!(matches!(kept.steps.back(), Some(Step::Ended { outcome: Outcome::Refused, .. })));

        let mut kept = events(UnreplicatedPolicy::Continue, Repeat::Safe);
        kept.accept((0, 0), call(1, "a", 0));
        assert_eq!(went(kept.held(key("a"), false)), [1]);
        let start = kept.start((0, S), attempt(0), &call(1, "a", 0).identity, "w");
        assert_eq!(start, Start::Leaves, "it waits for nobody");
        let Some(reply) = served().reply else { return };
        let Answer::Served(told) = kept.answered(WaiterId(1), Answer::Served(reply)) else {
            panic!("served")
        };
        assert_eq!(told.0.extension(KEPT), Some(&Attribute::Boolean(false)));
    }

    #[test]
    fn an_attempt_that_never_left_is_known_not_to_have_run() {
        let mut kept = events(UnreplicatedPolicy::Refuse, Repeat::Unsafe);
        kept.accept((0, 0), call(1, "a", 0));
        kept.held(key("a"), true);
        let identity = call(1, "a", 0).identity;
        kept.start((0, 3 * S), attempt(0), &identity, "w");
        assert!(matches!(kept.may(key("a"), 0, None), Some(Then::Stay(_))), "no lease");
        kept.start((0, 3 * S), attempt(1), &identity, "w");
        assert!(
            matches!(kept.wake(3 * S)[..], [Then::Stay(id)] if id == attempt(1)),
            "the control thread is silent"
        );
        kept.start((0, 3 * S), attempt(2), &identity, "w");
        assert!(kept.abort(attempt(2)) && kept.may(key("a"), 2, Some(S)).is_none(), "called off");
        kept.answered(WaiterId(1), Answer::Refused(Refusal::NotStarted, None));
        assert!(matches!(kept.steps.back(), Some(Step::Ended { outcome: Outcome::Refused, .. })));
        // Where one may have run, a refusal by the engine is not told to heirs as one.
        kept.accept((0, 0), call(2, "b", 0));
        kept.held(key("b"), true);
        kept.start((0, 3 * S), attempt(3), &call(2, "b", 0).identity, "w");
        kept.may(key("b"), 0, Some(S));
        kept.attempt_ended(attempt(3), &AttemptEnd::from_code(Code::Reset));
        kept.answered(WaiterId(2), Answer::Failed(Failure::MayHaveRun));
        assert!(matches!(kept.steps.back(), Some(Step::Ended { outcome: Outcome::Failed, .. })));
    }

    #[test]
    fn a_repeat_of_an_event_that_heirs_ended_is_told_how_and_old_ends_are_forgotten() {
        let mut kept = events(UnreplicatedPolicy::Refuse, Repeat::Unsafe);
        for (id, outcome) in [("x", Outcome::Refused), ("a", Outcome::Failed), ("b", Outcome::Failed)] {
            kept.told(key(id), outcome, &[], 0);
        }
        let answer = |kept: &mut KeptEvents, id| match kept.accept((0, 0), call(9, id, 0)) {
            Accept::Answer(_, answer) => Some(answer),
            _ => None,
        };
        assert_eq!(answer(&mut kept, "a"), Some(Answer::Failed(Failure::MayHaveRun)));
        assert_eq!(answer(&mut kept, "x"), None, "past the bound");
    }

    #[test]
    fn what_others_see_to_does_not_leave_any_more_and_is_forgotten_after_its_time() {
        let mut kept = events(UnreplicatedPolicy::Refuse, Repeat::Unsafe);
        kept.accept((0, 0), call(1, "a", 0));
        kept.held(key("a"), true);
        let identity = call(1, "a", 0).identity;
        kept.start((0, 3 * S), attempt(0), &identity, "w");
        assert!(matches!(kept.lost(key("a"))[..], [Then::Stay(id)] if id == attempt(0)));
        assert_eq!(kept.start((0, 3 * S), attempt(1), &identity, "w"), Start::Stays);
        let failed = |accept| matches!(accept, Accept::Answer(_, Answer::Failed(Failure::MayHaveRun)));
        assert!(failed(kept.accept((0, 0), call(2, "a", 0))));
        kept.wake(8 * S + CLOSE_US);
        assert!(failed(kept.accept((9 * S, 0), call(3, "a", 0))));
        for id in ["b", "c"] {
            assert!(kept.told(key(id), Outcome::Failed, &[], 9 * S).is_empty());
        }
        assert!(matches!(kept.accept((9 * S, 0), call(4, "a", 0)), Accept::Waits), "past the bound");
    }

    #[test]
    fn a_control_thread_that_stands_still_bounds_what_waits() {
        let mut kept = events(UnreplicatedPolicy::Refuse, Repeat::Safe);
        let mut waits =
            |n: usize| matches!(kept.accept((0, 0), call(n as u64, &n.to_string(), 0)), Accept::Waits);
        assert_eq!((0..MOST_STEPS + 100).filter(|n| waits(*n)).count(), MOST_STEPS);
    }
}
