//! Clients that call without pause: each waits for its answer, then calls again, and is patient for a told
//! time. Everything that they see is recorded.

use basaltward_fakes::{ThriftClient, ThriftReply};
use basaltward_net::{Micros, monotonic};
use basaltward_rules::{FinalAnswer, Observation, Recorder};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// The rules on sockets allow an answer this much more than its time.
const SLACK_US: Micros = 50_000;

/// What clients ask.
#[derive(Clone, Debug)]
pub struct ClientSpec {
    /// Classes, each with its patience in milliseconds; asked in turn.
    pub classes: Vec<(String, u64)>,
    /// Functions, asked in turn.
    pub functions: u64,
    /// Pause between an answer and the next call.
    pub pause: Duration,
}

/// Clients of several schedulers, a thread for each.
pub struct Clients {
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

struct One {
    spec: ClientSpec,
    recorder: Recorder,
    over: Arc<AtomicBool>,
    tried: Arc<AtomicU64>,
    /// Where it connects, and the scheduler's own address.
    to: (SocketAddr, SocketAddr),
}

impl Clients {
    /// One for each of these: where it connects, and the scheduler's own address.
    pub fn start(spec: &ClientSpec, recorder: &Recorder, to: &[(SocketAddr, SocketAddr)]) -> Self {
        let (over, tried) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(1)));
        let start = |to: (SocketAddr, SocketAddr)| {
            let (spec, recorder, over, tried) = (spec.clone(), recorder.clone(), over.clone(), tried.clone());
            std::thread::spawn(move || One { spec, recorder, over, tried, to }.run())
        };
        let threads = to.iter().copied().map(start).collect();
        Self { over, threads }
    }

    /// Has them stop once what they asked is answered.
    pub fn stop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
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

impl One {
    fn run(&self) {
        let mut client = None;
        while !self.over.load(Ordering::SeqCst) {
            let number = self.tried.fetch_add(1, Ordering::SeqCst);
            let (class, patience) = &self.spec.classes[number as usize % self.spec.classes.len()];
            // Longer than its time: a late answer is recorded, and so found.
            let wait = Duration::from_millis(*patience) + Duration::from_secs(2);
            let open = client.take().or_else(|| ThriftClient::connect(self.to.0, wait).ok());
            let Some(mut open) = open else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            if self.call(&mut open, number, class, *patience) {
                client = Some(open);
            }
            std::thread::sleep(self.spec.pause);
        }
    }

    fn put(&self, what: Observation) {
        self.recorder.put(monotonic(), "client", what);
    }

    /// One call; false where its connection is of no more use.
    fn call(&self, client: &mut ThriftClient, tried: u64, class: &str, patience: u64) -> bool {
        let (event, function) =
            (format!("{tried:016x}"), format!("{:016x}", 1 + tried % self.spec.functions));
        let timeout = patience.to_string();
        let fields = [
            ("kind", class),
            ("req", event.as_str()),
            ("timeout", timeout.as_str()),
            ("subject", function.as_str()),
            ("props", "memory_mb:64;lanes:8;load_ms:20"),
        ];
        let deadline = monotonic() + patience * 1_000 + SLACK_US;
        let (class, to) = (class.to_owned(), self.to.1.to_string());
        let asked = Observation::RequestSent {
            request_id: tried,
            event: event.clone(),
            class,
            tenant: String::new(),
            to,
            deadline,
        };
        self.put(asked);
        let told = client.submit(&fields, event.as_bytes()).and_then(|_| client.read());
        match told {
            Ok(Some((_, reply))) => {
                let (answer, status) = match &reply {
                    ThriftReply::Served(_) => (FinalAnswer::Served, 200),
                    ThriftReply::Rejected(_) => (FinalAnswer::Refused, 503),
                    ThriftReply::Crashed | ThriftReply::Exception => (FinalAnswer::Failed, 500),
                };
                self.put(Observation::Answered { request_id: tried, answer, status });
                true
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => false,
            Ok(None) | Err(_) => {
                self.put(Observation::ConnectionLost { request_id: tried });
                false
            }
        }
    }
}
