//! Temporary failures of system calls, as documented by Linux: no event is lost, and started connections continue.
use basaltward_net::{
    ConnId, EndReason, Io, IoEvent, IoLimits, Micros, Signals, SystemCall, bind, monotonic,
};
use rustix::io::Errno;
use signal_hook::consts::SIGHUP;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

const MS: Micros = 1_000;
/// Longer than any step here takes, even on a loaded machine.
const TIMEOUT: Micros = 10_000 * MS;

fn listening() -> (Io, SocketAddr) {
    let mut io = Io::new(IoLimits::default()).expect("a loop");
    let (_, at) = io.listen(bind(([127, 0, 0, 1], 0).into(), false).expect("a port")).expect("listening");
    (io, at)
}

/// Turns until `done` is true for all events so far. Returns the events and the elapsed time.
fn turn_until(io: &mut Io, done: impl Fn(&[IoEvent]) -> bool) -> (Vec<IoEvent>, Micros) {
    let (began, mut all) = (monotonic(), Vec::new());
    while !done(&all) {
        assert!(monotonic() < began + TIMEOUT, "timed out: {all:?}");
        io.turn(Some(5_000), &mut all).expect("turned");
        io.free_ended();
    }
    (all, monotonic() - began)
}

fn accepted(all: &[IoEvent]) -> Vec<ConnId> {
    let conn_of = |h: &IoEvent| if let IoEvent::Accepted { conn, .. } = h { Some(*conn) } else { None };
    all.iter().filter_map(conn_of).collect()
}

fn data_events(all: &[IoEvent]) -> usize {
    all.iter().filter(|h| matches!(h, IoEvent::Data(_))).count()
}

/// Opens `count` clients, each of which has sent a byte.
fn clients(at: SocketAddr, count: usize) -> Vec<TcpStream> {
    let one = |_| {
        let mut client = TcpStream::connect(at).expect("connected");
        client.write_all(&[1]).expect("sent");
        client
    };
    (0..count).map(one).collect()
}

#[test]
fn waiting_connections_are_accepted_and_read_despite_temporary_failures() {
    const CLIENTS: usize = 60;
    for (call, error) in [
        (SystemCall::Accept, Errno::CONNABORTED),
        (SystemCall::Accept, Errno::NFILE),
        (SystemCall::Accept, Errno::NOBUFS),
        (SystemCall::Accept, Errno::HOSTUNREACH),
        (SystemCall::EpollAdd, Errno::NOSPC),
        (SystemCall::EpollAdd, Errno::NOMEM),
    ] {
        let (mut io, at) = listening();
        let _clients = clients(at, CLIENTS);
        // One call fails in every second turn.
        let (mut received, mut turns) = (0, 0);
        let began = monotonic();
        while received < CLIENTS {
            turns += 1;
            io.inject_failures(call, error, turns % 2);
            let mut all = Vec::new();
            io.turn(Some(5_000), &mut all).expect("turned");
            received += data_events(&all);
            for conn in accepted(&all) {
                assert!(io.is_open(conn));
            }
            // All are read in time for requests with a timeout of half a second.
            assert!(
                monotonic() < began + 500 * MS,
                "{call:?} {error:?}: received from {received} of {CLIENTS}"
            );
        }
    }
    // A connection that can't be registered with epoll is read anyway.
    let (mut io, at) = listening();
    io.inject_failures(SystemCall::EpollAdd, Errno::NOMEM, 40);
    let _clients = clients(at, 1);
    let (_, elapsed) = turn_until(&mut io, |all| data_events(all) == 1);
    assert!(elapsed < 100 * MS, "read after {elapsed} us");
    // The registration of a connection can't be changed temporarily: a paused connection is still resumed.
    let (mut io, at) = listening();
    let mut clients = clients(at, 1);
    let (all, _) = turn_until(&mut io, |all| data_events(all) == 1);
    let conn = accepted(&all)[0];
    io.pause(conn, true);
    clients[0].write_all(&[2]).expect("sent");
    io.inject_failures(SystemCall::EpollModify, Errno::NOMEM, 3);
    io.pause(conn, false);
    turn_until(&mut io, |all| data_events(all) == 1);
    // The same for the registration of the listener.
    io.pause_accepting(true);
    turn_until(&mut io, |_| true);
    io.turn(Some(0), &mut Vec::new()).expect("turned");
    let _more = TcpStream::connect(at).expect("connected");
    io.pause_accepting(false);
    io.inject_failures(SystemCall::EpollModify, Errno::NOMEM, 3);
    turn_until(&mut io, |all| accepted(all).len() == 1);
    // A batch of aborted connections delays the ones queued behind it by one turn only, and meanwhile
    // `accepts_without_backlog` is false.
    let (mut io, at) = listening();
    let _clients = self::clients(at, 1);
    io.inject_failures(SystemCall::Accept, Errno::CONNABORTED, 64);
    io.turn(Some(1_000_000), &mut Vec::new()).expect("turned");
    assert!(!io.accepts_without_backlog(), "a connection is waiting in the accept queue");
    turn_until(&mut io, |all| accepted(all).len() == 1);
}

#[test]
fn a_connection_is_established_despite_temporary_local_failures() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    for error in [Errno::INTR, Errno::ADDRNOTAVAIL, Errno::NETUNREACH, Errno::NOBUFS, Errno::AGAIN] {
        let mut io = Io::new(IoLimits::default()).expect("a loop");
        io.inject_failures(SystemCall::Connect, error, 5);
        let conn = io.connect(at).expect("started");
        let (all, elapsed) = turn_until(&mut io, |all| !all.is_empty());
        assert_eq!(all, [IoEvent::Connected(conn)], "{error:?}");
        assert!(elapsed < 200 * MS, "{error:?}: {elapsed} us");
        io.output(conn).expect("open").extend_from_slice(b"x");
        io.flush(&mut Vec::new());
        let mut byte = [0];
        listener.accept().expect("accepted").0.read_exact(&mut byte).expect("a byte");
    }
    // A refusal by the peer is reported at once.
    let gone = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    let mut io = Io::new(IoLimits::default()).expect("a loop");
    let conn = io.connect(gone).expect("started");
    let (all, _) = turn_until(&mut io, |all| !all.is_empty());
    assert_eq!(all, [IoEvent::Ended(conn, EndReason::ConnectFailed)]);
    // A failure of a retried start is reported at once, however long the turn may wait.
    let mut io = Io::new(IoLimits::default()).expect("a loop");
    io.inject_failures(SystemCall::Connect, Errno::ADDRNOTAVAIL, 1);
    io.inject_failures(SystemCall::Connect, Errno::ACCESS, 1);
    let conn = io.connect(at).expect("started");
    let (mut all, began) = (Vec::new(), monotonic());
    while all.is_empty() {
        io.turn(Some(2_000 * MS), &mut all).expect("turned");
    }
    assert_eq!(all, [IoEvent::Ended(conn, EndReason::ConnectFailed)]);
    assert!(monotonic() < began + 1_000 * MS, "reported after {} us", monotonic() - began);
    // A connection that is aborted while it waits for a retry is not started again.
    io.inject_failures(SystemCall::Connect, Errno::ADDRNOTAVAIL, 1_000);
    let conn = io.connect(at).expect("started");
    io.abort(conn);
    let mut all = Vec::new();
    (0..10).for_each(|_| io.turn(Some(2_000), &mut all).expect("turned"));
    assert_eq!(all, []);
}

#[test]
fn a_signal_is_reported_although_the_write_that_wakes_the_loop_is_lost() {
    let (mut io, _) = listening();
    let mut signals = Signals::register(&[SIGHUP]).expect("registered");
    signals.discard_wakes().expect("discarded");
    io.watch_signals(signals).expect("watched");
    // The handler runs in this thread before the call returns.
    signal_hook::low_level::raise(SIGHUP).expect("raised");
    let (all, _) = turn_until(&mut io, |all| !all.is_empty());
    assert_eq!(all, [IoEvent::Signal(SIGHUP)]);
    let mut more = Vec::new();
    (0..3).for_each(|_| io.turn(Some(1_000), &mut more).expect("turned"));
    assert_eq!(more, [], "it is reported once");
}
