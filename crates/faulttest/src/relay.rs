//! The relays: one loop that stands on every way.
//!
//! A connection keeps the port it came from on its second half, under the address of the scheduler that began
//! it, so that both ends name an attempt alike. A datagram leaves from the address at which its receiver knows
//! its sender.

use crate::DatagramFaults;
use crate::capture::{CaptureProtocol, CapturedTraffic};
use crate::link::{ConnectionMode, Link, Party};
use crate::relay_loop::Running;
use crate::shaping::Shaping;
use basaltward_net::{Io, IoLimits, Micros, NetError, Waker, bind};
use crossbeam_queue::SegQueue;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

/// What crossed one way, from who began to who was reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Connections begun.
    pub connections: u64,
    /// Bytes from who began, and back.
    pub bytes: (u64, u64),
    /// Datagrams sent, and their bytes.
    pub datagrams: (u64, u64),
    /// Datagrams delivered, doubles included.
    pub delivered: u64,
    /// Longer than the platform allows.
    pub oversized: u64,
    /// From an address that is not the sender's.
    pub wrong_source: u64,
    /// Bytes that the relay has changed.
    pub corrupted: u64,
    /// When anything was last carried.
    pub last: Micros,
}

pub(crate) struct Route {
    pub way: Link,
    pub address: SocketAddr,
    pub target: SocketAddr,
    /// Where connections go out from.
    pub from: Option<IpAddr>,
    pub listener: Option<usize>,
    pub stream: ConnectionMode,
    /// From who began, and back.
    pub shapings: [Shaping; 2],
    /// When all that was sent so far has left, in each direction, where its rate has a bound.
    pub free: [Micros; 2],
    /// The next bytes from who began are changed.
    pub change: bool,
    /// What of it is read as it crosses.
    pub reads: Option<CaptureProtocol>,
    /// Pieces so far: how late each is follows from the seed and this.
    pub count: u64,
}

/// A socket that one scheduler takes for another.
pub(crate) struct Pair {
    pub way: Link,
    /// Who sends to it.
    pub sender: SocketAddr,
    /// Its number among the sockets of the loop, and that of the one its datagrams leave from.
    pub out: usize,
    pub target: SocketAddr,
    pub loss: DatagramFaults,
    /// Datagrams of this way so far: what becomes of each follows from the seed and this.
    pub count: u64,
}

pub(crate) enum Command {
    Stream(Link, ConnectionMode),
    Shape(Link, [Shaping; 2]),
    Change(Link),
    Loss(Link, DatagramFaults),
    Stop,
}

#[derive(Default)]
pub(crate) struct Shared {
    pub commands: SegQueue<(Command, SyncSender<()>)>,
    pub counts: Mutex<BTreeMap<Link, LinkCounts>>,
    pub captured: Mutex<CapturedTraffic>,
}

/// Tells the relays from outside.
pub struct Relay {
    shared: Arc<Shared>,
    waker: Waker,
    thread: Option<JoinHandle<Result<(), NetError>>>,
}

/// Relays being laid.
pub struct RelayBuilder {
    io: Io,
    routes: Vec<Route>,
    pairs: Vec<Pair>,
}

impl RelayBuilder {
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
        way: Link,
        target: SocketAddr,
        from: Option<IpAddr>,
    ) -> Result<SocketAddr, NetError> {
        let (number, address) = self.io.listen(bind(([127, 0, 0, 1], 0).into(), false)?)?;
        self.routes.push(Route {
            way,
            address,
            target,
            from,
            listener: Some(number),
            stream: ConnectionMode::Pass,
            shapings: Default::default(),
            free: [0; 2],
            change: false,
            reads: None,
            count: 0,
        });
        Ok(address)
    }

    /// Has what goes on the way laid last read as it crosses.
    pub fn capture(&mut self, reads: CaptureProtocol) {
        self.routes.iter_mut().last().into_iter().for_each(|route| route.reads = Some(reads));
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
                    false => self.io.bind_datagrams(([127, 0, 0, 1], 0).into())?,
                });
            }
        }
        for i in 0..peers.len() {
            for j in (0..peers.len()).filter(|j| *j != i) {
                // Sockets are numbered as they are made, and so are the pairs.
                debug_assert_eq!(sockets[i][j].0, self.pairs.len());
                let way = Link { from: Party::Scheduler(i), to: Party::Scheduler(j) };
                let (sender, out, target) = (peers[i], sockets[j][i].0, peers[j]);
                self.pairs.push(Pair { way, sender, out, target, loss: DatagramFaults::default(), count: 0 });
            }
        }
        Ok(sockets.into_iter().map(|all| all.into_iter().map(|(_, address)| address).collect()).collect())
    }

    /// Sets them going.
    ///
    /// # Errors
    /// Where the system refuses the thread.
    pub fn start(self, seed: u64) -> Result<Relay, NetError> {
        let shared = Arc::new(Shared::default());
        let waker = self.io.waker();
        let running = Running::new(self.io, (self.routes, self.pairs), seed, shared.clone());
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
    pub fn set_connection_mode(&self, way: Link, stream: ConnectionMode) {
        self.tell(Command::Stream(way, stream));
    }

    /// How bytes of a way travel from now on, from who began and back.
    pub fn set_shaping(&self, way: Link, shapings: [Shaping; 2]) {
        self.tell(Command::Shape(way, shapings));
    }

    /// The next bytes of a way from who began are changed: one of them, once.
    pub fn corrupt_byte(&self, way: Link) {
        self.tell(Command::Change(way));
    }

    /// What becomes of the datagrams of a way, from now on.
    pub fn set_datagram_faults(&self, way: Link, loss: DatagramFaults) {
        self.tell(Command::Loss(way, loss));
    }

    /// What has crossed each way so far.
    pub fn counts(&self) -> BTreeMap<Link, LinkCounts> {
        self.shared.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// What was read on tapped ways so far.
    pub fn captured(&self) -> CapturedTraffic {
        self.shared.captured.lock().unwrap_or_else(PoisonError::into_inner).clone()
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
