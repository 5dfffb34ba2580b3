//! The loop of the relays: what it does with each connection and datagram.

use crate::capture::Capture;
use crate::link::{ConnectionMode, Link};
use crate::relay::{Command, LinkCounts, Pair, Route, Shared};
use crate::shaping::{Item, Lane, Shaping};
use basaltward_net::{ConnId, EndReason, Io, IoEvent, Micros, NetError, bind, monotonic};
use basaltward_timers::Timers;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::sync::{Arc, PoisonError};

/// Longer datagrams than the platform allows are counted, and carried: the judge says what is wrong with them.
const DATAGRAM: usize = 2_048;
/// What the platform allows.
const ALLOWED: usize = 256;

/// One half of a relayed connection.
struct Half {
    route: usize,
    other: ConnId,
    /// The half that was accepted.
    near: bool,
    /// What came on it and is under way to the other.
    lane: Lane,
    capture: Option<Capture>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Datagram(u64),
    Lane(ConnId),
}

pub(crate) struct Running {
    io: Io,
    routes: Vec<Route>,
    pairs: Vec<Pair>,
    /// Routes by the number of their listener.
    listeners: HashMap<usize, usize>,
    halves: HashMap<ConnId, Half>,
    due: Timers<Due>,
    /// Datagrams on their way.
    waiting: HashMap<u64, (usize, Vec<u8>)>,
    sequence: u64,
    seed: u64,
    shared: Arc<Shared>,
}

impl Running {
    pub fn new(io: Io, (routes, pairs): (Vec<Route>, Vec<Pair>), seed: u64, shared: Arc<Shared>) -> Self {
        let of = |(number, route): (usize, &Route)| Some((route.listener?, number));
        let listeners = routes.iter().enumerate().filter_map(of).collect();
        Self {
            io,
            routes,
            pairs,
            listeners,
            halves: HashMap::new(),
            due: Timers::default(),
            waiting: HashMap::new(),
            sequence: 0,
            seed,
            shared,
        }
    }

    pub fn run(mut self) -> Result<(), NetError> {
        let mut happened = Vec::new();
        loop {
            let now = monotonic();
            let wait = self.due.next_due().map_or(1_000_000, |at| at.saturating_sub(now));
            self.io.turn(Some(wait), &mut happened)?;
            for happened in happened.drain(..) {
                self.take(happened);
            }
            self.io.free_ended();
            let now = monotonic();
            while let Some((_, due)) = self.due.pop_due(now) {
                match due {
                    Due::Datagram(id) => self.deliver_datagram(id),
                    Due::Lane(conn) => {
                        if let Some(half) = self.halves.get_mut(&conn) {
                            half.lane.armed = None;
                        }
                        self.deliver(conn);
                    }
                }
            }
            while let Some((command, done)) = self.shared.commands.pop() {
                match command {
                    Command::Stream(way, stream) => self.set(way, stream)?,
                    Command::Shape(way, shapings) => self.set_shapings(way, shapings),
                    Command::Change(way) => {
                        self.routes.iter_mut().filter(|r| r.way == way).for_each(|r| r.change = true);
                    }
                    Command::Loss(way, loss) => {
                        self.pairs.iter_mut().filter(|p| p.way == way).for_each(|p| p.loss = loss);
                    }
                    Command::Stop => return Ok(()),
                }
                let _ = done.send(());
            }
        }
    }

    fn count(&self, way: Link, change: impl FnOnce(&mut LinkCounts)) {
        let mut counts = self.shared.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = counts.entry(way).or_default();
        change(counts);
        counts.last = monotonic();
    }

    /// The halves on a route.
    fn halves(&self, number: usize) -> Vec<ConnId> {
        let here = |(id, half): (&ConnId, &Half)| (half.route == number).then_some(*id);
        self.halves.iter().filter_map(here).collect()
    }

    fn set(&mut self, way: Link, stream: ConnectionMode) -> Result<(), NetError> {
        for number in 0..self.routes.len() {
            let route = &mut self.routes[number];
            if route.way != way || route.stream == stream {
                continue;
            }
            route.stream = stream;
            if stream == ConnectionMode::Refuse {
                if let Some(listener) = route.listener.take() {
                    self.io.stop_listening(listener);
                }
                for id in self.halves(number) {
                    self.halves.remove(&id);
                    self.io.reset(id);
                }
            } else if route.listener.is_none() {
                let (listener, _) = self.io.listen(bind(route.address, false)?)?;
                self.routes[number].listener = Some(listener);
                self.listeners.insert(listener, number);
            }
            self.go_on(number);
        }
        Ok(())
    }

    fn set_shapings(&mut self, way: Link, shapings: [Shaping; 2]) {
        for number in 0..self.routes.len() {
            if self.routes[number].way == way {
                self.routes[number].shapings = shapings;
                self.go_on(number);
            }
        }
    }

    /// Carries what has waited on a route.
    fn go_on(&mut self, number: usize) {
        for id in self.halves(number) {
            self.carry(id);
        }
    }

    fn take(&mut self, happened: IoEvent) {
        match happened {
            IoEvent::Accepted { conn, listener } => self.accepted(conn, listener),
            IoEvent::Connected(conn) | IoEvent::Data(conn) => self.carry(conn),
            IoEvent::Drained(conn) => {
                if let Some(other) = self.halves.get(&conn).map(|half| half.other) {
                    self.carry(other);
                }
            }
            IoEvent::Ended(conn, how) => self.ended(conn, how),
            IoEvent::Datagrams(number) => self.datagrams(number),
            IoEvent::Signal(_) | IoEvent::Woken => {}
        }
    }

    fn accepted(&mut self, conn: ConnId, listener: usize) {
        let Some(number) = self.listeners.get(&listener).copied() else { return self.io.reset(conn) };
        let Route { way, target, from, reads, .. } = self.routes[number];
        let port = self.io.peer_address(conn).map_or(0, |peer| peer.port());
        let kept = from.and_then(|ip| self.io.connect_from(Some((ip, port).into()), target).ok());
        // The port may be in use there: the connection then has a name of its own, and only that.
        let plain = || from.and_then(|ip| self.io.connect_from(Some((ip, 0).into()), target).ok());
        let other = kept.or_else(plain).or_else(|| self.io.connect(target).ok());
        let Some(other) = other else { return self.io.reset(conn) };
        for (own, other, near) in [(conn, other, true), (other, conn, false)] {
            let capture = reads.and_then(|reads| Capture::new(reads, way, near));
            self.halves.insert(own, Half { route: number, other, near, lane: Lane::default(), capture });
        }
        self.count(way, |c| c.connections += 1);
    }

    /// Whether a half's bytes travel.
    fn carries(&self, half: &Half) -> bool {
        let route = &self.routes[half.route];
        route.stream == ConnectionMode::Pass && !route.shapings[usize::from(!half.near)].blackhole
    }

    /// Moves what has come on one half towards the other.
    fn carry(&mut self, conn: ConnId) {
        let Some(half) = self.halves.get(&conn) else { return };
        if !self.carries(half) {
            return;
        }
        if half.lane.has_room() {
            self.take_in(conn);
        }
        self.deliver(conn);
    }

    /// How late the next piece of a half is.
    fn late(&mut self, conn: ConnId) -> Micros {
        let Some(half) = self.halves.get(&conn) else { return 0 };
        let route = &mut self.routes[half.route];
        route.count += 1;
        let mut rng = StdRng::seed_from_u64(self.seed ^ (half.route as u64) << 40 ^ route.count);
        route.shapings[usize::from(!half.near)].draw(&mut rng)
    }

    /// Puts what has come on a half under way.
    fn take_in(&mut self, conn: ConnId) {
        let Some(input) = self.io.input(conn) else { return };
        let bytes = std::mem::take(input);
        if bytes.is_empty() {
            return;
        }
        let (now, late) = (monotonic(), self.late(conn));
        let Some(half) = self.halves.get_mut(&conn) else { return };
        let (route, direction) = (&mut self.routes[half.route], usize::from(!half.near));
        half.lane.push(now, bytes, (route.shapings[direction].bytes_per_s, &mut route.free[direction]), late);
    }

    /// Gives the other half what arrives by now.
    fn deliver(&mut self, conn: ConnId) {
        let now = monotonic();
        loop {
            let Some(half) = self.halves.get(&conn) else { return };
            let (number, other, near) = (half.route, half.other, half.near);
            if !self.carries(half) {
                return;
            }
            let Some(half) = self.halves.get_mut(&conn) else { return };
            match half.lane.due(now) {
                Some(Item::Bytes(mut bytes)) => {
                    let way = self.routes[number].way;
                    let changed = near && std::mem::take(&mut self.routes[number].change);
                    if changed {
                        let middle = bytes.len() / 2;
                        bytes[middle] ^= 0x55;
                    }
                    let Some(output) = self.io.output(other) else { continue };
                    output.extend_from_slice(&bytes);
                    if let Some(capture) = &mut half.capture {
                        let mut captured =
                            self.shared.captured.lock().unwrap_or_else(PoisonError::into_inner);
                        capture.take(now, &bytes, &mut captured);
                    }
                    let length = bytes.len() as u64;
                    self.count(way, |c| {
                        *(if near { &mut c.bytes.0 } else { &mut c.bytes.1 }) += length;
                        c.corrupted += u64::from(changed);
                    });
                }
                Some(Item::End(how)) => {
                    self.halves.remove(&conn);
                    self.halves.remove(&other);
                    return if how == EndReason::Closed {
                        self.io.close(other)
                    } else {
                        self.io.reset(other)
                    };
                }
                None => {
                    let (next, room) = (half.lane.next(), half.lane.has_room());
                    if let Some(at) = next.filter(|at| half.lane.armed != Some(*at)) {
                        half.lane.armed = Some(at);
                        self.due.set(at, Due::Lane(conn));
                    }
                    return self.io.pause(conn, !room);
                }
            }
        }
    }

    fn ended(&mut self, conn: ConnId, how: EndReason) {
        // What came before the end is under way before it, also while nothing is carried.
        self.take_in(conn);
        let late = self.late(conn);
        if let Some(half) = self.halves.get_mut(&conn) {
            half.lane.end(monotonic(), how, late);
        }
        self.deliver(conn);
    }

    fn deliver_datagram(&mut self, id: u64) {
        if let Some((pair, bytes)) = self.waiting.remove(&id) {
            let Pair { out, target, way, .. } = self.pairs[pair];
            let sent = self.io.send_to(out, target, &bytes);
            self.count(way, |c| c.delivered += u64::from(sent));
        }
    }

    fn datagrams(&mut self, number: usize) {
        let mut bytes = [0; DATAGRAM];
        while let Some((length, from)) = self.io.receive(number, &mut bytes) {
            let Some(pair) = self.pairs.get_mut(number) else { return };
            let Pair { way, sender, loss, .. } = *pair;
            if from != sender {
                self.count(way, |c| c.wrong_source += 1);
                continue;
            }
            pair.count += 1;
            // Of this datagram alone: what others do changes nothing for it.
            let mut rng = StdRng::seed_from_u64(self.seed ^ (number as u64) << 40 ^ pair.count);
            let copies = match (rng.random::<f64>(), rng.random::<f64>()) {
                (lost, _) if lost < loss.loss_rate => 0,
                (_, doubled) if doubled < loss.duplicate_rate => 2,
                _ => 1,
            };
            let now = monotonic();
            for _ in 0..copies {
                let late = rng.random_range(loss.delay_range.0..=loss.delay_range.1.max(loss.delay_range.0));
                self.sequence += 1;
                self.due.set(now + late, Due::Datagram(self.sequence));
                self.waiting.insert(self.sequence, (number, bytes[..length].to_vec()));
            }
            self.count(way, |c| {
                c.datagrams.0 += 1;
                c.datagrams.1 += length as u64;
                c.oversized += u64::from(length > ALLOWED);
            });
        }
    }
}
