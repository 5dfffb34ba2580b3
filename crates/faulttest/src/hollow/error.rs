use crate::cluster::HarnessError;
use basaltward_net::NetError;
use basaltward_peers::PeerError;
use thiserror::Error;

/// Errors of a run with hollow members.
#[derive(Debug, Error)]
pub enum HollowError {
    /// The run needs more descriptors than the process may open.
    #[error(
        "needs {needed} file descriptors but the limit is {limit}: use fewer members, or raise the limit (ulimit -n)"
    )]
    Descriptors {
        /// Number needed.
        needed: usize,
        /// Soft limit of the process.
        limit: usize,
    },
    /// The run needs more than half of the machine's memory.
    #[error("needs {needed_mb} MB but half of the machine's memory is {half_mb} MB: use fewer members")]
    Memory {
        /// Estimate for hollow and real members together.
        needed_mb: u64,
        /// Half of the machine's memory.
        half_mb: u64,
    },
    /// The run needs more processes than allowed.
    #[error("needs {needed} processes but the limit is {limit}: use fewer real members")]
    Processes {
        /// Number needed.
        needed: usize,
        /// Maximum number of processes.
        limit: usize,
    },
    /// Not enough free ports for all members at their address.
    #[error(
        "only {found} of {needed} ports are free at {host}: stop other users of these ports, or use fewer members"
    )]
    Ports {
        /// Number of free ports.
        found: usize,
        /// Number needed.
        needed: usize,
        /// Loopback address of the members.
        host: std::net::Ipv4Addr,
    },
    /// A hollow member could not be started.
    #[error("hollow member: {0}")]
    Member(#[from] PeerError),
    /// An event loop could not be created or failed.
    #[error("event loop: {0}")]
    Loop(#[from] NetError),
    /// The event loop of hollow members ended unexpectedly.
    #[error("an event loop of hollow members ended unexpectedly; its cause, if known, is printed above")]
    Ended,
    /// A real process, or the stand-ins and files it needs, failed.
    #[error(transparent)]
    Real(#[from] HarnessError),
    /// A system call failed.
    #[error("system: {0}")]
    System(#[from] std::io::Error),
    /// SIGINT or SIGTERM was received.
    #[error("ended by signal {0}; processes are stopped and sockets closed")]
    Signal(i32),
}
