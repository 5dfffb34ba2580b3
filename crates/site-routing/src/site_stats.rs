//! What is known of a site, our own or another, and what follows from it: how much it does, how long calls wait there,
//! how much of its memory is in use.

use crate::settings::RoutingSettings;
use crate::wire::{FunctionStats, HomeStatus, MAX_FUNCTIONS_PER_REPORT, SiteReport};
use basaltward_membership::Micros;
use std::collections::BTreeMap;

/// Time to load a copy where none is told, as a multiple of the aim.
const DEFAULT_LOAD_AIMS: f64 = 2.0;
/// A queue below this, or below half of the usual time, is chance.
const MIN_QUEUE_TIME: f64 = 20_000.0;
/// Calls a second at which a function's own queue counts as much as the whole site's.
const SITE_QUEUE_WEIGHT: f64 = 10.0;
/// Share of a site's memory from which on a load drives out what others use.
const CONTENDED_MEMORY: f64 = 0.7;
/// How much dearer a load is where memory is wholly in use.
const EVICTION_PENALTY: f64 = 3.0;

/// Usual times of functions, as all sites tell them: what is above them was waited.
#[derive(Clone, Debug)]
pub(crate) struct BaselineTimes(Vec<f64>);

impl BaselineTimes {
    pub fn new(settings: &RoutingSettings) -> Self {
        Self(vec![0.0; settings.functions.len()])
    }

    pub fn get(&self, settings: &RoutingSettings, function: u32) -> f64 {
        match self.0.get(function as usize) {
            Some(usual) if *usual > 0.0 => *usual,
            _ => settings.functions.get(function as usize).map_or(0.0, |f| f.aim as f64 / 4.0),
        }
    }

    /// Learns from a site's figures: quickly downward, slowly upward, not where calls wait.
    pub fn update(&mut self, settings: &RoutingSettings, site: &SiteStats) {
        let every = settings.interval as f64 / 1e6;
        for figure in site.functions.values().filter(|f| f.served > 0 && f.mean_time > 0) {
            let Some(usual) = self.0.get_mut(figure.function as usize) else { continue };
            let loading = figure.cold_starts() * load_time(settings, figure.function);
            let sample = (f64::from(figure.mean_time) - loading).max(f64::from(figure.mean_time) * 0.1);
            let calls = (figure.served() * every / 5.0).min(1.0);
            let up = if site.saturated() { 0.0 } else { 0.003 };
            let weight = if *usual == 0.0 {
                1.0
            } else if sample < *usual {
                0.1 * calls
            } else {
                up * calls
            };
            *usual += (sample - *usual) * weight;
        }
    }
}

/// Time to load a copy.
pub(crate) fn load_time(settings: &RoutingSettings, function: u32) -> f64 {
    let told = settings.functions.get(function as usize);
    told.map_or(0.0, |f| f.load_time.map_or(f.aim as f64 * DEFAULT_LOAD_AIMS, |load| load as f64))
}

/// A site as it is known.
#[derive(Clone, Debug, Default)]
pub(crate) struct SiteStats {
    /// The figures are as of then, or later.
    pub as_of: Micros,
    /// What it has heard of us: the number of our last word.
    pub acked_report: u64,
    pub workers: f64,
    pub excess: f64,
    pub functions: BTreeMap<u32, FunctionStats>,
    pub homes: BTreeMap<u32, HomeStatus>,
    /// Calls served in a second, calls in hand, those of them in service.
    pub served_rate: f64,
    pub in_flight: f64,
    pub in_service: f64,
    /// Time that a call waits, for chance taken off.
    pub queue_time: f64,
    /// Usual time of a call there.
    pub mean_time: f64,
    pub used_mb: f64,
}

impl SiteStats {
    /// By a word, of which no figure goes past what a site of this fleet can be.
    pub fn from_report(
        settings: &RoutingSettings,
        usual: &BaselineTimes,
        at: Micros,
        word: &SiteReport,
    ) -> Self {
        let known = settings.functions.len();
        let of_us = |f: &&FunctionStats| (f.function as usize) < known;
        let figures: BTreeMap<_, _> = word
            .functions
            .iter()
            .take(MAX_FUNCTIONS_PER_REPORT)
            .filter(of_us)
            .map(|f| (f.function, *f))
            .collect();
        let homes = word.homes.iter().take(known).map(|h| (h.function, *h)).collect();
        let workers = f64::from(word.workers.min(settings.max_site_workers));
        let mut site = Self {
            as_of: at,
            acked_report: word.ack.map_or(0, |heard| heard.number),
            workers,
            excess: f64::from(word.excess) / 1e3,
            functions: figures,
            homes,
            ..Self::default()
        };
        site.compute_totals(settings, usual);
        site
    }

    fn compute_totals(&mut self, settings: &RoutingSettings, usual: &BaselineTimes) {
        let (mut expected, mut work) = (0.0, 0.0);
        for (function, f) in &self.functions {
            let (served, time) = (f.served(), usual.get(settings, *function));
            self.served_rate += served;
            self.in_flight += f.in_flight();
            work += served * time / 1e6;
            expected += served * (time + f.cold_starts() * load_time(settings, *function)) / 1e6;
            let told = &settings.functions[*function as usize];
            if f.peak_in_flight > 0 {
                self.used_mb += f64::from(f.peak_in_flight.div_ceil(told.lanes)) * f64::from(told.memory_mb);
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

    /// Where a function's calls of this site are at home.
    pub fn home_status(&self, own: basaltward_membership::Site, function: u32) -> HomeStatus {
        let plain = HomeStatus { function, home: own, dwelling: false, bid: None };
        self.homes.get(&function).copied().unwrap_or(plain)
    }

    /// Time that a call of a function waits: by its own depth and rate, drawn to the site's where it has few calls.
    pub fn wait_time(&self, settings: &RoutingSettings, usual: &BaselineTimes, function: u32) -> f64 {
        let f = self.function(function);
        let time = (usual.get(settings, function) + f.cold_starts() * load_time(settings, function)) / 1e6;
        let expected = f.served() * time;
        let own = (f.in_flight() - expected - expected.max(1.0).sqrt()).max(0.0);
        ((own + SITE_QUEUE_WEIGHT * self.queue_time / 1e6) * 1e6 / (f.served() + SITE_QUEUE_WEIGHT)).max(0.0)
    }

    /// The pressure ratio with a further copy: memory in use, and the newcomer's, over what there is.
    pub fn pressure(&self, settings: &RoutingSettings, function: u32) -> f64 {
        let mb = settings.functions.get(function as usize).map_or(0, |f| f.memory_mb);
        let all = self.workers * f64::from(settings.worker_mb);
        if all > 0.0 { (self.used_mb + f64::from(mb)) / all } else { f64::INFINITY }
    }

    /// What a load costs: dearer where it drives out what others use.
    fn load_cost(&self, settings: &RoutingSettings, function: u32) -> f64 {
        let over = ((self.pressure(settings, function) - CONTENDED_MEMORY) / (1.0 - CONTENDED_MEMORY))
            .clamp(0.0, 1.0);
        load_time(settings, function) * (1.0 + EVICTION_PENALTY * over)
    }

    /// The chance that a copy stands and has a lane, as of now.
    pub fn warm_probability(&self, settings: &RoutingSettings, function: u32) -> f64 {
        let f = self.function(function);
        let lanes = settings.functions.get(function as usize).map_or(1, |told| told.lanes);
        let standing = f64::from(f.peak_in_flight.div_ceil(lanes)) * f64::from(lanes);
        match f.peak_in_flight {
            0 => 0.0,
            _ if standing >= f.in_flight() + 1.0 => 1.0,
            _ => 0.5,
        }
    }

    /// What an answer costs as of now, the way aside.
    pub fn current_cost(&self, settings: &RoutingSettings, usual: &BaselineTimes, function: u32) -> f64 {
        let cold = 1.0 - self.warm_probability(settings, function);
        self.wait_time(settings, usual, function)
            + usual.get(settings, function)
            + cold * self.load_cost(settings, function)
    }

    /// What an answer would cost in the long run if `calls` a second were answered here, way and wait aside: copies stand
    /// by the chance that another call came within the time that idle ones are kept.
    pub fn long_run_cost(
        &self,
        settings: &RoutingSettings,
        usual: &BaselineTimes,
        function: u32,
        calls: f64,
    ) -> f64 {
        let cold = (-calls * settings.keep_alive as f64 / 1e6).exp();
        usual.get(settings, function) + cold * self.load_cost(settings, function)
    }
}
