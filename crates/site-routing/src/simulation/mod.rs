//! Sites, their workers, clients and the links between them, in virtual time: one seed, one history.

mod links;
mod policy;
mod workers;

pub use links::DirectedLink;
pub use policy::Policy;
pub use workers::ModelFunction;

use crate::controller::RoutingController;
use crate::router::Router;
use crate::settings::{RoutingError, RoutingSettings};
use crate::types::{Destination, Fault, FunctionCounts, Handover, HandoverOutcome, LoopCounts, RoutingTable};
use basaltward_membership::{MemberId, Micros, Site, SiteMap};
use links::Links;
use policy::Snapshot;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use workers::{Job, WorkerEvent, Workers};

/// What a world is made of.
#[derive(Clone, Debug)]
pub struct SimulationSettings {
    /// Sites.
    pub sites: Site,
    /// Gateways of each.
    pub gateways: u16,
    /// Workers of each.
    pub workers: u32,
    /// Calls that a worker does at once.
    pub cores: u32,
    /// Memory of a worker.
    pub worker_mb: u32,
    /// All functions.
    pub functions: Vec<ModelFunction>,
    /// Time of a message between neighbouring sites.
    pub link_delay: Micros,
    /// How sites are chosen.
    pub policy: Policy,
    /// What all draws follow from.
    pub seed: u64,
}

/// A call that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompletedCall {
    /// When it came.
    pub arrived_at: Micros,
    /// Its function.
    pub function: u32,
    /// Where its client is.
    pub site: Site,
    /// Where it was answered last.
    pub answered_by: Site,
    /// How often it crossed between sites in a row, as the longest chain.
    pub hops: u32,
    /// Time until its answer; none where it had none in time.
    pub latency: Option<Micros>,
    /// What it was worth: 1 within its aim, falling to 0 at its deadline.
    pub value: f64,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    function: u32,
    site: Site,
    gateway: MemberId,
    arrived_at: Micros,
    deadline: Micros,
    /// Try that is under way: an answer or a time-out of another is void.
    attempt: u32,
    handed_to: Option<(MemberId, Micros)>,
    hops: u32,
    ended: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { site: Site, function: u32, turn: u32 },
    HandoverArrives { call: usize, attempt: u32, at: MemberId },
    AnswerArrives { call: usize, attempt: u32, end: u8, by: Site },
    HandoverTimeout { call: usize, attempt: u32 },
    CopyLoaded { site: Site, life: u32 },
    CallDone { site: Site, life: u32, job: Job, worker: usize, copy: u64, warm: bool },
    CallExpired { site: Site, life: u32, job: Job },
    Frame { from: MemberId, to: MemberId, bytes: Vec<u8> },
    ControlTick(MemberId),
    Ping { from: MemberId },
    Pong { from: MemberId, of: MemberId, sent: Micros },
    TakeSnapshot,
    UpdateLive,
}

struct Gateway {
    controller: RoutingController,
    router: Router,
    table: Option<RoutingTable>,
    counts: BTreeMap<u32, FunctionCounts>,
    /// Its control thread stands still.
    stalled: bool,
}

impl Gateway {
    fn new(
        of: &SimulationSettings,
        places: &SiteMap,
        own: MemberId,
        now: Micros,
    ) -> Result<Self, RoutingError> {
        let sites: Vec<_> = (0..places.len() as MemberId).filter_map(|of| places.site_of(of)).collect();
        let places = SiteMap::new(sites, own).ok_or(RoutingError::UnknownGateway(own))?;
        let seed = of.seed ^ (u64::from(own) << 32);
        let told = of.functions.iter().map(|f| f.spec).collect();
        let settings = RoutingSettings::new(places.clone(), told, of.worker_mb, seed);
        Ok(Self {
            controller: RoutingController::new(
                RoutingSettings { keep_alive: KEEP_ALIVE, interval: CONTROL_INTERVAL, ..settings },
                now,
            )?,
            router: Router::new(places, seed),
            table: None,
            counts: BTreeMap::new(),
            stalled: false,
        })
    }
}

struct SiteState {
    workers: Workers,
    up: bool,
    /// How often it was up; what belongs to another life is void.
    incarnation: u32,
    refuses_handovers: bool,
    overstates_capacity: bool,
}

/// The world.
pub struct Simulation {
    settings: SimulationSettings,
    /// Its time.
    pub now: Micros,
    /// Calls that have ended, in order.
    pub completed: Vec<CompletedCall>,
    /// Bytes told between gateways.
    pub gossip_bytes: u64,
    site_map: SiteMap,
    rng: StdRng,
    links: Links,
    sites: Vec<SiteState>,
    gateways: Vec<Gateway>,
    calls: Vec<Call>,
    rates: BTreeMap<(Site, u32), (f64, u32)>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    event_count: u64,
    /// Messages that wait for a cut to heal.
    blocked: Vec<(Site, Site, Event)>,
    snapshots: Vec<Snapshot>,
}

/// How often control threads tell, ping, and are told who lives.
const CONTROL_INTERVAL: Micros = 250_000;
const PING_INTERVAL: Micros = 1_000_000;
/// The world begins then: no clock is at nothing.
const START: Micros = 10_000_000;
const KEEP_ALIVE: Micros = 10_000_000;

impl Simulation {
    /// A world in which nobody calls yet.
    pub fn new(settings: SimulationSettings) -> Result<Self, RoutingError> {
        let of: Vec<Site> = (0..u16::from(settings.sites) * settings.gateways)
            .map(|n| (n / settings.gateways) as Site)
            .collect();
        let places = SiteMap::new(of, 0).ok_or(RoutingError::UnknownGateway(0))?;
        let all = 0..places.len() as MemberId;
        let gateways = all.map(|own| Gateway::new(&settings, &places, own, START));
        let gateways = gateways.collect::<Result<_, _>>()?;
        let site = |_| SiteState {
            workers: Workers::new(
                settings.functions.clone(),
                settings.workers,
                settings.cores,
                settings.worker_mb,
                KEEP_ALIVE,
            ),
            up: true,
            incarnation: 0,
            refuses_handovers: false,
            overstates_capacity: false,
        };
        let mut world = Self {
            now: START,
            completed: Vec::new(),
            gossip_bytes: 0,
            site_map: places,
            rng: StdRng::seed_from_u64(settings.seed),
            links: Links::new(settings.sites, settings.link_delay),
            sites: (0..settings.sites).map(site).collect(),
            gateways,
            calls: Vec::new(),
            rates: BTreeMap::new(),
            events: BinaryHeap::new(),
            event_count: 0,
            blocked: Vec::new(),
            snapshots: Vec::new(),
            settings,
        };
        for own in 0..world.gateways.len() as MemberId {
            let first = world.rng.random_range(0..CONTROL_INTERVAL);
            world.schedule(first, Event::ControlTick(own));
            world.schedule(first / 2, Event::Ping { from: own });
        }
        world.schedule(0, Event::UpdateLive);
        world.schedule(0, Event::TakeSnapshot);
        Ok(world)
    }

    /// Since the world began.
    pub fn elapsed(&self) -> Micros {
        self.now - START
    }

    /// Clients of a site call a function so often in a second from now on.
    pub fn set_call_rate(&mut self, site: Site, function: u32, calls: f64) {
        let (_, turn) = self.rates.get(&(site, function)).copied().unwrap_or_default();
        self.rates.insert((site, function), (calls, turn + 1));
        self.next_arrival(site, function);
    }

    /// One way between two sites, to be changed; what waited for it goes on.
    pub fn update_link(&mut self, from: Site, to: Site, change: impl FnOnce(&mut DirectedLink)) {
        change(self.links.link_mut(from, to));
        if !self.links.link(from, to).cut {
            let (free, held) =
                std::mem::take(&mut self.blocked).into_iter().partition(|h| (h.0, h.1) == (from, to));
            self.blocked = held;
            let free: Vec<_> = free;
            free.into_iter().for_each(|(from, to, due)| self.send(from, to, due));
        }
    }

    /// A site vanishes with all that it has in hand, or comes back with nothing.
    pub fn set_site_up(&mut self, site: Site, up: bool) {
        let state = &mut self.sites[usize::from(site)];
        (state.up, state.incarnation) = (up, state.incarnation + 1);
        state.workers.clear();
        for of in 0..self.gateways.len() as MemberId {
            if self.site_of(of) == site {
                self.gateways[usize::from(of)].counts.clear();
                if up && let Ok(fresh) = Gateway::new(&self.settings, &self.site_map, of, self.now) {
                    self.gateways[usize::from(of)] = fresh;
                }
            }
        }
        for call in 0..self.calls.len() {
            if self.calls[call].site == site && !self.calls[call].ended {
                self.end_call(call, site, None);
            }
        }
        self.schedule(PING_INTERVAL, Event::UpdateLive);
    }

    /// All copies of a site that do nothing are gone.
    pub fn evict_idle_copies(&mut self, site: Site) {
        self.sites[usize::from(site)].workers.evict_idle_copies();
    }

    /// A site refuses what others hand over, whatever it says, or takes it again.
    pub fn set_refuses_handovers(&mut self, site: Site, refuses: bool) {
        self.sites[usize::from(site)].refuses_handovers = refuses;
    }

    /// A site says that it has a hundred times its workers and nothing in hand, or speaks the truth again.
    pub fn set_overstates_capacity(&mut self, site: Site, boasts: bool) {
        self.sites[usize::from(site)].overstates_capacity = boasts;
    }

    /// A gateway's control thread stands still, or goes on.
    pub fn set_control_stalled(&mut self, gateway: MemberId, stalled: bool) {
        self.gateways[usize::from(gateway)].stalled = stalled;
    }

    /// Plants a fault in all gateways.
    #[doc(hidden)]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.gateways.iter_mut().for_each(|g| {
            g.controller.inject_fault(fault);
            g.router.inject_fault(fault);
        });
    }

    /// The table that a gateway's loop has.
    pub fn table(&self, gateway: MemberId) -> Option<&RoutingTable> {
        self.gateways.get(usize::from(gateway)).and_then(|g| g.table.as_ref())
    }

    /// Loads begun at all sites.
    pub fn loads_started(&self) -> u64 {
        self.sites.iter().map(|s| s.workers.loads_started).sum()
    }

    /// Calls that have not ended.
    pub fn in_flight(&self) -> usize {
        self.calls.iter().filter(|c| !c.ended).count()
    }

    /// Calls in hand that were handed to a site.
    pub fn in_flight_at(&self, site: Site) -> usize {
        let to = |c: &&Call| {
            !c.ended && c.handed_to.is_some_and(|(to, _)| self.site_map.site_of(to) == Some(site))
        };
        self.calls.iter().filter(to).count()
    }

    /// Runs until then, counted from the world's beginning.
    pub fn run_until(&mut self, until: Micros) {
        let until = START + until;
        while let Some(Reverse((at, ..))) = self.events.peek()
            && *at <= until
        {
            let Some(Reverse((at, _, due))) = self.events.pop() else { break };
            self.now = at;
            self.handle_event(due);
        }
        self.now = until;
    }

    fn schedule(&mut self, late: Micros, due: Event) {
        self.event_count += 1;
        self.events.push(Reverse((self.now + late, self.event_count, due)));
    }

    fn send(&mut self, from: Site, to: Site, due: Event) {
        match self.links.sample_delay(&mut self.rng, from, to) {
            Some(late) => self.schedule(late, due),
            None => self.blocked.push((from, to, due)),
        }
    }

    fn site_of(&self, of: MemberId) -> Site {
        self.site_map.site_of(of).unwrap_or_default()
    }

    fn is_up(&self, of: MemberId) -> bool {
        self.sites[usize::from(self.site_of(of))].up
    }

    fn next_arrival(&mut self, site: Site, function: u32) {
        let (rate, turn) = self.rates.get(&(site, function)).copied().unwrap_or_default();
        if rate > 0.0 {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate * 1e6;
            self.schedule(gap as Micros, Event::Arrival { site, function, turn });
        }
    }

    fn handle_event(&mut self, due: Event) {
        match due {
            Event::Arrival { site, function, turn } => {
                if self.rates.get(&(site, function)).is_some_and(|(_, now)| *now == turn) {
                    self.start_client_call(site, function);
                    self.next_arrival(site, function);
                }
            }
            Event::HandoverArrives { call, attempt, at } => self.receive_handover(call, attempt, at),
            Event::AnswerArrives { call, attempt, end, by } => {
                let end = [HandoverOutcome::Served, HandoverOutcome::Refused, HandoverOutcome::Lost]
                    [usize::from(end)];
                self.handover_ended(call, attempt, end, by);
            }
            Event::HandoverTimeout { call, attempt } => {
                self.handover_ended(call, attempt, HandoverOutcome::Lost, 0)
            }
            Event::CopyLoaded { site, life } => {
                if self.sites[usize::from(site)].incarnation == life {
                    self.start_waiting(site);
                }
            }
            Event::CallDone { site, life, job, worker, copy, warm } => {
                if self.sites[usize::from(site)].incarnation == life {
                    self.sites[usize::from(site)].workers.release_lane(self.now, worker, copy);
                    self.finish_call(site, job, warm);
                    self.start_waiting(site);
                }
            }
            Event::CallExpired { site, life, job } => {
                if self.sites[usize::from(site)].incarnation == life {
                    self.update_counts(job.gateway, job.function, |c| {
                        c.in_flight = c.in_flight.saturating_sub(1)
                    });
                    if self.calls[job.call].attempt == job.attempt {
                        self.end_call(job.call, site, None);
                    }
                }
            }
            Event::Frame { from, to, bytes } => {
                if self.is_up(to) {
                    // What can't be read is an error of this world, seen by tests as a wrong choice.
                    let read =
                        self.gateways[usize::from(to)].controller.receive_frame(self.now, from, &bytes);
                    debug_assert!(read.is_ok(), "{read:?}");
                }
            }
            Event::ControlTick(own) => self.control_tick(own),
            Event::Ping { from } => {
                let here = self.site_of(from);
                let others: Vec<_> =
                    (0..self.gateways.len() as MemberId).filter(|of| self.site_of(*of) != here).collect();
                let others: Vec<_> =
                    others.into_iter().filter(|of| self.is_up(*of) && self.is_up(from)).collect();
                for of in others {
                    let there = self.site_of(of);
                    // A ping that is cut off is no measurement once healed.
                    let way = self.links.sample_delay(&mut self.rng, here, there);
                    let back = self.links.sample_delay(&mut self.rng, there, here);
                    if let (Some(way), Some(back)) = (way, back) {
                        let sent = self.now;
                        self.schedule(way + back, Event::Pong { from, of, sent });
                    }
                }
                self.schedule(PING_INTERVAL, Event::Ping { from });
            }
            Event::Pong { from, of, sent } => {
                let rtt = self.now - sent;
                self.gateways[usize::from(from)].controller.record_rtt(self.now, of, rtt);
            }
            Event::TakeSnapshot => {
                self.take_snapshots();
                self.schedule(CONTROL_INTERVAL, Event::TakeSnapshot);
            }
            Event::UpdateLive => {
                let live: Vec<_> = (0..self.gateways.len() as MemberId).map(|of| self.is_up(of)).collect();
                self.gateways.iter_mut().for_each(|g| g.controller.set_live(&live));
            }
        }
    }

    fn control_tick(&mut self, own: MemberId) {
        self.schedule(CONTROL_INTERVAL, Event::ControlTick(own));
        let (now, here) = (self.now, self.site_of(own));
        let state = &self.sites[usize::from(here)];
        let gateway = &mut self.gateways[usize::from(own)];
        if !state.up || gateway.stalled {
            return;
        }
        let mut by: Vec<_> = gateway.counts.values().copied().collect();
        if state.overstates_capacity {
            by.iter_mut().for_each(|c| c.in_flight = 0);
        }
        gateway.counts.values_mut().for_each(|c| {
            *c = FunctionCounts { function: c.function, in_flight: c.in_flight, ..FunctionCounts::default() };
        });
        gateway.counts.retain(|_, c| c.in_flight > 0);
        let in_hand = by.iter().map(|c| c.in_flight).sum();
        let workers = state.workers.workers() * if state.overstates_capacity { 100 } else { 1 };
        let counts = LoopCounts { span: CONTROL_INTERVAL, functions: by, in_flight: in_hand, workers };
        gateway.controller.record_counts(now, 0, &counts);
        if self.settings.policy != Policy::SiteRouting {
            return;
        }
        let frames = gateway.controller.build_frames(now);
        gateway.table = Some(gateway.controller.build_table(now));
        for (to, bytes) in frames {
            self.gossip_bytes += bytes.len() as u64;
            let there = self.site_of(to);
            self.send(here, there, Event::Frame { from: own, to, bytes });
        }
    }

    /// Clients of a lost site call the next one.
    fn start_client_call(&mut self, site: Site, function: u32) {
        let all = self.settings.sites;
        let Some(site) = (0..all).map(|n| (site + n) % all).find(|s| self.sites[usize::from(*s)].up) else {
            return;
        };
        let gateways = self.settings.gateways;
        let gateway = u16::from(site) * gateways + self.rng.random_range(0..gateways);
        let deadline = self.settings.functions[function as usize].spec.deadline;
        let (came, until) = (self.now, self.now + deadline);
        let call = self.calls.len();
        self.calls.push(Call {
            function,
            site,
            gateway,
            arrived_at: came,
            deadline: until,
            attempt: 0,
            handed_to: None,
            hops: 0,
            ended: false,
        });
        self.update_counts(gateway, function, |c| c.calls += 1);
        self.route_call(call, gateway, deadline, false);
    }

    fn route_call(&mut self, call: usize, at: MemberId, patience: Micros, handed: bool) {
        let function = self.calls[call].function;
        match self.choose_destination(at, function, patience, handed) {
            Destination::Local => self.start_call(call, at),
            Destination::Remote { site, peer } => {
                let c = &mut self.calls[call];
                c.hops += 1;
                (c.handed_to, c.attempt) = (Some((peer, self.now)), c.attempt + 1);
                let attempt = c.attempt;
                if !handed {
                    self.schedule(patience / 2, Event::HandoverTimeout { call, attempt });
                }
                let here = self.site_of(at);
                self.send(here, site, Event::HandoverArrives { call, attempt, at: peer });
            }
        }
    }

    fn receive_handover(&mut self, call: usize, attempt: u32, at: MemberId) {
        let (c, there) = (self.calls[call], self.site_of(at));
        if !self.is_up(at) || c.attempt != attempt {
            return;
        }
        let state = &self.sites[usize::from(there)];
        if state.refuses_handovers || state.workers.is_full(self.now, c.deadline) {
            let back = Event::AnswerArrives { call, attempt, end: 1, by: there };
            return self.send(there, c.site, back);
        }
        let patience = c.deadline.saturating_sub(self.now);
        self.route_call(call, at, patience, true);
    }

    /// A call is to be done at the site of this gateway.
    fn start_call(&mut self, call: usize, at: MemberId) {
        let site = self.site_of(at);
        let function = self.calls[call].function;
        let mean = self.settings.functions[function as usize].service_time as f64;
        let service = (mean * self.rng.random_range(0.4..1.6)) as Micros;
        let Call { deadline: until, attempt, .. } = self.calls[call];
        let job = Job {
            call,
            attempt,
            gateway: at,
            function,
            arrived_at: self.now,
            deadline: until,
            service_time: service,
        };
        if self.sites[usize::from(site)].workers.is_full(self.now, job.deadline) {
            return self.end_call(call, site, None);
        }
        self.update_counts(at, function, |c| c.in_flight += 1);
        let mut later = Vec::new();
        self.sites[usize::from(site)].workers.submit(self.now, job, &mut later);
        self.schedule_worker_events(site, later);
    }

    fn start_waiting(&mut self, site: Site) {
        let mut later = Vec::new();
        self.sites[usize::from(site)].workers.start_waiting(self.now, &mut later);
        self.schedule_worker_events(site, later);
    }

    fn schedule_worker_events(&mut self, site: Site, later: Vec<(Micros, WorkerEvent)>) {
        let life = self.sites[usize::from(site)].incarnation;
        for (at, later) in later {
            let due = match later {
                WorkerEvent::CopyLoaded => Event::CopyLoaded { site, life },
                WorkerEvent::CallExpired { job } => Event::CallExpired { site, life, job },
                WorkerEvent::CallDone { job, worker, copy, warm } => {
                    Event::CallDone { site, life, job, worker, copy, warm }
                }
            };
            self.schedule(at - self.now, due);
        }
    }

    fn finish_call(&mut self, site: Site, job: Job, warm: bool) {
        let (c, now) = (self.calls[job.call], self.now);
        self.update_counts(job.gateway, job.function, |n| {
            (n.served, n.total_time, n.warm_starts) =
                (n.served + 1, n.total_time + now - job.arrived_at, n.warm_starts + u32::from(warm));
            n.in_flight = n.in_flight.saturating_sub(1);
        });
        match c.handed_to.is_some() {
            _ if c.attempt != job.attempt => {}
            true => self.send(
                site,
                c.site,
                Event::AnswerArrives { call: job.call, attempt: c.attempt, end: 0, by: site },
            ),
            false => self.end_call(job.call, site, Some(now - c.arrived_at)),
        }
    }

    /// The answer of a call that was handed over, or none in time: it is done at home then.
    fn handover_ended(&mut self, call: usize, attempt: u32, end: HandoverOutcome, by: Site) {
        let c = self.calls[call];
        let Some((to, sent)) = c.handed_to.filter(|_| c.attempt == attempt && !c.ended) else { return };
        let handed = Handover { function: c.function, to, duration: self.now - sent, outcome: end };
        let gateway = &mut self.gateways[usize::from(c.gateway)];
        gateway.router.handover_ended(self.now, &handed);
        gateway.controller.record_handover(self.now, &handed);
        self.calls[call].handed_to = None;
        self.calls[call].attempt += 1;
        match end {
            HandoverOutcome::Served => self.end_call(call, by, Some(self.now - c.arrived_at)),
            _ => self.start_call(call, c.gateway),
        }
    }

    fn end_call(&mut self, call: usize, by: Site, took: Option<Micros>) {
        let c = &mut self.calls[call];
        if std::mem::replace(&mut c.ended, true) {
            return;
        }
        let told = self.settings.functions[c.function as usize].spec;
        let took = took.filter(|took| *took <= told.deadline);
        let worth = took.map_or(0.0, |took| {
            let left = told.deadline.saturating_sub(took) as f64;
            (left / (told.deadline - told.aim).max(1) as f64).min(1.0)
        });
        let (came, function, site, hops) = (c.arrived_at - START, c.function, c.site, c.hops);
        self.completed.push(CompletedCall {
            arrived_at: came,
            function,
            site,
            answered_by: by,
            hops,
            latency: took,
            value: worth,
        });
    }

    fn update_counts(&mut self, at: MemberId, function: u32, change: impl FnOnce(&mut FunctionCounts)) {
        let counts = &mut self.gateways[usize::from(at)].counts;
        change(counts.entry(function).or_insert(FunctionCounts { function, ..FunctionCounts::default() }));
    }
}
