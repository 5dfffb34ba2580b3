//! The CloudEvents front end: manages clients' connections, turns their requests into calls, and writes the answers.

use crate::problem::Problem;
use crate::worker_wire::Reply;
use basaltward::{Micros, Repeat};
use basaltward_cloudevents::{
    Attribute, BATCH, Event, Incoming, Mode, STRUCTURED, accepted_mode, from_http, from_json, to_json,
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

/// CloudEvents extension attributes that the gateway reads or sets.
pub mod extensions {
    /// The time in milliseconds for which the client waits, limited by the class's deadline.
    pub const TIMEOUT: &str = "timeoutms";
    /// The tenant's name.
    pub const TENANT: &str = "tenant";
    /// How often a call was handed over from one site to another: at most 1.
    pub const HOPS: &str = "hops";
    /// The gateway that handed the call over.
    pub const HANDED_BY: &str = "handedby";
    /// On a reply: `false` if events of its class are replicated and this one could not be.
    pub const KEPT: &str = "kept";
    /// In a batch of answers: `served`, `refused` or `failed`.
    pub const OUTCOME: &str = "outcome";
    /// In a batch of answers: the HTTP status that the event would have got on its own.
    pub const STATUS: &str = "status";
}

/// A waiter's id consists of the loop's index (8 bits), a sequence number (32 bits) and the slot (24 bits). This
/// masks the slot.
const SLOT_MASK: u64 = (1 << 24) - 1;
/// Position of the loop's index in a waiter's id.
const THREAD_SHIFT: u32 = 56;

fn waiter_id(thread: usize, sequence: u64, slot: usize) -> WaiterId {
    WaiterId(
        (thread as u64) << THREAD_SHIFT
            | (sequence << 24) & ((1 << THREAD_SHIFT) - 1)
            | slot as u64 & SLOT_MASK,
    )
}

/// The index of the loop at which a client waits.
pub fn loop_of_waiter(waiter: WaiterId) -> usize {
    (waiter.0 >> THREAD_SHIFT) as usize
}

/// The answer to one event of a request, with the event.
type EventAnswer = (Result<Reply, Problem>, Arc<Event>);

/// A request that waits for the answers to its events.
struct RequestInProgress {
    /// Encoding of the response.
    mode: Mode,
    keep_alive: bool,
    /// Number of events without an answer.
    missing_answers: usize,
    answers: Vec<Option<EventAnswer>>,
    waiters: Vec<WaiterId>,
}

/// A client's connection.
struct Client {
    decoder: RequestDecoder,
    in_progress: Option<RequestInProgress>,
    /// The connection is in the queue of those with unread input.
    is_queued: bool,
    /// Arrival of the first byte of the request that is being received.
    request_began: Option<Micros>,
    /// Timeout of the connection: for the request head, the body, or while idle.
    expires_at: Micros,
    /// Time of the timer that is set. It is only moved to an earlier time; a timer that fires before `expires_at` is
    /// set again, so that a connection has a few timers instead of one for each request.
    timer_at: Micros,
}

/// A client's wait for the answer to one event, with the data for the log line of the call.
pub struct Waiter {
    /// The whole id, by which an answer to a previous waiter of the same slot is rejected.
    id: WaiterId,
    conn: ConnId,
    /// Position of the event in its request.
    index: usize,
    /// The event.
    pub event: Arc<Event>,
    /// Its function.
    pub function: Arc<Function>,
    /// Whether calls of its class may run again.
    repeat: Repeat,
    /// Arrival of the first byte of its request.
    pub began: Micros,
}

/// The result of reading a client's request.
pub enum NextRequest {
    /// Calls for the engine.
    Calls(Vec<NewCall<Event>>),
    /// The request has been answered already.
    AnsweredDirectly,
}

/// The front end of one loop.
pub struct Front {
    limits: Limits,
    max_batch: usize,
    /// No further request is read while more than this many bytes of responses are unsent.
    max_unsent: usize,
    /// Timeout of the request head, from its first byte.
    head_timeout: Micros,
    /// Additional timeout of the request body.
    body_timeout: Micros,
    /// Timeout of an idle connection.
    idle_timeout: Micros,
    /// Every function that may be called, with its class's deadline.
    functions: BTreeMap<String, (Arc<Function>, Micros)>,
    /// Whether calls may run again, by class.
    repeats: Vec<Repeat>,
    tenants: Vec<String>,
    clients: HashMap<ConnId, Client>,
    /// This loop's index; part of each waiter's id.
    thread: usize,
    waiters_created: u64,
    waiters: Slab<Waiter>,
    timers: Timers<ConnId>,
    /// Connections with unread input and its time of arrival, each connection at most once.
    ready: VecDeque<(Micros, ConnId)>,
    stopping: bool,
}

impl Front {
    /// A front end without clients.
    pub fn new(config: &Config, thread: usize) -> Self {
        let front = &config.client_limits;
        let function = |f: &basaltward_config::FunctionConfig| Function {
            name: f.name.clone(),
            class: f.class,
            memory_mb: f.memory_mb,
            lanes: f.lanes,
            load_time: f.load_time,
        };
        let deadline = |c: usize| config.controller.classes[c].deadline;
        let functions = config.functions.iter();
        let functions = functions.map(|f| (f.name.to_string(), (Arc::new(function(f)), deadline(f.class))));
        Self {
            limits: Limits {
                start_line: front.line_bytes,
                head: front.head_bytes,
                fields: front.header_fields,
                body: front.body_bytes,
            },
            max_batch: front.batch_events,
            max_unsent: front.unsent_bytes,
            head_timeout: front.head_timeout,
            body_timeout: front.body_timeout,
            idle_timeout: front.idle_timeout,
            functions: functions.collect(),
            repeats: config.controller.classes.iter().map(|c| c.repeat).collect(),
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

    /// Number of connected clients.
    pub fn clients(&self) -> usize {
        self.clients.len()
    }

    /// A client has connected.
    pub fn client_connected(&mut self, now: Micros, conn: ConnId) {
        let until = now + self.idle_timeout;
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

    /// Sets the timeout of a connection.
    fn set_timeout(&mut self, conn: ConnId, until: Micros) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.expires_at = until;
        if until < client.timer_at {
            client.timer_at = until;
            self.timers.set(until, conn);
        }
    }

    /// A client's connection has ended. Returns the waiters on it.
    pub fn client_disconnected(&mut self, conn: ConnId) -> Vec<WaiterId> {
        let request = self.clients.remove(&conn).and_then(|c| c.in_progress);
        let waiters = request.map(|r| r.waiters).unwrap_or_default();
        waiters.into_iter().filter(|w| self.take_waiter(*w).is_some()).collect()
    }

    /// Bytes have arrived, or may have arrived while a request was in progress: queues the connection for reading.
    pub fn input_arrived(&mut self, now: Micros, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        if client.in_progress.is_none() {
            // The request's time runs from here, also while the connection is queued.
            client.request_began.get_or_insert(now);
        }
        if !std::mem::replace(&mut client.is_queued, true) {
            self.ready.push_back((now, conn));
        }
    }

    /// Arrival of the oldest unread input.
    pub fn oldest_input(&self) -> Option<Micros> {
        self.ready.front().map(|(arrived, _)| *arrived)
    }

    /// Takes the connection that has been queued longest.
    pub fn pop_queued(&mut self) -> Option<ConnId> {
        let (_, conn) = self.ready.pop_front()?;
        if let Some(client) = self.clients.get_mut(&conn) {
            client.is_queued = false;
        }
        Some(conn)
    }

    /// Takes the next request of a connection if it has arrived completely and the previous one is answered.
    pub fn next_request(&mut self, io: &mut Io, now: Micros, conn: ConnId) -> Option<NextRequest> {
        let unsent = io.unsent(conn);
        let client = self.clients.get_mut(&conn)?;
        if client.in_progress.is_some() || unsent > self.max_unsent {
            return None;
        }
        let input = io.input(conn)?;
        let decoded = client.decoder.decode(input);
        let (has_partial, in_body) =
            (client.decoder.has_partial_message(input), client.decoder.is_reading_body());
        match decoded {
            Ok(Decoded::Message(request)) => {
                io.release_input(conn);
                let began = client.request_began.take().unwrap_or(now);
                Some(self.request(io, now, conn, &request, began))
            }
            Ok(decoded) => {
                if !has_partial {
                    client.request_began = None;
                } else {
                    // After the head, the body gets its own timeout in addition.
                    let began = *client.request_began.get_or_insert(now);
                    let until = began + self.head_timeout + if in_body { self.body_timeout } else { 0 };
                    self.set_timeout(conn, until);
                }
                io.pause(conn, false);
                if let (Decoded::Continue, Some(out)) = (decoded, io.output(conn)) {
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

    /// Answers with a problem and closes the connection, because its further input can't be parsed.
    fn refuse_connection(&mut self, io: &mut Io, conn: ConnId, problem: &Problem) {
        if let Some(out) = io.output(conn) {
            write_problem(out, problem, false, false);
        }
        self.clients.remove(&conn);
        io.close(conn);
    }

    /// Turns a request into calls, or answers it.
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
                let in_progress =
                    RequestInProgress { mode, keep_alive, missing_answers: calls.len(), answers, waiters };
                let is_empty = calls.is_empty();
                if let Some(client) = self.clients.get_mut(&conn) {
                    client.in_progress = Some(in_progress);
                    client.expires_at = Micros::MAX;
                }
                if is_empty {
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

    /// The events of a request as calls: all of them, or a problem if one is invalid.
    fn calls(
        &mut self,
        conn: ConnId,
        request: &Request,
        began: Micros,
    ) -> Result<(Mode, Vec<NewCall<Event>>), Problem> {
        let path = request.target().split('?').next().unwrap_or_default();
        let path_function = match path.strip_prefix("/functions/") {
            Some(name) if !name.is_empty() && !name.contains('/') => Some(name),
            _ if path == "/" => None,
            _ => return Err(Problem::rejected(404, "no such path: POST to /functions/NAME or to /")),
        };
        if request.method != Method::Post {
            return Err(Problem::rejected(405, "calls are made with POST"));
        }
        let read = from_http(&request.headers, request.body.clone(), self.max_batch);
        let (mode, incoming) = read.map_err(|error| Problem::rejected(error.status(), error.to_string()))?;
        let events = match incoming {
            Incoming::One(event) => vec![event],
            Incoming::Batch(events) => events,
        };
        let is_batch = mode == Mode::Batch;
        let mut calls = Vec::with_capacity(events.len());
        for (index, event) in events.into_iter().enumerate() {
            match self.one_call(event, path_function, began) {
                Ok(call) => calls.push(call),
                Err(problem) if is_batch => {
                    let detail =
                        format!("event {index} of the batch, of which none was taken: {}", problem.detail);
                    return Err(Problem { detail, ..problem });
                }
                Err(problem) => return Err(problem),
            }
        }
        let answer = match (mode, accepted_mode(&request.headers)) {
            (Mode::Batch, _) => Mode::Batch,
            (mode, accepted) => accepted.unwrap_or(mode),
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

    /// An event as a call of the function in the path or, without one, in its subject.
    fn one_call(
        &self,
        event: Event,
        path_function: Option<&str>,
        began: Micros,
    ) -> Result<NewCall<Event>, Problem> {
        let Some(name) = path_function.or(event.subject.as_deref()) else {
            return Err(Problem::rejected(400, "name the function in the path or in the event's subject"));
        };
        let Some((function, deadline)) = self.functions.get(name) else {
            return Err(Problem::rejected(404, format!("function {name:?} is not known here")));
        };
        let timeout = match event.extension(extensions::TIMEOUT) {
            None => *deadline,
            Some(value) => match value.to_string().parse::<u64>() {
                Ok(ms) if ms > 0 => ms.saturating_mul(1_000).min(*deadline),
                _ => return Err(Problem::rejected(400, "timeoutms must be a whole number above 0")),
            },
        };
        let tenant = match (event.extension(extensions::TENANT), self.tenants.is_empty()) {
            (_, true) => 0,
            (None, false) => return Err(Problem::rejected(400, "the extension tenant is required here")),
            (Some(value), false) => {
                let name = if let Attribute::Text(text) = value { text.as_str() } else { "" };
                let index = self.tenants.iter().position(|t| t == name);
                index.ok_or_else(|| Problem::rejected(400, format!("tenant {name:?} is not known here")))?
            }
        };
        let identity = Identity {
            tenant,
            function: function.name.clone(),
            source: event.source.as_str().into(),
            id: event.id.as_str().into(),
        };
        let (deadline, payload) = (began + timeout, Arc::new(event));
        Ok(NewCall { waiter: WaiterId(0), identity, function: function.clone(), deadline, payload })
    }

    /// A replicated event of a lost site as a call without a waiting client. `None` if the function is not configured
    /// here or the event can't be parsed. `wall` is the wall clock in milliseconds.
    pub fn call_of_lost_site(
        &mut self,
        accepted: &Accepted,
        (now, wall): (Micros, u64),
    ) -> Option<NewCall<Event>> {
        let event = from_json(&accepted.event).ok()?;
        let (function, _) = self.functions.get(accepted.function.as_str())?;
        let identity = Identity {
            tenant: usize::from(accepted.tenant),
            function: function.name.clone(),
            source: event.source.as_str().into(),
            id: event.id.as_str().into(),
        };
        self.waiters_created += 1;
        // The last slot is reserved for calls without a client.
        let waiter = waiter_id(self.thread, self.waiters_created, SLOT_MASK as usize);
        let deadline = now + accepted.deadline.saturating_sub(wall) * 1_000;
        Some(NewCall { waiter, identity, function: function.clone(), deadline, payload: Arc::new(event) })
    }

    /// Removes a waiter, unless its slot belongs to another one by now.
    fn take_waiter(&mut self, waiter: WaiterId) -> Option<Waiter> {
        let slot = (waiter.0 & SLOT_MASK) as usize;
        self.waiters.get(slot).filter(|w| w.id == waiter)?;
        self.waiters.try_remove(slot)
    }

    /// Whether calls of a function may run again, by its class.
    pub fn repeat_of(&self, function: &Function) -> Repeat {
        self.repeats[function.class]
    }

    /// The function of this name, if it is configured.
    pub fn function(&self, name: &str) -> Option<&Arc<Function>> {
        self.functions.get(name).map(|(function, _)| function)
    }

    /// Handles the engine's final answer to one event. Returns the waiter and the HTTP status for the log line and,
    /// if this was the request's last answer, the connection, which is free for its next request.
    pub fn answer(
        &mut self,
        io: &mut Io,
        now: Micros,
        waiter: WaiterId,
        answer: Answer<Reply>,
    ) -> Option<(Waiter, u16, Option<ConnId>)> {
        let waiter = self.take_waiter(waiter)?;
        let conn = waiter.conn;
        let answer = match answer {
            Answer::Served(reply) => Ok(reply),
            Answer::Refused(why, wait) => Err(Problem::refused(why, wait)),
            Answer::Failed(why) => Err(Problem::failed(why, waiter.repeat)),
        };
        let status = answer.as_ref().map_or_else(|p| p.status, |_| 200);
        let request = self.clients.get_mut(&conn).and_then(|c| c.in_progress.as_mut())?;
        request.missing_answers -= 1;
        request.answers[waiter.index] = Some((answer, waiter.event.clone()));
        let complete = request.missing_answers == 0;
        if complete {
            self.write_answer(io, now, conn);
        }
        Some((waiter, status, complete.then_some(conn)))
    }

    /// Writes the response to a request whose events are all answered.
    fn write_answer(&mut self, io: &mut Io, now: Micros, conn: ConnId) {
        let Some(request) = self.clients.get_mut(&conn).and_then(|c| c.in_progress.take()) else { return };
        let keep_alive = request.keep_alive && !self.stopping;
        if let Some(out) = io.output(conn) {
            let mut answers = request.answers.into_iter().flatten();
            match (request.mode, answers.next()) {
                (Mode::Batch, first) => write_batch(out, first.into_iter().chain(answers), keep_alive),
                (mode, Some((Ok(reply), _))) => write_reply(out, &reply.0, mode, keep_alive),
                (_, Some((Err(problem), _))) => write_problem(out, &problem, keep_alive, false),
                (_, None) => {}
            }
        }
        self.await_next_request(io, now, conn, keep_alive);
    }

    /// Waits for the next request of a connection, or closes it if it is not kept alive.
    fn await_next_request(&mut self, io: &mut Io, now: Micros, conn: ConnId, keep_alive: bool) {
        if !keep_alive {
            self.clients.remove(&conn);
            return io.close(conn);
        }
        self.set_timeout(conn, now + self.idle_timeout);
        io.pause(conn, false);
    }

    /// Closes connections whose timeout has passed: idle ones without a response, slow senders with status 408.
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
                // The client does not read its response.
                self.clients.remove(&conn);
                io.abort(conn);
            } else {
                self.clients.remove(&conn);
                io.close(conn);
            }
        }
    }

    /// Begins a graceful stop: each connection is closed after its response, and idle ones at once.
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

/// Adds `Connection: close` unless the connection is kept alive.
fn connection_field(head: HeadWriter, keep_alive: bool) -> HeadWriter {
    if keep_alive { head } else { head.field("Connection", "close") }
}

fn write_problem(out: &mut BytesMut, problem: &Problem, keep_alive: bool, head_only: bool) {
    let body = problem.body();
    let head = HeadWriter::response(out, problem.status).field("Content-Type", "application/problem+json");
    let head = match problem.retry_after {
        Some(seconds) => head.display_field("Retry-After", seconds),
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

/// Writes the answers to a batch as a batch of events in the order of the request; problems are wrapped in events.
fn write_batch(out: &mut BytesMut, answers: impl Iterator<Item = EventAnswer>, keep_alive: bool) {
    let mut body = vec![b'['];
    for (index, (answer, request)) in answers.enumerate() {
        if index > 0 {
            body.push(b',');
        }
        let (event, outcome, status) = match answer {
            Ok(reply) => (Event::clone(&reply.0), "served", 200),
            Err(problem) => {
                let mut event = Event::new(&*request.id, &*request.source, "basaltward.problem");
                event.content_type = Some("application/problem+json".into());
                event.data = problem.body().into();
                (event, problem.outcome, i32::from(problem.status))
            }
        };
        let event = event
            .with_extension(extensions::OUTCOME, Attribute::Text(outcome.into()))
            .with_extension(extensions::STATUS, Attribute::Integer(status));
        to_json(&event, &mut body);
    }
    body.push(b']');
    let head = HeadWriter::response(out, 200).field("Content-Type", BATCH);
    connection_field(head, keep_alive).body(Body::Whole(&body));
}
