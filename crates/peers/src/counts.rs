//! Counters of the connections to one peer. They only grow.

use crate::error::ConnectionError;

/// Counters of the connections to one peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounters {
    /// Connections that were used to send frames.
    pub established: u64,
    /// Frames accepted for sending.
    pub sent_frames: u64,
    /// Bytes of the frames accepted for sending, frame headers included.
    pub sent_bytes: u64,
    /// Frames received.
    pub received_frames: u64,
    /// Bytes of the frames received, frame headers included.
    pub received_bytes: u64,
    /// Frames rejected because too many bytes were unsent.
    pub rejected: u64,
    /// Times that the frames queued for a connection were discarded.
    pub queue_discards: u64,
    /// Frames received on a channel that this version does not have.
    pub unknown_channel: u64,
    /// Connections that the other end closed or that broke: the network path was cut or the process ended.
    pub disconnected: u64,
    /// Established connections ended because nothing was received or the other end did not read: the network path or
    /// the process stalled.
    pub stalled: u64,
    /// Connections that could not be established, or were refused.
    pub connect_failed: u64,
    /// Connections ended because of an invalid frame or handshake.
    pub protocol_errors: u64,
    /// Connections ended because they were idle or replaced, or because one of the two processes stopped.
    pub closed_in_order: u64,
}

impl ConnectionCounters {
    /// Counts the end of a connection under its cause.
    pub(crate) fn count_end(&mut self, error: ConnectionError) {
        let count = match error {
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
