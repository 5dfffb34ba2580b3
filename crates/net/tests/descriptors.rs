//! The process runs out of file descriptors. In its own file since the limit applies to the whole process.
use basaltward_net::{Io, IoEvent, IoLimits, bind, thread_time};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use std::net::TcpStream;
use std::time::{Duration, Instant};

#[test]
fn without_descriptors_accepting_pauses_and_later_resumes() {
    let mut io = Io::new(IoLimits::default()).expect("a loop");
    let (_, at) = io.listen(bind(([127, 0, 0, 1], 0).into(), false).expect("a port")).expect("listening");
    let clients: Vec<_> = (0..20).map(|_| TcpStream::connect(at).expect("connected")).collect();
    let limit = getrlimit(Resource::Nofile);
    let open = std::fs::read_dir("/proc/self/fd").expect("a list").count() as u64;
    // Leaves a few descriptors free: the open ones need not be numbered without gaps.
    setrlimit(Resource::Nofile, Rlimit { current: Some(open + 1), maximum: limit.maximum }).expect("set");
    let (mut turns, mut events, mut conns) = (0, Vec::new(), Vec::new());
    let (began, spent) = (Instant::now(), thread_time());
    while began.elapsed() < Duration::from_millis(400) {
        io.turn(Some(100_000), &mut events).expect("turned");
        conns.extend(events.drain(..).filter_map(|h| match h {
            IoEvent::Accepted { conn, .. } => Some(conn),
            _ => None,
        }));
        turns += 1;
    }
    assert!(conns.len() < 10, "{}", conns.len());
    assert!(turns < 60, "{turns} turns, {} us of CPU time", thread_time() - spent);
    assert!(io.connect(at).is_err(), "an outgoing connection needs a descriptor too");
    setrlimit(Resource::Nofile, limit).expect("set");
    let began = Instant::now();
    while conns.len() < clients.len() {
        io.turn(Some(100_000), &mut events).expect("turned");
        conns.extend(events.drain(..).filter_map(|h| match h {
            IoEvent::Accepted { conn, .. } => Some(conn),
            _ => None,
        }));
        assert!(began.elapsed() < Duration::from_secs(20), "not accepted in time");
    }
}
