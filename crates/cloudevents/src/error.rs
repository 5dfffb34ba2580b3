use thiserror::Error;

/// Why a message is not an event.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EventError {
    /// Neither a CloudEvents media type nor `ce-specversion`.
    #[error("not a CloudEvent: send ce-specversion with ce- headers, or Content-Type {}", crate::STRUCTURED)]
    NotAnEvent,
    /// An event format other than JSON.
    #[error("event format {0:?} is not supported; use JSON")]
    UnsupportedFormat(String),
    /// A required attribute is absent or empty.
    #[error("required attribute {0} is missing or empty")]
    MissingAttribute(&'static str),
    /// A version other than 1.0.
    #[error("specversion must be \"1.0\"")]
    Version,
    /// An attribute's name is not lower-case letters and digits.
    #[error("attribute name {0:?} may hold only a-z and 0-9")]
    InvalidName(String),
    /// An attribute is told twice.
    #[error("attribute {0} is given twice")]
    DuplicateAttribute(String),
    /// An attribute's value does not fit its type.
    #[error("attribute {name}: expected {expected}")]
    InvalidValue {
        /// The attribute.
        name: String,
        /// What would do.
        expected: &'static str,
    },
    /// The JSON text can't be read.
    #[error("malformed JSON: {0}")]
    MalformedJson(String),
    /// Both `data` and `data_base64`.
    #[error("data and data_base64 exclude each other")]
    ConflictingData,
    /// More events in a batch than the bound.
    #[error("a batch may hold at most {0} events")]
    BatchTooLong(usize),
    /// An event of a batch is unusable; none of the batch was taken.
    #[error("event {index} of the batch: {error}")]
    InvalidEventInBatch {
        /// Its position, from 0.
        index: usize,
        /// What is wrong.
        error: Box<EventError>,
    },
}

impl EventError {
    /// The HTTP status that says so.
    pub fn status(&self) -> u16 {
        match self {
            Self::NotAnEvent | Self::UnsupportedFormat(_) => 415,
            Self::BatchTooLong(_) => 413,
            _ => 400,
        }
    }
}
