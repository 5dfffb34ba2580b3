use bytes::{BufMut, BytesMut};
use std::fmt::{Display, Write};

/// How the body of a written message is framed.
#[derive(Clone, Copy, Debug)]
pub enum Body<'a> {
    /// The message says that it has none (`Content-Length: 0`).
    Empty,
    /// These bytes, with their length.
    Whole(&'a [u8]),
    /// Only the length: the answer to a `HEAD`.
    Length(usize),
    /// Chunks follow: [`write_chunk`], then [`write_last_chunk`].
    Chunked,
    /// Neither length nor body: 1xx and 204.
    None,
}

/// Writes the head of a message, field by field.
#[derive(Debug)]
pub struct HeadWriter<'a>(&'a mut BytesMut);

impl<'a> HeadWriter<'a> {
    /// Begins a request. The target must be visible ASCII, as all that are written here are.
    pub fn request(out: &'a mut BytesMut, method: &str, target: &str, host: &str) -> Self {
        for part in [method, " ", target, " HTTP/1.1\r\nHost: ", host, "\r\n"] {
            out.put_slice(part.as_bytes());
        }
        Self(out)
    }

    /// Begins a response.
    pub fn response(out: &'a mut BytesMut, status: u16) -> Self {
        out.put_slice(b"HTTP/1.1 ");
        let _ = write!(out, "{status}");
        out.put_u8(b' ');
        out.put_slice(reason_phrase(status).as_bytes());
        out.put_slice(b"\r\n");
        Self(out)
    }

    /// Adds a field. Bytes that could end the line are written as spaces, so no value can add a field.
    pub fn field(self, name: &str, value: impl AsRef<[u8]>) -> Self {
        self.0.put_slice(name.as_bytes());
        self.0.put_slice(b": ");
        let from = self.0.len();
        self.0.put_slice(value.as_ref());
        for byte in self.0[from..].iter_mut().filter(|b| (**b < b' ' && **b != b'\t') || **b == 0x7f) {
            *byte = b' ';
        }
        self.0.put_slice(b"\r\n");
        self
    }

    /// Adds a field whose value prints as visible ASCII.
    pub fn display_field(self, name: &str, value: impl Display) -> Self {
        self.0.put_slice(name.as_bytes());
        let _ = write!(self.0, ": {value}\r\n");
        self
    }

    /// Adds a field whose name is in two parts, and whose value prints as visible ASCII.
    pub fn prefixed_field(self, prefix: &str, name: &str, value: impl Display) -> Self {
        self.0.put_slice(prefix.as_bytes());
        self.display_field(name, value)
    }

    /// Adds a field where there is a value.
    pub fn optional_field(self, name: &str, value: Option<impl AsRef<[u8]>>) -> Self {
        match value {
            Some(value) => self.field(name, value),
            None => self,
        }
    }

    /// Ends the head and writes the body.
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

/// Writes one chunk; an empty one is not written, as it would end the body.
pub fn write_chunk(out: &mut BytesMut, bytes: &[u8]) {
    if !bytes.is_empty() {
        let _ = write!(out, "{:x}\r\n", bytes.len());
        out.put_slice(bytes);
        out.put_slice(b"\r\n");
    }
}

/// Ends a chunked body.
pub fn write_last_chunk(out: &mut BytesMut) {
    out.put_slice(b"0\r\n\r\n");
}

/// The phrase of a status (RFC 9110 section 15).
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
