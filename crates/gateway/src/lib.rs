//! The HTTP gateway: accepts CloudEvents, passes them as calls to the scheduling engine, and carries out the engine's
//! decisions on connections to workers. One loop runs on each thread; a control thread handles the links to gateways of
//! other sites. Scheduling decisions are made in the engine, not here.
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
