use crate::NetError;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

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

/// A signal that comes to a loop.
#[derive(Debug)]
pub(crate) struct Signal {
    pub number: i32,
    /// Its handler writes to the other end: this wakes the loop.
    pub pipe: UnixStream,
    /// Its handler sets it: this says that the signal came.
    came: Arc<AtomicBool>,
}

impl Signal {
    /// Whether it has come since this was last asked.
    pub fn take(&self) -> bool {
        self.came.swap(false, Ordering::AcqRel)
    }
}

/// Signals that come to a loop as [`Happened::Signal`](crate::Happened::Signal) in place of their default
/// action.
#[derive(Debug)]
pub struct Signals {
    pub(crate) taken: Vec<Signal>,
}

impl Signals {
    /// Takes over these signals for the process.
    ///
    /// # Errors
    /// Where the system refuses the pipe or the handler.
    pub fn register(signals: &[i32]) -> Result<Self, NetError> {
        let mut taken = Vec::new();
        for number in signals.iter().copied() {
            let (write, pipe) = UnixStream::pair()?;
            pipe.set_nonblocking(true)?;
            let came = Arc::<AtomicBool>::default();
            // In this order: whoever is woken finds the mark.
            signal_hook::flag::register(number, came.clone())?;
            signal_hook::low_level::pipe::register(number, write)?;
            taken.push(Signal { number, pipe, came });
        }
        Ok(Self { taken })
    }

    /// What handlers write is lost from now on.
    ///
    /// # Errors
    /// Where the system refuses a pipe.
    #[doc(hidden)]
    pub fn discard_wakes(&mut self) -> Result<(), NetError> {
        for signal in &mut self.taken {
            let (deaf, never) = UnixStream::pair()?;
            deaf.set_nonblocking(true)?;
            // Its other end stays open, so that it is silent.
            std::mem::forget(never);
            signal.pipe = deaf;
        }
        Ok(())
    }
}
