//! HTTP connections to workers and to gateways of other sites: a pool for each address, one job on a connection at a
//! time.

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

/// Maximum idle time of a connection that is reused for an unsafe or keyed call. The worker may be closing a connection
/// that has been idle for longer, and a call written to it would then count as one that may have run.
const MAX_IDLE_BEFORE_UNSAFE_US: Micros = 1_000_000;

/// A job for a connection.
pub enum Job {
    /// An attempt of a call at a worker.
    Attempt {
        id: AttemptId,
        event: Arc<Event>,
        function: Arc<Function>,
        repeat: Repeat,
        until: Micros,
        identity: Arc<Identity>,
        /// The lease: the attempt must not be written at or after this time.
        lease: Micros,
    },
    /// An order to load `count` copies, or a query for the number of loaded copies if `count` is 0.
    Order { id: OrderId, function: Arc<Function>, count: u32 },
    /// A probe.
    Probe(OrderId),
    /// A release of the idle copies of a function; the response is ignored.
    Release(String),
    /// A call handed over to a gateway of another site, which must answer before `until`.
    HandOver { waiter: WaiterId, event: Arc<Event>, function: Arc<Function>, until: Micros },
}

/// How a job ended.
pub enum JobEnd {
    /// The end of an attempt.
    Attempt(AttemptId, AttemptEnd<Reply>),
    /// The end of an order or a query, with the number of loaded copies.
    Order(OrderId, Code, u32),
    /// The end of a probe, with the values of the load report.
    Probe(OrderId, Code, Vec<f64>),
    /// The end of a call that was handed over.
    HandedOver(WaiterId, AttemptEnd<Reply>),
    /// The end of a job whose result is not used.
    Ignored,
}

/// Identifies a job that can be cancelled.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum JobKey {
    Attempt(AttemptId),
    Order(OrderId),
    HandedOver(WaiterId),
}

/// The stage of a connection.
enum Stage {
    Connecting,
    /// The job's bytes have been handed to the socket.
    AwaitingResponse,
    Idle,
}

/// One connection.
struct LinkConn {
    /// Address of the worker, or of the gateway of another site.
    address: WorkerId,
    decoder: ResponseDecoder,
    stage: Stage,
    job: Option<Job>,
    /// When a job was written last or a response received, or when connecting began.
    stage_since: Micros,
    /// Timeout of this stage: connecting, waiting for a response, or idle.
    stage_ends: Micros,
    /// Time of the timer that is set. It is only moved to an earlier time; a timer that fires before `stage_ends` is
    /// set again.
    timer_at: Micros,
}

/// The connections to one address.
#[derive(Default)]
struct Link {
    /// Idle connections, the most recently used last.
    idle: Vec<ConnId>,
    /// Number of open connections, busy ones included.
    open: usize,
}

/// A job whose bytes have been handed to a connection, for the loop's records.
pub struct Sent {
    /// The worker.
    pub worker: WorkerId,
    /// The attempt and its event, if the job is one.
    pub attempt: Option<(AttemptId, Arc<Identity>)>,
    /// The function and the number of copies, if the job is an order to load.
    pub order: Option<(Arc<Function>, u32)>,
}

/// Connections of one loop, pooled by address. One instance serves the workers, another one the gateways of other
/// sites.
pub struct Links {
    /// Prefix of attempt names. It makes them unique, because each scheduler numbers its attempts on its own and
    /// restarts the numbers when it starts. Handed-over calls carry it as the name of this gateway.
    prefix: String,
    config: LinkConfig,
    limits: Limits,
    report_names: Vec<String>,
    links: HashMap<WorkerId, Link>,
    conns: HashMap<ConnId, LinkConn>,
    jobs: HashMap<JobKey, ConnId>,
    timers: Timers<ConnId>,
    /// Jobs handed to a connection since this list was last drained.
    pub sent: Vec<Sent>,
}

/// The key by which a job can be cancelled; `None` for releases.
fn job_key(job: &Job) -> Option<JobKey> {
    match job {
        Job::Attempt { id, .. } => Some(JobKey::Attempt(*id)),
        Job::Order { id, .. } | Job::Probe(id) => Some(JobKey::Order(*id)),
        Job::HandOver { waiter, .. } => Some(JobKey::HandedOver(*waiter)),
        Job::Release(_) => None,
    }
}

/// The end of a job without a complete response.
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
    /// Links without connections; `report_names` are the names of the values of load reports.
    pub fn new(prefix: String, config: LinkConfig, report_names: Vec<String>) -> Self {
        let limits = Limits { body: config.response_bytes, ..Limits::default() };
        let (links, conns, jobs) = (HashMap::new(), HashMap::new(), HashMap::new());
        Self {
            prefix,
            config,
            limits,
            report_names,
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

    /// Whether this connection is one of these links.
    pub fn owns(&self, conn: ConnId) -> bool {
        self.conns.contains_key(&conn)
    }

    /// Starts a job on an idle connection or a new one. Returns its end if nothing could be sent.
    pub fn start(&mut self, io: &mut Io, now: Micros, worker: &WorkerId, job: Job) -> Option<JobEnd> {
        let may_repeat = !matches!(&job, Job::Attempt { repeat: Repeat::Unsafe | Repeat::Keyed { .. }, .. });
        while let Some(conn) = self.links.get_mut(worker).and_then(|l| l.idle.pop()) {
            let age = self.conns.get(&conn).map_or(Micros::MAX, |c| now.saturating_sub(c.stage_since));
            if age
                <= self.config.idle_timeout.min(if may_repeat {
                    Micros::MAX
                } else {
                    MAX_IDLE_BEFORE_UNSAFE_US
                })
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
        if let Some(key) = job_key(&job) {
            self.jobs.insert(key, conn);
        }
        let decoder = ResponseDecoder::new(self.limits);
        let (address, stage, job) = (worker.clone(), Stage::Connecting, Some(job));
        let (stage_ends, timer_at) = (Micros::MAX, Micros::MAX);
        self.conns
            .insert(conn, LinkConn { address, decoder, stage, job, stage_since: now, stage_ends, timer_at });
        self.set_timeout(conn, now + self.config.connect_timeout);
        None
    }

    /// Sets the timeout of a connection's stage.
    fn set_timeout(&mut self, conn: ConnId, until: Micros) {
        let Some(connection) = self.conns.get_mut(&conn) else { return };
        connection.stage_ends = until;
        if until < connection.timer_at {
            connection.timer_at = until;
            self.timers.set(until, conn);
        }
    }

    /// Writes a job's bytes. Returns its end if its lease has expired.
    fn write(&mut self, io: &mut Io, now: Micros, conn: ConnId, job: Job) -> Option<JobEnd> {
        // Reads the clock instead of using the time of the turn: if the process was suspended in between, the lease may
        // have expired.
        if let Job::Attempt { lease, .. } = &job
            && *lease < Micros::MAX
            && monotonic() >= *lease
        {
            self.discard(io, conn);
            return Some(end_without_response(job, Code::Moot));
        }
        let (connection, out) = self.conns.get_mut(&conn).zip(io.output(conn))?;
        let host = connection.address.as_str();
        let mut timeout_at = Micros::MAX;
        let mut sent = Sent { worker: connection.address.clone(), attempt: None, order: None };
        match &job {
            Job::Attempt { id, event, function, repeat, until, identity, .. } => {
                let patience_ms = until.saturating_sub(now) / 1_000;
                let fields =
                    worker_wire::Attempt { host, name: attempt_name(&self.prefix, *id), patience_ms };
                worker_wire::call(out, event, function, *repeat, &fields);
                timeout_at = (*until).max(now + 1);
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
                timeout_at = (*until).max(now + 1);
            }
        }
        if let Some(key) = job_key(&job) {
            self.jobs.insert(key, conn);
        }
        (connection.stage, connection.job, connection.stage_since) =
            (Stage::AwaitingResponse, Some(job), now);
        self.sent.push(sent);
        self.set_timeout(conn, timeout_at);
        None
    }

    /// Cancels an attempt by closing its connection, which notifies the worker. Returns its end if it was running.
    pub fn abort_attempt(&mut self, io: &mut Io, id: AttemptId) -> Option<JobEnd> {
        self.abort(io, JobKey::Attempt(id), Code::Cancelled)
    }

    /// Cancels a handed-over call like [`Links::abort_attempt`].
    pub fn abort_handed_over(&mut self, io: &mut Io, waiter: WaiterId) {
        self.abort(io, JobKey::HandedOver(waiter), Code::Cancelled);
    }

    /// Cancels an order, a query or a probe like [`Links::abort_attempt`].
    pub fn abort_order(&mut self, io: &mut Io, id: OrderId) {
        self.abort(io, JobKey::Order(id), Code::Cancelled);
    }

    /// Cancels a job by closing its connection; returns its end if it was running.
    fn abort(&mut self, io: &mut Io, key: JobKey, code: Code) -> Option<JobEnd> {
        let conn = *self.jobs.get(&key)?;
        // If no byte was sent, the call is known not to have run.
        let unsent = matches!(self.conns.get(&conn)?.stage, Stage::Connecting);
        self.discard(io, conn).map(|job| end_without_response(job, if unsent { Code::Moot } else { code }))
    }

    /// Closes a connection and returns the job that was on it.
    fn discard(&mut self, io: &mut Io, conn: ConnId) -> Option<Job> {
        io.abort(conn);
        self.remove(conn)
    }

    /// Removes a closed connection and returns the job that was on it.
    fn remove(&mut self, conn: ConnId) -> Option<Job> {
        let connection = self.conns.remove(&conn)?;
        if let Some(link) = self.links.get_mut(&connection.address) {
            link.open -= 1;
            link.idle.retain(|c| *c != conn);
            if link.open == 0 {
                self.links.remove(&connection.address);
            }
        }
        let job = connection.job?;
        if let Some(key) = job_key(&job) {
            self.jobs.remove(&key);
        }
        Some(job)
    }

    /// A connection is established: writes its job. Returns the end of the job if it could not be written.
    pub fn connected(&mut self, io: &mut Io, now: Micros, conn: ConnId) -> Option<JobEnd> {
        let job = self.conns.get_mut(&conn).and_then(|c| c.job.take())?;
        self.write(io, now, conn, job)
    }

    /// Bytes have arrived on a connection. Returns the end of its job if the response is complete or invalid.
    pub fn data(&mut self, io: &mut Io, now: Micros, conn: ConnId) -> Option<JobEnd> {
        let connection = self.conns.get_mut(&conn)?;
        let method = match &connection.job {
            // Bytes without a request: the connection can't be trusted.
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
        match connection.decoder.decode(input, method) {
            Ok(Decoded::Message(response)) => {
                let surplus = !input.is_empty();
                io.release_input(conn);
                let reusable = response.keep_alive() && !surplus;
                self.finish(io, now, conn, response, reusable)
            }
            Ok(_) => {
                io.pause(conn, false);
                None
            }
            // Not a valid response, or one beyond the size limit: it does not show whether the job ran.
            Err(_) => self.discard(io, conn).map(|job| end_without_response(job, Code::Error)),
        }
    }

    /// Ends a job with its response, and keeps the connection open if it is reusable.
    fn finish(
        &mut self,
        io: &mut Io,
        now: Micros,
        conn: ConnId,
        response: Response,
        reusable: bool,
    ) -> Option<JobEnd> {
        let connection = self.conns.get_mut(&conn)?;
        let job = connection.job.take()?;
        if let Some(key) = job_key(&job) {
            self.jobs.remove(&key);
        }
        (connection.stage, connection.stage_since) = (Stage::Idle, now);
        if reusable {
            if let Some(link) = self.links.get_mut(&connection.address) {
                link.idle.push(conn);
            }
            self.set_timeout(conn, now + self.config.idle_timeout);
        } else {
            self.discard(io, conn);
        }
        Some(match job {
            Job::Attempt { id, event, .. } => {
                JobEnd::Attempt(id, worker_wire::attempt_end(response, &event, &self.report_names))
            }
            Job::Order { id, .. } => {
                let copies = response.headers.get(worker_wire::fields::COPIES).and_then(|t| t.parse().ok());
                match (worker_wire::code(&response), copies) {
                    (Code::Ok, None) => JobEnd::Order(id, Code::Unknown, 0),
                    (code, copies) => JobEnd::Order(id, code, copies.unwrap_or(0)),
                }
            }
            Job::Probe(id) => JobEnd::Probe(
                id,
                worker_wire::code(&response),
                worker_wire::report(&response, &self.report_names),
            ),
            Job::HandOver { waiter, event, .. } => {
                JobEnd::HandedOver(waiter, handover_wire::attempt_end(&response, &event))
            }
            Job::Release(_) => JobEnd::Ignored,
        })
    }

    /// A connection has ended, closed by the peer or broken. Returns the end of its job.
    pub fn ended(&mut self, io: &mut Io, now: Micros, conn: ConnId, reason: EndReason) -> Option<JobEnd> {
        let connection = self.conns.get_mut(&conn)?;
        // A response may be delimited by the end of its connection.
        let input = io.input(conn).filter(|_| reason == EndReason::Closed);
        if let Some(Ok(response)) = input.map(|input| connection.decoder.finish(input)) {
            return self.finish(io, now, conn, response, false);
        }
        let sent = matches!(connection.stage, Stage::AwaitingResponse);
        let code = if sent { Code::Reset } else { Code::ConnectFailed };
        self.remove(conn).map(|job| end_without_response(job, code))
    }

    /// Closes connections whose timeout has passed: while connecting, while waiting for a response, or while idle. The
    /// ends of their jobs are added to `ends`.
    pub fn wake(&mut self, io: &mut Io, now: Micros, ends: &mut Vec<JobEnd>) {
        while let Some((at, conn)) = self.timers.pop_due(now) {
            let Some(connection) = self.conns.get_mut(&conn).filter(|c| c.timer_at == at) else { continue };
            connection.timer_at = Micros::MAX;
            let until = connection.stage_ends;
            if until > now {
                if until < Micros::MAX {
                    self.set_timeout(conn, until);
                }
                continue;
            }
            let code = match connection.stage {
                Stage::Connecting => Code::ConnectFailed,
                Stage::AwaitingResponse => Code::Timeout,
                Stage::Idle => Code::Moot,
            };
            ends.extend(self.discard(io, conn).map(|job| end_without_response(job, code)));
        }
    }
}

/// The name of an attempt on the wire and in records.
pub fn attempt_name(prefix: &str, id: AttemptId) -> String {
    format!("{prefix}.{}.{}", id.request.0, id.number)
}
