//! A loop over non-blocking sockets on epoll: it moves bytes and tells what happened, and decides nothing.
//!
//! The owner calls [`Io::turn`] and goes through what [`Happened`]; it takes received bytes from
//! [`Io::input`] and puts bytes to send into [`Io::output`], which are written together at the next turn.
#![warn(missing_docs)]

mod clock;
mod datagram;
mod diverted;
mod io;
mod listen;
mod retry;
mod system;
mod wake;

pub use clock::{Clock, Micros, monotonic, thread_time};
pub use diverted::DivertedDatagram;
pub use io::{ConnId, EndReason, Io, IoEvent, IoLimits, NetError};
pub use listen::bind;
#[doc(hidden)]
pub use rustix::io::Errno;
#[doc(hidden)]
pub use system::SystemCall;
pub use wake::{Signals, Waker};
