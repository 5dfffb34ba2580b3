//! The writer's view of one holder of its journal: how far entries were sent and acknowledged, and by which life of
//! the holder. Only acks of the life that the connection reported are accepted.

use crate::wire::Ack;
use basaltward_membership::{MemberId, Micros};
use std::collections::VecDeque;

/// Maximum bytes in flight to one holder; more have to wait.
const MAX_IN_FLIGHT_BYTES: usize = 1 << 20;
/// Unacknowledged entries are sent again after this delay, doubled with each retry up to [`MAX_RESEND_DELAY`].
const MIN_RESEND_DELAY: Micros = 500_000;
const MAX_RESEND_DELAY: Micros = 4_000_000;
/// Number of consecutive corruption reports after which the holder itself is suspect.
const MAX_CORRUPT_REPORTS: u32 = 3;

/// Replication progress of one holder.
#[derive(Debug)]
pub struct HolderProgress {
    /// Index of the holder.
    pub member: MemberId,
    /// Whether it is currently selected. One that is not is released once the others have stored as much.
    pub selected: bool,
    /// The holder's life by the current or last connection.
    pub life: Option<u64>,
    /// Whether a connection is open.
    pub connected: bool,
    /// Number of the last entry sent.
    pub sent_through: u64,
    /// Number of the last entry acknowledged.
    pub acked_through: u64,
    /// Generation of the replica that acknowledged it.
    generation: u32,
    /// Whether the start of the replica was acknowledged.
    start_acked: bool,
    /// The replica starts after this number.
    start_after: u64,
    /// When the last frame was sent.
    pub last_sent_at: Micros,
    /// Frames that are not acknowledged: number of the last entry, and bytes.
    in_flight: VecDeque<(u64, usize)>,
    /// Smoothed round-trip time.
    round_trip: Micros,
    /// Since when an entry is unacknowledged.
    unacked_since: Option<Micros>,
    /// When unacknowledged entries are sent again.
    resend_at: Micros,
    /// The current resend delay.
    backoff: Micros,
    /// Number of times sending was restarted from the last acknowledged entry.
    pub resync_count: u32,
    /// Resync count at which it was selected. Entries that it acknowledged before may have been released since.
    selected_at_resync: u32,
    /// Corruption reports since the last progress.
    corrupt_reports: u32,
}

impl HolderProgress {
    /// A holder that has nothing yet and receives the entries after a number.
    pub fn new(member: MemberId, after: u64, resync_count: u32) -> Self {
        Self {
            member,
            selected: true,
            life: None,
            connected: false,
            sent_through: after,
            acked_through: 0,
            generation: 0,
            start_acked: false,
            start_after: after,
            last_sent_at: 0,
            in_flight: VecDeque::new(),
            round_trip: 0,
            unacked_since: None,
            resend_at: Micros::MAX,
            backoff: MIN_RESEND_DELAY,
            resync_count,
            selected_at_resync: resync_count,
            corrupt_reports: 0,
        }
    }

    /// A connection was opened. Another life of the holder has nothing; the same life may have missed frames that
    /// were in flight.
    pub fn on_connected(&mut self, life: u64, after: u64) {
        if self.life != Some(life) {
            (self.acked_through, self.generation, self.start_acked) = (0, 0, false);
        }
        (self.life, self.connected) = (Some(life), true);
        self.rewind(after);
    }

    /// Restarts sending after the last acknowledged entry, or after this number if it is higher.
    pub fn rewind(&mut self, after: u64) {
        self.sent_through = self.acked_through.max(after);
        self.start_acked = self.start_acked && self.acked_through >= after;
        self.start_after = self.sent_through;
        self.resync_count += 1;
        self.in_flight.clear();
        self.resend_at = Micros::MAX;
    }

    /// Whether the frame after this number starts the replica. Until the start is acknowledged only one frame has the
    /// flag: a frame that overtakes it would otherwise start the replica too late.
    pub fn starts_journal(&self, after: u64) -> bool {
        after > self.sent_through || !self.start_acked && after == self.start_after
    }

    /// Whether more bytes may be in flight.
    pub fn has_window(&self) -> bool {
        self.in_flight.iter().map(|(_, bytes)| bytes).sum::<usize>() < MAX_IN_FLIGHT_BYTES
    }

    /// Entries after `after` and up to `through` were sent.
    pub fn on_sent(&mut self, now: Micros, after: u64, through: u64, bytes: usize) {
        if after > self.sent_through {
            self.start_after = after;
        }
        (self.sent_through, self.last_sent_at) = (through, now);
        self.in_flight.push_back((through, bytes));
        self.resend_at = self.resend_at.min(now + self.backoff.max(3 * self.round_trip));
    }

    /// There are entries that the holder has not acknowledged.
    pub fn mark_unacked(&mut self, now: Micros) {
        self.unacked_since.get_or_insert(now);
    }

    /// When the holder becomes suspect without an ack: after this delay, or after three round trips if those take
    /// longer.
    pub fn suspect_at(&self, after: Micros) -> Micros {
        self.unacked_since.map_or(Micros::MAX, |since| since + after.max(3 * self.round_trip))
    }

    /// Whether it reported corruption too often.
    pub fn is_faulty(&self) -> bool {
        self.corrupt_reports >= MAX_CORRUPT_REPORTS
    }

    /// Applies an ack and returns whether it was valid. It is ignored if it is of another life than the connection
    /// reported, of an older generation, or from before the holder was selected.
    pub fn on_ack(&mut self, now: Micros, ack: &Ack, last: u64) -> bool {
        let current = ack.resync_count >= self.selected_at_resync && ack.generation >= self.generation;
        if self.life != Some(ack.holder_life) || !current || ack.through > last {
            return false;
        }
        self.round_trip = (self.round_trip * 7 + now.saturating_sub(ack.echoed_sent_at)) / 8;
        if ack.generation > self.generation {
            // The replica was started from scratch: acks of earlier generations no longer count.
            (self.generation, self.acked_through, self.start_acked) = (ack.generation, 0, true);
        }
        if ack.through > self.acked_through && ack.generation > 0 {
            self.acked_through = ack.through;
            (self.backoff, self.corrupt_reports) = (MIN_RESEND_DELAY, 0);
            self.in_flight.retain(|(through, _)| *through > ack.through);
            let more = self.acked_through < last;
            self.unacked_since = more.then_some(now);
            self.resend_at = if self.in_flight.is_empty() {
                Micros::MAX
            } else {
                now + self.backoff.max(3 * self.round_trip)
            };
        }
        true
    }

    /// The holder rejected entries. Only the first rejection per resync counts, as the frames sent after it are
    /// rejected for the same reason. Returns whether this one counted, so that sending restarts.
    pub fn on_rejected(&mut self, resync_count: u32, corrupt: bool, after: u64) -> bool {
        let first = resync_count == self.resync_count;
        if first {
            self.corrupt_reports += u32::from(corrupt);
            self.rewind(after);
        }
        first
    }

    /// The holder has no part of the journal.
    pub fn on_journal_missing(&mut self, after: u64) {
        (self.acked_through, self.start_acked) = (0, false);
        self.rewind(after);
    }

    /// Sends unacknowledged entries again after the resend delay.
    pub fn wake(&mut self, now: Micros, after: u64) {
        if now >= self.resend_at {
            self.backoff = (self.backoff * 2).min(MAX_RESEND_DELAY);
            self.rewind(after);
        }
    }

    /// When [`HolderProgress::wake`] is due.
    pub fn next_due(&self) -> Micros {
        self.resend_at
    }
}
