//! Checks journaled events by the journal messages that crossed the relays: each event that enough holders acknowledged
//! must end, with one outcome, and that outcome must be true.

use crate::capture::{JournalMessage, event_name};
use crate::checker::FleetViolation;
use basaltward_net::{Clock, Micros};
use basaltward_pending::{FrameFact, Key, Outcome, Source, Step};
use basaltward_rules::{Observation, Record};
use std::collections::{BTreeMap, BTreeSet};

/// A pending event must end by its deadline plus this: a gateway that takes it over first waits for leases and
/// permits.
const END_SLACK_US: Micros = 2_000_000;

/// Number of acknowledged journaled events, and of these the number per outcome.
pub(crate) type JournaledCounts = (u64, BTreeMap<String, u64>);

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Refused => "refused",
        Outcome::Failed => "failed",
    }
}

/// Captured state of one event.
#[derive(Default)]
struct Event {
    name: String,
    deadline: Micros,
    /// Whether enough holders acknowledged an entry that accepted it.
    acknowledged: bool,
    /// Journal entries that accepted the event (`None`) or ended it (with the outcome).
    entries: BTreeMap<(Source, u64), Option<&'static str>>,
    /// Outcomes that gateways report to one another after they have taken the event over.
    takeover_outcomes: BTreeSet<&'static str>,
}

impl Event {
    fn outcomes(&self) -> BTreeSet<&'static str> {
        self.entries.values().flatten().chain(&self.takeover_outcomes).copied().collect()
    }

    /// Whether a journal ends the event twice without accepting it again in between. An entry between the two that
    /// was not captured may have accepted it, so the two ends count only if all entries between them were captured.
    fn ended_twice(&self, journals: &BTreeMap<Source, Journal>) -> bool {
        let entries: Vec<_> = self.entries.iter().collect();
        entries.windows(2).any(|pair| {
            let ((source, first), (other, second)) = (pair[0].0, pair[1].0);
            let captured =
                |n| journals.get(source).is_some_and(|journal| journal.captured_entries.contains(&n));
            source == other
                && pair.iter().all(|(_, outcome)| outcome.is_some())
                && (first + 1..*second).all(captured)
        })
    }
}

/// Captured state of one journal.
#[derive(Default)]
struct Journal {
    /// Numbers of the entries whose content was captured.
    captured_entries: BTreeSet<u64>,
    /// Entries that accepted an event: its key, the gateways the entry was sent to, and those that acknowledged it.
    accepted: BTreeMap<u64, (Key, BTreeSet<usize>, BTreeSet<usize>)>,
}

/// Checks all journal messages until the time of the last record.
pub(crate) fn check_journaled_events(
    messages: &[JournalMessage],
    holders: usize,
    records: &[Record],
) -> (JournaledCounts, Vec<FleetViolation>) {
    let clock = Clock::read();
    let (mut events, mut journals) = (BTreeMap::<Key, Event>::new(), BTreeMap::<Source, Journal>::new());
    for JournalMessage { from, to, content, .. } in messages {
        if let FrameFact::Entry(source, number, _) = content {
            journals.entry(*source).or_default().captured_entries.insert(*number);
        }
        match content {
            FrameFact::Entry(source, number, Step::Accepted(accepted)) => {
                let event = events.entry(accepted.key).or_default();
                event.name = event_name(accepted);
                event.deadline = event.deadline.max(clock.to_monotonic(accepted.deadline * 1_000));
                event.entries.insert((*source, *number), None);
                let entries = &mut journals.entry(*source).or_default().accepted;
                let entry =
                    entries.entry(*number).or_insert((accepted.key, BTreeSet::new(), BTreeSet::new()));
                entry.1.insert(*to);
            }
            FrameFact::Entry(source, number, Step::Ended { key, outcome, .. }) => {
                let event = events.entry(*key).or_default();
                event.entries.insert((*source, *number), Some(outcome_name(*outcome)));
            }
            FrameFact::Entry(_, _, Step::Sending { .. }) => {}
            FrameFact::Ended(key, outcome) => {
                events.entry(*key).or_default().takeover_outcomes.insert(outcome_name(*outcome));
            }
            FrameFact::Acked(source, through) => {
                let Some(journal) = journals.get_mut(source) else { continue };
                for (key, sent, acked) in journal.accepted.range_mut(..=through).map(|(_, entry)| entry) {
                    if sent.contains(from) && acked.insert(*from) && acked.len() >= holders {
                        events.entry(*key).or_default().acknowledged = true;
                    }
                }
            }
        }
    }
    let ran = records.iter().filter_map(|record| match &record.observation {
        Observation::Ran { event, .. } => Some(event.as_str()),
        _ => None,
    });
    let (ran, last) = (ran.collect::<BTreeSet<_>>(), records.last().map_or(0, |record| record.time));
    let (mut acknowledged, mut counts, mut violations) = (0, BTreeMap::<String, u64>::new(), Vec::new());
    for event in events.values().filter(|event| event.acknowledged) {
        acknowledged += 1;
        let outcomes = event.outcomes();
        // A refused repeat does not end the event itself, so `refused` counts only without another outcome.
        let end = ["served", "failed", "refused"].into_iter().find(|outcome| outcomes.contains(outcome));
        if let Some(outcome) = end {
            *counts.entry(outcome.to_owned()).or_default() += 1;
        }
        if event.ended_twice(&journals) || end.is_none() && event.deadline + END_SLACK_US < last {
            let outcomes = outcomes.into_iter().map(str::to_owned).collect();
            violations.push(FleetViolation::WrongEnd(event.name.clone(), outcomes));
        } else if end == Some("refused") && ran.contains(event.name.as_str()) {
            violations.push(FleetViolation::FalseRefusal(event.name.clone()));
        }
    }
    ((acknowledged, counts), violations)
}

#[cfg(test)]
mod tests {
    use super::*;
    use basaltward_pending::{Accepted, RepeatSafety};

    const KEY: Key = Key(7);
    const SOURCE: Source = Source { gateway: 0, life: 3 };

    fn accepted(number: u64) -> FrameFact {
        let (class, tenant, function, event) =
            (0, 0, "extract-0".into(), br#"{"source":"s","id":"1"}"#.to_vec());
        let (repeat_safety, finish_without_client, deadline) = (RepeatSafety::Unsafe, false, 1);
        let step = Accepted {
            key: KEY,
            class,
            tenant,
            function,
            repeat_safety,
            finish_without_client,
            deadline,
            event,
        };
        FrameFact::Entry(SOURCE, number, Step::Accepted(step))
    }

    fn ended(number: u64, outcome: Outcome) -> FrameFact {
        FrameFact::Entry(SOURCE, number, Step::Ended { key: KEY, outcome, answer: Vec::new() })
    }

    fn ran() -> Vec<Record> {
        let (event, attempt) = ("s#1".to_owned(), "n0/0:1".to_owned());
        let record = |time, observation| Record { time, observer: "s-0".into(), observation };
        vec![record(1, Observation::Ran { event, attempt }), record(u64::MAX, Observation::Stopping)]
    }

    /// Violations after gateway 0 accepted the event, gateway 1 acknowledged it and gateway 0 sent `messages`.
    fn violations(messages: Vec<FrameFact>, records: &[Record]) -> Vec<FleetViolation> {
        let message = |from: usize, content| JournalMessage { time: 0, from, to: 1 - from, content };
        let mut all = vec![message(0, accepted(5)), message(1, FrameFact::Acked(SOURCE, 5))];
        all.extend(messages.into_iter().map(|content| message(0, content)));
        check_journaled_events(&all, 1, records).1
    }

    #[test]
    fn acknowledged_event_ends_once_with_a_true_outcome() {
        let name = || "s#1".to_owned();
        assert_eq!(violations(vec![ended(6, Outcome::Served)], &ran()), []);
        assert_eq!(violations(vec![FrameFact::Ended(KEY, Outcome::Failed)], &ran()), []);
        assert_eq!(violations(vec![], &ran()), [FleetViolation::WrongEnd(name(), vec![])]);
        assert_eq!(violations(vec![], &ran()[..1]), [], "the deadline has not passed");
        let two = vec!["refused".to_owned(), "served".to_owned()];
        let both = vec![ended(6, Outcome::Served), ended(7, Outcome::Refused)];
        assert_eq!(violations(both, &ran()), [FleetViolation::WrongEnd(name(), two)]);
        assert_eq!(
            violations(vec![ended(6, Outcome::Refused)], &ran()),
            [FleetViolation::FalseRefusal(name())]
        );
        assert_eq!(violations(vec![ended(6, Outcome::Refused)], &ran()[1..]), []);
        let repeated = vec![ended(6, Outcome::Refused), accepted(8), ended(9, Outcome::Served)];
        assert_eq!(violations(repeated, &ran()), [], "refused, and accepted when it was repeated");
        let not_captured = vec![ended(6, Outcome::Refused), ended(8, Outcome::Served)];
        assert_eq!(violations(not_captured, &ran()), [], "entry 7 may have accepted it again");
    }

    #[test]
    fn event_with_too_few_holders_is_not_checked() {
        let message = |from: usize, content| JournalMessage { time: 0, from, to: 1 - from, content };
        let all = [message(0, accepted(5)), message(1, FrameFact::Acked(SOURCE, 4))];
        assert_eq!(check_journaled_events(&all, 1, &ran()), ((0, BTreeMap::new()), vec![]));
        let all = [message(0, accepted(5)), message(1, FrameFact::Acked(SOURCE, 5))];
        assert_eq!(check_journaled_events(&all, 2, &ran()).0.0, 0);
        assert_eq!(check_journaled_events(&all, 1, &ran()).0.0, 1);
    }
}
