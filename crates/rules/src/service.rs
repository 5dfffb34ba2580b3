//! The service score: value of the events served in time, over the value of all events sent. A client's retries
//! count together with its first request.

use crate::check::RuleSettings;
use crate::record::{FinalAnswer, Micros, Observation, Record};
use std::collections::BTreeMap;

/// Length of the windows, of which the worst enters the score.
const WINDOW_US: Micros = 10_000_000;

/// The service score and its parts, each from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Service {
    /// Weighted sum: 60% the whole run, 30% the worst ten seconds, 10% the worst-served tenant.
    pub score: f64,
    /// Share of the value served over the whole run.
    pub whole_run: f64,
    /// The same over the worst ten seconds.
    pub worst_window: f64,
    /// The same for the worst-served tenant.
    pub worst_tenant: f64,
}

struct EventService<'a> {
    first_sent: Micros,
    tenant: &'a str,
    class: &'a str,
    served_at: Option<Micros>,
}

/// Computes the service score from the clients' records, which must be ordered by time.
pub fn service(records: &[Record], settings: &RuleSettings) -> Service {
    let mut events: BTreeMap<&str, EventService> = BTreeMap::new();
    let mut requests: BTreeMap<u64, &str> = BTreeMap::new();
    for record in records {
        match &record.observation {
            Observation::RequestSent { request_id, event, class, tenant, .. } => {
                requests.insert(*request_id, event);
                let sent = EventService { first_sent: record.time, tenant, class, served_at: None };
                events.entry(event).or_insert(sent);
            }
            Observation::Answered { request_id, answer: FinalAnswer::Served, .. } => {
                let event = requests.get(request_id).and_then(|event| events.get_mut(event));
                if let Some(event) = event {
                    event.served_at.get_or_insert(record.time);
                }
            }
            _ => {}
        }
    }
    let (mut all, mut windows, mut tenants) = ((0.0, 0.0), BTreeMap::new(), BTreeMap::new());
    let start = events.values().map(|event| event.first_sent).min().unwrap_or(0);
    for event in events.values() {
        let Some(class) = settings.classes.get(event.class) else { continue };
        let earned = match event.served_at {
            Some(t) if t <= event.first_sent + class.aim => class.value,
            Some(_) => class.value * class.late_share,
            None => 0.0,
        };
        // Windows overlap by half, so that one of them covers most of a short outage.
        let half_window = (event.first_sent - start) / (WINDOW_US / 2);
        let add = |sum: &mut (f64, f64)| *sum = (sum.0 + earned, sum.1 + class.value);
        add(&mut all);
        add(windows.entry(half_window).or_default());
        add(windows.entry(half_window + 1).or_default());
        add(tenants.entry(event.tenant).or_default());
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
