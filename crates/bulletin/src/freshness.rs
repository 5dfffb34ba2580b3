//! Age of the follower's list of workers, by the time limits of the protocol.
//!
//! Only one kind of line confirms that the list is complete: a number without an event that equals the number of the
//! last event applied. An open connection, an event or a lower number confirms nothing.

/// Microseconds.
type Micros = u64;

/// After a connection broke, events that it did not deliver count as delivered this many microseconds later.
pub const DELIVERED_AFTER_BREAK_US: Micros = 2_000_000;
/// After a bulletin became silent, events that it did not deliver count as delivered this many microseconds after the
/// list was last confirmed.
pub const DELIVERED_AFTER_SILENCE_US: Micros = 4_000_000;
/// A bulletin sends a line every second. After this many microseconds (half a second late) it counts as interrupted.
pub const LINE_OVERDUE_US: Micros = 1_500_000;

/// Why the list of workers is currently not updated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The connection ended or delivered an invalid line.
    Broken,
    /// The list was not confirmed for [`LINE_OVERDUE_US`].
    Silent,
}

/// Freshness of the follower's list; times in microseconds of the caller's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The list has not been confirmed as complete since the follower started.
    Unconfirmed,
    /// The list was confirmed as complete within the last [`LINE_OVERDUE_US`].
    Current {
        /// Latest time at which all missing events count as delivered, should no other line arrive.
        delivered_by: Micros,
    },
    /// The list is currently not confirmed.
    Interrupted {
        /// Latest time at which all missing events count as delivered.
        delivered_by: Micros,
        /// Cause of the interruption.
        why: Interruption,
    },
}

/// Records the times from which [`Freshness`] is computed.
#[derive(Debug, Default)]
pub(crate) struct FreshnessClock {
    /// Latest time as of which the list was complete.
    confirmed: Option<Micros>,
    /// When the connection first broke after `confirmed`.
    broken: Option<Micros>,
}

impl FreshnessClock {
    /// Records that a line received after `as_of` confirmed the list as complete.
    pub fn confirm(&mut self, as_of: Micros) {
        if self.confirmed.is_none_or(|confirmed| confirmed <= as_of) {
            self.confirmed = Some(as_of);
            self.broken = None;
        }
    }

    /// Records that an established connection ended after `as_of`. Of several ends in a row the first one counts.
    pub fn record_break(&mut self, as_of: Micros) {
        self.broken.get_or_insert(as_of);
    }

    /// Freshness of the list at `now`.
    pub fn at(&self, now: Micros) -> Freshness {
        let Some(confirmed) = self.confirmed else { return Freshness::Unconfirmed };
        let after_silence = confirmed + DELIVERED_AFTER_SILENCE_US;
        match self.broken {
            Some(broken) => Freshness::Interrupted {
                delivered_by: after_silence.min(broken + DELIVERED_AFTER_BREAK_US),
                why: Interruption::Broken,
            },
            None if now >= confirmed + LINE_OVERDUE_US => {
                Freshness::Interrupted { delivered_by: after_silence, why: Interruption::Silent }
            }
            None => Freshness::Current { delivered_by: after_silence },
        }
    }
}
