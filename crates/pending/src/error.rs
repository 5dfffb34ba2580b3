//! Errors of entries, frames and journals. Each message says what an operator can do.

use crate::types::{Key, Source};
use basaltward_membership::MemberId;

/// Why an event was not replicated, or may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::VariantNames)]
pub enum ReplicationError {
    /// The class does not replicate events.
    #[error("class {0} keeps no events: give it pending=\"kept\" in the settings of all gateways alike")]
    Class(u16),
    /// An event with this key is already pending here.
    #[error("event {0:?} is pending here already: its client repeats it before it has its answer")]
    Doubled(Key),
    /// No event with this key is pending here.
    #[error("event {0:?} is not pending here: it was never kept, has ended or was given up")]
    Unknown(Key),
    /// The event is longer than an entry may be.
    #[error("an event of {bytes} bytes is over entry-bytes={most}: raise it at all gateways, or send less")]
    Long {
        /// Length in bytes of the event and its function's name.
        bytes: usize,
        /// The limit.
        most: usize,
    },
    /// The journal has reached its size limit.
    #[error(
        "{held} bytes are pending here and journal-bytes={most}: raise it at all gateways, or look why events don't \
         end"
    )]
    Full {
        /// Bytes in the journal.
        held: usize,
        /// The limit.
        most: usize,
    },
    /// Fewer gateways of other sites are live than the class requires. Nothing was written.
    #[error(
        "{live} gateways of other sites can hold an entry and the class wants {told}: start more, or lower holders"
    )]
    Few {
        /// Number of holders that the class requires.
        told: u8,
        /// Number of gateways of other sites that are live.
        live: u8,
    },
    /// This gateway does not know yet which of its events others completed while it was down.
    #[error(
        "not taken before the voters and all live gateways have said what was done in our place: look at them"
    )]
    Away,
    /// The event must not run twice, and there is no valid lease under which it may be sent.
    #[error("no lease stands: look at the links to other sites, whose gateways have not answered in time")]
    Lease,
    /// The entry was not acknowledged in time. Some holder may still have it, so it is unknown whether the event may
    /// be taken over and run.
    #[error(
        "not held within {waited} us: look at the links to other sites and at what their gateways refuse"
    )]
    Late {
        /// Time since it was written, in microseconds.
        waited: u64,
    },
}

/// Why a frame from another gateway was rejected. No part of it was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::VariantNames)]
pub enum WireError {
    /// The frame has an unknown version.
    #[error("a frame of version {0:#04x}: run the same version at all gateways")]
    Version(u8),
    /// The frame was corrupted or truncated.
    #[error("a frame was changed or cut on its way: look at the link; it is sent again")]
    Checksum,
    /// The frame's message can't be decoded.
    #[error("a frame that can't be read: run the same version at all gateways")]
    Content,
    /// The frame exceeds the size limit.
    #[error("a frame of {0} bytes: give all gateways the same entry-bytes")]
    Long(usize),
    /// The frame is about a journal that is not the sender's.
    #[error("a frame from gateway {0} about another's journal: look at the lists of peers, which differ")]
    Foreign(MemberId),
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
        "journal {of:?}: entry {number} was changed: look at the memory of both hosts if this comes back"
    )]
    Broken {
        /// The journal.
        of: Source,
        /// Number of the entry.
        number: u64,
    },
    /// The storage for journals of others is full: this entry and those after it were not stored.
    #[error("journal {of:?}: no room for entry {number}: raise journal-bytes, or add gateways")]
    Full {
        /// The journal.
        of: Source,
        /// Number of the first entry that was not stored.
        number: u64,
    },
    /// The writer was taken over: no more entries of this life of it are accepted.
    #[error(
        "journal {of:?}: its owner was taken over; nothing to do, it begins another once it has learnt of it"
    )]
    Taken {
        /// The journal.
        of: Source,
    },
    /// This gateway stores nothing of the journal: it was never started here, or was lost with an earlier life.
    #[error("journal {of:?}: nothing of it is held; nothing to do, its writer begins anew")]
    Nothing {
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
