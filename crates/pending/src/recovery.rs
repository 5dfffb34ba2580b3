//! Recovery of the pending events of lost gateways. A gateway claims each such event that it has in its replicas from
//! every peer that is not lost itself. A peer that grants the claim reports the status that it has and does not run
//! the event. If several gateways claim an event, the one with the highest rank gets it. Once all peers have granted
//! the claim, [`crate::resolve`] decides about the event, within rate and concurrency limits. Missing information is
//! reported and counts as if the event may have been sent.

use crate::claims::MAX_EVENTS_PER_MESSAGE;
use crate::resolution::{FirstSend, RecoveryCase, Resolution, resolve};
use crate::takeover_messages::{
    EventStatus, JournalLoss, JournalSnapshot, LossReason, RecoveryCounts, RecoveryOutput, RecoverySettings,
    TakeoverMessage,
};
use crate::types::{Accepted, Entry, Key, Outcome, Source, Step, WallMs};
use basaltward_membership::{MemberId, Micros, Site};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of claims that wait for replies.
const MAX_OPEN_CLAIMS: usize = 1024;
/// A message without a reply is sent again after this time.
const RETRY_INTERVAL: Micros = 300_000;

/// Faults that tests inject and have to detect.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RecoveryFault {
    /// Events that were sent are treated as never sent.
    RerunsSentEvents,
    /// Peers are not queried.
    SkipsClaims,
}

/// Progress of the recovery of an event.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum EventStage {
    /// Not claimed yet, or to be claimed again.
    Unclaimed,
    /// Claimed; these peers have not granted the claim yet.
    Claiming(BTreeSet<MemberId>),
    /// All peers have granted the claim.
    Ready,
    /// Running on a worker of this gateway.
    Running,
    /// A peer owns it.
    OwnedBy(MemberId),
    /// Ended with this outcome and answer.
    Ended(Outcome, Vec<u8>),
}

/// An event of a lost gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Event {
    pub(crate) accepted: Accepted,
    /// The entry that accepted it: journal, number and chain value.
    pub(crate) accepted_entry: (Source, u64, u64),
    pub(crate) first_send: FirstSend,
    pub(crate) client_waiting: bool,
    /// When its owner was last known to be live.
    pub(crate) owner_last_seen: Micros,
    /// Sites of its lost owners; no gateway there could report more than their journals.
    pub(crate) lost_sites: BTreeSet<Site>,
    /// Lost gateways that had claimed it, in order; their entries take precedence over those of its first owner.
    pub(crate) previous_owners: Vec<MemberId>,
    /// Peers that also have the event, and peers that have claimed it.
    pub(crate) other_holders: BTreeSet<MemberId>,
    /// Number of the last entry of its journal that any replying peer has, and of the last that any reports as
    /// written.
    pub(crate) journal_extent: (u64, u64),
    /// Some replying peer lacks entries of another journal of a lost gateway.
    pub(crate) other_journal_incomplete: bool,
    /// Replying peers whose replica includes the entry that accepted the event.
    pub(crate) complete_holders: BTreeSet<MemberId>,
    pub(crate) stage: EventStage,
}

/// State of the recovery, see the module documentation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Recovery {
    pub(crate) own: MemberId,
    pub(crate) sites: Vec<Site>,
    pub(crate) required_holders: Vec<u8>,
    pub(crate) clock_skew_ms: WallMs,
    pub(crate) concurrency: usize,
    pub(crate) rate: u32,
    pub(crate) retention_ms: WallMs,
    pub(crate) started_at: Micros,
    /// The last ended life of each gateway.
    pub(crate) ended_lives: BTreeMap<MemberId, u64>,
    /// Gateways that are not queried because there is a takeover permit for them.
    pub(crate) unavailable: BTreeSet<MemberId>,
    /// Journals of lost gateways: number of the last entry stored here, and of the last that is known to be written.
    pub(crate) journal_extents: BTreeMap<Source, (u64, u64)>,
    pub(crate) events: BTreeMap<Key, Event>,
    /// Statuses of events of earlier lives of this gateway, reported by peers, with the events' deadlines.
    pub(crate) learned: BTreeMap<Key, (WallMs, EventStatus)>,
    pub(crate) learned_bytes: usize,
    /// Lost gateways of which this gateway has no journal, each with the peers that have not yet answered whether
    /// they have one.
    pub(crate) holder_queries: BTreeMap<MemberId, BTreeSet<MemberId>>,
    /// Recovered events that run on workers now.
    pub(crate) running: usize,
    /// Rate limit: available budget in thousandths of an event, and when it was last filled.
    pub(crate) budget: u64,
    pub(crate) budget_filled_at: Micros,
    pub(crate) next_retry: Micros,
    pub(crate) reported_losses: BTreeSet<JournalLoss>,
    pub(crate) counts: RecoveryCounts,
    pub(crate) injected_fault: Option<RecoveryFault>,
}

impl Event {
    /// Whether this entry was written by a later owner of the event, which had its state.
    pub(crate) fn is_superseded_by(&self, entry: (Source, u64, u64)) -> bool {
        let owners = self.previous_owners.iter().copied().chain(match self.stage {
            EventStage::OwnedBy(of) => Some(of),
            _ => None,
        });
        let owners: Vec<MemberId> = owners.collect();
        let at = |source: Source| (owners.iter().rposition(|owner| *owner == source.gateway), source.life);
        at(entry.0).0.is_some() && at(entry.0) > at(self.accepted_entry.0)
    }

    /// Continues from another owner's entry of the event, which has to be claimed again.
    pub(crate) fn reset_to(&mut self, entry: (Source, u64, u64), sent: FirstSend) {
        (self.accepted_entry, self.first_send, self.stage) = (entry, sent, EventStage::Unclaimed);
        self.complete_holders.clear();
    }
}

/// Rank of a gateway among those that claim an event; the highest gets it.
pub(crate) fn claim_rank(key: Key, of: MemberId) -> (u64, MemberId) {
    (xxh3_64_with_seed(&key.0.to_le_bytes(), u64::from(of)), of)
}

impl Recovery {
    /// No gateway is lost yet.
    pub fn new(settings: &RecoverySettings, now: Micros) -> Self {
        let site_map = &settings.site_map;
        Self {
            own: site_map.own(),
            sites: (0..site_map.len() as MemberId).filter_map(|of| site_map.site_of(of)).collect(),
            required_holders: settings.holders.clone(),
            clock_skew_ms: settings.clock_skew_ms,
            concurrency: settings.concurrency,
            rate: settings.rate,
            retention_ms: settings.retention_ms,
            started_at: now,
            ended_lives: BTreeMap::from([(site_map.own(), settings.life.saturating_sub(1))]),
            unavailable: BTreeSet::new(),
            journal_extents: BTreeMap::new(),
            events: BTreeMap::new(),
            learned: BTreeMap::new(),
            learned_bytes: 0,
            holder_queries: BTreeMap::new(),
            running: 0,
            budget: 0,
            budget_filled_at: now,
            next_retry: Micros::MAX,
            reported_losses: BTreeSet::new(),
            counts: RecoveryCounts::default(),
            injected_fault: None,
        }
    }

    #[doc(hidden)]
    pub fn inject_fault(&mut self, fault: RecoveryFault) {
        self.injected_fault = Some(fault);
    }

    /// Number of events by decision.
    pub fn counts(&self) -> RecoveryCounts {
        self.counts
    }

    /// Number of events that have not ended, owned by any gateway.
    pub fn pending(&self) -> usize {
        self.events.values().filter(|event| !matches!(event.stage, EventStage::Ended(..))).count()
    }

    /// Sets the limits derived from the load: events started per second, and events running at the same time.
    pub fn set_limits(&mut self, rate: u32, concurrency: usize) {
        (self.rate, self.concurrency) = (rate, concurrency);
    }

    /// Status of an event of a lost gateway or of an earlier life of this gateway.
    pub fn event_status(&self, key: Key) -> Option<EventStatus> {
        let local = self.events.get(&key).map(|event| self.status_of(event));
        local.or_else(|| self.learned.get(&key).map(|(_, status)| status.clone()))
    }

    pub(crate) fn status_of(&self, event: &Event) -> EventStatus {
        match &event.stage {
            EventStage::Unclaimed | EventStage::Claiming(_) => EventStatus::Unassigned,
            EventStage::Ready | EventStage::Running => EventStatus::OwnedBy(self.own),
            EventStage::OwnedBy(of) => EventStatus::OwnedBy(*of),
            EventStage::Ended(outcome, answer) => EventStatus::Ended(*outcome, answer.clone()),
        }
    }

    /// A client sent the event again to this gateway and is waiting.
    pub fn client_waits_for(&mut self, key: Key) {
        self.events.get_mut(&key).into_iter().for_each(|event| event.client_waiting = true);
    }

    /// Takes over the pending events of a gateway, of this life and all before it, after all promises to it have
    /// expired. `snapshots` are all snapshots of its journals. `unavailable` means that there is a takeover permit for
    /// it, so that it is not queried until [`Recovery::rejoined`]; otherwise a later life of it has reported that this
    /// one ended.
    pub fn take_over(
        &mut self,
        now: Micros,
        of: MemberId,
        life: u64,
        unavailable: bool,
        snapshots: Vec<JournalSnapshot>,
    ) {
        let known = self.ended_lives.entry(of).or_insert(life);
        *known = life.max(*known);
        if unavailable {
            self.unavailable.insert(of);
            self.holder_queries.values_mut().for_each(|awaited| _ = awaited.remove(&of));
            if snapshots.is_empty() {
                self.holder_queries.insert(of, self.peers());
            }
        }
        if of == self.own {
            self.lose_ownership();
        }
        for snapshot in snapshots {
            self.apply_snapshot(now, snapshot);
        }
        let site = self.site(of);
        for event in self.events.values_mut() {
            match &mut event.stage {
                // The event is again in the state recorded in the lost owner's journal; a peer that has it reports it
                // with its next claim.
                EventStage::OwnedBy(by) if *by == of => {
                    event.lost_sites.insert(site);
                    event.previous_owners.retain(|owner| *owner != of);
                    event.previous_owners.push(of);
                    event.stage = EventStage::Unclaimed;
                }
                EventStage::Claiming(awaited) if unavailable => _ = awaited.remove(&of),
                _ => {}
            }
        }
        self.next_retry = now;
    }

    /// This gateway was taken over: its claims may now belong to others, and events that it ran may have been sent.
    fn lose_ownership(&mut self) {
        self.running = 0;
        for event in self.events.values_mut() {
            match event.stage {
                EventStage::Running => {
                    (event.stage, event.first_send) = (EventStage::Unclaimed, FirstSend::Unknown)
                }
                EventStage::Claiming(_) | EventStage::Ready => event.stage = EventStage::Unclaimed,
                EventStage::Unclaimed | EventStage::OwnedBy(_) | EventStage::Ended(..) => {}
            }
        }
    }

    /// The gateway can be queried again.
    pub fn rejoined(&mut self, of: MemberId) {
        self.unavailable.remove(&of);
    }

    fn site(&self, of: MemberId) -> Site {
        self.sites.get(usize::from(of)).copied().unwrap_or_default()
    }

    fn peers(&self) -> BTreeSet<MemberId> {
        let all = 0..self.sites.len() as MemberId;
        all.filter(|of| *of != self.own && !self.unavailable.contains(of)).collect()
    }

    /// Reports a missing part of a journal once.
    pub(crate) fn report_loss(&mut self, loss: JournalLoss, out: &mut Vec<RecoveryOutput>) {
        if self.reported_losses.insert(loss) {
            self.counts.journal_losses += 1;
            out.push(RecoveryOutput::JournalLoss(loss));
        }
    }

    /// Adds the events of a lost gateway's journal.
    fn apply_snapshot(&mut self, now: Micros, snapshot: JournalSnapshot) {
        let source = snapshot.source;
        self.journal_extents.insert(source, (snapshot.through, snapshot.head));
        let (last_seen, site) = (now.saturating_sub(snapshot.silent_for), self.site(source.gateway));
        for Entry { number, chain, step, .. } in snapshot.entries {
            match step {
                Step::Accepted(accepted) => {
                    let new = Event {
                        accepted_entry: (source, number, chain),
                        first_send: FirstSend::Never,
                        client_waiting: false,
                        owner_last_seen: last_seen,
                        lost_sites: BTreeSet::new(),
                        previous_owners: Vec::new(),
                        other_holders: BTreeSet::new(),
                        journal_extent: (0, 0),
                        other_journal_incomplete: false,
                        complete_holders: BTreeSet::new(),
                        stage: EventStage::Unclaimed,
                        accepted,
                    };
                    let entry = new.accepted_entry;
                    let event = self.events.entry(new.accepted.key).or_insert(new);
                    if event.is_superseded_by(entry) {
                        event.reset_to(entry, FirstSend::Never);
                    }
                    event.owner_last_seen = event.owner_last_seen.max(last_seen);
                    event.lost_sites.insert(site);
                }
                Step::Sending { key, at, .. } => {
                    let event = self.events.get_mut(&key).into_iter();
                    event.for_each(|event| event.first_send = event.first_send.merge(FirstSend::At(at)));
                }
                Step::Ended { key, outcome, answer } => {
                    if let Some(event) = self.events.get_mut(&key) {
                        Self::record_end(event, &mut self.running, outcome, answer);
                    }
                }
            }
        }
    }

    /// Records the end of an event, and frees its slot in `running` if it was running here.
    pub(crate) fn record_end(event: &mut Event, running: &mut usize, outcome: Outcome, answer: Vec<u8>) {
        match event.stage {
            // A later report changes nothing, except that an answer replaces the outcome "may have run".
            EventStage::Ended(Outcome::Failed, _) if outcome == Outcome::Served => {}
            EventStage::Ended(..) => return,
            EventStage::Running => *running -= 1,
            _ => {}
        }
        event.stage = EventStage::Ended(outcome, answer);
    }

    /// A recovered event that ran here has ended.
    pub fn ended(&mut self, key: Key, outcome: Outcome, answer: Vec<u8>, out: &mut Vec<RecoveryOutput>) {
        let Some(event) = self.events.get_mut(&key) else { return };
        Self::record_end(event, &mut self.running, outcome, answer.clone());
        let recipients = event.other_holders.iter().filter(|of| !self.unavailable.contains(of));
        out.extend(recipients.map(|to| {
            RecoveryOutput::Send(*to, TakeoverMessage::Ended(vec![(key, outcome, answer.clone())]))
        }));
    }

    /// Performs all due work.
    pub fn wake(&mut self, now: Micros, wall: WallMs, out: &mut Vec<RecoveryOutput>) {
        if now >= self.next_retry {
            self.next_retry = now + RETRY_INTERVAL;
            self.send_claims(out);
            self.query_holders(out);
        }
        self.finish_claims(out);
        self.resolve_ready(now, wall, out);
        let (retention, clock_skew) = (self.retention_ms, self.clock_skew_ms);
        self.events.retain(|_, event| match event.stage {
            EventStage::Ended(..) | EventStage::OwnedBy(_) => {
                wall < event.accepted.deadline.saturating_add(retention + clock_skew)
            }
            _ => true,
        });
        let expired = |_: &Key, (deadline, _): &mut (WallMs, EventStatus)| {
            wall >= deadline.saturating_add(retention + clock_skew)
        };
        for (_, (_, status)) in self.learned.extract_if(.., expired) {
            self.learned_bytes -= status.answer_bytes();
        }
        let open = self
            .events
            .values()
            .any(|event| matches!(event.stage, EventStage::Unclaimed | EventStage::Claiming(_)));
        if !open && self.holder_queries.is_empty() {
            self.next_retry = Micros::MAX;
        }
    }

    /// When [`Recovery::wake`] is due.
    pub fn next_due(&self, now: Micros) -> Micros {
        let ready = self.running < self.concurrency
            && self.events.values().any(|event| event.stage == EventStage::Ready);
        let interval = 1_000_000 / u64::from(self.rate.max(1));
        let ready = ready.then_some(now + interval.min(RETRY_INTERVAL));
        let retained = self
            .events
            .values()
            .any(|event| matches!(event.stage, EventStage::Ended(..) | EventStage::OwnedBy(_)));
        let retained = retained.then_some(now + 1_000_000);
        ready.into_iter().chain(retained).fold(self.next_retry, Micros::min)
    }

    /// Starts claims up to the limit, and sends all open claims.
    fn send_claims(&mut self, out: &mut Vec<RecoveryOutput>) {
        let peers = self.peers();
        let claiming =
            self.events.values().filter(|event| matches!(event.stage, EventStage::Claiming(_))).count();
        let open = self.events.values_mut().filter(|event| event.stage == EventStage::Unclaimed);
        for event in open.take(MAX_OPEN_CLAIMS - claiming.min(MAX_OPEN_CLAIMS)) {
            let awaited = if self.injected_fault == Some(RecoveryFault::SkipsClaims) {
                BTreeSet::new()
            } else {
                peers.clone()
            };
            event.complete_holders.clear();
            let lacks = |(of, (through, head)): (&Source, &(u64, u64))| {
                *of != event.accepted_entry.0 && head > through
            };
            event.other_journal_incomplete = self.journal_extents.iter().any(lacks);
            event.journal_extent =
                self.journal_extents.get(&event.accepted_entry.0).copied().unwrap_or((0, 0));
            event.stage = EventStage::Claiming(awaited);
        }
        let mut claims: BTreeMap<MemberId, Vec<(Key, Source, u64)>> = BTreeMap::new();
        for (key, event) in &self.events {
            if let EventStage::Claiming(awaited) = &event.stage {
                awaited.iter().for_each(|of| {
                    claims.entry(*of).or_default().push((
                        *key,
                        event.accepted_entry.0,
                        event.accepted_entry.1,
                    ))
                });
            }
        }
        for (to, keys) in claims {
            out.extend(
                keys.chunks(MAX_EVENTS_PER_MESSAGE)
                    .map(|keys| RecoveryOutput::Send(to, TakeoverMessage::Claim(keys.to_vec()))),
            );
        }
    }

    /// Queries peers for journals that this gateway lacks; reports those that no peer has.
    fn query_holders(&mut self, out: &mut Vec<RecoveryOutput>) {
        let exhausted: Vec<MemberId> =
            self.holder_queries.iter().filter(|(_, awaited)| awaited.is_empty()).map(|(of, _)| *of).collect();
        for of in exhausted {
            self.holder_queries.remove(&of);
            let source_of = Source { gateway: of, life: self.ended_lives.get(&of).copied().unwrap_or(0) };
            self.report_loss(JournalLoss { source_of, from: 1, to: None, why: LossReason::Unheld }, out);
        }
        for (of, awaited) in &self.holder_queries {
            let life = self.ended_lives.get(of).copied().unwrap_or(0);
            out.extend(
                awaited.iter().map(|to| RecoveryOutput::Send(*to, TakeoverMessage::HoldsQuery(*of, life))),
            );
        }
    }

    /// Decides the claims that all peers have granted.
    fn finish_claims(&mut self, out: &mut Vec<RecoveryOutput>) {
        let mut losses = Vec::new();
        let unavailable: Vec<(MemberId, Site)> =
            self.unavailable.iter().map(|of| (*of, self.site(*of))).collect();
        for event in self.events.values_mut() {
            if !matches!(&event.stage, EventStage::Claiming(awaited) if awaited.is_empty()) {
                continue;
            }
            // The event may have been sent although no reply shows it: the record may have been at a gateway that is
            // lost as well or has restarted without its memory, in an entry that no peer has, or in an entry of a
            // previous owner that some peer lacks.
            let need = self.required_holders.get(usize::from(event.accepted.class)).copied().unwrap_or(0);
            let (source, number, _) = event.accepted_entry;
            let stored_here =
                self.journal_extents.get(&source).is_some_and(|(through, _)| *through >= number);
            let too_few = event.complete_holders.len() + usize::from(stored_here) < usize::from(need);
            let (through, head) = event.journal_extent;
            if head > through {
                losses.push(JournalLoss {
                    source_of: source,
                    from: through + 1,
                    to: Some(head),
                    why: LossReason::Missing,
                });
            }
            let incomplete = too_few
                || head > through
                || (event.other_journal_incomplete && !event.previous_owners.is_empty())
                || unavailable.iter().any(|(_, site)| !event.lost_sites.contains(site));
            if incomplete && self.injected_fault != Some(RecoveryFault::SkipsClaims) {
                event.first_send = FirstSend::Unknown;
            }
            event.stage = EventStage::Ready;
        }
        losses.into_iter().for_each(|loss| self.report_loss(loss, out));
    }

    /// Resolves claimed events, nearest deadline first; events to be run are subject to the limits.
    fn resolve_ready(&mut self, now: Micros, wall: WallMs, out: &mut Vec<RecoveryOutput>) {
        let gained = now.saturating_sub(self.budget_filled_at).saturating_mul(u64::from(self.rate)) / 1_000;
        // Capped at the budget of a tenth of a second, but at least one event, so that events don't start in bursts.
        let max_budget = (u64::from(self.rate) * 100).max(1_000);
        if gained > 0 {
            (self.budget, self.budget_filled_at) = ((self.budget + gained).min(max_budget), now);
        }
        let ready = self.events.iter().filter(|(_, event)| event.stage == EventStage::Ready);
        let mut ready: Vec<(WallMs, Key)> =
            ready.map(|(key, event)| (event.accepted.deadline, *key)).collect();
        ready.sort_unstable();
        for (_, key) in ready {
            let Some(event) = self.events.get_mut(&key) else { continue };
            let accepted = &event.accepted;
            let first_send = if self.injected_fault == Some(RecoveryFault::RerunsSentEvents) {
                FirstSend::Never
            } else {
                event.first_send
            };
            let case = RecoveryCase {
                repeat_safety: accepted.repeat_safety,
                finish_without_client: accepted.finish_without_client,
                client_waiting: event.client_waiting,
                deadline: accepted.deadline,
                first_send,
                ended: None,
            };
            let resolution = resolve(wall, self.clock_skew_ms, &case);
            if let Some(outcome) = resolution.outcome() {
                match resolution {
                    Resolution::MayHaveRun => self.counts.may_have_run += 1,
                    Resolution::Dropped => self.counts.dropped += 1,
                    _ => self.counts.expired += 1,
                }
                out.push(RecoveryOutput::Resolved { key, resolution, outcome, answer: Vec::new() });
                self.ended(key, outcome, Vec::new(), out);
                continue;
            }
            if self.running >= self.concurrency || self.budget < 1_000 {
                continue;
            }
            match resolution {
                Resolution::Run => self.counts.run += 1,
                Resolution::RunAgain => self.counts.run_again += 1,
                _ => self.counts.same_key += 1,
            }
            (self.running, self.budget, event.stage) =
                (self.running + 1, self.budget - 1_000, EventStage::Running);
            let first_send_at = if let FirstSend::At(at) = event.first_send { Some(at) } else { None };
            out.push(RecoveryOutput::Adopt { accepted: event.accepted.clone(), first_send_at, resolution });
        }
    }
}
