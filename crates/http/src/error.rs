use thiserror::Error;

/// Why input is rejected. The connection can't be used after any of these errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The start line is not `method SP target SP version` or `version SP status SP reason`.
    #[error("malformed start line")]
    StartLine,
    /// The start line is longer than [`Limits::start_line`](crate::Limits::start_line).
    #[error("start line longer than the limit")]
    LineTooLong,
    /// An HTTP version other than 1.0 and 1.1.
    #[error("HTTP version not supported")]
    Version,
    /// A field line without a name or a colon, with white space before the colon, or with a forbidden byte.
    #[error("malformed header field")]
    InvalidField,
    /// A field continued on the next line (RFC 9112 section 5.2).
    #[error("obsolete line folding")]
    LineFolding,
    /// CR without LF, or LF without CR.
    #[error("bare CR or LF")]
    BareLineEnd,
    /// The head is longer than [`Limits::head`](crate::Limits::head).
    #[error("header section longer than the limit")]
    HeadTooLong,
    /// The message has more fields than [`Limits::fields`](crate::Limits::fields).
    #[error("more header fields than the limit")]
    TooManyFields,
    /// An HTTP/1.1 request without `Host`, or any request with several (RFC 9112 section 3.2).
    #[error("Host must be given exactly once")]
    Host,
    /// `Content-Length` is not a decimal number, appears more than once, or exceeds 64 bits.
    #[error("unusable Content-Length")]
    ContentLength,
    /// The message has both `Content-Length` and `Transfer-Encoding` (RFC 9112 section 6.3).
    #[error("both Content-Length and Transfer-Encoding")]
    ConflictingLengths,
    /// A transfer coding other than a single `chunked`, or one in HTTP/1.0.
    #[error("transfer coding not supported")]
    UnsupportedTransferCoding,
    /// A chunk size, a line end or the trailer section is malformed.
    #[error("malformed chunk")]
    InvalidChunk,
    /// An `Expect` other than a single `100-continue`.
    #[error("expectation not supported")]
    UnsupportedExpectation,
    /// The body is longer than [`Limits::body`](crate::Limits::body).
    #[error("body longer than the limit")]
    BodyTooLong,
    /// The connection ended within a message.
    #[error("connection ended within a message")]
    Truncated,
}

impl Error {
    /// The status code that a server responds with before it closes the connection.
    pub fn status(self) -> u16 {
        match self {
            Self::LineTooLong => 414,
            Self::HeadTooLong | Self::TooManyFields => 431,
            Self::BodyTooLong => 413,
            Self::UnsupportedExpectation => 417,
            Self::UnsupportedTransferCoding => 501,
            Self::Version => 505,
            _ => 400,
        }
    }
}
