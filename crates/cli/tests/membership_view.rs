//! The membership view of a fleet of processes: flapping members, one-way cuts, a changed list of members, two processes
//! of one name, and a fault injected into one process.
use basaltward_faulttest::{
    Cluster, ClusterSpec, DatagramFaults, FleetViolation, Link, Party, Verdict, check_cluster,
};
use basaltward_membership::{FleetShare, MemberState};
use std::path::Path;
use std::time::{Duration, Instant};

/// The time within which all processes that run and reach one another have to agree again after a fault.
const AGREEMENT_LIMIT: Duration = Duration::from_secs(20);

/// Starts a fleet and waits until all agree; returns it with the numbers of all schedulers.
fn start_fleet(schedulers: usize) -> (Cluster, Vec<usize>) {
    let program = env!("CARGO_BIN_EXE_basaltward").into();
    let bed = Cluster::start(ClusterSpec {
        program,
        schedulers,
        workers: 2,
        work_ms: 5,
        pause_ms: 20,
        seed: 1,
        bounds: None,
    });
    let all_numbers: Vec<_> = (0..schedulers).collect();
    let bed = bed.expect("the fleet starts");
    assert!(bed.wait_for_agreement(&all_numbers, AGREEMENT_LIMIT).is_some(), "start");
    (bed, all_numbers)
}

/// Stops the fleet and checks its records.
fn stop_and_check(mut bed: Cluster) -> Verdict {
    let records = bed.finish().expect("it stops");
    check_cluster(&bed, &records)
}

/// Waits until a scheduler's view meets a condition.
fn wait_for_view(
    bed: &Cluster,
    number: usize,
    condition: impl Fn(&basaltward_membership::StatusResponse) -> bool,
) {
    let deadline = Instant::now() + AGREEMENT_LIMIT;
    while !bed.fetch_view(number).is_ok_and(|view| condition(&view)) {
        assert!(Instant::now() < deadline, "n{number}: {:?}", bed.fetch_view(number));
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn all_agree_after_flapping_and_one_way_cuts_with_calls_in_flight() {
    let (mut bed, all_numbers) = start_fleet(8);
    bed.start_clients();
    for _ in 0..3 {
        bed.kill(4);
        std::thread::sleep(Duration::from_millis(500));
        bed.start_scheduler(4).expect("it starts");
    }
    assert!(bed.wait_for_agreement(&all_numbers, AGREEMENT_LIMIT).is_some(), "after flapping");
    // First it only receives, then it only sends: it is considered gone each time, and comes back by refuting that.
    for receives in [true, false] {
        let cut = DatagramFaults { loss_rate: 1.0, ..DatagramFaults::default() };
        for loss in [cut, DatagramFaults::default()] {
            for other in (0..8).filter(|other| *other != 2) {
                let (cut_off, other) = (Party::Scheduler(2), Party::Scheduler(other));
                let way = if receives {
                    Link { from: cut_off, to: other }
                } else {
                    Link { from: other, to: cut_off }
                };
                bed.set_datagram_faults(way, loss);
            }
            if loss == cut && receives {
                wait_for_view(&bed, 0, |view| view.members[2].state == MemberState::Gone);
            } else if loss == cut {
                wait_for_view(&bed, 2, |view| view.part == FleetShare::Alone);
            }
        }
        assert!(bed.wait_for_agreement(&all_numbers, AGREEMENT_LIMIT).is_some(), "receives: {receives}");
    }
    let refuted = bed.fetch_view(0).expect("it responds").members[2].incarnation.bump;
    assert!(refuted > 0, "n2 has refuted that it is gone");
    let verdict = stop_and_check(bed);
    assert!(verdict.passed(), "{:?} {:?}", verdict.rule_breaches, verdict.violations);
}

#[test]
fn changed_member_list_is_applied_by_one_process_after_another() {
    let (mut bed, all_numbers) = start_fleet(6);
    for (size, running) in [(5, 5), (6, 6)] {
        if size == 5 {
            bed.stop(5).expect("it stops");
        }
        bed.set_member_count(size).expect("the lists are written");
        for i in 0..5 {
            bed.schedulers[i].reload_config();
            wait_for_view(&bed, i, |view| usize::from(view.size) == size);
        }
        if size == 6 {
            bed.start_scheduler(5).expect("it starts");
        }
        assert!(
            bed.wait_for_agreement(&all_numbers[..running], AGREEMENT_LIMIT).is_some(),
            "a list of {size} members"
        );
        let parts: Vec<_> = (0..running).map(|i| bed.fetch_view(i).expect("it responds").part).collect();
        assert_eq!(parts, vec![FleetShare::Whole; running]);
    }
    let verdict = stop_and_check(bed);
    assert!(verdict.passed(), "{:?} {:?}", verdict.rule_breaches, verdict.violations);
}

#[test]
fn second_process_of_the_same_name_and_address_does_not_start() {
    let (bed, all_numbers) = start_fleet(3);
    let mut twin = bed.schedulers[1].twin();
    assert!(twin.start().is_err() && twin.pid().is_none());
    assert!(bed.wait_for_agreement(&all_numbers, AGREEMENT_LIMIT).is_some(), "the first keeps running");
    assert!(
        bed.fetch_view(0).expect("it responds").members.iter().all(|member| member.incarnation.bump == 0)
    );
    let verdict = stop_and_check(bed);
    assert!(verdict.passed(), "{:?} {:?}", verdict.rule_breaches, verdict.violations);
}

/// One process runs with an injected fault: it applies reports of earlier incarnations.
#[test]
fn process_that_applies_reports_of_earlier_incarnations_is_detected() {
    let (mut bed, _) = start_fleet(4);
    let faulty =
        Path::new(env!("CARGO_BIN_EXE_basaltward")).with_file_name("examples").join("faulty_scheduler");
    assert!(faulty.exists(), "`cargo build --example faulty_scheduler` builds it, and so does `cargo test`");
    bed.kill(1);
    bed.schedulers[1].set_program(&faulty);
    bed.start_scheduler(1).expect("it starts");
    // Reports of the earlier incarnation from n3 arrive long after the later incarnation has announced itself.
    let delay = Duration::from_millis(2_000).as_micros() as u64;
    let way = Link { from: Party::Scheduler(3), to: Party::Scheduler(1) };
    bed.set_datagram_faults(
        way,
        DatagramFaults { delay_range: (delay, delay + 100_000), ..DatagramFaults::default() },
    );
    for _ in 0..3 {
        bed.kill(2);
        wait_for_view(&bed, 0, |view| view.members[2].state == MemberState::Gone);
        wait_for_view(&bed, 3, |view| view.members[2].state == MemberState::Gone);
        bed.start_scheduler(2).expect("it starts");
        wait_for_view(&bed, 0, |view| view.members[2].state == MemberState::Up);
        // Until the last delayed report has arrived.
        std::thread::sleep(Duration::from_micros(delay + 500_000));
    }
    let verdict = stop_and_check(bed);
    assert!(
        verdict
            .violations
            .iter()
            .any(|fault| matches!(fault, FleetViolation::StaleMemberState(by, 2) if by == "n1")),
        "{:?}",
        verdict.violations
    );
    assert!(
        verdict
            .violations
            .iter()
            .all(|fault| matches!(fault, FleetViolation::StaleMemberState(by, _) if by == "n1")),
        "{:?}",
        verdict.violations
    );
}
