//! Hollow members: hundreds to thousands of fleet members in one process, beside real processes of the program.
//!
//! A hollow member (the term is that of hollow nodes in Kubernetes) runs the program's own membership code (state
//! machine, codec and socket handling) on a socket of its own. It serves no calls; the call counts that it gossips
//! are random. Real and hollow members have the same list of addresses and exchange the same datagrams over loopback.
//!
//! The process of the hollow members injects delays, losses and partitions: into datagrams of a hollow member before
//! they are written to the socket, and into datagrams of a real process before the hollow member processes them.
//! Datagrams between two real processes cross loopback without faults, so all real processes are in one zone.

mod conditions;
mod counters;
mod error;
mod probe;
mod real_members;
mod report;
mod resources;
mod run;
mod script;
mod shard;
mod shards;
mod socket_drops;
mod topology;

pub use conditions::{Delays, NetworkConditions, Partition};
pub use counters::{LoopCounters, Window};
pub use error::HollowError;
pub use report::{CSV_HEADER, HollowReport, Row, Value, csv_rows};
pub use resources::{MachineLimits, ResourceEstimate};
pub use run::run_hollow;
pub(crate) use script::read_hollow;
pub use script::{HollowAction, HollowScript, HollowSpec, HollowStep};
pub use socket_drops::{socket_drops, total_drops};
pub use topology::Topology;
