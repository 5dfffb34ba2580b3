//! The candidate's and leader's side of the replicated register: one value, stored by a majority of the voters under an
//! epoch. It acts only while it holds a lease, which takes responses of a majority of the voters. Each response extends
//! the lease from the time at which its request was sent, by the leader's own clock. Input: responses of voters and
//! times; output: requests to the voters, and [`RegisterEvent`]s.

use crate::voter::{Epoch, Stored, VoterRequest, VoterResponse};
use basaltward_membership::{MemberId, Micros};
use std::collections::BTreeMap;

/// The times on which safety depends. All members must have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Times {
    /// How long a voter's response counts from when its request was sent, by the sender's clock, and how long a permit
    /// may be acted on from when it was requested, by the requester's clock.
    pub lease: Micros,
    /// How long a voter stays silent after its start: longer than the lease by the largest difference in clock rates.
    pub silence: Micros,
    /// How long a new leader learns which subjects are out if too many voters lost their state in a restart: a silence,
    /// after which permits of an earlier leader are no longer acted on, plus the time until the subjects that such
    /// permits took out of service are observed as out.
    pub learning: Micros,
}

/// Heartbeats whose sending time is remembered: more than are sent in a lease.
const MAX_HEARTBEATS: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct VoterState<V> {
    incarnation: u32,
    /// When the latest request that it responded to was sent.
    request_sent: Option<Micros>,
    /// The stored value that its latest promise carried.
    held: Option<Stored<V>>,
    /// The version that it has accepted.
    version: u32,
}

/// The stages of a candidacy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage<V> {
    /// It has been collecting promises since this time.
    Preparing(Micros),
    /// It is elected, but too few voters still have their state: until this time it learns which subjects are out.
    Learning(Micros),
    /// It is the leader.
    Leading {
        version: u32,
        value: V,
        /// The latest version that a majority has accepted.
        committed: u32,
        /// The value of that version.
        committed_value: Option<V>,
    },
    /// It was not elected, or is no longer the leader.
    SteppedDown,
}

/// What [`ReplicatedRegister::poll`] reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterEvent<V> {
    /// Nothing has changed.
    Unchanged,
    /// It has the promises of a majority, but too few of those voters still have their state: the caller has to learn
    /// which subjects are out, see [`ReplicatedRegister::finish_learning`]. Holds the latest value among the promises.
    LearningStarted(Option<V>),
    /// The learning time is over: the caller has to call [`ReplicatedRegister::finish_learning`] now.
    LearningDue,
    /// A majority has accepted this version.
    Committed(u32),
    /// It is not the leader: too few voters respond, or a voter has promised a later epoch.
    SteppedDown,
}

/// A candidate or leader, with the register's value while it leads.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicatedRegister<V> {
    times: Times,
    voters: Vec<MemberId>,
    epoch: Epoch,
    /// The number of the latest heartbeat.
    heartbeat: u32,
    /// The numbers and sending times of the latest heartbeats.
    heartbeats: Vec<(u32, Micros)>,
    voter_states: BTreeMap<MemberId, VoterState<V>>,
    stage: Stage<V>,
    /// False with the injected fault [`ReplicatedRegister::inject_amnesia`].
    pub(crate) checks_memory: bool,
}

impl<V: Clone + PartialEq> ReplicatedRegister<V> {
    /// A candidate that starts an election with this epoch.
    pub fn candidate(times: Times, voters: &[MemberId], epoch: Epoch, now: Micros) -> Self {
        let (heartbeats, voter_states, stage) = (Vec::new(), BTreeMap::new(), Stage::Preparing(now));
        let voters = voters.to_vec();
        Self { times, voters, epoch, heartbeat: 0, heartbeats, voter_states, stage, checks_memory: true }
    }

    /// Injects a fault: voters that lost their state in a restart count like the others.
    #[doc(hidden)]
    pub fn inject_amnesia(&mut self) {
        self.checks_memory = false;
    }

    /// The epoch of this candidate or leader.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// How many voters are a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The latest value, committed or not; none unless it is the leader.
    pub fn value(&self) -> Option<&V> {
        match &self.stage {
            Stage::Leading { value, .. } => Some(value),
            _ => None,
        }
    }

    /// The latest committed value; none unless it is the leader and a majority has accepted a value of its epoch.
    pub fn committed(&self) -> Option<Stored<V>> {
        match &self.stage {
            Stage::Leading { committed, committed_value: Some(value), .. } => {
                Some(Stored { epoch: self.epoch, version: *committed, value: value.clone() })
            }
            _ => None,
        }
    }

    /// Whether it has been elected: it is the leader or is still learning which subjects are out.
    pub fn is_elected(&self) -> bool {
        matches!(self.stage, Stage::Learning(_) | Stage::Leading { .. })
    }

    /// Whether it was not elected or is no longer the leader.
    fn has_stepped_down(&self) -> bool {
        matches!(self.stage, Stage::SteppedDown)
    }

    /// How many voters have responded to a request sent within the lease.
    pub fn voters_in_lease(&self, now: Micros) -> usize {
        self.responsive(now).count()
    }

    fn responsive(&self, now: Micros) -> impl Iterator<Item = (&MemberId, &VoterState<V>)> {
        let lease = self.times.lease;
        let states = self.voter_states.iter();
        states.filter(move |(_, state)| state.request_sent.is_some_and(|sent| now < sent + lease))
    }

    /// The requests to send to the voters now.
    pub fn heartbeat(&mut self, now: Micros) -> Vec<(MemberId, VoterRequest<V>)> {
        self.heartbeat += 1;
        if self.heartbeats.len() == MAX_HEARTBEATS {
            self.heartbeats.remove(0);
        }
        self.heartbeats.push((self.heartbeat, now));
        let (epoch, heartbeat) = (self.epoch, self.heartbeat);
        let request = |voter: &MemberId| match &self.stage {
            Stage::Preparing(_) | Stage::Learning(_) => {
                Some((*voter, VoterRequest::Prepare { epoch, heartbeat }))
            }
            Stage::Leading { version, value, .. } => {
                let incarnation = self.voter_states.get(voter).map_or(0, |state| state.incarnation);
                let stored = Stored { epoch, version: *version, value: value.clone() };
                Some((*voter, VoterRequest::Accept { heartbeat, incarnation, stored }))
            }
            Stage::SteppedDown => None,
        };
        self.voters.iter().filter_map(request).collect()
    }

    /// Handles a voter's response. Ignores one of another epoch or of a member that does not vote and, unless it is a
    /// rejection, one to a request that was sent a lease ago or earlier.
    pub fn handle(&mut self, now: Micros, from: MemberId, response: VoterResponse<V>) {
        let (epoch, heartbeat, incarnation) = match &response {
            VoterResponse::Promise { epoch, heartbeat, incarnation, .. }
            | VoterResponse::Accepted { epoch, heartbeat, incarnation, .. } => {
                (*epoch, Some(*heartbeat), *incarnation)
            }
            VoterResponse::Rejected { epoch, incarnation, .. } => (*epoch, None, *incarnation),
        };
        if epoch != self.epoch || !self.voters.contains(&from) || self.has_stepped_down() {
            return;
        }
        if let VoterResponse::Rejected { promised, .. } = response {
            if promised > self.epoch {
                self.stage = Stage::SteppedDown;
            } else {
                // The voter lost its state in a restart. Later requests name its new incarnation; the rejection does
                // not count as a response within the lease.
                let state = VoterState { incarnation, request_sent: None, held: None, version: 0 };
                self.voter_states.insert(from, state);
            }
            return;
        }
        let sent =
            self.heartbeats.iter().find(|(number, _)| Some(*number) == heartbeat).map(|(_, sent)| *sent);
        let Some(sent) = sent.filter(|sent| now < sent + self.times.lease) else { return };
        let initial = VoterState { incarnation, request_sent: None, held: None, version: 0 };
        let state = self.voter_states.entry(from).or_insert_with(|| initial.clone());
        if state.incarnation != incarnation {
            *state = initial;
        }
        state.request_sent = state.request_sent.max(Some(sent));
        match response {
            VoterResponse::Promise { held, .. } => state.held = held,
            VoterResponse::Accepted { version, .. } => state.version = state.version.max(version),
            VoterResponse::Rejected { .. } => {}
        }
    }

    /// Advances the stage and reports what has changed by `now`. Called after each response and whenever time has
    /// passed.
    pub fn poll(&mut self, now: Micros) -> RegisterEvent<V> {
        let (lease, majority) = (self.times.lease, self.majority());
        let has_lease = self.voters_in_lease(now) >= majority;
        let accepted =
            |version: u32| self.responsive(now).filter(|(_, state)| state.version >= version).count();
        match &self.stage {
            // A voter has promised a later epoch.
            Stage::SteppedDown => RegisterEvent::SteppedDown,
            Stage::Preparing(since) if !has_lease => match now >= since + lease {
                true => self.step_down(),
                false => RegisterEvent::Unchanged,
            },
            Stage::Preparing(_) => self.become_elected(now),
            _ if !has_lease => self.step_down(),
            Stage::Learning(until) if now < *until => RegisterEvent::Unchanged,
            Stage::Learning(_) => RegisterEvent::LearningDue,
            Stage::Leading { version, committed, .. } => {
                let version = *version;
                if *committed == version || accepted(version) < majority {
                    return RegisterEvent::Unchanged;
                }
                if let Stage::Leading { committed, committed_value, value, .. } = &mut self.stage {
                    (*committed, *committed_value) = (version, Some(value.clone()));
                }
                RegisterEvent::Committed(version)
            }
        }
    }

    fn step_down(&mut self) -> RegisterEvent<V> {
        self.stage = Stage::SteppedDown;
        RegisterEvent::SteppedDown
    }

    fn become_elected(&mut self, now: Micros) -> RegisterEvent<V> {
        let held: Vec<_> = self.responsive(now).filter_map(|(_, state)| state.held.as_ref()).collect();
        let latest = held.iter().max_by_key(|held| held.position()).map(|held| held.value.clone());
        let with_state = if self.checks_memory { held.len() } else { self.voters_in_lease(now) };
        match latest {
            Some(value) if with_state >= self.majority() => {
                self.lead(value);
                RegisterEvent::Unchanged
            }
            latest => {
                self.stage = Stage::Learning(now + self.times.learning);
                RegisterEvent::LearningStarted(latest)
            }
        }
    }

    fn lead(&mut self, value: V) {
        self.stage = Stage::Leading { version: 1, value, committed: 0, committed_value: None };
    }

    /// Takes the learned state as the first value and starts to lead. Ignored before the learning time is over.
    pub fn finish_learning(&mut self, now: Micros, value: V) {
        if matches!(self.stage, Stage::Learning(until) if now >= until) {
            self.lead(value);
        }
    }

    /// Proposes a value. Returns the version that has to be committed before the value may be acted on; none unless
    /// it is the leader.
    pub fn propose(&mut self, value: V) -> Option<u32> {
        let Stage::Leading { version, value: current, .. } = &mut self.stage else { return None };
        if *current != value {
            *version += 1;
            *current = value;
        }
        Some(*version)
    }
}
