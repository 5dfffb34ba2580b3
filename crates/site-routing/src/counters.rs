//! Call counts of the traffic loops of this gateway, smoothed into the rates that it reports.

use crate::settings::RoutingSettings;
use crate::types::{Handover, HandoverOutcome, LoopCounts};
use crate::wire::{FunctionStats, GatewayReport, HandoverStats, MAX_FUNCTIONS_PER_REPORT};
use basaltward_membership::{Micros, Site};
use std::collections::BTreeMap;

/// Time constant of the smoothed rates, in microseconds.
const SMOOTHING: f64 = 500_000.0;
/// Time constant of the call rate that homes are chosen by, in microseconds; longer, as homes move slowly.
const SLOW_SMOOTHING: f64 = 20_000_000.0;

/// Counts and rates of one function.
#[derive(Clone, Debug, Default)]
struct FunctionCounters {
    /// Sums since the last report: calls from clients, calls served, total time, cold starts.
    sums: [f64; 4],
    /// Smoothed rates per second, in the order of `sums`.
    rates: [f64; 4],
    /// Calls from clients per second, smoothed over the longer span.
    slow_rate: f64,
    /// Time of the last served call; copies stay loaded for the keep-alive time from then on.
    served_at: Option<Micros>,
    /// Calls in flight, by loop.
    in_flight: BTreeMap<u16, u32>,
    smooth_in_flight: f64,
    /// Most calls in flight during the current half of the keep-alive time, and during the previous one.
    peaks: [u32; 2],
}

/// Counts of all loops of one gateway.
#[derive(Debug)]
pub(crate) struct LocalCounters {
    functions: BTreeMap<u32, FunctionCounters>,
    function_count: u32,
    /// Workers, by loop. Each loop has the same list of workers or a part of it, so the maximum counts.
    workers: BTreeMap<u16, u32>,
    /// Outcomes of handovers by site: sums since the last report and smoothed rates, each of served, refused and lost
    /// calls and of the total time of the served ones.
    handovers: BTreeMap<Site, ([f64; 4], [f64; 4])>,
    keep_alive: Micros,
    half_start: Micros,
    last_report: Micros,
}

impl LocalCounters {
    pub fn new(settings: &RoutingSettings, now: Micros) -> Self {
        Self {
            functions: BTreeMap::new(),
            function_count: settings.functions.len() as u32,
            workers: BTreeMap::new(),
            handovers: BTreeMap::new(),
            keep_alive: settings.keep_alive,
            half_start: now,
            last_report: now,
        }
    }

    pub fn record_counts(&mut self, now: Micros, loop_no: u16, counts: &LoopCounts) {
        self.workers.insert(loop_no, counts.workers);
        self.functions.values_mut().for_each(|f| f.in_flight.retain(|other, _| *other != loop_no));
        for c in counts.functions.iter().filter(|c| c.function < self.function_count) {
            let f = self.functions.entry(c.function).or_default();
            if c.served > 0 {
                f.served_at = Some(now);
            }
            let cold = c.served.saturating_sub(c.warm_starts);
            let new = [f64::from(c.calls), f64::from(c.served), c.total_time as f64, f64::from(cold)];
            f.sums.iter_mut().zip(new).for_each(|(sum, new)| *sum += new);
            if c.in_flight > 0 {
                f.in_flight.insert(loop_no, c.in_flight);
            }
            // A call that started and ended within the span needed a lane as well.
            let concurrent = f.in_flight.values().sum::<u32>().max(u32::from(c.served > 0));
            f.peaks[0] = f.peaks[0].max(concurrent);
        }
    }

    pub fn record_handover(&mut self, to: Site, handover: &Handover) {
        let (sums, _) = self.handovers.entry(to).or_default();
        sums[match handover.outcome {
            HandoverOutcome::Served => {
                sums[3] += handover.duration as f64;
                0
            }
            HandoverOutcome::Refused => 1,
            HandoverOutcome::Unreached | HandoverOutcome::Lost => 2,
        }] += 1.0;
    }

    /// Builds the next report and advances the smoothing; to be called once per report.
    pub fn report(&mut self, now: Micros, number: u64) -> GatewayReport {
        let span = now.saturating_sub(self.last_report).max(1) as f64;
        let weight = 1.0 - (-span / SMOOTHING).exp();
        let slow_weight = 1.0 - (-span / SLOW_SMOOTHING).exp();
        let smooth = |rate: &mut f64, sum: &mut f64| {
            *rate += (*sum * 1e6 / span - *rate) * weight;
            *sum = 0.0;
        };
        self.last_report = now;
        let next_half = now >= self.half_start + self.keep_alive / 2;
        if next_half {
            self.half_start = now;
        }
        for f in self.functions.values_mut() {
            f.slow_rate += (f.sums[0] * 1e6 / span - f.slow_rate) * slow_weight;
            f.rates.iter_mut().zip(&mut f.sums).for_each(|(rate, sum)| smooth(rate, sum));
            let in_flight = f.in_flight.values().sum::<u32>();
            f.smooth_in_flight += (f64::from(in_flight) - f.smooth_in_flight) * weight.max(0.5);
            if next_half {
                f.peaks = [in_flight, f.peaks[0]];
            }
        }
        self.functions.retain(|_, f| {
            f.peaks != [0, 0] || f.slow_rate > 1e-3 || f.rates[1] > 1e-3 || !f.in_flight.is_empty()
        });
        let keep_alive = self.keep_alive;
        let milli = |x: f64| (x * 1e3).clamp(0.0, f64::from(u32::MAX)) as u32;
        let functions = self.functions.iter().map(|(function, f)| FunctionStats {
            function: *function,
            arrivals: milli(f.rates[0]),
            slow_arrivals: milli(f.slow_rate),
            served: milli(f.rates[1]),
            mean_time: if f.rates[1] > 0.0 { (f.rates[2] / f.rates[1]) as u32 } else { 0 },
            cold_starts: if f.rates[1] > 0.0 { (f.rates[3] / f.rates[1] * 1e3) as u16 } else { 0 },
            in_flight: milli(f.smooth_in_flight),
            peak_in_flight: if f.served_at.is_some_and(|at| now <= at + keep_alive) {
                f.peaks[0].max(f.peaks[1])
            } else {
                0
            },
        });
        let mut functions: Vec<_> = functions.collect();
        if functions.len() > MAX_FUNCTIONS_PER_REPORT {
            functions.sort_by_key(|f| std::cmp::Reverse(f.arrivals.saturating_add(f.served)));
            functions.truncate(MAX_FUNCTIONS_PER_REPORT);
        }
        let handovers = self.handovers.iter_mut().map(|(site, (sums, rates))| {
            rates.iter_mut().zip(sums).for_each(|(rate, sum)| smooth(rate, sum));
            let mean_time = if rates[0] > 0.0 { (rates[3] / rates[0]) as u32 } else { 0 };
            let [served, refused, lost, _] = rates.map(milli);
            HandoverStats { site: *site, served, refused, lost, mean_time }
        });
        let handovers = handovers.collect();
        GatewayReport {
            number,
            workers: self.workers.values().copied().max().unwrap_or(0),
            functions,
            handovers,
        }
    }
}
