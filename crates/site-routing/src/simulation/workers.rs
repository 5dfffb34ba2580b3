//! Workers of a site, modelled: copies in memory, lanes, cores, loads, and calls that wait for them.

use crate::settings::FunctionSpec;
use basaltward_membership::{MemberId, Micros};
use std::collections::{BTreeMap, VecDeque};

/// What a function does, which nobody is told.
#[derive(Clone, Copy, Debug)]
pub struct ModelFunction {
    /// What is told.
    pub spec: FunctionSpec,
    /// Mean time of a call in service.
    pub service_time: Micros,
    /// Time to load a copy.
    pub load_time: Micros,
}

/// A call at a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Job {
    pub call: usize,
    pub attempt: u32,
    /// Gateway that has it in hand.
    pub gateway: MemberId,
    pub function: u32,
    pub arrived_at: Micros,
    /// Nobody waits for it after this.
    pub deadline: Micros,
    /// What it will take in service.
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

/// A copy idle for less is not let go for another one.
const MIN_IDLE: Micros = 1_000_000;

/// What is to be done later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerEvent {
    /// A copy is loaded.
    CopyLoaded,
    /// A call is done; it found a copy that stood.
    CallDone { job: Job, worker: usize, copy: u64, warm: bool },
    /// A call has waited past its time.
    CallExpired { job: Job },
}

/// A site's workers.
#[derive(Debug)]
pub(crate) struct Workers {
    functions: Vec<ModelFunction>,
    workers: Vec<Worker>,
    cores: u32,
    memory_mb: u32,
    keep_alive: Micros,
    waiting: BTreeMap<u32, VecDeque<Job>>,
    waiting_work: Micros,
    next_copy_id: u64,
    /// Loads begun.
    pub loads_started: u64,
}

impl Workers {
    pub fn new(
        functions: Vec<ModelFunction>,
        workers: u32,
        cores: u32,
        memory_mb: u32,
        keep: Micros,
    ) -> Self {
        let workers = vec![Worker::default(); workers as usize];
        let waiting = BTreeMap::new();
        Self {
            functions,
            workers,
            cores,
            memory_mb,
            keep_alive: keep,
            waiting,
            waiting_work: 0,
            next_copy_id: 0,
            loads_started: 0,
        }
    }

    /// All copies are gone, and all that ran or waited.
    pub fn clear(&mut self) {
        self.workers.iter_mut().for_each(|w| *w = Worker::default());
        self.waiting.clear();
        self.waiting_work = 0;
    }

    /// All copies that do nothing are gone.
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

    /// Whether a call of a function would be begun at once.
    pub fn can_start_now(&self, now: Micros, function: u32) -> bool {
        self.waiting.is_empty() && self.find_lane(now, function).is_some()
    }

    /// Time that a call would take here, by all that is true now.
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

    /// Whether a call that comes now would wait past its time.
    pub fn is_full(&self, now: Micros, until: Micros) -> bool {
        now + self.waiting_work / self.total_cores() > until
    }

    pub fn submit(&mut self, now: Micros, job: Job, later: &mut Vec<(Micros, WorkerEvent)>) {
        self.waiting_work += job.service_time;
        self.waiting.entry(job.function).or_default().push_back(job);
        self.start_waiting(now, later);
    }

    /// A call is done: its lane is free.
    pub fn release_lane(&mut self, now: Micros, worker: usize, copy: u64) {
        let Some(worker) = self.workers.get_mut(worker) else { return };
        worker.running = worker.running.saturating_sub(1);
        if let Some(copy) = worker.copies.iter_mut().find(|c| c.id == copy) {
            copy.busy_lanes = copy.busy_lanes.saturating_sub(1);
            copy.idle_since = now;
        }
    }

    /// Begins what can be begun, and loads what is wanted.
    pub fn start_waiting(&mut self, now: Micros, later: &mut Vec<(Micros, WorkerEvent)>) {
        let mut heads: Vec<_> =
            self.waiting.iter().filter_map(|(f, jobs)| Some((jobs.front()?.arrived_at, *f))).collect();
        heads.sort_unstable();
        for (_, function) in heads {
            while let Some(job) = self.waiting.get(&function).and_then(|jobs| jobs.front()).copied() {
                if now < job.deadline {
                    let Some((at, copy)) = self.find_lane(now, function) else {
                        self.start_load(now, function, later);
                        break;
                    };
                    let worker = &mut self.workers[at];
                    worker.running += 1;
                    let copy = &mut worker.copies[copy];
                    copy.busy_lanes += 1;
                    let warm = copy.ready_at <= job.arrived_at;
                    let done = WorkerEvent::CallDone { job, worker: at, copy: copy.id, warm };
                    later.push((now + job.service_time, done));
                } else {
                    later.push((now, WorkerEvent::CallExpired { job }));
                }
                self.waiting_work = self.waiting_work.saturating_sub(job.service_time);
                if let Some(jobs) = self.waiting.get_mut(&function) {
                    jobs.pop_front();
                }
            }
        }
        self.waiting.retain(|_, jobs| !jobs.is_empty());
    }

    /// A lane of a standing copy at the worker with the most cores free.
    fn find_lane(&self, now: Micros, function: u32) -> Option<(usize, usize)> {
        let lanes = self.functions[function as usize].spec.lanes;
        let open = self.workers.iter().enumerate().filter(|(_, w)| w.running < self.cores);
        let lane = |w: &Worker| {
            let fits = |c: &Copy| {
                let kept = c.busy_lanes > 0 || now <= c.idle_since.max(c.ready_at) + self.keep_alive;
                c.function == function && c.ready_at <= now && c.busy_lanes < lanes && kept
            };
            w.copies.iter().position(fits)
        };
        let lanes = open.filter_map(|(at, w)| Some((w.running, at, lane(w)?)));
        lanes.min().map(|(_, at, copy)| (at, copy))
    }

    /// Loads another copy where as many calls wait as those under way have lanes.
    fn start_load(&mut self, now: Micros, function: u32, later: &mut Vec<(Micros, WorkerEvent)>) {
        let model = self.functions[function as usize];
        let all = self.workers.iter().flat_map(|w| &w.copies).filter(|c| c.function == function);
        let coming = all.filter(|c| c.ready_at > now).count() * model.spec.lanes as usize;
        let wait = self.waiting.get(&function).map_or(0, VecDeque::len);
        let (keep, mb) = (self.keep_alive, |f: u32| self.functions[f as usize].spec.memory_mb);
        let idle = |c: &Copy| c.busy_lanes == 0 && c.idle_since.max(c.ready_at) + MIN_IDLE < now;
        let used = |w: &Worker| w.copies.iter().map(|c| mb(c.function)).sum::<u32>();
        let held = |w: &Worker| w.copies.iter().filter(|c| !idle(c)).map(|c| mb(c.function)).sum::<u32>();
        let fits = |w: &Worker| w.running < self.cores && held(w) + model.spec.memory_mb <= self.memory_mb;
        if wait <= coming {
            return;
        }
        let places = self.workers.iter().enumerate().filter(|(_, w)| fits(w));
        let Some((at, _)) = places.min_by_key(|(_, w)| (w.running, used(w))) else { return };
        let mut taken = used(&self.workers[at]);
        let mut idle: Vec<_> = self.workers[at]
            .copies
            .iter()
            .filter(|c| idle(c))
            .map(|c| (c.idle_since, c.id, c.function))
            .collect();
        idle.sort_unstable();
        let mut out = Vec::new();
        for (since, number, of) in idle {
            if now > since + keep || taken + model.spec.memory_mb > self.memory_mb {
                taken -= mb(of);
                out.push(number);
            }
        }
        let (ready, number) = (now + model.load_time, self.next_copy_id);
        self.next_copy_id += 1;
        self.loads_started += 1;
        let worker = &mut self.workers[at];
        worker.copies.retain(|c| !out.contains(&c.id));
        worker.copies.push(Copy { id: number, function, ready_at: ready, busy_lanes: 0, idle_since: ready });
        later.push((ready, WorkerEvent::CopyLoaded));
    }
}
