//! Closed-loop clients: each sends a call, waits for its answer up to the patience of the class, pauses and calls
//! again. Everything that they observe is recorded.

use basaltward_fakes::{ThriftClient, ThriftReply};
use basaltward_net::{Micros, monotonic};
use basaltward_rules::{FinalAnswer, Observation, Recorder};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// How much later than the deadline an answer may arrive when it crosses real sockets.
const DEADLINE_SLACK_US: Micros = 50_000;

/// The calls that clients send.
#[derive(Clone, Debug)]
pub struct ClientSpec {
    /// Classes with the patience of their clients in milliseconds, called in turn.
    pub classes: Vec<(String, u64)>,
    /// Number of functions, called in turn.
    pub functions: u64,
    /// Pause between an answer and the next call.
    pub pause: Duration,
}

/// One client thread per scheduler.
pub struct Clients {
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

struct ClientThread {
    spec: ClientSpec,
    recorder: Recorder,
    stopping: Arc<AtomicBool>,
    next_request_id: Arc<AtomicU64>,
    /// The relay address to connect to, and the scheduler's own address.
    to: (SocketAddr, SocketAddr),
}

impl Clients {
    /// Starts a client for each pair of relay address to connect to and scheduler's own address.
    pub fn start(spec: &ClientSpec, recorder: &Recorder, to: &[(SocketAddr, SocketAddr)]) -> Self {
        let (stopping, next_request_id) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(1)));
        let start = |to: (SocketAddr, SocketAddr)| {
            let (spec, recorder, stopping, next_request_id) =
                (spec.clone(), recorder.clone(), stopping.clone(), next_request_id.clone());
            std::thread::spawn(move || ClientThread { spec, recorder, stopping, next_request_id, to }.run())
        };
        let threads = to.iter().copied().map(start).collect();
        Self { stopping, threads }
    }

    /// Stops the clients once their current calls have ended.
    pub fn stop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop();
    }
}

impl ClientThread {
    fn run(&self) {
        let mut client = None;
        while !self.stopping.load(Ordering::SeqCst) {
            let number = self.next_request_id.fetch_add(1, Ordering::SeqCst);
            let (class, patience) = &self.spec.classes[number as usize % self.spec.classes.len()];
            // Waits 2 s longer than the patience, so that a late answer is recorded and the checker finds it.
            let wait = Duration::from_millis(*patience) + Duration::from_secs(2);
            let connection = client.take().or_else(|| ThriftClient::connect(self.to.0, wait).ok());
            let Some(mut connection) = connection else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            if self.call(&mut connection, number, class, *patience) {
                client = Some(connection);
            }
            std::thread::sleep(self.spec.pause);
        }
    }

    fn record(&self, observation: Observation) {
        self.recorder.put(monotonic(), "client", observation);
    }

    /// Sends one call and records its result. Returns false if the connection cannot be used any more.
    fn call(&self, client: &mut ThriftClient, request_id: u64, class: &str, patience: u64) -> bool {
        let (event, function) =
            (format!("{request_id:016x}"), format!("{:016x}", 1 + request_id % self.spec.functions));
        let timeout = patience.to_string();
        let fields = [
            ("kind", class),
            ("req", event.as_str()),
            ("timeout", timeout.as_str()),
            ("subject", function.as_str()),
            ("props", "memory_mb:64;lanes:8;load_ms:20"),
        ];
        let deadline = monotonic() + patience * 1_000 + DEADLINE_SLACK_US;
        let (class, to) = (class.to_owned(), self.to.1.to_string());
        let sent = Observation::RequestSent {
            request_id,
            event: event.clone(),
            class,
            tenant: String::new(),
            to,
            deadline,
        };
        self.record(sent);
        let result = client.submit(&fields, event.as_bytes()).and_then(|_| client.read());
        match result {
            Ok(Some((_, reply))) => {
                let (answer, status) = match &reply {
                    ThriftReply::Served(_) => (FinalAnswer::Served, 200),
                    ThriftReply::Rejected(_) => (FinalAnswer::Refused, 503),
                    ThriftReply::Crashed | ThriftReply::Exception => (FinalAnswer::Failed, 500),
                };
                self.record(Observation::Answered { request_id, answer, status });
                true
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => false,
            Ok(None) | Err(_) => {
                self.record(Observation::ConnectionLost { request_id });
                false
            }
        }
    }
}
