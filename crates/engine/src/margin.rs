//! How much of a client's patience is kept back for the way of the answer.

use basaltward::Micros;

/// Evidence of a late loop fades to 1/e in this time: machines that stop a process for some ten milliseconds
/// do so again within a minute, and a margin kept too long costs little.
const FORGET_US: f64 = 30_000_000.0;
/// But what goes beyond this is one mishap, which fades to 1/e in the second: kept as long, a loop that once
/// stood still for a second would for half a minute turn away all who wait no longer.
const MISHAP_US: (f64, f64) = (50_000.0, 500_000.0);

/// Bounds on the margin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MarginSettings {
    /// Part of the patience kept back.
    pub share: f64,
    /// But at least this.
    pub min: Micros,
    /// And, before the loop's own lateness is added, at most this.
    pub max: Micros,
}

impl Default for MarginSettings {
    fn default() -> Self {
        Self { share: 0.02, min: 2_000, max: 25_000 }
    }
}

/// The margin between the time at which a call is answered at the latest and the client's deadline.
///
/// A client counts from before it sent until it has read the answer, so what stands between must be kept
/// back: a share of the patience for the way there and back (who allows little stands near), and the worst
/// lateness with which this loop lately woke for its timers, for the answer at the deadline is such a timer.
/// A margin too large turns calls away that could be served; one too small breaks the promise of an answer.
#[derive(Clone, Debug)]
pub struct Margin {
    settings: MarginSettings,
    late: f64,
    at: Micros,
}

impl Margin {
    /// A margin that has seen no lateness.
    pub fn new(settings: MarginSettings) -> Self {
        Self { settings, late: 0.0, at: 0 }
    }

    /// What the loop's own lateness asks for now, on top of [`Margin::way`]: also of calls that came while
    /// it was less.
    pub fn lateness(&self, now: Micros) -> Micros {
        let (age, usual) = (now.saturating_sub(self.at) as f64, self.late.min(MISHAP_US.0));
        let beyond = (self.late - usual) * (-age / MISHAP_US.1).exp();
        (usual * (-age / FORGET_US).exp() + beyond) as Micros
    }

    /// Takes note that what was due or had come at `due` was handled at `now`.
    pub fn record(&mut self, now: Micros, due: Micros) {
        let late = now.saturating_sub(due);
        if late > self.lateness(now) {
            (self.late, self.at) = (late as f64, now);
        }
    }

    /// What is to be kept back of this patience for the answer's way.
    pub fn answer_allowance(&self, patience: Micros) -> Micros {
        let share = (patience as f64 * self.settings.share) as Micros;
        share.clamp(self.settings.min, self.settings.max.max(self.settings.min))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_loop_that_woke_late_keeps_more_back_until_it_is_forgotten() {
        let mut margin = Margin::new(MarginSettings { share: 0.02, min: 2_000, max: 25_000 });
        let table = [(3_000, 2_000), (500_000, 10_000), (60_000_000, 25_000)];
        assert!(table.iter().all(|(patience, kept)| margin.answer_allowance(*patience) == *kept));
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
