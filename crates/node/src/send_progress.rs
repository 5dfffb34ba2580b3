//! Tracks how much of each request a connection's socket has taken. This proves that a request never began, or was
//! never sent completely.

use basaltward_net::{ConnId, Io};
use bytes::BytesMut;

/// A request's byte range in all that was written to its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span {
    begin: u64,
    end: u64,
}

/// How much of a request the socket has taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendProgress {
    /// No byte: the request can be withdrawn.
    Unsent,
    /// A part: the rest has to follow, or the worker would misread the next line.
    Partial,
    /// All of it: the request may run.
    Complete,
}

/// Counts the bytes written to one connection and not withdrawn.
#[derive(Default)]
pub struct OutputBytes {
    bytes: u64,
}

impl OutputBytes {
    /// Writes to the connection's output; `None` if the connection accepts no more.
    pub fn write(&mut self, io: &mut Io, conn: ConnId, write: impl FnOnce(&mut BytesMut)) -> Option<Span> {
        let out = io.output(conn)?;
        let (before, begin) = (out.len(), self.bytes);
        write(out);
        self.bytes += (out.len() - before) as u64;
        Some(Span { begin, end: self.bytes })
    }

    /// How much of a request the socket has taken.
    pub fn progress(&self, io: &mut Io, conn: ConnId, span: Span) -> SendProgress {
        let taken = self.bytes - io.unsent(conn) as u64;
        match span {
            Span { begin, .. } if taken <= begin => SendProgress::Unsent,
            Span { end, .. } if taken < end => SendProgress::Partial,
            _ => SendProgress::Complete,
        }
    }

    /// Withdraws a request from the output; `others` are the spans of the connection's other requests, which shift
    /// accordingly. False if the socket has some of it.
    pub fn withdraw<'a>(
        &mut self,
        io: &mut Io,
        conn: ConnId,
        request: Span,
        others: impl Iterator<Item = &'a mut Span>,
    ) -> bool {
        if self.progress(io, conn, request) != SendProgress::Unsent {
            return false;
        }
        // A connection that has ended sends no more, and the bytes that its socket took remain as they are.
        let Some(out) = io.output(conn) else { return true };
        let taken = self.bytes - out.len() as u64;
        let length = request.end - request.begin;
        let (from, to) = ((request.begin - taken) as usize, (request.end - taken) as usize);
        out.copy_within(to.., from);
        out.truncate(out.len() - length as usize);
        self.bytes -= length;
        for span in others.filter(|span| span.begin >= request.end) {
            (span.begin, span.end) = (span.begin - length, span.end - length);
        }
        true
    }
}
