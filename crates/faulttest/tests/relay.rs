//! The relays by themselves, between plain sockets.
use basaltward_faulttest::{ConnectionMode, DatagramFaults, Link, Party, Relay, RelayBuilder, Shaping};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::Duration;

const WAY: Link = Link { from: Party::Scheduler(0), to: Party::Worker(0) };

/// An echo on every connection, until the listener's last connection ends.
fn echo() -> SocketAddr {
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

fn relayed() -> (Relay, SocketAddr) {
    let mut laying = RelayBuilder::new().expect("a loop");
    let address = laying.route(WAY, echo(), None).expect("a way");
    (laying.start(1).expect("relays"), address)
}

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("connected");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("set");
    stream
}

fn says(stream: &mut TcpStream, text: &[u8]) {
    let mut back = vec![0; text.len()];
    stream.read_exact(&mut back).expect("read");
    assert_eq!(back, text);
}

#[test]
fn a_stalled_way_is_open_and_silent_and_goes_on_where_it_stood() {
    let (relay, address) = relayed();
    let mut before = connect(address);
    before.write_all(b"one").expect("written");
    says(&mut before, b"one");
    relay.set_connection_mode(WAY, ConnectionMode::Stall);
    let mut during = connect(address);
    before.write_all(b"two").expect("written");
    during.write_all(b"three").expect("written");
    let mut byte = [0];
    before.set_read_timeout(Some(Duration::from_millis(200))).expect("set");
    let silent = before.read(&mut byte).expect_err("nothing comes");
    assert!(matches!(silent.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut), "{silent}");
    assert_eq!(relay.counts()[&WAY].bytes, (3, 3), "nothing crosses");
    before.set_read_timeout(Some(Duration::from_secs(10))).expect("set");
    relay.set_connection_mode(WAY, ConnectionMode::Pass);
    says(&mut before, b"two");
    says(&mut during, b"three");
}

#[test]
fn an_end_during_a_stall_is_heard_after_it() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let mut laying = RelayBuilder::new().expect("a loop");
    let address = laying.route(WAY, listener.local_addr().expect("bound"), None).expect("a way");
    let relay = laying.start(1).expect("relays");
    let mut stream = connect(address);
    let (far, _) = listener.accept().expect("accepted");
    relay.set_connection_mode(WAY, ConnectionMode::Stall);
    drop(far);
    stream.set_read_timeout(Some(Duration::from_millis(200))).expect("set");
    assert!(stream.read(&mut [0]).is_err(), "not heard yet");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("set");
    relay.set_connection_mode(WAY, ConnectionMode::Pass);
    assert_eq!(stream.read(&mut [0]).expect("the end"), 0);
}

#[test]
fn a_refused_way_breaks_what_stands_and_refuses_what_comes() {
    let (relay, address) = relayed();
    let mut stream = connect(address);
    stream.write_all(b"one").expect("written");
    says(&mut stream, b"one");
    relay.set_connection_mode(WAY, ConnectionMode::Refuse);
    assert!(stream.read(&mut [0]).is_err(), "reset");
    let refused = TcpStream::connect(address).expect_err("refused");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    relay.set_connection_mode(WAY, ConnectionMode::Pass);
    let mut stream = connect(address);
    stream.write_all(b"two").expect("written");
    says(&mut stream, b"two");
}

/// Two parties, each at its socket, with where it reaches the other.
fn pair(seed: u64, loss: DatagramFaults) -> (Relay, Vec<UdpSocket>, Vec<Vec<SocketAddr>>) {
    let sockets: Vec<_> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").expect("bound")).collect();
    sockets.iter().for_each(|s| s.set_read_timeout(Some(Duration::from_millis(400))).expect("set"));
    let peers: Vec<_> = sockets.iter().map(|s| s.local_addr().expect("bound")).collect();
    let mut laying = RelayBuilder::new().expect("a loop");
    let mesh = laying.mesh(&peers).expect("a mesh");
    let relay = laying.start(seed).expect("relays");
    relay.set_datagram_faults(Link { from: Party::Scheduler(0), to: Party::Scheduler(1) }, loss);
    (relay, sockets, mesh)
}

/// What arrives of a hundred datagrams, numbered, in order of their numbers.
fn arrived(seed: u64) -> Vec<u8> {
    let (_relay, sockets, mesh) =
        pair(seed, DatagramFaults { loss_rate: 0.3, duplicate_rate: 0.2, delay_range: (0, 20_000) });
    for number in 0..100 {
        sockets[0].send_to(&[number], mesh[0][1]).expect("sent");
    }
    let (mut all, mut bytes) = (Vec::new(), [0; 8]);
    while let Ok((_, from)) = sockets[1].recv_from(&mut bytes) {
        assert_eq!(from, mesh[1][0], "from where it knows its sender");
        all.push(bytes[0]);
    }
    all.sort_unstable();
    all
}

#[test]
fn the_same_seed_loses_and_doubles_the_same_datagrams() {
    let (one, again, other) = (arrived(1), arrived(1), arrived(2));
    assert_eq!(one, again);
    assert_ne!(one, other);
    let mut single = one.clone();
    single.dedup();
    assert!((50..90).contains(&single.len()) && single.len() < one.len(), "{} {}", single.len(), one.len());
}

#[test]
fn a_cut_in_one_direction_leaves_the_other_and_what_is_not_allowed_is_counted() {
    let (relay, sockets, mesh) = pair(1, DatagramFaults { loss_rate: 1.0, ..DatagramFaults::default() });
    sockets[0].send_to(b"lost", mesh[0][1]).expect("sent");
    sockets[1].send_to(&[7; 300], mesh[1][0]).expect("sent");
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("bound");
    stranger.send_to(b"who", mesh[1][0]).expect("sent");
    let mut bytes = [0; 512];
    assert_eq!(sockets[0].recv_from(&mut bytes).expect("it came").0, 300);
    assert!(sockets[1].recv_from(&mut bytes).is_err());
    let counts = relay.counts();
    let back = counts[&Link { from: Party::Scheduler(1), to: Party::Scheduler(0) }];
    assert_eq!((back.datagrams, back.delivered, back.oversized, back.wrong_source), ((1, 300), 1, 1, 1));
    assert_eq!(counts[&Link { from: Party::Scheduler(0), to: Party::Scheduler(1) }].delivered, 0);
}

/// Puts courses on the one way, from who began and back.
fn shaping(relay: &Relay, forth: Shaping, back: Shaping) {
    relay.set_shaping(WAY, [forth, back]);
}

#[test]
fn late_bytes_come_in_order_and_before_the_end_behind_them() {
    let (relay, address) = relayed();
    let late = Shaping { delay_range: (40_000, 160_000), ..Shaping::default() };
    shaping(&relay, late, late);
    let mut stream = connect(address);
    let began = std::time::Instant::now();
    let pieces: Vec<[u8; 2]> = (0..40).map(|n| [n, 255 - n]).collect();
    for piece in &pieces {
        stream.write_all(piece).expect("written");
        std::thread::sleep(Duration::from_millis(2));
    }
    says(&mut stream, &pieces.concat());
    assert!(began.elapsed() >= Duration::from_millis(80), "{:?}", began.elapsed());
    // Who closes at once has still said what it said.
    let before = relay.counts()[&WAY].bytes.0;
    stream.write_all(b"last").expect("written");
    drop(stream);
    let until = std::time::Instant::now() + Duration::from_secs(10);
    while relay.counts()[&WAY].bytes.0 < before + 4 {
        assert!(std::time::Instant::now() < until, "the last bytes are lost");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_slow_way_carries_its_rate_and_loses_nothing() {
    let (relay, address) = relayed();
    let slow = Shaping { bytes_per_s: Some(20_000), ..Shaping::default() };
    shaping(&relay, slow, Shaping::default());
    let mut stream = connect(address);
    let bytes: Vec<u8> = (0..6_000).map(|n| (n % 251) as u8).collect();
    let began = std::time::Instant::now();
    stream.write_all(&bytes).expect("written");
    says(&mut stream, &bytes);
    let took = began.elapsed();
    assert!(took >= Duration::from_millis(280), "{took:?}");
}

#[test]
fn a_way_that_is_silent_in_one_direction_carries_the_other() {
    let (relay, address) = relayed();
    let mut stream = connect(address);
    let silent = Shaping { blackhole: true, ..Shaping::default() };
    shaping(&relay, Shaping::default(), silent);
    stream.write_all(b"one").expect("written");
    stream.set_read_timeout(Some(Duration::from_millis(200))).expect("set");
    assert!(stream.read(&mut [0]).is_err(), "no answer comes");
    assert_eq!(relay.counts()[&WAY].bytes, (3, 0));
    shaping(&relay, Shaping::default(), Shaping::default());
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("set");
    says(&mut stream, b"one");
}

#[test]
fn one_byte_is_changed_once() {
    let (relay, address) = relayed();
    let mut stream = connect(address);
    relay.corrupt_byte(WAY);
    for (said, comes) in [(b"abc", b"a7c"), (b"abc", b"abc")] {
        stream.write_all(said).expect("written");
        says(&mut stream, comes);
    }
    assert_eq!(relay.counts()[&WAY].corrupted, 1);
}
