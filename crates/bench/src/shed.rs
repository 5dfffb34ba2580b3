//! Admission control under overload in virtual time: four sites with shared admission compared with gateways that each
//! decide alone, on the same seeds. Measures goodput at multiples of the workers' capacity, the time to recover, and
//! the service of tenants within their quotas beside one at ten times its quota.

use basaltward_admission::{Action, ArrivalStream, SecondStats, Simulation, SimulationConfig};
use basaltward_membership::{LinkFaults, MembershipSettings, Micros, SHED_KEYS, Site, VirtualCluster};
use std::error::Error;

const SECOND_US: Micros = 1_000_000;
/// Seconds of half load before the overload begins.
const QUIET_S: usize = 10;

/// Result of a simulation: statistics of each second, and the capacity of the workers in calls a second.
struct SimulationResult {
    seconds: Vec<SecondStats>,
    capacity: f64,
}

/// Runs a simulation of `span` seconds.
fn simulate(
    config: &SimulationConfig,
    seed: u64,
    span: usize,
    actions: Vec<(Micros, Action)>,
) -> SimulationResult {
    let mut simulation = Simulation::new(config.clone(), seed, actions);
    simulation.run_until(span as Micros * SECOND_US);
    simulation.seconds.resize_with(span, SecondStats::default);
    SimulationResult { seconds: simulation.seconds, capacity: config.capacity() }
}

fn mean(seconds: &[SecondStats], of: impl Fn(&SecondStats) -> f64) -> f64 {
    seconds.iter().map(of).sum::<f64>() / seconds.len().max(1) as f64
}

/// Measures all seeds with shared admission and without it, and joins the two results as columns of a table.
fn compare(seeds: u64, config: &SimulationConfig, measure: impl Fn(&SimulationConfig, u64) -> f64) -> String {
    let column = |shared_admission: bool| {
        let config = SimulationConfig { shared_admission, ..config.clone() };
        crate::spread((1..=seeds).map(|seed| measure(&config, seed)).collect())
    };
    format!("{} | {}", column(true), column(false))
}

/// Seconds after the end of the load until goodput stays at 95% of the arrivals or of the capacity, whichever is less,
/// minus three standard deviations of the count.
fn recovery_seconds(result: &SimulationResult, end: usize) -> f64 {
    // Averaged over two consecutive seconds, as the counts of single seconds scatter.
    let has_recovered = |pair: &[SecondStats]| {
        let arrivals = mean(pair, |second| f64::from(second.first_attempts)).min(result.capacity);
        mean(pair, |second| f64::from(second.served)) >= 0.95 * arrivals - 3.0 * arrivals.sqrt() / 2f64.sqrt()
    };
    let last = result.seconds[end..].windows(2).rposition(|pair| !has_recovered(pair));
    last.map_or(0.0, |last| last as f64 + 1.0)
}

/// Measures and prints.
pub fn run(multiples: &[f64], seeds: u64, seconds: usize) -> Result<(), Box<dyn Error>> {
    println!(
        "4 sites of 2 gateways and 10 workers, {seeds} seeds, clients retry for 5 s, half of them honour Retry-After"
    );
    println!(
        "goodput as a share of capacity, median (minimum to maximum)\nload | shared | each gateway alone"
    );
    for &multiple in multiples {
        let config = SimulationConfig {
            load_steps: vec![(0, 0.5), (QUIET_S as Micros * SECOND_US, multiple)],
            ..SimulationConfig::new()
        };
        let goodput = |config: &SimulationConfig, seed| {
            let result = simulate(config, seed, QUIET_S + 5 + seconds, Vec::new());
            mean(&result.seconds[QUIET_S + 5..], |second| f64::from(second.served)) / result.capacity
        };
        println!("{multiple} | {}", compare(seeds, &config, goodput));
    }
    println!(
        "\nseconds until goodput has recovered after 10 s at five times capacity, then 0.8\ncase | shared | each gateway alone"
    );
    let end = QUIET_S + 10;
    let load = vec![(0, 0.5), (QUIET_S as Micros * SECOND_US, 5.0), (end as Micros * SECOND_US, 0.8)];
    let half = [0, 2, 4, 6].map(|of| ((QUIET_S as Micros + 5) * SECOND_US, Action::Kill(of))).to_vec();
    let partition = vec![((QUIET_S as Micros + 5) * SECOND_US, Action::Partition(vec![0, 1, 2, 3]))];
    let cases = [
        ("no fault", Vec::new()),
        ("half of the gateways killed", half),
        ("membership partitioned", partition),
    ];
    for (name, actions) in cases {
        let config = SimulationConfig { load_steps: load.clone(), ..SimulationConfig::new() };
        println!(
            "{name} | {}",
            compare(seeds, &config, |config, seed| recovery_seconds(
                &simulate(config, seed, end + 20, actions.clone()),
                end
            ))
        );
    }
    println!(
        "\nshare served of two tenants within their quotas beside one at ten times\ncase | shared | each gateway alone"
    );
    for (name, site) in [("at all sites", None), ("at one site", Some(0))] {
        let config = tenants_config(site);
        let served = |config: &SimulationConfig, seed| {
            let result = simulate(config, seed, QUIET_S + 5 + seconds, Vec::new());
            let sum = |of: fn(&SecondStats) -> f64| mean(&result.seconds[QUIET_S + 5..], of);
            let first = sum(|second| {
                [0, 1].map(|t| f64::from(*second.first_attempts_by_tenant.get(&t).unwrap_or(&0))).iter().sum()
            });
            let good = sum(|second| {
                [0, 1].map(|t| f64::from(*second.served_by_tenant.get(&t).unwrap_or(&0))).iter().sum()
            });
            good / first
        };
        println!("{name} | {}", compare(seeds, &config, served));
    }
    print_fact_ages();
    Ok(())
}

/// The age of the newest fact received from each other gateway, by the bytes that a member may send. Each gateway
/// publishes three facts of 30 bytes each 500 ms.
fn print_fact_ages() {
    println!(
        "\nage of peers' facts in ms, p50 / p99, 5% of datagrams lost, by bytes a second\ngateways | 1000 | 4000 | 16000"
    );
    for size in [8, 32] {
        let spread_at = |bytes_per_s| {
            let settings = MembershipSettings { bytes_per_s, ..MembershipSettings::new(size, 0, 0, 1) };
            let mut cluster =
                VirtualCluster::new(settings, LinkFaults { loss_rate: 0.05, ..LinkFaults::default() });
            let all: Vec<_> = cluster.node_ids().collect();
            all.iter().for_each(|of| cluster.start(*of));
            cluster.run_until_condition(60 * SECOND_US, |cluster| cluster.agrees(&all));
            let mut ages = Vec::new();
            for step in 0..120_u64 {
                let value: Vec<u8> =
                    (0..30).map(|at| if at < 8 { (step >> (at * 8)) as u8 } else { 7 }).collect();
                for of in &all {
                    let facts = SHED_KEYS.take(3);
                    facts.for_each(|key| {
                        cluster.with_node(*of, |view, now, _| {
                            view.publish_fact(now, key, &value, 5 * SECOND_US);
                        })
                    });
                }
                cluster.run_for(500_000);
                for (of, other) in all.iter().flat_map(|of| all.iter().map(move |other| (*of, *other))) {
                    let now = cluster.clock(of);
                    let fact = cluster.membership(of).and_then(|view| view.fact(now, other, SHED_KEYS.start));
                    let published =
                        fact.and_then(|fact| fact.first_chunk::<8>()).map(|bytes| u64::from_le_bytes(*bytes));
                    if step > 20 && of != other {
                        ages.push(published.map(|published| (step - published + 1) * 500_000));
                    }
                }
            }
            crate::fleet::spread(ages)
        };
        println!("{size} | {} | {} | {}", spread_at(1_000), spread_at(4_000), spread_at(16_000));
    }
}

/// Two tenants at 80% of their quotas, and a third at ten times its own, at all sites or at one.
fn tenants_config(site: Option<Site>) -> SimulationConfig {
    let third = SimulationConfig::new().capacity() / 3.0;
    let stream = |tenant, rate| ArrivalStream { site: None, class: 0, tenant, rate, ignores_load: true };
    let greedy = ArrivalStream { site, tenant: 2, rate: third, ..stream(2, third) };
    SimulationConfig {
        quotas: vec![third; 3],
        over_share_value: 0.1,
        streams: vec![
            stream(0, third * 0.8),
            stream(1, third * 0.8),
            ArrivalStream { ignores_load: false, ..greedy },
        ],
        load_steps: vec![(0, 0.5), (QUIET_S as Micros * SECOND_US, 10.0)],
        ..SimulationConfig::new()
    }
}
