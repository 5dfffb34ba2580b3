//! Records of the observations of clients, schedulers and workers at their sockets, and a checker of the five rules of
//! the service. The checker uses only the records and the rules, and does not depend on the engine.
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
