//! SWIM-style group membership: which members of a fleet are up, suspected, gone, leaving or stopped, and when each
//! was last in contact. Members exchange datagrams of at most 256 bytes, which may be delayed, duplicated or lost. The
//! protocol does no I/O: it takes datagrams and the time, and returns datagrams to send, state changes and the time of
//! the next wake-up.
//!
//! Membership is a local, eventually consistent view. It makes no decisions, and no safety property depends on its
//! accuracy.
//!
//! Modules depend only on modules listed above them:
//!
//! | module | contents |
//! | --- | --- |
//! | `types`, `limits`, `settings`, `sites`, `fact_keys` | basic types, bounds and settings |
//! | `facts`, `budget`, `failure_detector`, `wire`, `output` | gossiped facts by owner and key; send budget; failure detector state; datagram format; outputs |
//! | `updates` | queue of updates to gossip |
//! | `members` | [`Membership`]: the state of all members, applying updates and sending messages |
//! | `sync` | anti-entropy by digests |
//! | `probe`, `receive` | periodic work; received datagrams |
//! | `status` | status requests of operators and their responses |
//! | `virtual_network`, `virtual_cluster` | simulation in virtual time |
#![warn(missing_docs)]

mod budget;
mod fact_keys;
mod facts;
mod failure_detector;
mod limits;
mod members;
mod output;
mod probe;
mod receive;
mod settings;
mod sites;
mod status;
mod sync;
mod types;
mod updates;
mod virtual_cluster;
mod virtual_network;
mod wire;

pub use fact_keys::{CALLS_KEY, DRAINS_KEY, PENDING_KEYS, ROUTE_KEYS, SHED_KEYS, VERSION_KEY};
pub use facts::{FACT_KEYS, MAX_FACT_BYTES, MAX_FACT_LIFETIME_US, decode_counters, encode_counters};
pub use members::Membership;
#[doc(hidden)]
pub use members::OverrideRule;
pub use output::{FleetShare, MembershipCounters, Output};
pub use settings::{MembershipSettings, SettingsError};
pub use sites::{Site, SiteMap};
pub use status::{MemberStatus, STATUS_PAGE_MEMBERS, StatusRequest, StatusResponse};
pub use types::{Incarnation, Member, MemberId, MemberState, Micros};
pub use virtual_cluster::VirtualCluster;
pub use virtual_network::{DelayFn, LinkFaults, VirtualNetwork, VirtualNode};
pub use wire::{MAX_DATAGRAM_BYTES, WireError, decode_datagram, encode_datagram};
