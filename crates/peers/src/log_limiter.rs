//! Bounds the log lines on one matter: so many a second, and a count of those left out.

use basaltward_net::Micros;
use tracing::info;

/// Log lines in a second at most; more are counted.
const MAX_LINES_PER_S: u32 = 50;

/// Bounds the log lines on one matter.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter {
    /// The second that they are counted for, those written in it, and those left out.
    window: (Micros, u32, u32),
}

impl LogLimiter {
    /// Whether a line may be written; tells of those that were left out in the second before.
    pub fn allows(&mut self, now: Micros, matter: &str) -> bool {
        if now >= self.window.0 + 1_000_000 {
            if self.window.2 > 0 {
                info!(left_out = self.window.2, "{matter}");
            }
            self.window = (now, 0, 0);
        }
        let may = self.window.1 < MAX_LINES_PER_S;
        self.window.1 += u32::from(may);
        self.window.2 += u32::from(!may);
        may
    }
}
