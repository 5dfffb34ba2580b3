//! Detection of repeated events: a repeat joins the call in flight, gets the recorded answer, starts a new
//! run, or is refused or failed.
//!
//! An event is identified by tenant, function, `source` and `id`. What is recorded of an event that has ended
//! depends on its class:
//!
//! | end of the call | safe | keyed | unsafe |
//! | --- | --- | --- | --- |
//! | served | the answer | the answer, guarded | the answer, guarded |
//! | may have run | nothing | its send time, guarded | its send time, guarded |
//! | never ran | nothing | nothing | nothing |
//!
//! An event that may have run must not run again, so that its repeats fail. The exception is a keyed event with
//! group `all` within its window: there the workers discard repeats, so it may be sent again.
//!
//! A guarded record is never evicted, because without it an effect could run twice. Each tenant has its own
//! limit of guarded records; beyond it, new keyed and unsafe calls of that tenant alone are refused, which is
//! harmless as they never ran. Recorded answers are evicted, oldest first, when the tenant exceeds its limits.

use basaltward::{FunctionId, Group, Micros, Repeat};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Identity of an event.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity {
    /// Index of the tenant in the settings.
    pub tenant: usize,
    /// The function that the event calls.
    pub function: FunctionId,
    /// The event's `source`.
    pub source: Arc<str>,
    /// The event's `id`.
    pub id: Arc<str>,
}

/// Limits of the records of ended events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatLimits {
    /// How long an ended event is recorded, in microseconds; a keyed one at least for its window.
    pub retention: Micros,
    /// Maximum number of recorded answers of one tenant.
    pub max_answers: usize,
    /// Maximum number of keyed and unsafe events of one tenant, in flight or ended.
    pub max_guards: usize,
    /// Maximum total size of the recorded answers of one tenant, in bytes.
    pub max_bytes: usize,
}

impl Default for RepeatLimits {
    fn default() -> Self {
        Self { retention: 10_000_000, max_answers: 4_096, max_guards: 16_384, max_bytes: 16 << 20 }
    }
}

/// How to handle an event that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict<C, R> {
    /// Run it: it is new, or may run again.
    Run,
    /// Run it again, but send no attempt at or after this time: until then the workers discard repeats.
    RunUntil(Micros),
    /// It is in flight: wait for the answer of this call.
    Join(C),
    /// It was served with this answer.
    Recorded(R),
    /// It may have run, or was served with an answer that has been evicted or was too large: fail it.
    Blocked,
    /// The tenant has reached its limit of guarded events: refuse it.
    GuardLimit,
}

/// How a run of an event ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd<R> {
    /// Served with this answer, of this size in bytes.
    Served(R, usize),
    /// Not served, but an attempt may have run; the first such attempt was sent at this time.
    MayHaveRun(Micros),
    /// Not served, and no attempt can have run.
    NeverRan,
}

enum RecordState<C, R> {
    /// In flight. An earlier run that may have taken effect was first sent at `earlier_run`.
    Open { call: C, earlier_run: Option<Micros> },
    /// Served; the answer with its size in bytes, unless it has been evicted or was too large.
    Served(Option<(R, usize)>),
    /// Not served, but may have run; first sent at this time.
    MayHaveRun(Micros),
}

struct Record<C, R> {
    state: RecordState<C, R>,
    /// Whether the record must not be evicted: the event's class is keyed or unsafe.
    guarded: bool,
    /// Key in [`Tenant::ended`], once the event has ended.
    ended: Option<(Micros, u64)>,
}

struct Tenant<C, R> {
    records: HashMap<Arc<Identity>, Record<C, R>>,
    /// Ended events by the time at which their record expires.
    ended: BTreeMap<(Micros, u64), Arc<Identity>>,
    /// Events with a recorded answer, oldest first.
    answers: BTreeMap<u64, Arc<Identity>>,
    /// Number of guarded records.
    guards: usize,
    /// Total size of the recorded answers.
    bytes: usize,
}

impl<C, R> Default for Tenant<C, R> {
    fn default() -> Self {
        Self {
            records: HashMap::new(),
            ended: BTreeMap::new(),
            answers: BTreeMap::new(),
            guards: 0,
            bytes: 0,
        }
    }
}

/// The events in flight and the records of those that have ended.
pub struct Repeats<C, R> {
    limits: RepeatLimits,
    tenants: BTreeMap<usize, Tenant<C, R>>,
    sequence: u64,
}

impl<C: Copy, R: Clone> Repeats<C, R> {
    /// Creates an empty table.
    pub fn new(limits: RepeatLimits) -> Self {
        Self { limits, tenants: BTreeMap::new(), sequence: 0 }
    }

    /// Decides how to handle an event whose class has this `repeat` rule.
    pub fn check(&mut self, now: Micros, event: &Identity, repeat: Repeat) -> Verdict<C, R> {
        self.expire(now, event.tenant);
        let tenant = self.tenants.entry(event.tenant).or_default();
        match tenant.records.get(event).map(|e| &e.state) {
            Some(RecordState::Open { call, .. }) => Verdict::Join(*call),
            Some(RecordState::Served(Some((answer, _)))) => Verdict::Recorded(answer.clone()),
            Some(RecordState::Served(None)) => Verdict::Blocked,
            Some(RecordState::MayHaveRun(sent)) => match repeat {
                Repeat::Safe => Verdict::Run,
                Repeat::Keyed { group: Group::All, window } if now < sent + window => {
                    Verdict::RunUntil(sent + window)
                }
                _ => Verdict::Blocked,
            },
            None if repeat != Repeat::Safe && tenant.guards >= self.limits.max_guards => Verdict::GuardLimit,
            None => Verdict::Run,
        }
    }

    /// Records that a run of this event begins, as [`Repeats::check`] has allowed.
    pub fn start(&mut self, event: &Arc<Identity>, repeat: Repeat, call: C) {
        let tenant = self.tenants.entry(event.tenant).or_default();
        let previous = tenant.records.remove(event);
        if let Some(key) = previous.as_ref().and_then(|e| e.ended) {
            tenant.ended.remove(&key);
        }
        let earlier_run = match previous.as_ref().map(|e| &e.state) {
            Some(RecordState::MayHaveRun(sent)) => Some(*sent),
            _ => None,
        };
        let guarded = repeat != Repeat::Safe;
        tenant.guards += usize::from(guarded && previous.is_none());
        tenant.records.insert(
            event.clone(),
            Record { state: RecordState::Open { call, earlier_run }, guarded, ended: None },
        );
    }

    /// Records that the run of the event has ended.
    pub fn finish(&mut self, now: Micros, event: &Arc<Identity>, repeat: Repeat, end: CallEnd<R>) {
        let Some(tenant) = self.tenants.get_mut(&event.tenant) else { return };
        let Some(record) = tenant.records.get_mut(event) else { return };
        // A later run that never ran doesn't clear an earlier one that may have run.
        let earlier_run = match record.state {
            RecordState::Open { earlier_run, .. } => earlier_run,
            RecordState::MayHaveRun(sent) => Some(sent),
            RecordState::Served(_) => return,
        };
        let window = if let Repeat::Keyed { window, .. } = repeat { window } else { 0 };
        if let Some(key) = record.ended.take() {
            tenant.ended.remove(&key);
        }
        record.state = match (end, earlier_run) {
            (CallEnd::Served(answer, bytes), _) if bytes <= self.limits.max_bytes => {
                RecordState::Served(Some((answer, bytes)))
            }
            (CallEnd::Served(..), _) => RecordState::Served(None),
            (CallEnd::MayHaveRun(sent), earlier_run) if record.guarded => {
                RecordState::MayHaveRun(earlier_run.map_or(sent, |e| e.min(sent)))
            }
            (CallEnd::NeverRan, Some(sent)) if record.guarded => RecordState::MayHaveRun(sent),
            _ => {
                tenant.guards -= usize::from(record.guarded);
                tenant.records.remove(event);
                return;
            }
        };
        self.sequence += 1;
        let key = (now + self.limits.retention.max(window), self.sequence);
        record.ended = Some(key);
        tenant.ended.insert(key, event.clone());
        if let RecordState::Served(Some((_, bytes))) = &record.state {
            tenant.bytes += bytes;
            tenant.answers.insert(self.sequence, event.clone());
        }
        tenant.shrink(&self.limits);
    }

    /// Removes the records of a tenant that have expired.
    fn expire(&mut self, now: Micros, tenant: usize) {
        let Some(tenant) = self.tenants.get_mut(&tenant) else { return };
        while let Some(oldest) = tenant.ended.first_entry().filter(|e| e.key().0 <= now) {
            let event = oldest.get().clone();
            tenant.remove(&event);
        }
    }

    /// Number of events in flight or recorded (the size of the largest index per tenant) and total bytes of
    /// the recorded answers.
    pub fn usage(&self) -> (usize, usize) {
        let sum = |(n, b): (usize, usize), t: &Tenant<C, R>| {
            (n + t.records.len().max(t.ended.len()).max(t.answers.len()), b + t.bytes)
        };
        self.tenants.values().fold((0, 0), sum)
    }
}

impl<C, R> Tenant<C, R> {
    fn remove(&mut self, event: &Identity) {
        let Some(record) = self.records.remove(event) else { return };
        self.guards -= usize::from(record.guarded);
        if let Some(key) = record.ended {
            self.ended.remove(&key);
            self.answers.remove(&key.1);
        }
        if let RecordState::Served(Some((_, bytes))) = record.state {
            self.bytes -= bytes;
        }
    }

    /// Evicts recorded answers, oldest first, until the tenant is within its limits. For a guarded event only
    /// the answer is dropped; the record that it was served stays.
    fn shrink(&mut self, limits: &RepeatLimits) {
        while self.bytes > limits.max_bytes || self.answers.len() > limits.max_answers {
            let Some((_, event)) = self.answers.pop_first() else { return };
            let Some(record) = self.records.get_mut(&event) else { continue };
            match &mut record.state {
                RecordState::Served(answer) if record.guarded => {
                    self.bytes -= answer.take().map_or(0, |(_, bytes)| bytes);
                }
                _ => self.remove(&event),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;
    const KEYED: Repeat = Repeat::Keyed { group: Group::All, window: 3 * S };
    const ZONE: Repeat = Repeat::Keyed { group: Group::Zone, window: 3 * S };

    fn event(tenant: usize, id: &str) -> Arc<Identity> {
        Arc::new(Identity { tenant, function: "f".into(), source: "s".into(), id: id.into() })
    }

    fn small_table() -> Repeats<u32, &'static str> {
        Repeats::new(RepeatLimits { retention: 10 * S, max_answers: 2, max_guards: 2, max_bytes: 10 })
    }

    #[test]
    fn a_repeat_is_handled_by_its_class_and_by_how_the_call_ended() {
        use Verdict::*;
        let may_have_run = CallEnd::MayHaveRun(S);
        let served = CallEnd::Served("yes", 3);
        let cases = [
            (Repeat::Safe, served.clone(), 2 * S, Recorded("yes")),
            (Repeat::Safe, served.clone(), 12 * S, Run),
            (Repeat::Safe, may_have_run.clone(), 2 * S, Run),
            (Repeat::Safe, CallEnd::NeverRan, 2 * S, Run),
            (KEYED, served.clone(), 2 * S, Recorded("yes")),
            (KEYED, may_have_run.clone(), 2 * S, RunUntil(4 * S)),
            (KEYED, may_have_run.clone(), 4 * S, Blocked),
            (KEYED, CallEnd::NeverRan, 2 * S, Run),
            (ZONE, may_have_run.clone(), 2 * S, Blocked),
            (Repeat::Unsafe, served, 2 * S, Recorded("yes")),
            (Repeat::Unsafe, may_have_run.clone(), 2 * S, Blocked),
            (Repeat::Unsafe, may_have_run, 12 * S, Run),
            (Repeat::Unsafe, CallEnd::NeverRan, 2 * S, Run),
        ];
        for (repeat, end, later, expected) in cases {
            let (mut repeats, event) = (small_table(), event(0, "a"));
            assert_eq!(repeats.check(0, &event, repeat), Run);
            repeats.start(&event, repeat, 7);
            assert_eq!(repeats.check(S, &event, repeat), Join(7));
            repeats.finish(S, &event, repeat, end.clone());
            assert_eq!(repeats.check(later, &event, repeat), expected, "{repeat:?} {end:?}");
        }
    }

    #[test]
    fn a_second_run_that_never_ran_does_not_clear_the_first() {
        let (mut repeats, event) = (small_table(), event(0, "a"));
        repeats.start(&event, KEYED, 1);
        repeats.finish(S, &event, KEYED, CallEnd::MayHaveRun(S / 2));
        repeats.start(&event, KEYED, 2);
        repeats.finish(2 * S, &event, KEYED, CallEnd::NeverRan);
        assert_eq!(repeats.check(2 * S, &event, KEYED), Verdict::RunUntil(3 * S + S / 2));
        repeats.start(&event, KEYED, 3);
        repeats.finish(3 * S, &event, KEYED, CallEnd::MayHaveRun(3 * S));
        assert_eq!(repeats.check(4 * S, &event, KEYED), Verdict::Blocked);
        // The first record would have expired, the last one has not.
        assert_eq!(repeats.check(11 * S + S / 2, &event, KEYED), Verdict::Blocked);
        assert_eq!(repeats.check(13 * S, &event, KEYED), Verdict::Run);
        assert_eq!(repeats.usage(), (0, 0));
    }

    #[test]
    fn a_tenant_evicts_only_its_own_answers_and_no_guarded_record() {
        let mut repeats = small_table();
        let other = event(1, "kept");
        repeats.start(&other, Repeat::Safe, 0);
        repeats.finish(0, &other, Repeat::Safe, CallEnd::Served("kept", 4));
        for id in ["a", "b", "c"] {
            let event = event(0, id);
            repeats.start(&event, Repeat::Safe, 0);
            repeats.finish(0, &event, Repeat::Safe, CallEnd::Served("x", 4));
        }
        assert_eq!(repeats.check(1, &event(0, "a"), Repeat::Safe), Verdict::Run);
        assert_eq!(repeats.check(1, &event(0, "c"), Repeat::Safe), Verdict::Recorded("x"));
        assert_eq!(repeats.check(1, &other, Repeat::Safe), Verdict::Recorded("kept"));
        for id in ["u", "v"] {
            let event = event(0, id);
            repeats.start(&event, Repeat::Unsafe, 0);
            repeats.finish(1, &event, Repeat::Unsafe, CallEnd::Served("y", 8));
        }
        // The older answer is evicted, the record that it ran is not.
        assert_eq!(repeats.check(2, &event(0, "u"), Repeat::Unsafe), Verdict::Blocked);
        assert_eq!(repeats.check(2, &event(0, "v"), Repeat::Unsafe), Verdict::Recorded("y"));
        assert_eq!(repeats.check(2, &event(0, "w"), Repeat::Unsafe), Verdict::GuardLimit);
        assert_eq!(repeats.check(2, &event(1, "w"), Repeat::Unsafe), Verdict::Run);
        assert!(repeats.usage().1 <= 14);
    }

    #[test]
    fn a_flood_of_events_leaves_no_more_records_than_the_limits() {
        let mut repeats = small_table();
        for id in 0..1_000 {
            let event = event(0, &id.to_string());
            let repeat = if id % 2 == 0 { Repeat::Safe } else { Repeat::Unsafe };
            if repeats.check(0, &event, repeat) == Verdict::Run {
                repeats.start(&event, repeat, 0);
                repeats.finish(0, &event, repeat, CallEnd::Served("x", 1));
            }
        }
        // Two guarded records and two answers. An index that outgrew the limits once stalled the loop when it
        // was cleared.
        assert!(repeats.usage().0 <= 4, "{:?}", repeats.usage());
    }
}
