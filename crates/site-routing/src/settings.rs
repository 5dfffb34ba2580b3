//! Settings and errors.

use basaltward_membership::{Micros, SiteMap};

/// Configuration of a function, the same at all sites.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FunctionSpec {
    /// Memory of a copy, in MB; above 0.
    pub memory_mb: u32,
    /// Calls that a copy serves concurrently; at least 1.
    pub lanes: u32,
    /// Time to load a copy, where configured; otherwise estimated from the aim.
    pub load_time: Option<Micros>,
    /// Time within which an answer has its full value.
    pub aim: Micros,
    /// Time after which an answer has no value; at least the aim.
    pub deadline: Micros,
}

/// Settings of site routing at one gateway.
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// The site of each gateway.
    pub site_map: SiteMap,
    /// All functions, by position.
    pub functions: Vec<FunctionSpec>,
    /// Memory of one worker, in MB; above 0.
    pub worker_mb: u32,
    /// Upper bound on the number of workers taken from the report of a site.
    pub max_site_workers: u32,
    /// Time for which an idle copy stays loaded.
    pub keep_alive: Micros,
    /// Traffic loops of a gateway.
    pub loops: u16,
    /// Interval of reports and tables; at least 10 ms.
    pub interval: Micros,
    /// Time for which tables and reports are valid; at least two intervals.
    pub valid_for: Micros,
    /// Minimum time for which a function stays at the home it moved to, and for which it does not move to a site that
    /// has its own calls of the function served here.
    pub home_dwell: Micros,
    /// Seed of all random choices.
    pub seed: u64,
}

impl RoutingSettings {
    /// Settings with default values for everything else.
    pub fn new(site_map: SiteMap, functions: Vec<FunctionSpec>, worker_mb: u32, seed: u64) -> Self {
        Self {
            site_map,
            functions,
            worker_mb,
            max_site_workers: 1_000,
            keep_alive: 10_000_000,
            loops: 1,
            interval: 250_000,
            valid_for: 2_000_000,
            home_dwell: 5_000_000,
            seed,
        }
    }

    pub(crate) fn check(&self) -> Result<(), RoutingError> {
        let sites = self.site_map.sites();
        if sites.len() > usize::from(MAX_SITES) {
            return Err(RoutingError::TooManySites(sites.len()));
        }
        if self.functions.len() > MAX_FUNCTIONS {
            return Err(RoutingError::TooManyFunctions(self.functions.len()));
        }
        let invalid = |f: &FunctionSpec| f.memory_mb == 0 || f.lanes == 0 || f.deadline < f.aim;
        if let Some(position) = self.functions.iter().position(invalid) {
            return Err(RoutingError::InvalidFunction(position));
        }
        let valid_times =
            self.interval >= 10_000 && self.valid_for >= 2 * self.interval && self.keep_alive > 0;
        if !valid_times || self.worker_mb == 0 || self.loops == 0 || self.max_site_workers == 0 {
            return Err(RoutingError::InvalidSettings);
        }
        Ok(())
    }
}

/// Maximum number of sites between which calls are handed over.
pub(crate) const MAX_SITES: u8 = 64;
/// Maximum length of a frame, in bytes.
pub(crate) const MAX_FRAME_BYTES: usize = 65_536;
/// Maximum number of functions; frames name a function by its position in the list.
const MAX_FUNCTIONS: usize = 100_000;

/// Invalid settings, or a received frame that was rejected. A rejected frame changes no state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::VariantNames)]
pub enum RoutingError {
    /// More sites than allowed.
    #[error("{0} sites are configured, the maximum is 64: split the fleet")]
    #[strum(serialize = "Sites")]
    TooManySites(usize),
    /// More functions than allowed.
    #[error("{0} functions are configured, the maximum is 100,000: split them over several fleets")]
    #[strum(serialize = "Functions")]
    TooManyFunctions(usize),
    /// A function without memory or lanes, or with a deadline before its aim; the value is its position.
    #[error("function {0}: memory and lanes must be positive and the deadline not before the aim")]
    #[strum(serialize = "Function")]
    InvalidFunction(usize),
    /// Times or counts that are out of range or inconsistent.
    #[error(
        "the interval must be at least 10 ms and the validity at least two intervals; worker memory, workers, \
             loops and the keep-alive time must be positive: correct the settings"
    )]
    #[strum(serialize = "Spans")]
    InvalidSettings,
    /// A frame that can't be decoded.
    #[error("gateway {0} sent a frame that can't be decoded: run the same release at all gateways")]
    Unreadable(u16),
    /// A frame that exceeds the size limit.
    #[error(
        "gateway {from} sent a frame of {bytes} bytes, the maximum is 65,536: check what runs at its address"
    )]
    TooLong {
        /// Sender.
        from: u16,
        /// Size of the frame in bytes.
        bytes: usize,
    },
    /// A frame of a kind that may not come from the sender's site: site reports come from other sites, the other kinds
    /// from the own site.
    #[error(
        "gateway {0} reported for a site other than its own: configure the same list of sites at all gateways"
    )]
    #[strum(serialize = "NotItsSite")]
    WrongSite(u16),
    /// A frame from a gateway that is not configured.
    #[error("gateway {0} is not in the list of sites: configure the same list at all gateways")]
    #[strum(serialize = "Stranger")]
    UnknownGateway(u16),
}
