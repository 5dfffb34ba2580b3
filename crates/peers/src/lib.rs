//! Peers: the other processes of one fleet, as a program with a loop of its own meets them. Membership and permits travel in
//! datagrams on one socket; what is more than a datagram holds travels in frames over kept connections, made when there is
//! something to send.
//!
//! The crate carries and counts. What a frame means, and what follows from a change of the membership, is its owner's.
#![warn(missing_docs)]

mod clock;
mod config;
mod connection;
mod connections;
mod counts;
mod endpoint;
mod error;
mod event;
mod frame;
mod handshake;
mod log_limiter;
mod operator_client;
mod peer;
mod permit_service;
mod transport;
mod workers;

pub use clock::since_2026_ms;
pub use config::{ConnectionConfig, PeerConfig, SitesToWatch};
pub use connection::ConnectionTimeouts;
pub use connections::PeerConnections;
pub use counts::ConnectionCounters;
pub use endpoint::{EndpointConfig, EndpointEvent, PeerEndpoint};
pub use error::{ConnectionError, PeerError};
pub use event::{Channel, ConnectionEvent, Event};
pub use frame::{FRAME_OVERHEAD, Frame, FrameDecoder, write_frame};
pub use operator_client::{fetch_membership, send_operator_command};
pub use transport::PeerTransport;
pub use workers::{Worker, WorkerState};
