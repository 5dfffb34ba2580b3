//! One event loop of hollow members: a thread with an epoll loop, a socket for each member, and a queue of delayed
//! datagrams.

use super::conditions::NetworkConditions;
use super::counters::{LATE_US, LoopCounters};
use super::error::HollowError;
use super::shards::{Command, LoopStatus, Shared};
use basaltward_membership::{MemberId, MemberState};
use basaltward_net::{Io, IoEvent, Micros, thread_time};
use basaltward_peers::{Event, PeerConfig, PeerTransport};
use basaltward_permits::Bounds;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::mpsc::Receiver;

/// Name of the fleet, the same as in the configuration of real members.
const FLEET: &str = "trial";
/// Maximum number of datagrams read from one socket per turn, as in the program.
const READ_BATCH: usize = 64;
/// Maximum number of due datagrams, and of due wakeups, per turn, so that sockets are not starved.
const DUE_BATCH: usize = 1_000;
/// Receive buffer; longer than the longest datagram that the codec accepts.
const READ_BYTES: usize = 512;
/// Maximum wait in one turn.
const MAX_WAIT_US: Micros = 100_000;

struct Member {
    transport: PeerTransport,
    /// Distinguishes this start of the member from earlier and later ones.
    start_number: u32,
    /// Time of the next wakeup.
    next_wake: Micros,
    rng: StdRng,
    /// Time until which calls have been drawn.
    drawn_until: Micros,
    /// The current second of the clock, and the bytes sent in it.
    second: (Micros, u64),
}

/// A delayed datagram.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DelayedDatagram {
    at: Micros,
    sequence: u64,
    /// The hollow member that sends or receives it.
    member: MemberId,
    /// The start of the member that it belongs to.
    start_number: u32,
    /// Whether the hollow member sends it; otherwise it receives it.
    outgoing: bool,
    /// Address of the other end.
    other: SocketAddr,
    bytes: Vec<u8>,
}

/// An event loop with its members.
pub(crate) struct Shard {
    io: Io,
    shared: Arc<Shared>,
    conditions: NetworkConditions,
    running: Vec<bool>,
    /// Version of the shared state that was copied last.
    version: u64,
    members: BTreeMap<MemberId, Member>,
    /// The member of each socket.
    owners: Vec<Option<MemberId>>,
    starts: u32,
    delayed: BinaryHeap<Reverse<DelayedDatagram>>,
    sequence: u64,
    wakes: BTreeSet<(Micros, MemberId)>,
    rng: StdRng,
    counters: LoopCounters,
    events: Vec<Event>,
}

impl Shard {
    pub fn new(mut io: Io, shared: Arc<Shared>, number: u64) -> Self {
        io.divert_datagrams();
        let (conditions, rng) =
            (shared.spec.conditions, StdRng::seed_from_u64(shared.spec.seed ^ number << 48));
        Self {
            io,
            conditions,
            rng,
            shared,
            running: Vec::new(),
            version: 0,
            members: BTreeMap::new(),
            owners: Vec::new(),
            starts: 0,
            delayed: BinaryHeap::new(),
            sequence: 0,
            wakes: BTreeSet::new(),
            counters: LoopCounters::default(),
            events: Vec::new(),
        }
    }

    /// Runs until it receives [`Command::Stop`] or a system call fails.
    pub fn run(mut self, commands: &Receiver<Command>) {
        let mut io_events = Vec::new();
        loop {
            if let Err(error) = self.io.turn(Some(self.wait()), &mut io_events) {
                eprintln!("the event loop of hollow members failed: {error}");
                return;
            }
            self.copy_state();
            for event in io_events.drain(..) {
                match event {
                    IoEvent::Datagrams(socket) => self.read(socket),
                    IoEvent::Woken => {
                        for command in commands.try_iter() {
                            if matches!(command, Command::Stop) {
                                return;
                            }
                            self.execute(command);
                        }
                    }
                    _ => {}
                }
            }
            self.deliver_due();
            self.wake_due();
        }
    }

    fn wait(&self) -> Micros {
        let next_delivery = self.delayed.peek().map_or(Micros::MAX, |Reverse(due)| due.at);
        let next_wake = self.wakes.first().map_or(Micros::MAX, |(at, _)| *at);
        let left = next_delivery.min(next_wake).saturating_sub(self.shared.spec.now());
        self.shared.spec.machine_time(left).min(MAX_WAIT_US)
    }

    fn copy_state(&mut self) {
        // The lock is poisoned only if the controlling thread panicked; it then stops this loop.
        let Ok(state) = self.shared.state.read() else { return };
        if state.version != self.version {
            self.version = state.version;
            self.conditions = state.conditions;
            self.running.clone_from(&state.running);
        }
    }

    fn execute(&mut self, command: Command) {
        // The sender of the command may have changed the shared state since this turn began.
        self.copy_state();
        // Failed replies are ignored: the sender may no longer wait for them.
        match command {
            Command::Open(members, reply) => {
                let opened = members.into_iter().try_for_each(|member| self.open(member));
                let _ = reply.send(opened);
            }
            Command::Kill(members, reply) => {
                members.iter().for_each(|member| self.kill(*member));
                let _ = reply.send(());
            }
            Command::Status { reset, reply } => {
                let _ = reply.send(self.status());
                if reset {
                    (self.counters.max_bytes_per_second, self.counters.max_late_us) = (0, 0);
                }
            }
            Command::Stop => {}
        }
    }

    fn open(&mut self, member: MemberId) -> Result<(), HollowError> {
        let Shared { spec, peers, .. } = &*self.shared;
        let config = PeerConfig {
            name: FLEET.into(),
            listen: peers[usize::from(member)],
            peers: peers.clone(),
            own: member,
            seed: spec.seed,
            operators: vec![IpAddr::V4(Ipv4Addr::LOCALHOST)],
            zones: Vec::new(),
            bounds: spec.permits.then(Bounds::default),
            sites: None,
            version: String::new(),
            round_trip: PeerConfig::ROUND_TRIP,
            bytes_per_s: 0,
        };
        let now = spec.now();
        let transport = PeerTransport::open(&config, &mut self.io, now)?;
        let socket = transport.socket();
        if self.owners.len() <= socket {
            self.owners.resize(socket + 1, None);
        }
        self.owners[socket] = Some(member);
        self.starts += 1;
        let next_wake = transport.next_due().max(now);
        self.wakes.insert((next_wake, member));
        let rng = StdRng::seed_from_u64(spec.seed ^ u64::from(member) << 32 ^ u64::from(self.starts));
        let (start_number, drawn_until, second) = (self.starts, now, (0, 0));
        self.members.insert(member, Member { transport, start_number, next_wake, rng, drawn_until, second });
        Ok(())
    }

    fn kill(&mut self, number: MemberId) {
        let Some(member) = self.members.remove(&number) else { return };
        self.wakes.remove(&(member.next_wake, number));
        let socket = member.transport.socket();
        self.owners[socket] = None;
        self.io.close_datagrams(socket);
    }

    fn status(&mut self) -> LoopStatus {
        self.counters.cpu_us = thread_time();
        let mut status = LoopStatus { counters: self.counters, ..LoopStatus::default() };
        for member in self.members.values() {
            *status.views.entry(member.transport.membership().digest()).or_default() += 1;
        }
        let Some(first) = self.members.values().next() else { return status };
        let view = first.transport.membership();
        let mut all = view.members().iter().zip(&self.running);
        status.correct_digest =
            all.all(|(entry, runs)| entry.state.is_live() == *runs).then_some(view.digest());
        status
    }

    /// Reads a member's socket. Datagrams of hollow members were delayed before they were sent; those of real members
    /// are delayed now.
    fn read(&mut self, socket: usize) {
        let Some(number) = self.owners.get(socket).copied().flatten() else { return };
        let mut bytes = [0; READ_BYTES];
        for _ in 0..READ_BATCH {
            let Some((length, from)) = self.io.receive_from_system(socket, &mut bytes) else { break };
            let sender = self.shared.numbers.get(&from).copied();
            match sender.filter(|sender| usize::from(*sender) < self.shared.spec.real_members) {
                Some(real) => {
                    let delays = self.conditions.copy_delays(real, number, &mut self.rng);
                    for delay in delays.into_iter().flatten() {
                        self.delay_datagram(delay, number, false, from, &bytes[..length]);
                    }
                }
                None => self.deliver(number, from, bytes[..length].to_vec()),
            }
        }
    }

    fn delay_datagram(
        &mut self,
        delay: Micros,
        number: MemberId,
        outgoing: bool,
        other: SocketAddr,
        bytes: &[u8],
    ) {
        let Some(member) = self.members.get(&number) else { return };
        self.sequence += 1;
        let (at, sequence, start_number) =
            (self.shared.spec.now() + delay, self.sequence, member.start_number);
        self.delayed.push(Reverse(DelayedDatagram {
            at,
            sequence,
            member: number,
            start_number,
            outgoing,
            other,
            bytes: bytes.to_vec(),
        }));
    }

    /// Passes a datagram to a member.
    fn deliver(&mut self, number: MemberId, from: SocketAddr, bytes: Vec<u8>) {
        let Some(member) = self.members.get_mut(&number) else { return };
        self.counters.received += 1;
        self.io.inject_datagram(member.transport.socket(), from, bytes);
        let now = self.shared.spec.now();
        member.transport.receive(&mut self.io, now, &mut self.events);
        self.follow_up(number);
    }

    /// Sends or delivers the delayed datagrams that are due.
    fn deliver_due(&mut self) {
        for _ in 0..DUE_BATCH {
            let now = self.shared.spec.now();
            let Some(Reverse(due)) = self.delayed.peek() else { return };
            if due.at > now {
                return;
            }
            let Some(Reverse(due)) = self.delayed.pop() else { return };
            let Some(member) =
                self.members.get(&due.member).filter(|member| member.start_number == due.start_number)
            else {
                // The member was killed in the meantime.
                continue;
            };
            self.counters.count_operation(now - due.at);
            if due.outgoing {
                let accepted = self.io.send_by_system(member.transport.socket(), due.other, &due.bytes);
                self.counters.send_failures += u64::from(!accepted);
            } else {
                self.deliver(due.member, due.other, due.bytes);
            }
        }
    }

    /// Wakes the members whose wakeup is due.
    fn wake_due(&mut self) {
        for _ in 0..DUE_BATCH {
            let now = self.shared.spec.now();
            let Some((at, number)) = self.wakes.first().copied().filter(|(at, _)| *at <= now) else { return };
            self.counters.count_operation(now - at);
            let Some(member) = self.members.get_mut(&number) else {
                self.wakes.remove(&(at, number));
                continue;
            };
            member.draw_calls(now, self.shared.spec.calls_per_s);
            member.transport.wake(&mut self.io, now, |_| 0, &mut self.events);
            self.follow_up(number);
        }
    }

    /// After a member has run: counts false deaths in its view, sends its datagrams and schedules its next wakeup.
    fn follow_up(&mut self, number: MemberId) {
        for event in std::mem::take(&mut self.events) {
            if let Event::MemberChanged { member: of, state: MemberState::Gone, .. } = event {
                let runs = self.running.get(usize::from(of)).copied().unwrap_or_default();
                self.counters.false_deaths += u64::from(runs);
            }
        }
        let now = self.shared.spec.now();
        for sent in self.io.take_diverted() {
            let to = self.shared.numbers.get(&sent.to).copied();
            let Some(member) = self.members.get_mut(&number) else { return };
            let Some(to) = to else {
                // The receiver is not a member: this answers an operator's request.
                self.io.send_by_system(sent.socket, sent.to, &sent.bytes);
                continue;
            };
            self.counters.count_sent(member, now, sent.bytes.len() as u64);
            let delays = self.conditions.copy_delays(number, to, &mut member.rng);
            for delay in delays.into_iter().flatten() {
                self.delay_datagram(delay, number, true, sent.to, &sent.bytes);
            }
        }
        let Some(member) = self.members.get_mut(&number) else { return };
        let next_wake = member.transport.next_due().max(now);
        if next_wake != member.next_wake {
            self.wakes.remove(&(member.next_wake, number));
            self.wakes.insert((next_wake, number));
            member.next_wake = next_wake;
        }
    }
}

impl LoopCounters {
    /// Counts an operation with its delay.
    fn count_operation(&mut self, delay: Micros) {
        self.operations += 1;
        self.late_operations += u64::from(delay > LATE_US);
        self.max_late_us = self.max_late_us.max(delay);
    }

    /// Counts a datagram sent by a member.
    fn count_sent(&mut self, member: &mut Member, now: Micros, bytes: u64) {
        self.datagrams += 1;
        self.bytes += bytes;
        let second = now / 1_000_000;
        if member.second.0 != second {
            member.second = (second, 0);
        }
        member.second.1 += bytes;
        self.max_bytes_per_second = self.max_bytes_per_second.max(member.second.1);
    }
}

impl Member {
    /// Draws and counts the calls served since the last draw, evenly distributed around the configured rate.
    fn draw_calls(&mut self, now: Micros, calls_per_s: f64) {
        let mean = calls_per_s * now.saturating_sub(self.drawn_until) as f64 / 1e6;
        self.drawn_until = now;
        let drawn = mean * self.rng.random_range(0.0..2.0);
        let calls = drawn as u64 + u64::from(self.rng.random_bool(drawn.fract()));
        (0..calls).for_each(|_| self.transport.count_call(0));
    }
}
