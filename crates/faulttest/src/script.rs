//! Loads scripts of faults and runs those for a cluster of schedulers.

use crate::DatagramFaults;
use crate::cluster::{Cluster, ClusterSpec, HarnessError};
use crate::hollow::{HollowScript, read_hollow};
use crate::link::{ConnectionMode, Link, Party};
use crate::site_script::{SitesScript, read_sites};
use basaltward_config::xml::{Element, parse_validated};
use basaltward_config::{ConfigError, Fault};
use basaltward_net::{Micros, monotonic};
use std::path::Path;
use std::time::Duration;

const SCHEMA: &str = include_str!("../trial.xsd");

/// A fault or other action of a script.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetAction {
    /// Kills a scheduler with SIGKILL.
    Kill(usize),
    /// Stops a scheduler with SIGTERM and waits until it exits.
    Stop(usize),
    /// Starts a scheduler that is down.
    Start(usize),
    /// Pauses (true) or resumes a scheduler.
    Stall(usize, bool),
    /// Has a scheduler reload its configuration.
    ReloadConfig(usize),
    /// Starts (true) or ends a partition that cuts a group of schedulers off from all other parties.
    Partition(Vec<usize>, bool),
    /// Sets the faults of all datagrams.
    AllDatagrams(DatagramFaults),
    /// Sets the faults of the datagrams from one scheduler to another.
    OneWayDatagrams(usize, usize, DatagramFaults),
    /// Sets how the connections of a link are treated.
    Connections(Link, ConnectionMode),
}

/// An action with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetStep {
    /// Time from the start of the run, in microseconds.
    pub at: Micros,
    /// The action.
    pub action: FleetAction,
}

/// A script for a cluster of schedulers.
#[derive(Clone, Debug)]
pub struct FleetScript {
    /// Parameters of the cluster.
    pub spec: ClusterSpec,
    /// How long clients call, in microseconds.
    pub span: Micros,
    /// Actions, sorted by time.
    pub steps: Vec<FleetStep>,
}

/// A script by the kind of cluster that it is for.
#[derive(Clone, Debug)]
pub enum LoadedScript {
    /// A cluster of schedulers.
    Fleet(FleetScript),
    /// A cluster of sites with gateways.
    Sites(SitesScript),
    /// Hollow members beside real members.
    Hollow(HollowScript),
}

/// Loads a script. Its processes will run `program`; `seed` overrides the script's.
///
/// # Errors
/// The file cannot be read, or all faults found in it.
pub fn load_script(path: &Path, program: &Path, seed: Option<u64>) -> Result<LoadedScript, ConfigError> {
    let path_text = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|source| ConfigError::File { path: path_text.clone(), source })?;
    parse_validated(&text, &path_text, SCHEMA, |root, faults| {
        let seed = seed.or_else(|| root.parse_attribute("seed", faults)).unwrap_or(1);
        match (root.child("sites"), root.child("hollow")) {
            (Some(_), _) => LoadedScript::Sites(read_sites(root, program, seed, faults)),
            (None, Some(part)) => LoadedScript::Hollow(read_hollow(part, program, seed, faults)),
            (None, None) => LoadedScript::Fleet(read_fleet(root, program, seed, faults)),
        }
    })
}

fn read_fleet(root: Element, program: &Path, seed: u64, faults: &mut Vec<Fault>) -> FleetScript {
    let part = root.child("fleet").unwrap_or(root);
    let mut number = |name: &str, default: u64| part.parse_attribute::<u64>(name, faults).unwrap_or(default);
    let fleet = ClusterSpec {
        program: program.into(),
        schedulers: number("schedulers", 1) as usize,
        workers: number("workers", 1) as usize,
        work_ms: number("work-ms", 20),
        pause_ms: number("pause-ms", 20),
        bounds: None,
        seed,
    };
    let span = number("ms", 1_000) * 1_000;
    let mut steps = Vec::new();
    for (index, node) in root.children_named("at").into_iter().enumerate() {
        let reader = Reader { node, index: index as u64, fleet: &fleet };
        reader.step(faults, &mut steps);
    }
    // A stable sort: actions at the same time stay in the order of the script.
    steps.sort_by_key(|step: &FleetStep| step.at);
    FleetScript { spec: fleet, span, steps }
}

struct Reader<'a> {
    node: Element<'a>,
    index: u64,
    fleet: &'a ClusterSpec,
}

impl Reader<'_> {
    /// The number in an attribute, below `count`; for `any`, one drawn by the seed and the step's index in the script.
    fn number(&self, name: &str, count: usize, faults: &mut Vec<Fault>) -> Option<usize> {
        let text = self.node.attribute(name);
        if text == Some("any") {
            return Some(Cluster::seeded_index(self.fleet.seed, self.index, count));
        }
        let number = text.and_then(|text| text.parse().ok()).filter(|n| *n < count);
        if number.is_none() {
            let most = count.saturating_sub(1);
            faults.push(self.node.fault(format!("this action needs {name}, any or from 0 to {most}")));
        }
        number
    }

    fn group(&self, faults: &mut Vec<Fault>) -> Option<Vec<usize>> {
        let text = self.node.attribute("group").unwrap_or_default();
        let group: Vec<usize> = text.split_whitespace().filter_map(|n| n.parse().ok()).collect();
        let valid = !group.is_empty() && group.iter().all(|n| *n < self.fleet.schedulers);
        if !valid {
            let most = self.fleet.schedulers - 1;
            faults.push(self.node.fault(format!("this action needs group, numbers from 0 to {most}")));
        }
        valid.then_some(group)
    }

    fn datagram_faults(&self, faults: &mut Vec<Fault>) -> DatagramFaults {
        let share = |name: &str, faults: &mut Vec<Fault>| {
            self.node.parse_attribute::<f64>(name, faults).unwrap_or(0.0)
        };
        let defaults = DatagramFaults::default();
        let max_delay = self
            .node
            .parse_attribute::<u64>("late-ms", faults)
            .map_or(defaults.delay_range.1, |ms| ms * 1_000);
        DatagramFaults {
            loss_rate: share("lost", faults),
            duplicate_rate: share("doubled", faults),
            delay_range: (defaults.delay_range.0, max_delay),
        }
    }

    /// Reads a step: its action and, with `for-ms`, the action that ends it.
    fn step(&self, faults: &mut Vec<Fault>, steps: &mut Vec<FleetStep>) {
        let at = self.node.parse_attribute::<u64>("ms", faults).unwrap_or(0) * 1_000;
        let duration = self.node.parse_attribute::<u64>("for-ms", faults).map(|ms| ms * 1_000);
        let name = self.node.attribute("do").unwrap_or_default();
        let schedulers = self.fleet.schedulers;
        let link = |to, scheduler| Link { from: Party::Scheduler(scheduler), to };
        let worker = |mode: ConnectionMode, faults: &mut Vec<Fault>| {
            let scheduler = self.number("scheduler", schedulers, faults)?;
            let worker = self.number("worker", self.fleet.workers, faults)?;
            Some((FleetAction::Connections(link(Party::Worker(worker), scheduler), mode), scheduler, worker))
        };
        let (action, end_action) = match name {
            "kill" | "stop" | "start" | "reread" => {
                let Some(one) = self.number("scheduler", schedulers, faults) else { return };
                match name {
                    "kill" => (FleetAction::Kill(one), Some(FleetAction::Start(one))),
                    "stop" => (FleetAction::Stop(one), Some(FleetAction::Start(one))),
                    "start" => (FleetAction::Start(one), None),
                    _ => (FleetAction::ReloadConfig(one), None),
                }
            }
            "stall" => {
                let Some(one) = self.number("scheduler", schedulers, faults) else { return };
                (FleetAction::Stall(one, true), Some(FleetAction::Stall(one, false)))
            }
            "cut" => {
                let Some(group) = self.group(faults) else { return };
                (FleetAction::Partition(group.clone(), true), Some(FleetAction::Partition(group, false)))
            }
            "loss" => (
                FleetAction::AllDatagrams(self.datagram_faults(faults)),
                Some(FleetAction::AllDatagrams(DatagramFaults::default())),
            ),
            "one-way" => {
                let Some(one) = self.number("scheduler", schedulers, faults) else { return };
                let Some(to) = self.number("to", schedulers, faults) else { return };
                let end = FleetAction::OneWayDatagrams(one, to, DatagramFaults::default());
                (
                    FleetAction::OneWayDatagrams(
                        one,
                        to,
                        DatagramFaults { loss_rate: 1.0, ..self.datagram_faults(faults) },
                    ),
                    Some(end),
                )
            }
            "late-bulletin" => {
                let Some(one) = self.number("scheduler", schedulers, faults) else { return };
                let link = link(Party::Bulletin, one);
                (
                    FleetAction::Connections(link, ConnectionMode::Stall),
                    Some(FleetAction::Connections(link, ConnectionMode::Pass)),
                )
            }
            _ => {
                let mode =
                    if name == "refuse-worker" { ConnectionMode::Refuse } else { ConnectionMode::Stall };
                let Some((action, one, to)) = worker(mode, faults) else { return };
                (action, Some(FleetAction::Connections(link(Party::Worker(to), one), ConnectionMode::Pass)))
            }
        };
        steps.push(FleetStep { at, action });
        let end = duration.zip(end_action).map(|(duration, action)| FleetStep { at: at + duration, action });
        steps.extend(end);
    }
}

impl FleetAction {
    /// Performs the action.
    ///
    /// # Errors
    /// A scheduler did not start or exit in time.
    pub fn perform(&self, cluster: &mut Cluster) -> Result<(), HarnessError> {
        match self {
            Self::Kill(one) => cluster.kill(*one),
            Self::Stop(one) => cluster.stop(*one)?,
            Self::Start(one) => cluster.start_scheduler(*one)?,
            Self::Stall(one, true) => cluster.schedulers[*one].stall(),
            Self::Stall(one, false) => cluster.schedulers[*one].resume(),
            Self::ReloadConfig(one) => cluster.schedulers[*one].reload_config(),
            Self::Partition(group, cut) => cluster.set_partition(group, *cut),
            Self::AllDatagrams(faults) => cluster.set_all_datagram_faults(*faults),
            Self::OneWayDatagrams(from, to, faults) => {
                cluster.set_datagram_faults(
                    Link { from: Party::Scheduler(*from), to: Party::Scheduler(*to) },
                    *faults,
                );
            }
            Self::Connections(link, mode) => cluster.set_connection_mode(*link, *mode),
        }
        Ok(())
    }
}

/// Runs a script. Returns the cluster with its clients still calling, to be finished and checked.
///
/// # Errors
/// The cluster cannot be started, or an action failed.
pub fn run_fleet(script: &FleetScript) -> Result<Cluster, HarnessError> {
    let mut cluster = Cluster::start(script.spec.clone())?;
    cluster.start_clients();
    let began = monotonic();
    let sleep_until = |at: Micros| {
        std::thread::sleep(Duration::from_micros((began + at).saturating_sub(monotonic())));
    };
    for step in script.steps.iter().take_while(|step| step.at <= script.span) {
        sleep_until(step.at);
        step.action.perform(&mut cluster)?;
    }
    sleep_until(script.span);
    Ok(cluster)
}
