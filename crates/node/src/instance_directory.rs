//! What peers tell of where copies stand: kept, aged, told on once, and believed in place of a question to a
//! worker. Free of I/O. It decides nothing on a call: it answers what the module asks of workers in the module's own
//! terms, and an update is never more than what somebody saw.

use crate::gossip_wire::{InstanceUpdate, mark, read, write};
use basaltward::{FunctionId, Member, MembersKind, Micros, WorkerId, WorkerState};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Facts held at most; what comes beyond is not taken until others have aged.
const MOST_FACTS: usize = 16_384;
/// Functions of our own calls remembered by name at most.
const MOST_NAMES: usize = 8_192;
/// A function's first copy is told of so soon, all else so late: a datagram reaches all, and costs each of them a turn, so it waits
/// for company.
const SOON_US: (Micros, Micros) = (40_000, 1_500_000);
/// What has aged is looked for so often.
const SWEEP_US: Micros = 1_000_000;

/// What is known of one function at one worker.
struct Fact {
    /// Copies that stood there when it was last seen; 0 where none did.
    copies: u32,
    /// When that was, on our clock.
    seen: Micros,
    /// When anyone last told the fleet of it.
    told: Micros,
    /// When the module last learnt that it stands, by itself or from us.
    known: Option<Micros>,
    /// A peer has told of it: it is not ours alone.
    theirs: bool,
}

struct Worker {
    id: WorkerId,
    /// What was seen before is of an earlier life.
    started: Micros,
}

struct Name {
    function: FunctionId,
    /// When a call of ours last was for it.
    used: Micros,
}

/// A copy that stands, as the module is to hear of it.
pub type News = (WorkerId, FunctionId, u32);

/// What a scheduler and its peers have seen of copies.
pub struct InstanceDirectory {
    own: u32,
    /// A copy in use is kept at least so long.
    keep: Micros,
    peers: usize,
    /// Since when we listen, and when each peer was last heard.
    since: Micros,
    heard: HashMap<u32, Micros>,
    workers: HashMap<u32, Worker>,
    names: HashMap<u32, Name>,
    /// By function, then by worker.
    facts: BTreeMap<u32, BTreeMap<u32, Fact>>,
    count: usize,
    /// To be told, and when.
    pending: BTreeSet<(u32, u32)>,
    tell: Option<Micros>,
    sweep: Micros,
    news: Vec<News>,
}

impl InstanceDirectory {
    /// Of a scheduler of this number with so many peers, where a copy in use is kept at least for `keep`.
    pub fn new(now: Micros, (own, peers): (u32, usize), keep: Micros) -> Self {
        Self {
            own,
            keep,
            peers,
            since: now,
            heard: HashMap::new(),
            workers: HashMap::new(),
            names: HashMap::new(),
            facts: BTreeMap::new(),
            count: 0,
            pending: BTreeSet::new(),
            tell: None,
            sweep: 0,
            news: Vec::new(),
        }
    }

    /// When [`InstanceDirectory::take`] may have something.
    pub fn next_due(&self) -> Option<Micros> {
        self.tell
    }

    /// Takes the list of workers. What was seen of one that has left, or of an earlier life, is void.
    pub fn members(&mut self, kind: MembersKind, members: &[Member]) {
        let mut void = Vec::new();
        if kind == MembersKind::Whole {
            let listed: BTreeSet<u32> = members.iter().map(|m| mark(m.worker.as_str())).collect();
            void.extend(self.workers.keys().filter(|w| !listed.contains(w)));
        }
        for member in members {
            let at = mark(member.worker.as_str());
            let known = self.workers.get(&at);
            if member.state != WorkerState::Active || known.is_some_and(|w| w.started < member.started) {
                void.push(at);
            }
        }
        for at in void {
            self.workers.remove(&at);
            for facts in self.facts.values_mut() {
                self.count -= usize::from(facts.remove(&at).is_some());
            }
        }
        for member in members.iter().filter(|m| m.state == WorkerState::Active) {
            let worker = Worker { id: member.worker.clone(), started: member.started };
            self.workers.insert(mark(member.worker.as_str()), worker);
        }
    }

    /// A call of ours is for this function: what peers tell of it is of use.
    pub fn called(&mut self, now: Micros, function: &FunctionId) {
        let of = mark(function.as_str());
        if let Some(name) = self.names.get_mut(&of) {
            name.used = now;
        } else if self.names.len() < MOST_NAMES {
            self.names.insert(of, Name { function: function.clone(), used: now });
        }
    }

    /// We have seen so many copies stand there, or none.
    pub fn saw(&mut self, now: Micros, worker: &WorkerId, function: &FunctionId, copies: u32) {
        let (of, at) = (mark(function.as_str()), mark(worker.as_str()));
        let refresh = self.refresh(of, at);
        let before = self.facts.get(&of).and_then(|facts| facts.get(&at)).map_or(0, |fact| fact.copies);
        // That none stands is news only to whoever believes in one.
        if before == 0 && copies == 0 {
            return;
        }
        let Some(fact) = self.fact(of, at, now) else { return };
        let changed = (before == 0) != (copies == 0);
        (fact.copies, fact.seen, fact.known) = (copies, now, (copies > 0).then_some(now));
        if changed || now >= fact.told + refresh {
            self.pending.insert((of, at));
            // Whoever knows another copy does not ask.
            let others = self.facts.get(&of).into_iter().flatten().any(|(w, f)| *w != at && f.copies > 0);
            let by = now + if changed && !others { SOON_US.0 } else { SOON_US.1 };
            self.tell = Some(self.tell.map_or(by, |at| at.min(by)));
        }
    }

    /// How long what was told is not told again: by a different time for each scheduler, or all would see at once that
    /// it is due.
    fn refresh(&self, of: u32, at: u32) -> Micros {
        let spread = crc32fast::hash(&[self.own, of, at].map(u32::to_le_bytes).concat());
        self.keep / 4 + self.keep / 4 * Micros::from(spread >> 16) / 65_536
    }

    fn fact(&mut self, of: u32, at: u32, now: Micros) -> Option<&mut Fact> {
        if !self.workers.contains_key(&at) {
            return None;
        }
        let known = self.facts.get(&of).is_some_and(|facts| facts.contains_key(&at));
        if !known {
            if self.count >= MOST_FACTS && now >= self.sweep {
                self.sweep(now);
            }
            if self.count >= MOST_FACTS {
                return None;
            }
            self.count += 1;
        }
        let blank = Fact { copies: 0, seen: 0, told: 0, known: None, theirs: false };
        Some(self.facts.entry(of).or_default().entry(at).or_insert(blank))
    }

    /// A datagram of the peer of this number.
    pub fn heard(&mut self, now: Micros, from: u32, bytes: &[u8]) {
        let Ok(updates) = read(bytes) else { return };
        self.heard.insert(from, now);
        for update in updates {
            let (of, at) = (update.function(), update.worker());
            let seen = now.saturating_sub(update.age());
            if self.workers.get(&at).is_none_or(|w| seen < w.started) || update.age() >= self.keep {
                continue;
            }
            let Some(fact) = self.fact(of, at, now) else { continue };
            fact.theirs = true;
            if seen <= fact.seen {
                continue;
            }
            (fact.copies, fact.seen, fact.told) = (update.copies(), seen, now);
            // Told by a peer meanwhile, it is not told again.
            self.pending.remove(&(of, at));
            self.pass_on(now, of, at);
        }
    }

    /// Lets the module know of a copy, where it has calls for it and what it knows itself grows old.
    fn pass_on(&mut self, now: Micros, of: u32, at: u32) {
        let recent = self.names.get(&of).filter(|name| name.used + self.keep >= now);
        let (Some(name), Some(worker)) = (recent, self.workers.get(&at)) else { return };
        let Some(fact) = self.facts.get_mut(&of).and_then(|facts| facts.get_mut(&at)) else { return };
        if fact.copies > 0 && fact.known.is_none_or(|known| fact.seen > known + self.keep / 2) {
            fact.known = Some(now);
            self.news.push((worker.id.clone(), name.function.clone(), fact.copies));
        }
    }

    /// Whether nobody can use a copy without our hearing of it: we have listened for as long as one is kept, and lately
    /// heard at least half of the peers.
    fn hears_all(&self, now: Micros) -> bool {
        let lately = self.heard.values().filter(|at| **at + self.keep / 2 >= now).count();
        now >= self.since + self.keep && lately * 2 >= self.peers
    }

    /// The module asks whether a worker holds copies: what peers tell of the function goes to it as news, and if they
    /// tell of any copy, what they tell of this worker is the answer. If none of all of them does, no copy is in use.
    pub fn asked(&mut self, now: Micros, worker: &WorkerId, function: &FunctionId) -> Option<u32> {
        self.called(now, function);
        let (of, keep) = (mark(function.as_str()), self.keep);
        let stands = |fact: &Fact| fact.copies > 0 && now < fact.seen + keep;
        let facts = self.facts.get(&of).into_iter().flatten();
        let standing: Vec<u32> = facts.filter(|(_, fact)| stands(fact)).map(|(at, _)| *at).collect();
        if standing.is_empty() {
            return self.hears_all(now).then_some(0);
        }
        for at in &standing {
            let fact = self.facts.get_mut(&of).and_then(|facts| facts.get_mut(at));
            // It would not ask if it knew; of several questions at once the first brings all.
            if let Some(fact) = fact {
                fact.known = fact.known.filter(|known| *known == now);
            }
            self.pass_on(now, of, *at);
        }
        let here = self.facts.get(&of).and_then(|facts| facts.get(&mark(worker.as_str())));
        Some(here.filter(|fact| stands(fact)).map_or(0, |fact| fact.copies))
    }

    /// The copies that stand at a worker, where so many do as the module orders: it need not be told to load them.
    pub fn ordered(&self, now: Micros, worker: &WorkerId, function: &FunctionId, count: u32) -> Option<u32> {
        let fact = self.facts.get(&mark(function.as_str()))?.get(&mark(worker.as_str()))?;
        (fact.copies >= count && now < fact.seen + self.keep / 2).then_some(fact.copies)
    }

    /// Whether a peer has told of copies there: they are not ours to unload.
    pub fn is_shared(&self, now: Micros, worker: &WorkerId, function: &FunctionId) -> bool {
        let facts = self.facts.get(&mark(function.as_str()));
        let fact = facts.and_then(|facts| facts.get(&mark(worker.as_str())));
        fact.is_some_and(|f| f.theirs && f.copies > 0 && now < f.seen + self.keep)
    }

    /// What the module is to hear, since this was last taken.
    pub fn take_news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    /// A datagram for all peers, once it is due.
    pub fn take(&mut self, now: Micros) -> Option<Vec<u8>> {
        self.tell.take_if(|at| *at <= now)?;
        if now >= self.sweep {
            self.sweep(now);
        }
        let mut updates = Vec::new();
        while updates.len() < InstanceUpdate::MAX_PER_DATAGRAM
            && let Some((of, at)) = self.pending.pop_first()
        {
            let Some(fact) = self.facts.get_mut(&of).and_then(|facts| facts.get_mut(&at)) else { continue };
            fact.told = now;
            updates.push(InstanceUpdate::new((of, at), now.saturating_sub(fact.seen), fact.copies));
        }
        self.tell = (!self.pending.is_empty()).then_some(now);
        if updates.is_empty() { None } else { write(&updates) }
    }

    fn sweep(&mut self, now: Micros) {
        let keep = self.keep;
        self.sweep = now + SWEEP_US;
        self.facts.values_mut().for_each(|facts| facts.retain(|_, fact| now < fact.seen + keep));
        self.facts.retain(|_, facts| !facts.is_empty());
        self.count = self.facts.values().map(BTreeMap::len).sum();
        self.names.retain(|_, name| now < name.used + keep * 4);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::gossip_wire::{VERSION, write};
    use basaltward_membership::MAX_DATAGRAM_BYTES;

    const S: Micros = 1_000_000;
    const KEEP: Micros = 8 * S;

    fn member(name: &str, state: WorkerState, started: Micros) -> Member {
        Member { state, started, ..Member::active(name) }
    }

    /// Schedulers of these numbers that know workers a and b, and have called f.
    fn fleet(numbers: std::ops::Range<u32>) -> Vec<InstanceDirectory> {
        let each = numbers.map(|own| {
            let mut directory = InstanceDirectory::new(0, (own, 4), KEEP);
            let members = ["a", "b"].map(|name| member(name, WorkerState::Active, 0));
            directory.members(MembersKind::Whole, &members);
            directory
        });
        each.collect()
    }

    fn stands(at: &str, copies: u32) -> News {
        (at.into(), "f".into(), copies)
    }

    #[test]
    fn what_one_has_seen_answers_the_questions_of_all_others_until_it_is_old() {
        let [mut one, mut other] = fleet(0..2).try_into().ok().expect("two");
        let (a, b, f) = ("a".into(), "b".into(), "f".into());
        assert_eq!(other.asked(S, &b, &f), None, "nobody told: the worker is asked");
        one.saw(S, &a, &f, 2);
        assert_eq!(one.take(S), None, "what is new waits a moment for company");
        let told = one.take(S + SOON_US.0).expect("a datagram");
        other.heard(S + SOON_US.0, 1, &told);
        assert_eq!(other.take_news(), [stands("a", 2)], "it has calls for the function");
        other.heard(2 * S, 1, &told);
        assert_eq!(other.take_news(), [], "it knows");
        assert_eq!(other.asked(3 * S, &b, &f), Some(0), "none was told of there, but elsewhere");
        assert_eq!(other.asked(3 * S, &a, &f), Some(2));
        assert_eq!(other.take_news(), [stands("a", 2)], "told again, as it asks; once");
        assert_eq!(other.ordered(3 * S, &a, &f, 2), Some(2), "an order would bring nothing");
        assert_eq!([other.ordered(3 * S, &a, &f, 3), other.ordered(3 * S, &b, &f, 1)], [None, None]);
        assert_eq!(other.ordered(2 * S + KEEP / 2, &a, &f, 2), None, "it may go soon");
        assert_eq!(other.asked(2 * S + KEEP, &b, &f), None, "a copy unused for so long may be gone");
    }

    #[test]
    fn what_a_peer_has_told_is_not_told_again_until_it_is_due() {
        let mut fleet = fleet(0..40);
        let (a, f) = ("a".into(), "f".into());
        fleet[0].saw(S, &a, &f, 1);
        let told = fleet[0].take(2 * S).expect("a datagram");
        for directory in &mut fleet[1..] {
            directory.heard(2 * S, 1, &told);
            directory.saw(3 * S, &a, &f, 1);
            assert_eq!(directory.take(4 * S), None);
        }
        // By then it is, for some before others.
        let mut again = 0;
        for directory in &mut fleet[1..] {
            directory.saw(2 * S + KEEP * 3 / 8, &a, &f, 1);
            again += usize::from(directory.take(4 * S + KEEP * 3 / 8).is_some());
        }
        assert!((8..32).contains(&again), "{again}");
    }

    #[test]
    fn a_copy_that_is_gone_or_a_worker_that_started_anew_is_not_believed_in() {
        let [mut one, mut other, mut third] = fleet(0..3).try_into().ok().expect("three");
        let (a, b, f) = ("a".into(), "b".into(), "f".into());
        one.saw(S, &a, &f, 1);
        one.saw(S, &b, &f, 1);
        let told = one.take(2 * S).expect("a datagram");
        for directory in [&mut other, &mut third] {
            directory.heard(2 * S, 1, &told);
        }
        // It was used there, and has gone since: all hear of that.
        other.saw(3 * S, &a, &f, 0);
        let gone = other.take(5 * S).expect("a datagram");
        third.heard(5 * S, 1, &gone);
        assert_eq!(third.asked(5 * S, &a, &f), Some(0));
        third.members(MembersKind::Changes, &[member("b", WorkerState::Active, 5 * S)]);
        assert_eq!(third.asked(5 * S, &b, &f), None);
        let of_b = |age| write(&[InstanceUpdate::new((mark("f"), mark("b")), age, 1)]).expect("it fits");
        third.heard(5 * S, 1, &of_b(S));
        assert_eq!(third.asked(5 * S, &b, &f), None, "seen before it started");
        third.heard(6 * S, 1, &of_b(0));
        assert_eq!(third.asked(6 * S, &b, &f), Some(1));
        third.members(MembersKind::Changes, &[member("b", WorkerState::Leaving, 5 * S)]);
        third.heard(6 * S, 1, &of_b(0));
        assert_eq!(third.asked(6 * S, &b, &f), None);
        third.members(MembersKind::Whole, &[]);
        assert_eq!((third.count, third.workers.len()), (0, 0));
    }

    #[test]
    fn silence_of_all_says_that_no_copy_is_in_use_and_silence_of_most_says_nothing() {
        let [mut many, mut few] = fleet(0..2).try_into().ok().expect("two");
        let (a, f, g) = ("a".into(), "f".into(), "g".into());
        let told = write(&[InstanceUpdate::new((mark("f"), mark("a")), 0, 1)]).expect("it fits");
        for second in 1..12 {
            let now = second * S;
            many.heard(now, 1, &told);
            many.heard(now, 2 + second as u32 % 2, &told);
            few.heard(now, 1, &told);
            // As long as one could stand since before we listened, the worker is asked.
            assert_eq!(many.asked(now, &a, &g), (now >= KEEP).then_some(0), "{second}");
            assert_eq!((few.asked(now, &a, &g), few.asked(now, &a, &f)), (None, Some(1)));
        }
        assert_eq!(many.asked(11 * S + KEEP, &a, &g), None, "cut off since");
    }

    #[test]
    fn copies_that_peers_use_are_not_ours_to_unload() {
        let [mut one, mut other] = fleet(0..2).try_into().ok().expect("two");
        let (a, f) = ("a".into(), "f".into());
        one.saw(S, &a, &f, 1);
        assert!(!one.is_shared(S, &a, &f), "ours alone");
        let told = one.take(2 * S).expect("a datagram");
        other.heard(2 * S, 1, &told);
        assert!(other.is_shared(2 * S, &a, &f) && !other.is_shared(2 * S + KEEP, &a, &f));
    }

    #[test]
    fn whatever_comes_takes_bounded_memory_and_a_datagram_holds_what_it_may() {
        let [mut one, mut other] = fleet(0..2).try_into().ok().expect("two");
        let update = |of: u32| InstanceUpdate::new((of, mark("a")), 0, 1);
        for first in (0..MOST_FACTS as u32 * 2).step_by(InstanceUpdate::MAX_PER_DATAGRAM) {
            let updates: Vec<_> =
                (first..first + InstanceUpdate::MAX_PER_DATAGRAM as u32).map(update).collect();
            let bytes = write(&updates).expect("it fits");
            assert!(
                bytes.len() <= MAX_DATAGRAM_BYTES && bytes.len() > MAX_DATAGRAM_BYTES - 12,
                "{}",
                bytes.len()
            );
            one.heard(S, 1, &bytes);
        }
        assert_eq!(one.count, MOST_FACTS);
        assert_eq!(one.facts.values().map(BTreeMap::len).sum::<usize>(), MOST_FACTS);
        for wrong in [&[][..], &[VERSION], &[VERSION, 200, 1], &[1, 0], &[VERSION; 300]] {
            other.heard(S, 1, wrong);
        }
        let of_another = InstanceUpdate::new((1, mark("unknown")), 0, 1);
        other.heard(S, 1, &write(&[of_another]).expect("it fits"));
        assert_eq!(other.count, 0);
        // The old make room.
        one.heard(2 * KEEP, 1, &write(&[update(u32::MAX)]).expect("it fits"));
        assert_eq!(one.count, 1);
    }
}
