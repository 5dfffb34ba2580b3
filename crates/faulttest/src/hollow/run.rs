//! Runs a script of hollow members: performs the steps one after another and measures each until all members agree.

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

/// Interval of the agreement checks, and so the resolution of settle times.
const AGREEMENT_CHECK_US: Micros = 50_000;
/// Maximum share of late operations of the event loops for a step's measurements to be valid.
const MAX_LATE_SHARE: f64 = 0.01;
/// Interval of progress lines.
const PROGRESS_US: Micros = 2_000_000;
/// Interval between two batches of starting members, if the start is spread over a time.
const START_BATCH_US: Micros = 100_000;
/// Party number of the loopback address that all members share.
const HOST: usize = 240;
/// First port for members. The range is below the system's ephemeral ports.
const FIRST_PORT: u16 = 10_000;
/// End of the port range, exclusive.
const END_PORT: u16 = 32_000;

/// Runs a script. `print` receives the lines of the timeline.
///
/// # Errors
/// The run exceeds the limits of the machine, a socket, file or process failed, or a signal ended the run. A fleet that
/// does not agree in time is not an error; the report lists such steps.
pub fn run_hollow(script: &HollowScript, print: &mut dyn FnMut(String)) -> Result<HollowReport, HollowError> {
    let spec = &script.spec;
    let estimate = ResourceEstimate::new(spec.hollow_members, spec.real_members, spec.loops);
    let machine = MachineLimits::read()?;
    print(format!(
        "{} hollow members on {} loops and {} real processes; needs {} of {} descriptors, about {} of {} MB of \
         memory, {} processes",
        spec.hollow_members,
        spec.loops,
        spec.real_members,
        estimate.descriptors,
        machine.descriptors,
        estimate.memory_bytes >> 20,
        machine.memory_bytes >> 20,
        estimate.processes
    ));
    estimate.check(&machine)?;
    let mut run = Run::start(script, print)?;
    for (index, step) in script.steps.iter().enumerate() {
        run.step(index, step.action)?;
    }
    run.finish()
}

struct Run<'a> {
    script: &'a HollowScript,
    print: &'a mut dyn FnMut(String),
    // Declared before the workspace, so that event loops and processes end before it deletes its directory.
    shards: Shards,
    real: Real,
    _workspace: Workspace,
    shared: Arc<Shared>,
    /// Receives signals while the run waits.
    io: Io,
    probe: Probe,
    began: Micros,
    host: Ipv4Addr,
    /// Datagrams dropped at each socket so far, by the socket's inode.
    drops: BTreeMap<u64, u64>,
    /// Resident memory of this process before the hollow members started, in bytes.
    idle_bytes: u64,
    report: HollowReport,
}

/// Agreement of the members' views.
struct Agreement {
    /// Whether all members have the same view and it is correct.
    all: bool,
    /// Number of members with the most common view.
    most: usize,
    /// Number of running members.
    members: usize,
    /// Number of different views.
    views: usize,
}

impl<'a> Run<'a> {
    /// Starts all members and waits until they agree.
    fn start(script: &'a HollowScript, print: &'a mut dyn FnMut(String)) -> Result<Self, HollowError> {
        let spec = &script.spec;
        let mut io = Io::new(IoLimits::default())?;
        io.watch_signals(Signals::register(&[Signal::INT.as_raw(), Signal::TERM.as_raw()])?)?;
        let workspace = Workspace::new()?;
        let host = match workspace.ip(HOST) {
            IpAddr::V4(host) => host,
            IpAddr::V6(_) => Ipv4Addr::LOCALHOST,
        };
        let peers = free_addresses(host, spec.members())?;
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
            print,
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
            let line = format!("members at {first} to {last}, real ones first");
            run.print_line(line);
        }
        let all: Vec<_> = (spec.real_members as MemberId..spec.members() as MemberId).collect();
        let opened = spec.now();
        for (batch, members) in all.chunks(start_batch_size(spec)).enumerate() {
            run.shards.open(members)?;
            run.wait(opened + (batch as Micros * START_BATCH_US).min(spec.start_us))?;
        }
        let elapsed = spec.now() - opened;
        run.print_line(format!("all members started, hollow ones within {} ms", elapsed / 1_000));
        // Members gossip from the first start on, but the settle time counts from the start of the last member.
        run.settle("start", Some("settle_start_ms"), spec.now(), LoopCounters::default())?;
        Ok(run)
    }

    fn now(&self) -> Micros {
        self.script.spec.now()
    }

    fn print_line(&mut self, text: String) {
        let at = (self.now() - self.began) as f64 / 1e6;
        (self.print)(format!("{at:8.2} s  {text}"));
    }

    /// Waits until a time.
    ///
    /// # Errors
    /// A signal arrived.
    fn wait(&mut self, until: Micros) -> Result<(), HollowError> {
        let mut events = Vec::new();
        while let left @ 1.. = until.saturating_sub(self.now()) {
            let left = self.script.spec.machine_time(left);
            self.io.turn(Some(left), &mut events)?;
            for event in events.drain(..) {
                if let IoEvent::Signal(signal) = event {
                    return Err(HollowError::Signal(signal));
                }
            }
        }
        Ok(())
    }

    fn update_state(&self, change: impl FnOnce(&mut SharedState)) -> Result<(), HollowError> {
        let mut state = self.shared.state.write().map_err(|_| HollowError::Ended)?;
        change(&mut state);
        state.version += 1;
        Ok(())
    }

    fn running(&self) -> Result<Vec<bool>, HollowError> {
        Ok(self.shared.state.read().map_err(|_| HollowError::Ended)?.running.clone())
    }

    fn counters(&mut self, reset: bool) -> Result<LoopCounters, HollowError> {
        let mut counters = LoopCounters::default();
        self.shards.status(reset)?.iter().for_each(|status| counters.add(&status.counters));
        Ok(counters)
    }

    /// Total of datagrams that the kernel dropped at sockets so far. Must be called before sockets are closed, as
    /// their counts are gone afterwards.
    fn drops(&mut self) -> u64 {
        let table = std::fs::read_to_string("/proc/net/udp").unwrap_or_default();
        total_drops(&mut self.drops, socket_drops(self.host, &table))
    }

    fn agreement(&mut self) -> Result<Agreement, HollowError> {
        let running = self.running()?;
        let real: Vec<SocketAddr> = (0..self.script.spec.real_members)
            .filter(|number| running[*number])
            .map(|number| self.shared.peers[number])
            .collect();
        let statuses = self.shards.status(false)?;
        let mut views: BTreeMap<u32, usize> = BTreeMap::new();
        for (digest, count) in statuses.iter().flat_map(|status| &status.views) {
            *views.entry(*digest).or_default() += count;
        }
        let correct = statuses.iter().find_map(|status| status.correct_digest);
        for digest in self.probe.digests(&real) {
            *views.entry(digest).or_default() += 1;
        }
        let members = running.iter().filter(|runs| **runs).count();
        let most = views.values().copied().max().unwrap_or_default();
        let all = most == members && correct.is_some_and(|correct| views.contains_key(&correct));
        Ok(Agreement { all, most, members, views: views.len() })
    }

    /// Waits until all members agree after an event. Adds the settle time to the report, if it has a series, and the
    /// traffic and processor time since `before`.
    fn settle(
        &mut self,
        step_name: &str,
        series: Option<&'static str>,
        event: Micros,
        before: LoopCounters,
    ) -> Result<(), HollowError> {
        let mut last_progress = event;
        let settled = loop {
            let now = self.now();
            let agreement = self.agreement()?;
            if agreement.all {
                break Some(now - event);
            }
            if now >= event + self.script.spec.settle_us {
                break None;
            }
            if now >= last_progress + PROGRESS_US {
                last_progress = now;
                let Agreement { most, members, views, .. } = agreement;
                self.print_line(format!("{step_name}: {most} of {members} agree, {views} views"));
            }
            self.wait(now + AGREEMENT_CHECK_US)?;
        };
        let window = self.window(event, before)?;
        let drops = self.drops();
        let outcome = match settled {
            Some(elapsed) => format!("settled in {} ms", elapsed / 1_000),
            None => format!("unsettled after {} ms", self.script.spec.settle_us / 1_000),
        };
        self.print_line(format!(
            "{step_name}: {outcome}; {}; {drops} datagrams dropped at sockets",
            describe_window(&window)
        ));
        if settled.is_none() {
            self.report.unsettled_steps.push(step_name.to_owned());
        }
        if window.late_share() > MAX_LATE_SHARE {
            self.print_line(format!("{step_name}: the loops were late, its measurements are void"));
            self.report.overloaded_steps.push(step_name.to_owned());
            return Ok(());
        }
        let value = settled.map_or(Value::Unsettled, |elapsed| Value::Measured(elapsed as f64 / 1e3));
        if let Some(series) = series {
            self.report.add(series, "ms", value);
        }
        let worst = window.counters.max_bytes_per_second as f64;
        self.report.add("bytes_per_s_storm_worst", "B/s", Value::Measured(worst));
        self.report.add("cpu_us_per_s_storm", "us/s", Value::Measured(window.cpu_us_per_s()));
        let memory = resident_bytes().saturating_sub(self.idle_bytes) as f64;
        let bytes_per_member = memory / self.script.spec.hollow_members.max(1) as f64;
        self.report.add("memory_bytes_member", "B", Value::Measured(bytes_per_member));
        Ok(())
    }

    fn window(&mut self, from: Micros, before: LoopCounters) -> Result<Window, HollowError> {
        let counters = self.counters(true)?.since(&before);
        let members =
            self.running()?.iter().skip(self.script.spec.real_members).filter(|runs| **runs).count();
        Ok(Window { counters, span_us: self.now() - from, members })
    }

    fn step(&mut self, index: usize, action: HollowAction) -> Result<(), HollowError> {
        match action {
            HollowAction::MeasureIdle { after, span } => {
                self.wait(self.now() + after)?;
                self.measure_idle(span)
            }
            HollowAction::Loss { loss_rate, duplicate_rate } => {
                self.print_line(format!(
                    "from now on loss rate {loss_rate}, duplicate rate {duplicate_rate}"
                ));
                self.update_state(|state| {
                    (state.conditions.loss_rate, state.conditions.duplicate_rate) =
                        (loss_rate, duplicate_rate)
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
            HollowAction::StartDeadMembers => self.restart(),
            HollowAction::Partition(partition, span) => self.partition(partition, span),
        }
    }

    fn measure_idle(&mut self, span: Micros) -> Result<(), HollowError> {
        let (from, before, real) = (self.now(), self.counters(true)?, self.real.cpu_us());
        self.wait(from + span)?;
        let window = self.window(from, before)?;
        self.print_line(format!("quiet: {}", describe_window(&window)));
        if let (Some((before, _)), Some((after, count @ 1..))) = (real, self.real.cpu_us()) {
            let cpu_us_per_process = (after - before) as f64 * 1e6 / (window.span_us as f64 * count as f64);
            self.print_line(format!("quiet: a real process used {cpu_us_per_process:.0} us/s"));
        }
        if window.late_share() > MAX_LATE_SHARE {
            self.print_line("quiet: the loops were late, its measurements are void".to_owned());
            self.report.overloaded_steps.push("quiet".to_owned());
            return Ok(());
        }
        self.report.add("bytes_per_s_quiet", "B/s", Value::Measured(window.bytes_per_s()));
        self.report.add("cpu_us_per_s_quiet", "us/s", Value::Measured(window.cpu_us_per_s()));
        Ok(())
    }

    /// Queries until a member may be taken down, and prints how long that took.
    fn permit(&mut self, index: usize) -> Result<(), HollowError> {
        let (spec, running) = (&self.script.spec, self.running()?);
        let mut all: Vec<_> = (spec.real_members..spec.members()).filter(|member| running[*member]).collect();
        let mut rng = StdRng::seed_from_u64(spec.seed ^ (index as u64) << 32);
        all.shuffle(&mut rng);
        let [through, subject_number, ..] = all[..] else { return Ok(()) };
        let subject = Subject::Scheduler(subject_number as MemberId);
        let (event, at) = (self.now(), self.shared.peers[through]);
        loop {
            let reply = send_operator_command(at, OperatorCommand::Request(PermitRequest::Check(subject)));
            let elapsed_ms = (self.now() - event) / 1_000;
            if let Ok(OperatorReply::Answer(Ok(_))) = reply {
                self.print_line(format!(
                    "permit for n{subject_number} through n{through}: yes after {elapsed_ms} ms"
                ));
                return Ok(());
            }
            if self.now() >= event + spec.settle_us {
                self.print_line(format!(
                    "permit for n{subject_number} through n{through}: none after {elapsed_ms} ms: {reply:?}"
                ));
                self.report.unsettled_steps.push("permit".to_owned());
                return Ok(());
            }
            self.wait(self.now() + AGREEMENT_CHECK_US)?;
        }
    }

    /// Running hollow members of one zone that are adjacent in the list, drawn by the seed and the step's index; fewer
    /// than `count` if the zone has fewer.
    fn neighbours(&self, index: usize, count: usize) -> Result<Vec<MemberId>, HollowError> {
        let (spec, running) = (&self.script.spec, self.running()?);
        let mut rng = StdRng::seed_from_u64(spec.seed ^ (index as u64) << 32);
        let topology = spec.conditions.topology;
        // Real members are in the first zone.
        let zone = if topology.zones > 1 { rng.random_range(1..topology.zones) } else { 0 };
        let mut members = topology.members_of_zone(zone);
        members.retain(|member| usize::from(*member) >= spec.real_members && running[usize::from(*member)]);
        let first = rng.random_range(0..=members.len().saturating_sub(count));
        Ok(members.into_iter().skip(first).take(count).collect())
    }

    fn kill(
        &mut self,
        members: &[MemberId],
        step_name: &str,
        series: &'static str,
    ) -> Result<(), HollowError> {
        self.drops();
        let before = self.counters(true)?;
        self.update_state(|state| {
            members.iter().for_each(|member| state.running[usize::from(*member)] = false)
        })?;
        let from = self.now();
        let real = self.script.spec.real_members;
        for member in members.iter().map(|member| usize::from(*member)).filter(|member| *member < real) {
            self.real.processes[member].kill();
        }
        self.shards.kill(members)?;
        let event = self.now();
        self.print_line(format!(
            "{step_name}: {} members dead within {} ms",
            members.len(),
            (event - from) / 1_000
        ));
        self.settle(step_name, Some(series), event, before)
    }

    fn restart(&mut self) -> Result<(), HollowError> {
        let (spec, running) = (&self.script.spec, self.running()?);
        let down: Vec<_> = (0..spec.members()).filter(|member| !running[*member]).collect();
        let (real, hollow): (Vec<_>, Vec<_>) = down.iter().partition(|member| **member < spec.real_members);
        let before = self.counters(true)?;
        let to_start: Vec<_> = (0..spec.real_members).map(|number| real.contains(&number)).collect();
        self.real.start_all(&to_start)?;
        self.shards.open(&hollow.iter().map(|member| *member as MemberId).collect::<Vec<_>>())?;
        self.update_state(|state| state.running.fill(true))?;
        let event = self.now();
        self.print_line(format!("start of {}", down.len()));
        self.settle("start again", None, event, before)
    }

    fn partition(&mut self, partition: Partition, span: Micros) -> Result<(), HollowError> {
        let (name, series) = match partition {
            Partition::Zone(zone) => (format!("zone {zone}"), None),
            Partition::Region(region) => (format!("region {region}"), Some("settle_heal_region_ms")),
        };
        self.set_partition(Some(partition))?;
        self.print_line(format!("{name} cut off"));
        let until = self.now() + span;
        while self.now() < until {
            self.wait(until.min(self.now() + PROGRESS_US * 5))?;
            let Agreement { most, members, views, .. } = self.agreement()?;
            self.print_line(format!(
                "{name} cut off: most common view held by {most} of {members}, {views} views"
            ));
        }
        let before = self.counters(true)?;
        self.set_partition(None)?;
        let event = self.now();
        self.print_line(format!("{name} joined again"));
        self.settle(&format!("heal of {name}"), series, event, before)
    }

    fn set_partition(&self, partition: Option<Partition>) -> Result<(), HollowError> {
        self.update_state(|state| state.conditions = NetworkConditions { partition, ..state.conditions })
    }

    /// Stops everything and returns the report.
    fn finish(mut self) -> Result<HollowReport, HollowError> {
        let counters = self.counters(false)?;
        let drops = self.drops();
        self.report.add("datagrams_lost_at_socket", "datagrams", Value::Measured(drops as f64));
        self.print_line(format!(
            "end: hollow members sent {} datagrams, {} that the system did not take, received {}; \
             {drops} dropped at sockets",
            counters.datagrams, counters.send_failures, counters.received
        ));
        let running = self.running()?;
        self.report.failed_processes = self.real.crashed(&running);
        let ended = self.real.finish();
        self.report.failed_processes.extend(ended);
        Ok(self.report.clone())
    }
}

/// Number of members per batch, if the start is spread over a time.
fn start_batch_size(spec: &HollowSpec) -> usize {
    let batches = (spec.start_us / START_BATCH_US).max(1) as usize;
    spec.hollow_members.div_ceil(batches).max(1)
}

fn describe_window(window: &Window) -> String {
    format!(
        "a member sent {:.0} B/s, at worst {} B in a second, used {:.0} us/s; {} false deaths reported; {:.2}% done \
         late, by {:.0} ms at worst",
        window.bytes_per_s(),
        window.counters.max_bytes_per_second,
        window.cpu_us_per_s(),
        window.counters.false_deaths,
        window.late_share() * 100.0,
        window.counters.max_late_us as f64 / 1e3
    )
}

/// An address for each member: the same loopback address with a port each that is free now.
fn free_addresses(host: Ipv4Addr, needed: usize) -> Result<Vec<SocketAddr>, HollowError> {
    let ports = (FIRST_PORT..END_PORT).map(|port| SocketAddr::from((host, port)));
    let found: Vec<_> = ports.filter(|at| UdpSocket::bind(at).is_ok()).take(needed).collect();
    match found.len() == needed {
        true => Ok(found),
        false => Err(HollowError::Ports { found: found.len(), needed, host }),
    }
}
