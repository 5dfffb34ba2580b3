//! Model of the workers of a site: copies in memory, lanes, cores, loads and the queues of waiting calls.

use crate::settings::FunctionSpec;
use basaltward_membership::{MemberId, Micros};
use std::collections::{BTreeMap, VecDeque};

/// Actual behaviour of a function, which is hidden from the gateways.
#[derive(Clone, Copy, Debug)]
pub struct ModelFunction {
    /// Configuration that the gateways have.
    pub spec: FunctionSpec,
    /// Mean service time of a call.
    pub service_time: Micros,
    /// Time to load a copy.
    pub load_time: Micros,
}

/// A call at a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Job {
    pub call: usize,
    pub attempt: u32,
    /// Gateway that the call is in flight at.
    pub gateway: MemberId,
    pub function: u32,
    pub arrived_at: Micros,
    /// Time after which the call is dropped.
    pub deadline: Micros,
    /// Service time drawn for the call.
    pub service_time: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Copy {
    id: u64,
    function: u32,
    ready_at: Micros,
    busy_lanes: u32,
    idle_since: Micros,
}

#[derive(Clone, Debug, Default)]
struct Worker {
    copies: Vec<Copy>,
    running: u32,
}

/// A copy idle for less than this is not evicted to free memory for another one.
const MIN_IDLE: Micros = 1_000_000;

/// Events that the simulation has to schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerEvent {
    /// A copy has finished loading.
    CopyLoaded,
    /// A call is done; `warm` if a loaded copy existed on its arrival.
    CallDone { job: Job, worker: usize, copy: u64, warm: bool },
    /// A waiting call has passed its deadline.
    CallExpired { job: Job },
}

/// Workers of a site.
#[derive(Debug)]
pub(crate) struct Workers {
    functions: Vec<ModelFunction>,
    workers: Vec<Worker>,
    cores: u32,
    memory_mb: u32,
    keep_alive: Micros,
    /// Waiting calls, by function.
    waiting: BTreeMap<u32, VecDeque<Job>>,
    /// Total service time of the waiting calls.
    waiting_work: Micros,
    next_copy_id: u64,
    /// Loads started so far.
    pub loads_started: u64,
}

impl Workers {
    pub fn new(
        functions: Vec<ModelFunction>,
        workers: u32,
        cores: u32,
        memory_mb: u32,
        keep_alive: Micros,
    ) -> Self {
        let workers = vec![Worker::default(); workers as usize];
        let waiting = BTreeMap::new();
        Self {
            functions,
            workers,
            cores,
            memory_mb,
            keep_alive,
            waiting,
            waiting_work: 0,
            next_copy_id: 0,
            loads_started: 0,
        }
    }

    /// Drops all copies and all running and waiting calls.
    pub fn clear(&mut self) {
        self.workers.iter_mut().for_each(|w| *w = Worker::default());
        self.waiting.clear();
        self.waiting_work = 0;
    }

    /// Evicts all idle copies.
    pub fn evict_idle_copies(&mut self) {
        self.workers.iter_mut().for_each(|w| w.copies.retain(|c| c.busy_lanes > 0));
    }

    pub fn workers(&self) -> u32 {
        self.workers.len() as u32
    }

    pub fn waiting(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }

    pub fn running(&self) -> u32 {
        self.workers.iter().map(|w| w.running).sum()
    }

    fn total_cores(&self) -> u64 {
        (self.workers.len() as u64 * u64::from(self.cores)).max(1)
    }

    /// Whether a call of a function would be started at once.
    pub fn can_start_now(&self, now: Micros, function: u32) -> bool {
        self.waiting.is_empty() && self.find_lane(now, function).is_some()
    }

    /// Expected latency of a call here by the actual state.
    pub fn estimate_latency(&self, now: Micros, function: u32) -> Micros {
        let model = &self.functions[function as usize];
        let free = self.workers.iter().any(|w| w.running < self.cores);
        let queue = if free { 0 } else { (self.waiting_work + model.service_time) / self.total_cores() };
        let copies = self.workers.iter().flat_map(|w| &w.copies).filter(|c| c.function == function);
        let ready = copies
            .filter(|c| c.busy_lanes < model.spec.lanes || !free)
            .map(|c| c.ready_at.saturating_sub(now))
            .min();
        queue.max(ready.unwrap_or(model.load_time)) + model.service_time
    }

    /// Whether a call that arrives now would wait past its deadline.
    pub fn is_full(&self, now: Micros, deadline: Micros) -> bool {
        now + self.waiting_work / self.total_cores() > deadline
    }

    pub fn submit(&mut self, now: Micros, job: Job, events: &mut Vec<(Micros, WorkerEvent)>) {
        self.waiting_work += job.service_time;
        self.waiting.entry(job.function).or_default().push_back(job);
        self.start_waiting(now, events);
    }

    /// Frees the lane and the core of a call that is done.
    pub fn release_lane(&mut self, now: Micros, worker: usize, copy: u64) {
        let Some(worker) = self.workers.get_mut(worker) else { return };
        worker.running = worker.running.saturating_sub(1);
        if let Some(copy) = worker.copies.iter_mut().find(|c| c.id == copy) {
            copy.busy_lanes = copy.busy_lanes.saturating_sub(1);
            copy.idle_since = now;
        }
    }

    /// Starts waiting calls that have a free lane, drops expired ones and loads copies for the others.
    pub fn start_waiting(&mut self, now: Micros, events: &mut Vec<(Micros, WorkerEvent)>) {
        let mut heads: Vec<_> =
            self.waiting.iter().filter_map(|(f, jobs)| Some((jobs.front()?.arrived_at, *f))).collect();
        heads.sort_unstable();
        for (_, function) in heads {
            while let Some(job) = self.waiting.get(&function).and_then(|jobs| jobs.front()).copied() {
                if now < job.deadline {
                    let Some((at, copy)) = self.find_lane(now, function) else {
                        self.start_load(now, function, events);
                        break;
                    };
                    let worker = &mut self.workers[at];
                    worker.running += 1;
                    let copy = &mut worker.copies[copy];
                    copy.busy_lanes += 1;
                    let warm = copy.ready_at <= job.arrived_at;
                    let done = WorkerEvent::CallDone { job, worker: at, copy: copy.id, warm };
                    events.push((now + job.service_time, done));
                } else {
                    events.push((now, WorkerEvent::CallExpired { job }));
                }
                self.waiting_work = self.waiting_work.saturating_sub(job.service_time);
                if let Some(jobs) = self.waiting.get_mut(&function) {
                    jobs.pop_front();
                }
            }
        }
        self.waiting.retain(|_, jobs| !jobs.is_empty());
    }

    /// A loaded copy with a free lane, at the worker with the fewest running calls: indices of the worker and the copy.
    fn find_lane(&self, now: Micros, function: u32) -> Option<(usize, usize)> {
        let lanes = self.functions[function as usize].spec.lanes;
        let with_free_core = self.workers.iter().enumerate().filter(|(_, w)| w.running < self.cores);
        let lane = |w: &Worker| {
            let fits = |c: &Copy| {
                let alive = c.busy_lanes > 0 || now <= c.idle_since.max(c.ready_at) + self.keep_alive;
                c.function == function && c.ready_at <= now && c.busy_lanes < lanes && alive
            };
            w.copies.iter().position(fits)
        };
        let lanes = with_free_core.filter_map(|(at, w)| Some((w.running, at, lane(w)?)));
        lanes.min().map(|(_, at, copy)| (at, copy))
    }

    /// Loads another copy if more calls wait than the copies being loaded have lanes.
    fn start_load(&mut self, now: Micros, function: u32, events: &mut Vec<(Micros, WorkerEvent)>) {
        let model = self.functions[function as usize];
        let all = self.workers.iter().flat_map(|w| &w.copies).filter(|c| c.function == function);
        let loading_lanes = all.filter(|c| c.ready_at > now).count() * model.spec.lanes as usize;
        let waiting = self.waiting.get(&function).map_or(0, VecDeque::len);
        let (keep_alive, mb) = (self.keep_alive, |f: u32| self.functions[f as usize].spec.memory_mb);
        let is_idle = |c: &Copy| c.busy_lanes == 0 && c.idle_since.max(c.ready_at) + MIN_IDLE < now;
        let used = |w: &Worker| w.copies.iter().map(|c| mb(c.function)).sum::<u32>();
        let in_use =
            |w: &Worker| w.copies.iter().filter(|c| !is_idle(c)).map(|c| mb(c.function)).sum::<u32>();
        let fits = |w: &Worker| w.running < self.cores && in_use(w) + model.spec.memory_mb <= self.memory_mb;
        if waiting <= loading_lanes {
            return;
        }
        let candidates = self.workers.iter().enumerate().filter(|(_, w)| fits(w));
        let Some((at, _)) = candidates.min_by_key(|(_, w)| (w.running, used(w))) else { return };
        let mut used_mb = used(&self.workers[at]);
        let mut idle: Vec<_> = self.workers[at]
            .copies
            .iter()
            .filter(|c| is_idle(c))
            .map(|c| (c.idle_since, c.id, c.function))
            .collect();
        idle.sort_unstable();
        let mut evicted = Vec::new();
        for (since, id, evictable) in idle {
            if now > since + keep_alive || used_mb + model.spec.memory_mb > self.memory_mb {
                used_mb -= mb(evictable);
                evicted.push(id);
            }
        }
        let (ready_at, id) = (now + model.load_time, self.next_copy_id);
        self.next_copy_id += 1;
        self.loads_started += 1;
        let worker = &mut self.workers[at];
        worker.copies.retain(|c| !evicted.contains(&c.id));
        worker.copies.push(Copy { id, function, ready_at, busy_lanes: 0, idle_since: ready_at });
        events.push((ready_at, WorkerEvent::CopyLoaded));
    }
}
