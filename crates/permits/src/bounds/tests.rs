//! Tests of the private parts of [`super`].

use super::*;

fn observations(used: &[bool]) -> Observations {
    let observation = |(index, used): (usize, &bool)| {
        let used = used.then_some(1_000_000);
        (
            Subject::Worker(index as u32),
            Observation {
                zone: (index % 2) as u8,
                incarnation: 1,
                in_use_for: used,
                holds_last_copy: index == 9,
                running_version: None,
            },
        )
    };
    used.iter().enumerate().map(observation).collect()
}

#[test]
fn every_subject_out_of_service_counts_whatever_the_cause() {
    let bounds = Bounds { workers: Limit::Number(3), workers_of_zone: Limit::Number(2), ..Bounds::default() };
    let mut state = PermitState::default();
    let request = |state: &PermitState, used: &[bool], worker| {
        grant_permit(state, &observations(used), &bounds, Subject::Worker(worker))
    };
    let all = [true; 10];
    let permit = request(&state, &all, 0).expect("nothing is out");
    assert!(state.add(permit));
    assert_eq!(request(&state, &all, 0), Err(Denied::Taken(1)));
    assert_eq!(request(&state, &all, 77), Err(Denied::Unknown));
    assert_eq!(request(&state, &all, 9), Err(Denied::LastCopy));
    // A worker of the same zone has crashed: together with the permitted one that makes two in the zone.
    let mut crashed = all;
    crashed[4] = false;
    let zone = Denied::Bound { of: Group::Zone(0), out: 3, most: 2 };
    assert_eq!(request(&state, &crashed, 2), Err(zone));
    let other = request(&state, &crashed, 1).expect("the other zone is below its bound");
    assert!(state.add(other));
    let fleet = Denied::Bound { of: Group::Fleet, out: 4, most: 3 };
    assert_eq!(request(&state, &crashed, 3), Err(fleet));
    // A worker that crashes while it has a permit counts once.
    crashed[0] = false;
    assert_eq!(out_of_service(&state, &observations(&crashed)).len(), 3);
    // A worker with a permit that has left the list counts in the fleet until it is written off.
    assert_eq!(
        grant_permit(&state, &observations(&all[2..]), &bounds, Subject::Worker(3)).map(|_| ()),
        Ok(())
    );
}

#[test]
fn a_percentage_is_at_least_one_and_at_most_the_size_of_the_group() {
    let counts = |limit: Limit| [0, 1, 9, 10, 300].map(|size| limit.to_count(size));
    assert_eq!(counts(Limit::Percent(10)), [0, 1, 1, 1, 30]);
    assert_eq!(counts(Limit::Percent(200)), [0, 1, 9, 10, 300]);
    assert_eq!(counts(Limit::Number(3)), [0, 1, 3, 3, 3]);
}

#[test]
fn no_more_permits_are_granted_than_a_datagram_holds() {
    let mut state = PermitState::default();
    let permit =
        |worker: u32| Permit { subject: Subject::Worker(worker), number: 1, incarnation: 0, returned: false };
    assert!((0..MAX_PERMITS as u32).all(|worker| state.add(permit(worker))));
    assert!(!state.add(permit(99)) && state.add(permit(3)));
    let bounds =
        Bounds { workers: Limit::Percent(100), workers_of_zone: Limit::Percent(100), ..Bounds::default() };
    let observations = observations(&[true; 30]);
    assert_eq!(grant_permit(&state, &observations, &bounds, Subject::Worker(25)), Err(Denied::Full));
}
