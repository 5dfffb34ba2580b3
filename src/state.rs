//! The records that the policy keeps: plain data, a fading sum and a hash. Nothing here decides.

use crate::interface::*;
use crate::standing::DrainEvidence;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Span of the demand window (the paper has 60 s; keep-alive here is some ten seconds).
pub const DEMAND_WINDOW_US: f64 = 10_000_000.0;

/// Where a decision's actions go.
pub type Actions = Vec<Action>;

/// A sum that fades with time.
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

    /// Moves the value a share of the way to `toward`.
    pub fn blend(&mut self, now: Micros, toward: f64, share: f64, span: f64) {
        let before = self.get(now, span);
        *self = Self { value: before + share * (toward - before), updated_at: now };
    }

    pub fn add(&mut self, now: Micros, amount: f64, span: f64) {
        self.value = self.get(now, span) + amount;
        self.updated_at = now;
    }
}

/// Attempts out at a worker, by the time at which each becomes overdue.
pub type DueAttempts = BTreeSet<(Micros, RequestId, usize)>;

/// What this scheduler knows of one worker.
pub struct Worker {
    pub member: Member,
    /// In the list and active; all sends and loads stop the moment this turns false.
    pub usable: bool,
    /// Weighted busy time of our sends.
    pub demand: DecayingValue,
    /// Hash of its id.
    pub hash: u64,
    /// Sends accrued while it is cold, as of `cold_at`.
    pub cold_credit: f64,
    pub cold_at: Micros,
    /// Our attempts out, by the time at which each becomes overdue.
    pub due: DueAttempts,
    /// Memory of the instances that we placed there.
    pub placed_mb: f64,
    /// Latency over the function's usual latency, minus 1; fades.
    pub slowness: DecayingValue,
    /// Failed connections, resets, failed loads; fades.
    pub failures: DecayingValue,
    /// When each class was last answered.
    pub answered_at: Vec<Micros>,
    /// Overdue attempts of each class; fades, and falls with each answer.
    pub unanswered: Vec<DecayingValue>,
    /// Requests that others keep there, by its reports.
    pub others_in_flight: DecayingValue,
    /// What it has shown of itself while the list is out of reach.
    pub drain_evidence: DrainEvidence,
}

/// One function on one worker.
#[derive(Default)]
pub struct Place {
    pub loaded: bool,
    pub copies: u32,
    pub in_flight: u32,
    pub loading_since: Option<Micros>,
    pub last_used: Micros,
    pub loaded_at: Micros,
    /// Requests of other schedulers for this function there, by crowd notes; fades.
    pub crowd: DecayingValue,
}

/// What this scheduler knows of one function.
#[derive(Default)]
pub struct Function {
    pub memory_mb: f64,
    pub lanes: u32,
    pub load_time: Micros,
    /// Usual latency at a standing copy.
    pub typical_latency: f64,
    /// Strictness of its class, 1 for the strictest.
    pub weight: f64,
    pub rate: DecayingValue,
    pub class: usize,
    pub hash: u64,
    /// Notes of crowds, and the calls in hand that each stood for: the crowd times the holders.
    pub crowd_reports: DecayingValue,
    pub crowd_sum: DecayingValue,
    pub holders: f64,
    pub created_at: Micros,
    pub last_called: Micros,
    pub home: Option<WorkerId>,
    pub moving_to: Option<WorkerId>,
    pub places: BTreeMap<WorkerId, Place>,
    pub queries_in_flight: u32,
    pub query_deadline: Micros,
    /// When it was last served, whether calls waited for it then, and how far such answers come apart, by how
    /// many of them.
    pub served_at: Micros,
    pub had_waiting: bool,
    pub answer_gap: f64,
    pub answer_gap_count: u32,
    /// No further order before this time, after one failed: answers of full would else echo as orders.
    pub order_after: Micros,
}

/// One attempt of a request.
pub struct Attempt {
    pub worker: WorkerId,
    pub zone: usize,
    pub cell: u64,
    pub sent: Micros,
    pub due: Micros,
    /// It was counted as evidence of silence.
    pub counted_overdue: bool,
    pub ended: Option<Code>,
}

/// A request, kept until it is answered and all its attempts have ended.
pub struct PendingRequest {
    pub request: Request,
    pub deadline: Micros,
    pub aim: Micros,
    /// Past its tenant's share when it came.
    pub over_share: bool,
    /// It waits although copies stand: their workers have as much as they may.
    pub awaits_capacity: bool,
    pub attempts: Vec<Attempt>,
    pub answered: bool,
    pub is_waiting: bool,
    /// The answer has begun to stream: no deadline runs and nothing more is sent.
    pub streaming: bool,
}

pub enum TimerPurpose {
    Deadline(RequestId),
    Overdue(RequestId, usize),
    Shed(RequestId),
}

/// Calls of one function that wait.
#[derive(Default)]
pub struct WaitingCalls {
    /// By aim and id: those within their tenant's share, then those past it.
    pub queues: [BTreeSet<(Micros, RequestId)>; 2],
    /// Until then they can go nowhere: no copy stands, and an answer or a pause is awaited. Whatever may
    /// change that sets it to 0.
    pub blocked_until: Micros,
}

/// The call that comes first: within its share before past it, its aim still ahead before behind, then by
/// aim.
pub fn first_waiting(now: Micros, calls: &WaitingCalls) -> Option<(bool, bool, Micros, RequestId)> {
    [false, true].into_iter().find_map(|excess| {
        let (calls, at) = (&calls.queues[usize::from(excess)], (now, RequestId(0)));
        let found = calls.range(at..).next().or_else(|| calls.range(..at).next());
        found.map(|(aim, id)| (excess, *aim < now, *aim, *id))
    })
}

/// Takes a call out of those that wait, if it is among them.
pub fn stop_waiting(
    (waiting, most): (&mut BTreeMap<FunctionId, WaitingCalls>, &Cell<Option<usize>>),
    held: &mut PendingRequest,
) {
    if !std::mem::take(&mut held.is_waiting) {
        return;
    }
    most.set(None);
    if let Some(calls) = waiting.get_mut(&held.request.function) {
        calls.queues[usize::from(held.over_share)].remove(&(held.aim, held.request.id));
        if calls.queues.iter().all(BTreeSet::is_empty) {
            waiting.remove(&held.request.function);
        }
    }
}

/// A hash of an id.
pub fn text_hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
}

/// A hash of function and worker that every scheduler computes alike.
pub fn rendezvous(function: u64, worker: u64) -> u64 {
    let hash = (function ^ worker.rotate_left(23)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// The part of 0 to 1 that falls to one of `count`, all of them spread evenly: in the middle of its place
/// after a shuffle by the key, which is the same for all who know the key.
pub fn stratified_fraction(index: u32, count: u32, key: u64) -> f64 {
    let count = u64::from(count.max(1));
    // Each step maps the numbers below a power of two onto themselves, and those past the count go round
    // again until they come back among the others: no two get the same place.
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

/// Sums over the fleet, taken now and then.
#[derive(Default)]
pub struct FleetStats {
    /// Usable workers, and how many warm ones they come to: a cold one counts as far as it is warm.
    pub workers: usize,
    pub warm_equivalent: f64,
    /// How far memory allows more copies than lanes are needed, 0 to 1.
    pub memory_headroom: f64,
    /// Means over the usable workers: told memory, told size, our demand, requests held.
    pub memory_mb: f64,
    pub hint: f64,
    pub demand: f64,
    pub in_flight: f64,
    /// How far our own account of a worker is to be believed, 0 to 1.
    pub local_confidence: f64,
    /// Evidence that the better quarter of the workers stay under, for each class.
    pub baseline_penalty: Vec<f64>,
}

impl FleetStats {
    /// A worker's told size against the mean.
    pub fn relative_size(&self, worker: &Worker) -> f64 {
        if self.hint > 0.0 { (worker.hint() / self.hint).clamp(0.25, 4.0) } else { 1.0 }
    }
}

impl Worker {
    /// Its told size, 1 where none that makes sense was told.
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
        Self { worker, zone: member.zone, cell: member.cell, sent, due, counted_overdue: false, ended: None }
    }

    pub fn may_have_run(&self) -> bool {
        !self.ended.is_some_and(Code::never_ran)
    }
}

impl PendingRequest {
    pub fn new(told: Request, deadline: Micros, aim: Micros, excess: bool) -> Self {
        let (attempts, done, waiting, streaming, crowded) = (Vec::new(), false, false, false, false);
        Self {
            request: told,
            deadline,
            aim,
            over_share: excess,
            awaits_capacity: crowded,
            attempts,
            answered: done,
            is_waiting: waiting,
            streaming,
        }
    }
}

/// Decides for one scheduler.
pub struct Controller {
    pub(crate) settings: Settings,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    pub(crate) functions: BTreeMap<FunctionId, Function>,
    pub(crate) requests: BTreeMap<RequestId, PendingRequest>,
    pub(crate) timers: BTreeMap<u64, TimerPurpose>,
    pub(crate) next_token: u64,
    pub(crate) started: bool,
    pub(crate) next_rebalance: Micros,
    /// Functions still to be looked at for a better home, the next one last.
    pub(crate) rebalance_queue: Vec<FunctionId>,
    /// The subscription to the list failed and is to be asked for again.
    pub(crate) watch_failed: bool,
    /// How far the list is to be believed; `None` where nobody says.
    pub(crate) list_freshness: Option<ListFreshness>,
    /// Usual latency of each class, for functions not yet measured.
    pub(crate) class_typical_latency: Vec<f64>,
    pub(crate) sends: DecayingValue,
    /// Requests served lately for each warm worker, a cold one counted as far as it was warm then.
    pub(crate) served_per_warm_worker: DecayingValue,
    pub(crate) hedges: DecayingValue,
    /// Share of attempts that failed or came late; fades.
    pub(crate) overload: DecayingValue,
    /// Requests let in so far as by their part, not yet come.
    pub(crate) admission_credit: f64,
    pub(crate) tenants: Vec<DecayingValue>,
    pub(crate) waiting: BTreeMap<FunctionId, WaitingCalls>,
    pub(crate) fleet: FleetStats,
    pub(crate) local_hash: u64,
    pub(crate) next_maintenance: Micros,
    /// Shortest time between two load orders, 0 while loads do well; when the next may go, and when it last
    /// grew.
    pub(crate) load_gap: Micros,
    pub(crate) next_load: Micros,
    pub(crate) load_gap_raised_at: Micros,
    pub(crate) recent_requests: VecDeque<Micros>,
    pub(crate) recent_orders: VecDeque<Micros>,
    /// Most calls that wait for one function, where known.
    pub(crate) longest_queue: Cell<Option<usize>>,
    pub(crate) evaluations: Cell<u64>,
}

impl Controller {
    pub(crate) fn blank(settings: Settings, class_usual: Vec<f64>) -> Self {
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
            class_typical_latency: class_usual,
            sends: DecayingValue::default(),
            served_per_warm_worker: DecayingValue::default(),
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

    /// How often a worker was weighed as a place for a function so far: the greater part of what decisions
    /// cost, as a figure that repeats.
    pub fn placements_evaluated(&self) -> u64 {
        self.evaluations.get()
    }

    /// Keeps a request here until there is a copy or room for it.
    pub(crate) fn enqueue(&mut self, id: RequestId, crowded: bool) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        held.awaits_capacity = crowded;
        if !held.is_waiting {
            held.is_waiting = true;
            self.longest_queue.set(None);
            let calls = self.waiting.entry(held.request.function.clone()).or_default();
            calls.queues[usize::from(held.over_share)].insert((held.aim, id));
        }
    }

    pub(crate) fn set_timer(&mut self, after: Micros, wake: TimerPurpose, out: &mut Actions) {
        self.timers.insert(self.next_token, wake);
        out.push(Action::Timer { after, token: self.next_token });
        self.next_token += 1;
    }
}
