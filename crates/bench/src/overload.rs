//! Goodput by load: calls offered in open loop at multiples of what the stand-in workers can do.

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
/// Half of the capacity at most is offered for so long before each load, so that copies stand.
const WARM_US: Micros = 4_000_000;
/// After the load as before it, to see how service comes back.
const AFTER_US: Micros = 3_000_000;
/// Of a load's span this first part is not counted: the queue fills.
const SETTLE: f64 = 0.3;

/// What is offered.
pub struct Load {
    /// Multiples of the capacity.
    pub multiples: Vec<f64>,
    /// Span of each load.
    pub seconds: f64,
    /// Work of a call.
    pub work: Micros,
    /// Connections held open beside.
    pub idle: usize,
    /// Further tries of a client that was refused.
    pub retries: u32,
    /// What all draws follow from.
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
    while (at as Micros) < until + AFTER_US {
        let loaded = (WARM_US..until).contains(&(at as Micros));
        let rate = capacity * if loaded { multiple } else { multiple.min(0.5) };
        at += -(1.0 - rng.random::<f64>()).ln() * 1e6 / rate;
        plans.push(plan(load, at, plans.len(), ""));
    }
    plans
}

/// Counts of the events first asked within a span, and the times of those served within it.
#[derive(Default)]
struct Told {
    offered: usize,
    served: usize,
    refused: usize,
    failed: usize,
    times: Vec<Micros>,
    refusals: Vec<Micros>,
}

fn count(records: &[Record], from: Micros, until: Micros) -> Told {
    let mut asked: HashMap<u64, (Micros, &str)> = HashMap::new();
    let mut first: HashMap<&str, Micros> = HashMap::new();
    let mut told = Told::default();
    for record in records {
        match &record.observation {
            Observation::RequestSent { request_id: tried, event, .. } => {
                asked.insert(*tried, (record.time, event));
                if !first.contains_key(event.as_str()) {
                    first.insert(event, record.time);
                    told.offered += usize::from((from..until).contains(&record.time));
                }
            }
            Observation::Answered { request_id: tried, answer, .. }
                if (from..until).contains(&record.time) =>
            {
                let Some((at, event)) = asked.get(tried) else { continue };
                match answer {
                    FinalAnswer::Served => {
                        told.served += 1;
                        told.times.push(record.time - first.get(event).unwrap_or(at));
                    }
                    FinalAnswer::Refused => {
                        told.refused += 1;
                        told.refusals.push(record.time - at);
                    }
                    _ => told.failed += 1,
                }
            }
            _ => {}
        }
    }
    told
}

/// Share of the events first asked within a span that were served, whenever.
fn share(records: &[Record], from: Micros, until: Micros) -> f64 {
    let mut tries: HashMap<u64, &str> = HashMap::new();
    let mut events: HashMap<&str, (Micros, bool)> = HashMap::new();
    for record in records {
        match &record.observation {
            Observation::RequestSent { request_id: tried, event, .. } => {
                tries.insert(*tried, event);
                events.entry(event).or_insert((record.time, false));
            }
            Observation::Answered { request_id: tried, answer: FinalAnswer::Served, .. } => {
                let event = tries.get(tried).and_then(|event| events.get_mut(event));
                event.into_iter().for_each(|(_, served)| *served = true);
            }
            _ => {}
        }
    }
    let within = || events.values().filter(|(at, _)| (from..until).contains(at));
    within().filter(|(_, served)| *served).count() as f64 / within().count().max(1) as f64
}

fn at(times: &mut [Micros], share: f64) -> f64 {
    times.sort_unstable();
    let index = (times.len() as f64 * share) as usize;
    times.get(index.min(times.len().saturating_sub(1))).map_or(f64::NAN, |t| *t as f64 / 1e3)
}

/// Measures and prints the curve.
pub fn run(load: &Load) -> Result<(), Box<dyn Error>> {
    let spec = WorkerSpec { default_work: load.work, ..WorkerSpec::default() };
    let capacity = WORKERS as f64 * f64::from(spec.cores) * 1e6 / load.work as f64;
    let (work, seed) = (load.work as f64 / 1e3, load.seed);
    println!(
        "{WORKERS} workers of {} cores, {work} ms a call: {capacity:.0} calls a second; {} s each, {} idle \
         connections, {} further tries, seed {seed}",
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
        // Room for all that is served within the time that it is remembered, or guards would be the limit.
        config.repeats.guards_per_tenant = (capacity * 15.0) as usize;
        let recorder = Recorder::memory();
        let bed = Harness::start(&config, 1, vec![spec.clone(); WORKERS], recorder.clone())?;
        let idle = (0..load.idle).map(|_| TcpStream::connect(bed.addresses[0]));
        let idle = idle.collect::<Result<Vec<_>, _>>()?;
        let clients = Clients::new(bed.addresses.clone(), recorder.clone())?;
        clients.run(plans(load, *multiple, capacity))?;
        drop(idle);
        let rules = rule_settings(&bed.config, &bed.roster.entries);
        bed.stop()?;
        let records = recorder.take();
        let asked = |r: &&Record| matches!(r.observation, Observation::RequestSent { .. });
        let start = records.iter().find(asked).map_or(0, |r| r.time);
        let span = (load.seconds * 1e6) as Micros;
        let (from, until) = (start + WARM_US + (span as f64 * SETTLE) as Micros, start + WARM_US + span);
        let mut told = count(&records, from, until);
        let after = |from: Micros, until: Micros| format!("{:.2}", share(&records, from, until));
        let lag = records.iter().filter_map(|r| match r.observation {
            Observation::Lagged { longest_turn: turn, longest_wait: waited, .. } => Some(turn.max(waited)),
            _ => None,
        });
        let lag = lag.max().map_or("< 5".into(), |us| format!("{:.1}", us as f64 / 1e3));
        let seconds = (until - from) as f64 / 1e6;
        let breaches = check(&records, &rules);
        println!(
            "| {multiple} | {:.0} | {:.0} | {:.2} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {lag} | {} | \
             {} | {} |",
            told.offered as f64 / seconds,
            told.served as f64 / seconds,
            told.served as f64 / seconds / capacity,
            told.refused as f64 / seconds,
            told.failed as f64 / seconds,
            at(&mut told.times, 0.5),
            at(&mut told.times, 0.99),
            at(&mut told.refusals, 0.5),
            at(&mut told.refusals, 0.99),
            after(until, until + 2_000_000),
            after(until + 2_000_000, until + AFTER_US),
            if breaches.is_empty() { "kept".into() } else { format!("{} broken", breaches.len()) },
        );
        breaches.iter().take(3).for_each(|breach| println!("{breach}"));
    }
    Ok(())
}

/// Two tenants within their quotas, beside a third at a multiple of its own: what each is served, alone and
/// beside it.
pub fn fair(load: &Load) -> Result<(), Box<dyn Error>> {
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
        let bed = Harness::start(&config, 1, vec![spec.clone(); WORKERS], recorder.clone())?;
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
        Clients::new(bed.addresses.clone(), recorder.clone())?.run(plans)?;
        let rules = rule_settings(&bed.config, &bed.roster.entries);
        bed.stop()?;
        let records = recorder.take();
        let asked = |r: &&Record| matches!(r.observation, Observation::RequestSent { .. });
        let start = records.iter().find(asked).map_or(0, |r| r.time);
        let span = start + WARM_US..start + until;
        let of = |name: &str| -> Vec<Record> {
            let mut tries = std::collections::HashSet::new();
            let mine = records.iter().filter(|r| match &r.observation {
                Observation::RequestSent { request_id: tried, tenant, .. } => {
                    tenant == name && tries.insert(*tried)
                }
                Observation::Answered { request_id: tried, .. } => tries.contains(tried),
                _ => false,
            });
            mine.cloned().collect()
        };
        let served = |name: &str| share(&of(name), span.start, span.end);
        let mut a = count(&of("a"), span.start, span.end);
        let (early, late) = (at(&mut a.refusals, 0.1), at(&mut a.refusals, 0.5));
        let third = count(&of("third"), span.start, span.end).served as f64 / (quota * load.seconds);
        let broken = check(&records, &rules).len();
        println!(
            "| {multiple} | {:.3} | {:.3} | {early:.0} | {late:.0} | {third:.2} | {broken} broken |",
            served("a"),
            served("b")
        );
    }
    Ok(())
}
