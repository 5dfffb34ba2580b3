//! Drains, releases and halts between processes, with calls in flight and parts that fail.
use basaltward_faulttest::{Cluster, ClusterSpec, FleetViolation, Verdict, check_cluster};
use basaltward_permits::{Bounds, Limit};
use basaltward_rules::{Observation, Record};
use std::path::Path;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

/// How long a new fleet may take until it knows what is out, and gives permits.
const READY: Duration = Duration::from_secs(60);

fn bed(schedulers: usize, workers: usize, bounds: Bounds) -> Cluster {
    bed_of(Path::new(env!("CARGO_BIN_EXE_basaltward")), schedulers, workers, bounds)
}

fn bed_of(program: &Path, schedulers: usize, workers: usize, bounds: Bounds) -> Cluster {
    let program = program.into();
    let spec =
        ClusterSpec { program, schedulers, workers, work_ms: 5, pause_ms: 10, seed: 1, bounds: Some(bounds) };
    let mut bed = Cluster::start(spec).expect("a bed");
    bed.start_clients();
    bed
}

fn one() -> Bounds {
    let most = Limit::Number(1);
    Bounds {
        schedulers: most,
        schedulers_of_zone: most,
        workers: most,
        workers_of_zone: most,
        ..Bounds::default()
    }
}

/// Asks through a scheduler, as an operator does.
fn fleet(bed: &Cluster, through: usize, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_basaltward"));
    command.arg("fleet").args(args).arg("--of").arg(bed.peer_addresses[through].to_string());
    command.output().expect("it runs")
}

fn says(output: &Output) -> String {
    String::from_utf8_lossy(&[&output.stdout[..], &output.stderr[..]].concat()).into_owned()
}

fn done(bed: &Cluster, through: usize, args: &[&str]) -> String {
    let output = fleet(bed, through, args);
    assert!(output.status.success(), "{args:?}: {}", says(&output));
    says(&output)
}

fn denied(bed: &Cluster, through: usize, args: &[&str], why: &str) {
    let output = fleet(bed, through, args);
    assert!(output.status.code() == Some(1) && says(&output).contains(why), "{args:?}: {}", says(&output));
}

/// Waits until a scheduler's status holds these words.
fn shows(bed: &Cluster, through: usize, words: &str) {
    let until = Instant::now() + READY;
    loop {
        let told = says(&fleet(bed, through, &["status"]));
        if told.contains(words) {
            return;
        }
        assert!(Instant::now() < until, "n{through}: {told}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// The number of the scheduler that this one takes for leader.
fn leader(bed: &Cluster, through: usize) -> usize {
    let told = done(bed, through, &["status"]);
    let number = told.split("leader n").nth(1).and_then(|rest| rest.split(['\n', ',']).next());
    number.and_then(|number| number.parse().ok()).unwrap_or_else(|| panic!("{told}"))
}

fn finished(mut bed: Cluster) -> (Verdict, Vec<Record>) {
    let records = bed.finish().expect("it ends");
    (check_cluster(&bed, &records), records)
}

/// How many calls a worker has begun so far.
fn ran(bed: &Cluster, worker: &str) -> usize {
    let mut count = 0;
    bed.recorder.wait_until(Duration::ZERO, |all| {
        count = all
            .iter()
            .filter(|r| r.observer == worker && matches!(r.observation, Observation::Ran { .. }))
            .count();
        true
    });
    count
}

#[test]
fn a_worker_is_drained_by_all_and_comes_back_though_the_leader_dies() {
    let mut bed = bed(5, 10, one());
    // The first permit comes once the leader has learnt what is out.
    let told = done(&bed, 1, &["drain", "s-3", "--wait", "60"]);
    assert!(told.contains("clear"), "{told}");
    let there = ran(&bed, "s-3");
    denied(&bed, 2, &["drain", "s-4", "--wait", "1"], "2 would be out, 1 may be");
    let of = leader(&bed, 2);
    bed.kill(of);
    let other = (of + 1) % 5;
    let next = Instant::now() + READY;
    while leader(&bed, other) == of {
        assert!(Instant::now() < next, "nobody takes its place");
        std::thread::sleep(Duration::from_millis(100));
    }
    // The bound is kept by whoever is leader next.
    denied(&bed, other, &["drain", "s-4", "--wait", "4"], "2 would be out, 1 may be");
    bed.start_scheduler(of).expect("it comes up");
    // Whoever starts anew hears of the drain before long.
    shows(&bed, of, "Worker(");
    assert_eq!(ran(&bed, "s-3"), there, "nothing new has gone there");
    done(&bed, of, &["back", "s-3"]);
    let until = Instant::now() + READY;
    while ran(&bed, "s-3") == there {
        assert!(Instant::now() < until, "it is not used again");
        std::thread::sleep(Duration::from_millis(50));
    }
    // Once it is warm another may go.
    done(&bed, other, &["drain", "s-4", "--wait", "60"]);
    let (verdict, records) = finished(bed);
    assert!(verdict.passed(), "{:?} {:?}", verdict.rule_breaches, verdict.violations);
    let leaving = |r: &&Record| matches!(&r.observation, Observation::WorkerState { worker, state } if worker == "s-3" && state == "leaving");
    assert!(records.iter().filter(leaving).count() >= 5, "the module of each heard of it");
}

#[test]
fn a_halt_reaches_all_and_a_release_restarts_one_after_another_with_calls_in_flight() {
    let mut bed = bed(4, 3, one());
    // The leader has learnt what is out.
    let until = Instant::now() + READY;
    loop {
        let told = done(&bed, 0, &["drain", "s-0", "--dry-run"]);
        if told.contains("might go now") {
            break;
        }
        assert!(Instant::now() < until, "{told}");
        std::thread::sleep(Duration::from_millis(100));
    }
    done(&bed, 2, &["halt"]);
    let began = Instant::now();
    (0..4).for_each(|i| shows(&bed, i, "HALTED"));
    assert!(began.elapsed() < Duration::from_secs(20));
    denied(&bed, 1, &["drain", "s-0", "--wait", "1"], "halted");
    done(&bed, 3, &["resume"]);
    // The program that the release names tells the test which one goes, and waits until it serves again.
    let folder = std::env::temp_dir().join(format!("basaltward-release-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let run = folder.join("restart");
    let text = "#!/bin/sh\ncd \"$(dirname \"$0\")\" || exit 1\n: > \"go.$1\"\nn=0\nwhile [ ! -e \"done.$1\" ]; do\n\
        n=$((n + 1)); [ $n -lt 600 ] || exit 1; sleep 0.05\ndone\n";
    std::fs::write(&run, text).expect("written");
    let mode = std::os::unix::fs::PermissionsExt::from_mode(0o755);
    std::fs::set_permissions(&run, mode).expect("it may be run");
    let through = bed.peer_addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
    let begin = || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_basaltward"));
        command.args(["fleet", "release", "--to", "b", "--wait", "100", "--run"]).arg(&run);
        command.args(["--of", &through]).spawn().expect("it runs")
    };
    let mut child = begin();
    let until = Instant::now() + Duration::from_secs(200);
    let mut gone = Vec::new();
    let status = loop {
        assert!(Instant::now() < until, "restarted {gone:?}");
        if let Some(status) = child.try_wait().expect("waited for") {
            break status;
        }
        for i in 0..4 {
            if !gone.contains(&i) && folder.join(format!("go.{i}")).exists() {
                assert!(bed.running().len() == 4, "one after another");
                bed.set_permits_version(i, "b").expect("written");
                bed.stop(i).expect("it ends");
                bed.start_scheduler(i).expect("it comes up");
                gone.push(i);
                std::fs::write(folder.join(format!("done.{i}")), "").expect("written");
                if gone.len() == 2 {
                    // The operator's command dies in the middle of a step; another goes on.
                    child.kill().expect("killed");
                    child.wait().expect("ended");
                    child = begin();
                }
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    };
    gone.sort_unstable();
    assert!(status.success() && gone == [0, 1, 2, 3], "{gone:?}");
    shows(&bed, 1, "4 run version");
    std::fs::remove_dir_all(&folder).expect("removed");
    let (verdict, _) = finished(bed);
    assert!(verdict.passed(), "{:?} {:?}", verdict.rule_breaches, verdict.violations);
    let (asked, served, ..) = verdict.calls;
    assert!(served * 10 > asked * 9, "{served} of {asked} served");
}

/// A wave of drains while the leader is killed, another voter stands still and a half is cut off: each is permitted in
/// the end and taken back, two at once at most.
#[test]
fn a_wave_of_drains_ends_whole_through_a_kill_a_stall_and_a_cut() {
    let most = Limit::Number(2);
    let mut bed = bed(8, 12, Bounds { workers: most, workers_of_zone: most, ..one() });
    let through = bed.peer_addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
    let ask = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_basaltward"));
        command.arg("fleet").args(args).args(["--of", &through]).output().expect("it runs")
    };
    std::thread::scope(|scope| {
        let operators = ["s-1", "s-2", "s-3", "s-4", "s-5"].map(|worker| {
            scope.spawn(move || {
                let told = ask(&["drain", worker, "--wait", "150"]);
                assert!(told.status.success(), "{worker}: {}", says(&told));
                // Another one may be leader by now, or none yet.
                let until = Instant::now() + READY;
                while !ask(&["back", worker]).status.success() {
                    assert!(Instant::now() < until, "{worker} is not taken back");
                }
            })
        });
        let ready = Instant::now() + READY;
        while !says(&fleet(&bed, 0, &["status"])).contains("permit ") {
            assert!(Instant::now() < ready, "no permit");
            std::thread::sleep(Duration::from_millis(50));
        }
        let of = leader(&bed, 0);
        bed.kill(of);
        std::thread::sleep(Duration::from_secs(2));
        bed.start_scheduler(of).expect("it comes up");
        let voter = [0, 1, 3, 4, 6].into_iter().find(|voter| *voter != of).expect("another voter");
        bed.schedulers[voter].stall();
        std::thread::sleep(Duration::from_secs(5));
        bed.schedulers[voter].resume();
        bed.set_partition(&[4, 5, 6, 7], true);
        std::thread::sleep(Duration::from_secs(6));
        bed.set_partition(&[4, 5, 6, 7], false);
        for operator in operators {
            operator.join().expect("drained, and back");
        }
    });
    let (verdict, records) = finished(bed);
    assert!(verdict.passed(), "{:?} {:?}", verdict.rule_breaches, verdict.violations);
    let agreed =
        records.iter().filter(|r| matches!(r.observation, Observation::PermitsUpdated { .. })).count();
    assert!(agreed > 40, "{agreed}");
}

/// A planted fault: leaders that count what they see, and not what they permit.
#[test]
fn voters_that_permit_too_many_are_found() {
    let planted = Path::new(env!("CARGO_BIN_EXE_basaltward")).with_file_name("examples").join("planted");
    assert!(planted.exists(), "`cargo build --example planted` builds it, and so does `cargo test`");
    let bed = bed_of(&planted, 3, 4, one());
    done(&bed, 0, &["drain", "s-0", "--wait", "60"]);
    done(&bed, 0, &["drain", "s-1", "--wait", "60"]);
    let (verdict, _) = finished(bed);
    assert!(
        verdict.violations.contains(&FleetViolation::PermitBoundExceeded("workers", 2)),
        "{:?}",
        verdict.violations
    );
}
