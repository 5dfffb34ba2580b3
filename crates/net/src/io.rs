use crate::diverted::Diversion;
use crate::retry::Again;
use crate::system::{SystemCall, SystemCalls};
use crate::wake::{Signal, Signals, Waker, drain};
use crate::{Micros, monotonic};
use bytes::{Buf, BytesMut};
use rustix::event::{Timespec, epoll};
use rustix::net::{AddressFamily, Shutdown, SocketFlags, SocketType, sockopt};
use slab::Slab;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::time::Duration;
use thiserror::Error;

/// Why the loop itself failed; what goes wrong with one connection is an [`End`].
#[derive(Debug, Error)]
pub enum NetError {
    /// The system refused a call.
    #[error("system call failed: {0}")]
    System(#[from] io::Error),
}

impl From<rustix::io::Errno> for NetError {
    fn from(errno: rustix::io::Errno) -> Self {
        Self::System(errno.into())
    }
}

/// Names a connection for as long as it lasts; never given to another one later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId {
    pub(crate) slot: u32,
    pub(crate) generation: u32,
}

/// How a connection ended, when the owner did not end it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The peer sends no more.
    Closed,
    /// It broke.
    Reset,
    /// It was never established: no byte has left.
    ConnectFailed,
}

/// What a turn of the loop brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IoEvent {
    /// A connection came in at a listener, by its number.
    Accepted {
        /// The new connection.
        conn: ConnId,
        /// Which listener.
        listener: usize,
    },
    /// A connection begun with [`Io::connect`] stands.
    Connected(ConnId),
    /// Bytes were added to the input.
    Data(ConnId),
    /// All output has been written, after some of it had to wait or [`Io::await_drained`] was called.
    Drained(ConnId),
    /// The connection is gone, its id void once this has been handled; the input may still hold bytes.
    Ended(ConnId, EndReason),
    /// A signal came.
    Signal(i32),
    /// The loop's [`Waker`] was used.
    Woken,
    /// Datagrams wait at a socket, by its number.
    Datagrams(usize),
}

/// Bounds of one loop.
#[derive(Clone, Copy, Debug)]
pub struct IoLimits {
    /// Most accepted connections, those that were closed here and have not ended yet among them; beyond it none are
    /// accepted until some end.
    pub connections: usize,
    /// Most bytes of input held for one connection; beyond it reading stops until some are taken.
    pub input: usize,
    /// How long a connection that was closed here may take to end, in microseconds.
    pub linger: Micros,
    /// Who has ended its side of a connection that was accepted is gone at once: what it sent before and was not
    /// read is not. Else that is read first.
    pub end_on_peer_close: bool,
}

impl Default for IoLimits {
    fn default() -> Self {
        Self { connections: 10_000, input: 256 << 10, linger: 1_000_000, end_on_peer_close: false }
    }
}

pub(crate) struct Conn {
    pub(crate) stream: TcpStream,
    pub(crate) generation: u32,
    input: BytesMut,
    output: BytesMut,
    /// What epoll is to be asked for.
    pub(crate) wanted: epoll::EventFlags,
    /// What epoll was asked for, once it was.
    pub(crate) interest: Option<epoll::EventFlags>,
    connecting: bool,
    /// Output waits for the peer.
    stuck: bool,
    /// It was stuck since output was last written whole.
    unblocked: bool,
    /// The owner has more to send once the output is written.
    awaited: bool,
    dirty: bool,
    /// Closed by the owner: what comes in is thrown away.
    closing: bool,
    accepted: bool,
    pub(crate) ended: bool,
}

/// What a connection that is read is watched for.
const READ: epoll::EventFlags = epoll::EventFlags::IN.union(epoll::EventFlags::RDHUP);
const KIND: u64 = 60;
pub(crate) const CONN: u64 = 0;
pub(crate) const LISTENER: u64 = 1;
const SIGNAL: u64 = 2;
const WAKE: u64 = 3;
const DATAGRAMS: u64 = 4;
/// Room made for the first bytes of an output.
const MESSAGE: usize = 512;
/// Events taken from epoll in one turn; the rest come with the next.
const EVENTS: usize = 256;
/// Connections accepted from one listener before others get their turn.
const ACCEPT_BATCH: usize = 64;

/// The loop.
///
/// epoll is used level-triggered: on the ordinary path there is one read for each message and no call that
/// changes interest, as with edges, while a pause in reading can lose no event.
pub struct Io {
    pub(crate) epoll: OwnedFd,
    pub(crate) system: SystemCalls,
    pub(crate) again: Again,
    limits: IoLimits,
    pub(crate) conns: Slab<Conn>,
    generation: u32,
    pub(crate) listeners: Vec<Option<TcpListener>>,
    /// By number; none where it was closed.
    pub(crate) sockets: Vec<Option<UdpSocket>>,
    /// Where the owner carries datagrams in place of the system.
    pub(crate) diversion: Option<Diversion>,
    pub(crate) accepting: bool,
    /// The last turn may have left connections in the system's queue.
    may_wait: bool,
    /// The owner wants no new connections for now.
    held: bool,
    accepted: usize,
    signals: Vec<Signal>,
    waker: Waker,
    woken: UnixStream,
    scratch: Box<[u8]>,
    dirty: Vec<u32>,
    /// Connections whose end has been told, to be freed once the owner has handled it.
    ended: Vec<ConnId>,
    /// Connections that failed when they were begun, to be told by the next turn.
    pub(crate) failed: Vec<ConnId>,
    /// Connections closed here, by the time at which their patience ends.
    closing: VecDeque<(Micros, ConnId)>,
}

impl Io {
    /// A loop without connections.
    ///
    /// # Errors
    /// Where the system refuses the descriptors.
    pub fn new(limits: IoLimits) -> Result<Self, NetError> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let (waker, woken) = Waker::pair()?;
        epoll::add(&epoll, &woken, data(WAKE, 0, 0), epoll::EventFlags::IN)?;
        Ok(Self {
            epoll,
            system: SystemCalls::default(),
            again: Again::default(),
            limits,
            conns: Slab::new(),
            generation: 0,
            listeners: Vec::new(),
            sockets: Vec::new(),
            diversion: None,
            accepting: true,
            may_wait: false,
            held: false,
            accepted: 0,
            signals: Vec::new(),
            waker,
            woken,
            scratch: vec![0; 64 << 10].into_boxed_slice(),
            dirty: Vec::new(),
            ended: Vec::new(),
            failed: Vec::new(),
            closing: VecDeque::new(),
        })
    }

    /// Has the next calls of this kind fail so, as many of them.
    #[doc(hidden)]
    pub fn inject_failures(&mut self, call: SystemCall, error: rustix::io::Errno, times: usize) {
        self.system.plant(call, error, times);
    }

    /// Wakes this loop from other threads.
    pub fn waker(&self) -> Waker {
        self.waker.clone()
    }

    /// Has these signals told by this loop.
    ///
    /// # Errors
    /// Where the system refuses them.
    pub fn watch_signals(&mut self, signals: Signals) -> Result<(), NetError> {
        for signal in signals.taken {
            let of = data(SIGNAL, self.signals.len() as u32, 0);
            epoll::add(&self.epoll, &signal.pipe, of, epoll::EventFlags::IN)?;
            self.signals.push(signal);
        }
        Ok(())
    }

    /// Accepts connections from a listener made by [`bind`](crate::bind); gives its number and address.
    ///
    /// # Errors
    /// Where the system refuses to watch it.
    pub fn listen(&mut self, listener: TcpListener) -> Result<(usize, SocketAddr), NetError> {
        let (number, address) = (self.listeners.len(), listener.local_addr()?);
        epoll::add(&self.epoll, &listener, data(LISTENER, number as u32, 0), epoll::EventFlags::IN)?;
        self.listeners.push(Some(listener));
        Ok((number, address))
    }

    /// Stops accepting at one listener. Connections that stand are not touched.
    pub fn stop_listening(&mut self, number: usize) {
        if let Some(slot) = self.listeners.get_mut(number) {
            *slot = None;
        }
    }

    /// Stops accepting at all listeners.
    pub fn stop_all_listening(&mut self) {
        self.listeners.iter_mut().for_each(|slot| *slot = None);
    }

    /// Begins a connection; [`Happened::Connected`] or [`Happened::Ended`] follows.
    ///
    /// # Errors
    /// Where no socket can be had.
    pub fn connect(&mut self, to: SocketAddr) -> Result<ConnId, NetError> {
        self.connect_from(None, to)
    }

    /// As [`Io::connect`], from this address.
    ///
    /// # Errors
    /// Where no socket can be had, or not this address.
    pub fn connect_from(&mut self, from: Option<SocketAddr>, to: SocketAddr) -> Result<ConnId, NetError> {
        let family = if to.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
        if let Some(from) = from {
            sockopt::set_socket_reuseaddr(&socket, true)?;
            rustix::net::bind(&socket, &from)?;
        }
        let conn = self.add(TcpStream::from(socket), false);
        self.conns[conn.slot as usize].connecting = true;
        self.begin(conn, to);
        Ok(conn)
    }

    /// Takes a connection in, which is watched for nothing yet.
    fn add(&mut self, stream: TcpStream, accepted: bool) -> ConnId {
        let _ = sockopt::set_tcp_nodelay(&stream, true);
        self.generation = (self.generation + 1) & 0x0fff_ffff;
        let generation = self.generation;
        let slot = self.conns.insert(Conn {
            stream,
            generation,
            input: BytesMut::new(),
            output: BytesMut::new(),
            wanted: epoll::EventFlags::empty(),
            interest: None,
            connecting: false,
            stuck: false,
            unblocked: false,
            awaited: false,
            dirty: false,
            closing: false,
            accepted,
            ended: false,
        });
        self.accepted += usize::from(accepted);
        ConnId { slot: slot as u32, generation }
    }

    pub(crate) fn get(&mut self, id: ConnId) -> Option<&mut Conn> {
        let conn = self.conns.get_mut(id.slot as usize)?;
        (conn.generation == id.generation).then_some(conn)
    }

    /// Whether the connection is still usable.
    pub fn is_open(&mut self, id: ConnId) -> bool {
        self.get(id).is_some_and(|c| !c.ended && !c.closing)
    }

    /// The other end's address, by asking the system.
    pub fn peer_address(&mut self, id: ConnId) -> Option<SocketAddr> {
        self.get(id).and_then(|c| c.stream.peer_addr().ok())
    }

    /// Its own end's address, by asking the system.
    pub fn local_address(&mut self, id: ConnId) -> Option<SocketAddr> {
        self.get(id).and_then(|c| c.stream.local_addr().ok())
    }

    /// Connections that stand, closing ones included.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// The bytes received and not yet taken; `None` for one that is gone.
    pub fn input(&mut self, id: ConnId) -> Option<&mut BytesMut> {
        self.get(id).map(|c| &mut c.input)
    }

    /// Gives back the memory of an input that has been taken whole: an idle connection holds none.
    pub fn release_input(&mut self, id: ConnId) {
        if let Some(conn) = self.get(id).filter(|c| c.input.is_empty()) {
            conn.input = BytesMut::new();
        }
    }

    /// Where bytes to send are put; written at the next turn. `None` for one that is gone.
    pub fn output(&mut self, id: ConnId) -> Option<&mut BytesMut> {
        let conn = self.conns.get_mut(id.slot as usize)?;
        if conn.generation != id.generation || conn.closing || conn.ended {
            return None;
        }
        if !conn.dirty {
            conn.dirty = true;
            self.dirty.push(id.slot);
            // A usual message in one allocation; given back once it is written.
            conn.output.reserve(MESSAGE);
        }
        Some(&mut conn.output)
    }

    /// Bytes given to [`Io::output`] and not yet written.
    pub fn unsent(&mut self, id: ConnId) -> usize {
        self.get(id).map_or(0, |c| c.output.len())
    }

    /// Whether a connection's socket takes no more for now.
    pub fn is_write_blocked(&mut self, id: ConnId) -> bool {
        self.get(id).is_some_and(|conn| conn.stuck)
    }

    /// Bounds what the system holds of a connection's output: what it has can't be taken back, and left to itself it
    /// takes megabytes for a peer that does not read.
    pub fn set_send_buffer_size(&mut self, id: ConnId, bytes: usize) {
        if let Some(conn) = self.get(id) {
            let _ = sockopt::set_socket_send_buffer_size(&conn.stream, bytes);
        }
    }

    /// Has [`Happened::Drained`] told once all output given so far is written, also where none of it has to wait.
    pub fn notify_when_drained(&mut self, id: ConnId) {
        if let Some(conn) = self.get(id) {
            conn.awaited = true;
        }
    }

    /// Whether no connection still has output to write or an orderly end to reach.
    pub fn is_flushed(&self) -> bool {
        self.dirty.is_empty() && self.conns.iter().all(|(_, c)| c.output.is_empty() && !c.closing)
    }

    /// Stops or resumes reading: with it stopped the peer soon can't send on. Its end is seen all the same where
    /// that ends the connection at once.
    pub fn pause(&mut self, id: ConnId, paused: bool) {
        let ends = self.limits.end_on_peer_close;
        let Some(conn) = self.get(id).filter(|conn| !conn.connecting && !conn.ended) else { return };
        // Told at each turn, an end that is only noted would have the loop spin.
        let stops = if ends && conn.accepted { epoll::EventFlags::IN } else { READ };
        conn.wanted = if paused { conn.wanted - stops } else { conn.wanted | READ };
        self.watch(id.slot);
    }

    /// Whether the peer has ended an idle connection, or sent what nobody asked for, without this having
    /// been told yet: asks the socket itself.
    pub fn is_stale(&mut self, id: ConnId) -> bool {
        !matches!(self.peek(id), Some(Err(error)) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the peer has ended a connection without this having been told yet: asks the socket itself.
    pub fn peer_has_ended(&mut self, id: ConnId) -> bool {
        match self.peek(id) {
            Some(Ok(waiting)) => waiting == 0,
            Some(Err(error)) => error.kind() != ErrorKind::WouldBlock,
            None => true,
        }
    }

    fn peek(&mut self, id: ConnId) -> Option<io::Result<usize>> {
        let conn = self.get(id).filter(|c| !c.ended && !c.closing)?;
        Some(conn.stream.peek(&mut [0]))
    }

    /// Writes what is left, then ends the connection, waiting a bounded time for the peer to read it.
    pub fn close(&mut self, id: ConnId) {
        let until = monotonic() + self.limits.linger;
        let Some(conn) = self.get(id).filter(|c| !c.closing && !c.ended) else { return };
        conn.closing = true;
        conn.input = BytesMut::new();
        if conn.output.is_empty() {
            let _ = rustix::net::shutdown(&conn.stream, Shutdown::Write);
        }
        self.pause(id, false);
        self.closing.push_back((until, id));
    }

    /// Writes what the socket takes, then ends the connection without waiting for the peer: it holds no descriptor
    /// from now on, and the system brings the peer the rest.
    pub fn write_and_abort(&mut self, id: ConnId) {
        self.write_once(id);
        self.abort(id);
    }

    /// As [`Io::leave`], with a reset in place of an orderly end: what the peer's system has not got by then never comes
    /// to it.
    pub fn write_and_reset(&mut self, id: ConnId) {
        self.write_once(id);
        self.reset(id);
    }

    fn write_once(&mut self, id: ConnId) {
        if let Some(conn) = self.get(id).filter(|c| !c.output.is_empty() && !c.connecting && !c.ended) {
            let _ = (&conn.stream).write(&conn.output);
        }
    }

    /// Ends the connection at once; what was not written is lost.
    pub fn abort(&mut self, id: ConnId) {
        if self.get(id).is_some() {
            self.remove(id.slot);
        }
    }

    /// Ends the connection at once with a reset in place of an orderly end.
    pub fn reset(&mut self, id: ConnId) {
        if let Some(conn) = self.get(id) {
            let _ = sockopt::set_socket_linger(&conn.stream, Some(Duration::ZERO));
            self.remove(id.slot);
        }
    }

    fn remove(&mut self, slot: u32) {
        if let Some(conn) = self.conns.try_remove(slot as usize) {
            self.accepted -= usize::from(conn.accepted);
        }
    }

    /// Writes what is to be sent, waits for at most `wait` (`None`: until something happens), and adds what
    /// happened.
    ///
    /// # Errors
    /// Where waiting itself fails.
    pub fn turn(&mut self, wait: Option<Micros>, out: &mut Vec<IoEvent>) -> Result<(), NetError> {
        self.flush(out);
        let now = monotonic();
        self.expire(now);
        // Before it is known how long to wait: what this brings is not to wait.
        self.try_again(now, out);
        let wait = if out.is_empty() && self.failed.is_empty() { wait } else { Some(0) };
        let wait = match (wait, self.closing.front()) {
            (Some(wait), Some(_)) => Some(wait.min(self.limits.linger)),
            (None, Some(_)) => Some(self.limits.linger),
            (wait, None) => wait,
        };
        self.watch_listeners(now);
        let again = self.again.next_due(now).map(|at| at.saturating_sub(now));
        let wait = again.into_iter().chain(wait).min();
        let wait = wait
            .map(|w| Timespec { tv_sec: (w / 1_000_000) as i64, tv_nsec: (w % 1_000_000 * 1_000) as i64 });
        let mut space = [MaybeUninit::<epoll::Event>::uninit(); EVENTS];
        let events: &[epoll::Event] = match epoll::wait(&self.epoll, &mut space, wait.as_ref()) {
            Ok((events, _)) => events,
            Err(rustix::io::Errno::INTR) => &[],
            Err(errno) => return Err(errno.into()),
        };
        for id in std::mem::take(&mut self.failed) {
            self.end(id, EndReason::ConnectFailed, out);
        }
        let (mut listener_told, all_told) = (false, events.len() < EVENTS);
        for event in events {
            let (data, flags) = (event.data.u64(), event.flags);
            let (slot, generation) = (data as u32, (data >> 32) as u32 & 0x0fff_ffff);
            match data >> KIND {
                LISTENER => {
                    listener_told = true;
                    self.accept(slot as usize, out);
                }
                SIGNAL => {
                    if let Some(signal) = self.signals.get(slot as usize) {
                        drain(&signal.pipe);
                    }
                }
                WAKE => {
                    drain(&self.woken);
                    out.push(IoEvent::Woken);
                }
                DATAGRAMS => out.push(IoEvent::Datagrams(slot as usize)),
                _ => self.ready(ConnId { slot, generation }, flags, out),
            }
        }
        if !listener_told {
            self.may_wait = !all_told;
        }
        // By the mark that its handler made: what it wrote to wake the loop may be lost.
        out.extend(self.signals.iter().filter(|signal| signal.take()).map(|s| IoEvent::Signal(s.number)));
        Ok(())
    }

    /// Frees the connections whose end has been told; called by the owner after each turn's events.
    pub fn free_ended(&mut self) {
        for id in std::mem::take(&mut self.ended) {
            // By id, not by slot: the owner may have freed it, and another connection has the slot by now.
            self.abort(id);
        }
    }

    pub(crate) fn end(&mut self, id: ConnId, how: EndReason, out: &mut Vec<IoEvent>) {
        let Some(conn) = self.get(id).filter(|c| !c.ended) else { return };
        if conn.closing {
            return self.remove(id.slot);
        }
        conn.ended = true;
        let _ = epoll::delete(&self.epoll, &self.conns[id.slot as usize].stream);
        self.ended.push(id);
        out.push(IoEvent::Ended(id, how));
    }

    /// Holds new connections back in the system's queue, or accepts them again.
    pub fn pause_accepting(&mut self, held: bool) {
        self.held = held;
    }

    /// Whether connections are accepted as they come: neither held back nor at the limit, nor refused by the system for
    /// now. With none accepted in a turn none waits in the system's queue then.
    pub fn accepts_without_backlog(&self) -> bool {
        let put_off = self.may_wait || self.again.holds_accepting(monotonic());
        !self.held && !put_off && self.accepting && self.accepted < self.limits.connections
    }

    /// Connections at the limit are not accepted: they wait in the system's queue.
    fn watch_listeners(&mut self, now: Micros) {
        let put_off = self.again.holds_accepting(now);
        let wanted = !self.held && !put_off && self.accepted < self.limits.connections;
        if wanted != self.accepting {
            self.accepting = wanted;
            self.watch_all_listeners(wanted);
        }
    }

    fn accept(&mut self, number: usize, out: &mut Vec<IoEvent>) {
        self.may_wait = true;
        let mut failed = false;
        for _ in 0..ACCEPT_BATCH {
            if self.accepted >= self.limits.connections {
                return;
            }
            let Some(Some(listener)) = self.listeners.get(number) else { return };
            match self.system.accept(listener) {
                Ok(socket) => {
                    failed = false;
                    self.again.accepted();
                    let conn = self.add(TcpStream::from(socket), true);
                    self.conns[conn.slot as usize].wanted = READ;
                    out.push(IoEvent::Accepted { conn, listener: number });
                    self.watch_or_read(conn, out);
                }
                // No more waiting.
                Err(rustix::io::Errno::WOULDBLOCK) => {
                    self.may_wait = false;
                    return;
                }
                // One that had gone before it was accepted.
                Err(rustix::io::Errno::CONNABORTED | rustix::io::Errno::INTR) => {}
                // No descriptor or memory left for one, or an error that waited on it: the next may go through.
                Err(_) if !std::mem::replace(&mut failed, true) => {}
                Err(_) => return self.again.not_accepted(),
            }
        }
    }

    fn ready(&mut self, id: ConnId, flags: epoll::EventFlags, out: &mut Vec<IoEvent>) {
        let ends = self.limits.end_on_peer_close;
        let Some(conn) = self.get(id).filter(|c| !c.ended) else { return };
        if conn.connecting {
            let failed = flags.intersects(epoll::EventFlags::ERR | epoll::EventFlags::HUP)
                || !matches!(sockopt::socket_error(&conn.stream), Ok(Ok(())));
            if failed {
                return self.end(id, EndReason::ConnectFailed, out);
            }
            conn.connecting = false;
            conn.wanted = epoll::EventFlags::empty();
            self.pause(id, false);
            out.push(IoEvent::Connected(id));
            return;
        }
        let broken = epoll::EventFlags::ERR | epoll::EventFlags::HUP;
        let gone = flags.intersects(epoll::EventFlags::RDHUP | broken);
        // One that was closed here reads our last bytes yet.
        if gone && ends && conn.accepted && !conn.closing {
            let how = if flags.intersects(broken) { EndReason::Reset } else { EndReason::Closed };
            return self.end(id, how, out);
        }
        if flags.contains(epoll::EventFlags::OUT) {
            self.unblock(id);
        }
        if flags.intersects(READ | broken) {
            self.read(id, out);
        }
    }

    /// A connection's socket takes bytes again. They go with the next [`Io::flush`], as all do: its owner may have output
    /// that must not leave any more, and looks at it before.
    fn unblock(&mut self, id: ConnId) {
        let Some(conn) = self.get(id).filter(|conn| conn.stuck) else { return };
        conn.stuck = false;
        conn.unblocked = true;
        conn.wanted -= epoll::EventFlags::OUT;
        let is_new = !std::mem::replace(&mut conn.dirty, true);
        self.watch(id.slot);
        if is_new {
            self.dirty.push(id.slot);
        }
    }

    pub(crate) fn read(&mut self, id: ConnId, out: &mut Vec<IoEvent>) {
        let most = self.limits.input;
        let Some(conn) = self.conns.get_mut(id.slot as usize).filter(|c| c.generation == id.generation)
        else {
            return;
        };
        match conn.stream.read(&mut self.scratch) {
            Ok(0) => self.end(id, EndReason::Closed, out),
            Ok(_) if conn.closing => {}
            Ok(read) => {
                conn.input.extend_from_slice(&self.scratch[..read]);
                if conn.input.len() > most {
                    self.pause(id, true);
                }
                out.push(IoEvent::Data(id));
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(_) => self.end(id, EndReason::Reset, out),
        }
    }

    /// Writes the output of connections that got some since the last turn, or since this was last called: for
    /// owners whose turns are long. What it finds is added to what happened.
    pub fn flush(&mut self, out: &mut Vec<IoEvent>) {
        for slot in std::mem::take(&mut self.dirty) {
            let Some(conn) = self.conns.get_mut(slot as usize).filter(|c| c.dirty) else { continue };
            conn.dirty = false;
            if !conn.connecting && !conn.ended && !conn.stuck {
                self.write(slot, out);
            }
        }
    }

    /// Writes what the socket takes; true where the connection ended over it.
    fn write(&mut self, slot: u32, out: &mut Vec<IoEvent>) -> bool {
        let Some(conn) = self.conns.get_mut(slot as usize) else { return true };
        let id = ConnId { slot, generation: conn.generation };
        if conn.closing && !conn.output.is_empty() {
            // The last bytes go with the end in one segment: a peer that was woken by the bytes alone would
            // take the connection for one that is kept.
            let _ = sockopt::set_tcp_cork(&conn.stream, true);
        }
        while !conn.output.is_empty() {
            match (&conn.stream).write(&conn.output) {
                Ok(written) => conn.output.advance(written),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    conn.stuck = true;
                    conn.wanted |= epoll::EventFlags::OUT;
                    self.watch(slot);
                    return false;
                }
                Err(_) => {
                    self.end(id, EndReason::Reset, out);
                    return true;
                }
            }
        }
        conn.output = BytesMut::new();
        let (unblocked, awaited) = (std::mem::take(&mut conn.unblocked), std::mem::take(&mut conn.awaited));
        if conn.closing {
            let _ = rustix::net::shutdown(&conn.stream, Shutdown::Write);
        }
        if unblocked || awaited {
            out.push(IoEvent::Drained(id));
        }
        false
    }

    /// Ends connections that were closed here and whose peer takes too long.
    fn expire(&mut self, now: Micros) {
        while let Some((_, id)) = self.closing.front().filter(|(until, _)| *until <= now).copied() {
            self.closing.pop_front();
            self.abort(id);
        }
    }
}

pub(crate) fn data(kind: u64, slot: u32, generation: u32) -> epoll::EventData {
    epoll::EventData::new_u64(kind << KIND | u64::from(generation) << 32 | u64::from(slot))
}

pub(crate) fn datagram_event(number: usize) -> epoll::EventData {
    data(DATAGRAMS, number as u32, 0)
}
