//! What goes into the machine and comes out of it, and how it is set.

use crate::error::{Fault, Unkept};
use crate::types::{Accepted, Key, Outcome, Step, WallMs};
use basaltward_fleet::{Micros, Number, Places, Site};

/// How kept events are held.
#[derive(Clone, Debug)]
pub struct PendingSettings {
    /// Which gateway stands at which site.
    pub places: Places,
    /// When our life began, as in our incarnation: another than any before it.
    pub life: u64,
    /// Gateways of other sites that hold an entry, by class; 0 where a class keeps nothing.
    pub holders: Vec<u8>,
    /// Bytes held for all others together, and bytes pending here.
    pub bytes: usize,
    /// Longest event with its function's name, and longest answer.
    pub entry_bytes: usize,
    /// A lease under which an unsafe event is sent, on the holders' clocks.
    pub lease: Micros,
    /// An entry that is not held after this time counts as not held.
    pub patience: Micros,
    /// What is held is kept for so long past its deadline or window: for repeats, and as wall clocks differ.
    pub remember_ms: WallMs,
    /// What choices that are free follow from.
    pub seed: u64,
}

impl PendingSettings {
    /// As configured where nothing else is said.
    pub fn new(places: Places, life: u64, holders: Vec<u8>, seed: u64) -> Self {
        Self {
            places,
            life,
            holders,
            bytes: 64 << 20,
            entry_bytes: 64 << 10,
            lease: 3_000_000,
            patience: 1_000_000,
            remember_ms: 30_000,
            seed,
        }
    }
}

/// What the machine is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// By a loop of this gateway: an event was accepted, is about to be sent, has ended. The first two are answered by
    /// [`Output::Held`] or [`Output::Unheld`], and by [`Output::May`] or [`Output::MayNot`].
    Step(Step),
    /// A whole frame of another gateway.
    Frame {
        /// Who sent it.
        from: Number,
        /// The frame.
        bytes: Vec<u8>,
    },
    /// A connection to a gateway stands, to this life of it. Frames that were on their way may be lost.
    LinkUp {
        /// The gateway.
        of: Number,
        /// Its life, as it told in the connection's first words.
        life: u64,
    },
    /// No connection to it stands.
    LinkDown {
        /// The gateway.
        of: Number,
    },
    /// Who is live by the view, by number.
    Live(Vec<bool>),
    /// Sites that the council has permitted to take over, with the permits' numbers.
    Agreed {
        /// The sites.
        taken: Vec<(Site, u16)>,
    },
    /// What came of [`Output::AskTakeOver`]: the permit's number, if there is one.
    Asked {
        /// The site.
        site: Site,
        /// The number.
        permit: Option<u16>,
    },
}

/// What the machine wants done, or tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A frame for another gateway, over a kept connection, which is made if there is none.
    Send {
        /// To whom.
        to: Number,
        /// The frame.
        bytes: Vec<u8>,
    },
    /// As many gateways as its class wants hold that this event was accepted.
    Held {
        /// The event.
        key: Key,
    },
    /// It is not kept. After [`Unkept::Late`] it may be known to some holder: an end is written for it here, and until
    /// that is held a heir could still run it; after any other reason nobody knows of it.
    Unheld {
        /// The event.
        key: Key,
        /// Why.
        why: Unkept,
    },
    /// The first byte of this attempt may leave before this time of the caller's clock.
    May {
        /// The event.
        key: Key,
        /// The attempt.
        attempt: u32,
        /// The time; unbounded where no lease is needed.
        until: Micros,
    },
    /// It may not leave.
    MayNot {
        /// The event.
        key: Key,
        /// The attempt.
        attempt: u32,
        /// Why.
        why: Unkept,
    },
    /// Something is wrong with a journal or a frame; it is named here and handled.
    Noted(Fault),
    /// A site counts as lost and the council is to be asked for the permit to take over.
    AskTakeOver(Site),
    /// An event of a lost site is to be done here.
    Run {
        /// The event.
        pending: Accepted,
        /// The attempt under which it is sent, and whether it was sent before.
        attempt: u32,
    },
    /// An event of a lost site ends without being run here.
    Told {
        /// The event.
        key: Key,
        /// How.
        outcome: Outcome,
        /// The answer, where there is one.
        answer: Vec<u8>,
    },
}
