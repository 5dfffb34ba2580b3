//! Hollow members: hundreds to thousands of fleet members in one process, beside real processes of the program.
//!
//! A hollow member is the program's own membership code (state machine, codec and socket handling) on a socket of its
//! own; the calls that it tells the fleet of are drawn by chance, not served. Real and hollow members hold the same list
//! of addresses and exchange the same datagrams over loopback.
//!
//! Delays, losses and cuts are applied by the process of the hollow members: to what one of them sends before it goes to
//! the socket, and to what comes from a real process before the member reads it. Datagrams between two real processes
//! cross loopback untouched, so all real processes stand in one zone.

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
pub(crate) use script::hollow;
pub use script::{HollowAction, HollowScript, HollowSpec, HollowStep};
pub use socket_drops::{socket_drops, total_drops};
pub use topology::Topology;
