//! The event loop of the relays: forwards connections and datagrams under the faults of their links.

use crate::capture::Capture;
use crate::link::{ConnectionMode, Link};
use crate::relay::{Command, LinkCounts, Pair, Route, Shared};
use crate::shaping::{DelayQueue, Item, Shaping};
use basaltward_net::{ConnId, EndReason, Io, IoEvent, Micros, NetError, bind, monotonic};
use basaltward_timers::Timers;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::sync::{Arc, PoisonError};

/// Receive buffer. Datagrams longer than the platform allows are forwarded and counted; the checker reports them.
const RECEIVE_BYTES: usize = 2_048;
/// Maximum length of a datagram on the platform.
const MAX_DATAGRAM_BYTES: usize = 256;

/// One half of a relayed connection.
struct Half {
    /// Index of its route.
    route: usize,
    other: ConnId,
    /// Whether this is the accepted half, which faces the connecting party.
    from_connector: bool,
    /// Bytes read from this half and not yet written to the other.
    queue: DelayQueue,
    capture: Option<Capture>,
}

/// A delivery that a timer triggers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// A datagram, by its number.
    Datagram(u64),
    /// The items of a connection half's queue that are due.
    Queue(ConnId),
}

pub(crate) struct RelayLoop {
    io: Io,
    routes: Vec<Route>,
    pairs: Vec<Pair>,
    /// Index of the route of each listener.
    listeners: HashMap<usize, usize>,
    halves: HashMap<ConnId, Half>,
    due: Timers<Due>,
    /// Datagrams that wait for their delivery time, with the index of their pair.
    delayed_datagrams: HashMap<u64, (usize, Vec<u8>)>,
    sequence: u64,
    seed: u64,
    shared: Arc<Shared>,
}

impl RelayLoop {
    pub fn new(io: Io, (routes, pairs): (Vec<Route>, Vec<Pair>), seed: u64, shared: Arc<Shared>) -> Self {
        let by_listener = |(number, route): (usize, &Route)| Some((route.listener?, number));
        let listeners = routes.iter().enumerate().filter_map(by_listener).collect();
        Self {
            io,
            routes,
            pairs,
            listeners,
            halves: HashMap::new(),
            due: Timers::default(),
            delayed_datagrams: HashMap::new(),
            sequence: 0,
            seed,
            shared,
        }
    }

    pub fn run(mut self) -> Result<(), NetError> {
        let mut events = Vec::new();
        loop {
            let now = monotonic();
            let wait = self.due.next_due().map_or(1_000_000, |at| at.saturating_sub(now));
            self.io.turn(Some(wait), &mut events)?;
            for event in events.drain(..) {
                self.handle(event);
            }
            self.io.free_ended();
            let now = monotonic();
            while let Some((_, due)) = self.due.pop_due(now) {
                match due {
                    Due::Datagram(id) => self.deliver_datagram(id),
                    Due::Queue(conn) => {
                        if let Some(half) = self.halves.get_mut(&conn) {
                            half.queue.timer = None;
                        }
                        self.deliver(conn);
                    }
                }
            }
            while let Some((command, done)) = self.shared.commands.pop() {
                match command {
                    Command::ConnectionMode(link, mode) => self.set_connection_mode(link, mode)?,
                    Command::Shape(link, shapings) => self.set_shaping(link, shapings),
                    Command::CorruptByte(link) => {
                        self.routes.iter_mut().filter(|r| r.link == link).for_each(|r| r.corrupt_next = true);
                    }
                    Command::DatagramFaults(link, faults) => {
                        self.pairs.iter_mut().filter(|p| p.link == link).for_each(|p| p.faults = faults);
                    }
                    Command::Stop => return Ok(()),
                }
                let _ = done.send(());
            }
        }
    }

    fn count(&self, link: Link, change: impl FnOnce(&mut LinkCounts)) {
        let mut counts = self.shared.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = counts.entry(link).or_default();
        change(counts);
        counts.last_activity = monotonic();
    }

    /// The connection halves of a route.
    fn halves(&self, number: usize) -> Vec<ConnId> {
        let on_route = |(id, half): (&ConnId, &Half)| (half.route == number).then_some(*id);
        self.halves.iter().filter_map(on_route).collect()
    }

    fn set_connection_mode(&mut self, link: Link, mode: ConnectionMode) -> Result<(), NetError> {
        for number in 0..self.routes.len() {
            let route = &mut self.routes[number];
            if route.link != link || route.mode == mode {
                continue;
            }
            route.mode = mode;
            if mode == ConnectionMode::Refuse {
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
            self.resume_route(number);
        }
        Ok(())
    }

    fn set_shaping(&mut self, link: Link, shapings: [Shaping; 2]) {
        for number in 0..self.routes.len() {
            if self.routes[number].link == link {
                self.routes[number].shapings = shapings;
                self.resume_route(number);
            }
        }
    }

    /// Forwards bytes that waited on a route.
    fn resume_route(&mut self, number: usize) {
        for id in self.halves(number) {
            self.forward(id);
        }
    }

    fn handle(&mut self, event: IoEvent) {
        match event {
            IoEvent::Accepted { conn, listener } => self.handle_accepted(conn, listener),
            IoEvent::Connected(conn) | IoEvent::Data(conn) => self.forward(conn),
            IoEvent::Drained(conn) => {
                if let Some(other) = self.halves.get(&conn).map(|half| half.other) {
                    self.forward(other);
                }
            }
            IoEvent::Ended(conn, reason) => self.handle_ended(conn, reason),
            IoEvent::Datagrams(number) => self.receive_datagrams(number),
            IoEvent::Signal(_) | IoEvent::Woken => {}
        }
    }

    fn handle_accepted(&mut self, conn: ConnId, listener: usize) {
        let Some(number) = self.listeners.get(&listener).copied() else { return self.io.reset(conn) };
        let Route { link, target, from, capture: protocol, .. } = self.routes[number];
        let port = self.io.peer_address(conn).map_or(0, |peer| peer.port());
        let with_same_port = from.and_then(|ip| self.io.connect_from(Some((ip, port).into()), target).ok());
        // The port may be in use at that address. The only consequence is that the two ends name the connection
        // differently.
        let with_any_port = || from.and_then(|ip| self.io.connect_from(Some((ip, 0).into()), target).ok());
        let other = with_same_port.or_else(with_any_port).or_else(|| self.io.connect(target).ok());
        let Some(other) = other else { return self.io.reset(conn) };
        for (own, other, from_connector) in [(conn, other, true), (other, conn, false)] {
            let capture = protocol.and_then(|protocol| Capture::new(protocol, link, from_connector));
            self.halves.insert(
                own,
                Half { route: number, other, from_connector, queue: DelayQueue::default(), capture },
            );
        }
        self.count(link, |c| c.connections += 1);
    }

    /// Whether bytes read from a half are forwarded now.
    fn forwards(&self, half: &Half) -> bool {
        let route = &self.routes[half.route];
        route.mode == ConnectionMode::Pass && !route.shapings[usize::from(!half.from_connector)].blackhole
    }

    /// Reads the bytes received on one half and forwards those that are due to the other.
    fn forward(&mut self, conn: ConnId) {
        let Some(half) = self.halves.get(&conn) else { return };
        if !self.forwards(half) {
            return;
        }
        if half.queue.has_capacity() {
            self.enqueue_input(conn);
        }
        self.deliver(conn);
    }

    /// Draws the delay of the next chunk of a half.
    fn draw_delay(&mut self, conn: ConnId) -> Micros {
        let Some(half) = self.halves.get(&conn) else { return 0 };
        let route = &mut self.routes[half.route];
        route.chunk_count += 1;
        let mut rng = StdRng::seed_from_u64(self.seed ^ (half.route as u64) << 40 ^ route.chunk_count);
        route.shapings[usize::from(!half.from_connector)].draw(&mut rng)
    }

    /// Queues the bytes received on a half.
    fn enqueue_input(&mut self, conn: ConnId) {
        let Some(input) = self.io.input(conn) else { return };
        let bytes = std::mem::take(input);
        if bytes.is_empty() {
            return;
        }
        let (now, delay) = (monotonic(), self.draw_delay(conn));
        let Some(half) = self.halves.get_mut(&conn) else { return };
        let (route, direction) = (&mut self.routes[half.route], usize::from(!half.from_connector));
        half.queue.push(
            now,
            bytes,
            (route.shapings[direction].bytes_per_s, &mut route.free_at[direction]),
            delay,
        );
    }

    /// Writes the queued bytes that are due, and the end of the connection after them, to the other half.
    fn deliver(&mut self, conn: ConnId) {
        let now = monotonic();
        loop {
            let Some(half) = self.halves.get(&conn) else { return };
            let (number, other, from_connector) = (half.route, half.other, half.from_connector);
            if !self.forwards(half) {
                return;
            }
            let Some(half) = self.halves.get_mut(&conn) else { return };
            match half.queue.pop_due(now) {
                Some(Item::Bytes(mut bytes)) => {
                    let link = self.routes[number].link;
                    let corrupt = from_connector && std::mem::take(&mut self.routes[number].corrupt_next);
                    if corrupt {
                        let middle = bytes.len() / 2;
                        bytes[middle] ^= 0x55;
                    }
                    let Some(output) = self.io.output(other) else { continue };
                    output.extend_from_slice(&bytes);
                    if let Some(capture) = &mut half.capture {
                        let mut captured =
                            self.shared.captured.lock().unwrap_or_else(PoisonError::into_inner);
                        capture.decode(now, &bytes, &mut captured);
                    }
                    let length = bytes.len() as u64;
                    self.count(link, |c| {
                        *(if from_connector { &mut c.bytes.0 } else { &mut c.bytes.1 }) += length;
                        c.corrupted += u64::from(corrupt);
                    });
                }
                Some(Item::End(reason)) => {
                    self.halves.remove(&conn);
                    self.halves.remove(&other);
                    return if reason == EndReason::Closed {
                        self.io.close(other)
                    } else {
                        self.io.reset(other)
                    };
                }
                None => {
                    let (next, has_capacity) = (half.queue.next_due(), half.queue.has_capacity());
                    if let Some(at) = next.filter(|at| half.queue.timer != Some(*at)) {
                        half.queue.timer = Some(at);
                        self.due.set(at, Due::Queue(conn));
                    }
                    return self.io.pause(conn, !has_capacity);
                }
            }
        }
    }

    fn handle_ended(&mut self, conn: ConnId, reason: EndReason) {
        // Bytes received before the end must be queued before it, also while nothing is forwarded.
        self.enqueue_input(conn);
        let delay = self.draw_delay(conn);
        if let Some(half) = self.halves.get_mut(&conn) {
            half.queue.end(monotonic(), reason, delay);
        }
        self.deliver(conn);
    }

    fn deliver_datagram(&mut self, id: u64) {
        if let Some((pair, bytes)) = self.delayed_datagrams.remove(&id) {
            let Pair { out_socket, target, link, .. } = self.pairs[pair];
            let sent = self.io.send_to(out_socket, target, &bytes);
            self.count(link, |c| c.delivered += u64::from(sent));
        }
    }

    fn receive_datagrams(&mut self, number: usize) {
        let mut bytes = [0; RECEIVE_BYTES];
        while let Some((length, from)) = self.io.receive(number, &mut bytes) {
            let Some(pair) = self.pairs.get_mut(number) else { return };
            let Pair { link, sender, faults, .. } = *pair;
            if from != sender {
                self.count(link, |c| c.wrong_source += 1);
                continue;
            }
            pair.datagram_count += 1;
            // Seeded for this datagram alone, so that its faults do not depend on other traffic.
            let mut rng = StdRng::seed_from_u64(self.seed ^ (number as u64) << 40 ^ pair.datagram_count);
            let copies = match (rng.random::<f64>(), rng.random::<f64>()) {
                (lost, _) if lost < faults.loss_rate => 0,
                (_, doubled) if doubled < faults.duplicate_rate => 2,
                _ => 1,
            };
            let now = monotonic();
            for _ in 0..copies {
                let delay =
                    rng.random_range(faults.delay_range.0..=faults.delay_range.1.max(faults.delay_range.0));
                self.sequence += 1;
                self.due.set(now + delay, Due::Datagram(self.sequence));
                self.delayed_datagrams.insert(self.sequence, (number, bytes[..length].to_vec()));
            }
            self.count(link, |c| {
                c.datagrams.0 += 1;
                c.datagrams.1 += length as u64;
                c.oversized += u64::from(length > MAX_DATAGRAM_BYTES);
            });
        }
    }
}
