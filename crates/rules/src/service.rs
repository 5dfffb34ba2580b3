//! The service figure: worth answered in time over worth asked, a client's further tries with its first.

use crate::check::RuleSettings;
use crate::record::{FinalAnswer, Micros, Observation, Record};
use std::collections::BTreeMap;

/// Span of the windows of which the worst counts.
const WINDOW_US: Micros = 10_000_000;

/// Service, each from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Service {
    /// 60% the whole run, 30% the worst ten seconds, 10% the worst-served tenant.
    pub score: f64,
    /// Over the whole run.
    pub whole_run: f64,
    /// Over the worst ten seconds.
    pub worst_window: f64,
    /// Of the worst-served tenant.
    pub worst_tenant: f64,
}

struct Asked<'a> {
    first: Micros,
    tenant: &'a str,
    class: &'a str,
    served: Option<Micros>,
}

/// Service from the clients' records.
pub fn service(records: &[Record], settings: &RuleSettings) -> Service {
    let mut events: BTreeMap<&str, Asked> = BTreeMap::new();
    let mut tries: BTreeMap<u64, &str> = BTreeMap::new();
    for record in records {
        match &record.observation {
            Observation::RequestSent { request_id: tried, event, class, tenant, .. } => {
                tries.insert(*tried, event);
                let asked = Asked { first: record.time, tenant, class, served: None };
                events.entry(event).or_insert(asked);
            }
            Observation::Answered { request_id: tried, answer: FinalAnswer::Served, .. } => {
                let asked = tries.get(tried).and_then(|event| events.get_mut(event));
                if let Some(asked) = asked {
                    asked.served.get_or_insert(record.time);
                }
            }
            _ => {}
        }
    }
    let (mut all, mut windows, mut tenants) = ((0.0, 0.0), BTreeMap::new(), BTreeMap::new());
    let start = events.values().map(|a| a.first).min().unwrap_or(0);
    for asked in events.values() {
        let Some(class) = settings.classes.get(asked.class) else { continue };
        let got = match asked.served {
            Some(t) if t <= asked.first + class.aim => class.worth,
            Some(_) => class.worth * class.late_worth,
            None => 0.0,
        };
        // Windows overlap by half: a bad spell is not split between two.
        let half = (asked.first - start) / (WINDOW_US / 2);
        let add = |sum: &mut (f64, f64)| *sum = (sum.0 + got, sum.1 + class.worth);
        add(&mut all);
        add(windows.entry(half).or_default());
        add(windows.entry(half + 1).or_default());
        add(tenants.entry(asked.tenant).or_default());
    }
    let share = |sum: &(f64, f64)| if sum.1 > 0.0 { sum.0 / sum.1 } else { 1.0 };
    let worst = |shares: &mut dyn Iterator<Item = f64>| shares.fold(1.0, f64::min);
    let (whole, window, tenant) =
        (share(&all), worst(&mut windows.values().map(share)), worst(&mut tenants.values().map(share)));
    Service {
        score: 0.6 * whole + 0.3 * window + 0.1 * tenant,
        whole_run: whole,
        worst_window: window,
        worst_tenant: tenant,
    }
}
