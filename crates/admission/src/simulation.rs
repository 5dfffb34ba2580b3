//! Simulation of the gateways of several sites in virtual time, with workers, clients that retry, and facts that are
//! delayed or lost. The same seed gives the same run.
//!
//! Each gateway has a queue like that of the engine: ordered by value, and a call is refused early if the calls ahead
//! of it would delay it beyond its aim. With shared admission switched off, this queue alone sheds load, at each
//! gateway for itself.

use crate::controller::{AdmissionController, ControllerFault};
use crate::limiter::{LimiterFault, LoopLimiter};
use crate::settings::{AdmissionSettings, ClassSettings};
use crate::table::ShareTable;
use crate::types::{AttemptKind, CallOutcome, Decision};
use basaltward_membership::{MemberId, Micros, Site, SiteMap};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

const SECOND: Micros = 1_000_000;
/// Interval at which counters are read and tables computed.
const CONTROL_INTERVAL: Micros = 100_000;
/// Delay after which membership detects that a gateway has departed, returned or become unreachable.
const DETECTION_DELAY: Micros = 2 * SECOND;

/// Calls of one class and tenant that arrive at one site, or evenly at all sites.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalStream {
    /// Site at which the calls arrive; `None` for all sites.
    pub site: Option<Site>,
    /// Class index.
    pub class: usize,
    /// Tenant index.
    pub tenant: usize,
    /// First attempts per second at a load factor of 1.
    pub rate: f64,
    /// The rate is not multiplied by the load factor.
    pub ignores_load: bool,
}

/// Fleet, clients and load of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Number of sites.
    pub sites: Site,
    /// Number of gateways at each site.
    pub gateways: MemberId,
    /// Number of workers at each site; each executes one call at a time.
    pub workers: usize,
    /// Number of calls that queue at each worker, in order of arrival.
    pub worker_queue_depth: usize,
    /// Workers report how long a call has waited in their queue.
    pub workers_report_waits: bool,
    /// Mean execution time of a call: one half is constant, the other is drawn from an exponential distribution.
    pub mean_work: Micros,
    /// Call classes.
    pub classes: Vec<ClassSettings>,
    /// Quota of each tenant in calls per second; empty without tenants.
    pub quotas: Vec<f64>,
    /// Value of calls above the quota, as a fraction of the value of their class.
    pub over_share_value: f64,
    /// Streams of arriving calls.
    pub streams: Vec<ArrivalStream>,
    /// Load factors, each with the time from which it applies.
    pub load_steps: Vec<(Micros, f64)>,
    /// Fraction of clients that retry at the scheduled time; the others retry with exponential backoff.
    pub honour_share: f64,
    /// Time after which clients stop retrying.
    pub patience: Micros,
    /// Fraction of retries for which the client picks a random gateway of the site instead of the previous one.
    pub roaming_share: f64,
    /// Clients mark retries as such.
    pub clients_mark_retries: bool,
    /// Maximum delay of facts, and the fraction of them that is lost.
    pub fact_delay_and_loss: (Micros, f64),
    /// Gateways use limiters and publish facts; otherwise each sheds for itself.
    pub shared_admission: bool,
}

impl SimulationConfig {
    /// Four sites of two gateways and ten workers, each site with a capacity of 200 calls per second.
    pub fn new() -> Self {
        Self {
            sites: 4,
            gateways: 2,
            workers: 10,
            worker_queue_depth: 2,
            workers_report_waits: true,
            mean_work: 50_000,
            classes: vec![ClassSettings { value: 1.0, aim: 500_000, deadline: 2 * SECOND }],
            quotas: Vec::new(),
            over_share_value: 1.0,
            streams: vec![ArrivalStream {
                site: None,
                class: 0,
                tenant: 0,
                rate: 800.0,
                ignores_load: false,
            }],
            load_steps: vec![(0, 1.0)],
            honour_share: 0.5,
            patience: 5 * SECOND,
            roaming_share: 0.5,
            clients_mark_retries: false,
            fact_delay_and_loss: (600_000, 0.1),
            shared_admission: true,
        }
    }

    /// Capacity of all sites together in calls per second.
    pub fn capacity(&self) -> f64 {
        f64::from(self.sites) * self.workers as f64 * 1e6 / self.mean_work as f64
    }

    /// Number of gateways.
    fn gateway_count(&self) -> MemberId {
        MemberId::from(self.sites) * self.gateways
    }
}

impl Default for SimulationConfig {
    fn default() -> Self {
        Self::new()
    }
}

/// Action on the fleet.
#[derive(Clone, Debug)]
pub enum Action {
    /// Kills a gateway.
    Kill(MemberId),
    /// Starts a gateway again, without any state.
    Start(MemberId),
    /// Partitions these gateways from all others; their links to workers and clients stay up.
    Partition(Vec<MemberId>),
    /// Ends all partitions.
    Heal,
    /// Stalls a gateway's control thread for this time.
    Stall(MemberId, Micros),
    /// Makes a gateway publish these rates instead of its own: capacity, and arrivals of each cell.
    FalseReport(MemberId, f64, f64),
    /// Injects a fault into all controllers.
    InjectFault(ControllerFault),
    /// Injects a fault into all limiters.
    InjectLimiterFault(LimiterFault),
}

/// Counters of one second.
#[derive(Clone, Debug, Default)]
pub struct SecondStats {
    /// First attempts.
    pub first_attempts: u32,
    /// First attempts by tenant.
    pub first_attempts_by_tenant: BTreeMap<usize, u32>,
    /// Calls answered within the aim of the attempt.
    pub served: u32,
    /// Calls answered within the aim by tenant.
    pub served_by_tenant: BTreeMap<usize, u32>,
    /// Total value of the calls answered within the aim.
    pub value: f64,
    /// Retries that limiters admitted by the retry budget.
    pub budgeted_retries: u32,
    /// Retries that limiters admitted at their scheduled time.
    pub reserved_retries: u32,
    /// All attempts.
    pub attempts: u32,
    /// Attempts made at the scheduled retry time, and the number of them that were admitted.
    pub scheduled_retries: (u32, u32),
    /// Calls refused after admission.
    pub failed: u32,
    /// Attempts that limiters admitted by gateway.
    pub admitted_by_gateway: BTreeMap<MemberId, u32>,
}

/// Event of the simulation; events at the same time run in the order in which they were scheduled.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// Next call of a stream.
    Arrival(usize),
    /// Attempt for a call.
    Attempt(u64),
    /// A worker of the site has executed a call of this gateway and incarnation.
    Completed(Site, MemberId, u32, u64),
    /// Step of a gateway's control thread.
    ControlStep(MemberId),
    /// A fact reaches the first gateway from the second.
    Fact(MemberId, MemberId, u8, Vec<u8>),
    /// The first gateway detects that the second is live or is not.
    LivenessChange(MemberId, MemberId, bool),
    /// Applies the action with this index.
    Action(usize),
}

struct Call {
    class: usize,
    tenant: usize,
    site: Site,
    gateway: Option<MemberId>,
    /// Time of the first attempt.
    started_at: Micros,
    attempts: u32,
    honours_retry_after: bool,
    /// The current attempt comes at the scheduled retry time.
    on_schedule: bool,
    /// Time of the current attempt.
    arrived_at: Micros,
    wait: Micros,
}

struct Gateway {
    up: bool,
    incarnation: u32,
    limiters: Vec<LoopLimiter>,
    controller: AdmissionController,
    table: Option<ShareTable>,
    stalled_until: Micros,
    false_report: Option<(f64, f64)>,
    /// Waiting calls, by decreasing value.
    queue: BTreeMap<u64, VecDeque<u64>>,
    waiting: usize,
    in_flight: u32,
    /// Mean time between answers while calls wait, in microseconds, and the number of measurements.
    answer_gap: (f64, u32),
    last_answer: Micros,
    /// Tokens left within the quota at this gateway, by tenant.
    quota_tokens: Vec<f64>,
    quota_refilled_at: Micros,
}

/// Simulated fleet with its workers and clients.
pub struct Simulation {
    config: SimulationConfig,
    /// Current time.
    pub now: Micros,
    gateways: Vec<Gateway>,
    /// Number of calls that the workers execute, by site.
    busy: Vec<usize>,
    /// Calls in the queues of each site's workers, with the gateway that sent them and its incarnation.
    queued: Vec<VecDeque<(MemberId, u32, u64)>>,
    /// Position at the site of the gateway that is served next, by site.
    next_gateway: Vec<MemberId>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence: u64,
    rng: StdRng,
    actions: Vec<Action>,
    /// Gateways that are partitioned from the others.
    partitioned: Vec<bool>,
    /// Whether a gateway considers another one live, by observer, then member.
    live: Vec<Vec<bool>>,
    /// Counters by second.
    pub seconds: Vec<SecondStats>,
    /// Faults injected into all controllers and all limiters, also into those of gateways started later.
    faults: (Option<ControllerFault>, Option<LimiterFault>),
}

impl Simulation {
    /// A fleet that has just been started, and the actions to apply to it, each with its time.
    pub fn new(config: SimulationConfig, seed: u64, actions: Vec<(Micros, Action)>) -> Self {
        let gateway_count = config.gateway_count();
        let mut simulation = Self {
            now: 0,
            busy: vec![0; config.sites.into()],
            queued: vec![VecDeque::new(); config.sites.into()],
            next_gateway: vec![0; config.sites.into()],
            calls: BTreeMap::new(),
            next_call: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
            actions: Vec::new(),
            partitioned: vec![false; gateway_count.into()],
            live: vec![vec![true; gateway_count.into()]; gateway_count.into()],
            seconds: Vec::new(),
            gateways: Vec::new(),
            faults: (None, None),
            config,
        };
        simulation.gateways = (0..gateway_count).map(|member| simulation.gateway(member, 0)).collect();
        for member in 0..gateway_count {
            let at = simulation.rng.random_range(0..CONTROL_INTERVAL);
            simulation.schedule_event(at, Event::ControlStep(member));
        }
        (0..simulation.config.streams.len()).for_each(|stream| simulation.schedule_next_arrival(stream));
        for (at, action) in actions {
            simulation.actions.push(action);
            simulation.schedule_event(at, Event::Action(simulation.actions.len() - 1));
        }
        simulation
    }

    fn settings(&self, member: MemberId) -> AdmissionSettings {
        let sites = (0..self.config.gateway_count()).map(|at| (at / self.config.gateways) as Site).collect();
        let site_map = SiteMap::new(sites, member).unwrap_or_else(|| unreachable!("all are in the list"));
        let defaults =
            AdmissionSettings::new(self.config.classes.clone(), self.config.quotas.clone(), site_map);
        AdmissionSettings { over_share_value: self.config.over_share_value, loops: 2, ..defaults }
    }

    fn gateway(&self, member: MemberId, incarnation: u32) -> Gateway {
        let settings = self.settings(member);
        let mut limiters: Vec<LoopLimiter> =
            (0..settings.loops).map(|at| LoopLimiter::new(self.now, settings.clone(), at)).collect();
        let mut controller =
            AdmissionController::new(self.now, settings).unwrap_or_else(|error| unreachable!("{error}"));
        self.faults.0.into_iter().for_each(|fault| controller.inject_fault(fault));
        self.faults
            .1
            .into_iter()
            .for_each(|fault| limiters.iter_mut().for_each(|limiter| limiter.inject_fault(fault)));
        Gateway {
            up: true,
            incarnation,
            limiters,
            controller,
            table: None,
            stalled_until: 0,
            false_report: None,
            queue: BTreeMap::new(),
            waiting: 0,
            in_flight: 0,
            answer_gap: (0.0, 0),
            last_answer: 0,
            quota_tokens: vec![0.0; self.config.quotas.len()],
            quota_refilled_at: 0,
        }
    }

    /// Capacity estimate of a gateway for its site in calls per second.
    pub fn estimated_capacity(&self, member: MemberId) -> Option<f64> {
        self.gateways.get(usize::from(member))?.controller.estimated_capacity()
    }

    fn schedule_event(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn current_second(&mut self) -> &mut SecondStats {
        let at = (self.now / SECOND) as usize;
        if self.seconds.len() <= at {
            self.seconds.resize_with(at + 1, SecondStats::default);
        }
        &mut self.seconds[at]
    }

    fn schedule_next_arrival(&mut self, stream: usize) {
        let arrivals = self.config.streams[stream];
        let load = self
            .config
            .load_steps
            .iter()
            .rev()
            .find(|(from, _)| *from <= self.now)
            .map_or(1.0, |(_, load)| *load);
        let rate = arrivals.rate * if arrivals.ignores_load { 1.0 } else { load };
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate.max(1e-3) * 1e6;
        self.schedule_event(self.now + gap as Micros + 1, Event::Arrival(stream));
    }

    /// Runs the simulation until this time.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(Reverse((at, ..))) = self.events.peek()
            && *at <= until
        {
            let Some(Reverse((at, _, event))) = self.events.pop() else { return };
            self.now = at;
            match event {
                Event::Arrival(stream) => self.arrive(stream),
                Event::Attempt(id) => self.attempt(id),
                Event::Completed(site, member, incarnation, id) => {
                    self.complete(site, member, incarnation, id)
                }
                Event::ControlStep(member) => self.run_control_step(member),
                Event::Fact(to, from, key, value) => {
                    let gateway = &mut self.gateways[usize::from(to)];
                    if gateway.up && gateway.stalled_until <= at {
                        gateway.controller.receive_fact(at, from, key, &value);
                    }
                }
                Event::LivenessChange(observer, member, live) => {
                    if self.is_reachable(observer, member) == live {
                        self.live[usize::from(observer)][usize::from(member)] = live;
                    }
                }
                Event::Action(index) => self.apply(self.actions[index].clone()),
            }
        }
        self.now = until;
    }

    fn is_reachable(&self, observer: MemberId, member: MemberId) -> bool {
        let (observer, member) = (usize::from(observer), usize::from(member));
        self.gateways[member].up && self.partitioned[observer] == self.partitioned[member]
    }

    fn schedule_liveness_changes(&mut self) {
        for observer in 0..self.config.gateway_count() {
            for member in 0..self.config.gateway_count() {
                let live = self.is_reachable(observer, member);
                if self.live[usize::from(observer)][usize::from(member)] != live {
                    self.schedule_event(
                        self.now + DETECTION_DELAY,
                        Event::LivenessChange(observer, member, live),
                    );
                }
            }
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Kill(member) => {
                let gateway = &mut self.gateways[usize::from(member)];
                gateway.up = false;
                gateway.queue.clear();
                gateway.incarnation += 1;
                let lost: Vec<u64> = self
                    .calls
                    .iter()
                    .filter(|(_, call)| call.gateway == Some(member))
                    .map(|(id, _)| *id)
                    .collect();
                lost.into_iter().for_each(|id| self.retry_or_give_up(id, None, 50_000));
            }
            Action::Start(member) => {
                let incarnation = self.gateways[usize::from(member)].incarnation + 1;
                self.gateways[usize::from(member)] = self.gateway(member, incarnation);
            }
            Action::Partition(group) => {
                group.iter().for_each(|member| self.partitioned[usize::from(*member)] = true)
            }
            Action::Heal => self.partitioned.fill(false),
            Action::Stall(member, span) => self.gateways[usize::from(member)].stalled_until = self.now + span,
            Action::FalseReport(member, capacity, arrivals) => {
                self.gateways[usize::from(member)].false_report = Some((capacity, arrivals))
            }
            Action::InjectFault(fault) => {
                self.faults.0 = Some(fault);
                self.gateways.iter_mut().for_each(|gateway| gateway.controller.inject_fault(fault));
            }
            Action::InjectLimiterFault(fault) => {
                self.faults.1 = Some(fault);
                let limiters = self.gateways.iter_mut().flat_map(|gateway| &mut gateway.limiters);
                limiters.for_each(|limiter| limiter.inject_fault(fault));
            }
        }
        self.schedule_liveness_changes();
    }

    fn arrive(&mut self, stream: usize) {
        self.schedule_next_arrival(stream);
        let ArrivalStream { site, class, tenant, .. } = self.config.streams[stream];
        let site = site.unwrap_or_else(|| self.rng.random_range(0..self.config.sites));
        let honours_retry_after = self.rng.random::<f64>() < self.config.honour_share;
        let (id, started_at) = (self.next_call, self.now);
        self.next_call += 1;
        let call = Call {
            class,
            tenant,
            site,
            gateway: None,
            started_at,
            attempts: 0,
            honours_retry_after,
            on_schedule: false,
            arrived_at: started_at,
            wait: 0,
        };
        self.calls.insert(id, call);
        let second = self.current_second();
        second.first_attempts += 1;
        *second.first_attempts_by_tenant.entry(tenant).or_default() += 1;
        self.attempt(id);
    }

    /// Makes an attempt of a client, at the gateway of its previous attempt or at another one.
    fn attempt(&mut self, id: u64) {
        let now = self.now;
        let Some(call) = self.calls.get(&id) else { return };
        let changes_gateway = call.gateway.is_none() || self.rng.random::<f64>() < self.config.roaming_share;
        let first = MemberId::from(call.site) * self.config.gateways;
        let up: Vec<MemberId> = (first..first + self.config.gateways)
            .filter(|member| self.gateways[usize::from(*member)].up)
            .collect();
        let member = match call.gateway {
            Some(member) if !changes_gateway && up.contains(&member) => member,
            _ if up.is_empty() => return self.retry_or_give_up(id, None, 100_000),
            _ => up[self.rng.random_range(0..up.len())],
        };
        let Some(call) = self.calls.get_mut(&id) else { return };
        (call.gateway, call.arrived_at) = (Some(member), now);
        let (class, tenant, on_schedule) = (call.class, call.tenant, call.on_schedule);
        let kind = if call.attempts > 0 && self.config.clients_mark_retries {
            AttemptKind::Retry
        } else {
            AttemptKind::First
        };
        call.attempts += 1;
        let gateway = &mut self.gateways[usize::from(member)];
        let limiter = (id % gateway.limiters.len() as u64) as usize;
        let table = gateway.table.as_ref().filter(|_| self.config.shared_admission);
        let decision = gateway.limiters[limiter].admit(now, table, class, tenant, kind, id);
        let second = self.current_second();
        second.attempts += 1;
        second.scheduled_retries.0 += u32::from(on_schedule);
        match decision {
            Decision::Shed(after) => self.retry_or_give_up(id, Some(after), 100_000),
            Decision::Admit => {
                second.scheduled_retries.1 += u32::from(on_schedule);
                *second.admitted_by_gateway.entry(member).or_default() += 1;
                self.enqueue(member, id);
            }
        }
    }

    /// Schedules the client's next attempt, or drops the call when its patience has run out.
    fn retry_or_give_up(&mut self, id: u64, retry_after: Option<Micros>, default_delay: Micros) {
        let (now, patience) = (self.now, self.config.patience);
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.on_schedule = retry_after.is_some() && call.honours_retry_after;
        let delay = match retry_after {
            // The Retry-After header holds whole seconds.
            Some(retry_after) if call.honours_retry_after => retry_after.div_ceil(SECOND).max(1) * SECOND,
            _ => default_delay << call.attempts.min(4),
        };
        if now + delay > call.started_at + patience {
            self.calls.remove(&id);
        } else {
            self.schedule_event(now + delay, Event::Attempt(id));
        }
    }

    /// Queues an admitted call by its value, or refuses it if the calls ahead of it would delay it beyond its aim.
    fn enqueue(&mut self, member: MemberId, id: u64) {
        let now = self.now;
        let Some(call) = self.calls.get(&id) else { return };
        let (class, tenant) = (call.class, call.tenant);
        let fleet_size = f64::from(self.config.gateway_count());
        let gateway = &mut self.gateways[usize::from(member)];
        let mut value = self.config.classes[class].value;
        if !self.config.quotas.is_empty() {
            let seconds = now.saturating_sub(gateway.quota_refilled_at) as f64 / 1e6;
            gateway.quota_refilled_at = now;
            for (tokens, quota) in gateway.quota_tokens.iter_mut().zip(&self.config.quotas) {
                let rate = quota / fleet_size;
                *tokens = (*tokens + rate * seconds).min(rate.max(1.0));
            }
            if gateway.quota_tokens[tenant] >= 1.0 {
                gateway.quota_tokens[tenant] -= 1.0;
            } else {
                value *= self.config.over_share_value;
            }
        }
        let queue_key = u64::MAX - (value * 1e6) as u64;
        let ahead: usize = gateway.queue.range(..=queue_key).map(|(_, waiting)| waiting.len()).sum();
        let (answer_gap, gap_count) = gateway.answer_gap;
        let aim = self.config.classes[class].aim;
        let excess = ahead as f64 * answer_gap - aim as f64;
        if gap_count >= 10 && gateway.waiting > 0 && excess > 0.0 {
            return self.handle_refusal(member, id, (excess as Micros).min(5 * SECOND));
        }
        gateway.queue.entry(queue_key).or_default().push_back(id);
        gateway.waiting += 1;
        gateway.in_flight += 1;
        let site = (member / self.config.gateways) as Site;
        self.dispatch(site);
    }

    fn handle_refusal(&mut self, member: MemberId, id: u64, default_delay: Micros) {
        let Some(call) = self.calls.get(&id) else { return };
        let gateway = &mut self.gateways[usize::from(member)];
        let limiter = (id % gateway.limiters.len() as u64) as usize;
        let delay = if self.config.shared_admission {
            let table = gateway.table.as_ref();
            gateway.limiters[limiter].record_refusal(self.now, table, call.class, call.tenant, id)
        } else {
            default_delay
        };
        self.current_second().failed += 1;
        self.retry_or_give_up(id, Some(delay), 100_000);
    }

    /// Sends waiting calls to workers with free queue slots, from the site's gateways in turn, and starts idle workers.
    fn dispatch(&mut self, site: Site) {
        let at = usize::from(site);
        let first = MemberId::from(site) * self.config.gateways;
        let slots = self.config.workers * (self.config.worker_queue_depth + 1);
        while self.busy[at] + self.queued[at].len() < slots {
            let start = self.next_gateway[at];
            let next = (0..self.config.gateways)
                .map(|step| first + (start + step) % self.config.gateways)
                .find(|member| {
                    self.gateways[usize::from(*member)].queue.values().any(|waiting| !waiting.is_empty())
                });
            let Some(member) = next else { break };
            self.next_gateway[at] = (member - first + 1) % self.config.gateways;
            let gateway = &mut self.gateways[usize::from(member)];
            let Some(id) = gateway.queue.values_mut().find_map(VecDeque::pop_front) else { break };
            gateway.waiting = gateway.waiting.saturating_sub(1);
            let Some(call) = self.calls.get_mut(&id) else { continue };
            if self.now > call.arrived_at + self.config.classes[call.class].aim {
                gateway.in_flight = gateway.in_flight.saturating_sub(1);
                self.handle_refusal(member, id, SECOND);
                continue;
            }
            call.wait = self.now - call.arrived_at;
            let incarnation = gateway.incarnation;
            self.queued[at].push_back((member, incarnation, id));
            self.start_work(site);
        }
        self.start_work(site);
    }

    fn start_work(&mut self, site: Site) {
        let at = usize::from(site);
        while self.busy[at] < self.config.workers
            && let Some((member, incarnation, id)) = self.queued[at].pop_front()
        {
            self.busy[at] += 1;
            let half = self.config.mean_work as f64 / 2.0;
            let drawn = -(1.0 - self.rng.random::<f64>()).ln() * half;
            if let Some(call) = self.calls.get_mut(&id).filter(|_| self.config.workers_report_waits) {
                call.wait = self.now - call.arrived_at;
            }
            self.schedule_event(
                self.now + (half + drawn) as Micros,
                Event::Completed(site, member, incarnation, id),
            );
        }
    }

    fn complete(&mut self, site: Site, member: MemberId, incarnation: u32, id: u64) {
        let now = self.now;
        self.busy[usize::from(site)] -= 1;
        let gateway = &mut self.gateways[usize::from(member)];
        if gateway.incarnation == incarnation
            && let Some(call) = self.calls.remove(&id)
        {
            gateway.in_flight = gateway.in_flight.saturating_sub(1);
            if gateway.waiting > 0 {
                let gap = now.saturating_sub(gateway.last_answer) as f64;
                let weight = if gateway.answer_gap.1 == 0 { 1.0 } else { 0.05 };
                gateway.answer_gap =
                    (gateway.answer_gap.0 + weight * (gap - gateway.answer_gap.0), gateway.answer_gap.1 + 1);
            }
            gateway.last_answer = now;
            let in_time = now <= call.arrived_at + self.config.classes[call.class].aim;
            let limiter = (id % gateway.limiters.len() as u64) as usize;
            let outcome = if in_time { CallOutcome::Served(call.wait) } else { CallOutcome::Late(call.wait) };
            gateway.limiters[limiter].record_outcome(call.class, call.tenant, outcome);
            if in_time {
                let value = self.config.classes[call.class].value;
                let second = self.current_second();
                second.served += 1;
                second.value += value;
                *second.served_by_tenant.entry(call.tenant).or_default() += 1;
            }
        }
        self.dispatch(site);
    }

    /// Runs one step of a gateway's control thread: reads counters, computes a table and publishes facts.
    fn run_control_step(&mut self, member: MemberId) {
        let now = self.now;
        self.schedule_event(now + CONTROL_INTERVAL, Event::ControlStep(member));
        let at = usize::from(member);
        let gateway = &mut self.gateways[at];
        if !gateway.up || gateway.stalled_until > now || !self.config.shared_admission {
            return;
        }
        let loops = gateway.limiters.len() as u32;
        let (mut budgeted, mut reserved) = (0, 0);
        for (loop_no, limiter) in gateway.limiters.iter_mut().enumerate() {
            let counts = limiter.take_counts(now, gateway.in_flight / loops);
            budgeted += counts.by_cell.iter().map(|count| count.budgeted_retries).sum::<u32>();
            reserved += counts.by_cell.iter().map(|count| count.reserved_retries).sum::<u32>();
            gateway.controller.record_counts(now, loop_no, &counts);
        }
        gateway.table = Some(gateway.controller.compute_table(now, &self.live[at]));
        let mut facts = gateway.controller.take_due_facts(now);
        if let Some((capacity, arrivals)) = gateway.false_report {
            facts.iter_mut().for_each(|(key, value)| crate::wire::falsify(*key, value, capacity, arrivals));
        }
        let second = self.current_second();
        second.budgeted_retries += budgeted;
        second.reserved_retries += reserved;
        for (key, value) in facts {
            for to in 0..self.config.gateway_count() {
                let lost = self.rng.random::<f64>() < self.config.fact_delay_and_loss.1;
                let delay = self.rng.random_range(20_000..=self.config.fact_delay_and_loss.0.max(20_000));
                if to != member && self.is_reachable(member, to) && !lost {
                    self.schedule_event(now + delay, Event::Fact(to, member, key, value.clone()));
                }
            }
        }
    }
}
