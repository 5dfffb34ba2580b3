//! What sites under overload go through, in virtual time, over many seeds. Other seeds:
//! `SHED_SEEDS=0..1000 cargo test --release -p basaltward-admission`.
use basaltward_admission::{
    Action, ArrivalStream, ClassSettings, ControllerFault, LimiterFault, SecondStats, Simulation,
    SimulationConfig,
};
use basaltward_membership::{MemberId, Micros};
use std::collections::BTreeMap;

const S: Micros = 1_000_000;
/// When the load begins.
const BEGINS: usize = 6;

fn seeds(usual: u64) -> std::ops::Range<u64> {
    let told = std::env::var("SHED_SEEDS").unwrap_or_default();
    let told = told.split_once("..").and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    told.unwrap_or(0..usual)
}

fn stream(tenant: usize, rate: f64) -> ArrivalStream {
    ArrivalStream { site: None, class: 0, tenant, rate, ignores_load: false }
}

/// Two sites of two gateways, good for 200 calls a second each.
fn bed(load: f64) -> SimulationConfig {
    let load = vec![(0, 0.5), (BEGINS as Micros * S, load)];
    SimulationConfig {
        sites: 2,
        streams: vec![stream(0, 400.0)],
        load_steps: load,
        ..SimulationConfig::new()
    }
}

fn ran(bed: &SimulationConfig, seed: u64, until: usize, acts: Vec<(usize, Action)>) -> Vec<SecondStats> {
    let acts = acts.into_iter().map(|(at, act)| (at as Micros * S, act)).collect();
    let mut world = Simulation::new(bed.clone(), seed, acts);
    world.run_until(until as Micros * S);
    world.seconds.resize_with(until, SecondStats::default);
    world.seconds
}

fn sum(seconds: &[SecondStats], of: impl Fn(&SecondStats) -> u32) -> f64 {
    seconds.iter().map(|second| f64::from(of(second))).sum()
}

/// Served a second, as a share of what the workers can do.
fn goodput(bed: &SimulationConfig, seconds: &[SecondStats]) -> f64 {
    sum(seconds, |second| second.served) / seconds.len() as f64 / bed.capacity()
}

fn of(map: &BTreeMap<usize, u32>, tenant: usize) -> u32 {
    map.get(&tenant).copied().unwrap_or_default()
}

#[test]
fn goodput_is_whole_whatever_the_load() {
    for load in [1.0, 2.0, 5.0, 10.0] {
        for seed in seeds(1) {
            let bed = bed(load);
            let good = goodput(&bed, &ran(&bed, seed, BEGINS + 8, Vec::new())[BEGINS + 2..]);
            assert!(good >= 0.95, "{good} at {load}, seed {seed}");
        }
    }
}

#[test]
fn who_comes_at_the_time_told_is_taken() {
    for seed in seeds(1) {
        for (roam, marks) in [(0.0, false), (0.7, true)] {
            let bed = SimulationConfig {
                honour_share: 1.0,
                patience: 60 * S,
                roaming_share: roam,
                clients_mark_retries: marks,
                ..bed(2.0)
            };
            let seconds = ran(&bed, seed, BEGINS + 20, Vec::new());
            let (came, taken) =
                (sum(&seconds, |s| s.scheduled_retries.0), sum(&seconds, |s| s.scheduled_retries.1));
            assert!(came > 100.0 && taken >= 0.9 * came, "{taken} of {came}, roam {roam}, seed {seed}");
        }
    }
}

#[test]
fn those_turned_away_come_back_in_no_wave() {
    for seed in seeds(1) {
        let mut bed = SimulationConfig { honour_share: 1.0, patience: 60 * S, ..bed(8.0) };
        bed.load_steps.push(((BEGINS as Micros + 2) * S, 0.3));
        let seconds = ran(&bed, seed, BEGINS + 30, Vec::new());
        let (came, most) =
            (sum(&seconds, |s| s.scheduled_retries.0), seconds.iter().map(|s| s.scheduled_retries.0).max());
        let (most, taken) = (f64::from(most.unwrap_or_default()), sum(&seconds, |s| s.scheduled_retries.1));
        assert!(came > 2_000.0 && most <= 0.75 * bed.capacity(), "{most} of {came} in a second, seed {seed}");
        assert!(taken >= 0.9 * came, "{taken} of {came}, seed {seed}");
    }
}

#[test]
fn it_comes_back_within_two_seconds_though_half_are_killed_or_the_view_is_split() {
    let cases = [
        ("as is", vec![]),
        ("killed", vec![(BEGINS + 5, Action::Kill(0)), (BEGINS + 5, Action::Kill(2))]),
        ("split", vec![(BEGINS + 5, Action::Partition(vec![0, 1]))]),
        ("split across", vec![(BEGINS + 5, Action::Partition(vec![0, 2]))]),
        ("split and healed", vec![(BEGINS + 3, Action::Partition(vec![0, 2])), (BEGINS + 8, Action::Heal)]),
    ];
    for (name, acts) in cases {
        for seed in seeds(1) {
            let mut bed = bed(5.0);
            let end = BEGINS + 10;
            bed.load_steps.push((end as Micros * S, 0.8));
            let seconds = ran(&bed, seed, end + 10, acts.clone());
            let under = goodput(&bed, &seconds[BEGINS + 2..end]);
            let after = goodput(&bed, &seconds[end + 2..]);
            assert!(
                after >= 0.8 * 0.95 && under >= 0.8,
                "{name}, seed {seed}: {under} under load, {after} after"
            );
        }
    }
}

#[test]
fn three_of_ten_gateways_do_what_all_did_once_the_others_are_noticed_gone() {
    for seed in seeds(1) {
        let bed = SimulationConfig { sites: 1, gateways: 10, streams: vec![stream(0, 200.0)], ..bed(2.0) };
        let kills = [0, 1, 2, 3, 4, 5, 6].map(|of| (BEGINS + 4, Action::Kill(of)));
        let seconds = ran(&bed, seed, BEGINS + 16, kills.to_vec());
        let (before, after) = (&seconds[BEGINS + 2..BEGINS + 4], &seconds[BEGINS + 8..]);
        let (before, after) = (goodput(&bed, before), goodput(&bed, after));
        assert!(before >= 0.85 && after >= 0.95, "{before}, then {after}, seed {seed}");
    }
}

/// Two tenants within their quotas beside one at ten times its own.
fn crowded(site: Option<u8>) -> SimulationConfig {
    let third = 400.0 / 3.0;
    let within = |tenant| ArrivalStream { ignores_load: true, ..stream(tenant, third * 0.8) };
    let hog = ArrivalStream { site, ..stream(2, third) };
    SimulationConfig {
        quotas: vec![third; 3],
        over_share_value: 0.1,
        streams: vec![within(0), within(1), hog],
        ..bed(10.0)
    }
}

#[test]
fn tenants_within_their_quotas_are_served_beside_one_at_ten_times_its_own() {
    for site in [None, Some(0)] {
        for seed in seeds(1) {
            let seconds = &ran(&crowded(site), seed, BEGINS + 12, Vec::new())[BEGINS + 2..];
            for tenant in [0, 1] {
                let first = sum(seconds, |s| of(&s.first_attempts_by_tenant, tenant));
                let share = sum(seconds, |s| of(&s.served_by_tenant, tenant)) / first;
                assert!(share >= 0.95, "{share} of tenant {tenant}, at {site:?}, seed {seed}");
            }
        }
    }
}

/// What each tenant is to have, by small steps to the one that has least.
fn max_min(wanted: &[f64], mut room: f64) -> Vec<f64> {
    let mut given = vec![0.0; wanted.len()];
    while room > 0.0 {
        let open = |at: &usize| given[*at] + 0.1 <= wanted[*at];
        let Some(least) = (0..wanted.len()).filter(open).min_by(|a, b| given[*a].total_cmp(&given[*b]))
        else {
            break;
        };
        given[least] += 0.1;
        room -= 0.1;
    }
    given
}

#[test]
fn shares_are_within_a_tenth_of_max_min_over_any_five_seconds() {
    for seed in seeds(1) {
        let rates = [60.0, 150.0, 400.0, 1_200.0];
        let streams = rates.iter().enumerate().map(|(tenant, rate)| stream(tenant, *rate)).collect();
        let bed = SimulationConfig { quotas: vec![2_000.0; 4], patience: 0, streams, ..bed(1.0) };
        let seconds = &ran(&bed, seed, BEGINS + 16, Vec::new())[BEGINS + 3..];
        let right = max_min(&rates, bed.capacity());
        for (at, five) in seconds.windows(5).enumerate() {
            for (tenant, right) in right.iter().enumerate() {
                let share = sum(five, |s| of(&s.served_by_tenant, tenant)) / 5.0;
                // What comes scatters by itself: three deviations of the count.
                let scatter = 3.0 * (right * 5.0).sqrt() / 5.0;
                let off = (share - right).abs();
                assert!(
                    off <= 0.1 * right + scatter,
                    "{share} for {right}: tenant {tenant}, {at}, seed {seed}"
                );
            }
        }
    }
}

/// The most by which retries taken go past the budget in a second: 1 is the budget. The budget of a second is the
/// share of the first tries in the fullest of the five seconds before, which peers may still know of.
fn over_budget(seconds: &[SecondStats]) -> f64 {
    let of = |at: usize| {
        let first =
            seconds[at.saturating_sub(5)..=at].iter().map(|s| s.first_attempts).max().unwrap_or_default();
        f64::from(seconds[at].budgeted_retries) / (0.2 * f64::from(first))
    };
    (BEGINS..seconds.len()).map(of).fold(0.0, f64::max)
}

/// Clients that come again whatever they are told, and room enough that the budget holds them and not the workers.
fn storm() -> SimulationConfig {
    SimulationConfig {
        honour_share: 0.0,
        patience: 10 * S,
        clients_mark_retries: true,
        roaming_share: 0.5,
        ..bed(1.3)
    }
}

#[test]
fn retries_stay_within_the_budget_of_the_fleet_also_while_views_differ() {
    for seed in seeds(2) {
        let calm = over_budget(&ran(&storm(), seed, BEGINS + 12, Vec::new()));
        assert!(calm <= 1.15, "{calm} of the budget, seed {seed}");
        let acts = vec![
            (BEGINS + 4, Action::Partition(vec![0, 2])),
            (BEGINS + 8, Action::Kill(1)),
            (BEGINS + 9, Action::Heal),
        ];
        let split = over_budget(&ran(&storm(), seed, BEGINS + 16, acts));
        assert!(split <= 1.4, "{split} of the budget while views differ, seed {seed}");
    }
}

#[test]
fn a_budget_that_is_not_divided_is_found() {
    for seed in seeds(2) {
        let acts = vec![(0, Action::InjectFault(ControllerFault::UndividedRetryBudget))];
        let over = over_budget(&ran(&storm(), seed, BEGINS + 12, acts));
        assert!(over > 1.4, "{over} of the budget, seed {seed}");
    }
}

#[test]
fn a_liar_takes_no_share_below_its_bound_and_goodput_stays() {
    for seed in seeds(1) {
        for (capacity, came) in [(400_000.0, 400_000.0), (400_000.0, 0.0), (0.5, 400_000.0), (0.5, 0.0)] {
            let bed = bed(3.0);
            let acts = vec![(BEGINS + 2, Action::FalseReport(0, capacity, came))];
            let seconds = &ran(&bed, seed, BEGINS + 14, acts)[BEGINS + 4..];
            let good = goodput(&bed, seconds);
            assert!(good >= 0.85, "{good} beside {capacity}, {came}, seed {seed}");
            // A quarter of an even part, which is 100 a second.
            for honest in 1..4 {
                let taken = sum(seconds, |s| s.admitted_by_gateway.get(&honest).copied().unwrap_or_default());
                let a_second = taken / seconds.len() as f64;
                assert!(a_second >= 25.0, "{a_second} at {honest} beside {capacity}, {came}, seed {seed}");
            }
        }
    }
}

/// Gateway 0 has its site to itself, and makes its last table before the three others come back.
fn stalled(planted: bool, seed: u64) -> (f64, f64) {
    let bed = SimulationConfig { sites: 1, gateways: 4, streams: vec![stream(0, 200.0)], ..bed(4.0) };
    let back = BEGINS + 4;
    let mut acts: Vec<_> = (1..4).flat_map(|of| [(0, Action::Kill(of)), (back, Action::Start(of))]).collect();
    acts.push((back, Action::Stall(0, 20 * S)));
    if planted {
        acts.push((0, Action::InjectLimiterFault(LimiterFault::IgnoresTableExpiry)));
    }
    let seconds = &ran(&bed, seed, back + 14, acts)[back + 4..];
    let taken = |of: MemberId| sum(seconds, |s| s.admitted_by_gateway.get(&of).copied().unwrap_or_default());
    (goodput(&bed, seconds), taken(0) / seconds.len() as f64)
}

#[test]
fn a_table_past_its_time_is_not_gone_by() {
    for seed in seeds(1) {
        let (good, taken) = stalled(false, seed);
        assert!(good >= 0.9 && taken <= 60.0, "{good}, {taken} taken by an even part of 50, seed {seed}");
        let (_, taken) = stalled(true, seed);
        assert!(taken > 90.0, "the fault has to be seen: {taken} taken, seed {seed}");
    }
}

#[test]
fn worth_goes_first_and_a_rolling_restart_harms_nobody() {
    for seed in seeds(1) {
        let class = |worth| ClassSettings { value: worth, aim: 500_000, deadline: 2 * S };
        let high = ArrivalStream { class: 1, ignores_load: true, ..stream(0, 240.0) };
        let streams = vec![stream(0, 400.0), high];
        let bed = SimulationConfig { classes: vec![class(1.0), class(5.0)], streams, ..bed(4.0) };
        let restart = |of: MemberId| {
            let at = BEGINS + 3 + usize::from(of) * 4;
            [(at, Action::Kill(of)), (at + 2, Action::Start(of))]
        };
        let seconds = ran(&bed, seed, BEGINS + 20, (0..4).flat_map(restart).collect());
        let worth: f64 = seconds[BEGINS + 2..].iter().map(|s| s.value).sum::<f64>() / 18.0;
        let best = 240.0 * 5.0 + 160.0;
        assert!(worth >= 0.9 * best, "{worth} of {best}, seed {seed}");
    }
}

#[test]
fn one_seed_has_one_history() {
    let told = |seconds: Vec<SecondStats>| seconds.iter().map(|s| (s.served, s.attempts)).collect::<Vec<_>>();
    let run = || told(ran(&crowded(None), 9, BEGINS + 3, vec![(BEGINS + 1, Action::Kill(1))]));
    assert_eq!(run(), run());
}
