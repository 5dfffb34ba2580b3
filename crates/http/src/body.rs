use crate::head::{Headers, Version};
use crate::{Error, Limits};
use bytes::{Bytes, BytesMut};
use memchr::memchr;

/// Maximum length of a chunk-size line in bytes, chunk extensions included.
const MAX_CHUNK_LINE: usize = 256;

/// How the end of a body is determined (RFC 9112 section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// `Content-Length`: the body has this many bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// The body ends when the connection closes; only in responses.
    UntilClose,
}

/// Determines the framing of the body from the header fields; `None` if they declare none. A message with both
/// `Content-Length` and `Transfer-Encoding`, or with an ambiguous length, is rejected.
pub(crate) fn body_framing(version: Version, headers: &Headers) -> Result<Option<Framing>, Error> {
    let mut codings = headers.all("transfer-encoding");
    let mut lengths = headers.all("content-length");
    match (codings.next(), lengths.next()) {
        (Some(_), Some(_)) => Err(Error::ConflictingLengths),
        (Some(coding), None) => {
            let single = codings.next().is_none() && version == Version::Http11;
            match single && coding.eq_ignore_ascii_case(b"chunked") {
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

/// Incremental decoder of a message body.
#[derive(Debug)]
pub(crate) enum BodyDecoder {
    /// A body of this many bytes.
    Length(usize),
    /// A chunked body; `body` holds the data of the chunks decoded so far.
    Chunked { state: ChunkState, body: BytesMut },
    /// A body that ends when the connection closes.
    UntilClose,
}

/// Position of the decoder within a chunked body.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ChunkState {
    /// Expects a chunk-size line.
    Size,
    /// This many bytes of the chunk's data are still to be read.
    Data(usize),
    /// Expects the CR LF after the chunk's data.
    DataLineEnd,
    /// Reads the trailer section, of which this many bytes have been read.
    Trailer(usize),
}

impl BodyDecoder {
    pub fn new(framing: Framing, limits: &Limits) -> Result<Self, Error> {
        Ok(match framing {
            Framing::Length(n) if n > limits.body as u64 => return Err(Error::BodyTooLong),
            Framing::Length(n) => Self::Length(n as usize),
            Framing::Chunked => Self::Chunked { state: ChunkState::Size, body: BytesMut::new() },
            Framing::UntilClose => Self::UntilClose,
        })
    }

    /// Consumes input and returns the body as soon as it is complete. A body that ends with the connection is returned
    /// only by [`BodyDecoder::finish`].
    pub fn decode(&mut self, input: &mut BytesMut, limits: &Limits) -> Result<Option<Bytes>, Error> {
        match self {
            Self::Length(length) if input.len() < *length => Ok(None),
            Self::Length(length) => Ok(Some(input.split_to(*length).freeze())),
            Self::UntilClose if input.len() > limits.body => Err(Error::BodyTooLong),
            Self::UntilClose => Ok(None),
            Self::Chunked { state, body } => loop {
                match *state {
                    ChunkState::Size => {
                        let Some(line) = take_line(input, MAX_CHUNK_LINE)? else { return Ok(None) };
                        let size = parse_chunk_size(&line)?;
                        if size > (limits.body - body.len()) as u64 {
                            return Err(Error::BodyTooLong);
                        }
                        *state =
                            if size == 0 { ChunkState::Trailer(0) } else { ChunkState::Data(size as usize) };
                    }
                    ChunkState::Data(remaining) => {
                        let available = remaining.min(input.len());
                        body.extend_from_slice(&input.split_to(available));
                        if available < remaining {
                            *state = ChunkState::Data(remaining - available);
                            return Ok(None);
                        }
                        *state = ChunkState::DataLineEnd;
                    }
                    ChunkState::DataLineEnd => match input.get(..2) {
                        Some(b"\r\n") => {
                            let _ = input.split_to(2);
                            *state = ChunkState::Size;
                        }
                        Some(_) => return Err(Error::InvalidChunk),
                        None if input.first().is_some_and(|b| *b != b'\r') => {
                            return Err(Error::InvalidChunk);
                        }
                        None => return Ok(None),
                    },
                    ChunkState::Trailer(trailer_len) => {
                        // Trailer fields are checked for syntax and discarded: no code here may depend on them.
                        let Some(line) = take_line(input, limits.head - trailer_len)? else {
                            return Ok(None);
                        };
                        if line.is_empty() {
                            return Ok(Some(std::mem::take(body).freeze()));
                        }
                        let has_name = matches!(memchr(b':', &line), Some(c) if c > 0);
                        if !has_name || matches!(line[0], b' ' | b'\t') {
                            return Err(Error::InvalidChunk);
                        }
                        *state = ChunkState::Trailer(trailer_len + line.len() + 2);
                    }
                }
            },
        }
    }

    /// Returns the body that is delimited by the end of the connection; any other body has been truncated.
    pub fn finish(&self, input: &mut BytesMut) -> Result<Bytes, Error> {
        match self {
            Self::UntilClose => Ok(input.split().freeze()),
            _ => Err(Error::Truncated),
        }
    }
}

/// Removes one line from the input and returns it without its CR LF; `None` until the line is complete. A line of more
/// than `max` bytes or with a bare CR or LF is an error.
fn take_line(input: &mut BytesMut, max: usize) -> Result<Option<BytesMut>, Error> {
    match memchr(b'\n', input) {
        Some(end) if end > max => Err(Error::InvalidChunk),
        Some(end) if end == 0 || input[end - 1] != b'\r' => Err(Error::InvalidChunk),
        Some(end) => {
            let mut line = input.split_to(end + 1);
            line.truncate(end - 1);
            if memchr(b'\r', &line).is_some() { Err(Error::InvalidChunk) } else { Ok(Some(line)) }
        }
        None if input.len() > max => Err(Error::InvalidChunk),
        None => Ok(None),
    }
}

/// Parses a chunk-size line: hexadecimal digits, optionally followed by chunk extensions, which are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<u64, Error> {
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let well_formed = line[digits..].first().is_none_or(|b| *b == b';');
    if digits == 0 || digits > 15 || !well_formed {
        return Err(Error::InvalidChunk);
    }
    let text = std::str::from_utf8(&line[..digits]).map_err(|_| Error::InvalidChunk)?;
    u64::from_str_radix(text, 16).map_err(|_| Error::InvalidChunk)
}
