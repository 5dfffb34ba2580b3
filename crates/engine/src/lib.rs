//! Manages the calls in flight around one [`basaltward::Controller`]: the identity of events, repeated events,
//! the clients that wait for an answer with their deadlines, and the attempts made for each call. The
//! controller decides where and when a call runs; the engine passes events to it and turns its actions into
//! [`Output`]s.
//!
//! Free of I/O, clocks and threads: the caller passes inputs and the current time in and gets outputs and the
//! time of the next wake-up back. The same engine runs over sockets, in tests and in virtual time.
#![warn(missing_docs)]

mod arrivals;
mod engine;
mod handoff;
mod in_flight;
mod margin;
mod pace;
mod repeats;
mod settings;
mod types;

pub use engine::Engine;
pub use handoff::{Claim, Handoffs, SeenEvents, UntakenAnswer};
pub use margin::{Margin, MarginSettings};
pub use pace::{Lag, LoopPacer, TurnReport};
pub use repeats::{CallEnd, Identity, RepeatLimits, Repeats, Verdict};
pub use settings::{EngineSettings, Function};
pub use types::*;
