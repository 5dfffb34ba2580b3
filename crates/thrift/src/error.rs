use thiserror::Error;

/// Why bytes are not a message of this protocol.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ThriftError {
    /// The length of a frame is negative, zero or past the bound.
    #[error("frame of length {0}")]
    FrameLength(i32),
    /// A message or a value ends before its length says.
    #[error("cut short")]
    Truncated,
    /// A length within a message is negative or past what is there.
    #[error("length {0} within a message")]
    Length(i32),
    /// The first word is not that of the strict protocol.
    #[error("version word {0:#010x}")]
    Version(u32),
    /// A type of message or of value that does not exist, or not here.
    #[error("type {0}")]
    Type(u8),
    /// A text is not UTF-8.
    #[error("text is not UTF-8")]
    InvalidUtf8,
    /// Structs within structs past the bound.
    #[error("nested too deep")]
    Depth,
    /// Bytes are left after the message.
    #[error("{0} bytes after the message")]
    TrailingBytes(usize),
    /// More fields in a map than are taken.
    #[error("map of {0} entries")]
    MapEntries(i32),
}
