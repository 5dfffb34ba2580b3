use basaltward_net::NetError;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a program can't have fellows.
#[derive(Debug, Error)]
pub enum FellowsError {
    /// The address of its datagrams can't be had.
    #[error(
        "datagrams of fellows can't be taken at {at}: {why}; see that the address is this host's and that no other process has it"
    )]
    Datagrams {
        /// The address.
        at: SocketAddr,
        /// What the system says.
        why: NetError,
    },
    /// The view can't be kept with these figures.
    #[error(
        "the list of fellows can't be used: {0}; give every fellow the same list, with our own number in it"
    )]
    View(#[from] basaltward_fleet::SettingsError),
    /// More fellows than numbers.
    #[error("{0} fellows are more than 65535; make more than one fleet of them")]
    Many(usize),
    /// What is agreed can't be kept with these figures.
    #[error("what the fleet agrees on can't be kept: {0}; give every fellow the same list and bounds")]
    Agreed(#[from] basaltward_agreed::SettingsError),
}
