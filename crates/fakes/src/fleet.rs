//! A fleet of fake workers on one event loop: HTTP around the worker model, and injected faults.

use crate::dedup::DedupTable;
use crate::store::{Store, StoreSpec};
use crate::worker_model::{Call, CopyState, Reply, WorkerModel, WorkerSpec};
use basaltward_http::{Body, Decoded, HeadWriter, Limits, Method, Request, RequestDecoder};
use basaltward_net::{ConnId, Io, IoEvent, IoLimits, Micros, NetError, Waker, bind, monotonic};
use basaltward_rules::{Observation, Recorder};
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, SyncSender, channel, sync_channel};
use std::thread::JoinHandle;
use thiserror::Error;

/// Errors of a fleet.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A socket or the event loop failed.
    #[error(transparent)]
    Net(#[from] NetError),
    /// The fleet's thread could not be started.
    #[error("could not start the fleet's thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The fleet's thread panicked.
    #[error("the fleet's thread panicked")]
    Panicked,
}

/// A fault to inject into one worker, or into the store that all workers share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The worker accepts requests and answers none.
    Silent(bool),
    /// The worker runs calls slower by this factor.
    Slow(f64),
    /// The worker finishes the calls that it has and rejects new ones.
    Drain(bool),
    /// The worker's process dies: its connections are reset, new ones refused.
    Kill,
    /// The worker starts again at the same address, cold and without copies.
    Restart,
    /// The worker's answers are not HTTP.
    Garbage(bool),
    /// The worker resets the connection after so many bytes of each answer; `None` ends the fault.
    ResetAt(Option<usize>),
    /// The worker's answers announce a body longer than any limit.
    TooLong(bool),
    /// The worker closes each connection right after an answer, without `Connection: close` in its headers.
    CloseAfter(bool),
    /// The store is slower by this factor.
    StoreSlow(f64),
}

struct Server {
    address: SocketAddr,
    listener: Option<usize>,
    spec: WorkerSpec,
    model: WorkerModel,
    silent: bool,
    garbage: bool,
    too_long: bool,
    close_after: bool,
    reset_at: Option<usize>,
}

struct Conn {
    server: usize,
    decoder: RequestDecoder,
    pending: Option<PendingRequest>,
}

/// The request whose answer a connection waits for.
struct PendingRequest {
    token: u64,
    /// Payload and content type of a call, which the answer echoes.
    payload: Option<(Bytes, String)>,
    attempt: String,
}

/// A command to the event loop: a worker's position, a fault and where to confirm it; `None` ends the loop.
type Command = Option<(usize, Fault, SyncSender<()>)>;

/// A running fleet of fake workers.
pub struct Fleet {
    addresses: Vec<SocketAddr>,
    faults: Sender<Command>,
    waker: Waker,
    thread: JoinHandle<Result<(), NetError>>,
}

impl Fleet {
    /// Starts a worker for each spec, all on one thread. The system chooses the port of workers without an address in
    /// `addresses` and of those with port 0.
    ///
    /// # Errors
    /// If an address can't be bound or the thread can't be started.
    pub fn start(
        specs: Vec<WorkerSpec>,
        addresses: &[SocketAddr],
        store: StoreSpec,
        recorder: Recorder,
    ) -> Result<Self, FleetError> {
        let mut io = Io::new(IoLimits { connections: 50_000, ..IoLimits::default() })?;
        let mut servers = Vec::new();
        for (index, spec) in specs.into_iter().enumerate() {
            let address = addresses.get(index).copied().unwrap_or(([127, 0, 0, 1], 0).into());
            let (listener, address) = io.listen(bind(address, false)?)?;
            let model = WorkerModel::new(index, spec.clone(), None);
            servers.push(Server {
                address,
                listener: Some(listener),
                spec,
                model,
                silent: false,
                garbage: false,
                too_long: false,
                close_after: false,
                reset_at: None,
            });
        }
        let addresses: Vec<_> = servers.iter().map(|s| s.address).collect();
        let (faults, commands) = channel();
        let waker = io.waker();
        let event_loop = FleetLoop {
            io,
            servers,
            store: Store::new(store),
            keys: BTreeMap::new(),
            conns: HashMap::new(),
            by_token: HashMap::new(),
            next_token: 1,
            recorder,
            to_reset: Vec::new(),
        };
        let thread =
            std::thread::Builder::new().name("fleet".into()).spawn(move || event_loop.run(&commands))?;
        Ok(Self { addresses, faults, waker, thread })
    }

    /// The addresses that the workers listen on, in the order of their specs.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Injects a fault into the worker at this position. The fault is in effect when this returns.
    pub fn inject_fault(&self, worker: usize, fault: Fault) {
        let (confirm, confirmed) = sync_channel(1);
        let _ = self.faults.send(Some((worker, fault, confirm)));
        self.waker.wake();
        // Returns an error if the loop has ended, which drops the sender.
        let _ = confirmed.recv();
    }

    /// Stops the fleet.
    ///
    /// # Errors
    /// If its event loop failed or panicked.
    pub fn stop(self) -> Result<(), FleetError> {
        let _ = self.faults.send(None);
        self.waker.wake();
        Ok(self.thread.join().map_err(|_| FleetError::Panicked)??)
    }
}

struct FleetLoop {
    io: Io,
    servers: Vec<Server>,
    store: Store,
    /// Keys of each group of workers.
    keys: BTreeMap<u64, DedupTable>,
    conns: HashMap<ConnId, Conn>,
    by_token: HashMap<u64, ConnId>,
    next_token: u64,
    recorder: Recorder,
    /// Connections to reset once their output is written.
    to_reset: Vec<ConnId>,
}

impl FleetLoop {
    fn run(mut self, commands: &Receiver<Command>) -> Result<(), NetError> {
        for server in &self.servers {
            let (capacity, warm) = (server.model.capacity(), true);
            self.recorder.put(
                monotonic(),
                &server.address.to_string(),
                Observation::WorkerStarted { capacity, warm },
            );
        }
        let mut events = Vec::new();
        loop {
            let due = self.servers.iter().filter_map(|s| s.model.next_due()).min();
            let now = monotonic();
            // With resets pending the turn only writes their output and doesn't wait.
            let wait = if self.to_reset.is_empty() { due.map(|d| d.saturating_sub(now)) } else { Some(0) };
            self.io.turn(wait, &mut events)?;
            for conn in std::mem::take(&mut self.to_reset) {
                self.io.reset(conn);
                self.on_connection_lost(conn);
            }
            let now = monotonic();
            for command in commands.try_iter() {
                match command {
                    Some((worker, fault, confirm)) => {
                        self.apply_fault(now, worker, fault)?;
                        let _ = confirm.send(());
                    }
                    None => return Ok(()),
                }
            }
            for event in events.drain(..) {
                match event {
                    IoEvent::Accepted { conn, listener } => {
                        if let Some(server) = self.servers.iter().position(|s| s.listener == Some(listener)) {
                            let decoder = RequestDecoder::new(Limits { body: 16 << 20, ..Limits::default() });
                            self.conns.insert(conn, Conn { server, decoder, pending: None });
                        }
                    }
                    IoEvent::Data(conn) => self.on_data(now, conn),
                    IoEvent::Ended(conn, _) => self.on_connection_lost(conn),
                    _ => {}
                }
            }
            for index in 0..self.servers.len() {
                let mut replies = Vec::new();
                let server = &mut self.servers[index];
                let keys = self.keys.entry(server.spec.key_group).or_default();
                server.model.run_timers(now, (&mut self.store, keys), &mut replies);
                self.handle_replies(now, index, replies);
            }
            self.io.free_ended();
        }
    }

    fn on_connection_lost(&mut self, conn: ConnId) {
        let Some(connection) = self.conns.remove(&conn) else { return };
        if let Some(PendingRequest { token, .. }) = connection.pending {
            self.by_token.remove(&token);
            let (server, mut replies) = (&mut self.servers[connection.server], Vec::new());
            let keys = self.keys.entry(server.spec.key_group).or_default();
            server.model.cancel(keys, token, &mut replies);
            self.send_answers(monotonic(), replies);
        }
    }

    fn apply_fault(&mut self, now: Micros, index: usize, fault: Fault) -> Result<(), NetError> {
        if let Fault::StoreSlow(times) = fault {
            self.store.slowdown = times.max(0.01);
            return Ok(());
        }
        let Some(server) = self.servers.get_mut(index) else { return Ok(()) };
        match fault {
            Fault::Silent(on) => server.silent = on,
            Fault::Slow(times) => server.model.slowdown = times.max(0.01),
            Fault::Drain(on) => server.model.draining = on,
            Fault::Garbage(on) => server.garbage = on,
            Fault::ResetAt(byte) => server.reset_at = byte,
            Fault::TooLong(on) => server.too_long = on,
            Fault::CloseAfter(on) => server.close_after = on,
            Fault::Kill => {
                if let Some(listener) = server.listener.take() {
                    self.io.stop_listening(listener);
                }
                let killed: Vec<_> =
                    self.conns.iter().filter(|(_, c)| c.server == index).map(|(id, _)| *id).collect();
                for conn in killed {
                    self.io.reset(conn);
                    self.on_connection_lost(conn);
                }
                let server = &mut self.servers[index];
                server.model.dead = true;
                let keys = self.keys.entry(server.spec.key_group).or_default();
                let repeats = keys.worker_died(index, server.spec.loses_keys_when_killed);
                let reply = |token| Reply::Ok { token, copy: CopyState::Loaded, crowd: 0 };
                self.send_answers(now, repeats.into_iter().map(reply).collect());
            }
            Fault::Restart => {
                let (listener, _) = self.io.listen(bind(server.address, false)?)?;
                server.listener = Some(listener);
                server.model = WorkerModel::new(index, server.spec.clone(), Some(now));
                (server.silent, server.garbage, server.too_long, server.reset_at) =
                    (false, false, false, None);
                let observation =
                    Observation::WorkerStarted { capacity: server.model.capacity(), warm: false };
                self.recorder.put(now, &server.address.to_string(), observation);
            }
            Fault::StoreSlow(_) => {}
        }
        Ok(())
    }

    fn on_data(&mut self, now: Micros, conn: ConnId) {
        loop {
            let Some(connection) = self.conns.get_mut(&conn).filter(|c| c.pending.is_none()) else { return };
            let Some(input) = self.io.input(conn) else { return };
            match connection.decoder.decode(input) {
                Ok(Decoded::Message(request)) => {
                    self.io.release_input(conn);
                    self.io.pause(conn, false);
                    self.on_request(now, conn, &request);
                }
                Ok(_) => return self.io.pause(conn, false),
                Err(_) => {
                    self.io.abort(conn);
                    return self.on_connection_lost(conn);
                }
            }
        }
    }

    fn on_request(&mut self, now: Micros, conn: ConnId, request: &Request) {
        let Some(connection) = self.conns.get_mut(&conn) else { return };
        let index = connection.server;
        let headers = &request.headers;
        let number = |name: &str| headers.get(name).and_then(|t| t.parse::<f64>().ok());
        let token = self.next_token;
        self.next_token += 1;
        let mut replies = Vec::new();
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let server = &mut self.servers[index];
        let keys = self.keys.entry(server.spec.key_group).or_default();
        let needs =
            (number("basaltward-memory-mb").unwrap_or(1.0), number("basaltward-lanes").unwrap_or(1.0) as u32);
        let copies_of = path.strip_prefix("/functions/").and_then(|p| p.strip_suffix("/copies"));
        let attempt = headers.get("basaltward-attempt").unwrap_or_default().to_owned();
        match (request.method, copies_of, path.strip_prefix("/functions/")) {
            (Method::Get, Some(function), _) => {
                connection.pending = Some(PendingRequest { token, payload: None, attempt });
                self.by_token.insert(token, conn);
                server.model.order(now, (&mut self.store, keys), (token, function, 0), needs, &mut replies);
            }
            (Method::Put, Some(function), _) => {
                connection.pending = Some(PendingRequest { token, payload: None, attempt });
                self.by_token.insert(token, conn);
                let count = query.strip_prefix("count=").and_then(|n| n.parse().ok()).unwrap_or(1);
                server.model.order(
                    now,
                    (&mut self.store, keys),
                    (token, function, count),
                    needs,
                    &mut replies,
                );
            }
            (Method::Delete, Some(function), _) => {
                server.model.drop_idle(function);
                let head = self.io.output(conn).map(|out| HeadWriter::response(out, 204));
                if let Some(head) = head {
                    head.field("basaltward-outcome", "ok").body(Body::None);
                }
            }
            (Method::Post, None, Some(function)) => {
                let event = format!(
                    "{}#{}",
                    headers.get("ce-source").unwrap_or(""),
                    headers.get("ce-id").unwrap_or("")
                );
                let kind = headers.get("content-type").unwrap_or("application/octet-stream").to_owned();
                let call = Call {
                    token,
                    function: function.to_owned(),
                    memory_mb: needs.0,
                    lanes: needs.1,
                    work: number("ce-workus").map(|us| us as Micros),
                    event: event.clone(),
                    attempt: attempt.clone(),
                    window: number("basaltward-window-ms").map(|ms| ms as Micros * 1_000),
                };
                if self.recorder.is_enabled() {
                    let (work, attempt) = (server.model.work_of(&call), attempt.clone());
                    let observation = Observation::Arrived { event, attempt, work };
                    self.recorder.put(now, &server.address.to_string(), observation);
                }
                connection.pending =
                    Some(PendingRequest { token, payload: Some((request.body.clone(), kind)), attempt });
                self.by_token.insert(token, conn);
                server.model.call(now, (&mut self.store, keys), call, &mut replies);
            }
            (Method::Get, None, _) if path == "/load" => {
                let report = load_report(&server.model);
                if let Some(out) = self.io.output(conn) {
                    let head = HeadWriter::response(out, 200).field("basaltward-outcome", "ok");
                    head.field("basaltward-load", report).body(Body::Empty);
                }
            }
            _ => {
                if let Some(out) = self.io.output(conn) {
                    HeadWriter::response(out, 405).body(Body::Empty);
                }
            }
        }
        self.handle_replies(now, index, replies);
    }

    /// Records the events that a worker reports and sends its answers.
    fn handle_replies(&mut self, now: Micros, index: usize, replies: Vec<Reply>) {
        let mut answers = Vec::new();
        for reply in replies {
            let observer = || self.servers[index].address.to_string();
            match reply {
                Reply::Ran { event, attempt } => {
                    if self.recorder.is_enabled() {
                        self.recorder.put(now, &observer(), Observation::Ran { event, attempt });
                    }
                }
                Reply::Collapsed => self.recorder.put(now, &observer(), Observation::WorkerCollapsed),
                answer => answers.push(answer),
            }
        }
        self.send_answers(now, answers);
    }

    /// Sends answers, each from the worker that its request reached: a repeat may wait at another worker than the first
    /// call.
    fn send_answers(&mut self, now: Micros, replies: Vec<Reply>) {
        for reply in replies {
            match reply {
                Reply::Ran { .. } | Reply::Collapsed => {}
                Reply::Duplicate { token } => self.record_dropped(now, token),
                Reply::Ok { token, copy, crowd } => {
                    let copy = match copy {
                        CopyState::Loaded => "stood",
                        CopyState::LoadStarted => "began",
                        CopyState::LoadPending => "waited",
                    };
                    self.answer(now, token, 200, "ok", &[("basaltward-copy", copy)], Some(crowd), None);
                }
                Reply::Miss { token, load_failed } => {
                    self.record_dropped(now, token);
                    let copy: &[_] = if load_failed { &[("basaltward-copy", "failed")] } else { &[] };
                    self.answer(now, token, 404, "miss", copy, None, None);
                }
                Reply::Full { token } => {
                    self.record_dropped(now, token);
                    self.answer(now, token, 503, "full", &[], None, None);
                }
                Reply::Copies { token, count, fulfilled } => {
                    let (status, outcome) = if fulfilled { (200, "ok") } else { (503, "full") };
                    self.answer(now, token, status, outcome, &[], None, Some(count));
                }
            }
        }
    }

    fn record_dropped(&self, now: Micros, token: u64) {
        let Some(conn) = self.by_token.get(&token).and_then(|conn| self.conns.get(conn)) else { return };
        if let Some(pending) = conn.pending.as_ref().filter(|_| self.recorder.is_enabled()) {
            let observation = Observation::Dropped { attempt: pending.attempt.clone() };
            self.recorder.put(now, &self.servers[conn.server].address.to_string(), observation);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one response, written in one place")]
    fn answer(
        &mut self,
        now: Micros,
        token: u64,
        status: u16,
        outcome: &str,
        extra_fields: &[(&str, &str)],
        crowd: Option<usize>,
        copies: Option<u32>,
    ) {
        let Some(conn) = self.by_token.remove(&token) else { return };
        let Some(connection) = self.conns.get_mut(&conn) else { return };
        let payload = connection.pending.take().and_then(|pending| pending.payload);
        let server = &self.servers[connection.server];
        if server.silent || server.model.dead {
            return;
        }
        let (body, kind) = payload.filter(|_| status == 200).unwrap_or_default();
        let mut bytes = BytesMut::new();
        let mut head = HeadWriter::response(&mut bytes, status).field("basaltward-outcome", outcome);
        for (name, value) in extra_fields {
            head = head.field(name, value);
        }
        if let Some(crowd) = crowd {
            head = head.display_field("basaltward-crowd", crowd);
        }
        if let Some(copies) = copies {
            head = head.display_field("basaltward-copies", copies);
        }
        let head = head.field("basaltward-load", load_report(&server.model));
        let head = if kind.is_empty() { head } else { head.field("Content-Type", kind) };
        if server.too_long {
            head.body(Body::Length(1 << 40));
        } else {
            head.body(Body::Whole(&body));
        }
        let (garbage, reset_at, close) = (server.garbage, server.reset_at, server.close_after);
        if garbage {
            bytes = BytesMut::from(&b"\x16\x03\x01 this is not HTTP\n\n"[..]);
        }
        if let Some(at) = reset_at {
            bytes.truncate(at);
            self.to_reset.push(conn);
        }
        if let Some(out) = self.io.output(conn) {
            out.extend_from_slice(&bytes);
        }
        if close {
            self.conns.remove(&conn);
            self.io.close(conn);
        } else {
            // Handles a request that arrived on this connection meanwhile.
            self.on_data(now, conn);
        }
    }
}

/// The load report of a worker, as in its `basaltward-load` header.
fn load_report(model: &WorkerModel) -> String {
    let (inflight, pinned, loads) = model.report();
    format!("inflight={inflight}, pinned={pinned:.3}, loads={loads}")
}
