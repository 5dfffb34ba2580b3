//! What a run came to, in a few lines.

use crate::Failed;
use basaltward_fakes::ClientStats;
use basaltward_rules::{Breach, Record, Service, late_answers};

/// Breaches printed of each rule.
const MOST: usize = 5;

/// Prints counts and times.
pub fn tally(tally: &ClientStats) {
    let mut times = tally.latencies.clone();
    times.sort_unstable();
    let at = |q: f64| {
        let index = ((times.len() as f64 * q) as usize).min(times.len().saturating_sub(1));
        times.get(index).map_or("-".into(), |t| format!("{:.1}", *t as f64 / 1e3))
    };
    println!(
        "{} events: {} served, {} refused, {} failed, {} unanswered; {} tries",
        tally.events, tally.served, tally.refused, tally.failed, tally.unanswered, tally.attempts
    );
    println!("served after: median {} ms, 99% {} ms, longest {} ms", at(0.5), at(0.99), at(1.0));
}

/// Prints the verdict; an error where a rule was broken.
pub fn verdict(records: &[Record], breaches: &[Breach], service: &Service) -> Result<(), Failed> {
    println!(
        "service {:.3}: whole run {:.3}, worst ten seconds {:.3}, worst tenant {:.3}",
        service.score, service.whole_run, service.worst_window, service.worst_tenant
    );
    let late = late_answers(records);
    if late.delayed_at_client > 0 {
        println!(
            "{} answers were written in time and read after it: the clients were late",
            late.delayed_at_client
        );
    }
    if late.gateway_stalled > 0 {
        println!(
            "{} answers were late by less than the machine had stopped their gateway",
            late.gateway_stalled
        );
    }
    if breaches.is_empty() {
        println!("the five rules: kept");
        return Ok(());
    }
    for rule in 1..=5 {
        let of_rule = || breaches.iter().filter(|breach| breach.rule == rule);
        of_rule().take(MOST).for_each(|breach| println!("{breach}"));
        if of_rule().count() > 0 {
            println!("rule {rule}: {} breaches", of_rule().count());
        }
    }
    Err(Failed::Run(format!("the five rules: {} breaches", breaches.len())))
}
