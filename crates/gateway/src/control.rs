//! The control thread: cluster membership, the links to gateways of other sites, and the subsystems that decide on
//! routing, admission and replication, kept off the loops that serve calls. It receives counts from the loops and
//! publishes whole tables to them; no loop ever waits for it.

use crate::run::GatewayError;
use crate::scheduler::{RUN, STOP};
use crate::tables::{ControlEnd, ControlMessage, LoopReport, Owners, REPORT_INTERVAL_US, Tables};
use basaltward::{Micros, Repeat};
use basaltward_admission::{AdmissionController, AdmissionSettings, ClassSettings};
use basaltward_config::{Config, SitesConfig};
use basaltward_membership::{MemberId, MemberState, SHED_KEYS, SiteMap};
use basaltward_net::{Clock, Io, NetError, monotonic};
use basaltward_peers::{
    Channel, ConnectionConfig, ConnectionEvent, EndpointConfig, EndpointEvent, Event, PeerConfig,
    PeerEndpoint, SitesToWatch,
};
use basaltward_pending::{
    EventStatus, Input, Output, PendingEvents, PendingSettings, Resolution, Step, taken_over,
};
use basaltward_permits::{Denied, PermitRequest};
use basaltward_rules::{Observation, Recorder};
use basaltward_site_routing::{FunctionSpec, RoutingController, RoutingSettings};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use tracing::{info, warn};

/// Command: the loops have ended; stop the control thread.
pub const EXIT: u8 = 3;
/// Longest interval between two updates from observed site states and the agreed state.
const SITE_REFRESH_US: Micros = 500_000;
/// Validity of the owners table: four times the interval at which it is published ([`SITE_REFRESH_US`]).
const OWNERS_VALID_US: Micros = 2_000_000;
/// Maximum messages queued for a loop. Beyond it the oldest are dropped; the loop's timers make up for lost ones.
const MAX_QUEUED_MESSAGES: usize = 16_384;
/// Maximum round-trip time of datagrams between sites; a longer silence is taken as a failure, not as distance.
const MAX_ROUND_TRIP_US: Micros = 100_000;
/// Gossip bandwidth between gateways. At the membership default of 1,000 bytes/s, half of a fleet of eight received
/// load figures only after 2 s; at this rate they arrive within 0.5 s.
const GOSSIP_BYTES_PER_S: u64 = 16_000;
/// The membership view counts a site as lost after none of its members was live for this time.
const SITE_LOST_AFTER_US: Micros = 1_000_000;

/// State of the control thread.
pub struct Control {
    name: String,
    io: Io,
    endpoint: PeerEndpoint,
    route: RoutingController,
    shed: AdmissionController,
    shed_fact_lifetime: Micros,
    pending: PendingEvents,
    hand_over: bool,
    loops: Vec<ControlEnd>,
    queued: Vec<VecDeque<ControlMessage>>,
    tables: Arc<Tables>,
    live: Vec<bool>,
    peer_count: MemberId,
    /// Time of the last round-trip measurement passed to routing, by peer.
    last_rtt_at: Vec<Micros>,
    command: Arc<AtomicU8>,
    stall: Arc<AtomicU64>,
    recorder: Recorder,
    leaving: bool,
    /// Submitted permit requests without an answer, by tag.
    permit_requests: BTreeMap<u32, PermitRequest>,
    site_map: SiteMap,
    /// This gateway was taken over by others and has reclaimed its events.
    reclaimed: bool,
    /// This gateway accepts the events that it owns from this time on.
    accepts_from: Micros,
    /// How long events are remembered.
    retention: Micros,
    /// Time of the next update from observed site states and the agreed state.
    next_site_refresh: Micros,
    /// Time of the next read of the loops' reports, if nothing wakes this thread earlier.
    next_poll: Micros,
}

/// The site of each gateway, by the settings.
fn site_map(sites: &SitesConfig) -> Option<SiteMap> {
    SiteMap::new(sites.peers.iter().map(|peer| peer.site).collect(), sites.own_index)
}

/// Settings of admission, which must be the same at all gateways; `None` if this gateway is not among the peers.
pub fn shed_settings(config: &Config, sites: &SitesConfig) -> Option<AdmissionSettings> {
    let class = |class: &basaltward::Class| ClassSettings {
        value: class.value,
        aim: class.aim,
        deadline: class.deadline,
    };
    let classes = config.controller.classes.iter().map(class).collect();
    let defaults = AdmissionSettings::new(classes, config.controller.tenant_quotas.clone(), site_map(sites)?);
    Some(AdmissionSettings {
        over_share_value: config.controller.over_share_value,
        loops: config.threads as usize,
        ..defaults
    })
}

fn route_settings(config: &Config, sites: &SitesConfig) -> Option<RoutingSettings> {
    let classes = &config.controller.classes;
    let function = |f: &basaltward_config::FunctionConfig| FunctionSpec {
        memory_mb: f.memory_mb.ceil().max(1.0) as u32,
        lanes: f.lanes,
        load_time: f.load_time,
        aim: classes[f.class].aim,
        deadline: classes[f.class].deadline,
    };
    let kinds = &config.controller.copies.kind_memory_mb;
    let worker_mb = kinds.iter().sum::<f64>() / kinds.len().max(1) as f64;
    let functions = config.functions.iter().map(function).collect();
    let defaults =
        RoutingSettings::new(site_map(sites)?, functions, worker_mb as u32, u64::from(sites.own_index));
    Some(RoutingSettings {
        keep_alive: config.controller.copies.keep_alive,
        loops: config.threads as u16,
        ..defaults
    })
}

fn endpoint_config(config: &Config, sites: &SitesConfig) -> EndpointConfig {
    let peers = &sites.peers;
    let seed = Clock::read().wall() ^ u64::from(std::process::id()) << 40;
    EndpointConfig {
        transport: PeerConfig {
            sites: site_map(sites).map(|map| SitesToWatch { map, lost_after_us: SITE_LOST_AFTER_US }),
            name: sites.fleet.clone(),
            listen: sites.datagram_listen,
            peers: peers.iter().map(|peer| peer.datagram_address).collect(),
            own: sites.own_index,
            seed,
            operators: sites.operator_hosts.clone(),
            zones: peers.iter().map(|peer| peer.site).collect(),
            bounds: config.replication.iter().any(Option::is_some).then(Default::default),
            version: String::new(),
            round_trip: MAX_ROUND_TRIP_US,
            bytes_per_s: GOSSIP_BYTES_PER_S,
        },
        listen: sites.journal_listen,
        connections: ConnectionConfig::new(peers.iter().map(|peer| peer.journal_address).collect()),
    }
}

impl Control {
    /// Opens the sockets. `loops` are the control thread's ends of the rings, by loop.
    ///
    /// # Errors
    /// If an address can't be bound or the settings are not usable.
    pub fn open(
        config: &Config,
        sites: &SitesConfig,
        mut io: Io,
        (loops, tables): (Vec<ControlEnd>, Arc<Tables>),
        (command, stall): (Arc<AtomicU8>, Arc<AtomicU64>),
        recorder: Recorder,
    ) -> Result<Self, GatewayError> {
        let now = monotonic();
        let endpoint = PeerEndpoint::open(endpoint_config(config, sites), &mut io, now)?;
        let route = route_settings(config, sites).ok_or(GatewayError::NotAPeer)?;
        let route = RoutingController::new(route, now)?;
        let shed = shed_settings(config, sites).ok_or(GatewayError::NotAPeer)?;
        let shed_fact_lifetime = shed.load_ttl;
        let shed = AdmissionController::new(now, shed)?;
        let holders = config
            .replication
            .iter()
            .map(|class| class.map_or(0, |replication| replication.holders.min(255) as u8));
        let site_map = site_map(sites).ok_or(GatewayError::NotAPeer)?;
        let pending = PendingSettings {
            journal_bytes: sites.journal.max_bytes,
            entry_bytes: sites.journal.max_entry_bytes,
            lease: sites.journal.lease,
            ..PendingSettings::new(
                site_map.clone(),
                endpoint.start_ms(),
                holders.collect(),
                u64::from(sites.own_index),
            )
        };
        let windows = config.controller.classes.iter().map(|class| match class.repeat {
            Repeat::Keyed { window, .. } => window,
            _ => 0,
        });
        let retention = windows.fold(config.repeats.retention, Micros::max);
        Ok(Self {
            name: format!("{}/control", config.name),
            io,
            endpoint,
            route,
            shed,
            shed_fact_lifetime,
            pending: PendingEvents::new(pending, now),
            hand_over: sites.hand_over,
            queued: loops.iter().map(|_| VecDeque::new()).collect(),
            loops,
            tables,
            live: Vec::new(),
            peer_count: sites.peers.len() as MemberId,
            last_rtt_at: vec![0; sites.peers.len()],
            command,
            stall,
            recorder,
            leaving: false,
            permit_requests: BTreeMap::new(),
            next_site_refresh: now,
            site_map,
            reclaimed: false,
            accepts_from: now,
            retention,
            next_poll: now,
        })
    }

    /// Runs until the loops have ended.
    ///
    /// # Errors
    /// If a system call of its I/O fails.
    pub fn run(mut self) -> Result<(), NetError> {
        let mut io_events = Vec::new();
        loop {
            let now = monotonic();
            self.read_loops(now);
            let events = self.endpoint.wake(&mut self.io, now);
            self.handle_events(now, events);
            self.run_due(now);
            self.flush_messages();
            let due = self.endpoint.next_due().min(self.pending.next_due()).min(self.next_poll);
            self.io.turn(Some(due.saturating_sub(monotonic())), &mut io_events)?;
            let now = monotonic();
            for event in io_events.drain(..) {
                let events = self.endpoint.handle_event(&mut self.io, now, &event);
                self.handle_events(now, events);
            }
            self.io.free_ended();
            let stall = self.stall.swap(0, Ordering::Relaxed);
            if stall > 0 {
                std::thread::sleep(std::time::Duration::from_micros(stall));
            }
            match self.command.load(Ordering::Relaxed) {
                RUN => {}
                STOP if !std::mem::replace(&mut self.leaving, true) => {
                    let events = self.endpoint.leave(&mut self.io, monotonic());
                    self.handle_events(now, events);
                }
                STOP => {}
                EXIT => {
                    self.endpoint.stop(&mut self.io, monotonic());
                    self.io.turn(Some(0), &mut io_events)?;
                    return Ok(());
                }
                _ => return Ok(()),
            }
        }
    }

    /// Reads the loops' reports and the journal steps of their replicated events.
    fn read_loops(&mut self, now: Micros) {
        let (own, mut outputs) = (self.endpoint.membership().own(), Vec::new());
        for (number, end) in self.loops.iter_mut().enumerate() {
            while let Ok(report) = end.reports.pop() {
                match report {
                    LoopReport::Calls(counts) => self.route.record_counts(now, number as u16, &counts),
                    LoopReport::HandedOver(handed) => self.route.record_handover(now, &handed),
                    LoopReport::Admission(counts) => self.shed.record_counts(now, number, &counts),
                }
            }
            while let Ok(step) = end.steps.pop() {
                // An event of a lost gateway is not started again while the gateways that took it over handle it.
                let status = match &step {
                    Step::Accepted(accepted) => {
                        self.pending.event_status(accepted.key).map(|status| (accepted.key, status))
                    }
                    _ => None,
                };
                let (key, message) = match status {
                    Some((key, EventStatus::Ended(outcome, answer))) => {
                        (key, ControlMessage::EndedElsewhere(key, outcome, answer))
                    }
                    Some((key, EventStatus::OwnedBy(by))) if by != own => {
                        (key, ControlMessage::OwnedElsewhere(key))
                    }
                    Some((key, EventStatus::Unassigned)) => (key, ControlMessage::OwnedElsewhere(key)),
                    Some(_) | None => {
                        self.pending.handle(now, wall_ms(), Input::Step(step), &mut outputs);
                        continue;
                    }
                };
                self.pending.handle(now, wall_ms(), Input::ClientRepeat(key), &mut outputs);
                self.queued[number].push_back(message);
            }
        }
        self.carry_out(now, outputs);
    }

    fn handle_events(&mut self, now: Micros, events: Vec<EndpointEvent>) {
        let mut outputs = Vec::new();
        for event in events {
            let input = match event {
                EndpointEvent::Transport(Event::MemberChanged { member, incarnation, state }) => {
                    self.member_changed(now, member, incarnation, state);
                    continue;
                }
                EndpointEvent::Connection(ConnectionEvent::Frame(from, Channel::Pending, bytes)) => {
                    Input::Frame { from, bytes: bytes.to_vec() }
                }
                EndpointEvent::Connection(ConnectionEvent::Frame(from, Channel::Route, bytes)) => {
                    if let Err(error) = self.route.receive_frame(now, from, &bytes) {
                        warn!(scheduler = self.name, from, %error, "routing frame of another site rejected");
                    }
                    continue;
                }
                EndpointEvent::Connection(ConnectionEvent::Up(of, life)) => {
                    info!(scheduler = self.name, of, "link up");
                    Input::LinkUp { of, life }
                }
                EndpointEvent::Connection(ConnectionEvent::Down(of)) => {
                    info!(scheduler = self.name, of, "link down");
                    Input::LinkDown { of }
                }
                EndpointEvent::Transport(Event::Answered { tag, answer }) => {
                    match (self.permit_requests.remove(&tag), answer) {
                        (Some(PermitRequest::Reclaim(subject)), Ok(permit)) => {
                            self.reclaimed |= permit > 0;
                            Input::ReclaimReply { subject, permit }
                        }
                        (
                            Some(PermitRequest::Return(subject, _)),
                            Ok(_) | Err(Denied::Stale | Denied::Unknown),
                        ) => Input::PermitReturned { subject },
                        _ => continue,
                    }
                }
                EndpointEvent::Transport(Event::Agreed(_)) => {
                    self.next_site_refresh = now;
                    continue;
                }
                EndpointEvent::Transport(_) | EndpointEvent::Connection(_) => continue,
            };
            self.pending.handle(now, wall_ms(), input, &mut outputs);
        }
        self.carry_out(now, outputs);
    }

    fn member_changed(
        &self,
        now: Micros,
        member: MemberId,
        incarnation: basaltward_membership::Incarnation,
        state: MemberState,
    ) {
        let state = format!("{state:?}").to_lowercase();
        info!(scheduler = self.name, member, state, "peer");
        let observation = Observation::MemberState {
            member,
            start: incarnation.start,
            refutations: incarnation.bump,
            state,
        };
        self.recorder.put(now, &self.name, observation);
    }

    /// Runs the timers that are due in each subsystem, and publishes the tables.
    fn run_due(&mut self, now: Micros) {
        self.next_poll = self.next_poll.max(now.saturating_sub(REPORT_INTERVAL_US));
        if now >= self.next_poll {
            self.next_poll = now + REPORT_INTERVAL_US;
            self.update_live_members(now);
        }
        if self.hand_over && self.route.next_due() <= now {
            self.update_route(now);
        }
        if self.shed.next_due() <= now {
            self.update_shed(now);
        }
        if now >= self.next_site_refresh {
            self.next_site_refresh = now + SITE_REFRESH_US;
            self.update_owners(now);
        }
        if self.pending.next_due() <= now {
            let mut outputs = Vec::new();
            self.pending.wake(now, wall_ms(), &mut outputs);
            self.carry_out(now, outputs);
        }
    }

    /// Passes the set of live members to the subsystems if it has changed.
    fn update_live_members(&mut self, now: Micros) {
        let members = self.endpoint.membership().members();
        let own = usize::from(self.endpoint.membership().own());
        let live: Vec<_> =
            members.iter().enumerate().map(|(member, e)| member == own || e.state.is_live()).collect();
        if live != self.live {
            self.live = live;
            self.route.set_live(&self.live);
            self.next_site_refresh = now;
            let mut outputs = Vec::new();
            self.pending.handle(now, wall_ms(), Input::LivePeers(self.live.clone()), &mut outputs);
            self.carry_out(now, outputs);
        }
    }

    /// Passes new round-trip times to routing, sends its frames to other sites, and publishes its table.
    fn update_route(&mut self, now: Micros) {
        for member in 0..self.peer_count {
            // Each measurement is passed on once: repeated, it would count as several.
            if let Some((rtt, age)) = self.endpoint.connections().rtt(member, now)
                && let Some(last) = self.last_rtt_at.get_mut(usize::from(member))
                && now.saturating_sub(age) > *last
            {
                *last = now.saturating_sub(age);
                self.route.record_rtt(now, member, rtt);
            }
        }
        for (to, frame) in self.route.build_frames(now) {
            // A frame that can't be queued is not retried: the next one carries newer values.
            let _ = self.endpoint.send(&mut self.io, now, to, (Channel::Route, &frame));
        }
        self.tables.route.store(Some(Arc::new(self.route.build_table(now))));
    }

    /// Passes the load that peers have published to admission, publishes its own, and publishes its table.
    fn update_shed(&mut self, now: Micros) {
        for member in 0..self.peer_count {
            for key in SHED_KEYS {
                if let Some(value) = self.endpoint.fact(now, member, key).map(<[u8]>::to_vec) {
                    self.shed.receive_fact(now, member, key, &value);
                }
            }
        }
        for (key, value) in self.shed.take_due_facts(now) {
            self.endpoint.publish_fact(now, key, &value, self.shed_fact_lifetime);
        }
        self.tables.shed.store(Some(Arc::new(self.shed.compute_table(now, &self.live))));
    }

    /// Passes observed site states and the agreed state to the journals, and publishes the owners table.
    fn update_owners(&mut self, now: Micros) {
        let observations = self.endpoint.transport().site_observations(now);
        let permit_state = self.endpoint.permit_state().map(|known| known.value.clone()).unwrap_or_default();
        let mut outputs = Vec::new();
        let taken_over = taken_over(&permit_state, &self.site_map);
        self.pending.handle(now, wall_ms(), Input::Observed { observations, permit_state }, &mut outputs);
        let accepts = self.pending.is_ready() && now >= self.accepts_from;
        let owners = Owners { valid_until: now + OWNERS_VALID_US, taken_over, accepts };
        self.tables.owners.store(Some(Arc::new(owners)));
        self.carry_out(now, outputs);
    }

    fn carry_out(&mut self, now: Micros, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, bytes } => {
                    // Unacknowledged data is sent again.
                    let _ = self.endpoint.send(&mut self.io, now, to, (Channel::Pending, &bytes));
                }
                Output::Replicated { key } => self.broadcast(|| ControlMessage::Replicated(key, true)),
                Output::NotReplicated { key, why } => {
                    info!(scheduler = self.name, %why, "event not replicated");
                    self.broadcast(|| ControlMessage::Replicated(key, false));
                }
                Output::SendAllowed { key, attempt, until } => {
                    self.broadcast(|| ControlMessage::SendDecision(key, attempt, Some(until)))
                }
                Output::SendDenied { key, attempt, why } => {
                    info!(scheduler = self.name, %why, "attempt not sent");
                    self.broadcast(|| ControlMessage::SendDecision(key, attempt, None));
                }
                Output::Fault(fault) => warn!(scheduler = self.name, %fault, "journal fault"),
                // The endpoint repeats a submitted request by itself until it has an answer.
                Output::RequestPermit(request)
                    if self.permit_requests.values().any(|submitted| *submitted == request) => {}
                Output::RequestPermit(request) => {
                    info!(scheduler = self.name, ?request, "permit request submitted");
                    if let Some(tag) = self.endpoint.submit(now, request) {
                        self.permit_requests.insert(tag, request);
                    }
                }
                Output::Ready => {
                    // Other gateways accepted events of this gateway until they learned of its return. A repeat of
                    // one of those must not be accepted here while it is remembered there, as this gateway has no
                    // record of it.
                    let wait = if std::mem::take(&mut self.reclaimed) {
                        self.retention + OWNERS_VALID_US
                    } else {
                        0
                    };
                    (self.accepts_from, self.next_site_refresh) = (now + wait, now);
                    info!(scheduler = self.name, after_us = wait, "accepting replicated events");
                }
                Output::OwnershipLost { key } => self.broadcast(|| ControlMessage::TakenOver(key)),
                Output::Run { accepted, resolution, .. } => {
                    info!(
                        scheduler = self.name,
                        key = format!("{:x}", accepted.key.0),
                        end = ?resolution,
                        "running an event of a lost gateway"
                    );
                    let before =
                        if let Resolution::SameKey { before } = resolution { before } else { u64::MAX };
                    let loop_index = (accepted.key.0 % self.loops.len().max(1) as u128) as usize;
                    if let Some(messages) = self.queued.get_mut(loop_index) {
                        messages.push_back(ControlMessage::RunForLostSite(Box::new(accepted), before));
                    }
                }
                Output::Resolved { key, resolution, outcome, answer } => {
                    info!(
                        scheduler = self.name,
                        key = format!("{:x}", key.0),
                        end = ?resolution,
                        "event of a lost gateway has ended"
                    );
                    self.broadcast(|| ControlMessage::EndedElsewhere(key, outcome, answer.clone()));
                }
                Output::JournalLoss(loss) => {
                    warn!(scheduler = self.name, gone = %loss, "journal of a lost gateway is incomplete")
                }
            }
        }
    }

    /// Sends a message to all loops; those without the event ignore it.
    fn broadcast(&mut self, message: impl Fn() -> ControlMessage) {
        self.queued.iter_mut().for_each(|messages| messages.push_back(message()));
    }

    /// Moves queued messages into the loops' rings.
    fn flush_messages(&mut self) {
        for (end, messages) in self.loops.iter_mut().zip(&mut self.queued) {
            let before = messages.len();
            while let Some(message) = messages.pop_front() {
                if let Err(rtrb::PushError::Full(message)) = end.messages.push(message) {
                    messages.push_front(message);
                    break;
                }
            }
            if messages.len() < before {
                end.loop_waker.wake();
            }
            while messages.len() > MAX_QUEUED_MESSAGES {
                messages.pop_front();
            }
        }
    }
}

/// The wall clock, in milliseconds since 1970.
fn wall_ms() -> u64 {
    Clock::read().wall() / 1_000
}
