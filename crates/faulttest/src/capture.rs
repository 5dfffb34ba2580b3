//! What the relays see of calls that one gateway hands to another, and of kept events on journals' connections.

use crate::link::{Link, Party};
use basaltward_http::{Decoded, Limits, RequestDecoder};
use basaltward_net::Micros;
use basaltward_peers::Channel;
use basaltward_pending::{Accepted, Glance, Source, Step, glance};
use bytes::BytesMut;
use std::fmt;

/// Longest payload of a frame, and longest event of a kept call: no gateway of a bed has more.
const FRAME_BYTES: usize = 256 << 10;
const ENTRY_BYTES: usize = 64 << 10;

/// A call that crossed from one gateway to another's front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedCall {
    /// When.
    pub time: Micros,
    /// From whom to whom.
    pub link: Link,
    /// The event, as records name it.
    pub event: String,
    /// How often it was handed over by then, as it says itself.
    pub hops: Option<u32>,
}

/// What one gateway has told another of kept events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalMessage {
    /// When it arrived.
    pub time: Micros,
    /// Who says it.
    pub from: usize,
    /// To whom.
    pub to: usize,
    /// What.
    pub content: Glance,
}

impl fmt::Display for JournalMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} n{}-n{}: ", self.time, self.from, self.to)?;
        let line = |source: &Source, number: &u64| format!("n{}/{:x} {number}", source.gateway, source.life);
        match &self.content {
            Glance::Line(source, number, step) => match step {
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
            Glance::Held(source, through) => write!(f, "{} held", line(source, through)),
            Glance::Over(key, outcome) => write!(f, "over {:x} {outcome:?}", key.0),
        }
    }
}

/// An accepted event's name, as records have it.
pub(crate) fn event_name(accepted: &Accepted) -> String {
    let told: serde_json::Value = serde_json::from_slice(&accepted.event).unwrap_or_default();
    let part = |name: &str| told[name].as_str().unwrap_or_default().to_owned();
    format!("{}#{}", part("source"), part("id"))
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct CapturedTraffic {
    /// Calls handed over.
    pub forwarded_calls: Vec<ForwardedCall>,
    /// Of kept events.
    pub journal_messages: Vec<JournalMessage>,
}

/// What is read on a way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CaptureProtocol {
    /// Calls, from who began.
    Calls,
    /// Frames between gateways, both ways.
    Frames,
}

enum Decoder {
    Calls(Box<RequestDecoder>, BytesMut),
    Frames(basaltward_peers::FrameDecoder),
    /// What crosses is something else, and not looked at any further.
    Lost,
}

/// Reads what crosses on one connection in one direction.
pub(crate) struct Capture {
    decoder: Decoder,
    way: Link,
    near: bool,
}

impl Capture {
    /// None where nothing is to be read in that direction.
    pub fn new(reads: CaptureProtocol, way: Link, near: bool) -> Option<Self> {
        let limits = Limits { body: 64 << 20, ..Limits::default() };
        let decoder = match reads {
            CaptureProtocol::Calls if !near => return None,
            CaptureProtocol::Calls => Decoder::Calls(Box::new(RequestDecoder::new(limits)), BytesMut::new()),
            CaptureProtocol::Frames => Decoder::Frames(basaltward_peers::FrameDecoder::new(FRAME_BYTES)),
        };
        Some(Self { decoder, way, near })
    }

    /// Adds what is whole with these bytes.
    pub fn take(&mut self, t: Micros, bytes: &[u8], out: &mut CapturedTraffic) {
        let good = match &mut self.decoder {
            Decoder::Calls(decoder, seen) => {
                seen.extend_from_slice(bytes);
                calls(t, self.way, (decoder, seen), &mut out.forwarded_calls)
            }
            Decoder::Frames(decoder) => {
                decoder.push(&mut bytes.into());
                frames(t, (self.way, self.near), decoder, &mut out.journal_messages)
            }
            Decoder::Lost => true,
        };
        if !good {
            self.decoder = Decoder::Lost;
        }
    }
}

fn calls(
    t: Micros,
    way: Link,
    (decoder, seen): (&mut RequestDecoder, &mut BytesMut),
    out: &mut Vec<ForwardedCall>,
) -> bool {
    loop {
        match decoder.decode(seen) {
            Ok(Decoded::Message(request)) => {
                let field = |name: &str| request.headers.get(name);
                let Some((source, id)) = field("ce-source").zip(field("ce-id")) else { continue };
                let hops = field("ce-hops").and_then(|hops| hops.parse().ok());
                out.push(ForwardedCall { time: t, link: way, event: format!("{source}#{id}"), hops });
            }
            Ok(_) => return true,
            Err(_) => return false,
        }
    }
}

fn frames(
    t: Micros,
    (way, near): (Link, bool),
    decoder: &mut basaltward_peers::FrameDecoder,
    out: &mut Vec<JournalMessage>,
) -> bool {
    let (Party::Scheduler(began), Party::Journal(reached)) = (way.from, way.to) else { return false };
    let (from, to) = if near { (began, reached) } else { (reached, began) };
    loop {
        match decoder.next_frame() {
            Ok(Some(frame)) if frame.channel == Channel::Pending as u8 => {
                let seen = glance(&frame.payload, ENTRY_BYTES).unwrap_or_default();
                out.extend(seen.into_iter().map(|what| JournalMessage { time: t, from, to, content: what }));
            }
            Ok(Some(_)) => {}
            Ok(None) => return true,
            Err(_) => return false,
        }
    }
}
