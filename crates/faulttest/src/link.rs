//! Who speaks to whom, and what is wrong on the way.

use std::fmt;

/// One end of a way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Party {
    /// A scheduler or gateway, by its number.
    Scheduler(usize),
    /// Where a gateway takes connections of its peers.
    Journal(usize),
    /// A worker, by its number.
    Worker(usize),
    /// The bulletin.
    Bulletin,
    /// All clients.
    Clients,
}

impl fmt::Display for Party {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Scheduler(number) => write!(f, "n{number}"),
            Self::Journal(number) => write!(f, "j{number}"),
            Self::Worker(number) => write!(f, "s-{number}"),
            Self::Bulletin => write!(f, "bulletin"),
            Self::Clients => write!(f, "clients"),
        }
    }
}

/// A way from who connects or sends to who is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Link {
    /// Who begins.
    pub from: Party,
    /// Who is reached.
    pub to: Party,
}

impl fmt::Display for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.from, self.to)
    }
}

/// What becomes of the connections of a way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionMode {
    /// They carry.
    #[default]
    Pass,
    /// They stay open and carry nothing; new ones stand and stay silent.
    Stall,
    /// They break, and new ones are refused.
    Refuse,
}
