//! The verdict on a run of sites, over all processes as one: from what crossed the relays and what clients,
//! gateways and workers recorded.

use crate::capture::Handed;
use crate::checker::{Fleet, Front, Verdict, common, ends};
use crate::kept_checker::kept;
use crate::site_bed::SiteBed;
use crate::way::Party;
use basaltward_net::Micros;
use basaltward_rules::{FinalAnswer, Observation, Record, RepeatRule, RuleSettings};
use basaltward_scenario::rule_settings;
use std::collections::{BTreeMap, BTreeSet};

/// What became of the calls asked at one site.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SiteCalls {
    /// Tries sent to its gateways.
    pub asked: u64,
    /// Of them served, refused and failed.
    pub served: u64,
    /// See `served`.
    pub refused: u64,
    /// See `served`.
    pub failed: u64,
    /// Calls asked first at this site that workers of each site have run, by site. What a client has asked at
    /// another site too counts for that one where it ran there.
    pub ran_at: Vec<u64>,
    /// Calls that its gateways handed to others, as they crossed the relays.
    pub handed: u64,
    /// Times from a try to its reply, of those served, sorted.
    pub latencies: Vec<Micros>,
    /// Tries of clients that had been refused and came again, and of them those that were not refused.
    pub again: (u64, u64),
    /// Served in each second from the clients' beginning.
    pub seconds: Vec<u64>,
}

impl SiteCalls {
    /// A latency, by its place among all.
    pub fn latency(&self, share: f64) -> Micros {
        let last = self.latencies.len().saturating_sub(1);
        self.latencies.get((last as f64 * share) as usize).copied().unwrap_or(0)
    }
}

/// What a run of sites came to.
#[derive(Clone, Debug, Default)]
pub struct SitesVerdict {
    /// Broken rules, and what else is wrong.
    pub verdict: Verdict,
    /// Calls by the site at which they were asked.
    pub sites: Vec<SiteCalls>,
    /// Kept events that were acknowledged, and of them those that ended, by how.
    pub kept: (u64, BTreeMap<String, u64>),
}

/// Judges a run that has finished.
pub fn judge_sites(bed: &SiteBed, records: &[Record]) -> SitesVerdict {
    let gateways = bed.gateways.iter().zip(&bed.listens).enumerate();
    let fronts: Vec<Front> = gateways.map(|(i, (p, at))| (*at, Party::Scheduler(i), p)).collect();
    let mut rules = rule_settings(&bed.config, &[]);
    let workers = (0..bed.workers.len()).map(|w| (Party::Worker(w).to_string(), w as u64));
    rules.groups = workers.collect();
    let (mut verdict, records) = common(records, &rules, (&fronts, &bed.ways));
    for (w, process) in bed.workers.iter().enumerate() {
        verdict.fleet.extend(ends(Party::Worker(w), process));
    }
    let captured = bed.ways.relay.captured();
    let asked = Asked::of(bed, &records);
    verdict.fleet.extend(twice(&records, &rules, &asked));
    verdict.fleet.extend(hops(&captured.handed, &asked));
    let (kept, wrong) = kept(&captured.noted, bed.spec.holders, &records);
    verdict.fleet.extend(wrong);
    SitesVerdict { sites: by_site(bed, &records, &captured.handed, &asked), kept, verdict }
}

/// What clients asked.
struct Asked<'a> {
    /// The first try of each event: its class, and the gateway's number.
    first: BTreeMap<&'a str, (&'a str, usize)>,
    /// All events with the gateways at which they were asked.
    at: BTreeSet<(&'a str, usize)>,
    /// Gateways by address.
    gateways: BTreeMap<String, usize>,
}

impl<'a> Asked<'a> {
    fn of(bed: &SiteBed, records: &'a [Record]) -> Self {
        let gateways: BTreeMap<_, _> =
            bed.listens.iter().enumerate().map(|(i, at)| (at.to_string(), i)).collect();
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

/// No keyed or unsafe event has two effects, whichever sites ran it. One that a worker has run again after it
/// had lost its memory of keys is the bed's own doing.
fn twice(records: &[Record], rules: &RuleSettings, asked: &Asked) -> Vec<Fleet> {
    let (mut ran, mut born) = (BTreeMap::<&str, Vec<(Micros, &str)>>::new(), BTreeMap::<&str, Micros>::new());
    let mut found = BTreeSet::new();
    for record in records {
        match &record.observation {
            Observation::WorkerStarted { .. } => drop(born.insert(&record.observer, record.time)),
            Observation::Ran { event, .. } => {
                let repeat = asked.first.get(event.as_str()).and_then(|(class, _)| rules.classes.get(*class));
                let here: &str = &record.observer;
                let all = ran.entry(event).or_default();
                let lost = |(t, by): &&(Micros, &str)| *by == here && born.get(here).is_some_and(|b| t < b);
                let counts = match repeat.map(|class| class.repeat) {
                    Some(RepeatRule::Unsafe) => all.len(),
                    Some(RepeatRule::Keyed { .. }) => all.iter().filter(|ran| !lost(ran)).count(),
                    Some(RepeatRule::Safe) | None => 0,
                };
                all.push((record.time, here));
                if counts > 0 {
                    found.insert(event.as_str());
                }
            }
            _ => {}
        }
    }
    let at = |event: &str| ran[event].iter().map(|(_, by)| (*by).to_owned()).collect();
    found.into_iter().map(|event| Fleet::Twice(event.to_owned(), at(event))).collect()
}

/// A call is handed over once at most: by what it says itself, and by the ways on which it was seen.
fn hops(handed: &[Handed], asked: &Asked) -> BTreeSet<Fleet> {
    let mut found = BTreeSet::new();
    let mut reached: BTreeSet<(&str, usize)> = BTreeSet::new();
    for Handed { way, event, hops, .. } in handed {
        let (Party::Scheduler(from), Party::Scheduler(to)) = (way.from, way.to) else { continue };
        let told = hops.unwrap_or(1);
        // Who got it from a gateway and from no client hands it on.
        let passed = reached.contains(&(event, from)) && !asked.at.contains(&(event, from));
        if told > 1 || passed {
            found.insert(Fleet::Hops(event.clone(), told.max(2)));
        }
        reached.insert((event, to));
    }
    found
}

fn by_site(bed: &SiteBed, records: &[Record], handed: &[Handed], asked: &Asked) -> Vec<SiteCalls> {
    let blank = SiteCalls { ran_at: vec![0; bed.spec.sites.len()], ..SiteCalls::default() };
    let mut sites = vec![blank; bed.spec.sites.len()];
    let (of, at) = &bed.of;
    let workers: BTreeMap<_, _> =
        at.iter().enumerate().map(|(w, s)| (Party::Worker(w).to_string(), *s)).collect();
    let (mut tries, mut refused) = (BTreeMap::new(), BTreeSet::new());
    for Record { time: t, observer: by, observation: what } in records {
        match what {
            Observation::RequestSent { request_id: tried, event, to, .. } => {
                let Some(gateway) = asked.gateways.get(to) else { continue };
                let again = refused.contains(event);
                tries.insert(*tried, (*t, of[*gateway], event, again));
                sites[of[*gateway]].asked += 1;
                sites[of[*gateway]].again.0 += u64::from(again);
            }
            Observation::Answered { request_id: tried, answer, .. } => {
                let Some((began, site, event, again)) = tries.get(tried) else { continue };
                let site = &mut sites[*site];
                site.again.1 += u64::from(*again && *answer != FinalAnswer::Refused);
                match answer {
                    FinalAnswer::Served => {
                        site.served += 1;
                        site.latencies.push(t - began);
                        let second = (t.saturating_sub(bed.began) / 1_000_000) as usize;
                        site.seconds.resize(site.seconds.len().max(second + 1), 0);
                        site.seconds[second] += 1;
                    }
                    FinalAnswer::Refused => {
                        site.refused += 1;
                        refused.insert(*event);
                    }
                    FinalAnswer::Failed | FinalAnswer::Rejected => site.failed += 1,
                }
            }
            Observation::Ran { event, .. } => {
                if let Some(((_, gateway), at)) = asked.first.get(event.as_str()).zip(workers.get(by)) {
                    let there = (0..of.len()).any(|i| of[i] == *at && asked.at.contains(&(event, i)));
                    let asked_at = if there { *at } else { of[*gateway] };
                    sites[asked_at].ran_at[*at] += 1;
                }
            }
            _ => {}
        }
    }
    for Handed { way, .. } in handed {
        if let Party::Scheduler(from) = way.from {
            sites[of[from]].handed += 1;
        }
    }
    sites.iter_mut().for_each(|site| site.latencies.sort_unstable());
    sites
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::way::Way;
    use basaltward_rules::ClassRule;

    fn records(told: &[(&str, Observation)]) -> Vec<Record> {
        let record = |(t, (by, what)): (usize, &(&str, Observation))| Record {
            time: t as Micros,
            observer: (*by).into(),
            observation: what.clone(),
        };
        told.iter().enumerate().map(record).collect()
    }

    fn ran(at: &str) -> (&str, Observation) {
        (at, Observation::Ran { event: "e".into(), attempt: "n0/0:1".into() })
    }

    fn asked(class: &'static str) -> Asked<'static> {
        let (first, at) = (BTreeMap::from([("e", (class, 0))]), BTreeSet::from([("e", 0)]));
        Asked { first, at, gateways: BTreeMap::new() }
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
    fn two_effects_are_found_wherever_they_are() {
        let both = records(&[ran("s-0"), ran("s-4")]);
        let found = |class: &'static str, records: &[Record]| twice(records, &rules(), &asked(class)).len();
        assert_eq!((found("safe", &both), found("keyed", &both), found("unsafe", &both)), (0, 1, 1));
        // A worker that was started anew has lost its keys: that is the bed's doing, but excuses no unsafe event.
        let born = ("s-0", Observation::WorkerStarted { capacity: 1.0, warm: true });
        let anew = records(&[born.clone(), ran("s-0"), born.clone(), ran("s-0")]);
        assert_eq!((found("keyed", &anew), found("unsafe", &anew)), (0, 1));
        let same_life = records(&[born, ran("s-0"), ran("s-0")]);
        assert_eq!(found("keyed", &same_life), 1);
    }

    #[test]
    fn a_second_hop_is_found_by_what_it_says_and_by_where_it_was_seen() {
        let handed = |from, to, hops| Handed {
            t: 0,
            way: Way { from: Party::Scheduler(from), to: Party::Scheduler(to) },
            event: "e".into(),
            hops,
        };
        let count = |all: &[Handed]| hops(all, &asked("safe")).len();
        assert_eq!(
            count(&[handed(0, 1, Some(1)), handed(0, 2, Some(1))]),
            0,
            "tried at two sites, a hop each"
        );
        assert_eq!(count(&[handed(0, 1, Some(2))]), 1);
        assert_eq!(count(&[handed(0, 1, Some(1)), handed(1, 2, Some(1))]), 1, "it lies about its hops");
    }
}
