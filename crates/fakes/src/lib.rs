//! Stand-ins of the project's own for what a gateway meets: workers with a shared store, and clients. They
//! speak the same protocols over loopback sockets, do as a script tells them, and record what crossed.
#![warn(missing_docs)]

mod bulletin;
mod clients;
mod dedup;
mod fleet;
mod front_client;
mod kv_store;
mod line_worker;
mod store;
mod worker_model;

pub use bulletin::FakeBulletin;
pub use clients::{ClientStats, Clients, PlannedEvent, RetryPolicy};
pub use fleet::{Fault, Fleet, FleetError};
pub use front_client::{FrontClient, FrontReply};
pub use kv_store::{Change, HistoryError, KvStore, Snapshot};
pub use line_worker::{ExecRequest, LineWorker, RejectedLine, WorkerAction, answer_line};
pub use store::StoreSpec;
pub use worker_model::WorkerSpec;
