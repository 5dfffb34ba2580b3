//! Follows a prefix of a key-value registry with revisions (the v3 API of etcd): reads the prefix completely at one
//! revision, watches it from the next one, and resumes after a lost connection at the revision reached.
//!
//! The state machines use no I/O and no clock: they take responses and the time, and return requests and updates. The
//! messages are those of the API, independent of the transport.
#![warn(missing_docs)]

mod backoff;
mod follower;
mod json;
mod shrink_guard;
mod types;

pub use backoff::{Backoff, BackoffSettings};
pub use follower::{Follower, FollowerSettings};
pub use json::{JsonError, WatchDecoder, decode_range, encode_request};
pub use shrink_guard::{ShrinkGuard, ShrinkGuardSettings};
pub use types::{Action, Change, Header, KeyValue, Micros, Request, Response, Update};
