use crate::sites::{kept, sites};
use crate::xml::{Element, parse_validated};
use crate::{
    ClientLimits, Config, ConfigError, Fault, FunctionConfig, LinkConfig, MarginConfig, RepeatsConfig, SCHEMA,
};
use basaltward::{Class, Group, Micros, Repeat, Settings};
use std::path::{Path, PathBuf};

/// Clients are told to stay away for no longer: what is known of a queue is old by then.
const MOST_RETRY_AFTER_US: u64 = 5_000_000;

type Faults = Vec<Fault>;

/// Names of the values in a worker's load report, in the order in which the module is told them.
const REPORT: [&str; 3] = ["inflight", "pinned", "loads"];

pub fn read(text: &str, path: &Path) -> Result<Config, ConfigError> {
    let folder = path.parent().unwrap_or(Path::new(""));
    let told = path.display().to_string();
    parse_validated(text, &told, SCHEMA, |root, faults| config(root, folder, faults))
}

/// Attributes of an element that may be absent, with a default for each.
struct Part<'a>(Option<Element<'a>>);

impl Part<'_> {
    fn number<T: std::str::FromStr>(&self, name: &str, absent: T, faults: &mut Faults) -> T {
        self.0.and_then(|n| n.parse_attribute(name, faults)).unwrap_or(absent)
    }

    /// Milliseconds, as microseconds.
    fn millis(&self, name: &str, absent: f64, faults: &mut Faults) -> Micros {
        micros(self.number(name, absent, faults))
    }

    fn flag(&self, name: &str, absent: bool) -> bool {
        self.0.and_then(|n| n.bool_attribute(name)).unwrap_or(absent)
    }
}

fn micros(millis: f64) -> Micros {
    (millis * 1_000.0).round() as Micros
}

fn span(node: &Element, name: &str, faults: &mut Faults) -> Option<Micros> {
    node.parse_attribute::<f64>(name, faults).map(micros)
}

/// The names of a list's elements, each at most once.
fn names(list: Option<Element>, element: &str, faults: &mut Faults) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for node in list.map(|l| l.children(element)).unwrap_or_default() {
        let name = node.attribute("name").unwrap_or_default().to_owned();
        if names.contains(&name) {
            faults.push(node.fault(format!("{element} {name:?} stands twice")));
        }
        names.push(name);
    }
    names
}

fn position(node: &Element, attribute: &str, names: &[String], faults: &mut Faults) -> usize {
    let told = node.attribute(attribute).unwrap_or_default();
    names.iter().position(|n| n == told).unwrap_or_else(|| {
        faults.push(node.fault(format!("{attribute} {told:?} is not among {}", names.join(", "))));
        0
    })
}

fn class(node: &Element, faults: &mut Faults) -> Class {
    let aim = span(node, "aim-ms", faults).unwrap_or(0);
    let deadline = span(node, "deadline-ms", faults).unwrap_or(0);
    if deadline < aim {
        faults.push(node.fault("deadline-ms must not be below aim-ms"));
    }
    let window = span(node, "window-ms", faults);
    let group = match node.attribute("group") {
        Some("zone") => Group::Zone,
        Some("cell") => Group::Cell,
        _ => Group::All,
    };
    let repeat = match (node.attribute("repeat"), window) {
        (Some("keyed"), Some(window)) => Repeat::Keyed { group, window },
        (Some("keyed"), None) => {
            faults.push(node.fault("a keyed class needs window-ms: how long workers drop repeats"));
            Repeat::Unsafe
        }
        (told, window) => {
            if window.is_some() || node.attribute("group").is_some() {
                faults.push(node.fault("window-ms and group are for keyed classes only"));
            }
            if told == Some("safe") { Repeat::Safe } else { Repeat::Unsafe }
        }
    };
    let optional = Part(Some(*node));
    Class {
        worth: optional.number("worth", 1.0, faults),
        late_worth: optional.number("late-worth", 0.0, faults),
        ..Class::new(aim, deadline, repeat)
    }
}

fn function(node: &Element, classes: &[String], largest: f64, faults: &mut Faults) -> FunctionConfig {
    let memory_mb = node.parse_attribute("memory-mb", faults).unwrap_or(1.0);
    if memory_mb > largest {
        faults.push(
            node.fault(format!("a copy of {memory_mb} MB fits no kind of worker: the largest has {largest}")),
        );
    }
    FunctionConfig {
        name: node.attribute("name").unwrap_or_default().into(),
        class: position(node, "class", classes, faults),
        memory_mb,
        lanes: node.parse_attribute("lanes", faults).unwrap_or(1),
        load_time: span(node, "load-ms", faults),
    }
}

fn config(root: Element, folder: &Path, faults: &mut Faults) -> Config {
    let part = |name: &str| Part(root.child(name));
    let (gateway, roster, workers) = (part("gateway"), part("roster"), part("workers"));
    let zones = names(root.child("zones"), "zone", faults);
    let kinds = names(root.child("kinds"), "kind", faults);
    let classes = names(root.child("classes"), "class", faults);
    let tenants = names(root.child("tenants"), "tenant", faults);
    names(root.child("functions"), "function", faults);
    let list = |list: &str, element: &str| root.child(list).map(|l| l.children(element)).unwrap_or_default();
    let memory: Vec<f64> =
        list("kinds", "kind").iter().map(|k| k.parse_attribute("memory-mb", faults).unwrap_or(1.0)).collect();
    let told: Vec<Class> = list("classes", "class").iter().map(|c| class(c, faults)).collect();
    let kept: Vec<_> = list("classes", "class").iter().map(|c| kept(c, faults)).collect();
    let largest = memory.iter().copied().fold(0.0, f64::max);
    let functions =
        list("functions", "function").iter().map(|f| function(f, &classes, largest, faults)).collect();

    let mut module = Settings::new(told, memory);
    module.tenant_quotas = list("tenants", "tenant")
        .iter()
        .map(|t| t.parse_attribute("quota-per-s", faults).unwrap_or(0.0))
        .collect();
    module.over_share_worth = part("tenants").number("over-share-worth", 1.0, faults);
    module.report_names = REPORT.map(str::to_owned).to_vec();
    module.zone = match gateway.0.filter(|g| g.attribute("zone").is_some()) {
        Some(node) => position(&node, "zone", &zones, faults),
        None => 0,
    };
    let family = &mut module.family;
    family.load_on_miss = workers.flag("load-on-miss", false);
    family.orders = workers.flag("orders", true);
    family.order_timeout = workers.millis("order-timeout-ms", 10_000.0, faults);
    family.keep = workers.millis("keep-ms", 10_000.0, faults);
    family.load_window = workers.millis("load-window-ms", 0.0, faults);
    family.load_free = workers.number("load-free", 0.0, faults);
    family.load_share = workers.number("load-share", 0.0, faults);
    if let Some(node) = workers.0.filter(|_| !family.orders && !family.load_on_miss) {
        faults.push(node.fault("with neither orders nor load-on-miss no copy can ever be loaded"));
    }
    if let Some(node) =
        workers.0.filter(|_| family.load_window > 0 && family.load_free < 1.0 && !family.load_on_miss)
    {
        faults.push(node.fault("load-free below 1 allows no first load within load-window-ms"));
    }
    let limits = &mut module.limits;
    limits.attempts = workers.number("attempts", 3, faults);
    limits.second_copies = workers.flag("second-copies", true);
    limits.cancel = workers.flag("cancel", true);
    (limits.retry_after, limits.max_retry_after) = (true, MOST_RETRY_AFTER_US);
    let rules = part("rules");
    module.rules.answer_slack = rules.millis("answer-slack-ms", 0.0, faults);
    module.rules.cold_from = rules.number("cold-from", 0.2, faults);
    module.rules.warm_within = rules.millis("warm-within-ms", 15_000.0, faults);
    module.rules.tip_multiple = rules.number("tip-multiple", 3.0, faults);
    module.rules.fall = rules.millis("fall-ms", 2_000.0, faults);
    if let (true, Err(error)) = (faults.is_empty(), module.check()) {
        faults.push(root.fault(error.to_string()));
    }

    let index = gateway.number("index", 0, faults);
    let count = gateway.number("count", 1, faults);
    if let Some(node) = gateway.0.filter(|_| index >= count) {
        faults.push(node.fault(format!("index {index} must be below count {count}")));
    }
    let front = part("limits");
    let repeats = part("repeats");
    let remember = repeats.millis("remember-ms", 10_000.0, faults);
    let guarded = module.classes.iter().filter(|c| c.repeat != Repeat::Safe).map(|c| c.deadline).max();
    if guarded.is_some_and(|longest| remember < longest) {
        let told = repeats.0.unwrap_or(root);
        faults.push(told.fault("remember-ms must not be below the deadline of a keyed or unsafe class"));
    }
    let margin = part("margin");
    let name =
        gateway.0.and_then(|g| g.attribute("name")).map_or_else(|| format!("gateway-{index}"), str::to_owned);
    let sites = root.child("sites").and_then(|node| sites(&node, &name, faults));
    let keeps = list("classes", "class").into_iter().zip(&kept).find(|(_, kept)| kept.is_some());
    if let (Some((node, _)), None) = (keeps, root.child("sites")) {
        faults.push(node.fault("pending=\"kept\" needs a sites element: neighbours hold what is kept"));
    }
    Config {
        name,
        gateway_index: index,
        gateway_count: count,
        threads: gateway.number("threads", 1, faults),
        listen: part("listen").number("address", ([127, 0, 0, 1], 0).into(), faults),
        roster_file: file(roster.0, "file", folder).unwrap_or_default(),
        roster_check_interval: roster.millis("check-ms", 200.0, faults),
        zones,
        worker_kinds: kinds,
        classes,
        replication: kept,
        tenants,
        functions,
        controller: module,
        drain_grace: rules.millis("drain-grace-ms", 2_000.0, faults),
        links: LinkConfig {
            connections: workers.number("connections", 64, faults),
            connect_timeout: workers.millis("connect-timeout-ms", 250.0, faults),
            idle_timeout: workers.millis("idle-ms", 5_000.0, faults),
            response_bytes: workers.number("response-bytes", 4 << 20, faults),
        },
        client_limits: ClientLimits {
            connections: front.number("connections", 10_000, faults),
            calls: front.number("calls", 20_000, faults),
            waiters: front.number("waiters", 256, faults),
            batch_events: front.number("batch", 64, faults),
            line_bytes: front.number("line-bytes", 8 << 10, faults),
            head_bytes: front.number("head-bytes", 16 << 10, faults),
            header_fields: front.number("fields", 100, faults),
            body_bytes: front.number("body-bytes", 1 << 20, faults),
            unsent_bytes: front.number("unsent-bytes", 1 << 20, faults),
            head_timeout: front.millis("head-ms", 5_000.0, faults),
            body_timeout: front.millis("body-ms", 10_000.0, faults),
            idle_timeout: front.millis("idle-ms", 60_000.0, faults),
        },
        repeats: RepeatsConfig {
            retention: remember,
            answers_per_tenant: repeats.number("answers-per-tenant", 4_096, faults),
            guards_per_tenant: repeats.number("guards-per-tenant", 16_384, faults),
            bytes_per_tenant: repeats.number("bytes-per-tenant", 16 << 20, faults),
            linger: repeats.millis("linger-ms", 1_000.0, faults),
        },
        margin: MarginConfig {
            share: margin.number("share", 0.02, faults),
            min: margin.millis("least-ms", 2.0, faults),
            max: margin.millis("most-ms", 25.0, faults),
        },
        records_file: file(root.child("records"), "file", folder),
        sites,
    }
}

fn file(node: Option<Element>, name: &str, folder: &Path) -> Option<PathBuf> {
    node?.attribute(name).map(|told| folder.join(told))
}
