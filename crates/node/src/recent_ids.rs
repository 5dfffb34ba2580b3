//! Requests that have recently ended, by connection.

use basaltward::Micros;
use basaltward_net::ConnId;
use std::collections::{HashSet, VecDeque};

/// How long an id is retained. A duplicate answer arrives some milliseconds after the first; later ones are not
/// expected.
const RETENTION_US: Micros = 1_000_000;

/// Ids that a connection must not carry again yet: a duplicate answer to the earlier request with the same id could
/// be taken for the answer to the next. Nothing prevents clients from reusing an id.
pub struct RecentIds {
    ids: HashSet<(ConnId, u64)>,
    order: VecDeque<(Micros, ConnId, u64)>,
    capacity: usize,
}

impl RecentIds {
    /// Creates a set that retains at most `capacity` ids, the most recent ones.
    pub fn new(capacity: usize) -> Self {
        Self { ids: HashSet::new(), order: VecDeque::new(), capacity }
    }

    /// Adds a request that has ended on a connection.
    pub fn insert(&mut self, now: Micros, conn: ConnId, request: u64) {
        self.forget(now);
        if self.order.len() >= self.capacity {
            self.drop_oldest();
        }
        if self.ids.insert((conn, request)) {
            self.order.push_back((now, conn, request));
        }
    }

    /// Drops expired ids.
    pub fn forget(&mut self, now: Micros) {
        while self.order.front().is_some_and(|(at, ..)| at + RETENTION_US <= now) {
            self.drop_oldest();
        }
    }

    /// Whether a request with this id has recently ended on the connection.
    pub fn contains(&self, conn: ConnId, request: u64) -> bool {
        self.ids.contains(&(conn, request))
    }

    fn drop_oldest(&mut self) {
        if let Some((_, conn, request)) = self.order.pop_front() {
            self.ids.remove(&(conn, request));
        }
    }
}
