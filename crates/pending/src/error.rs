//! What is wrong with an entry, a frame or a journal; each text says what an operator can do.

use crate::types::{Key, Source};
use basaltward_membership::MemberId;

/// Why an event is not kept, or not kept any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::VariantNames)]
pub enum ReplicationError {
    /// The class keeps nothing.
    #[error("class {0} keeps no events: give it pending=\"kept\" in the settings of all gateways alike")]
    Class(u16),
    /// An event of this name is pending here already.
    #[error("event {0:?} is pending here already: its client repeats it before it has its answer")]
    Doubled(Key),
    /// No such event is pending here.
    #[error("event {0:?} is not pending here: it was never kept, has ended or was given up")]
    Unknown(Key),
    /// The event is longer than an entry may be.
    #[error("an event of {bytes} bytes is over entry-bytes={most}: raise it at all gateways, or send less")]
    Long {
        /// Its length.
        bytes: usize,
        /// The bound.
        most: usize,
    },
    /// What is pending here fills its bound.
    #[error(
        "{held} bytes are pending here and journal-bytes={most}: raise it at all gateways, or look why events don't \
         end"
    )]
    Full {
        /// Bytes of what is pending.
        held: usize,
        /// The bound.
        most: usize,
    },
    /// Too few gateways of other sites are live. Nothing was written.
    #[error(
        "{live} gateways of other sites can hold an entry and the class wants {told}: start more, or lower holders"
    )]
    Few {
        /// How many the class wants.
        told: u8,
        /// How many there are.
        live: u8,
    },
    /// This gateway has yet to learn what was done in its place.
    #[error(
        "not taken before the voters and all live gateways have said what was done in our place: look at them"
    )]
    Away,
    /// The event must not run twice and no lease stands under which it may be sent.
    #[error("no lease stands: look at the links to other sites, whose gateways have not answered in time")]
    Lease,
    /// It was not held in time. Some holder may have it, so that it is not known that it never runs.
    #[error(
        "not held within {waited} us: look at the links to other sites and at what their gateways refuse"
    )]
    Late {
        /// How long it was waited for.
        waited: u64,
    },
}

/// What is wrong with a frame from another gateway. Nothing of it was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::VariantNames)]
pub enum WireError {
    /// Of another version.
    #[error("a frame of version {0:#04x}: run the same version at all gateways")]
    Version(u8),
    /// Changed or cut on its way.
    #[error("a frame was changed or cut on its way: look at the link; it is sent again")]
    Checksum,
    /// It says what nothing here understands.
    #[error("a frame that can't be read: run the same version at all gateways")]
    Content,
    /// Longer than any frame.
    #[error("a frame of {0} bytes: give all gateways the same entry-bytes")]
    Long(usize),
    /// It names a journal that is not the sender's.
    #[error("a frame from gateway {0} about another's journal: look at the lists of peers, which differ")]
    Foreign(MemberId),
}

/// What is named and never filled: a journal as it came differs from what was written, or is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::VariantNames)]
pub enum JournalFault {
    /// Entries are missing. They are asked for again.
    #[error(
        "journal {of:?}: entries {from} to {to} are missing; nothing to do if this ends with a reconnect"
    )]
    Gap {
        /// Whose journal.
        of: Source,
        /// The first that is missing.
        from: u64,
        /// The last.
        to: u64,
    },
    /// An entry is not the one that was written. It is asked for again.
    #[error(
        "journal {of:?}: entry {number} was changed: look at the memory of both hosts if this comes back"
    )]
    Broken {
        /// Whose journal.
        of: Source,
        /// Its number.
        number: u64,
    },
    /// What is held for others fills its bound: the entry and those after it are not taken.
    #[error("journal {of:?}: no room for entry {number}: raise journal-bytes, or add gateways")]
    Full {
        /// Whose journal.
        of: Source,
        /// The first that was not taken.
        number: u64,
    },
    /// Its owner was taken over: nothing more of this life of it is taken.
    #[error(
        "journal {of:?}: its owner was taken over; nothing to do, it begins another once it has learnt of it"
    )]
    Taken {
        /// Whose journal.
        of: Source,
    },
    /// Nothing of this journal is held here: it was never begun, or lost with an earlier life.
    #[error("journal {of:?}: nothing of it is held; nothing to do, its writer begins anew")]
    Nothing {
        /// Whose journal.
        of: Source,
    },
    /// A frame could not be read.
    #[error("from gateway {from}: {error}")]
    Frame {
        /// Who sent it.
        from: MemberId,
        /// What is wrong.
        error: WireError,
    },
}
