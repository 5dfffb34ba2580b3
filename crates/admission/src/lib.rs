//! What the fleet sheds, decided alike by all of its gateways: each tells coarsely what comes and what is served, by
//! class and tenant; from what all tell each works out the same shares. A loop asks at its door, by a whole table that
//! the control thread last made. Free of I/O: counts, facts and times in, facts and tables out.
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
