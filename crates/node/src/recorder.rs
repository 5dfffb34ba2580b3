//! Records the traffic on the sockets for the rule checker. Disabled in production.

use crate::front::OpenRequest;
use crate::links::{Written, WrittenJob};
use crate::payload::ReplyBody;
use basaltward::{FunctionId, Member, MembersKind, Micros, WorkerId, WorkerState};
use basaltward_engine::{Answer, AttemptEnd, AttemptId};
use basaltward_membership::{Incarnation, MemberId};
use basaltward_net::{Io, monotonic};
use basaltward_permits::{Permit, PermitState, Stored, Subject};
use basaltward_rules::{Observation, Recorder};
use std::collections::{BTreeSet, HashMap};
use std::fmt::Debug;
use std::net::SocketAddr;
use tracing::debug;

/// The records of one scheduler.
pub struct TraceRecorder {
    name: String,
    recorder: Recorder,
    /// Names of attempts in flight.
    attempt_names: HashMap<AttemptId, String>,
    /// Answers written to an output buffer and not yet flushed.
    unflushed_answers: Vec<(String, u16)>,
    /// Workers in the list so far, to record those that a later whole list omits.
    listed_workers: BTreeSet<WorkerId>,
}

impl TraceRecorder {
    pub fn new(name: &str, recorder: Recorder) -> Self {
        let (attempt_names, unflushed_answers, listed_workers) =
            (HashMap::new(), Vec::new(), BTreeSet::new());
        Self { name: name.into(), recorder, attempt_names, unflushed_answers, listed_workers }
    }

    fn put(&self, now: Micros, observation: Observation) {
        self.recorder.put(now, &self.name, observation);
    }

    pub fn up(&self, now: Micros, address: SocketAddr) {
        self.put(now, Observation::Up { address: address.to_string() });
    }

    pub fn stopping(&self, now: Micros) {
        self.put(now, Observation::Stopping);
    }

    pub fn down(&self, now: Micros) {
        self.put(now, Observation::Down { killed: false });
    }

    /// Records a change of a member's state in the fleet's view.
    pub fn view_changed(
        &self,
        now: Micros,
        member: MemberId,
        incarnation: Incarnation,
        state: basaltward_membership::MemberState,
    ) {
        if self.recorder.is_enabled() {
            let state = format!("{state:?}").to_lowercase();
            self.put(
                now,
                Observation::MemberState {
                    member,
                    start: incarnation.start,
                    refutations: incarnation.bump,
                    state,
                },
            );
        }
    }

    /// Records a later state of the permits that the fleet has agreed on.
    pub fn permits_changed(&self, now: Micros, known: &Stored<PermitState>) {
        if self.recorder.is_enabled() {
            let permit = |permit: &Permit| match permit.subject {
                Subject::Scheduler(member) => format!("scheduler {member} {}", permit.number),
                Subject::Worker(hash) => format!("worker {hash:08x} {}", permit.number),
                Subject::Site(site) => format!("site {site} {}", permit.number),
                Subject::Gateway(member) => format!("gateway {member} {}", permit.number),
            };
            let permits = known.value.permits.iter().map(permit).collect();
            let (epoch, version) = ((known.epoch.ms, known.epoch.by), known.version);
            self.put(now, Observation::PermitsUpdated { epoch, version, permits });
        }
    }

    pub fn request_accepted(&self, now: Micros, id: &str) {
        if self.recorder.is_enabled() {
            self.put(now, Observation::Accepted { event: id.into() });
        }
    }

    /// Records an attempt or an order written to a connection. An id is used on a connection only once, so id and port
    /// identify an attempt; the worker sees the same pair.
    pub fn job_written(&mut self, now: Micros, io: &mut Io, written: &Written) {
        if !self.recorder.is_enabled() {
            return;
        }
        let worker = written.worker.to_string();
        match &written.job {
            WrittenJob::Attempt(id, payload) => {
                let port = io.local_address(written.conn).map_or(0, |a| a.port());
                let attempt = format!("{}:{}@{port}", self.name, payload.id);
                self.attempt_names.insert(*id, attempt.clone());
                self.put(now, Observation::Sent { event: payload.id.clone(), attempt, worker });
            }
            WrittenJob::Order(function, count) => {
                self.put(now, Observation::Ordered { worker, function: function.to_string(), count: *count });
            }
        }
    }

    /// Logs the start of an attempt at debug level; its end is logged too.
    pub fn started(id: AttemptId, worker: &WorkerId, function: &FunctionId) {
        debug!(
        target: "basaltward::attempt",
        request = id.request.0,
        number = id.number,
        %worker,
        %function,
        "start"
        );
    }

    pub fn ended(&mut self, now: Micros, id: AttemptId, end: &AttemptEnd<ReplyBody>) {
        let code = end.code;
        debug!(
        target: "basaltward::attempt",
        request = id.request.0,
        number = id.number,
        ?code,
        copy = ?end.copy,
        crowd = end.crowd,
        "attempt"
        );
        if let Some(attempt) = self.attempt_names.remove(&id) {
            self.put(now, Observation::Ended { attempt, code: format!("{code:?}") });
        }
    }

    /// Logs the final answer of a call at debug level, and records it.
    pub fn answered(
        &mut self,
        now: Micros,
        request: &OpenRequest,
        answer: &Answer<ReplyBody>,
        (attempts, worker): (u32, Option<&WorkerId>),
    ) {
        let (outcome, status, why) = match answer {
            Answer::Served(_) => ("served", 200, None),
            Answer::Refused(why, _) => ("refused", 503, Some(why as &dyn Debug)),
            Answer::Failed(why) => ("failed", 500, Some(why as &dyn Debug)),
        };
        debug!(
        target: "basaltward::call",
        id = format_args!("{:016x}", request.request),
        class = request.class,
        function = %request.function,
        outcome,
        why = why.map(tracing::field::debug),
        attempts,
        worker = worker.map(WorkerId::as_str),
        took_us = now.saturating_sub(request.arrived),
        "call"
        );
        if self.recorder.is_enabled() {
            self.unflushed_answers.push((format!("{:016x}", request.request), status));
        }
    }

    /// Records that the answers in the output buffers have been handed to their sockets.
    pub fn answers_flushed(&mut self) {
        if self.unflushed_answers.is_empty() {
            return;
        }
        let now = monotonic();
        for (event, status) in std::mem::take(&mut self.unflushed_answers) {
            self.put(now, Observation::AnswerSent { event, status });
        }
    }

    pub fn members_changed(&mut self, now: Micros, kind: MembersKind, members: &[Member]) {
        if !self.recorder.is_enabled() {
            return;
        }
        if kind == MembersKind::Whole {
            let listed: BTreeSet<_> = members.iter().map(|m| m.worker.clone()).collect();
            for worker in self.listed_workers.difference(&listed) {
                self.put(now, Observation::WorkerState { worker: worker.to_string(), state: "gone".into() });
            }
            self.listed_workers = listed;
        }
        for member in members {
            let state = match member.state {
                WorkerState::Active => "active",
                WorkerState::Leaving => "leaving",
                WorkerState::Gone => "gone",
            };
            self.listed_workers.insert(member.worker.clone());
            self.put(
                now,
                Observation::WorkerState { worker: member.worker.to_string(), state: state.into() },
            );
        }
    }
}
