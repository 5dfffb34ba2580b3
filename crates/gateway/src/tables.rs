//! Shared state between the control thread and the loops: the control thread publishes whole tables, and bounded rings
//! carry messages in both directions. Neither side blocks on the other.

use arc_swap::ArcSwapOption;
use basaltward::Micros;
use basaltward_engine::SeenEvents;
use basaltward_net::Waker;
use basaltward_pending::{Accepted, Key, Outcome, Step};
use rtrb::{Consumer, Producer, PushError, RingBuffer};
use std::collections::VecDeque;

/// Capacity of a ring, in messages.
const RING_CAPACITY: usize = 4_096;

/// The latest table of each subsystem of the control thread; empty until it has published one.
pub struct Tables {
    /// Routing of calls between sites.
    pub route: ArcSwapOption<basaltward_site_routing::RoutingTable>,
    /// Admission of calls.
    pub shed: ArcSwapOption<basaltward_admission::ShareTable>,
    /// Ownership of replicated events.
    pub owners: ArcSwapOption<Owners>,
    /// Recently admitted events of keyed and unsafe classes, from all loops.
    pub admitted: SeenEvents,
}

impl Tables {
    /// Empty tables; admitted events are remembered for at least `retention`.
    pub fn new(retention: Micros) -> Self {
        let (route, shed, owners) = (ArcSwapOption::empty(), ArcSwapOption::empty(), ArcSwapOption::empty());
        Self { route, shed, owners, admitted: SeenEvents::new(retention) }
    }
}

/// Ownership of replicated events, from the state that the voters have agreed on.
pub struct Owners {
    /// The table must not be used from this time on.
    pub valid_until: Micros,
    /// Whether each gateway has been taken over, by member number.
    pub taken_over: Vec<bool>,
    /// Whether this gateway accepts the events that it owns.
    pub accepts: bool,
}

/// A message from a loop to the control thread.
pub enum LoopReport {
    /// Counts of calls by function, for routing.
    Calls(basaltward_site_routing::LoopCounts),
    /// The end of a call that was handed over to another site.
    HandedOver(basaltward_site_routing::Handover),
    /// Counts of calls by class and tenant, for admission.
    Admission(basaltward_admission::LoopCounts),
}

/// A message from the control thread to a loop about a replicated event.
pub enum ControlMessage {
    /// Whether gateways of other sites have stored the journal entry of the event.
    Replicated(Key, bool),
    /// The attempt of this number may be sent before this time of the monotonic clock; with `None` it must not be sent.
    SendDecision(Key, u32, Option<Micros>),
    /// Run this event of a lost site; no attempt of it may be sent at or after this wall-clock time in milliseconds.
    RunForLostSite(Box<Accepted>, u64),
    /// Other gateways have taken over this pending event: no further byte of it may be sent.
    TakenOver(Key),
    /// Another gateway is responsible for an event with this key: it must not be started here.
    OwnedElsewhere(Key),
    /// An event of a lost site has ended at another gateway, with this outcome and answer.
    EndedElsewhere(Key, Outcome, Vec<u8>),
}

/// A loop's sending side for reports. Reports that do not fit into the ring wait in `overflow`, oldest first. Beyond
/// [`RING_CAPACITY`] waiting reports the oldest are dropped, which is acceptable because reports are samples.
pub struct ReportSender {
    ring: Producer<LoopReport>,
    overflow: VecDeque<LoopReport>,
    /// Number of reports dropped.
    dropped: u64,
}

/// A loop's ends of its rings.
pub struct LoopEnd {
    /// Counts and ends of calls, to the control thread.
    pub reports: ReportSender,
    /// Journal steps of replicated events, to the control thread; steps are never dropped.
    pub steps: Producer<Step>,
    /// Messages from the control thread.
    pub messages: Consumer<ControlMessage>,
    /// Wakes the control thread.
    pub control_waker: Waker,
}

/// The control thread's ends of the rings of one loop.
pub struct ControlEnd {
    /// Counts and ends of calls, from the loop.
    pub reports: Consumer<LoopReport>,
    /// Journal steps of replicated events, from the loop.
    pub steps: Consumer<Step>,
    /// Messages to the loop.
    pub messages: Producer<ControlMessage>,
    /// Wakes the loop.
    pub loop_waker: Waker,
}

/// Creates the rings between the control thread and a loop, with the wakers of both.
pub fn control_rings(control_waker: Waker, loop_waker: Waker) -> (LoopEnd, ControlEnd) {
    let (ring, reports) = RingBuffer::new(RING_CAPACITY);
    let (to_control, steps) = RingBuffer::new(RING_CAPACITY);
    let (messages, to_loop) = RingBuffer::new(RING_CAPACITY);
    let sender = ReportSender { ring, overflow: VecDeque::new(), dropped: 0 };
    (
        LoopEnd { reports: sender, steps: to_control, messages: to_loop, control_waker },
        ControlEnd { reports, steps, messages, loop_waker },
    )
}

impl ReportSender {
    /// Queues a report and moves as many as fit into the ring.
    pub fn send(&mut self, report: LoopReport) {
        self.overflow.push_back(report);
        while let Some(report) = self.overflow.pop_front() {
            if let Err(PushError::Full(report)) = self.ring.push(report) {
                self.overflow.push_front(report);
                break;
            }
        }
        while self.overflow.len() > RING_CAPACITY {
            self.overflow.pop_front();
            self.dropped += 1;
        }
    }

    /// Number of reports dropped because the control thread did not read them in time.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// Interval between two reports of a loop's counts.
pub const REPORT_INTERVAL_US: Micros = 100_000;

#[cfg(test)]
mod tests {
    use super::*;
    use basaltward_net::{Io, IoLimits};

    #[test]
    fn reports_to_a_stalled_control_thread_are_bounded_and_the_oldest_are_dropped() {
        let waker = Io::new(IoLimits::default()).expect("create an I/O loop").waker();
        let (LoopEnd { mut reports, .. }, ControlEnd { reports: mut control, .. }) =
            control_rings(waker.clone(), waker);
        let report = |in_flight| {
            LoopReport::Calls(basaltward_site_routing::LoopCounts { in_flight, ..Default::default() })
        };
        (0..3 * RING_CAPACITY as u32).for_each(|n| reports.send(report(n)));
        assert_eq!(reports.dropped(), RING_CAPACITY as u64);
        let mut take = || match control.pop() {
            Ok(LoopReport::Calls(counts)) => Some(counts.in_flight),
            _ => None,
        };
        assert_eq!((0..RING_CAPACITY).filter_map(|_| take()).last(), Some(RING_CAPACITY as u32 - 1));
        reports.send(report(9));
        assert_eq!(
            take(),
            Some(2 * RING_CAPACITY as u32),
            "the oldest waiting reports were not dropped first"
        );
    }
}
