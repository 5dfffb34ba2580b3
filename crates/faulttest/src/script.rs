//! A trial by a script: a fleet, and what happens to it when.

use crate::DatagramFaults;
use crate::cluster::{Cluster, ClusterSpec, HarnessError};
use crate::hollow::{HollowScript, hollow};
use crate::link::{ConnectionMode, Link, Party};
use crate::site_script::{SitesScript, sites};
use basaltward_config::xml::{Element, parse_validated};
use basaltward_config::{ConfigError, Fault};
use basaltward_net::{Micros, monotonic};
use std::path::Path;
use std::time::Duration;

const SCHEMA: &str = include_str!("../trial.xsd");

/// What happens at a time.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A scheduler is killed outright.
    Kill(usize),
    /// A scheduler is told to stop, and waited for.
    Stop(usize),
    /// A scheduler that is down is started.
    Start(usize),
    /// A scheduler stands still, or goes on.
    Stall(usize, bool),
    /// A scheduler reads its configuration anew.
    ReloadConfig(usize),
    /// A group is cut off from everybody, or taken up again.
    Partition(Vec<usize>, bool),
    /// All datagrams.
    AllDatagrams(DatagramFaults),
    /// The datagrams of one way.
    OneWayDatagrams(usize, usize, DatagramFaults),
    /// The connections of a link.
    Connections(Link, ConnectionMode),
}

/// An act at its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// From the start of the run.
    pub at: Micros,
    /// What happens.
    pub action: Action,
}

/// A trial.
#[derive(Clone, Debug)]
pub struct Script {
    /// The fleet.
    pub fleet: ClusterSpec,
    /// How long clients call.
    pub span: Micros,
    /// What happens, by time.
    pub steps: Vec<Step>,
}

/// What a script is of.
#[derive(Clone, Debug)]
pub enum LoadedScript {
    /// A fleet of schedulers.
    Fleet(Script),
    /// Sites of gateways.
    Sites(SitesScript),
    /// Hollow members beside real ones.
    Hollow(HollowScript),
}

/// Reads a script; the program is the one that its processes run. `seed` goes before the script's.
///
/// # Errors
/// All faults of the file.
pub fn load(path: &Path, program: &Path, seed: Option<u64>) -> Result<LoadedScript, ConfigError> {
    let told = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|source| ConfigError::File { path: told.clone(), source })?;
    parse_validated(&text, &told, SCHEMA, |root, faults| {
        let seed = seed.or_else(|| root.parse_attribute("seed", faults)).unwrap_or(1);
        match (root.child("sites"), root.child("hollow")) {
            (Some(_), _) => LoadedScript::Sites(sites(root, program, seed, faults)),
            (None, Some(part)) => LoadedScript::Hollow(hollow(part, program, seed, faults)),
            (None, None) => LoadedScript::Fleet(script(root, program, seed, faults)),
        }
    })
}

fn script(root: Element, program: &Path, seed: u64, faults: &mut Vec<Fault>) -> Script {
    let part = root.child("fleet").unwrap_or(root);
    let mut number = |name: &str, absent: u64| part.parse_attribute::<u64>(name, faults).unwrap_or(absent);
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
        let read = Reader { node, index: index as u64, fleet: &fleet };
        read.step(faults, &mut steps);
    }
    // Stable: of two at one time the one written first goes first.
    steps.sort_by_key(|step: &Step| step.at);
    Script { fleet, span, steps }
}

struct Reader<'a> {
    node: Element<'a>,
    index: u64,
    fleet: &'a ClusterSpec,
}

impl Reader<'_> {
    /// A told number below `count`, or one drawn by the seed and the step's place in the script.
    fn who(&self, name: &str, count: usize, faults: &mut Vec<Fault>) -> Option<usize> {
        let told = self.node.attribute(name);
        if told == Some("any") {
            return Some(Cluster::seeded_index(self.fleet.seed, self.index, count));
        }
        let number = told.and_then(|text| text.parse().ok()).filter(|n| *n < count);
        if number.is_none() {
            let most = count.saturating_sub(1);
            faults.push(self.node.fault(format!("this act needs {name}, any or from 0 to {most}")));
        }
        number
    }

    fn group(&self, faults: &mut Vec<Fault>) -> Option<Vec<usize>> {
        let told = self.node.attribute("group").unwrap_or_default();
        let group: Vec<usize> = told.split_whitespace().filter_map(|n| n.parse().ok()).collect();
        let good = !group.is_empty() && group.iter().all(|n| *n < self.fleet.schedulers);
        if !good {
            let most = self.fleet.schedulers - 1;
            faults.push(self.node.fault(format!("this act needs group, numbers from 0 to {most}")));
        }
        good.then_some(group)
    }

    fn loss(&self, faults: &mut Vec<Fault>) -> DatagramFaults {
        let share = |name: &str, faults: &mut Vec<Fault>| {
            self.node.parse_attribute::<f64>(name, faults).unwrap_or(0.0)
        };
        let usual = DatagramFaults::default();
        let late =
            self.node.parse_attribute::<u64>("late-ms", faults).map_or(usual.delay_range.1, |ms| ms * 1_000);
        DatagramFaults {
            loss_rate: share("lost", faults),
            duplicate_rate: share("doubled", faults),
            delay_range: (usual.delay_range.0, late),
        }
    }

    /// The step, and its end where it has one.
    fn step(&self, faults: &mut Vec<Fault>, steps: &mut Vec<Step>) {
        let at = self.node.parse_attribute::<u64>("ms", faults).unwrap_or(0) * 1_000;
        let lasts = self.node.parse_attribute::<u64>("for-ms", faults).map(|ms| ms * 1_000);
        let told = self.node.attribute("do").unwrap_or_default();
        let schedulers = self.fleet.schedulers;
        let link = |to, scheduler| Link { from: Party::Scheduler(scheduler), to };
        let worker = |stream: ConnectionMode, faults: &mut Vec<Fault>| {
            let scheduler = self.who("scheduler", schedulers, faults)?;
            let worker = self.who("worker", self.fleet.workers, faults)?;
            Some((Action::Connections(link(Party::Worker(worker), scheduler), stream), scheduler, worker))
        };
        let acts = match told {
            "kill" | "stop" | "start" | "reread" => {
                let Some(one) = self.who("scheduler", schedulers, faults) else { return };
                match told {
                    "kill" => (Action::Kill(one), Some(Action::Start(one))),
                    "stop" => (Action::Stop(one), Some(Action::Start(one))),
                    "start" => (Action::Start(one), None),
                    _ => (Action::ReloadConfig(one), None),
                }
            }
            "stall" => {
                let Some(one) = self.who("scheduler", schedulers, faults) else { return };
                (Action::Stall(one, true), Some(Action::Stall(one, false)))
            }
            "cut" => {
                let Some(group) = self.group(faults) else { return };
                (Action::Partition(group.clone(), true), Some(Action::Partition(group, false)))
            }
            "loss" => (
                Action::AllDatagrams(self.loss(faults)),
                Some(Action::AllDatagrams(DatagramFaults::default())),
            ),
            "one-way" => {
                let Some(one) = self.who("scheduler", schedulers, faults) else { return };
                let Some(to) = self.who("to", schedulers, faults) else { return };
                let end = Action::OneWayDatagrams(one, to, DatagramFaults::default());
                (
                    Action::OneWayDatagrams(one, to, DatagramFaults { loss_rate: 1.0, ..self.loss(faults) }),
                    Some(end),
                )
            }
            "late-bulletin" => {
                let Some(one) = self.who("scheduler", schedulers, faults) else { return };
                let link = link(Party::Bulletin, one);
                (
                    Action::Connections(link, ConnectionMode::Stall),
                    Some(Action::Connections(link, ConnectionMode::Pass)),
                )
            }
            _ => {
                let stream =
                    if told == "refuse-worker" { ConnectionMode::Refuse } else { ConnectionMode::Stall };
                let Some((act, one, to)) = worker(stream, faults) else { return };
                (act, Some(Action::Connections(link(Party::Worker(to), one), ConnectionMode::Pass)))
            }
        };
        steps.push(Step { at, action: acts.0 });
        let end = lasts.zip(acts.1).map(|(lasts, act)| Step { at: at + lasts, action: act });
        steps.extend(end);
    }
}

impl Action {
    /// Does it.
    ///
    /// # Errors
    /// Where a scheduler does not come up or does not end.
    pub fn perform(&self, bed: &mut Cluster) -> Result<(), HarnessError> {
        match self {
            Self::Kill(one) => bed.kill(*one),
            Self::Stop(one) => bed.stop(*one)?,
            Self::Start(one) => bed.start_scheduler(*one)?,
            Self::Stall(one, true) => bed.schedulers[*one].stall(),
            Self::Stall(one, false) => bed.schedulers[*one].resume(),
            Self::ReloadConfig(one) => bed.schedulers[*one].reload_config(),
            Self::Partition(group, cut) => bed.set_partition(group, *cut),
            Self::AllDatagrams(loss) => bed.set_all_datagram_faults(*loss),
            Self::OneWayDatagrams(from, to, loss) => {
                bed.set_datagram_faults(
                    Link { from: Party::Scheduler(*from), to: Party::Scheduler(*to) },
                    *loss,
                );
            }
            Self::Connections(link, stream) => bed.set_connection_mode(*link, *stream),
        }
        Ok(())
    }
}

/// Plays a script; gives the bed, its clients still calling, to be finished and judged.
///
/// # Errors
/// Where the bed can't be made, or a scheduler is not as the script has it.
pub fn run(script: &Script) -> Result<Cluster, HarnessError> {
    let mut bed = Cluster::start(script.fleet.clone())?;
    bed.start_clients();
    let began = monotonic();
    let until = |at: Micros| {
        std::thread::sleep(Duration::from_micros((began + at).saturating_sub(monotonic())));
    };
    for step in script.steps.iter().take_while(|step| step.at <= script.span) {
        until(step.at);
        step.action.perform(&mut bed)?;
    }
    until(script.span);
    Ok(bed)
}
