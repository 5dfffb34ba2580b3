use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// Errors in the input from a worker. The connection can't be read any further after one.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LinesError {
    /// A line exceeds [`LineLimits::max_line`].
    #[error("answer line exceeds the maximum length")]
    LineTooLong,
    /// A line is not valid UTF-8, does not end in CR LF, or does not consist of id, status, fields and length.
    #[error("malformed answer line")]
    MalformedLine,
    /// The status is none of [`Status`].
    #[error("unknown status in answer line")]
    UnknownStatus,
    /// The fields are not a list of `name=value`, or a number among them can't be parsed.
    #[error("malformed fields in answer line")]
    MalformedFields,
    /// The length of a body is not a number or exceeds [`LineLimits::max_body`].
    #[error("invalid or excessive body length in answer line")]
    InvalidLength,
    /// A body is not followed by CR LF.
    #[error("answer body is not terminated by CR LF")]
    MissingBodyEnd,
}

/// Size limits of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineLimits {
    /// Maximum length of a line, in bytes, without its LF.
    pub max_line: usize,
    /// Maximum length of a body, in bytes.
    pub max_body: usize,
}

/// Status of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// `OK`: the request was served, or the copies are loaded.
    Ok,
    /// `MISS`: no copy is loaded; the request never ran.
    Miss,
    /// `BUSY`: the worker refused the request; it never ran.
    Busy,
    /// `ERR`: an error; the request may have run.
    Err,
    /// `VOID`: the request had ended already; it never ran.
    Void,
    /// `UP`: the worker is healthy.
    Up,
    /// `DOWN`: the worker is not healthy.
    Down,
}

/// State of the copy that an answer reports in its `detail` field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyDetail {
    /// `up`: a copy was loaded already.
    Up,
    /// `fresh`: this request started a load.
    Fresh,
    /// `behind`: this request waited for a load that was started before.
    Behind,
    /// `crashed`: the load failed.
    Crashed,
}

/// One answer of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Id of the request or tag of the command that it answers.
    pub id: String,
    /// The status.
    pub status: Status,
    /// State of the copy, if reported.
    pub copy: Option<CopyDetail>,
    /// Number of requests for the same function that the worker held; 0 if not reported.
    pub crowd: u32,
    /// Number of loaded copies, if reported.
    pub copies: Option<u32>,
    /// The load report as received: `name:value` pairs separated by `;`. Empty if there is none.
    pub report: String,
    /// The body.
    pub body: Bytes,
}

impl Reply {
    /// The value of `name` in the load report. `None` if it is missing or not a number.
    pub fn report_value(&self, name: &str) -> Option<f64> {
        let pairs = self.report.split(';').filter_map(|pair| pair.split_once(':'));
        pairs.into_iter().find(|(n, _)| *n == name).and_then(|(_, value)| value.parse().ok())
    }
}

/// Incremental decoder of the answers on one connection.
#[derive(Debug)]
pub struct AnswerDecoder {
    limits: LineLimits,
    /// The answer whose line has been read but whose body is incomplete, with the length of the body.
    pending: Option<(Reply, usize)>,
    /// Bytes of the input that have already been searched for the end of a line.
    scanned: usize,
}

fn parse_line(line: &[u8]) -> Result<(Reply, usize), LinesError> {
    let line = std::str::from_utf8(line).map_err(|_| LinesError::MalformedLine)?;
    let mut parts = line.split(' ');
    let (Some(id), Some(status), Some(fields), Some(length), None) =
        (parts.next(), parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(LinesError::MalformedLine);
    };
    let status = match status {
        "OK" => Status::Ok,
        "MISS" => Status::Miss,
        "BUSY" => Status::Busy,
        "ERR" => Status::Err,
        "VOID" => Status::Void,
        "UP" => Status::Up,
        "DOWN" => Status::Down,
        _ => return Err(LinesError::UnknownStatus),
    };
    if id.is_empty() || length.is_empty() || !length.bytes().all(|b| b.is_ascii_digit()) {
        return Err(if id.is_empty() { LinesError::MalformedLine } else { LinesError::InvalidLength });
    }
    let length = length.parse().map_err(|_| LinesError::InvalidLength)?;
    let mut reply = Reply {
        id: id.into(),
        status,
        copy: None,
        crowd: 0,
        copies: None,
        report: String::new(),
        body: Bytes::new(),
    };
    for field in fields.split(',').filter(|_| fields != "-") {
        let (name, value) = field.split_once('=').ok_or(LinesError::MalformedFields)?;
        let number = || value.parse::<u32>().map_err(|_| LinesError::MalformedFields);
        match name {
            "detail" => {
                reply.copy = match value {
                    "up" => Some(CopyDetail::Up),
                    "fresh" => Some(CopyDetail::Fresh),
                    "behind" => Some(CopyDetail::Behind),
                    "crashed" => Some(CopyDetail::Crashed),
                    _ => None,
                }
            }
            "company" => reply.crowd = number()?,
            "slots_up" => reply.copies = Some(number()?),
            "use" => reply.report = value.into(),
            _ => {}
        }
    }
    Ok((reply, length))
}

impl AnswerDecoder {
    /// Creates a decoder for a new connection.
    pub fn new(limits: LineLimits) -> Self {
        Self { limits, pending: None, scanned: 0 }
    }

    /// Removes the next complete answer from `input`. `None` if more input is needed.
    ///
    /// # Errors
    /// If the input is not a valid answer within the limits. The connection can't be read any further then.
    pub fn next(&mut self, input: &mut BytesMut) -> Result<Option<Reply>, LinesError> {
        if self.pending.is_none() {
            let end = memchr::memchr(b'\n', &input[self.scanned.min(input.len())..]);
            let Some(end) = end.map(|at| at + self.scanned) else {
                self.scanned = input.len();
                return if input.len() > self.limits.max_line {
                    Err(LinesError::LineTooLong)
                } else {
                    Ok(None)
                };
            };
            self.scanned = 0;
            if end > self.limits.max_line {
                return Err(LinesError::LineTooLong);
            }
            let line = input[..end].strip_suffix(b"\r").ok_or(LinesError::MalformedLine)?;
            let (reply, length) = parse_line(line)?;
            if length > self.limits.max_body {
                return Err(LinesError::InvalidLength);
            }
            input.advance(end + 1);
            self.pending = Some((reply, length));
        }
        let Some((reply, length)) = self.pending.take() else { return Ok(None) };
        // Reports a missing CR LF as soon as one of its bytes differs, without waiting for both.
        let differs = |at: usize, byte| input.get(length + at).is_some_and(|b| *b != byte);
        if differs(0, b'\r') || differs(1, b'\n') {
            return Err(LinesError::MissingBodyEnd);
        }
        if input.len() < length + 2 {
            self.pending = Some((reply, length));
            return Ok(None);
        }
        // Copies the body, because a slice would keep the whole input buffer allocated.
        let body = Bytes::copy_from_slice(&input[..length]);
        input.advance(length + 2);
        Ok(Some(Reply { body, ..reply }))
    }
}
