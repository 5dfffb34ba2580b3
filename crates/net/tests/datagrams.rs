//! UDP sockets of a loop: diverted datagrams and closed sockets.
use basaltward_net::{DivertedDatagram, Io, IoLimits};
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

fn open_sockets() -> (Io, usize, SocketAddr, UdpSocket) {
    let mut io = Io::new(IoLimits::default()).expect("a loop");
    let (socket, at) = io.bind_datagrams(([127, 0, 0, 1], 0).into()).expect("a socket");
    let other = UdpSocket::bind("127.0.0.1:0").expect("bound");
    other.set_read_timeout(Some(Duration::from_secs(10))).expect("set");
    (io, socket, at, other)
}

/// Waits for a datagram and returns the result of `read`.
fn wait_and_read(io: &mut Io, read: impl Fn(&mut Io) -> Option<(usize, SocketAddr)>) -> (usize, SocketAddr) {
    let mut events = Vec::new();
    io.turn(Some(10_000_000), &mut events).expect("turned");
    assert!(!events.is_empty());
    read(io).expect("a datagram")
}

#[test]
fn diverted_datagrams_stay_with_the_owner_until_it_sends_or_injects_them() {
    let (mut io, socket, at, other) = open_sockets();
    let to = other.local_addr().expect("bound");
    io.divert_datagrams();
    assert!(io.send_to(socket, to, b"held"));
    assert!(io.send_by_system(socket, to, b"sent"));
    let mut bytes = [0; 16];
    let (length, from) = other.recv_from(&mut bytes).expect("received");
    assert_eq!((&bytes[..length], from), (&b"sent"[..], at), "the diverted datagram was not sent");
    assert_eq!(io.take_diverted(), [DivertedDatagram { socket, to, bytes: b"held".to_vec() }]);
    assert!(io.take_diverted().is_empty());

    other.send_to(b"system", at).expect("sent");
    let mut space = [0; 16];
    let (length, from) = wait_and_read(&mut io, |io| io.receive_from_system(socket, &mut [0; 16]));
    assert_eq!((length, from), (6, to));
    assert!(io.receive(socket, &mut space).is_none(), "nothing was injected");
    io.inject_datagram(socket, to, b"given".to_vec());
    assert!(io.receive(socket + 1, &mut space).is_none(), "injected for another socket");
    assert_eq!(io.receive(socket, &mut space), Some((5, to)));
    assert_eq!(&space[..5], b"given");
    assert!(io.receive(socket, &mut space).is_none());
}

#[test]
fn datagrams_use_the_kernel_if_not_diverted() {
    let (mut io, socket, at, other) = open_sockets();
    assert!(io.send_to(socket, other.local_addr().expect("bound"), b"out"));
    assert!(io.take_diverted().is_empty());
    let mut bytes = [0; 16];
    assert_eq!(other.recv_from(&mut bytes).expect("received"), (3, at));
    other.send_to(b"back", at).expect("sent");
    let (length, from) = wait_and_read(&mut io, |io| io.receive(socket, &mut [0; 16]));
    assert_eq!((length, from), (4, other.local_addr().expect("bound")));
}

#[test]
fn closing_a_socket_frees_only_its_own_address_and_number() {
    let (mut io, first, at, other) = open_sockets();
    let (second, second_at) = io.bind_datagrams(([127, 0, 0, 1], 0).into()).expect("a socket");
    assert!(UdpSocket::bind(at).is_err(), "the address is in use");
    io.close_datagrams(first);
    drop(UdpSocket::bind(at).expect("the address is free"));
    let to = other.local_addr().expect("bound");
    assert!(!io.send_to(first, to, b"gone"));
    assert!(io.receive(first, &mut [0; 4]).is_none());
    assert!(io.send_to(second, to, b"here"));
    assert_eq!(other.recv_from(&mut [0; 16]).expect("received"), (4, second_at));
    let (again, _) = io.bind_datagrams(at).expect("a socket");
    assert_eq!(again, first);
    assert!(io.send_to(again, to, b"again"));
    assert_eq!(other.recv_from(&mut [0; 16]).expect("received"), (5, at));
}
