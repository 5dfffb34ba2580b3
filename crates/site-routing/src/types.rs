use basaltward_membership::{MemberId, Micros, Site};

/// What a loop counted of one function since it counted last. Functions are positions in the settings that all sites
/// share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FunctionCounts {
    /// Its position.
    pub function: u32,
    /// Calls that came, handed over or not; those that came from another site are not among them.
    pub calls: u32,
    /// Calls of it served here.
    pub served: u32,
    /// From when those served were begun here until their answer, all together.
    pub total_time: Micros,
    /// Of those served, how many found a copy that stood.
    pub warm_starts: u32,
    /// Calls of it in hand here at the end of the span, those of other sites among them.
    pub in_flight: u32,
}

/// What a loop counted over a span.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoopCounts {
    /// The span.
    pub span: Micros,
    /// Functions that were called, served or are in hand, each once.
    pub functions: Vec<FunctionCounts>,
    /// Calls in hand at its end, those of other sites among them.
    pub in_flight: u32,
    /// Workers in use, as this loop is told.
    pub workers: u32,
}

/// Where a call is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// At this site.
    Local,
    /// By this gateway of another site.
    Remote {
        /// The site.
        site: Site,
        /// The gateway.
        peer: MemberId,
    },
}

/// How a call that was handed over ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverOutcome {
    /// Served.
    Served,
    /// Turned away there: it never ran.
    Refused,
    /// No connection came up: it never left.
    Unreached,
    /// No answer in its time, or a broken one.
    Lost,
}

/// A call that was handed over has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handover {
    /// Its function.
    pub function: u32,
    /// The gateway it was handed to.
    pub to: MemberId,
    /// From handing over to its end.
    pub duration: Micros,
    /// How it ended.
    pub outcome: HandoverOutcome,
}

/// Another site that may answer calls of a function.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RemoteRoute {
    /// The site.
    pub site: Site,
    /// Its gateway that calls are handed to.
    pub peer: MemberId,
    /// Time that an answer from there is thought to take, link and all.
    pub expected_latency: Micros,
    /// Share of our calls that goes there, in 65,535ths; 0 where there is no such way.
    pub share: u16,
    /// Calls that one loop may send there while the table is the newest.
    pub call_limit: u16,
}

/// How many other sites are held ready for a function.
pub const MAX_REMOTE_ROUTES: usize = 2;

/// Where calls of a function go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Row {
    /// Its home, as our site sees it.
    pub home: Site,
    /// Time that an answer from here is thought to take.
    pub local_latency: Micros,
    /// Whether a copy is thought to stand at its home.
    pub warm_at_home: bool,
    /// Other sites, the least cost first.
    pub remote_routes: [RemoteRoute; MAX_REMOTE_ROUTES],
}

/// Where calls go: whole, numbered, and with an end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoutingTable {
    /// Its number; a later one of the same gateway is higher.
    pub number: u64,
    /// Until when it holds.
    pub valid_until: Micros,
    /// Site of the gateway.
    pub local_site: Site,
    /// By position; what is not here is answered here.
    pub rows: Vec<Row>,
}

/// What a checker has to find where it is planted.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A frame is taken for as old as its way is long, whatever it says.
    IgnoreFrameAge,
    /// Homes move without a threshold, without staying and without asking.
    NoHysteresis,
    /// A call that came handed over is handed on.
    UnboundedHops,
}
