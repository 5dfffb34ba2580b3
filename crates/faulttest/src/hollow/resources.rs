//! What a trial will take of the machine, known before it starts.

use super::error::HollowError;
use rustix::process::{Resource, getrlimit};

/// Descriptors beside the members' sockets: standard streams, probe, files, the bulletin and the worker of real
/// processes with their connections.
const OTHER_DESCRIPTORS: usize = 128;
/// Descriptors of one loop: epoll, waker and its far end.
const LOOP_DESCRIPTORS: usize = 4;
/// Descriptors for one real process: its two streams, and its connections to the bulletin and the worker.
const REAL_DESCRIPTORS: usize = 6;
/// Bytes that a member holds for each member of the list: address twice, entry, facts, news. Measured 300 to 370 at 300
/// to 1,900 members.
const PAIR_BYTES: u64 = 500;
/// Bytes of a member whatever the list.
const MEMBER_BYTES: u64 = 64 << 10;
/// Bytes of a real process whatever the list.
const REAL_BYTES: u64 = 32 << 20;
/// Most processes of one trial, this one among them.
const MOST_PROCESSES: usize = 300;

/// Estimates for one trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceEstimate {
    /// Descriptors of this process.
    pub descriptors: usize,
    /// Bytes of memory, over all processes.
    pub memory_bytes: u64,
    /// Processes, this one among them.
    pub processes: usize,
}

/// What the machine allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimits {
    /// Descriptors that this process may have (soft limit; it is not raised).
    pub descriptors: usize,
    /// All memory, in bytes.
    pub memory_bytes: u64,
}

impl ResourceEstimate {
    /// The estimate for so many hollow and real members on so many loops.
    pub fn new(hollow: usize, real: usize, loops: usize) -> Self {
        let members = (hollow + real) as u64;
        let list = members * PAIR_BYTES;
        Self {
            descriptors: hollow + loops * LOOP_DESCRIPTORS + real * REAL_DESCRIPTORS + OTHER_DESCRIPTORS,
            memory_bytes: hollow as u64 * (MEMBER_BYTES + list) + real as u64 * (REAL_BYTES + list),
            processes: real + 1,
        }
    }

    /// Whether it fits: all descriptors, half of the memory, a few hundred processes.
    ///
    /// # Errors
    /// What does not fit.
    pub fn check(&self, machine: &MachineLimits) -> Result<(), HollowError> {
        let half = machine.memory_bytes / 2;
        if self.processes > MOST_PROCESSES {
            return Err(HollowError::Processes { needed: self.processes, limit: MOST_PROCESSES });
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
    /// This process's limit and this machine's memory.
    ///
    /// # Errors
    /// Where the system does not say how much memory there is.
    pub fn read() -> std::io::Result<Self> {
        let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let told = std::fs::read_to_string("/proc/meminfo")?;
        let unknown = || std::io::Error::other("/proc/meminfo tells no MemTotal");
        let memory_bytes = kilobytes(&told, "MemTotal:").ok_or_else(unknown)? << 10;
        Ok(Self { descriptors: usize::try_from(limit).unwrap_or(usize::MAX), memory_bytes })
    }
}

/// Bytes of memory that this process holds now.
pub(crate) fn resident_bytes() -> u64 {
    let told = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    kilobytes(&told, "VmRSS:").unwrap_or_default() << 10
}

/// The figure of a line `name   123 kB`.
fn kilobytes(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}
