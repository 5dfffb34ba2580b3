use crate::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Things due at some time, earliest first; among equals in the order in which they were set.
///
/// A binary heap: the module's timers can't be called off, so nothing is ever removed from the middle, and
/// at the tens of thousands that a loop holds an insert or a removal takes well under a microsecond.
#[derive(Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<(Micros, u64, T)>>,
    set: u64,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), set: 0 }
    }
}

impl<T: Ord> Timers<T> {
    /// Sets one.
    pub fn set(&mut self, at: Micros, what: T) {
        self.heap.push(Reverse((at, self.set, what)));
        self.set += 1;
    }

    /// The time of the earliest.
    pub fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    /// Takes the earliest that is due by `now`.
    pub fn due(&mut self, now: Micros) -> Option<T> {
        self.next().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse((.., what))| what)
    }

    /// How many are set.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether none is set.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
