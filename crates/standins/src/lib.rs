//! Stand-ins of the project's own for what a gateway meets: workers with a shared store, and clients. They
//! speak the same protocols over loopback sockets, do as a script tells them, and record what crossed.
#![warn(missing_docs)]

mod clients;
mod fleet;
mod keys;
mod kv_store;
mod model;
mod store;

pub use clients::{Clients, Plan, Retries, Tally};
pub use fleet::{Fault, Fleet, FleetError};
pub use kv_store::{KvStore, Past, View, Written};
pub use model::WorkerSpec;
pub use store::StoreSpec;
