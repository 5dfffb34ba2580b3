//! The holder's side: journals of gateways of other sites, taken in order only, each line checked against the chain.
//! What is missing or changed is named and asked for again, never filled. Two lives of a gateway are two journals.

use crate::entry::{HOLLOW, StoredEntry, chained, read};
use crate::error::JournalFault;
use crate::takeover_messages::JournalSnapshot;
use crate::types::{Entry, Key, Source, Step, WallMs};
use crate::wire::{Ack, Append, RejectReason, Release, WireEntry};
use basaltward_membership::{MemberId, Micros};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use xxhash_rust::xxh3::xxh3_64;

/// A journal of which nothing is needed is forgotten after so long without word.
const FORGET: Micros = 60_000_000;
/// No journal comes to this number.
const FAR: u64 = 1 << 62;
/// What a journal costs beside its lines.
const SHELF: usize = size_of::<HeldJournal>() + 64;

/// One journal as it is held.
#[derive(Debug)]
struct HeldJournal {
    begun: u32,
    /// The number of the first line that is held, and the chain before it.
    first: u64,
    before: u64,
    lines: VecDeque<StoredEntry>,
    /// Append of events that have not ended, by event.
    pending: BTreeMap<Key, Vec<u64>>,
    /// The last line that its writer said to have written.
    head: u64,
    /// When its writer sent the latest that came, on its clock.
    sent: Micros,
    heard: Micros,
}

/// All that is held for others.
#[derive(Debug)]
pub struct Holder {
    life: u64,
    most: usize,
    bytes: usize,
    begun: u32,
    shelves: BTreeMap<Source, HeldJournal>,
    /// Append with their bytes, by when nothing depends on them.
    due: BTreeSet<(WallMs, Source, u64)>,
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
            begun,
            first,
            before,
            lines: VecDeque::new(),
            pending: BTreeMap::new(),
            head: 0,
            sent: 0,
            heard: 0,
        }
    }

    fn through(&self) -> u64 {
        self.first + self.lines.len() as u64 - 1
    }

    fn entries(&self, source: Source) -> Vec<Entry> {
        let lines = self.lines.iter().zip(self.first..);
        lines.filter_map(|(line, number)| line.entry(source, number)).collect()
    }

    fn chain(&self) -> u64 {
        self.lines.back().map_or(self.before, |line| line.chain)
    }

    fn line(&mut self, number: u64) -> Option<&mut StoredEntry> {
        self.lines.get_mut(number.checked_sub(self.first)? as usize)
    }
}

impl Holder {
    /// Holds nothing, up to this many bytes.
    pub fn new(life: u64, most: usize) -> Self {
        Self { life, most, bytes: 0, begun: 0, shelves: BTreeMap::new(), due: BTreeSet::new(), planted: None }
    }

    #[doc(hidden)]
    pub fn plant(&mut self, planted: HolderFault) {
        self.planted = Some(planted);
    }

    /// Bytes held, and by how many lines.
    pub fn size(&self) -> (usize, usize) {
        (self.bytes, self.shelves.values().map(|shelf| shelf.lines.len()).sum())
    }

    /// Journals of which anything is held.
    pub fn sources(&self) -> impl Iterator<Item = Source> {
        self.shelves.keys().copied()
    }

    /// Whether an event is held that is pending in a journal.
    pub fn holds(&self, source: Source, key: Key) -> bool {
        let Some(shelf) = self.shelves.get(&source) else { return false };
        let first = shelf.pending.get(&key).and_then(|numbers| numbers.first());
        let line = first.and_then(|number| shelf.lines.get(number.checked_sub(shelf.first)? as usize));
        line.is_some_and(|line| line.bytes.is_some())
    }

    /// All that is held of a gateway's lives up to this one.
    pub fn copies(&self, now: Micros, of: MemberId, life: u64) -> Vec<JournalSnapshot> {
        let range = Source { gateway: of, life: 0 }..=Source { gateway: of, life };
        let copy = |(source, shelf): (&Source, &HeldJournal)| JournalSnapshot {
            source: *source,
            through: shelf.through(),
            head: shelf.head.max(shelf.through()),
            unheard: now.saturating_sub(shelf.heard),
            entries: shelf.entries(*source),
        };
        self.shelves.range(range).map(copy).collect()
    }

    /// The latest life of a gateway of which anything is held.
    pub fn life(&self, of: MemberId) -> Option<u64> {
        let range = Source { gateway: of, life: 0 }..=Source { gateway: of, life: u64::MAX };
        self.shelves.range(range).next_back().map(|(source, _)| source.life)
    }

    /// Whether lines were sent to this life.
    pub fn is_for_us(&self, lines: &Append) -> bool {
        lines.to == self.life
    }

    /// Takes lines that their writer sent: the answer, and what is wrong with them. `granted`: whether anything is
    /// promised to it; an error where it was taken over.
    pub fn take(
        &mut self,
        now: Micros,
        lines: &Append,
        granted: Result<bool, ()>,
    ) -> (Ack, Option<JournalFault>) {
        let source = lines.source;
        let not = match granted {
            _ if !self.is_for_us(lines) => Some(RejectReason::Life),
            Err(()) => Some(RejectReason::Taken),
            Ok(_) => self.store(now, lines),
        };
        let shelf = self.shelves.get(&source);
        let (begun, mut through) = shelf.map_or((0, 0), |shelf| (shelf.begun, shelf.through()));
        if self.planted == Some(HolderFault::AckFirst) && not.is_none() {
            through = through.max(lines.first + lines.lines.len() as u64 - 1);
        }
        let fault = not.map(|not| match not {
            RejectReason::Gap => JournalFault::Gap { of: source, from: through + 1, to: lines.first - 1 },
            RejectReason::Broken(number) => JournalFault::Broken { of: source, number },
            RejectReason::Full => JournalFault::Full { of: source, number: through + 1 },
            RejectReason::Life | RejectReason::Nothing => JournalFault::Nothing { of: source },
            RejectReason::Taken => JournalFault::Taken { of: source },
        });
        let granted = granted == Ok(true) && self.is_for_us(lines);
        (
            Ack { source, life: self.life, begun, through, echo: lines.sent, turn: lines.turn, granted, not },
            fault,
        )
    }

    fn store(&mut self, now: Micros, lines: &Append) -> Option<RejectReason> {
        let (source, first, before) = (lines.source, lines.first, u64::from_le_bytes(lines.before));
        if first == 0 || first > FAR {
            return Some(RejectReason::Broken(first));
        }
        let through = self.shelves.get(&source).map(HeldJournal::through);
        match through {
            Some(through) if first <= through + 1 => {}
            None if !lines.anew => return Some(RejectReason::Nothing),
            Some(_) if !lines.anew => return Some(RejectReason::Gap),
            _ => {
                self.forget(source);
                if self.bytes + SHELF > self.most {
                    return Some(RejectReason::Full);
                }
                self.bytes += SHELF;
                self.begun += 1;
                self.shelves.insert(source, HeldJournal::new(self.begun, first, before));
            }
        }
        let (mut chain, mut kept) = (before, None);
        for (number, sent) in (first..).zip(&lines.lines) {
            kept = self.put(source, number, &mut chain, sent);
            if kept.is_some() {
                break;
            }
        }
        self.drop_below(source, lines.low);
        if let Some(shelf) = self.shelves.get_mut(&source) {
            (shelf.sent, shelf.heard) = (shelf.sent.max(lines.sent), now);
            shelf.head = shelf.head.max(lines.head);
        }
        kept
    }

    /// Puts one line behind those that are held, if it is the one that was written there.
    fn put(
        &mut self,
        source: Source,
        number: u64,
        chain: &mut u64,
        sent: &WireEntry,
    ) -> Option<RejectReason> {
        let shelf = self.shelves.get_mut(&source)?;
        let (digest, after) = match sent {
            WireEntry::Full(bytes, chain) => (xxh3_64(bytes), u64::from_le_bytes(*chain)),
            WireEntry::DigestOnly(digest, chain) => (u64::from_le_bytes(*digest), u64::from_le_bytes(*chain)),
        };
        let checked = self.planted != Some(HolderFault::Unchained);
        if checked && chained(*chain, source, number, digest) != after {
            return Some(RejectReason::Broken(number));
        }
        let next = shelf.through() + 1;
        if checked && number == next && *chain != shelf.chain() {
            return Some(RejectReason::Broken(number));
        }
        *chain = after;
        if number < next {
            let known = shelf.line(number).map(|line| line.chain);
            return known.filter(|known| checked && *known != after).map(|_| RejectReason::Broken(number));
        }
        let bytes = match sent {
            WireEntry::Full(bytes, _) => Some(Box::<[u8]>::from(*bytes)),
            WireEntry::DigestOnly(..) => None,
        };
        let said = match &bytes {
            Some(bytes) => match read(bytes) {
                Some(said) => Some(said),
                None => return Some(RejectReason::Broken(number)),
            },
            None => None,
        };
        let line = StoredEntry { digest, chain: after, bytes };
        if self.bytes + line.cost() > self.most {
            return Some(RejectReason::Full);
        }
        if self.planted == Some(HolderFault::AckFirst) && number.is_multiple_of(5) {
            return None;
        }
        self.bytes += line.cost();
        shelf.lines.push_back(line);
        let mut ended = Vec::new();
        if let Some((until, step)) = said {
            self.due.insert((until, source, number));
            match step {
                Step::Accepted(accepted) => shelf.pending.entry(accepted.key).or_default().push(number),
                Step::Sending { key, .. } => shelf.pending.entry(key).or_default().push(number),
                Step::Ended { key, .. } => ended = shelf.pending.remove(&key).unwrap_or_default(),
            }
        }
        ended.into_iter().for_each(|number| self.hollow(source, number));
        None
    }

    fn hollow(&mut self, source: Source, number: u64) {
        let line = self.shelves.get_mut(&source).and_then(|shelf| shelf.line(number));
        let Some(line) = line else { return };
        let until = line.until();
        self.bytes -= line.hollow();
        until.into_iter().for_each(|until| _ = self.due.remove(&(until, source, number)));
    }

    /// Nothing of a journal below a number is needed.
    fn drop_below(&mut self, source: Source, low: u64) {
        while let Some(shelf) = self.shelves.get(&source)
            && shelf.first < low
            && let Some(line) = shelf.lines.front()
        {
            let (number, chain) = (shelf.first, line.chain);
            let said = line.read();
            self.hollow(source, number);
            self.bytes -= HOLLOW;
            let Some(shelf) = self.shelves.get_mut(&source) else { return };
            (shelf.first, shelf.before) = (number + 1, chain);
            shelf.lines.pop_front();
            match said.map(|(_, step)| step) {
                Some(Step::Accepted(accepted)) => _ = shelf.pending.remove(&accepted.key),
                Some(Step::Sending { key, .. }) => _ = shelf.pending.remove(&key),
                Some(Step::Ended { .. }) | None => {}
            }
        }
    }

    /// Its writer needs nothing of a journal, unless it has sent lines since it said so.
    pub fn release(&mut self, Release { source, sent }: Release) {
        if self.shelves.get(&source).is_some_and(|shelf| shelf.sent <= sent) {
            self.forget(source);
        }
    }

    /// Forgets a journal.
    pub fn forget(&mut self, source: Source) {
        if let Some(shelf) = self.shelves.get(&source) {
            let above = shelf.through() + 1;
            self.drop_below(source, above);
            self.shelves.remove(&source);
            self.bytes -= SHELF;
        }
    }

    /// Lets go of what is past its time, and of journals that hold nothing any more.
    pub fn wake(&mut self, now: Micros, wall: WallMs) {
        while let Some((until, source, number)) = self.due.first().copied()
            && until < wall
        {
            self.hollow(source, number);
            self.due.remove(&(until, source, number));
        }
        let idle = |shelf: &HeldJournal| {
            now.saturating_sub(shelf.heard) > FORGET && shelf.lines.iter().all(|line| line.bytes.is_none())
        };
        let idle: Vec<Source> =
            self.shelves.iter().filter(|(_, shelf)| idle(shelf)).map(|(source, _)| *source).collect();
        idle.into_iter().for_each(|source| self.forget(source));
    }
}
