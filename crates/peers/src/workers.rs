//! The workers as the permits see them. A removed worker still counts as out of service for five minutes, and for as
//! long as it is drained.

use basaltward_net::Micros;
use basaltward_permits::{Observation, Observations, Subject, name_hash};
use std::collections::{BTreeMap, BTreeSet};

/// How long a removed worker counts as out of service: after that it has been replaced, or is not going to be.
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
    /// When it started, in Unix milliseconds, or 0 for a worker that has been running for a long time.
    pub boot_ms: u64,
    /// Its state.
    pub state: WorkerState,
}

/// All workers that count for the permits: the listed ones and recently removed or drained ones. By name hash.
#[derive(Default)]
pub(crate) struct Workers {
    /// Each worker with the time at which it entered its state or started.
    by_hash: BTreeMap<u32, (Worker, Micros)>,
}

impl Workers {
    pub fn get(&self, hash: u32) -> Option<&Worker> {
        self.by_hash.get(&hash).map(|(worker, _)| worker)
    }

    pub fn name_hashes(&self) -> impl Iterator<Item = u32> {
        self.by_hash.keys().copied()
    }

    pub fn names(&self) -> Vec<String> {
        self.by_hash.values().map(|(worker, _)| worker.name.clone()).collect()
    }

    pub fn observations(&self, now: Micros) -> Observations {
        let observation = |(hash, (worker, since)): (&u32, &(Worker, Micros))| {
            let in_use_for = (worker.state == WorkerState::Ready).then(|| now.saturating_sub(*since));
            let incarnation = (worker.boot_ms / 1_000) as u16;
            (
                Subject::Worker(*hash),
                Observation {
                    zone: worker.zone,
                    incarnation,
                    in_use_for,
                    holds_last_copy: false,
                    running_version: None,
                },
            )
        };
        self.by_hash.iter().map(observation).collect()
    }

    /// Applies the complete list of workers, or the changes in it. Removed workers that are drained are retained.
    pub fn update(&mut self, now: Micros, complete: bool, workers: &[Worker], drained: &BTreeSet<u32>) {
        if complete {
            let listed: BTreeSet<_> = workers.iter().map(|worker| name_hash(&worker.name)).collect();
            for (hash, (worker, since)) in &mut self.by_hash {
                if !listed.contains(hash) && worker.state != WorkerState::Gone {
                    (worker.state, *since) = (WorkerState::Gone, now);
                }
            }
        }
        for worker in workers {
            let hash = name_hash(&worker.name);
            let is_unchanged = |(known, _): &&(Worker, Micros)| {
                known.state == worker.state && known.boot_ms == worker.boot_ms
            };
            let since = self.by_hash.get(&hash).filter(is_unchanged).map_or(now, |(_, since)| *since);
            self.by_hash.insert(hash, (worker.clone(), since));
        }
        self.by_hash.retain(|hash, (worker, since)| {
            worker.state != WorkerState::Gone || drained.contains(hash) || now < *since + GONE_RETENTION_US
        });
    }
}
