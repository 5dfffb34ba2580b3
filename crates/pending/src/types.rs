use basaltward_membership::{MemberId, Micros};
use serde::{Deserialize, Serialize};

/// Milliseconds since 1970 by the wall clock. Used for deadlines and windows that other gateways have to interpret,
/// never for a lease.
pub type WallMs = u64;

/// Identifies an event across all sites: a digest of its tenant, function, source and id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u128);

/// Identifies a journal by its writer: one life (process run) of one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Source {
    /// The gateway's index in the list of all peers.
    pub gateway: MemberId,
    /// Start of this life, the same value as in the gateway's incarnation.
    pub life: u64,
}

/// Whether a call may be sent again after it was sent once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RepeatSafety {
    /// May run any number of times.
    Safe,
    /// May be sent again under the same key within a window after it was first sent.
    Keyed {
        /// How long workers deduplicate by the key.
        window: Micros,
    },
    /// Must not run twice.
    Unsafe,
}

/// An accepted event that is recorded in the journal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Accepted {
    /// Identifies the event across all sites.
    pub key: Key,
    /// Index of its class in the settings that all sites share.
    pub class: u16,
    /// Index of its tenant.
    pub tenant: u16,
    /// Name of its function.
    pub function: String,
    /// Whether it may be sent again after it was sent once.
    pub repeat_safety: RepeatSafety,
    /// Whether it is completed even if its client is gone.
    pub finish_without_client: bool,
    /// When its client stops waiting.
    pub deadline: WallMs,
    /// The event as a structured CloudEvent, at most `entry_bytes` long together with the function's name.
    pub event: Vec<u8>,
}

/// How a recorded event ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It was served. Its answer is recorded with the outcome unless it is too long.
    Served,
    /// It was refused and never ran.
    Refused,
    /// It failed and may have run.
    Failed,
}

/// A step in the processing of an event, the payload of a journal entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Step {
    /// The event was accepted and has to be answered.
    Accepted(Accepted),
    /// An attempt is about to send its first byte to a worker.
    Sending {
        /// The event.
        key: Key,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Address of the worker.
        worker: String,
        /// When the attempt began. The window of a keyed event runs from its first attempt.
        at: WallMs,
    },
    /// The event has ended.
    Ended {
        /// The event.
        key: Key,
        /// How it ended.
        outcome: Outcome,
        /// The answer as a structured CloudEvent; empty if there is none or if it does not fit into the
        /// configured size limits.
        answer: Vec<u8>,
    },
}

/// An entry of a journal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The journal it belongs to.
    pub source: Source,
    /// Its sequence number, from 1 without gaps.
    pub number: u64,
    /// Checksum over this entry and the chain value before it; reveals a gap or a changed byte.
    pub chain: u64,
    /// The recorded step.
    pub step: Step,
}
