//! The Thrift front end: accepts clients' connections, turns their requests into calls and writes the answers.

use crate::config::NodeConfig;
use crate::payload::{CallPayload, ReplyBody};
use basaltward::{Class, FunctionId, Micros, Repeat};
use basaltward_engine::{Answer, Function, Identity, NewCall, WaiterId};
use basaltward_net::{ConnId, Io, IoEvent};
use basaltward_thrift::{
    ClientRequest, FrameLimits, MessageKind, ServerReply, Submit, next_frame, read_request, write,
};
use basaltward_timers::Timers;
use slab::Slab;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex};

/// Maximum size of a frame: a body of 16 KiB with its fields.
const MAX_FRAME_BYTES: usize = 24 << 10;
/// Maximum size of a body.
const MAX_BODY_BYTES: usize = 16 << 10;
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 64;
/// Maximum number of open requests per connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Time for a complete request to arrive; a connection without one is closed. A client whose connection fails must
/// see it end within 3 s.
const REQUEST_TIMEOUT_US: Micros = 2_400_000;
/// Idle connections are closed after this. Clients usually close theirs after 4 s.
const IDLE_TIMEOUT_US: Micros = 6_000_000;
/// Idle time after which a connection may be closed to free it for another client, while connections are scarce.
const RECLAIM_AFTER_US: Micros = 300_000;
/// Delay after which a connection that is due to close but has unread input is checked again.
const RECHECK_US: Micros = 10_000;
/// The rest of a request arrives within 50 ms of its first bytes. A request that crossed the close of its
/// connection arrives on a new connection within 50 ms. The remainder allows for network delay. A
/// connection on which such a request may still arrive is not closed before this time.
const IN_TRANSIT_US: Micros = 60_000;
/// Connections kept free for new clients.
const RESERVED_CONNECTIONS: usize = 4;
/// Interval at which idle connections are reclaimed while connections are scarce.
const RECLAIM_INTERVAL_US: Micros = 100_000;
/// Idle connections examined when one has to be closed.
const MAX_RECLAIM_CANDIDATES: usize = 64;
/// Bytes of unread answers held for a client. Past this, new requests are rejected, since their answers would queue
/// behind these. They are still read, because the client may withdraw requests among them.
const MAX_UNREAD_BYTES: usize = 64 << 10;
/// Invalid requests accepted per connection before it is closed. A well-behaved client sends none.
const MAX_INVALID_REQUESTS: u32 = 4;
/// Frames read from one connection before others get their turn.
const FRAMES_PER_TURN: usize = 8;
/// Frames read ahead of a request's start: as many as may be open, and as many that withdraw them.
const MAX_READ_AHEAD: usize = 2 * MAX_OPEN_REQUESTS;
/// Upper bound of a function's lanes.
const MAX_LANES: f64 = 4_096.0;
/// Upper bound of a function's load time.
const MAX_LOAD_MS: f64 = 600_000.0;

/// Result of reading one frame of a client.
pub enum Step {
    /// A call for the engine.
    Call(NewCall<CallPayload>),
    /// The clients of these calls no longer wait for an answer.
    Left(Vec<WaiterId>),
    /// Nothing for the engine: the frame has been answered already, or needs no answer.
    Nothing,
}

struct Client {
    /// Open requests by sequence number.
    open: Vec<(i32, WaiterId)>,
    /// The highest sequence number used.
    last_seqid: i32,
    invalid_requests: u32,
    /// Consecutive requests rejected because the client does not read its answers.
    rejected_unread: usize,
    /// Whether a complete request has arrived.
    has_requested: bool,
    /// Whether the connection is queued for reading.
    input_pending: bool,
    /// When the first byte of the incomplete request arrived.
    request_began: Option<Micros>,
    last_used: Micros,
    /// When the connection was accepted.
    accepted_at: Micros,
    /// When the connection is closed unless it is used.
    close_at: Micros,
    /// When its timer fires. The timer is only moved to an earlier time.
    timer_at: Micros,
}

/// An open request.
pub struct OpenRequest {
    id: WaiterId,
    conn: ConnId,
    seqid: i32,
    /// The request id.
    pub request: u64,
    /// The requested function.
    pub function: FunctionId,
    /// The class, as an index into the settings.
    pub class: usize,
    /// When its bytes arrived.
    pub arrived: Micros,
}

/// The client side of the loop.
pub struct Front {
    frames: FrameLimits,
    max_clients: usize,
    classes: Vec<FrontClass>,
    tenants: Vec<String>,
    /// Largest memory of any kind of worker, the bound of a function's memory.
    memory_mb: f64,
    /// Source in the identity of every call; empty, since requests carry none.
    source: Arc<str>,
    clients: HashMap<ConnId, Client>,
    /// Connections without an open request, by the time of their last use.
    idle: BTreeSet<(Micros, ConnId)>,
    requests: Slab<OpenRequest>,
    /// Ids of open requests.
    ids: HashSet<u64>,
    /// Counter that makes waiter ids unique.
    last_waiter: u64,
    due: Timers<ConnId>,
    /// Connections queued for reading, with the arrival time of their input.
    input_pending: VecDeque<(Micros, ConnId)>,
    /// When idle connections are next reclaimed.
    reclaim_at: Option<Micros>,
    /// Whether the list has ever held an active worker; heartbeats report it.
    is_ready: bool,
    is_stopping: bool,
    /// When the last of the connections was closed that were accepted before the scheduler began to reject
    /// requests.
    last_closed_at: Micros,
}

fn parse_hex_id(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// Checks an idempotency key. It is copied into a line to the worker, so it may hold no byte that ends a word or a
/// field there.
fn valid_key(text: &str) -> Option<&str> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':');
    ((1..=MAX_KEY_BYTES).contains(&text.len()) && text.bytes().all(plain)).then_some(text)
}

fn parse_positive(text: &str, max: f64) -> Option<f64> {
    text.parse::<f64>().ok().filter(|value| value.is_finite() && *value > 0.0 && *value <= max)
}

/// The settings of a class that the front end uses.
struct FrontClass {
    name: String,
    deadline: Micros,
    /// Workers discard repeated requests of this class by an idempotency key.
    keyed: bool,
}

impl FrontClass {
    fn new(name: &str, class: &Class) -> Self {
        let keyed = matches!(class.repeat, Repeat::Keyed { .. });
        Self { name: name.into(), deadline: class.deadline, keyed }
    }
}

/// Index of an open request in the slab, from the low bits of its waiter id.
fn slot(waiter: WaiterId) -> usize {
    (waiter.0 & 0xf_ffff) as usize
}

/// The fields of a `submit` request.
struct ParsedRequest {
    request: u64,
    tenant: usize,
    class: usize,
    key: Option<String>,
    timeout: Micros,
    function: Function,
}

impl Front {
    /// Creates a front end without clients.
    pub fn new(config: &NodeConfig) -> Self {
        let classes = config.settings.classes.iter().zip(&config.settings.module.classes);
        let memory = config.settings.module.copies.kind_memory_mb.iter().copied();
        Self {
            frames: FrameLimits { max_bytes: MAX_FRAME_BYTES },
            max_clients: config.budget.clients,
            classes: classes.map(|(name, class)| FrontClass::new(name, class)).collect(),
            tenants: config.settings.tenants.clone(),
            memory_mb: memory.fold(0.0, f64::max),
            source: "".into(),
            clients: HashMap::new(),
            idle: BTreeSet::new(),
            requests: Slab::new(),
            ids: HashSet::new(),
            last_waiter: 0,
            due: Timers::default(),
            input_pending: VecDeque::new(),
            reclaim_at: None,
            is_ready: false,
            is_stopping: false,
            last_closed_at: 0,
        }
    }

    pub fn next_due(&self) -> Option<Micros> {
        self.due.next_due().into_iter().chain(self.reclaim_at).min()
    }

    /// Closes the connections that have been idle longest while connections are scarce. Once no connection is free,
    /// clients waiting to be accepted go unseen, so this is repeated for as long as they are scarce.
    fn reclaim_idle(&mut self, io: &mut Io, now: Micros) {
        let is_scarce = |front: &Self| front.clients.len() + RESERVED_CONNECTIONS >= front.max_clients;
        while is_scarce(self)
            && let Some(idle) = self.reclaim_candidate(io, now)
        {
            self.forget(idle);
            io.abort(idle);
        }
        self.reclaim_at = is_scarce(self).then_some(now + RECLAIM_INTERVAL_US);
    }

    /// Handles a newly accepted connection.
    pub fn accepted(&mut self, io: &mut Io, now: Micros, conn: ConnId) {
        self.reclaim_idle(io, now);
        let close_at = now + REQUEST_TIMEOUT_US;
        let (open, last_used, timer_at) = (Vec::new(), now, Micros::MAX);
        let (last_seqid, invalid_requests, rejected_unread, has_requested, input_pending, request_began) =
            (i32::MIN, 0, 0, false, false, None);
        let accepted_at = now;
        let client = Client {
            open,
            last_seqid,
            invalid_requests,
            rejected_unread,
            has_requested,
            input_pending,
            request_began,
            last_used,
            accepted_at,
            close_at,
            timer_at,
        };
        self.clients.insert(conn, client);
        self.idle.insert((now, conn));
        self.set_close_time(conn, close_at);
    }

    /// Picks the connection to close while connections are scarce: among those idle long enough, one that has not
    /// sent a request yet, else the one idle longest. Never one with unread input, since a request in it counts as
    /// accepted.
    fn reclaim_candidate(&self, io: &mut Io, now: Micros) -> Option<ConnId> {
        let idle =
            self.idle.iter().take_while(|(used, _)| used + RECLAIM_AFTER_US <= now).map(|(_, conn)| *conn);
        let is_unused = |c: &ConnId| self.clients.get(c).is_some_and(|c| !c.has_requested);
        let mut all: Vec<_> =
            idle.filter(|conn| self.has_no_pending_input(conn)).take(MAX_RECLAIM_CANDIDATES).collect();
        // Clients that have read their answers come before those that have not.
        all.sort_by_cached_key(|conn| (!is_unused(conn), io.unsent(*conn) > 0));
        // While the scheduler stops, a request that crosses the close of its connection has nowhere else to go.
        all.retain(|conn| is_unused(conn) || !self.is_stopping);
        all.into_iter().find(|conn| !io.is_stale(*conn))
    }

    /// Whether a connection has no unread input.
    fn has_no_pending_input(&self, conn: &ConnId) -> bool {
        self.clients.get(conn).is_some_and(|c| c.request_began.is_none() && !c.input_pending)
    }

    fn set_close_time(&mut self, conn: ConnId, close_at: Micros) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.close_at = close_at;
        if close_at < client.timer_at {
            client.timer_at = close_at;
            self.due.set(close_at, conn);
        }
    }

    /// Removes a connection and returns the waiters of its open requests.
    pub fn forget(&mut self, conn: ConnId) -> Vec<WaiterId> {
        let Some(client) = self.clients.remove(&conn) else { return Vec::new() };
        self.idle.remove(&(client.last_used, conn));
        let waiters: Vec<_> = client.open.into_iter().map(|(_, waiter)| waiter).collect();
        for waiter in &waiters {
            self.remove_request(*waiter);
        }
        waiters
    }

    /// Queues a connection whose input has arrived or may now be read.
    pub fn input_arrived(&mut self, now: Micros, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.request_began.get_or_insert(now);
        if !std::mem::replace(&mut client.input_pending, true) {
            self.input_pending.push_back((now, conn));
        }
    }

    /// When the oldest unread input arrived.
    pub fn oldest_input(&self) -> Option<Micros> {
        self.input_pending.front().map(|(arrived, _)| *arrived)
    }

    /// Whether this event concerns a client's connection.
    pub fn owns(&self, event: &IoEvent) -> bool {
        match event {
            IoEvent::Data(conn) | IoEvent::Drained(conn) | IoEvent::Ended(conn, _) => {
                self.clients.contains_key(conn)
            }
            _ => false,
        }
    }

    /// Reads frames from the connection that has waited longest, and returns the results.
    pub fn read_next(&mut self, io: &mut Io, now: Micros) -> Vec<Step> {
        let Some((arrived, conn)) = self.input_pending.pop_front() else { return Vec::new() };
        self.read_from(io, now, (arrived, conn), FRAMES_PER_TURN)
    }

    /// Reads ahead on the connection of this waiter, if it has unread input.
    pub fn read_ahead(&mut self, io: &mut Io, now: Micros, waiter: WaiterId) -> Option<Vec<Step>> {
        let conn = self.requests.get(slot(waiter)).filter(|w| w.id == waiter)?.conn;
        self.clients.get(&conn).filter(|c| c.input_pending)?;
        let at = self.input_pending.iter().position(|(_, ready)| *ready == conn)?;
        let (arrived, _) = self.input_pending.remove(at)?;
        Some(self.read_from(io, now, (arrived, conn), MAX_READ_AHEAD))
    }

    fn read_from(
        &mut self,
        io: &mut Io,
        now: Micros,
        (arrived, conn): (Micros, ConnId),
        max_frames: usize,
    ) -> Vec<Step> {
        let mut steps = Vec::new();
        let Some(client) = self.clients.get_mut(&conn) else { return steps };
        client.input_pending = false;
        for _ in 0..max_frames {
            let Some(input) = io.input(conn) else { return steps };
            let step = match next_frame(self.frames, input) {
                Ok(Some(frame)) => {
                    // The bytes after this frame belong to another request, which has a timeout of its own.
                    if let Some(client) = self.clients.get_mut(&conn) {
                        client.request_began = None;
                    }
                    self.handle_frame(io, now, (arrived, conn), &frame)
                }
                Ok(None) => {
                    let is_partial = !input.is_empty();
                    io.release_input(conn);
                    io.pause(conn, false);
                    let Some(client) = self.clients.get_mut(&conn) else { return steps };
                    if !is_partial {
                        client.request_began = None;
                    } else if client.has_requested {
                        let close_at = *client.request_began.get_or_insert(now) + REQUEST_TIMEOUT_US;
                        self.set_close_time(conn, close_at);
                    }
                    return steps;
                }
                Err(_) => None,
            };
            match step {
                Some(step) => steps.push(step),
                None => {
                    steps.push(self.close_invalid(io, conn));
                    return steps;
                }
            }
        }
        // More input may follow: the connection goes to the end of the queue with its original arrival time.
        self.input_arrived(arrived, conn);
        steps
    }

    /// Closes a connection that violates the protocol, with all its open requests.
    fn close_invalid(&mut self, io: &mut Io, conn: ConnId) -> Step {
        let left = self.forget(conn);
        io.close(conn);
        Step::Left(left)
    }

    /// Handles one frame; `None` if it violates the protocol.
    fn handle_frame(
        &mut self,
        io: &mut Io,
        now: Micros,
        (arrived, conn): (Micros, ConnId),
        frame: &[u8],
    ) -> Option<Step> {
        let (header, request) = read_request(frame).ok()?;
        let (name, seqid) = (header.method, header.seqid);
        let oneway = header.kind == MessageKind::Oneway;
        let reply = match request {
            ClientRequest::Submit(submit) if !oneway => {
                match self.submit(io, (arrived, conn), seqid, &submit)? {
                    Ok(call) => {
                        self.touch(now, conn);
                        return Some(Step::Call(call));
                    }
                    Err(reply) => reply,
                }
            }
            ClientRequest::Revoke(revoked) => {
                let client = self.clients.get_mut(&conn)?;
                let at = client.open.iter().position(|(seqid, _)| *seqid == revoked);
                let waiter = at.map(|at| client.open.swap_remove(at).1);
                if let Some(waiter) = waiter {
                    self.remove_request(waiter);
                }
                self.touch(now, conn);
                return Some(Step::Left(waiter.into_iter().collect()));
            }
            ClientRequest::Heartbeat if !oneway => {
                self.check_answers_read(io, conn)?;
                ServerReply::Answer(b"", self.is_ready)
            }
            ClientRequest::UnknownMethod if !oneway => {
                self.count_invalid(conn)?;
                ServerReply::UnknownMethod
            }
            // A method that must be answered, sent as a one-way call, or an unknown one-way method.
            _ => return None,
        };
        write::reply(io.output(conn)?, name, seqid, &reply);
        self.touch(now, conn);
        Some(Step::Nothing)
    }

    /// Whether the client reads its answers; `None` if it has sent too many requests without doing so.
    fn check_answers_read(&mut self, io: &mut Io, conn: ConnId) -> Option<bool> {
        let is_read = io.unsent(conn) <= MAX_UNREAD_BYTES;
        let client = self.clients.get_mut(&conn)?;
        client.rejected_unread = if is_read { 0 } else { client.rejected_unread + 1 };
        (client.rejected_unread <= MAX_OPEN_REQUESTS).then_some(is_read)
    }

    /// Counts an invalid request; `None` if there were too many.
    fn count_invalid(&mut self, conn: ConnId) -> Option<()> {
        let client = self.clients.get_mut(&conn)?;
        client.invalid_requests += 1;
        (client.invalid_requests <= MAX_INVALID_REQUESTS).then_some(())
    }

    /// Notes that a connection was used: its idle timeout restarts, or is suspended while requests are open.
    fn touch(&mut self, now: Micros, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        self.idle.remove(&(client.last_used, conn));
        client.last_used = now;
        client.has_requested = true;
        if client.open.is_empty() {
            self.idle.insert((now, conn));
            self.set_close_time(conn, now + IDLE_TIMEOUT_US);
        } else if let Some(client) = self.clients.get_mut(&conn) {
            client.close_at = Micros::MAX;
        }
    }

    /// Handles `submit`: returns the call for the engine, or an immediate answer, or `None` if the connection can
    /// no longer be trusted.
    fn submit(
        &mut self,
        io: &mut Io,
        (arrived, conn): (Micros, ConnId),
        seqid: i32,
        submit: &Submit,
    ) -> Option<Result<NewCall<CallPayload>, ServerReply<'static>>> {
        let client = self.clients.get_mut(&conn)?;
        // Sequence numbers must increase, and the number of open requests is limited: otherwise an answer could be
        // mistaken for that of another request.
        if seqid <= client.last_seqid || client.open.len() >= MAX_OPEN_REQUESTS {
            return None;
        }
        client.last_seqid = seqid;
        if !self.check_answers_read(io, conn)? {
            return Some(Err(ServerReply::Rejected(None)));
        }
        let Some(parsed) = self.parse_submit(submit) else {
            self.count_invalid(conn)?;
            return Some(Err(ServerReply::Rejected(None)));
        };
        // The open request with this id may run, so the answer must not state that a retry is safe.
        if !self.ids.insert(parsed.request) {
            self.count_invalid(conn)?;
            return Some(Err(ServerReply::Crashed));
        }
        self.last_waiter += 1;
        let entry = self.requests.vacant_entry();
        let waiter = WaiterId(self.last_waiter << 20 | entry.key() as u64 & 0xf_ffff);
        let (request, function, class) = (parsed.request, parsed.function.name.clone(), parsed.class);
        entry.insert(OpenRequest { id: waiter, conn, seqid, request, function, class, arrived });
        self.clients.get_mut(&conn)?.open.push((seqid, waiter));
        let id = format!("{:016x}", parsed.request);
        let function = Arc::new(parsed.function);
        let (name, source) = (function.name.clone(), self.source.clone());
        let identity = Identity { tenant: parsed.tenant, function: name, source, id: id.as_str().into() };
        let connections = Mutex::default();
        let (number, class, key, body) = (parsed.request, parsed.class, parsed.key, submit.owned_body());
        let payload = Arc::new(CallPayload { id, number, class, key, body, connections });
        Some(Ok(NewCall { waiter, identity, function, deadline: arrived + parsed.timeout, payload }))
    }

    /// Parses the fields of a request; `None` if any of them is invalid.
    fn parse_submit(&self, submit: &Submit) -> Option<ParsedRequest> {
        if submit.body.len() > MAX_BODY_BYTES {
            return None;
        }
        let field = |name| submit.fields.iter().find(|(n, _)| *n == name).map(|(_, value)| *value);
        let kind = field("kind")?;
        let class = self.classes.iter().position(|class| class.name == kind)?;
        // Without tenants, all calls belong to tenant 0.
        let tenant = match self.tenants.is_empty() {
            true => 0,
            false => field("owner").and_then(|owner| self.tenants.iter().position(|name| name == owner))?,
        };
        // Without its key an effect could happen twice, so a keyed call without one is rejected.
        let key = match (field("opkey"), self.classes[class].keyed) {
            (Some(key), _) => Some(valid_key(key)?.to_owned()),
            (None, keyed) => (!keyed).then_some(None)?,
        };
        let request = parse_hex_id(field("req")?)?;
        let name: FunctionId = field("subject").filter(|s| parse_hex_id(s).is_some())?.into();
        let timeout = field("timeout")?.parse::<u64>().ok()?;
        // No client waits for many times the deadline of its class.
        let max_timeout = self.classes[class].deadline.saturating_mul(10);
        // A timeout of 0 is valid: a client's last retry may have less than a millisecond left.
        let timeout = timeout.checked_mul(1_000).filter(|t| *t <= max_timeout)?;
        let mut function = Function { name, class, memory_mb: 0.0, lanes: 0, load_time: None };
        for (name, value) in field("props")?.split(';').filter_map(|prop| prop.split_once(':')) {
            match name {
                "memory_mb" => function.memory_mb = parse_positive(value, self.memory_mb)?,
                "lanes" => function.lanes = parse_positive(value, MAX_LANES)? as u32,
                "load_ms" => {
                    function.load_time = Some((parse_positive(value, MAX_LOAD_MS)? * 1_000.0) as Micros)
                }
                _ => {}
            }
        }
        let is_valid = function.memory_mb > 0.0 && function.lanes > 0;
        is_valid.then_some(ParsedRequest { request, tenant, class, key, timeout, function })
    }

    fn remove_request(&mut self, waiter: WaiterId) -> Option<OpenRequest> {
        self.requests.get(slot(waiter)).filter(|w| w.id == waiter)?;
        let request = self.requests.try_remove(slot(waiter))?;
        self.ids.remove(&request.request);
        Some(request)
    }

    /// Writes the engine's final answer and returns the request that it answers.
    pub fn answer(
        &mut self,
        io: &mut Io,
        now: Micros,
        waiter: WaiterId,
        answer: &Answer<ReplyBody>,
    ) -> Option<OpenRequest> {
        let request = self.remove_request(waiter)?;
        let conn = request.conn;
        if let Some(client) = self.clients.get_mut(&conn) {
            client.open.retain(|(_, w)| *w != waiter);
        }
        if let Some(out) = io.output(conn) {
            let reply = match answer {
                Answer::Served(ReplyBody(body)) => ServerReply::Answer(body, true),
                Answer::Refused(_, retry_after) => {
                    ServerReply::Rejected(retry_after.map(|us| us.div_ceil(1_000)))
                }
                Answer::Failed(_) => ServerReply::Crashed,
            };
            write::reply(out, "submit", request.seqid, &reply);
        }
        self.touch(now, conn);
        Some(request)
    }

    /// Marks the scheduler as ready: its list has an active worker. It stays ready when all workers are gone, because
    /// that is no fault of this scheduler, and another one could serve no more.
    pub fn set_ready(&mut self) {
        self.is_ready = true;
    }

    /// The scheduler has received a signal to stop; clients keep sending requests for a while.
    pub fn start_stopping(&mut self) {
        self.is_stopping = true;
    }

    /// Closes the connections that have no open request, no unread input and no unsent answer, to free capacity for
    /// clients still waiting to be accepted. A client has less time to read the rest once its connection is closed.
    pub fn close_idle(&mut self, io: &mut Io, now: Micros, rejecting_since: Micros) {
        let idle: Vec<_> = self.idle.iter().map(|(_, conn)| *conn).collect();
        for conn in idle {
            if self.may_close(io, now, conn) {
                if self.clients.get(&conn).is_some_and(|client| client.accepted_at <= rejecting_since) {
                    self.last_closed_at = now;
                }
                self.forget(conn);
                io.close(conn);
            }
        }
    }

    /// Whether no request is in transit on a connection without an open one: neither one that was cut off by the
    /// close of the client's previous connection, nor one that has arrived in part. A partial request may arrive in
    /// pieces, but not for long.
    fn may_close(&self, io: &mut Io, now: Micros, conn: ConnId) -> bool {
        let Some(client) = self.clients.get(&conn) else { return false };
        let expected = match (client.request_began, client.has_requested) {
            (Some(began), _) => began + IN_TRANSIT_US,
            (None, false) => client.last_used + IN_TRANSIT_US,
            (None, true) => 0,
        };
        !client.input_pending && expected <= now && io.unsent(conn) == 0 && !io.is_stale(conn)
    }

    /// Whether all connections accepted before the scheduler began to reject requests have been closed, long enough
    /// ago for a request that crossed the close to have arrived again. Of connections accepted later, only those
    /// that may still carry such a repeated request are waited for: waiting for clients that keep connecting would
    /// never end.
    pub fn all_clients_left(&self, now: Micros, rejecting_since: Micros) -> bool {
        let may_send = |c: &Client| {
            c.accepted_at <= rejecting_since || !c.has_requested && now < c.accepted_at + IN_TRANSIT_US
        };
        !self.clients.values().any(may_send) && self.last_closed_at + IN_TRANSIT_US <= now
    }

    /// Closes connections whose time is up; returns the waiters of their open requests.
    pub fn wake(&mut self, io: &mut Io, now: Micros) -> Vec<WaiterId> {
        let mut left = Vec::new();
        if self.reclaim_at.is_some_and(|at| at <= now) {
            self.reclaim_idle(io, now);
        }
        while let Some((at, conn)) = self.due.pop_due(now) {
            let Some(client) = self.clients.get_mut(&conn).filter(|c| c.timer_at == at) else { continue };
            client.timer_at = Micros::MAX;
            let close_at = client.close_at;
            if close_at > now {
                if close_at < Micros::MAX {
                    self.set_close_time(conn, close_at);
                }
                continue;
            }
            // Unread input is read first, even if the loop was late to notice it. The rest of a partial request is
            // waited for, but for no longer than this.
            let (input_is_read, rest_due) =
                (!client.input_pending, client.request_began.map(|began| began + IN_TRANSIT_US));
            if let Some(rest_due) = rest_due.filter(|due| *due > now) {
                self.set_close_time(conn, rest_due);
                continue;
            }
            if !input_is_read || rest_due.is_none() && io.is_stale(conn) {
                self.set_close_time(conn, now + RECHECK_US);
                continue;
            }
            let unread = io.unsent(conn) > 0;
            left.extend(self.forget(conn));
            if unread { io.abort(conn) } else { io.close(conn) }
        }
        left
    }
}
