//! Sources of the list of workers. A [`Source`] returns [`RosterUpdate`]s; [`RosterFile`] reads them from a file.
#![warn(missing_docs)]

mod entry;
mod file;

pub use entry::{Entry, Names, to_member};
pub use file::{RosterFile, write};

use basaltward::Micros;

/// An update of the list of workers.
#[derive(Clone, Debug, PartialEq)]
pub enum RosterUpdate {
    /// The whole list; workers that are missing in it are gone.
    Full(Vec<Entry>),
    /// Only the changed entries.
    Changes(Vec<Entry>),
    /// The list could not be read, with the reason; the previous list stays in use.
    Failed(String),
}

/// A source of the list of workers.
pub trait Source {
    /// Returns the update since the last call, if there is any; `now` is in microseconds of the caller's monotonic
    /// clock. Must not block on the network.
    fn poll(&mut self, now: Micros) -> Option<RosterUpdate>;

    /// When the next [`Source::poll`] is due, on the same clock.
    fn next_due(&self) -> Micros;
}
