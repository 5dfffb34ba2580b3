//! When a call that was handed over comes home.

use basaltward_membership::Micros;

/// By when a call that is handed over has to be answered there; after that it is tried at home, where an answer is
/// thought to take `here`. Home keeps half of what is left, or twice what it is thought to take where that is more: a
/// figure that is off by two still leaves an answer in time. Never more than three quarters: what is handed over with no
/// time to be answered would be sent for nothing.
pub fn handover_deadline(now: Micros, deadline: Micros, here: Micros) -> Micros {
    let left = deadline.saturating_sub(now);
    let kept = here.saturating_mul(2).clamp(left / 2, left / 4 * 3);
    now + (left - kept)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn home_keeps_time_for_an_answer_of_its_own() {
        let by = |here| handover_deadline(1_000, 101_000, here);
        assert_eq!([by(0), by(25_000), by(30_000), by(37_500)], [51_000, 51_000, 41_000, 26_000]);
        assert_eq!(by(Micros::MAX), 26_000);
        assert_eq!(handover_deadline(5, 5, 1_000), 5);
        assert_eq!(handover_deadline(9, 5, 1_000), 9);
    }
}
