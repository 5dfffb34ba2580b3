//! What a frame between gateways says of kept events, for who only looks on.

use crate::entry::read;
use crate::error::WireError;
use crate::takeover_messages::{ClaimDecision, ClaimReply, EventStatus, TakeoverMessage};
use crate::types::{Key, Outcome, Source, Step};
use crate::wire::{Message, WireEntry, decode};

/// One thing that a frame says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameFact {
    /// This line of a journal goes to a holder.
    Entry(Source, u64, Step),
    /// Who sends the frame holds the lines of a journal that were sent to it, up to this one.
    Acked(Source, u64),
    /// An event of a lost owner has ended.
    Ended(Key, Outcome),
}

/// What a frame says. Lines that go without their bytes are left out.
///
/// # Errors
/// Where it is no frame of ours, or was changed on the way.
pub fn inspect_frame(frame: &[u8], entry_bytes: usize) -> Result<Vec<FrameFact>, WireError> {
    Ok(match decode(frame, entry_bytes)? {
        Message::Append(lines) => {
            let line = |(number, sent): (u64, &WireEntry)| match sent {
                WireEntry::Full(bytes, _) => Some(FrameFact::Entry(lines.source, number, read(bytes)?.1)),
                WireEntry::DigestOnly(..) => None,
            };
            (lines.first..).zip(&lines.entries).filter_map(line).collect()
        }
        Message::Ack(ack) => vec![FrameFact::Acked(ack.source, ack.through)],
        Message::Takeover(TakeoverMessage::Ended(ends)) => {
            ends.into_iter().map(|(key, outcome, _)| FrameFact::Ended(key, outcome)).collect()
        }
        Message::Takeover(TakeoverMessage::ReturnReply { statuses: fates, .. }) => {
            let over = |(key, _, fate): (Key, _, EventStatus)| match fate {
                EventStatus::Ended(outcome, _) => Some(FrameFact::Ended(key, outcome)),
                EventStatus::Unassigned | EventStatus::OwnedBy(_) => None,
            };
            fates.into_iter().filter_map(over).collect()
        }
        Message::Takeover(TakeoverMessage::ClaimReplies { replies: says, .. }) => {
            let over = |say: ClaimReply| match say.decision {
                ClaimDecision::Ended(outcome, _) => Some(FrameFact::Ended(say.key, outcome)),
                ClaimDecision::Granted | ClaimDecision::Denied => None,
            };
            says.into_iter().filter_map(over).collect()
        }
        Message::Release(_) | Message::Released(_) | Message::Takeover(_) | Message::Connect => Vec::new(),
    })
}
