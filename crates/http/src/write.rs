use bytes::{BufMut, BytesMut};
use std::fmt::{Display, Write};

/// The body of a message to write, and its framing.
#[derive(Clone, Copy, Debug)]
pub enum Body<'a> {
    /// An empty body, declared by `Content-Length: 0`.
    Empty,
    /// These bytes, with their `Content-Length`.
    Whole(&'a [u8]),
    /// `Content-Length` without the body, as in the response to a `HEAD` request.
    Length(usize),
    /// A chunked body, which the caller writes with [`write_chunk`] and [`write_last_chunk`].
    Chunked,
    /// Neither a length nor a body, as for the status codes 1xx and 204.
    None,
}

/// Writes the head of a message, field by field.
#[derive(Debug)]
pub struct HeadWriter<'a>(&'a mut BytesMut);

impl<'a> HeadWriter<'a> {
    /// Starts a request. The arguments are written unchecked; the target must be visible ASCII.
    pub fn request(out: &'a mut BytesMut, method: &str, target: &str, host: &str) -> Self {
        for part in [method, " ", target, " HTTP/1.1\r\nHost: ", host, "\r\n"] {
            out.put_slice(part.as_bytes());
        }
        Self(out)
    }

    /// Starts a response with the standard reason phrase.
    pub fn response(out: &'a mut BytesMut, status: u16) -> Self {
        out.put_slice(b"HTTP/1.1 ");
        let _ = write!(out, "{status}");
        out.put_u8(b' ');
        out.put_slice(reason_phrase(status).as_bytes());
        out.put_slice(b"\r\n");
        Self(out)
    }

    /// Adds a field. Control characters in the value, except tabs, are replaced by spaces, so that a value can't inject
    /// another field.
    pub fn field(self, name: &str, value: impl AsRef<[u8]>) -> Self {
        self.0.put_slice(name.as_bytes());
        self.0.put_slice(b": ");
        let value_start = self.0.len();
        self.0.put_slice(value.as_ref());
        for byte in self.0[value_start..].iter_mut().filter(|b| (**b < b' ' && **b != b'\t') || **b == 0x7f) {
            *byte = b' ';
        }
        self.0.put_slice(b"\r\n");
        self
    }

    /// Adds a field with a value that formats to visible ASCII; it is written unchecked.
    pub fn display_field(self, name: &str, value: impl Display) -> Self {
        self.0.put_slice(name.as_bytes());
        let _ = write!(self.0, ": {value}\r\n");
        self
    }

    /// Adds a field with the name `prefix` + `name` and a value that formats to visible ASCII; both are written
    /// unchecked.
    pub fn prefixed_field(self, prefix: &str, name: &str, value: impl Display) -> Self {
        self.0.put_slice(prefix.as_bytes());
        self.display_field(name, value)
    }

    /// Adds a field if there is a value.
    pub fn optional_field(self, name: &str, value: Option<impl AsRef<[u8]>>) -> Self {
        match value {
            Some(value) => self.field(name, value),
            None => self,
        }
    }

    /// Writes the field that frames the body, the end of the head and the body.
    pub fn body(self, body: Body) {
        let out = match body {
            Body::Empty => self.display_field("Content-Length", 0).0,
            Body::Whole(bytes) => self.display_field("Content-Length", bytes.len()).0,
            Body::Length(length) => self.display_field("Content-Length", length).0,
            Body::Chunked => self.field("Transfer-Encoding", "chunked").0,
            Body::None => self.0,
        };
        out.put_slice(b"\r\n");
        if let Body::Whole(bytes) = body {
            out.put_slice(bytes);
        }
    }
}

/// Writes one chunk. Empty data is not written, because a chunk of size 0 ends the body.
pub fn write_chunk(out: &mut BytesMut, bytes: &[u8]) {
    if !bytes.is_empty() {
        let _ = write!(out, "{:x}\r\n", bytes.len());
        out.put_slice(bytes);
        out.put_slice(b"\r\n");
    }
}

/// Writes the last chunk, which ends a chunked body.
pub fn write_last_chunk(out: &mut BytesMut) {
    out.put_slice(b"0\r\n\r\n");
}

/// The reason phrase of a status code (RFC 9110 section 15), or `Status` for codes that are not listed.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        406 => "Not Acceptable",
        408 => "Request Timeout",
        413 => "Content Too Large",
        414 => "URI Too Long",
        415 => "Unsupported Media Type",
        417 => "Expectation Failed",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Status",
    }
}
