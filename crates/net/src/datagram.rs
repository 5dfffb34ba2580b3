//! Datagrams beside the connections of a loop.

use crate::{Io, NetError};
use rustix::event::epoll;
use std::net::{SocketAddr, UdpSocket};

impl Io {
    /// Takes datagrams at this address, told by [`Happened::Datagrams`](crate::Happened::Datagrams); gives the
    /// socket's number and address.
    ///
    /// # Errors
    /// Where the address can't be had.
    pub fn bind_datagrams(&mut self, at: SocketAddr) -> Result<(usize, SocketAddr), NetError> {
        let socket = UdpSocket::bind(at)?;
        socket.set_nonblocking(true)?;
        let vacant = self.sockets.iter().position(Option::is_none);
        let (number, address) = (vacant.unwrap_or(self.sockets.len()), socket.local_addr()?);
        epoll::add(&self.epoll, &socket, crate::io::datagram_event(number), epoll::EventFlags::IN)?;
        match vacant {
            Some(number) => self.sockets[number] = Some(socket),
            None => self.sockets.push(Some(socket)),
        }
        Ok((number, address))
    }

    /// Closes a socket of datagrams. Its number may be given to the next one.
    pub fn close_datagrams(&mut self, number: usize) {
        if let Some(slot) = self.sockets.get_mut(number) {
            *slot = None;
        }
    }

    /// The next datagram at a socket: its length and its sender. What is longer than `into` is cut off.
    pub fn receive(&mut self, number: usize, into: &mut [u8]) -> Option<(usize, SocketAddr)> {
        match &mut self.diversion {
            Some(diversion) => diversion.receive(number, into),
            None => self.receive_from_system(number, into),
        }
    }

    /// As [`Io::receive`], past a diversion.
    pub fn receive_from_system(&mut self, number: usize, into: &mut [u8]) -> Option<(usize, SocketAddr)> {
        let socket = self.sockets.get(number)?.as_ref()?;
        loop {
            match socket.recv_from(into) {
                Ok(told) => return Some(told),
                // Told of what was sent before: nobody listened there. What waits is behind it.
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {}
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        }
    }

    /// Sends one; false where the system did not take it, which is no more than a loss on the way.
    pub fn send_to(&mut self, number: usize, to: SocketAddr, bytes: &[u8]) -> bool {
        match &mut self.diversion {
            Some(diversion) => {
                diversion.send(number, to, bytes);
                true
            }
            None => self.send_by_system(number, to, bytes),
        }
    }

    /// As [`Io::send_to`], past a diversion.
    pub fn send_by_system(&mut self, number: usize, to: SocketAddr, bytes: &[u8]) -> bool {
        let socket = self.sockets.get(number).and_then(Option::as_ref);
        socket.is_some_and(|socket| socket.send_to(bytes, to).is_ok())
    }
}
