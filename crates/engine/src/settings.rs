use crate::{MarginSettings, RepeatLimits};
use basaltward::{FunctionId, Micros, Settings};

/// A function that may be called.
#[derive(Clone, Debug, PartialEq)]
pub struct Function {
    /// Its name.
    pub name: FunctionId,
    /// Its class, a position in the module's settings.
    pub class: usize,
    /// Memory of one copy, MB.
    pub memory_mb: f64,
    /// Calls that one copy runs at once.
    pub lanes: u32,
    /// How long a load usually takes, where known.
    pub load_time: Option<Micros>,
}

/// What an engine is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// For the controller.
    pub controller: Settings,
    /// Most calls in hand; further ones are refused.
    pub max_in_flight: usize,
    /// Most connections that wait for one call; further repeats are refused.
    pub max_waiters: usize,
    /// How long a call goes on after its last client left, so that a repeat finds it; 0 where clients repeat
    /// under new names.
    pub linger: Micros,
    /// Bounds on remembered repeats.
    pub repeats: RepeatLimits,
    /// How much earlier than the client's deadline an answer is due.
    pub margin: MarginSettings,
}
