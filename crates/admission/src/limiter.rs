//! The door of one loop: what is taken and what is turned away, by the whole table that the control thread made last.
//!
//! Each pair of class and tenant has its own rate. Who is turned away is told a time at which half of that rate is
//! kept for those who come then, each at a time of its own: so they don't return as a wave, and find room. Where they
//! don't come their room is used by others.

use crate::scheduled_retries::Seen;
use crate::settings::ShedSettings;
use crate::table::{Share, Table};
use crate::types::{Asked, Count, Counts, Ended, Verdict};
use basaltward_membership::Micros;

/// Of a pair's rate so much is promised to those turned away.
const PROMISED: f64 = 0.5;
/// Promises are kept though nothing is left, up to so many seconds of the pair's rate.
const OWED: f64 = 1.0;
/// Who is a little early has come at its time.
const EARLY: Micros = 50_000;
/// Calls that may come at once after a quiet time, in seconds of their rate; of a slow pair more, up to a few, as they
/// don't come evenly.
const BURST: f64 = 0.05;
const SLOW_BURST: f64 = 0.5;
const FEW: f64 = 6.0;
/// Retries that may come at once, in seconds of their rate.
const RETRY_BURST: f64 = 0.1;
/// Shortest and longest time told. Past the longest no room is promised.
const SOONEST: Micros = 250_000;
const LATEST: Micros = 120_000_000;
/// How fast it is learnt how many come back at the time told, and how few are reckoned with at least.
const LEARN: f64 = 0.005;
const FEWEST: f64 = 0.05;

/// Faults that tests plant.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DoorFault {
    /// A table past its time is taken for a fresh one.
    StaleForFresh,
}

/// Calls that may be taken of one pair.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    calls: f64,
    retries: f64,
    /// From when on room can be promised.
    free: Micros,
    /// Until when it is filled.
    at: Micros,
    /// Answered a second.
    answered: f64,
}

/// The door of one loop.
pub struct Door {
    settings: ShedSettings,
    loop_no: usize,
    counts: Vec<Count>,
    since: Micros,
    buckets: Vec<Bucket>,
    spare: f64,
    at: Micros,
    seen: Seen,
    /// Of those turned away so many come at the time told.
    come_back: f64,
    fault: Option<DoorFault>,
}

impl Door {
    /// A door that takes everything until it is given a table.
    pub fn new(now: Micros, settings: ShedSettings, loop_no: usize) -> Self {
        let cells = settings.cells();
        Self {
            settings,
            loop_no,
            counts: vec![Count::default(); cells],
            since: now,
            buckets: vec![Bucket { at: now, ..Bucket::default() }; cells],
            spare: 0.0,
            at: now,
            seen: Seen::default(),
            come_back: 1.0,
            fault: None,
        }
    }

    /// Plants a fault.
    #[doc(hidden)]
    pub fn plant(&mut self, fault: DoorFault) {
        self.fault = Some(fault);
    }

    /// Whether a call is taken. Each call is asked for once, where it is to be worked; `key_hash` is that of its
    /// identity.
    pub fn ask(
        &mut self,
        now: Micros,
        table: Option<&Table>,
        class: usize,
        tenant: usize,
        asked: Asked,
        key_hash: u64,
    ) -> Verdict {
        let cell = self.settings.cell(class, tenant);
        let told = self.seen.told(key_hash);
        let asked = if asked == Asked::First && told.is_some() { Asked::Retry } else { asked };
        let count = &mut self.counts[cell];
        match asked {
            Asked::First => count.first += 1,
            Asked::Retry => count.retries += 1,
            Asked::HandedOver => count.handed += 1,
            Asked::Owed => {}
        }
        let stale_for_fresh = self.fault == Some(DoorFault::StaleForFresh);
        let share = table.and_then(|table| table.share(if stale_for_fresh { 0 } else { now }, self.loop_no));
        let Some(share) = share else {
            self.seen.remove(key_hash);
            return Verdict::Take;
        };
        self.refill(now, share, cell);
        let rate = share.rates[cell];
        let promised = told.is_some_and(|at| now + EARLY >= at)
            || asked == Asked::Retry && told.is_none() && self.seen.in_place(now, cell);
        let taken = match asked {
            Asked::Owed => self.owe(cell, rate, f64::INFINITY),
            Asked::HandedOver => self.owe(cell, rate, OWED / 4.0),
            Asked::First => self.draw(cell),
            Asked::Retry if promised => self.owe(cell, rate, OWED),
            Asked::Retry => self.buckets[cell].retries >= 1.0 && self.draw(cell),
        };
        if !taken {
            return self.turn_away(now, (cell, rate), told.filter(|_| !promised), key_hash);
        }
        self.seen.remove(key_hash);
        if promised {
            self.counts[cell].booked += 1;
            self.come_back += LEARN * (1.0 - self.come_back);
        } else if asked == Asked::Retry {
            self.counts[cell].budgeted += 1;
            self.buckets[cell].retries -= 1.0;
        }
        Verdict::Take
    }

    /// Fills what a call of this pair may be taken from.
    fn refill(&mut self, now: Micros, share: &Share, cell: usize) {
        let since = |at: &mut Micros| now.saturating_sub(std::mem::replace(at, now)) as f64 / 1e6;
        let bucket = &mut self.buckets[cell];
        let (rate, retries) = (share.rates[cell].max(share.trickle), share.retries[cell]);
        let seconds = since(&mut bucket.at);
        bucket.calls =
            (bucket.calls + rate * seconds).min((rate * BURST).max((rate * SLOW_BURST).min(FEW)).max(1.0));
        bucket.retries = (bucket.retries + retries * seconds).min((retries * RETRY_BURST).max(1.0));
        let seconds = since(&mut self.at);
        self.spare = (self.spare + share.spare * seconds).min((share.spare * BURST).max(1.0));
        let missed = self.seen.expire(now);
        self.come_back *= (1.0 - LEARN).powf(missed as f64);
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
    fn owe(&mut self, cell: usize, rate: f64, most: f64) -> bool {
        let bucket = &mut self.buckets[cell].calls;
        // What is owed is owed where no rate is left as well, of which no bound can be made.
        let taken = *bucket >= 1.0 || most.is_infinite() || *bucket > -(rate * most);
        *bucket -= if taken { 1.0 } else { 0.0 };
        *bucket = bucket.max(-(rate * OWED + 1.0));
        taken
    }

    fn turn_away(
        &mut self,
        now: Micros,
        (cell, rate): (usize, f64),
        told: Option<Micros>,
        key_hash: u64,
    ) -> Verdict {
        self.counts[cell].shed += 1;
        // Who came too early keeps its time.
        if let Some(at) = told {
            return Verdict::Shed((at.max(now + SOONEST) - now).min(LATEST));
        }
        Verdict::Shed(self.promise(now, (cell, rate), key_hash))
    }

    /// The next time at which there is room for who is turned away now.
    fn promise(&mut self, now: Micros, (cell, rate): (usize, f64), key_hash: u64) -> Micros {
        let bucket = &mut self.buckets[cell];
        let at = bucket.free.max(now + SOONEST);
        let step = 1e6 * self.come_back.max(FEWEST) / (rate * PROMISED).max(0.01);
        bucket.free = (at + step as Micros).min(now + LATEST * 2);
        if at - now <= LATEST {
            self.seen.put(key_hash, at, cell);
            return at - now;
        }
        // No room can be promised: the times told are spread all the same.
        LATEST + key_hash % LATEST
    }

    /// A call that was taken has been refused after the door, and nothing of it has run: when it is to come again.
    pub fn refused(
        &mut self,
        now: Micros,
        table: Option<&Table>,
        class: usize,
        tenant: usize,
        key_hash: u64,
    ) -> Micros {
        let cell = self.settings.cell(class, tenant);
        self.counts[cell].refused += 1;
        // Without a share there is only what was answered to go by.
        let share = table.and_then(|table| table.share(now, self.loop_no));
        let rate = share.map_or(self.buckets[cell].answered, |share| share.rates[cell]);
        self.promise(now, (cell, rate), key_hash)
    }

    /// A call that was taken has ended otherwise.
    pub fn counted(&mut self, class: usize, tenant: usize, ended: Ended) {
        let count = &mut self.counts[self.settings.cell(class, tenant)];
        match ended {
            Ended::Served(waited) => {
                count.served += 1;
                count.waited += waited;
            }
            Ended::Late(waited) => {
                count.late += 1;
                count.waited += waited;
            }
            Ended::Failed => count.ended += 1,
        }
    }

    /// What was counted since the last time, for the control thread.
    pub fn take(&mut self, now: Micros, in_hand: u32) -> Counts {
        let span = now.saturating_sub(std::mem::replace(&mut self.since, now));
        let weight = 1.0 - (-(span as f64) / 1e6).exp();
        for (bucket, count) in self.buckets.iter_mut().zip(&self.counts) {
            let rate = f64::from(count.answered()) * 1e6 / span.max(1) as f64;
            bucket.answered += weight * (rate - bucket.answered);
        }
        let by = std::mem::replace(&mut self.counts, vec![Count::default(); self.settings.cells()]);
        Counts { span, by, in_hand }
    }

    /// Events turned away that are known.
    pub fn known(&self) -> usize {
        self.seen.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::ClassOf;
    use crate::table::Share;
    use basaltward_membership::SiteMap;

    #[test]
    fn what_is_owed_is_taken_where_a_class_has_no_share_at_all() {
        let places = SiteMap::new(vec![0], 0).expect("in the list");
        let class = ClassOf { worth: 1.0, aim: 1_000_000, deadline: 2_000_000 };
        let settings = ShedSettings::new(vec![class], Vec::new(), places);
        let share = Share { rates: vec![0.0], spare: 0.0, trickle: 0.0, retries: vec![0.0] };
        let shares = Some(vec![share]);
        let table = Table { number: 1, until: Micros::MAX, shares: shares.clone(), alone: shares };
        let mut door = Door::new(0, settings, 0);
        let mut ask = |now, asked| door.ask(now, Some(&table), 0, 0, asked, now);
        assert!((1..200).all(|now| ask(now, Asked::Owed) == Verdict::Take));
        assert!(matches!(ask(300, Asked::First), Verdict::Shed(_)));
    }
}
