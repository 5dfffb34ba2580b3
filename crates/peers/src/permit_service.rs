//! Runs the permits node of this process on its event loop, tracks which workers are drained, and answers operators.
//! Input: datagrams, updates of the list of workers, requests; output: datagrams and events. Bound: the last 64
//! requests of operators are retained.

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

/// The largest number of operator requests retained, to answer repeated ones; the oldest are dropped.
const MAX_PENDING_REQUESTS: usize = 64;
/// Interval at which the number of calls in flight on drained workers is published.
const DRAIN_REPORT_INTERVAL: PublishInterval = PublishInterval { min_us: 1_000_000, per_member_us: 100_000 };
/// A process that starts uses no worker until it has learned which ones are drained, but for no longer than this:
/// if no member has answered by then, it starts to serve.
const LEARNING_TIMEOUT_US: Micros = 500_000;
/// Interval between requests for the permit state while learning.
const LEARNING_RETRY_US: Micros = 50_000;
/// A member that has been gone for this long has no calls in flight: no call lasts longer.
const GONE_MEMBER_CLEAR_US: Micros = 60_000_000;

/// The phase after the start in which workers are blocked until it is known which ones are drained.
#[derive(Clone, Copy)]
struct Learning {
    /// When the phase ends at the latest.
    deadline: Micros,
    /// When the permit state is requested next.
    next_request: Micros,
}

/// A permit request of an operator.
struct PendingRequest {
    from: SocketAddr,
    /// Number of the request at the operator.
    operator_tag: u32,
    /// Number of the request at the local node.
    node_tag: u32,
    answer: Option<PermitResult>,
}

/// The permits node of this process with the workers that it observes.
pub struct PermitService {
    node: PermitNode,
    workers: Workers,
    /// Name hashes of the drained workers in the list.
    drained: BTreeSet<u32>,
    /// The latest requests of operators, answered ones included.
    pending: VecDeque<PendingRequest>,
    /// When the calls in flight on drained workers are published next.
    next_drain_report: Micros,
    learning: Option<Learning>,
    started: Micros,
    /// Zones of the schedulers, by number.
    peer_zones: Vec<u8>,
    sites: Option<SitesToWatch>,
    /// Hash of the name of the version of this process.
    version_hash: u32,
    /// When the version is published next.
    next_version_report: Micros,
    /// Epoch and version of the latest permit state reported as an event.
    last_reported: Option<(Epoch, u32)>,
    /// The learning phase has ended, which is not reported as an event yet.
    learning_ended: bool,
    outputs: Vec<Output>,
}

impl PermitService {
    /// The permits service of a member with these membership settings, or `None` if the configuration has no bounds.
    ///
    /// # Errors
    /// If the settings of the permits are invalid.
    pub fn new(
        membership: &MembershipSettings,
        config: &PeerConfig,
        now: Micros,
    ) -> Result<Option<Self>, PeerError> {
        let run_id = [membership.start, membership.seed, u64::from(std::process::id()), now];
        let run_id = run_id.map(u64::to_le_bytes).concat();
        let Some(settings) = config.permit_settings(membership, crc32fast::hash(&run_id)) else {
            return Ok(None);
        };
        let node = PermitNode::new(settings, now)?;
        let learning = Learning { deadline: now + LEARNING_TIMEOUT_US, next_request: now };
        let learning = (membership.size > 1).then_some(learning);
        Ok(Some(Self {
            node,
            workers: Workers::default(),
            drained: BTreeSet::new(),
            pending: VecDeque::new(),
            next_drain_report: now,
            learning,
            started: now,
            last_reported: None,
            version_hash: name_hash(&config.version),
            peer_zones: config.zones.clone(),
            sites: config.sites.clone(),
            next_version_report: now,
            learning_ended: false,
            outputs: Vec::new(),
        }))
    }

    /// Injects a fault into the permits node.
    pub fn inject_fault(&mut self, fault: Fault, now: Micros) {
        self.node.inject(fault, now);
    }

    /// Applies new bounds and zones.
    pub fn update_config(&mut self, bounds: Bounds, zones: &[u8]) {
        self.node.set_bounds(bounds);
        self.peer_zones = zones.to_vec();
    }

    /// When [`PermitService::wake`] is due next.
    pub fn next_due(&self) -> Micros {
        let drain_report = if self.drained.is_empty() { Micros::MAX } else { self.next_drain_report };
        let learning = self.learning.map_or(Micros::MAX, |learning| learning.next_request);
        self.node.next_due().min(drain_report).min(learning).min(self.next_version_report)
    }

    /// Observations of the sites and their gateways in the membership.
    pub fn site_observations(&self, membership: &Membership, now: Micros) -> Observations {
        self.sites.iter().flat_map(|sites| sites.observe(membership, now)).collect()
    }

    /// Calls the permits node with an observer of the membership, the workers and the sites.
    fn with_node(
        &mut self,
        membership: &Membership,
        call: impl FnOnce(&mut PermitNode, &MembershipObserver, &mut Vec<Output>),
    ) {
        let (workers, sites) = (&self.workers, &self.sites);
        let workers = move |now| {
            let mut observations = workers.observations(now);
            observations.extend(sites.iter().flat_map(|sites| sites.observe(membership, now)));
            observations
        };
        let observer = MembershipObserver {
            membership,
            zones: &self.peer_zones,
            workers: &workers,
            wall_ms: since_2026_ms(),
        };
        call(&mut self.node, &observer, &mut self.outputs);
    }

    /// Handles a datagram of another member.
    pub fn handle(&mut self, membership: &Membership, now: Micros, from: MemberId, bytes: &[u8]) {
        self.with_node(membership, |node, observer, out| {
            node.handle(now, from, bytes, observer, out);
        });
    }

    /// Runs the timers that are due, among them the publishing of the calls in flight on drained workers, which
    /// `in_flight` counts by worker names.
    pub fn wake(
        &mut self,
        membership: &mut Membership,
        now: Micros,
        in_flight: impl FnOnce(&[&str]) -> usize,
    ) {
        if self.node.next_due() <= now {
            self.with_node(membership, |node, observer, out| node.wake(now, observer, out));
        }
        if let Some(Learning { deadline, next_request }) = self.learning
            && now >= next_request
        {
            if now < deadline && !self.node.has_received_state() {
                self.learning = Some(Learning { deadline, next_request: now + LEARNING_RETRY_US });
                self.node.query_voters(&mut self.outputs);
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
                &encode_counters(&[self.version_hash.into()]),
                interval * 4,
            );
        }
        if !self.drained.is_empty() && now >= self.next_drain_report {
            let interval = DRAIN_REPORT_INTERVAL.for_members(membership.members().len());
            self.next_drain_report = now + interval;
            let names = self.drained.iter().filter_map(|hash| Some(self.workers.get(*hash)?.name.as_str()));
            let calls = in_flight(&names.collect::<Vec<_>>());
            let at = self.node.known().map_or((0, 0), |state| (state.epoch.ms, state.version));
            membership.publish_fact(
                now,
                DRAINS_KEY,
                &encode_counters(&[at.0, at.1.into(), calls as u64]),
                interval * 4,
            );
        }
    }

    /// Handles a request of an operator. A repeated request is not submitted again, but gets the answer if there is
    /// one.
    pub fn handle_operator_request(
        &mut self,
        membership: &Membership,
        now: Micros,
        from: SocketAddr,
        request: OperatorRequest,
        io: &mut Io,
        socket: usize,
    ) {
        let mut reply = |reply| {
            io.send_to(socket, from, &OperatorResponse { tag: request.tag, reply }.write());
        };
        let permit_request = match request.command {
            OperatorCommand::Halt => {
                let halt = self.node.halt_all(&mut self.outputs);
                info!(count = halt.count, %from, "permits halted by an operator");
                return reply(OperatorReply::Halted(halt));
            }
            OperatorCommand::Status => return reply(OperatorReply::Status(self.status(membership, now))),
            OperatorCommand::Request(permit_request) => permit_request,
        };
        let is_repeated = |pending_request: &&PendingRequest| {
            pending_request.from == from && pending_request.operator_tag == request.tag
        };
        if let Some(pending_request) = self.pending.iter().find(is_repeated) {
            if let Some(answer) = pending_request.answer {
                reply(OperatorReply::Answer(answer));
            }
            return;
        }
        if self.pending.len() == MAX_PENDING_REQUESTS {
            self.pending.pop_front();
        }
        let mut node_tag = 0;
        self.with_node(membership, |node, observer, out| {
            node_tag = node.submit(now, permit_request, observer, out)
        });
        info!(%from, request = ?permit_request, "permit request of an operator");
        self.pending.push_back(PendingRequest { from, operator_tag: request.tag, node_tag, answer: None });
    }

    /// Number of members that may still have calls in flight on drained workers: those that have not published a
    /// count of zero for the latest permit state or a later one. Members that have stopped, and those that were gone
    /// or never seen for longer than any call lasts, are left out.
    fn members_not_clear(&self, membership: &Membership, now: Micros) -> usize {
        let at = self.node.known().map_or((0, 0), |state| (state.epoch.ms, u64::from(state.version)));
        let not_clear = |(number, member): (usize, &basaltward_membership::Member)| {
            let counters = membership
                .fact(now, number as MemberId, DRAINS_KEY)
                .and_then(basaltward_membership::decode_counters);
            let clear = counters
                .is_some_and(|counters| matches!(counters[..], [ms, version, 0] if (ms, version) >= at));
            let ended = match member.state {
                MemberState::Stopped => true,
                MemberState::Gone => now >= member.state_since + GONE_MEMBER_CLEAR_US,
                // Never seen since this process started.
                MemberState::Unknown => now >= self.started + GONE_MEMBER_CLEAR_US,
                _ => false,
            };
            !clear && !ended
        };
        membership.members().iter().enumerate().filter(|member| not_clear(*member)).count()
    }

    fn status(&self, membership: &Membership, now: Micros) -> PermitStatus {
        let workers = &self.workers;
        let workers = move |now| workers.observations(now);
        let observer =
            MembershipObserver { membership, zones: &self.peer_zones, workers: &workers, wall_ms: 0 };
        let all = self.node.out_of_service(now, &observer);
        let of_workers = all.iter().filter(|subject| matches!(subject, Subject::Worker(_))).count();
        let state = self.node.known();
        PermitStatus {
            own: membership.own(),
            leader: self.node.leader(),
            at: state.map(|state| state.position()),
            halt: self.node.halt(),
            out: ((all.len() - of_workers) as u16, of_workers as u16),
            unclear: if self.drained.is_empty() { 0 } else { self.members_not_clear(membership, now) as u16 },
            plan: state.and_then(|state| state.value.plan).map(|plan| {
                let on_target = on_target_version(&plan, &observer.observations(now));
                (plan, on_target as u16)
            }),
            permits: state.map(|state| state.value.permits.clone()).unwrap_or_default(),
        }
    }

    /// The latest permit state known to this process.
    pub fn permit_state(&self) -> Option<&Stored<PermitState>> {
        self.node.known()
    }

    /// Submits a request of this process itself; returns its tag.
    pub fn submit(&mut self, membership: &Membership, now: Micros, permit_request: PermitRequest) -> u32 {
        let mut tag = 0;
        self.with_node(membership, |node, observer, out| {
            tag = node.submit(now, permit_request, observer, out)
        });
        tag
    }

    /// Updates the list of workers, see [`PeerTransport::update_workers`](crate::PeerTransport::update_workers).
    pub fn update_workers(&mut self, now: Micros, complete: bool, workers: &[Worker]) {
        self.workers.update(now, complete, workers, &self.drained);
    }

    /// Whether a worker is blocked, see [`PeerTransport::is_blocked`](crate::PeerTransport::is_blocked).
    pub fn is_blocked(&self, worker: &str) -> bool {
        self.learning.is_some() || self.drained.contains(&name_hash(worker))
    }

    /// Whether a worker counts, see [`PeerTransport::is_known`](crate::PeerTransport::is_known).
    pub fn is_known(&self, worker: &str) -> bool {
        self.workers.get(name_hash(worker)).is_some()
    }

    /// Sends the outputs of the node, answers operators, and reports events.
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
                            let reply = OperatorReply::Answer(answer);
                            io.send_to(
                                socket,
                                pending_request.from,
                                &OperatorResponse { tag: pending_request.operator_tag, reply }.write(),
                            );
                        }
                        Some(_) => {}
                        None => events.push(Event::Answered { tag, answer }),
                    }
                }
            }
        }
        let learning_ended = std::mem::take(&mut self.learning_ended);
        let workers =
            if changed || learning_ended { self.apply_permit_state(now, events) } else { Vec::new() };
        let workers = if learning_ended { self.workers.names() } else { workers };
        if !workers.is_empty() {
            events.push(Event::DrainsChanged(workers));
        }
    }

    /// Applies the latest permit state; returns the names of workers whose drain began or ended by it.
    fn apply_permit_state(&mut self, now: Micros, events: &mut Vec<Event>) -> Vec<String> {
        let Halt { on, count } = self.node.halt();
        let Some(state) = self.node.known() else { return Vec::new() };
        if self.last_reported < Some(state.position()) {
            self.last_reported = Some(state.position());
            events.push(Event::Agreed(state.clone()));
        }
        info!(
            by = state.epoch.by,
            version = state.version,
            permits = state.value.permits.len(),
            on,
            count,
            "agreed"
        );
        let drained: BTreeSet<u32> =
            self.workers.name_hashes().filter(|hash| state.value.is_drained(*hash)).collect();
        let before = std::mem::replace(&mut self.drained, drained);
        // Publish the calls in flight at once, so that operators see the progress of a new drain soon.
        self.next_drain_report = now;
        let changed = before.symmetric_difference(&self.drained);
        changed.filter_map(|hash| Some(self.workers.get(*hash)?.name.clone())).collect()
    }

    /// Answers an operator that no leader can be reached; used where this process takes no part in the permits.
    pub fn reply_no_leader(io: &mut Io, socket: usize, from: SocketAddr, tag: u32) {
        let reply = OperatorReply::Answer(Err(Denied::NoLeader));
        io.send_to(socket, from, &OperatorResponse { tag, reply }.write());
    }
}
