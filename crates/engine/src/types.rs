use crate::{Function, Identity};
use basaltward::{
    Code, CopyStatus, FunctionId, ListFreshness, Member, MembersKind, Micros, RequestId, WorkerId,
};
use std::sync::Arc;

/// Identifies a waiting client. The front end assigns it, and may reuse it once the client has been answered
/// or has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// Identifies a call in flight, across all of its requests to the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies one attempt: a request sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The controller's request.
    pub request: RequestId,
    /// Index of the attempt within the request, from 0.
    pub number: usize,
}

/// Identifies a pending order, query of copies or probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// A worker's reply, which may be recorded for repeats.
pub trait Reply: Clone {
    /// Size in bytes, which counts against [`RepeatLimits::max_bytes`](crate::RepeatLimits::max_bytes).
    fn bytes(&self) -> usize;
}

/// A call that has been received and parsed.
#[derive(Clone, Debug)]
pub struct NewCall<P> {
    /// The client that waits for the answer.
    pub waiter: WaiterId,
    /// Identity of the event.
    pub identity: Identity,
    /// The function called.
    pub function: Arc<Function>,
    /// When its client gives up, on the engine's clock in microseconds.
    pub deadline: Micros,
    /// The data to send to a worker.
    pub payload: Arc<P>,
}

/// How an attempt ended, as far as its connection shows.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd<R> {
    /// The outcome, which also states whether the attempt can have run.
    pub code: Code,
    /// The reply, if the call was served.
    pub reply: Option<R>,
    /// State of the copy, as the worker reported it.
    pub copy: CopyStatus,
    /// Number of requests for the function at the worker when this one arrived, if reported.
    pub crowd: Option<u32>,
    /// The load report, in the order of the controller's settings.
    pub report: Vec<f64>,
}

impl<R> AttemptEnd<R> {
    /// An end without any information besides its code.
    pub fn from_code(code: Code) -> Self {
        Self { code, reply: None, copy: CopyStatus::Unknown, crowd: None, report: Vec::new() }
    }
}

/// An event that the caller passes to the engine.
#[derive(Clone, Debug)]
pub enum Input<P, R> {
    /// A call has arrived and begins at once.
    Call(NewCall<P>),
    /// A call has arrived and is queued until [`Engine::begin_next`](crate::Engine::begin_next) begins it.
    QueuedCall(NewCall<P>),
    /// A waiting client has left.
    ClientLeft(WaiterId),
    /// An attempt has ended. Required once for each [`Output::Start`].
    AttemptEnded(AttemptId, AttemptEnd<R>),
    /// An order or a query of copies was answered, with the number of loaded copies.
    OrderAnswered(OrderId, Code, u32),
    /// A probe was answered, with the load report.
    ProbeAnswered(OrderId, Code, Vec<f64>),
    /// The number of loaded copies of a function at a worker, reported without an order or a query.
    CopiesReported(WorkerId, FunctionId, u32),
    /// An update of the list of workers.
    Members(MembersKind, Vec<Member>),
    /// How far to trust the list of workers from now on.
    ListTrust(ListFreshness),
    /// The last connection to a worker was closed by the worker or the network, or none could be established.
    Disconnected(WorkerId),
    /// Refuse new calls; those in flight go on.
    Stop,
    /// The process will be killed at this time: the clients of all current and future calls are answered before
    /// it, however long they would wait. Ignored if an earlier time is set already.
    ExitAt(Micros),
}

/// Why a call was refused. Trying again is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The controller refused it.
    Overload,
    /// The limit of calls in flight, or of clients that wait for this call, is reached, or the loop that owns the
    /// event did not take the call in time.
    TooManyInFlight,
    /// Too little of the client's time was left on arrival.
    TooLittleTime,
    /// This loop is behind: so many calls wait to begin that this one would begin past its aim.
    Backlogged,
    /// Its time or its attempts ran out before any worker accepted it.
    NotStarted,
    /// The tenant has reached its limit of records that guard against a second run.
    GuardLimit,
    /// Its class requires that events are persisted, and no other gateway can store this one.
    NotReplicated,
    /// This gateway is stopping.
    Stopping,
}

/// Why a call failed. The call may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The client's deadline passed.
    Deadline,
    /// The attempts that its class allows are used up.
    AttemptsExhausted,
    /// It is a repeat of a call that may have run and must not run again.
    MayHaveRun,
    /// Another gateway owns its event and can't be reached or doesn't accept calls yet. That gateway detects
    /// repeats.
    OwnerUnreachable,
}

/// The final answer to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer<R> {
    /// Served, with the worker's reply.
    Served(R),
    /// Refused without effect; the client may retry after this delay, if there is one.
    Refused(Refusal, Option<Micros>),
    /// Failed; the call may have run.
    Failed(Failure),
}

/// Where an answer comes from, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOrigin {
    /// From the call that this client's event started.
    First,
    /// From a call in flight that this client's event joined.
    Joined,
    /// From the record of an earlier call, or decided without running the call.
    Direct,
}

/// A request of the engine to its caller.
#[derive(Clone, Debug)]
pub enum Output<P, R> {
    /// Give a client its final answer.
    Answer {
        /// The client.
        waiter: WaiterId,
        /// The answer.
        answer: Answer<R>,
        /// Attempts made for the call so far.
        attempts: u32,
        /// The worker last tried.
        worker: Option<WorkerId>,
        /// Where the answer comes from.
        origin: AnswerOrigin,
    },
    /// Send a call to a worker.
    Start {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// The worker to send to.
        worker: WorkerId,
        /// Identity of the event.
        identity: Arc<Identity>,
        /// The function called.
        function: Arc<Function>,
        /// The data to send.
        payload: Arc<P>,
        /// When to give up: a later answer would be too late for the client.
        until: Micros,
    },
    /// Cancel an attempt. Its [`Input::AttemptEnded`] is still required.
    Abort(AttemptId),
    /// Order a worker to have `count` copies loaded; 0 only queries the number of loaded copies.
    Order {
        /// Identifies the order.
        order: OrderId,
        /// The worker to load at.
        worker: WorkerId,
        /// The function to load.
        function: FunctionId,
        /// Number of copies to have loaded.
        count: u32,
    },
    /// Probe a worker.
    Probe(OrderId, WorkerId),
    /// Stop waiting for the answer to an order or a probe.
    AbortOrder(OrderId),
    /// Have a worker unload its idle copies of a function.
    Release(WorkerId, FunctionId),
    /// Request the list of workers.
    RequestWorkerList,
}
