//! What a membership does by itself when time has passed: probes, the ends of suspicions, updates passed on. Input is a time
//! on the caller's clock, output are datagrams and changes. A period has one probe of a live member, up to
//! [`SUSPECTS_PROBED_PER_PERIOD`] of suspects and one of a member that is not live; all go by the budget of bytes.

use crate::failure_detector::{Probe, Suspicion};
use crate::limits::{
    ACK_RATIO_WEIGHT, INDIRECT_PROBE_MEMBERS, MAX_GOSSIPED_UPDATES, MIN_ACK_RATIO, RESERVED_BYTES,
    SUSPECTS_PROBED_PER_PERIOD,
};
use crate::members::Membership;
use crate::output::Out;
use crate::types::{Member, MemberId, MemberState, Micros};
use crate::wire::{MAX_DATAGRAM_BYTES, MessageKind, Update};
use rand::seq::SliceRandom;

impl Membership {
    /// Does what is due by `now`.
    pub fn wake(&mut self, now: Micros, out: &mut Out) {
        if self.superseded {
            self.next_probe = now + self.settings.settling_time();
            return;
        }
        self.detect_stall(now);
        self.detector.indirect_probes.retain(|_, indirect_probe| indirect_probe.expires_at > now);
        self.check_probes(now, out);
        self.expire_suspicions(now, out);
        if now >= self.next_probe {
            // Never several at once after a delay: each period has its probe.
            self.next_probe = (self.next_probe + self.settings.period).max(now + self.settings.period / 2);
            self.probe_round(now, out);
        }
        self.fact_store.expire(now);
        if now >= self.next_gossip {
            self.next_gossip = now + self.settings.period / 3;
            self.gossip(now, out);
        }
    }

    /// Takes those for gone whose suspicion has stood for its time.
    fn expire_suspicions(&mut self, now: Micros, out: &mut Out) {
        let ended = |(of, suspicion): (&MemberId, &Suspicion)| {
            (suspicion.expires_at <= now).then_some((*of, suspicion.incarnation))
        };
        let ended: Vec<_> = self.detector.suspects.iter().filter_map(ended).collect();
        for (of, incarnation) in ended {
            self.detector.suspects.remove(&of);
            let member = self.members[usize::from(of)];
            if member.incarnation == incarnation && member.state.is_live() {
                self.counters.declared_gone += 1;
                self.apply(now, Update { member: of, incarnation, state: MemberState::Gone }, out);
            }
        }
    }

    /// Passes updates and facts on, or asks for a comparison where there are too many of them.
    fn gossip(&mut self, now: Micros, out: &mut Out) {
        if self.updates.is_empty() && !(self.fact_store.is_pending() && self.can_send_facts(now)) {
            return;
        }
        if self.updates.len() > MAX_GOSSIPED_UPDATES {
            let to = self.random_live_members(1, None);
            return to.into_iter().for_each(|to| self.request_sync(now, to, out));
        }
        for to in self.random_live_members(2, None) {
            if self.budget.allows(now, MAX_DATAGRAM_BYTES as u64, RESERVED_BYTES) {
                self.send(now, to, MessageKind::Updates, None, out);
            }
        }
    }

    /// Probes whose time is over: others are asked to probe, then the member is probed again, then it is suspected.
    fn check_probes(&mut self, now: Micros, out: &mut Out) {
        // Probes sent meanwhile come behind those that stay.
        for mut probe in std::mem::take(&mut self.detector.probes) {
            if now >= probe.deadline && probe.indirect_sent {
                self.ack_ratio -= ACK_RATIO_WEIGHT * self.ack_ratio;
                // Whom we hear while few of our probes are acknowledged does not hear us: that is our fault.
                let heard = self.members[usize::from(probe.to)].last_contact;
                let doubt = self.ack_ratio < MIN_ACK_RATIO && heard + self.settings.round_trip * 4 > now;
                match probe.second_attempt {
                    true if doubt => {}
                    true => self.suspect(now, probe.to, out),
                    false => self.probe(now, probe.to, true, out),
                }
                continue;
            }
            if now >= probe.indirect_at && !probe.indirect_sent {
                probe.indirect_sent = true;
                for via in self.random_live_members(INDIRECT_PROBE_MEMBERS, Some(probe.to)) {
                    let told = self.accusation(probe.to);
                    self.send(
                        now,
                        via,
                        MessageKind::PingRequest { sequence: probe.sequence, target: probe.to },
                        told,
                        out,
                    );
                }
                // Late ourselves, its friends still get their time.
                probe.deadline = probe.deadline.max(now + self.settings.round_trip * 2);
            }
            self.detector.probes.push(probe);
        }
    }

    /// Begins a suspicion.
    fn suspect(&mut self, now: Micros, of: MemberId, out: &mut Out) {
        let Member { state, incarnation, .. } = self.members[usize::from(of)];
        match state {
            MemberState::Up => {
                self.counters.suspicions += 1;
                self.apply(now, Update { member: of, incarnation, state: MemberState::Suspect }, out);
            }
            // Its own word that it leaves stands beside the suspicion.
            MemberState::Leaving => {
                let until = now + self.settings.suspicion_timeout();
                self.detector.suspects.entry(of).or_insert(Suspicion { incarnation, expires_at: until });
            }
            MemberState::Unknown | MemberState::Suspect | MemberState::Gone | MemberState::Stopped => {}
        }
    }

    /// Pings a member and waits for its acknowledgement.
    fn probe(&mut self, now: Micros, to: MemberId, second_attempt: bool, out: &mut Out) {
        let sequence = self.next_sequence();
        let (indirect_at, deadline) = (now + self.settings.round_trip, now + self.settings.round_trip * 3);
        self.detector.probes.push(Probe {
            to,
            sequence,
            indirect_at,
            deadline,
            indirect_sent: false,
            second_attempt,
        });
        let told = self.accusation(to);
        self.send(now, to, MessageKind::Ping(sequence), told, out);
    }

    /// The probes of a period.
    fn probe_round(&mut self, now: Micros, out: &mut Out) {
        if let Some(to) = self.next_probe_target() {
            self.probe(now, to, false, out);
        }
        let mut suspects: Vec<_> = self.detector.suspects.keys().copied().collect();
        suspects.shuffle(&mut self.rng);
        for to in suspects.into_iter().take(SUSPECTS_PROBED_PER_PERIOD) {
            let (sequence, told) = (self.next_sequence(), self.accusation(to));
            self.send(now, to, MessageKind::Ping(sequence), told, out);
        }
        // One that is not live, in turn; its silence tells nothing new.
        let size = self.settings.size;
        let away =
            |of: &MemberId| *of != self.settings.own && !self.members[usize::from(*of)].state.is_live();
        let mut turn = (1..=size)
            .map(|step| ((u32::from(self.last_dead_probed) + u32::from(step)) % u32::from(size)) as MemberId);
        if let Some(to) = turn.find(away) {
            self.last_dead_probed = to;
            let (sequence, told) = (self.next_sequence(), self.accusation(to));
            self.send(now, to, MessageKind::Ping(sequence), told, out);
        }
        self.sync_if_different(now, out);
    }
}
