//! Decodes calls forwarded between gateways and journal messages about journaled events as they cross the relays.

use crate::link::{Link, Party};
use basaltward_http::{Decoded, Limits, RequestDecoder};
use basaltward_net::Micros;
use basaltward_peers::Channel;
use basaltward_pending::{Accepted, FrameFact, Source, Step, inspect_frame};
use bytes::BytesMut;
use std::fmt;

/// Maximum payload of a frame; gateways of a cluster send none that is longer.
const MAX_FRAME_BYTES: usize = 256 << 10;
/// Maximum size of the event of a journaled call; gateways of a cluster accept none that is longer.
const MAX_ENTRY_BYTES: usize = 64 << 10;

/// A call that one gateway forwarded to the front of another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedCall {
    /// When it crossed the relay.
    pub time: Micros,
    /// The sending and the receiving gateway.
    pub link: Link,
    /// Name of the event as in records: `source#id`.
    pub event: String,
    /// How often the call has been forwarded, according to its `ce-hops` header; `None` without a valid header.
    pub hops: Option<u32>,
}

/// A message about journaled events that one gateway sent to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalMessage {
    /// When it crossed the relay.
    pub time: Micros,
    /// Number of the sending gateway.
    pub from: usize,
    /// Number of the receiving gateway.
    pub to: usize,
    /// The decoded message.
    pub content: FrameFact,
}

impl fmt::Display for JournalMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} n{}-n{}: ", self.time, self.from, self.to)?;
        let line = |source: &Source, number: &u64| format!("n{}/{:x} {number}", source.gateway, source.life);
        match &self.content {
            FrameFact::Entry(source, number, step) => match step {
                Step::Accepted(a) => write!(
                    f,
                    "{} accepted {:x} {} {}",
                    line(source, number),
                    a.key.0,
                    a.function,
                    event_name(a)
                ),
                Step::Sending { key, attempt, worker, .. } => {
                    write!(f, "{} sending {:x} {attempt} {worker}", line(source, number), key.0)
                }
                Step::Ended { key, outcome, .. } => {
                    write!(f, "{} ended {:x} {outcome:?}", line(source, number), key.0)
                }
            },
            FrameFact::Acked(source, through) => write!(f, "{} held", line(source, through)),
            FrameFact::Ended(key, outcome) => write!(f, "over {:x} {outcome:?}", key.0),
        }
    }
}

/// Name of an accepted event as in records: `source#id`.
pub(crate) fn event_name(accepted: &Accepted) -> String {
    let event: serde_json::Value = serde_json::from_slice(&accepted.event).unwrap_or_default();
    let part = |name: &str| event[name].as_str().unwrap_or_default().to_owned();
    format!("{}#{}", part("source"), part("id"))
}

/// Everything that was decoded on captured links.
#[derive(Clone, Debug, Default)]
pub struct CapturedTraffic {
    /// Calls forwarded between gateways.
    pub forwarded_calls: Vec<ForwardedCall>,
    /// Journal messages about journaled events.
    pub journal_messages: Vec<JournalMessage>,
}

/// Protocol of the traffic on a captured link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CaptureProtocol {
    /// Calls over HTTP; only the direction from the connecting side is decoded.
    Calls,
    /// Frames between gateways, in both directions.
    Frames,
}

enum Decoder {
    Calls(Box<RequestDecoder>, BytesMut),
    Frames(basaltward_peers::FrameDecoder),
    /// The bytes could not be decoded; the rest of the connection is ignored.
    Undecodable,
}

/// Decodes one direction of one connection.
pub(crate) struct Capture {
    decoder: Decoder,
    link: Link,
    from_connector: bool,
}

impl Capture {
    /// A decoder for one direction: bytes from the connecting side or towards it. `None` if that direction is not
    /// decoded.
    pub fn new(protocol: CaptureProtocol, link: Link, from_connector: bool) -> Option<Self> {
        let limits = Limits { body: 64 << 20, ..Limits::default() };
        let decoder = match protocol {
            CaptureProtocol::Calls if !from_connector => return None,
            CaptureProtocol::Calls => Decoder::Calls(Box::new(RequestDecoder::new(limits)), BytesMut::new()),
            CaptureProtocol::Frames => Decoder::Frames(basaltward_peers::FrameDecoder::new(MAX_FRAME_BYTES)),
        };
        Some(Self { decoder, link, from_connector })
    }

    /// Decodes bytes that crossed the relay at `time`. Adds the calls and messages that they complete to `out`.
    pub fn decode(&mut self, time: Micros, bytes: &[u8], out: &mut CapturedTraffic) {
        let decodable = match &mut self.decoder {
            Decoder::Calls(decoder, buffer) => {
                buffer.extend_from_slice(bytes);
                decode_calls(time, self.link, (decoder, buffer), &mut out.forwarded_calls)
            }
            Decoder::Frames(decoder) => {
                decoder.push(&mut bytes.into());
                decode_frames(time, (self.link, self.from_connector), decoder, &mut out.journal_messages)
            }
            Decoder::Undecodable => true,
        };
        if !decodable {
            self.decoder = Decoder::Undecodable;
        }
    }
}

/// Decodes forwarded calls from the buffered bytes. Returns false if these are not valid HTTP.
fn decode_calls(
    time: Micros,
    link: Link,
    (decoder, buffer): (&mut RequestDecoder, &mut BytesMut),
    out: &mut Vec<ForwardedCall>,
) -> bool {
    loop {
        match decoder.decode(buffer) {
            Ok(Decoded::Message(request)) => {
                let field = |name: &str| request.headers.get(name);
                let Some((source, id)) = field("ce-source").zip(field("ce-id")) else { continue };
                let hops = field("ce-hops").and_then(|hops| hops.parse().ok());
                out.push(ForwardedCall { time, link, event: format!("{source}#{id}"), hops });
            }
            Ok(_) => return true,
            Err(_) => return false,
        }
    }
}

/// Decodes journal messages from frames. Returns false if the bytes are not valid frames.
fn decode_frames(
    time: Micros,
    (link, from_connector): (Link, bool),
    decoder: &mut basaltward_peers::FrameDecoder,
    out: &mut Vec<JournalMessage>,
) -> bool {
    let (Party::Scheduler(connector), Party::Journal(acceptor)) = (link.from, link.to) else { return false };
    let (from, to) = if from_connector { (connector, acceptor) } else { (acceptor, connector) };
    loop {
        match decoder.next_frame() {
            Ok(Some(frame)) if frame.channel == Channel::Pending as u8 => {
                let messages = inspect_frame(&frame.payload, MAX_ENTRY_BYTES).unwrap_or_default();
                out.extend(messages.into_iter().map(|content| JournalMessage { time, from, to, content }));
            }
            Ok(Some(_)) => {}
            Ok(None) => return true,
            Err(_) => return false,
        }
    }
}
