//! Memory of idle connections in the gateway's process.

use crate::{echo, path};
use basaltward_scenario::TempDir;
use std::error::Error;
use std::io::{Read, Write};
use std::net::TcpStream;

/// Resident memory of this process, bytes. Assumes pages of 4096 bytes.
///
/// # Errors
/// If `/proc/self/statm` can't be read.
pub fn resident() -> Result<f64, Box<dyn Error>> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages: f64 =
        text.split_whitespace().nth(1).ok_or("/proc/self/statm has no resident size")?.parse()?;
    Ok(pages * 4096.0)
}

const CALL: &[u8] = b"POST /functions/echo HTTP/1.1\r\nHost: h\r\nce-specversion: 1.0\r\nce-id: ";

/// Opens connections, makes a call on each so that all have been used, and prints their memory.
///
/// # Errors
/// If a connection fails or a call is not served.
pub fn run(connections: usize) -> Result<(), Box<dyn Error>> {
    let folder = TempDir::new()?;
    let gateway = path::gateway(&folder, echo::start()?)?;
    let call = |id: usize, stream: &mut TcpStream| -> Result<(), Box<dyn Error>> {
        stream.write_all(CALL)?;
        write!(stream, "{id}\r\nce-source: /m\r\nce-type: t\r\nContent-Length: 1\r\n\r\nx")?;
        let mut answer = [0; 1024];
        match stream.read(&mut answer)? {
            read if answer[..read].starts_with(b"HTTP/1.1 200") => Ok(()),
            _ => Err("a call was not served".into()),
        }
    };
    // Warm-up: memory for calls and repeat guards is allocated before the first reading.
    let mut first = TcpStream::connect(gateway.address())?;
    for id in 0..connections {
        call(id, &mut first)?;
    }
    let before = resident()?;
    let mut open = Vec::with_capacity(connections);
    for id in 0..connections {
        let mut stream = TcpStream::connect(gateway.address())?;
        call(connections + id, &mut stream)?;
        open.push(stream);
    }
    let after = resident()?;
    println!(
        "{connections} idle connections, each used once: {:.0} bytes each in the process",
        (after - before) / connections as f64
    );
    drop(open);
    gateway.stop();
    gateway.join()?;
    Ok(())
}
