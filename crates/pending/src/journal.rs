//! The writer's side: what this gateway's loops say is written, numbered and chained, sent to the holders, and counts
//! as held once as many as the event's class wants have acknowledged it. What has ended is let go of; what is pending
//! when a holder falls away is sent to another.

mod replication;

use crate::entry::{ORIGIN, StoredEntry};
use crate::error::{JournalFault, ReplicationError};
use crate::holder_progress::HolderProgress;
use crate::interface::{Output, PendingSettings};
use crate::lease::{Lease, LeaseTerms};
use crate::types::{Key, Outcome, RepeatSafety, Source, Step, WallMs};
use crate::wire::{Ack, RejectReason, Release};
use basaltward_membership::{MemberId, Micros};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One that was in doubt is not chosen again for so long, if there are others.
const DOUBT: Micros = 10_000_000;

/// An event that is pending here.
#[derive(Debug)]
struct Event {
    need: u8,
    again: RepeatSafety,
    deadline: WallMs,
    /// Until when something depends on what became of it.
    until: WallMs,
    numbers: Vec<u64>,
}

/// Who waits for a line to be held.
#[derive(Debug)]
struct Wait {
    number: u64,
    key: Key,
    since: Micros,
    /// The attempt that waits; the event itself where there is none.
    attempt: Option<u32>,
}

/// What a journal has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JournalCounts {
    /// Lines written.
    pub lines: u64,
    /// Frames with lines sent, and their bytes.
    pub sent: (u64, u64),
    /// Events and attempts that were held in time.
    pub held: u64,
    /// Those that were not.
    pub unheld: u64,
    /// Holders that fell away and were replaced.
    pub replaced: u64,
}

/// The journal of this life of this gateway.
#[derive(Debug)]
pub struct Journal {
    settings: PendingSettings,
    source: Source,
    /// The number of the first line that is kept, and the chain before it.
    first: u64,
    before: u64,
    lines: VecDeque<StoredEntry>,
    events: BTreeMap<Key, Event>,
    /// Lines with their bytes, by when nothing depends on them.
    due: BTreeSet<(WallMs, u64)>,
    /// Ends with their bytes, and what they cost.
    ends: BTreeSet<u64>,
    ends_bytes: usize,
    bytes: usize,
    waits: BTreeMap<u8, VecDeque<Wait>>,
    /// Attempts that are held and wait for a lease.
    unleased: Vec<Wait>,
    neighbours: Vec<HolderProgress>,
    lease: Lease,
    /// Events of lost owners that are done here next, each with when it was first sent.
    adopted: BTreeMap<Key, Option<WallMs>>,
    /// Those let go of, who have not said yet that they did, each with the number of the last line then.
    retired: BTreeMap<MemberId, (u64, Release)>,
    /// The turns that they had come to.
    turns: BTreeMap<MemberId, u32>,
    lives: BTreeMap<MemberId, u64>,
    live: Vec<bool>,
    doubted: BTreeMap<MemberId, Micros>,
    call: Micros,
    unsent: bool,
    counted: JournalCounts,
}

impl Journal {
    /// An empty one.
    pub fn new(settings: PendingSettings) -> Self {
        let source = Source { gateway: settings.site_map.own(), life: settings.life };
        Self {
            source,
            first: 1,
            before: ORIGIN,
            lines: VecDeque::new(),
            events: BTreeMap::new(),
            due: BTreeSet::new(),
            ends: BTreeSet::new(),
            ends_bytes: 0,
            bytes: 0,
            waits: BTreeMap::new(),
            unleased: Vec::new(),
            neighbours: Vec::new(),
            lease: Lease::new(LeaseTerms::new(settings.lease)),
            adopted: BTreeMap::new(),
            retired: BTreeMap::new(),
            turns: BTreeMap::new(),
            lives: BTreeMap::new(),
            live: vec![false; settings.site_map.len()],
            doubted: BTreeMap::new(),
            call: 0,
            unsent: false,
            counted: JournalCounts::default(),
            settings,
        }
    }

    /// Whose it is.
    pub fn source(&self) -> Source {
        self.source
    }

    /// What it has counted.
    pub fn counted(&self) -> JournalCounts {
        self.counted
    }

    /// Bytes of its lines, and how many there are.
    pub fn size(&self) -> (usize, usize) {
        (self.bytes, self.lines.len())
    }

    /// Its holders, each with the number up to which it has acknowledged.
    pub fn holders(&self) -> impl Iterator<Item = (MemberId, u64)> {
        self.neighbours.iter().map(|one| (one.of, one.acked))
    }

    fn last(&self) -> u64 {
        self.first + self.lines.len() as u64 - 1
    }

    fn line(&mut self, number: u64) -> Option<&mut StoredEntry> {
        self.lines.get_mut(number.checked_sub(self.first)? as usize)
    }

    fn chain_at(&self, number: u64) -> u64 {
        let at = number.checked_sub(self.first);
        at.and_then(|at| self.lines.get(at as usize)).map_or(self.before, |line| line.chain)
    }

    /// Writes what a loop says.
    pub fn write(&mut self, now: Micros, wall: WallMs, step: Step, out: &mut Vec<Output>) {
        match step {
            Step::Accepted(accepted) => {
                let (key, deadline) = (accepted.key, accepted.deadline);
                let wants = self.settings.holders.get(usize::from(accepted.class)).copied().unwrap_or(0);
                let long = accepted.event.len() + accepted.function.len();
                // Its owner's site is lost, so that there may be fewer who could hold it: it is owed all the same, and
                // may be done again if we are lost as well.
                let spared = self.adopted.contains_key(&key) && accepted.repeat_safety != RepeatSafety::Unsafe;
                let need = if spared { wants.min(self.candidates().count() as u8) } else { wants };
                let why = self.refusal(need, accepted.class, key, long);
                if let Some(why) = why.filter(|why| !spared || !matches!(why, ReplicationError::Class(_))) {
                    self.counted.unheld += 1;
                    return out.push(Output::NotReplicated { key, why });
                }
                let event =
                    Event { need, again: accepted.repeat_safety, deadline, until: deadline, numbers: Vec::new() };
                self.events.insert(key, event);
                self.append(now, key, deadline, Step::Accepted(accepted), Some(None));
            }
            Step::Sending { key, attempt, worker, at } => {
                let Some(event) = self.events.get_mut(&key) else {
                    return out.push(Output::SendDenied { key, attempt, why: ReplicationError::Unknown(key) });
                };
                if let RepeatSafety::Keyed { window } = event.again
                    && event.until == event.deadline
                {
                    let first = self.adopted.get(&key).copied().flatten().unwrap_or(at);
                    event.until = event.deadline.max(first + window / 1_000);
                }
                let (until, most) = (event.until, self.settings.journal_bytes);
                if self.bytes + worker.len() > most || worker.len() > self.settings.entry_bytes {
                    let why = ReplicationError::Full { held: self.bytes, most };
                    return out.push(Output::SendDenied { key, attempt, why });
                }
                self.append(now, key, until, Step::Sending { key, attempt, worker, at }, Some(Some(attempt)));
            }
            Step::Ended { key, outcome, answer } => self.end(now, key, outcome, answer),
        }
        self.let_go(wall);
    }

    fn refusal(&self, need: u8, class: u16, key: Key, bytes: usize) -> Option<ReplicationError> {
        let live = self.candidates().count();
        // What is pending has to find room for its next steps and its end.
        let most = self.settings.journal_bytes - self.settings.journal_bytes / 8;
        if self.events.contains_key(&key) {
            Some(ReplicationError::Doubled(key))
        } else if bytes > self.settings.entry_bytes {
            Some(ReplicationError::Long { bytes, most: self.settings.entry_bytes })
        } else if self.bytes + bytes > most {
            Some(ReplicationError::Full { held: self.bytes, most })
        } else if need == 0 {
            Some(ReplicationError::Class(class))
        } else if live < usize::from(need) {
            Some(ReplicationError::Few { told: need, live: live as u8 })
        } else {
            None
        }
    }

    fn candidates(&self) -> impl Iterator<Item = MemberId> {
        let (places, live) = (&self.settings.site_map, &self.live);
        let numbers =
            (0..places.len() as MemberId).filter(|of| places.site_of(*of) != Some(places.own_site()));
        numbers.filter(|of| live.get(usize::from(*of)) == Some(&true))
    }

    fn append(&mut self, now: Micros, key: Key, until: WallMs, step: Step, waits: Option<Option<u32>>) {
        let (number, before) = (self.last() + 1, self.chain_at(self.last()));
        let until = until.saturating_add(self.settings.retention_ms);
        let Some(line) = StoredEntry::new(before, self.source, number, until, step) else { return };
        self.bytes += line.cost();
        self.lines.push_back(line);
        self.due.insert((until, number));
        self.counted.lines += 1;
        self.unsent = true;
        let Some(event) = self.events.get_mut(&key) else { return };
        event.numbers.push(number);
        if let Some(attempt) = waits {
            let wait = Wait { number, key, since: now, attempt };
            self.waits.entry(event.need).or_default().push_back(wait);
        }
        self.neighbours.iter_mut().for_each(|one| one.owes(now));
    }

    fn end(&mut self, now: Micros, key: Key, outcome: Outcome, mut answer: Vec<u8>) {
        let Some(event) = self.events.get(&key) else { return };
        let (until, quarter) = (event.until, self.settings.journal_bytes / 4);
        if answer.len() > self.settings.entry_bytes || self.bytes + answer.len() > self.settings.journal_bytes {
            answer = Vec::new();
        }
        self.append(now, key, until, Step::Ended { key, outcome, answer }, None);
        self.adopted.remove(&key);
        let Some(event) = self.events.remove(&key) else { return };
        let Some((end, others)) = event.numbers.split_last() else { return };
        others.iter().for_each(|number| self.hollow(*number));
        self.ends.insert(*end);
        self.ends_bytes += self.line(*end).map_or(0, |line| line.cost());
        while self.ends_bytes > quarter
            && let Some(oldest) = self.ends.pop_first()
        {
            self.ends_bytes -= self.line(oldest).map_or(0, |line| line.cost());
            self.hollow(oldest);
        }
    }

    fn hollow(&mut self, number: u64) {
        let Some(line) = self.line(number) else { return };
        let until = line.until();
        let freed = line.hollow();
        self.bytes -= freed;
        until.into_iter().for_each(|until| _ = self.due.remove(&(until, number)));
    }

    /// Lets go of what nothing depends on any more.
    fn let_go(&mut self, wall: WallMs) {
        while let Some((until, number)) = self.due.first().copied()
            && until < wall
        {
            let said = self.line(number).and_then(|line| line.read());
            match said.map(|(_, step)| step) {
                // Its loop has said nothing of its end until long after its deadline.
                Some(Step::Accepted(accepted)) => _ = self.events.remove(&accepted.key),
                Some(Step::Ended { .. }) => {
                    self.ends_bytes -= self.line(number).map_or(0, |line| line.cost());
                    self.ends.remove(&number);
                }
                Some(Step::Sending { .. }) | None => {}
            }
            self.hollow(number);
            self.due.remove(&(until, number));
        }
        while let Some(line) = self.lines.front()
            && line.bytes.is_none()
        {
            (self.before, self.first) = (line.chain, self.first + 1);
            self.bytes -= line.cost();
            self.lines.pop_front();
        }
    }

    /// An event whose owner was lost is done here next; whether it was sent before.
    pub fn adopts(&mut self, key: Key, first: Option<WallMs>) {
        self.adopted.insert(key, first);
    }

    /// What is pending here is others' now: another journal begins, as if with another life.
    pub fn lose(&mut self, now: Micros, out: &mut Vec<Output>) {
        let mut settings = self.settings.clone();
        settings.life = self.source.life + 1;
        let fresh = Self::new(settings);
        let old = std::mem::replace(self, fresh);
        out.extend(old.events.into_keys().map(|key| Output::OwnershipLost { key }));
        (self.lives, self.counted, self.turns) = (old.lives, old.counted, old.turns);
        self.turns.extend(old.neighbours.iter().map(|one| (one.of, one.turn)));
        self.see(now, old.live);
    }

    /// A holder's answer.
    pub fn answered(&mut self, now: Micros, from: MemberId, ack: Ack, out: &mut Vec<Output>) {
        let (last, after) = (self.last(), self.first - 1);
        let Some(one) = self.neighbours.iter_mut().find(|one| one.of == from) else { return };
        if ack.source != self.source || !one.acknowledged(now, &ack, last) {
            return;
        }
        if ack.granted {
            self.lease.granted(now, from, ack.life, ack.echo);
        }
        let again = match ack.not {
            None | Some(RejectReason::Taken) => false,
            Some(RejectReason::Life | RejectReason::Nothing) if ack.turn == one.turn => {
                one.forgets(after);
                true
            }
            Some(RejectReason::Life | RejectReason::Nothing) => false,
            Some(RejectReason::Gap) => one.refused(ack.turn, false, after),
            Some(RejectReason::Broken(number)) => {
                out.push(Output::Fault(JournalFault::Broken { of: self.source, number }));
                one.refused(ack.turn, true, after)
            }
            Some(RejectReason::Full) => {
                out.push(Output::Fault(JournalFault::Full { of: self.source, number: ack.through + 1 }));
                one.refused(ack.turn, false, after);
                self.doubted.insert(from, now + DOUBT);
                self.choose(now);
                false
            }
        };
        self.unsent |= again;
        if self.neighbours.iter().any(|one| one.of == from && one.breaks()) {
            self.doubted.insert(from, now + DOUBT);
            self.choose(now);
        }
        self.retire(now);
        self.tell_held(now, out);
    }

    fn held_by(&self, need: u8) -> u64 {
        if need == 0 {
            return u64::MAX;
        }
        let mut acked: Vec<u64> = self.neighbours.iter().map(|one| one.acked).collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        acked.get(usize::from(need) - 1).copied().unwrap_or(0)
    }

    fn tell_held(&mut self, now: Micros, out: &mut Vec<Output>) {
        let needs: Vec<u8> = self.waits.keys().copied().collect();
        for need in needs {
            let held = self.held_by(need);
            let Some(waits) = self.waits.get_mut(&need) else { continue };
            while let Some(wait) = waits.front()
                && wait.number <= held
            {
                let Some(wait) = waits.pop_front() else { break };
                match (self.events.get(&wait.key), wait.attempt) {
                    (None, _) => {}
                    (Some(_), None) => {
                        self.counted.held += 1;
                        out.push(Output::Replicated { key: wait.key });
                    }
                    (Some(_), Some(_)) => self.unleased.push(wait),
                }
            }
        }
        let unleased = std::mem::take(&mut self.unleased);
        for wait in unleased {
            let Some(event) = self.events.get(&wait.key) else { continue };
            let needed = if event.again == RepeatSafety::Unsafe { event.need.into() } else { 0 };
            if self.lease.may(now, needed) {
                self.counted.held += 1;
                let until = self.lease.until(needed);
                let (key, attempt) = (wait.key, wait.attempt.unwrap_or(0));
                out.push(Output::SendAllowed { key, attempt, until });
            } else {
                self.unleased.push(wait);
            }
        }
    }

    /// Does what is due: sends what was written in this turn, calls, doubts and gives up.
    pub fn wake(&mut self, now: Micros, wall: WallMs, out: &mut Vec<Output>) {
        self.tell_held(now, out);
        self.give_up(now, wall, out);
        self.let_go(wall);
        let (last, after) = (self.last(), self.first - 1);
        let late: Vec<MemberId> = {
            let patience = self.settings.replication_timeout;
            let owes = |one: &&mut HolderProgress| one.acked < last;
            self.neighbours.iter_mut().filter(owes).for_each(|one| one.owes(now));
            let late =
                self.neighbours.iter().filter(|one| one.acked < last && one.doubt(patience / 2) <= now);
            late.map(|one| one.of).filter(|of| !self.doubted.contains_key(of)).collect()
        };
        if !late.is_empty() {
            late.into_iter().for_each(|of| _ = self.doubted.insert(of, now + DOUBT));
            self.choose(now);
        }
        self.neighbours.iter_mut().for_each(|one| one.wake(now, after));
        self.unsent = false;
        self.send(now, out);
    }

    fn give_up(&mut self, now: Micros, wall: WallMs, out: &mut Vec<Output>) {
        let patience = self.settings.replication_timeout;
        let is_late = |wait: &Wait| now.saturating_sub(wait.since) >= patience;
        let unleased: Vec<Wait> = self.unleased.extract_if(.., |wait| is_late(wait)).collect();
        for Wait { key, attempt, .. } in unleased {
            self.counted.unheld += 1;
            out.push(Output::SendDenied { key, attempt: attempt.unwrap_or(0), why: ReplicationError::Lease });
        }
        let mut late = Vec::new();
        for waits in self.waits.values_mut() {
            while let Some(wait) = waits.front()
                && is_late(wait)
            {
                late.extend(waits.pop_front());
            }
        }
        for Wait { key, since, attempt, .. } in late {
            if !self.events.contains_key(&key) {
                continue;
            }
            let why = ReplicationError::Late { waited: now - since };
            self.counted.unheld += 1;
            match attempt {
                Some(attempt) => out.push(Output::SendDenied { key, attempt, why }),
                None => {
                    out.push(Output::NotReplicated { key, why });
                    self.write(
                        now,
                        wall,
                        Step::Ended { key, outcome: Outcome::Refused, answer: Vec::new() },
                        out,
                    );
                }
            }
        }
    }

    /// When [`Journal::wake`] is due.
    pub fn next_due(&self) -> Micros {
        if self.unsent {
            return 0;
        }
        let patience = self.settings.replication_timeout;
        let waits = self.waits.values().filter_map(|waits| waits.front()).chain(&self.unleased);
        let waits = waits.map(|wait| wait.since + patience);
        let resend = self.neighbours.iter().map(HolderProgress::next_due);
        let calls = self.neighbours.iter().any(|one| !one.connected) || !self.retired.is_empty();
        let alive = self.neighbours.iter().filter(|one| one.connected && one.has_window());
        let alive = alive.map(|one| one.last + self.settings.lease / 4).filter(|_| !self.events.is_empty());
        let doubted = self.neighbours.iter().filter(|one| !self.doubted.contains_key(&one.of));
        let doubts = doubted.map(|one| one.doubt(patience / 2));
        let call = calls.then_some(self.call);
        waits.chain(resend).chain(call).chain(alive).chain(doubts).min().unwrap_or(Micros::MAX)
    }
}
