use std::collections::BTreeMap;

/// Microseconds.
pub type Micros = u64;

/// A key with its value, as of one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of its last change.
    pub mod_revision: i64,
}

/// What stands at the head of each response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The registry's cluster.
    pub cluster: u64,
    /// The store's revision when it answered.
    pub revision: i64,
}

/// One change of the watched prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was set.
    Put(KeyValue),
    /// A key was deleted, or its lease ran out, at this revision.
    Delete(Vec<u8>, i64),
}

impl Change {
    /// The revision at which it happened.
    pub fn revision(&self) -> i64 {
        match self {
            Self::Put(kv) => kv.mod_revision,
            Self::Delete(_, revision) => *revision,
        }
    }
}

/// What a follower wants sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// A page: keys from `from` on that have the prefix, at this revision (0: the present one).
    Range {
        /// First key.
        from: Vec<u8>,
        /// At which revision.
        revision: i64,
        /// Keys at most.
        limit: i64,
    },
    /// Changes of the prefix from this revision on, with progress notices.
    Watch {
        /// First revision.
        revision: i64,
    },
    /// Drop the connection; another endpoint is to be taken for the next question.
    Close,
}

/// What a follower hears. All but [`Heard::Broken`] answer what was asked on the present connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    /// A page.
    Range {
        /// Its head.
        header: Header,
        /// Keys in order.
        kvs: Vec<KeyValue>,
        /// There are more after the last one.
        more: bool,
    },
    /// The revision asked for is compacted away; the oldest that is left, where told.
    Compacted(i64),
    /// The watch stands.
    Watching(Header),
    /// Changes, in order of revision.
    Changes {
        /// Its head.
        header: Header,
        /// The changes.
        changes: Vec<Change>,
        /// More of the same revisions follow in another message.
        fragment: bool,
    },
    /// Nothing has changed up to the header's revision.
    Progress(Header),
    /// The connection ended, could not be had, or brought an error.
    Broken,
}

/// What has become known, each a whole step: never part of a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// The first view, whole.
    Whole(BTreeMap<Vec<u8>, KeyValue>),
    /// True differences to the view told before, in the order of keys or of revisions.
    Changes(Vec<Change>),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Do {
    /// Send this.
    Ask(Ask),
    /// The view stands at this revision of this cluster; what differs from the one before.
    Tell(Header, Told),
}
