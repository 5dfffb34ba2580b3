//! What a gateway does with what lost ones had pending. Each event of theirs that we hold is claimed of every peer
//! that is not lost itself: whoever answers says what it knows, and does nothing of its own with that event. Of several
//! that hold an event the one of the highest rank claims it; once all have answered it ends by [`crate::end`], under a
//! ration. What is missing is named, and counts as if it spoke of a first byte.

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

/// Claims that are out at once.
const MAX_OPEN_CLAIMS: usize = 1024;
/// A word without an answer is sent again after this.
const RETRY_INTERVAL: Micros = 300_000;

/// Faults that checkers must find.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RecoveryFault {
    /// What was sent is run as if it was not.
    RunsWhatWasSent,
    /// Nobody is asked.
    SkipsClaims,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum EventStage {
    Unclaimed,
    Claiming(BTreeSet<MemberId>),
    Ready,
    Running,
    OwnedBy(MemberId),
    Ended(Outcome, Vec<u8>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Event {
    pub(crate) accepted: Accepted,
    pub(crate) accepted_entry: (Source, u64, u64),
    pub(crate) first_send: FirstSend,
    pub(crate) client_waiting: bool,
    /// When its owner was last heard.
    pub(crate) owner_last_heard: Micros,
    /// Sites of those that had it and are lost: nobody there could say more than their journals.
    pub(crate) lost_sites: BTreeSet<Site>,
    /// Recovery that had claimed it and are lost: what they wrote of it goes before what its first owner did.
    pub(crate) previous_owners: Vec<MemberId>,
    /// Who else holds it.
    pub(crate) other_holders: BTreeSet<MemberId>,
    /// How far its journal is known to any that answered, and how far it was written as any knows.
    pub(crate) log_extent: (u64, u64),
    /// Some that answered lack something of another journal.
    pub(crate) other_journal_incomplete: bool,
    /// Of those that answered the claim, whose copy goes up to its line.
    pub(crate) complete_holders: BTreeSet<MemberId>,
    pub(crate) stage: EventStage,
}

/// See the module's page.
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
    /// Lives up to this one of a gateway are over.
    pub(crate) ended_lives: BTreeMap<MemberId, u64>,
    /// Gateways that are not asked, as they are lost by a permit.
    pub(crate) unavailable: BTreeSet<MemberId>,
    /// Journals of lost gateways: how far our copies go, and how far they were written as we know.
    pub(crate) log_extents: BTreeMap<Source, (u64, u64)>,
    pub(crate) events: BTreeMap<Key, Event>,
    /// What we were told of events that earlier lives of ours had pending, with their deadlines.
    pub(crate) learned: BTreeMap<Key, (WallMs, EventStatus)>,
    pub(crate) learned_bytes: usize,
    /// Gateways of which we ask whether anybody holds anything: those yet to answer.
    pub(crate) holder_queries: BTreeMap<MemberId, BTreeSet<MemberId>>,
    /// Events that are out to workers here.
    pub(crate) running: usize,
    /// The ration: a thousandth of an event each, and when it was filled last.
    pub(crate) budget: u64,
    pub(crate) budget_filled_at: Micros,
    pub(crate) next_retry: Micros,
    pub(crate) reported_losses: BTreeSet<JournalLoss>,
    pub(crate) counts: RecoveryCounts,
    pub(crate) injected_fault: Option<RecoveryFault>,
}

impl Event {
    /// Whether another's line of it was written by a later heir, which knew how it stood.
    pub(crate) fn is_superseded_by(&self, line: (Source, u64, u64)) -> bool {
        let heirs = self.previous_owners.iter().copied().chain(match self.stage {
            EventStage::OwnedBy(of) => Some(of),
            _ => None,
        });
        let heirs: Vec<MemberId> = heirs.collect();
        let at = |source: Source| (heirs.iter().rposition(|heir| *heir == source.gateway), source.life);
        at(line.0).0.is_some() && at(line.0) > at(self.accepted_entry.0)
    }

    pub(crate) fn reset_to(&mut self, line: (Source, u64, u64), sent: FirstSend) {
        (self.accepted_entry, self.first_send, self.stage) = (line, sent, EventStage::Unclaimed);
        self.complete_holders.clear();
    }
}

pub(crate) fn claim_rank(key: Key, of: MemberId) -> (u64, MemberId) {
    (xxh3_64_with_seed(&key.0.to_le_bytes(), u64::from(of)), of)
}

impl Recovery {
    /// Nobody is lost.
    pub fn new(settings: &RecoverySettings, now: Micros) -> Self {
        let places = &settings.site_map;
        Self {
            own: places.own(),
            sites: (0..places.len() as MemberId).filter_map(|of| places.site_of(of)).collect(),
            required_holders: settings.holders.clone(),
            clock_skew_ms: settings.clock_skew_ms,
            concurrency: settings.concurrency,
            rate: settings.rate,
            retention_ms: settings.retention_ms,
            started_at: now,
            ended_lives: BTreeMap::from([(places.own(), settings.life.saturating_sub(1))]),
            unavailable: BTreeSet::new(),
            log_extents: BTreeMap::new(),
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
    pub fn inject_fault(&mut self, planted: RecoveryFault) {
        self.injected_fault = Some(planted);
    }

    /// How events have ended here.
    pub fn counts(&self) -> RecoveryCounts {
        self.counts
    }

    /// Events that are not over, ours and others'.
    pub fn pending(&self) -> usize {
        self.events.values().filter(|event| !matches!(event.stage, EventStage::Ended(..))).count()
    }

    /// What the load allows: so many a second, and so many out at once.
    pub fn set_limits(&mut self, rate: u32, most: usize) {
        (self.rate, self.concurrency) = (rate, most);
    }

    /// What is known of an event that was a lost gateway's.
    pub fn event_status(&self, key: Key) -> Option<EventStatus> {
        let held = self.events.get(&key).map(|event| self.status_of(event));
        held.or_else(|| self.learned.get(&key).map(|(_, fate)| fate.clone()))
    }

    pub(crate) fn status_of(&self, event: &Event) -> EventStatus {
        match &event.stage {
            EventStage::Unclaimed | EventStage::Claiming(_) => EventStatus::Unassigned,
            EventStage::Ready | EventStage::Running => EventStatus::OwnedBy(self.own),
            EventStage::OwnedBy(of) => EventStatus::OwnedBy(*of),
            EventStage::Ended(outcome, answer) => EventStatus::Ended(*outcome, answer.clone()),
        }
    }

    /// A client repeats it here, and waits.
    pub fn client_waits_for(&mut self, key: Key) {
        self.events.get_mut(&key).into_iter().for_each(|event| event.client_waiting = true);
    }

    /// These lives of a gateway and all before them are over, and what we promised to it has run out: what it had
    /// pending is its heirs'. `copies` is all that we hold of its journals. `away`: it is lost by a permit, and not
    /// asked until [`Recovery::back`]; where it is not, a later life of it has told so itself.
    pub fn take_over(
        &mut self,
        now: Micros,
        of: MemberId,
        life: u64,
        away: bool,
        copies: Vec<JournalSnapshot>,
    ) {
        let known = self.ended_lives.entry(of).or_insert(life);
        *known = life.max(*known);
        if away {
            self.unavailable.insert(of);
            self.holder_queries.values_mut().for_each(|left| _ = left.remove(&of));
            if copies.is_empty() {
                self.holder_queries.insert(of, self.peers());
            }
        }
        if of == self.own {
            self.lose_ownership();
        }
        for copy in copies {
            self.apply_snapshot(now, copy);
        }
        let site = self.site(of);
        for event in self.events.values_mut() {
            match &mut event.stage {
                // It stands where its journal says: whoever holds that tells it with the next claim.
                EventStage::OwnedBy(by) if *by == of => {
                    event.lost_sites.insert(site);
                    event.previous_owners.retain(|heir| *heir != of);
                    event.previous_owners.push(of);
                    event.stage = EventStage::Unclaimed;
                }
                EventStage::Claiming(left) if away => _ = left.remove(&of),
                _ => {}
            }
        }
        self.next_retry = now;
    }

    /// We were taken over: what we claimed may be others' now, and what we adopted may have been sent.
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

    /// It takes part again.
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

    pub(crate) fn report_loss(&mut self, gone: JournalLoss, out: &mut Vec<RecoveryOutput>) {
        if self.reported_losses.insert(gone) {
            self.counts.journal_losses += 1;
            out.push(RecoveryOutput::JournalLoss(gone));
        }
    }

    fn apply_snapshot(&mut self, now: Micros, copy: JournalSnapshot) {
        let source = copy.source;
        self.log_extents.insert(source, (copy.through, copy.head));
        let (heard, site) = (now.saturating_sub(copy.silent_for), self.site(source.gateway));
        for Entry { number, chain, step, .. } in copy.entries {
            match step {
                Step::Accepted(accepted) => {
                    let fresh = Event {
                        accepted_entry: (source, number, chain),
                        first_send: FirstSend::Never,
                        client_waiting: false,
                        owner_last_heard: heard,
                        lost_sites: BTreeSet::new(),
                        previous_owners: Vec::new(),
                        other_holders: BTreeSet::new(),
                        log_extent: (0, 0),
                        other_journal_incomplete: false,
                        complete_holders: BTreeSet::new(),
                        stage: EventStage::Unclaimed,
                        accepted,
                    };
                    let line = fresh.accepted_entry;
                    let event = self.events.entry(fresh.accepted.key).or_insert(fresh);
                    if event.is_superseded_by(line) {
                        event.reset_to(line, FirstSend::Never);
                    }
                    event.owner_last_heard = event.owner_last_heard.max(heard);
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

    pub(crate) fn record_end(event: &mut Event, slots: &mut usize, outcome: Outcome, answer: Vec<u8>) {
        match event.stage {
            // A later word takes nothing back, but for an answer where it was only known that it may have run.
            EventStage::Ended(Outcome::Failed, _) if outcome == Outcome::Served => {}
            EventStage::Ended(..) => return,
            EventStage::Running => *slots -= 1,
            _ => {}
        }
        event.stage = EventStage::Ended(outcome, answer);
    }

    /// An event that we adopted has ended.
    pub fn ended(&mut self, key: Key, outcome: Outcome, answer: Vec<u8>, out: &mut Vec<RecoveryOutput>) {
        let Some(event) = self.events.get_mut(&key) else { return };
        Self::record_end(event, &mut self.running, outcome, answer.clone());
        let told = event.other_holders.iter().filter(|of| !self.unavailable.contains(of));
        out.extend(told.map(|to| {
            RecoveryOutput::Send(*to, TakeoverMessage::Ended(vec![(key, outcome, answer.clone())]))
        }));
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Micros, wall: WallMs, out: &mut Vec<RecoveryOutput>) {
        if now >= self.next_retry {
            self.next_retry = now + RETRY_INTERVAL;
            self.send_claims(out);
            self.query_holders(out);
        }
        self.finish_claims(out);
        self.resolve_ready(now, wall, out);
        let (remember, slack) = (self.retention_ms, self.clock_skew_ms);
        self.events.retain(|_, event| match event.stage {
            EventStage::Ended(..) | EventStage::OwnedBy(_) => {
                wall < event.accepted.deadline.saturating_add(remember + slack)
            }
            _ => true,
        });
        let over = |_: &Key, (deadline, _): &mut (WallMs, EventStatus)| {
            wall >= deadline.saturating_add(remember + slack)
        };
        for (_, (_, fate)) in self.learned.extract_if(.., over) {
            self.learned_bytes -= fate.answer_bytes();
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
        let ration = 1_000_000 / u64::from(self.rate.max(1));
        let ready = ready.then_some(now + ration.min(RETRY_INTERVAL));
        let over = self
            .events
            .values()
            .any(|event| matches!(event.stage, EventStage::Ended(..) | EventStage::OwnedBy(_)));
        let over = over.then_some(now + 1_000_000);
        ready.into_iter().chain(over).fold(self.next_retry, Micros::min)
    }

    fn send_claims(&mut self, out: &mut Vec<RecoveryOutput>) {
        let peers = self.peers();
        let claiming =
            self.events.values().filter(|event| matches!(event.stage, EventStage::Claiming(_))).count();
        let open = self.events.values_mut().filter(|event| event.stage == EventStage::Unclaimed);
        for event in open.take(MAX_OPEN_CLAIMS - claiming.min(MAX_OPEN_CLAIMS)) {
            let left = if self.injected_fault == Some(RecoveryFault::SkipsClaims) {
                BTreeSet::new()
            } else {
                peers.clone()
            };
            event.complete_holders.clear();
            let lacks = |(of, (through, head)): (&Source, &(u64, u64))| {
                *of != event.accepted_entry.0 && head > through
            };
            event.other_journal_incomplete = self.log_extents.iter().any(lacks);
            event.log_extent = self.log_extents.get(&event.accepted_entry.0).copied().unwrap_or((0, 0));
            event.stage = EventStage::Claiming(left);
        }
        let mut words: BTreeMap<MemberId, Vec<(Key, Source, u64)>> = BTreeMap::new();
        for (key, event) in &self.events {
            if let EventStage::Claiming(left) = &event.stage {
                left.iter().for_each(|of| {
                    words.entry(*of).or_default().push((*key, event.accepted_entry.0, event.accepted_entry.1))
                });
            }
        }
        for (to, keys) in words {
            out.extend(
                keys.chunks(MAX_EVENTS_PER_MESSAGE)
                    .map(|keys| RecoveryOutput::Send(to, TakeoverMessage::Claim(keys.to_vec()))),
            );
        }
    }

    fn query_holders(&mut self, out: &mut Vec<RecoveryOutput>) {
        let none: Vec<MemberId> =
            self.holder_queries.iter().filter(|(_, left)| left.is_empty()).map(|(of, _)| *of).collect();
        for of in none {
            self.holder_queries.remove(&of);
            let source_of = Source { gateway: of, life: self.ended_lives.get(&of).copied().unwrap_or(0) };
            self.report_loss(JournalLoss { source_of, from: 1, to: None, why: LossReason::Unheld }, out);
        }
        for (of, left) in &self.holder_queries {
            let life = self.ended_lives.get(of).copied().unwrap_or(0);
            out.extend(
                left.iter().map(|to| RecoveryOutput::Send(*to, TakeoverMessage::HoldsQuery(*of, life))),
            );
        }
    }

    /// Claims to which all have answered.
    fn finish_claims(&mut self, out: &mut Vec<RecoveryOutput>) {
        let mut gone = Vec::new();
        let away: Vec<(MemberId, Site)> = self.unavailable.iter().map(|of| (*of, self.site(*of))).collect();
        for event in self.events.values_mut() {
            if !matches!(&event.stage, EventStage::Claiming(left) if left.is_empty()) {
                continue;
            }
            // One that is lost as well, or that has forgotten, might have known of a first byte; so might a line that
            // nobody has, or one of an heir's that somebody lacks.
            let need = self.required_holders.get(usize::from(event.accepted.class)).copied().unwrap_or(0);
            let (source, line, _) = event.accepted_entry;
            let ours = self.log_extents.get(&source).is_some_and(|(through, _)| *through >= line);
            let few = event.complete_holders.len() + usize::from(ours) < usize::from(need);
            let (through, head) = event.log_extent;
            if head > through {
                gone.push(JournalLoss {
                    source_of: source,
                    from: through + 1,
                    to: Some(head),
                    why: LossReason::Missing,
                });
            }
            let missed = few
                || head > through
                || (event.other_journal_incomplete && !event.previous_owners.is_empty())
                || away.iter().any(|(_, site)| !event.lost_sites.contains(site));
            if missed && self.injected_fault != Some(RecoveryFault::SkipsClaims) {
                event.first_send = FirstSend::Unknown;
            }
            event.stage = EventStage::Ready;
        }
        gone.into_iter().for_each(|gone| self.report_loss(gone, out));
    }

    /// Ends what is ready, nearest deadline first; workers are asked under the ration.
    fn resolve_ready(&mut self, now: Micros, wall: WallMs, out: &mut Vec<RecoveryOutput>) {
        let gained = now.saturating_sub(self.budget_filled_at).saturating_mul(u64::from(self.rate)) / 1_000;
        // What was not used in the last tenth of a second is gone: a ration has no waves.
        let full = (u64::from(self.rate) * 100).max(1_000);
        if gained > 0 {
            (self.budget, self.budget_filled_at) = ((self.budget + gained).min(full), now);
        }
        let ready = self.events.iter().filter(|(_, event)| event.stage == EventStage::Ready);
        let mut ready: Vec<(WallMs, Key)> =
            ready.map(|(key, event)| (event.accepted.deadline, *key)).collect();
        ready.sort_unstable();
        for (_, key) in ready {
            let Some(event) = self.events.get_mut(&key) else { continue };
            let accepted = &event.accepted;
            let sent = if self.injected_fault == Some(RecoveryFault::RunsWhatWasSent) {
                FirstSend::Never
            } else {
                event.first_send
            };
            let case = RecoveryCase {
                repeat_safety: accepted.repeat_safety,
                finish_without_client: accepted.finish_without_client,
                client_waiting: event.client_waiting,
                deadline: accepted.deadline,
                first_send: sent,
                ended: None,
            };
            let how = resolve(wall, self.clock_skew_ms, &case);
            if let Some(outcome) = how.outcome() {
                match how {
                    Resolution::MayHaveRun => self.counts.may_have_run += 1,
                    Resolution::LetGo => self.counts.dropped += 1,
                    _ => self.counts.expired += 1,
                }
                out.push(RecoveryOutput::Resolved { key, resolution: how, outcome, answer: Vec::new() });
                self.ended(key, outcome, Vec::new(), out);
                continue;
            }
            if self.running >= self.concurrency || self.budget < 1_000 {
                continue;
            }
            match how {
                Resolution::Run => self.counts.run += 1,
                Resolution::RunAgain => self.counts.run_again += 1,
                _ => self.counts.same_key += 1,
            }
            (self.running, self.budget, event.stage) =
                (self.running + 1, self.budget - 1_000, EventStage::Running);
            let first = if let FirstSend::At(first) = event.first_send { Some(first) } else { None };
            out.push(RecoveryOutput::Adopt {
                accepted: event.accepted.clone(),
                first_send_at: first,
                resolution: how,
            });
        }
    }
}
