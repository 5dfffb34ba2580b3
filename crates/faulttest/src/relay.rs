//! The relays: one event loop that forwards the connections and datagrams of all links.
//!
//! The outgoing half of a relayed connection uses the source port of the incoming half and the IP address of the
//! connecting scheduler, so that both ends derive the same name for an attempt. A datagram leaves from the address
//! that the receiver has for the sender.

use crate::DatagramFaults;
use crate::capture::{CaptureProtocol, CapturedTraffic};
use crate::link::{ConnectionMode, Link, Party};
use crate::relay_loop::RelayLoop;
use crate::shaping::Shaping;
use basaltward_net::{Io, IoLimits, Micros, NetError, Waker, bind};
use crossbeam_queue::SegQueue;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

/// Traffic counters of one link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Connections accepted.
    pub connections: u64,
    /// Bytes from the connecting side, and back.
    pub bytes: (u64, u64),
    /// Datagrams received from the sender, and their bytes.
    pub datagrams: (u64, u64),
    /// Datagrams delivered, duplicates included.
    pub delivered: u64,
    /// Datagrams longer than the 256 bytes that the platform allows.
    pub oversized: u64,
    /// Datagrams from an address that is not the sender's; they are dropped.
    pub wrong_source: u64,
    /// Bytes that the relay corrupted.
    pub corrupted: u64,
    /// Time of the last change of these counters.
    pub last_activity: Micros,
}

/// A relayed link for connections.
pub(crate) struct Route {
    pub link: Link,
    pub address: SocketAddr,
    pub target: SocketAddr,
    /// Source address of outgoing connections; `None` to let the system choose.
    pub from: Option<IpAddr>,
    pub listener: Option<usize>,
    pub mode: ConnectionMode,
    /// From the connecting side, and back.
    pub shapings: [Shaping; 2],
    /// With a rate limit: the time at which everything queued so far has been sent, per direction.
    pub free_at: [Micros; 2],
    /// One byte of the next chunk from the connecting side is to be corrupted.
    pub corrupt_next: bool,
    /// How the traffic is decoded as it crosses, if at all.
    pub capture: Option<CaptureProtocol>,
    /// Chunks so far: the delay of each follows from the seed and this count.
    pub chunk_count: u64,
}

/// The socket to which one scheduler sends its datagrams for another.
pub(crate) struct Pair {
    pub link: Link,
    /// Address from which the scheduler must send.
    pub sender: SocketAddr,
    /// Number of the loop's socket from which its datagrams are forwarded.
    pub out_socket: usize,
    pub target: SocketAddr,
    pub faults: DatagramFaults,
    /// Datagrams so far: loss, duplication and delay of each follow from the seed and this count.
    pub datagram_count: u64,
}

pub(crate) enum Command {
    ConnectionMode(Link, ConnectionMode),
    Shape(Link, [Shaping; 2]),
    CorruptByte(Link),
    DatagramFaults(Link, DatagramFaults),
    Stop,
}

#[derive(Default)]
pub(crate) struct Shared {
    pub commands: SegQueue<(Command, SyncSender<()>)>,
    pub counts: Mutex<BTreeMap<Link, LinkCounts>>,
    pub captured: Mutex<CapturedTraffic>,
}

/// Controls the running relays and reads their counters. They stop when it is dropped.
pub struct Relay {
    shared: Arc<Shared>,
    waker: Waker,
    thread: Option<JoinHandle<Result<(), NetError>>>,
}

/// Sets up the links before the relays start.
pub struct RelayBuilder {
    io: Io,
    routes: Vec<Route>,
    pairs: Vec<Pair>,
}

impl RelayBuilder {
    /// A builder without links.
    ///
    /// # Errors
    /// The system cannot create the event loop.
    pub fn new() -> Result<Self, NetError> {
        let io = Io::new(IoLimits { connections: 20_000, ..IoLimits::default() })?;
        Ok(Self { io, routes: Vec::new(), pairs: Vec::new() })
    }

    /// Adds a link for connections and returns the relay address that leads to `target`. Outgoing connections use
    /// `from` as their source address, or one that the system chooses if it is `None`.
    ///
    /// # Errors
    /// The system cannot create the listener.
    pub fn add_link(
        &mut self,
        link: Link,
        target: SocketAddr,
        from: Option<IpAddr>,
    ) -> Result<SocketAddr, NetError> {
        let (number, address) = self.io.listen(bind(([127, 0, 0, 1], 0).into(), false)?)?;
        self.routes.push(Route {
            link,
            address,
            target,
            from,
            listener: Some(number),
            mode: ConnectionMode::Pass,
            shapings: Default::default(),
            free_at: [0; 2],
            corrupt_next: false,
            capture: None,
            chunk_count: 0,
        });
        Ok(address)
    }

    /// Decodes the traffic of the link that was added last.
    pub fn capture_last_link(&mut self, protocol: CaptureProtocol) {
        self.routes.iter_mut().last().into_iter().for_each(|route| route.capture = Some(protocol));
    }

    /// Adds datagram links between all `peers`. Returns for each peer the relay addresses that lead to the others, by
    /// number, with its own address at its own index.
    ///
    /// # Errors
    /// The system cannot create the sockets.
    pub fn add_datagram_mesh(&mut self, peers: &[SocketAddr]) -> Result<Vec<Vec<SocketAddr>>, NetError> {
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
                // Sockets and pairs are numbered in the same order of creation.
                debug_assert_eq!(sockets[i][j].0, self.pairs.len());
                let link = Link { from: Party::Scheduler(i), to: Party::Scheduler(j) };
                let (sender, out_socket, target) = (peers[i], sockets[j][i].0, peers[j]);
                self.pairs.push(Pair {
                    link,
                    sender,
                    out_socket,
                    target,
                    faults: DatagramFaults::default(),
                    datagram_count: 0,
                });
            }
        }
        Ok(sockets.into_iter().map(|all| all.into_iter().map(|(_, address)| address).collect()).collect())
    }

    /// Starts the relays.
    ///
    /// # Errors
    /// The system cannot start the thread.
    pub fn start(self, seed: u64) -> Result<Relay, NetError> {
        let shared = Arc::new(Shared::default());
        let waker = self.io.waker();
        let relay_loop = RelayLoop::new(self.io, (self.routes, self.pairs), seed, shared.clone());
        let thread = std::thread::Builder::new().name("relays".into()).spawn(|| relay_loop.run())?;
        Ok(Relay { shared, waker, thread: Some(thread) })
    }
}

impl Relay {
    fn execute(&self, command: Command) {
        let (done, executed) = sync_channel(1);
        self.shared.commands.push((command, done));
        self.waker.wake();
        // Returns once the fault is in effect. An error means that the loop has ended and nothing is forwarded at all.
        let _ = executed.recv();
    }

    /// Sets how the connections of a link are treated from now on.
    pub fn set_connection_mode(&self, link: Link, mode: ConnectionMode) {
        self.execute(Command::ConnectionMode(link, mode));
    }

    /// Sets delay, loss and rate of the bytes on a link's connections from now on: from the connecting side, and back.
    pub fn set_shaping(&self, link: Link, shapings: [Shaping; 2]) {
        self.execute(Command::Shape(link, shapings));
    }

    /// Corrupts one byte of the next chunk from the connecting side, once.
    pub fn corrupt_byte(&self, link: Link) {
        self.execute(Command::CorruptByte(link));
    }

    /// Sets loss, duplication and delay of a link's datagrams from now on.
    pub fn set_datagram_faults(&self, link: Link, faults: DatagramFaults) {
        self.execute(Command::DatagramFaults(link, faults));
    }

    /// Traffic counters of each link so far.
    pub fn counts(&self) -> BTreeMap<Link, LinkCounts> {
        self.shared.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Everything decoded on captured links so far.
    pub fn captured(&self) -> CapturedTraffic {
        self.shared.captured.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.execute(Command::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
