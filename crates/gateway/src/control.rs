//! The control thread: the view of all sites, the links between them and the rooms that decide by them, apart from the
//! loops that serve. It hears what loops count and gives them whole tables; no loop ever waits for it.

use crate::run::GatewayError;
use crate::scheduler::{RUN, STOP};
use crate::tables::{COUNT_US, ControlEnd, Fact, Owners, Tables, Word};
use basaltward::{Micros, Repeat};
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
use basaltward_route::{FunctionTold, Route, RouteSettings};
use basaltward_rules::{Observation, Recorder};
use basaltward_shed::{ClassOf, Shed, ShedSettings};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use tracing::{info, warn};

/// All is done: nobody needs the control thread any more.
pub const END: u8 = 3;
/// What is seen of sites and agreed on them is looked at anew after this at the latest.
const SEE_US: Micros = 500_000;
/// Whose events are holds for so long: four times what passes until it is told anew.
const OWNERS_US: Micros = 2_000_000;
/// Words that wait for a loop: past this the oldest go, which its timers make up for.
const MOST_WORDS: usize = 16_384;
/// Datagrams between sites take so long there and back at most, by which silence is told from distance.
const ROUND_TRIP_US: Micros = 100_000;
/// Datagrams between gateways: figures of load that half of a fleet of eight hears after 2 s at the view's usual 1,000
/// bytes a second are there within 0.5 s at this.
const BYTES_PER_S: u64 = 16_000;
/// A site of which nothing was live for so long counts as lost, as far as the view goes.
const LOST_US: Micros = 1_000_000;

/// See the module's page.
pub struct Control {
    name: String,
    io: Io,
    endpoint: PeerEndpoint,
    route: Route,
    shed: Shed,
    shed_stands: Micros,
    pending: PendingEvents,
    hand_over: bool,
    loops: Vec<ControlEnd>,
    words: Vec<VecDeque<Word>>,
    tables: Arc<Tables>,
    live: Vec<bool>,
    peer_count: MemberId,
    /// When the way to each was measured that the choice of sites was told last.
    measured: Vec<Micros>,
    wanted: Arc<AtomicU8>,
    stall: Arc<AtomicU64>,
    recorder: Recorder,
    leaving: bool,
    /// Requests of ours that have no answer yet, by number.
    requests: BTreeMap<u32, PermitRequest>,
    places: SiteMap,
    /// We were taken over and return.
    returns: bool,
    /// When events that are ours are taken.
    ready: Micros,
    /// For how long events are remembered.
    remember: Micros,
    /// When pending is told what is seen and agreed next.
    see: Micros,
    /// When facts are read next, though nobody wakes us.
    look: Micros,
}

/// Which gateway stands where, by the settings.
fn places(sites: &SitesConfig) -> Option<SiteMap> {
    SiteMap::new(sites.peers.iter().map(|peer| peer.site).collect(), sites.own_index)
}

/// Figures of the door, the same at all gateways.
pub fn shed_settings(config: &Config, sites: &SitesConfig) -> Option<ShedSettings> {
    let class =
        |class: &basaltward::Class| ClassOf { worth: class.value, aim: class.aim, deadline: class.deadline };
    let classes = config.controller.classes.iter().map(class).collect();
    let usual = ShedSettings::new(classes, config.controller.tenant_quotas.clone(), places(sites)?);
    Some(ShedSettings {
        over_share_worth: config.controller.over_share_value,
        loops: config.threads as usize,
        ..usual
    })
}

fn route_settings(config: &Config, sites: &SitesConfig) -> Option<RouteSettings> {
    let classes = &config.controller.classes;
    let function = |f: &basaltward_config::FunctionConfig| FunctionTold {
        memory_mb: f.memory_mb.ceil().max(1.0) as u32,
        lanes: f.lanes,
        load: f.load_time,
        aim: classes[f.class].aim,
        deadline: classes[f.class].deadline,
    };
    let kinds = &config.controller.copies.kind_memory_mb;
    let worker_mb = kinds.iter().sum::<f64>() / kinds.len().max(1) as f64;
    let functions = config.functions.iter().map(function).collect();
    let usual = RouteSettings::new(places(sites)?, functions, worker_mb as u32, u64::from(sites.own_index));
    Some(RouteSettings { keep: config.controller.copies.keep_alive, loops: config.threads as u16, ..usual })
}

fn endpoint_config(config: &Config, sites: &SitesConfig) -> EndpointConfig {
    let peers = &sites.peers;
    let seed = Clock::read().wall() ^ u64::from(std::process::id()) << 40;
    EndpointConfig {
        transport: PeerConfig {
            sites: places(sites).map(|map| SitesToWatch { map, lost_after_us: LOST_US }),
            name: sites.fleet.clone(),
            listen: sites.datagram_listen,
            peers: peers.iter().map(|peer| peer.datagram_address).collect(),
            own: sites.own_index,
            seed,
            operators: sites.operator_hosts.clone(),
            zones: peers.iter().map(|peer| peer.site).collect(),
            bounds: config.replication.iter().any(Option::is_some).then(Default::default),
            version: String::new(),
            round_trip: ROUND_TRIP_US,
            bytes_per_s: BYTES_PER_S,
        },
        listen: sites.journal_listen,
        connections: ConnectionConfig::new(peers.iter().map(|peer| peer.journal_address).collect()),
    }
}

impl Control {
    /// Opens its sockets. `loops` are its ends of their rings.
    ///
    /// # Errors
    /// Where an address can't be had or the settings can't be used.
    pub fn open(
        config: &Config,
        sites: &SitesConfig,
        mut io: Io,
        (loops, tables): (Vec<ControlEnd>, Arc<Tables>),
        (wanted, stall): (Arc<AtomicU8>, Arc<AtomicU64>),
        recorder: Recorder,
    ) -> Result<Self, GatewayError> {
        let now = monotonic();
        let endpoint = PeerEndpoint::open(endpoint_config(config, sites), &mut io, now)?;
        let route = route_settings(config, sites).ok_or(GatewayError::Sites)?;
        let route = Route::new(route, now)?;
        let shed = shed_settings(config, sites).ok_or(GatewayError::Sites)?;
        let shed_stands = shed.stands;
        let shed = Shed::new(now, shed)?;
        let holders =
            config.replication.iter().map(|kept| kept.map_or(0, |kept| kept.holders.min(255) as u8));
        let places = places(sites).ok_or(GatewayError::Sites)?;
        let pending = PendingSettings {
            journal_bytes: sites.journal.max_bytes,
            entry_bytes: sites.journal.max_entry_bytes,
            lease: sites.journal.lease,
            ..PendingSettings::new(
                places.clone(),
                endpoint.start_ms(),
                holders.collect(),
                u64::from(sites.own_index),
            )
        };
        let windows = config.controller.classes.iter().map(|class| match class.repeat {
            Repeat::Keyed { window, .. } => window,
            _ => 0,
        });
        let remember = windows.fold(config.repeats.retention, Micros::max);
        Ok(Self {
            name: format!("{}/control", config.name),
            io,
            endpoint,
            route,
            shed,
            shed_stands,
            pending: PendingEvents::new(pending, now),
            hand_over: sites.hand_over,
            words: loops.iter().map(|_| VecDeque::new()).collect(),
            loops,
            tables,
            live: Vec::new(),
            peer_count: sites.peers.len() as MemberId,
            measured: vec![0; sites.peers.len()],
            wanted,
            stall,
            recorder,
            leaving: false,
            requests: BTreeMap::new(),
            see: now,
            places: places.clone(),
            returns: false,
            ready: now,
            remember,
            look: now,
        })
    }

    /// Runs until the loops have ended.
    ///
    /// # Errors
    /// Where the system fails it.
    pub fn run(mut self) -> Result<(), NetError> {
        let mut happened = Vec::new();
        loop {
            let now = monotonic();
            self.facts(now);
            let events = self.endpoint.wake(&mut self.io, now);
            self.heard(now, events);
            self.rooms(now);
            self.tell();
            let due = self.endpoint.next_due().min(self.pending.next_due()).min(self.look);
            self.io.turn(Some(due.saturating_sub(monotonic())), &mut happened)?;
            let now = monotonic();
            for happened in happened.drain(..) {
                let events = self.endpoint.handle_event(&mut self.io, now, &happened);
                self.heard(now, events);
            }
            self.io.free_ended();
            let stall = self.stall.swap(0, Ordering::Relaxed);
            if stall > 0 {
                std::thread::sleep(std::time::Duration::from_micros(stall));
            }
            match self.wanted.load(Ordering::Relaxed) {
                RUN => {}
                STOP if !std::mem::replace(&mut self.leaving, true) => {
                    let events = self.endpoint.leave(&mut self.io, monotonic());
                    self.heard(now, events);
                }
                STOP => {}
                END => {
                    self.endpoint.stop(&mut self.io, monotonic());
                    self.io.turn(Some(0), &mut happened)?;
                    return Ok(());
                }
                _ => return Ok(()),
            }
        }
    }

    /// What the loops have counted, and the steps of their kept events.
    fn facts(&mut self, now: Micros) {
        let (own, mut out) = (self.endpoint.membership().own(), Vec::new());
        for (number, end) in self.loops.iter_mut().enumerate() {
            while let Ok(fact) = end.facts.pop() {
                match fact {
                    Fact::Routed(counts) => self.route.counted(now, number as u16, &counts),
                    Fact::Handed(handed) => self.route.handed(now, &handed),
                    Fact::Asked(counts) => self.shed.counted(now, number, &counts),
                }
            }
            while let Ok(step) = end.steps.pop() {
                // An event that was a lost gateway's is not begun anew while heirs see to it.
                let fate = match &step {
                    Step::Accepted(accepted) => {
                        self.pending.event_status(accepted.key).map(|fate| (accepted.key, fate))
                    }
                    _ => None,
                };
                let (key, word) = match fate {
                    Some((key, EventStatus::Ended(outcome, answer))) => {
                        (key, Word::Told(key, outcome, answer))
                    }
                    Some((key, EventStatus::OwnedBy(by))) if by != own => (key, Word::Elsewhere(key)),
                    Some((key, EventStatus::Unassigned)) => (key, Word::Elsewhere(key)),
                    Some(_) | None => {
                        self.pending.handle(now, wall_ms(), Input::Step(step), &mut out);
                        continue;
                    }
                };
                self.pending.handle(now, wall_ms(), Input::ClientRepeat(key), &mut out);
                self.words[number].push_back(word);
            }
        }
        self.carry_out(now, out);
    }

    fn heard(&mut self, now: Micros, events: Vec<EndpointEvent>) {
        let mut out = Vec::new();
        for event in events {
            let input = match event {
                EndpointEvent::Transport(Event::MemberChanged { member: of, incarnation, state }) => {
                    self.believed(now, of, incarnation, state);
                    continue;
                }
                EndpointEvent::Connection(ConnectionEvent::Frame(from, Channel::Pending, bytes)) => {
                    Input::Frame { from, bytes: bytes.to_vec() }
                }
                EndpointEvent::Connection(ConnectionEvent::Frame(from, Channel::Route, bytes)) => {
                    if let Err(error) = self.route.frame(now, from, &bytes) {
                        warn!(scheduler = self.name, from, %error, "frame of another site not taken");
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
                    match (self.requests.remove(&tag), answer) {
                        (Some(PermitRequest::Reclaim(subject)), Ok(permit)) => {
                            self.returns |= permit > 0;
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
                    self.see = now;
                    continue;
                }
                EndpointEvent::Transport(_) | EndpointEvent::Connection(_) => continue,
            };
            self.pending.handle(now, wall_ms(), input, &mut out);
        }
        self.carry_out(now, out);
    }

    fn believed(
        &self,
        now: Micros,
        of: MemberId,
        life: basaltward_membership::Incarnation,
        state: MemberState,
    ) {
        let told = format!("{state:?}").to_lowercase();
        info!(scheduler = self.name, member = of, state = told, "peer");
        let what =
            Observation::MemberState { member: of, start: life.start, refutations: life.bump, state: told };
        self.recorder.put(now, &self.name, what);
    }

    /// Does what is due in the rooms, and swaps the tables.
    fn rooms(&mut self, now: Micros) {
        self.look = self.look.max(now.saturating_sub(COUNT_US));
        if now >= self.look {
            self.look = now + COUNT_US;
            self.look_who_lives(now);
        }
        if self.hand_over && self.route.next_due() <= now {
            self.renew_route(now);
        }
        if self.shed.next_due() <= now {
            self.renew_shed(now);
        }
        if now >= self.see {
            self.see = now + SEE_US;
            self.renew_owners(now);
        }
        if self.pending.next_due() <= now {
            let mut out = Vec::new();
            self.pending.wake(now, wall_ms(), &mut out);
            self.carry_out(now, out);
        }
    }

    /// Tells the rooms who lives, where that has changed.
    fn look_who_lives(&mut self, now: Micros) {
        let members = self.endpoint.membership().members();
        let own = usize::from(self.endpoint.membership().own());
        let live: Vec<_> = members.iter().enumerate().map(|(of, e)| of == own || e.state.is_live()).collect();
        if live != self.live {
            self.live = live;
            self.route.live(&self.live);
            self.see = now;
            let mut out = Vec::new();
            self.pending.handle(now, wall_ms(), Input::LivePeers(self.live.clone()), &mut out);
            self.carry_out(now, out);
        }
    }

    /// Tells the choice of sites what was measured, sends what it tells others, and swaps its table.
    fn renew_route(&mut self, now: Micros) {
        for of in 0..self.peer_count {
            // Each measurement once: told again and again it would count as many.
            if let Some((rtt, age)) = self.endpoint.connections().rtt(of, now)
                && let Some(told) = self.measured.get_mut(usize::from(of))
                && now.saturating_sub(age) > *told
            {
                *told = now.saturating_sub(age);
                self.route.link(now, of, rtt);
            }
        }
        for (to, frame) in self.route.tell(now) {
            // Told anew with the next: what finds no room now is old by then.
            let _ = self.endpoint.send(&mut self.io, now, to, (Channel::Route, &frame));
        }
        self.tables.route.store(Some(Arc::new(self.route.table(now))));
    }

    /// Tells admission what peers have published, publishes what it tells, and swaps its table.
    fn renew_shed(&mut self, now: Micros) {
        for of in 0..self.peer_count {
            for key in SHED_KEYS {
                if let Some(value) = self.endpoint.fact(now, of, key).map(<[u8]>::to_vec) {
                    self.shed.heard(now, of, key, &value);
                }
            }
        }
        for (key, value) in self.shed.tell(now) {
            self.endpoint.publish_fact(now, key, &value, self.shed_stands);
        }
        self.tables.shed.store(Some(Arc::new(self.shed.table(now, &self.live))));
    }

    /// Tells the journals what is seen of sites and what is agreed, and swaps the table of owners.
    fn renew_owners(&mut self, now: Micros) {
        let observations = self.endpoint.transport().site_observations(now);
        let permit_state = self.endpoint.permit_state().map(|known| known.value.clone()).unwrap_or_default();
        let mut out = Vec::new();
        let taken = taken_over(&permit_state, &self.places);
        self.pending.handle(now, wall_ms(), Input::Observed { observations, permit_state }, &mut out);
        let ready = self.pending.is_ready() && now >= self.ready;
        let owners = Owners { until: now + OWNERS_US, taken, ready };
        self.tables.owners.store(Some(Arc::new(owners)));
        self.carry_out(now, out);
    }

    fn carry_out(&mut self, now: Micros, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, bytes } => {
                    // What is not acknowledged is sent again.
                    let _ = self.endpoint.send(&mut self.io, now, to, (Channel::Pending, &bytes));
                }
                Output::Replicated { key } => self.say(|| Word::Held(key, true)),
                Output::NotReplicated { key, why } => {
                    info!(scheduler = self.name, %why, "not kept");
                    self.say(|| Word::Held(key, false));
                }
                Output::SendAllowed { key, attempt, until } => {
                    self.say(|| Word::May(key, attempt, Some(until)))
                }
                Output::SendDenied { key, attempt, why } => {
                    info!(scheduler = self.name, %why, "not sent");
                    self.say(|| Word::May(key, attempt, None));
                }
                Output::Fault(fault) => warn!(scheduler = self.name, %fault, "journal"),
                // The member asks on by itself until it has an answer.
                Output::RequestPermit(request) if self.requests.values().any(|asked| *asked == request) => {}
                Output::RequestPermit(request) => {
                    info!(scheduler = self.name, ?request, "asked of the voters");
                    if let Some(tag) = self.endpoint.submit(now, request) {
                        self.requests.insert(tag, request);
                    }
                }
                Output::Ready => {
                    // Others took our events until they heard of our return. Whoever repeats one of those within the time
                    // that it is remembered must not find us, who know nothing of it.
                    let waits = if std::mem::take(&mut self.returns) { self.remember + OWNERS_US } else { 0 };
                    (self.ready, self.see) = (now + waits, now);
                    info!(scheduler = self.name, after_us = waits, "takes kept events");
                }
                Output::OwnershipLost { key } => self.say(|| Word::Lost(key)),
                Output::Run { accepted: pending, resolution: end, .. } => {
                    info!(
                        scheduler = self.name,
                        key = format!("{:x}", pending.key.0),
                        ?end,
                        "done for a lost gateway"
                    );
                    let before = if let Resolution::SameKey { before } = end { before } else { u64::MAX };
                    let at = (pending.key.0 % self.loops.len().max(1) as u128) as usize;
                    if let Some(words) = self.words.get_mut(at) {
                        words.push_back(Word::Run(Box::new(pending), before));
                    }
                }
                Output::Resolved { key, resolution: end, outcome, answer } => {
                    info!(
                        scheduler = self.name,
                        key = format!("{:x}", key.0),
                        ?end,
                        "ended for a lost gateway"
                    );
                    self.say(|| Word::Told(key, outcome, answer.clone()));
                }
                Output::JournalLoss(gone) => warn!(scheduler = self.name, %gone, "journal of a lost gateway"),
            }
        }
    }

    /// Tells all loops: the one that has the event heeds it.
    fn say(&mut self, word: impl Fn() -> Word) {
        self.words.iter_mut().for_each(|words| words.push_back(word()));
    }

    /// Gives the loops what waits for them.
    fn tell(&mut self) {
        for (end, words) in self.loops.iter_mut().zip(&mut self.words) {
            let before = words.len();
            while let Some(word) = words.pop_front() {
                if let Err(rtrb::PushError::Full(word)) = end.words.push(word) {
                    words.push_front(word);
                    break;
                }
            }
            if words.len() < before {
                end.waker.wake();
            }
            while words.len() > MOST_WORDS {
                words.pop_front();
            }
        }
    }
}

fn wall_ms() -> u64 {
    Clock::read().wall() / 1_000
}
