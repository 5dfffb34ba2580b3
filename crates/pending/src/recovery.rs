//! What a gateway does with what lost ones had pending. Each event of theirs that we hold is claimed of every peer
//! that is not lost itself: whoever answers says what it knows, and does nothing of its own with that event. Of several
//! that hold an event the one of the highest rank claims it; once all have answered it ends by [`crate::end`], under a
//! ration. What is missing is named, and counts as if it spoke of a first byte.

use crate::claims::BATCH;
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
const CLAIMS: usize = 1024;
/// A word without an answer is sent again after this.
const AGAIN: Micros = 300_000;

/// Faults that checkers must find.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RecoveryFault {
    /// What was sent is run as if it was not.
    RunsWhatWasSent,
    /// Nobody is asked.
    AsksNobody,
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
    pub(crate) line: (Source, u64, u64),
    pub(crate) sent: FirstSend,
    pub(crate) waited: bool,
    /// When its owner was last heard.
    pub(crate) heard: Micros,
    /// Sites of those that had it and are lost: nobody there could say more than their journals.
    pub(crate) lost: BTreeSet<Site>,
    /// Recovery that had claimed it and are lost: what they wrote of it goes before what its first owner did.
    pub(crate) heirs: Vec<MemberId>,
    /// Who else holds it.
    pub(crate) holders: BTreeSet<MemberId>,
    /// How far its journal is known to any that answered, and how far it was written as any knows.
    pub(crate) upto: (u64, u64),
    /// Some that answered lack something of another journal.
    pub(crate) torn: bool,
    /// Of those that answered the claim, whose copy goes up to its line.
    pub(crate) reached: BTreeSet<MemberId>,
    pub(crate) stage: EventStage,
}

/// See the module's page.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Recovery {
    pub(crate) own: MemberId,
    pub(crate) sites: Vec<Site>,
    pub(crate) need: Vec<u8>,
    pub(crate) slack: WallMs,
    pub(crate) most: usize,
    pub(crate) rate: u32,
    pub(crate) remember: WallMs,
    pub(crate) start: Micros,
    /// Lives up to this one of a gateway are over.
    pub(crate) begun: BTreeMap<MemberId, u64>,
    /// Gateways that are not asked, as they are lost by a permit.
    pub(crate) away: BTreeSet<MemberId>,
    /// Journals of lost gateways: how far our copies go, and how far they were written as we know.
    pub(crate) reach: BTreeMap<Source, (u64, u64)>,
    pub(crate) events: BTreeMap<Key, Event>,
    /// What we were told of events that earlier lives of ours had pending, with their deadlines.
    pub(crate) learnt: BTreeMap<Key, (WallMs, EventStatus)>,
    pub(crate) learnt_bytes: usize,
    /// Gateways of which we ask whether anybody holds anything: those yet to answer.
    pub(crate) asked: BTreeMap<MemberId, BTreeSet<MemberId>>,
    /// Events that are out to workers here.
    pub(crate) out: usize,
    /// The ration: a thousandth of an event each, and when it was filled last.
    pub(crate) ration: u64,
    pub(crate) filled: Micros,
    pub(crate) again: Micros,
    pub(crate) named: BTreeSet<JournalLoss>,
    pub(crate) counted: RecoveryCounts,
    pub(crate) planted: Option<RecoveryFault>,
}

impl Event {
    /// Whether another's line of it was written by a later heir, which knew how it stood.
    pub(crate) fn is_older_than(&self, line: (Source, u64, u64)) -> bool {
        let heirs = self.heirs.iter().copied().chain(match self.stage {
            EventStage::OwnedBy(of) => Some(of),
            _ => None,
        });
        let heirs: Vec<MemberId> = heirs.collect();
        let at = |source: Source| (heirs.iter().rposition(|heir| *heir == source.gateway), source.life);
        at(line.0).0.is_some() && at(line.0) > at(self.line.0)
    }

    pub(crate) fn follows(&mut self, line: (Source, u64, u64), sent: FirstSend) {
        (self.line, self.sent, self.stage) = (line, sent, EventStage::Unclaimed);
        self.reached.clear();
    }
}

pub(crate) fn rank(key: Key, of: MemberId) -> (u64, MemberId) {
    (xxh3_64_with_seed(&key.0.to_le_bytes(), u64::from(of)), of)
}

impl Recovery {
    /// Nobody is lost.
    pub fn new(settings: &RecoverySettings, now: Micros) -> Self {
        let places = &settings.places;
        Self {
            own: places.own(),
            sites: (0..places.len() as MemberId).filter_map(|of| places.site_of(of)).collect(),
            need: settings.holders.clone(),
            slack: settings.slack,
            most: settings.most,
            rate: settings.rate,
            remember: settings.remember,
            start: now,
            begun: BTreeMap::from([(places.own(), settings.life.saturating_sub(1))]),
            away: BTreeSet::new(),
            reach: BTreeMap::new(),
            events: BTreeMap::new(),
            learnt: BTreeMap::new(),
            learnt_bytes: 0,
            asked: BTreeMap::new(),
            out: 0,
            ration: 0,
            filled: now,
            again: Micros::MAX,
            named: BTreeSet::new(),
            counted: RecoveryCounts::default(),
            planted: None,
        }
    }

    #[doc(hidden)]
    pub fn plant(&mut self, planted: RecoveryFault) {
        self.planted = Some(planted);
    }

    /// How events have ended here.
    pub fn counted(&self) -> RecoveryCounts {
        self.counted
    }

    /// Events that are not over, ours and others'.
    pub fn pending(&self) -> usize {
        self.events.values().filter(|event| !matches!(event.stage, EventStage::Ended(..))).count()
    }

    /// What the load allows: so many a second, and so many out at once.
    pub fn set_ration(&mut self, rate: u32, most: usize) {
        (self.rate, self.most) = (rate, most);
    }

    /// What is known of an event that was a lost gateway's.
    pub fn fate(&self, key: Key) -> Option<EventStatus> {
        let held = self.events.get(&key).map(|event| self.fate_of(event));
        held.or_else(|| self.learnt.get(&key).map(|(_, fate)| fate.clone()))
    }

    pub(crate) fn fate_of(&self, event: &Event) -> EventStatus {
        match &event.stage {
            EventStage::Unclaimed | EventStage::Claiming(_) => EventStatus::Unassigned,
            EventStage::Ready | EventStage::Running => EventStatus::OwnedBy(self.own),
            EventStage::OwnedBy(of) => EventStatus::OwnedBy(*of),
            EventStage::Ended(outcome, answer) => EventStatus::Ended(*outcome, answer.clone()),
        }
    }

    /// A client repeats it here, and waits.
    pub fn waits_for(&mut self, key: Key) {
        self.events.get_mut(&key).into_iter().for_each(|event| event.waited = true);
    }

    /// These lives of a gateway and all before them are over, and what we promised to it has run out: what it had
    /// pending is its heirs'. `copies` is all that we hold of its journals. `away`: it is lost by a permit, and not
    /// asked until [`Recovery::back`]; where it is not, a later life of it has told so itself.
    pub fn begin(&mut self, now: Micros, of: MemberId, life: u64, away: bool, copies: Vec<JournalSnapshot>) {
        let known = self.begun.entry(of).or_insert(life);
        *known = life.max(*known);
        if away {
            self.away.insert(of);
            self.asked.values_mut().for_each(|left| _ = left.remove(&of));
            if copies.is_empty() {
                self.asked.insert(of, self.peers());
            }
        }
        if of == self.own {
            self.lose();
        }
        for copy in copies {
            self.fold(now, copy);
        }
        let site = self.site(of);
        for event in self.events.values_mut() {
            match &mut event.stage {
                // It stands where its journal says: whoever holds that tells it with the next claim.
                EventStage::OwnedBy(by) if *by == of => {
                    event.lost.insert(site);
                    event.heirs.retain(|heir| *heir != of);
                    event.heirs.push(of);
                    event.stage = EventStage::Unclaimed;
                }
                EventStage::Claiming(left) if away => _ = left.remove(&of),
                _ => {}
            }
        }
        self.again = now;
    }

    /// We were taken over: what we claimed may be others' now, and what we adopted may have been sent.
    fn lose(&mut self) {
        self.out = 0;
        for event in self.events.values_mut() {
            match event.stage {
                EventStage::Running => {
                    (event.stage, event.sent) = (EventStage::Unclaimed, FirstSend::Unknown)
                }
                EventStage::Claiming(_) | EventStage::Ready => event.stage = EventStage::Unclaimed,
                EventStage::Unclaimed | EventStage::OwnedBy(_) | EventStage::Ended(..) => {}
            }
        }
    }

    /// It takes part again.
    pub fn back(&mut self, of: MemberId) {
        self.away.remove(&of);
    }

    fn site(&self, of: MemberId) -> Site {
        self.sites.get(usize::from(of)).copied().unwrap_or_default()
    }

    fn peers(&self) -> BTreeSet<MemberId> {
        let all = 0..self.sites.len() as MemberId;
        all.filter(|of| *of != self.own && !self.away.contains(of)).collect()
    }

    pub(crate) fn name(&mut self, gone: JournalLoss, out: &mut Vec<RecoveryOutput>) {
        if self.named.insert(gone) {
            self.counted.gone += 1;
            out.push(RecoveryOutput::JournalLoss(gone));
        }
    }

    fn fold(&mut self, now: Micros, copy: JournalSnapshot) {
        let source = copy.source;
        self.reach.insert(source, (copy.through, copy.head));
        let (heard, site) = (now.saturating_sub(copy.unheard), self.site(source.gateway));
        for Entry { number, chain, step, .. } in copy.entries {
            match step {
                Step::Accepted(accepted) => {
                    let fresh = Event {
                        line: (source, number, chain),
                        sent: FirstSend::Never,
                        waited: false,
                        heard,
                        lost: BTreeSet::new(),
                        heirs: Vec::new(),
                        holders: BTreeSet::new(),
                        upto: (0, 0),
                        torn: false,
                        reached: BTreeSet::new(),
                        stage: EventStage::Unclaimed,
                        accepted,
                    };
                    let line = fresh.line;
                    let event = self.events.entry(fresh.accepted.key).or_insert(fresh);
                    if event.is_older_than(line) {
                        event.follows(line, FirstSend::Never);
                    }
                    event.heard = event.heard.max(heard);
                    event.lost.insert(site);
                }
                Step::Sending { key, at, .. } => {
                    let event = self.events.get_mut(&key).into_iter();
                    event.for_each(|event| event.sent = event.sent.and(FirstSend::At(at)));
                }
                Step::Ended { key, outcome, answer } => {
                    if let Some(event) = self.events.get_mut(&key) {
                        Self::close(event, &mut self.out, outcome, answer);
                    }
                }
            }
        }
    }

    pub(crate) fn close(event: &mut Event, slots: &mut usize, outcome: Outcome, answer: Vec<u8>) {
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
    pub fn over(&mut self, key: Key, outcome: Outcome, answer: Vec<u8>, out: &mut Vec<RecoveryOutput>) {
        let Some(event) = self.events.get_mut(&key) else { return };
        Self::close(event, &mut self.out, outcome, answer.clone());
        let told = event.holders.iter().filter(|of| !self.away.contains(of));
        out.extend(told.map(|to| {
            RecoveryOutput::Send(*to, TakeoverMessage::Ended(vec![(key, outcome, answer.clone())]))
        }));
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Micros, wall: WallMs, out: &mut Vec<RecoveryOutput>) {
        if now >= self.again {
            self.again = now + AGAIN;
            self.claim(out);
            self.ask_held(out);
        }
        self.settle(out);
        self.act(now, wall, out);
        let (remember, slack) = (self.remember, self.slack);
        self.events.retain(|_, event| match event.stage {
            EventStage::Ended(..) | EventStage::OwnedBy(_) => {
                wall < event.accepted.deadline.saturating_add(remember + slack)
            }
            _ => true,
        });
        let over = |_: &Key, (deadline, _): &mut (WallMs, EventStatus)| {
            wall >= deadline.saturating_add(remember + slack)
        };
        for (_, (_, fate)) in self.learnt.extract_if(.., over) {
            self.learnt_bytes -= fate.answer_bytes();
        }
        let open = self
            .events
            .values()
            .any(|event| matches!(event.stage, EventStage::Unclaimed | EventStage::Claiming(_)));
        if !open && self.asked.is_empty() {
            self.again = Micros::MAX;
        }
    }

    /// When [`Recovery::wake`] is due.
    pub fn next_due(&self, now: Micros) -> Micros {
        let ready =
            self.out < self.most && self.events.values().any(|event| event.stage == EventStage::Ready);
        let ration = 1_000_000 / u64::from(self.rate.max(1));
        let ready = ready.then_some(now + ration.min(AGAIN));
        let over = self
            .events
            .values()
            .any(|event| matches!(event.stage, EventStage::Ended(..) | EventStage::OwnedBy(_)));
        let over = over.then_some(now + 1_000_000);
        ready.into_iter().chain(over).fold(self.again, Micros::min)
    }

    fn claim(&mut self, out: &mut Vec<RecoveryOutput>) {
        let peers = self.peers();
        let claiming =
            self.events.values().filter(|event| matches!(event.stage, EventStage::Claiming(_))).count();
        let open = self.events.values_mut().filter(|event| event.stage == EventStage::Unclaimed);
        for event in open.take(CLAIMS - claiming.min(CLAIMS)) {
            let left =
                if self.planted == Some(RecoveryFault::AsksNobody) { BTreeSet::new() } else { peers.clone() };
            event.reached.clear();
            let lacks = |(of, (through, head)): (&Source, &(u64, u64))| *of != event.line.0 && head > through;
            event.torn = self.reach.iter().any(lacks);
            event.upto = self.reach.get(&event.line.0).copied().unwrap_or((0, 0));
            event.stage = EventStage::Claiming(left);
        }
        let mut words: BTreeMap<MemberId, Vec<(Key, Source, u64)>> = BTreeMap::new();
        for (key, event) in &self.events {
            if let EventStage::Claiming(left) = &event.stage {
                left.iter()
                    .for_each(|of| words.entry(*of).or_default().push((*key, event.line.0, event.line.1)));
            }
        }
        for (to, keys) in words {
            out.extend(
                keys.chunks(BATCH)
                    .map(|keys| RecoveryOutput::Send(to, TakeoverMessage::Claim(keys.to_vec()))),
            );
        }
    }

    fn ask_held(&mut self, out: &mut Vec<RecoveryOutput>) {
        let none: Vec<MemberId> =
            self.asked.iter().filter(|(_, left)| left.is_empty()).map(|(of, _)| *of).collect();
        for of in none {
            self.asked.remove(&of);
            let source_of = Source { gateway: of, life: self.begun.get(&of).copied().unwrap_or(0) };
            self.name(JournalLoss { source_of, from: 1, to: None, why: LossReason::Unheld }, out);
        }
        for (of, left) in &self.asked {
            let life = self.begun.get(of).copied().unwrap_or(0);
            out.extend(
                left.iter().map(|to| RecoveryOutput::Send(*to, TakeoverMessage::HoldsQuery(*of, life))),
            );
        }
    }

    /// Claims to which all have answered.
    fn settle(&mut self, out: &mut Vec<RecoveryOutput>) {
        let mut gone = Vec::new();
        let away: Vec<(MemberId, Site)> = self.away.iter().map(|of| (*of, self.site(*of))).collect();
        for event in self.events.values_mut() {
            if !matches!(&event.stage, EventStage::Claiming(left) if left.is_empty()) {
                continue;
            }
            // One that is lost as well, or that has forgotten, might have known of a first byte; so might a line that
            // nobody has, or one of an heir's that somebody lacks.
            let need = self.need.get(usize::from(event.accepted.class)).copied().unwrap_or(0);
            let (source, line, _) = event.line;
            let ours = self.reach.get(&source).is_some_and(|(through, _)| *through >= line);
            let few = event.reached.len() + usize::from(ours) < usize::from(need);
            let (through, head) = event.upto;
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
                || (event.torn && !event.heirs.is_empty())
                || away.iter().any(|(_, site)| !event.lost.contains(site));
            if missed && self.planted != Some(RecoveryFault::AsksNobody) {
                event.sent = FirstSend::Unknown;
            }
            event.stage = EventStage::Ready;
        }
        gone.into_iter().for_each(|gone| self.name(gone, out));
    }

    /// Ends what is ready, nearest deadline first; workers are asked under the ration.
    fn act(&mut self, now: Micros, wall: WallMs, out: &mut Vec<RecoveryOutput>) {
        let gained = now.saturating_sub(self.filled).saturating_mul(u64::from(self.rate)) / 1_000;
        // What was not used in the last tenth of a second is gone: a ration has no waves.
        let full = (u64::from(self.rate) * 100).max(1_000);
        if gained > 0 {
            (self.ration, self.filled) = ((self.ration + gained).min(full), now);
        }
        let ready = self.events.iter().filter(|(_, event)| event.stage == EventStage::Ready);
        let mut ready: Vec<(WallMs, Key)> =
            ready.map(|(key, event)| (event.accepted.deadline, *key)).collect();
        ready.sort_unstable();
        for (_, key) in ready {
            let Some(event) = self.events.get_mut(&key) else { continue };
            let accepted = &event.accepted;
            let sent = if self.planted == Some(RecoveryFault::RunsWhatWasSent) {
                FirstSend::Never
            } else {
                event.sent
            };
            let case = RecoveryCase {
                again: accepted.repeat_safety,
                owed: accepted.finish_without_client,
                waited: event.waited,
                deadline: accepted.deadline,
                sent,
                ended: None,
            };
            let how = resolve(wall, self.slack, &case);
            if let Some(outcome) = how.outcome() {
                match how {
                    Resolution::MayHaveRun => self.counted.may_have_run += 1,
                    Resolution::LetGo => self.counted.let_go += 1,
                    _ => self.counted.closed += 1,
                }
                out.push(RecoveryOutput::Resolved { key, end: how, outcome, answer: Vec::new() });
                self.over(key, outcome, Vec::new(), out);
                continue;
            }
            if self.out >= self.most || self.ration < 1_000 {
                continue;
            }
            match how {
                Resolution::Run => self.counted.run += 1,
                Resolution::RunAgain => self.counted.again += 1,
                _ => self.counted.same_key += 1,
            }
            (self.out, self.ration, event.stage) = (self.out + 1, self.ration - 1_000, EventStage::Running);
            let first = if let FirstSend::At(first) = event.sent { Some(first) } else { None };
            out.push(RecoveryOutput::Adopt { accepted: event.accepted.clone(), first, end: how });
        }
    }
}
