//! What this gateway's own loops counted, smoothed over half a second.

use crate::settings::RoutingSettings;
use crate::types::{Handover, HandoverOutcome, LoopCounts};
use crate::wire::{FunctionStats, GatewayReport, HandoverStats, MAX_FUNCTIONS_PER_REPORT};
use basaltward_membership::{Micros, Site};
use std::collections::BTreeMap;

/// Span over which rates are smoothed.
const SMOOTH: f64 = 500_000.0;
/// Span over which calls are counted for homes, which move slowly.
const SLOW: f64 = 20_000_000.0;

#[derive(Clone, Debug, Default)]
struct FunctionCounters {
    /// Since the last telling: came, served, took, found no copy.
    sums: [f64; 4],
    /// A second's, smoothed, of the same.
    rates: [f64; 4],
    /// Calls a second over the longer span.
    slow: f64,
    /// When one was served last: copies stand for the keep time from then.
    served_at: Option<Micros>,
    /// In hand, by loop.
    in_hand: BTreeMap<u16, u32>,
    smooth_in_hand: f64,
    /// Most in hand in this half of the keep time, and in the one before.
    peaks: [u32; 2],
}

/// All that one gateway has counted.
#[derive(Debug)]
pub(crate) struct LocalCounters {
    functions: BTreeMap<u32, FunctionCounters>,
    known: u32,
    /// Workers, by loop: each is told the same, or a part of the same.
    workers: BTreeMap<u16, u32>,
    /// Since the last telling and smoothed: served, refused, lost, time of those served.
    ends: BTreeMap<Site, ([f64; 4], [f64; 4])>,
    keep: Micros,
    half_began: Micros,
    told: Micros,
}

impl LocalCounters {
    pub fn new(settings: &RoutingSettings, now: Micros) -> Self {
        Self {
            functions: BTreeMap::new(),
            known: settings.functions.len() as u32,
            workers: BTreeMap::new(),
            ends: BTreeMap::new(),
            keep: settings.keep_alive,
            half_began: now,
            told: now,
        }
    }

    pub fn counted(&mut self, now: Micros, loop_no: u16, counts: &LoopCounts) {
        self.workers.insert(loop_no, counts.workers);
        self.functions.values_mut().for_each(|f| f.in_hand.retain(|of, _| *of != loop_no));
        for c in counts.functions.iter().filter(|c| c.function < self.known) {
            let f = self.functions.entry(c.function).or_default();
            if c.served > 0 {
                f.served_at = Some(now);
            }
            let cold = c.served.saturating_sub(c.warm_starts);
            let new = [f64::from(c.calls), f64::from(c.served), c.total_time as f64, f64::from(cold)];
            f.sums.iter_mut().zip(new).for_each(|(sum, new)| *sum += new);
            if c.in_flight > 0 {
                f.in_hand.insert(loop_no, c.in_flight);
            }
            // One that came and went within the span needed a lane as well.
            let at_once = f.in_hand.values().sum::<u32>().max(u32::from(c.served > 0));
            f.peaks[0] = f.peaks[0].max(at_once);
        }
    }

    pub fn handed(&mut self, to: Site, handed: &Handover) {
        let (sums, _) = self.ends.entry(to).or_default();
        sums[match handed.outcome {
            HandoverOutcome::Served => {
                sums[3] += handed.duration as f64;
                0
            }
            HandoverOutcome::Refused => 1,
            HandoverOutcome::Unreached | HandoverOutcome::Lost => 2,
        }] += 1.0;
    }

    /// What is told now. The smoothing goes on by it: it is called once a telling.
    pub fn part(&mut self, now: Micros, number: u64) -> GatewayReport {
        let span = now.saturating_sub(self.told).max(1) as f64;
        let weight = 1.0 - (-span / SMOOTH).exp();
        let slowly = 1.0 - (-span / SLOW).exp();
        let smooth = |rate: &mut f64, sum: &mut f64| {
            *rate += (*sum * 1e6 / span - *rate) * weight;
            *sum = 0.0;
        };
        self.told = now;
        let turn = now >= self.half_began + self.keep / 2;
        if turn {
            self.half_began = now;
        }
        for f in self.functions.values_mut() {
            f.slow += (f.sums[0] * 1e6 / span - f.slow) * slowly;
            f.rates.iter_mut().zip(&mut f.sums).for_each(|(rate, sum)| smooth(rate, sum));
            let in_hand = f.in_hand.values().sum::<u32>();
            f.smooth_in_hand += (f64::from(in_hand) - f.smooth_in_hand) * weight.max(0.5);
            if turn {
                f.peaks = [in_hand, f.peaks[0]];
            }
        }
        self.functions
            .retain(|_, f| f.peaks != [0, 0] || f.slow > 1e-3 || f.rates[1] > 1e-3 || !f.in_hand.is_empty());
        let keep = self.keep;
        let milli = |x: f64| (x * 1e3).clamp(0.0, f64::from(u32::MAX)) as u32;
        let by = self.functions.iter().map(|(function, f)| FunctionStats {
            function: *function,
            arrivals: milli(f.rates[0]),
            slow_arrivals: milli(f.slow),
            served: milli(f.rates[1]),
            mean_time: if f.rates[1] > 0.0 { (f.rates[2] / f.rates[1]) as u32 } else { 0 },
            cold_starts: if f.rates[1] > 0.0 { (f.rates[3] / f.rates[1] * 1e3) as u16 } else { 0 },
            in_flight: milli(f.smooth_in_hand),
            peak_in_flight: if f.served_at.is_some_and(|at| now <= at + keep) {
                f.peaks[0].max(f.peaks[1])
            } else {
                0
            },
        });
        let mut by: Vec<_> = by.collect();
        if by.len() > MAX_FUNCTIONS_PER_REPORT {
            by.sort_by_key(|f| std::cmp::Reverse(f.arrivals.saturating_add(f.served)));
            by.truncate(MAX_FUNCTIONS_PER_REPORT);
        }
        let ends = self.ends.iter_mut().map(|(site, (sums, rates))| {
            rates.iter_mut().zip(sums).for_each(|(rate, sum)| smooth(rate, sum));
            let took = if rates[0] > 0.0 { (rates[3] / rates[0]) as u32 } else { 0 };
            let [served, refused, lost, _] = rates.map(milli);
            HandoverStats { site: *site, served, refused, lost, mean_time: took }
        });
        let ends = ends.collect();
        GatewayReport {
            number,
            workers: self.workers.values().copied().max().unwrap_or(0),
            functions: by,
            handovers: ends,
        }
    }
}
