use basaltward_membership::{MemberId, Micros};
use serde::{Deserialize, Serialize};

/// Milliseconds since 1970 by a wall clock: for deadlines and windows that another gateway has to understand, never for
/// a lease.
pub type WallMs = u64;

/// Names an event over all sites: a digest of its tenant, function, source and id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u128);

/// Whose journal: one life of one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Source {
    /// The gateway, by its number among all peers.
    pub gateway: MemberId,
    /// When its life began, as in its incarnation.
    pub life: u64,
}

/// What may be done once a call was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RepeatSafety {
    /// It may run again.
    Safe,
    /// It may be sent again under the same key, for so long after it was first sent.
    Keyed {
        /// How long workers drop its repeats.
        window: Micros,
    },
    /// It must not run twice.
    Unsafe,
}

/// An event that is kept.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Accepted {
    /// Its name over all sites.
    pub key: Key,
    /// Its class, a position in the settings that all sites share.
    pub class: u16,
    /// Its tenant.
    pub tenant: u16,
    /// Its function.
    pub function: String,
    /// What may be done once it was sent.
    pub repeat_safety: RepeatSafety,
    /// It is done though its client may be gone.
    pub finish_without_client: bool,
    /// When its client gives up.
    pub deadline: WallMs,
    /// The event as a structured CloudEvent, up to the configured bound.
    pub event: Vec<u8>,
}

/// How a kept event ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Served: the answer goes along.
    Served,
    /// It never ran.
    Refused,
    /// It may have run.
    Failed,
}

/// What a journal says of an event.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Step {
    /// It was accepted: an answer is owed.
    Accepted(Accepted),
    /// Its first byte is about to leave for a worker.
    Sending {
        /// The event.
        key: Key,
        /// Which attempt, from 0.
        attempt: u32,
        /// The worker.
        worker: String,
        /// When: the window of a keyed event runs from the first.
        at: WallMs,
    },
    /// It has ended.
    Ended {
        /// The event.
        key: Key,
        /// How.
        outcome: Outcome,
        /// The answer as a structured CloudEvent, up to the configured bound; empty where there is none or it is longer.
        answer: Vec<u8>,
    },
}

/// A line of a journal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Whose journal.
    pub source: Source,
    /// Its running number, from 1 without a gap.
    pub number: u64,
    /// A checksum of this entry and of the one before: a journal with a gap or a changed byte shows it.
    pub chain: u64,
    /// What it says.
    pub step: Step,
}
