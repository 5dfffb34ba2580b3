//! Calls of this loop's clients that another loop of the process owns. An event has one owner, whichever loop
//! hears of it, so that its repeats meet in one place; the loop that has the connection keeps the client's
//! time and answers at the latest when that is up, whatever became of the owner.

use crate::{Answer, Failure, Refusal, WaiterId};
use basaltward::{Micros, Repeat};
use basaltward_timers::Timers;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// Kept back of the client's time for the way between the loops and the last write.
const WAY_US: Micros = 1_000;
/// Bits of one span of [`Seen`]: at 10,000 events in it one in a hundred new ones is taken for a repeat.
const BITS: u64 = 1 << 20;

const HANDED: u8 = 0;
const TAKEN: u8 = 1;
const WITHDRAWN: u8 = 2;

/// Settles whether the owner took a call or the loop that handed it over withdrew it: one of them only.
#[derive(Clone, Debug)]
pub struct Claim(Arc<AtomicU8>);

impl Claim {
    fn settle(&self, how: u8) -> bool {
        self.0.compare_exchange(HANDED, how, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// The owner takes the call; false where it was withdrawn, and then nothing of it may be begun.
    pub fn take(&self) -> bool {
        self.settle(TAKEN)
    }
}

/// Keyed and unsafe events that any loop of the process has heard of lately, without a lock to wait for: bits
/// in three spans of time of which the oldest is cleared in turn. It errs on one side: a new event may be
/// taken for a known one, never a known one for new, even where the loop that clears is a span late.
#[derive(Debug)]
pub struct SeenEvents {
    span: Micros,
    epoch: AtomicU64,
    turning: Mutex<()>,
    bits: [Box<[AtomicU64]>; 3],
}

impl SeenEvents {
    /// Nothing heard yet; each event is known for at least `span`.
    pub fn new(span: Micros) -> Self {
        let bits = || (0..BITS / 64).map(|_| AtomicU64::new(0)).collect();
        let bits = [bits(), bits(), bits()];
        Self { span: span.max(1), epoch: AtomicU64::new(0), turning: Mutex::new(()), bits }
    }

    /// Whether an event may have been heard of, by its hash.
    pub fn may_contain(&self, hash: u64) -> bool {
        let known = self.epoch.load(Ordering::Acquire);
        let (word, bit) = ((hash % BITS / 64) as usize, 1 << (hash % 64));
        (0..3).any(|before| self.at(known + before)[word].load(Ordering::Acquire) & bit != 0)
    }

    /// Takes note of an event, by its hash; true where it may have been heard of before.
    pub fn mark(&self, now: Micros, hash: u64) -> bool {
        let epoch = now / self.span;
        let mut known = self.epoch.load(Ordering::Acquire);
        // Who finds another at it goes on with the spans as they are.
        if epoch > known
            && let Ok(_turning) = self.turning.try_lock()
        {
            known = self.epoch.load(Ordering::Acquire);
            for next in (known + 1..=epoch).rev().take(3) {
                self.at(next).iter().for_each(|word| word.store(0, Ordering::Relaxed));
            }
            known = known.max(epoch);
            self.epoch.store(known, Ordering::Release);
        }
        let (word, bit) = ((hash % BITS / 64) as usize, 1 << (hash % 64));
        let marked = self.at(known)[word].fetch_or(bit, Ordering::AcqRel) & bit != 0;
        marked || (1..3).any(|before| self.at(known + before)[word].load(Ordering::Acquire) & bit != 0)
    }

    fn at(&self, epoch: u64) -> &[AtomicU64] {
        &self.bits[(epoch % 3) as usize]
    }
}

struct Handed {
    to: usize,
    by: Micros,
    claim: Claim,
    unheard: UntakenAnswer,
}

/// What a client is told of a call that its owner never took: a refusal says that trying again is harmless,
/// which is true of an event that nobody can have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UntakenAnswer {
    /// It never ran: refused.
    Refuse,
    /// It may be a repeat of one that ran, which only its owner could tell: failed.
    Fail,
}

impl UntakenAnswer {
    /// By what the class allows, and whether an event of this name may have been heard of before.
    pub fn for_event(repeat: Repeat, known: bool) -> Self {
        if known && repeat != Repeat::Safe { Self::Fail } else { Self::Refuse }
    }

    /// The answer.
    pub fn answer<R>(self) -> Answer<R> {
        match self {
            Self::Refuse => Answer::Refused(Refusal::TooManyInFlight, None),
            Self::Fail => Answer::Failed(Failure::MayHaveRun),
        }
    }
}

/// The calls that this loop handed over and whose answers it awaits.
pub struct Handoffs {
    most: usize,
    calls: HashMap<WaiterId, Handed>,
    due: Timers<WaiterId>,
}

impl Handoffs {
    /// None yet, and never more than `most`.
    pub fn new(most: usize) -> Self {
        Self { most, calls: HashMap::new(), due: Timers::default() }
    }

    /// How many are awaited.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether none is awaited.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// When [`HandedOver::wake`] is due next, for a loop that lately was late by `lateness`.
    pub fn next_due(&self, lateness: Micros) -> Option<Micros> {
        self.due.next_due().map(|at| at.saturating_sub(lateness))
    }

    /// A call goes to its owner: gives the claim that goes with it and the deadline that the owner is told;
    /// nothing where as many as may be are out, or where a loop that lately was late by `lateness` would have
    /// to answer by itself at once.
    pub fn hand_over(
        &mut self,
        (now, lateness): (Micros, Micros),
        waiter: WaiterId,
        to: usize,
        deadline: Micros,
        unheard: UntakenAnswer,
    ) -> Option<(Claim, Micros)> {
        let by = deadline.saturating_sub(WAY_US);
        if self.calls.len() >= self.most || by <= now + lateness {
            return None;
        }
        let claim = Claim(Arc::new(AtomicU8::new(HANDED)));
        self.calls.insert(waiter, Handed { to, by, claim: claim.clone(), unheard });
        self.due.set(by, waiter);
        Some((claim, by.saturating_sub(lateness)))
    }

    /// The owner's answer has come; false where nobody waits for it any more.
    pub fn answered(&mut self, waiter: WaiterId) -> bool {
        self.calls.remove(&waiter).is_some()
    }

    /// The client has left: gives the owner, which is to be told, where the call was handed over at all.
    pub fn client_left(&mut self, waiter: WaiterId) -> Option<usize> {
        let call = self.calls.remove(&waiter)?;
        call.claim.settle(WITHDRAWN);
        Some(call.to)
    }

    /// A client whose time is up without an answer: who, what it is told, and the owner, which learns that
    /// the client has left.
    pub fn expire<R>(&mut self, now: Micros, lateness: Micros) -> Option<(WaiterId, Answer<R>, usize)> {
        while let Some((_, waiter)) = self.due.pop_due(now + lateness) {
            let Some(call) = self.calls.get(&waiter).filter(|call| call.by <= now + lateness) else {
                continue;
            };
            // Withdrawn before the owner looked at it, it never ran; taken, it may.
            let answer = match call.claim.settle(WITHDRAWN) {
                true => call.unheard.answer(),
                false => Answer::Failed(Failure::Deadline),
            };
            let to = call.to;
            self.calls.remove(&waiter);
            return Some((waiter, answer, to));
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
        let (first, by) = handed.hand_over((0, 3_000), late, 1, 10 * S, UntakenAnswer::Refuse).expect("room");
        assert_eq!(by, 10 * S - 4_000);
        let (second, _) = handed.hand_over((0, 0), taken, 2, 10 * S, UntakenAnswer::Refuse).expect("room");
        assert!(handed.hand_over((0, 0), WaiterId(3), 1, 10 * S, UntakenAnswer::Refuse).is_none());
        assert!(second.take() && !second.take());
        assert!(handed.expire::<()>(9 * S, 0).is_none());
        // A loop that is late by a second sees to its clients a second early.
        let told: Vec<_> = std::iter::from_fn(|| handed.expire::<()>(9 * S, S)).collect();
        let refused = (late, Answer::Refused(Refusal::TooManyInFlight, None), 1);
        assert_eq!(told, [refused, (taken, Answer::Failed(Failure::Deadline), 2)]);
        assert!(!first.take(), "withdrawn");
        assert!(!handed.answered(late) && handed.is_empty());
        // A loop that was late by more than the client waits hands nothing over: it could not keep its word.
        assert!(handed.hand_over((9 * S, S), late, 1, 10 * S, UntakenAnswer::Refuse).is_none());
    }

    #[test]
    fn what_was_never_heard_of_is_refused_and_a_possible_repeat_failed() {
        let keyed = Repeat::Keyed { group: basaltward::Group::All, window: 1 };
        let table = [
            (Repeat::Safe, true, UntakenAnswer::Refuse),
            (keyed, true, UntakenAnswer::Fail),
            (Repeat::Unsafe, true, UntakenAnswer::Fail),
            (Repeat::Unsafe, false, UntakenAnswer::Refuse),
        ];
        assert!(table.iter().all(|(repeat, known, told)| UntakenAnswer::for_event(*repeat, *known) == *told));
    }

    #[test]
    fn an_event_is_known_for_its_span_at_least_and_then_forgotten() {
        let seen = SeenEvents::new(10 * S);
        assert!(!seen.may_contain(77) && !seen.mark(0, 77) && seen.may_contain(77));
        assert!(seen.mark(9 * S, 77) && seen.mark(10 * S, 77));
        assert!(!seen.mark(19 * S, 78));
        assert!(seen.mark(29 * S, 78), "ten seconds old, one span on");
        assert!(!seen.mark(70 * S, 78), "long gone");
    }

    #[test]
    fn an_event_marked_while_another_loop_turns_the_spans_is_known_as_long() {
        let seen = SeenEvents::new(10 * S);
        assert!(!seen.mark(S, 1));
        let turning = seen.turning.lock().expect("free");
        // Not waited for: the spans stay as they are.
        assert!(!seen.mark(19 * S, 79));
        drop(turning);
        assert!(!seen.mark(20 * S, 80));
        assert!(seen.mark(29 * S, 79));
    }
}
