//! The fleet's budget of retries that nobody asked for: a share of first tries, by class and tenant. Half of it goes
//! with what each carries and half by number, so that who carries nothing just now can begin; what others leave is
//! borrowed up to one's own part, and given back as soon as they tell that they use it.

use crate::wire::CellLoad;

/// Of what others leave so much is lent: the rest is for what they have not told yet.
const LENDABLE_SHARE: f64 = 0.5;
/// Who uses so much of its part borrows.
const BORROW_THRESHOLD: f64 = 0.8;
/// An even part counts at most so many times what we carry, or what one in the middle carries.
pub const MAX_EVEN_RATIO: f64 = 2.0;

/// What a gateway carries of one pair.
#[derive(Clone, Copy, Debug)]
pub struct GatewayLoad {
    /// First tries and retries taken, a second.
    pub load: CellLoad,
    /// It lives: what it leaves can be borrowed.
    pub lends: bool,
}

/// Our part of the budget for one pair, retries a second.
pub fn gateway_budget(share: f64, own: CellLoad, others: &[GatewayLoad]) -> f64 {
    let mut firsts: Vec<f64> =
        others.iter().map(|other| other.load.first_attempts).chain([own.first_attempts]).collect();
    firsts.sort_by(f64::total_cmp);
    let mean = firsts.iter().sum::<f64>() / firsts.len() as f64;
    let even = 0.5 * share * mean.min(MAX_EVEN_RATIO * own.first_attempts.max(firsts[firsts.len() / 2]));
    let base = |load: CellLoad| 0.5 * share * load.first_attempts + even;
    let ours = base(own);
    if own.retries < BORROW_THRESHOLD * ours {
        return ours;
    }
    let lenders = || others.iter().filter(|other| other.lends);
    let left: f64 = lenders().map(|other| (base(other.load) - other.load.retries).max(0.0)).sum();
    let wanting =
        1 + lenders().filter(|other| other.load.retries >= BORROW_THRESHOLD * base(other.load)).count();
    ours + (LENDABLE_SHARE * left / wanting as f64).min(ours)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};

    #[test]
    fn parts_add_up_to_no_more_than_the_budget_whoever_carries_what() {
        let mut rng = StdRng::seed_from_u64(5);
        for _ in 0..2_000 {
            let size = rng.random_range(1..20);
            let mut loads: Vec<CellLoad> = (0..size)
                .map(|_| CellLoad { first_attempts: rng.random_range(0.0..100.0), ..CellLoad::default() })
                .collect();
            let budget: f64 = loads.iter().map(|load| 0.2 * load.first_attempts).sum();
            // Each takes all it may, or less, and tells it; then they divide anew.
            for _ in 0..4 {
                let others = |of: usize| {
                    let other = |at: &usize| *at != of;
                    (0..size)
                        .filter(other)
                        .map(|at| GatewayLoad { load: loads[at], lends: true })
                        .collect::<Vec<_>>()
                };
                let parts: Vec<f64> =
                    (0..size).map(|of| gateway_budget(0.2, loads[of], &others(of))).collect();
                let may: f64 = parts
                    .iter()
                    .zip(&loads)
                    .map(|(part, load)| if load.retries > 0.0 { *part } else { 0.0 })
                    .sum();
                assert!(may <= budget * 1.000_1, "{may} of {budget}: {loads:?}");
                for (load, part) in loads.iter_mut().zip(parts) {
                    load.retries = if rng.random_bool(0.5) { part } else { 0.0 };
                }
            }
        }
    }

    #[test]
    fn a_liar_raises_a_part_by_a_half_at_most_and_lends_no_more_than_that_part() {
        let own = CellLoad { arrivals: 100.0, first_attempts: 100.0, retries: 0.0 };
        let honest = GatewayLoad { load: own, lends: true };
        let liar = GatewayLoad { load: CellLoad { first_attempts: 400_000.0, ..own }, lends: true };
        let usual = gateway_budget(0.2, own, &[honest, honest, honest]);
        let lied = gateway_budget(0.2, own, &[honest, honest, liar]);
        assert!((usual - 20.0).abs() < 1e-9 && lied <= usual * 1.5 + 1e-9, "{usual} and {lied}");
        let hungry = CellLoad { retries: lied, ..own };
        assert!(gateway_budget(0.2, hungry, &[honest, honest, liar]) <= lied * 2.0 + 1e-9);
    }
}
