//! The bulletin: numbered events with the changes to the list of workers. [`Follower`] takes lines and the
//! time and says what to connect, write and close, and which rosters hold; it does no I/O and reads no clock.
//!
//! What a bulletin may do wrong, and what it gets: an event told twice changes nothing; a number that skips
//! events, a line that can't be read, an end, and silence for longer than its second allows each mean that the
//! connection is of no more use, and the events after the last one held are asked for on a new one. The list
//! that is held stands meanwhile.
#![warn(missing_docs)]

mod event;
mod follower;
mod freshness;

pub use event::{BulletinError, InitialEvents, Roster, RosterEvent, Target, WorkerState};
pub use follower::{FeedId, Follower, FollowerLimits, Step};
pub use freshness::{
    DELIVERED_AFTER_BREAK_US, DELIVERED_AFTER_SILENCE_US, Freshness, Interruption, LINE_OVERDUE_US,
};
