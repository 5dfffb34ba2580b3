//! The CloudEvents front: clients' connections, their requests turned into calls, answers written back.

use crate::problem::Problem;
use crate::worker_wire::Reply;
use basaltward::{Micros, Repeat};
use basaltward_cloudevents::{
    Attribute, BATCH, Event, Incoming, Mode, STRUCTURED, accepted_mode, from_json, read, to_json,
    write_binary_fields,
};
use basaltward_config::Config;
use basaltward_engine::{Answer, Function, Identity, NewCall, WaiterId};
use basaltward_http::{Body, Decoded, HeadWriter, Limits, Method, Request, RequestDecoder};
use basaltward_net::{ConnId, Io};
use basaltward_pending::Accepted;
use basaltward_timers::Timers;
use bytes::BytesMut;
use slab::Slab;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// Extension attributes that the gateway reads.
pub mod extensions {
    /// The client's remaining patience in milliseconds, bounded by the class's deadline.
    pub const TIMEOUT: &str = "timeoutms";
    /// The tenant's name.
    pub const TENANT: &str = "tenant";
    /// How often a call was handed from one site to another: 1 at most.
    pub const HOPS: &str = "hops";
    /// The gateway that handed it over.
    pub const HANDED_BY: &str = "handedby";
    /// On a reply: `false` where its class keeps events and nobody could hold this one.
    pub const KEPT: &str = "kept";
    /// In a batch of answers: `served`, `refused` or `failed`.
    pub const OUTCOME: &str = "outcome";
    /// In a batch of answers: the HTTP status that the event alone would have got.
    pub const STATUS: &str = "status";
}

/// A waiter's id: the loop's number, a running number, the slot.
const SLOT_MASK: u64 = (1 << 24) - 1;
const THREAD_SHIFT: u32 = 56;

fn waiter_id(thread: usize, given: u64, slot: usize) -> WaiterId {
    WaiterId(
        (thread as u64) << THREAD_SHIFT | (given << 24) & ((1 << THREAD_SHIFT) - 1) | slot as u64 & SLOT_MASK,
    )
}

/// The number of the loop at which someone waits.
pub fn loop_of_waiter(waiter: WaiterId) -> usize {
    (waiter.0 >> THREAD_SHIFT) as usize
}

/// What one event of a request came to, with the event.
type EventAnswer = (Result<Reply, Problem>, Arc<Event>);

/// A request whose answers are awaited.
struct RequestInProgress {
    mode: Mode,
    keep_alive: bool,
    /// Answers still missing.
    missing_answers: usize,
    answers: Vec<Option<EventAnswer>>,
    waiters: Vec<WaiterId>,
}

struct Client {
    decoder: RequestDecoder,
    in_progress: Option<RequestInProgress>,
    /// It stands among those whose input is to be looked at.
    is_queued: bool,
    /// When the first byte of the request now arriving came.
    request_began: Option<Micros>,
    /// When patience with the peer ends: for the head, the body, or while idle.
    expires_at: Micros,
    /// The timer that is set for it. It is moved only to an earlier time: one that comes too early is set
    /// anew, so that a connection has a few timers and not one for each of its requests.
    timer_at: Micros,
}

/// Who waits, and for which event; the log line of a call is made of it.
pub struct Waiter {
    /// Its whole id: an answer to one who had this slot before is not taken for its own.
    id: WaiterId,
    conn: ConnId,
    index: usize,
    /// The event.
    pub event: Arc<Event>,
    /// Its function.
    pub function: Arc<Function>,
    /// What its class allows.
    repeat: Repeat,
    /// When its request began to arrive.
    pub began: Micros,
}

/// Where a client's request leads.
pub enum NextRequest {
    /// Calls for the engine.
    Calls(Vec<NewCall<Event>>),
    /// Answered already.
    AnsweredDirectly,
}

/// The front of one loop.
pub struct Front {
    limits: Limits,
    max_batch: usize,
    max_unsent: usize,
    timeouts: (Micros, Micros, Micros),
    /// Every function that may be called, with its class's deadline.
    functions: BTreeMap<String, (Arc<Function>, Micros)>,
    /// What each class allows.
    repeats: Vec<Repeat>,
    tenants: Vec<String>,
    clients: HashMap<ConnId, Client>,
    /// This loop's number among those of the gateway; part of each waiter's id.
    thread: usize,
    waiters_created: u64,
    waiters: Slab<Waiter>,
    timers: Timers<ConnId>,
    /// Connections whose input is to be looked at, with when it came: each at most once.
    ready: VecDeque<(Micros, ConnId)>,
    stopping: bool,
}

impl Front {
    /// A front without clients.
    pub fn new(config: &Config, thread: usize) -> Self {
        let front = &config.front;
        let function = |f: &basaltward_config::FunctionConfig| Function {
            name: f.name.clone(),
            class: f.class,
            memory_mb: f.memory_mb,
            lanes: f.lanes,
            load_time: f.load,
        };
        let deadline = |c: usize| config.module.classes[c].deadline;
        let functions = config.functions.iter();
        let functions = functions.map(|f| (f.name.to_string(), (Arc::new(function(f)), deadline(f.class))));
        Self {
            limits: Limits {
                line: front.line_bytes,
                head: front.head_bytes,
                fields: front.fields,
                body: front.body_bytes,
            },
            max_batch: front.batch,
            max_unsent: front.unsent_bytes,
            timeouts: (front.head, front.body, front.idle),
            functions: functions.collect(),
            repeats: config.module.classes.iter().map(|c| c.repeat).collect(),
            tenants: config.tenants.clone(),
            clients: HashMap::new(),
            thread,
            waiters_created: 0,
            waiters: Slab::new(),
            timers: Timers::default(),
            ready: VecDeque::new(),
            stopping: false,
        }
    }

    /// When [`Front::wake`] is due next.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.next_due()
    }

    /// Clients connected.
    pub fn clients(&self) -> usize {
        self.clients.len()
    }

    /// A client has connected.
    pub fn client_connected(&mut self, now: Micros, conn: ConnId) {
        let until = now + self.timeouts.2;
        let decoder = RequestDecoder::new(self.limits);
        let client = Client {
            decoder,
            in_progress: None,
            is_queued: false,
            request_began: None,
            expires_at: until,
            timer_at: Micros::MAX,
        };
        self.clients.insert(conn, client);
        self.set_timeout(conn, until);
    }

    /// Patience with a connection's peer ends at this time, until told otherwise.
    fn set_timeout(&mut self, conn: ConnId, until: Micros) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.expires_at = until;
        if until < client.timer_at {
            client.timer_at = until;
            self.timers.set(until, conn);
        }
    }

    /// A client's connection has ended: who waited on it.
    pub fn client_disconnected(&mut self, conn: ConnId) -> Vec<WaiterId> {
        let busy = self.clients.remove(&conn).and_then(|c| c.in_progress);
        let waiters = busy.map(|b| b.waiters).unwrap_or_default();
        waiters.into_iter().filter(|w| self.take_waiter(*w).is_some()).collect()
    }

    /// Bytes have come, or may have while the connection was busy: it is looked at in its turn.
    pub fn input_arrived(&mut self, now: Micros, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        if client.in_progress.is_none() {
            // The request's time runs from here, also while it waits to be looked at.
            client.request_began.get_or_insert(now);
        }
        if !std::mem::replace(&mut client.is_queued, true) {
            self.ready.push_back((now, conn));
        }
    }

    /// Since when the oldest input waits to be looked at.
    pub fn oldest_input(&self) -> Option<Micros> {
        self.ready.front().map(|(came, _)| *came)
    }

    /// Takes the connection that waited longest to be looked at.
    pub fn pop_queued(&mut self) -> Option<ConnId> {
        let (_, conn) = self.ready.pop_front()?;
        if let Some(client) = self.clients.get_mut(&conn) {
            client.is_queued = false;
        }
        Some(conn)
    }

    /// Takes the next request of a connection, if it is all there and the one before is answered.
    pub fn next_request(&mut self, io: &mut Io, now: Micros, conn: ConnId) -> Option<NextRequest> {
        let unsent = io.unsent(conn);
        let client = self.clients.get_mut(&conn)?;
        if client.in_progress.is_some() || unsent > self.max_unsent {
            return None;
        }
        let input = io.input(conn)?;
        let decoded = client.decoder.decode(input);
        let (within, within_body) = (client.decoder.within_message(input), client.decoder.within_body());
        match decoded {
            Ok(Decoded::Message(request)) => {
                io.release_input(conn);
                let began = client.request_began.take().unwrap_or(now);
                Some(self.request(io, now, conn, &request, began))
            }
            Ok(told) => {
                if !within {
                    client.request_began = None;
                } else {
                    // Past the head the body has a time of its own, on top.
                    let began = *client.request_began.get_or_insert(now);
                    let until = began + self.timeouts.0 + if within_body { self.timeouts.1 } else { 0 };
                    self.set_timeout(conn, until);
                }
                io.pause(conn, false);
                if let (Decoded::Continue, Some(out)) = (told, io.output(conn)) {
                    HeadWriter::response(out, 100).body(Body::None);
                }
                None
            }
            Err(error) => {
                let problem = Problem::rejected(error.status(), error.to_string());
                self.refuse_connection(io, conn, &problem);
                None
            }
        }
    }

    /// Answers with a problem and closes: what follows on the connection can't be read.
    fn refuse_connection(&mut self, io: &mut Io, conn: ConnId, problem: &Problem) {
        if let Some(out) = io.output(conn) {
            write_problem(out, problem, false, false);
        }
        self.clients.remove(&conn);
        io.close(conn);
    }

    fn request(
        &mut self,
        io: &mut Io,
        now: Micros,
        conn: ConnId,
        request: &Request,
        began: Micros,
    ) -> NextRequest {
        let keep_alive = request.keep_alive() && !self.stopping;
        match self.calls(conn, request, began) {
            Ok((mode, calls)) => {
                let waiters: Vec<_> = calls.iter().map(|c| c.waiter).collect();
                let answers = calls.iter().map(|_| None).collect();
                let busy =
                    RequestInProgress { mode, keep_alive, missing_answers: calls.len(), answers, waiters };
                let empty = calls.is_empty();
                if let Some(client) = self.clients.get_mut(&conn) {
                    client.in_progress = Some(busy);
                    client.expires_at = Micros::MAX;
                }
                if empty {
                    self.write_answer(io, now, conn);
                    return NextRequest::AnsweredDirectly;
                }
                NextRequest::Calls(calls)
            }
            Err(problem) => {
                if let Some(out) = io.output(conn) {
                    write_problem(out, &problem, keep_alive, request.method == Method::Head);
                }
                self.await_next_request(io, now, conn, keep_alive);
                NextRequest::AnsweredDirectly
            }
        }
    }

    /// The events of a request as calls, all or none.
    fn calls(
        &mut self,
        conn: ConnId,
        request: &Request,
        began: Micros,
    ) -> Result<(Mode, Vec<NewCall<Event>>), Problem> {
        let path = request.target().split('?').next().unwrap_or_default();
        let named = match path.strip_prefix("/functions/") {
            Some(name) if !name.is_empty() && !name.contains('/') => Some(name),
            _ if path == "/" => None,
            _ => return Err(Problem::rejected(404, "no such path: POST to /functions/NAME or to /")),
        };
        if request.method != Method::Post {
            return Err(Problem::rejected(405, "calls are made with POST"));
        }
        let read = read(&request.headers, request.body.clone(), self.max_batch);
        let (mode, incoming) = read.map_err(|error| Problem::rejected(error.status(), error.to_string()))?;
        let events = match incoming {
            Incoming::One(event) => vec![event],
            Incoming::Batch(events) => events,
        };
        let many = mode == Mode::Batch;
        let mut calls = Vec::with_capacity(events.len());
        for (index, event) in events.into_iter().enumerate() {
            match self.one_call(event, named, began) {
                Ok(call) => calls.push(call),
                Err(problem) if many => {
                    let detail =
                        format!("event {index} of the batch, of which none was taken: {}", problem.detail);
                    return Err(Problem { detail, ..problem });
                }
                Err(problem) => return Err(problem),
            }
        }
        let answer = match (mode, accepted_mode(&request.headers)) {
            (Mode::Batch, _) => Mode::Batch,
            (mode, told) => told.unwrap_or(mode),
        };
        for (index, call) in calls.iter_mut().enumerate() {
            let (event, function) = (call.payload.clone(), call.function.clone());
            let repeat = self.repeat_of(&function);
            self.waiters_created += 1;
            let id = waiter_id(self.thread, self.waiters_created, self.waiters.vacant_key());
            call.waiter = id;
            self.waiters.insert(Waiter { id, conn, index, event, function, repeat, began });
        }
        Ok((answer, calls))
    }

    fn one_call(&self, event: Event, named: Option<&str>, began: Micros) -> Result<NewCall<Event>, Problem> {
        let Some(name) = named.or(event.subject.as_deref()) else {
            return Err(Problem::rejected(400, "name the function in the path or in the event's subject"));
        };
        let Some((function, deadline)) = self.functions.get(name) else {
            return Err(Problem::rejected(404, format!("function {name:?} is not known here")));
        };
        let patience = match event.extension(extensions::TIMEOUT) {
            None => *deadline,
            Some(told) => match told.to_string().parse::<u64>() {
                Ok(ms) if ms > 0 => ms.saturating_mul(1_000).min(*deadline),
                _ => return Err(Problem::rejected(400, "timeoutms must be a whole number above 0")),
            },
        };
        let tenant = match (event.extension(extensions::TENANT), self.tenants.is_empty()) {
            (_, true) => 0,
            (None, false) => return Err(Problem::rejected(400, "the extension tenant is required here")),
            (Some(told), false) => {
                let told = if let Attribute::Text(text) = told { text.as_str() } else { "" };
                let known = self.tenants.iter().position(|t| t == told);
                known.ok_or_else(|| Problem::rejected(400, format!("tenant {told:?} is not known here")))?
            }
        };
        let identity = Identity {
            tenant,
            function: function.name.clone(),
            source: event.source.as_str().into(),
            id: event.id.as_str().into(),
        };
        let (deadline, payload) = (began + patience, Arc::new(event));
        Ok(NewCall { waiter: WaiterId(0), identity, function: function.clone(), deadline, payload })
    }

    /// A kept event of a lost site as a call that no client waits for; nothing where its function is not known here or
    /// its event can't be read.
    pub fn call_of_lost_site(
        &mut self,
        pending: &Accepted,
        (now, wall): (Micros, u64),
    ) -> Option<NewCall<Event>> {
        let event = from_json(&pending.event).ok()?;
        let (function, _) = self.functions.get(pending.function.as_str())?;
        let identity = Identity {
            tenant: usize::from(pending.tenant),
            function: function.name.clone(),
            source: event.source.as_str().into(),
            id: event.id.as_str().into(),
        };
        self.waiters_created += 1;
        // No client has the last slot.
        let waiter = waiter_id(self.thread, self.waiters_created, SLOT_MASK as usize);
        let deadline = now + pending.deadline.saturating_sub(wall) * 1_000;
        Some(NewCall { waiter, identity, function: function.clone(), deadline, payload: Arc::new(event) })
    }

    fn take_waiter(&mut self, waiter: WaiterId) -> Option<Waiter> {
        let slot = (waiter.0 & SLOT_MASK) as usize;
        self.waiters.get(slot).filter(|w| w.id == waiter)?;
        self.waiters.try_remove(slot)
    }

    /// What the class of a function allows.
    pub fn repeat_of(&self, function: &Function) -> Repeat {
        self.repeats[function.class]
    }

    /// The function of this name, where one may be called.
    pub fn function(&self, name: &str) -> Option<&Arc<Function>> {
        self.functions.get(name).map(|(function, _)| function)
    }

    /// Takes the engine's final answer for one event. Gives what the log line needs, and whether the
    /// connection is free for its next request.
    pub fn answer(
        &mut self,
        io: &mut Io,
        now: Micros,
        waiter: WaiterId,
        answer: Answer<Reply>,
    ) -> Option<(Waiter, u16, Option<ConnId>)> {
        let waiting = self.take_waiter(waiter)?;
        let conn = waiting.conn;
        let answer = match answer {
            Answer::Served(reply) => Ok(reply),
            Answer::Refused(why, wait) => Err(Problem::refused(why, wait)),
            Answer::Failed(why) => Err(Problem::failed(why, waiting.repeat)),
        };
        let status = answer.as_ref().map_or_else(|p| p.status, |_| 200);
        let busy = self.clients.get_mut(&conn).and_then(|c| c.in_progress.as_mut())?;
        busy.missing_answers -= 1;
        busy.answers[waiting.index] = Some((answer, waiting.event.clone()));
        let whole = busy.missing_answers == 0;
        if whole {
            self.write_answer(io, now, conn);
        }
        Some((waiting, status, whole.then_some(conn)))
    }

    /// Writes the answer of a request whose every event has one.
    fn write_answer(&mut self, io: &mut Io, now: Micros, conn: ConnId) {
        let Some(busy) = self.clients.get_mut(&conn).and_then(|c| c.in_progress.take()) else { return };
        let keep_alive = busy.keep_alive && !self.stopping;
        if let Some(out) = io.output(conn) {
            let mut answers = busy.answers.into_iter().flatten();
            match (busy.mode, answers.next()) {
                (Mode::Batch, first) => write_batch(out, first.into_iter().chain(answers), keep_alive),
                (mode, Some((Ok(reply), _))) => write_reply(out, &reply.0, mode, keep_alive),
                (_, Some((Err(problem), _))) => write_problem(out, &problem, keep_alive, false),
                (_, None) => {}
            }
        }
        self.await_next_request(io, now, conn, keep_alive);
    }

    fn await_next_request(&mut self, io: &mut Io, now: Micros, conn: ConnId, keep_alive: bool) {
        if !keep_alive {
            self.clients.remove(&conn);
            return io.close(conn);
        }
        self.set_timeout(conn, now + self.timeouts.2);
        io.pause(conn, false);
    }

    /// Ends connections whose patience is over: idle ones silently, slow senders with 408.
    pub fn wake(&mut self, io: &mut Io, now: Micros) {
        while let Some((at, conn)) = self.timers.pop_due(now) {
            let Some(client) = self.clients.get_mut(&conn).filter(|c| c.timer_at == at) else { continue };
            client.timer_at = Micros::MAX;
            if client.in_progress.is_some() || client.expires_at > now {
                let until = client.expires_at;
                if client.in_progress.is_none() {
                    self.set_timeout(conn, until);
                }
                continue;
            }
            if client.request_began.is_some() {
                let problem = Problem::rejected(408, "the request did not arrive in time");
                self.refuse_connection(io, conn, &problem);
            } else if io.unsent(conn) > 0 {
                // It does not read its answer.
                self.clients.remove(&conn);
                io.abort(conn);
            } else {
                self.clients.remove(&conn);
                io.close(conn);
            }
        }
    }

    /// From now on each connection ends with its answer; idle ones end at once.
    pub fn stop(&mut self, io: &mut Io) {
        self.stopping = true;
        let idle = |c: &Client| c.in_progress.is_none() && c.request_began.is_none();
        let idle: Vec<_> = self.clients.iter().filter(|(_, c)| idle(c)).map(|(id, _)| *id).collect();
        for conn in idle {
            self.clients.remove(&conn);
            io.close(conn);
        }
    }
}

fn connection_field(head: HeadWriter, keep_alive: bool) -> HeadWriter {
    if keep_alive { head } else { head.field("Connection", "close") }
}

fn write_problem(out: &mut BytesMut, problem: &Problem, keep_alive: bool, head_only: bool) {
    let body = problem.body();
    let head = HeadWriter::response(out, problem.status).field("Content-Type", "application/problem+json");
    let head = match problem.retry_after {
        Some(seconds) => head.shown("Retry-After", seconds),
        None => head,
    };
    let head = if problem.status == 405 { head.field("Allow", "POST") } else { head };
    let body = if head_only { Body::Length(body.len()) } else { Body::Whole(&body) };
    connection_field(head, keep_alive).body(body);
}

fn write_reply(out: &mut BytesMut, event: &Event, mode: Mode, keep_alive: bool) {
    let head = connection_field(HeadWriter::response(out, 200), keep_alive);
    match mode {
        Mode::Binary => write_binary_fields(event, head).body(Body::Whole(&event.data)),
        _ => {
            let mut body = Vec::with_capacity(event.data.len() + 256);
            to_json(event, &mut body);
            head.field("Content-Type", STRUCTURED).body(Body::Whole(&body));
        }
    }
}

/// Each event's answer as an event of the batch, in the order asked; problems as events that hold them.
fn write_batch(out: &mut BytesMut, answers: impl Iterator<Item = EventAnswer>, keep_alive: bool) {
    let mut body = vec![b'['];
    for (index, (answer, asked)) in answers.enumerate() {
        if index > 0 {
            body.push(b',');
        }
        let (event, outcome, status) = match answer {
            Ok(reply) => (Event::clone(&reply.0), "served", 200),
            Err(problem) => {
                let mut event = Event::new(&*asked.id, &*asked.source, "basaltward.problem");
                event.content_type = Some("application/problem+json".into());
                event.data = problem.body().into();
                (event, problem.outcome, i32::from(problem.status))
            }
        };
        let event = event
            .with(extensions::OUTCOME, Attribute::Text(outcome.into()))
            .with(extensions::STATUS, Attribute::Integer(status));
        to_json(&event, &mut body);
    }
    body.push(b']');
    let head = HeadWriter::response(out, 200).field("Content-Type", BATCH);
    connection_field(head, keep_alive).body(Body::Whole(&body));
}
