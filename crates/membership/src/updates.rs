//! The queue of updates that are passed on: each goes a number of times, those passed on least first. One update a member:
//! what is later takes the place of what is earlier, so the queue is bounded by the fleet's size.

use crate::types::MemberId;
use crate::wire::{Update, update_bytes};
use std::collections::BTreeMap;

/// A piece on its way.
#[derive(Clone, Copy, Debug)]
struct QueuedUpdate {
    update: Update,
    /// Digests differ until all know it.
    in_digest: bool,
}

#[derive(Debug, Default)]
pub struct UpdateQueue {
    /// By how often each was passed on, then by member.
    order: BTreeMap<(u32, MemberId), QueuedUpdate>,
    transmissions: BTreeMap<MemberId, u32>,
}

impl UpdateQueue {
    /// An update that is new here; `shows` says that views without it have another digest.
    pub fn add(&mut self, update: Update, shows: bool) {
        if let Some(passed) = self.transmissions.insert(update.member, 0) {
            self.order.remove(&(passed, update.member));
        }
        self.order.insert((0, update.member), QueuedUpdate { update, in_digest: shows });
    }

    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Others hold what we hold: what digests tell of need not be passed on. Suspicions and refutations must.
    pub fn remove_covered_by_digest(&mut self) {
        self.order.retain(|_, piece| !piece.in_digest);
        self.transmissions.retain(|of, passed| self.order.contains_key(&(*passed, *of)));
    }

    /// Forgets what is of members that are not in the list any more.
    pub fn retain_below(&mut self, size: MemberId) {
        self.order.retain(|(_, of), _| *of < size);
        self.transmissions.retain(|of, _| *of < size);
    }

    /// Takes what fits into `room` bytes; each piece goes `repeats` times in all. `first` goes before.
    pub fn take_for_datagram(
        &mut self,
        mut room: usize,
        repeats: u32,
        base: u64,
        first: Option<Update>,
    ) -> Vec<Update> {
        let mut told = Vec::new();
        if let Some(update) = first.filter(|update| update_bytes(update, base) <= room) {
            room -= update_bytes(&update, base);
            told.push(update);
        }
        let mut passed = Vec::new();
        for (key, QueuedUpdate { update, .. }) in &self.order {
            if update_bytes(update, base) > room {
                break;
            }
            room -= update_bytes(update, base);
            passed.push(*key);
            if !told.contains(update) {
                told.push(*update);
            }
        }
        for key in passed {
            let Some(piece) = self.order.remove(&key) else { continue };
            let count = key.0 + 1;
            if count < repeats {
                self.order.insert((count, key.1), piece);
                self.transmissions.insert(key.1, count);
            } else {
                self.transmissions.remove(&key.1);
            }
        }
        told
    }
}

#[cfg(test)]
mod tests;
