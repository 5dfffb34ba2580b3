use crate::{MarginSettings, RepeatLimits};
use basaltward::{FunctionId, Micros, Settings};

/// A function that can be called.
#[derive(Clone, Debug, PartialEq)]
pub struct Function {
    /// Its name.
    pub name: FunctionId,
    /// Its class, as an index into the controller's settings.
    pub class: usize,
    /// Memory of one copy, in MB.
    pub memory_mb: f64,
    /// Number of calls that one copy runs concurrently.
    pub lanes: u32,
    /// Typical time to load a copy, if known.
    pub load_time: Option<Micros>,
}

/// Settings of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// Settings of the controller.
    pub controller: Settings,
    /// Maximum number of calls in flight; further ones are refused.
    pub max_in_flight: usize,
    /// Maximum number of clients that wait for one call. A further repeat is refused if its class is safe, and
    /// failed otherwise.
    pub max_waiters: usize,
    /// How long a call goes on after its last client has left, so that a repeat can join it; 0 where clients
    /// repeat with new event ids.
    pub linger: Micros,
    /// Limits of the records for repeated events.
    pub repeats: RepeatLimits,
    /// How much earlier than the client's deadline an answer is due.
    pub margin: MarginSettings,
}
