//! Asks real processes for the digests of their views, all at once, as an operator asks.

use basaltward_membership::{MAX_DATAGRAM_BYTES, StatusRequest, StatusResponse};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// How long answers are waited for: they come within a few milliseconds from a process that is not busy.
const PATIENCE: Duration = Duration::from_millis(150);

/// A socket for questions.
pub(crate) struct Probe {
    socket: UdpSocket,
    tag: u32,
}

impl Probe {
    pub fn new() -> std::io::Result<Self> {
        let socket = UdpSocket::bind(("127.0.0.1", 0))?;
        socket.set_read_timeout(Some(Duration::from_millis(10)))?;
        Ok(Self { socket, tag: 0 })
    }

    /// Asks each; the digests of those that answered in time, in no order.
    pub fn digests(&mut self, of: &[SocketAddr]) -> Vec<u32> {
        self.tag = self.tag.wrapping_add(1);
        let question = StatusRequest { tag: self.tag, first: 0 }.encode();
        for at in of {
            // A question that is not taken is one without an answer.
            let _ = self.socket.send_to(&question, at);
        }
        let until = Instant::now() + PATIENCE;
        let mut digests = Vec::new();
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        while digests.len() < of.len() && Instant::now() < until {
            let Ok((length, _)) = self.socket.recv_from(&mut bytes) else { continue };
            match StatusResponse::decode(&bytes[..length]) {
                Ok(answer) if answer.tag == self.tag => digests.push(answer.digest),
                _ => {}
            }
        }
        digests
    }
}
