//! One scheduler loop, which connects clients, the scheduling engine and workers. It carries bytes and messages between
//! them and makes no scheduling decisions.

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
use basaltward_rules::{Observation, Recorder};
use std::collections::{BTreeMap, VecDeque};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use tracing::{info, warn};

/// Command to a loop: keep running.
pub const RUN: u8 = 0;
/// Command to a loop: finish the calls in flight, then end.
pub const STOP: u8 = 1;
/// Command to a loop: end at once, as a killed process would.
pub const KILL: u8 = 2;

/// Controls of a loop for other threads.
pub struct Controls {
    /// One of [`RUN`], [`STOP`] and [`KILL`].
    pub command: Arc<AtomicU8>,
    /// Suspend the loop once for this many microseconds; reset to 0 when the suspension begins.
    pub stall_us: Arc<AtomicU64>,
}

/// One scheduler loop and its state.
pub struct Scheduler {
    name: String,
    /// Prefix of attempt names, unique to this start of the loop.
    prefix: String,
    address: std::net::SocketAddr,
    io: Io,
    engine: Engine<Event, Reply>,
    front: Front,
    links: Links,
    channels: LoopChannels,
    /// Calls of this loop's clients whose events another loop owns.
    handoffs: Handoffs,
    /// State of calls at this and other sites, if the settings name sites.
    sites: Option<Sites>,
    /// Buffer for messages of other loops, kept to reuse its memory.
    messages: Vec<Message>,
    pacer: LoopPacer,
    roster: RosterFile,
    clock: Clock,
    worker_states: BTreeMap<WorkerId, basaltward::WorkerState>,
    recorder: Recorder,
    controls: Controls,
    stopping: bool,
    /// Buffer for outputs of the engine, kept to reuse its memory.
    outputs: Vec<Output<Event, Reply>>,
    /// Answers written since the last flush, as event name and HTTP status; filled only while recording is on.
    unrecorded_answers: Vec<(String, u16)>,
}

fn engine_settings(config: &Config, thread: u32) -> EngineSettings {
    let (repeats, margin, loops) = (&config.repeats, &config.margin, config.threads as usize);
    EngineSettings {
        controller: config.controller_settings(thread),
        max_in_flight: config.client_limits.calls,
        max_waiters: config.client_limits.waiters,
        linger: repeats.linger,
        // Each loop owns a share of a tenant's events, so the limits are divided by the number of loops.
        repeats: RepeatLimits {
            retention: repeats.retention,
            max_answers: repeats.answers_per_tenant.div_ceil(loops),
            max_guards: repeats.guards_per_tenant.div_ceil(loops),
            max_bytes: repeats.bytes_per_tenant.div_ceil(loops),
        },
        margin: MarginSettings { share: margin.share, min: margin.min, max: margin.max },
    }
}

impl Scheduler {
    /// Creates a loop that listens but does not run yet.
    pub fn new(
        config: &Config,
        thread: u32,
        (mut io, channels): (Io, LoopChannels),
        (listener, sites): (TcpListener, Option<Sites>),
        recorder: Recorder,
        controls: Controls,
    ) -> Result<Self, crate::GatewayError> {
        let settings = engine_settings(config, thread);
        let name = format!("{}/{thread}", config.name);
        let prefix = format!("{name}:{:x}", monotonic());
        let links =
            Links::new(prefix.clone(), config.links.clone(), settings.controller.report_names.clone());
        let (_, address) = io.listen(listener)?;
        let names = Names { kinds: config.worker_kinds.clone(), zones: config.zones.clone() };
        let seed = u64::from(settings.controller.self_index);
        Ok(Self {
            name,
            prefix,
            address,
            io,
            engine: Engine::new(settings, seed)?,
            front: Front::new(config, channels.index()),
            links,
            channels,
            handoffs: Handoffs::new(config.client_limits.calls),
            sites,
            messages: Vec::new(),
            pacer: LoopPacer::default(),
            roster: RosterFile::new(config.roster_file.clone(), names, config.roster_check_interval),
            clock: Clock::read(),
            worker_states: BTreeMap::new(),
            recorder,
            controls,
            stopping: false,
            outputs: Vec::new(),
            unrecorded_answers: Vec::new(),
        })
    }

    /// Runs until a command ends the loop.
    ///
    /// # Errors
    /// If polling for I/O fails.
    pub fn run(mut self) -> Result<(), NetError> {
        let address = self.address.to_string();
        self.recorder.put(monotonic(), &self.name, Observation::Up { address });
        let mut io_events = Vec::new();
        loop {
            let now = monotonic();
            self.poll_roster(now);
            self.io.pause_accepting(
                !self.pacer.should_accept(self.front.oldest_input().map_or(0, |arrived| now - arrived)),
            );
            let wait = self.idle_time(now);
            self.io.turn(Some(wait), &mut io_events)?;
            self.turn((now, now + wait), &mut io_events);
            self.io.free_ended();
            let now = monotonic();
            let stall = self.controls.stall_us.swap(0, Ordering::Relaxed);
            if stall > 0 {
                std::thread::sleep(std::time::Duration::from_micros(stall));
            }
            match self.controls.command.load(Ordering::Relaxed) {
                KILL => {
                    self.recorder.put(monotonic(), &self.name, Observation::Down { killed: true });
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
                && self.channels.mark_finished()
            {
                self.recorder.put(monotonic(), &self.name, Observation::Down { killed: false });
                info!(scheduler = self.name, "stopped");
                return Ok(());
            }
        }
    }

    /// Time to wait for I/O: until the next timer is due, or 0 if there is work already.
    fn idle_time(&self, now: Micros) -> Micros {
        let handoffs = self.handoffs.next_due(self.engine.lateness(now));
        let sites = self.sites.as_ref().map(Sites::next_due);
        let due = [self.engine.next_due(now), self.front.next_due(), self.links.next_due(), handoffs, sites];
        let due = due.into_iter().flatten().chain([self.roster.next_due()]).min().unwrap_or(now);
        let has_work = self.front.oldest_input().is_some() || self.channels.is_behind();
        if has_work { 0 } else { due.saturating_sub(now) }
    }

    /// One turn of the loop: first handles ended jobs and due timers, then starts new requests as long as the turn's
    /// time allows. `since` and `due` are the start and the planned end of the wait before it.
    fn turn(&mut self, (since, due): (Micros, Micros), io_events: &mut Vec<IoEvent>) {
        let mut now = monotonic();
        let began = now;
        self.pacer.begin_turn(since, due, now);
        // Flushing in between may produce further I/O events, which are handled in the next turn.
        let mut later = Vec::new();
        for event in io_events.drain(..) {
            if let IoEvent::Data(conn) | IoEvent::Drained(conn) = event
                && !self.links.owns(conn)
                && !self.is_peer_connection(conn)
            {
                self.front.input_arrived(began, conn);
                continue;
            }
            self.handle_io(now, event);
            now = monotonic();
            if self.pacer.should_check_timers(now) {
                self.wake(now);
            }
            // Flushes at once: a call whose write is delayed could meet the close of the keep-alive connection that was
            // checked for it.
            self.flush(&mut later);
        }
        self.read_messages(now);
        self.read_control(now);
        self.wake(now);
        self.flush(&mut later);
        while let Some(arrived) = self.front.oldest_input() {
            let now = monotonic();
            if !self.pacer.may_begin(now, arrived) {
                break;
            }
            if let Some(conn) = self.front.pop_queued() {
                self.take_requests(now, conn);
                self.flush(&mut later);
            }
        }
        *io_events = later;
        let now = monotonic();
        let TurnReport { began, stalled, lag } = self.pacer.end_turn(now, thread_time());
        self.engine.record_lateness(now, began);
        if let Some(us) = stalled {
            self.recorder.put(now, &self.name, Observation::Stalled { us });
        }
        if let Some(Lag { longest_turn, longest_wait, stalled }) = lag {
            warn!(
                scheduler = self.name,
                turn_us = longest_turn,
                waited_us = longest_wait,
                stalled_us = stalled,
                "late"
            );
            self.recorder.put(now, &self.name, Observation::Lagged { longest_turn, longest_wait, stalled });
        }
    }

    /// Flushes output buffers and messages. An answer is recorded once its bytes have been handed to the operating
    /// system.
    fn flush(&mut self, io_events: &mut Vec<IoEvent>) {
        self.io.flush(io_events);
        self.channels.flush();
        if !self.unrecorded_answers.is_empty() {
            let now = monotonic();
            for (event, status) in self.unrecorded_answers.drain(..) {
                self.recorder.put(now, &self.name, Observation::AnswerSent { event, status });
            }
        }
    }

    /// Begins a graceful stop.
    fn stop(&mut self, now: Micros) {
        info!(scheduler = self.name, in_hand = self.engine.calls_in_flight(), "stopping");
        self.stopping = true;
        self.recorder.put(now, &self.name, Observation::Stopping);
        self.io.stop_all_listening();
        self.front.stop(&mut self.io);
        self.engine_input(now, Input::Stop);
    }

    /// Handles an I/O event.
    fn handle_io(&mut self, now: Micros, event: IoEvent) {
        match event {
            IoEvent::Accepted { conn, .. } => self.front.client_connected(now, conn),
            IoEvent::Connected(conn) if self.is_peer_connection(conn) => {
                let end = self.sites.as_mut().and_then(|sites| sites.connected(&mut self.io, now, conn));
                self.remote_job_ended(now, end);
            }
            IoEvent::Data(conn) if self.is_peer_connection(conn) => {
                let end = self.sites.as_mut().and_then(|sites| sites.data(&mut self.io, now, conn));
                self.remote_job_ended(now, end);
            }
            IoEvent::Ended(conn, reason) if self.is_peer_connection(conn) => {
                let end = self.sites.as_mut().and_then(|sites| sites.ended(&mut self.io, now, conn, reason));
                self.remote_job_ended(now, end);
            }
            IoEvent::Connected(conn) => {
                let end = self.links.connected(&mut self.io, now, conn);
                self.record_sent(now);
                self.job_ended(now, end);
            }
            IoEvent::Data(conn) if self.links.owns(conn) => {
                let end = self.links.data(&mut self.io, now, conn);
                self.job_ended(now, end);
            }
            IoEvent::Data(conn) | IoEvent::Drained(conn) => self.front.input_arrived(now, conn),
            IoEvent::Ended(conn, reason) if self.links.owns(conn) => {
                let end = self.links.ended(&mut self.io, now, conn, reason);
                self.job_ended(now, end);
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

    /// Runs all due timers. The timeout of a connection comes before that of its call, because it gives the scheduling
    /// module more information.
    fn wake(&mut self, mut now: Micros) {
        loop {
            let mut ends = Vec::new();
            self.links.wake(&mut self.io, now, &mut ends);
            for end in ends {
                self.job_ended(now, Some(end));
            }
            self.sites.iter_mut().for_each(|sites| sites.lateness = self.engine.lateness(now));
            let actions = self.sites.as_mut().map(|sites| sites.wake_replicated(now)).unwrap_or_default();
            self.perform_actions(now, actions);
            let ends = self.sites.as_mut().map(|sites| sites.wake(&mut self.io, now));
            ends.into_iter().flatten().for_each(|end| self.remote_job_ended(now, Some(end)));
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

    /// Starts the requests of a connection as long as complete ones have arrived and none is in progress.
    fn take_requests(&mut self, now: Micros, conn: ConnId) {
        while let Some(request) = self.front.next_request(&mut self.io, now, conn) {
            let NextRequest::Calls(calls) = request else { continue };
            for call in calls {
                self.new_call(now, call);
            }
        }
    }

    /// Passes an input to the engine and carries out its outputs.
    fn engine_input(&mut self, now: Micros, input: Input<Event, Reply>) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.engine.handle(now, input, &mut outputs);
        self.carry_out(now, outputs);
    }

    /// Passes the end of a job at a worker to the engine.
    fn job_ended(&mut self, now: Micros, end: Option<JobEnd>) {
        if let Some(input) = end.and_then(|end| self.engine_input_of(now, end)) {
            self.engine_input(now, input);
        }
    }

    /// The end of a job as an input of the engine, `None` if the engine does not need it. Records ends of attempts.
    fn engine_input_of(&mut self, now: Micros, end: JobEnd) -> Option<Input<Event, Reply>> {
        Some(match end {
            JobEnd::Ignored => return None,
            JobEnd::Attempt(id, end) => {
                if let Some(sites) = &mut self.sites {
                    sites.attempt_ended(now, id, &end);
                    sites.replicated.iter_mut().for_each(|events| events.attempt_ended(id, &end));
                }
                if self.recorder.is_enabled() {
                    let (attempt, code) = (attempt_name(&self.prefix, id), format!("{:?}", end.code));
                    self.recorder.put(now, &self.name, Observation::Ended { attempt, code });
                }
                Input::AttemptEnded(id, end)
            }
            JobEnd::Order(id, code, count) => Input::OrderAnswered(id, code, count),
            JobEnd::Probe(id, code, report) => Input::ProbeAnswered(id, code, report),
            // Connections to workers carry no calls handed over to other sites.
            JobEnd::HandedOver(..) => return None,
        })
    }

    /// Carries out the engine's outputs, and those that follow from them, until there are none.
    fn carry_out(&mut self, now: Micros, mut outputs: Vec<Output<Event, Reply>>) {
        let mut queue: VecDeque<_> = outputs.drain(..).collect();
        self.outputs = outputs;
        while let Some(output) = queue.pop_front() {
            let end = self.perform(now, output);
            // Must precede any further input of the engine: an attempt that was written may run.
            self.record_sent(now);
            if let Some(input) = end.and_then(|end| self.engine_input_of(now, end)) {
                let mut more = std::mem::take(&mut self.outputs);
                self.engine.handle(now, input, &mut more);
                queue.extend(more.drain(..));
                self.outputs = more;
            }
        }
    }

    /// Carries out one output of the engine. Returns the end of a job that ended at once.
    fn perform(&mut self, now: Micros, output: Output<Event, Reply>) -> Option<JobEnd> {
        let Self { io, links, front, .. } = self;
        match output {
            Output::Answer { waiter, answer, attempts, worker, origin } => {
                let replicated = self.sites.as_mut().and_then(|sites| sites.replicated.as_mut());
                let answer = match replicated {
                    Some(replicated) => replicated.answered(waiter, answer),
                    None => answer,
                };
                self.route_answer(now, waiter, answer, (attempts, worker, origin));
                None
            }
            Output::Start { attempt, worker, identity, function, payload, until } => {
                let repeat = front.repeat_of(&function);
                self.sites.iter_mut().for_each(|sites| sites.attempt_started(now, attempt, &function.name));
                let replicated = self.sites.as_mut().and_then(|sites| sites.replicated.as_mut());
                let decision = replicated.map_or(SendDecision::Now, |replicated| {
                    replicated.decide_send((wall_ms(), until), attempt, &identity, worker.as_str())
                });
                let lease = Micros::MAX;
                let job =
                    Job::Attempt { id: attempt, event: payload, function, repeat, until, identity, lease };
                match (decision, &mut self.sites) {
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
                        && sites.replicated.as_mut().is_some_and(|events| events.abort(attempt))
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
            // The roster file is polled, which detects every change.
            Output::RequestWorkerList => None,
        }
    }

    /// Routes the final answer to a client of this loop or of another one.
    fn route_answer(
        &mut self,
        now: Micros,
        waiter: WaiterId,
        answer: Answer<Reply>,
        (attempts, worker, origin): (u32, Option<WorkerId>, AnswerOrigin),
    ) {
        match loop_of_waiter(waiter) {
            index if index == self.channels.index() => {
                self.answer_client(now, (waiter, answer), (attempts, worker, origin))
            }
            index => {
                self.channels.send(index, Message::Answer { waiter, answer, attempts, worker, origin });
            }
        }
    }

    /// Answers a client of this loop.
    fn answer_client(
        &mut self,
        now: Micros,
        (waiter, answer): (WaiterId, Answer<Reply>),
        (attempts, worker, origin): (u32, Option<WorkerId>, AnswerOrigin),
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
        let owner_unreachable = matches!(answer, Answer::Failed(Failure::OwnerUnreachable));
        let Some((waiter, status, free_conn)) = self.front.answer(&mut self.io, now, waiter, answer) else {
            return;
        };
        if owner_unreachable && self.recorder.is_enabled() {
            self.recorder.put(
                now,
                &self.name,
                Observation::OwnerUnreachable { event: event_name(&waiter.event) },
            );
        }
        if let Some(conn) = free_conn
            && self.io.input(conn).is_some_and(|input| !input.is_empty())
        {
            self.front.input_arrived(now, conn);
        }
        if self.recorder.is_enabled() {
            self.unrecorded_answers.push((event_name(&waiter.event), status));
        }
        let how = match origin {
            AnswerOrigin::First => "first",
            AnswerOrigin::Joined => "joined",
            AnswerOrigin::Direct => "direct",
        };
        info!(
        target: "basaltward::call",
        scheduler = self.name,
        id = waiter.event.id,
        source = waiter.event.source,
        function = %waiter.function.name,
        outcome,
        status,
        attempts,
        worker = worker.as_ref().map(WorkerId::as_str),
        how,
        took_us = now.saturating_sub(waiter.began),
        "call"
        );
    }
}

/// The wall clock, in milliseconds since 1970.
fn wall_ms() -> u64 {
    Clock::read().wall() / 1_000
}

/// The name of an event in records.
fn event_name(event: &Event) -> String {
    format!("{}#{}", event.source, event.id)
}
