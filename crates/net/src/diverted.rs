//! Datagrams that the owner of a loop transfers in place of the kernel, for simulations of delay and loss: sent ones
//! are queued for the owner, and received ones are those that the owner injects.

use crate::Io;
use std::net::SocketAddr;

/// A datagram sent on a loop with diverted datagrams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DivertedDatagram {
    /// Number of the sending socket.
    pub socket: usize,
    /// Destination address.
    pub to: SocketAddr,
    /// Payload.
    pub bytes: Vec<u8>,
}

/// State of a loop with diverted datagrams.
#[derive(Default)]
pub(crate) struct Diversion {
    /// Sent and not yet taken by [`Io::take_diverted`].
    sent: Vec<DivertedDatagram>,
    /// Socket, sender and payload of the datagram for the next [`Io::receive`] on that socket.
    injected: Option<(usize, SocketAddr, Vec<u8>)>,
}

impl Diversion {
    pub fn send(&mut self, socket: usize, to: SocketAddr, bytes: &[u8]) {
        self.sent.push(DivertedDatagram { socket, to, bytes: bytes.to_vec() });
    }

    pub fn receive(&mut self, number: usize, into: &mut [u8]) -> Option<(usize, SocketAddr)> {
        let (_, from, bytes) = self.injected.take_if(|(socket, ..)| *socket == number)?;
        let length = bytes.len().min(into.len());
        into[..length].copy_from_slice(&bytes[..length]);
        Some((length, from))
    }
}

impl Io {
    /// Detaches [`Io::send_to`] and [`Io::receive`] from the sockets: sent datagrams are queued for
    /// [`Io::take_diverted`], and received ones come from [`Io::inject_datagram`].
    pub fn divert_datagrams(&mut self) {
        self.diversion.get_or_insert_default();
    }

    /// Takes the datagrams sent since the last call; empty if datagrams are not diverted.
    pub fn take_diverted(&mut self) -> Vec<DivertedDatagram> {
        self.diversion.as_mut().map(|diversion| std::mem::take(&mut diversion.sent)).unwrap_or_default()
    }

    /// Makes the next [`Io::receive`] on this socket return this datagram. Only one is held at a time: a second one
    /// replaces it. Ignored if datagrams are not diverted.
    pub fn inject_datagram(&mut self, socket: usize, from: SocketAddr, bytes: Vec<u8>) {
        if let Some(diversion) = &mut self.diversion {
            diversion.injected = Some((socket, from, bytes));
        }
    }
}
