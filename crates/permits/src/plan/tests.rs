//! Tests of the private parts of [`super`].

use super::*;
use crate::state::Permit;

fn observations(running_versions: &[Option<u32>]) -> Observations {
    let observation = |(member, running_version): (usize, &Option<u32>)| {
        let used = Some(1_000_000 * (10 - member as u64));
        (
            Subject::Scheduler(member as MemberId),
            Observation {
                zone: 0,
                incarnation: 0,
                in_use_for: used,
                holds_last_copy: false,
                running_version: *running_version,
            },
        )
    };
    running_versions.iter().enumerate().map(observation).collect()
}

#[test]
fn one_scheduler_goes_first_then_several_at_once_and_the_leader_last() {
    let plan = Plan { number: 1, to: 2, from: 1, rollback: false };
    let mut state = PermitState::default();
    let (old, new) = (Some(1), Some(2));
    let scheduler = |member| Ok(Subject::Scheduler(member));
    assert_eq!(next_scheduler(&state, &plan, &observations(&[old, old, old, old]), 0), scheduler(1));
    let permit =
        |member| Permit { subject: Subject::Scheduler(member), number: 1, incarnation: 0, returned: false };
    assert!(state.add(permit(1)));
    assert_eq!(next_scheduler(&state, &plan, &observations(&[old, old, old, old]), 0), Err(Denied::Waits));
    // Once one scheduler runs the target version, two may be out.
    assert_eq!(next_scheduler(&state, &plan, &observations(&[old, new, old, old]), 0), scheduler(2));
    state.remove(Subject::Scheduler(1));
    assert_eq!(next_scheduler(&state, &plan, &observations(&[old, new, new, None]), 0), scheduler(0));
    assert_eq!(next_scheduler(&state, &plan, &observations(&[new, new, new, None]), 0), Err(Denied::Waits));
    assert_eq!(next_scheduler(&state, &plan, &observations(&[new, new, new, new]), 0), Err(Denied::Over));
    // A rollback begins with the most recently started schedulers.
    let rollback = Plan { rollback: true, to: 1, from: 2, ..plan };
    assert_eq!(next_scheduler(&state, &rollback, &observations(&[new, new, new, old]), 0), scheduler(2));
}
