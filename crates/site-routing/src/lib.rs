//! Routing of calls between sites.
//!
//! Gateways gossip what each site has: warm copies, queues, load and the function's home sites. From these reports and
//! from measured round-trip times follows a cost for each function at each site. A call goes to the site with the least
//! cost; the home of a function only moves when another site is cheaper by a threshold.
//!
//! The crate performs no I/O: call counts, received frames and the current time go in, frames to send and routing tables
//! come out.
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
