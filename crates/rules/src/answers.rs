//! Rule 1: one final answer, in time.

use crate::check::{Breach, schedulers};
use crate::record::{Micros, Record, What};
use std::collections::{BTreeMap, BTreeSet};

/// A client whose event crosses the end of a gateway may see a broken connection that is nobody's fault.
const CROSSING_US: Micros = 1_000_000;

/// When gateways gave the answers of each event to the system.
struct Given<'a>(BTreeMap<&'a str, Vec<(Micros, &'a str)>>);

fn given(records: &[Record]) -> Given<'_> {
    let mut all: BTreeMap<&str, Vec<(Micros, &str)>> = BTreeMap::new();
    for record in records {
        if let What::Gave { event, .. } = &record.what {
            all.entry(event).or_default().push((record.t, &record.by));
        }
    }
    Given(all)
}

impl Given<'_> {
    /// Whether an answer to this event left a gateway at this address in this span.
    fn in_time(
        &self,
        at: &BTreeMap<&str, BTreeSet<&str>>,
        (event, to): (&str, &str),
        from: Micros,
        until: Micros,
    ) -> bool {
        let here = |by: &&str| at.get(to).is_some_and(|all| all.contains(by));
        self.0.get(event).is_some_and(|all| all.iter().any(|(t, by)| (from..=until).contains(t) && here(by)))
    }
}

/// Answers that clients read after their deadline although the gateway had written them before it: on one
/// machine the bytes then lay at the client, whose own loop was late. They break no rule and are counted
/// apart.
pub fn read_late(records: &[Record]) -> usize {
    let (at, given) = (schedulers(records), given(records));
    let mut asked: BTreeMap<u64, (Micros, &str, &str, Micros)> = BTreeMap::new();
    let mut late = 0;
    for record in records {
        match &record.what {
            What::Asked { tried, event, to, deadline, .. } => {
                asked.insert(*tried, (record.t, event, to, *deadline));
            }
            What::Answered { tried, .. } => {
                let known = asked.get(tried).filter(|(.., deadline)| record.t > *deadline);
                late +=
                    usize::from(known.is_some_and(|(t, event, to, deadline)| {
                        given.in_time(&at, (event, to), *t, *deadline)
                    }));
            }
            _ => {}
        }
    }
    late
}

/// Rule 1: every event sent to a running gateway gets exactly one answer before its client's deadline.
pub(crate) fn answers(records: &[Record]) -> Vec<Breach> {
    struct Asked<'a> {
        t: Micros,
        event: &'a str,
        to: &'a str,
        deadline: Micros,
        ended: Option<Micros>,
        answers: u32,
    }
    let at = schedulers(records);
    let given = given(records);
    // When gateways ended, and whether what they had taken was lost with them.
    let mut ends: Vec<(&str, Micros, bool)> = Vec::new();
    let mut taken: BTreeMap<&str, Vec<(Micros, &str)>> = BTreeMap::new();
    let mut asked: BTreeMap<u64, Asked> = BTreeMap::new();
    let mut breaches = Vec::new();
    let mut breach = |t, what: String| breaches.push(Breach { rule: 1, t, what });
    for record in records {
        let t = record.t;
        match &record.what {
            What::Asked { tried, event, to, deadline, .. } => {
                let (deadline, ended, answers) = (*deadline, None, 0);
                asked.insert(*tried, Asked { t, event, to, deadline, ended, answers });
            }
            What::Answered { tried, status, .. } => match asked.get_mut(tried) {
                None => breach(t, format!("an answer ({status}) to try {tried}, which was never made")),
                Some(ask) => {
                    ask.answers += 1;
                    if ask.ended.is_some() || ask.answers > 1 {
                        breach(t, format!("{}: another answer ({status}) after the final one", ask.event));
                    } else if t > ask.deadline
                        && !given.in_time(&at, (ask.event, ask.to), ask.t, ask.deadline)
                    {
                        let late = t - ask.deadline;
                        breach(t, format!("{}: answered ({status}) {late} us after its deadline", ask.event));
                    }
                    ask.ended = Some(t);
                }
            },
            What::Left { tried } => {
                if let Some(ask) = asked.get_mut(tried) {
                    ask.ended = Some(t);
                    ask.answers += 1;
                }
            }
            What::Cut { tried } => {
                if let Some(ask) = asked.get_mut(tried) {
                    ask.ended = Some(t);
                }
            }
            What::Stopping => ends.push((&record.by, t, false)),
            What::Down { killed: true } => ends.push((&record.by, t, true)),
            What::Taken { event } => taken.entry(event).or_default().push((t, &record.by)),
            _ => {}
        }
    }
    let none = BTreeSet::new();
    for ask in asked.values().filter(|ask| ask.answers == 0) {
        let end = ask.ended.unwrap_or(ask.deadline);
        let here = at.get(ask.to).unwrap_or(&none);
        let was_taken = taken.get(ask.event).is_some_and(|all| {
            all.iter().any(|(t, by)| here.contains(by) && (ask.t..=end + CROSSING_US).contains(t))
        });
        let excused = ends.iter().any(|(by, t, killed)| {
            let crossing = (ask.t.saturating_sub(CROSSING_US)..=end + CROSSING_US).contains(t);
            here.contains(by) && crossing && (*killed || !was_taken)
        });
        if !excused {
            let how = if ask.ended.is_some() { "its connection ended" } else { "nothing came" };
            breach(end, format!("{}: no answer, {how}", ask.event));
        }
    }
    breaches
}
