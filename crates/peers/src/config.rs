//! Configuration of the transport between peers and its validation: addresses, settings of the membership and the
//! permits, limits of connections. Times are microseconds.

use crate::connection::ConnectionTimeouts;
use crate::error::PeerError;
use crate::frame::FRAME_OVERHEAD;
use basaltward_membership::{MemberId, Membership, MembershipSettings, Micros, SiteMap};
use basaltward_permits::{Bounds, Observations, PermitSettings, observe_sites};
use std::net::{IpAddr, SocketAddr};

/// Configuration of the datagrams between peers: membership and permits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerConfig {
    /// Name of the fleet. Datagrams and connections of another fleet are rejected.
    pub name: String,
    /// Address that datagrams of the other peers are received on.
    pub listen: SocketAddr,
    /// Address that each peer sends from and receives on, by number, the local one included.
    pub peers: Vec<SocketAddr>,
    /// The local number, an index of `peers`.
    pub own: MemberId,
    /// Seed of random choices.
    pub seed: u64,
    /// Addresses that operators may send requests from.
    pub operators: Vec<IpAddr>,
    /// Zone of each of `peers`, as a number; a peer without an entry is in zone 0.
    pub zones: Vec<u8>,
    /// How many members and workers may be out of service at once. Without it, this process takes no part in the
    /// permits.
    pub bounds: Option<Bounds>,
    /// The site of each of `peers`, if sites can be taken over.
    pub sites: Option<SitesToWatch>,
    /// Version of this configuration and program, as the operators name it.
    pub version: String,
    /// Longest round trip time of a datagram that is not lost.
    pub round_trip: Micros,
    /// Budget of datagram bytes per second, used if greater than the default of the membership.
    pub bytes_per_s: u64,
}

/// Sites that can be taken over by others when they are lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SitesToWatch {
    /// The site of each peer.
    pub map: SiteMap,
    /// A site counts as lost once none of its members was live for this long. It may be short, as a site wrongly
    /// taken for lost is only out of use for a while.
    pub lost_after_us: Micros,
}

impl SitesToWatch {
    /// Observations of the sites and their gateways in a membership.
    pub(crate) fn observe(&self, membership: &Membership, now: Micros) -> Observations {
        observe_sites(membership, &self.map, self.lost_after_us, now)
    }
}

impl PeerConfig {
    /// The default of `round_trip`: datagrams on the platform take up to 33 ms each way.
    pub const ROUND_TRIP: Micros = 70_000;

    /// A hash of the fleet's name, by which members of another fleet are ignored. It leaves out the size of the
    /// fleet, as a new list reaches the members one after another.
    pub(crate) fn fleet_hash(&self) -> u32 {
        crc32fast::hash(self.name.as_bytes())
    }

    /// Settings of the membership for a process with this start time.
    pub(crate) fn membership_settings(&self, start_ms: u64) -> Result<MembershipSettings, PeerError> {
        let size =
            MemberId::try_from(self.peers.len()).map_err(|_| PeerError::TooManyPeers(self.peers.len()))?;
        let defaults = MembershipSettings::new(size, self.own, start_ms, self.seed);
        // A period covers a direct probe with its answer, then an indirect one through other members.
        let period = defaults.period.max(self.round_trip * 3);
        let settings = MembershipSettings {
            fleet: (self.fleet_hash() >> 16) as u16,
            round_trip: self.round_trip,
            period,
            bytes_per_s: defaults.bytes_per_s.max(self.bytes_per_s),
            ..defaults
        };
        settings.check()?;
        Ok(settings)
    }

    /// Settings of the permits, if this process takes part in them. `incarnation` identifies the run of this process.
    pub(crate) fn permit_settings(
        &self,
        membership: &MembershipSettings,
        incarnation: u32,
    ) -> Option<PermitSettings> {
        let defaults = PermitSettings::new(membership.size, membership.own, incarnation, membership.seed);
        let settle = membership.settling_time();
        let times = basaltward_permits::Times { learning: defaults.times.silence + settle, ..defaults.times };
        Some(PermitSettings { fleet: membership.fleet, bounds: self.bounds?, settle, times, ..defaults })
    }
}

/// Configuration of the connections between peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionConfig {
    /// Address that each peer accepts connections on, by number, the local one included.
    pub peers: Vec<SocketAddr>,
    /// Most bytes of the payload of a frame.
    pub max_frame_bytes: usize,
    /// Most unsent bytes for one peer; further frames are rejected.
    pub max_unsent_bytes: usize,
    /// Delay between two attempts to connect to a peer: the first one, and the longest.
    pub backoff: (Micros, Micros),
    /// Frames queued for a connection are discarded after this time.
    pub queue_timeout: Micros,
    /// Intervals and timeouts of each connection.
    pub timeouts: ConnectionTimeouts,
}

impl ConnectionConfig {
    /// The defaults: frames up to 256 KiB, 4 MiB unsent, a backoff of 100 ms to 5 s, a queue timeout of 4 s.
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

    /// Validates the limits and timeouts against one another.
    ///
    /// # Errors
    /// [`PeerError::Connections`] with a description of the first value that is too small.
    pub(crate) fn check(&self) -> Result<(), PeerError> {
        let ConnectionTimeouts {
            ping_interval,
            receive_timeout,
            pong_timeout,
            idle_timeout,
            handshake_timeout,
        } = self.timeouts;
        let checks = [
            (
                "the limit of unsent bytes of a peer",
                self.max_unsent_bytes >= self.max_frame_bytes + FRAME_OVERHEAD,
            ),
            ("the ping interval", ping_interval > 0),
            // A loop that did not run for two ping intervals counts as stalled, so a receive timeout needs three.
            ("the receive timeout", receive_timeout >= ping_interval * 3),
            ("the pong timeout", pong_timeout >= receive_timeout),
            ("the idle timeout", idle_timeout >= receive_timeout),
            ("the handshake timeout", handshake_timeout > 0),
            ("the reconnect backoff", self.backoff.0 > 1 && self.backoff.1 >= self.backoff.0),
            ("the timeout of frames queued for a connection", self.queue_timeout > 0),
        ];
        match checks.iter().find(|(_, valid)| !valid) {
            Some((name, _)) => Err(PeerError::Connections(name)),
            None => Ok(()),
        }
    }
}
