//! Fleet-wide budget of unscheduled retries: a fraction of the first attempts of each cell, divided among the gateways.
//! Half of it is divided in proportion to each gateway's first attempts and half evenly, so that a gateway without
//! recent traffic can start. A gateway that needs more borrows the unused budget of others, up to the size of its own
//! part, until they report that they use it.

use crate::wire::CellLoad;

/// Fraction of the unused budget of others that can be borrowed; the rest covers use that they have not reported yet.
const LENDABLE_SHARE: f64 = 0.5;
/// A gateway that uses at least this fraction of its own part borrows.
const BORROW_THRESHOLD: f64 = 0.8;
/// The even part is based on at most this many times the larger of the local and the median rate of first attempts.
/// This bounds the effect of a peer that reports a false rate.
pub const MAX_EVEN_RATIO: f64 = 2.0;

/// Load of one gateway in one cell.
#[derive(Clone, Copy, Debug)]
pub struct GatewayLoad {
    /// First attempts and admitted retries per second.
    pub load: CellLoad,
    /// The gateway is live, so that its unused budget can be borrowed.
    pub lends: bool,
}

/// Part of the budget of one cell for the gateway with load `own`, in retries per second. `budget_share` is the
/// budget as a fraction of first attempts.
pub fn gateway_budget(budget_share: f64, own: CellLoad, others: &[GatewayLoad]) -> f64 {
    let mut rates: Vec<f64> =
        others.iter().map(|other| other.load.first_attempts).chain([own.first_attempts]).collect();
    rates.sort_by(f64::total_cmp);
    let mean = rates.iter().sum::<f64>() / rates.len() as f64;
    let even = 0.5 * budget_share * mean.min(MAX_EVEN_RATIO * own.first_attempts.max(rates[rates.len() / 2]));
    let base = |load: CellLoad| 0.5 * budget_share * load.first_attempts + even;
    let own_part = base(own);
    if own.retries < BORROW_THRESHOLD * own_part {
        return own_part;
    }
    let lenders = || others.iter().filter(|other| other.lends);
    let unused: f64 = lenders().map(|other| (base(other.load) - other.load.retries).max(0.0)).sum();
    let borrowers =
        1 + lenders().filter(|other| other.load.retries >= BORROW_THRESHOLD * base(other.load)).count();
    own_part + (LENDABLE_SHARE * unused / borrowers as f64).min(own_part)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};

    #[test]
    fn parts_add_up_to_no_more_than_the_budget_for_any_distribution_of_load() {
        let mut rng = StdRng::seed_from_u64(5);
        for _ in 0..2_000 {
            let size = rng.random_range(1..20);
            let mut loads: Vec<CellLoad> = (0..size)
                .map(|_| CellLoad { first_attempts: rng.random_range(0.0..100.0), ..CellLoad::default() })
                .collect();
            let budget: f64 = loads.iter().map(|load| 0.2 * load.first_attempts).sum();
            // Each gateway uses all of its part or none and reports that; then the budget is divided again.
            for _ in 0..4 {
                let others = |own: usize| {
                    let other = |at: &usize| *at != own;
                    (0..size)
                        .filter(other)
                        .map(|at| GatewayLoad { load: loads[at], lends: true })
                        .collect::<Vec<_>>()
                };
                let parts: Vec<f64> =
                    (0..size).map(|own| gateway_budget(0.2, loads[own], &others(own))).collect();
                let used: f64 = parts
                    .iter()
                    .zip(&loads)
                    .map(|(part, load)| if load.retries > 0.0 { *part } else { 0.0 })
                    .sum();
                assert!(used <= budget * 1.000_1, "{used} used of {budget}: {loads:?}");
                for (load, part) in loads.iter_mut().zip(parts) {
                    load.retries = if rng.random_bool(0.5) { part } else { 0.0 };
                }
            }
        }
    }

    #[test]
    fn a_false_report_raises_a_part_by_half_at_most_and_lends_no_more_than_that_part() {
        let own = CellLoad { arrivals: 100.0, first_attempts: 100.0, retries: 0.0 };
        let honest = GatewayLoad { load: own, lends: true };
        let false_report = GatewayLoad { load: CellLoad { first_attempts: 400_000.0, ..own }, lends: true };
        let honest_budget = gateway_budget(0.2, own, &[honest, honest, honest]);
        let raised = gateway_budget(0.2, own, &[honest, honest, false_report]);
        assert!(
            (honest_budget - 20.0).abs() < 1e-9 && raised <= honest_budget * 1.5 + 1e-9,
            "{honest_budget} without the false report, {raised} with it"
        );
        let busy = CellLoad { retries: raised, ..own };
        assert!(gateway_budget(0.2, busy, &[honest, honest, false_report]) <= raised * 2.0 + 1e-9);
    }
}
