//! The wall clock of a machine is stepped, or wrong from the start: a worker that has just started is spared all the
//! same, whoever's clock its start was told by. The figures are those of the settings in [`text`].
#[path = "sockets/common.rs"]
#[allow(dead_code)]
mod common;

use basaltward_net::{Micros, monotonic};
use basaltward_node::Node;
use basaltward_rules::{Observation, Recorder};
use basaltward_standins::{Act, Board, Exec, FrontClient, LineWorker, answer};
use common::{Limits, PATIENCE, call, send, target, text};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const MS: Micros = 1_000;
const HOUR: i64 = 3_600_000_000;
const SECOND: i64 = 1_000_000;
const WARM: usize = 4;
/// Before the worker is told of, after it until the others turn everything away, and until the end.
const BEFORE: Duration = Duration::from_millis(2_500);
const ALONE: Duration = Duration::from_millis(500);
const AFTER: Duration = Duration::from_millis(1_500);
/// Calls that come before, each this long after the one before it.
const GAP: Duration = Duration::from_millis(25);
const COLD_FROM: f64 = 0.2;
const WARM_WITHIN: f64 = 16e6;
const TIP_MULTIPLE: f64 = 4.0;
const FALL: Micros = 1_500 * MS;

/// A machine whose clock is `at_start` off from the beginning on, then stepped to `later`, and the clock by which the
/// worker's start is told, `told` off.
#[derive(Clone, Copy, Debug)]
struct Case {
    at_start: i64,
    later: i64,
    told: i64,
}

/// Requests in the worst window, and how many make the worker fall.
fn weigh(sent: &[Micros], start: Micros, capacity: f64) -> (usize, f64) {
    let over = |(last, at): (usize, &Micros)| {
        let age = at.saturating_sub(start) as f64 / WARM_WITHIN;
        let can = COLD_FROM + (1.0 - COLD_FROM) * age.min(1.0);
        let n = TIP_MULTIPLE * can * capacity * FALL as f64 / 1e6;
        let bound = if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 };
        (last + 1 - sent.partition_point(|t| t + FALL <= *at), bound)
    };
    let all = sent.iter().enumerate().map(over);
    all.max_by(|a, b| (a.0 as f64 / a.1).total_cmp(&(b.0 as f64 / b.1))).unwrap_or((0, 1.0))
}

fn play(number: usize, case: Case) -> (usize, f64) {
    let recorder = Recorder::memory();
    let lost = Arc::new(AtomicBool::new(false));
    let workers: Vec<_> = (0..=WARM)
        .map(|n| {
            let lost = lost.clone();
            let script = move |exec: &Exec| match n < WARM && lost.load(Ordering::SeqCst) {
                true => vec![Act::Write(answer(&exec.id, "BUSY", "-", b""))],
                false => exec.serve(),
            };
            LineWorker::start(&format!("s-{n}"), Recorder::none(), script).expect("a worker")
        })
        .collect();
    let board = Board::start(2).expect("a bulletin");
    let entry = |n: usize| target(&format!("s-{n}"), workers[n].address(), "Ready");
    let known: Vec<_> = (0..WARM).map(entry).collect();
    let name = format!("basaltward-clocks-{}-{number}.json", std::process::id());
    let config = std::env::temp_dir().join(name);
    let told = text(Limits { deadline_ms: 2_000, ..Limits::default() }, board.address(), &known.join(","));
    std::fs::write(&config, told.replace("\"loadControl\":true", "\"loadControl\":false")).expect("written");
    let step = Arc::new(AtomicI64::new(case.at_start));
    let node = Node::new_with_wall_step(config.clone(), None, recorder.clone(), false, step.clone());
    let node = node.expect("a scheduler");
    let (address, control) = (node.address(), node.control());
    let runs = std::thread::spawn(move || node.run().expect("it runs"));
    let mut client = FrontClient::connect(address, PATIENCE).expect("connected");
    let mut ask = |number: u64, at_once: u64| {
        for nth in 0..at_once {
            let mut one = call(number << 16 | nth, "view");
            one.function = format!("7f3a9c21e0b4{:04x}", (number + nth) % 24);
            one.timeout_ms = 500;
            send(&mut client, &one);
        }
        (0..at_once).for_each(|_| drop(client.read().expect("told").expect("it stands")));
    };
    let until = monotonic() + BEFORE.as_micros() as Micros;
    let mut asked = 0;
    while monotonic() < until {
        asked += 1;
        ask(asked, 1);
        std::thread::sleep(GAP);
    }
    step.store(case.later, Ordering::SeqCst);
    let start = monotonic();
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as i64;
    let boot = wall + case.told / 1_000;
    board.tell(&entry(WARM).replace("\"boot_ms\":0", &format!("\"boot_ms\":{boot}")));
    let cold = format!("s-{WARM}");
    let heard =
        |what: &Observation| matches!(what, Observation::WorkerState { worker, .. } if *worker == cold);
    assert!(recorder.wait_until(PATIENCE, |all| all.iter().any(|r| heard(&r.observation))), "never told");
    std::thread::sleep(ALONE);
    lost.store(true, Ordering::SeqCst);
    let until = monotonic() + AFTER.as_micros() as Micros;
    while monotonic() < until {
        asked += 1;
        ask(asked, 30);
    }
    control.stop();
    runs.join().expect("it ended well");
    let _ = std::fs::remove_file(&config);
    let sent = recorder.take().into_iter().filter_map(|record| match record.observation {
        Observation::Sent { worker, .. } if worker == cold => Some(record.time),
        _ => None,
    });
    let capacity = 1.0 / GAP.as_secs_f64() / WARM as f64;
    weigh(&sent.collect::<Vec<_>>(), start, capacity)
}

#[test]
fn a_cold_worker_is_spared_whatever_the_wall_clocks_say() {
    let mut cases = Vec::new();
    for by in [-HOUR, -5 * SECOND, 20 * SECOND, HOUR] {
        // Stepped before the start was told, by this machine's clock or by one that was right all the time.
        cases.push(Case { at_start: 0, later: by, told: by });
        cases.push(Case { at_start: 0, later: by, told: 0 });
        // Wrong from the start on, and put right.
        cases.push(Case { at_start: by, later: 0, told: 0 });
    }
    // Wrong from the start on, and never put right: only a start that lies far back can't be one told just now.
    cases.push(Case { at_start: -HOUR, later: -HOUR, told: 0 });
    cases.push(Case { at_start: HOUR, later: HOUR, told: 0 });
    let failed: Vec<_> = std::thread::scope(|scope| {
        let plays: Vec<_> = cases
            .iter()
            .enumerate()
            .map(|(number, case)| (case, scope.spawn(move || play(number, *case))))
            .collect();
        let all = plays.into_iter().map(|(case, play)| (case, play.join().expect("played")));
        all.filter(|(_, (sent, bound))| *sent as f64 > *bound).collect()
    });
    assert!(failed.is_empty(), "{failed:#?}");
}
