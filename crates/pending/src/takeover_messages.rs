//! What gateways tell one another of what is taken over, and what an heir puts out.

use crate::resolution::{FirstSend, Resolution};
use crate::types::{Accepted, Entry, Key, Outcome, Source, WallMs};
use basaltward_membership::{MemberId, Micros, SiteMap};
use serde::{Deserialize, Serialize};

/// What we hold of a journal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct JournalSnapshot {
    /// Whose.
    pub source: Source,
    /// The number of its last line that we hold; nothing before it is missing but what was over.
    pub through: u64,
    /// The latest that its writer has said to have written.
    pub head: u64,
    /// For how long we have not heard of its writer.
    pub silent_for: Micros,
    /// What matters of it yet, by number.
    pub entries: Vec<Entry>,
}

/// Why something of a journal is not known.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, strum::VariantNames,
)]
pub enum LossReason {
    /// It was written and came to nobody who lives.
    Missing,
    /// Two hold different lines under one number.
    Contradicted,
    /// Nobody who lives holds anything of it: there was nothing, or it is lost with all who held it.
    Unheld,
}

/// What is not known, and not guessed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
#[error(
    "journal {source_of:?}: lines {from} to {to:?} are gone ({why:?}): ask the clients of that gateway for what had no answer"
)]
pub struct JournalLoss {
    /// Whose journal.
    pub source_of: Source,
    /// The first line.
    pub from: u64,
    /// The last, where that is known.
    pub to: Option<u64>,
    /// Why.
    pub why: LossReason,
}

/// What became of an event, for whoever is told of it again.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EventStatus {
    /// It will be done; by whom is not settled.
    Unassigned,
    /// This gateway does it.
    OwnedBy(MemberId),
    /// It has ended; the answer is empty where there was none or it was too long to be kept.
    Ended(Outcome, Vec<u8>),
}

impl EventStatus {
    /// Bytes of the answer that it holds.
    pub fn answer_bytes(&self) -> usize {
        if let Self::Ended(_, answer) = self { answer.len() } else { 0 }
    }
}

/// Whose an event is, to whoever answers a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimDecision {
    /// The asker's.
    Granted,
    /// The answerer's.
    Denied,
    /// Nobody's any more.
    Ended(Outcome, Vec<u8>),
}

/// What a peer answers of an event that is claimed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimReply {
    /// Which event.
    pub key: Key,
    /// Whose it is.
    pub decision: ClaimDecision,
    /// Whether it was sent, as far as the answerer could know.
    pub first_send: FirstSend,
    /// The line by which it was accepted and the chain there, where the answerer holds it.
    pub accepted_entry: Option<(Source, u64, u64)>,
    /// How far the answerer's copy of the journal that was named goes, and how far it was written as it knows.
    pub log_extent: Option<(u64, u64)>,
    /// Of some other journal of a lost gateway the answerer lacks something.
    pub other_journal_incomplete: bool,
}

/// What gateways tell one another of what is taken over.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TakeoverMessage {
    /// I would end these, accepted by these lines. Not answered before the answerer has begun with that journal.
    Claim(Vec<(Key, Source, u64)>),
    /// The answer, by one that lives for so long.
    ClaimReplies {
        /// Since its start.
        age: Micros,
        /// For each event of which it could say anything.
        replies: Vec<ClaimReply>,
    },
    /// These have ended so.
    Ended(Vec<(Key, Outcome, Vec<u8>)>),
    /// Do you hold anything of this gateway's lives up to this one? Answered by whoever has begun with it.
    HoldsQuery(MemberId, u64),
    /// Whether any.
    HoldsReply(MemberId, bool),
    /// My life began, and this one is over; what was done with what it and those before had pending, after this event?
    /// Taken up only when what was promised to the asker has run out.
    ReturnQuery {
        /// The life that is over.
        life: u64,
        /// The last event told before.
        after: Option<Key>,
    },
    /// A part of that.
    ReturnReply {
        /// The life that was asked about.
        life: u64,
        /// By event, with its deadline.
        statuses: Vec<(Key, WallMs, EventStatus)>,
        /// The last of this part, where there is more.
        more: Option<Key>,
    },
}

/// Figures of an heir.
#[derive(Clone, Debug)]
pub struct RecoverySettings {
    /// Which gateway stands at which site.
    pub site_map: SiteMap,
    /// Our life: those before it are over.
    pub life: u64,
    /// How many gateways hold an entry, by class.
    pub holders: Vec<u8>,
    /// Wall clocks differ by up to this.
    pub clock_skew_ms: WallMs,
    /// Events of lost owners that are out to workers at once, at most.
    pub concurrency: usize,
    /// And that begin in a second.
    pub rate: u32,
    /// An event that is over is remembered for so long past its deadline.
    pub retention_ms: WallMs,
}

/// What an heir does or wants done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RecoveryOutput {
    /// For another gateway.
    Send(MemberId, TakeoverMessage),
    /// The event is ours, to be ended so by a worker: it goes the way of one that was accepted here, journal and lease
    /// included, with its first byte said to have left at `first` if it did. Its end is told by [`Recovery::over`].
    Adopt {
        /// The event.
        accepted: Accepted,
        /// When it was first sent.
        first_send_at: Option<WallMs>,
        /// What is done: one of those that run.
        resolution: Resolution,
    },
    /// The event has ended here and no worker is asked.
    Resolved {
        /// The event.
        key: Key,
        /// How.
        resolution: Resolution,
        /// For repeats.
        outcome: Outcome,
        /// The answer, where there is one.
        answer: Vec<u8>,
    },
    /// Something is not known.
    JournalLoss(JournalLoss),
    /// All that a gateway's peer knows of our earlier lives has come: [`crate::Return::learnt`].
    ReturnLearned(MemberId),
}

/// How events of lost owners have ended here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RecoveryCounts {
    /// Never sent, and run here.
    pub run: u64,
    /// Safe, and run again.
    pub run_again: u64,
    /// FirstSend again under their keys.
    pub same_key: u64,
    /// Not run, as they may have.
    pub may_have_run: u64,
    /// Past their time.
    pub expired: u64,
    /// Let go.
    pub dropped: u64,
    /// Parts of journals that are not known.
    pub journal_losses: u64,
}
