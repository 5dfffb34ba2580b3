//! Placement of the members of a simulated fleet in zones and regions, and the delay of a datagram between two of them.
//!
//! Members are numbered zone by zone; zones are spread over the regions in order, the first region taking the larger
//! part. A delay is drawn between the stated one-way time and a tenth above it.

use basaltward_membership::{DelayFn, MemberId, Micros};
use std::ops::Range;

/// Number of availability zones over all regions, as in the plan of the capacity page.
pub const ZONES: MemberId = 7;
/// Zones in the first region; the others are in the second.
const ZONES_OF_FIRST_REGION: MemberId = 4;
/// Members that one switch serves.
const RACK_MEMBERS: MemberId = 40;
/// A delay varies by the one-way time divided by this.
const JITTER_DIVISOR: Micros = 10;

/// One-way times of a datagram, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OneWayUs {
    /// Between two members of one zone.
    pub zone: Micros,
    /// Between zones of one region.
    pub region: Micros,
    /// Between regions.
    pub between_regions: Micros,
}

/// Placement of the members of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    size: MemberId,
    one_way: OneWayUs,
}

impl Layout {
    /// A fleet of `size` members in [`ZONES`] zones of two regions.
    pub fn new(size: MemberId, one_way: OneWayUs) -> Self {
        Self { size, one_way }
    }

    /// The zone of a member, from 0.
    pub fn zone_of(&self, member: MemberId) -> MemberId {
        (u32::from(member) * u32::from(ZONES) / u32::from(self.size.max(1))) as MemberId
    }

    /// Whether a member is in the first region.
    fn in_first_region(&self, member: MemberId) -> bool {
        self.zone_of(member) < ZONES_OF_FIRST_REGION
    }

    /// The members of a zone.
    pub fn members_of_zone(&self, zone: MemberId) -> Vec<MemberId> {
        (0..self.size).filter(|member| self.zone_of(*member) == zone).collect()
    }

    /// The members of a rack: the first [`RACK_MEMBERS`] of the second zone and, in a fleet of small zones, those
    /// that follow.
    pub fn members_of_rack(&self) -> Range<MemberId> {
        let first = self.members_of_zone(1).first().copied().unwrap_or(0);
        first..(first + RACK_MEMBERS).min(self.size)
    }

    /// The delay range of each pair of members; `None`, which loses the datagram, between regions if `partitioned`.
    pub fn delays(self, partitioned: bool) -> DelayFn {
        Box::new(move |from, to| {
            let is_between_regions = self.in_first_region(from) != self.in_first_region(to);
            let one_way = match self.zone_of(from) == self.zone_of(to) {
                true => self.one_way.zone,
                false if is_between_regions => self.one_way.between_regions,
                false => self.one_way.region,
            };
            (!(partitioned && is_between_regions)).then_some((one_way, one_way + one_way / JITTER_DIVISOR))
        })
    }
}
