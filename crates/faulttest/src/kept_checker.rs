//! Kept events as they crossed the relays: each that its holders have acknowledged ends, in one way and a true one.

use crate::capture::{JournalMessage, event_name};
use crate::checker::FleetViolation;
use basaltward_net::{Clock, Micros};
use basaltward_pending::{Glance, Key, Outcome, Source, Step};
use basaltward_rules::{Observation, Record};
use std::collections::{BTreeMap, BTreeSet};

/// What is pending is closed by its deadline, or by this much later: heirs wait for leases and permits.
const LATE_US: Micros = 2_000_000;

/// Kept events acknowledged, and how many of them ended how.
pub(crate) type Kept = (u64, BTreeMap<String, u64>);

fn name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Refused => "refused",
        Outcome::Failed => "failed",
    }
}

/// What was seen of one event.
#[derive(Default)]
struct Event {
    name: String,
    deadline: Micros,
    /// Enough holders had acknowledged it at some journal.
    acknowledged: bool,
    /// Lines by which it was accepted (none) or ended.
    lines: BTreeMap<(Source, u64), Option<&'static str>>,
    /// How it ended by what heirs tell one another.
    over: BTreeSet<&'static str>,
}

impl Event {
    fn ways(&self) -> BTreeSet<&'static str> {
        self.lines.values().flatten().chain(&self.over).copied().collect()
    }

    /// Whether a journal ends it twice: each time it was accepted it may end once. Of a line that went without its
    /// bytes nobody knows whether it was accepted by it.
    fn twice(&self, journals: &BTreeMap<Source, Journal>) -> bool {
        let lines: Vec<_> = self.lines.iter().collect();
        lines.windows(2).any(|pair| {
            let ((source, first), (other, second)) = (pair[0].0, pair[1].0);
            let seen = |n| journals.get(source).is_some_and(|journal| journal.seen.contains(&n));
            source == other && pair.iter().all(|(_, how)| how.is_some()) && (first + 1..*second).all(seen)
        })
    }
}

/// One journal: its lines by which events were accepted, to whom they went, and who holds them.
#[derive(Default)]
struct Journal {
    /// Lines that were seen with their bytes.
    seen: BTreeSet<u64>,
    accepted: BTreeMap<u64, (Key, BTreeSet<usize>, BTreeSet<usize>)>,
}

/// Judges what was noted until the last record.
pub(crate) fn kept(
    noted: &[JournalMessage],
    holders: usize,
    records: &[Record],
) -> (Kept, Vec<FleetViolation>) {
    let clock = Clock::read();
    let (mut events, mut journals) = (BTreeMap::<Key, Event>::new(), BTreeMap::<Source, Journal>::new());
    for JournalMessage { from, to, content: what, .. } in noted {
        if let Glance::Line(source, number, _) = what {
            journals.entry(*source).or_default().seen.insert(*number);
        }
        match what {
            Glance::Line(source, number, Step::Accepted(accepted)) => {
                let event = events.entry(accepted.key).or_default();
                event.name = event_name(accepted);
                event.deadline = event.deadline.max(clock.to_monotonic(accepted.deadline * 1_000));
                event.lines.insert((*source, *number), None);
                let lines = &mut journals.entry(*source).or_default().accepted;
                let line = lines.entry(*number).or_insert((accepted.key, BTreeSet::new(), BTreeSet::new()));
                line.1.insert(*to);
            }
            Glance::Line(source, number, Step::Ended { key, outcome, .. }) => {
                let event = events.entry(*key).or_default();
                event.lines.insert((*source, *number), Some(name(*outcome)));
            }
            Glance::Line(_, _, Step::Sending { .. }) => {}
            Glance::Over(key, outcome) => {
                events.entry(*key).or_default().over.insert(name(*outcome));
            }
            Glance::Held(source, through) => {
                let Some(journal) = journals.get_mut(source) else { continue };
                for (key, sent, held) in journal.accepted.range_mut(..=through).map(|(_, line)| line) {
                    if sent.contains(from) && held.insert(*from) && held.len() >= holders {
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
    let (mut count, mut counts, mut wrong) = (0, BTreeMap::<String, u64>::new(), Vec::new());
    for event in events.values().filter(|event| event.acknowledged) {
        count += 1;
        let ways = event.ways();
        // A repeat that was turned away is no end of the event itself.
        let end = ["served", "failed", "refused"].into_iter().find(|how| ways.contains(how));
        if let Some(how) = end {
            *counts.entry(how.to_owned()).or_default() += 1;
        }
        if event.twice(&journals) || end.is_none() && event.deadline + LATE_US < last {
            let ways = ways.into_iter().map(str::to_owned).collect();
            wrong.push(FleetViolation::WrongEnd(event.name.clone(), ways));
        } else if end == Some("refused") && ran.contains(event.name.as_str()) {
            wrong.push(FleetViolation::FalseRefusal(event.name.clone()));
        }
    }
    ((count, counts), wrong)
}

#[cfg(test)]
mod tests {
    use super::*;
    use basaltward_pending::{Accepted, Again};

    const KEY: Key = Key(7);
    const SOURCE: Source = Source { gateway: 0, life: 3 };

    fn accepted(number: u64) -> Glance {
        let (class, tenant, function, event) =
            (0, 0, "extract-0".into(), br#"{"source":"s","id":"1"}"#.to_vec());
        let (again, owed, deadline) = (Again::Unsafe, false, 1);
        let step = Accepted { key: KEY, class, tenant, function, again, owed, deadline, event };
        Glance::Line(SOURCE, number, Step::Accepted(step))
    }

    fn ended(number: u64, outcome: Outcome) -> Glance {
        Glance::Line(SOURCE, number, Step::Ended { key: KEY, outcome, answer: Vec::new() })
    }

    fn ran() -> Vec<Record> {
        let (event, attempt) = ("s#1".to_owned(), "n0/0:1".to_owned());
        let record = |t, what| Record { time: t, observer: "s-0".into(), observation: what };
        vec![record(1, Observation::Ran { event, attempt }), record(u64::MAX, Observation::Stopping)]
    }

    /// What is wrong with an event that is accepted at 0, held by 1, and after which this is told by 0.
    fn wrong(told: Vec<Glance>, records: &[Record]) -> Vec<FleetViolation> {
        let noted = |from: usize, what| JournalMessage { time: 0, from, to: 1 - from, content: what };
        let mut all = vec![noted(0, accepted(5)), noted(1, Glance::Held(SOURCE, 5))];
        all.extend(told.into_iter().map(|what| noted(0, what)));
        kept(&all, 1, records).1
    }

    #[test]
    fn a_kept_event_ends_once_and_truly() {
        let name = || "s#1".to_owned();
        assert_eq!(wrong(vec![ended(6, Outcome::Served)], &ran()), []);
        assert_eq!(wrong(vec![Glance::Over(KEY, Outcome::Failed)], &ran()), []);
        assert_eq!(wrong(vec![], &ran()), [FleetViolation::WrongEnd(name(), vec![])]);
        assert_eq!(wrong(vec![], &ran()[..1]), [], "its time is not over");
        let two = vec!["refused".to_owned(), "served".to_owned()];
        let both = vec![ended(6, Outcome::Served), ended(7, Outcome::Refused)];
        assert_eq!(wrong(both, &ran()), [FleetViolation::WrongEnd(name(), two)]);
        assert_eq!(wrong(vec![ended(6, Outcome::Refused)], &ran()), [FleetViolation::FalseRefusal(name())]);
        assert_eq!(wrong(vec![ended(6, Outcome::Refused)], &ran()[1..]), []);
        let anew = vec![ended(6, Outcome::Refused), accepted(8), ended(9, Outcome::Served)];
        assert_eq!(wrong(anew, &ran()), [], "turned away, and taken when it came again");
        let unseen = vec![ended(6, Outcome::Refused), ended(8, Outcome::Served)];
        assert_eq!(wrong(unseen, &ran()), [], "it may have been accepted anew by line 7");
    }

    #[test]
    fn what_too_few_hold_is_owed_nothing() {
        let noted = |from: usize, what| JournalMessage { time: 0, from, to: 1 - from, content: what };
        let all = [noted(0, accepted(5)), noted(1, Glance::Held(SOURCE, 4))];
        assert_eq!(kept(&all, 1, &ran()), ((0, BTreeMap::new()), vec![]));
        let all = [noted(0, accepted(5)), noted(1, Glance::Held(SOURCE, 5))];
        assert_eq!(kept(&all, 2, &ran()).0.0, 0);
        assert_eq!(kept(&all, 1, &ran()).0.0, 1);
    }
}
