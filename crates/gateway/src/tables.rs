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
const RING: usize = 4_096;

/// The newest table of each room, if it ever made one.
pub struct Tables {
    /// Where calls go.
    pub route: ArcSwapOption<basaltward_site_routing::RoutingTable>,
    /// What is taken.
    pub shed: ArcSwapOption<basaltward_shed::Table>,
    /// Whose kept events are.
    pub owners: ArcSwapOption<Owners>,
    /// Events that were taken lately and may not run twice, by any loop.
    pub begun: SeenEvents,
}

impl Tables {
    /// None yet; what was taken is known for at least `span`.
    pub fn new(span: Micros) -> Self {
        let (route, shed, owners) = (ArcSwapOption::empty(), ArcSwapOption::empty(), ArcSwapOption::empty());
        Self { route, shed, owners, begun: SeenEvents::new(span) }
    }
}

/// Whose kept events are, by what is agreed.
pub struct Owners {
    /// Until when it holds.
    pub until: Micros,
    /// Gateways that were taken over, by number.
    pub taken: Vec<bool>,
    /// Whether we take events that are ours.
    pub ready: bool,
}

/// From a loop to the control thread.
pub enum Fact {
    /// Calls by function.
    Routed(basaltward_site_routing::LoopCounts),
    /// How a call ended that was handed over.
    Handed(basaltward_site_routing::Handover),
    /// Calls by class and tenant.
    Asked(basaltward_shed::Counts),
}

/// From the control thread to a loop, on kept events.
pub enum Word {
    /// Gateways of other sites hold it, or not.
    Held(Key, bool),
    /// An attempt may leave before this time of the machine's clock, or not at all.
    May(Key, u32, Option<Micros>),
    /// An event of a lost site is to be done, sent before this wall time in milliseconds.
    Run(Box<Accepted>, u64),
    /// What was pending here is others' now: no byte of it leaves any more.
    Lost(Key),
    /// Another gateway sees to an event of this name: it is not begun here.
    Elsewhere(Key),
    /// An event of a lost site has ended so, with this answer.
    Told(Key, Outcome, Vec<u8>),
}

/// A loop's end: facts that find no room wait here, the newest counts at the back; past this many the oldest go, as
/// counts and ends of calls are samples.
pub struct Facts {
    ring: Producer<Fact>,
    waiting: VecDeque<Fact>,
    /// Facts that were let go.
    lost: u64,
}

/// A loop's end of its rings.
pub struct LoopEnd {
    /// What it counted.
    pub facts: Facts,
    /// Steps of its kept events: none is ever dropped.
    pub steps: Producer<Step>,
    /// What it is told.
    pub words: Consumer<Word>,
    /// Wakes the control thread.
    pub control: Waker,
}

/// The control thread's end.
pub struct ControlEnd {
    /// What the loop counted.
    pub facts: Consumer<Fact>,
    /// Steps of its kept events.
    pub steps: Consumer<Step>,
    /// What it is told.
    pub words: Producer<Word>,
    /// Wakes the loop.
    pub waker: Waker,
}

/// The ends of the rings between the control thread and a loop.
pub fn rings(control: Waker, waker: Waker) -> (LoopEnd, ControlEnd) {
    let (ring, facts) = RingBuffer::new(RING);
    let (to_control, steps) = RingBuffer::new(RING);
    let (words, to_loop) = RingBuffer::new(RING);
    let facts_end = Facts { ring, waiting: VecDeque::new(), lost: 0 };
    (
        LoopEnd { facts: facts_end, steps: to_control, words: to_loop, control },
        ControlEnd { facts, steps, words, waker },
    )
}

impl Facts {
    /// Tells a fact.
    pub fn tell(&mut self, fact: Fact) {
        self.waiting.push_back(fact);
        while let Some(fact) = self.waiting.pop_front() {
            if let Err(PushError::Full(fact)) = self.ring.push(fact) {
                self.waiting.push_front(fact);
                break;
            }
        }
        while self.waiting.len() > RING {
            self.waiting.pop_front();
            self.lost += 1;
        }
    }

    /// Facts that were let go, as the control thread stood still for too long.
    pub fn lost(&self) -> u64 {
        self.lost
    }
}

/// A loop tells its counts so often.
pub const COUNT_US: Micros = 100_000;

#[cfg(test)]
mod tests {
    use super::*;
    use basaltward_net::{Io, IoLimits};

    #[test]
    fn a_control_thread_that_stands_still_costs_old_facts_and_bounded_memory() {
        let waker = Io::new(IoLimits::default()).expect("a loop").waker();
        let (LoopEnd { mut facts, .. }, ControlEnd { facts: mut control, .. }) = rings(waker.clone(), waker);
        let fact = |in_hand| {
            Fact::Routed(basaltward_site_routing::LoopCounts { in_flight: in_hand, ..Default::default() })
        };
        (0..3 * RING as u32).for_each(|n| facts.tell(fact(n)));
        assert_eq!(facts.lost(), RING as u64);
        let mut take = || match control.pop() {
            Ok(Fact::Routed(counts)) => Some(counts.in_flight),
            _ => None,
        };
        assert_eq!((0..RING).filter_map(|_| take()).last(), Some(RING as u32 - 1));
        facts.tell(fact(9));
        assert_eq!(take(), Some(2 * RING as u32), "those told first among what waited are gone");
    }
}
