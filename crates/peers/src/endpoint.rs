//! The endpoint of a control thread on its event loop: the datagram transport (membership and permits) together with
//! the connections to peers. Input: I/O events and times; output: [`EndpointEvent`]s.

use crate::config::{ConnectionConfig, PeerConfig};
use crate::connection::LocalIdentity;
use crate::connections::PeerConnections;
use crate::error::{ConnectionError, PeerError};
use crate::event::{Channel, ConnectionEvent, Event};
use crate::transport::PeerTransport;
use basaltward_membership::{MemberId, Membership};
use basaltward_net::{Io, IoEvent, Micros, bind};
use basaltward_permits::{PermitRequest, PermitState, Stored};
use std::net::SocketAddr;

/// Configuration of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointConfig {
    /// Datagrams: membership and permits.
    pub transport: PeerConfig,
    /// Address to accept connections of peers on.
    pub listen: SocketAddr,
    /// Connections between peers.
    pub connections: ConnectionConfig,
}

/// An event of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointEvent {
    /// From datagrams: changes of the membership and of the permits.
    Transport(Event),
    /// From connections: up, down, or a frame.
    Connection(ConnectionEvent),
}

/// Checks that each peer has an address for datagrams and one for connections.
fn check_lists(config: &PeerConfig, connections: &[SocketAddr]) -> Result<(), PeerError> {
    match (config.peers.len(), connections.len()) {
        (datagrams, connections) if datagrams != connections => {
            Err(PeerError::Addresses(datagrams, connections))
        }
        _ => Ok(()),
    }
}

/// Datagrams and connections of one process; see the module's documentation.
pub struct PeerEndpoint {
    transport: PeerTransport,
    connections: PeerConnections,
    start_ms: u64,
    listen_address: SocketAddr,
    transport_events: Vec<Event>,
    connection_events: Vec<ConnectionEvent>,
}

impl PeerEndpoint {
    /// Opens the datagram socket and the listener.
    ///
    /// # Errors
    /// If the configuration is invalid or an address can't be bound.
    pub fn open(config: EndpointConfig, io: &mut Io, now: Micros) -> Result<Self, PeerError> {
        check_lists(&config.transport, &config.connections.peers)?;
        config.connections.check()?;
        let (own, size) = (config.transport.own, config.connections.peers.len());
        let transport = PeerTransport::open(&config.transport, io, now)?;
        let listen_error = |why| PeerError::Listen { at: config.listen, why };
        let listener = bind(config.listen, false).map_err(listen_error)?;
        let (listener, listen_address) = io.listen(listener).map_err(listen_error)?;
        let start_ms = transport.start_ms();
        let local = LocalIdentity { fleet: config.transport.fleet_hash(), member: own, start_ms, size };
        let connections = PeerConnections::new(config.connections, local, listener, config.transport.seed);
        Ok(Self {
            transport,
            connections,
            start_ms,
            listen_address,
            transport_events: Vec::new(),
            connection_events: Vec::new(),
        })
    }

    /// The address that connections of peers are accepted on.
    pub fn listen_address(&self) -> SocketAddr {
        self.listen_address
    }

    /// Start time of this process, in milliseconds since the beginning of 2026, as sent in its handshakes. It does
    /// not change while the process runs.
    pub fn start_ms(&self) -> u64 {
        self.start_ms
    }

    /// The local view of the membership.
    pub fn membership(&self) -> &Membership {
        self.transport.membership()
    }

    /// The connections: established ones, round trip times, counters.
    pub fn connections(&self) -> &PeerConnections {
        &self.connections
    }

    /// The datagram transport, to update workers or to inject faults.
    pub fn transport(&mut self) -> &mut PeerTransport {
        &mut self.transport
    }

    /// The latest permit state known to this process.
    pub fn permit_state(&self) -> Option<&Stored<PermitState>> {
        self.transport.permit_state()
    }

    /// Submits a permit request, see [`PeerTransport::submit`].
    pub fn submit(&mut self, now: Micros, request: PermitRequest) -> Option<u32> {
        self.transport.submit(now, request)
    }

    /// Publishes a fact of this member, see [`Membership::publish_fact`].
    pub fn publish_fact(&mut self, now: Micros, key: u8, value: &[u8], valid_for: Micros) -> bool {
        self.transport.publish_fact(now, key, value, valid_for)
    }

    /// The fact that a peer published under a key, see [`Membership::fact`].
    pub fn fact(&self, now: Micros, owner: MemberId, key: u8) -> Option<&[u8]> {
        self.transport.membership().fact(now, owner, key)
    }

    /// Sends or queues a frame, see [`PeerConnections::send`].
    ///
    /// # Errors
    /// If the frame is rejected; no part of it is sent.
    pub fn send(
        &mut self,
        io: &mut Io,
        now: Micros,
        to: MemberId,
        frame: (Channel, &[u8]),
    ) -> Result<(), ConnectionError> {
        self.connections.send(io, now, to, frame)
    }

    /// Handles an I/O event of the loop; events of other sockets are ignored.
    pub fn handle_event(&mut self, io: &mut Io, now: Micros, event: &IoEvent) -> Vec<EndpointEvent> {
        match *event {
            IoEvent::Datagrams(socket) if socket == self.transport.socket() => {
                self.transport.receive(io, now, &mut self.transport_events);
            }
            IoEvent::Accepted { conn, listener } => self.connections.accepted(io, now, conn, listener),
            IoEvent::Connected(conn) => self.connections.connected(io, now, conn),
            IoEvent::Data(conn) => self.connections.received(io, now, conn, &mut self.connection_events),
            IoEvent::Ended(conn, how) => {
                self.connections.ended(io, now, conn, how, &mut self.connection_events)
            }
            _ => {}
        }
        self.events()
    }

    /// Runs the timers that are due.
    pub fn wake(&mut self, io: &mut Io, now: Micros) -> Vec<EndpointEvent> {
        // Gateways have no workers that are drained, so no calls in flight are reported for them.
        self.transport.wake(io, now, |_| 0, &mut self.transport_events);
        self.connections.wake(io, now, &mut self.connection_events);
        self.events()
    }

    /// When [`PeerEndpoint::wake`] is due next.
    pub fn next_due(&self) -> Micros {
        self.transport.next_due().min(self.connections.next_due())
    }

    /// Applies a new list of peers, with their addresses for datagrams and for connections.
    ///
    /// # Errors
    /// If the list is invalid; the previous one stays in use.
    pub fn update_peers(
        &mut self,
        io: &mut Io,
        now: Micros,
        (config, peers): (&PeerConfig, Vec<SocketAddr>),
    ) -> Result<Vec<EndpointEvent>, PeerError> {
        check_lists(config, &peers)?;
        config.membership_settings(self.start_ms)?;
        self.transport.update_peers(config);
        self.connections.update_peers(io, now, peers, &mut self.connection_events);
        Ok(self.events())
    }

    /// Fault injection: checksums of received frames are not verified on new connections.
    #[doc(hidden)]
    pub fn inject_skipped_checksums(&mut self) {
        self.connections.inject_skipped_checksums();
    }

    /// Announces to the peers that this process is leaving while it finishes its work. Connections stay open.
    pub fn leave(&mut self, io: &mut Io, now: Micros) -> Vec<EndpointEvent> {
        self.transport.leave(io, now, &mut self.transport_events);
        self.events()
    }

    /// Announces the end of this process and closes its connections. Data already sent to them is written as long as
    /// the loop runs.
    pub fn stop(&mut self, io: &mut Io, now: Micros) -> Vec<EndpointEvent> {
        self.transport.stop(io, now, &mut self.transport_events);
        self.connections.stop(io);
        self.events()
    }

    fn events(&mut self) -> Vec<EndpointEvent> {
        let transport_events = self.transport_events.drain(..).map(EndpointEvent::Transport);
        transport_events.chain(self.connection_events.drain(..).map(EndpointEvent::Connection)).collect()
    }
}
