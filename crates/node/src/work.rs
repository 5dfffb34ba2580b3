//! What the engine carries for this front: a call's payload and its reply.

use basaltward_engine::Reply;
use basaltward_net::ConnId;
use bytes::Bytes;
use std::sync::{Mutex, PoisonError};

/// A call as its client sent it.
#[derive(Debug)]
pub struct CallPayload {
    /// Its id, passed on as it came.
    pub id: String,
    /// Its id as a number.
    pub number: u64,
    /// Its class, a position in the settings.
    pub class: usize,
    /// The key of its effect, passed on as it came.
    pub key: Option<String>,
    /// Its body, passed on as it came.
    pub body: Bytes,
    /// Connections that have carried an attempt of it. Another attempt goes on none of them: a late answer to
    /// the first would come under the same id.
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

/// The body that a worker gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplyBody(pub Bytes);

impl Reply for ReplyBody {
    fn bytes(&self) -> usize {
        self.0.len()
    }
}
