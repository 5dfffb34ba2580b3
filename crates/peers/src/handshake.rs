//! What the two ends of a connection tell one another about it, on channel 0: who each is, that it is there, and why it ends
//! the connection. One frame each, by postcard.

use crate::error::ConnectionError;
use basaltward_membership::MemberId;
use serde::{Deserialize, Serialize};

/// Of the frames and of what stands here; other formats are refused.
const FORMAT: u8 = 1;

/// The first frame of each end. The address of an end can't name it, as relays may stand between.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handshake {
    format: u8,
    /// Names the fleet.
    pub fleet: u32,
    /// Who says it, and in which life.
    pub from: MemberId,
    /// See `from`.
    pub start_ms: u64,
    /// Whom it takes the other end for.
    pub to: MemberId,
}

/// What goes on channel 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Control {
    /// Who I am.
    Handshake(Handshake),
    /// Are you there?
    Ping(u32),
    /// I am.
    Pong(u32),
    /// I end this, for this cause: the other end can't tell it by the end alone.
    Bye(Bye),
}

/// Why an end ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Bye {
    /// Nothing of any room went on it.
    Idle,
    /// It hears nothing, or no answers.
    NoResponse,
    /// A later one takes its place.
    Replaced,
    /// It stops.
    Stopped,
    /// It can't use what came.
    ProtocolError,
}

impl Bye {
    /// What to say where we end a connection for this cause; nothing where it has ended by itself.
    pub fn of(why: ConnectionError) -> Option<Self> {
        match why {
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

    /// The cause where the other end says this.
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
    pub fn new(fleet: u32, (from, life): (MemberId, u64), to: MemberId) -> Self {
        Self { format: FORMAT, fleet, from, start_ms: life, to }
    }
}

impl Control {
    pub fn write(&self) -> Vec<u8> {
        postcard::to_extend(self, Vec::new()).unwrap_or_default()
    }

    /// Reads one.
    ///
    /// # Errors
    /// Where it is none, or of another format.
    pub fn read(bytes: &[u8]) -> Result<Self, ConnectionError> {
        // A handshake's place of the format is the same in all formats.
        if let [0, format, ..] = bytes
            && *format != FORMAT
        {
            return Err(ConnectionError::Format { theirs: *format, ours: FORMAT });
        }
        match postcard::take_from_bytes(bytes) {
            Ok((control, [])) => Ok(control),
            _ => Err(ConnectionError::Control),
        }
    }
}
