use crate::NetError;
use rustix::net::{AddressFamily, SocketFlags, SocketType, sockopt};
use std::net::{SocketAddr, TcpListener};

/// A non-blocking listener. `shared` sets `SO_REUSEPORT`, with which several loops listen on one port and
/// the system spreads connections over them.
///
/// # Errors
/// Where the address can't be had.
pub fn bind(address: SocketAddr, shared: bool) -> Result<TcpListener, NetError> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    if shared {
        sockopt::set_socket_reuseport(&socket, true)?;
    }
    rustix::net::bind(&socket, &address)?;
    rustix::net::listen(&socket, 1024)?;
    Ok(TcpListener::from(socket))
}
