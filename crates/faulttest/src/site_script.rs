//! A trial of sites by a script: what happens to which of them, or to the links between them, when.

use crate::cluster::{Cluster, HarnessError};
use crate::site_cluster::{ProcessSelector, SiteCluster};
use crate::site_spec::{CLASSES, LoadSpec, SiteLink, SiteSpec, SitesSpec};
use basaltward_config::Fault;
use basaltward_config::xml::Element;
use basaltward_net::{Micros, monotonic};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// Tells a gateway from when and for how long its control thread stands still, counted from its start.
const STALL_CONTROL: &str = "BASALTWARD_PLANT_STALL_CONTROL_MS";

/// All gateways agree on who lives by then.
const AGREE: Duration = Duration::from_secs(10);

/// What happens at a time.
#[derive(Clone, Debug, PartialEq)]
pub enum SiteAction {
    /// Killed outright.
    Kill(ProcessSelector),
    /// Told to stop, and waited for.
    Stop(ProcessSelector),
    /// Started, where it is down.
    Start(ProcessSelector),
    /// Stands still, or goes on.
    Stall(ProcessSelector, bool),
    /// A link from one site to another.
    Link(usize, usize, SiteLink),
    /// The next bytes on journals' connections from one site to another are changed.
    CorruptByte(usize, usize),
}

/// An act at its time.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteStep {
    /// From the start of the run.
    pub at: Micros,
    /// What happens.
    pub action: SiteAction,
}

/// A trial of sites.
#[derive(Clone, Debug)]
pub struct SitesScript {
    /// The bed.
    pub spec: SitesSpec,
    /// How long it runs.
    pub span: Micros,
    /// What happens, by time.
    pub steps: Vec<SiteStep>,
}

/// Reads a script's `sites`.
pub(crate) fn sites(root: Element, program: &Path, seed: u64, faults: &mut Vec<Fault>) -> SitesScript {
    let own = root.child("sites").unwrap_or(root);
    let number = |node: &Element, name: &str, absent: u64, faults: &mut Vec<Fault>| {
        node.parse_attribute::<u64>(name, faults).unwrap_or(absent)
    };
    let mut told = Vec::new();
    for node in own.children_named("site") {
        told.push(SiteSpec {
            name: node.attribute("name").unwrap_or_default().into(),
            gateways: number(&node, "gateways", 1, faults) as usize,
            workers: number(&node, "workers", 1, faults) as usize,
            cores: number(&node, "cores", 4, faults) as u32,
            memory_mb: number(&node, "memory-mb", 4_000, faults),
        });
        if told.iter().filter(|site| site.name == told[told.len() - 1].name).count() > 1 {
            faults.push(node.fault("a site of this name stands before"));
        }
    }
    let holders = number(&own, "holders", 0, faults) as usize;
    let gateways: usize = told.iter().map(|site: &SiteSpec| site.gateways).sum();
    if holders >= gateways && holders > 0 {
        faults.push(own.fault(format!("holders must be below the number of gateways, {gateways}")));
    }
    let span = number(&own, "ms", 1_000, faults) * 1_000;
    let tenant = |node: &Element, faults: &mut Vec<Fault>| {
        (
            node.attribute("name").unwrap_or_default().to_owned(),
            node.parse_attribute("quota-per-s", faults).unwrap_or(1.0),
        )
    };
    let tenants = own.children_named("tenant").iter().map(|node| tenant(node, faults)).collect();
    let spec = SitesSpec {
        program: program.into(),
        sites: told,
        functions: number(&own, "functions", 4, faults) as usize,
        work_ms: number(&own, "work-ms", 20, faults),
        load_ms: number(&own, "load-ms", 500, faults),
        holders,
        standalone: own.bool_attribute("alone").unwrap_or(false),
        tenants,
        links: BTreeMap::new(),
        loads: Vec::new(),
        env: Vec::new(),
        seed,
    };
    let mut read = Reader { spec, span, steps: Vec::new() };
    for node in own.children_named("link") {
        let link = read.link(node, SiteLink::default(), faults);
        let pairs = read.pairs(node, faults);
        read.spec.links.extend(pairs.into_iter().map(|pair| (pair, link)));
    }
    for node in own.children_named("load") {
        let load = read.load(node, faults);
        read.spec.loads.extend(load);
    }
    for (index, node) in own.children_named("at").into_iter().enumerate() {
        read.step(node, index as u64, faults);
    }
    // Stable: of two at one time the one written first goes first.
    read.steps.sort_by_key(|step| step.at);
    SitesScript { spec: read.spec, span: read.span, steps: read.steps }
}

struct Reader {
    spec: SitesSpec,
    span: Micros,
    steps: Vec<SiteStep>,
}

impl Reader {
    /// The site that an attribute names.
    fn site(&self, node: Element, name: &str, faults: &mut Vec<Fault>) -> Option<usize> {
        let told = node.attribute(name)?;
        let site = self.spec.sites.iter().position(|site| site.name == told);
        if site.is_none() {
            faults.push(node.fault(format!("{name}: no site is named {told:?}")));
        }
        site
    }

    /// Ordered pairs of sites that `site` and `to` name, both ways: without them, all.
    fn pairs(&self, node: Element, faults: &mut Vec<Fault>) -> Vec<(usize, usize)> {
        let (site, to) = (self.site(node, "site", faults), self.site(node, "to", faults));
        let one_way =
            node.attribute("do") == Some("one-way") || node.bool_attribute("one-way").unwrap_or(false);
        if one_way && (site.is_none() || to.is_none()) {
            faults.push(node.fault("one way alone needs site and to"));
        }
        let all = 0..self.spec.sites.len();
        let pairs = all.clone().flat_map(|a| all.clone().map(move |b| (a, b))).filter(|(a, b)| a != b);
        let forth = |a: usize, b: usize| site.is_none_or(|s| s == a) && to.is_none_or(|t| t == b);
        pairs.filter(|(a, b)| forth(*a, *b) || !one_way && forth(*b, *a)).collect()
    }

    /// A link as an element tells it, on top of what it is else.
    fn link(&self, node: Element, usual: SiteLink, faults: &mut Vec<Fault>) -> SiteLink {
        let micros = |ms: f64| (ms * 1_000.0) as Micros;
        let (least, most) = usual.delay_range;
        let delay = node.parse_attribute("delay-ms", faults).map_or(least, micros);
        let jitter = node.parse_attribute("jitter-ms", faults).map_or(most - least, micros);
        SiteLink {
            delay_range: (delay, delay + jitter),
            loss_rate: node.parse_attribute("lost", faults).unwrap_or(usual.loss_rate),
            duplicate_rate: node.parse_attribute("doubled", faults).unwrap_or(usual.duplicate_rate),
            bytes_per_s: node.parse_attribute("bytes-per-s", faults).or(usual.bytes_per_s),
            ..usual
        }
    }

    fn load(&self, node: Element, faults: &mut Vec<Fault>) -> Option<LoadSpec> {
        let site = self.site(node, "site", faults)?;
        let class = node.attribute("class").map(|told| CLASSES.iter().position(|(name, _)| *name == told));
        if class == Some(None) {
            faults.push(node.fault("class is view, note or extract"));
        }
        let mut millis = |name: &str| node.parse_attribute::<u64>(name, faults).map(|ms| ms * 1_000);
        let span = millis("from-ms").unwrap_or(0)..millis("until-ms").unwrap_or(self.span);
        let patience = millis("patience-ms").unwrap_or(2_500_000);
        let first = node.parse_attribute::<usize>("first-function", faults).unwrap_or(0);
        let count = node
            .parse_attribute::<usize>("functions", faults)
            .unwrap_or(self.spec.functions.saturating_sub(first));
        if count == 0 || first + count > self.spec.functions {
            faults.push(node.fault(format!("functions end past the last of {}", self.spec.functions)));
        }
        let tenant = node.attribute("tenant").unwrap_or_default().to_owned();
        if !tenant.is_empty() && !self.spec.tenants.iter().any(|(name, _)| *name == tenant) {
            faults.push(node.fault(format!("no tenant is named {tenant:?}")));
        }
        Some(LoadSpec {
            site,
            class: class.flatten(),
            functions: first..first + count.max(1),
            rate: node.parse_attribute("rate", faults).unwrap_or(10.0),
            span,
            patience,
            duplicate_share: node.parse_attribute("repeats", faults).unwrap_or(0.0),
            retries: node.parse_attribute("retries", faults).unwrap_or(0),
            honour_retry_after: node.bool_attribute("honour").unwrap_or(true),
            retry_uncertain: node.bool_attribute("insists").unwrap_or(false),
            tenant,
        })
    }

    /// Whom `site`, and `gateway` or `worker` by its number there, name; `any` is drawn.
    fn who(&self, node: Element, index: u64, faults: &mut Vec<Fault>) -> Option<ProcessSelector> {
        let Some(site) = self.site(node, "site", faults) else {
            faults.push(node.fault("this act needs site"));
            return None;
        };
        let told = self.spec.sites.get(site)?;
        let mut one = |name: &str, count: usize| {
            let text = node.attribute(name)?;
            let number = match text {
                "any" => Some(Cluster::seeded_index(self.spec.seed, index, count)),
                text => text.parse().ok().filter(|n| *n < count),
            };
            if number.is_none() {
                faults.push(node.fault(format!("{name}: any or from 0 to {}", count.saturating_sub(1))));
            }
            number
        };
        let before = |all: Vec<usize>| all.iter().position(|s| *s == site).unwrap_or(0);
        if let Some(gateway) = one("gateway", told.gateways) {
            return Some(ProcessSelector::Gateway(before(self.spec.gateways()) + gateway));
        }
        if let Some(worker) = one("worker", told.workers) {
            return Some(ProcessSelector::Worker(before(self.spec.workers()) + worker));
        }
        Some(ProcessSelector::Site(site))
    }

    /// A step, and its end where it has one.
    fn step(&mut self, node: Element, index: u64, faults: &mut Vec<Fault>) {
        let at = node.parse_attribute::<u64>("ms", faults).unwrap_or(0) * 1_000;
        let lasts = node.parse_attribute::<u64>("for-ms", faults).map(|ms| ms * 1_000);
        let add = |steps: &mut Vec<SiteStep>, act: SiteAction, end: Option<SiteAction>| {
            steps.push(SiteStep { at, action: act });
            steps.extend(lasts.zip(end).map(|(lasts, act)| SiteStep { at: at + lasts, action: act }));
        };
        let what = node.attribute("do").unwrap_or_default();
        match what {
            "kill" | "stop" | "start" | "stall" => {
                let Some(who) = self.who(node, index, faults) else { return };
                let (act, end) = match what {
                    "kill" => (SiteAction::Kill(who), Some(SiteAction::Start(who))),
                    "stop" => (SiteAction::Stop(who), Some(SiteAction::Start(who))),
                    "start" => (SiteAction::Start(who), None),
                    _ => (SiteAction::Stall(who, true), Some(SiteAction::Stall(who, false))),
                };
                add(&mut self.steps, act, end);
            }
            "stall-control" => {
                let Some(who) = self.who(node, index, faults) else { return };
                let value = format!("{}:{}", at / 1_000, lasts.unwrap_or(20_000_000) / 1_000);
                let of = self.spec.gateways();
                let meant = |i: &usize| match who {
                    ProcessSelector::Site(site) => of[*i] == site,
                    ProcessSelector::Gateway(one) => *i == one,
                    ProcessSelector::Worker(_) => false,
                };
                let vars = (0..of.len()).filter(meant).map(|i| (i, STALL_CONTROL.to_owned(), value.clone()));
                self.spec.env.extend(vars);
            }
            "change-byte" => {
                for (from, to) in self.pairs(node, faults) {
                    add(&mut self.steps, SiteAction::CorruptByte(from, to), None);
                }
            }
            _ => {
                for (from, to) in self.pairs(node, faults) {
                    let usual = self.spec.link(from, to);
                    let link = self.link(node, usual, faults);
                    let link = match what {
                        "cut" => SiteLink { broken: true, ..usual },
                        "stalled" | "one-way" => SiteLink { blackhole: true, ..usual },
                        _ => link,
                    };
                    add(
                        &mut self.steps,
                        SiteAction::Link(from, to, link),
                        Some(SiteAction::Link(from, to, usual)),
                    );
                }
            }
        }
    }
}

impl SiteAction {
    /// Does it.
    ///
    /// # Errors
    /// Where a process does not come up or does not end.
    pub fn perform(&self, bed: &mut SiteCluster) -> Result<(), HarnessError> {
        match self {
            Self::Kill(who) => bed.kill(*who),
            Self::Stop(who) => bed.stop(*who)?,
            Self::Start(who) => bed.up(*who)?,
            Self::Stall(who, still) => bed.stall(*who, *still),
            Self::Link(from, to, link) => bed.set_link(*from, *to, *link),
            Self::CorruptByte(from, to) => bed.corrupt_byte(*from, *to),
        }
        Ok(())
    }
}

/// Plays a script; gives the bed, its last clients perhaps still waiting, to be finished and judged.
///
/// # Errors
/// Where the bed can't be made, or a process is not as the script has it.
pub fn run_sites(script: &SitesScript) -> Result<SiteCluster, HarnessError> {
    let mut bed = SiteCluster::start(script.spec.clone())?;
    // Clients come once the gateways know of one another; those that never agree are called all the same.
    let _ = bed.spec.standalone || bed.wait_for_agreement(AGREE);
    bed.start_clients()?;
    let began = bed.began;
    let until = |at: Micros| {
        std::thread::sleep(Duration::from_micros((began + at).saturating_sub(monotonic())));
    };
    for step in script.steps.iter().take_while(|step| step.at <= script.span) {
        until(step.at);
        step.action.perform(&mut bed)?;
    }
    until(script.span);
    Ok(bed)
}
