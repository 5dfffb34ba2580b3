//! The messages of the service `Front`.

use crate::ThriftError;
use crate::binary::{BOOL, I32, MAP, Reader, STOP, STRING, STRUCT, put_binary, put_field, put_map};
use bytes::{BufMut, Bytes, BytesMut};

/// Version in the first four bytes of a message of the strict protocol; the low byte holds the message type.
const VERSION: u32 = 0x8001_0000;
/// Maximum number of entries in a map of fields.
const MAX_ENTRIES: i32 = 64;
// Method names.
const SUBMIT: &str = "submit";
const REVOKE: &str = "revoke";
const HEARTBEAT: &str = "heartbeat";
// Codes of application exceptions.
const UNKNOWN_METHOD: i32 = 1;
const PROTOCOL_ERROR: i32 = 7;

/// Type of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A call that expects a reply.
    Call,
    /// A reply.
    Reply,
    /// A reply that reports that the call could not be handled.
    Exception,
    /// A call without a reply.
    Oneway,
}

/// Header of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageHeader<'a> {
    /// Type of the message.
    pub kind: MessageKind,
    /// Name of the method.
    pub method: &'a str,
    /// Sequence number of the call on this connection.
    pub seqid: i32,
}

/// Names and values of fields, in the order received.
pub type Fields<'a> = Vec<(&'a str, &'a str)>;

/// A call of `submit`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submit<'a> {
    /// Fields of the call.
    pub fields: Fields<'a>,
    /// Body of the call.
    pub body: &'a [u8],
}

/// A request from a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientRequest<'a> {
    /// `submit`: run a function.
    Submit(Submit<'a>),
    /// `revoke`: withdraw the call with this sequence number.
    Revoke(i32),
    /// `heartbeat`: report whether calls are accepted.
    Heartbeat,
    /// Any other method. It gets a reply unless the message is [`MessageKind::Oneway`].
    UnknownMethod,
}

/// A reply to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerReply<'a> {
    /// The result `Answer`: the body, and whether the call succeeded or, for a heartbeat, whether calls are accepted.
    Answer(&'a [u8], bool),
    /// The exception `Rejected`, with the time in milliseconds after which to retry, if there is one.
    Rejected(Option<u64>),
    /// The exception `Crashed`.
    Crashed,
    /// Application exception: the method does not exist.
    UnknownMethod,
    /// Application exception: the message violates the protocol.
    ProtocolError,
}

fn read_header<'a>(reader: &mut Reader<'a>) -> Result<MessageHeader<'a>, ThriftError> {
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

fn read_fields<'a>(reader: &mut Reader<'a>) -> Result<Fields<'a>, ThriftError> {
    let (key, value, count) = reader.map()?;
    if !(0..=MAX_ENTRIES).contains(&count) {
        return Err(ThriftError::MapEntries(count));
    }
    if count > 0 && (key, value) != (STRING, STRING) {
        return Err(ThriftError::Type(if key == STRING { value } else { key }));
    }
    (0..count).map(|_| Ok((reader.text()?, reader.text()?))).collect()
}

/// Reads a client's request from one frame.
///
/// # Errors
/// If the frame is not exactly one complete call of the strict binary protocol.
pub fn read_request(frame: &[u8]) -> Result<(MessageHeader<'_>, ClientRequest<'_>), ThriftError> {
    let mut reader = Reader::new(frame);
    let header = read_header(&mut reader)?;
    if matches!(header.kind, MessageKind::Reply | MessageKind::Exception) {
        return Err(ThriftError::Type(header.kind as u8 + 1));
    }
    let mut submit = Submit { fields: Vec::new(), body: &[] };
    let mut seqid = 0;
    while let Some(field) = reader.field()? {
        match (header.method, field) {
            (SUBMIT, (MAP, 1)) => submit.fields = read_fields(&mut reader)?,
            (SUBMIT, (STRING, 2)) => submit.body = reader.binary()?,
            (REVOKE, (I32, 1)) => seqid = reader.i32()?,
            (_, (kind, _)) => reader.skip(kind)?,
        }
    }
    if reader.remaining() > 0 {
        return Err(ThriftError::TrailingBytes(reader.remaining()));
    }
    let request = match header.method {
        SUBMIT => ClientRequest::Submit(submit),
        REVOKE => ClientRequest::Revoke(seqid),
        HEARTBEAT => ClientRequest::Heartbeat,
        _ => ClientRequest::UnknownMethod,
    };
    Ok((header, request))
}

/// Reads a reply from one frame, for clients. Returns the sequence number of the call and the reply.
///
/// # Errors
/// If the frame is not exactly one complete reply of the strict binary protocol.
pub fn read_reply(frame: &[u8]) -> Result<(i32, ServerReply<'_>), ThriftError> {
    let mut reader = Reader::new(frame);
    let header = read_header(&mut reader)?;
    let mut reply = None;
    while let Some((kind, id)) = reader.field()? {
        match (header.kind, kind, id) {
            (MessageKind::Exception, I32, 2) => {
                let unknown = reader.i32()? == UNKNOWN_METHOD;
                reply = Some(if unknown { ServerReply::UnknownMethod } else { ServerReply::ProtocolError });
            }
            (MessageKind::Reply, STRUCT, 0) => {
                let (mut body, mut ok): (&[u8], bool) = (&[], false);
                while let Some(field) = reader.field()? {
                    match field {
                        (STRING, 1) => body = reader.binary()?,
                        (BOOL, 3) => ok = reader.byte()? != 0,
                        (kind, _) => reader.skip(kind)?,
                    }
                }
                reply = Some(ServerReply::Answer(body, ok));
            }
            (MessageKind::Reply, STRUCT, 1 | 2) => {
                let mut retry_after_ms = None;
                while let Some(field) = reader.field()? {
                    match field {
                        (MAP, 1) => {
                            let details = read_fields(&mut reader)?;
                            let holdoff = details.iter().find(|(name, _)| *name == "holdoff");
                            retry_after_ms = holdoff.and_then(|(_, value)| value.parse().ok());
                        }
                        (kind, _) => reader.skip(kind)?,
                    }
                }
                reply =
                    Some(if id == 1 { ServerReply::Rejected(retry_after_ms) } else { ServerReply::Crashed });
            }
            _ => reader.skip(kind)?,
        }
    }
    let reply = reply.ok_or(ThriftError::Truncated)?;
    if reader.remaining() > 0 {
        return Err(ThriftError::TrailingBytes(reader.remaining()));
    }
    Ok((header.seqid, reply))
}

/// Writes the header of a message, with a frame length that [`finish_message`] sets. Returns the frame's position.
fn begin_message(out: &mut BytesMut, kind: MessageKind, method: &str, seqid: i32) -> usize {
    let frame_start = out.len();
    out.put_i32(0);
    out.put_u32(VERSION | (kind as u32 + 1));
    put_binary(out, method.as_bytes());
    out.put_i32(seqid);
    frame_start
}

/// Ends the struct of the message and sets the length of the frame that begins at `frame_start`.
fn finish_message(out: &mut BytesMut, frame_start: usize) {
    out.put_u8(STOP);
    let length = (out.len() - frame_start - 4) as u32;
    out[frame_start..frame_start + 4].copy_from_slice(&length.to_be_bytes());
}

/// Writing of messages, each as one frame.
pub mod write {
    use super::*;

    /// Writes a reply to the call of this method and sequence number.
    pub fn reply(out: &mut BytesMut, method: &str, seqid: i32, reply: &ServerReply) {
        let failed = matches!(reply, ServerReply::UnknownMethod | ServerReply::ProtocolError);
        let frame_start = begin_message(
            out,
            if failed { MessageKind::Exception } else { MessageKind::Reply },
            method,
            seqid,
        );
        match reply {
            ServerReply::Answer(body, ok) => {
                put_field(out, STRUCT, 0);
                put_field(out, STRING, 1);
                put_binary(out, body);
                put_field(out, MAP, 2);
                put_map(out, &[]);
                put_field(out, BOOL, 3);
                out.put_u8(u8::from(*ok));
                out.put_u8(STOP);
            }
            ServerReply::Rejected(retry_after_ms) => {
                let retry_after_ms = retry_after_ms.map(|ms| ms.to_string());
                let entries: Vec<_> = retry_after_ms.iter().map(|ms| ("holdoff", ms.as_str())).collect();
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
                let unknown = *reply == ServerReply::UnknownMethod;
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
        finish_message(out, frame_start);
    }

    /// Writes a call of `submit`.
    pub fn submit(out: &mut BytesMut, seqid: i32, fields: &[(&str, &str)], body: &[u8]) {
        let frame_start = begin_message(out, MessageKind::Call, SUBMIT, seqid);
        put_field(out, MAP, 1);
        put_map(out, fields);
        put_field(out, STRING, 2);
        put_binary(out, body);
        finish_message(out, frame_start);
    }

    /// Writes a one-way `revoke` of the call with the sequence number `target`.
    pub fn revoke(out: &mut BytesMut, seqid: i32, target: i32) {
        let frame_start = begin_message(out, MessageKind::Oneway, REVOKE, seqid);
        put_field(out, I32, 1);
        out.put_i32(target);
        finish_message(out, frame_start);
    }

    /// Writes a call of `heartbeat`.
    pub fn heartbeat(out: &mut BytesMut, seqid: i32) {
        let frame_start = begin_message(out, MessageKind::Call, HEARTBEAT, seqid);
        put_field(out, BOOL, 1);
        out.put_u8(1);
        finish_message(out, frame_start);
    }
}

impl Submit<'_> {
    /// Copies the body, so that it can outlive its frame. A slice would keep all input that was read with it
    /// allocated.
    pub fn owned_body(&self) -> Bytes {
        Bytes::copy_from_slice(self.body)
    }
}
