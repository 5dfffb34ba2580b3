//! A fake worker that speaks the platform's line protocol and handles each request as a script says.

use basaltward_net::monotonic;
use basaltward_rules::{Observation, Recorder};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Maximum of bytes in a body; the platform's clients send no more.
const MAX_BODY_BYTES: usize = 16 << 10;

/// A request as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecRequest {
    /// Id of the request.
    pub id: String,
    /// The fields of its line, unparsed.
    pub fields: String,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Number of requests that this worker received before this one.
    pub arrival_index: usize,
}

/// A step in handling a request. The script returns a list of them, which are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerAction {
    /// Records the request as executed.
    Run,
    /// Writes these bytes to the connection.
    Write(Vec<u8>),
    /// Sleeps; further requests on this connection wait.
    Wait(Duration),
    /// Resets the connection.
    Reset,
    /// Closes the connection.
    Close,
}

/// Encodes an answer: its line and its body.
pub fn answer_line(id: &str, status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("{id} {status} {fields} {}\r\n", body.len());
    [head.as_bytes(), body, b"\r\n"].concat()
}

impl ExecRequest {
    /// The actions that run the request and answer with the reversed body.
    pub fn serve(&self) -> Vec<WorkerAction> {
        vec![
            WorkerAction::Run,
            WorkerAction::Write(answer_line(&self.id, "OK", "detail=up", &self.reversed_body())),
        ]
    }

    /// The body in reverse order, with which [`ExecRequest::serve`] answers.
    pub fn reversed_body(&self) -> Vec<u8> {
        self.body.iter().rev().copied().collect()
    }
}

/// Whether the accepting thread accepts connections.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AcceptGate {
    Open,
    /// Closes after the next connection.
    Closing,
    Closed,
}

type Script = dyn Fn(&ExecRequest) -> Vec<WorkerAction> + Send + Sync;

type IdentifyScheduler = dyn Fn(SocketAddr) -> String + Send + Sync;

struct Shared {
    name: String,
    /// Returns the name of the scheduler that a connection comes from.
    identify_scheduler: Box<IdentifyScheduler>,
    script: Box<Script>,
    recorder: Recorder,
    request_count: AtomicUsize,
    /// Every line received, without bodies.
    lines: Mutex<Vec<String>>,
    /// Arrival times of orders to load; queries (`slots_up=0`) are left out.
    load_order_times: Mutex<Vec<u64>>,
    open: Mutex<Vec<TcpStream>>,
    accept_gate: (Mutex<AcceptGate>, Condvar),
    /// Orders are not answered, except by [`LineWorker::write_to_port`].
    order_answers_held: AtomicBool,
    /// New work is answered `BUSY`.
    draining: AtomicBool,
    /// New work that arrived while draining.
    rejected_while_draining: Mutex<Vec<RejectedLine>>,
}

/// A call or an order to load that arrived at a draining worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedLine {
    /// When its line was complete, in microseconds of the monotonic clock.
    pub at: u64,
    /// Address of the sender.
    pub from: SocketAddr,
    /// The line, without the body.
    pub line: String,
}

/// A fake worker. It has a thread per connection; dropping it closes the connections and so ends the threads.
pub struct LineWorker {
    address: SocketAddr,
    listener: TcpListener,
    shared: Arc<Shared>,
}

impl LineWorker {
    /// Starts a worker with this name on a free port of loopback. `script` decides how each request is handled.
    ///
    /// # Errors
    /// If the socket can't be opened.
    pub fn start(
        name: &str,
        recorder: Recorder,
        script: impl Fn(&ExecRequest) -> Vec<WorkerAction> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        Self::start_for_schedulers(name, recorder, |_| "n0".into(), script)
    }

    /// Like [`LineWorker::start`], for several schedulers: `identify_scheduler` returns a scheduler's name from the
    /// address that its connection comes from.
    ///
    /// # Errors
    /// As [`LineWorker::start`].
    pub fn start_for_schedulers(
        name: &str,
        recorder: Recorder,
        identify_scheduler: impl Fn(SocketAddr) -> String + Send + Sync + 'static,
        script: impl Fn(&ExecRequest) -> Vec<WorkerAction> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        recorder.put(monotonic(), name, Observation::WorkerStarted { capacity: 1.0, warm: true });
        let shared = Arc::new(Shared {
            name: name.into(),
            identify_scheduler: Box::new(identify_scheduler),
            script: Box::new(script),
            recorder,
            request_count: AtomicUsize::new(0),
            lines: Mutex::default(),
            load_order_times: Mutex::default(),
            open: Mutex::default(),
            accept_gate: (Mutex::new(AcceptGate::Open), Condvar::new()),
            order_answers_held: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            rejected_while_draining: Mutex::default(),
        });
        let (weak, own_listener) = (Arc::downgrade(&shared), listener.try_clone()?);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (Ok(stream), Some(shared)) = (stream, weak.upgrade()) else { return };
                shared.wait_for_accept_gate();
                // Without Nagle's algorithm: separate writes are sent separately.
                let _ = stream.set_nodelay(true);
                if let Ok(clone) = stream.try_clone() {
                    lock(&shared.open).push(clone);
                }
                std::thread::spawn(move || shared.connection(&stream));
            }
        });
        Ok(Self { address, listener: own_listener, shared })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Every line received so far, without bodies.
    pub fn received_lines(&self) -> Vec<String> {
        lock(&self.shared.lines).clone()
    }

    /// Arrival times of orders to load, in microseconds of the monotonic clock. Queries (`slots_up=0`) are left out.
    pub fn load_order_times(&self) -> Vec<u64> {
        lock(&self.shared.load_order_times).clone()
    }

    /// Writes these bytes on the connection that comes from this port, independent of the script.
    ///
    /// # Errors
    /// If no connection from this port is open, or the write fails.
    pub fn write_to_port(&self, port: u16, bytes: &[u8]) -> io::Result<()> {
        let open = lock(&self.shared.open);
        let from = |stream: &&TcpStream| stream.peer_addr().is_ok_and(|from| from.port() == port);
        let mut stream = open.iter().find(from).ok_or(io::ErrorKind::NotConnected)?;
        stream.write_all(bytes)
    }

    /// Gives further connections a receive buffer of 4 KiB, so that the caller's send buffer soon fills up while the
    /// script of a request waits.
    ///
    /// # Errors
    /// If the system rejects the socket option.
    pub fn shrink_receive_buffers(&self) -> io::Result<()> {
        Ok(rustix::net::sockopt::set_socket_recv_buffer_size(&self.listener, 4 << 10)?)
    }

    /// From now on orders are not answered, except by [`LineWorker::write_to_port`]. Their lines are recorded with the
    /// sender's port, as in `ensure TAG path=F,slots_up=1 from=40000`.
    pub fn hold_order_answers(&self) {
        self.shared.order_answers_held.store(true, Ordering::SeqCst);
    }

    /// Starts or ends draining. A draining worker answers calls and orders to load with `BUSY` and probes with `DOWN`;
    /// queries for the number of copies are still answered.
    pub fn set_draining(&self, draining: bool) {
        self.shared.draining.store(draining, Ordering::SeqCst);
    }

    /// Calls and orders to load that arrived while the worker was draining.
    pub fn rejected_while_draining(&self) -> Vec<RejectedLine> {
        lock(&self.shared.rejected_while_draining).clone()
    }

    /// From now on new connections are not established: the system drops their SYN packets, since the accept queue is
    /// full. Connections begun meanwhile are established after [`LineWorker::unblock_new_connections`], a second or
    /// more after their start, when the caller's system retransmits the SYN.
    ///
    /// # Errors
    /// If the system refuses a socket.
    pub fn block_new_connections(&self) -> io::Result<()> {
        *lock(&self.shared.accept_gate.0) = AcceptGate::Closing;
        rustix::net::listen(&self.listener, 0)?;
        // The accepting thread holds one connection, a second one fills the system's accept queue. If a caller connects
        // first, its connection takes one of these places, and the connect below may time out since the queue is full.
        let fill = || match TcpStream::connect_timeout(&self.address, Duration::from_millis(500)) {
            Ok(stream) => Ok(Some(stream)),
            Err(error) if error.kind() == io::ErrorKind::TimedOut => Ok(None),
            Err(error) => Err(error),
        };
        let accepted = fill()?;
        let gate = lock(&self.shared.accept_gate.0);
        drop(self.shared.accept_gate.1.wait_while(gate, |gate| *gate != AcceptGate::Closed));
        let queued = fill()?;
        lock(&self.shared.open).extend(accepted.into_iter().chain(queued));
        Ok(())
    }

    /// Accepts connections again, after [`LineWorker::block_new_connections`].
    pub fn unblock_new_connections(&self) {
        *lock(&self.shared.accept_gate.0) = AcceptGate::Open;
        self.shared.accept_gate.1.notify_all();
    }

    /// Closes every open connection, as a worker does after the idle timeout.
    pub fn close_all(&self) {
        for stream in lock(&self.shared.open).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Resets every open connection.
    pub fn reset_all(&self) {
        for stream in lock(&self.shared.open).drain(..) {
            reset(&stream);
        }
    }
}

impl Drop for LineWorker {
    fn drop(&mut self) {
        self.unblock_new_connections();
        self.close_all();
        // Wakes the accepting thread, which ends because the shared state is gone.
        let _ = TcpStream::connect(self.address);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn reset(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
    // With a linger time of zero the socket is reset once it is shut down and closed; the reading thread closes it.
    let _ = rustix::net::shutdown(stream, rustix::net::Shutdown::Both);
}

impl Shared {
    /// Blocks the accepting thread while the gate is closed.
    fn wait_for_accept_gate(&self) {
        let mut gate = lock(&self.accept_gate.0);
        if *gate == AcceptGate::Closing {
            *gate = AcceptGate::Closed;
            self.accept_gate.1.notify_all();
        }
        drop(self.accept_gate.1.wait_while(gate, |gate| *gate == AcceptGate::Closed));
    }

    fn connection(&self, stream: &TcpStream) {
        if let Ok(from) = stream.peer_addr() {
            let _ = self.serve(stream, from);
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn serve(&self, stream: &TcpStream, from: SocketAddr) -> io::Result<()> {
        let (mut reader, mut out) = (BufReader::new(stream), stream);
        let mut line = String::new();
        loop {
            line.clear();
            if reader.by_ref().take(4_096).read_line(&mut line)? == 0 {
                return Ok(());
            }
            let request = line.trim_end().to_owned();
            let is_held = self.order_answers_held.load(Ordering::SeqCst) && request.starts_with("ensure ");
            let recorded = if is_held { format!("{request} from={}", from.port()) } else { request.clone() };
            lock(&self.lines).push(recorded);
            let words: Vec<&str> = request.split(' ').collect();
            if words[0] == "ensure" && !request.ends_with("slots_up=0") {
                lock(&self.load_order_times).push(monotonic());
            }
            match words[..] {
                ["exec", id, fields, length] => {
                    let length = length.parse::<usize>().ok().filter(|l| *l <= MAX_BODY_BYTES);
                    let length = length.ok_or(io::ErrorKind::InvalidData)?;
                    let mut body = vec![0; length + 2];
                    reader.read_exact(&mut body)?;
                    body.truncate(length);
                    let arrival_index = self.request_count.fetch_add(1, Ordering::SeqCst);
                    let exec = ExecRequest { id: id.into(), fields: fields.into(), body, arrival_index };
                    if self.draining.load(Ordering::SeqCst) {
                        self.record_rejected(from, &request);
                        out.write_all(&answer_line(id, "BUSY", "-", b""))?;
                        continue;
                    }
                    if !self.run_script(&exec, from, stream)? {
                        return Ok(());
                    }
                }
                ["health" | "load", tag] => {
                    let status = if self.draining.load(Ordering::SeqCst) { "DOWN" } else { "UP" };
                    out.write_all(&answer_line(tag, status, "-", b""))?;
                }
                ["ensure", ..] if is_held => {}
                ["ensure", tag, _]
                    if !request.ends_with("slots_up=0") && self.draining.load(Ordering::SeqCst) =>
                {
                    self.record_rejected(from, &request);
                    out.write_all(&answer_line(tag, "BUSY", "slots_up=0", b""))?;
                }
                ["ensure", tag, fields] => {
                    let count = fields.rsplit_once("slots_up=").and_then(|(_, n)| n.parse().ok());
                    let copies = format!("slots_up={}", count.unwrap_or(0u32).max(1));
                    out.write_all(&answer_line(tag, "OK", &copies, b""))?;
                }
                ["drop" | "release", _] => {}
                _ => return Err(io::ErrorKind::InvalidData.into()),
            }
        }
    }

    fn record_rejected(&self, from: SocketAddr, line: &str) {
        lock(&self.rejected_while_draining).push(RejectedLine { at: monotonic(), from, line: line.into() });
    }

    /// Carries out the script's actions for a request. Returns false if they end the connection.
    fn run_script(&self, exec: &ExecRequest, from: SocketAddr, mut stream: &TcpStream) -> io::Result<bool> {
        let attempt = || format!("{}:{}@{}", (self.identify_scheduler)(from), exec.id, from.port());
        let record = |observation| self.recorder.put(monotonic(), &self.name, observation);
        record(Observation::Arrived { event: exec.id.clone(), attempt: attempt(), work: 1 });
        for action in (self.script)(exec) {
            match action {
                WorkerAction::Run => record(Observation::Ran { event: exec.id.clone(), attempt: attempt() }),
                WorkerAction::Write(bytes) => stream.write_all(&bytes)?,
                WorkerAction::Wait(duration) => std::thread::sleep(duration),
                WorkerAction::Reset => {
                    reset(stream);
                    return Ok(false);
                }
                WorkerAction::Close => return Ok(false),
            }
        }
        Ok(true)
    }
}
