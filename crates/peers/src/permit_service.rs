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
    PermitState, PermitStatus, Stored, Subject, done, mark,
};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use tracing::info;

/// Operators' requests remembered; the oldest go.
const MAX_PENDING_REQUESTS: usize = 64;
/// What we have in hand for drained workers is published so often.
const DRAIN_REPORT_INTERVAL: PublishInterval = PublishInterval { min_us: 1_000_000, per_member_us: 100_000 };
/// Whoever starts uses no worker until it has heard what is drained, but for no longer than this: with nobody there to
/// tell, it serves.
const LEARNING_TIMEOUT_US: Micros = 500_000;
/// It asks this often what is drained.
const LEARNING_RETRY_US: Micros = 50_000;
/// A member that has been gone for so long has nothing in hand any more: no call lasts so long.
const GONE_MEMBER_CLEAR_US: Micros = 60_000_000;

/// Workers wait for what is drained.
#[derive(Clone, Copy)]
struct Learning {
    /// At most until then.
    deadline: Micros,
    /// When it is asked for again.
    next_request: Micros,
}

/// A request of an operator.
struct PendingRequest {
    from: SocketAddr,
    operator_tag: u32,
    /// Of our question to the leader.
    node_tag: u32,
    answer: Option<PermitResult>,
}

/// See the module's page.
pub struct PermitService {
    node: PermitNode,
    workers: Workers,
    drained: BTreeSet<u32>,
    pending: VecDeque<PendingRequest>,
    next_drain_report: Micros,
    learning: Option<Learning>,
    started: Micros,
    /// Zones of the schedulers, by number.
    peer_zones: Vec<u8>,
    sites: Option<SitesToWatch>,
    /// The mark of the version that we run, and when it is told next.
    version_mark: u32,
    next_version_report: Micros,
    /// The latest that is recorded.
    last_reported: Option<(Epoch, u32)>,
    /// Workers no longer wait.
    learning_ended: bool,
    outputs: Vec<Output>,
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
        let Some(settings) = config.permit_settings(fleet, crc32fast::hash(&life)) else { return Ok(None) };
        let node = PermitNode::new(settings, now)?;
        let learning = Learning { deadline: now + LEARNING_TIMEOUT_US, next_request: now };
        let learning = (fleet.size > 1).then_some(learning);
        Ok(Some(Self {
            node,
            workers: Workers::default(),
            drained: BTreeSet::new(),
            pending: VecDeque::new(),
            next_drain_report: now,
            learning,
            started: now,
            last_reported: None,
            version_mark: mark(&config.version),
            peer_zones: config.zones.clone(),
            sites: config.sites.clone(),
            next_version_report: now,
            learning_ended: false,
            outputs: Vec::new(),
        }))
    }

    /// See [`PermitNode::plant`].
    pub fn inject_fault(&mut self, fault: Fault, now: Micros) {
        self.node.plant(fault, now);
    }

    /// A new configuration.
    pub fn update_config(&mut self, bounds: Bounds, zones: &[u8]) {
        self.node.set_bounds(bounds);
        self.peer_zones = zones.to_vec();
    }

    pub fn next_due(&self) -> Micros {
        let tell = if self.drained.is_empty() { Micros::MAX } else { self.next_drain_report };
        let learns = self.learning.map_or(Micros::MAX, |learning| learning.next_request);
        self.node.next_due().min(tell).min(learns).min(self.next_version_report)
    }

    /// What the view shows of sites and their gateways.
    pub fn site_observations(&self, membership: &Membership, now: Micros) -> Observations {
        self.sites.iter().flat_map(|to_watch| to_watch.observe(membership, now)).collect()
    }

    fn with_node(
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
            zones: &self.peer_zones,
            workers: &workers,
            wall_ms: since_2026_ms(),
        };
        act(&mut self.node, &observer, &mut self.outputs);
    }

    /// A datagram of another member.
    pub fn handle(&mut self, membership: &Membership, now: Micros, from: MemberId, bytes: &[u8]) {
        self.with_node(membership, |node, observer, out| {
            node.handle(now, from, bytes, observer, out);
        });
    }

    /// Does what is due; tells what we have in hand for drained workers.
    pub fn wake(&mut self, membership: &mut Membership, now: Micros, in_hand: impl FnOnce(&[&str]) -> usize) {
        if self.node.next_due() <= now {
            self.with_node(membership, |node, observer, out| node.wake(now, observer, out));
        }
        if let Some(Learning { deadline: until, next_request: ask_again_at }) = self.learning
            && now >= ask_again_at
        {
            if now < until && !self.node.has_heard() {
                self.learning = Some(Learning { deadline: until, next_request: now + LEARNING_RETRY_US });
                self.node.recall(&mut self.outputs);
            } else {
                self.learning = None;
                self.learning_ended = true;
            }
        }
        if now >= self.next_version_report {
            let interval = COUNTERS_INTERVAL.for_members(membership.members().len());
            self.next_version_report = now + interval;
            membership.publish_fact(
                now,
                VERSION_KEY,
                &encode_counters(&[self.version_mark.into()]),
                interval * 4,
            );
        }
        if !self.drained.is_empty() && now >= self.next_drain_report {
            let interval = DRAIN_REPORT_INTERVAL.for_members(membership.members().len());
            self.next_drain_report = now + interval;
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
    pub fn handle_operator_request(
        &mut self,
        membership: &Membership,
        now: Micros,
        from: SocketAddr,
        request: OperatorRequest,
        io: &mut Io,
        socket: usize,
    ) {
        let mut reply = |told| {
            io.send_to(socket, from, &OperatorResponse { tag: request.tag, told }.write());
        };
        let permit_request = match request.want {
            OperatorCommand::Halt => {
                let halt = self.node.stop_all(&mut self.outputs);
                info!(count = halt.count, %from, "halted by an operator");
                return reply(OperatorReply::Halted(halt));
            }
            OperatorCommand::Status => return reply(OperatorReply::Status(self.status(membership, now))),
            OperatorCommand::Request(permit_request) => permit_request,
        };
        let same = |pending_request: &&PendingRequest| {
            pending_request.from == from && pending_request.operator_tag == request.tag
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
        self.with_node(membership, |node, observer, out| {
            our_tag = node.ask(now, permit_request, observer, out)
        });
        info!(%from, request = ?permit_request, "asked by an operator");
        self.pending.push_back(PendingRequest {
            from,
            operator_tag: request.tag,
            node_tag: our_tag,
            answer: None,
        });
    }

    /// Members that may still have calls in hand for drained workers: who has not said since it knew of the latest
    /// that it has none, and has not been gone for so long that none can last.
    fn members_not_clear(&self, membership: &Membership, now: Micros) -> usize {
        let at = self.node.known().map_or((0, 0), |known| (known.epoch.ms, u64::from(known.version)));
        let unclear = |(of, entry): (usize, &basaltward_membership::Member)| {
            let told = membership
                .fact(now, of as MemberId, DRAINS_KEY)
                .and_then(basaltward_membership::decode_counters);
            let clear = told.is_some_and(|told| matches!(told[..], [ms, v, 0] if (ms, v) >= at));
            let ended = match entry.state {
                MemberState::Stopped => true,
                MemberState::Gone => now >= entry.state_since + GONE_MEMBER_CLEAR_US,
                // Never there, as far as we can have heard.
                MemberState::Unknown => now >= self.started + GONE_MEMBER_CLEAR_US,
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
            MembershipObserver { membership, zones: &self.peer_zones, workers: &workers, wall_ms: 0 };
        let all = self.node.out(now, &observer);
        let of_workers = all.iter().filter(|of| matches!(of, Subject::Worker(_))).count();
        let known = self.node.known();
        PermitStatus {
            own: membership.own(),
            leader: self.node.leader(),
            at: known.map(|known| known.at()),
            halt: self.node.halt(),
            out: ((all.len() - of_workers) as u16, of_workers as u16),
            unclear: if self.drained.is_empty() { 0 } else { self.members_not_clear(membership, now) as u16 },
            plan: known.and_then(|known| known.value.plan).map(|plan| {
                let done = done(&plan, &observer.observations(now));
                (plan, done as u16)
            }),
            permits: known.map(|known| known.value.permits.clone()).unwrap_or_default(),
        }
    }

    /// The latest that is agreed, as far as we know.
    pub fn permit_state(&self) -> Option<&Stored<PermitState>> {
        self.node.known()
    }

    /// A request of this program itself.
    pub fn submit(&mut self, membership: &Membership, now: Micros, permit_request: PermitRequest) -> u32 {
        let mut tag = 0;
        self.with_node(membership, |node, observer, out| tag = node.ask(now, permit_request, observer, out));
        tag
    }

    /// Workers that are told.
    pub fn update_workers(&mut self, now: Micros, whole: bool, workers: &[Worker]) {
        self.workers.update(now, whole, workers, &self.drained);
    }

    /// See [`PeerTransport::holds`](crate::PeerTransport::holds).
    pub fn is_blocked(&self, worker: &str) -> bool {
        self.learning.is_some() || self.drained.contains(&mark(worker))
    }

    /// See [`PeerTransport::knows`](crate::PeerTransport::knows).
    pub fn is_known(&self, worker: &str) -> bool {
        self.workers.get(mark(worker)).is_some()
    }

    /// Sends what is to be sent, answers operators, and tells what is new.
    pub fn process_outputs(
        &mut self,
        io: &mut Io,
        now: Micros,
        (socket, peers): (usize, &[SocketAddr]),
        events: &mut Vec<Event>,
    ) {
        let mut changed = false;
        for output in std::mem::take(&mut self.outputs) {
            match output {
                Output::Send { to, bytes } => {
                    debug_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
                    if let Some(to) = peers.get(usize::from(to)) {
                        io.send_to(socket, *to, &bytes);
                    }
                }
                Output::Changed => changed = true,
                Output::Answered { tag, answer } => {
                    match self.pending.iter_mut().find(|pending_request| pending_request.node_tag == tag) {
                        Some(pending_request) if pending_request.answer.is_none() => {
                            pending_request.answer = Some(answer);
                            let told = OperatorReply::Answer(answer);
                            io.send_to(
                                socket,
                                pending_request.from,
                                &OperatorResponse { tag: pending_request.operator_tag, told }.write(),
                            );
                        }
                        Some(_) => {}
                        None => events.push(Event::Answered { tag, answer }),
                    }
                }
            }
        }
        let released = std::mem::take(&mut self.learning_ended);
        let held = if changed || released { self.apply_permit_state(now, events) } else { Vec::new() };
        let held = if released { self.workers.names() } else { held };
        if !held.is_empty() {
            events.push(Event::DrainsChanged(held));
        }
    }

    /// Takes over what is agreed; gives the workers whose drain began or ended by it.
    fn apply_permit_state(&mut self, now: Micros, events: &mut Vec<Event>) -> Vec<String> {
        let Halt { on, count } = self.node.halt();
        let Some(known) = self.node.known() else { return Vec::new() };
        if self.last_reported < Some(known.at()) {
            self.last_reported = Some(known.at());
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
        let drained: BTreeSet<u32> = self.workers.marks().filter(|tag| known.value.drains(*tag)).collect();
        let before = std::mem::replace(&mut self.drained, drained);
        // Whoever asks hears soon how much is in hand.
        self.next_drain_report = now;
        let other = before.symmetric_difference(&self.drained);
        other.filter_map(|tag| Some(self.workers.get(*tag)?.name.clone())).collect()
    }

    /// No leader can be reached, as far as whoever asks need know.
    pub fn reply_no_leader(io: &mut Io, socket: usize, from: SocketAddr, tag: u32) {
        let told = OperatorReply::Answer(Err(Denied::NoLeader));
        io.send_to(socket, from, &OperatorResponse { tag, told }.write());
    }
}
