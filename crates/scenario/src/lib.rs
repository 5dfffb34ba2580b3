//! Scripted scenarios: gateways, fake workers and clients in one process on loopback, faults at given times, and a
//! verdict on the recorded traffic.
#![warn(missing_docs)]

mod harness;
mod runner;
mod script;
mod workload;

pub use harness::{Harness, HarnessError, RosterFile, TempDir, rule_settings};
pub use runner::{ScenarioError, Verdict, run_scenario};
pub use script::{Action, Scenario, TimedAction, load};
