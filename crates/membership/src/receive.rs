//! What a membership does with a datagram: what its sender proves by it, the updates and facts in it, and its kind. Input are
//! the bytes and the number of the member whose address they came from; anything that is not a whole message of that member
//! and of our fleet is counted and dropped. Output are datagrams and changes, by the budget of bytes.

use crate::failure_detector::IndirectProbe;
use crate::limits::{ACK_RATIO_WEIGHT, AGREEING_DATAGRAMS, MAX_INDIRECT_PROBES};
use crate::members::{LaterLife, Membership};
use crate::output::{Out, Output};
use crate::types::{MemberId, MemberState, Micros};
use crate::wire::{Message, MessageKind, Update};

impl Membership {
    /// Takes a datagram that came from this member's address.
    pub fn handle(&mut self, now: Micros, from: MemberId, bytes: &[u8], out: &mut Out) {
        if self.superseded {
            return;
        }
        self.detect_stall(now);
        let good = |m: &Message| {
            m.from == from
                && m.fleet == self.settings.fleet
                && from < self.settings.size
                && from != self.settings.own
        };
        let Some(message) = Message::decode(bytes).ok().filter(good) else {
            self.counters.dropped += 1;
            return;
        };
        self.counters.received += 1;
        self.peer_digests[usize::from(from)] = message.digest;
        let told = self.update_sender(now, &message, out);
        self.agreeing_datagrams = if message.digest == self.digest { self.agreeing_datagrams + 1 } else { 0 };
        if self.agreeing_datagrams >= AGREEING_DATAGRAMS {
            self.updates.remove_covered_by_digest();
        }
        let stale = self.merge_contents(now, &message, out);
        self.handle_kind(now, &message, told, &stale, out);
        // It is believed to be what it is not: it has to hear of it, to refute.
        let asked = matches!(message.kind, MessageKind::Ping(_));
        if told.is_some() && !asked {
            self.send(now, from, MessageKind::Updates, told, out);
        }
    }

    /// Takes the updates and facts of a message; gives the members of which we know better.
    fn merge_contents(&mut self, now: Micros, message: &Message, out: &mut Out) -> Vec<MemberId> {
        let mut stale = Vec::new();
        for update in &message.updates {
            if self.merge(now, *update, out) {
                stale.push(update.member);
            }
        }
        let of_others = |owner: MemberId| owner < self.settings.size && owner != self.settings.own;
        for fact in message.facts.iter().filter(|fact| of_others(fact.owner)) {
            self.fact_store.merge(now, fact, self.settings.retransmit_limit());
        }
        stale
    }

    /// Does what a message is for. `told` is what its sender has to hear of itself.
    fn handle_kind(
        &mut self,
        now: Micros,
        message: &Message,
        told: Option<Update>,
        stale: &[MemberId],
        out: &mut Out,
    ) {
        let from = message.from;
        match &message.kind {
            MessageKind::Ping(sequence) => self.send(now, from, MessageKind::Ack(*sequence), told, out),
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

    /// Pings a member in place of another one that had no answer from it.
    fn probe_on_behalf(
        &mut self,
        now: Micros,
        from: MemberId,
        their_sequence: u32,
        target: MemberId,
        out: &mut Out,
    ) {
        let is_other = target < self.settings.size && target != self.settings.own;
        if !is_other || self.detector.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            return;
        }
        let sequence = self.next_sequence();
        let until = now + self.settings.round_trip * 2;
        self.detector.indirect_probes.insert(
            sequence,
            IndirectProbe { requester: from, requester_sequence: their_sequence, expires_at: until },
        );
        let told = self.accusation(target);
        self.send(now, target, MessageKind::Ping(sequence), told, out);
    }

    /// A probe of ours is acknowledged, if it is one of ours.
    fn acknowledge(&mut self, sequence: u32, of: MemberId) {
        let before = self.detector.probes.len();
        self.detector.probes.retain(|q| q.sequence != sequence || q.to != of);
        if self.detector.probes.len() < before {
            self.ack_ratio += ACK_RATIO_WEIGHT * (1.0 - self.ack_ratio);
        }
    }

    /// A member itself has spoken. Gives what it has to be told of itself.
    fn update_sender(&mut self, now: Micros, message: &Message, out: &mut Out) -> Option<Update> {
        let (of, incarnation) = (message.from, message.incarnation);
        let state = if message.leaving { MemberState::Leaving } else { MemberState::Up };
        let member = &mut self.members[usize::from(of)];
        member.last_contact = now;
        if (self.override_rule)(member, incarnation, state)
            && !(member.incarnation == incarnation && member.state == MemberState::Suspect)
        {
            self.apply(now, Update { member: of, incarnation, state }, out);
        }
        let member = self.members[usize::from(of)];
        let wrong = member.incarnation > incarnation
            || matches!(member.state, MemberState::Suspect | MemberState::Gone | MemberState::Stopped);
        wrong.then_some(Update { member: of, incarnation: member.incarnation, state: member.state })
    }

    /// Takes an update; true where we know better.
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

    /// Answers an update of ourselves by a later incarnation, where it says what is not so.
    fn refute(&mut self, now: Micros, update: Update, out: &mut Out) {
        let state = if self.leaving { MemberState::Leaving } else { MemberState::Up };
        let known = self.members[usize::from(self.settings.own)].state;
        let state = if known == MemberState::Stopped { known } else { state };
        let Some(refuting) = self.own_incarnation.refutation(state, (update.incarnation, update.state))
        else {
            return;
        };
        if update.state != MemberState::Gone && update.incarnation.start > self.settings.start {
            self.superseded |= self.is_superseded_by_live(now);
        }
        if self.superseded {
            out.push(Output::Superseded { start: update.incarnation.start });
            return;
        }
        self.counters.later_lives += u64::from(update.incarnation.start > self.own_incarnation.start);
        self.counters.refutations += 1;
        self.own_incarnation = refuting;
        self.apply(now, Update { member: self.settings.own, incarnation: self.own_incarnation, state }, out);
    }

    /// Word of a later life of ours that answers what we say. Word of a dead one, heard by whoever starts with a
    /// wall clock that ran back, has reached all within the settling time and is no update any more; beyond it there
    /// is one that lives. The later one goes on: it is what an operator has started in place of one that stood
    /// still.
    fn is_superseded_by_live(&mut self, now: Micros) -> bool {
        let settling = self.settings.settling_time();
        let known = self.later_life.filter(|rival| rival.last_contact + settling > now);
        let first_heard = known.map_or(now, |rival| rival.first_contact);
        self.later_life = Some(LaterLife { first_contact: first_heard, last_contact: now });
        now - first_heard > settling
    }
}
