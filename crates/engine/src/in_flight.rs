//! The records of what is in hand: plain data, and what follows from it alone.

use crate::{AnswerOrigin, CallId, Function, Identity, WaiterId};
use basaltward::{Code, FunctionId, Micros, RequestId, WorkerId};
use std::sync::Arc;

pub struct Waiter {
    pub call: CallId,
    /// Its deadline less the answer's way; the loop's lateness of the moment comes off it too.
    pub by: Micros,
    pub path: AnswerOrigin,
}

pub struct Call<P> {
    pub identity: Arc<Identity>,
    pub function: Arc<Function>,
    pub payload: Arc<P>,
    pub waiters: Vec<WaiterId>,
    /// What the controller knows it as; none until it is begun.
    pub current: Option<RequestId>,
    pub attempts: u32,
    pub worker: Option<WorkerId>,
    /// An earlier try of the event may have run.
    pub earlier: bool,
}

pub struct Sent {
    pub worker: WorkerId,
    pub at: Micros,
    /// Bytes of it have been given to a connection. Until then it waits for one, and has not run.
    pub written: bool,
    pub ended: Option<Code>,
}

/// One request as the controller knows it. A call has a new one only when its client is more patient than
/// the one whose event began it.
pub struct Try {
    pub call: CallId,
    pub identity: Arc<Identity>,
    pub function: Arc<Function>,
    pub deadline: Micros,
    pub sent: Vec<Sent>,
    pub done: bool,
}

impl Try {
    /// When the first attempt was sent that is not known never to have run.
    pub fn may_have_run(&self) -> Option<Micros> {
        let maybe = |s: &&Sent| s.written && !s.ended.is_some_and(Code::never_ran);
        self.sent.iter().filter(maybe).map(|s| s.at).min()
    }

    pub fn over(&self) -> bool {
        self.done && self.sent.iter().all(|s| s.ended.is_some())
    }
}

pub enum Order {
    Load { worker: WorkerId, function: FunctionId, sent: Micros },
    Probe { worker: WorkerId, sent: Micros },
}
