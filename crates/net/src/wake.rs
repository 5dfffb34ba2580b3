use crate::NetError;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Wakes a loop from another thread.
#[derive(Clone, Debug)]
pub struct Waker(Arc<UnixStream>);

impl Waker {
    /// Creates a waker and the end of its socket pair that the loop reads.
    pub(crate) fn pair() -> Result<(Self, UnixStream), NetError> {
        let (write, read) = UnixStream::pair()?;
        write.set_nonblocking(true)?;
        read.set_nonblocking(true)?;
        Ok((Self(Arc::new(write)), read))
    }

    /// Wakes the loop. If the socket's buffer is full, the loop is about to wake anyway.
    pub fn wake(&self) {
        let _ = (&*self.0).write(&[1]);
    }
}

/// Discards the bytes that woke the loop.
pub(crate) fn drain(mut from: &UnixStream) {
    let mut bytes = [0; 64];
    while matches!(from.read(&mut bytes), Ok(n) if n == bytes.len()) {}
}

/// A signal that is delivered to a loop.
#[derive(Debug)]
pub(crate) struct Signal {
    pub number: i32,
    /// The signal handler writes to the other end, which wakes the loop.
    pub pipe: UnixStream,
    /// Set by the signal handler. Unlike the write to `pipe`, this mark can't be lost.
    is_pending: Arc<AtomicBool>,
}

impl Signal {
    /// Whether the signal has been delivered since the last call.
    pub fn take(&self) -> bool {
        self.is_pending.swap(false, Ordering::AcqRel)
    }
}

/// Signals that are delivered to a loop as [`IoEvent::Signal`](crate::IoEvent::Signal) in place of their default
/// action.
#[derive(Debug)]
pub struct Signals {
    pub(crate) registered: Vec<Signal>,
}

impl Signals {
    /// Registers handlers for these signals in the process.
    ///
    /// # Errors
    /// If the pipe can't be created or a handler can't be registered.
    pub fn register(signals: &[i32]) -> Result<Self, NetError> {
        let mut registered = Vec::new();
        for number in signals.iter().copied() {
            let (write, pipe) = UnixStream::pair()?;
            pipe.set_nonblocking(true)?;
            let is_pending = Arc::<AtomicBool>::default();
            // Handlers run in the order of registration, so a loop that is woken finds the mark set.
            signal_hook::flag::register(number, is_pending.clone())?;
            signal_hook::low_level::pipe::register(number, write)?;
            registered.push(Signal { number, pipe, is_pending });
        }
        Ok(Self { registered })
    }

    /// Makes the handlers' writes to wake the loop have no effect, for tests.
    ///
    /// # Errors
    /// If a pipe can't be created.
    #[doc(hidden)]
    pub fn discard_wakes(&mut self) -> Result<(), NetError> {
        for signal in &mut self.registered {
            let (silent, other_end) = UnixStream::pair()?;
            silent.set_nonblocking(true)?;
            // The other end is leaked so that it stays open: closing it would make this end readable.
            std::mem::forget(other_end);
            signal.pipe = silent;
        }
        Ok(())
    }
}
