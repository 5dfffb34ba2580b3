//! Who holds the journal, and what is sent to them.

use super::Journal;
use crate::holder_progress::HolderProgress;
use crate::holder_selection::{CandidateState, choose};
use crate::interface::Output;
use crate::wire::{Append, FRAME, Message, Release, WireEntry, close};
use basaltward_membership::{MemberId, Micros};

/// So often a gateway is called to which no connection stands.
const CALL: Micros = 500_000;
/// What a line costs on the wire beside its bytes.
const ON_WIRE: usize = 20;

impl Journal {
    /// Who is live by the view.
    pub fn see(&mut self, now: Micros, live: Vec<bool>) {
        self.live = live;
        self.choose(now);
    }

    /// As many as the class that wants most.
    pub(super) fn most(&self) -> u8 {
        self.settings.holders.iter().copied().max().unwrap_or(0)
    }

    pub(super) fn choose(&mut self, now: Micros) {
        self.doubted.retain(|_, until| *until > now);
        let is_live = |of: MemberId| self.live.get(usize::from(of)) == Some(&true);
        let standing = |of| {
            let holds = self.neighbours.iter().any(|one| one.of == of);
            match self.doubted.contains_key(&of) {
                _ if !is_live(of) => None,
                true => Some(CandidateState::Suspect),
                false if holds => Some(CandidateState::Current),
                false => Some(CandidateState::Live),
            }
        };
        let chosen = choose(&self.settings.site_map, self.settings.seed, self.most().into(), standing);
        self.neighbours.iter_mut().for_each(|one| one.wanted = chosen.contains(&one.of));
        for of in chosen {
            if !self.neighbours.iter().any(|one| one.of == of) {
                let turn = self.turns.get(&of).map_or(0, |turn| turn + 1);
                let mut one = HolderProgress::new(of, self.first - 1, turn);
                self.retired.remove(&of);
                self.lives.get(&of).into_iter().for_each(|life| one.up(*life, self.first - 1));
                self.neighbours.push(one);
                self.unsent = true;
                self.call = now;
            }
        }
        self.retire(now);
    }

    /// Lets go of holders that are not wanted: those not live at once, others when all wanted hold as much.
    pub(super) fn retire(&mut self, now: Micros) {
        let least = self.neighbours.iter().filter(|one| one.wanted).map(|one| one.acked).min();
        let (live, last) = (&self.live, self.first + self.lines.len() as u64 - 1);
        let stays = |one: &HolderProgress| {
            one.wanted
                || live.get(usize::from(one.of)) == Some(&true) && least.is_none_or(|least| least < one.acked)
        };
        for one in self.neighbours.extract_if(.., |one| !stays(one)) {
            let of = one.of;
            self.turns.insert(of, one.turn);
            self.lease.drop_of(of);
            self.retired.insert(of, (last, Release { source: self.source, sent: now }));
            self.counted.replaced += 1;
            self.unsent = true;
        }
    }

    /// A connection to a gateway stands.
    pub fn up(&mut self, of: MemberId, life: u64) {
        self.lives.insert(of, life);
        let after = self.first - 1;
        self.neighbours.iter_mut().filter(|one| one.of == of).for_each(|one| one.up(life, after));
        self.unsent = true;
    }

    /// None stands.
    pub fn down(&mut self, of: MemberId) {
        self.lives.remove(&of);
        self.neighbours.iter_mut().filter(|one| one.of == of).for_each(|one| one.connected = false);
    }

    /// One that was a holder has let go.
    pub fn released(&mut self, from: MemberId, release: Release) {
        if self.retired.get(&from).is_some_and(|(_, known)| *known == release) {
            self.retired.remove(&from);
        }
    }

    pub(super) fn send(&mut self, now: Micros, out: &mut Vec<Output>) {
        let called = now >= self.call;
        let alive = (!self.events.is_empty()).then_some(self.settings.lease / 4);
        for at in 0..self.neighbours.len() {
            let one = &self.neighbours[at];
            let of = one.of;
            if !one.connected {
                if called {
                    out.push(Output::Send { to: of, bytes: close(&Message::Connect) });
                }
                continue;
            }
            let mut quiet = alive.is_some_and(|span| now.saturating_sub(one.last) >= span);
            while let Some((bytes, after, through)) = self.frame(at, now, quiet) {
                let one = &mut self.neighbours[at];
                one.sends(now, after, through, bytes.len());
                self.counted.sent = (self.counted.sent.0 + 1, self.counted.sent.1 + bytes.len() as u64);
                out.push(Output::Send { to: of, bytes });
                quiet = false;
            }
        }
        if called {
            self.call = now + CALL;
        }
        // One that was taken for dead may hold what nobody else does, until others hold as much.
        let held = self.held_by(self.most()).max(self.first - 1);
        for (of, (through, release)) in &self.retired {
            if called && *through <= held && self.lives.contains_key(of) {
                out.push(Output::Send { to: *of, bytes: close(&Message::Release(*release)) });
            }
        }
    }

    /// The next frame for a holder, with the number after which it begins and that of its last line.
    fn frame(&self, at: usize, now: Micros, quiet: bool) -> Option<(Vec<u8>, u64, u64)> {
        let one = &self.neighbours[at];
        // What nothing depends on any more is not sent: the journal begins later there.
        let sent = one.sent.max(self.first - 1);
        if (sent >= self.last() && !quiet) || !one.has_window() {
            return None;
        }
        let (mut lines, mut bytes) = (Vec::new(), 0);
        for line in self.lines.iter().skip((sent + 1 - self.first) as usize) {
            let cost = ON_WIRE + line.bytes.as_ref().map_or(0, |bytes| bytes.len());
            if bytes + cost > FRAME && !lines.is_empty() {
                break;
            }
            bytes += cost;
            let chain = line.chain.to_le_bytes();
            lines.push(match &line.bytes {
                Some(bytes) => WireEntry::Full(bytes, chain),
                None => WireEntry::DigestOnly(line.digest.to_le_bytes(), chain),
            });
        }
        let through = sent + lines.len() as u64;
        let frame = Append {
            source: self.source,
            to: one.life.unwrap_or(0),
            sent: now,
            turn: one.turn,
            low: self.first,
            head: self.last(),
            first: sent + 1,
            anew: one.begins(sent),
            before: self.chain_at(sent).to_le_bytes(),
            lines,
        };
        Some((close(&Message::Append(frame)), sent, through))
    }
}
