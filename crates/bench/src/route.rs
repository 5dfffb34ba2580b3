//! Which site answers, in virtual time: what calls are worth and how long they take on five days by our choice, by plain
//! ones and by one that sees all sites at once.

mod days;
pub mod grow;

use basaltward_site_routing::{CompletedCall, Policy};
use days::{DAYS, Day};
use std::error::Error;
use std::path::Path;

const POLICIES: [(&str, Policy); 7] = [
    ("ours", Policy::SiteRouting),
    ("home only", Policy::HomeOnly),
    ("nearest first", Policy::NearestFirst),
    ("random warm", Policy::RandomWarm),
    ("least queue", Policy::LeastQueue),
    ("better of two", Policy::TwoRandom),
    ("oracle", Policy::Oracle),
];

/// What a day came to under a policy.
struct Sum {
    worth: f64,
    p50: u64,
    p99: u64,
    handed: f64,
    loads: u64,
    /// Greatest change of the share handed over from one second to the next, in the mean over sites and seconds.
    swing: f64,
}

fn quantile(sorted: &[u64], share: f64) -> u64 {
    sorted.get(((sorted.len() as f64 * share) as usize).min(sorted.len().max(1) - 1)).copied().unwrap_or(0)
}

/// Mean change of what a site does for others from one second to the next, against the mean of what it does.
fn swing(ended: &[CompletedCall]) -> f64 {
    let last = ended.iter().map(|e| e.arrived_at / 1_000_000).max().unwrap_or(0) as usize;
    let sites = ended.iter().map(|e| usize::from(e.answered_by)).max().unwrap_or(0) + 1;
    let mut done = vec![vec![0.0; last + 1]; sites];
    for e in ended.iter().filter(|e| e.answered_by != e.site) {
        done[usize::from(e.answered_by)][(e.arrived_at / 1_000_000) as usize] += 1.0;
    }
    let changes: f64 = done.iter().flat_map(|s| s.windows(2).map(|w| f64::abs(w[1] - w[0]))).sum();
    let all: f64 = done.iter().flatten().sum();
    if all > 0.0 { changes / all } else { 0.0 }
}

fn play(day: Day, policy: Policy, seeds: u64) -> Result<Sum, Box<dyn Error>> {
    let (mut ended, mut loads, mut swings) = (Vec::new(), 0, 0.0);
    for seed in 1..=seeds {
        let world = days::play(day, policy, seed)?;
        loads += world.loads_started();
        swings += swing(&world.completed);
        ended.extend(world.completed);
    }
    let mut took: Vec<_> = ended.iter().map(|e| e.latency.unwrap_or(u64::MAX)).collect();
    took.sort_unstable();
    let all = ended.len().max(1) as f64;
    Ok(Sum {
        worth: ended.iter().map(|e| e.value).sum::<f64>() / all,
        p50: quantile(&took, 0.5),
        p99: quantile(&took, 0.99),
        handed: ended.iter().filter(|e| e.hops > 0).count() as f64 / all,
        loads: loads / seeds.max(1),
        swing: swings / seeds.max(1) as f64,
    })
}

/// Measures and prints.
pub fn run(seeds: u64, days: &[String], grow: Option<&Path>) -> Result<(), Box<dyn Error>> {
    if let Some(to) = grow {
        return grow::run(to);
    }
    let asked = |name: &str| days.is_empty() || days.iter().any(|day| day == name);
    println!(
        "{seeds} seeds; worth of a call, latency in ms (late: none in its time), share handed over, loads, swing"
    );
    println!("day | choice | worth | of the oracle | p50 | p99 | handed over | loads a day | swing");
    for (name, day) in DAYS.into_iter().filter(|(name, _)| asked(name)) {
        let sums: Vec<_> = std::thread::scope(|scope| {
            let running: Vec<_> = POLICIES
                .iter()
                .map(|(of, policy)| {
                    (of, scope.spawn(|| play(day, *policy, seeds).map_err(|e| e.to_string())))
                })
                .collect();
            running.into_iter().map(|(of, run)| (of, run.join())).collect()
        });
        let mut rows = Vec::new();
        for (of, sum) in sums {
            rows.push((of, sum.map_err(|_| "a day's thread has ended")??));
        }
        let best = rows.last().map_or(1.0, |(_, sum)| sum.worth);
        let ms = |us: u64| if us == u64::MAX { "late".into() } else { format!("{:.0}", us as f64 / 1e3) };
        for (of, s) in rows {
            println!(
                "{name} | {of} | {:.4} | {:.3} | {} | {} | {:.3} | {} | {:.2}",
                s.worth,
                s.worth / best,
                ms(s.p50),
                ms(s.p99),
                s.handed,
                s.loads,
                s.swing
            );
        }
    }
    Ok(())
}
