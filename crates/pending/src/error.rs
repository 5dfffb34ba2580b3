//! Errors of entries, frames and journals. Each message says what an operator can do.

use crate::types::{Key, Source};
use basaltward_membership::MemberId;

/// Why an event was not replicated, or may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::VariantNames)]
pub enum ReplicationError {
    /// The class does not replicate events.
    #[error(
        "class {0} does not replicate events: set pending=\"kept\" for it in the settings of all gateways"
    )]
    #[strum(serialize = "Class")]
    ClassNotReplicated(u16),
    /// An event with this key is already pending here.
    #[error("event {0:?} is already pending here: its client sent it again before it was answered")]
    #[strum(serialize = "Doubled")]
    AlreadyPending(Key),
    /// No event with this key is pending here.
    #[error("event {0:?} is not pending here: it was never accepted, has ended or has expired")]
    #[strum(serialize = "Unknown")]
    NotPending(Key),
    /// The event is longer than an entry may be.
    #[error(
        "an event of {bytes} bytes exceeds entry-bytes={most}: raise it at all gateways, or send smaller events"
    )]
    #[strum(serialize = "Long")]
    TooLong {
        /// Length in bytes of the event and its function's name.
        bytes: usize,
        /// The limit.
        most: usize,
    },
    /// The journal has reached its size limit.
    #[error(
        "the journal holds {held} bytes and journal-bytes={most}: raise it at all gateways, or check why events \
         don't end"
    )]
    Full {
        /// Bytes in the journal.
        held: usize,
        /// The limit.
        most: usize,
    },
    /// Fewer gateways of other sites are live than the class requires. Nothing was written.
    #[error(
        "{live} gateways of other sites are live and the class requires {required}: start more, or lower holders"
    )]
    #[strum(serialize = "Few")]
    TooFewHolders {
        /// Number of holders that the class requires.
        required: u8,
        /// Number of gateways of other sites that are live.
        live: u8,
    },
    /// This gateway has not learned yet which of its events others completed while it was down.
    #[error(
        "events are not accepted until the voters and all live gateways have reported the outcome of earlier ones: \
         check them"
    )]
    #[strum(serialize = "Away")]
    NotReady,
    /// The event must not run twice, and there is no valid lease under which it may be sent.
    #[error("no valid lease: check the links to other sites, whose gateways have not answered in time")]
    #[strum(serialize = "Lease")]
    NoLease,
    /// The entry was not acknowledged in time. Some holder may still have it, so it is unknown whether the event may
    /// be taken over and run.
    #[error(
        "not replicated within {waited} us: check the links to other sites, and the faults that their gateways log"
    )]
    #[strum(serialize = "Late")]
    Timeout {
        /// Time since it was written, in microseconds.
        waited: u64,
    },
}

/// Why a frame from another gateway was rejected. No part of it was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::VariantNames)]
pub enum WireError {
    /// The frame has an unknown version.
    #[error("a frame has version {0:#04x}: run the same version at all gateways")]
    Version(u8),
    /// The frame was corrupted or truncated.
    #[error("a frame was corrupted or truncated: check the link; it will be sent again")]
    Checksum,
    /// The frame's message can't be decoded.
    #[error("a frame can't be decoded: run the same version at all gateways")]
    #[strum(serialize = "Content")]
    Malformed,
    /// The frame exceeds the size limit.
    #[error("a frame of {0} bytes is too long: set the same entry-bytes at all gateways")]
    #[strum(serialize = "Long")]
    TooLong(usize),
    /// The frame is about a journal that is not the sender's.
    #[error(
        "a frame from gateway {0} is about the journal of another gateway: check the lists of peers, which differ"
    )]
    #[strum(serialize = "Foreign")]
    ForeignJournal(MemberId),
}

/// A detected fault of a journal: entries that differ from what was written or that were not stored. They are
/// reported and requested again, never reconstructed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::VariantNames)]
pub enum JournalFault {
    /// Entries are missing. The writer sends them again.
    #[error(
        "journal {of:?}: entries {from} to {to} are missing; nothing to do if this ends with a reconnect"
    )]
    Gap {
        /// The journal.
        of: Source,
        /// Number of the first missing entry.
        from: u64,
        /// Number of the last missing entry.
        to: u64,
    },
    /// An entry does not match its checksum. The writer sends it again.
    #[error(
        "journal {of:?}: entry {number} was corrupted: check the memory of both hosts if this happens again"
    )]
    #[strum(serialize = "Broken")]
    Corrupt {
        /// The journal.
        of: Source,
        /// Number of the entry.
        number: u64,
    },
    /// The storage for journals of others is full: this entry and those after it were not stored.
    #[error("journal {of:?}: no space for entry {number}: raise journal-bytes, or add gateways")]
    Full {
        /// The journal.
        of: Source,
        /// Number of the first entry that was not stored.
        number: u64,
    },
    /// The writer was taken over: no more entries of this life of it are accepted.
    #[error(
        "journal {of:?}: its owner was taken over; nothing to do, it starts a new journal once it notices"
    )]
    #[strum(serialize = "Taken")]
    TakenOver {
        /// The journal.
        of: Source,
    },
    /// This gateway stores nothing of the journal: it was never started here, or was lost with an earlier life.
    #[error("journal {of:?}: no replica is stored here; nothing to do, its writer sends it from the start")]
    #[strum(serialize = "Nothing")]
    UnknownJournal {
        /// The journal.
        of: Source,
    },
    /// A frame was rejected.
    #[error("from gateway {from}: {error}")]
    Frame {
        /// The sender.
        from: MemberId,
        /// Why it was rejected.
        error: WireError,
    },
}
