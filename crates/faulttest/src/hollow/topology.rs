//! Which zone and region each member stands in.

use basaltward_membership::MemberId;

/// Members in zones of nearly equal size, zones in regions: both by contiguous numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Topology {
    /// Members in all.
    pub members: usize,
    /// Zones.
    pub zones: usize,
    /// Regions, at most as many as zones.
    pub regions: usize,
}

impl Topology {
    /// The zone of a member.
    pub fn zone(&self, member: MemberId) -> usize {
        usize::from(member) * self.zones / self.members.max(1)
    }

    /// The region of a zone.
    pub fn region_of_zone(&self, zone: usize) -> usize {
        zone * self.regions / self.zones.max(1)
    }

    /// The region of a member.
    pub fn region(&self, member: MemberId) -> usize {
        self.region_of_zone(self.zone(member))
    }

    /// The members of a zone.
    pub fn members_of_zone(&self, zone: usize) -> Vec<MemberId> {
        (0..self.members as MemberId).filter(|member| self.zone(*member) == zone).collect()
    }
}
