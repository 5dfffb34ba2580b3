//! Reads the `hollow` element of a script.

use super::conditions::{Delays, NetworkConditions, Partition};
use super::topology::Topology;
use basaltward_config::Fault;
use basaltward_config::xml::Element;
use basaltward_net::{Micros, monotonic};
use std::path::{Path, PathBuf};

/// Members per event loop if the script does not set the number of loops. One core can run this many during a storm of
/// membership changes.
const MEMBERS_PER_LOOP: usize = 500;
/// Maximum number of event loops if the script does not set it. This leaves cores for real processes on a machine with
/// eight cores.
const MAX_DEFAULT_LOOPS: usize = 4;
/// Calls per second of one scheduler in the capacity plan: 240,000 over 1,900 schedulers.
const CALLS_PER_S: f64 = 126.0;

/// Parameters of a fleet of hollow and real members.
#[derive(Clone, Debug)]
pub struct HollowSpec {
    /// The program that the real members run.
    pub program: PathBuf,
    /// Number of hollow members.
    pub hollow_members: usize,
    /// Number of real members; they come first in the list.
    pub real_members: usize,
    /// Initial state of the simulated network.
    pub conditions: NetworkConditions,
    /// Whether members agree on permits, with the default bounds.
    pub permits: bool,
    /// Average number of calls per second that each hollow member reports.
    pub calls_per_s: f64,
    /// Time over which the starts of hollow members are spread evenly, in microseconds.
    pub start_us: Micros,
    /// Time limit for the fleet to agree after each step, in microseconds.
    pub settle_us: Micros,
    /// Number of event loops for hollow members, each with its own thread.
    pub loops: usize,
    /// Factor by which the clock of hollow members is slower than the machine's; must be 1 with real members.
    pub pace: u64,
    /// Seed of every random choice.
    pub seed: u64,
}

/// Action of a step. After all but the first three, the run waits until all members agree.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HollowAction {
    /// Measures the idle traffic and processor time of members.
    MeasureIdle {
        /// Pause before the measurement in microseconds, in which members refill their traffic budgets for storms.
        after: Micros,
        /// Length of the measurement in microseconds.
        span: Micros,
    },
    /// Sets the loss and duplication of datagrams from now on.
    Loss {
        /// Share of datagrams that are lost.
        loss_rate: f64,
        /// Share of datagrams that are duplicated.
        duplicate_rate: f64,
    },
    /// Queries a hollow member drawn by the seed, as an operator does, whether another may be taken down, until it
    /// answers yes.
    Permit,
    /// Kills this number of hollow members at once: neighbours in the list within one zone, drawn by the seed.
    KillMembers(usize),
    /// Kills all members of a zone at once.
    KillZone(usize),
    /// Starts all dead members again.
    StartDeadMembers,
    /// Partitions a zone or region for a time in microseconds; the run waits for agreement after the partition has
    /// ended.
    Partition(Partition, Micros),
}

/// A step of a script.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HollowStep {
    /// The action.
    pub action: HollowAction,
}

/// A script for a fleet with hollow members.
#[derive(Clone, Debug)]
pub struct HollowScript {
    /// Parameters of the fleet.
    pub spec: HollowSpec,
    /// Steps, performed one after another.
    pub steps: Vec<HollowStep>,
}

impl HollowSpec {
    /// Current time on the clock of hollow members.
    pub(crate) fn now(&self) -> Micros {
        monotonic() / self.pace.max(1)
    }

    /// Converts a duration on the clock of hollow members to the machine's clock.
    pub(crate) fn machine_time(&self, span: Micros) -> Micros {
        span.saturating_mul(self.pace.max(1))
    }

    /// Total number of hollow and real members.
    pub fn members(&self) -> usize {
        self.hollow_members + self.real_members
    }
}

/// Reads the element `hollow`, which has been validated by the schema.
pub(crate) fn read_hollow(part: Element, program: &Path, seed: u64, faults: &mut Vec<Fault>) -> HollowScript {
    let spec = spec(part, program, seed, faults);
    let steps =
        part.children_named("step").into_iter().filter_map(|node| step(node, &spec, faults)).collect();
    HollowScript { spec, steps }
}

fn spec(part: Element, program: &Path, seed: u64, faults: &mut Vec<Fault>) -> HollowSpec {
    let mut number = |name: &str, default: usize| part.parse_attribute(name, faults).unwrap_or(default);
    let (count, real) = (number("count", 1), number("real", 0));
    let topology =
        Topology { members: count + real, zones: number("zones", 1), regions: number("regions", 1) };
    let loops = number("loops", count.div_ceil(MEMBERS_PER_LOOP).clamp(1, MAX_DEFAULT_LOOPS));
    let settle_us = number("settle-ms", 60_000) as Micros * 1_000;
    let start_us = number("start-ms", 0) as Micros * 1_000;
    let pace = number("pace", 1) as u64;
    let defaults = Delays::default();
    let mut share = |name: &str, default: f64| part.parse_attribute(name, faults).unwrap_or(default);
    let mut delay = |name: &str, default: Micros| (share(name, default as f64 / 1e3) * 1e3) as Micros;
    let delays = Delays {
        within_zone_us: delay("zone-ms", defaults.within_zone_us),
        between_zones_us: delay("zones-ms", defaults.between_zones_us),
        between_regions_us: delay("regions-ms", defaults.between_regions_us),
    };
    let (jitter, calls_per_s) = (share("jitter", 0.1), share("calls-per-s", CALLS_PER_S));
    let (loss_rate, duplicate_rate) = (share("lost", 0.0), share("doubled", 0.0));
    if topology.zones > topology.members {
        faults.push(part.fault(format!("zones must not exceed the number of members, {}", topology.members)));
    }
    if topology.regions > topology.zones {
        faults.push(part.fault(format!("regions must not exceed the number of zones, {}", topology.zones)));
    }
    if topology.zones <= topology.members && real > topology.members / topology.zones {
        let most = topology.members / topology.zones;
        faults.push(
            part.fault(format!("real must be at most {most}, as all real members are in the first zone")),
        );
    }
    if pace > 1 && real > 0 {
        faults.push(part.fault("pace must be 1 with real members, whose clock is the machine's"));
    }
    let conditions =
        NetworkConditions { topology, delays, jitter, loss_rate, duplicate_rate, partition: None };
    HollowSpec {
        program: program.into(),
        hollow_members: count,
        real_members: real,
        conditions,
        permits: part.bool_attribute("permits").unwrap_or_default(),
        calls_per_s,
        start_us,
        settle_us,
        loops,
        pace,
        seed,
    }
}

fn step(node: Element, spec: &HollowSpec, faults: &mut Vec<Fault>) -> Option<HollowStep> {
    let Topology { zones, regions, .. } = spec.conditions.topology;
    let duration = node.parse_attribute::<Micros>("for-ms", faults).map(|ms| ms * 1_000);
    let below = |name: &str, bound: usize, faults: &mut Vec<Fault>| {
        let value = node.parse_attribute::<usize>(name, faults)?;
        if value >= bound {
            faults.push(node.fault(format!("{name}: from 0 to {}", bound.saturating_sub(1))));
        }
        (value < bound).then_some(value)
    };
    let zone = below("zone", zones, faults);
    let region = below("region", regions, faults);
    let members = node.parse_attribute::<usize>("members", faults);
    let before = faults.len();
    let action = match (node.attribute("do").unwrap_or_default(), zone, region, members, duration) {
        ("quiet", None, None, None, Some(span)) => {
            let after = node.parse_attribute::<Micros>("after-ms", faults).unwrap_or_default() * 1_000;
            HollowAction::MeasureIdle { after, span }
        }
        ("loss", None, None, None, None) => {
            let mut share = |name: &str| node.parse_attribute::<f64>(name, faults).unwrap_or(0.0);
            HollowAction::Loss { loss_rate: share("lost"), duplicate_rate: share("doubled") }
        }
        ("start", None, None, None, None) => HollowAction::StartDeadMembers,
        ("permit", None, None, None, None) if spec.permits => HollowAction::Permit,
        ("kill", Some(zone), None, None, None) => HollowAction::KillZone(zone),
        ("kill", None, None, Some(members), None) => {
            let most = max_neighbours(spec);
            if members > most {
                faults.push(
                    node.fault(format!("members must be at most {most}, the hollow members of one zone")),
                );
            }
            HollowAction::KillMembers(members)
        }
        ("cut", Some(zone), None, None, Some(span)) => HollowAction::Partition(Partition::Zone(zone), span),
        ("cut", None, Some(region), None, Some(span)) => {
            HollowAction::Partition(Partition::Region(region), span)
        }
        (name, ..) => {
            let needs = match name {
                "quiet" => "for-ms and, optionally, after-ms",
                "loss" => "lost and doubled, and no other attribute",
                "start" => "no other attribute",
                "permit" => "permits=\"true\" of <hollow>, and no other attribute",
                "kill" => "either members or zone, and no other attribute",
                _ => "for-ms and either zone or region",
            };
            faults.push(node.fault(format!("do=\"{name}\" needs {needs}")));
            return None;
        }
    };
    (faults.len() == before).then_some(HollowStep { action })
}

/// Number of hollow members in the zone from which the members to kill are drawn: any but the first, if there are several zones.
fn max_neighbours(spec: &HollowSpec) -> usize {
    let topology = spec.conditions.topology;
    match topology.zones {
        0 | 1 => spec.hollow_members,
        zones => topology.members / zones,
    }
}
