//! Logs an outage of discovery: when it began and why, when the list expired, which workers report that they drain,
//! and a summary at its end.

use basaltward::{Code, Micros, WorkerId};
use basaltward_bulletin::Freshness;
use basaltward_engine::OrderId;
use std::collections::{HashMap, HashSet};
use tracing::{debug, warn};

/// Maximum number of outstanding probes: each worker has one, and one more where the first is presumed lost.
const MAX_OUTSTANDING: usize = 8_192;

/// Probes sent to workers since the outage began.
#[derive(Default)]
struct ProbeCounts {
    sent: u64,
    up: u64,
    down: u64,
    unanswered: u64,
}

/// Logs an outage of discovery in a few lines, however long it lasts.
pub struct DiscoveryLog {
    name: String,
    /// When the outage began, if there is one.
    interrupted_since: Option<Micros>,
    has_expired: bool,
    probes: ProbeCounts,
    outstanding: HashMap<OrderId, WorkerId>,
    /// Workers that reported that they drain.
    draining: HashSet<WorkerId>,
}

impl DiscoveryLog {
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            interrupted_since: None,
            has_expired: false,
            probes: ProbeCounts::default(),
            outstanding: HashMap::new(),
            draining: HashSet::new(),
        }
    }

    /// Updates the freshness of the list; `last` is the number of the last event held.
    pub fn update(&mut self, now: Micros, freshness: Freshness, last: u64) {
        match freshness {
            // After a start, the bulletin has a second to respond. No outage is logged before it has confirmed the
            // list once.
            Freshness::Unconfirmed => {}
            Freshness::Current { .. } => self.recovered(now, last),
            Freshness::Interrupted { delivered_by, why } => {
                if self.interrupted_since.is_none() {
                    self.interrupted_since = Some(now);
                    let told_in_ms = delivered_by.saturating_sub(now) / 1_000;
                    warn!(name = self.name, ?why, last, told_in_ms, "discovery is out of reach");
                }
                if now >= delivered_by && !std::mem::replace(&mut self.has_expired, true) {
                    warn!(name = self.name, last, "the list has expired, workers are probed before new work");
                }
            }
        }
    }

    fn recovered(&mut self, now: Micros, last: u64) {
        self.has_expired = false;
        let Some(since) = self.interrupted_since.take() else { return };
        let ProbeCounts { sent, up, down, unanswered } = std::mem::take(&mut self.probes);
        let after_ms = now.saturating_sub(since) / 1_000;
        let drained = self.draining.len();
        self.draining.clear();
        warn!(
            name = self.name,
            last, after_ms, sent, up, down, unanswered, drained, "discovery is followed again"
        );
    }

    /// Counts a probe that was sent to a worker.
    pub fn probe_sent(&mut self, probe: OrderId, worker: &WorkerId) {
        self.probes.sent += 1;
        if self.outstanding.len() < MAX_OUTSTANDING {
            self.outstanding.insert(probe, worker.clone());
        }
    }

    /// Counts and logs a probe that was answered or has failed.
    pub fn probe_ended(&mut self, probe: OrderId, code: Code) {
        let Some(worker) = self.outstanding.remove(&probe) else { return };
        debug!(target: "basaltward::question", name = self.name, %worker, ?code, "probe ended");
        match code {
            Code::Ok => {
                self.probes.up += 1;
                if self.draining.remove(&worker) {
                    warn!(name = self.name, %worker, "worker reports that it takes work again");
                }
            }
            Code::Error => {
                self.probes.down += 1;
                if self.draining.insert(worker.clone()) {
                    warn!(name = self.name, %worker, "worker reports that it drains");
                }
            }
            _ => self.probes.unanswered += 1,
        }
    }
}
