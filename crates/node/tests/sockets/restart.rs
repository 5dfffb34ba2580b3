//! A planned restart, by the clock of the platform's page: new connections come for 0.4 s after SIGTERM, requests on
//! open ones for 0.2 s more, and SIGKILL no sooner than the longest deadline (3 s at most) and 0.7 s after it.

use crate::common::*;
use basaltward_net::{Micros, monotonic};
use basaltward_rules::Observation;
use basaltward_standins::{Act, Exec, FrontClient, FrontReply};
use basaltward_thrift::{
    ClientRequest as Question, FrameLimits, ServerReply, next_frame, read_request, write,
};
use bytes::BytesMut;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

const MS: Micros = 1_000;
/// The last new connection, and the last request.
const CONNECTS: Micros = 400 * MS;
const REQUESTS: Micros = 600 * MS;
/// A request that came by then is not lost if SIGKILL finds it open.
const EXCUSED: Micros = 700 * MS;
/// When the scheduler begins to close connections.
const CLOSES: Micros = 850 * MS;
/// The page's slack of each time limit.
const SLACK: Micros = 50 * MS;

/// What clients and scheduler may be late on a loaded machine. An answer is lost that is later than this, too.
const LATE: Micros = 500 * MS;

/// Plays until one in which the machine let all clients send when they meant to.
const PLAYS: usize = 5;

/// The earliest SIGKILL, from SIGTERM, where the longest deadline is 3 s or more.
const KILL: Micros = 3_700 * MS;

fn sleep_until(at: Micros) {
    std::thread::sleep(Duration::from_micros(at.saturating_sub(monotonic())));
}

fn put(client: &mut FrontClient, call: &Call, half: bool) -> std::io::Result<(i32, Vec<u8>)> {
    let timeout = call.timeout_ms.to_string();
    let fields = fields(call, &timeout);
    match half {
        true => client.half(&fields, &call.body),
        false => Ok((client.submit(&fields, &call.body)?, Vec::new())),
    }
}

/// A request as its client saw it; times from SIGTERM on, 0 for before it.
#[derive(Clone, Debug)]
struct Seen {
    what: &'static str,
    /// When its last byte was written.
    sent: Micros,
    timeout: Micros,
    /// When its answer was read, and which.
    told: Option<(Micros, FrontReply)>,
}

/// The requests that the page says have to be answered, and are not or too late. A late one on a connection that had
/// ended before it was never taken.
fn lost(all: &[Seen]) -> Vec<&Seen> {
    let owed = |s: &&Seen| s.sent <= REQUESTS + SLACK;
    let in_time = |s: &Seen| s.told.as_ref().is_some_and(|(at, _)| *at <= s.sent + s.timeout + LATE);
    all.iter().filter(owed).filter(|s| !in_time(s)).collect()
}

/// The requests that SIGKILL would find open, of those that the page does not excuse. One that crosses the end of its
/// connection has not been taken: the program says when it ends that.
fn open_at_kill(all: &[Seen]) -> Vec<&Seen> {
    let late = |s: &&Seen| (EXCUSED..CLOSES).contains(&s.sent);
    all.iter().filter(late).filter(|s| s.told.as_ref().is_none_or(|(at, _)| *at > KILL + LATE)).collect()
}

/// What one connection does: it is opened at `opens`, then sends at these times, and never closes.
struct Plan {
    what: &'static str,
    opens: Micros,
    /// When, and how long the first half of its bytes comes before it.
    sends: Vec<(Micros, Micros)>,
    timeout_ms: u64,
}

static CALLS: AtomicU64 = AtomicU64::new(1 << 32);

impl Plan {
    fn play(self, to: SocketAddr, mut client: Option<FrontClient>, term: Micros) -> Vec<Seen> {
        if client.is_none() {
            sleep_until(term + self.opens);
            client = FrontClient::connect(to, PATIENCE).ok();
        }
        let mut seen = Vec::new();
        let mut numbers = Vec::new();
        for (at, before) in &self.sends {
            let mut call = call(CALLS.fetch_add(1, Ordering::SeqCst), "extract");
            call.timeout_ms = self.timeout_ms;
            sleep_until(term + at - before);
            let sent = client.as_mut().and_then(|c| put(c, &call, *before > 0).ok().map(|put| (c, put)));
            let sent = sent.and_then(|(client, (seqid, rest))| {
                sleep_until(term + at);
                client.raw(&rest).ok().map(|()| seqid)
            });
            let timeout = self.timeout_ms * MS;
            numbers.push(sent);
            seen.push(Seen { what: self.what, sent: monotonic().saturating_sub(term), timeout, told: None });
        }
        while let Some(Ok(Some((seqid, reply)))) = client.as_mut().map(FrontClient::read) {
            let at = numbers.iter().position(|number| *number == Some(seqid)).expect("it was asked");
            seen[at].told = Some((monotonic().saturating_sub(term), reply));
        }
        seen
    }
}

/// What clients do around a planned restart.
fn plans() -> Vec<Plan> {
    let plan = |what, opens, sends| Plan { what, opens, sends, timeout_ms: 2_500 };
    let at = |times: &[Micros]| times.iter().map(|t| (*t, 0)).collect::<Vec<_>>();
    let many: Vec<_> = (0..REQUESTS).step_by(30_000).collect();
    let last = REQUESTS - MS;
    vec![
        plan("goes on", 0, at(&many)),
        plan("32 at the signal", 0, vec![(0, 0); 32]),
        plan("32 at the end", 0, vec![(last, 0); 32]),
        plan("the last millisecond", 0, at(&[last])),
        plan("a half at the signal", 0, vec![(100 * MS, 100 * MS)]),
        plan("a half at the last millisecond", 0, vec![(last, 60 * MS)]),
        plan("opened after", 50 * MS, at(&[60 * MS, 300 * MS, last])),
        plan("opened last", CONNECTS, at(&[CONNECTS, last])),
        plan("a half on one opened last", CONNECTS, vec![(last, 150 * MS)]),
        plan("says nothing", 0, Vec::new()),
    ]
}

/// Clients around a planned restart of the scheduler at this address, which `stop` begins and tells the time of.
fn play(to: SocketAddr, stop: impl FnOnce() -> Micros) -> Vec<Seen> {
    // Those there before have each been served once, but for the one that says nothing.
    let opened = |plan: &Plan| {
        (plan.opens == 0).then(|| {
            let mut client = FrontClient::connect(to, PATIENCE).expect("connected");
            if !plan.sends.is_empty() {
                client.heartbeat().and_then(|_| client.read()).expect("alive");
            }
            client
        })
    };
    let plans: Vec<_> = plans().into_iter().map(|plan| (opened(&plan), plan)).collect();
    let term = stop();
    let threads: Vec<_> = plans
        .into_iter()
        .map(|(client, plan)| std::thread::spawn(move || plan.play(to, client, term)))
        .collect();
    threads.into_iter().flat_map(|t| t.join().expect("played")).collect()
}

/// Whether the machine let the clients send when they meant to: else nothing is proven of the last millisecond.
fn on_time(all: &[Seen]) -> bool {
    let last = all.iter().filter(|s| s.what == "the last millisecond");
    last.clone().count() == 1 && all.iter().all(|s| s.sent <= REQUESTS + SLACK)
}

/// When the scheduler was told to stop, and when it ended.
fn ended(bed: &mut Bed) -> (Micros, Micros) {
    let (mut stopping, mut down) = (0, 0);
    bed.finish().iter().for_each(|record| match record.observation {
        Observation::Stopping => stopping = record.time,
        Observation::Down { killed: false } => down = record.time,
        _ => {}
    });
    (stopping, down)
}

fn stop(bed: &Bed) -> Micros {
    // The page counts from the signal, which comes before the scheduler knows of it.
    let now = monotonic();
    bed.control.stop();
    now
}

fn slow(_: usize, exec: &Exec) -> Vec<Act> {
    let mut acts = vec![Act::Wait(Duration::from_millis(20))];
    acts.extend(exec.serve());
    acts
}

#[test]
fn every_request_until_the_stated_time_is_answered_and_then_it_ends() {
    for _ in 0..PLAYS {
        let mut bed = Bed::new(Limits::default(), 2, slow);
        let all = play(bed.address, || stop(&bed));
        let (stopping, down) = ended(&mut bed);
        assert_eq!(lost(&all).len(), 0, "{:?}", lost(&all));
        let ends = down - stopping;
        assert!((REQUESTS..KILL).contains(&ends), "it ended after {ends} us");
        if on_time(&all) {
            let served = |s: &&Seen| matches!(s.told, Some((_, FrontReply::Served(_))));
            let count = all.iter().filter(served).count();
            assert!(count * 10 >= all.len() * 9, "{count} of {} were served", all.len());
            return;
        }
    }
    panic!("this machine never let a client send in time");
}

/// When a [`Hasty`] ends its connections.
#[derive(Clone, Copy)]
enum Ends {
    /// So long after it is told to stop; nothing that it reads later is answered, however late it is itself.
    After(Micros),
    /// Once it has seen to all requests of [`plans`].
    Last,
}

/// A scheduler that serves whatever it is asked, and ends its connections at a time of its own.
struct Hasty {
    address: SocketAddr,
    open: Arc<Mutex<Vec<TcpStream>>>,
    counts: Arc<Counts>,
}

/// What a [`Hasty`] knows.
struct Counts {
    /// Requests that came.
    came: AtomicU64,
    /// Nothing is answered from then on.
    until: AtomicU64,
    /// Requests that were seen to: answered, or kept back.
    seen: Mutex<usize>,
    changed: Condvar,
}

impl Hasty {
    /// It answers requests that this picks, by how many came before.
    fn start(answers: impl Fn(u64) -> bool + Clone + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (came, until) = (AtomicU64::new(0), AtomicU64::new(Micros::MAX));
        let counts = Arc::new(Counts { came, until, seen: Mutex::new(0), changed: Condvar::new() });
        let (kept, shared) = (open.clone(), counts.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let stream = stream.expect("a client");
                if Arc::strong_count(&kept) == 1 {
                    return;
                }
                kept.lock().expect("sound").push(stream.try_clone().expect("a handle"));
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
                let (head, asked) = read_request(&frame).ok()?;
                if monotonic() >= counts.until.load(Ordering::SeqCst) {
                    return stream.shutdown(Shutdown::Both).ok();
                }
                let submit = matches!(asked, Question::Submit(_));
                if !submit || answers(counts.came.fetch_add(1, Ordering::SeqCst)) {
                    let mut out = BytesMut::new();
                    write::reply(&mut out, head.method, head.seqid, &ServerReply::Answer(b"", true));
                    stream.write_all(&out).ok()?;
                }
                *counts.seen.lock().expect("sound") += usize::from(submit);
                counts.changed.notify_all();
            }
            match stream.read(&mut bytes).ok()? {
                0 => return None,
                read => input.extend_from_slice(&bytes[..read]),
            }
        }
    }

    /// Ends as told; gives when now is.
    fn stop(self, ends: Ends) -> Micros {
        let now = monotonic();
        if let Ends::After(after) = ends {
            self.counts.until.store(now + after, Ordering::SeqCst);
        }
        std::thread::spawn(move || {
            match ends {
                Ends::After(after) => sleep_until(now + after),
                Ends::Last => {
                    let all = plans().iter().map(|plan| plan.sends.len()).sum();
                    let seen = self.counts.seen.lock().expect("sound");
                    let wait = self.counts.changed.wait_timeout_while(seen, PATIENCE, |seen| *seen < all);
                    drop(wait.expect("sound"));
                }
            }
            self.open.lock().expect("sound").drain(..).for_each(|s| drop(s.shutdown(Shutdown::Both)));
            drop(self.open);
            // Wakes the thread that accepts, which then finds nobody left.
            let _ = TcpStream::connect(self.address);
        });
        now
    }
}

#[test]
fn one_that_closes_early_or_keeps_one_answer_back_is_found() {
    // A request that its client sent past the last time is not owed: a play with one proves nothing.
    let played = |answers: fn(u64) -> bool, ends| {
        let once = |_| {
            let hasty = Hasty::start(answers);
            Some(play(hasty.address, move || hasty.stop(ends))).filter(|all| on_time(all))
        };
        (0..PLAYS).find_map(once).expect("this machine never let a client send in time")
    };
    assert_eq!(lost(&played(|_| true, Ends::Last)).len(), 0);
    let early = played(|_| true, Ends::After(CONNECTS + 100 * MS));
    let found: Vec<_> = lost(&early).iter().map(|s| s.what).collect();
    assert!(
        ["the last millisecond", "opened last", "32 at the end"].iter().all(|w| found.contains(w)),
        "{found:?}"
    );
    let kept_back = played(|nth| nth != 40, Ends::Last);
    assert_eq!(lost(&kept_back).len(), 1);
    let late = |told| Seen { what: "late", sent: EXCUSED, timeout: 4_000 * MS, told };
    let (never, after) = (late(None), late(Some((KILL + LATE + MS, FrontReply::Crashed))));
    assert_eq!(open_at_kill(&[never, after, late(Some((KILL, FrontReply::Crashed)))]).len(), 2);
}

#[test]
fn nothing_is_open_when_sigkill_may_come() {
    // The workers hang: each request has the end that its time gives it, or else the restart.
    const LONG_MS: u64 = 8_000;
    let mut bed = Bed::new(Limits { deadline_ms: LONG_MS, ..Limits::default() }, 2, |_, _| vec![Act::Run]);
    let mut before = bed.client();
    let long = |number| Call { timeout_ms: LONG_MS, ..call(number, "extract") };
    let asked: Vec<_> = (1..=8).map(|number| bed.submit(&mut before, &long(number))).collect();
    bed.wait(|what| matches!(what, Observation::Sent { .. }));
    let plan = |what, at, timeout_ms| Plan { what, opens: 0, sends: vec![(at, 0)], timeout_ms };
    let plans = [
        plan("in the window, longer than SIGKILL waits", 100 * MS, LONG_MS),
        plan("in the last millisecond, as long as SIGKILL waits", REQUESTS - MS, 3_000),
        plan("past what the page excuses", EXCUSED + 50 * MS, LONG_MS),
        plan("later", 1_500 * MS, LONG_MS),
    ];
    let plans = plans.map(|plan| (bed.client(), plan));
    let (to, term) = (bed.address, stop(&bed));
    let threads = plans.map(|(client, plan)| std::thread::spawn(move || plan.play(to, Some(client), term)));
    let open: Vec<_> = asked.iter().collect();
    for _ in &asked {
        bed.read(&mut before, &open).expect("an answer to each of before the signal");
    }
    let told = monotonic() - term;
    let all: Vec<_> = threads.into_iter().flat_map(|t| t.join().expect("played")).collect();
    let (stopping, down) = ended(&mut bed);
    assert_eq!(lost(&all).len(), 0, "{:?}", lost(&all));
    assert_eq!(open_at_kill(&all).len(), 0, "{all:?}");
    // Also what SIGKILL would be excused for: its clients are told, and nobody has to be killed.
    assert!(told < KILL + LATE, "those of before the signal were answered after {told} us");
    let first = all[0].told.as_ref().expect("answered").0;
    assert!(first < KILL + LATE, "one of the window was answered after {first} us");
    assert!(down - stopping < KILL + LATE, "it ended after {} us", down - stopping);
}
