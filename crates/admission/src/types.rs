//! Attempts, decisions and counters that the traffic loops and the control thread exchange.

use basaltward_membership::Micros;

/// Kind of an attempt, which selects the budget that it counts against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptKind {
    /// First attempt, or an attempt that the client does not mark as a retry: the limiter recognizes a retry of a call
    /// that it shed itself.
    First,
    /// Attempt that the client marks as a retry; counts against the retry budget.
    Retry,
    /// Call handed over by another site, where it is a first attempt or a retry; here it counts as an additional
    /// attempt.
    HandedOver,
    /// Event that the fleet already accepted and must answer; never shed.
    Exempt,
}

/// Result of an admission check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Admit the call.
    Admit,
    /// Shed the call: nothing of it has run, and the client should retry after this delay.
    Shed(Micros),
}

/// Outcome of an admitted call. The wait is the time from its arrival until its execution began: in the gateway's queue
/// and, if the worker reports it, in the worker's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Answered within its aim, after this wait.
    Served(Micros),
    /// Answered later than its aim, after this wait.
    Late(Micros),
    /// Failed after admission. Calls refused after admission are recorded by [`crate::LoopLimiter::record_refusal`]
    /// instead.
    Failed,
}

/// Counters of one cell at one loop since the counters were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CellCounts {
    /// First attempts received.
    pub first_attempts: u32,
    /// Retries received.
    pub retries: u32,
    /// Retries admitted by the retry budget.
    pub budgeted_retries: u32,
    /// Retries that arrived at their scheduled time and were admitted.
    pub reserved_retries: u32,
    /// Calls handed over by other sites.
    pub handed_over: u32,
    /// Calls answered within their aim.
    pub served: u32,
    /// Calls answered after their aim.
    pub late: u32,
    /// Calls shed by the limiter.
    pub shed: u32,
    /// Calls refused after admission, before any of their work ran.
    pub refused: u32,
    /// Calls that failed after admission.
    pub failed: u32,
    /// Sum of the waits of the answered calls.
    pub total_wait: Micros,
}

impl CellCounts {
    /// All calls received.
    pub fn arrivals(&self) -> u32 {
        self.first_attempts + self.retries + self.handed_over
    }

    /// All calls answered, in time or late.
    pub fn answered(&self) -> u32 {
        self.served + self.late
    }
}

/// Counters of one loop over a time span.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoopCounts {
    /// Length of the span.
    pub span: Micros,
    /// Counters by class, then tenant: one for each cell of the settings.
    pub by_cell: Vec<CellCounts>,
    /// Calls in flight at the end of the span.
    pub in_flight: u32,
}
