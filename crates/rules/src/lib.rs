//! Records of what crossed the sockets, and the checker that holds them to the five rules. It knows the
//! rules and the records, and nothing of the engine.
#![warn(missing_docs)]

mod answers;
mod check;
mod effects;
mod record;
mod recorder;
mod service;
mod workers;

pub use answers::{LateAnswers, late_answers};
pub use check::{Breach, ClassRule, RepeatRule, RuleSettings, check};
pub use record::{FinalAnswer, Micros, Observation, Record};
pub use recorder::{Recorder, read_records};
pub use service::{Service, service};
