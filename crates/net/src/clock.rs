use rustix::time::{ClockId, clock_gettime};

/// Microseconds.
pub type Micros = u64;

/// Time of the machine's monotonic clock in microseconds; the same for all processes on the machine.
pub fn monotonic() -> Micros {
    micros(ClockId::Monotonic)
}

/// CPU time used by this thread, in microseconds.
pub fn thread_time() -> Micros {
    micros(ClockId::ThreadCPUTime)
}

fn micros(id: ClockId) -> Micros {
    let now = clock_gettime(id);
    now.tv_sec.unsigned_abs() * 1_000_000 + now.tv_nsec.unsigned_abs() / 1_000
}

/// One simultaneous reading of the monotonic and the wall clock. It converts wall times to the monotonic clock, so
/// that later steps of the wall clock have no effect.
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

    /// Like [`Clock::read`], on a machine whose wall clock was stepped by this number of microseconds.
    #[doc(hidden)]
    pub fn read_stepped(by: i64) -> Self {
        let clock = Self::read();
        Self { wall: clock.wall.saturating_add_signed(by), ..clock }
    }

    /// Converts a wall time (microseconds since 1970) to the monotonic clock; 0 for a time before that clock's zero.
    pub fn to_monotonic(&self, wall: Micros) -> Micros {
        (self.monotonic + wall).saturating_sub(self.wall)
    }

    /// Monotonic time of the reading.
    pub fn monotonic(&self) -> Micros {
        self.monotonic
    }

    /// Absolute size in microseconds of the wall clock's step between this reading and another.
    pub fn wall_step(&self, other: &Self) -> Micros {
        (self.wall + other.monotonic).abs_diff(other.wall + self.monotonic)
    }

    /// Wall time of the reading.
    pub fn wall(&self) -> Micros {
        self.wall
    }
}
