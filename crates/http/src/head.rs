use crate::Error;
use bytes::Bytes;
use memchr::{memchr, memchr2};
use smallvec::SmallVec;
use std::ops::Range;

/// Bounds on one message, in bytes or counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest start line.
    pub start_line: usize,
    /// Longest head: start line and all fields; a trailer section is held to the same.
    pub head: usize,
    /// Most fields.
    pub fields: usize,
    /// Longest body, after the chunks are joined.
    pub body: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { start_line: 8 << 10, head: 16 << 10, fields: 100, body: 1 << 20 }
    }
}

/// A request's method. Others than those named are carried as [`Method::Other`].
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
    /// Any other token.
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
            _ if !text.is_empty() && all_are(text, TOKEN) => Self::Other,
            _ => return None,
        })
    }
}

/// The two versions spoken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// HTTP/1.0
    Http10,
    /// HTTP/1.1
    Http11,
}

fn version(text: &[u8]) -> Result<Version, Error> {
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

/// The fields of a message, in order; names are compared without regard to case.
#[derive(Clone, Debug, Default)]
pub struct Headers {
    block: Bytes,
    fields: SmallVec<[Field; 16]>,
}

#[derive(Clone, Copy, Debug)]
struct Field {
    name: (u32, u32),
    value: (u32, u32),
}

impl Headers {
    fn slice(&self, (from, to): (u32, u32)) -> &[u8] {
        &self.block[from as usize..to as usize]
    }

    /// All fields, in the order received.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.fields.iter().map(|f| (self.slice(f.name), self.slice(f.value)))
    }

    /// Every value of a field, in order.
    pub fn all<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        self.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name.as_bytes())).map(|(_, v)| v)
    }

    /// A field that may stand once: `None` where it is absent, told twice, or not visible ASCII.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut all = self.all(name);
        let first = all.next().filter(|_| all.next().is_none())?;
        std::str::from_utf8(first).ok()
    }

    /// Whether a comma-separated field holds this token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let mut parts = self.all(name).flat_map(|v| v.split(|b| *b == b','));
        parts.any(|p| p.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its method.
    pub method: Method,
    /// Its version.
    pub version: Version,
    target: Range<u32>,
    /// Its fields.
    pub headers: Headers,
    /// Its whole body.
    pub body: Bytes,
}

impl Request {
    /// The target, as sent; only visible ASCII.
    pub fn target(&self) -> &str {
        let range = self.target.start as usize..self.target.end as usize;
        std::str::from_utf8(&self.headers.block[range]).unwrap_or_default()
    }

    /// Whether the connection may carry another request after this one (RFC 9112 section 9.3).
    pub fn keep_alive(&self) -> bool {
        keep_alive(self.version, &self.headers)
    }
}

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its version.
    pub version: Version,
    /// Its fields.
    pub headers: Headers,
    /// Its whole body.
    pub body: Bytes,
    /// The body's end was the connection's end.
    pub close_delimited: bool,
}

impl Response {
    /// Whether the connection may be used again.
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

const TOKEN: u8 = 1;
const VALUE: u8 = 2;

/// What each byte may be part of: a token (RFC 9110 section 5.6.2), a field's value (section 5.5).
const BYTES: [u8; 256] = {
    let mut table = [0; 256];
    let mut byte = 0;
    while byte < 256 {
        let b = byte as u8;
        let mark = matches!(b, b'!' | b'#'..=b'\'' | b'*' | b'+' | b'-' | b'.' | b'^'..=b'z' | b'|' | b'~');
        if mark || b.is_ascii_digit() || b.is_ascii_uppercase() {
            table[byte] |= TOKEN;
        }
        if b == b'\t' || (b >= b' ' && b != 0x7f) {
            table[byte] |= VALUE;
        }
        byte += 1;
    }
    table
};

/// Whether all bytes are of a kind; without a branch a byte, so that it runs over whole words.
fn all_are(bytes: &[u8], kind: u8) -> bool {
    bytes.iter().fold(kind, |so_far, byte| so_far & BYTES[usize::from(*byte)]) != 0
}

/// How far a head has been looked through, so that one that drips in is not scanned from its start each time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Scan {
    at: usize,
    line: usize,
    lines: usize,
}

impl Scan {
    /// The length of the head with its empty line, once it is all there. Line ends are CR LF and nothing
    /// else.
    pub fn find(&mut self, input: &[u8], limits: &Limits) -> Result<Option<usize>, Error> {
        while let Some(found) = memchr2(b'\r', b'\n', &input[self.at..]) {
            let end = self.at + found;
            if input[end] == b'\n' {
                return Err(Error::BareLineEnd);
            }
            let Some(next) = input.get(end + 1) else {
                self.at = end;
                return self.bound(input.len(), limits);
            };
            if *next != b'\n' {
                return Err(Error::BareLineEnd);
            }
            let empty = end == self.line;
            self.at = end + 2;
            if empty && self.lines > 0 {
                self.bound(self.at, limits)?;
                return Ok(Some(self.at));
            } else if empty {
                return Err(Error::StartLine);
            } else if self.lines == 0 && end - self.line > limits.start_line {
                return Err(Error::LineTooLong);
            }
            self.line = self.at;
            self.lines += 1;
            if self.lines > limits.fields + 1 {
                return Err(Error::TooManyFields);
            }
        }
        self.at = input.len();
        self.bound(input.len(), limits)
    }

    fn bound(&self, length: usize, limits: &Limits) -> Result<Option<usize>, Error> {
        if self.lines == 0 && length > limits.start_line + 2 {
            return Err(Error::LineTooLong);
        }
        if length > limits.head { Err(Error::HeadTooLong) } else { Ok(None) }
    }
}

/// Splits off the start line, whose end and the block's fields are given back.
fn fields(block: Bytes) -> Result<(usize, Headers), Error> {
    let start = memchr(b'\r', &block).ok_or(Error::StartLine)?;
    let mut fields = SmallVec::new();
    let mut at = start + 2;
    while at + 2 < block.len() {
        let end = at + memchr(b'\r', &block[at..]).ok_or(Error::InvalidField)?;
        let line = &block[at..end];
        if matches!(line.first(), Some(b' ' | b'\t')) {
            return Err(Error::LineFolding);
        }
        let colon = memchr(b':', line).filter(|c| *c > 0).ok_or(Error::InvalidField)?;
        if !all_are(&line[..colon], TOKEN) {
            return Err(Error::InvalidField);
        }
        let value = &line[colon + 1..];
        if !all_are(value, VALUE) {
            return Err(Error::InvalidField);
        }
        let lead = value.iter().take_while(|b| matches!(b, b' ' | b'\t')).count();
        let tail = value[lead..].iter().rev().take_while(|b| matches!(b, b' ' | b'\t')).count();
        let from = at + colon + 1 + lead;
        fields.push(Field {
            name: (at as u32, (at + colon) as u32),
            value: (from as u32, (end - tail) as u32),
        });
        at = end + 2;
    }
    Ok((start, Headers { block, fields }))
}

pub(crate) fn request(block: Bytes) -> Result<Request, Error> {
    let (end, headers) = fields(block)?;
    let line = &headers.block[..end];
    let mut parts = line.split(|b| *b == b' ');
    let (Some(method), Some(target), Some(told), None) =
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
    let version = version(told)?;
    let hosts = headers.all("host").count();
    if hosts > 1 || hosts == 0 && version == Version::Http11 {
        return Err(Error::Host);
    }
    Ok(Request { method, version, target: range, headers, body: Bytes::new() })
}

pub(crate) fn response(block: Bytes) -> Result<Response, Error> {
    let (end, headers) = fields(block)?;
    let line = &headers.block[..end];
    let usable = line.len() >= 12 && line[8] == b' ' && line.get(12).is_none_or(|b| *b == b' ');
    let version = version(line.get(..8).filter(|_| usable).ok_or(Error::StartLine)?)?;
    let digits = &line[9..12];
    if !digits.iter().all(u8::is_ascii_digit) || digits[0] == b'0' {
        return Err(Error::StartLine);
    }
    let status = digits.iter().fold(0, |n, d| n * 10 + u16::from(d - b'0'));
    Ok(Response { status, version, headers, body: Bytes::new(), close_delimited: false })
}
