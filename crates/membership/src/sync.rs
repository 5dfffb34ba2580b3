//! Anti-entropy, which finds what gossip missed. A member that receives a digest different from its own sends a sync
//! request with one digest per block of members; the response holds the entries of the members in blocks that differ.
//! Bounds: one datagram per request, [`MAX_SYNC_DATAGRAMS`] per response, and the send budget.

use crate::limits::{MAX_SYNC_DATAGRAMS, RESERVED_BYTES};
use crate::members::Membership;
use crate::output::Out;
use crate::types::{Member, MemberId, MemberState, Micros};
use crate::wire::{BlockDigests, DIGEST_BLOCKS, MAX_DATAGRAM_BYTES, MessageKind, Update, update_bytes};
use rand::RngExt;
use rand::seq::SliceRandom;

impl Membership {
    /// Requests a sync if a recently received digest differs. While updates are queued, which may explain the
    /// difference, three of four requests are skipped, unless this member is behind.
    pub(crate) fn sync_if_different(&mut self, now: Micros, out: &mut Out) {
        let differing = self.recent_contacts(now).filter(|(_, digest)| *digest != self.digest);
        let mut differing: Vec<_> = differing.map(|(member, _)| member).collect();
        let wait = !self.updates.is_empty() && self.rng.random_range(0..4) > 0 && !self.is_behind(now);
        if wait || !self.budget.allows(now, MAX_DATAGRAM_BYTES as u64, RESERVED_BYTES) {
            return;
        }
        differing.shuffle(&mut self.rng);
        if let Some(to) = differing.pop() {
            self.request_sync(now, to, out);
        }
    }

    /// Live members from which a datagram was received in the last two periods, with their digests.
    fn recent_contacts(&self, now: Micros) -> impl Iterator<Item = (MemberId, u32)> {
        let since = now.saturating_sub(self.settings.period * 2);
        let is_recent = move |member: &Member| {
            member.last_contact >= since && member.last_contact > 0 && member.state.is_live()
        };
        let members = self.members.iter().zip(&self.peer_digests).enumerate();
        members
            .filter(move |(_, (member, _))| is_recent(member))
            .map(|(id, (_, digest))| (id as MemberId, *digest))
    }

    /// Whether this member is behind: at least two others agree and no other has the local digest. It then requests
    /// updates instead of sending its own.
    fn is_behind(&self, now: Micros) -> bool {
        let mut digests: Vec<_> = self.recent_contacts(now).map(|(_, digest)| digest).collect();
        digests.sort_unstable();
        !digests.contains(&self.digest) && digests.windows(2).any(|pair| pair[0] == pair[1])
    }

    /// Sends a sync request, if the budget allows it.
    pub(crate) fn request_sync(&mut self, now: Micros, to: MemberId, out: &mut Out) {
        let salt = self.next_sequence() as u8;
        let message = self
            .new_message(MessageKind::SyncRequest { salt, blocks: BlockDigests(self.block_digests(salt)) });
        if self.budget.allows(now, MAX_DATAGRAM_BYTES as u64, RESERVED_BYTES) {
            self.send_message(now, to, &message, out);
        }
    }

    /// The block of the member with this number.
    fn block_of(index: usize) -> usize {
        index % DIGEST_BLOCKS
    }

    /// The salted digest of each block of members.
    fn block_digests(&self, salt: u8) -> [u8; DIGEST_BLOCKS] {
        let mut blocks = [0; DIGEST_BLOCKS];
        for (index, member) in self.members.iter().enumerate() {
            let fingerprint = member.fingerprint(index as MemberId).wrapping_mul(u32::from(salt) << 8 | 1);
            blocks[Self::block_of(index)] ^= (fingerprint >> 24) as u8;
        }
        blocks
    }

    /// Responds with the entries of known members in blocks that differ. A member that is behind sends a request
    /// instead.
    pub(crate) fn handle_sync_request(
        &mut self,
        now: Micros,
        to: MemberId,
        salt: u8,
        remote: &BlockDigests,
        out: &mut Out,
    ) {
        if self.is_behind(now) {
            return self.request_sync(now, to, out);
        }
        let local = self.block_digests(salt);
        let is_known = |member: &Member| member.state != MemberState::Unknown;
        let differs = |index: usize| local[Self::block_of(index)] != remote.0[Self::block_of(index)];
        let is_requested = |index: &usize| differs(*index) && is_known(&self.members[*index]);
        let mut members: Vec<_> =
            (0..self.members.len()).filter(is_requested).map(|index| index as MemberId).collect();
        // Random order: if the entries exceed one response, successive responses cover different members.
        members.shuffle(&mut self.rng);
        self.send_updates(now, to, &members, MessageKind::SyncResponse, MAX_SYNC_DATAGRAMS, out);
    }

    /// Sends the newer local entries of the members for which `to` sent outdated updates.
    pub(crate) fn send_corrections(&mut self, now: Micros, to: MemberId, stale: &[MemberId], out: &mut Out) {
        self.send_updates(now, to, stale, MessageKind::Updates, 1, out);
    }

    /// Sends the entries of these members, in at most `max_datagrams` datagrams.
    fn send_updates(
        &mut self,
        now: Micros,
        to: MemberId,
        members: &[MemberId],
        kind: MessageKind,
        max_datagrams: usize,
        out: &mut Out,
    ) {
        let update = |member: &MemberId| {
            let Member { incarnation, state, .. } = self.members[usize::from(*member)];
            Update { member: *member, incarnation, state }
        };
        let mut updates: Vec<_> = members.iter().map(update).collect();
        for _ in 0..max_datagrams {
            if updates.is_empty() || !self.budget.allows(now, MAX_DATAGRAM_BYTES as u64, RESERVED_BYTES) {
                return;
            }
            let mut message = self.new_message(kind);
            let (mut capacity, base) = (message.remaining_capacity(), self.own_incarnation.start);
            while let Some(update) = updates.pop_if(|update| update_bytes(update, base) <= capacity) {
                capacity -= update_bytes(&update, base);
                message.updates.push(update);
            }
            self.send_message(now, to, &message, out);
        }
    }
}
