//! What a simulated member costs: bytes over any second, and the processor time that its state machine takes.

use basaltward_membership::{MemberId, Membership, Micros, Output, VirtualNode};
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Step in which bytes are read, in microseconds.
pub const STEP_US: Micros = 100_000;
/// Steps of the window over which bytes are summed: one second.
const STEPS_OF_WINDOW: usize = 10;

/// A view whose processor time is counted: wall time spent inside its calls, so an upper bound on a busy machine.
pub struct TimedView {
    /// The state machine under test.
    pub view: Membership,
    spent: Cell<Duration>,
}

impl TimedView {
    /// A view that has used no time yet.
    pub fn new(view: Membership) -> Self {
        Self { view, spent: Cell::default() }
    }

    /// Time spent in the view since it was started.
    pub fn spent(&self) -> Duration {
        self.spent.get()
    }

    fn count_since(&self, begin: Instant) {
        self.spent.set(self.spent.get() + begin.elapsed());
    }
}

impl VirtualNode for TimedView {
    type Out = Output;

    fn handle(&mut self, now: Micros, from: MemberId, bytes: &[u8], out: &mut Vec<Output>) {
        let begin = Instant::now();
        self.view.handle(now, from, bytes, out);
        self.count_since(begin);
    }

    fn wake(&mut self, now: Micros, out: &mut Vec<Output>) {
        let begin = Instant::now();
        self.view.wake(now, out);
        self.count_since(begin);
    }

    fn next_due(&self) -> Micros {
        let begin = Instant::now();
        let due = self.view.next_due();
        self.count_since(begin);
        due
    }

    fn into_datagram(out: Output) -> Result<(MemberId, Vec<u8>), Output> {
        <Membership as VirtualNode>::into_datagram(out)
    }
}

/// Bytes that one member sent, step by step.
#[derive(Clone, Debug, Default)]
struct Sender {
    /// Its total at the last step; a restart begins again at 0.
    total: u64,
    steps: [u64; STEPS_OF_WINDOW],
}

/// Bytes sent by all members, over every window of a second that begins at a step.
#[derive(Clone, Debug)]
pub struct ByteMeter {
    senders: Vec<Sender>,
    step: usize,
    worst: u64,
    sum: u64,
}

impl ByteMeter {
    /// A meter of `size` members that have sent nothing.
    pub fn new(size: MemberId) -> Self {
        Self { senders: vec![Sender::default(); size.into()], step: 0, worst: 0, sum: 0 }
    }

    /// Takes each member's total at the end of a step of [`STEP_US`]; a member that is down has none.
    pub fn end_step(&mut self, totals: impl Iterator<Item = Option<u64>>) {
        let slot = self.step % STEPS_OF_WINDOW;
        for (sender, total) in self.senders.iter_mut().zip(totals) {
            let total = total.unwrap_or(0);
            let sent = if total >= sender.total { total - sender.total } else { total };
            (sender.total, sender.steps[slot]) = (total, sent);
            self.sum += sent;
            self.worst = self.worst.max(sender.steps.iter().sum());
        }
        self.step += 1;
    }

    /// The most that one member sent within a second since the last call.
    pub fn take_worst(&mut self) -> u64 {
        std::mem::take(&mut self.worst)
    }

    /// What all sent together since the last call.
    pub fn take_sum(&mut self) -> u64 {
        std::mem::take(&mut self.sum)
    }
}
