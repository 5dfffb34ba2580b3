//! What a gateway does with what lost ones had pending. Each event of theirs that we hold is claimed of every fellow
//! that is not lost itself: whoever answers says what it knows, and does nothing of its own with that event. Of several
//! that hold an event the one of the highest rank claims it; once all have answered it ends by [`crate::end`], under a
//! ration. What is missing is named, and counts as if it spoke of a first byte.

use crate::ends::{Case, End, Sent, end};
use crate::types::{Accepted, Entry, Key, Outcome, Source, Step, WallMs};
use crate::words::{Copy, Counted, Fate, Gone, Heir, HeirsSettings, Say, Stand, Why, Word};
use basaltward_fleet::{Micros, Number, Site};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Keys in a word, at most, and bytes of answers in one.
const BATCH: usize = 256;
const BYTES: usize = 48 << 10;
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
enum Stage {
    Open,
    Claiming(BTreeSet<Number>),
    Ready,
    Out,
    Theirs(Number),
    Over(Outcome, Vec<u8>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Event {
    accepted: Accepted,
    line: (Source, u64, u64),
    sent: Sent,
    waited: bool,
    /// When its owner was last heard.
    heard: Micros,
    /// Sites of those that had it and are lost: nobody there could say more than their journals.
    lost: BTreeSet<Site>,
    /// Who else holds it.
    holders: BTreeSet<Number>,
    stage: Stage,
}

/// See the module's page.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Heirs {
    own: Number,
    sites: Vec<Site>,
    slack: WallMs,
    most: usize,
    rate: u32,
    remember: WallMs,
    start: Micros,
    /// Lives up to this one of a gateway are over.
    begun: BTreeMap<Number, u64>,
    /// Gateways that are not asked, as they are lost by a permit.
    away: BTreeSet<Number>,
    /// Journals of lost gateways of which our copy lacks something.
    torn: BTreeSet<Source>,
    events: BTreeMap<Key, Event>,
    /// What we were told of events that earlier lives of ours had pending, with their deadlines.
    learnt: BTreeMap<Key, (WallMs, Fate)>,
    /// Gateways of which we ask whether anybody holds anything: those yet to answer.
    asked: BTreeMap<Number, BTreeSet<Number>>,
    /// Events that are out to workers here.
    out: usize,
    /// The ration: a thousandth of an event each, and when it was filled last.
    ration: u64,
    filled: Micros,
    again: Micros,
    named: BTreeSet<Gone>,
    counted: Counted,
    planted: Option<Planted>,
}

fn rank(key: Key, of: Number) -> (u64, Number) {
    (xxh3_64_with_seed(&key.0.to_le_bytes(), u64::from(of)), of)
}

impl Heirs {
    /// Nobody is lost.
    pub fn new(settings: &HeirsSettings, now: Micros) -> Self {
        let places = &settings.places;
        Self {
            own: places.own(),
            sites: (0..places.len() as Number).filter_map(|of| places.site(of)).collect(),
            slack: settings.slack,
            most: settings.most,
            rate: settings.rate,
            remember: settings.remember,
            start: now,
            begun: BTreeMap::from([(places.own(), settings.life.saturating_sub(1))]),
            away: BTreeSet::new(),
            torn: BTreeSet::new(),
            events: BTreeMap::new(),
            learnt: BTreeMap::new(),
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

    fn fate_of(&self, event: &Event) -> Fate {
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
    pub fn begin(
        &mut self,
        now: Micros,
        of: Number,
        life: u64,
        away: bool,
        copies: Vec<Copy>,
        out: &mut Vec<Heir>,
    ) {
        let known = self.begun.entry(of).or_insert(life);
        *known = life.max(*known);
        if away {
            self.away.insert(of);
            self.asked.values_mut().for_each(|left| _ = left.remove(&of));
            if copies.is_empty() {
                self.asked.insert(of, self.fellows());
            }
        }
        for copy in copies {
            self.fold(now, copy, out);
        }
        let site = self.site(of);
        for event in self.events.values_mut() {
            match &mut event.stage {
                // It stands where its journal says: whoever holds that tells it with the next claim.
                Stage::Theirs(by) if *by == of => {
                    event.lost.insert(site);
                    event.stage = Stage::Open;
                }
                Stage::Claiming(left) if away => _ = left.remove(&of),
                _ => {}
            }
        }
        self.again = now;
    }

    /// It takes part again.
    pub fn back(&mut self, of: Number) {
        self.away.remove(&of);
    }

    fn site(&self, of: Number) -> Site {
        self.sites.get(usize::from(of)).copied().unwrap_or_default()
    }

    fn fellows(&self) -> BTreeSet<Number> {
        let all = 0..self.sites.len() as Number;
        all.filter(|of| *of != self.own && !self.away.contains(of)).collect()
    }

    fn name(&mut self, gone: Gone, out: &mut Vec<Heir>) {
        if self.named.insert(gone) {
            self.counted.gone += 1;
            out.push(Heir::Gone(gone));
        }
    }

    fn fold(&mut self, now: Micros, copy: Copy, out: &mut Vec<Heir>) {
        let source = copy.source;
        if copy.head > copy.through {
            self.torn.insert(source);
            let (from, to) = (copy.through + 1, Some(copy.head));
            self.name(Gone { source_of: source, from, to, why: Why::Missing }, out);
        }
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
                        holders: BTreeSet::new(),
                        stage: Stage::Open,
                        accepted,
                    };
                    let event = self.events.entry(fresh.accepted.key).or_insert(fresh);
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
        let torn = self.torn.contains(&source);
        let of_it = self.events.values_mut().filter(|event| event.line.0 == source && torn);
        of_it.for_each(|event| event.sent = Sent::Unknown);
    }

    fn close(event: &mut Event, slots: &mut usize, outcome: Outcome, answer: Vec<u8>) {
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

    /// Another gateway's word. `copies` gives all that we hold of a gateway's journals, up to a life.
    pub fn word(
        &mut self,
        now: Micros,
        from: Number,
        word: Word,
        copies: impl Fn(Number, u64) -> Vec<Copy>,
        out: &mut Vec<Heir>,
    ) {
        match word {
            Word::Claim(keys) => {
                let says: Vec<Say> =
                    keys.into_iter().filter_map(|(key, source)| self.claimed(from, key, source)).collect();
                let age = now.saturating_sub(self.start);
                for says in
                    pieces(says, |say| matches!(&say.stand, Stand::Ended(_, answer) if !answer.is_empty()))
                {
                    out.push(Heir::Send(from, Word::Says { age, says }));
                }
            }
            Word::Says { age, says } => says.into_iter().for_each(|say| self.said(now, from, age, say, out)),
            Word::Over(ends) => {
                for (key, outcome, answer) in ends {
                    if let Some((_, fate)) =
                        self.learnt.get_mut(&key).filter(|(_, fate)| *fate == Fate::By(from))
                    {
                        *fate = Fate::Ended(outcome, answer.clone());
                    }
                    let theirs = |event: &&mut Event| event.stage == Stage::Theirs(from);
                    if let Some(event) = self.events.get_mut(&key).filter(theirs) {
                        Self::close(event, &mut self.out, outcome, answer);
                    }
                }
            }
            Word::Holds(of) => {
                if let Some(life) = self.begun.get(&of) {
                    let any = !copies(of, *life).is_empty();
                    out.push(Heir::Send(from, Word::Held(of, any)));
                }
            }
            Word::Held(of, true) => _ = self.asked.remove(&of),
            Word::Held(of, false) => {
                self.asked.get_mut(&of).into_iter().for_each(|left| _ = left.remove(&from));
            }
            Word::Back { life, after } => self.tell_back(now, from, life, after, copies, out),
            Word::Did { life, fates, more } => self.learn(from, life, fates, more, out),
        }
    }

    /// What we answer a claim, and what we are bound by from then on.
    fn claimed(&mut self, from: Number, key: Key, source: Source) -> Option<Say> {
        if self.begun.get(&source.gateway).is_none_or(|life| *life < source.life) {
            return None;
        }
        // It might stand in what our copy lacks.
        let unsure = if self.torn.is_empty() { Sent::Never } else { Sent::Unknown };
        let Some(event) = self.events.get_mut(&key) else {
            return Some(Say { key, stand: Stand::Yours, sent: unsure, line: None });
        };
        event.holders.insert(from);
        let ours = match event.stage {
            Stage::Ready | Stage::Out => true,
            Stage::Open | Stage::Claiming(_) => rank(key, self.own) > rank(key, from),
            Stage::Theirs(_) | Stage::Over(..) => false,
        };
        let stand = match &event.stage {
            Stage::Over(outcome, answer) => Stand::Ended(*outcome, answer.clone()),
            _ if ours => Stand::Mine,
            _ => {
                event.stage = Stage::Theirs(from);
                Stand::Yours
            }
        };
        Some(Say { key, stand, sent: event.sent.and(unsure), line: Some(event.line) })
    }

    fn said(&mut self, now: Micros, from: Number, age: Micros, say: Say, out: &mut Vec<Heir>) {
        let Some(event) = self.events.get_mut(&say.key) else { return };
        if !matches!(&event.stage, Stage::Claiming(left) if left.contains(&from)) {
            return;
        }
        // One that began after its owner was last heard may have forgotten what it held; clocks differ by a tenth.
        if age < now.saturating_sub(event.heard).saturating_mul(5) / 4 {
            event.sent = Sent::Unknown;
        }
        event.sent = event.sent.and(say.sent);
        let (own, mut contradicted) = (event.line, None);
        if let Some((source, number, chain)) = say.line {
            event.holders.insert(from);
            if (source, number) == (own.0, own.1) && chain != own.2 {
                event.sent = Sent::Unknown;
                contradicted =
                    Some(Gone { source_of: source, from: number, to: Some(number), why: Why::Contradicted });
            }
        }
        match say.stand {
            Stand::Yours => {
                if let Stage::Claiming(left) = &mut event.stage {
                    left.remove(&from);
                }
            }
            Stand::Mine => event.stage = Stage::Theirs(from),
            Stand::Ended(outcome, answer) => Self::close(event, &mut self.out, outcome, answer),
        }
        contradicted.into_iter().for_each(|gone| self.name(gone, out));
    }

    /// A later life of a gateway asks: from here on its earlier ones are over, and all that they had pending is told.
    fn tell_back(
        &mut self,
        now: Micros,
        from: Number,
        life: u64,
        after: Option<Key>,
        copies: impl Fn(Number, u64) -> Vec<Copy>,
        out: &mut Vec<Heir>,
    ) {
        if self.begun.get(&from).is_none_or(|begun| *begun < life) {
            self.begin(now, from, life, false, copies(from, life), out);
        }
        let of_it = |event: &Event| event.line.0.gateway == from && event.line.0.life <= life;
        // Whoever does one of them tells the asker how it ends.
        let all = self.events.values_mut().filter(|event| of_it(event));
        all.for_each(|event| _ = event.holders.insert(from));
        let later = |key: &Key| after.is_none_or(|after| *key > after);
        let rest = self.events.iter().filter(|(key, event)| later(key) && of_it(event));
        let (mut fates, mut bytes, mut more) = (Vec::<(Key, WallMs, Fate)>::new(), 0, None);
        for (key, event) in rest {
            let fate = self.fate_of(event);
            bytes += if let Fate::Ended(_, answer) = &fate { answer.len() } else { 0 };
            if fates.len() == BATCH || (bytes > BYTES && !fates.is_empty()) {
                more = fates.last().map(|(key, ..)| *key);
                break;
            }
            fates.push((*key, event.accepted.deadline, fate));
        }
        out.push(Heir::Send(from, Word::Did { life, fates, more }));
    }

    /// What others did in our place, for repeats: an end goes before who does it, and that before nobody yet.
    fn learn(
        &mut self,
        from: Number,
        life: u64,
        fates: Vec<(Key, WallMs, Fate)>,
        more: Option<Key>,
        out: &mut Vec<Heir>,
    ) {
        out.push(match more {
            Some(_) => Heir::Send(from, Word::Back { life, after: more }),
            None => Heir::Learnt(from),
        });
        for (key, deadline, fate) in fates {
            let known = self.learnt.entry(key).or_insert((deadline, Fate::Open));
            let later = match (&known.1, &fate) {
                (Fate::Ended(..), _) | (_, Fate::Open) => false,
                (Fate::Open, _) | (_, Fate::Ended(..)) => true,
                // Whoever does it says so itself.
                (Fate::By(_), Fate::By(of)) => *of == from,
            };
            if later {
                known.1 = fate;
            }
        }
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Micros, wall: WallMs, out: &mut Vec<Heir>) {
        if now >= self.again {
            self.again = now + AGAIN;
            self.claim(out);
            self.ask_held(out);
        }
        self.settle();
        self.act(now, wall, out);
        let (remember, slack) = (self.remember, self.slack);
        self.events.retain(|_, event| match event.stage {
            Stage::Over(..) | Stage::Theirs(_) => {
                wall < event.accepted.deadline.saturating_add(remember + slack)
            }
            _ => true,
        });
        self.learnt.retain(|_, (deadline, _)| wall < deadline.saturating_add(remember + slack));
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
        let fellows = self.fellows();
        let claiming = self.events.values().filter(|event| matches!(event.stage, Stage::Claiming(_))).count();
        let open = self.events.values_mut().filter(|event| event.stage == Stage::Open);
        for event in open.take(CLAIMS - claiming.min(CLAIMS)) {
            let left =
                if self.planted == Some(Planted::AsksNobody) { BTreeSet::new() } else { fellows.clone() };
            event.stage = Stage::Claiming(left);
        }
        let mut words: BTreeMap<Number, Vec<(Key, Source)>> = BTreeMap::new();
        for (key, event) in &self.events {
            if let Stage::Claiming(left) = &event.stage {
                left.iter().for_each(|of| words.entry(*of).or_default().push((*key, event.line.0)));
            }
        }
        for (to, keys) in words {
            out.extend(keys.chunks(BATCH).map(|keys| Heir::Send(to, Word::Claim(keys.to_vec()))));
        }
    }

    fn ask_held(&mut self, out: &mut Vec<Heir>) {
        let none: Vec<Number> =
            self.asked.iter().filter(|(_, left)| left.is_empty()).map(|(of, _)| *of).collect();
        for of in none {
            self.asked.remove(&of);
            let source_of = Source { gateway: of, life: self.begun.get(&of).copied().unwrap_or(0) };
            self.name(Gone { source_of, from: 1, to: None, why: Why::Unheld }, out);
        }
        for (of, left) in &self.asked {
            out.extend(left.iter().map(|to| Heir::Send(*to, Word::Holds(*of))));
        }
    }

    /// Claims to which all have answered.
    fn settle(&mut self) {
        let away: Vec<(Number, Site)> = self.away.iter().map(|of| (*of, self.site(*of))).collect();
        for event in self.events.values_mut() {
            if !matches!(&event.stage, Stage::Claiming(left) if left.is_empty()) {
                continue;
            }
            // One that is lost as well might have known of a first byte.
            if away.iter().any(|(_, site)| !event.lost.contains(site)) {
                event.sent = Sent::Unknown;
            }
            event.stage = Stage::Ready;
        }
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

/// Pieces of at most [`BATCH`], those with answers alone.
fn pieces(says: Vec<Say>, alone: impl Fn(&Say) -> bool) -> Vec<Vec<Say>> {
    let mut pieces: Vec<Vec<Say>> = Vec::new();
    let mut room = 0;
    for say in says {
        if room == 0 || alone(&say) {
            pieces.push(Vec::new());
            room = BATCH;
        }
        room = if alone(&say) { 0 } else { room - 1 };
        pieces.last_mut().into_iter().for_each(|piece| piece.push(say.clone()));
    }
    pieces
}
