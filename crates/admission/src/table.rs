//! Share tables: the rates that the control thread assigns to the traffic loops.

use basaltward_membership::Micros;

/// Rates at which one loop may admit calls, in calls per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Share {
    /// Admitted rate of each cell, by class, then tenant.
    pub rates: Vec<f64>,
    /// Additional rate that all cells share.
    pub spare: f64,
    /// Lower bound of each cell's rate, so that some calls of a cell with a zero share still get through.
    pub min_rate: f64,
    /// Budget of unscheduled retries of each cell, by class, then tenant.
    pub retry_rates: Vec<f64>,
}

/// Shares of all loops of this gateway, as last computed by the control thread.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareTable {
    /// Version; increases with each table.
    pub version: u64,
    /// From this time on `fallback_shares` apply.
    pub valid_until: Micros,
    /// Share of each loop; `None` while the capacity of the local site is unknown, which admits all calls.
    pub shares: Option<Vec<Share>>,
    /// Share of each loop after `valid_until`: an even part of the local site's capacity among all gateways that are
    /// configured there.
    pub fallback_shares: Option<Vec<Share>>,
}

impl ShareTable {
    /// Share of a loop at this time; `None` if it admits all calls.
    pub fn share_at(&self, now: Micros, loop_no: usize) -> Option<&Share> {
        let shares = if now < self.valid_until { &self.shares } else { &self.fallback_shares };
        shares.as_ref()?.get(loop_no)
    }
}
