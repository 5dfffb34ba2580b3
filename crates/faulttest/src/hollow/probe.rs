//! Queries real processes for the digests of their membership views by operators' status requests, all at once.

use basaltward_membership::{MAX_DATAGRAM_BYTES, StatusRequest, StatusResponse};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// Timeout for answers; a process that is not busy answers within a few milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// A socket for status requests.
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

    /// Queries the processes at these addresses and returns the digests that arrived in time, in no particular order.
    pub fn digests(&mut self, addresses: &[SocketAddr]) -> Vec<u32> {
        self.tag = self.tag.wrapping_add(1);
        let request = StatusRequest { tag: self.tag, first: 0 }.encode();
        for address in addresses {
            // A request that cannot be sent counts as unanswered.
            let _ = self.socket.send_to(&request, address);
        }
        let until = Instant::now() + ANSWER_TIMEOUT;
        let mut digests = Vec::new();
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        while digests.len() < addresses.len() && Instant::now() < until {
            let Ok((length, _)) = self.socket.recv_from(&mut bytes) else { continue };
            match StatusResponse::decode(&bytes[..length]) {
                Ok(answer) if answer.tag == self.tag => digests.push(answer.digest),
                _ => {}
            }
        }
        digests
    }
}
