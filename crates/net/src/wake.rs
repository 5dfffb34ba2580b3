use crate::NetError;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::Arc;

/// Wakes a loop from another thread.
#[derive(Clone, Debug)]
pub struct Waker(Arc<UnixStream>);

impl Waker {
    /// The waker and the end that the loop reads.
    pub(crate) fn pair() -> Result<(Self, UnixStream), NetError> {
        let (write, read) = UnixStream::pair()?;
        write.set_nonblocking(true)?;
        read.set_nonblocking(true)?;
        Ok((Self(Arc::new(write)), read))
    }

    /// Wakes the loop. A full pipe means that it is about to wake anyway.
    pub fn wake(&self) {
        let _ = (&*self.0).write(&[1]);
    }
}

/// Reads away what woke the loop.
pub(crate) fn drain(mut from: &UnixStream) {
    let mut bytes = [0; 64];
    while matches!(from.read(&mut bytes), Ok(n) if n == bytes.len()) {}
}

/// Signals that come to a loop as [`Happened::Signal`](crate::Happened::Signal) in place of their default
/// action.
#[derive(Debug)]
pub struct Signals {
    pub(crate) pipes: Vec<(i32, UnixStream)>,
}

impl Signals {
    /// Takes over these signals for the process.
    ///
    /// # Errors
    /// Where the system refuses the pipe or the handler.
    pub fn take(signals: &[i32]) -> Result<Self, NetError> {
        let mut pipes = Vec::new();
        for signal in signals {
            let (write, read) = UnixStream::pair()?;
            read.set_nonblocking(true)?;
            signal_hook::low_level::pipe::register(*signal, write)?;
            pipes.push((*signal, read));
        }
        Ok(Self { pipes })
    }

    /// What handlers write is lost from now on.
    ///
    /// # Errors
    /// Where the system refuses a pipe.
    #[doc(hidden)]
    pub fn lose_wakes(&mut self) -> Result<(), NetError> {
        for (_, pipe) in &mut self.pipes {
            let (deaf, never) = UnixStream::pair()?;
            deaf.set_nonblocking(true)?;
            // Its other end stays open, so that it is silent.
            std::mem::forget(never);
            *pipe = deaf;
        }
        Ok(())
    }
}
