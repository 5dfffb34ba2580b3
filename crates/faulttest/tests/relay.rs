//! The relays alone, between plain sockets.
use basaltward_faulttest::{ConnectionMode, DatagramFaults, Link, Party, Relay, RelayBuilder, Shaping};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::Duration;

const LINK: Link = Link { from: Party::Scheduler(0), to: Party::Worker(0) };

/// Starts a server that echoes the bytes of every connection until the client closes it.
fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut bytes = [0; 64];
                while let Ok(n @ 1..) = stream.read(&mut bytes) {
                    if stream.write_all(&bytes[..n]).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn relayed_echo_server() -> (Relay, SocketAddr) {
    let mut builder = RelayBuilder::new().expect("event loop");
    let address = builder.add_link(LINK, start_echo_server(), None).expect("link added");
    (builder.start(1).expect("relays started"), address)
}

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("connected");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("timeout set");
    stream
}

fn expect_bytes(stream: &mut TcpStream, text: &[u8]) {
    let mut back = vec![0; text.len()];
    stream.read_exact(&mut back).expect("read");
    assert_eq!(back, text);
}

#[test]
fn stalled_link_stays_open_and_delivers_queued_bytes_after_the_stall() {
    let (relay, address) = relayed_echo_server();
    let mut before = connect(address);
    before.write_all(b"one").expect("written");
    expect_bytes(&mut before, b"one");
    relay.set_connection_mode(LINK, ConnectionMode::Stall);
    let mut during = connect(address);
    before.write_all(b"two").expect("written");
    during.write_all(b"three").expect("written");
    let mut byte = [0];
    before.set_read_timeout(Some(Duration::from_millis(200))).expect("timeout set");
    let silent = before.read(&mut byte).expect_err("nothing is forwarded");
    assert!(matches!(silent.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut), "{silent}");
    assert_eq!(relay.counts()[&LINK].bytes, (3, 3), "nothing is forwarded");
    before.set_read_timeout(Some(Duration::from_secs(10))).expect("timeout set");
    relay.set_connection_mode(LINK, ConnectionMode::Pass);
    expect_bytes(&mut before, b"two");
    expect_bytes(&mut during, b"three");
}

#[test]
fn close_during_a_stall_is_forwarded_after_it() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let mut builder = RelayBuilder::new().expect("event loop");
    let address = builder.add_link(LINK, listener.local_addr().expect("bound"), None).expect("link added");
    let relay = builder.start(1).expect("relays started");
    let mut stream = connect(address);
    let (far, _) = listener.accept().expect("accepted");
    relay.set_connection_mode(LINK, ConnectionMode::Stall);
    drop(far);
    stream.set_read_timeout(Some(Duration::from_millis(200))).expect("timeout set");
    assert!(stream.read(&mut [0]).is_err(), "not forwarded yet");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("timeout set");
    relay.set_connection_mode(LINK, ConnectionMode::Pass);
    assert_eq!(stream.read(&mut [0]).expect("end of stream"), 0);
}

#[test]
fn refused_link_resets_open_connections_and_refuses_new_ones() {
    let (relay, address) = relayed_echo_server();
    let mut stream = connect(address);
    stream.write_all(b"one").expect("written");
    expect_bytes(&mut stream, b"one");
    relay.set_connection_mode(LINK, ConnectionMode::Refuse);
    assert!(stream.read(&mut [0]).is_err(), "reset");
    let refused = TcpStream::connect(address).expect_err("refused");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    relay.set_connection_mode(LINK, ConnectionMode::Pass);
    let mut stream = connect(address);
    stream.write_all(b"two").expect("written");
    expect_bytes(&mut stream, b"two");
}

/// Two parties with a socket each, and the relay addresses by which they reach each other.
fn pair(seed: u64, faults: DatagramFaults) -> (Relay, Vec<UdpSocket>, Vec<Vec<SocketAddr>>) {
    let sockets: Vec<_> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").expect("bound")).collect();
    sockets.iter().for_each(|s| s.set_read_timeout(Some(Duration::from_millis(400))).expect("timeout set"));
    let peers: Vec<_> = sockets.iter().map(|s| s.local_addr().expect("bound")).collect();
    let mut builder = RelayBuilder::new().expect("event loop");
    let mesh = builder.add_datagram_mesh(&peers).expect("links added");
    let relay = builder.start(seed).expect("relays started");
    relay.set_datagram_faults(Link { from: Party::Scheduler(0), to: Party::Scheduler(1) }, faults);
    (relay, sockets, mesh)
}

/// Sends a hundred numbered datagrams and returns the numbers of those that arrive, sorted.
fn arrived(seed: u64) -> Vec<u8> {
    let (_relay, sockets, mesh) =
        pair(seed, DatagramFaults { loss_rate: 0.3, duplicate_rate: 0.2, delay_range: (0, 20_000) });
    for number in 0..100 {
        sockets[0].send_to(&[number], mesh[0][1]).expect("sent");
    }
    let (mut all, mut bytes) = (Vec::new(), [0; 8]);
    while let Ok((_, from)) = sockets[1].recv_from(&mut bytes) {
        assert_eq!(from, mesh[1][0], "from the address that the receiver has for the sender");
        all.push(bytes[0]);
    }
    all.sort_unstable();
    all
}

#[test]
fn same_seed_loses_and_duplicates_the_same_datagrams() {
    let (one, again, other) = (arrived(1), arrived(1), arrived(2));
    assert_eq!(one, again);
    assert_ne!(one, other);
    let mut single = one.clone();
    single.dedup();
    assert!((50..90).contains(&single.len()) && single.len() < one.len(), "{} {}", single.len(), one.len());
}

#[test]
fn one_way_cut_keeps_the_other_direction_and_invalid_datagrams_are_counted() {
    let (relay, sockets, mesh) = pair(1, DatagramFaults { loss_rate: 1.0, ..DatagramFaults::default() });
    sockets[0].send_to(b"lost", mesh[0][1]).expect("sent");
    sockets[1].send_to(&[7; 300], mesh[1][0]).expect("sent");
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("bound");
    stranger.send_to(b"who", mesh[1][0]).expect("sent");
    let mut bytes = [0; 512];
    assert_eq!(sockets[0].recv_from(&mut bytes).expect("received").0, 300);
    assert!(sockets[1].recv_from(&mut bytes).is_err());
    let counts = relay.counts();
    let back = counts[&Link { from: Party::Scheduler(1), to: Party::Scheduler(0) }];
    assert_eq!((back.datagrams, back.delivered, back.oversized, back.wrong_source), ((1, 300), 1, 1, 1));
    assert_eq!(counts[&Link { from: Party::Scheduler(0), to: Party::Scheduler(1) }].delivered, 0);
}

/// Sets the shaping of the link: from the connecting side, and back.
fn set_shaping(relay: &Relay, there: Shaping, back: Shaping) {
    relay.set_shaping(LINK, [there, back]);
}

#[test]
fn delayed_bytes_arrive_in_order_and_before_the_close_that_follows_them() {
    let (relay, address) = relayed_echo_server();
    let delayed = Shaping { delay_range: (40_000, 160_000), ..Shaping::default() };
    set_shaping(&relay, delayed, delayed);
    let mut stream = connect(address);
    let began = std::time::Instant::now();
    let chunks: Vec<[u8; 2]> = (0..40).map(|n| [n, 255 - n]).collect();
    for chunk in &chunks {
        stream.write_all(chunk).expect("written");
        std::thread::sleep(Duration::from_millis(2));
    }
    expect_bytes(&mut stream, &chunks.concat());
    assert!(began.elapsed() >= Duration::from_millis(80), "{:?}", began.elapsed());
    // Bytes written just before the close must still be delivered.
    let before = relay.counts()[&LINK].bytes.0;
    stream.write_all(b"last").expect("written");
    drop(stream);
    let until = std::time::Instant::now() + Duration::from_secs(10);
    while relay.counts()[&LINK].bytes.0 < before + 4 {
        assert!(std::time::Instant::now() < until, "the last bytes are lost");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn rate_limited_link_forwards_at_its_rate_and_loses_nothing() {
    let (relay, address) = relayed_echo_server();
    let slow = Shaping { bytes_per_s: Some(20_000), ..Shaping::default() };
    set_shaping(&relay, slow, Shaping::default());
    let mut stream = connect(address);
    let bytes: Vec<u8> = (0..6_000).map(|n| (n % 251) as u8).collect();
    let began = std::time::Instant::now();
    stream.write_all(&bytes).expect("written");
    expect_bytes(&mut stream, &bytes);
    let elapsed = began.elapsed();
    assert!(elapsed >= Duration::from_millis(280), "{elapsed:?}");
}

#[test]
fn one_way_blackhole_still_forwards_the_other_direction() {
    let (relay, address) = relayed_echo_server();
    let mut stream = connect(address);
    let blackhole = Shaping { blackhole: true, ..Shaping::default() };
    set_shaping(&relay, Shaping::default(), blackhole);
    stream.write_all(b"one").expect("written");
    stream.set_read_timeout(Some(Duration::from_millis(200))).expect("timeout set");
    assert!(stream.read(&mut [0]).is_err(), "no answer is forwarded");
    assert_eq!(relay.counts()[&LINK].bytes, (3, 0));
    set_shaping(&relay, Shaping::default(), Shaping::default());
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("timeout set");
    expect_bytes(&mut stream, b"one");
}

#[test]
fn corrupt_byte_changes_one_byte_once() {
    let (relay, address) = relayed_echo_server();
    let mut stream = connect(address);
    relay.corrupt_byte(LINK);
    for (sent, received) in [(b"abc", b"a7c"), (b"abc", b"abc")] {
        stream.write_all(sent).expect("written");
        expect_bytes(&mut stream, received);
    }
    assert_eq!(relay.counts()[&LINK].corrupted, 1);
}
