//! The records that the policy keeps: plain data, a fading sum and a hash. Nothing here decides.

use crate::interface::*;
use crate::standing::Standing;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Span of the demand window (the paper has 60 s; keep-alive here is some ten seconds).
pub const WINDOW_US: f64 = 10_000_000.0;

/// Where a decision's actions go.
pub type Out = Vec<Action>;

/// A sum that fades with time.
#[derive(Clone, Copy, Default)]
pub struct Fading {
    pub value: f64,
    pub at: Micros,
}

impl Fading {
    pub fn get(&self, now: Micros, span: f64) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * (-(now.saturating_sub(self.at) as f64) / span).exp()
    }

    /// Moves the value a share of the way to `toward`.
    pub fn ease(&mut self, now: Micros, toward: f64, share: f64, span: f64) {
        let before = self.get(now, span);
        *self = Self { value: before + share * (toward - before), at: now };
    }

    pub fn add(&mut self, now: Micros, amount: f64, span: f64) {
        self.value = self.get(now, span) + amount;
        self.at = now;
    }
}

/// Attempts out at a worker, by the time at which each becomes overdue.
pub type Due = BTreeSet<(Micros, RequestId, usize)>;

/// What this scheduler knows of one worker.
pub struct Worker {
    pub member: Member,
    /// In the list and active; all sends and loads stop the moment this turns false.
    pub usable: bool,
    /// Weighted busy time of our sends.
    pub demand: Fading,
    /// Hash of its id.
    pub hash: u64,
    /// Sends accrued while it is cold, as of `cold_at`.
    pub cold_credit: f64,
    pub cold_at: Micros,
    /// Our attempts out, by the time at which each becomes overdue.
    pub due: Due,
    /// Memory of the instances that we placed there.
    pub placed_mb: f64,
    /// Latency over the function's usual latency, minus 1; fades.
    pub slowness: Fading,
    /// Failed connections, resets, failed loads; fades.
    pub strain: Fading,
    /// When each class was last answered.
    pub heard: Vec<Micros>,
    /// Overdue attempts of each class; fades, and falls with each answer.
    pub missed: Vec<Fading>,
    /// Requests that others keep there, by its reports.
    pub others: Fading,
    /// What it has shown of itself while the list is out of reach.
    pub standing: Standing,
}

/// One function on one worker.
#[derive(Default)]
pub struct Place {
    pub standing: bool,
    pub copies: u32,
    pub out: u32,
    pub loading: Option<Micros>,
    pub last: Micros,
    pub loaded_at: Micros,
    /// Requests of other schedulers for this function there, by crowd notes; fades.
    pub crowd: Fading,
}

/// What this scheduler knows of one function.
#[derive(Default)]
pub struct Function {
    pub mb: f64,
    pub lanes: u32,
    pub load: Micros,
    /// Usual latency at a standing copy.
    pub usual: f64,
    /// Strictness of its class, 1 for the strictest.
    pub weight: f64,
    pub rate: Fading,
    pub class: usize,
    pub hash: u64,
    /// Notes of crowds, and the calls in hand that each stood for: the crowd times the holders.
    pub notes: Fading,
    pub crowds: Fading,
    pub holders: f64,
    pub born: Micros,
    pub last: Micros,
    pub home: Option<WorkerId>,
    pub moving: Option<WorkerId>,
    pub places: BTreeMap<WorkerId, Place>,
    pub asks_out: u32,
    pub ask_until: Micros,
    /// When it was last served, whether calls waited for it then, and how far such answers come apart, by how
    /// many of them.
    pub served_at: Micros,
    pub queued: bool,
    pub gap: f64,
    pub gaps: u32,
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
    pub missed: bool,
    pub ended: Option<Code>,
}

/// A request, kept until it is answered and all its attempts have ended.
pub struct Held {
    pub told: Request,
    pub deadline: Micros,
    pub aim: Micros,
    /// Past its tenant's share when it came.
    pub excess: bool,
    /// It waits although copies stand: their workers have as much as they may.
    pub crowded: bool,
    pub attempts: Vec<Attempt>,
    pub done: bool,
    pub waiting: bool,
    /// The answer has begun to stream: no deadline runs and nothing more is sent.
    pub streaming: bool,
}

pub enum Wake {
    Deadline(RequestId),
    Overdue(RequestId, usize),
    Shed(RequestId),
}

/// Calls of one function that wait.
#[derive(Default)]
pub struct Waiting {
    /// By aim and id: those within their tenant's share, then those past it.
    pub parts: [BTreeSet<(Micros, RequestId)>; 2],
    /// Until then they can go nowhere: no copy stands, and an answer or a pause is awaited. Whatever may
    /// change that sets it to 0.
    pub rests: Micros,
}

/// The call that comes first: within its share before past it, its aim still ahead before behind, then by
/// aim.
pub fn first_waiting(now: Micros, calls: &Waiting) -> Option<(bool, bool, Micros, RequestId)> {
    [false, true].into_iter().find_map(|excess| {
        let (calls, at) = (&calls.parts[usize::from(excess)], (now, RequestId(0)));
        let found = calls.range(at..).next().or_else(|| calls.range(..at).next());
        found.map(|(aim, id)| (excess, *aim < now, *aim, *id))
    })
}

/// Takes a call out of those that wait, if it is among them.
pub fn release((waiting, most): (&mut BTreeMap<FunctionId, Waiting>, &Cell<Option<usize>>), held: &mut Held) {
    if !std::mem::take(&mut held.waiting) {
        return;
    }
    most.set(None);
    if let Some(calls) = waiting.get_mut(&held.told.function) {
        calls.parts[usize::from(held.excess)].remove(&(held.aim, held.told.id));
        if calls.parts.iter().all(BTreeSet::is_empty) {
            waiting.remove(&held.told.function);
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
pub fn stratum(index: u32, count: u32, key: u64) -> f64 {
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
pub struct Fleet {
    /// Usable workers, and how many warm ones they come to: a cold one counts as far as it is warm.
    pub workers: usize,
    pub warm: f64,
    /// How far memory allows more copies than lanes are needed, 0 to 1.
    pub room: f64,
    /// Means over the usable workers: told memory, told size, our demand, requests held.
    pub memory_mb: f64,
    pub hint: f64,
    pub demand: f64,
    pub present: f64,
    /// How far our own account of a worker is to be believed, 0 to 1.
    pub trust: f64,
    /// Evidence that the better quarter of the workers stay under, for each class.
    pub evidence: Vec<f64>,
}

impl Fleet {
    /// A worker's told size against the mean.
    pub fn size(&self, worker: &Worker) -> f64 {
        if self.hint > 0.0 { (worker.hint() / self.hint).clamp(0.25, 4.0) } else { 1.0 }
    }
}

impl Worker {
    /// Its told size, 1 where none that makes sense was told.
    pub fn hint(&self) -> f64 {
        if self.member.hint.is_finite() && self.member.hint > 0.0 { self.member.hint } else { 1.0 }
    }

    pub fn new(member: Member, now: Micros, classes: usize, due: Due) -> Self {
        Self {
            hash: text_hash(member.worker.as_str()),
            usable: member.state == WorkerState::Active,
            member,
            demand: Fading::default(),
            cold_credit: 0.0,
            cold_at: now,
            due,
            placed_mb: 0.0,
            slowness: Fading::default(),
            strain: Fading::default(),
            heard: vec![0; classes],
            missed: vec![Fading::default(); classes],
            others: Fading::default(),
            standing: Standing::default(),
        }
    }
}

impl Attempt {
    pub fn new(member: &Member, sent: Micros, due: Micros) -> Self {
        let worker = member.worker.clone();
        Self { worker, zone: member.zone, cell: member.cell, sent, due, missed: false, ended: None }
    }

    pub fn may_have_run(&self) -> bool {
        !self.ended.is_some_and(Code::never_ran)
    }
}

impl Held {
    pub fn new(told: Request, deadline: Micros, aim: Micros, excess: bool) -> Self {
        let (attempts, done, waiting, streaming, crowded) = (Vec::new(), false, false, false, false);
        Self { told, deadline, aim, excess, crowded, attempts, done, waiting, streaming }
    }
}

/// Decides for one scheduler.
pub struct Controller {
    pub(crate) settings: Settings,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    pub(crate) functions: BTreeMap<FunctionId, Function>,
    pub(crate) requests: BTreeMap<RequestId, Held>,
    pub(crate) wakes: BTreeMap<u64, Wake>,
    pub(crate) next_token: u64,
    pub(crate) started: bool,
    pub(crate) next_replace: Micros,
    /// Functions still to be looked at for a better home, the next one last.
    pub(crate) to_replace: Vec<FunctionId>,
    /// The subscription to the list failed and is to be asked for again.
    pub(crate) ask_list: bool,
    /// How far the list is to be believed; `None` where nobody says.
    pub(crate) list_trust: Option<ListFreshness>,
    /// Usual latency of each class, for functions not yet measured.
    pub(crate) class_usual: Vec<f64>,
    pub(crate) sends: Fading,
    /// Requests served lately for each warm worker, a cold one counted as far as it was warm then.
    pub(crate) served: Fading,
    pub(crate) hedges: Fading,
    /// Share of attempts that failed or came late; fades.
    pub(crate) jam: Fading,
    /// Requests let in so far as by their part, not yet come.
    pub(crate) admitted: f64,
    pub(crate) tenants: Vec<Fading>,
    pub(crate) waiting: BTreeMap<FunctionId, Waiting>,
    pub(crate) fleet: Fleet,
    pub(crate) own_hash: u64,
    pub(crate) next_walk: Micros,
    /// Shortest time between two load orders, 0 while loads do well; when the next may go, and when it last
    /// grew.
    pub(crate) load_gap: Micros,
    pub(crate) next_load: Micros,
    pub(crate) gap_grew: Micros,
    pub(crate) taken: VecDeque<Micros>,
    pub(crate) orders: VecDeque<Micros>,
    /// Most calls that wait for one function, where known.
    pub(crate) most: Cell<Option<usize>>,
    pub(crate) looks: Cell<u64>,
}

impl Controller {
    pub(crate) fn blank(settings: Settings, class_usual: Vec<f64>) -> Self {
        let tenants = vec![Fading::default(); settings.tenant_quotas.len()];
        Self {
            settings,
            workers: BTreeMap::new(),
            functions: BTreeMap::new(),
            requests: BTreeMap::new(),
            wakes: BTreeMap::new(),
            next_token: 1,
            started: false,
            next_replace: 0,
            to_replace: Vec::new(),
            ask_list: false,
            list_trust: None,
            class_usual,
            sends: Fading::default(),
            served: Fading::default(),
            tenants,
            waiting: BTreeMap::new(),
            fleet: Fleet::default(),
            own_hash: 0,
            next_walk: 0,
            hedges: Fading::default(),
            jam: Fading::default(),
            admitted: 1.0,
            load_gap: 0,
            next_load: 0,
            gap_grew: 0,
            taken: VecDeque::new(),
            orders: VecDeque::new(),
            most: Cell::new(None),
            looks: Cell::new(0),
        }
    }

    /// How often a worker was weighed as a place for a function so far: the greater part of what decisions
    /// cost, as a figure that repeats.
    pub fn placements_evaluated(&self) -> u64 {
        self.looks.get()
    }

    /// Keeps a request here until there is a copy or room for it.
    pub(crate) fn hold(&mut self, id: RequestId, crowded: bool) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        held.crowded = crowded;
        if !held.waiting {
            held.waiting = true;
            self.most.set(None);
            let calls = self.waiting.entry(held.told.function.clone()).or_default();
            calls.parts[usize::from(held.excess)].insert((held.aim, id));
        }
    }

    pub(crate) fn wake(&mut self, after: Micros, wake: Wake, out: &mut Out) {
        self.wakes.insert(self.next_token, wake);
        out.push(Action::Timer { after, token: self.next_token });
        self.next_token += 1;
    }
}
