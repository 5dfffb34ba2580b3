//! Which bytes of a connection's requests its socket has: what proves that a request never began, or never went
//! whole.

use basaltward_net::{ConnId, Io};
use bytes::BytesMut;

/// Where a request's bytes are among all that were given to its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span {
    begin: u64,
    end: u64,
}

/// How much of a request its socket has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendProgress {
    /// No byte: it can be taken back.
    Unsent,
    /// Some: the rest has to follow, or the lines are out of step.
    Partial,
    /// All of it: it may run.
    Complete,
}

/// Counts the bytes given to one connection and not taken back.
#[derive(Default)]
pub struct SentBytes {
    bytes: u64,
}

impl SentBytes {
    /// Has something written to the connection's output; `None` for one that takes no more.
    pub fn write(&mut self, io: &mut Io, conn: ConnId, write: impl FnOnce(&mut BytesMut)) -> Option<Span> {
        let out = io.output(conn)?;
        let (before, begin) = (out.len(), self.bytes);
        write(out);
        self.bytes += (out.len() - before) as u64;
        Some(Span { begin, end: self.bytes })
    }

    /// How much of a request the socket has.
    pub fn progress(&self, io: &mut Io, conn: ConnId, of: Span) -> SendProgress {
        let taken = self.bytes - io.unsent(conn) as u64;
        match of {
            Span { begin, .. } if taken <= begin => SendProgress::Unsent,
            Span { end, .. } if taken < end => SendProgress::Partial,
            _ => SendProgress::Complete,
        }
    }

    /// Takes a request out of the output again; `others` are the spans of the rest, which close up. False where its
    /// socket has some of it.
    pub fn withdraw<'a>(
        &mut self,
        io: &mut Io,
        conn: ConnId,
        of: Span,
        others: impl Iterator<Item = &'a mut Span>,
    ) -> bool {
        if self.progress(io, conn, of) != SendProgress::Unsent {
            return false;
        }
        // Of a connection that has ended nothing more goes out, and what it has stays as it is.
        let Some(out) = io.output(conn) else { return true };
        let taken = self.bytes - out.len() as u64;
        let length = of.end - of.begin;
        let (from, to) = ((of.begin - taken) as usize, (of.end - taken) as usize);
        out.copy_within(to.., from);
        out.truncate(out.len() - length as usize);
        self.bytes -= length;
        for span in others.filter(|span| span.begin >= of.end) {
            (span.begin, span.end) = (span.begin - length, span.end - length);
        }
        true
    }
}
