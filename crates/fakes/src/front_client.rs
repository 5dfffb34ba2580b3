//! A client of the live scheduler's Thrift front.

use basaltward_thrift::{FrameLimits, ServerReply, next_frame, read_reply, write};
use bytes::BytesMut;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// What a client was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrontReply {
    /// Served, with this body.
    Served(Vec<u8>),
    /// Turned away, with the milliseconds to stay away.
    Rejected(Option<u64>),
    /// Failed.
    Crashed,
    /// Could not be taken.
    Exception,
}

/// One connection of a client. Its requests are numbered from 1.
pub struct FrontClient {
    stream: TcpStream,
    input: BytesMut,
    seqid: i32,
}

impl FrontClient {
    /// Connects; a read fails after `patience` without a byte.
    ///
    /// # Errors
    /// Where nobody listens there.
    pub fn connect(to: SocketAddr, patience: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(patience))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, input: BytesMut::new(), seqid: 0 })
    }

    /// The port that it comes from; 0 where its connection is over.
    pub fn port(&self) -> u16 {
        self.stream.local_addr().map_or(0, |at| at.port())
    }

    /// Its socket, for tests that end or slow it in ways of their own.
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

    /// Sends a call; gives its number.
    ///
    /// # Errors
    /// Where the connection is over.
    pub fn submit(&mut self, fields: &[(&str, &str)], body: &[u8]) -> io::Result<i32> {
        self.send(|out, seqid| write::submit(out, seqid, fields, body))
    }

    /// Sends the first half of a call; gives its number and the bytes of the other half, for [`Self::raw`].
    ///
    /// # Errors
    /// Where the connection is over.
    pub fn submit_half(&mut self, fields: &[(&str, &str)], body: &[u8]) -> io::Result<(i32, Vec<u8>)> {
        self.seqid += 1;
        let mut out = BytesMut::new();
        write::submit(&mut out, self.seqid, fields, body);
        let rest = out.split_off(out.len() / 2);
        self.stream.write_all(&out)?;
        Ok((self.seqid, rest.to_vec()))
    }

    /// Waits no longer for a call.
    ///
    /// # Errors
    /// Where the connection is over.
    pub fn revoke(&mut self, of: i32) -> io::Result<()> {
        self.send(|out, seqid| write::revoke(out, seqid, of)).map(drop)
    }

    /// Asks whether calls are taken; gives the number of the question.
    ///
    /// # Errors
    /// Where the connection is over.
    pub fn heartbeat(&mut self) -> io::Result<i32> {
        self.send(write::heartbeat)
    }

    /// Sends these bytes.
    ///
    /// # Errors
    /// Where the connection is over.
    pub fn send_raw_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Asks whether calls are taken, while nothing else is open, and reads the answer: whether it is ready; `None`
    /// where the connection has ended.
    ///
    /// # Errors
    /// As [`Self::read`].
    pub fn is_ready(&mut self) -> io::Result<Option<bool>> {
        self.heartbeat()?;
        self.read_as(|_, told| matches!(told, ServerReply::Answer(_, true)))
    }

    /// Reads the next reply, with its number; `None` where the connection has ended.
    ///
    /// # Errors
    /// Where nothing comes in time or what comes is no reply.
    pub fn read(&mut self) -> io::Result<Option<(i32, FrontReply)>> {
        self.read_as(|seqid, told| {
            let reply = match told {
                ServerReply::Answer(body, _) => FrontReply::Served(body.to_vec()),
                ServerReply::Rejected(wait) => FrontReply::Rejected(wait),
                ServerReply::Crashed => FrontReply::Crashed,
                ServerReply::UnknownMethod | ServerReply::ProtocolError => FrontReply::Exception,
            };
            (seqid, reply)
        })
    }

    fn read_as<T>(&mut self, told_as: impl FnOnce(i32, ServerReply) -> T) -> io::Result<Option<T>> {
        let wrong = |error| io::Error::new(io::ErrorKind::InvalidData, error);
        loop {
            if let Some(frame) =
                next_frame(FrameLimits { max_bytes: 1 << 20 }, &mut self.input).map_err(wrong)?
            {
                let (seqid, told) = read_reply(&frame).map_err(wrong)?;
                return Ok(Some(told_as(seqid, told)));
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
