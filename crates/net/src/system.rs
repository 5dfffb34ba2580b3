//! The system calls of a loop that may fail for a moment, and failures that tests plant in them.

use rustix::event::epoll;
use rustix::io::Errno;
use rustix::net::SocketFlags;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};

/// A system call that may fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// `accept4`.
    Accept,
    /// `connect`.
    Connect,
    /// `epoll_ctl` that begins to watch a connection.
    EpollAdd,
    /// `epoll_ctl` that changes what a connection or a listener is watched for.
    EpollModify,
}

/// The calls, and what tests have fail.
#[derive(Debug, Default)]
pub(crate) struct SystemCalls {
    planted: Vec<(SystemCall, Errno, usize)>,
}

impl SystemCalls {
    /// The next calls of this kind fail, so many of them.
    pub fn plant(&mut self, call: SystemCall, error: Errno, times: usize) {
        self.planted.push((call, error, times));
    }

    fn fails(&mut self, call: SystemCall) -> Result<(), Errno> {
        let planted = self.planted.iter_mut().find(|(of, _, times)| *of == call && *times > 0);
        match planted {
            Some((_, error, times)) => {
                *times -= 1;
                Err(*error)
            }
            None => Ok(()),
        }
    }

    pub fn accept(&mut self, listener: &TcpListener) -> Result<OwnedFd, Errno> {
        self.fails(SystemCall::Accept)?;
        rustix::net::accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC)
    }

    pub fn connect(&mut self, socket: impl AsFd, to: &SocketAddr) -> Result<(), Errno> {
        self.fails(SystemCall::Connect)?;
        rustix::net::connect(socket, to)
    }

    pub fn watch(
        &mut self,
        epoll: &OwnedFd,
        of: impl AsFd,
        data: epoll::EventData,
        events: epoll::EventFlags,
    ) -> Result<(), Errno> {
        self.fails(SystemCall::EpollAdd)?;
        epoll::add(epoll, of, data, events)
    }

    pub fn rewatch(
        &mut self,
        epoll: &OwnedFd,
        of: impl AsFd,
        data: epoll::EventData,
        events: epoll::EventFlags,
    ) -> Result<(), Errno> {
        self.fails(SystemCall::EpollModify)?;
        epoll::modify(epoll, of, data, events)
    }
}
