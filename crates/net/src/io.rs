use crate::diverted::Diversion;
use crate::retry::Retries;
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

/// Failure of the loop itself. The failure of one connection is an [`EndReason`].
#[derive(Debug, Error)]
pub enum NetError {
    /// A system call failed.
    #[error("system call failed: {0}")]
    System(#[from] io::Error),
}

impl From<rustix::io::Errno> for NetError {
    fn from(errno: rustix::io::Errno) -> Self {
        Self::System(errno.into())
    }
}

/// Identifies a connection. The id is not reused for a later connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId {
    pub(crate) slot: u32,
    pub(crate) generation: u32,
}

/// Why a connection ended that the owner did not end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The peer closed its sending side (FIN).
    Closed,
    /// The connection failed, for example by a reset.
    Reset,
    /// The connection was never established; no data was sent.
    ConnectFailed,
}

/// An event of the loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IoEvent {
    /// A connection was accepted.
    Accepted {
        /// The new connection.
        conn: ConnId,
        /// Number of the listener.
        listener: usize,
    },
    /// A connection started with [`Io::connect`] is established.
    Connected(ConnId),
    /// Bytes were appended to the connection's input.
    Data(ConnId),
    /// All output has been written, after a write was blocked or [`Io::notify_when_drained`] was called.
    Drained(ConnId),
    /// The connection has ended. Its input may still hold bytes, and its id is valid until [`Io::free_ended`].
    Ended(ConnId, EndReason),
    /// A signal was delivered.
    Signal(i32),
    /// The loop's [`Waker`] was used.
    Woken,
    /// Datagrams are waiting at the UDP socket with this number.
    Datagrams(usize),
}

/// Limits of one loop.
#[derive(Clone, Copy, Debug)]
pub struct IoLimits {
    /// Maximum number of accepted connections, including locally closed ones that have not ended yet. At the limit none
    /// is accepted until one ends.
    pub connections: usize,
    /// Limit in bytes of the buffered input of a connection. Beyond it reading is paused until the owner resumes it.
    pub input: usize,
    /// Maximum time that a locally closed connection may take to end, in microseconds.
    pub linger: Micros,
    /// Whether an accepted connection ends as soon as the peer closes its side; unread input is then discarded. If
    /// false, the input before the end is read first.
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
    /// Events that epoll should report.
    pub(crate) desired: epoll::EventFlags,
    /// Events registered with epoll; `None` before the first registration.
    pub(crate) registered: Option<epoll::EventFlags>,
    connecting: bool,
    /// The socket's send buffer is full.
    write_blocked: bool,
    /// A write was blocked since the output was last empty.
    was_blocked: bool,
    /// The owner requested [`IoEvent::Drained`].
    notify_drained: bool,
    /// Listed in [`Io::dirty`].
    dirty: bool,
    /// Closed by the owner: further input is discarded.
    closing: bool,
    accepted: bool,
    pub(crate) ended: bool,
}

/// epoll events of a connection that is read.
const READ: epoll::EventFlags = epoll::EventFlags::IN.union(epoll::EventFlags::RDHUP);
/// Bit position of the kind of source in epoll's event data; the lower bits hold slot and generation.
const KIND_SHIFT: u64 = 60;
// Kinds of event sources in epoll's event data.
pub(crate) const CONN: u64 = 0;
pub(crate) const LISTENER: u64 = 1;
const SIGNAL: u64 = 2;
const WAKE: u64 = 3;
const DATAGRAMS: u64 = 4;
/// Capacity reserved for output, in bytes.
const OUTPUT_RESERVE: usize = 512;
/// Maximum number of epoll events per turn; the others are reported by the next one.
const MAX_EVENTS: usize = 256;
/// Maximum number of connections accepted from one listener per turn.
const ACCEPT_BATCH: usize = 64;

/// The event loop.
///
/// epoll is used in level-triggered mode: in the common case each message takes one read and no `epoll_ctl`, as in
/// edge-triggered mode, but pausing a connection can't lose an event.
pub struct Io {
    pub(crate) epoll: OwnedFd,
    pub(crate) system: SystemCalls,
    pub(crate) retries: Retries,
    limits: IoLimits,
    pub(crate) conns: Slab<Conn>,
    generation: u32,
    pub(crate) listeners: Vec<Option<TcpListener>>,
    /// UDP sockets by number; `None` if closed.
    pub(crate) sockets: Vec<Option<UdpSocket>>,
    /// Set if the owner transfers datagrams in place of the kernel.
    pub(crate) diversion: Option<Diversion>,
    /// Whether the listeners are registered for new connections.
    pub(crate) accepting: bool,
    /// Connections may be waiting in the kernel's accept queue since the last turn.
    may_have_backlog: bool,
    /// The owner has paused accepting.
    accept_paused: bool,
    /// Number of accepted connections in `conns`.
    accepted: usize,
    signals: Vec<Signal>,
    waker: Waker,
    /// The end of the waker's socket pair that the loop reads.
    woken: UnixStream,
    /// Read buffer shared by all connections.
    scratch: Box<[u8]>,
    /// Slots of the connections with output to write at the next flush.
    dirty: Vec<u32>,
    /// Connections whose end has been reported, to be freed by [`Io::free_ended`].
    ended: Vec<ConnId>,
    /// Connections whose start failed, to be reported by the next turn.
    pub(crate) failed: Vec<ConnId>,
    /// Locally closed connections and the times at which they are aborted, in ascending order.
    closing: VecDeque<(Micros, ConnId)>,
}

impl Io {
    /// Creates a loop without connections.
    ///
    /// # Errors
    /// If the descriptors can't be created.
    pub fn new(limits: IoLimits) -> Result<Self, NetError> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let (waker, woken) = Waker::pair()?;
        epoll::add(&epoll, &woken, event_data(WAKE, 0, 0), epoll::EventFlags::IN)?;
        Ok(Self {
            epoll,
            system: SystemCalls::default(),
            retries: Retries::default(),
            limits,
            conns: Slab::new(),
            generation: 0,
            listeners: Vec::new(),
            sockets: Vec::new(),
            diversion: None,
            accepting: true,
            may_have_backlog: false,
            accept_paused: false,
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

    /// Makes the next `times` calls of this kind fail with `error`.
    #[doc(hidden)]
    pub fn inject_failures(&mut self, call: SystemCall, error: rustix::io::Errno, times: usize) {
        self.system.inject(call, error, times);
    }

    /// Returns a handle that wakes this loop from other threads.
    pub fn waker(&self) -> Waker {
        self.waker.clone()
    }

    /// Makes this loop report these signals.
    ///
    /// # Errors
    /// If epoll refuses them.
    pub fn watch_signals(&mut self, signals: Signals) -> Result<(), NetError> {
        for signal in signals.registered {
            let data = event_data(SIGNAL, self.signals.len() as u32, 0);
            epoll::add(&self.epoll, &signal.pipe, data, epoll::EventFlags::IN)?;
            self.signals.push(signal);
        }
        Ok(())
    }

    /// Accepts connections from a listener made by [`bind`](crate::bind). Returns its number and address.
    ///
    /// # Errors
    /// If the listener can't be registered with epoll.
    pub fn listen(&mut self, listener: TcpListener) -> Result<(usize, SocketAddr), NetError> {
        let (number, address) = (self.listeners.len(), listener.local_addr()?);
        epoll::add(&self.epoll, &listener, event_data(LISTENER, number as u32, 0), epoll::EventFlags::IN)?;
        self.listeners.push(Some(listener));
        Ok((number, address))
    }

    /// Closes one listener. Accepted connections are not affected.
    pub fn stop_listening(&mut self, number: usize) {
        if let Some(slot) = self.listeners.get_mut(number) {
            *slot = None;
        }
    }

    /// Closes all listeners. Accepted connections are not affected.
    pub fn stop_all_listening(&mut self) {
        self.listeners.iter_mut().for_each(|slot| *slot = None);
    }

    /// Starts a connection. [`IoEvent::Connected`] or [`IoEvent::Ended`] follows.
    ///
    /// # Errors
    /// If no socket can be created.
    pub fn connect(&mut self, to: SocketAddr) -> Result<ConnId, NetError> {
        self.connect_from(None, to)
    }

    /// Like [`Io::connect`], from this local address if there is one.
    ///
    /// # Errors
    /// If no socket can be created or the local address can't be bound.
    pub fn connect_from(&mut self, from: Option<SocketAddr>, to: SocketAddr) -> Result<ConnId, NetError> {
        let family = if to.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
        if let Some(from) = from {
            sockopt::set_socket_reuseaddr(&socket, true)?;
            rustix::net::bind(&socket, &from)?;
        }
        let conn = self.insert(TcpStream::from(socket), false);
        self.conns[conn.slot as usize].connecting = true;
        self.start_connect(conn, to);
        Ok(conn)
    }

    /// Inserts a connection, without registering it with epoll.
    fn insert(&mut self, stream: TcpStream, accepted: bool) -> ConnId {
        let _ = sockopt::set_tcp_nodelay(&stream, true);
        self.generation = (self.generation + 1) & 0x0fff_ffff;
        let generation = self.generation;
        let slot = self.conns.insert(Conn {
            stream,
            generation,
            input: BytesMut::new(),
            output: BytesMut::new(),
            desired: epoll::EventFlags::empty(),
            registered: None,
            connecting: false,
            write_blocked: false,
            was_blocked: false,
            notify_drained: false,
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

    /// Whether the connection exists and has neither ended nor been closed locally.
    pub fn is_open(&mut self, id: ConnId) -> bool {
        self.get(id).is_some_and(|c| !c.ended && !c.closing)
    }

    /// The peer's address, by a system call.
    pub fn peer_address(&mut self, id: ConnId) -> Option<SocketAddr> {
        self.get(id).and_then(|c| c.stream.peer_addr().ok())
    }

    /// The local address, by a system call.
    pub fn local_address(&mut self, id: ConnId) -> Option<SocketAddr> {
        self.get(id).and_then(|c| c.stream.local_addr().ok())
    }

    /// Number of connections, including closing ones.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// The bytes received and not yet consumed; `None` if the connection does not exist.
    pub fn input(&mut self, id: ConnId) -> Option<&mut BytesMut> {
        self.get(id).map(|c| &mut c.input)
    }

    /// Frees the memory of an empty input, so that idle connections hold none.
    pub fn release_input(&mut self, id: ConnId) {
        if let Some(conn) = self.get(id).filter(|c| c.input.is_empty()) {
            conn.input = BytesMut::new();
        }
    }

    /// Buffer for bytes to send, which are written at the next turn. `None` if the connection has ended or was closed.
    pub fn output(&mut self, id: ConnId) -> Option<&mut BytesMut> {
        let conn = self.conns.get_mut(id.slot as usize)?;
        if conn.generation != id.generation || conn.closing || conn.ended {
            return None;
        }
        if !conn.dirty {
            conn.dirty = true;
            self.dirty.push(id.slot);
            // A typical message needs one allocation, which is freed once it is written.
            conn.output.reserve(OUTPUT_RESERVE);
        }
        Some(&mut conn.output)
    }

    /// Number of bytes in [`Io::output`] that are not yet written.
    pub fn unsent(&mut self, id: ConnId) -> usize {
        self.get(id).map_or(0, |c| c.output.len())
    }

    /// Whether the socket's send buffer is full.
    pub fn is_write_blocked(&mut self, id: ConnId) -> bool {
        self.get(id).is_some_and(|conn| conn.write_blocked)
    }

    /// Limits the kernel's send buffer of a connection, in bytes; a failure is ignored. Data in the buffer can't be
    /// withdrawn, and by default the kernel buffers megabytes for a peer that does not read.
    pub fn set_send_buffer_size(&mut self, id: ConnId, bytes: usize) {
        if let Some(conn) = self.get(id) {
            let _ = sockopt::set_socket_send_buffer_size(&conn.stream, bytes);
        }
    }

    /// Requests [`IoEvent::Drained`] once all current output is written, even if no write is blocked.
    pub fn notify_when_drained(&mut self, id: ConnId) {
        if let Some(conn) = self.get(id) {
            conn.notify_drained = true;
        }
    }

    /// Whether no connection has output to write or is still closing.
    pub fn is_flushed(&self) -> bool {
        self.dirty.is_empty() && self.conns.iter().all(|(_, c)| c.output.is_empty() && !c.closing)
    }

    /// Pauses or resumes reading. While it is paused, flow control soon stops the peer. With
    /// [`IoLimits::end_on_peer_close`] the end of an accepted connection is still noticed.
    pub fn pause(&mut self, id: ConnId, paused: bool) {
        let end_on_close = self.limits.end_on_peer_close;
        let Some(conn) = self.get(id).filter(|conn| !conn.connecting && !conn.ended) else { return };
        // An end that does not close the connection would be reported at each turn and make the loop spin.
        let masked = if end_on_close && conn.accepted { epoll::EventFlags::IN } else { READ };
        conn.desired = if paused { conn.desired - masked } else { conn.desired | READ };
        self.update_interest(id.slot);
    }

    /// Whether the peer has closed an idle connection or sent unexpected data that has not been reported yet. Checks
    /// the socket itself.
    pub fn is_stale(&mut self, id: ConnId) -> bool {
        !matches!(self.peek(id), Some(Err(error)) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the peer has closed a connection, even if this has not been reported yet. Checks the socket itself.
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

    /// Closes a connection in order: writes the remaining output, shuts down the sending side and waits at most
    /// [`IoLimits::linger`] for the peer to end the connection.
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

    /// Writes as much output as the send buffer holds, then closes the socket without waiting for the peer. This frees
    /// the descriptor at once, and the kernel delivers the buffered data.
    pub fn write_and_abort(&mut self, id: ConnId) {
        self.write_once(id);
        self.abort(id);
    }

    /// Like [`Io::write_and_abort`], but resets the connection: data that the peer's kernel has not received by then is
    /// lost.
    pub fn write_and_reset(&mut self, id: ConnId) {
        self.write_once(id);
        self.reset(id);
    }

    fn write_once(&mut self, id: ConnId) {
        if let Some(conn) = self.get(id).filter(|c| !c.output.is_empty() && !c.connecting && !c.ended) {
            let _ = (&conn.stream).write(&conn.output);
        }
    }

    /// Closes the socket at once; unwritten output is lost.
    pub fn abort(&mut self, id: ConnId) {
        if self.get(id).is_some() {
            self.remove(id.slot);
        }
    }

    /// Closes the socket at once with a TCP reset; unwritten output is lost.
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

    /// Writes pending output, waits for at most `wait` microseconds (`None`: until an event), and appends the events to
    /// `out`.
    ///
    /// # Errors
    /// If `epoll_wait` fails.
    pub fn turn(&mut self, wait: Option<Micros>, out: &mut Vec<IoEvent>) -> Result<(), NetError> {
        self.flush(out);
        let now = monotonic();
        self.abort_expired(now);
        // Before the wait is computed, since events of this step must not be delayed by it.
        self.retry_failed(now, out);
        let wait = if out.is_empty() && self.failed.is_empty() { wait } else { Some(0) };
        let wait = match (wait, self.closing.front()) {
            (Some(wait), Some(_)) => Some(wait.min(self.limits.linger)),
            (None, Some(_)) => Some(self.limits.linger),
            (wait, None) => wait,
        };
        self.update_listeners(now);
        let until_retry = self.retries.next_due(now).map(|at| at.saturating_sub(now));
        let wait = until_retry.into_iter().chain(wait).min();
        let wait = wait
            .map(|w| Timespec { tv_sec: (w / 1_000_000) as i64, tv_nsec: (w % 1_000_000 * 1_000) as i64 });
        let mut space = [MaybeUninit::<epoll::Event>::uninit(); MAX_EVENTS];
        let events: &[epoll::Event] = match epoll::wait(&self.epoll, &mut space, wait.as_ref()) {
            Ok((events, _)) => events,
            Err(rustix::io::Errno::INTR) => &[],
            Err(errno) => return Err(errno.into()),
        };
        for id in std::mem::take(&mut self.failed) {
            self.end(id, EndReason::ConnectFailed, out);
        }
        let (mut listener_ready, all_reported) = (false, events.len() < MAX_EVENTS);
        for event in events {
            let (data, flags) = (event.data.u64(), event.flags);
            let (slot, generation) = (data as u32, (data >> 32) as u32 & 0x0fff_ffff);
            match data >> KIND_SHIFT {
                LISTENER => {
                    listener_ready = true;
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
                _ => self.on_ready(ConnId { slot, generation }, flags, out),
            }
        }
        if !listener_ready {
            self.may_have_backlog = !all_reported;
        }
        // Checks the mark set by the handler, since its write to wake the loop may have failed.
        out.extend(self.signals.iter().filter(|signal| signal.take()).map(|s| IoEvent::Signal(s.number)));
        Ok(())
    }

    /// Frees the connections whose end has been reported. The owner calls this after handling the events of a turn.
    pub fn free_ended(&mut self) {
        for id in std::mem::take(&mut self.ended) {
            // By id and not by slot: the owner may have freed the connection, and the slot may have been reused.
            self.abort(id);
        }
    }

    pub(crate) fn end(&mut self, id: ConnId, reason: EndReason, out: &mut Vec<IoEvent>) {
        let Some(conn) = self.get(id).filter(|c| !c.ended) else { return };
        if conn.closing {
            return self.remove(id.slot);
        }
        conn.ended = true;
        let _ = epoll::delete(&self.epoll, &self.conns[id.slot as usize].stream);
        self.ended.push(id);
        out.push(IoEvent::Ended(id, reason));
    }

    /// Pauses or resumes accepting; meanwhile new connections wait in the kernel's queue.
    pub fn pause_accepting(&mut self, paused: bool) {
        self.accept_paused = paused;
    }

    /// Whether connections are accepted as they arrive: accepting is not paused, at the connection limit or delayed
    /// after an error, and the last turn left none in the kernel's queue. If it also accepted none, then none is
    /// waiting there.
    pub fn accepts_without_backlog(&self) -> bool {
        let delayed = self.may_have_backlog || self.retries.delays_accepting(monotonic());
        !self.accept_paused && !delayed && self.accepting && self.accepted < self.limits.connections
    }

    /// Registers or deregisters the listeners. At the connection limit new connections wait in the kernel's queue.
    fn update_listeners(&mut self, now: Micros) {
        let delayed = self.retries.delays_accepting(now);
        let accepting = !self.accept_paused && !delayed && self.accepted < self.limits.connections;
        if accepting != self.accepting {
            self.accepting = accepting;
            self.register_listeners(accepting);
        }
    }

    fn accept(&mut self, number: usize, out: &mut Vec<IoEvent>) {
        self.may_have_backlog = true;
        let mut failed = false;
        for _ in 0..ACCEPT_BATCH {
            if self.accepted >= self.limits.connections {
                return;
            }
            let Some(Some(listener)) = self.listeners.get(number) else { return };
            match self.system.accept(listener) {
                Ok(socket) => {
                    failed = false;
                    self.retries.accept_succeeded();
                    let conn = self.insert(TcpStream::from(socket), true);
                    self.conns[conn.slot as usize].desired = READ;
                    out.push(IoEvent::Accepted { conn, listener: number });
                    self.register_or_read(conn, out);
                }
                // The queue is empty.
                Err(rustix::io::Errno::WOULDBLOCK) => {
                    self.may_have_backlog = false;
                    return;
                }
                // The peer closed the connection before it was accepted, or the call was interrupted.
                Err(rustix::io::Errno::CONNABORTED | rustix::io::Errno::INTR) => {}
                // Descriptors or memory are exhausted, or the error was pending on that connection. The next call may
                // succeed, so accepting pauses only after two failures in a row.
                Err(_) if !std::mem::replace(&mut failed, true) => {}
                Err(_) => return self.retries.accept_failed(),
            }
        }
    }

    fn on_ready(&mut self, id: ConnId, flags: epoll::EventFlags, out: &mut Vec<IoEvent>) {
        let end_on_close = self.limits.end_on_peer_close;
        let Some(conn) = self.get(id).filter(|c| !c.ended) else { return };
        if conn.connecting {
            let failed = flags.intersects(epoll::EventFlags::ERR | epoll::EventFlags::HUP)
                || !matches!(sockopt::socket_error(&conn.stream), Ok(Ok(())));
            if failed {
                return self.end(id, EndReason::ConnectFailed, out);
            }
            conn.connecting = false;
            conn.desired = epoll::EventFlags::empty();
            self.pause(id, false);
            out.push(IoEvent::Connected(id));
            return;
        }
        let broken = epoll::EventFlags::ERR | epoll::EventFlags::HUP;
        let peer_ended = flags.intersects(epoll::EventFlags::RDHUP | broken);
        // The peer of a locally closed connection may still be reading the last output.
        if peer_ended && end_on_close && conn.accepted && !conn.closing {
            let reason = if flags.intersects(broken) { EndReason::Reset } else { EndReason::Closed };
            return self.end(id, reason, out);
        }
        if flags.contains(epoll::EventFlags::OUT) {
            self.unblock(id);
        }
        if flags.intersects(READ | broken) {
            self.read(id, out);
        }
    }

    /// Handles a socket that is writable again. Its output is written by the next [`Io::flush`] and not here, since the
    /// owner may first withdraw output that must no longer be sent.
    fn unblock(&mut self, id: ConnId) {
        let Some(conn) = self.get(id).filter(|conn| conn.write_blocked) else { return };
        conn.write_blocked = false;
        conn.was_blocked = true;
        conn.desired -= epoll::EventFlags::OUT;
        let was_clean = !std::mem::replace(&mut conn.dirty, true);
        self.update_interest(id.slot);
        if was_clean {
            self.dirty.push(id.slot);
        }
    }

    pub(crate) fn read(&mut self, id: ConnId, out: &mut Vec<IoEvent>) {
        let limit = self.limits.input;
        let Some(conn) = self.conns.get_mut(id.slot as usize).filter(|c| c.generation == id.generation)
        else {
            return;
        };
        match conn.stream.read(&mut self.scratch) {
            Ok(0) => self.end(id, EndReason::Closed, out),
            Ok(_) if conn.closing => {}
            Ok(read) => {
                conn.input.extend_from_slice(&self.scratch[..read]);
                if conn.input.len() > limit {
                    self.pause(id, true);
                }
                out.push(IoEvent::Data(id));
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(_) => self.end(id, EndReason::Reset, out),
        }
    }

    /// Writes the output added since the last turn or flush, for owners that spend a long time between turns. Appends
    /// events to `out`.
    pub fn flush(&mut self, out: &mut Vec<IoEvent>) {
        for slot in std::mem::take(&mut self.dirty) {
            let Some(conn) = self.conns.get_mut(slot as usize).filter(|c| c.dirty) else { continue };
            conn.dirty = false;
            if !conn.connecting && !conn.ended && !conn.write_blocked {
                self.write(slot, out);
            }
        }
    }

    /// Writes output until it is empty or the send buffer is full. Returns true if the connection ended.
    fn write(&mut self, slot: u32, out: &mut Vec<IoEvent>) -> bool {
        let Some(conn) = self.conns.get_mut(slot as usize) else { return true };
        let id = ConnId { slot, generation: conn.generation };
        if conn.closing && !conn.output.is_empty() {
            // Sends the last bytes and the FIN in one segment: a peer that receives the bytes alone would assume that
            // the connection stays open.
            let _ = sockopt::set_tcp_cork(&conn.stream, true);
        }
        while !conn.output.is_empty() {
            match (&conn.stream).write(&conn.output) {
                Ok(written) => conn.output.advance(written),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    conn.write_blocked = true;
                    conn.desired |= epoll::EventFlags::OUT;
                    self.update_interest(slot);
                    return false;
                }
                Err(_) => {
                    self.end(id, EndReason::Reset, out);
                    return true;
                }
            }
        }
        conn.output = BytesMut::new();
        let (was_blocked, notify) =
            (std::mem::take(&mut conn.was_blocked), std::mem::take(&mut conn.notify_drained));
        if conn.closing {
            let _ = rustix::net::shutdown(&conn.stream, Shutdown::Write);
        }
        if was_blocked || notify {
            out.push(IoEvent::Drained(id));
        }
        false
    }

    /// Aborts locally closed connections that have not ended in time.
    fn abort_expired(&mut self, now: Micros) {
        while let Some((_, id)) = self.closing.front().filter(|(until, _)| *until <= now).copied() {
            self.closing.pop_front();
            self.abort(id);
        }
    }
}

pub(crate) fn event_data(kind: u64, slot: u32, generation: u32) -> epoll::EventData {
    epoll::EventData::new_u64(kind << KIND_SHIFT | u64::from(generation) << 32 | u64::from(slot))
}

pub(crate) fn datagram_event(number: usize) -> epoll::EventData {
    event_data(DATAGRAMS, number as u32, 0)
}
