//! Fault-injection harness: runs a cluster of many processes of the program on loopback, with stand-ins for the
//! bulletin, workers and clients, injects network and process faults by a script, and checks the recorded history.
//!
//! Every party reaches every other party through a relay address of that pair, so that faults can be set on each pair
//! and direction separately. A cluster stops every process that it started, by pid, also when a test panics.
#![warn(missing_docs)]

mod capture;
mod checker;
mod clients;
mod cluster;
mod hollow;
mod journal_checker;
mod link;
mod network;
mod process;
mod relay;
mod relay_loop;
mod script;
mod shaping;
mod site_checker;
mod site_cluster;
mod site_config;
mod site_script;
mod site_spec;
mod site_workload;
mod timeline;
mod workspace;

/// Loss, duplication and delay of a link's datagrams in one direction; the simulation in virtual time uses the same
/// type.
pub use basaltward_membership::LinkFaults as DatagramFaults;
pub use capture::{CaptureProtocol, CapturedTraffic, ForwardedCall, JournalMessage};
pub use checker::{FleetViolation, Verdict, check_cluster};
pub use cluster::{Cluster, ClusterSpec, HarnessError};
pub use hollow::{
    CSV_HEADER, Delays, HollowAction, HollowError, HollowReport, HollowScript, HollowSpec, HollowStep,
    LoopCounters, MachineLimits, NetworkConditions, Partition, ResourceEstimate, Row, Topology, Value,
    Window, csv_rows, run_hollow, socket_drops, total_drops,
};
pub use link::{ConnectionMode, Link, Party};
pub use network::Network;
pub use process::{Launch, Process, ProcessError, StateChange};
pub use relay::{LinkCounts, Relay, RelayBuilder};
pub use script::{FleetAction, FleetScript, FleetStep, LoadedScript, load_script, run_fleet};
pub use shaping::Shaping;
pub use site_checker::{SiteCalls, SitesVerdict, check_sites};
pub use site_cluster::{ProcessSelector, SiteCluster};
pub use site_script::{SiteAction, SiteStep, SitesScript, run_sites};
pub use site_spec::{LoadSpec, SiteLink, SiteSpec, SitesSpec};
pub use timeline::{TimelineLane, timeline_lanes, timeline_svg};
