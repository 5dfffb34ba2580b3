//! What a worker does with calls and orders: copies, lanes, cores, memory, loads, a cold start. No I/O and no
//! clock; the fleet's loop hands it what comes and carries its answers.

use crate::dedup::{Arrival, DedupTable};
use crate::store::Store;
use basaltward_net::Micros;
use basaltward_timers::Timers;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerSpec {
    /// Calls run at once over all copies.
    pub cores: u32,
    /// Work done by a core in a microsecond.
    pub speed: f64,
    /// Memory for copies, MB.
    pub memory_mb: f64,
    /// Work of a call that tells none of its own, in microseconds.
    pub default_work: Micros,
    /// How long a load takes: the fetch from the store, then the start.
    pub fetch_and_start: (Micros, Micros),
    /// Loads under way at once; further orders wait.
    pub max_concurrent_loads: usize,
    /// Calls held for one function, past which it answers full.
    pub queue_limit: usize,
    /// An idle copy goes after this.
    pub idle_timeout: Micros,
    /// A call without a copy loads one and waits, instead of the answer miss.
    pub load_on_miss: bool,
    /// Share of its capacity at the start, and how long until it has all.
    pub initial_capacity_share: f64,
    /// See `cold_from`.
    pub warm_up_time: Micros,
    /// Workers of the same group share their memory of keys.
    pub key_group: u64,
    /// A worker's keys go with it when it is killed, as if each remembered for itself.
    pub loses_keys_when_killed: bool,
    /// Sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... over this span while cold, it falls over.
    pub overload_window: Micros,
}

impl Default for WorkerSpec {
    fn default() -> Self {
        Self {
            cores: 4,
            speed: 1.0,
            memory_mb: 12_096.0,
            default_work: 5_000,
            fetch_and_start: (300_000, 200_000),
            max_concurrent_loads: 4,
            queue_limit: 64,
            idle_timeout: 10_000_000,
            load_on_miss: false,
            initial_capacity_share: 0.2,
            warm_up_time: 10_000_000,
            key_group: 0,
            loses_keys_when_killed: false,
            overload_multiple: 4.0,
            overload_window: 1_500_000,
        }
    }
}

/// A call as it arrives.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub token: u64,
    pub function: String,
    pub memory_mb: f64,
    pub lanes: u32,
    pub work: Option<Micros>,
    /// Names the event.
    pub event: String,
    /// Names the attempt.
    pub attempt: String,
    /// Keyed calls: how long a repeat is dropped.
    pub window: Option<Micros>,
}

/// What became of the copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CopyNote {
    Stood,
    Began,
    Waited,
}

/// What a worker answers.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Reply {
    Ok {
        token: u64,
        copy: CopyNote,
        crowd: usize,
    },
    Miss {
        token: u64,
        failed: bool,
    },
    Full {
        token: u64,
    },
    /// An order or a question: copies standing, and whether the order was kept.
    Copies {
        token: u64,
        count: u32,
        kept: bool,
    },
    /// A call's effect happens now.
    Ran {
        event: String,
        attempt: String,
    },
    /// A repeat of a keyed call was dropped; it gets the first one's answer.
    Repeat {
        token: u64,
    },
    /// It fell over: nothing is answered any more.
    Fell,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Call(u64),
    Fetched(u64),
    Loaded(u64),
    Idle,
}

struct Waiting {
    call: Call,
    crowd: usize,
    copy: CopyNote,
}

#[derive(Default)]
struct Copies {
    memory_mb: f64,
    lanes: u32,
    standing: u32,
    busy: u32,
    loading: u32,
    last: Micros,
    queue: VecDeque<Waiting>,
    /// Orders that wait for so many copies.
    orders: Vec<(u64, u32)>,
}

/// A worker's state.
pub(crate) struct Worker {
    spec: WorkerSpec,
    born: Option<Micros>,
    pub draining: bool,
    pub fallen: bool,
    /// Times slower than usual.
    pub slow: f64,
    copies: BTreeMap<String, Copies>,
    running: HashMap<u64, (Call, CopyNote, usize)>,
    /// Loads under way, by number: the function and whether it still fetches.
    loading: HashMap<u64, (String, bool)>,
    waiting_loads: VecDeque<String>,
    /// Its number in the fleet.
    index: usize,
    arrived: VecDeque<(Micros, f64)>,
    due: Timers<Due>,
    number: u64,
}

impl Worker {
    /// A worker started now, or long ago where `born` is `None`.
    pub fn new(index: usize, spec: WorkerSpec, born: Option<Micros>) -> Self {
        Self {
            spec,
            born,
            draining: false,
            fallen: false,
            slow: 1.0,
            copies: BTreeMap::new(),
            running: HashMap::new(),
            loading: HashMap::new(),
            waiting_loads: VecDeque::new(),
            index,
            arrived: VecDeque::new(),
            due: Timers::default(),
            number: 0,
        }
    }

    pub fn next_due(&self) -> Option<Micros> {
        self.due.next_due()
    }

    /// Work done in a microsecond when warm.
    pub fn capacity(&self) -> f64 {
        f64::from(self.spec.cores) * self.spec.speed
    }

    /// The share of its capacity that it has by now.
    fn warmth(&self, now: Micros) -> f64 {
        self.born.map_or(1.0, |born| {
            let age = now.saturating_sub(born) as f64 / self.spec.warm_up_time.max(1) as f64;
            (self.spec.initial_capacity_share + (1.0 - self.spec.initial_capacity_share) * age).min(1.0)
        })
    }

    /// Calls held, share of memory that can't be freed, loads under way or waiting.
    pub fn report(&self) -> (usize, f64, usize) {
        let queued: usize = self.copies.values().map(|c| c.queue.len()).sum();
        let pinned = |c: &Copies| f64::from(c.busy.div_ceil(c.lanes.max(1)) + c.loading) * c.memory_mb;
        let pinned: f64 = self.copies.values().map(pinned).sum();
        let loads = self.loading.len() + self.waiting_loads.len();
        (self.running.len() + queued, pinned / self.spec.memory_mb, loads)
    }

    pub fn work_of(&self, call: &Call) -> Micros {
        call.work.unwrap_or(self.spec.default_work)
    }

    pub fn call(
        &mut self,
        now: Micros,
        (store, keys): (&mut Store, &mut DedupTable),
        call: Call,
        out: &mut Vec<Reply>,
    ) {
        if self.fallen {
            return;
        }
        if self.tips(now, self.work_of(&call) as f64) {
            self.fallen = true;
            return out.push(Reply::Fell);
        }
        let token = call.token;
        if self.draining {
            return out.push(Reply::Full { token });
        }
        let name = call.function.clone();
        let known = self.copies.entry(name.clone()).or_default();
        (known.memory_mb, known.lanes) = (call.memory_mb, call.lanes.max(1));
        let crowd = known.busy as usize + known.queue.len();
        // A repeat is dropped before anything else is said of it: told as never run it would be a lie.
        let first = call.window.map(|window| keys.arrive(now, &call.event, self.index, token, window));
        match first {
            None | Some(Arrival::First) => {}
            Some(Arrival::Waits) => return out.push(Reply::Repeat { token }),
            Some(Arrival::AlreadyExecuted) => {
                out.push(Reply::Repeat { token });
                return out.push(Reply::Ok { token, copy: CopyNote::Stood, crowd: 0 });
            }
        }
        if crowd >= self.spec.queue_limit {
            unseen(keys, &call, out);
            return out.push(Reply::Full { token });
        }
        let copy = match (known.standing, known.loading) {
            (0, 0) if !self.spec.load_on_miss => {
                unseen(keys, &call, out);
                return out.push(Reply::Miss { token, failed: false });
            }
            (0, 0) => CopyNote::Began,
            (0, _) => CopyNote::Waited,
            _ => CopyNote::Stood,
        };
        let known = self.copies.entry(name.clone()).or_default();
        known.queue.push_back(Waiting { call, crowd, copy });
        if copy == CopyNote::Began && !self.load(now, store, &name) {
            self.fail_waiting(keys, &name, out);
        }
        self.run(now, store, out);
    }

    /// Whether this arrival pushes a cold worker over: more work in the span than the told multiple of its
    /// present capacity.
    fn tips(&mut self, now: Micros, work: f64) -> bool {
        let warmth = self.warmth(now);
        self.arrived.push_back((now, work));
        while self.arrived.front().is_some_and(|(at, _)| at + self.spec.overload_window < now) {
            self.arrived.pop_front();
        }
        let sent: f64 = self.arrived.iter().map(|(_, work)| work).sum();
        let can = self.capacity() * warmth * self.spec.overload_window as f64;
        warmth < 1.0 && sent > self.spec.overload_multiple * can + work
    }

    /// An order to hold copies, or the question how many stand.
    pub fn order(
        &mut self,
        now: Micros,
        (store, keys): (&mut Store, &mut DedupTable),
        order: (u64, &str, u32),
        needs: (f64, u32),
        out: &mut Vec<Reply>,
    ) {
        let (token, name, count) = order;
        let standing = self.copies.get(name).map_or(0, |c| c.standing);
        if count > 0 && self.draining && standing < count {
            return out.push(Reply::Copies { token, count: standing, kept: false });
        }
        if count <= standing {
            if let Some(known) = self.copies.get_mut(name).filter(|_| count > 0) {
                known.last = now;
            }
            return out.push(Reply::Copies { token, count: standing, kept: true });
        }
        let known = self.copies.entry(name.to_owned()).or_default();
        (known.memory_mb, known.lanes) = (needs.0, needs.1.max(1));
        known.orders.push((token, count));
        let missing = count.saturating_sub(known.standing + known.loading);
        for _ in 0..missing {
            if !self.load(now, store, name) {
                self.fail_waiting(keys, name, out);
                break;
            }
        }
    }

    /// Unloads a function's idle copies.
    pub fn drop_idle(&mut self, name: &str) {
        if let Some(known) = self.copies.get_mut(name) {
            known.standing = known.busy.div_ceil(known.lanes.max(1));
        }
    }

    /// Nobody waits for this any more: it is not begun, but goes on where it runs.
    pub fn cancel(&mut self, keys: &mut DedupTable, token: u64, out: &mut Vec<Reply>) {
        for known in self.copies.values_mut() {
            let gone = |w: &Waiting| w.call.token == token;
            for waiting in known.queue.iter().filter(|w| gone(w)) {
                unseen(keys, &waiting.call, out);
            }
            known.queue.retain(|w| !gone(w));
            known.orders.retain(|(t, _)| *t != token);
        }
    }

    /// Begins to load a copy; false where no memory can be had or the store turns it away.
    fn load(&mut self, now: Micros, store: &mut Store, name: &str) -> bool {
        if self.loading.len() >= self.spec.max_concurrent_loads {
            self.waiting_loads.push_back(name.to_owned());
            if let Some(known) = self.copies.get_mut(name) {
                known.loading += 1;
            }
            return true;
        }
        self.begin_load(now, store, name, true)
    }

    fn begin_load(&mut self, now: Micros, store: &mut Store, name: &str, counts: bool) -> bool {
        let needed = self.copies.get(name).map_or(0.0, |c| c.memory_mb);
        if !self.make_room(name, needed) {
            return false;
        }
        let Some(took) = store.begin_fetch(self.spec.fetch_and_start.0) else { return false };
        self.number += 1;
        self.loading.insert(self.number, (name.to_owned(), true));
        self.due.set(now + took, Due::Fetched(self.number));
        if let Some(known) = self.copies.get_mut(name).filter(|_| counts) {
            known.loading += 1;
        }
        true
    }

    /// Unloads idle copies of others, longest unused first, until the memory is there.
    fn make_room(&mut self, name: &str, needed: f64) -> bool {
        loop {
            let held = |c: &Copies| f64::from(c.standing + c.loading) * c.memory_mb;
            let used: f64 = self.copies.values().map(held).sum();
            if used + needed <= self.spec.memory_mb {
                return true;
            }
            let idle = |c: &Copies| c.standing > c.busy.div_ceil(c.lanes.max(1));
            let others = self.copies.iter_mut().filter(|(n, c)| *n != name && idle(c));
            match others.min_by_key(|(_, c)| c.last) {
                Some((_, oldest)) => oldest.standing -= 1,
                None => return false,
            }
        }
    }

    fn fail_waiting(&mut self, keys: &mut DedupTable, name: &str, out: &mut Vec<Reply>) {
        let Some(known) = self.copies.get_mut(name) else { return };
        for (token, _) in known.orders.drain(..) {
            out.push(Reply::Copies { token, count: known.standing, kept: false });
        }
        if known.standing + known.loading == 0 {
            for waiting in known.queue.drain(..) {
                unseen(keys, &waiting.call, out);
                out.push(Reply::Miss { token: waiting.call.token, failed: true });
            }
        }
    }

    /// Starts what can run, and further copies where all lanes are taken.
    fn run(&mut self, now: Micros, store: &mut Store, out: &mut Vec<Reply>) {
        let pace = self.spec.speed * self.warmth(now) / self.slow;
        let names: Vec<String> =
            self.copies.iter().filter(|(_, c)| !c.queue.is_empty()).map(|(n, _)| n.clone()).collect();
        for name in names {
            while let Some(known) = self.copies.get_mut(&name) {
                let lane = known.busy < known.standing * known.lanes;
                if !lane || self.running.len() >= self.spec.cores as usize {
                    break;
                }
                let Some(waiting) = known.queue.pop_front() else { break };
                known.busy += 1;
                known.last = now;
                let work = waiting.call.work.unwrap_or(self.spec.default_work) as f64;
                let (event, attempt) = (waiting.call.event.clone(), waiting.call.attempt.clone());
                out.push(Reply::Ran { event, attempt });
                self.due.set(now + (work / pace) as Micros, Due::Call(waiting.call.token));
                self.running.insert(waiting.call.token, (waiting.call, waiting.copy, waiting.crowd));
            }
            let crowded = |c: &Copies| {
                !c.queue.is_empty() && c.busy >= c.standing * c.lanes && c.loading == 0 && c.standing > 0
            };
            if self.copies.get(&name).is_some_and(crowded) {
                self.load(now, store, &name);
            }
        }
    }

    /// Does what is due by `now`.
    pub fn wake(&mut self, now: Micros, (store, keys): (&mut Store, &mut DedupTable), out: &mut Vec<Reply>) {
        while let Some((_, due)) = self.due.pop_due(now) {
            match due {
                Due::Call(token) => self.finish(now, keys, token, out),
                Due::Fetched(number) => {
                    store.end_fetch();
                    if let Some((_, fetching)) = self.loading.get_mut(&number) {
                        *fetching = false;
                        self.due.set(now + self.spec.fetch_and_start.1, Due::Loaded(number));
                    }
                }
                Due::Loaded(number) => {
                    self.loaded(now, number, out);
                    self.next_load(now, (store, keys), out);
                }
                Due::Idle => {
                    let keep = self.spec.idle_timeout;
                    for known in self.copies.values_mut().filter(|c| c.busy == 0 && c.last + keep <= now) {
                        known.standing = 0;
                    }
                }
            }
            self.run(now, store, out);
        }
    }

    /// Begins a load that waited for one to end.
    fn next_load(&mut self, now: Micros, (store, keys): (&mut Store, &mut DedupTable), out: &mut Vec<Reply>) {
        let Some(name) = self.waiting_loads.pop_front() else { return };
        if !self.begin_load(now, store, &name, false) {
            if let Some(known) = self.copies.get_mut(&name) {
                known.loading -= 1;
            }
            self.fail_waiting(keys, &name, out);
        }
    }

    fn loaded(&mut self, now: Micros, number: u64, out: &mut Vec<Reply>) {
        let Some((name, _)) = self.loading.remove(&number) else { return };
        let Some(known) = self.copies.get_mut(&name) else { return };
        known.loading -= 1;
        known.standing += 1;
        known.last = now;
        let standing = known.standing;
        let kept: Vec<u64> = known.orders.iter().filter(|(_, n)| *n <= standing).map(|(t, _)| *t).collect();
        known.orders.retain(|(_, n)| *n > standing);
        out.extend(kept.into_iter().map(|token| Reply::Copies { token, count: standing, kept: true }));
        self.due.set(now + self.spec.idle_timeout + 1, Due::Idle);
    }

    fn finish(&mut self, now: Micros, keys: &mut DedupTable, token: u64, out: &mut Vec<Reply>) {
        let Some((call, copy, crowd)) = self.running.remove(&token) else { return };
        if let Some(known) = self.copies.get_mut(&call.function) {
            known.busy -= 1;
            known.last = now;
        }
        self.due.set(now + self.spec.idle_timeout + 1, Due::Idle);
        out.push(Reply::Ok { token, copy, crowd });
        if call.window.is_some() {
            let reply = |token| Reply::Ok { token, copy: CopyNote::Stood, crowd };
            out.extend(keys.complete(&call.event).into_iter().map(reply));
        }
    }
}

/// A call that was held, or not even that, will not run: neither do the repeats that waited for it.
fn unseen(keys: &mut DedupTable, call: &Call, out: &mut Vec<Reply>) {
    if call.window.is_some() {
        out.extend(keys.cancel(&call.event).into_iter().map(|token| Reply::Full { token }));
    }
}
