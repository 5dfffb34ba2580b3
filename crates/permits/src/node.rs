//! A permit node: its voter, if it votes, the register while it is a candidate or the leader, and the latest committed
//! state that it knows. Input: datagrams, requests, times in microseconds on its own clock, and the observations of a
//! [`FleetObserver`]. Output: [`Output`]s. Bounds: 64 requests in flight, 256 remembered outcomes.

use crate::bounds::{Denied, Observations};
use crate::register::{RegisterEvent, ReplicatedRegister};
use crate::request_table::{PermitResult, RequestId, RequestTable};
use crate::settings::{PermitSettings, SettingsError};
use crate::state::{PermitState, Subject};
use crate::voter::{Epoch, Stored, Voter};
use crate::wire::{Body, Halt, Message, PermitRequest};
use basaltward_membership::{MemberId, Micros};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

/// How many members receive a new state or halt in one gossip round.
const GOSSIP_MEMBERS: usize = 2;
/// For how many rounds a new state or halt is gossiped.
const GOSSIP_ROUNDS: u32 = 4;
/// Time between gossip rounds. With 0.1 s a new state reaches a fleet of hundreds within the lease.
const GOSSIP_INTERVAL_US: Micros = 100_000;
/// The interval at which the position of the known state is sent to one random member, which repairs lost gossip.
const POSITION_INTERVAL_US: Micros = 1_000_000;
/// How many members a learning leader queries for their state in each tick.
const QUERIES_PER_TICK: usize = 16;
/// The largest number of local requests in flight.
const MAX_PENDING_REQUESTS: usize = 64;
/// A request without a reply is sent again after this time.
const RESEND_INTERVAL_US: Micros = 300_000;

/// How many outcomes of local requests for permits are remembered.
const MAX_OUTCOMES: usize = 256;

/// What a member observes of the fleet.
pub trait FleetObserver {
    /// The observations of all known subjects.
    fn observations(&self, now: Micros) -> Observations;
    /// The live members, except the local one.
    fn live(&self) -> Vec<MemberId>;
    /// The wall clock, in milliseconds since the beginning of 2026.
    fn wall_ms(&self) -> u64;
}

/// An output of a node, to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// The receiver.
        to: MemberId,
        /// The datagram, at most [`basaltward_membership::MAX_DATAGRAM_BYTES`] long.
        bytes: Vec<u8>,
    },
    /// The known committed state or the halt has changed, see [`PermitNode::known`] and [`PermitNode::halt`].
    Changed,
    /// The reply to a request submitted here. A reply that arrives after the lease is replaced by [`Denied::Stale`], as
    /// it must no longer be acted on.
    Answered {
        /// The tag that [`PermitNode::submit`] returned.
        tag: u32,
        /// The reply.
        answer: PermitResult,
    },
}

pub(crate) type Outputs = Vec<Output>;

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    request: PermitRequest,
    submitted_at: Micros,
    resend_at: Micros,
}

/// The outcome of a local request for a permit.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    tag: u32,
    subject: Subject,
    /// The permit's number, 0 for none.
    number: u16,
}

/// A member of the fleet that agrees on permits.
pub struct PermitNode {
    pub(crate) settings: PermitSettings,
    voter: Option<Voter<PermitState>>,
    pub(crate) register: Option<ReplicatedRegister<PermitState>>,
    pub(crate) requests: RequestTable,
    /// The states received from members, merged; the first value of the register once learning is over.
    learned: PermitState,
    /// Members that are still to be queried for their state.
    to_query: Vec<MemberId>,
    pub(crate) known: Option<Stored<PermitState>>,
    pub(crate) halt: Halt,
    /// How many more rounds the known state and halt are gossiped.
    gossip_rounds: u32,
    next_gossip: Micros,
    next_position: Micros,
    next_tick: Micros,
    /// No election is started before this time.
    election_at: Micros,
    pending: BTreeMap<u32, PendingRequest>,
    /// The tag of the latest request.
    last_tag: u32,
    /// Outcomes of the latest local requests for permits.
    outcomes: VecDeque<Outcome>,
    /// Whether a member has sent its state since the start of this node.
    received_state: bool,
    rng: StdRng,
    /// Messages of this node to itself.
    to_self: VecDeque<Body>,
    /// False with the injected fault [`Fault::IgnoresPermits`].
    pub(crate) counts_permits: bool,
    /// True with the injected fault [`Fault::VotesAfterRestart`].
    votes_after_restart: bool,
}

impl PermitNode {
    /// A node that has just started.
    ///
    /// # Errors
    /// If the settings are invalid.
    pub fn new(settings: PermitSettings, now: Micros) -> Result<Self, SettingsError> {
        settings.check()?;
        let is_voter = settings.voters.contains(&settings.own);
        let voter = is_voter.then(|| Voter::new(settings.incarnation, now, settings.times.silence));
        let seed = settings.seed ^ u64::from(settings.own) << 32 ^ u64::from(settings.incarnation);
        let mut node = Self {
            voter,
            register: None,
            requests: RequestTable::default(),
            learned: PermitState::default(),
            to_query: Vec::new(),
            known: None,
            halt: Halt::default(),
            gossip_rounds: 0,
            next_gossip: now,
            next_position: now,
            next_tick: now,
            election_at: now,
            pending: BTreeMap::new(),
            // A leader remembers its replies to the previous incarnation of this node, so that incarnation's tags must
            // not be used again.
            last_tag: settings.incarnation,
            outcomes: VecDeque::new(),
            received_state: false,
            rng: StdRng::seed_from_u64(seed),
            to_self: VecDeque::new(),
            counts_permits: true,
            votes_after_restart: false,
            settings,
        };
        node.postpone_election(now + node.settings.times.silence);
        Ok(node)
    }

    /// Injects a fault, see [`Fault`].
    #[doc(hidden)]
    pub fn inject(&mut self, fault: Fault, now: Micros) {
        match fault {
            Fault::VotesAfterRestart => {
                self.votes_after_restart = true;
                if self.voter.is_some() {
                    self.voter = Some(Voter::new(self.settings.incarnation, now, 0));
                }
            }
            Fault::IgnoresEpochs => self.voter.iter_mut().for_each(Voter::inject_ignored_epochs),
            Fault::IgnoresPermits => self.counts_permits = false,
        }
    }

    /// The latest committed state known to this node.
    pub fn known(&self) -> Option<&Stored<PermitState>> {
        self.known.as_ref()
    }

    /// The latest halt or resume known to this node.
    pub fn halt(&self) -> Halt {
        self.halt
    }

    /// Whether a member has sent its state since the start of this node. Before that a worker may be drained without
    /// this node knowing it.
    pub fn has_received_state(&self) -> bool {
        self.received_state
    }

    /// Queries the voters for their state. Used by a node that has just started, whose membership lists no live member
    /// yet.
    pub fn query_voters(&mut self, out: &mut Outputs) {
        let own = self.settings.own;
        let voters = self.settings.voters.clone().into_iter();
        voters.filter(|voter| *voter != own).for_each(|to| self.send(to, Body::StateQuery, out));
    }

    /// Whether this node is the leader and has committed a state.
    pub fn is_leader(&self) -> bool {
        self.register.as_ref().is_some_and(|register| register.committed().is_some())
    }

    /// Replaces the bounds; permits in force are not affected.
    pub fn set_bounds(&mut self, bounds: crate::bounds::Bounds) {
        self.settings.bounds = bounds;
    }

    /// When the next [`PermitNode::wake`] is due.
    pub fn next_due(&self) -> Micros {
        let gossip = (self.gossip_rounds > 0).then_some(self.next_gossip);
        let pending = self.pending.values().map(|pending| pending.resend_at);
        let due = [self.next_position, self.next_tick];
        due.into_iter().chain(gossip).chain(pending).min().unwrap_or(Micros::MAX)
    }

    /// Sends a request to the leader, resends it until a reply arrives or the lease ends, and returns its tag. The
    /// result is an [`Output::Answered`] with this tag: [`Denied::NoLeader`] if no reply arrives within the lease,
    /// [`Denied::Full`] at once if 64 requests are in flight.
    pub fn submit(
        &mut self,
        now: Micros,
        request: PermitRequest,
        observer: &impl FleetObserver,
        out: &mut Outputs,
    ) -> u32 {
        self.last_tag = self.last_tag.wrapping_add(1);
        let tag = self.last_tag;
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            out.push(Output::Answered { tag, answer: Err(Denied::Full) });
            return tag;
        }
        self.pending.insert(tag, PendingRequest { request, submitted_at: now, resend_at: now });
        self.resend_requests(now, observer, out);
        tag
    }

    /// Halts the fleet: gossips that no new permit may be granted, without waiting for the leader or a commit.
    pub fn halt_all(&mut self, out: &mut Outputs) -> Halt {
        let halt = Halt { count: self.halt.count + 1, on: true };
        self.adopt_halt(halt, out);
        self.halt
    }

    // ---- timers ------------------------------------------------------------------------------------------

    /// Runs the timers that are due by `now`.
    pub fn wake(&mut self, now: Micros, observer: &impl FleetObserver, out: &mut Outputs) {
        if now >= self.next_tick {
            self.next_tick = now + self.settings.tick;
            self.tick(now, observer, out);
        }
        if now >= self.next_position {
            self.next_position = now + POSITION_INTERVAL_US;
            let body = Body::Position(self.known.as_ref().map(Stored::position), self.halt);
            self.random_members(1, observer).into_iter().for_each(|to| self.send(to, body.clone(), out));
        }
        if self.gossip_rounds > 0 && now >= self.next_gossip {
            self.gossip_rounds -= 1;
            self.next_gossip = now + GOSSIP_INTERVAL_US;
            let body = Body::State(self.known.clone(), self.halt);
            self.random_members(GOSSIP_MEMBERS, observer)
                .into_iter()
                .for_each(|to| self.send(to, body.clone(), out));
        }
        self.resend_requests(now, observer, out);
        self.process_events(now, observer, out);
    }

    /// Postpones this node's next election by the lease plus a random time up to another lease.
    fn postpone_election(&mut self, now: Micros) {
        let lease = self.settings.times.lease;
        self.election_at = now + lease + self.rng.random_range(0..=lease);
    }

    fn tick(&mut self, now: Micros, observer: &impl FleetObserver, out: &mut Outputs) {
        let may_vote = self.voter.as_ref().is_some_and(|voter| voter.may_vote(now));
        if self.register.is_none() && may_vote && now >= self.election_at {
            let promised = self.voter.as_ref().map(Voter::promised).unwrap_or_default();
            let latest = promised.max(self.known.as_ref().map(|known| known.epoch).unwrap_or_default());
            let epoch = latest.next(observer.wall_ms(), self.settings.own);
            let mut register =
                ReplicatedRegister::candidate(self.settings.times, &self.settings.voters, epoch, now);
            if self.votes_after_restart {
                register.inject_amnesia();
            }
            (self.register, self.requests) = (Some(register), RequestTable::default());
            self.postpone_election(now);
        }
        if let Some(value) = self.register.as_ref().and_then(ReplicatedRegister::value).cloned()
            && !value.permits.is_empty()
        {
            let remaining =
                self.requests.without_ended(now, &value, &observer.observations(now), &self.settings);
            self.propose(remaining);
            if !self.halt.on && self.requests.is_overdue(now, &value, self.settings.step_timeout) {
                self.halt_all(out);
            }
        }
        self.query_next_members(out);
        self.send_heartbeats(now, out);
    }

    pub(crate) fn send_heartbeats(&mut self, now: Micros, out: &mut Outputs) {
        let requests = self.register.as_mut().map(|register| register.heartbeat(now)).unwrap_or_default();
        for (to, request) in requests {
            self.send(to, Body::VoterRequest(request), out);
        }
    }

    fn query_next_members(&mut self, out: &mut Outputs) {
        let start = self.to_query.len().saturating_sub(QUERIES_PER_TICK);
        for to in self.to_query.split_off(start) {
            self.send(to, Body::StateQuery, out);
        }
    }

    pub(crate) fn propose(&mut self, state: PermitState) -> Option<u32> {
        self.register.as_mut()?.propose(state)
    }

    /// Handles the messages of this node to itself and the register's events until none are left.
    fn process_events(&mut self, now: Micros, observer: &impl FleetObserver, out: &mut Outputs) {
        loop {
            while let Some(body) = self.to_self.pop_front() {
                self.handle_message(now, self.settings.own, body, observer, out);
            }
            match self.register.as_mut().map_or(RegisterEvent::Unchanged, |register| register.poll(now)) {
                RegisterEvent::Unchanged if self.to_self.is_empty() => break,
                RegisterEvent::Unchanged => {}
                RegisterEvent::SteppedDown => {
                    self.register = None;
                    self.postpone_election(now);
                }
                RegisterEvent::LearningStarted(held) => {
                    self.learned = held.unwrap_or_default();
                    if let Some(known) = &self.known {
                        self.learned.merge(&known.value);
                    }
                    self.to_query = observer.live();
                }
                RegisterEvent::LearningDue => {
                    let learned = std::mem::take(&mut self.learned);
                    self.register
                        .iter_mut()
                        .for_each(|register| register.finish_learning(now, learned.clone()));
                    self.send_heartbeats(now, out);
                }
                RegisterEvent::Committed(version) => {
                    let committed = self.register.as_ref().and_then(ReplicatedRegister::committed);
                    committed.into_iter().for_each(|committed| self.adopt_state(committed, out));
                    for granted in self.requests.committed(version) {
                        self.answer(granted.request_id, Ok(granted.number), out);
                    }
                }
            }
        }
    }

    fn resend_requests(&mut self, now: Micros, observer: &impl FleetObserver, out: &mut Outputs) {
        let leader = self.leader();
        let mut expired = Vec::new();
        let mut messages = Vec::new();
        for (tag, pending) in self.pending.iter_mut().filter(|(_, pending)| pending.resend_at <= now) {
            if now >= pending.submitted_at + self.settings.times.lease {
                expired.push(*tag);
            } else {
                pending.resend_at = now + RESEND_INTERVAL_US;
                messages.extend(leader.map(|leader| (leader, Body::Request(*tag, pending.request))));
            }
        }
        for tag in expired {
            if let Some(pending) = self.pending.remove(&tag) {
                self.record_outcome(tag, pending.request, None);
            }
            out.push(Output::Answered { tag, answer: Err(Denied::NoLeader) });
        }
        messages.into_iter().for_each(|(to, body)| self.send(to, body, out));
        while let Some(body) = self.to_self.pop_front() {
            self.handle_message(now, self.settings.own, body, observer, out);
        }
    }

    /// The leader as seen by this node.
    pub fn leader(&self) -> Option<MemberId> {
        let own = self.register.as_ref().filter(|register| register.is_elected()).map(|_| self.settings.own);
        let promised = self.voter.as_ref().map(Voter::promised).filter(|epoch| *epoch > Epoch::default());
        own.or(promised.max(self.known.as_ref().map(|known| known.epoch)).map(|epoch| epoch.by))
    }

    fn random_members(&mut self, count: usize, observer: &impl FleetObserver) -> Vec<MemberId> {
        let mut live = observer.live();
        live.partial_shuffle(&mut self.rng, count).0.to_vec()
    }

    pub(crate) fn send(&mut self, to: MemberId, body: Body, out: &mut Outputs) {
        if to == self.settings.own {
            self.to_self.push_back(body);
            return;
        }
        let message = Message { fleet: self.settings.fleet, from: self.settings.own, body };
        out.extend(message.write().map(|bytes| Output::Send { to, bytes }));
    }

    // ---- received datagrams ------------------------------------------------------------------------------

    /// Handles a datagram that came from the address of member `from`; returns false and ignores it if it is not a
    /// permit datagram of this fleet and this sender.
    pub fn handle(
        &mut self,
        now: Micros,
        from: MemberId,
        bytes: &[u8],
        observer: &impl FleetObserver,
        out: &mut Outputs,
    ) -> bool {
        let Ok(message) = Message::read(bytes) else { return false };
        if message.fleet != self.settings.fleet || message.from != from || from == self.settings.own {
            return false;
        }
        self.handle_message(now, from, message.body, observer, out);
        self.process_events(now, observer, out);
        true
    }

    fn handle_message(
        &mut self,
        now: Micros,
        from: MemberId,
        body: Body,
        observer: &impl FleetObserver,
        out: &mut Outputs,
    ) {
        match body {
            Body::VoterRequest(request) => {
                if !self.settings.voters.contains(&from) {
                    return;
                }
                let response = self.voter.as_mut().and_then(|voter| voter.handle(now, request));
                if let Some(response) = response {
                    if !matches!(response, crate::voter::VoterResponse::Rejected { .. })
                        && from != self.settings.own
                    {
                        self.postpone_election(now);
                    }
                    self.send(from, Body::VoterResponse(response), out);
                }
            }
            Body::VoterResponse(response) => {
                self.register.iter_mut().for_each(|register| register.handle(now, from, response.clone()));
            }
            Body::State(stored, halt) => {
                self.received_state = true;
                if let Some(stored) = stored {
                    self.learned.merge(&stored.value);
                    self.adopt_state(stored, out);
                }
                self.adopt_halt(halt, out);
            }
            Body::Position(remote, halt) => {
                self.adopt_halt(halt, out);
                let local = self.known.as_ref().map(Stored::position);
                if local > remote || self.halt > halt {
                    self.send(from, Body::State(self.known.clone(), self.halt), out);
                } else if remote > local {
                    self.send(from, Body::StateQuery, out);
                }
            }
            Body::StateQuery => self.send(from, Body::State(self.known.clone(), self.halt), out),
            Body::Request(tag, request) => {
                self.handle_request(now, RequestId { node: from, tag }, request, observer, out)
            }
            Body::Reply(tag, answer) => self.handle_reply(now, tag, answer, observer, out),
        }
    }

    /// Handles the reply to a local request. A permit that the requester will not act on is returned: the reply came
    /// after the lease, or a request that was delayed, possibly for an hour, acquired a second permit.
    fn handle_reply(
        &mut self,
        now: Micros,
        tag: u32,
        answer: PermitResult,
        observer: &impl FleetObserver,
        out: &mut Outputs,
    ) {
        let pending = self.pending.remove(&tag);
        let late = pending.is_some_and(|pending| now >= pending.submitted_at + self.settings.times.lease);
        let outcome = self.outcomes.iter().find(|outcome| outcome.tag == tag).copied();
        let unused = match (pending.map(|pending| pending.request), outcome, answer) {
            (Some(PermitRequest::Acquire(subject)), _, Ok(number)) if late => Some((subject, number)),
            (None, Some(outcome), Ok(number)) if number != outcome.number => Some((outcome.subject, number)),
            _ => None,
        };
        if let Some(pending) = pending {
            self.record_outcome(tag, pending.request, answer.ok().filter(|_| !late));
            let answer = if late { Err(Denied::Stale) } else { answer };
            out.push(Output::Answered { tag, answer });
        }
        if let Some((subject, number)) = unused {
            self.submit(now, PermitRequest::Return(subject, number), observer, out);
        }
    }

    /// Remembers the outcome of a request for a permit: the number of the permit, or none.
    fn record_outcome(&mut self, tag: u32, request: PermitRequest, number: Option<u16>) {
        if let PermitRequest::Acquire(subject) = request {
            if self.outcomes.len() == MAX_OUTCOMES {
                self.outcomes.pop_front();
            }
            self.outcomes.push_back(Outcome { tag, subject, number: number.unwrap_or(0) });
        }
    }

    fn adopt_state(&mut self, stored: Stored<PermitState>, out: &mut Outputs) {
        if self.known.as_ref().is_none_or(|known| known.position() < stored.position()) {
            self.known = Some(stored);
            self.gossip_rounds = GOSSIP_ROUNDS;
            out.push(Output::Changed);
        }
    }

    pub(crate) fn adopt_halt(&mut self, halt: Halt, out: &mut Outputs) {
        if halt > self.halt {
            self.halt = halt;
            self.gossip_rounds = GOSSIP_ROUNDS;
            out.push(Output::Changed);
        }
    }
}

/// Faults that tests inject, to show that their checks find them.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A voter responds at once after its start, and a candidate counts voters that have lost their state like the
    /// others.
    VotesAfterRestart,
    /// A voter accepts requests of any epoch.
    IgnoresEpochs,
    /// A leader counts the subjects that it observes as out of service, but not those with a permit.
    IgnoresPermits,
}
