//! The writer's side of replication: steps reported by the loops of this gateway are written as numbered, chained
//! entries and sent to the holders. An entry is replicated once as many holders as the event's class requires have
//! acknowledged it. Entries of events that have ended are pruned; entries of pending events are sent to another
//! holder when a holder is lost.

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

/// How long a suspect gateway is not selected as a holder if there are others.
const SUSPECT_PERIOD: Micros = 10_000_000;

/// A pending event of this gateway.
#[derive(Debug)]
struct Event {
    required_holders: u8,
    repeat_safety: RepeatSafety,
    deadline: WallMs,
    /// The event's outcome has to be retained until then.
    retain_until: WallMs,
    /// Numbers of its entries.
    entry_numbers: Vec<u64>,
}

/// A loop that waits until an entry is replicated.
#[derive(Debug)]
struct Waiter {
    number: u64,
    key: Key,
    since: Micros,
    /// The waiting attempt; `None` if the event's acceptance waits.
    attempt: Option<u32>,
}

/// Counters of a journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JournalCounts {
    /// Entries written.
    pub entries: u64,
    /// Frames with entries sent, and their bytes.
    pub frames_sent: (u64, u64),
    /// Events and attempts that were replicated in time.
    pub replicated: u64,
    /// Events and attempts that were not.
    pub not_replicated: u64,
    /// Holders that were replaced.
    pub holders_replaced: u64,
}

/// The journal of the current life of this gateway.
#[derive(Debug)]
pub struct Journal {
    settings: PendingSettings,
    source: Source,
    /// Number of the first retained entry.
    first: u64,
    /// The chain value before the first retained entry.
    chain_before: u64,
    entries: VecDeque<StoredEntry>,
    events: BTreeMap<Key, Event>,
    /// Entries with a payload, by its expiry.
    expiry: BTreeSet<(WallMs, u64)>,
    /// Numbers of the [`Step::Ended`] entries with a payload.
    retained_ends: BTreeSet<u64>,
    /// Memory cost of those entries.
    retained_end_bytes: usize,
    /// Memory cost of all entries.
    bytes: usize,
    /// Waiters by the number of holders that they require, in the order of their entries.
    waiters: BTreeMap<u8, VecDeque<Waiter>>,
    /// Attempts that are replicated and wait for a lease.
    awaiting_lease: Vec<Waiter>,
    /// Replication progress of each holder, current or about to be released.
    progress: Vec<HolderProgress>,
    lease: Lease,
    /// Events of lost gateways that will be accepted here next, each with the time of its first send.
    recovered: BTreeMap<Key, Option<WallMs>>,
    /// Former holders that have not confirmed their release yet, each with the last entry number at that time.
    releasing: BTreeMap<MemberId, (u64, Release)>,
    /// Last resync count of former holders, so that a new selection continues from it.
    resync_counts: BTreeMap<MemberId, u32>,
    /// The life of each gateway to which a connection is open.
    lives: BTreeMap<MemberId, u64>,
    /// Whether each gateway is live by the membership view.
    live: Vec<bool>,
    /// Gateways that are suspect, until this time.
    suspects: BTreeMap<MemberId, Micros>,
    /// When connections are requested and releases are sent next.
    next_connect: Micros,
    /// Something has to be sent at the next wake-up.
    has_unsent: bool,
    counts: JournalCounts,
}

impl Journal {
    /// An empty journal.
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

    /// Identifies the journal.
    pub fn source(&self) -> Source {
        self.source
    }

    /// The counters.
    pub fn counts(&self) -> JournalCounts {
        self.counts
    }

    /// Its memory cost in bytes and the number of entries.
    pub fn size(&self) -> (usize, usize) {
        (self.bytes, self.entries.len())
    }

    /// Its holders, each with the number of the last entry it has acknowledged.
    pub fn holders(&self) -> impl Iterator<Item = (MemberId, u64)> {
        self.progress.iter().map(|holder| (holder.member, holder.acked_through))
    }

    fn last_number(&self) -> u64 {
        self.first + self.entries.len() as u64 - 1
    }

    fn entry_mut(&mut self, number: u64) -> Option<&mut StoredEntry> {
        self.entries.get_mut(number.checked_sub(self.first)? as usize)
    }

    fn chain_at(&self, number: u64) -> u64 {
        let at = number.checked_sub(self.first);
        at.and_then(|at| self.entries.get(at as usize)).map_or(self.chain_before, |entry| entry.chain)
    }

    /// Writes a step reported by a loop.
    pub fn write(&mut self, now: Micros, wall: WallMs, step: Step, out: &mut Vec<Output>) {
        match step {
            Step::Accepted(accepted) => {
                let (key, deadline) = (accepted.key, accepted.deadline);
                let required = self.settings.holders.get(usize::from(accepted.class)).copied().unwrap_or(0);
                let length = accepted.event.len() + accepted.function.len();
                // A recovered event whose former owner's site is lost, so fewer holders may be available. It has to
                // be completed all the same, and may run again if this gateway is lost too.
                let relaxed =
                    self.recovered.contains_key(&key) && accepted.repeat_safety != RepeatSafety::Unsafe;
                let needed = if relaxed { required.min(self.candidates().count() as u8) } else { required };
                let why = self.check_admission(needed, accepted.class, key, length);
                if let Some(why) =
                    why.filter(|why| !relaxed || !matches!(why, ReplicationError::ClassNotReplicated(_)))
                {
                    self.counts.not_replicated += 1;
                    return out.push(Output::NotReplicated { key, why });
                }
                let event = Event {
                    required_holders: needed,
                    repeat_safety: accepted.repeat_safety,
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
                        why: ReplicationError::NotPending(key),
                    });
                };
                if let RepeatSafety::Keyed { window } = event.repeat_safety
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

    /// Why an event can't be accepted, if it can't.
    fn check_admission(&self, required: u8, class: u16, key: Key, bytes: usize) -> Option<ReplicationError> {
        let live = self.candidates().count();
        // Reserves an eighth of the size limit for further steps and the ends of pending events.
        let most = self.settings.journal_bytes - self.settings.journal_bytes / 8;
        if self.events.contains_key(&key) {
            Some(ReplicationError::AlreadyPending(key))
        } else if bytes > self.settings.entry_bytes {
            Some(ReplicationError::TooLong { bytes, most: self.settings.entry_bytes })
        } else if self.bytes + bytes > most {
            Some(ReplicationError::Full { held: self.bytes, most })
        } else if required == 0 {
            Some(ReplicationError::ClassNotReplicated(class))
        } else if live < usize::from(required) {
            Some(ReplicationError::TooFewHolders { required, live: live as u8 })
        } else {
            None
        }
    }

    /// Live gateways of other sites.
    fn candidates(&self) -> impl Iterator<Item = MemberId> {
        let (site_map, live) = (&self.settings.site_map, &self.live);
        let numbers =
            (0..site_map.len() as MemberId).filter(|of| site_map.site_of(*of) != Some(site_map.own_site()));
        numbers.filter(|of| live.get(usize::from(*of)) == Some(&true))
    }

    /// Appends an entry. `waiting_attempt` is the attempt that waits until it is replicated, `Some(None)` if the
    /// event's acceptance waits, and `None` if nothing waits.
    fn append(
        &mut self,
        now: Micros,
        key: Key,
        until: WallMs,
        step: Step,
        waiting_attempt: Option<Option<u32>>,
    ) {
        let (number, before) = (self.last_number() + 1, self.chain_at(self.last_number()));
        let until = until.saturating_add(self.settings.retention_ms);
        let Some(entry) = StoredEntry::new(before, self.source, number, until, step) else { return };
        self.bytes += entry.memory_cost();
        self.entries.push_back(entry);
        self.expiry.insert((until, number));
        self.counts.entries += 1;
        self.has_unsent = true;
        let Some(event) = self.events.get_mut(&key) else { return };
        event.entry_numbers.push(number);
        if let Some(attempt) = waiting_attempt {
            let waiter = Waiter { number, key, since: now, attempt };
            self.waiters.entry(event.required_holders).or_default().push_back(waiter);
        }
        self.progress.iter_mut().for_each(|holder| holder.mark_unacked(now));
    }

    /// Writes the end of an event and drops its other payloads. Ends are retained up to a quarter of the size limit.
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
        self.retained_end_bytes += self.entry_mut(*end).map_or(0, |entry| entry.memory_cost());
        while self.retained_end_bytes > quarter
            && let Some(oldest) = self.retained_ends.pop_first()
        {
            self.retained_end_bytes -= self.entry_mut(oldest).map_or(0, |entry| entry.memory_cost());
            self.drop_payload(oldest);
        }
    }

    fn drop_payload(&mut self, number: u64) {
        let Some(entry) = self.entry_mut(number) else { return };
        let until = entry.retained_until();
        let freed = entry.drop_payload();
        self.bytes -= freed;
        until.into_iter().for_each(|until| _ = self.expiry.remove(&(until, number)));
    }

    /// Drops expired payloads, and entries without payload from the front.
    fn prune(&mut self, wall: WallMs) {
        while let Some((until, number)) = self.expiry.first().copied()
            && until < wall
        {
            let step = self.entry_mut(number).and_then(|entry| entry.decode_payload());
            match step.map(|(_, step)| step) {
                // The loop did not report the end of the event until long after its deadline.
                Some(Step::Accepted(accepted)) => _ = self.events.remove(&accepted.key),
                Some(Step::Ended { .. }) => {
                    self.retained_end_bytes -= self.entry_mut(number).map_or(0, |entry| entry.memory_cost());
                    self.retained_ends.remove(&number);
                }
                Some(Step::Sending { .. }) | None => {}
            }
            self.drop_payload(number);
            self.expiry.remove(&(until, number));
        }
        while let Some(entry) = self.entries.front()
            && entry.payload.is_none()
        {
            (self.chain_before, self.first) = (entry.chain, self.first + 1);
            self.bytes -= entry.memory_cost();
            self.entries.pop_front();
        }
    }

    /// An event of a lost gateway will be accepted here next; `first_send_at` is the time of its first send,
    /// if it was sent.
    pub fn mark_recovered(&mut self, key: Key, first_send_at: Option<WallMs>) {
        self.recovered.insert(key, first_send_at);
    }

    /// The pending events belong to other gateways now. Starts an empty journal, as a new life would.
    pub fn lose_ownership(&mut self, now: Micros, out: &mut Vec<Output>) {
        let mut settings = self.settings.clone();
        settings.life = self.source.life + 1;
        let new = Self::new(settings);
        let old = std::mem::replace(self, new);
        out.extend(old.events.into_keys().map(|key| Output::OwnershipLost { key }));
        (self.lives, self.counts, self.resync_counts) = (old.lives, old.counts, old.resync_counts);
        self.resync_counts.extend(old.progress.iter().map(|holder| (holder.member, holder.resync_count)));
        self.set_live(now, old.live);
    }

    /// Handles an ack of a holder.
    pub fn on_ack(&mut self, now: Micros, from: MemberId, ack: Ack, out: &mut Vec<Output>) {
        let (last, after) = (self.last_number(), self.first - 1);
        let Some(holder) = self.progress.iter_mut().find(|holder| holder.member == from) else { return };
        if ack.source != self.source || !holder.on_ack(now, &ack, last) {
            return;
        }
        if ack.lease_granted {
            self.lease.record_grant(now, from, ack.holder_life, ack.echoed_sent_at);
        }
        let resend = match ack.rejected {
            None | Some(RejectReason::TakenOver) => false,
            Some(RejectReason::WrongLife | RejectReason::UnknownJournal)
                if ack.resync_count == holder.resync_count =>
            {
                holder.on_journal_missing(after);
                true
            }
            Some(RejectReason::WrongLife | RejectReason::UnknownJournal) => false,
            Some(RejectReason::Gap) => holder.on_rejected(ack.resync_count, false, after),
            Some(RejectReason::Corrupt(number)) => {
                out.push(Output::Fault(JournalFault::Corrupt { of: self.source, number }));
                holder.on_rejected(ack.resync_count, true, after)
            }
            Some(RejectReason::Full) => {
                out.push(Output::Fault(JournalFault::Full { of: self.source, number: ack.through + 1 }));
                holder.on_rejected(ack.resync_count, false, after);
                self.suspects.insert(from, now + SUSPECT_PERIOD);
                self.select_holders(now);
                false
            }
        };
        self.has_unsent |= resend;
        if self.progress.iter().any(|holder| holder.member == from && holder.is_faulty()) {
            self.suspects.insert(from, now + SUSPECT_PERIOD);
            self.select_holders(now);
        }
        self.retire_holders(now);
        self.notify_replicated(now, out);
    }

    /// Number of the last entry that this many holders have acknowledged.
    fn replicated_through(&self, required: u8) -> u64 {
        if required == 0 {
            return u64::MAX;
        }
        let mut acked: Vec<u64> = self.progress.iter().map(|holder| holder.acked_through).collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        acked.get(usize::from(required) - 1).copied().unwrap_or(0)
    }

    /// Answers waiters whose entries are replicated and, for attempts of unsafe events, covered by a lease.
    fn notify_replicated(&mut self, now: Micros, out: &mut Vec<Output>) {
        let required_counts: Vec<u8> = self.waiters.keys().copied().collect();
        for required in required_counts {
            let replicated = self.replicated_through(required);
            let Some(waiters) = self.waiters.get_mut(&required) else { continue };
            while let Some(waiter) = waiters.front()
                && waiter.number <= replicated
            {
                let Some(waiter) = waiters.pop_front() else { break };
                match (self.events.get(&waiter.key), waiter.attempt) {
                    (None, _) => {}
                    (Some(_), None) => {
                        self.counts.replicated += 1;
                        out.push(Output::Replicated { key: waiter.key });
                    }
                    (Some(_), Some(_)) => self.awaiting_lease.push(waiter),
                }
            }
        }
        let awaiting_lease = std::mem::take(&mut self.awaiting_lease);
        for waiter in awaiting_lease {
            let Some(event) = self.events.get(&waiter.key) else { continue };
            let needed =
                if event.repeat_safety == RepeatSafety::Unsafe { event.required_holders.into() } else { 0 };
            if self.lease.allows_send(now, needed) {
                self.counts.replicated += 1;
                let until = self.lease.valid_until(needed);
                let (key, attempt) = (waiter.key, waiter.attempt.unwrap_or(0));
                out.push(Output::SendAllowed { key, attempt, until });
            } else {
                self.awaiting_lease.push(waiter);
            }
        }
    }

    /// Performs all due work: sends new entries, opens connections, marks slow holders as suspect and expires
    /// waiters.
    pub fn wake(&mut self, now: Micros, wall: WallMs, out: &mut Vec<Output>) {
        self.notify_replicated(now, out);
        self.expire_waiters(now, wall, out);
        self.prune(wall);
        let (last, after) = (self.last_number(), self.first - 1);
        let late: Vec<MemberId> = {
            let timeout = self.settings.replication_timeout;
            let lagging = |holder: &&mut HolderProgress| holder.acked_through < last;
            self.progress.iter_mut().filter(lagging).for_each(|holder| holder.mark_unacked(now));
            let late = self
                .progress
                .iter()
                .filter(|holder| holder.acked_through < last && holder.suspect_at(timeout / 2) <= now);
            late.map(|holder| holder.member).filter(|of| !self.suspects.contains_key(of)).collect()
        };
        if !late.is_empty() {
            late.into_iter().for_each(|of| _ = self.suspects.insert(of, now + SUSPECT_PERIOD));
            self.select_holders(now);
        }
        self.progress.iter_mut().for_each(|holder| holder.wake(now, after));
        self.has_unsent = false;
        self.send(now, out);
    }

    /// Answers waiters whose entries were not replicated, or covered by a lease, in time.
    fn expire_waiters(&mut self, now: Micros, wall: WallMs, out: &mut Vec<Output>) {
        let timeout = self.settings.replication_timeout;
        let is_late = |waiter: &Waiter| now.saturating_sub(waiter.since) >= timeout;
        let awaiting_lease: Vec<Waiter> =
            self.awaiting_lease.extract_if(.., |waiter| is_late(waiter)).collect();
        for Waiter { key, attempt, .. } in awaiting_lease {
            self.counts.not_replicated += 1;
            out.push(Output::SendDenied {
                key,
                attempt: attempt.unwrap_or(0),
                why: ReplicationError::NoLease,
            });
        }
        let mut late = Vec::new();
        for waiters in self.waiters.values_mut() {
            while let Some(waiter) = waiters.front()
                && is_late(waiter)
            {
                late.extend(waiters.pop_front());
            }
        }
        for Waiter { key, since, attempt, .. } in late {
            if !self.events.contains_key(&key) {
                continue;
            }
            let why = ReplicationError::Timeout { waited: now - since };
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
        let timeout = self.settings.replication_timeout;
        let waiters = self.waiters.values().filter_map(|waiters| waiters.front()).chain(&self.awaiting_lease);
        let waiters = waiters.map(|waiter| waiter.since + timeout);
        let resends = self.progress.iter().map(HolderProgress::next_due);
        let connecting = self.progress.iter().any(|holder| !holder.connected) || !self.releasing.is_empty();
        let keepalive = self.progress.iter().filter(|holder| holder.connected && holder.has_window());
        let keepalive = keepalive
            .map(|holder| holder.last_sent_at + self.settings.lease / 4)
            .filter(|_| !self.events.is_empty());
        let trusted = self.progress.iter().filter(|holder| !self.suspects.contains_key(&holder.member));
        let suspicions = trusted.map(|holder| holder.suspect_at(timeout / 2));
        let connect = connecting.then_some(self.next_connect);
        waiters.chain(resends).chain(connect).chain(keepalive).chain(suspicions).min().unwrap_or(Micros::MAX)
    }
}
