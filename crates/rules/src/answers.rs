//! Rule 1: one final answer, in time.

use crate::check::{Breach, schedulers};
use crate::record::{Micros, Observation, Record};
use std::collections::{BTreeMap, BTreeSet};

/// A client whose event crosses the end of a gateway may see a broken connection that is nobody's fault.
pub(crate) const CROSSING_US: Micros = 1_000_000;

/// A stall counts for answers written this long after it at most: what was due meanwhile is done first.
const AFTER_US: Micros = 10_000;

/// When gateways gave the answers of each event to the system, and when the machine had stopped them.
struct Given<'a> {
    answers: BTreeMap<&'a str, Vec<(Micros, &'a str)>>,
    stalls: BTreeMap<&'a str, Vec<(Micros, Micros)>>,
}

/// Why an answer that was read late breaks no rule.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Excuse {
    /// Its bytes lay at the client in time.
    ReadLate,
    /// The machine had stopped its gateway, and without that it would have been in time.
    Stalled,
}

fn given(records: &[Record]) -> Given<'_> {
    let mut given = Given { answers: BTreeMap::new(), stalls: BTreeMap::new() };
    for record in records {
        match &record.observation {
            Observation::AnswerSent { event, .. } => {
                given.answers.entry(event).or_default().push((record.time, &record.observer));
            }
            Observation::Stalled { us } => {
                given.stalls.entry(&record.observer).or_default().push((record.time, *us))
            }
            _ => {}
        }
    }
    given
}

impl Given<'_> {
    /// Why an answer to this event, asked at `from` and due by `until`, was not read in time.
    fn excuse(
        &self,
        at: &BTreeMap<&str, BTreeSet<&str>>,
        (event, to): (&str, &str),
        from: Micros,
        until: Micros,
    ) -> Option<Excuse> {
        let here = |by: &str| at.get(to).is_some_and(|all| all.contains(by));
        let answers = self.answers.get(event)?.iter().filter(|(t, by)| *t >= from && here(by));
        if answers.clone().any(|(t, _)| *t <= until) {
            return Some(Excuse::ReadLate);
        }
        let stalled = |t: Micros, by: &str| {
            let stalls = self.stalls.get(by).into_iter().flatten();
            stalls
                .filter(|(end, _)| (t.saturating_sub(AFTER_US)..=t + AFTER_US).contains(end))
                .map(|s| s.1)
                .sum()
        };
        let excused = |(t, by): &(Micros, &str)| t.saturating_sub(stalled(*t, by)) <= until;
        answers.clone().any(excused).then_some(Excuse::Stalled)
    }
}

/// Answers read after their deadline that break no rule, told apart by why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LateAnswers {
    /// The gateway had written them in time: on one machine the bytes then lay at the client, whose own loop
    /// was late.
    pub delayed_at_client: usize,
    /// The machine had stopped the gateway for longer than they were late. No program can answer while it is
    /// stopped; margins make it rare.
    pub gateway_stalled: usize,
}

/// Counts answers read late that break no rule.
pub fn late_answers(records: &[Record]) -> LateAnswers {
    let (at, given) = (schedulers(records), given(records));
    let mut asked: BTreeMap<u64, (Micros, &str, &str, Micros)> = BTreeMap::new();
    let mut late = LateAnswers::default();
    for record in records {
        match &record.observation {
            Observation::RequestSent { request_id: tried, event, to, deadline, .. } => {
                asked.insert(*tried, (record.time, event, to, *deadline));
            }
            Observation::Answered { request_id: tried, .. } => {
                let known = asked.get(tried).filter(|(.., deadline)| record.time > *deadline);
                let Some((t, event, to, deadline)) = known else { continue };
                match given.excuse(&at, (event, to), *t, *deadline) {
                    Some(Excuse::ReadLate) => late.delayed_at_client += 1,
                    Some(Excuse::Stalled) => late.gateway_stalled += 1,
                    None => {}
                }
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
    let mut breach = |t, what: String| breaches.push(Breach { rule: 1, time: t, message: what });
    for record in records {
        let t = record.time;
        match &record.observation {
            Observation::RequestSent { request_id: tried, event, to, deadline, .. } => {
                let (deadline, ended, answers) = (*deadline, None, 0);
                asked.insert(*tried, Asked { t, event, to, deadline, ended, answers });
            }
            Observation::Answered { request_id: tried, status, .. } => match asked.get_mut(tried) {
                None => breach(t, format!("an answer ({status}) to try {tried}, which was never made")),
                Some(ask) => {
                    ask.answers += 1;
                    if ask.ended.is_some() || ask.answers > 1 {
                        breach(t, format!("{}: another answer ({status}) after the final one", ask.event));
                    } else if t > ask.deadline
                        && given.excuse(&at, (ask.event, ask.to), ask.t, ask.deadline).is_none()
                    {
                        let late = t - ask.deadline;
                        breach(t, format!("{}: answered ({status}) {late} us after its deadline", ask.event));
                    }
                    ask.ended = Some(t);
                }
            },
            Observation::ClientLeft { request_id: tried } => {
                if let Some(ask) = asked.get_mut(tried) {
                    ask.ended = Some(t);
                    ask.answers += 1;
                }
            }
            Observation::ConnectionLost { request_id: tried } => {
                if let Some(ask) = asked.get_mut(tried) {
                    ask.ended = Some(t);
                }
            }
            Observation::Stopping => ends.push((&record.observer, t, false)),
            Observation::Down { killed: true } => ends.push((&record.observer, t, true)),
            Observation::Accepted { event } => taken.entry(event).or_default().push((t, &record.observer)),
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
