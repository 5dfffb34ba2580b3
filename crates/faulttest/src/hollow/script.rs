//! The part of a script that asks for hollow members.

use super::conditions::{Delays, NetworkConditions, Partition};
use super::topology::Topology;
use basaltward_config::Fault;
use basaltward_config::xml::Element;
use basaltward_net::{Micros, monotonic};
use std::path::{Path, PathBuf};

/// Members for each loop, where the script does not say how many loops there are: one core carries them in a storm.
const LOOP_MEMBERS: usize = 500;
/// Loops unless told: they leave room for real processes on a machine of eight cores.
const MOST_LOOPS: usize = 4;
/// Calls that a scheduler serves in a second by the capacity plan: 240,000 over 1,900.
const CALLS_PER_S: f64 = 126.0;

/// A fleet of hollow and real members.
#[derive(Clone, Debug)]
pub struct HollowSpec {
    /// The program that real members run.
    pub program: PathBuf,
    /// Hollow members.
    pub count: usize,
    /// Real members: the first of the list.
    pub real: usize,
    /// How links are at first.
    pub conditions: NetworkConditions,
    /// Whether members agree on who may be out, with the usual bounds.
    pub permits: bool,
    /// Calls that each hollow member tells of in a second, on average.
    pub calls_per_member_s: f64,
    /// Hollow members start evenly over this time.
    pub start_us: Micros,
    /// How long the fleet may take to agree after each step.
    pub settle_us: Micros,
    /// Loops that carry the hollow members, each a thread.
    pub loops: usize,
    /// The clock of hollow members runs so many times slower than the machine's; 1 beside real members.
    pub pace: u64,
    /// Every choice follows from it.
    pub seed: u64,
}

/// What a step does. All but the first three are followed by waiting until all members agree.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HollowAction {
    /// Nothing, for a time: what members spend at rest is measured.
    MeasureIdle {
        /// Not measured yet for so long: what members saved up for a storm is renewed.
        after: Micros,
        /// Measured for so long.
        span: Micros,
    },
    /// From now on datagrams are lost and doubled by these shares.
    Loss {
        /// Share lost.
        lost: f64,
        /// Share that comes twice.
        doubled: f64,
    },
    /// A hollow member, drawn by the seed, is asked as by an operator whether another would be permitted to be out, until
    /// the answer is yes.
    Permit,
    /// So many hollow members of one zone die at once: neighbours, drawn by the seed.
    KillMembers(usize),
    /// All members of a zone die at once.
    KillZone(usize),
    /// All that are dead start again.
    Start,
    /// A zone or region is cut off for a time; the waiting begins as the cut ends.
    Partition(Partition, Micros),
}

/// A step of a script, with its place in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HollowStep {
    /// What happens.
    pub action: HollowAction,
}

/// A trial of hollow members.
#[derive(Clone, Debug)]
pub struct HollowScript {
    /// The fleet.
    pub spec: HollowSpec,
    /// One after another.
    pub steps: Vec<HollowStep>,
}

impl HollowSpec {
    /// Now, on the clock of hollow members.
    pub(crate) fn now(&self) -> Micros {
        monotonic() / self.pace.max(1)
    }

    /// How long a time on their clock takes on the machine's.
    pub(crate) fn machine_time(&self, span: Micros) -> Micros {
        span.saturating_mul(self.pace.max(1))
    }

    /// Hollow and real members.
    pub fn members(&self) -> usize {
        self.count + self.real
    }
}

/// Reads the element `hollow`, which the schema has checked.
pub(crate) fn hollow(part: Element, program: &Path, seed: u64, faults: &mut Vec<Fault>) -> HollowScript {
    let spec = spec(part, program, seed, faults);
    let steps =
        part.children_named("step").into_iter().filter_map(|node| step(node, &spec, faults)).collect();
    HollowScript { spec, steps }
}

fn spec(part: Element, program: &Path, seed: u64, faults: &mut Vec<Fault>) -> HollowSpec {
    let mut number = |name: &str, absent: usize| part.parse_attribute(name, faults).unwrap_or(absent);
    let (count, real) = (number("count", 1), number("real", 0));
    let topology =
        Topology { members: count + real, zones: number("zones", 1), regions: number("regions", 1) };
    let loops = number("loops", count.div_ceil(LOOP_MEMBERS).clamp(1, MOST_LOOPS));
    let settle_us = number("settle-ms", 60_000) as Micros * 1_000;
    let start_us = number("start-ms", 0) as Micros * 1_000;
    let pace = number("pace", 1) as u64;
    let usual = Delays::default();
    let mut share = |name: &str, absent: f64| part.parse_attribute(name, faults).unwrap_or(absent);
    let mut delay = |name: &str, absent: Micros| (share(name, absent as f64 / 1e3) * 1e3) as Micros;
    let delays = Delays {
        within_zone_us: delay("zone-ms", usual.within_zone_us),
        between_zones_us: delay("zones-ms", usual.between_zones_us),
        between_regions_us: delay("regions-ms", usual.between_regions_us),
    };
    let (jitter, calls_per_s) = (share("jitter", 0.1), share("calls-per-s", CALLS_PER_S));
    let (lost, doubled) = (share("lost", 0.0), share("doubled", 0.0));
    if topology.zones > topology.members {
        faults.push(part.fault(format!("zones: at most one for each of {} members", topology.members)));
    }
    if topology.regions > topology.zones {
        faults.push(part.fault(format!("regions: at most one for each of {} zones", topology.zones)));
    }
    if topology.zones <= topology.members && real > topology.members / topology.zones {
        let most = topology.members / topology.zones;
        faults.push(part.fault(format!("real: at most {most}, as all of them stand in the first zone")));
    }
    if pace > 1 && real > 0 {
        faults.push(part.fault("pace: 1 beside real members, whose clock is the machine's"));
    }
    let conditions = NetworkConditions {
        topology,
        delays,
        jitter,
        loss_rate: lost,
        duplicate_rate: doubled,
        partition: None,
    };
    HollowSpec {
        program: program.into(),
        count,
        real,
        conditions,
        permits: part.bool_attribute("permits").unwrap_or_default(),
        calls_per_member_s: calls_per_s,
        start_us,
        settle_us,
        loops,
        pace,
        seed,
    }
}

fn step(node: Element, spec: &HollowSpec, faults: &mut Vec<Fault>) -> Option<HollowStep> {
    let Topology { zones, regions, .. } = spec.conditions.topology;
    let lasts = node.parse_attribute::<Micros>("for-ms", faults).map(|ms| ms * 1_000);
    let below = |name: &str, bound: usize, faults: &mut Vec<Fault>| {
        let told = node.parse_attribute::<usize>(name, faults)?;
        if told >= bound {
            faults.push(node.fault(format!("{name}: from 0 to {}", bound.saturating_sub(1))));
        }
        (told < bound).then_some(told)
    };
    let zone = below("zone", zones, faults);
    let region = below("region", regions, faults);
    let members = node.parse_attribute::<usize>("members", faults);
    let before = faults.len();
    let act = match (node.attribute("do").unwrap_or_default(), zone, region, members, lasts) {
        ("quiet", None, None, None, Some(span)) => {
            let after = node.parse_attribute::<Micros>("after-ms", faults).unwrap_or_default() * 1_000;
            HollowAction::MeasureIdle { after, span }
        }
        ("loss", None, None, None, None) => {
            let mut share = |name: &str| node.parse_attribute::<f64>(name, faults).unwrap_or(0.0);
            HollowAction::Loss { lost: share("lost"), doubled: share("doubled") }
        }
        ("start", None, None, None, None) => HollowAction::Start,
        ("permit", None, None, None, None) if spec.permits => HollowAction::Permit,
        ("kill", Some(zone), None, None, None) => HollowAction::KillZone(zone),
        ("kill", None, None, Some(members), None) => {
            let most = most_neighbours(spec);
            if members > most {
                faults.push(node.fault(format!("members: at most {most}, the hollow members of one zone")));
            }
            HollowAction::KillMembers(members)
        }
        ("cut", Some(zone), None, None, Some(lasts)) => HollowAction::Partition(Partition::Zone(zone), lasts),
        ("cut", None, Some(region), None, Some(lasts)) => {
            HollowAction::Partition(Partition::Region(region), lasts)
        }
        (told, ..) => {
            let needs = match told {
                "quiet" => "for-ms, after-ms at most",
                "loss" => "lost and doubled alone",
                "start" => "no other attribute",
                "permit" => "permits=\"true\" of <hollow>, and no other attribute",
                "kill" => "either members or zone, and no other attribute",
                _ => "for-ms and either zone or region",
            };
            faults.push(node.fault(format!("do=\"{told}\" needs {needs}")));
            return None;
        }
    };
    (faults.len() == before).then_some(HollowStep { action: act })
}

/// Hollow members in the zone that is drawn from: any but the first, where there are several.
fn most_neighbours(spec: &HollowSpec) -> usize {
    let topology = spec.conditions.topology;
    match topology.zones {
        0 | 1 => spec.count,
        zones => topology.members / zones,
    }
}
