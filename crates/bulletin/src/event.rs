use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a line is not one of the bulletin's.
#[derive(Debug, Error)]
pub enum BulletinError {
    /// It is neither a number nor an event.
    #[error("line can't be read: {0}")]
    Line(#[from] serde_json::Error),
    /// It has no end within the bound.
    #[error("a line without end")]
    LineTooLong,
    /// Events between the last one held and this number are missing.
    #[error("event {received} after {last}")]
    Gap {
        /// The last event held.
        last: u64,
        /// The number told.
        received: u64,
    },
}

/// A worker's state as the bulletin tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum WorkerState {
    /// Takes work.
    Ready,
    /// Finishes its work and takes nothing new.
    Terminating,
    /// Removed.
    Gone,
}

/// One entry of the list of workers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Target {
    /// Its name. A new worker has a new one, wherever it stands.
    pub uid: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Its kind.
    #[serde(default)]
    pub model: String,
    /// Its cell.
    #[serde(default)]
    pub pod_group: u64,
    /// Its state.
    pub state: WorkerState,
    /// Its size, comparable between workers.
    #[serde(default = "one")]
    pub capacity_hint: f64,
    /// When it started late, in Unix milliseconds, or 0.
    #[serde(default)]
    pub boot_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// The list, or what has changed in it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Roster {
    /// Whether this is the whole list.
    #[serde(default)]
    pub all: bool,
    /// The entries.
    pub targets: Vec<Target>,
}

/// A line of the bulletin: an event, or the last number alone.
#[derive(Debug, Deserialize)]
pub(crate) struct Line {
    pub no: u64,
    pub roster: Option<Roster>,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct RosterEvent {
    /// Its number, from 1.
    pub no: u64,
    /// What it tells.
    pub roster: Roster,
}

/// The events that a scheduler is given at its start.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct InitialEvents {
    /// Number of the last one.
    pub no: u64,
    /// The events.
    pub items: Vec<RosterEvent>,
}
