//! Generates the load of a scenario from its seed.

use crate::script::{Action, Scenario};
use basaltward_fakes::{PlannedEvent, RetryPolicy};
use basaltward_net::Micros;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use rand_distr::weighted::WeightedIndex;
use rand_distr::{Distribution, Exp, Gamma, Zipf};

/// Generates all events of a scenario. Arrivals follow a Poisson process, the popularity of functions Zipf's law, and
/// the work of calls a gamma distribution of shape 4.
pub fn generate(scenario: &Scenario) -> Vec<PlannedEvent> {
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let mut plans = Vec::new();
    let config = &scenario.config;
    let popularity = Zipf::new(config.functions.len() as f64, scenario.popularity_exponent).ok();
    let work = Gamma::new(4.0, scenario.mean_work as f64 / 4.0).ok();
    let quotas = &config.controller.tenant_quotas;
    let tenants = WeightedIndex::new(quotas.iter().copied()).ok();
    let mut at = 0.0;
    loop {
        let rate = scenario.rate * surge_factor(scenario, at as Micros) / 1e6;
        at += Exp::new(rate).map_or(1e6, |gap| gap.sample(&mut rng));
        if at as Micros >= scenario.duration {
            return plans;
        }
        let rank = popularity.map_or(1.0, |zipf| zipf.sample(&mut rng));
        let function = &config.functions[(rank as usize).clamp(1, config.functions.len()) - 1];
        let class = &config.controller.classes[function.class];
        let share = rng.random_range(scenario.min_timeout_share.min(1.0)..=1.0);
        let tenant = tenants.as_ref().map(|t| t.sample(&mut rng)).and_then(|t| config.tenants.get(t));
        plans.push(PlannedEvent {
            send_at: at as Micros,
            gateway: rng.random_range(0..scenario.gateways as usize),
            function: function.name.to_string(),
            class: config.classes[function.class].clone(),
            tenant: tenant.cloned().unwrap_or_default(),
            id: plans.len().to_string(),
            timeout: ((class.deadline as f64 * share) as Micros).max(1_000),
            work: work.map(|w| (w.sample(&mut rng) as Micros).max(100)),
            payload: scenario.payload,
            retry_policy: retry_policy(
                scenario,
                at as Micros,
                class.repeat == basaltward::Repeat::Safe,
                &mut rng,
            ),
        });
    }
}

/// Factor on the rate at this time: the product of all surges under way.
fn surge_factor(scenario: &Scenario, at: Micros) -> f64 {
    let factors = scenario.steps.iter().filter_map(|step| match step.action {
        Action::Surge(times, span) if (step.at..step.at + span).contains(&at) => Some(times),
        _ => None,
    });
    factors.product()
}

/// The retry policy of an event sent at this time. Clients of safe events also retry after a failure.
fn retry_policy(scenario: &Scenario, at: Micros, safe: bool, rng: &mut impl Rng) -> RetryPolicy {
    let early_leavers = scenario.steps.iter().find_map(|step| match step.action {
        Action::EarlyLeavers { share, disconnect_after, max_repeats, span }
            if (step.at..step.at + span).contains(&at) =>
        {
            Some((share, disconnect_after, max_repeats))
        }
        _ => None,
    });
    match early_leavers.filter(|(share, ..)| rng.random_bool(*share)) {
        Some((_, abandon_after, max_retries)) => RetryPolicy {
            max_retries,
            delay: 0,
            abandon_after: Some(abandon_after),
            ..RetryPolicy::default()
        },
        None => RetryPolicy { retry_failures: safe, ..scenario.retry_policy },
    }
}
