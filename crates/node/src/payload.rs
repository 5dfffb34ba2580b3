//! Types that the engine carries for the Thrift front end: the payload of a call, and its reply.

use basaltward_engine::Reply;
use basaltward_net::ConnId;
use bytes::Bytes;
use std::sync::{Mutex, PoisonError};

/// A call as its client sent it.
#[derive(Debug)]
pub struct CallPayload {
    /// Its id, passed on unchanged.
    pub id: String,
    /// Its id as a number.
    pub number: u64,
    /// Its class, as an index into the settings.
    pub class: usize,
    /// Its idempotency key, passed on unchanged.
    pub key: Option<String>,
    /// Its body, passed on unchanged.
    pub body: Bytes,
    /// Connections that have carried an attempt of it. No other attempt uses them, since a late answer to the
    /// earlier one would have the same id.
    pub connections: Mutex<Vec<ConnId>>,
}

impl CallPayload {
    /// Notes that a connection carries an attempt of it.
    pub fn note_connection(&self, conn: ConnId) {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner).push(conn);
    }

    /// Whether a connection has carried an attempt of it.
    pub fn has_used(&self, conn: ConnId) -> bool {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner).contains(&conn)
    }
}

/// The body of a worker's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplyBody(pub Bytes);

impl Reply for ReplyBody {
    fn bytes(&self) -> usize {
        self.0.len()
    }
}
