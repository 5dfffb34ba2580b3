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
pub use basaltward_membership::LinkFaults as Loss;
pub use capture::{Captured, Handed, Noted, Reads};
pub use checker::{Fleet, Verdict, judge};
pub use cluster::{Bed, BedSpec, TrialError};
pub use hollow::{
    CSV_HEADER, Conditions, Cut, Delays, HollowAct, HollowError, HollowReport, HollowScript, HollowSpec,
    HollowStep, Load, Machine, Needs, Row, Topology, Value, Window, dropped, drops_at, rows, run_hollow,
};
pub use link::{Party, Stream, Way};
pub use network::Ways;
pub use process::{Change, Launch, Process, ProcessError};
pub use relay::{Counts, Laying, Relay};
pub use script::{Act, Script, Step, Told, load, run};
pub use shaping::Shaping;
pub use site_checker::{SiteCalls, SitesVerdict, judge_sites};
pub use site_cluster::{SiteBed, Who};
pub use site_script::{SiteAct, SiteStep, SitesScript, run_sites};
pub use site_spec::{LoadSpec, SiteLink, SiteSpec, SitesSpec};
pub use timeline::{Lane, lanes, picture};
