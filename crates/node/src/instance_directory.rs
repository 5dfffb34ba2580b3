//! Observations of loaded copies by this scheduler and its peers. Observations age, are announced to the fleet
//! once, and can replace a query to a worker. Free of I/O. The directory makes no decision on a call: it answers
//! the module's queries to workers in the module's own terms, and an update contains only
//! observations of some scheduler.

use crate::gossip_wire::{InstanceUpdate, decode, encode, name_hash};
use basaltward::{FunctionId, Member, MembersKind, Micros, WorkerId, WorkerState};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Maximum number of observations; further ones are dropped until others have expired.
const MAX_OBSERVATIONS: usize = 16_384;
/// Maximum number of locally called functions remembered by name.
const MAX_FUNCTIONS: usize = 8_192;
/// Delay until the first known copy of a function is announced.
const FIRST_COPY_DELAY_US: Micros = 40_000;
/// Delay until any other update is announced. A datagram reaches every peer and costs each of them a turn of its
/// loop, so updates are batched.
const UPDATE_DELAY_US: Micros = 1_500_000;
/// Interval at which expired observations are removed.
const SWEEP_US: Micros = 1_000_000;

/// The latest observation of one function at one worker.
struct Observation {
    /// Copies that were loaded at that time; 0 if none was.
    copies: u32,
    /// When it was observed, on the local clock.
    seen: Micros,
    /// When any scheduler last announced it to the fleet.
    announced: Micros,
    /// When the module last learned that the copy is loaded, by itself or from this directory.
    known_to_module: Option<Micros>,
    /// Whether a peer has announced it, so that the copy is not used by this scheduler alone.
    from_peer: bool,
}

struct Worker {
    id: WorkerId,
    /// When the worker started. Earlier observations refer to a previous incarnation.
    started: Micros,
}

struct CalledFunction {
    function: FunctionId,
    /// When the function was last called by this scheduler.
    used: Micros,
}

/// Worker, function and number of loaded copies, as reported to the module.
pub type CopyReport = (WorkerId, FunctionId, u32);

/// Observations of loaded copies by a scheduler and its peers.
pub struct InstanceDirectory {
    own: u32,
    /// A copy in use is retained for at least this long.
    keep: Micros,
    peers: usize,
    /// When this scheduler began to listen.
    listening_since: Micros,
    /// When the last message of each peer was received.
    last_received: HashMap<u32, Micros>,
    workers: HashMap<u32, Worker>,
    functions: HashMap<u32, CalledFunction>,
    /// Observations by the hashes of function and worker.
    observations: BTreeMap<u32, BTreeMap<u32, Observation>>,
    /// Total number of observations.
    count: usize,
    /// Observations to announce.
    pending: BTreeSet<(u32, u32)>,
    /// When the next datagram is due.
    announce_at: Option<Micros>,
    next_sweep: Micros,
    reports: Vec<CopyReport>,
}

impl InstanceDirectory {
    /// Creates the directory of the scheduler with number `own` among `peers` peers; a copy in use is retained for
    /// at least `keep`.
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

    /// When [`InstanceDirectory::next_datagram`] may return a datagram.
    pub fn next_due(&self) -> Option<Micros> {
        self.announce_at
    }

    /// Applies the list of workers. Observations of a worker that has left, or of a previous incarnation, are
    /// discarded.
    pub fn update_members(&mut self, kind: MembersKind, members: &[Member]) {
        let mut discarded = Vec::new();
        if kind == MembersKind::Whole {
            let listed: BTreeSet<u32> = members.iter().map(|m| name_hash(m.worker.as_str())).collect();
            discarded.extend(self.workers.keys().filter(|w| !listed.contains(w)));
        }
        for member in members {
            let worker_hash = name_hash(member.worker.as_str());
            let known = self.workers.get(&worker_hash);
            if member.state != WorkerState::Active || known.is_some_and(|w| w.started < member.started) {
                discarded.push(worker_hash);
            }
        }
        for worker_hash in discarded {
            self.workers.remove(&worker_hash);
            for observations in self.observations.values_mut() {
                self.count -= usize::from(observations.remove(&worker_hash).is_some());
            }
        }
        for member in members.iter().filter(|m| m.state == WorkerState::Active) {
            let worker = Worker { id: member.worker.clone(), started: member.started };
            self.workers.insert(name_hash(member.worker.as_str()), worker);
        }
    }

    /// Notes a local call of this function, which makes peers' reports about it relevant.
    pub fn note_call(&mut self, now: Micros, function: &FunctionId) {
        let function_hash = name_hash(function.as_str());
        if let Some(called) = self.functions.get_mut(&function_hash) {
            called.used = now;
        } else if self.functions.len() < MAX_FUNCTIONS {
            self.functions.insert(function_hash, CalledFunction { function: function.clone(), used: now });
        }
    }

    /// Records that this scheduler observed this number of loaded copies, possibly none.
    pub fn observe(&mut self, now: Micros, worker: &WorkerId, function: &FunctionId, copies: u32) {
        let (function_hash, worker_hash) = (name_hash(function.as_str()), name_hash(worker.as_str()));
        let announce_interval = self.announce_interval(function_hash, worker_hash);
        let previous_copies = self
            .observations
            .get(&function_hash)
            .and_then(|by_worker| by_worker.get(&worker_hash))
            .map_or(0, |observation| observation.copies);
        // That no copy is loaded matters only if this scheduler's records show one.
        if previous_copies == 0 && copies == 0 {
            return;
        }
        let Some(observation) = self.entry(function_hash, worker_hash, now) else { return };
        let changed = (previous_copies == 0) != (copies == 0);
        (observation.copies, observation.seen, observation.known_to_module) =
            (copies, now, (copies > 0).then_some(now));
        if changed || now >= observation.announced + announce_interval {
            self.pending.insert((function_hash, worker_hash));
            // The delay can be long if another copy is known: peers that know one don't query.
            let is_known_elsewhere = self
                .observations
                .get(&function_hash)
                .into_iter()
                .flatten()
                .any(|(worker, seen)| *worker != worker_hash && seen.copies > 0);
            let due =
                now + if changed && !is_known_elsewhere { FIRST_COPY_DELAY_US } else { UPDATE_DELAY_US };
            self.announce_at = Some(self.announce_at.map_or(due, |at| at.min(due)));
        }
    }

    /// Time for which an announced observation is not announced again. It differs between schedulers, or all would
    /// find it due at once.
    fn announce_interval(&self, function_hash: u32, worker_hash: u32) -> Micros {
        let spread = crc32fast::hash(&[self.own, function_hash, worker_hash].map(u32::to_le_bytes).concat());
        self.keep / 4 + self.keep / 4 * Micros::from(spread >> 16) / 65_536
    }

    fn entry(&mut self, function_hash: u32, worker_hash: u32, now: Micros) -> Option<&mut Observation> {
        if !self.workers.contains_key(&worker_hash) {
            return None;
        }
        let known = self
            .observations
            .get(&function_hash)
            .is_some_and(|by_worker| by_worker.contains_key(&worker_hash));
        if !known {
            if self.count >= MAX_OBSERVATIONS && now >= self.next_sweep {
                self.sweep(now);
            }
            if self.count >= MAX_OBSERVATIONS {
                return None;
            }
            self.count += 1;
        }
        let empty = Observation { copies: 0, seen: 0, announced: 0, known_to_module: None, from_peer: false };
        Some(self.observations.entry(function_hash).or_default().entry(worker_hash).or_insert(empty))
    }

    /// Handles a datagram from the peer with this number.
    pub fn receive(&mut self, now: Micros, from: u32, bytes: &[u8]) {
        let Ok(updates) = decode(bytes) else { return };
        self.last_received.insert(from, now);
        for update in updates {
            let (function_hash, worker_hash) = (update.function(), update.worker());
            let seen = now.saturating_sub(update.age());
            if self.workers.get(&worker_hash).is_none_or(|w| seen < w.started) || update.age() >= self.keep {
                continue;
            }
            let Some(observation) = self.entry(function_hash, worker_hash, now) else { continue };
            observation.from_peer = true;
            if seen <= observation.seen {
                continue;
            }
            (observation.copies, observation.seen, observation.announced) = (update.copies(), seen, now);
            // A peer has announced it in the meantime, so it is not announced again.
            self.pending.remove(&(function_hash, worker_hash));
            self.report_to_module(now, function_hash, worker_hash);
        }
    }

    /// Reports a copy to the module if the module has calls for it and its own knowledge is old.
    fn report_to_module(&mut self, now: Micros, function_hash: u32, worker_hash: u32) {
        let recent = self.functions.get(&function_hash).filter(|called| called.used + self.keep >= now);
        let (Some(called), Some(worker)) = (recent, self.workers.get(&worker_hash)) else { return };
        let Some(observation) =
            self.observations.get_mut(&function_hash).and_then(|by_worker| by_worker.get_mut(&worker_hash))
        else {
            return;
        };
        if observation.copies > 0
            && observation.known_to_module.is_none_or(|known| observation.seen > known + self.keep / 2)
        {
            observation.known_to_module = Some(now);
            self.reports.push((worker.id.clone(), called.function.clone(), observation.copies));
        }
    }

    /// Whether any copy in use would be known here: this scheduler has listened for as long as a copy is retained,
    /// and has recently received datagrams from at least half of the peers.
    fn silence_is_conclusive(&self, now: Micros) -> bool {
        let recent = self.last_received.values().filter(|at| **at + self.keep / 2 >= now).count();
        now >= self.listening_since + self.keep && recent * 2 >= self.peers
    }

    /// Answers the module's query whether a worker has copies loaded. Peers' observations of the function are
    /// reported to the module. If there is any loaded copy among them, the observation of this worker is the
    /// answer. If there is none although reports of enough peers are received, no copy is in use.
    pub fn query(&mut self, now: Micros, worker: &WorkerId, function: &FunctionId) -> Option<u32> {
        self.note_call(now, function);
        let (function_hash, keep) = (name_hash(function.as_str()), self.keep);
        let is_loaded = |observation: &Observation| observation.copies > 0 && now < observation.seen + keep;
        let observations = self.observations.get(&function_hash).into_iter().flatten();
        let loaded: Vec<u32> = observations
            .filter(|(_, observation)| is_loaded(observation))
            .map(|(worker, _)| *worker)
            .collect();
        if loaded.is_empty() {
            return self.silence_is_conclusive(now).then_some(0);
        }
        for worker_hash in &loaded {
            let observation = self
                .observations
                .get_mut(&function_hash)
                .and_then(|by_worker| by_worker.get_mut(worker_hash));
            // The module would not query if it knew. Of several queries at the same time, the first reports all
            // copies.
            if let Some(observation) = observation {
                observation.known_to_module = observation.known_to_module.filter(|known| *known == now);
            }
            self.report_to_module(now, function_hash, *worker_hash);
        }
        let at_worker = self
            .observations
            .get(&function_hash)
            .and_then(|by_worker| by_worker.get(&name_hash(worker.as_str())));
        Some(
            at_worker
                .filter(|observation| is_loaded(observation))
                .map_or(0, |observation| observation.copies),
        )
    }

    /// The number of copies loaded at a worker, if it is at least what the module orders, so that the order need
    /// not be sent.
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

    /// Whether a peer has announced copies there, so that this scheduler must not release them.
    pub fn is_shared(&self, now: Micros, worker: &WorkerId, function: &FunctionId) -> bool {
        let observations = self.observations.get(&name_hash(function.as_str()));
        let observation = observations.and_then(|by_worker| by_worker.get(&name_hash(worker.as_str())));
        observation.is_some_and(|o| o.from_peer && o.copies > 0 && now < o.seen + self.keep)
    }

    /// Takes the reports for the module since the last call.
    pub fn take_reports(&mut self) -> Vec<CopyReport> {
        std::mem::take(&mut self.reports)
    }

    /// Returns a datagram for all peers once one is due.
    pub fn next_datagram(&mut self, now: Micros) -> Option<Vec<u8>> {
        self.announce_at.take_if(|at| *at <= now)?;
        if now >= self.next_sweep {
            self.sweep(now);
        }
        let mut updates = Vec::new();
        while updates.len() < InstanceUpdate::MAX_PER_DATAGRAM
            && let Some((function_hash, worker_hash)) = self.pending.pop_first()
        {
            let Some(observation) = self
                .observations
                .get_mut(&function_hash)
                .and_then(|by_worker| by_worker.get_mut(&worker_hash))
            else {
                continue;
            };
            observation.announced = now;
            updates.push(InstanceUpdate::new(
                (function_hash, worker_hash),
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
            .for_each(|by_worker| by_worker.retain(|_, observation| now < observation.seen + keep));
        self.observations.retain(|_, observations| !observations.is_empty());
        self.count = self.observations.values().map(BTreeMap::len).sum();
        self.functions.retain(|_, called| now < called.used + keep * 4);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::gossip_wire::{VERSION, encode};
    use basaltward_membership::MAX_DATAGRAM_BYTES;

    const S: Micros = 1_000_000;
    const KEEP: Micros = 8 * S;

    fn member(name: &str, state: WorkerState, started: Micros) -> Member {
        Member { state, started, ..Member::active(name) }
    }

    /// Directories of the schedulers with these numbers; workers a and b are listed.
    fn fleet(numbers: std::ops::Range<u32>) -> Vec<InstanceDirectory> {
        let each = numbers.map(|own| {
            let mut directory = InstanceDirectory::new(0, (own, 4), KEEP);
            let members = ["a", "b"].map(|name| member(name, WorkerState::Active, 0));
            directory.update_members(MembersKind::Whole, &members);
            directory
        });
        each.collect()
    }

    fn report(at: &str, copies: u32) -> CopyReport {
        (at.into(), "f".into(), copies)
    }

    #[test]
    fn an_observation_answers_the_queries_of_all_peers_until_it_expires() {
        let [mut one, mut other] = fleet(0..2).try_into().ok().expect("two");
        let (a, b, f) = ("a".into(), "b".into(), "f".into());
        assert_eq!(other.query(S, &b, &f), None, "no peer reported a copy: the worker is queried");
        one.observe(S, &a, &f, 2);
        assert_eq!(one.next_datagram(S), None, "an update waits to be batched");
        let datagram = one.next_datagram(S + FIRST_COPY_DELAY_US).expect("a datagram");
        other.receive(S + FIRST_COPY_DELAY_US, 1, &datagram);
        assert_eq!(other.take_reports(), [report("a", 2)], "it has calls for the function");
        other.receive(2 * S, 1, &datagram);
        assert_eq!(other.take_reports(), [], "the module has received it already");
        assert_eq!(other.query(3 * S, &b, &f), Some(0), "no copy is known there, but one elsewhere");
        assert_eq!(other.query(3 * S, &a, &f), Some(2));
        assert_eq!(
            other.take_reports(),
            [report("a", 2)],
            "reported again, once, because the module queries"
        );
        assert_eq!(other.copies_for_order(3 * S, &a, &f, 2), Some(2), "the copies are loaded already");
        assert_eq!(
            [other.copies_for_order(3 * S, &a, &f, 3), other.copies_for_order(3 * S, &b, &f, 1)],
            [None, None]
        );
        assert_eq!(other.copies_for_order(2 * S + KEEP / 2, &a, &f, 2), None, "it may be released soon");
        assert_eq!(
            other.query(2 * S + KEEP, &b, &f),
            None,
            "a copy unused for that long may have been released"
        );
    }

    #[test]
    fn an_announced_observation_is_not_announced_again_until_it_is_due() {
        let mut fleet = fleet(0..40);
        let (a, f) = ("a".into(), "f".into());
        fleet[0].observe(S, &a, &f, 1);
        let datagram = fleet[0].next_datagram(2 * S).expect("a datagram");
        for directory in &mut fleet[1..] {
            directory.receive(2 * S, 1, &datagram);
            directory.observe(3 * S, &a, &f, 1);
            assert_eq!(directory.next_datagram(4 * S), None);
        }
        // By then it is due for some and not yet for others.
        let mut again = 0;
        for directory in &mut fleet[1..] {
            directory.observe(2 * S + KEEP * 3 / 8, &a, &f, 1);
            again += usize::from(directory.next_datagram(4 * S + KEEP * 3 / 8).is_some());
        }
        assert!((8..32).contains(&again), "{again}");
    }

    #[test]
    fn observations_of_released_copies_and_restarted_workers_are_discarded() {
        let [mut one, mut other, mut third] = fleet(0..3).try_into().ok().expect("three");
        let (a, b, f) = ("a".into(), "b".into(), "f".into());
        one.observe(S, &a, &f, 1);
        one.observe(S, &b, &f, 1);
        let datagram = one.next_datagram(2 * S).expect("a datagram");
        for directory in [&mut other, &mut third] {
            directory.receive(2 * S, 1, &datagram);
        }
        // A call was served there in the meantime and the copy is gone: every peer receives that.
        other.observe(3 * S, &a, &f, 0);
        let gone = other.next_datagram(5 * S).expect("a datagram");
        third.receive(5 * S, 1, &gone);
        assert_eq!(third.query(5 * S, &a, &f), Some(0));
        third.update_members(MembersKind::Changes, &[member("b", WorkerState::Active, 5 * S)]);
        assert_eq!(third.query(5 * S, &b, &f), None);
        let of_b =
            |age| encode(&[InstanceUpdate::new((name_hash("f"), name_hash("b")), age, 1)]).expect("it fits");
        third.receive(5 * S, 1, &of_b(S));
        assert_eq!(third.query(5 * S, &b, &f), None, "observed before the worker started");
        third.receive(6 * S, 1, &of_b(0));
        assert_eq!(third.query(6 * S, &b, &f), Some(1));
        third.update_members(MembersKind::Changes, &[member("b", WorkerState::Leaving, 5 * S)]);
        third.receive(6 * S, 1, &of_b(0));
        assert_eq!(third.query(6 * S, &b, &f), None);
        third.update_members(MembersKind::Whole, &[]);
        assert_eq!((third.count, third.workers.len()), (0, 0));
    }

    #[test]
    fn no_report_means_no_copy_in_use_only_if_enough_peers_send_datagrams() {
        let [mut many, mut few] = fleet(0..2).try_into().ok().expect("two");
        let (a, f, g) = ("a".into(), "f".into(), "g".into());
        let datagram =
            encode(&[InstanceUpdate::new((name_hash("f"), name_hash("a")), 0, 1)]).expect("it fits");
        for second in 1..12 {
            let now = second * S;
            many.receive(now, 1, &datagram);
            many.receive(now, 2 + second as u32 % 2, &datagram);
            few.receive(now, 1, &datagram);
            // As long as a copy could be loaded since before this scheduler listened, the worker is queried.
            assert_eq!(many.query(now, &a, &g), (now >= KEEP).then_some(0), "{second}");
            assert_eq!((few.query(now, &a, &g), few.query(now, &a, &f)), (None, Some(1)));
        }
        assert_eq!(many.query(11 * S + KEEP, &a, &g), None, "no datagram has arrived since");
    }

    #[test]
    fn copies_used_by_peers_are_not_released() {
        let [mut one, mut other] = fleet(0..2).try_into().ok().expect("two");
        let (a, f) = ("a".into(), "f".into());
        one.observe(S, &a, &f, 1);
        assert!(!one.is_shared(S, &a, &f), "not announced by a peer");
        let datagram = one.next_datagram(2 * S).expect("a datagram");
        other.receive(2 * S, 1, &datagram);
        assert!(other.is_shared(2 * S, &a, &f) && !other.is_shared(2 * S + KEEP, &a, &f));
    }

    #[test]
    fn memory_is_bounded_for_any_input_and_datagrams_are_filled() {
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
        // Expired observations free capacity.
        one.receive(2 * KEEP, 1, &encode(&[update(u32::MAX)]).expect("it fits"));
        assert_eq!(one.count, 1);
    }
}
