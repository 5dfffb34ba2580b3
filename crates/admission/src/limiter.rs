//! Admission at one loop: token buckets with the rates of the latest share table from the control thread.
//!
//! Each cell, a (class, tenant) pair, has its own rate. A call that is shed gets a scheduled retry time. Half of the
//! cell's rate is reserved for such retries, each at a time of its own, so that they find capacity and do not return
//! as a wave. Capacity reserved for retries that do not come is used by other calls.

use crate::scheduled_retries::ScheduledRetries;
use crate::settings::AdmissionSettings;
use crate::table::{Share, ShareTable};
use crate::types::{AttemptKind, CallOutcome, CellCounts, Decision, LoopCounts};
use basaltward_membership::Micros;

/// Fraction of a cell's rate that is reserved for scheduled retries.
const RESERVED_SHARE: f64 = 0.5;
/// Scheduled retries are admitted from an empty bucket, up to a debt of this many seconds of the cell's rate;
/// calls handed over by other sites, up to a quarter of it.
const MAX_DEBT_SECONDS: f64 = 1.0;
/// A retry that is early by up to this counts as on time.
const EARLY_TOLERANCE: Micros = 50_000;
/// Size of a cell's bucket in seconds of its rate.
const BURST_SECONDS: f64 = 0.05;
/// Size of the bucket of a slow cell in seconds of its rate, up to `MAX_SLOW_BURST_CALLS`: larger, because few calls do
/// not arrive evenly.
const SLOW_BURST_SECONDS: f64 = 0.5;
/// Maximum number of calls in the bucket of a slow cell.
const MAX_SLOW_BURST_CALLS: f64 = 6.0;
/// Size of the bucket of unscheduled retries in seconds of their rate.
const RETRY_BURST_SECONDS: f64 = 0.1;
/// Minimum delay until a scheduled retry.
const MIN_RETRY_DELAY: Micros = 250_000;
/// Maximum delay until a scheduled retry. No capacity is reserved beyond it.
const MAX_RETRY_DELAY: Micros = 120_000_000;
/// Weight of one scheduled retry, on time or missed, in the smoothed fraction of those that come on time.
const RETURN_SHARE_GAIN: f64 = 0.005;
/// Lower bound of that fraction when retries are scheduled.
const MIN_RETURN_SHARE: f64 = 0.05;

/// Faults that tests inject.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimiterFault {
    /// An expired table is used as if it were valid.
    IgnoresTableExpiry,
}

/// Token buckets of one cell.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Tokens for calls; negative while the cell is in debt.
    calls: f64,
    /// Tokens for unscheduled retries.
    retries: f64,
    /// Earliest time for the next scheduled retry.
    next_retry_at: Micros,
    /// Time of the last refill.
    refilled_at: Micros,
    /// Answered calls per second, smoothed.
    answered: f64,
}

/// Admission limiter of one loop.
pub struct LoopLimiter {
    settings: AdmissionSettings,
    loop_no: usize,
    /// Counters of each cell since `counted_since`.
    counts: Vec<CellCounts>,
    counted_since: Micros,
    buckets: Vec<Bucket>,
    /// Tokens that all cells share.
    spare: f64,
    spare_refilled_at: Micros,
    scheduled: ScheduledRetries,
    /// Fraction of the scheduled retries that come on time, smoothed.
    return_share: f64,
    fault: Option<LimiterFault>,
}

impl LoopLimiter {
    /// A limiter for loop `loop_no`. It admits all calls until it is used with a table.
    pub fn new(now: Micros, settings: AdmissionSettings, loop_no: usize) -> Self {
        let cells = settings.cell_count();
        Self {
            settings,
            loop_no,
            counts: vec![CellCounts::default(); cells],
            counted_since: now,
            buckets: vec![Bucket { refilled_at: now, ..Bucket::default() }; cells],
            spare: 0.0,
            spare_refilled_at: now,
            scheduled: ScheduledRetries::default(),
            return_share: 1.0,
            fault: None,
        }
    }

    /// Injects a fault.
    #[doc(hidden)]
    pub fn inject_fault(&mut self, fault: LimiterFault) {
        self.fault = Some(fault);
    }

    /// Decides whether to admit a call by the shares in `table`; without a table or a share all calls are admitted. It
    /// must be called once for each attempt, at the site that executes the call. `key_hash` is the hash of the call's
    /// identity.
    pub fn admit(
        &mut self,
        now: Micros,
        table: Option<&ShareTable>,
        class: usize,
        tenant: usize,
        kind: AttemptKind,
        key_hash: u64,
    ) -> Decision {
        let cell = self.settings.cell(class, tenant);
        let scheduled_at = self.scheduled.retry_at(key_hash);
        let kind =
            if kind == AttemptKind::First && scheduled_at.is_some() { AttemptKind::Retry } else { kind };
        let count = &mut self.counts[cell];
        match kind {
            AttemptKind::First => count.first_attempts += 1,
            AttemptKind::Retry => count.retries += 1,
            AttemptKind::HandedOver => count.handed_over += 1,
            AttemptKind::Exempt => {}
        }
        let ignores_expiry = self.fault == Some(LimiterFault::IgnoresTableExpiry);
        let share =
            table.and_then(|table| table.share_at(if ignores_expiry { 0 } else { now }, self.loop_no));
        let Some(share) = share else {
            self.scheduled.remove(key_hash);
            return Decision::Admit;
        };
        self.refill(now, share, cell);
        let rate = share.rates[cell];
        let on_schedule = scheduled_at.is_some_and(|at| now + EARLY_TOLERANCE >= at)
            || kind == AttemptKind::Retry
                && scheduled_at.is_none()
                && self.scheduled.substitute_due(now, cell);
        let admitted = match kind {
            AttemptKind::Exempt => self.draw_with_debt(cell, rate, f64::INFINITY),
            AttemptKind::HandedOver => self.draw_with_debt(cell, rate, MAX_DEBT_SECONDS / 4.0),
            AttemptKind::First => self.draw(cell),
            AttemptKind::Retry if on_schedule => self.draw_with_debt(cell, rate, MAX_DEBT_SECONDS),
            AttemptKind::Retry => self.buckets[cell].retries >= 1.0 && self.draw(cell),
        };
        if !admitted {
            return self.shed_call(now, (cell, rate), scheduled_at.filter(|_| !on_schedule), key_hash);
        }
        self.scheduled.remove(key_hash);
        if on_schedule {
            self.counts[cell].reserved_retries += 1;
            self.return_share += RETURN_SHARE_GAIN * (1.0 - self.return_share);
        } else if kind == AttemptKind::Retry {
            self.counts[cell].budgeted_retries += 1;
            self.buckets[cell].retries -= 1.0;
        }
        Decision::Admit
    }

    /// Refills the buckets of a cell and the shared bucket, and drops overdue retries.
    fn refill(&mut self, now: Micros, share: &Share, cell: usize) {
        let elapsed = |at: &mut Micros| now.saturating_sub(std::mem::replace(at, now)) as f64 / 1e6;
        let bucket = &mut self.buckets[cell];
        let (rate, retries) = (share.rates[cell].max(share.min_rate), share.retry_rates[cell]);
        let seconds = elapsed(&mut bucket.refilled_at);
        bucket.calls = (bucket.calls + rate * seconds)
            .min((rate * BURST_SECONDS).max((rate * SLOW_BURST_SECONDS).min(MAX_SLOW_BURST_CALLS)).max(1.0));
        bucket.retries = (bucket.retries + retries * seconds).min((retries * RETRY_BURST_SECONDS).max(1.0));
        let seconds = elapsed(&mut self.spare_refilled_at);
        self.spare = (self.spare + share.spare * seconds).min((share.spare * BURST_SECONDS).max(1.0));
        let missed = self.scheduled.expire(now);
        self.return_share *= (1.0 - RETURN_SHARE_GAIN).powf(missed as f64);
    }

    /// Takes a token from the cell's bucket, or else from the shared one.
    fn draw(&mut self, cell: usize) -> bool {
        let bucket = &mut self.buckets[cell].calls;
        let from = if *bucket >= 1.0 { bucket } else { &mut self.spare };
        let admitted = *from >= 1.0;
        *from -= if admitted { 1.0 } else { 0.0 };
        admitted
    }

    /// Takes a token even if the bucket is empty, up to a debt of `max_debt` seconds of the rate; the next refills pay
    /// the debt off.
    fn draw_with_debt(&mut self, cell: usize, rate: f64, max_debt: f64) -> bool {
        let bucket = &mut self.buckets[cell].calls;
        // Exempt events are admitted at a rate of zero, too, which gives no bound for the debt.
        let admitted = *bucket >= 1.0 || max_debt.is_infinite() || *bucket > -(rate * max_debt);
        *bucket -= if admitted { 1.0 } else { 0.0 };
        *bucket = bucket.max(-(rate * MAX_DEBT_SECONDS + 1.0));
        admitted
    }

    /// Sheds a call and returns the delay until its retry.
    fn shed_call(
        &mut self,
        now: Micros,
        (cell, rate): (usize, f64),
        scheduled_at: Option<Micros>,
        key_hash: u64,
    ) -> Decision {
        self.counts[cell].shed += 1;
        // A retry that is too early keeps its scheduled time.
        if let Some(at) = scheduled_at {
            return Decision::Shed((at.max(now + MIN_RETRY_DELAY) - now).min(MAX_RETRY_DELAY));
        }
        Decision::Shed(self.schedule_retry(now, (cell, rate), key_hash))
    }

    /// Reserves the next retry slot of the cell for a call that is shed now, and returns the delay until then.
    fn schedule_retry(&mut self, now: Micros, (cell, rate): (usize, f64), key_hash: u64) -> Micros {
        let bucket = &mut self.buckets[cell];
        let at = bucket.next_retry_at.max(now + MIN_RETRY_DELAY);
        let step = 1e6 * self.return_share.max(MIN_RETURN_SHARE) / (rate * RESERVED_SHARE).max(0.01);
        bucket.next_retry_at = (at + step as Micros).min(now + MAX_RETRY_DELAY * 2);
        if at - now <= MAX_RETRY_DELAY {
            self.scheduled.schedule(key_hash, at, cell);
            return at - now;
        }
        // No slot is free within the maximum delay: spread the retries by the hash.
        MAX_RETRY_DELAY + key_hash % MAX_RETRY_DELAY
    }

    /// Records that an admitted call was refused before any of its work ran, and returns the delay until its retry.
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
        // Without a share the answer rate is the only known rate.
        let share = table.and_then(|table| table.share_at(now, self.loop_no));
        let rate = share.map_or(self.buckets[cell].answered, |share| share.rates[cell]);
        self.schedule_retry(now, (cell, rate), key_hash)
    }

    /// Records the outcome of an admitted call that was not refused.
    pub fn record_outcome(&mut self, class: usize, tenant: usize, outcome: CallOutcome) {
        let count = &mut self.counts[self.settings.cell(class, tenant)];
        match outcome {
            CallOutcome::Served(wait) => {
                count.served += 1;
                count.total_wait += wait;
            }
            CallOutcome::Late(wait) => {
                count.late += 1;
                count.total_wait += wait;
            }
            CallOutcome::Failed => count.failed += 1,
        }
    }

    /// Takes the counters since the previous call of this method, for the control thread.
    pub fn take_counts(&mut self, now: Micros, in_flight: u32) -> LoopCounts {
        let span = now.saturating_sub(std::mem::replace(&mut self.counted_since, now));
        let weight = 1.0 - (-(span as f64) / 1e6).exp();
        for (bucket, count) in self.buckets.iter_mut().zip(&self.counts) {
            let rate = f64::from(count.answered()) * 1e6 / span.max(1) as f64;
            bucket.answered += weight * (rate - bucket.answered);
        }
        let by_cell =
            std::mem::replace(&mut self.counts, vec![CellCounts::default(); self.settings.cell_count()]);
        LoopCounts { span, by_cell, in_flight }
    }

    /// Number of shed events whose retries are tracked.
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
    fn exempt_events_are_admitted_at_a_rate_of_zero() {
        let site_map = SiteMap::new(vec![0], 0).expect("in the list");
        let class = ClassSettings { value: 1.0, aim: 1_000_000, deadline: 2_000_000 };
        let settings = AdmissionSettings::new(vec![class], Vec::new(), site_map);
        let share = Share { rates: vec![0.0], spare: 0.0, min_rate: 0.0, retry_rates: vec![0.0] };
        let shares = Some(vec![share]);
        let table = ShareTable {
            version: 1,
            valid_until: Micros::MAX,
            shares: shares.clone(),
            fallback_shares: shares,
        };
        let mut limiter = LoopLimiter::new(0, settings, 0);
        let mut admit = |now, kind| limiter.admit(now, Some(&table), 0, 0, kind, now);
        assert!((1..200).all(|now| admit(now, AttemptKind::Exempt) == Decision::Admit));
        assert!(matches!(admit(300, AttemptKind::First), Decision::Shed(_)));
    }
}
