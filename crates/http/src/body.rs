use crate::head::{Headers, Version};
use crate::{Error, Limits};
use bytes::{Bytes, BytesMut};
use memchr::memchr;

/// Longest line of a chunk's size with its extensions.
const CHUNK_LINE: usize = 256;

/// How a body's end is known (RFC 9112 section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// This many bytes.
    Length(u64),
    /// Chunks.
    Chunked,
    /// All until the connection ends; responses alone.
    Close,
}

/// The framing that the fields tell; `None` where they tell none.
pub(crate) fn framing(version: Version, headers: &Headers) -> Result<Option<Framing>, Error> {
    let mut codings = headers.all("transfer-encoding");
    let mut lengths = headers.all("content-length");
    match (codings.next(), lengths.next()) {
        (Some(_), Some(_)) => Err(Error::ConflictingLengths),
        (Some(coding), None) => {
            let alone = codings.next().is_none() && version == Version::Http11;
            match alone && coding.eq_ignore_ascii_case(b"chunked") {
                true => Ok(Some(Framing::Chunked)),
                false => Err(Error::UnsupportedTransferCoding),
            }
        }
        (None, Some(length)) => {
            if lengths.next().is_some() || length.is_empty() || !length.iter().all(u8::is_ascii_digit) {
                return Err(Error::ContentLength);
            }
            let text = std::str::from_utf8(length).map_err(|_| Error::ContentLength)?;
            text.parse().map(|n| Some(Framing::Length(n))).map_err(|_| Error::ContentLength)
        }
        (None, None) => Ok(None),
    }
}

/// Takes a body from the input as it comes.
#[derive(Debug)]
pub(crate) enum BodyDecoder {
    Length(usize),
    Chunks { step: Chunk, joined: BytesMut },
    Close,
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum Chunk {
    Size,
    Data(usize),
    DataEnd,
    Trailer(usize),
}

impl BodyDecoder {
    pub fn new(framing: Framing, limits: &Limits) -> Result<Self, Error> {
        Ok(match framing {
            Framing::Length(n) if n > limits.body as u64 => return Err(Error::BodyTooLong),
            Framing::Length(n) => Self::Length(n as usize),
            Framing::Chunked => Self::Chunks { step: Chunk::Size, joined: BytesMut::new() },
            Framing::Close => Self::Close,
        })
    }

    /// The whole body once it is there.
    pub fn decode(&mut self, input: &mut BytesMut, limits: &Limits) -> Result<Option<Bytes>, Error> {
        match self {
            Self::Length(length) if input.len() < *length => Ok(None),
            Self::Length(length) => Ok(Some(input.split_to(*length).freeze())),
            Self::Close if input.len() > limits.body => Err(Error::BodyTooLong),
            Self::Close => Ok(None),
            Self::Chunks { step, joined } => loop {
                match *step {
                    Chunk::Size => {
                        let Some(line) = line(input, CHUNK_LINE)? else { return Ok(None) };
                        let size = chunk_size(&line)?;
                        if size > (limits.body - joined.len()) as u64 {
                            return Err(Error::BodyTooLong);
                        }
                        *step = if size == 0 { Chunk::Trailer(0) } else { Chunk::Data(size as usize) };
                    }
                    Chunk::Data(left) => {
                        let part = left.min(input.len());
                        joined.extend_from_slice(&input.split_to(part));
                        if part < left {
                            *step = Chunk::Data(left - part);
                            return Ok(None);
                        }
                        *step = Chunk::DataEnd;
                    }
                    Chunk::DataEnd => match input.get(..2) {
                        Some(b"\r\n") => {
                            let _ = input.split_to(2);
                            *step = Chunk::Size;
                        }
                        Some(_) => return Err(Error::InvalidChunk),
                        None if input.first().is_some_and(|b| *b != b'\r') => {
                            return Err(Error::InvalidChunk);
                        }
                        None => return Ok(None),
                    },
                    Chunk::Trailer(seen) => {
                        // Trailer fields are read over: nothing here may depend on them.
                        let Some(line) = line(input, limits.head - seen)? else { return Ok(None) };
                        if line.is_empty() {
                            return Ok(Some(std::mem::take(joined).freeze()));
                        }
                        let whole = matches!(memchr(b':', &line), Some(c) if c > 0);
                        if !whole || matches!(line[0], b' ' | b'\t') {
                            return Err(Error::InvalidChunk);
                        }
                        *step = Chunk::Trailer(seen + line.len() + 2);
                    }
                }
            },
        }
    }

    /// The connection has ended: what it was the end of.
    pub fn finish(&self, input: &mut BytesMut) -> Result<Bytes, Error> {
        match self {
            Self::Close => Ok(input.split().freeze()),
            _ => Err(Error::Truncated),
        }
    }
}

/// One line without its end, taken from the input.
fn line(input: &mut BytesMut, most: usize) -> Result<Option<BytesMut>, Error> {
    match memchr(b'\n', input) {
        Some(end) if end > most => Err(Error::InvalidChunk),
        Some(end) if end == 0 || input[end - 1] != b'\r' => Err(Error::InvalidChunk),
        Some(end) => {
            let mut line = input.split_to(end + 1);
            line.truncate(end - 1);
            if memchr(b'\r', &line).is_some() { Err(Error::InvalidChunk) } else { Ok(Some(line)) }
        }
        None if input.len() > most => Err(Error::InvalidChunk),
        None => Ok(None),
    }
}

/// Hex digits, then nothing or an extension, which is read over.
fn chunk_size(line: &[u8]) -> Result<u64, Error> {
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let clean = line[digits..].first().is_none_or(|b| *b == b';');
    if digits == 0 || digits > 15 || !clean {
        return Err(Error::InvalidChunk);
    }
    let text = std::str::from_utf8(&line[..digits]).map_err(|_| Error::InvalidChunk)?;
    u64::from_str_radix(text, 16).map_err(|_| Error::InvalidChunk)
}
