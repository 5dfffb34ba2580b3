//! Closed-loop load: each connection sends its next call when it has received the answer to the previous one.

use basaltward_http::{Body, Decoded, HeadWriter, Limits, Method, ResponseDecoder};
use basaltward_net::{ConnId, Io, IoEvent, IoLimits};
use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Instant;

/// Result of a round.
pub struct Round {
    /// Microseconds from sending a call to its answer.
    pub times: Histogram<u64>,
    /// Calls a second.
    pub rate: f64,
    /// Number of answers with a status other than 200.
    pub errors: u64,
}

struct Conn {
    decoder: ResponseDecoder,
    sent: Instant,
}

fn send(io: &mut Io, conn: ConnId, host: &str, id: u64) {
    let Some(out) = io.output(conn) else { return };
    let head = HeadWriter::request(out, "POST", "/functions/echo", host);
    let head = head.field("ce-specversion", "1.0").display_field("ce-id", id).field("ce-source", "/bench");
    let head = head.field("ce-type", "bench.call").field("Content-Type", "text/plain");
    head.body(Body::Whole(b"a payload of some forty bytes, as is usual"));
}

/// Makes `calls` calls over `connections` connections. Their ids start at `first`, so that no call repeats another.
///
/// # Errors
/// If a connection can't be opened or ends, an answer can't be decoded, or no event comes for 10 s.
pub fn run(to: SocketAddr, connections: usize, calls: u64, first: u64) -> Result<Round, Box<dyn Error>> {
    let mut io = Io::new(IoLimits::default())?;
    let host = to.to_string();
    let (mut next, mut connected, mut errors) = (first, 0, 0);
    let mut conns = HashMap::new();
    let mut times = Histogram::new_with_bounds(1, 60_000_000, 3)?;
    for _ in 0..connections {
        let conn = io.connect(to)?;
        conns.insert(conn, Conn { decoder: ResponseDecoder::new(Limits::default()), sent: Instant::now() });
    }
    let start = Instant::now();
    let mut events = Vec::new();
    let mut answered = 0;
    while answered < calls {
        io.turn(Some(10_000_000), &mut events)?;
        if events.is_empty() {
            return Err("no answer for 10 s".into());
        }
        for event in events.drain(..) {
            let conn = match event {
                IoEvent::Connected(conn) => {
                    connected += 1;
                    conn
                }
                IoEvent::Data(conn) => {
                    let Some(state) = conns.get_mut(&conn) else { continue };
                    let Some(input) = io.input(conn) else { continue };
                    let Decoded::Message(answer) = state.decoder.decode(input, Method::Post)? else {
                        continue;
                    };
                    io.release_input(conn);
                    times.record(state.sent.elapsed().as_micros() as u64)?;
                    errors += u64::from(answer.status != 200);
                    answered += 1;
                    conn
                }
                IoEvent::Ended(_, how) => return Err(format!("connection ended: {how:?}").into()),
                _ => continue,
            };
            if next < first + calls {
                if let Some(state) = conns.get_mut(&conn) {
                    state.sent = Instant::now();
                }
                send(&mut io, conn, &host, next);
                next += 1;
            }
        }
    }
    let rate = calls as f64 / start.elapsed().as_secs_f64();
    if connected == 0 {
        return Err("no connection was opened".into());
    }
    Ok(Round { times, rate, errors })
}
