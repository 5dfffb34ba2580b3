//! Admitted shares: the worth first, of one worth those within their tenants' quotas, and of a class each tenant's
//! rise alike until its calls are all taken or there is no room (max-min fair), over all sites at once.

use crate::settings::AdmissionSettings;

/// What comes to a site and what it can do, calls a second.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteDemand {
    /// Capacity.
    pub capacity: f64,
    /// By class, then tenant.
    pub arrivals: Vec<f64>,
}

/// Steps of one filling at most: each ends at a pair that is satisfied or a site that is full.
const MAX_STEPS: usize = 400;

/// How much of each pair's calls is within its tenant's quota: the classes of greater worth use it first.
pub fn within_quota(settings: &AdmissionSettings, totals: &[f64], part: f64) -> Vec<f64> {
    let tenants = settings.tenant_count();
    let mut within = vec![1.0; totals.len()];
    let mut order: Vec<usize> = (0..settings.classes.len()).collect();
    order.sort_by(|a, b| settings.classes[*b].value.total_cmp(&settings.classes[*a].value).then(a.cmp(b)));
    for (tenant, quota) in settings.quotas.iter().enumerate() {
        let mut left = quota * part;
        for class in &order {
            let cell = class * tenants + tenant;
            let taken = totals[cell].min(left);
            within[cell] = if totals[cell] > 0.0 { taken / totals[cell] } else { 1.0 };
            left -= taken;
        }
    }
    within
}

/// What is admitted at each site, by pair, and the room that is left there.
pub fn allocate(settings: &AdmissionSettings, sites: &[SiteDemand], within: &[f64]) -> Vec<SiteDemand> {
    let tenants = settings.tenant_count();
    let mut levels: Vec<(f64, bool, usize)> = Vec::new();
    for (class, of) in settings.classes.iter().enumerate() {
        levels.push((of.value, false, class));
        levels.push((of.value * settings.over_share_value, true, class));
    }
    levels.sort_by(|a, b| b.0.total_cmp(&a.0).then((a.1, a.2).cmp(&(b.1, b.2))));
    let mut done: Vec<SiteDemand> = sites
        .iter()
        .map(|site| SiteDemand { capacity: site.capacity, arrivals: vec![0.0; site.arrivals.len()] })
        .collect();
    for (_, over, class) in levels {
        let cells = class * tenants..(class + 1) * tenants;
        let part = |cell: usize| if over { 1.0 - within[cell] } else { within[cell] };
        let wanted: Vec<Vec<f64>> = sites
            .iter()
            .map(|site| cells.clone().map(|cell| site.arrivals[cell] * part(cell)).collect())
            .collect();
        let mut room: Vec<f64> = done.iter().map(|site| site.capacity).collect();
        let given = max_min_fill(&wanted, &mut room);
        for ((site, given), room) in done.iter_mut().zip(given).zip(room) {
            site.capacity = room;
            cells.clone().zip(given).for_each(|(cell, given)| site.arrivals[cell] += given);
        }
    }
    done
}

/// Raises all tenants alike, each over the sites where it wants more in proportion to what it wants there.
fn max_min_fill(wanted: &[Vec<f64>], room: &mut [f64]) -> Vec<Vec<f64>> {
    const LITTLE: f64 = 1e-9;
    let tenants = wanted.first().map_or(0, Vec::len);
    let mut given = vec![vec![0.0; tenants]; wanted.len()];
    for _ in 0..MAX_STEPS {
        let mut speed = vec![vec![0.0; tenants]; wanted.len()];
        for tenant in 0..tenants {
            let wants = |site: usize| {
                if room[site] > LITTLE { (wanted[site][tenant] - given[site][tenant]).max(0.0) } else { 0.0 }
            };
            let total: f64 = (0..wanted.len()).map(wants).sum();
            if total > LITTLE {
                (0..wanted.len()).for_each(|site| speed[site][tenant] = wants(site) / total);
            }
        }
        let mut step = f64::INFINITY;
        for (site, speeds) in speed.iter().enumerate() {
            let all: f64 = speeds.iter().sum();
            if all > 0.0 {
                step = step.min(room[site] / all);
            }
            for (tenant, speed) in speeds.iter().enumerate().filter(|(_, speed)| **speed > 0.0) {
                step = step.min((wanted[site][tenant] - given[site][tenant]) / speed);
            }
        }
        if !step.is_finite() {
            break;
        }
        for (site, speeds) in speed.iter().enumerate() {
            for (tenant, speed) in speeds.iter().enumerate() {
                given[site][tenant] += speed * step;
                room[site] -= speed * step;
            }
        }
        room.iter_mut().for_each(|room| *room = room.max(0.0));
    }
    given
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::ClassSettings;
    use basaltward_membership::SiteMap;
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};

    fn settings(worths: &[f64], quotas: Vec<f64>) -> AdmissionSettings {
        let class = |worth: &f64| ClassSettings { value: *worth, aim: 500_000, deadline: 2_000_000 };
        let places = SiteMap::new(vec![0], 0).expect("in the list");
        let usual = AdmissionSettings::new(worths.iter().map(class).collect(), quotas, places);
        AdmissionSettings { over_share_value: 0.2, ..usual }
    }

    #[test]
    fn worth_goes_first_then_who_is_within_its_quota() {
        let settings = settings(&[1.0, 10.0], vec![30.0, 30.0]);
        let sites = [SiteDemand { capacity: 100.0, arrivals: vec![40.0, 40.0, 5.0, 60.0] }];
        let done = allocate(&settings, &sites, &within_quota(&settings, &[40.0, 40.0, 5.0, 60.0], 1.0));
        // Class 1: 5 and 30 within, worth 10; 30 past it, worth 2; class 0: 25 within of tenant 0 and none of 1.
        let expected = [25.0 + 5.0, 5.0, 5.0, 60.0];
        let close = done[0].arrivals.iter().zip(expected).all(|(a, b)| (a - b).abs() < 1e-6);
        assert!(close && done[0].capacity < 1e-6, "{done:?}");
    }

    /// By small steps, each to the tenant that has least.
    fn by_steps(wanted: &[f64], mut room: f64) -> Vec<f64> {
        let mut given = vec![0.0; wanted.len()];
        while room > 0.0 {
            let open = |at: &usize| given[*at] + 0.01 <= wanted[*at];
            let least = (0..wanted.len()).filter(open).min_by(|a, b| given[*a].total_cmp(&given[*b]));
            let Some(least) = least else { break };
            given[least] += 0.01;
            room -= 0.01;
        }
        given
    }

    #[test]
    fn shares_of_one_site_are_those_that_small_steps_come_to() {
        let mut rng = StdRng::seed_from_u64(3);
        for _ in 0..300 {
            let wanted: Vec<f64> = (0..rng.random_range(1..8)).map(|_| rng.random_range(0.0..30.0)).collect();
            let room = rng.random_range(1.0..100.0);
            let steps = by_steps(&wanted, room);
            let filled = max_min_fill(std::slice::from_ref(&wanted), &mut [room]);
            let off = filled[0].iter().zip(&steps).map(|(a, b)| (a - b).abs()).fold(0.0, f64::max);
            assert!(off < 0.05, "{wanted:?} into {room}: {filled:?}, by steps {steps:?}");
        }
    }

    #[test]
    fn no_site_takes_more_than_it_can_and_none_has_room_that_it_could_use() {
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
            let done = allocate(&settings, &sites, &within_quota(&settings, &totals, 1.0));
            for (site, done) in sites.iter().zip(&done) {
                let (wanted, given): (f64, f64) = (site.arrivals.iter().sum(), done.arrivals.iter().sum());
                assert!(
                    (given - wanted.min(site.capacity)).abs() < 1e-3,
                    "{given} of {wanted} into {}",
                    site.capacity
                );
                assert!(
                    done.arrivals.iter().zip(&site.arrivals).all(|(given, wanted)| *given <= wanted + 1e-6)
                );
            }
        }
    }
}
