//! A fleet of schedulers in virtual time that are taken out and brought back by permits, while parts of it fail: for tests and
//! measurements.
//!
//! Operators act as the command does: one asks a scheduler for a permit, looks at the time before it acts by it, and
//! says when it is done. What is out is known here, whatever anybody believes.

use crate::bounds::Observations;
use crate::node::{Fault, Output, PermitNode};
use crate::observer::{MembershipObserver, observe_sites};
use crate::settings::PermitSettings;
use crate::state::Subject;
use crate::wire::{PermitRequest, VERSION};
use basaltward_membership::{
    LinkFaults, MemberId, Membership, MembershipSettings, Micros, Output as MembershipOutput, RUNS, Site,
    SiteMap, VirtualNetwork, VirtualNode, encode_counters,
};
use std::collections::BTreeMap;

/// Each tells the version that it runs so often.
const VERSION_REPORT_INTERVAL_US: Micros = 5_000_000;

/// A scheduler: its view and its part in what is agreed.
pub struct Scheduler {
    /// The view.
    pub membership: Membership,
    /// The part.
    pub node: PermitNode,
    workers: Observations,
    /// Where all stand, and by when a view shows who is lost.
    places: Option<(SiteMap, Micros)>,
    wall_ms: u64,
    /// Sent for what is agreed.
    bytes: u64,
    runs: u32,
    tell_runs: Micros,
}

/// What a scheduler puts out.
pub enum SchedulerOutput {
    /// Bytes to another.
    Send(MemberId, Vec<u8>),
    /// Its view.
    Membership(MembershipOutput),
    /// What is agreed.
    Permits(Output),
}

impl Scheduler {
    /// Has its part do something, by what it sees.
    pub fn with_node<T>(
        &mut self,
        now: Micros,
        out: &mut Vec<SchedulerOutput>,
        act: impl FnOnce(&mut PermitNode, &MembershipObserver, &mut Vec<Output>) -> T,
    ) -> T {
        let wall_ms = self.wall_ms + now / 1_000;
        let (membership, told, places) = (&self.membership, &self.workers, &self.places);
        let seen = |now| {
            let mut seen = told.clone();
            seen.extend(
                places.iter().flat_map(|(places, settle)| observe_sites(membership, places, *settle, now)),
            );
            seen
        };
        let observer = MembershipObserver { membership, zones: &[], workers: &seen, wall_ms };
        let mut told = Vec::new();
        let done = act(&mut self.node, &observer, &mut told);
        let bytes =
            |told: &Output| if let Output::Send { bytes, .. } = told { bytes.len() as u64 } else { 0 };
        self.bytes += told.iter().map(bytes).sum::<u64>();
        out.extend(told.into_iter().map(|told| match told {
            Output::Send { to, bytes } => SchedulerOutput::Send(to, bytes),
            other => SchedulerOutput::Permits(other),
        }));
        done
    }
}

fn seen(told: Vec<MembershipOutput>, out: &mut Vec<SchedulerOutput>) {
    out.extend(told.into_iter().map(|told| match told {
        MembershipOutput::Send { to, bytes } => SchedulerOutput::Send(to, bytes),
        other => SchedulerOutput::Membership(other),
    }));
}

impl VirtualNode for Scheduler {
    type Out = SchedulerOutput;

    fn handle(&mut self, now: Micros, from: MemberId, bytes: &[u8], out: &mut Vec<SchedulerOutput>) {
        if bytes.first() == Some(&VERSION) {
            self.with_node(now, out, |node, observer, out| node.handle(now, from, bytes, observer, out));
        } else {
            let mut told = Vec::new();
            self.membership.handle(now, from, bytes, &mut told);
            seen(told, out);
        }
    }

    fn wake(&mut self, now: Micros, out: &mut Vec<SchedulerOutput>) {
        if now >= self.tell_runs {
            self.tell_runs = now + VERSION_REPORT_INTERVAL_US;
            self.membership.publish_fact(
                now,
                RUNS,
                &encode_counters(&[self.runs.into()]),
                VERSION_REPORT_INTERVAL_US * 4,
            );
        }
        if self.membership.next_due() <= now {
            let mut told = Vec::new();
            self.membership.wake(now, &mut told);
            seen(told, out);
        }
        if self.node.next_due() <= now {
            self.with_node(now, out, |node, observer, out| node.wake(now, observer, out));
        }
    }

    fn next_due(&self) -> Micros {
        self.membership.next_due().min(self.node.next_due()).min(self.tell_runs)
    }

    fn datagram(out: SchedulerOutput) -> Result<(MemberId, Vec<u8>), SchedulerOutput> {
        match out {
            SchedulerOutput::Send(to, bytes) => Ok((to, bytes)),
            other => Err(other),
        }
    }
}

/// An operator's question that is out, by whom it was asked and its number there.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    request: PermitRequest,
    /// On the clock of whom it was asked through.
    since: Micros,
}

/// An answer that an operator has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperatorAnswer {
    /// When, in the world's time.
    pub at: Micros,
    /// Through whom it was asked.
    pub through: MemberId,
    /// What was wanted.
    pub request: PermitRequest,
    /// The answer.
    pub answer: crate::request_table::PermitResult,
    /// Until when it may be acted on, on that one's clock.
    pub until: Micros,
}

/// The fleet, its network and its operators.
pub struct VirtualFleet {
    /// The network with all schedulers.
    pub net: VirtualNetwork<Scheduler>,
    settings: PermitSettings,
    workers: Observations,
    sites: Vec<Site>,
    asked: BTreeMap<(MemberId, u32), PendingRequest>,
    planted: Option<Fault>,
    /// Answers that operators have had.
    pub answers: Vec<OperatorAnswer>,
}

/// The platform's wall clock at the world's beginning, in milliseconds since the beginning of 2026.
const EPOCH_MS: u64 = 28_000_000_000;

impl VirtualFleet {
    /// So many schedulers by these settings, none of them started.
    pub fn new(size: MemberId, settings: PermitSettings, workers: Observations, link: LinkFaults) -> Self {
        let net = VirtualNetwork::new(size, settings.seed, link);
        Self {
            net,
            settings,
            workers,
            sites: Vec::new(),
            asked: BTreeMap::new(),
            planted: None,
            answers: Vec::new(),
        }
    }

    /// Whoever starts from now on is a gateway at one of these sites.
    pub fn set_sites(&mut self, sites: Vec<Site>) {
        self.sites = sites;
    }

    /// Whoever starts from now on has this fault.
    #[doc(hidden)]
    pub fn inject(&mut self, fault: Fault) {
        self.planted = Some(fault);
    }

    /// Starts a scheduler, which knows nothing of an earlier life.
    pub fn start(&mut self, of: MemberId) {
        self.start_with_version(of, 0);
    }

    /// As [`VirtualFleet::start`], with the mark of the version that it runs.
    pub fn start_with_version(&mut self, of: MemberId, runs: u32) {
        let (size, now) = (self.net.numbers().end, self.net.clock(of));
        let wall = EPOCH_MS + self.net.now / 1_000;
        let life = self.net.draw(u64::from(u32::MAX)) as u32;
        let settings = PermitSettings { own: of, incarnation: life, ..self.settings.clone() };
        let membership = Membership::new(MembershipSettings::new(size, of, wall, self.settings.seed), now);
        let (Ok(membership), Ok(mut node)) = (membership, PermitNode::new(settings, now)) else { return };
        self.planted.into_iter().for_each(|fault| node.inject(fault, now));
        let wall_ms = wall - now / 1_000;
        let scheduler = Scheduler {
            membership,
            node,
            workers: self.workers.clone(),
            places: SiteMap::new(self.sites.clone(), of).map(|places| (places, self.settings.settle)),
            wall_ms,
            bytes: 0,
            runs,
            tell_runs: now,
        };
        self.net.put(of, scheduler);
    }

    /// What all are told of workers from now on.
    pub fn set_workers(&mut self, workers: Observations) {
        for of in self.net.numbers() {
            self.net.node_mut(of).into_iter().for_each(|one| one.workers.clone_from(&workers));
        }
        self.workers = workers;
    }

    /// An operator asks for something through a scheduler that is up.
    pub fn submit(&mut self, by: MemberId, request: PermitRequest) {
        let mut tag = None;
        self.net.act(by, |one, now, out| {
            let asked =
                one.with_node(now, out, |node, observer, out| node.submit(now, request, observer, out));
            tag = Some((asked, now));
        });
        if let Some((tag, since)) = tag {
            self.asked.insert((by, tag), PendingRequest { request, since });
        }
    }

    /// Bytes that living members have sent for what is agreed, their views aside.
    pub fn permit_bytes_sent(&self) -> u64 {
        self.net.numbers().filter_map(|of| self.net.node(of)).map(|one| one.bytes).sum()
    }

    /// Runs until this time, and reads the answers that have come.
    pub fn run(&mut self, until: Micros) {
        self.net.run(until);
        for (at, by, told) in &self.net.told {
            let SchedulerOutput::Permits(Output::Answered { tag, answer }) = told else { continue };
            let Some(PendingRequest { request, since }) = self.asked.remove(&(*by, *tag)) else { continue };
            let until = since + self.settings.times.lease;
            self.answers.push(OperatorAnswer { at: *at, through: *by, request, answer: *answer, until });
        }
        self.net.told.clear();
    }

    /// The schedulers that are leaders, by their own word.
    pub fn leaders(&self) -> Vec<MemberId> {
        let is = |of: &MemberId| self.net.node(*of).is_some_and(|one| one.node.is_leader());
        self.net.numbers().filter(is).collect()
    }

    /// Whether a scheduler does not run.
    pub fn is_down(&self, subject: Subject) -> bool {
        matches!(subject, Subject::Scheduler(of) if self.net.node(of).is_none())
    }
}
