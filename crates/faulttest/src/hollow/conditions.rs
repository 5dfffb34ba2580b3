//! Simulated network between members: delays by zone and region, loss, duplication, jitter and partitions.

use super::topology::Topology;
use basaltward_membership::MemberId;
use basaltward_net::Micros;
use rand::RngExt;

/// One-way delays, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delays {
    /// Within a zone.
    pub within_zone_us: Micros,
    /// Between zones of the same region.
    pub between_zones_us: Micros,
    /// Between regions.
    pub between_regions_us: Micros,
}

impl Default for Delays {
    /// The delays that the capacity plan assumes.
    fn default() -> Self {
        Self { within_zone_us: 300, between_zones_us: 1_500, between_regions_us: 60_000 }
    }
}

/// A set of members that is cut off from all others; its members still reach one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partition {
    /// The members of a zone.
    Zone(usize),
    /// The members of a region.
    Region(usize),
}

/// State of the simulated network.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkConditions {
    /// Zones and regions of the members.
    pub topology: Topology,
    /// One-way delays.
    pub delays: Delays,
    /// Maximum extra delay as a share of the delay, drawn evenly for each datagram.
    pub jitter: f64,
    /// Share of datagrams that are lost.
    pub loss_rate: f64,
    /// Share of the remaining datagrams that are duplicated.
    pub duplicate_rate: f64,
    /// The current partition, if any.
    pub partition: Option<Partition>,
}

impl NetworkConditions {
    /// Draws the delays of a datagram's copies: no copy if it is lost, two if it is duplicated.
    pub fn copy_delays(&self, from: MemberId, to: MemberId, rng: &mut impl RngExt) -> [Option<Micros>; 2] {
        if self.is_cut(from, to) || rng.random_bool(self.loss_rate) {
            return [None, None];
        }
        let duplicated = rng.random_bool(self.duplicate_rate);
        let mut delay = || Some(self.delay(from, to, rng.random_range(0.0..=1.0)));
        [delay(), duplicated.then(delay).flatten()]
    }

    fn is_cut(&self, from: MemberId, to: MemberId) -> bool {
        match self.partition {
            Some(Partition::Zone(zone)) => {
                (self.topology.zone(from) == zone) != (self.topology.zone(to) == zone)
            }
            Some(Partition::Region(region)) => {
                (self.topology.region(from) == region) != (self.topology.region(to) == region)
            }
            None => false,
        }
    }

    /// The delay between two members with this share of the jitter.
    fn delay(&self, from: MemberId, to: MemberId, share: f64) -> Micros {
        let (here, there) = (self.topology.zone(from), self.topology.zone(to));
        let base = if here == there {
            self.delays.within_zone_us
        } else if self.topology.region_of_zone(here) == self.topology.region_of_zone(there) {
            self.delays.between_zones_us
        } else {
            self.delays.between_regions_us
        };
        base + (base as f64 * self.jitter * share) as Micros
    }
}
