//! A stand-in worker by `docs/worker-protocol.md`: loads on order, runs what finds a copy, drops repeats of keys.

use crate::http::{Message, read};
use crate::util::{Record, sleep_ms};
use std::collections::HashMap;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How much longer than the window workers remember a key.
const KEY_SLACK_MS: u64 = 50;

/// One run of an event.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub worker: String,
    pub event: String,
}

/// What all workers of a case ran, and the keys that they share as one group.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>, Keys);

/// By key: when it came first, and when its answer stands.
type Keys = Arc<Mutex<HashMap<String, (Instant, Instant)>>>;

impl Runs {
    pub fn of(&self, event: &str) -> Vec<Run> {
        let runs = self.0.lock().map(|r| r.clone()).unwrap_or_default();
        runs.into_iter().filter(|r| r.event == event).collect()
    }
}

struct State {
    name: String,
    record: Record,
    runs: Runs,
    load_ms: AtomicU64,
    work_ms: AtomicU64,
    /// When the copies of a function stand.
    copies: Mutex<HashMap<String, (u32, Instant)>>,
    /// Calls of a function that are held.
    held: Mutex<HashMap<String, u32>>,
    /// If above 0, a first run's connection is closed without an answer this long after the call came.
    break_after_ms: AtomicU64,
}

/// A worker; its threads end with the process.
#[derive(Clone)]
pub struct Worker {
    pub port: u16,
    state: Arc<State>,
}

impl Worker {
    pub fn start(
        record: &Record,
        runs: &Runs,
        name: &str,
        load_ms: u64,
        work_ms: u64,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let port = listener.local_addr()?.port();
        let state = Arc::new(State {
            name: name.into(),
            record: record.clone(),
            runs: runs.clone(),
            load_ms: AtomicU64::new(load_ms),
            work_ms: AtomicU64::new(work_ms),
            copies: Mutex::default(),
            held: Mutex::default(),
            break_after_ms: AtomicU64::new(0),
        });
        let own = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = own.clone();
                std::thread::spawn(move || serve(&state, stream));
            }
        });
        Ok(Self { port, state })
    }

    pub fn set_break_after_ms(&self, ms: u64) {
        self.state.break_after_ms.store(ms, Ordering::Relaxed);
    }

    pub fn set_work_ms(&self, ms: u64) {
        self.state.work_ms.store(ms, Ordering::Relaxed);
    }
}

fn serve(state: &State, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(request) = read(&mut stream, &mut buffer, None) {
        let answer = answer(state, &request, &stream);
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn response(status: &str, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{fields}content-length: {}\r\n\r\n{body}", body.len())
}

/// Whether the gateway has closed the connection, which takes back what waits.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let closed = match stream.peek(&mut [0]) {
        Ok(0) => true,
        Ok(_) => false,
        Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}

fn stand_at(state: &State, function: &str) -> Option<(u32, Instant)> {
    state.copies.lock().ok()?.get(function).copied()
}

fn answer(state: &State, request: &Message, stream: &TcpStream) -> String {
    let mut words = request.start.split(' ');
    let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let path = target.split('?').next().unwrap_or_default();
    let load = "basaltward-load: inflight=0, pinned=0.100, loads=0\r\n";
    if path == "/load" {
        return response("200 OK", &format!("basaltward-outcome: ok\r\n{load}"), "");
    }
    let Some(rest) = path.strip_prefix("/functions/") else { return response("400 Bad", "", "") };
    if let Some(function) = rest.strip_suffix("/copies") {
        return match method {
            "GET" => {
                let stand = stand_at(state, function).filter(|(_, at)| *at <= Instant::now());
                let count = stand.map_or(0, |(n, _)| n);
                response(
                    "200 OK",
                    &format!("basaltward-outcome: ok\r\nbasaltward-copies: {count}\r\n{load}"),
                    "",
                )
            }
            "PUT" => {
                let count = target.split("count=").nth(1).and_then(|c| c.parse().ok()).unwrap_or(1u32);
                let wait = Duration::from_millis(state.load_ms.load(Ordering::Relaxed));
                let (stand, at) = match state.copies.lock() {
                    Ok(mut copies) => {
                        let entry = copies.entry(function.to_owned()).or_insert((0, Instant::now() + wait));
                        entry.0 = entry.0.max(count);
                        *entry
                    }
                    Err(_) => return response("500 Lock", "basaltward-outcome: error\r\n", ""),
                };
                state.record.line(&format!("{} order {function} count {count}", state.name));
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                response(
                    "200 OK",
                    &format!("basaltward-outcome: ok\r\nbasaltward-copies: {stand}\r\n{load}"),
                    "",
                )
            }
            // Idle copies may be unloaded; this worker keeps them.
            _ => response("204 No Content", "basaltward-outcome: ok\r\n", ""),
        };
    }
    let (function, event) = (rest, request.field("ce-id").unwrap_or_default().to_owned());
    let Some((_, at)) = stand_at(state, function) else {
        return response("404 Not Found", &format!("basaltward-outcome: miss\r\n{load}"), "");
    };
    let waited = at > Instant::now();
    while at > Instant::now() {
        sleep_ms(10);
        if is_closed(stream) {
            state.record.line(&format!("{} {event} taken back while it waited", state.name));
            return String::new();
        }
    }
    let crowd = state.held.lock().map_or(0, |mut h| {
        let n = h.entry(function.to_owned()).or_insert(0);
        *n += 1;
        *n - 1
    });
    let work = Duration::from_millis(state.work_ms.load(Ordering::Relaxed));
    let came = Instant::now();
    let mut stands = came + work;
    let mut repeated = false;
    if request.field("basaltward-repeat") == Some("keyed")
        && let Ok(mut keys) = state.runs.1.lock()
    {
        let key = format!("{} {event}", request.field("ce-source").unwrap_or_default());
        // Remembered for as long as the protocol's page asks, and a little longer.
        let window = request.field("basaltward-window-ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
        let window = Duration::from_millis(window + KEY_SLACK_MS);
        let first =
            keys.get(&key).filter(|(first, _)| came.saturating_duration_since(*first) < window).copied();
        match first {
            Some((_, at)) => (repeated, stands) = (true, at),
            None => _ = keys.insert(key, (came, stands)),
        }
    }
    let attempt = request.field("basaltward-attempt").unwrap_or_default();
    if repeated {
        state.record.line(&format!("{} drops the repeat {event} attempt {attempt}", state.name));
    } else {
        state.record.line(&format!("{} RUN {event} attempt {attempt}", state.name));
        if let Ok(mut runs) = state.runs.0.lock() {
            runs.push(Run { at_ms: state.record.ms(), worker: state.name.clone(), event: event.clone() });
        }
    }
    std::thread::sleep(stands.saturating_duration_since(Instant::now()));
    let break_after = state.break_after_ms.load(Ordering::Relaxed);
    if break_after > 0 && !repeated {
        let at = came + Duration::from_millis(break_after);
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        state.record.line(&format!("{} closes the connection of {event} without an answer", state.name));
        if let Ok(mut h) = state.held.lock() {
            h.entry(function.to_owned()).and_modify(|n| *n -= 1);
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        return String::new();
    }
    if let Ok(mut h) = state.held.lock() {
        h.entry(function.to_owned()).and_modify(|n| *n -= 1);
    }
    let copy = if waited { "waited" } else { "stood" };
    let fields = format!(
        "basaltward-outcome: ok\r\nbasaltward-copy: {copy}\r\nbasaltward-crowd: {crowd}\r\n{load}\
         content-type: text/plain\r\n"
    );
    response("200 OK", &fields, &format!("reply to {event}"))
}
