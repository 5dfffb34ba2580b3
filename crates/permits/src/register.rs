//! The replicated register as a candidate and leader keep it: one value, stored by a majority of the voters under an epoch. It
//! does anything only while a majority of the voters has answered what it sent within the lease; each answer counts from
//! the time at which that was sent, by its own clock, and only so long. Input: answers of voters and times; output: what goes
//! to each voter, and [`RegisterEvent`]s.

use crate::voter::{Epoch, Stored, VoterRequest, VoterResponse};
use basaltward_membership::{MemberId, Micros};
use std::collections::BTreeMap;

/// The times that safety rests on, alike at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Times {
    /// An answer counts for so long from when its question was sent, and so does a permit from when it was asked
    /// for, each on the clock of whoever sent or asked.
    pub lease: Micros,
    /// A voter is silent for so long after its start: longer than the lease by all that clocks may differ in rate.
    pub silence: Micros,
    /// A leader who finds that too many have forgotten learns for so long: a silence, after which nobody acts on
    /// what an earlier leader permitted, and the time until it is seen who did.
    pub learning: Micros,
}

/// Beats remembered: more than go out in a lease.
const BEATS: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Heard<V> {
    incarnation: u32,
    /// When that was sent to which it last answered.
    sent: Option<Micros>,
    /// What it yielded.
    held: Option<Stored<V>>,
    /// The version that it holds.
    version: u32,
}

/// What a leader does.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage<V> {
    /// It asks for promises, since when.
    Preparing(Micros),
    /// Too few voters remember: it learns what is out until this time.
    Learning(Micros),
    /// It is leader.
    Leading {
        version: u32,
        value: V,
        /// The latest version that a majority holds.
        agreed: u32,
        /// The value of that version.
        known: Option<V>,
    },
    /// It is not, or not any more.
    SteppedDown,
}

/// What has come of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterEvent<V> {
    /// Nothing new.
    Unchanged,
    /// It has the promises of a majority, of which too few remember: it has to learn, see [`ReplicatedRegister::learnt`]. With
    /// what one that remembers holds.
    LearningStarted(Option<V>),
    /// What it was to learn it has to give now.
    LearningDue,
    /// A version is agreed.
    Committed(u32),
    /// It is no leader: too few answer, or a later epoch is about.
    SteppedDown,
}

/// See the module's page.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicatedRegister<V> {
    times: Times,
    /// The voters.
    voters: Vec<MemberId>,
    epoch: Epoch,
    beat: u32,
    /// When the latest beats were sent.
    sent: Vec<(u32, Micros)>,
    heard: BTreeMap<MemberId, Heard<V>>,
    stage: Stage<V>,
    /// Planted: whoever has forgotten counts as one that remembers nothing.
    pub(crate) heeds_memory: bool,
}

impl<V: Clone + PartialEq> ReplicatedRegister<V> {
    /// A candidate.
    pub fn candidate(times: Times, voters: &[MemberId], epoch: Epoch, now: Micros) -> Self {
        let (sent, heard, stage) = (Vec::new(), BTreeMap::new(), Stage::Preparing(now));
        Self { times, voters: voters.to_vec(), epoch, beat: 0, sent, heard, stage, heeds_memory: true }
    }

    /// Plants a fault: voters that have forgotten count like the others.
    #[doc(hidden)]
    pub fn inject_amnesia(&mut self) {
        self.heeds_memory = false;
    }

    /// Its epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// A majority of the voters.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The value, agreed or not, while it is leader.
    pub fn value(&self) -> Option<&V> {
        match &self.stage {
            Stage::Leading { value, .. } => Some(value),
            _ => None,
        }
    }

    /// The latest version that is agreed, with its value.
    pub fn committed(&self) -> Option<Stored<V>> {
        match &self.stage {
            Stage::Leading { agreed, known: Some(value), .. } => {
                Some(Stored { epoch: self.epoch, version: *agreed, value: value.clone() })
            }
            _ => None,
        }
    }

    /// Whether it is leader, or learns to be.
    pub fn is_elected(&self) -> bool {
        matches!(self.stage, Stage::Learning(_) | Stage::Leading { .. })
    }

    /// Whether it has nothing left to do.
    fn is_lost(&self) -> bool {
        matches!(self.stage, Stage::SteppedDown)
    }

    /// Voters that have answered within the lease.
    pub fn voters_in_lease(&self, now: Micros) -> usize {
        self.fresh(now).count()
    }

    fn fresh(&self, now: Micros) -> impl Iterator<Item = (&MemberId, &Heard<V>)> {
        let lease = self.times.lease;
        self.heard.iter().filter(move |(_, heard)| heard.sent.is_some_and(|sent| now < sent + lease))
    }

    /// What goes to each voter now.
    pub fn heartbeat(&mut self, now: Micros) -> Vec<(MemberId, VoterRequest<V>)> {
        self.beat += 1;
        if self.sent.len() == BEATS {
            self.sent.remove(0);
        }
        self.sent.push((self.beat, now));
        let (epoch, beat) = (self.epoch, self.beat);
        let told = |voter: &MemberId| match &self.stage {
            Stage::Preparing(_) | Stage::Learning(_) => {
                Some((*voter, VoterRequest::Prepare { epoch, heartbeat: beat }))
            }
            Stage::Leading { version, value, .. } => {
                let life = self.heard.get(voter).map_or(0, |heard| heard.incarnation);
                let stored = Stored { epoch, version: *version, value: value.clone() };
                Some((*voter, VoterRequest::Accept { heartbeat: beat, incarnation: life, stored }))
            }
            Stage::SteppedDown => None,
        };
        self.voters.iter().filter_map(told).collect()
    }

    /// A voter has answered.
    pub fn handle(&mut self, now: Micros, from: MemberId, told: VoterResponse<V>) {
        let (epoch, beat, life) = match &told {
            VoterResponse::Promise { epoch, heartbeat: beat, incarnation: life, .. }
            | VoterResponse::Accepted { epoch, heartbeat: beat, incarnation: life, .. } => {
                (*epoch, Some(*beat), *life)
            }
            VoterResponse::Rejected { epoch, incarnation: life, .. } => (*epoch, None, *life),
        };
        if epoch != self.epoch || !self.voters.contains(&from) || self.is_lost() {
            return;
        }
        if let VoterResponse::Rejected { promised, .. } = told {
            if promised > self.epoch {
                self.stage = Stage::SteppedDown;
            } else {
                // It has forgotten, and is named by its new life from now on. That is no answer that counts.
                self.heard.insert(from, Heard { incarnation: life, sent: None, held: None, version: 0 });
            }
            return;
        }
        let sent = self.sent.iter().find(|(of, _)| Some(*of) == beat).map(|(_, sent)| *sent);
        let Some(sent) = sent.filter(|sent| now < sent + self.times.lease) else { return };
        let fresh = Heard { incarnation: life, sent: None, held: None, version: 0 };
        let known = self.heard.entry(from).or_insert_with(|| fresh.clone());
        if known.incarnation != life {
            *known = fresh;
        }
        known.sent = known.sent.max(Some(sent));
        match told {
            VoterResponse::Promise { held, .. } => known.held = held,
            VoterResponse::Accepted { version, .. } => known.version = known.version.max(version),
            VoterResponse::Rejected { .. } => {}
        }
    }

    /// Looks what has come of it by `now`. Asked after each answer and whenever time has passed.
    pub fn poll(&mut self, now: Micros) -> RegisterEvent<V> {
        let (lease, majority) = (self.times.lease, self.majority());
        let has_lease = self.voters_in_lease(now) >= majority;
        let holding = |version: u32| self.fresh(now).filter(|(_, heard)| heard.version >= version).count();
        match &self.stage {
            // A later epoch was heard of.
            Stage::SteppedDown => RegisterEvent::SteppedDown,
            Stage::Preparing(since) if !has_lease => match now >= since + lease {
                true => self.lose(),
                false => RegisterEvent::Unchanged,
            },
            Stage::Preparing(_) => self.elected(now),
            _ if !has_lease => self.lose(),
            Stage::Learning(until) if now < *until => RegisterEvent::Unchanged,
            Stage::Learning(_) => RegisterEvent::LearningDue,
            Stage::Leading { version, agreed, .. } => {
                let version = *version;
                if *agreed == version || holding(version) < majority {
                    return RegisterEvent::Unchanged;
                }
                if let Stage::Leading { agreed, known, value, .. } = &mut self.stage {
                    (*agreed, *known) = (version, Some(value.clone()));
                }
                RegisterEvent::Committed(version)
            }
        }
    }

    fn lose(&mut self) -> RegisterEvent<V> {
        self.stage = Stage::SteppedDown;
        RegisterEvent::SteppedDown
    }

    fn elected(&mut self, now: Micros) -> RegisterEvent<V> {
        let held: Vec<_> = self.fresh(now).filter_map(|(_, heard)| heard.held.as_ref()).collect();
        let latest = held.iter().max_by_key(|held| held.position()).map(|held| held.value.clone());
        let remember = if self.heeds_memory { held.len() } else { self.voters_in_lease(now) };
        match latest {
            Some(value) if remember >= self.majority() => {
                self.keep(value);
                RegisterEvent::Unchanged
            }
            latest => {
                self.stage = Stage::Learning(now + self.times.learning);
                RegisterEvent::LearningStarted(latest)
            }
        }
    }

    fn keep(&mut self, value: V) {
        self.stage = Stage::Leading { version: 1, value, agreed: 0, known: None };
    }

    /// What is out, as it was learnt: the value begins with it.
    pub fn finish_learning(&mut self, now: Micros, value: V) {
        if matches!(self.stage, Stage::Learning(until) if now >= until) {
            self.keep(value);
        }
    }

    /// Changes the value; gives the version that has to be agreed before anything is done by it.
    pub fn propose(&mut self, value: V) -> Option<u32> {
        let Stage::Leading { version, value: kept, .. } = &mut self.stage else { return None };
        if *kept != value {
            *version += 1;
            *kept = value;
        }
        Some(*version)
    }
}
