use basaltward_membership::Micros;

/// What one loop may take: calls a second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Share {
    /// By class, then tenant.
    pub rates: Vec<f64>,
    /// For any of them, beyond its own.
    pub spare: f64,
    /// Of each of them at least this, that a pair whose share is nothing is seen at all.
    pub min_rate: f64,
    /// Retries that nobody asked for, by class, then tenant.
    pub retry_rates: Vec<f64>,
}

/// What this gateway may take, whole, as the control thread last worked it out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareTable {
    /// Counts up: a later table has a greater one.
    pub version: u64,
    /// Past this time the own share alone holds.
    pub valid_until: Micros,
    /// The share of each loop; none while our site's capacity is not known: then all is taken.
    pub shares: Option<Vec<Share>>,
    /// The share of each loop past `until`: an even part of our site among all that are configured there.
    pub fallback_shares: Option<Vec<Share>>,
}

impl ShareTable {
    /// What a loop goes by at this time.
    pub fn share_at(&self, now: Micros, loop_no: usize) -> Option<&Share> {
        let shares = if now < self.valid_until { &self.shares } else { &self.fallback_shares };
        shares.as_ref()?.get(loop_no)
    }
}
