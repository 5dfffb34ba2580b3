//! Margin between the time at which a call is answered at the latest and its client's deadline.

use basaltward::Micros;

/// Observed lateness decays to 1/e in this time: machines that suspend a process for some ten milliseconds do
/// so again within a minute, and keeping a margin too long costs little.
const LATENESS_DECAY_US: f64 = 30_000_000.0;
/// The part of an observed lateness beyond this is treated as a single spike, which decays faster.
const SPIKE_THRESHOLD_US: f64 = 50_000.0;
/// A spike decays to 1/e in this time. With the slow decay, a loop that was once suspended for a second would
/// for half a minute refuse all calls with less than a second of patience.
const SPIKE_DECAY_US: f64 = 500_000.0;

/// Bounds of the allowance for the path of an answer, see [`Margin::answer_allowance`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MarginSettings {
    /// Share of the client's patience to reserve, from 0 to 1.
    pub share: f64,
    /// Least allowance.
    pub min: Micros,
    /// Largest allowance, before the loop's own lateness is added.
    pub max: Micros,
}

impl Default for MarginSettings {
    fn default() -> Self {
        Self { share: 0.02, min: 2_000, max: 25_000 }
    }
}

/// The margin between the time at which a call is answered at the latest and the client's deadline.
///
/// A client measures from before it sends the request until it has read the answer, so time has to be
/// reserved for what lies between: a share of the patience for the network path both ways (clients with
/// little patience are usually near), and the worst recent lateness of this loop's timers, because the answer
/// at the deadline is sent by such a timer. A margin that is too large refuses calls that could be served; one
/// that is too small lets a client's deadline pass without an answer.
#[derive(Clone, Debug)]
pub struct Margin {
    settings: MarginSettings,
    /// The recorded lateness from which the current value decays, in microseconds.
    peak: f64,
    /// When it was observed.
    peak_at: Micros,
}

impl Margin {
    /// Creates a margin without any observed lateness.
    pub fn new(settings: MarginSettings) -> Self {
        Self { settings, peak: 0.0, peak_at: 0 }
    }

    /// Time to reserve at `now` for the loop's own lateness, in addition to [`Margin::answer_allowance`]. It
    /// also applies to calls that arrived while the lateness was smaller.
    pub fn lateness(&self, now: Micros) -> Micros {
        let (age, base) = (now.saturating_sub(self.peak_at) as f64, self.peak.min(SPIKE_THRESHOLD_US));
        let spike = (self.peak - base) * (-age / SPIKE_DECAY_US).exp();
        (base * (-age / LATENESS_DECAY_US).exp() + spike) as Micros
    }

    /// Records that something that was due or had arrived at `due` was handled at `now`.
    pub fn record(&mut self, now: Micros, due: Micros) {
        let late = now.saturating_sub(due);
        if late > self.lateness(now) {
            (self.peak, self.peak_at) = (late as f64, now);
        }
    }

    /// Time to reserve for the network path of the answer, for a client with this patience.
    pub fn answer_allowance(&self, patience: Micros) -> Micros {
        let share = (patience as f64 * self.settings.share) as Micros;
        share.clamp(self.settings.min, self.settings.max.max(self.settings.min))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn observed_lateness_widens_the_margin_and_decays() {
        let mut margin = Margin::new(MarginSettings { share: 0.02, min: 2_000, max: 25_000 });
        let table = [(3_000, 2_000), (500_000, 10_000), (60_000_000, 25_000)];
        assert!(table.iter().all(|(patience, reserved)| margin.answer_allowance(*patience) == *reserved));
        assert_eq!(margin.lateness(0), 0);
        margin.record(1_000_000, 960_000);
        margin.record(1_000_100, 1_000_050);
        assert_eq!(margin.lateness(1_000_000), 40_000);
        assert!((14_000..15_000).contains(&margin.lateness(31_000_000)));
        margin.record(40_000_000, 38_800_000);
        assert_eq!(margin.lateness(40_000_000), 1_200_000);
        assert!((45_000..55_000).contains(&margin.lateness(43_000_000)));
    }
}
