//! HTTP/1.1 (RFC 9110, RFC 9112) without I/O: bytes in, messages out, and the other way round.
//!
//! A decoder takes what has arrived from a buffer and gives one whole message at a time; it holds no socket
//! and reads no clock. Anything that two parsers could read differently is an error, never a guess: the
//! connection can't be trusted any more and is to be closed after the answer that [`Error::status`] names.
#![warn(missing_docs)]

mod body;
mod decode;
mod error;
mod head;
mod write;

pub use decode::{Decoded, RequestDecoder, ResponseDecoder};
pub use error::Error;
pub use head::{Headers, Limits, Method, Request, Response, Version};
pub use write::{Body, HeadWriter, reason_phrase, write_chunk, write_last_chunk};
