//! The machine that a gateway's control thread drives: the journal of its own kept events, what it holds for others,
//! what it does in lost ones' place, and the frames between.

use crate::ReplicationError;
use crate::error::{JournalFault, WireError};
use crate::holder::{Holder, HolderFault};
use crate::interface::{Input, Output, PendingSettings};
use crate::journal::{Journal, JournalCounts};
use crate::lease::{HolderPromises, LeaseRefusal, LeaseTerms};
use crate::recovery::Recovery;
use crate::takeover::{Rejoin, RejoinAction, TakeoverAction, TakeoverMonitor};
use crate::takeover_messages::{
    EventStatus, JournalSnapshot, RecoveryCounts, RecoveryOutput, RecoverySettings, TakeoverMessage,
};
use crate::types::{Key, Source, Step, WallMs};
use crate::wire::{Append, Message, decode, encode};
use basaltward_membership::{MemberId, Micros, SiteMap};
use basaltward_permits::{Observations, PermitRequest, PermitState, Subject};
use std::collections::BTreeMap;

/// So often what is held is looked through for what is past its time.
const PRUNE_INTERVAL: Micros = 1_000_000;
/// So often those that are lost are looked at: what was promised to them ends without a word.
const MONITOR_INTERVAL: Micros = 100_000;

/// Kept events of one gateway, and those that it holds for others.
#[derive(Debug)]
pub struct PendingEvents {
    places: SiteMap,
    entry_bytes: usize,
    journal: Journal,
    holder: Holder,
    promises: HolderPromises,
    monitor: TakeoverMonitor,
    recovery: Recovery,
    rejoin: Rejoin,
    live: Vec<bool>,
    observations: Observations,
    permit_state: PermitState,
    lives: Vec<u64>,
    /// Lives that are over of which a claim has told, until what we promised to them has run out; whether their
    /// gateways are away.
    expiring_lives: BTreeMap<MemberId, (u64, bool)>,
    next_prune: Micros,
    next_monitor_update: Micros,
    now: Micros,
}

impl PendingEvents {
    /// Nothing is pending and nothing is held. Kept events are taken from [`Output::Takes`] on.
    pub fn new(settings: PendingSettings, now: Micros) -> Self {
        let places = settings.site_map.clone();
        let heirs = RecoverySettings {
            site_map: places.clone(),
            life: settings.life,
            clock_skew_ms: settings.clock_skew_ms,
            concurrency: settings.recovery_concurrency,
            rate: settings.recovery_rate,
            retention_ms: settings.retention_ms,
            holders: settings.holders.clone(),
        };
        Self {
            entry_bytes: settings.entry_bytes,
            holder: Holder::new(settings.life, settings.journal_bytes),
            promises: HolderPromises::new(LeaseTerms::new(settings.lease), now),
            monitor: TakeoverMonitor::new(&places),
            recovery: Recovery::new(&heirs, now),
            rejoin: Rejoin::new(&places, now),
            journal: Journal::new(settings),
            live: vec![false; places.len()],
            lives: vec![0; places.len()],
            expiring_lives: BTreeMap::new(),
            observations: Observations::new(),
            permit_state: PermitState::default(),
            next_prune: now + PRUNE_INTERVAL,
            next_monitor_update: Micros::MAX,
            now,
            places,
        }
    }

    /// Our own journal's name.
    pub fn source(&self) -> Source {
        self.journal.source()
    }

    /// What our journal has counted.
    pub fn journal_counts(&self) -> JournalCounts {
        self.journal.counted()
    }

    /// How events of lost owners have ended here.
    pub fn recovery_counts(&self) -> RecoveryCounts {
        self.recovery.counts()
    }

    /// Whether kept events are taken.
    pub fn is_ready(&self) -> bool {
        self.rejoin.is_ready()
    }

    /// What is known of an event that was a lost gateway's, or of an earlier life of ours.
    pub fn event_status(&self, key: Key) -> Option<EventStatus> {
        self.recovery.event_status(key)
    }

    /// Bytes and lines of our own journal.
    pub fn journal_size(&self) -> (usize, usize) {
        self.journal.size()
    }

    /// Bytes and lines held for others.
    pub fn replica_size(&self) -> (usize, usize) {
        self.holder.size()
    }

    /// Who holds our journal, each with the number up to which it has acknowledged.
    pub fn holders(&self) -> impl Iterator<Item = (MemberId, u64)> {
        self.journal.holders()
    }

    /// Journals of others of which anything is held.
    pub fn sources(&self) -> impl Iterator<Item = Source> {
        self.holder.sources()
    }

    /// What is held of a gateway's journals, up to a life of it.
    pub fn snapshots(&self, of: MemberId, life: u64) -> Vec<JournalSnapshot> {
        self.holder.snapshots(self.now, of, life)
    }

    /// Whether an event is held that is pending in a journal.
    pub fn holds(&self, source: Source, key: Key) -> bool {
        self.holder.holds(source, key)
    }

    #[doc(hidden)]
    pub fn inject_holder_fault(&mut self, planted: HolderFault) {
        self.holder.plant(planted);
    }

    #[doc(hidden)]
    pub fn inject_recovery_fault(&mut self, planted: crate::recovery::RecoveryFault) {
        self.recovery.inject_fault(planted);
    }

    /// Takes what is told. What it writes goes out with the next [`PendingEvents::wake`], which is due at once: all that is
    /// told before it goes in one frame.
    pub fn handle(&mut self, now: Micros, wall: WallMs, input: Input, out: &mut Vec<Output>) {
        self.now = now;
        match input {
            Input::Step(step) => self.handle_step(now, wall, step, out),
            Input::Frame { from, bytes } => {
                if let Err(error) = self.handle_frame(now, from, &bytes, out) {
                    out.push(Output::Fault(JournalFault::Frame { from, error }));
                }
            }
            Input::LinkUp { of, life } => {
                if let Some(known) = self.lives.get_mut(usize::from(of)) {
                    *known = life.max(*known);
                }
                self.journal.on_connected(of, life);
            }
            Input::LinkDown { of } => self.journal.on_disconnected(of),
            Input::LivePeers(live) => {
                self.live.clone_from(&live);
                self.journal.set_live(now, live);
            }
            Input::Observed { observations, permit_state } => {
                (self.observations, self.permit_state) = (observations, permit_state);
                self.look(now, out);
            }
            Input::ReclaimReply { subject, permit } => self.rejoin.on_reclaim_reply(subject, permit),
            Input::PermitReturned { subject } => self.rejoin.on_permit_returned(subject),
            Input::ClientRepeat(key) => self.recovery.client_waits_for(key),
            Input::RecoveryLimits { rate, most } => self.recovery.set_limits(rate, most),
        }
    }

    fn handle_step(&mut self, now: Micros, wall: WallMs, step: Step, out: &mut Vec<Output>) {
        match &step {
            Step::Accepted(accepted) if !self.rejoin.is_ready() => {
                return out.push(Output::NotReplicated { key: accepted.key, why: ReplicationError::Away });
            }
            Step::Ended { key, outcome, answer } => {
                let mut heirs = Vec::new();
                self.recovery.ended(*key, *outcome, answer.clone(), &mut heirs);
                self.apply_recovery_outputs(heirs, out);
            }
            Step::Accepted(_) | Step::Sending { .. } => {}
        }
        self.journal.write(now, wall, step, out);
    }

    fn handle_frame(
        &mut self,
        now: Micros,
        from: MemberId,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), WireError> {
        match decode(bytes, self.entry_bytes)? {
            Message::Append(lines) => {
                check_owner(from, lines.source)?;
                self.handle_append(now, from, &lines, out);
            }
            Message::Ack(ack) => self.journal.on_ack(now, from, ack, out),
            Message::Release(release) => {
                check_owner(from, release.source)?;
                self.holder.release(release);
                out.push(Output::Send { to: from, bytes: encode(&Message::Released(release)) });
            }
            Message::Released(release) => self.journal.on_released(from, release),
            Message::Takeover(word) => {
                let mut heirs = Vec::new();
                if let TakeoverMessage::Claim(keys) = &word {
                    let mut sources: Vec<Source> = keys.iter().map(|(_, source, _)| *source).collect();
                    sources.dedup();
                    sources.into_iter().for_each(|source| self.fence_ended_life(now, source));
                }
                if self.may_process(now, from, &word) {
                    let holder = &self.holder;
                    self.recovery.handle_message(
                        now,
                        from,
                        word,
                        |of, life| holder.snapshots(now, of, life),
                        &mut heirs,
                    );
                }
                self.apply_recovery_outputs(heirs, out);
            }
            Message::Connect => {}
        }
        Ok(())
    }

    /// A later life tells by its question that an earlier one is over, but not that what that one had sent has come:
    /// as with a permit, what was promised to it has to run out first.
    fn may_process(&mut self, now: Micros, from: MemberId, word: &TakeoverMessage) -> bool {
        let TakeoverMessage::ReturnQuery { life, .. } = word else { return true };
        self.promises.fence(from, *life);
        self.promises.has_expired(now, from)
    }

    /// A claim tells that a life is over of which we may not have heard: one that was taken over while it ran begins
    /// another journal without another connection. What we promised to it has to run out first.
    fn fence_ended_life(&mut self, now: Micros, Source { gateway, life }: Source) {
        if gateway == self.places.own() || self.promises.closed(gateway) >= Some(life) {
            return;
        }
        self.promises.fence(gateway, life);
        let site = self.places.site_of(gateway).map(Subject::Site);
        let subjects = [Some(Subject::Gateway(gateway)), site];
        let away = subjects.into_iter().flatten().any(|subject| self.monitor.has_begun(subject));
        self.expiring_lives.insert(gateway, (life, away));
        self.take_over_expired_lives(now);
    }

    fn take_over_expired_lives(&mut self, now: Micros) {
        let promises = &self.promises;
        let free: Vec<_> =
            self.expiring_lives.extract_if(.., |of, _| promises.has_expired(now, *of)).collect();
        for (of, (life, away)) in free {
            let copies = self.holder.snapshots(now, of, life);
            self.recovery.take_over(now, of, life, away, copies);
        }
    }

    fn handle_append(&mut self, now: Micros, from: MemberId, lines: &Append, out: &mut Vec<Output>) {
        let granted = match self.holder.is_for_this_life(lines) {
            true => self.promises.grant(now, from, lines.source.life),
            false => Err(LeaseRefusal::Young),
        };
        let granted = match granted {
            Ok(()) => Ok(true),
            Err(LeaseRefusal::Young) => Ok(false),
            Err(LeaseRefusal::Taken { .. }) => Err(()),
        };
        let (ack, fault) = self.holder.handle_append(now, lines, granted);
        out.extend(fault.map(Output::Fault));
        out.push(Output::Send { to: from, bytes: encode(&Message::Ack(ack)) });
    }

    fn apply_recovery_outputs(&mut self, heirs: Vec<RecoveryOutput>, out: &mut Vec<Output>) {
        for heir in heirs {
            match heir {
                RecoveryOutput::Send(to, word) => {
                    out.push(Output::Send { to, bytes: encode(&Message::Takeover(word)) });
                }
                RecoveryOutput::Adopt { accepted, first_send_at: first, resolution: end } => {
                    self.journal.mark_recovered(accepted.key, first);
                    out.push(Output::Run { accepted: accepted, first_send_at: first, resolution: end });
                }
                RecoveryOutput::Resolved { key, resolution: end, outcome, answer } => {
                    out.push(Output::Resolved { key, resolution: end, outcome, answer });
                }
                RecoveryOutput::JournalLoss(gone) => out.push(Output::JournalLoss(gone)),
                RecoveryOutput::ReturnLearned(of) => self.rejoin.on_peer_answered(of),
            }
        }
    }

    /// Looks at who is lost, by the view and by what is agreed.
    fn look(&mut self, now: Micros, out: &mut Vec<Output>) {
        let mut turns = Vec::new();
        let (lives, holder) = (&self.lives, &self.holder);
        let life = |of: MemberId| lives.get(usize::from(of)).copied().max(holder.life(of)).unwrap_or(0);
        self.monitor.update(
            now,
            &self.observations,
            &self.permit_state,
            life,
            &mut self.promises,
            &mut turns,
        );
        for turn in turns {
            match turn {
                TakeoverAction::RequestPermit(subject) => {
                    out.push(Output::RequestPermit(PermitRequest::Acquire(subject)))
                }
                TakeoverAction::Begin { lives, .. } => {
                    for (of, life) in lives {
                        let copies = self.holder.snapshots(now, of, life);
                        self.recovery.take_over(now, of, life, true, copies);
                    }
                }
                TakeoverAction::Returned(Subject::Site(site)) => {
                    self.places.members_at(site).for_each(|of| self.recovery.rejoined(of));
                }
                TakeoverAction::Returned(Subject::Gateway(of)) => self.recovery.rejoined(of),
                TakeoverAction::Returned(_) => {}
                TakeoverAction::LostOwnership => {
                    let life = self.journal.source().life;
                    self.journal.lose_ownership(now, out);
                    self.rejoin = Rejoin::new(&self.places, now);
                    self.recovery.take_over(now, self.places.own(), life, false, Vec::new());
                }
            }
        }
        let lost =
            self.observations.iter().any(|(of, seen)| of.allows_takeover() && seen.in_use_for.is_none());
        let taken = self.permit_state.permits.iter().any(|permit| permit.subject.allows_takeover());
        self.next_monitor_update = if lost || taken { now + MONITOR_INTERVAL } else { Micros::MAX };
    }

    fn drive_rejoin(&mut self, now: Micros, out: &mut Vec<Output>) {
        let peers = (0..self.live.len() as MemberId).filter(|of| *of != self.places.own());
        let peers: Vec<MemberId> = peers.filter(|of| self.live[usize::from(*of)]).collect();
        let (mut steps, life) = (Vec::new(), self.journal.source().life);
        self.rejoin.wake(now, &peers, &mut steps);
        for step in steps {
            out.push(match step {
                RejoinAction::Reclaim(subject) => Output::RequestPermit(PermitRequest::Reclaim(subject)),
                RejoinAction::QueryPeer(to) => {
                    let back = TakeoverMessage::ReturnQuery { life: life.saturating_sub(1), after: None };
                    Output::Send { to, bytes: encode(&Message::Takeover(back)) }
                }
                RejoinAction::ReturnPermit(subject, number) => {
                    Output::RequestPermit(PermitRequest::Return(subject, number))
                }
                RejoinAction::Ready => Output::Ready,
            });
        }
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Micros, wall: WallMs, out: &mut Vec<Output>) {
        self.now = now;
        self.journal.wake(now, wall, out);
        if now >= self.next_monitor_update {
            self.look(now, out);
        }
        if now >= self.next_prune {
            self.next_prune = now + PRUNE_INTERVAL;
            self.holder.wake(now, wall);
        }
        if !self.rejoin.is_ready() {
            self.drive_rejoin(now, out);
        }
        let mut heirs = Vec::new();
        self.take_over_expired_lives(now);
        self.recovery.wake(now, wall, &mut heirs);
        self.apply_recovery_outputs(heirs, out);
    }

    /// When [`PendingEvents::wake`] is due next; past where it is due at once.
    pub fn next_due(&self) -> Micros {
        let home = self.rejoin.next_due();
        let heirs = self.recovery.next_due(self.now);
        [self.journal.next_due(), self.next_prune, self.next_monitor_update, home, heirs]
            .into_iter()
            .min()
            .unwrap_or(0)
    }
}

fn check_owner(from: MemberId, source: Source) -> Result<(), WireError> {
    if source.gateway == from { Ok(()) } else { Err(WireError::Foreign(from)) }
}
