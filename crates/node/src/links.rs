//! Connections to the workers: several per worker, with many requests on each. A request ends only with an outcome
//! that can be proven.
//!
//! A request provably never ran if its socket did not take all of its bytes, or if the worker reports it. Any other
//! request may have run once its last byte is with the socket.

use crate::Budget;
pub use crate::job::{Job, JobEnd};
use crate::job::{JobKey, end_with_reply, end_without_reply, job_key, wire_id};
use crate::payload::CallPayload;
use crate::recent_ids::RecentIds;
use crate::send_progress::{OutputBytes, SendProgress, Span};
use basaltward::{Code, FunctionId, Member, MembersKind, Micros, WorkerId, WorkerState};
use basaltward_engine::{AttemptId, OrderId};
use basaltward_net::{ConnId, EndReason, Io};
use basaltward_platform_settings::LinkSettings;
use basaltward_timers::Timers;
use basaltward_worker_lines as lines;
use basaltward_worker_lines::{AnswerDecoder, ExecFields, LineLimits};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use tracing::debug;

/// Size limits of a worker's answer.
const ANSWER_LIMITS: LineLimits = LineLimits { max_line: 2 << 10, max_body: 64 << 10 };
/// Bytes in a connection's output buffer past which further requests wait in its queue. The same bound applies to
/// the bytes that the system's send buffer holds and the worker has not taken.
const MAX_UNSENT_BYTES: usize = 64 << 10;

/// Recently ended request ids that are remembered, per call that may be in flight.
const RECENT_IDS_PER_CALL: usize = 4;

/// Timers handled in one call of [`Links::wake`].
const MAX_DUE_PER_WAKE: usize = 32;
/// Time for a worker to read a request that was aborted. It is half of the time within which the platform lets an
/// attempt begin after its client has gone.
const READ_GRACE_US: Micros = 50_000;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Connection(ConnId),
    Attempt(AttemptId),
    /// Checks whether the worker has read a request that was aborted.
    UnreadCheck(ConnId, Span),
}

/// A job whose bytes were written to the connection's output.
struct OpenJob {
    job: Job,
    /// Position of its bytes in the connection's output.
    span: Span,
    since: Micros,
}

struct Link {
    worker: WorkerId,
    decoder: AnswerDecoder,
    is_connected: bool,
    /// The connection takes no more jobs and closes once its last job has ended.
    is_retired: bool,
    queue: VecDeque<Job>,
    /// Jobs awaiting an answer, by their id on the wire.
    open: HashMap<String, OpenJob>,
    output_bytes: OutputBytes,
    last_input: Micros,
    last_used: Micros,
    /// Whether its timer is set. There is one timer per connection; it is set again if it fires too early.
    has_timer: bool,
    /// A request was aborted, and nothing has arrived since it was sent, so the system's send buffer may still
    /// hold it.
    maybe_unread: bool,
}

impl Link {
    /// Number of jobs that are queued or await an answer.
    fn job_count(&self) -> usize {
        self.open.len() + self.queue.len()
    }

    /// Withdraws a request of which the socket has no byte.
    fn withdraw(&mut self, io: &mut Io, conn: ConnId, id: &str) -> Option<OpenJob> {
        let open = self.open.remove(id)?;
        let others = self.open.values_mut().map(|other| &mut other.span);
        if self.output_bytes.withdraw(io, conn, open.span, others) {
            return Some(open);
        }
        self.open.insert(id.to_owned(), open);
        None
    }

    /// Withdraws the calls and load orders of which the socket has no byte.
    fn withdraw_new_work(&mut self, io: &mut Io, conn: ConnId) -> Vec<Job> {
        let is_new_work = |open: &OpenJob| match open.job {
            Job::Attempt { .. } => true,
            Job::Order { count, .. } => count > 0,
            Job::Probe(_) | Job::Release(_) => false,
        };
        let ids: Vec<_> =
            self.open.iter().filter(|(_, open)| is_new_work(open)).map(|(id, _)| id.clone()).collect();
        ids.iter().filter_map(|id| self.withdraw(io, conn, id)).map(|open| open.job).collect()
    }

    /// Withdraws all queued jobs, and all requests of which the socket has no byte.
    fn withdraw_all(&mut self, io: &mut Io, conn: ConnId) -> Vec<Job> {
        let ids: Vec<_> = self.open.keys().cloned().collect();
        let mut jobs: Vec<_> = ids.iter().filter_map(|id| self.withdraw(io, conn, id)).collect();
        jobs.sort_by_key(|open| open.span);
        jobs.into_iter().map(|open| open.job).chain(std::mem::take(&mut self.queue)).collect()
    }
}

struct Worker {
    address: SocketAddr,
    state: WorkerState,
    conns: Vec<ConnId>,
}

/// All connections to workers.
pub struct Links {
    budget: Budget,
    settings: LinkSettings,
    classes: Vec<String>,
    /// Names of the values to take from load reports.
    report_names: Vec<String>,
    workers: BTreeMap<WorkerId, Worker>,
    conns: HashMap<ConnId, Link>,
    /// The connection of each job that has a key, and the job's id on the wire.
    jobs: HashMap<JobKey, (ConnId, String)>,
    due: Timers<Due>,
    recent_ids: RecentIds,
    /// Attempts and orders written since this was last drained.
    pub written: Vec<Written>,
    /// Connections whose output may not have reached their socket.
    unsent: Vec<ConnId>,
    /// Workers whose last open connection was closed by the other side or failed, or whose only connection was
    /// never established, since this was last taken.
    pub disconnected: Vec<WorkerId>,
    /// Workers to which a connection was opened while there was none, since this was last taken. Without a
    /// connection a restart of the worker goes unnoticed.
    pub first_connected: Vec<WorkerId>,
}

/// An attempt or an order that was written to a connection's output.
pub struct Written {
    pub conn: ConnId,
    pub worker: WorkerId,
    pub job: WrittenJob,
}

pub enum WrittenJob {
    Attempt(AttemptId, Arc<CallPayload>),
    Order(FunctionId, u32),
}

impl Links {
    /// Creates the links without any connection.
    pub fn new(config: &crate::NodeConfig) -> Self {
        let settings = &config.settings;
        Self {
            budget: config.budget,
            settings: settings.links,
            classes: settings.classes.clone(),
            report_names: settings.module.report_names.clone(),
            workers: BTreeMap::new(),
            conns: HashMap::new(),
            jobs: HashMap::new(),
            due: Timers::default(),
            recent_ids: RecentIds::new(config.budget.calls * RECENT_IDS_PER_CALL),
            written: Vec::new(),
            unsent: Vec::new(),
            disconnected: Vec::new(),
            first_connected: Vec::new(),
        }
    }

    pub fn next_due(&self) -> Option<Micros> {
        self.due.next_due()
    }

    /// Whether this connection leads to a worker.
    pub fn owns(&self, conn: ConnId) -> bool {
        self.conns.contains_key(&conn)
    }

    // ---- workers -----------------------------------------------------------------------------------------

    /// Applies a list of workers, or changes to it. Jobs for a worker that is draining or gone are withdrawn if the
    /// socket has no byte of them; their ends are appended to `done`.
    pub fn update_members(
        &mut self,
        io: &mut Io,
        kind: MembersKind,
        members: &[(Member, SocketAddr)],
        done: &mut Vec<JobEnd>,
    ) {
        if kind == MembersKind::Whole {
            let is_listed = |w: &WorkerId| members.iter().any(|(m, _)| m.worker == *w);
            let absent: Vec<_> = self.workers.keys().filter(|w| !is_listed(w)).cloned().collect();
            absent.iter().for_each(|w| self.set_state(io, w, WorkerState::Gone, done));
        }
        for (member, address) in members {
            let (address, state, conns) = (*address, member.state, Vec::new());
            let known = self.workers.entry(member.worker.clone()).or_insert(Worker { address, state, conns });
            if known.address != address {
                known.address = address;
                known.conns.clone().into_iter().for_each(|conn| self.retire(io, conn));
            }
            self.set_state(io, &member.worker, state, done);
        }
    }

    fn set_state(&mut self, io: &mut Io, worker: &WorkerId, state: WorkerState, done: &mut Vec<JobEnd>) {
        let Some(known) = self.workers.get_mut(worker) else { return };
        known.state = state;
        if state == WorkerState::Active {
            return;
        }
        for conn in known.conns.clone() {
            let Some(link) = self.conns.get_mut(&conn) else { continue };
            for job in link.withdraw_all(io, conn) {
                job_key(&job).map(|key| self.jobs.remove(&key));
                done.extend(end_without_reply(&job, Code::Moot));
            }
            self.retire(io, conn);
        }
        self.remove_if_gone(worker);
    }

    fn remove_if_gone(&mut self, worker: &WorkerId) {
        if self.workers.get(worker).is_some_and(|w| w.state == WorkerState::Gone && w.conns.is_empty()) {
            self.workers.remove(worker);
        }
    }

    /// Number of jobs of this scheduler at these workers.
    pub fn count_jobs(&self, workers: &[&str]) -> usize {
        let links = self.conns.values().filter(|link| workers.contains(&&*link.worker.to_string()));
        links.map(Link::job_count).sum()
    }

    /// Stops assigning jobs to a connection, and closes it at once if it has none.
    fn retire(&mut self, io: &mut Io, conn: ConnId) {
        let Some(link) = self.conns.get_mut(&conn) else { return };
        link.is_retired = true;
        if link.job_count() == 0 {
            self.close(io, conn);
        }
    }

    // ---- jobs --------------------------------------------------------------------------------------------

    /// Starts a job. Returns its end at once if no byte of it can be sent.
    pub fn start(&mut self, io: &mut Io, now: Micros, worker: &WorkerId, job: Job) -> Option<JobEnd> {
        if !self.workers.get(worker).is_some_and(|w| w.state == WorkerState::Active) {
            return end_without_reply(&job, Code::Moot);
        }
        self.recent_ids.forget(now);
        let mut may_connect = true;
        let conn = loop {
            let (chosen, has_capacity) = self.choose(worker, &job, may_connect);
            match chosen {
                // The worker may have closed the connection in input that this turn has not read yet. A request
                // written after that never runs, but that could not be proven.
                Some(conn) if self.is_open(conn) && io.peer_has_ended(conn) => self.retire(io, conn),
                Some(conn) => break conn,
                None if !has_capacity => return end_without_reply(&job, Code::Full),
                // Running out of descriptors is no evidence about the worker: the request shares a connection if it
                // can.
                None => match self.connect(io, now, worker) {
                    Some(conn) => break conn,
                    None => may_connect = false,
                },
            }
        };
        if let Job::Attempt { id, payload, until, .. } = &job {
            payload.note_connection(conn);
            self.due.set((*until).max(now), Due::Attempt(*id));
        }
        if let Some(key) = job_key(&job) {
            self.jobs.insert(key, (conn, wire_id(&job)));
        }
        if let Some(link) = self.conns.get_mut(&conn) {
            link.queue.push_back(job);
            link.last_used = now;
        }
        self.write(io, now, conn);
        None
    }

    fn is_open(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|link| link.is_connected)
    }

    /// Returns the connection for a job, if there is one, and whether another one may be opened; `may_connect` is
    /// false if no descriptors are left.
    fn choose(&self, worker: &WorkerId, job: &Job, may_connect: bool) -> (Option<ConnId>, bool) {
        let conns = self.workers.get(worker).map(|known| known.conns.as_slice()).unwrap_or_default();
        let streams = self.settings.streams.max(1);
        let has_carried = |payload: &CallPayload, conn| {
            payload.has_used(conn) || self.recent_ids.contains(conn, payload.number)
        };
        let is_unused =
            |conn: &ConnId| !matches!(job, Job::Attempt { payload, .. } if has_carried(payload, *conn));
        let available =
            |conn: &ConnId| self.conns.get(conn).filter(|l| !l.is_retired && l.job_count() < streams);
        let candidates =
            conns.iter().filter(|conn| is_unused(conn)).filter_map(|c| Some((*c, available(c)?)));
        // Among equally loaded connections, prefer the most recently used one, so that the others can idle out.
        let best =
            candidates.min_by_key(|(_, l)| (l.job_count(), !l.is_connected, std::cmp::Reverse(l.last_used)));
        // An attempt has a connection to itself while there are enough: a failure of a connection ends every
        // request on it.
        let is_attempt = matches!(job, Job::Attempt { .. });
        let max_links = self.budget.links_per_worker(self.workers.len());
        let has_capacity = may_connect && conns.len() < max_links && self.conns.len() < self.budget.links;
        let chosen =
            best.filter(|(_, l)| l.job_count() == 0 || !is_attempt || !has_capacity).map(|(conn, _)| conn);
        (chosen, has_capacity)
    }

    fn connect(&mut self, io: &mut Io, now: Micros, worker: &WorkerId) -> Option<ConnId> {
        let known = self.workers.get_mut(worker)?;
        let conn = io.connect(known.address).ok()?;
        io.set_send_buffer_size(conn, MAX_UNSENT_BYTES);
        let is_first = known.conns.is_empty();
        known.conns.push(conn);
        self.first_connected.extend(is_first.then(|| worker.clone()));
        let (worker, decoder) = (worker.clone(), AnswerDecoder::new(ANSWER_LIMITS));
        let (is_connected, is_retired, queue, open) = (false, false, VecDeque::new(), HashMap::new());
        let (output_bytes, last_input, last_used, has_timer, maybe_unread) =
            (OutputBytes::default(), now, now, true, false);
        let link = Link {
            worker,
            decoder,
            is_connected,
            is_retired,
            queue,
            open,
            output_bytes,
            last_input,
            last_used,
            has_timer,
            maybe_unread,
        };
        debug!(target: "basaltward::link", worker = %link.worker, held = self.conns.len() + 1, "connect");
        self.conns.insert(conn, link);
        self.due.set(now + self.settings.connect_timeout.max(1), Due::Connection(conn));
        Some(conn)
    }

    /// Writes queued jobs to an established connection as long as its output has capacity.
    fn write(&mut self, io: &mut Io, now: Micros, conn: ConnId) {
        let Some(link) = self.conns.get_mut(&conn).filter(|l| l.is_connected) else { return };
        while io.unsent(conn) < MAX_UNSENT_BYTES
            && let Some(job) = link.queue.pop_front()
        {
            let id = wire_id(&job);
            let span = link.output_bytes.write(io, conn, |out| match &job {
                Job::Attempt { payload, function, until, .. } => {
                    let queue = self.classes.get(payload.class).map_or("", String::as_str);
                    let budget = (until.saturating_sub(now) / 1_000).max(1);
                    let (path, key) = (function.as_str(), payload.key.as_deref());
                    lines::exec(out, &id, ExecFields { queue, path, budget_ms: budget, key }, &payload.body);
                }
                Job::Order { function, count, .. } => lines::ensure(out, &id, function.as_str(), *count),
                Job::Probe(_) => lines::load(out, &id),
                Job::Release(function) => lines::release(out, function.as_str()),
            });
            let Some(span) = span else { return link.queue.push_front(job) };
            let written = match &job {
                Job::Attempt { id, payload, .. } => Some(WrittenJob::Attempt(*id, payload.clone())),
                Job::Order { function, count, .. } => Some(WrittenJob::Order(function.clone(), *count)),
                Job::Probe(_) | Job::Release(_) => None,
            };
            self.written.extend(written.map(|job| Written { conn, worker: link.worker.clone(), job }));
            if !matches!(job, Job::Release(_)) {
                link.open.insert(id, OpenJob { job, span, since: now });
            }
        }
        if !link.queue.is_empty() {
            io.notify_when_drained(conn);
        }
        if !self.unsent.contains(&conn) {
            self.unsent.push(conn);
        }
    }

    /// Withdraws new work of which the socket has no byte and that may no longer begin; `until` returns for each
    /// worker the time until which new work may begin there. Call this just before output is flushed, with the time
    /// of that moment: the decision may have waited for a connection, in an output that the worker does not read,
    /// or while the process was stalled.
    pub fn withdraw_late(
        &mut self,
        io: &mut Io,
        now: Micros,
        until: impl Fn(&WorkerId) -> Option<Micros>,
    ) -> Vec<JobEnd> {
        let mut done = Vec::new();
        let mut unsent = std::mem::take(&mut self.unsent);
        unsent.retain(|conn| io.unsent(*conn) > 0);
        for conn in &unsent {
            let Some(link) = self.conns.get_mut(conn) else { continue };
            if until(&link.worker).is_none_or(|until| now < until) {
                continue;
            }
            for job in link.withdraw_new_work(io, *conn) {
                debug!(worker = %link.worker, "withdrawn: new work may no longer begin at this worker");
                job_key(&job).map(|key| self.jobs.remove(&key));
                done.extend(end_without_reply(&job, Code::Moot));
            }
            self.close_or_keep(io, now, *conn);
        }
        self.unsent = unsent;
        done
    }

    /// Cancels an attempt. If the socket has no byte of it, it is withdrawn and never ran; otherwise the worker is
    /// notified.
    pub fn abort_attempt(&mut self, io: &mut Io, now: Micros, id: AttemptId) -> Option<JobEnd> {
        self.abort(io, now, JobKey::Attempt(id), Code::Cancelled)
    }

    /// Stops waiting for an order or a probe.
    pub fn abort_order(&mut self, io: &mut Io, now: Micros, id: OrderId) {
        self.abort(io, now, JobKey::Order(id), Code::Cancelled);
    }

    /// Ends a job with `code`, or with [`Code::Moot`] if the socket has no byte of it. `None` if the job is unknown or
    /// its connection is gone.
    fn abort(&mut self, io: &mut Io, now: Micros, key: JobKey, code: Code) -> Option<JobEnd> {
        let (conn, id) = self.jobs.remove(&key)?;
        let link = self.conns.get_mut(&conn)?;
        let (mut code, mut silent) = (code, false);
        let job = if let Some(at) = link.queue.iter().position(|job| job_key(job) == Some(key)) {
            code = Code::Moot;
            link.queue.remove(at)?
        } else {
            // Nothing has arrived since the request was sent, for as long as connecting may take. The machine
            // behind the connection may be gone, and new requests on it would be lost too.
            let since = link.open.get(&id)?.since;
            silent = link.last_input < since && now >= since + self.settings.connect_timeout;
            if let Some(open) = link.withdraw(io, conn, &id) {
                code = Code::Moot;
                open.job
            } else {
                let OpenJob { job, span, .. } = link.open.remove(&id)?;
                if let Job::Attempt { payload, .. } = &job {
                    self.recent_ids.insert(now, conn, payload.number);
                    link.maybe_unread |= link.last_input < since;
                    // A socket that takes no more bytes shows at once that its worker does not read; otherwise only
                    // the worker's silence shows it.
                    let stuck = io.is_write_blocked(conn);
                    if stuck || link.maybe_unread {
                        let at = if stuck { now } else { since + self.settings.connect_timeout };
                        self.due.set(at.max(now) + READ_GRACE_US, Due::UnreadCheck(conn, span));
                    }
                    link.output_bytes.write(io, conn, |out| lines::drop_request(out, &id));
                }
                job
            }
        };
        if silent && matches!(job, Job::Attempt { .. }) {
            self.retire(io, conn);
        } else if let Some(link) = self.conns.get_mut(&conn) {
            link.last_used = now;
            self.close_or_keep(io, now, conn);
        }
        end_without_reply(&job, code)
    }

    /// Closes a retired connection whose last job has ended; keeps any other for the next job until it idles out.
    fn close_or_keep(&mut self, io: &mut Io, now: Micros, conn: ConnId) {
        let idle = self.settings.idle_close / 2;
        let Some(link) = self.conns.get_mut(&conn).filter(|l| l.job_count() == 0) else { return };
        if link.is_retired {
            self.close(io, conn);
        } else if idle > 0 && !std::mem::replace(&mut link.has_timer, true) {
            // Close before the worker does: a request that crosses the worker's close may have run.
            self.due.set(now + idle, Due::Connection(conn));
        }
    }

    /// Closes a connection with no outstanding jobs. Its descriptor is released at once, because the budget has
    /// none to spare beyond those of open connections. If the system may still hold a request that was aborted,
    /// the connection is reset: that request would otherwise begin whenever the worker is back.
    fn close(&mut self, io: &mut Io, conn: ConnId) {
        match self.conns.get(&conn).is_some_and(|link| link.maybe_unread) {
            true => io.write_and_reset(conn),
            false => io.write_and_abort(conn),
        }
        self.remove_link(conn);
    }

    /// Checks a connection on which a request was aborted that its worker may not have read. The connection is
    /// reset, with everything else on it, if the socket has not taken the rest of that request, or if the worker is
    /// still silent and either takes no more bytes or has no other job on it. Otherwise the request would begin
    /// with no client waiting for it.
    fn reset_unless_read(&mut self, io: &mut Io, conn: ConnId, span: Span, done: &mut Vec<JobEnd>) {
        let Some(link) = self.conns.get(&conn) else { return };
        let is_sent = link.output_bytes.progress(io, conn, span) == SendProgress::Complete;
        let is_unread = link.maybe_unread && (io.is_write_blocked(conn) || link.job_count() == 0);
        if !is_sent || is_unread {
            debug!(worker = %link.worker, "connection reset: the worker has not read a request that was aborted");
            self.close_with(io, conn, Code::Reset, Io::reset, done);
        }
    }

    /// Removes a connection and returns it.
    fn remove_link(&mut self, conn: ConnId) -> Option<Link> {
        let link = self.conns.remove(&conn)?;
        if let Some(known) = self.workers.get_mut(&link.worker) {
            known.conns.retain(|c| *c != conn);
        }
        self.remove_if_gone(&link.worker.clone());
        Some(link)
    }

    // ---- connection events -------------------------------------------------------------------------------

    /// Handles an established connection.
    pub fn connected(&mut self, io: &mut Io, now: Micros, conn: ConnId) {
        if let Some(link) = self.conns.get_mut(&conn) {
            (link.is_connected, link.last_input) = (true, now);
        }
        self.write(io, now, conn);
    }

    /// Resumes writing once buffered output has been written.
    pub fn drained(&mut self, io: &mut Io, now: Micros, conn: ConnId) {
        self.write(io, now, conn);
    }

    /// Reads answers from the connection's input.
    pub fn receive(&mut self, io: &mut Io, now: Micros, conn: ConnId, done: &mut Vec<JobEnd>) {
        loop {
            let Some(link) = self.conns.get_mut(&conn) else { return };
            let Some(input) = io.input(conn) else { return };
            (link.last_input, link.maybe_unread) = (now, false);
            match link.decoder.next(input) {
                Ok(Some(reply)) => {
                    // No job waits under this id: a duplicate answer, or the answer to a request that was aborted.
                    // The answer is complete, so the input that follows can be read.
                    let Some(open) = link.open.remove(&reply.id) else { continue };
                    if let Job::Attempt { payload, .. } = &open.job {
                        self.recent_ids.insert(now, conn, payload.number);
                    }
                    link.last_used = now;
                    let worker = link.worker.clone();
                    job_key(&open.job).map(|key| self.jobs.remove(&key));
                    if let Job::Order { function, count, .. } = &open.job {
                        let (worker, code) = (&worker, reply.status);
                        let took_us = now.saturating_sub(open.since);
                        let copies = reply.copies;
                        debug!(
                            target: "basaltward::load",
                            %worker, %function, count, ?code, stand = copies, took_us, "load"
                        );
                    }
                    done.extend(end_with_reply(&open.job, reply, &self.report_names));
                    self.close_or_keep(io, now, conn);
                }
                Ok(None) => {
                    io.release_input(conn);
                    return io.pause(conn, false);
                }
                Err(why) => {
                    debug!(worker = %link.worker, %why, "answer can't be read");
                    return self.abort_link(io, conn, Code::Reset, done);
                }
            }
        }
    }

    /// Handles a connection that failed or was closed by the worker.
    pub fn ended(&mut self, io: &mut Io, conn: ConnId, reason: EndReason, done: &mut Vec<JobEnd>) {
        let code = if reason == EndReason::ConnectFailed { Code::ConnectFailed } else { Code::Reset };
        let worker = self.conns.get(&conn).map(|link| link.worker.clone());
        self.abort_link(io, conn, code, done);
        self.disconnected.extend(worker.filter(|worker| !self.has_open_connection(worker)));
    }

    /// Whether a connection to the worker is established.
    fn has_open_connection(&self, worker: &WorkerId) -> bool {
        let conns = self.workers.get(worker).map(|known| known.conns.as_slice()).unwrap_or_default();
        conns.iter().any(|conn| self.is_open(*conn))
    }

    /// Aborts a connection and ends every job on it. Requests that the socket did not take completely never ran.
    fn abort_link(&mut self, io: &mut Io, conn: ConnId, code: Code, done: &mut Vec<JobEnd>) {
        self.close_with(io, conn, code, Io::abort, done);
    }

    /// As [`Links::abort_link`], with `close` closing the socket.
    fn close_with(
        &mut self,
        io: &mut Io,
        conn: ConnId,
        code: Code,
        close: impl FnOnce(&mut Io, ConnId),
        done: &mut Vec<JobEnd>,
    ) {
        let Some(link) = self.remove_link(conn) else { return };
        let unsent_code = if code == Code::ConnectFailed { code } else { Code::Moot };
        let mut open: Vec<_> = link.open.into_values().collect();
        open.sort_by_key(|open| open.span);
        let mut end_code = |span| {
            if link.output_bytes.progress(io, conn, span) == SendProgress::Complete {
                code
            } else {
                unsent_code
            }
        };
        let ends: Vec<_> = open.into_iter().map(|open| (end_code(open.span), open.job)).collect();
        close(io, conn);
        for (code, job) in ends.into_iter().chain(link.queue.into_iter().map(|job| (unsent_code, job))) {
            job_key(&job).map(|key| self.jobs.remove(&key));
            done.extend(end_without_reply(&job, code));
        }
    }

    /// Handles due timers: connections that are not established in time, idle connections and attempts past their
    /// deadline. Handles a bounded number per call, so that due answers go out in between; [`Links::next_due`]
    /// reports the rest.
    pub fn wake(&mut self, io: &mut Io, now: Micros, done: &mut Vec<JobEnd>) {
        for _ in 0..MAX_DUE_PER_WAKE {
            let Some((_, due)) = self.due.pop_due(now) else { return };
            match due {
                Due::Attempt(id) => done.extend(self.abort(io, now, JobKey::Attempt(id), Code::Timeout)),
                Due::UnreadCheck(conn, span) => self.reset_unless_read(io, conn, span, done),
                Due::Connection(conn) => {
                    let idle = self.settings.idle_close / 2;
                    let Some(link) = self.conns.get_mut(&conn) else { continue };
                    link.has_timer = false;
                    if !link.is_connected {
                        self.abort_link(io, conn, Code::ConnectFailed, done);
                    } else if link.job_count() > 0 || idle == 0 {
                        // The timer is set again when the connection becomes idle.
                    } else if link.last_used + idle <= now {
                        self.close(io, conn);
                    } else {
                        link.has_timer = true;
                        let at = link.last_used + idle;
                        self.due.set(at, Due::Connection(conn));
                    }
                }
            }
        }
    }
}
