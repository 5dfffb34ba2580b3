//! Reads scenario scripts.

use basaltward_config::xml::{Element, parse_validated};
use basaltward_config::{Config, ConfigError, Fault};
use basaltward_fakes::{RetryPolicy, WorkerSpec};
use basaltward_net::Micros;
use std::path::Path;

const SCHEMA: &str = include_str!("../play.xsd");

/// A fault or a change that a scenario brings about. Spans are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Injects a fault into a worker; if given, the second fault, which ends the first, follows after the span.
    WorkerFault(usize, basaltward_fakes::Fault, Option<(Micros, basaltward_fakes::Fault)>),
    /// Drains a worker and restarts it after the span. The roster lists it as leaving after the roster's delay and as
    /// gone after the span, or after the delay if that is longer.
    Drain(usize, Micros),
    /// Kills a worker's process and restarts it, cold, after the span. The roster lists it as gone after the roster's
    /// delay unless it has restarted by then.
    Kill(usize, Micros),
    /// Kills (`true`) or stops (`false`) a gateway and starts it again after the span.
    RestartGateway(usize, Micros, bool),
    /// Empties the roster for the span.
    EmptyRoster(Micros),
    /// Multiplies the rate of events by the factor for the span.
    Surge(f64, Micros),
    /// For a span, some clients disconnect early and repeat the event at once.
    EarlyLeavers {
        /// Share of the events whose clients do so.
        share: f64,
        /// Time without an answer after which they disconnect.
        disconnect_after: Micros,
        /// Maximum of repeats of an event.
        max_repeats: u32,
        /// For how long new events are affected.
        span: Micros,
    },
}

/// An action with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedAction {
    /// Time from the start of the scenario, in microseconds.
    pub at: Micros,
    /// The action to carry out.
    pub action: Action,
}

/// A scenario: gateways, workers, the load of the clients, and faults. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Settings of the gateways.
    pub config: Config,
    /// Seed of all random choices.
    pub seed: u64,
    /// How long after a worker's change the roster lists it.
    pub roster_delay: Micros,
    /// Specs of the workers.
    pub workers: Vec<WorkerSpec>,
    /// Number of gateways.
    pub gateways: u32,
    /// Events per second.
    pub rate: f64,
    /// How long clients send events.
    pub duration: Micros,
    /// Mean work of a call.
    pub mean_work: Micros,
    /// Exponent of Zipf's law: a function's popularity is proportional to 1 / rank to this power.
    pub popularity_exponent: f64,
    /// Size of an event's payload in bytes.
    pub payload: usize,
    /// How clients retry.
    pub retry_policy: RetryPolicy,
    /// A client's timeout is drawn between this share of its class's deadline and the whole deadline.
    pub min_timeout_share: f64,
    /// Actions, ordered by time.
    pub steps: Vec<TimedAction>,
}

/// Reads a script and the settings file that it refers to.
///
/// # Errors
/// If a file can't be read or is invalid; the error lists all faults of that file.
pub fn load(path: &Path) -> Result<Scenario, ConfigError> {
    let script_name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|source| ConfigError::File { path: script_name.clone(), source })?;
    let directory = path.parent().unwrap_or(Path::new(""));
    // Validates against the schema first, then loads the settings that the script refers to, then reads the rest of the
    // script, which needs both.
    let config_file = parse_validated(&text, &script_name, SCHEMA, |root, _| {
        root.attribute("config").unwrap_or_default().to_owned()
    })?;
    let config = basaltward_config::load(&directory.join(config_file))?;
    parse_validated(&text, &script_name, SCHEMA, |root, faults| read_scenario(root, config, faults))
}

fn micros(millis: f64) -> Micros {
    (millis * 1e3).round() as Micros
}

fn read_scenario(root: Element, mut config: Config, faults: &mut Vec<Fault>) -> Scenario {
    let element = |name: &str| root.child(name).unwrap_or(root);
    let (workers, clients) = (element("workers"), element("clients"));
    let number = |node: &Element, name: &str, default: f64, faults: &mut Vec<Fault>| {
        node.parse_attribute::<f64>(name, faults).unwrap_or(default)
    };
    let count = number(&workers, "count", 1.0, faults) as usize;
    let gateways = number(&element("gateways"), "count", 1.0, faults) as u32;
    config.threads = element("gateways").parse_attribute("threads", faults).unwrap_or(config.threads);
    let work = micros(number(&clients, "work-ms", 20.0, faults));
    let defaults = WorkerSpec::default();
    let rules = &config.controller.rules;
    let spec = WorkerSpec {
        cores: number(&workers, "cores", 4.0, faults) as u32,
        memory_mb: config.controller.copies.kind_memory_mb.first().copied().unwrap_or(defaults.memory_mb),
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
        ..defaults
    };
    let slow_workers = (number(&workers, "slow-share", 0.0, faults) * count as f64).round() as usize;
    let specs = (0..count)
        .map(|index| WorkerSpec { speed: if index < slow_workers { 0.75 } else { 1.0 }, ..spec.clone() });
    let mut steps: Vec<TimedAction> = Vec::new();
    for node in root.children_named("at") {
        steps.extend(read_step(&node, count, gateways as usize, faults));
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

fn read_step(
    node: &Element,
    workers: usize,
    gateways: usize,
    faults: &mut Vec<Fault>,
) -> Option<TimedAction> {
    use basaltward_fakes::Fault as WorkerFault;
    let at = micros(node.parse_attribute("ms", faults)?);
    let action_name = node.attribute("do").unwrap_or_default();
    let span = node.parse_attribute::<f64>("for-ms", faults).map(micros);
    let mut position = |attribute: &str, count: usize| {
        let position = node.parse_attribute::<usize>(attribute, faults);
        if position.is_none_or(|p| p >= count) {
            faults.push(
                node.fault(format!("{action_name} needs {attribute} from 0 to {}", count.saturating_sub(1))),
            );
        }
        position.filter(|p| *p < count)
    };
    let mut worker = || position("worker", workers);
    let action = match action_name {
        "drain" => Action::Drain(worker()?, span.unwrap_or(3_000_000)),
        "kill" | "restart" => {
            Action::Kill(worker()?, span.unwrap_or(if action_name == "kill" { 2_000_000 } else { 1 }))
        }
        "kill-gateway" | "stop-gateway" => Action::RestartGateway(
            position("gateway", gateways)?,
            span.unwrap_or(500_000),
            action_name == "kill-gateway",
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
            let end = (span.unwrap_or(5_000_000), WorkerFault::StoreSlow(1.0));
            Action::WorkerFault(0, WorkerFault::StoreSlow(times), Some(end))
        }
        _ => {
            let worker = worker()?;
            let (begin, end) = match action_name {
                "silent" => (WorkerFault::Silent(true), WorkerFault::Silent(false)),
                "slow" => (
                    WorkerFault::Slow(node.parse_attribute("times", faults).unwrap_or(5.0)),
                    WorkerFault::Slow(1.0),
                ),
                "garbage" => (WorkerFault::Garbage(true), WorkerFault::Garbage(false)),
                "reset" => (
                    WorkerFault::ResetAt(Some(node.parse_attribute("byte", faults).unwrap_or(0))),
                    WorkerFault::ResetAt(None),
                ),
                "too-long" => (WorkerFault::TooLong(true), WorkerFault::TooLong(false)),
                _ => (WorkerFault::CloseAfter(true), WorkerFault::CloseAfter(false)),
            };
            Action::WorkerFault(worker, begin, Some((span.unwrap_or(3_000_000), end)))
        }
    };
    Some(TimedAction { at, action })
}
