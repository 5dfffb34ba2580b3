//! Connections to the workers: a pool for each, one job on a connection at a time.

use crate::handover_wire;
use crate::worker_wire::{self, Reply};
use basaltward::{Code, Micros, Repeat, WorkerId};
use basaltward_cloudevents::Event;
use basaltward_config::LinkConfig;
use basaltward_engine::{AttemptEnd, AttemptId, Function, Identity, OrderId, WaiterId};
use basaltward_http::{Decoded, Limits, Method, Response, ResponseDecoder};
use basaltward_net::{ConnId, EndReason, Io, monotonic};
use basaltward_timers::Timers;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// An unsafe or keyed call goes only on a connection used this lately: an older one may be closed by the
/// worker at this very moment, and the call then counts as one that may have run.
const MAX_IDLE_BEFORE_UNSAFE_US: Micros = 1_000_000;

/// What a connection is used for.
pub enum Job {
    /// A call.
    Attempt {
        id: AttemptId,
        event: Arc<Event>,
        function: Arc<Function>,
        repeat: Repeat,
        until: Micros,
        identity: Arc<Identity>,
        /// Its first byte leaves before this time, or none does.
        lease: Micros,
    },
    /// An order, or a question where `count` is 0.
    Order { id: OrderId, function: Arc<Function>, count: u32 },
    /// A probe.
    Probe(OrderId),
    /// Idle copies are to go; nobody waits for the answer.
    Release(String),
    /// A call that another site's gateway is to answer by then.
    HandOver { waiter: WaiterId, event: Arc<Event>, function: Arc<Function>, until: Micros },
}

/// How a job ended.
pub enum JobEnd {
    /// An attempt.
    Attempt(AttemptId, AttemptEnd<Reply>),
    /// An order or a question: copies standing.
    Order(OrderId, Code, u32),
    /// A probe.
    Probe(OrderId, Code, Vec<f64>),
    /// A call that was handed over.
    HandedOver(WaiterId, AttemptEnd<Reply>),
    /// Something nobody waits for.
    Ignored,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum JobKey {
    Attempt(AttemptId),
    Order(OrderId),
    HandedOver(WaiterId),
}

enum Stage {
    Connecting,
    /// The job's bytes are with the socket.
    AwaitingResponse,
    Idle,
}

struct LinkConn {
    worker: WorkerId,
    decoder: ResponseDecoder,
    stage: Stage,
    job: Option<Job>,
    stage_since: Micros,
    /// When this stage ends by itself: connecting, waiting for an attempt's answer, or idle.
    stage_ends: Micros,
    /// The timer that is set for it; moved only to an earlier time, and set anew when it comes too early.
    timer_at: Micros,
}

#[derive(Default)]
struct Link {
    /// Most lately used last.
    idle: Vec<ConnId>,
    open: usize,
}

/// What the loop is told when bytes of a job leave, for its records.
pub struct Sent {
    /// The worker.
    pub worker: WorkerId,
    /// The attempt with its event, or nothing.
    pub attempt: Option<(AttemptId, Arc<Identity>)>,
    /// An order to load with its function, or nothing.
    pub order: Option<(Arc<Function>, u32)>,
}

/// All links of one loop.
pub struct Links {
    /// Begins each attempt's name: attempts are numbered by each scheduler for itself, at each start anew.
    prefix: String,
    config: LinkConfig,
    limits: Limits,
    report_names: Vec<String>,
    links: HashMap<WorkerId, Link>,
    conns: HashMap<ConnId, LinkConn>,
    jobs: HashMap<JobKey, ConnId>,
    timers: Timers<ConnId>,
    /// Jobs whose bytes have been given to a connection since this was last taken.
    pub sent: Vec<Sent>,
}

fn job_key(job: &Job) -> Option<JobKey> {
    match job {
        Job::Attempt { id, .. } => Some(JobKey::Attempt(*id)),
        Job::Order { id, .. } | Job::Probe(id) => Some(JobKey::Order(*id)),
        Job::HandOver { waiter, .. } => Some(JobKey::HandedOver(*waiter)),
        Job::Release(_) => None,
    }
}

/// The end of a job that got no whole response.
fn end_without_response(job: Job, code: Code) -> JobEnd {
    match job {
        Job::Attempt { id, .. } => JobEnd::Attempt(id, AttemptEnd::from_code(code)),
        Job::Order { id, .. } => JobEnd::Order(id, code, 0),
        Job::Probe(id) => JobEnd::Probe(id, code, Vec::new()),
        Job::HandOver { waiter, .. } => JobEnd::HandedOver(waiter, AttemptEnd::from_code(code)),
        Job::Release(_) => JobEnd::Ignored,
    }
}

impl Links {
    /// Links without connections; `report` names the values of load reports.
    pub fn new(prefix: String, config: LinkConfig, report: Vec<String>) -> Self {
        let limits = Limits { body: config.response_bytes, ..Limits::default() };
        let (links, conns, jobs) = (HashMap::new(), HashMap::new(), HashMap::new());
        Self {
            prefix,
            config,
            limits,
            report_names: report,
            links,
            conns,
            jobs,
            timers: Timers::default(),
            sent: Vec::new(),
        }
    }

    /// When [`Links::wake`] is due next.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.next_due()
    }

    /// Whether this connection is one to a worker.
    pub fn owns(&self, conn: ConnId) -> bool {
        self.conns.contains_key(&conn)
    }

    /// Begins a job, on an idle connection or a new one. Gives its end at once where no byte can leave.
    pub fn start(&mut self, io: &mut Io, now: Micros, worker: &WorkerId, job: Job) -> Option<JobEnd> {
        let fresh = !matches!(&job, Job::Attempt { repeat: Repeat::Unsafe | Repeat::Keyed { .. }, .. });
        while let Some(conn) = self.links.get_mut(worker).and_then(|l| l.idle.pop()) {
            let age = self.conns.get(&conn).map_or(Micros::MAX, |c| now.saturating_sub(c.stage_since));
            if age <= self.config.idle.min(if fresh { Micros::MAX } else { MAX_IDLE_BEFORE_UNSAFE_US })
                && !io.is_stale(conn)
            {
                return self.write(io, now, conn, job);
            }
            self.discard(io, conn);
        }
        let link = self.links.entry(worker.clone()).or_default();
        if link.open >= self.config.connections {
            return Some(end_without_response(job, Code::Full));
        }
        let address = worker.as_str().parse::<SocketAddr>().ok();
        let Some(conn) = address.and_then(|address| io.connect(address).ok()) else {
            return Some(end_without_response(job, Code::ConnectFailed));
        };
        link.open += 1;
        if let Some(name) = job_key(&job) {
            self.jobs.insert(name, conn);
        }
        let decoder = ResponseDecoder::new(self.limits);
        let (worker, stage, job) = (worker.clone(), Stage::Connecting, Some(job));
        let (until, armed) = (Micros::MAX, Micros::MAX);
        self.conns.insert(
            conn,
            LinkConn { worker, decoder, stage, job, stage_since: now, stage_ends: until, timer_at: armed },
        );
        self.set_timeout(conn, now + self.config.connect_timeout);
        None
    }

    fn set_timeout(&mut self, conn: ConnId, until: Micros) {
        let Some(known) = self.conns.get_mut(&conn) else { return };
        known.stage_ends = until;
        if until < known.timer_at {
            known.timer_at = until;
            self.timers.set(until, conn);
        }
    }

    /// Writes a job's bytes; gives its end where they may not leave any more.
    fn write(&mut self, io: &mut Io, now: Micros, conn: ConnId, job: Job) -> Option<JobEnd> {
        // The clock is read here and not taken from the turn: whoever was stopped in between finds its lease over.
        if let Job::Attempt { lease, .. } = &job
            && *lease < Micros::MAX
            && monotonic() >= *lease
        {
            self.discard(io, conn);
            return Some(end_without_response(job, Code::Moot));
        }
        let (known, out) = self.conns.get_mut(&conn).zip(io.output(conn))?;
        let host = known.worker.as_str();
        let mut ends = Micros::MAX;
        let mut sent = Sent { worker: known.worker.clone(), attempt: None, order: None };
        match &job {
            Job::Attempt { id, event, function, repeat, until, identity, .. } => {
                let patience_ms = until.saturating_sub(now) / 1_000;
                let told = worker_wire::Attempt { host, name: attempt_name(&self.prefix, *id), patience_ms };
                worker_wire::call(out, event, function, *repeat, &told);
                ends = (*until).max(now + 1);
                sent.attempt = Some((*id, identity.clone()));
            }
            Job::Order { function, count, .. } => {
                worker_wire::order(out, host, function, *count);
                sent.order = (*count > 0).then(|| (function.clone(), *count));
            }
            Job::Probe(_) => worker_wire::probe(out, host),
            Job::Release(function) => worker_wire::release(out, host, function),
            Job::HandOver { event, function, until, .. } => {
                handover_wire::call(out, host, event, function, until.saturating_sub(now), &self.prefix);
                ends = (*until).max(now + 1);
            }
        }
        if let Some(name) = job_key(&job) {
            self.jobs.insert(name, conn);
        }
        (known.stage, known.job, known.stage_since) = (Stage::AwaitingResponse, Some(job), now);
        self.sent.push(sent);
        self.set_timeout(conn, ends);
        None
    }

    /// Calls an attempt or an order off: its connection is closed, which tells the worker.
    pub fn abort_attempt(&mut self, io: &mut Io, id: AttemptId) -> Option<JobEnd> {
        self.abort(io, JobKey::Attempt(id), Code::Cancelled)
    }

    /// See [`Links::abort_attempt`].
    pub fn abort_handed_over(&mut self, io: &mut Io, waiter: WaiterId) {
        self.abort(io, JobKey::HandedOver(waiter), Code::Cancelled);
    }

    /// See [`Links::abort_attempt`].
    pub fn abort_order(&mut self, io: &mut Io, id: OrderId) {
        self.abort(io, JobKey::Order(id), Code::Cancelled);
    }

    fn abort(&mut self, io: &mut Io, name: JobKey, code: Code) -> Option<JobEnd> {
        let conn = *self.jobs.get(&name)?;
        // Without a byte sent the call is known not to have run.
        let unsent = matches!(self.conns.get(&conn)?.stage, Stage::Connecting);
        self.discard(io, conn).map(|job| end_without_response(job, if unsent { Code::Moot } else { code }))
    }

    /// Ends a connection; gives the job that was on it.
    fn discard(&mut self, io: &mut Io, conn: ConnId) -> Option<Job> {
        io.abort(conn);
        self.remove(conn)
    }

    fn remove(&mut self, conn: ConnId) -> Option<Job> {
        let known = self.conns.remove(&conn)?;
        if let Some(link) = self.links.get_mut(&known.worker) {
            link.open -= 1;
            link.idle.retain(|c| *c != conn);
            if link.open == 0 {
                self.links.remove(&known.worker);
            }
        }
        let job = known.job?;
        if let Some(name) = job_key(&job) {
            self.jobs.remove(&name);
        }
        Some(job)
    }

    /// A connection stands.
    pub fn connected(&mut self, io: &mut Io, now: Micros, conn: ConnId) -> Option<JobEnd> {
        let job = self.conns.get_mut(&conn).and_then(|c| c.job.take())?;
        self.write(io, now, conn, job)
    }

    /// Bytes have come.
    pub fn data(&mut self, io: &mut Io, now: Micros, conn: ConnId) -> Option<JobEnd> {
        let known = self.conns.get_mut(&conn)?;
        let method = match &known.job {
            // Bytes that answer nothing: the connection can't be trusted.
            None => {
                self.discard(io, conn);
                return None;
            }
            Some(Job::Attempt { .. } | Job::HandOver { .. }) => Method::Post,
            Some(Job::Order { count, .. }) if *count > 0 => Method::Put,
            Some(Job::Release(_)) => Method::Delete,
            Some(_) => Method::Get,
        };
        let input = io.input(conn)?;
        match known.decoder.decode(input, method) {
            Ok(Decoded::Message(response)) => {
                let left = !input.is_empty();
                io.release_input(conn);
                let reusable = response.keep_alive() && !left;
                self.finish(io, now, conn, response, reusable)
            }
            Ok(_) => {
                io.pause(conn, false);
                None
            }
            // Not an answer by the protocol, or longer than is taken: nothing is proven.
            Err(_) => self.discard(io, conn).map(|job| end_without_response(job, Code::Error)),
        }
    }

    fn finish(
        &mut self,
        io: &mut Io,
        now: Micros,
        conn: ConnId,
        told: Response,
        reusable: bool,
    ) -> Option<JobEnd> {
        let known = self.conns.get_mut(&conn)?;
        let job = known.job.take()?;
        if let Some(name) = job_key(&job) {
            self.jobs.remove(&name);
        }
        (known.stage, known.stage_since) = (Stage::Idle, now);
        if reusable {
            if let Some(link) = self.links.get_mut(&known.worker) {
                link.idle.push(conn);
            }
            self.set_timeout(conn, now + self.config.idle);
        } else {
            self.discard(io, conn);
        }
        Some(match job {
            Job::Attempt { id, event, .. } => {
                JobEnd::Attempt(id, worker_wire::attempt_end(told, &event, &self.report_names))
            }
            Job::Order { id, .. } => {
                let copies = told.headers.get(worker_wire::fields::COPIES).and_then(|t| t.parse().ok());
                match (worker_wire::code(&told), copies) {
                    (Code::Ok, None) => JobEnd::Order(id, Code::Unknown, 0),
                    (code, copies) => JobEnd::Order(id, code, copies.unwrap_or(0)),
                }
            }
            Job::Probe(id) => {
                JobEnd::Probe(id, worker_wire::code(&told), worker_wire::report(&told, &self.report_names))
            }
            Job::HandOver { waiter, event, .. } => {
                JobEnd::HandedOver(waiter, handover_wire::attempt_end(&told, &event))
            }
            Job::Release(_) => JobEnd::Ignored,
        })
    }

    /// A connection has ended, by the worker or on the way.
    pub fn ended(&mut self, io: &mut Io, now: Micros, conn: ConnId, how: EndReason) -> Option<JobEnd> {
        let known = self.conns.get_mut(&conn)?;
        // A response may run until its connection's end.
        let input = io.input(conn).filter(|_| how == EndReason::Closed);
        if let Some(Ok(response)) = input.map(|input| known.decoder.end(input)) {
            return self.finish(io, now, conn, response, false);
        }
        let sent = matches!(known.stage, Stage::AwaitingResponse);
        let code = if sent { Code::Reset } else { Code::ConnectFailed };
        self.remove(conn).map(|job| end_without_response(job, code))
    }

    /// Takes what is due by `now`: connections that do not stand, attempts out of time, idle ones.
    pub fn wake(&mut self, io: &mut Io, now: Micros, done: &mut Vec<JobEnd>) {
        while let Some((at, conn)) = self.timers.pop_due(now) {
            let Some(known) = self.conns.get_mut(&conn).filter(|c| c.timer_at == at) else { continue };
            known.timer_at = Micros::MAX;
            let until = known.stage_ends;
            if until > now {
                if until < Micros::MAX {
                    self.set_timeout(conn, until);
                }
                continue;
            }
            let code = match known.stage {
                Stage::Connecting => Code::ConnectFailed,
                Stage::AwaitingResponse => Code::Timeout,
                Stage::Idle => Code::Moot,
            };
            done.extend(self.discard(io, conn).map(|job| end_without_response(job, code)));
        }
    }
}

/// An attempt's name on the wire and in records.
pub fn attempt_name(prefix: &str, id: AttemptId) -> String {
    format!("{prefix}.{}.{}", id.request.0, id.number)
}
