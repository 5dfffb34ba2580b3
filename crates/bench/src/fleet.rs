//! Membership in virtual time: the time until all members agree after a join, a leave, a death and a healed partition,
//! how often a live member is declared gone, and the traffic.

use basaltward_membership::{LinkFaults, MemberId, MembershipSettings, Micros, VirtualCluster};
use std::error::Error;

const SECOND_US: Micros = 1_000_000;

/// Median and 99th percentile in milliseconds; `-` for values that were not reached.
pub fn spread(mut values: Vec<Option<Micros>>) -> String {
    values.sort_by_key(|v| v.unwrap_or(Micros::MAX));
    let at = |share: f64| values.get(((values.len() as f64 * share) as usize).min(values.len() - 1));
    let text =
        |v: Option<&Option<Micros>>| v.copied().flatten().map_or("-".into(), |v| (v / 1_000).to_string());
    format!("{} / {}", text(at(0.5)), text(at(0.99)))
}

/// A cluster of which all members were started and have agreed.
fn settled_cluster(settings: MembershipSettings, link: LinkFaults) -> VirtualCluster {
    let mut cluster = VirtualCluster::new(settings, link);
    cluster.node_ids().for_each(|of| cluster.start(of));
    let all: Vec<_> = cluster.node_ids().collect();
    cluster.run_until_condition(60 * SECOND_US, |cluster| cluster.agrees(&all));
    cluster.run_for(5 * SECOND_US);
    cluster
}

/// Measures and prints. `bytes_per_s` and `burst` bound the traffic of a member; `hours` of virtual time are run to
/// count live members declared gone.
pub fn run(
    sizes: &[MemberId],
    lost: f64,
    seeds: u64,
    (bytes_per_s, burst): (u64, Option<u64>),
    hours: f64,
) -> Result<(), Box<dyn Error>> {
    println!("{:.0}% lost, {seeds} seeds; milliseconds until all agree, p50 / p99", lost * 100.0);
    println!(
        "size | start | death | leave | join | heal after 6 s | bytes/s per member quiet | during the faults"
    );
    let link = LinkFaults { loss_rate: lost, ..LinkFaults::default() };
    for &size in sizes {
        let settings = |seed| {
            let defaults = MembershipSettings::new(size, 0, 0, seed);
            MembershipSettings { bytes_per_s, burst: burst.unwrap_or(defaults.burst), ..defaults }
        };
        let (mut start, mut death, mut leave, mut join, mut heal) =
            <(Vec<_>, Vec<_>, Vec<_>, Vec<_>, Vec<_>)>::default();
        let (mut quiet, mut storm) = (0.0, 0.0);
        for seed in 1..=seeds {
            let mut cluster = VirtualCluster::new(settings(seed), link);
            let all: Vec<_> = cluster.node_ids().collect();
            all.iter().for_each(|of| cluster.start(*of));
            let settle_time = |cluster: &mut VirtualCluster| {
                let (from, until) = (cluster.now, cluster.now + 60 * SECOND_US);
                cluster.run_until_condition(until, |cluster| cluster.agrees(&all)).map(|at| at - from)
            };
            start.push(settle_time(&mut cluster));
            cluster.run_for(5 * SECOND_US);
            let (before, from) = (cluster.counters().sent.1, cluster.now);
            cluster.run_for(10 * SECOND_US);
            let rate = |bytes: u64, span: Micros| bytes as f64 * 1e6 / span as f64 / f64::from(size);
            quiet += rate(cluster.counters().sent.1 - before, cluster.now - from);
            let victim = (seed % u64::from(size)) as MemberId;
            let (before, from) = (cluster.counters().sent.1, cluster.now);
            cluster.kill(victim);
            death.push(settle_time(&mut cluster));
            cluster.run_for(SECOND_US);
            cluster.start(victim);
            join.push(settle_time(&mut cluster));
            cluster.run_for(SECOND_US);
            cluster.stop(victim);
            leave.push(settle_time(&mut cluster));
            cluster.start(victim);
            cluster.run_for(5 * SECOND_US);
            let half: Vec<_> = (0..size / 2).collect();
            cluster.set_isolated(&half, true);
            cluster.run_for(6 * SECOND_US);
            cluster.set_isolated(&half, false);
            heal.push(settle_time(&mut cluster));
            storm += rate(cluster.counters().sent.1 - before, cluster.now - from);
        }
        println!(
            "{size} | {} | {} | {} | {} | {} | {:.0} | {:.0}",
            spread(start),
            spread(death),
            spread(leave),
            spread(join),
            spread(heal),
            quiet / seeds as f64,
            storm / seeds as f64
        );
        if hours > 0.0 {
            let mut cluster = settled_cluster(settings(1), link);
            let before = cluster.counters();
            cluster.run_for((hours * 3_600.0 * 1e6) as Micros);
            let counts = cluster.counters();
            println!(
                "{size}: in {hours} h {} suspicions, {} times a live member declared gone, {:.0} bytes/s per member",
                counts.suspicions - before.suspicions,
                counts.declared_gone - before.declared_gone,
                (counts.sent.1 - before.sent.1) as f64 / (hours * 3_600.0) / f64::from(size)
            );
        }
    }
    Ok(())
}
