use thiserror::Error;

/// Why a message is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EventError {
    /// The message has neither a CloudEvents media type nor a `ce-specversion` header.
    #[error("not a CloudEvent: send ce-specversion with ce- headers, or Content-Type {}", crate::STRUCTURED)]
    NotAnEvent,
    /// An event format other than JSON.
    #[error("event format {0:?} is not supported; use JSON")]
    UnsupportedFormat(String),
    /// A required attribute is absent or empty.
    #[error("required attribute {0} is missing or empty")]
    MissingAttribute(&'static str),
    /// `specversion` is not 1.0.
    #[error("specversion must be \"1.0\"")]
    Version,
    /// An attribute name is empty or contains characters other than lower-case letters and digits.
    #[error("attribute name {0:?} may hold only a-z and 0-9")]
    InvalidName(String),
    /// An attribute appears more than once.
    #[error("attribute {0} is given twice")]
    DuplicateAttribute(String),
    /// An attribute value does not match its type.
    #[error("attribute {name}: expected {expected}")]
    InvalidValue {
        /// Name of the attribute.
        name: String,
        /// Description of a valid value.
        expected: &'static str,
    },
    /// The JSON text is malformed.
    #[error("malformed JSON: {0}")]
    MalformedJson(String),
    /// The event has both `data` and `data_base64`.
    #[error("data and data_base64 exclude each other")]
    ConflictingData,
    /// The batch has more events than this limit.
    #[error("a batch may hold at most {0} events")]
    BatchTooLong(usize),
    /// An event of a batch is invalid; the whole batch is rejected.
    #[error("event {index} of the batch: {error}")]
    InvalidEventInBatch {
        /// Position of the event in the batch, from 0.
        index: usize,
        /// The error of that event.
        error: Box<EventError>,
    },
}

impl EventError {
    /// The HTTP status code of the response to the message.
    pub fn status(&self) -> u16 {
        match self {
            Self::NotAnEvent | Self::UnsupportedFormat(_) => 415,
            Self::BatchTooLong(_) => 413,
            _ => 400,
        }
    }
}
