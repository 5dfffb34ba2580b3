//! The holder's side of replication: journals of gateways of other sites, stored strictly in order and verified by
//! the chain. Missing or corrupted entries are reported and requested again, never reconstructed. Each life of a
//! gateway has its own journal.

use crate::entry::{ENTRY_BYTES, StoredEntry, decode_payload, next_chain};
use crate::error::JournalFault;
use crate::takeover_messages::JournalSnapshot;
use crate::types::{Entry, Key, Source, Step, WallMs};
use crate::wire::{Ack, Append, RejectReason, Release, WireEntry};
use basaltward_membership::{MemberId, Micros};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use xxhash_rust::xxh3::xxh3_64;

/// A journal without payloads is removed after this time without a message from its writer.
const IDLE_JOURNAL_TIMEOUT: Micros = 60_000_000;
/// Upper bound for entry numbers; no journal reaches it.
const MAX_ENTRY_NUMBER: u64 = 1 << 62;
/// Memory cost in bytes of a journal without its entries.
const JOURNAL_BYTES: usize = size_of::<Replica>() + 64;

/// The replica of one journal.
#[derive(Debug)]
struct Replica {
    /// Identifies this start of the journal, see [`Ack::generation`].
    generation: u32,
    /// Number of the first stored entry.
    first: u64,
    /// The chain value before the first stored entry.
    chain_before: u64,
    entries: VecDeque<StoredEntry>,
    /// Entry numbers of events that have not ended, by event.
    pending: BTreeMap<Key, Vec<u64>>,
    /// Number of the last entry that the writer is known to have written.
    head: u64,
    /// Send time of the latest frame, on the writer's clock.
    last_sent_at: Micros,
    /// When that frame arrived, on the local clock.
    last_received_at: Micros,
}

/// All journals stored for other gateways.
#[derive(Debug)]
pub struct Holder {
    life: u64,
    max_bytes: usize,
    bytes: usize,
    /// Generation of the journal that was started last.
    last_generation: u32,
    journals: BTreeMap<Source, Replica>,
    /// Entries with a payload, by its expiry.
    expiry: BTreeSet<(WallMs, Source, u64)>,
    injected_fault: Option<HolderFault>,
}

/// Faults that tests inject and have to detect.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderFault {
    /// Entries are acknowledged before they are stored, and some are lost.
    AcksBeforeStoring,
    /// The chain is not verified.
    SkipsChainCheck,
}

impl Replica {
    fn new(generation: u32, first: u64, chain_before: u64) -> Self {
        Self {
            generation,
            first,
            chain_before,
            entries: VecDeque::new(),
            pending: BTreeMap::new(),
            head: 0,
            last_sent_at: 0,
            last_received_at: 0,
        }
    }

    fn through(&self) -> u64 {
        self.first + self.entries.len() as u64 - 1
    }

    fn decoded_entries(&self, source: Source) -> Vec<Entry> {
        let entries = self.entries.iter().zip(self.first..);
        entries.filter_map(|(entry, number)| entry.entry(source, number)).collect()
    }

    fn chain(&self) -> u64 {
        self.entries.back().map_or(self.chain_before, |entry| entry.chain)
    }

    fn entry_mut(&mut self, number: u64) -> Option<&mut StoredEntry> {
        self.entries.get_mut(number.checked_sub(self.first)? as usize)
    }
}

impl Holder {
    /// Stores nothing yet, and at most `max_bytes` bytes.
    pub fn new(life: u64, max_bytes: usize) -> Self {
        Self {
            life,
            max_bytes,
            bytes: 0,
            last_generation: 0,
            journals: BTreeMap::new(),
            expiry: BTreeSet::new(),
            injected_fault: None,
        }
    }

    #[doc(hidden)]
    pub fn inject_fault(&mut self, fault: HolderFault) {
        self.injected_fault = Some(fault);
    }

    /// Memory cost in bytes and the number of stored entries.
    pub fn size(&self) -> (usize, usize) {
        (self.bytes, self.journals.values().map(|journal| journal.entries.len()).sum())
    }

    /// All journals of which any part is stored.
    pub fn sources(&self) -> impl Iterator<Item = Source> {
        self.journals.keys().copied()
    }

    /// Whether the entry that accepted a pending event is stored with its payload.
    pub fn holds(&self, source: Source, key: Key) -> bool {
        let Some(journal) = self.journals.get(&source) else { return false };
        let first = journal.pending.get(&key).and_then(|numbers| numbers.first());
        let entry = first.and_then(|number| journal.entries.get(number.checked_sub(journal.first)? as usize));
        entry.is_some_and(|entry| entry.payload.is_some())
    }

    /// Snapshots of the journals of all lives of a gateway up to this one.
    pub fn snapshots(&self, now: Micros, of: MemberId, life: u64) -> Vec<JournalSnapshot> {
        let range = Source { gateway: of, life: 0 }..=Source { gateway: of, life };
        let snapshot = |(source, journal): (&Source, &Replica)| JournalSnapshot {
            source: *source,
            through: journal.through(),
            head: journal.head.max(journal.through()),
            silent_for: now.saturating_sub(journal.last_received_at),
            entries: journal.decoded_entries(*source),
        };
        self.journals.range(range).map(snapshot).collect()
    }

    /// The latest life of a gateway of which any part is stored.
    pub fn life(&self, of: MemberId) -> Option<u64> {
        let range = Source { gateway: of, life: 0 }..=Source { gateway: of, life: u64::MAX };
        self.journals.range(range).next_back().map(|(source, _)| source.life)
    }

    /// Whether entries were sent to this life of this gateway.
    pub fn is_for_this_life(&self, append: &Append) -> bool {
        append.holder_life == self.life
    }

    /// Stores entries from their writer and returns the ack and a detected fault. `granted` is whether a lease is
    /// granted to the writer, `Err` if the writer was taken over.
    pub fn handle_append(
        &mut self,
        now: Micros,
        append: &Append,
        granted: Result<bool, ()>,
    ) -> (Ack, Option<JournalFault>) {
        let source = append.source;
        let rejected = match granted {
            _ if !self.is_for_this_life(append) => Some(RejectReason::WrongLife),
            Err(()) => Some(RejectReason::TakenOver),
            Ok(_) => self.store_entries(now, append),
        };
        let journal = self.journals.get(&source);
        let (generation, mut through) =
            journal.map_or((0, 0), |journal| (journal.generation, journal.through()));
        if self.injected_fault == Some(HolderFault::AcksBeforeStoring) && rejected.is_none() {
            through = through.max(append.first + append.entries.len() as u64 - 1);
        }
        let fault = rejected.map(|rejected| match rejected {
            RejectReason::Gap => JournalFault::Gap { of: source, from: through + 1, to: append.first - 1 },
            RejectReason::Corrupt(number) => JournalFault::Corrupt { of: source, number },
            RejectReason::Full => JournalFault::Full { of: source, number: through + 1 },
            RejectReason::WrongLife | RejectReason::UnknownJournal => {
                JournalFault::UnknownJournal { of: source }
            }
            RejectReason::TakenOver => JournalFault::TakenOver { of: source },
        });
        let lease_granted = granted == Ok(true) && self.is_for_this_life(append);
        (
            Ack {
                source,
                holder_life: self.life,
                generation,
                through,
                echoed_sent_at: append.sent_at,
                resync_count: append.resync_count,
                lease_granted,
                rejected,
            },
            fault,
        )
    }

    fn store_entries(&mut self, now: Micros, append: &Append) -> Option<RejectReason> {
        let (source, first, before) = (append.source, append.first, u64::from_le_bytes(append.chain_before));
        if first == 0 || first > MAX_ENTRY_NUMBER {
            return Some(RejectReason::Corrupt(first));
        }
        let through = self.journals.get(&source).map(Replica::through);
        match through {
            Some(through) if first <= through + 1 => {}
            None if !append.starts_journal => return Some(RejectReason::UnknownJournal),
            Some(_) if !append.starts_journal => return Some(RejectReason::Gap),
            _ => {
                self.remove_journal(source);
                if self.bytes + JOURNAL_BYTES > self.max_bytes {
                    return Some(RejectReason::Full);
                }
                self.bytes += JOURNAL_BYTES;
                self.last_generation += 1;
                self.journals.insert(source, Replica::new(self.last_generation, first, before));
            }
        }
        let (mut chain, mut rejected) = (before, None);
        for (number, sent) in (first..).zip(&append.entries) {
            rejected = self.store_entry(source, number, &mut chain, sent);
            if rejected.is_some() {
                break;
            }
        }
        self.truncate_below(source, append.needed_from);
        if let Some(journal) = self.journals.get_mut(&source) {
            (journal.last_sent_at, journal.last_received_at) =
                (journal.last_sent_at.max(append.sent_at), now);
            journal.head = journal.head.max(append.head);
        }
        rejected
    }

    /// Appends one entry if its checksum and chain match, or compares it with the stored one.
    fn store_entry(
        &mut self,
        source: Source,
        number: u64,
        chain: &mut u64,
        sent: &WireEntry,
    ) -> Option<RejectReason> {
        let journal = self.journals.get_mut(&source)?;
        let (digest, after) = match sent {
            WireEntry::Full(bytes, chain) => (xxh3_64(bytes), u64::from_le_bytes(*chain)),
            WireEntry::DigestOnly(digest, chain) => (u64::from_le_bytes(*digest), u64::from_le_bytes(*chain)),
        };
        let checked = self.injected_fault != Some(HolderFault::SkipsChainCheck);
        if checked && next_chain(*chain, source, number, digest) != after {
            return Some(RejectReason::Corrupt(number));
        }
        let next = journal.through() + 1;
        if checked && number == next && *chain != journal.chain() {
            return Some(RejectReason::Corrupt(number));
        }
        *chain = after;
        if number < next {
            let known = journal.entry_mut(number).map(|entry| entry.chain);
            return known.filter(|known| checked && *known != after).map(|_| RejectReason::Corrupt(number));
        }
        let bytes = match sent {
            WireEntry::Full(bytes, _) => Some(Box::<[u8]>::from(*bytes)),
            WireEntry::DigestOnly(..) => None,
        };
        let step = match &bytes {
            Some(bytes) => match decode_payload(bytes) {
                Some(step) => Some(step),
                None => return Some(RejectReason::Corrupt(number)),
            },
            None => None,
        };
        let entry = StoredEntry { digest, chain: after, payload: bytes };
        if self.bytes + entry.memory_cost() > self.max_bytes {
            return Some(RejectReason::Full);
        }
        if self.injected_fault == Some(HolderFault::AcksBeforeStoring) && number.is_multiple_of(5) {
            return None;
        }
        self.bytes += entry.memory_cost();
        journal.entries.push_back(entry);
        let mut ended = Vec::new();
        if let Some((until, step)) = step {
            self.expiry.insert((until, source, number));
            match step {
                Step::Accepted(accepted) => journal.pending.entry(accepted.key).or_default().push(number),
                Step::Sending { key, .. } => journal.pending.entry(key).or_default().push(number),
                Step::Ended { key, .. } => ended = journal.pending.remove(&key).unwrap_or_default(),
            }
        }
        ended.into_iter().for_each(|number| self.drop_payload(source, number));
        None
    }

    fn drop_payload(&mut self, source: Source, number: u64) {
        let entry = self.journals.get_mut(&source).and_then(|journal| journal.entry_mut(number));
        let Some(entry) = entry else { return };
        let until = entry.retained_until();
        self.bytes -= entry.drop_payload();
        until.into_iter().for_each(|until| _ = self.expiry.remove(&(until, source, number)));
    }

    /// Removes entries of a journal below a number, which are no longer needed.
    fn truncate_below(&mut self, source: Source, needed_from: u64) {
        while let Some(journal) = self.journals.get(&source)
            && journal.first < needed_from
            && let Some(entry) = journal.entries.front()
        {
            let (number, chain) = (journal.first, entry.chain);
            let step = entry.decode_payload();
            self.drop_payload(source, number);
            self.bytes -= ENTRY_BYTES;
            let Some(journal) = self.journals.get_mut(&source) else { return };
            (journal.first, journal.chain_before) = (number + 1, chain);
            journal.entries.pop_front();
            match step.map(|(_, step)| step) {
                Some(Step::Accepted(accepted)) => _ = journal.pending.remove(&accepted.key),
                Some(Step::Sending { key, .. }) => _ = journal.pending.remove(&key),
                Some(Step::Ended { .. }) | None => {}
            }
        }
    }

    /// Removes a journal that its writer has released, unless entries were sent after the release.
    pub fn release(&mut self, Release { source, sent_at }: Release) {
        if self.journals.get(&source).is_some_and(|journal| journal.last_sent_at <= sent_at) {
            self.remove_journal(source);
        }
    }

    /// Removes a journal.
    pub fn remove_journal(&mut self, source: Source) {
        if let Some(journal) = self.journals.get(&source) {
            let after_last = journal.through() + 1;
            self.truncate_below(source, after_last);
            self.journals.remove(&source);
            self.bytes -= JOURNAL_BYTES;
        }
    }

    /// Drops expired payloads, and idle journals without payloads.
    pub fn wake(&mut self, now: Micros, wall: WallMs) {
        while let Some((until, source, number)) = self.expiry.first().copied()
            && until < wall
        {
            self.drop_payload(source, number);
            self.expiry.remove(&(until, source, number));
        }
        let idle = |journal: &Replica| {
            now.saturating_sub(journal.last_received_at) > IDLE_JOURNAL_TIMEOUT
                && journal.entries.iter().all(|entry| entry.payload.is_none())
        };
        let idle: Vec<Source> =
            self.journals.iter().filter(|(_, journal)| idle(journal)).map(|(source, _)| *source).collect();
        idle.into_iter().for_each(|source| self.remove_journal(source));
    }
}
