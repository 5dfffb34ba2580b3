//! The holder's side: journals of gateways of other sites, taken in order only, each line checked against the chain.
//! What is missing or changed is named and asked for again, never filled. Two lives of a gateway are two journals.

use crate::entry::{ENTRY_BYTES, StoredEntry, next_chain, read};
use crate::error::JournalFault;
use crate::takeover_messages::JournalSnapshot;
use crate::types::{Entry, Key, Source, Step, WallMs};
use crate::wire::{Ack, Append, RejectReason, Release, WireEntry};
use basaltward_membership::{MemberId, Micros};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use xxhash_rust::xxh3::xxh3_64;

/// A journal of which nothing is needed is forgotten after so long without word.
const IDLE_JOURNAL_TIMEOUT: Micros = 60_000_000;
/// No journal comes to this number.
const MAX_ENTRY_NUMBER: u64 = 1 << 62;
/// What a journal costs beside its lines.
const JOURNAL_BYTES: usize = size_of::<HeldJournal>() + 64;

/// One journal as it is held.
#[derive(Debug)]
struct HeldJournal {
    generation: u32,
    /// The number of the first line that is held, and the chain before it.
    first: u64,
    chain_before: u64,
    entries: VecDeque<StoredEntry>,
    /// Append of events that have not ended, by event.
    pending: BTreeMap<Key, Vec<u64>>,
    /// The last line that its writer said to have written.
    head: u64,
    /// When its writer sent the latest that came, on its clock.
    last_sent_at: Micros,
    last_heard_at: Micros,
}

/// All that is held for others.
#[derive(Debug)]
pub struct Holder {
    life: u64,
    max_bytes: usize,
    bytes: usize,
    last_generation: u32,
    journals: BTreeMap<Source, HeldJournal>,
    /// Append with their bytes, by when nothing depends on them.
    expiry: BTreeSet<(WallMs, Source, u64)>,
    planted: Option<HolderFault>,
}

/// A fault to be planted, which tests have to find.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderFault {
    /// Append are acknowledged before they are stored, and some are not.
    AckFirst,
    /// The chain is not checked.
    Unchained,
}

impl HeldJournal {
    fn new(begun: u32, first: u64, before: u64) -> Self {
        Self {
            generation: begun,
            first,
            chain_before: before,
            entries: VecDeque::new(),
            pending: BTreeMap::new(),
            head: 0,
            last_sent_at: 0,
            last_heard_at: 0,
        }
    }

    fn through(&self) -> u64 {
        self.first + self.entries.len() as u64 - 1
    }

    fn decoded_entries(&self, source: Source) -> Vec<Entry> {
        let lines = self.entries.iter().zip(self.first..);
        lines.filter_map(|(line, number)| line.entry(source, number)).collect()
    }

    fn chain(&self) -> u64 {
        self.entries.back().map_or(self.chain_before, |line| line.chain)
    }

    fn entry_mut(&mut self, number: u64) -> Option<&mut StoredEntry> {
        self.entries.get_mut(number.checked_sub(self.first)? as usize)
    }
}

impl Holder {
    /// Holds nothing, up to this many bytes.
    pub fn new(life: u64, most: usize) -> Self {
        Self {
            life,
            max_bytes: most,
            bytes: 0,
            last_generation: 0,
            journals: BTreeMap::new(),
            expiry: BTreeSet::new(),
            planted: None,
        }
    }

    #[doc(hidden)]
    pub fn plant(&mut self, planted: HolderFault) {
        self.planted = Some(planted);
    }

    /// Bytes held, and by how many lines.
    pub fn size(&self) -> (usize, usize) {
        (self.bytes, self.journals.values().map(|shelf| shelf.entries.len()).sum())
    }

    /// Journals of which anything is held.
    pub fn sources(&self) -> impl Iterator<Item = Source> {
        self.journals.keys().copied()
    }

    /// Whether an event is held that is pending in a journal.
    pub fn holds(&self, source: Source, key: Key) -> bool {
        let Some(shelf) = self.journals.get(&source) else { return false };
        let first = shelf.pending.get(&key).and_then(|numbers| numbers.first());
        let line = first.and_then(|number| shelf.entries.get(number.checked_sub(shelf.first)? as usize));
        line.is_some_and(|line| line.payload.is_some())
    }

    /// All that is held of a gateway's lives up to this one.
    pub fn snapshots(&self, now: Micros, of: MemberId, life: u64) -> Vec<JournalSnapshot> {
        let range = Source { gateway: of, life: 0 }..=Source { gateway: of, life };
        let copy = |(source, shelf): (&Source, &HeldJournal)| JournalSnapshot {
            source: *source,
            through: shelf.through(),
            head: shelf.head.max(shelf.through()),
            silent_for: now.saturating_sub(shelf.last_heard_at),
            entries: shelf.decoded_entries(*source),
        };
        self.journals.range(range).map(copy).collect()
    }

    /// The latest life of a gateway of which anything is held.
    pub fn life(&self, of: MemberId) -> Option<u64> {
        let range = Source { gateway: of, life: 0 }..=Source { gateway: of, life: u64::MAX };
        self.journals.range(range).next_back().map(|(source, _)| source.life)
    }

    /// Whether lines were sent to this life.
    pub fn is_for_this_life(&self, lines: &Append) -> bool {
        lines.holder_life == self.life
    }

    /// Takes lines that their writer sent: the answer, and what is wrong with them. `granted`: whether anything is
    /// promised to it; an error where it was taken over.
    pub fn handle_append(
        &mut self,
        now: Micros,
        lines: &Append,
        granted: Result<bool, ()>,
    ) -> (Ack, Option<JournalFault>) {
        let source = lines.source;
        let not = match granted {
            _ if !self.is_for_this_life(lines) => Some(RejectReason::WrongLife),
            Err(()) => Some(RejectReason::TakenOver),
            Ok(_) => self.store_entries(now, lines),
        };
        let shelf = self.journals.get(&source);
        let (begun, mut through) = shelf.map_or((0, 0), |shelf| (shelf.generation, shelf.through()));
        if self.planted == Some(HolderFault::AckFirst) && not.is_none() {
            through = through.max(lines.first + lines.entries.len() as u64 - 1);
        }
        let fault = not.map(|not| match not {
            RejectReason::Gap => JournalFault::Gap { of: source, from: through + 1, to: lines.first - 1 },
            RejectReason::Corrupt(number) => JournalFault::Broken { of: source, number },
            RejectReason::Full => JournalFault::Full { of: source, number: through + 1 },
            RejectReason::WrongLife | RejectReason::UnknownJournal => JournalFault::Nothing { of: source },
            RejectReason::TakenOver => JournalFault::Taken { of: source },
        });
        let granted = granted == Ok(true) && self.is_for_this_life(lines);
        (
            Ack {
                source,
                holder_life: self.life,
                generation: begun,
                through,
                echoed_sent_at: lines.sent_at,
                resync_count: lines.resync_count,
                lease_granted: granted,
                rejected: not,
            },
            fault,
        )
    }

    fn store_entries(&mut self, now: Micros, lines: &Append) -> Option<RejectReason> {
        let (source, first, before) = (lines.source, lines.first, u64::from_le_bytes(lines.chain_before));
        if first == 0 || first > MAX_ENTRY_NUMBER {
            return Some(RejectReason::Corrupt(first));
        }
        let through = self.journals.get(&source).map(HeldJournal::through);
        match through {
            Some(through) if first <= through + 1 => {}
            None if !lines.starts_journal => return Some(RejectReason::UnknownJournal),
            Some(_) if !lines.starts_journal => return Some(RejectReason::Gap),
            _ => {
                self.remove_journal(source);
                if self.bytes + JOURNAL_BYTES > self.max_bytes {
                    return Some(RejectReason::Full);
                }
                self.bytes += JOURNAL_BYTES;
                self.last_generation += 1;
                self.journals.insert(source, HeldJournal::new(self.last_generation, first, before));
            }
        }
        let (mut chain, mut kept) = (before, None);
        for (number, sent) in (first..).zip(&lines.entries) {
            kept = self.store_entry(source, number, &mut chain, sent);
            if kept.is_some() {
                break;
            }
        }
        self.truncate_below(source, lines.needed_from);
        if let Some(shelf) = self.journals.get_mut(&source) {
            (shelf.last_sent_at, shelf.last_heard_at) = (shelf.last_sent_at.max(lines.sent_at), now);
            shelf.head = shelf.head.max(lines.head);
        }
        kept
    }

    /// Puts one line behind those that are held, if it is the one that was written there.
    fn store_entry(
        &mut self,
        source: Source,
        number: u64,
        chain: &mut u64,
        sent: &WireEntry,
    ) -> Option<RejectReason> {
        let shelf = self.journals.get_mut(&source)?;
        let (digest, after) = match sent {
            WireEntry::Full(bytes, chain) => (xxh3_64(bytes), u64::from_le_bytes(*chain)),
            WireEntry::DigestOnly(digest, chain) => (u64::from_le_bytes(*digest), u64::from_le_bytes(*chain)),
        };
        let checked = self.planted != Some(HolderFault::Unchained);
        if checked && next_chain(*chain, source, number, digest) != after {
            return Some(RejectReason::Corrupt(number));
        }
        let next = shelf.through() + 1;
        if checked && number == next && *chain != shelf.chain() {
            return Some(RejectReason::Corrupt(number));
        }
        *chain = after;
        if number < next {
            let known = shelf.entry_mut(number).map(|line| line.chain);
            return known.filter(|known| checked && *known != after).map(|_| RejectReason::Corrupt(number));
        }
        let bytes = match sent {
            WireEntry::Full(bytes, _) => Some(Box::<[u8]>::from(*bytes)),
            WireEntry::DigestOnly(..) => None,
        };
        let said = match &bytes {
            Some(bytes) => match read(bytes) {
                Some(said) => Some(said),
                None => return Some(RejectReason::Corrupt(number)),
            },
            None => None,
        };
        let line = StoredEntry { digest, chain: after, payload: bytes };
        if self.bytes + line.memory_cost() > self.max_bytes {
            return Some(RejectReason::Full);
        }
        if self.planted == Some(HolderFault::AckFirst) && number.is_multiple_of(5) {
            return None;
        }
        self.bytes += line.memory_cost();
        shelf.entries.push_back(line);
        let mut ended = Vec::new();
        if let Some((until, step)) = said {
            self.expiry.insert((until, source, number));
            match step {
                Step::Accepted(accepted) => shelf.pending.entry(accepted.key).or_default().push(number),
                Step::Sending { key, .. } => shelf.pending.entry(key).or_default().push(number),
                Step::Ended { key, .. } => ended = shelf.pending.remove(&key).unwrap_or_default(),
            }
        }
        ended.into_iter().for_each(|number| self.drop_payload(source, number));
        None
    }

    fn drop_payload(&mut self, source: Source, number: u64) {
        let line = self.journals.get_mut(&source).and_then(|shelf| shelf.entry_mut(number));
        let Some(line) = line else { return };
        let until = line.until();
        self.bytes -= line.drop_payload();
        until.into_iter().for_each(|until| _ = self.expiry.remove(&(until, source, number)));
    }

    /// Nothing of a journal below a number is needed.
    fn truncate_below(&mut self, source: Source, low: u64) {
        while let Some(shelf) = self.journals.get(&source)
            && shelf.first < low
            && let Some(line) = shelf.entries.front()
        {
            let (number, chain) = (shelf.first, line.chain);
            let said = line.decode_payload();
            self.drop_payload(source, number);
            self.bytes -= ENTRY_BYTES;
            let Some(shelf) = self.journals.get_mut(&source) else { return };
            (shelf.first, shelf.chain_before) = (number + 1, chain);
            shelf.entries.pop_front();
            match said.map(|(_, step)| step) {
                Some(Step::Accepted(accepted)) => _ = shelf.pending.remove(&accepted.key),
                Some(Step::Sending { key, .. }) => _ = shelf.pending.remove(&key),
                Some(Step::Ended { .. }) | None => {}
            }
        }
    }

    /// Its writer needs nothing of a journal, unless it has sent lines since it said so.
    pub fn release(&mut self, Release { source, sent_at: sent }: Release) {
        if self.journals.get(&source).is_some_and(|shelf| shelf.last_sent_at <= sent) {
            self.remove_journal(source);
        }
    }

    /// Forgets a journal.
    pub fn remove_journal(&mut self, source: Source) {
        if let Some(shelf) = self.journals.get(&source) {
            let above = shelf.through() + 1;
            self.truncate_below(source, above);
            self.journals.remove(&source);
            self.bytes -= JOURNAL_BYTES;
        }
    }

    /// Lets go of what is past its time, and of journals that hold nothing any more.
    pub fn wake(&mut self, now: Micros, wall: WallMs) {
        while let Some((until, source, number)) = self.expiry.first().copied()
            && until < wall
        {
            self.drop_payload(source, number);
            self.expiry.remove(&(until, source, number));
        }
        let idle = |shelf: &HeldJournal| {
            now.saturating_sub(shelf.last_heard_at) > IDLE_JOURNAL_TIMEOUT
                && shelf.entries.iter().all(|line| line.payload.is_none())
        };
        let idle: Vec<Source> =
            self.journals.iter().filter(|(_, shelf)| idle(shelf)).map(|(source, _)| *source).collect();
        idle.into_iter().for_each(|source| self.remove_journal(source));
    }
}
