//! Frames between gateways, in postcard encoding.
//!
//! All values are integers, so that a frame can't contain NaN or infinity.

use crate::settings::{MAX_FRAME_BYTES, RoutingError};
use crate::types::{MAX_REMOTE_ROUTES, RemoteRoute};
use basaltward_membership::{MemberId, Micros, Site};
use serde::{Deserialize, Serialize};

/// Maximum number of functions in a report; if there are more, those with the most calls are included.
pub(crate) const MAX_FUNCTIONS_PER_REPORT: usize = 2_500;

/// Statistics of a function at a gateway or a site. Rates are in calls per 1,000 s.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FunctionStats {
    /// Position of the function.
    pub function: u32,
    /// Rate of calls from clients, smoothed over a short span.
    pub arrivals: u32,
    /// Rate of calls from clients, smoothed over a longer span.
    pub slow_arrivals: u32,
    /// Rate of calls served.
    pub served: u32,
    /// Mean time of served calls, in microseconds.
    pub mean_time: u32,
    /// Served calls that found no loaded copy, per thousand.
    pub cold_starts: u16,
    /// Smoothed number of calls in flight, in thousandths.
    pub in_flight: u32,
    /// Most calls in flight at once during the last keep-alive time; 0 if none was served in it.
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

    /// Combines the statistics of the same function at two gateways of a site.
    pub fn and(self, other: &Self) -> Self {
        let weighted_mean = |a: u64, b: u64| {
            let (a, b) = (a * u64::from(self.served), b * u64::from(other.served));
            (a + b).checked_div(u64::from(self.served) + u64::from(other.served)).unwrap_or(0)
        };
        Self {
            function: self.function,
            arrivals: self.arrivals.saturating_add(other.arrivals),
            slow_arrivals: self.slow_arrivals.saturating_add(other.slow_arrivals),
            served: self.served.saturating_add(other.served),
            mean_time: weighted_mean(self.mean_time.into(), other.mean_time.into()) as u32,
            cold_starts: weighted_mean(self.cold_starts.into(), other.cold_starts.into()) as u16,
            in_flight: self.in_flight.saturating_add(other.in_flight),
            peak_in_flight: self.peak_in_flight.saturating_add(other.peak_in_flight),
        }
    }
}

/// Outcomes of calls that were handed to a site, per 1,000 s.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HandoverStats {
    pub site: Site,
    pub served: u32,
    pub refused: u32,
    /// Calls that were lost, or could not be sent.
    pub lost: u32,
    /// Mean time of the served calls including the link, in microseconds.
    pub mean_time: u32,
}

impl HandoverStats {
    /// Combines the outcomes that two gateways had with the same site.
    pub fn and(self, other: &Self) -> Self {
        let total_time = |e: &Self| u64::from(e.mean_time) * u64::from(e.served);
        let all = u64::from(self.served) + u64::from(other.served);
        Self {
            site: self.site,
            served: self.served.saturating_add(other.served),
            refused: self.refused.saturating_add(other.refused),
            lost: self.lost.saturating_add(other.lost),
            mean_time: (total_time(&self) + total_time(other)).checked_div(all).unwrap_or(0) as u32,
        }
    }
}

/// Acknowledges the last frame received from the recipient, with the time from receiving it to writing this frame. The
/// recipient knows when it sent that frame, so it can bound the age of this one by its own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Acknowledgment {
    pub number: u64,
    pub held_for: Micros,
}

/// Home of a function for the calls of the reporting site; reported only for functions that have moved or may move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HomeStatus {
    pub function: u32,
    pub home: Site,
    /// It moved recently and does not move to another site yet.
    pub dwelling: bool,
    /// The site to which it is to move, while that move is pending.
    pub bid: Option<Site>,
}

/// Statistics of one gateway, for the coordinator of its site.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GatewayReport {
    pub number: u64,
    pub workers: u32,
    pub functions: Vec<FunctionStats>,
    pub handovers: Vec<HandoverStats>,
}

/// Statistics of a site, for the coordinators of other sites.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SiteReport {
    pub number: u64,
    pub ack: Option<Acknowledgment>,
    pub workers: u32,
    /// Load above the capacity of the site, in thousandths of calls in service.
    pub excess: u32,
    pub functions: Vec<FunctionStats>,
    pub homes: Vec<HomeStatus>,
}

/// A remote route as encoded in frames; each gateway chooses the peer itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlannedRoute {
    pub site: Site,
    pub expected_latency: Micros,
    pub share: u16,
    pub call_limit: u16,
}

impl From<&PlannedRoute> for RemoteRoute {
    fn from(planned: &PlannedRoute) -> Self {
        Self {
            site: planned.site,
            peer: 0,
            expected_latency: planned.expected_latency,
            share: planned.share,
            call_limit: planned.call_limit,
        }
    }
}

/// Routing of a function whose calls are not all served locally.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlannedRow {
    pub function: u32,
    pub home: Site,
    pub dwelling: bool,
    pub local_latency: Micros,
    pub warm_at_home: bool,
    pub remote_routes: [PlannedRoute; MAX_REMOTE_ROUTES],
}

/// Rows computed by the coordinator of a site, for the gateways of that site.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlannedRows {
    pub number: u64,
    pub ack: Option<Acknowledgment>,
    pub rows: Vec<PlannedRow>,
}

/// A frame between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// From a gateway to the coordinator of its site.
    GatewayReport(GatewayReport),
    /// Between the coordinators of two sites.
    SiteReport(SiteReport),
    /// From a coordinator to a gateway of its site.
    PlannedRows(PlannedRows),
}

impl Frame {
    /// Encodes the frame; `None` if it exceeds the size limit, which the bounds of its contents rule out.
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_allocvec(self).ok().filter(|bytes| bytes.len() <= MAX_FRAME_BYTES)
    }

    /// Decodes a frame received from a peer.
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
