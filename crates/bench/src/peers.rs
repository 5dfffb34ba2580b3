//! Links between peers: the delivery time of a frame with and without an open connection, the processor time per
//! frame, and the cost of many idle links.

use crate::memory::resident;
use basaltward_net::{Io, IoEvent, IoLimits, Micros, monotonic, thread_time};
use basaltward_peers::{
    Channel, ConnectionConfig, ConnectionEvent, EndpointConfig, EndpointEvent, FRAME_OVERHEAD, PeerConfig,
    PeerEndpoint, write_frame,
};
use bytes::BytesMut;
use hdrhistogram::Histogram;
use std::error::Error;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

type PeersResult<T> = Result<T, Box<dyn Error>>;

struct Peer {
    io: Io,
    endpoint: PeerEndpoint,
    io_events: Vec<IoEvent>,
}

fn config(own: u16, size: usize) -> EndpointConfig {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let unused = vec![SocketAddr::from(([127, 0, 0, 1], 9)); size];
    let transport = PeerConfig {
        sites: None,
        name: "bench".into(),
        listen: any,
        peers: unused.clone(),
        own,
        seed: 1,
        operators: Vec::new(),
        zones: vec![0; size],
        bounds: None,
        version: String::new(),
        round_trip: PeerConfig::ROUND_TRIP,
        bytes_per_s: 0,
    };
    EndpointConfig { transport, listen: any, connections: ConnectionConfig::new(unused) }
}

impl Peer {
    fn new(own: u16, size: usize) -> PeersResult<Self> {
        let mut io = Io::new(IoLimits::default())?;
        let endpoint = PeerEndpoint::open(config(own, size), &mut io, monotonic())?;
        Ok(Self { io, endpoint, io_events: Vec::new() })
    }

    /// Sets the addresses of all peers' links.
    fn update_links(&mut self, own: u16, links: &[SocketAddr]) -> PeersResult<()> {
        let transport = config(own, links.len()).transport;
        self.endpoint.update_peers(&mut self.io, monotonic(), (&transport, links.to_vec()))?;
        Ok(())
    }

    /// Runs one turn of the event loop and returns the number of frames received.
    fn turn(&mut self, wait: Micros) -> PeersResult<usize> {
        let mut io_events = std::mem::take(&mut self.io_events);
        let mut received = 0;
        let frame =
            |event: &EndpointEvent| matches!(event, EndpointEvent::Connection(ConnectionEvent::Frame(..)));
        self.io.turn(Some(wait), &mut io_events)?;
        let now = monotonic();
        for event in io_events.drain(..) {
            received +=
                self.endpoint.handle_event(&mut self.io, now, &event).iter().filter(|e| frame(e)).count();
        }
        if self.endpoint.next_due() <= now {
            self.endpoint.wake(&mut self.io, now);
        }
        self.io.free_ended();
        self.io_events = io_events;
        Ok(received)
    }

    fn send(&mut self, to: u16, payload: &[u8]) -> PeersResult<()> {
        Ok(self.endpoint.send(&mut self.io, monotonic(), to, (Channel::Pending, payload))?)
    }
}

/// Prints the time from sending a frame to its arrival, without a connection and on an open one.
fn delivery_time(rounds: usize) -> PeersResult<()> {
    let (mut new, mut open) = (Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?);
    for _ in 0..rounds {
        let (mut a, mut b) = (Peer::new(0, 2)?, Peer::new(1, 2)?);
        let links = [a.endpoint.listen_address(), b.endpoint.listen_address()];
        a.update_links(0, &links)?;
        b.update_links(1, &links)?;
        for figures in [&mut new, &mut open] {
            let start = monotonic();
            a.send(1, &[7; 200])?;
            while b.turn(0)? == 0 {
                a.turn(0)?;
            }
            figures.record(monotonic() - start)?;
        }
    }
    for (what, figures) in [("no connection", new), ("an open connection", open)] {
        let (p50, p99) = (figures.value_at_quantile(0.5), figures.value_at_quantile(0.99));
        println!("sent with {what}: received after {p50} us p50, {p99} us p99, {rounds} times");
    }
    Ok(())
}

/// Prints the processor time per frame, sent in batches in one direction, with both ends on this thread.
fn frame_cost(frames: usize) -> PeersResult<()> {
    println!("a frame: {FRAME_OVERHEAD} bytes in addition to its payload");
    for size in [50, 1_000, 60_000] {
        let (mut a, mut b) = (Peer::new(0, 2)?, Peer::new(1, 2)?);
        let links = [a.endpoint.listen_address(), b.endpoint.listen_address()];
        a.update_links(0, &links)?;
        b.update_links(1, &links)?;
        let (payload, count) = (vec![7; size], frames.min((2 << 30) / size));
        let (mut sent, mut received, start) = (0, 0, thread_time());
        while received < count {
            for _ in 0..100.min(count - sent) {
                if a.send(1, &payload).is_err() {
                    break;
                }
                sent += 1;
            }
            a.turn(0)?;
            received += b.turn(0)?;
        }
        let each = (thread_time() - start) as f64 / count as f64;
        println!(
            "{size:>6} bytes: {each:.2} us of processor time for both ends and the system, {count} frames"
        );
    }
    Ok(())
}

/// Runs peers that complete the handshake and answer pings, and do nothing else, until `stop` is set.
fn run_idle_peers(at: SocketAddr, links: u16, stop: &AtomicBool) -> std::io::Result<()> {
    let fleet = crc32fast::hash(b"bench");
    let mut all = Vec::new();
    for from in 1..=links {
        let mut handshake = BytesMut::new();
        let body = (0u8, 1u8, fleet, from, 1u64, 0u16);
        write_frame(0, &postcard::to_extend(&body, Vec::new()).unwrap_or_default(), &mut handshake);
        let mut stream = TcpStream::connect(at)?;
        stream.write_all(&handshake)?;
        stream.set_nonblocking(true)?;
        all.push((stream, BytesMut::new()));
    }
    let mut bytes = [0; 4096];
    while !stop.load(Ordering::Relaxed) {
        for (stream, held) in &mut all {
            while let Ok(length @ 1..) = stream.read(&mut bytes) {
                held.extend_from_slice(&bytes[..length]);
            }
            while let Some(length) = held.first_chunk().map(|prefix| u32::from_le_bytes(*prefix) as usize) {
                if held.len() < 8 + length {
                    break;
                }
                let frame = held.split_to(8 + length);
                // A ping: the answer carries the same tag.
                if frame[8] == 0 && frame[9] == 1 {
                    let mut answer = BytesMut::new();
                    write_frame(0, &[&[2], &frame[10..]].concat(), &mut answer);
                    stream.write_all(&answer)?;
                }
            }
        }
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    Ok(())
}

/// Prints the memory and processor time of open links that carry no frames.
fn idle_link_cost(links: u16, seconds: u64) -> PeersResult<()> {
    let mut hub = Peer::new(0, usize::from(links) + 1)?;
    // Only links are measured: datagrams to these peers go to an address where nobody reads them.
    let sink = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    hub.update_links(0, &vec![sink; usize::from(links) + 1])?;
    let (at, stop) = (hub.endpoint.listen_address(), Arc::new(AtomicBool::new(false)));
    let before = resident()?;
    let stop_peers = stop.clone();
    let peers = std::thread::spawn(move || run_idle_peers(at, links, &stop_peers));
    let up = |hub: &Peer| (1..=links).all(|of| hub.endpoint.connections().rtt(of, 0).is_some());
    while !up(&hub) {
        hub.turn(10_000)?;
    }
    let (used, start) = (thread_time(), monotonic());
    while monotonic() < start + seconds * 1_000_000 {
        hub.turn(10_000)?;
    }
    let used = (thread_time() - used) as f64 / seconds as f64 / 1e4;
    let each = (resident()? - before) / f64::from(links);
    println!(
        "{links} open links: {each:.0} bytes each in the process, both ends included; {used:.1}% of a core"
    );
    stop.store(true, Ordering::Relaxed);
    peers.join().map_err(|_| "the thread of the peers panicked")??;
    Ok(())
}

/// Measures and prints.
///
/// # Errors
/// If a socket can't be opened or a link fails.
pub fn run(rounds: usize, frames: usize, links: u16) -> PeersResult<()> {
    delivery_time(rounds)?;
    frame_cost(frames)?;
    idle_link_cost(links, 5)
}
