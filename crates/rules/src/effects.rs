//! Rule 2: no effect twice, and nothing untrue said about one.

use crate::answers::CROSSING_US;
use crate::check::{Breach, ClassRule, RepeatRule, RuleSettings, schedulers};
use crate::record::{FinalAnswer, Micros, Observation, Record};
use std::collections::{BTreeMap, BTreeSet};

/// Codes that prove that an attempt never ran.
const NEVER_RAN: [&str; 4] = ["ConnectFailed", "Full", "Miss", "Moot"];

/// The gateway of a scheduler, which is one of its loops.
fn gateway(by: &str) -> &str {
    by.rsplit_once('/').map_or(by, |(gateway, _)| gateway)
}

/// An attempt: when it was sent, its name, its worker.
type Out<'a> = (Micros, &'a str, &'a str);

/// Rule 2: no effect twice, no attempt that could bring that about, no untrue refusal.
pub(crate) fn effects(records: &[Record], settings: &RuleSettings) -> Vec<Breach> {
    let at = schedulers(records);
    let mut class: BTreeMap<&str, ClassRule> = BTreeMap::new();
    let mut asked: BTreeMap<u64, (&str, &str)> = BTreeMap::new();
    let mut ran: BTreeMap<&str, Vec<(Micros, &str, &str)>> = BTreeMap::new();
    let mut ran_attempts: BTreeSet<&str> = BTreeSet::new();
    // When each attempt reached its worker: from then on a group remembers its key.
    let mut arrived: BTreeMap<&str, Micros> = BTreeMap::new();
    // Tries of each event that are not answered yet.
    let mut open: BTreeMap<&str, u32> = BTreeMap::new();
    let mut left: BTreeMap<&str, Micros> = BTreeMap::new();
    // By gateway and event, over all its loops: attempts out or ended without proof.
    let mut sent: BTreeMap<(&str, &str), Vec<Out>> = BTreeMap::new();
    let mut begun: BTreeSet<&str> = BTreeSet::new();
    // Events that a scheduler does not see to: whether they were sent it can't know.
    let mut unowned: BTreeSet<&str> = BTreeSet::new();
    let mut proven: BTreeMap<&str, Micros> = BTreeMap::new();
    let mut breaches = Vec::new();
    let mut breach = |t, what: String| breaches.push(Breach { rule: 2, time: t, message: what });
    let repeat_of = |class: &BTreeMap<&str, ClassRule>, event: &str| {
        class.get(event).map_or(RepeatRule::Safe, |c| c.repeat)
    };
    for record in records {
        let t = record.time;
        if let Observation::ClientLeft { request_id: tried }
        | Observation::ConnectionLost { request_id: tried }
        | Observation::Answered { request_id: tried, .. } = &record.observation
        {
            let tries = asked.get(tried).and_then(|(event, _)| open.get_mut(event));
            tries.into_iter().for_each(|n| *n = n.saturating_sub(1));
        }
        match &record.observation {
            Observation::RequestSent { request_id: tried, event, class: name, to, .. } => {
                asked.insert(*tried, (event, to));
                *open.entry(event).or_default() += 1;
                if let Some(rule) = settings.classes.get(name) {
                    class.insert(event, *rule);
                }
            }
            Observation::Arrived { attempt, .. } => {
                arrived.insert(attempt, t);
            }
            Observation::Ran { event, attempt } => {
                let all = ran.entry(event).or_default();
                match repeat_of(&class, event) {
                    RepeatRule::Unsafe if !all.is_empty() => {
                        breach(t, format!("{event}: unsafe, ran {} times", all.len() + 1));
                    }
                    RepeatRule::Keyed { window, all: every } => {
                        let group = |worker: &str| settings.groups.get(worker);
                        let shares = |worker: &str| every || group(worker) == group(&record.observer);
                        let within = |(ran, _, first): &&(Micros, &str, &str)| {
                            t < arrived.get(first).unwrap_or(ran) + window
                        };
                        let before = all.iter().filter(|(_, worker, _)| shares(worker)).find(within);
                        if let Some((_, worker, first)) = before {
                            let by = &record.observer;
                            breach(t, format!("{event}: keyed, {first} ran at {worker}, {attempt} at {by}"));
                        }
                    }
                    _ => {}
                }
                all.push((t, &record.observer, attempt));
                ran_attempts.insert(attempt);
            }
            Observation::OwnerUnreachable { event } => {
                unowned.insert(event);
            }
            Observation::ClientLeft { request_id: tried }
            | Observation::ConnectionLost { request_id: tried } => {
                left.extend(asked.get(tried).map(|(event, _)| (*event, t)));
            }
            Observation::Answered { request_id: tried, answer: FinalAnswer::Failed, .. } => {
                let Some((event, to)) = asked.get(tried) else { continue };
                // Not for clients of one call that wait for it with others: it may still run. One who has
                // just left may still count as waiting at the gateway.
                let alone = left.get(event).is_none_or(|left| t > left + CROSSING_US);
                let never = !begun.contains(event) && open.get(event) == Some(&0) && alone;
                let never = never && !unowned.contains(event);
                if never && at.contains_key(to) {
                    breach(t, format!("{event}: failed although nothing of it was ever sent"));
                }
            }
            // What has left for another gateway may have been sent by it, whether that is known or not.
            Observation::HandedOver { event, .. } => {
                begun.insert(event);
            }
            Observation::Ended { attempt, code } if NEVER_RAN.contains(&code.as_str()) => {
                proven.insert(attempt, t);
            }
            Observation::Sent { event, attempt, worker } => {
                begun.insert(event);
                let all = sent.entry((gateway(&record.observer), event)).or_default();
                let maybe = all.iter().filter(|(_, earlier, _)| !proven.contains_key(earlier));
                match repeat_of(&class, event) {
                    RepeatRule::Safe => {}
                    RepeatRule::Unsafe => {
                        if let Some((_, earlier, _)) = maybe.clone().next() {
                            breach(
                                t,
                                format!("{event}: unsafe, {attempt} sent while {earlier} may have run"),
                            );
                        }
                    }
                    RepeatRule::Keyed { window, all: every } => {
                        for (before, earlier, other) in maybe {
                            let group = |w: &str| settings.groups.get(w);
                            if t > before + window {
                                breach(
                                    t,
                                    format!("{event}: keyed, {attempt} sent past the window of {earlier}"),
                                );
                            } else if !every && group(worker) != group(other) {
                                breach(
                                    t,
                                    format!("{event}: keyed, {attempt} sent outside the group of {earlier}"),
                                );
                            }
                        }
                    }
                }
                all.push((t, attempt, worker));
            }
            Observation::Answered { request_id: tried, answer: FinalAnswer::Refused, .. } => {
                let Some((event, to)) = asked.get(tried) else { continue };
                let free = match repeat_of(&class, event) {
                    RepeatRule::Safe => true,
                    RepeatRule::Keyed { all, .. } => all,
                    RepeatRule::Unsafe => false,
                };
                let here = at.get(to);
                let by_this = |attempt: &str| {
                    let name = attempt.rsplit_once(':').map_or("", |(name, _)| name);
                    here.is_some_and(|all| all.contains(name))
                };
                let all = ran.get(event).map(Vec::as_slice).unwrap_or_default();
                if let Some((.., attempt)) = all.iter().find(|(.., attempt)| !free && by_this(attempt)) {
                    breach(t, format!("{event}: refused although {attempt} ran"));
                }
            }
            _ => {}
        }
    }
    for (attempt, t) in proven.iter().filter(|(attempt, _)| ran_attempts.contains(*attempt)) {
        breach(*t, format!("{attempt} was taken for never run, but ran"));
    }
    breaches
}
