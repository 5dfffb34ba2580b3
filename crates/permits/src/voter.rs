//! One voter: it promises an epoch and it stores a value. Nothing survives its restart; how one that has forgotten is kept from
//! undoing what it promised or stored is in the design note, "A voter that has forgotten". Input: a message of a candidate or
//! leader and a time; output: an answer, or none while it has to be silent.

use basaltward_membership::{MemberId, Micros};
use serde::{Deserialize, Serialize};

/// Orders leaders: a later epoch goes before. By wall time, so that one drawn after all voters have forgotten is
/// later all the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch {
    /// Milliseconds since the beginning of 2026, by the wall clock of whoever drew it, or one more than any known.
    pub ms: u64,
    /// Whose it is.
    pub by: MemberId,
}

impl Epoch {
    /// The next one of a voter that knows of this one.
    pub fn next(self, wall_ms: u64, by: MemberId) -> Self {
        Self { ms: wall_ms.max(self.ms + 1), by }
    }
}

/// A value with its place in the order of all: the epoch, then the leader's count.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stored<V> {
    /// The leader's.
    pub epoch: Epoch,
    /// Its count.
    pub version: u32,
    /// The value.
    pub value: V,
}

impl<V> Stored<V> {
    /// Its place in the order of all.
    pub fn position(&self) -> (Epoch, u32) {
        (self.epoch, self.version)
    }
}

/// What a candidate or a leader tells a voter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum VoterRequest<V> {
    /// I would be leader.
    Prepare {
        /// By this epoch.
        epoch: Epoch,
        /// Counts what the leader sends, so that an answer names the time from which it counts.
        heartbeat: u32,
    },
    /// Store this.
    Accept {
        /// As in a claim.
        heartbeat: u32,
        /// The voter's life, as the leader knows it: one that has forgotten takes nothing that names an earlier one.
        incarnation: u32,
        /// What to store.
        stored: Stored<V>,
    },
}

/// What a voter answers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum VoterResponse<V> {
    /// I promise to heed no earlier epoch; this is what I hold, if I remember anything.
    Promise {
        /// The claim's.
        epoch: Epoch,
        /// The claim's.
        heartbeat: u32,
        /// The voter's life.
        incarnation: u32,
        /// What it holds.
        held: Option<Stored<V>>,
    },
    /// I hold this version or a later one of yours.
    Accepted {
        /// The leader's.
        epoch: Epoch,
        /// The order's.
        heartbeat: u32,
        /// The voter's life.
        incarnation: u32,
        /// The version.
        version: u32,
    },
    /// I don't.
    Rejected {
        /// The epoch that it is an answer to.
        epoch: Epoch,
        /// The latest that I have promised.
        promised: Epoch,
        /// The voter's life.
        incarnation: u32,
    },
}

/// A voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter<V> {
    incarnation: u32,
    /// It says nothing before: what an earlier life has promised may still count.
    speaks: Micros,
    promised: Epoch,
    held: Option<Stored<V>>,
    /// Planted: it forgets its promises, or takes whatever comes.
    pub(crate) heeds_epochs: bool,
}

impl<V: Clone> Voter<V> {
    /// A voter whose life begins, silent for so long.
    pub fn new(life: u32, now: Micros, silence: Micros) -> Self {
        let (promised, held) = (Epoch::default(), None);
        Self { incarnation: life, speaks: now + silence, promised, held, heeds_epochs: true }
    }

    /// Plants a fault: epochs are not checked.
    #[doc(hidden)]
    pub fn inject_ignored_epochs(&mut self) {
        self.heeds_epochs = false;
    }

    /// Whether it has a voice by now.
    pub fn may_vote(&self, now: Micros) -> bool {
        now >= self.speaks
    }

    /// The latest epoch that it has heard of.
    pub fn promised(&self) -> Epoch {
        self.promised
    }

    /// What it holds.
    pub fn held(&self) -> Option<&Stored<V>> {
        self.held.as_ref()
    }

    /// Takes what a leader tells; gives the answer, if it has a voice.
    pub fn handle(&mut self, now: Micros, told: VoterRequest<V>) -> Option<VoterResponse<V>> {
        if now < self.speaks {
            return None;
        }
        let Self { incarnation: life, promised, .. } = *self;
        Some(match told {
            VoterRequest::Prepare { epoch, .. } if epoch < promised && self.heeds_epochs => {
                VoterResponse::Rejected { epoch, promised, incarnation: life }
            }
            VoterRequest::Prepare { epoch, heartbeat: beat } => {
                self.promised = epoch.max(promised);
                VoterResponse::Promise { epoch, heartbeat: beat, incarnation: life, held: self.held.clone() }
            }
            VoterRequest::Accept { stored, .. } if stored.epoch < promised && self.heeds_epochs => {
                VoterResponse::Rejected { epoch: stored.epoch, promised, incarnation: life }
            }
            // It knows of no life of ours, or of an earlier one: it may have been on its way for an hour.
            VoterRequest::Accept { incarnation: known, stored, .. }
                if self.held.is_none() && known != life =>
            {
                VoterResponse::Rejected { epoch: stored.epoch, promised, incarnation: life }
            }
            VoterRequest::Accept { heartbeat: beat, stored, .. } => {
                self.promised = stored.epoch.max(promised);
                let epoch = stored.epoch;
                if self
                    .held
                    .as_ref()
                    .is_none_or(|held| held.position() < stored.position() || !self.heeds_epochs)
                {
                    self.held = Some(stored);
                }
                let version = self.held.as_ref().map_or(0, |held| held.version);
                VoterResponse::Accepted { epoch, heartbeat: beat, incarnation: life, version }
            }
        })
    }
}
