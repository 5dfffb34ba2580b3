//! Records of what crossed the sockets, and the checker that holds them to the five rules. It knows the
//! rules and the records, and nothing of the engine.
#![warn(missing_docs)]

mod check;
mod record;
mod recorder;
mod service;

pub use check::{Breach, ClassRule, RepeatRule, RuleSettings, check};
pub use record::{Final, Micros, Record, What};
pub use recorder::{Recorder, read};
pub use service::{Service, service};
