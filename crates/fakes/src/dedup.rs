//! The memory of keys that a group of workers shares: a keyed call's repeat is dropped by whichever of them
//! it reaches, and gets the first one's answer.

use basaltward_net::Micros;
use std::collections::HashMap;

/// Keys past which those whose window is over are forgotten.
const MOST: usize = 4_096;

enum Stage {
    /// Held by this worker, queued or running; these repeats wait for its answer.
    Held(usize, Vec<u64>),
    /// Its effect has happened.
    Done(usize),
}

/// What a keyed call gets that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Known {
    /// It is the first.
    New,
    /// The first is held: this one waits for its answer.
    Waits,
    /// The first has run.
    Done,
}

/// The group's memory.
#[derive(Default)]
pub(crate) struct Keys {
    known: HashMap<String, (Stage, Micros)>,
}

impl Keys {
    /// A call arrives at a worker.
    pub fn arrive(&mut self, now: Micros, event: &str, worker: usize, token: u64, window: Micros) -> Known {
        match self.known.get_mut(event) {
            Some((Stage::Held(_, waiting), _)) => {
                waiting.push(token);
                return Known::Waits;
            }
            Some((Stage::Done(_), until)) if *until > now => return Known::Done,
            _ => {}
        }
        if self.known.len() >= MOST {
            self.known.retain(|_, (stage, until)| *until > now || matches!(stage, Stage::Held(..)));
        }
        self.known.insert(event.to_owned(), (Stage::Held(worker, Vec::new()), now + window));
        Known::New
    }

    /// The first is answered: gives the repeats that get the same answer.
    pub fn done(&mut self, event: &str) -> Vec<u64> {
        match self.known.get_mut(event) {
            Some((stage @ Stage::Held(..), _)) => {
                let Stage::Held(worker, waiting) = stage else { return Vec::new() };
                let waiting = std::mem::take(waiting);
                *stage = Stage::Done(*worker);
                waiting
            }
            _ => Vec::new(),
        }
    }

    /// The first will not run after all: gives the repeats that waited for it.
    pub fn forget(&mut self, event: &str) -> Vec<u64> {
        match self.known.get(event) {
            Some((Stage::Held(..), _)) => match self.known.remove(event) {
                Some((Stage::Held(_, waiting), _)) => waiting,
                _ => Vec::new(),
            },
            _ => Vec::new(),
        }
    }

    /// A worker is gone. What it held had begun to run, so its effect stands: gives the repeats that waited
    /// for it. Where the memory was the worker's own, its keys go with it.
    pub fn died(&mut self, worker: usize, lost: bool) -> Vec<u64> {
        let mut waiting = Vec::new();
        self.known.retain(|_, (stage, _)| {
            if let Stage::Held(by, repeats) = stage
                && *by == worker
            {
                waiting.append(repeats);
                *stage = Stage::Done(worker);
            }
            !lost || !matches!(stage, Stage::Done(by) if *by == worker)
        });
        waiting
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_repeat_is_dropped_by_whichever_worker_it_reaches() {
        let mut keys = Keys::default();
        assert_eq!(keys.arrive(0, "e", 0, 1, 100), Known::New);
        assert_eq!(keys.arrive(10, "e", 1, 2, 100), Known::Waits);
        assert_eq!(keys.done("e"), [2]);
        assert_eq!(keys.arrive(99, "e", 2, 3, 100), Known::Done);
        assert_eq!(keys.arrive(100, "e", 2, 4, 100), Known::New);
        // Called off before it ran: the next one is the first again.
        assert_eq!((keys.forget("e"), keys.arrive(101, "e", 0, 5, 100)), (vec![], Known::New));
        assert_eq!(keys.arrive(102, "e", 1, 6, 100), Known::Waits);
        assert_eq!(keys.died(0, false), [6]);
        assert_eq!(keys.arrive(103, "e", 1, 7, 100), Known::Done);
        keys.died(0, true);
        assert_eq!(keys.arrive(104, "e", 1, 8, 100), Known::New);
    }
}
