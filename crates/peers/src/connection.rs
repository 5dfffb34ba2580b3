//! State machine of one connection to a peer, free of I/O: the identity of the other end, its liveness, and the
//! frames. Input: bytes and times; output: handshakes, pings, frames, or the error that ends the connection. Memory
//! is bounded by one frame.

use crate::error::ConnectionError;
use crate::frame::{Frame, FrameDecoder};
use crate::handshake::{Control, Handshake};
use basaltward_membership::MemberId;
use basaltward_net::Micros;
use bytes::BytesMut;

/// Intervals and timeouts of a connection, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// Interval between pings.
    pub ping_interval: Micros,
    /// A connection on which nothing was received for this time is ended.
    pub receive_timeout: Micros,
    /// A connection with a ping unanswered for this time is ended, even if other frames were received.
    pub pong_timeout: Micros,
    /// The end that opened a connection closes it when no frame of a channel other than 0 was sent or received for
    /// this time.
    pub idle_timeout: Micros,
    /// Longest time until a connection is established, and then until the handshake of the other end is received.
    pub handshake_timeout: Micros,
}

impl Default for ConnectionTimeouts {
    fn default() -> Self {
        let second = 1_000_000;
        Self {
            ping_interval: second,
            receive_timeout: 4 * second,
            pong_timeout: 30 * second,
            idle_timeout: 30 * second,
            handshake_timeout: 5 * second,
        }
    }
}

/// The identity of this process in its handshakes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalIdentity {
    /// Hash of the fleet's name.
    pub fleet: u32,
    /// The local number, less than `size`.
    pub member: MemberId,
    /// Start time of this process in milliseconds since the beginning of 2026.
    pub start_ms: u64,
    /// Number of peers in the list.
    pub size: usize,
}

impl LocalIdentity {
    /// The handshake of this process for the peer `to`.
    pub fn handshake(&self, to: MemberId) -> Control {
        Control::Handshake(Handshake::new(self.fleet, (self.member, self.start_ms), to))
    }
}

/// What was received on a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Incoming {
    /// The handshake of the other end: its number and start time.
    Handshake(MemberId, u64),
    /// A frame of a channel other than 0.
    Frame(Frame),
    /// A ping, with the message to send back.
    Reply(Control),
    /// A pong, with the round trip time.
    RoundTrip(Micros),
}

/// State of one connection; see the module's documentation.
pub struct PeerConnection {
    /// The peer listed at the address, if this process opened the connection.
    expected_peer: Option<MemberId>,
    /// Number and start time of the peer at the other end, once its handshake was received.
    remote: Option<(MemberId, u64)>,
    decoder: FrameDecoder,
    started_at: Micros,
    /// When something was last received.
    last_received: Micros,
    /// When a frame of a channel other than 0 was last sent or received.
    last_used: Micros,
    /// Number and time of the ping that is not answered yet.
    pending_ping: Option<(u32, Micros)>,
    ping_count: u32,
    next_ping: Micros,
}

impl PeerConnection {
    pub fn new(expected_peer: Option<MemberId>, decoder: FrameDecoder, now: Micros) -> Self {
        Self {
            expected_peer,
            remote: None,
            decoder,
            started_at: now,
            last_received: now,
            last_used: now,
            pending_ping: None,
            ping_count: 0,
            next_ping: now,
        }
    }

    /// The peer listed at the address, if this process opened the connection.
    pub fn expected_peer(&self) -> Option<MemberId> {
        self.expected_peer
    }

    /// Number and start time of the peer at the other end, once its handshake was received.
    pub fn remote(&self) -> Option<(MemberId, u64)> {
        self.remote
    }

    /// An outbound connection was established, and the local handshake is being sent.
    pub fn connected(&mut self, now: Micros) {
        self.started_at = now;
    }

    /// Records that a frame of a channel other than 0 is being sent.
    pub fn mark_used(&mut self, now: Micros) {
        self.last_used = now;
    }

    /// How long the pending ping has been unanswered, if there is one.
    pub fn pending_ping_age(&self, now: Micros) -> Option<Micros> {
        self.pending_ping.map(|(_, sent_at)| now.saturating_sub(sent_at))
    }

    /// Time since the connection started, or 0 as long as no handshake was received.
    pub fn established_for(&self, now: Micros) -> Micros {
        if self.remote.is_some() { now.saturating_sub(self.started_at) } else { 0 }
    }

    /// Moves received bytes into the decoder.
    pub fn push(&mut self, now: Micros, input: &mut BytesMut) {
        self.last_received = now;
        self.decoder.push(input);
    }

    /// Processes the next frame of the received bytes. `local` is the identity of this process.
    ///
    /// # Errors
    /// The reason to end the connection: an invalid frame or handshake, or the reason that the other end gave.
    pub fn next_incoming(
        &mut self,
        now: Micros,
        local: &LocalIdentity,
    ) -> Result<Option<Incoming>, ConnectionError> {
        loop {
            let Some(frame) = self.decoder.next_frame()? else { return Ok(None) };
            if frame.channel != 0 {
                if self.remote.is_none() {
                    return Err(ConnectionError::NoHandshake);
                }
                self.last_used = now;
                return Ok(Some(Incoming::Frame(frame)));
            }
            match (Control::read(&frame.payload)?, self.remote) {
                (Control::Handshake(handshake), None) => {
                    self.check_handshake(&handshake, local)?;
                    self.remote = Some((handshake.from, handshake.start_ms));
                    return Ok(Some(Incoming::Handshake(handshake.from, handshake.start_ms)));
                }
                (Control::Ping(tag), Some(_)) => return Ok(Some(Incoming::Reply(Control::Pong(tag)))),
                (Control::Pong(tag), Some(_)) => {
                    if let Some((_, sent_at)) = self.pending_ping.take_if(|(pending, _)| *pending == tag) {
                        return Ok(Some(Incoming::RoundTrip(now.saturating_sub(sent_at))));
                    }
                }
                (Control::Bye(bye), Some(_)) => return Err(bye.error()),
                (Control::Handshake(_), Some(_)) => return Err(ConnectionError::Control),
                (_, None) => return Err(ConnectionError::NoHandshake),
            }
        }
    }

    fn check_handshake(&self, handshake: &Handshake, local: &LocalIdentity) -> Result<(), ConnectionError> {
        if handshake.fleet != local.fleet {
            return Err(ConnectionError::WrongFleet);
        }
        if handshake.from == local.member || usize::from(handshake.from) >= local.size {
            return Err(ConnectionError::InvalidPeerNumber(handshake.from));
        }
        if let Some(expected) = self.expected_peer.filter(|expected| *expected != handshake.from) {
            return Err(ConnectionError::UnexpectedPeer { actual: handshake.from, expected });
        }
        if handshake.to == local.member { Ok(()) } else { Err(ConnectionError::Misaddressed(handshake.to)) }
    }

    /// The error to report when the network connection ended with `error`: ends within a frame, and ends of outbound
    /// connections before a handshake, have errors of their own.
    pub fn end_reason(&self, error: ConnectionError) -> ConnectionError {
        match (self.decoder.buffered(), self.remote, self.expected_peer) {
            (0, None, Some(_)) if error != ConnectionError::ConnectFailed => ConnectionError::Refused,
            (0, ..) => error,
            (buffered, ..) => ConnectionError::Truncated(buffered),
        }
    }

    /// Checks the timeouts and returns the ping to send, if one is due.
    ///
    /// # Errors
    /// The reason to end the connection when one of its timeouts has passed.
    pub fn wake(
        &mut self,
        now: Micros,
        timeouts: &ConnectionTimeouts,
    ) -> Result<Option<Control>, ConnectionError> {
        if self.remote.is_none() {
            let error = if self.expected_peer.is_some() {
                ConnectionError::ConnectFailed
            } else {
                ConnectionError::NoHandshake
            };
            return if now >= self.started_at + timeouts.handshake_timeout { Err(error) } else { Ok(None) };
        }
        if now >= self.last_received + timeouts.receive_timeout {
            return Err(ConnectionError::ReceiveTimeout);
        }
        if self.pending_ping_age(now).is_some_and(|age| age >= timeouts.pong_timeout) {
            return Err(ConnectionError::NotReading);
        }
        if self.expected_peer.is_some() && now >= self.last_used + timeouts.idle_timeout {
            return Err(ConnectionError::Idle);
        }
        if now < self.next_ping {
            return Ok(None);
        }
        self.next_ping = now + timeouts.ping_interval;
        // An unanswered ping is sent again. On a throttled connection its answer waits behind queued data for a long
        // time, and the other end, which may receive nothing but pings, would otherwise run into its receive timeout.
        let (tag, _) = *self.pending_ping.get_or_insert_with(|| {
            self.ping_count = self.ping_count.wrapping_add(1);
            (self.ping_count, now)
        });
        Ok(Some(Control::Ping(tag)))
    }

    /// When [`PeerConnection::wake`] is due next.
    pub fn next_due(&self, timeouts: &ConnectionTimeouts) -> Micros {
        if self.remote.is_none() {
            return self.started_at + timeouts.handshake_timeout;
        }
        let idle =
            if self.expected_peer.is_some() { self.last_used + timeouts.idle_timeout } else { Micros::MAX };
        self.next_ping.min(idle).min(self.last_received + timeouts.receive_timeout)
    }

    /// Restarts the timeouts after this process itself stalled: the data at the socket was not read meanwhile, so
    /// neither the time without data nor the age of the pending ping is evidence about the peer.
    pub fn reset_after_stall(&mut self, now: Micros) {
        (self.last_received, self.pending_ping) = (now, None);
        if self.remote.is_none() {
            self.started_at = now;
        }
    }
}
