//! What becomes of a datagram between two members: delay by zones and regions, loss, cuts.

use super::topology::Topology;
use basaltward_membership::MemberId;
use basaltward_net::Micros;
use rand::RngExt;

/// One-way delays, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delays {
    /// Inside a zone.
    pub within_zone_us: Micros,
    /// Between two zones of a region.
    pub between_zones_us: Micros,
    /// Between regions.
    pub between_regions_us: Micros,
}

impl Default for Delays {
    /// The hop times of the capacity plan.
    fn default() -> Self {
        Self { within_zone_us: 300, between_zones_us: 1_500, between_regions_us: 60_000 }
    }
}

/// Who is cut off from all others; inside, all reach one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partition {
    /// A zone.
    Zone(usize),
    /// A region.
    Region(usize),
}

/// How the links are at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkConditions {
    /// Where members stand.
    pub topology: Topology,
    /// One-way delays.
    pub delays: Delays,
    /// A datagram takes up to this share of its delay longer, drawn evenly.
    pub jitter: f64,
    /// Share of datagrams lost.
    pub loss_rate: f64,
    /// Share of datagrams that come twice.
    pub duplicate_rate: f64,
    /// Who is cut off.
    pub partition: Option<Partition>,
}

impl NetworkConditions {
    /// The delays after which a datagram's copies arrive: none where it is lost, two where it is doubled.
    pub fn copy_delays(&self, from: MemberId, to: MemberId, rng: &mut impl RngExt) -> [Option<Micros>; 2] {
        if self.is_cut(from, to) || rng.random_bool(self.loss_rate) {
            return [None, None];
        }
        let doubled = rng.random_bool(self.duplicate_rate);
        let mut late = || Some(self.delay(from, to, rng.random_range(0.0..=1.0)));
        [late(), doubled.then(late).flatten()]
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

    /// The delay of a way with this share of the jitter.
    fn delay(&self, from: MemberId, to: MemberId, share: f64) -> Micros {
        let (here, there) = (self.topology.zone(from), self.topology.zone(to));
        let least = if here == there {
            self.delays.within_zone_us
        } else if self.topology.region_of_zone(here) == self.topology.region_of_zone(there) {
            self.delays.between_zones_us
        } else {
            self.delays.between_regions_us
        };
        least + (least as f64 * self.jitter * share) as Micros
    }
}
