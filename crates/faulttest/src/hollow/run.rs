//! Plays a script of hollow members: steps one after another, each measured until all members agree.

use super::conditions::{NetworkConditions, Partition};
use super::counters::{LoopCounters, Window};
use super::error::HollowError;
use super::probe::Probe;
use super::real_members::Real;
use super::report::{HollowReport, Value};
use super::resources::{MachineLimits, ResourceEstimate, resident_bytes};
use super::script::{HollowAction, HollowScript, HollowSpec};
use super::shards::{Shards, Shared, SharedState};
use super::socket_drops::{socket_drops, total_drops};
use crate::workspace::Workspace;
use basaltward_membership::MemberId;
use basaltward_net::{Io, IoEvent, IoLimits, Micros, Signals};
use basaltward_peers::send_operator_command;
use basaltward_permits::{OperatorCommand, OperatorReply, PermitRequest, Subject};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::{Arc, RwLock};

/// Between two looks at whether all agree: the resolution of settle times.
const LOOK_US: Micros = 50_000;
/// Share of what loops do that may be late for a step's figures to count.
const MOST_LATE: f64 = 0.01;
/// Between two progress lines.
const PROGRESS_US: Micros = 2_000_000;
/// Between two parts of the members that start, where they start over a time.
const START_PART_US: Micros = 100_000;
/// Host of all members among the addresses of a trial.
const HOST: usize = 240;
/// First port of members, below those that the system gives out by itself.
const FIRST_PORT: u16 = 10_000;
/// The last one.
const LAST_PORT: u16 = 32_000;

/// Plays a script; `tell` takes the lines of its timeline.
///
/// # Errors
/// Where it would not fit the machine, a part can't be had, or a signal ends it. A fleet that does not agree in time is
/// no error: the report says so.
pub fn run_hollow(script: &HollowScript, tell: &mut dyn FnMut(String)) -> Result<HollowReport, HollowError> {
    let spec = &script.spec;
    let needs = ResourceEstimate::new(spec.count, spec.real, spec.loops);
    let machine = MachineLimits::read()?;
    tell(format!(
        "{} hollow members on {} loops and {} real processes; needs {} of {} descriptors, about {} of {} MB of \
         memory, {} processes",
        spec.count,
        spec.loops,
        spec.real,
        needs.descriptors,
        machine.descriptors,
        needs.memory_bytes >> 20,
        machine.memory_bytes >> 20,
        needs.processes
    ));
    needs.check(&machine)?;
    let mut run = Run::start(script, tell)?;
    for (index, step) in script.steps.iter().enumerate() {
        run.step(index, step.action)?;
    }
    run.finish()
}

struct Run<'a> {
    script: &'a HollowScript,
    tell: &'a mut dyn FnMut(String),
    // Loops and processes end before the folder goes with the workspace.
    shards: Shards,
    real: Real,
    _workspace: Workspace,
    shared: Arc<Shared>,
    /// Brings signals while nothing else is to be done.
    io: Io,
    probe: Probe,
    began: Micros,
    host: Ipv4Addr,
    drops: BTreeMap<u64, u64>,
    idle_bytes: u64,
    report: HollowReport,
}

/// How far members agree.
struct Agreement {
    all: bool,
    /// Members whose view is the most common one, of how many, and how many views there are.
    most: usize,
    members: usize,
    views: usize,
}

impl<'a> Run<'a> {
    /// Starts all members and waits until they agree.
    fn start(script: &'a HollowScript, tell: &'a mut dyn FnMut(String)) -> Result<Self, HollowError> {
        let spec = &script.spec;
        let mut io = Io::new(IoLimits::default())?;
        io.watch_signals(Signals::register(&[Signal::INT.as_raw(), Signal::TERM.as_raw()])?)?;
        let workspace = Workspace::new()?;
        let host = match workspace.ip(HOST) {
            IpAddr::V4(host) => host,
            IpAddr::V6(_) => Ipv4Addr::LOCALHOST,
        };
        let peers = addresses(host, spec.members())?;
        let real = Real::start(spec, &workspace, &peers)?;
        let numbers: HashMap<_, _> = peers.iter().enumerate().map(|(n, at)| (*at, n as MemberId)).collect();
        let running = vec![true; spec.members()];
        let state = RwLock::new(SharedState { conditions: spec.conditions, running, version: 1 });
        let shared = Arc::new(Shared { spec: spec.clone(), peers, numbers, state });
        let idle_bytes = resident_bytes();
        let shards = Shards::start(&shared)?;
        let report = HollowReport {
            size: spec.members(),
            loss_rate: spec.conditions.loss_rate,
            ..HollowReport::default()
        };
        let (probe, began, drops) = (Probe::new()?, spec.now(), BTreeMap::new());
        let mut run = Self {
            script,
            tell,
            shards,
            real,
            _workspace: workspace,
            shared,
            io,
            probe,
            began,
            host,
            drops,
            idle_bytes,
            report,
        };
        if let (Some(first), Some(last)) = (run.shared.peers.first(), run.shared.peers.last()) {
            let told = format!("members at {first} to {last}, real ones first");
            run.say(told);
        }
        let all: Vec<_> = (spec.real as MemberId..spec.members() as MemberId).collect();
        let opened = spec.now();
        for (part, members) in all.chunks(part_of_start(spec)).enumerate() {
            run.shards.open(members)?;
            run.wait(opened + (part as Micros * START_PART_US).min(spec.start_us))?;
        }
        let took = spec.now() - opened;
        run.say(format!("all members started, hollow ones within {} ms", took / 1_000));
        // Members are on their way from the first on; the fleet is whole with the last.
        run.settle("start", Some("settle_start_ms"), spec.now(), LoopCounters::default())?;
        Ok(run)
    }

    fn now(&self) -> Micros {
        self.script.spec.now()
    }

    fn say(&mut self, text: String) {
        let at = (self.now() - self.began) as f64 / 1e6;
        (self.tell)(format!("{at:8.2} s  {text}"));
    }

    /// Lets time pass.
    ///
    /// # Errors
    /// As soon as a signal comes.
    fn wait(&mut self, until: Micros) -> Result<(), HollowError> {
        let mut happened = Vec::new();
        while let left @ 1.. = until.saturating_sub(self.now()) {
            let left = self.script.spec.machine_time(left);
            self.io.turn(Some(left), &mut happened)?;
            for event in happened.drain(..) {
                if let IoEvent::Signal(signal) = event {
                    return Err(HollowError::Signal(signal));
                }
            }
        }
        Ok(())
    }

    fn change(&self, change: impl FnOnce(&mut SharedState)) -> Result<(), HollowError> {
        let mut state = self.shared.state.write().map_err(|_| HollowError::Ended)?;
        change(&mut state);
        state.version += 1;
        Ok(())
    }

    fn running(&self) -> Result<Vec<bool>, HollowError> {
        Ok(self.shared.state.read().map_err(|_| HollowError::Ended)?.running.clone())
    }

    fn load(&mut self, reset: bool) -> Result<LoopCounters, HollowError> {
        let mut load = LoopCounters::default();
        self.shards.look(reset)?.iter().for_each(|look| load.add(&look.load));
        Ok(load)
    }

    /// Sums what the system has dropped at sockets so far; those that close are asked before.
    fn drops(&mut self) -> u64 {
        let table = std::fs::read_to_string("/proc/net/udp").unwrap_or_default();
        total_drops(&mut self.drops, socket_drops(self.host, &table))
    }

    fn agreement(&mut self) -> Result<Agreement, HollowError> {
        let running = self.running()?;
        let real: Vec<SocketAddr> = (0..self.script.spec.real)
            .filter(|number| running[*number])
            .map(|number| self.shared.peers[number])
            .collect();
        let looks = self.shards.look(false)?;
        let mut views: BTreeMap<u32, usize> = BTreeMap::new();
        for (digest, count) in looks.iter().flat_map(|look| &look.views) {
            *views.entry(*digest).or_default() += count;
        }
        let right = looks.iter().find_map(|look| look.right);
        for digest in self.probe.digests(&real) {
            *views.entry(digest).or_default() += 1;
        }
        let members = running.iter().filter(|runs| **runs).count();
        let most = views.values().copied().max().unwrap_or_default();
        let all = most == members && right.is_some_and(|right| views.contains_key(&right));
        Ok(Agreement { all, most, members, views: views.len() })
    }

    /// Waits until all agree since an event, and adds what that took, under its series if it has one, and cost.
    fn settle(
        &mut self,
        what: &str,
        series: Option<&'static str>,
        event: Micros,
        before: LoopCounters,
    ) -> Result<(), HollowError> {
        let mut told = event;
        let settled = loop {
            let now = self.now();
            let agreement = self.agreement()?;
            if agreement.all {
                break Some(now - event);
            }
            if now >= event + self.script.spec.settle_us {
                break None;
            }
            if now >= told + PROGRESS_US {
                told = now;
                let Agreement { most, members, views, .. } = agreement;
                self.say(format!("{what}: {most} of {members} agree, {views} views"));
            }
            self.wait(now + LOOK_US)?;
        };
        let window = self.window(event, before)?;
        let drops = self.drops();
        let outcome = match settled {
            Some(took) => format!("settled in {} ms", took / 1_000),
            None => format!("unsettled after {} ms", self.script.spec.settle_us / 1_000),
        };
        self.say(format!(
            "{what}: {outcome}; {}; {drops} datagrams dropped at sockets",
            told_window(&window)
        ));
        if settled.is_none() {
            self.report.unsettled_steps.push(what.to_owned());
        }
        if window.late_share() > MOST_LATE {
            self.say(format!("{what}: the loops were late, its figures do not count"));
            self.report.overloaded_steps.push(what.to_owned());
            return Ok(());
        }
        let value = settled.map_or(Value::Unsettled, |took| Value::Measured(took as f64 / 1e3));
        if let Some(series) = series {
            self.report.add(series, "ms", value);
        }
        let worst = window.counters.worst_second_bytes as f64;
        self.report.add("bytes_per_s_storm_worst", "B/s", Value::Measured(worst));
        self.report.add("cpu_us_per_s_storm", "us/s", Value::Measured(window.cpu_us_per_s()));
        let held = resident_bytes().saturating_sub(self.idle_bytes) as f64;
        let each = held / self.script.spec.count.max(1) as f64;
        self.report.add("memory_bytes_member", "B", Value::Measured(each));
        Ok(())
    }

    fn window(&mut self, from: Micros, before: LoopCounters) -> Result<Window, HollowError> {
        let load = self.load(true)?.since(&before);
        let members = self.running()?.iter().skip(self.script.spec.real).filter(|runs| **runs).count();
        Ok(Window { counters: load, span_us: self.now() - from, members })
    }

    fn step(&mut self, index: usize, act: HollowAction) -> Result<(), HollowError> {
        match act {
            HollowAction::MeasureIdle { after, span } => {
                self.wait(self.now() + after)?;
                self.quiet(span)
            }
            HollowAction::Loss { lost, doubled } => {
                self.say(format!("from now on lost {lost}, doubled {doubled}"));
                self.change(|state| {
                    (state.conditions.loss_rate, state.conditions.duplicate_rate) = (lost, doubled)
                })
            }
            HollowAction::KillMembers(count) => {
                let members = self.neighbours(index, count)?;
                let series = if count == 1 { "settle_kill_one_ms" } else { "settle_kill_rack_ms" };
                self.kill(&members, &format!("kill of {count}"), series)
            }
            HollowAction::KillZone(zone) => {
                let members = self.shared.spec.conditions.topology.members_of_zone(zone);
                self.kill(&members, &format!("kill of zone {zone}"), "settle_kill_zone_ms")
            }
            HollowAction::Permit => self.permit(index),
            HollowAction::Start => self.restart(),
            HollowAction::Partition(cut, span) => self.cut(cut, span),
        }
    }

    fn quiet(&mut self, span: Micros) -> Result<(), HollowError> {
        let (from, before, real) = (self.now(), self.load(true)?, self.real.cpu_us());
        self.wait(from + span)?;
        let window = self.window(from, before)?;
        self.say(format!("quiet: {}", told_window(&window)));
        if let (Some((before, _)), Some((after, count @ 1..))) = (real, self.real.cpu_us()) {
            let each = (after - before) as f64 * 1e6 / (window.span_us as f64 * count as f64);
            self.say(format!("quiet: a real process took {each:.0} us/s"));
        }
        if window.late_share() > MOST_LATE {
            self.say("quiet: the loops were late, its figures do not count".to_owned());
            self.report.overloaded_steps.push("quiet".to_owned());
            return Ok(());
        }
        self.report.add("bytes_per_s_quiet", "B/s", Value::Measured(window.bytes_per_s()));
        self.report.add("cpu_us_per_s_quiet", "us/s", Value::Measured(window.cpu_us_per_s()));
        Ok(())
    }

    /// Asks until one may be out, and tells how long that took.
    fn permit(&mut self, index: usize) -> Result<(), HollowError> {
        let (spec, running) = (&self.script.spec, self.running()?);
        let mut all: Vec<_> = (spec.real..spec.members()).filter(|member| running[*member]).collect();
        let mut rng = StdRng::seed_from_u64(spec.seed ^ (index as u64) << 32);
        all.shuffle(&mut rng);
        let [through, out, ..] = all[..] else { return Ok(()) };
        let subject = Subject::Scheduler(out as MemberId);
        let (event, at) = (self.now(), self.shared.peers[through]);
        loop {
            let told = send_operator_command(at, OperatorCommand::Request(PermitRequest::Check(subject)));
            let took = (self.now() - event) / 1_000;
            if let Ok(OperatorReply::Answer(Ok(_))) = told {
                self.say(format!("permit for n{out} through n{through}: yes after {took} ms"));
                return Ok(());
            }
            if self.now() >= event + spec.settle_us {
                self.say(format!("permit for n{out} through n{through}: none after {took} ms: {told:?}"));
                self.report.unsettled_steps.push("permit".to_owned());
                return Ok(());
            }
            self.wait(self.now() + LOOK_US)?;
        }
    }

    /// Hollow members of one zone that run, next to one another in the list.
    fn neighbours(&self, index: usize, count: usize) -> Result<Vec<MemberId>, HollowError> {
        let (spec, running) = (&self.script.spec, self.running()?);
        let mut rng = StdRng::seed_from_u64(spec.seed ^ (index as u64) << 32);
        let topology = spec.conditions.topology;
        // Real members stand in the first zone.
        let zone = if topology.zones > 1 { rng.random_range(1..topology.zones) } else { 0 };
        let mut members = topology.members_of_zone(zone);
        members.retain(|member| usize::from(*member) >= spec.real && running[usize::from(*member)]);
        let first = rng.random_range(0..=members.len().saturating_sub(count));
        Ok(members.into_iter().skip(first).take(count).collect())
    }

    fn kill(&mut self, members: &[MemberId], what: &str, series: &'static str) -> Result<(), HollowError> {
        self.drops();
        let before = self.load(true)?;
        self.change(|state| members.iter().for_each(|member| state.running[usize::from(*member)] = false))?;
        let from = self.now();
        let real = self.script.spec.real;
        for member in members.iter().map(|member| usize::from(*member)).filter(|member| *member < real) {
            self.real.processes[member].kill();
        }
        self.shards.kill(members)?;
        let event = self.now();
        self.say(format!("{what}: {} members dead within {} ms", members.len(), (event - from) / 1_000));
        self.settle(what, Some(series), event, before)
    }

    fn restart(&mut self) -> Result<(), HollowError> {
        let (spec, running) = (&self.script.spec, self.running()?);
        let down: Vec<_> = (0..spec.members()).filter(|member| !running[*member]).collect();
        let (real, hollow): (Vec<_>, Vec<_>) = down.iter().partition(|member| **member < spec.real);
        let before = self.load(true)?;
        let wanted: Vec<_> = (0..spec.real).map(|number| real.contains(&number)).collect();
        self.real.start_all(&wanted)?;
        self.shards.open(&hollow.iter().map(|member| *member as MemberId).collect::<Vec<_>>())?;
        self.change(|state| state.running.fill(true))?;
        let event = self.now();
        self.say(format!("start of {}", down.len()));
        self.settle("start again", None, event, before)
    }

    fn cut(&mut self, cut: Partition, span: Micros) -> Result<(), HollowError> {
        let (name, series) = match cut {
            Partition::Zone(zone) => (format!("zone {zone}"), None),
            Partition::Region(region) => (format!("region {region}"), Some("settle_heal_region_ms")),
        };
        self.set_cut(Some(cut))?;
        self.say(format!("{name} cut off"));
        let until = self.now() + span;
        while self.now() < until {
            self.wait(until.min(self.now() + PROGRESS_US * 5))?;
            let Agreement { most, members, views, .. } = self.agreement()?;
            self.say(format!("{name} cut off: most common view held by {most} of {members}, {views} views"));
        }
        let before = self.load(true)?;
        self.set_cut(None)?;
        let event = self.now();
        self.say(format!("{name} joined again"));
        self.settle(&format!("heal of {name}"), series, event, before)
    }

    fn set_cut(&self, cut: Option<Partition>) -> Result<(), HollowError> {
        self.change(|state| state.conditions = NetworkConditions { partition: cut, ..state.conditions })
    }

    /// Ends all, and tells what was measured.
    fn finish(mut self) -> Result<HollowReport, HollowError> {
        let load = self.load(false)?;
        let drops = self.drops();
        self.report.add("datagrams_lost_at_socket", "datagrams", Value::Measured(drops as f64));
        self.say(format!(
"end: hollow members sent {} datagrams, {} that the system did not take, received {}; {drops} dropped at \
             sockets",
load.datagrams, load.send_failures, load.received
));
        let running = self.running()?;
        self.report.failed_processes = self.real.crashed(&running);
        let ended = self.real.finish();
        self.report.failed_processes.extend(ended);
        Ok(self.report.clone())
    }
}

/// Members that start at once, where they start over a time.
fn part_of_start(spec: &HollowSpec) -> usize {
    let parts = (spec.start_us / START_PART_US).max(1) as usize;
    spec.count.div_ceil(parts).max(1)
}

fn told_window(window: &Window) -> String {
    format!(
        "a member sent {:.0} B/s, at worst {} B in a second, took {:.0} us/s; {} false deaths believed; {:.2}% done late, \
         by {:.0} ms at worst",
        window.bytes_per_s(),
        window.counters.worst_second_bytes,
        window.cpu_us_per_s(),
        window.counters.false_deaths,
        window.late_share() * 100.0,
        window.counters.worst_late_us as f64 / 1e3
    )
}

/// An address for each member, free as it is looked at: one host, a port each.
fn addresses(host: Ipv4Addr, needed: usize) -> Result<Vec<SocketAddr>, HollowError> {
    let ports = (FIRST_PORT..LAST_PORT).map(|port| SocketAddr::from((host, port)));
    let found: Vec<_> = ports.filter(|at| UdpSocket::bind(at).is_ok()).take(needed).collect();
    match found.len() == needed {
        true => Ok(found),
        false => Err(HollowError::Ports { found: found.len(), needed, host }),
    }
}
