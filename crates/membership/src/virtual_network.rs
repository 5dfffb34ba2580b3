//! State machines on datagrams in virtual time: one seed, one history. They are killed, started, paused, cut off;
//! their datagrams are lost, doubled and late; their clocks run apart. For tests and measurements.

use crate::types::{MemberId, Micros};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

/// A state machine that lives on datagrams and on time.
pub trait VirtualNode {
    /// What it puts out.
    type Out;

    /// Takes a datagram that came from this one's address.
    fn handle(&mut self, now: Micros, from: MemberId, bytes: &[u8], out: &mut Vec<Self::Out>);
    /// Does what is due.
    fn wake(&mut self, now: Micros, out: &mut Vec<Self::Out>);
    /// When [`VirtualNode::wake`] is due next.
    fn next_due(&self) -> Micros;
    /// The datagram that an output is, or the output, told to whoever watches.
    fn into_datagram(out: Self::Out) -> Result<(MemberId, Vec<u8>), Self::Out>;
}

/// What becomes of datagrams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkFaults {
    /// Share of them that is lost.
    pub loss_rate: f64,
    /// Share that comes twice.
    pub duplicate_rate: f64,
    /// They are late by a time drawn between these.
    pub delay_range: (Micros, Micros),
}

impl Default for LinkFaults {
    /// As on the platform.
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
    /// How often it was started.
    start_count: u32,
    /// When it is woken next; other wakes are void.
    next_wake: Micros,
    paused: bool,
    /// Its clock's rate against the simulation's.
    clock_rate: f64,
    /// Datagrams that came while it was paused.
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

/// Datagrams that a socket holds for who stands still.
const INBOX_CAPACITY: usize = 200;

/// The delay of a datagram from one node to another, drawn between two times; `None` where the network between
/// them carries nothing.
pub type DelayFn = Box<dyn Fn(MemberId, MemberId) -> Option<(Micros, Micros)> + Send>;

/// The nodes and their network.
pub struct VirtualNetwork<P: VirtualNode> {
    /// Datagrams between all.
    pub link: LinkFaults,
    /// Delays by sender and receiver, in place of the one range of `link`.
    delays: Option<DelayFn>,
    /// Links that carry nothing.
    blocked: BTreeSet<(MemberId, MemberId)>,
    /// The simulated time.
    pub now: Micros,
    slots: Vec<Slot<P>>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence: u64,
    rng: StdRng,
    /// What was told, with time and by whom.
    pub outputs: Vec<(Micros, MemberId, P::Out)>,
    /// Longest datagram seen.
    pub longest_datagram: usize,
    /// Datagrams and bytes sent.
    pub sent: (u64, u64),
}

impl<P: VirtualNode> VirtualNetwork<P> {
    /// So many slots, nobody in them.
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

    /// Slots by number.
    pub fn node_ids(&self) -> std::ops::Range<MemberId> {
        0..self.slots.len() as MemberId
    }

    /// Who is at a slot.
    pub fn node(&self, of: MemberId) -> Option<&P> {
        self.slots.get(usize::from(of)).and_then(|slot| slot.node.as_ref())
    }

    /// Who is at a slot, to be changed behind the network's back.
    pub fn node_mut(&mut self, of: MemberId) -> Option<&mut P> {
        self.slots.get_mut(usize::from(of)).and_then(|slot| slot.node.as_mut())
    }

    /// Whether it runs and is not paused.
    pub fn is_up(&self, of: MemberId) -> bool {
        let slot = &self.slots[usize::from(of)];
        slot.node.is_some() && !slot.paused
    }

    /// How often it was started.
    pub fn start_count(&self, of: MemberId) -> u32 {
        self.slots[usize::from(of)].start_count
    }

    /// Its clock runs at this rate from its next start on.
    pub fn set_clock_rate(&mut self, of: MemberId, rate: f64) {
        self.slots[usize::from(of)].clock_rate = rate;
    }

    /// The time on a node's own clock.
    pub fn clock(&self, of: MemberId) -> Micros {
        (self.now as f64 * self.slots[usize::from(of)].clock_rate) as Micros
    }

    /// A random number below `below`, from the seed.
    pub fn random_below(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below.max(1))
    }

    /// So many slots from now on; who is beyond has ended.
    pub fn set_size(&mut self, size: MemberId) {
        self.slots.resize_with(size.into(), Slot::new);
    }

    fn schedule(&mut self, at: Micros, due: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, due)));
    }

    /// Puts somebody at a slot; gives who was there.
    pub fn insert(&mut self, of: MemberId, node: P) -> Option<P> {
        let before = self.kill(of);
        let slot = &mut self.slots[usize::from(of)];
        (slot.node, slot.paused, slot.start_count) = (Some(node), false, slot.start_count + 1);
        self.schedule_wake(of);
        before
    }

    /// Kills who is at a slot outright.
    pub fn kill(&mut self, of: MemberId) -> Option<P> {
        let slot = self.slots.get_mut(usize::from(of))?;
        slot.next_wake = Micros::MAX;
        slot.inbox.clear();
        slot.node.take()
    }

    /// One stands still for this long.
    pub fn pause(&mut self, of: MemberId, span: Micros) {
        self.slots[usize::from(of)].paused = true;
        self.schedule(self.now + span, Event::Resume(of));
    }

    /// Cuts a group off from all others, or takes it up again.
    pub fn set_isolated(&mut self, group: &[MemberId], cut: bool) {
        for of in group {
            for other in self.node_ids().filter(|other| !group.contains(other)) {
                for link in [(*of, other), (other, *of)] {
                    self.set_blocked(link, cut);
                }
            }
        }
    }

    /// A link in one direction carries nothing, or does again.
    pub fn set_blocked(&mut self, link: (MemberId, MemberId), blocked: bool) {
        if blocked {
            self.blocked.insert(link);
        } else {
            self.blocked.remove(&link);
        }
    }

    /// Delays by sender and receiver from now on, for datagrams sent from now on; `link.late` holds no more. What it
    /// gives must be in order: least delay first.
    pub fn set_delays(&mut self, delays: DelayFn) {
        self.delays = Some(delays);
    }

    /// The range of delays from one node to another; `None` where nothing is carried.
    fn delay(&self, from: MemberId, to: MemberId) -> Option<(Micros, Micros)> {
        if self.blocked.contains(&(from, to)) {
            return None;
        }
        self.delays.as_ref().map_or(Some(self.link.delay_range), |delays| delays(from, to))
    }

    fn schedule_wake(&mut self, of: MemberId) {
        let now = self.now;
        let slot = &mut self.slots[usize::from(of)];
        let Some(node) = &slot.node else { return };
        let at = ((node.next_due() as f64 / slot.clock_rate) as Micros + 1).max(now);
        if at < slot.next_wake {
            slot.next_wake = at;
            self.schedule(at, Event::Wake(of));
        }
    }

    fn dispatch(&mut self, of: MemberId, out: Vec<P::Out>) {
        for output in out {
            match P::into_datagram(output) {
                Ok((to, _)) if usize::from(to) >= self.slots.len() => {}
                Ok((to, bytes)) => {
                    self.longest_datagram = self.longest_datagram.max(bytes.len());
                    self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
                    let copies = match (self.rng.random::<f64>(), self.rng.random::<f64>()) {
                        (lost, _) if lost < self.link.loss_rate => 0,
                        (_, doubled) if doubled < self.link.duplicate_rate => 2,
                        _ => 1,
                    };
                    let Some((least, most)) = self.delay(of, to) else { continue };
                    for _ in 0..copies {
                        let late = self.rng.random_range(least..=most);
                        self.schedule(
                            self.now + late,
                            Event::Datagram { to, from: of, bytes: bytes.clone() },
                        );
                    }
                }
                Err(told) => self.outputs.push((self.now, of, told)),
            }
        }
    }

    /// Has one that runs do something, at its own time.
    pub fn with_node(&mut self, of: MemberId, act: impl FnOnce(&mut P, Micros, &mut Vec<P::Out>)) {
        let (now, mut out) = (self.clock(of), Vec::new());
        if let Some(node) = &mut self.slots[usize::from(of)].node {
            act(node, now, &mut out);
        }
        self.dispatch(of, out);
        self.schedule_wake(of);
    }

    /// Runs for so long.
    pub fn run_for(&mut self, span: Micros) {
        self.run_until(self.now + span);
    }

    /// Runs until this time of the simulation.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(Reverse((at, ..))) = self.events.peek()
            && *at <= until
        {
            let Some(Reverse((at, _, due))) = self.events.pop() else { return };
            self.now = at;
            match due {
                Event::Datagram { to, .. } | Event::Wake(to) | Event::Resume(to)
                    if usize::from(to) >= self.slots.len() => {}
                Event::Datagram { to, from, bytes } => {
                    let slot = &mut self.slots[usize::from(to)];
                    // A socket holds some for who stands still.
                    if slot.paused && slot.node.is_some() && slot.inbox.len() < INBOX_CAPACITY {
                        slot.inbox.push((from, bytes));
                    } else if !slot.paused {
                        self.with_node(to, |node, now, out| node.handle(now, from, &bytes, out));
                    }
                }
                Event::Wake(of) => {
                    let slot = &mut self.slots[usize::from(of)];
                    if slot.next_wake == at && !slot.paused {
                        slot.next_wake = Micros::MAX;
                        self.with_node(of, |node, now, out| node.wake(now, out));
                    }
                }
                Event::Resume(of) => {
                    let slot = &mut self.slots[usize::from(of)];
                    if std::mem::take(&mut slot.paused) {
                        slot.next_wake = Micros::MAX;
                        for (from, bytes) in std::mem::take(&mut slot.inbox) {
                            self.with_node(of, |node, now, out| node.handle(now, from, &bytes, out));
                        }
                        self.schedule_wake(of);
                    }
                }
            }
        }
        self.now = until;
    }
}
