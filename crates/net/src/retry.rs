//! System calls that fail for a moment on this machine are made again: what a connection is watched for, connections
//! that are begun, connections that wait to be accepted.

use crate::io::{CONN, Conn, ConnId, Io, IoEvent, LISTENER, data};
use crate::{Micros, monotonic};
use rustix::event::epoll::EventFlags;
use rustix::io::Errno;
use std::net::SocketAddr;

/// Between two tries of a call that failed.
const AGAIN_US: Micros = 5_000;
/// A call that is interrupted so often in a row is made again later.
const INTERRUPTS: usize = 8;
/// Shortest and longest wait for new connections once the system has failed to accept one twice in a row. Those that
/// wait would be told at every turn.
const ACCEPT_AGAIN_US: (Micros, Micros) = (1_000, 20_000);

/// What failed and is tried again.
#[derive(Debug, Default)]
pub(crate) struct Again {
    /// Connections that are not watched as they should be.
    unwatched: Vec<ConnId>,
    /// Connections that could not be begun, and where they go.
    unbegun: Vec<(ConnId, SocketAddr)>,
    /// What listeners are watched for could not be changed.
    listeners: bool,
    /// When all of this is tried next.
    at: Micros,
    /// New connections are not accepted before this, and how long the wait is.
    accept_at: Micros,
    accept_wait: Micros,
}

impl Again {
    fn later(&mut self) {
        self.at = monotonic() + AGAIN_US;
    }

    /// When something is to be tried next.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let waits = self.listeners || !self.unwatched.is_empty() || !self.unbegun.is_empty();
        let accept = Some(self.accept_at).filter(|at| *at > now);
        waits.then_some(self.at).into_iter().chain(accept).min()
    }

    /// Whether accepting waits for the system.
    pub fn holds_accepting(&self, now: Micros) -> bool {
        now < self.accept_at
    }

    /// A connection was accepted.
    pub fn accepted(&mut self) {
        self.accept_wait = 0;
    }

    /// The system failed to accept, twice in a row.
    pub fn not_accepted(&mut self) {
        self.accept_wait = (self.accept_wait * 2).clamp(ACCEPT_AGAIN_US.0, ACCEPT_AGAIN_US.1);
        self.accept_at = monotonic() + self.accept_wait;
    }
}

impl Io {
    /// Has a connection watched for what it should be. False where that fails for now.
    pub(crate) fn watch(&mut self, slot: u32) -> bool {
        let Some(conn) = self.conns.get_mut(slot as usize).filter(|conn| !conn.ended) else { return true };
        let Conn { wanted, generation, .. } = *conn;
        let of = data(CONN, slot, generation);
        let told = match conn.interest {
            Some(interest) if interest == wanted => return true,
            Some(_) => self.system.rewatch(&self.epoll, &conn.stream, of, wanted),
            None => self.system.watch(&self.epoll, &conn.stream, of, wanted),
        };
        match told {
            Ok(()) => {
                conn.interest = Some(wanted);
                true
            }
            Err(_) => {
                let id = ConnId { slot, generation };
                if !self.again.unwatched.contains(&id) {
                    self.again.unwatched.push(id);
                }
                self.again.later();
                false
            }
        }
    }

    /// As [`Io::watch`]; what is not told of a connection that can't be watched is asked of it.
    pub(crate) fn watch_or_read(&mut self, id: ConnId, out: &mut Vec<IoEvent>) {
        let reads = |conn: &Conn| conn.wanted.contains(EventFlags::IN);
        if !self.watch(id.slot) && self.conns.get(id.slot as usize).is_some_and(reads) {
            self.read(id, out);
        }
    }

    /// Has all listeners watched for new connections, or for none.
    pub(crate) fn watch_all_listeners(&mut self, accepting: bool) {
        let flags = if accepting { EventFlags::IN } else { EventFlags::empty() };
        self.again.listeners = false;
        for (number, listener) in self.listeners.iter().enumerate() {
            let Some(listener) = listener else { continue };
            let of = data(LISTENER, number as u32, 0);
            if self.system.rewatch(&self.epoll, listener, of, flags).is_err() {
                self.again.listeners = true;
            }
        }
        if self.again.listeners {
            self.again.later();
        }
    }

    /// Begins a connection whose socket is there. One that this machine refuses for now is begun later, for as long as
    /// its owner waits for it; one that fails is told by the next turn.
    pub(crate) fn begin(&mut self, id: ConnId, to: SocketAddr) {
        let Some(conn) = self.conns.get_mut(id.slot as usize).filter(|c| c.generation == id.generation)
        else {
            return;
        };
        let connect = || self.system.connect(&conn.stream, &to);
        // Interrupted it may have begun or not: asked again the system says which.
        let told = std::iter::repeat_with(connect).take(INTERRUPTS).find(|told| *told != Err(Errno::INTR));
        match told.unwrap_or(Err(Errno::AGAIN)) {
            Ok(()) | Err(Errno::INPROGRESS | Errno::ALREADY | Errno::ISCONN) => {
                conn.wanted = EventFlags::OUT;
                self.watch(id.slot);
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
                self.again.unbegun.push((id, to));
                self.again.later();
            }
            Err(_) => self.failed.push(id),
        }
    }

    /// Tries again what failed, where it is time.
    pub(crate) fn try_again(&mut self, now: Micros, out: &mut Vec<IoEvent>) {
        if now < self.again.at {
            return;
        }
        for id in std::mem::take(&mut self.again.unwatched) {
            if self.get(id).is_some() {
                self.watch_or_read(id, out);
            }
        }
        for (id, to) in std::mem::take(&mut self.again.unbegun) {
            if self.is_open(id) {
                self.begin(id, to);
            }
        }
        if self.again.listeners {
            self.watch_all_listeners(self.accepting);
        }
    }
}
