use serde::{Deserialize, Serialize};

/// A time on the machine's monotonic clock, in microseconds.
pub type Micros = u64;

/// How a call was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinalAnswer {
    /// The reply event.
    Served,
    /// Turned away: trying again is harmless.
    Refused,
    /// Failed: nothing is promised.
    Failed,
    /// Not taken at all: bad input.
    Rejected,
}

/// One thing that crossed a socket, with who saw it and when.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When.
    #[serde(rename = "t")]
    pub time: Micros,
    /// A client, a scheduler (one loop of a gateway) or a worker.
    #[serde(rename = "by")]
    pub observer: String,
    /// What.
    #[serde(flatten)]
    pub observation: Observation,
}

/// What was seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Observation {
    /// A client has sent a whole event.
    #[serde(rename = "asked")]
    RequestSent {
        /// Names this try, once over all clients.
        #[serde(rename = "tried")]
        request_id: u64,
        /// The event's name.
        event: String,
        /// Its class.
        class: String,
        /// Its tenant.
        tenant: String,
        /// The gateway's address.
        to: String,
        /// When the client gives up.
        deadline: Micros,
    },
    /// A client has read a whole answer.
    Answered {
        /// The try.
        #[serde(rename = "tried")]
        request_id: u64,
        /// Which answer.
        answer: FinalAnswer,
        /// Its HTTP status.
        status: u16,
    },
    /// A client has left before an answer came.
    #[serde(rename = "left")]
    ClientLeft {
        /// The try.
        #[serde(rename = "tried")]
        request_id: u64,
    },
    /// The connection ended under a client, or brought bytes that were no answer.
    #[serde(rename = "cut")]
    ConnectionLost {
        /// The try.
        #[serde(rename = "tried")]
        request_id: u64,
    },
    /// A scheduler begins to listen.
    Up {
        /// Where.
        address: String,
    },
    /// A scheduler accepts no more and finishes what it has.
    Stopping,
    /// A scheduler has ended. What one held that was killed is the clients' to repeat.
    Down {
        /// It was killed, not stopped.
        killed: bool,
    },
    /// A scheduler was late; the worst of about a second.
    Lagged {
        /// Its longest turn, in microseconds.
        #[serde(rename = "turn")]
        longest_turn: Micros,
        /// The longest that a request that was read waited for its turn.
        #[serde(rename = "waited")]
        longest_wait: Micros,
        /// Time in which it had work but no processor.
        stalled: Micros,
    },
    /// The machine had stopped a scheduler that had work, for so long until now.
    Stalled {
        /// In microseconds.
        us: Micros,
    },
    /// A scheduler has given a client's final answer to its connection.
    #[serde(rename = "gave")]
    AnswerSent {
        /// The event's name.
        event: String,
        /// The HTTP status.
        status: u16,
    },
    /// A scheduler has taken a call.
    #[serde(rename = "taken")]
    Accepted {
        /// The event's name.
        event: String,
    },
    /// A scheduler has handed a call to a gateway of another site.
    HandedOver {
        /// The event's name.
        event: String,
        /// That gateway's name.
        to: String,
    },
    /// A scheduler has answered a call as failed whose event another one sees to that it could not reach.
    #[serde(rename = "unowned")]
    OwnerUnreachable {
        /// The event's name.
        event: String,
    },
    /// A scheduler believes something else of one of the fleet.
    #[serde(rename = "believed")]
    MemberState {
        /// Of whom, by number.
        #[serde(rename = "of")]
        member: u16,
        /// When that one's life began, in milliseconds since the beginning of 2026.
        start: u64,
        /// How often it has refuted since.
        #[serde(rename = "bump")]
        refutations: u32,
        /// `up`, `suspect`, `leaving`, `gone` or `stopped`.
        state: String,
    },
    /// A scheduler has heard of something later that the fleet agrees on.
    #[serde(rename = "agreed")]
    PermitsUpdated {
        /// The leader's epoch: when it was drawn, in milliseconds since the beginning of 2026, and by whom.
        epoch: (u64, u16),
        /// The leader's count.
        version: u32,
        /// Who may be out, by kind and number or mark, with the number of the permit.
        permits: Vec<String>,
    },
    /// A scheduler was told of a worker's state.
    #[serde(rename = "told")]
    WorkerState {
        /// The worker.
        worker: String,
        /// `active`, `leaving` or `gone`.
        state: String,
    },
    /// A scheduler has given a call's bytes to a connection.
    Sent {
        /// The event's name.
        event: String,
        /// Names the attempt.
        attempt: String,
        /// The worker.
        worker: String,
    },
    /// A scheduler's attempt has ended.
    Ended {
        /// The attempt.
        attempt: String,
        /// Its code.
        code: String,
    },
    /// A scheduler has sent an order to load.
    Ordered {
        /// The worker.
        worker: String,
        /// The function.
        function: String,
        /// Copies to be held.
        count: u32,
    },
    /// A worker has started.
    #[serde(rename = "born")]
    WorkerStarted {
        /// Work that it does when warm, in microseconds of work a microsecond.
        capacity: f64,
        /// Long warm, not started just now.
        warm: bool,
    },
    /// A call has reached a worker, whether it runs or not.
    Arrived {
        /// The event's name.
        event: String,
        /// The attempt.
        attempt: String,
        /// Its work, in microseconds.
        work: Micros,
    },
    /// A worker has begun to run a call: its effect happens.
    Ran {
        /// The event's name.
        event: String,
        /// The attempt.
        attempt: String,
    },
    /// A worker has dropped a repeat, or turned a call away unseen.
    Dropped {
        /// The attempt.
        attempt: String,
    },
    /// A worker fell over while cold.
    #[serde(rename = "fell")]
    WorkerCollapsed,
}
