//! Transport between the processes (peers) of one fleet, for a program with an event loop. Membership and permits use
//! datagrams on one UDP socket. Larger messages are sent as frames over persistent TCP connections, which are opened
//! when there is something to send.
//!
//! The crate transports and counts. The meaning of frames and the reaction to membership changes are up to its users.
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
