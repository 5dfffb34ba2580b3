//! Where the list of workers comes from. A [`Source`] gives [`News`]; the file is the first of them.
#![warn(missing_docs)]

mod entry;
mod file;

pub use entry::{Entry, Names, to_member};
pub use file::{RosterFile, write};

use basaltward::Micros;

/// What a source has to say.
#[derive(Clone, Debug, PartialEq)]
pub enum RosterUpdate {
    /// The whole list; who is missing is gone.
    Full(Vec<Entry>),
    /// Changed entries only.
    Changes(Vec<Entry>),
    /// The list could not be had, and why; the previous one stands.
    Failed(String),
}

/// A source of the list of workers.
pub trait Source {
    /// News since the last call, if there is any. Must not block on a peer.
    fn poll(&mut self, now: Micros) -> Option<RosterUpdate>;

    /// When it wants to be asked next.
    fn next_due(&self) -> Micros;
}
