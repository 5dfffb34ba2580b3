//! Scripted days: gateways, stand-in workers and clients in one process on loopback, faults at told times,
//! and a verdict on what crossed the sockets.
#![warn(missing_docs)]

mod harness;
mod runner;
mod script;
mod workload;

pub use harness::{Bed, BedError, Folder, Roster, rule_settings};
pub use runner::{DayError, Verdict, play};
pub use script::{Act, Script, Step, load};
