//! Persistent connections to peers. A connection is opened when there is something to send; both ends send on it.
//!
//! Frames arrive whole, and in order within one connection. A frame accepted for sending may still be lost with its
//! connection, which [`ConnectionEvent::Down`] reports; a sender that needs delivery numbers its messages. Bounds:
//! one connection in each direction per peer, as many connections without a handshake as there are peers plus 16, and
//! the configured unsent bytes.

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
use basaltward_net::{ConnId, EndReason, Io, Micros, NetError};
use bytes::BytesMut;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use tracing::{info, warn};

/// A connection with at most this many unsent bytes is closed after they are written; with more it is aborted, to
/// free the memory at once. Pongs may exceed the limit of unsent bytes by as much.
const ORDERLY_CLOSE_BYTES: usize = 64 << 10;

/// The connections of one process to its peers; see the module's documentation.
pub struct PeerConnections {
    config: ConnectionConfig,
    local: LocalIdentity,
    listener: usize,
    peers: Vec<Peer>,
    connections: BTreeMap<ConnId, PeerConnection>,
    /// Peers with frames queued for a connection.
    queued_peers: BTreeSet<MemberId>,
    /// Inbound connections without a handshake, the oldest first.
    unidentified: VecDeque<ConnId>,
    /// Number of inbound connections that ended without a valid handshake.
    rejected: u64,
    /// When this process last handled an event or a timer.
    last_run: Micros,
    rng: StdRng,
    log_limiter: LogLimiter,
    skip_checksums: bool,
}

impl PeerConnections {
    /// No connections yet. `listener` is the number of the listener for inbound ones on the loop.
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

    /// Fault injection: checksums are not verified on new connections.
    pub(crate) fn inject_skipped_checksums(&mut self) {
        self.skip_checksums = true;
    }

    /// Whether this is a connection to or from a peer.
    pub fn owns(&self, conn: ConnId) -> bool {
        self.connections.contains_key(&conn)
    }

    /// The start time of a peer with an established connection, which identifies its process; `None` without a
    /// connection.
    pub fn connected_start_ms(&self, member: MemberId) -> Option<u64> {
        let active = self.peers.get(usize::from(member))?.active?;
        self.connections.get(&active)?.remote().map(|(_, start_ms)| start_ms)
    }

    /// The latest round trip time on the active connection and its age, in microseconds; `None` without a connection.
    /// If the pending ping has been unanswered for longer than that time, the age of the ping is returned instead, as
    /// a lower bound, with an age of 0.
    pub fn rtt(&self, member: MemberId, now: Micros) -> Option<(Micros, Micros)> {
        let peer = self.peers.get(usize::from(member))?;
        let (rtt, measured_at) = peer.rtt?;
        let pending = peer.active.and_then(|active| self.connections.get(&active)?.pending_ping_age(now));
        match pending.filter(|pending| *pending > rtt) {
            Some(pending) => Some((pending, 0)),
            None => Some((rtt, now.saturating_sub(measured_at))),
        }
    }

    /// The counters of a peer.
    pub fn counters(&self, member: MemberId) -> ConnectionCounters {
        self.peers.get(usize::from(member)).map(|peer| peer.counters).unwrap_or_default()
    }

    /// Number of inbound connections that ended without a valid handshake.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Number of connections, established or not.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Bytes queued for a connection to a peer or unsent on it.
    pub fn unsent_bytes(&self, io: &mut Io, member: MemberId) -> usize {
        let Some(peer) = self.peers.get(usize::from(member)) else { return 0 };
        peer.queued.len() + peer.active.map_or(0, |active| io.unsent(active))
    }

    /// Sends a frame on the active connection, or queues it until a connection is established.
    ///
    /// # Errors
    /// [`ConnectionError::Length`], [`ConnectionError::UnknownPeer`] or [`ConnectionError::QueueFull`]; no part of
    /// the frame is sent then.
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
        let remote = to != self.local.member;
        let peer =
            self.peers.get_mut(usize::from(to)).filter(|_| remote).ok_or(ConnectionError::UnknownPeer(to))?;
        if unsent > self.config.max_unsent_bytes {
            peer.counters.rejected += 1;
            return Err(ConnectionError::QueueFull);
        }
        peer.counters.sent_frames += 1;
        peer.counters.sent_bytes += (FRAME_OVERHEAD + payload.len()) as u64;
        if let Some(active) = peer.active
            && let Some(output) = io.output(active)
        {
            write_frame(channel as u8, payload, output);
            self.connections.get_mut(&active).into_iter().for_each(|connection| connection.mark_used(now));
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

    /// A listener accepted a connection; other listeners than that for peers are ignored.
    pub fn accepted(&mut self, io: &mut Io, now: Micros, conn: ConnId, listener: usize) {
        if listener != self.listener {
            return;
        }
        self.check_stall(now);
        self.connections.insert(conn, PeerConnection::new(None, self.decoder(), now));
        self.unidentified.push_back(conn);
        // The limit lets all peers connect at once. Beyond it, the oldest connection without a handshake is dropped.
        if self.unidentified.len() > self.peers.len() + 16
            && let Some(oldest) = self.unidentified.front().copied()
        {
            self.end_connection(io, now, oldest, ConnectionError::NoHandshake, &mut Vec::new());
        }
    }

    /// An outbound connection was established; connections that are not to or from a peer are ignored.
    pub fn connected(&mut self, io: &mut Io, now: Micros, conn: ConnId) {
        self.check_stall(now);
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        if let Some(to) = connection.expected_peer() {
            connection.connected(now);
            self.send_control(io, conn, &self.local.handshake(to));
        }
    }

    /// Bytes were received on a connection; connections that are not to or from a peer are ignored.
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
            let remote = connection.remote();
            match connection.next_incoming(now, &self.local) {
                Ok(None) => return,
                Ok(Some(Incoming::Handshake(member, start_ms))) => {
                    self.handle_handshake(io, now, conn, (member, start_ms), out)
                }
                Ok(Some(Incoming::Reply(reply))) => {
                    // A peer that sends pings and reads no answers must not fill the memory.
                    if io.unsent(conn) > self.config.max_unsent_bytes + ORDERLY_CLOSE_BYTES {
                        return self.end_connection(io, now, conn, ConnectionError::NotReading, out);
                    }
                    self.send_control(io, conn, &reply);
                }
                Ok(Some(Incoming::RoundTrip(rtt))) => {
                    if let Some(peer) = self.peer_mut(remote) {
                        peer.rtt = Some((rtt, now));
                    }
                }
                Ok(Some(Incoming::Frame(frame))) => {
                    let (Some((member, _)), channel) = (remote, Channel::from_byte(frame.channel)) else {
                        continue;
                    };
                    let counters = &mut self.peers[usize::from(member)].counters;
                    counters.received_frames += 1;
                    counters.received_bytes += (FRAME_OVERHEAD + frame.payload.len()) as u64;
                    match channel {
                        Some(channel) => out.push(ConnectionEvent::Frame(member, channel, frame.payload)),
                        // The frame belongs to a later version; its sender notices that it gets no answer.
                        None => counters.unknown_channel += 1,
                    }
                }
                Err(error) => return self.end_connection(io, now, conn, error, out),
            }
        }
    }

    /// A connection ended; connections that are not to or from a peer are ignored.
    pub fn ended(
        &mut self,
        io: &mut Io,
        now: Micros,
        conn: ConnId,
        end: EndReason,
        out: &mut Vec<ConnectionEvent>,
    ) {
        self.received(io, now, conn, out);
        let Some(connection) = self.connections.get(&conn) else { return };
        let error = connection.end_reason(match end {
            EndReason::Closed => ConnectionError::Closed,
            EndReason::Reset => ConnectionError::Reset,
            EndReason::ConnectFailed => ConnectionError::ConnectFailed,
        });
        self.end_connection(io, now, conn, error, out);
    }

    /// Runs the timers that are due: pings, timeouts, new attempts to connect.
    pub fn wake(&mut self, io: &mut Io, now: Micros, out: &mut Vec<ConnectionEvent>) {
        self.check_stall(now);
        let mut due = Vec::new();
        for (conn, connection) in &mut self.connections {
            match connection.wake(now, &self.config.timeouts) {
                Ok(None) => {}
                result => due.push((*conn, result)),
            }
        }
        for (conn, result) in due {
            match result {
                Ok(ping) => ping.iter().for_each(|ping| self.send_control(io, conn, ping)),
                Err(error) => self.end_connection(io, now, conn, error, out),
            }
        }
        for member in self.queued_peers.clone() {
            let peer = &mut self.peers[usize::from(member)];
            if now >= peer.queued_since + self.config.queue_timeout {
                peer.queued = BytesMut::new();
                peer.counters.queue_discards += 1;
                self.queued_peers.remove(&member);
                out.push(ConnectionEvent::Down(member));
            } else {
                self.connect(io, now, member);
            }
        }
    }

    /// When [`PeerConnections::wake`] is due next.
    pub fn next_due(&self) -> Micros {
        let connections =
            self.connections.values().map(|connection| connection.next_due(&self.config.timeouts));
        let queued = self.queued_peers.iter().map(|member| {
            let peer = &self.peers[usize::from(*member)];
            let next_attempt = if peer.outbound.is_none() { peer.next_attempt } else { Micros::MAX };
            next_attempt.min(peer.queued_since + self.config.queue_timeout)
        });
        // With connections, run at least once per ping interval: the times between runs show whether this process
        // stalled rather than a peer.
        let stall_check = if self.connections.is_empty() {
            Micros::MAX
        } else {
            self.last_run + self.config.timeouts.ping_interval
        };
        connections.chain(queued).min().unwrap_or(Micros::MAX).min(stall_check)
    }

    /// Closes all connections, established ones after their unsent data is written.
    pub fn stop(&mut self, io: &mut Io) {
        for (conn, connection) in std::mem::take(&mut self.connections) {
            self.close(io, conn, &connection, ConnectionError::Stopped);
        }
        self.unidentified.clear();
        self.queued_peers.clear();
        let backoff = self.config.backoff.0;
        self.peers.iter_mut().for_each(|peer| {
            *peer = Peer { counters: peer.counters, ..Peer::new(backoff) };
        });
    }

    /// Applies a new list of peers. Peers keep their numbers, those past the end of the list are removed. The local
    /// number must be within the list.
    pub(crate) fn update_peers(
        &mut self,
        io: &mut Io,
        now: Micros,
        peers: Vec<SocketAddr>,
        out: &mut Vec<ConnectionEvent>,
    ) {
        let removed_peer = |connection: &PeerConnection| {
            let member = connection.remote().map(|(member, _)| member).or(connection.expected_peer());
            member.filter(|member| usize::from(*member) >= peers.len())
        };
        let removed: Vec<_> = self
            .connections
            .iter()
            .filter_map(|(conn, connection)| Some((*conn, removed_peer(connection)?)))
            .collect();
        for (conn, member) in removed {
            self.end_connection(io, now, conn, ConnectionError::InvalidPeerNumber(member), out);
        }
        self.queued_peers.retain(|member| usize::from(*member) < peers.len());
        let backoff = self.config.backoff.0;
        self.peers.resize_with(peers.len(), || Peer::new(backoff));
        (self.local.size, self.config.peers) = (peers.len(), peers);
    }

    /// Resets the timeouts if this process itself stalled, as data received meanwhile was not read yet.
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

    fn peer_mut(&mut self, remote: Option<(MemberId, u64)>) -> Option<&mut Peer> {
        remote.and_then(|(member, _)| self.peers.get_mut(usize::from(member)))
    }

    fn send_control(&self, io: &mut Io, conn: ConnId, message: &Control) {
        if let Some(output) = io.output(conn) {
            write_frame(0, &message.write(), output);
        }
    }

    /// Opens a connection to a peer, unless there is an outbound one already or the backoff has not passed.
    fn connect(&mut self, io: &mut Io, now: Micros, member: MemberId) {
        let peer = &mut self.peers[usize::from(member)];
        if peer.outbound.is_some() || now < peer.next_attempt {
            return;
        }
        match io.connect(self.config.peers[usize::from(member)]) {
            Ok(conn) => {
                peer.outbound = Some(conn);
                self.connections.insert(conn, PeerConnection::new(Some(member), self.decoder(), now));
            }
            Err(NetError::System(error)) => {
                self.schedule_retry(now, member);
                if self.log_limiter.allows(now, "links") {
                    warn!(
                    peer = member,
                    why = %error,
                    "can't open a socket for a connection: raise the limit of file descriptors"
                    );
                }
            }
        }
    }

    fn schedule_retry(&mut self, now: Micros, member: MemberId) {
        let (rng, max_backoff) = (&mut self.rng, self.config.backoff.1);
        self.peers[usize::from(member)].schedule_retry(now, max_backoff, |max| rng.random_range(0..=max));
    }

    /// Removes a connection from the inbound ones without a handshake; returns whether it was one of them.
    fn remove_unidentified(&mut self, conn: ConnId) -> bool {
        let index = self.unidentified.iter().position(|other| *other == conn);
        index.and_then(|index| self.unidentified.remove(index)).is_some()
    }

    /// A valid handshake was received: ends connections that this one replaces, or this one if it is from an earlier
    /// incarnation of the peer.
    fn handle_handshake(
        &mut self,
        io: &mut Io,
        now: Micros,
        conn: ConnId,
        (member, start_ms): (MemberId, u64),
        out: &mut Vec<ConnectionEvent>,
    ) {
        let inbound = self.remove_unidentified(conn);
        let peer = &self.peers[usize::from(member)];
        let others = [peer.outbound, peer.inbound].into_iter().flatten().filter(|other| *other != conn);
        let others: Vec<_> =
            others.filter_map(|other| Some((other, self.connections.get(&other)?.remote()?.1))).collect();
        if others.iter().any(|(_, other_start)| *other_start > start_ms) {
            return self.end_connection(io, now, conn, ConnectionError::EarlierIncarnation, out);
        }
        for (other, other_start) in others {
            if other_start < start_ms || (inbound && self.peers[usize::from(member)].inbound == Some(other)) {
                self.end_connection(io, now, other, ConnectionError::Replaced, out);
            }
        }
        let rtt = self.connections.get(&conn).map(|connection| (connection.established_for(now), now));
        let peer = &mut self.peers[usize::from(member)];
        if inbound {
            peer.inbound = Some(conn);
            self.send_control(io, conn, &self.local.handshake(member));
        } else {
            // The round trip of the two handshakes.
            peer.rtt = rtt;
        }
        self.activate(io, now, member, out);
    }

    /// Selects an established connection for sending if none is active, and sends the queued frames on it.
    fn activate(&mut self, io: &mut Io, now: Micros, member: MemberId, out: &mut Vec<ConnectionEvent>) {
        let peer = &mut self.peers[usize::from(member)];
        if peer.active.is_some() {
            return;
        }
        let established = |conn: &ConnId| {
            self.connections.get(conn).is_some_and(|connection| connection.remote().is_some())
        };
        let Some(active) = [peer.outbound, peer.inbound].into_iter().flatten().find(established) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&active) else { return };
        let Some((_, start_ms)) = connection.remote() else { return };
        peer.active = Some(active);
        peer.counters.established += 1;
        let queued = std::mem::take(&mut peer.queued);
        let restarted = peer.start_ms.replace(start_ms).is_some_and(|previous| previous != start_ms);
        if restarted && !queued.is_empty() {
            // The frames were meant for the previous process of the peer.
            peer.counters.queue_discards += 1;
            out.push(ConnectionEvent::Down(member));
        } else if let Some(output) = io.output(active).filter(|_| !queued.is_empty()) {
            output.extend_from_slice(&queued);
            connection.mark_used(now);
        }
        self.queued_peers.remove(&member);
        out.push(ConnectionEvent::Up(member, start_ms));
        if self.log_limiter.allows(now, "links") {
            info!(peer = member, life = start_ms, "connection up");
        }
    }

    /// Closes a connection. The reason is sent first if the other end completed its handshake and little data is
    /// unsent before it; otherwise the connection is aborted.
    fn close(&self, io: &mut Io, conn: ConnId, connection: &PeerConnection, error: ConnectionError) {
        let bye = Bye::of(error).filter(|_| connection.remote().is_some());
        match bye.filter(|_| error == ConnectionError::Stopped || io.unsent(conn) <= ORDERLY_CLOSE_BYTES) {
            Some(bye) => {
                self.send_control(io, conn, &Control::Bye(bye));
                io.close(conn);
            }
            None => io.abort(conn),
        }
    }

    /// Removes a connection that this process ends or that ended: logs and counts the reason, schedules a new
    /// attempt, and switches to the other connection of the peer if there is one.
    fn end_connection(
        &mut self,
        io: &mut Io,
        now: Micros,
        conn: ConnId,
        error: ConnectionError,
        out: &mut Vec<ConnectionEvent>,
    ) {
        let Some(connection) = self.connections.remove(&conn) else { return };
        let from = io.peer_address(conn);
        self.close(io, conn, &connection, error);
        self.remove_unidentified(conn);
        let member = connection.remote().map(|(member, _)| member).or(connection.expected_peer());
        if self.log_limiter.allows(now, "links") {
            let expected = matches!(error, ConnectionError::Idle | ConnectionError::Stopped);
            if expected {
                info!(peer = member, why = %error, "connection ended")
            } else {
                warn!(peer = member, ?from, why = %error, "connection ended")
            }
        }
        let Some(member) = member else {
            self.rejected += 1;
            return;
        };
        let peer = &mut self.peers[usize::from(member)];
        peer.counters.count_end(error);
        if peer.outbound == Some(conn) {
            peer.outbound = None;
            // After a connection that lasted, the backoff starts again at its minimum; after failed attempts it keeps
            // growing.
            if connection.established_for(now) >= self.config.backoff.1 {
                peer.backoff = self.config.backoff.0;
            }
            self.schedule_retry(now, member);
        }
        let peer = &mut self.peers[usize::from(member)];
        if peer.inbound == Some(conn) {
            peer.inbound = None;
        }
        if peer.active == Some(conn) {
            (peer.active, peer.rtt) = (None, None);
            out.push(ConnectionEvent::Down(member));
            self.activate(io, now, member, out);
        }
    }
}
