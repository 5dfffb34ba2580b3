//! CloudEvents 1.0: the event model, its JSON format and its HTTP protocol binding (binary, structured and
//! batched content mode), without I/O.
#![warn(missing_docs)]

mod error;
mod event;
mod http;
mod json;

pub use error::EventError;
pub use event::{Attribute, Event};
pub use http::{Incoming, Mode, accepted_mode, from_http, write_binary_fields};
pub use json::{from_json, to_json};

/// Media type of one event in the JSON format.
pub const STRUCTURED: &str = "application/cloudevents+json";
/// Media type of a batch in the JSON format.
pub const BATCH: &str = "application/cloudevents-batch+json";
