//! Retries of system calls that failed temporarily on this machine: epoll registrations, starts of connections, and
//! accepting connections.

use crate::io::{CONN, Conn, ConnId, Io, IoEvent, LISTENER, event_data};
use crate::{Micros, monotonic};
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;
use std::net::SocketAddr;

/// Delay before a failed call is retried, in microseconds.
const RETRY_DELAY_US: Micros = 5_000;
/// After this number of consecutive interrupts (`EINTR`) the call is retried later.
const MAX_INTERRUPTS: usize = 8;
/// First pause in accepting after two failures of `accept` in a row, in microseconds; it doubles with each further one.
/// Without a pause the waiting connections would wake the loop at every turn.
const MIN_ACCEPT_DELAY_US: Micros = 1_000;
/// Longest such pause, in microseconds.
const MAX_ACCEPT_DELAY_US: Micros = 20_000;

/// Failed calls to be retried.
#[derive(Debug, Default)]
pub(crate) struct Retries {
    /// Connections whose epoll registration is out of date.
    unregistered: Vec<ConnId>,
    /// Connections that could not be started, and their destinations.
    unstarted: Vec<(ConnId, SocketAddr)>,
    /// Whether the registration of a listener is out of date.
    listeners: bool,
    /// Time of the next retry of all of these.
    retry_at: Micros,
    /// No connection is accepted before this time.
    accept_at: Micros,
    /// Length of the current pause in accepting, in microseconds; 0 if the last accept succeeded.
    accept_delay: Micros,
}

impl Retries {
    fn schedule(&mut self) {
        self.retry_at = monotonic() + RETRY_DELAY_US;
    }

    /// When the next retry or the end of a pause in accepting is due.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let is_pending = self.listeners || !self.unregistered.is_empty() || !self.unstarted.is_empty();
        let accept = Some(self.accept_at).filter(|at| *at > now);
        is_pending.then_some(self.retry_at).into_iter().chain(accept).min()
    }

    /// Whether accepting is paused after failures.
    pub fn delays_accepting(&self, now: Micros) -> bool {
        now < self.accept_at
    }

    /// Records that a connection was accepted.
    pub fn accept_succeeded(&mut self) {
        self.accept_delay = 0;
    }

    /// Pauses accepting after two failures in a row, for twice as long each time.
    pub fn accept_failed(&mut self) {
        self.accept_delay = (self.accept_delay * 2).clamp(MIN_ACCEPT_DELAY_US, MAX_ACCEPT_DELAY_US);
        self.accept_at = monotonic() + self.accept_delay;
    }
}

impl Io {
    /// Registers the desired events of a connection with epoll. Returns false if that fails; it is retried later.
    pub(crate) fn update_interest(&mut self, slot: u32) -> bool {
        let Some(conn) = self.conns.get_mut(slot as usize).filter(|conn| !conn.ended) else { return true };
        let Conn { desired, generation, .. } = *conn;
        let data = event_data(CONN, slot, generation);
        let result = match conn.registered {
            Some(registered) if registered == desired => return true,
            Some(_) => self.system.epoll_modify(&self.epoll, &conn.stream, data, desired),
            None => self.system.epoll_add(&self.epoll, &conn.stream, data, desired),
        };
        match result {
            Ok(()) => {
                conn.registered = Some(desired);
                true
            }
            Err(_) => {
                let id = ConnId { slot, generation };
                if !self.retries.unregistered.contains(&id) {
                    self.retries.unregistered.push(id);
                }
                self.retries.schedule();
                false
            }
        }
    }

    /// Like [`Io::update_interest`]. If registration fails, epoll would not report data that has arrived, so the
    /// connection is read directly.
    pub(crate) fn register_or_read(&mut self, id: ConnId, out: &mut Vec<IoEvent>) {
        let reads = |conn: &Conn| conn.desired.contains(EventFlags::IN);
        if !self.update_interest(id.slot) && self.conns.get(id.slot as usize).is_some_and(reads) {
            self.read(id, out);
        }
    }

    /// Registers all listeners for new connections, or for no events.
    pub(crate) fn register_listeners(&mut self, accepting: bool) {
        let flags = if accepting { EventFlags::IN } else { EventFlags::empty() };
        self.retries.listeners = false;
        for (number, listener) in self.listeners.iter().enumerate() {
            let Some(listener) = listener else { continue };
            let data = event_data(LISTENER, number as u32, 0);
            if self.system.epoll_modify(&self.epoll, listener, data, flags).is_err() {
                self.retries.listeners = true;
            }
        }
        if self.retries.listeners {
            self.retries.schedule();
        }
    }

    /// Starts connecting a socket. If this machine refuses temporarily, the start is retried until the owner closes the
    /// connection; another failure is reported by the next turn.
    pub(crate) fn start_connect(&mut self, id: ConnId, to: SocketAddr) {
        let Some(conn) = self.conns.get_mut(id.slot as usize).filter(|c| c.generation == id.generation)
        else {
            return;
        };
        let connect = || self.system.connect(&conn.stream, &to);
        // An interrupted call may have started the connection or not: the result of the next call shows which.
        let result =
            std::iter::repeat_with(connect).take(MAX_INTERRUPTS).find(|result| *result != Err(Errno::INTR));
        match result.unwrap_or(Err(Errno::AGAIN)) {
            Ok(()) | Err(Errno::INPROGRESS | Errno::ALREADY | Errno::ISCONN) => {
                conn.desired = EventFlags::OUT;
                self.update_interest(id.slot);
            }
            Err(
                Errno::ADDRNOTAVAIL
                | Errno::NETUNREACH
                | Errno::NETDOWN
                | Errno::NOBUFS
                | Errno::NOMEM
                | Errno::AGAIN
                | Errno::ADDRINUSE,
            ) => {
                self.retries.unstarted.push((id, to));
                self.retries.schedule();
            }
            Err(_) => self.failed.push(id),
        }
    }

    /// Retries failed calls if that is due.
    pub(crate) fn retry_failed(&mut self, now: Micros, out: &mut Vec<IoEvent>) {
        if now < self.retries.retry_at {
            return;
        }
        for id in std::mem::take(&mut self.retries.unregistered) {
            if self.get(id).is_some() {
                self.register_or_read(id, out);
            }
        }
        for (id, to) in std::mem::take(&mut self.retries.unstarted) {
            if self.is_open(id) {
                self.start_connect(id, to);
            }
        }
        if self.retries.listeners {
            self.register_listeners(self.accepting);
        }
    }
}
