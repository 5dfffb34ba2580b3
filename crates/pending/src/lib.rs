//! Kept calls: what was accepted, is about to be sent and has ended is held by gateways of other sites, and done by
//! them where a site is lost. Free of I/O: inputs and times in, outputs and a next time out.
#![warn(missing_docs)]

mod choose;
mod ends;
mod entry;
mod error;
mod holder;
mod journal;
mod kept;
mod lease;
mod neighbour;
mod owner;
mod rebuild;
mod seam;
mod takeover;
mod types;
mod wire;
mod words;
mod world;

pub use ends::{Case, End, Sent, end};
pub use error::{Fault, Unkept, WireError};
#[doc(hidden)]
pub use holder::Planted;
pub use journal::Written;
pub use kept::Pending;
pub use lease::{Lease, Promises, Refused, Terms};
pub use owner::{owner, taken};
pub use rebuild::Heirs;
#[doc(hidden)]
pub use rebuild::Planted as HeirsPlanted;
pub use seam::{Input, Output, PendingSettings};
#[doc(hidden)]
pub use takeover::Planted as WatchPlanted;
pub use takeover::{Return, Step as ReturnStep, Turn, Watch};
pub use types::{Accepted, Again, Entry, Key, Outcome, Source, Step, WallMs};
pub use words::{Copy, Counted, Fate, Gone, Heir, HeirsSettings, Say, Stand, Why, Word};
pub use world::{Damage, Gateway, Said, Sites};
