//! Codec of the line protocol of the platform's workers: lines of space-separated words that end in CR LF. If
//! the last word is a length, a body of that many bytes and another CR LF follow.
//!
//! Free of I/O: works on byte buffers. Lengths are checked against their limits before a body is buffered.
#![warn(missing_docs)]

mod decode;
mod write;

pub use decode::{AnswerDecoder, CopyDetail, LineLimits, LinesError, Reply, Status};
pub use write::{ExecFields, drop_request, ensure, exec, health, load, release};
