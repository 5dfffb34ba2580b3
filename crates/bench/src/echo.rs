//! A worker that answers every call at once with as little work as possible, so that measurements show the cost of
//! what is in front of it.

use basaltward_gateway::fields;
use basaltward_http::{Body, Decoded, HeadWriter, Limits, Method, RequestDecoder};
use basaltward_net::{ConnId, Io, IoEvent, IoLimits, bind};
use std::collections::HashMap;
use std::error::Error;
use std::net::SocketAddr;

/// Starts the worker on a thread that runs as long as the process, and returns its address.
///
/// # Errors
/// If the socket can't be opened or the thread can't be started.
pub fn start() -> Result<SocketAddr, Box<dyn Error>> {
    let mut io = Io::new(IoLimits::default())?;
    let (_, address) = io.listen(bind(([127, 0, 0, 1], 0).into(), false)?)?;
    std::thread::Builder::new().name("echo".into()).spawn(move || {
        let mut conns: HashMap<ConnId, RequestDecoder> = HashMap::new();
        let mut events = Vec::new();
        while io.turn(None, &mut events).is_ok() {
            for event in events.drain(..) {
                match event {
                    IoEvent::Accepted { conn, .. } => {
                        conns.insert(conn, RequestDecoder::new(Limits::default()));
                    }
                    IoEvent::Data(conn) => answer(&mut io, &mut conns, conn),
                    IoEvent::Ended(conn, _) => drop(conns.remove(&conn)),
                    _ => {}
                }
            }
            io.free_ended();
        }
    })?;
    Ok(address)
}

fn answer(io: &mut Io, conns: &mut HashMap<ConnId, RequestDecoder>, conn: ConnId) {
    let Some(decoder) = conns.get_mut(&conn) else { return };
    loop {
        let Some(input) = io.input(conn) else { return };
        let Ok(Decoded::Message(request)) = decoder.decode(input) else { return };
        io.release_input(conn);
        let Some(out) = io.output(conn) else { return };
        let head = HeadWriter::response(out, 200).field(fields::OUTCOME, "ok");
        match request.method {
            Method::Post => {
                let head = head.field(fields::COPY, "stood").field("Content-Type", "text/plain");
                head.body(Body::Whole(&request.body));
            }
            _ => head.field(fields::COPIES, "1").body(Body::Empty),
        }
    }
}
