//! Assignment of members to zones and regions.

use basaltward_membership::MemberId;

/// Members in zones of nearly equal size, and zones in regions. Both are assigned by contiguous numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Topology {
    /// Number of members.
    pub members: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of regions, at most the number of zones.
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
