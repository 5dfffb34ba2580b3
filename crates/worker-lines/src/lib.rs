//! The line protocol to the platform's workers: lines of words that end in CR LF; where the last word is a
//! length, so many bytes follow, then CR LF. Bytes in and out, no I/O; bounds are checked before a byte is
//! kept.
#![warn(missing_docs)]

mod decode;
mod write;

pub use decode::{AnswerDecoder, CopyDetail, LineLimits, LinesError, Reply, Status};
pub use write::{ExecFields, drop_request, ensure, exec, health, load, release};
