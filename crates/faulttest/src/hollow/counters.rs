//! Counters of traffic and processor time of hollow members, kept by their event loops.

use basaltward_net::Micros;

/// Delay above which an operation of a loop counts as late. It is between a tenth (7 ms) and half (35 ms) of the round
/// trip that members assume; from half of the round trip on, answers begin to miss their timeouts.
pub(crate) const LATE_US: Micros = 20_000;

/// Counters of one or all event loops since their start. Processor time is that of the loops' threads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoopCounters {
    /// Datagrams sent by members, including those dropped by injected loss.
    pub datagrams: u64,
    /// Payload bytes of these datagrams, without IP and UDP headers.
    pub bytes: u64,
    /// Datagrams received by members.
    pub received: u64,
    /// Datagrams that the system did not accept for sending.
    pub send_failures: u64,
    /// Processor time in microseconds.
    pub cpu_us: Micros,
    /// Maximum number of bytes that one member sent within one second of the clock, since the last reset.
    pub max_bytes_per_second: u64,
    /// Maximum delay in microseconds with which a loop delivered a datagram or woke a member, since the last reset.
    pub max_late_us: Micros,
    /// Operations: datagrams delivered and members woken.
    pub operations: u64,
    /// Operations more than 20 ms late. If these are more than a few, the machine was too busy for valid measurements.
    pub late_operations: u64,
    /// False deaths: running members that another member considered gone, counted once for each such observer.
    pub false_deaths: u64,
}

/// Difference of the counters between two readings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// Counters of all loops in the window.
    pub counters: LoopCounters,
    /// Length of the window in microseconds.
    pub span_us: Micros,
    /// Number of hollow members that ran.
    pub members: usize,
}

impl LoopCounters {
    /// Adds the counts of another loop.
    pub fn add(&mut self, other: &Self) {
        self.datagrams += other.datagrams;
        self.bytes += other.bytes;
        self.received += other.received;
        self.send_failures += other.send_failures;
        self.cpu_us += other.cpu_us;
        self.false_deaths += other.false_deaths;
        self.operations += other.operations;
        self.late_operations += other.late_operations;
        self.max_bytes_per_second = self.max_bytes_per_second.max(other.max_bytes_per_second);
        self.max_late_us = self.max_late_us.max(other.max_late_us);
    }

    /// The difference to an earlier reading; maxima are not changed.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            datagrams: self.datagrams - earlier.datagrams,
            bytes: self.bytes - earlier.bytes,
            received: self.received - earlier.received,
            send_failures: self.send_failures - earlier.send_failures,
            cpu_us: self.cpu_us.saturating_sub(earlier.cpu_us),
            false_deaths: self.false_deaths - earlier.false_deaths,
            operations: self.operations - earlier.operations,
            late_operations: self.late_operations - earlier.late_operations,
            ..*self
        }
    }
}

impl Window {
    /// Converts a total over all members to one member and one second.
    fn per_member_per_s(&self, total: u64) -> f64 {
        total as f64 * 1e6 / (self.span_us.max(1) as f64 * self.members.max(1) as f64)
    }

    /// Share of late operations.
    pub fn late_share(&self) -> f64 {
        self.counters.late_operations as f64 / self.counters.operations.max(1) as f64
    }

    /// Average bytes per second sent by a member.
    pub fn bytes_per_s(&self) -> f64 {
        self.per_member_per_s(self.counters.bytes)
    }

    /// Average processor time of a member in microseconds per second, including its share of the event loop.
    pub fn cpu_us_per_s(&self) -> f64 {
        self.per_member_per_s(self.counters.cpu_us)
    }
}
