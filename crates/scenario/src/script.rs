use basaltward_config::xml::{Element, parse_validated};
use basaltward_config::{Config, ConfigError, Fault};
use basaltward_fakes::{RetryPolicy, WorkerSpec};
use basaltward_net::Micros;
use std::path::Path;

const SCHEMA: &str = include_str!("../play.xsd");

/// What happens at a told time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// A fault of a worker, and its end after a span.
    WorkerFault(usize, basaltward_fakes::Fault, Option<(Micros, basaltward_fakes::Fault)>),
    /// A worker drains; the roster says so after its lag, and after the span that it is gone.
    Drain(usize, Micros),
    /// A worker's process dies, and is back, cold, after the span.
    Kill(usize, Micros),
    /// A gateway is killed or stopped, and back after the span.
    RestartGateway(usize, Micros, bool),
    /// The roster is empty for a span.
    EmptyRoster(Micros),
    /// The rate of calls is so many times higher for a span.
    Surge(f64, Micros),
    /// A share of clients leaves after a time and repeats the same event, so many times, for a span.
    EarlyLeavers {
        /// Share of the events.
        share: f64,
        /// They leave after this.
        disconnect_after: Micros,
        /// And repeat so often.
        max_repeats: u32,
        /// How long the spell lasts.
        span: Micros,
    },
}

/// An act at its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedAction {
    /// From the start of the day.
    pub at: Micros,
    /// What happens.
    pub action: Action,
}

/// A day.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Settings of the gateways.
    pub config: Config,
    /// Every random choice follows from it.
    pub seed: u64,
    /// How much later the roster tells of a worker's change.
    pub roster_delay: Micros,
    /// The workers.
    pub workers: Vec<WorkerSpec>,
    /// Number of gateways.
    pub gateways: u32,
    /// Events a second.
    pub rate: f64,
    /// How long events are sent.
    pub duration: Micros,
    /// Mean work of a call.
    pub mean_work: Micros,
    /// Popularity of functions falls as 1 / rank to this power.
    pub popularity_exponent: f64,
    /// Bytes of payload.
    pub payload: usize,
    /// What clients do without a reply.
    pub retry_policy: RetryPolicy,
    /// A client's patience is drawn between this share of its class's deadline and all of it.
    pub min_timeout_share: f64,
    /// What happens, by time.
    pub steps: Vec<TimedAction>,
}

/// Reads a script and the settings that it names.
///
/// # Errors
/// All faults of either file.
pub fn load(path: &Path) -> Result<Scenario, ConfigError> {
    let told = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|source| ConfigError::File { path: told.clone(), source })?;
    let folder = path.parent().unwrap_or(Path::new(""));
    // The schema first, then the settings that the script names, then what needs both.
    let named = parse_validated(&text, &told, SCHEMA, |root, _| {
        root.attribute("config").unwrap_or_default().to_owned()
    })?;
    let config = basaltward_config::load(&folder.join(named))?;
    parse_validated(&text, &told, SCHEMA, |root, faults| script(root, config, faults))
}

fn micros(millis: f64) -> Micros {
    (millis * 1e3).round() as Micros
}

fn script(root: Element, mut config: Config, faults: &mut Vec<Fault>) -> Scenario {
    let part = |name: &str| root.child(name).unwrap_or(root);
    let (workers, clients) = (part("workers"), part("clients"));
    let number = |node: &Element, name: &str, absent: f64, faults: &mut Vec<Fault>| {
        node.parse_attribute::<f64>(name, faults).unwrap_or(absent)
    };
    let count = number(&workers, "count", 1.0, faults) as usize;
    let gateways = number(&part("gateways"), "count", 1.0, faults) as u32;
    config.threads = part("gateways").parse_attribute("threads", faults).unwrap_or(config.threads);
    let work = micros(number(&clients, "work-ms", 20.0, faults));
    let usual = WorkerSpec::default();
    let rules = &config.controller.rules;
    let spec = WorkerSpec {
        cores: number(&workers, "cores", 4.0, faults) as u32,
        memory_mb: config.controller.copies.kind_memory_mb.first().copied().unwrap_or(usual.memory_mb),
        default_work: work,
        fetch_and_start: (
            micros(number(&workers, "fetch-ms", 300.0, faults)),
            micros(number(&workers, "start-ms", 200.0, faults)),
        ),
        idle_timeout: micros(number(&workers, "keep-ms", 10_000.0, faults)),
        queue_limit: number(&workers, "queue", 32.0, faults) as usize,
        loses_keys_when_killed: workers.parse_attribute("forgets-keys", faults).unwrap_or(false),
        load_on_miss: config.controller.copies.load_on_miss,
        initial_capacity_share: rules.cold_from,
        warm_up_time: rules.warm_within,
        overload_multiple: rules.overload_multiple,
        overload_window: rules.overload_span,
        ..usual
    };
    let slow = (number(&workers, "slow-share", 0.0, faults) * count as f64).round() as usize;
    let specs =
        (0..count).map(|index| WorkerSpec { speed: if index < slow { 0.75 } else { 1.0 }, ..spec.clone() });
    let mut steps: Vec<TimedAction> = Vec::new();
    for node in root.children_named("at") {
        steps.extend(step(&node, count, gateways as usize, faults));
    }
    steps.sort_by_key(|step| step.at);
    Scenario {
        seed: number(&root, "seed", 0.0, faults) as u64,
        roster_delay: micros(number(&root, "roster-lag-ms", 0.0, faults)),
        workers: specs.collect(),
        gateways,
        rate: number(&clients, "rate", 1.0, faults),
        duration: (number(&clients, "seconds", 1.0, faults) * 1e6) as Micros,
        mean_work: work,
        popularity_exponent: number(&clients, "skew", 1.0, faults),
        payload: number(&clients, "payload", 200.0, faults) as usize,
        retry_policy: RetryPolicy {
            max_retries: number(&clients, "retries", 0.0, faults) as u32,
            delay: micros(number(&clients, "retry-wait-ms", 100.0, faults)),
            ..RetryPolicy::default()
        },
        min_timeout_share: number(&clients, "least-patience", 1.0, faults),
        steps,
        config,
    }
}

fn step(node: &Element, workers: usize, gateways: usize, faults: &mut Vec<Fault>) -> Option<TimedAction> {
    use basaltward_fakes::Fault as Does;
    let at = micros(node.parse_attribute("ms", faults)?);
    let told = node.attribute("do").unwrap_or_default();
    let span = node.parse_attribute::<f64>("for-ms", faults).map(micros);
    let mut position = |attribute: &str, count: usize| {
        let position = node.parse_attribute::<usize>(attribute, faults);
        if position.is_none_or(|p| p >= count) {
            faults
                .push(node.fault(format!("{told} needs {attribute} from 0 to {}", count.saturating_sub(1))));
        }
        position.filter(|p| *p < count)
    };
    let mut worker = || position("worker", workers);
    let act = match told {
        "drain" => Action::Drain(worker()?, span.unwrap_or(3_000_000)),
        "kill" | "restart" => {
            Action::Kill(worker()?, span.unwrap_or(if told == "kill" { 2_000_000 } else { 1 }))
        }
        "kill-gateway" | "stop-gateway" => Action::RestartGateway(
            position("gateway", gateways)?,
            span.unwrap_or(500_000),
            told == "kill-gateway",
        ),
        "empty-roster" => Action::EmptyRoster(span.unwrap_or(1_000_000)),
        "surge" => {
            Action::Surge(node.parse_attribute("times", faults).unwrap_or(2.0), span.unwrap_or(3_000_000))
        }
        "early-leavers" => Action::EarlyLeavers {
            share: node.parse_attribute("share", faults).unwrap_or(0.5),
            disconnect_after: micros(node.parse_attribute("leave-ms", faults).unwrap_or(100.0)),
            max_repeats: node.parse_attribute("repeats", faults).unwrap_or(10),
            span: span.unwrap_or(3_000_000),
        },
        "store" => {
            let times = node.parse_attribute("times", faults).unwrap_or(5.0);
            let end = (span.unwrap_or(5_000_000), Does::StoreSlow(1.0));
            Action::WorkerFault(0, Does::StoreSlow(times), Some(end))
        }
        _ => {
            let worker = worker()?;
            let (begin, end) = match told {
                "silent" => (Does::Silent(true), Does::Silent(false)),
                "slow" => (Does::Slow(node.parse_attribute("times", faults).unwrap_or(5.0)), Does::Slow(1.0)),
                "garbage" => (Does::Garbage(true), Does::Garbage(false)),
                "reset" => (
                    Does::ResetAt(Some(node.parse_attribute("byte", faults).unwrap_or(0))),
                    Does::ResetAt(None),
                ),
                "too-long" => (Does::TooLong(true), Does::TooLong(false)),
                _ => (Does::CloseAfter(true), Does::CloseAfter(false)),
            };
            Action::WorkerFault(worker, begin, Some((span.unwrap_or(3_000_000), end)))
        }
    };
    Some(TimedAction { at, action: act })
}
