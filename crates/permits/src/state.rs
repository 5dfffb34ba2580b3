//! The replicated state: the permits in force and the release in progress. [`MAX_PERMITS`] bounds it, so that one
//! datagram holds all of it.

use basaltward_membership::{MemberId, Site};
use serde::{Deserialize, Serialize};

/// The largest number of permits in force at once: as many as fit into a datagram.
pub const MAX_PERMITS: usize = 12;

/// What a permit takes out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// A scheduler, by its number in the configured list.
    Scheduler(MemberId),
    /// A worker, by the hash of its name: see [`worker_subject`].
    Worker(u32),
    /// A site that is lost with all its gateways: its permit allows others to take over its pending work.
    Site(Site),
    /// A gateway that is lost while its site is live: its permit allows others to take over its pending work.
    Gateway(MemberId),
}

impl Subject {
    /// Whether a permit for it allows others to take over its pending work. Such a permit ends only by a `Return`: the
    /// subject sends it once it has learned what was done in its place.
    pub fn allows_takeover(self) -> bool {
        matches!(self, Self::Site(_) | Self::Gateway(_))
    }
}

/// The subject of the worker of this name.
pub fn worker_subject(name: &str) -> Subject {
    Subject::Worker(name_hash(name))
}

/// Permission for a subject to be out of service, in force until the subject has proven to be in use again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Permit {
    /// The subject that it takes out of service.
    pub subject: Subject,
    /// Its number in the sequence of permits and plans; a `Return` names it.
    pub number: u16,
    /// Identifies the subject's incarnation when the permit was granted: a subject in use with another value has been
    /// out since.
    #[serde(rename = "life")]
    pub incarnation: u16,
    /// The permit was returned: its holder no longer acts on it and the subject may be used, but it counts against the
    /// bounds until the subject has proven to be in use again.
    #[serde(rename = "back")]
    pub returned: bool,
}

/// A release in progress: every scheduler is to run the same version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Plan {
    /// Its number in the sequence of permits and plans.
    pub number: u16,
    /// The version that all are to run, by the hash of its name: see [`name_hash`].
    pub to: u32,
    /// The version that they ran before, for a rollback.
    pub from: u32,
    /// Whether this is a rollback, in which the most recently started schedulers go first.
    #[serde(rename = "back")]
    pub rollback: bool,
}

/// The CRC-32 of the name of a worker or a version, by which datagrams refer to it.
pub fn name_hash(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

/// The value of the replicated register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitState {
    /// Permits in force, sorted by subject, at most one per subject.
    pub permits: Vec<Permit>,
    /// The number of the latest permit or plan.
    pub last_number: u16,
    /// The release in progress.
    pub plan: Option<Plan>,
}

impl PermitState {
    /// A subject's permit.
    pub fn permit(&self, subject: Subject) -> Option<&Permit> {
        self.permits.iter().find(|permit| permit.subject == subject)
    }

    /// Adds a permit; a subject's existing permit stays as it is. False if [`MAX_PERMITS`] are in force.
    #[must_use]
    pub fn add(&mut self, permit: Permit) -> bool {
        if self.permit(permit.subject).is_some() {
            return true;
        }
        if self.permits.len() == MAX_PERMITS {
            return false;
        }
        self.permits.push(permit);
        self.permits.sort_unstable();
        true
    }

    /// Removes a subject's permit.
    pub fn remove(&mut self, subject: Subject) {
        self.permits.retain(|permit| permit.subject != subject);
    }

    /// Adds the permits of another member's state, up to [`MAX_PERMITS`], and takes the later number and plan. A permit
    /// that no longer fits is left out: its subject counts if it is observed to be out of service. A permit in
    /// both states counts as returned only if it is returned in both.
    pub fn merge(&mut self, other: &Self) {
        self.last_number = self.last_number.max(other.last_number);
        let later = |plan: &Plan| self.plan.is_none_or(|own| own.number < plan.number);
        self.plan = other.plan.filter(later).or(self.plan);
        for permit in &other.permits {
            let _ = self.add(*permit);
            if !permit.returned {
                self.permits
                    .iter_mut()
                    .filter(|own| own.subject == permit.subject)
                    .for_each(|own| own.returned = false);
            }
        }
    }

    /// Marks a permit as returned; false if no permit of this subject and number is in force.
    pub fn mark_returned(&mut self, subject: Subject, number: u16) -> bool {
        let matches = |permit: &&mut Permit| (permit.subject, permit.number) == (subject, number);
        let permit = self.permits.iter_mut().find(matches);
        permit.is_some_and(|permit| {
            permit.returned = true;
            true
        })
    }

    /// Whether the worker of this name hash is drained, so that no new request goes there.
    pub fn is_drained(&self, worker_hash: u32) -> bool {
        self.permit(Subject::Worker(worker_hash)).is_some_and(|permit| !permit.returned)
    }
}
