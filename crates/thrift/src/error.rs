use thiserror::Error;

/// Errors in frames and messages.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ThriftError {
    /// The length of a frame is negative, zero or exceeds the limit.
    #[error("invalid frame length {0}")]
    FrameLength(i32),
    /// A message ends before it is complete.
    #[error("message is truncated")]
    Truncated,
    /// A length or count within a message is negative or exceeds the remaining bytes.
    #[error("invalid length {0} within the message")]
    Length(i32),
    /// The first four bytes don't carry the version of the strict protocol.
    #[error("unsupported protocol version {0:#010x}")]
    Version(u32),
    /// A type of a message or of a value is unknown, or not allowed in this place.
    #[error("unexpected message or value type {0}")]
    Type(u8),
    /// A string is not valid UTF-8.
    #[error("string is not valid UTF-8")]
    InvalidUtf8,
    /// Structs, maps or lists are nested deeper than the limit.
    #[error("value is nested too deep")]
    Depth,
    /// The frame has more bytes than the message; holds their number.
    #[error("{0} trailing bytes after the message")]
    TrailingBytes(usize),
    /// The number of entries in a map of fields is negative or exceeds the limit.
    #[error("invalid number of map entries: {0}")]
    MapEntries(i32),
}
