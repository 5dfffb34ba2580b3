//! Links between peers: how soon a frame is there where no connection stands, what one costs, and what many cost that
//! are quiet.

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

type Outcome<T> = Result<T, Box<dyn Error>>;

struct Peer {
    io: Io,
    endpoint: PeerEndpoint,
    happened: Vec<IoEvent>,
}

fn config(own: u16, size: usize) -> EndpointConfig {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let nowhere = vec![SocketAddr::from(([127, 0, 0, 1], 9)); size];
    let transport = PeerConfig {
        sites: None,
        name: "bench".into(),
        listen: any,
        peers: nowhere.clone(),
        own,
        seed: 1,
        operators: Vec::new(),
        zones: vec![0; size],
        bounds: None,
        version: String::new(),
        round_trip: PeerConfig::ROUND_TRIP,
        bytes_per_s: 0,
    };
    EndpointConfig { transport, listen: any, connections: ConnectionConfig::new(nowhere) }
}

impl Peer {
    fn new(own: u16, size: usize) -> Outcome<Self> {
        let mut io = Io::new(IoLimits::default())?;
        let endpoint = PeerEndpoint::open(config(own, size), &mut io, monotonic())?;
        Ok(Self { io, endpoint, happened: Vec::new() })
    }

    fn reread(&mut self, own: u16, links: &[SocketAddr]) -> Outcome<()> {
        let told = config(own, links.len()).transport;
        self.endpoint.update_peers(&mut self.io, monotonic(), (&told, links.to_vec()))?;
        Ok(())
    }

    /// One turn; gives how many frames came.
    fn turn(&mut self, wait: Micros) -> Outcome<usize> {
        let mut happened = std::mem::take(&mut self.happened);
        let mut came = 0;
        let frame =
            |event: &EndpointEvent| matches!(event, EndpointEvent::Connection(ConnectionEvent::Frame(..)));
        self.io.turn(Some(wait), &mut happened)?;
        let now = monotonic();
        for happened in happened.drain(..) {
            came +=
                self.endpoint.handle_event(&mut self.io, now, &happened).iter().filter(|e| frame(e)).count();
        }
        if self.endpoint.next_due() <= now {
            self.endpoint.wake(&mut self.io, now);
        }
        self.io.free_ended();
        self.happened = happened;
        Ok(came)
    }

    fn send(&mut self, to: u16, payload: &[u8]) -> Outcome<()> {
        Ok(self.endpoint.send(&mut self.io, monotonic(), to, (Channel::Pending, payload))?)
    }
}

/// From sending with no connection until the frame is there, and with one that stands.
fn reached(rounds: usize) -> Outcome<()> {
    let (mut new, mut kept) = (Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?);
    for _ in 0..rounds {
        let (mut a, mut b) = (Peer::new(0, 2)?, Peer::new(1, 2)?);
        let links = [a.endpoint.listen_address(), b.endpoint.listen_address()];
        a.reread(0, &links)?;
        b.reread(1, &links)?;
        for figures in [&mut new, &mut kept] {
            let began = monotonic();
            a.send(1, &[7; 200])?;
            while b.turn(0)? == 0 {
                a.turn(0)?;
            }
            figures.record(monotonic() - began)?;
        }
    }
    for (what, figures) in [("no connection", new), ("a connection that stands", kept)] {
        let (p50, p99) = (figures.value_at_quantile(0.5), figures.value_at_quantile(0.99));
        println!("sent with {what}: there after {p50} us p50, {p99} us p99, {rounds} times");
    }
    Ok(())
}

/// Frames in batches, one way, both ends on this thread.
fn carried(frames: usize) -> Outcome<()> {
    println!("a frame: {FRAME_OVERHEAD} bytes beside its payload");
    for size in [50, 1_000, 60_000] {
        let (mut a, mut b) = (Peer::new(0, 2)?, Peer::new(1, 2)?);
        let links = [a.endpoint.listen_address(), b.endpoint.listen_address()];
        a.reread(0, &links)?;
        b.reread(1, &links)?;
        let (payload, count) = (vec![7; size], frames.min((2 << 30) / size));
        let (mut sent, mut came, began) = (0, 0, thread_time());
        while came < count {
            for _ in 0..100.min(count - sent) {
                if a.send(1, &payload).is_err() {
                    break;
                }
                sent += 1;
            }
            a.turn(0)?;
            came += b.turn(0)?;
        }
        let each = (thread_time() - began) as f64 / count as f64;
        println!("{size:>6} bytes: {each:.2} us of processor for both ends and the system, {count} frames");
    }
    Ok(())
}

/// Peers that complete a handshake and answer questions, and nothing else.
fn quiet(at: SocketAddr, links: u16, over: &AtomicBool) -> std::io::Result<()> {
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
    while !over.load(Ordering::Relaxed) {
        for (stream, held) in &mut all {
            while let Ok(length @ 1..) = stream.read(&mut bytes) {
                held.extend_from_slice(&bytes[..length]);
            }
            while let Some(length) = held.first_chunk().map(|told| u32::from_le_bytes(*told) as usize) {
                if held.len() < 8 + length {
                    break;
                }
                let frame = held.split_to(8 + length);
                // A question: its tag goes back as an answer.
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

/// What links cost that stand and that no room uses.
fn stand(links: u16, seconds: u64) -> Outcome<()> {
    let mut hub = Peer::new(0, usize::from(links) + 1)?;
    // Those of whom only links are measured take datagrams nowhere.
    let sink = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    hub.reread(0, &vec![sink; usize::from(links) + 1])?;
    let (at, over) = (hub.endpoint.listen_address(), Arc::new(AtomicBool::new(false)));
    let before = resident()?;
    let ended = over.clone();
    let peers = std::thread::spawn(move || quiet(at, links, &ended));
    let up = |hub: &Peer| (1..=links).all(|of| hub.endpoint.connections().rtt(of, 0).is_some());
    while !up(&hub) {
        hub.turn(10_000)?;
    }
    let (used, began) = (thread_time(), monotonic());
    while monotonic() < began + seconds * 1_000_000 {
        hub.turn(10_000)?;
    }
    let used = (thread_time() - used) as f64 / seconds as f64 / 1e4;
    let each = (resident()? - before) / f64::from(links);
    println!(
        "{links} links that stand: {each:.0} bytes each in the process, both ends of the bench; {used:.1}% of a core"
    );
    over.store(true, Ordering::Relaxed);
    peers.join().map_err(|_| "the peers panicked")??;
    Ok(())
}

/// All of it.
pub fn run(rounds: usize, frames: usize, links: u16) -> Outcome<()> {
    reached(rounds)?;
    carried(frames)?;
    stand(links, 5)
}
