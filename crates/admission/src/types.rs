use basaltward_membership::Micros;

/// What a call is to the door.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptKind {
    /// Its client's first try, or a try that its client does not mark: the door tells from its memory.
    First,
    /// A try after another one, by its client's mark: paid for by the budget of retries.
    Retry,
    /// Handed over by another site: counted there as what it is, a try more here.
    HandedOver,
    /// An event that the fleet owes an answer: never shed.
    Exempt,
}

/// What the door says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Take it.
    Admit,
    /// Turn it away: nothing of it has run, and it is to come again after this time.
    Shed(Micros),
}

/// How a call that the door took has ended. What it waited is the time from its coming until its work began, at the
/// gateway and in its worker's queue as far as the worker tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Answered within its aim, after this wait.
    Served(Micros),
    /// Answered later than its aim, after this wait.
    Late(Micros),
    /// Failed after the door; what was refused there is told by [`crate::Door::refused`].
    Failed,
}

/// Calls of one class and tenant at one loop since it counted last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CellCounts {
    /// First tries that came.
    pub first_attempts: u32,
    /// Further tries that came.
    pub retries: u32,
    /// Further tries that were taken by the budget of retries.
    pub budgeted_retries: u32,
    /// Further tries that came at the time they had been told, and were taken.
    pub reserved_retries: u32,
    /// Calls that other sites handed over.
    pub handed_over: u32,
    /// Answered served within their aim.
    pub served: u32,
    /// Answered later than their aim.
    pub late: u32,
    /// Turned away at the door.
    pub shed: u32,
    /// Refused after the door: nothing of it had run.
    pub refused: u32,
    /// Failed after the door.
    pub failed: u32,
    /// What those answered had waited, all together.
    pub total_wait: Micros,
}

impl CellCounts {
    /// All that came.
    pub fn arrivals(&self) -> u32 {
        self.first_attempts + self.retries + self.handed_over
    }

    /// All that was answered.
    pub fn answered(&self) -> u32 {
        self.served + self.late
    }
}

/// What a loop counted over a span.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoopCounts {
    /// The span.
    pub span: Micros,
    /// By class, then tenant: `classes * tenants` places; one tenant where none are configured.
    pub by_cell: Vec<CellCounts>,
    /// Calls in hand at its end.
    pub in_flight: u32,
}
