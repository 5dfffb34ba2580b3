//! Rules 3 to 5: draining, cold and loading workers.

use crate::check::{Breach, RuleSettings};
use crate::record::{Micros, Observation, Record};
use std::collections::{BTreeMap, VecDeque};

/// Rule 3: nothing new to a draining or gone worker past the grace.
pub(crate) fn drains(records: &[Record], settings: &RuleSettings) -> Vec<Breach> {
    let mut told: BTreeMap<(&str, &str), Micros> = BTreeMap::new();
    let mut breaches = Vec::new();
    for record in records {
        let (worker, what) = match &record.observation {
            Observation::WorkerState { worker, state } if state == "active" => {
                told.remove(&(&record.observer, worker));
                continue;
            }
            Observation::WorkerState { worker, .. } => {
                told.entry((&record.observer, worker)).or_insert(record.time);
                continue;
            }
            Observation::Down { .. } => {
                told.retain(|(by, _), _| *by != record.observer);
                continue;
            }
            Observation::Sent { worker, event, .. } => (worker, format!("call {event}")),
            Observation::Ordered { worker, function, count } if *count > 0 => {
                (worker, format!("order of {function}"))
            }
            _ => continue,
        };
        if let Some(since) = told.get(&(record.observer.as_str(), worker.as_str())) {
            let after = record.time - since;
            if after > settings.drain_grace {
                let what =
                    format!("{}: {what} to {worker}, {after} us after its drain was told", record.observer);
                breaches.push(Breach { rule: 3, time: record.time, message: what });
            }
        }
    }
    breaches
}

/// Rule 4: a started worker is sent no more than the told multiple of what it can do, in any span. One call
/// more is allowed for chance.
pub(crate) fn cold(records: &[Record], settings: &RuleSettings) -> Vec<Breach> {
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
        match &record.observation {
            Observation::WorkerStarted { capacity, warm: false } => {
                let life = Life { born: record.time, capacity: *capacity, arrived: VecDeque::new() };
                lives.insert(&record.observer, life);
            }
            Observation::WorkerStarted { .. } => {
                lives.remove(record.observer.as_str());
            }
            Observation::WorkerCollapsed => {
                let what = format!("{} fell over while cold", record.observer);
                breaches.push(Breach { rule: 4, time: record.time, message: what });
            }
            Observation::Arrived { work, .. } => {
                let Some(life) = lives.get_mut(record.observer.as_str()) else { continue };
                let age = (record.time - life.born) as f64;
                if age > settings.warm_within as f64 {
                    continue;
                }
                life.arrived.push_back((record.time, *work as f64));
                while life.arrived.front().is_some_and(|(t, _)| t + settings.fall < record.time) {
                    life.arrived.pop_front();
                }
                let sent: f64 = life.arrived.iter().map(|(_, work)| work).sum();
                // A span that begins before the start is as long as any other: the worker could rest then.
                let from = (age - settings.fall as f64).max(0.0);
                let short = (settings.fall as f64 - age).max(0.0) * settings.cold_from;
                let can = life.capacity * (done(age) - done(from) + short);
                if sent > settings.tip_multiple * can + *work as f64 {
                    let ratio = sent / can.max(1.0);
                    let what = format!("{} was sent {ratio:.1} times what it could do", record.observer);
                    breaches.push(Breach { rule: 4, time: record.time, message: what });
                }
            }
            _ => {}
        }
    }
    breaches
}

/// Rule 5: orders to load within their ration, for each scheduler.
pub(crate) fn loads(records: &[Record], settings: &RuleSettings) -> Vec<Breach> {
    let mut counts: BTreeMap<&str, (VecDeque<Micros>, VecDeque<Micros>)> = BTreeMap::new();
    let mut breaches = Vec::new();
    if settings.load_window == 0 {
        return breaches;
    }
    for record in records {
        let (orders, taken) = counts.entry(&record.observer).or_default();
        match &record.observation {
            Observation::Accepted { .. } => taken.push_back(record.time),
            Observation::Down { .. } => (orders.clear(), taken.clear()).1,
            Observation::Ordered { count, .. } if *count > 0 => {
                orders.push_back(record.time);
                let old = |t: &Micros| t + settings.load_window < record.time;
                while orders.front().is_some_and(old) {
                    orders.pop_front();
                }
                while taken.front().is_some_and(old) {
                    taken.pop_front();
                }
                let most = settings.load_free + settings.load_share * taken.len() as f64;
                if orders.len() as f64 > most {
                    let what = format!("{}: {} orders, {most:.1} allowed", record.observer, orders.len());
                    breaches.push(Breach { rule: 5, time: record.time, message: what });
                }
            }
            _ => {}
        }
    }
    breaches
}
