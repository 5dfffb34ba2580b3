//! Decodes frames between gateways for observers that don't take part in the protocol.

use crate::entry::decode_payload;
use crate::error::WireError;
use crate::takeover_messages::{ClaimDecision, ClaimReply, EventStatus, TakeoverMessage};
use crate::types::{Key, Outcome, Source, Step};
use crate::wire::{Message, WireEntry, decode};

/// A fact contained in a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameFact {
    /// This entry of a journal is sent to a holder.
    Entry(Source, u64, Step),
    /// The sender of the frame has stored the entries of the journal that were sent to it, up to this number.
    Acked(Source, u64),
    /// An event of a lost gateway has ended.
    Ended(Key, Outcome),
}

/// Returns the facts in a frame. Entries without payload are skipped. `entry_bytes` is the maximum size of an event or
/// an answer, as in [`crate::PendingSettings::entry_bytes`].
///
/// # Errors
/// If the frame is malformed or was corrupted.
pub fn inspect_frame(frame: &[u8], entry_bytes: usize) -> Result<Vec<FrameFact>, WireError> {
    Ok(match decode(frame, entry_bytes)? {
        Message::Append(append) => {
            let entry = |(number, entry): (u64, &WireEntry)| match entry {
                WireEntry::Full(bytes, _) => {
                    Some(FrameFact::Entry(append.source, number, decode_payload(bytes)?.1))
                }
                WireEntry::DigestOnly(..) => None,
            };
            (append.first..).zip(&append.entries).filter_map(entry).collect()
        }
        Message::Ack(ack) => vec![FrameFact::Acked(ack.source, ack.through)],
        Message::Takeover(TakeoverMessage::Ended(ends)) => {
            ends.into_iter().map(|(key, outcome, _)| FrameFact::Ended(key, outcome)).collect()
        }
        Message::Takeover(TakeoverMessage::ReturnReply { statuses, .. }) => {
            let ended = |(key, _, status): (Key, _, EventStatus)| match status {
                EventStatus::Ended(outcome, _) => Some(FrameFact::Ended(key, outcome)),
                EventStatus::Unassigned | EventStatus::OwnedBy(_) => None,
            };
            statuses.into_iter().filter_map(ended).collect()
        }
        Message::Takeover(TakeoverMessage::ClaimReplies { replies, .. }) => {
            let ended = |reply: ClaimReply| match reply.decision {
                ClaimDecision::Ended(outcome, _) => Some(FrameFact::Ended(reply.key, outcome)),
                ClaimDecision::Granted | ClaimDecision::Denied => None,
            };
            replies.into_iter().filter_map(ended).collect()
        }
        Message::Release(_) | Message::Released(_) | Message::Takeover(_) | Message::Connect => Vec::new(),
    })
}
