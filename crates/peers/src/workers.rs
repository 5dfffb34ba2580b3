//! Workers as a program is told of them, as far as what is agreed needs to know. One that is gone counts as out for five
//! minutes, and as long as it is drained.

use basaltward_net::Micros;
use basaltward_permits::{Observation, Observations, Subject, mark};
use std::collections::{BTreeMap, BTreeSet};

/// A worker that is gone counts as out for so long: by then it has been replaced, or is not meant to be.
const GONE_RETENTION_US: Micros = 300_000_000;

/// What a worker is told to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Takes work.
    Ready,
    /// Finishes its work and takes nothing new.
    Leaving,
    /// Removed.
    Gone,
}

/// A worker as it is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// Its name. A new worker has a new one.
    pub name: String,
    /// Its zone, numbered by whoever tells.
    pub zone: u8,
    /// When it started late, in Unix milliseconds, or 0.
    pub boot_ms: u64,
    /// What it is.
    pub state: WorkerState,
}

/// All workers that count, by mark.
#[derive(Default)]
pub(crate) struct Workers {
    /// Each with the time since when it has been as it is told to be.
    by_mark: BTreeMap<u32, (Worker, Micros)>,
}

impl Workers {
    pub fn get(&self, tag: u32) -> Option<&Worker> {
        self.by_mark.get(&tag).map(|(worker, _)| worker)
    }

    pub fn tags(&self) -> impl Iterator<Item = u32> {
        self.by_mark.keys().copied()
    }

    pub fn names(&self) -> Vec<String> {
        self.by_mark.values().map(|(worker, _)| worker.name.clone()).collect()
    }

    pub fn observations(&self, now: Micros) -> Observations {
        let seen = |(tag, (worker, since)): (&u32, &(Worker, Micros))| {
            let used = (worker.state == WorkerState::Ready).then(|| now.saturating_sub(*since));
            let life = (worker.boot_ms / 1_000) as u16;
            (Subject::Worker(*tag), Observation { zone: worker.zone, life, used, sole: false, runs: None })
        };
        self.by_mark.iter().map(seen).collect()
    }

    /// The list, or what has changed in it. Those that are drained are kept though they are gone.
    pub fn update(&mut self, now: Micros, whole: bool, told: &[Worker], drained: &BTreeSet<u32>) {
        if whole {
            let listed: BTreeSet<_> = told.iter().map(|worker| mark(&worker.name)).collect();
            for (tag, (worker, since)) in &mut self.by_mark {
                if !listed.contains(tag) && worker.state != WorkerState::Gone {
                    (worker.state, *since) = (WorkerState::Gone, now);
                }
            }
        }
        for worker in told {
            let tag = mark(&worker.name);
            let same = |(known, _): &&(Worker, Micros)| {
                known.state == worker.state && known.boot_ms == worker.boot_ms
            };
            let since = self.by_mark.get(&tag).filter(same).map_or(now, |(_, since)| *since);
            self.by_mark.insert(tag, (worker.clone(), since));
        }
        self.by_mark.retain(|tag, (worker, since)| {
            worker.state != WorkerState::Gone || drained.contains(tag) || now < *since + GONE_RETENTION_US
        });
    }
}
