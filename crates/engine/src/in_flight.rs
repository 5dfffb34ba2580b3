//! State of the calls in flight: clients, calls, requests, attempts and orders. Plain data without decisions.

use crate::{AnswerOrigin, CallId, Function, Identity, WaiterId};
use basaltward::{Code, FunctionId, Micros, RequestId, WorkerId};
use std::sync::Arc;

/// A client that waits for an answer.
pub struct Waiter {
    pub call: CallId,
    /// Its deadline less the allowance for the path of the answer. The loop's current lateness is subtracted
    /// when the timers are checked.
    pub answer_by: Micros,
    pub origin: AnswerOrigin,
}

/// An event in flight, with all clients that wait for it.
pub struct Call<P> {
    pub identity: Arc<Identity>,
    pub function: Arc<Function>,
    pub payload: Arc<P>,
    pub waiters: Vec<WaiterId>,
    /// The controller's current request for the call; `None` until the call begins.
    pub request: Option<RequestId>,
    /// Number of attempts, over all requests.
    pub attempts: u32,
    /// The worker tried last.
    pub worker: Option<WorkerId>,
    /// Whether an earlier run of the event may have taken effect.
    pub may_have_run_before: bool,
}

/// A request sent to a worker.
pub struct Attempt {
    pub worker: WorkerId,
    pub sent_at: Micros,
    /// Whether bytes of it have been written to a connection. Until then it waits for one, and has not run.
    pub written: bool,
    pub end_code: Option<Code>,
}

/// One request to the controller. A call gets a second one only if a client that joined has more patience than
/// the one whose event began the call.
pub struct RequestState {
    pub call: CallId,
    pub identity: Arc<Identity>,
    pub function: Arc<Function>,
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    /// Whether its call has been answered or abandoned; attempts may still be running.
    pub concluded: bool,
}

impl RequestState {
    /// When the first attempt was sent that may have run.
    pub fn first_possible_run(&self) -> Option<Micros> {
        let possible = |a: &&Attempt| a.written && !a.end_code.is_some_and(Code::never_ran);
        self.attempts.iter().filter(possible).map(|a| a.sent_at).min()
    }

    /// Whether the request is concluded and all of its attempts have ended.
    pub fn is_finished(&self) -> bool {
        self.concluded && self.attempts.iter().all(|a| a.end_code.is_some())
    }
}

/// An order, a query or a probe that waits for its answer.
pub enum PendingOrder {
    Load { worker: WorkerId, function: FunctionId, sent_at: Micros },
    Probe { worker: WorkerId, sent_at: Micros },
}
