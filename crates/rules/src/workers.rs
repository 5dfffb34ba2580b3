//! Rules 3 to 5: draining workers, cold workers, load orders.

use crate::check::{Breach, RuleSettings};
use crate::record::{Micros, Observation, Record};
use std::collections::{BTreeMap, VecDeque};

/// Rule 3: a scheduler sends nothing new to a worker once the grace after it learned of its drain or end is over.
pub(crate) fn drains(records: &[Record], settings: &RuleSettings) -> Vec<Breach> {
    // By scheduler and worker: when the scheduler learned that the worker is leaving or gone.
    let mut draining: BTreeMap<(&str, &str), Micros> = BTreeMap::new();
    let mut breaches = Vec::new();
    for record in records {
        let (worker, sent) = match &record.observation {
            Observation::WorkerState { worker, state } if state == "active" => {
                draining.remove(&(&record.observer, worker));
                continue;
            }
            Observation::WorkerState { worker, .. } => {
                draining.entry((&record.observer, worker)).or_insert(record.time);
                continue;
            }
            Observation::Down { .. } => {
                draining.retain(|(scheduler, _), _| *scheduler != record.observer);
                continue;
            }
            Observation::Sent { worker, event, .. } => (worker, format!("call {event}")),
            Observation::Ordered { worker, function, count } if *count > 0 => {
                (worker, format!("order of {function}"))
            }
            _ => continue,
        };
        if let Some(since) = draining.get(&(record.observer.as_str(), worker.as_str())) {
            let after = record.time - since;
            if after > settings.drain_grace {
                let message = format!(
                    "{}: {sent} to {worker}, {after} us after learning of its drain",
                    record.observer
                );
                breaches.push(Breach { rule: 3, time: record.time, message });
            }
        }
    }
    breaches
}

/// Rule 4: within any window of the set length, a started worker is sent at most the set multiple of the work that
/// it can do. One more call is allowed for random variation.
pub(crate) fn cold(records: &[Record], settings: &RuleSettings) -> Vec<Breach> {
    struct ColdWorker {
        started: Micros,
        capacity: f64,
        /// When calls arrived within the window, and their work.
        arrived: VecDeque<(Micros, f64)>,
    }
    // Work that a cold worker can do from its start to an age, in microseconds per unit of its capacity. Capacity
    // grows linearly from `initial_capacity_share` to 1 during `warm_up_time`.
    let work_until = |age: f64| {
        let within = settings.warm_up_time.max(1) as f64;
        let cold = age.min(within);
        let while_cold = settings.initial_capacity_share * cold
            + (1.0 - settings.initial_capacity_share) * cold * cold / (2.0 * within);
        while_cold + (age - cold)
    };
    let mut cold_workers: BTreeMap<&str, ColdWorker> = BTreeMap::new();
    let mut breaches = Vec::new();
    for record in records {
        match &record.observation {
            Observation::WorkerStarted { capacity, warm: false } => {
                let worker =
                    ColdWorker { started: record.time, capacity: *capacity, arrived: VecDeque::new() };
                cold_workers.insert(&record.observer, worker);
            }
            Observation::WorkerStarted { .. } => {
                cold_workers.remove(record.observer.as_str());
            }
            Observation::WorkerCollapsed => {
                let message = format!("{} collapsed from overload while cold", record.observer);
                breaches.push(Breach { rule: 4, time: record.time, message });
            }
            Observation::Arrived { work, .. } => {
                let Some(worker) = cold_workers.get_mut(record.observer.as_str()) else { continue };
                let age = (record.time - worker.started) as f64;
                if age > settings.warm_up_time as f64 {
                    continue;
                }
                worker.arrived.push_back((record.time, *work as f64));
                while worker.arrived.front().is_some_and(|(t, _)| t + settings.overload_window < record.time)
                {
                    worker.arrived.pop_front();
                }
                let sent: f64 = worker.arrived.iter().map(|(_, work)| work).sum();
                // A window that begins before the start counts at full length, with the worker's initial capacity:
                // the worker was idle in that part.
                let from = (age - settings.overload_window as f64).max(0.0);
                let before_start =
                    (settings.overload_window as f64 - age).max(0.0) * settings.initial_capacity_share;
                let possible = worker.capacity * (work_until(age) - work_until(from) + before_start);
                if sent > settings.overload_multiple * possible + *work as f64 {
                    let ratio = sent / possible.max(1.0);
                    let message =
                        format!("{} was sent {ratio:.1} times the work that it could do", record.observer);
                    breaches.push(Breach { rule: 4, time: record.time, message });
                }
            }
            _ => {}
        }
    }
    breaches
}

/// Rule 5: each scheduler keeps its load orders within the limit.
pub(crate) fn loads(records: &[Record], settings: &RuleSettings) -> Vec<Breach> {
    // By scheduler: times of its orders and of the calls that it accepted, within the window.
    let mut recent: BTreeMap<&str, (VecDeque<Micros>, VecDeque<Micros>)> = BTreeMap::new();
    let mut breaches = Vec::new();
    if settings.load_window == 0 {
        return breaches;
    }
    for record in records {
        let (orders, accepted) = recent.entry(&record.observer).or_default();
        match &record.observation {
            Observation::Accepted { .. } => accepted.push_back(record.time),
            Observation::Down { .. } => (orders.clear(), accepted.clear()).1,
            Observation::Ordered { count, .. } if *count > 0 => {
                orders.push_back(record.time);
                let expired = |t: &Micros| t + settings.load_window < record.time;
                while orders.front().is_some_and(expired) {
                    orders.pop_front();
                }
                while accepted.front().is_some_and(expired) {
                    accepted.pop_front();
                }
                let allowed = settings.load_free + settings.load_share * accepted.len() as f64;
                if orders.len() as f64 > allowed {
                    let message = format!(
                        "{}: {} load orders in the window, {allowed:.1} allowed",
                        record.observer,
                        orders.len()
                    );
                    breaches.push(Breach { rule: 5, time: record.time, message });
                }
            }
            _ => {}
        }
    }
    breaches
}
