//! Which site answers a call: the pressure ratio one floor higher. By told tables of what each site has warm, how long its
//! queue is and how far it is, each function has a cost at each site; a call is answered where that is least, and a
//! function's home moves only past a threshold. Free of I/O: counts, frames of other sites and times in, frames and tables
//! out.
#![warn(missing_docs)]

mod controller;
mod counters;
mod handover;
mod homes;
mod planner;
mod router;
mod settings;
mod simulation;
mod site_stats;
mod types;
mod wire;

pub use controller::RoutingController;
pub use handover::handover_deadline;
pub use router::Router;
pub use settings::{FunctionSpec, RoutingError, RoutingSettings};
pub use simulation::{CompletedCall, DirectedLink, ModelFunction, Policy, Simulation, SimulationSettings};
#[doc(hidden)]
pub use types::Fault;
pub use types::{
    Destination, FunctionCounts, Handover, HandoverOutcome, LoopCounts, MAX_REMOTE_ROUTES, RemoteRoute,
    RoutingTable, Row,
};
