//! Things due at some time, earliest first, and in the order set among equals. No clock and no I/O.
//!
//! A calendar queue: what is due within the next few seconds lies unsorted in slots of about a millisecond,
//! and a slot is sorted only when its time comes. The module's timers can't be called off, so a busy loop
//! holds a few for each call of its last seconds; in one binary heap their cache misses were the largest
//! single cost of a call.
#![warn(missing_docs)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Microseconds.
pub type Micros = u64;

/// Width of a slot: 2^10 us.
const WIDTH: u32 = 10;
/// Slots of the calendar; beyond them things wait in a map, which is the exception.
const SLOTS: u64 = 4_096;

type Item<T> = (Micros, u64, T);

/// See the crate's page.
#[derive(Debug)]
pub struct Timers<T> {
    /// Due before the slot `at` begins, sorted.
    near: BinaryHeap<Reverse<Item<T>>>,
    /// Number of the first slot that is not sorted yet.
    at: u64,
    slots: Vec<Vec<Item<T>>>,
    /// One bit a slot that holds something.
    filled: Vec<u64>,
    far: BTreeMap<u64, Vec<Item<T>>>,
    set: u64,
    count: usize,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Self {
            near: BinaryHeap::new(),
            at: 0,
            slots: Vec::new(),
            filled: vec![0; SLOTS as usize / 64],
            far: BTreeMap::new(),
            set: 0,
            count: 0,
        }
    }
}

impl<T: Ord> Timers<T> {
    /// Sets one.
    pub fn set(&mut self, at: Micros, what: T) {
        let item = (at, self.set, what);
        self.set += 1;
        self.count += 1;
        let slot = at >> WIDTH;
        if slot < self.at {
            self.near.push(Reverse(item));
        } else if slot < self.at + SLOTS {
            self.put(slot, item);
        } else {
            self.far.entry(slot).or_default().push(item);
        }
    }

    fn put(&mut self, slot: u64, item: Item<T>) {
        if self.slots.is_empty() {
            self.slots.resize_with(SLOTS as usize, Vec::new);
        }
        let index = (slot % SLOTS) as usize;
        self.filled[index / 64] |= 1 << (index % 64);
        self.slots[index].push(item);
    }

    /// The first slot that holds something, if any does.
    fn first_slot(&self) -> Option<u64> {
        let words = SLOTS / 64;
        let (start, bit) = ((self.at % SLOTS) / 64, self.at % 64);
        // The word of `at` is looked at twice: its bits from `at` on come first, those before it last.
        let near = (0..=words).find_map(|step| {
            let word = (start + step) % words;
            let mask = match step {
                0 => !0u64 << bit,
                s if s == words => !(!0u64 << bit),
                _ => !0,
            };
            let bits = self.filled[word as usize] & mask;
            let index = word * 64 + u64::from(bits.trailing_zeros());
            (bits != 0).then(|| self.at + (index + SLOTS - self.at % SLOTS) % SLOTS)
        });
        let far = self.far.first_key_value().map(|(slot, _)| *slot);
        [near, far].into_iter().flatten().min()
    }

    /// When to look again: the earliest time set, or the beginning of its slot, which is at most a
    /// millisecond before.
    pub fn next_due(&self) -> Option<Micros> {
        match self.near.peek() {
            Some(Reverse((at, ..))) => Some(*at),
            None => self.first_slot().map(|slot| slot << WIDTH),
        }
    }

    /// Takes the earliest that is due by `now`, with the time for which it was set.
    pub fn pop_due(&mut self, now: Micros) -> Option<(Micros, T)> {
        self.advance(now);
        if self.near.peek().is_none_or(|Reverse((at, ..))| *at > now) {
            return None;
        }
        self.count -= 1;
        self.near.pop().map(|Reverse((at, _, what))| (at, what))
    }

    /// Sorts the slots that begin by `now`.
    fn advance(&mut self, now: Micros) {
        let current = now >> WIDTH;
        while self.at <= current {
            let Some(slot) = self.first_slot().filter(|slot| *slot <= current) else {
                self.at = current + 1;
                break;
            };
            self.at = slot + 1;
            let index = (slot % SLOTS) as usize;
            let begins = |items: &&mut Vec<Item<T>>| items.first().is_some_and(|i| i.0 >> WIDTH == slot);
            if let Some(items) = self.slots.get_mut(index).filter(begins) {
                // The slot gives its memory back: else each of them would keep room for the most that it ever held,
                // which fills up over many turns of the calendar.
                self.near.extend(std::mem::take(items).into_iter().map(Reverse));
                self.filled[index / 64] &= !(1 << (index % 64));
            }
            if let Some(items) = self.far.remove(&slot) {
                self.near.extend(items.into_iter().map(Reverse));
            }
        }
    }

    /// How many are set.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether none is set.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn gives_what_a_sorted_list_gives() {
        // A multiplicative congruence in place of a random source.
        let mut state = 7u64;
        let mut draw = |below: u64| {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) % below
        };
        let (mut timers, mut list, mut now) = (Timers::default(), Vec::new(), 5_000_000u64);
        for step in 0..4_000u64 {
            // Near, within the calendar, beyond it, and in the past.
            let span = [200, 100_000, 4_000_000, 90_000_000][draw(4) as usize];
            let at = now + draw(span) - draw(2) * 50;
            timers.set(at, step);
            list.push((at, step));
            if draw(3) == 0 {
                now += draw(20_000);
                list.sort_unstable();
                let due = list.iter().take_while(|(at, _)| *at <= now).count();
                let expected: Vec<_> = list.drain(..due).collect();
                let given: Vec<_> = std::iter::from_fn(|| timers.pop_due(now)).collect();
                assert_eq!(given, expected, "step {step}");
                let next = list.first().map(|(at, _)| *at);
                assert!(
                    timers.next_due() <= next && timers.next_due().is_some() == next.is_some(),
                    "step {step}"
                );
                assert!(timers.next_due().zip(next).is_none_or(|(told, next)| next - told < 1 << WIDTH));
            }
            assert_eq!(timers.len(), list.len());
        }
    }

    #[test]
    fn slots_keep_no_room_once_what_they_held_is_due() {
        let mut timers = Timers::default();
        for turn in 1..=3u64 {
            let begin = turn << (WIDTH + 12);
            (0..SLOTS * 16).for_each(|nth| timers.set(begin + ((nth / 16) << WIDTH), nth));
            while timers.pop_due(begin + (SLOTS << WIDTH)).is_some() {}
        }
        assert!(timers.is_empty());
        let room: usize = timers.slots.iter().map(Vec::capacity).sum();
        assert_eq!(room, 0, "room for {room} things that nobody has set");
    }
}
