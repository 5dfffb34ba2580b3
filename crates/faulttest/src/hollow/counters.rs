//! What hollow members have spent, counted by their loops.

use basaltward_net::Micros;

/// What a loop does later than this counts as late: a tenth of the round trip that members count on would be 7 ms, and
/// half of it is where answers begin to come too late.
pub(crate) const LATE_US: Micros = 20_000;

/// Counts of one or all loops since their start; times are of the loops' own threads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoopCounters {
    /// Datagrams that members sent, those that were lost on purpose among them.
    pub datagrams: u64,
    /// Their bytes, without the system's headers.
    pub bytes: u64,
    /// Datagrams that members received.
    pub received: u64,
    /// Datagrams that the system did not take.
    pub send_failures: u64,
    /// Processor time.
    pub cpu_us: Micros,
    /// Most bytes that one member sent within one second of the clock, since the last look.
    pub worst_second_bytes: u64,
    /// How late after its time a loop has carried a datagram or woken a member at worst, since the last look.
    pub worst_late_us: Micros,
    /// Datagrams carried and members woken, and how many of them more than 20 ms after their time: with more than a few
    /// the machine was too busy for the figures to count.
    pub operations: u64,
    /// See `done`.
    pub late: u64,
    /// Members that run, added up, believed to be gone by another one's news: a member counts once for each that
    /// believed it.
    pub false_deaths: u64,
}

/// What was spent between two looks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// Counts of all loops.
    pub counters: LoopCounters,
    /// How long it was.
    pub span_us: Micros,
    /// Hollow members that ran.
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
        self.late += other.late;
        self.worst_second_bytes = self.worst_second_bytes.max(other.worst_second_bytes);
        self.worst_late_us = self.worst_late_us.max(other.worst_late_us);
    }

    /// What was added since an earlier look.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            datagrams: self.datagrams - earlier.datagrams,
            bytes: self.bytes - earlier.bytes,
            received: self.received - earlier.received,
            send_failures: self.send_failures - earlier.send_failures,
            cpu_us: self.cpu_us.saturating_sub(earlier.cpu_us),
            false_deaths: self.false_deaths - earlier.false_deaths,
            operations: self.operations - earlier.operations,
            late: self.late - earlier.late,
            ..*self
        }
    }
}

impl Window {
    /// A figure of all members as one of one member in one second.
    fn each(&self, total: u64) -> f64 {
        total as f64 * 1e6 / (self.span_us.max(1) as f64 * self.members.max(1) as f64)
    }

    /// Share of what loops did that was done late.
    pub fn late_share(&self) -> f64 {
        self.counters.late as f64 / self.counters.operations.max(1) as f64
    }

    /// Bytes that a member sent in a second, on average.
    pub fn bytes_per_s(&self) -> f64 {
        self.each(self.counters.bytes)
    }

    /// Microseconds of processor time that a member took in a second, on average, its share of the loop included.
    pub fn cpu_us_per_s(&self) -> f64 {
        self.each(self.counters.cpu_us)
    }
}
