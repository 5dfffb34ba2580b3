//! Errors of opening the transport and of connections. Each text names the remedy; docs/operators/sites-errors.md
//! lists the errors by name. An operator-visible name that differs from the variant is kept by a `strum` attribute.

use basaltward_membership::MemberId;
use basaltward_net::NetError;
use std::net::SocketAddr;
use thiserror::Error;

/// Why the transport between peers can't be opened or reconfigured.
#[derive(Debug, Error, strum::VariantNames)]
pub enum PeerError {
    /// The socket for datagrams can't be opened.
    #[error(
        "can't open the socket for datagrams of peers at {at}: {why}; check that the address belongs to this host and that no other process uses it"
    )]
    Datagrams {
        /// The address.
        at: SocketAddr,
        /// The error of the system.
        why: NetError,
    },
    /// The listener for connections can't be opened.
    #[error(
        "can't listen for connections of peers at {at}: {why}; check that the address belongs to this host and that no other process uses it"
    )]
    Listen {
        /// The address.
        at: SocketAddr,
        /// The error of the system.
        why: NetError,
    },
    /// The two lists of addresses differ in length.
    #[error(
        "{0} peers have an address for datagrams and {1} have an address for connections; configure both for every peer"
    )]
    Addresses(usize, usize),
    /// A limit or timeout of the connections is too small.
    #[error("{0} is too small for connections between peers: increase it")]
    Connections(&'static str),
    /// The settings of the membership are invalid.
    #[error(
        "the list of peers is invalid: {0}; configure the same list on every peer, with the local number within it"
    )]
    Membership(#[from] basaltward_membership::SettingsError),
    /// There are more peers than member numbers.
    #[error("{0} peers are more than the limit of 65535; split them into several fleets")]
    #[strum(serialize = "Many")]
    TooManyPeers(usize),
    /// The settings of the permits are invalid.
    #[error("the settings of permits are invalid: {0}; configure the same list and bounds on every peer")]
    Permits(#[from] basaltward_permits::SettingsError),
}

/// Why a connection to a peer ended, or why a frame was not accepted for sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, strum::VariantNames)]
pub enum ConnectionError {
    /// The payload of a frame is longer than allowed, or a received frame has no channel byte.
    #[error(
        "invalid frame length: a payload of {length} bytes where at most {max} are allowed; configure the same limits on all peers; otherwise check what connects here"
    )]
    Length {
        /// Bytes of the payload, as given in the frame header.
        length: usize,
        /// The most bytes allowed.
        max: usize,
    },
    /// The checksum of a frame does not match its bytes.
    #[error("frame checksum mismatch: check what changes bytes between the two hosts")]
    Checksum,
    /// The connection ended within a frame.
    #[error("connection ended within a frame, after {0} bytes of it: check the network path if this repeats")]
    #[strum(serialize = "Cut")]
    Truncated(usize),
    /// The other end closed the connection without a reason.
    #[error(
        "closed by the other end: it stopped or does not need the connection; check it if it should be running"
    )]
    Closed,
    /// The connection was reset.
    #[error("connection reset: the other process ended or the network path broke; check both")]
    Reset,
    /// Nothing was received within the receive timeout.
    #[error("nothing received within the timeout: the other process or the network path stalled; check both")]
    #[strum(serialize = "Silent")]
    ReceiveTimeout,
    /// The other end does not read: a ping was not answered within the pong timeout though something was received, or
    /// too many answers to its own pings are unsent.
    #[error("the other end does not read what is sent: check its load and the bandwidth of the network path")]
    #[strum(serialize = "Unread")]
    NotReading,
    /// The connection could not be established within the handshake timeout.
    #[error("can't connect: check that the peer is running and that its address in the list is right")]
    #[strum(serialize = "Unreached")]
    ConnectFailed,
    /// No frame of a channel other than 0 was sent or received within the idle timeout.
    #[error("closed as idle: a new connection is opened when there is something to send")]
    Idle,
    /// A later connection of the same peer replaced it.
    #[error(
        "replaced by a later connection of the same peer: check for two processes with one number if this repeats"
    )]
    Replaced,
    /// One of the two processes stops.
    #[error("closed because one of the two processes is stopping")]
    Stopped,
    /// The other end closed the connection because it receives nothing from this process, or no answers to its pings.
    #[error(
        "the other end does not receive what is sent, though its own messages arrive: the network path is stalled in one direction; check it"
    )]
    #[strum(serialize = "Deaf")]
    NotReceiving,
    /// The other end rejected the connection or something that was sent on it.
    #[error(
        "refused by the other end: its log gives the reason; check that both have the same lists and the same version"
    )]
    Refused,
    /// Something else was received before the handshake, or no handshake within the handshake timeout.
    #[error("no handshake received: check what connects here; it is not a gateway of this version")]
    NoHandshake,
    /// A control message is invalid.
    #[error("invalid control message: run the same version on all peers")]
    Control,
    /// The other end uses another format.
    #[error(
        "frame format {remote} does not match the local format {local}: run the same version on all peers"
    )]
    Format {
        /// The format of the other end.
        remote: u8,
        /// The local format.
        local: u8,
    },
    /// The other end belongs to another fleet.
    #[error(
        "the other end belongs to another fleet: check that the fleet's name is the same in all settings, and whose address this is"
    )]
    #[strum(serialize = "Fleet")]
    WrongFleet,
    /// The other end identifies itself by a number that is not in the list, or is the local one.
    #[error(
        "the other end claims number {0}, which is not the number of another peer: configure the same list on all peers, each with its own number"
    )]
    #[strum(serialize = "Number")]
    InvalidPeerNumber(MemberId),
    /// The address belongs to another peer than the one listed with it.
    #[error("peer {actual} answers at the address listed for peer {expected}: correct the address")]
    #[strum(serialize = "Other")]
    UnexpectedPeer {
        /// The peer that answered.
        actual: MemberId,
        /// The peer listed at this address.
        expected: MemberId,
    },
    /// The other end meant to connect to another peer.
    #[error("the other end expects peer {0} at this address: correct the local address in its list")]
    #[strum(serialize = "Meant")]
    Misaddressed(MemberId),
    /// An earlier incarnation of a peer whose later one is connected.
    #[error(
        "an earlier incarnation of a connected peer: end the process that was started first, or correct its clock"
    )]
    #[strum(serialize = "Earlier")]
    EarlierIncarnation,
    /// A frame was to be sent to a number that is not another peer's.
    #[error("no other peer has number {0}: check the list of peers")]
    #[strum(serialize = "Unknown")]
    UnknownPeer(MemberId),
    /// The unsent bytes for the peer reached their limit.
    #[error(
        "too many unsent bytes, the frame was rejected: check the peer's load and the bandwidth of the network path"
    )]
    #[strum(serialize = "Full")]
    QueueFull,
}
