//! What the fleet agrees on, on the loop: the permits node of this process, the workers that are drained, and what operators
//! ask for. Input: datagrams, workers as they are told, requests; output: datagrams and events. Bound: 64 requests of operators
//! are remembered.

use crate::clock::{COUNTERS_INTERVAL, PublishInterval, since_2026_ms};
use crate::config::{PeerConfig, SitesToWatch};
use crate::error::PeerError;
use crate::event::Event;
use crate::workers::{Worker, Workers};
use basaltward_membership::{
    DRAINS_KEY, MAX_DATAGRAM_BYTES, MemberId, MemberState, Membership, MembershipSettings, VERSION_KEY,
    encode_counters,
};
use basaltward_net::{Io, Micros};
use basaltward_permits::{
    Bounds, Denied, Epoch, Fault, FleetObserver, Halt, MembershipObserver, Observations, OperatorCommand,
    OperatorReply, OperatorRequest, OperatorResponse, Output, PermitNode, PermitRequest, PermitResult,
    PermitState, PermitStatus, Stored, Subject, name_hash, on_target_version,
};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use tracing::info;

/// Operators' requests remembered; the oldest go.
const MAX_PENDING_REQUESTS: usize = 64;
/// What we have in hand for drained workers is published so often.
const IN_HAND_INTERVAL: PublishInterval = PublishInterval { least_us: 1_000_000, each_us: 100_000 };
/// Whoever starts uses no worker until it has heard what is drained, but for no longer than this: with nobody there to
/// tell, it serves.
const LEARN_US: Micros = 500_000;
/// It asks this often what is drained.
const LEARN_AGAIN_US: Micros = 50_000;
/// A member that has been gone for so long has nothing in hand any more: no call lasts so long.
const CLEAR_US: Micros = 60_000_000;

/// Workers wait for what is drained.
#[derive(Clone, Copy)]
struct Learning {
    /// At most until then.
    until: Micros,
    /// When it is asked for again.
    ask_again_at: Micros,
}

/// A request of an operator.
struct PendingRequest {
    from: SocketAddr,
    their_tag: u32,
    /// Of our question to the leader.
    our_tag: u32,
    answer: Option<PermitResult>,
}

/// See the module's page.
pub struct PermitService {
    node: PermitNode,
    workers: Workers,
    drained: BTreeSet<u32>,
    pending: VecDeque<PendingRequest>,
    tell: Micros,
    learning: Option<Learning>,
    started: Micros,
    /// Zones of the schedulers, by number.
    peers_zones: Vec<u8>,
    sites: Option<SitesToWatch>,
    /// The mark of the version that we run, and when it is told next.
    runs: u32,
    tell_runs: Micros,
    /// The latest that is recorded.
    noted: Option<(Epoch, u32)>,
    /// Workers no longer wait.
    released: bool,
    out: Vec<Output>,
}

impl PermitService {
    /// A member's part in a fleet of this view, where the configuration asks for one.
    pub fn new(
        fleet: &MembershipSettings,
        config: &PeerConfig,
        now: Micros,
    ) -> Result<Option<Self>, PeerError> {
        let life =
            [fleet.start, fleet.seed, u64::from(std::process::id()), now].map(u64::to_le_bytes).concat();
        let Some(settings) = config.permits(fleet, crc32fast::hash(&life)) else { return Ok(None) };
        let node = PermitNode::new(settings, now)?;
        let learning = Learning { until: now + LEARN_US, ask_again_at: now };
        let learning = (fleet.size > 1).then_some(learning);
        Ok(Some(Self {
            node,
            workers: Workers::default(),
            drained: BTreeSet::new(),
            pending: VecDeque::new(),
            tell: now,
            learning,
            started: now,
            noted: None,
            runs: name_hash(&config.version),
            peers_zones: config.zones.clone(),
            sites: config.sites.clone(),
            tell_runs: now,
            released: false,
            out: Vec::new(),
        }))
    }

    /// See [`PermitNode::inject`].
    pub fn plant(&mut self, fault: Fault, now: Micros) {
        self.node.inject(fault, now);
    }

    /// A new configuration.
    pub fn reread(&mut self, bounds: Bounds, zones: &[u8]) {
        self.node.set_bounds(bounds);
        self.peers_zones = zones.to_vec();
    }

    pub fn next_due(&self) -> Micros {
        let tell = if self.drained.is_empty() { Micros::MAX } else { self.tell };
        let learns = self.learning.map_or(Micros::MAX, |learning| learning.ask_again_at);
        self.node.next_due().min(tell).min(learns).min(self.tell_runs)
    }

    /// What the view shows of sites and their gateways.
    pub fn sites(&self, membership: &Membership, now: Micros) -> Observations {
        self.sites.iter().flat_map(|to_watch| to_watch.observe(membership, now)).collect()
    }

    fn act(
        &mut self,
        membership: &Membership,
        act: impl FnOnce(&mut PermitNode, &MembershipObserver, &mut Vec<Output>),
    ) {
        let (known, to_watch) = (&self.workers, &self.sites);
        let workers = move |now| {
            let mut observations = known.observations(now);
            observations.extend(to_watch.iter().flat_map(|to_watch| to_watch.observe(membership, now)));
            observations
        };
        let observer = MembershipObserver {
            membership,
            zones: &self.peers_zones,
            workers: &workers,
            wall_ms: since_2026_ms(),
        };
        act(&mut self.node, &observer, &mut self.out);
    }

    /// A datagram of another member.
    pub fn handle(&mut self, membership: &Membership, now: Micros, from: MemberId, bytes: &[u8]) {
        self.act(membership, |node, observer, out| {
            node.handle(now, from, bytes, observer, out);
        });
    }

    /// Does what is due; tells what we have in hand for drained workers.
    pub fn wake(&mut self, membership: &mut Membership, now: Micros, in_hand: impl FnOnce(&[&str]) -> usize) {
        if self.node.next_due() <= now {
            self.act(membership, |node, observer, out| node.wake(now, observer, out));
        }
        if let Some(Learning { until, ask_again_at }) = self.learning
            && now >= ask_again_at
        {
            if now < until && !self.node.has_received_state() {
                self.learning = Some(Learning { until, ask_again_at: now + LEARN_AGAIN_US });
                self.node.query_voters(&mut self.out);
            } else {
                self.learning = None;
                self.released = true;
            }
        }
        if now >= self.tell_runs {
            let interval = COUNTERS_INTERVAL.among(membership.members().len());
            self.tell_runs = now + interval;
            membership.publish_fact(now, VERSION_KEY, &encode_counters(&[self.runs.into()]), interval * 4);
        }
        if !self.drained.is_empty() && now >= self.tell {
            let interval = IN_HAND_INTERVAL.among(membership.members().len());
            self.tell = now + interval;
            let names = self.drained.iter().filter_map(|tag| Some(self.workers.get(*tag)?.name.as_str()));
            let held = in_hand(&names.collect::<Vec<_>>());
            let at = self.node.known().map_or((0, 0), |known| (known.epoch.ms, known.version));
            membership.publish_fact(
                now,
                DRAINS_KEY,
                &encode_counters(&[at.0, at.1.into(), held as u64]),
                interval * 4,
            );
        }
    }

    /// A request of an operator.
    pub fn asked(
        &mut self,
        membership: &Membership,
        now: Micros,
        from: SocketAddr,
        request: OperatorRequest,
        io: &mut Io,
        socket: usize,
    ) {
        let mut reply = |told| {
            io.send_to(socket, from, &OperatorResponse { tag: request.tag, reply: told }.write());
        };
        let permit_request = match request.command {
            OperatorCommand::Halt => {
                let halt = self.node.halt_all(&mut self.out);
                info!(count = halt.count, %from, "halted by an operator");
                return reply(OperatorReply::Halted(halt));
            }
            OperatorCommand::Status => return reply(OperatorReply::Status(self.status(membership, now))),
            OperatorCommand::Request(permit_request) => permit_request,
        };
        let same = |pending_request: &&PendingRequest| {
            pending_request.from == from && pending_request.their_tag == request.tag
        };
        if let Some(pending_request) = self.pending.iter().find(same) {
            if let Some(answer) = pending_request.answer {
                reply(OperatorReply::Answer(answer));
            }
            return;
        }
        if self.pending.len() == MAX_PENDING_REQUESTS {
            self.pending.pop_front();
        }
        let mut our_tag = 0;
        self.act(membership, |node, observer, out| our_tag = node.submit(now, permit_request, observer, out));
        info!(%from, request = ?permit_request, "asked by an operator");
        self.pending.push_back(PendingRequest { from, their_tag: request.tag, our_tag, answer: None });
    }

    /// Members that may still have calls in hand for drained workers: who has not said since it knew of the latest
    /// that it has none, and has not been gone for so long that none can last.
    fn unclear(&self, membership: &Membership, now: Micros) -> usize {
        let at = self.node.known().map_or((0, 0), |known| (known.epoch.ms, u64::from(known.version)));
        let unclear = |(of, entry): (usize, &basaltward_membership::Member)| {
            let told = membership
                .fact(now, of as MemberId, DRAINS_KEY)
                .and_then(basaltward_membership::decode_counters);
            let clear = told.is_some_and(|told| matches!(told[..], [ms, v, 0] if (ms, v) >= at));
            let ended = match entry.state {
                MemberState::Stopped => true,
                MemberState::Gone => now >= entry.state_since + CLEAR_US,
                // Never there, as far as we can have heard.
                MemberState::Unknown => now >= self.started + CLEAR_US,
                _ => false,
            };
            !clear && !ended
        };
        membership.members().iter().enumerate().filter(|one| unclear(*one)).count()
    }

    fn status(&self, membership: &Membership, now: Micros) -> PermitStatus {
        let known = &self.workers;
        let workers = move |now| known.observations(now);
        let observer =
            MembershipObserver { membership, zones: &self.peers_zones, workers: &workers, wall_ms: 0 };
        let all = self.node.out_of_service(now, &observer);
        let of_workers = all.iter().filter(|of| matches!(of, Subject::Worker(_))).count();
        let known = self.node.known();
        PermitStatus {
            own: membership.own(),
            leader: self.node.leader(),
            at: known.map(|known| known.position()),
            halt: self.node.halt(),
            out: ((all.len() - of_workers) as u16, of_workers as u16),
            unclear: if self.drained.is_empty() { 0 } else { self.unclear(membership, now) as u16 },
            plan: known.and_then(|known| known.value.plan).map(|plan| {
                let done = on_target_version(&plan, &observer.observations(now));
                (plan, done as u16)
            }),
            permits: known.map(|known| known.value.permits.clone()).unwrap_or_default(),
        }
    }

    /// The latest that is agreed, as far as we know.
    pub fn known(&self) -> Option<&Stored<PermitState>> {
        self.node.known()
    }

    /// A request of this program itself.
    pub fn submit(&mut self, membership: &Membership, now: Micros, permit_request: PermitRequest) -> u32 {
        let mut tag = 0;
        self.act(membership, |node, observer, out| tag = node.submit(now, permit_request, observer, out));
        tag
    }

    /// Workers that are told.
    pub fn told(&mut self, now: Micros, whole: bool, workers: &[Worker]) {
        self.workers.told(now, whole, workers, &self.drained);
    }

    /// See [`PeerTransport::holds`](crate::PeerTransport::holds).
    pub fn holds(&self, worker: &str) -> bool {
        self.learning.is_some() || self.drained.contains(&name_hash(worker))
    }

    /// See [`PeerTransport::knows`](crate::PeerTransport::knows).
    pub fn knows(&self, worker: &str) -> bool {
        self.workers.get(name_hash(worker)).is_some()
    }

    /// Sends what is to be sent, answers operators, and tells what is new.
    pub fn carry_out(
        &mut self,
        io: &mut Io,
        now: Micros,
        (socket, peers): (usize, &[SocketAddr]),
        events: &mut Vec<Event>,
    ) {
        let mut changed = false;
        for output in std::mem::take(&mut self.out) {
            match output {
                Output::Send { to, bytes } => {
                    debug_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
                    if let Some(to) = peers.get(usize::from(to)) {
                        io.send_to(socket, *to, &bytes);
                    }
                }
                Output::Changed => changed = true,
                Output::Answered { tag, answer } => {
                    match self.pending.iter_mut().find(|pending_request| pending_request.our_tag == tag) {
                        Some(pending_request) if pending_request.answer.is_none() => {
                            pending_request.answer = Some(answer);
                            let told = OperatorReply::Answer(answer);
                            io.send_to(
                                socket,
                                pending_request.from,
                                &OperatorResponse { tag: pending_request.their_tag, reply: told }.write(),
                            );
                        }
                        Some(_) => {}
                        None => events.push(Event::Answered { tag, answer }),
                    }
                }
            }
        }
        let released = std::mem::take(&mut self.released);
        let held = if changed || released { self.changed(now, events) } else { Vec::new() };
        let held = if released { self.workers.names() } else { held };
        if !held.is_empty() {
            events.push(Event::Held(held));
        }
    }

    /// Takes over what is agreed; gives the workers whose drain began or ended by it.
    fn changed(&mut self, now: Micros, events: &mut Vec<Event>) -> Vec<String> {
        let Halt { on, count } = self.node.halt();
        let Some(known) = self.node.known() else { return Vec::new() };
        if self.noted < Some(known.position()) {
            self.noted = Some(known.position());
            events.push(Event::Agreed(known.clone()));
        }
        info!(
            by = known.epoch.by,
            version = known.version,
            permits = known.value.permits.len(),
            on,
            count,
            "agreed"
        );
        let drained: BTreeSet<u32> = self.workers.tags().filter(|tag| known.value.is_drained(*tag)).collect();
        let before = std::mem::replace(&mut self.drained, drained);
        // Whoever asks hears soon how much is in hand.
        self.tell = now;
        let other = before.symmetric_difference(&self.drained);
        other.filter_map(|tag| Some(self.workers.get(*tag)?.name.clone())).collect()
    }

    /// No leader can be reached, as far as whoever asks need know.
    pub fn none(io: &mut Io, socket: usize, from: SocketAddr, tag: u32) {
        let told = OperatorReply::Answer(Err(Denied::NoLeader));
        io.send_to(socket, from, &OperatorResponse { tag, reply: told }.write());
    }
}
