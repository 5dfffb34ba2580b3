//! Kept calls: what was accepted, is about to be sent and has ended is held by gateways of other sites, and done by
//! them where a site is lost. Free of I/O: inputs and times in, outputs and a next time out.
#![warn(missing_docs)]

mod choose;
mod entry;
mod error;
mod holder;
mod journal;
mod kept;
mod neighbour;
mod seam;
mod types;
mod wire;
mod world;

pub use error::{Fault, Unkept, WireError};
pub use holder::Held;
#[doc(hidden)]
pub use holder::Planted;
pub use journal::Written;
pub use kept::Pending;
pub use seam::{Input, Output, PendingSettings};
pub use types::{Accepted, Again, Entry, Key, Outcome, Source, Step, WallMs};
pub use world::{Damage, Gateway, Said, Sites};
