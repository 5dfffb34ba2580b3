use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// Why the input from a bulletin is invalid.
#[derive(Debug, Error)]
pub enum BulletinError {
    /// The line is neither a number nor an event.
    #[error("line can't be parsed: {0}")]
    Line(#[from] serde_json::Error),
    /// The line is longer than [`FollowerLimits::max_line`](crate::FollowerLimits::max_line).
    #[error("line exceeds the length limit")]
    LineTooLong,
    /// The received number shows that events after the last one applied are missing.
    #[error("events are missing: received number {received} after event {last}")]
    Gap {
        /// Number of the last event applied.
        last: u64,
        /// Number in the received line.
        received: u64,
    },
}

/// State of a worker in the bulletin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum TargetState {
    /// Accepts work.
    Ready,
    /// Finishes its work and accepts nothing new.
    Terminating,
    /// Removed from the list.
    Gone,
}

/// One entry of the list of workers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Target {
    /// Unique name. A new worker has a new name, also where it reuses an address.
    pub uid: String,
    /// Address that the worker listens on.
    pub endpoint: SocketAddr,
    /// Name of the zone; empty if not reported.
    #[serde(default)]
    pub az: String,
    /// Name of the worker's kind; empty if not reported.
    #[serde(default)]
    pub model: String,
    /// Number of the cell.
    #[serde(default)]
    pub pod_group: u64,
    /// State.
    pub state: TargetState,
    /// Relative size, comparable between workers.
    #[serde(default = "one")]
    pub capacity_hint: f64,
    /// Start time in Unix milliseconds, reported only for workers that started later than the others; 0 counts as long
    /// ago.
    #[serde(default)]
    pub boot_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// The whole list of workers, or the changes to it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Roster {
    /// Whether this is the whole list.
    #[serde(default)]
    pub all: bool,
    /// The listed or changed entries.
    pub targets: Vec<Target>,
}

/// A line of the bulletin: an event, or only the number of the latest event.
#[derive(Debug, Deserialize)]
pub(crate) struct Line {
    pub no: u64,
    pub roster: Option<Roster>,
}

/// A numbered event of the bulletin.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct RosterEvent {
    /// Number, counted from 1.
    pub no: u64,
    /// The list or its changes.
    pub roster: Roster,
}

/// The events in the configuration with which a scheduler starts.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct InitialEvents {
    /// Number of the last event.
    pub no: u64,
    /// The events.
    pub items: Vec<RosterEvent>,
}
