//! Relays between one gateway and the others, which can be cut: connections break and are refused, datagrams are lost.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Whether the relays are cut.
pub type Cut = Arc<AtomicBool>;

/// A relay of connections to a port; returns its own port.
pub fn connections(to: u16, cut: &Cut) -> std::io::Result<u16> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let port = listener.local_addr()?.port();
    let cut = cut.clone();
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let far = TcpStream::connect(("127.0.0.1", to));
            let Ok(far) = far else { continue };
            if cut.load(Ordering::SeqCst) {
                continue;
            }
            for (from, to) in [(&near, &far), (&far, &near)] {
                if let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) {
                    let cut = cut.clone();
                    std::thread::spawn(move || carry(from, to, &cut));
                }
            }
        }
    });
    Ok(port)
}

fn carry(mut from: TcpStream, mut to: TcpStream, cut: &Cut) {
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    let mut bytes = [0; 16 << 10];
    loop {
        match from.read(&mut bytes) {
            _ if cut.load(Ordering::SeqCst) => break,
            Ok(0) => break,
            Ok(n) if to.write_all(&bytes[..n]).is_ok() => {}
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            _ => break,
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

/// A relay of datagrams between two ports; returns the ports by which the first reaches the second, and the second the
/// first.
pub fn datagrams(first: u16, second: u16, cut: &Cut) -> std::io::Result<(u16, u16)> {
    let at_first = UdpSocket::bind("127.0.0.1:0")?;
    let at_second = UdpSocket::bind("127.0.0.1:0")?;
    let ports = (at_first.local_addr()?.port(), at_second.local_addr()?.port());
    for (from, by, to) in [
        (at_first.try_clone()?, at_second.try_clone()?, second),
        (at_second.try_clone()?, at_first.try_clone()?, first),
    ] {
        let cut = cut.clone();
        std::thread::spawn(move || {
            let mut bytes = [0; 2048];
            loop {
                // An error tells that an earlier datagram was refused: its receiver is not up.
                let Ok((length, _)) = from.recv_from(&mut bytes) else { continue };
                if !cut.load(Ordering::SeqCst) {
                    let _ = by.send_to(&bytes[..length], ("127.0.0.1", to));
                }
            }
        });
    }
    Ok(ports)
}
