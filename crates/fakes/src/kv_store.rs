//! An in-memory multi-version key-value store: revisions, history, compaction and restores from a backup.

use std::collections::BTreeMap;

/// A change of one key: the key, and its new value or `None` if it was deleted.
pub type Change = (Vec<u8>, Option<Vec<u8>>);

/// All keys of one revision, each with its value and the revision of its last change.
pub type Snapshot = BTreeMap<Vec<u8>, (Vec<u8>, i64)>;

/// Why a revision can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HistoryError {
    /// The revision was compacted; this is the oldest readable one.
    Compacted(i64),
    /// The revision is newer than the store's.
    Future,
}

/// The store. Every transaction that changes something creates one revision.
#[derive(Clone, Debug)]
pub struct KvStore {
    /// Id of the cluster.
    pub cluster_id: u64,
    revision: i64,
    compacted: i64,
    /// The keys at revision `compacted`.
    base: Snapshot,
    /// Transactions after `compacted`, by revision.
    history: BTreeMap<i64, Vec<Change>>,
}

impl KvStore {
    /// Creates an empty store at revision 1.
    pub fn new(cluster: u64) -> Self {
        Self {
            cluster_id: cluster,
            revision: 1,
            compacted: 0,
            base: BTreeMap::new(),
            history: BTreeMap::new(),
        }
    }

    /// The current revision.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Applies changes as one transaction and returns the current revision. Deletes of absent keys change nothing; a
    /// transaction that changes nothing creates no revision.
    pub fn write(&mut self, changes: Vec<Change>) -> i64 {
        let mut now = self.snapshot_at(self.revision).unwrap_or_default();
        let mut effective = Vec::new();
        for (key, value) in changes {
            let existed = now.remove(&key).is_some();
            if let Some(value) = &value {
                now.insert(key.clone(), (value.clone(), 0));
            }
            if existed || value.is_some() {
                effective.retain(|(k, _)| *k != key);
                effective.push((key, value));
            }
        }
        if !effective.is_empty() {
            self.revision += 1;
            self.history.insert(self.revision, effective);
        }
        self.revision
    }

    /// All keys as of a revision.
    ///
    /// # Errors
    /// If the revision was compacted or is newer than the store's.
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

    /// The transactions from a revision on, that one included.
    ///
    /// # Errors
    /// If the revision was compacted.
    pub fn changes_since(
        &self,
        revision: i64,
    ) -> Result<impl Iterator<Item = (i64, &Vec<Change>)>, HistoryError> {
        if revision <= self.compacted {
            return Err(HistoryError::Compacted(self.compacted));
        }
        Ok(self.history.range(revision..).map(|(at, changes)| (*at, changes)))
    }

    /// Drops the history before a revision, which itself stays readable.
    pub fn compact(&mut self, revision: i64) {
        if let (true, Ok(view)) = (revision > self.compacted, self.snapshot_at(revision)) {
            self.base = view;
            self.compacted = revision;
            self.history.retain(|at, _| *at > revision);
        }
    }

    /// A store restored from a backup of this one: the same data under a new cluster id.
    pub fn restored(&self, cluster: u64) -> Self {
        Self { cluster_id: cluster, ..self.clone() }
    }
}
