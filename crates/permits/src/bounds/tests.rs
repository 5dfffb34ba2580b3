//! Tests of [`super`], which need its inside.

use super::*;

fn observations(used: &[bool]) -> Observations {
    let seen = |(at, used): (usize, &bool)| {
        let used = used.then_some(1_000_000);
        (
            Subject::Worker(at as u32),
            Observation {
                zone: (at % 2) as u8,
                incarnation: 1,
                in_use_for: used,
                holds_last_copy: at == 9,
                running_version: None,
            },
        )
    };
    used.iter().enumerate().map(seen).collect()
}

#[test]
fn everything_that_is_out_counts_whoever_put_it_there() {
    let bounds = Bounds { workers: Limit::Number(3), workers_of_zone: Limit::Number(2), ..Bounds::default() };
    let mut state = PermitState::default();
    let ask = |state: &PermitState, used: &[bool], of| {
        grant_permit(state, &observations(used), &bounds, Subject::Worker(of))
    };
    let all = [true; 10];
    let given = ask(&state, &all, 0).expect("nobody is out");
    assert!(state.add(given));
    assert_eq!(ask(&state, &all, 0), Err(Denied::Taken(1)));
    assert_eq!(ask(&state, &all, 77), Err(Denied::Unknown));
    assert_eq!(ask(&state, &all, 9), Err(Denied::LastCopy));
    // One of the same zone has crashed: with the one permitted the zone has two.
    let mut crashed = all;
    crashed[4] = false;
    let zone = Denied::Bound { of: Group::Zone(0), out: 3, most: 2 };
    assert_eq!(ask(&state, &crashed, 2), Err(zone));
    let other = ask(&state, &crashed, 1).expect("the other zone has room");
    assert!(state.add(other));
    let fleet = Denied::Bound { of: Group::Fleet, out: 4, most: 3 };
    assert_eq!(ask(&state, &crashed, 3), Err(fleet));
    // Who crashes while permitted counts once.
    crashed[0] = false;
    assert_eq!(out_of_service(&state, &observations(&crashed)).len(), 3);
    // One that has left every list stays counted until it is written off.
    assert_eq!(
        grant_permit(&state, &observations(&all[2..]), &bounds, Subject::Worker(3)).map(|_| ()),
        Ok(())
    );
}

#[test]
fn a_share_is_one_at_least_and_never_more_than_there_are() {
    let of = |most: Limit| [0, 1, 9, 10, 300].map(|size| most.to_count(size));
    assert_eq!(of(Limit::Percent(10)), [0, 1, 1, 1, 30]);
    assert_eq!(of(Limit::Percent(200)), [0, 1, 9, 10, 300]);
    assert_eq!(of(Limit::Number(3)), [0, 1, 3, 3, 3]);
}

#[test]
fn no_more_permits_than_a_datagram_holds() {
    let mut state = PermitState::default();
    let all = |of: u32| Permit { subject: Subject::Worker(of), number: 1, incarnation: 0, returned: false };
    assert!((0..MAX_PERMITS as u32).all(|of| state.add(all(of))));
    assert!(!state.add(all(99)) && state.add(all(3)));
    let bounds =
        Bounds { workers: Limit::Percent(100), workers_of_zone: Limit::Percent(100), ..Bounds::default() };
    let observations = observations(&[true; 30]);
    assert_eq!(grant_permit(&state, &observations, &bounds, Subject::Worker(25)), Err(Denied::Full));
}
