//! Simulates gateways of several sites in virtual time: connections that break and lose what was in flight, frames
//! that are delayed, duplicated, reordered, truncated or corrupted, and gateways that crash, stall and restart
//! without their state.

use crate::holder::HolderFault;
use crate::interface::{Input, Output, PendingSettings};
use crate::pending_events::PendingEvents;
use crate::types::{Key, Source, Step, WallMs};
use crate::wire::{Message, WireEntry, decode, encode};
use basaltward_membership::{LinkFaults, MemberId, Micros, Site, SiteMap, VirtualNetwork, VirtualNode};
use basaltward_permits::{Observation, Observations, Permit, PermitRequest, PermitState, Subject};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Probabilities of damage to a frame, in addition to the faults of the links.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FrameDamage {
    /// The frame is truncated.
    pub cut: f64,
    /// A byte of the frame is changed.
    pub changed: f64,
    /// A byte of an entry is changed before the frame is encoded, so that the frame's own checksum is valid.
    pub payload_changed: f64,
}

/// A gateway: its state machine behind simulated connections of the peer layer.
#[derive(Debug)]
pub struct SimulatedGateway {
    /// The state machine.
    pub pending: PendingEvents,
    life: u64,
    /// The life of each gateway to which a connection is open.
    connections: BTreeMap<MemberId, u64>,
    /// The latest known life of each gateway.
    latest_lives: BTreeMap<MemberId, u64>,
    wall_ms: WallMs,
    damage: FrameDamage,
    rng: StdRng,
    entry_bytes: usize,
}

/// An output of a simulated gateway.
#[derive(Debug)]
pub enum SimulatedOutput {
    /// A datagram for another gateway.
    Send(MemberId, Vec<u8>),
    /// An output of the state machine for the gateway's own loops.
    Local(Output),
}

/// Kind of a datagram that opens a connection.
const HELLO: u8 = 0;
/// Kind of a datagram that confirms an opened connection.
const WELCOME: u8 = 1;
/// Kind of a datagram that carries a frame.
const FRAME: u8 = 2;

impl SimulatedGateway {
    /// The gateway's wall clock.
    pub fn wall(&self, now: Micros) -> WallMs {
        self.wall_ms + now / 1_000
    }

    /// Passes an input to the state machine.
    pub fn handle_input(&mut self, now: Micros, input: Input, out: &mut Vec<SimulatedOutput>) {
        let (wall, mut outputs) = (self.wall(now), Vec::new());
        self.pending.handle(now, wall, input, &mut outputs);
        self.apply_outputs(outputs, out);
    }

    fn apply_outputs(&mut self, outputs: Vec<Output>, out: &mut Vec<SimulatedOutput>) {
        for output in outputs {
            match output {
                Output::Send { to, bytes } => match self.connections.get(&to).copied() {
                    Some(life) => {
                        let bytes = self.damage_frame(bytes);
                        out.push(SimulatedOutput::Send(to, self.datagram(FRAME, life, &bytes)));
                    }
                    // A frame that is sent while the connection is being opened is lost, the worst case of the peer
                    // layer.
                    None => out.push(SimulatedOutput::Send(to, self.datagram(HELLO, 0, &[]))),
                },
                other => out.push(SimulatedOutput::Local(other)),
            }
        }
    }

    /// A datagram: kind, lives of the sender and of the receiver, and the frame, if any.
    fn datagram(&self, kind: u8, receiver_life: u64, frame: &[u8]) -> Vec<u8> {
        let mut bytes = vec![kind];
        bytes.extend(self.life.to_le_bytes());
        bytes.extend(receiver_life.to_le_bytes());
        bytes.extend(frame);
        bytes
    }

    fn damage_frame(&mut self, mut bytes: Vec<u8>) -> Vec<u8> {
        let mut draw = || self.rng.random::<f64>();
        let FrameDamage { cut, changed, payload_changed } = self.damage;
        let (cut, changed, payload_changed) = (draw() < cut, draw() < changed, draw() < payload_changed);
        if payload_changed
            && let Ok(Message::Append(mut append)) = decode(&bytes, self.entry_bytes)
            && let Some(WireEntry::Full(payload, chain)) = append.entries.last().cloned()
        {
            let mut payload = payload.to_vec();
            let at = self.rng.random_range(0..payload.len());
            payload[at] ^= 1 << self.rng.random_range(0..8);
            append.entries.pop();
            append.entries.push(WireEntry::Full(&payload, chain));
            bytes = encode(&Message::Append(append));
        }
        if changed && !bytes.is_empty() {
            let at = self.rng.random_range(0..bytes.len());
            bytes[at] ^= 1 << self.rng.random_range(0..8);
        }
        if cut {
            bytes.truncate(self.rng.random_range(0..=bytes.len()));
        }
        bytes
    }

    fn on_connected(&mut self, now: Micros, of: MemberId, life: u64, out: &mut Vec<SimulatedOutput>) {
        if self.latest_lives.get(&of).is_some_and(|known| *known > life) {
            return;
        }
        self.latest_lives.insert(of, life);
        self.connections.insert(of, life);
        self.handle_input(now, Input::LinkUp { of, life }, out);
    }

    fn on_disconnected(&mut self, now: Micros, of: MemberId, out: &mut Vec<SimulatedOutput>) {
        if self.connections.remove(&of).is_some() {
            self.handle_input(now, Input::LinkDown { of }, out);
        }
    }
}

impl VirtualNode for SimulatedGateway {
    type Out = SimulatedOutput;

    fn handle(&mut self, now: Micros, from: MemberId, bytes: &[u8], out: &mut Vec<SimulatedOutput>) {
        let (Some(kind), Some(life), Some(receiver_life)) =
            (bytes.first(), read_u64(bytes, 1), read_u64(bytes, 9))
        else {
            return;
        };
        match *kind {
            HELLO => {
                self.on_connected(now, from, life, out);
                out.push(SimulatedOutput::Send(from, self.datagram(WELCOME, life, &[])));
            }
            WELCOME if receiver_life == self.life => self.on_connected(now, from, life, out),
            FRAME if receiver_life != self.life => {
                out.push(SimulatedOutput::Send(from, self.datagram(HELLO, 0, &[])))
            }
            FRAME if self.connections.get(&from) == Some(&life) => {
                let bytes = bytes[17..].to_vec();
                self.handle_input(now, Input::Frame { from, bytes }, out);
            }
            _ => {}
        }
    }

    fn wake(&mut self, now: Micros, out: &mut Vec<SimulatedOutput>) {
        let (wall, mut outputs) = (self.wall(now), Vec::new());
        self.pending.wake(now, wall, &mut outputs);
        self.apply_outputs(outputs, out);
    }

    fn next_due(&self) -> Micros {
        self.pending.next_due()
    }

    fn into_datagram(out: SimulatedOutput) -> Result<(MemberId, Vec<u8>), SimulatedOutput> {
        match out {
            SimulatedOutput::Send(to, bytes) => Ok((to, bytes)),
            output => Err(output),
        }
    }
}

fn read_u64(bytes: &[u8], at: usize) -> Option<u64> {
    bytes.get(at..at + 8)?.try_into().ok().map(u64::from_le_bytes)
}

/// Gateways of several sites and the network between them.
pub struct SimulatedSites {
    /// The network with all gateways.
    pub net: VirtualNetwork<SimulatedGateway>,
    sites: Vec<Site>,
    settings: PendingSettings,
    /// Damage to the frames of gateways that start from now on.
    pub damage: FrameDamage,
    /// The agreed permits. The simulated voters are reachable by all gateways that are not isolated and always agree;
    /// voter faults are not simulated here.
    pub permit_state: PermitState,
    /// Delay until others notice a crash or a start.
    pub detection: Micros,
    /// Fault injected into gateways that start from now on.
    #[doc(hidden)]
    pub injected_fault: Option<HolderFault>,
    /// Changes that others have not noticed yet, each with its time.
    changed: BTreeMap<MemberId, Micros>,
    /// Whether each gateway counts as live.
    live_view: Vec<bool>,
    /// Gateways that run but are considered dead.
    falsely_dead: BTreeSet<MemberId>,
    /// Gateways that run but are isolated from all others.
    isolated: BTreeSet<MemberId>,
    last_broadcast: Micros,
    seed: u64,
}

/// Interval at which the voters answer permit requests.
const PERMIT_POLL_INTERVAL: Micros = 10_000;
/// Interval at which the view is sent to all gateways.
const BROADCAST_INTERVAL: Micros = 1_000_000;
/// Wall-clock time at the start of the simulation.
const EPOCH_MS: WallMs = 1_800_000_000_000;

impl SimulatedSites {
    /// One gateway for each entry of `sites`, none of them started. All use `settings`, except for the site map and
    /// the life.
    pub fn new(sites: Vec<Site>, settings: PendingSettings, link: LinkFaults) -> Self {
        let (size, seed) = (sites.len() as MemberId, settings.seed);
        Self {
            net: VirtualNetwork::new(size, seed, link),
            live_view: vec![false; sites.len()],
            sites,
            settings,
            damage: FrameDamage::default(),
            permit_state: PermitState::default(),
            detection: 2_000_000,
            injected_fault: None,
            changed: BTreeMap::new(),
            falsely_dead: BTreeSet::new(),
            isolated: BTreeSet::new(),
            last_broadcast: 0,
            seed,
        }
    }

    /// Starts a gateway without any state of its earlier lives.
    pub fn start(&mut self, of: MemberId) {
        let Some(site_map) = SiteMap::new(self.sites.clone(), of) else { return };
        let life = self.net.now + u64::from(of);
        let settings = PendingSettings { site_map, life, ..self.settings.clone() };
        let now = self.net.clock(of);
        let mut gateway = SimulatedGateway {
            entry_bytes: settings.entry_bytes,
            pending: PendingEvents::new(settings, now),
            life,
            connections: BTreeMap::new(),
            latest_lives: BTreeMap::new(),
            wall_ms: EPOCH_MS + self.net.now / 1_000 - now / 1_000,
            damage: self.damage,
            rng: StdRng::seed_from_u64(self.seed ^ life),
        };
        self.injected_fault.into_iter().for_each(|fault| gateway.pending.inject_holder_fault(fault));
        self.net.insert(of, gateway);
        self.changed.insert(of, self.net.now);
    }

    /// Starts all gateways, which see each other as live at once.
    pub fn start_all(&mut self) {
        self.net.node_ids().for_each(|of| self.start(of));
        self.changed.clear();
        self.live_view.fill(true);
        self.broadcast_view();
    }

    /// Crashes a gateway.
    pub fn kill(&mut self, of: MemberId) {
        self.net.kill(of);
        self.changed.insert(of, self.net.now);
    }

    /// Crashes all gateways of a site.
    pub fn kill_site(&mut self, site: Site) {
        let of = self.net.node_ids().filter(|of| self.sites[usize::from(*of)] == site);
        of.collect::<Vec<_>>().into_iter().for_each(|of| self.kill(of));
    }

    /// Sets whether others consider a running gateway dead.
    pub fn set_falsely_dead(&mut self, of: MemberId, dead: bool) {
        if dead {
            self.falsely_dead.insert(of);
        } else {
            self.falsely_dead.remove(&of);
        }
        self.changed.insert(of, self.net.now);
    }

    /// Sets whether a site is isolated from all others and from the voters.
    pub fn set_isolated(&mut self, site: Site, isolated: bool) {
        let of = self.net.node_ids().filter(|of| self.sites[usize::from(*of)] == site);
        let of: Vec<MemberId> = of.collect();
        self.net.set_isolated(&of, isolated);
        for of in of {
            self.changed.insert(of, self.net.now);
            if isolated {
                self.isolated.insert(of);
            } else {
                self.isolated.remove(&of);
            }
        }
    }

    /// Breaks the connection between two gateways; frames in flight may arrive late or not at all.
    pub fn reconnect(&mut self, one: MemberId, other: MemberId) {
        self.net.with_node(one, |gateway, now, out| gateway.on_disconnected(now, other, out));
        self.net.with_node(other, |gateway, now, out| gateway.on_disconnected(now, one, out));
    }

    /// Reports a step from a loop of a gateway.
    pub fn step(&mut self, of: MemberId, step: Step) {
        self.net.with_node(of, |gateway, now, out| gateway.handle_input(now, Input::Step(step), out));
    }

    /// Time on a gateway's wall clock, in milliseconds.
    pub fn wall(&self, of: MemberId) -> WallMs {
        let now = self.net.clock(of);
        self.net.node(of).map_or(0, |gateway| gateway.wall(now))
    }

    /// Number of running gateways that store the accepting entry of this event, regardless of any gateway's view.
    pub fn holders(&self, source: Source, key: Key) -> usize {
        let holds =
            |of: &MemberId| self.net.node(*of).is_some_and(|gateway| gateway.pending.holds(source, key));
        self.net.node_ids().filter(holds).count()
    }

    /// Observations of sites and gateways that all gateways share.
    fn observations(&self) -> Observations {
        let seen = |used: bool| Observation {
            zone: 0,
            incarnation: 0,
            in_use_for: used.then_some(0),
            holds_last_copy: false,
            running_version: None,
        };
        let of = |site: Site| self.net.node_ids().filter(move |of| self.sites[usize::from(*of)] == site);
        let lives = |of: MemberId| self.live_view[usize::from(of)];
        let mut observations = Observations::new();
        for site in self.sites.iter().copied().collect::<BTreeSet<_>>() {
            let any = of(site).any(lives);
            observations.insert(Subject::Site(site), seen(any));
            observations.extend(of(site).map(|of| (Subject::Gateway(of), seen(!any || lives(of)))));
        }
        observations
    }

    fn send_input(&mut self, of: MemberId, input: Input) {
        if self.net.is_up(of) {
            self.net.with_node(of, |gateway, now, out| gateway.handle_input(now, input, out));
        }
    }

    /// Sends the current view and the agreed permits to all running gateways.
    fn broadcast_view(&mut self) {
        self.last_broadcast = self.net.now;
        let observations = self.observations();
        for of in self.net.node_ids() {
            if self.isolated.contains(&of) {
                // An isolated gateway sees as live only those that are isolated too.
                let live = self.net.node_ids().map(|other| self.isolated.contains(&other)).collect();
                self.send_input(of, Input::LivePeers(live));
            } else {
                self.send_input(of, Input::LivePeers(self.live_view.clone()));
                self.send_input(
                    of,
                    Input::Observed {
                        observations: observations.clone(),
                        permit_state: self.permit_state.clone(),
                    },
                );
            }
        }
    }

    /// Answers permit requests in place of the voters.
    fn answer_permit_requests(&mut self) {
        let is_request = |(_, _, output): &mut (Micros, MemberId, SimulatedOutput)| {
            matches!(output, SimulatedOutput::Local(Output::RequestPermit(_)))
        };
        let requests: Vec<_> = self.net.outputs.extract_if(.., is_request).collect();
        for (_, of, output) in requests {
            let SimulatedOutput::Local(Output::RequestPermit(request)) = output else { continue };
            if self.isolated.contains(&of) {
                continue;
            }
            match request {
                PermitRequest::Reclaim(subject) => {
                    let permit = self.permit_state.permit(subject).map_or(0, |permit| permit.number);
                    self.send_input(of, Input::ReclaimReply { subject, permit });
                }
                PermitRequest::Return(subject, number) => {
                    self.permit_state
                        .permits
                        .retain(|permit| (permit.subject, permit.number) != (subject, number));
                    self.send_input(of, Input::PermitReturned { subject });
                    self.broadcast_view();
                }
                PermitRequest::Acquire(subject) if self.permit_state.permit(subject).is_none() => {
                    let number = self.permit_state.last_number + 1;
                    self.permit_state.last_number = number;
                    self.permit_state.permits.push(Permit {
                        subject,
                        number,
                        incarnation: 0,
                        returned: false,
                    });
                    self.broadcast_view();
                }
                _ => {}
            }
        }
    }

    /// Runs until this time. Crashes and starts are noticed after [`SimulatedSites::detection`].
    pub fn run(&mut self, until: Micros) {
        while self.net.now < until {
            let next = (self.net.now + PERMIT_POLL_INTERVAL).min(until);
            self.net.run_until(next);
            self.answer_permit_requests();
            let due = self.changed.extract_if(.., |_, at| *at + self.detection <= next);
            let due: Vec<MemberId> = due.map(|(of, _)| of).collect();
            for of in &due {
                let hidden = self.falsely_dead.contains(of) || self.isolated.contains(of);
                self.live_view[usize::from(*of)] = self.net.node(*of).is_some() && !hidden;
            }
            if !due.is_empty() || next >= self.last_broadcast + BROADCAST_INTERVAL {
                self.broadcast_view();
            }
        }
    }
}
