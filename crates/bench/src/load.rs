//! Closed-loop load: each connection sends its next call when the answer to the last one is there.

use basaltward_http::{Body, Decoded, HeadWriter, Limits, Method, ResponseDecoder};
use basaltward_net::{ConnId, Io, IoEvent, IoLimits};
use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Instant;

/// What a round came to.
pub struct Round {
    /// Microseconds from send to answer.
    pub times: Histogram<u64>,
    /// Calls a second.
    pub rate: f64,
    /// Answers other than 200.
    pub bad: u64,
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

/// Makes so many calls over so many connections. Ids start at `first`, so no call repeats another.
pub fn run(to: SocketAddr, connections: usize, calls: u64, first: u64) -> Result<Round, Box<dyn Error>> {
    let mut io = Io::new(IoLimits::default())?;
    let host = to.to_string();
    let (mut next, mut open, mut bad) = (first, 0, 0);
    let mut conns = HashMap::new();
    let mut times = Histogram::new_with_bounds(1, 60_000_000, 3)?;
    for _ in 0..connections {
        let conn = io.connect(to)?;
        conns.insert(conn, Conn { decoder: ResponseDecoder::new(Limits::default()), sent: Instant::now() });
    }
    let start = Instant::now();
    let mut happened = Vec::new();
    let mut answered = 0;
    while answered < calls {
        io.turn(Some(10_000_000), &mut happened)?;
        if happened.is_empty() {
            return Err("no answer for 10 s".into());
        }
        for happened in happened.drain(..) {
            let conn = match happened {
                IoEvent::Connected(conn) => {
                    open += 1;
                    conn
                }
                IoEvent::Data(conn) => {
                    let Some(known) = conns.get_mut(&conn) else { continue };
                    let Some(input) = io.input(conn) else { continue };
                    let Decoded::Message(answer) = known.decoder.decode(input, Method::Post)? else {
                        continue;
                    };
                    io.release_input(conn);
                    times.record(known.sent.elapsed().as_micros() as u64)?;
                    bad += u64::from(answer.status != 200);
                    answered += 1;
                    conn
                }
                IoEvent::Ended(_, how) => return Err(format!("connection ended: {how:?}").into()),
                _ => continue,
            };
            if next < first + calls {
                if let Some(known) = conns.get_mut(&conn) {
                    known.sent = Instant::now();
                }
                send(&mut io, conn, &host, next);
                next += 1;
            }
        }
    }
    let rate = calls as f64 / start.elapsed().as_secs_f64();
    if open == 0 {
        return Err("no connection".into());
    }
    Ok(Round { times, rate, bad })
}
