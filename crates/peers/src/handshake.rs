//! Control messages on channel 0, by which the two ends of a connection identify themselves, check that the other end
//! is alive, and give the reason for closing. Each message is one frame, encoded with postcard.

use crate::error::ConnectionError;
use basaltward_membership::MemberId;
use serde::{Deserialize, Serialize};

/// Format of the frames and of the messages in this module. A handshake of any other format is rejected.
const FORMAT: u8 = 1;

/// The first frame that each end sends. The address of a connection does not identify a peer, as there may be relays
/// between the two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handshake {
    format: u8,
    /// Hash of the fleet's name.
    pub fleet: u32,
    /// Number of the sender.
    pub from: MemberId,
    /// Start time of the sender in milliseconds since the beginning of 2026; identifies its process.
    pub start_ms: u64,
    /// Number of the peer that the sender expects at the other end.
    pub to: MemberId,
}

/// A message on channel 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Control {
    /// Identifies the sender.
    Handshake(Handshake),
    /// Requests a [`Control::Pong`] with the same number.
    Ping(u32),
    /// Answers a [`Control::Ping`].
    Pong(u32),
    /// The sender closes the connection for this reason, which the closing of the socket alone does not show.
    Bye(Bye),
}

/// Why the sender closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Bye {
    /// No frames of a channel other than 0 were sent or received for a while.
    Idle,
    /// It receives nothing, or no answers to its pings.
    NoResponse,
    /// A later connection replaces this one.
    Replaced,
    /// It stops.
    Stopped,
    /// It received an invalid frame or message.
    ProtocolError,
}

impl Bye {
    /// The reason to send when this process ends a connection with this error, or `None` if the other end or the
    /// network already ended it.
    pub fn of(error: ConnectionError) -> Option<Self> {
        match error {
            ConnectionError::Closed
            | ConnectionError::Reset
            | ConnectionError::Truncated(_)
            | ConnectionError::ConnectFailed
            | ConnectionError::Refused
            | ConnectionError::NotReceiving => None,
            ConnectionError::Idle => Some(Self::Idle),
            ConnectionError::ReceiveTimeout | ConnectionError::NotReading => Some(Self::NoResponse),
            ConnectionError::Replaced | ConnectionError::EarlierIncarnation => Some(Self::Replaced),
            ConnectionError::Stopped => Some(Self::Stopped),
            _ => Some(Self::ProtocolError),
        }
    }

    /// The error by which a connection ends when the other end sends this reason.
    pub fn error(self) -> ConnectionError {
        match self {
            Self::Idle => ConnectionError::Idle,
            Self::NoResponse => ConnectionError::NotReceiving,
            Self::Replaced => ConnectionError::Replaced,
            Self::Stopped => ConnectionError::Stopped,
            Self::ProtocolError => ConnectionError::Refused,
        }
    }
}

impl Handshake {
    pub fn new(fleet: u32, (from, start_ms): (MemberId, u64), to: MemberId) -> Self {
        Self { format: FORMAT, fleet, from, start_ms, to }
    }
}

impl Control {
    pub fn write(&self) -> Vec<u8> {
        postcard::to_extend(self, Vec::new()).unwrap_or_default()
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// [`ConnectionError::Format`] for a handshake of another format, [`ConnectionError::Control`] for bytes that are
    /// no message.
    pub fn read(bytes: &[u8]) -> Result<Self, ConnectionError> {
        // All formats have the format number at the same position of a handshake.
        if let [0, format, ..] = bytes
            && *format != FORMAT
        {
            return Err(ConnectionError::Format { remote: *format, local: FORMAT });
        }
        match postcard::take_from_bytes(bytes) {
            Ok((control, [])) => Ok(control),
            _ => Err(ConnectionError::Control),
        }
    }
}
