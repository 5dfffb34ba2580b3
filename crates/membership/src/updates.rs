//! The queue of updates to gossip. Each update is transmitted a limited number of times, those transmitted least
//! first. A newer update about a member replaces the older one, so the queue is bounded by the fleet's size.

use crate::types::MemberId;
use crate::wire::{Update, update_bytes};
use std::collections::BTreeMap;

/// An update in the queue.
#[derive(Clone, Copy, Debug)]
struct QueuedUpdate {
    update: Update,
    /// Whether the update changes the digest, so that anti-entropy finds members that lack it.
    in_digest: bool,
}

/// The updates to gossip, one per member.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    /// Keyed by the number of transmissions so far, then by member.
    order: BTreeMap<(u32, MemberId), QueuedUpdate>,
    transmissions: BTreeMap<MemberId, u32>,
}

impl UpdateQueue {
    /// Queues a new update in place of an earlier one about the same member. `in_digest` states whether views without
    /// it have a different digest.
    pub fn add(&mut self, update: Update, in_digest: bool) {
        if let Some(transmissions) = self.transmissions.insert(update.member, 0) {
            self.order.remove(&(transmissions, update.member));
        }
        self.order.insert((0, update.member), QueuedUpdate { update, in_digest });
    }

    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Removes the updates that digests cover, when the others are known to have the local digest. Suspicions and
    /// refutations, which digests do not cover, stay queued.
    pub fn remove_covered_by_digest(&mut self) {
        self.order.retain(|_, queued| !queued.in_digest);
        self.transmissions
            .retain(|member, transmissions| self.order.contains_key(&(*transmissions, *member)));
    }

    /// Removes the updates about members that are no longer in the configured list.
    pub fn retain_below(&mut self, size: MemberId) {
        self.order.retain(|(_, member), _| *member < size);
        self.transmissions.retain(|member, _| *member < size);
    }

    /// The next updates to gossip that fit into `capacity` bytes, preceded by `first` if it fits. Counts a
    /// transmission of each and removes those that reach `retransmit_limit`. `base` is the start of the sender's life,
    /// see [`update_bytes`].
    pub fn take_for_datagram(
        &mut self,
        mut capacity: usize,
        retransmit_limit: u32,
        base: u64,
        first: Option<Update>,
    ) -> Vec<Update> {
        let mut updates = Vec::new();
        if let Some(update) = first.filter(|update| update_bytes(update, base) <= capacity) {
            capacity -= update_bytes(&update, base);
            updates.push(update);
        }
        let mut sent = Vec::new();
        for (key, QueuedUpdate { update, .. }) in &self.order {
            if update_bytes(update, base) > capacity {
                break;
            }
            capacity -= update_bytes(update, base);
            sent.push(*key);
            if !updates.contains(update) {
                updates.push(*update);
            }
        }
        for key in sent {
            let Some(queued) = self.order.remove(&key) else { continue };
            let transmissions = key.0 + 1;
            if transmissions < retransmit_limit {
                self.order.insert((transmissions, key.1), queued);
                self.transmissions.insert(key.1, transmissions);
            } else {
                self.transmissions.remove(&key.1);
            }
        }
        updates
    }
}

#[cfg(test)]
mod tests;
