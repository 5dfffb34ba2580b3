//! Some peers with a loop each, turned by one thread, so that time passes for them as a test says.

use crate::relay::Relay;
use basaltward_net::{Happened, Io, IoLimits, Micros};
use basaltward_peers::{
    Channel, ConnectionConfig, ConnectionError, ConnectionEvent, EndpointConfig, EndpointEvent, PeerConfig,
    PeerEndpoint,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const S: Micros = 1_000_000;

pub struct Peer {
    pub io: Io,
    pub endpoint: PeerEndpoint,
    pub events: Vec<EndpointEvent>,
    /// It does not turn: stopped by a signal, or held up.
    pub stalled: bool,
    pub config: EndpointConfig,
}

pub struct TestNetwork {
    pub now: Micros,
    pub peers: Vec<Peer>,
    /// A relay before each, where there is one.
    pub relays: Vec<Relay>,
    /// Those before lives that are no more.
    past: Vec<Relay>,
}

impl Peer {
    fn new(config: EndpointConfig, now: Micros) -> Self {
        let mut io = Io::new(IoLimits::default()).expect("a loop");
        let endpoint = PeerEndpoint::open(config.clone(), &mut io, now).expect("it opens");
        Self { io, endpoint, events: Vec::new(), stalled: false, config }
    }

    fn poll(&mut self, now: Micros) {
        // What is due goes before what has come: a loop that stood still has not looked at its sockets yet.
        if self.endpoint.next_due() <= now {
            self.events.extend(self.endpoint.wake(&mut self.io, now));
        }
        let mut happened = Vec::new();
        self.io.turn(Some(0), &mut happened).expect("a turn");
        for happened in happened {
            assert!(!matches!(happened, Happened::Signal(_)));
            self.events.extend(self.endpoint.handle_event(&mut self.io, now, &happened));
        }
        self.io.forget_ended();
    }

    /// Payloads that came from a peer, in their order.
    pub fn received_from(&self, from: u16) -> Vec<Vec<u8>> {
        let payload = |event: &EndpointEvent| match event {
            EndpointEvent::Connection(ConnectionEvent::Frame(of, _, bytes)) if *of == from => {
                Some(bytes.to_vec())
            }
            _ => None,
        };
        self.events.iter().filter_map(payload).collect()
    }

    pub fn event_count(&self, event: &ConnectionEvent) -> usize {
        self.events
            .iter()
            .filter(|seen| matches!(seen, EndpointEvent::Connection(link) if link == event))
            .count()
    }

    pub fn send(&mut self, now: Micros, to: u16, payload: &[u8]) -> Result<(), ConnectionError> {
        self.endpoint.send(&mut self.io, now, to, (Channel::Pending, payload))
    }
}

pub fn config(own: u16, size: usize) -> EndpointConfig {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    // No address yet: datagrams that come there before the list is known are nobody's.
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

    pub fn with(size: usize, set: impl Fn(&mut EndpointConfig)) -> Self {
        let now = S;
        let peer = |own| {
            let mut config = config(own, size);
            set(&mut config);
            Peer::new(config, now)
        };
        let peers: Vec<_> = (0..size as u16).map(peer).collect();
        let relays = peers.iter().map(|peer| Relay::new(peer.endpoint.listen_address())).collect();
        let mut network = Self { now, peers, relays, past: Vec::new() };
        network.update_peer_lists();
        network
    }

    /// Tells all where all are: connections go through the relays.
    fn update_peer_lists(&mut self) {
        let peers: Vec<_> = self.peers.iter_mut().map(|peer| peer.endpoint.transport().address()).collect();
        let links: Vec<_> = self.relays.iter().map(Relay::address).collect();
        for peer in &mut self.peers {
            peer.config.transport.peers = peers.clone();
            let told = (&peer.config.transport, links.clone());
            peer.endpoint.update_peers(&mut peer.io, self.now, told).expect("the list is good");
        }
    }

    /// A peer dies, and another life of it begins.
    pub fn restart(&mut self, of: usize) {
        // Lives are told apart by milliseconds.
        while basaltward_peers::since_2026_ms() <= self.peers[of].endpoint.start_ms() {}
        let config = config(of as u16, self.peers.len());
        self.peers[of] = Peer::new(config, self.now);
        let relay = Relay::new(self.peers[of].endpoint.listen_address());
        self.past.push(std::mem::replace(&mut self.relays[of], relay));
        self.update_peer_lists();
    }

    pub fn send(&mut self, from: usize, to: u16, payload: &[u8]) -> Result<(), ConnectionError> {
        self.peers[from].send(self.now, to, payload)
    }

    fn poll(&mut self) {
        for peer in self.peers.iter_mut().filter(|peer| !peer.stalled) {
            peer.poll(self.now);
        }
        self.relays.iter_mut().chain(&mut self.past).for_each(|relay| relay.poll(self.now));
    }

    /// Turns until something is so, in no time of theirs.
    pub fn run_until(&mut self, what: &str, so: impl Fn(&mut Self) -> bool) {
        let end = Instant::now() + Duration::from_secs(20);
        while !so(self) {
            assert!(Instant::now() < end, "never: {what}");
            self.poll();
        }
    }

    /// Time passes, in steps that no loop takes for standing still.
    pub fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += 50_000;
            for _ in 0..3 {
                self.poll();
            }
        }
    }

    /// Time passes until something is so; gives how much.
    pub fn advance_until(&mut self, most: Micros, what: &str, so: impl Fn(&Self) -> bool) -> Micros {
        let began = self.now;
        while !so(self) {
            assert!(self.now < began + most, "not in {most}: {what}");
            self.advance(50_000);
        }
        self.now - began
    }
}
