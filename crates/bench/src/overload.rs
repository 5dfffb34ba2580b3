//! Goodput by load: calls offered in open loop at multiples of the capacity of stand-in workers.

use basaltward_config::read;
use basaltward_fakes::{Clients, PlannedEvent, RetryPolicy, WorkerSpec};
use basaltward_net::Micros;
use basaltward_rules::{FinalAnswer, Observation, Record, Recorder, check};
use basaltward_scenario::{Harness, rule_settings};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::error::Error;
use std::net::TcpStream;
use std::path::Path;

const CONFIG: &str = include_str!("../../../examples/config/demo.xml");
const WORKERS: usize = 4;
/// Time before each load during which at most half of the capacity is offered, so that copies are loaded.
const WARM_US: Micros = 4_000_000;
/// Time after each load during which at most half of the capacity is offered, to see how service recovers.
const RECOVERY_US: Micros = 3_000_000;
/// First part of a load's span that is not counted, as the queues are still filling.
const SETTLE_SHARE: f64 = 0.3;

/// The load that is offered.
pub struct Load {
    /// Multiples of the capacity.
    pub multiples: Vec<f64>,
    /// Duration of each load, seconds.
    pub seconds: f64,
    /// Work of a call, microseconds.
    pub work: Micros,
    /// Idle connections held open during the load.
    pub idle: usize,
    /// How often a client retries a call that was refused.
    pub retries: u32,
    /// Seed of the random arrivals.
    pub seed: u64,
}

const FUNCTIONS: [(&str, &str); 3] = [("echo", "view"), ("annotate", "note"), ("certify", "extract")];

fn plan(load: &Load, at: f64, number: usize, tenant: &str) -> PlannedEvent {
    let (function, class) = FUNCTIONS[number % 3];
    PlannedEvent {
        send_at: at as Micros,
        gateway: 0,
        function: function.into(),
        class: class.into(),
        tenant: tenant.into(),
        id: number.to_string(),
        timeout: 2_500_000,
        work: Some(load.work),
        payload: 100,
        retry_policy: RetryPolicy { max_retries: load.retries, delay: 100_000, ..RetryPolicy::default() },
    }
}

fn plans(load: &Load, multiple: f64, capacity: f64) -> Vec<PlannedEvent> {
    let mut rng = StdRng::seed_from_u64(load.seed);
    let until = WARM_US + (load.seconds * 1e6) as Micros;
    let mut plans: Vec<PlannedEvent> = Vec::new();
    let mut at = 0.0;
    while (at as Micros) < until + RECOVERY_US {
        let loaded = (WARM_US..until).contains(&(at as Micros));
        let rate = capacity * if loaded { multiple } else { multiple.min(0.5) };
        at += -(1.0 - rng.random::<f64>()).ln() * 1e6 / rate;
        plans.push(plan(load, at, plans.len(), ""));
    }
    plans
}

/// Counts of the events first sent and of the answers received within a span, with the times of the answers.
#[derive(Default)]
struct Counts {
    offered: usize,
    served: usize,
    refused: usize,
    failed: usize,
    times: Vec<Micros>,
    refusals: Vec<Micros>,
}

fn count(records: &[Record], from: Micros, until: Micros) -> Counts {
    let mut sent: HashMap<u64, (Micros, &str)> = HashMap::new();
    let mut first: HashMap<&str, Micros> = HashMap::new();
    let mut counts = Counts::default();
    for record in records {
        match &record.observation {
            Observation::RequestSent { request_id, event, .. } => {
                sent.insert(*request_id, (record.time, event));
                if !first.contains_key(event.as_str()) {
                    first.insert(event, record.time);
                    counts.offered += usize::from((from..until).contains(&record.time));
                }
            }
            Observation::Answered { request_id, answer, .. } if (from..until).contains(&record.time) => {
                let Some((at, event)) = sent.get(request_id) else { continue };
                match answer {
                    FinalAnswer::Served => {
                        counts.served += 1;
                        counts.times.push(record.time - first.get(event).unwrap_or(at));
                    }
                    FinalAnswer::Refused => {
                        counts.refused += 1;
                        counts.refusals.push(record.time - at);
                    }
                    _ => counts.failed += 1,
                }
            }
            _ => {}
        }
    }
    counts
}

/// Share of the events first sent within a span that were served, at any time.
fn served_share(records: &[Record], from: Micros, until: Micros) -> f64 {
    let mut events_by_request: HashMap<u64, &str> = HashMap::new();
    let mut events: HashMap<&str, (Micros, bool)> = HashMap::new();
    for record in records {
        match &record.observation {
            Observation::RequestSent { request_id, event, .. } => {
                events_by_request.insert(*request_id, event);
                events.entry(event).or_insert((record.time, false));
            }
            Observation::Answered { request_id, answer: FinalAnswer::Served, .. } => {
                let event = events_by_request.get(request_id).and_then(|event| events.get_mut(event));
                event.into_iter().for_each(|(_, served)| *served = true);
            }
            _ => {}
        }
    }
    let within = || events.values().filter(|(at, _)| (from..until).contains(at));
    within().filter(|(_, served)| *served).count() as f64 / within().count().max(1) as f64
}

/// A quantile of times, in milliseconds; sorts them.
fn quantile_ms(times: &mut [Micros], quantile: f64) -> f64 {
    times.sort_unstable();
    let index = (times.len() as f64 * quantile) as usize;
    times.get(index.min(times.len().saturating_sub(1))).map_or(f64::NAN, |t| *t as f64 / 1e3)
}

/// Measures and prints the table of goodput by load.
///
/// # Errors
/// If the harness or the clients can't be started.
pub fn run(load: &Load) -> Result<(), Box<dyn Error>> {
    let spec = WorkerSpec { default_work: load.work, ..WorkerSpec::default() };
    let capacity = WORKERS as f64 * f64::from(spec.cores) * 1e6 / load.work as f64;
    let (work, seed) = (load.work as f64 / 1e3, load.seed);
    println!(
        "{WORKERS} workers of {} cores, {work} ms a call: {capacity:.0} calls a second; {} s each, {} idle \
         connections, {} retries, seed {seed}",
        spec.cores, load.seconds, load.idle, load.retries
    );
    println!(
        "| times | offered/s | served/s | of capacity | refused/s | failed/s | served p50 ms | p99 | refused p50 \
         ms | p99 | worst lag ms | after, first 2 s | then | rules |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for multiple in &load.multiples {
        let mut config = read(CONFIG, Path::new("demo.xml"))?;
        config.client_limits.connections = config.client_limits.connections.max(load.idle + 10_000);
        // Enough repeat guards for all calls served during the time for which they are remembered, or guards would be
        // the limit.
        config.repeats.guards_per_tenant = (capacity * 15.0) as usize;
        let recorder = Recorder::memory();
        let harness = Harness::start(&config, 1, vec![spec.clone(); WORKERS], recorder.clone())?;
        let idle = (0..load.idle).map(|_| TcpStream::connect(harness.addresses[0]));
        let idle = idle.collect::<Result<Vec<_>, _>>()?;
        let clients = Clients::new(harness.addresses.clone(), recorder.clone())?;
        clients.run(plans(load, *multiple, capacity))?;
        drop(idle);
        let rules = rule_settings(&harness.config, &harness.roster.entries);
        harness.stop()?;
        let records = recorder.take();
        let is_request = |r: &&Record| matches!(r.observation, Observation::RequestSent { .. });
        let start = records.iter().find(is_request).map_or(0, |r| r.time);
        let span = (load.seconds * 1e6) as Micros;
        let (from, until) =
            (start + WARM_US + (span as f64 * SETTLE_SHARE) as Micros, start + WARM_US + span);
        let mut counts = count(&records, from, until);
        let after = |from: Micros, until: Micros| format!("{:.2}", served_share(&records, from, until));
        let lag = records.iter().filter_map(|r| match r.observation {
            Observation::Lagged { longest_turn, longest_wait, .. } => Some(longest_turn.max(longest_wait)),
            _ => None,
        });
        let lag = lag.max().map_or("< 5".into(), |us| format!("{:.1}", us as f64 / 1e3));
        let seconds = (until - from) as f64 / 1e6;
        let breaches = check(&records, &rules);
        println!(
            "| {multiple} | {:.0} | {:.0} | {:.2} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {lag} | {} | \
             {} | {} |",
            counts.offered as f64 / seconds,
            counts.served as f64 / seconds,
            counts.served as f64 / seconds / capacity,
            counts.refused as f64 / seconds,
            counts.failed as f64 / seconds,
            quantile_ms(&mut counts.times, 0.5),
            quantile_ms(&mut counts.times, 0.99),
            quantile_ms(&mut counts.refusals, 0.5),
            quantile_ms(&mut counts.refusals, 0.99),
            after(until, until + 2_000_000),
            after(until + 2_000_000, until + RECOVERY_US),
            if breaches.is_empty() { "kept".into() } else { format!("{} broken", breaches.len()) },
        );
        breaches.iter().take(3).for_each(|breach| println!("{breach}"));
    }
    Ok(())
}

/// Two tenants within their quotas and a third at a multiple of its own: measures the share of calls of each that is
/// served.
///
/// # Errors
/// If the harness or the clients can't be started.
pub fn run_tenants(load: &Load) -> Result<(), Box<dyn Error>> {
    let spec = WorkerSpec { default_work: load.work, ..WorkerSpec::default() };
    let capacity = WORKERS as f64 * f64::from(spec.cores) * 1e6 / load.work as f64;
    let quota = capacity * 0.3;
    println!(
        "{capacity:.0} calls a second, quotas of {quota:.0}; two tenants at 0.8 of theirs, seed {}",
        load.seed
    );
    println!(
        "| third tenant, times its quota | tenant a served | b | a refused after, p10 ms | p50 | third, of its quota | rules |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for multiple in &load.multiples {
        let mut config = read(CONFIG, Path::new("demo.xml"))?;
        config.tenants = ["a", "b", "third"].map(String::from).into();
        config.controller.tenant_quotas = vec![quota; 3];
        let recorder = Recorder::memory();
        let harness = Harness::start(&config, 1, vec![spec.clone(); WORKERS], recorder.clone())?;
        let mut rng = StdRng::seed_from_u64(load.seed);
        let until = WARM_US + (load.seconds * 1e6) as Micros;
        let mut plans = Vec::new();
        for (tenant, rate) in [("a", 0.8), ("b", 0.8), ("third", *multiple)] {
            let mut at = 0.0;
            while rate > 0.0 && (at as Micros) < until {
                let rate = if (at as Micros) < WARM_US { rate.min(0.8) } else { rate };
                at += -(1.0 - rng.random::<f64>()).ln() * 1e6 / (quota * rate);
                plans.push(plan(load, at, plans.len(), tenant));
            }
        }
        Clients::new(harness.addresses.clone(), recorder.clone())?.run(plans)?;
        let rules = rule_settings(&harness.config, &harness.roster.entries);
        harness.stop()?;
        let records = recorder.take();
        let is_request = |r: &&Record| matches!(r.observation, Observation::RequestSent { .. });
        let start = records.iter().find(is_request).map_or(0, |r| r.time);
        let span = start + WARM_US..start + until;
        let records_of = |name: &str| -> Vec<Record> {
            let mut request_ids = std::collections::HashSet::new();
            let of_tenant = records.iter().filter(|r| match &r.observation {
                Observation::RequestSent { request_id, tenant, .. } => {
                    tenant == name && request_ids.insert(*request_id)
                }
                Observation::Answered { request_id, .. } => request_ids.contains(request_id),
                _ => false,
            });
            of_tenant.cloned().collect()
        };
        let served = |name: &str| served_share(&records_of(name), span.start, span.end);
        let mut a = count(&records_of("a"), span.start, span.end);
        let (early, late) = (quantile_ms(&mut a.refusals, 0.1), quantile_ms(&mut a.refusals, 0.5));
        let third = count(&records_of("third"), span.start, span.end).served as f64 / (quota * load.seconds);
        let broken = check(&records, &rules).len();
        println!(
            "| {multiple} | {:.3} | {:.3} | {early:.0} | {late:.0} | {third:.2} | {broken} broken |",
            served("a"),
            served("b")
        );
    }
    Ok(())
}
