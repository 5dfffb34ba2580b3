//! Deduplication of keyed calls in a group of workers: a repeat is dropped by whichever worker it reaches and gets the
//! answer of the first call.

use basaltward_net::Micros;
use std::collections::HashMap;

/// Number of keys from which on those with an expired window are removed.
const PRUNE_FROM: usize = 4_096;

enum Stage {
    /// Queued or running at this worker; these repeats wait for its answer.
    Pending(usize, Vec<u64>),
    /// Executed by this worker.
    Executed(usize),
}

/// How an arriving keyed call relates to earlier ones with its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// The first call with this key.
    First,
    /// A repeat of a call that is queued or running: it waits for that call's answer.
    Waits,
    /// A repeat of a call that has run.
    AlreadyExecuted,
}

/// Keys that a group of workers remembers.
#[derive(Default)]
pub(crate) struct DedupTable {
    /// Stage and end of the window, by event.
    keys: HashMap<String, (Stage, Micros)>,
}

impl DedupTable {
    /// Registers a keyed call that arrives at a worker. Repeats are dropped for `window` microseconds, and for as long
    /// as the first call is pending.
    pub fn arrive(&mut self, now: Micros, event: &str, worker: usize, token: u64, window: Micros) -> Arrival {
        match self.keys.get_mut(event) {
            Some((Stage::Pending(_, waiting), _)) => {
                waiting.push(token);
                return Arrival::Waits;
            }
            Some((Stage::Executed(_), until)) if *until > now => return Arrival::AlreadyExecuted,
            _ => {}
        }
        if self.keys.len() >= PRUNE_FROM {
            self.keys.retain(|_, (stage, until)| *until > now || matches!(stage, Stage::Pending(..)));
        }
        self.keys.insert(event.to_owned(), (Stage::Pending(worker, Vec::new()), now + window));
        Arrival::First
    }

    /// Marks the first call as executed. Returns the repeats that get the same answer.
    pub fn complete(&mut self, event: &str) -> Vec<u64> {
        match self.keys.get_mut(event) {
            Some((stage @ Stage::Pending(..), _)) => {
                let Stage::Pending(worker, waiting) = stage else { return Vec::new() };
                let waiting = std::mem::take(waiting);
                *stage = Stage::Executed(*worker);
                waiting
            }
            _ => Vec::new(),
        }
    }

    /// Removes the key of a pending call that will not run. Returns the repeats that waited for it.
    pub fn cancel(&mut self, event: &str) -> Vec<u64> {
        match self.keys.get(event) {
            Some((Stage::Pending(..), _)) => match self.keys.remove(event) {
                Some((Stage::Pending(_, waiting), _)) => waiting,
                _ => Vec::new(),
            },
            _ => Vec::new(),
        }
    }

    /// Handles the death of a worker. Its pending calls count as executed, since they had begun to run. Returns the
    /// repeats that waited for them. With `lose_keys`, as if each worker remembered its keys in its own memory only,
    /// the keys of this worker are removed.
    pub fn worker_died(&mut self, worker: usize, lose_keys: bool) -> Vec<u64> {
        let mut waiting = Vec::new();
        self.keys.retain(|_, (stage, _)| {
            if let Stage::Pending(by, repeats) = stage
                && *by == worker
            {
                waiting.append(repeats);
                *stage = Stage::Executed(worker);
            }
            !lose_keys || !matches!(stage, Stage::Executed(by) if *by == worker)
        });
        waiting
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_repeat_is_dropped_by_whichever_worker_it_reaches() {
        let mut keys = DedupTable::default();
        assert_eq!(keys.arrive(0, "e", 0, 1, 100), Arrival::First);
        assert_eq!(keys.arrive(10, "e", 1, 2, 100), Arrival::Waits);
        assert_eq!(keys.complete("e"), [2]);
        assert_eq!(keys.arrive(99, "e", 2, 3, 100), Arrival::AlreadyExecuted);
        assert_eq!(keys.arrive(100, "e", 2, 4, 100), Arrival::First);
        // Cancelled before it ran: the next one is the first again.
        assert_eq!((keys.cancel("e"), keys.arrive(101, "e", 0, 5, 100)), (vec![], Arrival::First));
        assert_eq!(keys.arrive(102, "e", 1, 6, 100), Arrival::Waits);
        assert_eq!(keys.worker_died(0, false), [6]);
        assert_eq!(keys.arrive(103, "e", 1, 7, 100), Arrival::AlreadyExecuted);
        keys.worker_died(0, true);
        assert_eq!(keys.arrive(104, "e", 1, 8, 100), Arrival::First);
    }
}
