use crate::network::TestNetwork;
use crate::relay::{Faults, Relay};
use basaltward_peers::{ConnectionError, ConnectionEvent, write_frame};
use bytes::BytesMut;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};

const S: u64 = 1_000_000;

/// A handshake as it stands on the wire, written here anew: a change of the format shows.
fn handshake(fleet: u32, from: u16, life: u64, to: u16) -> BytesMut {
    let mut bytes = BytesMut::new();
    let body = postcard::to_extend(&(0u8, 1u8, fleet, from, life, to), Vec::new()).expect("bytes");
    write_frame(0, &body, &mut bytes);
    bytes
}

fn fleet() -> u32 {
    crc32fast::hash(b"test")
}

fn raw(network: &TestNetwork, to: usize, bytes: &[u8]) -> TcpStream {
    let mut raw = TcpStream::connect(network.peers[to].endpoint.listen_address()).expect("it listens");
    // The test's time goes faster than what the system would wait for.
    raw.set_nodelay(true).expect("it can be");
    raw.write_all(bytes).expect("written");
    raw.set_nonblocking(true).expect("it can be");
    raw
}

/// Whether the other end has ended the connection.
fn over(mut raw: &TcpStream) -> bool {
    loop {
        match raw.read(&mut [0; 4096]) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) => return error.kind() != ErrorKind::WouldBlock,
        }
    }
}

#[test]
fn a_connection_cut_anywhere_gives_whole_frames_and_goes_on_with_the_next() {
    let mut network = TestNetwork::new(2);
    // The handshake takes 9 bytes and its payload; each frame 9 and 4.
    let mut sent = 0u32;
    for cut in 1..60 {
        network.relays[1].faults = Faults { close_after: Some(cut), ..Faults::default() };
        let before = network.peers[1].received_from(0).len();
        (0..4).for_each(|n| network.send(0, 1, &(sent + n).to_le_bytes()).expect("taken"));
        network.advance_until(60 * S, "told", |network| {
            network.peers[0].event_count(&ConnectionEvent::Down(1)) == cut
        });
        let came = network.peers[1].received_from(0)[before..].to_vec();
        let whole = (0..4).map(|n| (sent + n).to_le_bytes().to_vec()).take(came.len());
        assert!(came.iter().cloned().eq(whole), "cut at {cut}: {came:?}");
        sent += 4;
    }
    assert!(network.peers[1].received_from(0).len() > 20, "some came through");
    let counts = network.peers[1].endpoint.connections().counters(0);
    assert!(counts.disconnected > 20 && counts.protocol_errors == 0, "{counts:?}");
}

/// Frames that came though they were never sent, with a byte changed at each place; and ends over it.
fn changed(unchecked: bool) -> (usize, u64) {
    let mut network = TestNetwork::new(2);
    if unchecked {
        network.peers[1].endpoint.inject_skipped_checksums();
    }
    let mut wrong = 0;
    for at in 30..60 {
        network.relays[1].faults = Faults { corrupt_at: Some(at), ..Faults::default() };
        (0..4).for_each(|n: u8| network.send(0, 1, &[n; 4]).expect("taken"));
        network.advance(6 * S);
        network.relays[1].close_all();
        network.advance(S);
        wrong += network.peers[1]
            .received_from(0)
            .iter()
            .filter(|f| f.len() != 4 || f.iter().any(|b| *b != f[0] || *b > 3))
            .count();
        network.peers[1].events.clear();
    }
    (wrong, network.peers[1].endpoint.connections().counters(0).protocol_errors)
}

#[test]
fn a_byte_changed_on_the_way_is_found() {
    let (wrong, spoilt) = changed(false);
    assert!(wrong == 0 && spoilt >= 15, "{wrong} {spoilt}");
    let (wrong, _) = changed(true);
    assert!(wrong > 0, "a decoder that looks at no checksum is found");
}

#[test]
fn whoever_is_no_peer_of_ours_is_ended_and_hears_nothing() {
    let mut network = TestNetwork::new(3);
    let mut other = handshake(fleet(), 1, 5, 0);
    other[10] = 2;
    let body = other.split_off(9);
    other.clear();
    write_frame(0, &body, &mut other);
    let mut frame = BytesMut::new();
    write_frame(1, b"no handshake before", &mut frame);
    let strangers = [
        handshake(fleet() + 1, 1, 5, 0).to_vec(),
        handshake(fleet(), 0, 5, 0).to_vec(),
        handshake(fleet(), 3, 5, 0).to_vec(),
        handshake(fleet(), u16::MAX, 5, 0).to_vec(),
        handshake(fleet(), 1, 5, 2).to_vec(),
        other.to_vec(),
        frame.to_vec(),
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        u32::MAX.to_le_bytes().to_vec(),
        vec![0; 64],
    ];
    for (number, bytes) in strangers.iter().enumerate() {
        let raw = raw(&network, 0, bytes);
        network.run_until("refused", |network| {
            network.peers[0].endpoint.connections().rejected() == number as u64 + 1
        });
        network.run_until("ended", |_| over(&raw));
    }
    assert!(
        network.peers[0].events.iter().all(|e| !matches!(e, basaltward_peers::EndpointEvent::Connection(_)))
    );
    // Those that say nothing give way to peers, and go after a while.
    let silent: Vec<_> = (0..100).map(|_| raw(&network, 0, b"\x10")).collect();
    network.run_until("taken", |network| network.peers[0].endpoint.connections().rejected() == 10 + 100 - 19);
    network.send(1, 0, b"a peer").expect("taken");
    network.run_until("it comes through", |network| network.peers[0].received_from(1).len() == 1);
    assert!(network.peers[0].endpoint.connections().len() <= 20);
    network.advance(6 * S);
    assert!(silent.iter().all(over) && network.peers[0].endpoint.connections().len() == 1);
}

#[test]
fn a_peer_at_a_wrong_address_gets_nothing_that_is_for_another() {
    let mut network = TestNetwork::new(3);
    let two = network.peers[2].endpoint.listen_address();
    network.relays[1] = Relay::new(two);
    let links: Vec<_> = network.relays.iter().map(Relay::address).collect();
    let (now, zero) = (network.now, &mut network.peers[0]);
    zero.endpoint.update_peers(&mut zero.io, now, (&zero.config.transport, links)).expect("good");
    network.send(0, 1, b"for 1").expect("taken");
    network.advance(10 * S);
    assert_eq!(
        (
            network.peers[2].received_from(0).len(),
            network.peers[0].endpoint.connections().connected_start_ms(1)
        ),
        (0, None)
    );
    assert!(network.peers[2].endpoint.connections().rejected() > 0);
    // One that takes whoever comes, and says who it is.
    let liar = TcpListener::bind("127.0.0.1:0").expect("an address");
    network.relays[1] = Relay::new(liar.local_addr().expect("it is bound"));
    let links: Vec<_> = network.relays.iter().map(Relay::address).collect();
    let (now, zero) = (network.now, &mut network.peers[0]);
    zero.endpoint.update_peers(&mut zero.io, now, (&zero.config.transport, links)).expect("good");
    while network.relays[1].accepted == 0 {
        network.send(0, 1, b"for 1").expect("taken");
        network.advance(S);
    }
    let spoilt = network.peers[0].endpoint.connections().counters(1).protocol_errors;
    let (mut raw, _) = liar.accept().expect("it came");
    raw.write_all(&handshake(fleet(), 2, 5, 0)).expect("written");
    network.run_until("refused", |network| {
        network.peers[0].endpoint.connections().counters(1).protocol_errors == spoilt + 1
    });
    assert_eq!([1, 2].map(|of| network.peers[0].endpoint.connections().connected_start_ms(of)), [None; 2]);
}

#[test]
fn what_was_replaced_is_heard_no_more_and_an_earlier_life_not_at_all() {
    let mut network = TestNetwork::new(2);
    let mut frame = BytesMut::new();
    write_frame(1, b"1", &mut frame);
    let mut first = raw(&network, 0, &[&handshake(fleet(), 1, 5, 0)[..], &frame].concat());
    network.run_until("first", |network| network.peers[0].received_from(1).len() == 1);
    let second = raw(&network, 0, &[&handshake(fleet(), 1, 5, 0)[..], &frame, &frame].concat());
    network.run_until("second", |network| network.peers[0].received_from(1).len() == 3);
    let _ = first.write_all(&frame);
    network.run_until("the first is over", |_| over(&first));
    let earlier = raw(&network, 0, &[&handshake(fleet(), 1, 4, 0)[..], &frame].concat());
    network.run_until("the earlier life is over", |_| over(&earlier));
    network.advance(S);
    assert_eq!(
        (
            network.peers[0].received_from(1).len(),
            network.peers[0].endpoint.connections().connected_start_ms(1)
        ),
        (3, Some(5))
    );
    drop(second);
    network
        .run_until("over", |network| network.peers[0].endpoint.connections().connected_start_ms(1).is_none());
    let earlier = raw(&network, 0, &handshake(fleet(), 1, 4, 0));
    network.run_until("once the later one is gone it may come", |network| {
        network.peers[0].endpoint.connections().connected_start_ms(1) == Some(4)
    });
    drop(earlier);
}

/// Sends to 1 until no more is taken, with what the system takes.
fn fill(network: &mut TestNetwork, payload: &[u8]) {
    for taken in 0.. {
        assert!(taken < 10_000, "no bound");
        if network.send(0, 1, payload).is_err() {
            return;
        }
        network.advance(50_000 * u64::from(taken % 32 == 31));
    }
}

#[test]
fn one_that_never_reads_fills_a_bound_and_is_ended() {
    let mut network = TestNetwork::new(2);
    let mut ping = BytesMut::new();
    write_frame(0, &[1, 7], &mut ping);
    let mut first = raw(&network, 0, &handshake(fleet(), 1, 5, 0));
    network
        .run_until("up", |network| network.peers[0].endpoint.connections().connected_start_ms(1).is_some());
    let payload = [7; 4 << 10];
    fill(&mut network, &payload);
    assert_eq!(network.send(0, 1, &payload), Err(ConnectionError::QueueFull));
    assert_eq!(
        network.send(0, 1, &[0; (4 << 10) + 1]),
        Err(ConnectionError::Length { length: 4097, max: 4096 })
    );
    let zero = &mut network.peers[0];
    let unsent = zero.endpoint.connections().unsent_bytes(&mut zero.io, 1);
    assert!(unsent <= 256 << 10, "{unsent}");
    assert_eq!(network.peers[0].endpoint.connections().counters(1).rejected, 2);
    // It goes on asking, and reads no answers: it is alive, but of no use.
    let mut asks = 0;
    while network.peers[0].endpoint.connections().connected_start_ms(1).is_some() {
        let _ = first.write(&ping);
        network.advance(500_000);
        asks += 1;
        assert!(asks < 100, "never ended");
    }
    assert_eq!(network.peers[0].endpoint.connections().counters(1).stalled, 1);
    // Nor do its questions make memory for it, before any time is over.
    let mut second = raw(&network, 0, &handshake(fleet(), 1, 5, 0));
    network
        .run_until("up", |network| network.peers[0].endpoint.connections().connected_start_ms(1).is_some());
    fill(&mut network, &payload);
    let began = network.now;
    while network.peers[0].endpoint.connections().connected_start_ms(1).is_some() {
        let _ = second.write(&ping.repeat(500));
        network.advance(50_000);
        assert!(network.now < began + 3 * S, "no bound");
    }
    assert!(network.send(0, 0, b"to us").is_err() && network.send(0, 2, b"to nobody").is_err());
}
