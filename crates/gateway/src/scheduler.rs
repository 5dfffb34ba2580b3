//! One loop: clients, engine and workers joined. It carries bytes and messages between them.

mod calls;
mod records;

use crate::channels::{LoopChannels, Message};
use crate::front::{Front, NextRequest, loop_of_waiter};
use crate::links::{Job, JobEnd, Links, attempt_name};
use crate::replicated::SendDecision;
use crate::sites::Sites;
use crate::worker_wire::Reply;
use basaltward::{Code, Micros, WorkerId};
use basaltward_cloudevents::Event;
use basaltward_config::Config;
use basaltward_engine::{
    Answer, AnswerOrigin, AttemptEnd, Engine, EngineSettings, Failure, Handoffs, Input, Lag, LoopPacer,
    MarginSettings, Output, RepeatLimits, TurnReport, WaiterId,
};
use basaltward_net::{Clock, ConnId, Io, IoEvent, NetError, monotonic, thread_time};
use basaltward_roster::{Names, RosterFile, Source};
use basaltward_rules::{Recorder, What};
use std::collections::{BTreeMap, VecDeque};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use tracing::{info, warn};

/// What other threads want of a loop.
pub const RUN: u8 = 0;
/// Finish what is in hand, then leave.
pub const STOP: u8 = 1;
/// Leave at once, as a killed process would.
pub const KILL: u8 = 2;

/// What a loop is told from outside.
pub struct Controls {
    /// One of [`RUN`], [`STOP`] and [`KILL`].
    pub command: Arc<AtomicU8>,
    /// Do nothing for so many microseconds, once.
    pub stall_us: Arc<AtomicU64>,
}

/// One loop with all it owns.
pub struct Scheduler {
    name: String,
    prefix: String,
    address: std::net::SocketAddr,
    io: Io,
    engine: Engine<Event, Reply>,
    front: Front,
    links: Links,
    /// What the loops say to each other, and the calls of this one's clients that others own.
    channels: LoopChannels,
    handoffs: Handoffs,
    /// This loop's part in the sites, where there are some.
    sites: Option<Sites>,
    messages: Vec<Message>,
    pacer: LoopPacer,
    roster: RosterFile,
    clock: Clock,
    worker_states: BTreeMap<WorkerId, basaltward::WorkerState>,
    recorder: Recorder,
    controls: Controls,
    stopping: bool,
    outputs: Vec<Output<Event, Reply>>,
    /// Answers put out since the last write, kept only for records.
    unrecorded_answers: Vec<(String, u16)>,
}

fn engine_settings(config: &Config, thread: u32) -> EngineSettings {
    let (repeats, margin, loops) = (&config.repeats, &config.margin, config.threads as usize);
    EngineSettings {
        controller: config.module_of(thread),
        max_in_flight: config.front.calls,
        max_waiters: config.front.waiters,
        linger: repeats.linger,
        // Each loop owns its part of a tenant's events.
        repeats: RepeatLimits {
            retention: repeats.remember,
            max_answers: repeats.answers.div_ceil(loops),
            max_guards: repeats.guards.div_ceil(loops),
            max_bytes: repeats.bytes.div_ceil(loops),
        },
        margin: MarginSettings { share: margin.share, min: margin.least, max: margin.most },
    }
}

impl Scheduler {
    /// A loop that listens but does not run yet.
    pub fn new(
        config: &Config,
        thread: u32,
        (mut io, mail): (Io, LoopChannels),
        (listener, sites): (TcpListener, Option<Sites>),
        recorder: Recorder,
        orders: Controls,
    ) -> Result<Self, crate::GatewayError> {
        let settings = engine_settings(config, thread);
        let name = format!("{}/{thread}", config.name);
        let prefix = format!("{name}:{:x}", monotonic());
        let links =
            Links::new(prefix.clone(), config.links.clone(), settings.controller.report_names.clone());
        let (_, address) = io.listen(listener)?;
        let names = Names { kinds: config.kinds.clone(), zones: config.zones.clone() };
        let seed = u64::from(settings.controller.self_index);
        Ok(Self {
            name,
            prefix,
            address,
            io,
            engine: Engine::new(settings, seed)?,
            front: Front::new(config, mail.index()),
            links,
            channels: mail,
            handoffs: Handoffs::new(config.front.calls),
            sites,
            messages: Vec::new(),
            pacer: LoopPacer::default(),
            roster: RosterFile::new(config.roster.clone(), names, config.roster_check),
            clock: Clock::read(),
            worker_states: BTreeMap::new(),
            recorder,
            controls: orders,
            stopping: false,
            outputs: Vec::new(),
            unrecorded_answers: Vec::new(),
        })
    }

    /// Runs until it is told to leave.
    ///
    /// # Errors
    /// Where the system fails the loop itself.
    pub fn run(mut self) -> Result<(), NetError> {
        let address = self.address.to_string();
        self.recorder.put(monotonic(), &self.name, What::Up { address });
        let mut happened = Vec::new();
        loop {
            let now = monotonic();
            self.poll_roster(now);
            self.io.pause_accepting(
                !self.pacer.should_accept(self.front.oldest_input().map_or(0, |came| now - came)),
            );
            let wait = self.idle_time(now);
            self.io.turn(Some(wait), &mut happened)?;
            self.turn((now, now + wait), &mut happened);
            self.io.free_ended();
            let now = monotonic();
            let stall = self.controls.stall_us.swap(0, Ordering::Relaxed);
            if stall > 0 {
                std::thread::sleep(std::time::Duration::from_micros(stall));
            }
            match self.controls.command.load(Ordering::Relaxed) {
                KILL => {
                    self.recorder.put(monotonic(), &self.name, What::Down { killed: true });
                    return Ok(());
                }
                STOP if !self.stopping => self.stop(now),
                _ => {}
            }
            if self.stopping
                && self.engine.calls_in_flight() == 0
                && self.front.clients() == 0
                && self.handoffs.is_empty()
                && self.sites.as_ref().is_none_or(Sites::is_empty)
                && !self.channels.is_behind()
                && self.io.is_flushed()
                && self.channels.finish()
            {
                self.recorder.put(monotonic(), &self.name, What::Down { killed: false });
                info!(scheduler = self.name, "stopped");
                return Ok(());
            }
        }
    }

    /// How long there is nothing to do unless something happens.
    fn idle_time(&self, now: Micros) -> Micros {
        let handed = self.handoffs.next_due(self.engine.lateness(now));
        let sites = self.sites.as_ref().map(Sites::next_due);
        let due = [self.engine.next_due(now), self.front.next_due(), self.links.next_due(), handed, sites];
        let due = due.into_iter().flatten().chain([self.roster.next_due()]).min().unwrap_or(now);
        let at_once = self.front.oldest_input().is_some() || self.channels.is_behind();
        if at_once { 0 } else { due.saturating_sub(now) }
    }

    /// One turn: what has ended and what is due, then what is new as far as its time goes.
    fn turn(&mut self, (since, due): (Micros, Micros), happened: &mut Vec<IoEvent>) {
        let mut now = monotonic();
        let began = now;
        self.pacer.begin_turn(since, due, now);
        // What is written in between may bring further ends.
        let mut later = Vec::new();
        for happened in happened.drain(..) {
            if let IoEvent::Data(conn) | IoEvent::Drained(conn) = happened
                && !self.links.owns(conn)
                && !self.is_peer_connection(conn)
            {
                self.front.input_arrived(began, conn);
                continue;
            }
            self.handle_io(now, happened);
            now = monotonic();
            if self.pacer.should_check_timers(now) {
                self.wake(now);
            }
            // At once: a call that waits to be written may meet the end of the kept connection that was found
            // sound for it.
            self.flush(&mut later);
        }
        self.read_messages(now);
        self.read_control(now);
        self.wake(now);
        self.flush(&mut later);
        while let Some(came) = self.front.oldest_input() {
            let now = monotonic();
            if !self.pacer.may_begin(now, came) {
                break;
            }
            if let Some(conn) = self.front.pop_queued() {
                self.take_requests(now, conn);
                self.flush(&mut later);
            }
        }
        *happened = later;
        let now = monotonic();
        let TurnReport { began, stalled, lag } = self.pacer.end_turn(now, thread_time());
        self.engine.record_lateness(now, began);
        if let Some(us) = stalled {
            self.recorder.put(now, &self.name, What::Stalled { us });
        }
        if let Some(Lag { longest_turn: turn, longest_wait: waited, stalled }) = lag {
            warn!(scheduler = self.name, turn_us = turn, waited_us = waited, stalled_us = stalled, "late");
            self.recorder.put(now, &self.name, What::Lagged { turn, waited, stalled });
        }
    }

    /// Writes what there is to write. An answer counts as given once its bytes are with the system.
    fn flush(&mut self, happened: &mut Vec<IoEvent>) {
        self.io.flush(happened);
        self.channels.flush();
        if !self.unrecorded_answers.is_empty() {
            let now = monotonic();
            for (event, status) in self.unrecorded_answers.drain(..) {
                self.recorder.put(now, &self.name, What::Gave { event, status });
            }
        }
    }

    fn stop(&mut self, now: Micros) {
        info!(scheduler = self.name, in_hand = self.engine.calls_in_flight(), "stopping");
        self.stopping = true;
        self.recorder.put(now, &self.name, What::Stopping);
        self.io.stop_all_listening();
        self.front.stop(&mut self.io);
        self.engine_input(now, Input::Stop);
    }

    fn handle_io(&mut self, now: Micros, happened: IoEvent) {
        match happened {
            IoEvent::Accepted { conn, .. } => self.front.client_connected(now, conn),
            IoEvent::Connected(conn) if self.is_peer_connection(conn) => {
                let done = self.sites.as_mut().and_then(|sites| sites.connected(&mut self.io, now, conn));
                self.remote_job_ended(now, done);
            }
            IoEvent::Data(conn) if self.is_peer_connection(conn) => {
                let done = self.sites.as_mut().and_then(|sites| sites.data(&mut self.io, now, conn));
                self.remote_job_ended(now, done);
            }
            IoEvent::Ended(conn, how) if self.is_peer_connection(conn) => {
                let done = self.sites.as_mut().and_then(|sites| sites.ended(&mut self.io, now, conn, how));
                self.remote_job_ended(now, done);
            }
            IoEvent::Connected(conn) => {
                let done = self.links.connected(&mut self.io, now, conn);
                self.record_sent(now);
                self.job_ended(now, done);
            }
            IoEvent::Data(conn) if self.links.owns(conn) => {
                let done = self.links.data(&mut self.io, now, conn);
                self.job_ended(now, done);
            }
            IoEvent::Data(conn) | IoEvent::Drained(conn) => self.front.input_arrived(now, conn),
            IoEvent::Ended(conn, how) if self.links.owns(conn) => {
                let done = self.links.ended(&mut self.io, now, conn, how);
                self.job_ended(now, done);
            }
            IoEvent::Ended(conn, _) => {
                for waiter in self.front.client_disconnected(conn) {
                    if self.sites.as_mut().is_some_and(|sites| sites.client_left(&mut self.io, now, waiter)) {
                        continue;
                    }
                    match self.handoffs.client_left(waiter) {
                        Some(owner) => drop(self.channels.send(owner, Message::ClientLeft(waiter))),
                        None => self.client_left(now, waiter),
                    }
                }
            }
            IoEvent::Signal(_) | IoEvent::Woken | IoEvent::Datagrams(_) => {}
        }
    }

    /// Does all that is due. A link's own time-out goes before the call's: it tells the module more.
    fn wake(&mut self, mut now: Micros) {
        loop {
            let mut done = Vec::new();
            self.links.wake(&mut self.io, now, &mut done);
            for done in done {
                self.job_ended(now, Some(done));
            }
            self.sites.iter_mut().for_each(|sites| sites.lateness = self.engine.lateness(now));
            let then = self.sites.as_mut().map(|sites| sites.wake_replicated(now)).unwrap_or_default();
            self.perform_actions(now, then);
            let back = self.sites.as_mut().map(|sites| sites.wake(&mut self.io, now));
            back.into_iter().flatten().for_each(|done| self.remote_job_ended(now, Some(done)));
            self.front.wake(&mut self.io, now);
            while let Some((waiter, answer, owner)) = self.handoffs.expire(now, self.engine.lateness(now)) {
                self.channels.send(owner, Message::ClientLeft(waiter));
                self.answer_client(now, (waiter, answer), (0, None, AnswerOrigin::Direct));
            }
            let mut outputs = std::mem::take(&mut self.outputs);
            self.engine.wake(now, &mut outputs);
            self.carry_out(now, outputs);
            now = monotonic();
            if self.engine.next_due(now).is_none_or(|due| due > now) {
                return;
            }
        }
    }

    /// Takes requests from a connection as long as there are whole ones and it is free.
    fn take_requests(&mut self, now: Micros, conn: ConnId) {
        while let Some(asked) = self.front.next_request(&mut self.io, now, conn) {
            let NextRequest::Calls(calls) = asked else { continue };
            for call in calls {
                self.new_call(now, call);
            }
        }
    }

    fn engine_input(&mut self, now: Micros, input: Input<Event, Reply>) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.engine.handle(now, input, &mut outputs);
        self.carry_out(now, outputs);
    }

    fn job_ended(&mut self, now: Micros, done: Option<JobEnd>) {
        if let Some(input) = done.and_then(|done| self.engine_input_of(now, done)) {
            self.engine_input(now, input);
        }
    }

    /// How a job ended, as the engine is told it.
    fn engine_input_of(&mut self, now: Micros, done: JobEnd) -> Option<Input<Event, Reply>> {
        Some(match done {
            JobEnd::Ignored => return None,
            JobEnd::Attempt(id, end) => {
                if let Some(sites) = &mut self.sites {
                    sites.attempt_ended(now, id, &end);
                    sites.replicated.iter_mut().for_each(|kept| kept.attempt_ended(id, &end));
                }
                if self.recorder.is_on() {
                    let (attempt, code) = (attempt_name(&self.prefix, id), format!("{:?}", end.code));
                    self.recorder.put(now, &self.name, What::Ended { attempt, code });
                }
                Input::AttemptEnded(id, end)
            }
            JobEnd::Order(id, code, count) => Input::OrderAnswered(id, code, count),
            JobEnd::Probe(id, code, report) => Input::ProbeAnswered(id, code, report),
            // Links to workers carry none.
            JobEnd::HandedOver(..) => return None,
        })
    }

    /// Carries out what the engine wants, and what follows from that, until there is no more.
    fn carry_out(&mut self, now: Micros, mut outputs: Vec<Output<Event, Reply>>) {
        let mut queue: VecDeque<_> = outputs.drain(..).collect();
        self.outputs = outputs;
        while let Some(output) = queue.pop_front() {
            let done = self.perform(now, output);
            // Before the engine is told anything else: what was written may run.
            self.record_sent(now);
            if let Some(input) = done.and_then(|done| self.engine_input_of(now, done)) {
                let mut more = std::mem::take(&mut self.outputs);
                self.engine.handle(now, input, &mut more);
                queue.extend(more.drain(..));
                self.outputs = more;
            }
        }
    }

    fn perform(&mut self, now: Micros, output: Output<Event, Reply>) -> Option<JobEnd> {
        let Self { io, links, front, .. } = self;
        match output {
            Output::Answer { waiter, answer, attempts, worker, origin: path } => {
                let kept = self.sites.as_mut().and_then(|sites| sites.replicated.as_mut());
                let answer = match kept {
                    Some(kept) => kept.answered(waiter, answer),
                    None => answer,
                };
                self.route_answer(now, waiter, answer, (attempts, worker, path));
                None
            }
            Output::Start { attempt, worker, identity, function, payload, until } => {
                let repeat = front.repeat_of(&function);
                self.sites.iter_mut().for_each(|sites| sites.attempt_started(now, attempt, &function.name));
                let kept = self.sites.as_mut().and_then(|sites| sites.replicated.as_mut());
                let start = kept.map_or(SendDecision::Now, |kept| {
                    kept.decide_send((wall_ms(), until), attempt, &identity, worker.as_str())
                });
                let lease = Micros::MAX;
                let job =
                    Job::Attempt { id: attempt, event: payload, function, repeat, until, identity, lease };
                match (start, &mut self.sites) {
                    (SendDecision::Wait, Some(sites)) => {
                        sites.park(attempt, worker, job);
                        None
                    }
                    (SendDecision::Never, _) => {
                        Some(JobEnd::Attempt(attempt, AttemptEnd::from_code(Code::Moot)))
                    }
                    _ => links.start(io, now, &worker, job),
                }
            }
            Output::Abort(attempt) => {
                let sites = self.sites.as_mut();
                let parked = sites.is_some_and(|sites| {
                    sites.unpark(attempt).is_some()
                        && sites.replicated.as_mut().is_some_and(|k| k.abort(attempt))
                });
                match parked {
                    true => Some(JobEnd::Attempt(attempt, AttemptEnd::from_code(Code::Moot))),
                    false => links.abort_attempt(io, attempt),
                }
            }
            Output::Order { order, worker, function, count } => {
                let function = front.function(function.as_str())?.clone();
                links.start(io, now, &worker, Job::Order { id: order, function, count })
            }
            Output::Probe(order, worker) => links.start(io, now, &worker, Job::Probe(order)),
            Output::AbortOrder(order) => {
                links.abort_order(io, order);
                None
            }
            Output::Release(worker, function) => {
                links.start(io, now, &worker, Job::Release(function.to_string()));
                None
            }
            // The file tells every change by itself.
            Output::RequestWorkerList => None,
        }
    }

    /// Gives a client of this loop, or of another one, its final answer.
    fn route_answer(
        &mut self,
        now: Micros,
        waiter: WaiterId,
        answer: Answer<Reply>,
        (attempts, worker, path): (u32, Option<WorkerId>, AnswerOrigin),
    ) {
        match loop_of_waiter(waiter) {
            here if here == self.channels.index() => {
                self.answer_client(now, (waiter, answer), (attempts, worker, path))
            }
            there => {
                self.channels.send(there, Message::Answer { waiter, answer, attempts, worker, origin: path });
            }
        }
    }

    /// Gives a client of this loop its final answer.
    fn answer_client(
        &mut self,
        now: Micros,
        (waiter, answer): (WaiterId, Answer<Reply>),
        (attempts, worker, path): (u32, Option<WorkerId>, AnswerOrigin),
    ) {
        let outcome = match &answer {
            Answer::Served(_) => "served",
            Answer::Refused(..) => "refused",
            Answer::Failed(_) => "failed",
        };
        let answer = match &mut self.sites {
            Some(sites) => sites.answer_ready(now, waiter, answer),
            None => answer,
        };
        let unowned = matches!(answer, Answer::Failed(Failure::OwnerUnreachable));
        let Some((waiting, status, free)) = self.front.answer(&mut self.io, now, waiter, answer) else {
            return;
        };
        if unowned && self.recorder.is_on() {
            self.recorder.put(now, &self.name, What::Unowned { event: event_name(&waiting.event) });
        }
        if let Some(conn) = free
            && self.io.input(conn).is_some_and(|input| !input.is_empty())
        {
            self.front.input_arrived(now, conn);
        }
        if self.recorder.is_on() {
            self.unrecorded_answers.push((event_name(&waiting.event), status));
        }
        let how = match path {
            AnswerOrigin::First => "first",
            AnswerOrigin::Joined => "joined",
            AnswerOrigin::Direct => "direct",
        };
        info!(
        target: "basaltward::call",
        scheduler = self.name,
        id = waiting.event.id,
        source = waiting.event.source,
        function = %waiting.function.name,
        outcome,
        status,
        attempts,
        worker = worker.as_ref().map(WorkerId::as_str),
        how,
        took_us = now.saturating_sub(waiting.began),
        "call"
        );
    }
}

/// The wall clock, in milliseconds since 1970.
fn wall_ms() -> u64 {
    Clock::read().wall() / 1_000
}

/// An event's name in records.
fn event_name(event: &Event) -> String {
    format!("{}#{}", event.source, event.id)
}
