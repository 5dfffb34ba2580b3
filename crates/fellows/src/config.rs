use crate::FellowsError;
use basaltward_agreed::{AgreedSettings, Bounds};
use basaltward_fleet::{FleetSettings, Micros, Number, Places};
use std::net::{IpAddr, SocketAddr};

/// What a program is told of its fellows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FellowsConfig {
    /// Names the fleet: datagrams and connections of another are refused.
    pub name: String,
    /// Where datagrams of the others come.
    pub listen: SocketAddr,
    /// Where each is reached and comes from, by number, our own included.
    pub peers: Vec<SocketAddr>,
    /// Our number in `peers`.
    pub own: Number,
    /// For choices.
    pub seed: u64,
    /// From where operators may ask.
    pub operators: Vec<IpAddr>,
    /// The zone of each of `peers`, as a number; those that are not told stand in the first.
    pub zones: Vec<u8>,
    /// How many may be out at once, where the fleet agrees on that; without, we have no part in what is agreed.
    pub bounds: Option<Bounds>,
    /// Which of `peers` stands at which site, where sites may be taken over.
    pub places: Option<Places>,
    /// The version that this configuration and its program are, by its operators' name.
    pub version: String,
    /// Longest way of a datagram there and back that is not lost.
    pub round_trip: Micros,
}

impl FellowsConfig {
    /// The usual longest way: the platform's datagrams take up to 33 ms each way.
    pub const ROUND_TRIP: Micros = 70_000;

    /// A hash of the fleet's name: members of another are not heeded. Not of its size, as a new list reaches
    /// members one after another.
    pub(crate) fn tag(&self) -> u32 {
        crc32fast::hash(self.name.as_bytes())
    }

    /// Figures of the view.
    pub(crate) fn view(&self, start: u64) -> Result<FleetSettings, FellowsError> {
        let size = Number::try_from(self.peers.len()).map_err(|_| FellowsError::Many(self.peers.len()))?;
        let usual = FleetSettings::new(size, self.own, start, self.seed);
        // A period holds a question there and back, then one through others.
        let period = usual.period.max(self.round_trip * 3);
        let settings =
            FleetSettings { fleet: (self.tag() >> 16) as u16, round_trip: self.round_trip, period, ..usual };
        settings.check()?;
        Ok(settings)
    }

    /// Figures of what is agreed, in one life.
    pub(crate) fn agreed(&self, view: &FleetSettings, life: u32) -> Option<AgreedSettings> {
        let usual = AgreedSettings::new(view.size, view.own, life, view.seed);
        let settle = view.settling();
        let times = basaltward_agreed::Times { learning: usual.times.silence + settle, ..usual.times };
        Some(AgreedSettings { fleet: view.fleet, bounds: self.bounds?, settle, times, ..usual })
    }
}
