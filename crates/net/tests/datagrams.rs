//! Datagrams of a loop: diverted to its owner, and sockets that close.
use basaltward_net::{DivertedDatagram, Io, IoLimits};
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

fn opened() -> (Io, usize, SocketAddr, UdpSocket) {
    let mut io = Io::new(IoLimits::default()).expect("a loop");
    let (socket, at) = io.bind_datagrams(([127, 0, 0, 1], 0).into()).expect("a socket");
    let other = UdpSocket::bind("127.0.0.1:0").expect("bound");
    other.set_read_timeout(Some(Duration::from_secs(10))).expect("set");
    (io, socket, at, other)
}

/// What the loop's socket has, once it is there.
fn waited(io: &mut Io, read: impl Fn(&mut Io) -> Option<(usize, SocketAddr)>) -> (usize, SocketAddr) {
    let mut happened = Vec::new();
    io.turn(Some(10_000_000), &mut happened).expect("a turn");
    assert!(!happened.is_empty());
    read(io).expect("a datagram")
}

#[test]
fn diverted_datagrams_are_the_owners_until_it_sends_and_gives_them() {
    let (mut io, socket, at, other) = opened();
    let to = other.local_addr().expect("bound");
    io.divert_datagrams();
    assert!(io.send_to(socket, to, b"held"));
    assert!(io.send_by_system(socket, to, b"sent"));
    let mut bytes = [0; 16];
    let (length, from) = other.recv_from(&mut bytes).expect("it comes");
    assert_eq!((&bytes[..length], from), (&b"sent"[..], at), "what was held has not gone before it");
    assert_eq!(io.take_diverted(), [DivertedDatagram { socket, to, bytes: b"held".to_vec() }]);
    assert!(io.take_diverted().is_empty());

    other.send_to(b"system", at).expect("sent");
    let mut space = [0; 16];
    let (length, from) = waited(&mut io, |io| io.receive_from_system(socket, &mut [0; 16]));
    assert_eq!((length, from), (6, to));
    assert!(io.receive(socket, &mut space).is_none(), "nothing was given");
    io.inject_datagram(socket, to, b"given".to_vec());
    assert!(io.receive(socket + 1, &mut space).is_none(), "given to another socket");
    assert_eq!(io.receive(socket, &mut space), Some((5, to)));
    assert_eq!(&space[..5], b"given");
    assert!(io.receive(socket, &mut space).is_none());
}

#[test]
fn what_is_not_diverted_goes_by_the_system() {
    let (mut io, socket, at, other) = opened();
    assert!(io.send_to(socket, other.local_addr().expect("bound"), b"out"));
    assert!(io.take_diverted().is_empty());
    let mut bytes = [0; 16];
    assert_eq!(other.recv_from(&mut bytes).expect("it comes"), (3, at));
    other.send_to(b"back", at).expect("sent");
    let (length, from) = waited(&mut io, |io| io.receive(socket, &mut [0; 16]));
    assert_eq!((length, from), (4, other.local_addr().expect("bound")));
}

#[test]
fn a_closed_socket_frees_its_address_and_its_number_and_no_other() {
    let (mut io, first, at, other) = opened();
    let (second, second_at) = io.bind_datagrams(([127, 0, 0, 1], 0).into()).expect("a socket");
    assert!(UdpSocket::bind(at).is_err(), "it is taken");
    io.close_datagrams(first);
    drop(UdpSocket::bind(at).expect("it is free"));
    let to = other.local_addr().expect("bound");
    assert!(!io.send_to(first, to, b"gone"));
    assert!(io.receive(first, &mut [0; 4]).is_none());
    assert!(io.send_to(second, to, b"here"));
    assert_eq!(other.recv_from(&mut [0; 16]).expect("it comes"), (4, second_at));
    let (again, _) = io.bind_datagrams(at).expect("a socket");
    assert_eq!(again, first);
    assert!(io.send_to(again, to, b"again"));
    assert_eq!(other.recv_from(&mut [0; 16]).expect("it comes"), (5, at));
}
