//! A scheduler is killed right after it accepted requests, and clients repeat them at another scheduler: no effect may
//! happen twice, and each client gets one final reply.
use crate::common::{Limits, TEST_TIMEOUT, bulletin_entry, config_json, wait_until_delivered};
use crate::process::{config_file, freeze, signal, start};
use basaltward_fakes::{
    ExecRequest, FakeBulletin, LineWorker, ThriftClient, ThriftReply, WorkerAction, answer_line,
};
use basaltward_rules::Recorder;
use rustix::process::Signal;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Effects at the workers. They are identified by body: a client's retry has a new id and the same body.
#[derive(Default)]
struct Effects {
    /// Number of executions by body.
    runs: HashMap<Vec<u8>, usize>,
    /// Keys seen so far: a repeat with one of them gets a response and has no further effect.
    keys: Vec<String>,
}

/// Two schedulers, and the workers that both use.
struct TestBed {
    schedulers: Vec<(Child, SocketAddr, PathBuf)>,
    workers: Vec<LineWorker>,
    effects: Arc<Mutex<Effects>>,
    _boards: Vec<FakeBulletin>,
}

/// Adds a keyed class, `deed`, to a configuration.
fn with_keyed_class(config: &str) -> String {
    let keyed = r#""requestClasses":[{"name":"deed","deadlineUs":8000000,"onTimeUs":2000000,"repeat":"keyed","group":"all","windowUs":60000000},"#;
    config.replace("\"requestClasses\":[", keyed)
}

/// Calls whose body starts with this are executed and get no response.
const UNANSWERED: &[u8] = b"held";
/// Calls whose body starts with this are executed, and their connection is reset instead of a response.
const RESET: &[u8] = b"broken";

/// Script of the workers.
fn execute(effects: &Mutex<Effects>, exec: &ExecRequest) -> Vec<WorkerAction> {
    let mut effects = effects.lock().expect("not poisoned");
    let key = exec.fields.split(',').find_map(|field| field.strip_prefix("uniq=")).map(str::to_owned);
    let repeated = key.as_ref().is_some_and(|key| effects.keys.contains(key));
    effects.keys.extend(key);
    if repeated {
        return vec![WorkerAction::Write(answer_line(&exec.id, "OK", "detail=up", &exec.reversed_body()))];
    }
    *effects.runs.entry(exec.body.clone()).or_default() += 1;
    match exec.body.as_slice() {
        body if body.starts_with(UNANSWERED) => vec![WorkerAction::Run],
        body if body.starts_with(RESET) => vec![WorkerAction::Run, WorkerAction::Reset],
        _ => exec.serve(),
    }
}

impl TestBed {
    fn new(name: &str) -> Self {
        let effects: Arc<Mutex<Effects>> = Arc::default();
        let start_one = |n| {
            let effects = effects.clone();
            let script = move |exec: &ExecRequest| execute(&effects, exec);
            LineWorker::start(&format!("s-{n}"), Recorder::none(), script).expect("the worker starts")
        };
        let workers: Vec<_> = (0..2).map(start_one).collect();
        let entry =
            |(n, worker): (usize, &LineWorker)| bulletin_entry(&format!("s-{n}"), worker.address(), "Ready");
        let targets = workers.iter().enumerate().map(entry).collect::<Vec<_>>().join(",");
        let boards: Vec<_> = (0..2).map(|_| FakeBulletin::start(2).expect("the bulletin starts")).collect();
        let limits = Limits { connect_ms: 3_000, ..Limits::default() };
        let scheduler = |(n, board): (usize, &FakeBulletin)| {
            let config = config_file(
                &format!("{name}-{n}"),
                &with_keyed_class(&config_json(limits, board.address(), &targets)),
            );
            let (child, to) = start(&config);
            (child, to, config)
        };
        let schedulers = boards.iter().enumerate().map(scheduler).collect();
        let bed = Self { schedulers, workers, effects, _boards: boards };
        // Both schedulers are connected to the workers after this.
        (0..2).for_each(|n| bed.wait_until_served(n));
        bed
    }

    fn address(&self, n: usize) -> SocketAddr {
        self.schedulers[n].1
    }

    fn client(&self, n: usize) -> ThriftClient {
        ThriftClient::connect(self.address(n), TEST_TIMEOUT).expect("the connection is accepted")
    }

    /// Sends calls to a scheduler until one is served. On a loaded machine some are rejected first.
    fn wait_until_served(&self, n: usize) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        for attempt in 0u64.. {
            let op = Op { class: "view", body: b"passes".to_vec(), key: None };
            let mut client = self.client(n);
            send(&mut client, &op, attempt << 8 | n as u64);
            let reply = client.read().expect("a readable reply").expect("a reply").1;
            if matches!(reply, ThriftReply::Served(_)) {
                return;
            }
            assert!(Instant::now() < deadline, "{reply:?}");
        }
    }

    /// How often the workers have executed a call with this body.
    fn executions(&self, body: &[u8]) -> usize {
        self.effects.lock().expect("not poisoned").runs.get(body).copied().unwrap_or(0)
    }

    /// Waits until a worker has executed a call with this body.
    fn wait_until_executed(&self, body: &[u8]) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while self.executions(body) == 0 {
            assert!(Instant::now() < deadline, "never executed");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Kills the first scheduler; its clients receive nothing but the end of their connections.
    fn kill(&mut self, mut clients: Vec<ThriftClient>) {
        let child = &mut self.schedulers[0].0;
        signal(child, Signal::KILL);
        child.wait().expect("it exits");
        clients
            .iter_mut()
            .for_each(|client| assert_eq!(client.read().expect("the end of the connection"), None));
    }

    /// Repeats a request at the other scheduler. Returns its reply, and checks that there is no second one.
    fn repeat(&self, op: &Op, id: u64) -> ThriftReply {
        let mut client = self.client(1);
        let sent = send(&mut client, op, id);
        let (seqid, reply) = client.read().expect("a readable reply").expect("a reply");
        assert_eq!(seqid, sent);
        let next = client.heartbeat().expect("the request is sent");
        assert_eq!(
            client.read().expect("a readable reply").map(|(seqid, _)| seqid),
            Some(next),
            "a second reply"
        );
        reply
    }
}

impl Drop for TestBed {
    fn drop(&mut self) {
        for (child, _, config) in &mut self.schedulers {
            if matches!(child.try_wait(), Ok(None)) {
                signal(child, Signal::KILL);
                let _ = child.wait();
            }
            let _ = std::fs::remove_file(config);
        }
    }
}

/// An operation that a client wants executed once, whichever scheduler it sends it to.
struct Op {
    class: &'static str,
    body: Vec<u8>,
    key: Option<&'static str>,
}

fn send(client: &mut ThriftClient, op: &Op, id: u64) -> i32 {
    let id = format!("{id:016x}");
    let mut fields = vec![
        ("kind", op.class),
        ("req", id.as_str()),
        ("timeout", "6000"),
        ("subject", "7f3a9c21e0b4d655"),
        ("props", "memory_mb:64;lanes:8;load_ms:20"),
    ];
    fields.extend(op.key.map(|key| ("opkey", key)));
    client.submit(&fields, &op.body).expect("the request is sent")
}

/// Waits until everything that the client sent has arrived in the first scheduler's socket.
fn wait_until_received(bed: &TestBed, client: &ThriftClient) {
    wait_until_delivered(
        client.stream().local_addr().expect("the connection is open"),
        bed.address(0),
        "revoke",
    );
}

#[test]
fn request_accepted_but_not_read_by_a_killed_scheduler_runs_once_when_repeated() {
    let mut bed = TestBed::new("killed-unread");
    // One request on a connection in use, and one on a connection that only the kernel has accepted.
    let mut open = bed.client(0);
    open.heartbeat().and_then(|_| open.read()).expect("the connection is alive");
    freeze(&bed.schedulers[0].0);
    let mut clients = vec![open, bed.client(0)];
    let unsafe_op = |n: usize| Op { class: "extract", body: format!("unread {n}").into_bytes(), key: None };
    for (n, client) in clients.iter_mut().enumerate() {
        send(client, &unsafe_op(n), 0x100 + n as u64);
        wait_until_received(&bed, client);
    }
    bed.kill(clients);
    for n in 0..2 {
        assert!(matches!(bed.repeat(&unsafe_op(n), 0x200 + n as u64), ThriftReply::Served(_)));
    }
    bed.wait_until_served(1);
    assert_eq!([0, 1].map(|n| bed.executions(&unsafe_op(n).body)), [1, 1]);
}

#[test]
fn request_that_waits_for_its_worker_at_a_killed_scheduler_runs_once_when_repeated() {
    let mut bed = TestBed::new("killed-waits");
    let waiting = Op { class: "extract", body: b"waits".to_vec(), key: None };
    bed.workers.iter().for_each(|worker| worker.block_new_connections().expect("the worker stops accepting"));
    bed.workers.iter().for_each(LineWorker::reset_all);
    let mut client = bed.client(0);
    send(&mut client, &waiting, 0x100);
    // After two answered heartbeats, one loop turn each, the request is read and started; it waits for its connection.
    for _ in 0..2 {
        client.heartbeat().and_then(|_| client.read()).expect("the connection is alive");
    }
    bed.kill(vec![client]);
    bed.workers.iter().for_each(LineWorker::unblock_new_connections);
    // By now the kernel would have retried the connection attempt of a live process.
    std::thread::sleep(Duration::from_millis(1_300));
    assert_eq!(bed.executions(&waiting.body), 0, "the killed scheduler has sent it to a worker");
    assert!(matches!(bed.repeat(&waiting, 0x200), ThriftReply::Served(_)));
    bed.wait_until_served(1);
    assert_eq!(bed.executions(&waiting.body), 1);
}

#[test]
fn keyed_request_executed_for_a_killed_scheduler_has_one_effect_when_repeated() {
    let mut bed = TestBed::new("killed-keyed");
    let deed = Op { class: "deed", body: b"held deed".to_vec(), key: Some("order-77") };
    let mut client = bed.client(0);
    send(&mut client, &deed, 0x100);
    bed.wait_until_executed(&deed.body);
    bed.kill(vec![client]);
    assert!(matches!(bed.repeat(&deed, 0x200), ThriftReply::Served(_)));
    assert_eq!(bed.executions(&deed.body), 1);
}

#[test]
fn repeated_request_whose_worker_connection_breaks_is_not_sent_again() {
    let mut bed = TestBed::new("killed-broken");
    let broken = Op { class: "extract", body: b"broken".to_vec(), key: None };
    let mut client = bed.client(0);
    client.heartbeat().and_then(|_| client.read()).expect("the connection is alive");
    freeze(&bed.schedulers[0].0);
    send(&mut client, &broken, 0x100);
    wait_until_received(&bed, &client);
    bed.kill(vec![client]);
    // It was executed, which the scheduler cannot know: the call fails and is sent to no other worker.
    assert_eq!(bed.repeat(&broken, 0x200), ThriftReply::Crashed);
    bed.wait_until_served(1);
    assert_eq!(bed.executions(&broken.body), 1);
}
