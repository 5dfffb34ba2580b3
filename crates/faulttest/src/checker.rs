//! The verdict on a run: the five rules over all that was recorded, and what holds for a fleet of processes.

use crate::cluster::{CLASSES, Cluster};
use crate::link::{Link, Party};
use crate::network::Network;
use crate::process::{Process, StateChange};
use basaltward_net::Micros;
use basaltward_rules::{
    Breach, ClassRule, FinalAnswer, Observation, Record, RepeatRule, RuleSettings, check,
};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

/// After a fault ends clients and schedulers need this long to be at each other again.
const AFTER_US: Micros = 1_500_000;

/// What a fleet has done wrong that no rule names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FleetViolation {
    /// A process ended though nobody told it to.
    Crashed(String),
    /// It ended after SIGTERM, but not well.
    UncleanExit(String),
    /// It sent a datagram longer than the platform allows.
    OversizedDatagram(Link, u64),
    /// It sent datagrams from an address that is not its own.
    WrongSource(Link, u64),
    /// A scheduler, in one life, went back from a later life of another to an earlier one.
    StaleMemberState(String, u16),
    /// More may be out by what is agreed than the bound allows: of schedulers or workers, so many.
    PermitBoundExceeded(&'static str, usize),
    /// Two schedulers hold something else under one epoch and count.
    PermitFork((u64, u16), u32),
    /// Bytes crossed a way that was cut: the bed itself is broken.
    LinkLeak(Link, u64),
    /// A keyed or unsafe event had more than one effect, at these workers.
    DuplicateEffect(String, Vec<String>),
    /// An event was handed over so often.
    TooManyHops(String, u32),
    /// A kept event that was acknowledged did not end in one way, but in these.
    WrongEnd(String, Vec<String>),
    /// An event was said to have run nowhere, though it ran.
    FalseRefusal(String),
}

impl fmt::Display for FleetViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Crashed(name) => write!(f, "{name} ended by itself"),
            Self::UncleanExit(name) => write!(f, "{name} did not end well after SIGTERM"),
            Self::OversizedDatagram(way, count) => {
                write!(f, "{way}: {count} datagrams of more than 256 bytes")
            }
            Self::WrongSource(way, count) => write!(f, "{way}: {count} datagrams from another's address"),
            Self::StaleMemberState(by, of) => write!(f, "{by} went back to an earlier life of n{of}"),
            Self::PermitBoundExceeded(what, count) => write!(f, "{count} {what} may be out at once"),
            Self::PermitFork((ms, by), version) => {
                write!(f, "two are agreed under epoch {ms} of n{by}, version {version}")
            }
            Self::LinkLeak(way, bytes) => write!(f, "{way}: {bytes} bytes crossed it while it was cut"),
            Self::DuplicateEffect(event, at) => write!(f, "{event}: effects at {}", at.join(", ")),
            Self::TooManyHops(event, hops) => write!(f, "{event}: handed over {hops} times"),
            Self::WrongEnd(event, ways) if ways.is_empty() => {
                write!(f, "{event}: acknowledged as kept, and has no end")
            }
            Self::WrongEnd(event, ways) => write!(f, "{event}: ended as {}", ways.join(" and as ")),
            Self::FalseRefusal(event) => write!(f, "{event}: said to have run nowhere, but ran"),
        }
    }
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Broken rules.
    pub rule_breaches: Vec<Breach>,
    /// What else is wrong.
    pub violations: Vec<FleetViolation>,
    /// Calls asked, and of them served, refused and failed.
    pub calls: (u64, u64, u64, u64),
    /// Calls whose scheduler stood still, or whose way was cut, before they were answered: nothing is owed.
    pub excused: u64,
}

impl Verdict {
    /// Whether nothing is wrong.
    pub fn passed(&self) -> bool {
        self.rule_breaches.is_empty() && self.violations.is_empty()
    }
}

/// Judges a run that has finished.
pub fn check_cluster(bed: &Cluster, records: &[Record]) -> Verdict {
    let schedulers: Vec<_> = bed.schedulers.iter().enumerate().collect();
    let fronts: Vec<_> =
        schedulers.iter().map(|(i, p)| (bed.listens[*i], Party::Scheduler(*i), *p)).collect();
    let (mut verdict, records) = common(records, &rules(), (&fronts, &bed.network));
    verdict.violations.extend(ran_back(&records));
    verdict.violations.extend(permitted(bed, &records));
    verdict
}

/// A process that clients call: its own address, who it is, and what became of it.
pub(crate) type Front<'a> = (SocketAddr, Party, &'a Process);

/// What holds for all beds: the rules, with what the bed's own faults excuse taken out, and processes and ways as
/// they should be. Gives the records that were judged.
pub(crate) fn common(
    records: &[Record],
    rules: &RuleSettings,
    (fronts, ways): (&[Front], &Network),
) -> (Verdict, Vec<Record>) {
    let mut verdict = Verdict::default();
    let (records, excused) = excuse(records, &spells(fronts, ways));
    verdict.excused = excused;
    for record in &records {
        match &record.observation {
            Observation::RequestSent { .. } => verdict.calls.0 += 1,
            Observation::Answered { answer: FinalAnswer::Served, .. } => verdict.calls.1 += 1,
            Observation::Answered { answer: FinalAnswer::Refused, .. } => verdict.calls.2 += 1,
            Observation::Answered { .. } => verdict.calls.3 += 1,
            _ => {}
        }
    }
    verdict.rule_breaches = check(&records, rules);
    verdict.violations.extend(fronts.iter().flat_map(|(_, party, process)| ends(*party, process)));
    for (way, counts) in ways.relay.counts() {
        let found = [
            (counts.oversized, FleetViolation::OversizedDatagram as fn(_, _) -> _),
            (counts.wrong_source, FleetViolation::WrongSource),
        ];
        verdict.violations.extend(found.into_iter().filter(|(n, _)| *n > 0).map(|(n, what)| what(way, n)));
    }
    verdict.violations.extend(ways.leaks.iter().map(|(way, bytes)| FleetViolation::LinkLeak(*way, *bytes)));
    (verdict, records)
}

/// Ends of a process that nobody asked for, or that were not good.
pub(crate) fn ends(party: Party, process: &Process) -> Vec<FleetViolation> {
    let end = |(_, change): &(Micros, StateChange)| match change {
        StateChange::Crashed => Some(FleetViolation::Crashed(party.to_string())),
        StateChange::Ended(false) => Some(FleetViolation::UncleanExit(party.to_string())),
        _ => None,
    };
    process.changes.iter().filter_map(end).collect()
}

/// What each believed of the others' lives never runs back while it lives itself.
fn ran_back(records: &[Record]) -> BTreeSet<FleetViolation> {
    let mut known: BTreeMap<(&str, u16), (u64, u32)> = BTreeMap::new();
    let mut found = BTreeSet::new();
    for Record { observer: by, observation: what, .. } in records {
        match what {
            Observation::Up { .. } => known.retain(|(who, _), _| who != by),
            Observation::MemberState { member: of, start, refutations: bump, .. } => {
                let held = known.entry((by, *of)).or_default();
                if (*start, *bump) < *held {
                    found.insert(FleetViolation::StaleMemberState(by.clone(), *of));
                }
                *held = (*start, *bump);
            }
            _ => {}
        }
    }
    found
}

/// What is agreed is one thing at all, and permits no more to be out than the bound allows.
fn permitted(bed: &Cluster, records: &[Record]) -> BTreeSet<FleetViolation> {
    let mut found = BTreeSet::new();
    let Some(bounds) = bed.spec.bounds else { return found };
    let of = [
        ("schedulers", "scheduler ", bounds.schedulers.to_count(bed.schedulers.len())),
        ("workers", "worker ", bounds.workers.to_count(bed.workers.len())),
    ];
    let mut known: BTreeMap<((u64, u16), u32), &Vec<String>> = BTreeMap::new();
    for Record { observation: what, .. } in records {
        let Observation::PermitsUpdated { epoch, version, permits } = what else { continue };
        if *known.entry((*epoch, *version)).or_insert(permits) != permits {
            found.insert(FleetViolation::PermitFork(*epoch, *version));
        }
        for (what, kind, most) in of {
            let count = permits.iter().filter(|permit| permit.starts_with(kind)).count();
            if count > most {
                found.insert(FleetViolation::PermitBoundExceeded(what, count));
            }
        }
    }
    found
}

/// When clients of each scheduler's address could not reach it, by the bed's own faults: from, until.
fn spells(fronts: &[Front], ways: &Network) -> BTreeMap<String, Vec<(Micros, Micros)>> {
    let mut all: BTreeMap<String, Vec<(Micros, Micros)>> = BTreeMap::new();
    for (listens, party, process) in fronts {
        let spells = all.entry(listens.to_string()).or_default();
        let mut since = None;
        for (t, change) in &process.changes {
            match change {
                StateChange::Stalled => since = Some(*t),
                StateChange::Resumed => spells.extend(since.take().map(|from| (from, *t + AFTER_US))),
                StateChange::Killed | StateChange::Ended(_) => drop(since.get_or_insert(*t)),
                // Who comes up again has nothing left to catch up with.
                StateChange::Up => spells.extend(since.take().map(|from| (from, *t))),
                StateChange::Stopping | StateChange::Crashed => {}
            }
        }
        spells.extend(since.map(|from| (from, Micros::MAX)));
        let way = Link { from: Party::Clients, to: *party };
        let mut since = None;
        for (t, _, what) in ways.faults.iter().filter(|(_, on, _)| *on == way) {
            match (what.as_str(), since) {
                ("pass", Some(from)) => {
                    spells.push((from, *t + AFTER_US));
                    since = None;
                }
                ("pass", None) | (_, Some(_)) => {}
                (_, None) => since = Some(*t),
            }
        }
        spells.extend(since.map(|from| (from, Micros::MAX)));
    }
    all
}

/// Who could not be answered in time by the bed's own fault has left. Answers that came in time stay, and so
/// does all that rule 2 looks at.
fn excuse(records: &[Record], spells: &BTreeMap<String, Vec<(Micros, Micros)>>) -> (Vec<Record>, u64) {
    let mut ended = BTreeMap::new();
    for record in records {
        if let Observation::Answered { request_id: tried, .. }
        | Observation::ConnectionLost { request_id: tried } = &record.observation
        {
            ended.entry(*tried).or_insert(record);
        }
    }
    let mut touched = BTreeMap::new();
    for record in records {
        let Observation::RequestSent { request_id: tried, to, deadline, .. } = &record.observation else {
            continue;
        };
        let end = ended.get(tried);
        let in_time =
            |r: &&Record| matches!(r.observation, Observation::Answered { .. }) && r.time <= *deadline;
        if end.is_some_and(in_time) {
            continue;
        }
        let until = end.map_or(*deadline, |r| r.time);
        let here = spells.get(to).map(Vec::as_slice).unwrap_or_default();
        if here.iter().any(|(from, to)| *from <= until && record.time <= *to) {
            touched.insert(*tried, *deadline);
        }
    }
    let kept = |record: &&Record| match &record.observation {
        Observation::Answered { request_id: tried, .. }
        | Observation::ConnectionLost { request_id: tried } => !touched.contains_key(tried),
        _ => true,
    };
    let mut all: Vec<_> = records.iter().filter(kept).cloned().collect();
    let left = touched.iter().map(|(tried, deadline)| {
        let (t, what) = (*deadline, Observation::ClientLeft { request_id: *tried });
        Record { time: t, observer: "client".into(), observation: what }
    });
    all.extend(left);
    all.sort_by_key(|record| record.time);
    (all, touched.len() as u64)
}

/// The rules as the bed's configuration has them.
fn rules() -> RuleSettings {
    let class = |(name, _, repeat): &(&str, u64, &str)| {
        let repeat = if *repeat == "unsafe" { RepeatRule::Unsafe } else { RepeatRule::Safe };
        ((*name).to_owned(), ClassRule { repeat, aim: 1_000_000, value: 1.0, late_share: 0.0 })
    };
    RuleSettings {
        classes: CLASSES.iter().map(class).collect(),
        groups: BTreeMap::new(),
        // The rules' grace on sockets.
        drain_grace: 1_050_000,
        load_window: 0,
        load_free: 0.0,
        load_share: 0.0,
        initial_capacity_share: 0.2,
        warm_up_time: 16_000_000,
        overload_multiple: 4.0,
        overload_window: 1_500_000,
    }
}
