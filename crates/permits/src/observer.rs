//! What a node observes of the fleet: schedulers through the membership protocol, sites through their gateways, workers
//! as the caller reports them. Keeps no state; observations are computed on each call.

use crate::bounds::{Observation, Observations};
use crate::node::FleetObserver;
use crate::state::Subject;
use basaltward_membership::{
    Member, MemberId, MemberState, Membership, Micros, SiteMap, VERSION_KEY, decode_counters,
};

/// A [`FleetObserver`] on top of a membership.
pub struct MembershipObserver<'a> {
    /// The membership of the schedulers.
    pub membership: &'a Membership,
    /// Zones of the schedulers, by their number; those not listed are in zone 0.
    pub zones: &'a [u8],
    /// Observations of workers, from the bulletin, and of sites, see [`observe_sites`]. Called on demand, as few
    /// datagrams need them.
    pub workers: &'a dyn Fn(Micros) -> Observations,
    /// The wall clock, in milliseconds since the beginning of 2026.
    pub wall_ms: u64,
}

impl FleetObserver for MembershipObserver<'_> {
    fn observations(&self, now: Micros) -> Observations {
        let running_version = |member: usize| {
            let counters = self
                .membership
                .fact_of_current_life(now, member as MemberId, VERSION_KEY)
                .and_then(decode_counters)?;
            counters.first().and_then(|version| u32::try_from(*version).ok())
        };
        let observe = |(member, entry): (usize, &Member)| {
            // A suspected member is not known to be in use.
            let in_use_for = (entry.state == MemberState::Up).then(|| now.saturating_sub(entry.state_since));
            let incarnation = (entry.incarnation.start / 1_000) as u16;
            let zone = self.zones.get(member).copied().unwrap_or(0);
            (
                Subject::Scheduler(member as MemberId),
                Observation {
                    zone,
                    incarnation,
                    in_use_for,
                    holds_last_copy: false,
                    running_version: running_version(member),
                },
            )
        };
        let mut observations: Observations =
            self.membership.members().iter().enumerate().map(observe).collect();
        observations.extend((self.workers)(now));
        observations
    }

    fn live(&self) -> Vec<MemberId> {
        let own = self.membership.own();
        let live = |(member, entry): (usize, &Member)| {
            (entry.state.is_live() && member != usize::from(own)).then_some(member as MemberId)
        };
        self.membership.members().iter().enumerate().filter_map(live).collect()
    }

    fn wall_ms(&self) -> u64 {
        self.wall_ms
    }
}

/// Observations of all sites and their gateways, from the membership. A site is out of use once none of its gateways
/// was live for the settling time, a gateway once it was not live for that time. A gateway of a lost site is not out of
/// use on its own.
pub fn observe_sites(
    membership: &Membership,
    site_map: &SiteMap,
    settle: Micros,
    now: Micros,
) -> Observations {
    let in_use_for = |member: MemberId| {
        let entry = &membership.members()[usize::from(member)];
        let since = now.saturating_sub(entry.state_since);
        match entry.state.is_live() || member == membership.own() {
            true => Some(if entry.state == MemberState::Up { since } else { 0 }),
            false => (since < settle).then_some(0),
        }
    };
    let observation = |in_use_for, incarnation| Observation {
        zone: 0,
        incarnation,
        in_use_for,
        holds_last_copy: false,
        running_version: None,
    };
    let incarnation =
        |member: MemberId| (membership.members()[usize::from(member)].incarnation.start / 1_000) as u16;
    let mut observations = Observations::new();
    for site in site_map.sites() {
        let members: Vec<MemberId> = site_map
            .members_at(site)
            .filter(|member| usize::from(*member) < membership.members().len())
            .collect();
        let site_in_use = members.iter().filter_map(|member| in_use_for(*member)).max();
        observations.insert(Subject::Site(site), observation(site_in_use, 0));
        for member in members {
            // The one permit for a lost site covers all its gateways.
            let used = if site_in_use.is_none() { Some(0) } else { in_use_for(member) };
            observations.insert(Subject::Gateway(member), observation(used, incarnation(member)));
        }
    }
    observations
}
