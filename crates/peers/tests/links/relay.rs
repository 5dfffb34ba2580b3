//! A TCP relay in front of a peer that injects network faults into its connections.

use basaltward_net::Micros;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Faults of a relay. Direction 0 is from the end that opened the connection, 1 is towards it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Delay of all bytes, in microseconds.
    pub delay: Micros,
    /// Bandwidth limit of each direction, in bytes per second.
    pub rate: Option<u64>,
    /// Directions in which nothing is forwarded, without an error at either end.
    pub stalled: [bool; 2],
    /// Each connection is closed after this many bytes were forwarded in direction 0.
    pub close_after: Option<usize>,
    /// A bit of the byte at this position of direction 0 is flipped in each connection.
    pub corrupt_at: Option<usize>,
}

/// A relayed connection: the accepted socket and the socket to the peer.
struct Pair {
    ends: [TcpStream; 2],
    in_flight: [VecDeque<(Micros, Vec<u8>)>; 2],
    /// Bytes forwarded in direction 0.
    forwarded: usize,
    /// When the bandwidth limit allows each direction to read again.
    busy_until: [Micros; 2],
    /// Nothing is forwarded any more, not even the end of the connection.
    frozen: bool,
}

/// A relay to one peer.
pub struct Relay {
    listener: TcpListener,
    to: SocketAddr,
    pairs: Vec<Pair>,
    buffer: Vec<u8>,
    pub faults: Faults,
    /// Number of connections accepted so far.
    pub accepted: usize,
}

impl Relay {
    pub fn new(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        listener.set_nonblocking(true).expect("non-blocking");
        Self {
            listener,
            to,
            pairs: Vec::new(),
            buffer: vec![0; 64 << 10],
            faults: Faults::default(),
            accepted: 0,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// Closes all connections.
    pub fn close_all(&mut self) {
        self.pairs.clear();
    }

    /// Stops forwarding on the current connections, their end included.
    pub fn freeze(&mut self) {
        self.pairs.iter_mut().for_each(|pair| pair.frozen = true);
    }

    pub fn poll(&mut self, now: Micros) {
        while let Ok((from, _)) = self.listener.accept() {
            self.accepted += 1;
            let Ok(to) = TcpStream::connect(self.to) else { continue };
            for end in [&from, &to] {
                end.set_nonblocking(true).expect("non-blocking");
                end.set_nodelay(true).expect("no delay");
            }
            self.pairs.push(Pair {
                ends: [from, to],
                in_flight: Default::default(),
                forwarded: 0,
                busy_until: [0; 2],
                frozen: false,
            });
        }
        let (faults, buffer) = (self.faults, &mut self.buffer);
        self.pairs.retain_mut(|pair| (0..2).all(|direction| pair.forward(direction, now, &faults, buffer)));
    }
}

impl Pair {
    /// Forwards bytes in one direction; returns false once the connection has ended.
    fn forward(&mut self, direction: usize, now: Micros, faults: &Faults, buffer: &mut [u8]) -> bool {
        if faults.stalled[direction] || self.frozen || now < self.busy_until[direction] {
            return true;
        }
        let capacity = faults.rate.map_or(buffer.len(), |rate| buffer.len().min(rate as usize / 20));
        match (&self.ends[direction]).read(&mut buffer[..capacity]) {
            Ok(0) => return false,
            Ok(length) => {
                self.busy_until[direction] =
                    now + faults.rate.map_or(0, |rate| length as u64 * 1_000_000 / rate);
                self.in_flight[direction].push_back((now + faults.delay, buffer[..length].to_vec()));
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
        while let Some((_, mut bytes)) = self.in_flight[direction].pop_front_if(|(due, _)| *due <= now) {
            if direction == 0 {
                if let Some(byte) =
                    faults.corrupt_at.and_then(|at| bytes.get_mut(at.checked_sub(self.forwarded)?))
                {
                    *byte ^= 0x10;
                }
                let remaining =
                    faults.close_after.map_or(usize::MAX, |limit| limit.saturating_sub(self.forwarded));
                bytes.truncate(remaining);
                self.forwarded += bytes.len();
            }
            if (&self.ends[1 - direction]).write_all(&bytes).is_err()
                || faults.close_after.is_some_and(|limit| limit <= self.forwarded)
            {
                return false;
            }
        }
        true
    }
}
