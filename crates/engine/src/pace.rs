//! How a loop divides a turn: what is due and what has ended before what is new, and new work for a bounded
//! time only, so that an answer never waits for a crowd of new calls.

use basaltward::Micros;

/// New work of one turn ends after this; at least one call is begun. So does taking what has come, which is
/// to be done even by a loop that has fallen behind with what it leads to.
const NEW_US: Micros = 1_000;
/// What is due ends after this in one turn, but for answers: what comes meanwhile is to be seen.
const DUE_US: Micros = 2_000;
/// Between two looks at what is due.
const LOOK_US: Micros = 500;
/// New connections wait while the oldest request read has waited this long, until it is under the second.
const ACCEPT_US: (Micros, Micros) = (50_000, 10_000);
/// How often the worst lag is told.
const TELL_US: Micros = 1_000_000;
/// A lag below this is not worth telling.
const LAG_US: Micros = 5_000;
/// Time off the processor in one turn below this is the usual sharing of a machine.
const STALL_US: Micros = 3_000;

/// The worst that a loop saw in about a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lag {
    /// Longest turn: what came just after its beginning waited so long.
    pub longest_turn: Micros,
    /// Longest that a request that was read waited to be looked at.
    pub longest_wait: Micros,
    /// Time in which the loop had work but no processor, turns of 3 ms and more of it counted: the machine,
    /// or others on it, had stopped it.
    pub stalled: Micros,
}

/// What a turn came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnReport {
    /// When it began, or was to begin.
    pub began: Micros,
    /// The machine had stopped the loop for so long within it.
    pub stalled: Option<Micros>,
    /// What is worth telling of the last second, once a second.
    pub lag: Option<Lag>,
}

/// The pace of one loop. Times are the caller's clock.
#[derive(Clone, Debug, Default)]
pub struct LoopPacer {
    began: Micros,
    looked: Micros,
    new: Option<Micros>,
    read: Option<Micros>,
    held: bool,
    worst: Lag,
    told: Micros,
    /// Processor time at the last turn's end.
    spent: Option<Micros>,
}

impl LoopPacer {
    /// A turn begins at `now`: the loop was waiting since `since`, and wanted to wait until `due` at most. It
    /// counts as begun when it was due, for it may have been woken late.
    pub fn begin_turn(&mut self, since: Micros, due: Micros, now: Micros) {
        let began = now.min(due.max(since));
        (self.began, self.looked, self.new, self.read) = (began, now, None, None);
    }

    /// Whether more of what is due may be done, which was begun at `since`.
    pub fn may_continue_due(&self, since: Micros, now: Micros) -> bool {
        now < since + DUE_US
    }

    /// Whether one more request may be read in this turn; its bytes have waited since they `came`.
    pub fn may_read(&mut self, now: Micros, came: Micros) -> bool {
        self.worst.longest_wait = self.worst.longest_wait.max(now.saturating_sub(came));
        let first = *self.read.get_or_insert(now);
        first == now || now < first + NEW_US
    }

    /// Whether it is time to look at what is due, in the middle of a turn.
    pub fn should_check_due(&mut self, now: Micros) -> bool {
        let looks = now >= self.looked + LOOK_US;
        self.looked = if looks { now } else { self.looked };
        looks
    }

    /// Whether one more request may be taken in this turn; it has waited since it `came`.
    pub fn may_begin(&mut self, now: Micros, came: Micros) -> bool {
        self.worst.longest_wait = self.worst.longest_wait.max(now.saturating_sub(came));
        let first = *self.new.get_or_insert(now);
        first == now || now < first + NEW_US
    }

    /// Whether new connections are to be accepted, the oldest request read having waited for so long.
    pub fn should_accept(&mut self, waited: Micros) -> bool {
        self.held = waited >= if self.held { ACCEPT_US.1 } else { ACCEPT_US.0 };
        !self.held
    }

    /// A turn ends; `spent` is the processor time of this loop so far.
    pub fn end_turn(&mut self, now: Micros, spent: Micros) -> TurnReport {
        let (began, took) = (self.began, now.saturating_sub(self.began));
        let worked = self.spent.replace(spent).map_or(took, |before| spent.saturating_sub(before));
        let stalled = Some(took.saturating_sub(worked)).filter(|off| *off >= STALL_US);
        self.worst.stalled += stalled.unwrap_or(0);
        self.worst.longest_turn = self.worst.longest_turn.max(took);
        if now < self.told + TELL_US {
            return TurnReport { began, stalled, lag: None };
        }
        self.told = now;
        let lag =
            Some(std::mem::take(&mut self.worst)).filter(|w| w.longest_turn.max(w.longest_wait) >= LAG_US);
        TurnReport { began, stalled, lag }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn new_work_ends_after_its_part_of_a_turn_but_one_call_always_begins() {
        let mut pace = LoopPacer::default();
        pace.begin_turn(0, 10_000, 10_000);
        assert!(pace.may_begin(14_000, 0) && pace.may_begin(14_999, 0) && !pace.may_begin(15_000, 0));
        pace.begin_turn(20_000, 20_000, 20_000);
        assert!(pace.may_begin(29_000, 0));
        assert!(pace.may_read(30_500, 0) && pace.may_read(31_499, 0) && !pace.may_read(31_500, 0));
        assert!(pace.may_continue_due(31_500, 33_499) && !pace.may_continue_due(31_500, 33_500));
        assert!(
            !pace.should_check_due(20_499) && pace.should_check_due(20_500) && !pace.should_check_due(20_501)
        );
    }

    #[test]
    fn accepting_stops_at_one_wait_and_goes_on_at_a_smaller_one() {
        let mut pace = LoopPacer::default();
        let told: Vec<_> = [49_999, 50_000, 20_000, 9_999, 20_000].map(|w| pace.should_accept(w)).into();
        assert_eq!(told, [true, false, false, true, true]);
    }

    #[test]
    fn the_worst_of_a_second_is_told_once_with_the_time_off_the_processor() {
        let mut pace = LoopPacer::default();
        let quiet = |began| TurnReport { began, stalled: None, lag: None };
        pace.begin_turn(0, 1_000_000, 1_000_000);
        assert_eq!(pace.end_turn(1_000_000, 700), quiet(1_000_000));
        // Thirty milliseconds, of which it worked for ten.
        pace.begin_turn(1_000_000, 1_400_000, 1_400_000);
        assert!(pace.may_begin(1_400_000, 1_390_000));
        assert_eq!(
            pace.end_turn(1_430_000, 10_700),
            TurnReport { stalled: Some(20_000), ..quiet(1_400_000) }
        );
        pace.begin_turn(1_430_000, 3_000_000, 2_000_000);
        let lag = Lag { longest_turn: 30_000, longest_wait: 10_000, stalled: 20_000 };
        assert_eq!(pace.end_turn(2_000_000, 10_700), TurnReport { lag: Some(lag), ..quiet(2_000_000) });
        pace.begin_turn(2_000_000, 3_000_000, 3_000_000);
        assert_eq!(pace.end_turn(3_000_001, 10_700), quiet(3_000_000));
        // Woken 40 ms after the time it asked for.
        pace.begin_turn(3_000_001, 3_960_000, 4_000_000);
        let lag = Lag { longest_turn: 41_000, longest_wait: 0, stalled: 40_500 };
        let told = TurnReport { began: 3_960_000, stalled: Some(40_500), lag: Some(lag) };
        assert_eq!(pace.end_turn(4_001_000, 11_200), told);
    }
}
