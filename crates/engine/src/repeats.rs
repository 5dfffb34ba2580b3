//! What a repeated event gets: the call in hand, the recorded answer, a new try, or neither.
//!
//! An event is named by tenant, function, `source` and `id`. What is remembered of one that has ended depends
//! on its class:
//!
//! | ended | safe | keyed | unsafe |
//! | --- | --- | --- | --- |
//! | served | its answer | its answer, guarded | its answer, guarded |
//! | may have run | nothing | a new try within group `all` and the window, else failed | failed |
//! | never ran | nothing | nothing | nothing |
//!
//! A guarded record is never pushed out by others: forgetting it could run an effect twice. Each tenant has a
//! number of its own, and past it new keyed and unsafe calls of this tenant alone are refused, which is
//! harmless as they never ran. Answers to safe calls go, oldest first, when the tenant's own room is short.

use basaltward::{FunctionId, Group, Micros, Repeat};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Names an event.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity {
    /// Position of the tenant.
    pub tenant: usize,
    /// The function.
    pub function: FunctionId,
    /// The event's `source`.
    pub source: Arc<str>,
    /// The event's `id`.
    pub id: Arc<str>,
}

/// Bounds on what is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatLimits {
    /// How long an ended event is remembered; a keyed one at least for its window.
    pub retention: Micros,
    /// Most ended safe events of one tenant.
    pub max_answers: usize,
    /// Most keyed and unsafe events of one tenant, in hand or ended.
    pub max_guards: usize,
    /// Most bytes of recorded answers of one tenant.
    pub max_bytes: usize,
}

impl Default for RepeatLimits {
    fn default() -> Self {
        Self { retention: 10_000_000, max_answers: 4_096, max_guards: 16_384, max_bytes: 16 << 20 }
    }
}

/// What is to be done with an event that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict<C, R> {
    /// Nothing stands against a first or a new try.
    Run,
    /// A new try whose sends all come before this time, while the workers still drop repeats.
    RunUntil(Micros),
    /// It is in hand: wait for its answer.
    Join(C),
    /// It was served: this is the answer.
    Recorded(R),
    /// It may have run, or was served and the answer is gone: only a failure may be told.
    Blocked,
    /// No room to guard another one of this tenant: refuse.
    GuardLimit,
}

/// How an event's try ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd<R> {
    /// Served with this answer, of so many bytes.
    Served(R, usize),
    /// Not served, and an attempt first sent at this time may have run.
    MayHaveRun(Micros),
    /// Not served, and every attempt is known not to have run.
    NeverRan,
}

enum Known<C, R> {
    Open { call: C, earlier: Option<Micros> },
    Served(Option<(R, usize)>),
    MayHaveRun(Micros),
}

struct Entry<C, R> {
    known: Known<C, R>,
    guarded: bool,
    /// Its place among the ended ones, once it has ended.
    ended: Option<(Micros, u64)>,
}

struct Tenant<C, R> {
    entries: HashMap<Arc<Identity>, Entry<C, R>>,
    /// Ended events by the time at which they are forgotten.
    ended: BTreeMap<(Micros, u64), Arc<Identity>>,
    /// Those with a recorded answer, oldest first.
    answers: BTreeMap<u64, Arc<Identity>>,
    guards: usize,
    bytes: usize,
}

impl<C, R> Default for Tenant<C, R> {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
            ended: BTreeMap::new(),
            answers: BTreeMap::new(),
            guards: 0,
            bytes: 0,
        }
    }
}

/// The events in hand and those remembered.
pub struct Repeats<C, R> {
    limits: RepeatLimits,
    tenants: BTreeMap<usize, Tenant<C, R>>,
    sequence: u64,
}

impl<C: Copy, R: Clone> Repeats<C, R> {
    /// Nothing known yet.
    pub fn new(limits: RepeatLimits) -> Self {
        Self { limits, tenants: BTreeMap::new(), sequence: 0 }
    }

    /// What is to be done with an event of a class with this `repeat`.
    pub fn check(&mut self, now: Micros, event: &Identity, repeat: Repeat) -> Verdict<C, R> {
        self.expire(now, event.tenant);
        let tenant = self.tenants.entry(event.tenant).or_default();
        match tenant.entries.get(event).map(|e| &e.known) {
            Some(Known::Open { call, .. }) => Verdict::Join(*call),
            Some(Known::Served(Some((answer, _)))) => Verdict::Recorded(answer.clone()),
            Some(Known::Served(None)) => Verdict::Blocked,
            Some(Known::MayHaveRun(sent)) => match repeat {
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

    /// A try of this event begins; [`Repeats::judge`] has allowed it.
    pub fn start(&mut self, event: &Arc<Identity>, repeat: Repeat, call: C) {
        let tenant = self.tenants.entry(event.tenant).or_default();
        let before = tenant.entries.remove(event);
        if let Some(place) = before.as_ref().and_then(|e| e.ended) {
            tenant.ended.remove(&place);
        }
        let earlier = match before.as_ref().map(|e| &e.known) {
            Some(Known::MayHaveRun(sent)) => Some(*sent),
            _ => None,
        };
        let guarded = repeat != Repeat::Safe;
        tenant.guards += usize::from(guarded && before.is_none());
        tenant
            .entries
            .insert(event.clone(), Entry { known: Known::Open { call, earlier }, guarded, ended: None });
    }

    /// The event's try has ended.
    pub fn finish(&mut self, now: Micros, event: &Arc<Identity>, repeat: Repeat, how: CallEnd<R>) {
        let Some(tenant) = self.tenants.get_mut(&event.tenant) else { return };
        let Some(entry) = tenant.entries.get_mut(event) else { return };
        // An earlier try that may have run is not undone by a later one that did not.
        let earlier = match entry.known {
            Known::Open { earlier, .. } => earlier,
            Known::MayHaveRun(sent) => Some(sent),
            Known::Served(_) => return,
        };
        let window = if let Repeat::Keyed { window, .. } = repeat { window } else { 0 };
        if let Some(place) = entry.ended.take() {
            tenant.ended.remove(&place);
        }
        entry.known = match (how, earlier) {
            (CallEnd::Served(answer, bytes), _) if bytes <= self.limits.max_bytes => {
                Known::Served(Some((answer, bytes)))
            }
            (CallEnd::Served(..), _) => Known::Served(None),
            (CallEnd::MayHaveRun(sent), earlier) if entry.guarded => {
                Known::MayHaveRun(earlier.map_or(sent, |e| e.min(sent)))
            }
            (CallEnd::NeverRan, Some(sent)) if entry.guarded => Known::MayHaveRun(sent),
            _ => {
                tenant.guards -= usize::from(entry.guarded);
                tenant.entries.remove(event);
                return;
            }
        };
        self.sequence += 1;
        let place = (now + self.limits.retention.max(window), self.sequence);
        entry.ended = Some(place);
        tenant.ended.insert(place, event.clone());
        if let Known::Served(Some((_, bytes))) = &entry.known {
            tenant.bytes += bytes;
            tenant.answers.insert(self.sequence, event.clone());
        }
        tenant.shrink(&self.limits);
    }

    /// Forgets what is past its time.
    fn expire(&mut self, now: Micros, tenant: usize) {
        let Some(tenant) = self.tenants.get_mut(&tenant) else { return };
        while let Some(oldest) = tenant.ended.first_entry().filter(|e| e.key().0 <= now) {
            let event = oldest.get().clone();
            tenant.drop_entry(&event);
        }
    }

    /// Events in hand or remembered, with all that is kept to find them, and bytes of recorded answers.
    pub fn size(&self) -> (usize, usize) {
        let sum = |(n, b): (usize, usize), t: &Tenant<C, R>| {
            (n + t.entries.len().max(t.ended.len()).max(t.answers.len()), b + t.bytes)
        };
        self.tenants.values().fold((0, 0), sum)
    }
}

impl<C, R> Tenant<C, R> {
    fn drop_entry(&mut self, event: &Identity) {
        let Some(entry) = self.entries.remove(event) else { return };
        self.guards -= usize::from(entry.guarded);
        if let Some(place) = entry.ended {
            self.ended.remove(&place);
            self.answers.remove(&place.1);
        }
        if let Known::Served(Some((_, bytes))) = entry.known {
            self.bytes -= bytes;
        }
    }

    /// Lets recorded answers go, oldest first, until the tenant keeps its bounds. Of a guarded event only
    /// the answer goes, the record that it was served stays.
    fn shrink(&mut self, limits: &RepeatLimits) {
        while self.bytes > limits.max_bytes || self.answers.len() > limits.max_answers {
            let Some((_, event)) = self.answers.pop_first() else { return };
            let Some(entry) = self.entries.get_mut(&event) else { continue };
            match &mut entry.known {
                Known::Served(answer) if entry.guarded => {
                    self.bytes -= answer.take().map_or(0, |(_, bytes)| bytes);
                }
                _ => self.drop_entry(&event),
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

    fn small() -> Repeats<u32, &'static str> {
        Repeats::new(RepeatLimits { retention: 10 * S, max_answers: 2, max_guards: 2, max_bytes: 10 })
    }

    #[test]
    fn what_a_repeat_gets_follows_from_class_and_end() {
        use Verdict::*;
        let may = CallEnd::MayHaveRun(S);
        let served = CallEnd::Served("yes", 3);
        let cases = [
            (Repeat::Safe, served.clone(), 2 * S, Recorded("yes")),
            (Repeat::Safe, served.clone(), 12 * S, Run),
            (Repeat::Safe, may.clone(), 2 * S, Run),
            (Repeat::Safe, CallEnd::NeverRan, 2 * S, Run),
            (KEYED, served.clone(), 2 * S, Recorded("yes")),
            (KEYED, may.clone(), 2 * S, RunUntil(4 * S)),
            (KEYED, may.clone(), 4 * S, Blocked),
            (KEYED, CallEnd::NeverRan, 2 * S, Run),
            (ZONE, may.clone(), 2 * S, Blocked),
            (Repeat::Unsafe, served, 2 * S, Recorded("yes")),
            (Repeat::Unsafe, may.clone(), 2 * S, Blocked),
            (Repeat::Unsafe, may, 12 * S, Run),
            (Repeat::Unsafe, CallEnd::NeverRan, 2 * S, Run),
        ];
        for (repeat, how, later, expected) in cases {
            let (mut repeats, event) = (small(), event(0, "a"));
            assert_eq!(repeats.check(0, &event, repeat), Run);
            repeats.start(&event, repeat, 7);
            assert_eq!(repeats.check(S, &event, repeat), Join(7));
            repeats.finish(S, &event, repeat, how.clone());
            assert_eq!(repeats.check(later, &event, repeat), expected, "{repeat:?} {how:?}");
        }
    }

    #[test]
    fn a_second_try_that_never_ran_does_not_clear_the_first() {
        let (mut repeats, event) = (small(), event(0, "a"));
        repeats.start(&event, KEYED, 1);
        repeats.finish(S, &event, KEYED, CallEnd::MayHaveRun(S / 2));
        repeats.start(&event, KEYED, 2);
        repeats.finish(2 * S, &event, KEYED, CallEnd::NeverRan);
        assert_eq!(repeats.check(2 * S, &event, KEYED), Verdict::RunUntil(3 * S + S / 2));
        repeats.start(&event, KEYED, 3);
        repeats.finish(3 * S, &event, KEYED, CallEnd::MayHaveRun(3 * S));
        assert_eq!(repeats.check(4 * S, &event, KEYED), Verdict::Blocked);
        // The first record's time has come, the last one's has not.
        assert_eq!(repeats.check(11 * S + S / 2, &event, KEYED), Verdict::Blocked);
        assert_eq!(repeats.check(13 * S, &event, KEYED), Verdict::Run);
        assert_eq!(repeats.size(), (0, 0));
    }

    #[test]
    fn one_tenants_repeats_push_out_its_own_answers_only_and_no_guard() {
        let mut repeats = small();
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
        // The older answer had to go, the record that it ran had not.
        assert_eq!(repeats.check(2, &event(0, "u"), Repeat::Unsafe), Verdict::Blocked);
        assert_eq!(repeats.check(2, &event(0, "v"), Repeat::Unsafe), Verdict::Recorded("y"));
        assert_eq!(repeats.check(2, &event(0, "w"), Repeat::Unsafe), Verdict::GuardLimit);
        assert_eq!(repeats.check(2, &event(1, "w"), Repeat::Unsafe), Verdict::Run);
        assert!(repeats.size().1 <= 14);
    }

    #[test]
    fn a_flood_of_events_leaves_no_more_behind_than_the_bounds() {
        let mut repeats = small();
        for id in 0..1_000 {
            let event = event(0, &id.to_string());
            let repeat = if id % 2 == 0 { Repeat::Safe } else { Repeat::Unsafe };
            if repeats.check(0, &event, repeat) == Verdict::Run {
                repeats.start(&event, repeat, 0);
                repeats.finish(0, &event, repeat, CallEnd::Served("x", 1));
            }
        }
        // Two guards and two answers: an index that outgrew them once stalled the loop as it emptied.
        assert!(repeats.size().0 <= 4, "{:?}", repeats.size());
    }
}
