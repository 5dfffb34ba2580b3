//! One voter: it promises not to accept earlier epochs, and it stores the accepted value. It persists nothing, so a
//! restart loses both; the design note, "A voter that has forgotten", explains how the protocol stays safe
//! nevertheless. Input: a request of a candidate or leader and a time; output: a response, or none while it must stay
//! silent.

use basaltward_membership::{MemberId, Micros};
use serde::{Deserialize, Serialize};

/// Orders leaders: a later epoch takes precedence. Epochs are drawn from the wall clock, so that one drawn after all
/// voters have restarted and lost their state is still later than those before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch {
    /// Milliseconds since the beginning of 2026 by the wall clock of the candidate, but more than any epoch known to
    /// it.
    pub ms: u64,
    /// The candidate that drew it, which is the leader of this epoch if elected.
    pub by: MemberId,
}

impl Epoch {
    /// The epoch that member `by` draws if this one is the latest known to it.
    pub fn next(self, wall_ms: u64, by: MemberId) -> Self {
        Self { ms: wall_ms.max(self.ms + 1), by }
    }
}

/// A value with its position in the total order of values: the epoch, then the version within it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stored<V> {
    /// The epoch of the leader that wrote it.
    pub epoch: Epoch,
    /// Counts the values that this leader wrote.
    pub version: u32,
    /// The value.
    pub value: V,
}

impl<V> Stored<V> {
    /// Its position in the total order of values.
    pub fn position(&self) -> (Epoch, u32) {
        (self.epoch, self.version)
    }
}

/// A request of a candidate or a leader to a voter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum VoterRequest<V> {
    /// Requests the voter's promise and its stored value.
    Prepare {
        /// The epoch of the candidate.
        epoch: Epoch,
        /// The number of the heartbeat. A response repeats it, so that the sender can tell when the request was sent.
        heartbeat: u32,
    },
    /// Requests the voter to store a value.
    Accept {
        /// As in `Prepare`.
        heartbeat: u32,
        /// The voter's incarnation as the leader knows it: a voter that has lost its state in a restart rejects values
        /// that are addressed to an earlier incarnation.
        incarnation: u32,
        /// The value to store.
        stored: Stored<V>,
    },
}

/// A voter's response.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum VoterResponse<V> {
    /// The voter promises to reject earlier epochs.
    Promise {
        /// The epoch of the `Prepare`.
        epoch: Epoch,
        /// The number of the `Prepare`.
        heartbeat: u32,
        /// The voter's incarnation.
        incarnation: u32,
        /// Its stored value, none if it has accepted none since its start.
        held: Option<Stored<V>>,
    },
    /// The voter stores this version of the leader, which is the requested one or a later one.
    Accepted {
        /// The epoch of the `Accept`.
        epoch: Epoch,
        /// The number of the `Accept`.
        heartbeat: u32,
        /// The voter's incarnation.
        incarnation: u32,
        /// The stored version.
        version: u32,
    },
    /// The voter rejects the request.
    Rejected {
        /// The epoch of the request.
        epoch: Epoch,
        /// The latest epoch that the voter has promised.
        promised: Epoch,
        /// The voter's incarnation.
        incarnation: u32,
    },
}

/// The state of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter<V> {
    incarnation: u32,
    /// It responds to nothing before this time: promises of its previous incarnation may still count until then.
    silent_until: Micros,
    promised: Epoch,
    held: Option<Stored<V>>,
    /// False with the injected fault [`Voter::inject_ignored_epochs`].
    pub(crate) checks_epochs: bool,
}

impl<V: Clone> Voter<V> {
    /// A voter that has just started and stays silent for `silence`.
    pub fn new(incarnation: u32, now: Micros, silence: Micros) -> Self {
        let (promised, held) = (Epoch::default(), None);
        Self { incarnation, silent_until: now + silence, promised, held, checks_epochs: true }
    }

    /// Injects a fault: the voter accepts requests of any epoch.
    #[doc(hidden)]
    pub fn inject_ignored_epochs(&mut self) {
        self.checks_epochs = false;
    }

    /// Whether the silence after its start is over, so that it may respond.
    pub fn may_vote(&self, now: Micros) -> bool {
        now >= self.silent_until
    }

    /// The latest epoch that it has promised.
    pub fn promised(&self) -> Epoch {
        self.promised
    }

    /// Its stored value.
    pub fn held(&self) -> Option<&Stored<V>> {
        self.held.as_ref()
    }

    /// Handles a request of a candidate or leader; returns no response during the silence after its start.
    pub fn handle(&mut self, now: Micros, request: VoterRequest<V>) -> Option<VoterResponse<V>> {
        if now < self.silent_until {
            return None;
        }
        let Self { incarnation, promised, .. } = *self;
        Some(match request {
            VoterRequest::Prepare { epoch, .. } if epoch < promised && self.checks_epochs => {
                VoterResponse::Rejected { epoch, promised, incarnation }
            }
            VoterRequest::Prepare { epoch, heartbeat } => {
                self.promised = epoch.max(promised);
                VoterResponse::Promise { epoch, heartbeat, incarnation, held: self.held.clone() }
            }
            VoterRequest::Accept { stored, .. } if stored.epoch < promised && self.checks_epochs => {
                VoterResponse::Rejected { epoch: stored.epoch, promised, incarnation }
            }
            // The request names another incarnation of this voter, or none, and this incarnation has stored no value
            // yet: the request may have been delayed for an hour.
            VoterRequest::Accept { incarnation: known, stored, .. }
                if self.held.is_none() && known != incarnation =>
            {
                VoterResponse::Rejected { epoch: stored.epoch, promised, incarnation }
            }
            VoterRequest::Accept { heartbeat, stored, .. } => {
                self.promised = stored.epoch.max(promised);
                let epoch = stored.epoch;
                if self
                    .held
                    .as_ref()
                    .is_none_or(|held| held.position() < stored.position() || !self.checks_epochs)
                {
                    self.held = Some(stored);
                }
                let version = self.held.as_ref().map_or(0, |held| held.version);
                VoterResponse::Accepted { epoch, heartbeat, incarnation, version }
            }
        })
    }
}
