//! A worker that speaks the platform's line protocol and does with each request what a script says.

use basaltward_net::monotonic;
use basaltward_rules::{Observation, Recorder};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Most bytes of a body; the platform's clients send no more.
const BODY: usize = 16 << 10;

/// A request as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecRequest {
    /// Its id.
    pub id: String,
    /// Its fields, as written.
    pub fields: String,
    /// Its body.
    pub body: Vec<u8>,
    /// How many came to this worker before it.
    pub arrival_index: usize,
}

/// What a worker does about a request, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerAction {
    /// Runs it: its effect happens.
    Run,
    /// Writes these bytes.
    Write(Vec<u8>),
    /// Lets time pass; what comes on this connection waits.
    Wait(Duration),
    /// Breaks the connection.
    Reset,
    /// Ends the connection.
    Close,
}

/// An answer line with its body.
pub fn answer_line(id: &str, word: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("{id} {word} {fields} {}\r\n", body.len());
    [head.as_bytes(), body, b"\r\n"].concat()
}

impl ExecRequest {
    /// Runs and answers with the body turned round.
    pub fn serve(&self) -> Vec<WorkerAction> {
        vec![
            WorkerAction::Run,
            WorkerAction::Write(answer_line(&self.id, "OK", "detail=up", &self.reversed_body())),
        ]
    }

    /// Its body backwards: what [`Exec::serve`] answers with.
    pub fn reversed_body(&self) -> Vec<u8> {
        self.body.iter().rev().copied().collect()
    }
}

/// Whether connections wait to be accepted.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Gate {
    Open,
    /// It is to close behind the next connection.
    Closes,
    Shut,
}

type Script = dyn Fn(&ExecRequest) -> Vec<WorkerAction> + Send + Sync;

type Who = dyn Fn(SocketAddr) -> String + Send + Sync;

struct Shared {
    name: String,
    /// Names the scheduler behind a connection.
    who: Box<Who>,
    script: Box<Script>,
    recorder: Recorder,
    came: AtomicUsize,
    /// Every line that came, without bodies.
    lines: Mutex<Vec<String>>,
    /// When orders to load came, those that only ask left out.
    ordered: Mutex<Vec<u64>>,
    open: Mutex<Vec<TcpStream>>,
    gate: (Mutex<Gate>, Condvar),
    /// Orders get no answer but by [`LineWorker::say`].
    holds_orders: AtomicBool,
    /// It takes no new work and says so.
    drains: AtomicBool,
    /// New work that came while it drained.
    turned_away: Mutex<Vec<RejectedLine>>,
}

/// New work that came to a worker that drains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedLine {
    /// When its line had come, in microseconds.
    pub at: u64,
    /// Where it came from.
    pub from: SocketAddr,
    /// The line, without a body.
    pub line: String,
}

/// A stand-in worker. Its threads end with their connections, which end when it is dropped.
pub struct LineWorker {
    address: SocketAddr,
    listener: TcpListener,
    shared: Arc<Shared>,
}

impl LineWorker {
    /// A worker of this name on a port of its own.
    ///
    /// # Errors
    /// Where the system refuses a socket.
    pub fn start(
        name: &str,
        recorder: Recorder,
        script: impl Fn(&ExecRequest) -> Vec<WorkerAction> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        Self::start_for_schedulers(name, recorder, |_| "n0".into(), script)
    }

    /// As [`LineWorker::start`], for several schedulers, told apart by where they come from.
    ///
    /// # Errors
    /// As [`LineWorker::start`].
    pub fn start_for_schedulers(
        name: &str,
        recorder: Recorder,
        who: impl Fn(SocketAddr) -> String + Send + Sync + 'static,
        script: impl Fn(&ExecRequest) -> Vec<WorkerAction> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        recorder.put(monotonic(), name, Observation::WorkerStarted { capacity: 1.0, warm: true });
        let shared = Arc::new(Shared {
            name: name.into(),
            who: Box::new(who),
            script: Box::new(script),
            recorder,
            came: AtomicUsize::new(0),
            lines: Mutex::default(),
            ordered: Mutex::default(),
            open: Mutex::default(),
            gate: (Mutex::new(Gate::Open), Condvar::new()),
            holds_orders: AtomicBool::new(false),
            drains: AtomicBool::new(false),
            turned_away: Mutex::default(),
        });
        let (weak, kept) = (Arc::downgrade(&shared), listener.try_clone()?);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (Ok(stream), Some(shared)) = (stream, weak.upgrade()) else { return };
                shared.pass();
                // What is written in pieces leaves in pieces.
                let _ = stream.set_nodelay(true);
                if let Ok(kept) = stream.try_clone() {
                    lock(&shared.open).push(kept);
                }
                std::thread::spawn(move || shared.connection(&stream));
            }
        });
        Ok(Self { address, listener: kept, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Every line that came so far.
    pub fn received_lines(&self) -> Vec<String> {
        lock(&self.shared.lines).clone()
    }

    /// When orders to load came, in microseconds; those that only ask are left out.
    pub fn load_order_times(&self) -> Vec<u64> {
        lock(&self.shared.ordered).clone()
    }

    /// Writes these bytes on the connection that comes from this port, whatever its script says.
    ///
    /// # Errors
    /// Where no such connection stands.
    pub fn write_to_port(&self, port: u16, bytes: &[u8]) -> io::Result<()> {
        let open = lock(&self.shared.open);
        let from = |stream: &&TcpStream| stream.peer_addr().is_ok_and(|from| from.port() == port);
        let mut stream = open.iter().find(from).ok_or(io::ErrorKind::NotConnected)?;
        stream.write_all(bytes)
    }

    /// Connections that come from now on hold few bytes that were not read: while the script of a request waits, the
    /// caller's socket is soon full.
    ///
    /// # Errors
    /// Where the system refuses it.
    pub fn shrink_receive_buffers(&self) -> io::Result<()> {
        Ok(rustix::net::sockopt::set_socket_recv_buffer_size(&self.listener, 4 << 10)?)
    }

    /// From now on orders get no answer but by [`LineWorker::say`]. Its line is recorded with the port that it came
    /// from, as in `ensure TAG path=F,slots_up=1 from=40000`.
    pub fn hold_order_answers(&self) {
        self.shared.holds_orders.store(true, Ordering::SeqCst);
    }

    /// From now on it drains, or takes work again: while it drains calls and orders to load are answered `BUSY`, probes
    /// `DOWN`; a question for copies is answered as ever.
    pub fn set_draining(&self, drains: bool) {
        self.shared.drains.store(drains, Ordering::SeqCst);
    }

    /// Calls and orders to load that came while it drained.
    pub fn rejected_while_draining(&self) -> Vec<RejectedLine> {
        lock(&self.shared.turned_away).clone()
    }

    /// From now on new connections do not come up: the system drops their first packets. Those begun meanwhile come
    /// up a second after their beginning or later, as the caller's system tries again, once [`LineWorker::unplug`] is
    /// called.
    ///
    /// # Errors
    /// Where the system refuses a socket.
    pub fn block_new_connections(&self) -> io::Result<()> {
        *lock(&self.shared.gate.0) = Gate::Closes;
        rustix::net::listen(&self.listener, 0)?;
        // One connection that the thread holds, one that fills the system's queue. Where a caller was quicker, that one
        // is held, or the queue is full already: ours would only be tried again.
        let fill = || match TcpStream::connect_timeout(&self.address, Duration::from_millis(500)) {
            Ok(filled) => Ok(Some(filled)),
            Err(error) if error.kind() == io::ErrorKind::TimedOut => Ok(None),
            Err(error) => Err(error),
        };
        let held = fill()?;
        let gate = lock(&self.shared.gate.0);
        drop(self.shared.gate.1.wait_while(gate, |gate| *gate != Gate::Shut));
        let queued = fill()?;
        lock(&self.shared.open).extend(held.into_iter().chain(queued));
        Ok(())
    }

    /// Accepts again.
    pub fn unblock_new_connections(&self) {
        *lock(&self.shared.gate.0) = Gate::Open;
        self.shared.gate.1.notify_all();
    }

    /// Ends every connection that stands, as one that was idle for too long.
    pub fn close_all(&self) {
        for stream in lock(&self.shared.open).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Breaks every connection that stands.
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
        // Wakes the thread that accepts, which then finds nobody left.
        let _ = TcpStream::connect(self.address);
    }
}

fn lock<T>(of: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

fn reset(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
    // With no time to linger a socket is reset once it is shut and closed; its reader closes it.
    let _ = rustix::net::shutdown(stream, rustix::net::Shutdown::Both);
}

impl Shared {
    /// Holds who accepts while the gate is shut.
    fn pass(&self) {
        let mut gate = lock(&self.gate.0);
        if *gate == Gate::Closes {
            *gate = Gate::Shut;
            self.gate.1.notify_all();
        }
        drop(self.gate.1.wait_while(gate, |gate| *gate == Gate::Shut));
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
            let told = line.trim_end().to_owned();
            let held = self.holds_orders.load(Ordering::SeqCst) && told.starts_with("ensure ");
            let noted = if held { format!("{told} from={}", from.port()) } else { told.clone() };
            lock(&self.lines).push(noted);
            let words: Vec<&str> = told.split(' ').collect();
            if words[0] == "ensure" && !told.ends_with("slots_up=0") {
                lock(&self.ordered).push(monotonic());
            }
            match words[..] {
                ["exec", id, fields, length] => {
                    let length = length.parse::<usize>().ok().filter(|l| *l <= BODY);
                    let length = length.ok_or(io::ErrorKind::InvalidData)?;
                    let mut body = vec![0; length + 2];
                    reader.read_exact(&mut body)?;
                    body.truncate(length);
                    let nth = self.came.fetch_add(1, Ordering::SeqCst);
                    let exec = ExecRequest { id: id.into(), fields: fields.into(), body, arrival_index: nth };
                    if self.drains.load(Ordering::SeqCst) {
                        self.turn_away(from, &told);
                        out.write_all(&answer_line(id, "BUSY", "-", b""))?;
                        continue;
                    }
                    if !self.act(&exec, from, stream)? {
                        return Ok(());
                    }
                }
                ["health" | "load", tag] => {
                    let word = if self.drains.load(Ordering::SeqCst) { "DOWN" } else { "UP" };
                    out.write_all(&answer_line(tag, word, "-", b""))?;
                }
                ["ensure", ..] if held => {}
                ["ensure", tag, _] if !told.ends_with("slots_up=0") && self.drains.load(Ordering::SeqCst) => {
                    self.turn_away(from, &told);
                    out.write_all(&answer_line(tag, "BUSY", "slots_up=0", b""))?;
                }
                ["ensure", tag, fields] => {
                    let count = fields.rsplit_once("slots_up=").and_then(|(_, n)| n.parse().ok());
                    let stand = format!("slots_up={}", count.unwrap_or(0u32).max(1));
                    out.write_all(&answer_line(tag, "OK", &stand, b""))?;
                }
                ["drop" | "release", _] => {}
                _ => return Err(io::ErrorKind::InvalidData.into()),
            }
        }
    }

    fn turn_away(&self, from: SocketAddr, line: &str) {
        lock(&self.turned_away).push(RejectedLine { at: monotonic(), from, line: line.into() });
    }

    /// Does what the script says; false where the connection is over.
    fn act(&self, exec: &ExecRequest, from: SocketAddr, mut stream: &TcpStream) -> io::Result<bool> {
        let attempt = || format!("{}:{}@{}", (self.who)(from), exec.id, from.port());
        let put = |what| self.recorder.put(monotonic(), &self.name, what);
        put(Observation::Arrived { event: exec.id.clone(), attempt: attempt(), work: 1 });
        for act in (self.script)(exec) {
            match act {
                WorkerAction::Run => put(Observation::Ran { event: exec.id.clone(), attempt: attempt() }),
                WorkerAction::Write(bytes) => stream.write_all(&bytes)?,
                WorkerAction::Wait(span) => std::thread::sleep(span),
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
