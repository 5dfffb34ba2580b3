use serde::{Deserialize, Serialize};

/// A time on the machine's monotonic clock, in microseconds.
pub type Micros = u64;

/// The final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinalAnswer {
    /// The reply event of the function.
    Served,
    /// Refused without an effect: a retry is safe.
    Refused,
    /// Failed: the call may or may not have run.
    Failed,
    /// Invalid input, not accepted at all.
    Rejected,
}

/// One observation, with its time and its observer. Stored as one line of JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When it was observed.
    #[serde(rename = "t")]
    pub time: Micros,
    /// The observer: a client, a scheduler (one event loop of a gateway) or a worker.
    #[serde(rename = "by")]
    pub observer: String,
    /// The observation.
    #[serde(flatten)]
    pub observation: Observation,
}

/// An observation by a client, a scheduler or a worker. The `rename` attributes keep the names of the stored format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Observation {
    /// A client has sent a complete request.
    #[serde(rename = "asked")]
    RequestSent {
        /// Identifies this request, unique over all clients. A repeat of the event has a new one.
        #[serde(rename = "tried")]
        request_id: u64,
        /// The event's name.
        event: String,
        /// The event's class.
        class: String,
        /// The event's tenant.
        tenant: String,
        /// The gateway's address.
        to: String,
        /// When the client stops waiting.
        deadline: Micros,
    },
    /// A client has read a complete answer.
    Answered {
        /// The request.
        #[serde(rename = "tried")]
        request_id: u64,
        /// The answer.
        answer: FinalAnswer,
        /// The HTTP status.
        status: u16,
    },
    /// A client has closed its connection before an answer came.
    #[serde(rename = "left")]
    ClientLeft {
        /// The request.
        #[serde(rename = "tried")]
        request_id: u64,
    },
    /// The peer closed a client's connection, or sent bytes that are not a valid answer.
    #[serde(rename = "cut")]
    ConnectionLost {
        /// The request.
        #[serde(rename = "tried")]
        request_id: u64,
    },
    /// A scheduler has started to listen.
    Up {
        /// The address that it listens on.
        address: String,
    },
    /// A scheduler accepts no more calls and finishes those in flight.
    Stopping,
    /// A scheduler has ended. Clients must repeat the calls that a killed one had accepted.
    Down {
        /// Whether it was killed rather than stopped.
        killed: bool,
    },
    /// A scheduler ran late. The values are the worst of about one second.
    Lagged {
        /// The longest turn of its event loop, in microseconds.
        #[serde(rename = "turn")]
        longest_turn: Micros,
        /// The longest time that a request waited between being read and being processed, in microseconds.
        #[serde(rename = "waited")]
        longest_wait: Micros,
        /// Time in which it had work but no processor, in microseconds.
        stalled: Micros,
    },
    /// A scheduler with work to do got no processor time until now.
    Stalled {
        /// Length of the stall, in microseconds.
        us: Micros,
    },
    /// A scheduler has written a client's final answer to its connection.
    #[serde(rename = "gave")]
    AnswerSent {
        /// The event's name.
        event: String,
        /// The HTTP status.
        status: u16,
    },
    /// A scheduler has accepted a call.
    #[serde(rename = "taken")]
    Accepted {
        /// The event's name.
        event: String,
    },
    /// A scheduler has handed a call over to a gateway of another site.
    HandedOver {
        /// The event's name.
        event: String,
        /// That gateway's name.
        to: String,
    },
    /// A scheduler has answered a call as failed because it could not reach the scheduler that owns the event.
    #[serde(rename = "unowned")]
    OwnerUnreachable {
        /// The event's name.
        event: String,
    },
    /// A scheduler's view of a member of the fleet has changed.
    #[serde(rename = "believed")]
    MemberState {
        /// The member's number.
        #[serde(rename = "of")]
        member: u16,
        /// When the member's current life began, in milliseconds since the beginning of 2026.
        start: u64,
        /// How often the member has refuted a suspicion since then.
        #[serde(rename = "bump")]
        refutations: u32,
        /// `up`, `suspect`, `leaving`, `gone` or `stopped`.
        state: String,
    },
    /// A scheduler has received a newer version of the state that the fleet agrees on.
    #[serde(rename = "agreed")]
    PermitsUpdated {
        /// The leader's epoch: when it was created, in milliseconds since the beginning of 2026, and by which member.
        epoch: (u64, u16),
        /// The version within that epoch, counted by the leader.
        version: u32,
        /// The current permits, each as text: kind of its subject, number or hash of the subject, number of the permit.
        permits: Vec<String>,
    },
    /// A scheduler has received a worker's state from its list of workers.
    #[serde(rename = "told")]
    WorkerState {
        /// The worker.
        worker: String,
        /// `active`, `leaving` or `gone`.
        state: String,
    },
    /// A scheduler has handed a call's bytes to a connection.
    Sent {
        /// The event's name.
        event: String,
        /// The attempt's name.
        attempt: String,
        /// The worker.
        worker: String,
    },
    /// A scheduler's attempt has ended.
    Ended {
        /// The attempt.
        attempt: String,
        /// The result code.
        code: String,
    },
    /// A scheduler has sent an order to load copies.
    Ordered {
        /// The worker.
        worker: String,
        /// The function.
        function: String,
        /// Number of copies that the worker should hold.
        count: u32,
    },
    /// A worker has started.
    #[serde(rename = "born")]
    WorkerStarted {
        /// Work done per microsecond once warm, in microseconds.
        capacity: f64,
        /// Whether it has been warm for long, rather than just started.
        warm: bool,
    },
    /// A call has reached a worker, whether or not it will run.
    Arrived {
        /// The event's name.
        event: String,
        /// The attempt.
        attempt: String,
        /// The call's work, in microseconds.
        work: Micros,
    },
    /// A worker has begun to run a call: its effect happens now.
    Ran {
        /// The event's name.
        event: String,
        /// The attempt.
        attempt: String,
    },
    /// A worker has dropped a repeat, or turned a call away without processing it.
    Dropped {
        /// The attempt.
        attempt: String,
    },
    /// A worker collapsed from overload while cold.
    #[serde(rename = "fell")]
    WorkerCollapsed,
}
