//! The process has no descriptor left. Alone in its file: the limit is the whole process's.
use basaltward_net::{Io, IoEvent, IoLimits, bind, thread_time};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use std::net::TcpStream;
use std::time::{Duration, Instant};

#[test]
fn without_descriptors_for_new_connections_the_loop_waits_and_then_goes_on() {
    let mut io = Io::new(IoLimits::default()).expect("a loop");
    let (_, at) = io.listen(bind(([127, 0, 0, 1], 0).into(), false).expect("a port")).expect("it listens");
    let clients: Vec<_> = (0..20).map(|_| TcpStream::connect(at).expect("connected")).collect();
    let limit = getrlimit(Resource::Nofile);
    let open = std::fs::read_dir("/proc/self/fd").expect("a list").count() as u64;
    // Room for a few: descriptors that are open need not be numbered without a gap.
    setrlimit(Resource::Nofile, Rlimit { current: Some(open + 1), maximum: limit.maximum }).expect("set");
    let (mut turns, mut happened, mut conns) = (0, Vec::new(), Vec::new());
    let (began, spent) = (Instant::now(), thread_time());
    while began.elapsed() < Duration::from_millis(400) {
        io.turn(Some(100_000), &mut happened).expect("a turn");
        conns.extend(happened.drain(..).filter_map(|h| match h {
            IoEvent::Accepted { conn, .. } => Some(conn),
            _ => None,
        }));
        turns += 1;
    }
    assert!(conns.len() < 10, "{}", conns.len());
    assert!(turns < 60, "{turns} turns, {} us of the processor", thread_time() - spent);
    assert!(io.connect(at).is_err(), "one begun here needs one as well");
    setrlimit(Resource::Nofile, limit).expect("set");
    let began = Instant::now();
    while conns.len() < clients.len() {
        io.turn(Some(100_000), &mut happened).expect("a turn");
        conns.extend(happened.drain(..).filter_map(|h| match h {
            IoEvent::Accepted { conn, .. } => Some(conn),
            _ => None,
        }));
        assert!(began.elapsed() < Duration::from_secs(20), "never accepted");
    }
}
