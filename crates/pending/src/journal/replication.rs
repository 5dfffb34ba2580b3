//! Who holds the journal, and what is sent to them.

use super::Journal;
use crate::holder_progress::HolderProgress;
use crate::holder_selection::{CandidateState, select_holders};
use crate::interface::Output;
use crate::wire::{Append, Message, Release, TARGET_FRAME_BYTES, WireEntry, encode};
use basaltward_membership::{MemberId, Micros};

/// So often a gateway is called to which no connection stands.
const CONNECT_INTERVAL: Micros = 500_000;
/// What a line costs on the wire beside its bytes.
const ENTRY_OVERHEAD_BYTES: usize = 20;

impl Journal {
    /// Who is live by the view.
    pub fn set_live(&mut self, now: Micros, live: Vec<bool>) {
        self.live = live;
        self.select_holders(now);
    }

    /// As many as the class that wants most.
    pub(super) fn max_holders(&self) -> u8 {
        self.settings.holders.iter().copied().max().unwrap_or(0)
    }

    pub(super) fn select_holders(&mut self, now: Micros) {
        self.suspects.retain(|_, until| *until > now);
        let is_live = |of: MemberId| self.live.get(usize::from(of)) == Some(&true);
        let standing = |of| {
            let holds = self.progress.iter().any(|one| one.member == of);
            match self.suspects.contains_key(&of) {
                _ if !is_live(of) => None,
                true => Some(CandidateState::Suspect),
                false if holds => Some(CandidateState::Current),
                false => Some(CandidateState::Live),
            }
        };
        let chosen =
            select_holders(&self.settings.site_map, self.settings.seed, self.max_holders().into(), standing);
        self.progress.iter_mut().for_each(|one| one.selected = chosen.contains(&one.member));
        for of in chosen {
            if !self.progress.iter().any(|one| one.member == of) {
                let turn = self.resync_counts.get(&of).map_or(0, |turn| turn + 1);
                let mut one = HolderProgress::new(of, self.first - 1, turn);
                self.releasing.remove(&of);
                self.lives.get(&of).into_iter().for_each(|life| one.on_connected(*life, self.first - 1));
                self.progress.push(one);
                self.has_unsent = true;
                self.next_connect = now;
            }
        }
        self.retire_holders(now);
    }

    /// Lets go of holders that are not wanted: those not live at once, others when all wanted hold as much.
    pub(super) fn retire_holders(&mut self, now: Micros) {
        let least = self.progress.iter().filter(|one| one.selected).map(|one| one.acked_through).min();
        let (live, last) = (&self.live, self.first + self.entries.len() as u64 - 1);
        let stays = |one: &HolderProgress| {
            one.selected
                || live.get(usize::from(one.member)) == Some(&true)
                    && least.is_none_or(|least| least < one.acked_through)
        };
        for one in self.progress.extract_if(.., |one| !stays(one)) {
            let of = one.member;
            self.resync_counts.insert(of, one.resync_count);
            self.lease.revoke(of);
            self.releasing.insert(of, (last, Release { source: self.source, sent_at: now }));
            self.counts.holders_replaced += 1;
            self.has_unsent = true;
        }
    }

    /// A connection to a gateway stands.
    pub fn on_connected(&mut self, of: MemberId, life: u64) {
        self.lives.insert(of, life);
        let after = self.first - 1;
        self.progress.iter_mut().filter(|one| one.member == of).for_each(|one| one.on_connected(life, after));
        self.has_unsent = true;
    }

    /// None stands.
    pub fn on_disconnected(&mut self, of: MemberId) {
        self.lives.remove(&of);
        self.progress.iter_mut().filter(|one| one.member == of).for_each(|one| one.connected = false);
    }

    /// One that was a holder has let go.
    pub fn on_released(&mut self, from: MemberId, release: Release) {
        if self.releasing.get(&from).is_some_and(|(_, known)| *known == release) {
            self.releasing.remove(&from);
        }
    }

    pub(super) fn send(&mut self, now: Micros, out: &mut Vec<Output>) {
        let called = now >= self.next_connect;
        let alive = (!self.events.is_empty()).then_some(self.settings.lease / 4);
        for at in 0..self.progress.len() {
            let one = &self.progress[at];
            let of = one.member;
            if !one.connected {
                if called {
                    out.push(Output::Send { to: of, bytes: encode(&Message::Connect) });
                }
                continue;
            }
            let mut quiet = alive.is_some_and(|span| now.saturating_sub(one.last_sent_at) >= span);
            while let Some((bytes, after, through)) = self.next_append(at, now, quiet) {
                let one = &mut self.progress[at];
                one.on_sent(now, after, through, bytes.len());
                self.counts.frames_sent =
                    (self.counts.frames_sent.0 + 1, self.counts.frames_sent.1 + bytes.len() as u64);
                out.push(Output::Send { to: of, bytes });
                quiet = false;
            }
        }
        if called {
            self.next_connect = now + CONNECT_INTERVAL;
        }
        // One that was taken for dead may hold what nobody else does, until others hold as much.
        let held = self.replicated_through(self.max_holders()).max(self.first - 1);
        for (of, (through, release)) in &self.releasing {
            if called && *through <= held && self.lives.contains_key(of) {
                out.push(Output::Send { to: *of, bytes: encode(&Message::Release(*release)) });
            }
        }
    }

    /// The next frame for a holder, with the number after which it begins and that of its last line.
    fn next_append(&self, at: usize, now: Micros, quiet: bool) -> Option<(Vec<u8>, u64, u64)> {
        let one = &self.progress[at];
        // What nothing depends on any more is not sent: the journal begins later there.
        let sent = one.sent_through.max(self.first - 1);
        if (sent >= self.last_number() && !quiet) || !one.has_window() {
            return None;
        }
        let (mut lines, mut bytes) = (Vec::new(), 0);
        for line in self.entries.iter().skip((sent + 1 - self.first) as usize) {
            let cost = ENTRY_OVERHEAD_BYTES + line.payload.as_ref().map_or(0, |bytes| bytes.len());
            if bytes + cost > TARGET_FRAME_BYTES && !lines.is_empty() {
                break;
            }
            bytes += cost;
            let chain = line.chain.to_le_bytes();
            lines.push(match &line.payload {
                Some(bytes) => WireEntry::Full(bytes, chain),
                None => WireEntry::DigestOnly(line.digest.to_le_bytes(), chain),
            });
        }
        let through = sent + lines.len() as u64;
        let frame = Append {
            source: self.source,
            holder_life: one.life.unwrap_or(0),
            sent_at: now,
            resync_count: one.resync_count,
            needed_from: self.first,
            head: self.last_number(),
            first: sent + 1,
            starts_journal: one.starts_journal(sent),
            chain_before: self.chain_at(sent).to_le_bytes(),
            entries: lines,
        };
        Some((encode(&Message::Append(frame)), sent, through))
    }
}
