//! Parameters of a cluster of sites: gateways and workers of each site, links between sites, and load of the clients.

use crate::DatagramFaults;
use crate::link::ConnectionMode;
use crate::shaping::Shaping;
use basaltward_net::Micros;
use std::collections::BTreeMap;
use std::ops::Range;
use std::path::PathBuf;

/// Classes with their name and repeat rule.
pub(crate) const CLASSES: [(&str, &str); 3] = [("view", "safe"), ("note", "keyed"), ("extract", "unsafe")];
/// Minimum and maximum one-way delay within a site.
const WITHIN_SITE_US: (Micros, Micros) = (50, 300);
/// Memory of one copy, in MB.
pub(crate) const COPY_MB: u64 = 400;
/// Calls that one copy runs concurrently.
pub(crate) const LANES: u32 = 4;

/// One site.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSpec {
    /// Name of the site.
    pub name: String,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of workers.
    pub workers: usize,
    /// Calls that one worker runs concurrently.
    pub cores: u32,
    /// Memory of one worker, in MB.
    pub memory_mb: u64,
}

/// The directed link from one site to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SiteLink {
    /// Minimum and maximum delay of bytes and datagrams, in microseconds.
    pub delay_range: (Micros, Micros),
    /// Share of datagrams that are lost; lost chunks of connections are retransmitted.
    pub loss_rate: f64,
    /// Share of datagrams that are duplicated.
    pub duplicate_rate: f64,
    /// Rate limit in bytes per second of each link between two gateways; `None` for no limit.
    pub bytes_per_s: Option<u64>,
    /// Nothing is forwarded, but connections stay open.
    pub blackhole: bool,
    /// Connections are reset and refused, and datagrams are lost.
    pub broken: bool,
}

impl SiteLink {
    /// The link within a site.
    pub(crate) fn within() -> Self {
        Self { delay_range: WITHIN_SITE_US, ..Self::default() }
    }

    pub(crate) fn shaping(&self) -> Shaping {
        Shaping {
            delay_range: self.delay_range,
            loss_rate: self.loss_rate,
            bytes_per_s: self.bytes_per_s,
            blackhole: self.blackhole,
        }
    }

    pub(crate) fn datagram_faults(&self) -> DatagramFaults {
        let loss_rate = if self.blackhole || self.broken { 1.0 } else { self.loss_rate };
        DatagramFaults { loss_rate, duplicate_rate: self.duplicate_rate, delay_range: self.delay_range }
    }

    pub(crate) fn connection_mode(&self) -> ConnectionMode {
        if self.broken { ConnectionMode::Refuse } else { ConnectionMode::Pass }
    }
}

/// Load of the clients of one site.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSpec {
    /// Index of the site whose gateways the clients call.
    pub site: usize,
    /// The class of all calls; `None` to draw the class of each call.
    pub class: Option<usize>,
    /// Numbers of the called functions of each class.
    pub functions: Range<usize>,
    /// Calls per second.
    pub calls_per_s: f64,
    /// Time span in which clients send calls, in microseconds of the run.
    pub span: Range<Micros>,
    /// Total time that a client waits, retries included, in microseconds.
    pub patience: Micros,
    /// Share of keyed and unsafe events that are also sent to another gateway of any site while the first is in flight.
    pub duplicate_share: f64,
    /// Maximum retries of a client that was not served.
    pub retries: u32,
    /// Clients retry at the time that a refusal states, instead of after a fixed short delay.
    pub honour_retry_after: bool,
    /// Clients also retry keyed and unsafe events whose answer states that they may have run.
    pub retry_uncertain: bool,
    /// Tenant of the calls; empty for none.
    pub tenant: String,
}

/// Parameters of a cluster of sites.
#[derive(Clone, Debug)]
pub struct SitesSpec {
    /// The program that the processes run.
    pub program: PathBuf,
    /// The sites: at most 8, with at most 40 gateways in total.
    pub sites: Vec<SiteSpec>,
    /// Number of functions of each class.
    pub functions: usize,
    /// Execution time of a call in milliseconds.
    pub work_ms: u64,
    /// Load time of a copy in milliseconds.
    pub load_ms: u64,
    /// Number of peers that hold each keyed and unsafe event; with 0 these events are not journaled.
    pub holders: usize,
    /// Gateways have no configured peers.
    pub standalone: bool,
    /// Tenants with their quotas in calls per second.
    pub tenants: Vec<(String, f64)>,
    /// Links by source and target site; a missing pair has the link within a site.
    pub links: BTreeMap<(usize, usize), SiteLink>,
    /// Loads of the clients.
    pub loads: Vec<LoadSpec>,
    /// Environment variables of gateways: the gateway's number, name and value.
    pub env: Vec<(usize, String, String)>,
    /// Seed of every random choice.
    pub seed: u64,
}

impl SitesSpec {
    /// The site of each gateway, by number.
    pub fn gateways(&self) -> Vec<usize> {
        let of = |(site, spec): (usize, &SiteSpec)| std::iter::repeat_n(site, spec.gateways);
        self.sites.iter().enumerate().flat_map(of).collect()
    }

    /// The site of each worker, by number.
    pub fn workers(&self) -> Vec<usize> {
        let of = |(site, spec): (usize, &SiteSpec)| std::iter::repeat_n(site, spec.workers);
        self.sites.iter().enumerate().flat_map(of).collect()
    }

    /// The link from one site to another.
    pub fn link(&self, from: usize, to: usize) -> SiteLink {
        self.links.get(&(from, to)).copied().unwrap_or_else(SiteLink::within)
    }
}
