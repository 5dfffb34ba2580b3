//! How connections end and make room, over loopback sockets.
use basaltward_net::{ConnId, EndReason, Io, IoEvent, IoLimits, bind};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);

fn listening(limits: IoLimits) -> (Io, SocketAddr) {
    let mut io = Io::new(limits).expect("a loop");
    let (_, at) = io.listen(bind(([127, 0, 0, 1], 0).into(), false).expect("a port")).expect("it listens");
    (io, at)
}

/// Turns until something happens of which this gives something.
fn until<T>(io: &mut Io, mut found: impl FnMut(&IoEvent) -> Option<T>) -> T {
    let (began, mut happened) = (Instant::now(), Vec::new());
    loop {
        io.turn(Some(100_000), &mut happened).expect("a turn");
        if let Some(found) = happened.drain(..).find_map(|h| found(&h)) {
            return found;
        }
        assert!(began.elapsed() < PATIENCE, "never happened");
    }
}

fn accepted(io: &mut Io) -> ConnId {
    until(io, |h| match h {
        IoEvent::Accepted { conn, .. } => Some(*conn),
        _ => None,
    })
}

fn reset(client: TcpStream) {
    rustix::net::sockopt::set_socket_linger(&client, Some(Duration::ZERO)).expect("it stands");
}

#[test]
fn who_ends_is_gone_also_while_it_is_not_read_and_is_told_once() {
    for (broken, unread) in [(false, true), (true, true), (false, false), (true, false)] {
        let (mut io, at) = listening(IoLimits { end_on_peer_close: true, ..IoLimits::default() });
        let mut client = TcpStream::connect(at).expect("connected");
        let conn = accepted(&mut io);
        if unread {
            io.pause(conn, true);
        }
        // Less than the system takes for a reader that waits: an end behind more than that is not told by it.
        client.write_all(&[b'x'; 50_000]).expect("sent");
        let kept = match broken {
            true => {
                reset(client);
                None
            }
            false => {
                client.shutdown(Shutdown::Write).expect("it stands");
                Some(client)
            }
        };
        let how = until(&mut io, |h| match h {
            IoEvent::Ended(ended, how) if *ended == conn => Some(*how),
            _ => None,
        });
        assert_eq!(how, if broken { EndReason::Reset } else { EndReason::Closed });
        io.free_ended();
        // Nothing more of it: the next turn lasts as long as it may.
        let (began, mut happened) = (Instant::now(), Vec::new());
        io.turn(Some(50_000), &mut happened).expect("a turn");
        assert!(happened.is_empty() && began.elapsed() >= Duration::from_millis(50), "{happened:?}");
        drop(kept);
    }
}

#[test]
fn without_it_what_was_sent_in_front_of_an_end_is_read_first() {
    let (mut io, at) = listening(IoLimits::default());
    let mut client = TcpStream::connect(at).expect("connected");
    let conn = accepted(&mut io);
    client.write_all(b"first").expect("sent");
    client.shutdown(Shutdown::Write).expect("it stands");
    let mut input = Vec::new();
    until(&mut io, |h| matches!(h, IoEvent::Data(c) if *c == conn).then_some(()));
    input.extend_from_slice(io.input(conn).expect("it stands"));
    assert_eq!(input, b"first");
    until(&mut io, |h| matches!(h, IoEvent::Ended(c, EndReason::Closed) if *c == conn).then_some(()));
}

#[test]
fn one_closed_here_gets_its_last_bytes_though_it_sends_on() {
    let (mut io, at) = listening(IoLimits { end_on_peer_close: true, ..IoLimits::default() });
    let mut client = TcpStream::connect(at).expect("connected");
    client.set_read_timeout(Some(PATIENCE)).expect("it stands");
    let conn = accepted(&mut io);
    // More than the sockets take at once, so that what it sends comes while they are written.
    let bytes = 8 << 20;
    io.output(conn).expect("it stands").resize(bytes, b'y');
    io.close(conn);
    let mut happened = Vec::new();
    io.turn(Some(0), &mut happened).expect("a turn");
    client.write_all(&[b'x'; 100_000]).expect("sent");
    let reader = std::thread::spawn(move || {
        let (mut read, mut some) = (0, [0; 65_536]);
        loop {
            match client.read(&mut some) {
                Ok(0) => return Ok(read),
                Ok(more) => read += more,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err((read, error)),
            }
        }
    });
    let began = Instant::now();
    while !reader.is_finished() {
        io.turn(Some(10_000), &mut happened).expect("a turn");
        assert!(began.elapsed() < PATIENCE, "never read");
    }
    assert_eq!(reader.join().expect("it read").expect("no reset"), bytes);
}

/// What a peer that has read nothing so far finds on a connection, up to its end.
fn rest(mut peer: TcpStream) -> Vec<u8> {
    peer.set_read_timeout(Some(PATIENCE)).expect("it stands");
    let mut bytes = Vec::new();
    peer.read_to_end(&mut bytes).expect("an orderly end");
    bytes
}

#[test]
fn connections_that_are_left_hold_no_descriptor_though_their_peer_reads_nothing() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = silent.local_addr().expect("an address");
    let mut io = Io::new(IoLimits::default()).expect("a loop");
    for round in 0..3 {
        let conns: Vec<_> = (0..4).map(|_| io.connect(at).expect("room")).collect();
        let mut up = 0;
        until(&mut io, |h| {
            up += usize::from(matches!(h, IoEvent::Connected(_)));
            (up == 4).then_some(())
        });
        let peers: Vec<_> = (0..4).map(|_| silent.accept().expect("one that came").0).collect();
        for conn in conns {
            io.output(conn).expect("it stands").extend_from_slice(b"last words");
            io.write_and_abort(conn);
        }
        // From now on, not once the peer has read: those of the next round are beside none of this one.
        assert!(io.is_empty(), "{round}: {} linger", io.len());
        peers.into_iter().for_each(|peer| assert_eq!(rest(peer), b"last words", "{round}"));
    }
}

#[test]
fn accepted_connections_that_were_closed_count_until_they_end_and_make_room_then() {
    let (mut io, at) = listening(IoLimits { connections: 4, linger: 100_000, ..IoLimits::default() });
    let mut kept = Vec::new();
    for round in 0..3 {
        let clients: Vec<_> = (0..4).map(|_| TcpStream::connect(at).expect("connected")).collect();
        // Those of the round before linger, as their clients do not end: these wait for them.
        let (began, mut happened, mut conns) = (Instant::now(), Vec::new(), Vec::new());
        while conns.len() < clients.len() {
            io.turn(Some(100_000), &mut happened).expect("a turn");
            assert!(io.len() <= 4, "{round}: {} stand", io.len());
            conns.extend(happened.drain(..).filter_map(|h| match h {
                IoEvent::Accepted { conn, .. } => Some(conn),
                _ => None,
            }));
            io.free_ended();
            assert!(began.elapsed() < PATIENCE, "{round}: never accepted");
        }
        conns.into_iter().for_each(|conn| io.close(conn));
        assert_eq!(io.len(), 4, "{round}: an orderly end waits for the peer");
        kept.push(clients);
    }
}
