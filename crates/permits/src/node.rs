//! A node: its voter, if it votes, the register while it is candidate or leader, and what it knows to be agreed. Input:
//! datagrams, requests, times in microseconds on its own clock, and what a [`FleetObserver`] sees. Output: [`Output`]s. Bounds:
//! 64 requests under way, 256 outcomes remembered.

use crate::bounds::{Denied, Observations};
use crate::register::{RegisterEvent, ReplicatedRegister};
use crate::request_table::{Asker, PermitResult, RequestTable};
use crate::settings::{PermitSettings, SettingsError};
use crate::state::{PermitState, Subject};
use crate::voter::{Epoch, Stored, Voter};
use crate::wire::{Body, Halt, Message, PermitRequest};
use basaltward_membership::{MemberId, Micros};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

/// What is new is passed on to so many others at once, ...
const PASS_MEMBERS: usize = 2;
/// ... so often, ...
const PASSES: u32 = 4;
/// ... and so far apart: a tenth of a second carries it through a fleet of hundreds within the lease.
const PASS_INTERVAL_US: Micros = 100_000;
/// One other is told in this time how far we know.
const COMPARE_US: Micros = 1_000_000;
/// Members asked in a tick what they know, by a leader that learns.
const RECALLED_PER_TICK: usize = 16;
/// Requests of ours that are out, at most.
const MAX_ASKED: usize = 64;
/// Each is sent again after this, while it has no answer.
const ASK_AGAIN_US: Micros = 300_000;

/// Outcomes of requests for permits remembered.
const MAX_OUTCOMES: usize = 256;

/// What a member sees of the fleet.
pub trait FleetObserver {
    /// All that exist, with what is seen of them.
    fn observations(&self, now: Micros) -> Observations;
    /// Live members, not ourselves.
    fn live(&self) -> Vec<MemberId>;
    /// The wall clock, in milliseconds since the beginning of 2026.
    fn wall_ms(&self) -> u64;
}

/// What a member puts out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send these bytes.
    Send {
        /// To whom.
        to: MemberId,
        /// At most [`basaltward_membership::MAX_DATAGRAM_BYTES`].
        bytes: Vec<u8>,
    },
    /// Something else is agreed, or halted, see [`PermitNode::known`].
    Changed,
    /// The answer to a question of ours. One that comes when nothing may be done by it any more is a `Stale`.
    Answered {
        /// The question.
        tag: u32,
        /// The answer.
        answer: PermitResult,
    },
}

pub(crate) type Out = Vec<Output>;

#[derive(Clone, Copy, Debug)]
struct Asked {
    request: PermitRequest,
    since: Micros,
    again: Micros,
}

/// What came of a request for a permit.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    tag: u32,
    subject: Subject,
    /// The permit's number, 0 for none.
    number: u16,
}

/// See the module's page.
pub struct PermitNode {
    pub(crate) settings: PermitSettings,
    voter: Option<Voter<PermitState>>,
    pub(crate) register: Option<ReplicatedRegister<PermitState>>,
    pub(crate) requests: RequestTable,
    /// What members told while we learn.
    learnt: PermitState,
    /// Who is still to be asked what it knows.
    recall: Vec<MemberId>,
    pub(crate) known: Option<Stored<PermitState>>,
    pub(crate) halt: Halt,
    /// How often what is new still goes on.
    passes: u32,
    next_pass: Micros,
    next_compare: Micros,
    next_tick: Micros,
    claim_at: Micros,
    asked: BTreeMap<u32, Asked>,
    tag: u32,
    /// What came of the latest requests for permits.
    outcomes: VecDeque<Outcome>,
    /// Another one has told us what it knows since our start.
    heard: bool,
    rng: StdRng,
    /// Messages to ourselves.
    own: VecDeque<Body>,
    /// Planted: leaders that count only what they see, and not what is permitted.
    pub(crate) counts_permits: bool,
    forgets: bool,
}

impl PermitNode {
    /// A member whose life begins.
    ///
    /// # Errors
    /// Where the settings can't be used.
    pub fn new(settings: PermitSettings, now: Micros) -> Result<Self, SettingsError> {
        settings.check()?;
        let is_voter = settings.voters.contains(&settings.own);
        let voter = is_voter.then(|| Voter::new(settings.incarnation, now, settings.times.silence));
        let seed = settings.seed ^ u64::from(settings.own) << 32 ^ u64::from(settings.incarnation);
        let mut node = Self {
            voter,
            register: None,
            requests: RequestTable::default(),
            learnt: PermitState::default(),
            recall: Vec::new(),
            known: None,
            halt: Halt::default(),
            passes: 0,
            next_pass: now,
            next_compare: now,
            next_tick: now,
            claim_at: now,
            asked: BTreeMap::new(),
            // A leader remembers what it answered an earlier life of ours: its numbers are not used again.
            tag: settings.incarnation,
            outcomes: VecDeque::new(),
            heard: false,
            rng: StdRng::seed_from_u64(seed),
            own: VecDeque::new(),
            counts_permits: true,
            forgets: false,
            settings,
        };
        node.put_off(now + node.settings.times.silence);
        Ok(node)
    }

    /// Plants a fault, see [`Fault`].
    #[doc(hidden)]
    pub fn inject(&mut self, fault: Fault, now: Micros) {
        match fault {
            Fault::VotesAfterRestart => {
                self.forgets = true;
                if self.voter.is_some() {
                    self.voter = Some(Voter::new(self.settings.incarnation, now, 0));
                }
            }
            Fault::IgnoresEpochs => self.voter.iter_mut().for_each(Voter::inject_ignored_epochs),
            Fault::IgnoresPermits => self.counts_permits = false,
        }
    }

    /// What is agreed, as far as we know.
    pub fn known(&self) -> Option<&Stored<PermitState>> {
        self.known.as_ref()
    }

    /// Whether all is halted, as far as we know.
    pub fn halt(&self) -> Halt {
        self.halt
    }

    /// Whether another one has told us what it knows since our start: before, a worker may be drained and we not
    /// know of it.
    pub fn has_received_state(&self) -> bool {
        self.heard
    }

    /// Asks the voters what they know. For whoever has just started, as a view has nobody to ask yet.
    pub fn query_voters(&mut self, out: &mut Out) {
        let own = self.settings.own;
        let voters = self.settings.voters.clone().into_iter();
        voters.filter(|voter| *voter != own).for_each(|to| self.send(to, Body::StateQuery, out));
    }

    /// Whether we are leader, and know what is out.
    pub fn is_leader(&self) -> bool {
        self.register.as_ref().is_some_and(|register| register.committed().is_some())
    }

    /// Bounds from now on.
    pub fn set_bounds(&mut self, bounds: crate::bounds::Bounds) {
        self.settings.bounds = bounds;
    }

    /// When [`PermitNode::wake`] is due next.
    pub fn next_due(&self) -> Micros {
        let passes = (self.passes > 0).then_some(self.next_pass);
        let asked = self.asked.values().map(|asked| asked.again);
        let due = [self.next_compare, self.next_tick];
        due.into_iter().chain(passes).chain(asked).min().unwrap_or(Micros::MAX)
    }

    /// Asks the leader for something; the answer names the number that this gives.
    pub fn submit(
        &mut self,
        now: Micros,
        request: PermitRequest,
        observer: &impl FleetObserver,
        out: &mut Out,
    ) -> u32 {
        self.tag = self.tag.wrapping_add(1);
        let tag = self.tag;
        if self.asked.len() >= MAX_ASKED {
            out.push(Output::Answered { tag, answer: Err(Denied::Full) });
            return tag;
        }
        self.asked.insert(tag, Asked { request, since: now, again: now });
        self.ask_again(now, observer, out);
        tag
    }

    /// Nothing new is permitted anywhere from now on: by our word alone, at once.
    pub fn halt_all(&mut self, out: &mut Out) -> Halt {
        let told = Halt { count: self.halt.count + 1, on: true };
        self.hear_halt(told, out);
        self.halt
    }

    // ---- what is due -------------------------------------------------------------------------------------

    /// Does what is due by `now`.
    pub fn wake(&mut self, now: Micros, observer: &impl FleetObserver, out: &mut Out) {
        if now >= self.next_tick {
            self.next_tick = now + self.settings.tick;
            self.tick(now, observer, out);
        }
        if now >= self.next_compare {
            self.next_compare = now + COMPARE_US;
            let body = Body::Position(self.known.as_ref().map(Stored::position), self.halt);
            self.some(1, observer).into_iter().for_each(|to| self.send(to, body.clone(), out));
        }
        if self.passes > 0 && now >= self.next_pass {
            self.passes -= 1;
            self.next_pass = now + PASS_INTERVAL_US;
            let body = Body::State(self.known.clone(), self.halt);
            self.some(PASS_MEMBERS, observer).into_iter().for_each(|to| self.send(to, body.clone(), out));
        }
        self.ask_again(now, observer, out);
        self.work(now, observer, out);
    }

    /// Who hears a leader waits for a lease and some more before it would be one.
    fn put_off(&mut self, now: Micros) {
        let lease = self.settings.times.lease;
        self.claim_at = now + lease + self.rng.random_range(0..=lease);
    }

    fn tick(&mut self, now: Micros, observer: &impl FleetObserver, out: &mut Out) {
        let speaks = self.voter.as_ref().is_some_and(|voter| voter.may_vote(now));
        if self.register.is_none() && speaks && now >= self.claim_at {
            let promised = self.voter.as_ref().map(Voter::promised).unwrap_or_default();
            let latest = promised.max(self.known.as_ref().map(|known| known.epoch).unwrap_or_default());
            let epoch = latest.next(observer.wall_ms(), self.settings.own);
            let mut register =
                ReplicatedRegister::candidate(self.settings.times, &self.settings.voters, epoch, now);
            if self.forgets {
                register.inject_amnesia();
            }
            (self.register, self.requests) = (Some(register), RequestTable::default());
            self.put_off(now);
        }
        if let Some(value) = self.register.as_ref().and_then(ReplicatedRegister::value).cloned()
            && !value.permits.is_empty()
        {
            let left = self.requests.settle(now, &value, &observer.observations(now), &self.settings);
            self.change(left);
            if !self.halt.on && self.requests.is_overdue(now, &value, self.settings.step_timeout) {
                self.halt_all(out);
            }
        }
        self.recall_some(out);
        self.beat(now, out);
    }

    pub(crate) fn beat(&mut self, now: Micros, out: &mut Out) {
        let told = self.register.as_mut().map(|register| register.heartbeat(now)).unwrap_or_default();
        for (to, told) in told {
            self.send(to, Body::VoterRequest(told), out);
        }
    }

    fn recall_some(&mut self, out: &mut Out) {
        let from = self.recall.len().saturating_sub(RECALLED_PER_TICK);
        for to in self.recall.split_off(from) {
            self.send(to, Body::StateQuery, out);
        }
    }

    pub(crate) fn change(&mut self, state: PermitState) -> Option<u32> {
        self.register.as_mut()?.propose(state)
    }

    /// What we told ourselves, and what has come of being leader.
    fn work(&mut self, now: Micros, observer: &impl FleetObserver, out: &mut Out) {
        loop {
            while let Some(body) = self.own.pop_front() {
                self.take(now, self.settings.own, body, observer, out);
            }
            match self.register.as_mut().map_or(RegisterEvent::Unchanged, |register| register.poll(now)) {
                RegisterEvent::Unchanged if self.own.is_empty() => break,
                RegisterEvent::Unchanged => {}
                RegisterEvent::SteppedDown => {
                    self.register = None;
                    self.put_off(now);
                }
                RegisterEvent::LearningStarted(held) => {
                    self.learnt = held.unwrap_or_default();
                    if let Some(known) = &self.known {
                        self.learnt.merge(&known.value);
                    }
                    self.recall = observer.live();
                }
                RegisterEvent::LearningDue => {
                    let learnt = std::mem::take(&mut self.learnt);
                    self.register
                        .iter_mut()
                        .for_each(|register| register.finish_learning(now, learnt.clone()));
                    self.beat(now, out);
                }
                RegisterEvent::Committed(version) => {
                    let agreed = self.register.as_ref().and_then(ReplicatedRegister::committed);
                    agreed.into_iter().for_each(|agreed| self.hear(agreed, out));
                    for granted in self.requests.agreed(version) {
                        self.answer(granted.asker, Ok(granted.number), out);
                    }
                }
            }
        }
    }

    fn ask_again(&mut self, now: Micros, observer: &impl FleetObserver, out: &mut Out) {
        let leader = self.leader();
        let mut over = Vec::new();
        let mut told = Vec::new();
        for (tag, asked) in self.asked.iter_mut().filter(|(_, asked)| asked.again <= now) {
            if now >= asked.since + self.settings.times.lease {
                over.push(*tag);
            } else {
                asked.again = now + ASK_AGAIN_US;
                told.extend(leader.map(|leader| (leader, Body::Request(*tag, asked.request))));
            }
        }
        for tag in over {
            if let Some(asked) = self.asked.remove(&tag) {
                self.remember(tag, asked.request, None);
            }
            out.push(Output::Answered { tag, answer: Err(Denied::NoLeader) });
        }
        told.into_iter().for_each(|(to, body)| self.send(to, body, out));
        while let Some(body) = self.own.pop_front() {
            self.take(now, self.settings.own, body, observer, out);
        }
    }

    /// Who we believe to be leader.
    pub fn leader(&self) -> Option<MemberId> {
        let ours = self.register.as_ref().filter(|register| register.is_elected()).map(|_| self.settings.own);
        let seen = self.voter.as_ref().map(Voter::promised).filter(|epoch| *epoch > Epoch::default());
        ours.or(seen.max(self.known.as_ref().map(|known| known.epoch)).map(|epoch| epoch.by))
    }

    fn some(&mut self, count: usize, observer: &impl FleetObserver) -> Vec<MemberId> {
        let mut live = observer.live();
        live.partial_shuffle(&mut self.rng, count).0.to_vec()
    }

    pub(crate) fn send(&mut self, to: MemberId, body: Body, out: &mut Out) {
        if to == self.settings.own {
            self.own.push_back(body);
            return;
        }
        let message = Message { fleet: self.settings.fleet, from: self.settings.own, body };
        out.extend(message.write().map(|bytes| Output::Send { to, bytes }));
    }

    // ---- what comes --------------------------------------------------------------------------------------

    /// Takes a datagram that came from this member's address; false where it is none of ours.
    pub fn handle(
        &mut self,
        now: Micros,
        from: MemberId,
        bytes: &[u8],
        observer: &impl FleetObserver,
        out: &mut Out,
    ) -> bool {
        let Ok(message) = Message::read(bytes) else { return false };
        if message.fleet != self.settings.fleet || message.from != from || from == self.settings.own {
            return false;
        }
        self.take(now, from, message.body, observer, out);
        self.work(now, observer, out);
        true
    }

    fn take(
        &mut self,
        now: Micros,
        from: MemberId,
        body: Body,
        observer: &impl FleetObserver,
        out: &mut Out,
    ) {
        match body {
            Body::VoterRequest(told) => {
                if !self.settings.voters.contains(&from) {
                    return;
                }
                let answer = self.voter.as_mut().and_then(|voter| voter.handle(now, told));
                if let Some(answer) = answer {
                    if !matches!(answer, crate::voter::VoterResponse::Rejected { .. })
                        && from != self.settings.own
                    {
                        self.put_off(now);
                    }
                    self.send(from, Body::VoterResponse(answer), out);
                }
            }
            Body::VoterResponse(told) => {
                self.register.iter_mut().for_each(|register| register.handle(now, from, told.clone()));
            }
            Body::State(stored, halt) => {
                self.heard = true;
                if let Some(stored) = stored {
                    self.learnt.merge(&stored.value);
                    self.hear(stored, out);
                }
                self.hear_halt(halt, out);
            }
            Body::Position(at, halt) => {
                self.hear_halt(halt, out);
                let ours = self.known.as_ref().map(Stored::position);
                if ours > at || self.halt > halt {
                    self.send(from, Body::State(self.known.clone(), self.halt), out);
                } else if at > ours {
                    self.send(from, Body::StateQuery, out);
                }
            }
            Body::StateQuery => self.send(from, Body::State(self.known.clone(), self.halt), out),
            Body::Request(tag, request) => self.asked(now, Asker { node: from, tag }, request, observer, out),
            Body::Reply(tag, answer) => self.answered(now, tag, answer, observer, out),
        }
    }

    /// An answer to a question of ours. Whoever acts looks at the time itself: a permit that comes too late, or that a
    /// question brings which was an hour on its way, is nobody's, and is given back.
    fn answered(
        &mut self,
        now: Micros,
        tag: u32,
        answer: PermitResult,
        observer: &impl FleetObserver,
        out: &mut Out,
    ) {
        let asked = self.asked.remove(&tag);
        let late = asked.is_some_and(|asked| now >= asked.since + self.settings.times.lease);
        let known = self.outcomes.iter().find(|outcome| outcome.tag == tag).copied();
        let nobodys = match (asked.map(|asked| asked.request), known, answer) {
            (Some(PermitRequest::Acquire(subject)), _, Ok(number)) if late => Some((subject, number)),
            (None, Some(outcome), Ok(number)) if number != outcome.number => Some((outcome.subject, number)),
            _ => None,
        };
        if let Some(asked) = asked {
            self.remember(tag, asked.request, answer.ok().filter(|_| !late));
            let answer = if late { Err(Denied::Stale) } else { answer };
            out.push(Output::Answered { tag, answer });
        }
        if let Some((subject, number)) = nobodys {
            self.submit(now, PermitRequest::Return(subject, number), observer, out);
        }
    }

    /// What came of a question for a permit: its number, or none.
    fn remember(&mut self, tag: u32, request: PermitRequest, number: Option<u16>) {
        if let PermitRequest::Acquire(subject) = request {
            if self.outcomes.len() == MAX_OUTCOMES {
                self.outcomes.pop_front();
            }
            self.outcomes.push_back(Outcome { tag, subject, number: number.unwrap_or(0) });
        }
    }

    fn hear(&mut self, stored: Stored<PermitState>, out: &mut Out) {
        if self.known.as_ref().is_none_or(|known| known.position() < stored.position()) {
            self.known = Some(stored);
            self.passes = PASSES;
            out.push(Output::Changed);
        }
    }

    pub(crate) fn hear_halt(&mut self, halt: Halt, out: &mut Out) {
        if halt > self.halt {
            self.halt = halt;
            self.passes = PASSES;
            out.push(Output::Changed);
        }
    }
}

/// Faults that checkers must find.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A voter has its voice at once after its start, and a leader takes its word for a memory.
    VotesAfterRestart,
    /// A voter takes what comes, of whatever epoch.
    IgnoresEpochs,
    /// A leader counts what it sees, and not what it has permitted.
    IgnoresPermits,
}
