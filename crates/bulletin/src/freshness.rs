//! How old the list is that a follower holds, by the clocks of the protocol.
//!
//! The bulletin is complete as of a moment when a line shows that nothing is missing: a number alone that is the last one
//! held. A connection that stands, an event, or a number already passed shows nothing of the kind.

/// Microseconds.
type Micros = u64;

/// What a bulletin that broke off would have told counts as told this long after it broke off.
pub const DELIVERED_AFTER_BREAK_US: Micros = 2_000_000;
/// What a bulletin that fell silent would have told counts as told this long after its last word.
pub const DELIVERED_AFTER_SILENCE_US: Micros = 4_000_000;
/// A bulletin owes a line each second; once it is half a second late it counts as interrupted.
pub const LINE_OVERDUE_US: Micros = 1_500_000;

/// Why a list is not followed for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// Its connection has ended or told what makes no sense.
    Broken,
    /// Nothing has come for longer than a line may take.
    Silent,
}

/// How far the list that is held is to be believed; times in microseconds of the caller's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Since the follower's start nothing has shown that the list is complete.
    Unconfirmed,
    /// It is followed. Unless another line comes, all that it is missing counts as told at `told_at`.
    Current {
        /// When that is, at the latest.
        delivered_by: Micros,
    },
    /// It is not followed for now.
    Interrupted {
        /// When all that it is missing counts as told, at the latest.
        delivered_by: Micros,
        /// Why.
        why: Interruption,
    },
}

/// Keeps the times that [`Freshness`] follows from.
#[derive(Debug, Default)]
pub(crate) struct FreshnessClock {
    /// The latest time as of which nothing was missing.
    confirmed: Option<Micros>,
    /// When the connection first broke since.
    broken: Option<Micros>,
}

impl FreshnessClock {
    /// A line that came after `as_of` has shown that nothing is missing.
    pub fn confirm(&mut self, as_of: Micros) {
        if self.confirmed.is_none_or(|confirmed| confirmed <= as_of) {
            self.confirmed = Some(as_of);
            self.broken = None;
        }
    }

    /// A connection that stood has ended after `as_of`. Of several ends in a row the first one counts.
    pub fn break_off(&mut self, as_of: Micros) {
        self.broken.get_or_insert(as_of);
    }

    pub fn read(&self, now: Micros) -> Freshness {
        let Some(confirmed) = self.confirmed else { return Freshness::Unconfirmed };
        let by_silence = confirmed + DELIVERED_AFTER_SILENCE_US;
        match self.broken {
            Some(broken) => Freshness::Interrupted {
                delivered_by: by_silence.min(broken + DELIVERED_AFTER_BREAK_US),
                why: Interruption::Broken,
            },
            None if now >= confirmed + LINE_OVERDUE_US => {
                Freshness::Interrupted { delivered_by: by_silence, why: Interruption::Silent }
            }
            None => Freshness::Current { delivered_by: by_silence },
        }
    }
}
