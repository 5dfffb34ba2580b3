//! Summaries of a run, printed to standard output.

use crate::CommandError;
use basaltward_fakes::ClientStats;
use basaltward_rules::{Breach, Record, Service, late_answers};

/// The largest number of breaches printed per rule.
const PRINTED_BREACHES: usize = 5;

/// Prints the counts of events by outcome and the latencies of those served.
pub fn tally(stats: &ClientStats) {
    let mut latencies = stats.latencies.clone();
    latencies.sort_unstable();
    let quantile = |q: f64| {
        let index = ((latencies.len() as f64 * q) as usize).min(latencies.len().saturating_sub(1));
        latencies.get(index).map_or("-".into(), |latency_us| format!("{:.1}", *latency_us as f64 / 1e3))
    };
    println!(
        "{} events: {} served, {} refused, {} failed, {} unanswered; {} tries",
        stats.events, stats.served, stats.refused, stats.failed, stats.unanswered, stats.attempts
    );
    println!(
        "served after: median {} ms, 99% {} ms, longest {} ms",
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
}

/// Prints the service figures and the breaches.
///
/// # Errors
/// If a rule was broken.
pub fn verdict(records: &[Record], breaches: &[Breach], service: &Service) -> Result<(), CommandError> {
    println!(
        "service {:.3}: whole run {:.3}, worst ten seconds {:.3}, worst tenant {:.3}",
        service.score, service.whole_run, service.worst_window, service.worst_tenant
    );
    let late = late_answers(records);
    if late.delayed_at_client > 0 {
        println!(
            "{} responses were written before their deadline and read after it: the clients were late",
            late.delayed_at_client
        );
    }
    if late.gateway_stalled > 0 {
        println!(
            "{} responses were late by less time than the machine had paused their gateway",
            late.gateway_stalled
        );
    }
    if breaches.is_empty() {
        println!("the five rules: kept");
        return Ok(());
    }
    for rule in 1..=5 {
        let of_rule = || breaches.iter().filter(|breach| breach.rule == rule);
        of_rule().take(PRINTED_BREACHES).for_each(|breach| println!("{breach}"));
        if of_rule().count() > 0 {
            println!("rule {rule}: {} breaches", of_rule().count());
        }
    }
    Err(CommandError::Run(format!("the five rules: {} breaches", breaches.len())))
}
