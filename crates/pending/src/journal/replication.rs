//! Selection of the journal's holders, and sending entries to them.

use super::Journal;
use crate::holder_progress::HolderProgress;
use crate::holder_selection::{CandidateState, select_holders};
use crate::interface::Output;
use crate::wire::{Append, Message, Release, TARGET_FRAME_BYTES, WireEntry, encode};
use basaltward_membership::{MemberId, Micros};

/// Interval at which connections to holders are requested while there is none.
const CONNECT_INTERVAL: Micros = 500_000;
/// Bytes of an entry in a frame other than its payload.
const ENTRY_OVERHEAD_BYTES: usize = 20;

impl Journal {
    /// Updates which gateways are live by the membership view.
    pub fn set_live(&mut self, now: Micros, live: Vec<bool>) {
        self.live = live;
        self.select_holders(now);
    }

    /// The highest number of holders that any class requires.
    pub(super) fn max_holders(&self) -> u8 {
        self.settings.holders.iter().copied().max().unwrap_or(0)
    }

    /// Selects holders again after a change of the membership view or of the suspects.
    pub(super) fn select_holders(&mut self, now: Micros) {
        self.suspects.retain(|_, until| *until > now);
        let is_live = |of: MemberId| self.live.get(usize::from(of)) == Some(&true);
        let state = |of| {
            let current = self.progress.iter().any(|holder| holder.member == of);
            match self.suspects.contains_key(&of) {
                _ if !is_live(of) => None,
                true => Some(CandidateState::Suspect),
                false if current => Some(CandidateState::Current),
                false => Some(CandidateState::Live),
            }
        };
        let selected =
            select_holders(&self.settings.site_map, self.settings.seed, self.max_holders().into(), state);
        self.progress.iter_mut().for_each(|holder| holder.selected = selected.contains(&holder.member));
        for of in selected {
            if !self.progress.iter().any(|holder| holder.member == of) {
                let resync_count = self.resync_counts.get(&of).map_or(0, |count| count + 1);
                let mut holder = HolderProgress::new(of, self.first - 1, resync_count);
                self.releasing.remove(&of);
                self.lives.get(&of).into_iter().for_each(|life| holder.on_connected(*life, self.first - 1));
                self.progress.push(holder);
                self.has_unsent = true;
                self.next_connect = now;
            }
        }
        self.retire_holders(now);
    }

    /// Releases holders that are no longer selected: those that are not live at once, others when all selected
    /// holders have acknowledged as much.
    pub(super) fn retire_holders(&mut self, now: Micros) {
        let least =
            self.progress.iter().filter(|holder| holder.selected).map(|holder| holder.acked_through).min();
        let (live, last) = (&self.live, self.first + self.entries.len() as u64 - 1);
        let stays = |holder: &HolderProgress| {
            holder.selected
                || live.get(usize::from(holder.member)) == Some(&true)
                    && least.is_none_or(|least| least < holder.acked_through)
        };
        for holder in self.progress.extract_if(.., |holder| !stays(holder)) {
            let of = holder.member;
            self.resync_counts.insert(of, holder.resync_count);
            self.lease.revoke(of);
            self.releasing.insert(of, (last, Release { source: self.source, sent_at: now }));
            self.counts.holders_replaced += 1;
            self.has_unsent = true;
        }
    }

    /// A connection to a gateway was opened.
    pub fn on_connected(&mut self, of: MemberId, life: u64) {
        self.lives.insert(of, life);
        let after = self.first - 1;
        self.progress
            .iter_mut()
            .filter(|holder| holder.member == of)
            .for_each(|holder| holder.on_connected(life, after));
        self.has_unsent = true;
    }

    /// The connection to a gateway was closed.
    pub fn on_disconnected(&mut self, of: MemberId) {
        self.lives.remove(&of);
        self.progress
            .iter_mut()
            .filter(|holder| holder.member == of)
            .for_each(|holder| holder.connected = false);
    }

    /// A former holder confirmed its release.
    pub fn on_released(&mut self, from: MemberId, release: Release) {
        if self.releasing.get(&from).is_some_and(|(_, known)| *known == release) {
            self.releasing.remove(&from);
        }
    }

    /// Sends new entries, keepalives, connection requests and releases that are due.
    pub(super) fn send(&mut self, now: Micros, out: &mut Vec<Output>) {
        let connect_due = now >= self.next_connect;
        let keepalive = (!self.events.is_empty()).then_some(self.settings.lease / 4);
        for at in 0..self.progress.len() {
            let holder = &self.progress[at];
            let of = holder.member;
            if !holder.connected {
                if connect_due {
                    out.push(Output::Send { to: of, bytes: encode(&Message::Connect) });
                }
                continue;
            }
            let mut keepalive_due =
                keepalive.is_some_and(|interval| now.saturating_sub(holder.last_sent_at) >= interval);
            while let Some((bytes, after, through)) = self.next_append(at, now, keepalive_due) {
                let holder = &mut self.progress[at];
                holder.on_sent(now, after, through, bytes.len());
                self.counts.frames_sent =
                    (self.counts.frames_sent.0 + 1, self.counts.frames_sent.1 + bytes.len() as u64);
                out.push(Output::Send { to: of, bytes });
                keepalive_due = false;
            }
        }
        if connect_due {
            self.next_connect = now + CONNECT_INTERVAL;
        }
        // A former holder that was wrongly considered dead may have entries that no other has, so it is released only
        // when others have stored as much.
        let replicated = self.replicated_through(self.max_holders()).max(self.first - 1);
        for (of, (through, release)) in &self.releasing {
            if connect_due && *through <= replicated && self.lives.contains_key(of) {
                out.push(Output::Send { to: *of, bytes: encode(&Message::Release(*release)) });
            }
        }
    }

    /// Encodes the next frame for a holder; also returns the entry numbers after which it starts and at which it
    /// ends.
    fn next_append(&self, at: usize, now: Micros, keepalive_due: bool) -> Option<(Vec<u8>, u64, u64)> {
        let holder = &self.progress[at];
        // Entries that are no longer needed are not sent; the replica then starts later.
        let after = holder.sent_through.max(self.first - 1);
        if (after >= self.last_number() && !keepalive_due) || !holder.has_window() {
            return None;
        }
        let (mut entries, mut bytes) = (Vec::new(), 0);
        for entry in self.entries.iter().skip((after + 1 - self.first) as usize) {
            let cost = ENTRY_OVERHEAD_BYTES + entry.payload.as_ref().map_or(0, |bytes| bytes.len());
            if bytes + cost > TARGET_FRAME_BYTES && !entries.is_empty() {
                break;
            }
            bytes += cost;
            let chain = entry.chain.to_le_bytes();
            entries.push(match &entry.payload {
                Some(bytes) => WireEntry::Full(bytes, chain),
                None => WireEntry::DigestOnly(entry.digest.to_le_bytes(), chain),
            });
        }
        let through = after + entries.len() as u64;
        let frame = Append {
            source: self.source,
            holder_life: holder.life.unwrap_or(0),
            sent_at: now,
            resync_count: holder.resync_count,
            needed_from: self.first,
            head: self.last_number(),
            first: after + 1,
            starts_journal: holder.starts_journal(after),
            chain_before: self.chain_at(after).to_le_bytes(),
            entries,
        };
        Some((encode(&Message::Append(frame)), after, through))
    }
}
