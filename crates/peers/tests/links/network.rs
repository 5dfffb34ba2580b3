//! A network of peers, each with its own event loop, run by one thread on a simulated clock.

use crate::relay::Relay;
use basaltward_net::{Io, IoEvent, IoLimits, Micros};
use basaltward_peers::{
    Channel, ConnectionConfig, ConnectionError, ConnectionEvent, EndpointConfig, EndpointEvent, PeerConfig,
    PeerEndpoint,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const S: Micros = 1_000_000;

/// One peer with the events that it has reported.
pub struct Peer {
    pub io: Io,
    pub endpoint: PeerEndpoint,
    pub events: Vec<EndpointEvent>,
    /// Its loop does not run, as if the process were stopped by a signal or blocked.
    pub stalled: bool,
    pub config: EndpointConfig,
}

/// Peers connected through relays.
pub struct TestNetwork {
    /// The simulated time.
    pub now: Micros,
    pub peers: Vec<Peer>,
    /// The relay in front of each peer.
    pub relays: Vec<Relay>,
    /// Relays in front of earlier incarnations of restarted peers.
    previous_relays: Vec<Relay>,
}

impl Peer {
    fn new(config: EndpointConfig, now: Micros) -> Self {
        let mut io = Io::new(IoLimits::default()).expect("an event loop");
        let endpoint = PeerEndpoint::open(config.clone(), &mut io, now).expect("an endpoint");
        Self { io, endpoint, events: Vec::new(), stalled: false, config }
    }

    fn poll(&mut self, now: Micros) {
        // Timers run before I/O: after a stall, a loop finds its timers due before it has read its sockets.
        if self.endpoint.next_due() <= now {
            self.events.extend(self.endpoint.wake(&mut self.io, now));
        }
        let mut io_events = Vec::new();
        self.io.turn(Some(0), &mut io_events).expect("a turn of the loop");
        for io_event in io_events {
            assert!(!matches!(io_event, IoEvent::Signal(_)));
            self.events.extend(self.endpoint.handle_event(&mut self.io, now, &io_event));
        }
        self.io.free_ended();
    }

    /// Payloads of the frames received from a peer, in order.
    pub fn received_from(&self, from: u16) -> Vec<Vec<u8>> {
        let payload = |event: &EndpointEvent| match event {
            EndpointEvent::Connection(ConnectionEvent::Frame(sender, _, bytes)) if *sender == from => {
                Some(bytes.to_vec())
            }
            _ => None,
        };
        self.events.iter().filter_map(payload).collect()
    }

    /// How often a connection event was reported.
    pub fn event_count(&self, event: &ConnectionEvent) -> usize {
        self.events
            .iter()
            .filter(|reported| matches!(reported, EndpointEvent::Connection(reported) if reported == event))
            .count()
    }

    pub fn send(&mut self, now: Micros, to: u16, payload: &[u8]) -> Result<(), ConnectionError> {
        self.endpoint.send(&mut self.io, now, to, (Channel::Pending, payload))
    }
}

pub fn config(own: u16, size: usize) -> EndpointConfig {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    // A placeholder until the addresses are known; no peer receives what is sent there.
    let nowhere = vec![SocketAddr::from(([127, 0, 0, 1], 9)); size];
    let transport = PeerConfig {
        sites: None,
        name: "test".into(),
        listen: any,
        peers: nowhere.clone(),
        own,
        seed: u64::from(own) + 1,
        operators: Vec::new(),
        zones: vec![0; size],
        bounds: Some(basaltward_permits::Bounds::default()),
        version: "1".into(),
        round_trip: PeerConfig::ROUND_TRIP,
        bytes_per_s: 0,
    };
    let mut connections = ConnectionConfig {
        max_frame_bytes: 4 << 10,
        max_unsent_bytes: 256 << 10,
        ..ConnectionConfig::new(nowhere)
    };
    (connections.timeouts.idle_timeout, connections.timeouts.pong_timeout) = (30 * S, 30 * S);
    EndpointConfig { transport, listen: any, connections }
}

impl TestNetwork {
    pub fn new(size: usize) -> Self {
        Self::with(size, |_| {})
    }

    pub fn with(size: usize, adjust: impl Fn(&mut EndpointConfig)) -> Self {
        let now = S;
        let peer = |own| {
            let mut config = config(own, size);
            adjust(&mut config);
            Peer::new(config, now)
        };
        let peers: Vec<_> = (0..size as u16).map(peer).collect();
        let relays = peers.iter().map(|peer| Relay::new(peer.endpoint.listen_address())).collect();
        let mut network = Self { now, peers, relays, previous_relays: Vec::new() };
        network.update_peer_lists();
        network
    }

    /// Configures every peer with the addresses of all; connections go through the relays.
    fn update_peer_lists(&mut self) {
        let peers: Vec<_> = self.peers.iter_mut().map(|peer| peer.endpoint.transport().address()).collect();
        let connections: Vec<_> = self.relays.iter().map(Relay::address).collect();
        for peer in &mut self.peers {
            peer.config.transport.peers = peers.clone();
            let lists = (&peer.config.transport, connections.clone());
            peer.endpoint.update_peers(&mut peer.io, self.now, lists).expect("valid lists");
        }
    }

    /// Ends a peer without notice and starts a new incarnation of it.
    pub fn restart(&mut self, peer: usize) {
        // Incarnations differ in their start time in milliseconds.
        while basaltward_peers::since_2026_ms() <= self.peers[peer].endpoint.start_ms() {}
        let config = config(peer as u16, self.peers.len());
        self.peers[peer] = Peer::new(config, self.now);
        let relay = Relay::new(self.peers[peer].endpoint.listen_address());
        self.previous_relays.push(std::mem::replace(&mut self.relays[peer], relay));
        self.update_peer_lists();
    }

    pub fn send(&mut self, from: usize, to: u16, payload: &[u8]) -> Result<(), ConnectionError> {
        self.peers[from].send(self.now, to, payload)
    }

    fn poll(&mut self) {
        for peer in self.peers.iter_mut().filter(|peer| !peer.stalled) {
            peer.poll(self.now);
        }
        self.relays.iter_mut().chain(&mut self.previous_relays).for_each(|relay| relay.poll(self.now));
    }

    /// Runs the network until a condition holds, without advancing the simulated time.
    pub fn run_until(&mut self, description: &str, condition: impl Fn(&mut Self) -> bool) {
        let deadline = Instant::now() + Duration::from_secs(20);
        while !condition(self) {
            assert!(Instant::now() < deadline, "never happened: {description}");
            self.poll();
        }
    }

    /// Advances the simulated time, in steps that are too short to count as a stall of a loop.
    pub fn advance(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now += 50_000;
            for _ in 0..3 {
                self.poll();
            }
        }
    }

    /// Advances the simulated time until a condition holds, for at most `max`; returns how long it took.
    pub fn advance_until(
        &mut self,
        max: Micros,
        description: &str,
        condition: impl Fn(&Self) -> bool,
    ) -> Micros {
        let start = self.now;
        while !condition(self) {
            assert!(self.now < start + max, "not within {max} us: {description}");
            self.advance(50_000);
        }
        self.now - start
    }
}
