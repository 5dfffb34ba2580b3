//! Limits the rate of log lines on one topic, and counts the suppressed lines.

use basaltward_net::Micros;
use tracing::info;

/// The most log lines per second; further ones are only counted.
const MAX_LINES_PER_S: u32 = 50;

/// Limits the rate of log lines on one topic.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter {
    /// Start of the current one-second window, lines written in it, and lines suppressed in it.
    window: (Micros, u32, u32),
}

impl LogLimiter {
    /// Whether a line may be written now. When a new window begins, it logs how many lines the previous one
    /// suppressed, with `topic` as the message.
    pub fn allows(&mut self, now: Micros, topic: &str) -> bool {
        if now >= self.window.0 + 1_000_000 {
            if self.window.2 > 0 {
                info!(left_out = self.window.2, "{topic}");
            }
            self.window = (now, 0, 0);
        }
        let allowed = self.window.1 < MAX_LINES_PER_S;
        self.window.1 += u32::from(allowed);
        self.window.2 += u32::from(!allowed);
        allowed
    }
}
