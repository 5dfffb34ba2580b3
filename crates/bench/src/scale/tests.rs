//! Tests of the parts of the command: meters, layout, the checker and the CSV rows.

use super::fleet::{Fleet, SECOND_US, Settled};
use super::layout::{Layout, OneWayUs, ZONES};
use super::meter::ByteMeter;
use super::phases::{self, Measured};
use super::report::SizeReport;
use basaltward_membership::{MemberId, MembershipSettings};
use std::time::{Duration, Instant};

const ONE_WAY: OneWayUs = OneWayUs { zone: 300, region: 1_500, between_regions: 60_000 };

fn fleet(size: MemberId, wall: Duration) -> (Fleet, Layout) {
    let layout = Layout::new(size, ONE_WAY);
    let settings = MembershipSettings { round_trip: 83_000, ..MembershipSettings::new(size, 0, 0, 1) };
    (Fleet::new(settings, layout, 0.05, Instant::now() + wall), layout)
}

#[test]
fn byte_meter_finds_the_worst_second_at_any_step() {
    let mut meter = ByteMeter::new(2);
    // One member sends 70 bytes in each of six steps, across a boundary of whole seconds, then restarts.
    let totals = [0, 0, 0, 0, 0, 0, 0, 70, 140, 210, 280, 350, 420, 420];
    totals.iter().for_each(|total| meter.end_step([Some(*total), Some(5)].into_iter()));
    meter.end_step([None, Some(5)].into_iter());
    meter.end_step([Some(30), Some(5)].into_iter());
    assert_eq!((meter.take_worst(), meter.take_sum()), (450, 455));
    assert_eq!((meter.take_worst(), meter.take_sum()), (0, 0));
}

#[test]
fn zones_are_of_equal_size_and_partitioned_regions_lose_all_datagrams() {
    let layout = Layout::new(1_900, ONE_WAY);
    let sizes: Vec<_> = (0..ZONES).map(|zone| layout.members_of_zone(zone).len()).collect();
    assert!(sizes.iter().all(|size| (271..=272).contains(size)) && sizes.iter().sum::<usize>() == 1_900);
    assert_eq!(layout.members_of_rack().len(), 40);
    let (near, other, far) = (1, 400, 1_899);
    let delays = layout.delays(false);
    assert_eq!(delays(0, near), Some((300, 330)));
    assert_eq!(delays(0, other), Some((1_500, 1_650)));
    assert_eq!(delays(far, 0), Some((60_000, 66_000)));
    let apart = layout.delays(true);
    assert_eq!((apart(0, far), apart(far, 0), apart(0, other)), (None, None, Some((1_500, 1_650))));
}

/// The checker compares digests. It has to notice a single member that is behind, and also a dead member that all
/// views, with equal digests, hold for live.
#[test]
fn checker_detects_one_differing_view_and_an_error_common_to_all_views() {
    let (mut fleet, _) = fleet(20, Duration::from_secs(60));
    let all = fleet.members();
    fleet.start(&all[..19]).expect("valid settings");
    assert!(!fleet.is_agreed(), "no member has received anything yet");
    assert!(matches!(fleet.settle(30 * SECOND_US), Settled::After(_)));
    fleet.kill(&[7]);
    assert!(!fleet.is_agreed(), "all views hold a dead member for live");
    assert!(matches!(fleet.settle(30 * SECOND_US), Settled::After(_)));
    fleet.start(&all[19..]).expect("valid settings");
    assert!(!fleet.is_agreed(), "a member that has just started has an empty view");
}

#[test]
fn small_fleet_completes_the_whole_script() {
    let (mut fleet, layout) = fleet(42, Duration::from_secs(120));
    let measured = phases::play(&mut fleet, &layout, 60 * SECOND_US, &mut |_| {}).expect("valid settings");
    let settled =
        [measured.start, measured.kill_one, measured.kill_rack, measured.kill_zone, measured.heal_region];
    assert!(settled.iter().all(|at| matches!(at, Some(Settled::After(us)) if *us > 10_000)), "{settled:?}");
    let quiet = measured.bytes_quiet.expect("it was measured");
    let worst = measured.bytes_storm_worst.expect("it was measured");
    assert!((50.0..2_000.0).contains(&quiet) && worst as f64 > quiet, "{quiet}, {worst}");
    assert!(measured.processor_quiet > Some(0.0) && measured.processor_storm > Some(0.0));
}

#[test]
fn unsettled_value_has_a_row_and_value_that_was_not_run_has_none() {
    let runs = vec![
        Measured {
            start: Some(Settled::After(1_234_000)),
            kill_one: Some(Settled::After(9)),
            ..Measured::default()
        },
        Measured {
            start: Some(Settled::NotWithin(120 * SECOND_US)),
            bytes_storm_worst: Some(9),
            ..Measured::default()
        },
    ];
    let report = SizeReport { size: 800, lost: 0.05, runs, command: "c".into() };
    assert_eq!(report.rows(), "settle_start_ms,800,unsettled,ms,0.05,2,c\n");
    let (mut fleet, layout) = fleet(42, Duration::ZERO);
    let measured = phases::play(&mut fleet, &layout, SECOND_US, &mut |_| {}).expect("valid settings");
    assert_eq!((measured.start, measured.bytes_quiet), (None, None));
}
