//! The program stands still for a while: once it says that it is ready, it serves.
use crate::common::{Limits, TEST_TIMEOUT, bulletin_entry, call, config_json, send, wait_until_delivered};
use crate::process::{file, freeze, signal, start, thaw};
use basaltward_fakes::{FakeBulletin, LineWorker, ThriftClient, ThriftReply};
use basaltward_rules::Recorder;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::process::Child;
use std::time::{Duration, Instant};

fn client(to: SocketAddr) -> ThriftClient {
    ThriftClient::connect(to, TEST_TIMEOUT).expect("connected")
}

/// Between two calls of which the first was turned away.
const PAUSE: Duration = Duration::from_millis(20);
/// What the machine may add under load, until calls are served again. For as long as it stood still and a little more, a
/// scheduler keeps that much of a call's time back for its answer.
const SOON: Duration = Duration::from_secs(2);

/// A good heartbeat, and then at once a call on a connection of its own, which is answered. A machine that is late may
/// have some turned away or failed first, and soon none.
fn ready_and_serves(to: SocketAddr, front: &mut ThriftClient, number: u64, when: &str) {
    assert_eq!(front.is_ready().expect("told"), Some(true), "{when}");
    let since = Instant::now();
    for again in 0.. {
        let mut asks = client(to);
        let one = call(again << 20 | number, ["view", "extract"][number as usize % 2]);
        let asked = send(&mut asks, &one);
        let (seqid, told) = asks.read().expect("told").expect("an answer");
        assert_eq!(seqid, asked, "{when}");
        match told {
            ThriftReply::Served(_) => return,
            ThriftReply::Rejected(_) | ThriftReply::Crashed if since.elapsed() < SOON => {
                std::thread::sleep(PAUSE)
            }
            told => panic!("{when}: {told:?} after {:?}", since.elapsed()),
        }
    }
}

/// A process that ends with its test, also where that fails.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        if matches!(self.0.try_wait(), Ok(None)) {
            signal(&self.0, Signal::KILL);
            let _ = self.0.wait();
        }
    }
}

#[test]
fn one_that_is_ready_after_a_stall_serves() {
    let workers = [0, 1].map(|n| {
        LineWorker::start(&format!("s-{n}"), Recorder::none(), |exec| exec.serve()).expect("a worker")
    });
    let board = FakeBulletin::start(2).expect("a bulletin");
    let entry = |n: usize, state: &str| bulletin_entry(&format!("s-{n}"), workers[n].address(), state);
    let config = file(
        "stalled",
        &config_json(
            Limits::default(),
            board.address(),
            &format!("{},{}", entry(0, "Ready"), entry(1, "Ready")),
        ),
    );
    let (child, to) = start(&config);
    let mut running = Running(child);
    let mut number = 0;
    for stall in [300, 2_500] {
        let mut front = client(to);
        ready_and_serves(to, &mut front, number + 1, "before a stall");
        freeze(&running.0);
        // What comes meanwhile: calls on connections that nobody has accepted, and the ends of idle ones to workers.
        let mut waiting: Vec<_> = (0..6).map(|_| client(to)).collect();
        let asked: Vec<_> =
            (10..).zip(&mut waiting).map(|(n, c)| send(c, &call(number + n, "view"))).collect();
        workers.iter().for_each(LineWorker::close_all);
        board.disconnect_all();
        // Its worker counts on less: one of the two is told to drain.
        board.publish(&entry(0, "Terminating"));
        std::thread::sleep(Duration::from_millis(stall));
        let at = front.stream().local_addr().expect("it stands");
        wait_until_delivered(at, to, "revoke");
        thaw(&running.0);
        let when = format!("after {stall} ms of standing still");
        // Idle ones may have been closed: a front connects anew then.
        let mut front = client(to);
        for n in 1..=10 {
            ready_and_serves(to, &mut front, number + 100 + n, &when);
        }
        for (client, asked) in waiting.iter_mut().zip(asked) {
            let told = client.read().expect("told");
            assert!(told.as_ref().is_some_and(|(seqid, _)| *seqid == asked), "{when}: {told:?}");
        }
        board.publish(&entry(0, "Ready"));
        number += 1_000;
    }
    signal(&running.0, Signal::TERM);
    assert!(running.0.wait().expect("ended").success());
    std::fs::remove_file(config).expect("removed");
}
