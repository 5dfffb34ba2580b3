//! The writer's side: what this gateway's loops say is written, numbered and chained, sent to the holders, and counts
//! as held once as many as the event's class wants have acknowledged it. What has ended is let go of; what is pending
//! when a holder falls away is sent to another.

mod replication;

use crate::entry::{CHAIN_START, StoredEntry};
use crate::error::{JournalFault, ReplicationError};
use crate::holder_progress::HolderProgress;
use crate::interface::{Output, PendingSettings};
use crate::lease::{Lease, LeaseTerms};
use crate::types::{Key, Outcome, RepeatSafety, Source, Step, WallMs};
use crate::wire::{Ack, RejectReason, Release};
use basaltward_membership::{MemberId, Micros};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One that was in doubt is not chosen again for so long, if there are others.
const SUSPECT_PERIOD: Micros = 10_000_000;

/// An event that is pending here.
#[derive(Debug)]
struct Event {
    required_holders: u8,
    again: RepeatSafety,
    deadline: WallMs,
    /// Until when something depends on what became of it.
    retain_until: WallMs,
    entry_numbers: Vec<u64>,
}

/// Who waits for a line to be held.
#[derive(Debug)]
struct Waiter {
    number: u64,
    key: Key,
    since: Micros,
    /// The attempt that waits; the event itself where there is none.
    attempt: Option<u32>,
}

/// What a journal has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JournalCounts {
    /// Lines written.
    pub entries: u64,
    /// Frames with lines sent, and their bytes.
    pub frames_sent: (u64, u64),
    /// Events and attempts that were held in time.
    pub replicated: u64,
    /// Those that were not.
    pub not_replicated: u64,
    /// Holders that fell away and were replaced.
    pub holders_replaced: u64,
}

/// The journal of this life of this gateway.
#[derive(Debug)]
pub struct Journal {
    settings: PendingSettings,
    source: Source,
    /// The number of the first line that is kept, and the chain before it.
    first: u64,
    chain_before: u64,
    entries: VecDeque<StoredEntry>,
    events: BTreeMap<Key, Event>,
    /// Lines with their bytes, by when nothing depends on them.
    expiry: BTreeSet<(WallMs, u64)>,
    /// Ends with their bytes, and what they cost.
    retained_ends: BTreeSet<u64>,
    retained_end_bytes: usize,
    bytes: usize,
    waiters: BTreeMap<u8, VecDeque<Waiter>>,
    /// Attempts that are held and wait for a lease.
    awaiting_lease: Vec<Waiter>,
    progress: Vec<HolderProgress>,
    lease: Lease,
    /// Events of lost owners that are done here next, each with when it was first sent.
    recovered: BTreeMap<Key, Option<WallMs>>,
    /// Those let go of, who have not said yet that they did, each with the number of the last line then.
    releasing: BTreeMap<MemberId, (u64, Release)>,
    /// The turns that they had come to.
    resync_counts: BTreeMap<MemberId, u32>,
    lives: BTreeMap<MemberId, u64>,
    live: Vec<bool>,
    suspects: BTreeMap<MemberId, Micros>,
    next_connect: Micros,
    has_unsent: bool,
    counts: JournalCounts,
}

impl Journal {
    /// An empty one.
    pub fn new(settings: PendingSettings) -> Self {
        let source = Source { gateway: settings.site_map.own(), life: settings.life };
        Self {
            source,
            first: 1,
            chain_before: CHAIN_START,
            entries: VecDeque::new(),
            events: BTreeMap::new(),
            expiry: BTreeSet::new(),
            retained_ends: BTreeSet::new(),
            retained_end_bytes: 0,
            bytes: 0,
            waiters: BTreeMap::new(),
            awaiting_lease: Vec::new(),
            progress: Vec::new(),
            lease: Lease::new(LeaseTerms::new(settings.lease)),
            recovered: BTreeMap::new(),
            releasing: BTreeMap::new(),
            resync_counts: BTreeMap::new(),
            lives: BTreeMap::new(),
            live: vec![false; settings.site_map.len()],
            suspects: BTreeMap::new(),
            next_connect: 0,
            has_unsent: false,
            counts: JournalCounts::default(),
            settings,
        }
    }

    /// Whose it is.
    pub fn source(&self) -> Source {
        self.source
    }

    /// What it has counted.
    pub fn counted(&self) -> JournalCounts {
        self.counts
    }

    /// Bytes of its lines, and how many there are.
    pub fn size(&self) -> (usize, usize) {
        (self.bytes, self.entries.len())
    }

    /// Its holders, each with the number up to which it has acknowledged.
    pub fn holders(&self) -> impl Iterator<Item = (MemberId, u64)> {
        self.progress.iter().map(|one| (one.member, one.acked_through))
    }

    fn last_number(&self) -> u64 {
        self.first + self.entries.len() as u64 - 1
    }

    fn entry_mut(&mut self, number: u64) -> Option<&mut StoredEntry> {
        self.entries.get_mut(number.checked_sub(self.first)? as usize)
    }

    fn chain_at(&self, number: u64) -> u64 {
        let at = number.checked_sub(self.first);
        at.and_then(|at| self.entries.get(at as usize)).map_or(self.chain_before, |line| line.chain)
    }

    /// Writes what a loop says.
    pub fn write(&mut self, now: Micros, wall: WallMs, step: Step, out: &mut Vec<Output>) {
        match step {
            Step::Accepted(accepted) => {
                let (key, deadline) = (accepted.key, accepted.deadline);
                let wants = self.settings.holders.get(usize::from(accepted.class)).copied().unwrap_or(0);
                let long = accepted.event.len() + accepted.function.len();
                // Its owner's site is lost, so that there may be fewer who could hold it: it is owed all the same, and
                // may be done again if we are lost as well.
                let spared =
                    self.recovered.contains_key(&key) && accepted.repeat_safety != RepeatSafety::Unsafe;
                let need = if spared { wants.min(self.candidates().count() as u8) } else { wants };
                let why = self.check_admission(need, accepted.class, key, long);
                if let Some(why) = why.filter(|why| !spared || !matches!(why, ReplicationError::Class(_))) {
                    self.counts.not_replicated += 1;
                    return out.push(Output::NotReplicated { key, why });
                }
                let event = Event {
                    required_holders: need,
                    again: accepted.repeat_safety,
                    deadline,
                    retain_until: deadline,
                    entry_numbers: Vec::new(),
                };
                self.events.insert(key, event);
                self.append(now, key, deadline, Step::Accepted(accepted), Some(None));
            }
            Step::Sending { key, attempt, worker, at } => {
                let Some(event) = self.events.get_mut(&key) else {
                    return out.push(Output::SendDenied {
                        key,
                        attempt,
                        why: ReplicationError::Unknown(key),
                    });
                };
                if let RepeatSafety::Keyed { window } = event.again
                    && event.retain_until == event.deadline
                {
                    let first = self.recovered.get(&key).copied().flatten().unwrap_or(at);
                    event.retain_until = event.deadline.max(first + window / 1_000);
                }
                let (until, most) = (event.retain_until, self.settings.journal_bytes);
                if self.bytes + worker.len() > most || worker.len() > self.settings.entry_bytes {
                    let why = ReplicationError::Full { held: self.bytes, most };
                    return out.push(Output::SendDenied { key, attempt, why });
                }
                self.append(now, key, until, Step::Sending { key, attempt, worker, at }, Some(Some(attempt)));
            }
            Step::Ended { key, outcome, answer } => self.end(now, key, outcome, answer),
        }
        self.prune(wall);
    }

    fn check_admission(&self, need: u8, class: u16, key: Key, bytes: usize) -> Option<ReplicationError> {
        let live = self.candidates().count();
        // What is pending has to find room for its next steps and its end.
        let most = self.settings.journal_bytes - self.settings.journal_bytes / 8;
        if self.events.contains_key(&key) {
            Some(ReplicationError::Doubled(key))
        } else if bytes > self.settings.entry_bytes {
            Some(ReplicationError::Long { bytes, most: self.settings.entry_bytes })
        } else if self.bytes + bytes > most {
            Some(ReplicationError::Full { held: self.bytes, most })
        } else if need == 0 {
            Some(ReplicationError::Class(class))
        } else if live < usize::from(need) {
            Some(ReplicationError::Few { told: need, live: live as u8 })
        } else {
            None
        }
    }

    fn candidates(&self) -> impl Iterator<Item = MemberId> {
        let (places, live) = (&self.settings.site_map, &self.live);
        let numbers =
            (0..places.len() as MemberId).filter(|of| places.site_of(*of) != Some(places.own_site()));
        numbers.filter(|of| live.get(usize::from(*of)) == Some(&true))
    }

    fn append(&mut self, now: Micros, key: Key, until: WallMs, step: Step, waits: Option<Option<u32>>) {
        let (number, before) = (self.last_number() + 1, self.chain_at(self.last_number()));
        let until = until.saturating_add(self.settings.retention_ms);
        let Some(line) = StoredEntry::new(before, self.source, number, until, step) else { return };
        self.bytes += line.memory_cost();
        self.entries.push_back(line);
        self.expiry.insert((until, number));
        self.counts.entries += 1;
        self.has_unsent = true;
        let Some(event) = self.events.get_mut(&key) else { return };
        event.entry_numbers.push(number);
        if let Some(attempt) = waits {
            let wait = Waiter { number, key, since: now, attempt };
            self.waiters.entry(event.required_holders).or_default().push_back(wait);
        }
        self.progress.iter_mut().for_each(|one| one.mark_unacked(now));
    }

    fn end(&mut self, now: Micros, key: Key, outcome: Outcome, mut answer: Vec<u8>) {
        let Some(event) = self.events.get(&key) else { return };
        let (until, quarter) = (event.retain_until, self.settings.journal_bytes / 4);
        if answer.len() > self.settings.entry_bytes || self.bytes + answer.len() > self.settings.journal_bytes
        {
            answer = Vec::new();
        }
        self.append(now, key, until, Step::Ended { key, outcome, answer }, None);
        self.recovered.remove(&key);
        let Some(event) = self.events.remove(&key) else { return };
        let Some((end, others)) = event.entry_numbers.split_last() else { return };
        others.iter().for_each(|number| self.drop_payload(*number));
        self.retained_ends.insert(*end);
        self.retained_end_bytes += self.entry_mut(*end).map_or(0, |line| line.memory_cost());
        while self.retained_end_bytes > quarter
            && let Some(oldest) = self.retained_ends.pop_first()
        {
            self.retained_end_bytes -= self.entry_mut(oldest).map_or(0, |line| line.memory_cost());
            self.drop_payload(oldest);
        }
    }

    fn drop_payload(&mut self, number: u64) {
        let Some(line) = self.entry_mut(number) else { return };
        let until = line.until();
        let freed = line.drop_payload();
        self.bytes -= freed;
        until.into_iter().for_each(|until| _ = self.expiry.remove(&(until, number)));
    }

    /// Lets go of what nothing depends on any more.
    fn prune(&mut self, wall: WallMs) {
        while let Some((until, number)) = self.expiry.first().copied()
            && until < wall
        {
            let said = self.entry_mut(number).and_then(|line| line.decode_payload());
            match said.map(|(_, step)| step) {
                // Its loop has said nothing of its end until long after its deadline.
                Some(Step::Accepted(accepted)) => _ = self.events.remove(&accepted.key),
                Some(Step::Ended { .. }) => {
                    self.retained_end_bytes -= self.entry_mut(number).map_or(0, |line| line.memory_cost());
                    self.retained_ends.remove(&number);
                }
                Some(Step::Sending { .. }) | None => {}
            }
            self.drop_payload(number);
            self.expiry.remove(&(until, number));
        }
        while let Some(line) = self.entries.front()
            && line.payload.is_none()
        {
            (self.chain_before, self.first) = (line.chain, self.first + 1);
            self.bytes -= line.memory_cost();
            self.entries.pop_front();
        }
    }

    /// An event whose owner was lost is done here next; whether it was sent before.
    pub fn mark_recovered(&mut self, key: Key, first: Option<WallMs>) {
        self.recovered.insert(key, first);
    }

    /// What is pending here is others' now: another journal begins, as if with another life.
    pub fn lose_ownership(&mut self, now: Micros, out: &mut Vec<Output>) {
        let mut settings = self.settings.clone();
        settings.life = self.source.life + 1;
        let fresh = Self::new(settings);
        let old = std::mem::replace(self, fresh);
        out.extend(old.events.into_keys().map(|key| Output::OwnershipLost { key }));
        (self.lives, self.counts, self.resync_counts) = (old.lives, old.counts, old.resync_counts);
        self.resync_counts.extend(old.progress.iter().map(|one| (one.member, one.resync_count)));
        self.set_live(now, old.live);
    }

    /// A holder's answer.
    pub fn on_ack(&mut self, now: Micros, from: MemberId, ack: Ack, out: &mut Vec<Output>) {
        let (last, after) = (self.last_number(), self.first - 1);
        let Some(one) = self.progress.iter_mut().find(|one| one.member == from) else { return };
        if ack.source != self.source || !one.on_ack(now, &ack, last) {
            return;
        }
        if ack.lease_granted {
            self.lease.record_grant(now, from, ack.holder_life, ack.echoed_sent_at);
        }
        let again = match ack.rejected {
            None | Some(RejectReason::TakenOver) => false,
            Some(RejectReason::WrongLife | RejectReason::UnknownJournal)
                if ack.resync_count == one.resync_count =>
            {
                one.on_journal_missing(after);
                true
            }
            Some(RejectReason::WrongLife | RejectReason::UnknownJournal) => false,
            Some(RejectReason::Gap) => one.on_rejected(ack.resync_count, false, after),
            Some(RejectReason::Corrupt(number)) => {
                out.push(Output::Fault(JournalFault::Broken { of: self.source, number }));
                one.on_rejected(ack.resync_count, true, after)
            }
            Some(RejectReason::Full) => {
                out.push(Output::Fault(JournalFault::Full { of: self.source, number: ack.through + 1 }));
                one.on_rejected(ack.resync_count, false, after);
                self.suspects.insert(from, now + SUSPECT_PERIOD);
                self.select_holders(now);
                false
            }
        };
        self.has_unsent |= again;
        if self.progress.iter().any(|one| one.member == from && one.is_faulty()) {
            self.suspects.insert(from, now + SUSPECT_PERIOD);
            self.select_holders(now);
        }
        self.retire_holders(now);
        self.notify_replicated(now, out);
    }

    fn replicated_through(&self, need: u8) -> u64 {
        if need == 0 {
            return u64::MAX;
        }
        let mut acked: Vec<u64> = self.progress.iter().map(|one| one.acked_through).collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        acked.get(usize::from(need) - 1).copied().unwrap_or(0)
    }

    fn notify_replicated(&mut self, now: Micros, out: &mut Vec<Output>) {
        let needs: Vec<u8> = self.waiters.keys().copied().collect();
        for need in needs {
            let held = self.replicated_through(need);
            let Some(waits) = self.waiters.get_mut(&need) else { continue };
            while let Some(wait) = waits.front()
                && wait.number <= held
            {
                let Some(wait) = waits.pop_front() else { break };
                match (self.events.get(&wait.key), wait.attempt) {
                    (None, _) => {}
                    (Some(_), None) => {
                        self.counts.replicated += 1;
                        out.push(Output::Replicated { key: wait.key });
                    }
                    (Some(_), Some(_)) => self.awaiting_lease.push(wait),
                }
            }
        }
        let unleased = std::mem::take(&mut self.awaiting_lease);
        for wait in unleased {
            let Some(event) = self.events.get(&wait.key) else { continue };
            let needed = if event.again == RepeatSafety::Unsafe { event.required_holders.into() } else { 0 };
            if self.lease.allows_send(now, needed) {
                self.counts.replicated += 1;
                let until = self.lease.valid_until(needed);
                let (key, attempt) = (wait.key, wait.attempt.unwrap_or(0));
                out.push(Output::SendAllowed { key, attempt, until });
            } else {
                self.awaiting_lease.push(wait);
            }
        }
    }

    /// Does what is due: sends what was written in this turn, calls, doubts and gives up.
    pub fn wake(&mut self, now: Micros, wall: WallMs, out: &mut Vec<Output>) {
        self.notify_replicated(now, out);
        self.expire_waiters(now, wall, out);
        self.prune(wall);
        let (last, after) = (self.last_number(), self.first - 1);
        let late: Vec<MemberId> = {
            let patience = self.settings.replication_timeout;
            let owes = |one: &&mut HolderProgress| one.acked_through < last;
            self.progress.iter_mut().filter(owes).for_each(|one| one.mark_unacked(now));
            let late = self
                .progress
                .iter()
                .filter(|one| one.acked_through < last && one.suspect_at(patience / 2) <= now);
            late.map(|one| one.member).filter(|of| !self.suspects.contains_key(of)).collect()
        };
        if !late.is_empty() {
            late.into_iter().for_each(|of| _ = self.suspects.insert(of, now + SUSPECT_PERIOD));
            self.select_holders(now);
        }
        self.progress.iter_mut().for_each(|one| one.wake(now, after));
        self.has_unsent = false;
        self.send(now, out);
    }

    fn expire_waiters(&mut self, now: Micros, wall: WallMs, out: &mut Vec<Output>) {
        let patience = self.settings.replication_timeout;
        let is_late = |wait: &Waiter| now.saturating_sub(wait.since) >= patience;
        let unleased: Vec<Waiter> = self.awaiting_lease.extract_if(.., |wait| is_late(wait)).collect();
        for Waiter { key, attempt, .. } in unleased {
            self.counts.not_replicated += 1;
            out.push(Output::SendDenied { key, attempt: attempt.unwrap_or(0), why: ReplicationError::Lease });
        }
        let mut late = Vec::new();
        for waits in self.waiters.values_mut() {
            while let Some(wait) = waits.front()
                && is_late(wait)
            {
                late.extend(waits.pop_front());
            }
        }
        for Waiter { key, since, attempt, .. } in late {
            if !self.events.contains_key(&key) {
                continue;
            }
            let why = ReplicationError::Late { waited: now - since };
            self.counts.not_replicated += 1;
            match attempt {
                Some(attempt) => out.push(Output::SendDenied { key, attempt, why }),
                None => {
                    out.push(Output::NotReplicated { key, why });
                    self.write(
                        now,
                        wall,
                        Step::Ended { key, outcome: Outcome::Refused, answer: Vec::new() },
                        out,
                    );
                }
            }
        }
    }

    /// When [`Journal::wake`] is due.
    pub fn next_due(&self) -> Micros {
        if self.has_unsent {
            return 0;
        }
        let patience = self.settings.replication_timeout;
        let waits = self.waiters.values().filter_map(|waits| waits.front()).chain(&self.awaiting_lease);
        let waits = waits.map(|wait| wait.since + patience);
        let resend = self.progress.iter().map(HolderProgress::next_due);
        let calls = self.progress.iter().any(|one| !one.connected) || !self.releasing.is_empty();
        let alive = self.progress.iter().filter(|one| one.connected && one.has_window());
        let alive =
            alive.map(|one| one.last_sent_at + self.settings.lease / 4).filter(|_| !self.events.is_empty());
        let doubted = self.progress.iter().filter(|one| !self.suspects.contains_key(&one.member));
        let doubts = doubted.map(|one| one.suspect_at(patience / 2));
        let call = calls.then_some(self.next_connect);
        waits.chain(resend).chain(call).chain(alive).chain(doubts).min().unwrap_or(Micros::MAX)
    }
}
