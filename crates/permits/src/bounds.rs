//! Bounds on how many subjects may be out of service at once, and the decision whether one more may be. Input: the
//! permit state, the observations of all subjects, the bounds. Output: a permit or the reason for its denial. A subject
//! counts as out of service whatever the cause: it has a permit, is listed as draining or gone, is silent, has crashed
//! or never came back. At most [`MAX_PERMITS`] permits are in force.

use crate::state::{MAX_PERMITS, Permit, PermitState, Subject};
use basaltward_membership::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// The largest number of a group that may be out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Limit {
    /// An absolute number; the size of the group, if that is smaller.
    Number(u16),
    /// A percentage of the group, at most 100, rounded down, but at least one unless the group is empty.
    Percent(u8),
}

impl Limit {
    /// The limit as a number for a group of this size.
    pub fn to_count(self, size: usize) -> usize {
        match self {
            Self::Number(number) => usize::from(number).min(size),
            Self::Percent(percent) => (size * usize::from(percent.min(100)) / 100).max(1).min(size),
        }
    }
}

/// Separate bounds for schedulers and workers, in the whole fleet and in each zone, and for sites and gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Schedulers out of service in the fleet.
    pub schedulers: Limit,
    /// Schedulers out of service in a zone.
    pub schedulers_of_zone: Limit,
    /// Workers out of service in the fleet.
    pub workers: Limit,
    /// Workers out of service in a zone.
    pub workers_of_zone: Limit,
    /// Lost sites: if more seem lost, it is more likely that the observers themselves are partitioned off.
    pub sites: Limit,
    /// Lost gateways of live sites, bounded for the same reason.
    pub gateways: Limit,
}

impl Default for Bounds {
    /// 10 % of schedulers and workers, 20 % of those in a zone. For sites and gateways 49 %, so that more than half of
    /// them are left to take over the others.
    fn default() -> Self {
        let (all, zone) = (Limit::Percent(10), Limit::Percent(20));
        let (sites, gateways) = (Limit::Percent(49), Limit::Percent(49));
        let (schedulers, workers) = (all, all);
        Self { schedulers, schedulers_of_zone: zone, workers, workers_of_zone: zone, sites, gateways }
    }
}

/// What a node observes of a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Its zone, numbered by the observing node.
    pub zone: u8,
    /// Identifies its current incarnation: the low 16 bits of its start time in seconds, 0 for a site.
    pub incarnation: u16,
    /// How long it has been in use without interruption, in microseconds; none if it is listed as draining or gone, or
    /// is silent.
    pub in_use_for: Option<Micros>,
    /// Whether it is the only one known to hold something that calls need.
    pub holds_last_copy: bool,
    /// The hash of the name of the version that it reports to run, see [`name_hash`](crate::name_hash).
    pub running_version: Option<u32>,
}

/// All subjects known to exist, with what is observed of each.
pub type Observations = BTreeMap<Subject, Observation>;

/// The group that a bound applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Group {
    /// All schedulers or all workers.
    Fleet,
    /// Those of a zone.
    Zone(u8),
}

/// Why a request is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Denied {
    /// The subject is unknown to the leader.
    #[error("no subject of that name is known")]
    Unknown,
    /// An operator or an overdue release step has halted the fleet.
    #[error("halted")]
    Halted,
    /// A bound would be exceeded.
    #[error("{out} would be out, {most} may be, of {of:?}")]
    Bound {
        /// The group that the bound applies to.
        of: Group,
        /// How many of the group would be out of service, the requested one included.
        out: u16,
        /// The bound.
        most: u16,
    },
    /// The leader does not observe the site or gateway as lost, or not yet for the settling time.
    #[error("it is in use, or has not been lost for long enough")]
    InUse,
    /// No other subject is known to hold what it holds.
    #[error("it holds the last copy of something that calls need")]
    LastCopy,
    /// It already has a permit, of this number: another request acquired it, or the reply to an earlier request was
    /// lost.
    #[error("it is already out by permit {0}")]
    Taken(u16),
    /// The largest number of permits is in force, or too many requests are waiting.
    #[error("{MAX_PERMITS} permits are in force: no more fit")]
    Full,
    /// No majority of the voters can be reached, or too many of them restarted and the new leader still has to learn
    /// which subjects are out of service.
    #[error("no leader: no majority of the voters answers, or a new leader is still learning what is out")]
    NoLeader,
    /// The release is complete: all schedulers run its version.
    #[error("all schedulers run the version")]
    Over,
    /// The release has to wait: the remaining schedulers are out of service or have not reported their version, or as
    /// many are out as the current wave allows.
    #[error("the remaining schedulers are out or have not reported their version, or the wave is full")]
    Waits,
    /// The permit, plan or halt that the request names is not the current one, or the reply came too late.
    #[error("the permit, plan or halt that it names is not the current one")]
    Stale,
}

fn kind(subject: Subject) -> std::mem::Discriminant<Subject> {
    std::mem::discriminant(&subject)
}

/// All subjects that are out of service: by permit, or as observed.
pub fn out_of_service(state: &PermitState, observations: &Observations) -> BTreeSet<Subject> {
    let observed = observations.iter().filter(|(_, seen)| seen.in_use_for.is_none());
    let observed = observed.map(|(subject, _)| *subject);
    observed.chain(state.permits.iter().map(|permit| permit.subject)).collect()
}

/// Returns the permit for one more subject to be out of service, if the bounds allow it.
///
/// # Errors
/// The reason for the denial.
pub fn grant_permit(
    state: &PermitState,
    observations: &Observations,
    bounds: &Bounds,
    subject: Subject,
) -> Result<Permit, Denied> {
    let seen = observations.get(&subject).ok_or(Denied::Unknown)?;
    if let Some(permit) = state.permit(subject) {
        return Err(Denied::Taken(permit.number));
    }
    if state.permits.len() >= MAX_PERMITS {
        return Err(Denied::Full);
    }
    if subject.allows_takeover() && seen.in_use_for.is_some() {
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
        // A subject that has a permit but is no longer observed has no known zone: it counts in the fleet only.
        let in_group = |other: &Subject| {
            let zone = observations.get(other).map(|seen| seen.zone);
            kind(*other) == kind(subject) && (group == Group::Fleet || zone == Some(seen.zone))
        };
        let (count, most) = (
            out.iter().filter(|other| in_group(other)).count(),
            most.to_count(observations.keys().filter(|other| in_group(other)).count()),
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
