//! Drains, releases and halts of a fleet of processes, with calls in flight and parts that fail.
use basaltward_faulttest::{Cluster, ClusterSpec, FleetViolation, Verdict, check_cluster};
use basaltward_permits::{Bounds, Limit};
use basaltward_rules::{Observation, Record};
use std::path::Path;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

/// How long a new leader may take to learn what is out of service and to grant permits.
const READY_LIMIT: Duration = Duration::from_secs(60);

/// Starts a fleet with clients that call it.
fn start_fleet(schedulers: usize, workers: usize, bounds: Bounds) -> Cluster {
    start_fleet_of(Path::new(env!("CARGO_BIN_EXE_basaltward")), schedulers, workers, bounds)
}

/// Like [`start_fleet`], with another program as the scheduler.
fn start_fleet_of(program: &Path, schedulers: usize, workers: usize, bounds: Bounds) -> Cluster {
    let program = program.into();
    let spec =
        ClusterSpec { program, schedulers, workers, work_ms: 5, pause_ms: 10, seed: 1, bounds: Some(bounds) };
    let mut bed = Cluster::start(spec).expect("the fleet starts");
    bed.start_clients();
    bed
}

/// Bounds by which one scheduler and one worker may be out of service at once.
fn one_at_once() -> Bounds {
    let most = Limit::Number(1);
    Bounds {
        schedulers: most,
        schedulers_of_zone: most,
        workers: most,
        workers_of_zone: most,
        ..Bounds::default()
    }
}

/// Runs a `fleet` subcommand that contacts one scheduler, as an operator does.
fn run_fleet_command(bed: &Cluster, through: usize, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_basaltward"));
    command.arg("fleet").args(args).arg("--of").arg(bed.peer_addresses[through].to_string());
    command.output().expect("the command runs")
}

/// Everything that a command has printed.
fn text_of(output: &Output) -> String {
    String::from_utf8_lossy(&[&output.stdout[..], &output.stderr[..]].concat()).into_owned()
}

/// Runs a `fleet` subcommand that has to succeed; returns its output.
fn succeed(bed: &Cluster, through: usize, args: &[&str]) -> String {
    let output = run_fleet_command(bed, through, args);
    assert!(output.status.success(), "{args:?}: {}", text_of(&output));
    text_of(&output)
}

/// Runs a `fleet` subcommand that has to fail with this reason.
fn expect_denial(bed: &Cluster, through: usize, args: &[&str], reason: &str) {
    let output = run_fleet_command(bed, through, args);
    assert!(
        output.status.code() == Some(1) && text_of(&output).contains(reason),
        "{args:?}: {}",
        text_of(&output)
    );
}

/// Waits until a scheduler's status contains this text.
fn wait_for_status(bed: &Cluster, through: usize, text: &str) {
    let deadline = Instant::now() + READY_LIMIT;
    loop {
        let status = text_of(&run_fleet_command(bed, through, &["status"]));
        if status.contains(text) {
            return;
        }
        assert!(Instant::now() < deadline, "n{through}: {status}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// The number of the leader as seen by this scheduler.
fn leader(bed: &Cluster, through: usize) -> usize {
    let status = succeed(bed, through, &["status"]);
    let number = status.split("leader n").nth(1).and_then(|rest| rest.split(['\n', ',']).next());
    number.and_then(|number| number.parse().ok()).unwrap_or_else(|| panic!("{status}"))
}

/// Stops the fleet and checks its records.
fn stop_and_check(mut bed: Cluster) -> (Verdict, Vec<Record>) {
    let records = bed.finish().expect("it stops");
    (check_cluster(&bed, &records), records)
}

/// How many calls a worker has started so far.
fn calls_started(bed: &Cluster, worker: &str) -> usize {
    let mut count = 0;
    bed.recorder.wait_until(Duration::ZERO, |all| {
        count = all
            .iter()
            .filter(|record| {
                record.observer == worker && matches!(record.observation, Observation::Ran { .. })
            })
            .count();
        true
    });
    count
}

#[test]
fn drain_holds_at_all_schedulers_and_is_ended_while_the_leader_dies() {
    let mut bed = start_fleet(5, 10, one_at_once());
    // The first permit is granted once the leader has learnt what is out of service.
    let output = succeed(&bed, 1, &["drain", "s-3", "--wait", "60"]);
    assert!(output.contains("clear"), "{output}");
    let at_drain = calls_started(&bed, "s-3");
    expect_denial(&bed, 2, &["drain", "s-4", "--wait", "1"], "2 would be out, 1 may be");
    let old_leader = leader(&bed, 2);
    bed.kill(old_leader);
    let other = (old_leader + 1) % 5;
    let deadline = Instant::now() + READY_LIMIT;
    while leader(&bed, other) == old_leader {
        assert!(Instant::now() < deadline, "no new leader");
        std::thread::sleep(Duration::from_millis(100));
    }
    // The new leader keeps the bound.
    expect_denial(&bed, other, &["drain", "s-4", "--wait", "4"], "2 would be out, 1 may be");
    bed.start_scheduler(old_leader).expect("it starts");
    // The restarted scheduler soon receives the drain.
    wait_for_status(&bed, old_leader, "Worker(");
    assert_eq!(calls_started(&bed, "s-3"), at_drain, "a call was sent to the drained worker");
    succeed(&bed, old_leader, &["back", "s-3"]);
    let deadline = Instant::now() + READY_LIMIT;
    while calls_started(&bed, "s-3") == at_drain {
        assert!(Instant::now() < deadline, "it is not used again");
        std::thread::sleep(Duration::from_millis(50));
    }
    // Once it is warm, another worker may be drained.
    succeed(&bed, other, &["drain", "s-4", "--wait", "60"]);
    let (verdict, records) = stop_and_check(bed);
    assert!(verdict.passed(), "{:?} {:?}", verdict.rule_breaches, verdict.violations);
    let leaving = |record: &&Record| matches!(&record.observation, Observation::WorkerState { worker, state } if worker == "s-3" && state == "leaving");
    assert!(records.iter().filter(leaving).count() >= 5, "every scheduler's module is notified of the drain");
}

#[test]
fn halt_reaches_all_and_release_restarts_one_after_another_with_calls_in_flight() {
    let mut bed = start_fleet(4, 3, one_at_once());
    // Wait until the leader has learnt what is out of service.
    let deadline = Instant::now() + READY_LIMIT;
    loop {
        let output = succeed(&bed, 0, &["drain", "s-0", "--dry-run"]);
        if output.contains("might go now") {
            break;
        }
        assert!(Instant::now() < deadline, "{output}");
        std::thread::sleep(Duration::from_millis(100));
    }
    succeed(&bed, 2, &["halt"]);
    let halted_at = Instant::now();
    (0..4).for_each(|i| wait_for_status(&bed, i, "HALTED"));
    assert!(halted_at.elapsed() < Duration::from_secs(20));
    expect_denial(&bed, 1, &["drain", "s-0", "--wait", "1"], "halted");
    succeed(&bed, 3, &["resume"]);
    // The program of the release notifies the test which scheduler to restart, and waits until it serves again.
    let folder = std::env::temp_dir().join(format!("basaltward-release-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let run = folder.join("restart");
    let text = "#!/bin/sh\ncd \"$(dirname \"$0\")\" || exit 1\n: > \"go.$1\"\nn=0\nwhile [ ! -e \"done.$1\" ]; do\n\
        n=$((n + 1)); [ $n -lt 600 ] || exit 1; sleep 0.05\ndone\n";
    std::fs::write(&run, text).expect("the file is written");
    let mode = std::os::unix::fs::PermissionsExt::from_mode(0o755);
    std::fs::set_permissions(&run, mode).expect("the permissions are set");
    let through = bed.peer_addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
    let start_release = || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_basaltward"));
        command.args(["fleet", "release", "--to", "b", "--wait", "100", "--run"]).arg(&run);
        command.args(["--of", &through]).spawn().expect("the command runs")
    };
    let mut child = start_release();
    let deadline = Instant::now() + Duration::from_secs(200);
    let mut restarted = Vec::new();
    let status = loop {
        assert!(Instant::now() < deadline, "restarted {restarted:?}");
        if let Some(status) = child.try_wait().expect("try_wait succeeds") {
            break status;
        }
        for i in 0..4 {
            if !restarted.contains(&i) && folder.join(format!("go.{i}")).exists() {
                assert!(bed.running().len() == 4, "another scheduler is down already");
                bed.set_permits_version(i, "b").expect("the file is written");
                bed.stop(i).expect("it stops");
                bed.start_scheduler(i).expect("it starts");
                restarted.push(i);
                std::fs::write(folder.join(format!("done.{i}")), "").expect("the file is written");
                if restarted.len() == 2 {
                    // The operator's command is killed in the middle of a step; a second one continues.
                    child.kill().expect("the command is killed");
                    child.wait().expect("the command exits");
                    child = start_release();
                }
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    };
    restarted.sort_unstable();
    assert!(status.success() && restarted == [0, 1, 2, 3], "{restarted:?}");
    wait_for_status(&bed, 1, "4 run version");
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
    let (verdict, _) = stop_and_check(bed);
    assert!(verdict.passed(), "{:?} {:?}", verdict.rule_breaches, verdict.violations);
    let (calls, served, ..) = verdict.calls;
    assert!(served * 10 > calls * 9, "{served} of {calls} served");
}

/// Five drains, at most two at once, while the leader is killed, another voter stalls and half of the fleet is cut off:
/// each drain is permitted in the end, and ended.
#[test]
fn all_drains_complete_through_a_kill_a_stall_and_a_cut() {
    let most = Limit::Number(2);
    let mut bed = start_fleet(8, 12, Bounds { workers: most, workers_of_zone: most, ..one_at_once() });
    let through = bed.peer_addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
    let run_command = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_basaltward"));
        command.arg("fleet").args(args).args(["--of", &through]).output().expect("the command runs")
    };
    std::thread::scope(|scope| {
        let operators = ["s-1", "s-2", "s-3", "s-4", "s-5"].map(|worker| {
            scope.spawn(move || {
                let output = run_command(&["drain", worker, "--wait", "150"]);
                assert!(output.status.success(), "{worker}: {}", text_of(&output));
                // The leader may have changed by now, or there may be none yet.
                let deadline = Instant::now() + READY_LIMIT;
                while !run_command(&["back", worker]).status.success() {
                    assert!(Instant::now() < deadline, "the drain of {worker} is not ended");
                }
            })
        });
        let deadline = Instant::now() + READY_LIMIT;
        while !text_of(&run_fleet_command(&bed, 0, &["status"])).contains("permit ") {
            assert!(Instant::now() < deadline, "no permit");
            std::thread::sleep(Duration::from_millis(50));
        }
        let old_leader = leader(&bed, 0);
        bed.kill(old_leader);
        std::thread::sleep(Duration::from_secs(2));
        bed.start_scheduler(old_leader).expect("it starts");
        let voter = [0, 1, 3, 4, 6].into_iter().find(|voter| *voter != old_leader).expect("another voter");
        bed.schedulers[voter].stall();
        std::thread::sleep(Duration::from_secs(5));
        bed.schedulers[voter].resume();
        bed.set_partition(&[4, 5, 6, 7], true);
        std::thread::sleep(Duration::from_secs(6));
        bed.set_partition(&[4, 5, 6, 7], false);
        for operator in operators {
            operator.join().expect("the drain is permitted and ended");
        }
    });
    let (verdict, records) = stop_and_check(bed);
    assert!(verdict.passed(), "{:?} {:?}", verdict.rule_breaches, verdict.violations);
    let agreed = records
        .iter()
        .filter(|record| matches!(record.observation, Observation::PermitsUpdated { .. }))
        .count();
    assert!(agreed > 40, "{agreed}");
}

/// All schedulers run with an injected fault: as leader they count the subjects that they observe as out, but not those
/// with a permit.
#[test]
fn leaders_that_grant_too_many_permits_are_detected() {
    let faulty =
        Path::new(env!("CARGO_BIN_EXE_basaltward")).with_file_name("examples").join("faulty_scheduler");
    assert!(faulty.exists(), "`cargo build --example faulty_scheduler` builds it, and so does `cargo test`");
    let bed = start_fleet_of(&faulty, 3, 4, one_at_once());
    succeed(&bed, 0, &["drain", "s-0", "--wait", "60"]);
    succeed(&bed, 0, &["drain", "s-1", "--wait", "60"]);
    let (verdict, _) = stop_and_check(bed);
    assert!(
        verdict.violations.contains(&FleetViolation::PermitBoundExceeded("workers", 2)),
        "{:?}",
        verdict.violations
    );
}
