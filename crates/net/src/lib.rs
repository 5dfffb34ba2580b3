//! An event loop for non-blocking sockets on epoll. It transfers bytes and reports events, and contains no policy.
//!
//! The owner calls [`Io::turn`] and handles the returned [`IoEvent`]s. It takes received bytes from [`Io::input`] and
//! appends bytes to send to [`Io::output`]; they are written together at the next turn.
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
