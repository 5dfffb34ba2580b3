//! The door of one loop: what is taken and what is turned away, by the whole table that the control thread made last.
//!
//! Each pair of class and tenant has its own rate. Who is turned away is told a time at which half of that rate is
//! kept for those who come then, each at a time of its own: so they don't return as a wave, and find room. Where they
//! don't come their room is used by others.

use crate::scheduled_retries::ScheduledRetries;
use crate::settings::AdmissionSettings;
use crate::table::{Share, ShareTable};
use crate::types::{AttemptKind, CallOutcome, CellCounts, Decision, LoopCounts};
use basaltward_membership::Micros;

/// Of a pair's rate so much is promised to those turned away.
const RESERVED_SHARE: f64 = 0.5;
/// Promises are kept though nothing is left, up to so many seconds of the pair's rate.
const MAX_DEBT_SECONDS: f64 = 1.0;
/// Who is a little early has come at its time.
const EARLY_TOLERANCE: Micros = 50_000;
/// Calls that may come at once after a quiet time, in seconds of their rate; of a slow pair more, up to a few, as they
/// don't come evenly.
const BURST_SECONDS: f64 = 0.05;
const SLOW_BURST_SECONDS: f64 = 0.5;
const MAX_SLOW_BURST_CALLS: f64 = 6.0;
/// Retries that may come at once, in seconds of their rate.
const RETRY_BURST_SECONDS: f64 = 0.1;
/// Shortest and longest time told. Past the longest no room is promised.
const MIN_RETRY_DELAY: Micros = 250_000;
const MAX_RETRY_DELAY: Micros = 120_000_000;
/// How fast it is learnt how many come back at the time told, and how few are reckoned with at least.
const RETURN_SHARE_GAIN: f64 = 0.005;
const MIN_RETURN_SHARE: f64 = 0.05;

/// Faults that tests plant.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimiterFault {
    /// A table past its time is taken for a fresh one.
    IgnoresTableExpiry,
}

/// Calls that may be taken of one pair.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    calls: f64,
    retries: f64,
    /// From when on room can be promised.
    next_retry_at: Micros,
    /// Until when it is filled.
    at: Micros,
    /// Answered a second.
    answered: f64,
}

/// The door of one loop.
pub struct LoopLimiter {
    settings: AdmissionSettings,
    loop_no: usize,
    counts: Vec<CellCounts>,
    counted_since: Micros,
    buckets: Vec<Bucket>,
    spare: f64,
    at: Micros,
    scheduled: ScheduledRetries,
    /// Of those turned away so many come at the time told.
    return_share: f64,
    fault: Option<LimiterFault>,
}

impl LoopLimiter {
    /// A door that takes everything until it is given a table.
    pub fn new(now: Micros, settings: AdmissionSettings, loop_no: usize) -> Self {
        let cells = settings.cell_count();
        Self {
            settings,
            loop_no,
            counts: vec![CellCounts::default(); cells],
            counted_since: now,
            buckets: vec![Bucket { at: now, ..Bucket::default() }; cells],
            spare: 0.0,
            at: now,
            scheduled: ScheduledRetries::default(),
            return_share: 1.0,
            fault: None,
        }
    }

    /// Plants a fault.
    #[doc(hidden)]
    pub fn inject_fault(&mut self, fault: LimiterFault) {
        self.fault = Some(fault);
    }

    /// Whether a call is taken. Each call is asked for once, where it is to be worked; `key_hash` is that of its
    /// identity.
    pub fn admit(
        &mut self,
        now: Micros,
        table: Option<&ShareTable>,
        class: usize,
        tenant: usize,
        asked: AttemptKind,
        key_hash: u64,
    ) -> Decision {
        let cell = self.settings.cell(class, tenant);
        let told = self.scheduled.retry_at(key_hash);
        let asked = if asked == AttemptKind::First && told.is_some() { AttemptKind::Retry } else { asked };
        let count = &mut self.counts[cell];
        match asked {
            AttemptKind::First => count.first_attempts += 1,
            AttemptKind::Retry => count.retries += 1,
            AttemptKind::HandedOver => count.handed_over += 1,
            AttemptKind::Exempt => {}
        }
        let stale_for_fresh = self.fault == Some(LimiterFault::IgnoresTableExpiry);
        let share =
            table.and_then(|table| table.share_at(if stale_for_fresh { 0 } else { now }, self.loop_no));
        let Some(share) = share else {
            self.scheduled.remove(key_hash);
            return Decision::Admit;
        };
        self.refill(now, share, cell);
        let rate = share.rates[cell];
        let promised = told.is_some_and(|at| now + EARLY_TOLERANCE >= at)
            || asked == AttemptKind::Retry && told.is_none() && self.scheduled.substitute_due(now, cell);
        let taken = match asked {
            AttemptKind::Exempt => self.draw_with_debt(cell, rate, f64::INFINITY),
            AttemptKind::HandedOver => self.draw_with_debt(cell, rate, MAX_DEBT_SECONDS / 4.0),
            AttemptKind::First => self.draw(cell),
            AttemptKind::Retry if promised => self.draw_with_debt(cell, rate, MAX_DEBT_SECONDS),
            AttemptKind::Retry => self.buckets[cell].retries >= 1.0 && self.draw(cell),
        };
        if !taken {
            return self.shed_call(now, (cell, rate), told.filter(|_| !promised), key_hash);
        }
        self.scheduled.remove(key_hash);
        if promised {
            self.counts[cell].reserved_retries += 1;
            self.return_share += RETURN_SHARE_GAIN * (1.0 - self.return_share);
        } else if asked == AttemptKind::Retry {
            self.counts[cell].budgeted_retries += 1;
            self.buckets[cell].retries -= 1.0;
        }
        Decision::Admit
    }

    /// Fills what a call of this pair may be taken from.
    fn refill(&mut self, now: Micros, share: &Share, cell: usize) {
        let since = |at: &mut Micros| now.saturating_sub(std::mem::replace(at, now)) as f64 / 1e6;
        let bucket = &mut self.buckets[cell];
        let (rate, retries) = (share.rates[cell].max(share.min_rate), share.retry_rates[cell]);
        let seconds = since(&mut bucket.at);
        bucket.calls = (bucket.calls + rate * seconds)
            .min((rate * BURST_SECONDS).max((rate * SLOW_BURST_SECONDS).min(MAX_SLOW_BURST_CALLS)).max(1.0));
        bucket.retries = (bucket.retries + retries * seconds).min((retries * RETRY_BURST_SECONDS).max(1.0));
        let seconds = since(&mut self.at);
        self.spare = (self.spare + share.spare * seconds).min((share.spare * BURST_SECONDS).max(1.0));
        let missed = self.scheduled.expire(now);
        self.return_share *= (1.0 - RETURN_SHARE_GAIN).powf(missed as f64);
    }

    /// Takes one by its own rate, or by what all may use.
    fn draw(&mut self, cell: usize) -> bool {
        let bucket = &mut self.buckets[cell].calls;
        let from = if *bucket >= 1.0 { bucket } else { &mut self.spare };
        let taken = *from >= 1.0;
        *from -= if taken { 1.0 } else { 0.0 };
        taken
    }

    /// Takes one though nothing may be left: what is owed is paid off by what would come next.
    fn draw_with_debt(&mut self, cell: usize, rate: f64, most: f64) -> bool {
        let bucket = &mut self.buckets[cell].calls;
        // What is owed is owed where no rate is left as well, of which no bound can be made.
        let taken = *bucket >= 1.0 || most.is_infinite() || *bucket > -(rate * most);
        *bucket -= if taken { 1.0 } else { 0.0 };
        *bucket = bucket.max(-(rate * MAX_DEBT_SECONDS + 1.0));
        taken
    }

    fn shed_call(
        &mut self,
        now: Micros,
        (cell, rate): (usize, f64),
        told: Option<Micros>,
        key_hash: u64,
    ) -> Decision {
        self.counts[cell].shed += 1;
        // Who came too early keeps its time.
        if let Some(at) = told {
            return Decision::Shed((at.max(now + MIN_RETRY_DELAY) - now).min(MAX_RETRY_DELAY));
        }
        Decision::Shed(self.schedule_retry(now, (cell, rate), key_hash))
    }

    /// The next time at which there is room for who is turned away now.
    fn schedule_retry(&mut self, now: Micros, (cell, rate): (usize, f64), key_hash: u64) -> Micros {
        let bucket = &mut self.buckets[cell];
        let at = bucket.next_retry_at.max(now + MIN_RETRY_DELAY);
        let step = 1e6 * self.return_share.max(MIN_RETURN_SHARE) / (rate * RESERVED_SHARE).max(0.01);
        bucket.next_retry_at = (at + step as Micros).min(now + MAX_RETRY_DELAY * 2);
        if at - now <= MAX_RETRY_DELAY {
            self.scheduled.schedule(key_hash, at, cell);
            return at - now;
        }
        // No room can be promised: the times told are spread all the same.
        MAX_RETRY_DELAY + key_hash % MAX_RETRY_DELAY
    }

    /// A call that was taken has been refused after the door, and nothing of it has run: when it is to come again.
    pub fn record_refusal(
        &mut self,
        now: Micros,
        table: Option<&ShareTable>,
        class: usize,
        tenant: usize,
        key_hash: u64,
    ) -> Micros {
        let cell = self.settings.cell(class, tenant);
        self.counts[cell].refused += 1;
        // Without a share there is only what was answered to go by.
        let share = table.and_then(|table| table.share_at(now, self.loop_no));
        let rate = share.map_or(self.buckets[cell].answered, |share| share.rates[cell]);
        self.schedule_retry(now, (cell, rate), key_hash)
    }

    /// A call that was taken has ended otherwise.
    pub fn record_outcome(&mut self, class: usize, tenant: usize, ended: CallOutcome) {
        let count = &mut self.counts[self.settings.cell(class, tenant)];
        match ended {
            CallOutcome::Served(waited) => {
                count.served += 1;
                count.total_wait += waited;
            }
            CallOutcome::Late(waited) => {
                count.late += 1;
                count.total_wait += waited;
            }
            CallOutcome::Failed => count.failed += 1,
        }
    }

    /// What was counted since the last time, for the control thread.
    pub fn take_counts(&mut self, now: Micros, in_hand: u32) -> LoopCounts {
        let span = now.saturating_sub(std::mem::replace(&mut self.counted_since, now));
        let weight = 1.0 - (-(span as f64) / 1e6).exp();
        for (bucket, count) in self.buckets.iter_mut().zip(&self.counts) {
            let rate = f64::from(count.answered()) * 1e6 / span.max(1) as f64;
            bucket.answered += weight * (rate - bucket.answered);
        }
        let by = std::mem::replace(&mut self.counts, vec![CellCounts::default(); self.settings.cell_count()]);
        LoopCounts { span, by_cell: by, in_flight: in_hand }
    }

    /// Events turned away that are known.
    pub fn scheduled_retry_count(&self) -> usize {
        self.scheduled.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::ClassSettings;
    use crate::table::Share;
    use basaltward_membership::SiteMap;

    #[test]
    fn what_is_owed_is_taken_where_a_class_has_no_share_at_all() {
        let places = SiteMap::new(vec![0], 0).expect("in the list");
        let class = ClassSettings { value: 1.0, aim: 1_000_000, deadline: 2_000_000 };
        let settings = AdmissionSettings::new(vec![class], Vec::new(), places);
        let share = Share { rates: vec![0.0], spare: 0.0, min_rate: 0.0, retry_rates: vec![0.0] };
        let shares = Some(vec![share]);
        let table = ShareTable {
            version: 1,
            valid_until: Micros::MAX,
            shares: shares.clone(),
            fallback_shares: shares,
        };
        let mut door = LoopLimiter::new(0, settings, 0);
        let mut ask = |now, asked| door.admit(now, Some(&table), 0, 0, asked, now);
        assert!((1..200).all(|now| ask(now, AttemptKind::Exempt) == Decision::Admit));
        assert!(matches!(ask(300, AttemptKind::First), Decision::Shed(_)));
    }
}
