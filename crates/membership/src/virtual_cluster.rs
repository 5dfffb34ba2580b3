//! A simulated cluster of memberships in virtual time, for tests and benchmarks.

use crate::members::Membership;
use crate::output::{MembershipCounters, Output};
use crate::settings::MembershipSettings;
use crate::types::{MemberId, MemberState, Micros};
use crate::virtual_network::{LinkFaults, VirtualNetwork, VirtualNode};
use std::ops::{Deref, DerefMut};

impl VirtualNode for Membership {
    type Out = Output;

    fn handle(&mut self, now: Micros, from: MemberId, bytes: &[u8], out: &mut Vec<Output>) {
        Membership::handle(self, now, from, bytes, out);
    }

    fn wake(&mut self, now: Micros, out: &mut Vec<Output>) {
        Membership::wake(self, now, out);
    }

    fn next_due(&self) -> Micros {
        Membership::next_due(self)
    }

    fn into_datagram(out: Output) -> Result<(MemberId, Vec<u8>), Output> {
        match out {
            Output::Send { to, bytes } => Ok((to, bytes)),
            told @ (Output::Changed { .. } | Output::Superseded { .. }) => Err(told),
        }
    }
}

/// The members and their simulated network.
pub struct VirtualCluster {
    settings: MembershipSettings,
    net: VirtualNetwork<Membership>,
    /// Counters of ended lives.
    ended_counters: MembershipCounters,
}

impl Deref for VirtualCluster {
    type Target = VirtualNetwork<Membership>;

    fn deref(&self) -> &VirtualNetwork<Membership> {
        &self.net
    }
}

impl DerefMut for VirtualCluster {
    fn deref_mut(&mut self) -> &mut VirtualNetwork<Membership> {
        &mut self.net
    }
}

/// The members' wall clock at the beginning of the simulation, in milliseconds since the beginning of 2026.
const EPOCH_MS: u64 = 28_000_000_000;

impl VirtualCluster {
    /// Creates a cluster of `settings.size` members, none of them started.
    pub fn new(settings: MembershipSettings, link: LinkFaults) -> Self {
        let net = VirtualNetwork::new(settings.size, settings.seed, link);
        Self { settings, net, ended_counters: MembershipCounters::default() }
    }

    /// The membership of a running member.
    pub fn membership(&self, of: MemberId) -> Option<&Membership> {
        self.node(of)
    }

    /// Injects a fault into a running member, see [`Membership::inject_fault`].
    #[doc(hidden)]
    pub fn inject_fault(&mut self, of: MemberId, newer: crate::members::OverrideRule) {
        self.node_mut(of).into_iter().for_each(|membership| membership.inject_fault(newer));
    }

    /// Changes the size of the configured list. Members beyond a smaller list are killed. Running members keep the old list
    /// until the caller applies [`Membership::resize`](crate::Membership::resize) to them; members started from now on have
    /// the new one.
    pub fn resize(&mut self, size: MemberId) {
        (size..self.settings.size).for_each(|of| self.kill(of));
        self.settings.size = size;
        self.set_size(size);
    }

    /// Starts a member, without any state from an earlier life.
    pub fn start(&mut self, of: MemberId) {
        self.start_at(of, EPOCH_MS + self.now / 1_000);
    }

    /// As [`VirtualCluster::start`], with the given wall-clock time, in milliseconds since the beginning of 2026.
    pub fn start_at(&mut self, of: MemberId, start: u64) {
        let settings = MembershipSettings { own: of, start, ..self.settings };
        let Ok(membership) = Membership::new(settings, self.clock(of)) else { return };
        let ended = self.insert(of, membership);
        self.add_ended_counters(ended);
    }

    fn add_ended_counters(&mut self, ended: Option<Membership>) {
        self.ended_counters =
            ended.map_or(self.ended_counters, |membership| sum(self.ended_counters, membership.counters()));
    }

    /// Kills a member without notice to the others.
    pub fn kill(&mut self, of: MemberId) {
        let ended = self.net.kill(of);
        self.add_ended_counters(ended);
    }

    /// Stops a member in good order: it announces that it has stopped, and ends.
    pub fn stop(&mut self, of: MemberId) {
        self.with_node(of, |membership, now, out| membership.stop(now, out));
        self.kill(of);
    }

    /// Runs until a condition holds, checked every 10 ms of virtual time. Returns that time, or `None` if the condition does
    /// not hold by `until`.
    pub fn run_until_condition(&mut self, until: Micros, holds: impl Fn(&Self) -> bool) -> Option<Micros> {
        while self.now < until {
            let next = (self.now + 10_000).min(until);
            self.run_until(next);
            if holds(self) {
                return Some(self.now);
            }
        }
        None
    }

    /// Whether all running members of a group have the same, correct view: the running members of the group are live and no
    /// others.
    pub fn agrees(&self, group: &[MemberId]) -> bool {
        let up: Vec<_> = group.iter().copied().filter(|of| self.is_up(*of)).collect();
        let digest = up.first().and_then(|of| self.membership(*of)).map(Membership::digest);
        up.iter().all(|of| {
            let membership = self.membership(*of);
            membership.is_some_and(|membership| {
                let live = |other: MemberId| {
                    membership.members().get(usize::from(other)).is_some_and(|e| e.state.is_live())
                };
                Some(membership.digest()) == digest
                    && self.node_ids().all(|other| live(other) == up.contains(&other))
            })
        })
    }

    /// Pairs of running members of which the first has the second as gone.
    pub fn falsely_gone(&self) -> Vec<(MemberId, MemberId)> {
        let up: Vec<_> = self.node_ids().filter(|of| self.is_up(*of)).collect();
        let gone = |of: &MemberId, other: &MemberId| {
            let member =
                |membership: &Membership| membership.members().get(usize::from(*other)).map(|e| e.state);
            self.membership(*of).and_then(member) == Some(MemberState::Gone)
        };
        let pairs = up.iter().flat_map(|of| up.iter().map(move |other| (*of, *other)));
        pairs.filter(|(of, other)| gone(of, other)).collect()
    }

    /// Sums of the counters of all members, ended lives included.
    pub fn counters(&self) -> MembershipCounters {
        let living = self.node_ids().filter_map(|of| self.membership(of)).map(Membership::counters);
        living.fold(self.ended_counters, sum)
    }
}

fn sum(a: MembershipCounters, b: MembershipCounters) -> MembershipCounters {
    MembershipCounters {
        sent: (a.sent.0 + b.sent.0, a.sent.1 + b.sent.1),
        received: a.received + b.received,
        dropped: a.dropped + b.dropped,
        suspicions: a.suspicions + b.suspicions,
        declared_gone: a.declared_gone + b.declared_gone,
        refutations: a.refutations + b.refutations,
        later_lives: a.later_lives + b.later_lives,
        stalls: a.stalls + b.stalls,
    }
}
