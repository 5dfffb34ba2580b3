//! A fleet of schedulers in virtual time that are taken out of service and brought back by permits, while parts of the
//! fleet fail: for tests and measurements.
//!
//! Operators act as the `fleet` command does: an operator requests a permit through a scheduler, checks the time before
//! acting on it, and returns it when done. Which schedulers really are down is known here, whatever the members
//! observe.

use crate::bounds::Observations;
use crate::node::{Fault, Output, PermitNode};
use crate::observer::{MembershipObserver, observe_sites};
use crate::settings::PermitSettings;
use crate::state::Subject;
use crate::wire::{PermitRequest, VERSION};
use basaltward_membership::{
    LinkFaults, MemberId, Membership, MembershipSettings, Micros, Output as MembershipOutput, Site, SiteMap,
    VERSION_KEY, VirtualNetwork, VirtualNode, encode_counters,
};
use std::collections::BTreeMap;

/// The interval at which each scheduler publishes the version that it runs.
const VERSION_REPORT_INTERVAL_US: Micros = 5_000_000;

/// A scheduler: its membership and its permit node.
pub struct Scheduler {
    /// The membership.
    pub membership: Membership,
    /// The permit node.
    pub node: PermitNode,
    workers: Observations,
    /// The sites of all gateways, and the time in microseconds after which one that is not live counts as lost.
    site_map: Option<(SiteMap, Micros)>,
    wall_ms: u64,
    /// Bytes of permit datagrams sent.
    bytes: u64,
    version: u32,
    next_version_report: Micros,
}

/// An output of a scheduler.
pub enum SchedulerOutput {
    /// A datagram to another scheduler.
    Send(MemberId, Vec<u8>),
    /// An output of its membership.
    Membership(MembershipOutput),
    /// An output of its permit node.
    Permits(Output),
}

impl Scheduler {
    /// Calls `act` with the permit node and its observer, and collects the outputs.
    pub fn with_node<T>(
        &mut self,
        now: Micros,
        out: &mut Vec<SchedulerOutput>,
        act: impl FnOnce(&mut PermitNode, &MembershipObserver, &mut Vec<Output>) -> T,
    ) -> T {
        let wall_ms = self.wall_ms + now / 1_000;
        let (membership, workers, site_map) = (&self.membership, &self.workers, &self.site_map);
        let observations = |now| {
            let mut observations = workers.clone();
            observations.extend(
                site_map
                    .iter()
                    .flat_map(|(site_map, settle)| observe_sites(membership, site_map, *settle, now)),
            );
            observations
        };
        let observer = MembershipObserver { membership, zones: &[], workers: &observations, wall_ms };
        let mut outputs = Vec::new();
        let result = act(&mut self.node, &observer, &mut outputs);
        let bytes =
            |output: &Output| if let Output::Send { bytes, .. } = output { bytes.len() as u64 } else { 0 };
        self.bytes += outputs.iter().map(bytes).sum::<u64>();
        out.extend(outputs.into_iter().map(|output| match output {
            Output::Send { to, bytes } => SchedulerOutput::Send(to, bytes),
            other => SchedulerOutput::Permits(other),
        }));
        result
    }
}

fn collect(outputs: Vec<MembershipOutput>, out: &mut Vec<SchedulerOutput>) {
    out.extend(outputs.into_iter().map(|output| match output {
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
            let mut outputs = Vec::new();
            self.membership.handle(now, from, bytes, &mut outputs);
            collect(outputs, out);
        }
    }

    fn wake(&mut self, now: Micros, out: &mut Vec<SchedulerOutput>) {
        if now >= self.next_version_report {
            self.next_version_report = now + VERSION_REPORT_INTERVAL_US;
            self.membership.publish_fact(
                now,
                VERSION_KEY,
                &encode_counters(&[self.version.into()]),
                VERSION_REPORT_INTERVAL_US * 4,
            );
        }
        if self.membership.next_due() <= now {
            let mut outputs = Vec::new();
            self.membership.wake(now, &mut outputs);
            collect(outputs, out);
        }
        if self.node.next_due() <= now {
            self.with_node(now, out, |node, observer, out| node.wake(now, observer, out));
        }
    }

    fn next_due(&self) -> Micros {
        self.membership.next_due().min(self.node.next_due()).min(self.next_version_report)
    }

    fn into_datagram(out: SchedulerOutput) -> Result<(MemberId, Vec<u8>), SchedulerOutput> {
        match out {
            SchedulerOutput::Send(to, bytes) => Ok((to, bytes)),
            other => Err(other),
        }
    }
}

/// An operator's request in flight.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    request: PermitRequest,
    /// When it was submitted, by the clock of the scheduler that it goes through.
    submitted_at: Micros,
}

/// A reply that an operator has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperatorAnswer {
    /// When it was received, in virtual time.
    pub at: Micros,
    /// The scheduler through which the request was submitted.
    pub through: MemberId,
    /// The request.
    pub request: PermitRequest,
    /// The reply.
    pub answer: crate::request_table::PermitResult,
    /// Until when it may be acted on, by that scheduler's clock.
    pub until: Micros,
}

/// The fleet, its network and its operators.
pub struct VirtualFleet {
    /// The network with all schedulers.
    pub net: VirtualNetwork<Scheduler>,
    settings: PermitSettings,
    workers: Observations,
    sites: Vec<Site>,
    /// Requests in flight, by the scheduler that they go through and their tag there.
    pending: BTreeMap<(MemberId, u32), PendingRequest>,
    fault: Option<Fault>,
    /// Replies that operators have received.
    pub answers: Vec<OperatorAnswer>,
}

/// The wall clock at the beginning of virtual time, in milliseconds since the beginning of 2026.
const EPOCH_MS: u64 = 28_000_000_000;

impl VirtualFleet {
    /// A fleet of `size` schedulers with these settings, none of them started.
    pub fn new(size: MemberId, settings: PermitSettings, workers: Observations, link: LinkFaults) -> Self {
        let net = VirtualNetwork::new(size, settings.seed, link);
        Self {
            net,
            settings,
            workers,
            sites: Vec::new(),
            pending: BTreeMap::new(),
            fault: None,
            answers: Vec::new(),
        }
    }

    /// Schedulers started from now on are gateways at these sites, listed by scheduler number.
    pub fn set_sites(&mut self, sites: Vec<Site>) {
        self.sites = sites;
    }

    /// Schedulers started from now on have this fault.
    #[doc(hidden)]
    pub fn inject(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    /// Starts a scheduler as a new incarnation without any state.
    pub fn start(&mut self, member: MemberId) {
        self.start_with_version(member, 0);
    }

    /// Like [`VirtualFleet::start`], with the hash of the version that the scheduler runs.
    pub fn start_with_version(&mut self, member: MemberId, version: u32) {
        let (size, now) = (self.net.node_ids().end, self.net.clock(member));
        let wall = EPOCH_MS + self.net.now / 1_000;
        let incarnation = self.net.random_below(u64::from(u32::MAX)) as u32;
        let settings = PermitSettings { own: member, incarnation, ..self.settings.clone() };
        let membership =
            Membership::new(MembershipSettings::new(size, member, wall, self.settings.seed), now);
        let (Ok(membership), Ok(mut node)) = (membership, PermitNode::new(settings, now)) else { return };
        self.fault.into_iter().for_each(|fault| node.inject(fault, now));
        let wall_ms = wall - now / 1_000;
        let scheduler = Scheduler {
            membership,
            node,
            workers: self.workers.clone(),
            site_map: SiteMap::new(self.sites.clone(), member)
                .map(|site_map| (site_map, self.settings.settle)),
            wall_ms,
            bytes: 0,
            version,
            next_version_report: now,
        };
        self.net.insert(member, scheduler);
    }

    /// Replaces the observations of workers at all schedulers, also at those started later.
    pub fn set_workers(&mut self, workers: Observations) {
        for member in self.net.node_ids() {
            self.net
                .node_mut(member)
                .into_iter()
                .for_each(|scheduler| scheduler.workers.clone_from(&workers));
        }
        self.workers = workers;
    }

    /// An operator submits a request through a scheduler, which has to be up.
    pub fn submit(&mut self, through: MemberId, request: PermitRequest) {
        let mut submitted = None;
        self.net.with_node(through, |scheduler, now, out| {
            let tag =
                scheduler.with_node(now, out, |node, observer, out| node.submit(now, request, observer, out));
            submitted = Some((tag, now));
        });
        if let Some((tag, submitted_at)) = submitted {
            self.pending.insert((through, tag), PendingRequest { request, submitted_at });
        }
    }

    /// Bytes of permit datagrams that the running schedulers have sent; datagrams of the membership are not included.
    pub fn permit_bytes_sent(&self) -> u64 {
        self.net.node_ids().filter_map(|member| self.net.node(member)).map(|scheduler| scheduler.bytes).sum()
    }

    /// Runs until this time and collects the replies received.
    pub fn run(&mut self, until: Micros) {
        self.net.run_until(until);
        for (at, through, output) in &self.net.outputs {
            let SchedulerOutput::Permits(Output::Answered { tag, answer }) = output else { continue };
            let Some(pending) = self.pending.remove(&(*through, *tag)) else { continue };
            let PendingRequest { request, submitted_at } = pending;
            let until = submitted_at + self.settings.times.lease;
            self.answers.push(OperatorAnswer { at: *at, through: *through, request, answer: *answer, until });
        }
        self.net.outputs.clear();
    }

    /// The schedulers that consider themselves leader.
    pub fn leaders(&self) -> Vec<MemberId> {
        let is_leader =
            |member: &MemberId| self.net.node(*member).is_some_and(|scheduler| scheduler.node.is_leader());
        self.net.node_ids().filter(is_leader).collect()
    }

    /// Whether a subject is a scheduler that does not run.
    pub fn is_down(&self, subject: Subject) -> bool {
        matches!(subject, Subject::Scheduler(member) if self.net.node(member).is_none())
    }
}
