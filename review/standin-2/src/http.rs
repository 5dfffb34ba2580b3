//! As much of HTTP/1.1 as clients and workers of the gateway need: messages with a Content-Length.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A request or a response.
pub struct Message {
    /// The first line.
    pub start: String,
    /// The fields, names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Why no message came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The other side closed or reset the connection, or it could not be made.
    Closed,
    /// The time was over.
    Time,
}

/// Reads one message. `buffer` holds what was read beyond the last one.
pub fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>, until: Option<Instant>) -> Result<Message, End> {
    loop {
        if let Some(head) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..head]).into_owned();
            let mut lines = text.split("\r\n");
            let start = lines.next().unwrap_or_default().to_owned();
            let fields: Vec<(String, String)> = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()))
                .collect();
            let length = fields.iter().find(|(n, _)| n == "content-length");
            let length: usize = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
            if buffer.len() >= head + 4 + length {
                let body = buffer[head + 4..head + 4 + length].to_vec();
                buffer.drain(..head + 4 + length);
                return Ok(Message { start, fields, body });
            }
        }
        let left = until.map(|u| u.saturating_duration_since(Instant::now()));
        if left.is_some_and(|l| l < Duration::from_millis(1)) {
            return Err(End::Time);
        }
        let _ = stream.set_read_timeout(left);
        let mut bytes = [0; 16 << 10];
        match stream.read(&mut bytes) {
            Ok(0) => return Err(End::Closed),
            Ok(n) => buffer.extend_from_slice(&bytes[..n]),
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                return Err(End::Time);
            }
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(_) => return Err(End::Closed),
        }
    }
}

/// What a client saw of one try.
#[derive(Clone, Debug)]
pub enum Seen {
    Status(u16, String),
    Closed,
    /// The client gave up, and closed its connection.
    GaveUp,
}

/// One event of a client.
#[derive(Clone)]
pub struct Call {
    pub function: String,
    pub id: String,
    /// What the event says of the client's patience.
    pub timeout_ms: u64,
    /// Further header fields, each with its line end.
    pub extra: String,
}

/// Sends one event in binary mode over a connection of its own, and waits for `wait_ms`.
pub fn call(port: u16, event: &Call, wait_ms: u64) -> Seen {
    match exchange(port, event, wait_ms) {
        Ok(m) => Seen::Status(m.status(), String::from_utf8_lossy(&m.body).into_owned()),
        Err(End::Closed) => Seen::Closed,
        Err(End::Time) => Seen::GaveUp,
    }
}

/// As [`call`], with the whole response.
pub fn exchange(port: u16, call: &Call, wait_ms: u64) -> Result<Message, End> {
    let until = Instant::now() + Duration::from_millis(wait_ms);
    let mut stream = TcpStream::connect(("127.0.0.1", port)).map_err(|_| End::Closed)?;
    let _ = stream.set_nodelay(true);
    let body = format!("data of {}", call.id);
    let text = format!(
        "POST /functions/{} HTTP/1.1\r\nhost: 127.0.0.1:{port}\r\nce-specversion: 1.0\r\nce-id: {}\r\n\
         ce-source: /review\r\nce-type: review.call\r\nce-timeoutms: {}\r\n{}content-type: text/plain\r\n\
         content-length: {}\r\n\r\n{body}",
        call.function,
        call.id,
        call.timeout_ms,
        call.extra,
        body.len()
    );
    stream.write_all(text.as_bytes()).map_err(|_| End::Closed)?;
    read(&mut stream, &mut Vec::new(), Some(until))
}
