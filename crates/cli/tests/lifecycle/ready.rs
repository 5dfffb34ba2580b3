//! After a stall of the process, a scheduler that reports readiness has to serve calls.
use crate::common::{Limits, TEST_TIMEOUT, bulletin_entry, call, config_json, send, wait_until_delivered};
use crate::process::{config_file, freeze, signal, start, thaw};
use basaltward_fakes::{FakeBulletin, LineWorker, ThriftClient, ThriftReply};
use basaltward_rules::Recorder;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::process::Child;
use std::time::{Duration, Instant};

fn client(to: SocketAddr) -> ThriftClient {
    ThriftClient::connect(to, TEST_TIMEOUT).expect("the connection is accepted")
}

/// Wait before a rejected call is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How long rejected and failed calls are allowed on a loaded machine until calls are served again. After a stall the
/// scheduler reserves as much of a call's time as the stall lasted for its reply, for slightly longer than the stall.
const RECOVERY_LIMIT: Duration = Duration::from_secs(2);

/// Checks that the scheduler reports readiness and then serves a call on a new connection at once. On a slow machine some
/// calls may be rejected or fail first, within [`RECOVERY_LIMIT`].
fn check_ready_and_serving(to: SocketAddr, front: &mut ThriftClient, number: u64, when: &str) {
    assert_eq!(front.is_ready().expect("a readable reply"), Some(true), "{when}");
    let ready_at = Instant::now();
    for attempt in 0.. {
        let mut caller = client(to);
        let request = call(attempt << 20 | number, ["view", "extract"][number as usize % 2]);
        let sent = send(&mut caller, &request);
        let (seqid, reply) = caller.read().expect("a readable reply").expect("a reply");
        assert_eq!(seqid, sent, "{when}");
        match reply {
            ThriftReply::Served(_) => return,
            ThriftReply::Rejected(_) | ThriftReply::Crashed if ready_at.elapsed() < RECOVERY_LIMIT => {
                std::thread::sleep(RETRY_PAUSE)
            }
            reply => panic!("{when}: {reply:?} after {:?}", ready_at.elapsed()),
        }
    }
}

/// A process that is killed at the end of its test, also if the test fails.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        if matches!(self.0.try_wait(), Ok(None)) {
            signal(&self.0, Signal::KILL);
            let _ = self.0.wait();
        }
    }
}

#[test]
fn scheduler_that_is_ready_after_a_stall_serves() {
    let workers = [0, 1].map(|n| {
        LineWorker::start(&format!("s-{n}"), Recorder::none(), |exec| exec.serve())
            .expect("the worker starts")
    });
    let board = FakeBulletin::start(2).expect("the bulletin starts");
    let entry = |n: usize, state: &str| bulletin_entry(&format!("s-{n}"), workers[n].address(), state);
    let config = config_file(
        "stalled",
        &config_json(
            Limits::default(),
            board.address(),
            &format!("{},{}", entry(0, "Ready"), entry(1, "Ready")),
        ),
    );
    let (child, to) = start(&config);
    let mut running = KillOnDrop(child);
    let mut number = 0;
    for stall in [300, 2_500] {
        let mut front = client(to);
        check_ready_and_serving(to, &mut front, number + 1, "before a stall");
        freeze(&running.0);
        // Meanwhile calls arrive on connections not yet accepted, and idle connections to workers are closed.
        let mut waiting: Vec<_> = (0..6).map(|_| client(to)).collect();
        let sent: Vec<_> =
            (10..).zip(&mut waiting).map(|(n, client)| send(client, &call(number + n, "view"))).collect();
        workers.iter().for_each(LineWorker::close_all);
        board.disconnect_all();
        // And its capacity shrinks: the bulletin reports one of the two workers as draining.
        board.publish(&entry(0, "Terminating"));
        std::thread::sleep(Duration::from_millis(stall));
        let front_address = front.stream().local_addr().expect("the connection is open");
        wait_until_delivered(front_address, to, "revoke");
        thaw(&running.0);
        let when = format!("after a stall of {stall} ms");
        // The scheduler may have closed idle connections, so the client connects again.
        let mut front = client(to);
        for n in 1..=10 {
            check_ready_and_serving(to, &mut front, number + 100 + n, &when);
        }
        for (client, sent) in waiting.iter_mut().zip(sent) {
            let reply = client.read().expect("a readable reply");
            assert!(reply.as_ref().is_some_and(|(seqid, _)| *seqid == sent), "{when}: {reply:?}");
        }
        board.publish(&entry(0, "Ready"));
        number += 1_000;
    }
    signal(&running.0, Signal::TERM);
    assert!(running.0.wait().expect("it exits").success());
    std::fs::remove_file(config).expect("the file is removed");
}
