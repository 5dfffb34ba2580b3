//! What a program is told of its peers, and its checks: addresses, figures of the membership and the permits, bounds of
//! connections. Times are microseconds.

use crate::connection::ConnectionTimeouts;
use crate::error::PeerError;
use crate::frame::FRAME_OVERHEAD;
use basaltward_membership::{MemberId, Membership, MembershipSettings, Micros, SiteMap};
use basaltward_permits::{Bounds, Observations, PermitSettings, sites};
use std::net::{IpAddr, SocketAddr};

/// What a program is told of its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerConfig {
    /// Names the fleet: datagrams and connections of another are refused.
    pub name: String,
    /// Where datagrams of the others come.
    pub listen: SocketAddr,
    /// Where each is reached and comes from, by number, our own included.
    pub peers: Vec<SocketAddr>,
    /// Our number in `peers`.
    pub own: MemberId,
    /// For choices.
    pub seed: u64,
    /// From where operators may ask.
    pub operators: Vec<IpAddr>,
    /// The zone of each of `peers`, as a number; those that are not told stand in the first.
    pub zones: Vec<u8>,
    /// How many may be out at once, where the fleet agrees on that; without, we have no part in what is agreed.
    pub bounds: Option<Bounds>,
    /// Which of `peers` stands at which site, where sites may be taken over.
    pub sites: Option<SitesToWatch>,
    /// The version that this configuration and its program are, by its operators' name.
    pub version: String,
    /// Longest way of a datagram there and back that is not lost.
    pub round_trip: Micros,
    /// Bytes of datagrams in a second, where that is more than the view's usual budget.
    pub bytes_per_s: u64,
}

/// Sites that may be taken over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SitesToWatch {
    /// The site of each peer.
    pub map: SiteMap,
    /// For how long nothing of a site was live when it counts as lost. That may be short: a site taken for lost wrongly is
    /// out of use for a while, and no more.
    pub lost_after_us: Micros,
}

impl SitesToWatch {
    /// What a membership shows of them and their gateways.
    pub(crate) fn observe(&self, membership: &Membership, now: Micros) -> Observations {
        sites(membership, &self.map, self.lost_after_us, now)
    }
}

impl PeerConfig {
    /// The usual longest way: the platform's datagrams take up to 33 ms each way.
    pub const ROUND_TRIP: Micros = 70_000;

    /// A hash of the fleet's name: members of another are not heeded. Not of its size, as a new list reaches
    /// members one after another.
    pub(crate) fn fleet_hash(&self) -> u32 {
        crc32fast::hash(self.name.as_bytes())
    }

    /// Figures of the view.
    pub(crate) fn membership_settings(&self, start: u64) -> Result<MembershipSettings, PeerError> {
        let size =
            MemberId::try_from(self.peers.len()).map_err(|_| PeerError::TooManyPeers(self.peers.len()))?;
        let usual = MembershipSettings::new(size, self.own, start, self.seed);
        // A period holds a question there and back, then one through others.
        let period = usual.period.max(self.round_trip * 3);
        let settings = MembershipSettings {
            fleet: (self.fleet_hash() >> 16) as u16,
            round_trip: self.round_trip,
            period,
            bytes_per_s: usual.bytes_per_s.max(self.bytes_per_s),
            ..usual
        };
        settings.check()?;
        Ok(settings)
    }

    /// Figures of what is agreed, in one life.
    pub(crate) fn permit_settings(
        &self,
        membership: &MembershipSettings,
        life: u32,
    ) -> Option<PermitSettings> {
        let usual = PermitSettings::new(membership.size, membership.own, life, membership.seed);
        let settle = membership.settling_time();
        let times = basaltward_permits::Times { learning: usual.times.silence + settle, ..usual.times };
        Some(PermitSettings { fleet: membership.fleet, bounds: self.bounds?, settle, times, ..usual })
    }
}

/// What links are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionConfig {
    /// Where each peer takes connections, by number, our own included.
    pub peers: Vec<SocketAddr>,
    /// Longest payload of a frame.
    pub max_frame_bytes: usize,
    /// Most bytes that wait to be sent to one peer.
    pub max_unsent_bytes: usize,
    /// Between two attempts to reach a peer: at first, and at most.
    pub backoff: (Micros, Micros),
    /// What waits for a connection waits for so long at most.
    pub queue_timeout: Micros,
    /// Times of each.
    pub timeouts: ConnectionTimeouts,
}

impl ConnectionConfig {
    /// The usual figures: frames up to 256 KiB, 4 MiB unsent.
    pub fn new(peers: Vec<SocketAddr>) -> Self {
        Self {
            peers,
            max_frame_bytes: 256 << 10,
            max_unsent_bytes: 4 << 20,
            backoff: (100_000, 5_000_000),
            queue_timeout: 4_000_000,
            timeouts: ConnectionTimeouts::default(),
        }
    }

    /// Checks them.
    pub(crate) fn check(&self) -> Result<(), PeerError> {
        let ConnectionTimeouts {
            ping_interval: ping,
            receive_timeout: silence,
            pong_timeout: unread,
            idle_timeout: idle,
            handshake_timeout: handshake,
        } = self.timeouts;
        let figures = [
            ("a peer's unsent bytes", self.max_unsent_bytes >= self.max_frame_bytes + FRAME_OVERHEAD),
            ("the time between questions", ping > 0),
            // A loop that has not looked for two of them counts as having stood still.
            ("the time of silence", silence >= ping * 3),
            ("the time without an answer", unread >= silence),
            ("the time unused", idle >= silence),
            ("the time for a handshake", handshake > 0),
            ("the pause before another attempt", self.backoff.0 > 1 && self.backoff.1 >= self.backoff.0),
            ("the patience for a connection", self.queue_timeout > 0),
        ];
        match figures.iter().find(|(_, good)| !good) {
            Some((name, _)) => Err(PeerError::Connections(name)),
            None => Ok(()),
        }
    }
}
