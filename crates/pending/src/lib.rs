//! Kept calls: what was accepted, is about to be sent and has ended is held by gateways of other sites, and done by
//! them where a site is lost. Free of I/O: inputs and times in, outputs and a next time out.
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
