use crate::NetError;
use rustix::net::{AddressFamily, SocketFlags, SocketType, sockopt};
use std::net::{SocketAddr, TcpListener};

/// Binds a non-blocking listener. `shared` sets `SO_REUSEPORT`: several loops can listen on one port, and the kernel
/// distributes connections over them.
///
/// # Errors
/// If the socket can't be created or the address can't be bound.
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
