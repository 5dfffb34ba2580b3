//! Leases: an owner sends an unsafe event only while the holders of its journal have promised not to take it over.
//! The owner counts the lease from when it sent the request, the holders count their promise from when they answered,
//! each by its monotonic clock; never by the wall clock, which may be set back.

use basaltward_membership::{MemberId, Micros};
use std::collections::BTreeMap;

/// Durations of a lease and of the matching promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// Validity of the lease by the owner's clock, from when it sent the request.
    pub lease: Micros,
    /// Validity of the promise by the holder's clock, from when it answered.
    pub promise: Micros,
}

impl LeaseTerms {
    /// Terms with this promise. If one clock runs a tenth fast and the other a tenth slow, 0.9 / 1.1 > 0.8, so a
    /// lease of 0.8 of the promise ends before the promise does.
    pub fn new(promise: Micros) -> Self {
        Self { lease: promise * 8 / 10, promise }
    }
}

/// The leases of an owner, by holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    terms: LeaseTerms,
    /// The holder's life and the time at which the owner sent the latest granted request.
    granted_requests: BTreeMap<MemberId, (u64, Micros)>,
}

impl Lease {
    /// No lease is granted yet.
    pub fn new(terms: LeaseTerms) -> Self {
        Self { terms, granted_requests: BTreeMap::new() }
    }

    /// A holder has granted the request that was sent at `requested_at` by the local clock. A request time in
    /// the future is ignored.
    pub fn record_grant(&mut self, now: Micros, by: MemberId, life: u64, requested_at: Micros) {
        if requested_at <= now {
            let known = self.granted_requests.entry(by).or_insert((life, requested_at));
            // A new life of the holder has made none of the promises of an earlier one.
            *known = if known.0 == life { (life, known.1.max(requested_at)) } else { (life, requested_at) };
        }
    }

    /// Removes the grant of a gateway that is no longer a holder or grants no further leases.
    pub fn revoke(&mut self, by: MemberId) {
        self.granted_requests.remove(&by);
    }

    /// This gateway was taken over: no grant is valid any more.
    pub fn revoke_all(&mut self) {
        self.granted_requests.clear();
    }

    /// Until when at least `needed` holders keep their promise, by the local clock. `Micros::MAX` if none is needed,
    /// as then no gateway could take over; 0 if fewer holders have granted a lease.
    pub fn valid_until(&self, needed: usize) -> Micros {
        let mut request_times: Vec<Micros> =
            self.granted_requests.values().map(|(_, requested_at)| *requested_at).collect();
        request_times.sort_unstable_by(|a, b| b.cmp(a));
        match needed.checked_sub(1) {
            None => Micros::MAX,
            Some(at) => request_times.get(at).map_or(0, |requested_at| requested_at + self.terms.lease),
        }
    }

    /// Whether the first byte of an unsafe event may be sent. `now` must be read after all other work is done, so
    /// that a stalled process notices the stall here.
    pub fn allows_send(&self, now: Micros, needed: usize) -> bool {
        now < self.valid_until(needed)
    }

    /// When to renew the leases of this many holders: after a quarter of the lease.
    pub fn renew_at(&self, needed: usize) -> Micros {
        self.valid_until(needed).saturating_sub(self.terms.lease * 3 / 4)
    }
}

/// Why a holder refuses a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::VariantNames)]
pub enum LeaseRefusal {
    /// An earlier life of this holder may have made promises that this life has no record of.
    #[error("this gateway has just started and waits until its earlier promises have expired; nothing to do")]
    #[strum(serialize = "Young")]
    Starting,
    /// The owner was taken over.
    #[error(
        "gateway {gateway} was taken over: its next life accepts events once it has learned the outcome of the earlier ones"
    )]
    #[strum(serialize = "Taken")]
    TakenOver {
        /// The owner.
        gateway: MemberId,
        /// Its last life that was taken over.
        life: u64,
    },
}

/// A holder's promises to owners.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HolderPromises {
    terms: LeaseTerms,
    /// No promise is made and no gateway is taken over before this time.
    startup_wait_until: Micros,
    /// Until when an owner must not be taken over.
    promised_until: BTreeMap<MemberId, Micros>,
    /// Lives of an owner up to this one get no promise.
    fenced: BTreeMap<MemberId, u64>,
}

impl HolderPromises {
    /// For a holder whose life starts at `now`.
    pub fn new(terms: LeaseTerms, now: Micros) -> Self {
        Self {
            terms,
            startup_wait_until: now + terms.promise,
            promised_until: BTreeMap::new(),
            fenced: BTreeMap::new(),
        }
    }

    /// Grants a request of an owner: promises not to take it over for the promised duration.
    ///
    /// # Errors
    /// If no promise may be made. Then no entry of that owner must be stored either.
    pub fn grant(&mut self, now: Micros, gateway: MemberId, life: u64) -> Result<(), LeaseRefusal> {
        if let Some(fenced) = self.fenced.get(&gateway).filter(|fenced| life <= **fenced) {
            return Err(LeaseRefusal::TakenOver { gateway, life: *fenced });
        }
        if now < self.startup_wait_until {
            return Err(LeaseRefusal::Starting);
        }
        self.promised_until.insert(gateway, now + self.terms.promise);
        Ok(())
    }

    /// Fences the lives of this owner up to this one: they get no further promise. Can't be undone.
    pub fn fence(&mut self, gateway: MemberId, life: u64) {
        let fenced = self.fenced.entry(gateway).or_insert(life);
        *fenced = life.max(*fenced);
    }

    /// The last fenced life of an owner.
    pub fn fenced_life(&self, gateway: MemberId) -> Option<u64> {
        self.fenced.get(&gateway).copied()
    }

    /// When all promises to this owner have expired.
    pub fn expires_at(&self, gateway: MemberId) -> Micros {
        self.promised_until.get(&gateway).copied().unwrap_or(0).max(self.startup_wait_until)
    }

    /// Whether all promises to this owner have expired.
    pub fn has_expired(&self, now: Micros, gateway: MemberId) -> bool {
        now >= self.expires_at(gateway)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TERMS: LeaseTerms = LeaseTerms { lease: 2_400_000, promise: 3_000_000 };

    #[test]
    fn a_lease_ends_before_the_holders_promise_despite_clock_drift() {
        assert_eq!(LeaseTerms::new(3_000_000), TERMS);
        // In real time: requested at 0 and answered at once, which is the worst case for the owner. The clock rates
        // differ by a tenth in both directions.
        for (owner, holder) in [(9, 11), (11, 9), (10, 10), (9, 9), (11, 11)] {
            let mut lease = Lease::new(TERMS);
            let mut promises = HolderPromises::new(TERMS, 0);
            let start = 10_000_000;
            let at = |rate: u64, time: u64| (start + time) * rate / 10;
            promises.grant(at(holder, 0), 7, 1).expect("long started");
            lease.record_grant(at(owner, 0), 1, 1, at(owner, 0));
            let both = (0..5_000).map(|ms| ms * 1_000).find(|time| {
                lease.allows_send(at(owner, *time), 1) && promises.has_expired(at(holder, *time), 7)
            });
            assert_eq!(both, None, "{owner} {holder}");
            assert!(
                lease.allows_send(at(owner, 2_000_000), 1) && promises.has_expired(at(holder, 3_400_000), 7)
            );
        }
    }

    #[test]
    fn a_stalled_owner_finds_its_lease_expired() {
        let mut lease = Lease::new(TERMS);
        lease.record_grant(1_000_000, 1, 1, 900_000);
        lease.record_grant(1_000_000, 2, 1, 500_000);
        lease.record_grant(1_000_000, 3, 1, 2_000_000);
        assert!(
            lease.allows_send(1_000_000, 2)
                && !lease.allows_send(1_000_000, 3)
                && lease.allows_send(Micros::MAX - 1, 0)
        );
        assert!(!lease.allows_send(500_000 + TERMS.lease, 2) && lease.allows_send(500_000 + TERMS.lease, 1));
        assert!(!lease.allows_send(31_000_000, 1));
        // A late answer does not shorten the lease, and each life of a holder counts separately.
        lease.record_grant(2_000_000, 1, 1, 100_000);
        assert_eq!(lease.valid_until(1), 900_000 + TERMS.lease);
        lease.record_grant(2_000_000, 1, 2, 100_000);
        assert_eq!(lease.valid_until(1), 500_000 + TERMS.lease);
        lease.revoke_all();
        assert!(!lease.allows_send(0, 1));
    }

    #[test]
    fn a_restarted_holder_waits_and_one_that_fenced_a_life_grants_nothing() {
        let mut promises = HolderPromises::new(TERMS, 5);
        assert_eq!(promises.grant(6, 4, 1), Err(LeaseRefusal::Starting));
        assert!(!promises.has_expired(3_000_004, 4) && promises.has_expired(3_000_005, 4));
        assert_eq!(promises.grant(4_000_000, 4, 9), Ok(()));
        assert!(!promises.has_expired(6_999_999, 4));
        promises.fence(4, 9);
        promises.fence(4, 8);
        assert_eq!(promises.grant(8_000_000, 4, 9), Err(LeaseRefusal::TakenOver { gateway: 4, life: 9 }));
        assert_eq!((promises.expires_at(4), promises.grant(8_000_000, 4, 10)), (7_000_000, Ok(())));
    }
}
