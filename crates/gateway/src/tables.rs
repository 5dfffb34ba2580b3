//! What passes between the control thread and the loops: whole tables one way, bounded rings both ways. Neither waits
//! for the other.

use arc_swap::ArcSwapOption;
use basaltward::Micros;
use basaltward_engine::SeenEvents;
use basaltward_net::Waker;
use basaltward_pending::{Accepted, Key, Outcome, Step};
use rtrb::{Consumer, Producer, PushError, RingBuffer};
use std::collections::VecDeque;

/// Messages that a ring holds.
const RING_CAPACITY: usize = 4_096;

/// The newest table of each room, if it ever made one.
pub struct Tables {
    /// Where calls go.
    pub route: ArcSwapOption<basaltward_route::Table>,
    /// What is taken.
    pub shed: ArcSwapOption<basaltward_shed::Table>,
    /// Whose kept events are.
    pub owners: ArcSwapOption<Owners>,
    /// Events that were taken lately and may not run twice, by any loop.
    pub admitted: SeenEvents,
}

impl Tables {
    /// None yet; what was taken is known for at least `span`.
    pub fn new(span: Micros) -> Self {
        let (route, shed, owners) = (ArcSwapOption::empty(), ArcSwapOption::empty(), ArcSwapOption::empty());
        Self { route, shed, owners, admitted: SeenEvents::new(span) }
    }
}

/// Whose kept events are, by what is agreed.
pub struct Owners {
    /// Until when it holds.
    pub valid_until: Micros,
    /// Gateways that were taken over, by number.
    pub taken_over: Vec<bool>,
    /// Whether we take events that are ours.
    pub accepts: bool,
}

/// From a loop to the control thread.
pub enum LoopReport {
    /// Calls by function.
    Calls(basaltward_route::Counts),
    /// How a call ended that was handed over.
    HandedOver(basaltward_route::Handed),
    /// Calls by class and tenant.
    Admission(basaltward_shed::Counts),
}

/// From the control thread to a loop, on kept events.
pub enum ControlMessage {
    /// Gateways of other sites hold it, or not.
    Replicated(Key, bool),
    /// An attempt may leave before this time of the machine's clock, or not at all.
    SendDecision(Key, u32, Option<Micros>),
    /// An event of a lost site is to be done, sent before this wall time in milliseconds.
    RunForLostSite(Box<Accepted>, u64),
    /// What was pending here is others' now: no byte of it leaves any more.
    TakenOver(Key),
    /// Another gateway sees to an event of this name: it is not begun here.
    OwnedElsewhere(Key),
    /// An event of a lost site has ended so, with this answer.
    EndedElsewhere(Key, Outcome, Vec<u8>),
}

/// A loop's end: facts that find no room wait here, the newest counts at the back; past this many the oldest go, as
/// counts and ends of calls are samples.
pub struct ReportSender {
    ring: Producer<LoopReport>,
    overflow: VecDeque<LoopReport>,
    /// Facts that were let go.
    dropped: u64,
}

/// A loop's end of its rings.
pub struct LoopEnd {
    /// What it counted.
    pub reports: ReportSender,
    /// Steps of its kept events: none is ever dropped.
    pub steps: Producer<Step>,
    /// What it is told.
    pub messages: Consumer<ControlMessage>,
    /// Wakes the control thread.
    pub control_waker: Waker,
}

/// The control thread's end.
pub struct ControlEnd {
    /// What the loop counted.
    pub reports: Consumer<LoopReport>,
    /// Steps of its kept events.
    pub steps: Consumer<Step>,
    /// What it is told.
    pub messages: Producer<ControlMessage>,
    /// Wakes the loop.
    pub loop_waker: Waker,
}

/// The ends of the rings between the control thread and a loop.
pub fn control_rings(control: Waker, waker: Waker) -> (LoopEnd, ControlEnd) {
    let (ring, facts) = RingBuffer::new(RING_CAPACITY);
    let (to_control, steps) = RingBuffer::new(RING_CAPACITY);
    let (words, to_loop) = RingBuffer::new(RING_CAPACITY);
    let facts_end = ReportSender { ring, overflow: VecDeque::new(), dropped: 0 };
    (
        LoopEnd { reports: facts_end, steps: to_control, messages: to_loop, control_waker: control },
        ControlEnd { reports: facts, steps, messages: words, loop_waker: waker },
    )
}

impl ReportSender {
    /// Tells a fact.
    pub fn send(&mut self, fact: LoopReport) {
        self.overflow.push_back(fact);
        while let Some(fact) = self.overflow.pop_front() {
            if let Err(PushError::Full(fact)) = self.ring.push(fact) {
                self.overflow.push_front(fact);
                break;
            }
        }
        while self.overflow.len() > RING_CAPACITY {
            self.overflow.pop_front();
            self.dropped += 1;
        }
    }

    /// Facts that were let go, as the control thread stood still for too long.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// A loop tells its counts so often.
pub const REPORT_INTERVAL_US: Micros = 100_000;

#[cfg(test)]
mod tests {
    use super::*;
    use basaltward_net::{Io, IoLimits};

    #[test]
    fn a_control_thread_that_stands_still_costs_old_facts_and_bounded_memory() {
        let waker = Io::new(IoLimits::default()).expect("a loop").waker();
        let (LoopEnd { mut reports, .. }, ControlEnd { reports: mut control, .. }) =
            control_rings(waker.clone(), waker);
        let fact = |in_hand| LoopReport::Calls(basaltward_route::Counts { in_hand, ..Default::default() });
        (0..3 * RING_CAPACITY as u32).for_each(|n| reports.send(fact(n)));
        assert_eq!(reports.dropped(), RING_CAPACITY as u64);
        let mut take = || match control.pop() {
            Ok(LoopReport::Calls(counts)) => Some(counts.in_hand),
            _ => None,
        };
        assert_eq!((0..RING_CAPACITY).filter_map(|_| take()).last(), Some(RING_CAPACITY as u32 - 1));
        reports.send(fact(9));
        assert_eq!(take(), Some(2 * RING_CAPACITY as u32), "those told first among what waited are gone");
    }
}
