//! Kept calls: what was accepted, is about to be sent and has ended is held by gateways of other sites, and done by
//! them where a site is lost. Free of I/O: inputs and times in, outputs and a next time out.
#![warn(missing_docs)]

mod types;

pub use types::{Accepted, Again, Entry, Key, Outcome, Source, Step, WallMs};
