//! The five rules, judged from records alone.

use crate::record::{Final, Micros, Record, What};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// A client whose event crosses the end of a gateway may see a broken connection that is nobody's fault.
const CROSSING_US: Micros = 1_000_000;
/// Codes that prove that an attempt never ran.
const NEVER_RAN: [&str; 4] = ["ConnectFailed", "Full", "Miss", "Moot"];

/// What a class allows, as far as the rules go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatRule {
    /// May be repeated and refused freely.
    Safe,
    /// Repeats are dropped for the window, by workers that share a group number in
    /// [`RuleSettings::groups`]; without one by all.
    Keyed {
        /// How long.
        window: Micros,
        /// Every worker drops them.
        all: bool,
    },
    /// Must never run twice.
    Unsafe,
}

/// A class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassRule {
    /// What it allows.
    pub repeat: RepeatRule,
    /// An answer within this earns the full worth.
    pub aim: Micros,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Share of it that a late one earns.
    pub late_worth: f64,
}

/// Figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSettings {
    /// Classes by name.
    pub classes: BTreeMap<String, ClassRule>,
    /// Groups of workers that share a memory of keys, by worker.
    pub groups: BTreeMap<String, u64>,
    /// After a drain was told, nothing new may be sent once this has passed.
    pub drain_grace: Micros,
    /// Window of the ration of load orders; 0 without one.
    pub load_window: Micros,
    /// Orders free in it.
    pub load_free: f64,
    /// Further ones for each call taken in it.
    pub load_share: f64,
    /// A started worker has this share of its capacity ...
    pub cold_from: f64,
    /// ... and all of it after this.
    pub warm_within: Micros,
    /// It may be sent this multiple of what it can do ...
    pub tip_multiple: f64,
    /// ... in any span of this length.
    pub fall: Micros,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Which, from 1 to 5.
    pub rule: u8,
    /// When.
    pub t: Micros,
    /// What happened.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = ["one answer in time", "no effect twice", "drains", "cold workers", "ration of loads"];
        let name = name.get(usize::from(self.rule).wrapping_sub(1)).unwrap_or(&"?");
        write!(f, "rule {} ({name}) at {} us: {}", self.rule, self.t, self.what)
    }
}

/// All breaches that the records show; they must be ordered by time.
pub fn check(records: &[Record], settings: &RuleSettings) -> Vec<Breach> {
    let mut breaches = answers(records);
    breaches.extend(effects(records, settings));
    breaches.extend(drains(records, settings));
    breaches.extend(cold(records, settings));
    breaches.extend(loads(records, settings));
    breaches.sort_by_key(|breach| (breach.t, breach.rule));
    breaches
}

/// Which schedulers listened at an address.
fn schedulers(records: &[Record]) -> BTreeMap<&str, BTreeSet<&str>> {
    let mut all: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for record in records {
        if let What::Up { address } = &record.what {
            all.entry(address).or_default().insert(&record.by);
        }
    }
    all
}

/// Rule 1: every event sent to a running gateway gets exactly one answer before its client's deadline.
fn answers(records: &[Record]) -> Vec<Breach> {
    struct Asked<'a> {
        t: Micros,
        event: &'a str,
        to: &'a str,
        deadline: Micros,
        ended: Option<Micros>,
        answers: u32,
    }
    let at = schedulers(records);
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
                    } else if t > ask.deadline {
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

/// An attempt: when it was sent, its name, its worker.
type Out<'a> = (Micros, &'a str, &'a str);

/// Rule 2: no effect twice, no attempt that could bring that about, no untrue refusal.
fn effects(records: &[Record], settings: &RuleSettings) -> Vec<Breach> {
    let at = schedulers(records);
    let mut class: BTreeMap<&str, ClassRule> = BTreeMap::new();
    let mut asked: BTreeMap<u64, (&str, &str)> = BTreeMap::new();
    let mut ran: BTreeMap<&str, Vec<(Micros, &str)>> = BTreeMap::new();
    let mut ran_attempts: BTreeSet<&str> = BTreeSet::new();
    // By scheduler and event: attempts out or ended without proof.
    let mut sent: BTreeMap<(&str, &str), Vec<Out>> = BTreeMap::new();
    let mut proven: BTreeMap<&str, Micros> = BTreeMap::new();
    let mut breaches = Vec::new();
    let mut breach = |t, what: String| breaches.push(Breach { rule: 2, t, what });
    let repeat_of = |class: &BTreeMap<&str, ClassRule>, event: &str| {
        class.get(event).map_or(RepeatRule::Safe, |c| c.repeat)
    };
    for record in records {
        let t = record.t;
        match &record.what {
            What::Asked { tried, event, class: name, to, .. } => {
                asked.insert(*tried, (event, to));
                if let Some(rule) = settings.classes.get(name) {
                    class.insert(event, *rule);
                }
            }
            What::Ran { event, attempt } => {
                let all = ran.entry(event).or_default();
                if repeat_of(&class, event) == RepeatRule::Unsafe && !all.is_empty() {
                    breach(t, format!("{event}: unsafe, ran {} times", all.len() + 1));
                }
                all.push((t, attempt));
                ran_attempts.insert(attempt);
            }
            What::Ended { attempt, code } if NEVER_RAN.contains(&code.as_str()) => {
                proven.insert(attempt, t);
            }
            What::Sent { event, attempt, worker } => {
                let all = sent.entry((&record.by, event)).or_default();
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
            What::Answered { tried, answer: Final::Refused, .. } => {
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
                if let Some((_, attempt)) = all.iter().find(|(_, attempt)| !free && by_this(attempt)) {
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

/// Rule 3: nothing new to a draining or gone worker past the grace.
fn drains(records: &[Record], settings: &RuleSettings) -> Vec<Breach> {
    let mut told: BTreeMap<(&str, &str), Micros> = BTreeMap::new();
    let mut breaches = Vec::new();
    for record in records {
        let (worker, what) = match &record.what {
            What::Told { worker, state } if state == "active" => {
                told.remove(&(&record.by, worker));
                continue;
            }
            What::Told { worker, .. } => {
                told.entry((&record.by, worker)).or_insert(record.t);
                continue;
            }
            What::Down { .. } => {
                told.retain(|(by, _), _| *by != record.by);
                continue;
            }
            What::Sent { worker, event, .. } => (worker, format!("call {event}")),
            What::Ordered { worker, function, count } if *count > 0 => {
                (worker, format!("order of {function}"))
            }
            _ => continue,
        };
        if let Some(since) = told.get(&(record.by.as_str(), worker.as_str())) {
            let after = record.t - since;
            if after > settings.drain_grace {
                let what = format!("{}: {what} to {worker}, {after} us after its drain was told", record.by);
                breaches.push(Breach { rule: 3, t: record.t, what });
            }
        }
    }
    breaches
}

/// Rule 4: a started worker is sent no more than the told multiple of what it can do, in any span. One call
/// more is allowed for chance.
fn cold(records: &[Record], settings: &RuleSettings) -> Vec<Breach> {
    struct Life {
        born: Micros,
        capacity: f64,
        arrived: VecDeque<(Micros, f64)>,
    }
    // Capacity done by a cold worker from its start to an age, in microseconds of work for each of capacity.
    let done = |age: f64| {
        let within = settings.warm_within.max(1) as f64;
        let cold = age.min(within);
        let gained = settings.cold_from * cold + (1.0 - settings.cold_from) * cold * cold / (2.0 * within);
        gained + (age - cold)
    };
    let mut lives: BTreeMap<&str, Life> = BTreeMap::new();
    let mut breaches = Vec::new();
    for record in records {
        match &record.what {
            What::Born { capacity, warm: false } => {
                let life = Life { born: record.t, capacity: *capacity, arrived: VecDeque::new() };
                lives.insert(&record.by, life);
            }
            What::Born { .. } => {
                lives.remove(record.by.as_str());
            }
            What::Fell => {
                let what = format!("{} fell over while cold", record.by);
                breaches.push(Breach { rule: 4, t: record.t, what });
            }
            What::Arrived { work, .. } => {
                let Some(life) = lives.get_mut(record.by.as_str()) else { continue };
                let age = (record.t - life.born) as f64;
                if age > settings.warm_within as f64 {
                    continue;
                }
                life.arrived.push_back((record.t, *work as f64));
                while life.arrived.front().is_some_and(|(t, _)| t + settings.fall < record.t) {
                    life.arrived.pop_front();
                }
                let sent: f64 = life.arrived.iter().map(|(_, work)| work).sum();
                // A span that begins before the start is as long as any other: the worker could rest then.
                let from = (age - settings.fall as f64).max(0.0);
                let short = (settings.fall as f64 - age).max(0.0) * settings.cold_from;
                let can = life.capacity * (done(age) - done(from) + short);
                if sent > settings.tip_multiple * can + *work as f64 {
                    let ratio = sent / can.max(1.0);
                    let what = format!("{} was sent {ratio:.1} times what it could do", record.by);
                    breaches.push(Breach { rule: 4, t: record.t, what });
                }
            }
            _ => {}
        }
    }
    breaches
}

/// Rule 5: orders to load within their ration, for each scheduler.
fn loads(records: &[Record], settings: &RuleSettings) -> Vec<Breach> {
    let mut counts: BTreeMap<&str, (VecDeque<Micros>, VecDeque<Micros>)> = BTreeMap::new();
    let mut breaches = Vec::new();
    if settings.load_window == 0 {
        return breaches;
    }
    for record in records {
        let (orders, taken) = counts.entry(&record.by).or_default();
        match &record.what {
            What::Taken { .. } => taken.push_back(record.t),
            What::Down { .. } => (orders.clear(), taken.clear()).1,
            What::Ordered { count, .. } if *count > 0 => {
                orders.push_back(record.t);
                let old = |t: &Micros| t + settings.load_window < record.t;
                while orders.front().is_some_and(old) {
                    orders.pop_front();
                }
                while taken.front().is_some_and(old) {
                    taken.pop_front();
                }
                let most = settings.load_free + settings.load_share * taken.len() as f64;
                if orders.len() as f64 > most {
                    let what = format!("{}: {} orders, {most:.1} allowed", record.by, orders.len());
                    breaches.push(Breach { rule: 5, t: record.t, what });
                }
            }
            _ => {}
        }
    }
    breaches
}
