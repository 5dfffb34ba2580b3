//! The membership view of a fleet of processes: flapping members, one-way cuts, a changed list of members, two processes
//! of one name, and a fault injected into one process.
use basaltward_membership::{FleetShare, MemberState};
use basaltward_trial::{Bed, BedSpec, Fleet, Loss, Party, Verdict, Way, judge};
use std::path::Path;
use std::time::{Duration, Instant};

/// The time within which all processes that run and reach one another have to agree again after a fault.
const AGREEMENT_LIMIT: Duration = Duration::from_secs(20);

/// Starts a fleet and waits until all agree; returns it with the numbers of all schedulers.
fn start_fleet(schedulers: usize) -> (Bed, Vec<usize>) {
    let program = env!("CARGO_BIN_EXE_basaltward").into();
    let bed = Bed::start(BedSpec {
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
    assert!(bed.agreement(&all_numbers, AGREEMENT_LIMIT).is_some(), "start");
    (bed, all_numbers)
}

/// Stops the fleet and checks its records.
fn stop_and_check(mut bed: Bed) -> Verdict {
    let records = bed.finish().expect("it stops");
    judge(&bed, &records)
}

/// Waits until a scheduler's view meets a condition.
fn wait_for_view(
    bed: &Bed,
    number: usize,
    condition: impl Fn(&basaltward_membership::StatusResponse) -> bool,
) {
    let deadline = Instant::now() + AGREEMENT_LIMIT;
    while !bed.view(number).is_ok_and(|view| condition(&view)) {
        assert!(Instant::now() < deadline, "n{number}: {:?}", bed.view(number));
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn all_agree_after_flapping_and_one_way_cuts_with_calls_in_flight() {
    let (mut bed, all_numbers) = start_fleet(8);
    bed.call();
    for _ in 0..3 {
        bed.kill(4);
        std::thread::sleep(Duration::from_millis(500));
        bed.up(4).expect("it starts");
    }
    assert!(bed.agreement(&all_numbers, AGREEMENT_LIMIT).is_some(), "after flapping");
    // First it only receives, then it only sends: it is considered gone each time, and comes back by refuting that.
    for receives in [true, false] {
        let cut = Loss { loss_rate: 1.0, ..Loss::default() };
        for loss in [cut, Loss::default()] {
            for other in (0..8).filter(|other| *other != 2) {
                let (cut_off, other) = (Party::Scheduler(2), Party::Scheduler(other));
                let way = if receives {
                    Way { from: cut_off, to: other }
                } else {
                    Way { from: other, to: cut_off }
                };
                bed.loss(way, loss);
            }
            if loss == cut && receives {
                wait_for_view(&bed, 0, |view| view.members[2].state == MemberState::Gone);
            } else if loss == cut {
                wait_for_view(&bed, 2, |view| view.part == FleetShare::Alone);
            }
        }
        assert!(bed.agreement(&all_numbers, AGREEMENT_LIMIT).is_some(), "receives: {receives}");
    }
    let refuted = bed.view(0).expect("it responds").members[2].incarnation.bump;
    assert!(refuted > 0, "n2 has refuted that it is gone");
    let verdict = stop_and_check(bed);
    assert!(verdict.is_good(), "{:?} {:?}", verdict.rules, verdict.fleet);
}

#[test]
fn changed_member_list_is_applied_by_one_process_after_another() {
    let (mut bed, all_numbers) = start_fleet(6);
    for (size, running) in [(5, 5), (6, 6)] {
        if size == 5 {
            bed.stop(5).expect("it stops");
        }
        bed.list(size).expect("the lists are written");
        for i in 0..5 {
            bed.schedulers[i].reread();
            wait_for_view(&bed, i, |view| usize::from(view.size) == size);
        }
        if size == 6 {
            bed.up(5).expect("it starts");
        }
        assert!(
            bed.agreement(&all_numbers[..running], AGREEMENT_LIMIT).is_some(),
            "a list of {size} members"
        );
        let parts: Vec<_> = (0..running).map(|i| bed.view(i).expect("it responds").part).collect();
        assert_eq!(parts, vec![FleetShare::Whole; running]);
    }
    let verdict = stop_and_check(bed);
    assert!(verdict.is_good(), "{:?} {:?}", verdict.rules, verdict.fleet);
}

#[test]
fn second_process_of_the_same_name_and_address_does_not_start() {
    let (bed, all_numbers) = start_fleet(3);
    let mut twin = bed.schedulers[1].twin();
    assert!(twin.start().is_err() && twin.pid().is_none());
    assert!(bed.agreement(&all_numbers, AGREEMENT_LIMIT).is_some(), "the first keeps running");
    assert!(bed.view(0).expect("it responds").members.iter().all(|member| member.incarnation.bump == 0));
    let verdict = stop_and_check(bed);
    assert!(verdict.is_good(), "{:?} {:?}", verdict.rules, verdict.fleet);
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
    bed.up(1).expect("it starts");
    // Reports of the earlier incarnation from n3 arrive long after the later incarnation has announced itself.
    let delay = Duration::from_millis(2_000).as_micros() as u64;
    let way = Way { from: Party::Scheduler(3), to: Party::Scheduler(1) };
    bed.loss(way, Loss { delay_range: (delay, delay + 100_000), ..Loss::default() });
    for _ in 0..3 {
        bed.kill(2);
        wait_for_view(&bed, 0, |view| view.members[2].state == MemberState::Gone);
        wait_for_view(&bed, 3, |view| view.members[2].state == MemberState::Gone);
        bed.up(2).expect("it starts");
        wait_for_view(&bed, 0, |view| view.members[2].state == MemberState::Up);
        // Until the last delayed report has arrived.
        std::thread::sleep(Duration::from_micros(delay + 500_000));
    }
    let verdict = stop_and_check(bed);
    assert!(
        verdict.fleet.iter().any(|fault| matches!(fault, Fleet::RanBack(by, 2) if by == "n1")),
        "{:?}",
        verdict.fleet
    );
    assert!(
        verdict.fleet.iter().all(|fault| matches!(fault, Fleet::RanBack(by, _) if by == "n1")),
        "{:?}",
        verdict.fleet
    );
}
