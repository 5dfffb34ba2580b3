//! Kept connections to peers: made when there is something to send, by the sender; what comes back comes on them.
//!
//! Frames come whole, and in order within one connection. A frame that was taken may still be lost with its connection, which
//! [`ConnectionEvent::Down`] tells; whoever needs it there numbers what it sends. Bounds: one connection each way a peer, as
//! many unidentified ones as there are peers and 16, and the unsent bytes that the configuration names.

use crate::config::ConnectionConfig;
use crate::connection::{Incoming, LocalIdentity, PeerConnection};
use crate::counts::ConnectionCounters;
use crate::error::ConnectionError;
use crate::event::{Channel, ConnectionEvent};
use crate::frame::{FRAME_OVERHEAD, FrameDecoder, write_frame};
use crate::handshake::{Bye, Control};
use crate::log_limiter::LogLimiter;
use crate::peer::Peer;
use basaltward_membership::MemberId;
use basaltward_net::{ConnId, End, Io, Micros, NetError};
use bytes::BytesMut;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use tracing::{info, warn};

/// A connection with no more than this unsent is ended in order; of more, the memory is wanted back at once. Answers of
/// our own may go beyond the bound by so much.
const ORDERLY_CLOSE_BYTES: usize = 64 << 10;

/// See the module's page.
pub struct PeerConnections {
    config: ConnectionConfig,
    local: LocalIdentity,
    listener: usize,
    peers: Vec<Peer>,
    connections: BTreeMap<ConnId, PeerConnection>,
    /// Peers that frames wait for.
    queued_peers: BTreeSet<MemberId>,
    /// Connections that came and have sent no handshake yet, the oldest first.
    unidentified: VecDeque<ConnId>,
    /// Ends of connections that had sent no handshake.
    rejected: u64,
    /// When we last looked.
    last_run: Micros,
    rng: StdRng,
    log_limiter: LogLimiter,
    skip_checksums: bool,
}

impl PeerConnections {
    /// None yet, of us who are this, with connections coming in at this listener of the loop.
    pub(crate) fn new(config: ConnectionConfig, local: LocalIdentity, listener: usize, seed: u64) -> Self {
        let peers = config.peers.iter().map(|_| Peer::new(config.backoff.0)).collect();
        Self {
            config,
            local,
            listener,
            peers,
            connections: BTreeMap::new(),
            queued_peers: BTreeSet::new(),
            unidentified: VecDeque::new(),
            rejected: 0,
            last_run: 0,
            rng: StdRng::seed_from_u64(seed),
            log_limiter: LogLimiter::default(),
            skip_checksums: false,
        }
    }

    /// Plants a fault: checksums of frames are not looked at.
    pub(crate) fn inject_skipped_checksums(&mut self) {
        self.skip_checksums = true;
    }

    /// Whether this connection is one of ours.
    pub fn owns(&self, conn: ConnId) -> bool {
        self.connections.contains_key(&conn)
    }

    /// Whether a peer can be sent to now, and in which life it is.
    pub fn connected_start_ms(&self, of: MemberId) -> Option<u64> {
        let via = self.peers.get(usize::from(of))?.active?;
        self.connections.get(&via)?.remote().map(|(_, life)| life)
    }

    /// The way there and back on a link that stands, and how old that is; none where none stands. While an answer is owed
    /// for longer than the last took, so long at least.
    pub fn rtt(&self, of: MemberId, now: Micros) -> Option<(Micros, Micros)> {
        let peer = self.peers.get(usize::from(of))?;
        let (trip, at) = peer.rtt?;
        let waits = peer.active.and_then(|via| self.connections.get(&via)?.pending_ping_age(now));
        match waits.filter(|waits| *waits > trip) {
            Some(waits) => Some((waits, 0)),
            None => Some((trip, now.saturating_sub(at))),
        }
    }

    /// What was counted of a peer.
    pub fn counters(&self, of: MemberId) -> ConnectionCounters {
        self.peers.get(usize::from(of)).map(|peer| peer.counters).unwrap_or_default()
    }

    /// Connections that ended before they had said whose they are.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Connections that stand or are being made.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Bytes that wait to be sent to a peer.
    pub fn unsent_bytes(&self, io: &mut Io, of: MemberId) -> usize {
        let Some(peer) = self.peers.get(usize::from(of)) else { return 0 };
        peer.queued.len() + peer.active.map_or(0, |via| io.unsent(via))
    }

    /// Sends a frame, or has it wait for a connection.
    ///
    /// # Errors
    /// Where it is not taken, and nothing of it goes.
    pub fn send(
        &mut self,
        io: &mut Io,
        now: Micros,
        to: MemberId,
        (channel, payload): (Channel, &[u8]),
    ) -> Result<(), ConnectionError> {
        self.check_stall(now);
        if payload.len() > self.config.max_frame_bytes {
            return Err(ConnectionError::Length { length: payload.len(), max: self.config.max_frame_bytes });
        }
        let unsent = self.unsent_bytes(io, to) + FRAME_OVERHEAD + payload.len();
        let known = to != self.local.member;
        let peer =
            self.peers.get_mut(usize::from(to)).filter(|_| known).ok_or(ConnectionError::UnknownPeer(to))?;
        if unsent > self.config.max_unsent_bytes {
            peer.counters.rejected += 1;
            return Err(ConnectionError::QueueFull);
        }
        peer.counters.sent_frames += 1;
        peer.counters.sent_bytes += (FRAME_OVERHEAD + payload.len()) as u64;
        if let Some(via) = peer.active
            && let Some(output) = io.output(via)
        {
            write_frame(channel as u8, payload, output);
            self.connections.get_mut(&via).into_iter().for_each(|connection| connection.mark_used(now));
            return Ok(());
        }
        if peer.queued.is_empty() {
            peer.queued_since = now;
        }
        write_frame(channel as u8, payload, &mut peer.queued);
        self.queued_peers.insert(to);
        self.connect(io, now, to);
        Ok(())
    }

    /// A connection came in at a listener, which may be ours.
    pub fn accepted(&mut self, io: &mut Io, now: Micros, conn: ConnId, listener: usize) {
        if listener != self.listener {
            return;
        }
        self.check_stall(now);
        self.connections.insert(conn, PeerConnection::new(None, self.decoder(), now));
        self.unidentified.push_back(conn);
        // All peers may come at once; whoever says nothing gives way to them.
        if self.unidentified.len() > self.peers.len() + 16
            && let Some(oldest) = self.unidentified.front().copied()
        {
            self.end_connection(io, now, oldest, ConnectionError::NoHandshake, &mut Vec::new());
        }
    }

    /// A connection that we began stands.
    pub fn connected(&mut self, io: &mut Io, now: Micros, conn: ConnId) {
        self.check_stall(now);
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        if let Some(to) = connection.expected_peer() {
            connection.connected(now);
            self.send_control(io, conn, &self.local.handshake(to));
        }
    }

    /// Bytes came on a connection, which may be ours.
    pub fn received(&mut self, io: &mut Io, now: Micros, conn: ConnId, out: &mut Vec<ConnectionEvent>) {
        self.check_stall(now);
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        if let Some(input) = io.input(conn) {
            connection.push(now, input);
            io.release_input(conn);
            io.pause(conn, false);
        }
        loop {
            let Some(connection) = self.connections.get_mut(&conn) else { return };
            let of = connection.remote();
            match connection.next_incoming(now, &self.local) {
                Ok(None) => return,
                Ok(Some(Incoming::Handshake(of, life))) => {
                    self.handle_handshake(io, now, conn, (of, life), out)
                }
                Ok(Some(Incoming::Reply(answer))) => {
                    // Whoever asks and reads no answers fills no memory.
                    if io.unsent(conn) > self.config.max_unsent_bytes + ORDERLY_CLOSE_BYTES {
                        return self.end_connection(io, now, conn, ConnectionError::NotReading, out);
                    }
                    self.send_control(io, conn, &answer);
                }
                Ok(Some(Incoming::RoundTrip(trip))) => {
                    if let Some(peer) = self.peer_mut(of) {
                        peer.rtt = Some((trip, now));
                    }
                }
                Ok(Some(Incoming::Frame(frame))) => {
                    let (Some((of, _)), channel) = (of, Channel::from_byte(frame.channel)) else { continue };
                    let counts = &mut self.peers[usize::from(of)].counters;
                    counts.received_frames += 1;
                    counts.received_bytes += (FRAME_OVERHEAD + frame.payload.len()) as u64;
                    match channel {
                        Some(channel) => out.push(ConnectionEvent::Frame(of, channel, frame.payload)),
                        // Of a later version: its sender learns from what it is not answered.
                        None => counts.unknown_channel += 1,
                    }
                }
                Err(why) => return self.end_connection(io, now, conn, why, out),
            }
        }
    }

    /// A connection has ended, which may be ours.
    pub fn ended(
        &mut self,
        io: &mut Io,
        now: Micros,
        conn: ConnId,
        how: End,
        out: &mut Vec<ConnectionEvent>,
    ) {
        self.received(io, now, conn, out);
        let Some(connection) = self.connections.get(&conn) else { return };
        let why = connection.end_reason(match how {
            End::Closed => ConnectionError::Closed,
            End::Reset => ConnectionError::Reset,
            End::ConnectFailed => ConnectionError::ConnectFailed,
        });
        self.end_connection(io, now, conn, why, out);
    }

    /// Does what is due.
    pub fn wake(&mut self, io: &mut Io, now: Micros, out: &mut Vec<ConnectionEvent>) {
        self.check_stall(now);
        let mut due = Vec::new();
        for (conn, connection) in &mut self.connections {
            match connection.wake(now, &self.config.timeouts) {
                Ok(None) => {}
                told => due.push((*conn, told)),
            }
        }
        for (conn, told) in due {
            match told {
                Ok(ask) => ask.iter().for_each(|ask| self.send_control(io, conn, ask)),
                Err(why) => self.end_connection(io, now, conn, why, out),
            }
        }
        for of in self.queued_peers.clone() {
            let peer = &mut self.peers[usize::from(of)];
            if now >= peer.queued_since + self.config.queue_timeout {
                peer.queued = BytesMut::new();
                peer.counters.queue_discards += 1;
                self.queued_peers.remove(&of);
                out.push(ConnectionEvent::Down(of));
            } else {
                self.connect(io, now, of);
            }
        }
    }

    /// When [`PeerConnections::wake`] is due next.
    pub fn next_due(&self) -> Micros {
        let connections =
            self.connections.values().map(|connection| connection.next_due(&self.config.timeouts));
        let waiting = self.queued_peers.iter().map(|of| {
            let peer = &self.peers[usize::from(*of)];
            let again = if peer.outbound.is_none() { peer.next_attempt } else { Micros::MAX };
            again.min(peer.queued_since + self.config.queue_timeout)
        });
        // Looking at the times of links is what tells our own standing still from theirs.
        let looks = if self.connections.is_empty() {
            Micros::MAX
        } else {
            self.last_run + self.config.timeouts.ping_interval
        };
        connections.chain(waiting).min().unwrap_or(Micros::MAX).min(looks)
    }

    /// Ends all of them, once what was given to be sent is written.
    pub fn stop(&mut self, io: &mut Io) {
        for (conn, connection) in std::mem::take(&mut self.connections) {
            self.close(io, conn, &connection, ConnectionError::Stopped);
        }
        self.unidentified.clear();
        self.queued_peers.clear();
        let pause = self.config.backoff.0;
        self.peers.iter_mut().for_each(|peer| {
            *peer = Peer { counters: peer.counters, ..Peer::new(pause) };
        });
    }

    /// Another list: peers keep their numbers, and those past its end are no more. It has our number in it.
    pub(crate) fn update_peers(
        &mut self,
        io: &mut Io,
        now: Micros,
        peers: Vec<SocketAddr>,
        out: &mut Vec<ConnectionEvent>,
    ) {
        let past = |connection: &PeerConnection| {
            let of = connection.remote().map(|(of, _)| of).or(connection.expected_peer());
            of.filter(|of| usize::from(*of) >= peers.len())
        };
        let past: Vec<_> = self
            .connections
            .iter()
            .filter_map(|(conn, connection)| Some((*conn, past(connection)?)))
            .collect();
        for (conn, of) in past {
            self.end_connection(io, now, conn, ConnectionError::InvalidPeerNumber(of), out);
        }
        self.queued_peers.retain(|of| usize::from(*of) < peers.len());
        let pause = self.config.backoff.0;
        self.peers.resize_with(peers.len(), || Peer::new(pause));
        (self.local.size, self.config.peers) = (peers.len(), peers);
    }

    /// A loop that has stood still knows nothing of what came meanwhile.
    fn check_stall(&mut self, now: Micros) {
        if now > self.last_run + self.config.timeouts.ping_interval * 2 && self.last_run > 0 {
            self.connections.values_mut().for_each(|connection| connection.reset_after_stall(now));
        }
        self.last_run = now;
    }

    fn decoder(&self) -> FrameDecoder {
        let mut decoder = FrameDecoder::new(self.config.max_frame_bytes);
        if self.skip_checksums {
            decoder.skip_checksums();
        }
        decoder
    }

    fn peer_mut(&mut self, of: Option<(MemberId, u64)>) -> Option<&mut Peer> {
        of.and_then(|(of, _)| self.peers.get_mut(usize::from(of)))
    }

    fn send_control(&self, io: &mut Io, conn: ConnId, what: &Control) {
        if let Some(output) = io.output(conn) {
            write_frame(0, &what.write(), output);
        }
    }

    /// Begins a connection where none stands or is being made, and its pause is over.
    fn connect(&mut self, io: &mut Io, now: Micros, of: MemberId) {
        let peer = &mut self.peers[usize::from(of)];
        if peer.outbound.is_some() || now < peer.next_attempt {
            return;
        }
        match io.connect(self.config.peers[usize::from(of)]) {
            Ok(conn) => {
                peer.outbound = Some(conn);
                self.connections.insert(conn, PeerConnection::new(Some(of), self.decoder(), now));
            }
            Err(NetError::System(why)) => {
                self.schedule_retry(now, of);
                if self.log_limiter.allows(now, "links") {
                    warn!(peer = of, %why, "no socket for a connection: raise the limit of descriptors");
                }
            }
        }
    }

    fn schedule_retry(&mut self, now: Micros, of: MemberId) {
        let (rng, most) = (&mut self.rng, self.config.backoff.1);
        self.peers[usize::from(of)].schedule_retry(now, most, |below| rng.random_range(0..=below));
    }

    /// Whether a connection that came was nobody's yet; it is no longer.
    fn remove_unidentified(&mut self, conn: ConnId) -> bool {
        let at = self.unidentified.iter().position(|other| *other == conn);
        at.and_then(|at| self.unidentified.remove(at)).is_some()
    }

    /// The other end has said who it is.
    fn handle_handshake(
        &mut self,
        io: &mut Io,
        now: Micros,
        conn: ConnId,
        (of, life): (MemberId, u64),
        out: &mut Vec<ConnectionEvent>,
    ) {
        let taken = self.remove_unidentified(conn);
        let peer = &self.peers[usize::from(of)];
        let others = [peer.outbound, peer.inbound].into_iter().flatten().filter(|other| *other != conn);
        let others: Vec<_> =
            others.filter_map(|other| Some((other, self.connections.get(&other)?.remote()?.1))).collect();
        if others.iter().any(|(_, other)| *other > life) {
            return self.end_connection(io, now, conn, ConnectionError::EarlierIncarnation, out);
        }
        for (other, theirs) in others {
            if theirs < life || (taken && self.peers[usize::from(of)].inbound == Some(other)) {
                self.end_connection(io, now, other, ConnectionError::Replaced, out);
            }
        }
        let trip = self.connections.get(&conn).map(|connection| (connection.established_for(now), now));
        let peer = &mut self.peers[usize::from(of)];
        if taken {
            peer.inbound = Some(conn);
            self.send_control(io, conn, &self.local.handshake(of));
        } else {
            // Our handshake and theirs.
            peer.rtt = trip;
        }
        self.activate(io, now, of, out);
    }

    /// Sends what waits on a connection that stands, where there is one and none is in use.
    fn activate(&mut self, io: &mut Io, now: Micros, of: MemberId, out: &mut Vec<ConnectionEvent>) {
        let peer = &mut self.peers[usize::from(of)];
        if peer.active.is_some() {
            return;
        }
        let met = |conn: &ConnId| {
            self.connections.get(conn).is_some_and(|connection| connection.remote().is_some())
        };
        let Some(via) = [peer.outbound, peer.inbound].into_iter().flatten().find(met) else { return };
        let Some(connection) = self.connections.get_mut(&via) else { return };
        let Some((_, life)) = connection.remote() else { return };
        peer.active = Some(via);
        peer.counters.established += 1;
        let waiting = std::mem::take(&mut peer.queued);
        let other = peer.start_ms.replace(life).is_some_and(|met| met != life);
        if other && !waiting.is_empty() {
            // Meant for a life that is no more.
            peer.counters.queue_discards += 1;
            out.push(ConnectionEvent::Down(of));
        } else if let Some(output) = io.output(via).filter(|_| !waiting.is_empty()) {
            output.extend_from_slice(&waiting);
            connection.mark_used(now);
        }
        self.queued_peers.remove(&of);
        out.push(ConnectionEvent::Up(of, life));
        if self.log_limiter.allows(now, "links") {
            info!(peer = of, life, "link up");
        }
    }

    /// Gives a connection up, and says why where the other end is a peer and can soon hear it.
    fn close(&self, io: &mut Io, conn: ConnId, connection: &PeerConnection, why: ConnectionError) {
        let bye = Bye::of(why).filter(|_| connection.remote().is_some());
        match bye.filter(|_| why == ConnectionError::Stopped || io.unsent(conn) <= ORDERLY_CLOSE_BYTES) {
            Some(bye) => {
                self.send_control(io, conn, &Control::Bye(bye));
                io.close(conn);
            }
            None => io.abort(conn),
        }
    }

    /// Ends a connection, by us or by what happened to it.
    fn end_connection(
        &mut self,
        io: &mut Io,
        now: Micros,
        conn: ConnId,
        why: ConnectionError,
        out: &mut Vec<ConnectionEvent>,
    ) {
        let Some(connection) = self.connections.remove(&conn) else { return };
        let from = io.peer_address(conn);
        self.close(io, conn, &connection, why);
        self.remove_unidentified(conn);
        let of = connection.remote().map(|(of, _)| of).or(connection.expected_peer());
        if self.log_limiter.allows(now, "links") {
            let quiet = matches!(why, ConnectionError::Idle | ConnectionError::Stopped);
            if quiet {
                info!(peer = of, %why, "link ended")
            } else {
                warn!(peer = of, ?from, %why, "link ended")
            }
        }
        let Some(of) = of else {
            self.rejected += 1;
            return;
        };
        let peer = &mut self.peers[usize::from(of)];
        peer.counters.count_end(why);
        if peer.outbound == Some(conn) {
            peer.outbound = None;
            // One that stood well is made anew at once; one that did not come about, later and later.
            if connection.established_for(now) >= self.config.backoff.1 {
                peer.backoff = self.config.backoff.0;
            }
            self.schedule_retry(now, of);
        }
        let peer = &mut self.peers[usize::from(of)];
        if peer.inbound == Some(conn) {
            peer.inbound = None;
        }
        if peer.active == Some(conn) {
            (peer.active, peer.rtt) = (None, None);
            out.push(ConnectionEvent::Down(of));
            self.activate(io, now, of, out);
        }
    }
}
