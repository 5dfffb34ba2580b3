//! Sites of gateways with workers of their own, the links between them, and what clients ask where.

use crate::DatagramFaults;
use crate::link::ConnectionMode;
use crate::shaping::Shaping;
use basaltward_net::Micros;
use std::collections::BTreeMap;
use std::ops::Range;
use std::path::PathBuf;

/// Classes: name, how an event of it may be repeated.
pub(crate) const CLASSES: [(&str, &str); 3] = [("view", "safe"), ("note", "keyed"), ("extract", "unsafe")];
/// How late anything is within a site.
const WITHIN_US: (Micros, Micros) = (50, 300);
/// Memory of one copy, and calls that it runs at once.
pub(crate) const COPY_MB: u64 = 400;
pub(crate) const LANES: u32 = 4;

/// One site.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSpec {
    /// Its name.
    pub name: String,
    /// Gateways.
    pub gateways: usize,
    /// Workers.
    pub workers: usize,
    /// Calls that one worker runs at once.
    pub cores: u32,
    /// Memory of one worker, MB.
    pub memory_mb: u64,
}

/// A link from one site to another, in this direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SiteLink {
    /// How late all is, at least and at most.
    pub delay_range: (Micros, Micros),
    /// Share of datagrams that are lost; what is lost of a connection is sent again.
    pub loss_rate: f64,
    /// Share of datagrams that come twice.
    pub duplicate_rate: f64,
    /// Bytes a second of each way between two gateways.
    pub bytes_per_s: Option<u64>,
    /// Nothing is carried, and connections stay open.
    pub blackhole: bool,
    /// Connections break and are refused, datagrams are lost.
    pub broken: bool,
}

impl SiteLink {
    /// Within a site.
    pub(crate) fn within() -> Self {
        Self { delay_range: WITHIN_US, ..Self::default() }
    }

    pub(crate) fn shaping(&self) -> Shaping {
        Shaping {
            delay_range: self.delay_range,
            loss_rate: self.loss_rate,
            bytes_per_s: self.bytes_per_s,
            blackhole: self.blackhole,
        }
    }

    pub(crate) fn loss(&self) -> DatagramFaults {
        let lost = if self.blackhole || self.broken { 1.0 } else { self.loss_rate };
        DatagramFaults { loss_rate: lost, duplicate_rate: self.duplicate_rate, delay_range: self.delay_range }
    }

    pub(crate) fn stream(&self) -> ConnectionMode {
        if self.broken { ConnectionMode::Refuse } else { ConnectionMode::Pass }
    }
}

/// What clients of a site ask.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSpec {
    /// At whose gateways, by position.
    pub site: usize,
    /// A class alone, or all of them in turn.
    pub class: Option<usize>,
    /// Functions of each class, by number.
    pub functions: Range<usize>,
    /// Calls a second.
    pub rate: f64,
    /// From when until when.
    pub span: Range<Micros>,
    /// How long a client waits in all.
    pub patience: Micros,
    /// Share of the keyed and unsafe events that are sent to a further gateway of any site as well, at once.
    pub duplicate_share: f64,
    /// Further tries of a client that was not served.
    pub retries: u32,
    /// A client comes again when a refusal says, not at once.
    pub honour_retry_after: bool,
    /// A client repeats keyed and unsafe events too whose answer says that they may have run.
    pub retry_uncertain: bool,
    /// Its tenant; empty without.
    pub tenant: String,
}

/// A bed of sites.
#[derive(Clone, Debug)]
pub struct SitesSpec {
    /// The program.
    pub program: PathBuf,
    /// The sites, at most 8 with 40 gateways in all.
    pub sites: Vec<SiteSpec>,
    /// Functions of each class.
    pub functions: usize,
    /// How long a call runs, in milliseconds.
    pub work_ms: u64,
    /// How long a copy takes to load, in milliseconds.
    pub load_ms: u64,
    /// Neighbours that hold each keyed and unsafe event; with none they are not kept.
    pub holders: usize,
    /// Gateways are told nothing of one another.
    pub standalone: bool,
    /// Tenants with their quotas, a second.
    pub tenants: Vec<(String, f64)>,
    /// Links by site and site; a pair that is not named is joined as within a site.
    pub links: BTreeMap<(usize, usize), SiteLink>,
    /// What clients ask.
    pub loads: Vec<LoadSpec>,
    /// Variables for gateways by number.
    pub env: Vec<(usize, String, String)>,
    /// Every random choice follows from it.
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
