//! One connection to a peer, free of I/O: who is at its other end, whether that is there, and the frames of it. Input: bytes and
//! times; output: handshakes, pings, frames, or the error by which it ends. Bound: one frame is held.

use crate::error::ConnectionError;
use crate::frame::{Frame, FrameDecoder};
use crate::handshake::{Control, Handshake};
use basaltward_membership::MemberId;
use basaltward_net::Micros;
use bytes::BytesMut;

/// Times of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// The other end is asked so often whether it is there.
    pub ping_interval: Micros,
    /// A link on which nothing came for so long is ended.
    pub receive_timeout: Micros,
    /// One whose question was not answered for so long is ended, though something came.
    pub pong_timeout: Micros,
    /// One that nothing of any room went on for so long is ended by whoever made it.
    pub idle_timeout: Micros,
    /// Until a connection stands, and then until both have sent theirs, at most.
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

/// Who we are, as every handshake of ours says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalIdentity {
    /// Names the fleet.
    pub fleet: u32,
    /// Our number among `size`.
    pub member: MemberId,
    /// When this life began.
    pub start_ms: u64,
    /// So many are in the list.
    pub size: usize,
}

impl LocalIdentity {
    /// Our handshake to this one.
    pub fn handshake(&self, to: MemberId) -> Control {
        Control::Handshake(Handshake::new(self.fleet, (self.member, self.start_ms), to))
    }
}

/// What a connection brought.
#[derive(Debug, PartialEq, Eq)]
pub enum Incoming {
    /// The other end has said who it is.
    Handshake(MemberId, u64),
    /// A frame of a room.
    Frame(Frame),
    /// To be answered by this.
    Reply(Control),
    /// A round trip was measured.
    RoundTrip(Micros),
}

/// See the module's page.
pub struct PeerConnection {
    /// Who the list has there, where we made it.
    expected_peer: Option<MemberId>,
    /// Who is there.
    remote: Option<(MemberId, u64)>,
    decoder: FrameDecoder,
    started_at: Micros,
    /// When something last came.
    last_received: Micros,
    /// When a frame of a room last went or came.
    last_used: Micros,
    /// The question that is not answered.
    pending_ping: Option<(u32, Micros)>,
    ping_count: u32,
    next_ping: Micros,
}

impl PeerConnection {
    pub fn new(toward: Option<MemberId>, decoder: FrameDecoder, now: Micros) -> Self {
        let (began, heard, used, next_ask) = (now, now, now, now);
        Self {
            expected_peer: toward,
            remote: None,
            decoder,
            started_at: began,
            last_received: heard,
            last_used: used,
            pending_ping: None,
            ping_count: 0,
            next_ping: next_ask,
        }
    }

    /// Who the list has there, where we made it.
    pub fn expected_peer(&self) -> Option<MemberId> {
        self.expected_peer
    }

    /// Who is there and in which life, once it has said so.
    pub fn remote(&self) -> Option<(MemberId, u64)> {
        self.remote
    }

    /// The connection that we made stands, and our handshake goes.
    pub fn connected(&mut self, now: Micros) {
        self.started_at = now;
    }

    /// A frame of a room goes.
    pub fn mark_used(&mut self, now: Micros) {
        self.last_used = now;
    }

    /// How long the question that is not answered has waited.
    pub fn pending_ping_age(&self, now: Micros) -> Option<Micros> {
        self.pending_ping.map(|(_, at)| now.saturating_sub(at))
    }

    /// How long it has stood, from its beginning on.
    pub fn established_for(&self, now: Micros) -> Micros {
        if self.remote.is_some() { now.saturating_sub(self.started_at) } else { 0 }
    }

    /// Takes bytes over.
    pub fn push(&mut self, now: Micros, input: &mut BytesMut) {
        self.last_received = now;
        self.decoder.push(input);
    }

    /// What came next, where this is who we are.
    ///
    /// # Errors
    /// Where the connection is of no more use.
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
                    if let Some((_, at)) = self.pending_ping.take_if(|(asked, _)| *asked == tag) {
                        return Ok(Some(Incoming::RoundTrip(now.saturating_sub(at))));
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
        if let Some(wanted) = self.expected_peer.filter(|wanted| *wanted != handshake.from) {
            return Err(ConnectionError::UnexpectedPeer { actual: handshake.from, expected: wanted });
        }
        if handshake.to == local.member { Ok(()) } else { Err(ConnectionError::Misaddressed(handshake.to)) }
    }

    /// How it ends where the connection does, by this cause.
    pub fn end_reason(&self, why: ConnectionError) -> ConnectionError {
        match (self.decoder.buffered(), self.remote, self.expected_peer) {
            (0, None, Some(_)) if why != ConnectionError::ConnectFailed => ConnectionError::Refused,
            (0, ..) => why,
            (held, ..) => ConnectionError::Truncated(held),
        }
    }

    /// What is due: a question to send, or its end.
    ///
    /// # Errors
    /// Where its time is over.
    pub fn wake(
        &mut self,
        now: Micros,
        times: &ConnectionTimeouts,
    ) -> Result<Option<Control>, ConnectionError> {
        if self.remote.is_none() {
            let late = if self.expected_peer.is_some() {
                ConnectionError::ConnectFailed
            } else {
                ConnectionError::NoHandshake
            };
            return if now >= self.started_at + times.handshake_timeout { Err(late) } else { Ok(None) };
        }
        if now >= self.last_received + times.receive_timeout {
            return Err(ConnectionError::ReceiveTimeout);
        }
        if self.pending_ping_age(now).is_some_and(|waited| waited >= times.pong_timeout) {
            return Err(ConnectionError::NotReading);
        }
        if self.expected_peer.is_some() && now >= self.last_used + times.idle_timeout {
            return Err(ConnectionError::Idle);
        }
        if now < self.next_ping {
            return Ok(None);
        }
        self.next_ping = now + times.ping_interval;
        // Asked again though no answer came: behind what a throttled link has yet to carry it takes long, and the other
        // end, which hears our questions alone, would take us for silent.
        let (tag, _) = *self.pending_ping.get_or_insert_with(|| {
            self.ping_count = self.ping_count.wrapping_add(1);
            (self.ping_count, now)
        });
        Ok(Some(Control::Ping(tag)))
    }

    /// When [`PeerConnection::wake`] is due next.
    pub fn next_due(&self, times: &ConnectionTimeouts) -> Micros {
        if self.remote.is_none() {
            return self.started_at + times.handshake_timeout;
        }
        let idle =
            if self.expected_peer.is_some() { self.last_used + times.idle_timeout } else { Micros::MAX };
        self.next_ping.min(idle).min(self.last_received + times.receive_timeout)
    }

    /// We have stood still: what waits at the socket was not looked at, so no silence counts and no question that
    /// was under way.
    pub fn reset_after_stall(&mut self, now: Micros) {
        (self.last_received, self.pending_ping) = (now, None);
        if self.remote.is_none() {
            self.started_at = now;
        }
    }
}
