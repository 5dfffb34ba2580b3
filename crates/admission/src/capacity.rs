//! What a site can do, learnt: what it answers while calls wait; it rises again by itself while none do.

use basaltward_membership::Micros;

/// The wait's pull on what is taken at once: by so much at no wait, or at twice the wait wanted.
const AT_ONCE: f64 = 0.2;
/// Its pull on what is believed, a second: slow against the time that a wait takes to follow what is taken, or the two
/// would swing.
const SLOWLY: f64 = 0.15;
/// As long as there is no wait at all, and calls are turned away: the workers can do more than is believed.
const FREELY: f64 = 0.8;
/// No wait is taken for none after so long.
const SURE: Micros = 500_000;
/// What peers believe moves our belief by at most this, a second: less than a wait does that is two thirds too long,
/// so that no word leads the wait further astray.
const PEERS: f64 = 0.1;

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
pub struct Capacity {
    believed: Option<f64>,
    wait: f64,
    wanted: f64,
    /// For how long there has been no wait to speak of.
    free: Micros,
}

impl Capacity {
    /// Nothing yet; calls are to be held at this wait.
    pub fn new(wanted: Micros) -> Self {
        Self { believed: None, wait: 0.0, wanted: wanted as f64, free: 0 }
    }

    /// Calls a second that the site can do.
    pub fn believed(&self) -> Option<f64> {
        self.believed
    }

    /// What calls wait here.
    pub fn wait(&self) -> Micros {
        self.wait as Micros
    }

    /// How far the wait is from the one wanted: 1 for none, below 0 past it.
    fn off(&self) -> f64 {
        (1.0 - self.wait / self.wanted).clamp(-2.0, 1.0)
    }

    /// Calls a second to be taken now: the wait is led back at once, whatever is believed.
    pub fn admitted(&self) -> Option<f64> {
        self.believed.map(|believed| believed * (1.0 + AT_ONCE * self.off()))
    }

    /// Learns from one step.
    pub fn learn(&mut self, seen: &Seen) {
        let seconds = seen.span as f64 / 1e6;
        let weight = 1.0 - (-seconds / 0.1).exp();
        self.wait += weight * (seen.wait.unwrap_or_default() as f64 - self.wait);
        let off = self.off();
        let Some(believed) = &mut self.believed else {
            // What was answered says what a site can do only once calls wait.
            let known = self.wait >= self.wanted && seen.answered > 0.0;
            self.believed = known.then_some(seen.answered).or(seen.peers.map(|told| told.max(seen.answered)));
            return;
        };
        self.free = if off > 0.75 { self.free + seen.span } else { 0 };
        if off < 0.5 || seen.shed {
            *believed *= 1.0 + if self.free > SURE { FREELY } else { SLOWLY } * off * seconds;
        }
        if off <= -1.0 {
            let down = seen.answered.clamp(*believed * 0.5, *believed);
            *believed += (down - *believed) * (seconds * 2.0).min(1.0);
        }
        *believed = believed.max(seen.answered * if off > 0.0 { 1.0 } else { 0.9 });
        if let Some(peers) = seen.peers {
            let most = PEERS * seconds;
            *believed *= 1.0 + ((peers / *believed - 1.0) * seconds).clamp(-most, most);
        }
        *believed = believed.max(0.5);
    }
}
