//! Leases: an owner sends an unsafe event only while holders of its journal have said that they do nothing in its
//! place. It counts their word from when it asked, they from when they answered, each by a clock that only runs on;
//! never by the wall clock, which may be put back.

use basaltward_membership::{MemberId, Micros};
use std::collections::BTreeMap;

/// How long a holder's word stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// By the owner's clock, from when it asked.
    pub lease: Micros,
    /// By the holder's clock, from when it answered.
    pub promise: Micros,
}

impl LeaseTerms {
    /// LeaseTerms with this silence. A clock that runs a tenth fast against one that runs a tenth slow: 0.9 / 1.1 > 0.8, so
    /// that the lease is over before the silence is.
    pub fn new(silence: Micros) -> Self {
        Self { lease: silence * 8 / 10, promise: silence }
    }
}

/// An owner's leases, by holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    terms: LeaseTerms,
    /// When that was asked to which each last answered, and the holder's life.
    granted_requests: BTreeMap<MemberId, (u64, Micros)>,
}

impl Lease {
    /// None is granted.
    pub fn new(terms: LeaseTerms) -> Self {
        Self { terms, granted_requests: BTreeMap::new() }
    }

    /// A holder has granted what was asked at this time of our clock. What can't have been asked then is not believed.
    pub fn record_grant(&mut self, now: Micros, by: MemberId, life: u64, asked: Micros) {
        if asked <= now {
            let known = self.granted_requests.entry(by).or_insert((life, asked));
            // Another life of it has promised nothing that an earlier one did.
            *known = if known.0 == life { (life, known.1.max(asked)) } else { (life, asked) };
        }
    }

    /// It grants nothing any more, or is no holder.
    pub fn revoke(&mut self, by: MemberId) {
        self.granted_requests.remove(&by);
    }

    /// We were taken over: none counts.
    pub fn revoke_all(&mut self) {
        self.granted_requests.clear();
    }

    /// Until when so many holders do nothing in our place, by our clock; unbounded where none is needed, as there is
    /// nobody then who could.
    pub fn valid_until(&self, needed: usize) -> Micros {
        let mut asked: Vec<Micros> = self.granted_requests.values().map(|(_, asked)| *asked).collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        match needed.checked_sub(1) {
            None => Micros::MAX,
            Some(at) => asked.get(at).map_or(0, |asked| asked + self.terms.lease),
        }
    }

    /// Whether the first byte of an unsafe event may leave. `now` is read after all else is done: who stood still
    /// finds here that it did.
    pub fn allows_send(&self, now: Micros, needed: usize) -> bool {
        now < self.valid_until(needed)
    }

    /// When what so many have granted should be asked for anew: four times in a lease.
    pub fn renew_at(&self, needed: usize) -> Micros {
        self.valid_until(needed).saturating_sub(self.terms.lease * 3 / 4)
    }
}

/// Why a holder grants nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::VariantNames)]
pub enum LeaseRefusal {
    /// An earlier life of this holder may have promised what this one does not know.
    #[error("this gateway has just started and waits until its earlier promises are over; nothing to do")]
    Young,
    /// The owner was taken over.
    #[error(
        "what gateway {gateway} had pending is done by others: its next life takes events once it has learnt of it"
    )]
    Taken {
        /// The owner.
        gateway: MemberId,
        /// Its lives up to this one.
        life: u64,
    },
}

/// What a holder has promised to owners.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HolderPromises {
    terms: LeaseTerms,
    /// It grants nothing, and does nothing in anybody's place, before.
    startup_wait_until: Micros,
    /// Until when nothing is done in an owner's place.
    until: BTreeMap<MemberId, Micros>,
    /// Lives up to this one of an owner are granted nothing.
    closed: BTreeMap<MemberId, u64>,
}

impl HolderPromises {
    /// Of a holder whose life begins.
    pub fn new(terms: LeaseTerms, now: Micros) -> Self {
        Self {
            terms,
            startup_wait_until: now + terms.promise,
            until: BTreeMap::new(),
            closed: BTreeMap::new(),
        }
    }

    /// An owner asks. Who answers it promises by that to do nothing in its place for a silence.
    ///
    /// # Errors
    /// Where nothing may be promised; nothing of that owner is to be stored then either.
    pub fn grant(&mut self, now: Micros, gateway: MemberId, life: u64) -> Result<(), LeaseRefusal> {
        if let Some(closed) = self.closed.get(&gateway).filter(|closed| life <= **closed) {
            return Err(LeaseRefusal::Taken { gateway, life: *closed });
        }
        if now < self.startup_wait_until {
            return Err(LeaseRefusal::Young);
        }
        self.until.insert(gateway, now + self.terms.promise);
        Ok(())
    }

    /// Nothing is granted any more to lives of this owner up to this one; never undone.
    pub fn fence(&mut self, gateway: MemberId, life: u64) {
        let closed = self.closed.entry(gateway).or_insert(life);
        *closed = life.max(*closed);
    }

    /// Up to which of its lives an owner is granted nothing.
    pub fn closed(&self, gateway: MemberId) -> Option<u64> {
        self.closed.get(&gateway).copied()
    }

    /// When all that was promised to this owner is over.
    pub fn expires_at(&self, gateway: MemberId) -> Micros {
        self.until.get(&gateway).copied().unwrap_or(0).max(self.startup_wait_until)
    }

    /// Whether all that was promised to it is over.
    pub fn has_expired(&self, now: Micros, gateway: MemberId) -> bool {
        now >= self.expires_at(gateway)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TERMS: LeaseTerms = LeaseTerms { lease: 2_400_000, promise: 3_000_000 };

    #[test]
    fn an_owners_lease_is_over_before_the_holder_is_free_however_clocks_run() {
        assert_eq!(LeaseTerms::new(3_000_000), TERMS);
        // In true time: asked at 0, answered at once, the worst for the owner; rates a tenth apart both ways.
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
    fn an_owner_that_stood_still_finds_its_lease_over() {
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
        // A late answer does not put it back, another life of a holder stands for itself.
        lease.record_grant(2_000_000, 1, 1, 100_000);
        assert_eq!(lease.valid_until(1), 900_000 + TERMS.lease);
        lease.record_grant(2_000_000, 1, 2, 100_000);
        assert_eq!(lease.valid_until(1), 500_000 + TERMS.lease);
        lease.revoke_all();
        assert!(!lease.allows_send(0, 1));
    }

    #[test]
    fn a_holder_that_forgot_waits_and_one_that_took_over_grants_nothing() {
        let mut promises = HolderPromises::new(TERMS, 5);
        assert_eq!(promises.grant(6, 4, 1), Err(LeaseRefusal::Young));
        assert!(!promises.has_expired(3_000_004, 4) && promises.has_expired(3_000_005, 4));
        assert_eq!(promises.grant(4_000_000, 4, 9), Ok(()));
        assert!(!promises.has_expired(6_999_999, 4));
        promises.fence(4, 9);
        promises.fence(4, 8);
        assert_eq!(promises.grant(8_000_000, 4, 9), Err(LeaseRefusal::Taken { gateway: 4, life: 9 }));
        assert_eq!((promises.expires_at(4), promises.grant(8_000_000, 4, 10)), (7_000_000, Ok(())));
    }
}
