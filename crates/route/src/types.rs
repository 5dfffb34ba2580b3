use basaltward_fleet::{Micros, Number, Site};

/// What a loop counted of one function since it counted last. Functions are positions in the settings that all sites
/// share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counted {
    /// Its position.
    pub function: u32,
    /// Calls that came, handed over or not.
    pub calls: u32,
    /// Calls of it served here.
    pub served: u32,
    /// From when those served were begun here until their answer, all together.
    pub took: Micros,
    /// Of those served, how many found a copy that stood.
    pub warm: u32,
}

/// What a loop counted over a span.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// The span.
    pub span: Micros,
    /// Functions that were called, each once.
    pub by: Vec<Counted>,
    /// Calls in hand at its end, those of other sites among them.
    pub in_hand: u32,
    /// Workers in use, as this loop is told.
    pub workers: u32,
}

/// Where a call is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Where {
    /// At this site.
    Here,
    /// By this gateway of another site.
    There {
        /// The site.
        site: Site,
        /// The gateway.
        fellow: Number,
    },
}

/// How a call that was handed over ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandedEnd {
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
pub struct Handed {
    /// Its function.
    pub function: u32,
    /// The gateway it was handed to.
    pub to: Number,
    /// From handing over to its end.
    pub took: Micros,
    /// How it ended.
    pub end: HandedEnd,
}
