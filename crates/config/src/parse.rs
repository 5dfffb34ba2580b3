use crate::sites::{replication, sites};
use crate::xml::{Element, parse_validated};
use crate::{
    ClientLimits, Config, ConfigError, Fault, FunctionConfig, LinkConfig, MarginConfig, RepeatsConfig, SCHEMA,
};
use basaltward::{Class, Group, Micros, Repeat, Settings};
use std::path::{Path, PathBuf};

/// Maximum retry delay sent to clients, in microseconds. A delay is estimated from the state of a queue, which is
/// outdated after this time.
const MAX_RETRY_AFTER_US: u64 = 5_000_000;

type Faults = Vec<Fault>;

/// Names of the values in a worker's load report, in the order in which the controller gets them.
const REPORT_NAMES: [&str; 3] = ["inflight", "pinned", "loads"];

pub fn read(text: &str, path: &Path) -> Result<Config, ConfigError> {
    let folder = path.parent().unwrap_or(Path::new(""));
    let shown = path.display().to_string();
    parse_validated(text, &shown, SCHEMA, |root, faults| config(root, folder, faults))
}

/// An element that may be absent. Its attributes have defaults.
struct OptionalElement<'a>(Option<Element<'a>>);

impl OptionalElement<'_> {
    fn parse_or<T: std::str::FromStr>(&self, name: &str, default: T, faults: &mut Faults) -> T {
        self.0.and_then(|n| n.parse_attribute(name, faults)).unwrap_or(default)
    }

    /// Reads milliseconds and returns microseconds.
    fn micros_or(&self, name: &str, default: f64, faults: &mut Faults) -> Micros {
        to_micros(self.parse_or(name, default, faults))
    }

    fn bool_or(&self, name: &str, default: bool) -> bool {
        self.0.and_then(|n| n.bool_attribute(name)).unwrap_or(default)
    }
}

fn to_micros(millis: f64) -> Micros {
    (millis * 1_000.0).round() as Micros
}

/// Reads an attribute in milliseconds and returns microseconds; `None` if it is absent.
fn micros(node: &Element, name: &str, faults: &mut Faults) -> Option<Micros> {
    node.parse_attribute::<f64>(name, faults).map(to_micros)
}

/// The names of a list's elements. Adds a fault for each duplicate.
fn unique_names(list: Option<Element>, element: &str, faults: &mut Faults) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for node in list.map(|l| l.children_named(element)).unwrap_or_default() {
        let name = node.attribute("name").unwrap_or_default().to_owned();
        if names.contains(&name) {
            faults.push(node.fault(format!("duplicate {element} {name:?}")));
        }
        names.push(name);
    }
    names
}

/// The index in `names` of the name that an attribute holds. Adds a fault if the value is not one of them.
fn index_of(node: &Element, attribute: &str, names: &[String], faults: &mut Faults) -> usize {
    let value = node.attribute(attribute).unwrap_or_default();
    names.iter().position(|n| n == value).unwrap_or_else(|| {
        faults.push(node.fault(format!("{attribute} {value:?} is not one of {}", names.join(", "))));
        0
    })
}

/// Reads the controller's settings of a class.
fn class(node: &Element, faults: &mut Faults) -> Class {
    let aim = micros(node, "aim-ms", faults).unwrap_or(0);
    let deadline = micros(node, "deadline-ms", faults).unwrap_or(0);
    if deadline < aim {
        faults.push(node.fault("deadline-ms must not be below aim-ms"));
    }
    let window = micros(node, "window-ms", faults);
    let group = match node.attribute("group") {
        Some("zone") => Group::Zone,
        Some("cell") => Group::Cell,
        _ => Group::All,
    };
    let repeat = match (node.attribute("repeat"), window) {
        (Some("keyed"), Some(window)) => Repeat::Keyed { group, window },
        (Some("keyed"), None) => {
            faults.push(node.fault("a keyed class needs window-ms, the time for which workers drop repeats"));
            Repeat::Unsafe
        }
        (repeat, window) => {
            if window.is_some() || node.attribute("group").is_some() {
                faults.push(node.fault("window-ms and group are for keyed classes only"));
            }
            if repeat == Some("safe") { Repeat::Safe } else { Repeat::Unsafe }
        }
    };
    let element = OptionalElement(Some(*node));
    Class {
        value: element.parse_or("worth", 1.0, faults),
        late_value: element.parse_or("late-worth", 0.0, faults),
        ..Class::new(aim, deadline, repeat)
    }
}

/// `largest` is the memory of the largest kind of worker, in MB.
fn function(node: &Element, classes: &[String], largest: f64, faults: &mut Faults) -> FunctionConfig {
    let memory_mb = node.parse_attribute("memory-mb", faults).unwrap_or(1.0);
    if memory_mb > largest {
        faults.push(
            node.fault(format!(
                "a copy of {memory_mb} MB fits no kind of worker: the largest has {largest} MB"
            )),
        );
    }
    FunctionConfig {
        name: node.attribute("name").unwrap_or_default().into(),
        class: index_of(node, "class", classes, faults),
        memory_mb,
        lanes: node.parse_attribute("lanes", faults).unwrap_or(1),
        load_time: micros(node, "load-ms", faults),
    }
}

/// Converts a document that conforms to the schema. Adds a fault for each value that the schema can't check.
fn config(root: Element, folder: &Path, faults: &mut Faults) -> Config {
    let optional = |name: &str| OptionalElement(root.child(name));
    let (gateway, roster, workers) = (optional("gateway"), optional("roster"), optional("workers"));
    let zones = unique_names(root.child("zones"), "zone", faults);
    let worker_kinds = unique_names(root.child("kinds"), "kind", faults);
    let classes = unique_names(root.child("classes"), "class", faults);
    let tenants = unique_names(root.child("tenants"), "tenant", faults);
    unique_names(root.child("functions"), "function", faults);
    let list =
        |list: &str, element: &str| root.child(list).map(|l| l.children_named(element)).unwrap_or_default();
    let kind_memory_mb: Vec<f64> =
        list("kinds", "kind").iter().map(|k| k.parse_attribute("memory-mb", faults).unwrap_or(1.0)).collect();
    let class_settings: Vec<Class> = list("classes", "class").iter().map(|c| class(c, faults)).collect();
    let replication: Vec<_> = list("classes", "class").iter().map(|c| replication(c, faults)).collect();
    let largest = kind_memory_mb.iter().copied().fold(0.0, f64::max);
    let functions =
        list("functions", "function").iter().map(|f| function(f, &classes, largest, faults)).collect();

    let mut controller = Settings::new(class_settings, kind_memory_mb);
    controller.tenant_quotas = list("tenants", "tenant")
        .iter()
        .map(|t| t.parse_attribute("quota-per-s", faults).unwrap_or(0.0))
        .collect();
    controller.over_share_value = optional("tenants").parse_or("over-share-worth", 1.0, faults);
    controller.report_names = REPORT_NAMES.map(str::to_owned).to_vec();
    controller.zone = match gateway.0.filter(|g| g.attribute("zone").is_some()) {
        Some(node) => index_of(&node, "zone", &zones, faults),
        None => 0,
    };
    let copies = &mut controller.copies;
    copies.load_on_miss = workers.bool_or("load-on-miss", false);
    copies.orders = workers.bool_or("orders", true);
    copies.order_timeout = workers.micros_or("order-timeout-ms", 10_000.0, faults);
    copies.keep_alive = workers.micros_or("keep-ms", 10_000.0, faults);
    copies.load_window = workers.micros_or("load-window-ms", 0.0, faults);
    copies.load_free = workers.parse_or("load-free", 0.0, faults);
    copies.load_share = workers.parse_or("load-share", 0.0, faults);
    if let Some(node) = workers.0.filter(|_| !copies.orders && !copies.load_on_miss) {
        faults.push(node.fault("with neither orders nor load-on-miss no copy can ever be loaded"));
    }
    if let Some(node) =
        workers.0.filter(|_| copies.load_window > 0 && copies.load_free < 1.0 && !copies.load_on_miss)
    {
        faults.push(node.fault("load-free below 1 allows no first load within load-window-ms"));
    }
    let limits = &mut controller.limits;
    limits.attempts = workers.parse_or("attempts", 3, faults);
    limits.concurrent_attempts = workers.bool_or("second-copies", true);
    limits.cancel = workers.bool_or("cancel", true);
    (limits.retry_after, limits.max_retry_after) = (true, MAX_RETRY_AFTER_US);
    let rules = optional("rules");
    controller.rules.answer_slack = rules.micros_or("answer-slack-ms", 0.0, faults);
    controller.rules.cold_from = rules.parse_or("cold-from", 0.2, faults);
    controller.rules.warm_within = rules.micros_or("warm-within-ms", 15_000.0, faults);
    controller.rules.overload_multiple = rules.parse_or("tip-multiple", 3.0, faults);
    controller.rules.overload_span = rules.micros_or("fall-ms", 2_000.0, faults);
    if let (true, Err(error)) = (faults.is_empty(), controller.check()) {
        faults.push(root.fault(error.to_string()));
    }

    let gateway_index = gateway.parse_or("index", 0, faults);
    let gateway_count = gateway.parse_or("count", 1, faults);
    if let Some(node) = gateway.0.filter(|_| gateway_index >= gateway_count) {
        faults.push(node.fault(format!("index {gateway_index} must be below count {gateway_count}")));
    }
    let limits = optional("limits");
    let repeats = optional("repeats");
    let retention = repeats.micros_or("remember-ms", 10_000.0, faults);
    let longest_deadline =
        controller.classes.iter().filter(|c| c.repeat != Repeat::Safe).map(|c| c.deadline).max();
    if longest_deadline.is_some_and(|longest| retention < longest) {
        let node = repeats.0.unwrap_or(root);
        faults.push(node.fault("remember-ms must not be below the deadline of a keyed or unsafe class"));
    }
    let margin = optional("margin");
    let name = gateway
        .0
        .and_then(|g| g.attribute("name"))
        .map_or_else(|| format!("gateway-{gateway_index}"), str::to_owned);
    let sites = root.child("sites").and_then(|node| sites(&node, &name, faults));
    let replicated =
        list("classes", "class").into_iter().zip(&replication).find(|(_, replication)| replication.is_some());
    if let (Some((node, _)), None) = (replicated, root.child("sites")) {
        faults.push(node.fault(
            "pending=\"kept\" needs a sites element: events are replicated to gateways of other sites",
        ));
    }
    Config {
        name,
        gateway_index,
        gateway_count,
        threads: gateway.parse_or("threads", 1, faults),
        listen: optional("listen").parse_or("address", ([127, 0, 0, 1], 0).into(), faults),
        roster_file: file(roster.0, "file", folder).unwrap_or_default(),
        roster_check_interval: roster.micros_or("check-ms", 200.0, faults),
        zones,
        worker_kinds,
        classes,
        replication,
        tenants,
        functions,
        controller,
        drain_grace: rules.micros_or("drain-grace-ms", 2_000.0, faults),
        links: LinkConfig {
            connections: workers.parse_or("connections", 64, faults),
            connect_timeout: workers.micros_or("connect-timeout-ms", 250.0, faults),
            idle_timeout: workers.micros_or("idle-ms", 5_000.0, faults),
            response_bytes: workers.parse_or("response-bytes", 4 << 20, faults),
        },
        client_limits: ClientLimits {
            connections: limits.parse_or("connections", 10_000, faults),
            calls: limits.parse_or("calls", 20_000, faults),
            waiters: limits.parse_or("waiters", 256, faults),
            batch_events: limits.parse_or("batch", 64, faults),
            line_bytes: limits.parse_or("line-bytes", 8 << 10, faults),
            head_bytes: limits.parse_or("head-bytes", 16 << 10, faults),
            header_fields: limits.parse_or("fields", 100, faults),
            body_bytes: limits.parse_or("body-bytes", 1 << 20, faults),
            unsent_bytes: limits.parse_or("unsent-bytes", 1 << 20, faults),
            head_timeout: limits.micros_or("head-ms", 5_000.0, faults),
            body_timeout: limits.micros_or("body-ms", 10_000.0, faults),
            idle_timeout: limits.micros_or("idle-ms", 60_000.0, faults),
        },
        repeats: RepeatsConfig {
            retention,
            answers_per_tenant: repeats.parse_or("answers-per-tenant", 4_096, faults),
            guards_per_tenant: repeats.parse_or("guards-per-tenant", 16_384, faults),
            bytes_per_tenant: repeats.parse_or("bytes-per-tenant", 16 << 20, faults),
            linger: repeats.micros_or("linger-ms", 1_000.0, faults),
        },
        margin: MarginConfig {
            share: margin.parse_or("share", 0.02, faults),
            min: margin.micros_or("least-ms", 2.0, faults),
            max: margin.micros_or("most-ms", 25.0, faults),
        },
        records_file: file(root.child("records"), "file", folder),
        sites,
    }
}

/// The path that an attribute holds, resolved against the folder of the settings file.
fn file(node: Option<Element>, name: &str, folder: &Path) -> Option<PathBuf> {
    node?.attribute(name).map(|path| folder.join(path))
}
