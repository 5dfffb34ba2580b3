//! Scripted clients on one event loop: they send events at planned times, wait for the answers and retry.

use basaltward_http::{Body, Decoded, HeadWriter, Limits, Method, Response, ResponseDecoder};
use basaltward_net::{ConnId, Io, IoEvent, IoLimits, Micros, NetError, monotonic};
use basaltward_rules::{FinalAnswer, Observation, Recorder};
use basaltward_timers::Timers;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// How long a client waits past its deadline, only to record whether an answer still arrives.
const LATE_ANSWER_WAIT_US: Micros = 300_000;

/// A client makes no further attempt with less time left than this: a machine may fail to run both sides in it.
const MIN_ATTEMPT_TIME_US: Micros = 5_000;

/// What a client does when an attempt fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Maximum of attempts after the first.
    pub max_retries: u32,
    /// Delay before each, in microseconds.
    pub delay: Micros,
    /// The client closes its connection after so many microseconds without an answer and repeats the event at once, at
    /// the same gateway.
    pub abandon_after: Option<Micros>,
    /// Failures and connections lost after the request was sent are retried too, not only refusals and failed connects.
    pub retry_failures: bool,
    /// An answer's `Retry-After` header takes the place of `delay`.
    pub honor_retry_after: bool,
}

/// An event that a client will send.
#[derive(Clone, Debug)]
pub struct PlannedEvent {
    /// Send time, in microseconds from the start of the run.
    pub send_at: Micros,
    /// Position of the gateway that gets the first attempt.
    pub gateway: usize,
    /// Name of the called function.
    pub function: String,
    /// Class of the function, for the records.
    pub class: String,
    /// Tenant of the client; empty without tenants.
    pub tenant: String,
    /// Id of the event; its source is `/clients`.
    pub id: String,
    /// How long the client waits over all attempts, in microseconds.
    pub timeout: Micros,
    /// Work of the call in microseconds; `None` for the worker's default.
    pub work: Option<Micros>,
    /// Size of the payload in bytes.
    pub payload: usize,
    /// How the client retries.
    pub retry_policy: RetryPolicy,
}

/// Results of a run. Each event counts once, whatever the number of its attempts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientStats {
    /// Events planned.
    pub events: usize,
    /// Attempts sent, over all events.
    pub attempts: u64,
    /// Events served.
    pub served: usize,
    /// Events whose last answer was a refusal.
    pub refused: usize,
    /// Events whose last answer was a failure or a rejection.
    pub failed: usize,
    /// Events without any answer.
    pub unanswered: usize,
    /// Times from an event's first attempt to its reply, for each event served, in microseconds.
    pub latencies: Vec<Micros>,
    /// Number of answers by HTTP status, over all attempts.
    pub statuses: BTreeMap<u16, u64>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// Time to make an attempt for the event at this position.
    Attempt(usize),
    /// Time to abandon this attempt and repeat the event.
    Abandon(u64),
    /// The wait for an answer to this attempt ends.
    GiveUp(u64),
}

struct Attempt {
    plan: usize,
    conn: ConnId,
    sent: bool,
}

struct Conn {
    gateway: usize,
    decoder: ResponseDecoder,
    attempt: Option<u64>,
    connected: bool,
}

#[derive(Clone, Copy, Default)]
struct Progress {
    attempts: u32,
    first_sent: Option<Micros>,
    last_answer: Option<FinalAnswer>,
    finished: bool,
}

/// Clients of a set of gateways.
pub struct Clients {
    io: Io,
    gateways: Vec<SocketAddr>,
    /// The gateways' addresses as written to the records.
    recorded_addresses: Vec<SocketAddr>,
    recorder: Recorder,
    plans: Vec<PlannedEvent>,
    progress: Vec<Progress>,
    conns: HashMap<ConnId, Conn>,
    idle: Vec<Vec<ConnId>>,
    attempts: HashMap<u64, Attempt>,
    timers: Timers<Timer>,
    next_attempt: u64,
    unfinished: usize,
    stats: ClientStats,
}

impl Clients {
    /// Creates clients of these gateways.
    ///
    /// # Errors
    /// If the event loop can't be created.
    pub fn new(gateways: Vec<SocketAddr>, recorder: Recorder) -> Result<Self, NetError> {
        Self::with_recorded_addresses(gateways.clone(), gateways, recorder)
    }

    /// Creates clients that connect to other addresses than those under which the gateways appear in the records, for
    /// example through proxies.
    ///
    /// # Errors
    /// If the event loop can't be created.
    pub fn with_recorded_addresses(
        gateways: Vec<SocketAddr>,
        recorded_addresses: Vec<SocketAddr>,
        recorder: Recorder,
    ) -> Result<Self, NetError> {
        Ok(Self {
            io: Io::new(IoLimits { connections: 50_000, ..IoLimits::default() })?,
            idle: gateways.iter().map(|_| Vec::new()).collect(),
            gateways,
            recorded_addresses,
            recorder,
            plans: Vec::new(),
            progress: Vec::new(),
            conns: HashMap::new(),
            attempts: HashMap::new(),
            timers: Timers::default(),
            next_attempt: 1,
            unfinished: 0,
            stats: ClientStats::default(),
        })
    }

    /// Sends all planned events and returns when each is answered or given up.
    ///
    /// # Errors
    /// If the event loop fails.
    pub fn run(mut self, plans: Vec<PlannedEvent>) -> Result<ClientStats, NetError> {
        let start = monotonic();
        self.unfinished = plans.len();
        self.progress = vec![Progress::default(); plans.len()];
        for (index, plan) in plans.iter().enumerate() {
            self.timers.set(start + plan.send_at, Timer::Attempt(index));
        }
        self.plans = plans;
        let mut events = Vec::new();
        while self.unfinished > 0 {
            self.io.turn(self.timers.next_due().map(|d| d.saturating_sub(monotonic())), &mut events)?;
            let now = monotonic();
            for event in events.drain(..) {
                match event {
                    IoEvent::Connected(conn) => self.on_connected(now, conn),
                    IoEvent::Data(conn) => self.on_data(now, conn),
                    IoEvent::Ended(conn, _) => self.on_connection_lost(now, conn),
                    _ => {}
                }
            }
            while let Some((_, timer)) = self.timers.pop_due(now) {
                match timer {
                    Timer::Attempt(event) => self.begin_attempt(now, event)?,
                    Timer::Abandon(attempt) => self.abandon(now, attempt),
                    Timer::GiveUp(attempt) => self.give_up(now, attempt),
                }
            }
            self.io.free_ended();
        }
        self.stats.events = self.plans.len();
        for progress in &self.progress {
            match progress.last_answer {
                Some(FinalAnswer::Served) => self.stats.served += 1,
                Some(FinalAnswer::Refused) => self.stats.refused += 1,
                Some(FinalAnswer::Failed | FinalAnswer::Rejected) => self.stats.failed += 1,
                None => self.stats.unanswered += 1,
            }
        }
        Ok(self.stats)
    }

    fn begin_attempt(&mut self, now: Micros, plan: usize) -> Result<(), NetError> {
        if self.progress[plan].finished {
            return Ok(());
        }
        // Retries go to the other gateways in turn, as a simple load balancer would send them. A client that abandons
        // its attempts repeats them at the same gateway.
        let earlier = self.progress[plan].attempts as usize;
        let same_gateway = self.plans[plan].retry_policy.abandon_after.is_some();
        let gateway =
            (self.plans[plan].gateway + if same_gateway { 0 } else { earlier }) % self.gateways.len();
        self.progress[plan].attempts += 1;
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        while let Some(conn) = self.idle[gateway].pop() {
            if self.io.is_stale(conn) {
                self.io.abort(conn);
                self.conns.remove(&conn);
                continue;
            }
            self.attempts.insert(attempt, Attempt { plan, conn, sent: false });
            if let Some(connection) = self.conns.get_mut(&conn) {
                connection.attempt = Some(attempt);
            }
            self.send(now, attempt);
            return Ok(());
        }
        let conn = self.io.connect(self.gateways[gateway])?;
        let decoder = ResponseDecoder::new(Limits { body: 64 << 20, ..Limits::default() });
        self.conns.insert(conn, Conn { gateway, decoder, attempt: Some(attempt), connected: false });
        self.attempts.insert(attempt, Attempt { plan, conn, sent: false });
        Ok(())
    }

    fn on_connected(&mut self, now: Micros, conn: ConnId) {
        if let Some(connection) = self.conns.get_mut(&conn) {
            connection.connected = true;
            if let Some(attempt) = connection.attempt {
                self.send(now, attempt);
            }
        }
    }

    fn send(&mut self, now: Micros, id: u64) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.sent = true;
        let (plan, progress) = (&self.plans[attempt.plan], &mut self.progress[attempt.plan]);
        let first = *progress.first_sent.get_or_insert(now);
        let left = (first + plan.timeout).saturating_sub(now).max(1_000);
        let deadline = now + left / 1_000 * 1_000;
        let Some(out) = self.io.output(attempt.conn) else { return };
        let gateway = self.conns.get(&attempt.conn).map_or(plan.gateway, |conn| conn.gateway);
        let host = self.gateways[gateway].to_string();
        let head = HeadWriter::request(out, "POST", &format!("/functions/{}", plan.function), &host);
        let head = head.field("ce-specversion", "1.0").field("ce-source", "/clients");
        let head = head.field("ce-type", "basaltward.call").field("ce-id", &plan.id);
        let head = head
            .display_field("ce-timeoutms", left / 1_000)
            .field("Content-Type", "application/octet-stream");
        let head = head.optional_field("ce-tenant", Some(&plan.tenant).filter(|t| !t.is_empty()));
        let head = head.optional_field("ce-workus", plan.work.map(|w| w.to_string()));
        head.body(Body::Whole(&vec![b'x'; plan.payload]));
        self.stats.attempts += 1;
        if self.recorder.is_enabled() {
            let observation = Observation::RequestSent {
                request_id: id,
                event: format!("/clients#{}", plan.id),
                class: plan.class.clone(),
                tenant: plan.tenant.clone(),
                to: self.recorded_addresses[gateway].to_string(),
                deadline,
            };
            self.recorder.put(now, "clients", observation);
        }
        if let Some(abandon_after) =
            plan.retry_policy.abandon_after.filter(|_| progress.attempts <= plan.retry_policy.max_retries)
        {
            self.timers.set(now + abandon_after, Timer::Abandon(id));
        }
        self.timers.set(deadline + LATE_ANSWER_WAIT_US, Timer::GiveUp(id));
    }

    fn on_data(&mut self, now: Micros, conn: ConnId) {
        let Some(connection) = self.conns.get_mut(&conn) else { return };
        let Some(id) = connection.attempt else { return self.on_connection_lost(now, conn) };
        let Some(input) = self.io.input(conn) else { return };
        match connection.decoder.decode(input, Method::Post) {
            Ok(Decoded::Message(response)) => {
                connection.attempt = None;
                let (gateway, clean) = (connection.gateway, input.is_empty());
                self.io.release_input(conn);
                if response.keep_alive() && clean {
                    self.idle[gateway].push(conn);
                } else {
                    self.io.abort(conn);
                    self.conns.remove(&conn);
                }
                self.on_answer(now, id, &response);
            }
            Ok(_) => self.io.pause(conn, false),
            Err(_) => {
                self.io.abort(conn);
                self.on_connection_lost(now, conn);
            }
        }
    }

    fn on_answer(&mut self, now: Micros, id: u64, response: &Response) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        let answer = match response.status {
            200 => FinalAnswer::Served,
            503 => FinalAnswer::Refused,
            500 | 504 => FinalAnswer::Failed,
            _ => FinalAnswer::Rejected,
        };
        *self.stats.statuses.entry(response.status).or_default() += 1;
        if self.recorder.is_enabled() {
            let observation = Observation::Answered { request_id: id, answer, status: response.status };
            self.recorder.put(now, "clients", observation);
        }
        let (plan, progress) = (&self.plans[attempt.plan], &mut self.progress[attempt.plan]);
        progress.last_answer = Some(answer);
        if answer == FinalAnswer::Served {
            self.stats.latencies.push(now - progress.first_sent.unwrap_or(now));
        }
        // 502: the owner of the event can't be reached. It recognizes repeats, so a retry is safe.
        let safe_to_retry = answer == FinalAnswer::Refused || response.status == 502;
        let repeat = safe_to_retry || answer == FinalAnswer::Failed && plan.retry_policy.retry_failures;
        let retry_after = response.headers.get("retry-after").and_then(|text| text.parse::<Micros>().ok());
        let retry_after =
            retry_after.filter(|_| plan.retry_policy.honor_retry_after).map(|seconds| seconds * 1_000_000);
        let wait = retry_after.unwrap_or(plan.retry_policy.delay);
        self.retry_or_finish(now, attempt.plan, repeat, wait);
    }

    /// Schedules the next attempt of an event if its policy and its timeout allow one, else finishes the event.
    fn retry_or_finish(&mut self, now: Micros, index: usize, repeat: bool, wait: Micros) {
        let (plan, progress) = (&self.plans[index], &mut self.progress[index]);
        let until = progress.first_sent.unwrap_or(now) + plan.timeout;
        if repeat
            && progress.attempts <= plan.retry_policy.max_retries
            && now + wait + MIN_ATTEMPT_TIME_US < until
        {
            self.timers.set(now + wait, Timer::Attempt(index));
        } else if !std::mem::replace(&mut progress.finished, true) {
            self.unfinished -= 1;
        }
    }

    fn abandon(&mut self, now: Micros, id: u64) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.io.abort(attempt.conn);
        self.conns.remove(&attempt.conn);
        self.recorder.put(now, "clients", Observation::ClientLeft { request_id: id });
        self.retry_or_finish(now, attempt.plan, true, 0);
    }

    fn give_up(&mut self, now: Micros, id: u64) {
        if let Some(attempt) = self.attempts.remove(&id) {
            self.io.abort(attempt.conn);
            self.conns.remove(&attempt.conn);
            self.retry_or_finish(now, attempt.plan, false, 0);
        }
    }

    /// Handles the end of a connection, with or without an attempt on it.
    fn on_connection_lost(&mut self, now: Micros, conn: ConnId) {
        let Some(connection) = self.conns.remove(&conn) else { return };
        self.idle[connection.gateway].retain(|c| *c != conn);
        let Some(id) = connection.attempt else { return };
        let Some(attempt) = self.attempts.remove(&id) else { return };
        if attempt.sent {
            self.recorder.put(now, "clients", Observation::ConnectionLost { request_id: id });
        }
        // If it was never connected, the request was not sent, so a retry is safe for every class.
        let repeat = !connection.connected || self.plans[attempt.plan].retry_policy.retry_failures;
        self.retry_or_finish(
            now,
            attempt.plan,
            repeat,
            self.plans[attempt.plan].retry_policy.delay.max(20_000),
        );
    }
}
