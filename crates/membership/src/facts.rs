//! Facts: small keyed values that members publish about themselves and that all members gossip. A newer version
//! replaces an older one of the same owner and key, and each expires after its time to live. Owners republish facts
//! that are to last, so a member that missed one receives it with the next refresh. Bounds: [`FACT_KEYS`] facts per
//! owner, [`MAX_FACT_BYTES`] per value, and a time to live of at most [`MAX_FACT_LIFETIME_US`].

use crate::types::{MemberId, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of keys per owner; valid keys are below it.
pub const FACT_KEYS: u8 = 16;
/// Maximum size of a value, in bytes.
pub const MAX_FACT_BYTES: usize = 32;
/// Maximum time to live of a fact, in microseconds.
pub const MAX_FACT_LIFETIME_US: Micros = 600_000_000;

/// A fact as it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// The member that published it.
    pub owner: MemberId,
    /// Its key, below [`FACT_KEYS`].
    pub key: u8,
    /// The start of the owner's life, then a counter of the facts published in it. The greater version wins.
    pub version: (u64, u32),
    /// Remaining time to live, in milliseconds.
    pub ttl_ms: u32,
    /// The value, at most [`MAX_FACT_BYTES`] bytes.
    pub value: Vec<u8>,
}

struct StoredFact {
    version: (u64, u32),
    expires_at: Micros,
    value: Vec<u8>,
    /// Transmissions that remain.
    transmissions_left: u32,
}

/// The unexpired facts of all members, and the queue of those still to be gossiped.
#[derive(Default)]
pub struct FactStore {
    facts: BTreeMap<(MemberId, u8), StoredFact>,
    /// Facts to gossip, by transmissions that remain: the last entry is sent first.
    pending: BTreeMap<(u32, MemberId, u8), ()>,
    /// Facts published by the local member, for their versions.
    published_count: u32,
}

impl FactStore {
    /// Publishes a fact of the local member. Returns false if the key, the value or the time to live is out of bounds.
    pub fn publish(
        &mut self,
        now: Micros,
        (own, start): (MemberId, u64),
        (key, value): (u8, &[u8]),
        ttl: Micros,
        retransmit_limit: u32,
    ) -> bool {
        self.published_count = self.published_count.wrapping_add(1);
        let ttl_ms = (ttl.min(MAX_FACT_LIFETIME_US) / 1_000) as u32;
        let (version, value) = ((start, self.published_count), value.to_vec());
        self.merge(now, &Fact { owner: own, key, version, ttl_ms, value }, retransmit_limit)
    }

    /// Stores a fact and queues it for gossip if it is within bounds and newer than the stored version. Returns
    /// whether it did.
    pub fn merge(&mut self, now: Micros, fact: &Fact, retransmit_limit: u32) -> bool {
        let ttl = Micros::from(fact.ttl_ms) * 1_000;
        let bounded = fact.key < FACT_KEYS
            && fact.value.len() <= MAX_FACT_BYTES
            && (1..=MAX_FACT_LIFETIME_US).contains(&ttl);
        let slot = (fact.owner, fact.key);
        if !bounded || self.facts.get(&slot).is_some_and(|stored| stored.version >= fact.version) {
            return false;
        }
        self.remove(slot);
        let (version, expires_at, value) = (fact.version, now + ttl, fact.value.clone());
        self.facts
            .insert(slot, StoredFact { version, expires_at, value, transmissions_left: retransmit_limit });
        self.pending.insert((retransmit_limit, slot.0, slot.1), ());
        true
    }

    fn remove(&mut self, slot: (MemberId, u8)) {
        if let Some(stored) = self.facts.remove(&slot) {
            self.pending.remove(&(stored.transmissions_left, slot.0, slot.1));
        }
    }

    /// Removes facts whose time to live has ended.
    pub fn expire(&mut self, now: Micros) {
        let expired: Vec<_> =
            self.facts.iter().filter(|(_, stored)| stored.expires_at <= now).map(|(slot, _)| *slot).collect();
        expired.into_iter().for_each(|slot| self.remove(slot));
    }

    /// Removes the facts of members that are no longer in the configured list.
    pub fn retain_below(&mut self, size: MemberId) {
        let removed: Vec<_> = self.facts.keys().filter(|(owner, _)| *owner >= size).copied().collect();
        removed.into_iter().for_each(|slot| self.remove(slot));
    }

    /// Whether any fact is still to be gossiped.
    pub fn is_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The next facts to gossip that fit into `capacity` bytes, those transmitted least first. Counts one transmission
    /// of each.
    pub fn take_for_datagram(&mut self, now: Micros, mut capacity: usize) -> Vec<Fact> {
        let mut facts = Vec::new();
        let queue: Vec<_> = self.pending.keys().rev().copied().collect();
        for (transmissions_left, owner, key) in queue {
            let Some(stored) = self.facts.get_mut(&(owner, key)) else { continue };
            let ttl_ms = (stored.expires_at.saturating_sub(now) / 1_000) as u32;
            let fact = Fact { owner, key, version: stored.version, ttl_ms, value: stored.value.clone() };
            let mut bytes = [0; MAX_FACT_BYTES + 32];
            let size = postcard::to_slice(&fact, &mut bytes).map_or(usize::MAX, |encoded| encoded.len());
            if size > capacity {
                break;
            }
            capacity -= size;
            self.pending.remove(&(transmissions_left, owner, key));
            stored.transmissions_left = transmissions_left - 1;
            if stored.transmissions_left > 0 {
                self.pending.insert((stored.transmissions_left, owner, key), ());
            }
            facts.extend((ttl_ms > 0).then_some(fact));
        }
        facts
    }

    /// The value of a member's fact, unless it has expired.
    pub fn get(&self, now: Micros, owner: MemberId, key: u8) -> Option<&[u8]> {
        self.facts
            .get(&(owner, key))
            .filter(|stored| stored.expires_at > now)
            .map(|stored| stored.value.as_slice())
    }

    /// As [`FactStore::get`], for a fact published in the life that started at `life`.
    pub fn get_of_life(&self, now: Micros, owner: MemberId, key: u8, life: u64) -> Option<&[u8]> {
        let of_life = self.facts.get(&(owner, key)).is_some_and(|stored| stored.version.0 == life);
        self.get(now, owner, key).filter(|_| of_life)
    }

    /// Element-wise sums of the counters that members publish under a key.
    pub fn counter_totals(&self, now: Micros, key: u8) -> Vec<u64> {
        let mut totals: Vec<u64> = Vec::new();
        for ((_, stored_key), stored) in &self.facts {
            let counters = (*stored_key == key && stored.expires_at > now)
                .then(|| decode_counters(&stored.value))
                .flatten();
            for (index, counter) in counters.unwrap_or_default().into_iter().enumerate() {
                match totals.get_mut(index) {
                    Some(total) => *total = total.saturating_add(counter),
                    None => totals.push(counter),
                }
            }
        }
        totals
    }

    /// Number of stored facts, expired ones not yet removed included.
    pub fn len(&self) -> usize {
        self.facts.len()
    }
}

/// Encodes counters as a fact's value: as many, from the first on, as fit into [`MAX_FACT_BYTES`].
pub fn encode_counters(counters: &[u64]) -> Vec<u8> {
    (0..=counters.len())
        .rev()
        .find_map(|count| {
            let mut bytes = [0; MAX_FACT_BYTES];
            Some(postcard::to_slice(&counters[..count], &mut bytes).ok()?.to_vec())
        })
        .unwrap_or_default()
}

/// Decodes the counters in a fact's value; `None` if it holds none.
pub fn decode_counters(value: &[u8]) -> Option<Vec<u64>> {
    postcard::from_bytes(value).ok()
}

#[cfg(test)]
mod tests;
