//! Periodic work of a membership: probes, suspicion timeouts and gossip. Input is the time on the caller's clock,
//! outputs are datagrams and state changes. In each period it probes one live member, up to
//! [`SUSPECTS_PROBED_PER_PERIOD`] suspects and one member that is not live. Everything sent is charged to the send
//! budget.

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
    /// Does all work that is due at `now`.
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
            // A late wake-up does not make up for missed periods with several rounds at once.
            self.next_probe = (self.next_probe + self.settings.period).max(now + self.settings.period / 2);
            self.probe_round(now, out);
        }
        self.fact_store.expire(now);
        if now >= self.next_gossip {
            self.next_gossip = now + self.settings.period / 3;
            self.gossip(now, out);
        }
    }

    /// Declares suspects gone whose suspicion has timed out.
    fn expire_suspicions(&mut self, now: Micros, out: &mut Out) {
        let expired = |(id, suspicion): (&MemberId, &Suspicion)| {
            (suspicion.expires_at <= now).then_some((*id, suspicion.incarnation))
        };
        let expired: Vec<_> = self.detector.suspects.iter().filter_map(expired).collect();
        for (id, incarnation) in expired {
            self.detector.suspects.remove(&id);
            let member = self.members[usize::from(id)];
            if member.incarnation == incarnation && member.state.is_live() {
                self.counters.declared_gone += 1;
                self.apply(now, Update { member: id, incarnation, state: MemberState::Gone }, out);
            }
        }
    }

    /// Gossips updates and facts to two random members, or requests a sync if too many updates are queued.
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

    /// Advances unacknowledged probes: first to indirect probes through other members, then to a second attempt, then
    /// to a suspicion.
    fn check_probes(&mut self, now: Micros, out: &mut Out) {
        // The list is emptied first; probes that stay in flight and second attempts are pushed to it again.
        for mut probe in std::mem::take(&mut self.detector.probes) {
            if now >= probe.deadline && probe.indirect_sent {
                self.ack_ratio -= ACK_RATIO_WEIGHT * self.ack_ratio;
                // If few probes are acknowledged while datagrams from the target still arrive, the local member's
                // outgoing link is at fault, and the target is not suspected.
                let last_contact = self.members[usize::from(probe.to)].last_contact;
                let own_link_faulty =
                    self.ack_ratio < MIN_ACK_RATIO && last_contact + self.settings.round_trip * 4 > now;
                match probe.second_attempt {
                    true if own_link_faulty => {}
                    true => self.suspect(now, probe.to, out),
                    false => self.probe(now, probe.to, true, out),
                }
                continue;
            }
            if now >= probe.indirect_at && !probe.indirect_sent {
                probe.indirect_sent = true;
                for via in self.random_live_members(INDIRECT_PROBE_MEMBERS, Some(probe.to)) {
                    let accusation = self.accusation(probe.to);
                    self.send(
                        now,
                        via,
                        MessageKind::PingRequest { sequence: probe.sequence, target: probe.to },
                        accusation,
                        out,
                    );
                }
                // If this step runs late, the indirect probes still get their full time.
                probe.deadline = probe.deadline.max(now + self.settings.round_trip * 2);
            }
            self.detector.probes.push(probe);
        }
    }

    /// Starts a suspicion.
    fn suspect(&mut self, now: Micros, id: MemberId, out: &mut Out) {
        let Member { state, incarnation, .. } = self.members[usize::from(id)];
        match state {
            MemberState::Up => {
                self.counters.suspicions += 1;
                self.apply(now, Update { member: id, incarnation, state: MemberState::Suspect }, out);
            }
            // The announced state stays `Leaving`; only the suspicion timeout runs.
            MemberState::Leaving => {
                let expires_at = now + self.settings.suspicion_timeout();
                self.detector.suspects.entry(id).or_insert(Suspicion { incarnation, expires_at });
            }
            MemberState::Unknown | MemberState::Suspect | MemberState::Gone | MemberState::Stopped => {}
        }
    }

    /// Pings a member and tracks the probe until it is acknowledged or times out.
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
        let accusation = self.accusation(to);
        self.send(now, to, MessageKind::Ping(sequence), accusation, out);
    }

    /// Sends the probes of one period.
    fn probe_round(&mut self, now: Micros, out: &mut Out) {
        if let Some(to) = self.next_probe_target() {
            self.probe(now, to, false, out);
        }
        let mut suspects: Vec<_> = self.detector.suspects.keys().copied().collect();
        suspects.shuffle(&mut self.rng);
        for to in suspects.into_iter().take(SUSPECTS_PROBED_PER_PERIOD) {
            let (sequence, accusation) = (self.next_sequence(), self.accusation(to));
            self.send(now, to, MessageKind::Ping(sequence), accusation, out);
        }
        // One member that is not live, in rotation. The probe is not tracked, as a missing ack would change nothing.
        let size = self.settings.size;
        let not_live = |member: &MemberId| {
            *member != self.settings.own && !self.members[usize::from(*member)].state.is_live()
        };
        let mut rotation = (1..=size)
            .map(|step| ((u32::from(self.last_dead_probed) + u32::from(step)) % u32::from(size)) as MemberId);
        if let Some(to) = rotation.find(not_live) {
            self.last_dead_probed = to;
            let (sequence, accusation) = (self.next_sequence(), self.accusation(to));
            self.send(now, to, MessageKind::Ping(sequence), accusation, out);
        }
        self.sync_if_different(now, out);
    }
}
