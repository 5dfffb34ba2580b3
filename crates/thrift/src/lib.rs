//! Codec of the Thrift protocol of the platform's clients: framed transport, strict binary protocol and the
//! messages of the service `Front`.
//!
//! Free of I/O: works on byte buffers. Each length is checked against its limit before any data is buffered.
#![warn(missing_docs)]

mod binary;
mod error;
mod frame;
mod message;

pub use error::ThriftError;
pub use frame::{FrameLimits, next_frame};
pub use message::{
    ClientRequest, Fields, MessageHeader, MessageKind, ServerReply, Submit, read_reply, read_request, write,
};
