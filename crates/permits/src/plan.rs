//! The next step of a release: which scheduler is restarted next, and how many at once. One at first; later at most one
//! more than already run the target version, within the bounds. Input: the state, the plan, observations; output: a
//! subject, or why none may be restarted now.

use crate::bounds::{Denied, Observation, Observations};
use crate::state::{PermitState, Plan, Subject};
use basaltward_membership::MemberId;

fn schedulers(observations: &Observations) -> impl Iterator<Item = (MemberId, &Observation)> {
    observations.iter().filter_map(|(subject, seen)| match subject {
        Subject::Scheduler(member) => Some((*member, seen)),
        _ => None,
    })
}

/// How many schedulers report that they run the target version of a plan.
pub fn on_target_version(plan: &Plan, observations: &Observations) -> usize {
    schedulers(observations).filter(|(_, seen)| seen.running_version == Some(plan.to)).count()
}

/// The scheduler to restart next, among those that are in use, have no permit and report another version: the one with
/// the lowest number, in a rollback the most recently started one. The leader comes last.
///
/// # Errors
/// [`Denied::Over`] if all run the target version, [`Denied::Waits`] if the next step has to wait.
pub fn next_scheduler(
    state: &PermitState,
    plan: &Plan,
    observations: &Observations,
    leader: MemberId,
) -> Result<Subject, Denied> {
    let on_target = on_target_version(plan, observations);
    if schedulers(observations).all(|(_, seen)| seen.running_version == Some(plan.to)) {
        return Err(Denied::Over);
    }
    let permitted = |member: MemberId| state.permit(Subject::Scheduler(member)).is_some();
    let with_permit = schedulers(observations).filter(|(member, _)| permitted(*member)).count();
    if with_permit > on_target {
        return Err(Denied::Waits);
    }
    let remaining = schedulers(observations).filter(|(member, seen)| {
        seen.in_use_for.is_some()
            && seen.running_version.is_some_and(|version| version != plan.to)
            && !permitted(*member)
    });
    let restart_order = |(member, seen): &(MemberId, &Observation)| {
        let newest_first = if plan.rollback { seen.in_use_for.unwrap_or_default() } else { 0 };
        (*member == leader, newest_first, *member)
    };
    remaining.min_by_key(restart_order).map(|(member, _)| Subject::Scheduler(member)).ok_or(Denied::Waits)
}

#[cfg(test)]
mod tests;
