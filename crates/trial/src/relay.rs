//! The relays: one loop that stands on every way.
//!
//! A connection keeps the port it came from on its second half, under the address of the scheduler that began
//! it, so that both ends name an attempt alike. A datagram leaves from the address at which its receiver knows
//! its sender.

use crate::Loss;
use crate::way::{Party, Stream, Way};
use basaltward_net::{ConnId, End, Happened, Io, IoLimits, Micros, NetError, Waker, bind, monotonic};
use basaltward_timers::Timers;
use crossbeam_queue::SegQueue;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

/// Longer datagrams than the platform allows are counted, and carried: the judge says what is wrong with them.
const DATAGRAM: usize = 2_048;
/// What the platform allows.
const ALLOWED: usize = 256;

/// What crossed one way, from who began to who was reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections begun.
    pub connections: u64,
    /// Bytes from who began, and back.
    pub bytes: (u64, u64),
    /// Datagrams sent, and their bytes.
    pub datagrams: (u64, u64),
    /// Datagrams delivered, doubles included.
    pub delivered: u64,
    /// Longer than the platform allows.
    pub too_long: u64,
    /// From an address that is not the sender's.
    pub strange: u64,
    /// When anything was last carried.
    pub last: Micros,
}

struct Route {
    way: Way,
    address: SocketAddr,
    target: SocketAddr,
    /// Where connections go out from.
    from: Option<IpAddr>,
    listener: Option<usize>,
    stream: Stream,
}

/// A socket that one scheduler takes for another.
struct Pair {
    way: Way,
    /// Who sends to it.
    sender: SocketAddr,
    /// Its number among the sockets of the loop, and that of the one its datagrams leave from.
    out: usize,
    target: SocketAddr,
    loss: Loss,
    /// Datagrams of this way so far: what becomes of each follows from the seed and this.
    count: u64,
}

enum Command {
    Stream(Way, Stream),
    Loss(Way, Loss),
    Stop,
}

struct Shared {
    commands: SegQueue<(Command, SyncSender<()>)>,
    counts: Mutex<BTreeMap<Way, Counts>>,
}

/// Tells the relays from outside.
pub struct Relay {
    shared: Arc<Shared>,
    waker: Waker,
    thread: Option<JoinHandle<Result<(), NetError>>>,
}

/// Relays being laid.
pub struct Laying {
    io: Io,
    routes: Vec<Route>,
    pairs: Vec<Pair>,
}

impl Laying {
    /// None yet.
    ///
    /// # Errors
    /// Where the system refuses the loop.
    pub fn new() -> Result<Self, NetError> {
        let io = Io::new(IoLimits { connections: 20_000, ..IoLimits::default() })?;
        Ok(Self { io, routes: Vec::new(), pairs: Vec::new() })
    }

    /// A way for connections; gives the address at which its target is reached.
    ///
    /// # Errors
    /// Where the system refuses the listener.
    pub fn route(
        &mut self,
        way: Way,
        target: SocketAddr,
        from: Option<IpAddr>,
    ) -> Result<SocketAddr, NetError> {
        let (number, address) = self.io.listen(bind(([127, 0, 0, 1], 0).into(), false)?)?;
        let (listener, stream) = (Some(number), Stream::Pass);
        self.routes.push(Route { way, address, target, from, listener, stream });
        Ok(address)
    }

    /// Ways for datagrams between all of these; gives for each where it reaches the others, by number, its own
    /// address in its own place.
    ///
    /// # Errors
    /// Where the system refuses the sockets.
    pub fn mesh(&mut self, peers: &[SocketAddr]) -> Result<Vec<Vec<SocketAddr>>, NetError> {
        let mut sockets = vec![Vec::new(); peers.len()];
        for (i, own) in peers.iter().enumerate() {
            for j in 0..peers.len() {
                sockets[i].push(match i == j {
                    true => (usize::MAX, *own),
                    false => self.io.datagrams(([127, 0, 0, 1], 0).into())?,
                });
            }
        }
        for i in 0..peers.len() {
            for j in (0..peers.len()).filter(|j| *j != i) {
                // Sockets are numbered as they are made, and so are the pairs.
                debug_assert_eq!(sockets[i][j].0, self.pairs.len());
                let way = Way { from: Party::Scheduler(i), to: Party::Scheduler(j) };
                let (sender, out, target) = (peers[i], sockets[j][i].0, peers[j]);
                self.pairs.push(Pair { way, sender, out, target, loss: Loss::default(), count: 0 });
            }
        }
        Ok(sockets.into_iter().map(|all| all.into_iter().map(|(_, address)| address).collect()).collect())
    }

    /// Sets them going.
    ///
    /// # Errors
    /// Where the system refuses the thread.
    pub fn start(self, seed: u64) -> Result<Relay, NetError> {
        let shared = Arc::new(Shared { commands: SegQueue::new(), counts: Mutex::default() });
        let waker = self.io.waker();
        let of = |(number, route): (usize, &Route)| Some((route.listener?, number));
        let listeners = self.routes.iter().enumerate().filter_map(of).collect();
        let running = Running {
            io: self.io,
            routes: self.routes,
            pairs: self.pairs,
            listeners,
            halves: HashMap::new(),
            due: Timers::default(),
            waiting: HashMap::new(),
            sequence: 0,
            seed,
            shared: shared.clone(),
        };
        let thread = std::thread::Builder::new().name("relays".into()).spawn(|| running.run())?;
        Ok(Relay { shared, waker, thread: Some(thread) })
    }
}

impl Relay {
    fn tell(&self, command: Command) {
        let (done, told) = sync_channel(1);
        self.shared.commands.push((command, done));
        self.waker.wake();
        // Once it returns the fault is there; an error says that the loop has ended, and nothing passes at all.
        let _ = told.recv();
    }

    /// What becomes of the connections of a way, from now on.
    pub fn stream(&self, way: Way, stream: Stream) {
        self.tell(Command::Stream(way, stream));
    }

    /// What becomes of the datagrams of a way, from now on.
    pub fn loss(&self, way: Way, loss: Loss) {
        self.tell(Command::Loss(way, loss));
    }

    /// What has crossed each way so far.
    pub fn counts(&self) -> BTreeMap<Way, Counts> {
        self.shared.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.tell(Command::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// One half of a relayed connection.
struct Half {
    route: usize,
    other: ConnId,
    /// The half that was accepted.
    near: bool,
    /// It ended while its way was stalled: the other half does not hear of it before the way is taken up.
    ended: Option<End>,
}

struct Running {
    io: Io,
    routes: Vec<Route>,
    pairs: Vec<Pair>,
    /// Routes by the number of their listener.
    listeners: HashMap<usize, usize>,
    halves: HashMap<ConnId, Half>,
    /// Datagrams on their way.
    due: Timers<u64>,
    waiting: HashMap<u64, (usize, Vec<u8>)>,
    sequence: u64,
    seed: u64,
    shared: Arc<Shared>,
}

impl Running {
    fn run(mut self) -> Result<(), NetError> {
        let mut happened = Vec::new();
        loop {
            let now = monotonic();
            let wait = self.due.next().map_or(1_000_000, |at| at.saturating_sub(now));
            self.io.turn(Some(wait), &mut happened)?;
            for happened in happened.drain(..) {
                self.take(happened);
            }
            self.io.forget_ended();
            let now = monotonic();
            while let Some((_, id)) = self.due.due(now) {
                if let Some((pair, bytes)) = self.waiting.remove(&id) {
                    let Pair { out, target, way, .. } = self.pairs[pair];
                    let sent = self.io.send_to(out, target, &bytes);
                    self.count(way, |c| c.delivered += u64::from(sent));
                }
            }
            while let Some((command, done)) = self.shared.commands.pop() {
                match command {
                    Command::Stream(way, stream) => self.set(way, stream)?,
                    Command::Loss(way, loss) => {
                        self.pairs.iter_mut().filter(|p| p.way == way).for_each(|p| p.loss = loss);
                    }
                    Command::Stop => return Ok(()),
                }
                let _ = done.send(());
            }
        }
    }

    fn count(&self, way: Way, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.shared.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = counts.entry(way).or_default();
        change(counts);
        counts.last = monotonic();
    }

    fn set(&mut self, way: Way, stream: Stream) -> Result<(), NetError> {
        for number in 0..self.routes.len() {
            let route = &mut self.routes[number];
            if route.way != way || route.stream == stream {
                continue;
            }
            route.stream = stream;
            if stream == Stream::Refuse {
                if let Some(listener) = route.listener.take() {
                    self.io.stop_listening(listener);
                }
                let here = |(id, half): (&ConnId, &Half)| (half.route == number).then_some(*id);
                let all: Vec<_> = self.halves.iter().filter_map(here).collect();
                for id in all {
                    self.halves.remove(&id);
                    self.io.reset(id);
                }
            } else if route.listener.is_none() {
                let (listener, _) = self.io.listen(bind(route.address, false)?)?;
                self.routes[number].listener = Some(listener);
                self.listeners.insert(listener, number);
            }
            if stream == Stream::Pass {
                let here = |(id, half): (&ConnId, &Half)| (half.route == number).then_some(*id);
                let all: Vec<_> = self.halves.iter().filter_map(here).collect();
                for id in all {
                    self.carry(id);
                    if let Some(how) = self.halves.get(&id).and_then(|half| half.ended) {
                        self.ended(id, how);
                    }
                }
            }
        }
        Ok(())
    }

    fn take(&mut self, happened: Happened) {
        match happened {
            Happened::Accepted { conn, listener } => self.accepted(conn, listener),
            Happened::Connected(conn) | Happened::Data(conn) => self.carry(conn),
            Happened::Drained(conn) => {
                if let Some(other) = self.halves.get(&conn).map(|half| half.other) {
                    self.carry(other);
                }
            }
            Happened::Ended(conn, how) => self.ended(conn, how),
            Happened::Datagrams(number) => self.datagrams(number),
            Happened::Signal(_) | Happened::Woken => {}
        }
    }

    fn accepted(&mut self, conn: ConnId, listener: usize) {
        let Some(number) = self.listeners.get(&listener).copied() else { return self.io.reset(conn) };
        let Route { way, target, from, .. } = self.routes[number];
        let port = self.io.peer_address(conn).map_or(0, |peer| peer.port());
        let kept = from.and_then(|ip| self.io.connect_from(Some((ip, port).into()), target).ok());
        // The port may be in use there: the connection then has a name of its own, and only that.
        let plain = || from.and_then(|ip| self.io.connect_from(Some((ip, 0).into()), target).ok());
        let other = kept.or_else(plain).or_else(|| self.io.connect(target).ok());
        let Some(other) = other else { return self.io.reset(conn) };
        self.halves.insert(conn, Half { route: number, other, near: true, ended: None });
        self.halves.insert(other, Half { route: number, other: conn, near: false, ended: None });
        self.count(way, |c| c.connections += 1);
    }

    /// Moves what has come on one half to the other.
    fn carry(&mut self, conn: ConnId) {
        let Some(Half { route, other, near, .. }) = self.halves.get(&conn) else { return };
        let (way, stream, other, near) = (self.routes[*route].way, self.routes[*route].stream, *other, *near);
        if stream != Stream::Pass {
            return;
        }
        let Some(input) = self.io.input(conn) else { return };
        let bytes = std::mem::take(input);
        if bytes.is_empty() {
            return;
        }
        let Some(output) = self.io.output(other) else { return };
        output.extend_from_slice(&bytes);
        self.io.pause(conn, false);
        let length = bytes.len() as u64;
        self.count(way, |c| if near { c.bytes.0 += length } else { c.bytes.1 += length });
    }

    fn ended(&mut self, conn: ConnId, how: End) {
        let Some(half) = self.halves.get_mut(&conn) else { return };
        if self.routes[half.route].stream == Stream::Stall {
            half.ended = Some(how);
            return;
        }
        self.carry(conn);
        let Some(half) = self.halves.remove(&conn) else { return };
        self.halves.remove(&half.other);
        if how == End::Closed { self.io.close(half.other) } else { self.io.reset(half.other) }
    }

    fn datagrams(&mut self, number: usize) {
        let mut bytes = [0; DATAGRAM];
        while let Some((length, from)) = self.io.receive(number, &mut bytes) {
            let Some(pair) = self.pairs.get_mut(number) else { return };
            let Pair { way, sender, loss, .. } = *pair;
            if from != sender {
                self.count(way, |c| c.strange += 1);
                continue;
            }
            pair.count += 1;
            // Of this datagram alone: what others do changes nothing for it.
            let mut rng = StdRng::seed_from_u64(self.seed ^ (number as u64) << 40 ^ pair.count);
            let copies = match (rng.random::<f64>(), rng.random::<f64>()) {
                (lost, _) if lost < loss.lost => 0,
                (_, doubled) if doubled < loss.doubled => 2,
                _ => 1,
            };
            let now = monotonic();
            for _ in 0..copies {
                let late = rng.random_range(loss.late.0..=loss.late.1.max(loss.late.0));
                self.sequence += 1;
                self.due.set(now + late, self.sequence);
                self.waiting.insert(self.sequence, (number, bytes[..length].to_vec()));
            }
            self.count(way, |c| {
                c.datagrams.0 += 1;
                c.datagrams.1 += length as u64;
                c.too_long += u64::from(length > ALLOWED);
            });
        }
    }
}
