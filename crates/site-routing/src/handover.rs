//! Time limit of a call that is handed over to another site.

use basaltward_membership::Micros;

/// Time by which the other site has to answer a call that is handed over; after that it is tried at home, where an
/// answer is expected to take `local_latency`.
///
/// Half of the remaining time is reserved for home, or twice the expected latency if that is more, so that an estimate
/// that is wrong by a factor of two still leaves time for an answer. At most three quarters are reserved: with no time
/// left for an answer it would be pointless to hand over the call.
pub fn handover_deadline(now: Micros, deadline: Micros, local_latency: Micros) -> Micros {
    let remaining = deadline.saturating_sub(now);
    let reserved = local_latency.saturating_mul(2).clamp(remaining / 2, remaining / 4 * 3);
    now + (remaining - reserved)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn home_keeps_enough_time_for_its_own_attempt() {
        let by = |local_latency| handover_deadline(1_000, 101_000, local_latency);
        assert_eq!([by(0), by(25_000), by(30_000), by(37_500)], [51_000, 51_000, 41_000, 26_000]);
        assert_eq!(by(Micros::MAX), 26_000);
        assert_eq!(handover_deadline(5, 5, 1_000), 5);
        assert_eq!(handover_deadline(9, 5, 1_000), 9);
    }
}
