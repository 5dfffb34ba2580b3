//! Checker of a finished run of sites, over all processes together: from the traffic that crossed the relays and from
//! the records of clients, gateways and workers.

use crate::capture::ForwardedCall;
use crate::checker::{CallTarget, FleetViolation, Verdict, check_common, exit_violations};
use crate::journal_checker::check_journaled_events;
use crate::link::Party;
use crate::site_cluster::SiteCluster;
use basaltward_net::Micros;
use basaltward_rules::{FinalAnswer, Observation, Record, RepeatRule, RuleSettings};
use basaltward_scenario::rule_settings;
use std::collections::{BTreeMap, BTreeSet};

/// Results of the calls that clients sent to one site.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SiteCalls {
    /// Attempts sent to its gateways.
    pub attempts: u64,
    /// Attempts that were served.
    pub served: u64,
    /// Attempts that were refused.
    pub refused: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Calls sent to this site first, counted by the site whose workers executed them. A call that a client also sent
    /// to another site counts for that site if it ran there.
    pub ran_at: Vec<u64>,
    /// Calls that its gateways forwarded to others, as captured by the relays.
    pub forwarded: u64,
    /// Latencies of served attempts in microseconds, sorted.
    pub latencies: Vec<Micros>,
    /// Retries after a refusal, and how many of them were not refused.
    pub retried: (u64, u64),
    /// Calls served in each second since the clients' start.
    pub served_per_second: Vec<u64>,
}

impl SiteCalls {
    /// A percentile of the latencies; `share` from 0 to 1. 0 without any.
    pub fn latency(&self, share: f64) -> Micros {
        let last = self.latencies.len().saturating_sub(1);
        self.latencies.get((last as f64 * share) as usize).copied().unwrap_or(0)
    }
}

/// Result of checking a run of sites.
#[derive(Clone, Debug, Default)]
pub struct SitesVerdict {
    /// Breaches of the rules and other violations.
    pub verdict: Verdict,
    /// Results of calls, by the site they were sent to.
    pub sites: Vec<SiteCalls>,
    /// Number of acknowledged journaled events, and of these the number per outcome.
    pub journaled_events: (u64, BTreeMap<String, u64>),
}

/// Checks a finished run.
pub fn check_sites(cluster: &SiteCluster, records: &[Record]) -> SitesVerdict {
    let gateways = cluster.gateways.iter().zip(&cluster.listen_addresses).enumerate();
    let call_targets: Vec<CallTarget> = gateways.map(|(i, (p, at))| (*at, Party::Scheduler(i), p)).collect();
    let mut rules = rule_settings(&cluster.config, &[]);
    let workers = (0..cluster.workers.len()).map(|w| (Party::Worker(w).to_string(), w as u64));
    rules.groups = workers.collect();
    let (mut verdict, records) = check_common(records, &rules, (&call_targets, &cluster.network));
    for (w, process) in cluster.workers.iter().enumerate() {
        verdict.violations.extend(exit_violations(Party::Worker(w), process));
    }
    let captured = cluster.network.relay.captured();
    let sent = SentCalls::from_records(cluster, &records);
    verdict.violations.extend(duplicate_effects(&records, &rules, &sent));
    verdict.violations.extend(hop_violations(&captured.forwarded_calls, &sent));
    let (journaled_events, journal_violations) =
        check_journaled_events(&captured.journal_messages, cluster.spec.holders, &records);
    verdict.violations.extend(journal_violations);
    SitesVerdict {
        sites: by_site(cluster, &records, &captured.forwarded_calls, &sent),
        journaled_events,
        verdict,
    }
}

/// Calls that clients sent.
struct SentCalls<'a> {
    /// The first attempt of each event: its class and the gateway's number.
    first: BTreeMap<&'a str, (&'a str, usize)>,
    /// Events with each gateway they were sent to.
    at: BTreeSet<(&'a str, usize)>,
    /// Gateway numbers by address.
    gateways: BTreeMap<String, usize>,
}

impl<'a> SentCalls<'a> {
    fn from_records(cluster: &SiteCluster, records: &'a [Record]) -> Self {
        let gateways: BTreeMap<_, _> =
            cluster.listen_addresses.iter().enumerate().map(|(i, at)| (at.to_string(), i)).collect();
        let (mut first, mut at) = (BTreeMap::new(), BTreeSet::new());
        for record in records {
            let Observation::RequestSent { event, class, to, .. } = &record.observation else { continue };
            if let Some(gateway) = gateways.get(to) {
                first.entry(event.as_str()).or_insert((class.as_str(), *gateway));
                at.insert((event.as_str(), *gateway));
            }
        }
        Self { first, at, gateways }
    }
}

/// No keyed or unsafe event may take effect twice, at whichever sites it ran. A keyed event that a restarted worker ran
/// again is excused: the restart, an injected fault, lost the worker's memory of keys.
fn duplicate_effects(records: &[Record], rules: &RuleSettings, sent: &SentCalls) -> Vec<FleetViolation> {
    let (mut ran, mut started) =
        (BTreeMap::<&str, Vec<(Micros, &str)>>::new(), BTreeMap::<&str, Micros>::new());
    let mut found = BTreeSet::new();
    for record in records {
        match &record.observation {
            Observation::WorkerStarted { .. } => drop(started.insert(&record.observer, record.time)),
            Observation::Ran { event, .. } => {
                let repeat = sent.first.get(event.as_str()).and_then(|(class, _)| rules.classes.get(*class));
                let worker: &str = &record.observer;
                let all = ran.entry(event).or_default();
                let lost = |(t, by): &&(Micros, &str)| {
                    *by == worker && started.get(worker).is_some_and(|start| t < start)
                };
                let counts = match repeat.map(|class| class.repeat) {
                    Some(RepeatRule::Unsafe) => all.len(),
                    Some(RepeatRule::Keyed { .. }) => all.iter().filter(|ran| !lost(ran)).count(),
                    Some(RepeatRule::Safe) | None => 0,
                };
                all.push((record.time, worker));
                if counts > 0 {
                    found.insert(event.as_str());
                }
            }
            _ => {}
        }
    }
    let at = |event: &str| ran[event].iter().map(|(_, by)| (*by).to_owned()).collect();
    found.into_iter().map(|event| FleetViolation::DuplicateEffect(event.to_owned(), at(event))).collect()
}

/// A call may be forwarded at most once, both by its own hop count and by the links on which it was captured.
fn hop_violations(forwarded: &[ForwardedCall], sent: &SentCalls) -> BTreeSet<FleetViolation> {
    let mut found = BTreeSet::new();
    let mut reached: BTreeSet<(&str, usize)> = BTreeSet::new();
    for ForwardedCall { link, event, hops, .. } in forwarded {
        let (Party::Scheduler(from), Party::Scheduler(to)) = (link.from, link.to) else { continue };
        let reported = hops.unwrap_or(1);
        // The sender received the call from a gateway and not from a client, so this is a second hop.
        let second_hop = reached.contains(&(event, from)) && !sent.at.contains(&(event, from));
        if reported > 1 || second_hop {
            found.insert(FleetViolation::TooManyHops(event.clone(), reported.max(2)));
        }
        reached.insert((event, to));
    }
    found
}

/// Results of calls by site.
fn by_site(
    cluster: &SiteCluster,
    records: &[Record],
    forwarded: &[ForwardedCall],
    sent: &SentCalls,
) -> Vec<SiteCalls> {
    let blank = SiteCalls { ran_at: vec![0; cluster.spec.sites.len()], ..SiteCalls::default() };
    let mut sites = vec![blank; cluster.spec.sites.len()];
    let (gateway_sites, worker_sites) = &cluster.sites_of;
    let workers: BTreeMap<_, _> = worker_sites
        .iter()
        .enumerate()
        .map(|(worker, site)| (Party::Worker(worker).to_string(), *site))
        .collect();
    let (mut attempts_by_id, mut refused) = (BTreeMap::new(), BTreeSet::new());
    for Record { time, observer, observation } in records {
        match observation {
            Observation::RequestSent { request_id, event, to, .. } => {
                let Some(gateway) = sent.gateways.get(to) else { continue };
                let is_retry = refused.contains(event);
                attempts_by_id.insert(*request_id, (*time, gateway_sites[*gateway], event, is_retry));
                sites[gateway_sites[*gateway]].attempts += 1;
                sites[gateway_sites[*gateway]].retried.0 += u64::from(is_retry);
            }
            Observation::Answered { request_id, answer, .. } => {
                let Some((began, site, event, is_retry)) = attempts_by_id.get(request_id) else { continue };
                let site = &mut sites[*site];
                site.retried.1 += u64::from(*is_retry && *answer != FinalAnswer::Refused);
                match answer {
                    FinalAnswer::Served => {
                        site.served += 1;
                        site.latencies.push(time - began);
                        let second = (time.saturating_sub(cluster.clients_started_at) / 1_000_000) as usize;
                        site.served_per_second.resize(site.served_per_second.len().max(second + 1), 0);
                        site.served_per_second[second] += 1;
                    }
                    FinalAnswer::Refused => {
                        site.refused += 1;
                        refused.insert(*event);
                    }
                    FinalAnswer::Failed | FinalAnswer::Rejected => site.failed += 1,
                }
            }
            Observation::Ran { event, .. } => {
                if let Some(((_, gateway), ran_at)) =
                    sent.first.get(event.as_str()).zip(workers.get(observer))
                {
                    let sent_there = (0..gateway_sites.len())
                        .any(|i| gateway_sites[i] == *ran_at && sent.at.contains(&(event, i)));
                    let counted_site = if sent_there { *ran_at } else { gateway_sites[*gateway] };
                    sites[counted_site].ran_at[*ran_at] += 1;
                }
            }
            _ => {}
        }
    }
    for ForwardedCall { link, .. } in forwarded {
        if let Party::Scheduler(from) = link.from {
            sites[gateway_sites[from]].forwarded += 1;
        }
    }
    sites.iter_mut().for_each(|site| site.latencies.sort_unstable());
    sites
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::link::Link;
    use basaltward_rules::ClassRule;

    fn records(observations: &[(&str, Observation)]) -> Vec<Record> {
        let record = |(time, (observer, observation)): (usize, &(&str, Observation))| Record {
            time: time as Micros,
            observer: (*observer).into(),
            observation: observation.clone(),
        };
        observations.iter().enumerate().map(record).collect()
    }

    fn ran(at: &str) -> (&str, Observation) {
        (at, Observation::Ran { event: "e".into(), attempt: "n0/0:1".into() })
    }

    fn sent(class: &'static str) -> SentCalls<'static> {
        let (first, at) = (BTreeMap::from([("e", (class, 0))]), BTreeSet::from([("e", 0)]));
        SentCalls { first, at, gateways: BTreeMap::new() }
    }

    fn rules() -> RuleSettings {
        let keyed = RepeatRule::Keyed { window: 9, all: false };
        let all = [("safe", RepeatRule::Safe), ("keyed", keyed), ("unsafe", RepeatRule::Unsafe)];
        let class = |(name, repeat): (&str, RepeatRule)| {
            (name.to_owned(), ClassRule { repeat, aim: 1, value: 1.0, late_share: 0.0 })
        };
        RuleSettings {
            classes: all.into_iter().map(class).collect(),
            groups: BTreeMap::new(),
            drain_grace: 0,
            load_window: 0,
            load_free: 0.0,
            load_share: 0.0,
            initial_capacity_share: 0.2,
            warm_up_time: 1,
            overload_multiple: 3.0,
            overload_window: 1,
        }
    }

    #[test]
    fn duplicate_effects_are_found_across_workers() {
        let both = records(&[ran("s-0"), ran("s-4")]);
        let found = |class: &'static str, records: &[Record]| {
            duplicate_effects(records, &rules(), &sent(class)).len()
        };
        assert_eq!((found("safe", &both), found("keyed", &both), found("unsafe", &both)), (0, 1, 1));
        // A restarted worker has lost its memory of keys. This excuses a repeated keyed event, but no unsafe event.
        let started = ("s-0", Observation::WorkerStarted { capacity: 1.0, warm: true });
        let restarted = records(&[started.clone(), ran("s-0"), started.clone(), ran("s-0")]);
        assert_eq!((found("keyed", &restarted), found("unsafe", &restarted)), (0, 1));
        let not_restarted = records(&[started, ran("s-0"), ran("s-0")]);
        assert_eq!(found("keyed", &not_restarted), 1);
    }

    #[test]
    fn second_hop_is_found_by_its_hop_count_and_by_captured_links() {
        let forwarded = |from, to, hops| ForwardedCall {
            time: 0,
            link: Link { from: Party::Scheduler(from), to: Party::Scheduler(to) },
            event: "e".into(),
            hops,
        };
        let count = |all: &[ForwardedCall]| hop_violations(all, &sent("safe")).len();
        assert_eq!(
            count(&[forwarded(0, 1, Some(1)), forwarded(0, 2, Some(1))]),
            0,
            "sent to two sites, one hop each"
        );
        assert_eq!(count(&[forwarded(0, 1, Some(2))]), 1);
        assert_eq!(count(&[forwarded(0, 1, Some(1)), forwarded(1, 2, Some(1))]), 1, "the hop count is wrong");
    }
}
