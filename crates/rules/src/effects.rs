//! Rule 2: no effect twice, and no untrue answer about an effect.

use crate::answers::RACE_TOLERANCE_US;
use crate::check::{Breach, ClassRule, RepeatRule, RuleSettings, schedulers_by_address};
use crate::record::{FinalAnswer, Micros, Observation, Record};
use std::collections::{BTreeMap, BTreeSet};

/// Result codes that prove that an attempt never ran.
const NEVER_RAN: [&str; 4] = ["ConnectFailed", "Full", "Miss", "Moot"];

/// The gateway of a scheduler: the part of its name before the number of the event loop.
fn gateway(scheduler: &str) -> &str {
    scheduler.rsplit_once('/').map_or(scheduler, |(gateway, _)| gateway)
}

/// An attempt: when it was sent, its name, its worker.
type SentAttempt<'a> = (Micros, &'a str, &'a str);

/// Rule 2: no effect twice, no attempt that could cause one twice, no untrue refusal or failure.
pub(crate) fn effects(records: &[Record], settings: &RuleSettings) -> Vec<Breach> {
    let schedulers = schedulers_by_address(records);
    let mut classes: BTreeMap<&str, ClassRule> = BTreeMap::new();
    // By request: its event, and the address that it was sent to.
    let mut requests: BTreeMap<u64, (&str, &str)> = BTreeMap::new();
    // By event: when it ran, on which worker, by which attempt.
    let mut runs: BTreeMap<&str, Vec<(Micros, &str, &str)>> = BTreeMap::new();
    let mut ran_attempts: BTreeSet<&str> = BTreeSet::new();
    // When each attempt reached its worker: the group remembers its key from then on.
    let mut arrived: BTreeMap<&str, Micros> = BTreeMap::new();
    // Number of unanswered requests of each event.
    let mut open: BTreeMap<&str, u32> = BTreeMap::new();
    // When a client of each event last left.
    let mut last_left: BTreeMap<&str, Micros> = BTreeMap::new();
    // By gateway (all its event loops) and event: the attempts sent.
    let mut sent: BTreeMap<(&str, &str), Vec<SentAttempt>> = BTreeMap::new();
    // Events of which an attempt may have been sent.
    let mut maybe_sent: BTreeSet<&str> = BTreeSet::new();
    // Events answered by a scheduler that does not own them, which can't know whether an attempt was sent.
    let mut owner_unreachable: BTreeSet<&str> = BTreeSet::new();
    // Attempts that ended with proof that they never ran, and when.
    let mut never_ran: BTreeMap<&str, Micros> = BTreeMap::new();
    let mut breaches = Vec::new();
    let mut breach = |time, message: String| breaches.push(Breach { rule: 2, time, message });
    let repeat_of = |classes: &BTreeMap<&str, ClassRule>, event: &str| {
        classes.get(event).map_or(RepeatRule::Safe, |class| class.repeat)
    };
    for record in records {
        let t = record.time;
        if let Observation::ClientLeft { request_id }
        | Observation::ConnectionLost { request_id }
        | Observation::Answered { request_id, .. } = &record.observation
        {
            let count = requests.get(request_id).and_then(|(event, _)| open.get_mut(event));
            count.into_iter().for_each(|n| *n = n.saturating_sub(1));
        }
        match &record.observation {
            Observation::RequestSent { request_id, event, class, to, .. } => {
                requests.insert(*request_id, (event, to));
                *open.entry(event).or_default() += 1;
                if let Some(rule) = settings.classes.get(class) {
                    classes.insert(event, *rule);
                }
            }
            Observation::Arrived { attempt, .. } => {
                arrived.insert(attempt, t);
            }
            Observation::Ran { event, attempt } => {
                let earlier_runs = runs.entry(event).or_default();
                match repeat_of(&classes, event) {
                    RepeatRule::Unsafe if !earlier_runs.is_empty() => {
                        breach(t, format!("{event}: unsafe, ran {} times", earlier_runs.len() + 1));
                    }
                    RepeatRule::Keyed { window, all } => {
                        let group = |worker: &str| settings.groups.get(worker);
                        let shares_keys = |worker: &str| all || group(worker) == group(&record.observer);
                        let within_window = |(ran, _, first): &&(Micros, &str, &str)| {
                            t < arrived.get(first).unwrap_or(ran) + window
                        };
                        let repeated = earlier_runs
                            .iter()
                            .filter(|(_, worker, _)| shares_keys(worker))
                            .find(within_window);
                        if let Some((_, worker, first)) = repeated {
                            let by = &record.observer;
                            breach(
                                t,
                                format!("{event}: keyed, {first} ran on {worker} and {attempt} on {by}"),
                            );
                        }
                    }
                    _ => {}
                }
                earlier_runs.push((t, &record.observer, attempt));
                ran_attempts.insert(attempt);
            }
            Observation::OwnerUnreachable { event } => {
                owner_unreachable.insert(event);
            }
            Observation::ClientLeft { request_id } | Observation::ConnectionLost { request_id } => {
                last_left.extend(requests.get(request_id).map(|(event, _)| (*event, t)));
            }
            Observation::Answered { request_id, answer: FinalAnswer::Failed, .. } => {
                let Some((event, to)) = requests.get(request_id) else { continue };
                // The call may still run while other clients wait for it. The gateway may still count a client
                // that has just left as waiting.
                let no_recent_leaver = last_left.get(event).is_none_or(|left| t > left + RACE_TOLERANCE_US);
                let never_sent =
                    !maybe_sent.contains(event) && open.get(event) == Some(&0) && no_recent_leaver;
                let never_sent = never_sent && !owner_unreachable.contains(event);
                if never_sent && schedulers.contains_key(to) {
                    breach(t, format!("{event}: answered as failed although no attempt was ever sent"));
                }
            }
            // The gateway that a call was handed over to may have sent it, whether or not that was recorded.
            Observation::HandedOver { event, .. } => {
                maybe_sent.insert(event);
            }
            Observation::Ended { attempt, code } if NEVER_RAN.contains(&code.as_str()) => {
                never_ran.insert(attempt, t);
            }
            Observation::Sent { event, attempt, worker } => {
                maybe_sent.insert(event);
                let attempts = sent.entry((gateway(&record.observer), event)).or_default();
                let may_have_run = attempts.iter().filter(|(_, earlier, _)| !never_ran.contains_key(earlier));
                match repeat_of(&classes, event) {
                    RepeatRule::Safe => {}
                    RepeatRule::Unsafe => {
                        if let Some((_, earlier, _)) = may_have_run.clone().next() {
                            breach(
                                t,
                                format!("{event}: unsafe, {attempt} sent while {earlier} may have run"),
                            );
                        }
                    }
                    RepeatRule::Keyed { window, all } => {
                        for (sent_at, earlier, other) in may_have_run {
                            let group = |worker: &str| settings.groups.get(worker);
                            if t > sent_at + window {
                                breach(
                                    t,
                                    format!("{event}: keyed, {attempt} sent past the window of {earlier}"),
                                );
                            } else if !all && group(worker) != group(other) {
                                breach(
                                    t,
                                    format!("{event}: keyed, {attempt} sent outside the group of {earlier}"),
                                );
                            }
                        }
                    }
                }
                attempts.push((t, attempt, worker));
            }
            Observation::Answered { request_id, answer: FinalAnswer::Refused, .. } => {
                let Some((event, to)) = requests.get(request_id) else { continue };
                // A retry does no harm wherever it goes, even after a run.
                let repeatable = match repeat_of(&classes, event) {
                    RepeatRule::Safe => true,
                    RepeatRule::Keyed { all, .. } => all,
                    RepeatRule::Unsafe => false,
                };
                let at_address = schedulers.get(to);
                let sent_from_there = |attempt: &str| {
                    let scheduler = attempt.rsplit_once(':').map_or("", |(scheduler, _)| scheduler);
                    at_address.is_some_and(|all| all.contains(scheduler))
                };
                let all = runs.get(event).map(Vec::as_slice).unwrap_or_default();
                let untrue = all.iter().find(|(.., attempt)| !repeatable && sent_from_there(attempt));
                if let Some((.., attempt)) = untrue {
                    breach(t, format!("{event}: refused although {attempt} ran"));
                }
            }
            _ => {}
        }
    }
    for (attempt, t) in never_ran.iter().filter(|(attempt, _)| ran_attempts.contains(*attempt)) {
        breach(*t, format!("{attempt} was reported as never run, but it ran"));
    }
    breaches
}
