//! The event loop: carries bytes and messages between clients, engine, workers and bulletin.

use crate::Budget;
use crate::config::{ConfigError, NodeConfig, load_with_view};
use crate::discovery_log::DiscoveryLog;
use crate::front::{Front, Step};
use crate::gossip::Gossip;
use crate::links::{Job, JobEnd, Links, WrittenJob};
use crate::members::MemberMapper;
use crate::payload::{CallPayload, ReplyBody};
use crate::peers::Fleet;
use crate::recorder::TraceRecorder;
use basaltward::{Code, ListFreshness, Micros, SettingsError, WorkerId, WorkerState};
use basaltward_bulletin::{
    FeedId, Follower, FollowerLimits, Freshness, LINE_OVERDUE_US, Roster, Step as Feed,
};
use basaltward_engine::{
    Answer, Engine, EngineSettings, Input, LoopPacer, MarginSettings, Output, RepeatLimits, TurnReport,
};
use basaltward_net::{
    ConnId, Errno, Io, IoEvent, IoLimits, NetError, Signals, SystemCall, Waker, bind, monotonic, thread_time,
};
use basaltward_peers::{Event, PeerError, PeerTransport};
use basaltward_rules::Recorder;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU8, Ordering};
use thiserror::Error;
use tracing::{info, warn};

/// Latest time after SIGTERM from which requests are rejected and connections are closed as soon as they have
/// nothing open.
const LATEST_REJECT_US: Micros = 900_000;
/// Earliest time for that: clients may send requests for up to 0.6 s, and the platform allows another 50 ms.
const EARLIEST_REJECT_US: Micros = 650_000;
/// Time reserved before SIGKILL for closing connections and for requests that cross the close.
const CLOSE_CONNECTIONS_US: Micros = 200_000;
/// Requests that arrive later than this after SIGTERM may be lost if they are open at SIGKILL.
const EXCUSED_AFTER_TERM_US: Micros = 700_000;
/// SIGKILL may come after the longest deadline of a class, but at most this, plus [`EXCUSED_AFTER_TERM_US`] after
/// SIGTERM.
const MAX_KILL_DELAY_US: Micros = 3_000_000;
/// Allowance for the offset between this clock and the platform's at SIGTERM, and for an answer to reach its
/// client.
const CLOCK_SKEW_US: Micros = 100_000;
/// Slack that the platform grants on each time limit: the time that a written request takes to its worker.
const SEND_SLACK_US: Micros = 50_000;
/// Time for clients to read the last answers, and for clients still waiting to be accepted.
const LAST_ANSWERS_US: Micros = 1_500_000;
/// Interval at which an unusable configuration is read again after SIGHUP.
const RELOAD_RETRY_US: Micros = 100_000;
/// Number of those retries per SIGHUP.
const MAX_RELOAD_RETRIES: u32 = 50;

/// Why a scheduler can't start or had to end.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operating system refused a request.
    #[error(transparent)]
    Net(#[from] NetError),
    /// Communication with its peers can't be set up.
    #[error(transparent)]
    Peers(#[from] PeerError),
    /// The module rejects the settings.
    #[error("configuration, at settings: {0}")]
    Settings(#[from] SettingsError),
}

/// A live scheduler.
pub struct Node {
    name: String,
    /// The configuration file.
    path: PathBuf,
    /// The configuration read at the start, without its list of workers.
    config: NodeConfig,
    address: SocketAddr,
    /// When the process began to read its first configuration.
    started_at: Micros,
    io: Io,
    engine: Engine<CallPayload, ReplyBody>,
    front: Front,
    links: Links,
    follower: Follower,
    /// Connections to bulletins.
    feeds: HashMap<ConnId, FeedId>,
    members: MemberMapper,
    /// The fleet's view, if the configuration enables it.
    fleet: Option<Fleet>,
    /// Gossip with peers about copies, if the settings allow it.
    gossip: Option<Gossip>,
    pace: LoopPacer,
    /// When SIGTERM arrived.
    term_at: Option<Micros>,
    /// Time after SIGTERM from which requests are rejected.
    rejects_after: Micros,
    /// Time after SIGTERM by which the last answer has to be written: SIGKILL may follow soon after.
    answer_by: Micros,
    /// When the last answer was written to a connection's output.
    last_answer: Micros,
    is_rejecting: bool,
    /// Whether a client was accepted in this turn.
    has_accepted: bool,
    /// When the configuration is read again, and how many retries remain.
    reload: Option<(Micros, u32)>,
    outputs: Vec<Output<CallPayload, ReplyBody>>,
    /// Events caused by a flush within a turn; handled in the next turn.
    deferred_events: Vec<IoEvent>,
    /// Ends of jobs that were withdrawn within a turn.
    withdrawn: Vec<JobEnd>,
    /// Freshness of the list of workers, as last passed to the module.
    list_freshness: Option<ListFreshness>,
    discovery_log: DiscoveryLog,
    recorder: TraceRecorder,
    commands: Arc<AtomicU8>,
}

const STOP: u8 = 1;
const RELOAD: u8 = 2;

/// Controls a scheduler from another thread, as signals control a process.
#[derive(Clone)]
pub struct Control {
    commands: Arc<AtomicU8>,
    waker: Waker,
}

impl Control {
    fn command(&self, command: u8) {
        self.commands.fetch_or(command, Ordering::AcqRel);
        self.waker.wake();
    }

    /// Has the effect of SIGTERM.
    pub fn stop(&self) {
        self.command(STOP);
    }

    /// Has the effect of SIGHUP.
    pub fn reload(&self) {
        self.command(RELOAD);
    }
}

fn engine_settings(config: &NodeConfig) -> EngineSettings {
    let mut module = config.settings.module.clone();
    module.rules.send_delay = config.settings.links.connect_timeout + SEND_SLACK_US;
    EngineSettings {
        controller: module,
        max_in_flight: config.budget.calls,
        max_waiters: 1,
        // Here a client's retry has a new id, so nothing is retained for repeats.
        linger: 0,
        repeats: RepeatLimits { retention: 0, max_answers: 0, max_guards: usize::MAX, max_bytes: 0 },
        margin: MarginSettings::default(),
    }
}

impl Node {
    /// Creates a scheduler from the configuration in this file, with the list of workers that the file holds. It
    /// listens at `listen` if given, else at the configured address.
    ///
    /// # Errors
    /// If the configuration can't be used or the operating system refuses a request.
    pub fn new(path: PathBuf, listen: Option<SocketAddr>, recorder: Recorder) -> Result<Self, NodeError> {
        Self::new_with_view(path, listen, recorder, false)
    }

    /// As [`Node::new`]; `view` enables the fleet's view if the configuration does not mention the fleet.
    ///
    /// # Errors
    /// As [`Node::new`].
    pub fn new_with_view(
        path: PathBuf,
        listen: Option<SocketAddr>,
        recorder: Recorder,
        view: bool,
    ) -> Result<Self, NodeError> {
        Self::new_with_wall_step(path, listen, recorder, view, Arc::default())
    }

    /// As [`Node::new_with_view`], with a wall clock that is stepped by the given number of microseconds, which may
    /// change at any time.
    #[doc(hidden)]
    pub fn new_with_wall_step(
        path: PathBuf,
        listen: Option<SocketAddr>,
        recorder: Recorder,
        view: bool,
        wall_step: Arc<AtomicI64>,
    ) -> Result<Self, NodeError> {
        let started_at = monotonic();
        let mut config = load_with_view(&path, view)?;
        let Budget { clients: connections, input, .. } = config.budget;
        let limits = IoLimits { connections, input, linger: 300_000, end_on_peer_close: true };
        let mut io = Io::new(limits)?;
        let fleet = Fleet::open(&config, &mut io, monotonic())?;
        let gossip = Gossip::open(&config, &mut io, monotonic())?;
        let known = std::mem::take(&mut config.known);
        let follower_limits = FollowerLimits::with_connect_timeout(config.settings.links.connect_timeout);
        let max_deadline = config.settings.module.classes.iter().map(|class| class.deadline).max();
        let kill_after = max_deadline.unwrap_or(0).min(MAX_KILL_DELAY_US) + EXCUSED_AFTER_TERM_US;
        let mut node = Self {
            name: config.name.clone(),
            path,
            address: config.listen,
            started_at,
            engine: Engine::new(engine_settings(&config), config.seed)?,
            front: Front::new(&config),
            links: Links::new(&config),
            follower: Follower::new(follower_limits, config.bulletin, known.no),
            feeds: HashMap::new(),
            members: MemberMapper::new(&config, wall_step),
            fleet,
            gossip,
            pace: LoopPacer::default(),
            term_at: None,
            rejects_after: (kill_after - CLOSE_CONNECTIONS_US).clamp(EARLIEST_REJECT_US, LATEST_REJECT_US),
            answer_by: kill_after - CLOCK_SKEW_US,
            last_answer: 0,
            is_rejecting: false,
            has_accepted: false,
            reload: None,
            outputs: Vec::new(),
            deferred_events: Vec::new(),
            withdrawn: Vec::new(),
            list_freshness: None,
            discovery_log: DiscoveryLog::new(&config.name),
            recorder: TraceRecorder::new(&config.name, recorder),
            commands: Arc::default(),
            io,
            config,
        };
        let now = monotonic();
        for item in &known.items {
            node.apply_roster(now, &item.roster);
        }
        node.update_list_freshness(now);
        // Listen only now, so that the first client finds a scheduler that has its list of workers.
        let (_, address) = node.io.listen(bind(listen.unwrap_or(node.address), false)?)?;
        node.address = address;
        node.recorder.up(now, address);
        Ok(node)
    }

    /// Injects a fault into its view, see [`basaltward_membership::Membership::inject_fault`].
    #[doc(hidden)]
    pub fn inject_view_fault(&mut self, newer: basaltward_membership::OverrideRule) {
        self.fleet.iter_mut().for_each(|fleet| fleet.transport.inject_fault(newer));
    }

    /// Injects a fault into its permit node, see [`basaltward_permits::PermitNode::inject`].
    #[doc(hidden)]
    pub fn inject_permit_fault(&mut self, fault: basaltward_permits::Fault) {
        self.fleet.iter_mut().for_each(|fleet| fleet.transport.inject_permit_fault(fault, monotonic()));
    }

    /// Makes the next `times` system calls of this kind fail with this error.
    #[doc(hidden)]
    pub fn inject_system_call_failures(&mut self, call: SystemCall, error: Errno, times: usize) {
        self.io.inject_failures(call, error, times);
    }

    /// The address at which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle that controls this scheduler from another thread.
    pub fn control(&self) -> Control {
        Control { commands: self.commands.clone(), waker: self.io.waker() }
    }

    /// Routes the process's SIGTERM, SIGINT and SIGHUP to this scheduler.
    ///
    /// # Errors
    /// If the operating system refuses to.
    pub fn handle_signals(&mut self) -> Result<(), NodeError> {
        let signals = [SIGTERM, SIGINT, SIGHUP];
        Ok(self.io.watch_signals(Signals::register(&signals)?)?)
    }

    /// Runs until it is signalled to stop and has no outstanding work.
    ///
    /// # Errors
    /// If a system call of the loop itself fails.
    pub fn run(mut self) -> Result<(), NodeError> {
        info!(name = self.name, address = %self.address, "serving");
        let mut events = Vec::new();
        loop {
            let now = monotonic();
            let oldest_age = self.oldest_request().map_or(0, |arrived| now.saturating_sub(arrived));
            self.io.pause_accepting(!self.pace.should_accept(oldest_age));
            let wait = self.poll_timeout(now);
            self.io.turn(Some(wait), &mut events)?;
            self.follower.input_drained(now);
            self.turn((now, now + wait), &mut events);
            self.io.free_ended();
            if self.is_finished(monotonic()) {
                let now = monotonic();
                self.with_peers(now, |transport, io, events| transport.stop(io, now, events));
                self.recorder.down(monotonic());
                info!(name = self.name, "stopped");
                return Ok(());
            }
        }
    }

    fn poll_timeout(&self, now: Micros) -> Micros {
        let reject_at =
            self.term_at.map(|at| at + self.rejects_after).filter(|at| *at > now || !self.is_rejecting);
        let finish_check = self.is_rejecting.then_some(now + 5_000);
        let reload = self.reload.map(|(at, _)| at);
        let fleet = self.fleet.as_ref().map(|fleet| fleet.transport.next_due());
        let due = [self.engine.next_due(now), self.front.next_due(), self.links.next_due()];
        let gossip = self.gossip.as_ref().and_then(Gossip::next_due);
        let due =
            due.into_iter().chain([self.follower.next_due(), reject_at, finish_check, reload, fleet, gossip]);
        let due = due.flatten().min().unwrap_or(now + 1_000_000);
        if self.oldest_request().is_some() { 0 } else { due.saturating_sub(now) }
    }

    /// When the oldest request arrived that has not been read or not been started.
    fn oldest_request(&self) -> Option<Micros> {
        self.front.oldest_input().into_iter().chain(self.engine.oldest_arrival()).min()
    }

    /// Whether SIGTERM has arrived, all clients that may still connect have been accepted, and nothing is
    /// outstanding. While a client has a connection, or has just lost it, a request may be in transit.
    fn is_finished(&self, now: Micros) -> bool {
        let Some(term) = self.term_at.filter(|_| self.is_rejecting) else { return false };
        let all_accepted =
            !self.has_accepted && self.io.accepts_without_backlog() && self.oldest_request().is_none();
        let settled = all_accepted
            && self.front.all_clients_left(now, term + self.rejects_after)
            && self.io.is_flushed();
        // An answer written as late as SIGKILL allows has half of the remaining time to be read.
        let unread_until =
            (term + LATEST_REJECT_US + LAST_ANSWERS_US).max(self.last_answer + CLOCK_SKEW_US / 2);
        self.engine.calls_in_flight() == 0 && (settled || unread_until <= now)
    }

    /// Runs one turn; `since` is when the poll for events began, and `due` when it was to end. Clients' input is read
    /// first, as it may withdraw work that would otherwise be sent; then other events and timers are handled; then
    /// requests are started. Each phase has a time budget. Input is read before any request in it is started, because
    /// the request's time is running: a loop that has fallen behind must have read it to answer in time.
    fn turn(&mut self, (since, due): (Micros, Micros), events: &mut Vec<IoEvent>) {
        let mut now = monotonic();
        let began = now;
        self.pace.begin_turn(since, due, now);
        self.has_accepted = false;
        // Accept new clients last: a connection that is closed to free capacity for them must not have unread
        // input.
        let (front, is_accept) = (&self.front, |event: &IoEvent| matches!(event, IoEvent::Accepted { .. }));
        events.sort_by_key(|event| if front.owns(event) { 0 } else { 1 + u8::from(!is_accept(event)) });
        let others = events.partition_point(|event| front.owns(event) || is_accept(event));
        for event in events.drain(..others) {
            self.handle_event(began, now, event);
        }
        while let Some(arrived) = self.front.oldest_input() {
            now = monotonic();
            if !self.pace.may_read(now, arrived) {
                break;
            }
            let steps = self.front.read_next(&mut self.io, now);
            self.handle_steps(now, steps);
        }
        for event in events.drain(..) {
            self.handle_event(began, now, event);
            now = monotonic();
            if self.pace.should_check_timers(now) {
                self.wake(now);
                self.flush();
            }
        }
        self.wake(now);
        self.flush();
        while let Some(arrived) = self.engine.oldest_arrival() {
            now = monotonic();
            if !self.pace.may_begin(now, arrived) {
                break;
            }
            // The client may have withdrawn the request in input that follows it, and so may the client of the next
            // one.
            let mut read_ahead_of = None;
            while let Some(waiter) = self.engine.next_waiter().filter(|w| Some(*w) != read_ahead_of)
                && let Some(steps) = self.front.read_ahead(&mut self.io, now, waiter)
            {
                read_ahead_of = Some(waiter);
                self.handle_steps(now, steps);
            }
            let mut outputs = std::mem::take(&mut self.outputs);
            self.engine.begin_next(now, &mut outputs);
            self.carry_out(now, outputs);
        }
        self.flush();
        if let Some(term) = self.term_at.filter(|_| self.is_rejecting) {
            // After the last answer is with the system, and before a client that sends without pause has sent its
            // next request.
            self.front.close_idle(&mut self.io, monotonic(), term + self.rejects_after);
        }
        std::mem::swap(events, &mut self.deferred_events);
        let TurnReport { began, lag, .. } = self.pace.end_turn(monotonic(), thread_time());
        self.engine.record_lateness(monotonic(), began);
        if let Some(lag) = lag {
            info!(
                name = self.name,
                turn_us = lag.longest_turn,
                waited_us = lag.longest_wait,
                stalled_us = lag.stalled,
                "late"
            );
        }
    }

    /// Passes the results of reading clients' frames to the engine.
    fn handle_steps(&mut self, now: Micros, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Call(call) => {
                    self.recorder.request_accepted(now, &call.payload.id);
                    self.notify_engine(now, Input::QueuedCall(call));
                }
                Step::Left(waiters) => {
                    waiters.into_iter().for_each(|w| self.notify_engine(now, Input::ClientLeft(w)))
                }
                Step::Nothing => {}
            }
        }
    }

    /// Flushes output. An answer counts as sent once its bytes are with the system. New work that may no longer
    /// begin at its worker is withdrawn first and goes elsewhere.
    fn flush(&mut self) {
        loop {
            let late = self.withdraw_late();
            if late.is_empty() {
                break;
            }
            self.jobs_ended(monotonic(), late);
        }
        self.io.flush(&mut self.deferred_events);
        self.recorder.answers_flushed();
    }

    fn withdraw_late(&mut self) -> Vec<JobEnd> {
        let Self { links, io, engine, withdrawn, .. } = self;
        let mut late = links.withdraw_late(io, monotonic(), |worker| engine.new_work_until(worker));
        late.append(withdrawn);
        late
    }

    fn handle_event(&mut self, began: Micros, now: Micros, event: IoEvent) {
        let mut done = Vec::new();
        match event {
            IoEvent::Accepted { conn, .. } => {
                self.has_accepted = true;
                self.front.accepted(&mut self.io, now, conn);
            }
            IoEvent::Connected(conn) if self.links.owns(conn) => {
                self.links.connected(&mut self.io, now, conn);
                self.note_written(now);
            }
            IoEvent::Connected(conn) => {
                if let Some(feed) = self.feeds.get(&conn).copied() {
                    self.drive_follower(now, |follower, out| follower.connected(now, feed, out));
                }
            }
            IoEvent::Drained(conn) if self.links.owns(conn) => {
                self.links.drained(&mut self.io, now, conn);
                self.note_written(now);
            }
            IoEvent::Data(conn) if self.links.owns(conn) => {
                self.links.receive(&mut self.io, now, conn, &mut done);
            }
            IoEvent::Data(conn) if self.feeds.contains_key(&conn) => self.receive_feed(now, conn),
            IoEvent::Data(conn) => self.front.input_arrived(began, conn),
            IoEvent::Drained(_) => {}
            IoEvent::Ended(conn, how) if self.links.owns(conn) => {
                self.links.ended(&mut self.io, conn, how, &mut done);
                // Before the ends of the jobs on the connection, which are retried elsewhere.
                for worker in self.disconnected(now) {
                    self.notify_engine(now, Input::Disconnected(worker));
                }
            }
            IoEvent::Ended(conn, _) => match self.feeds.remove(&conn) {
                Some(feed) => self.drive_follower(now, |follower, out| follower.ended(now, feed, out)),
                None => {
                    let left = self.front.forget(conn);
                    left.into_iter().for_each(|w| self.notify_engine(now, Input::ClientLeft(w)));
                }
            },
            IoEvent::Signal(SIGHUP) => self.command(now, RELOAD),
            IoEvent::Signal(_) => self.command(now, STOP),
            IoEvent::Datagrams(_) => {
                self.gossip.iter_mut().for_each(|gossip| gossip.receive(&mut self.io, now));
                let reports = self.gossip.as_mut().map(Gossip::take_reports).unwrap_or_default();
                for (worker, function, copies) in reports {
                    self.notify_engine(now, Input::CopiesReported(worker, function, copies));
                }
                self.with_peers(now, |transport, io, events| transport.receive(io, now, events));
                self.apply_drain_changes(now);
            }
            IoEvent::Woken => {
                let commands = self.commands.swap(0, Ordering::AcqRel);
                self.command(now, commands);
            }
        }
        self.jobs_ended(now, done);
    }

    fn command(&mut self, now: Micros, command: u8) {
        if command & RELOAD > 0 {
            self.reload = Some((now, MAX_RELOAD_RETRIES));
        }
        if command & STOP > 0 && self.term_at.is_none() {
            info!(name = self.name, in_hand = self.engine.calls_in_flight(), "stopping");
            self.term_at = Some(now);
            self.front.start_stopping();
            self.notify_engine(now, Input::ExitAt(now + self.answer_by));
            self.with_peers(now, |transport, io, events| transport.leave(io, now, events));
            self.recorder.stopping(now);
        }
    }

    /// Handles due timers: answers first, the rest within its time budget of a turn.
    fn wake(&mut self, mut now: Micros) {
        let since = now;
        if let Some(fleet) = &mut self.fleet {
            let (io, links) = (&mut self.io, &self.links);
            fleet.act(now, &self.recorder, |transport, events| {
                transport.wake(io, now, |workers| links.count_jobs(workers), events);
            });
        }
        self.apply_drain_changes(now);
        self.update_list_freshness(now);
        self.gossip.iter_mut().for_each(|gossip| gossip.send_due(&mut self.io, now));
        loop {
            let mut outputs = std::mem::take(&mut self.outputs);
            self.engine.answer_expired(now, &mut outputs);
            self.carry_out(now, outputs);
            let mut done = Vec::new();
            self.links.wake(&mut self.io, now, &mut done);
            self.jobs_ended(now, done);
            let left = self.front.wake(&mut self.io, now);
            left.into_iter().for_each(|w| self.notify_engine(now, Input::ClientLeft(w)));
            if self.follower.next_due().is_some_and(|due| due <= now) {
                self.drive_follower(now, |follower, out| follower.wake(now, out));
            }
            if self.reload.is_some_and(|(at, _)| at <= now) {
                self.reload(now);
            }
            if !self.is_rejecting && self.term_at.is_some_and(|at| at + self.rejects_after <= now) {
                // The listener stays open: a client in the system's accept queue counts as accepted and must be
                // answered.
                self.is_rejecting = true;
                self.notify_engine(now, Input::Stop);
            }
            let mut outputs = std::mem::take(&mut self.outputs);
            self.engine.wake(now, &mut outputs);
            self.carry_out(now, outputs);
            now = monotonic();
            let next = self.engine.next_due(now).into_iter().chain(self.links.next_due()).min();
            if next.is_none_or(|due| due > now) || !self.pace.may_handle_timers(since, now) {
                return;
            }
        }
    }

    // ---- the engine --------------------------------------------------------------------------------------

    fn notify_engine(&mut self, now: Micros, input: Input<CallPayload, ReplyBody>) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.engine.handle(now, input, &mut outputs);
        self.carry_out(now, outputs);
    }

    fn jobs_ended(&mut self, now: Micros, done: Vec<JobEnd>) {
        for done in done {
            let input = self.job_end_input(now, done);
            self.notify_engine(now, input);
        }
    }

    /// Converts the end of a job to the engine's input.
    fn job_end_input(&mut self, now: Micros, done: JobEnd) -> Input<CallPayload, ReplyBody> {
        self.gossip.iter_mut().for_each(|gossip| gossip.job_ended(now, &done));
        match done {
            JobEnd::Attempt(id, end) => {
                self.recorder.ended(now, id, &end);
                Input::AttemptEnded(id, end)
            }
            JobEnd::Order(id, code, count) => Input::OrderAnswered(id, code, count),
            JobEnd::Probe(id, code, report) => {
                self.discovery_log.probe_ended(id, code);
                Input::ProbeAnswered(id, code, report)
            }
        }
    }

    fn note_written(&mut self, now: Micros) {
        for written in self.links.written.drain(..) {
            if let WrittenJob::Attempt(id, _) = written.job {
                self.engine.mark_written(id);
            }
            self.recorder.job_written(now, &mut self.io, &written);
        }
    }

    /// Carries out the engine's outputs, and those that follow from them, until none is left.
    fn carry_out(&mut self, now: Micros, mut outputs: Vec<Output<CallPayload, ReplyBody>>) {
        let mut queue: VecDeque<_> = outputs.drain(..).collect();
        self.outputs = outputs;
        while let Some(output) = queue.pop_front() {
            let done = self.output(now, output);
            // Before any other input to the engine: a job that was written may run.
            self.note_written(now);
            let reports = self.gossip.as_mut().map(Gossip::take_reports).unwrap_or_default();
            for (worker, function, copies) in reports {
                let mut more = std::mem::take(&mut self.outputs);
                self.engine.handle(now, Input::CopiesReported(worker, function, copies), &mut more);
                queue.extend(more.drain(..));
                self.outputs = more;
            }
            for worker in self.disconnected(now) {
                let mut more = std::mem::take(&mut self.outputs);
                self.engine.handle(now, Input::Disconnected(worker), &mut more);
                queue.extend(more.drain(..));
                self.outputs = more;
            }
            if let Some(done) = done {
                let (input, mut more) = (self.job_end_input(now, done), std::mem::take(&mut self.outputs));
                self.engine.handle(now, input, &mut more);
                queue.extend(more.drain(..));
                self.outputs = more;
            }
        }
    }

    fn output(&mut self, now: Micros, output: Output<CallPayload, ReplyBody>) -> Option<JobEnd> {
        let Self {
            io,
            links,
            front,
            deferred_events,
            recorder,
            fleet,
            gossip,
            last_answer,
            engine,
            withdrawn,
            discovery_log,
            ..
        } = self;
        match output {
            Output::Answer { waiter, answer, attempts, worker, .. } => {
                let request = front.answer(io, now, waiter, &answer)?;
                *last_answer = now;
                let outcome = match answer {
                    Answer::Served(_) => 0,
                    Answer::Refused(..) => 1,
                    Answer::Failed(_) => 2,
                };
                fleet.iter_mut().for_each(|fleet| fleet.transport.count_call(outcome));
                recorder.answered(now, &request, &answer, (attempts, worker.as_ref()));
                None
            }
            Output::Start { attempt, worker, function, payload, until, .. } => {
                let function = function.name.clone();
                TraceRecorder::started(attempt, &worker, &function);
                gossip.iter_mut().for_each(|gossip| gossip.attempt_started(now, attempt, &worker, &function));
                links.start(io, now, &worker, Job::Attempt { id: attempt, payload, function, until })
            }
            Output::Abort(attempt) => {
                let done = links.abort_attempt(io, now, attempt);
                // The cancellation is flushed before anything that follows from it.
                withdrawn
                    .extend(links.withdraw_late(io, monotonic(), |worker| engine.new_work_until(worker)));
                io.flush(deferred_events);
                done
            }
            Output::Order { order, worker, function, count } => {
                let known = gossip
                    .as_mut()
                    .and_then(|gossip| gossip.answer_order(now, order, (&worker, &function), count));
                if known.is_some() {
                    return known;
                }
                links.start(io, now, &worker, Job::Order { id: order, function, count })
            }
            Output::Probe(order, worker) => {
                discovery_log.probe_sent(order, &worker);
                links.start(io, now, &worker, Job::Probe(order))
            }
            Output::AbortOrder(order) => {
                gossip.iter_mut().for_each(|gossip| gossip.forget_order(order));
                discovery_log.probe_ended(order, Code::Timeout);
                links.abort_order(io, now, order);
                None
            }
            Output::Release(worker, function) => {
                let shared = gossip.as_ref().is_some_and(|gossip| gossip.is_shared(now, &worker, &function));
                if shared { None } else { links.start(io, now, &worker, Job::Release(function)) }
            }
            // The bulletin reports every change without being queried.
            Output::RequestWorkerList => None,
        }
    }

    // ---- the bulletin ------------------------------------------------------------------------------------

    fn drive_follower(&mut self, now: Micros, act: impl FnOnce(&mut Follower, &mut Vec<Feed>)) {
        let mut steps = Vec::new();
        act(&mut self.follower, &mut steps);
        let mut steps = VecDeque::from(steps);
        while let Some(step) = steps.pop_front() {
            match step {
                Feed::Connect(feed, to) => match self.io.connect(to) {
                    Ok(conn) => drop(self.feeds.insert(conn, feed)),
                    Err(_) => {
                        let mut more = Vec::new();
                        self.follower.ended(now, feed, &mut more);
                        steps.extend(more);
                    }
                },
                Feed::Write(feed, text) => {
                    if let Some(out) = self.feed(feed).and_then(|conn| self.io.output(conn)) {
                        out.extend_from_slice(text.as_bytes());
                    }
                }
                Feed::Close(feed) => {
                    if let Some(conn) = self.feed(feed) {
                        self.feeds.remove(&conn);
                        self.io.abort(conn);
                    }
                }
                Feed::Roster(roster) => self.apply_roster(now, &roster),
                Feed::Abandoned(_, Some(why)) => {
                    warn!(name = self.name, %why, "connecting to the bulletin again")
                }
                Feed::Abandoned(_, None) => {}
            }
        }
    }

    /// Workers that may have restarted unnoticed: those whose last connection has ended, and, while the list is not
    /// followed, those that had no connection until now.
    fn disconnected(&mut self, now: Micros) -> Vec<WorkerId> {
        let mut workers = std::mem::take(&mut self.links.disconnected);
        let mut first = std::mem::take(&mut self.links.first_connected);
        let is_out_of_reach = match self.list_freshness {
            Some(ListFreshness::Interrupted { .. }) => true,
            // At a normal start the bulletin's first event number arrives within this time.
            Some(ListFreshness::Unconfirmed { since }) => now > since + LINE_OVERDUE_US,
            Some(ListFreshness::Current { .. }) | None => false,
        };
        if is_out_of_reach {
            workers.append(&mut first);
        }
        workers
    }

    /// Passes the freshness of the list of workers to the module if it has changed.
    fn update_list_freshness(&mut self, now: Micros) {
        let freshness = self.follower.freshness(now);
        let list_freshness = match freshness {
            Freshness::Unconfirmed => ListFreshness::Unconfirmed { since: self.started_at },
            Freshness::Current { delivered_by } => ListFreshness::Current { announced_at: delivered_by },
            Freshness::Interrupted { delivered_by, .. } => {
                ListFreshness::Interrupted { announced_at: delivered_by }
            }
        };
        self.discovery_log.update(now, freshness, self.follower.last_event());
        if self.list_freshness.replace(list_freshness) != Some(list_freshness) {
            self.notify_engine(now, Input::ListTrust(list_freshness));
        }
    }

    fn feed(&self, feed: FeedId) -> Option<ConnId> {
        self.feeds.iter().find(|(_, f)| **f == feed).map(|(conn, _)| *conn)
    }

    fn receive_feed(&mut self, now: Micros, conn: ConnId) {
        let Some(feed) = self.feeds.get(&conn).copied() else { return };
        let Some(input) = self.io.input(conn) else { return };
        let mut input = std::mem::take(input);
        self.drive_follower(now, |follower, out| follower.read_lines(now, feed, &mut input, out));
        self.members.list_confirmed(now);
        self.update_list_freshness(now);
        if let Some(left) = self.io.input(conn) {
            *left = input;
            self.io.release_input(conn);
            self.io.pause(conn, false);
        }
    }

    fn with_peers(&mut self, now: Micros, act: impl FnOnce(&mut PeerTransport, &mut Io, &mut Vec<Event>)) {
        if let Some(fleet) = &mut self.fleet {
            let io = &mut self.io;
            fleet.act(now, &self.recorder, |transport, events| act(transport, io, events));
        }
    }

    /// Applies the starts and ends of drains that the fleet has agreed on.
    fn apply_drain_changes(&mut self, now: Micros) {
        let rosters = self.fleet.as_mut().map(Fleet::take_drain_changes).unwrap_or_default();
        rosters.iter().for_each(|roster| self.apply_members(now, roster));
    }

    fn apply_roster(&mut self, now: Micros, roster: &Roster) {
        match &mut self.fleet {
            Some(fleet) => {
                let roster = fleet.apply_roster(now, roster);
                self.apply_members(now, &roster);
            }
            None => self.apply_members(now, roster),
        }
    }

    fn apply_members(&mut self, now: Micros, roster: &Roster) {
        let (kind, members) = self.members.members(roster);
        if members.iter().any(|member| member.state == WorkerState::Active) {
            self.front.set_ready();
        }
        let addressed: Vec<_> =
            members.iter().cloned().zip(roster.targets.iter().map(|t| t.endpoint)).collect();
        self.recorder.members_changed(now, kind, &members);
        self.gossip.iter_mut().for_each(|gossip| gossip.update_members(kind, &members));
        let mut done = Vec::new();
        // The links are updated first, since the module sends to the new members. The jobs that the links withdraw
        // are reported to the module after the members, or it would send them there again.
        self.links.update_members(&mut self.io, kind, &addressed, &mut done);
        self.notify_engine(now, Input::Members(kind, members));
        self.jobs_ended(now, done);
    }

    /// Reads the configuration again after SIGHUP; it applies as a whole or not at all. Only the bulletin's address
    /// and the members of the fleet can change in a running scheduler.
    fn reload(&mut self, now: Micros) {
        let Some((_, retries_left)) = self.reload.take() else { return };
        match load_with_view(&self.path, self.config.fleet.is_some()) {
            Ok(config) => {
                info!(name = self.name, bulletin = %config.bulletin, "configuration read");
                let ignored_fields = self.config.fields_needing_restart(&config);
                if !ignored_fields.is_empty() {
                    let ignored_fields = ignored_fields.join(", ");
                    warn!(
                        name = self.name,
                        kept = ignored_fields,
                        "changed fields that take effect only after a restart were ignored"
                    );
                }
                self.fleet.iter_mut().for_each(|fleet| fleet.reread(&config));
                self.drive_follower(now, |follower, out| {
                    follower.switch_to(now, config.bulletin, out);
                    follower.wake(now, out);
                });
            }
            Err(why) => {
                // One line per signal, however often the file is read.
                if retries_left == MAX_RELOAD_RETRIES {
                    warn!(name = self.name, %why, "configuration rejected, keeping the previous one");
                }
                self.reload = (retries_left > 0).then_some((now + RELOAD_RETRY_US, retries_left - 1));
            }
        }
    }
}
