//! Admission control of the gateways: fair shares, retry budgets and load shedding.
//!
//! Each gateway publishes a coarse summary of its load, by class and tenant, and computes its own shares from the
//! summaries of all gateways. All use the same rules, so their shares fit together. The control thread runs the
//! [`AdmissionController`], which computes a [`ShareTable`]; each traffic loop admits or sheds calls by the latest
//! table with its [`LoopLimiter`]. The crate does no I/O: counters, facts and times go in, facts and tables come out.
#![warn(missing_docs)]

mod capacity;
mod controller;
mod limiter;
mod peer_load;
mod retry_budget;
mod scheduled_retries;
mod settings;
mod simulation;
mod table;
mod types;
mod wait_estimator;
mod water_filling;
mod wire;

pub use controller::AdmissionController;
#[doc(hidden)]
pub use controller::ControllerFault;
#[doc(hidden)]
pub use limiter::LimiterFault;
pub use limiter::LoopLimiter;
pub use settings::{AdmissionError, AdmissionSettings, ClassSettings};
#[doc(hidden)]
pub use simulation::{Action, ArrivalStream, SecondStats, Simulation, SimulationConfig};
pub use table::{Share, ShareTable};
pub use types::{AttemptKind, CallOutcome, CellCounts, Decision, LoopCounts};
pub use wait_estimator::WaitEstimator;
