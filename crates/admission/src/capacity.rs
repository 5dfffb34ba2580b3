//! Estimates the capacity of a site: from the answer rate while calls queue, with a slow increase while none do.

use basaltward_membership::Micros;

/// Proportional gain from the wait to the admitted rate: without a wait the rate is raised by this fraction of the
/// estimate, at twice the target wait it is lowered by as much.
const ADMISSION_GAIN: f64 = 0.2;
/// Gain from the wait to the estimate, per second. It must be slow compared with the time that the wait takes to follow
/// the admitted rate, or the two would oscillate.
const ESTIMATE_GAIN: f64 = 0.15;
/// Gain per second while there is no wait at all: the workers can do more than the estimate says.
const NO_WAIT_GAIN: f64 = 0.8;
/// Time without a wait after which `NO_WAIT_GAIN` applies.
const NO_WAIT_CONFIRMATION: Micros = 500_000;
/// Largest relative change of the estimate per second by the estimates of peers. A wait two thirds above its target
/// changes the estimate as fast, so that peers' reports cannot drive the wait further from its target than that.
const MAX_PEER_CHANGE: f64 = 0.1;

/// Measurements of one step.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// Length of the step.
    pub span: Micros,
    /// Mean wait of calls here; `None` if no call was in flight or answered.
    pub wait: Option<Micros>,
    /// Calls per second that all gateways of the site answer together.
    pub answered: f64,
    /// Calls were shed in this step.
    pub shed: bool,
    /// Median of the capacity estimates of the peers at this site.
    pub peer_estimate: Option<f64>,
}

/// Capacity estimate of the local site.
#[derive(Clone, Copy, Debug, Default)]
pub struct CapacityEstimator {
    estimate: Option<f64>,
    wait: f64,
    target_wait: f64,
    /// Time for which the wait has been close to zero.
    no_wait_for: Micros,
}

impl CapacityEstimator {
    /// An estimator without an estimate that steers the wait of calls towards `target_wait`.
    pub fn new(target_wait: Micros) -> Self {
        Self { estimate: None, wait: 0.0, target_wait: target_wait as f64, no_wait_for: 0 }
    }

    /// Estimated capacity of the site in calls per second; `None` until calls have queued or peers reported estimates.
    pub fn estimate(&self) -> Option<f64> {
        self.estimate
    }

    /// Smoothed wait of calls here.
    pub fn wait(&self) -> Micros {
        self.wait as Micros
    }

    /// Relative distance of the wait below its target: 1 without a wait, 0 at the target, down to -2 above it.
    fn wait_error(&self) -> f64 {
        (1.0 - self.wait / self.target_wait).clamp(-2.0, 1.0)
    }

    /// Calls per second that the site should admit now: the estimate, corrected at once by the current wait.
    pub fn admission_rate(&self) -> Option<f64> {
        self.estimate.map(|estimate| estimate * (1.0 + ADMISSION_GAIN * self.wait_error()))
    }

    /// Updates the estimate by one step.
    pub fn update(&mut self, observed: &Observation) {
        let seconds = observed.span as f64 / 1e6;
        let weight = 1.0 - (-seconds / 0.1).exp();
        self.wait += weight * (observed.wait.unwrap_or_default() as f64 - self.wait);
        let error = self.wait_error();
        let Some(estimate) = &mut self.estimate else {
            // The answer rate shows the capacity only once calls queue.
            let saturated = self.wait >= self.target_wait && observed.answered > 0.0;
            self.estimate = saturated
                .then_some(observed.answered)
                .or(observed.peer_estimate.map(|peers| peers.max(observed.answered)));
            return;
        };
        self.no_wait_for = if error > 0.75 { self.no_wait_for + observed.span } else { 0 };
        if error < 0.5 || observed.shed {
            let gain = if self.no_wait_for > NO_WAIT_CONFIRMATION { NO_WAIT_GAIN } else { ESTIMATE_GAIN };
            *estimate *= 1.0 + gain * error * seconds;
        }
        if error <= -1.0 {
            let lowered = observed.answered.clamp(*estimate * 0.5, *estimate);
            *estimate += (lowered - *estimate) * (seconds * 2.0).min(1.0);
        }
        *estimate = estimate.max(observed.answered * if error > 0.0 { 1.0 } else { 0.9 });
        if let Some(peers) = observed.peer_estimate {
            let max_change = MAX_PEER_CHANGE * seconds;
            *estimate *= 1.0 + ((peers / *estimate - 1.0) * seconds).clamp(-max_change, max_change);
        }
        *estimate = estimate.max(0.5);
    }
}
