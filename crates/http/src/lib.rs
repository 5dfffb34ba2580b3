//! HTTP/1.1 (RFC 9110, RFC 9112) without I/O: incremental decoders of requests and responses, and writers.
//!
//! A decoder consumes a buffer of received bytes and returns one complete message at a time; it uses no sockets and no
//! clock. Input that parsers may interpret differently is always rejected, as it could be used for request smuggling.
//! After an error the caller responds with [`Error::status`] and closes the connection, because the boundaries of the
//! messages that follow are unknown.
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
