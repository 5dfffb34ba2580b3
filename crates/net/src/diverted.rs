//! Datagrams carried by the owner of a loop in place of the system, for trials that put delays and losses on them: what
//! is sent waits to be taken, and what is received is what the owner gives.

use crate::Io;
use std::net::SocketAddr;

/// A datagram that was sent on a loop whose datagrams are diverted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DivertedDatagram {
    /// The number of the socket that it was sent on.
    pub socket: usize,
    /// Its receiver.
    pub to: SocketAddr,
    /// What it says.
    pub bytes: Vec<u8>,
}

/// What waits on a loop whose datagrams are diverted.
#[derive(Default)]
pub(crate) struct Diversion {
    /// Sent, and not taken yet.
    sent: Vec<DivertedDatagram>,
    /// Given to be received by the next [`Io::receive`] on its socket.
    given: Option<(usize, SocketAddr, Vec<u8>)>,
}

impl Diversion {
    pub fn send(&mut self, socket: usize, to: SocketAddr, bytes: &[u8]) {
        self.sent.push(DivertedDatagram { socket, to, bytes: bytes.to_vec() });
    }

    pub fn receive(&mut self, number: usize, into: &mut [u8]) -> Option<(usize, SocketAddr)> {
        let (_, from, bytes) = self.given.take_if(|(socket, ..)| *socket == number)?;
        let length = bytes.len().min(into.len());
        into[..length].copy_from_slice(&bytes[..length]);
        Some((length, from))
    }
}

impl Io {
    /// From now on [`Io::send_to`] and [`Io::receive`] leave the system's sockets alone: what is sent waits for
    /// [`Io::take_diverted`], and what is received is what [`Io::give`] gave.
    pub fn divert_datagrams(&mut self) {
        self.diversion.get_or_insert_default();
    }

    /// What was sent since this was last asked; nothing where datagrams are not diverted.
    pub fn take_diverted(&mut self) -> Vec<DivertedDatagram> {
        self.diversion.as_mut().map(|diversion| std::mem::take(&mut diversion.sent)).unwrap_or_default()
    }

    /// The next [`Io::receive`] on this socket has this datagram. One is held at a time: a second takes its place.
    pub fn inject_datagram(&mut self, socket: usize, from: SocketAddr, bytes: Vec<u8>) {
        if let Some(diversion) = &mut self.diversion {
            diversion.given = Some((socket, from, bytes));
        }
    }
}
