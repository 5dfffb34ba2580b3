//! Model of a worker: how calls and orders use copies, lanes, cores, memory and loads, and how a cold worker warms up.
//! It does no I/O and reads no clock; the fleet's event loop passes requests in and sends the replies.

use crate::dedup::{Arrival, DedupTable};
use crate::store::Store;
use basaltward_net::Micros;
use basaltward_timers::Timers;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Properties of a worker. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerSpec {
    /// Maximum of calls that run at the same time, over all copies.
    pub cores: u32,
    /// Work done by a core in a microsecond when warm.
    pub speed: f64,
    /// Memory for copies, MB.
    pub memory_mb: f64,
    /// Work of a call that doesn't specify its own.
    pub default_work: Micros,
    /// Duration of the two parts of a load: the fetch from the store and the start after it.
    pub fetch_and_start: (Micros, Micros),
    /// Maximum of concurrent loads; further ones wait.
    pub max_concurrent_loads: usize,
    /// Maximum of calls queued or running for one function; further ones are answered `full`.
    pub queue_limit: usize,
    /// How long a copy stays loaded without a call.
    pub idle_timeout: Micros,
    /// A call that finds no copy loads one and waits, instead of being answered `miss`.
    pub load_on_miss: bool,
    /// Share of its capacity that a cold worker has when it starts.
    pub initial_capacity_share: f64,
    /// How long a cold worker takes to reach its full capacity, linearly.
    pub warm_up_time: Micros,
    /// Workers of the same group deduplicate keyed calls together.
    pub key_group: u64,
    /// The keys of a worker are lost when it is killed, as if each worker stored its own.
    pub loses_keys_when_killed: bool,
    /// A cold worker collapses when it receives more than this multiple of its current capacity within
    /// `overload_window`.
    pub overload_multiple: f64,
    /// Window over which received work is summed up for `overload_multiple`.
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
    /// Source and id of the event.
    pub event: String,
    /// Name of the attempt, for the records.
    pub attempt: String,
    /// How long repeats are dropped; `None` if the call is not keyed.
    pub window: Option<Micros>,
}

/// State of the function's copies when the call arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CopyState {
    /// A copy was loaded.
    Loaded,
    /// No copy was loaded; this call started a load.
    LoadStarted,
    /// No copy was loaded; the call waited for a load that had already started.
    LoadPending,
}

/// Replies and events that a worker produces.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Reply {
    Ok {
        token: u64,
        copy: CopyState,
        crowd: usize,
    },
    Miss {
        token: u64,
        load_failed: bool,
    },
    Full {
        token: u64,
    },
    /// Answers an order or a query: number of loaded copies, and whether the order was fulfilled.
    Copies {
        token: u64,
        count: u32,
        fulfilled: bool,
    },
    /// A call starts to run, which counts as its execution.
    Ran {
        event: String,
        attempt: String,
    },
    /// A repeat of a keyed call was dropped; it gets the answer of the first call.
    Duplicate {
        token: u64,
    },
    /// The worker collapsed under overload: it answers nothing any more.
    Collapsed,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    CallFinished(u64),
    Fetched(u64),
    Loaded(u64),
    IdleCheck,
}

struct QueuedCall {
    call: Call,
    crowd: usize,
    copy: CopyState,
}

/// Copies of one function, with its calls and orders.
#[derive(Default)]
struct Copies {
    memory_mb: f64,
    lanes: u32,
    loaded: u32,
    busy_lanes: u32,
    /// Loads under way or waiting to begin.
    loading: u32,
    last_used: Micros,
    queue: VecDeque<QueuedCall>,
    /// Pending orders: token, and the number of copies ordered.
    orders: Vec<(u64, u32)>,
}

/// State of a worker.
pub(crate) struct WorkerModel {
    spec: WorkerSpec,
    /// When it started cold; `None` if it started warm.
    started: Option<Micros>,
    pub draining: bool,
    /// Killed or collapsed: it answers nothing.
    pub dead: bool,
    /// Factor by which calls are slowed down; 1.0 is normal speed.
    pub slowdown: f64,
    copies: BTreeMap<String, Copies>,
    running: HashMap<u64, (Call, CopyState, usize)>,
    /// Loads under way, by number: the function, and whether the fetch is still running.
    loading: HashMap<u64, (String, bool)>,
    waiting_loads: VecDeque<String>,
    /// Position in the fleet.
    index: usize,
    /// Time and work of the calls received within the overload window.
    recent_work: VecDeque<(Micros, f64)>,
    timers: Timers<Timer>,
    /// Number of the latest load.
    last_load: u64,
}

impl WorkerModel {
    /// Creates a worker that starts cold at `started`, or that is already warm if it is `None`.
    pub fn new(index: usize, spec: WorkerSpec, started: Option<Micros>) -> Self {
        Self {
            spec,
            started,
            draining: false,
            dead: false,
            slowdown: 1.0,
            copies: BTreeMap::new(),
            running: HashMap::new(),
            loading: HashMap::new(),
            waiting_loads: VecDeque::new(),
            index,
            recent_work: VecDeque::new(),
            timers: Timers::default(),
            last_load: 0,
        }
    }

    /// When the next timer expires.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.next_due()
    }

    /// Work done in a microsecond when warm.
    pub fn capacity(&self) -> f64 {
        f64::from(self.spec.cores) * self.spec.speed
    }

    /// The share of its full capacity that the worker has at `now`.
    fn capacity_share(&self, now: Micros) -> f64 {
        self.started.map_or(1.0, |started| {
            let age = now.saturating_sub(started) as f64 / self.spec.warm_up_time.max(1) as f64;
            (self.spec.initial_capacity_share + (1.0 - self.spec.initial_capacity_share) * age).min(1.0)
        })
    }

    /// The load report: calls queued or running, share of memory that can't be freed, loads under way or waiting.
    pub fn report(&self) -> (usize, f64, usize) {
        let queued: usize = self.copies.values().map(|c| c.queue.len()).sum();
        let pinned = |c: &Copies| f64::from(c.busy_lanes.div_ceil(c.lanes.max(1)) + c.loading) * c.memory_mb;
        let pinned: f64 = self.copies.values().map(pinned).sum();
        let loads = self.loading.len() + self.waiting_loads.len();
        (self.running.len() + queued, pinned / self.spec.memory_mb, loads)
    }

    /// Work of a call, or the worker's default.
    pub fn work_of(&self, call: &Call) -> Micros {
        call.work.unwrap_or(self.spec.default_work)
    }

    /// Handles an arriving call.
    pub fn call(
        &mut self,
        now: Micros,
        (store, keys): (&mut Store, &mut DedupTable),
        call: Call,
        out: &mut Vec<Reply>,
    ) {
        if self.dead {
            return;
        }
        if self.overloaded_by(now, self.work_of(&call) as f64) {
            self.dead = true;
            return out.push(Reply::Collapsed);
        }
        let token = call.token;
        if self.draining {
            return out.push(Reply::Full { token });
        }
        let name = call.function.clone();
        let copies = self.copies.entry(name.clone()).or_default();
        (copies.memory_mb, copies.lanes) = (call.memory_mb, call.lanes.max(1));
        let crowd = copies.busy_lanes as usize + copies.queue.len();
        // Repeats are handled first: a refusal below would wrongly claim that the event has not run.
        let arrival = call.window.map(|window| keys.arrive(now, &call.event, self.index, token, window));
        match arrival {
            None | Some(Arrival::First) => {}
            Some(Arrival::Waits) => return out.push(Reply::Duplicate { token }),
            Some(Arrival::AlreadyExecuted) => {
                out.push(Reply::Duplicate { token });
                return out.push(Reply::Ok { token, copy: CopyState::Loaded, crowd: 0 });
            }
        }
        if crowd >= self.spec.queue_limit {
            discard(keys, &call, out);
            return out.push(Reply::Full { token });
        }
        let copy = match (copies.loaded, copies.loading) {
            (0, 0) if !self.spec.load_on_miss => {
                discard(keys, &call, out);
                return out.push(Reply::Miss { token, load_failed: false });
            }
            (0, 0) => CopyState::LoadStarted,
            (0, _) => CopyState::LoadPending,
            _ => CopyState::Loaded,
        };
        let copies = self.copies.entry(name.clone()).or_default();
        copies.queue.push_back(QueuedCall { call, crowd, copy });
        if copy == CopyState::LoadStarted && !self.load(now, store, &name) {
            self.fail_waiting(keys, &name, out);
        }
        self.run_queued(now, store, out);
    }

    /// Records a received call and returns whether it makes a cold worker collapse: it does if the work received before
    /// it within the overload window exceeds `overload_multiple` of the current capacity.
    fn overloaded_by(&mut self, now: Micros, work: f64) -> bool {
        let capacity_share = self.capacity_share(now);
        self.recent_work.push_back((now, work));
        while self.recent_work.front().is_some_and(|(at, _)| at + self.spec.overload_window < now) {
            self.recent_work.pop_front();
        }
        let received: f64 = self.recent_work.iter().map(|(_, work)| work).sum();
        let sustainable = self.capacity() * capacity_share * self.spec.overload_window as f64;
        capacity_share < 1.0 && received > self.spec.overload_multiple * sustainable + work
    }

    /// Handles an order to load copies, or with a count of 0 a query for the number of loaded copies. `order` is the
    /// token, the function and the count; `needs` the memory of a copy in MB and its lanes.
    pub fn order(
        &mut self,
        now: Micros,
        (store, keys): (&mut Store, &mut DedupTable),
        order: (u64, &str, u32),
        needs: (f64, u32),
        out: &mut Vec<Reply>,
    ) {
        let (token, name, count) = order;
        let loaded = self.copies.get(name).map_or(0, |c| c.loaded);
        if count > 0 && self.draining && loaded < count {
            return out.push(Reply::Copies { token, count: loaded, fulfilled: false });
        }
        if count <= loaded {
            if let Some(copies) = self.copies.get_mut(name).filter(|_| count > 0) {
                copies.last_used = now;
            }
            return out.push(Reply::Copies { token, count: loaded, fulfilled: true });
        }
        let copies = self.copies.entry(name.to_owned()).or_default();
        (copies.memory_mb, copies.lanes) = (needs.0, needs.1.max(1));
        copies.orders.push((token, count));
        let missing = count.saturating_sub(copies.loaded + copies.loading);
        for _ in 0..missing {
            if !self.load(now, store, name) {
                self.fail_waiting(keys, name, out);
                break;
            }
        }
    }

    /// Unloads the idle copies of a function.
    pub fn drop_idle(&mut self, name: &str) {
        if let Some(copies) = self.copies.get_mut(name) {
            copies.loaded = copies.busy_lanes.div_ceil(copies.lanes.max(1));
        }
    }

    /// Cancels a call or an order whose client has disconnected. A queued call is removed; a running call continues.
    pub fn cancel(&mut self, keys: &mut DedupTable, token: u64, out: &mut Vec<Reply>) {
        for copies in self.copies.values_mut() {
            let is_cancelled = |w: &QueuedCall| w.call.token == token;
            for waiting in copies.queue.iter().filter(|w| is_cancelled(w)) {
                discard(keys, &waiting.call, out);
            }
            copies.queue.retain(|w| !is_cancelled(w));
            copies.orders.retain(|(t, _)| *t != token);
        }
    }

    /// Begins to load a copy, or queues the load while too many are under way. Returns false if there is not enough
    /// memory or the store rejects the fetch.
    fn load(&mut self, now: Micros, store: &mut Store, name: &str) -> bool {
        if self.loading.len() >= self.spec.max_concurrent_loads {
            self.waiting_loads.push_back(name.to_owned());
            if let Some(copies) = self.copies.get_mut(name) {
                copies.loading += 1;
            }
            return true;
        }
        self.begin_load(now, store, name, true)
    }

    /// Begins a load. `count_load` is false for a load that was queued, which `loading` already counts.
    fn begin_load(&mut self, now: Micros, store: &mut Store, name: &str, count_load: bool) -> bool {
        let needed = self.copies.get(name).map_or(0.0, |c| c.memory_mb);
        if !self.free_memory(name, needed) {
            return false;
        }
        let Some(took) = store.begin_fetch(self.spec.fetch_and_start.0) else { return false };
        self.last_load += 1;
        self.loading.insert(self.last_load, (name.to_owned(), true));
        self.timers.set(now + took, Timer::Fetched(self.last_load));
        if let Some(copies) = self.copies.get_mut(name).filter(|_| count_load) {
            copies.loading += 1;
        }
        true
    }

    /// Unloads idle copies of other functions, least recently used first, until `needed` MB are free. Returns false if
    /// that is not enough.
    fn free_memory(&mut self, name: &str, needed: f64) -> bool {
        loop {
            let occupied = |c: &Copies| f64::from(c.loaded + c.loading) * c.memory_mb;
            let used: f64 = self.copies.values().map(occupied).sum();
            if used + needed <= self.spec.memory_mb {
                return true;
            }
            let idle = |c: &Copies| c.loaded > c.busy_lanes.div_ceil(c.lanes.max(1));
            let others = self.copies.iter_mut().filter(|(n, c)| *n != name && idle(c));
            match others.min_by_key(|(_, c)| c.last_used) {
                Some((_, oldest)) => oldest.loaded -= 1,
                None => return false,
            }
        }
    }

    /// Fails the pending orders of a function after a failed load, and its queued calls too if no copy is loaded or
    /// loading.
    fn fail_waiting(&mut self, keys: &mut DedupTable, name: &str, out: &mut Vec<Reply>) {
        let Some(copies) = self.copies.get_mut(name) else { return };
        for (token, _) in copies.orders.drain(..) {
            out.push(Reply::Copies { token, count: copies.loaded, fulfilled: false });
        }
        if copies.loaded + copies.loading == 0 {
            for waiting in copies.queue.drain(..) {
                discard(keys, &waiting.call, out);
                out.push(Reply::Miss { token: waiting.call.token, load_failed: true });
            }
        }
    }

    /// Starts queued calls while lanes and cores are free, and loads a further copy of functions whose lanes are all
    /// busy.
    fn run_queued(&mut self, now: Micros, store: &mut Store, out: &mut Vec<Reply>) {
        let speed = self.spec.speed * self.capacity_share(now) / self.slowdown;
        let names: Vec<String> =
            self.copies.iter().filter(|(_, c)| !c.queue.is_empty()).map(|(n, _)| n.clone()).collect();
        for name in names {
            while let Some(copies) = self.copies.get_mut(&name) {
                let lane_free = copies.busy_lanes < copies.loaded * copies.lanes;
                if !lane_free || self.running.len() >= self.spec.cores as usize {
                    break;
                }
                let Some(waiting) = copies.queue.pop_front() else { break };
                copies.busy_lanes += 1;
                copies.last_used = now;
                let work = waiting.call.work.unwrap_or(self.spec.default_work) as f64;
                let (event, attempt) = (waiting.call.event.clone(), waiting.call.attempt.clone());
                out.push(Reply::Ran { event, attempt });
                self.timers.set(now + (work / speed) as Micros, Timer::CallFinished(waiting.call.token));
                self.running.insert(waiting.call.token, (waiting.call, waiting.copy, waiting.crowd));
            }
            let needs_copy = |c: &Copies| {
                !c.queue.is_empty() && c.busy_lanes >= c.loaded * c.lanes && c.loading == 0 && c.loaded > 0
            };
            if self.copies.get(&name).is_some_and(needs_copy) {
                self.load(now, store, &name);
            }
        }
    }

    /// Handles all timers that expired by `now`.
    pub fn run_timers(
        &mut self,
        now: Micros,
        (store, keys): (&mut Store, &mut DedupTable),
        out: &mut Vec<Reply>,
    ) {
        while let Some((_, timer)) = self.timers.pop_due(now) {
            match timer {
                Timer::CallFinished(token) => self.finish(now, keys, token, out),
                Timer::Fetched(number) => {
                    store.end_fetch();
                    if let Some((_, fetching)) = self.loading.get_mut(&number) {
                        *fetching = false;
                        self.timers.set(now + self.spec.fetch_and_start.1, Timer::Loaded(number));
                    }
                }
                Timer::Loaded(number) => {
                    self.on_loaded(now, number, out);
                    self.begin_queued_load(now, (store, keys), out);
                }
                Timer::IdleCheck => {
                    let idle_timeout = self.spec.idle_timeout;
                    for copies in self
                        .copies
                        .values_mut()
                        .filter(|c| c.busy_lanes == 0 && c.last_used + idle_timeout <= now)
                    {
                        copies.loaded = 0;
                    }
                }
            }
            self.run_queued(now, store, out);
        }
    }

    /// Begins the next queued load after one has ended.
    fn begin_queued_load(
        &mut self,
        now: Micros,
        (store, keys): (&mut Store, &mut DedupTable),
        out: &mut Vec<Reply>,
    ) {
        let Some(name) = self.waiting_loads.pop_front() else { return };
        if !self.begin_load(now, store, &name, false) {
            if let Some(copies) = self.copies.get_mut(&name) {
                copies.loading -= 1;
            }
            self.fail_waiting(keys, &name, out);
        }
    }

    fn on_loaded(&mut self, now: Micros, number: u64, out: &mut Vec<Reply>) {
        let Some((name, _)) = self.loading.remove(&number) else { return };
        let Some(copies) = self.copies.get_mut(&name) else { return };
        copies.loading -= 1;
        copies.loaded += 1;
        copies.last_used = now;
        let loaded = copies.loaded;
        let fulfilled: Vec<u64> =
            copies.orders.iter().filter(|(_, n)| *n <= loaded).map(|(t, _)| *t).collect();
        copies.orders.retain(|(_, n)| *n > loaded);
        out.extend(fulfilled.into_iter().map(|token| Reply::Copies {
            token,
            count: loaded,
            fulfilled: true,
        }));
        self.timers.set(now + self.spec.idle_timeout + 1, Timer::IdleCheck);
    }

    fn finish(&mut self, now: Micros, keys: &mut DedupTable, token: u64, out: &mut Vec<Reply>) {
        let Some((call, copy, crowd)) = self.running.remove(&token) else { return };
        if let Some(copies) = self.copies.get_mut(&call.function) {
            copies.busy_lanes -= 1;
            copies.last_used = now;
        }
        self.timers.set(now + self.spec.idle_timeout + 1, Timer::IdleCheck);
        out.push(Reply::Ok { token, copy, crowd });
        if call.window.is_some() {
            let reply = |token| Reply::Ok { token, copy: CopyState::Loaded, crowd };
            out.extend(keys.complete(&call.event).into_iter().map(reply));
        }
    }
}

/// Removes the key of a call that will not run, and answers the repeats that waited for it with `full`.
fn discard(keys: &mut DedupTable, call: &Call, out: &mut Vec<Reply>) {
    if call.window.is_some() {
        out.extend(keys.cancel(&call.event).into_iter().map(|token| Reply::Full { token }));
    }
}
