//! System calls of a loop that may fail temporarily, with failure injection for tests.

use rustix::event::epoll;
use rustix::io::Errno;
use rustix::net::SocketFlags;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};

/// A system call whose failure can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// `accept4`.
    Accept,
    /// `connect`.
    Connect,
    /// `epoll_ctl` that adds a connection.
    EpollAdd,
    /// `epoll_ctl` that modifies the interest in a connection or a listener.
    EpollModify,
}

/// The system calls and the injected failures.
#[derive(Debug, Default)]
pub(crate) struct SystemCalls {
    /// Call, error and number of failures left.
    injected: Vec<(SystemCall, Errno, usize)>,
}

impl SystemCalls {
    /// Makes the next `times` calls of this kind fail with `error`.
    pub fn inject(&mut self, call: SystemCall, error: Errno, times: usize) {
        self.injected.push((call, error, times));
    }

    fn check_injected(&mut self, call: SystemCall) -> Result<(), Errno> {
        let injected = self.injected.iter_mut().find(|(kind, _, times)| *kind == call && *times > 0);
        match injected {
            Some((_, error, times)) => {
                *times -= 1;
                Err(*error)
            }
            None => Ok(()),
        }
    }

    pub fn accept(&mut self, listener: &TcpListener) -> Result<OwnedFd, Errno> {
        self.check_injected(SystemCall::Accept)?;
        rustix::net::accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC)
    }

    pub fn connect(&mut self, socket: impl AsFd, to: &SocketAddr) -> Result<(), Errno> {
        self.check_injected(SystemCall::Connect)?;
        rustix::net::connect(socket, to)
    }

    pub fn epoll_add(
        &mut self,
        epoll: &OwnedFd,
        source: impl AsFd,
        data: epoll::EventData,
        events: epoll::EventFlags,
    ) -> Result<(), Errno> {
        self.check_injected(SystemCall::EpollAdd)?;
        epoll::add(epoll, source, data, events)
    }

    pub fn epoll_modify(
        &mut self,
        epoll: &OwnedFd,
        source: impl AsFd,
        data: epoll::EventData,
        events: epoll::EventFlags,
    ) -> Result<(), Errno> {
        self.check_injected(SystemCall::EpollModify)?;
        epoll::modify(epoll, source, data, events)
    }
}
