//! Where the list of workers comes from. A [`Source`] gives [`News`]; the file is the first of them.
#![warn(missing_docs)]

mod entry;
mod file;

pub use entry::{Entry, Names, place};
pub use file::{RosterFile, write};

use basaltward::Micros;

/// What a source has to say.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// The whole list; who is missing is gone.
    Whole(Vec<Entry>),
    /// Changed entries only.
    Changes(Vec<Entry>),
    /// The list could not be had, and why; the previous one stands.
    Failed(String),
}

/// A source of the list of workers.
pub trait Source {
    /// News since the last call, if there is any. Must not block on a peer.
    fn poll(&mut self, now: Micros) -> Option<News>;

    /// When it wants to be asked next.
    fn next_due(&self) -> Micros;
}
