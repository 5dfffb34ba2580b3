//! Messages between gateways during a takeover, and outputs of the recovery.

use crate::resolution::{FirstSend, Resolution};
use crate::types::{Accepted, Entry, Key, Outcome, Source, WallMs};
use basaltward_membership::{MemberId, Micros, SiteMap};
use serde::{Deserialize, Serialize};

/// The part of a journal that is stored here.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct JournalSnapshot {
    /// The journal.
    pub source: Source,
    /// Number of the last entry stored here. Only entries that were no longer needed are missing before it.
    pub through: u64,
    /// Number of the last entry that the writer is known to have written.
    pub head: u64,
    /// Time since the last message from the writer.
    pub silent_for: Micros,
    /// The entries that still have a payload, by number.
    pub entries: Vec<Entry>,
}

/// Why a part of a journal is missing.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, strum::VariantNames,
)]
pub enum LossReason {
    /// It was written but no reachable gateway has it.
    Missing,
    /// Two gateways have different entries under the same number.
    Contradicted,
    /// No reachable gateway has any part of it: it was empty, or all its holders are lost.
    Unheld,
}

/// A part of a journal that is missing; its contents are unknown and not reconstructed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
#[error(
    "journal {source_of:?}: entries {from} to {to:?} are lost ({why:?}): ask the clients of that gateway which \
     events had no answer"
)]
pub struct JournalLoss {
    /// The journal.
    pub source_of: Source,
    /// Number of the first missing entry.
    pub from: u64,
    /// Number of the last missing entry, if known.
    pub to: Option<u64>,
    /// The reason.
    pub why: LossReason,
}

/// Status of an event of a lost gateway or an earlier life, for answering repeats.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EventStatus {
    /// It will be completed; no gateway owns it yet.
    Unassigned,
    /// This gateway owns it.
    OwnedBy(MemberId),
    /// It has ended. The answer is empty if there was none or it was too long to be recorded.
    Ended(Outcome, Vec<u8>),
}

impl EventStatus {
    /// Length of the recorded answer in bytes.
    pub fn answer_bytes(&self) -> usize {
        if let Self::Ended(_, answer) = self { answer.len() } else { 0 }
    }
}

/// A peer's decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimDecision {
    /// The claimant may take the event.
    Granted,
    /// The responder takes the event itself.
    Denied,
    /// The event has already ended.
    Ended(Outcome, Vec<u8>),
}

/// A peer's reply to the claim of one event.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimReply {
    /// The event.
    pub key: Key,
    /// The decision.
    pub decision: ClaimDecision,
    /// Whether the event was sent, according to the responder's records.
    pub first_send: FirstSend,
    /// The entry that accepted the event (journal, number, chain value), if the responder has it.
    pub accepted_entry: Option<(Source, u64, u64)>,
    /// The last entry of the claimed journal that the responder has, and the last that was written
    /// according to its records.
    pub journal_extent: Option<(u64, u64)>,
    /// The responder lacks entries of some other journal of a lost gateway.
    pub other_journal_incomplete: bool,
}

/// Messages between gateways about events that are taken over.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TakeoverMessage {
    /// Claims events, each with the journal and the number of the entry that accepted it. A gateway ignores the claim
    /// until it has itself begun to take over that journal.
    Claim(Vec<(Key, Source, u64)>),
    /// The answer to [`TakeoverMessage::Claim`].
    ClaimReplies {
        /// Time since the responder started.
        age: Micros,
        /// One reply for each claimed event that the responder could decide on.
        replies: Vec<ClaimReply>,
    },
    /// Events have ended, each with its outcome and answer.
    Ended(Vec<(Key, Outcome, Vec<u8>)>),
    /// Queries whether the receiver has any part of the journals of this gateway up to this life. Answered only by a
    /// gateway that has begun to take over that life.
    HoldsQuery(MemberId, u64),
    /// The answer to [`TakeoverMessage::HoldsQuery`]: whether it has any part.
    HoldsReply(MemberId, bool),
    /// The sender started a new life and queries the status of the events that its lives up to `life` had pending.
    /// Processed only after all promises to the sender have expired.
    ReturnQuery {
        /// The last life that has ended.
        life: u64,
        /// The last event of the previous part of the answer.
        after: Option<Key>,
    },
    /// A part of the answer to [`TakeoverMessage::ReturnQuery`].
    ReturnReply {
        /// The life from the query.
        life: u64,
        /// Status of each event, with its deadline.
        statuses: Vec<(Key, WallMs, EventStatus)>,
        /// The last event of this part, if there are more parts.
        more: Option<Key>,
    },
}

/// Settings of the recovery of events of lost gateways.
#[derive(Clone, Debug)]
pub struct RecoverySettings {
    /// The site of each gateway.
    pub site_map: SiteMap,
    /// This gateway's life; all before it have ended.
    pub life: u64,
    /// Number of holders that an entry must have, by class.
    pub holders: Vec<u8>,
    /// Maximum difference between the wall clocks of two gateways.
    pub clock_skew_ms: WallMs,
    /// Maximum number of recovered events that run on workers at the same time.
    pub concurrency: usize,
    /// Maximum number of recovered events that start per second.
    pub rate: u32,
    /// How long an ended event is remembered past its deadline.
    pub retention_ms: WallMs,
}

/// Outputs of the recovery.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RecoveryOutput {
    /// Send a message to another gateway.
    Send(MemberId, TakeoverMessage),
    /// This gateway owns the event now and runs it: it is processed like an event that was accepted here, journal and
    /// lease included. Its end is reported by [`crate::Recovery::ended`].
    Adopt {
        /// The event.
        accepted: Accepted,
        /// When its first byte was sent, if it was.
        first_send_at: Option<WallMs>,
        /// The decision, one of those that run the event.
        resolution: Resolution,
    },
    /// The event was ended without running it.
    Resolved {
        /// The event.
        key: Key,
        /// The decision.
        resolution: Resolution,
        /// The outcome reported to repeats.
        outcome: Outcome,
        /// The recorded answer, or empty.
        answer: Vec<u8>,
    },
    /// A part of a journal is missing.
    JournalLoss(JournalLoss),
    /// A peer has reported all its records of this gateway's earlier lives, see
    /// [`crate::Rejoin::on_peer_answered`].
    ReturnLearned(MemberId),
}

/// Number of events of lost gateways by decision, and of missing parts of journals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RecoveryCounts {
    /// Never sent before, run here.
    pub run: u64,
    /// Safe to repeat, run again.
    pub run_again: u64,
    /// Sent again under their keys.
    pub same_key: u64,
    /// Not run, as they may have run before.
    pub may_have_run: u64,
    /// Past their deadline.
    pub expired: u64,
    /// Dropped, as no client waits and a repeat may run.
    pub dropped: u64,
    /// Missing parts of journals.
    pub journal_losses: u64,
}
