//! A multi-version store as a key-value registry keeps it: revisions, history, compaction, restores.

use std::collections::BTreeMap;

/// A change as the store keeps it: the key, and its value unless it was deleted.
pub type Change = (Vec<u8>, Option<Vec<u8>>);

/// Keys with value and revision of the last change.
pub type Snapshot = BTreeMap<Vec<u8>, (Vec<u8>, i64)>;

/// Why a question about the past can't be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HistoryError {
    /// The revision is compacted away; this is the oldest left.
    Compacted(i64),
    /// It lies in the future.
    Future,
}

/// The store. Every transaction with a change is one revision.
#[derive(Clone, Debug)]
pub struct KvStore {
    /// Its cluster's id.
    pub cluster_id: u64,
    revision: i64,
    compacted: i64,
    /// As of `compacted`.
    base: Snapshot,
    /// Later transactions, by revision.
    history: BTreeMap<i64, Vec<Change>>,
}

impl KvStore {
    /// An empty store at revision 1.
    pub fn new(cluster: u64) -> Self {
        Self {
            cluster_id: cluster,
            revision: 1,
            compacted: 0,
            base: BTreeMap::new(),
            history: BTreeMap::new(),
        }
    }

    /// The present revision.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Applies changes as one transaction; deletes of absent keys change nothing.
    pub fn write(&mut self, changes: Vec<Change>) -> i64 {
        let mut now = self.snapshot_at(self.revision).unwrap_or_default();
        let mut kept = Vec::new();
        for (key, value) in changes {
            let known = now.remove(&key).is_some();
            if let Some(value) = &value {
                now.insert(key.clone(), (value.clone(), 0));
            }
            if known || value.is_some() {
                kept.retain(|(k, _)| *k != key);
                kept.push((key, value));
            }
        }
        if !kept.is_empty() {
            self.revision += 1;
            self.history.insert(self.revision, kept);
        }
        self.revision
    }

    /// All keys with value and revision of the last change, as of a revision.
    ///
    /// # Errors
    /// Where that revision is compacted away or lies in the future.
    pub fn snapshot_at(&self, revision: i64) -> Result<Snapshot, HistoryError> {
        if revision > self.revision {
            return Err(HistoryError::Future);
        } else if revision < self.compacted {
            return Err(HistoryError::Compacted(self.compacted));
        }
        let mut view = self.base.clone();
        for (at, changes) in self.history.range(..=revision) {
            for (key, value) in changes {
                match value {
                    Some(value) => view.insert(key.clone(), (value.clone(), *at)),
                    None => view.remove(key),
                };
            }
        }
        Ok(view)
    }

    /// Transactions from a revision on.
    ///
    /// # Errors
    /// Where that revision is compacted away.
    pub fn changes_since(
        &self,
        revision: i64,
    ) -> Result<impl Iterator<Item = (i64, &Vec<Change>)>, HistoryError> {
        if revision <= self.compacted {
            return Err(HistoryError::Compacted(self.compacted));
        }
        Ok(self.history.range(revision..).map(|(at, changes)| (*at, changes)))
    }

    /// Forgets the history up to a revision, which itself stays readable.
    pub fn compact(&mut self, revision: i64) {
        if let (true, Ok(view)) = (revision > self.compacted, self.snapshot_at(revision)) {
            self.base = view;
            self.compacted = revision;
            self.history.retain(|at, _| *at > revision);
        }
    }

    /// The store as a backup of it would be: the same data under a new cluster's id.
    pub fn restored(&self, cluster: u64) -> Self {
        Self { cluster_id: cluster, ..self.clone() }
    }
}
