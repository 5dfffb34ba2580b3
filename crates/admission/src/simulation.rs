//! Gateways of several sites in virtual time, with workers, clients that try again, and facts that are late or lost.
//! One seed, one history. Each gateway has its queue as the engine has: by worth, refused early where those ahead take
//! it past its aim. Without doors that is how each gateway sheds for itself.

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

const S: Micros = 1_000_000;
/// Tables are made and counts read so often.
const STEP: Micros = 100_000;
/// A view notices so late who has gone or is cut off.
const NOTICE: Micros = 2 * S;

/// Calls of one class and tenant that come to one site, or evenly to all.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalStream {
    /// Where.
    pub site: Option<Site>,
    /// Class.
    pub class: usize,
    /// Tenant.
    pub tenant: usize,
    /// First tries a second at a load of 1.
    pub rate: f64,
    /// The load doesn't multiply it.
    pub ignores_load: bool,
}

/// What is set up.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Sites.
    pub sites: Site,
    /// Gateways at each.
    pub gateways: MemberId,
    /// Workers at each, of one call at a time.
    pub workers: usize,
    /// Calls that queue at each worker, in the order in which they come.
    pub worker_queue_depth: usize,
    /// Workers tell how long a call has waited in their queue.
    pub workers_report_waits: bool,
    /// Mean work of a call: half of it always, half drawn.
    pub mean_work: Micros,
    /// Classes.
    pub classes: Vec<ClassSettings>,
    /// Quotas of tenants.
    pub quotas: Vec<f64>,
    /// Worth past the quota.
    pub over_share_value: f64,
    /// What comes.
    pub streams: Vec<ArrivalStream>,
    /// From when on which load.
    pub load_steps: Vec<(Micros, f64)>,
    /// Share of clients that come again at the time told; the others come again at once, then slower.
    pub honour_share: f64,
    /// How long clients go on.
    pub patience: Micros,
    /// Share of tries that go to another gateway of the site.
    pub roaming_share: f64,
    /// Clients say that a try is a further one.
    pub clients_mark_retries: bool,
    /// Facts are late by up to this, and lost in this share.
    pub fact_delay_and_loss: (Micros, f64),
    /// With doors and told facts; else each for itself.
    pub shared_admission: bool,
}

impl SimulationConfig {
    /// Four sites of two gateways and ten workers, good for 200 calls a second each.
    pub fn new() -> Self {
        Self {
            sites: 4,
            gateways: 2,
            workers: 10,
            worker_queue_depth: 2,
            workers_report_waits: true,
            mean_work: 50_000,
            classes: vec![ClassSettings { value: 1.0, aim: 500_000, deadline: 2 * S }],
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
            patience: 5 * S,
            roaming_share: 0.5,
            clients_mark_retries: false,
            fact_delay_and_loss: (600_000, 0.1),
            shared_admission: true,
        }
    }

    /// Calls a second that all sites can do.
    pub fn capacity(&self) -> f64 {
        f64::from(self.sites) * self.workers as f64 * 1e6 / self.mean_work as f64
    }

    fn size(&self) -> MemberId {
        MemberId::from(self.sites) * self.gateways
    }
}

impl Default for SimulationConfig {
    fn default() -> Self {
        Self::new()
    }
}

/// What is done to a fleet.
#[derive(Clone, Debug)]
pub enum Action {
    /// A gateway is killed.
    Kill(MemberId),
    /// A gateway is started again; it knows nothing.
    Start(MemberId),
    /// These gateways are cut off from all others; workers and clients are reached as before.
    Partition(Vec<MemberId>),
    /// All reach one another.
    Heal,
    /// A gateway's control thread stands still.
    Stall(MemberId, Micros),
    /// A gateway tells these figures in place of its own: capacity, and what comes of each pair.
    FalseReport(MemberId, f64, f64),
    /// A fault is planted in all.
    InjectFault(ControllerFault),
    /// A fault is planted in all doors.
    InjectLimiterFault(LimiterFault),
}

/// What happened in one second.
#[derive(Clone, Debug, Default)]
pub struct SecondStats {
    /// First tries.
    pub first_attempts: u32,
    /// First tries by tenant.
    pub first_attempts_by_tenant: BTreeMap<usize, u32>,
    /// Answered within the aim of the try.
    pub served: u32,
    /// Served by tenant.
    pub served_by_tenant: BTreeMap<usize, u32>,
    /// Worth served.
    pub value: f64,
    /// Further tries that doors took by the budget.
    pub budgeted_retries: u32,
    /// Further tries taken at the time told.
    pub reserved_retries: u32,
    /// Tries, whichever.
    pub attempts: u32,
    /// Tries by clients that came at the time told, and those of them that were taken.
    pub scheduled_retries: (u32, u32),
    /// Refused or failed after the door.
    pub failed: u32,
    /// Tries by gateway that doors took.
    pub admitted_by_gateway: BTreeMap<MemberId, u32>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Attempt(u64),
    Completed(Site, MemberId, u32, u64),
    ControlStep(MemberId),
    Fact(MemberId, MemberId, u8, Vec<u8>),
    LivenessChange(MemberId, MemberId, bool),
    Act(usize),
}

struct Call {
    class: usize,
    tenant: usize,
    site: Site,
    gateway: Option<MemberId>,
    began: Micros,
    tries: u32,
    honours: bool,
    on_time: bool,
    came: Micros,
    waited: Micros,
}

struct Gateway {
    up: bool,
    incarnation: u32,
    limiters: Vec<LoopLimiter>,
    shed: AdmissionController,
    table: Option<ShareTable>,
    stalled_until: Micros,
    false_report_values: Option<(f64, f64)>,
    /// By falling value: calls that wait.
    queue: BTreeMap<u64, VecDeque<u64>>,
    waiting: usize,
    in_flight: u32,
    /// Between answers while calls wait: mean, how many.
    pace: (f64, u32),
    last_answer: Micros,
    /// By tenant: what is left within its share here.
    within: Vec<f64>,
    quota_refilled_at: Micros,
}

/// The fleet with its workers and clients.
pub struct Simulation {
    config: SimulationConfig,
    /// Now.
    pub now: Micros,
    gateways: Vec<Gateway>,
    busy: Vec<usize>,
    /// Calls in the queues of a site's workers, with the gateway that sent each, and its life.
    queued: Vec<VecDeque<(MemberId, u32, u64)>>,
    next_gateway: Vec<MemberId>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    due: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence: u64,
    rng: StdRng,
    acts: Vec<Action>,
    partitioned: Vec<bool>,
    live: Vec<Vec<bool>>,
    /// What happened, by second.
    pub seconds: Vec<SecondStats>,
    faults: (Option<ControllerFault>, Option<LimiterFault>),
}

impl Simulation {
    /// A fleet that has just been started, and what will be done to it.
    pub fn new(bed: SimulationConfig, seed: u64, acts: Vec<(Micros, Action)>) -> Self {
        let size = bed.size();
        let mut world = Self {
            now: 0,
            busy: vec![0; bed.sites.into()],
            queued: vec![VecDeque::new(); bed.sites.into()],
            next_gateway: vec![0; bed.sites.into()],
            calls: BTreeMap::new(),
            next_call: 0,
            due: BinaryHeap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
            acts: Vec::new(),
            partitioned: vec![false; size.into()],
            live: vec![vec![true; size.into()]; size.into()],
            seconds: Vec::new(),
            gateways: Vec::new(),
            faults: (None, None),
            config: bed,
        };
        world.gateways = (0..size).map(|of| world.gateway(of, 0)).collect();
        for of in 0..size {
            let at = world.rng.random_range(0..STEP);
            world.schedule_event(at, Event::ControlStep(of));
        }
        (0..world.config.streams.len()).for_each(|stream| world.next_arrival(stream));
        for (at, act) in acts {
            world.acts.push(act);
            world.schedule_event(at, Event::Act(world.acts.len() - 1));
        }
        world
    }

    fn settings(&self, of: MemberId) -> AdmissionSettings {
        let sites = (0..self.config.size()).map(|at| (at / self.config.gateways) as Site).collect();
        let places = SiteMap::new(sites, of).unwrap_or_else(|| unreachable!("all are in the list"));
        let usual = AdmissionSettings::new(self.config.classes.clone(), self.config.quotas.clone(), places);
        AdmissionSettings { over_share_value: self.config.over_share_value, loops: 2, ..usual }
    }

    fn gateway(&self, of: MemberId, life: u32) -> Gateway {
        let settings = self.settings(of);
        let mut doors: Vec<LoopLimiter> =
            (0..settings.loops).map(|at| LoopLimiter::new(self.now, settings.clone(), at)).collect();
        let mut shed =
            AdmissionController::new(self.now, settings).unwrap_or_else(|error| unreachable!("{error}"));
        self.faults.0.into_iter().for_each(|fault| shed.inject_fault(fault));
        self.faults
            .1
            .into_iter()
            .for_each(|fault| doors.iter_mut().for_each(|door| door.inject_fault(fault)));
        Gateway {
            up: true,
            incarnation: life,
            limiters: doors,
            shed,
            table: None,
            stalled_until: 0,
            false_report_values: None,
            queue: BTreeMap::new(),
            waiting: 0,
            in_flight: 0,
            pace: (0.0, 0),
            last_answer: 0,
            within: vec![0.0; self.config.quotas.len()],
            quota_refilled_at: 0,
        }
    }

    /// What a gateway's control thread believes of its site.
    pub fn estimated_capacity(&self, of: MemberId) -> Option<f64> {
        self.gateways.get(usize::from(of))?.shed.estimated_capacity()
    }

    fn schedule_event(&mut self, at: Micros, due: Event) {
        self.sequence += 1;
        self.due.push(Reverse((at, self.sequence, due)));
    }

    fn second(&mut self) -> &mut SecondStats {
        let at = (self.now / S) as usize;
        if self.seconds.len() <= at {
            self.seconds.resize_with(at + 1, SecondStats::default);
        }
        &mut self.seconds[at]
    }

    fn next_arrival(&mut self, stream: usize) {
        let of = self.config.streams[stream];
        let load = self
            .config
            .load_steps
            .iter()
            .rev()
            .find(|(from, _)| *from <= self.now)
            .map_or(1.0, |(_, load)| *load);
        let rate = of.rate * if of.ignores_load { 1.0 } else { load };
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate.max(1e-3) * 1e6;
        self.schedule_event(self.now + gap as Micros + 1, Event::Arrival(stream));
    }

    /// Runs until then.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(Reverse((at, ..))) = self.due.peek()
            && *at <= until
        {
            let Some(Reverse((at, _, due))) = self.due.pop() else { return };
            self.now = at;
            match due {
                Event::Arrival(stream) => self.arrive(stream),
                Event::Attempt(id) => self.attempt(id),
                Event::Completed(site, of, life, id) => self.complete(site, of, life, id),
                Event::ControlStep(of) => self.control(of),
                Event::Fact(to, from, key, value) => {
                    let gateway = &mut self.gateways[usize::from(to)];
                    if gateway.up && gateway.stalled_until <= at {
                        gateway.shed.receive_fact(at, from, key, &value);
                    }
                }
                Event::LivenessChange(who, of, live) => {
                    if self.is_reachable(who, of) == live {
                        self.live[usize::from(who)][usize::from(of)] = live;
                    }
                }
                Event::Act(act) => self.act(self.acts[act].clone()),
            }
        }
        self.now = until;
    }

    fn is_reachable(&self, who: MemberId, of: MemberId) -> bool {
        let (who, of) = (usize::from(who), usize::from(of));
        self.gateways[of].up && self.partitioned[who] == self.partitioned[of]
    }

    fn notice(&mut self) {
        for who in 0..self.config.size() {
            for of in 0..self.config.size() {
                let live = self.is_reachable(who, of);
                if self.live[usize::from(who)][usize::from(of)] != live {
                    self.schedule_event(self.now + NOTICE, Event::LivenessChange(who, of, live));
                }
            }
        }
    }

    fn act(&mut self, act: Action) {
        match act {
            Action::Kill(of) => {
                let gateway = &mut self.gateways[usize::from(of)];
                gateway.up = false;
                gateway.queue.clear();
                gateway.incarnation += 1;
                let lost: Vec<u64> = self
                    .calls
                    .iter()
                    .filter(|(_, call)| call.gateway == Some(of))
                    .map(|(id, _)| *id)
                    .collect();
                lost.into_iter().for_each(|id| self.retry_or_give_up(id, None, 50_000));
            }
            Action::Start(of) => {
                let life = self.gateways[usize::from(of)].incarnation + 1;
                self.gateways[usize::from(of)] = self.gateway(of, life);
            }
            Action::Partition(group) => group.iter().for_each(|of| self.partitioned[usize::from(*of)] = true),
            Action::Heal => self.partitioned.fill(false),
            Action::Stall(of, span) => self.gateways[usize::from(of)].stalled_until = self.now + span,
            Action::FalseReport(of, capacity, came) => {
                self.gateways[usize::from(of)].false_report_values = Some((capacity, came))
            }
            Action::InjectFault(fault) => {
                self.faults.0 = Some(fault);
                self.gateways.iter_mut().for_each(|gateway| gateway.shed.inject_fault(fault));
            }
            Action::InjectLimiterFault(fault) => {
                self.faults.1 = Some(fault);
                let doors = self.gateways.iter_mut().flat_map(|gateway| &mut gateway.limiters);
                doors.for_each(|door| door.inject_fault(fault));
            }
        }
        self.notice();
    }

    fn arrive(&mut self, stream: usize) {
        self.next_arrival(stream);
        let ArrivalStream { site, class, tenant, .. } = self.config.streams[stream];
        let site = site.unwrap_or_else(|| self.rng.random_range(0..self.config.sites));
        let honours = self.rng.random::<f64>() < self.config.honour_share;
        let (id, began) = (self.next_call, self.now);
        self.next_call += 1;
        let call = Call {
            class,
            tenant,
            site,
            gateway: None,
            began,
            tries: 0,
            honours,
            on_time: false,
            came: began,
            waited: 0,
        };
        self.calls.insert(id, call);
        let second = self.second();
        second.first_attempts += 1;
        *second.first_attempts_by_tenant.entry(tenant).or_default() += 1;
        self.attempt(id);
    }

    /// A client tries, at the gateway that it used or another one.
    fn attempt(&mut self, id: u64) {
        let now = self.now;
        let Some(call) = self.calls.get(&id) else { return };
        let roams = call.gateway.is_none() || self.rng.random::<f64>() < self.config.roaming_share;
        let first = MemberId::from(call.site) * self.config.gateways;
        let up: Vec<MemberId> =
            (first..first + self.config.gateways).filter(|of| self.gateways[usize::from(*of)].up).collect();
        let of = match call.gateway {
            Some(of) if !roams && up.contains(&of) => of,
            _ if up.is_empty() => return self.retry_or_give_up(id, None, 100_000),
            _ => up[self.rng.random_range(0..up.len())],
        };
        let Some(call) = self.calls.get_mut(&id) else { return };
        (call.gateway, call.came) = (Some(of), now);
        let (class, tenant, on_time) = (call.class, call.tenant, call.on_time);
        let asked = if call.tries > 0 && self.config.clients_mark_retries {
            AttemptKind::Retry
        } else {
            AttemptKind::First
        };
        call.tries += 1;
        let gateway = &mut self.gateways[usize::from(of)];
        let door = (id % gateway.limiters.len() as u64) as usize;
        let table = gateway.table.as_ref().filter(|_| self.config.shared_admission);
        let verdict = gateway.limiters[door].admit(now, table, class, tenant, asked, id);
        let second = self.second();
        second.attempts += 1;
        second.scheduled_retries.0 += u32::from(on_time);
        match verdict {
            Decision::Shed(after) => self.retry_or_give_up(id, Some(after), 100_000),
            Decision::Admit => {
                second.scheduled_retries.1 += u32::from(on_time);
                *second.admitted_by_gateway.entry(of).or_default() += 1;
                self.take(of, id);
            }
        }
    }

    /// A client comes again, or gives up.
    fn retry_or_give_up(&mut self, id: u64, told: Option<Micros>, usual: Micros) {
        let (now, patience) = (self.now, self.config.patience);
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.on_time = told.is_some() && call.honours;
        let wait = match told {
            // The header has whole seconds.
            Some(told) if call.honours => told.div_ceil(S).max(1) * S,
            _ => usual << call.tries.min(4),
        };
        if now + wait > call.began + patience {
            self.calls.remove(&id);
        } else {
            self.schedule_event(now + wait, Event::Attempt(id));
        }
    }

    /// The engine takes a call: it waits by its value, or is refused where those ahead take it past its aim.
    fn take(&mut self, of: MemberId, id: u64) {
        let now = self.now;
        let Some(call) = self.calls.get(&id) else { return };
        let (class, tenant) = (call.class, call.tenant);
        let all = f64::from(self.config.size());
        let gateway = &mut self.gateways[usize::from(of)];
        let mut worth = self.config.classes[class].value;
        if !self.config.quotas.is_empty() {
            let seconds = now.saturating_sub(gateway.quota_refilled_at) as f64 / 1e6;
            gateway.quota_refilled_at = now;
            for (left, quota) in gateway.within.iter_mut().zip(&self.config.quotas) {
                let rate = quota / all;
                *left = (*left + rate * seconds).min(rate.max(1.0));
            }
            if gateway.within[tenant] >= 1.0 {
                gateway.within[tenant] -= 1.0;
            } else {
                worth *= self.config.over_share_value;
            }
        }
        let value = u64::MAX - (worth * 1e6) as u64;
        let ahead: usize = gateway.queue.range(..=value).map(|(_, waiting)| waiting.len()).sum();
        let (pace, known) = gateway.pace;
        let aim = self.config.classes[class].aim;
        let excess = ahead as f64 * pace - aim as f64;
        if known >= 10 && gateway.waiting > 0 && excess > 0.0 {
            return self.refused(of, id, (excess as Micros).min(5 * S));
        }
        gateway.queue.entry(value).or_default().push_back(id);
        gateway.waiting += 1;
        gateway.in_flight += 1;
        let site = (of / self.config.gateways) as Site;
        self.dispatch(site);
    }

    fn refused(&mut self, of: MemberId, id: u64, after: Micros) {
        let Some(call) = self.calls.get(&id) else { return };
        let gateway = &mut self.gateways[usize::from(of)];
        let door = (id % gateway.limiters.len() as u64) as usize;
        let told = if self.config.shared_admission {
            let table = gateway.table.as_ref();
            gateway.limiters[door].record_refusal(self.now, table, call.class, call.tenant, id)
        } else {
            after
        };
        self.second().failed += 1;
        self.retry_or_give_up(id, Some(told), 100_000);
    }

    /// Workers with room in their queues are sent what waits, by the site's gateways in turn; free ones begin.
    fn dispatch(&mut self, site: Site) {
        let at = usize::from(site);
        let first = MemberId::from(site) * self.config.gateways;
        let room = self.config.workers * (self.config.worker_queue_depth + 1);
        while self.busy[at] + self.queued[at].len() < room {
            let turn = self.next_gateway[at];
            let next = (0..self.config.gateways)
                .map(|step| first + (turn + step) % self.config.gateways)
                .find(|of| self.gateways[usize::from(*of)].queue.values().any(|waiting| !waiting.is_empty()));
            let Some(of) = next else { break };
            self.next_gateway[at] = (of - first + 1) % self.config.gateways;
            let gateway = &mut self.gateways[usize::from(of)];
            let Some(id) = gateway.queue.values_mut().find_map(VecDeque::pop_front) else { break };
            gateway.waiting = gateway.waiting.saturating_sub(1);
            let Some(call) = self.calls.get_mut(&id) else { continue };
            if self.now > call.came + self.config.classes[call.class].aim {
                gateway.in_flight = gateway.in_flight.saturating_sub(1);
                self.refused(of, id, S);
                continue;
            }
            call.waited = self.now - call.came;
            let life = gateway.incarnation;
            self.queued[at].push_back((of, life, id));
            self.work(site);
        }
        self.work(site);
    }

    fn work(&mut self, site: Site) {
        let at = usize::from(site);
        while self.busy[at] < self.config.workers
            && let Some((of, life, id)) = self.queued[at].pop_front()
        {
            self.busy[at] += 1;
            let half = self.config.mean_work as f64 / 2.0;
            let drawn = -(1.0 - self.rng.random::<f64>()).ln() * half;
            if let Some(call) = self.calls.get_mut(&id).filter(|_| self.config.workers_report_waits) {
                call.waited = self.now - call.came;
            }
            self.schedule_event(self.now + (half + drawn) as Micros, Event::Completed(site, of, life, id));
        }
    }

    fn complete(&mut self, site: Site, of: MemberId, life: u32, id: u64) {
        let now = self.now;
        self.busy[usize::from(site)] -= 1;
        let gateway = &mut self.gateways[usize::from(of)];
        if gateway.incarnation == life
            && let Some(call) = self.calls.remove(&id)
        {
            gateway.in_flight = gateway.in_flight.saturating_sub(1);
            if gateway.waiting > 0 {
                let gap = now.saturating_sub(gateway.last_answer) as f64;
                let weight = if gateway.pace.1 == 0 { 1.0 } else { 0.05 };
                gateway.pace = (gateway.pace.0 + weight * (gap - gateway.pace.0), gateway.pace.1 + 1);
            }
            gateway.last_answer = now;
            let in_time = now <= call.came + self.config.classes[call.class].aim;
            let door = (id % gateway.limiters.len() as u64) as usize;
            let ended =
                if in_time { CallOutcome::Served(call.waited) } else { CallOutcome::Late(call.waited) };
            gateway.limiters[door].record_outcome(call.class, call.tenant, ended);
            if in_time {
                let worth = self.config.classes[call.class].value;
                let second = self.second();
                second.served += 1;
                second.value += worth;
                *second.served_by_tenant.entry(call.tenant).or_default() += 1;
            }
        }
        self.dispatch(site);
    }

    /// A gateway's control thread: counts in, table and facts out.
    fn control(&mut self, of: MemberId) {
        let now = self.now;
        self.schedule_event(now + STEP, Event::ControlStep(of));
        let at = usize::from(of);
        let gateway = &mut self.gateways[at];
        if !gateway.up || gateway.stalled_until > now || !self.config.shared_admission {
            return;
        }
        let loops = gateway.limiters.len() as u32;
        let (mut budgeted, mut booked) = (0, 0);
        for (loop_no, door) in gateway.limiters.iter_mut().enumerate() {
            let counts = door.take_counts(now, gateway.in_flight / loops);
            budgeted += counts.by_cell.iter().map(|count| count.budgeted_retries).sum::<u32>();
            booked += counts.by_cell.iter().map(|count| count.reserved_retries).sum::<u32>();
            gateway.shed.record_counts(now, loop_no, &counts);
        }
        gateway.table = Some(gateway.shed.compute_table(now, &self.live[at]));
        let mut facts = gateway.shed.take_due_facts(now);
        if let Some((capacity, came)) = gateway.false_report_values {
            facts.iter_mut().for_each(|(key, value)| crate::wire::falsify(*key, value, capacity, came));
        }
        let second = self.second();
        second.budgeted_retries += budgeted;
        second.reserved_retries += booked;
        for (key, value) in facts {
            for to in 0..self.config.size() {
                let lost = self.rng.random::<f64>() < self.config.fact_delay_and_loss.1;
                let late = self.rng.random_range(20_000..=self.config.fact_delay_and_loss.0.max(20_000));
                if to != of && self.is_reachable(of, to) && !lost {
                    self.schedule_event(now + late, Event::Fact(to, of, key, value.clone()));
                }
            }
        }
    }
}
