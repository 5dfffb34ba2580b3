//! A deterministic simulation of state machines that communicate by datagrams, in virtual time: equal seeds give equal
//! runs. It can start, kill, pause and isolate nodes, lose, duplicate and delay datagrams, and run node clocks at
//! different rates. For tests and benchmarks.

use crate::types::{MemberId, Micros};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

/// A state machine driven by datagrams and time.
pub trait VirtualNode {
    /// The type of its outputs.
    type Out;

    /// Handles a datagram received from the address of node `from`.
    fn handle(&mut self, now: Micros, from: MemberId, bytes: &[u8], out: &mut Vec<Self::Out>);
    /// Does the work that is due.
    fn wake(&mut self, now: Micros, out: &mut Vec<Self::Out>);
    /// When [`VirtualNode::wake`] is due next.
    fn next_due(&self) -> Micros;
    /// Extracts the receiver and bytes of an output that is a datagram; other outputs are returned as `Err`.
    fn into_datagram(out: Self::Out) -> Result<(MemberId, Vec<u8>), Self::Out>;
}

/// Faults that the network applies to datagrams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkFaults {
    /// Probability that a datagram is lost, 0 to 1.
    pub loss_rate: f64,
    /// Probability that a datagram that is not lost arrives twice, 0 to 1.
    pub duplicate_rate: f64,
    /// Minimum and maximum delay, in microseconds; each delay is drawn uniformly between them.
    pub delay_range: (Micros, Micros),
}

impl Default for LinkFaults {
    /// No loss or duplication, with the platform's network delays of 1.2 to 33 ms.
    fn default() -> Self {
        Self { loss_rate: 0.0, duplicate_rate: 0.0, delay_range: (1_200, 33_000) }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Datagram { to: MemberId, from: MemberId, bytes: Vec<u8> },
    Wake(MemberId),
    Resume(MemberId),
}

struct Slot<P> {
    node: Option<P>,
    /// Number of starts.
    start_count: u32,
    /// Time of the next wake-up; wake events for other times are ignored.
    next_wake: Micros,
    paused: bool,
    /// Rate of the node's clock relative to the virtual time.
    clock_rate: f64,
    /// Datagrams that arrived while the node was paused.
    inbox: Vec<(MemberId, Vec<u8>)>,
}

impl<P> Slot<P> {
    fn new() -> Self {
        Self {
            node: None,
            start_count: 0,
            next_wake: Micros::MAX,
            paused: false,
            clock_rate: 1.0,
            inbox: Vec::new(),
        }
    }
}

/// Datagrams that the socket of a paused node buffers; further ones are dropped.
const INBOX_CAPACITY: usize = 200;

/// Returns the minimum and maximum delay from one node to another, in microseconds; `None` if the network delivers
/// nothing between them.
pub type DelayFn = Box<dyn Fn(MemberId, MemberId) -> Option<(Micros, Micros)> + Send>;

/// Simulated nodes and the network between them.
pub struct VirtualNetwork<P: VirtualNode> {
    /// Faults of the links between all nodes.
    pub link: LinkFaults,
    /// Delays by sender and receiver, which replace the range of `link`.
    delays: Option<DelayFn>,
    /// Directed links that deliver nothing, as (from, to).
    blocked: BTreeSet<(MemberId, MemberId)>,
    /// The virtual time, in microseconds.
    pub now: Micros,
    slots: Vec<Slot<P>>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence: u64,
    rng: StdRng,
    /// Outputs other than datagrams, with the virtual time and the node.
    pub outputs: Vec<(Micros, MemberId, P::Out)>,
    /// Size of the longest datagram sent, in bytes.
    pub longest_datagram: usize,
    /// Datagrams and bytes sent.
    pub sent: (u64, u64),
}

impl<P: VirtualNode> VirtualNetwork<P> {
    /// Creates a network of `size` empty slots.
    pub fn new(size: MemberId, seed: u64, link: LinkFaults) -> Self {
        Self {
            slots: (0..size).map(|_| Slot::new()).collect(),
            rng: StdRng::seed_from_u64(seed),
            link,
            delays: None,
            blocked: BTreeSet::new(),
            now: 1_000_000,
            events: BinaryHeap::new(),
            sequence: 0,
            outputs: Vec::new(),
            longest_datagram: 0,
            sent: (0, 0),
        }
    }

    /// The numbers of all slots.
    pub fn node_ids(&self) -> std::ops::Range<MemberId> {
        0..self.slots.len() as MemberId
    }

    /// The node in a slot.
    pub fn node(&self, id: MemberId) -> Option<&P> {
        self.slots.get(usize::from(id)).and_then(|slot| slot.node.as_ref())
    }

    /// Mutable access to the node in a slot, without handling its outputs or its next wake-up.
    pub fn node_mut(&mut self, id: MemberId) -> Option<&mut P> {
        self.slots.get_mut(usize::from(id)).and_then(|slot| slot.node.as_mut())
    }

    /// Whether the node runs and is not paused.
    pub fn is_up(&self, id: MemberId) -> bool {
        let slot = &self.slots[usize::from(id)];
        slot.node.is_some() && !slot.paused
    }

    /// How often a node was started in this slot.
    pub fn start_count(&self, id: MemberId) -> u32 {
        self.slots[usize::from(id)].start_count
    }

    /// Sets the rate of a node's clock relative to the virtual time, to be set before the node is started.
    pub fn set_clock_rate(&mut self, id: MemberId, rate: f64) {
        self.slots[usize::from(id)].clock_rate = rate;
    }

    /// The time on a node's own clock.
    pub fn clock(&self, id: MemberId) -> Micros {
        (self.now as f64 * self.slots[usize::from(id)].clock_rate) as Micros
    }

    /// A random number below `below`, or 0 if that is 0, from the seeded generator.
    pub fn random_below(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below.max(1))
    }

    /// Sets the number of slots; nodes beyond it are removed.
    pub fn set_size(&mut self, size: MemberId) {
        self.slots.resize_with(size.into(), Slot::new);
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Starts a node in a slot. Returns the previous one, which is killed.
    pub fn insert(&mut self, id: MemberId, node: P) -> Option<P> {
        let previous = self.kill(id);
        let slot = &mut self.slots[usize::from(id)];
        (slot.node, slot.paused, slot.start_count) = (Some(node), false, slot.start_count + 1);
        self.schedule_wake(id);
        previous
    }

    /// Kills the node in a slot without notice, and returns it.
    pub fn kill(&mut self, id: MemberId) -> Option<P> {
        let slot = self.slots.get_mut(usize::from(id))?;
        slot.next_wake = Micros::MAX;
        slot.inbox.clear();
        slot.node.take()
    }

    /// Pauses a node for this long.
    pub fn pause(&mut self, id: MemberId, span: Micros) {
        self.slots[usize::from(id)].paused = true;
        self.schedule(self.now + span, Event::Resume(id));
    }

    /// Isolates a group from all other nodes, or reconnects it.
    pub fn set_isolated(&mut self, group: &[MemberId], isolated: bool) {
        for id in group {
            for other in self.node_ids().filter(|other| !group.contains(other)) {
                for link in [(*id, other), (other, *id)] {
                    self.set_blocked(link, isolated);
                }
            }
        }
    }

    /// Blocks or unblocks a link in one direction, given as (from, to).
    pub fn set_blocked(&mut self, link: (MemberId, MemberId), blocked: bool) {
        if blocked {
            self.blocked.insert(link);
        } else {
            self.blocked.remove(&link);
        }
    }

    /// Sets delays by sender and receiver for datagrams sent from now on, in place of `link.delay_range`. The minimum
    /// of a range must not exceed its maximum.
    pub fn set_delays(&mut self, delays: DelayFn) {
        self.delays = Some(delays);
    }

    /// The range of delays from one node to another; `None` if nothing is delivered.
    fn delay(&self, from: MemberId, to: MemberId) -> Option<(Micros, Micros)> {
        if self.blocked.contains(&(from, to)) {
            return None;
        }
        self.delays.as_ref().map_or(Some(self.link.delay_range), |delays| delays(from, to))
    }

    /// Schedules the node's next wake-up, if it is earlier than the scheduled one.
    fn schedule_wake(&mut self, id: MemberId) {
        let now = self.now;
        let slot = &mut self.slots[usize::from(id)];
        let Some(node) = &slot.node else { return };
        let at = ((node.next_due() as f64 / slot.clock_rate) as Micros + 1).max(now);
        if at < slot.next_wake {
            slot.next_wake = at;
            self.schedule(at, Event::Wake(id));
        }
    }

    /// Sends the datagrams among a node's outputs with the faults of their links, and records the others.
    fn dispatch(&mut self, id: MemberId, outputs: Vec<P::Out>) {
        for output in outputs {
            match P::into_datagram(output) {
                Ok((to, _)) if usize::from(to) >= self.slots.len() => {}
                Ok((to, bytes)) => {
                    self.longest_datagram = self.longest_datagram.max(bytes.len());
                    self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
                    let copies = match (self.rng.random::<f64>(), self.rng.random::<f64>()) {
                        (draw, _) if draw < self.link.loss_rate => 0,
                        (_, draw) if draw < self.link.duplicate_rate => 2,
                        _ => 1,
                    };
                    let Some((min, max)) = self.delay(id, to) else { continue };
                    for _ in 0..copies {
                        let delay = self.rng.random_range(min..=max);
                        self.schedule(
                            self.now + delay,
                            Event::Datagram { to, from: id, bytes: bytes.clone() },
                        );
                    }
                }
                Err(other) => self.outputs.push((self.now, id, other)),
            }
        }
    }

    /// Calls a function on a running node with the time on its own clock, and handles the outputs.
    pub fn with_node(&mut self, id: MemberId, act: impl FnOnce(&mut P, Micros, &mut Vec<P::Out>)) {
        let (now, mut out) = (self.clock(id), Vec::new());
        if let Some(node) = &mut self.slots[usize::from(id)].node {
            act(node, now, &mut out);
        }
        self.dispatch(id, out);
        self.schedule_wake(id);
    }

    /// Runs the simulation for this long.
    pub fn run_for(&mut self, span: Micros) {
        self.run_until(self.now + span);
    }

    /// Runs the simulation until this virtual time.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(Reverse((at, ..))) = self.events.peek()
            && *at <= until
        {
            let Some(Reverse((at, _, event))) = self.events.pop() else { return };
            self.now = at;
            match event {
                Event::Datagram { to, .. } | Event::Wake(to) | Event::Resume(to)
                    if usize::from(to) >= self.slots.len() => {}
                Event::Datagram { to, from, bytes } => {
                    let slot = &mut self.slots[usize::from(to)];
                    // The socket buffers datagrams for a paused node, up to its capacity.
                    if slot.paused && slot.node.is_some() && slot.inbox.len() < INBOX_CAPACITY {
                        slot.inbox.push((from, bytes));
                    } else if !slot.paused {
                        self.with_node(to, |node, now, out| node.handle(now, from, &bytes, out));
                    }
                }
                Event::Wake(id) => {
                    let slot = &mut self.slots[usize::from(id)];
                    if slot.next_wake == at && !slot.paused {
                        slot.next_wake = Micros::MAX;
                        self.with_node(id, |node, now, out| node.wake(now, out));
                    }
                }
                Event::Resume(id) => {
                    let slot = &mut self.slots[usize::from(id)];
                    if std::mem::take(&mut slot.paused) {
                        slot.next_wake = Micros::MAX;
                        for (from, bytes) in std::mem::take(&mut slot.inbox) {
                            self.with_node(id, |node, now, out| node.handle(now, from, &bytes, out));
                        }
                        self.schedule_wake(id);
                    }
                }
            }
        }
        self.now = until;
    }
}
