//! What a site can do, learnt: what it answers while calls wait; it rises again by itself while none do.

use basaltward_membership::Micros;

/// The wait's pull on what is taken at once: by so much at no wait, or at twice the wait wanted.
const ADMISSION_GAIN: f64 = 0.2;
/// Its pull on what is believed, a second: slow against the time that a wait takes to follow what is taken, or the two
/// would swing.
const ESTIMATE_GAIN: f64 = 0.15;
/// As long as there is no wait at all, and calls are turned away: the workers can do more than is believed.
const NO_WAIT_GAIN: f64 = 0.8;
/// No wait is taken for none after so long.
const NO_WAIT_CONFIRMATION: Micros = 500_000;
/// What peers believe moves our belief by at most this, a second: less than a wait does that is two thirds too long,
/// so that no word leads the wait further astray.
const MAX_PEER_CHANGE: f64 = 0.1;

/// What was seen over one step.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    /// Its span.
    pub span: Micros,
    /// What calls waited here; none where none was begun.
    pub wait: Option<Micros>,
    /// Calls a second that the site answers, all its gateways together.
    pub answered: f64,
    /// Something was turned away.
    pub shed: bool,
    /// Peers at our site believe this, the median of them.
    pub peers: Option<f64>,
}

/// What is believed of our site.
#[derive(Clone, Copy, Debug, Default)]
pub struct CapacityEstimator {
    believed: Option<f64>,
    wait: f64,
    target_wait: f64,
    /// For how long there has been no wait to speak of.
    free: Micros,
}

impl CapacityEstimator {
    /// Nothing yet; calls are to be held at this wait.
    pub fn new(wanted: Micros) -> Self {
        Self { believed: None, wait: 0.0, target_wait: wanted as f64, free: 0 }
    }

    /// Calls a second that the site can do.
    pub fn estimate(&self) -> Option<f64> {
        self.believed
    }

    /// What calls wait here.
    pub fn wait(&self) -> Micros {
        self.wait as Micros
    }

    /// How far the wait is from the one wanted: 1 for none, below 0 past it.
    fn wait_error(&self) -> f64 {
        (1.0 - self.wait / self.target_wait).clamp(-2.0, 1.0)
    }

    /// Calls a second to be taken now: the wait is led back at once, whatever is believed.
    pub fn admission_rate(&self) -> Option<f64> {
        self.believed.map(|believed| believed * (1.0 + ADMISSION_GAIN * self.wait_error()))
    }

    /// Learns from one step.
    pub fn update(&mut self, seen: &Seen) {
        let seconds = seen.span as f64 / 1e6;
        let weight = 1.0 - (-seconds / 0.1).exp();
        self.wait += weight * (seen.wait.unwrap_or_default() as f64 - self.wait);
        let off = self.wait_error();
        let Some(believed) = &mut self.believed else {
            // What was answered says what a site can do only once calls wait.
            let known = self.wait >= self.target_wait && seen.answered > 0.0;
            self.believed = known.then_some(seen.answered).or(seen.peers.map(|told| told.max(seen.answered)));
            return;
        };
        self.free = if off > 0.75 { self.free + seen.span } else { 0 };
        if off < 0.5 || seen.shed {
            *believed *= 1.0
                + if self.free > NO_WAIT_CONFIRMATION { NO_WAIT_GAIN } else { ESTIMATE_GAIN } * off * seconds;
        }
        if off <= -1.0 {
            let down = seen.answered.clamp(*believed * 0.5, *believed);
            *believed += (down - *believed) * (seconds * 2.0).min(1.0);
        }
        *believed = believed.max(seen.answered * if off > 0.0 { 1.0 } else { 0.9 });
        if let Some(peers) = seen.peers {
            let most = MAX_PEER_CHANGE * seconds;
            *believed *= 1.0 + ((peers / *believed - 1.0) * seconds).clamp(-most, most);
        }
        *believed = believed.max(0.5);
    }
}
