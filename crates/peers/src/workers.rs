//! The workers as the permits see them. A removed worker still counts as out of service for five minutes, and for as
//! long as it is drained.

use basaltward_net::Micros;
use basaltward_permits::{Observation, Observations, Subject, name_hash};
use std::collections::{BTreeMap, BTreeSet};

/// How long a removed worker counts as out of service: after that it has been replaced, or is not meant to be.
const GONE_RETENTION_US: Micros = 300_000_000;

/// The state of a worker in the list of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Accepts work.
    Ready,
    /// Finishes its work and accepts no more.
    Leaving,
    /// Removed.
    Gone,
}

/// A worker as it is listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// Its name. A new worker has a new name.
    pub name: String,
    /// Its zone, as the caller numbers zones.
    pub zone: u8,
    /// When it started, in Unix milliseconds, or 0 for a worker that has run for long.
    pub boot_ms: u64,
    /// Its state.
    pub state: WorkerState,
}

/// All workers that count, by the mark of their name.
#[derive(Default)]
pub(crate) struct Workers {
    /// Each with the time since when it has been in its state.
    by_mark: BTreeMap<u32, (Worker, Micros)>,
}

impl Workers {
    pub fn get(&self, mark: u32) -> Option<&Worker> {
        self.by_mark.get(&mark).map(|(worker, _)| worker)
    }

    pub fn marks(&self) -> impl Iterator<Item = u32> {
        self.by_mark.keys().copied()
    }

    pub fn names(&self) -> Vec<String> {
        self.by_mark.values().map(|(worker, _)| worker.name.clone()).collect()
    }

    pub fn observations(&self, now: Micros) -> Observations {
        let observation = |(mark, (worker, since)): (&u32, &(Worker, Micros))| {
            let used = (worker.state == WorkerState::Ready).then(|| now.saturating_sub(*since));
            let incarnation = (worker.boot_ms / 1_000) as u16;
            (
                Subject::Worker(*mark),
                Observation {
                    zone: worker.zone,
                    incarnation,
                    in_use_for: used,
                    holds_last_copy: false,
                    running_version: None,
                },
            )
        };
        self.by_mark.iter().map(observation).collect()
    }

    /// Applies the complete list of workers, or the changes in it. Removed workers that are drained are retained.
    pub fn update(&mut self, now: Micros, complete: bool, workers: &[Worker], drained: &BTreeSet<u32>) {
        if complete {
            let listed: BTreeSet<_> = workers.iter().map(|worker| name_hash(&worker.name)).collect();
            for (mark, (worker, since)) in &mut self.by_mark {
                if !listed.contains(mark) && worker.state != WorkerState::Gone {
                    (worker.state, *since) = (WorkerState::Gone, now);
                }
            }
        }
        for worker in workers {
            let mark = name_hash(&worker.name);
            let unchanged = |(known, _): &&(Worker, Micros)| {
                known.state == worker.state && known.boot_ms == worker.boot_ms
            };
            let since = self.by_mark.get(&mark).filter(unchanged).map_or(now, |(_, since)| *since);
            self.by_mark.insert(mark, (worker.clone(), since));
        }
        self.by_mark.retain(|mark, (worker, since)| {
            worker.state != WorkerState::Gone || drained.contains(mark) || now < *since + GONE_RETENTION_US
        });
    }
}
