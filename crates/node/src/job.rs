//! Jobs sent over connections to workers, and how they end.

use crate::payload::{CallPayload, ReplyBody};
use basaltward::{Code, CopyStatus, FunctionId, Micros};
use basaltward_engine::{AttemptEnd, AttemptId, OrderId};
use basaltward_worker_lines::{CopyDetail, Reply, Status};
use std::sync::Arc;

/// A request to a worker.
#[derive(Clone)]
pub enum Job {
    /// An attempt of a call, aborted at `until`.
    Attempt { id: AttemptId, payload: Arc<CallPayload>, function: FunctionId, until: Micros },
    /// An order to load copies, or a query for loaded copies if `count` is 0.
    Order { id: OrderId, function: FunctionId, count: u32 },
    /// A probe.
    Probe(OrderId),
    /// Release of idle copies; it is not answered.
    Release(FunctionId),
}

/// How a job ended.
pub enum JobEnd {
    /// An attempt.
    Attempt(AttemptId, AttemptEnd<ReplyBody>),
    /// An order or a query, with the number of loaded copies.
    Order(OrderId, Code, u32),
    /// A probe, with the worker's load report.
    Probe(OrderId, Code, Vec<f64>),
}

/// Identifies a job that is waited for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum JobKey {
    Attempt(AttemptId),
    Order(OrderId),
}

pub fn job_key(job: &Job) -> Option<JobKey> {
    match job {
        Job::Attempt { id, .. } => Some(JobKey::Attempt(*id)),
        Job::Order { id, .. } | Job::Probe(id) => Some(JobKey::Order(*id)),
        Job::Release(_) => None,
    }
}

/// The id of a job on the wire. Ids of calls consist of hex digits only, so they can't collide with those of orders
/// and probes.
pub fn wire_id(job: &Job) -> String {
    match job {
        Job::Attempt { payload, .. } => payload.id.clone(),
        Job::Order { id, .. } => format!("order-{}", id.0),
        Job::Probe(id) => format!("probe-{}", id.0),
        Job::Release(_) => String::new(),
    }
}

/// The end of a job without a complete answer.
pub fn end_without_reply(job: &Job, code: Code) -> Option<JobEnd> {
    match job {
        Job::Attempt { id, .. } => Some(JobEnd::Attempt(*id, AttemptEnd::from_code(code))),
        Job::Order { id, .. } => Some(JobEnd::Order(*id, code, 0)),
        Job::Probe(id) => Some(JobEnd::Probe(*id, code, Vec::new())),
        Job::Release(_) => None,
    }
}

/// The end of an answered job; `report` names the values to take from the load report.
pub fn end_with_reply(job: &Job, reply: Reply, report: &[String]) -> Option<JobEnd> {
    let code = match reply.status {
        Status::Ok | Status::Up => Code::Ok,
        Status::Miss => Code::Miss,
        Status::Busy => Code::Full,
        Status::Err | Status::Down => Code::Error,
        Status::Void => Code::Moot,
    };
    Some(match job {
        // Not a valid answer to a call: its outcome is unknown.
        Job::Attempt { id, .. } if matches!(reply.status, Status::Up | Status::Down) => {
            JobEnd::Attempt(*id, AttemptEnd::from_code(Code::Unknown))
        }
        Job::Attempt { id, .. } => {
            let copy = match (code, reply.copy) {
                (Code::Ok, Some(CopyDetail::Up)) => CopyStatus::Loaded,
                (Code::Ok, Some(CopyDetail::Fresh)) => CopyStatus::LoadStarted,
                (Code::Ok, Some(CopyDetail::Behind)) => CopyStatus::WaitedForLoad,
                (Code::Miss | Code::Error, Some(CopyDetail::Crashed)) => CopyStatus::LoadFailed,
                _ => CopyStatus::Unknown,
            };
            let crowd = matches!(code, Code::Ok | Code::Full).then_some(reply.crowd);
            let report = report_values(&reply, report);
            let body = (code == Code::Ok).then_some(ReplyBody(reply.body));
            JobEnd::Attempt(*id, AttemptEnd { code, reply: body, copy, crowd, report })
        }
        Job::Order { id, .. } => JobEnd::Order(*id, code, reply.copies.unwrap_or(0)),
        Job::Probe(id) => JobEnd::Probe(*id, code, report_values(&reply, report)),
        Job::Release(_) => return None,
    })
}

fn report_values(reply: &Reply, report: &[String]) -> Vec<f64> {
    if reply.report.is_empty() {
        return Vec::new();
    }
    report.iter().map(|name| reply.report_value(name).unwrap_or(f64::NAN)).collect()
}
