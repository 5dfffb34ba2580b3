//! What one member believes of all: its state, its queries, and how it applies an update and sends a message.
//!
//! SWIM: each period it probes one other; who does not answer is probed through three others, then suspected, and taken
//! for gone once the suspicion has stood for its time without being refuted. Who hears of itself that it is suspected or
//! gone refutes by a later incarnation. As the members are known from the configured list, those that are gone are probed
//! too, one a period: a partition heals by itself. What updates have missed is found by digests (anti-entropy).
//!
//! Inputs are settings and times; outputs are [`Output`]s. What comes is in `receive`, what is due by itself in `probe`,
//! the comparison of digests in `sync`; they use this module, which uses none of them. Bounds: one entry, one update and
//! 16 facts a member, and the budget of bytes a second.

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

/// When a later life of ours was heard to speak.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LaterLife {
    pub(crate) first_contact: Micros,
    pub(crate) last_contact: Micros,
}

/// The membership as one member knows it, see the module's page.
pub struct Membership {
    pub(crate) settings: MembershipSettings,
    /// Our present incarnation.
    pub(crate) own_incarnation: Incarnation,
    pub(crate) leaving: bool,
    /// By number.
    pub(crate) members: Vec<Member>,
    /// All fingerprints of `members`, exclusive-or'd.
    pub(crate) digest: u32,
    /// The digest that each member was last heard with.
    pub(crate) peer_digests: Vec<u32>,
    pub(crate) updates: UpdateQueue,
    pub(crate) fact_store: FactStore,
    pub(crate) detector: FailureDetector,
    pub(crate) budget: Budget,
    pub(crate) rng: StdRng,
    /// Whom to probe next, shuffled anew each time round.
    pub(crate) probe_order: Vec<MemberId>,
    /// The member that is not live and was probed last.
    pub(crate) last_dead_probed: MemberId,
    pub(crate) sequence: u32,
    /// Share of our probes that were acknowledged, the latest weighing most.
    pub(crate) ack_ratio: f64,
    /// Datagrams in a row whose digest was like ours.
    pub(crate) agreeing_datagrams: u32,
    pub(crate) next_probe: Micros,
    pub(crate) next_gossip: Micros,
    /// When we were last at work.
    pub(crate) last_active: Micros,
    pub(crate) counters: MembershipCounters,
    /// A later life of ours, where one was heard of.
    pub(crate) later_life: Option<LaterLife>,
    pub(crate) superseded: bool,
    /// What says more: [`Member::yields_to`], but where a test plants a fault.
    pub(crate) override_rule: OverrideRule,
}

/// Whether an incarnation and a state say more than what is believed of a member.
pub type OverrideRule = fn(&Member, Incarnation, MemberState) -> bool;

impl Membership {
    /// A membership that knows the list of members and has heard of none.
    ///
    /// # Errors
    /// Where the settings can't be used.
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
            // Members that start together do not probe together.
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

    /// Plants a fault: what checks views has to find it.
    #[doc(hidden)]
    pub fn inject_fault(&mut self, newer: OverrideRule) {
        self.override_rule = newer;
    }

    /// What is believed of each member, by number.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Our number.
    pub fn own(&self) -> MemberId {
        self.settings.own
    }

    /// Our present incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.own_incarnation
    }

    /// Equal where the same is believed of all, suspicions aside.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// See [`MembershipCounters`].
    pub fn counters(&self) -> MembershipCounters {
        self.counters
    }

    /// Live members, we included.
    pub fn live_count(&self) -> usize {
        self.members.iter().filter(|e| e.state.is_live()).count()
    }

    /// Whether a later life of ours has taken our place: this one is silent.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// With how much of the configured fleet we are; alone, whoever is superseded.
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

    /// Whether there is no update to pass on, and all that were heard of late have the same digest.
    pub fn is_settled(&self, now: Micros) -> bool {
        let since = now.saturating_sub(self.settings.period * 4);
        let mut late = self
            .members
            .iter()
            .zip(&self.peer_digests)
            .filter(|(e, _)| e.last_contact >= since && e.last_contact > 0);
        self.updates.is_empty()
            && self.detector.suspects.is_empty()
            && late.all(|(_, theirs)| *theirs == self.digest)
    }

    /// Tells all a fact of ours under a key, which stands for this long; a later one takes its place. False
    /// where the key or the value is out of bounds ([`FACT_KEYS`](crate::FACT_KEYS), [`MAX_FACT_BYTES`](crate::MAX_FACT_BYTES)).
    pub fn publish_fact(&mut self, now: Micros, key: u8, value: &[u8], stands: Micros) -> bool {
        let (whose, repeats) =
            ((self.settings.own, self.own_incarnation.start), self.settings.retransmit_limit());
        self.fact_store.publish(now, whose, (key, value), stands, repeats)
    }

    /// A fact of a member, while it stands.
    pub fn fact(&self, now: Micros, owner: MemberId, key: u8) -> Option<&[u8]> {
        self.fact_store.get(now, owner, key)
    }

    /// As [`Membership::fact`], but only where the member told it in the life that we know of: what an earlier life said of
    /// itself may be otherwise now.
    pub fn fact_of_current_life(&self, now: Micros, owner: MemberId, key: u8) -> Option<&[u8]> {
        let life = self.members.get(usize::from(owner))?.incarnation.start;
        self.fact_store.get_of_life(now, owner, key, life)
    }

    /// The sums, place by place, of the counters that members tell under a key, see
    /// [`encode_counters`](crate::encode_counters).
    pub fn counter_totals(&self, now: Micros, key: u8) -> Vec<u64> {
        self.fact_store.counter_totals(now, key)
    }

    /// Facts held: bounded by the members and their keys.
    pub fn fact_count(&self) -> usize {
        self.fact_store.len()
    }

    /// Half of what is saved up is left for updates.
    pub(crate) fn can_send_facts(&mut self, now: Micros) -> bool {
        self.budget.allows(now, MAX_DATAGRAM_BYTES as u64, self.settings.burst / 2)
    }

    /// When [`Membership::wake`] is due next.
    pub fn next_due(&self) -> Micros {
        if self.superseded {
            return self.next_probe;
        }
        let tells = !self.updates.is_empty() || self.fact_store.is_pending();
        let broadcast = tells.then_some(self.next_gossip);
        self.detector.next_due().into_iter().chain(broadcast).fold(self.next_probe, Micros::min)
    }

    /// Says that we leave, and finish what we have.
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

    /// Says that we are no more: the last word of this life, to as many as the budget allows.
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

    /// The configured list is another: it has this many members now, those in it under their old numbers. False
    /// where we would not be in it, and nothing changes then.
    pub fn resize(&mut self, size: MemberId) -> bool {
        if self.settings.own >= size {
            return false;
        }
        self.settings.size = size;
        self.members.resize(size.into(), Member::default());
        self.peer_digests.resize(size.into(), 0);
        self.digest =
            self.members.iter().enumerate().fold(0, |all, (of, e)| all ^ e.fingerprint(of as MemberId));
        self.updates.retain_below(size);
        self.fact_store.retain_below(size);
        self.detector.retain_below(size);
        self.probe_order.clear();
        true
    }

    /// What a member is accused of, if it is.
    pub(crate) fn accusation(&self, of: MemberId) -> Option<Update> {
        let Member { state, incarnation, .. } = self.members[usize::from(of)];
        matches!(state, MemberState::Suspect | MemberState::Gone).then_some(Update {
            member: of,
            incarnation,
            state,
        })
    }

    /// Believes an update, and passes it on.
    pub(crate) fn apply(&mut self, now: Micros, update: Update, out: &mut Out) {
        let Update { member: of, incarnation, state } = update;
        let member = &mut self.members[usize::from(of)];
        let (was, before) = (member.state, member.fingerprint(of));
        (member.state, member.incarnation) = (state, incarnation);
        if was != state {
            member.state_since = now;
        }
        let after = member.fingerprint(of);
        self.digest ^= before ^ after;
        self.updates.add(update, before != after);
        // A member that leaves and is silent is never told of as suspected: its word stands.
        match state {
            MemberState::Suspect => {
                let until = now + self.settings.suspicion_timeout();
                self.detector.suspects.insert(of, Suspicion { incarnation, expires_at: until });
            }
            _ => drop(self.detector.suspects.remove(&of)),
        }
        if was != state {
            out.push(Output::Changed { member: of, incarnation, previous: was, state: state });
        }
    }

    /// Notes that we are at work. Where we stood still, what others did not say meanwhile is not held against them, and what we meant to pass
    /// on is old.
    pub(crate) fn detect_stall(&mut self, now: Micros) {
        let still = now.saturating_sub(self.last_active);
        if still > self.settings.period * 2 {
            self.counters.stalls += 1;
            self.detector.postpone(still);
            self.next_probe = now;
            // Facts of before are as old as they say: those that have ended go now.
            self.fact_store.expire(now);
            if still > self.settings.suspicion_timeout() {
                self.updates = UpdateQueue::default();
                self.detector.probes.clear();
            }
        }
        self.last_active = self.last_active.max(now);
    }

    /// The number of a new probe.
    pub(crate) fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// A message of ours without updates and facts.
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

    /// Sends a message with as many updates as it holds and the budget allows; `first` goes in any case.
    pub(crate) fn send(
        &mut self,
        now: Micros,
        to: MemberId,
        kind: MessageKind,
        first: Option<Update>,
        out: &mut Out,
    ) {
        let mut message = self.new_message(kind);
        let rich = self.budget.allows(now, MAX_DATAGRAM_BYTES as u64, RESERVED_BYTES)
            && self.updates.len() <= MAX_GOSSIPED_UPDATES;
        let (room, repeats) = (message.remaining_capacity(), self.settings.retransmit_limit());
        message.updates = match rich {
            true => self.updates.take_for_datagram(room, repeats, self.own_incarnation.start, first),
            false => first.into_iter().collect(),
        };
        // Facts go last: renewed by hundreds they would use up what updates and comparisons need.
        if rich && self.can_send_facts(now) {
            message.facts = self.fact_store.take_for_datagram(now, message.remaining_capacity());
        }
        if kind == MessageKind::Updates && message.updates.is_empty() && message.facts.is_empty() {
            return;
        }
        self.write(now, to, &message, out);
    }

    /// Puts out a message as it is; the budget may go into debt by it.
    pub(crate) fn write(&mut self, now: Micros, to: MemberId, message: &Message, out: &mut Out) {
        let Some(bytes) = message.encode().filter(|_| !self.superseded) else { return };
        self.budget.spend(now, bytes.len() as u64);
        self.counters.sent.0 += 1;
        self.counters.sent.1 += bytes.len() as u64;
        out.push(Output::Send { to, bytes });
    }

    /// Some live members, not ourselves and not this one.
    pub(crate) fn random_live_members(&mut self, count: usize, but: Option<MemberId>) -> Vec<MemberId> {
        let fit = |(of, e): (usize, &Member)| {
            let of = of as MemberId;
            (e.state.is_live() && of != self.settings.own && Some(of) != but).then_some(of)
        };
        let mut all: Vec<_> = self.members.iter().enumerate().filter_map(fit).collect();
        all.partial_shuffle(&mut self.rng, count).0.to_vec()
    }

    /// The live member to be probed next: all once, in an order drawn anew each time round.
    pub(crate) fn next_probe_target(&mut self) -> Option<MemberId> {
        for _ in 0..2 {
            while let Some(of) = self.probe_order.pop() {
                if of != self.settings.own && self.members[usize::from(of)].state.is_live() {
                    return Some(of);
                }
            }
            self.probe_order = (0..self.settings.size).collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        None
    }
}
