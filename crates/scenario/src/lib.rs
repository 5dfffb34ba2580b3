//! Scripted days: gateways, stand-in workers and clients in one process on loopback, faults at told times,
//! and a verdict on what crossed the sockets.
#![warn(missing_docs)]

mod harness;
mod runner;
mod script;
mod workload;

pub use harness::{Harness, HarnessError, RosterFile, TempDir, rule_settings};
pub use runner::{ScenarioError, Verdict, run_scenario};
pub use script::{Action, Scenario, TimedAction, load};
