use crate::Error;
use bytes::Bytes;
use memchr::{memchr, memchr2};
use smallvec::SmallVec;
use std::ops::Range;

/// Limits of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum length of the start line in bytes.
    pub start_line: usize,
    /// Maximum length of the head (start line and header section) in bytes; also that of a trailer section.
    pub head: usize,
    /// Maximum number of header fields.
    pub fields: usize,
    /// Maximum length of the body in bytes, without chunk framing.
    pub body: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { start_line: 8 << 10, head: 16 << 10, fields: 100, body: 1 << 20 }
    }
}

/// A request method.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// `GET`
    Get,
    /// `HEAD`
    Head,
    /// `POST`
    Post,
    /// `PUT`
    Put,
    /// `DELETE`
    Delete,
    /// Any other method.
    Other,
}

impl Method {
    fn parse(text: &[u8]) -> Option<Self> {
        Some(match text {
            b"GET" => Self::Get,
            b"HEAD" => Self::Head,
            b"POST" => Self::Post,
            b"PUT" => Self::Put,
            b"DELETE" => Self::Delete,
            _ if !text.is_empty() && all_in_class(text, TOKEN) => Self::Other,
            _ => return None,
        })
    }
}

/// The supported HTTP versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// HTTP/1.0
    Http10,
    /// HTTP/1.1
    Http11,
}

fn parse_version(text: &[u8]) -> Result<Version, Error> {
    match text {
        b"HTTP/1.1" => Ok(Version::Http11),
        b"HTTP/1.0" => Ok(Version::Http10),
        [b'H', b'T', b'T', b'P', b'/', major, b'.', minor]
            if major.is_ascii_digit() && minor.is_ascii_digit() =>
        {
            Err(Error::Version)
        }
        _ => Err(Error::StartLine),
    }
}

/// The header fields of a message in the order received; names are compared ignoring ASCII case.
#[derive(Clone, Debug, Default)]
pub struct Headers {
    /// The whole head; the ranges of the fields refer to it.
    block: Bytes,
    fields: SmallVec<[Field; 16]>,
}

/// Byte ranges (start, end) of a field's name and value within the head.
#[derive(Clone, Copy, Debug)]
struct Field {
    name: (u32, u32),
    value: (u32, u32),
}

impl Headers {
    fn slice(&self, (start, end): (u32, u32)) -> &[u8] {
        &self.block[start as usize..end as usize]
    }

    /// Names and values of all fields, in the order received.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.fields.iter().map(|f| (self.slice(f.name), self.slice(f.value)))
    }

    /// All values of the fields with this name, in the order received.
    pub fn all<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        self.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name.as_bytes())).map(|(_, v)| v)
    }

    /// The value of a field that may appear only once: `None` if it is absent, repeated, or not UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut all = self.all(name);
        let first = all.next().filter(|_| all.next().is_none())?;
        std::str::from_utf8(first).ok()
    }

    /// Whether the comma-separated list in this field contains the token, ignoring ASCII case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let mut parts = self.all(name).flat_map(|v| v.split(|b| *b == b','));
        parts.any(|p| p.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }
}

/// A complete request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The HTTP version.
    pub version: Version,
    /// Byte range of the target within the head.
    target: Range<u32>,
    /// The header fields.
    pub headers: Headers,
    /// The complete body.
    pub body: Bytes,
}

impl Request {
    /// The request target as received; visible ASCII only.
    pub fn target(&self) -> &str {
        let range = self.target.start as usize..self.target.end as usize;
        std::str::from_utf8(&self.headers.block[range]).unwrap_or_default()
    }

    /// Whether the connection stays open for another request after this one (RFC 9112 section 9.3).
    pub fn keep_alive(&self) -> bool {
        keep_alive(self.version, &self.headers)
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The HTTP version.
    pub version: Version,
    /// The header fields.
    pub headers: Headers,
    /// The complete body.
    pub body: Bytes,
    /// Whether the body was delimited by the close of the connection.
    pub close_delimited: bool,
}

impl Response {
    /// Whether the connection can be reused after this response (RFC 9112 section 9.3).
    pub fn keep_alive(&self) -> bool {
        !self.close_delimited && keep_alive(self.version, &self.headers)
    }
}

fn keep_alive(version: Version, headers: &Headers) -> bool {
    match version {
        Version::Http11 => !headers.has_token("connection", "close"),
        Version::Http10 => headers.has_token("connection", "keep-alive"),
    }
}

/// Bit of [`BYTE_CLASSES`]: the byte may be part of a token (RFC 9110 section 5.6.2).
const TOKEN: u8 = 1;
/// Bit of [`BYTE_CLASSES`]: the byte may be part of a field value (RFC 9110 section 5.5).
const FIELD_VALUE: u8 = 2;

/// For each byte, the bits of the classes that it belongs to.
const BYTE_CLASSES: [u8; 256] = {
    let mut table = [0; 256];
    let mut byte = 0;
    while byte < 256 {
        let b = byte as u8;
        let symbol_or_lowercase =
            matches!(b, b'!' | b'#'..=b'\'' | b'*' | b'+' | b'-' | b'.' | b'^'..=b'z' | b'|' | b'~');
        if symbol_or_lowercase || b.is_ascii_digit() || b.is_ascii_uppercase() {
            table[byte] |= TOKEN;
        }
        if b == b'\t' || (b >= b' ' && b != 0x7f) {
            table[byte] |= FIELD_VALUE;
        }
        byte += 1;
    }
    table
};

/// Whether all bytes belong to the class. No branch per byte, so that the compiler can process several at once.
fn all_in_class(bytes: &[u8], class: u8) -> bool {
    bytes.iter().fold(class, |common, byte| common & BYTE_CLASSES[usize::from(*byte)]) != 0
}

/// Searches for the end of a head. Keeps its position between calls, so that a head that arrives in many small pieces
/// is not scanned again from its start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HeadScanner {
    /// All input before this offset has been scanned.
    position: usize,
    /// Offset of the current line.
    line_start: usize,
    /// Number of complete lines.
    line_count: usize,
}

impl HeadScanner {
    /// Returns the length of the head, its empty line included, once it is complete. Only CR LF ends a line.
    pub fn find_end(&mut self, input: &[u8], limits: &Limits) -> Result<Option<usize>, Error> {
        while let Some(found) = memchr2(b'\r', b'\n', &input[self.position..]) {
            let end = self.position + found;
            if input[end] == b'\n' {
                return Err(Error::BareLineEnd);
            }
            let Some(next) = input.get(end + 1) else {
                self.position = end;
                return self.check_length(input.len(), limits);
            };
            if *next != b'\n' {
                return Err(Error::BareLineEnd);
            }
            let is_empty = end == self.line_start;
            self.position = end + 2;
            if is_empty && self.line_count > 0 {
                self.check_length(self.position, limits)?;
                return Ok(Some(self.position));
            } else if is_empty {
                return Err(Error::StartLine);
            } else if self.line_count == 0 && end - self.line_start > limits.start_line {
                return Err(Error::LineTooLong);
            }
            self.line_start = self.position;
            self.line_count += 1;
            if self.line_count > limits.fields + 1 {
                return Err(Error::TooManyFields);
            }
        }
        self.position = input.len();
        self.check_length(input.len(), limits)
    }

    /// Checks the length of the head as received so far; `Ok(None)` if it is within the limits.
    fn check_length(&self, length: usize, limits: &Limits) -> Result<Option<usize>, Error> {
        if self.line_count == 0 && length > limits.start_line + 2 {
            return Err(Error::LineTooLong);
        }
        if length > limits.head { Err(Error::HeadTooLong) } else { Ok(None) }
    }
}

/// Parses the header section of a head; returns the length of the start line and the fields.
fn parse_fields(block: Bytes) -> Result<(usize, Headers), Error> {
    let start_line_len = memchr(b'\r', &block).ok_or(Error::StartLine)?;
    let mut fields = SmallVec::new();
    let mut at = start_line_len + 2;
    // The block ends with an empty line.
    while at + 2 < block.len() {
        let end = at + memchr(b'\r', &block[at..]).ok_or(Error::InvalidField)?;
        let line = &block[at..end];
        if matches!(line.first(), Some(b' ' | b'\t')) {
            return Err(Error::LineFolding);
        }
        let colon = memchr(b':', line).filter(|c| *c > 0).ok_or(Error::InvalidField)?;
        if !all_in_class(&line[..colon], TOKEN) {
            return Err(Error::InvalidField);
        }
        let value = &line[colon + 1..];
        if !all_in_class(value, FIELD_VALUE) {
            return Err(Error::InvalidField);
        }
        let leading = value.iter().take_while(|b| matches!(b, b' ' | b'\t')).count();
        let trailing = value[leading..].iter().rev().take_while(|b| matches!(b, b' ' | b'\t')).count();
        let value_start = at + colon + 1 + leading;
        fields.push(Field {
            name: (at as u32, (at + colon) as u32),
            value: (value_start as u32, (end - trailing) as u32),
        });
        at = end + 2;
    }
    Ok((start_line_len, Headers { block, fields }))
}

/// Parses the head of a request; the body is left empty.
pub(crate) fn parse_request(block: Bytes) -> Result<Request, Error> {
    let (end, headers) = parse_fields(block)?;
    let line = &headers.block[..end];
    let mut parts = line.split(|b| *b == b' ');
    let (Some(method), Some(target), Some(version), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(Error::StartLine);
    };
    let start = method.len() as u32 + 1;
    let range = start..start + target.len() as u32;
    let method = Method::parse(method).ok_or(Error::StartLine)?;
    if target.is_empty() || !target.iter().all(u8::is_ascii_graphic) {
        return Err(Error::StartLine);
    }
    let version = parse_version(version)?;
    let hosts = headers.all("host").count();
    if hosts > 1 || hosts == 0 && version == Version::Http11 {
        return Err(Error::Host);
    }
    Ok(Request { method, version, target: range, headers, body: Bytes::new() })
}

/// Parses the head of a response; the body is left empty.
pub(crate) fn parse_response(block: Bytes) -> Result<Response, Error> {
    let (end, headers) = parse_fields(block)?;
    let line = &headers.block[..end];
    let well_formed = line.len() >= 12 && line[8] == b' ' && line.get(12).is_none_or(|b| *b == b' ');
    let version = parse_version(line.get(..8).filter(|_| well_formed).ok_or(Error::StartLine)?)?;
    let digits = &line[9..12];
    if !digits.iter().all(u8::is_ascii_digit) || digits[0] == b'0' {
        return Err(Error::StartLine);
    }
    let status = digits.iter().fold(0, |n, d| n * 10 + u16::from(d - b'0'));
    Ok(Response { status, version, headers, body: Bytes::new(), close_delimited: false })
}
