//! Scripted clients on one loop: events sent at told times, answers awaited, tries repeated.

use basaltward_http::{Body, Decoded, HeadWriter, Limits, Method, Response, ResponseDecoder};
use basaltward_net::{ConnId, Io, IoEvent, IoLimits, Micros, NetError, monotonic};
use basaltward_rules::{FinalAnswer, Observation, Recorder};
use basaltward_timers::Timers;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// A client waits this long past its deadline, only to see whether an answer still comes.
const LATE_US: Micros = 300_000;

/// A client begins no further try with less time than this: no machine promises to run both sides in it.
const LEAST_US: Micros = 5_000;

/// What a client does when a try brings no reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Further tries at most.
    pub max_retries: u32,
    /// How long it waits before each.
    pub delay: Micros,
    /// It gives a try up after this and repeats it at once.
    pub abandon_after: Option<Micros>,
    /// A failure may be repeated too, not just a refusal or a broken connection.
    pub retry_failures: bool,
    /// Where a refusal says when to come again, it waits for so long in place of `wait`.
    pub honor_retry_after: bool,
}

/// One event to be sent.
#[derive(Clone, Debug)]
pub struct PlannedEvent {
    /// When, from the start of the run.
    pub send_at: Micros,
    /// To which gateway, by position.
    pub gateway: usize,
    /// The function called.
    pub function: String,
    /// Its class, for the records.
    pub class: String,
    /// The tenant; empty without tenants.
    pub tenant: String,
    /// The event's id; its source is `/clients`.
    pub id: String,
    /// How long the client waits in all.
    pub timeout: Micros,
    /// Work of the call, where told.
    pub work: Option<Micros>,
    /// Bytes of payload.
    pub payload: usize,
    /// What it does without a reply.
    pub retry_policy: RetryPolicy,
}

/// What a run came to, by event: a client's further tries count with its first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientStats {
    /// Events.
    pub events: usize,
    /// Tries sent.
    pub attempts: u64,
    /// Events served.
    pub served: usize,
    /// Events whose last try was refused, failed, or ended without an answer.
    pub refused: usize,
    /// See `refused`.
    pub failed: usize,
    /// See `refused`.
    pub unanswered: usize,
    /// Times from the event's first send to its reply, by event served, in microseconds.
    pub latencies: Vec<Micros>,
    /// Statuses of all answers.
    pub statuses: BTreeMap<u16, u64>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Try(usize),
    Leave(u64),
    GiveUp(u64),
}

struct Trial {
    plan: usize,
    conn: ConnId,
    asked: bool,
}

struct Conn {
    gateway: usize,
    decoder: ResponseDecoder,
    trial: Option<u64>,
    ready: bool,
}

#[derive(Clone, Copy, Default)]
struct Progress {
    tries: u32,
    first: Option<Micros>,
    last: Option<FinalAnswer>,
    done: bool,
}

/// Clients of some gateways.
pub struct Clients {
    io: Io,
    gateways: Vec<SocketAddr>,
    /// How records name them.
    named: Vec<SocketAddr>,
    recorder: Recorder,
    plans: Vec<PlannedEvent>,
    progress: Vec<Progress>,
    conns: HashMap<ConnId, Conn>,
    idle: Vec<Vec<ConnId>>,
    trials: HashMap<u64, Trial>,
    due: Timers<Due>,
    next: u64,
    open: usize,
    tally: ClientStats,
}

impl Clients {
    /// Clients that know these gateways.
    ///
    /// # Errors
    /// Where the system refuses a loop.
    pub fn new(gateways: Vec<SocketAddr>, recorder: Recorder) -> Result<Self, NetError> {
        Self::with_recorded_addresses(gateways.clone(), gateways, recorder)
    }

    /// Clients that reach gateways at other addresses than these have themselves, by which records name them.
    ///
    /// # Errors
    /// Where the system refuses a loop.
    pub fn with_recorded_addresses(
        gateways: Vec<SocketAddr>,
        named: Vec<SocketAddr>,
        recorder: Recorder,
    ) -> Result<Self, NetError> {
        Ok(Self {
            io: Io::new(IoLimits { connections: 50_000, ..IoLimits::default() })?,
            idle: gateways.iter().map(|_| Vec::new()).collect(),
            gateways,
            named,
            recorder,
            plans: Vec::new(),
            progress: Vec::new(),
            conns: HashMap::new(),
            trials: HashMap::new(),
            due: Timers::default(),
            next: 1,
            open: 0,
            tally: ClientStats::default(),
        })
    }

    /// Sends all planned events and waits until each has come to its end.
    ///
    /// # Errors
    /// Where the loop itself fails.
    pub fn run(mut self, plans: Vec<PlannedEvent>) -> Result<ClientStats, NetError> {
        let start = monotonic();
        self.open = plans.len();
        self.progress = vec![Progress::default(); plans.len()];
        for (index, plan) in plans.iter().enumerate() {
            self.due.set(start + plan.send_at, Due::Try(index));
        }
        self.plans = plans;
        let mut happened = Vec::new();
        while self.open > 0 {
            self.io.turn(self.due.next_due().map(|d| d.saturating_sub(monotonic())), &mut happened)?;
            let now = monotonic();
            for happened in happened.drain(..) {
                match happened {
                    IoEvent::Connected(conn) => self.connected(now, conn),
                    IoEvent::Data(conn) => self.data(now, conn),
                    IoEvent::Ended(conn, _) => self.lost(now, conn),
                    _ => {}
                }
            }
            while let Some((_, due)) = self.due.pop_due(now) {
                match due {
                    Due::Try(plan) => self.try_once(now, plan)?,
                    Due::Leave(trial) => self.leave(now, trial),
                    Due::GiveUp(trial) => self.give_up(now, trial),
                }
            }
            self.io.free_ended();
        }
        self.tally.events = self.plans.len();
        for progress in &self.progress {
            match progress.last {
                Some(FinalAnswer::Served) => self.tally.served += 1,
                Some(FinalAnswer::Refused) => self.tally.refused += 1,
                Some(FinalAnswer::Failed | FinalAnswer::Rejected) => self.tally.failed += 1,
                None => self.tally.unanswered += 1,
            }
        }
        Ok(self.tally)
    }

    fn try_once(&mut self, now: Micros, plan: usize) -> Result<(), NetError> {
        if self.progress[plan].done {
            return Ok(());
        }
        // Repeats go to other gateways in turn, as a plain front layer would send them.
        let tries = self.progress[plan].tries as usize;
        let stays = self.plans[plan].retry_policy.abandon_after.is_some();
        let gateway = (self.plans[plan].gateway + if stays { 0 } else { tries }) % self.gateways.len();
        self.progress[plan].tries += 1;
        let trial = self.next;
        self.next += 1;
        while let Some(conn) = self.idle[gateway].pop() {
            if self.io.is_stale(conn) {
                self.io.abort(conn);
                self.conns.remove(&conn);
                continue;
            }
            self.trials.insert(trial, Trial { plan, conn, asked: false });
            if let Some(known) = self.conns.get_mut(&conn) {
                known.trial = Some(trial);
            }
            self.send(now, trial);
            return Ok(());
        }
        let conn = self.io.connect(self.gateways[gateway])?;
        let decoder = ResponseDecoder::new(Limits { body: 64 << 20, ..Limits::default() });
        self.conns.insert(conn, Conn { gateway, decoder, trial: Some(trial), ready: false });
        self.trials.insert(trial, Trial { plan, conn, asked: false });
        Ok(())
    }

    fn connected(&mut self, now: Micros, conn: ConnId) {
        if let Some(known) = self.conns.get_mut(&conn) {
            known.ready = true;
            if let Some(trial) = known.trial {
                self.send(now, trial);
            }
        }
    }

    fn send(&mut self, now: Micros, id: u64) {
        let Some(trial) = self.trials.get_mut(&id) else { return };
        trial.asked = true;
        let (plan, progress) = (&self.plans[trial.plan], &mut self.progress[trial.plan]);
        let first = *progress.first.get_or_insert(now);
        let left = (first + plan.timeout).saturating_sub(now).max(1_000);
        let deadline = now + left / 1_000 * 1_000;
        let Some(out) = self.io.output(trial.conn) else { return };
        let gateway = self.conns.get(&trial.conn).map_or(plan.gateway, |conn| conn.gateway);
        let host = self.gateways[gateway].to_string();
        let head = HeadWriter::request(out, "POST", &format!("/functions/{}", plan.function), &host);
        let head = head.field("ce-specversion", "1.0").field("ce-source", "/clients");
        let head = head.field("ce-type", "basaltward.call").field("ce-id", &plan.id);
        let head = head.shown("ce-timeoutms", left / 1_000).field("Content-Type", "application/octet-stream");
        let head = head.maybe("ce-tenant", Some(&plan.tenant).filter(|t| !t.is_empty()));
        let head = head.maybe("ce-workus", plan.work.map(|w| w.to_string()));
        head.body(Body::Whole(&vec![b'x'; plan.payload]));
        self.tally.attempts += 1;
        if self.recorder.is_enabled() {
            let what = Observation::RequestSent {
                request_id: id,
                event: format!("/clients#{}", plan.id),
                class: plan.class.clone(),
                tenant: plan.tenant.clone(),
                to: self.named[gateway].to_string(),
                deadline,
            };
            self.recorder.put(now, "clients", what);
        }
        if let Some(leave) =
            plan.retry_policy.abandon_after.filter(|_| progress.tries <= plan.retry_policy.max_retries)
        {
            self.due.set(now + leave, Due::Leave(id));
        }
        self.due.set(deadline + LATE_US, Due::GiveUp(id));
    }

    fn data(&mut self, now: Micros, conn: ConnId) {
        let Some(known) = self.conns.get_mut(&conn) else { return };
        let Some(id) = known.trial else { return self.lost(now, conn) };
        let Some(input) = self.io.input(conn) else { return };
        match known.decoder.decode(input, Method::Post) {
            Ok(Decoded::Message(response)) => {
                known.trial = None;
                let (gateway, clean) = (known.gateway, input.is_empty());
                self.io.release_input(conn);
                if response.keep_alive() && clean {
                    self.idle[gateway].push(conn);
                } else {
                    self.io.abort(conn);
                    self.conns.remove(&conn);
                }
                self.answered(now, id, &response);
            }
            Ok(_) => self.io.pause(conn, false),
            Err(_) => {
                self.io.abort(conn);
                self.lost(now, conn);
            }
        }
    }

    fn answered(&mut self, now: Micros, id: u64, response: &Response) {
        let Some(trial) = self.trials.remove(&id) else { return };
        let answer = match response.status {
            200 => FinalAnswer::Served,
            503 => FinalAnswer::Refused,
            500 | 504 => FinalAnswer::Failed,
            _ => FinalAnswer::Rejected,
        };
        *self.tally.statuses.entry(response.status).or_default() += 1;
        if self.recorder.is_enabled() {
            let what = Observation::Answered { request_id: id, answer, status: response.status };
            self.recorder.put(now, "clients", what);
        }
        let (plan, progress) = (&self.plans[trial.plan], &mut self.progress[trial.plan]);
        progress.last = Some(answer);
        if answer == FinalAnswer::Served {
            self.tally.latencies.push(now - progress.first.unwrap_or(now));
        }
        // 502: whoever sees to the event can't be reached, and tells its repeats apart.
        let harmless = answer == FinalAnswer::Refused || response.status == 502;
        let repeat = harmless || answer == FinalAnswer::Failed && plan.retry_policy.retry_failures;
        let again = response.headers.get("retry-after").and_then(|told| told.parse::<Micros>().ok());
        let again = again.filter(|_| plan.retry_policy.honor_retry_after).map(|seconds| seconds * 1_000_000);
        let wait = again.unwrap_or(plan.retry_policy.delay);
        self.next_or_done(now, trial.plan, repeat, wait);
    }

    /// Repeats the event where its client does, else it has come to its end.
    fn next_or_done(&mut self, now: Micros, index: usize, repeat: bool, wait: Micros) {
        let (plan, progress) = (&self.plans[index], &mut self.progress[index]);
        let until = progress.first.unwrap_or(now) + plan.timeout;
        if repeat && progress.tries <= plan.retry_policy.max_retries && now + wait + LEAST_US < until {
            self.due.set(now + wait, Due::Try(index));
        } else if !std::mem::replace(&mut progress.done, true) {
            self.open -= 1;
        }
    }

    fn leave(&mut self, now: Micros, id: u64) {
        let Some(trial) = self.trials.remove(&id) else { return };
        self.io.abort(trial.conn);
        self.conns.remove(&trial.conn);
        self.recorder.put(now, "clients", Observation::ClientLeft { request_id: id });
        self.next_or_done(now, trial.plan, true, 0);
    }

    fn give_up(&mut self, now: Micros, id: u64) {
        if let Some(trial) = self.trials.remove(&id) {
            self.io.abort(trial.conn);
            self.conns.remove(&trial.conn);
            self.next_or_done(now, trial.plan, false, 0);
        }
    }

    /// A connection has ended, with or without a try on it.
    fn lost(&mut self, now: Micros, conn: ConnId) {
        let Some(known) = self.conns.remove(&conn) else { return };
        self.idle[known.gateway].retain(|c| *c != conn);
        let Some(id) = known.trial else { return };
        let Some(trial) = self.trials.remove(&id) else { return };
        if trial.asked {
            self.recorder.put(now, "clients", Observation::ConnectionLost { request_id: id });
        }
        // Not connected: never sent, so any class may try again.
        let repeat = !known.ready || self.plans[trial.plan].retry_policy.retry_failures;
        self.next_or_done(now, trial.plan, repeat, self.plans[trial.plan].retry_policy.delay.max(20_000));
    }
}
