//! Meters of a simulated member: bytes sent within a second, and processor time of its state machine.

use basaltward_membership::{MemberId, Membership, Micros, Output, VirtualNode};
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Interval at which byte counters are read, in microseconds.
pub const STEP_US: Micros = 100_000;
/// Number of steps in the window over which bytes are summed, which is one second.
const WINDOW_STEPS: usize = 10;

/// A view whose processor time is measured as wall time inside its calls, which on a busy machine is an upper bound.
pub struct TimedView {
    /// The state machine under test.
    pub view: Membership,
    spent: Cell<Duration>,
}

impl TimedView {
    /// Wraps a view, with no time spent.
    pub fn new(view: Membership) -> Self {
        Self { view, spent: Cell::default() }
    }

    /// Time spent in the view since it was started.
    pub fn spent(&self) -> Duration {
        self.spent.get()
    }

    fn count_since(&self, start: Instant) {
        self.spent.set(self.spent.get() + start.elapsed());
    }
}

impl VirtualNode for TimedView {
    type Out = Output;

    fn handle(&mut self, now: Micros, from: MemberId, bytes: &[u8], out: &mut Vec<Output>) {
        let start = Instant::now();
        self.view.handle(now, from, bytes, out);
        self.count_since(start);
    }

    fn wake(&mut self, now: Micros, out: &mut Vec<Output>) {
        let start = Instant::now();
        self.view.wake(now, out);
        self.count_since(start);
    }

    fn next_due(&self) -> Micros {
        let start = Instant::now();
        let due = self.view.next_due();
        self.count_since(start);
        due
    }

    fn into_datagram(out: Output) -> Result<(MemberId, Vec<u8>), Output> {
        <Membership as VirtualNode>::into_datagram(out)
    }
}

/// Bytes that one member sent in each step of the window.
#[derive(Clone, Debug, Default)]
struct Sender {
    /// The counter of the member at the last step; a restart resets it to 0.
    total: u64,
    steps: [u64; WINDOW_STEPS],
}

/// Bytes sent by all members: their sum, and the maximum of one member over every one-second window that begins at a
/// step.
#[derive(Clone, Debug)]
pub struct ByteMeter {
    senders: Vec<Sender>,
    step: usize,
    worst: u64,
    sum: u64,
}

impl ByteMeter {
    /// A meter for `size` members that have sent nothing.
    pub fn new(size: MemberId) -> Self {
        Self { senders: vec![Sender::default(); size.into()], step: 0, worst: 0, sum: 0 }
    }

    /// Records the byte counter of each member at the end of a step of [`STEP_US`]; `None` for a member that is down.
    pub fn end_step(&mut self, totals: impl Iterator<Item = Option<u64>>) {
        let slot = self.step % WINDOW_STEPS;
        for (sender, total) in self.senders.iter_mut().zip(totals) {
            let total = total.unwrap_or(0);
            let sent = if total >= sender.total { total - sender.total } else { total };
            (sender.total, sender.steps[slot]) = (total, sent);
            self.sum += sent;
            self.worst = self.worst.max(sender.steps.iter().sum());
        }
        self.step += 1;
    }

    /// The most bytes that one member sent within a second, since the last call.
    pub fn take_worst(&mut self) -> u64 {
        std::mem::take(&mut self.worst)
    }

    /// The bytes that all members sent together since the last call.
    pub fn take_sum(&mut self) -> u64 {
        std::mem::take(&mut self.sum)
    }
}
