//! What a frame between gateways says of kept events, for who only looks on.

use crate::entry::read;
use crate::error::WireError;
use crate::types::{Key, Outcome, Source, Step};
use crate::wire::{Message, Sent, open};
use crate::takeover_messages::{Fate, Say, Stand, Word};

/// One thing that a frame says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Glance {
    /// This line of a journal goes to a holder.
    Line(Source, u64, Step),
    /// Who sends the frame holds the lines of a journal that were sent to it, up to this one.
    Held(Source, u64),
    /// An event of a lost owner has ended.
    Over(Key, Outcome),
}

/// What a frame says. Lines that go without their bytes are left out.
///
/// # Errors
/// Where it is no frame of ours, or was changed on the way.
pub fn glance(frame: &[u8], entry_bytes: usize) -> Result<Vec<Glance>, WireError> {
    Ok(match open(frame, entry_bytes)? {
        Message::Lines(lines) => {
            let line = |(number, sent): (u64, &Sent)| match sent {
                Sent::Whole(bytes, _) => Some(Glance::Line(lines.source, number, read(bytes)?.1)),
                Sent::Hollow(..) => None,
            };
            (lines.first..).zip(&lines.lines).filter_map(line).collect()
        }
        Message::Ack(ack) => vec![Glance::Held(ack.source, ack.through)],
        Message::Word(Word::Over(ends)) => {
            ends.into_iter().map(|(key, outcome, _)| Glance::Over(key, outcome)).collect()
        }
        Message::Word(Word::Did { fates, .. }) => {
            let over = |(key, _, fate): (Key, _, Fate)| match fate {
                Fate::Ended(outcome, _) => Some(Glance::Over(key, outcome)),
                Fate::Open | Fate::By(_) => None,
            };
            fates.into_iter().filter_map(over).collect()
        }
        Message::Word(Word::Says { says, .. }) => {
            let over = |say: Say| match say.stand {
                Stand::Ended(outcome, _) => Some(Glance::Over(say.key, outcome)),
                Stand::Yours | Stand::Mine => None,
            };
            says.into_iter().filter_map(over).collect()
        }
        Message::Release(_) | Message::Released(_) | Message::Word(_) | Message::Call => Vec::new(),
    })
}
