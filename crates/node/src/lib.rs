//! The live scheduler of a platform. It connects the engine and its module to clients that use framed Thrift, to
//! workers that use a line protocol, and to the bulletin that lists the workers. One loop on one thread moves the
//! bytes; every decision on a call is the module's.
#![warn(missing_docs)]

mod budget;
mod config;
mod discovery_log;
mod front;
mod gossip;
mod gossip_wire;
mod instance_directory;
mod job;
mod links;
mod members;
mod node;
mod payload;
mod peers;
mod recent_ids;
mod recorder;
mod send_progress;
mod start_times;

pub use budget::Budget;
pub use config::{ConfigError, FleetConfig, NodeConfig, load};
#[doc(hidden)]
pub use instance_directory::InstanceDirectory;
pub use node::{Control, Node, NodeError};
