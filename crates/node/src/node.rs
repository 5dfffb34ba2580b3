//! The loop: clients, engine, workers and bulletin joined. It carries bytes and messages between them.

use crate::Budget;
use crate::config::{ConfigError, NodeConfig, load_as};
use crate::discovery_log::DiscoveryLog;
use crate::front::{Front, Step};
use crate::gossip::Gossip;
use crate::links::{Done, Job, Links, WrittenJob};
use crate::members::Names;
use crate::peers::Fleet;
use crate::recorder::TraceRecorder;
use crate::work::{Served, Work};
use basaltward::{Code, ListTrust, Micros, SettingsError, State, WorkerId};
use basaltward_bulletin::{
    FeedId, Follower, FollowerLimits, Freshness, OWED_WITHIN_US, Roster, Step as Feed,
};
use basaltward_engine::{
    Answer, Engine, EngineSettings, Input, MarginSettings, Output, Pace, RepeatLimits, Turn,
};
use basaltward_net::{
    ConnId, Errno, Happened, Io, IoLimits, NetError, Signals, SystemCall, Waker, bind, monotonic, thread_time,
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

/// What comes later than this after SIGTERM is turned away, and connections are closed as they have nothing open.
const TERM_US: Micros = 900_000;
/// But not before this: clients come for up to 0.6 s, and the page allows 50 ms more.
const LEAST_TERM_US: Micros = 650_000;
/// Closing the connections, with what crosses that, takes so long before SIGKILL.
const CLOSING_US: Micros = 200_000;
/// What comes later than this after SIGTERM is lost if SIGKILL finds it open.
const EXCUSED_US: Micros = 700_000;
/// SIGKILL may come the longest deadline, but no more than this, and [`EXCUSED_US`] after SIGTERM.
const LONGEST_US: Micros = 3_000_000;
/// What our clock and the platform's may lie apart at SIGTERM, and an answer may take to its client.
const APART_US: Micros = 100_000;
/// The page's slack of each time limit: what a request takes to its worker once it is written.
const SLACK_US: Micros = 50_000;
/// How long the last answers may take to be read, and those who still wait to be accepted.
const LAST_US: Micros = 1_500_000;
/// A configuration that can't be used at a signal is read again after this, so many times.
const REREAD: (Micros, u32) = (100_000, 50);

/// Why a scheduler can't start or had to end.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The system refused something.
    #[error(transparent)]
    Net(#[from] NetError),
    /// It can't have its peers.
    #[error(transparent)]
    Peers(#[from] PeerError),
    /// The module can't decide by the settings.
    #[error("configuration, at settings: {0}")]
    Settings(#[from] SettingsError),
}

/// A live scheduler.
pub struct Node {
    name: String,
    path: PathBuf,
    /// The configuration of the start, without the events that it held.
    config: NodeConfig,
    address: SocketAddr,
    /// When the configuration of the start was about to be read.
    started: Micros,
    io: Io,
    engine: Engine<Work, Served>,
    front: Front,
    links: Links,
    follower: Follower,
    feeds: HashMap<ConnId, FeedId>,
    names: Names,
    /// The fleet's view, where the configuration asks for it.
    fleet: Option<Fleet>,
    /// What peers tell of copies, where the settings allow it.
    gossip: Option<Gossip>,
    pace: Pace,
    /// When SIGTERM came.
    term: Option<Micros>,
    /// How long after SIGTERM requests are turned away.
    turns_away: Micros,
    /// How long after SIGTERM the last answer has to be given: SIGKILL may come soon after.
    closing: Micros,
    /// When an answer was put out last.
    last_answer: Micros,
    stopped: bool,
    /// Someone was accepted in this turn.
    accepted: bool,
    /// When the configuration is read again, and how often it may still be.
    reread: Option<(Micros, u32)>,
    outputs: Vec<Output<Work, Served>>,
    /// What writing in the middle of a turn has brought, for the next one.
    later: Vec<Happened>,
    /// Ends of what was taken back in the middle of a turn.
    taken_back: Vec<Done>,
    /// How far the list is to be believed, as the module was told it last.
    list_trust: Option<ListTrust>,
    discovery_log: DiscoveryLog,
    recorder: TraceRecorder,
    wanted: Arc<AtomicU8>,
}

const STOP: u8 = 1;
const REREAD_NOW: u8 = 2;

/// Tells a scheduler from another thread what signals tell a process.
#[derive(Clone)]
pub struct Control {
    wanted: Arc<AtomicU8>,
    waker: Waker,
}

impl Control {
    fn want(&self, what: u8) {
        self.wanted.fetch_or(what, Ordering::AcqRel);
        self.waker.wake();
    }

    /// As SIGTERM.
    pub fn stop(&self) {
        self.want(STOP);
    }

    /// As SIGHUP.
    pub fn reread(&self) {
        self.want(REREAD_NOW);
    }
}

fn engine_settings(config: &NodeConfig) -> EngineSettings {
    let mut module = config.told.module.clone();
    module.rules.send_delay = config.told.links.connect_timeout + SLACK_US;
    EngineSettings {
        module,
        in_hand: config.budget.calls,
        waiters: 1,
        // A client's retry has a new id here: nothing is kept for one that comes back.
        linger: 0,
        repeats: RepeatLimits { remember: 0, answers: 0, guards: usize::MAX, bytes: 0 },
        margin: MarginSettings::default(),
    }
}

impl Node {
    /// A scheduler by the configuration in this file, that listens at `listen` where given, and knows the
    /// events that the file holds.
    ///
    /// # Errors
    /// Where the configuration can't be used or the system refuses something.
    pub fn new(path: PathBuf, listen: Option<SocketAddr>, recorder: Recorder) -> Result<Self, NodeError> {
        Self::new_as(path, listen, recorder, false)
    }

    /// As [`Node::new`]; with `view` it keeps the fleet's view even where the configuration says nothing of it.
    ///
    /// # Errors
    /// As [`Node::new`].
    pub fn new_as(
        path: PathBuf,
        listen: Option<SocketAddr>,
        recorder: Recorder,
        view: bool,
    ) -> Result<Self, NodeError> {
        Self::new_stepped(path, listen, recorder, view, Arc::default())
    }

    /// As [`Node::new_as`] on a machine whose wall clock counts as stepped by so many microseconds, at any time.
    #[doc(hidden)]
    pub fn new_stepped(
        path: PathBuf,
        listen: Option<SocketAddr>,
        recorder: Recorder,
        view: bool,
        wall_step: Arc<AtomicI64>,
    ) -> Result<Self, NodeError> {
        let started = monotonic();
        let mut config = load_as(&path, view)?;
        let Budget { clients: connections, input, .. } = config.budget;
        let limits = IoLimits { connections, input, linger: 300_000, ends_at_once: true };
        let mut io = Io::new(limits)?;
        let fleet = Fleet::open(&config, &mut io, monotonic())?;
        let gossip = Gossip::open(&config, &mut io, monotonic())?;
        let known = std::mem::take(&mut config.known);
        let following = FollowerLimits::where_connecting_takes(config.told.links.connect_timeout);
        let longest = config.told.module.classes.iter().map(|class| class.deadline).max();
        let kill = longest.unwrap_or(0).min(LONGEST_US) + EXCUSED_US;
        let mut node = Self {
            name: config.name.clone(),
            path,
            address: config.listen,
            started,
            engine: Engine::new(engine_settings(&config), config.seed)?,
            front: Front::new(&config),
            links: Links::new(&config),
            follower: Follower::new(following, config.bulletin, known.no),
            feeds: HashMap::new(),
            names: Names::new(&config, wall_step),
            fleet,
            gossip,
            pace: Pace::default(),
            term: None,
            turns_away: (kill - CLOSING_US).clamp(LEAST_TERM_US, TERM_US),
            closing: kill - APART_US,
            last_answer: 0,
            stopped: false,
            accepted: false,
            reread: None,
            outputs: Vec::new(),
            later: Vec::new(),
            taken_back: Vec::new(),
            list_trust: None,
            discovery_log: DiscoveryLog::new(&config.name),
            recorder: TraceRecorder::new(&config.name, recorder),
            wanted: Arc::default(),
            io,
            config,
        };
        let now = monotonic();
        for item in &known.items {
            node.roster(now, &item.roster);
        }
        node.pass_list_trust(now);
        // Whoever connects finds a scheduler that knows its workers.
        let (_, address) = node.io.listen(bind(listen.unwrap_or(node.address), false)?)?;
        node.address = address;
        node.recorder.up(now, address);
        Ok(node)
    }

    /// Plants a fault in its view, see [`basaltward_membership::Membership::inject_fault`].
    #[doc(hidden)]
    pub fn plant(&mut self, newer: basaltward_membership::OverrideRule) {
        self.fleet.iter_mut().for_each(|fleet| fleet.transport.inject_fault(newer));
    }

    /// Plants a fault in its part in what is agreed, see [`basaltward_permits::PermitNode::plant`].
    #[doc(hidden)]
    pub fn plant_agreed(&mut self, fault: basaltward_permits::Fault) {
        self.fleet.iter_mut().for_each(|fleet| fleet.transport.inject_permit_fault(fault, monotonic()));
    }

    /// Has the next system calls of this kind fail so, as many of them.
    #[doc(hidden)]
    pub fn plant_failures(&mut self, call: SystemCall, error: Errno, times: usize) {
        self.io.plant_failures(call, error, times);
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells it from another thread what signals tell a process.
    pub fn control(&self) -> Control {
        Control { wanted: self.wanted.clone(), waker: self.io.waker() }
    }

    /// Has the process's SIGTERM, SIGINT and SIGHUP come to this scheduler.
    ///
    /// # Errors
    /// Where the system refuses them.
    pub fn take_signals(&mut self) -> Result<(), NodeError> {
        let signals = [SIGTERM, SIGINT, SIGHUP];
        Ok(self.io.watch_signals(Signals::take(&signals)?)?)
    }

    /// Runs until it is told to stop and owes nothing.
    ///
    /// # Errors
    /// Where the system fails the loop itself.
    pub fn run(mut self) -> Result<(), NodeError> {
        info!(name = self.name, address = %self.address, "serving");
        let mut happened = Vec::new();
        loop {
            let now = monotonic();
            let held = self.oldest().map_or(0, |came| now.saturating_sub(came));
            self.io.hold_accepting(!self.pace.accepts(held));
            let wait = self.wait(now);
            self.io.turn(Some(wait), &mut happened)?;
            self.follower.nothing_waited(now);
            self.turn((now, now + wait), &mut happened);
            self.io.forget_ended();
            if self.is_over(monotonic()) {
                let now = monotonic();
                self.with_peers(now, |transport, io, events| transport.stop(io, now, events));
                self.recorder.down(monotonic());
                info!(name = self.name, "stopped");
                return Ok(());
            }
        }
    }

    fn wait(&self, now: Micros) -> Micros {
        let term = self.term.map(|at| at + self.turns_away).filter(|at| *at > now || !self.stopped);
        let last = self.stopped.then_some(now + 5_000);
        let reread = self.reread.map(|(at, _)| at);
        let fleet = self.fleet.as_ref().map(|fleet| fleet.transport.next_due());
        let due = [self.engine.next_due(now), self.front.next_due(), self.links.next_due()];
        let told = self.gossip.as_ref().and_then(Gossip::next_due);
        let due = due.into_iter().chain([self.follower.next_due(), term, last, reread, fleet, told]);
        let due = due.flatten().min().unwrap_or(now + 1_000_000);
        if self.oldest().is_some() { 0 } else { due.saturating_sub(now) }
    }

    /// When the oldest request came that was not read, or not begun.
    fn oldest(&self) -> Option<Micros> {
        self.front.oldest().into_iter().chain(self.engine.oldest_arrival()).min()
    }

    /// Whether SIGTERM came, all who may still come have been taken, and nothing is owed. As long as a client has its
    /// connection, or lost it a moment ago, a request may be on its way.
    fn is_over(&self, now: Micros) -> bool {
        let Some(term) = self.term.filter(|_| self.stopped) else { return false };
        let none_waits = !self.accepted && self.io.accepts_all() && self.oldest().is_none();
        let settled =
            none_waits && self.front.has_been_left(now, term + self.turns_away) && self.io.is_settled();
        // What was answered as late as SIGKILL allows has half of the time that is left to be read.
        let unread_until = (term + TERM_US + LAST_US).max(self.last_answer + APART_US / 2);
        self.engine.in_hand() == 0 && (settled || unread_until <= now)
    }

    /// One turn: clients first, who may withdraw what else would be sent, then what else has come and what is
    /// due, then what the clients' requests lead to, each as far as its time goes. What has come is read before
    /// any of it is begun: its time runs, and a loop that has fallen behind has to know of it to answer in time.
    fn turn(&mut self, (since, due): (Micros, Micros), happened: &mut Vec<Happened>) {
        let mut now = monotonic();
        let began = now;
        self.pace.begin(since, due, now);
        self.accepted = false;
        // Those who come in last: whoever makes room for them must have brought nothing.
        let (front, from) = (&self.front, |h: &Happened| matches!(h, Happened::Accepted { .. }));
        happened.sort_by_key(|h| if front.concerns(h) { 0 } else { 1 + u8::from(!from(h)) });
        let others = happened.partition_point(|h| front.concerns(h) || from(h));
        for happened in happened.drain(..others) {
            self.take(began, now, happened);
        }
        while let Some(came) = self.front.oldest() {
            now = monotonic();
            if !self.pace.may_read(now, came) {
                break;
            }
            let looked = self.front.look(&mut self.io, now);
            self.asked(now, looked);
        }
        for happened in happened.drain(..) {
            self.take(began, now, happened);
            now = monotonic();
            if self.pace.looks(now) {
                self.wake(now);
                self.flush();
            }
        }
        self.wake(now);
        self.flush();
        while let Some(came) = self.engine.oldest_arrival() {
            now = monotonic();
            if !self.pace.may_begin(now, came) {
                break;
            }
            // Its client may have withdrawn it in what it sent behind, and so may the next one's.
            let mut looked = None;
            while let Some(waiter) = self.engine.next_waiter().filter(|w| Some(*w) != looked)
                && let Some(behind) = self.front.look_behind(&mut self.io, now, waiter)
            {
                looked = Some(waiter);
                self.asked(now, behind);
            }
            let mut outputs = std::mem::take(&mut self.outputs);
            self.engine.begin_next(now, &mut outputs);
            self.carry_out(now, outputs);
        }
        self.flush();
        if let Some(term) = self.term.filter(|_| self.stopped) {
            // Once its answer is with the system, and before a client that never pauses has sent the next request.
            self.front.end_idle(&mut self.io, monotonic(), term + self.turns_away);
        }
        std::mem::swap(happened, &mut self.later);
        let Turn { began, lag, .. } = self.pace.end(monotonic(), thread_time());
        self.engine.note_late(monotonic(), began);
        if let Some(lag) = lag {
            info!(
                name = self.name,
                turn_us = lag.turn,
                waited_us = lag.waited,
                stalled_us = lag.stalled,
                "late"
            );
        }
    }

    /// Tells the engine what clients' frames lead to.
    fn asked(&mut self, now: Micros, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Call(call) => {
                    self.recorder.taken(now, &call.payload.id);
                    self.tell(now, Input::Arrived(call));
                }
                Step::Left(waiters) => waiters.into_iter().for_each(|w| self.tell(now, Input::Left(w))),
                Step::Done => {}
            }
        }
    }

    /// Writes what there is to write. An answer counts as given once its bytes are with the system. New work that may
    /// begin at its worker no more is taken back before, and goes elsewhere.
    fn flush(&mut self) {
        loop {
            let late = self.take_back_late();
            if late.is_empty() {
                break;
            }
            self.done(monotonic(), late);
        }
        self.io.flush(&mut self.later);
        self.recorder.gave();
    }

    fn take_back_late(&mut self) -> Vec<Done> {
        let Self { links, io, engine, taken_back, .. } = self;
        let mut late = links.take_back_late(io, monotonic(), |worker| engine.new_work_until(worker));
        late.append(taken_back);
        late
    }

    fn take(&mut self, began: Micros, now: Micros, happened: Happened) {
        let mut done = Vec::new();
        match happened {
            Happened::Accepted { conn, .. } => {
                self.accepted = true;
                self.front.accepted(&mut self.io, now, conn);
            }
            Happened::Connected(conn) if self.links.owns(conn) => {
                self.links.connected(&mut self.io, now, conn);
                self.note_written(now);
            }
            Happened::Connected(conn) => {
                if let Some(feed) = self.feeds.get(&conn).copied() {
                    self.follow(now, |follower, out| follower.connected(now, feed, out));
                }
            }
            Happened::Drained(conn) if self.links.owns(conn) => {
                self.links.drained(&mut self.io, now, conn);
                self.note_written(now);
            }
            Happened::Data(conn) if self.links.owns(conn) => {
                self.links.data(&mut self.io, now, conn, &mut done);
            }
            Happened::Data(conn) if self.feeds.contains_key(&conn) => self.news(now, conn),
            Happened::Data(conn) => self.front.came(began, conn),
            Happened::Drained(_) => {}
            Happened::Ended(conn, how) if self.links.owns(conn) => {
                self.links.ended(&mut self.io, conn, how, &mut done);
                // Before the ends of what was on it, which go elsewhere.
                for worker in self.disconnected(now) {
                    self.tell(now, Input::Disconnected(worker));
                }
            }
            Happened::Ended(conn, _) => match self.feeds.remove(&conn) {
                Some(feed) => self.follow(now, |follower, out| follower.ended(now, feed, out)),
                None => {
                    let left = self.front.forget(conn);
                    left.into_iter().for_each(|w| self.tell(now, Input::Left(w)));
                }
            },
            Happened::Signal(SIGHUP) => self.want(now, REREAD_NOW),
            Happened::Signal(_) => self.want(now, STOP),
            Happened::Datagrams(_) => {
                self.gossip.iter_mut().for_each(|gossip| gossip.data(&mut self.io, now));
                let news = self.gossip.as_mut().map(Gossip::take_news).unwrap_or_default();
                for (worker, function, copies) in news {
                    self.tell(now, Input::Stands(worker, function, copies));
                }
                self.with_peers(now, |transport, io, events| transport.receive(io, now, events));
                self.drains(now);
            }
            Happened::Woken => {
                let wanted = self.wanted.swap(0, Ordering::AcqRel);
                self.want(now, wanted);
            }
        }
        self.done(now, done);
    }

    fn want(&mut self, now: Micros, what: u8) {
        if what & REREAD_NOW > 0 {
            self.reread = Some((now, REREAD.1));
        }
        if what & STOP > 0 && self.term.is_none() {
            info!(name = self.name, in_hand = self.engine.in_hand(), "stopping");
            self.term = Some(now);
            self.front.leave();
            self.tell(now, Input::EndBy(now + self.closing));
            self.with_peers(now, |transport, io, events| transport.leave(io, now, events));
            self.recorder.stopping(now);
        }
    }

    /// Does what is due: answers first, the rest as far as its time in a turn goes.
    fn wake(&mut self, mut now: Micros) {
        let since = now;
        if let Some(fleet) = &mut self.fleet {
            let (io, links) = (&mut self.io, &self.links);
            fleet.act(now, &self.recorder, |transport, events| {
                transport.wake(io, now, |workers| links.in_hand(workers), events);
            });
        }
        self.drains(now);
        self.pass_list_trust(now);
        self.gossip.iter_mut().for_each(|gossip| gossip.wake(&mut self.io, now));
        loop {
            let mut outputs = std::mem::take(&mut self.outputs);
            self.engine.answer_due(now, &mut outputs);
            self.carry_out(now, outputs);
            let mut done = Vec::new();
            self.links.wake(&mut self.io, now, &mut done);
            self.done(now, done);
            let left = self.front.wake(&mut self.io, now);
            left.into_iter().for_each(|w| self.tell(now, Input::Left(w)));
            if self.follower.next_due().is_some_and(|due| due <= now) {
                self.follow(now, |follower, out| follower.wake(now, out));
            }
            if self.reread.is_some_and(|(at, _)| at <= now) {
                self.reread(now);
            }
            if !self.stopped && self.term.is_some_and(|at| at + self.turns_away <= now) {
                // The listener stays: whoever waits in the system's queue has been taken, and is owed an answer.
                self.stopped = true;
                self.tell(now, Input::Stop);
            }
            let mut outputs = std::mem::take(&mut self.outputs);
            self.engine.wake(now, &mut outputs);
            self.carry_out(now, outputs);
            now = monotonic();
            let next = self.engine.next_due(now).into_iter().chain(self.links.next_due()).min();
            if next.is_none_or(|due| due > now) || !self.pace.goes_on(since, now) {
                return;
            }
        }
    }

    // ---- the engine --------------------------------------------------------------------------------------

    fn tell(&mut self, now: Micros, input: Input<Work, Served>) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.engine.handle(now, input, &mut outputs);
        self.carry_out(now, outputs);
    }

    fn done(&mut self, now: Micros, done: Vec<Done>) {
        for done in done {
            let input = self.ended(now, done);
            self.tell(now, input);
        }
    }

    /// How a job ended, as the engine is told it.
    fn ended(&mut self, now: Micros, done: Done) -> Input<Work, Served> {
        self.gossip.iter_mut().for_each(|gossip| gossip.ended(now, &done));
        match done {
            Done::Attempt(id, end) => {
                self.recorder.ended(now, id, &end);
                Input::Ended(id, end)
            }
            Done::Order(id, code, count) => Input::Ordered(id, code, count),
            Done::Probe(id, code, report) => {
                self.discovery_log.answered(id, code);
                Input::Probed(id, code, report)
            }
        }
    }

    fn note_written(&mut self, now: Micros) {
        for written in self.links.written.drain(..) {
            if let WrittenJob::Attempt(id, _) = written.what {
                self.engine.written(id);
            }
            self.recorder.written(now, &mut self.io, &written);
        }
    }

    /// Carries out what the engine wants, and what follows from that, until there is no more.
    fn carry_out(&mut self, now: Micros, mut outputs: Vec<Output<Work, Served>>) {
        let mut queue: VecDeque<_> = outputs.drain(..).collect();
        self.outputs = outputs;
        while let Some(output) = queue.pop_front() {
            let done = self.output(now, output);
            // Before the engine is told anything else: what was written may run.
            self.note_written(now);
            let news = self.gossip.as_mut().map(Gossip::take_news).unwrap_or_default();
            for (worker, function, copies) in news {
                let mut more = std::mem::take(&mut self.outputs);
                self.engine.handle(now, Input::Stands(worker, function, copies), &mut more);
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
                let (input, mut more) = (self.ended(now, done), std::mem::take(&mut self.outputs));
                self.engine.handle(now, input, &mut more);
                queue.extend(more.drain(..));
                self.outputs = more;
            }
        }
    }

    fn output(&mut self, now: Micros, output: Output<Work, Served>) -> Option<Done> {
        let Self {
            io,
            links,
            front,
            later,
            recorder,
            fleet,
            gossip,
            last_answer,
            engine,
            taken_back,
            discovery_log,
            ..
        } = self;
        match output {
            Output::Answer { waiter, answer, attempts, worker, .. } => {
                let asked = front.answer(io, now, waiter, &answer)?;
                *last_answer = now;
                let outcome = match answer {
                    Answer::Served(_) => 0,
                    Answer::Refused(..) => 1,
                    Answer::Failed(_) => 2,
                };
                fleet.iter_mut().for_each(|fleet| fleet.transport.count_call(outcome));
                recorder.answered(now, &asked, &answer, (attempts, worker.as_ref()));
                None
            }
            Output::Start { attempt, worker, function, payload, until, .. } => {
                let function = function.name.clone();
                TraceRecorder::started(attempt, &worker, &function);
                gossip.iter_mut().for_each(|h| h.started(now, attempt, &worker, &function));
                links.start(io, now, &worker, Job::Attempt { id: attempt, work: payload, function, until })
            }
            Output::Abort(attempt) => {
                let done = links.abort_attempt(io, now, attempt);
                // The word that gives it up goes before anything that follows from it.
                taken_back
                    .extend(links.take_back_late(io, monotonic(), |worker| engine.new_work_until(worker)));
                io.flush(later);
                done
            }
            Output::Order { order, worker, function, count } => {
                let told = gossip.as_mut().and_then(|h| h.order(now, order, (&worker, &function), count));
                if told.is_some() {
                    return told;
                }
                links.start(io, now, &worker, Job::Order { id: order, function, count })
            }
            Output::Probe(order, worker) => {
                discovery_log.asked(order, &worker);
                links.start(io, now, &worker, Job::Probe(order))
            }
            Output::AbortOrder(order) => {
                gossip.iter_mut().for_each(|h| h.forget(order));
                discovery_log.answered(order, Code::Timeout);
                links.abort_order(io, now, order);
                None
            }
            Output::Drop(worker, function) => {
                let shared = gossip.as_ref().is_some_and(|h| h.is_shared(now, &worker, &function));
                if shared { None } else { links.start(io, now, &worker, Job::Release(function)) }
            }
            // The bulletin tells every change by itself.
            Output::Watch => None,
        }
    }

    // ---- the bulletin ------------------------------------------------------------------------------------

    fn follow(&mut self, now: Micros, act: impl FnOnce(&mut Follower, &mut Vec<Feed>)) {
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
                Feed::Roster(roster) => self.roster(now, &roster),
                Feed::Left(_, Some(why)) => warn!(name = self.name, %why, "bulletin is asked again"),
                Feed::Left(_, None) => {}
            }
        }
    }

    /// Workers that may have started anew without a word: those whose last connection has ended, and, while the list is
    /// not followed, those to which none stood until now.
    fn disconnected(&mut self, now: Micros) -> Vec<WorkerId> {
        let mut workers = std::mem::take(&mut self.links.disconnected);
        let mut first = std::mem::take(&mut self.links.first_connected);
        let is_out_of_reach = match self.list_trust {
            Some(ListTrust::Interrupted { .. }) => true,
            // At a usual start the bulletin's first number comes within this.
            Some(ListTrust::Unconfirmed { since }) => now > since + OWED_WITHIN_US,
            Some(ListTrust::Current { .. }) | None => false,
        };
        if is_out_of_reach {
            workers.append(&mut first);
        }
        workers
    }

    /// Tells the module how far the list is to be believed, where that has changed.
    fn pass_list_trust(&mut self, now: Micros) {
        let freshness = self.follower.freshness(now);
        let trust = match freshness {
            Freshness::Unconfirmed => ListTrust::Unconfirmed { since: self.started },
            Freshness::Current { told_at } => ListTrust::Current { told_at },
            Freshness::Interrupted { told_at, .. } => ListTrust::Interrupted { told_at },
        };
        self.discovery_log.read(now, freshness, self.follower.last());
        if self.list_trust.replace(trust) != Some(trust) {
            self.tell(now, Input::ListTrust(trust));
        }
    }

    fn feed(&self, feed: FeedId) -> Option<ConnId> {
        self.feeds.iter().find(|(_, f)| **f == feed).map(|(conn, _)| *conn)
    }

    fn news(&mut self, now: Micros, conn: ConnId) {
        let Some(feed) = self.feeds.get(&conn).copied() else { return };
        let Some(input) = self.io.input(conn) else { return };
        let mut input = std::mem::take(input);
        self.follow(now, |follower, out| follower.lines(now, feed, &mut input, out));
        self.names.list_spoke(now);
        self.pass_list_trust(now);
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

    /// Workers whose drain began or ended, by what the fleet agrees on.
    fn drains(&mut self, now: Micros) {
        let news = self.fleet.as_mut().map(Fleet::take_drains).unwrap_or_default();
        news.iter().for_each(|roster| self.heard(now, roster));
    }

    fn roster(&mut self, now: Micros, roster: &Roster) {
        match &mut self.fleet {
            Some(fleet) => {
                let told = fleet.told(now, roster);
                self.heard(now, &told);
            }
            None => self.heard(now, roster),
        }
    }

    fn heard(&mut self, now: Micros, roster: &Roster) {
        let (kind, members) = self.names.members(roster);
        if members.iter().any(|member| member.state == State::Active) {
            self.front.set_ready();
        }
        let addressed: Vec<_> =
            members.iter().cloned().zip(roster.targets.iter().map(|t| t.endpoint)).collect();
        self.recorder.told(now, kind, &members);
        self.gossip.iter_mut().for_each(|gossip| gossip.members(kind, &members));
        let mut done = Vec::new();
        // The links first, which must know whom the module sends to; what they withdraw is told after it, or
        // it would be sent there again.
        self.links.members(&mut self.io, kind, &addressed, &mut done);
        self.tell(now, Input::Members(kind, members));
        self.done(now, done);
    }

    /// SIGHUP has come: the configuration is read anew, whole or not at all. What it tells that can change in
    /// a running scheduler is where the bulletin is, and who is in the fleet.
    fn reread(&mut self, now: Micros) {
        let Some((_, left)) = self.reread.take() else { return };
        match load_as(&self.path, self.config.fleet.is_some()) {
            Ok(config) => {
                info!(name = self.name, bulletin = %config.bulletin, "configuration read");
                let kept = self.config.kept_against(&config);
                if !kept.is_empty() {
                    let kept = kept.join(", ");
                    warn!(name = self.name, kept, "fields that differ and take a restart stay as they were");
                }
                self.fleet.iter_mut().for_each(|fleet| fleet.reread(&config));
                self.follow(now, |follower, out| {
                    follower.moved(now, config.bulletin, out);
                    follower.wake(now, out);
                });
            }
            Err(why) => {
                // One line for a signal, however often it is read.
                if left == REREAD.1 {
                    warn!(name = self.name, %why, "configuration not taken, the one before stands");
                }
                self.reread = (left > 0).then_some((now + REREAD.0, left - 1));
            }
        }
    }
}
