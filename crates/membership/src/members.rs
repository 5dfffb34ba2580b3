//! One member's view of all members: its state and queries, applying updates and sending messages.
//!
//! The protocol is SWIM. In each period a member probes one other member. If that does not ack, it sends ping requests
//! to three others. Without an ack after a second such attempt the probed member is suspected, and it is declared gone
//! when the suspicion times out without a refutation. A member that learns that it is suspected or declared gone
//! refutes with a higher incarnation. The members are known from the configured list, so members that are gone are
//! probed too, one per period, and a healed partition is noticed without intervention. Anti-entropy by digests finds
//! what gossip missed.
//!
//! Inputs are settings and times, outputs are [`Output`]s. Received datagrams are handled in `receive`, periodic work
//! in `probe` and anti-entropy in `sync`; they use this module, which uses none of them. Bounds: one entry, one update
//! and 16 facts per member, and the send budget in bytes per second.

use crate::budget::Budget;
use crate::facts::FactStore;
use crate::failure_detector::{FailureDetector, Suspicion};
use crate::limits::{INDIRECT_PROBE_MEMBERS, MAX_GOSSIPED_UPDATES, RESERVED_BYTES};
use crate::output::{FleetShare, MembershipCounters, Out, Output};
use crate::settings::{MembershipSettings, SettingsError};
use crate::types::{Incarnation, Member, MemberId, MemberState, Micros};
use crate::updates::UpdateQueue;
use crate::wire::{MAX_DATAGRAM_BYTES, Message, MessageKind, Update};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

/// The period in which a later life of the local member was seen: a process that started later under the same number.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LaterLife {
    pub(crate) first_contact: Micros,
    pub(crate) last_contact: Micros,
}

/// The group membership as seen by one member, see the module documentation.
pub struct Membership {
    pub(crate) settings: MembershipSettings,
    /// The local member's current incarnation.
    pub(crate) own_incarnation: Incarnation,
    pub(crate) leaving: bool,
    /// Indexed by member number.
    pub(crate) members: Vec<Member>,
    /// XOR of the fingerprints of all `members`.
    pub(crate) digest: u32,
    /// The digest in the last datagram received from each member.
    pub(crate) peer_digests: Vec<u32>,
    pub(crate) updates: UpdateQueue,
    pub(crate) fact_store: FactStore,
    pub(crate) detector: FailureDetector,
    pub(crate) budget: Budget,
    pub(crate) rng: StdRng,
    /// Members still to be probed in this round, in random order; taken from the end and reshuffled for each round.
    pub(crate) probe_order: Vec<MemberId>,
    /// The last probed of the members that are not live.
    pub(crate) last_dead_probed: MemberId,
    pub(crate) sequence: u32,
    /// Moving average of the share of local probes that were acknowledged, 0 to 1.
    pub(crate) ack_ratio: f64,
    /// Consecutive datagrams received with the local digest.
    pub(crate) agreeing_datagrams: u32,
    pub(crate) next_probe: Micros,
    pub(crate) next_gossip: Micros,
    /// When this member last did any work, for the detection of stalls.
    pub(crate) last_active: Micros,
    pub(crate) counters: MembershipCounters,
    /// A later life of the local member, if one was seen.
    pub(crate) later_life: Option<LaterLife>,
    pub(crate) superseded: bool,
    /// Decides which update wins: [`Member::is_overridden_by`], unless a test has injected a fault.
    pub(crate) override_rule: OverrideRule,
}

/// Decides whether an update with this incarnation and state overrides a member's current entry.
pub type OverrideRule = fn(&Member, Incarnation, MemberState) -> bool;

impl Membership {
    /// Creates a membership in which the local member is up and all others are unknown.
    ///
    /// # Errors
    /// If the settings are invalid, see [`MembershipSettings::check`].
    pub fn new(settings: MembershipSettings, now: Micros) -> Result<Self, SettingsError> {
        settings.check()?;
        let own = Incarnation { start: settings.start, bump: 0 };
        let size = usize::from(settings.size);
        let mut membership = Self {
            own_incarnation: own,
            leaving: false,
            members: vec![Member::default(); size],
            digest: 0,
            peer_digests: vec![0; size],
            updates: UpdateQueue::default(),
            fact_store: FactStore::default(),
            detector: FailureDetector::default(),
            budget: Budget::new(settings.bytes_per_s, settings.burst, now),
            rng: StdRng::seed_from_u64(settings.seed ^ u64::from(settings.own) << 32 ^ settings.start),
            probe_order: Vec::new(),
            last_dead_probed: 0,
            sequence: 0,
            ack_ratio: 1.0,
            agreeing_datagrams: 0,
            // The random offset below keeps members that start together from probing at the same times.
            next_probe: now,
            next_gossip: now,
            last_active: now,
            counters: MembershipCounters::default(),
            later_life: None,
            superseded: false,
            override_rule: Member::is_overridden_by,
            settings,
        };
        membership.next_probe += membership.rng.random_range(0..settings.period);
        membership.apply(
            now,
            Update { member: settings.own, incarnation: own, state: MemberState::Up },
            &mut Vec::new(),
        );
        Ok(membership)
    }

    /// Replaces the override rule by a faulty one, to test that checks of the view detect the fault.
    #[doc(hidden)]
    pub fn inject_fault(&mut self, override_rule: OverrideRule) {
        self.override_rule = override_rule;
    }

    /// The entries of all members, indexed by number.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The local member's number.
    pub fn own(&self) -> MemberId {
        self.settings.own
    }

    /// The local member's current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.own_incarnation
    }

    /// A digest of the view, equal for views that agree on all members; suspicions are left out.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Protocol counters since the start.
    pub fn counters(&self) -> MembershipCounters {
        self.counters
    }

    /// Number of live members, the local one included.
    pub fn live_count(&self) -> usize {
        self.members.iter().filter(|member| member.state.is_live()).count()
    }

    /// Whether a later life of the local member has taken over; this process then sends nothing any more.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// The share of the configured fleet that is live here; a superseded member counts as alone.
    pub fn fleet_share(&self) -> FleetShare {
        if self.superseded {
            return FleetShare::Alone;
        }
        match (self.live_count(), self.members.len()) {
            (live, all) if live == all => FleetShare::Whole,
            (live, all) if live * 2 > all => FleetShare::Majority,
            (1, _) => FleetShare::Alone,
            _ => FleetShare::Minority,
        }
    }

    /// Whether no update or suspicion is pending and the latest datagram of each member that sent one in the last four
    /// periods carried the local digest.
    pub fn is_settled(&self, now: Micros) -> bool {
        let since = now.saturating_sub(self.settings.period * 4);
        let mut recent = self
            .members
            .iter()
            .zip(&self.peer_digests)
            .filter(|(member, _)| member.last_contact >= since && member.last_contact > 0);
        self.updates.is_empty()
            && self.detector.suspects.is_empty()
            && recent.all(|(_, digest)| *digest == self.digest)
    }

    /// Publishes a fact of the local member to all others; it replaces an earlier one under the same key. `ttl`, in
    /// microseconds, is capped at [`MAX_FACT_LIFETIME_US`](crate::MAX_FACT_LIFETIME_US). Returns false if the key or
    /// the value is out of bounds ([`FACT_KEYS`](crate::FACT_KEYS), [`MAX_FACT_BYTES`](crate::MAX_FACT_BYTES)) or
    /// `ttl` is below a millisecond.
    pub fn publish_fact(&mut self, now: Micros, key: u8, value: &[u8], ttl: Micros) -> bool {
        let (owner, retransmit_limit) =
            ((self.settings.own, self.own_incarnation.start), self.settings.retransmit_limit());
        self.fact_store.publish(now, owner, (key, value), ttl, retransmit_limit)
    }

    /// The value of a member's fact, unless it has expired.
    pub fn fact(&self, now: Micros, owner: MemberId, key: u8) -> Option<&[u8]> {
        self.fact_store.get(now, owner, key)
    }

    /// As [`Membership::fact`], but only if the member published it in its current life: what an earlier life
    /// published may no longer hold.
    pub fn fact_of_current_life(&self, now: Micros, owner: MemberId, key: u8) -> Option<&[u8]> {
        let life = self.members.get(usize::from(owner))?.incarnation.start;
        self.fact_store.get_of_life(now, owner, key, life)
    }

    /// Element-wise sums of the counters that members publish under a key, see
    /// [`encode_counters`](crate::encode_counters).
    pub fn counter_totals(&self, now: Micros, key: u8) -> Vec<u64> {
        self.fact_store.counter_totals(now, key)
    }

    /// Number of stored facts, bounded by the number of members and keys.
    pub fn fact_count(&self) -> usize {
        self.fact_store.len()
    }

    /// Whether the budget allows a datagram with facts. Half of the burst is reserved for updates.
    pub(crate) fn can_send_facts(&mut self, now: Micros) -> bool {
        self.budget.allows(now, MAX_DATAGRAM_BYTES as u64, self.settings.burst / 2)
    }

    /// When [`Membership::wake`] is due next.
    pub fn next_due(&self) -> Micros {
        if self.superseded {
            return self.next_probe;
        }
        let has_gossip = !self.updates.is_empty() || self.fact_store.is_pending();
        let gossip = has_gossip.then_some(self.next_gossip);
        self.detector.next_due().into_iter().chain(gossip).fold(self.next_probe, Micros::min)
    }

    /// Announces that the local member is leaving and only finishes its present work.
    pub fn leave(&mut self, now: Micros, out: &mut Out) {
        self.leaving = true;
        self.apply(
            now,
            Update {
                member: self.settings.own,
                incarnation: self.own_incarnation,
                state: MemberState::Leaving,
            },
            out,
        );
    }

    /// Announces that the local member has stopped, as the final update of this life: to as many of six random live
    /// members as the budget allows.
    pub fn stop(&mut self, now: Micros, out: &mut Out) {
        self.apply(
            now,
            Update {
                member: self.settings.own,
                incarnation: self.own_incarnation,
                state: MemberState::Stopped,
            },
            out,
        );
        for to in self.random_live_members(INDIRECT_PROBE_MEMBERS * 2, None) {
            self.send(now, to, MessageKind::Updates, None, out);
        }
    }

    /// Applies a new configured list of `size` members; remaining members keep their numbers. Returns false and changes
    /// nothing if the local member would not be in it.
    pub fn resize(&mut self, size: MemberId) -> bool {
        if self.settings.own >= size {
            return false;
        }
        self.settings.size = size;
        self.members.resize(size.into(), Member::default());
        self.peer_digests.resize(size.into(), 0);
        self.digest = self
            .members
            .iter()
            .enumerate()
            .fold(0, |digest, (id, member)| digest ^ member.fingerprint(id as MemberId));
        self.updates.retain_below(size);
        self.fact_store.retain_below(size);
        self.detector.retain_below(size);
        self.probe_order.clear();
        true
    }

    /// The update that a member has to refute, if it is suspected or declared gone.
    pub(crate) fn accusation(&self, member: MemberId) -> Option<Update> {
        let Member { state, incarnation, .. } = self.members[usize::from(member)];
        matches!(state, MemberState::Suspect | MemberState::Gone).then_some(Update {
            member,
            incarnation,
            state,
        })
    }

    /// Applies an update to the view and queues it for gossip.
    pub(crate) fn apply(&mut self, now: Micros, update: Update, out: &mut Out) {
        let Update { member: id, incarnation, state } = update;
        let member = &mut self.members[usize::from(id)];
        let (previous, old_fingerprint) = (member.state, member.fingerprint(id));
        (member.state, member.incarnation) = (state, incarnation);
        if previous != state {
            member.state_since = now;
        }
        let new_fingerprint = member.fingerprint(id);
        self.digest ^= old_fingerprint ^ new_fingerprint;
        self.updates.add(update, old_fingerprint != new_fingerprint);
        // A leaving member that stops responding is not gossiped as suspected: its own announcement overrides that.
        match state {
            MemberState::Suspect => {
                let expires_at = now + self.settings.suspicion_timeout();
                self.detector.suspects.insert(id, Suspicion { incarnation, expires_at });
            }
            _ => drop(self.detector.suspects.remove(&id)),
        }
        if previous != state {
            out.push(Output::Changed { member: id, incarnation, previous, state });
        }
    }

    /// Records activity and handles a stall of the local process. The silence of others during a stall does not count
    /// against them, so deadlines are postponed. After a stall longer than the suspicion timeout, the queued updates
    /// and the probes in flight are outdated and dropped.
    pub(crate) fn detect_stall(&mut self, now: Micros) {
        let stalled = now.saturating_sub(self.last_active);
        if stalled > self.settings.period * 2 {
            self.counters.stalls += 1;
            self.detector.postpone(stalled);
            self.next_probe = now;
            // The lifetime of facts includes the stall: expired ones are removed before anything is sent.
            self.fact_store.expire(now);
            if stalled > self.settings.suspicion_timeout() {
                self.updates = UpdateQueue::default();
                self.detector.probes.clear();
            }
        }
        self.last_active = self.last_active.max(now);
    }

    /// The sequence number of a new probe.
    pub(crate) fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// A message from the local member without updates and facts.
    pub(crate) fn new_message(&self, kind: MessageKind) -> Message {
        Message {
            fleet: self.settings.fleet,
            from: self.settings.own,
            incarnation: self.own_incarnation,
            leaving: self.leaving,
            digest: self.digest,
            kind,
            updates: Vec::new(),
            facts: Vec::new(),
        }
    }

    /// Sends a message, filled with queued updates and facts as far as its size and the budget allow, unless so many
    /// updates are queued that a sync is due instead. `first` is sent in any case.
    pub(crate) fn send(
        &mut self,
        now: Micros,
        to: MemberId,
        kind: MessageKind,
        first: Option<Update>,
        out: &mut Out,
    ) {
        let mut message = self.new_message(kind);
        let attach_gossip = self.budget.allows(now, MAX_DATAGRAM_BYTES as u64, RESERVED_BYTES)
            && self.updates.len() <= MAX_GOSSIPED_UPDATES;
        let (capacity, retransmit_limit) = (message.remaining_capacity(), self.settings.retransmit_limit());
        message.updates = match attach_gossip {
            true => {
                self.updates.take_for_datagram(capacity, retransmit_limit, self.own_incarnation.start, first)
            }
            false => first.into_iter().collect(),
        };
        // Facts have the lowest priority: republished by hundreds of members, they would use up the budget that
        // updates and anti-entropy need.
        if attach_gossip && self.can_send_facts(now) {
            message.facts = self.fact_store.take_for_datagram(now, message.remaining_capacity());
        }
        if kind == MessageKind::Updates && message.updates.is_empty() && message.facts.is_empty() {
            return;
        }
        self.send_message(now, to, &message, out);
    }

    /// Sends a message as it is, even if the budget does not cover it.
    pub(crate) fn send_message(&mut self, now: Micros, to: MemberId, message: &Message, out: &mut Out) {
        let Some(bytes) = message.encode().filter(|_| !self.superseded) else { return };
        self.budget.spend(now, bytes.len() as u64);
        self.counters.sent.0 += 1;
        self.counters.sent.1 += bytes.len() as u64;
        out.push(Output::Send { to, bytes });
    }

    /// Up to `count` random live members, without the local one and `excluded`.
    pub(crate) fn random_live_members(&mut self, count: usize, excluded: Option<MemberId>) -> Vec<MemberId> {
        let eligible = |(id, member): (usize, &Member)| {
            let id = id as MemberId;
            (member.state.is_live() && id != self.settings.own && Some(id) != excluded).then_some(id)
        };
        let mut candidates: Vec<_> = self.members.iter().enumerate().filter_map(eligible).collect();
        candidates.partial_shuffle(&mut self.rng, count).0.to_vec()
    }

    /// The next live member to probe. Each round covers all members once, in a new random order.
    pub(crate) fn next_probe_target(&mut self) -> Option<MemberId> {
        for _ in 0..2 {
            while let Some(id) = self.probe_order.pop() {
                if id != self.settings.own && self.members[usize::from(id)].state.is_live() {
                    return Some(id);
                }
            }
            self.probe_order = (0..self.settings.size).collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        None
    }
}
