//! Divides the capacity of all sites among cells by value and max-min fairness.
//!
//! Calls are served in the order of their value: that of the class, which is reduced for calls above the tenant's
//! quota; of equal values, calls within the quota come first. Within a class the shares of all tenants rise at the
//! same rate (water filling) until a tenant's demand is met or the capacity is used up, over all sites at once.

use crate::settings::AdmissionSettings;

/// Demand and capacity of a site, or the result of an allocation: admitted rates and remaining capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteDemand {
    /// Capacity in calls per second.
    pub capacity: f64,
    /// Calls per second by class, then tenant.
    pub arrivals: Vec<f64>,
}

/// Maximum number of steps of one water filling. Each step ends when a cell's demand is met or a site is full.
const MAX_STEPS: usize = 400;

/// Fraction of each cell's calls that is within `quota_share` times its tenant's quota. `totals` are the cells' calls
/// per second. Classes of higher value use the quota first.
pub fn within_quota(settings: &AdmissionSettings, totals: &[f64], quota_share: f64) -> Vec<f64> {
    let tenants = settings.tenant_count();
    let mut within = vec![1.0; totals.len()];
    let mut order: Vec<usize> = (0..settings.classes.len()).collect();
    order.sort_by(|a, b| settings.classes[*b].value.total_cmp(&settings.classes[*a].value).then(a.cmp(b)));
    for (tenant, quota) in settings.quotas.iter().enumerate() {
        let mut remaining = quota * quota_share;
        for class in &order {
            let cell = class * tenants + tenant;
            let used = totals[cell].min(remaining);
            within[cell] = if totals[cell] > 0.0 { used / totals[cell] } else { 1.0 };
            remaining -= used;
        }
    }
    within
}

/// Allocates the capacity of each site: admitted rates by cell and the remaining capacity.
///
/// `within` is the fraction of each cell's calls that is within its tenant's quota.
pub fn allocate(settings: &AdmissionSettings, sites: &[SiteDemand], within: &[f64]) -> Vec<SiteDemand> {
    let tenants = settings.tenant_count();
    // Value, whether the calls are above their quota, and class.
    let mut levels: Vec<(f64, bool, usize)> = Vec::new();
    for (class, class_settings) in settings.classes.iter().enumerate() {
        levels.push((class_settings.value, false, class));
        levels.push((class_settings.value * settings.over_share_value, true, class));
    }
    levels.sort_by(|a, b| b.0.total_cmp(&a.0).then((a.1, a.2).cmp(&(b.1, b.2))));
    let mut allocated: Vec<SiteDemand> = sites
        .iter()
        .map(|site| SiteDemand { capacity: site.capacity, arrivals: vec![0.0; site.arrivals.len()] })
        .collect();
    for (_, above_quota, class) in levels {
        let cells = class * tenants..(class + 1) * tenants;
        let part = |cell: usize| if above_quota { 1.0 - within[cell] } else { within[cell] };
        let demand: Vec<Vec<f64>> = sites
            .iter()
            .map(|site| cells.clone().map(|cell| site.arrivals[cell] * part(cell)).collect())
            .collect();
        let mut remaining: Vec<f64> = allocated.iter().map(|site| site.capacity).collect();
        let admitted = max_min_fill(&demand, &mut remaining);
        for ((site, admitted), remaining) in allocated.iter_mut().zip(admitted).zip(remaining) {
            site.capacity = remaining;
            cells.clone().zip(admitted).for_each(|(cell, admitted)| site.arrivals[cell] += admitted);
        }
    }
    allocated
}

/// Raises the shares of all tenants at the same rate, each distributed over the sites with unmet demand in proportion
/// to that demand.
fn max_min_fill(demand: &[Vec<f64>], remaining: &mut [f64]) -> Vec<Vec<f64>> {
    const EPSILON: f64 = 1e-9;
    let tenants = demand.first().map_or(0, Vec::len);
    let mut admitted = vec![vec![0.0; tenants]; demand.len()];
    for _ in 0..MAX_STEPS {
        let mut rate = vec![vec![0.0; tenants]; demand.len()];
        for tenant in 0..tenants {
            let unmet = |site: usize| {
                if remaining[site] > EPSILON {
                    (demand[site][tenant] - admitted[site][tenant]).max(0.0)
                } else {
                    0.0
                }
            };
            let total: f64 = (0..demand.len()).map(unmet).sum();
            if total > EPSILON {
                (0..demand.len()).for_each(|site| rate[site][tenant] = unmet(site) / total);
            }
        }
        let mut step = f64::INFINITY;
        for (site, rates) in rate.iter().enumerate() {
            let all: f64 = rates.iter().sum();
            if all > 0.0 {
                step = step.min(remaining[site] / all);
            }
            for (tenant, rate) in rates.iter().enumerate().filter(|(_, rate)| **rate > 0.0) {
                step = step.min((demand[site][tenant] - admitted[site][tenant]) / rate);
            }
        }
        if !step.is_finite() {
            break;
        }
        for (site, rates) in rate.iter().enumerate() {
            for (tenant, rate) in rates.iter().enumerate() {
                admitted[site][tenant] += rate * step;
                remaining[site] -= rate * step;
            }
        }
        remaining.iter_mut().for_each(|remaining| *remaining = remaining.max(0.0));
    }
    admitted
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::ClassSettings;
    use basaltward_membership::SiteMap;
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};

    fn settings(values: &[f64], quotas: Vec<f64>) -> AdmissionSettings {
        let class = |value: &f64| ClassSettings { value: *value, aim: 500_000, deadline: 2_000_000 };
        let site_map = SiteMap::new(vec![0], 0).expect("in the list");
        let defaults = AdmissionSettings::new(values.iter().map(class).collect(), quotas, site_map);
        AdmissionSettings { over_share_value: 0.2, ..defaults }
    }

    #[test]
    fn higher_value_goes_first_then_calls_within_their_quota() {
        let settings = settings(&[1.0, 10.0], vec![30.0, 30.0]);
        let sites = [SiteDemand { capacity: 100.0, arrivals: vec![40.0, 40.0, 5.0, 60.0] }];
        let allocated = allocate(&settings, &sites, &within_quota(&settings, &[40.0, 40.0, 5.0, 60.0], 1.0));
        // Class 1 has 5 and 30 calls within the quotas at value 10, and 30 above at value 2. Class 0 has 25 within the
        // quota of tenant 0 and none within that of tenant 1.
        let expected = [25.0 + 5.0, 5.0, 5.0, 60.0];
        let close = allocated[0].arrivals.iter().zip(expected).all(|(a, b)| (a - b).abs() < 1e-6);
        assert!(close && allocated[0].capacity < 1e-6, "{allocated:?}");
    }

    /// Reference result: small increments, each to the tenant with the smallest share.
    fn by_increments(demand: &[f64], mut remaining: f64) -> Vec<f64> {
        let mut admitted = vec![0.0; demand.len()];
        while remaining > 0.0 {
            let unsatisfied = |at: &usize| admitted[*at] + 0.01 <= demand[*at];
            let smallest =
                (0..demand.len()).filter(unsatisfied).min_by(|a, b| admitted[*a].total_cmp(&admitted[*b]));
            let Some(smallest) = smallest else { break };
            admitted[smallest] += 0.01;
            remaining -= 0.01;
        }
        admitted
    }

    #[test]
    fn shares_of_one_site_equal_those_of_small_increments() {
        let mut rng = StdRng::seed_from_u64(3);
        for _ in 0..300 {
            let demand: Vec<f64> = (0..rng.random_range(1..8)).map(|_| rng.random_range(0.0..30.0)).collect();
            let capacity = rng.random_range(1.0..100.0);
            let steps = by_increments(&demand, capacity);
            let filled = max_min_fill(std::slice::from_ref(&demand), &mut [capacity]);
            let max_error = filled[0].iter().zip(&steps).map(|(a, b)| (a - b).abs()).fold(0.0, f64::max);
            assert!(
                max_error < 0.05,
                "demand {demand:?}, capacity {capacity}: {filled:?}, by increments {steps:?}"
            );
        }
    }

    #[test]
    fn no_site_exceeds_its_capacity_or_leaves_usable_capacity_free() {
        let mut rng = StdRng::seed_from_u64(4);
        for _ in 0..300 {
            let (sites, tenants) = (rng.random_range(1..6), rng.random_range(1..6));
            let settings = settings(&[1.0, 3.0], vec![20.0; tenants]);
            let sites: Vec<SiteDemand> = (0..sites)
                .map(|_| SiteDemand {
                    capacity: rng.random_range(0.0..80.0),
                    arrivals: (0..tenants * 2).map(|_| rng.random_range(0.0..20.0)).collect(),
                })
                .collect();
            let totals: Vec<f64> =
                (0..tenants * 2).map(|cell| sites.iter().map(|site| site.arrivals[cell]).sum()).collect();
            let allocated = allocate(&settings, &sites, &within_quota(&settings, &totals, 1.0));
            for (site, allocated) in sites.iter().zip(&allocated) {
                let (demand, admitted): (f64, f64) =
                    (site.arrivals.iter().sum(), allocated.arrivals.iter().sum());
                assert!(
                    (admitted - demand.min(site.capacity)).abs() < 1e-3,
                    "{admitted} admitted of {demand} at capacity {}",
                    site.capacity
                );
                assert!(
                    allocated
                        .arrivals
                        .iter()
                        .zip(&site.arrivals)
                        .all(|(admitted, demand)| *admitted <= demand + 1e-6)
                );
            }
        }
    }
}
