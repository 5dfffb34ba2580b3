//! A fleet of scheduler processes with faults between them, and injected faults that the checker must detect.
use basaltward_faulttest::{
    Cluster, ClusterSpec, ConnectionMode, DatagramFaults, FleetScript, FleetViolation, Link, LoadedScript,
    Party, StateChange, Verdict, check_cluster, load_script, run_fleet,
};
use basaltward_membership::{FleetShare, MemberState};
use rustix::process::{Pid, Signal, kill_process};
use std::path::Path;
use std::time::Duration;

const EIGHT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/trial/eight.xml");

fn spec(schedulers: usize, workers: usize) -> ClusterSpec {
    let program = env!("CARGO_BIN_EXE_basaltward").into();
    ClusterSpec { program, schedulers, workers, work_ms: 5, pause_ms: 5, seed: 1, bounds: None }
}

/// Stops the fleet and checks its records.
fn stop_and_check(mut bed: Cluster) -> (Cluster, Verdict) {
    let records = bed.finish().expect("it stops");
    let verdict = check_cluster(&bed, &records);
    (bed, verdict)
}

/// Waits until workers have started this many calls.
fn wait_for_calls(bed: &Cluster, count: usize) {
    let is_start = |record: &basaltward_rules::Record| {
        matches!(record.observation, basaltward_rules::Observation::Ran { .. })
    };
    let enough = |all: &[_]| all.iter().filter(|record| is_start(record)).count() >= count;
    assert!(
        bed.recorder.wait_until(Duration::from_secs(20), enough),
        "fewer than {count} calls were started"
    );
}

#[test]
fn eight_processes_keep_the_rules_while_parts_fail() {
    let script = load_script(Path::new(EIGHT), Path::new(env!("CARGO_BIN_EXE_basaltward")), Some(3));
    let LoadedScript::Fleet(FleetScript { spec: fleet, span, steps }) = script.expect("a valid script")
    else {
        panic!("not a script of a fleet");
    };
    let bed = run_fleet(&FleetScript { spec: fleet, span, steps }).expect("it runs");
    let (bed, verdict) = stop_and_check(bed);
    assert!(verdict.passed(), "{:?} {:?}", verdict.rule_breaches, verdict.violations);
    let (calls, served, ..) = verdict.calls;
    assert!(served * 10 > calls * 8, "{served} of {calls} served");
    let starts = |process: &basaltward_faulttest::Process| {
        process.changes.iter().filter(|(_, change)| *change == StateChange::Up).count()
    };
    assert_eq!(
        bed.schedulers.iter().filter(|process| starts(process) == 2).count(),
        2,
        "the killed and the restarted scheduler have both started again"
    );
}

#[test]
fn process_that_exits_unexpectedly_is_detected() {
    let mut bed = Cluster::start(spec(2, 1)).expect("the fleet starts");
    bed.start_clients();
    wait_for_calls(&bed, 20);
    // Killed by its pid, so that the test bed does not know of it.
    let pid = bed.schedulers[1].pid().and_then(|pid| Pid::from_raw(pid as i32)).expect("it runs");
    kill_process(pid, Signal::KILL).expect("killed");
    let satisfied = bed.recorder.wait_until(Duration::from_millis(300), |_| false);
    assert!(!satisfied);
    let (_, verdict) = stop_and_check(bed);
    assert_eq!(verdict.violations, [FleetViolation::Crashed("n1".into())]);
}

#[test]
fn duplicate_effect_is_detected() {
    let bed = Cluster::start_with_worker(spec(1, 1), |exec| {
        let mut acts = vec![basaltward_fakes::WorkerAction::Run];
        acts.extend(exec.serve());
        acts
    });
    let mut bed = bed.expect("the fleet starts");
    bed.start_clients();
    wait_for_calls(&bed, 20);
    let (_, verdict) = stop_and_check(bed);
    assert!(
        verdict.rule_breaches.iter().any(|breach| breach.rule == 2 && breach.message.contains("ran 2 times")),
        "{:?}",
        verdict.rule_breaches
    );
    assert!(verdict.rule_breaches.iter().all(|breach| breach.rule == 2), "{:?}", verdict.rule_breaches);
}

/// The checker excuses late responses caused by a stall that the test bed itself injects, and no others.
#[test]
fn stall_unknown_to_the_test_bed_breaks_the_rule_on_answers() {
    let verdicts = [true, false].map(|known| {
        let mut bed = Cluster::start(spec(2, 1)).expect("the fleet starts");
        bed.start_clients();
        wait_for_calls(&bed, 20);
        let pid = bed.schedulers[0].pid().and_then(|pid| Pid::from_raw(pid as i32)).expect("it runs");
        if known {
            bed.schedulers[0].stall()
        } else {
            kill_process(pid, Signal::STOP).expect("stopped")
        }
        std::thread::sleep(Duration::from_millis(3_600));
        if known {
            bed.schedulers[0].resume()
        } else {
            kill_process(pid, Signal::CONT).expect("resumed")
        }
        stop_and_check(bed).1
    });
    assert!(verdicts[0].passed() && verdicts[0].excused > 0, "{:?}", verdicts[0]);
    assert!(verdicts[1].rule_breaches.iter().any(|breach| breach.rule == 1), "{:?}", verdicts[1]);
}

#[test]
fn unreachable_worker_delays_no_call() {
    let mut bed = Cluster::start(spec(2, 3)).expect("the fleet starts");
    bed.start_clients();
    wait_for_calls(&bed, 100);
    for (number, stream) in [(0, ConnectionMode::Stall), (1, ConnectionMode::Refuse)] {
        let way = Link { from: Party::Scheduler(number), to: Party::Worker(0) };
        bed.set_connection_mode(way, stream);
    }
    wait_for_calls(&bed, 400);
    for number in 0..2 {
        bed.set_connection_mode(
            Link { from: Party::Scheduler(number), to: Party::Worker(0) },
            ConnectionMode::Pass,
        );
    }
    wait_for_calls(&bed, 500);
    let (bed, verdict) = stop_and_check(bed);
    assert!(verdict.passed(), "{:?} {:?}", verdict.rule_breaches, verdict.violations);
    assert!(bed.network.leaks.is_empty());
    assert_eq!(verdict.excused, 0);
}

/// The time within which all processes that run and reach one another have to agree again after a fault.
const AGREEMENT_LIMIT: Duration = Duration::from_secs(20);

/// The numbers of all schedulers.
fn all_numbers_of(bed: &Cluster) -> Vec<usize> {
    (0..bed.schedulers.len()).collect()
}

#[test]
fn eight_processes_agree_after_deaths_stalls_cuts_and_restarts_with_calls_in_flight() {
    let mut bed = Cluster::start(spec(8, 3)).expect("the fleet starts");
    bed.start_clients();
    let all_numbers = all_numbers_of(&bed);
    assert!(bed.wait_for_agreement(&all_numbers, AGREEMENT_LIMIT).is_some(), "start");
    // Every scheduler learns from the gossip how many calls all have served.
    let deadline = std::time::Instant::now() + AGREEMENT_LIMIT;
    let totals_known = |bed: &Cluster| {
        bed.fetch_view(5).is_ok_and(|view| view.calls.first().is_some_and(|served| *served > 500))
    };
    while !totals_known(&bed) {
        assert!(std::time::Instant::now() < deadline, "{:?}", bed.fetch_view(5));
        std::thread::sleep(Duration::from_millis(50));
    }
    bed.set_all_datagram_faults(DatagramFaults {
        loss_rate: 0.05,
        duplicate_rate: 0.02,
        ..DatagramFaults::default()
    });
    bed.kill(2);
    assert!(bed.wait_for_agreement(&all_numbers, AGREEMENT_LIMIT).is_some(), "after a kill");
    bed.start_scheduler(2).expect("it starts");
    assert!(bed.wait_for_agreement(&all_numbers, AGREEMENT_LIMIT).is_some(), "after a restart");
    bed.schedulers[3].stall();
    assert!(bed.wait_for_agreement(&all_numbers, AGREEMENT_LIMIT).is_some(), "during a stall");
    bed.schedulers[3].resume();
    assert!(bed.wait_for_agreement(&all_numbers, AGREEMENT_LIMIT).is_some(), "after a stall");
    let refuted = bed.fetch_view(3).expect("it responds").members[3].incarnation.bump;
    assert!(refuted > 0, "it was considered gone and has refuted that");
    bed.set_partition(&[5, 6, 7], true);
    assert!(bed.wait_for_agreement(&[0, 1, 2, 3, 4], AGREEMENT_LIMIT).is_some(), "the larger part");
    assert!(bed.wait_for_agreement(&[5, 6, 7], AGREEMENT_LIMIT).is_some(), "the smaller part");
    let parts = [0, 6].map(|i| bed.fetch_view(i).expect("it responds").part);
    assert_eq!(parts, [FleetShare::Majority, FleetShare::Minority]);
    bed.set_partition(&[5, 6, 7], false);
    assert!(bed.wait_for_agreement(&all_numbers, AGREEMENT_LIMIT).is_some(), "after the cut");
    bed.stop(1).expect("it stops");
    assert!(bed.wait_for_agreement(&all_numbers, AGREEMENT_LIMIT).is_some(), "after a stop");
    let left = bed.fetch_view(0).expect("it responds").members[1].state;
    assert_eq!(left, MemberState::Stopped);
    let (bed, verdict) = stop_and_check(bed);
    assert!(verdict.passed(), "{:?} {:?}", verdict.rule_breaches, verdict.violations);
    let crossed: u64 = bed.network.relay.counts().values().map(|c| c.datagrams.0).sum();
    assert!(crossed > 500, "{crossed} datagrams crossed the relays");
}

/// An injected fault: a datagram reaches a member from an address that is not its sender's.
#[test]
fn datagram_from_a_foreign_address_is_detected() {
    let bed = Cluster::start(spec(3, 1)).expect("the fleet starts");
    let all_numbers = all_numbers_of(&bed);
    assert!(bed.wait_for_agreement(&all_numbers, AGREEMENT_LIMIT).is_some(), "start");
    let address = bed.peer_relay_address(0, 1);
    let stranger = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    stranger.send_to(b"\x01 not of us", address).expect("the datagram is sent");
    let foreign = |bed: &Cluster| bed.network.relay.counts().values().map(|c| c.wrong_source).sum::<u64>();
    let deadline = std::time::Instant::now() + AGREEMENT_LIMIT;
    while foreign(&bed) == 0 && std::time::Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(5));
    }
    let (_, verdict) = stop_and_check(bed);
    let way = Link { from: Party::Scheduler(0), to: Party::Scheduler(1) };
    assert_eq!(verdict.violations, [FleetViolation::WrongSource(way, 1)]);
}
