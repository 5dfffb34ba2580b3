//! A planned restart by the timetable of the platform's specification: new connections arrive until 0.4 s after
//! SIGTERM, requests on open ones for 0.2 s more, and SIGKILL comes no sooner than the longest deadline (3 s at most)
//! plus 0.7 s after SIGTERM.

use crate::common::*;
use basaltward_fakes::{ExecRequest, ThriftClient, ThriftReply, WorkerAction};
use basaltward_net::{Micros, monotonic};
use basaltward_rules::Observation;
use basaltward_thrift::{
    ClientRequest as Request, FrameLimits, ServerReply, next_frame, read_request, write,
};
use bytes::BytesMut;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

const MS: Micros = 1_000;
/// The last new connection, and the last request, after SIGTERM.
const LAST_CONNECT: Micros = 400 * MS;
const LAST_REQUEST: Micros = 600 * MS;
/// A request received by then does not count as lost if SIGKILL finds it open.
const LAST_EXCUSED: Micros = 700 * MS;
/// When the scheduler begins to close connections.
const CLOSE_START: Micros = 850 * MS;
/// The slack that the specification adds to each time limit.
const SLACK: Micros = 50 * MS;

/// How late clients and scheduler may be on a loaded machine. An answer that is later than this counts as lost.
const LATE: Micros = 500 * MS;

/// Maximum number of runs until one in which the machine let all clients send on time.
const MAX_RUNS: usize = 5;

/// The earliest SIGKILL after SIGTERM, where the longest deadline is 3 s or more.
const KILL: Micros = 3_700 * MS;

fn sleep_until(at: Micros) {
    std::thread::sleep(Duration::from_micros(at.saturating_sub(monotonic())));
}

fn write_request(client: &mut ThriftClient, call: &Call, half: bool) -> std::io::Result<(i32, Vec<u8>)> {
    let timeout = call.timeout_ms.to_string();
    let fields = fields(call, &timeout);
    match half {
        true => client.submit_half(&fields, &call.body),
        false => Ok((client.submit(&fields, &call.body)?, Vec::new())),
    }
}

/// A request as its client saw it. Times count from SIGTERM; 0 stands for any time before it.
#[derive(Clone, Debug)]
struct Observed {
    what: &'static str,
    /// When its last byte was written.
    sent: Micros,
    timeout: Micros,
    /// When its reply was read, and the reply.
    reply: Option<(Micros, ThriftReply)>,
}

/// The requests that must be answered by the specification, and are not or too late. A late one on a connection that
/// had already ended was never accepted.
fn lost(all: &[Observed]) -> Vec<&Observed> {
    let required = |s: &&Observed| s.sent <= LAST_REQUEST + SLACK;
    let in_time = |s: &Observed| s.reply.as_ref().is_some_and(|(at, _)| *at <= s.sent + s.timeout + LATE);
    all.iter().filter(required).filter(|s| !in_time(s)).collect()
}

/// The requests, among those that the specification does not excuse, that SIGKILL would find open. One that crosses
/// the end of its connection has not been accepted: the program documents when it closes that.
fn open_at_kill(all: &[Observed]) -> Vec<&Observed> {
    let late = |s: &&Observed| (LAST_EXCUSED..CLOSE_START).contains(&s.sent);
    all.iter().filter(late).filter(|s| s.reply.as_ref().is_none_or(|(at, _)| *at > KILL + LATE)).collect()
}

/// The schedule of one connection: it is opened at `opens`, sends at these times, and is never closed by the client.
struct Plan {
    what: &'static str,
    opens: Micros,
    /// When each request is complete, and how much earlier the first half of its bytes is sent.
    sends: Vec<(Micros, Micros)>,
    timeout_ms: u64,
}

static NEXT_CALL: AtomicU64 = AtomicU64::new(1 << 32);

impl Plan {
    fn run(self, to: SocketAddr, mut client: Option<ThriftClient>, term: Micros) -> Vec<Observed> {
        if client.is_none() {
            sleep_until(term + self.opens);
            client = ThriftClient::connect(to, TEST_TIMEOUT).ok();
        }
        let mut seen = Vec::new();
        let mut numbers = Vec::new();
        for (at, before) in &self.sends {
            let mut call = call(NEXT_CALL.fetch_add(1, Ordering::SeqCst), "extract");
            call.timeout_ms = self.timeout_ms;
            sleep_until(term + at - before);
            let sent =
                client.as_mut().and_then(|c| write_request(c, &call, *before > 0).ok().map(|put| (c, put)));
            let sent = sent.and_then(|(client, (seqid, rest))| {
                sleep_until(term + at);
                client.send_raw_bytes(&rest).ok().map(|()| seqid)
            });
            let timeout = self.timeout_ms * MS;
            numbers.push(sent);
            seen.push(Observed {
                what: self.what,
                sent: monotonic().saturating_sub(term),
                timeout,
                reply: None,
            });
        }
        while let Some(Ok(Some((seqid, reply)))) = client.as_mut().map(ThriftClient::read) {
            let at =
                numbers.iter().position(|number| *number == Some(seqid)).expect("a reply to a sent request");
            seen[at].reply = Some((monotonic().saturating_sub(term), reply));
        }
        seen
    }
}

/// The schedules of the clients around a planned restart.
fn plans() -> Vec<Plan> {
    let plan = |what, opens, sends| Plan { what, opens, sends, timeout_ms: 2_500 };
    let at = |times: &[Micros]| times.iter().map(|t| (*t, 0)).collect::<Vec<_>>();
    let many: Vec<_> = (0..LAST_REQUEST).step_by(30_000).collect();
    let last = LAST_REQUEST - MS;
    vec![
        plan("continuous requests", 0, at(&many)),
        plan("32 at the signal", 0, vec![(0, 0); 32]),
        plan("32 at the end", 0, vec![(last, 0); 32]),
        plan("the last millisecond", 0, at(&[last])),
        plan("half a request at the signal", 0, vec![(100 * MS, 100 * MS)]),
        plan("half a request at the last millisecond", 0, vec![(last, 60 * MS)]),
        plan("opened after the signal", 50 * MS, at(&[60 * MS, 300 * MS, last])),
        plan("opened last", LAST_CONNECT, at(&[LAST_CONNECT, last])),
        plan("half a request on one opened last", LAST_CONNECT, vec![(last, 150 * MS)]),
        plan("sends nothing", 0, Vec::new()),
    ]
}

/// Runs clients around a planned restart of the scheduler at this address. `stop` starts the restart and returns its
/// time.
fn run_clients(to: SocketAddr, stop: impl FnOnce() -> Micros) -> Vec<Observed> {
    // Connections that were there before have each been used once, except the silent one.
    let open_before = |plan: &Plan| {
        (plan.opens == 0).then(|| {
            let mut client = ThriftClient::connect(to, TEST_TIMEOUT).expect("connected");
            if !plan.sends.is_empty() {
                client.heartbeat().and_then(|_| client.read()).expect("heartbeat answered");
            }
            client
        })
    };
    let plans: Vec<_> = plans().into_iter().map(|plan| (open_before(&plan), plan)).collect();
    let term = stop();
    let threads: Vec<_> = plans
        .into_iter()
        .map(|(client, plan)| std::thread::spawn(move || plan.run(to, client, term)))
        .collect();
    threads.into_iter().flat_map(|t| t.join().expect("client thread ended")).collect()
}

/// Whether the machine let the clients send on time; otherwise the run proves nothing about the last millisecond.
fn on_time(all: &[Observed]) -> bool {
    let last = all.iter().filter(|s| s.what == "the last millisecond");
    last.clone().count() == 1 && all.iter().all(|s| s.sent <= LAST_REQUEST + SLACK)
}

/// When the scheduler began to stop, and when it ended.
fn ended(harness: &mut Harness) -> (Micros, Micros) {
    let (mut stopping, mut down) = (0, 0);
    harness.finish().iter().for_each(|record| match record.observation {
        Observation::Stopping => stopping = record.time,
        Observation::Down { killed: false } => down = record.time,
        _ => {}
    });
    (stopping, down)
}

fn stop(harness: &Harness) -> Micros {
    // The specification counts from the signal, which precedes its handling by the scheduler.
    let now = monotonic();
    harness.control.stop();
    now
}

fn slow(_: usize, exec: &ExecRequest) -> Vec<WorkerAction> {
    let mut acts = vec![WorkerAction::Wait(Duration::from_millis(20))];
    acts.extend(exec.serve());
    acts
}

#[test]
fn every_request_within_the_specified_window_is_answered_and_the_process_ends() {
    for _ in 0..MAX_RUNS {
        let mut harness = Harness::new(Limits::default(), 2, slow);
        let all = run_clients(harness.address, || stop(&harness));
        let (stopping, down) = ended(&mut harness);
        assert_eq!(lost(&all).len(), 0, "{:?}", lost(&all));
        let ends = down - stopping;
        assert!((LAST_REQUEST..KILL).contains(&ends), "the scheduler ended after {ends} us");
        if on_time(&all) {
            let served = |s: &&Observed| matches!(s.reply, Some((_, ThriftReply::Served(_))));
            let count = all.iter().filter(served).count();
            assert!(count * 10 >= all.len() * 9, "{count} of {} were served", all.len());
            return;
        }
    }
    panic!("this machine never let all clients send on time");
}

/// When a [`FaultyScheduler`] ends its connections.
#[derive(Clone, Copy)]
enum EndsAt {
    /// This long after the signal to stop; whatever it reads later goes unanswered, however late it is itself.
    After(Micros),
    /// Once it has handled all requests of [`plans`].
    AllHandled,
}

/// A stand-in scheduler that serves any request and ends its connections at a configurable time, against which the
/// checks of this file are tested.
struct FaultyScheduler {
    address: SocketAddr,
    open: Arc<Mutex<Vec<TcpStream>>>,
    counts: Arc<Counts>,
}

/// State shared by the threads of a [`FaultyScheduler`].
struct Counts {
    /// Requests received.
    received: AtomicU64,
    /// No request is answered from this time on.
    until: AtomicU64,
    /// Requests handled, by an answer or by withholding it.
    handled: Mutex<usize>,
    changed: Condvar,
}

impl FaultyScheduler {
    /// Starts it; `answers` decides, by the number of requests received before, which requests are answered.
    fn start(answers: impl Fn(u64) -> bool + Clone + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("port known");
        let address = listener.local_addr().expect("address known");
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (received, until) = (AtomicU64::new(0), AtomicU64::new(Micros::MAX));
        let counts = Arc::new(Counts { received, until, handled: Mutex::new(0), changed: Condvar::new() });
        let (connections, shared) = (open.clone(), counts.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let stream = stream.expect("connection accepted");
                if Arc::strong_count(&connections) == 1 {
                    return;
                }
                connections
                    .lock()
                    .expect("lock not poisoned")
                    .push(stream.try_clone().expect("socket cloned"));
                let (answers, counts) = (answers.clone(), shared.clone());
                std::thread::spawn(move || Self::serve(stream, &counts, answers));
            }
        });
        Self { address, open, counts }
    }

    fn serve(mut stream: TcpStream, counts: &Counts, answers: impl Fn(u64) -> bool) -> Option<()> {
        let (mut input, mut bytes) = (BytesMut::new(), [0; 4_096]);
        loop {
            while let Some(frame) = next_frame(FrameLimits { max_bytes: 1 << 20 }, &mut input).ok()? {
                let (head, request) = read_request(&frame).ok()?;
                if monotonic() >= counts.until.load(Ordering::SeqCst) {
                    return stream.shutdown(Shutdown::Both).ok();
                }
                let submit = matches!(request, Request::Submit(_));
                if !submit || answers(counts.received.fetch_add(1, Ordering::SeqCst)) {
                    let mut out = BytesMut::new();
                    write::reply(&mut out, head.method, head.seqid, &ServerReply::Answer(b"", true));
                    stream.write_all(&out).ok()?;
                }
                *counts.handled.lock().expect("lock not poisoned") += usize::from(submit);
                counts.changed.notify_all();
            }
            match stream.read(&mut bytes).ok()? {
                0 => return None,
                read => input.extend_from_slice(&bytes[..read]),
            }
        }
    }

    /// Ends the connections as `ends` says; returns the current time.
    fn stop(self, ends: EndsAt) -> Micros {
        let now = monotonic();
        if let EndsAt::After(after) = ends {
            self.counts.until.store(now + after, Ordering::SeqCst);
        }
        std::thread::spawn(move || {
            match ends {
                EndsAt::After(after) => sleep_until(now + after),
                EndsAt::AllHandled => {
                    let all = plans().iter().map(|plan| plan.sends.len()).sum();
                    let handled = self.counts.handled.lock().expect("lock not poisoned");
                    let wait = self
                        .counts
                        .changed
                        .wait_timeout_while(handled, TEST_TIMEOUT, |handled| *handled < all);
                    drop(wait.expect("lock not poisoned"));
                }
            }
            self.open
                .lock()
                .expect("lock not poisoned")
                .drain(..)
                .for_each(|s| drop(s.shutdown(Shutdown::Both)));
            drop(self.open);
            // Wakes the accepting thread, which then finds that the scheduler has been dropped.
            let _ = TcpStream::connect(self.address);
        });
        now
    }
}

#[test]
fn the_check_finds_a_scheduler_that_closes_early_or_withholds_an_answer() {
    // A request that its client sent after the last time need not be answered, so a run that contains one proves
    // nothing.
    let run = |answers: fn(u64) -> bool, ends| {
        let once = |_| {
            let faulty = FaultyScheduler::start(answers);
            Some(run_clients(faulty.address, move || faulty.stop(ends))).filter(|all| on_time(all))
        };
        (0..MAX_RUNS).find_map(once).expect("this machine never let all clients send on time")
    };
    assert_eq!(lost(&run(|_| true, EndsAt::AllHandled)).len(), 0);
    let early = run(|_| true, EndsAt::After(LAST_CONNECT + 100 * MS));
    let found: Vec<_> = lost(&early).iter().map(|s| s.what).collect();
    assert!(
        ["the last millisecond", "opened last", "32 at the end"].iter().all(|w| found.contains(w)),
        "{found:?}"
    );
    let withheld = run(|nth| nth != 40, EndsAt::AllHandled);
    assert_eq!(lost(&withheld).len(), 1);
    let late = |reply| Observed { what: "late", sent: LAST_EXCUSED, timeout: 4_000 * MS, reply };
    let (never, after) = (late(None), late(Some((KILL + LATE + MS, ThriftReply::Crashed))));
    assert_eq!(open_at_kill(&[never, after, late(Some((KILL, ThriftReply::Crashed)))]).len(), 2);
}

#[test]
fn no_request_is_open_at_the_earliest_sigkill() {
    // The workers hang: each request ends by its timeout or by the restart.
    const LONG_MS: u64 = 8_000;
    let mut harness =
        Harness::new(Limits { deadline_ms: LONG_MS, ..Limits::default() }, 2, |_, _| vec![WorkerAction::Run]);
    let mut before = harness.client();
    let long = |number| Call { timeout_ms: LONG_MS, ..call(number, "extract") };
    let submitted: Vec<_> = (1..=8).map(|number| harness.submit(&mut before, &long(number))).collect();
    harness.wait_for(|what| matches!(what, Observation::Sent { .. }));
    let plan = |what, at, timeout_ms| Plan { what, opens: 0, sends: vec![(at, 0)], timeout_ms };
    let plans = [
        plan("in the window, longer than SIGKILL waits", 100 * MS, LONG_MS),
        plan("in the last millisecond, as long as SIGKILL waits", LAST_REQUEST - MS, 3_000),
        plan("after the last request that may be lost", LAST_EXCUSED + 50 * MS, LONG_MS),
        plan("later", 1_500 * MS, LONG_MS),
    ];
    let plans = plans.map(|plan| (harness.client(), plan));
    let (to, term) = (harness.address, stop(&harness));
    let threads = plans.map(|(client, plan)| std::thread::spawn(move || plan.run(to, Some(client), term)));
    let open: Vec<_> = submitted.iter().collect();
    for _ in &submitted {
        harness.read(&mut before, &open).expect("a reply to each request sent before the signal");
    }
    let answered = monotonic() - term;
    let all: Vec<_> = threads.into_iter().flat_map(|t| t.join().expect("client thread ended")).collect();
    let (stopping, down) = ended(&mut harness);
    assert_eq!(lost(&all).len(), 0, "{:?}", lost(&all));
    assert_eq!(open_at_kill(&all).len(), 0, "{all:?}");
    // Requests that may be open at SIGKILL are answered too, and the process ends before it has to be killed.
    assert!(answered < KILL + LATE, "the requests from before the signal were answered after {answered} us");
    let first = all[0].reply.as_ref().expect("request was answered").0;
    assert!(first < KILL + LATE, "a request in the window was answered after {first} us");
    assert!(down - stopping < KILL + LATE, "the scheduler ended after {} us", down - stopping);
}
