//! What a writer knows of one of its journal's holders: how far it was sent, how far it has acknowledged, by which
//! life. Only the life that the connection told of is believed.

use crate::wire::Ack;
use basaltward_membership::{MemberId, Micros};
use std::collections::VecDeque;

/// Bytes on their way to one holder; more wait.
const MAX_IN_FLIGHT_BYTES: usize = 1 << 20;
/// Without word for so long, what was sent is sent again.
const MIN_RESEND_DELAY: Micros = 500_000;
const MAX_RESEND_DELAY: Micros = 4_000_000;
/// So often it may say that a line is broken before it is doubted.
const MAX_CORRUPT_REPORTS: u32 = 3;

/// A holder as its writer sees it.
#[derive(Debug)]
pub struct HolderProgress {
    /// Its number.
    pub member: MemberId,
    /// Chosen now; one that is not is let go of once others hold as much.
    pub selected: bool,
    /// Its life, as the connection told that stands or stood last.
    pub life: Option<u64>,
    /// Whether one stands.
    pub connected: bool,
    /// Sent up to here.
    pub sent_through: u64,
    /// Acknowledged up to here.
    pub acked_through: u64,
    /// Of which of its beginnings.
    generation: u32,
    /// Whether it has acknowledged that its journal was begun.
    start_acked: bool,
    /// The number after which its journal begins.
    start_after: u64,
    /// When anything was sent last.
    pub last_sent_at: Micros,
    in_flight: VecDeque<(u64, usize)>,
    /// How long its word takes, about.
    round_trip: Micros,
    /// Since when something waits for its word.
    unacked_since: Option<Micros>,
    resend_at: Micros,
    backoff: Micros,
    /// Counts how often it was begun again from what is acknowledged.
    pub resync_count: u32,
    /// The turn in which it was chosen: what it said before, it may have let go of since.
    selected_at_resync: u32,
    corrupt_reports: u32,
}

impl HolderProgress {
    /// One that holds nothing yet and is sent what follows a number.
    pub fn new(of: MemberId, after: u64, turn: u32) -> Self {
        Self {
            member: of,
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
            resync_count: turn,
            selected_at_resync: turn,
            corrupt_reports: 0,
        }
    }

    /// A connection stands. Another life holds nothing; the same one may have missed what was on its way.
    pub fn on_connected(&mut self, life: u64, after: u64) {
        if self.life != Some(life) {
            (self.acked_through, self.generation, self.start_acked) = (0, 0, false);
        }
        (self.life, self.connected) = (Some(life), true);
        self.rewind(after);
    }

    /// What was not acknowledged is sent again, from after this number if nothing was.
    pub fn rewind(&mut self, after: u64) {
        self.sent_through = self.acked_through.max(after);
        self.start_acked = self.start_acked && self.acked_through >= after;
        self.start_after = self.sent_through;
        self.resync_count += 1;
        self.in_flight.clear();
        self.resend_at = Micros::MAX;
    }

    /// Whether its journal begins after this number. Only one frame says so until it has answered: one that came before
    /// it would begin the journal too late.
    pub fn starts_journal(&self, after: u64) -> bool {
        after > self.sent_through || !self.start_acked && after == self.start_after
    }

    /// Whether more may be on its way.
    pub fn has_window(&self) -> bool {
        self.in_flight.iter().map(|(_, bytes)| bytes).sum::<usize>() < MAX_IN_FLIGHT_BYTES
    }

    /// Lines after one number and up to another were sent.
    pub fn on_sent(&mut self, now: Micros, after: u64, through: u64, bytes: usize) {
        if after > self.sent_through {
            self.start_after = after;
        }
        (self.sent_through, self.last_sent_at) = (through, now);
        self.in_flight.push_back((through, bytes));
        self.resend_at = self.resend_at.min(now + self.backoff.max(3 * self.round_trip));
    }

    /// There are lines that it should hold.
    pub fn mark_unacked(&mut self, now: Micros) {
        self.unacked_since.get_or_insert(now);
    }

    /// When it is in doubt if no word has come: after this time, or three rounds where those are longer.
    pub fn suspect_at(&self, after: Micros) -> Micros {
        self.unacked_since.map_or(Micros::MAX, |since| since + after.max(3 * self.round_trip))
    }

    /// Whether what it says speaks against it.
    pub fn is_faulty(&self) -> bool {
        self.corrupt_reports >= MAX_CORRUPT_REPORTS
    }

    /// Takes its word, if it is of the life that the connection told of, of no earlier beginning and said since it was
    /// chosen; whether it was.
    pub fn on_ack(&mut self, now: Micros, ack: &Ack, last: u64) -> bool {
        let now_held = ack.resync_count >= self.selected_at_resync && ack.generation >= self.generation;
        if self.life != Some(ack.holder_life) || !now_held || ack.through > last {
            return false;
        }
        self.round_trip = (self.round_trip * 7 + now.saturating_sub(ack.echoed_sent_at)) / 8;
        if ack.generation > self.generation {
            // It began anew: what an earlier beginning acknowledged is gone with it.
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

    /// It could not take what was sent. Only its first word on a turn counts: the frames behind say the same.
    pub fn on_rejected(&mut self, turn: u32, broken: bool, after: u64) -> bool {
        let first = turn == self.resync_count;
        if first {
            self.corrupt_reports += u32::from(broken);
            self.rewind(after);
        }
        first
    }

    /// Nothing of the journal is with it.
    pub fn on_journal_missing(&mut self, after: u64) {
        (self.acked_through, self.start_acked) = (0, false);
        self.rewind(after);
    }

    /// Sends again what has had no word for too long.
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
