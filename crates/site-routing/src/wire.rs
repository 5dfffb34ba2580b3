//! What gateways tell each other. Figures are whole numbers: there is nothing in a frame that is not a value.

use crate::settings::{MAX_FRAME_BYTES, RoutingError};
use crate::types::{MAX_REMOTE_ROUTES, RemoteRoute};
use basaltward_membership::{MemberId, Micros, Site};
use serde::{Deserialize, Serialize};

/// Functions that a frame speaks of at most, those with the most calls first.
pub(crate) const MAX_FUNCTIONS_PER_REPORT: usize = 2_500;

/// A function at a gateway or at a site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FunctionStats {
    /// Its position.
    pub function: u32,
    /// Calls of clients in 1,000 s.
    pub arrivals: u32,
    /// The same over a longer span.
    pub slow_arrivals: u32,
    /// Calls served in 1,000 s.
    pub served: u32,
    /// Mean time of those served.
    pub mean_time: u32,
    /// Of 1,000 served, how many found no copy.
    pub cold_starts: u16,
    /// In hand, in thousandths, smoothed.
    pub in_flight: u32,
    /// Most in hand at once within the time that idle copies are kept; 0 where none was served in it.
    pub peak_in_flight: u32,
}

impl FunctionStats {
    pub fn arrivals(&self) -> f64 {
        f64::from(self.arrivals) / 1e3
    }

    pub fn slow_arrivals(&self) -> f64 {
        f64::from(self.slow_arrivals) / 1e3
    }

    pub fn served(&self) -> f64 {
        f64::from(self.served) / 1e3
    }

    pub fn in_flight(&self) -> f64 {
        f64::from(self.in_flight) / 1e3
    }

    pub fn cold_starts(&self) -> f64 {
        f64::from(self.cold_starts).min(1e3) / 1e3
    }

    /// This one and another of the same function, at another gateway of the site.
    pub fn and(self, other: &Self) -> Self {
        let weigh = |a: u64, b: u64| {
            let (a, b) = (a * u64::from(self.served), b * u64::from(other.served));
            (a + b).checked_div(u64::from(self.served) + u64::from(other.served)).unwrap_or(0)
        };
        Self {
            function: self.function,
            arrivals: self.arrivals.saturating_add(other.arrivals),
            slow_arrivals: self.slow_arrivals.saturating_add(other.slow_arrivals),
            served: self.served.saturating_add(other.served),
            mean_time: weigh(self.mean_time.into(), other.mean_time.into()) as u32,
            cold_starts: weigh(self.cold_starts.into(), other.cold_starts.into()) as u16,
            in_flight: self.in_flight.saturating_add(other.in_flight),
            peak_in_flight: self.peak_in_flight.saturating_add(other.peak_in_flight),
        }
    }
}

/// How calls that were handed to a site ended, in 1,000 s.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HandoverStats {
    pub site: Site,
    pub served: u32,
    pub refused: u32,
    /// Lost, or never reached it.
    pub lost: u32,
    /// Mean time of those served, the way included.
    pub mean_time: u32,
}

impl HandoverStats {
    /// These and those of another gateway with the same site.
    pub fn and(self, other: &Self) -> Self {
        let took = |e: &Self| u64::from(e.mean_time) * u64::from(e.served);
        let all = u64::from(self.served) + u64::from(other.served);
        Self {
            site: self.site,
            served: self.served.saturating_add(other.served),
            refused: self.refused.saturating_add(other.refused),
            lost: self.lost.saturating_add(other.lost),
            mean_time: (took(&self) + took(other)).checked_div(all).unwrap_or(0) as u32,
        }
    }
}

/// The last frame of the receiver that was heard, and how long before this one was written: the receiver's own clock
/// bounds the age of what it gets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Acknowledgment {
    pub number: u64,
    pub held_for: Micros,
}

/// Where a function's calls of the telling site are at home, where that is not plainly at the site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HomeStatus {
    pub function: u32,
    pub home: Site,
    /// It moved of late, and stays.
    pub dwelling: bool,
    /// It would move there.
    pub bid: Option<Site>,
}

/// A gateway's own figures, for its site's teller.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GatewayReport {
    pub number: u64,
    pub workers: u32,
    pub functions: Vec<FunctionStats>,
    pub handovers: Vec<HandoverStats>,
}

/// A site's figures, for the tellers of other sites.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SiteReport {
    pub number: u64,
    pub ack: Option<Acknowledgment>,
    pub workers: u32,
    /// Work that it has above what it can do, in thousandths of calls in service.
    pub excess: u32,
    pub functions: Vec<FunctionStats>,
    pub homes: Vec<HomeStatus>,
}

/// A way of a row, as it crosses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlannedRoute {
    pub site: Site,
    pub expected_latency: Micros,
    pub share: u16,
    pub call_limit: u16,
}

impl From<&PlannedRoute> for RemoteRoute {
    fn from(told: &PlannedRoute) -> Self {
        Self {
            site: told.site,
            peer: 0,
            expected_latency: told.expected_latency,
            share: told.share,
            call_limit: told.call_limit,
        }
    }
}

/// A row that is not plainly answered here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlannedRow {
    pub function: u32,
    pub home: Site,
    pub dwelling: bool,
    pub local_latency: Micros,
    pub warm_at_home: bool,
    pub remote_routes: [PlannedRoute; MAX_REMOTE_ROUTES],
}

/// What a site's teller has worked out, for the site's gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlannedRows {
    pub number: u64,
    pub ack: Option<Acknowledgment>,
    pub rows: Vec<PlannedRow>,
}

/// A frame between peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Frame {
    GatewayReport(GatewayReport),
    SiteReport(SiteReport),
    PlannedRows(PlannedRows),
}

impl Frame {
    /// Its bytes; none where it can't be written, which its bounds rule out.
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_allocvec(self).ok().filter(|bytes| bytes.len() <= MAX_FRAME_BYTES)
    }

    /// What a peer's bytes say.
    pub fn decode(from: MemberId, bytes: &[u8]) -> Result<Self, RoutingError> {
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(RoutingError::TooLong { from, bytes: bytes.len() });
        }
        match postcard::take_from_bytes(bytes) {
            Ok((frame, [])) => Ok(frame),
            _ => Err(RoutingError::Unreadable(from)),
        }
    }
}
