//! Counters of the connections to one peer; they only grow.

use crate::error::ConnectionError;

/// What was counted of the links to one peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounters {
    /// Connections that frames went on.
    pub established: u64,
    /// Frames taken to be sent, and their bytes with what the wire adds.
    pub sent_frames: u64,
    /// See `sent`.
    pub sent_bytes: u64,
    /// Frames that came, and their bytes.
    pub received_frames: u64,
    /// See `came`.
    pub received_bytes: u64,
    /// Frames that were not taken, as too much was unsent.
    pub rejected: u64,
    /// Times that what waited for a connection was given up.
    pub queue_discards: u64,
    /// Frames of no channel that we know.
    pub unknown_channel: u64,
    /// Connections that the other end closed or that broke: the link was cut, or the process ended.
    pub disconnected: u64,
    /// Connections that stood and on which nothing came, or nothing was read: the link or the process stood still.
    pub stalled: u64,
    /// Connections that could not be made, or were refused.
    pub connect_failed: u64,
    /// Connections ended over a frame or a hello that can't be used.
    pub protocol_errors: u64,
    /// Connections ended as unused, or as another took their place.
    pub closed_in_order: u64,
}

impl ConnectionCounters {
    pub(crate) fn count_end(&mut self, why: ConnectionError) {
        let count = match why {
            ConnectionError::Closed | ConnectionError::Reset | ConnectionError::Truncated(_) => {
                &mut self.disconnected
            }
            ConnectionError::ReceiveTimeout | ConnectionError::NotReading | ConnectionError::NotReceiving => {
                &mut self.stalled
            }
            ConnectionError::ConnectFailed | ConnectionError::Refused => &mut self.connect_failed,
            ConnectionError::Idle | ConnectionError::Replaced | ConnectionError::Stopped => {
                &mut self.closed_in_order
            }
            _ => &mut self.protocol_errors,
        };
        *count += 1;
    }
}
