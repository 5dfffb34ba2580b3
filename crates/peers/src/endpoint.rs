//! All that a control thread has of its peers on one loop: the transport of datagrams (membership and permits) and the
//! connections. Input: what happened on the loop, and times; output: [`EndpointEvent`]s.

use crate::config::{ConnectionConfig, PeerConfig};
use crate::connection::LocalIdentity;
use crate::connections::PeerConnections;
use crate::error::{ConnectionError, PeerError};
use crate::event::{Channel, ConnectionEvent, Event};
use crate::transport::PeerTransport;
use basaltward_membership::{MemberId, Membership};
use basaltward_net::{Happened, Io, Micros, bind};
use basaltward_permits::{PermitRequest, PermitState, Stored};
use std::net::SocketAddr;

/// What a control thread is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointConfig {
    /// Membership and agreement.
    pub transport: PeerConfig,
    /// Where connections of peers are taken.
    pub listen: SocketAddr,
    /// The links.
    pub connections: ConnectionConfig,
}

/// What a control thread hears.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointEvent {
    /// By datagrams: of the view, and of what is agreed.
    Transport(Event),
    /// Of the links: up, down, a frame.
    Connection(ConnectionEvent),
}

/// Each peer has both addresses.
fn check_lists(config: &PeerConfig, links: &[SocketAddr]) -> Result<(), PeerError> {
    match (config.peers.len(), links.len()) {
        (told, linked) if told != linked => Err(PeerError::Addresses(told, linked)),
        _ => Ok(()),
    }
}

/// See the module's page.
pub struct PeerEndpoint {
    transport: PeerTransport,
    connections: PeerConnections,
    start_ms: u64,
    listen_address: SocketAddr,
    transport_events: Vec<Event>,
    connection_events: Vec<ConnectionEvent>,
}

impl PeerEndpoint {
    /// Opens the socket of datagrams and the listener.
    ///
    /// # Errors
    /// Where the configuration can't be used or an address can't be had.
    pub fn open(config: EndpointConfig, io: &mut Io, now: Micros) -> Result<Self, PeerError> {
        check_lists(&config.transport, &config.connections.peers)?;
        config.connections.check()?;
        let (own, size) = (config.transport.own, config.connections.peers.len());
        let transport = PeerTransport::open(&config.transport, io, now)?;
        let refused = |why| PeerError::Listen { at: config.listen, why };
        let listener = bind(config.listen, false).map_err(refused)?;
        let (listener, listens) = io.listen(listener).map_err(refused)?;
        let life = transport.start_ms();
        let local = LocalIdentity { fleet: config.transport.fleet_hash(), member: own, start_ms: life, size };
        let connections = PeerConnections::new(config.connections, local, listener, config.transport.seed);
        Ok(Self {
            transport,
            connections,
            start_ms: life,
            listen_address: listens,
            transport_events: Vec::new(),
            connection_events: Vec::new(),
        })
    }

    /// Where connections of peers are taken.
    pub fn listen_address(&self) -> SocketAddr {
        self.listen_address
    }

    /// When this life of ours began, as hellos of ours say it: the same one for as long as we run.
    pub fn start_ms(&self) -> u64 {
        self.start_ms
    }

    /// The view.
    pub fn membership(&self) -> &Membership {
        self.transport.membership()
    }

    /// The links: who is up, round trips, counts.
    pub fn connections(&self) -> &PeerConnections {
        &self.connections
    }

    /// Membership and agreement, to tell workers or to plant faults.
    pub fn transport(&mut self) -> &mut PeerTransport {
        &mut self.transport
    }

    /// The latest that is agreed, as far as we know.
    pub fn permit_state(&self) -> Option<&Stored<PermitState>> {
        self.transport.permit_state()
    }

    /// Asks for something that the fleet agrees on, see [`PeerTransport::submit`].
    pub fn submit(&mut self, now: Micros, request: PermitRequest) -> Option<u32> {
        self.transport.submit(now, request)
    }

    /// Tells a fact of ours to all, see [`Membership::publish_fact`].
    pub fn publish_fact(&mut self, now: Micros, key: u8, value: &[u8], stands: Micros) -> bool {
        self.transport.publish_fact(now, key, value, stands)
    }

    /// What a peer tells under a key, see [`Membership::fact`].
    pub fn fact(&self, now: Micros, owner: MemberId, key: u8) -> Option<&[u8]> {
        self.transport.membership().fact(now, owner, key)
    }

    /// Sends a frame, see [`PeerConnections::send`].
    ///
    /// # Errors
    /// Where it is not taken, and nothing of it goes.
    pub fn send(
        &mut self,
        io: &mut Io,
        now: Micros,
        to: MemberId,
        frame: (Channel, &[u8]),
    ) -> Result<(), ConnectionError> {
        self.connections.send(io, now, to, frame)
    }

    /// Takes what happened on the loop, where it is of our sockets.
    pub fn handle_event(&mut self, io: &mut Io, now: Micros, happened: &Happened) -> Vec<EndpointEvent> {
        match *happened {
            Happened::Datagrams(socket) if socket == self.transport.socket() => {
                self.transport.receive(io, now, &mut self.transport_events);
            }
            Happened::Accepted { conn, listener } => self.connections.accepted(io, now, conn, listener),
            Happened::Connected(conn) => self.connections.connected(io, now, conn),
            Happened::Data(conn) => self.connections.received(io, now, conn, &mut self.connection_events),
            Happened::Ended(conn, how) => {
                self.connections.ended(io, now, conn, how, &mut self.connection_events)
            }
            _ => {}
        }
        self.events()
    }

    /// Does what is due.
    pub fn wake(&mut self, io: &mut Io, now: Micros) -> Vec<EndpointEvent> {
        // A gateway's workers are not drained through here: it has none of theirs in hand.
        self.transport.wake(io, now, |_| 0, &mut self.transport_events);
        self.connections.wake(io, now, &mut self.connection_events);
        self.events()
    }

    /// When [`PeerEndpoint::wake`] is due next.
    pub fn next_due(&self) -> Micros {
        self.transport.next_due().min(self.connections.next_due())
    }

    /// Another list of peers: their addresses for datagrams and for connections hold from now on.
    ///
    /// # Errors
    /// Where it can't be used; the one before stands.
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

    /// Plants a fault: checksums of frames are not looked at.
    #[doc(hidden)]
    pub fn inject_skipped_checksums(&mut self) {
        self.connections.inject_skipped_checksums();
    }

    /// We leave, and finish what we have: peers hear it, links stand.
    pub fn leave(&mut self, io: &mut Io, now: Micros) -> Vec<EndpointEvent> {
        self.transport.leave(io, now, &mut self.transport_events);
        self.events()
    }

    /// We are no more. What was given to be sent is written while the loop still turns.
    pub fn stop(&mut self, io: &mut Io, now: Micros) -> Vec<EndpointEvent> {
        self.transport.stop(io, now, &mut self.transport_events);
        self.connections.stop(io);
        self.events()
    }

    fn events(&mut self) -> Vec<EndpointEvent> {
        let told = self.transport_events.drain(..).map(EndpointEvent::Transport);
        told.chain(self.connection_events.drain(..).map(EndpointEvent::Connection)).collect()
    }
}
