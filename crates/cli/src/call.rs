//! `call`: sends one event to a gateway.

use crate::CommandError;
use crate::args::Call;
use basaltward_net::monotonic;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Sends one event in binary mode and prints the response. Succeeds only if the call was served.
pub fn run(options: &Call) -> Result<(), CommandError> {
    let checked = |name: &str, value: &str| match value.bytes().all(|b| b.is_ascii_graphic() || b == b' ') {
        true => Ok(value.to_owned()),
        false => Err(CommandError::Input(format!("{name} may contain only printable ASCII"))),
    };
    let id = match &options.id {
        Some(id) => checked("--id", id)?,
        None => format!("{}-{}", std::process::id(), monotonic()),
    };
    let mut request = format!(
        "POST /functions/{} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\nce-specversion: 1.0\r\nce-id: {id}\r\n\
         ce-source: {}\r\nce-type: basaltward.call\r\nce-timeoutms: {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
        checked("the function", &options.function)?.replace(' ', "%20"),
        options.to,
        checked("--source", &options.source)?,
        options.timeout_ms,
        checked("--content-type", &options.content_type)?,
        options.data.len()
    );
    if let Some(tenant) = &options.tenant {
        request.push_str(&format!("ce-tenant: {}\r\n", checked("--tenant", tenant)?));
    }
    request.push_str("\r\n");
    let io_timeout = Duration::from_millis(options.timeout_ms.max(1) + 1_000);
    let mut stream = TcpStream::connect_timeout(&options.to, io_timeout)?;
    stream.set_read_timeout(Some(io_timeout))?;
    stream.write_all(&[request.as_bytes(), options.data.as_bytes()].concat())?;
    let mut response = Vec::new();
    stream.take(64 << 20).read_to_end(&mut response)?;
    std::io::stdout().write_all(&response)?;
    println!();
    match response.starts_with(b"HTTP/1.1 200 ") {
        true => Ok(()),
        false => Err(CommandError::Run("the call was not served".into())),
    }
}
