use std::collections::BTreeMap;

/// Microseconds.
pub type Micros = u64;

/// A key and its value at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last change to the key.
    pub mod_revision: i64,
}

/// The header of every response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Id of the registry's cluster.
    pub cluster: u64,
    /// Revision of the store when it responded.
    pub revision: i64,
}

/// One change to a key of the watched prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was created or updated.
    Put(KeyValue),
    /// The key was deleted, or its lease expired, at this revision.
    Delete(Vec<u8>, i64),
}

impl Change {
    /// Revision of the change.
    pub fn revision(&self) -> i64 {
        match self {
            Self::Put(kv) => kv.mod_revision,
            Self::Delete(_, revision) => *revision,
        }
    }
}

/// A request of a follower to the registry, or the end of its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Read one page: the keys with the prefix, from `from` on, at this revision (0: the current one).
    Range {
        /// First key of the page.
        from: Vec<u8>,
        /// Revision to read at.
        revision: i64,
        /// Maximum number of keys.
        limit: i64,
    },
    /// Watch the changes to the prefix from this revision on, with progress notifications.
    Watch {
        /// First revision.
        revision: i64,
    },
    /// Close the connection, and use another endpoint for the next request.
    Close,
}

/// An input of a follower. All but [`Response::Failed`] respond to the last request on the current connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// One page of a range.
    Range {
        /// The header.
        header: Header,
        /// Keys and values in the order of the keys.
        kvs: Vec<KeyValue>,
        /// Whether the range has more keys after the last one.
        more: bool,
    },
    /// The requested revision has been compacted. Holds the oldest available revision, or 0 if it is unknown.
    Compacted(i64),
    /// The watch has been created.
    WatchCreated(Header),
    /// Changes to watched keys.
    Changes {
        /// The header.
        header: Header,
        /// The changes in the order of their revisions.
        changes: Vec<Change>,
        /// Whether another message continues the changes of the same revisions.
        fragment: bool,
    },
    /// A progress notification: no watched key has changed up to the revision in the header.
    Progress(Header),
    /// The connection failed or was closed, or the registry responded with an error.
    Failed,
}

/// A result for the user of the follower. It never covers only a part of a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// The first complete view.
    Snapshot(BTreeMap<Vec<u8>, KeyValue>),
    /// The differences to the last reported view, in the order of keys or of revisions.
    Changes(Vec<Change>),
}

/// An output of a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send this request, or close the connection.
    Send(Request),
    /// Apply this update; the view then corresponds to this cluster and revision.
    Apply(Header, Update),
}
