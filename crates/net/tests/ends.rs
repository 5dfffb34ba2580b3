//! Ends of connections and the connection limit, over loopback sockets.
use basaltward_net::{ConnId, EndReason, Io, IoEvent, IoLimits, bind};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);

fn listening(limits: IoLimits) -> (Io, SocketAddr) {
    let mut io = Io::new(limits).expect("a loop");
    let (_, at) = io.listen(bind(([127, 0, 0, 1], 0).into(), false).expect("a port")).expect("listening");
    (io, at)
}

/// Turns until `found` returns a value for an event, and returns it.
fn until<T>(io: &mut Io, mut found: impl FnMut(&IoEvent) -> Option<T>) -> T {
    let (began, mut events) = (Instant::now(), Vec::new());
    loop {
        io.turn(Some(100_000), &mut events).expect("turned");
        if let Some(found) = events.drain(..).find_map(|h| found(&h)) {
            return found;
        }
        assert!(began.elapsed() < TIMEOUT, "timed out");
    }
}

fn accepted(io: &mut Io) -> ConnId {
    until(io, |h| match h {
        IoEvent::Accepted { conn, .. } => Some(*conn),
        _ => None,
    })
}

fn reset(client: TcpStream) {
    rustix::net::sockopt::set_socket_linger(&client, Some(Duration::ZERO)).expect("open");
}

#[test]
fn a_peer_that_ends_is_reported_once_even_while_reading_is_paused() {
    for (is_reset, is_paused) in [(false, true), (true, true), (false, false), (true, false)] {
        let (mut io, at) = listening(IoLimits { end_on_peer_close: true, ..IoLimits::default() });
        let mut client = TcpStream::connect(at).expect("connected");
        let conn = accepted(&mut io);
        if is_paused {
            io.pause(conn, true);
        }
        // Fits into the kernel's buffers while nothing is read: an end after more data would not be reported.
        client.write_all(&[b'x'; 50_000]).expect("sent");
        let open_client = match is_reset {
            true => {
                reset(client);
                None
            }
            false => {
                client.shutdown(Shutdown::Write).expect("open");
                Some(client)
            }
        };
        let reason = until(&mut io, |h| match h {
            IoEvent::Ended(ended, reason) if *ended == conn => Some(*reason),
            _ => None,
        });
        assert_eq!(reason, if is_reset { EndReason::Reset } else { EndReason::Closed });
        io.free_ended();
        // No further event: the next turn waits for its whole time.
        let (began, mut events) = (Instant::now(), Vec::new());
        io.turn(Some(50_000), &mut events).expect("turned");
        assert!(events.is_empty() && began.elapsed() >= Duration::from_millis(50), "{events:?}");
        drop(open_client);
    }
}

#[test]
fn without_end_on_peer_close_the_input_before_an_end_is_read_first() {
    let (mut io, at) = listening(IoLimits::default());
    let mut client = TcpStream::connect(at).expect("connected");
    let conn = accepted(&mut io);
    client.write_all(b"first").expect("sent");
    client.shutdown(Shutdown::Write).expect("open");
    let mut input = Vec::new();
    until(&mut io, |h| matches!(h, IoEvent::Data(c) if *c == conn).then_some(()));
    input.extend_from_slice(io.input(conn).expect("open"));
    assert_eq!(input, b"first");
    until(&mut io, |h| matches!(h, IoEvent::Ended(c, EndReason::Closed) if *c == conn).then_some(()));
}

#[test]
fn the_peer_of_a_closed_connection_gets_all_output_although_it_keeps_sending() {
    let (mut io, at) = listening(IoLimits { end_on_peer_close: true, ..IoLimits::default() });
    let mut client = TcpStream::connect(at).expect("connected");
    client.set_read_timeout(Some(TIMEOUT)).expect("open");
    let conn = accepted(&mut io);
    // More than the socket buffers hold, so that the peer's data arrives while the output is written.
    let bytes = 8 << 20;
    io.output(conn).expect("open").resize(bytes, b'y');
    io.close(conn);
    let mut events = Vec::new();
    io.turn(Some(0), &mut events).expect("turned");
    client.write_all(&[b'x'; 100_000]).expect("sent");
    let reader = std::thread::spawn(move || {
        let (mut read, mut buffer) = (0, [0; 65_536]);
        loop {
            match client.read(&mut buffer) {
                Ok(0) => return Ok(read),
                Ok(more) => read += more,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err((read, error)),
            }
        }
    });
    let began = Instant::now();
    while !reader.is_finished() {
        io.turn(Some(10_000), &mut events).expect("turned");
        assert!(began.elapsed() < TIMEOUT, "timed out");
    }
    assert_eq!(reader.join().expect("reader thread").expect("no reset"), bytes);
}

/// Reads from a peer's connection up to its end.
fn read_to_end(mut peer: TcpStream) -> Vec<u8> {
    peer.set_read_timeout(Some(TIMEOUT)).expect("open");
    let mut bytes = Vec::new();
    peer.read_to_end(&mut bytes).expect("closed without a reset");
    bytes
}

#[test]
fn write_and_abort_frees_the_descriptor_although_the_peer_reads_nothing() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = silent.local_addr().expect("an address");
    let mut io = Io::new(IoLimits::default()).expect("a loop");
    for round in 0..3 {
        let conns: Vec<_> = (0..4).map(|_| io.connect(at).expect("started")).collect();
        let mut up = 0;
        until(&mut io, |h| {
            up += usize::from(matches!(h, IoEvent::Connected(_)));
            (up == 4).then_some(())
        });
        let peers: Vec<_> = (0..4).map(|_| silent.accept().expect("accepted").0).collect();
        for conn in conns {
            io.output(conn).expect("open").extend_from_slice(b"last words");
            io.write_and_abort(conn);
        }
        // At once and not when the peer has read: no connection of this round is open in the next one.
        assert!(io.is_empty(), "{round}: {} are still open", io.len());
        peers.into_iter().for_each(|peer| assert_eq!(read_to_end(peer), b"last words", "{round}"));
    }
}

#[test]
fn closed_accepted_connections_count_towards_the_limit_until_they_end() {
    let (mut io, at) = listening(IoLimits { connections: 4, linger: 100_000, ..IoLimits::default() });
    let mut open_clients = Vec::new();
    for round in 0..3 {
        let clients: Vec<_> = (0..4).map(|_| TcpStream::connect(at).expect("connected")).collect();
        // Connections of the previous round linger because their clients stay open, and these wait for them to end.
        let (began, mut events, mut conns) = (Instant::now(), Vec::new(), Vec::new());
        while conns.len() < clients.len() {
            io.turn(Some(100_000), &mut events).expect("turned");
            assert!(io.len() <= 4, "{round}: {} are open", io.len());
            conns.extend(events.drain(..).filter_map(|h| match h {
                IoEvent::Accepted { conn, .. } => Some(conn),
                _ => None,
            }));
            io.free_ended();
            assert!(began.elapsed() < TIMEOUT, "{round}: not accepted in time");
        }
        conns.into_iter().for_each(|conn| io.close(conn));
        assert_eq!(io.len(), 4, "{round}: closing waits for the peer");
        open_clients.push(clients);
    }
}
