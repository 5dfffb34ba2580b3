//! Client of the bulletin, a stream of numbered events with the changes to the list of workers. [`Follower`] is a
//! state machine without I/O or clock: the caller passes it the received lines and the time, and it returns the
//! connections to open, write to and close, and the rosters to apply.
//!
//! Fault handling: an event that was received already is ignored. A number that skips events, a line that can't be
//! parsed, the end of the connection, and silence for longer than [`FollowerLimits::silence_timeout`] (the bulletin
//! sends a line every second) each end the connection. The follower then requests the events after the last one
//! received on a new connection, and the current list stays in use meanwhile.
#![warn(missing_docs)]

mod event;
mod follower;
mod freshness;

pub use event::{BulletinError, InitialEvents, Roster, RosterEvent, Target, TargetState};
pub use follower::{FeedId, Follower, FollowerLimits, Step};
pub use freshness::{
    DELIVERED_AFTER_BREAK_US, DELIVERED_AFTER_SILENCE_US, Freshness, Interruption, LINE_OVERDUE_US,
};
