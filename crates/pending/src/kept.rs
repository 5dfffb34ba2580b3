//! The machine that a gateway's control thread drives: the journal of its own kept events, what it holds for others,
//! and the frames between.

use crate::error::{Fault, WireError};
use crate::holder::{Held, Holder, Planted};
use crate::journal::{Journal, Written};
use crate::seam::{Input, Output, PendingSettings};
use crate::types::{Key, Source, WallMs};
use crate::wire::{Message, close, open};
use basaltward_fleet::{Micros, Number};

/// So often what is held is looked through for what is past its time.
const SWEEP: Micros = 1_000_000;

/// Kept events of one gateway, and those that it holds for others.
#[derive(Debug)]
pub struct Pending {
    entry_bytes: usize,
    journal: Journal,
    holder: Holder,
    sweep: Micros,
}

impl Pending {
    /// Nothing is pending and nothing is held.
    pub fn new(settings: PendingSettings, now: Micros) -> Self {
        Self {
            entry_bytes: settings.entry_bytes,
            holder: Holder::new(settings.life, settings.bytes),
            journal: Journal::new(settings),
            sweep: now + SWEEP,
        }
    }

    /// Our own journal's name.
    pub fn source(&self) -> Source {
        self.journal.source()
    }

    /// What our journal has counted.
    pub fn written(&self) -> Written {
        self.journal.counted()
    }

    /// Bytes and lines of our own journal.
    pub fn own_size(&self) -> (usize, usize) {
        self.journal.size()
    }

    /// Bytes and lines held for others.
    pub fn held_size(&self) -> (usize, usize) {
        self.holder.size()
    }

    /// Who holds our journal, each with the number up to which it has acknowledged.
    pub fn holders(&self) -> impl Iterator<Item = (Number, u64)> {
        self.journal.holders()
    }

    /// Journals of others of which anything is held.
    pub fn sources(&self) -> impl Iterator<Item = Source> {
        self.holder.sources()
    }

    /// What is held of one of them.
    pub fn held(&self, source: Source) -> Option<Held> {
        self.holder.held(source)
    }

    /// Whether an event is held that is pending in one of them.
    pub fn holds(&self, source: Source, key: Key) -> bool {
        self.holder.holds(source, key)
    }

    #[doc(hidden)]
    pub fn plant(&mut self, planted: Planted) {
        self.holder.plant(planted);
    }

    /// Takes what is told. What it writes goes out with the next [`Pending::wake`], which is due at once: all that is
    /// told before it goes in one frame.
    pub fn handle(&mut self, now: Micros, wall: WallMs, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Step(step) => self.journal.write(now, wall, step, out),
            Input::Frame { from, bytes } => {
                if let Err(error) = self.frame(now, from, &bytes, out) {
                    out.push(Output::Noted(Fault::Frame { from, error }));
                }
            }
            Input::LinkUp { of, life } => self.journal.up(of, life),
            Input::LinkDown { of } => self.journal.down(of),
            Input::Live(live) => self.journal.see(now, live),
            Input::Agreed { .. } | Input::Asked { .. } => {}
        }
    }

    fn frame(
        &mut self,
        now: Micros,
        from: Number,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), WireError> {
        match open(bytes, self.entry_bytes)? {
            Message::Lines(lines) => {
                own(from, lines.source)?;
                let (ack, fault) = self.holder.take(now, &lines);
                out.extend(fault.map(Output::Noted));
                out.push(Output::Send { to: from, bytes: close(&Message::Ack(ack)) });
            }
            Message::Ack(ack) => self.journal.answered(now, from, ack, out),
            Message::Release(release) => {
                own(from, release.source)?;
                self.holder.release(release);
                out.push(Output::Send { to: from, bytes: close(&Message::Released(release)) });
            }
            Message::Released(release) => self.journal.released(from, release),
            Message::Call => {}
        }
        Ok(())
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Micros, wall: WallMs, out: &mut Vec<Output>) {
        self.journal.wake(now, wall, out);
        if now >= self.sweep {
            self.sweep = now + SWEEP;
            self.holder.wake(now, wall);
        }
    }

    /// When [`Pending::wake`] is due next; past where it is due at once.
    pub fn next_due(&self) -> Micros {
        self.journal.next_due().min(self.sweep)
    }
}

fn own(from: Number, source: Source) -> Result<(), WireError> {
    if source.gateway == from { Ok(()) } else { Err(WireError::Foreign(from)) }
}
