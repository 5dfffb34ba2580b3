//! What is kept of one peer: its connections, frames that wait for one, the pause before the next attempt, and what was
//! measured. Times are microseconds.

use crate::counts::ConnectionCounters;
use basaltward_net::{ConnId, Micros};
use bytes::BytesMut;

/// See the module's page.
#[derive(Default)]
pub struct Peer {
    /// The connection that we made, whether it stands or not.
    pub outbound: Option<ConnId>,
    /// The one that it made, once it has said hello.
    pub inbound: Option<ConnId>,
    /// The one that frames go on: the same one for as long as it stands, so that they keep their order.
    pub active: Option<ConnId>,
    /// The life that it was last met in.
    pub start_ms: Option<u64>,
    /// Frames that wait for a connection, and since when.
    pub queued: BytesMut,
    pub queued_since: Micros,
    /// The pause before the next attempt but one, and when the next may be.
    pub backoff: Micros,
    pub next_attempt: Micros,
    pub rtt: Option<(Micros, Micros)>,
    pub counters: ConnectionCounters,
}

impl Peer {
    /// One that was never reached; after the first attempt at it the next waits so long.
    pub fn new(pause: Micros) -> Self {
        Self { backoff: pause, ..Self::default() }
    }

    /// No attempt before half to all of its pause has gone by, which `draw` gives a part of; the next waits longer.
    pub fn schedule_retry(&mut self, now: Micros, most: Micros, draw: impl FnOnce(Micros) -> Micros) {
        let pause = self.backoff;
        self.next_attempt = now + pause / 2 + draw(pause / 2);
        self.backoff = (pause * 2).min(most);
    }
}
