//! Thrift as the platform's clients speak it: framed transport, strict binary protocol, the messages of the
//! service `Front`. Bytes in and out, no I/O; every length is checked against its bound before a byte is kept.
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
