use rustix::time::{ClockId, clock_gettime};

/// Microseconds.
pub type Micros = u64;

/// The machine's monotonic clock, the same for all processes on it, in microseconds.
pub fn monotonic() -> Micros {
    micros(ClockId::Monotonic)
}

/// Processor time that this thread has used, in microseconds.
pub fn thread_time() -> Micros {
    micros(ClockId::ThreadCPUTime)
}

fn micros(id: ClockId) -> Micros {
    let now = clock_gettime(id);
    now.tv_sec.unsigned_abs() * 1_000_000 + now.tv_nsec.unsigned_abs() / 1_000
}

/// Both clocks, read once: places wall times on the monotonic clock, so that a step of the wall clock later
/// on moves nothing.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    monotonic: Micros,
    wall: Micros,
}

impl Clock {
    /// Reads both clocks.
    pub fn read() -> Self {
        Self { monotonic: monotonic(), wall: micros(ClockId::Realtime) }
    }

    /// As [`Clock::read`] on a machine whose wall clock was stepped by so many microseconds.
    #[doc(hidden)]
    pub fn read_stepped(by: i64) -> Self {
        let clock = Self::read();
        Self { wall: clock.wall.saturating_add_signed(by), ..clock }
    }

    /// When this wall time (microseconds since 1970) is or was, on the monotonic clock; 0 where that is
    /// before the clock's own zero.
    pub fn to_monotonic(&self, wall: Micros) -> Micros {
        (self.monotonic + wall).saturating_sub(self.wall)
    }

    /// When the clocks were read, on the monotonic one.
    pub fn monotonic(&self) -> Micros {
        self.monotonic
    }

    /// By how many microseconds the wall clock was stepped between this reading and another, either way.
    pub fn wall_step(&self, other: &Self) -> Micros {
        (self.wall + other.monotonic).abs_diff(other.wall + self.monotonic)
    }

    /// The wall time at which the clocks were read.
    pub fn wall(&self) -> Micros {
        self.wall
    }
}
