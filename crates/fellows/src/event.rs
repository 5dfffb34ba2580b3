use basaltward_agreed::{Answered, Ledger, Stored};
use basaltward_fleet::{Incarnation, Number, State};

/// What a program hears of its fellows by datagrams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Something else is believed of a member.
    Believed {
        /// Which.
        of: Number,
        /// Of which of its lives.
        incarnation: Incarnation,
        /// What it is now.
        state: State,
    },
    /// A later life of our name goes on, and the fleet hears nothing of us any more.
    Superseded,
    /// Something later is agreed.
    Agreed(Stored<Ledger>),
    /// Workers, by name, whose drain has begun or ended: ask of each whether it is held.
    Held(Vec<String>),
    /// The answer to a wish of this program itself, by the number that asking gave.
    Answered {
        /// The number.
        tag: u32,
        /// The answer.
        answer: Answered,
    },
}
