//! The membership member a fleet, kept by its members_at: who state up, suspicions, declared_gone, leaving or stopped, by what each previous
//! heard to say and how old that is. It travels in datagrams of at most 256 bytes that may be late, doubled or
//! lost. Free of I/O: datagrams and times in, datagrams, changes and the next time out.
//!
//! A membership says what is believed; it decides nothing, and safety never rests on its being right.
//!
//! Modules use only what stands above them:
//!
//! | module | holds |
//! | --- | --- |
//! | `types`, `limits`, `settings`, `sites`, `fact_keys` | plain types, bounds and figures |
//! | `facts`, `budget`, `suspicion`, `wire`, `output` | facts by owner and key; bytes a second; the failure detector's state; the datagrams; what is put out |
//! | `updates` | the queue of updates that are passed on |
//! | `members` | [`Membership`]: what is believed of all, how an update is applied and a message sent |
//! | `sync` | comparison by digests |
//! | `probe`, `receive` | what is due by itself; what comes |
//! | `status` | what an operator asks a member, and the answer |
//! | `virtual_network`, `virtual_cluster` | members in virtual time |
#![warn(missing_docs)]

mod budget;
mod fact_keys;
mod facts;
mod limits;
mod members;
mod output;
mod probe;
mod receive;
mod settings;
mod sites;
mod status;
mod suspicion;
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
