//! What the relays see of calls that one gateway hands to another.

use crate::way::Way;
use basaltward_http::{Decoded, Limits, RequestDecoder};
use basaltward_net::Micros;
use bytes::BytesMut;

/// A call that crossed from one gateway to another's front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handed {
    /// When.
    pub t: Micros,
    /// From whom to whom.
    pub way: Way,
    /// The event, as records name it.
    pub event: String,
    /// How often it was handed over by then, as it says itself.
    pub hops: Option<u32>,
}

/// Reads requests off the bytes of one connection.
pub(crate) struct Tap {
    decoder: RequestDecoder,
    seen: BytesMut,
    /// What crosses is no HTTP, and not looked at any further.
    lost: bool,
}

impl Tap {
    pub fn new() -> Self {
        let decoder = RequestDecoder::new(Limits { body: 64 << 20, ..Limits::default() });
        Self { decoder, seen: BytesMut::new(), lost: false }
    }

    /// Calls that are whole with these bytes.
    pub fn take(&mut self, t: Micros, way: Way, bytes: &[u8], out: &mut Vec<Handed>) {
        if self.lost {
            return;
        }
        self.seen.extend_from_slice(bytes);
        loop {
            match self.decoder.decode(&mut self.seen) {
                Ok(Decoded::Message(request)) => {
                    let field = |name: &str| request.headers.get(name);
                    let Some((source, id)) = field("ce-source").zip(field("ce-id")) else { continue };
                    let hops = field("ce-hops").and_then(|hops| hops.parse().ok());
                    out.push(Handed { t, way, event: format!("{source}#{id}"), hops });
                }
                Ok(_) => return,
                Err(_) => {
                    self.lost = true;
                    return;
                }
            }
        }
    }
}
