//! Calls that this loop hands over to another loop of the process, which owns their event.
//!
//! An event has one owner, whichever loop receives it, so that all its repeats are detected in one place. The
//! loop with the client's connection watches the client's deadline and answers by then, whatever the owner
//! does.

use crate::{Answer, Failure, Refusal, WaiterId};
use basaltward::{Micros, Repeat};
use basaltward_timers::Timers;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// Part of the client's time that is reserved for passing the answer between the loops and for writing it.
const HANDOFF_MARGIN_US: Micros = 1_000;
/// Size of the filter of one span of [`SeenEvents`]: with 10,000 events in it, one in a hundred new events is
/// taken for a repeat.
const FILTER_BITS: u64 = 1 << 20;

const PENDING: u8 = 0;
const TAKEN: u8 = 1;
const WITHDRAWN: u8 = 2;

/// Shared flag that decides whether the owner took a call or the loop that handed it over withdrew it. Exactly
/// one of them succeeds.
#[derive(Clone, Debug)]
pub struct Claim(Arc<AtomicU8>);

impl Claim {
    fn resolve(&self, outcome: u8) -> bool {
        self.0.compare_exchange(PENDING, outcome, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Takes the call for the owner. False if it was withdrawn before; the owner must not begin it then.
    pub fn take(&self) -> bool {
        self.resolve(TAKEN)
    }
}

/// Set of the keyed and unsafe events that any loop of the process has received recently. It is shared by all
/// loops and never blocks.
///
/// Implemented as three bitmaps, each for one span of time; the oldest is cleared and used again. Errors go
/// one way only: a new event may be taken for a recent one, but a recent event is never taken for a new one,
/// even if the loop that clears a bitmap is late by a span.
#[derive(Debug)]
pub struct SeenEvents {
    span: Micros,
    /// Number of the current span.
    epoch: AtomicU64,
    /// Held by the loop that clears old bitmaps.
    rotation: Mutex<()>,
    bits: [Box<[AtomicU64]>; 3],
}

impl SeenEvents {
    /// Creates an empty set that remembers each event for at least `span`.
    pub fn new(span: Micros) -> Self {
        let bits = || (0..FILTER_BITS / 64).map(|_| AtomicU64::new(0)).collect();
        let bits = [bits(), bits(), bits()];
        Self { span: span.max(1), epoch: AtomicU64::new(0), rotation: Mutex::new(()), bits }
    }

    /// Whether an event with this hash may have been received recently.
    pub fn may_contain(&self, hash: u64) -> bool {
        let current = self.epoch.load(Ordering::Acquire);
        let (word, bit) = ((hash % FILTER_BITS / 64) as usize, 1 << (hash % 64));
        (0..3).any(|offset| self.bits_of(current + offset)[word].load(Ordering::Acquire) & bit != 0)
    }

    /// Records an event by its hash. True if it may have been received before.
    pub fn record(&self, now: Micros, hash: u64) -> bool {
        let epoch = now / self.span;
        let mut current = self.epoch.load(Ordering::Acquire);
        // If another loop is clearing bitmaps, this one goes on with the current span.
        if epoch > current
            && let Ok(_guard) = self.rotation.try_lock()
        {
            current = self.epoch.load(Ordering::Acquire);
            for next in (current + 1..=epoch).rev().take(3) {
                self.bits_of(next).iter().for_each(|word| word.store(0, Ordering::Relaxed));
            }
            current = current.max(epoch);
            self.epoch.store(current, Ordering::Release);
        }
        let (word, bit) = ((hash % FILTER_BITS / 64) as usize, 1 << (hash % 64));
        let marked = self.bits_of(current)[word].fetch_or(bit, Ordering::AcqRel) & bit != 0;
        marked || (1..3).any(|offset| self.bits_of(current + offset)[word].load(Ordering::Acquire) & bit != 0)
    }

    fn bits_of(&self, epoch: u64) -> &[AtomicU64] {
        &self.bits[(epoch % 3) as usize]
    }
}

struct Handoff {
    /// The loop that owns the call.
    owner: usize,
    answer_by: Micros,
    claim: Claim,
    untaken_answer: UntakenAnswer,
}

/// The answer to a call that its owner never took. A refusal states that trying again is harmless, which holds
/// only for an event that can't have run or that may safely run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UntakenAnswer {
    /// The event never ran, or may safely run again: refuse.
    Refuse,
    /// The event may repeat one that ran, which only its owner can determine: fail.
    Fail,
}

impl UntakenAnswer {
    /// Chooses by what the class allows and by whether the event may have been received before.
    pub fn for_event(repeat: Repeat, seen_before: bool) -> Self {
        if seen_before && repeat != Repeat::Safe { Self::Fail } else { Self::Refuse }
    }

    /// The answer to the client.
    pub fn answer<R>(self) -> Answer<R> {
        match self {
            Self::Refuse => Answer::Refused(Refusal::TooManyInFlight, None),
            Self::Fail => Answer::Failed(Failure::MayHaveRun),
        }
    }
}

/// The calls that this loop handed over and whose answers it awaits, with their deadlines.
pub struct Handoffs {
    max: usize,
    calls: HashMap<WaiterId, Handoff>,
    due: Timers<WaiterId>,
}

impl Handoffs {
    /// Creates an empty table for at most `max` calls.
    pub fn new(max: usize) -> Self {
        Self { max, calls: HashMap::new(), due: Timers::default() }
    }

    /// Number of awaited answers.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no answer is awaited.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// When to call [`Handoffs::expire`] next, for a loop whose recent lateness is `lateness`.
    pub fn next_due(&self, lateness: Micros) -> Option<Micros> {
        self.due.next_due().map(|at| at.saturating_sub(lateness))
    }

    /// Hands a call over to its `owner` at time `now`. Returns the claim and the deadline to pass to the owner.
    ///
    /// Returns `None` if the maximum number of calls is handed over already, or if this loop, with its recent
    /// `lateness`, would have to answer the client at once.
    pub fn hand_over(
        &mut self,
        (now, lateness): (Micros, Micros),
        waiter: WaiterId,
        owner: usize,
        deadline: Micros,
        untaken_answer: UntakenAnswer,
    ) -> Option<(Claim, Micros)> {
        let answer_by = deadline.saturating_sub(HANDOFF_MARGIN_US);
        if self.calls.len() >= self.max || answer_by <= now + lateness {
            return None;
        }
        let claim = Claim(Arc::new(AtomicU8::new(PENDING)));
        self.calls.insert(waiter, Handoff { owner, answer_by, claim: claim.clone(), untaken_answer });
        self.due.set(answer_by, waiter);
        Some((claim, answer_by.saturating_sub(lateness)))
    }

    /// Records that the owner's answer has arrived. False if the client doesn't wait for it any more.
    pub fn answered(&mut self, waiter: WaiterId) -> bool {
        self.calls.remove(&waiter).is_some()
    }

    /// Records that the client has left. Returns the owner, which has to be notified, or `None` if the call is
    /// not handed over.
    pub fn client_left(&mut self, waiter: WaiterId) -> Option<usize> {
        let call = self.calls.remove(&waiter)?;
        call.claim.resolve(WITHDRAWN);
        Some(call.owner)
    }

    /// Removes a client whose time has run out without an answer. Returns the client, the answer to give it,
    /// and the owner, which has to be notified that the client has left.
    pub fn expire<R>(&mut self, now: Micros, lateness: Micros) -> Option<(WaiterId, Answer<R>, usize)> {
        while let Some((_, waiter)) = self.due.pop_due(now + lateness) {
            let Some(call) = self.calls.get(&waiter).filter(|call| call.answer_by <= now + lateness) else {
                continue;
            };
            // Withdrawn before the owner took it, the call never ran; otherwise it may have run.
            let answer = match call.claim.resolve(WITHDRAWN) {
                true => call.untaken_answer.answer(),
                false => Answer::Failed(Failure::Deadline),
            };
            let owner = call.owner;
            self.calls.remove(&waiter);
            return Some((waiter, answer, owner));
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    #[test]
    fn a_call_is_taken_or_withdrawn_never_both() {
        let mut handed = Handoffs::new(2);
        let (late, taken) = (WaiterId(1), WaiterId(2));
        let (first, answer_by) =
            handed.hand_over((0, 3_000), late, 1, 10 * S, UntakenAnswer::Refuse).expect("handed over");
        assert_eq!(answer_by, 10 * S - 4_000);
        let (second, _) =
            handed.hand_over((0, 0), taken, 2, 10 * S, UntakenAnswer::Refuse).expect("handed over");
        assert!(handed.hand_over((0, 0), WaiterId(3), 1, 10 * S, UntakenAnswer::Refuse).is_none());
        assert!(second.take() && !second.take());
        assert!(handed.expire::<()>(9 * S, 0).is_none());
        // A loop that is late by a second answers its clients a second early.
        let answers: Vec<_> = std::iter::from_fn(|| handed.expire::<()>(9 * S, S)).collect();
        let refused = (late, Answer::Refused(Refusal::TooManyInFlight, None), 1);
        assert_eq!(answers, [refused, (taken, Answer::Failed(Failure::Deadline), 2)]);
        assert!(!first.take(), "withdrawn");
        assert!(!handed.answered(late) && handed.is_empty());
        // A loop that is late by more than the client's patience hands nothing over, as it could not answer in time.
        assert!(handed.hand_over((9 * S, S), late, 1, 10 * S, UntakenAnswer::Refuse).is_none());
    }

    #[test]
    fn untaken_new_events_are_refused_and_possible_repeats_fail() {
        let keyed = Repeat::Keyed { group: basaltward::Group::All, window: 1 };
        let table = [
            (Repeat::Safe, true, UntakenAnswer::Refuse),
            (keyed, true, UntakenAnswer::Fail),
            (Repeat::Unsafe, true, UntakenAnswer::Fail),
            (Repeat::Unsafe, false, UntakenAnswer::Refuse),
        ];
        assert!(
            table
                .iter()
                .all(|(repeat, known, expected)| UntakenAnswer::for_event(*repeat, *known) == *expected)
        );
    }

    #[test]
    fn an_event_is_remembered_for_a_span_at_least_and_then_forgotten() {
        let seen = SeenEvents::new(10 * S);
        assert!(!seen.may_contain(77) && !seen.record(0, 77) && seen.may_contain(77));
        assert!(seen.record(9 * S, 77) && seen.record(10 * S, 77));
        assert!(!seen.record(19 * S, 78));
        assert!(seen.record(29 * S, 78), "recorded ten seconds ago, in the span before");
        assert!(!seen.record(70 * S, 78), "recorded several spans ago");
    }

    #[test]
    fn an_event_recorded_while_another_loop_clears_bitmaps_is_remembered_as_long() {
        let seen = SeenEvents::new(10 * S);
        assert!(!seen.record(S, 1));
        let rotation = seen.rotation.lock().expect("not poisoned");
        // Doesn't wait for the lock: the current span stays.
        assert!(!seen.record(19 * S, 79));
        drop(rotation);
        assert!(!seen.record(20 * S, 80));
        assert!(seen.record(29 * S, 79));
    }
}
