//! The fleet's budget of retries that nobody asked for: a share of first tries, by class and tenant. Half of it goes
//! with what each carries and half by number, so that who carries nothing just now can begin; what others leave is
//! borrowed up to one's own part, and given back as soon as they tell that they use it.

use crate::wire::Load;

/// Of what others leave so much is lent: the rest is for what they have not told yet.
const LENT: f64 = 0.5;
/// Who uses so much of its part borrows.
const WANTS: f64 = 0.8;
/// An even part counts at most so many times what we carry, or what one in the middle carries.
pub const MOST_EVEN: f64 = 2.0;

/// What a gateway carries of one pair.
#[derive(Clone, Copy, Debug)]
pub struct Carries {
    /// First tries and retries taken, a second.
    pub load: Load,
    /// It lives: what it leaves can be borrowed.
    pub lends: bool,
}

/// Our part of the budget for one pair, retries a second.
pub fn part(share: f64, own: Load, others: &[Carries]) -> f64 {
    let mut firsts: Vec<f64> = others.iter().map(|other| other.load.first).chain([own.first]).collect();
    firsts.sort_by(f64::total_cmp);
    let mean = firsts.iter().sum::<f64>() / firsts.len() as f64;
    let even = 0.5 * share * mean.min(MOST_EVEN * own.first.max(firsts[firsts.len() / 2]));
    let base = |load: Load| 0.5 * share * load.first + even;
    let ours = base(own);
    if own.retries < WANTS * ours {
        return ours;
    }
    let lenders = || others.iter().filter(|other| other.lends);
    let left: f64 = lenders().map(|other| (base(other.load) - other.load.retries).max(0.0)).sum();
    let wanting = 1 + lenders().filter(|other| other.load.retries >= WANTS * base(other.load)).count();
    ours + (LENT * left / wanting as f64).min(ours)
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
            let mut loads: Vec<Load> =
                (0..size).map(|_| Load { first: rng.random_range(0.0..100.0), ..Load::default() }).collect();
            let budget: f64 = loads.iter().map(|load| 0.2 * load.first).sum();
            // Each takes all it may, or less, and tells it; then they divide anew.
            for _ in 0..4 {
                let others = |of: usize| {
                    let other = |at: &usize| *at != of;
                    (0..size)
                        .filter(other)
                        .map(|at| Carries { load: loads[at], lends: true })
                        .collect::<Vec<_>>()
                };
                let parts: Vec<f64> = (0..size).map(|of| part(0.2, loads[of], &others(of))).collect();
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
        let own = Load { came: 100.0, first: 100.0, retries: 0.0 };
        let honest = Carries { load: own, lends: true };
        let liar = Carries { load: Load { first: 400_000.0, ..own }, lends: true };
        let usual = part(0.2, own, &[honest, honest, honest]);
        let lied = part(0.2, own, &[honest, honest, liar]);
        assert!((usual - 20.0).abs() < 1e-9 && lied <= usual * 1.5 + 1e-9, "{usual} and {lied}");
        let hungry = Load { retries: lied, ..own };
        assert!(part(0.2, hungry, &[honest, honest, liar]) <= lied * 2.0 + 1e-9);
    }
}
