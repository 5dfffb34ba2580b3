//! The calls in hand around one [`basaltward::Controller`]: identity of events, their repeats, who waits for
//! which answer until when, and the attempts that carry a call. It drives the controller, which decides
//! where and when a call runs, and carries its actions out as [`Output`]s.
//!
//! No I/O, no clock, no threads: inputs and a time in, outputs and a next time out. The same engine runs over
//! sockets, in tests and in virtual time.
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
pub use margin::{Margin, MarginSettings};

pub use handoff::{Claim, Handoffs, SeenEvents, UntakenAnswer};
pub use pace::{Lag, LoopPacer, TurnReport};
pub use repeats::{CallEnd, Identity, RepeatLimits, Repeats, Verdict};
pub use settings::{EngineSettings, Function};
pub use types::*;
