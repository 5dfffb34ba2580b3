use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// Why bytes of a worker can't be read. What follows on the connection can't be either.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LinesError {
    /// No end of line within the bound.
    #[error("a line without end")]
    LineTooLong,
    /// A line is not UTF-8, or not an id, a word, fields and a length.
    #[error("not an answer line")]
    MalformedLine,
    /// A word that is no answer.
    #[error("unknown answer")]
    UnknownStatus,
    /// The fields are not a list of names and values.
    #[error("unreadable fields")]
    MalformedFields,
    /// The length of a body is not a number or past the bound.
    #[error("unusable length")]
    InvalidLength,
    /// A body is not followed by the end of its line.
    #[error("a body that does not end where it should")]
    MissingBodyEnd,
}

/// Bounds of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineLimits {
    /// Most bytes of a line.
    pub max_line: usize,
    /// Most bytes of a body.
    pub max_body: usize,
}

/// What an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served, or the copies stand.
    Ok,
    /// No copy there; never ran.
    Miss,
    /// Turned away; never ran.
    Busy,
    /// An error; may have run.
    Err,
    /// It was over already; never ran.
    Void,
    /// The worker is well.
    Up,
    /// It is not.
    Down,
}

/// What an answer tells of the copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyDetail {
    /// A copy stood loaded.
    Up,
    /// This request began a load.
    Fresh,
    /// It waited for one begun before.
    Behind,
    /// The load failed.
    Crashed,
}

/// One answer of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The id or tag under which it comes.
    pub id: String,
    /// What it says.
    pub status: Status,
    /// Of the copy.
    pub copy: Option<CopyDetail>,
    /// Requests for the same function that the worker held.
    pub crowd: u32,
    /// Copies held.
    pub copies: Option<u32>,
    /// The load report, as told: `name:value` separated by `;`.
    pub report: String,
    /// The body.
    pub body: Bytes,
}

impl Reply {
    /// The value of this name in the load report.
    pub fn report_value(&self, name: &str) -> Option<f64> {
        let pairs = self.report.split(';').filter_map(|pair| pair.split_once(':'));
        pairs.into_iter().find(|(n, _)| *n == name).and_then(|(_, value)| value.parse().ok())
    }
}

/// Takes answers out of a connection's input.
#[derive(Debug)]
pub struct AnswerDecoder {
    limits: LineLimits,
    /// The line of the answer whose body is awaited, with that body's length.
    begun: Option<(Reply, usize)>,
    /// Input already searched for the end of a line.
    searched: usize,
}

fn reply(line: &[u8]) -> Result<(Reply, usize), LinesError> {
    let line = std::str::from_utf8(line).map_err(|_| LinesError::MalformedLine)?;
    let mut words = line.split(' ');
    let (Some(id), Some(word), Some(fields), Some(length), None) =
        (words.next(), words.next(), words.next(), words.next(), words.next())
    else {
        return Err(LinesError::MalformedLine);
    };
    let word = match word {
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
        status: word,
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
    /// A decoder at the beginning of a connection.
    pub fn new(limits: LineLimits) -> Self {
        Self { limits, begun: None, searched: 0 }
    }

    /// Takes the next whole answer.
    ///
    /// # Errors
    /// Where the input is not an answer within the bounds; the connection is of no more use.
    pub fn next(&mut self, input: &mut BytesMut) -> Result<Option<Reply>, LinesError> {
        if self.begun.is_none() {
            let end = memchr::memchr(b'\n', &input[self.searched.min(input.len())..]);
            let Some(end) = end.map(|at| at + self.searched) else {
                self.searched = input.len();
                return if input.len() > self.limits.max_line {
                    Err(LinesError::LineTooLong)
                } else {
                    Ok(None)
                };
            };
            self.searched = 0;
            if end > self.limits.max_line {
                return Err(LinesError::LineTooLong);
            }
            let line = input[..end].strip_suffix(b"\r").ok_or(LinesError::MalformedLine)?;
            let (reply, length) = reply(line)?;
            if length > self.limits.max_body {
                return Err(LinesError::InvalidLength);
            }
            input.advance(end + 1);
            self.begun = Some((reply, length));
        }
        let Some((reply, length)) = self.begun.take() else { return Ok(None) };
        // Told as soon as it can be: an end that is not there is not waited for.
        let wrong = |at: usize, byte| input.get(length + at).is_some_and(|b| *b != byte);
        if wrong(0, b'\r') || wrong(1, b'\n') {
            return Err(LinesError::MissingBodyEnd);
        }
        if input.len() < length + 2 {
            self.begun = Some((reply, length));
            return Ok(None);
        }
        // In memory of its own: a slice would keep all that was read with it.
        let body = Bytes::copy_from_slice(&input[..length]);
        input.advance(length + 2);
        Ok(Some(Reply { body, ..reply }))
    }
}
