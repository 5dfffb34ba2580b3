use basaltward_membership::{Micros, SiteMap};

/// What is told of a function, the same at all sites.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FunctionSpec {
    /// Memory of a copy.
    pub memory_mb: u32,
    /// Calls that a copy takes at once.
    pub lanes: u32,
    /// Time to load a copy, where it is told.
    pub load_time: Option<Micros>,
    /// Time within which an answer is of full worth.
    pub aim: Micros,
    /// Time after which it is of none.
    pub deadline: Micros,
}

/// What a gateway is told of sites and functions.
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// Which gateway stands at which site.
    pub site_map: SiteMap,
    /// All functions, by position.
    pub functions: Vec<FunctionSpec>,
    /// Memory of one worker.
    pub worker_mb: u32,
    /// Most workers that a site is believed to have, whatever it says.
    pub max_site_workers: u32,
    /// How long an idle copy is kept.
    pub keep_alive: Micros,
    /// Traffic loops of a gateway.
    pub loops: u16,
    /// How often figures and tables are told.
    pub interval: Micros,
    /// How long a table holds.
    pub valid_for: Micros,
    /// How long a function stays where it was moved to, and how long two sites don't trade it.
    pub home_dwell: Micros,
    /// What all draws follow from.
    pub seed: u64,
}

impl RoutingSettings {
    /// Settings by default values.
    pub fn new(places: SiteMap, functions: Vec<FunctionSpec>, worker_mb: u32, seed: u64) -> Self {
        Self {
            site_map: places,
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
        let bad = |f: &FunctionSpec| f.memory_mb == 0 || f.lanes == 0 || f.deadline < f.aim;
        if let Some(at) = self.functions.iter().position(bad) {
            return Err(RoutingError::InvalidFunction(at));
        }
        let spans = self.interval >= 10_000 && self.valid_for >= 2 * self.interval && self.keep_alive > 0;
        if !spans || self.worker_mb == 0 || self.loops == 0 || self.max_site_workers == 0 {
            return Err(RoutingError::InvalidSettings);
        }
        Ok(())
    }
}

/// Most sites that stand in for one another.
pub(crate) const MAX_SITES: u8 = 64;
/// Bytes of a frame at most.
pub(crate) const MAX_FRAME_BYTES: usize = 65_536;
/// Most functions: a position is a number in a frame.
const MAX_FUNCTIONS: usize = 100_000;

/// What is refused. Nothing is lost by it but the thing refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::VariantNames)]
pub enum RoutingError {
    /// Too many sites.
    #[error("{0} sites are configured, 64 at most stand in for one another: split the fleet")]
    #[strum(serialize = "Sites")]
    TooManySites(usize),
    /// Too many functions.
    #[error("{0} functions are configured, 100,000 at most: split them over fleets")]
    #[strum(serialize = "Functions")]
    TooManyFunctions(usize),
    /// A function without memory or lanes, or with a deadline before its aim.
    #[error("function {0}: give it memory, lanes and a deadline not before its aim")]
    #[strum(serialize = "Function")]
    InvalidFunction(usize),
    /// Spans that don't go together.
    #[error(
        "tables are told every 10 ms at the most often and hold for two tellings at least; worker memory, \
             workers, loops and the keep time are above nothing: correct the settings"
    )]
    #[strum(serialize = "Spans")]
    InvalidSettings,
    /// A frame that is no frame of ours.
    #[error("gateway {0} sent a frame that can't be read: see that all gateways run the same release")]
    Unreadable(u16),
    /// A frame past its bound.
    #[error("gateway {from} sent {bytes} bytes where 65,536 are the most: see what runs under its address")]
    TooLong {
        /// Who sent it.
        from: u16,
        /// How many.
        bytes: usize,
    },
    /// A frame about a site at which its sender doesn't stand.
    #[error("gateway {0} spoke for a site that is not its own: give all gateways the same list of sites")]
    #[strum(serialize = "NotItsSite")]
    WrongSite(u16),
    /// A frame from none of the list.
    #[error("gateway {0} is not in the list: give all gateways the same list")]
    #[strum(serialize = "Stranger")]
    UnknownGateway(u16),
}
