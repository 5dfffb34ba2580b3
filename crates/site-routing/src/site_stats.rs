//! Statistics of a site, local or remote, and the cost estimates derived from them: throughput, queueing time, memory in
//! use. Times are in microseconds, rates in calls per second.

use crate::settings::RoutingSettings;
use crate::wire::{FunctionStats, HomeStatus, MAX_FUNCTIONS_PER_REPORT, SiteReport};
use basaltward_membership::Micros;
use std::collections::BTreeMap;

/// Estimated time to load a copy where none is configured, as a multiple of the aim.
const DEFAULT_LOAD_AIMS: f64 = 2.0;
/// A queueing time below this, or below half of the mean service time, is attributed to chance and not to saturation.
const MIN_QUEUE_TIME: f64 = 20_000.0;
/// Rate of calls of a function at which its own queue counts as much as that of the whole site.
const SITE_QUEUE_WEIGHT: f64 = 10.0;
/// Share of a site's memory in use above which loading a copy is likely to evict copies of other functions.
const CONTENDED_MEMORY: f64 = 0.7;
/// Additional cost of a load when memory is fully in use, as a multiple of the load time.
const EVICTION_PENALTY: f64 = 3.0;

/// Service times of functions without queueing, estimated from the reports of all sites. Time above them
/// was spent waiting.
#[derive(Clone, Debug)]
pub(crate) struct BaselineTimes(Vec<f64>);

impl BaselineTimes {
    pub fn new(settings: &RoutingSettings) -> Self {
        Self(vec![0.0; settings.functions.len()])
    }

    pub fn get(&self, settings: &RoutingSettings, function: u32) -> f64 {
        match self.0.get(function as usize) {
            Some(baseline) if *baseline > 0.0 => *baseline,
            _ => settings.functions.get(function as usize).map_or(0.0, |f| f.aim as f64 / 4.0),
        }
    }

    /// Updates the times with the statistics of a site: quickly downward, slowly upward, and not upward while calls
    /// wait there.
    pub fn update(&mut self, settings: &RoutingSettings, site: &SiteStats) {
        let interval = settings.interval as f64 / 1e6;
        for stats in site.functions.values().filter(|f| f.served > 0 && f.mean_time > 0) {
            let Some(baseline) = self.0.get_mut(stats.function as usize) else { continue };
            let loading = stats.cold_starts() * load_time(settings, stats.function);
            let sample = (f64::from(stats.mean_time) - loading).max(f64::from(stats.mean_time) * 0.1);
            let calls = (stats.served() * interval / 5.0).min(1.0);
            let upward_weight = if site.saturated() { 0.0 } else { 0.003 };
            let weight = if *baseline == 0.0 {
                1.0
            } else if sample < *baseline {
                0.1 * calls
            } else {
                upward_weight * calls
            };
            *baseline += (sample - *baseline) * weight;
        }
    }
}

/// Time to load a copy of a function, configured or estimated.
pub(crate) fn load_time(settings: &RoutingSettings, function: u32) -> f64 {
    let spec = settings.functions.get(function as usize);
    spec.map_or(0.0, |f| f.load_time.map_or(f.aim as f64 * DEFAULT_LOAD_AIMS, |load| load as f64))
}

/// Statistics of a site with totals over its functions.
#[derive(Clone, Debug, Default)]
pub(crate) struct SiteStats {
    /// The statistics are from this time or later.
    pub as_of: Micros,
    /// Number of the last local report that the site had received.
    pub acked_report: u64,
    pub workers: f64,
    /// Load above the capacity of the site, in calls in service.
    pub excess: f64,
    pub functions: BTreeMap<u32, FunctionStats>,
    pub homes: BTreeMap<u32, HomeStatus>,
    /// Calls served per second.
    pub served_rate: f64,
    /// Calls in flight, waiting or in service.
    pub in_flight: f64,
    /// Calls in service, estimated by the baseline times.
    pub in_service: f64,
    /// Mean time that a call waits, without the part that random variation explains.
    pub queue_time: f64,
    /// Mean baseline time of the calls served there.
    pub mean_time: f64,
    /// Memory in use by copies.
    pub used_mb: f64,
}

impl SiteStats {
    /// Reads a report. Unknown functions, and functions and homes beyond the maximum number, are ignored; the number
    /// of workers is capped.
    pub fn from_report(
        settings: &RoutingSettings,
        baselines: &BaselineTimes,
        as_of: Micros,
        report: &SiteReport,
    ) -> Self {
        let function_count = settings.functions.len();
        let is_known = |f: &&FunctionStats| (f.function as usize) < function_count;
        let functions: BTreeMap<_, _> = report
            .functions
            .iter()
            .take(MAX_FUNCTIONS_PER_REPORT)
            .filter(is_known)
            .map(|f| (f.function, *f))
            .collect();
        let homes = report.homes.iter().take(function_count).map(|h| (h.function, *h)).collect();
        let workers = f64::from(report.workers.min(settings.max_site_workers));
        let mut site = Self {
            as_of,
            acked_report: report.ack.map_or(0, |ack| ack.number),
            workers,
            excess: f64::from(report.excess) / 1e3,
            functions,
            homes,
            ..Self::default()
        };
        site.compute_totals(settings, baselines);
        site
    }

    fn compute_totals(&mut self, settings: &RoutingSettings, baselines: &BaselineTimes) {
        let (mut expected, mut work) = (0.0, 0.0);
        for (function, f) in &self.functions {
            let (served, time) = (f.served(), baselines.get(settings, *function));
            self.served_rate += served;
            self.in_flight += f.in_flight();
            work += served * time / 1e6;
            expected += served * (time + f.cold_starts() * load_time(settings, *function)) / 1e6;
            let spec = &settings.functions[*function as usize];
            if f.peak_in_flight > 0 {
                self.used_mb += f64::from(f.peak_in_flight.div_ceil(spec.lanes)) * f64::from(spec.memory_mb);
            }
        }
        self.in_service = work.min(self.in_flight.max(work));
        self.mean_time = if self.served_rate > 0.0 { work * 1e6 / self.served_rate } else { 0.0 };
        let excess = self.in_flight - expected - expected.max(1.0).sqrt();
        self.queue_time = excess.max(0.0) * 1e6 / self.served_rate.max(1.0);
    }

    pub fn saturated(&self) -> bool {
        self.queue_time > MIN_QUEUE_TIME.max(self.mean_time / 2.0)
    }

    pub fn age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.as_of)
    }

    pub fn function(&self, function: u32) -> FunctionStats {
        self.functions.get(&function).copied().unwrap_or_default()
    }

    /// Home of a function for the calls of this site.
    pub fn home_status(&self, site: basaltward_membership::Site, function: u32) -> HomeStatus {
        let unmoved = HomeStatus { function, home: site, dwelling: false, bid: None };
        self.homes.get(&function).copied().unwrap_or(unmoved)
    }

    /// Time that a call of a function waits: from the queue and rate of the function, weighted with the queueing time of
    /// the whole site, which dominates where the function has few calls.
    pub fn wait_time(&self, settings: &RoutingSettings, baselines: &BaselineTimes, function: u32) -> f64 {
        let f = self.function(function);
        let time =
            (baselines.get(settings, function) + f.cold_starts() * load_time(settings, function)) / 1e6;
        let expected = f.served() * time;
        let waiting = (f.in_flight() - expected - expected.max(1.0).sqrt()).max(0.0);
        ((waiting + SITE_QUEUE_WEIGHT * self.queue_time / 1e6) * 1e6 / (f.served() + SITE_QUEUE_WEIGHT))
            .max(0.0)
    }

    /// The pressure ratio with one more copy: memory in use including that copy, over the memory of all workers.
    pub fn pressure(&self, settings: &RoutingSettings, function: u32) -> f64 {
        let mb = settings.functions.get(function as usize).map_or(0, |f| f.memory_mb);
        let total_mb = self.workers * f64::from(settings.worker_mb);
        if total_mb > 0.0 { (self.used_mb + f64::from(mb)) / total_mb } else { f64::INFINITY }
    }

    /// Cost of loading a copy, higher where it is likely to evict copies of other functions.
    fn load_cost(&self, settings: &RoutingSettings, function: u32) -> f64 {
        let contention = ((self.pressure(settings, function) - CONTENDED_MEMORY) / (1.0 - CONTENDED_MEMORY))
            .clamp(0.0, 1.0);
        load_time(settings, function) * (1.0 + EVICTION_PENALTY * contention)
    }

    /// Estimated probability that a loaded copy with a free lane is available now: 0, 0.5 or 1.
    pub fn warm_probability(&self, settings: &RoutingSettings, function: u32) -> f64 {
        let f = self.function(function);
        let lanes = settings.functions.get(function as usize).map_or(1, |spec| spec.lanes);
        let loaded_lanes = f64::from(f.peak_in_flight.div_ceil(lanes)) * f64::from(lanes);
        match f.peak_in_flight {
            0 => 0.0,
            _ if loaded_lanes >= f.in_flight() + 1.0 => 1.0,
            _ => 0.5,
        }
    }

    /// Expected time to an answer now, without the link.
    pub fn current_cost(&self, settings: &RoutingSettings, baselines: &BaselineTimes, function: u32) -> f64 {
        let cold = 1.0 - self.warm_probability(settings, function);
        self.wait_time(settings, baselines, function)
            + baselines.get(settings, function)
            + cold * self.load_cost(settings, function)
    }

    /// Expected time to an answer in the long run if `calls` per second were served here, without link and queueing. A
    /// copy is loaded if another call came within the keep-alive time; arrivals are taken as a Poisson process.
    pub fn long_run_cost(
        &self,
        settings: &RoutingSettings,
        baselines: &BaselineTimes,
        function: u32,
        calls: f64,
    ) -> f64 {
        let cold = (-calls * settings.keep_alive as f64 / 1e6).exp();
        baselines.get(settings, function) + cold * self.load_cost(settings, function)
    }
}
