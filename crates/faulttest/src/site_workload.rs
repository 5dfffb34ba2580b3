//! Plans the calls of each site's clients, drawn by the seed before the run.

use crate::site_spec::{CLASSES, LoadSpec, SitesSpec};
use basaltward_fakes::{PlannedEvent, RetryPolicy};
use basaltward_net::Micros;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Delay before the next attempt of a client that ignores the retry time in a refusal.
const RETRY_DELAY_US: Micros = 50_000;

/// All calls of a run; `gateway_sites` holds the site of each gateway.
pub(crate) fn plans(spec: &SitesSpec, gateway_sites: &[usize]) -> Vec<PlannedEvent> {
    let mut all = Vec::new();
    for (number, load) in spec.loads.iter().enumerate() {
        let mut rng = StdRng::seed_from_u64(spec.seed ^ (number as u64) << 48);
        let gateways: Vec<usize> =
            (0..gateway_sites.len()).filter(|i| gateway_sites[*i] == load.site).collect();
        let mut at = load.span.start as f64;
        for event in 0_u64.. {
            // Poisson arrivals at the configured rate.
            at += -(1.0 - rng.random::<f64>()).ln() * 1e6 / load.calls_per_s.max(1e-3);
            if at >= load.span.end as f64 || gateways.is_empty() {
                break;
            }
            let class = load.class.unwrap_or(rng.random_range(0..CLASSES.len()));
            let gateway = gateways[rng.random_range(0..gateways.len())];
            let function = rng.random_range(load.functions.clone());
            let id = format!("{number}-{event}");
            let first = plan(load, at as Micros, (gateway, class, function), id);
            if CLASSES[class].1 != "safe" && rng.random::<f64>() < load.duplicate_share {
                // Sends the same event to another gateway of any site while the first attempt is in flight.
                let other = (gateway + rng.random_range(1..gateway_sites.len().max(2))) % gateway_sites.len();
                let at = first.send_at + rng.random_range(0..20_000);
                all.push(PlannedEvent { send_at: at, gateway: other, ..first.clone() });
            }
            all.push(first);
        }
    }
    all
}

fn plan(
    load: &LoadSpec,
    at: Micros,
    (gateway, class, function): (usize, usize, usize),
    id: String,
) -> PlannedEvent {
    let (name, repeat) = CLASSES[class];
    let retries = RetryPolicy {
        max_retries: load.retries,
        delay: RETRY_DELAY_US,
        abandon_after: None,
        retry_failures: load.retry_uncertain || repeat == "safe",
        honor_retry_after: load.honour_retry_after,
    };
    PlannedEvent {
        send_at: at,
        gateway,
        function: format!("{name}-{function}"),
        class: name.into(),
        tenant: load.tenant.clone(),
        id,
        timeout: load.patience,
        work: None,
        payload: 200,
        retry_policy: retries,
    }
}
