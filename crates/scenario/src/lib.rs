//! Scripted days: gateways, stand-in workers and clients in one process on loopback, faults at told times,
//! and a verdict on what crossed the sockets.
#![warn(missing_docs)]

mod bed;
mod calls;
mod day;
mod script;

pub use bed::{Bed, BedError, Folder, Roster, rule_settings};
pub use day::{DayError, Verdict, play};
pub use script::{Act, Script, Step, load};
