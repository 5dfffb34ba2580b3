//! A blocking client of the scheduler's Thrift interface.

use basaltward_thrift::{FrameLimits, ServerReply, next_frame, read_reply, write};
use bytes::BytesMut;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The reply to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ThriftReply {
    /// The call was served, with this body.
    Served(Vec<u8>),
    /// The call was refused; the client should wait for so many milliseconds before it tries again.
    Rejected(Option<u64>),
    /// The call failed.
    Crashed,
    /// The request was invalid: an unknown method or a protocol error.
    Exception,
}

/// A client with one connection. Its requests have sequence numbers from 1 on.
pub struct ThriftClient {
    stream: TcpStream,
    input: BytesMut,
    seqid: i32,
}

impl ThriftClient {
    /// Connects. A read fails after `read_timeout` without a byte.
    ///
    /// # Errors
    /// If the connection can't be opened.
    pub fn connect(to: SocketAddr, read_timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(read_timeout))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, input: BytesMut::new(), seqid: 0 })
    }

    /// The local port, or 0 if the connection is closed.
    pub fn port(&self) -> u16 {
        self.stream.local_addr().map_or(0, |address| address.port())
    }

    /// The socket, for tests that close it or slow it down themselves.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    fn send(&mut self, write: impl FnOnce(&mut BytesMut, i32)) -> io::Result<i32> {
        self.seqid += 1;
        let mut out = BytesMut::new();
        write(&mut out, self.seqid);
        self.stream.write_all(&out)?;
        Ok(self.seqid)
    }

    /// Sends a call and returns its sequence number.
    ///
    /// # Errors
    /// If the connection is closed.
    pub fn submit(&mut self, fields: &[(&str, &str)], body: &[u8]) -> io::Result<i32> {
        self.send(|out, seqid| write::submit(out, seqid, fields, body))
    }

    /// Sends the first half of a call. Returns its sequence number and the bytes of the second half, for
    /// [`Self::send_raw_bytes`].
    ///
    /// # Errors
    /// If the connection is closed.
    pub fn submit_half(&mut self, fields: &[(&str, &str)], body: &[u8]) -> io::Result<(i32, Vec<u8>)> {
        self.seqid += 1;
        let mut out = BytesMut::new();
        write::submit(&mut out, self.seqid, fields, body);
        let rest = out.split_off(out.len() / 2);
        self.stream.write_all(&out)?;
        Ok((self.seqid, rest.to_vec()))
    }

    /// Cancels a call.
    ///
    /// # Errors
    /// If the connection is closed.
    pub fn revoke(&mut self, of: i32) -> io::Result<()> {
        self.send(|out, seqid| write::revoke(out, seqid, of)).map(drop)
    }

    /// Sends a heartbeat, whose reply shows whether calls are accepted. Returns its sequence number.
    ///
    /// # Errors
    /// If the connection is closed.
    pub fn heartbeat(&mut self) -> io::Result<i32> {
        self.send(write::heartbeat)
    }

    /// Sends arbitrary bytes.
    ///
    /// # Errors
    /// If the connection is closed.
    pub fn send_raw_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a heartbeat and reads its reply: whether calls are accepted, or `None` if the connection was closed. No
    /// other request may be outstanding.
    ///
    /// # Errors
    /// As [`Self::read`].
    pub fn is_ready(&mut self) -> io::Result<Option<bool>> {
        self.heartbeat()?;
        self.read_as(|_, reply| matches!(reply, ServerReply::Answer(_, true)))
    }

    /// Reads the next reply with the sequence number of its request, or `None` if the connection was closed.
    ///
    /// # Errors
    /// If nothing arrives in time or the data is not a valid reply.
    pub fn read(&mut self) -> io::Result<Option<(i32, ThriftReply)>> {
        self.read_as(|seqid, reply| {
            let reply = match reply {
                ServerReply::Answer(body, _) => ThriftReply::Served(body.to_vec()),
                ServerReply::Rejected(wait) => ThriftReply::Rejected(wait),
                ServerReply::Crashed => ThriftReply::Crashed,
                ServerReply::UnknownMethod | ServerReply::ProtocolError => ThriftReply::Exception,
            };
            (seqid, reply)
        })
    }

    fn read_as<T>(&mut self, convert: impl FnOnce(i32, ServerReply) -> T) -> io::Result<Option<T>> {
        let invalid = |error| io::Error::new(io::ErrorKind::InvalidData, error);
        loop {
            if let Some(frame) =
                next_frame(FrameLimits { max_bytes: 1 << 20 }, &mut self.input).map_err(invalid)?
            {
                let (seqid, reply) = read_reply(&frame).map_err(invalid)?;
                return Ok(Some(convert(seqid, reply)));
            }
            let mut bytes = [0; 4_096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return Ok(None),
                Ok(read) => self.input.extend_from_slice(&bytes[..read]),
                Err(error) if error.kind() == io::ErrorKind::ConnectionReset => return Ok(None),
                Err(error) => return Err(error),
            }
        }
    }
}
