//! Sites under overload, simulated in virtual time with several seeds. To run other seeds:
//! `SHED_SEEDS=0..1000 cargo test --release -p basaltward-admission`.

use basaltward_admission::{
    Action, ArrivalStream, ClassSettings, ControllerFault, LimiterFault, SecondStats, Simulation,
    SimulationConfig,
};
use basaltward_membership::{MemberId, Micros};
use std::collections::BTreeMap;

const S: Micros = 1_000_000;
/// Second at which the load of a test starts; before it, the load factor is 0.5.
const LOAD_START: usize = 6;

fn seeds(default_count: u64) -> std::ops::Range<u64> {
    let range = std::env::var("SHED_SEEDS").unwrap_or_default();
    let range = range.split_once("..").and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    range.unwrap_or(0..default_count)
}

fn stream(tenant: usize, rate: f64) -> ArrivalStream {
    ArrivalStream { site: None, class: 0, tenant, rate, ignores_load: false }
}

/// Two sites of two gateways, each site with a capacity of 200 calls per second. `load` is a multiple of the capacity.
fn config(load: f64) -> SimulationConfig {
    let load = vec![(0, 0.5), (LOAD_START as Micros * S, load)];
    SimulationConfig {
        sites: 2,
        streams: vec![stream(0, 400.0)],
        load_steps: load,
        ..SimulationConfig::new()
    }
}

fn run(
    config: &SimulationConfig,
    seed: u64,
    until: usize,
    actions: Vec<(usize, Action)>,
) -> Vec<SecondStats> {
    let actions = actions.into_iter().map(|(at, action)| (at as Micros * S, action)).collect();
    let mut simulation = Simulation::new(config.clone(), seed, actions);
    simulation.run_until(until as Micros * S);
    simulation.seconds.resize_with(until, SecondStats::default);
    simulation.seconds
}

fn sum(seconds: &[SecondStats], count: impl Fn(&SecondStats) -> u32) -> f64 {
    seconds.iter().map(|second| f64::from(count(second))).sum()
}

/// Calls answered in time per second, as a fraction of the workers' capacity.
fn goodput(config: &SimulationConfig, seconds: &[SecondStats]) -> f64 {
    sum(seconds, |second| second.served) / seconds.len() as f64 / config.capacity()
}

fn count_of(map: &BTreeMap<usize, u32>, tenant: usize) -> u32 {
    map.get(&tenant).copied().unwrap_or_default()
}

#[test]
fn goodput_stays_at_capacity_under_any_load() {
    for load in [1.0, 2.0, 5.0, 10.0] {
        for seed in seeds(1) {
            let config = config(load);
            let goodput_ratio =
                goodput(&config, &run(&config, seed, LOAD_START + 8, Vec::new())[LOAD_START + 2..]);
            assert!(goodput_ratio >= 0.95, "goodput {goodput_ratio} at load {load}, seed {seed}");
        }
    }
}

#[test]
fn retries_at_the_scheduled_time_are_admitted() {
    for seed in seeds(1) {
        for (roaming_share, clients_mark_retries) in [(0.0, false), (0.7, true)] {
            let config = SimulationConfig {
                honour_share: 1.0,
                patience: 60 * S,
                roaming_share,
                clients_mark_retries,
                ..config(2.0)
            };
            let seconds = run(&config, seed, LOAD_START + 20, Vec::new());
            let (arrived, admitted) =
                (sum(&seconds, |s| s.scheduled_retries.0), sum(&seconds, |s| s.scheduled_retries.1));
            assert!(
                arrived > 100.0 && admitted >= 0.9 * arrived,
                "{admitted} of {arrived} admitted, roaming share {roaming_share}, seed {seed}"
            );
        }
    }
}

#[test]
fn shed_calls_do_not_return_as_a_wave() {
    for seed in seeds(1) {
        let mut config = SimulationConfig { honour_share: 1.0, patience: 60 * S, ..config(8.0) };
        config.load_steps.push(((LOAD_START as Micros + 2) * S, 0.3));
        let seconds = run(&config, seed, LOAD_START + 30, Vec::new());
        let (arrived, most) =
            (sum(&seconds, |s| s.scheduled_retries.0), seconds.iter().map(|s| s.scheduled_retries.0).max());
        let (most, admitted) =
            (f64::from(most.unwrap_or_default()), sum(&seconds, |s| s.scheduled_retries.1));
        assert!(
            arrived > 2_000.0 && most <= 0.75 * config.capacity(),
            "{most} of {arrived} arrived in one second, seed {seed}"
        );
        assert!(admitted >= 0.9 * arrived, "{admitted} of {arrived} admitted, seed {seed}");
    }
}

#[test]
fn goodput_recovers_within_two_seconds_after_overload_with_gateways_killed_or_partitioned() {
    let cases = [
        ("no fault", vec![]),
        ("killed", vec![(LOAD_START + 5, Action::Kill(0)), (LOAD_START + 5, Action::Kill(2))]),
        ("partitioned by site", vec![(LOAD_START + 5, Action::Partition(vec![0, 1]))]),
        ("partitioned across sites", vec![(LOAD_START + 5, Action::Partition(vec![0, 2]))]),
        (
            "partitioned and healed",
            vec![(LOAD_START + 3, Action::Partition(vec![0, 2])), (LOAD_START + 8, Action::Heal)],
        ),
    ];
    for (name, actions) in cases {
        for seed in seeds(1) {
            let mut config = config(5.0);
            let end = LOAD_START + 10;
            config.load_steps.push((end as Micros * S, 0.8));
            let seconds = run(&config, seed, end + 10, actions.clone());
            let during = goodput(&config, &seconds[LOAD_START + 2..end]);
            let after = goodput(&config, &seconds[end + 2..]);
            assert!(
                after >= 0.8 * 0.95 && during >= 0.8,
                "{name}, seed {seed}: goodput {during} during overload, {after} after"
            );
        }
    }
}

#[test]
fn three_of_ten_gateways_use_the_whole_capacity_after_the_others_are_detected_as_departed() {
    for seed in seeds(1) {
        let config =
            SimulationConfig { sites: 1, gateways: 10, streams: vec![stream(0, 200.0)], ..config(2.0) };
        let kills = [0, 1, 2, 3, 4, 5, 6].map(|member| (LOAD_START + 4, Action::Kill(member)));
        let seconds = run(&config, seed, LOAD_START + 16, kills.to_vec());
        let (before, after) = (&seconds[LOAD_START + 2..LOAD_START + 4], &seconds[LOAD_START + 8..]);
        let (before, after) = (goodput(&config, before), goodput(&config, after));
        assert!(before >= 0.85 && after >= 0.95, "goodput {before} before, {after} after, seed {seed}");
    }
}

/// Two tenants at 80% of their quotas and one at ten times its quota.
fn over_quota(site: Option<u8>) -> SimulationConfig {
    let quota = 400.0 / 3.0;
    let within = |tenant| ArrivalStream { ignores_load: true, ..stream(tenant, quota * 0.8) };
    let excessive = ArrivalStream { site, ..stream(2, quota) };
    SimulationConfig {
        quotas: vec![quota; 3],
        over_share_value: 0.1,
        streams: vec![within(0), within(1), excessive],
        ..config(10.0)
    }
}

#[test]
fn tenants_within_their_quotas_are_served_beside_one_at_ten_times_its_quota() {
    for site in [None, Some(0)] {
        for seed in seeds(1) {
            let seconds = &run(&over_quota(site), seed, LOAD_START + 12, Vec::new())[LOAD_START + 2..];
            for tenant in [0, 1] {
                let first = sum(seconds, |s| count_of(&s.first_attempts_by_tenant, tenant));
                let share = sum(seconds, |s| count_of(&s.served_by_tenant, tenant)) / first;
                assert!(share >= 0.95, "{share} of tenant {tenant} served, load at {site:?}, seed {seed}");
            }
        }
    }
}

/// Reference max-min shares: small increments, each to the tenant with the smallest share.
fn max_min(demand: &[f64], mut capacity: f64) -> Vec<f64> {
    let mut shares = vec![0.0; demand.len()];
    while capacity > 0.0 {
        let unsatisfied = |at: &usize| shares[*at] + 0.1 <= demand[*at];
        let Some(smallest) =
            (0..demand.len()).filter(unsatisfied).min_by(|a, b| shares[*a].total_cmp(&shares[*b]))
        else {
            break;
        };
        shares[smallest] += 0.1;
        capacity -= 0.1;
    }
    shares
}

#[test]
fn shares_are_within_a_tenth_of_max_min_over_any_five_seconds() {
    for seed in seeds(1) {
        let rates = [60.0, 150.0, 400.0, 1_200.0];
        let streams = rates.iter().enumerate().map(|(tenant, rate)| stream(tenant, *rate)).collect();
        let config = SimulationConfig { quotas: vec![2_000.0; 4], patience: 0, streams, ..config(1.0) };
        let seconds = &run(&config, seed, LOAD_START + 16, Vec::new())[LOAD_START + 3..];
        let expected = max_min(&rates, config.capacity());
        for (index, window) in seconds.windows(5).enumerate() {
            for (tenant, expected) in expected.iter().enumerate() {
                let share = sum(window, |s| count_of(&s.served_by_tenant, tenant)) / 5.0;
                // The number of arrivals is random: allow three standard deviations of the count.
                let tolerance = 3.0 * (expected * 5.0).sqrt() / 5.0;
                let error = (share - expected).abs();
                assert!(
                    error <= 0.1 * expected + tolerance,
                    "{share} instead of {expected}: tenant {tenant}, window {index}, seed {seed}"
                );
            }
        }
    }
}

/// Largest ratio of admitted retries to the retry budget over all seconds; 1 is the budget. The budget of a second is
/// based on the highest number of first attempts in it and the five seconds before, because peers may still use the
/// load of that time.
fn budget_ratio(seconds: &[SecondStats]) -> f64 {
    let ratio = |at: usize| {
        let first =
            seconds[at.saturating_sub(5)..=at].iter().map(|s| s.first_attempts).max().unwrap_or_default();
        f64::from(seconds[at].budgeted_retries) / (0.2 * f64::from(first))
    };
    (LOAD_START..seconds.len()).map(ratio).fold(0.0, f64::max)
}

/// Clients that ignore the scheduled retry times, at a load where the retry budget is the limit and not the workers.
fn retry_storm() -> SimulationConfig {
    SimulationConfig {
        honour_share: 0.0,
        patience: 10 * S,
        clients_mark_retries: true,
        roaming_share: 0.5,
        ..config(1.3)
    }
}

#[test]
fn retries_stay_within_the_fleet_budget_during_partitions_too() {
    for seed in seeds(2) {
        let ratio = budget_ratio(&run(&retry_storm(), seed, LOAD_START + 12, Vec::new()));
        assert!(ratio <= 1.15, "{ratio} of the budget without faults, seed {seed}");
        let actions = vec![
            (LOAD_START + 4, Action::Partition(vec![0, 2])),
            (LOAD_START + 8, Action::Kill(1)),
            (LOAD_START + 9, Action::Heal),
        ];
        let ratio = budget_ratio(&run(&retry_storm(), seed, LOAD_START + 16, actions));
        assert!(ratio <= 1.4, "{ratio} of the budget with partitions, seed {seed}");
    }
}

#[test]
fn an_undivided_retry_budget_is_detected() {
    for seed in seeds(2) {
        let actions = vec![(0, Action::InjectFault(ControllerFault::UndividedRetryBudget))];
        let ratio = budget_ratio(&run(&retry_storm(), seed, LOAD_START + 12, actions));
        assert!(ratio > 1.4, "{ratio} of the budget, seed {seed}");
    }
}

#[test]
fn false_reports_take_no_share_below_its_minimum_and_goodput_stays() {
    for seed in seeds(1) {
        for (capacity, arrivals) in [(400_000.0, 400_000.0), (400_000.0, 0.0), (0.5, 400_000.0), (0.5, 0.0)] {
            let config = config(3.0);
            let actions = vec![(LOAD_START + 2, Action::FalseReport(0, capacity, arrivals))];
            let seconds = &run(&config, seed, LOAD_START + 14, actions)[LOAD_START + 4..];
            let goodput_ratio = goodput(&config, seconds);
            assert!(
                goodput_ratio >= 0.85,
                "goodput {goodput_ratio}, reported {capacity}, {arrivals}, seed {seed}"
            );
            // The guaranteed minimum is a quarter of an even share of 100 calls per second.
            for honest in 1..4 {
                let admitted =
                    sum(seconds, |s| s.admitted_by_gateway.get(&honest).copied().unwrap_or_default());
                let admitted_per_s = admitted / seconds.len() as f64;
                assert!(
                    admitted_per_s >= 25.0,
                    "{admitted_per_s} at gateway {honest}, reported {capacity}, {arrivals}, seed {seed}"
                );
            }
        }
    }
}

/// Gateway 0 is alone at its site, and its control thread stalls after its last table, before the three other gateways
/// return. Returns the goodput and the calls per second that gateway 0 admits afterwards. With `ignore_expiry` the
/// limiters go on using the expired table.
fn stalled(ignore_expiry: bool, seed: u64) -> (f64, f64) {
    let config = SimulationConfig { sites: 1, gateways: 4, streams: vec![stream(0, 200.0)], ..config(4.0) };
    let restart_at = LOAD_START + 4;
    let mut actions: Vec<_> =
        (1..4).flat_map(|member| [(0, Action::Kill(member)), (restart_at, Action::Start(member))]).collect();
    actions.push((restart_at, Action::Stall(0, 20 * S)));
    if ignore_expiry {
        actions.push((0, Action::InjectLimiterFault(LimiterFault::IgnoresTableExpiry)));
    }
    let seconds = &run(&config, seed, restart_at + 14, actions)[restart_at + 4..];
    let admitted =
        |member: MemberId| sum(seconds, |s| s.admitted_by_gateway.get(&member).copied().unwrap_or_default());
    (goodput(&config, seconds), admitted(0) / seconds.len() as f64)
}

#[test]
fn an_expired_table_is_not_used() {
    for seed in seeds(1) {
        let (goodput_ratio, admitted) = stalled(false, seed);
        assert!(
            goodput_ratio >= 0.9 && admitted <= 60.0,
            "goodput {goodput_ratio}, {admitted} admitted at an even share of 50, seed {seed}"
        );
        let (_, admitted) = stalled(true, seed);
        assert!(admitted > 90.0, "the injected fault must be visible: {admitted} admitted, seed {seed}");
    }
}

#[test]
fn served_value_stays_near_its_maximum_during_a_rolling_restart() {
    for seed in seeds(1) {
        let class = |value| ClassSettings { value, aim: 500_000, deadline: 2 * S };
        let high = ArrivalStream { class: 1, ignores_load: true, ..stream(0, 240.0) };
        let streams = vec![stream(0, 400.0), high];
        let config = SimulationConfig { classes: vec![class(1.0), class(5.0)], streams, ..config(4.0) };
        let restart = |member: MemberId| {
            let at = LOAD_START + 3 + usize::from(member) * 4;
            [(at, Action::Kill(member)), (at + 2, Action::Start(member))]
        };
        let seconds = run(&config, seed, LOAD_START + 20, (0..4).flat_map(restart).collect());
        let value: f64 = seconds[LOAD_START + 2..].iter().map(|s| s.value).sum::<f64>() / 18.0;
        let best = 240.0 * 5.0 + 160.0;
        assert!(value >= 0.9 * best, "value {value} of {best}, seed {seed}");
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let outcome =
        |seconds: Vec<SecondStats>| seconds.iter().map(|s| (s.served, s.attempts)).collect::<Vec<_>>();
    let run_once =
        || outcome(run(&over_quota(None), 9, LOAD_START + 3, vec![(LOAD_START + 1, Action::Kill(1))]));
    assert_eq!(run_once(), run_once());
}
