//! Connections to the workers: several a worker, many requests on each, every one of them ended by what is
//! proven.
//!
//! What proves that a request never ran: it was not given to the socket whole, or the worker says so. All
//! else, once its last byte is with the socket, may have run.

use crate::Budget;
use crate::given::{Given, Part, Span};
pub use crate::job::{Done, Job};
use crate::job::{Name, answered, cut, name, wire_id};
use crate::recent_ids::RecentIds;
use crate::work::Work;
use basaltward::{Code, FunctionId, Member, MembersKind, Micros, WorkerId, WorkerState};
use basaltward_engine::{AttemptId, OrderId};
use basaltward_net::{ConnId, End, Io};
use basaltward_timers::Timers;
use basaltward_told::LinkFigures;
use basaltward_worker_lines as lines;
use basaltward_worker_lines::{AnswerDecoder, ExecFields, LineLimits};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use tracing::debug;

/// Bounds of a worker's answer.
const ANSWER: LineLimits = LineLimits { line: 2 << 10, body: 64 << 10 };
/// Bytes given to a connection and not yet with its socket, past which requests wait outside; and so many its socket
/// holds that its worker has not taken.
const UNSENT: usize = 64 << 10;

/// Requests that have ended lately, kept for each that may be in hand.
const ENDED: usize = 4;

/// Things due that are done at once.
const BATCH: usize = 32;
/// How long a request that was given up may take to be read: half of what the terms allow an attempt to begin
/// after its client has gone.
const REST_US: Micros = 50_000;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Conn(ConnId),
    Attempt(AttemptId),
    /// A request was given up that its worker may not have read.
    Rest(ConnId, Span),
}

/// A job whose bytes were given to the connection.
struct Open {
    job: Job,
    /// Its bytes among those given to the connection.
    span: Span,
    since: Micros,
}

struct LinkConn {
    worker: WorkerId,
    decoder: AnswerDecoder,
    standing: bool,
    /// It takes no more jobs, and ends once those on it have.
    retired: bool,
    queue: VecDeque<Job>,
    /// By the id on the wire.
    open: HashMap<String, Open>,
    given: Given,
    heard: Micros,
    used: Micros,
    /// Its timer is set: one for each connection, set anew where it comes too early.
    armed: bool,
    /// Nothing has come on it since a request went out that was given up: the system may hold that request still.
    doubted: bool,
}

impl LinkConn {
    fn load(&self) -> usize {
        self.open.len() + self.queue.len()
    }

    /// Takes a request out again of which the socket has nothing.
    fn take_back(&mut self, io: &mut Io, conn: ConnId, id: &str) -> Option<Open> {
        let open = self.open.remove(id)?;
        let others = self.open.values_mut().map(|other| &mut other.span);
        if self.given.take_back(io, conn, open.span, others) {
            return Some(open);
        }
        self.open.insert(id.to_owned(), open);
        None
    }

    /// Takes out again the calls and orders to load of which the socket has nothing.
    fn take_new_work_back(&mut self, io: &mut Io, conn: ConnId) -> Vec<Job> {
        let new = |open: &Open| match open.job {
            Job::Attempt { .. } => true,
            Job::Order { count, .. } => count > 0,
            Job::Probe(_) | Job::Release(_) => false,
        };
        let ids: Vec<_> = self.open.iter().filter(|(_, open)| new(open)).map(|(id, _)| id.clone()).collect();
        ids.iter().filter_map(|id| self.take_back(io, conn, id)).map(|open| open.job).collect()
    }

    /// Takes out again all that waits, and all of which the socket has nothing.
    fn take_all_back(&mut self, io: &mut Io, conn: ConnId) -> Vec<Job> {
        let ids: Vec<_> = self.open.keys().cloned().collect();
        let mut jobs: Vec<_> = ids.iter().filter_map(|id| self.take_back(io, conn, id)).collect();
        jobs.sort_by_key(|open| open.span);
        jobs.into_iter().map(|open| open.job).chain(std::mem::take(&mut self.queue)).collect()
    }
}

struct Worker {
    address: SocketAddr,
    state: WorkerState,
    conns: Vec<ConnId>,
}

/// All links of the loop.
pub struct Links {
    budget: Budget,
    figures: LinkFigures,
    classes: Vec<String>,
    report: Vec<String>,
    workers: BTreeMap<WorkerId, Worker>,
    conns: HashMap<ConnId, LinkConn>,
    /// Where each job with a name is, and its id on the wire.
    jobs: HashMap<Name, (ConnId, String)>,
    due: Timers<Due>,
    recent_ids: RecentIds,
    /// What was given to connections since this was last taken.
    pub written: Vec<Written>,
    /// Connections with output that their sockets may not have.
    unsent: Vec<ConnId>,
    /// Workers whose last connection has ended by itself, or whose only one never stood, since this was last taken.
    pub disconnected: Vec<WorkerId>,
    /// Workers to which a connection was begun while none stood, since this was last taken: nothing would have told of a
    /// restart until then.
    pub first_connected: Vec<WorkerId>,
}

/// An attempt or an order whose bytes were given to a connection.
pub struct Written {
    pub conn: ConnId,
    pub worker: WorkerId,
    pub what: WrittenJob,
}

pub enum WrittenJob {
    Attempt(AttemptId, Arc<Work>),
    Order(FunctionId, u32),
}

impl Links {
    /// Links without connections.
    pub fn new(config: &crate::NodeConfig) -> Self {
        let told = &config.told;
        Self {
            budget: config.budget,
            figures: told.links,
            classes: told.classes.clone(),
            report: told.module.report_names.clone(),
            workers: BTreeMap::new(),
            conns: HashMap::new(),
            jobs: HashMap::new(),
            due: Timers::default(),
            recent_ids: RecentIds::new(config.budget.calls * ENDED),
            written: Vec::new(),
            unsent: Vec::new(),
            disconnected: Vec::new(),
            first_connected: Vec::new(),
        }
    }

    pub fn next_due(&self) -> Option<Micros> {
        self.due.next()
    }

    /// Whether this connection is one to a worker.
    pub fn owns(&self, conn: ConnId) -> bool {
        self.conns.contains_key(&conn)
    }

    // ---- workers -----------------------------------------------------------------------------------------

    /// Takes a list of workers. What has not begun to leave for one that is draining or gone is withdrawn.
    pub fn members(
        &mut self,
        io: &mut Io,
        kind: MembersKind,
        members: &[(Member, SocketAddr)],
        done: &mut Vec<Done>,
    ) {
        if kind == MembersKind::Whole {
            let listed = |w: &WorkerId| members.iter().any(|(m, _)| m.worker == *w);
            let absent: Vec<_> = self.workers.keys().filter(|w| !listed(w)).cloned().collect();
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

    fn set_state(&mut self, io: &mut Io, worker: &WorkerId, state: WorkerState, done: &mut Vec<Done>) {
        let Some(known) = self.workers.get_mut(worker) else { return };
        known.state = state;
        if state == WorkerState::Active {
            return;
        }
        for conn in known.conns.clone() {
            let Some(link) = self.conns.get_mut(&conn) else { continue };
            for job in link.take_all_back(io, conn) {
                name(&job).map(|name| self.jobs.remove(&name));
                done.extend(cut(&job, Code::Moot));
            }
            self.retire(io, conn);
        }
        self.tidy(worker);
    }

    fn tidy(&mut self, worker: &WorkerId) {
        if self.workers.get(worker).is_some_and(|w| w.state == WorkerState::Gone && w.conns.is_empty()) {
            self.workers.remove(worker);
        }
    }

    /// Jobs that these workers have of ours.
    pub fn in_hand(&self, workers: &[&str]) -> usize {
        let there = self.conns.values().filter(|link| workers.contains(&&*link.worker.to_string()));
        there.map(LinkConn::load).sum()
    }

    /// A connection takes no more jobs; it ends at once where none is on it.
    fn retire(&mut self, io: &mut Io, conn: ConnId) {
        let Some(link) = self.conns.get_mut(&conn) else { return };
        link.retired = true;
        if link.load() == 0 {
            self.end(io, conn);
        }
    }

    // ---- jobs --------------------------------------------------------------------------------------------

    /// Begins a job. Gives its end at once where no byte can leave.
    pub fn start(&mut self, io: &mut Io, now: Micros, worker: &WorkerId, job: Job) -> Option<Done> {
        if !self.workers.get(worker).is_some_and(|w| w.state == WorkerState::Active) {
            return cut(&job, Code::Moot);
        }
        self.recent_ids.forget(now);
        let mut spare = true;
        let conn = loop {
            let (take, room) = self.choose(worker, &job, spare);
            match take {
                // The worker's close may have come with what this turn has not read: what is written behind it never
                // runs, and nobody could tell.
                Some(conn) if self.stands(conn) && io.has_ended(conn) => self.retire(io, conn),
                Some(conn) => break conn,
                None if !room => return cut(&job, Code::Full),
                // A lack of descriptors says nothing of the worker: the request shares a connection where it can.
                None => match self.connect(io, now, worker) {
                    Some(conn) => break conn,
                    None => spare = false,
                },
            }
        };
        if let Job::Attempt { id, work, until, .. } = &job {
            work.goes_on(conn);
            self.due.set((*until).max(now), Due::Attempt(*id));
        }
        if let Some(name) = name(&job) {
            self.jobs.insert(name, (conn, wire_id(&job)));
        }
        if let Some(link) = self.conns.get_mut(&conn) {
            link.queue.push_back(job);
            link.used = now;
        }
        self.write(io, now, conn);
        None
    }

    fn stands(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|link| link.standing)
    }

    /// The connection for a job, where there is one, and whether there may be one more; `spare` tells whether
    /// descriptors can be had.
    fn choose(&self, worker: &WorkerId, job: &Job, spare: bool) -> (Option<ConnId>, bool) {
        let held = self.workers.get(worker).map(|known| known.conns.as_slice()).unwrap_or_default();
        let streams = self.figures.streams.max(1);
        let again = |work: &Work, conn| work.went_on(conn) || self.recent_ids.holds(conn, work.number);
        let fresh = |conn: &ConnId| !matches!(job, Job::Attempt { work, .. } if again(work, *conn));
        let link = |conn: &ConnId| self.conns.get(conn).filter(|l| !l.retired && l.load() < streams);
        let open = held.iter().filter(|conn| fresh(conn)).filter_map(|c| Some((*c, link(c)?)));
        // Of those as free as one another the one used last: the others may go.
        let best = open.min_by_key(|(_, l)| (l.load(), !l.standing, std::cmp::Reverse(l.used)));
        // A request has a connection to itself where there are enough: what breaks one breaks all on it.
        let alone = matches!(job, Job::Attempt { .. });
        let each = self.budget.links_each(self.workers.len());
        let room = spare && held.len() < each && self.conns.len() < self.budget.links;
        let take = best.filter(|(_, l)| l.load() == 0 || !alone || !room).map(|(conn, _)| conn);
        (take, room)
    }

    fn connect(&mut self, io: &mut Io, now: Micros, worker: &WorkerId) -> Option<ConnId> {
        let known = self.workers.get_mut(worker)?;
        let conn = io.connect(known.address).ok()?;
        io.bound_system(conn, UNSENT);
        let is_first = known.conns.is_empty();
        known.conns.push(conn);
        self.first_connected.extend(is_first.then(|| worker.clone()));
        let (worker, decoder) = (worker.clone(), AnswerDecoder::new(ANSWER));
        let (standing, retired, queue, open) = (false, false, VecDeque::new(), HashMap::new());
        let (given, heard, used, armed, doubted) = (Given::default(), now, now, true, false);
        let link =
            LinkConn { worker, decoder, standing, retired, queue, open, given, heard, used, armed, doubted };
        debug!(target: "basaltward::link", worker = %link.worker, held = self.conns.len() + 1, "connect");
        self.conns.insert(conn, link);
        self.due.set(now + self.figures.connect_timeout.max(1), Due::Conn(conn));
        Some(conn)
    }

    /// Gives what waits to a connection that stands, as long as its socket takes it.
    fn write(&mut self, io: &mut Io, now: Micros, conn: ConnId) {
        let Some(link) = self.conns.get_mut(&conn).filter(|l| l.standing) else { return };
        while io.unsent(conn) < UNSENT
            && let Some(job) = link.queue.pop_front()
        {
            let id = wire_id(&job);
            let span = link.given.write(io, conn, |out| match &job {
                Job::Attempt { work, function, until, .. } => {
                    let queue = self.classes.get(work.class).map_or("", String::as_str);
                    let budget = (until.saturating_sub(now) / 1_000).max(1);
                    let (path, key) = (function.as_str(), work.key.as_deref());
                    lines::exec(out, &id, ExecFields { queue, path, budget_ms: budget, key }, &work.body);
                }
                Job::Order { function, count, .. } => lines::ensure(out, &id, function.as_str(), *count),
                Job::Probe(_) => lines::load(out, &id),
                Job::Release(function) => lines::release(out, function.as_str()),
            });
            let Some(span) = span else { return link.queue.push_front(job) };
            let what = match &job {
                Job::Attempt { id, work, .. } => Some(WrittenJob::Attempt(*id, work.clone())),
                Job::Order { function, count, .. } => Some(WrittenJob::Order(function.clone(), *count)),
                Job::Probe(_) | Job::Release(_) => None,
            };
            self.written.extend(what.map(|what| Written { conn, worker: link.worker.clone(), what }));
            if !matches!(job, Job::Release(_)) {
                link.open.insert(id, Open { job, span, since: now });
            }
        }
        if !link.queue.is_empty() {
            io.await_drained(conn);
        }
        if !self.unsent.contains(&conn) {
            self.unsent.push(conn);
        }
    }

    /// Takes back the new work of which the socket has nothing and that may begin no more: `until` tells for each worker
    /// until when it may. Called just before output is written, with the time of that moment: what was decided may have
    /// waited for a connection, in an output that is not read, or while the process stood still.
    pub fn take_back_late(
        &mut self,
        io: &mut Io,
        now: Micros,
        until: impl Fn(&WorkerId) -> Option<Micros>,
    ) -> Vec<Done> {
        let mut done = Vec::new();
        let mut unsent = std::mem::take(&mut self.unsent);
        unsent.retain(|conn| io.unsent(*conn) > 0);
        for conn in &unsent {
            let Some(link) = self.conns.get_mut(conn) else { continue };
            if until(&link.worker).is_none_or(|until| now < until) {
                continue;
            }
            for job in link.take_new_work_back(io, *conn) {
                debug!(worker = %link.worker, "taken back: new work may no longer begin there");
                name(&job).map(|name| self.jobs.remove(&name));
                done.extend(cut(&job, Code::Moot));
            }
            self.idle(io, now, *conn);
        }
        self.unsent = unsent;
        done
    }

    /// Calls an attempt off: one of which the socket has nothing is withdrawn and never ran, else the worker is told.
    pub fn abort_attempt(&mut self, io: &mut Io, now: Micros, id: AttemptId) -> Option<Done> {
        self.give_up(io, now, Name::Attempt(id), Code::Cancelled)
    }

    /// Waits no longer for an order or a probe.
    pub fn abort_order(&mut self, io: &mut Io, now: Micros, id: OrderId) {
        self.give_up(io, now, Name::Order(id), Code::Cancelled);
    }

    fn give_up(&mut self, io: &mut Io, now: Micros, of: Name, code: Code) -> Option<Done> {
        let (conn, id) = self.jobs.remove(&of)?;
        let link = self.conns.get_mut(&conn)?;
        let (mut code, mut silent) = (code, false);
        let job = if let Some(at) = link.queue.iter().position(|job| name(job) == Some(of)) {
            code = Code::Moot;
            link.queue.remove(at)?
        } else {
            // Nothing has come on it since the request went out, for as long as it may take to connect anew: the
            // machine behind it may be gone, and new requests would only vanish there too.
            let since = link.open.get(&id)?.since;
            silent = link.heard < since && now >= since + self.figures.connect_timeout;
            if let Some(open) = link.take_back(io, conn, &id) {
                code = Code::Moot;
                open.job
            } else {
                let Open { job, span, .. } = link.open.remove(&id)?;
                if let Job::Attempt { work, .. } = &job {
                    self.recent_ids.note(now, conn, work.number);
                    link.doubted |= link.heard < since;
                    // A socket that takes nothing more tells at once that its worker does not read, else its silence does.
                    let stuck = io.is_stuck(conn);
                    if stuck || link.doubted {
                        let at = if stuck { now } else { since + self.figures.connect_timeout };
                        self.due.set(at.max(now) + REST_US, Due::Rest(conn, span));
                    }
                    link.given.write(io, conn, |out| lines::drop_request(out, &id));
                }
                job
            }
        };
        if silent && matches!(job, Job::Attempt { .. }) {
            self.retire(io, conn);
        } else if let Some(link) = self.conns.get_mut(&conn) {
            link.used = now;
            self.idle(io, now, conn);
        }
        cut(&job, code)
    }

    /// A connection on which a job has ended goes, or is kept for the next.
    fn idle(&mut self, io: &mut Io, now: Micros, conn: ConnId) {
        let idle = self.figures.idle_close / 2;
        let Some(link) = self.conns.get_mut(&conn).filter(|l| l.load() == 0) else { return };
        if link.retired {
            self.end(io, conn);
        } else if idle > 0 && !std::mem::replace(&mut link.armed, true) {
            // Before the worker does: a request that crosses its close may have run.
            self.due.set(now + idle, Due::Conn(conn));
        }
    }

    /// Ends a connection on which nothing is waited for. Its descriptor goes at once: beside those of the connections
    /// that may stand there is no room for others that wait for their workers. What the system may still hold of a
    /// request that was given up goes with it, or it would begin whenever the worker is back.
    fn end(&mut self, io: &mut Io, conn: ConnId) {
        match self.conns.get(&conn).is_some_and(|link| link.doubted) {
            true => io.leave_by_reset(conn),
            false => io.leave(conn),
        }
        self.forget(conn);
    }

    /// A request was given up a moment ago that its worker may not have read. Where the socket still has not taken the
    /// rest of it, or the worker is as silent as before and takes nothing more or has nothing else of ours, the connection
    /// is reset, and with it what else is on it: that request would begin with nobody waiting for it.
    fn end_unless_read(&mut self, io: &mut Io, conn: ConnId, of: Span, done: &mut Vec<Done>) {
        let Some(link) = self.conns.get(&conn) else { return };
        let has_left = link.given.part(io, conn, of) == Part::Whole;
        let is_unread = link.doubted && (io.is_stuck(conn) || link.load() == 0);
        if !has_left || is_unread {
            debug!(worker = %link.worker, "reset: a request that was given up has not been read");
            self.cut_off(io, conn, Code::Reset, Io::reset, done);
        }
    }

    /// Drops all that is known of a connection; gives it.
    fn forget(&mut self, conn: ConnId) -> Option<LinkConn> {
        let link = self.conns.remove(&conn)?;
        if let Some(known) = self.workers.get_mut(&link.worker) {
            known.conns.retain(|c| *c != conn);
        }
        self.tidy(&link.worker.clone());
        Some(link)
    }

    // ---- what happens on connections ---------------------------------------------------------------------

    /// A connection stands.
    pub fn connected(&mut self, io: &mut Io, now: Micros, conn: ConnId) {
        if let Some(link) = self.conns.get_mut(&conn) {
            (link.standing, link.heard) = (true, now);
        }
        self.write(io, now, conn);
    }

    /// Output that had waited is written.
    pub fn drained(&mut self, io: &mut Io, now: Micros, conn: ConnId) {
        self.write(io, now, conn);
    }

    /// Bytes have come.
    pub fn data(&mut self, io: &mut Io, now: Micros, conn: ConnId, done: &mut Vec<Done>) {
        loop {
            let Some(link) = self.conns.get_mut(&conn) else { return };
            let Some(input) = io.input(conn) else { return };
            (link.heard, link.doubted) = (now, false);
            match link.decoder.next(input) {
                Ok(Some(reply)) => {
                    // Under an id that nobody waits for, or no longer: a second copy, or an answer to what was
                    // given up. It is whole, so what follows can be read.
                    let Some(open) = link.open.remove(&reply.id) else { continue };
                    if let Job::Attempt { work, .. } = &open.job {
                        self.recent_ids.note(now, conn, work.number);
                    }
                    link.used = now;
                    let worker = link.worker.clone();
                    name(&open.job).map(|name| self.jobs.remove(&name));
                    if let Job::Order { function, count, .. } = &open.job {
                        let (worker, code) = (&worker, reply.word);
                        let took_us = now.saturating_sub(open.since);
                        let stand = reply.slots_up;
                        debug!(target: "basaltward::load", %worker, %function, count, ?code, stand, took_us, "load");
                    }
                    done.extend(answered(&open.job, reply, &self.report));
                    self.idle(io, now, conn);
                }
                Ok(None) => {
                    io.release_input(conn);
                    return io.pause(conn, false);
                }
                Err(why) => {
                    debug!(worker = %link.worker, %why, "answer can't be read");
                    return self.break_off(io, conn, Code::Reset, done);
                }
            }
        }
    }

    /// A connection has ended, by the worker or on the way.
    pub fn ended(&mut self, io: &mut Io, conn: ConnId, how: End, done: &mut Vec<Done>) {
        let code = if how == End::ConnectFailed { Code::ConnectFailed } else { Code::Reset };
        let worker = self.conns.get(&conn).map(|link| link.worker.clone());
        self.break_off(io, conn, code, done);
        self.disconnected.extend(worker.filter(|worker| !self.is_connected(worker)));
    }

    /// Whether a connection to a worker stands.
    fn is_connected(&self, worker: &WorkerId) -> bool {
        let held = self.workers.get(worker).map(|known| known.conns.as_slice()).unwrap_or_default();
        held.iter().any(|conn| self.stands(*conn))
    }

    /// Ends a connection and all that is on it: what was not written whole never ran.
    fn break_off(&mut self, io: &mut Io, conn: ConnId, code: Code, done: &mut Vec<Done>) {
        self.cut_off(io, conn, code, Io::abort, done);
    }

    /// As [`Links::break_off`]; how the socket is closed is told.
    fn cut_off(
        &mut self,
        io: &mut Io,
        conn: ConnId,
        code: Code,
        close: impl FnOnce(&mut Io, ConnId),
        done: &mut Vec<Done>,
    ) {
        let Some(link) = self.forget(conn) else { return };
        let never = if code == Code::ConnectFailed { code } else { Code::Moot };
        let mut open: Vec<_> = link.open.into_values().collect();
        open.sort_by_key(|open| open.span);
        let mut how = |of| if link.given.part(io, conn, of) == Part::Whole { code } else { never };
        let ends: Vec<_> = open.into_iter().map(|open| (how(open.span), open.job)).collect();
        close(io, conn);
        for (code, job) in ends.into_iter().chain(link.queue.into_iter().map(|job| (never, job))) {
            name(&job).map(|name| self.jobs.remove(&name));
            done.extend(cut(&job, code));
        }
    }

    /// Does what is due: connections that do not stand, idle ones, attempts out of time. No more than a small
    /// number, so that answers that become due meanwhile go in between; [`Links::next_due`] tells of the rest.
    pub fn wake(&mut self, io: &mut Io, now: Micros, done: &mut Vec<Done>) {
        for _ in 0..BATCH {
            let Some((_, due)) = self.due.due(now) else { return };
            match due {
                Due::Attempt(id) => done.extend(self.give_up(io, now, Name::Attempt(id), Code::Timeout)),
                Due::Rest(conn, of) => self.end_unless_read(io, conn, of, done),
                Due::Conn(conn) => {
                    let idle = self.figures.idle_close / 2;
                    let Some(link) = self.conns.get_mut(&conn) else { continue };
                    link.armed = false;
                    if !link.standing {
                        self.break_off(io, conn, Code::ConnectFailed, done);
                    } else if link.load() > 0 || idle == 0 {
                        // Set again once it is idle.
                    } else if link.used + idle <= now {
                        self.end(io, conn);
                    } else {
                        link.armed = true;
                        let at = link.used + idle;
                        self.due.set(at, Due::Conn(conn));
                    }
                }
            }
        }
    }
}
