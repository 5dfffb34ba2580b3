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
            other @ (Output::Changed { .. } | Output::Superseded { .. }) => Err(other),
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
    pub fn membership(&self, id: MemberId) -> Option<&Membership> {
        self.node(id)
    }

    /// Injects a fault into a running member, see [`Membership::inject_fault`].
    #[doc(hidden)]
    pub fn inject_fault(&mut self, id: MemberId, rule: crate::members::OverrideRule) {
        self.node_mut(id).into_iter().for_each(|membership| membership.inject_fault(rule));
    }

    /// Changes the size of the configured list. Members beyond a smaller list are killed. Running members keep the old
    /// list until the caller applies [`Membership::resize`](crate::Membership::resize) to them; members started from
    /// now on have the new one.
    pub fn resize(&mut self, size: MemberId) {
        (size..self.settings.size).for_each(|id| self.kill(id));
        self.settings.size = size;
        self.set_size(size);
    }

    /// Starts a member, without any state from an earlier life.
    pub fn start(&mut self, id: MemberId) {
        self.start_at(id, EPOCH_MS + self.now / 1_000);
    }

    /// As [`VirtualCluster::start`], with the given wall-clock time, in milliseconds since the beginning of 2026.
    pub fn start_at(&mut self, id: MemberId, start: u64) {
        let settings = MembershipSettings { own: id, start, ..self.settings };
        let Ok(membership) = Membership::new(settings, self.clock(id)) else { return };
        let ended = self.insert(id, membership);
        self.add_ended_counters(ended);
    }

    fn add_ended_counters(&mut self, ended: Option<Membership>) {
        self.ended_counters =
            ended.map_or(self.ended_counters, |membership| sum(self.ended_counters, membership.counters()));
    }

    /// Kills a member without notice to the others.
    pub fn kill(&mut self, id: MemberId) {
        let ended = self.net.kill(id);
        self.add_ended_counters(ended);
    }

    /// Stops a member in good order: it announces that it has stopped, and ends.
    pub fn stop(&mut self, id: MemberId) {
        self.with_node(id, |membership, now, out| membership.stop(now, out));
        self.kill(id);
    }

    /// Runs until a condition holds, checked every 10 ms of virtual time. Returns that time, or `None` if the
    /// condition does not hold by `until`.
    pub fn run_until_condition(
        &mut self,
        until: Micros,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Micros> {
        while self.now < until {
            let next = (self.now + 10_000).min(until);
            self.run_until(next);
            if condition(self) {
                return Some(self.now);
            }
        }
        None
    }

    /// Whether all running members of a group have the same, correct view: the running members of the group are live
    /// and no others.
    pub fn agrees(&self, group: &[MemberId]) -> bool {
        let up: Vec<_> = group.iter().copied().filter(|id| self.is_up(*id)).collect();
        let digest = up.first().and_then(|id| self.membership(*id)).map(Membership::digest);
        up.iter().all(|id| {
            let membership = self.membership(*id);
            membership.is_some_and(|membership| {
                let live = |other: MemberId| {
                    membership.members().get(usize::from(other)).is_some_and(|member| member.state.is_live())
                };
                Some(membership.digest()) == digest
                    && self.node_ids().all(|other| live(other) == up.contains(&other))
            })
        })
    }

    /// Pairs of running members of which the first lists the second as gone.
    pub fn falsely_gone(&self) -> Vec<(MemberId, MemberId)> {
        let up: Vec<_> = self.node_ids().filter(|id| self.is_up(*id)).collect();
        let is_gone = |id: &MemberId, other: &MemberId| {
            let state = |membership: &Membership| {
                membership.members().get(usize::from(*other)).map(|member| member.state)
            };
            self.membership(*id).and_then(state) == Some(MemberState::Gone)
        };
        let pairs = up.iter().flat_map(|id| up.iter().map(move |other| (*id, *other)));
        pairs.filter(|(id, other)| is_gone(id, other)).collect()
    }

    /// Sums of the counters of all members, ended lives included.
    pub fn counters(&self) -> MembershipCounters {
        let running = self.node_ids().filter_map(|id| self.membership(id)).map(Membership::counters);
        running.fold(self.ended_counters, sum)
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
