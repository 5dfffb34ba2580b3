//! The view between processes: flapping, one-way cuts, a new list, doubled names, and a fault planted in one.
use basaltward_faulttest::{
    Cluster, ClusterSpec, DatagramFaults, FleetViolation, Link, Party, Verdict, check_cluster,
};
use basaltward_membership::{FleetShare, MemberState};
use std::path::Path;
use std::time::{Duration, Instant};

/// What a fault leads to: all that run and reach one another agree again, in this time.
const AGREE: Duration = Duration::from_secs(20);

fn bed(schedulers: usize) -> (Cluster, Vec<usize>) {
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
    let everybody: Vec<_> = (0..schedulers).collect();
    let bed = bed.expect("a bed");
    assert!(bed.wait_for_agreement(&everybody, AGREE).is_some(), "start");
    (bed, everybody)
}

fn finished(mut bed: Cluster) -> Verdict {
    let records = bed.finish().expect("it ends");
    check_cluster(&bed, &records)
}

/// Waits until a scheduler's view is as wanted.
fn sees(bed: &Cluster, who: usize, wanted: impl Fn(&basaltward_membership::StatusResponse) -> bool) {
    let until = Instant::now() + AGREE;
    while !bed.fetch_view(who).is_ok_and(|view| wanted(&view)) {
        assert!(Instant::now() < until, "n{who}: {:?}", bed.fetch_view(who));
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn all_agree_after_flapping_and_one_way_cuts_with_calls_in_flight() {
    let (mut bed, everybody) = bed(8);
    bed.start_clients();
    for _ in 0..3 {
        bed.kill(4);
        std::thread::sleep(Duration::from_millis(500));
        bed.start_scheduler(4).expect("it comes up");
    }
    assert!(bed.wait_for_agreement(&everybody, AGREE).is_some(), "one flapped");
    // First it can't be heard, then it can't hear: taken for gone each time, and back by its own word.
    for hears in [true, false] {
        let cut = DatagramFaults { loss_rate: 1.0, ..DatagramFaults::default() };
        for loss in [cut, DatagramFaults::default()] {
            for other in (0..8).filter(|other| *other != 2) {
                let (one, other) = (Party::Scheduler(2), Party::Scheduler(other));
                let way = if hears { Link { from: one, to: other } } else { Link { from: other, to: one } };
                bed.set_datagram_faults(way, loss);
            }
            if loss == cut && hears {
                sees(&bed, 0, |view| view.members[2].state == MemberState::Gone);
            } else if loss == cut {
                sees(&bed, 2, |view| view.part == FleetShare::Alone);
            }
        }
        assert!(bed.wait_for_agreement(&everybody, AGREE).is_some(), "hears: {hears}");
    }
    let refuted = bed.fetch_view(0).expect("it answers").members[2].incarnation.bump;
    assert!(refuted > 0, "n2 has said that it lives");
    let verdict = finished(bed);
    assert!(verdict.passed(), "{:?} {:?}", verdict.rule_breaches, verdict.violations);
}

#[test]
fn a_new_list_is_taken_by_one_process_after_another() {
    let (mut bed, everybody) = bed(6);
    for (size, there) in [(5, 5), (6, 6)] {
        if size == 5 {
            bed.stop(5).expect("it ends");
        }
        bed.set_member_count(size).expect("files written");
        for i in 0..5 {
            bed.schedulers[i].reload_config();
            sees(&bed, i, |view| usize::from(view.size) == size);
        }
        if size == 6 {
            bed.start_scheduler(5).expect("it comes up");
        }
        assert!(bed.wait_for_agreement(&everybody[..there], AGREE).is_some(), "a list of {size}");
        let parts: Vec<_> = (0..there).map(|i| bed.fetch_view(i).expect("it answers").part).collect();
        assert_eq!(parts, vec![FleetShare::Whole; there]);
    }
    let verdict = finished(bed);
    assert!(verdict.passed(), "{:?} {:?}", verdict.rule_breaches, verdict.violations);
}

#[test]
fn a_second_process_of_one_name_and_address_does_not_come_up() {
    let (bed, everybody) = bed(3);
    let mut twin = bed.schedulers[1].twin();
    assert!(twin.start().is_err() && twin.pid().is_none());
    assert!(bed.wait_for_agreement(&everybody, AGREE).is_some(), "the first goes on");
    assert!(bed.fetch_view(0).expect("it answers").members.iter().all(|e| e.incarnation.bump == 0));
    let verdict = finished(bed);
    assert!(verdict.passed(), "{:?} {:?}", verdict.rule_breaches, verdict.violations);
}

/// A planted fault: one process takes the word of an earlier life.
#[test]
fn a_process_that_takes_old_word_is_found_by_its_records() {
    let (mut bed, _) = bed(4);
    let planted = Path::new(env!("CARGO_BIN_EXE_basaltward")).with_file_name("examples").join("planted");
    assert!(planted.exists(), "`cargo build --example planted` builds it, and so does `cargo test`");
    bed.kill(1);
    bed.schedulers[1].set_program(&planted);
    bed.start_scheduler(1).expect("it comes up");
    // Word of the earlier life from one member comes when the later one has long spoken for itself.
    let late = Duration::from_millis(2_000).as_micros() as u64;
    let way = Link { from: Party::Scheduler(3), to: Party::Scheduler(1) };
    bed.set_datagram_faults(
        way,
        DatagramFaults { delay_range: (late, late + 100_000), ..DatagramFaults::default() },
    );
    for _ in 0..3 {
        bed.kill(2);
        sees(&bed, 0, |view| view.members[2].state == MemberState::Gone);
        sees(&bed, 3, |view| view.members[2].state == MemberState::Gone);
        bed.start_scheduler(2).expect("it comes up");
        sees(&bed, 0, |view| view.members[2].state == MemberState::Up);
        // As long as the last such word is on its way.
        std::thread::sleep(Duration::from_micros(late + 500_000));
    }
    let verdict = finished(bed);
    assert!(
        verdict.violations.iter().any(|f| matches!(f, FleetViolation::StaleMemberState(by, 2) if by == "n1")),
        "{:?}",
        verdict.violations
    );
    assert!(
        verdict.violations.iter().all(|f| matches!(f, FleetViolation::StaleMemberState(by, _) if by == "n1")),
        "{:?}",
        verdict.violations
    );
}
