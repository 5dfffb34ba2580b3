//! The script of one run: start of all members, a quiet time, the kill of one member, of a rack and of a zone, and a
//! partition of the regions that heals.

use super::fleet::{Cost, Fleet, SECOND_US, Settled};
use super::layout::Layout;
use crate::memory::resident;
use basaltward_membership::{MemberId, Micros};
use std::error::Error;
use std::time::Duration;

/// Virtual time that a fleet is left alone after it has settled, before the next step.
const CALM_US: Micros = 5 * SECOND_US;
/// Virtual time over which the cost of a quiet fleet is measured.
const QUIET_US: Micros = 10 * SECOND_US;
/// Virtual time for which the regions are partitioned.
const PARTITION_US: Micros = 60 * SECOND_US;
/// The zone that is killed.
const ZONE_KILLED: MemberId = 2;

/// Measurements of one run; `None` for those not reached within its wall time.
#[derive(Debug, Default)]
pub struct Measured {
    /// Time until all members agree after the start of all.
    pub start: Option<Settled>,
    /// Time until all members agree after one was killed.
    pub kill_one: Option<Settled>,
    /// Time until all members agree after a rack was killed.
    pub kill_rack: Option<Settled>,
    /// Time until all members agree after a zone was killed.
    pub kill_zone: Option<Settled>,
    /// Time until all members agree after the partition of the regions healed.
    pub heal_region: Option<Settled>,
    /// Bytes a second per member while the fleet is quiet.
    pub bytes_quiet: Option<f64>,
    /// Most bytes of one member in a second of any storm, which is the time from a fault until all members agree.
    pub bytes_storm_worst: Option<u64>,
    /// Processor microseconds a second per member while the fleet is quiet.
    pub processor_quiet: Option<f64>,
    /// Processor microseconds a second per member during the storms.
    pub processor_storm: Option<f64>,
    /// Resident bytes per member, including network and meters of the simulation.
    pub memory: Option<f64>,
    /// Name, outcome and cost of each storm.
    pub storms: Vec<(&'static str, Settled, Cost)>,
}

/// Runs the script; `report` receives a line for each storm.
///
/// # Errors
/// If the settings are invalid or the resident size of the process can't be read.
pub fn play(
    fleet: &mut Fleet,
    layout: &Layout,
    bound: Micros,
    report: &mut impl FnMut(&str),
) -> Result<Measured, Box<dyn Error>> {
    let mut measured = Measured::default();
    let all = fleet.members();
    let before = resident()?;
    let started = fleet.measure(|fleet| -> Result<Settled, Box<dyn Error>> {
        fleet.start(&all)?;
        Ok(fleet.settle(bound))
    });
    let mut storms = Storms { members: all.len(), ..Storms::default() };
    measured.start = storms.add("start of all", started.0?, started.1, report, fleet);
    measured.memory = Some((resident()? - before).max(0.0) / all.len() as f64);
    fleet.advance_by(CALM_US);
    let ((), quiet) = fleet.measure(|fleet| fleet.advance_by(QUIET_US));
    if quiet.span == QUIET_US {
        measured.bytes_quiet = Some(quiet.bytes as f64 / seconds(quiet.span) / all.len() as f64);
        measured.processor_quiet = Some(micros(quiet.processor) / seconds(quiet.span) / all.len() as f64);
    }
    let zone = layout.members_of_zone(ZONE_KILLED);
    let rack: Vec<_> = layout.members_of_rack().collect();
    for (name, killed, value) in [
        ("kill of one", &zone[..zone.len().min(1)], &mut measured.kill_one),
        ("kill of a rack", &rack, &mut measured.kill_rack),
        ("kill of a zone", &zone, &mut measured.kill_zone),
    ] {
        let (settled, cost) = fleet.measure(|fleet| {
            fleet.kill(killed);
            fleet.settle(bound)
        });
        *value = storms.add(name, settled, cost, report, fleet);
        let (restarted, cost) = fleet.measure(|fleet| -> Result<Settled, Box<dyn Error>> {
            fleet.start(killed)?;
            Ok(fleet.settle(bound))
        });
        storms.add("  and restart", restarted?, cost, report, fleet);
        fleet.advance_by(CALM_US);
    }
    let ((), cost) = fleet.measure(|fleet| {
        fleet.set_regions_partitioned(true);
        fleet.advance_by(PARTITION_US);
    });
    storms.worst = storms.worst.max(cost.worst_bytes_per_s);
    let (healed, cost) = fleet.measure(|fleet| {
        fleet.set_regions_partitioned(false);
        fleet.settle(bound)
    });
    measured.heal_region = storms.add("heal of a region", healed, cost, report, fleet);
    measured.bytes_storm_worst = Some(storms.worst);
    measured.processor_storm =
        (storms.span > 0).then(|| micros(storms.processor) / seconds(storms.span) / all.len() as f64);
    measured.storms = storms.all;
    Ok(measured)
}

/// The storms of a run and their sums.
#[derive(Default)]
struct Storms {
    members: usize,
    worst: u64,
    span: Micros,
    processor: Duration,
    all: Vec<(&'static str, Settled, Cost)>,
}

impl Storms {
    fn add(
        &mut self,
        name: &'static str,
        settled: Settled,
        cost: Cost,
        report: &mut impl FnMut(&str),
        fleet: &Fleet,
    ) -> Option<Settled> {
        if settled == Settled::OutOfTime {
            return None;
        }
        self.worst = self.worst.max(cost.worst_bytes_per_s);
        self.span += cost.span;
        self.processor += cost.processor;
        self.all.push((name, settled, cost));
        let correct = match settled {
            Settled::After(_) => String::new(),
            _ => format!(", {:.3}% of entries correct", fleet.correct_share() * 100.0),
        };
        let mean = cost.bytes as f64 / seconds(cost.span) / self.members as f64;
        report(&format!(
            "{name}: {}{correct}; {mean:.0} B/s per member, worst second {} B, {:.0} us/s",
            super::report::settled_text(Some(settled)),
            cost.worst_bytes_per_s,
            micros(cost.processor) / seconds(cost.span) / self.members as f64,
        ));
        Some(settled)
    }
}

fn seconds(span: Micros) -> f64 {
    (span as f64 / SECOND_US as f64).max(f64::MIN_POSITIVE)
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}
