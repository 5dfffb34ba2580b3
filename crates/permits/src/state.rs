//! The replicated state: who may be out, and the release that goes on. Bounded by [`PERMITS`], so that each datagram holds all
//! of it.

use basaltward_membership::{MemberId, Site};
use serde::{Deserialize, Serialize};

/// Permits at once at most: so many fit into a datagram.
pub const MAX_PERMITS: usize = 12;

/// Who can be out of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// A scheduler, by its number in the configured list.
    Scheduler(MemberId),
    /// A worker, by a hash of its name: see [`worker`].
    Worker(u32),
    /// A site, lost with all its gateways: its permit is leave to do what it owes.
    Site(Site),
    /// A gateway that is lost while its site lives: leave to do what it owes.
    Gateway(MemberId),
}

impl Subject {
    /// Its permit is leave to do what it owes, and ends when it says that it has learnt what was done in its place.
    pub fn is_takeover(self) -> bool {
        matches!(self, Self::Site(_) | Self::Gateway(_))
    }
}

/// The subject that a worker's name stands for.
pub fn worker_subject(name: &str) -> Subject {
    Subject::Worker(name_hash(name))
}

/// Leave to be out, until its subject has proven to be back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Permit {
    /// Whose.
    pub subject: Subject,
    /// Which of all that were given: whoever is done says with which.
    pub number: u16,
    /// A mark of its life as it was given: another one has been out.
    #[serde(rename = "life")]
    pub incarnation: u16,
    /// Nobody takes it out by this any more: it may be used, and still counts until it has proven to be back.
    #[serde(rename = "back")]
    pub returned: bool,
}

/// A release that goes on: every scheduler is to run one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Plan {
    /// Which of all plans and permits.
    pub number: u16,
    /// The version that all are to run, by a hash of its name: see [`mark`].
    pub to: u32,
    /// The one that they ran, for the way back.
    pub from: u32,
    /// It is a way back: the newest go first.
    #[serde(rename = "back")]
    pub rollback: bool,
}

/// The mark that the name of a worker or of a version stands for.
pub fn name_hash(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

/// What is agreed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitState {
    /// By subject, each once.
    pub permits: Vec<Permit>,
    /// The number of the last one that was given, and of the last plan.
    pub last_number: u16,
    /// The release that goes on.
    pub plan: Option<Plan>,
}

impl PermitState {
    /// A subject's permit.
    pub fn permit(&self, subject: Subject) -> Option<&Permit> {
        self.permits.iter().find(|permit| permit.subject == subject)
    }

    /// With a permit more; the one before stands where there is one. False where there is no room.
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

    /// Without a subject's permit.
    pub fn remove(&mut self, subject: Subject) {
        self.permits.retain(|permit| permit.subject != subject);
    }

    /// With all that another one says is out, as far as there is room; what there is none for is out by being
    /// seen to be, or not at all any more.
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

    /// Marks that nothing more is done by a permit; false where it does not stand.
    pub fn mark_returned(&mut self, subject: Subject, number: u16) -> bool {
        let asked = |permit: &&mut Permit| (permit.subject, permit.number) == (subject, number);
        let permit = self.permits.iter_mut().find(asked);
        permit.is_some_and(|permit| {
            permit.returned = true;
            true
        })
    }

    /// Whether a worker is drained: nothing new goes there.
    pub fn is_drained(&self, tag: u32) -> bool {
        self.permit(Subject::Worker(tag)).is_some_and(|permit| !permit.returned)
    }
}
