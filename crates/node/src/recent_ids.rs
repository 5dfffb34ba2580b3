//! Which requests have ended on which connection a little while ago.

use basaltward::Micros;
use basaltward_net::ConnId;
use std::collections::{HashSet, VecDeque};

/// A second answer comes some milliseconds after the first; one that comes later than this is not reckoned with.
const RETENTION_US: Micros = 1_000_000;

/// Ids that a connection must not carry again yet: a second answer to the request that had the id before could be
/// taken for one to the next. Nobody keeps clients from using an id again.
pub struct RecentIds {
    ids: HashSet<(ConnId, u64)>,
    order: VecDeque<(Micros, ConnId, u64)>,
    capacity: usize,
}

impl RecentIds {
    /// It keeps no more than so many, those that ended last.
    pub fn new(capacity: usize) -> Self {
        Self { ids: HashSet::new(), order: VecDeque::new(), capacity }
    }

    /// A request has ended on a connection.
    pub fn insert(&mut self, now: Micros, conn: ConnId, request: u64) {
        self.forget(now);
        if self.order.len() >= self.capacity {
            self.drop_oldest();
        }
        if self.ids.insert((conn, request)) {
            self.order.push_back((now, conn, request));
        }
    }

    /// Drops what is long ago.
    pub fn forget(&mut self, now: Micros) {
        while self.order.front().is_some_and(|(at, ..)| at + RETENTION_US <= now) {
            self.drop_oldest();
        }
    }

    /// Whether a request under this id has ended there lately.
    pub fn contains(&self, conn: ConnId, request: u64) -> bool {
        self.ids.contains(&(conn, request))
    }

    fn drop_oldest(&mut self) {
        if let Some((_, conn, request)) = self.order.pop_front() {
            self.ids.remove(&(conn, request));
        }
    }
}
