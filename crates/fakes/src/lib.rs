//! Fakes of what a gateway or scheduler talks to: workers with a shared store, clients, the bulletin and a key-value
//! store. They speak the real protocols over loopback sockets, follow a script and record the traffic that they see.
#![warn(missing_docs)]

mod bulletin;
mod clients;
mod dedup;
mod fleet;
mod kv_store;
mod line_worker;
mod store;
mod thrift_client;
mod worker_model;

pub use bulletin::FakeBulletin;
pub use clients::{ClientStats, Clients, PlannedEvent, RetryPolicy};
pub use fleet::{Fault, Fleet, FleetError};
pub use kv_store::{Change, HistoryError, KvStore, Snapshot};
pub use line_worker::{ExecRequest, LineWorker, RejectedLine, WorkerAction, answer_line};
pub use store::StoreSpec;
pub use thrift_client::{ThriftClient, ThriftReply};
pub use worker_model::WorkerSpec;
