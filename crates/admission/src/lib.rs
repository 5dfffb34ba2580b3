//! What the fleet sheds, decided alike by all of its gateways: each tells coarsely what comes and what is served, by
//! class and tenant; from what all tell each works out the same shares. A loop asks at its door, by a whole table that
//! the control thread last made. Free of I/O: counts, facts and times in, facts and tables out.
#![warn(missing_docs)]

mod capacity;
mod controller;
mod limiter;
mod peer_load;
mod retry_budget;
mod scheduled_retries;
mod settings;
mod simulation;
mod table;
mod types;
mod wait_estimator;
mod water_filling;
mod wire;

#[doc(hidden)]
pub use controller::Fault;
pub use controller::Shed;
pub use limiter::Door;
#[doc(hidden)]
pub use limiter::DoorFault;
pub use settings::{ClassOf, ShedError, ShedSettings};
#[doc(hidden)]
pub use simulation::{Act, Bed, Second, Stream, World};
pub use table::{Share, Table};
pub use types::{Asked, Count, Counts, Ended, Verdict};
pub use wait_estimator::Waits;
