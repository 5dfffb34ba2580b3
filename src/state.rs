//! State of the decision module: plain records, an exponentially decaying value and hashes. The policy is in
//! `control.rs`.

use crate::interface::*;
use crate::worker_access::DrainEvidence;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time constant of the demand average. The pressure-ratio paper uses 60 s; idle copies here are kept for only
/// about ten seconds.
pub const WINDOW_US: f64 = 10_000_000.0;

/// Output buffer for actions.
pub type Out = Vec<Action>;

/// A value that decays exponentially. Each method takes the time constant as `span`, in microseconds: after one
/// span without an update, 1/e of the value is left.
#[derive(Clone, Copy, Default)]
pub struct DecayingValue {
    pub value: f64,
    pub updated_at: Micros,
}

impl DecayingValue {
    pub fn get(&self, now: Micros, span: f64) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * (-(now.saturating_sub(self.updated_at) as f64) / span).exp()
    }

    /// Moves the decayed value toward `sample` by the fraction `share`.
    pub fn blend(&mut self, now: Micros, sample: f64, share: f64, span: f64) {
        let before = self.get(now, span);
        *self = Self { value: before + share * (sample - before), updated_at: now };
    }

    pub fn add(&mut self, now: Micros, amount: f64, span: f64) {
        self.value = self.get(now, span) + amount;
        self.updated_at = now;
    }
}

/// Attempts in flight at a worker as (time at which it becomes overdue, request, attempt number).
pub type DueAttempts = BTreeSet<(Micros, RequestId, usize)>;

/// State that this scheduler holds for one worker.
pub struct Worker {
    pub member: Member,
    /// Listed and active. Once this is false, nothing is sent to the worker and no load is ordered there.
    pub usable: bool,
    /// Busy time of the requests this scheduler sent, weighted by class; decays.
    pub demand: DecayingValue,
    /// Hash of its id.
    pub hash: u64,
    /// Send credit during slow start, in requests, as of `cold_at`.
    pub cold_credit: f64,
    /// Time of the last update of `cold_credit`.
    pub cold_at: Micros,
    /// This scheduler's attempts in flight there.
    pub due: DueAttempts,
    /// Memory of the copies that are loaded there according to this scheduler's records, MB.
    pub placed_mb: f64,
    /// Latency relative to the function's typical latency, minus 1; decays.
    pub slowness: DecayingValue,
    /// Weighted count of failed connections, resets, errors and failed loads; decays.
    pub failures: DecayingValue,
    /// Time of the last answer to a request of each class.
    pub answered_at: Vec<Micros>,
    /// Overdue attempts of each class; decays, and drops with each answer.
    pub unanswered: Vec<DecayingValue>,
    /// Requests of other schedulers in flight there, from the worker's load reports.
    pub others_in_flight: DecayingValue,
    /// Evidence of whether it drains, collected while the list of workers is out of reach.
    pub drain_evidence: DrainEvidence,
}

/// State of one function on one worker, according to this scheduler's records.
#[derive(Default)]
pub struct Place {
    /// At least one copy is loaded.
    pub loaded: bool,
    /// Number of loaded copies.
    pub copies: u32,
    /// This scheduler's attempts in flight for the function there.
    pub in_flight: u32,
    /// Start time of a load under way.
    pub loading: Option<Micros>,
    pub last_used: Micros,
    pub loaded_at: Micros,
    /// Requests of other schedulers for the function there, from crowd reports; decays.
    pub crowd: DecayingValue,
}

/// State that this scheduler holds for one function.
#[derive(Default)]
pub struct Function {
    pub memory_mb: f64,
    pub lanes: u32,
    pub load_time: Micros,
    /// Typical latency at a loaded copy, in microseconds.
    pub latency: f64,
    /// The strictest class's aim over that of its own class: 1 for the strictest class, less for others.
    pub weight: f64,
    /// Requests received; decays over the demand window.
    pub rate: DecayingValue,
    pub class: usize,
    pub hash: u64,
    /// Number of crowds reported for it; decays.
    pub crowd_reports: DecayingValue,
    /// Sum of the crowds reported for it; decays. The mean crowd times the holders estimates the requests in
    /// flight in the whole fleet.
    pub crowd_sum: DecayingValue,
    /// Number of workers that should hold copies.
    pub holders: f64,
    pub created_at: Micros,
    pub last_called: Micros,
    /// Worker on which it is placed.
    pub home: Option<WorkerId>,
    /// Worker that becomes the home once a copy is loaded there.
    pub moving_to: Option<WorkerId>,
    pub places: BTreeMap<WorkerId, Place>,
    /// Number of unanswered queries for loaded copies.
    pub queries: u32,
    /// Time until which calls wait for the answers to the last queries; 0 if none was sent.
    pub query_deadline: Micros,
    /// Time of the last served call.
    pub served_at: Micros,
    /// Calls were waiting for the function when it was last served.
    pub had_waiting: bool,
    /// Mean time between answers while calls waited, in microseconds.
    pub gap: f64,
    /// Number of samples of `gap`.
    pub gap_count: u32,
    /// After a failed order, the earliest time of the next one. Without the pause, each answer that the worker
    /// is full would cause another order.
    pub order_after: Micros,
}

/// One attempt of a request.
pub struct Attempt {
    pub worker: WorkerId,
    pub zone: usize,
    pub cell: u64,
    pub sent: Micros,
    /// Time at which it becomes overdue.
    pub due: Micros,
    /// Found overdue and counted in [`Worker::unanswered`].
    pub overdue: bool,
    pub ended: Option<Code>,
}

/// A request that is unanswered or still has attempts in flight.
pub struct PendingRequest {
    pub request: Request,
    /// Time at which the client gives up.
    pub deadline: Micros,
    /// Latest time for an answer of full value; not after the deadline.
    pub aim: Micros,
    /// It exceeded its tenant's share when it arrived.
    pub over_share: bool,
    /// It waits although copies are loaded, because their workers have no free capacity.
    pub awaits_capacity: bool,
    pub attempts: Vec<Attempt>,
    /// The final answer was sent, or the client has left.
    pub answered: bool,
    /// It is queued in [`Controller::waiting`].
    pub is_waiting: bool,
    /// The answer has begun to stream: the deadline no longer applies and no further attempt is sent.
    pub streaming: bool,
}

/// The purpose of a timer.
pub enum TimerPurpose {
    /// The client's deadline.
    Deadline(RequestId),
    /// The attempt of this number is overdue.
    Overdue(RequestId, usize),
    /// A request that still waits can no longer meet its aim.
    Shed(RequestId),
}

/// Waiting calls of one function.
#[derive(Default)]
pub struct WaitingCalls {
    /// Calls within their tenant's share at index 0, calls over it at index 1; sorted by aim and id.
    pub queues: [BTreeSet<(Micros, RequestId)>; 2],
    /// Routing is skipped until this time: no copy is loaded, and the function waits for an answer or for the
    /// end of a pause. Every event that may change this resets it to 0.
    pub blocked_until: Micros,
}

/// The call to route next, as (over its share, aim missed, aim, id). Calls within their tenant's share come
/// first, then calls whose aim has not passed, then those with the earlier aim.
pub fn first_waiting(now: Micros, calls: &WaitingCalls) -> Option<(bool, bool, Micros, RequestId)> {
    [false, true].into_iter().find_map(|over_share| {
        let (calls, at) = (&calls.queues[usize::from(over_share)], (now, RequestId(0)));
        let found = calls.range(at..).next().or_else(|| calls.range(..at).next());
        found.map(|(aim, id)| (over_share, *aim < now, *aim, *id))
    })
}

/// Removes a call from its waiting queue, if it is queued.
pub fn stop_waiting(
    (waiting, longest_queue): (&mut BTreeMap<FunctionId, WaitingCalls>, &Cell<Option<usize>>),
    call: &mut PendingRequest,
) {
    if !std::mem::take(&mut call.is_waiting) {
        return;
    }
    longest_queue.set(None);
    if let Some(calls) = waiting.get_mut(&call.request.function) {
        calls.queues[usize::from(call.over_share)].remove(&(call.aim, call.request.id));
        if calls.queues.iter().all(BTreeSet::is_empty) {
            waiting.remove(&call.request.function);
        }
    }
}

/// FNV-1a hash of an id.
pub fn text_hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
}

/// Rendezvous hash of a function and a worker; all schedulers compute the same value.
pub fn rendezvous(function: u64, worker: u64) -> u64 {
    let hash = (function ^ worker.rotate_left(23)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Assigns participant `index` of `count` one of `count` evenly spaced values between 0 and 1: the middle of its
/// interval after a permutation that depends on the key. Participants with the same key get distinct values.
pub fn stratified_fraction(index: u32, count: u32, key: u64) -> f64 {
    let count = u64::from(count.max(1));
    // Each step is a permutation of the numbers below a power of two. Results at or above `count` are permuted
    // again until they fall below it (cycle walking), so that no two indexes get the same place.
    let mask = count.next_power_of_two() - 1;
    let half = mask.count_ones().div_ceil(2);
    let mut place = u64::from(index) % count;
    loop {
        for round in 0..4 {
            let key = key.rotate_left(16 * round);
            place = ((place ^ key) & mask).wrapping_mul(key >> 32 | 1) & mask;
            place ^= place >> half;
        }
        if place < count {
            return (place as f64 + 0.5) / count as f64;
        }
    }
}

/// Statistics over the fleet, refreshed periodically.
#[derive(Default)]
pub struct FleetStats {
    /// Number of usable workers.
    pub workers: usize,
    /// The same, with a cold worker counted by the share of its capacity that it has.
    pub warm: f64,
    /// How far memory allows more copies than the lanes require, 0 to 1.
    pub headroom: f64,
    /// Mean configured memory over the kinds of worker, MB.
    pub memory_mb: f64,
    /// Mean reported size of the usable workers.
    pub hint: f64,
    /// Mean demand from this scheduler per usable worker.
    pub demand: f64,
    /// Mean number of requests in flight per usable worker.
    pub in_flight: f64,
    /// Weight of this scheduler's own measurements of a worker against the fleet's mean, 0 to 1.
    pub confidence: f64,
    /// 25th percentile of the workers' penalties, for each class.
    pub baseline_penalty: Vec<f64>,
}

impl FleetStats {
    /// A worker's reported size relative to the mean, limited to 0.25 to 4.
    pub fn relative_size(&self, worker: &Worker) -> f64 {
        if self.hint > 0.0 { (worker.hint() / self.hint).clamp(0.25, 4.0) } else { 1.0 }
    }
}

impl Worker {
    /// Its reported size, or 1 if that is not a positive number.
    pub fn hint(&self) -> f64 {
        if self.member.hint.is_finite() && self.member.hint > 0.0 { self.member.hint } else { 1.0 }
    }

    pub fn new(member: Member, now: Micros, classes: usize, due: DueAttempts) -> Self {
        Self {
            hash: text_hash(member.worker.as_str()),
            usable: member.state == WorkerState::Active,
            member,
            demand: DecayingValue::default(),
            cold_credit: 0.0,
            cold_at: now,
            due,
            placed_mb: 0.0,
            slowness: DecayingValue::default(),
            failures: DecayingValue::default(),
            answered_at: vec![0; classes],
            unanswered: vec![DecayingValue::default(); classes],
            others_in_flight: DecayingValue::default(),
            drain_evidence: DrainEvidence::default(),
        }
    }
}

impl Attempt {
    pub fn new(member: &Member, sent: Micros, due: Micros) -> Self {
        let worker = member.worker.clone();
        Self { worker, zone: member.zone, cell: member.cell, sent, due, overdue: false, ended: None }
    }

    pub fn may_have_run(&self) -> bool {
        !self.ended.is_some_and(Code::never_ran)
    }
}

impl PendingRequest {
    pub fn new(request: Request, deadline: Micros, aim: Micros, over_share: bool) -> Self {
        let (attempts, answered, is_waiting, streaming, awaits_capacity) =
            (Vec::new(), false, false, false, false);
        Self {
            request,
            deadline,
            aim,
            over_share,
            awaits_capacity,
            attempts,
            answered,
            is_waiting,
            streaming,
        }
    }
}

/// The decision module of one scheduler.
pub struct Controller {
    pub(crate) settings: Settings,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    pub(crate) functions: BTreeMap<FunctionId, Function>,
    pub(crate) requests: BTreeMap<RequestId, PendingRequest>,
    pub(crate) timers: BTreeMap<u64, TimerPurpose>,
    pub(crate) next_token: u64,
    pub(crate) started: bool,
    pub(crate) next_rebalance: Micros,
    /// Functions still to be checked for a better home, in reverse order.
    pub(crate) rebalance_queue: Vec<FunctionId>,
    /// The subscription to the list of workers failed and must be renewed.
    pub(crate) watch_failed: bool,
    /// Freshness of the list of workers; `None` if it was never reported.
    pub(crate) list_freshness: Option<ListFreshness>,
    /// Typical latency of each class in microseconds, the initial estimate for a new function.
    pub(crate) class_latency: Vec<f64>,
    /// Attempts sent; decays.
    pub(crate) sends: DecayingValue,
    /// Requests served per warm worker; decays. A cold worker counts as the share of its capacity that it had
    /// when the request was served.
    pub(crate) served: DecayingValue,
    /// Second attempts for overdue ones; decays.
    pub(crate) hedges: DecayingValue,
    /// Share of attempts that were rejected, timed out or were answered late; decays.
    pub(crate) overload: DecayingValue,
    /// Admission credit during overload: each new request adds the share that is admitted, and each admitted
    /// one takes 1.
    pub(crate) admission_credit: f64,
    /// Requests of each tenant that were within its share on arrival; decays.
    pub(crate) tenants: Vec<DecayingValue>,
    pub(crate) waiting: BTreeMap<FunctionId, WaitingCalls>,
    pub(crate) fleet: FleetStats,
    pub(crate) local_hash: u64,
    pub(crate) next_maintenance: Micros,
    /// Shortest time between two load orders; 0 while loads succeed.
    pub(crate) load_gap: Micros,
    /// Earliest time of the next load order while `load_gap` is not 0.
    pub(crate) next_load: Micros,
    /// Time of the last increase of `load_gap`.
    pub(crate) load_gap_raised_at: Micros,
    /// Arrival times of the requests within the window of the order quota.
    pub(crate) recent_requests: VecDeque<Micros>,
    /// Send times of the orders within that window.
    pub(crate) recent_orders: VecDeque<Micros>,
    /// Cached largest number of calls waiting for one function.
    pub(crate) longest_queue: Cell<Option<usize>>,
    /// See [`Controller::placements_evaluated`].
    pub(crate) evaluations: Cell<u64>,
}

impl Controller {
    pub(crate) fn blank(settings: Settings, class_latency: Vec<f64>) -> Self {
        let tenants = vec![DecayingValue::default(); settings.tenant_quotas.len()];
        Self {
            settings,
            workers: BTreeMap::new(),
            functions: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: BTreeMap::new(),
            next_token: 1,
            started: false,
            next_rebalance: 0,
            rebalance_queue: Vec::new(),
            watch_failed: false,
            list_freshness: None,
            class_latency,
            sends: DecayingValue::default(),
            served: DecayingValue::default(),
            tenants,
            waiting: BTreeMap::new(),
            fleet: FleetStats::default(),
            local_hash: 0,
            next_maintenance: 0,
            hedges: DecayingValue::default(),
            overload: DecayingValue::default(),
            admission_credit: 1.0,
            load_gap: 0,
            next_load: 0,
            load_gap_raised_at: 0,
            recent_requests: VecDeque::new(),
            recent_orders: VecDeque::new(),
            longest_queue: Cell::new(None),
            evaluations: Cell::new(0),
        }
    }

    /// How often a worker has been evaluated as a place for a function since the start. Evaluations are most of
    /// the cost of decisions, and unlike time their count is reproducible.
    pub fn placements_evaluated(&self) -> u64 {
        self.evaluations.get()
    }

    /// Queues a request until a copy is loaded or capacity becomes free. `awaits_capacity` is true if copies are
    /// loaded but can't take it.
    pub(crate) fn enqueue(&mut self, id: RequestId, awaits_capacity: bool) {
        let Some(call) = self.requests.get_mut(&id) else { return };
        call.awaits_capacity = awaits_capacity;

        if !call.is_waiting {
            call.is_waiting = true;
            self.longest_queue.set(None);
            let calls = self.waiting.entry(call.request.function.clone()).or_default();
            calls.queues[usize::from(call.over_share)].insert((call.aim, id));
        }
    }

    pub(crate) fn set_timer(&mut self, after: Micros, purpose: TimerPurpose, out: &mut Out) {
        self.timers.insert(self.next_token, purpose);
        out.push(Action::Timer { after, token: self.next_token });
        self.next_token += 1;
    }
}
