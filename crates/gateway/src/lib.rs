//! The running gateway: a CloudEvents front, the engine with the controller, and links to the workers, joined
//! by one loop for each thread. Nothing here decides about a call.
#![warn(missing_docs)]

mod channels;
mod control;
mod front;
mod handover_wire;
mod links;
mod problem;
mod replicated;
mod run;
mod scheduler;
mod sites;
mod tables;
mod worker_wire;

pub use front::extensions;
pub use run::{Gateway, GatewayError, LoopMode};
pub use worker_wire::{Reply, fields};
