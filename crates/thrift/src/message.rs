//! The messages of `Front`.

use crate::ThriftError;
use crate::binary::{BOOL, I32, MAP, Reader, STOP, STRING, STRUCT, put_binary, put_field, put_map};
use bytes::{BufMut, Bytes, BytesMut};

/// First word of a message in the strict protocol, without its type.
const VERSION: u32 = 0x8001_0000;
/// Most entries of a map of fields.
const ENTRIES: i32 = 64;
/// Method names, and codes of application exceptions.
const SUBMIT: &str = "submit";
const REVOKE: &str = "revoke";
const HEARTBEAT: &str = "heartbeat";
const UNKNOWN_METHOD: i32 = 1;
const PROTOCOL_ERROR: i32 = 7;

/// Type of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Wants a reply.
    Call,
    /// Is one.
    Reply,
    /// Is one that says that the call could not be taken.
    Exception,
    /// Wants none.
    Oneway,
}

/// What stands before each message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageHeader<'a> {
    /// Its type.
    pub kind: MessageKind,
    /// The method.
    pub method: &'a str,
    /// Its number on this connection.
    pub seqid: i32,
}

/// Fields by name, in the order told.
pub type Fields<'a> = Vec<(&'a str, &'a str)>;

/// A call of `submit`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submit<'a> {
    /// Its fields.
    pub fields: Fields<'a>,
    /// Its body.
    pub body: &'a [u8],
}

/// What a client asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientRequest<'a> {
    /// Run a function.
    Submit(Submit<'a>),
    /// Wait no longer for the call of this number.
    Revoke(i32),
    /// Say whether calls are taken.
    Heartbeat,
    /// A method that does not exist here; a reply is owed only where it is not one-way.
    UnknownMethod,
}

/// What a client is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerReply<'a> {
    /// `Answer`: the body, and whether all is good.
    Answer(&'a [u8], bool),
    /// `Rejected`, with the milliseconds to stay away.
    Rejected(Option<u64>),
    /// `Crashed`.
    Crashed,
    /// The method does not exist.
    UnknownMethod,
    /// What was sent is not by the protocol.
    ProtocolError,
}

fn head<'a>(reader: &mut Reader<'a>) -> Result<MessageHeader<'a>, ThriftError> {
    let word = reader.i32()? as u32;
    if word & 0xffff_0000 != VERSION {
        return Err(ThriftError::Version(word));
    }
    let kind = match word as u8 {
        1 => MessageKind::Call,
        2 => MessageKind::Reply,
        3 => MessageKind::Exception,
        4 => MessageKind::Oneway,
        other => return Err(ThriftError::Type(other)),
    };
    Ok(MessageHeader { kind, method: reader.text()?, seqid: reader.i32()? })
}

fn fields<'a>(reader: &mut Reader<'a>) -> Result<Fields<'a>, ThriftError> {
    let (key, value, count) = reader.map()?;
    if !(0..=ENTRIES).contains(&count) {
        return Err(ThriftError::MapEntries(count));
    }
    if count > 0 && (key, value) != (STRING, STRING) {
        return Err(ThriftError::Type(if key == STRING { value } else { key }));
    }
    (0..count).map(|_| Ok((reader.text()?, reader.text()?))).collect()
}

/// Reads what a client sent in one frame.
///
/// # Errors
/// Where it is not a message of the strict binary protocol, whole and with nothing after it.
pub fn read_request(frame: &[u8]) -> Result<(MessageHeader<'_>, ClientRequest<'_>), ThriftError> {
    let mut reader = Reader::new(frame);
    let head = head(&mut reader)?;
    if matches!(head.kind, MessageKind::Reply | MessageKind::Exception) {
        return Err(ThriftError::Type(head.kind as u8 + 1));
    }
    let mut submit = Submit { fields: Vec::new(), body: &[] };
    let mut seqid = 0;
    while let Some(field) = reader.field()? {
        match (head.method, field) {
            (SUBMIT, (MAP, 1)) => submit.fields = fields(&mut reader)?,
            (SUBMIT, (STRING, 2)) => submit.body = reader.binary()?,
            (REVOKE, (I32, 1)) => seqid = reader.i32()?,
            (_, (kind, _)) => reader.skip(kind)?,
        }
    }
    if reader.remaining() > 0 {
        return Err(ThriftError::TrailingBytes(reader.remaining()));
    }
    let asked = match head.method {
        SUBMIT => ClientRequest::Submit(submit),
        REVOKE => ClientRequest::Revoke(seqid),
        HEARTBEAT => ClientRequest::Heartbeat,
        _ => ClientRequest::UnknownMethod,
    };
    Ok((head, asked))
}

/// Reads a reply, as a client does: what it tells, with its number.
///
/// # Errors
/// Where it is not a reply of the strict binary protocol.
pub fn read_reply(frame: &[u8]) -> Result<(i32, ServerReply<'_>), ThriftError> {
    let mut reader = Reader::new(frame);
    let head = head(&mut reader)?;
    let mut told = None;
    while let Some((kind, id)) = reader.field()? {
        match (head.kind, kind, id) {
            (MessageKind::Exception, I32, 2) => {
                let unknown = reader.i32()? == UNKNOWN_METHOD;
                told = Some(if unknown { ServerReply::UnknownMethod } else { ServerReply::ProtocolError });
            }
            (MessageKind::Reply, STRUCT, 0) => {
                let (mut body, mut good): (&[u8], bool) = (&[], false);
                while let Some(field) = reader.field()? {
                    match field {
                        (STRING, 1) => body = reader.binary()?,
                        (BOOL, 3) => good = reader.byte()? != 0,
                        (kind, _) => reader.skip(kind)?,
                    }
                }
                told = Some(ServerReply::Answer(body, good));
            }
            (MessageKind::Reply, STRUCT, 1 | 2) => {
                let mut wait = None;
                while let Some(field) = reader.field()? {
                    match field {
                        (MAP, 1) => {
                            let told = fields(&mut reader)?;
                            let holdoff = told.iter().find(|(name, _)| *name == "holdoff");
                            wait = holdoff.and_then(|(_, value)| value.parse().ok());
                        }
                        (kind, _) => reader.skip(kind)?,
                    }
                }
                told = Some(if id == 1 { ServerReply::Rejected(wait) } else { ServerReply::Crashed });
            }
            _ => reader.skip(kind)?,
        }
    }
    let told = told.ok_or(ThriftError::Truncated)?;
    if reader.remaining() > 0 {
        return Err(ThriftError::TrailingBytes(reader.remaining()));
    }
    Ok((head.seqid, told))
}

fn begin(out: &mut BytesMut, kind: MessageKind, name: &str, seqid: i32) -> usize {
    let at = out.len();
    out.put_i32(0);
    out.put_u32(VERSION | (kind as u32 + 1));
    put_binary(out, name.as_bytes());
    out.put_i32(seqid);
    at
}

fn finish(out: &mut BytesMut, at: usize) {
    out.put_u8(STOP);
    let length = (out.len() - at - 4) as u32;
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

/// Writes messages as frames.
pub mod write {
    use super::*;

    /// A reply to a call of this name and number.
    pub fn reply(out: &mut BytesMut, name: &str, seqid: i32, told: &ServerReply) {
        let failed = matches!(told, ServerReply::UnknownMethod | ServerReply::ProtocolError);
        let at = begin(out, if failed { MessageKind::Exception } else { MessageKind::Reply }, name, seqid);
        match told {
            ServerReply::Answer(body, good) => {
                put_field(out, STRUCT, 0);
                put_field(out, STRING, 1);
                put_binary(out, body);
                put_field(out, MAP, 2);
                put_map(out, &[]);
                put_field(out, BOOL, 3);
                out.put_u8(u8::from(*good));
                out.put_u8(STOP);
            }
            ServerReply::Rejected(wait) => {
                let wait = wait.map(|ms| ms.to_string());
                let entries: Vec<_> = wait.iter().map(|ms| ("holdoff", ms.as_str())).collect();
                put_field(out, STRUCT, 1);
                put_field(out, MAP, 1);
                put_map(out, &entries);
                out.put_u8(STOP);
            }
            ServerReply::Crashed => {
                put_field(out, STRUCT, 2);
                put_field(out, MAP, 1);
                put_map(out, &[]);
                out.put_u8(STOP);
            }
            ServerReply::UnknownMethod | ServerReply::ProtocolError => {
                let unknown = *told == ServerReply::UnknownMethod;
                let (text, code) = if unknown {
                    ("no such method", UNKNOWN_METHOD)
                } else {
                    ("not by the protocol", PROTOCOL_ERROR)
                };
                put_field(out, STRING, 1);
                put_binary(out, text.as_bytes());
                put_field(out, I32, 2);
                out.put_i32(code);
            }
        }
        finish(out, at);
    }

    /// A call of `submit`.
    pub fn submit(out: &mut BytesMut, seqid: i32, fields: &[(&str, &str)], body: &[u8]) {
        let at = begin(out, MessageKind::Call, SUBMIT, seqid);
        put_field(out, MAP, 1);
        put_map(out, fields);
        put_field(out, STRING, 2);
        put_binary(out, body);
        finish(out, at);
    }

    /// `revoke` of the call of this number.
    pub fn revoke(out: &mut BytesMut, seqid: i32, of: i32) {
        let at = begin(out, MessageKind::Oneway, REVOKE, seqid);
        put_field(out, I32, 1);
        out.put_i32(of);
        finish(out, at);
    }

    /// A call of `heartbeat`.
    pub fn heartbeat(out: &mut BytesMut, seqid: i32) {
        let at = begin(out, MessageKind::Call, HEARTBEAT, seqid);
        put_field(out, BOOL, 1);
        out.put_u8(1);
        finish(out, at);
    }
}

/// A body that outlives its frame, in memory of its own: a slice would keep all that was read with it.
impl Submit<'_> {
    /// The body, copied.
    pub fn owned_body(&self) -> Bytes {
        Bytes::copy_from_slice(self.body)
    }
}
