use crate::cluster::HarnessError;
use basaltward_net::NetError;
use basaltward_peers::PeerError;
use thiserror::Error;

/// Why a trial of hollow members can't be run.
#[derive(Debug, Error)]
pub enum HollowError {
    /// More descriptors than the process may have.
    #[error(
        "needs {needed} descriptors and may have {limit}: take fewer members, or raise the limit (ulimit -n)"
    )]
    Descriptors {
        /// Needed.
        needed: usize,
        /// The process's soft limit.
        limit: usize,
    },
    /// More memory than half of the machine's.
    #[error("needs {needed_mb} MB and half of the machine's memory is {half_mb} MB: take fewer members")]
    Memory {
        /// Estimated, hollow and real members together.
        needed_mb: u64,
        /// Half of the machine's.
        half_mb: u64,
    },
    /// More processes than a trial may start.
    #[error("needs {needed} processes, at most {limit}: take fewer real members")]
    Processes {
        /// Needed.
        needed: usize,
        /// The bound.
        limit: usize,
    },
    /// No free ports for all members at their host.
    #[error("{found} of {needed} ports are free at {host}: end what else uses them, or take fewer members")]
    Ports {
        /// Free.
        found: usize,
        /// Needed.
        needed: usize,
        /// The loopback address.
        host: std::net::Ipv4Addr,
    },
    /// A hollow member can't be made.
    #[error("hollow member: {0}")]
    Member(#[from] PeerError),
    /// A loop.
    #[error("loop: {0}")]
    Loop(#[from] NetError),
    /// A loop has ended before it was told to.
    #[error("a loop of hollow members has ended: its cause stands above, if any")]
    Ended,
    /// A real process or what it needs.
    #[error(transparent)]
    Real(#[from] HarnessError),
    /// The system.
    #[error("system: {0}")]
    System(#[from] std::io::Error),
    /// SIGINT or SIGTERM came.
    #[error("ended by signal {0}: processes and sockets are closed")]
    Signal(i32),
}
