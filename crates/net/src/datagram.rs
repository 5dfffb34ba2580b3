//! UDP sockets of a loop.

use crate::{Io, NetError};
use rustix::event::epoll;
use std::net::{SocketAddr, UdpSocket};

impl Io {
    /// Binds a UDP socket, whose datagrams are reported by [`IoEvent::Datagrams`](crate::IoEvent::Datagrams). Returns
    /// the socket's number and address.
    ///
    /// # Errors
    /// If the address can't be bound or the socket can't be registered with epoll.
    pub fn bind_datagrams(&mut self, address: SocketAddr) -> Result<(usize, SocketAddr), NetError> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let vacant = self.sockets.iter().position(Option::is_none);
        let (number, bound) = (vacant.unwrap_or(self.sockets.len()), socket.local_addr()?);
        epoll::add(&self.epoll, &socket, crate::io::datagram_event(number), epoll::EventFlags::IN)?;
        match vacant {
            Some(number) => self.sockets[number] = Some(socket),
            None => self.sockets.push(Some(socket)),
        }
        Ok((number, bound))
    }

    /// Closes a UDP socket. A later socket may reuse its number.
    pub fn close_datagrams(&mut self, number: usize) {
        if let Some(slot) = self.sockets.get_mut(number) {
            *slot = None;
        }
    }

    /// Receives the next datagram of a socket: its length and its sender. One longer than `into` is truncated; `None`
    /// if none is waiting.
    pub fn receive(&mut self, number: usize, into: &mut [u8]) -> Option<(usize, SocketAddr)> {
        match &mut self.diversion {
            Some(diversion) => diversion.receive(number, into),
            None => self.receive_from_system(number, into),
        }
    }

    /// Like [`Io::receive`], from the socket even if datagrams are diverted.
    pub fn receive_from_system(&mut self, number: usize, into: &mut [u8]) -> Option<(usize, SocketAddr)> {
        let socket = self.sockets.get(number)?.as_ref()?;
        loop {
            match socket.recv_from(into) {
                Ok(received) => return Some(received),
                // Caused by an earlier send to a port without a listener; datagrams may be queued behind the error.
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {}
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        }
    }

    /// Sends a datagram. Returns false if the kernel refused it, which the owner may treat as packet loss.
    pub fn send_to(&mut self, number: usize, to: SocketAddr, bytes: &[u8]) -> bool {
        match &mut self.diversion {
            Some(diversion) => {
                diversion.send(number, to, bytes);
                true
            }
            None => self.send_by_system(number, to, bytes),
        }
    }

    /// Like [`Io::send_to`], through the socket even if datagrams are diverted.
    pub fn send_by_system(&mut self, number: usize, to: SocketAddr, bytes: &[u8]) -> bool {
        let socket = self.sockets.get(number).and_then(Option::as_ref);
        socket.is_some_and(|socket| socket.send_to(bytes, to).is_ok())
    }
}
