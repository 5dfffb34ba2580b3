//! How a loop divides its time within a turn: due timers and ended attempts come before new work, and new work
//! gets a bounded time only, so that an answer never waits behind a burst of new calls.

use basaltward::Micros;

/// Time per turn for beginning calls; at least one call begins. The same limit applies to reading requests,
/// which even a loop that is behind with beginning calls has to go on with.
const NEW_WORK_US: Micros = 1_000;
/// Time per turn for due timers, except answers, so that input that arrives meanwhile is handled in time.
const TIMERS_US: Micros = 2_000;
/// Time between two checks for due timers within a turn.
const TIMER_CHECK_US: Micros = 500;
/// Accepting new connections stops once the oldest request that was read has waited this long.
const ACCEPT_STOP_US: Micros = 50_000;
/// Accepting resumes once the oldest request has waited less than this.
const ACCEPT_RESUME_US: Micros = 10_000;
/// Time between two reports of the worst lag.
const REPORT_INTERVAL_US: Micros = 1_000_000;
/// A lag below this is not reported.
const MIN_LAG_US: Micros = 5_000;
/// Less time off the processor than this within one turn is normal on a shared machine and is not counted.
const MIN_STALL_US: Micros = 3_000;

/// The worst delays of a loop within about a second, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lag {
    /// Longest turn, which is how long input that arrived just after its beginning has waited.
    pub longest_turn: Micros,
    /// Longest time that a request waited until it was read or begun.
    pub longest_wait: Micros,
    /// Total time in which the loop had work but no processor, because of the machine or of other processes
    /// on it. Only turns with 3 ms or more of it count.
    pub stalled: Micros,
}

/// Measurements of one turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnReport {
    /// When the turn began, or should have begun if the loop was woken late.
    pub began: Micros,
    /// Time off the processor within the turn, if it was 3 ms or more.
    pub stalled: Option<Micros>,
    /// The worst delays since the last report; set once a second at most, and only for a lag of 5 ms or more.
    pub lag: Option<Lag>,
}

/// Decides what one loop may still do within a turn, and measures its delays. All times are on the caller's
/// clock, in microseconds.
#[derive(Clone, Debug, Default)]
pub struct LoopPacer {
    began: Micros,
    last_timer_check: Micros,
    /// When the first call of this turn began.
    first_begin: Option<Micros>,
    /// When the first request of this turn was read.
    first_read: Option<Micros>,
    accept_paused: bool,
    worst: Lag,
    last_report: Micros,
    /// Processor time at the end of the last turn.
    cpu_time: Option<Micros>,
}

impl LoopPacer {
    /// Begins a turn at `now`. The loop has been waiting since `since` and was to wait until `due` at most; a
    /// later wake-up counts as part of the turn.
    pub fn begin_turn(&mut self, since: Micros, due: Micros, now: Micros) {
        let began = now.min(due.max(since));
        (self.began, self.last_timer_check, self.first_begin, self.first_read) = (began, now, None, None);
    }

    /// Whether more due timers may be handled, if handling them began at `since`.
    pub fn may_handle_timers(&self, since: Micros, now: Micros) -> bool {
        now < since + TIMERS_US
    }

    /// Whether one more request may be read in this turn. Its bytes have waited since `arrived_at`.
    pub fn may_read(&mut self, now: Micros, arrived_at: Micros) -> bool {
        self.worst.longest_wait = self.worst.longest_wait.max(now.saturating_sub(arrived_at));
        let first = *self.first_read.get_or_insert(now);
        first == now || now < first + NEW_WORK_US
    }

    /// Whether to check for due timers now, in the middle of a turn. Resets the interval if so.
    pub fn should_check_timers(&mut self, now: Micros) -> bool {
        let due = now >= self.last_timer_check + TIMER_CHECK_US;
        self.last_timer_check = if due { now } else { self.last_timer_check };
        due
    }

    /// Whether one more call may begin in this turn. It has waited since `arrived_at`.
    pub fn may_begin(&mut self, now: Micros, arrived_at: Micros) -> bool {
        self.worst.longest_wait = self.worst.longest_wait.max(now.saturating_sub(arrived_at));
        let first = *self.first_begin.get_or_insert(now);
        first == now || now < first + NEW_WORK_US
    }

    /// Whether to accept new connections, where the oldest request that was read has waited for `waited`.
    /// Stops at 50 ms and resumes below 10 ms.
    pub fn should_accept(&mut self, waited: Micros) -> bool {
        self.accept_paused = waited >= if self.accept_paused { ACCEPT_RESUME_US } else { ACCEPT_STOP_US };
        !self.accept_paused
    }

    /// Ends a turn. `cpu_time` is the processor time that this loop has used since its start.
    pub fn end_turn(&mut self, now: Micros, cpu_time: Micros) -> TurnReport {
        let (began, turn_time) = (self.began, now.saturating_sub(self.began));
        let worked =
            self.cpu_time.replace(cpu_time).map_or(turn_time, |before| cpu_time.saturating_sub(before));
        let stalled = Some(turn_time.saturating_sub(worked)).filter(|off| *off >= MIN_STALL_US);
        self.worst.stalled += stalled.unwrap_or(0);
        self.worst.longest_turn = self.worst.longest_turn.max(turn_time);
        if now < self.last_report + REPORT_INTERVAL_US {
            return TurnReport { began, stalled, lag: None };
        }
        self.last_report = now;
        let lag = Some(std::mem::take(&mut self.worst))
            .filter(|w| w.longest_turn.max(w.longest_wait) >= MIN_LAG_US);
        TurnReport { began, stalled, lag }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn new_work_is_bounded_per_turn_but_one_call_always_begins() {
        let mut pacer = LoopPacer::default();
        pacer.begin_turn(0, 10_000, 10_000);
        assert!(pacer.may_begin(14_000, 0) && pacer.may_begin(14_999, 0) && !pacer.may_begin(15_000, 0));
        pacer.begin_turn(20_000, 20_000, 20_000);
        assert!(pacer.may_begin(29_000, 0));
        assert!(pacer.may_read(30_500, 0) && pacer.may_read(31_499, 0) && !pacer.may_read(31_500, 0));
        assert!(pacer.may_handle_timers(31_500, 33_499) && !pacer.may_handle_timers(31_500, 33_500));
        assert!(
            !pacer.should_check_timers(20_499)
                && pacer.should_check_timers(20_500)
                && !pacer.should_check_timers(20_501)
        );
    }

    #[test]
    fn accepting_stops_at_a_long_wait_and_resumes_at_a_short_one() {
        let mut pacer = LoopPacer::default();
        let accepted: Vec<_> = [49_999, 50_000, 20_000, 9_999, 20_000].map(|w| pacer.should_accept(w)).into();
        assert_eq!(accepted, [true, false, false, true, true]);
    }

    #[test]
    fn the_worst_lag_of_a_second_is_reported_once_with_the_time_off_the_processor() {
        let mut pacer = LoopPacer::default();
        let quiet = |began| TurnReport { began, stalled: None, lag: None };
        pacer.begin_turn(0, 1_000_000, 1_000_000);
        assert_eq!(pacer.end_turn(1_000_000, 700), quiet(1_000_000));
        // A turn of 30 ms with 10 ms of processor time.
        pacer.begin_turn(1_000_000, 1_400_000, 1_400_000);
        assert!(pacer.may_begin(1_400_000, 1_390_000));
        assert_eq!(
            pacer.end_turn(1_430_000, 10_700),
            TurnReport { stalled: Some(20_000), ..quiet(1_400_000) }
        );
        pacer.begin_turn(1_430_000, 3_000_000, 2_000_000);
        let lag = Lag { longest_turn: 30_000, longest_wait: 10_000, stalled: 20_000 };
        assert_eq!(pacer.end_turn(2_000_000, 10_700), TurnReport { lag: Some(lag), ..quiet(2_000_000) });
        pacer.begin_turn(2_000_000, 3_000_000, 3_000_000);
        assert_eq!(pacer.end_turn(3_000_001, 10_700), quiet(3_000_000));
        // Woken 40 ms after the requested time.
        pacer.begin_turn(3_000_001, 3_960_000, 4_000_000);
        let lag = Lag { longest_turn: 41_000, longest_wait: 0, stalled: 40_500 };
        let expected = TurnReport { began: 3_960_000, stalled: Some(40_500), lag: Some(lag) };
        assert_eq!(pacer.end_turn(4_001_000, 11_200), expected);
    }
}
