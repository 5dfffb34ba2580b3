//! Kept calls: what was accepted, is about to be sent and has ended is held by gateways of other sites, and done by
//! them where a site is lost. Free of I/O: inputs and times in, outputs and a next time out.
#![warn(missing_docs)]

mod holder_selection;
mod claims;
mod resolution;
mod entry;
mod error;
mod inspect;
mod holder;
mod journal;
mod pending_events;
mod lease;
mod holder_progress;
mod owner;
mod recovery;
mod interface;
mod takeover;
mod types;
mod wire;
mod takeover_messages;
mod simulation;

pub use resolution::{Case, End, Sent, end};
pub use error::{Fault, Unkept, WireError};
pub use inspect::{Glance, glance};
#[doc(hidden)]
pub use holder::Planted;
pub use journal::Written;
pub use pending_events::Pending;
pub use lease::{Lease, Promises, Refused, Terms};
pub use owner::{owner, taken};
pub use recovery::Heirs;
#[doc(hidden)]
pub use recovery::Planted as HeirsPlanted;
pub use interface::{Input, Output, PendingSettings};
#[doc(hidden)]
pub use takeover::Planted as WatchPlanted;
pub use takeover::{Return, Step as ReturnStep, Turn, Watch};
pub use types::{Accepted, Again, Entry, Key, Outcome, Source, Step, WallMs};
pub use takeover_messages::{Copy, Counted, Fate, Gone, Heir, HeirsSettings, Say, Stand, Why, Word};
pub use simulation::{Damage, Gateway, Said, Sites};
