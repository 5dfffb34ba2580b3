//! Simulation of sites, their workers and clients and the links between them, in virtual time. A seed determines the run.

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

/// Settings of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationSettings {
    /// Number of sites.
    pub sites: Site,
    /// Gateways of each site.
    pub gateways: u16,
    /// Workers of each site.
    pub workers: u32,
    /// Calls that a worker runs concurrently.
    pub cores: u32,
    /// Memory of a worker.
    pub worker_mb: u32,
    /// All functions.
    pub functions: Vec<ModelFunction>,
    /// Delay of a message between neighbouring sites.
    pub link_delay: Micros,
    /// Policy by which sites are chosen.
    pub policy: Policy,
    /// Seed of all random choices.
    pub seed: u64,
}

/// A call that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompletedCall {
    /// Arrival time since the start of the simulation.
    pub arrived_at: Micros,
    /// Position of its function.
    pub function: u32,
    /// Site of its client.
    pub site: Site,
    /// Site that answered it, or that it failed at.
    pub answered_by: Site,
    /// How often it was handed from one site to another.
    pub hops: u32,
    /// Time to its answer; `None` without an answer before the deadline.
    pub latency: Option<Micros>,
    /// Value of the answer: 1 within the aim of the function, falling linearly to 0 at the deadline.
    pub value: f64,
}

/// A call, by its index in [`Simulation::calls`].
#[derive(Clone, Copy, Debug)]
struct Call {
    function: u32,
    site: Site,
    gateway: MemberId,
    arrived_at: Micros,
    deadline: Micros,
    /// Current attempt; answers and timeouts of other attempts are ignored.
    attempt: u32,
    /// Gateway of another site that has the call, and when it was handed over.
    handed_to: Option<(MemberId, Micros)>,
    hops: u32,
    ended: bool,
}

/// A scheduled event. Calls are identified by their index.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival {
        site: Site,
        function: u32,
        generation: u32,
    },
    HandoverArrives {
        call: usize,
        attempt: u32,
        gateway: MemberId,
    },
    /// The outcome is 0 for a served, 1 for a refused and 2 for a lost call.
    AnswerArrives {
        call: usize,
        attempt: u32,
        outcome: u8,
        by: Site,
    },
    HandoverTimeout {
        call: usize,
        attempt: u32,
    },
    CopyLoaded {
        site: Site,
        incarnation: u32,
    },
    CallDone {
        site: Site,
        incarnation: u32,
        job: Job,
        worker: usize,
        copy: u64,
        warm: bool,
    },
    CallExpired {
        site: Site,
        incarnation: u32,
        job: Job,
    },
    Frame {
        from: MemberId,
        to: MemberId,
        bytes: Vec<u8>,
    },
    ControlTick(MemberId),
    Ping {
        from: MemberId,
    },
    Pong {
        from: MemberId,
        to: MemberId,
        sent: Micros,
    },
    TakeSnapshot,
    /// Reports to all gateways which gateways are up.
    UpdateLive,
}

/// A gateway with one traffic loop.
struct Gateway {
    controller: RoutingController,
    router: Router,
    table: Option<RoutingTable>,
    counts: BTreeMap<u32, FunctionCounts>,
    /// Whether its control thread is stalled.
    stalled: bool,
}

impl Gateway {
    fn new(
        settings: &SimulationSettings,
        site_map: &SiteMap,
        member: MemberId,
        now: Micros,
    ) -> Result<Self, RoutingError> {
        let sites: Vec<_> =
            (0..site_map.len() as MemberId).filter_map(|member| site_map.site_of(member)).collect();
        let site_map = SiteMap::new(sites, member).ok_or(RoutingError::UnknownGateway(member))?;
        let seed = settings.seed ^ (u64::from(member) << 32);
        let specs = settings.functions.iter().map(|f| f.spec).collect();
        let defaults = RoutingSettings::new(site_map.clone(), specs, settings.worker_mb, seed);
        Ok(Self {
            controller: RoutingController::new(
                RoutingSettings { keep_alive: KEEP_ALIVE, interval: CONTROL_INTERVAL, ..defaults },
                now,
            )?,
            router: Router::new(site_map, seed),
            table: None,
            counts: BTreeMap::new(),
            stalled: false,
        })
    }
}

struct SiteState {
    workers: Workers,
    up: bool,
    /// Counts power changes; events of another incarnation are ignored.
    incarnation: u32,
    refuses_handovers: bool,
    overstates_capacity: bool,
}

/// A simulation of several sites.
pub struct Simulation {
    settings: SimulationSettings,
    /// Current virtual time.
    pub now: Micros,
    /// Calls that have ended, in the order of their ends.
    pub completed: Vec<CompletedCall>,
    /// Total bytes of the frames sent between gateways.
    pub gossip_bytes: u64,
    site_map: SiteMap,
    rng: StdRng,
    links: Links,
    sites: Vec<SiteState>,
    gateways: Vec<Gateway>,
    calls: Vec<Call>,
    /// Call rate by site and function, and a generation that invalidates scheduled arrivals of an earlier rate.
    rates: BTreeMap<(Site, u32), (f64, u32)>,
    /// Scheduled events by time; the sequence number keeps the order among events due at the same time.
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    event_count: u64,
    /// Messages on links that are cut.
    blocked: Vec<(Site, Site, Event)>,
    snapshots: Vec<Snapshot>,
}

/// Interval of reports and tables at the control threads, and of policy snapshots.
const CONTROL_INTERVAL: Micros = 250_000;
/// Interval of pings between sites, and delay until gateways are notified that a site went up or down.
const PING_INTERVAL: Micros = 1_000_000;
/// Virtual time at the start. It is not 0, as no real clock is.
const START: Micros = 10_000_000;
/// Time for which idle copies stay loaded.
const KEEP_ALIVE: Micros = 10_000_000;

impl Simulation {
    /// A simulation without calls yet.
    ///
    /// # Errors
    ///
    /// [`RoutingError`] if the settings are out of range.
    pub fn new(settings: SimulationSettings) -> Result<Self, RoutingError> {
        let site_of_gateway: Vec<Site> = (0..u16::from(settings.sites) * settings.gateways)
            .map(|n| (n / settings.gateways) as Site)
            .collect();
        let site_map = SiteMap::new(site_of_gateway, 0).ok_or(RoutingError::UnknownGateway(0))?;
        let all = 0..site_map.len() as MemberId;
        let gateways = all.map(|member| Gateway::new(&settings, &site_map, member, START));
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
        let mut simulation = Self {
            now: START,
            completed: Vec::new(),
            gossip_bytes: 0,
            site_map,
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
        for member in 0..simulation.gateways.len() as MemberId {
            let first = simulation.rng.random_range(0..CONTROL_INTERVAL);
            simulation.schedule(first, Event::ControlTick(member));
            simulation.schedule(first / 2, Event::Ping { from: member });
        }
        simulation.schedule(0, Event::UpdateLive);
        simulation.schedule(0, Event::TakeSnapshot);
        Ok(simulation)
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Micros {
        self.now - START
    }

    /// Sets the rate at which clients of a site call a function, in calls per second.
    pub fn set_call_rate(&mut self, site: Site, function: u32, calls: f64) {
        let (_, generation) = self.rates.get(&(site, function)).copied().unwrap_or_default();
        self.rates.insert((site, function), (calls, generation + 1));
        self.next_arrival(site, function);
    }

    /// Changes one direction of the link between two sites. If it is not cut afterwards, blocked messages are sent.
    pub fn update_link(&mut self, from: Site, to: Site, change: impl FnOnce(&mut DirectedLink)) {
        change(self.links.link_mut(from, to));
        if !self.links.link(from, to).cut {
            let (unblocked, blocked) = std::mem::take(&mut self.blocked)
                .into_iter()
                .partition(|message| (message.0, message.1) == (from, to));
            self.blocked = blocked;
            let unblocked: Vec<_> = unblocked;
            unblocked.into_iter().for_each(|(from, to, event)| self.send(from, to, event));
        }
    }

    /// Takes a site down with all calls in flight there, or brings it up again without any state.
    pub fn set_site_up(&mut self, site: Site, up: bool) {
        let state = &mut self.sites[usize::from(site)];
        (state.up, state.incarnation) = (up, state.incarnation + 1);
        state.workers.clear();
        for member in 0..self.gateways.len() as MemberId {
            if self.site_of(member) == site {
                self.gateways[usize::from(member)].counts.clear();
                if up && let Ok(fresh) = Gateway::new(&self.settings, &self.site_map, member, self.now) {
                    self.gateways[usize::from(member)] = fresh;
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

    /// Evicts all idle copies of a site.
    pub fn evict_idle_copies(&mut self, site: Site) {
        self.sites[usize::from(site)].workers.evict_idle_copies();
    }

    /// Sets whether a site refuses all calls handed to it, contrary to its reports.
    pub fn set_refuses_handovers(&mut self, site: Site, refuses: bool) {
        self.sites[usize::from(site)].refuses_handovers = refuses;
    }

    /// Sets whether a site reports a hundred times its workers and no calls in flight.
    pub fn set_overstates_capacity(&mut self, site: Site, overstates: bool) {
        self.sites[usize::from(site)].overstates_capacity = overstates;
    }

    /// Sets whether the control thread of a gateway is stalled.
    pub fn set_control_stalled(&mut self, gateway: MemberId, stalled: bool) {
        self.gateways[usize::from(gateway)].stalled = stalled;
    }

    /// Injects a fault into all gateways.
    #[doc(hidden)]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.gateways.iter_mut().for_each(|g| {
            g.controller.inject_fault(fault);
            g.router.inject_fault(fault);
        });
    }

    /// The current table of a gateway.
    pub fn table(&self, gateway: MemberId) -> Option<&RoutingTable> {
        self.gateways.get(usize::from(gateway)).and_then(|g| g.table.as_ref())
    }

    /// Loads of copies started at all sites.
    pub fn loads_started(&self) -> u64 {
        self.sites.iter().map(|s| s.workers.loads_started).sum()
    }

    /// Calls that have not ended.
    pub fn in_flight(&self) -> usize {
        self.calls.iter().filter(|c| !c.ended).count()
    }

    /// Calls that have not ended and that are handed to a site.
    pub fn in_flight_at(&self, site: Site) -> usize {
        let to = |c: &&Call| {
            !c.ended && c.handed_to.is_some_and(|(to, _)| self.site_map.site_of(to) == Some(site))
        };
        self.calls.iter().filter(to).count()
    }

    /// Runs until `until`, a time since the start.
    pub fn run_until(&mut self, until: Micros) {
        let until = START + until;
        while let Some(Reverse((at, ..))) = self.events.peek()
            && *at <= until
        {
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            self.handle_event(event);
        }
        self.now = until;
    }

    fn schedule(&mut self, delay: Micros, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((self.now + delay, self.event_count, event)));
    }

    fn send(&mut self, from: Site, to: Site, event: Event) {
        match self.links.sample_delay(&mut self.rng, from, to) {
            Some(delay) => self.schedule(delay, event),
            None => self.blocked.push((from, to, event)),
        }
    }

    fn site_of(&self, member: MemberId) -> Site {
        self.site_map.site_of(member).unwrap_or_default()
    }

    fn is_up(&self, member: MemberId) -> bool {
        self.sites[usize::from(self.site_of(member))].up
    }

    fn next_arrival(&mut self, site: Site, function: u32) {
        let (rate, generation) = self.rates.get(&(site, function)).copied().unwrap_or_default();
        if rate > 0.0 {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate * 1e6;
            self.schedule(gap as Micros, Event::Arrival { site, function, generation });
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrival { site, function, generation } => {
                if self.rates.get(&(site, function)).is_some_and(|(_, now)| *now == generation) {
                    self.start_client_call(site, function);
                    self.next_arrival(site, function);
                }
            }
            Event::HandoverArrives { call, attempt, gateway } => {
                self.receive_handover(call, attempt, gateway)
            }
            Event::AnswerArrives { call, attempt, outcome, by } => {
                let outcome = [HandoverOutcome::Served, HandoverOutcome::Refused, HandoverOutcome::Lost]
                    [usize::from(outcome)];
                self.handover_ended(call, attempt, outcome, by);
            }
            Event::HandoverTimeout { call, attempt } => {
                self.handover_ended(call, attempt, HandoverOutcome::Lost, 0)
            }
            Event::CopyLoaded { site, incarnation } => {
                if self.sites[usize::from(site)].incarnation == incarnation {
                    self.start_waiting(site);
                }
            }
            Event::CallDone { site, incarnation, job, worker, copy, warm } => {
                if self.sites[usize::from(site)].incarnation == incarnation {
                    self.sites[usize::from(site)].workers.release_lane(self.now, worker, copy);
                    self.finish_call(site, job, warm);
                    self.start_waiting(site);
                }
            }
            Event::CallExpired { site, incarnation, job } => {
                if self.sites[usize::from(site)].incarnation == incarnation {
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
                    // A rejected frame is a bug of the simulation; in release builds it shows as a wrong choice.
                    let read =
                        self.gateways[usize::from(to)].controller.receive_frame(self.now, from, &bytes);
                    debug_assert!(read.is_ok(), "{read:?}");
                }
            }
            Event::ControlTick(member) => self.control_tick(member),
            Event::Ping { from } => {
                let local_site = self.site_of(from);
                let others: Vec<_> = (0..self.gateways.len() as MemberId)
                    .filter(|member| self.site_of(*member) != local_site)
                    .collect();
                let others: Vec<_> =
                    others.into_iter().filter(|member| self.is_up(*member) && self.is_up(from)).collect();
                for to in others {
                    let there = self.site_of(to);
                    // A ping lost to a cut gives no measurement, even once the cut has healed.
                    let forth = self.links.sample_delay(&mut self.rng, local_site, there);
                    let back = self.links.sample_delay(&mut self.rng, there, local_site);
                    if let (Some(forth), Some(back)) = (forth, back) {
                        let sent = self.now;
                        self.schedule(forth + back, Event::Pong { from, to, sent });
                    }
                }
                self.schedule(PING_INTERVAL, Event::Ping { from });
            }
            Event::Pong { from, to, sent } => {
                let rtt = self.now - sent;
                self.gateways[usize::from(from)].controller.record_rtt(self.now, to, rtt);
            }
            Event::TakeSnapshot => {
                self.take_snapshots();
                self.schedule(CONTROL_INTERVAL, Event::TakeSnapshot);
            }
            Event::UpdateLive => {
                let live: Vec<_> =
                    (0..self.gateways.len() as MemberId).map(|member| self.is_up(member)).collect();
                self.gateways.iter_mut().for_each(|g| g.controller.set_live(&live));
            }
        }
    }

    fn control_tick(&mut self, member: MemberId) {
        self.schedule(CONTROL_INTERVAL, Event::ControlTick(member));
        let (now, local_site) = (self.now, self.site_of(member));
        let state = &self.sites[usize::from(local_site)];
        let gateway = &mut self.gateways[usize::from(member)];
        if !state.up || gateway.stalled {
            return;
        }
        let mut functions: Vec<_> = gateway.counts.values().copied().collect();
        if state.overstates_capacity {
            functions.iter_mut().for_each(|c| c.in_flight = 0);
        }
        gateway.counts.values_mut().for_each(|c| {
            *c = FunctionCounts { function: c.function, in_flight: c.in_flight, ..FunctionCounts::default() };
        });
        gateway.counts.retain(|_, c| c.in_flight > 0);
        let in_flight = functions.iter().map(|c| c.in_flight).sum();
        let workers = state.workers.workers() * if state.overstates_capacity { 100 } else { 1 };
        let counts = LoopCounts { span: CONTROL_INTERVAL, functions, in_flight, workers };
        gateway.controller.record_counts(now, 0, &counts);
        if self.settings.policy != Policy::SiteRouting {
            return;
        }
        let frames = gateway.controller.build_frames(now);
        gateway.table = Some(gateway.controller.build_table(now));
        for (to, bytes) in frames {
            self.gossip_bytes += bytes.len() as u64;
            let there = self.site_of(to);
            self.send(local_site, there, Event::Frame { from: member, to, bytes });
        }
    }

    /// Starts a call of a client. Clients of a site that is down call the next site.
    fn start_client_call(&mut self, site: Site, function: u32) {
        let all = self.settings.sites;
        let Some(site) = (0..all).map(|n| (site + n) % all).find(|s| self.sites[usize::from(*s)].up) else {
            return;
        };
        let gateways = self.settings.gateways;
        let gateway = u16::from(site) * gateways + self.rng.random_range(0..gateways);
        let patience = self.settings.functions[function as usize].spec.deadline;
        let (arrived_at, deadline) = (self.now, self.now + patience);
        let call = self.calls.len();
        self.calls.push(Call {
            function,
            site,
            gateway,
            arrived_at,
            deadline,
            attempt: 0,
            handed_to: None,
            hops: 0,
            ended: false,
        });
        self.update_counts(gateway, function, |c| c.calls += 1);
        self.route_call(call, gateway, patience, false);
    }

    fn route_call(&mut self, call: usize, gateway: MemberId, patience: Micros, handed_over: bool) {
        let function = self.calls[call].function;
        match self.choose_destination(gateway, function, patience, handed_over) {
            Destination::Local => self.start_call(call, gateway),
            Destination::Remote { site, peer } => {
                let record = &mut self.calls[call];
                record.hops += 1;
                (record.handed_to, record.attempt) = (Some((peer, self.now)), record.attempt + 1);
                let attempt = record.attempt;
                if !handed_over {
                    self.schedule(patience / 2, Event::HandoverTimeout { call, attempt });
                }
                let local_site = self.site_of(gateway);
                self.send(local_site, site, Event::HandoverArrives { call, attempt, gateway: peer });
            }
        }
    }

    fn receive_handover(&mut self, call: usize, attempt: u32, gateway: MemberId) {
        let (record, there) = (self.calls[call], self.site_of(gateway));
        if !self.is_up(gateway) || record.attempt != attempt {
            return;
        }
        let state = &self.sites[usize::from(there)];
        if state.refuses_handovers || state.workers.is_full(self.now, record.deadline) {
            let answer = Event::AnswerArrives { call, attempt, outcome: 1, by: there };
            return self.send(there, record.site, answer);
        }
        let patience = record.deadline.saturating_sub(self.now);
        self.route_call(call, gateway, patience, true);
    }

    /// Submits a call to the workers at the site of a gateway; if they are full, the call ends there.
    fn start_call(&mut self, call: usize, gateway: MemberId) {
        let site = self.site_of(gateway);
        let function = self.calls[call].function;
        let mean = self.settings.functions[function as usize].service_time as f64;
        let service_time = (mean * self.rng.random_range(0.4..1.6)) as Micros;
        let Call { deadline, attempt, .. } = self.calls[call];
        let job = Job { call, attempt, gateway, function, arrived_at: self.now, deadline, service_time };
        if self.sites[usize::from(site)].workers.is_full(self.now, job.deadline) {
            return self.end_call(call, site, None);
        }
        self.update_counts(gateway, function, |c| c.in_flight += 1);
        let mut events = Vec::new();
        self.sites[usize::from(site)].workers.submit(self.now, job, &mut events);
        self.schedule_worker_events(site, events);
    }

    /// Lets the workers of a site start waiting calls.
    fn start_waiting(&mut self, site: Site) {
        let mut events = Vec::new();
        self.sites[usize::from(site)].workers.start_waiting(self.now, &mut events);
        self.schedule_worker_events(site, events);
    }

    fn schedule_worker_events(&mut self, site: Site, events: Vec<(Micros, WorkerEvent)>) {
        let incarnation = self.sites[usize::from(site)].incarnation;
        for (at, event) in events {
            let event = match event {
                WorkerEvent::CopyLoaded => Event::CopyLoaded { site, incarnation },
                WorkerEvent::CallExpired { job } => Event::CallExpired { site, incarnation, job },
                WorkerEvent::CallDone { job, worker, copy, warm } => {
                    Event::CallDone { site, incarnation, job, worker, copy, warm }
                }
            };
            self.schedule(at - self.now, event);
        }
    }

    fn finish_call(&mut self, site: Site, job: Job, warm: bool) {
        let (record, now) = (self.calls[job.call], self.now);
        self.update_counts(job.gateway, job.function, |n| {
            (n.served, n.total_time, n.warm_starts) =
                (n.served + 1, n.total_time + now - job.arrived_at, n.warm_starts + u32::from(warm));
            n.in_flight = n.in_flight.saturating_sub(1);
        });
        match record.handed_to.is_some() {
            _ if record.attempt != job.attempt => {}
            true => self.send(
                site,
                record.site,
                Event::AnswerArrives { call: job.call, attempt: record.attempt, outcome: 0, by: site },
            ),
            false => self.end_call(job.call, site, Some(now - record.arrived_at)),
        }
    }

    /// Handles the end of a handover. Without an answer, the call is served by the site of its client.
    fn handover_ended(&mut self, call: usize, attempt: u32, outcome: HandoverOutcome, by: Site) {
        let record = self.calls[call];
        let Some((to, sent)) = record.handed_to.filter(|_| record.attempt == attempt && !record.ended) else {
            return;
        };
        let handover = Handover { function: record.function, to, duration: self.now - sent, outcome };
        let gateway = &mut self.gateways[usize::from(record.gateway)];
        gateway.router.handover_ended(self.now, &handover);
        gateway.controller.record_handover(self.now, &handover);
        self.calls[call].handed_to = None;
        self.calls[call].attempt += 1;
        match outcome {
            HandoverOutcome::Served => self.end_call(call, by, Some(self.now - record.arrived_at)),
            _ => self.start_call(call, record.gateway),
        }
    }

    fn end_call(&mut self, call: usize, answered_by: Site, latency: Option<Micros>) {
        let record = &mut self.calls[call];
        if std::mem::replace(&mut record.ended, true) {
            return;
        }
        let spec = self.settings.functions[record.function as usize].spec;
        let latency = latency.filter(|latency| *latency <= spec.deadline);
        let value = latency.map_or(0.0, |latency| {
            let left = spec.deadline.saturating_sub(latency) as f64;
            (left / (spec.deadline - spec.aim).max(1) as f64).min(1.0)
        });
        let (arrived_at, function, site, hops) =
            (record.arrived_at - START, record.function, record.site, record.hops);
        self.completed.push(CompletedCall { arrived_at, function, site, answered_by, hops, latency, value });
    }

    fn update_counts(&mut self, gateway: MemberId, function: u32, change: impl FnOnce(&mut FunctionCounts)) {
        let counts = &mut self.gateways[usize::from(gateway)].counts;
        change(counts.entry(function).or_insert(FunctionCounts { function, ..FunctionCounts::default() }));
    }
}
