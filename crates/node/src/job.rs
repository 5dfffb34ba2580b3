//! What connections to workers are used for, and how that ends.

use crate::work::{Served, Work};
use basaltward::{Code, CopyStatus, FunctionId, Micros};
use basaltward_engine::{AttemptEnd, AttemptId, OrderId};
use basaltward_worker_lines::{Note, Reply, Word};
use std::sync::Arc;

/// What a connection is used for.
#[derive(Clone)]
pub enum Job {
    /// A call.
    Attempt { id: AttemptId, work: Arc<Work>, function: FunctionId, until: Micros },
    /// An order, or a question where `count` is 0.
    Order { id: OrderId, function: FunctionId, count: u32 },
    /// A probe.
    Probe(OrderId),
    /// Idle copies are to go; nobody waits for an answer.
    Release(FunctionId),
}

/// How a job ended.
pub enum Done {
    /// An attempt.
    Attempt(AttemptId, AttemptEnd<Served>),
    /// An order or a question: copies standing.
    Order(OrderId, Code, u32),
    /// A probe.
    Probe(OrderId, Code, Vec<f64>),
}

/// Names a job that somebody waits for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Name {
    Attempt(AttemptId),
    Order(OrderId),
}

pub fn name(job: &Job) -> Option<Name> {
    match job {
        Job::Attempt { id, .. } => Some(Name::Attempt(*id)),
        Job::Order { id, .. } | Job::Probe(id) => Some(Name::Order(*id)),
        Job::Release(_) => None,
    }
}

/// The id of a job on the wire. Those of calls are hex digits alone, so no tag can be taken for one.
pub fn wire_id(job: &Job) -> String {
    match job {
        Job::Attempt { work, .. } => work.id.clone(),
        Job::Order { id, .. } => format!("order-{}", id.0),
        Job::Probe(id) => format!("probe-{}", id.0),
        Job::Release(_) => String::new(),
    }
}

/// The end of a job that got no whole answer.
pub fn cut(job: &Job, code: Code) -> Option<Done> {
    match job {
        Job::Attempt { id, .. } => Some(Done::Attempt(*id, AttemptEnd::bare(code))),
        Job::Order { id, .. } => Some(Done::Order(*id, code, 0)),
        Job::Probe(id) => Some(Done::Probe(*id, code, Vec::new())),
        Job::Release(_) => None,
    }
}

/// The end of a job that was answered; `report` names the figures that are wanted.
pub fn answered(job: &Job, reply: Reply, report: &[String]) -> Option<Done> {
    let code = match reply.word {
        Word::Ok | Word::Up => Code::Ok,
        Word::Miss => Code::Miss,
        Word::Busy => Code::Full,
        Word::Err | Word::Down => Code::Error,
        Word::Void => Code::Moot,
    };
    Some(match job {
        // Not an answer to a call: what became of it is not known.
        Job::Attempt { id, .. } if matches!(reply.word, Word::Up | Word::Down) => {
            Done::Attempt(*id, AttemptEnd::bare(Code::Unknown))
        }
        Job::Attempt { id, .. } => {
            let copy = match (code, reply.note) {
                (Code::Ok, Some(Note::Up)) => CopyStatus::Loaded,
                (Code::Ok, Some(Note::Fresh)) => CopyStatus::LoadStarted,
                (Code::Ok, Some(Note::Behind)) => CopyStatus::WaitedForLoad,
                (Code::Miss | Code::Error, Some(Note::Crashed)) => CopyStatus::LoadFailed,
                _ => CopyStatus::Unknown,
            };
            let crowd = matches!(code, Code::Ok | Code::Full).then_some(reply.company);
            let report = reported(&reply, report);
            let body = (code == Code::Ok).then_some(Served(reply.body));
            Done::Attempt(*id, AttemptEnd { code, reply: body, copy, crowd, report })
        }
        Job::Order { id, .. } => Done::Order(*id, code, reply.slots_up.unwrap_or(0)),
        Job::Probe(id) => Done::Probe(*id, code, reported(&reply, report)),
        Job::Release(_) => return None,
    })
}

fn reported(reply: &Reply, report: &[String]) -> Vec<f64> {
    if reply.report.is_empty() {
        return Vec::new();
    }
    report.iter().map(|name| reply.reported(name).unwrap_or(f64::NAN)).collect()
}
