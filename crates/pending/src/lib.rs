//! Replicated write-ahead journals of accepted events.
//!
//! Each gateway appends to its journal that an event was accepted, is about to be sent and has ended, and replicates
//! these entries to gateways of other sites (holders). When a gateway or a site is lost, other gateways take over its
//! pending events. The crate does no I/O: it takes inputs and the current time, and returns outputs and the time of
//! the next wake-up.
#![warn(missing_docs)]

mod claims;
mod entry;
mod error;
mod holder;
mod holder_progress;
mod holder_selection;
mod inspect;
mod interface;
mod journal;
mod lease;
mod owner;
mod pending_events;
mod recovery;
mod resolution;
mod simulation;
mod takeover;
mod takeover_messages;
mod types;
mod wire;

pub use error::{JournalFault, ReplicationError, WireError};
#[doc(hidden)]
pub use holder::HolderFault;
pub use inspect::{FrameFact, inspect_frame};
pub use interface::{Input, Output, PendingSettings};
pub use journal::JournalCounts;
pub use lease::{HolderPromises, Lease, LeaseRefusal, LeaseTerms};
pub use owner::{owner, taken_over};
pub use pending_events::PendingEvents;
pub use recovery::Recovery;
#[doc(hidden)]
pub use recovery::RecoveryFault;
pub use resolution::{FirstSend, RecoveryCase, Resolution, resolve};
pub use simulation::{FrameDamage, SimulatedGateway, SimulatedOutput, SimulatedSites};
#[doc(hidden)]
pub use takeover::TakeoverFault;
pub use takeover::{Rejoin, RejoinAction, TakeoverAction, TakeoverMonitor};
pub use takeover_messages::{
    ClaimDecision, ClaimReply, EventStatus, JournalLoss, JournalSnapshot, LossReason, RecoveryCounts,
    RecoveryOutput, RecoverySettings, TakeoverMessage,
};
pub use types::{Accepted, Entry, Key, Outcome, RepeatSafety, Source, Step, WallMs};
