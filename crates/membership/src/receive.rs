//! Handling of received datagrams: the liveness of the sender, the contained updates and facts, and the kind of
//! message. Inputs are the bytes and the number of the member that owns the source address. Anything but a complete
//! message from that member and the local fleet is counted and dropped. Outputs are datagrams, charged to the send
//! budget, and state changes.

use crate::failure_detector::IndirectProbe;
use crate::limits::{ACK_RATIO_WEIGHT, AGREEING_DATAGRAMS, MAX_INDIRECT_PROBES};
use crate::members::{LaterLife, Membership};
use crate::output::{Out, Output};
use crate::types::{MemberId, MemberState, Micros};
use crate::wire::{Message, MessageKind, Update};

impl Membership {
    /// Handles a datagram received from the address of member `from`.
    pub fn handle(&mut self, now: Micros, from: MemberId, bytes: &[u8], out: &mut Out) {
        if self.superseded {
            return;
        }
        self.detect_stall(now);
        let is_valid = |message: &Message| {
            message.from == from
                && message.fleet == self.settings.fleet
                && from < self.settings.size
                && from != self.settings.own
        };
        let Some(message) = Message::decode(bytes).ok().filter(is_valid) else {
            self.counters.dropped += 1;
            return;
        };
        self.counters.received += 1;
        self.peer_digests[usize::from(from)] = message.digest;
        let accusation = self.update_sender(now, &message, out);
        self.agreeing_datagrams = if message.digest == self.digest { self.agreeing_datagrams + 1 } else { 0 };
        if self.agreeing_datagrams >= AGREEING_DATAGRAMS {
            self.updates.remove_covered_by_digest();
        }
        let stale = self.merge_contents(now, &message, out);
        self.handle_kind(now, &message, accusation, &stale, out);
        // The local view of the sender is wrong. The sender has to learn of it in order to refute it; a ping's ack
        // already carries the update.
        let is_ping = matches!(message.kind, MessageKind::Ping(_));
        if accusation.is_some() && !is_ping {
            self.send(now, from, MessageKind::Updates, accusation, out);
        }
    }

    /// Merges the updates and facts of a message. Returns the members whose updates were older than the local entry.
    fn merge_contents(&mut self, now: Micros, message: &Message, out: &mut Out) -> Vec<MemberId> {
        let mut stale = Vec::new();
        for update in &message.updates {
            if self.merge(now, *update, out) {
                stale.push(update.member);
            }
        }
        let is_other = |owner: MemberId| owner < self.settings.size && owner != self.settings.own;
        for fact in message.facts.iter().filter(|fact| is_other(fact.owner)) {
            self.fact_store.merge(now, fact, self.settings.retransmit_limit());
        }
        stale
    }

    /// Handles a message by its kind. `accusation` is the update that its sender has to refute, if any.
    fn handle_kind(
        &mut self,
        now: Micros,
        message: &Message,
        accusation: Option<Update>,
        stale: &[MemberId],
        out: &mut Out,
    ) {
        let from = message.from;
        match &message.kind {
            MessageKind::Ping(sequence) => self.send(now, from, MessageKind::Ack(*sequence), accusation, out),
            MessageKind::PingRequest { sequence, target } => {
                self.probe_on_behalf(now, from, *sequence, *target, out);
            }
            MessageKind::Ack(sequence) => {
                if let Some(probe) = self.detector.indirect_probes.remove(sequence) {
                    let kind = MessageKind::IndirectAck { sequence: probe.requester_sequence, target: from };
                    self.send(now, probe.requester, kind, None, out);
                }
                self.acknowledge(*sequence, from);
            }
            MessageKind::IndirectAck { sequence, target } => self.acknowledge(*sequence, *target),
            MessageKind::SyncRequest { salt, blocks } => {
                self.handle_sync_request(now, from, *salt, blocks, out)
            }
            MessageKind::SyncResponse => self.send_corrections(now, from, stale, out),
            MessageKind::Updates => {}
        }
    }

    /// Probes `target` on behalf of a member that got no ack from it.
    fn probe_on_behalf(
        &mut self,
        now: Micros,
        requester: MemberId,
        requester_sequence: u32,
        target: MemberId,
        out: &mut Out,
    ) {
        let is_other = target < self.settings.size && target != self.settings.own;
        if !is_other || self.detector.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            return;
        }
        let sequence = self.next_sequence();
        let expires_at = now + self.settings.round_trip * 2;
        self.detector
            .indirect_probes
            .insert(sequence, IndirectProbe { requester, requester_sequence, expires_at });
        let accusation = self.accusation(target);
        self.send(now, target, MessageKind::Ping(sequence), accusation, out);
    }

    /// Completes the local probe that an ack matches, if any.
    fn acknowledge(&mut self, sequence: u32, target: MemberId) {
        let before = self.detector.probes.len();
        self.detector.probes.retain(|probe| probe.sequence != sequence || probe.to != target);
        if self.detector.probes.len() < before {
            self.ack_ratio += ACK_RATIO_WEIGHT * (1.0 - self.ack_ratio);
        }
    }

    /// Updates the sender's entry from its own message. Returns the update that the sender has to refute, if its entry
    /// is wrong.
    fn update_sender(&mut self, now: Micros, message: &Message, out: &mut Out) -> Option<Update> {
        let (sender, incarnation) = (message.from, message.incarnation);
        let state = if message.leaving { MemberState::Leaving } else { MemberState::Up };
        let member = &mut self.members[usize::from(sender)];
        member.last_contact = now;
        if (self.override_rule)(member, incarnation, state)
            && !(member.incarnation == incarnation && member.state == MemberState::Suspect)
        {
            self.apply(now, Update { member: sender, incarnation, state }, out);
        }
        let member = self.members[usize::from(sender)];
        let wrong = member.incarnation > incarnation
            || matches!(member.state, MemberState::Suspect | MemberState::Gone | MemberState::Stopped);
        wrong.then_some(Update { member: sender, incarnation: member.incarnation, state: member.state })
    }

    /// Merges an update. Returns true if the local entry is newer.
    fn merge(&mut self, now: Micros, update: Update, out: &mut Out) -> bool {
        if update.member >= self.settings.size {
            return false;
        }
        if update.member == self.settings.own {
            self.refute(now, update, out);
            return false;
        }
        let member = self.members[usize::from(update.member)];
        if (self.override_rule)(&member, update.incarnation, update.state) {
            self.apply(now, update, out);
            return false;
        }
        (member.incarnation, member.state) != (update.incarnation, update.state)
    }

    /// Refutes a false update about the local member with a higher incarnation.
    fn refute(&mut self, now: Micros, update: Update, out: &mut Out) {
        let state = if self.leaving { MemberState::Leaving } else { MemberState::Up };
        let own_state = self.members[usize::from(self.settings.own)].state;
        let state = if own_state == MemberState::Stopped { own_state } else { state };
        let Some(incarnation) = self.own_incarnation.refutation(state, (update.incarnation, update.state))
        else {
            return;
        };
        if update.state != MemberState::Gone && update.incarnation.start > self.settings.start {
            self.superseded |= self.is_superseded_by_running_process(now);
        }
        if self.superseded {
            out.push(Output::Superseded { start: update.incarnation.start });
            return;
        }
        self.counters.later_lives += u64::from(update.incarnation.start > self.own_incarnation.start);
        self.counters.refutations += 1;
        self.own_incarnation = incarnation;
        self.apply(now, Update { member: self.settings.own, incarnation: self.own_incarnation, state }, out);
    }

    /// Whether the later life in updates about the local member belongs to a running process, which refutes what this
    /// one sends. A member that starts with its wall clock set back also sees updates about a later life, which is
    /// dead. Those updates reach all members within the settling time and then cease, so updates that continue for
    /// longer come from a running process. The later process wins: an operator started it in place of one that was
    /// stalled.
    fn is_superseded_by_running_process(&mut self, now: Micros) -> bool {
        let settling_time = self.settings.settling_time();
        let current = self.later_life.filter(|later_life| later_life.last_contact + settling_time > now);
        let first_contact = current.map_or(now, |later_life| later_life.first_contact);
        self.later_life = Some(LaterLife { first_contact, last_contact: now });
        now - first_contact > settling_time
    }
}
