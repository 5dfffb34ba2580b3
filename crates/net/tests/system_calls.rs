//! System calls that fail for a moment, as Linux documents: nothing that came is forgotten, and what was begun goes on.
use basaltward_net::{
    ConnId, EndReason, Io, IoEvent, IoLimits, Micros, Signals, SystemCall, bind, monotonic,
};
use rustix::io::Errno;
use signal_hook::consts::SIGHUP;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

const MS: Micros = 1_000;
/// Longer than anything here takes, also on a loaded machine.
const PATIENCE: Micros = 10_000 * MS;

fn listening() -> (Io, SocketAddr) {
    let mut io = Io::new(IoLimits::default()).expect("a loop");
    let (_, at) = io.listen(bind(([127, 0, 0, 1], 0).into(), false).expect("a port")).expect("it listens");
    (io, at)
}

/// Turns until this holds of all that happened so far; gives that, and how long it took.
fn turn_until(io: &mut Io, holds: impl Fn(&[IoEvent]) -> bool) -> (Vec<IoEvent>, Micros) {
    let (began, mut all) = (monotonic(), Vec::new());
    while !holds(&all) {
        assert!(monotonic() < began + PATIENCE, "never: {all:?}");
        io.turn(Some(5_000), &mut all).expect("a turn");
        io.free_ended();
    }
    (all, monotonic() - began)
}

fn accepted(all: &[IoEvent]) -> Vec<ConnId> {
    let of = |h: &IoEvent| if let IoEvent::Accepted { conn, .. } = h { Some(*conn) } else { None };
    all.iter().filter_map(of).collect()
}

fn brought(all: &[IoEvent]) -> usize {
    all.iter().filter(|h| matches!(h, IoEvent::Data(_))).count()
}

/// So many clients, each of which has sent a byte.
fn clients(at: SocketAddr, count: usize) -> Vec<TcpStream> {
    let one = |_| {
        let mut client = TcpStream::connect(at).expect("connected");
        client.write_all(&[1]).expect("sent");
        client
    };
    (0..count).map(one).collect()
}

#[test]
fn whoever_waits_is_accepted_and_heard_though_calls_fail_for_a_moment() {
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
        // In every second turn a call fails.
        let (mut heard, mut turns) = (0, 0);
        let began = monotonic();
        while heard < CLIENTS {
            turns += 1;
            io.inject_failures(call, error, turns % 2);
            let mut all = Vec::new();
            io.turn(Some(5_000), &mut all).expect("a turn");
            heard += brought(&all);
            for conn in accepted(&all) {
                assert!(io.is_open(conn));
            }
            // All come in time for a request that waits no longer than half a second.
            assert!(monotonic() < began + 500 * MS, "{call:?} {error:?}: {heard} of {CLIENTS} were heard");
        }
    }
    // One that can't be watched at all for now is read all the same.
    let (mut io, at) = listening();
    io.inject_failures(SystemCall::EpollAdd, Errno::NOMEM, 40);
    let _clients = clients(at, 1);
    let (_, took) = turn_until(&mut io, |all| brought(all) == 1);
    assert!(took < 100 * MS, "read after {took} us");
    // What a connection is watched for can't be changed for a moment: what was paused is read on.
    let (mut io, at) = listening();
    let mut clients = clients(at, 1);
    let (all, _) = turn_until(&mut io, |all| brought(all) == 1);
    let conn = accepted(&all)[0];
    io.pause(conn, true);
    clients[0].write_all(&[2]).expect("sent");
    io.inject_failures(SystemCall::EpollModify, Errno::NOMEM, 3);
    io.pause(conn, false);
    turn_until(&mut io, |all| brought(all) == 1);
    // Nor can what the listener is watched for.
    io.pause_accepting(true);
    turn_until(&mut io, |_| true);
    io.turn(Some(0), &mut Vec::new()).expect("a turn");
    let _more = TcpStream::connect(at).expect("connected");
    io.pause_accepting(false);
    io.inject_failures(SystemCall::EpollModify, Errno::NOMEM, 3);
    turn_until(&mut io, |all| accepted(all).len() == 1);
    // A batch of connections that had gone hides those behind it for one turn only, and not from who asks.
    let (mut io, at) = listening();
    let _clients = self::clients(at, 1);
    io.inject_failures(SystemCall::Accept, Errno::CONNABORTED, 64);
    io.turn(Some(1_000_000), &mut Vec::new()).expect("a turn");
    assert!(!io.accepts_without_backlog(), "one waits that was not accepted");
    turn_until(&mut io, |all| accepted(all).len() == 1);
}

#[test]
fn a_connection_is_begun_though_this_machine_refuses_it_for_a_moment() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    for error in [Errno::INTR, Errno::ADDRNOTAVAIL, Errno::NETUNREACH, Errno::NOBUFS, Errno::AGAIN] {
        let mut io = Io::new(IoLimits::default()).expect("a loop");
        io.inject_failures(SystemCall::Connect, error, 5);
        let conn = io.connect(at).expect("begun");
        let (all, took) = turn_until(&mut io, |all| !all.is_empty());
        assert_eq!(all, [IoEvent::Connected(conn)], "{error:?}");
        assert!(took < 200 * MS, "{error:?}: {took} us");
        io.output(conn).expect("it stands").extend_from_slice(b"x");
        io.flush(&mut Vec::new());
        let mut byte = [0];
        listener.accept().expect("it came").0.read_exact(&mut byte).expect("its byte");
    }
    // One that is refused by the other end is told so at once.
    let gone = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    let mut io = Io::new(IoLimits::default()).expect("a loop");
    let conn = io.connect(gone).expect("begun");
    let (all, _) = turn_until(&mut io, |all| !all.is_empty());
    assert_eq!(all, [IoEvent::Ended(conn, EndReason::ConnectFailed)]);
    // One that fails as it is begun again is told at once, however long the turn may wait.
    let mut io = Io::new(IoLimits::default()).expect("a loop");
    io.inject_failures(SystemCall::Connect, Errno::ADDRNOTAVAIL, 1);
    io.inject_failures(SystemCall::Connect, Errno::ACCESS, 1);
    let conn = io.connect(at).expect("begun");
    let (mut all, began) = (Vec::new(), monotonic());
    while all.is_empty() {
        io.turn(Some(2_000 * MS), &mut all).expect("a turn");
    }
    assert_eq!(all, [IoEvent::Ended(conn, EndReason::ConnectFailed)]);
    assert!(monotonic() < began + 1_000 * MS, "told after {} us", monotonic() - began);
    // One that is given up while it waits is begun no more.
    io.inject_failures(SystemCall::Connect, Errno::ADDRNOTAVAIL, 1_000);
    let conn = io.connect(at).expect("begun");
    io.abort(conn);
    let mut all = Vec::new();
    (0..10).for_each(|_| io.turn(Some(2_000), &mut all).expect("a turn"));
    assert_eq!(all, []);
}

#[test]
fn a_signal_is_told_though_the_write_that_wakes_the_loop_fails() {
    let (mut io, _) = listening();
    let mut signals = Signals::register(&[SIGHUP]).expect("taken");
    signals.discard_wakes().expect("lost");
    io.watch_signals(signals).expect("watched");
    // The handler runs in this thread before the call returns.
    signal_hook::low_level::raise(SIGHUP).expect("raised");
    let (all, _) = turn_until(&mut io, |all| !all.is_empty());
    assert_eq!(all, [IoEvent::Signal(SIGHUP)]);
    let mut more = Vec::new();
    (0..3).for_each(|_| io.turn(Some(1_000), &mut more).expect("a turn"));
    assert_eq!(more, [], "it is told once");
}
