//! Estimates the resources that a run needs and checks them against the machine before it starts.

use super::error::HollowError;
use rustix::process::{Resource, getrlimit};

/// Descriptors in addition to the members' sockets: standard streams, the probe's socket, files, and the stand-ins for
/// bulletin and worker with their connections.
const OTHER_DESCRIPTORS: usize = 128;
/// Descriptors of one event loop: epoll and the two ends of the waker.
const LOOP_DESCRIPTORS: usize = 4;
/// Descriptors for one real process: its two output streams and its connections to bulletin and worker.
const REAL_DESCRIPTORS: usize = 6;
/// Memory of one member for each member in its list: the address twice, the entry, facts and pending gossip. Measured
/// at 300 to 370 bytes with 300 to 1,900 members.
const PAIR_BYTES: u64 = 500;
/// Fixed memory of a hollow member in bytes, independent of the list.
const MEMBER_BYTES: u64 = 64 << 10;
/// Fixed memory of a real process in bytes, independent of the list.
const REAL_BYTES: u64 = 32 << 20;
/// Maximum number of processes of one run, including this one.
const MAX_PROCESSES: usize = 300;

/// Estimated resources of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceEstimate {
    /// File descriptors of this process.
    pub descriptors: usize,
    /// Memory of all processes in bytes.
    pub memory_bytes: u64,
    /// Number of processes, including this one.
    pub processes: usize,
}

/// Limits of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimits {
    /// File descriptors that this process may open (the soft limit; it is not raised).
    pub descriptors: usize,
    /// Total memory in bytes.
    pub memory_bytes: u64,
}

impl ResourceEstimate {
    /// The estimate for these numbers of hollow members, real members and event loops.
    pub fn new(hollow: usize, real: usize, loops: usize) -> Self {
        let members = (hollow + real) as u64;
        let list = members * PAIR_BYTES;
        Self {
            descriptors: hollow + loops * LOOP_DESCRIPTORS + real * REAL_DESCRIPTORS + OTHER_DESCRIPTORS,
            memory_bytes: hollow as u64 * (MEMBER_BYTES + list) + real as u64 * (REAL_BYTES + list),
            processes: real + 1,
        }
    }

    /// Checks the estimate against the machine: all descriptors, half of the memory and 300 processes may be used.
    ///
    /// # Errors
    /// The resource that does not suffice.
    pub fn check(&self, machine: &MachineLimits) -> Result<(), HollowError> {
        let half = machine.memory_bytes / 2;
        if self.processes > MAX_PROCESSES {
            return Err(HollowError::Processes { needed: self.processes, limit: MAX_PROCESSES });
        }
        if self.descriptors > machine.descriptors {
            return Err(HollowError::Descriptors { needed: self.descriptors, limit: machine.descriptors });
        }
        if self.memory_bytes > half {
            return Err(HollowError::Memory { needed_mb: self.memory_bytes >> 20, half_mb: half >> 20 });
        }
        Ok(())
    }
}

impl MachineLimits {
    /// Reads the descriptor limit of this process and the memory of this machine.
    ///
    /// # Errors
    /// `/proc/meminfo` cannot be read or has no `MemTotal`.
    pub fn read() -> std::io::Result<Self> {
        let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let text = std::fs::read_to_string("/proc/meminfo")?;
        let unknown = || std::io::Error::other("/proc/meminfo has no MemTotal");
        let memory_bytes = kilobytes(&text, "MemTotal:").ok_or_else(unknown)? << 10;
        Ok(Self { descriptors: usize::try_from(limit).unwrap_or(usize::MAX), memory_bytes })
    }
}

/// Resident memory of this process in bytes.
pub(crate) fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    kilobytes(&text, "VmRSS:").unwrap_or_default() << 10
}

/// The number in a line like `name   123 kB`.
fn kilobytes(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}
