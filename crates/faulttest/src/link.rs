//! Links between the parties of a cluster and how their connections are treated.

use std::fmt;

/// One end of a link. The printed names are those in records, logs and timelines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Party {
    /// A scheduler or gateway, by its number.
    Scheduler(usize),
    /// The address at which a gateway, by its number, accepts its peers' connections for journals of pending events.
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

/// A directed link, from the party that connects or sends to the party that it reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Link {
    /// The party that connects or sends.
    pub from: Party,
    /// The party that accepts or receives.
    pub to: Party,
}

impl fmt::Display for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.from, self.to)
    }
}

/// How the relay treats the connections of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionMode {
    /// Bytes are forwarded.
    #[default]
    Pass,
    /// Connections stay open but nothing is forwarded; new connections are accepted and stay silent.
    Stall,
    /// Open connections are reset and new ones are refused.
    Refuse,
}
