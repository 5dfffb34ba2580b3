//! Kept calls: what was accepted, is about to be sent and has ended is held by gateways of other sites, and done by
//! them where a site is lost. Free of I/O: inputs and times in, outputs and a next time out.
#![warn(missing_docs)]

mod ends;
mod lease;
mod rebuild;
mod takeover;
mod types;
mod words;

pub use ends::{Case, End, Sent, end};
pub use lease::{Lease, Promises, Refused, Terms};
pub use rebuild::Heirs;
#[doc(hidden)]
pub use rebuild::Planted as HeirsPlanted;
#[doc(hidden)]
pub use takeover::Planted as WatchPlanted;
pub use takeover::{Return, Step as ReturnStep, Turn, Watch};
pub use types::{Accepted, Again, Entry, Key, Outcome, Source, Step, WallMs};
pub use words::{Copy, Counted, Fate, Gone, Heir, HeirsSettings, Say, Stand, Why, Word};
