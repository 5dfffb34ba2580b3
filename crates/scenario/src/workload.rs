//! The events of a day, drawn from its seed.

use crate::script::{Action, Scenario};
use basaltward_fakes::{PlannedEvent, RetryPolicy};
use basaltward_net::Micros;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use rand_distr::weighted::WeightedIndex;
use rand_distr::{Distribution, Exp, Gamma, Zipf};

/// Every event of the day: arrivals by a Poisson process, popularity by Zipf's law, work by a gamma
/// distribution of shape 4 around its mean.
pub fn generate(script: &Scenario) -> Vec<PlannedEvent> {
    let mut rng = StdRng::seed_from_u64(script.seed);
    let mut plans = Vec::new();
    let config = &script.config;
    let popularity = Zipf::new(config.functions.len() as f64, script.popularity_exponent).ok();
    let work = Gamma::new(4.0, script.mean_work as f64 / 4.0).ok();
    let quotas = &config.controller.tenant_quotas;
    let tenants = WeightedIndex::new(quotas.iter().copied()).ok();
    let mut at = 0.0;
    loop {
        let rate = script.rate * surge(script, at as Micros) / 1e6;
        at += Exp::new(rate).map_or(1e6, |gap| gap.sample(&mut rng));
        if at as Micros >= script.duration {
            return plans;
        }
        let rank = popularity.map_or(1.0, |zipf| zipf.sample(&mut rng));
        let function = &config.functions[(rank as usize).clamp(1, config.functions.len()) - 1];
        let class = &config.controller.classes[function.class];
        let share = rng.random_range(script.min_timeout_share.min(1.0)..=1.0);
        let tenant = tenants.as_ref().map(|t| t.sample(&mut rng)).and_then(|t| config.tenants.get(t));
        plans.push(PlannedEvent {
            send_at: at as Micros,
            gateway: rng.random_range(0..script.gateways as usize),
            function: function.name.to_string(),
            class: config.classes[function.class].clone(),
            tenant: tenant.cloned().unwrap_or_default(),
            id: plans.len().to_string(),
            timeout: ((class.deadline as f64 * share) as Micros).max(1_000),
            work: work.map(|w| (w.sample(&mut rng) as Micros).max(100)),
            payload: script.payload,
            retry_policy: retries(script, at as Micros, class.repeat == basaltward::Repeat::Safe, &mut rng),
        });
    }
}

/// How many times the usual rate, with all surges of this moment.
fn surge(script: &Scenario, at: Micros) -> f64 {
    let within = script.steps.iter().filter_map(|step| match step.action {
        Action::Surge(times, span) if (step.at..step.at + span).contains(&at) => Some(times),
        _ => None,
    });
    within.product()
}

fn retries(script: &Scenario, at: Micros, safe: bool, rng: &mut impl Rng) -> RetryPolicy {
    let spell = script.steps.iter().find_map(|step| match step.action {
        Action::EarlyLeavers { share, disconnect_after: leave, max_repeats: repeats, span }
            if (step.at..step.at + span).contains(&at) =>
        {
            Some((share, leave, repeats))
        }
        _ => None,
    });
    match spell.filter(|(share, ..)| rng.random_bool(*share)) {
        Some((_, leave, repeats)) => RetryPolicy {
            max_retries: repeats,
            delay: 0,
            abandon_after: Some(leave),
            ..RetryPolicy::default()
        },
        None => RetryPolicy { retry_failures: safe, ..script.retry_policy },
    }
}
