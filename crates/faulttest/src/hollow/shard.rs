//! One loop of hollow members: a thread with an epoll loop, a socket for each member, and the datagrams that are on
//! their way.

use super::conditions::NetworkConditions;
use super::counters::{LATE_US, LoopCounters};
use super::error::HollowError;
use super::shards::{Command, Look, Shared};
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

/// The name of the fleet, as real members are told it.
const FLEET: &str = "trial";
/// Datagrams taken from one socket in one turn, as the program takes them.
const BATCH: usize = 64;
/// Datagrams and wakes that are carried out in one turn, so that sockets get their turn.
const DUE_BATCH: usize = 1_000;
/// Longest datagram that is read: more than the codec takes.
const READ_BYTES: usize = 512;
/// Longest wait of a turn.
const IDLE_US: Micros = 100_000;

struct Member {
    transport: PeerTransport,
    /// Tells one life of a number from the next.
    life: u32,
    /// When it is woken next.
    armed: Micros,
    rng: StdRng,
    /// Until when its calls are drawn.
    drawn: Micros,
    /// A second of the clock, and the bytes sent in it.
    second: (Micros, u64),
}

/// A datagram on its way.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: Micros,
    sequence: u64,
    /// The hollow member that sends or receives it, in this life.
    of: MemberId,
    life: u32,
    sent: bool,
    /// The other end.
    other: SocketAddr,
    bytes: Vec<u8>,
}

/// See the module.
pub(crate) struct Shard {
    io: Io,
    shared: Arc<Shared>,
    conditions: NetworkConditions,
    running: Vec<bool>,
    /// Of the shared state as it was copied.
    version: u64,
    members: BTreeMap<MemberId, Member>,
    /// Whose each socket is.
    owners: Vec<Option<MemberId>>,
    lives: u32,
    due: BinaryHeap<Reverse<Due>>,
    sequence: u64,
    wakes: BTreeSet<(Micros, MemberId)>,
    rng: StdRng,
    load: LoopCounters,
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
            lives: 0,
            due: BinaryHeap::new(),
            sequence: 0,
            wakes: BTreeSet::new(),
            load: LoopCounters::default(),
            events: Vec::new(),
        }
    }

    /// Runs until it is told to stop or the system fails it.
    pub fn run(mut self, commands: &Receiver<Command>) {
        let mut happened = Vec::new();
        loop {
            if let Err(why) = self.io.turn(Some(self.wait()), &mut happened) {
                eprintln!("a loop of hollow members has ended: {why}");
                return;
            }
            self.copy_state();
            for event in happened.drain(..) {
                match event {
                    IoEvent::Datagrams(socket) => self.read(socket),
                    IoEvent::Woken => {
                        for command in commands.try_iter() {
                            if matches!(command, Command::Stop) {
                                return;
                            }
                            self.obey(command);
                        }
                    }
                    _ => {}
                }
            }
            self.carry();
            self.wake();
        }
    }

    fn wait(&self) -> Micros {
        let carried = self.due.peek().map_or(Micros::MAX, |Reverse(due)| due.at);
        let woken = self.wakes.first().map_or(Micros::MAX, |(at, _)| *at);
        let left = carried.min(woken).saturating_sub(self.shared.spec.now());
        self.shared.spec.machine_time(left).min(IDLE_US)
    }

    fn copy_state(&mut self) {
        // A poisoned lock belongs to an owner that has failed and will tell us to stop.
        let Ok(state) = self.shared.state.read() else { return };
        if state.version != self.version {
            self.version = state.version;
            self.conditions = state.conditions;
            self.running.clone_from(&state.running);
        }
    }

    fn obey(&mut self, command: Command) {
        // Whoever asks may have changed the state since this turn began.
        self.copy_state();
        // Whoever asked may have given up.
        match command {
            Command::Open(members, reply) => {
                let opened = members.into_iter().try_for_each(|member| self.open(member));
                let _ = reply.send(opened);
            }
            Command::Kill(members, reply) => {
                members.iter().for_each(|member| self.kill(*member));
                let _ = reply.send(());
            }
            Command::Look { reset, reply } => {
                let _ = reply.send(self.look());
                if reset {
                    (self.load.worst_second_bytes, self.load.worst_late_us) = (0, 0);
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
        self.lives += 1;
        let armed = transport.next_due().max(now);
        self.wakes.insert((armed, member));
        let rng = StdRng::seed_from_u64(spec.seed ^ u64::from(member) << 32 ^ u64::from(self.lives));
        let (life, drawn, second) = (self.lives, now, (0, 0));
        self.members.insert(member, Member { transport, life, armed, rng, drawn, second });
        Ok(())
    }

    fn kill(&mut self, number: MemberId) {
        let Some(member) = self.members.remove(&number) else { return };
        self.wakes.remove(&(member.armed, number));
        let socket = member.transport.socket();
        self.owners[socket] = None;
        self.io.close_datagrams(socket);
    }

    fn look(&mut self) -> Look {
        self.load.cpu_us = thread_time();
        let mut look = Look { load: self.load, ..Look::default() };
        for member in self.members.values() {
            *look.views.entry(member.transport.membership().digest()).or_default() += 1;
        }
        let Some(first) = self.members.values().next() else { return look };
        let view = first.transport.membership();
        let mut all = view.members().iter().zip(&self.running);
        look.right = all.all(|(entry, runs)| entry.state.is_live() == *runs).then_some(view.digest());
        look
    }

    /// Takes what waits at a socket: from hollow members it has had its delay, from real ones it has it before it.
    fn read(&mut self, socket: usize) {
        let Some(number) = self.owners.get(socket).copied().flatten() else { return };
        let mut bytes = [0; READ_BYTES];
        for _ in 0..BATCH {
            let Some((length, from)) = self.io.receive_from_system(socket, &mut bytes) else { break };
            let sender = self.shared.numbers.get(&from).copied();
            match sender.filter(|sender| usize::from(*sender) < self.shared.spec.real) {
                Some(real) => {
                    let fate = self.conditions.copy_delays(real, number, &mut self.rng);
                    for late in fate.into_iter().flatten() {
                        self.put_off(late, number, false, from, &bytes[..length]);
                    }
                }
                None => self.deliver(number, from, bytes[..length].to_vec()),
            }
        }
    }

    fn put_off(&mut self, late: Micros, of: MemberId, sent: bool, other: SocketAddr, bytes: &[u8]) {
        let Some(member) = self.members.get(&of) else { return };
        self.sequence += 1;
        let (at, sequence, life) = (self.shared.spec.now() + late, self.sequence, member.life);
        self.due.push(Reverse(Due { at, sequence, of, life, sent, other, bytes: bytes.to_vec() }));
    }

    /// A member hears a datagram.
    fn deliver(&mut self, number: MemberId, from: SocketAddr, bytes: Vec<u8>) {
        let Some(member) = self.members.get_mut(&number) else { return };
        self.load.received += 1;
        self.io.inject_datagram(member.transport.socket(), from, bytes);
        let now = self.shared.spec.now();
        member.transport.receive(&mut self.io, now, &mut self.events);
        self.follow_up(number);
    }

    /// Carries datagrams whose delay is over.
    fn carry(&mut self) {
        for _ in 0..DUE_BATCH {
            let now = self.shared.spec.now();
            let Some(Reverse(due)) = self.due.peek() else { return };
            if due.at > now {
                return;
            }
            let Some(Reverse(due)) = self.due.pop() else { return };
            let Some(member) = self.members.get(&due.of).filter(|member| member.life == due.life) else {
                // It died meanwhile.
                continue;
            };
            self.load.count_late(now - due.at);
            if due.sent {
                let taken = self.io.send_by_system(member.transport.socket(), due.other, &due.bytes);
                self.load.send_failures += u64::from(!taken);
            } else {
                self.deliver(due.of, due.other, due.bytes);
            }
        }
    }

    /// Wakes members whose time has come.
    fn wake(&mut self) {
        for _ in 0..DUE_BATCH {
            let now = self.shared.spec.now();
            let Some((at, number)) = self.wakes.first().copied().filter(|(at, _)| *at <= now) else { return };
            self.load.count_late(now - at);
            let Some(member) = self.members.get_mut(&number) else {
                self.wakes.remove(&(at, number));
                continue;
            };
            member.draw_calls(now, self.shared.spec.calls_per_member_s);
            member.transport.wake(&mut self.io, now, |_| 0, &mut self.events);
            self.follow_up(number);
        }
    }

    /// Sends what a member has put out, counts what it believes, and sees to its next wake.
    fn follow_up(&mut self, number: MemberId) {
        for event in std::mem::take(&mut self.events) {
            if let Event::MemberChanged { member: of, state: MemberState::Gone, .. } = event {
                let runs = self.running.get(usize::from(of)).copied().unwrap_or_default();
                self.load.false_deaths += u64::from(runs);
            }
        }
        let now = self.shared.spec.now();
        for sent in self.io.take_diverted() {
            let to = self.shared.numbers.get(&sent.to).copied();
            let Some(member) = self.members.get_mut(&number) else { return };
            let Some(to) = to else {
                // An operator has asked.
                self.io.send_by_system(sent.socket, sent.to, &sent.bytes);
                continue;
            };
            self.load.count(member, now, sent.bytes.len() as u64);
            let fate = self.conditions.copy_delays(number, to, &mut member.rng);
            for late in fate.into_iter().flatten() {
                self.put_off(late, number, true, sent.to, &sent.bytes);
            }
        }
        let Some(member) = self.members.get_mut(&number) else { return };
        let armed = member.transport.next_due().max(now);
        if armed != member.armed {
            self.wakes.remove(&(member.armed, number));
            self.wakes.insert((armed, number));
            member.armed = armed;
        }
    }
}

impl LoopCounters {
    /// Something was done so late after its time.
    fn count_late(&mut self, late: Micros) {
        self.operations += 1;
        self.late += u64::from(late > LATE_US);
        self.worst_late_us = self.worst_late_us.max(late);
    }

    /// A member has sent so many bytes.
    fn count(&mut self, member: &mut Member, now: Micros, bytes: u64) {
        self.datagrams += 1;
        self.bytes += bytes;
        let second = now / 1_000_000;
        if member.second.0 != second {
            member.second = (second, 0);
        }
        member.second.1 += bytes;
        self.worst_second_bytes = self.worst_second_bytes.max(member.second.1);
    }
}

impl Member {
    /// Calls served since this was last asked: drawn evenly about the told rate.
    fn draw_calls(&mut self, now: Micros, calls_per_s: f64) {
        let mean = calls_per_s * now.saturating_sub(self.drawn) as f64 / 1e6;
        self.drawn = now;
        let drawn = mean * self.rng.random_range(0.0..2.0);
        let calls = drawn as u64 + u64::from(self.rng.random_bool(drawn.fract()));
        (0..calls).for_each(|_| self.transport.count_call(0));
    }
}
