//! What a node sees of the fleet: schedulers by its membership, sites by their gateways, workers as it is told of them.
//! Nothing is kept here; observations are put together when they are looked at.

use crate::bounds::{Observation, Observations};
use crate::node::FleetObserver;
use crate::state::Subject;
use basaltward_membership::{
    Member, MemberId, MemberState, Membership, Micros, RUNS, SiteMap, decode_counters,
};

/// See the module's page.
pub struct MembershipObserver<'a> {
    /// The view.
    pub membership: &'a Membership,
    /// Zones of the schedulers, by number; those that are not told are in zone 0.
    pub zones: &'a [u8],
    /// Workers, by what the bulletin tells, and sites, see [`sites`]: put together when they are looked at, which few datagrams lead to.
    pub workers: &'a dyn Fn(Micros) -> Observations,
    /// The wall clock, in milliseconds since the beginning of 2026.
    pub wall_ms: u64,
}

impl FleetObserver for MembershipObserver<'_> {
    fn observations(&self, now: Micros) -> Observations {
        let runs = |of: usize| {
            let told =
                self.membership.fact_of_current_life(now, of as MemberId, RUNS).and_then(decode_counters)?;
            told.first().and_then(|mark| u32::try_from(*mark).ok())
        };
        let seen = |(of, entry): (usize, &Member)| {
            // One that is suspected is not known to be in use.
            let used = (entry.state == MemberState::Up).then(|| now.saturating_sub(entry.since));
            let life = (entry.incarnation.start / 1_000) as u16;
            let zone = self.zones.get(of).copied().unwrap_or(0);
            (
                Subject::Scheduler(of as MemberId),
                Observation {
                    zone,
                    incarnation: life,
                    in_use_for: used,
                    holds_last_copy: false,
                    running_version: runs(of),
                },
            )
        };
        let mut observations: Observations = self.membership.members().iter().enumerate().map(seen).collect();
        observations.extend((self.workers)(now));
        observations
    }

    fn live(&self) -> Vec<MemberId> {
        let own = self.membership.own();
        let live = |(of, entry): (usize, &Member)| {
            (entry.state.is_live() && of != usize::from(own)).then_some(of as MemberId)
        };
        self.membership.members().iter().enumerate().filter_map(live).collect()
    }

    fn wall_ms(&self) -> u64 {
        self.wall_ms
    }
}

/// Sites and the gateways of all others, as a view shows them: out of use is one of which nothing was live for the
/// settling time. A gateway counts by itself only while its site lives.
pub fn observe_sites(membership: &Membership, places: &SiteMap, settle: Micros, now: Micros) -> Observations {
    let used = |of: MemberId| {
        let entry = &membership.members()[usize::from(of)];
        let since = now.saturating_sub(entry.since);
        match entry.state.is_live() || of == membership.own() {
            true => Some(if entry.state == MemberState::Up { since } else { 0 }),
            false => (since < settle).then_some(0),
        }
    };
    let seen = |used, life| Observation {
        zone: 0,
        incarnation: life,
        in_use_for: used,
        holds_last_copy: false,
        running_version: None,
    };
    let life = |of: MemberId| (membership.members()[usize::from(of)].incarnation.start / 1_000) as u16;
    let mut observations = Observations::new();
    for site in places.sites() {
        let members: Vec<MemberId> =
            places.members(site).filter(|of| usize::from(*of) < membership.members().len()).collect();
        let lives = members.iter().filter_map(|of| used(*of)).max();
        observations.insert(Subject::Site(site), seen(lives, 0));
        for of in members {
            // Of a lost site each gateway is lost, which one permit for all of them says.
            let used = if lives.is_none() { Some(0) } else { used(of) };
            observations.insert(Subject::Gateway(of), seen(used, life(of)));
        }
    }
    observations
}
