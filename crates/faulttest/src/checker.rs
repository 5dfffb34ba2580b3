//! Checker of a finished run: checks the five rules over the recorded history and the invariants of a fleet of
//! processes.

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

/// Time that clients and schedulers need to reconnect after a fault has ended.
const RECOVERY_US: Micros = 1_500_000;

/// Violations by a fleet of processes that none of the five rules covers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FleetViolation {
    /// A process exited without having been stopped.
    Crashed(String),
    /// A process exited after SIGTERM with a failure status.
    UncleanExit(String),
    /// Datagrams of more than the 256 bytes that the platform allows: the link and their number.
    OversizedDatagram(Link, u64),
    /// Datagrams from an address that is not the sender's own: the link and their number.
    WrongSource(Link, u64),
    /// A scheduler went back from a later incarnation of a member to an earlier one without a restart in between: its
    /// name and the member's number.
    StaleMemberState(String, u16),
    /// The agreed permits allow more schedulers or workers to be down at once than the bound: which of them, and how
    /// many.
    PermitBoundExceeded(&'static str, usize),
    /// Two schedulers have different permits under this epoch and version.
    PermitFork((u64, u16), u32),
    /// Bytes crossed a link while it was cut, which is a fault of the harness itself: the link and their number.
    LinkLeak(Link, u64),
    /// A keyed or unsafe event took effect more than once: its name and the workers.
    DuplicateEffect(String, Vec<String>),
    /// A call was forwarded more than once: the event's name and the number of hops.
    TooManyHops(String, u32),
    /// An acknowledged journaled event did not end, or a journal ended it twice: its name and the outcomes.
    WrongEnd(String, Vec<String>),
    /// An event was refused as not executed, though a worker executed it.
    FalseRefusal(String),
}

impl fmt::Display for FleetViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Crashed(name) => write!(f, "{name} exited by itself"),
            Self::UncleanExit(name) => write!(f, "{name} exited with a failure status after SIGTERM"),
            Self::OversizedDatagram(link, count) => {
                write!(f, "{link}: {count} datagrams of more than 256 bytes")
            }
            Self::WrongSource(link, count) => {
                write!(f, "{link}: {count} datagrams from an address that is not the sender's")
            }
            Self::StaleMemberState(by, of) => write!(f, "{by} went back to an earlier incarnation of n{of}"),
            Self::PermitBoundExceeded(subjects, count) => write!(f, "{count} {subjects} may be down at once"),
            Self::PermitFork((ms, by), version) => {
                write!(f, "two permit states are agreed under epoch {ms} of n{by}, version {version}")
            }
            Self::LinkLeak(link, bytes) => write!(f, "{link}: {bytes} bytes crossed it while it was cut"),
            Self::DuplicateEffect(event, at) => {
                write!(f, "{event}: took effect more than once, at {}", at.join(", "))
            }
            Self::TooManyHops(event, hops) => write!(f, "{event}: forwarded {hops} times"),
            Self::WrongEnd(event, outcomes) if outcomes.is_empty() => {
                write!(f, "{event}: acknowledged by its holders, but never ended")
            }
            Self::WrongEnd(event, outcomes) => write!(f, "{event}: ended as {}", outcomes.join(" and as ")),
            Self::FalseRefusal(event) => write!(f, "{event}: refused as not executed, but was executed"),
        }
    }
}

/// Result of checking a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Breaches of the five rules.
    pub rule_breaches: Vec<Breach>,
    /// Other violations by the fleet.
    pub violations: Vec<FleetViolation>,
    /// Calls sent, and of these served, refused and failed.
    pub calls: (u64, u64, u64, u64),
    /// Calls that an injected fault (a paused or stopped scheduler, a cut link) prevented from being answered; the
    /// rules do not apply to them.
    pub excused: u64,
}

impl Verdict {
    /// Whether there are no breaches and no violations.
    pub fn passed(&self) -> bool {
        self.rule_breaches.is_empty() && self.violations.is_empty()
    }
}

/// Checks a finished run.
pub fn check_cluster(cluster: &Cluster, records: &[Record]) -> Verdict {
    let schedulers: Vec<_> = cluster.schedulers.iter().enumerate().collect();
    let call_targets: Vec<_> =
        schedulers.iter().map(|(i, p)| (cluster.listen_addresses[*i], Party::Scheduler(*i), *p)).collect();
    let (mut verdict, records) = check_common(records, &rules(), (&call_targets, &cluster.network));
    verdict.violations.extend(stale_member_states(&records));
    verdict.violations.extend(permit_violations(cluster, &records));
    verdict
}

/// A process that clients call: its own address, its party and its state changes.
pub(crate) type CallTarget<'a> = (SocketAddr, Party, &'a Process);

/// Checks that apply to every cluster: the rules, without the calls that injected faults excuse, and the invariants of
/// processes and network. Also returns the records that were checked.
pub(crate) fn check_common(
    records: &[Record],
    rules: &RuleSettings,
    (call_targets, network): (&[CallTarget], &Network),
) -> (Verdict, Vec<Record>) {
    let mut verdict = Verdict::default();
    let (records, excused) = excuse(records, &fault_intervals(call_targets, network));
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
    verdict
        .violations
        .extend(call_targets.iter().flat_map(|(_, party, process)| exit_violations(*party, process)));
    for (link, counts) in network.relay.counts() {
        let found = [
            (counts.oversized, FleetViolation::OversizedDatagram as fn(_, _) -> _),
            (counts.wrong_source, FleetViolation::WrongSource),
        ];
        verdict.violations.extend(
            found
                .into_iter()
                .filter(|(count, _)| *count > 0)
                .map(|(count, violation)| violation(link, count)),
        );
    }
    verdict
        .violations
        .extend(network.leaks.iter().map(|(link, bytes)| FleetViolation::LinkLeak(*link, *bytes)));
    (verdict, records)
}

/// Unexpected exits and failed stops of a process.
pub(crate) fn exit_violations(party: Party, process: &Process) -> Vec<FleetViolation> {
    let end = |(_, change): &(Micros, StateChange)| match change {
        StateChange::Crashed => Some(FleetViolation::Crashed(party.to_string())),
        StateChange::Exited(false) => Some(FleetViolation::UncleanExit(party.to_string())),
        _ => None,
    };
    process.changes.iter().filter_map(end).collect()
}

/// Between two of its own restarts, a scheduler never goes back to an earlier incarnation of another member.
fn stale_member_states(records: &[Record]) -> BTreeSet<FleetViolation> {
    let mut latest_states: BTreeMap<(&str, u16), (u64, u32)> = BTreeMap::new();
    let mut found = BTreeSet::new();
    for Record { observer, observation, .. } in records {
        match observation {
            Observation::Up { .. } => latest_states.retain(|(by, _), _| by != observer),
            Observation::MemberState { member, start, refutations, .. } => {
                let latest = latest_states.entry((observer, *member)).or_default();
                if (*start, *refutations) < *latest {
                    found.insert(FleetViolation::StaleMemberState(observer.clone(), *member));
                }
                *latest = (*start, *refutations);
            }
            _ => {}
        }
    }
    found
}

/// All schedulers agree on the same permits per epoch and version, and these never exceed the bounds.
fn permit_violations(cluster: &Cluster, records: &[Record]) -> BTreeSet<FleetViolation> {
    let mut found = BTreeSet::new();
    let Some(bounds) = cluster.spec.bounds else { return found };
    let limits = [
        ("schedulers", "scheduler ", bounds.schedulers.to_count(cluster.schedulers.len())),
        ("workers", "worker ", bounds.workers.to_count(cluster.workers.len())),
    ];
    let mut agreed_permits: BTreeMap<((u64, u16), u32), &Vec<String>> = BTreeMap::new();
    for Record { observation, .. } in records {
        let Observation::PermitsUpdated { epoch, version, permits } = observation else { continue };
        if *agreed_permits.entry((*epoch, *version)).or_insert(permits) != permits {
            found.insert(FleetViolation::PermitFork(*epoch, *version));
        }
        for (subjects, prefix, max) in limits {
            let count = permits.iter().filter(|permit| permit.starts_with(prefix)).count();
            if count > max {
                found.insert(FleetViolation::PermitBoundExceeded(subjects, count));
            }
        }
    }
    found
}

/// Intervals in which injected faults cut clients off from a scheduler, by its address.
fn fault_intervals(
    call_targets: &[CallTarget],
    network: &Network,
) -> BTreeMap<String, Vec<(Micros, Micros)>> {
    let mut all: BTreeMap<String, Vec<(Micros, Micros)>> = BTreeMap::new();
    for (address, party, process) in call_targets {
        let intervals = all.entry(address.to_string()).or_default();
        let mut since = None;
        for (t, change) in &process.changes {
            match change {
                StateChange::Stalled => since = Some(*t),
                StateChange::Resumed => intervals.extend(since.take().map(|from| (from, *t + RECOVERY_US))),
                StateChange::Killed | StateChange::Exited(_) => drop(since.get_or_insert(*t)),
                // After a restart there is no backlog to recover from.
                StateChange::Up => intervals.extend(since.take().map(|from| (from, *t))),
                StateChange::Stopping | StateChange::Crashed => {}
            }
        }
        intervals.extend(since.map(|from| (from, Micros::MAX)));
        let link = Link { from: Party::Clients, to: *party };
        let mut since = None;
        for (t, _, fault) in network.fault_log.iter().filter(|(_, on, _)| *on == link) {
            match (fault.as_str(), since) {
                ("pass", Some(from)) => {
                    intervals.push((from, *t + RECOVERY_US));
                    since = None;
                }
                ("pass", None) | (_, Some(_)) => {}
                (_, None) => since = Some(*t),
            }
        }
        intervals.extend(since.map(|from| (from, Micros::MAX)));
    }
    all
}

/// Turns each call that injected faults prevented from being answered in time into one whose client left at the
/// deadline. Answers that came in time stay, and so do all records that rule 2 needs. Also returns the number of these
/// calls.
fn excuse(
    records: &[Record],
    fault_intervals: &BTreeMap<String, Vec<(Micros, Micros)>>,
) -> (Vec<Record>, u64) {
    let mut ended = BTreeMap::new();
    for record in records {
        if let Observation::Answered { request_id, .. } | Observation::ConnectionLost { request_id } =
            &record.observation
        {
            ended.entry(*request_id).or_insert(record);
        }
    }
    let mut excused = BTreeMap::new();
    for record in records {
        let Observation::RequestSent { request_id, to, deadline, .. } = &record.observation else {
            continue;
        };
        let end = ended.get(request_id);
        let in_time =
            |r: &&Record| matches!(r.observation, Observation::Answered { .. }) && r.time <= *deadline;
        if end.is_some_and(in_time) {
            continue;
        }
        let until = end.map_or(*deadline, |r| r.time);
        let intervals = fault_intervals.get(to).map(Vec::as_slice).unwrap_or_default();
        if intervals.iter().any(|(from, to)| *from <= until && record.time <= *to) {
            excused.insert(*request_id, *deadline);
        }
    }
    let is_retained = |record: &&Record| match &record.observation {
        Observation::Answered { request_id, .. } | Observation::ConnectionLost { request_id } => {
            !excused.contains_key(request_id)
        }
        _ => true,
    };
    let mut all: Vec<_> = records.iter().filter(is_retained).cloned().collect();
    let left = excused.iter().map(|(request_id, deadline)| {
        let (time, observation) = (*deadline, Observation::ClientLeft { request_id: *request_id });
        Record { time, observer: "client".into(), observation }
    });
    all.extend(left);
    all.sort_by_key(|record| record.time);
    (all, excused.len() as u64)
}

/// The settings of the rules that match the cluster's configuration.
fn rules() -> RuleSettings {
    let class = |(name, _, repeat): &(&str, u64, &str)| {
        let repeat = if *repeat == "unsafe" { RepeatRule::Unsafe } else { RepeatRule::Safe };
        ((*name).to_owned(), ClassRule { repeat, aim: 1_000_000, value: 1.0, late_share: 0.0 })
    };
    RuleSettings {
        classes: CLASSES.iter().map(class).collect(),
        groups: BTreeMap::new(),
        // The grace that the rules allow when calls cross real sockets.
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
