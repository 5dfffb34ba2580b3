//! What peers tell of where copies stand: kept, aged, told on once, and believed in place of a question to a
//! worker. Free of I/O. It decides nothing on a call: it answers what the module asks of workers in the module's own
//! terms, and an update is never more than what somebody saw.

use crate::gossip_wire::{InstanceUpdate, decode, encode, name_hash};
use basaltward::{FunctionId, Member, MembersKind, Micros, State, WorkerId};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Facts held at most; what comes beyond is not taken until others have aged.
const MAX_OBSERVATIONS: usize = 16_384;
/// Functions of our own calls remembered by name at most.
const MAX_FUNCTIONS: usize = 8_192;
/// Delay until the first known copy of a function is announced. A datagram reaches every peer and costs each of them a
/// turn of its loop, so updates are batched.
const FIRST_COPY_DELAY_US: Micros = 40_000;
/// Delay until any other update is announced.
const UPDATE_DELAY_US: Micros = 1_500_000;
/// What has aged is looked for so often.
const SWEEP_US: Micros = 1_000_000;

/// What is known of one function at one worker.
struct Observation {
    /// Copies that stood there when it was last seen; 0 where none did.
    copies: u32,
    /// When that was, on our clock.
    seen: Micros,
    /// When anyone last told the fleet of it.
    announced: Micros,
    /// When the module last learnt that it stands, by itself or from us.
    known_to_module: Option<Micros>,
    /// A peer has told of it: it is not ours alone.
    from_peer: bool,
}

struct Worker {
    id: WorkerId,
    /// What was seen before is of an earlier life.
    started: Micros,
}

struct CalledFunction {
    function: FunctionId,
    /// When a call of ours last was for it.
    used: Micros,
}

/// A copy that stands, as the module is to hear of it.
pub type CopyReport = (WorkerId, FunctionId, u32);

/// What a scheduler and its peers have seen of copies.
pub struct InstanceDirectory {
    own: u32,
    /// A copy in use is kept at least so long.
    keep: Micros,
    peers: usize,
    /// Since when we listen, and when each peer was last heard.
    listening_since: Micros,
    last_received: HashMap<u32, Micros>,
    workers: HashMap<u32, Worker>,
    functions: HashMap<u32, CalledFunction>,
    /// By function, then by worker.
    observations: BTreeMap<u32, BTreeMap<u32, Observation>>,
    count: usize,
    /// To be told, and when.
    pending: BTreeSet<(u32, u32)>,
    announce_at: Option<Micros>,
    next_sweep: Micros,
    reports: Vec<CopyReport>,
}

impl InstanceDirectory {
    /// Of a scheduler of this number with so many peers, where a copy in use is kept at least for `keep`.
    pub fn new(now: Micros, (own, peers): (u32, usize), keep: Micros) -> Self {
        Self {
            own,
            keep,
            peers,
            listening_since: now,
            last_received: HashMap::new(),
            workers: HashMap::new(),
            functions: HashMap::new(),
            observations: BTreeMap::new(),
            count: 0,
            pending: BTreeSet::new(),
            announce_at: None,
            next_sweep: 0,
            reports: Vec::new(),
        }
    }

    /// When [`InstanceDirectory::take`] may have something.
    pub fn next_due(&self) -> Option<Micros> {
        self.announce_at
    }

    /// Takes the list of workers. What was seen of one that has left, or of an earlier life, is void.
    pub fn update_members(&mut self, kind: MembersKind, members: &[Member]) {
        let mut void = Vec::new();
        if kind == MembersKind::Whole {
            let listed: BTreeSet<u32> = members.iter().map(|m| name_hash(m.worker.as_str())).collect();
            void.extend(self.workers.keys().filter(|w| !listed.contains(w)));
        }
        for member in members {
            let at = name_hash(member.worker.as_str());
            let known = self.workers.get(&at);
            if member.state != State::Active || known.is_some_and(|w| w.started < member.started) {
                void.push(at);
            }
        }
        for at in void {
            self.workers.remove(&at);
            for observations in self.observations.values_mut() {
                self.count -= usize::from(observations.remove(&at).is_some());
            }
        }
        for member in members.iter().filter(|m| m.state == State::Active) {
            let worker = Worker { id: member.worker.clone(), started: member.started };
            self.workers.insert(name_hash(member.worker.as_str()), worker);
        }
    }

    /// A call of ours is for this function: what peers tell of it is of use.
    pub fn note_call(&mut self, now: Micros, function: &FunctionId) {
        let of = name_hash(function.as_str());
        if let Some(name) = self.functions.get_mut(&of) {
            name.used = now;
        } else if self.functions.len() < MAX_FUNCTIONS {
            self.functions.insert(of, CalledFunction { function: function.clone(), used: now });
        }
    }

    /// We have seen so many copies stand there, or none.
    pub fn observe(&mut self, now: Micros, worker: &WorkerId, function: &FunctionId, copies: u32) {
        let (of, at) = (name_hash(function.as_str()), name_hash(worker.as_str()));
        let announce_interval = self.announce_interval(of, at);
        let before = self
            .observations
            .get(&of)
            .and_then(|observations| observations.get(&at))
            .map_or(0, |observation| observation.copies);
        // That none stands is news only to whoever believes in one.
        if before == 0 && copies == 0 {
            return;
        }
        let Some(observation) = self.entry(of, at, now) else { return };
        let changed = (before == 0) != (copies == 0);
        (observation.copies, observation.seen, observation.known_to_module) =
            (copies, now, (copies > 0).then_some(now));
        if changed || now >= observation.announced + announce_interval {
            self.pending.insert((of, at));
            // Whoever knows another copy does not ask.
            let others =
                self.observations.get(&of).into_iter().flatten().any(|(w, f)| *w != at && f.copies > 0);
            let by = now + if changed && !others { FIRST_COPY_DELAY_US } else { UPDATE_DELAY_US };
            self.announce_at = Some(self.announce_at.map_or(by, |at| at.min(by)));
        }
    }

    /// How long what was told is not told again: by a different time for each scheduler, or all would see at once that
    /// it is due.
    fn announce_interval(&self, of: u32, at: u32) -> Micros {
        let spread = crc32fast::hash(&[self.own, of, at].map(u32::to_le_bytes).concat());
        self.keep / 4 + self.keep / 4 * Micros::from(spread >> 16) / 65_536
    }

    fn entry(&mut self, of: u32, at: u32, now: Micros) -> Option<&mut Observation> {
        if !self.workers.contains_key(&at) {
            return None;
        }
        let known = self.observations.get(&of).is_some_and(|observations| observations.contains_key(&at));
        if !known {
            if self.count >= MAX_OBSERVATIONS && now >= self.next_sweep {
                self.sweep(now);
            }
            if self.count >= MAX_OBSERVATIONS {
                return None;
            }
            self.count += 1;
        }
        let blank = Observation { copies: 0, seen: 0, announced: 0, known_to_module: None, from_peer: false };
        Some(self.observations.entry(of).or_default().entry(at).or_insert(blank))
    }

    /// A datagram of the peer of this number.
    pub fn receive(&mut self, now: Micros, from: u32, bytes: &[u8]) {
        let Ok(updates) = decode(bytes) else { return };
        self.last_received.insert(from, now);
        for update in updates {
            let (of, at) = (update.function(), update.worker());
            let seen = now.saturating_sub(update.age());
            if self.workers.get(&at).is_none_or(|w| seen < w.started) || update.age() >= self.keep {
                continue;
            }
            let Some(observation) = self.entry(of, at, now) else { continue };
            observation.from_peer = true;
            if seen <= observation.seen {
                continue;
            }
            (observation.copies, observation.seen, observation.announced) = (update.copies(), seen, now);
            // Told by a peer meanwhile, it is not told again.
            self.pending.remove(&(of, at));
            self.report_to_module(now, of, at);
        }
    }

    /// Lets the module know of a copy, where it has calls for it and what it knows itself grows old.
    fn report_to_module(&mut self, now: Micros, of: u32, at: u32) {
        let recent = self.functions.get(&of).filter(|name| name.used + self.keep >= now);
        let (Some(name), Some(worker)) = (recent, self.workers.get(&at)) else { return };
        let Some(observation) =
            self.observations.get_mut(&of).and_then(|observations| observations.get_mut(&at))
        else {
            return;
        };
        if observation.copies > 0
            && observation.known_to_module.is_none_or(|known| observation.seen > known + self.keep / 2)
        {
            observation.known_to_module = Some(now);
            self.reports.push((worker.id.clone(), name.function.clone(), observation.copies));
        }
    }

    /// Whether nobody can use a copy without our hearing of it: we have listened for as long as one is kept, and lately
    /// heard at least half of the peers.
    fn silence_is_conclusive(&self, now: Micros) -> bool {
        let recent = self.last_received.values().filter(|at| **at + self.keep / 2 >= now).count();
        now >= self.listening_since + self.keep && recent * 2 >= self.peers
    }

    /// The module asks whether a worker holds copies: what peers tell of the function goes to it as news, and if they
    /// tell of any copy, what they tell of this worker is the answer. If none of all of them does, no copy is in use.
    pub fn query(&mut self, now: Micros, worker: &WorkerId, function: &FunctionId) -> Option<u32> {
        self.note_call(now, function);
        let (of, keep) = (name_hash(function.as_str()), self.keep);
        let is_loaded = |observation: &Observation| observation.copies > 0 && now < observation.seen + keep;
        let observations = self.observations.get(&of).into_iter().flatten();
        let loaded: Vec<u32> =
            observations.filter(|(_, observation)| is_loaded(observation)).map(|(at, _)| *at).collect();
        if loaded.is_empty() {
            return self.silence_is_conclusive(now).then_some(0);
        }
        for at in &loaded {
            let observation =
                self.observations.get_mut(&of).and_then(|observations| observations.get_mut(at));
            // It would not ask if it knew; of several questions at once the first brings all.
            if let Some(observation) = observation {
                observation.known_to_module = observation.known_to_module.filter(|known| *known == now);
            }
            self.report_to_module(now, of, *at);
        }
        let here =
            self.observations.get(&of).and_then(|observations| observations.get(&name_hash(worker.as_str())));
        Some(here.filter(|observation| is_loaded(observation)).map_or(0, |observation| observation.copies))
    }

    /// The copies that stand at a worker, where so many do as the module orders: it need not be told to load them.
    pub fn copies_for_order(
        &self,
        now: Micros,
        worker: &WorkerId,
        function: &FunctionId,
        count: u32,
    ) -> Option<u32> {
        let observation =
            self.observations.get(&name_hash(function.as_str()))?.get(&name_hash(worker.as_str()))?;
        (observation.copies >= count && now < observation.seen + self.keep / 2).then_some(observation.copies)
    }

    /// Whether a peer has told of copies there: they are not ours to unload.
    pub fn is_shared(&self, now: Micros, worker: &WorkerId, function: &FunctionId) -> bool {
        let observations = self.observations.get(&name_hash(function.as_str()));
        let observation = observations.and_then(|observations| observations.get(&name_hash(worker.as_str())));
        observation.is_some_and(|f| f.from_peer && f.copies > 0 && now < f.seen + self.keep)
    }

    /// What the module is to hear, since this was last taken.
    pub fn take_reports(&mut self) -> Vec<CopyReport> {
        std::mem::take(&mut self.reports)
    }

    /// A datagram for all peers, once it is due.
    pub fn next_datagram(&mut self, now: Micros) -> Option<Vec<u8>> {
        self.announce_at.take_if(|at| *at <= now)?;
        if now >= self.next_sweep {
            self.sweep(now);
        }
        let mut updates = Vec::new();
        while updates.len() < InstanceUpdate::MAX_PER_DATAGRAM
            && let Some((of, at)) = self.pending.pop_first()
        {
            let Some(observation) =
                self.observations.get_mut(&of).and_then(|observations| observations.get_mut(&at))
            else {
                continue;
            };
            observation.announced = now;
            updates.push(InstanceUpdate::new(
                (of, at),
                now.saturating_sub(observation.seen),
                observation.copies,
            ));
        }
        self.announce_at = (!self.pending.is_empty()).then_some(now);
        if updates.is_empty() { None } else { encode(&updates) }
    }

    fn sweep(&mut self, now: Micros) {
        let keep = self.keep;
        self.next_sweep = now + SWEEP_US;
        self.observations
            .values_mut()
            .for_each(|observations| observations.retain(|_, observation| now < observation.seen + keep));
        self.observations.retain(|_, observations| !observations.is_empty());
        self.count = self.observations.values().map(BTreeMap::len).sum();
        self.functions.retain(|_, name| now < name.used + keep * 4);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::gossip_wire::{VERSION, encode};
    use basaltward_membership::MAX_DATAGRAM_BYTES;

    const S: Micros = 1_000_000;
    const KEEP: Micros = 8 * S;

    fn member(name: &str, state: State, started: Micros) -> Member {
        Member { state, started, ..Member::active(name) }
    }

    /// Schedulers of these numbers that know workers a and b, and have called f.
    fn fleet(numbers: std::ops::Range<u32>) -> Vec<InstanceDirectory> {
        let each = numbers.map(|own| {
            let mut directory = InstanceDirectory::new(0, (own, 4), KEEP);
            let members = ["a", "b"].map(|name| member(name, State::Active, 0));
            directory.update_members(MembersKind::Whole, &members);
            directory
        });
        each.collect()
    }

    fn is_loaded(at: &str, copies: u32) -> CopyReport {
        (at.into(), "f".into(), copies)
    }

    #[test]
    fn what_one_has_seen_answers_the_questions_of_all_others_until_it_is_old() {
        let [mut one, mut other] = fleet(0..2).try_into().ok().expect("two");
        let (a, b, f) = ("a".into(), "b".into(), "f".into());
        assert_eq!(other.query(S, &b, &f), None, "nobody told: the worker is asked");
        one.observe(S, &a, &f, 2);
        assert_eq!(one.next_datagram(S), None, "what is new waits a moment for company");
        let told = one.next_datagram(S + FIRST_COPY_DELAY_US).expect("a datagram");
        other.receive(S + FIRST_COPY_DELAY_US, 1, &told);
        assert_eq!(other.take_reports(), [is_loaded("a", 2)], "it has calls for the function");
        other.receive(2 * S, 1, &told);
        assert_eq!(other.take_reports(), [], "it knows");
        assert_eq!(other.query(3 * S, &b, &f), Some(0), "none was told of there, but elsewhere");
        assert_eq!(other.query(3 * S, &a, &f), Some(2));
        assert_eq!(other.take_reports(), [is_loaded("a", 2)], "told again, as it asks; once");
        assert_eq!(other.copies_for_order(3 * S, &a, &f, 2), Some(2), "an order would bring nothing");
        assert_eq!(
            [other.copies_for_order(3 * S, &a, &f, 3), other.copies_for_order(3 * S, &b, &f, 1)],
            [None, None]
        );
        assert_eq!(other.copies_for_order(2 * S + KEEP / 2, &a, &f, 2), None, "it may go soon");
        assert_eq!(other.query(2 * S + KEEP, &b, &f), None, "a copy unused for so long may be gone");
    }

    #[test]
    fn what_a_peer_has_told_is_not_told_again_until_it_is_due() {
        let mut fleet = fleet(0..40);
        let (a, f) = ("a".into(), "f".into());
        fleet[0].observe(S, &a, &f, 1);
        let told = fleet[0].next_datagram(2 * S).expect("a datagram");
        for directory in &mut fleet[1..] {
            directory.receive(2 * S, 1, &told);
            directory.observe(3 * S, &a, &f, 1);
            assert_eq!(directory.next_datagram(4 * S), None);
        }
        // By then it is, for some before others.
        let mut again = 0;
        for directory in &mut fleet[1..] {
            directory.observe(2 * S + KEEP * 3 / 8, &a, &f, 1);
            again += usize::from(directory.next_datagram(4 * S + KEEP * 3 / 8).is_some());
        }
        assert!((8..32).contains(&again), "{again}");
    }

    #[test]
    fn a_copy_that_is_gone_or_a_worker_that_started_anew_is_not_believed_in() {
        let [mut one, mut other, mut third] = fleet(0..3).try_into().ok().expect("three");
        let (a, b, f) = ("a".into(), "b".into(), "f".into());
        one.observe(S, &a, &f, 1);
        one.observe(S, &b, &f, 1);
        let told = one.next_datagram(2 * S).expect("a datagram");
        for directory in [&mut other, &mut third] {
            directory.receive(2 * S, 1, &told);
        }
        // It was used there, and has gone since: all hear of that.
        other.observe(3 * S, &a, &f, 0);
        let gone = other.next_datagram(5 * S).expect("a datagram");
        third.receive(5 * S, 1, &gone);
        assert_eq!(third.query(5 * S, &a, &f), Some(0));
        third.update_members(MembersKind::Changes, &[member("b", State::Active, 5 * S)]);
        assert_eq!(third.query(5 * S, &b, &f), None);
        let of_b =
            |age| encode(&[InstanceUpdate::new((name_hash("f"), name_hash("b")), age, 1)]).expect("it fits");
        third.receive(5 * S, 1, &of_b(S));
        assert_eq!(third.query(5 * S, &b, &f), None, "seen before it started");
        third.receive(6 * S, 1, &of_b(0));
        assert_eq!(third.query(6 * S, &b, &f), Some(1));
        third.update_members(MembersKind::Changes, &[member("b", State::Leaving, 5 * S)]);
        third.receive(6 * S, 1, &of_b(0));
        assert_eq!(third.query(6 * S, &b, &f), None);
        third.update_members(MembersKind::Whole, &[]);
        assert_eq!((third.count, third.workers.len()), (0, 0));
    }

    #[test]
    fn silence_of_all_says_that_no_copy_is_in_use_and_silence_of_most_says_nothing() {
        let [mut many, mut few] = fleet(0..2).try_into().ok().expect("two");
        let (a, f, g) = ("a".into(), "f".into(), "g".into());
        let told = encode(&[InstanceUpdate::new((name_hash("f"), name_hash("a")), 0, 1)]).expect("it fits");
        for second in 1..12 {
            let now = second * S;
            many.receive(now, 1, &told);
            many.receive(now, 2 + second as u32 % 2, &told);
            few.receive(now, 1, &told);
            // As long as one could stand since before we listened, the worker is asked.
            assert_eq!(many.query(now, &a, &g), (now >= KEEP).then_some(0), "{second}");
            assert_eq!((few.query(now, &a, &g), few.query(now, &a, &f)), (None, Some(1)));
        }
        assert_eq!(many.query(11 * S + KEEP, &a, &g), None, "cut off since");
    }

    #[test]
    fn copies_that_peers_use_are_not_ours_to_unload() {
        let [mut one, mut other] = fleet(0..2).try_into().ok().expect("two");
        let (a, f) = ("a".into(), "f".into());
        one.observe(S, &a, &f, 1);
        assert!(!one.is_shared(S, &a, &f), "ours alone");
        let told = one.next_datagram(2 * S).expect("a datagram");
        other.receive(2 * S, 1, &told);
        assert!(other.is_shared(2 * S, &a, &f) && !other.is_shared(2 * S + KEEP, &a, &f));
    }

    #[test]
    fn whatever_comes_takes_bounded_memory_and_a_datagram_holds_what_it_may() {
        let [mut one, mut other] = fleet(0..2).try_into().ok().expect("two");
        let update = |of: u32| InstanceUpdate::new((of, name_hash("a")), 0, 1);
        for first in (0..MAX_OBSERVATIONS as u32 * 2).step_by(InstanceUpdate::MAX_PER_DATAGRAM) {
            let updates: Vec<_> =
                (first..first + InstanceUpdate::MAX_PER_DATAGRAM as u32).map(update).collect();
            let bytes = encode(&updates).expect("it fits");
            assert!(
                bytes.len() <= MAX_DATAGRAM_BYTES && bytes.len() > MAX_DATAGRAM_BYTES - 12,
                "{}",
                bytes.len()
            );
            one.receive(S, 1, &bytes);
        }
        assert_eq!(one.count, MAX_OBSERVATIONS);
        assert_eq!(one.observations.values().map(BTreeMap::len).sum::<usize>(), MAX_OBSERVATIONS);
        for wrong in [&[][..], &[VERSION], &[VERSION, 200, 1], &[1, 0], &[VERSION; 300]] {
            other.receive(S, 1, wrong);
        }
        let of_another = InstanceUpdate::new((1, name_hash("unknown")), 0, 1);
        other.receive(S, 1, &encode(&[of_another]).expect("it fits"));
        assert_eq!(other.count, 0);
        // The old make room.
        one.receive(2 * KEEP, 1, &encode(&[update(u32::MAX)]).expect("it fits"));
        assert_eq!(one.count, 1);
    }
}
