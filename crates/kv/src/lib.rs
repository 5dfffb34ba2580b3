//! Follows a prefix of a key-value registry with revisions (the v3 API of etcd): reads it whole at one revision,
//! watches from the next, and resumes after any cut where it stopped. No I/O and no clock: what was heard and a
//! time in, what to ask and what changed out. Its messages are those of the API, whatever carries them.
#![warn(missing_docs)]

mod backoff;
mod follower;
mod json;
mod shrink_guard;
mod types;

pub use backoff::{Backoff, BackoffSettings};
pub use follower::{Follower, FollowerSettings};
pub use json::{JsonError, WatchStream, range_answer, request};
pub use shrink_guard::{Shrink, ShrinkSettings};
pub use types::{Ask, Change, Do, Header, Heard, KeyValue, Micros, Told};
