//! What gateways tell each other. Figures are whole numbers: there is nothing in a frame that is not a value.

use crate::settings::{FRAME, RoutingError};
use crate::types::{MAX_REMOTE_ROUTES, RemoteRoute};
use basaltward_membership::{MemberId, Micros, Site};
use serde::{Deserialize, Serialize};

/// Functions that a frame speaks of at most, those with the most calls first.
pub(crate) const MOST_FIGURES: usize = 2_500;

/// A function at a gateway or at a site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Figure {
    /// Its position.
    pub function: u32,
    /// Calls of clients in 1,000 s.
    pub came: u32,
    /// The same over a longer span.
    pub calls: u32,
    /// Calls served in 1,000 s.
    pub served: u32,
    /// Mean time of those served.
    pub took: u32,
    /// Of 1,000 served, how many found no copy.
    pub cold: u16,
    /// In hand, in thousandths, smoothed.
    pub in_hand: u32,
    /// Most in hand at once within the time that idle copies are kept; 0 where none was served in it.
    pub peak: u32,
}

impl Figure {
    pub fn came(&self) -> f64 {
        f64::from(self.came) / 1e3
    }

    pub fn calls(&self) -> f64 {
        f64::from(self.calls) / 1e3
    }

    pub fn served(&self) -> f64 {
        f64::from(self.served) / 1e3
    }

    pub fn in_hand(&self) -> f64 {
        f64::from(self.in_hand) / 1e3
    }

    pub fn cold(&self) -> f64 {
        f64::from(self.cold).min(1e3) / 1e3
    }

    /// This one and another of the same function, at another gateway of the site.
    pub fn and(self, other: &Self) -> Self {
        let weigh = |a: u64, b: u64| {
            let (a, b) = (a * u64::from(self.served), b * u64::from(other.served));
            (a + b).checked_div(u64::from(self.served) + u64::from(other.served)).unwrap_or(0)
        };
        Self {
            function: self.function,
            came: self.came.saturating_add(other.came),
            calls: self.calls.saturating_add(other.calls),
            served: self.served.saturating_add(other.served),
            took: weigh(self.took.into(), other.took.into()) as u32,
            cold: weigh(self.cold.into(), other.cold.into()) as u16,
            in_hand: self.in_hand.saturating_add(other.in_hand),
            peak: self.peak.saturating_add(other.peak),
        }
    }
}

/// How calls that were handed to a site ended, in 1,000 s.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ends {
    pub site: Site,
    pub served: u32,
    pub refused: u32,
    /// Lost, or never reached it.
    pub lost: u32,
    /// Mean time of those served, the way included.
    pub took: u32,
}

impl Ends {
    /// These and those of another gateway with the same site.
    pub fn and(self, other: &Self) -> Self {
        let took = |e: &Self| u64::from(e.took) * u64::from(e.served);
        let all = u64::from(self.served) + u64::from(other.served);
        Self {
            site: self.site,
            served: self.served.saturating_add(other.served),
            refused: self.refused.saturating_add(other.refused),
            lost: self.lost.saturating_add(other.lost),
            took: (took(&self) + took(other)).checked_div(all).unwrap_or(0) as u32,
        }
    }
}

/// The last frame of the receiver that was heard, and how long before this one was written: the receiver's own clock
/// bounds the age of what it gets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Heard {
    pub number: u64,
    pub held: Micros,
}

/// Where a function's calls of the telling site are at home, where that is not plainly at the site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Homed {
    pub function: u32,
    pub home: Site,
    /// It moved of late, and stays.
    pub stays: bool,
    /// It would move there.
    pub bid: Option<Site>,
}

/// A gateway's own figures, for its site's teller.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Part {
    pub number: u64,
    pub workers: u32,
    pub by: Vec<Figure>,
    pub ends: Vec<Ends>,
}

/// A site's figures, for the tellers of other sites.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Word {
    pub number: u64,
    pub heard: Option<Heard>,
    pub workers: u32,
    /// Work that it has above what it can do, in thousandths of calls in service.
    pub over: u32,
    pub by: Vec<Figure>,
    pub homes: Vec<Homed>,
}

/// A way of a row, as it crosses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ToldWay {
    pub site: Site,
    pub there: Micros,
    pub share: u16,
    pub room: u16,
}

impl From<&ToldWay> for RemoteRoute {
    fn from(told: &ToldWay) -> Self {
        Self {
            site: told.site,
            peer: 0,
            expected_latency: told.there,
            share: told.share,
            call_limit: told.room,
        }
    }
}

/// A row that is not plainly answered here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ToldRow {
    pub function: u32,
    pub home: Site,
    pub stays: bool,
    pub here: Micros,
    pub warm: bool,
    pub ways: [ToldWay; MAX_REMOTE_ROUTES],
}

/// What a site's teller has worked out, for the site's gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Rows {
    pub number: u64,
    pub heard: Option<Heard>,
    pub rows: Vec<ToldRow>,
}

/// A frame between peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Frame {
    Part(Part),
    Word(Word),
    Rows(Rows),
}

impl Frame {
    /// Its bytes; none where it can't be written, which its bounds rule out.
    pub fn bytes(&self) -> Option<Vec<u8>> {
        postcard::to_allocvec(self).ok().filter(|bytes| bytes.len() <= FRAME)
    }

    /// What a peer's bytes say.
    pub fn read(from: MemberId, bytes: &[u8]) -> Result<Self, RoutingError> {
        if bytes.len() > FRAME {
            return Err(RoutingError::TooLong { from, bytes: bytes.len() });
        }
        match postcard::take_from_bytes(bytes) {
            Ok((frame, [])) => Ok(frame),
            _ => Err(RoutingError::Unreadable(from)),
        }
    }
}
