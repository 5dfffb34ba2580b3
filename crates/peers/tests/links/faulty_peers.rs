//! Connections with truncated, corrupted or invalid data, and peers that misbehave.

use crate::network::TestNetwork;
use crate::relay::{Faults, Relay};
use basaltward_peers::{ConnectionError, ConnectionEvent, write_frame};
use bytes::BytesMut;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};

const S: u64 = 1_000_000;

/// An encoded handshake, built independently of the code under test so that a change of the format is noticed.
fn handshake(fleet: u32, from: u16, start_ms: u64, to: u16) -> BytesMut {
    let mut bytes = BytesMut::new();
    let body = postcard::to_extend(&(0u8, 1u8, fleet, from, start_ms, to), Vec::new()).expect("encoded");
    write_frame(0, &body, &mut bytes);
    bytes
}

fn fleet_hash() -> u32 {
    crc32fast::hash(b"test")
}

/// Connects to a peer without a relay and sends these bytes.
fn connect_raw(network: &TestNetwork, to: usize, bytes: &[u8]) -> TcpStream {
    let mut raw = TcpStream::connect(network.peers[to].endpoint.listen_address()).expect("connected");
    // The simulated time runs faster than the delay of Nagle's algorithm.
    raw.set_nodelay(true).expect("socket option set");
    raw.write_all(bytes).expect("written");
    raw.set_nonblocking(true).expect("socket option set");
    raw
}

/// Whether the other end has closed the connection.
fn is_closed(mut raw: &TcpStream) -> bool {
    loop {
        match raw.read(&mut [0; 4096]) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) => return error.kind() != ErrorKind::WouldBlock,
        }
    }
}

#[test]
fn a_connection_closed_at_any_byte_delivers_whole_frames_and_is_reopened() {
    let mut network = TestNetwork::new(2);
    // The handshake takes 9 bytes plus its payload, each frame 9 bytes plus 4.
    let mut sent = 0u32;
    for cut in 1..60 {
        network.relays[1].faults = Faults { close_after: Some(cut), ..Faults::default() };
        let before = network.peers[1].received_from(0).len();
        (0..4).for_each(|n| network.send(0, 1, &(sent + n).to_le_bytes()).expect("accepted"));
        network.advance_until(60 * S, "the end of the connection is reported", |network| {
            network.peers[0].event_count(&ConnectionEvent::Down(1)) == cut
        });
        let received = network.peers[1].received_from(0)[before..].to_vec();
        let whole = (0..4).map(|n| (sent + n).to_le_bytes().to_vec()).take(received.len());
        assert!(received.iter().cloned().eq(whole), "closed after {cut} bytes: {received:?}");
        sent += 4;
    }
    assert!(network.peers[1].received_from(0).len() > 20, "some frames are received");
    let counters = network.peers[1].endpoint.connections().counters(0);
    assert!(counters.disconnected > 20 && counters.protocol_errors == 0, "{counters:?}");
}

/// Corrupts one byte at each position. Returns the number of received frames that were never sent, and of connections
/// ended with a protocol error.
fn corrupt_each_byte(skip_checksums: bool) -> (usize, u64) {
    let mut network = TestNetwork::new(2);
    if skip_checksums {
        network.peers[1].endpoint.inject_skipped_checksums();
    }
    let mut wrong = 0;
    for at in 30..60 {
        network.relays[1].faults = Faults { corrupt_at: Some(at), ..Faults::default() };
        (0..4).for_each(|n: u8| network.send(0, 1, &[n; 4]).expect("accepted"));
        network.advance(6 * S);
        network.relays[1].close_all();
        network.advance(S);
        wrong += network.peers[1]
            .received_from(0)
            .iter()
            .filter(|frame| frame.len() != 4 || frame.iter().any(|byte| *byte != frame[0] || *byte > 3))
            .count();
        network.peers[1].events.clear();
    }
    (wrong, network.peers[1].endpoint.connections().counters(0).protocol_errors)
}

#[test]
fn a_corrupted_byte_is_detected() {
    let (wrong, protocol_errors) = corrupt_each_byte(false);
    assert!(wrong == 0 && protocol_errors >= 15, "{wrong} {protocol_errors}");
    let (wrong, _) = corrupt_each_byte(true);
    assert!(wrong > 0, "a decoder that skips checksums lets wrong frames through");
}

#[test]
fn connections_of_non_peers_are_closed_and_cause_no_events() {
    let mut network = TestNetwork::new(3);
    let mut other_format = handshake(fleet_hash(), 1, 5, 0);
    other_format[10] = 2;
    let body = other_format.split_off(9);
    other_format.clear();
    write_frame(0, &body, &mut other_format);
    let mut frame = BytesMut::new();
    write_frame(1, b"no handshake before this frame", &mut frame);
    let non_peers = [
        handshake(fleet_hash() + 1, 1, 5, 0).to_vec(),
        handshake(fleet_hash(), 0, 5, 0).to_vec(),
        handshake(fleet_hash(), 3, 5, 0).to_vec(),
        handshake(fleet_hash(), u16::MAX, 5, 0).to_vec(),
        handshake(fleet_hash(), 1, 5, 2).to_vec(),
        other_format.to_vec(),
        frame.to_vec(),
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        u32::MAX.to_le_bytes().to_vec(),
        vec![0; 64],
    ];
    for (number, bytes) in non_peers.iter().enumerate() {
        let raw = connect_raw(&network, 0, bytes);
        network.run_until("rejected", |network| {
            network.peers[0].endpoint.connections().rejected() == number as u64 + 1
        });
        network.run_until("closed", |_| is_closed(&raw));
    }
    assert!(
        network.peers[0]
            .events
            .iter()
            .all(|event| !matches!(event, basaltward_peers::EndpointEvent::Connection(_)))
    );
    // Connections without a handshake are dropped for newer ones, and all are closed after the handshake timeout. At
    // most 19 (3 peers plus 16) stay open.
    let silent: Vec<_> = (0..100).map(|_| connect_raw(&network, 0, b"\x10")).collect();
    network.run_until("older connections dropped", |network| {
        network.peers[0].endpoint.connections().rejected() == 10 + 100 - 19
    });
    network.send(1, 0, b"a peer").expect("accepted");
    network
        .run_until("the frame of a peer is received", |network| network.peers[0].received_from(1).len() == 1);
    assert!(network.peers[0].endpoint.connections().len() <= 20);
    network.advance(6 * S);
    assert!(silent.iter().all(is_closed) && network.peers[0].endpoint.connections().len() == 1);
}

#[test]
fn a_peer_at_a_wrong_address_gets_no_frames_meant_for_another() {
    let mut network = TestNetwork::new(3);
    let two = network.peers[2].endpoint.listen_address();
    network.relays[1] = Relay::new(two);
    let addresses: Vec<_> = network.relays.iter().map(Relay::address).collect();
    let (now, first_peer) = (network.now, &mut network.peers[0]);
    first_peer
        .endpoint
        .update_peers(&mut first_peer.io, now, (&first_peer.config.transport, addresses))
        .expect("valid lists");
    network.send(0, 1, b"for 1").expect("accepted");
    network.advance(10 * S);
    assert_eq!(
        (
            network.peers[2].received_from(0).len(),
            network.peers[0].endpoint.connections().connected_start_ms(1)
        ),
        (0, None)
    );
    assert!(network.peers[2].endpoint.connections().rejected() > 0);
    // A listener that accepts the connection and identifies itself as another peer.
    let impostor = TcpListener::bind("127.0.0.1:0").expect("bound");
    network.relays[1] = Relay::new(impostor.local_addr().expect("bound"));
    let addresses: Vec<_> = network.relays.iter().map(Relay::address).collect();
    let (now, first_peer) = (network.now, &mut network.peers[0]);
    first_peer
        .endpoint
        .update_peers(&mut first_peer.io, now, (&first_peer.config.transport, addresses))
        .expect("valid lists");
    while network.relays[1].accepted == 0 {
        network.send(0, 1, b"for 1").expect("accepted");
        network.advance(S);
    }
    let protocol_errors = network.peers[0].endpoint.connections().counters(1).protocol_errors;
    let (mut raw, _) = impostor.accept().expect("a connection");
    raw.write_all(&handshake(fleet_hash(), 2, 5, 0)).expect("written");
    network.run_until("rejected", |network| {
        network.peers[0].endpoint.connections().counters(1).protocol_errors == protocol_errors + 1
    });
    assert_eq!(
        [1, 2].map(|peer| network.peers[0].endpoint.connections().connected_start_ms(peer)),
        [None; 2]
    );
}

#[test]
fn replaced_connections_and_earlier_incarnations_deliver_no_frames() {
    let mut network = TestNetwork::new(2);
    let mut frame = BytesMut::new();
    write_frame(1, b"1", &mut frame);
    let mut first = connect_raw(&network, 0, &[&handshake(fleet_hash(), 1, 5, 0)[..], &frame].concat());
    network.run_until("first connection up", |network| network.peers[0].received_from(1).len() == 1);
    let second = connect_raw(&network, 0, &[&handshake(fleet_hash(), 1, 5, 0)[..], &frame, &frame].concat());
    network.run_until("second connection up", |network| network.peers[0].received_from(1).len() == 3);
    let _ = first.write_all(&frame);
    network.run_until("the first connection is closed", |_| is_closed(&first));
    let earlier = connect_raw(&network, 0, &[&handshake(fleet_hash(), 1, 4, 0)[..], &frame].concat());
    network.run_until("the connection of the earlier incarnation is closed", |_| is_closed(&earlier));
    network.advance(S);
    assert_eq!(
        (
            network.peers[0].received_from(1).len(),
            network.peers[0].endpoint.connections().connected_start_ms(1)
        ),
        (3, Some(5))
    );
    drop(second);
    network.run_until("the second connection is down", |network| {
        network.peers[0].endpoint.connections().connected_start_ms(1).is_none()
    });
    let earlier = connect_raw(&network, 0, &handshake(fleet_hash(), 1, 4, 0));
    network.run_until("an earlier incarnation is accepted once the later one is disconnected", |network| {
        network.peers[0].endpoint.connections().connected_start_ms(1) == Some(4)
    });
    drop(earlier);
}

/// Sends to peer 1 until a frame is rejected, letting the system buffer what it can.
fn fill(network: &mut TestNetwork, payload: &[u8]) {
    for accepted in 0.. {
        assert!(accepted < 10_000, "not bounded");
        if network.send(0, 1, payload).is_err() {
            return;
        }
        network.advance(50_000 * u64::from(accepted % 32 == 31));
    }
}

#[test]
fn a_peer_that_never_reads_is_bounded_in_memory_and_disconnected() {
    let mut network = TestNetwork::new(2);
    let mut ping = BytesMut::new();
    write_frame(0, &[1, 7], &mut ping);
    let mut first = connect_raw(&network, 0, &handshake(fleet_hash(), 1, 5, 0));
    network
        .run_until("up", |network| network.peers[0].endpoint.connections().connected_start_ms(1).is_some());
    let payload = [7; 4 << 10];
    fill(&mut network, &payload);
    assert_eq!(network.send(0, 1, &payload), Err(ConnectionError::QueueFull));
    assert_eq!(
        network.send(0, 1, &[0; (4 << 10) + 1]),
        Err(ConnectionError::Length { length: 4097, max: 4096 })
    );
    let first_peer = &mut network.peers[0];
    let unsent = first_peer.endpoint.connections().unsent_bytes(&mut first_peer.io, 1);
    assert!(unsent <= 256 << 10, "{unsent}");
    assert_eq!(network.peers[0].endpoint.connections().counters(1).rejected, 2);
    // The peer continues to send pings but reads no answers, so the pong timeout ends the connection.
    let mut pings = 0;
    while network.peers[0].endpoint.connections().connected_start_ms(1).is_some() {
        let _ = first.write(&ping);
        network.advance(500_000);
        pings += 1;
        assert!(pings < 100, "never disconnected");
    }
    assert_eq!(network.peers[0].endpoint.connections().counters(1).stalled, 1);
    // A flood of pings ends the connection before any timeout, so that the pongs do not fill the memory.
    let mut second = connect_raw(&network, 0, &handshake(fleet_hash(), 1, 5, 0));
    network
        .run_until("up", |network| network.peers[0].endpoint.connections().connected_start_ms(1).is_some());
    fill(&mut network, &payload);
    let start = network.now;
    while network.peers[0].endpoint.connections().connected_start_ms(1).is_some() {
        let _ = second.write(&ping.repeat(500));
        network.advance(50_000);
        assert!(network.now < start + 3 * S, "not bounded");
    }
    assert!(network.send(0, 0, b"to itself").is_err() && network.send(0, 2, b"to an unknown peer").is_err());
}
