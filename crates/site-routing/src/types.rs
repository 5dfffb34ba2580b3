//! Inputs and outputs of routing: call counts, handovers and routing tables.

use basaltward_membership::{MemberId, Micros, Site};

/// Counts of one function at one traffic loop since its previous report. A function is identified by its position
/// in the list of functions, which is the same at all sites.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FunctionCounts {
    /// Position of the function.
    pub function: u32,
    /// Calls from clients, whether handed over or not; calls from other sites are not included.
    pub calls: u32,
    /// Calls served at this site.
    pub served: u32,
    /// Sum of the times from the start of a served call at this site to its answer.
    pub total_time: Micros,
    /// Served calls that found a loaded copy.
    pub warm_starts: u32,
    /// Calls in flight at this site at the end of the span, including those from other sites.
    pub in_flight: u32,
}

/// Counts of one traffic loop over a span.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoopCounts {
    /// Length of the span.
    pub span: Micros,
    /// Functions that were called or served, or that have calls in flight; at most one entry each.
    pub functions: Vec<FunctionCounts>,
    /// Calls in flight at the end of the span, including those from other sites.
    pub in_flight: u32,
    /// Workers in use, by this loop's list of workers.
    pub workers: u32,
}

/// Where a call is to be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// At this site.
    Local,
    /// At another site, through one of its gateways.
    Remote {
        /// The site.
        site: Site,
        /// The gateway that the call is handed to.
        peer: MemberId,
    },
}

/// How a call ended that was handed over to another site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverOutcome {
    /// The other site answered it.
    Served,
    /// The other site refused it; it did not run.
    Refused,
    /// No connection could be opened; it was not sent.
    Unreached,
    /// The answer did not arrive in time, or was incomplete.
    Lost,
}

/// A call that was handed over to another site and has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handover {
    /// Position of its function.
    pub function: u32,
    /// The gateway that it was handed to.
    pub to: MemberId,
    /// Time from handing it over to its end.
    pub duration: Micros,
    /// How it ended.
    pub outcome: HandoverOutcome,
}

/// Another site that may serve calls of a function.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RemoteRoute {
    /// The site.
    pub site: Site,
    /// The gateway of that site that calls are handed to.
    pub peer: MemberId,
    /// Expected time to an answer from there, including the link.
    pub expected_latency: Micros,
    /// Share of the calls that go there, in 65,535ths; 0 for an unused entry.
    pub share: u16,
    /// Maximum number of calls that one loop may send there by one table.
    pub call_limit: u16,
}

/// Maximum number of other sites in the row of a function.
pub const MAX_REMOTE_ROUTES: usize = 2;

/// Routing of the calls of one function.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Row {
    /// Home of the function for calls of this site.
    pub home: Site,
    /// Expected time to an answer from this site.
    pub local_latency: Micros,
    /// Whether the home probably has a loaded copy.
    pub warm_at_home: bool,
    /// Other sites, by ascending cost.
    pub remote_routes: [RemoteRoute; MAX_REMOTE_ROUTES],
}

/// Routing of all functions at one site, valid for a limited time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoutingTable {
    /// Number of the table, ascending per gateway.
    pub number: u64,
    /// End of its validity; from then on all calls are served locally.
    pub valid_until: Micros,
    /// Site of the gateway that the table is for.
    pub local_site: Site,
    /// Rows by position of the function; calls of a function without a row are served locally.
    pub rows: Vec<Row>,
}

/// Faults that tests inject to prove that their checks detect them.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A received frame counts as new, whatever its age.
    IgnoreFrameAge,
    /// Homes move without a cost threshold, a minimum dwell time or an agreement with the other site.
    NoHysteresis,
    /// A call that was handed over may be handed over again.
    UnboundedHops,
}
