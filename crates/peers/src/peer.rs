//! State of one peer: its connections, the frames queued for a connection, the reconnect backoff, and measurements.
//! Times are microseconds.

use crate::counts::ConnectionCounters;
use basaltward_net::{ConnId, Micros};
use bytes::BytesMut;

/// State of one peer.
#[derive(Default)]
pub struct Peer {
    /// The connection that this process opened, established or not.
    pub outbound: Option<ConnId>,
    /// The connection that the peer opened, once its handshake was received.
    pub inbound: Option<ConnId>,
    /// The connection that frames are sent on. It does not change while it is established, so that frames keep their
    /// order.
    pub active: Option<ConnId>,
    /// The peer's start time in its latest handshake; identifies its process.
    pub start_ms: Option<u64>,
    /// Encoded frames that wait for a connection.
    pub queued: BytesMut,
    /// When the first of the queued frames was queued.
    pub queued_since: Micros,
    /// The delay after the next failed attempt, before jitter.
    pub backoff: Micros,
    /// The earliest time of the next attempt to connect.
    pub next_attempt: Micros,
    /// The latest round trip time, and when it was measured.
    pub rtt: Option<(Micros, Micros)>,
    pub counters: ConnectionCounters,
}

impl Peer {
    /// A peer that was never connected to, with the delay after the first attempt.
    pub fn new(backoff: Micros) -> Self {
        Self { backoff, ..Self::default() }
    }

    /// Delays the next attempt by half the backoff plus a random part of the other half, which `draw` picks, and
    /// doubles the backoff up to `max`.
    pub fn schedule_retry(&mut self, now: Micros, max: Micros, draw: impl FnOnce(Micros) -> Micros) {
        let backoff = self.backoff;
        self.next_attempt = now + backoff / 2 + draw(backoff / 2);
        self.backoff = (backoff * 2).min(max);
    }
}
