//! Choice of the site that answers a call, in virtual time: value and latency of calls on five days under site routing,
//! under simple policies and under an oracle that sees the state of all sites at once.

mod days;
pub mod grow;

use basaltward_site_routing::{CompletedCall, Policy};
use days::{DAYS, Day};
use std::error::Error;
use std::path::Path;

/// The policies with the names under which they are printed; the oracle comes last, as the reference of the others.
const POLICIES: [(&str, Policy); 7] = [
    ("ours", Policy::SiteRouting),
    ("home only", Policy::HomeOnly),
    ("nearest first", Policy::NearestFirst),
    ("random warm", Policy::RandomWarm),
    ("least queue", Policy::LeastQueue),
    ("better of two", Policy::TwoRandom),
    ("oracle", Policy::Oracle),
];

/// Results of a day under a policy.
struct DayResult {
    /// Mean value of a call.
    value: f64,
    /// Median latency, microseconds; `u64::MAX` for calls that were not answered in time.
    p50: u64,
    /// 99th percentile of the latency, in the same way.
    p99: u64,
    /// Share of the calls that were handed over to another site.
    handed_over: f64,
    /// Copies loaded, per seed.
    loads: u64,
    /// Mean change, from one second to the next, of the calls that a site answers for others, relative to their mean
    /// number.
    swing: f64,
}

fn quantile(sorted: &[u64], share: f64) -> u64 {
    sorted.get(((sorted.len() as f64 * share) as usize).min(sorted.len().max(1) - 1)).copied().unwrap_or(0)
}

/// Mean change, from one second to the next, of the calls that a site answers for others, relative to their mean
/// number.
fn swing(completed: &[CompletedCall]) -> f64 {
    let last = completed.iter().map(|e| e.arrived_at / 1_000_000).max().unwrap_or(0) as usize;
    let sites = completed.iter().map(|e| usize::from(e.answered_by)).max().unwrap_or(0) + 1;
    let mut answered = vec![vec![0.0; last + 1]; sites];
    for e in completed.iter().filter(|e| e.answered_by != e.site) {
        answered[usize::from(e.answered_by)][(e.arrived_at / 1_000_000) as usize] += 1.0;
    }
    let changes: f64 = answered.iter().flat_map(|s| s.windows(2).map(|w| f64::abs(w[1] - w[0]))).sum();
    let all: f64 = answered.iter().flatten().sum();
    if all > 0.0 { changes / all } else { 0.0 }
}

fn play(day: Day, policy: Policy, seeds: u64) -> Result<DayResult, Box<dyn Error>> {
    let (mut completed, mut loads, mut swings) = (Vec::new(), 0, 0.0);
    for seed in 1..=seeds {
        let simulation = days::play(day, policy, seed)?;
        loads += simulation.loads_started();
        swings += swing(&simulation.completed);
        completed.extend(simulation.completed);
    }
    let mut latencies: Vec<_> = completed.iter().map(|e| e.latency.unwrap_or(u64::MAX)).collect();
    latencies.sort_unstable();
    let all = completed.len().max(1) as f64;
    Ok(DayResult {
        value: completed.iter().map(|e| e.value).sum::<f64>() / all,
        p50: quantile(&latencies, 0.5),
        p99: quantile(&latencies, 0.99),
        handed_over: completed.iter().filter(|e| e.hops > 0).count() as f64 / all,
        loads: loads / seeds.max(1),
        swing: swings / seeds.max(1) as f64,
    })
}

/// Measures and prints; with `grow`, measures growth instead and draws it into that file.
///
/// # Errors
/// If a simulation fails or the plot can't be written.
pub fn run(seeds: u64, days: &[String], grow: Option<&Path>) -> Result<(), Box<dyn Error>> {
    if let Some(to) = grow {
        return grow::run(to);
    }
    let is_selected = |name: &str| days.is_empty() || days.iter().any(|day| day == name);
    println!(
        "{seeds} seeds; value of a call, latency in ms (late: not answered in time), share handed over, loads, swing"
    );
    println!("day | policy | value | relative to oracle | p50 | p99 | handed over | loads a day | swing");
    for (name, day) in DAYS.into_iter().filter(|(name, _)| is_selected(name)) {
        let results: Vec<_> = std::thread::scope(|scope| {
            let running: Vec<_> = POLICIES
                .iter()
                .map(|(policy_name, policy)| {
                    (policy_name, scope.spawn(|| play(day, *policy, seeds).map_err(|e| e.to_string())))
                })
                .collect();
            running.into_iter().map(|(policy_name, run)| (policy_name, run.join())).collect()
        });
        let mut rows = Vec::new();
        for (policy_name, result) in results {
            rows.push((policy_name, result.map_err(|_| "the thread of a simulation panicked")??));
        }
        let best = rows.last().map_or(1.0, |(_, result)| result.value);
        let ms = |us: u64| if us == u64::MAX { "late".into() } else { format!("{:.0}", us as f64 / 1e3) };
        for (policy_name, result) in rows {
            println!(
                "{name} | {policy_name} | {:.4} | {:.3} | {} | {} | {:.3} | {} | {:.2}",
                result.value,
                result.value / best,
                ms(result.p50),
                ms(result.p99),
                result.handed_over,
                result.loads,
                result.swing
            );
        }
    }
    Ok(())
}
