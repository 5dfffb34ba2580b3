//! The wall clock of the scheduler's machine is stepped, or wrong from the start. A worker that has just started must
//! be spared all the same, whichever machine's clock its start time was reported by. The figures repeat the settings
//! in [`config_json`].
#[path = "sockets/common.rs"]
#[allow(dead_code)]
mod common;

use basaltward_fakes::{ExecRequest, FakeBulletin, LineWorker, ThriftClient, WorkerAction, answer_line};
use basaltward_net::{Micros, monotonic};
use basaltward_node::Node;
use basaltward_rules::{Observation, Recorder};
use common::{Limits, TEST_TIMEOUT, bulletin_entry, call, config_json, send};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const MS: Micros = 1_000;
const HOUR: i64 = 3_600_000_000;
const SECOND: i64 = 1_000_000;
const WARM: usize = 4;
/// Phases of a run: before the cold worker is announced; from then until the other workers reject everything; and
/// from then until the end.
const WARM_UP: Duration = Duration::from_millis(2_500);
const BEFORE_REJECTION: Duration = Duration::from_millis(500);
const REJECTION: Duration = Duration::from_millis(1_500);
/// Interval between the calls of the first phase.
const GAP: Duration = Duration::from_millis(25);
const COLD_FROM: f64 = 0.2;
const WARM_WITHIN: f64 = 16e6;
const TIP_MULTIPLE: f64 = 4.0;
const FALL: Micros = 1_500 * MS;

/// Offsets from the true wall clock, in microseconds: of the scheduler's clock at first and after the step, and of
/// the clock by which the worker's start is reported.
#[derive(Clone, Copy, Debug)]
struct Case {
    initial_offset: i64,
    later_offset: i64,
    reported_offset: i64,
}

/// The number of requests in the worst window and its bound, which is that of the tests in `cold_worker`, with a
/// wider allowance where N is small.
fn worst_window(sent: &[Micros], start: Micros, capacity: f64) -> (usize, f64) {
    let over = |(last, at): (usize, &Micros)| {
        let age = at.saturating_sub(start) as f64 / WARM_WITHIN;
        let relative_capacity = COLD_FROM + (1.0 - COLD_FROM) * age.min(1.0);
        let n = TIP_MULTIPLE * relative_capacity * capacity * FALL as f64 / 1e6;
        let bound = if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 };
        (last + 1 - sent.partition_point(|t| t + FALL <= *at), bound)
    };
    let all = sent.iter().enumerate().map(over);
    all.max_by(|a, b| (a.0 as f64 / a.1).total_cmp(&(b.0 as f64 / b.1))).unwrap_or((0, 1.0))
}

fn run_case(number: usize, case: Case) -> (usize, f64) {
    let recorder = Recorder::memory();
    let rejecting = Arc::new(AtomicBool::new(false));
    let workers: Vec<_> = (0..=WARM)
        .map(|n| {
            let rejecting = rejecting.clone();
            let script = move |exec: &ExecRequest| match n < WARM && rejecting.load(Ordering::SeqCst) {
                true => vec![WorkerAction::Write(answer_line(&exec.id, "BUSY", "-", b""))],
                false => exec.serve(),
            };
            LineWorker::start(&format!("s-{n}"), Recorder::none(), script).expect("worker started")
        })
        .collect();
    let board = FakeBulletin::start(2).expect("bulletin started");
    let entry = |n: usize| bulletin_entry(&format!("s-{n}"), workers[n].address(), "Ready");
    let known: Vec<_> = (0..WARM).map(entry).collect();
    let name = format!("basaltward-clocks-{}-{number}.json", std::process::id());
    let config = std::env::temp_dir().join(name);
    let settings =
        config_json(Limits { deadline_ms: 2_000, ..Limits::default() }, board.address(), &known.join(","));
    std::fs::write(&config, settings.replace("\"loadControl\":true", "\"loadControl\":false"))
        .expect("configuration written");
    let step = Arc::new(AtomicI64::new(case.initial_offset));
    let node = Node::new_with_wall_step(config.clone(), None, recorder.clone(), false, step.clone());
    let node = node.expect("scheduler created");
    let (address, control) = (node.address(), node.control());
    let thread = std::thread::spawn(move || node.run().expect("scheduler runs"));
    let mut client = ThriftClient::connect(address, TEST_TIMEOUT).expect("connected");
    let mut send_calls = |number: u64, at_once: u64| {
        for nth in 0..at_once {
            let mut one = call(number << 16 | nth, "view");
            one.function = format!("7f3a9c21e0b4{:04x}", (number + nth) % 24);
            one.timeout_ms = 500;
            send(&mut client, &one);
        }
        (0..at_once).for_each(|_| drop(client.read().expect("reply read").expect("connection open")));
    };
    let until = monotonic() + WARM_UP.as_micros() as Micros;
    let mut rounds = 0;
    while monotonic() < until {
        rounds += 1;
        send_calls(rounds, 1);
        std::thread::sleep(GAP);
    }
    step.store(case.later_offset, Ordering::SeqCst);
    let start = monotonic();
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock after 1970").as_millis() as i64;
    let boot = wall + case.reported_offset / 1_000;
    board.publish(&entry(WARM).replace("\"boot_ms\":0", &format!("\"boot_ms\":{boot}")));
    let cold = format!("s-{WARM}");
    let announced =
        |what: &Observation| matches!(what, Observation::WorkerState { worker, .. } if *worker == cold);
    assert!(
        recorder.wait_until(TEST_TIMEOUT, |all| all.iter().any(|r| announced(&r.observation))),
        "the scheduler never recorded the cold worker"
    );
    std::thread::sleep(BEFORE_REJECTION);
    rejecting.store(true, Ordering::SeqCst);
    let until = monotonic() + REJECTION.as_micros() as Micros;
    while monotonic() < until {
        rounds += 1;
        send_calls(rounds, 30);
    }
    control.stop();
    thread.join().expect("scheduler thread ended");
    let _ = std::fs::remove_file(&config);
    let sent = recorder.take().into_iter().filter_map(|record| match record.observation {
        Observation::Sent { worker, .. } if worker == cold => Some(record.time),
        _ => None,
    });
    let capacity = 1.0 / GAP.as_secs_f64() / WARM as f64;
    worst_window(&sent.collect::<Vec<_>>(), start, capacity)
}

#[test]
fn a_cold_worker_is_spared_regardless_of_wall_clock_errors() {
    let mut cases = Vec::new();
    for by in [-HOUR, -5 * SECOND, 20 * SECOND, HOUR] {
        // Stepped before the start is reported, by this machine's clock or by one that was right all the time.
        cases.push(Case { initial_offset: 0, later_offset: by, reported_offset: by });
        cases.push(Case { initial_offset: 0, later_offset: by, reported_offset: 0 });
        // Wrong from the start, and corrected later.
        cases.push(Case { initial_offset: by, later_offset: 0, reported_offset: 0 });
    }
    // Wrong from the start and never corrected: only a start time that lies far in the past can't belong to a worker
    // announced just now.
    cases.push(Case { initial_offset: -HOUR, later_offset: -HOUR, reported_offset: 0 });
    cases.push(Case { initial_offset: HOUR, later_offset: HOUR, reported_offset: 0 });
    let failed: Vec<_> = std::thread::scope(|scope| {
        let runs: Vec<_> = cases
            .iter()
            .enumerate()
            .map(|(number, case)| (case, scope.spawn(move || run_case(number, *case))))
            .collect();
        let all = runs.into_iter().map(|(case, run)| (case, run.join().expect("case ran")));
        all.filter(|(_, (sent, bound))| *sent as f64 > *bound).collect()
    });
    assert!(failed.is_empty(), "{failed:#?}");
}
