//! Reads and runs scripts of faults for a cluster of sites.

use crate::cluster::{Cluster, HarnessError};
use crate::site_cluster::{ProcessSelector, SiteCluster};
use crate::site_spec::{CLASSES, LoadSpec, SiteLink, SiteSpec, SitesSpec};
use basaltward_config::Fault;
use basaltward_config::xml::Element;
use basaltward_net::{Micros, monotonic};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// Environment variable that makes a gateway stall its control thread: `start:duration` in ms since the process's
/// start.
const STALL_CONTROL: &str = "BASALTWARD_PLANT_STALL_CONTROL_MS";

/// Time in which all gateways should agree on which members are live.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(10);

/// A fault or other action of a script.
#[derive(Clone, Debug, PartialEq)]
pub enum SiteAction {
    /// Kills processes with SIGKILL.
    Kill(ProcessSelector),
    /// Stops processes with SIGTERM and waits until they exit.
    Stop(ProcessSelector),
    /// Starts processes that are down.
    Start(ProcessSelector),
    /// Pauses (true) or resumes processes.
    Stall(ProcessSelector, bool),
    /// Sets the state of the link from one site to another.
    Link(usize, usize, SiteLink),
    /// Corrupts one byte of the next chunk on each journal connection from one site to another.
    CorruptByte(usize, usize),
}

/// An action with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteStep {
    /// Time from the start of the run, in microseconds.
    pub at: Micros,
    /// The action.
    pub action: SiteAction,
}

/// A script for a cluster of sites.
#[derive(Clone, Debug)]
pub struct SitesScript {
    /// Parameters of the cluster.
    pub spec: SitesSpec,
    /// Duration of the run, in microseconds.
    pub span: Micros,
    /// Actions, sorted by time.
    pub steps: Vec<SiteStep>,
}

/// Reads the `sites` element of a script.
pub(crate) fn read_sites(root: Element, program: &Path, seed: u64, faults: &mut Vec<Fault>) -> SitesScript {
    let element = root.child("sites").unwrap_or(root);
    let number = |node: &Element, name: &str, default: u64, faults: &mut Vec<Fault>| {
        node.parse_attribute::<u64>(name, faults).unwrap_or(default)
    };
    let mut sites = Vec::new();
    for node in element.children_named("site") {
        sites.push(SiteSpec {
            name: node.attribute("name").unwrap_or_default().into(),
            gateways: number(&node, "gateways", 1, faults) as usize,
            workers: number(&node, "workers", 1, faults) as usize,
            cores: number(&node, "cores", 4, faults) as u32,
            memory_mb: number(&node, "memory-mb", 4_000, faults),
        });
        if sites.iter().filter(|site| site.name == sites[sites.len() - 1].name).count() > 1 {
            faults.push(node.fault("another site has the same name"));
        }
    }
    let holders = number(&element, "holders", 0, faults) as usize;
    let gateways: usize = sites.iter().map(|site: &SiteSpec| site.gateways).sum();
    if holders >= gateways && holders > 0 {
        faults.push(element.fault(format!("holders must be below the number of gateways, {gateways}")));
    }
    let span = number(&element, "ms", 1_000, faults) * 1_000;
    let tenant = |node: &Element, faults: &mut Vec<Fault>| {
        (
            node.attribute("name").unwrap_or_default().to_owned(),
            node.parse_attribute("quota-per-s", faults).unwrap_or(1.0),
        )
    };
    let tenants = element.children_named("tenant").iter().map(|node| tenant(node, faults)).collect();
    let spec = SitesSpec {
        program: program.into(),
        sites,
        functions: number(&element, "functions", 4, faults) as usize,
        work_ms: number(&element, "work-ms", 20, faults),
        load_ms: number(&element, "load-ms", 500, faults),
        holders,
        standalone: element.bool_attribute("alone").unwrap_or(false),
        tenants,
        links: BTreeMap::new(),
        loads: Vec::new(),
        env: Vec::new(),
        seed,
    };
    let mut reader = Reader { spec, span, steps: Vec::new() };
    for node in element.children_named("link") {
        let link = reader.link(node, SiteLink::default(), faults);
        let pairs = reader.pairs(node, faults);
        reader.spec.links.extend(pairs.into_iter().map(|pair| (pair, link)));
    }
    for node in element.children_named("load") {
        let load = reader.load(node, faults);
        reader.spec.loads.extend(load);
    }
    for (index, node) in element.children_named("at").into_iter().enumerate() {
        reader.step(node, index as u64, faults);
    }
    // A stable sort: actions at the same time stay in the order of the script.
    reader.steps.sort_by_key(|step| step.at);
    SitesScript { spec: reader.spec, span: reader.span, steps: reader.steps }
}

struct Reader {
    spec: SitesSpec,
    span: Micros,
    steps: Vec<SiteStep>,
}

impl Reader {
    /// Index of the site named in an attribute; `None` if the attribute is absent or names no site.
    fn site(&self, node: Element, name: &str, faults: &mut Vec<Fault>) -> Option<usize> {
        let site_name = node.attribute(name)?;
        let site = self.spec.sites.iter().position(|site| site.name == site_name);
        if site.is_none() {
            faults.push(node.fault(format!("{name}: no site is named {site_name:?}")));
        }
        site
    }

    /// Ordered pairs of the sites named by `site` and `to`, in both directions unless one-way. A missing attribute
    /// means all sites.
    fn pairs(&self, node: Element, faults: &mut Vec<Fault>) -> Vec<(usize, usize)> {
        let (site, to) = (self.site(node, "site", faults), self.site(node, "to", faults));
        let one_way =
            node.attribute("do") == Some("one-way") || node.bool_attribute("one-way").unwrap_or(false);
        if one_way && (site.is_none() || to.is_none()) {
            faults.push(node.fault("one-way needs site and to"));
        }
        let all = 0..self.spec.sites.len();
        let pairs = all.clone().flat_map(|a| all.clone().map(move |b| (a, b))).filter(|(a, b)| a != b);
        let matches = |a: usize, b: usize| site.is_none_or(|s| s == a) && to.is_none_or(|t| t == b);
        pairs.filter(|(a, b)| matches(*a, *b) || !one_way && matches(*b, *a)).collect()
    }

    /// The link that an element describes; missing attributes are taken from `base`.
    fn link(&self, node: Element, base: SiteLink, faults: &mut Vec<Fault>) -> SiteLink {
        let micros = |ms: f64| (ms * 1_000.0) as Micros;
        let (least, most) = base.delay_range;
        let delay = node.parse_attribute("delay-ms", faults).map_or(least, micros);
        let jitter = node.parse_attribute("jitter-ms", faults).map_or(most - least, micros);
        SiteLink {
            delay_range: (delay, delay + jitter),
            loss_rate: node.parse_attribute("lost", faults).unwrap_or(base.loss_rate),
            duplicate_rate: node.parse_attribute("doubled", faults).unwrap_or(base.duplicate_rate),
            bytes_per_s: node.parse_attribute("bytes-per-s", faults).or(base.bytes_per_s),
            ..base
        }
    }

    fn load(&self, node: Element, faults: &mut Vec<Fault>) -> Option<LoadSpec> {
        let site = self.site(node, "site", faults)?;
        let class = node.attribute("class").map(|class| CLASSES.iter().position(|(name, _)| *name == class));
        if class == Some(None) {
            faults.push(node.fault("class must be view, note or extract"));
        }
        let mut millis = |name: &str| node.parse_attribute::<u64>(name, faults).map(|ms| ms * 1_000);
        let span = millis("from-ms").unwrap_or(0)..millis("until-ms").unwrap_or(self.span);
        let patience = millis("patience-ms").unwrap_or(2_500_000);
        let first = node.parse_attribute::<usize>("first-function", faults).unwrap_or(0);
        let count = node
            .parse_attribute::<usize>("functions", faults)
            .unwrap_or(self.spec.functions.saturating_sub(first));
        if count == 0 || first + count > self.spec.functions {
            faults.push(node.fault(format!("functions exceed the {} of the class", self.spec.functions)));
        }
        let tenant = node.attribute("tenant").unwrap_or_default().to_owned();
        if !tenant.is_empty() && !self.spec.tenants.iter().any(|(name, _)| *name == tenant) {
            faults.push(node.fault(format!("no tenant is named {tenant:?}")));
        }
        Some(LoadSpec {
            site,
            class: class.flatten(),
            functions: first..first + count.max(1),
            calls_per_s: node.parse_attribute("rate", faults).unwrap_or(10.0),
            span,
            patience,
            duplicate_share: node.parse_attribute("repeats", faults).unwrap_or(0.0),
            retries: node.parse_attribute("retries", faults).unwrap_or(0),
            honour_retry_after: node.bool_attribute("honour").unwrap_or(true),
            retry_uncertain: node.bool_attribute("insists").unwrap_or(false),
            tenant,
        })
    }

    /// The processes named by `site` and optionally `gateway` or `worker`, a number within the site; `any` is drawn.
    fn processes(&self, node: Element, index: u64, faults: &mut Vec<Fault>) -> Option<ProcessSelector> {
        let Some(site) = self.site(node, "site", faults) else {
            faults.push(node.fault("this action needs site"));
            return None;
        };
        let site_spec = self.spec.sites.get(site)?;
        let mut number_of = |name: &str, count: usize| {
            let text = node.attribute(name)?;
            let number = match text {
                "any" => Some(Cluster::seeded_index(self.spec.seed, index, count)),
                text => text.parse().ok().filter(|n| *n < count),
            };
            if number.is_none() {
                faults
                    .push(node.fault(format!("{name} must be any or from 0 to {}", count.saturating_sub(1))));
            }
            number
        };
        let first_of_site = |all: Vec<usize>| all.iter().position(|s| *s == site).unwrap_or(0);
        if let Some(gateway) = number_of("gateway", site_spec.gateways) {
            return Some(ProcessSelector::Gateway(first_of_site(self.spec.gateways()) + gateway));
        }
        if let Some(worker) = number_of("worker", site_spec.workers) {
            return Some(ProcessSelector::Worker(first_of_site(self.spec.workers()) + worker));
        }
        Some(ProcessSelector::Site(site))
    }

    /// Reads a step: its action and, with `for-ms`, the action that ends it.
    fn step(&mut self, node: Element, index: u64, faults: &mut Vec<Fault>) {
        let at = node.parse_attribute::<u64>("ms", faults).unwrap_or(0) * 1_000;
        let duration = node.parse_attribute::<u64>("for-ms", faults).map(|ms| ms * 1_000);
        let add = |steps: &mut Vec<SiteStep>, action: SiteAction, end: Option<SiteAction>| {
            steps.push(SiteStep { at, action });
            steps.extend(duration.zip(end).map(|(duration, action)| SiteStep { at: at + duration, action }));
        };
        let name = node.attribute("do").unwrap_or_default();
        match name {
            "kill" | "stop" | "start" | "stall" => {
                let Some(selector) = self.processes(node, index, faults) else { return };
                let (action, end) = match name {
                    "kill" => (SiteAction::Kill(selector), Some(SiteAction::Start(selector))),
                    "stop" => (SiteAction::Stop(selector), Some(SiteAction::Start(selector))),
                    "start" => (SiteAction::Start(selector), None),
                    _ => (SiteAction::Stall(selector, true), Some(SiteAction::Stall(selector, false))),
                };
                add(&mut self.steps, action, end);
            }
            "stall-control" => {
                let Some(selector) = self.processes(node, index, faults) else { return };
                let value = format!("{}:{}", at / 1_000, duration.unwrap_or(20_000_000) / 1_000);
                let gateway_sites = self.spec.gateways();
                let selected = |i: &usize| match selector {
                    ProcessSelector::Site(site) => gateway_sites[*i] == site,
                    ProcessSelector::Gateway(one) => *i == one,
                    ProcessSelector::Worker(_) => false,
                };
                let vars = (0..gateway_sites.len())
                    .filter(selected)
                    .map(|i| (i, STALL_CONTROL.to_owned(), value.clone()));
                self.spec.env.extend(vars);
            }
            "change-byte" => {
                for (from, to) in self.pairs(node, faults) {
                    add(&mut self.steps, SiteAction::CorruptByte(from, to), None);
                }
            }
            _ => {
                for (from, to) in self.pairs(node, faults) {
                    let normal = self.spec.link(from, to);
                    let link = self.link(node, normal, faults);
                    let link = match name {
                        "cut" => SiteLink { broken: true, ..normal },
                        "stalled" | "one-way" => SiteLink { blackhole: true, ..normal },
                        _ => link,
                    };
                    add(
                        &mut self.steps,
                        SiteAction::Link(from, to, link),
                        Some(SiteAction::Link(from, to, normal)),
                    );
                }
            }
        }
    }
}

impl SiteAction {
    /// Performs the action.
    ///
    /// # Errors
    /// A process did not start or exit in time.
    pub fn perform(&self, cluster: &mut SiteCluster) -> Result<(), HarnessError> {
        match self {
            Self::Kill(selector) => cluster.kill(*selector),
            Self::Stop(selector) => cluster.stop(*selector)?,
            Self::Start(selector) => cluster.start_processes(*selector)?,
            Self::Stall(selector, paused) => cluster.stall(*selector, *paused),
            Self::Link(from, to, link) => cluster.set_link(*from, *to, *link),
            Self::CorruptByte(from, to) => cluster.corrupt_byte(*from, *to),
        }
        Ok(())
    }
}

/// Runs a script. Returns the cluster, whose last clients may still be waiting, to be finished and checked.
///
/// # Errors
/// The cluster cannot be started, or an action failed.
pub fn run_sites(script: &SitesScript) -> Result<SiteCluster, HarnessError> {
    let mut cluster = SiteCluster::start(script.spec.clone())?;
    // Clients start once the gateways agree on the live members, or after the timeout if they do not.
    let _ = cluster.spec.standalone || cluster.wait_for_agreement(AGREEMENT_TIMEOUT);
    cluster.start_clients()?;
    let began = cluster.clients_started_at;
    let sleep_until = |at: Micros| {
        std::thread::sleep(Duration::from_micros((began + at).saturating_sub(monotonic())));
    };
    for step in script.steps.iter().take_while(|step| step.at <= script.span) {
        sleep_until(step.at);
        step.action.perform(&mut cluster)?;
    }
    sleep_until(script.span);
    Ok(cluster)
}
