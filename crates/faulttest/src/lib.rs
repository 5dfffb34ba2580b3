//! A bed of many processes of the program on loopback: schedulers as their platform starts them, a stand-in
//! bulletin, workers and clients, and between all of them relays that put faults on told ways at told times.
//!
//! Every party reaches every other at an address set aside for it, so that each pair and direction can be
//! treated apart. Whatever a bed started it ends, by pid, also when its owner fails.
#![warn(missing_docs)]

mod capture;
mod checker;
mod clients;
mod cluster;
mod hollow;
mod kept_checker;
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

/// What becomes of the datagrams of a way, in one direction: the same as in virtual time.
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
pub use script::{Action, LoadedScript, Script, Step, load, run};
pub use shaping::Shaping;
pub use site_checker::{SiteCalls, SitesVerdict, check_sites};
pub use site_cluster::{ProcessSelector, SiteCluster};
pub use site_script::{SiteAction, SiteStep, SitesScript, run_sites};
pub use site_spec::{LoadSpec, SiteLink, SiteSpec, SitesSpec};
pub use timeline::{TimelineLane, timeline_lanes, timeline_svg};
