//! A fleet of stand-in workers on one loop: HTTP around the model, and scripted faults.

use crate::dedup::DedupTable;
use crate::store::{Store, StoreSpec};
use crate::worker_model::{Call, CopyNote, Reply, Worker, WorkerSpec};
use basaltward_http::{Body, Decoded, HeadWriter, Limits, Method, Request, RequestDecoder};
use basaltward_net::{ConnId, Io, IoEvent, IoLimits, Micros, NetError, Waker, bind, monotonic};
use basaltward_rules::{Observation, Recorder};
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, SyncSender, channel, sync_channel};
use std::thread::JoinHandle;
use thiserror::Error;

/// Why a fleet can't run.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The system refused something.
    #[error(transparent)]
    Net(#[from] NetError),
    /// A thread can't be started.
    #[error("thread: {0}")]
    Thread(#[from] std::io::Error),
    /// Its thread has panicked.
    #[error("the fleet has panicked")]
    Panicked,
}

/// What may be done to one worker, or to the store they share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// It takes everything and answers nothing.
    Silent(bool),
    /// It works so many times slower.
    Slow(f64),
    /// It finishes what it has and takes nothing new.
    Drain(bool),
    /// Its process is gone: connections are reset, further ones refused.
    Kill,
    /// It runs again under the same address, cold and empty.
    Restart,
    /// It answers with what is no HTTP.
    Garbage(bool),
    /// It resets the connection after so many bytes of each answer; `None` ends the fault.
    ResetAt(Option<usize>),
    /// Its answers are longer than any limit.
    TooLong(bool),
    /// It closes each connection after an answer without saying so, at once.
    CloseAfter(bool),
    /// The store is so many times slower.
    StoreSlow(f64),
}

struct Server {
    address: SocketAddr,
    listener: Option<usize>,
    spec: WorkerSpec,
    model: Worker,
    silent: bool,
    garbage: bool,
    too_long: bool,
    close_after: bool,
    reset_at: Option<usize>,
}

struct Conn {
    server: usize,
    decoder: RequestDecoder,
    token: Option<Pending>,
}

/// What a connection waits for.
struct Pending {
    token: u64,
    /// A call's payload with its content type, for the echo.
    payload: Option<(Bytes, String)>,
    attempt: String,
}

/// What the loop is told: a fault with where to say that it is done, or nothing for the end.
type Command = Option<(usize, Fault, SyncSender<()>)>;

/// A running fleet.
pub struct Fleet {
    addresses: Vec<SocketAddr>,
    faults: Sender<Command>,
    waker: Waker,
    thread: JoinHandle<Result<(), NetError>>,
}

impl Fleet {
    /// Starts a worker for each spec, all on one thread. Port 0 in `addresses` has the system choose; with
    /// none given all do.
    ///
    /// # Errors
    /// Where an address or the thread can't be had.
    pub fn start(
        specs: Vec<WorkerSpec>,
        addresses: &[SocketAddr],
        store: StoreSpec,
        recorder: Recorder,
    ) -> Result<Self, FleetError> {
        let mut io = Io::new(IoLimits { connections: 50_000, ..IoLimits::default() })?;
        let mut servers = Vec::new();
        for (index, spec) in specs.into_iter().enumerate() {
            let wanted = addresses.get(index).copied().unwrap_or(([127, 0, 0, 1], 0).into());
            let (listener, address) = io.listen(bind(wanted, false)?)?;
            let model = Worker::new(index, spec.clone(), None);
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
        let running = Running {
            io,
            servers,
            store: Store::new(store),
            keys: BTreeMap::new(),
            conns: HashMap::new(),
            by_token: HashMap::new(),
            next: 1,
            recorder,
            to_reset: Vec::new(),
        };
        let thread =
            std::thread::Builder::new().name("fleet".into()).spawn(move || running.run(&commands))?;
        Ok(Self { addresses, faults, waker, thread })
    }

    /// Where the workers listen, in the order of their specs.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Does something to a worker, by position; it is done when this returns.
    pub fn inject_fault(&self, worker: usize, fault: Fault) {
        let (done, wait) = sync_channel(1);
        let _ = self.faults.send(Some((worker, fault, done)));
        self.waker.wake();
        // Ends with the loop too, which drops its side.
        let _ = wait.recv();
    }

    /// Ends the fleet.
    ///
    /// # Errors
    /// What failed its loop.
    pub fn stop(self) -> Result<(), FleetError> {
        let _ = self.faults.send(None);
        self.waker.wake();
        Ok(self.thread.join().map_err(|_| FleetError::Panicked)??)
    }
}

struct Running {
    io: Io,
    servers: Vec<Server>,
    store: Store,
    /// Memories of keys, by group of workers.
    keys: BTreeMap<u64, DedupTable>,
    conns: HashMap<ConnId, Conn>,
    by_token: HashMap<u64, ConnId>,
    next: u64,
    recorder: Recorder,
    /// Connections to be reset once what was put on them is written.
    to_reset: Vec<ConnId>,
}

impl Running {
    fn run(mut self, commands: &Receiver<Command>) -> Result<(), NetError> {
        for server in &self.servers {
            let (capacity, warm) = (server.model.capacity(), true);
            self.recorder.put(
                monotonic(),
                &server.address.to_string(),
                Observation::WorkerStarted { capacity, warm },
            );
        }
        let mut happened = Vec::new();
        loop {
            let due = self.servers.iter().filter_map(|s| s.model.next_due()).min();
            let now = monotonic();
            // What is to be reset is written first, then reset at once.
            let wait = if self.to_reset.is_empty() { due.map(|d| d.saturating_sub(now)) } else { Some(0) };
            self.io.turn(wait, &mut happened)?;
            for conn in std::mem::take(&mut self.to_reset) {
                self.io.reset(conn);
                self.lost(conn);
            }
            let now = monotonic();
            for command in commands.try_iter() {
                match command {
                    Some((worker, fault, done)) => {
                        self.apply(now, worker, fault)?;
                        let _ = done.send(());
                    }
                    None => return Ok(()),
                }
            }
            for happened in happened.drain(..) {
                match happened {
                    IoEvent::Accepted { conn, listener } => {
                        if let Some(server) = self.servers.iter().position(|s| s.listener == Some(listener)) {
                            let decoder = RequestDecoder::new(Limits { body: 16 << 20, ..Limits::default() });
                            self.conns.insert(conn, Conn { server, decoder, token: None });
                        }
                    }
                    IoEvent::Data(conn) => self.data(now, conn),
                    IoEvent::Ended(conn, _) => self.lost(conn),
                    _ => {}
                }
            }
            for index in 0..self.servers.len() {
                let mut replies = Vec::new();
                let server = &mut self.servers[index];
                let keys = self.keys.entry(server.spec.key_group).or_default();
                server.model.wake(now, (&mut self.store, keys), &mut replies);
                self.answer_all_of(now, index, replies);
            }
            self.io.free_ended();
        }
    }

    fn lost(&mut self, conn: ConnId) {
        let Some(known) = self.conns.remove(&conn) else { return };
        if let Some(Pending { token, .. }) = known.token {
            self.by_token.remove(&token);
            let (server, mut replies) = (&mut self.servers[known.server], Vec::new());
            let keys = self.keys.entry(server.spec.key_group).or_default();
            server.model.cancel(keys, token, &mut replies);
            self.answer_all(monotonic(), replies);
        }
    }

    fn apply(&mut self, now: Micros, index: usize, fault: Fault) -> Result<(), NetError> {
        if let Fault::StoreSlow(times) = fault {
            self.store.slowdown = times.max(0.01);
            return Ok(());
        }
        let Some(server) = self.servers.get_mut(index) else { return Ok(()) };
        match fault {
            Fault::Silent(on) => server.silent = on,
            Fault::Slow(times) => server.model.slow = times.max(0.01),
            Fault::Drain(on) => server.model.draining = on,
            Fault::Garbage(on) => server.garbage = on,
            Fault::ResetAt(byte) => server.reset_at = byte,
            Fault::TooLong(on) => server.too_long = on,
            Fault::CloseAfter(on) => server.close_after = on,
            Fault::Kill => {
                if let Some(listener) = server.listener.take() {
                    self.io.stop_listening(listener);
                }
                let gone: Vec<_> =
                    self.conns.iter().filter(|(_, c)| c.server == index).map(|(id, _)| *id).collect();
                for conn in gone {
                    self.io.reset(conn);
                    self.lost(conn);
                }
                let server = &mut self.servers[index];
                server.model.fallen = true;
                let keys = self.keys.entry(server.spec.key_group).or_default();
                let repeats = keys.worker_died(index, server.spec.loses_keys_when_killed);
                let reply = |token| Reply::Ok { token, copy: CopyNote::Stood, crowd: 0 };
                self.answer_all(now, repeats.into_iter().map(reply).collect());
            }
            Fault::Restart => {
                let (listener, _) = self.io.listen(bind(server.address, false)?)?;
                server.listener = Some(listener);
                server.model = Worker::new(index, server.spec.clone(), Some(now));
                (server.silent, server.garbage, server.too_long, server.reset_at) =
                    (false, false, false, None);
                let what = Observation::WorkerStarted { capacity: server.model.capacity(), warm: false };
                self.recorder.put(now, &server.address.to_string(), what);
            }
            Fault::StoreSlow(_) => {}
        }
        Ok(())
    }

    fn data(&mut self, now: Micros, conn: ConnId) {
        loop {
            let Some(known) = self.conns.get_mut(&conn).filter(|c| c.token.is_none()) else { return };
            let Some(input) = self.io.input(conn) else { return };
            match known.decoder.decode(input) {
                Ok(Decoded::Message(request)) => {
                    self.io.release_input(conn);
                    self.io.pause(conn, false);
                    self.request(now, conn, &request);
                }
                Ok(_) => return self.io.pause(conn, false),
                Err(_) => {
                    self.io.abort(conn);
                    return self.lost(conn);
                }
            }
        }
    }

    fn request(&mut self, now: Micros, conn: ConnId, request: &Request) {
        let Some(known) = self.conns.get_mut(&conn) else { return };
        let index = known.server;
        let headers = &request.headers;
        let number = |name: &str| headers.get(name).and_then(|t| t.parse::<f64>().ok());
        let token = self.next;
        self.next += 1;
        let mut replies = Vec::new();
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let server = &mut self.servers[index];
        let keys = self.keys.entry(server.spec.key_group).or_default();
        let needs =
            (number("basaltward-memory-mb").unwrap_or(1.0), number("basaltward-lanes").unwrap_or(1.0) as u32);
        let copies = path.strip_prefix("/functions/").and_then(|p| p.strip_suffix("/copies"));
        let attempt = headers.get("basaltward-attempt").unwrap_or_default().to_owned();
        match (request.method, copies, path.strip_prefix("/functions/")) {
            (Method::Get, Some(function), _) => {
                known.token = Some(Pending { token, payload: None, attempt });
                self.by_token.insert(token, conn);
                server.model.order(now, (&mut self.store, keys), (token, function, 0), needs, &mut replies);
            }
            (Method::Put, Some(function), _) => {
                known.token = Some(Pending { token, payload: None, attempt });
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
                    let what = Observation::Arrived { event, attempt, work };
                    self.recorder.put(now, &server.address.to_string(), what);
                }
                known.token = Some(Pending { token, payload: Some((request.body.clone(), kind)), attempt });
                self.by_token.insert(token, conn);
                server.model.call(now, (&mut self.store, keys), call, &mut replies);
            }
            (Method::Get, None, _) if path == "/load" => {
                let report = load(&server.model);
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
        self.answer_all_of(now, index, replies);
    }

    /// Carries out what a worker says.
    fn answer_all_of(&mut self, now: Micros, index: usize, replies: Vec<Reply>) {
        let mut answers = Vec::new();
        for reply in replies {
            let by = || self.servers[index].address.to_string();
            match reply {
                Reply::Ran { event, attempt } => {
                    if self.recorder.is_enabled() {
                        self.recorder.put(now, &by(), Observation::Ran { event, attempt });
                    }
                }
                Reply::Fell => self.recorder.put(now, &by(), Observation::WorkerCollapsed),
                answer => answers.push(answer),
            }
        }
        self.answer_all(now, answers);
    }

    /// Writes answers, each by the worker that its call reached: a repeat may wait at another one than the
    /// first.
    fn answer_all(&mut self, now: Micros, replies: Vec<Reply>) {
        for reply in replies {
            match reply {
                Reply::Ran { .. } | Reply::Fell => {}
                Reply::Repeat { token } => self.note_dropped(now, token),
                Reply::Ok { token, copy, crowd } => {
                    let copy = match copy {
                        CopyNote::Stood => "stood",
                        CopyNote::Began => "began",
                        CopyNote::Waited => "waited",
                    };
                    self.answer(now, token, 200, "ok", &[("basaltward-copy", copy)], Some(crowd), None);
                }
                Reply::Miss { token, failed } => {
                    self.note_dropped(now, token);
                    let copy: &[_] = if failed { &[("basaltward-copy", "failed")] } else { &[] };
                    self.answer(now, token, 404, "miss", copy, None, None);
                }
                Reply::Full { token } => {
                    self.note_dropped(now, token);
                    self.answer(now, token, 503, "full", &[], None, None);
                }
                Reply::Copies { token, count, kept } => {
                    let (status, outcome) = if kept { (200, "ok") } else { (503, "full") };
                    self.answer(now, token, status, outcome, &[], None, Some(count));
                }
            }
        }
    }

    fn note_dropped(&self, now: Micros, token: u64) {
        let Some(conn) = self.by_token.get(&token).and_then(|conn| self.conns.get(conn)) else { return };
        if let Some(pending) = conn.token.as_ref().filter(|_| self.recorder.is_enabled()) {
            let what = Observation::Dropped { attempt: pending.attempt.clone() };
            self.recorder.put(now, &self.servers[conn.server].address.to_string(), what);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one response, written in one place")]
    fn answer(
        &mut self,
        now: Micros,
        token: u64,
        status: u16,
        outcome: &str,
        more: &[(&str, &str)],
        crowd: Option<usize>,
        copies: Option<u32>,
    ) {
        let Some(conn) = self.by_token.remove(&token) else { return };
        let Some(known) = self.conns.get_mut(&conn) else { return };
        let payload = known.token.take().and_then(|pending| pending.payload);
        let server = &self.servers[known.server];
        if server.silent || server.model.fallen {
            return;
        }
        let (body, kind) = payload.filter(|_| status == 200).unwrap_or_default();
        let mut bytes = BytesMut::new();
        let mut head = HeadWriter::response(&mut bytes, status).field("basaltward-outcome", outcome);
        for (name, value) in more {
            head = head.field(name, value);
        }
        if let Some(crowd) = crowd {
            head = head.shown("basaltward-crowd", crowd);
        }
        if let Some(copies) = copies {
            head = head.shown("basaltward-copies", copies);
        }
        let head = head.field("basaltward-load", load(&server.model));
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
            // A request that came meanwhile.
            self.data(now, conn);
        }
    }
}

fn load(model: &Worker) -> String {
    let (inflight, pinned, loads) = model.report();
    format!("inflight={inflight}, pinned={pinned:.3}, loads={loads}")
}
