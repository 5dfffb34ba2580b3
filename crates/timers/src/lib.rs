//! A timer queue that yields entries by due time, and in insertion order among equal times. Free of I/O; the
//! caller passes the current time in.
//!
//! Implemented as a calendar queue: entries due within the next few seconds are stored unsorted in slots of
//! about a millisecond, and a slot is sorted only when its time comes. The controller's timers can't be
//! cancelled, so a busy loop holds a few timers for each call of the last seconds; with a single binary heap,
//! their cache misses were the largest single cost of a call.
#![warn(missing_docs)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// A time or a duration in microseconds.
pub type Micros = u64;

/// Width of a slot, as a power of two: 2^10 us.
const SLOT_BITS: u32 = 10;
/// Number of slots in the calendar. Entries due later than that, which are rare, go to an ordered map.
const SLOT_COUNT: u64 = 4_096;

type Entry<T> = (Micros, u64, T);

/// A calendar queue of timers. See the [crate documentation](crate).
#[derive(Debug)]
pub struct Timers<T> {
    /// Entries due before slot `next_slot` begins, sorted.
    sorted: BinaryHeap<Reverse<Entry<T>>>,
    /// Number of the first slot that has not been moved to `sorted` yet.
    next_slot: u64,
    slots: Vec<Vec<Entry<T>>>,
    /// Bitmap of the slots that are not empty.
    occupied: Vec<u64>,
    /// Entries due after the last slot of the calendar, by slot number.
    overflow: BTreeMap<u64, Vec<Entry<T>>>,
    /// Entries inserted so far; orders entries with equal times.
    sequence: u64,
    count: usize,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Self {
            sorted: BinaryHeap::new(),
            next_slot: 0,
            slots: Vec::new(),
            occupied: vec![0; SLOT_COUNT as usize / 64],
            overflow: BTreeMap::new(),
            sequence: 0,
            count: 0,
        }
    }
}

impl<T: Ord> Timers<T> {
    /// Inserts an entry that is due at `at`, which may be in the past.
    pub fn set(&mut self, at: Micros, payload: T) {
        let entry = (at, self.sequence, payload);
        self.sequence += 1;
        self.count += 1;
        let slot = at >> SLOT_BITS;
        if slot < self.next_slot {
            self.sorted.push(Reverse(entry));
        } else if slot < self.next_slot + SLOT_COUNT {
            self.insert_in_slot(slot, entry);
        } else {
            self.overflow.entry(slot).or_default().push(entry);
        }
    }

    fn insert_in_slot(&mut self, slot: u64, entry: Entry<T>) {
        if self.slots.is_empty() {
            self.slots.resize_with(SLOT_COUNT as usize, Vec::new);
        }
        let index = (slot % SLOT_COUNT) as usize;
        self.occupied[index / 64] |= 1 << (index % 64);
        self.slots[index].push(entry);
    }

    /// Number of the earliest slot that is not empty, in the calendar or in the overflow map.
    fn first_slot(&self) -> Option<u64> {
        let words = SLOT_COUNT / 64;
        let (start, bit) = ((self.next_slot % SLOT_COUNT) / 64, self.next_slot % 64);
        // The bitmap word of `next_slot` is scanned twice: first its bits from there on, last those before it.
        let calendar = (0..=words).find_map(|step| {
            let word = (start + step) % words;
            let mask = match step {
                0 => !0u64 << bit,
                s if s == words => !(!0u64 << bit),
                _ => !0,
            };
            let bits = self.occupied[word as usize] & mask;
            let index = word * 64 + u64::from(bits.trailing_zeros());
            (bits != 0)
                .then(|| self.next_slot + (index + SLOT_COUNT - self.next_slot % SLOT_COUNT) % SLOT_COUNT)
        });
        let overflow = self.overflow.first_key_value().map(|(slot, _)| *slot);
        [calendar, overflow].into_iter().flatten().min()
    }

    /// When to call [`Timers::pop_due`] next: the earliest due time, or the beginning of its slot, which is
    /// at most about a millisecond earlier. `None` if the queue is empty.
    pub fn next_due(&self) -> Option<Micros> {
        match self.sorted.peek() {
            Some(Reverse((at, ..))) => Some(*at),
            None => self.first_slot().map(|slot| slot << SLOT_BITS),
        }
    }

    /// Removes the earliest entry that is due by `now` and returns it with its due time.
    pub fn pop_due(&mut self, now: Micros) -> Option<(Micros, T)> {
        self.advance(now);
        if self.sorted.peek().is_none_or(|Reverse((at, ..))| *at > now) {
            return None;
        }
        self.count -= 1;
        self.sorted.pop().map(|Reverse((at, _, payload))| (at, payload))
    }

    /// Moves the entries of all slots that begin by `now` to `sorted`.
    fn advance(&mut self, now: Micros) {
        let current = now >> SLOT_BITS;
        while self.next_slot <= current {
            let Some(slot) = self.first_slot().filter(|slot| *slot <= current) else {
                self.next_slot = current + 1;
                break;
            };
            self.next_slot = slot + 1;
            let index = (slot % SLOT_COUNT) as usize;
            let begins_here =
                |entries: &&mut Vec<Entry<T>>| entries.first().is_some_and(|e| e.0 >> SLOT_BITS == slot);
            if let Some(entries) = self.slots.get_mut(index).filter(begins_here) {
                // Frees the slot's memory. Otherwise each slot would retain the capacity of its fullest state,
                // which adds up over many revolutions of the calendar.
                self.sorted.extend(std::mem::take(entries).into_iter().map(Reverse));
                self.occupied[index / 64] &= !(1 << (index % 64));
            }
            if let Some(entries) = self.overflow.remove(&slot) {
                self.sorted.extend(entries.into_iter().map(Reverse));
            }
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn yields_the_same_entries_as_a_sorted_list() {
        // A linear congruential generator in place of a random source.
        let mut state = 7u64;
        let mut draw = |below: u64| {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) % below
        };
        let (mut timers, mut list, mut now) = (Timers::default(), Vec::new(), 5_000_000u64);
        for step in 0..4_000u64 {
            // In the next slots, within the calendar, beyond it, and in the past.
            let span = [200, 100_000, 4_000_000, 90_000_000][draw(4) as usize];
            let at = now + draw(span) - draw(2) * 50;
            timers.set(at, step);
            list.push((at, step));
            if draw(3) == 0 {
                now += draw(20_000);
                list.sort_unstable();
                let due = list.iter().take_while(|(at, _)| *at <= now).count();
                let expected: Vec<_> = list.drain(..due).collect();
                let popped: Vec<_> = std::iter::from_fn(|| timers.pop_due(now)).collect();
                assert_eq!(popped, expected, "step {step}");
                let next = list.first().map(|(at, _)| *at);
                assert!(
                    timers.next_due() <= next && timers.next_due().is_some() == next.is_some(),
                    "step {step}"
                );
                assert!(
                    timers
                        .next_due()
                        .zip(next)
                        .is_none_or(|(reported, next)| next - reported < 1 << SLOT_BITS)
                );
            }
            assert_eq!(timers.len(), list.len());
        }
    }

    #[test]
    fn slots_free_their_memory_once_their_entries_are_due() {
        let mut timers = Timers::default();
        for revolution in 1..=3u64 {
            let begin = revolution << (SLOT_BITS + 12);
            (0..SLOT_COUNT * 16).for_each(|nth| timers.set(begin + ((nth / 16) << SLOT_BITS), nth));
            while timers.pop_due(begin + (SLOT_COUNT << SLOT_BITS)).is_some() {}
        }
        assert!(timers.is_empty());
        let capacity: usize = timers.slots.iter().map(Vec::capacity).sum();
        assert_eq!(capacity, 0, "capacity for {capacity} entries in an empty queue");
    }
}
