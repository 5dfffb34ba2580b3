//! The state machine that a gateway's control thread drives: the journal of its own events, the replicas of other
//! gateways' journals, the recovery of lost gateways' events, and the frames between gateways.

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

/// Interval at which expired entries of other gateways' journals are dropped.
const PRUNE_INTERVAL: Micros = 1_000_000;
/// Interval at which lost subjects are checked, as promises to them expire without any input.
const MONITOR_INTERVAL: Micros = 100_000;

/// Journal, replicas and recovery of one gateway.
#[derive(Debug)]
pub struct PendingEvents {
    site_map: SiteMap,
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
    /// The latest life of each gateway that a connection has reported.
    lives: Vec<u64>,
    /// Lives that have ended according to a peer's claim, until the promises to them expire; each with whether there
    /// is a takeover permit for the gateway.
    expiring_lives: BTreeMap<MemberId, (u64, bool)>,
    next_prune: Micros,
    next_monitor_update: Micros,
    now: Micros,
}

impl PendingEvents {
    /// Nothing is pending or stored yet. Events are accepted from [`Output::Ready`] on.
    pub fn new(settings: PendingSettings, now: Micros) -> Self {
        let site_map = settings.site_map.clone();
        let recovery = RecoverySettings {
            site_map: site_map.clone(),
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
            monitor: TakeoverMonitor::new(&site_map),
            recovery: Recovery::new(&recovery, now),
            rejoin: Rejoin::new(&site_map, now),
            journal: Journal::new(settings),
            live: vec![false; site_map.len()],
            lives: vec![0; site_map.len()],
            expiring_lives: BTreeMap::new(),
            observations: Observations::new(),
            permit_state: PermitState::default(),
            next_prune: now + PRUNE_INTERVAL,
            next_monitor_update: Micros::MAX,
            now,
            site_map,
        }
    }

    /// Identifies the journal of this gateway.
    pub fn source(&self) -> Source {
        self.journal.source()
    }

    /// Counters of the journal.
    pub fn journal_counts(&self) -> JournalCounts {
        self.journal.counts()
    }

    /// Number of events of lost gateways by decision.
    pub fn recovery_counts(&self) -> RecoveryCounts {
        self.recovery.counts()
    }

    /// Whether events are accepted.
    pub fn is_ready(&self) -> bool {
        self.rejoin.is_ready()
    }

    /// Status of an event of a lost gateway or of an earlier life of this gateway.
    pub fn event_status(&self, key: Key) -> Option<EventStatus> {
        self.recovery.event_status(key)
    }

    /// Memory cost in bytes and number of entries of the journal of this gateway.
    pub fn journal_size(&self) -> (usize, usize) {
        self.journal.size()
    }

    /// Memory cost in bytes and number of entries of the journals stored for others.
    pub fn replica_size(&self) -> (usize, usize) {
        self.holder.size()
    }

    /// The holders of the journal, each with the number of the last entry it has acknowledged.
    pub fn holders(&self) -> impl Iterator<Item = (MemberId, u64)> {
        self.journal.holders()
    }

    /// Journals of others of which any part is stored here.
    pub fn sources(&self) -> impl Iterator<Item = Source> {
        self.holder.sources()
    }

    /// Snapshots of the journals of a gateway, up to a life.
    pub fn snapshots(&self, of: MemberId, life: u64) -> Vec<JournalSnapshot> {
        self.holder.snapshots(self.now, of, life)
    }

    /// Whether the entry that accepted a pending event of another gateway's journal is stored here.
    pub fn holds(&self, source: Source, key: Key) -> bool {
        self.holder.holds(source, key)
    }

    #[doc(hidden)]
    pub fn inject_holder_fault(&mut self, fault: HolderFault) {
        self.holder.inject_fault(fault);
    }

    #[doc(hidden)]
    pub fn inject_recovery_fault(&mut self, fault: crate::recovery::RecoveryFault) {
        self.recovery.inject_fault(fault);
    }

    /// Handles an input. Entries it writes are sent by the next [`PendingEvents::wake`], which is due immediately, so
    /// that all inputs before it share one frame.
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
                self.update_monitor(now, out);
            }
            Input::ReclaimReply { subject, permit } => self.rejoin.on_reclaim_reply(subject, permit),
            Input::PermitReturned { subject } => self.rejoin.on_permit_returned(subject),
            Input::ClientRepeat(key) => self.recovery.client_waits_for(key),
            Input::RecoveryLimits { rate, concurrency } => self.recovery.set_limits(rate, concurrency),
        }
    }

    fn handle_step(&mut self, now: Micros, wall: WallMs, step: Step, out: &mut Vec<Output>) {
        match &step {
            Step::Accepted(accepted) if !self.rejoin.is_ready() => {
                return out
                    .push(Output::NotReplicated { key: accepted.key, why: ReplicationError::NotReady });
            }
            Step::Ended { key, outcome, answer } => {
                let mut outputs = Vec::new();
                self.recovery.ended(*key, *outcome, answer.clone(), &mut outputs);
                self.apply_recovery_outputs(outputs, out);
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
            Message::Append(append) => {
                check_owner(from, append.source)?;
                self.handle_append(now, from, &append, out);
            }
            Message::Ack(ack) => self.journal.on_ack(now, from, ack, out),
            Message::Release(release) => {
                check_owner(from, release.source)?;
                self.holder.release(release);
                out.push(Output::Send { to: from, bytes: encode(&Message::Released(release)) });
            }
            Message::Released(release) => self.journal.on_released(from, release),
            Message::Takeover(message) => {
                let mut outputs = Vec::new();
                if let TakeoverMessage::Claim(keys) = &message {
                    let mut sources: Vec<Source> = keys.iter().map(|(_, source, _)| *source).collect();
                    sources.dedup();
                    sources.into_iter().for_each(|source| self.fence_ended_life(now, source));
                }
                if self.may_process(now, from, &message) {
                    let holder = &self.holder;
                    self.recovery.handle_message(
                        now,
                        from,
                        message,
                        |of, life| holder.snapshots(now, of, life),
                        &mut outputs,
                    );
                }
                self.apply_recovery_outputs(outputs, out);
            }
            Message::Connect => {}
        }
        Ok(())
    }

    /// A query of a later life shows that an earlier one has ended, but not that all its frames have arrived: as with
    /// a takeover permit, the promises to it have to expire first.
    fn may_process(&mut self, now: Micros, from: MemberId, message: &TakeoverMessage) -> bool {
        let TakeoverMessage::ReturnQuery { life, .. } = message else { return true };
        self.promises.fence(from, *life);
        self.promises.has_expired(now, from)
    }

    /// A claim shows that a life has ended, possibly before this gateway learned of it otherwise: a gateway that was
    /// taken over while it ran starts another journal without a new connection. The promises to it have to expire
    /// first.
    fn fence_ended_life(&mut self, now: Micros, Source { gateway, life }: Source) {
        if gateway == self.site_map.own() || self.promises.fenced_life(gateway) >= Some(life) {
            return;
        }
        self.promises.fence(gateway, life);
        let site = self.site_map.site_of(gateway).map(Subject::Site);
        let subjects = [Some(Subject::Gateway(gateway)), site];
        let unavailable = subjects.into_iter().flatten().any(|subject| self.monitor.has_begun(subject));
        self.expiring_lives.insert(gateway, (life, unavailable));
        self.take_over_expired_lives(now);
    }

    fn take_over_expired_lives(&mut self, now: Micros) {
        let promises = &self.promises;
        let expired: Vec<_> =
            self.expiring_lives.extract_if(.., |of, _| promises.has_expired(now, *of)).collect();
        for (of, (life, unavailable)) in expired {
            let snapshots = self.holder.snapshots(now, of, life);
            self.recovery.take_over(now, of, life, unavailable, snapshots);
        }
    }

    fn handle_append(&mut self, now: Micros, from: MemberId, append: &Append, out: &mut Vec<Output>) {
        let grant = match self.holder.is_for_this_life(append) {
            true => self.promises.grant(now, from, append.source.life),
            false => Err(LeaseRefusal::Starting),
        };
        let granted = match grant {
            Ok(()) => Ok(true),
            Err(LeaseRefusal::Starting) => Ok(false),
            Err(LeaseRefusal::TakenOver { .. }) => Err(()),
        };
        let (ack, fault) = self.holder.handle_append(now, append, granted);
        out.extend(fault.map(Output::Fault));
        out.push(Output::Send { to: from, bytes: encode(&Message::Ack(ack)) });
    }

    fn apply_recovery_outputs(&mut self, outputs: Vec<RecoveryOutput>, out: &mut Vec<Output>) {
        for output in outputs {
            match output {
                RecoveryOutput::Send(to, message) => {
                    out.push(Output::Send { to, bytes: encode(&Message::Takeover(message)) });
                }
                RecoveryOutput::Adopt { accepted, first_send_at, resolution } => {
                    self.journal.mark_recovered(accepted.key, first_send_at);
                    out.push(Output::Run { accepted, first_send_at, resolution });
                }
                RecoveryOutput::Resolved { key, resolution, outcome, answer } => {
                    out.push(Output::Resolved { key, resolution, outcome, answer });
                }
                RecoveryOutput::JournalLoss(loss) => out.push(Output::JournalLoss(loss)),
                RecoveryOutput::ReturnLearned(of) => self.rejoin.on_peer_answered(of),
            }
        }
    }

    /// Evaluates which gateways are lost, by the membership view and the agreed permits.
    fn update_monitor(&mut self, now: Micros, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        let (lives, holder) = (&self.lives, &self.holder);
        let life = |of: MemberId| lives.get(usize::from(of)).copied().max(holder.life(of)).unwrap_or(0);
        self.monitor.update(
            now,
            &self.observations,
            &self.permit_state,
            life,
            &mut self.promises,
            &mut actions,
        );
        for action in actions {
            match action {
                TakeoverAction::RequestPermit(subject) => {
                    out.push(Output::RequestPermit(PermitRequest::Acquire(subject)))
                }
                TakeoverAction::Begin { lives, .. } => {
                    for (of, life) in lives {
                        let snapshots = self.holder.snapshots(now, of, life);
                        self.recovery.take_over(now, of, life, true, snapshots);
                    }
                }
                TakeoverAction::Returned(Subject::Site(site)) => {
                    self.site_map.members_at(site).for_each(|of| self.recovery.rejoined(of));
                }
                TakeoverAction::Returned(Subject::Gateway(of)) => self.recovery.rejoined(of),
                TakeoverAction::Returned(_) => {}
                TakeoverAction::LostOwnership => {
                    let life = self.journal.source().life;
                    self.journal.lose_ownership(now, out);
                    self.rejoin = Rejoin::new(&self.site_map, now);
                    self.recovery.take_over(now, self.site_map.own(), life, false, Vec::new());
                }
            }
        }
        let lost =
            self.observations.iter().any(|(of, seen)| of.allows_takeover() && seen.in_use_for.is_none());
        let permitted = self.permit_state.permits.iter().any(|permit| permit.subject.allows_takeover());
        self.next_monitor_update = if lost || permitted { now + MONITOR_INTERVAL } else { Micros::MAX };
    }

    fn drive_rejoin(&mut self, now: Micros, out: &mut Vec<Output>) {
        let peers = (0..self.live.len() as MemberId).filter(|of| *of != self.site_map.own());
        let peers: Vec<MemberId> = peers.filter(|of| self.live[usize::from(*of)]).collect();
        let (mut actions, life) = (Vec::new(), self.journal.source().life);
        self.rejoin.wake(now, &peers, &mut actions);
        for action in actions {
            out.push(match action {
                RejoinAction::Reclaim(subject) => Output::RequestPermit(PermitRequest::Reclaim(subject)),
                RejoinAction::QueryPeer(to) => {
                    let query = TakeoverMessage::ReturnQuery { life: life.saturating_sub(1), after: None };
                    Output::Send { to, bytes: encode(&Message::Takeover(query)) }
                }
                RejoinAction::ReturnPermit(subject, number) => {
                    Output::RequestPermit(PermitRequest::Return(subject, number))
                }
                RejoinAction::Ready => Output::Ready,
            });
        }
    }

    /// Performs all due work.
    pub fn wake(&mut self, now: Micros, wall: WallMs, out: &mut Vec<Output>) {
        self.now = now;
        self.journal.wake(now, wall, out);
        if now >= self.next_monitor_update {
            self.update_monitor(now, out);
        }
        if now >= self.next_prune {
            self.next_prune = now + PRUNE_INTERVAL;
            self.holder.wake(now, wall);
        }
        if !self.rejoin.is_ready() {
            self.drive_rejoin(now, out);
        }
        let mut outputs = Vec::new();
        self.take_over_expired_lives(now);
        self.recovery.wake(now, wall, &mut outputs);
        self.apply_recovery_outputs(outputs, out);
    }

    /// When [`PendingEvents::wake`] is due next; a time in the past means immediately.
    pub fn next_due(&self) -> Micros {
        let rejoin = self.rejoin.next_due();
        let recovery = self.recovery.next_due(self.now);
        [self.journal.next_due(), self.next_prune, self.next_monitor_update, rejoin, recovery]
            .into_iter()
            .min()
            .unwrap_or(0)
    }
}

fn check_owner(from: MemberId, source: Source) -> Result<(), WireError> {
    if source.gateway == from { Ok(()) } else { Err(WireError::ForeignJournal(from)) }
}
