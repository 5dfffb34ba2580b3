use crate::{Function, Identity};
use basaltward::{
    Code, CopyStatus, FunctionId, ListFreshness, Member, MembersKind, Micros, RequestId, WorkerId,
};
use std::sync::Arc;

/// Names one waiting client; the front gives it and may use it again once it was answered or has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// Names one event in hand, over all of its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Names one attempt: a send of a try to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The try, as the controller knows it.
    pub request: RequestId,
    /// Its number, from 0.
    pub number: usize,
}

/// Names an order, a question or a probe that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// A reply that may be recorded.
pub trait Reply: Clone {
    /// Bytes that it holds.
    fn bytes(&self) -> usize;
}

/// An event that has arrived and is understood.
#[derive(Clone, Debug)]
pub struct NewCall<P> {
    /// Who waits for the answer.
    pub waiter: WaiterId,
    /// The event's name.
    pub identity: Identity,
    /// The function called.
    pub function: Arc<Function>,
    /// When its client gives up, on the engine's clock.
    pub deadline: Micros,
    /// What a worker needs to run it.
    pub payload: Arc<P>,
}

/// How an attempt ended, as far as its connection tells.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd<R> {
    /// The outcome; says what is proven.
    pub code: Code,
    /// The reply of a call that was served.
    pub reply: Option<R>,
    /// What became of the copy.
    pub copy: CopyStatus,
    /// Calls of the function that the worker held on arrival, where told.
    pub crowd: Option<u32>,
    /// The load report, in the order of the module's settings.
    pub report: Vec<f64>,
}

impl<R> AttemptEnd<R> {
    /// An end that tells nothing but its code.
    pub fn bare(code: Code) -> Self {
        Self { code, reply: None, copy: CopyStatus::Unknown, crowd: None, report: Vec::new() }
    }
}

/// What an engine is told.
#[derive(Clone, Debug)]
pub enum Input<P, R> {
    /// A call has come, and is begun at once.
    Call(NewCall<P>),
    /// A call has come; [`Engine::begin_next`](crate::Engine::begin_next) begins it as the loop finds time.
    Arrived(NewCall<P>),
    /// A client that waited has left.
    Left(WaiterId),
    /// An attempt has ended. Each [`Output::Start`] gets one.
    Ended(AttemptId, AttemptEnd<R>),
    /// An order or a question was answered.
    Ordered(OrderId, Code, u32),
    /// A probe was answered.
    Probed(OrderId, Code, Vec<f64>),
    /// So many copies of a function stand at a worker, as was heard without asking it.
    Stands(WorkerId, FunctionId, u32),
    /// News of the list of workers.
    Members(MembersKind, Vec<Member>),
    /// How far the list of workers is to be believed from now on.
    ListTrust(ListFreshness),
    /// The last connection to a worker has ended by itself, or none could be had.
    Disconnected(WorkerId),
    /// Take no new calls; those in hand go on.
    Stop,
    /// The process is killed at this time: clients of all calls in hand, and of those to come, are answered before
    /// it, however long they would wait. A later time than one told before changes nothing.
    EndBy(Micros),
}

/// Why a call was turned away. Trying again is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The controller turned it away.
    Overload,
    /// As many calls are in hand, or wait for this one, as may.
    InHand,
    /// Too little of the client's patience was left.
    TooLate,
    /// So many calls wait to be begun here that it would be begun past its aim.
    Behind,
    /// Its time ran out, or its attempts did, before a worker took it.
    NotBegun,
    /// The tenant has no room left to guard against a second run.
    Guards,
    /// Its class keeps events, and no other gateway can hold this one.
    Unkept,
    /// This gateway stops.
    Stopping,
}

/// Why a call failed. Whether it ran is not known, unless it says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Its time ran out.
    Deadline,
    /// The attempts that its class allows are used up.
    Attempts,
    /// It is a repeat of a call that may have run and must not run again.
    MayHaveRun,
    /// Another gateway sees to its event, and can't be reached or takes none yet. A repeat is told apart there.
    Unreached,
}

/// The one final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer<R> {
    /// Served.
    Served(R),
    /// Turned away.
    Refused(Refusal, Option<Micros>),
    /// Failed.
    Failed(Failure),
}

/// How an answer came about, for its log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// The client's event began the call.
    First,
    /// It joined a call in hand.
    Joined,
    /// It was answered from the record, or without being worked on.
    Direct,
}

/// What an engine wants done.
#[derive(Clone, Debug)]
pub enum Output<P, R> {
    /// Give a client its final answer.
    Answer {
        /// Who.
        waiter: WaiterId,
        /// What.
        answer: Answer<R>,
        /// Attempts made for the call so far.
        attempts: u32,
        /// The worker last tried.
        worker: Option<WorkerId>,
        /// How it came about.
        path: Path,
    },
    /// Send a call to a worker.
    Start {
        /// Names the attempt.
        attempt: AttemptId,
        /// Where to.
        worker: WorkerId,
        /// The event's name.
        identity: Arc<Identity>,
        /// The function called.
        function: Arc<Function>,
        /// What to send.
        payload: Arc<P>,
        /// When the answer is of no more use.
        until: Micros,
    },
    /// Call an attempt off; its end is still awaited.
    Abort(AttemptId),
    /// Have `count` copies held, or only asked for where it is 0.
    Order {
        /// Names the order.
        order: OrderId,
        /// Where.
        worker: WorkerId,
        /// Of which function.
        function: FunctionId,
        /// How many.
        count: u32,
    },
    /// Probe a worker.
    Probe(OrderId, WorkerId),
    /// Wait no longer for an order or a probe.
    AbortOrder(OrderId),
    /// Have idle copies unloaded.
    Drop(WorkerId, FunctionId),
    /// Ask for the list of workers.
    Watch,
}
