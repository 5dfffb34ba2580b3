//! What the fleet sheds, decided alike by all of its gateways: each tells coarsely what comes and what is served, by
//! class and tenant; from what all tell each works out the same shares. A loop asks at its door, by a whole table that
//! the control thread last made. Free of I/O: counts, facts and times in, facts and tables out.
#![warn(missing_docs)]

mod capacity;
mod door;
mod fill;
mod heard;
mod retries;
mod seen;
mod settings;
mod shed;
mod table;
mod types;
mod waits;
mod wire;
mod world;

pub use door::Door;
#[doc(hidden)]
pub use door::DoorFault;
pub use settings::{ClassOf, ShedError, ShedSettings};
#[doc(hidden)]
pub use shed::Fault;
pub use shed::Shed;
pub use table::{Share, Table};
pub use types::{Asked, Count, Counts, Ended, Verdict};
pub use waits::Waits;
#[doc(hidden)]
pub use world::{Act, Bed, Second, Stream, World};
