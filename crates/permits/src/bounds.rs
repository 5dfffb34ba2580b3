//! How many subjects may be out of use at once, and whether one more may be. Input: the permit state, what is observed of
//! all subjects, the bounds. Output: a permit or the reason why not. Out counts everything: permitted, told to be draining or
//! gone, silent, crashed, never come back. At most [`PERMITS`] permits stand.

use crate::state::{MAX_PERMITS, Permit, PermitState, Subject};
use basaltward_membership::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// How many of a group at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Limit {
    /// A number.
    Number(u16),
    /// A share in hundredths, rounded down, but one at least.
    Percent(u8),
}

impl Limit {
    /// Of so many.
    pub fn to_count(self, size: usize) -> usize {
        match self {
            Self::Number(number) => usize::from(number).min(size),
            Self::Percent(share) => (size * usize::from(share.min(100)) / 100).max(1).min(size),
        }
    }
}

/// Bounds for schedulers and workers apart, in the whole fleet and in each zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Schedulers of the fleet.
    pub schedulers: Limit,
    /// Schedulers of a zone.
    pub schedulers_of_zone: Limit,
    /// Workers of the fleet.
    pub workers: Limit,
    /// Workers of a zone.
    pub workers_of_zone: Limit,
    /// Sites that are lost: with more the others are rather cut off themselves.
    pub sites: Limit,
    /// Gateways that are lost while their sites live, likewise.
    pub gateways: Limit,
}

impl Default for Bounds {
    /// A tenth of each, a fifth of a zone; sites and gateways are taken over by more than half of them.
    fn default() -> Self {
        let (all, zone) = (Limit::Percent(10), Limit::Percent(20));
        let (sites, gateways) = (Limit::Percent(49), Limit::Percent(49));
        let (schedulers, workers) = (all, all);
        Self { schedulers, schedulers_of_zone: zone, workers, workers_of_zone: zone, sites, gateways }
    }
}

/// What is seen of a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Its zone; zones are numbered by whoever looks.
    pub zone: u8,
    /// A mark of its present life.
    pub incarnation: u16,
    /// It is in use, for so long without a break; none where it is told to be draining or gone, or silent.
    pub in_use_for: Option<Micros>,
    /// It alone is known to hold something that calls need.
    pub holds_last_copy: bool,
    /// The mark of the version that it says it runs.
    pub running_version: Option<u32>,
}

/// All that is known to exist, with what is seen of it.
pub type Observations = BTreeMap<Subject, Observation>;

/// Which bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Group {
    /// All schedulers or all workers.
    Fleet,
    /// Those of a zone.
    Zone(u8),
}

/// Why something is not done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Denied {
    /// Nobody of that name is known.
    #[error("nobody of that name is known")]
    Unknown,
    /// Somebody has halted all of it.
    #[error("halted")]
    Halted,
    /// It would be one too many.
    #[error("{out} would be out, {most} may be, of {of:?}")]
    Bound {
        /// Of which group.
        of: Group,
        /// Out, with the one asked for.
        out: u16,
        /// The bound.
        most: u16,
    },
    /// It is lost by nobody's sight, or has not been for the settling time.
    #[error("it is in use, or has not been lost for long enough")]
    InUse,
    /// Nobody else is known to hold what it holds.
    #[error("it holds the last copy of something that calls need")]
    LastCopy,
    /// It has a permit already, of this number: another one has asked for it, or the answer was lost.
    #[error("it is out by permit {0} already")]
    Taken(u16),
    /// So many permits stand that no more fit.
    #[error("{MAX_PERMITS} permits stand: no more fit")]
    Full,
    /// No majority of the voters can be reached, or it has forgotten what is out and learns it.
    #[error("no leader: no majority of the voters answers, or it learns what is out")]
    NoLeader,
    /// All that are to run the version do.
    #[error("all run it")]
    Over,
    /// Those that are left are out, or have not said what they run, or as many are out as this wave may have.
    #[error("those left are out, or have not said what they run, or the wave is full")]
    Waits,
    /// What it names is not what stands.
    #[error("what it names is not what stands now")]
    Stale,
}

fn kind(subject: Subject) -> std::mem::Discriminant<Subject> {
    std::mem::discriminant(&subject)
}

/// All that are out: by permit, or seen to be.
pub fn out_of_service(state: &PermitState, observations: &Observations) -> BTreeSet<Subject> {
    let seen = observations.iter().filter(|(_, seen)| seen.in_use_for.is_none()).map(|(subject, _)| *subject);
    seen.chain(state.permits.iter().map(|permit| permit.subject)).collect()
}

/// The permit for one more to be out, if it may be.
///
/// # Errors
/// Why it may not.
pub fn grant_permit(
    state: &PermitState,
    observations: &Observations,
    bounds: &Bounds,
    subject: Subject,
) -> Result<Permit, Denied> {
    let seen = observations.get(&subject).ok_or(Denied::Unknown)?;
    if let Some(standing) = state.permit(subject) {
        return Err(Denied::Taken(standing.number));
    }
    if state.permits.len() >= MAX_PERMITS {
        return Err(Denied::Full);
    }
    if subject.is_takeover() && seen.in_use_for.is_some() {
        return Err(Denied::InUse);
    }
    let mut out = out_of_service(state, observations);
    out.insert(subject);
    let (of_fleet, of_zone) = match subject {
        Subject::Scheduler(_) => (bounds.schedulers, bounds.schedulers_of_zone),
        Subject::Worker(_) => (bounds.workers, bounds.workers_of_zone),
        Subject::Site(_) => (bounds.sites, bounds.sites),
        Subject::Gateway(_) => (bounds.gateways, bounds.gateways),
    };
    for (group, most) in [(Group::Fleet, of_fleet), (Group::Zone(seen.zone), of_zone)] {
        // What is out and not in sight any more, as it left the list, is counted in the whole fleet.
        let within = |of: &Subject| {
            let zone = observations.get(of).map(|seen| seen.zone);
            kind(*of) == kind(subject) && (group == Group::Fleet || zone == Some(seen.zone))
        };
        let (count, most) = (
            out.iter().filter(|of| within(of)).count(),
            most.to_count(observations.keys().filter(|of| within(of)).count()),
        );
        if count > most {
            return Err(Denied::Bound { of: group, out: count as u16, most: most as u16 });
        }
    }
    if seen.holds_last_copy {
        return Err(Denied::LastCopy);
    }
    Ok(Permit {
        subject,
        number: state.last_number.wrapping_add(1),
        incarnation: seen.incarnation,
        returned: false,
    })
}

#[cfg(test)]
mod tests;
