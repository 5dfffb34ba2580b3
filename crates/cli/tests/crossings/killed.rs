//! A scheduler is killed right after it has accepted, and clients repeat elsewhere: no effect comes about twice, and each
//! client has one final answer.
use crate::common::{Limits, TEST_TIMEOUT, bulletin_entry, config_json, wait_until_delivered};
use crate::process::{file, freeze, signal, start};
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

/// What became of the effects, by body: a client's retry has a new id and the same body.
#[derive(Default)]
struct Effects {
    ran: HashMap<Vec<u8>, usize>,
    /// Keys that were seen: a repeat under one is answered and has no further effect.
    keys: Vec<String>,
}

/// Two schedulers and the workers that both use.
struct Bed {
    schedulers: Vec<(Child, SocketAddr, PathBuf)>,
    workers: Vec<LineWorker>,
    effects: Arc<Mutex<Effects>>,
    _boards: Vec<FakeBulletin>,
}

/// A class whose workers discard repeats by its key.
fn with_keyed(text: &str) -> String {
    let keyed = r#""requestClasses":[{"name":"deed","deadlineUs":8000000,"onTimeUs":2000000,"repeat":"keyed","group":"all","windowUs":60000000},"#;
    text.replace("\"requestClasses\":[", keyed)
}

/// Bodies that begin so are run and not answered; and such whose connection breaks in place of an answer.
const HELD: &[u8] = b"held";
const BROKEN: &[u8] = b"broken";

fn run(effects: &Mutex<Effects>, exec: &ExecRequest) -> Vec<WorkerAction> {
    let mut effects = effects.lock().expect("sound");
    let key = exec.fields.split(',').find_map(|field| field.strip_prefix("uniq=")).map(str::to_owned);
    let known = key.as_ref().is_some_and(|key| effects.keys.contains(key));
    effects.keys.extend(key);
    if known {
        return vec![WorkerAction::Write(answer_line(&exec.id, "OK", "detail=up", &exec.reversed_body()))];
    }
    *effects.ran.entry(exec.body.clone()).or_default() += 1;
    match exec.body.as_slice() {
        body if body.starts_with(HELD) => vec![WorkerAction::Run],
        body if body.starts_with(BROKEN) => vec![WorkerAction::Run, WorkerAction::Reset],
        _ => exec.serve(),
    }
}

impl Bed {
    fn new(name: &str) -> Self {
        let effects: Arc<Mutex<Effects>> = Arc::default();
        let start_one = |n| {
            let effects = effects.clone();
            let script = move |exec: &ExecRequest| run(&effects, exec);
            LineWorker::start(&format!("s-{n}"), Recorder::none(), script).expect("a worker")
        };
        let workers: Vec<_> = (0..2).map(start_one).collect();
        let one = |(n, w): (usize, &LineWorker)| bulletin_entry(&format!("s-{n}"), w.address(), "Ready");
        let targets = workers.iter().enumerate().map(one).collect::<Vec<_>>().join(",");
        let boards: Vec<_> = (0..2).map(|_| FakeBulletin::start(2).expect("a bulletin")).collect();
        let limits = Limits { connect_ms: 3_000, ..Limits::default() };
        let scheduler = |(n, board): (usize, &FakeBulletin)| {
            let config =
                file(&format!("{name}-{n}"), &with_keyed(&config_json(limits, board.address(), &targets)));
            let (child, to) = start(&config);
            (child, to, config)
        };
        let schedulers = boards.iter().enumerate().map(scheduler).collect();
        let bed = Self { schedulers, workers, effects, _boards: boards };
        // Both stand in connection with the workers.
        (0..2).for_each(|n| bed.passes(n));
        bed
    }

    fn to(&self, n: usize) -> SocketAddr {
        self.schedulers[n].1
    }

    fn client(&self, n: usize) -> ThriftClient {
        ThriftClient::connect(self.to(n), TEST_TIMEOUT).expect("connected")
    }

    /// Calls are served there. On a loaded machine some are turned away first.
    fn passes(&self, n: usize) {
        let until = Instant::now() + TEST_TIMEOUT;
        for again in 0u64.. {
            let one = Op { class: "view", body: b"passes".to_vec(), key: None };
            let mut client = self.client(n);
            send(&mut client, &one, again << 8 | n as u64);
            let told = client.read().expect("a reply").expect("an answer").1;
            if matches!(told, ThriftReply::Served(_)) {
                return;
            }
            assert!(Instant::now() < until, "{told:?}");
        }
    }

    fn ran(&self, body: &[u8]) -> usize {
        self.effects.lock().expect("sound").ran.get(body).copied().unwrap_or(0)
    }

    /// Waits until a worker has run this.
    fn runs(&self, body: &[u8]) {
        let until = Instant::now() + TEST_TIMEOUT;
        while self.ran(body) == 0 {
            assert!(Instant::now() < until, "never ran");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Kills the first scheduler; none of its clients gets a byte any more.
    fn kill(&mut self, mut clients: Vec<ThriftClient>) {
        let child = &mut self.schedulers[0].0;
        signal(child, Signal::KILL);
        child.wait().expect("ended");
        clients.iter_mut().for_each(|client| assert_eq!(client.read().expect("an end"), None));
    }

    /// The client's repeat at the other scheduler: the one answer that it gets, and no second one.
    fn repeat(&self, one: &Op, id: u64) -> ThriftReply {
        let mut client = self.client(1);
        let asked = send(&mut client, one, id);
        let (seqid, told) = client.read().expect("told").expect("an answer");
        assert_eq!(seqid, asked);
        let next = client.heartbeat().expect("sent");
        assert_eq!(client.read().expect("told").map(|(seqid, _)| seqid), Some(next), "a second answer");
        told
    }
}

impl Drop for Bed {
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

/// What a client wants done once, by whomever it asks.
struct Op {
    class: &'static str,
    body: Vec<u8>,
    key: Option<&'static str>,
}

fn send(client: &mut ThriftClient, one: &Op, id: u64) -> i32 {
    let id = format!("{id:016x}");
    let mut fields = vec![
        ("kind", one.class),
        ("req", id.as_str()),
        ("timeout", "6000"),
        ("subject", "7f3a9c21e0b4d655"),
        ("props", "memory_mb:64;lanes:8;load_ms:20"),
    ];
    fields.extend(one.key.map(|key| ("opkey", key)));
    client.submit(&fields, &one.body).expect("sent")
}

fn all_came(bed: &Bed, client: &ThriftClient) {
    wait_until_delivered(client.stream().local_addr().expect("it stands"), bed.to(0), "revoke");
}

#[test]
fn what_a_killed_scheduler_had_accepted_and_not_read_runs_once_where_it_is_repeated() {
    let mut bed = Bed::new("killed-unread");
    // On a connection that stands, on one that only the system has accepted, and half a request on either.
    let mut open = bed.client(0);
    open.heartbeat().and_then(|_| open.read()).expect("alive");
    freeze(&bed.schedulers[0].0);
    let mut clients = vec![open, bed.client(0)];
    let unsafe_one = |n: usize| Op { class: "extract", body: format!("unread {n}").into_bytes(), key: None };
    for (n, client) in clients.iter_mut().enumerate() {
        send(client, &unsafe_one(n), 0x100 + n as u64);
        all_came(&bed, client);
    }
    bed.kill(clients);
    for n in 0..2 {
        assert!(matches!(bed.repeat(&unsafe_one(n), 0x200 + n as u64), ThriftReply::Served(_)));
    }
    bed.passes(1);
    assert_eq!([0, 1].map(|n| bed.ran(&unsafe_one(n).body)), [1, 1]);
}

#[test]
fn what_waited_for_its_worker_at_a_killed_scheduler_runs_once_where_it_is_repeated() {
    let mut bed = Bed::new("killed-waits");
    let waits = Op { class: "extract", body: b"waits".to_vec(), key: None };
    bed.workers.iter().for_each(|w| w.block_new_connections().expect("plugged"));
    bed.workers.iter().for_each(LineWorker::reset_all);
    let mut client = bed.client(0);
    send(&mut client, &waits, 0x100);
    // Read and begun once another question is answered, a turn later; it waits for its connection.
    for _ in 0..2 {
        client.heartbeat().and_then(|_| client.read()).expect("alive");
    }
    bed.kill(vec![client]);
    bed.workers.iter().for_each(LineWorker::unblock_new_connections);
    // By now the system would have tried again what a living one had begun.
    std::thread::sleep(Duration::from_millis(1_300));
    assert_eq!(bed.ran(&waits.body), 0, "nothing of it had left");
    assert!(matches!(bed.repeat(&waits, 0x200), ThriftReply::Served(_)));
    bed.passes(1);
    assert_eq!(bed.ran(&waits.body), 1);
}

#[test]
fn a_keyed_effect_that_ran_for_a_killed_scheduler_is_had_once_by_its_key() {
    let mut bed = Bed::new("killed-keyed");
    let deed = Op { class: "deed", body: b"held deed".to_vec(), key: Some("order-77") };
    let mut client = bed.client(0);
    send(&mut client, &deed, 0x100);
    bed.runs(&deed.body);
    bed.kill(vec![client]);
    assert!(matches!(bed.repeat(&deed, 0x200), ThriftReply::Served(_)));
    assert_eq!(bed.ran(&deed.body), 1);
}

#[test]
fn a_repeat_whose_own_connection_breaks_is_not_sent_a_second_time() {
    let mut bed = Bed::new("killed-broken");
    let broken = Op { class: "extract", body: b"broken".to_vec(), key: None };
    let mut client = bed.client(0);
    client.heartbeat().and_then(|_| client.read()).expect("alive");
    freeze(&bed.schedulers[0].0);
    send(&mut client, &broken, 0x100);
    all_came(&bed, &client);
    bed.kill(vec![client]);
    // It has run there, and nobody can tell: it has failed, and no other worker gets it.
    assert_eq!(bed.repeat(&broken, 0x200), ThriftReply::Crashed);
    bed.passes(1);
    assert_eq!(bed.ran(&broken.body), 1);
}
