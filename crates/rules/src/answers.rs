//! Rule 1: one final answer, in time.

use crate::check::{Breach, schedulers_by_address};
use crate::record::{Micros, Observation, Record};
use std::collections::{BTreeMap, BTreeSet};

/// Actions of a client and a gateway within this time of each other may have raced. In particular a request that
/// overlaps the end of its gateway may lose its connection without a breach.
pub(crate) const RACE_TOLERANCE_US: Micros = 1_000_000;

/// A stall excuses answers written at most this long after it: the scheduler first does the work that came due
/// meanwhile.
const STALL_TOLERANCE_US: Micros = 10_000;

/// When the gateways wrote their answers, and when they were stalled.
struct GatewayLog<'a> {
    /// By event: when an answer was written, and by which scheduler.
    answers: BTreeMap<&'a str, Vec<(Micros, &'a str)>>,
    /// By scheduler: when a stall ended, and its length.
    stalls: BTreeMap<&'a str, Vec<(Micros, Micros)>>,
}

/// Why an answer that was read after its deadline breaks no rule.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Excuse {
    /// It was written in time and the client read it late.
    ReadLate,
    /// Its scheduler was stalled, and would have written it in time otherwise.
    Stalled,
}

fn gateway_log(records: &[Record]) -> GatewayLog<'_> {
    let mut log = GatewayLog { answers: BTreeMap::new(), stalls: BTreeMap::new() };
    for record in records {
        match &record.observation {
            Observation::AnswerSent { event, .. } => {
                log.answers.entry(event).or_default().push((record.time, &record.observer));
            }
            Observation::Stalled { us } => {
                log.stalls.entry(&record.observer).or_default().push((record.time, *us))
            }
            _ => {}
        }
    }
    log
}

impl GatewayLog<'_> {
    /// Why the answer to a request for `event`, sent to address `to` at `sent` and due by `deadline`, was read late.
    fn excuse(
        &self,
        schedulers: &BTreeMap<&str, BTreeSet<&str>>,
        (event, to): (&str, &str),
        sent: Micros,
        deadline: Micros,
    ) -> Option<Excuse> {
        let listens_there = |by: &str| schedulers.get(to).is_some_and(|all| all.contains(by));
        let answers = self.answers.get(event)?.iter().filter(|(t, by)| *t >= sent && listens_there(by));
        if answers.clone().any(|(t, _)| *t <= deadline) {
            return Some(Excuse::ReadLate);
        }
        let stalled = |t: Micros, by: &str| {
            let stalls = self.stalls.get(by).into_iter().flatten();
            stalls
                .filter(|(end, _)| {
                    (t.saturating_sub(STALL_TOLERANCE_US)..=t + STALL_TOLERANCE_US).contains(end)
                })
                .map(|stall| stall.1)
                .sum()
        };
        let excused = |(t, by): &(Micros, &str)| t.saturating_sub(stalled(*t, by)) <= deadline;
        answers.clone().any(excused).then_some(Excuse::Stalled)
    }
}

/// Number of answers that clients read after the deadline without a breach, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LateAnswers {
    /// The gateway had written them in time. With both on one machine the bytes were then available to the client,
    /// whose own event loop was late.
    pub delayed_at_client: usize,
    /// The gateway was without a processor for longer than they were late. No program can answer while it is stopped;
    /// the margins before a deadline make this rare.
    pub gateway_stalled: usize,
}

/// Counts the answers that were read late without a breach. The records must be ordered by time.
pub fn late_answers(records: &[Record]) -> LateAnswers {
    let (schedulers, log) = (schedulers_by_address(records), gateway_log(records));
    let mut requests: BTreeMap<u64, (Micros, &str, &str, Micros)> = BTreeMap::new();
    let mut late = LateAnswers::default();
    for record in records {
        match &record.observation {
            Observation::RequestSent { request_id, event, to, deadline, .. } => {
                requests.insert(*request_id, (record.time, event, to, *deadline));
            }
            Observation::Answered { request_id, .. } => {
                let overdue = requests.get(request_id).filter(|(.., deadline)| record.time > *deadline);
                let Some((sent, event, to, deadline)) = overdue else { continue };
                match log.excuse(&schedulers, (event, to), *sent, *deadline) {
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
    struct Request<'a> {
        sent: Micros,
        event: &'a str,
        to: &'a str,
        deadline: Micros,
        /// When it was answered, abandoned or lost its connection.
        ended: Option<Micros>,
        /// Answers read. A client that leaves counts as one, so that a later answer is a breach.
        answers: u32,
    }
    let schedulers = schedulers_by_address(records);
    let log = gateway_log(records);
    // When schedulers ended, and whether the calls that they had accepted were lost with them.
    let mut ends: Vec<(&str, Micros, bool)> = Vec::new();
    let mut accepted: BTreeMap<&str, Vec<(Micros, &str)>> = BTreeMap::new();
    let mut requests: BTreeMap<u64, Request> = BTreeMap::new();
    let mut breaches = Vec::new();
    let mut breach = |time, message: String| breaches.push(Breach { rule: 1, time, message });
    for record in records {
        let t = record.time;
        match &record.observation {
            Observation::RequestSent { request_id, event, to, deadline, .. } => {
                let (deadline, ended, answers) = (*deadline, None, 0);
                requests.insert(*request_id, Request { sent: t, event, to, deadline, ended, answers });
            }
            Observation::Answered { request_id, status, .. } => match requests.get_mut(request_id) {
                None => {
                    breach(t, format!("an answer ({status}) to request {request_id}, which was never sent"))
                }
                Some(request) => {
                    request.answers += 1;
                    if request.ended.is_some() || request.answers > 1 {
                        breach(
                            t,
                            format!("{}: another answer ({status}) after the final one", request.event),
                        );
                    } else if t > request.deadline
                        && log
                            .excuse(&schedulers, (request.event, request.to), request.sent, request.deadline)
                            .is_none()
                    {
                        let late = t - request.deadline;
                        breach(
                            t,
                            format!("{}: answered ({status}) {late} us after its deadline", request.event),
                        );
                    }
                    request.ended = Some(t);
                }
            },
            Observation::ClientLeft { request_id } => {
                if let Some(request) = requests.get_mut(request_id) {
                    request.ended = Some(t);
                    request.answers += 1;
                }
            }
            Observation::ConnectionLost { request_id } => {
                if let Some(request) = requests.get_mut(request_id) {
                    request.ended = Some(t);
                }
            }
            Observation::Stopping => ends.push((&record.observer, t, false)),
            Observation::Down { killed: true } => ends.push((&record.observer, t, true)),
            Observation::Accepted { event } => accepted.entry(event).or_default().push((t, &record.observer)),
            _ => {}
        }
    }
    let none = BTreeSet::new();
    for request in requests.values().filter(|request| request.answers == 0) {
        let end = request.ended.unwrap_or(request.deadline);
        let at_address = schedulers.get(request.to).unwrap_or(&none);
        let was_accepted = accepted.get(request.event).is_some_and(|all| {
            all.iter().any(|(t, by)| {
                at_address.contains(by) && (request.sent..=end + RACE_TOLERANCE_US).contains(t)
            })
        });
        // A scheduler that stops gracefully answers the calls that it has accepted; a killed one can't.
        let excused = ends.iter().any(|(by, t, killed)| {
            let overlaps =
                (request.sent.saturating_sub(RACE_TOLERANCE_US)..=end + RACE_TOLERANCE_US).contains(t);
            at_address.contains(by) && overlaps && (*killed || !was_accepted)
        });
        if !excused {
            let cause =
                if request.ended.is_some() { "the connection ended" } else { "none arrived by the deadline" };
            breach(end, format!("{}: no answer, {cause}", request.event));
        }
    }
    breaches
}
