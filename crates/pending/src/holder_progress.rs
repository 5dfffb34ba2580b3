//! What a writer knows of one of its journal's holders: how far it was sent, how far it has acknowledged, by which
//! life. Only the life that the connection told of is believed.

use crate::wire::Ack;
use basaltward_membership::{MemberId, Micros};
use std::collections::VecDeque;

/// Bytes on their way to one holder; more wait.
const WINDOW: usize = 1 << 20;
/// Without word for so long, what was sent is sent again.
const RESEND: Micros = 500_000;
const RESEND_MOST: Micros = 4_000_000;
/// So often it may say that a line is broken before it is doubted.
const BREAKS: u32 = 3;

/// A holder as its writer sees it.
#[derive(Debug)]
pub struct HolderProgress {
    /// Its number.
    pub of: MemberId,
    /// Chosen now; one that is not is let go of once others hold as much.
    pub wanted: bool,
    /// Its life, as the connection told that stands or stood last.
    pub life: Option<u64>,
    /// Whether one stands.
    pub connected: bool,
    /// Sent up to here.
    pub sent: u64,
    /// Acknowledged up to here.
    pub acked: u64,
    /// Of which of its beginnings.
    begun: u32,
    /// Whether it has acknowledged that its journal was begun.
    started: bool,
    /// The number after which its journal begins.
    base: u64,
    /// When anything was sent last.
    pub last: Micros,
    flying: VecDeque<(u64, usize)>,
    /// How long its word takes, about.
    round: Micros,
    /// Since when something waits for its word.
    waiting: Option<Micros>,
    resend: Micros,
    backoff: Micros,
    /// Counts how often it was begun again from what is acknowledged.
    pub turn: u32,
    /// The turn in which it was chosen: what it said before, it may have let go of since.
    since: u32,
    breaks: u32,
}

impl HolderProgress {
    /// One that holds nothing yet and is sent what follows a number.
    pub fn new(of: MemberId, after: u64, turn: u32) -> Self {
        Self {
            of,
            wanted: true,
            life: None,
            connected: false,
            sent: after,
            acked: 0,
            begun: 0,
            started: false,
            base: after,
            last: 0,
            flying: VecDeque::new(),
            round: 0,
            waiting: None,
            resend: Micros::MAX,
            backoff: RESEND,
            turn,
            since: turn,
            breaks: 0,
        }
    }

    /// A connection stands. Another life holds nothing; the same one may have missed what was on its way.
    pub fn up(&mut self, life: u64, after: u64) {
        if self.life != Some(life) {
            (self.acked, self.begun, self.started) = (0, 0, false);
        }
        (self.life, self.connected) = (Some(life), true);
        self.rewind(after);
    }

    /// What was not acknowledged is sent again, from after this number if nothing was.
    pub fn rewind(&mut self, after: u64) {
        self.sent = self.acked.max(after);
        self.started = self.started && self.acked >= after;
        self.base = self.sent;
        self.turn += 1;
        self.flying.clear();
        self.resend = Micros::MAX;
    }

    /// Whether its journal begins after this number. Only one frame says so until it has answered: one that came before
    /// it would begin the journal too late.
    pub fn begins(&self, after: u64) -> bool {
        after > self.sent || !self.started && after == self.base
    }

    /// Whether more may be on its way.
    pub fn has_window(&self) -> bool {
        self.flying.iter().map(|(_, bytes)| bytes).sum::<usize>() < WINDOW
    }

    /// Lines after one number and up to another were sent.
    pub fn sends(&mut self, now: Micros, after: u64, through: u64, bytes: usize) {
        if after > self.sent {
            self.base = after;
        }
        (self.sent, self.last) = (through, now);
        self.flying.push_back((through, bytes));
        self.resend = self.resend.min(now + self.backoff.max(3 * self.round));
    }

    /// There are lines that it should hold.
    pub fn owes(&mut self, now: Micros) {
        self.waiting.get_or_insert(now);
    }

    /// When it is in doubt if no word has come: after this time, or three rounds where those are longer.
    pub fn doubt(&self, after: Micros) -> Micros {
        self.waiting.map_or(Micros::MAX, |since| since + after.max(3 * self.round))
    }

    /// Whether what it says speaks against it.
    pub fn breaks(&self) -> bool {
        self.breaks >= BREAKS
    }

    /// Takes its word, if it is of the life that the connection told of, of no earlier beginning and said since it was
    /// chosen; whether it was.
    pub fn acknowledged(&mut self, now: Micros, ack: &Ack, last: u64) -> bool {
        let now_held = ack.turn >= self.since && ack.begun >= self.begun;
        if self.life != Some(ack.life) || !now_held || ack.through > last {
            return false;
        }
        self.round = (self.round * 7 + now.saturating_sub(ack.echo)) / 8;
        if ack.begun > self.begun {
            // It began anew: what an earlier beginning acknowledged is gone with it.
            (self.begun, self.acked, self.started) = (ack.begun, 0, true);
        }
        if ack.through > self.acked && ack.begun > 0 {
            self.acked = ack.through;
            (self.backoff, self.breaks) = (RESEND, 0);
            self.flying.retain(|(through, _)| *through > ack.through);
            let more = self.acked < last;
            self.waiting = more.then_some(now);
            self.resend =
                if self.flying.is_empty() { Micros::MAX } else { now + self.backoff.max(3 * self.round) };
        }
        true
    }

    /// It could not take what was sent. Only its first word on a turn counts: the frames behind say the same.
    pub fn refused(&mut self, turn: u32, broken: bool, after: u64) -> bool {
        let first = turn == self.turn;
        if first {
            self.breaks += u32::from(broken);
            self.rewind(after);
        }
        first
    }

    /// Nothing of the journal is with it.
    pub fn forgets(&mut self, after: u64) {
        (self.acked, self.started) = (0, false);
        self.rewind(after);
    }

    /// Sends again what has had no word for too long.
    pub fn wake(&mut self, now: Micros, after: u64) {
        if now >= self.resend {
            self.backoff = (self.backoff * 2).min(RESEND_MOST);
            self.rewind(after);
        }
    }

    /// When [`HolderProgress::wake`] is due.
    pub fn next_due(&self) -> Micros {
        self.resend
    }
}
