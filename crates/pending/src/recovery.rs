//! What a gateway does with what lost ones had pending. Each event of theirs that we hold is claimed of every peer
//! that is not lost itself: whoever answers says what it knows, and does nothing of its own with that event. Of several
//! that hold an event the one of the highest rank claims it; once all have answered it ends by [`crate::end`], under a
//! ration. What is missing is named, and counts as if it spoke of a first byte.

use crate::claims::BATCH;
use crate::resolution::{Case, End, Sent, end};
use crate::types::{Accepted, Entry, Key, Outcome, Source, Step, WallMs};
use crate::takeover_messages::{Copy, Counted, Fate, Gone, Heir, HeirsSettings, Why, Word};
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
pub enum Planted {
    /// What was sent is run as if it was not.
    RunsWhatWasSent,
    /// Nobody is asked.
    AsksNobody,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Stage {
    Open,
    Claiming(BTreeSet<MemberId>),
    Ready,
    Out,
    Theirs(MemberId),
    Over(Outcome, Vec<u8>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Event {
    pub(crate) accepted: Accepted,
    pub(crate) line: (Source, u64, u64),
    pub(crate) sent: Sent,
    pub(crate) waited: bool,
    /// When its owner was last heard.
    pub(crate) heard: Micros,
    /// Sites of those that had it and are lost: nobody there could say more than their journals.
    pub(crate) lost: BTreeSet<Site>,
    /// Heirs that had claimed it and are lost: what they wrote of it goes before what its first owner did.
    pub(crate) heirs: Vec<MemberId>,
    /// Who else holds it.
    pub(crate) holders: BTreeSet<MemberId>,
    /// How far its journal is known to any that answered, and how far it was written as any knows.
    pub(crate) upto: (u64, u64),
    /// Some that answered lack something of another journal.
    pub(crate) torn: bool,
    /// Of those that answered the claim, whose copy goes up to its line.
    pub(crate) reached: BTreeSet<MemberId>,
    pub(crate) stage: Stage,
}

/// See the module's page.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Heirs {
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
    pub(crate) learnt: BTreeMap<Key, (WallMs, Fate)>,
    pub(crate) learnt_bytes: usize,
    /// Gateways of which we ask whether anybody holds anything: those yet to answer.
    pub(crate) asked: BTreeMap<MemberId, BTreeSet<MemberId>>,
    /// Events that are out to workers here.
    pub(crate) out: usize,
    /// The ration: a thousandth of an event each, and when it was filled last.
    pub(crate) ration: u64,
    pub(crate) filled: Micros,
    pub(crate) again: Micros,
    pub(crate) named: BTreeSet<Gone>,
    pub(crate) counted: Counted,
    pub(crate) planted: Option<Planted>,
}

impl Event {
    /// Whether another's line of it was written by a later heir, which knew how it stood.
    pub(crate) fn is_older_than(&self, line: (Source, u64, u64)) -> bool {
        let heirs = self.heirs.iter().copied().chain(match self.stage {
            Stage::Theirs(of) => Some(of),
            _ => None,
        });
        let heirs: Vec<MemberId> = heirs.collect();
        let at = |source: Source| (heirs.iter().rposition(|heir| *heir == source.gateway), source.life);
        at(line.0).0.is_some() && at(line.0) > at(self.line.0)
    }

    pub(crate) fn follows(&mut self, line: (Source, u64, u64), sent: Sent) {
        (self.line, self.sent, self.stage) = (line, sent, Stage::Open);
        self.reached.clear();
    }
}

pub(crate) fn rank(key: Key, of: MemberId) -> (u64, MemberId) {
    (xxh3_64_with_seed(&key.0.to_le_bytes(), u64::from(of)), of)
}

impl Heirs {
    /// Nobody is lost.
    pub fn new(settings: &HeirsSettings, now: Micros) -> Self {
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
            counted: Counted::default(),
            planted: None,
        }
    }

    #[doc(hidden)]
    pub fn plant(&mut self, planted: Planted) {
        self.planted = Some(planted);
    }

    /// How events have ended here.
    pub fn counted(&self) -> Counted {
        self.counted
    }

    /// Events that are not over, ours and others'.
    pub fn pending(&self) -> usize {
        self.events.values().filter(|event| !matches!(event.stage, Stage::Over(..))).count()
    }

    /// What the load allows: so many a second, and so many out at once.
    pub fn set_ration(&mut self, rate: u32, most: usize) {
        (self.rate, self.most) = (rate, most);
    }

    /// What is known of an event that was a lost gateway's.
    pub fn fate(&self, key: Key) -> Option<Fate> {
        let held = self.events.get(&key).map(|event| self.fate_of(event));
        held.or_else(|| self.learnt.get(&key).map(|(_, fate)| fate.clone()))
    }

    pub(crate) fn fate_of(&self, event: &Event) -> Fate {
        match &event.stage {
            Stage::Open | Stage::Claiming(_) => Fate::Open,
            Stage::Ready | Stage::Out => Fate::By(self.own),
            Stage::Theirs(of) => Fate::By(*of),
            Stage::Over(outcome, answer) => Fate::Ended(*outcome, answer.clone()),
        }
    }

    /// A client repeats it here, and waits.
    pub fn waits_for(&mut self, key: Key) {
        self.events.get_mut(&key).into_iter().for_each(|event| event.waited = true);
    }

    /// These lives of a gateway and all before them are over, and what we promised to it has run out: what it had
    /// pending is its heirs'. `copies` is all that we hold of its journals. `away`: it is lost by a permit, and not
    /// asked until [`Heirs::back`]; where it is not, a later life of it has told so itself.
    pub fn begin(&mut self, now: Micros, of: MemberId, life: u64, away: bool, copies: Vec<Copy>) {
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
                Stage::Theirs(by) if *by == of => {
                    event.lost.insert(site);
                    event.heirs.retain(|heir| *heir != of);
                    event.heirs.push(of);
                    event.stage = Stage::Open;
                }
                Stage::Claiming(left) if away => _ = left.remove(&of),
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
                Stage::Out => (event.stage, event.sent) = (Stage::Open, Sent::Unknown),
                Stage::Claiming(_) | Stage::Ready => event.stage = Stage::Open,
                Stage::Open | Stage::Theirs(_) | Stage::Over(..) => {}
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

    pub(crate) fn name(&mut self, gone: Gone, out: &mut Vec<Heir>) {
        if self.named.insert(gone) {
            self.counted.gone += 1;
            out.push(Heir::Gone(gone));
        }
    }

    fn fold(&mut self, now: Micros, copy: Copy) {
        let source = copy.source;
        self.reach.insert(source, (copy.through, copy.head));
        let (heard, site) = (now.saturating_sub(copy.unheard), self.site(source.gateway));
        for Entry { number, chain, step, .. } in copy.entries {
            match step {
                Step::Accepted(accepted) => {
                    let fresh = Event {
                        line: (source, number, chain),
                        sent: Sent::Never,
                        waited: false,
                        heard,
                        lost: BTreeSet::new(),
                        heirs: Vec::new(),
                        holders: BTreeSet::new(),
                        upto: (0, 0),
                        torn: false,
                        reached: BTreeSet::new(),
                        stage: Stage::Open,
                        accepted,
                    };
                    let line = fresh.line;
                    let event = self.events.entry(fresh.accepted.key).or_insert(fresh);
                    if event.is_older_than(line) {
                        event.follows(line, Sent::Never);
                    }
                    event.heard = event.heard.max(heard);
                    event.lost.insert(site);
                }
                Step::Sending { key, at, .. } => {
                    let event = self.events.get_mut(&key).into_iter();
                    event.for_each(|event| event.sent = event.sent.and(Sent::At(at)));
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
            Stage::Over(Outcome::Failed, _) if outcome == Outcome::Served => {}
            Stage::Over(..) => return,
            Stage::Out => *slots -= 1,
            _ => {}
        }
        event.stage = Stage::Over(outcome, answer);
    }

    /// An event that we adopted has ended.
    pub fn over(&mut self, key: Key, outcome: Outcome, answer: Vec<u8>, out: &mut Vec<Heir>) {
        let Some(event) = self.events.get_mut(&key) else { return };
        Self::close(event, &mut self.out, outcome, answer.clone());
        let told = event.holders.iter().filter(|of| !self.away.contains(of));
        out.extend(told.map(|to| Heir::Send(*to, Word::Over(vec![(key, outcome, answer.clone())]))));
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Micros, wall: WallMs, out: &mut Vec<Heir>) {
        if now >= self.again {
            self.again = now + AGAIN;
            self.claim(out);
            self.ask_held(out);
        }
        self.settle(out);
        self.act(now, wall, out);
        let (remember, slack) = (self.remember, self.slack);
        self.events.retain(|_, event| match event.stage {
            Stage::Over(..) | Stage::Theirs(_) => {
                wall < event.accepted.deadline.saturating_add(remember + slack)
            }
            _ => true,
        });
        let over =
            |_: &Key, (deadline, _): &mut (WallMs, Fate)| wall >= deadline.saturating_add(remember + slack);
        for (_, (_, fate)) in self.learnt.extract_if(.., over) {
            self.learnt_bytes -= fate.answer_bytes();
        }
        let open = self.events.values().any(|event| matches!(event.stage, Stage::Open | Stage::Claiming(_)));
        if !open && self.asked.is_empty() {
            self.again = Micros::MAX;
        }
    }

    /// When [`Heirs::wake`] is due.
    pub fn next_due(&self, now: Micros) -> Micros {
        let ready = self.out < self.most && self.events.values().any(|event| event.stage == Stage::Ready);
        let ration = 1_000_000 / u64::from(self.rate.max(1));
        let ready = ready.then_some(now + ration.min(AGAIN));
        let over =
            self.events.values().any(|event| matches!(event.stage, Stage::Over(..) | Stage::Theirs(_)));
        let over = over.then_some(now + 1_000_000);
        ready.into_iter().chain(over).fold(self.again, Micros::min)
    }

    fn claim(&mut self, out: &mut Vec<Heir>) {
        let peers = self.peers();
        let claiming = self.events.values().filter(|event| matches!(event.stage, Stage::Claiming(_))).count();
        let open = self.events.values_mut().filter(|event| event.stage == Stage::Open);
        for event in open.take(CLAIMS - claiming.min(CLAIMS)) {
            let left =
                if self.planted == Some(Planted::AsksNobody) { BTreeSet::new() } else { peers.clone() };
            event.reached.clear();
            let lacks = |(of, (through, head)): (&Source, &(u64, u64))| *of != event.line.0 && head > through;
            event.torn = self.reach.iter().any(lacks);
            event.upto = self.reach.get(&event.line.0).copied().unwrap_or((0, 0));
            event.stage = Stage::Claiming(left);
        }
        let mut words: BTreeMap<MemberId, Vec<(Key, Source, u64)>> = BTreeMap::new();
        for (key, event) in &self.events {
            if let Stage::Claiming(left) = &event.stage {
                left.iter()
                    .for_each(|of| words.entry(*of).or_default().push((*key, event.line.0, event.line.1)));
            }
        }
        for (to, keys) in words {
            out.extend(keys.chunks(BATCH).map(|keys| Heir::Send(to, Word::Claim(keys.to_vec()))));
        }
    }

    fn ask_held(&mut self, out: &mut Vec<Heir>) {
        let none: Vec<MemberId> =
            self.asked.iter().filter(|(_, left)| left.is_empty()).map(|(of, _)| *of).collect();
        for of in none {
            self.asked.remove(&of);
            let source_of = Source { gateway: of, life: self.begun.get(&of).copied().unwrap_or(0) };
            self.name(Gone { source_of, from: 1, to: None, why: Why::Unheld }, out);
        }
        for (of, left) in &self.asked {
            let life = self.begun.get(of).copied().unwrap_or(0);
            out.extend(left.iter().map(|to| Heir::Send(*to, Word::Holds(*of, life))));
        }
    }

    /// Claims to which all have answered.
    fn settle(&mut self, out: &mut Vec<Heir>) {
        let mut gone = Vec::new();
        let away: Vec<(MemberId, Site)> = self.away.iter().map(|of| (*of, self.site(*of))).collect();
        for event in self.events.values_mut() {
            if !matches!(&event.stage, Stage::Claiming(left) if left.is_empty()) {
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
                gone.push(Gone { source_of: source, from: through + 1, to: Some(head), why: Why::Missing });
            }
            let missed = few
                || head > through
                || (event.torn && !event.heirs.is_empty())
                || away.iter().any(|(_, site)| !event.lost.contains(site));
            if missed && self.planted != Some(Planted::AsksNobody) {
                event.sent = Sent::Unknown;
            }
            event.stage = Stage::Ready;
        }
        gone.into_iter().for_each(|gone| self.name(gone, out));
    }

    /// Ends what is ready, nearest deadline first; workers are asked under the ration.
    fn act(&mut self, now: Micros, wall: WallMs, out: &mut Vec<Heir>) {
        let gained = now.saturating_sub(self.filled).saturating_mul(u64::from(self.rate)) / 1_000;
        // What was not used in the last tenth of a second is gone: a ration has no waves.
        let full = (u64::from(self.rate) * 100).max(1_000);
        if gained > 0 {
            (self.ration, self.filled) = ((self.ration + gained).min(full), now);
        }
        let ready = self.events.iter().filter(|(_, event)| event.stage == Stage::Ready);
        let mut ready: Vec<(WallMs, Key)> =
            ready.map(|(key, event)| (event.accepted.deadline, *key)).collect();
        ready.sort_unstable();
        for (_, key) in ready {
            let Some(event) = self.events.get_mut(&key) else { continue };
            let accepted = &event.accepted;
            let sent = if self.planted == Some(Planted::RunsWhatWasSent) { Sent::Never } else { event.sent };
            let case = Case {
                again: accepted.again,
                owed: accepted.owed,
                waited: event.waited,
                deadline: accepted.deadline,
                sent,
                ended: None,
            };
            let how = end(wall, self.slack, &case);
            if let Some(outcome) = how.outcome() {
                match how {
                    End::MayHaveRun => self.counted.may_have_run += 1,
                    End::LetGo => self.counted.let_go += 1,
                    _ => self.counted.closed += 1,
                }
                out.push(Heir::Told { key, end: how, outcome, answer: Vec::new() });
                self.over(key, outcome, Vec::new(), out);
                continue;
            }
            if self.out >= self.most || self.ration < 1_000 {
                continue;
            }
            match how {
                End::Run => self.counted.run += 1,
                End::RunAgain => self.counted.again += 1,
                _ => self.counted.same_key += 1,
            }
            (self.out, self.ration, event.stage) = (self.out + 1, self.ration - 1_000, Stage::Out);
            let first = if let Sent::At(first) = event.sent { Some(first) } else { None };
            out.push(Heir::Adopt { accepted: event.accepted.clone(), first, end: how });
        }
    }
}
